"""Time of the replicated state, which no host's wrong clock can make jump.

Retention of claims and quarantines is counted in this time. It starts at the first leader's Unix
time; from then on the leader's monotonic clock moves it, and its wall clock only bends its rate.
"""

from __future__ import annotations

import attrs

# Largest difference between the rates of cluster time and of the leader's clock.
SLEW_RATIO = 0.1


@attrs.define
class ClusterClock:
    """Cluster time as one leader gives it out, in Unix seconds."""

    _last: float = 0.0
    _read_at: float = 0.0

    def start(self, now: float) -> None:
        """Start to count on this leader's monotonic clock, in seconds."""
        self._read_at = now

    def read(self, wall_time: float, now: float, *, applied_time: float) -> float:
        """Return the cluster time.

        Parameters
        ----------
        wall_time : float
            The leader's Unix time.
        now : float
            The leader's monotonic clock.
        reached : float
            Latest time of an applied command, 0 if there was none yet.

        Examples
        --------
        >>> clock = ClusterClock()
        >>> clock.start(50.0)
        >>> clock.read(999_999.0, 60.0, reached=1000.0)
        1011.0
        """
        last = max(self._last, applied_time)
        elapsed = max(0.0, now - self._read_at)
        self._read_at = now
        if last:
            earliest = last + elapsed * (1 - SLEW_RATIO)
            latest = last + elapsed * (1 + SLEW_RATIO)
            self._last = min(max(wall_time, earliest), latest)
        else:
            self._last = wall_time
        return self._last
