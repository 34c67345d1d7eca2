"""A stand-in for a backend server of the platform, by its published protocol."""

from __future__ import annotations

import json
import threading
from typing import Any

import attrs

from flamingoramp.http import client, messages, server
from flamingoramp.runtime import loop as loops

ANNOUNCE_SECONDS = 0.2


@attrs.define
class Behaviour:
    """What a stand-in does with the requests that it gets.

    Parameters
    ----------
    events : int
        Events of a stream.
    event_seconds : float
        Time between them.
    break_after : int
        Event after which it closes the connection; -1 for never.
    refuse : bool
        Whether it refuses as full.
    status : int
        Status of a plain answer.
    silent : bool
        Whether it takes requests and says nothing.
    foreign : bool
        Whether its answers name another request.
    refuse_memory : bool
        Whether it refuses reservations.
    poison : bytes
        A request whose body contains it breaks off, as by a crash of the server; empty for none.
    """

    events: int = 5
    event_seconds: float = 0.0
    break_after: int = -1
    refuse: bool = False
    status: int = 200
    silent: bool = False
    foreign: bool = False
    refuse_memory: bool = False
    poison: bytes = b""


class Backend:
    """One server; its loop runs in a thread.

    Parameters
    ----------
    name, service : str
    controls : list of str
        Operators' addresses of control hosts, which it announces itself to in turn.
    """

    def __init__(
        self,
        name: str,
        service: str,
        controls: list[str],
        behaviour: Behaviour | None = None,
    ):
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.requests: list[messages.Request] = []
        self.tickets: dict[str, int] = {}
        self.reserved: list[str] = []
        self.gone = 0
        self._service = service
        self._controls = controls
        self._sequence = 0
        self._born = 1
        self._state = "ready"
        self._loop = loops.Loop()
        self._pool = client.Pool(self._loop)
        self._server = server.Server(self._loop, "127.0.0.1:0", self._handle)
        self.address = self._server.address
        self._loop.call_later(0.0, self._announce)
        self._loop.call_every(ANNOUNCE_SECONDS, self._announce)
        self._thread = threading.Thread(target=self._loop.run)
        self._thread.start()

    def drain(self) -> None:
        """Announce from now on that it leaves."""
        self._state = "draining"

    def close(self) -> None:
        """End at once."""
        self._loop.stop()
        self._thread.join(10)
        self._server.close()
        self._pool.close()
        self._loop.close()

    def _announce(self) -> None:
        self._sequence += 1
        body = {
            "service": self._service,
            "addr": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        request = messages.Request(
            b"PUT",
            f"/v1/instances/{self.name}".encode(),
            ((b"host", b"control"),),
            json.dumps(body).encode(),
        )
        target = self._controls[self._sequence % len(self._controls)]
        self._pool.send(target, request, client.Collector(lambda _head, _body: None))

    def _handle(self, exchange: server.Exchange) -> None:
        request = exchange.request
        if request.path == "/v1/order":
            self._order(exchange, json.loads(request.body))
            return
        self.requests.append(request)
        exchange.on_disconnect = self._note_gone
        if self.behaviour.silent:
            return
        if self.behaviour.poison and self.behaviour.poison in request.body:
            exchange.abort()
            # It starts again under its name, as another life.
            self._born += 1
            self._announce()
            return
        request_id = request.header(b"x-attempt-id") or b""
        echoed = b"another" if self.behaviour.foreign else request_id
        headers = ((b"x-attempt-id", echoed),)
        if self.behaviour.refuse:
            refusal = (*headers, (b"x-not-executed", b"1"))
            exchange.respond(messages.Response(503, refusal))
            return
        headers = (*headers, (b"x-response-stamp", f"stamp-{self.name}".encode()))
        if request.header(b"x-token-count") is None:
            body = b"answer to " + request_id + b":" + request.body
            exchange.respond(messages.Response(self.behaviour.status, headers, body))
            return
        kind = (b"content-type", b"text/event-stream")
        exchange.start(200, (*headers, kind))
        first = int(request.header(b"last-event-id") or b"0") + 1
        self._write(exchange, first)

    def _write(self, exchange: server.Exchange, number: int) -> None:
        if exchange.is_done:
            return
        if self.behaviour.break_after == number - 1:
            exchange.send(b"id: %d\ndata: ha" % number)
            exchange.abort()
            return
        if number > self.behaviour.events:
            exchange.finish()
            return
        exchange.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
        self._loop.call_later(
            self.behaviour.event_seconds, lambda: self._write(exchange, number + 1)
        )

    def _order(self, exchange: server.Exchange, body: dict[str, Any]) -> None:
        if body["op"] == "release":
            self.tickets.pop(body["id"], None)
        elif self.behaviour.refuse_memory:
            exchange.respond(messages.json_response({}, status=409))
            return
        else:
            self.reserved.append(body["id"])
            self.tickets[body["id"]] = body["tokens"]
        exchange.respond(messages.json_response({"idle": 0}))

    def _note_gone(self) -> None:
        self.gone += 1
