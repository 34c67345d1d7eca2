"""Long prompts that entries have placed within the last moments, and placements that cross.

Load reports arrive 10 to 400 ms after the placements that they tell of. Entries that place long
prompts within that time choose the same engines. So an entry tells all others at once of each long
prompt that it places, and sends the prompt a little later. If a notice arrives meanwhile of a
placement on one of the same engines that was chosen without knowledge of its own, the two cross:
the one with the lower id stays, and the other prompt is placed again.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Time for which notices of others are remembered; later ones know of them by their loads.
KNOWN_SECONDS = 0.25


@attrs.define
class _OwnPlacement:
    """Servers of a prompt that this entry has placed and not sent yet."""

    servers: frozenset[str]
    known: frozenset[str]
    must_move: bool = False


class PlacementNotices:
    """Own placements that aren't sent yet, and those that other entries have told of lately.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._own: dict[str, _OwnPlacement] = {}
        self._heard_at: dict[str, float] = {}

    def begin(self, placement: str, servers: Iterable[str], now: float) -> tuple[str, ...]:
        """Record a placement of this entry.

        Returns
        -------
        tuple of str
            Ids of other entries' placements that it was made with knowledge of.
        """
        self._heard_at = {
            other: heard_at
            for other, heard_at in self._heard_at.items()
            if now - heard_at < KNOWN_SECONDS
        }
        known = tuple(self._heard_at)
        self._own[placement] = _OwnPlacement(frozenset(servers), frozenset(known))
        return known

    def end(self, placement: str) -> bool:
        """Remove a placement of this entry; return whether the prompt has to be placed again."""
        own = self._own.pop(placement, None)
        return own is not None and own.must_move

    def handle(
        self, placement: str, servers: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Process another entry's notice, and find own placements that it crosses."""
        self._heard_at[placement] = now
        servers = set(servers)
        known = set(known)
        for own_id, own in self._own.items():
            is_known = own_id in known or placement in own.known
            if not is_known and placement < own_id and own.servers & servers:
                own.must_move = True
