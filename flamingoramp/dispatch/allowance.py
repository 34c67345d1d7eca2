"""Repeated sends of one entry, kept within its part of what a service may get in any window."""

from __future__ import annotations

import collections

# Part of the allowance that is used; the rest covers entries that have just come or gone.
USED_SHARE = 0.7


class RetryAllowance:
    """Counts requests and repeats of one service in a sliding window.

    Parameters
    ----------
    ratio, slack : float
        Repeats allowed over all entries: a share of the requests, and a number.
    window : float
        Seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window: float):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float, *, entries: int) -> bool:
        """Take one repeat; False if this entry's part is used up.

        Parameters
        ----------
        entries : int
            Entries that share the allowance.
        """
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, entries)
        if len(self._repeats) + 1 > USED_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
