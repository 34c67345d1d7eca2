"""Tests of signals that reach an event loop."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import unittest

from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import process_signals

# Stops itself; while the last line is being written, another stop signal arrives.
INTERRUPTED_STOP = """
import os
import signal
from flamingoramp.runtime import process_signals
write = os.write
def interrupted_write(descriptor, data):
    write(descriptor, data)
    os.kill(os.getpid(), signal.SIGINT)
os.write = interrupted_write
process_signals.handle_during_start()
os.kill(os.getpid(), signal.SIGTERM)
signal.pause()
"""


class TestHandleDuringStart(unittest.TestCase):
    """Signals to a process that doesn't serve yet."""

    # Guards against a second last line, written by the handler that interrupts the first one.
    def test_stop_signal_during_a_stop_changes_nothing(self):
        stopped = subprocess.run(
            [sys.executable, "-c", INTERRUPTED_STOP], capture_output=True, timeout=30.0
        )
        self.assertEqual(stopped.returncode, 0, stopped.stderr)
        self.assertEqual(stopped.stdout.count(b"process.ended"), 1, stopped.stdout)


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
