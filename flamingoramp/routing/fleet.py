"""State of the backend servers of one shard, as its owner tracks it."""

from __future__ import annotations

import math

from flamingoramp.membership import server_directory
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import breaker, ledger, prefix

MIN_BACKLOG_RATIO = 0.1


class Fleet:
    """Backend servers of a shard: leases, reservations, pending prefills and cached prefixes.

    Parameters
    ----------
    lease_seconds : float
        Time after its last announcement for which a server counts as live.

    Attributes
    ----------
    reported_memory_until : float
        Time on the owner's clock until which `free_tokens` also takes the memory use that servers
        report into account.
    evacuated_zones : frozenset of str
        Availability zones whose servers get nothing new.
    """

    def __init__(self, lease_seconds: float):
        self.directory = server_directory.ServerDirectory(lease_seconds)
        self.ledger = ledger.Ledger()
        self.prefixes = prefix.PrefixView()
        self.breaker = breaker.CircuitBreaker()
        self.reported_memory_until = 0.0
        self.evacuated_zones: frozenset[str] = frozenset()
        # Time at which each server last ended a prefill, or started one with no other pending.
        self._prefill_progress_at: dict[str, float] = {}

    def url(self, server: str) -> str:
        """Return a server's base URL, empty if it is unknown."""
        member = self.directory.find(server)
        return member.announcement.url if member else ""

    def usable_servers(self, now: float) -> list[shard_messages.Announcement]:
        """Return the announcements of live servers that are not in evacuated zones."""
        return [
            announcement
            for announcement in self.directory.live_announcements(now)
            if announcement.zone not in self.evacuated_zones
        ]

    def free_tokens(self, server: shard_messages.Announcement, now: float) -> int:
        """Return a server's memory that is not reserved, in tokens."""
        used = self.ledger.reserved_tokens(server.server)
        if now < self.reported_memory_until:
            # Entries may not have reported all their reservations to this new owner yet.
            used = max(used, server.memory_used)
        return server.memory_tokens - used

    def free_slots(self, server: shard_messages.Announcement) -> int:
        """Return how many more requests a server can run concurrently."""
        return server.slots - self.ledger.reservation_count(server.server)

    def backlog_seconds(self, server: str, priority: int, now: float) -> float:
        """Predict a server's remaining prefill time of requests of at least a given priority.

        The prefill in progress may take longer than predicted, so the result is at least
        `MIN_BACKLOG_RATIO` of the longest prefill.
        """
        unfinished = [
            reservation
            for reservation in self.ledger.reservations_on(server)
            if not reservation.prefill_done
        ]
        preceding = [
            reservation.prefill_seconds
            for reservation in unfinished
            if reservation.priority <= priority
        ]
        if not preceding:
            return 0.0
        total = sum(preceding)
        elapsed = now - self._prefill_progress_at.get(server, now)
        return max(total - elapsed, MIN_BACKLOG_RATIO * max(preceding))

    def prefill_seconds(
        self, server: shard_messages.Announcement, reserve: shard_messages.Reserve
    ) -> float:
        """Predict a request's prefill time on a server, without the prefix that is cached there."""
        if server.prefill_rate <= 0:
            return 0.0
        cached = self.prefixes.cached_tokens(server.server, reserve.prefix_hashes)
        return max(reserve.prompt_tokens - cached, 1) / server.prefill_rate

    def is_prefilling_long(self, server: str) -> bool:
        """Return whether a server has an unfinished prefill of a long prompt."""
        return any(
            reservation.is_long and not reservation.prefill_done
            for reservation in self.ledger.reservations_on(server)
        )

    def is_prefilling_lower_priority(self, server: str, priority: int) -> bool:
        """Return whether a server has an unfinished prefill of lower priority.

        A higher number is a lower priority.
        """
        return any(
            reservation.priority > priority and not reservation.prefill_done
            for reservation in self.ledger.reservations_on(server)
        )

    def is_prefilling(self, server: str) -> bool:
        """Return whether a server has an unfinished prefill."""
        return any(
            not reservation.prefill_done for reservation in self.ledger.reservations_on(server)
        )

    def reserve(self, reservation: ledger.Reservation, hashes: tuple[int, ...]) -> None:
        """Add a reservation to the ledger.

        Parameters
        ----------
        reservation : ledger.Reservation
        hashes : tuple of int
            Prefix hashes of its prompt; if it is on one server, they count as cached there.
        """
        for server in reservation.servers:
            if all(other.prefill_done for other in self.ledger.reservations_on(server)):
                self._prefill_progress_at[server] = reservation.granted_at
        self.ledger.add(reservation)
        if len(reservation.servers) == 1:
            self.prefixes.add(reservation.servers[0], hashes)

    def finish_prefill(self, key: ledger.AttemptKey, now: float) -> None:
        """Record that an attempt delivered its first token; an unknown key changes nothing."""
        reservation = self.ledger.find(key)
        if reservation is None or reservation.prefill_done:
            return
        reservation.prefill_done = True
        for server in reservation.servers:
            self._prefill_progress_at[server] = now

    def release(self, key: ledger.AttemptKey, now: float) -> ledger.Reservation | None:
        """Remove an attempt's reservation and return it; None if there is none."""
        reservation = self.ledger.release(key)
        if reservation is not None and not reservation.prefill_done:
            for server in reservation.servers:
                self._prefill_progress_at[server] = now
        return reservation


def group_size(required_tokens: int, memory_tokens: list[int]) -> int:
    """Return the smallest number of engines that hold a request; 0 if all together can't.

    Parameters
    ----------
    required_tokens : int
        Tokens of prompt and answer together.
    memory_tokens : list of int
        Memory of each engine in tokens.
    """
    total = 0
    for size, memory in enumerate(sorted(memory_tokens, reverse=True), start=1):
        total += memory
        if total >= required_tokens:
            return size
    return 0


def split_tokens(required_tokens: int, free_tokens: list[int]) -> tuple[int, ...] | None:
    """Split a request over the free memory of a group, evenly as far as that fits.

    Parameters
    ----------
    required_tokens : int
        Tokens of prompt and answer together.
    free_tokens : list of int
        Free memory of each engine in tokens.

    Returns
    -------
    tuple of int, or None
        Tokens for each engine; None if they don't fit.
    """
    if sum(free_tokens) < required_tokens:
        return None
    tokens_per_engine = [0] * len(free_tokens)
    unassigned_tokens = required_tokens
    by_free_tokens = sorted(range(len(free_tokens)), key=lambda index: free_tokens[index])
    for assigned_count, index in enumerate(by_free_tokens):
        tokens_per_engine[index] = min(
            free_tokens[index], math.ceil(unassigned_tokens / (len(free_tokens) - assigned_count))
        )
        unassigned_tokens -= tokens_per_engine[index]
    return tuple(tokens_per_engine)
