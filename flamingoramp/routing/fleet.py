"""The state of each backend server as its owner sees it."""

from __future__ import annotations

import math

from flamingoramp.membership import server_directory
from flamingoramp.protocol import messages
from flamingoramp.routing import breaker
from flamingoramp.routing import ledger as ledgers
from flamingoramp.routing import prefix as prefixes

SAFETY_FLOOR_RATIO = 0.1


class Fleet:
    """Backend servers of a shard: leases, memory, prefill work and cached prefixes.

    Parameters
    ----------
    lease_seconds : float
        Lease of an announcement.
    """

    def __init__(self, lease_seconds: float):
        self.directory = server_directory.ServerDirectory(lease_seconds)
        self.ledger = ledgers.Ledger()
        self.prefixes = prefixes.PrefixView()
        self.breaker = breaker.Breaker()
        self.trust_reports_until = 0.0
        self._work_marks: dict[str, float] = {}

    def url(self, server: str) -> str:
        """Return a server's base URL, empty if it is unknown."""
        member = self.directory.find(server)
        return member.announcement.url if member else ""

    def free_tokens(self, server: messages.Announcement, now: float) -> int:
        """Return the memory that no reservation holds, in tokens."""
        used = self.ledger.tokens_on(server.server)
        if now < self.trust_reports_until:
            # Entries may still have to tell this owner what they use.
            used = max(used, server.memory_used)
        return server.memory_tokens - used

    def free_slots(self, server: messages.Announcement) -> int:
        """Return how many more requests the server runs at once."""
        return server.slots - self.ledger.count_on(server.server)

    def backlog_seconds(self, server: str, priority: int, now: float) -> float:
        """Return the prefill work that goes before a request of a priority."""
        undone = [one for one in self.ledger.on(server) if not one.prefill_done]
        ahead = [one.prefill_seconds for one in undone if one.priority <= priority]
        if not ahead:
            return 0.0
        total = sum(ahead)
        elapsed = now - self._work_marks.get(server, now)
        return max(total - elapsed, SAFETY_FLOOR_RATIO * max(ahead))

    def prefill_seconds(self, server: messages.Announcement, reserve: messages.Reserve) -> float:
        """Predict a request's prefill on a server, less the prefix that is cached there."""
        if server.prefill_rate <= 0:
            return 0.0
        cached = self.prefixes.cached_tokens(server.server, reserve.prefix_hashes)
        return max(reserve.prompt_tokens - cached, 1) / server.prefill_rate

    def runs_long(self, server: str) -> bool:
        """Tell whether a long prefill is under way on a server."""
        return any(one.long and not one.prefill_done for one in self.ledger.on(server))

    def prefills_beyond(self, server: str, priority: int) -> bool:
        """Tell whether a prefill of a lower priority is under way on a server."""
        return any(
            one.priority > priority and not one.prefill_done for one in self.ledger.on(server)
        )

    def is_prefilling(self, server: str) -> bool:
        """Tell whether any prefill is under way on a server."""
        return any(not one.prefill_done for one in self.ledger.on(server))

    def reserve(self, reservation: ledgers.Reservation, hashes: tuple[int, ...]) -> None:
        """Take memory on the servers of a reservation."""
        for server in reservation.servers:
            if all(one.prefill_done for one in self.ledger.on(server)):
                self._work_marks[server] = reservation.granted
        self.ledger.add(reservation)
        if len(reservation.servers) == 1:
            self.prefixes.add(reservation.servers[0], hashes)

    def finish_prefill(self, key: ledgers.Key, now: float) -> None:
        """Note that an attempt delivered its first token."""
        reservation = self.ledger.find(key)
        if reservation is None or reservation.prefill_done:
            return
        reservation.prefill_done = True
        for server in reservation.servers:
            self._work_marks[server] = now

    def release(self, key: ledgers.Key, now: float) -> ledgers.Reservation | None:
        """Give an attempt's memory back."""
        reservation = self.ledger.release(key)
        if reservation is not None and not reservation.prefill_done:
            for server in reservation.servers:
                self._work_marks[server] = now
        return reservation


def group_size(need: int, memories: list[int]) -> int:
    """Return how many engines a prompt takes, 0 if all together are too small.

    Parameters
    ----------
    need : int
        Tokens of prompt and answer.
    memories : list of int
        Memory of each engine in tokens.
    """
    total = 0
    for size, memory in enumerate(sorted(memories, reverse=True), start=1):
        total += memory
        if total >= need:
            return size
    return 0


def split_tokens(need: int, free: list[int]) -> tuple[int, ...] | None:
    """Split a prompt over the free memory of a group, evenly where it fits.

    Returns
    -------
    tuple of int, or None
        Tokens for each engine; None if they don't fit.
    """
    if sum(free) < need:
        return None
    parts = [0] * len(free)
    left = need
    open_places = sorted(range(len(free)), key=lambda place: free[place])
    for done, place in enumerate(open_places):
        parts[place] = min(free[place], math.ceil(left / (len(free) - done)))
        left -= parts[place]
    return tuple(parts)
