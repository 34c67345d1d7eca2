"""Choice of the entries that an entry's load reports are sent to.

A few entries report to each other directly. With more, each entry reports to those of its own
availability zone. One entry per zone, the relay, sends a summary of the zone to each other zone,
where an entry forwards it to the others. Traffic between zones thus grows with the number of zones
rather than with that of entries. Each summary is forwarded by another entry of the zone, since
forwarding all of them would fill the link of one.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages

# Up to this many entries, this one included, report to each other directly.
DIRECT_ENTRY_COUNT = 12
# A summary is sent to this many entries of each other zone, the first by rank. The first that is
# alive forwards it.
FORWARDER_CANDIDATE_COUNT = 2


@attrs.frozen(eq=False, repr=False)
class ReportTargets(value_classes.Value):
    """Addresses for each kind of report.

    Parameters
    ----------
    direct : list of str
        Entries that receive this entry's own reports.
    remote_forwarders : list of str
        Entries of other zones that receive the summary of this zone; empty unless this entry is
        the relay.
    zone_peers : list of str
        Entries of this zone that summaries of other zones are forwarded to.
    forwarded_zones : frozenset of str
        Zones whose summaries this entry forwards.
    """

    direct: list[str]
    remote_forwarders: list[str] = attrs.field(factory=list)
    zone_peers: list[str] = attrs.field(factory=list)
    forwarded_zones: frozenset[str] = frozenset()


def choose_targets(
    own_name: str,
    zone: str,
    others: list[messages.EntryRecord],
    alive: set[str],
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
    """
    if len(others) < DIRECT_ENTRY_COUNT:
        return ReportTargets([record.inner for record in others])
    peers = [record for record in others if record.zone == zone]
    addresses = [record.inner for record in peers]
    alive_names = [own_name, *(record.entry for record in peers if record.entry in alive)]
    by_zone: dict[str, list[messages.EntryRecord]] = {}
    for record in others:
        if record.zone != zone:
            by_zone.setdefault(record.zone, []).append(record)
    forwarded_zones = frozenset(
        other for other in by_zone if own_name == min(alive_names, key=rank_by(other))
    )
    if min(alive_names) != own_name:
        return ReportTargets(addresses, [], addresses, forwarded_zones)
    rank = rank_by(zone)
    remote_forwarders = [
        record.inner
        for records in by_zone.values()
        for record in sorted(records, key=lambda record: rank(record.entry))[
            :FORWARDER_CANDIDATE_COUNT
        ]
    ]
    return ReportTargets(addresses, remote_forwarders, addresses, forwarded_zones)


def rank_by(subject: str) -> Callable[[str], bytes]:
    """Return the key by which entries are ranked for a task, such as one zone's summaries."""
    return functools.partial(_rank, subject)


@functools.lru_cache(maxsize=8192)
def _rank(subject: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{subject}/{entry}".encode(), digest_size=8).digest()
