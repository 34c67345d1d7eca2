"""A connected socket with an output buffer, owned by one loop."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from flamingoramp.runtime import loop as loops

READ_BYTES = 256 * 1024
UNACKNOWLEDGED_LIMIT_MS = 10_000
# Time for the other end to read the last answer before the connection is closed.
DRAIN_SECONDS = 1.0


class Stream:
    """Non-blocking reads and buffered writes on one connection.

    Parameters
    ----------
    loop : loops.Loop
    sock : socket.socket
        Connected, or connecting.
    on_data : callable
        Takes received bytes.
    on_closed : callable
        Called once when the other end closed or the connection failed.
    buffer_limit : int
        Bytes that may wait; a reader that falls further behind is cut off.
    """

    def __init__(
        self,
        loop: loops.Loop,
        sock: socket.socket,
        *,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[], None],
        buffer_limit: int,
    ):
        self._loop = loop
        self._sock = sock
        self._on_data = on_data
        self._on_closed = on_closed
        self._buffer_limit = buffer_limit
        self._buffer = bytearray()
        self._finishing = False
        self._open = True
        self._writing = True
        self._draining = False
        self._sent_bytes = 0
        self._was_reset = False
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
        loop.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self._handle)

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        return self._open

    @property
    def waiting_bytes(self) -> int:
        """Bytes that are not handed to the system yet."""
        return len(self._buffer)

    @property
    def sent_bytes(self) -> int:
        """Bytes that were handed to the system."""
        return self._sent_bytes

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended by an error rather than by the other end's close."""
        return self._was_reset

    def write(self, data: bytes) -> None:
        """Queue bytes for sending."""
        if not self._open:
            return
        self._buffer += data
        if len(self._buffer) > self._buffer_limit:
            self._fail()
            return
        if not self._writing:
            self._flush()

    def close_after_flush(self) -> None:
        """Close once all queued bytes are sent."""
        self._finishing = True
        if self._open and not self._buffer:
            self.close()

    def shut_down_gracefully(self) -> None:
        """Send what is queued, end the writing side, and drop what still comes in.

        Closing with unread bytes would reset the connection and could destroy the last answer.
        """
        if not self._open or self._finishing:
            return
        self._finishing = True
        self._draining = True
        self._loop.call_later(DRAIN_SECONDS, self.close)
        if not self._buffer:
            self._end_writing()

    def _end_writing(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()  # the other end is gone already
            return
        self._want_write(False)

    def close(self) -> None:
        """Close at once, without a call to ``on_closed``."""
        if not self._open:
            return
        self._open = False
        self._loop.unregister(self._sock)
        self._sock.close()

    def _fail(self) -> None:
        if self._open:
            self.close()
            self._on_closed()

    def _handle(self, events: int) -> None:
        if self._open and events & selectors.EVENT_WRITE:
            self._flush()
        if self._open and events & selectors.EVENT_READ:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._was_reset = True
            self._fail()
            return
        if data and self._draining:
            return
        if data:
            self._on_data(data)
        elif not self._finishing:
            self._fail()
        else:
            self.close()

    def _flush(self) -> None:
        try:
            while self._buffer:
                sent = self._sock.send(self._buffer)
                self._sent_bytes += sent
                del self._buffer[:sent]
        except BlockingIOError:
            self._want_write(True)
            return
        except OSError:
            self._was_reset = True
            self._fail()
            return
        if self._draining:
            self._end_writing()
        elif self._finishing:
            self.close()
        else:
            self._want_write(False)

    def _want_write(self, wanted: bool) -> None:
        if wanted == self._writing:
            return
        self._writing = wanted
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if wanted else 0)
        self._loop.modify(self._sock, events, self._handle)
