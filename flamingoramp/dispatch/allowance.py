"""Limit of one entry's retries: its part of the retries that a service may get in any window."""

from __future__ import annotations

import collections

# Part of its allowance that an entry spends. The rest covers entries that have just joined or left,
# which not every entry has counted yet.
USABLE_ALLOWANCE_RATIO = 0.7


class RetryAllowance:
    """Counts requests and retries of one service in a sliding window.

    Parameters
    ----------
    ratio, slack : float
        Retries allowed in a window: per request, and in addition for all entries together.
    window_seconds : float
        Length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_seconds: float):
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._evict(now)

    def try_spend(self, now: float, *, entry_count: int) -> bool:
        """Spend one retry; False if this entry's part of the allowance is used up.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        entry_count : int
            Entries that share the allowance.
        """
        self._evict(now)
        allowed_retries = self._ratio * len(self._requests) + self._slack / max(1, entry_count)
        if len(self._retries) + 1 > USABLE_ALLOWANCE_RATIO * allowed_retries:
            return False
        self._retries.append(now)
        return True

    def _evict(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_seconds:
                times.popleft()
