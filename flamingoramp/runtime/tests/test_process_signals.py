"""Tests of signals that reach an event loop."""

from __future__ import annotations

import os
import signal
import unittest

from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import process_signals


class TestHandleInLoop(unittest.TestCase):
    """Signals to this process while a loop runs in its main thread."""

    def setUp(self):
        for number in (*process_signals.STOP_SIGNALS, process_signals.RELOAD_SIGNAL):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.loop = loops.Loop()
        self.addCleanup(self.loop.close)
        self.calls: list[str] = []
        process_signals.handle_in_loop(
            self.loop,
            on_stop=lambda: self.calls.append("stop"),
            on_reload=lambda: self.calls.append("reload"),
        )

    def test_signal_ends_the_wait_and_is_handled_in_the_same_iteration(self):
        self.loop.call_later(0.05, lambda: os.kill(os.getpid(), signal.SIGHUP))
        self.loop.run_once(5.0)
        self.assertEqual(self.calls, ["reload"])

    # Guards against a handler that raises an error in whatever code the signal interrupts.
    def test_signals_are_handled_while_the_queue_of_posted_callbacks_is_full(self):
        for _ in range(loops.MAX_POSTED_CALLBACKS):
            self.loop.post(lambda: None)
        for number in (signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        self.loop.run_once(0.0)
        self.assertEqual(sorted(self.calls), ["reload", "stop"])
