"""Arrival rates that adapt to a change of the traffic within seconds."""

from __future__ import annotations

import math

# Time constant of the exponential average. The mix of requests can change within ten seconds.
TIME_CONSTANT_SECONDS = 3.0


class RateMeter:
    """Exponentially decaying average of a rate; times are monotonic seconds.

    Parameters
    ----------
    time_constant_seconds : float
    """

    def __init__(self, time_constant_seconds: float = TIME_CONSTANT_SECONDS):
        self._time_constant_seconds = time_constant_seconds
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add the amount of one arrival."""
        self._sum = self._decayed_sum(now) + amount
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the average amount per second."""
        return self._decayed_sum(now) / self._time_constant_seconds

    def certain_rate(self, now: float) -> float:
        """Return the average less the standard deviation of as many independent arrivals."""
        total = self._decayed_sum(now)
        return max(0.0, total - math.sqrt(total)) / self._time_constant_seconds

    def _decayed_sum(self, now: float) -> float:
        elapsed_seconds = max(0.0, now - self._updated_at)
        return self._sum * math.exp(-elapsed_seconds / self._time_constant_seconds)
