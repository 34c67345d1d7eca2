"""Detection of gaps in which a process did not run, as it was suspended or starved."""

from __future__ import annotations


class SuspensionDetector:
    """Detects gaps between observations that are made at short intervals.

    Parameters
    ----------
    max_gap_seconds : float
        Longest time between two observations of a process that runs.
    """

    def __init__(self, max_gap_seconds: float):
        self._max_gap_seconds = max_gap_seconds
        self._clocks: tuple[float, ...] = ()
        self._resumed_at = float("-inf")

    def observe(self, *clocks: float) -> bool:
        """Record an observation and return whether a gap has just ended.

        Parameters
        ----------
        *clocks : float
            Readings in seconds of the same clocks at each observation, the loop's clock first. A
            suspension may stop some of them.
        """
        gap = max((now - last for now, last in zip(clocks, self._clocks, strict=False)), default=0)
        self._clocks = clocks
        if gap <= self._max_gap_seconds:
            return False
        self._resumed_at = clocks[0]
        return True

    def seconds_since_gap(self, now: float) -> float:
        """Return the time since the end of the last gap by the loop's clock, infinite for none."""
        return now - self._resumed_at
