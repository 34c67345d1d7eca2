"""HTTP client: a pool of persistent connections to backend servers.

A connection carries one request at a time and is reused for later ones.
"""

from __future__ import annotations

import enum
import math
import re
import socket
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import h11

from flamingoramp import value_classes
from flamingoramp.http import listen_checks, messages
from flamingoramp.runtime import byte_account, parse_turns, stream, transport
from flamingoramp.runtime import loop as loops

MAX_WRITE_BUFFER_BYTES = 16 * 1024 * 1024
# Well below the usual idle timeout of servers, often 5 s, so that the server doesn't close a
# connection while a request is sent on it.
MAX_REUSE_IDLE_SECONDS = 2.0
MAX_IDLE_CONNECTIONS_PER_SERVER = 16
MAX_HEADER_BYTES = 64 * 1024
# Interim responses (1xx) before one response; a server sends one or two.
MAX_INTERIM_RESPONSES = 16
# Received bytes that are parsed at a time, and events that are handled as soon as bytes arrive; the
# rest waits for its turn.
PIECE_BYTES = 16 * 1024
MAX_EVENTS_AT_ONCE = 64
# Received bytes of a response that is not parsed count as memory held from this size on.
MIN_HELD_BYTES = 4096
# Rest of a body that is read for the sake of the connection, which is closed if it is longer or
# takes more time.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_SECONDS = 1.0
# Interval at which a check that lacks a descriptor is tried again.
DESCRIPTOR_RETRY_SECONDS = 0.1

# Of complete responses; interim ones have lower statuses, and others are none.
_STATUSES = range(200, 600)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class Failure(enum.Enum):
    """Why a request got no complete response.

    NOT_CONNECTED: the connection could not be established. TIMED_OUT: it was not established in
    time. NO_DESCRIPTOR: this process has as many files and connections as it may have, which tells
    nothing of the server. CLOSED, RESET: the server closed or reset it before the response was
    complete. UNREADABLE: the bytes received are not valid HTTP. TOO_LARGE: the body exceeds the
    limit of the request. NO_MEMORY: this process held too much, and the response's incomplete head
    was given up, which tells nothing of the server.
    """

    NOT_CONNECTED = "not_connected"
    TIMED_OUT = "timed_out"
    NO_DESCRIPTOR = "no_descriptor"
    CLOSED = "closed"
    RESET = "reset"
    UNREADABLE = "unreadable"
    TOO_LARGE = "too_large"
    NO_MEMORY = "no_memory"


@attrs.frozen(eq=False, repr=False)
class Head(value_classes.Value):
    """Status and headers of a response.

    ``is_first`` tells that the connection carried no response before. A later one may be a copy of
    an earlier response that a faulty server repeats.
    """

    status: int
    headers: messages.Headers
    is_first: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name, None if it is missing."""
        return messages.find_header(self.headers, name)

    @property
    def declared_length(self) -> int | None:
        """Length of the body, None if the head names none."""
        value = self.header(b"content-length")
        return int(value) if value is not None and value.isdigit() else None

    @property
    def has_framed_body(self) -> bool:
        """Whether the response has a length or chunks, so that a body that was cut off shows."""
        framing = (b"content-length", b"transfer-encoding")
        return self.status in (204, 304) or any(self.header(name) for name in framing)

    @property
    def is_error(self) -> bool:
        """Whether the status is that of an error."""
        return self.status >= 400


class ResponseReceiver(Protocol):
    """Callbacks for the response to one request.

    After `handle_complete` or `handle_failure` no other method is called.
    """

    def handle_head(self, head: Head) -> None:
        """Receive the status and headers."""

    def handle_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def handle_complete(self) -> None:
        """Handle the end of a complete response."""

    def handle_failure(self, failure: Failure, *, may_have_run: bool) -> None:
        """Handle a request that got no complete response.

        Parameters
        ----------
        failure : Failure
        may_have_run : bool
            Whether bytes of the request were sent, so that the server may have run it.
        """


class RequestHandle:
    """Handle of a request in flight."""

    def __init__(self, connection: _Connection | _NoConnection, receiver: ResponseReceiver):
        self._connection = connection
        self._receiver = receiver

    def cancel(self) -> None:
        """Close the connection, which makes the server abort the request.

        Has no effect once the request is complete: the connection may carry another one.
        """
        self._connection.cancel(self._receiver)

    def pause(self) -> None:
        """Receive nothing more until `resume`, so that the server sends no faster."""
        self._connection.pause(self._receiver)

    def resume(self) -> None:
        """Go on after `pause`."""
        self._connection.resume(self._receiver)

    def discard_rest(self) -> None:
        """Keep the connection for later requests if the rest of the response is short."""
        self._connection.discard_rest(self._receiver)


class _Connection:
    def __init__(self, pool: Pool, address: str, sock: socket.socket):
        self._pool = pool
        self.address = address
        self.idle_since = 0.0
        self.reuse_timeout_seconds = 0.0
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._receiver: ResponseReceiver | None = None
        self._head: Head | None = None
        self._sent_bytes_at_start = 0
        self._response_count = 0
        self._interim_count = 0
        self._body_bytes = 0
        self._max_body_bytes: int | None = None
        self._unparsed = bytearray()
        # Bytes that the parser has got since its last event, and holds.
        self._incomplete_bytes = 0
        self._received_at = 0.0
        self._event_count = 0
        self._waits_for_turn = False
        self._is_paused = False
        self._failed_connect = False
        sock.setblocking(False)
        try:
            sock.connect(transport.parse_address(address))
        except BlockingIOError:
            pass
        except OSError:
            self._failed_connect = True
        self._stream = stream.Stream(
            pool.loop,
            sock,
            on_data=self._handle_data,
            on_closed=self._handle_closed,
            buffer_limit_bytes=MAX_WRITE_BUFFER_BYTES,
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection is open for writing."""
        return self._stream.is_open

    def send_request(
        self, request: messages.Request, receiver: ResponseReceiver, max_body_bytes: int | None
    ) -> None:
        """Send a request; ``receiver`` gets the response."""
        self._receiver = receiver
        self._head = None
        self._interim_count = 0
        self._body_bytes = 0
        self._event_count = 0
        self._max_body_bytes = max_body_bytes
        self._sent_bytes_at_start = self._stream.sent_bytes
        headers = list(request.headers)
        if request.header(b"host") is None:
            # A caller of HTTP/1.0 may send none, and one may name it in Connection.
            headers.insert(0, (b"host", self.address.encode()))
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self._parser.send(head) or b""
        body = self._parser.send(h11.Data(data=request.body)) if request.body else b""
        end = self._parser.send(h11.EndOfMessage()) or b""
        if len(body) < stream.MIN_SHARED_BYTES:
            self._stream.write(data + body + end)
            return
        # A long body isn't copied, since the caller's request holds it anyway.
        for part in (data, body, end):
            self._stream.write(part)

    def fail_if_not_connected(self) -> None:
        """Fail the request with TIMED_OUT if no byte has been sent on this connection."""
        if self._receiver is not None and self._stream.sent_bytes == 0:
            self._stream.close()
            self._fail(Failure.TIMED_OUT)

    def cancel(self, receiver: ResponseReceiver) -> None:
        """Close the connection if it carries the request of a receiver, without calling it."""
        if self._receiver is receiver:
            self._receiver = None
            self.close()

    def pause(self, receiver: ResponseReceiver) -> None:
        """Read nothing more, and parse nothing, if the connection carries a receiver's response."""
        if self._receiver is receiver:
            self._is_paused = True
            self._stream.pause_reading()

    def resume(self, receiver: ResponseReceiver) -> None:
        """Go on after `pause`."""
        if self._receiver is receiver and self._is_paused:
            self._is_paused = False
            if not self._waits_for_turn:
                self._waits_for_turn = True
                self._pool.loop.call_later(0.0, lambda: self.take_turn(MAX_EVENTS_AT_ONCE))

    def discard_rest(self, receiver: ResponseReceiver) -> None:
        """Bound the rest of a receiver's response in size and time."""
        if self._receiver is receiver:
            self.resume(receiver)
            self._max_body_bytes = self._body_bytes + MAX_DISCARDED_BYTES
            self._pool.loop.call_later(DISCARD_TIMEOUT_SECONDS, lambda: self.cancel(receiver))

    def close(self) -> None:
        """Close the connection and remove it from the pool."""
        self._stream.close()
        self._pool.remove_connection(self)

    # Memory.

    def reclaimable(self) -> byte_account.Reclaimable:
        """Return what an incomplete head holds; see `byte_account.Holder`."""
        if self._head is not None:
            return byte_account.Reclaimable()
        return byte_account.Reclaimable(self._held_bytes, self._received_at)

    def give_up(self) -> None:
        """Give up an incomplete head, and fail the request."""
        self._close_and_fail(Failure.NO_MEMORY)

    @property
    def _held_bytes(self) -> int:
        return len(self._unparsed) + self._incomplete_bytes

    def _update_charge(self) -> None:
        """Account for bytes that are not parsed, or are held by the parser."""
        account = self._pool.account
        if account is None:
            return
        held_bytes = self._held_bytes
        if held_bytes < MIN_HELD_BYTES or not self._stream.is_open:
            account.remove(self)
            return
        in_use_bytes = held_bytes if self._head is not None else 0
        account.charge(self, held_bytes, in_use_bytes=in_use_bytes)

    def _handle_data(self, data: bytes) -> None:
        if self._receiver is None:
            # No request is in flight, so these bytes belong to no response.
            self._pool.count_unsolicited_data()
            self.close()
            return
        if not self._held_bytes:
            self._received_at = self._pool.loop.now()
        self._unparsed += data
        if not self._waits_for_turn and not self._is_paused:
            self._process_events(Failure.UNREADABLE, MAX_EVENTS_AT_ONCE)
        self._update_charge()

    def take_turn(self, max_events: int) -> None:
        """Go on with what was received; see `parse_turns.Parser`."""
        self._waits_for_turn = False
        self._process_events(Failure.UNREADABLE, max_events)
        self._update_charge()
        if not self._waits_for_turn and not self._is_paused:
            self._stream.resume_reading()

    def _feed_parser(self) -> bool:
        """Pass some of the received bytes to the parser; return whether there were any."""
        if not self._unparsed:
            return False
        piece = bytes(memoryview(self._unparsed)[:PIECE_BYTES])
        del self._unparsed[:PIECE_BYTES]
        self._incomplete_bytes += len(piece)
        self._parser.receive_data(piece)
        return True

    def _process_events(self, failure: Failure, max_events: float = math.inf) -> None:
        """Handle the parsed events of the response, or some; a parser error fails the request."""
        last_event_count = self._event_count + max_events
        while self._receiver is not None and not self._is_paused:
            if self._event_count >= last_event_count:
                self._waits_for_turn = True
                self._stream.pause_reading()
                self._pool.parse_turns.wait(self, self._event_count)
                return
            self._event_count += 1
            try:
                event = self._parser.next_event()
                if event is h11.NEED_DATA and self._feed_parser():
                    continue
            except h11.RemoteProtocolError:
                self._close_and_fail(failure)
                return
            if event is not h11.NEED_DATA:
                self._incomplete_bytes = 0
            match event:
                case h11.Response():
                    if event.status_code not in _STATUSES:
                        self._close_and_fail(Failure.UNREADABLE)
                        return
                    headers = tuple((bytes(key), bytes(value)) for key, value in event.headers)
                    self._update_reuse_timeout(headers)
                    self._response_count += 1
                    is_first = self._response_count == 1
                    self._head = Head(event.status_code, headers, is_first)
                    self._receiver.handle_head(self._head)
                case h11.Data():
                    self._body_bytes += len(event.data)
                    limit = self._max_body_bytes
                    if limit is not None and self._body_bytes > limit:
                        self._close_and_fail(Failure.TOO_LARGE)
                        return
                    self._receiver.handle_data(bytes(event.data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.InformationalResponse():
                    self._interim_count += 1
                    if self._interim_count > MAX_INTERIM_RESPONSES:
                        self._close_and_fail(Failure.UNREADABLE)
                        return
                case _:
                    return

    def _update_reuse_timeout(self, headers: messages.Headers) -> None:
        value = messages.find_header(headers, b"keep-alive")
        match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
        # Half of the announced timeout leaves time for network delays.
        idle_seconds = float(match[1]) / 2 if match else MAX_REUSE_IDLE_SECONDS
        self.reuse_timeout_seconds = min(idle_seconds, MAX_REUSE_IDLE_SECONDS)

    def _complete(self) -> None:
        receiver, self._receiver = self._receiver, None
        trailing_data = self._parser.trailing_data[0] or self._unparsed
        is_reusable = (
            not trailing_data
            and self._stream.is_open
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if trailing_data:
            self._pool.count_unsolicited_data()
        if is_reusable:
            self._parser.start_next_cycle()
            self._pool.add_idle(self)
        else:
            self.close()
        receiver.handle_complete()

    def _handle_closed(self) -> None:
        self._pool.remove_connection(self)
        self._is_paused = False
        if self._receiver is None:
            return
        if self._stream.was_reset:
            self._fail(Failure.RESET if self._stream.sent_bytes else Failure.NOT_CONNECTED)
            return
        try:
            while self._feed_parser():
                self._process_events(Failure.CLOSED)
            if self._receiver is None:
                return
            if self._head is not None and not self._head.is_error and self._ended_too_early:
                self._fail(Failure.CLOSED)
                return
            # The end of the connection ends a body without a length; any other body is truncated.
            self._parser.receive_data(b"")
        except h11.RemoteProtocolError:
            self._fail(Failure.CLOSED)
            return
        self._process_events(Failure.CLOSED)
        if self._receiver is not None:
            self._fail(Failure.CLOSED)

    @property
    def _ended_too_early(self) -> bool:
        """Whether the server closed the connection before it had the whole request.

        A connection that it resets may end like this, too: the reset comes with the next bytes of
        the request. So the end of such a connection isn't that of a success without a length; an
        error may well be sent before the request was read.
        """
        return self._stream.had_unsent_output

    def _close_and_fail(self, failure: Failure) -> None:
        self.close()
        self._fail(failure)

    def _fail(self, failure: Failure) -> None:
        receiver, self._receiver = self._receiver, None
        self._pool.remove_connection(self)
        if receiver is not None:
            was_sent = self._stream.sent_bytes > self._sent_bytes_at_start
            receiver.handle_failure(failure, may_have_run=was_sent)


class _NoConnection:
    """A connection that could not be made for want of a descriptor; fails its request."""

    def __init__(self, loop: loops.Loop, receiver: ResponseReceiver):
        self._receiver: ResponseReceiver | None = receiver
        loop.call_later(0.0, self._fail)

    def cancel(self, receiver: ResponseReceiver) -> None:
        """Forget the request of a receiver, without calling it."""
        if self._receiver is receiver:
            self._receiver = None

    def discard_rest(self, receiver: ResponseReceiver) -> None:
        """Do nothing: there is no response."""

    def pause(self, receiver: ResponseReceiver) -> None:
        """Do nothing: there is no response."""

    def resume(self, receiver: ResponseReceiver) -> None:
        """Do nothing: there is no response."""

    def _fail(self) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.handle_failure(Failure.NO_DESCRIPTOR, may_have_run=False)


def _make_socket() -> socket.socket | None:
    """Return a new socket, None if this process may open no more."""
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return None


class Pool:
    """Connections of this process to backend servers.

    Parameters
    ----------
    loop : loops.Loop
    connect_timeout_seconds : float
        Time allowed for establishing a new connection.
    account : byte_account.ByteAccount or None
        Account of what this process holds; None for a process that keeps none.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        connect_timeout_seconds: float = 0.25,
        account: byte_account.ByteAccount | None = None,
    ):
        self.loop = loop
        self.account = account
        self.parse_turns = parse_turns.ParseTurns(loop)
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle_connections: dict[str, list[_Connection]] = {}
        self._connections: set[_Connection] = set()
        self.unsolicited_data_count = 0
        self.opened_count = 0
        loop.call_every(1.0, self._close_expired)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def send(
        self,
        address: str,
        request: messages.Request,
        receiver: ResponseReceiver,
        *,
        new_connection: bool = False,
        max_body_bytes: int | None = None,
    ) -> RequestHandle:
        """Send a request on an idle connection, or on a new one if there is none.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        request : messages.Request
        receiver : ResponseReceiver
            Gets the response.
        new_connection : bool
            Whether to use a new connection, since the server may be closing an idle one.
        max_body_bytes : int or None
            A longer body fails the request; None if the receiver bounds it.

        Returns
        -------
        RequestHandle
            Cancels the request.

        Raises
        ------
        h11.LocalProtocolError
            The request can't be encoded; nothing was sent, and the receiver is not called.
        """
        connection = None if new_connection else self._pop_idle(address)
        if connection is None:
            sock = _make_socket()
            if sock is None:
                return RequestHandle(_NoConnection(self.loop, receiver), receiver)
            connection = _Connection(self, address, sock)
            self.opened_count += 1
            self._connections.add(connection)
            self.loop.call_later(self._connect_timeout_seconds, connection.fail_if_not_connected)
        try:
            connection.send_request(request, receiver, max_body_bytes)
        except h11.LocalProtocolError:
            connection.cancel(receiver)
            raise
        return RequestHandle(connection, receiver)

    def add_idle(self, connection: _Connection) -> None:
        """Keep a connection for later requests; close it if the server has enough idle ones."""
        idle = self._idle_connections.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS_PER_SERVER:
            connection.close()
            return
        connection.idle_since = self.loop.now()
        idle.append(connection)

    def remove_connection(self, connection: _Connection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        if self.account is not None:
            self.account.remove(connection)
        idle = self._idle_connections.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def count_unsolicited_data(self) -> None:
        """Count data received outside any response."""
        self.unsolicited_data_count += 1

    def check_listening(self, address: str, on_result: Callable[[bool | None], None]) -> None:
        """Find out whether a server accepts connections.

        Parameters
        ----------
        address : str
        on_result : callable
            Takes True if it does, False if its host refuses them, None if neither is known within
            the connect timeout. That of a check that lacks a descriptor begins once it has one.
        """
        sock = _make_socket()
        if sock is None:
            self.loop.call_later(
                DESCRIPTOR_RETRY_SECONDS, lambda: self.check_listening(address, on_result)
            )
            return
        listen_checks.ListenCheck(
            self.loop, address, self._connect_timeout_seconds, on_result, sock
        )

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to a server; those with a request stay open."""
        for connection in list(self._idle_connections.get(address, ())):
            connection.close()

    def close(self) -> None:
        """Close all connections; the receivers of requests in flight are not called."""
        for connection in list(self._connections):
            connection.close()

    def _pop_idle(self, address: str) -> _Connection | None:
        idle = self._idle_connections.get(address, [])
        now = self.loop.now()
        while idle:
            connection = idle.pop()
            if (
                connection.is_open
                and now - connection.idle_since < connection.reuse_timeout_seconds
            ):
                return connection
            connection.close()
        return None

    def _close_expired(self) -> None:
        now = self.loop.now()
        for idle in self._idle_connections.values():
            for connection in list(idle):
                if now - connection.idle_since >= connection.reuse_timeout_seconds:
                    connection.close()


class Collector:
    """Receiver that collects a small response and passes it to a callback.

    Parameters
    ----------
    on_done : callable
        Takes the head and the body; after a failure the head is None and the body empty.
    """

    def __init__(self, on_done: Callable[[Head | None, bytes], Any]):
        self._on_done = on_done
        self._head: Head | None = None
        self._data: list[bytes] = []

    def handle_head(self, head: Head) -> None:
        """Receive the status and headers."""
        self._head = head

    def handle_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        self._data.append(data)

    def handle_complete(self) -> None:
        """Pass the complete response to the callback."""
        self._on_done(self._head, b"".join(self._data))

    def handle_failure(self, _failure: Failure, *, may_have_run: bool) -> None:
        """Report the failure to the callback."""
        del may_have_run
        self._on_done(None, b"")
