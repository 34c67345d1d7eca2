"""Clock of the replicated state, which a wrong wall clock of a host can't make jump.

Retention times of claims and quarantines are measured in this time. It starts at the first leader's
Unix time. After that it follows the leader's monotonic clock, and is slewed towards the leader's
wall clock by at most ``SLEW_RATIO``.
"""

from __future__ import annotations

import attrs

# Largest relative difference between the rates of cluster time and of the leader's monotonic clock.
SLEW_RATIO = 0.1


@attrs.define
class ClusterClock:
    """Clock that a leader reads the cluster time from, in Unix seconds."""

    _last_time: float = 0.0
    _read_at: float = 0.0

    def start(self, now: float) -> None:
        """Start to follow this leader's monotonic clock, which is at ``now``, in seconds."""
        self._read_at = now

    def read(self, wall_time: float, now: float, *, applied_time: float) -> float:
        """Return the cluster time.

        Parameters
        ----------
        wall_time : float
            The leader's Unix time.
        now : float
            The leader's monotonic clock, in seconds.
        applied_time : float
            Latest cluster time of an applied command, 0 before the first.

        Examples
        --------
        >>> clock = ClusterClock()
        >>> clock.start(50.0)
        >>> clock.read(999_999.0, 60.0, applied_time=1000.0)
        1011.0
        """
        last_time = max(self._last_time, applied_time)
        elapsed = max(0.0, now - self._read_at)
        self._read_at = now
        if last_time:
            earliest = last_time + elapsed * (1 - SLEW_RATIO)
            latest = last_time + elapsed * (1 + SLEW_RATIO)
            self._last_time = min(max(wall_time, earliest), latest)
        else:
            self._last_time = wall_time
        return self._last_time
