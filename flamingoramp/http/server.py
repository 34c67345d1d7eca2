"""Callers' connections: many requests in turn on each, all owned by one loop."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from typing import Any

import attrs
import h11

from flamingoramp.http import messages
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import stream as streams
from flamingoramp.runtime import transport as transports

LISTEN_BACKLOG = 1024
# Connections accepted in one turn of the loop, so that a flood of them delays nothing else.
ACCEPTS_PER_TURN = 64
# A caller that reads its answer more slowly than this is cut off.
WRITE_BUFFER_BYTES = 8 * 1024 * 1024
# Bytes of later requests that a connection may send ahead of its answer.
PIPELINE_BYTES = 256 * 1024
CHECK_SECONDS = 0.25


@attrs.frozen
class Limits:
    """Bounds on what a caller may send and how long it may take, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    body_seconds: float = 20.0
    idle_seconds: float = 15.0


class Exchange:
    """One request and the answer to it; the answer can be given whole or in pieces."""

    def __init__(self, connection: Connection, request: messages.Request, arrived_at: float):
        self._connection = connection
        self._request = request
        self._arrived_at = arrived_at
        self._done = False
        self._started = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def request(self) -> messages.Request:
        """The request."""
        return self._request

    @property
    def arrived_at(self) -> float:
        """When the last byte of the request was read, in seconds of the loop's clock."""
        return self._arrived_at

    @property
    def is_done(self) -> bool:
        """Whether the answer is complete, or the caller is gone."""
        return self._done

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was sent."""
        return self._started

    def answer(self, answer: messages.Answer) -> None:
        """Give the whole answer."""
        self.start(answer.status, answer.headers, length=len(answer.body))
        if answer.body:
            self.send(answer.body)
        self.finish()

    def start(self, status: int, headers: messages.Headers, *, length: int | None = None) -> None:
        """Send the head of the answer; without a length the body goes in chunks."""
        if self._done or self._started:
            return
        self._started = True
        self._connection.send_head(status, headers, length)

    def send(self, data: bytes) -> None:
        """Send a piece of the answer's body."""
        if not self._done:
            self._connection.send_data(data)

    def finish(self) -> None:
        """End the answer as complete."""
        if not self._done:
            self._done = True
            self._connection.finish_answer()

    def abort(self) -> None:
        """End an incomplete answer, so that it can't be taken for a complete one."""
        if not self._done:
            self._done = True
            self._connection.abort()

    def mark_gone(self) -> None:
        """Note that the caller closed its connection."""
        if not self._done:
            self._done = True
            if self.on_gone is not None:
                self.on_gone()


class Connection:
    """One caller's connection."""

    def __init__(self, server: Server, sock: socket.socket):
        self._server = server
        self._since = server.loop.now()
        self._parser = self._new_parser()
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._ahead_bytes = 0
        self._fresh = True
        self._exchange: Exchange | None = None
        self._stream = streams.Stream(
            server.loop,
            sock,
            on_data=self._handle_data,
            on_closed=self._handle_closed,
            buffer_limit_bytes=WRITE_BUFFER_BYTES,
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._exchange is not None

    @property
    def is_reading(self) -> bool:
        """Whether part of a request has come in."""
        return self._head is not None or self._ahead_bytes > 0

    def check(self, now: float) -> None:
        """Close a connection that takes too long to send, or stays idle."""
        limits = self._server.limits
        if self._exchange is not None:
            return
        waited = now - self._since
        if self._head is not None:
            if waited > limits.body_seconds:
                self._refuse(408)
        elif self._ahead_bytes:
            if waited > limits.header_seconds:
                self._refuse(408)
        elif waited > (limits.header_seconds if self._fresh else limits.idle_seconds):
            self.close()

    def close_if_idle(self) -> None:
        """Close, unless a request is being read or answered."""
        if self._exchange is None and not self.is_reading:
            self.close()

    def close(self) -> None:
        """Close at once."""
        self._stream.close()
        self._server.forget(self)

    def send_head(self, status: int, headers: messages.Headers, length: int | None) -> None:
        """Send the head of an answer."""
        fields = [*headers]
        if length is not None:
            fields.append((b"content-length", b"%d" % length))
        else:
            fields.append((b"transfer-encoding", b"chunked"))
        if self._server.is_closing:
            fields.append((b"connection", b"close"))
        response = h11.Response(
            status_code=status, headers=fields, reason=messages.reason_of(status)
        )
        self._stream.write(self._parser.send(response) or b"")

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._stream.write(self._parser.send(h11.Data(data=data)) or b"")

    def finish_answer(self) -> None:
        """End the answer, and go on with the next request."""
        self._stream.write(self._parser.send(h11.EndOfMessage()) or b"")
        self._exchange = None
        if self._parser.our_state is not h11.DONE or self._server.is_closing:
            self._end()
            return
        if self._parser.their_state is not h11.DONE:
            self._end()
            return
        self._parser.start_next_cycle()
        self._fresh = False
        self._since = self._server.loop.now()
        self._ahead_bytes = len(self._parser.trailing_data[0])
        if self._ahead_bytes:
            self._server.loop.call_later(0, self._advance)

    def abort(self) -> None:
        """Close in the middle of an answer."""
        self._exchange = None
        self.close()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._server.limits.header_bytes
        )

    def _end(self) -> None:
        self._stream.shut_down_gracefully()
        self._server.forget(self)

    def _handle_closed(self) -> None:
        self._server.forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.mark_gone()

    def _handle_data(self, data: bytes) -> None:
        if self._exchange is None and not self.is_reading:
            self._since = self._server.loop.now()
        self._ahead_bytes += len(data)
        try:
            self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
            return
        if self._exchange is None:
            self._advance()
        elif self._ahead_bytes > PIPELINE_BYTES:
            self._handle_closed()
            self.close()

    def _advance(self) -> None:
        """Take out of the parser what is whole."""
        while self._exchange is None and self._stream.is_open:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint)
                return
            match event:
                case h11.Request():
                    if not self._take_head(event):
                        return
                case h11.Data():
                    self._body_bytes += len(event.data)
                    if self._body_bytes > self._server.limits.body_bytes:
                        self._refuse(413)
                        return
                    self._body.append(bytes(event.data))
                case h11.EndOfMessage():
                    self._dispatch()
                    return
                case h11.ConnectionClosed():
                    self.close()
                    return
                case _:
                    return

    def _take_head(self, head: h11.Request) -> bool:
        headers = head.headers
        # The parser bounds only heads that come in several pieces.
        size = len(head.target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > self._server.limits.header_bytes:
            self._refuse(431)
            return False
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Two framings of one body are how requests are smuggled past a server.
            self._refuse(400)
            return False
        length = messages.find_header(tuple(headers), b"content-length")
        if length is not None and int(length) > self._server.limits.body_bytes:
            self._refuse(413)
            return False
        self._head = head
        self._body = []
        self._body_bytes = 0
        if self._parser.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._parser.send(proceed) or b"")
        return True

    def _dispatch(self) -> None:
        head = self._head
        request = messages.Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body=b"".join(self._body),
        )
        self._head = None
        self._body = []
        self._ahead_bytes = 0
        self._exchange = Exchange(self, request, self._server.loop.now())
        self._server.handle(self._exchange)

    def _refuse(self, status: int) -> None:
        """Answer bytes that are no proper request, and close."""
        self._server.count_refusal(status)
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            response = h11.Response(
                status_code=status, headers=headers, reason=messages.reason_of(status)
            )
            self._stream.write(self._parser.send(response) or b"")
        self._exchange = None
        self._end()


class Server:
    """Listens on one address and hands whole requests to a handler.

    Parameters
    ----------
    loop : loops.Loop
    listen : str
        ``ip:port``; port 0 takes a free one.
    handler : callable
        Takes an `Exchange`.
    limits : callable
        Returns the `Limits` in force.
    on_refused : callable
        Takes the status with which bytes that are no proper request were refused.
    max_connections : int
        Further connections are closed at once.
    """

    def __init__(
        self,
        loop: loops.Loop,
        listen: str,
        handler: Callable[[Exchange], None],
        *,
        limits: Callable[[], Limits] = Limits,
        on_refused: Callable[[int], None] = lambda _status: None,
        max_connections: int = 3000,
    ):
        self.loop = loop
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._max_connections = max_connections
        self._connections: set[Connection] = set()
        self._closing = False
        self._listener: socket.socket | None = socket.create_server(
            transports.parse_address(listen), backlog=LISTEN_BACKLOG
        )
        self._listener.setblocking(False)
        loop.register(self._listener, selectors.EVENT_READ, self._accept)
        loop.call_every(CHECK_SECONDS, self._check_all)

    @property
    def address(self) -> str:
        """``ip:port`` that callers connect to."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return self._limits()

    @property
    def is_closing(self) -> bool:
        """Whether answers tell callers that their connection ends."""
        return self._closing

    @property
    def busy(self) -> int:
        """Connections with a request that is read or answered."""
        return sum(one.is_busy or one.is_reading for one in self._connections)

    def handle(self, exchange: Exchange) -> None:
        """Hand a whole request to the handler."""
        self._handler(exchange)

    def count_refusal(self, status: int) -> None:
        """Count bytes that were no proper request."""
        self._on_refused(status)

    def forget(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)

    def begin_closing(self) -> None:
        """Let each connection end after the answer to its current request."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Stop listening and close connections without a request."""
        if self._listener is not None:
            self.loop.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Close everything."""
        self.stop_accepting()
        for connection in list(self._connections):
            connection.close()

    def _accept(self, _events: Any) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return  # none waits, or the caller gave up already
            if len(self._connections) >= self._max_connections:
                self._on_refused(503)
                sock.close()
                continue
            self._connections.add(Connection(self, sock))

    def _check_all(self) -> None:
        now = self.loop.now()
        for connection in list(self._connections):
            connection.check(now)
