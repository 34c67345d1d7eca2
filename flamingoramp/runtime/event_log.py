"""Structured lines on standard output that are bounded and never wait for their reader."""

from __future__ import annotations

import json
import os
import time
from typing import Any

# Lines a second that a process writes on average, and how many it may write at once.
LINES_PER_SECOND = 400.0
BURST_LINES = 2000.0
BUFFER_BYTES = 1024 * 1024


class EventLog:
    """Writes one JSON object a line; what exceeds its budget is counted and dropped.

    Parameters
    ----------
    process : str
        Name of the process.
    descriptor : int
        Where lines go; it is made non-blocking.
    """

    def __init__(self, process: str, *, descriptor: int = 1):
        self._process = process
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._allowance = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that told of them."""
        return self._dropped

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Write a line, unless the budget is used up."""
        now = time.monotonic()
        elapsed = now - self._refilled_at
        self._allowance = min(BURST_LINES, self._allowance + elapsed * LINES_PER_SECOND)
        self._refilled_at = now
        if self._allowance < 1 or len(self._buffer) > BUFFER_BYTES:
            self._dropped += 1
            return
        self._allowance -= 1
        line: dict[str, Any] = {"time": round(time.time(), 4), "event": event}
        if request:
            line["request"] = request
        if self._dropped:
            line["dropped_lines"] = self._dropped
            self._dropped = 0
        line.update(fields)
        self._buffer += json.dumps(line, separators=(",", ":")).encode() + b"\n"

    def flush(self) -> None:
        """Hand over what the reader takes now."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return  # the reader is behind; the buffer is bounded
        except OSError:
            written = len(self._buffer)  # nobody reads any more
        del self._buffer[:written]
