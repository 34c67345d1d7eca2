"""Rate-limited JSON event log on standard output, whose writes never block."""

from __future__ import annotations

import errno
import json
import os
import time
from typing import Any

# Token bucket of each process: sustained rate in lines per second, and burst size.
SUSTAINED_LINES_PER_SECOND = 400.0
BURST_LINES = 2000.0
BUFFER_LIMIT_BYTES = 1024 * 1024


class EventLog:
    """Writes one JSON object per line; lines above the rate limit are dropped and counted.

    Parameters
    ----------
    process : str
        Name of the process that writes the log; the lines don't contain it.
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode, and opened on the null device
        if it is closed.
    """

    def __init__(self, process: str, *, descriptor: int = 1):
        self._process_name = process
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._available_lines = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped_lines = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError as error:
            if error.errno != errno.EBADF:
                raise
            # It is closed; a connection must not get its number and the log.
            os.dup2(os.open(os.devnull, os.O_WRONLY), descriptor)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last written line, which reports earlier drops."""
        return self._dropped_lines

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Queue a line; drop it if the rate limit is reached or the buffer is full."""
        now = time.monotonic()
        elapsed_seconds = now - self._refilled_at
        self._available_lines = min(
            BURST_LINES, self._available_lines + elapsed_seconds * SUSTAINED_LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._available_lines < 1 or len(self._buffer) > BUFFER_LIMIT_BYTES:
            self._dropped_lines += 1
            return
        self._available_lines -= 1
        self._append(event, request, fields)

    def write_last(self, event: str, **fields: Any) -> None:
        """Write a line in spite of the rate limit, as the last one of the process."""
        self._append(event, "", fields)
        self.flush()

    def _append(self, event: str, request: str, fields: dict[str, Any]) -> None:
        line: dict[str, Any] = {"time": round(time.time(), 4), "event": event}
        if request:
            line["request"] = request
        if self._dropped_lines:
            line["dropped_lines"] = self._dropped_lines
            self._dropped_lines = 0
        line.update(fields)
        self._buffer += json.dumps(line, separators=(",", ":")).encode() + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return  # the reader is slow; the buffer is bounded
        except OSError:
            written = len(self._buffer)  # the reader is gone: discard the buffer
        del self._buffer[:written]
