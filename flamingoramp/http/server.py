"""HTTP server: persistent connections of callers, served by one event loop."""

from __future__ import annotations

import errno
import heapq
import math
import random
import selectors
import socket
from collections.abc import Callable
from typing import Any

import attrs
import h11

from flamingoramp import errors, value_classes
from flamingoramp.http import messages
from flamingoramp.runtime import byte_account, listeners, parse_turns, stream
from flamingoramp.runtime import loop as loops

# Per iteration of the loop, so that many new connections at once don't delay other work.
MAX_ACCEPTS_PER_ITERATION = 64
# A caller that reads so slowly that more response data than this is queued is disconnected.
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
# A response of which no more than this is left to send can go on; see `Exchange.on_drained`.
DRAINED_BYTES = 64 * 1024
# Data of later requests that a caller may send before the response to the current one is complete.
MAX_PIPELINED_BYTES = 256 * 1024
# Bytes of a chunked body that are passed to the parser at a time.
CHUNKED_PIECE_BYTES = 16 * 1024
# Bytes on the wire for each byte that a body may have; chunks of one byte take six.
MAX_FRAMING_RATIO = 16
# Memory of a parsed header line besides its bytes: its texts and tuples, here and in the parser.
HEADER_LINE_BYTES = 400
# Events and bytes of a head that are parsed as soon as they arrive; what takes more waits for its
# turn. A head of very many lines takes some milliseconds.
MAX_EVENTS_AT_ONCE = 16
MAX_HEAD_BYTES_AT_ONCE = 4096
# Wait after which a caller should come back who was refused for lack of memory or connections.
RETRY_AFTER_SECONDS = 1.0
# A server with as many connections as it may have ends those that had no request for this long.
MIN_WAIT_FOR_EVICTION_SECONDS = 0.5
# Share of its connections that a server tries to keep free for new ones, at most.
MAX_FREE_RATIO = 1 / 16
# Interval at which a process without a free descriptor tries to accept a connection again.
DESCRIPTOR_RETRY_SECONDS = 0.1
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5
# A stopping server waits this long for the first request of a new connection.
FIRST_REQUEST_SECONDS = 0.5
# A stopping server refuses a request of which no bytes arrived for this long.
CLOSING_SILENCE_SECONDS = 2.0
CLOSING_CHECK_INTERVAL_SECONDS = 0.1
# Time for the handshakes that have begun when a stopping server refuses new connections.
HANDSHAKE_SECONDS = 0.2
# A stopping server goes on reading a connection for this long after it told its caller the end.
LINGER_SECONDS = 0.5
# Excess connections that get a response at the same time: a share of those that a server may have,
# or some at least; further ones are closed immediately.
REFUSED_RATIO = 1 / 16
MIN_REFUSED_CONNECTIONS = 24
MAX_CONNECTIONS = 3000


@attrs.frozen(eq=False, repr=False)
class Limits(value_classes.Value):
    """Limits on the size and duration of requests.

    ``header_bytes`` and ``body_bytes`` limit the sizes. ``header_seconds`` limits the time until
    the header is complete, and until a new connection sends data; ``body_seconds`` that from the
    first byte of a request until its body is complete; ``idle_seconds`` that between requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    body_seconds: float = 20.0
    idle_seconds: float = 15.0


@attrs.frozen(eq=False, repr=False)
class UndeliveredAnswer(value_classes.Value):
    """An answer whose connection was closed before all of it was passed to the kernel.

    ``request`` is the last request of the connection. ``reason`` is ``"overflow"`` if the output
    buffer was full, ``"reset"`` if the caller closed the connection, ``"stalled"`` if the caller
    took no bytes for too long, ``"memory"`` if the process held too much for its callers, and
    ``"exit"`` if this program ended.
    """

    request: messages.Request
    reason: str
    buffered_bytes: int


class Exchange:
    """One request and the response to it, which can be sent as a whole or in parts.

    ``on_disconnect`` is called if the connection is lost before the response is complete.
    ``on_drained`` is called whenever the caller has taken the response up to `DRAINED_BYTES`.
    """

    def __init__(
        self,
        connection: Connection,
        request: messages.Request,
        arrived_at: float,
        receiving_seconds: float = 0.0,
    ):
        self._connection = connection
        self._request = request
        self._arrived_at = arrived_at
        self._receiving_seconds = receiving_seconds
        self._is_done = False
        self._has_started = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the response that are not yet passed to the kernel."""
        return self._connection.buffered_bytes

    @property
    def request(self) -> messages.Request:
        """The request."""
        return self._request

    @property
    def arrived_at(self) -> float:
        """When the complete request was parsed, in seconds of the loop's clock."""
        return self._arrived_at

    @property
    def receiving_seconds(self) -> float:
        """Time from the first byte of the request to the last one."""
        return self._receiving_seconds

    @property
    def is_done(self) -> bool:
        """Whether the response is complete or aborted, or the caller has disconnected."""
        return self._is_done

    @property
    def has_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._has_started

    def respond(self, response: messages.Response) -> None:
        """Send a complete response."""
        self.start(response.status, response.headers, length=len(response.body))
        if response.body:
            self.send(response.body)
        self.finish()

    def start(self, status: int, headers: messages.Headers, *, length: int | None = None) -> None:
        """Send the head of the response; without a length the body is sent in chunked encoding."""
        if self._is_done or self._has_started:
            return
        self._has_started = True
        self._connection.send_head(status, headers, length)

    def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        if not self._is_done:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Complete the response."""
        if not self._is_done:
            self._end()
            self._connection.finish_response()

    def hold_answer(self, size_bytes: int) -> bool:
        """Account for so many more bytes of the answer that are held back, or fewer if negative.

        Returns
        -------
        bool
            Whether the process has room for them.
        """
        return self._is_done or self._connection.hold_answer(size_bytes)

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection, for a duplicate that sends the response; see `detach`."""
        return self._connection.socket

    def detach(self) -> None:
        """Leave the response to a duplicate of the socket: nothing more is read or sent here."""
        if not self._is_done:
            self._end()
            self._connection.detach()

    def abort(self) -> None:
        """Close the connection, so that the caller can't take the response for a complete one."""
        if not self._is_done:
            self._end()
            self._connection.abort()

    def mark_disconnected(self) -> None:
        """Mark the exchange as done and call ``on_disconnect``, unless it is done already."""
        if not self._is_done:
            self._end()
            if self.on_disconnect is not None:
                self.on_disconnect()

    def _end(self) -> None:
        self._is_done = True
        # Timers keep the exchange until the deadline of the request.
        self._request = _without_body(self._request)


def _without_body(request: messages.Request) -> messages.Request:
    return attrs.evolve(request, body=b"") if request.body else request


class Connection:
    """Connection of one caller, which carries one exchange at a time."""

    def __init__(self, server: Server, sock: socket.socket):
        self._server = server
        self._phase_started_at = self._received_at = server.loop.now()
        self._parser = self._new_parser()
        self._request_head: h11.Request | None = None
        self._method = b""
        # Received bytes that the parser hasn't got yet.
        self._unparsed = bytearray()
        self._body = bytearray()
        # Bytes of a body with a length that the parser hasn't got yet; None for a chunked body.
        self._unfed_body_bytes: int | None = None
        # Memory of the head of the current request, of its complete body and of its answer.
        self._head_bytes = 0
        self._request_bytes = 0
        self._held_answer_bytes = 0
        self._event_count = 0
        self._waits_for_turn = False
        self._bytes_since_dispatch = 0
        self._is_first_request = True
        self._exchange: Exchange | None = None
        self._is_ending = False
        # Whether the head of the current response says that the connection ends after it.
        self._has_announced_close = False
        self._discards_requests = False
        self._last_request: messages.Request | None = None
        self._stream = stream.Stream(
            server.loop,
            sock,
            on_data=self._handle_data,
            on_closed=self._handle_closed,
            buffer_limit_bytes=MAX_WRITE_BUFFER_BYTES,
            on_sent=self._handle_sent,
        )
        self._update_charge()

    @property
    def has_exchange(self) -> bool:
        """Whether a request was received whose response is not complete."""
        return self._exchange is not None

    @property
    def phase_started_at(self) -> float:
        """When the current request began to arrive, or else the wait for it, in loop seconds."""
        return self._phase_started_at

    @property
    def is_reading(self) -> bool:
        """Whether part of a request, but not all of it, was received."""
        return self._request_head is not None or self._bytes_since_dispatch > 0

    @property
    def is_flushing(self) -> bool:
        """Whether the response is complete, but not yet passed to the kernel."""
        return self._stream.is_open and self._stream.buffered_bytes > 0

    @property
    def is_open(self) -> bool:
        """Whether the connection isn't closed yet."""
        return self._stream.is_open

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are not yet passed to the kernel."""
        return self._stream.buffered_bytes

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection."""
        return self._stream.socket

    def detach(self) -> None:
        """Close this handle of a connection that a duplicate of its socket keeps open."""
        self._exchange = None
        self._forget_request()
        self.close()

    def is_lingering(self, now: float) -> bool:
        """Return whether the caller may not have read that the connection ends."""
        return self.is_flushing or (
            self._stream.is_open and now - self._stream.progress_at < LINGER_SECONDS
        )

    def awaits_first_request(self, now: float) -> bool:
        """Return whether the connection is new and its first request may be on the way."""
        is_new = now - self._phase_started_at < FIRST_REQUEST_SECONDS
        return self._is_first_request and self._exchange is None and is_new

    def close_if_timed_out(self, now: float) -> None:
        """Refuse with 408 a request that takes too long to arrive; end an idle connection."""
        limits = self._server.limits
        if self._exchange is not None or self._waits_for_turn:
            return
        elapsed_seconds = now - self._phase_started_at
        is_silent = now - self._received_at > CLOSING_SILENCE_SECONDS
        if self._server.is_closing and self.is_reading and is_silent:
            self._refuse_request(408)
        elif self._request_head is not None:
            if elapsed_seconds > limits.body_seconds:
                self._refuse_request(408)
        elif self._bytes_since_dispatch:
            if elapsed_seconds > limits.header_seconds:
                self._refuse_request(408)
        elif elapsed_seconds > (
            limits.header_seconds if self._is_first_request else limits.idle_seconds
        ):
            self._end_idle()

    def close_if_idle(self) -> None:
        """End the connection unless a request is expected, being received or responded to."""
        if self._is_idle():
            self._end_idle()

    def _is_idle(self) -> bool:
        is_expected = self.awaits_first_request(self._server.loop.now())
        return self._exchange is None and not self.is_reading and not is_expected

    def _end_idle(self) -> None:
        """End the connection with a 408, unless the kernel has received a request.

        A request that crosses the 408 gets it as its response: it is read, but never handled.
        """
        if not self._stream.read_pending() and self._stream.is_open:
            self._send_refusal(408)
            self._finish_connection()

    def refuse(self, status: int) -> None:
        """Respond to any request with a status, and end the connection."""
        self._send_refusal(status)
        self._finish_connection()

    # Memory.

    def reclaimable(self) -> byte_account.Reclaimable:
        """Return what this connection could give up; see `byte_account.Holder`."""
        if not self._stream.is_open:
            return byte_account.Reclaimable()
        buffered_bytes = self._stream.buffered_bytes
        if self._exchange is None and self.is_reading and not self._is_ending:
            size_bytes = self._received_bytes + buffered_bytes
            return byte_account.Reclaimable(size_bytes, self._phase_started_at)
        if self._unparsed:
            return byte_account.Reclaimable(len(self._unparsed), self._received_at)
        return byte_account.Reclaimable(buffered_bytes, self._stream.buffered_since)

    def give_up(self) -> None:
        """Refuse an incomplete request, discard later ones, or cut off an answer not taken."""
        if self._exchange is None and self.is_reading and not self._is_ending:
            self._refuse_request(503)
        elif self._unparsed:
            self._discard_later_requests()
        else:
            self._report_undelivered("memory")
            self._stream.reset()
            self._end_exchange()
        self._update_charge()

    def hold_answer(self, size_bytes: int) -> bool:
        """Account for bytes of the answer that are held back; return whether there is room."""
        self._held_answer_bytes += size_bytes
        self._update_charge()
        return self._server.account.has_room(0)

    @property
    def _received_bytes(self) -> int:
        """Memory of what was received of a request that isn't complete."""
        if self._request_head is None:
            return self._bytes_since_dispatch
        return self._head_bytes + len(self._body) + len(self._unparsed)

    def _update_charge(self) -> None:
        account = self._server.account
        if not self._stream.is_open:
            account.remove(self)
            return
        in_use_bytes = 0
        received_bytes = len(self._unparsed)
        if self._exchange is not None:
            in_use_bytes = self._head_bytes + self._request_bytes + self._held_answer_bytes
        elif not self._is_ending:
            received_bytes = self._received_bytes
        account.charge(
            self,
            byte_account.CONNECTION_BYTES
            + received_bytes
            + in_use_bytes
            + self._stream.buffered_bytes,
            in_use_bytes=in_use_bytes,
        )

    def _handle_sent(self) -> None:
        self._update_charge()
        exchange = self._exchange
        if (
            exchange is not None
            and exchange.on_drained is not None
            and self._stream.buffered_bytes <= DRAINED_BYTES
        ):
            exchange.on_drained()

    def _discard_later_requests(self) -> None:
        """Discard what the caller sends after the current request; the connection ends then."""
        self._discards_requests = True
        self._unparsed = bytearray()

    def _forget_request(self) -> None:
        """Release the memory of the current request."""
        self._head_bytes = self._request_bytes = self._held_answer_bytes = 0
        self._body = bytearray()

    def evict(self) -> None:
        """Refuse what the caller may have sent, and close the connection at once."""
        if not self.is_reading and self._stream.read_pending():
            return  # a request, which is handled
        self._server.report_refusal(503)
        self._send_refusal(503)
        self._stream.flush()
        self._stream.end_now()
        self._end_exchange()

    def end_at_exit(self) -> None:
        """Close the connection since the process ends; refuse a request that was not handled."""
        if self._exchange is not None:
            self._report_undelivered("exit")
            self.abort()
            return
        if self._stream.is_open:
            if not self._is_ending:
                self._send_refusal(408)
            self._stream.flush()
        if self._stream.is_open:
            self._report_undelivered("exit")
            self._stream.end_now()
        self._server.remove_connection(self)

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.close()
        self._server.remove_connection(self)
        self._update_charge()

    def _report_undelivered(self, reason: str) -> None:
        """Report the last answer if some of it was not passed to the kernel."""
        if self._stream.buffered_bytes and self._last_request is not None:
            self._server.report_undelivered(
                UndeliveredAnswer(self._last_request, reason, self._stream.buffered_bytes)
            )

    def send_head(self, status: int, headers: messages.Headers, length: int | None) -> None:
        """Send the head of a response; ``length`` None means a chunked body."""
        fields = [*headers]
        if length is not None:
            fields.append((b"content-length", b"%d" % length))
        else:
            fields.append((b"transfer-encoding", b"chunked"))
        self._has_announced_close = self._server.is_closing or self._discards_requests
        if self._has_announced_close:
            fields.append((b"connection", b"close"))
        try:
            response = h11.Response(
                status_code=status, headers=fields, reason=messages.reason_phrase(status)
            )
        except h11.LocalProtocolError as error:
            self._fail(error)
            return
        self._send(response)

    def send_data(self, data: bytes) -> None:
        """Send a part of the response body; a response to HEAD has none."""
        if self._method != b"HEAD":
            self._send(h11.Data(data=data))

    def finish_response(self) -> None:
        """Complete the response, then end the connection or process the next request."""
        self._send(h11.EndOfMessage())
        self._exchange = None
        self._forget_request()
        if not self._stream.is_open:
            return
        # A caller that wasn't told of the close may have sent its next request.
        is_last = self._has_announced_close or self._discards_requests
        if self._parser.our_state is not h11.DONE or is_last:
            self._finish_connection()
            return
        if self._parser.their_state is not h11.DONE:
            self._finish_connection()
            return
        self._parser.start_next_cycle()
        self._is_first_request = False
        self._phase_started_at = self._server.loop.now()
        self._bytes_since_dispatch = len(self._parser.trailing_data[0]) + len(self._unparsed)
        if self._bytes_since_dispatch:
            self._server.loop.call_later(0, self._process_at_once)
        self._update_charge()

    def abort(self) -> None:
        """Close the connection before the response is complete.

        To a caller of HTTP/1.0, the end of the connection is that of the response, unless it is
        reset.
        """
        self._exchange = None
        if self._parser.their_http_version == b"1.0":
            self._stream.reset()
        self.close()

    def _send(self, event: h11.Response | h11.Data | h11.EndOfMessage) -> None:
        """Send a part of a response; close the connection if it can't be encoded."""
        try:
            data = self._parser.send(event)
        except h11.LocalProtocolError as error:
            self._fail(error)
            return
        self._stream.write(data or b"")
        if self._stream.buffered_bytes:
            self._update_charge()

    def _fail(self, error: Exception) -> None:
        """Report an error of this program and close the connection."""
        self._server.report_error(error)
        self._handle_closed()
        self.close()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._server.limits.header_bytes
        )

    def _finish_connection(self) -> None:
        self._is_ending = True
        self._forget_request()
        self._request_head = None
        self._unparsed = bytearray()
        if self._bytes_since_dispatch:
            self._bytes_since_dispatch = 0
            self._parser = self._new_parser()  # the other one has kept what it couldn't parse
        self._stream.resume_reading()
        self._stream.shut_down_gracefully()
        self._server.remove_connection(self)
        if self._stream.is_open:
            self._server.add_ending(self)
        self._update_charge()

    def _handle_closed(self) -> None:
        was_closed_by_caller = self._stream.was_reset or self._stream.has_input_ended
        reason = "reset" if was_closed_by_caller else "stalled"
        if self._stream.buffered_bytes > MAX_WRITE_BUFFER_BYTES:
            reason = "overflow"
        self._report_undelivered(reason)
        self._end_exchange()

    def _end_exchange(self) -> None:
        """End the exchange, if there is one, of a connection that was closed."""
        self._server.remove_connection(self)
        self._forget_request()
        self._update_charge()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.mark_disconnected()

    def _handle_data(self, data: bytes) -> None:
        if self._discards_requests:
            return
        self._received_at = self._server.loop.now()
        if self._exchange is None and not self.is_reading:
            self._phase_started_at = self._received_at
        self._bytes_since_dispatch += len(data)
        self._unparsed += data
        if self._exchange is None:
            self._process_at_once()
        elif self._bytes_since_dispatch > MAX_PIPELINED_BYTES:
            self._discard_later_requests()
        self._update_charge()

    def _process_at_once(self) -> None:
        """Parse what takes little time; let the rest wait for its turn."""
        if self._waits_for_turn:
            return
        is_head = self._request_head is None
        if is_head and self._bytes_since_dispatch > MAX_HEAD_BYTES_AT_ONCE:
            self._wait_for_turn()
        else:
            self._process_events(MAX_EVENTS_AT_ONCE)
        self._update_charge()

    def take_turn(self, max_events: int) -> None:
        """Go on with what was received; see `parse_turns.Parser`."""
        self._waits_for_turn = False
        self._process_events(max_events)
        if not self._waits_for_turn:
            self._stream.resume_reading()
        self._update_charge()

    def _process_events(self, max_events: int) -> None:
        """Handle the parsed events up to the end of the next request, or some of them."""
        last_event_count = self._event_count + max_events
        while self._exchange is None and self._stream.is_open and not self._is_ending:
            if self._event_count >= last_event_count:
                self._wait_for_turn()
                return
            self._event_count += 1
            try:
                event = self._parser.next_event()
                if event is h11.NEED_DATA and not self._feed_parser():
                    return
            except h11.RemoteProtocolError as error:
                self._refuse_request(error.error_status_hint)
                return
            match event:
                case h11.Request():
                    if not self._accept_request_head(event):
                        return
                case h11.Data():
                    self._body += event.data
                    if not self._check_body_size():
                        return
                case h11.EndOfMessage():
                    self._dispatch()
                    return
                case h11.ConnectionClosed():
                    self.close()
                    return
                case h11.PAUSED:
                    return

    def _wait_for_turn(self) -> None:
        """Parse the rest later; meanwhile nothing more is read from the connection."""
        self._waits_for_turn = True
        self._stream.pause_reading()
        self._server.parse_turns.wait(self, self._event_count)

    def _feed_parser(self) -> bool:
        """Pass some of the received bytes to the parser; return whether there were any.

        It gets no more than a head may have, a body has left or a few chunks take, since it keeps
        what it gets and looks at a head as a whole.
        """
        if not self._unparsed:
            return False
        if self._request_head is None:
            size_bytes = self._server.limits.header_bytes
        elif self._unfed_body_bytes is None:
            size_bytes = CHUNKED_PIECE_BYTES
        else:
            size_bytes = self._unfed_body_bytes
            self._unfed_body_bytes -= min(size_bytes, len(self._unparsed))
        piece = bytes(memoryview(self._unparsed)[:size_bytes])
        del self._unparsed[:size_bytes]
        self._parser.receive_data(piece)
        return True

    def _check_body_size(self) -> bool:
        """Refuse a request whose body is too long; return whether it was not."""
        limit_bytes = self._server.limits.body_bytes
        wire_bytes = self._bytes_since_dispatch - len(self._unparsed)
        if (
            len(self._body) > limit_bytes
            or wire_bytes > MAX_FRAMING_RATIO * limit_bytes + self._server.limits.header_bytes
        ):
            self._refuse_request(413)
            return False
        return self._check_room(len(self._body))

    def _check_room(self, body_bytes: int) -> bool:
        """Refuse a request that the process has no memory for; return whether it has."""
        account = self._server.account
        size_bytes = self._head_bytes + body_bytes
        if account.has_room(size_bytes):
            return True
        account.report_refusal(size_bytes)
        self._refuse_request(503 if account.can_ever_have_room(size_bytes) else 413)
        return False

    def _accept_request_head(self, head: h11.Request) -> bool:
        headers = head.headers
        self._method = bytes(head.method)
        if self._method == b"CONNECT":
            self._refuse_request(405)  # no tunnels
            return False
        # The parser limits the size of a head only if it arrives in several parts.
        size = len(head.target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > self._server.limits.header_bytes:
            self._refuse_request(431)
            return False
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # A body with both framings allows request smuggling.
            self._refuse_request(400)
            return False
        length = messages.find_header(tuple(headers), b"content-length")
        body_bytes = int(length) if length is not None else 0
        if body_bytes > self._server.limits.body_bytes:
            self._refuse_request(413)
            return False
        self._head_bytes = size + HEADER_LINE_BYTES * len(headers)
        self._event_count += len(headers)
        if not self._check_room(body_bytes):
            return False
        self._request_head = head
        self._unfed_body_bytes = None
        if length is not None:
            self._unfed_body_bytes = max(0, body_bytes - len(self._parser.trailing_data[0]))
        if self._parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self._parser.send(continue_response) or b"")
        return True

    def _dispatch(self) -> None:
        head = self._request_head
        is_head_as_get = self._method == b"HEAD" and self._server.answers_head
        request = messages.Request(
            method=b"GET" if is_head_as_get else self._method,
            target=bytes(head.target),
            headers=tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body=bytes(self._body),
        )
        self._request_head = None
        self._body = bytearray()
        self._request_bytes = len(request.body)
        self._event_count = 0
        self._bytes_since_dispatch = len(self._unparsed)
        self._last_request = _without_body(request)
        now = self._server.loop.now()
        self._exchange = Exchange(self, request, now, now - self._phase_started_at)
        self._server.handle(self._exchange)

    def _refuse_request(self, status: int) -> None:
        """Respond to an invalid request with a status, and close the connection."""
        self._server.report_refusal(status)
        self._send_refusal(status)
        self._finish_connection()

    def _send_refusal(self, status: int) -> None:
        """Send the response of a refusal, unless another one has begun."""
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            refusal = self._server.make_refusal(status)
            headers = [*refusal.headers, (b"content-length", b"%d" % len(refusal.body))]
            if status == 503:
                headers.append((b"retry-after", _retry_after()))
            response = h11.Response(
                status_code=status,
                headers=[*headers, (b"connection", b"close")],
                reason=messages.reason_phrase(status),
            )
            self._stream.write((self._parser.send(response) or b"") + refusal.body)


def _retry_after() -> bytes:
    """Return the value of Retry-After, spread so that the refused don't come back at once."""
    return b"%.3f" % (RETRY_AFTER_SECONDS * (1 + random.random()))


class Server:
    """HTTP server on one address, which passes complete requests to a handler.

    Parameters
    ----------
    loop : loops.Loop
    listen : str
        ``ip:port``; with port 0 the system chooses a free port.
    handler : callable
        Takes an `Exchange`.
    limits : callable
        Returns the current `Limits`.
    on_refused : callable
        Takes the status with which an invalid request or excess connection was refused.
    on_undelivered : callable
        Takes an `UndeliveredAnswer`.
    max_connections : callable
        Returns the maximum number of open connections, with those that end. Above it, connections
        that have had no request for some time are ended, or new ones refused with 503.
    listener : socket.socket or None
        Socket that listens on this address already; None to open one.
    on_error : callable or None
        Takes an unexpected error of the handler, or in the encoding of a response, which has ended
        that request; None to let such errors end the loop.
    on_crowded : callable
        Takes how many connections were ended or refused to keep their number within the limit, and
        whether the process lacked a descriptor.
    account : byte_account.ByteAccount or None
        What the connections charge for the bytes that they hold; None for no limit.
    make_refusal : callable
        Takes the status of a refusal and returns its response, which has no body by default.
    answers_head : bool
        Whether the handler gets HEAD requests as GET; their responses are sent without a body.
    """

    def __init__(
        self,
        loop: loops.Loop,
        listen: str,
        handler: Callable[[Exchange], None],
        *,
        on_error: Callable[[Exception], None] | None = None,
        answers_head: bool = False,
        limits: Callable[[], Limits] = Limits,
        on_refused: Callable[[int], None] = lambda _status: None,
        on_undelivered: Callable[[UndeliveredAnswer], None] = lambda _answer: None,
        on_crowded: Callable[[int, bool], None] = lambda _count, _lacks_descriptor: None,
        max_connections: Callable[[], int] = lambda: MAX_CONNECTIONS,
        listener: socket.socket | None = None,
        account: byte_account.ByteAccount | None = None,
        make_refusal: Callable[[int], messages.Response] = messages.Response,
    ):
        self.loop = loop
        self.make_refusal = make_refusal
        self.account = account or byte_account.ByteAccount(None, loop.now)
        self.parse_turns = parse_turns.ParseTurns(loop)
        self.answers_head = answers_head
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._on_undelivered = on_undelivered
        self._on_error = on_error
        self._on_crowded = on_crowded
        self._find_max_connections = max_connections
        self._max_connections = max_connections()
        self._connections: set[Connection] = set()
        # Connections that are no longer read for requests, but not closed yet.
        self._ending: set[Connection] = set()
        self._closing = False
        self._has_stopped_accepting = False
        self._listener: socket.socket | None = listener or listeners.open_listener(listen)
        loop.register(self._listener, selectors.EVENT_READ, self._accept)
        loop.call_every(TIMEOUT_CHECK_INTERVAL_SECONDS, self._close_timed_out)

    @property
    def address(self) -> str:
        """``ip:port`` on which the server listens."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def limits(self) -> Limits:
        """The current limits."""
        return self._limits()

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed after the response to their current request."""
        return self._closing

    @property
    def receiving_count(self) -> int:
        """Number of connections of which part of a request, but not all of it, was received."""
        return sum(
            not connection.has_exchange and connection.is_reading
            for connection in self._connections
        )

    @property
    def undelivered_count(self) -> int:
        """Number of connections with a complete answer that is not yet passed to the kernel."""
        connections = (*self._ending, *self._connections)
        return sum(
            not connection.has_exchange and connection.is_flushing for connection in connections
        )

    @property
    def busy_count(self) -> int:
        """Number of connections that the end of the process would cut off.

        Those with a request that is expected, being received or responded to, and those whose
        caller may not have read the last response, or that the connection ends. At least 1 while
        handshakes may be in progress after `stop_accepting`.
        """
        now = self.loop.now()
        self._forget_closed()
        count = sum(connection.is_lingering(now) for connection in self._ending) + sum(
            self._has_stopped_accepting
            or connection.has_exchange
            or connection.is_reading
            or connection.is_flushing
            or connection.awaits_first_request(now)
            for connection in self._connections
        )
        awaits_handshakes = self._has_stopped_accepting and self._listener is not None
        return max(count, int(awaits_handshakes))

    def handle(self, exchange: Exchange) -> None:
        """Pass a complete request to the handler; an error in it fails the request, if contained.

        An answer that has begun is aborted.
        """
        if self._on_error is None:
            self._handler(exchange)
            return
        try:
            self._handler(exchange)
        except errors.InvariantViolationError:
            raise  # ends the process, whose state can't be trusted any more
        except Exception as error:
            self._on_error(error)
            if exchange.has_started:
                exchange.abort()
            else:
                exchange.respond(messages.Response(500))

    def report_error(self, error: Exception) -> None:
        """Report an error that has closed a connection.

        Raises
        ------
        Exception
            The error itself if errors are not contained.
        """
        if self._on_error is None:
            raise error
        self._on_error(error)

    def report_refusal(self, status: int) -> None:
        """Report the status of a refused request to ``on_refused``."""
        self._on_refused(status)

    def report_undelivered(self, answer: UndeliveredAnswer) -> None:
        """Report an answer that the caller did not get as a whole to ``on_undelivered``."""
        self._on_undelivered(answer)

    def remove_connection(self, connection: Connection) -> None:
        """Remove a connection that takes no more requests."""
        self._connections.discard(connection)

    def add_ending(self, connection: Connection) -> None:
        """Count a finished connection as busy until its caller had time to read the end."""
        self._ending.add(connection)

    def refuse_receiving(self) -> None:
        """Refuse with 503 all requests of which a part, but not all, has arrived."""
        for connection in list(self._connections):
            if not connection.has_exchange and connection.is_reading:
                connection._refuse_request(503)

    def begin_closing(self) -> None:
        """Close each connection after the response to its current request."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Stop listening, and end the connections without a request in progress.

        Connections that the kernel has accepted are served: closing the listener would reset them.
        """
        if self._listener is None or self._has_stopped_accepting:
            return
        self._has_stopped_accepting = True
        if listeners.refuse_connections(self._listener):
            self._accept_all()
            self.loop.call_later(HANDSHAKE_SECONDS, self._close_listener)
        else:
            self._close_listener()
        self._end_idle_connections()

    def close(self) -> None:
        """Stop listening and close all connections immediately."""
        if self._listener is not None:
            listeners.refuse_connections(self._listener)
        self._has_stopped_accepting = True
        self._close_listener()
        for connection in (*self._connections, *self._ending):
            connection.end_at_exit()

    def _close_listener(self) -> None:
        if self._listener is None:
            return
        self.loop.unregister(self._listener)
        self._accept_all()
        self._listener.close()
        self._listener = None

    def _accept_all(self) -> None:
        for _ in range(listeners.BACKLOG_COUNT // MAX_ACCEPTS_PER_ITERATION):
            if not self._accept_some():
                return

    def _end_idle_connections(self) -> None:
        """End idle connections now, and the others as soon as they are idle."""
        self._close_timed_out()
        for connection in list(self._connections):
            connection.close_if_idle()
        if self._connections or self._listener is not None:
            self.loop.call_later(CLOSING_CHECK_INTERVAL_SECONDS, self._end_idle_connections)

    @property
    def _open_count(self) -> int:
        return len(self._connections) + len(self._ending)

    def _forget_closed(self) -> None:
        for connection in self._ending:
            if not connection.is_open:
                self.account.remove(connection)
        self._ending = {connection for connection in self._ending if connection.is_open}

    def _accept(self, _events: Any) -> None:
        if self._listener is not None:  # closed by another callback of this iteration
            self._accept_some()

    def _accept_some(self) -> bool:
        """Accept connections; return whether more may be pending."""
        free_count = min(MAX_ACCEPTS_PER_ITERATION, self._max_connections * MAX_FREE_RATIO)
        if self._open_count + free_count > self._max_connections:
            self._forget_closed()
            self._evict_waiting(math.ceil(self._open_count + free_count - self._max_connections))
        refused_count = max(MIN_REFUSED_CONNECTIONS, self._max_connections * REFUSED_RATIO)
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._on_crowded(0, True)
                    self._pause_accepting()
                return False  # no connection is pending, or the caller closed it already
            if self._open_count < self._max_connections:
                self._connections.add(Connection(self, sock))
                continue
            self._on_refused(503)
            self._on_crowded(1, False)
            if self._open_count < self._max_connections + refused_count:
                Connection(self, sock).refuse(503)
            else:
                sock.close()
        return True

    def _evict_waiting(self, count: int) -> None:
        """End so many connections that have waited longest without a complete request."""
        latest = self.loop.now() - MIN_WAIT_FOR_EVICTION_SECONDS
        waiting = [
            connection
            for connection in self._connections
            if not connection.has_exchange and connection.phase_started_at < latest
        ]
        evicted = heapq.nsmallest(
            count, waiting, key=lambda connection: connection.phase_started_at
        )
        for connection in evicted:
            connection.evict()
        if evicted:
            self._on_crowded(len(evicted), False)

    def _pause_accepting(self) -> None:
        """Let new connections wait in the kernel until a descriptor may be free."""
        self.loop.modify(self._listener, 0, self._accept)
        self.loop.call_later(DESCRIPTOR_RETRY_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            self.loop.modify(self._listener, selectors.EVENT_READ, self._accept)

    def _close_timed_out(self) -> None:
        now = self.loop.now()
        self._max_connections = self._find_max_connections()
        self._forget_closed()
        for connection in list(self._connections):
            connection.close_if_timed_out(now)
