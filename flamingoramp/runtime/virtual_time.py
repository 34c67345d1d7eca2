"""A loop whose time passes only when it is told to, for tests and experiments."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from flamingoramp.runtime import loop as loops


class VirtualLoop:
    """Timers in virtual time; a stand-in for `loop.Loop` where no sockets are used."""

    def __init__(self):
        self._time = 0.0
        self._heap: list[tuple[float, int, loops.Timer]] = []
        self._order = itertools.count()
        self._hooks: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the time in seconds."""
        return self._time

    def call_later(self, delay: float, callback: Callable[[], None]) -> loops.Timer:
        """Run a callback once after ``delay`` seconds."""
        timer = loops.Timer(callback)
        due = self._time + max(0.0, delay)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback each ``interval`` seconds."""
        loops.repeat(self.call_later, interval, callback)

    def after_each_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback after each timer."""
        self._hooks.append(callback)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self._time + seconds
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            self._time = max(self._time, due)
            timer.callback()
            for hook in self._hooks:
                hook()
        self._time = end
