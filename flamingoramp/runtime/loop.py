"""Event loop of one thread: sockets, timers and a bounded queue of posted callbacks."""

from __future__ import annotations

import collections
import heapq
import itertools
import selectors
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors, value_classes

MAX_POSTED_CALLBACKS = 10_000
MAX_SELECT_SECONDS = 0.5


@attrs.define(eq=False, repr=False)
class Timer(value_classes.MutableValue):
    """A callback scheduled with `Loop.call_later`, which can be cancelled."""

    callback: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent the callback from running; has no effect once it has run."""
        self.cancelled = True


def repeat(
    call_later: Callable[[float, Callable[[], None]], object],
    interval: float,
    callback: Callable[[], None],
) -> None:
    """Run a callback every ``interval`` seconds, using the ``call_later`` of an event loop."""

    def _repeat() -> None:
        call_later(interval, _repeat)
        callback()

    call_later(interval, _repeat)


class Loop:
    """Runs the callbacks of ready sockets, due timers and posted callbacks in one thread.

    Parameters
    ----------
    on_error : callable or None
        Called with an exception that a callback raises; the loop goes on unless it raises, too.
        None to let the exception end the loop.
    """

    def __init__(self, *, on_error: Callable[[Exception], None] | None = None):
        self._on_error = on_error
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._posted_callbacks: collections.deque[Callable[[], None]] = collections.deque()
        # Signal handlers post too, and one may interrupt another one in the same thread.
        self._lock = threading.RLock()
        self._stop_requested = False
        self._iteration_hooks: list[Callable[[], None]] = []
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.register(self._wake_reader, selectors.EVENT_READ, self._drain_wakeups)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def post(self, callback: Callable[[], None]) -> None:
        """Queue a callback to run in the loop's thread; may be called from any thread.

        Raises
        ------
        flamingoramp.errors.OverloadedError
            If `MAX_POSTED_CALLBACKS` callbacks are queued already.
        """
        with self._lock:
            if len(self._posted_callbacks) >= MAX_POSTED_CALLBACKS:
                raise errors.OverloadedError("too many waiting messages; retry", retry_after=1.0)
            self._posted_callbacks.append(callback)
        self.wake_up()

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Run a callback once after ``delay`` seconds."""
        timer = Timer(callback)
        heapq.heappush(self._timers, (self.now() + delay, next(self._sequence), timer))
        return timer

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback every ``interval`` seconds."""
        repeat(self.call_later, interval, callback)

    def after_each_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback at the end of each iteration of the loop."""
        self._iteration_hooks.append(callback)

    def register(self, sock: Any, events: int, callback: Callable[[int], None]) -> None:
        """Call a callback with the ready events of a socket or file descriptor."""
        self._selector.register(sock, events, callback)

    def modify(self, sock: Any, events: int, callback: Callable[[int], None]) -> None:
        """Change the events and the callback of a registered socket."""
        self._selector.modify(sock, events, callback)

    def unregister(self, sock: Any) -> None:
        """Stop watching a registered socket."""
        self._selector.unregister(sock)

    def stop(self) -> None:
        """Make `run` return after the current iteration; may be called from any thread."""
        self._stop_requested = True
        self.wake_up()

    def wake_up(self) -> None:
        """End the wait of `run` for sockets and timers; may be called from anywhere."""
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            return  # the buffer is full, so a wake-up is pending already

    def run(self) -> None:
        """Run until `stop` is called."""
        while not self._stop_requested:
            self.run_once(MAX_SELECT_SECONDS)

    def close(self) -> None:
        """Close the selector and the wake-up sockets; all other sockets must be unregistered."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def run_once(self, max_wait_seconds: float) -> None:
        """Run one iteration; wait at most ``max_wait_seconds`` if no callback is ready."""
        for key, events in self._selector.select(self._select_timeout(max_wait_seconds)):
            self._invoke(key.data, events)
        self._run_posted_callbacks()
        self._run_timers()
        for hook in self._iteration_hooks:
            self._invoke(hook)

    def _invoke(self, callback: Callable[..., None], *arguments: Any) -> None:
        try:
            callback(*arguments)
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(error)

    def _select_timeout(self, max_wait_seconds: float) -> float:
        if self._posted_callbacks:
            return 0
        if self._timers:
            return max(0.0, min(max_wait_seconds, self._timers[0][0] - self.now()))
        return max_wait_seconds

    def _run_posted_callbacks(self) -> None:
        for _ in range(len(self._posted_callbacks)):
            self._invoke(self._posted_callbacks.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                self._invoke(timer.callback)

    def _drain_wakeups(self, _events: int) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            return
