"""Recent slowdown and failures of backend servers, as this entry observed them."""

from __future__ import annotations

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages
from flamingoramp.routing import breaker

# Weights of a new observation in the exponentially weighted averages.
SLOWDOWN_WEIGHT = 0.4
ERROR_WEIGHT = 0.15
# An observed slowdown is valid for this long. After that the server is assumed to be as fast as its
# model.
SLOWDOWN_EXPIRY_SECONDS = 4.0
# A server whose share of failed responses is above this is used only if no other is left.
DEGRADED_ERROR_RATIO = 0.45
ERROR_EXPIRY_SECONDS = 10.0
# An observed slowdown below this is measurement noise.
MIN_SLOWDOWN_RATIO = 1.3


def instance_key(record: messages.ServerRecord) -> str:
    """Return a key of one run of a server; a restart changes it."""
    return f"{record.server}/{record.born}"


@attrs.define(eq=False, repr=False)
class _History(value_classes.MutableValue):
    """Averages of one server instance, and when each was last updated (monotonic seconds)."""

    slowdown: float = 1.0
    slowdown_at: float = float("-inf")
    error_ratio: float = 0.0
    response_at: float = float("-inf")


class Observations:
    """Slowdown, failures and suspension of server instances.

    Instances are identified by `instance_key`, so that a restarted server starts without history.
    Times are monotonic seconds.
    """

    def __init__(self):
        self._histories: dict[str, _History] = {}
        self._breaker = breaker.CircuitBreaker()

    def record_slowdown(self, key: str, slowdown: float, now: float) -> None:
        """Update the average of a server's pass time divided by that of its engine model."""
        history = self._history(key)
        observed = slowdown if slowdown >= MIN_SLOWDOWN_RATIO else 1.0
        if now - history.slowdown_at > SLOWDOWN_EXPIRY_SECONDS:
            history.slowdown = observed
        history.slowdown += SLOWDOWN_WEIGHT * (observed - history.slowdown)
        history.slowdown_at = now

    def record_response(self, key: str, *, failed: bool, now: float) -> None:
        """Record a complete response, which also ends a suspension.

        Parameters
        ----------
        key : str
        failed : bool
            Whether the response reported a failure of the server.
        now : float
        """
        history = self._history(key)
        history.error_ratio += ERROR_WEIGHT * (float(failed) - history.error_ratio)
        history.response_at = now
        self._breaker.record_success(key)

    def record_attempt_failure(self, key: str, now: float) -> None:
        """Record an attempt without a complete response, which suspends the server.

        The connection failed or broke, or the server was silent for too long.
        """
        self._breaker.record_failure(key, now)

    def slowdown(self, key: str, now: float) -> float:
        """Return a server's pass time divided by that of its engine model; 1 if not known."""
        history = self._history(key)
        return history.slowdown if now - history.slowdown_at < SLOWDOWN_EXPIRY_SECONDS else 1.0

    def is_suspended(self, key: str, now: float) -> bool:
        """Return whether the circuit breaker of a server is open."""
        return self._breaker.is_open(key, now)

    def is_degraded(self, key: str, now: float) -> bool:
        """Return whether the share of failed responses exceeds `DEGRADED_ERROR_RATIO`."""
        history = self._history(key)
        recent = now - history.response_at < ERROR_EXPIRY_SECONDS
        return recent and history.error_ratio > DEGRADED_ERROR_RATIO

    def retain_only(self, keys: set[str]) -> None:
        """Remove the history of all other servers."""
        self._histories = {key: history for key, history in self._histories.items() if key in keys}
        self._breaker.retain_only(keys)

    def _history(self, key: str) -> _History:
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = _History()
        return history
