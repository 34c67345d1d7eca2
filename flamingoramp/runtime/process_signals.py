"""Signals of a process, during its start and while its event loop runs.

This module imports the standard library only.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

from flamingoramp.runtime import process_end

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def handle_during_start(before_end: Callable[[], None] = lambda: None) -> None:
    """End the process at once on SIGTERM and SIGINT, and hold SIGHUP back until the loop runs.

    The default action of the first two ends it, too, except for the first process of a container,
    which would ignore a stop signal that arrives during its start. That of SIGHUP ends it as well,
    but the settings that it was sent for may have been read already.

    Parameters
    ----------
    before_end : callable
        Called before the process ends.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, lambda _number, _frame: process_end.end_during_start(before_end))
    try:
        signal.pthread_sigmask(signal.SIG_BLOCK, (RELOAD_SIGNAL,))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    except OSError:
        signal.signal(RELOAD_SIGNAL, signal.SIG_IGN)


def handle_in_loop(
    loop: Any, *, on_stop: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Call functions in an event loop's thread, the main one, after signals.

    Signals of one number that arrive in the same iteration count as one.

    Parameters
    ----------
    loop : loop.Loop
    on_stop : callable
        Called after SIGTERM and SIGINT.
    on_reload : callable
        Called after SIGHUP.
    """
    callbacks = {**dict.fromkeys(STOP_SIGNALS, on_stop), RELOAD_SIGNAL: on_reload}
    received: set[int] = set()

    def _record(number: int, _frame: Any) -> None:
        # This interrupts any code of the loop's thread, so that it must not raise or wait.
        received.add(number)
        loop.wake_up()

    def _call_back() -> None:
        while received:
            callbacks[received.pop()]()

    loop.after_each_iteration(_call_back)
    for number in callbacks:
        signal.signal(number, _record)
    try:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (RELOAD_SIGNAL,))
    except OSError:
        return  # `handle_during_start` couldn't hold it back either
