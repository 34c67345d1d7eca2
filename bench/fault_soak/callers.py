"""Callers of a soak: one request each, sent and read as slowly as its plan says."""

from __future__ import annotations

import contextlib
import http.client
import select
import socket
import time

import attrs

from bench.fault_soak import history as histories
from bench.fault_soak import plan as plans
from flamingoramp.platform.tests import fleet as platform_fleets

CONNECT_SECONDS = 1.0
# Time after the limit of a request at which its caller gives up.
GIVE_UP_SECONDS = 4.0
PIECE_BYTES = 2000
READ_BYTES = 64 * 1024
MAX_HEAD_BYTES_AT_ONCE = 8000
HEAD_PIECE_SECONDS = 0.001
SMALL_BUFFER_BYTES = 4096
EVENT_SECONDS = 0.2
# Time of a model server for each token of an answer, by its declaration, and a margin.
TOKEN_SECONDS = 0.00135


def count_events(seconds: float) -> int:
    """Return the number of events of a stream that lasts for a time."""
    return max(1, round(seconds / EVENT_SECONDS))


def make_answer(request_id: str, size: int) -> bytes:
    """Return the body of a plain answer, which no other request has."""
    line = f"{request_id}\n".encode()
    return line * max(1, size // len(line))


def make_event(request_id: str, number: int, count: int) -> bytes:
    """Return an event of a stream, and what follows it."""
    event = f"id: {number}\ndata: {request_id} {number}/{count}\n\n".encode()
    return event + plans.choose_form(request_id).comment


@attrs.define
class Connection:
    """A connection to an entry; ``is_used`` once it has carried a request."""

    sock: socket.socket
    is_used: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether it is open and nothing waits to be read."""
        return not _is_readable(self.sock, 0.0)

    def close(self) -> None:
        """Close it."""
        self.sock.close()


def _is_readable(sock: socket.socket, seconds: float) -> bool:
    """Wait for input for some seconds; return whether there is any, or the end of it."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(1000 * seconds))


def connect(address: str, *, has_small_buffer: bool = False) -> Connection | None:
    """Return a connection, None if it is refused or not made in time."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    if has_small_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.settimeout(CONNECT_SECONDS)
    try:
        sock.connect((host, int(port)))
    except OSError:
        sock.close()
        return None
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)


def send(
    connection: Connection, call: plans.Call, request: histories.Request, begin: float
) -> bool:
    """Send a request, read its answer and record both; return whether the connection stays open.

    Parameters
    ----------
    begin : float
        Monotonic time at which the history begins.
    """
    connection.is_used = True
    request.began_at = time.monotonic() - begin
    give_up_at = time.monotonic() + request.limit + GIVE_UP_SECONDS
    give_up_at += call.read_pause + call.piece_pause * call.piece_count
    stays = False
    try:
        _send_request(connection.sock, call, request, begin)
        stays = _read_answer(connection.sock, call, request, begin, give_up_at)
    except TimeoutError:
        request.end = "silent"
    except (ConnectionError, http.client.HTTPException) as error:
        is_reset = isinstance(error, ConnectionError) and not isinstance(
            error, http.client.RemoteDisconnected
        )
        if request.status:
            request.end = "cut"
        else:
            request.end = "reset" if is_reset else "closed"
    request.ended_at = time.monotonic() - begin
    if not stays:
        connection.close()
    return stays


def _make_head(call: plans.Call, request: histories.Request, body_bytes: int) -> bytes:
    path = f"{request.route}-{request.version}" if request.version else request.route
    method = "GET" if call.route in ("read", "mark") else "POST"
    form = plans.choose_form(request.id)
    lines = [
        f"{method} /{path}/x HTTP/{call.version}",
        f"host: {platform_fleets.ROUTE_HOST}",
        f"x-attempt-id: {request.id}",
        f"authorization: Token {form.key}",
        f"x-deadline-ms: {1000 * call.deadline:.0f}",
        f"x-work: {call.seconds!r}:{call.answer_bytes}",
    ]
    if form.prompt_parts:
        lines.append(f"x-prompt-prefix: {form.prompt_parts}")
    if call.route == "stream":
        lines.append(f"x-token-count: 1000,{max(1, int(call.seconds / TOKEN_SECONDS))}")
    if method == "POST":
        is_chunked = call.is_chunked
        lines.append(
            "transfer-encoding: chunked" if is_chunked else f"content-length: {body_bytes}"
        )
    return "\r\n".join((*lines, "", "")).encode()


def make_body(request_id: str, piece_count: int) -> list[bytes]:
    """Return the pieces of the body of a request."""
    piece = (request_id.encode() * PIECE_BYTES)[:PIECE_BYTES]
    return [piece] * piece_count


def _send_request(
    sock: socket.socket, call: plans.Call, request: histories.Request, begin: float
) -> None:
    """Send the head and the body, up to an early answer if there is one."""
    pieces = [] if call.route in ("read", "mark") else make_body(request.id, call.piece_count)
    sock.settimeout(request.limit + GIVE_UP_SECONDS)
    data = _make_head(call, request, sum(map(len, pieces)))
    is_long = len(data) > MAX_HEAD_BYTES_AT_ONCE
    while is_long and len(data) > PIECE_BYTES:
        # As a link carries a long head: the entry gets a part of it first.
        with contextlib.suppress(ConnectionError):
            sock.sendall(data[:PIECE_BYTES])
        data = data[PIECE_BYTES:]
        time.sleep(HEAD_PIECE_SECONDS)
    # An answer that has arrived is read, though the connection takes nothing more.
    with contextlib.suppress(ConnectionError):
        for number, piece in enumerate(pieces):
            data += b"%x\r\n%b\r\n" % (len(piece), piece) if call.is_chunked else piece
            if number == len(pieces) - 1:
                break
            sock.sendall(data)
            data = b""
            if _is_readable(sock, call.piece_pause):
                return
        if call.is_chunked:
            data += b"0\r\n\r\n"
        sock.sendall(data)
        request.whole_at = time.monotonic() - begin


def _read_answer(
    sock: socket.socket,
    call: plans.Call,
    request: histories.Request,
    begin: float,
    give_up_at: float,
) -> bool:
    sock.settimeout(max(0.1, give_up_at - time.monotonic()))
    response = http.client.HTTPResponse(sock, method="POST")
    try:
        response.begin()
        request.status = response.status
        request.headed_at = time.monotonic() - begin
        body = b""
        is_first = True
        while piece := response.read1(READ_BYTES):
            body += piece
            if is_first and call.read_pause:
                time.sleep(call.read_pause)
                request.paused_until = time.monotonic() - begin
            is_first = False
            sock.settimeout(max(0.1, give_up_at - time.monotonic()))
        if response.length:
            raise http.client.IncompleteRead(body, response.length)
        request.end = "answered"
        request.is_right = _is_right(call, request, response, body)
        return not response.will_close and request.whole_at is not None and call.version == "1.1"
    finally:
        response.close()


def _is_right(
    call: plans.Call, request: histories.Request, response: http.client.HTTPResponse, body: bytes
) -> bool:
    """Whether an answer is the server's whole answer to this request."""
    if response.headers.get("x-attempt-id") != request.id:
        return False
    if not response.headers.get("x-response-stamp"):
        return False
    if call.route != "stream":
        return body == make_answer(request.id, call.answer_bytes)
    count = count_events(call.seconds)
    events = [make_event(request.id, number, count) for number in range(1, count + 1)]
    return body == b"".join(events)
