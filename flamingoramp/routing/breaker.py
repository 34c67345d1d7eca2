"""Circuit breaker: servers whose attempts fail get no work for an increasing time."""

from __future__ import annotations

MIN_SUSPENSION_SECONDS = 1.0
MAX_SUSPENSION_SECONDS = 30.0


class CircuitBreaker:
    """Suspends servers; each consecutive failure doubles the suspension.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._failures: dict[str, int] = {}
        self._open_until: dict[str, float] = {}

    def record_failure(self, server: str, now: float) -> None:
        """Suspend a server after a failed attempt.

        Failures during a suspension are ignored, so that several attempts that fail together count
        once.
        """
        if self.is_open(server, now):
            return
        failures = self._failures.get(server, 0)
        self._failures[server] = failures + 1
        suspension = min(MAX_SUSPENSION_SECONDS, MIN_SUSPENSION_SECONDS * 2**failures)
        self._open_until[server] = now + suspension

    def record_success(self, server: str) -> None:
        """End a server's suspension and reset its number of failures."""
        self._failures.pop(server, None)
        self._open_until.pop(server, None)

    def is_open(self, server: str, now: float) -> bool:
        """Return whether a server is suspended."""
        return now < self._open_until.get(server, float("-inf"))

    def retain_only(self, servers: set[str]) -> None:
        """Remove the state of all other servers."""
        self._failures = {
            server: count for server, count in self._failures.items() if server in servers
        }
        self._open_until = {
            server: until for server, until in self._open_until.items() if server in servers
        }
