"""Hybrid logical clock that orders the timeline events of several processes."""

from __future__ import annotations

import time

_COUNTER_BITS = 16


class HybridClock:
    """Hybrid logical clock: Unix time in milliseconds, with a counter in the low bits.

    Timestamps increase strictly and exceed each timestamp that was passed to `observe`.
    """

    def __init__(self):
        self._last_timestamp = 0

    def tick(self) -> int:
        """Return a new timestamp, greater than all before it."""
        wall_clock = int(time.time() * 1000) << _COUNTER_BITS
        self._last_timestamp = max(wall_clock, self._last_timestamp + 1)
        return self._last_timestamp

    def observe(self, timestamp: int) -> None:
        """Advance the clock to at least a timestamp of another process."""
        self._last_timestamp = max(self._last_timestamp, timestamp)


def to_unix_seconds(timestamp: int) -> float:
    """Return the wall-clock part of a timestamp, as Unix time in seconds."""
    return (timestamp >> _COUNTER_BITS) / 1000
