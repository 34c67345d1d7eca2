"""A stand-in for a model engine: HTTP, streams, announcements and orders around a batch."""

from __future__ import annotations

import collections
import json
import os
import random
import time
from concurrent import futures
from typing import Any

import attrs
import werkzeug

from flamingoramp.admission import responses
from flamingoramp.backends import sse, transfers
from flamingoramp.runtime import http_server
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import stream as streams
from standins import announcer, batch, serving, texts

HEARTBEAT_SECONDS = 0.4
RESUME_GRACE_SECONDS = 3.0
KEPT_SECONDS = 5.0
LOAD_LAG_SECONDS = 1.0
EVENT_LOSS_RATIO = 0.1
WEIGHTS_RETRY_SECONDS = 0.5
CRASH_MARK = "CRASH-ENGINE"
BUFFER_LIMIT_BYTES = 32 * 1024 * 1024


@attrs.frozen
class EngineOptions:
    """Options of a stand-in engine; times in seconds before scaling."""

    name: str
    service: str
    zone: str
    listen: str
    entries: tuple[str, ...]
    memory_tokens: int = 400_000
    slots: int = 64
    prefill_rate: float = 40_000.0
    decode_seconds: float = 0.02
    time_scale: float = 1.0
    models: tuple[str, ...] = ()
    honours_fencing: bool = True
    weight_store: str = ""
    seed: int = 0


@attrs.define
class _Output:
    """Text of one attempt, how far it is written, and the connection that reads it."""

    sequence: batch.Sequence
    text: str = ""
    emitted: int = 0
    stream: streams.Stream | None = None
    lost_at: float = 0.0
    done_at: float = 0.0
    sent_at: float = 0.0
    hold_until: float = float("inf")


class Engine:
    """One stand-in engine process.

    Parameters
    ----------
    options : EngineOptions
    """

    def __init__(self, options: EngineOptions):
        self._options = options
        scale = options.time_scale
        self._costs = batch.Costs(
            memory_tokens=options.memory_tokens,
            slots=options.slots,
            prefill_rate=options.prefill_rate / scale,
            decode_seconds=options.decode_seconds * scale,
            sequence_seconds=batch.Costs().sequence_seconds * scale,
        )
        self._loop = loops.Loop()
        self._batch = batch.Batch(self._costs)
        self._outputs: dict[tuple[str, int], _Output] = {}
        self._pass: batch.Pass | None = None
        self._incarnation = time.time_ns()
        self._leaving = False
        self._models = options.models
        self._role = "mixed"
        self._highest_fence = 0
        self._orders: list[dict[str, Any]] = []
        self._rng = random.Random(f"{options.seed}/{options.name}")
        self._loads: collections.deque[tuple[float, int, int]] = collections.deque()
        self._cache_sequence = 0
        self._late_events: dict[str, list[int]] = {"cached": [], "evicted": []}
        self._transfers = transfers.TransferClient(self._loop)
        self._http = http_server.HttpServer(
            options.listen,
            self._respond,
            max_body_bytes=64 * 1024 * 1024,
            on_error=lambda error: print(repr(error), flush=True),
        )
        self._announcer = announcer.Announcer(
            self._loop,
            entries=list(options.entries),
            describe=self._describe,
            rng=self._rng,
        )
        self._loop.call_every(0.1, self._tick)

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        serving.serve(self._loop, self._http, self._leave)

    # Announcements.

    def _describe(self) -> dict[str, Any]:
        now = self._loop.now()
        self._loads.append((now, self._batch.running + self._batch.waiting_count, self._memory()))
        while len(self._loads) > 1 and self._loads[1][0] <= now - LOAD_LAG_SECONDS:
            self._loads.popleft()
        _, running, memory = self._loads[0]
        described = {
            "server": self._options.name,
            "service": self._options.service,
            "incarnation": self._incarnation,
            "leaving": self._leaving,
            "url": self._http.url,
            "zone": self._options.zone,
            "memory_tokens": self._options.memory_tokens,
            "slots": self._options.slots,
            "prefill_rate": self._costs.prefill_rate,
            "decode_seconds": self._costs.decode_seconds,
            "models": list(self._models),
            "honours_fencing": self._options.honours_fencing,
            "running": running,
            "memory_used": memory,
            "highest_fence": self._highest_fence,
            "role": self._role,
        }
        described.update(self._cache_events())
        return described

    def _memory(self) -> int:
        return self._batch.memory_used

    def _cache_events(self) -> dict[str, Any]:
        """Return the events of the time before the last one; some get lost."""
        late = self._late_events
        self._late_events = {"cached": self._batch.cached, "evicted": self._batch.evicted}
        self._batch.cached, self._batch.evicted = [], []
        if late["cached"] or late["evicted"]:
            self._cache_sequence += 1
            if self._rng.random() < EVENT_LOSS_RATIO:
                late = {"cached": [], "evicted": []}
        return {"cache_sequence": self._cache_sequence, **late}

    def _leave(self) -> None:
        self._leaving = True
        self._announcer.announce()

    # Requests.

    def _respond(self, request: werkzeug.Request, sock: Any) -> werkzeug.Response | None:
        if request.method == "GET" and request.path == "/v1/state":
            return http_server.json_response(self._call(self._state))
        body = json.loads(request.get_data() or b"{}")
        match request.path:
            case "/v1/generate":
                return self._take(sock, lambda stream: self._generate(body, stream))
            case "/v1/segments":
                return self._take(sock, lambda stream: self._segment(body, stream))
            case "/v1/resume":
                return self._take(sock, lambda stream: self._resume(body, stream))
            case "/v1/cancel":
                return self._answer(lambda: self._cancel((body["request_id"], body["attempt"])))
            case "/v1/orders":
                return self._answer_order(body)
            case "/v1/leave":
                return self._answer(self._leave)
            case "/v1/silence":
                return self._answer(lambda: setattr(self._announcer, "silent", True))
        return http_server.json_response({"error": "no such path"}, status=404)

    def _call(self, function: Any) -> Any:
        future: futures.Future = futures.Future()
        self._loop.post(lambda: future.set_result(function()))
        return future.result(10)

    def _answer(self, function: Any) -> werkzeug.Response:
        self._call(function)
        return http_server.json_response({"accepted": True})

    def _state(self) -> dict[str, Any]:
        return {
            "name": self._options.name,
            "incarnation": self._incarnation,
            "memory_used": self._memory(),
            "running": self._batch.running,
            "waiting": self._batch.waiting_count,
            "models": list(self._models),
            "orders": self._orders,
            "highest_fence": self._highest_fence,
        }

    def _take(self, sock: Any, begin: Any) -> None:
        copy = http_server.duplicate_socket(sock)
        self._loop.post(lambda: begin(self._open(copy)))

    def _open(self, sock: Any) -> streams.Stream:
        def closed() -> None:
            for output in self._outputs.values():
                if output.stream is opened:
                    output.stream = None
                    output.lost_at = self._loop.now()

        opened = streams.Stream(
            self._loop,
            sock,
            on_data=lambda _data: None,
            on_closed=closed,
            buffer_limit=BUFFER_LIMIT_BYTES,
        )
        return opened

    def _reject(self, stream: streams.Stream, status: int) -> None:
        stream.write(responses.render_head(status, {}, 0))
        stream.finish()

    def _generate(self, body: dict[str, Any], stream: streams.Stream) -> None:
        prompt = body["prompt"]
        if CRASH_MARK in prompt:
            os._exit(1)
        text = texts.expected_answer(prompt, body["max_tokens"])
        continued = len(body["continuation"]) // 4
        sequence = batch.Sequence(
            request_id=body["request_id"],
            attempt=body["attempt"],
            priority=body["priority"],
            prefill_tokens=max(1, body["prompt_tokens"] + continued - body["held_elsewhere"]),
            stored_tokens=body["prompt_tokens"] + continued - body["held_elsewhere"],
            output_tokens=text.count(" ", body["offset"]),
            prefix_hashes=() if body["held_elsewhere"] else tuple(body["prefix_hashes"]),
        )
        self._begin(sequence, stream, text=text, offset=body["offset"])

    def _segment(self, body: dict[str, Any], stream: streams.Stream) -> None:
        sequence = batch.Sequence(
            request_id=body["request_id"],
            attempt=body["attempt"],
            priority=body["priority"],
            prefill_tokens=body["tokens"],
            stored_tokens=body["tokens"],
            kind=batch.SequenceKind.SEGMENT,
        )
        self._begin(sequence, stream)
        if sequence.key in self._outputs:
            hold = self._loop.now() + body["hold_seconds"]
            self._outputs[sequence.key].hold_until = hold

    def _begin(
        self, sequence: batch.Sequence, stream: streams.Stream, *, text: str = "", offset: int = 0
    ) -> None:
        if not self._batch.fits(sequence):
            self._reject(stream, 503)
            return
        if sequence.key in self._outputs:
            self._reject(stream, 409)
            return
        self._outputs[sequence.key] = _Output(
            sequence, text, offset, stream, sent_at=self._loop.now()
        )
        stream.write(responses.render_head(200, {"Content-Type": "text/event-stream"}))
        self._batch.add(sequence)
        self._start_pass()

    def _resume(self, body: dict[str, Any], stream: streams.Stream) -> None:
        output = self._outputs.get((body["request_id"], body["attempt"]))
        if output is None:
            self._reject(stream, 404)
            return
        if output.stream is not None:
            output.stream.close()
        output.stream = stream
        output.lost_at = 0.0
        output.sent_at = self._loop.now()
        stream.write(responses.render_head(200, {"Content-Type": "text/event-stream"}))
        missing = output.text[body["offset"] : output.emitted]
        if missing or output.done_at:
            self._send(output, body["offset"], missing, done=bool(output.done_at))

    def _cancel(self, key: tuple[str, int]) -> None:
        output = self._outputs.pop(key, None)
        self._batch.remove(key)
        if output is not None and output.stream is not None:
            output.stream.close()

    # Passes.

    def _start_pass(self) -> None:
        if self._pass is not None:
            return
        self._pass = self._batch.next_pass()
        if self._pass is not None:
            self._loop.call_later(self._pass.seconds, self._end_pass)

    def _end_pass(self) -> None:
        ended, self._pass = self._pass, None
        for emission in self._batch.finish_pass(ended):
            output = self._outputs.get(emission.sequence.key)
            if output is None:
                continue
            if emission.sequence.kind is batch.SequenceKind.SEGMENT:
                self._send_ready(output)
                continue
            start = output.emitted
            output.emitted = texts.skip_words(output.text, start, emission.tokens)
            done = output.emitted >= len(output.text)
            if done:
                output.done_at = self._loop.now()
                self._batch.remove(emission.sequence.key)
            self._send(output, start, output.text[start : output.emitted], done=done)
        self._start_pass()

    def _send(self, output: _Output, offset: int, text: str, *, done: bool) -> None:
        if output.stream is None:
            return
        event = {
            "request_id": output.sequence.request_id,
            "attempt": output.sequence.attempt,
            "offset": offset,
            "text": text,
            "done": done,
        }
        output.sent_at = self._loop.now()
        output.stream.write(sse.encode_event(event))
        if done:
            output.stream.finish()

    def _send_ready(self, output: _Output) -> None:
        if output.stream is None:
            return
        event = {
            "request_id": output.sequence.request_id,
            "attempt": output.sequence.attempt,
            "ready": True,
        }
        output.stream.write(sse.encode_event(event))
        output.stream.finish()
        output.stream = None

    def _tick(self) -> None:
        now = self._loop.now()
        for key, output in list(self._outputs.items()):
            kept = KEPT_SECONDS if output.done_at else RESUME_GRACE_SECONDS
            over = (output.done_at and now - output.done_at > kept) or (
                output.lost_at and now - output.lost_at > kept
            )
            if over or now > output.hold_until:
                self._cancel(key)
            elif output.stream is not None and now - output.sent_at > HEARTBEAT_SECONDS:
                output.sent_at = now
                output.stream.write(sse.HEARTBEAT_COMMENT)
        idle = not any(not output.done_at for output in self._outputs.values())
        if self._leaving and idle:
            self._loop.call_later(1.0, self._loop.stop)

    # Orders.

    def _answer_order(self, body: dict[str, Any]) -> werkzeug.Response:
        accepted = self._call(lambda: self._take_order(body))
        return http_server.json_response(
            {"accepted": accepted, "highest_fence": self._highest_fence},
            status=202 if accepted else 409,
        )

    def _take_order(self, body: dict[str, Any]) -> bool:
        wrong = body["incarnation"] != self._incarnation
        stale = self._options.honours_fencing and body["fence"] < self._highest_fence
        self._orders.append({**body, "accepted": not (wrong or stale), "time": time.time()})
        if wrong or stale:
            return False
        self._highest_fence = max(self._highest_fence, body["fence"])
        self._role = body.get("role", self._role)
        missing = [name for name in body["models"] if name not in self._models]
        self._fetch(missing, tuple(body["models"]))
        return True

    def _fetch(self, missing: list[str], models: tuple[str, ...]) -> None:
        """Fetch weights one by one, then serve the models."""
        if not missing or not self._options.weight_store:
            self._models = models
            self._announcer.announce()
            return

        def end(ending: transfers.TransferOutcome, status: int) -> None:
            if ending is transfers.TransferOutcome.COMPLETE and status == 200:
                self._fetch(missing[1:], models)
            else:
                self._loop.call_later(WEIGHTS_RETRY_SECONDS, lambda: self._fetch(missing, models))

        call = transfers.HttpRequest(
            url=f"{self._options.weight_store}/weights/{missing[0]}", method="GET"
        )
        self._transfers.start(call, on_data=lambda _data: None, on_end=end)
