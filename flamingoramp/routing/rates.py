"""Rates of arrival that follow a change of the mix within seconds."""

from __future__ import annotations

import math

# Time over which arrivals are averaged; a mix of requests changes within ten seconds.
AVERAGE_SECONDS = 3.0


class RateMeter:
    """An average that forgets exponentially; times are monotonic seconds."""

    def __init__(self):
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an arrival."""
        self._sum = self._decayed(now) + amount
        self._at = now

    def rate(self, now: float) -> float:
        """Return the amount a second."""
        return self._decayed(now) / AVERAGE_SECONDS

    def _decayed(self, now: float) -> float:
        return self._sum * math.exp(-max(0.0, now - self._at) / AVERAGE_SECONDS)
