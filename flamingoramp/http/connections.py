"""Connection of one caller: parses requests, and sends the responses to them."""

from __future__ import annotations

import random
import socket
import sys
from typing import TYPE_CHECKING

import h11

from flamingoramp.http import exchanges, messages
from flamingoramp.runtime import byte_account, stream

if TYPE_CHECKING:
    from flamingoramp.http import server as servers

# A caller that reads so slowly that more response data than this is queued is disconnected.
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
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
# A stopping server waits this long for the first request of a new connection.
FIRST_REQUEST_SECONDS = 0.5
# A stopping server refuses a request of which no bytes arrived for this long.
CLOSING_SILENCE_SECONDS = 2.0
# A stopping server goes on reading a connection for this long after it told its caller the end.
LINGER_SECONDS = 0.5


class Connection:
    """Connection of one caller, which carries one exchange at a time."""

    def __init__(self, server: servers.Server, sock: socket.socket):
        self._server = server
        self._phase_started_at = self._received_at = server.loop.now()
        self._parser = _new_parser()
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
        self._answer_held_since = 0.0
        self._event_count = 0
        self._waits_for_turn = False
        self._bytes_since_dispatch = 0
        self._is_first_request = True
        self._exchange: exchanges.Exchange | None = None
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
        if self._may_give_up_held_answer:
            return byte_account.Reclaimable(self._held_answer_bytes, self._answer_held_since)
        return byte_account.Reclaimable(buffered_bytes, self._stream.buffered_since)

    def give_up(self) -> None:
        """Refuse an incomplete request, discard later ones, or give up the answer.

        The answer may be held back or, if its caller doesn't take it, be cut off.
        """
        if self._exchange is None and self.is_reading and not self._is_ending:
            self._refuse_request(503)
        elif self._unparsed:
            self._discard_later_requests()
        elif self._may_give_up_held_answer:
            self._exchange.on_shortage()
        else:
            self._report_undelivered("memory")
            self._stream.reset()
            self._end_exchange()
        self._update_charge()

    def hold_answer(self, size_bytes: int) -> None:
        """Account for bytes of the answer that are held back, or for fewer if negative."""
        if not self._held_answer_bytes:
            self._answer_held_since = self._server.loop.now()
        self._held_answer_bytes += size_bytes
        self._update_charge()

    @property
    def _may_give_up_held_answer(self) -> bool:
        exchange = self._exchange
        return (
            exchange is not None
            and exchange.on_shortage is not None
            and self._held_answer_bytes > self._stream.buffered_bytes
        )

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
            in_use_bytes = self._head_bytes + self._request_bytes
        elif not self._is_ending:
            received_bytes = self._received_bytes
        account.charge(
            self,
            byte_account.CONNECTION_BYTES
            + received_bytes
            + in_use_bytes
            + self._held_answer_bytes
            + self._stream.buffered_bytes,
            in_use_bytes=in_use_bytes,
        )

    def _handle_sent(self) -> None:
        self._update_charge()
        exchange = self._exchange
        if (
            exchange is not None
            and exchange.on_drained is not None
            and self._stream.buffered_bytes <= exchanges.DRAINED_BYTES
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
                exchanges.UndeliveredAnswer(self._last_request, reason, self._stream.buffered_bytes)
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

    def _finish_connection(self) -> None:
        self._is_ending = True
        self._forget_request()
        self._request_head = None
        self._unparsed = bytearray()
        if self._bytes_since_dispatch:
            self._bytes_since_dispatch = 0
            self._parser = _new_parser()  # the other one has kept what it couldn't parse
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
                if event is h11.NEED_DATA and not self._read_on():
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

    def _read_on(self) -> bool:
        """Feed the parser, or refuse what it can't parse; return whether it has new bytes."""
        if self._incomplete_bytes > self._server.limits.header_bytes:
            self._refuse_too_large(431)
            return False
        return self._feed_parser()

    @property
    def _incomplete_bytes(self) -> int:
        """Bytes that the parser holds of a head, or between the data of a chunked body."""
        if self._request_head is None:
            return self._bytes_since_dispatch - len(self._unparsed)
        return len(self._parser.trailing_data[0]) if self._unfed_body_bytes is None else 0

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
            self._refuse_too_large(413)
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
            self._refuse_too_large(431)
            return False
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # A body with both framings allows request smuggling.
            self._refuse_request(400)
            return False
        length = messages.find_header(tuple(headers), b"content-length")
        body_bytes = int(length) if length is not None else 0
        if body_bytes > self._server.limits.body_bytes:
            self._refuse_too_large(413)
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
        self._last_request = exchanges.without_body(request)
        now = self._server.loop.now()
        self._exchange = exchanges.Exchange(self, request, now, now - self._phase_started_at)
        self._server.handle(self._exchange)

    def _refuse_request(self, status: int) -> None:
        """Respond to an invalid request with a status, and close the connection."""
        self._server.report_refusal(status)
        self._send_refusal(status)
        self._finish_connection()

    def _refuse_too_large(self, status: int) -> None:
        """Refuse a request that exceeds a limit of size."""
        self._refuse_request(503 if self._server.limits.are_provisional else status)

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


def _new_parser() -> h11.Connection:
    """Return a parser without a limit of its own: the limits may change while it is in use."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)


def _retry_after() -> bytes:
    """Return the value of Retry-After, spread so that the refused don't come back at once."""
    return b"%.3f" % (RETRY_AFTER_SECONDS * (1 + random.random()))
