"""Servers that failed several attempts get no work for a while."""

from __future__ import annotations

FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 30.0


class CircuitBreaker:
    """Consecutive failures by server; each doubles the pause."""

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._open_until: dict[str, float] = {}

    def record_failure(self, server: str, now: float) -> None:
        """Note a failed attempt; failures of the same moment count once."""
        if self.is_open(server, now):
            return
        failures = self._failures.get(server, 0)
        self._failures[server] = failures + 1
        pause = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**failures)
        self._open_until[server] = now + pause

    def record_success(self, server: str) -> None:
        """Note an attempt that ended well."""
        self._failures.pop(server, None)
        self._open_until.pop(server, None)

    def is_open(self, server: str, now: float) -> bool:
        """Tell whether a server is passed over."""
        return now < self._open_until.get(server, float("-inf"))

    def retain_only(self, servers: set[str]) -> None:
        """Forget all other servers."""
        self._failures = {one: n for one, n in self._failures.items() if one in servers}
        self._open_until = {one: at for one, at in self._open_until.items() if one in servers}
