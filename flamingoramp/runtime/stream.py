"""Buffered, non-blocking TCP connection, driven by an event loop."""

from __future__ import annotations

import collections
import contextlib
import fcntl
import selectors
import socket
import struct
import termios
from collections.abc import Callable

from flamingoramp.runtime import loop as loops

MAX_READ_BYTES = 256 * 1024
# A peer that takes no byte of the output for so long is taken for gone, also by the kernel.
STALL_TIMEOUT_SECONDS = 10.0
TCP_USER_TIMEOUT_MS = int(STALL_TIMEOUT_SECONDS * 1000)
# Time to read on after the write side was shut down; it starts again with each byte that the peer
# sends, which is discarded.
DRAIN_TIMEOUT_SECONDS = 1.0
# Longest time for which the bytes of a peer that goes on sending are discarded.
MAX_DRAIN_SECONDS = 20.0
# Output of at least this size is sent from where it is; copies of smaller pieces are joined.
MIN_SHARED_BYTES = 64 * 1024
# Value of SO_LINGER with which closing resets the connection.
_LINGER_NO_TIME = struct.pack("ii", 1, 0)
_INTEGER = struct.Struct("i")


class Stream:
    """Non-blocking reads and buffered writes on one connection.

    Parameters
    ----------
    loop : loops.Loop
    sock : socket.socket
        Connected socket, or one whose connect is in progress.
    on_data : callable
        Called with received bytes.
    on_closed : callable
        Called once when the peer closes the connection or the connection fails.
    buffer_limit_bytes : int
        Limit of the output buffer; above it the connection is closed as failed, so that a
        slow reader can't use up memory.
    on_sent : callable or None
        Called after buffered output was passed to the kernel.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        *,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[], None],
        buffer_limit_bytes: int,
        on_sent: Callable[[], None] | None = None,
    ):
        self._loop = loop
        self._sock = sock
        self._on_data = on_data
        self._on_closed = on_closed
        self._buffer_limit_bytes = buffer_limit_bytes
        self._on_sent = on_sent
        self._output: collections.deque[bytearray | memoryview] = collections.deque()
        self._buffered_bytes = 0
        self._buffered_since = 0.0
        self._is_paused = False
        self._close_requested = False
        self._open = True
        self._write_interest = True
        self._discard_input = False
        self._input_ended = False
        self._drain_began_at = 0.0
        self._progress_at = 0.0
        self._sent_bytes = 0
        self._was_reset = False
        self._had_unsent_output = False
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        loop.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self._handle_events)

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        return self._open

    @property
    def socket(self) -> socket.socket:
        """The socket, for a duplicate that goes on with the connection once this is closed."""
        return self._sock

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes in the output buffer, not yet passed to the kernel."""
        return self._buffered_bytes

    @property
    def buffered_since(self) -> float:
        """When the output buffer was last empty, in seconds of the loop's clock."""
        return self._buffered_since

    @property
    def sent_bytes(self) -> int:
        """Number of bytes passed to the kernel since the connection was opened."""
        return self._sent_bytes

    @property
    def was_reset(self) -> bool:
        """Whether a socket error ended the connection, rather than an orderly close by the peer."""
        return self._was_reset

    @property
    def had_unsent_output(self) -> bool:
        """Whether the peer closed its side before it had received all that was written."""
        return self._had_unsent_output

    @property
    def progress_at(self) -> float:
        """When the peer last took or sent a byte, or got the end, of a graceful shutdown.

        In seconds of the loop's clock; 0 before `shut_down_gracefully`.
        """
        return self._progress_at

    @property
    def has_input_ended(self) -> bool:
        """Whether the peer has closed its side in an orderly way."""
        return self._input_ended

    def write(self, data: bytes) -> None:
        """Queue bytes for sending; they are discarded if the connection is closed."""
        if not self._open or not data:
            return
        was_empty = not self._buffered_bytes
        self._append_output(data)
        if self._buffered_bytes > self._buffer_limit_bytes:
            self._fail()
            return
        if not self._write_interest:
            self._flush()
        if was_empty and self._buffered_bytes:
            self._buffered_since = self._loop.now()

    def _append_output(self, data: bytes) -> None:
        self._buffered_bytes += len(data)
        if len(data) >= MIN_SHARED_BYTES:
            self._output.append(memoryview(data))
        elif self._output and isinstance(self._output[-1], bytearray):
            self._output[-1] += data
        else:
            self._output.append(bytearray(data))

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`; the peer's end isn't noticed meanwhile."""
        if self._open and not self._is_paused:
            self._is_paused = True
            self._watch()

    def resume_reading(self) -> None:
        """Read again after `pause_reading`."""
        if self._open and self._is_paused:
            self._is_paused = False
            self._watch()

    def close_after_flush(self) -> None:
        """Close once the output buffer is sent; ``on_closed`` is called only if sending fails."""
        self._close_requested = True
        if self._open and not self._output:
            self.close()

    def shut_down_gracefully(self) -> None:
        """Send the output buffer, shut down the write side, and discard further input.

        Closing a socket with unread input resets the connection, which can discard the last
        response before the peer has read it. Many callers read a response only after they have
        sent their whole request.
        """
        if not self._open or self._close_requested:
            return
        self._close_requested = True
        self._discard_input = True
        self._drain_began_at = self._progress_at = self._loop.now()
        if not self._output:
            self._shut_down_write_side()
        self._check_progress()

    def _check_progress(self) -> None:
        """Close a stream that was shut down once its peer has had its time."""
        if not self._open:
            return
        now = self._loop.now()
        timeout = STALL_TIMEOUT_SECONDS if self._output else DRAIN_TIMEOUT_SECONDS
        seconds_left = self._progress_at + timeout - now
        if seconds_left > 0:
            delay = min(seconds_left, DRAIN_TIMEOUT_SECONDS)
            self._loop.call_later(delay, self._check_progress)
        elif self._output:
            self._fail()
        else:
            self.close()

    def _shut_down_write_side(self) -> None:
        if self._input_ended:
            self.close()
            return
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()  # the peer has disconnected already
            return
        self._progress_at = self._loop.now()
        self._set_write_interest(False)

    def close(self) -> None:
        """Close immediately, discarding the output buffer, without a call to ``on_closed``."""
        if not self._open:
            return
        self._open = False
        self._loop.unregister(self._sock)
        self._sock.close()
        self._output.clear()

    def read_pending(self) -> bool:
        """Pass on input that the kernel has received already; return whether there was any."""
        return self._open and self._read()

    def flush(self) -> None:
        """Pass as much of the output buffer to the kernel as it takes."""
        if self._open and self._output:
            self._flush()

    def end_now(self) -> None:
        """Close immediately, so that the peer can read what the kernel took of the output.

        The connection is reset if part of the output is left, or if more input arrives later.
        """
        if self._output:
            self.reset()
            return
        if not self._open:
            return
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            discarded_bytes = 0
            while discarded_bytes < MAX_READ_BYTES and (data := self._sock.recv(MAX_READ_BYTES)):
                discarded_bytes += len(data)
        self.close()

    def reset(self) -> None:
        """Close immediately, so that the peer gets an error and not the end of the data."""
        if self._open:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NO_TIME)
            self.close()

    def _fail(self) -> None:
        if not self._open:
            return
        if self._output:
            self.reset()  # what was sent must not look complete
        else:
            self.close()
        self._on_closed()

    def _handle_events(self, events: int) -> None:
        if self._open and not events:  # reading is paused, and the connection is lost
            self._was_reset = True
            self._fail()
            return
        if self._open and events & selectors.EVENT_WRITE:
            had_output = bool(self._output)
            self._flush()
            if had_output and self._on_sent is not None:
                self._on_sent()
        if self._open and events & selectors.EVENT_READ:
            self._read()

    def _read(self) -> bool:
        """Receive bytes once; return whether there were any."""
        try:
            data = self._sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self._was_reset = True
            self._fail()
            return False
        if data and self._discard_input:
            now = self._loop.now()
            if now - self._drain_began_at < MAX_DRAIN_SECONDS:
                self._progress_at = now
            return True
        if data:
            self._on_data(data)
            return True
        self._input_ended = True
        self._had_unsent_output = bool(self._output) or _has_unacknowledged_bytes(self._sock)
        if not self._close_requested:
            self._fail()
        elif self._output:
            # The peer may still read; if it doesn't, sending fails.
            self._watch()
        else:
            self.close()
        return False

    def _flush(self) -> None:
        try:
            while self._output:
                sent = self._sock.send(self._output[0])
                self._sent_bytes += sent
                if self._discard_input:
                    self._progress_at = self._loop.now()
                self._remove_sent(sent)
        except BlockingIOError:
            self._set_write_interest(True)
            return
        except OSError:
            self._was_reset = True
            self._fail()
            return
        if self._discard_input:
            self._shut_down_write_side()
        elif self._close_requested:
            self.close()
        else:
            self._set_write_interest(False)

    def _remove_sent(self, size_bytes: int) -> None:
        self._buffered_bytes -= size_bytes
        first = self._output[0]
        if size_bytes == len(first):
            self._output.popleft()
        elif isinstance(first, memoryview):
            self._output[0] = first[size_bytes:]
        else:
            del first[:size_bytes]

    def _set_write_interest(self, enabled: bool) -> None:
        if enabled == self._write_interest:
            return
        self._write_interest = enabled
        self._watch()

    def _watch(self) -> None:
        """Watch the socket for the events of interest."""
        events = 0 if self._input_ended or self._is_paused else selectors.EVENT_READ
        events |= selectors.EVENT_WRITE if self._write_interest else 0
        self._loop.modify(self._sock, events, self._handle_events)


def _has_unacknowledged_bytes(sock: socket.socket) -> bool:
    """Return whether the peer's kernel lacks some of the bytes that the own kernel took."""
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INTEGER.size))
    except OSError:
        return False  # not known for this kind of socket
    return _INTEGER.unpack(answer)[0] > 0
