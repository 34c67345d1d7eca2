"""Who gets an entry's load reports.

A few entries report to each other directly. With many, each reports to those of its availability
zone; one of them, the relay, sends a summary of the zone to the relays of the others, which pass it
on within theirs. So traffic between zones grows with the zones and not with the entries.
"""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# Up to this many entries report to each other directly.
DIRECT_ENTRIES = 12
# Entries of another zone that a summary is sent to; the first that lives passes it on.
RELAY_CANDIDATES = 2


@attrs.frozen
class Targets:
    """Addresses for each kind of report.

    Parameters
    ----------
    direct : list of str
        Entries that get this entry's own reports.
    far : list of str
        Entries of other zones that get the summary; empty unless this entry is the relay.
    near : list of str
        Entries of this zone that get what other relays send; empty unless it is the relay.
    """

    direct: list[str]
    far: list[str] = attrs.field(factory=list)
    near: list[str] = attrs.field(factory=list)


def choose_targets(
    own: str, zone: str, known: list[messages.EntryRecord], living: set[str]
) -> Targets:
    """Choose who gets reports.

    Parameters
    ----------
    own, zone : str
        Name and availability zone of this entry.
    known : list of EntryRecord
        All entries but this one.
    living : set of str
        Names of those that were heard of lately.
    """
    if len(known) < DIRECT_ENTRIES:
        return Targets([one.inner for one in known])
    near = [one for one in known if one.zone == zone]
    others = [one.entry for one in near if one.entry in living]
    addresses = [one.inner for one in near]
    if any(name < own for name in others):
        return Targets(addresses)
    zones: dict[str, list[messages.EntryRecord]] = {}
    for one in sorted(known, key=lambda record: record.entry):
        if one.zone != zone:
            zones.setdefault(one.zone, []).append(one)
    far = [one.inner for entries in zones.values() for one in entries[:RELAY_CANDIDATES]]
    return Targets(addresses, far, addresses)
