"""Evacuated availability zones: the replicated state and its log entries.

Each order about a zone is a log entry, also one that repeats the state: it takes a quorum to know
that state, and its index makes earlier orders outdated.
"""

from __future__ import annotations

import json
from typing import Any

import attrs

from flamingoramp.protocol import messages

KIND_ZONE_ORDER = "zone_order"


@attrs.frozen
class ZoneOrder:
    """An operator's order about an availability zone.

    Parameters
    ----------
    zone : str
    evacuated : bool
        Whether the zone is to be evacuated; False to withdraw that.
    after : int
        Index of the last order about the zone that was in effect when a host read this one. If
        another one has taken effect since, this one is outdated: it may have waited for so long
        that its operator has given it up and sent the opposite.
    """

    zone: str
    evacuated: bool
    after: int = 0


@attrs.frozen
class OrderResult:
    """Result of applying an order.

    Parameters
    ----------
    is_outdated : bool
        Whether the order had no effect, since a later one had been applied.
    has_changed : bool
        Whether the set of evacuated zones is another one now.
    last_index : int
        Index of the last order about the zone that took effect.
    """

    is_outdated: bool
    has_changed: bool
    last_index: int


@attrs.frozen
class _Zone:
    evacuated: bool
    last_index: int


def encode(order: ZoneOrder) -> bytes:
    """Return the payload of a log entry."""
    return json.dumps(attrs.asdict(order)).encode()


class EvacuationState:
    """The evacuated zones, and for each zone the index of the last order in effect.

    The indexes are those of the log, so that entries which are applied again after a snapshot or a
    restart of the replica change nothing.
    """

    def __init__(self):
        self._zones: dict[str, _Zone] = {}

    @property
    def number(self) -> int:
        """Index of the last order in effect; 0 before the first."""
        return max((zone.last_index for zone in self._zones.values()), default=0)

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the evacuated zones, sorted."""
        return tuple(sorted(name for name, zone in self._zones.items() if zone.evacuated))

    def last_index(self, zone: str) -> int:
        """Return the index of the last order about a zone that took effect; 0 if there is none."""
        return self._zones[zone].last_index if zone in self._zones else 0

    def apply_entry(self, entry: messages.LogEntry) -> OrderResult | None:
        """Apply a committed log entry; None if it is no order about a zone."""
        if entry.kind != KIND_ZONE_ORDER:
            return None
        order = ZoneOrder(**json.loads(entry.payload))
        last_index = self.last_index(order.zone)
        if entry.index <= last_index or order.after < last_index:
            return OrderResult(True, False, last_index)
        has_changed = order.evacuated != (order.zone in self.zones)
        self._zones[order.zone] = _Zone(order.evacuated, entry.index)
        return OrderResult(False, has_changed, entry.index)

    def dump(self) -> dict[str, Any]:
        """Return the state for a snapshot, as a JSON object."""
        return {name: [zone.evacuated, zone.last_index] for name, zone in self._zones.items()}

    def load(self, dumped: dict[str, Any]) -> None:
        """Restore a snapshot; what it says of a zone counts only if it is newer."""
        for name, (evacuated, last_index) in dumped.items():
            if last_index > self.last_index(name):
                self._zones[name] = _Zone(evacuated, last_index)
