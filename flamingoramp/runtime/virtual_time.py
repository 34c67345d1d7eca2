"""Event loop on virtual time, which a test or experiment advances explicitly."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from flamingoramp.runtime import loop


class VirtualLoop:
    """Replacement for `loop.Loop` on virtual time, without sockets and posted callbacks."""

    def __init__(self):
        self._now = 0.0
        self._timers: list[tuple[float, int, loop.Timer]] = []
        self._sequence = itertools.count()
        self._iteration_hooks: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return virtual time in seconds since the loop was created."""
        return self._now

    def call_later(self, delay: float, callback: Callable[[], None]) -> loop.Timer:
        """Run a callback once after ``delay`` seconds of virtual time."""
        timer = loop.Timer(callback)
        due_at = self._now + max(0.0, delay)
        heapq.heappush(self._timers, (due_at, next(self._sequence), timer))
        return timer

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback every ``interval`` seconds of virtual time."""
        loop.repeat(self.call_later, interval, callback)

    def after_each_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback after each timer; an iteration of this loop runs one timer."""
        self._iteration_hooks.append(callback)

    def advance(self, seconds: float) -> None:
        """Advance virtual time and run the timers that become due, in order."""
        end_time = self._now + seconds
        while self._timers and self._timers[0][0] <= end_time:
            due_at, _, timer = heapq.heappop(self._timers)
            if timer.cancelled:
                continue
            self._now = max(self._now, due_at)
            timer.callback()
            for hook in self._iteration_hooks:
                hook()
        self._now = end_time
