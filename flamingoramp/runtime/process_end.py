"""The end of a process: its exit status, and its last log line, which tells the cause.

This module imports the standard library only.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable

from flamingoramp.runtime import event_log

STOPPED_STATUS = 0
ERROR_STATUS = 1
SETTINGS_STATUS = 2
ADDRESS_STATUS = 3
IMPORT_STATUS = 4
STORAGE_STATUS = 5


def log_stop(log: event_log.EventLog) -> None:
    """Log the end of a planned stop as the last line."""
    log.write_last("process.ended", cause="stop", status=STOPPED_STATUS)


def end_during_start(before_end: Callable[[], None]) -> None:
    """End the process after a stop signal that arrives while it starts.

    The signal may interrupt an import, so nothing is imported and no log is shared.

    Parameters
    ----------
    before_end : callable
        Called first; its errors are ignored.
    """
    _ignore_signals()
    with contextlib.suppress(Exception):
        before_end()
    line = b'{"time":%.4f,"event":"process.ended","cause":"stop_during_start","status":%d}\n'
    try:
        os.set_blocking(1, False)
        os.write(1, line % (time.time(), STOPPED_STATUS))
    except OSError:
        pass  # nobody reads the log
    os._exit(STOPPED_STATUS)


def end_with_message(log: event_log.EventLog, *, cause: str, status: int, text: str) -> None:
    """End the process for a cause that an operator can remove."""
    _ignore_signals()
    with contextlib.suppress(OSError):  # a full disk, or nobody reads it
        print(f"flamingoramp: {text}", file=sys.stderr, flush=True)
    log.write_last("process.ended", cause=cause, status=status, text=text)
    os._exit(status)


def end_with_error(
    log: event_log.EventLog, error: BaseException, *, cause: str = "error", status: int
) -> None:
    """End the process for an unexpected error, with its traceback on standard error."""
    _ignore_signals()
    sys.excepthook(type(error), error, error.__traceback__)
    if sys.stderr is not None:
        with contextlib.suppress(OSError):  # a full disk, or nobody reads it
            sys.stderr.flush()
    log.write_last(
        "process.ended",
        cause=cause,
        status=status,
        type=type(error).__name__,
        text=str(error),
        place=_find_place(error),
    )
    # Threads that still write would hold up the interpreter's shutdown.
    os._exit(status)


def _ignore_signals() -> None:
    """Let no further stop signal write another last line or change the exit status."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _find_place(error: BaseException) -> str:
    """Return file name and line of the code that raised an error; `traceback` isn't imported."""
    step = error.__traceback__
    if step is None:
        return ""
    while step.tb_next is not None:
        step = step.tb_next
    return f"{os.path.basename(step.tb_frame.f_code.co_filename)}:{step.tb_lineno}"
