"""Stand-in for a model engine: serves its HTTP interface and simulates its computing time."""

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
FINISHED_RETENTION_SECONDS = 5.0
LOAD_REPORT_LAG_SECONDS = 1.0
CACHE_EVENT_LOSS_RATIO = 0.1
WEIGHTS_RETRY_SECONDS = 0.5
CRASH_PROMPT_MARKER = "CRASH-ENGINE"
BUFFER_LIMIT_BYTES = 32 * 1024 * 1024


@attrs.frozen
class EngineOptions:
    """Options of a stand-in engine; its times, in seconds, are multiplied by ``time_scale``."""

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
    """Output of an attempt and the connection that receives it.

    ``emitted_length`` is the number of characters of ``text`` generated so far. Times are those of
    the loop; 0 in ``disconnected_at`` and ``finished_at`` means not yet.
    """

    sequence: batch.Sequence
    text: str = ""
    emitted_length: int = 0
    stream: streams.Stream | None = None
    disconnected_at: float = 0.0
    finished_at: float = 0.0
    last_sent_at: float = 0.0
    expires_at: float = float("inf")


class Engine:
    """Process that acts as one model engine.

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
        self._is_draining = False
        self._models = options.models
        self._role = "mixed"
        self._highest_fence = 0
        self._orders: list[dict[str, Any]] = []
        self._rng = random.Random(f"{options.seed}/{options.name}")
        self._load_history: collections.deque[tuple[float, int, int]] = collections.deque()
        self._cache_sequence = 0
        self._delayed_events: dict[str, list[int]] = {"cached": [], "evicted": []}
        self._http_client = transfers.TransferClient(self._loop)
        self._http = http_server.HttpServer(
            options.listen,
            self._respond,
            max_body_bytes=64 * 1024 * 1024,
            on_error=lambda error: print(repr(error), flush=True),
        )
        self._announcer = announcer.Announcer(
            self._loop,
            entries=list(options.entries),
            describe=self._build_announcement,
            rng=self._rng,
        )
        self._loop.call_every(0.1, self._expire_and_send_heartbeats)

    def run(self) -> None:
        """Serve until a requested shutdown is complete."""
        serving.serve(self._loop, self._http, self._start_draining)

    # Announcements.

    def _build_announcement(self) -> dict[str, Any]:
        now = self._loop.now()
        self._load_history.append(
            (now, self._batch.running_count + self._batch.waiting_count, self._memory_used())
        )
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now - LOAD_REPORT_LAG_SECONDS
        ):
            self._load_history.popleft()
        _, sequence_count, memory_used = self._load_history[0]
        announcement = {
            "server": self._options.name,
            "service": self._options.service,
            "incarnation": self._incarnation,
            "leaving": self._is_draining,
            "url": self._http.url,
            "zone": self._options.zone,
            "memory_tokens": self._options.memory_tokens,
            "slots": self._options.slots,
            "prefill_rate": self._costs.prefill_rate,
            "decode_seconds": self._costs.decode_seconds,
            "models": list(self._models),
            "honours_fencing": self._options.honours_fencing,
            "running": sequence_count,
            "memory_used": memory_used,
            "highest_fence": self._highest_fence,
            "role": self._role,
        }
        announcement.update(self._next_cache_events())
        return announcement

    def _memory_used(self) -> int:
        return self._batch.memory_used

    def _next_cache_events(self) -> dict[str, Any]:
        """Return the cache events that arose before the previous announcement.

        Some are dropped at random, with `CACHE_EVENT_LOSS_RATIO`, but still count in the sequence.
        """
        delayed = self._delayed_events
        self._delayed_events = {
            "cached": self._batch.cached_prefixes,
            "evicted": self._batch.evicted_prefixes,
        }
        self._batch.cached_prefixes, self._batch.evicted_prefixes = [], []
        if delayed["cached"] or delayed["evicted"]:
            self._cache_sequence += 1
            if self._rng.random() < CACHE_EVENT_LOSS_RATIO:
                delayed = {"cached": [], "evicted": []}
        return {"cache_sequence": self._cache_sequence, **delayed}

    def _start_draining(self) -> None:
        self._is_draining = True
        self._announcer.announce()

    # Requests.

    def _respond(self, request: werkzeug.Request, sock: Any) -> werkzeug.Response | None:
        if request.method == "GET" and request.path == "/v1/state":
            return http_server.json_response(self._run_in_loop(self._build_state))
        body = json.loads(request.get_data() or b"{}")
        match request.path:
            case "/v1/generate":
                return self._accept_stream(sock, lambda stream: self._start_generate(body, stream))
            case "/v1/segments":
                return self._accept_stream(sock, lambda stream: self._start_segment(body, stream))
            case "/v1/resume":
                return self._accept_stream(sock, lambda stream: self._resume_output(body, stream))
            case "/v1/cancel":
                return self._run_and_acknowledge(
                    lambda: self._cancel((body["request_id"], body["attempt"]))
                )
            case "/v1/orders":
                return self._respond_to_order(body)
            case "/v1/leave":
                return self._run_and_acknowledge(self._start_draining)
            case "/v1/silence":
                return self._run_and_acknowledge(
                    lambda: setattr(self._announcer, "is_paused", True)
                )
        return http_server.json_response({"error": "no such path"}, status=404)

    def _run_in_loop(self, function: Any) -> Any:
        future: futures.Future = futures.Future()
        self._loop.post(lambda: future.set_result(function()))
        return future.result(10)

    def _run_and_acknowledge(self, function: Any) -> werkzeug.Response:
        self._run_in_loop(function)
        return http_server.json_response({"accepted": True})

    def _build_state(self) -> dict[str, Any]:
        return {
            "name": self._options.name,
            "incarnation": self._incarnation,
            "memory_used": self._memory_used(),
            "running": self._batch.running_count,
            "waiting": self._batch.waiting_count,
            "models": list(self._models),
            "orders": self._orders,
            "highest_fence": self._highest_fence,
        }

    def _accept_stream(self, sock: Any, start_request: Any) -> None:
        socket_copy = http_server.duplicate_socket(sock)
        self._loop.post(lambda: start_request(self._open_stream(socket_copy)))

    def _open_stream(self, sock: Any) -> streams.Stream:
        def _handle_closed() -> None:
            for output in self._outputs.values():
                if output.stream is stream:
                    output.stream = None
                    output.disconnected_at = self._loop.now()

        stream = streams.Stream(
            self._loop,
            sock,
            on_data=lambda _data: None,
            on_closed=_handle_closed,
            buffer_limit_bytes=BUFFER_LIMIT_BYTES,
        )
        return stream

    def _reject(self, stream: streams.Stream, status: int) -> None:
        stream.write(responses.render_head(status, {}, 0))
        stream.close_after_flush()

    def _start_generate(self, body: dict[str, Any], stream: streams.Stream) -> None:
        prompt = body["prompt"]
        if CRASH_PROMPT_MARKER in prompt:
            os._exit(1)
        text = texts.expected_answer(prompt, body["max_tokens"])
        continuation_tokens = len(body["continuation"]) // 4
        sequence = batch.Sequence(
            request_id=body["request_id"],
            attempt=body["attempt"],
            priority=body["priority"],
            prefill_tokens=max(
                1, body["prompt_tokens"] + continuation_tokens - body["held_elsewhere"]
            ),
            stored_tokens=body["prompt_tokens"] + continuation_tokens - body["held_elsewhere"],
            output_tokens=text.count(" ", body["offset"]),
            prefix_hashes=() if body["held_elsewhere"] else tuple(body["prefix_hashes"]),
        )
        self._enqueue(sequence, stream, text=text, offset=body["offset"])

    def _start_segment(self, body: dict[str, Any], stream: streams.Stream) -> None:
        sequence = batch.Sequence(
            request_id=body["request_id"],
            attempt=body["attempt"],
            priority=body["priority"],
            prefill_tokens=body["tokens"],
            stored_tokens=body["tokens"],
            kind=batch.SequenceKind.SEGMENT,
        )
        self._enqueue(sequence, stream)
        if sequence.key in self._outputs:
            expires_at = self._loop.now() + body["hold_seconds"]
            self._outputs[sequence.key].expires_at = expires_at

    def _enqueue(
        self, sequence: batch.Sequence, stream: streams.Stream, *, text: str = "", offset: int = 0
    ) -> None:
        if not self._batch.fits(sequence):
            self._reject(stream, 503)
            return
        if sequence.key in self._outputs:
            self._reject(stream, 409)
            return
        self._outputs[sequence.key] = _Output(
            sequence, text, offset, stream, last_sent_at=self._loop.now()
        )
        stream.write(responses.render_head(200, {"Content-Type": "text/event-stream"}))
        self._batch.add(sequence)
        self._start_pass()

    def _resume_output(self, body: dict[str, Any], stream: streams.Stream) -> None:
        output = self._outputs.get((body["request_id"], body["attempt"]))
        if output is None:
            self._reject(stream, 404)
            return
        if output.stream is not None:
            output.stream.close()
        output.stream = stream
        output.disconnected_at = 0.0
        output.last_sent_at = self._loop.now()
        stream.write(responses.render_head(200, {"Content-Type": "text/event-stream"}))
        missing_text = output.text[body["offset"] : output.emitted_length]
        if missing_text or output.finished_at:
            self._send_text(output, body["offset"], missing_text, done=bool(output.finished_at))

    def _cancel(self, key: tuple[str, int]) -> None:
        output = self._outputs.pop(key, None)
        self._batch.remove(key)
        if output is not None and output.stream is not None:
            output.stream.close()

    # Forward passes.

    def _start_pass(self) -> None:
        if self._pass is not None:
            return
        self._pass = self._batch.next_pass()
        if self._pass is not None:
            self._loop.call_later(self._pass.seconds, self._finish_pass)

    def _finish_pass(self) -> None:
        finished_pass, self._pass = self._pass, None
        for emission in self._batch.finish_pass(finished_pass):
            output = self._outputs.get(emission.sequence.key)
            if output is None:
                continue
            if emission.sequence.kind is batch.SequenceKind.SEGMENT:
                self._send_ready(output)
                continue
            start = output.emitted_length
            output.emitted_length = texts.skip_tokens(output.text, start, emission.tokens)
            done = output.emitted_length >= len(output.text)
            if done:
                output.finished_at = self._loop.now()
                self._batch.remove(emission.sequence.key)
            self._send_text(output, start, output.text[start : output.emitted_length], done=done)
        self._start_pass()

    def _send_text(self, output: _Output, offset: int, text: str, *, done: bool) -> None:
        if output.stream is None:
            return
        event = {
            "request_id": output.sequence.request_id,
            "attempt": output.sequence.attempt,
            "offset": offset,
            "text": text,
            "done": done,
        }
        output.last_sent_at = self._loop.now()
        output.stream.write(sse.encode_event(event))
        if done:
            output.stream.close_after_flush()

    def _send_ready(self, output: _Output) -> None:
        if output.stream is None:
            return
        event = {
            "request_id": output.sequence.request_id,
            "attempt": output.sequence.attempt,
            "ready": True,
        }
        output.stream.write(sse.encode_event(event))
        output.stream.close_after_flush()
        output.stream = None

    def _expire_and_send_heartbeats(self) -> None:
        now = self._loop.now()
        for key, output in list(self._outputs.items()):
            retention_seconds = (
                FINISHED_RETENTION_SECONDS if output.finished_at else RESUME_GRACE_SECONDS
            )
            is_expired = (output.finished_at and now - output.finished_at > retention_seconds) or (
                output.disconnected_at and now - output.disconnected_at > retention_seconds
            )
            if is_expired or now > output.expires_at:
                self._cancel(key)
            elif output.stream is not None and now - output.last_sent_at > HEARTBEAT_SECONDS:
                output.last_sent_at = now
                output.stream.write(sse.HEARTBEAT_COMMENT)
        is_idle = not any(not output.finished_at for output in self._outputs.values())
        if self._is_draining and is_idle:
            self._loop.call_later(1.0, self._loop.stop)

    # Orders to load models.

    def _respond_to_order(self, body: dict[str, Any]) -> werkzeug.Response:
        accepted = self._run_in_loop(lambda: self._apply_order(body))
        return http_server.json_response(
            {"accepted": accepted, "highest_fence": self._highest_fence},
            status=202 if accepted else 409,
        )

    def _apply_order(self, body: dict[str, Any]) -> bool:
        is_for_other_incarnation = body["incarnation"] != self._incarnation
        is_stale = self._options.honours_fencing and body["fence"] < self._highest_fence
        self._orders.append(
            {**body, "accepted": not (is_for_other_incarnation or is_stale), "time": time.time()}
        )
        if is_for_other_incarnation or is_stale:
            return False
        self._highest_fence = max(self._highest_fence, body["fence"])
        self._role = body.get("role", self._role)
        missing_models = [name for name in body["models"] if name not in self._models]
        self._fetch_weights(missing_models, tuple(body["models"]))
        return True

    def _fetch_weights(self, missing_models: list[str], models: tuple[str, ...]) -> None:
        """Fetch the weights of missing models one after another, then serve and announce all."""
        if not missing_models or not self._options.weight_store:
            self._models = models
            self._announcer.announce()
            return

        def _handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            if outcome is transfers.TransferOutcome.COMPLETE and status == 200:
                self._fetch_weights(missing_models[1:], models)
            else:
                self._loop.call_later(
                    WEIGHTS_RETRY_SECONDS, lambda: self._fetch_weights(missing_models, models)
                )

        request = transfers.HttpRequest(
            url=f"{self._options.weight_store}/weights/{missing_models[0]}", method="GET"
        )
        self._http_client.start(request, on_data=lambda _data: None, on_end=_handle_end)
