"""Signals that arrive before a process serves.

This module imports the standard library only.
"""

from __future__ import annotations

import signal

from flamingoramp.runtime import process_end


def handle_signals() -> None:
    """End the process at once on SIGTERM and SIGINT, until other handlers are installed.

    The default action does so too, except for the first process of a container, which would ignore
    a stop signal that arrives during its start. SIGHUP, whose default action ends the process, has
    no effect: the settings are still to be read.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: process_end.end_during_start())
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
