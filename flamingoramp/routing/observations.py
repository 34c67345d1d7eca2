"""How backend servers have been doing, as their answers show."""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages
from flamingoramp.routing import circuit_breaker

# Weight of one new observation.
PACE_WEIGHT = 0.4
ERROR_WEIGHT = 0.15
# An observed pace counts for this long; then the server is taken to be as fast as its model.
PACE_SECONDS = 4.0
# A server whose share of failed answers is above this is used only if no other is left.
DOUBTFUL_ERRORS = 0.45
ERRORS_MEMORY_SECONDS = 10.0
# A measured pace below this is noise of the measurement.
SMALLEST_PACE = 1.3


def instance_key(record: messages.ServerRecord) -> str:
    """Return what names one life of a server."""
    return f"{record.server}/{record.born}"


@attrs.define
class _Server:
    pace: float = 1.0
    paced_at: float = float("-inf")
    errors: float = 0.0
    erred_at: float = float("-inf")


class Observations:
    """Pace, failures and pauses of servers; a restarted server begins anew.

    Servers are named by a key that changes with each start.
    """

    def __init__(self):
        self._servers: dict[str, _Server] = {}
        self._breaker = circuit_breaker.CircuitBreaker()

    def record_slowdown(self, key: str, pace: float, now: float) -> None:
        """Take in how many times slower than its model a server was."""
        server = self._server(key)
        measured = pace if pace >= SMALLEST_PACE else 1.0
        if now - server.paced_at > PACE_SECONDS:
            server.pace = measured
        server.pace += PACE_WEIGHT * (measured - server.pace)
        server.paced_at = now

    def record_response(self, key: str, *, failed: bool, now: float) -> None:
        """Take in a whole answer, and whether it reported a failure of the server."""
        server = self._server(key)
        server.errors += ERROR_WEIGHT * (float(failed) - server.errors)
        server.erred_at = now
        self._breaker.record_success(key)

    def record_attempt_failure(self, key: str, now: float) -> None:
        """Take in that a server broke off, or couldn't be reached."""
        self._breaker.record_failure(key, now)

    def pace(self, key: str, now: float) -> float:
        """Return how many times slower than its model a server is."""
        server = self._server(key)
        return server.pace if now - server.paced_at < PACE_SECONDS else 1.0

    def is_suspended(self, key: str, now: float) -> bool:
        """Tell whether a server gets no work for the moment."""
        return self._breaker.is_open(key, now)

    def is_degraded(self, key: str, now: float) -> bool:
        """Tell whether a server fails much of what it answers."""
        server = self._server(key)
        recent = now - server.erred_at < ERRORS_MEMORY_SECONDS
        return recent and server.errors > DOUBTFUL_ERRORS

    def retain_only(self, keys: set[str]) -> None:
        """Forget all servers but these."""
        self._servers = {key: one for key, one in self._servers.items() if key in keys}
        self._breaker.retain_only(keys)

    def _server(self, key: str) -> _Server:
        found = self._servers.get(key)
        if found is None:
            found = self._servers[key] = _Server()
        return found
