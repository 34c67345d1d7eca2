"""Fake backend server that implements the platform's published protocol."""

from __future__ import annotations

import itertools
import json
import threading
from typing import Any

import attrs

from flamingoramp.http import client, exchanges, messages, server
from flamingoramp.runtime import loop as loops

ANNOUNCE_INTERVAL_SECONDS = 0.2
# Time that a server is down after a crash.
RESTART_SECONDS = 1.0
# Bytes of an endless answer that wait for the caller to read.
MAX_ENDLESS_BUFFER_BYTES = 512 * 1024
# Those of callers are declared; a server takes what an entry passes on.
LIMITS = exchanges.Limits(header_bytes=1024 * 1024)


@attrs.frozen
class EndlessAnswer:
    """Bytes without end.

    ``begin`` comes once, with ``ID`` for the id of the request and ``STAMP`` for a signature, and
    then ``piece`` again and again, or ``piece_count`` times, after which the connection stays open.
    """

    begin: bytes
    piece: bytes
    piece_count: int | None = None


@attrs.define
class Behaviour:
    """How a fake server responds to requests.

    Parameters
    ----------
    event_count : int
        Number of events in a stream.
    event_interval_seconds : float
        Time between events.
    disconnect_after_event : int
        Number of the event after which it closes the connection; -1 for never.
    refuses : bool
        Whether it refuses requests as a full server does, without running them.
    status : int
        Status of a plain answer.
    never_answers : bool
        Whether it accepts requests but never answers.
    echoes_wrong_id : bool
        Whether its answers carry the id of another request.
    refuses_memory : bool
        Whether it refuses memory reservations.
    crash_marker : bytes
        A request with this in its body aborts as if the server crashed; empty for none.
    crash_part : bytes
        The server ends when it begins to answer a prompt with this part, unless it is the last
        one, and starts again after `RESTART_SECONDS`; empty for none.
    headers : tuple of (bytes, bytes)
        Further headers of each answer, also of refusals.
    endless : EndlessAnswer or None
        Bytes that it sends in place of an answer until the caller closes.
    cold_seconds : float
        Time for which it announces to be cold after each start.
    answer_seconds : float
        Time that a plain answer takes.
    """

    event_count: int = 5
    event_interval_seconds: float = 0.0
    disconnect_after_event: int = -1
    refuses: bool = False
    status: int = 200
    never_answers: bool = False
    echoes_wrong_id: bool = False
    refuses_memory: bool = False
    crash_marker: bytes = b""
    crash_part: bytes = b""
    headers: messages.Headers = ()
    endless: EndlessAnswer | None = None
    cold_seconds: float = 0.0
    answer_seconds: float = 0.0


class FakeServer:
    """Fake backend server whose event loop runs in a thread.

    Parameters
    ----------
    name, service : str
    control_addresses : list of str
        Addresses at which control hosts serve operators; announcements go to them in turn.
    behaviour : Behaviour or None
        None for the default behaviour.
    zone : str
        Availability zone that it announces.
    listen : str
        ``ip:port`` at which it serves; port 0 selects a free port.
    """

    def __init__(
        self,
        name: str,
        service: str,
        control_addresses: list[str],
        behaviour: Behaviour | None = None,
        *,
        zone: str = "a",
        listen: str = "127.0.0.1:0",
    ):
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.requests: list[messages.Request] = []
        self.arrival_times: list[float] = []
        self.refusals: list[bool] = []
        self.header_times: list[float] = []
        self.reserved_tokens: dict[str, int] = {}
        self.reserved_tickets: list[str] = []
        self.disconnect_count = 0
        self.endless_byte_count = 0
        self.crash_times: list[float] = []
        self.zone = zone
        self._service = service
        self._control_addresses = control_addresses
        self._sequence = 0
        self._incarnation = 1
        self._state = "ready"
        self._has_crashed = False
        self._is_silent = False
        self._loop = loops.Loop()
        self._pool = client.Pool(self._loop)
        self._server = self._open_server(listen)
        self.address = self._server.address
        self.born_at = self._loop.now()
        self._loop.call_later(0.0, self._announce)
        self._loop.call_every(ANNOUNCE_INTERVAL_SECONDS, self._announce)
        self._thread = threading.Thread(target=self._loop.run)
        self._thread.start()

    def _open_server(self, listen: str) -> server.Server:
        return server.Server(self._loop, listen, self._handle, limits=lambda: LIMITS)

    @property
    def cold_until(self) -> float:
        """Time until which the server is cold."""
        return self.born_at + self.behaviour.cold_seconds

    def drain(self) -> None:
        """Announce state ``draining`` from now on."""
        self._state = "draining"

    def stop_announcing(self) -> None:
        """Send no more announcements; requests are still served."""
        self._is_silent = True

    def start_anew(self) -> None:
        """Announce a new start as an available server, and go on announcing."""
        self._incarnation += 1
        self._state = "ready"
        self._is_silent = False

    def restart(self) -> None:
        """Announce a new start under the same name."""
        self._incarnation += 1
        self.born_at = self._loop.now()
        self._announce()

    def _crash(self) -> None:
        """End with all connections, and start again after `RESTART_SECONDS`."""
        self.crash_times.append(self._loop.now())
        self._has_crashed = True
        self._server.close()
        self._loop.call_later(RESTART_SECONDS, self._start_again)

    def _start_again(self) -> None:
        self._server = self._open_server(self.address)
        self._has_crashed = False
        self.restart()

    def close(self) -> None:
        """Stop without draining."""
        self._loop.stop()
        self._thread.join(10)
        self._server.close()
        self._pool.close()
        self._loop.close()

    def make_announcement(self) -> bytes:
        """Return the body of the next announcement."""
        self._sequence += 1
        body = {
            "service": self._service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_left_ms": int(1000 * max(0.0, self.cold_until - self._loop.now())),
            "seq": self._sequence,
            "born": self._incarnation,
        }
        return json.dumps(body).encode()

    def _announce(self) -> None:
        if self._has_crashed or self._is_silent:
            return
        request = messages.Request(
            b"PUT",
            f"/v1/instances/{self.name}".encode(),
            ((b"host", b"control"),),
            self.make_announcement(),
        )
        control_address = self._control_addresses[self._sequence % len(self._control_addresses)]
        self._pool.send(control_address, request, client.Collector(lambda _head, _body: None))

    def _handle(self, exchange: exchanges.Exchange) -> None:
        request = exchange.request
        if request.path == "/v1/order":
            self._handle_memory_command(exchange, json.loads(request.body))
            return
        self.requests.append(request)
        self.arrival_times.append(self._loop.now())
        self.refusals.append(self.behaviour.refuses)
        if self.behaviour.headers:
            self.header_times.append(self._loop.now())
        self.answer(exchange)

    def answer(self, exchange: exchanges.Exchange) -> None:
        """Answer a request of a caller as the behaviour says."""
        request = exchange.request
        exchange.on_disconnect = self._count_disconnect
        if self.behaviour.never_answers:
            return
        if self.behaviour.endless is not None:
            self._send_endless(exchange, self.behaviour.endless)
            return
        if self.behaviour.crash_marker and self.behaviour.crash_marker in request.body:
            exchange.abort()
            self.restart()
            return
        request_id = request.header(b"x-attempt-id") or b""
        echoed_id = b"another" if self.behaviour.echoes_wrong_id else request_id
        headers = ((b"x-attempt-id", echoed_id), *self.behaviour.headers)
        if self.behaviour.refuses:
            refusal_headers = (*headers, (b"x-not-executed", b"1"))
            exchange.respond(messages.Response(503, refusal_headers))
            return
        headers = (*headers, (b"x-response-stamp", f"stamp-{self.name}".encode()))
        if request.header(b"x-token-count") is None:
            body = b"answer to " + request_id + b":" + request.body
            answer = messages.Response(self.behaviour.status, headers, body)
            if self.behaviour.answer_seconds:
                seconds = self.behaviour.answer_seconds
                self._loop.call_later(seconds, lambda: exchange.respond(answer))
            else:
                exchange.respond(answer)
            return
        content_type = (b"content-type", b"text/event-stream")
        exchange.start(200, (*headers, content_type))
        parts = (request.header(b"x-prompt-prefix") or b"").split(b",")[:-1]
        part_ids = [part.partition(b":")[0] for part in parts]
        if self.behaviour.crash_part and self.behaviour.crash_part in part_ids:
            self._crash()
            return
        first_number = int(request.header(b"last-event-id") or b"0") + 1
        self._write_event(exchange, first_number)

    def _send_endless(self, exchange: exchanges.Exchange, endless: EndlessAnswer) -> None:
        stream = exchange._connection._stream
        request_id = exchange.request.header(b"x-attempt-id") or b""
        left = (
            itertools.count() if endless.piece_count is None else iter(range(endless.piece_count))
        )
        stream.write(endless.begin.replace(b"ID", request_id).replace(b"STAMP", b"stamp"))

        def _send_more() -> None:
            if not stream.is_open:
                return
            while stream.is_open and stream.buffered_bytes < MAX_ENDLESS_BUFFER_BYTES:
                if next(left, None) is None:
                    return
                stream.write(endless.piece)
                self.endless_byte_count += len(endless.piece)
            self._loop.call_later(0.001, _send_more)

        _send_more()

    def _write_event(self, exchange: exchanges.Exchange, number: int) -> None:
        if exchange.is_done:
            return
        if self.behaviour.disconnect_after_event == number - 1:
            exchange.send(b"id: %d\ndata: ha" % number)
            exchange.abort()
            return
        if number > self.behaviour.event_count:
            exchange.finish()
            return
        exchange.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
        self._loop.call_later(
            self.behaviour.event_interval_seconds, lambda: self._write_event(exchange, number + 1)
        )

    def _handle_memory_command(self, exchange: exchanges.Exchange, body: dict[str, Any]) -> None:
        if body["op"] == "release":
            self.reserved_tokens.pop(body["id"], None)
        elif self.behaviour.refuses_memory:
            exchange.respond(messages.json_response({}, status=409))
            return
        else:
            self.reserved_tickets.append(body["id"])
            self.reserved_tokens[body["id"]] = body["tokens"]
        exchange.respond(messages.json_response({"idle": 0}))

    def _count_disconnect(self) -> None:
        self.disconnect_count += 1
