"""Choice of the entries that an entry's load reports are sent to.

A few entries report to each other directly. With more, each entry reports to those of its own
availability zone. One entry per zone, the relay, sends a summary of the zone to the relays of the
other zones, which forward it within theirs. Traffic between zones thus grows with the number of
zones rather than with that of entries.
"""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# Up to this many entries, this one included, report to each other directly.
DIRECT_ENTRY_COUNT = 12
# While the relay of another zone is unknown, a summary is sent to this many entries of that zone,
# the first by name. The first of a zone that is alive is its relay and forwards the summary.
RELAY_CANDIDATE_COUNT = 2


@attrs.frozen
class ReportTargets:
    """Addresses for each kind of report.

    Parameters
    ----------
    direct : list of str
        Entries that receive this entry's own reports.
    remote_relays : list of str
        Entries of other zones that receive the summary of this zone; empty unless this entry is
        the relay.
    zone_peers : list of str
        Entries of this zone that the summaries of other zones are forwarded to; empty unless this
        entry is the relay.
    """

    direct: list[str]
    remote_relays: list[str] = attrs.field(factory=list)
    zone_peers: list[str] = attrs.field(factory=list)


def choose_targets(
    own_name: str,
    zone: str,
    others: list[messages.EntryRecord],
    alive: set[str],
    known_relays: dict[str, str],
) -> ReportTargets:
    """Return the targets of an entry's reports.

    Parameters
    ----------
    own_name, zone : str
        Name and availability zone of this entry.
    others : list of EntryRecord
        All entries but this one.
    alive : set of str
        Names of those that a message was received from recently. The first of a zone by name is
        the relay.
    known_relays : dict of str to str
        Entries that recently sent the summary of their zone, by zone.
    """
    if len(others) < DIRECT_ENTRY_COUNT:
        return ReportTargets([record.inner for record in others])
    zone_peers = [record for record in others if record.zone == zone]
    alive_peers = [record.entry for record in zone_peers if record.entry in alive]
    addresses = [record.inner for record in zone_peers]
    if any(name < own_name for name in alive_peers):
        return ReportTargets(addresses)
    zones: dict[str, list[messages.EntryRecord]] = {}
    for record in sorted(others, key=lambda record: record.entry):
        if record.zone != zone:
            zones.setdefault(record.zone, []).append(record)
    remote_relays = []
    for other_zone, records in zones.items():
        relay = [record for record in records if record.entry == known_relays.get(other_zone)]
        remote_relays += [record.inner for record in relay or records[:RELAY_CANDIDATE_COUNT]]
    return ReportTargets(addresses, remote_relays, addresses)
