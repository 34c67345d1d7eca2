"""The event loop of one task: it owns sockets, timers and a bounded mailbox."""

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

from flamingoramp import errors

MAILBOX_LIMIT = 10_000
MAX_WAIT_SECONDS = 0.5


@attrs.define
class Timer:
    """A scheduled call; `cancel` keeps it from running."""

    callback: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Keep the call from running."""
        self.cancelled = True


def repeat(
    call_later: Callable[[float, Callable[[], None]], object],
    interval: float,
    callback: Callable[[], None],
) -> None:
    """Run a callback each ``interval`` seconds by a loop's ``call_later``."""

    def _repeat() -> None:
        call_later(interval, _repeat)
        callback()

    call_later(interval, _repeat)


class Loop:
    """Runs callbacks for sockets, timers and messages in one thread."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._mailbox: collections.deque[Callable[[], None]] = collections.deque()
        self._lock = threading.Lock()
        self._stopped = False
        self._batch_hooks: list[Callable[[], None]] = []
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.register(self._wake_reader, selectors.EVENT_READ, self._drain_wakeups)

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def post(self, callback: Callable[[], None]) -> None:
        """Run a callback in the loop's thread; may be called from any thread.

        Raises
        ------
        flamingoramp.errors.OverloadedError
            If the mailbox is full.
        """
        with self._lock:
            if len(self._mailbox) >= MAILBOX_LIMIT:
                raise errors.OverloadedError("too many waiting messages; retry", retry_after=1.0)
            self._mailbox.append(callback)
        self._wake()

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Run a callback once after ``delay`` seconds."""
        timer = Timer(callback)
        heapq.heappush(self._timers, (self.now() + delay, next(self._order), timer))
        return timer

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback each ``interval`` seconds."""
        repeat(self.call_later, interval, callback)

    def after_each_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback at the end of each turn of the loop."""
        self._batch_hooks.append(callback)

    def register(self, sock: Any, events: int, callback: Callable[[int], None]) -> None:
        """Call back with the ready events of a socket or descriptor."""
        self._selector.register(sock, events, callback)

    def modify(self, sock: Any, events: int, callback: Callable[[int], None]) -> None:
        """Change the events of a registered socket."""
        self._selector.modify(sock, events, callback)

    def unregister(self, sock: Any) -> None:
        """Forget a registered socket."""
        self._selector.unregister(sock)

    def stop(self) -> None:
        """Make `run` return; may be called from any thread."""
        self._stopped = True
        self._wake()

    def run(self) -> None:
        """Run until `stop` is called."""
        while not self._stopped:
            self.run_once(MAX_WAIT_SECONDS)

    def close(self) -> None:
        """Release the loop's own sockets, once nothing is registered any more."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def run_once(self, longest_wait: float) -> None:
        """Wait for something to do, for at most ``longest_wait`` seconds, and do it."""
        for key, events in self._selector.select(self._wait(longest_wait)):
            key.data(events)
        self._run_mailbox()
        self._run_timers()
        for hook in self._batch_hooks:
            hook()

    def _wait(self, longest: float) -> float:
        if self._mailbox:
            return 0
        if self._timers:
            return max(0.0, min(longest, self._timers[0][0] - self.now()))
        return longest

    def _run_mailbox(self) -> None:
        for _ in range(len(self._mailbox)):
            self._mailbox.popleft()()

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                timer.callback()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            return  # the buffer is full: a wake-up is already under way

    def _drain_wakeups(self, _events: int) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            return
