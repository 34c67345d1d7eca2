"""Long prompts that entries have placed within the last moments, and placements that cross.

Load reports arrive 10 to 400 ms after the placements that they tell of. Entries that place long
prompts within that time choose the same engines. So an entry tells all others at once of each long
prompt that it places, and sends the prompt a little later. If a notice arrives meanwhile of a
placement on one of the same engines that was chosen without knowledge of its own, the two cross:
the one with the lower id stays, and the other prompt is placed again. If the other entry doesn't
withdraw its placement, it has heard of the first one too late, and the first one moves.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

# Time for which notices of others are remembered; later ones know of them by their loads.
KNOWN_SECONDS = 0.25


class Settlement(enum.Enum):
    """What becomes of a placement.

    STAYS: the prompt is sent. MOVES: it is placed again. OPEN: another one that crosses it has to
    move, and hasn't been withdrawn yet.
    """

    STAYS = "stays"
    MOVES = "moves"
    OPEN = "open"


@attrs.define
class _OwnPlacement:
    """Servers of a prompt that this entry has placed and not sent yet.

    ``known`` are placements of others that it was made with knowledge of, and ``losers`` those that
    cross it and have to move.
    """

    servers: frozenset[str]
    known: frozenset[str]
    losers: set[str] = attrs.field(factory=set)
    must_move: bool = False

    @property
    def settlement(self) -> Settlement:
        """What becomes of it, by what is known now."""
        if self.must_move:
            return Settlement.MOVES
        return Settlement.OPEN if self.losers else Settlement.STAYS


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
        self._forget_old(now)
        known = tuple(self._heard_at)
        self._own[placement] = _OwnPlacement(frozenset(servers), frozenset(known))
        return known

    def settle(self, placement: str) -> Settlement:
        """Return what becomes of a placement of this entry, and forget it unless that is open."""
        settlement = self._own[placement].settlement
        if settlement is not Settlement.OPEN:
            del self._own[placement]
        return settlement

    def withdraw(self, placement: str) -> None:
        """Forget a placement of this entry."""
        self._own.pop(placement, None)

    def handle(
        self, placement: str, servers: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Process another entry's notice, which withdraws the placement if it has no servers."""
        self._forget_old(now)
        self._heard_at[placement] = now
        servers = set(servers)
        known = set(known)
        for own_id, own in self._own.items():
            if not servers:
                own.losers.discard(placement)
            elif own_id in known or placement in own.known or not own.servers & servers:
                continue
            elif placement < own_id:
                own.must_move = True
            else:
                own.losers.add(placement)

    def _forget_old(self, now: float) -> None:
        self._heard_at = {
            placement: heard_at
            for placement, heard_at in self._heard_at.items()
            if now - heard_at < KNOWN_SECONDS
        }
