"""Connections to backend servers: one request at a time on each, kept ones reused."""

from __future__ import annotations

import enum
import re
import socket
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import h11

from flamingoramp.http import messages
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import stream as streams
from flamingoramp.runtime import transport as transports

WRITE_BUFFER_BYTES = 16 * 1024 * 1024
# A kept connection is reused well before the server's own idle limit, which is often 5 s.
REUSE_SECONDS = 2.0
IDLE_PER_SERVER = 16
HEADER_BYTES = 64 * 1024

_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")


class Failure(enum.Enum):
    """Why a request got no whole answer."""

    NOT_CONNECTED = "not_connected"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    RESET = "reset"
    UNREADABLE = "unreadable"


@attrs.frozen
class Head:
    """Status and headers of an answer."""

    status: int
    headers: messages.Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        return messages.find_header(self.headers, name)


class Receiver(Protocol):
    """What takes an answer in."""

    def handle_head(self, head: Head) -> None:
        """Take the status and headers."""

    def handle_data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def handle_complete(self) -> None:
        """Take the end of a whole answer."""

    def handle_failure(self, failure: Failure, *, may_have_run: bool) -> None:
        """Take the end of a request without a whole answer."""


class Call:
    """A request under way."""

    def __init__(self, connection: _Connection):
        self._connection = connection

    def cancel(self) -> None:
        """Close the connection, so that the server stops working on the request."""
        self._connection.cancel()


class _Connection:
    def __init__(self, pool: Pool, address: str):
        self._pool = pool
        self.address = address
        self.idle_since = 0.0
        self.reuse_until = 0.0
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_BYTES)
        self._receiver: Receiver | None = None
        self._sent_before = 0
        self._failed_connect = False
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect(transports.parse_address(address))
        except BlockingIOError:
            pass
        except OSError:
            self._failed_connect = True
        self._stream = streams.Stream(
            pool.loop,
            sock,
            on_data=self._handle_data,
            on_closed=self._handle_closed,
            buffer_limit_bytes=WRITE_BUFFER_BYTES,
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection can be written to."""
        return self._stream.is_open

    def begin(self, request: messages.Request, receiver: Receiver) -> None:
        """Send a request whose answer a receiver takes."""
        self._receiver = receiver
        self._sent_before = self._stream.sent_bytes
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self._parser.send(head) or b""
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._stream.write(data)

    def give_up_connecting(self) -> None:
        """Fail the request if nothing of it could be sent yet."""
        if self._receiver is not None and self._stream.sent_bytes == 0:
            self._stream.close()
            self._fail(Failure.TIMED_OUT)

    def cancel(self) -> None:
        """Close without telling the receiver."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Close, and leave the pool."""
        self._stream.close()
        self._pool.forget(self)

    def _handle_data(self, data: bytes) -> None:
        if self._receiver is None:
            # Bytes that no request asked for belong to no answer.
            self._pool.count_stray()
            self.close()
            return
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError:
            self._break(Failure.UNREADABLE)
            return
        self._advance(Failure.UNREADABLE)

    def _advance(self, failure: Failure) -> None:
        """Take out of the parser what is whole; bytes that can't go on are a failure."""
        while self._receiver is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self._break(failure)
                return
            match event:
                case h11.Response():
                    headers = tuple((bytes(key), bytes(value)) for key, value in event.headers)
                    self._note_keep_alive(headers)
                    self._receiver.handle_head(Head(event.status_code, headers))
                case h11.Data():
                    self._receiver.handle_data(bytes(event.data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.InformationalResponse():
                    continue
                case _:
                    return

    def _note_keep_alive(self, headers: messages.Headers) -> None:
        value = messages.find_header(headers, b"keep-alive")
        found = _KEEP_ALIVE.search(value) if value else None
        # Half of the announced time leaves room for delays on the way.
        limit = float(found[1]) / 2 if found else REUSE_SECONDS
        self.reuse_until = min(limit, REUSE_SECONDS)

    def _complete(self) -> None:
        receiver, self._receiver = self._receiver, None
        extra = self._parser.trailing_data[0]
        reusable = (
            not extra
            and self._stream.is_open
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if extra:
            self._pool.count_stray()
        if reusable:
            self._parser.start_next_cycle()
            self._pool.keep(self)
        else:
            self.close()
        receiver.handle_complete()

    def _handle_closed(self) -> None:
        self._pool.forget(self)
        if self._receiver is None:
            return
        if self._stream.was_reset:
            self._fail(Failure.RESET if self._stream.sent_bytes else Failure.NOT_CONNECTED)
            return
        try:
            # The other end closed: a body without a length ends here, any other is cut off.
            self._parser.receive_data(b"")
        except h11.RemoteProtocolError:
            self._fail(Failure.CLOSED)
            return
        self._advance(Failure.CLOSED)
        if self._receiver is not None:
            self._fail(Failure.CLOSED)

    def _break(self, failure: Failure) -> None:
        self.close()
        self._fail(failure)

    def _fail(self, failure: Failure) -> None:
        receiver, self._receiver = self._receiver, None
        self._pool.forget(self)
        if receiver is not None:
            sent = self._stream.sent_bytes > self._sent_before
            receiver.handle_failure(failure, may_have_run=sent)


class Pool:
    """All connections of this process to backend servers.

    Parameters
    ----------
    loop : loops.Loop
    connect_seconds : float
        Longest wait for a new connection.
    """

    def __init__(self, loop: loops.Loop, *, connect_seconds: float = 0.25):
        self.loop = loop
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[_Connection]] = {}
        self._all: set[_Connection] = set()
        self.stray_answers = 0
        self.opened = 0
        loop.call_every(1.0, self._drop_old)

    def send(
        self,
        address: str,
        request: messages.Request,
        receiver: Receiver,
        *,
        fresh: bool = False,
    ) -> Call:
        """Send a request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        fresh : bool
            Whether a kept connection, whose other end may be closing it, must not be used.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = _Connection(self, address)
            self.opened += 1
            self._all.add(connection)
            self.loop.call_later(self._connect_seconds, connection.give_up_connecting)
        connection.begin(request, receiver)
        return Call(connection)

    def keep(self, connection: _Connection) -> None:
        """Keep a connection for a later request."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= IDLE_PER_SERVER:
            connection.close()
            return
        connection.idle_since = self.loop.now()
        idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Forget a closed connection."""
        self._all.discard(connection)
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def count_stray(self) -> None:
        """Count bytes that no request had asked for."""
        self.stray_answers += 1

    def drop_server(self, address: str) -> None:
        """Close the kept connections to a server."""
        for connection in list(self._idle.get(address, ())):
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.close()

    def _take_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        now = self.loop.now()
        while idle:
            connection = idle.pop()
            if connection.is_open and now - connection.idle_since < connection.reuse_until:
                return connection
            connection.close()
        return None

    def _drop_old(self) -> None:
        now = self.loop.now()
        for idle in self._idle.values():
            for connection in list(idle):
                if now - connection.idle_since >= connection.reuse_until:
                    connection.close()


class Collector:
    """Collects a small answer whole and hands it to a callback; None stands for a failure."""

    def __init__(self, done: Callable[[Head | None, bytes], Any]):
        self._done = done
        self._head: Head | None = None
        self._data: list[bytes] = []

    def handle_head(self, head: Head) -> None:
        """Take the status and headers."""
        self._head = head

    def handle_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._data.append(data)

    def handle_complete(self) -> None:
        """Hand the answer over."""
        self._done(self._head, b"".join(self._data))

    def handle_failure(self, _failure: Failure, *, may_have_run: bool) -> None:
        """Hand over that there is no answer."""
        del may_have_run
        self._done(None, b"")
