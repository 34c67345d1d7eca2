"""Clocks: a hybrid logical clock for the time line."""

from __future__ import annotations

import time

_COUNTER_BITS = 16


class HybridClock:
    """Milliseconds of Unix time with a counter, never behind a clock it has seen."""

    def __init__(self):
        self._last = 0

    def tick(self) -> int:
        """Return the next reading."""
        wall = int(time.time() * 1000) << _COUNTER_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, reading: int) -> None:
        """Advance past a reading of another process."""
        self._last = max(self._last, reading)


def to_seconds(reading: int) -> float:
    """Return the Unix time of a reading in seconds."""
    return (reading >> _COUNTER_BITS) / 1000
