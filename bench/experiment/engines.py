"""Simulated model engines in virtual time, and the network delays between entries and engines."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from bench.experiment import typed_dialect, workloads
from flamingoramp import dialect
from flamingoramp.http import client
from flamingoramp.intent import traffic
from flamingoramp.runtime import virtual_time
from standins import batch

# Time that an entry takes to open a connection and send a request, without the network delay.
CONNECT_SECONDS = 0.0015
# One-way network delay within an availability zone.
IN_ZONE_DELAY_SECONDS = 0.0001
# Time until an engine aborts a request that depends on a crashed helper engine.
HELPER_TIMEOUT_SECONDS = 1.5
NOT_RUN_HEAD = client.Head(503, ((b"verdict", b"not_run"),))
STREAM_HEAD = client.Head(200, ((b"verdict", b"stream"),))
COMMAND_DONE_HEAD = client.Head(200, ())
MEMORY_FULL_HEAD = client.Head(409, ())


@attrs.define
class _ActiveRequest:
    """A request at the engine that decodes its answer; helpers prefill parts of its prompt."""

    receiver: client.ResponseReceiver
    sequence: batch.Sequence
    delay_seconds: float
    next_event_id: int
    event_count: int
    helpers: list[Engine]
    has_started: bool = False


@attrs.define
class Usage:
    """Seconds that an engine spent on each type of batch pass; the names are those in the results.

    Parameters
    ----------
    idle : float
        Time without a pass.
    reading : float
        Passes that only prefill prompts.
    writing : float
        Passes that only decode answers.
    mixed : float
        Passes that do both.
    """

    idle: float = 0.0
    reading: float = 0.0
    writing: float = 0.0
    mixed: float = 0.0


class Call:
    """Handle to cancel a request; a stand-in for `flamingoramp.http.client.Call`."""

    def __init__(self, cancel: Callable[[], None]):
        self._cancel = cancel

    def cancel(self) -> None:
        """Abandon the request; the engine is notified after the network delay."""
        self._cancel()

    def discard_rest(self) -> None:
        """Do nothing, since no answer goes on after its end."""


class Engine:
    """A simulated engine, which batches requests and prefills parts of prompts for other engines.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    fleet : EngineFleet
    name : str
    zone : str
        Availability zone.
    """

    def __init__(self, loop: virtual_time.VirtualLoop, fleet: EngineFleet, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.address = f"{name}:1"
        self.incarnation = 1
        self.is_up = True
        self.is_leaving = False
        self.slowdown_factor = 1.0
        self.usage = Usage()
        self._loop = loop
        self._fleet = fleet
        self._batch = batch.Batch(fleet.costs)
        self._pass: batch.Pass | None = None
        self._active_requests: dict[tuple[str, int], _ActiveRequest] = {}
        self._engines_helped: dict[tuple[str, int], Engine] = {}
        self._attempt_count = 0
        self._last_pass_ended_at = 0.0

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot or for memory."""
        return self._batch.waiting_count

    @property
    def used_memory_tokens(self) -> int:
        """Memory that running requests and reservations hold, in tokens."""
        return self._batch.memory_used

    def crash(self, downtime_seconds: float) -> None:
        """Fail all requests, and restart without requests or reservations after the downtime."""
        self.is_up = False
        for request in list(self._active_requests.values()):
            self._deliver(request, lambda failed=request: failed.receiver.handle_failure(
                client.Failure.RESET, may_have_run=True))  # fmt: skip
            self._remove(request)
        self._engines_helped.clear()
        self._batch = batch.Batch(self._fleet.costs)
        self._pass = None
        self._loop.call_later(downtime_seconds, self._restart)

    def _restart(self) -> None:
        self.incarnation += 1
        self.is_up = True

    def run_memory_command(self, command: typed_dialect.Reserve | typed_dialect.Release) -> bool:
        """Run a command; return False if too little memory is free."""
        match command:
            case typed_dialect.Reserve():
                return self._batch.reserve(command.ticket, command.tokens)
            case typed_dialect.Release():
                self._batch.release(command.ticket)
                self._start_pass()
                return True

    def can_help(self) -> bool:
        """Return whether this engine is up and can prefill one more part for another engine."""
        return self.is_up and self._batch.prompt_part_count < self._fleet.costs.slots

    def start_request(
        self,
        forwarded: dialect.ForwardedRequest,
        receiver: client.ResponseReceiver,
        delay_seconds: float,
    ) -> _ActiveRequest | None:
        """Queue a request, or resume its stream; return None if the request is refused."""
        helpers = [self._fleet.find_engine(part.address) for part in forwarded.helpers]
        prompt_tokens = forwarded.caller.prompt_tokens
        helper_tokens = sum(self._fleet.reserved_tokens(part.ticket) for part in forwarded.helpers)
        part_count = 1 + len(helpers)
        last_event_id = int(forwarded.last_event_id or 0)
        event_count = self._fleet.event_count(forwarded.caller.request_id)
        # The first event has one token, and each later one the tokens of a decode pass.
        written_tokens = (
            0 if last_event_id == 0 else 1 + (last_event_id - 1) * self._fleet.costs.steps_per_pass
        )
        answer_tokens = 1 + (event_count - 1) * self._fleet.costs.steps_per_pass
        context_tokens = prompt_tokens + written_tokens
        self._attempt_count += 1
        sequence = batch.Sequence(
            forwarded.caller.request_id,
            self._attempt_count,
            forwarded.priority or 0,
            prefill_tokens=-(-context_tokens // part_count),
            stored_tokens=max(0, context_tokens - helper_tokens),
            output_tokens=answer_tokens - written_tokens,
            remote_parts_left=len(helpers),
            pairs_per_token=context_tokens / 2 if helpers else None,
            context_tokens=-(-context_tokens // part_count) if helper_tokens else 0,
        )
        if not self._batch.accepts(sequence):
            self._send_head(receiver, delay_seconds, NOT_RUN_HEAD)
            return None
        for helper in helpers:
            if not helper.can_help():
                failed_address = (b"at-fault", helper.address.encode())
                head = client.Head(503, (*NOT_RUN_HEAD.headers, failed_address))
                self._loop.call_later(
                    0.0 if helper.is_up else HELPER_TIMEOUT_SECONDS,
                    lambda head=head: self._send_head(receiver, delay_seconds, head),
                )
                return None
        request = _ActiveRequest(
            receiver, sequence, delay_seconds, last_event_id + 1, event_count, helpers
        )
        self._active_requests[sequence.key] = request
        self._batch.add(sequence)
        for helper in helpers:
            self._fleet.call_engine(
                self, helper, lambda target=helper: target.start_part(self, sequence)
            )
        self._start_pass()
        return request

    def start_part(self, helped: Engine, sequence: batch.Sequence) -> None:
        """Queue the prefill of a part of a prompt for the engine ``helped``."""
        part = batch.Sequence(
            sequence.request_id,
            sequence.attempt,
            sequence.priority,
            prefill_tokens=sequence.prefill_tokens,
            stored_tokens=0,
            kind=batch.SequenceKind.PROMPT_PART,
            pairs_per_token=sequence.pairs_per_token,
        )
        self._batch.add(part)
        self._engines_helped[part.key] = helped
        self._start_pass()

    def handle_part_done(self, key: tuple[str, int]) -> None:
        """Count a part of a prompt as prefilled by a helper."""
        self._batch.finish_remote_part(key)
        self._start_pass()

    def cancel(self, request: _ActiveRequest) -> None:
        """Remove a request, unless it has already ended."""
        if self._active_requests.get(request.sequence.key) is request:
            self._remove(request)
            self._start_pass()

    def handle_engine_crash(self, crashed: Engine) -> None:
        """Abort, after a timeout, the requests of which ``crashed`` holds or prefills a part."""
        for request in list(self._active_requests.values()):
            helpers_hold_context = request.sequence.context_tokens > 0
            if crashed in request.helpers and (
                helpers_hold_context or request.sequence.remote_parts_left
            ):
                self._loop.call_later(
                    HELPER_TIMEOUT_SECONDS,
                    lambda affected=request: self._abort_request(affected, crashed),
                )

    def _abort_request(self, request: _ActiveRequest, crashed: Engine) -> None:
        if self._active_requests.get(request.sequence.key) is not request:
            return
        self._remove(request)
        if request.has_started:
            self._deliver(request, lambda: request.receiver.handle_failure(
                client.Failure.CLOSED, may_have_run=True))  # fmt: skip
        else:
            head = client.Head(
                503, (*NOT_RUN_HEAD.headers, (b"at-fault", crashed.address.encode()))
            )
            self._send_head(request.receiver, request.delay_seconds, head)
        self._start_pass()

    def _remove(self, request: _ActiveRequest) -> None:
        key = request.sequence.key
        self._active_requests.pop(key, None)
        self._batch.remove(key)
        for helper in request.helpers:
            helper.cancel_part(key)

    def cancel_part(self, key: tuple[str, int]) -> None:
        """Stop the prefill of a part, if it is not done yet."""
        if self._engines_helped.pop(key, None) is not None:
            self._batch.remove(key)

    def _start_pass(self) -> None:
        if self._pass is not None or not self.is_up:
            return
        self._pass = self._batch.next_pass()
        if self._pass is None:
            return
        now = self._loop.now()
        seconds = self._pass.seconds * self.slowdown_factor
        self.usage.idle += now - self._last_pass_ended_at
        self._last_pass_ended_at = now + seconds
        match bool(self._pass.prefill_chunks), bool(self._pass.decoding):
            case True, True:
                self.usage.mixed += seconds
            case True, False:
                self.usage.reading += seconds
            case _:
                self.usage.writing += seconds
        self._loop.call_later(seconds, lambda started=self._pass: self._end_pass(started))

    def _end_pass(self, ended_pass: batch.Pass) -> None:
        if self._pass is not ended_pass:
            return  # the engine has crashed since the pass started
        self._pass = None
        for emission in self._batch.finish_pass(ended_pass):
            key = emission.sequence.key
            if emission.sequence.kind is batch.SequenceKind.PROMPT_PART:
                self._batch.remove(key)
                helped = self._engines_helped.pop(key, None)
                if helped is not None:
                    self._fleet.call_engine(
                        self, helped, lambda target=helped, key=key: target.handle_part_done(key)
                    )
                continue
            request = self._active_requests[key]
            self._send_event(request)
        self._start_pass()

    def _send_event(self, request: _ActiveRequest) -> None:
        receiver = request.receiver
        if not request.has_started:
            request.has_started = True
            self._deliver(request, lambda: receiver.handle_head(STREAM_HEAD))
        event_id = request.next_event_id
        request.next_event_id += 1
        self._deliver(request, lambda: receiver.handle_data(b"id: %d\ndata: x\n\n" % event_id))
        if event_id >= request.event_count:
            self._remove(request)
            self._deliver(request, receiver.handle_complete)

    def _deliver(self, request: _ActiveRequest, action: Callable[[], None]) -> None:
        self._loop.call_later(request.delay_seconds, action)

    def _send_head(
        self, receiver: client.ResponseReceiver, delay_seconds: float, head: client.Head
    ) -> None:
        def _deliver_answer() -> None:
            receiver.handle_head(head)
            receiver.handle_complete()

        self._loop.call_later(delay_seconds, _deliver_answer)


class EngineFleet:
    """All engines of a deployment, the delays between them, and sizes of answers and reservations.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    deployment : workloads.Deployment
    """

    def __init__(self, loop: virtual_time.VirtualLoop, deployment: workloads.Deployment):
        self._loop = loop
        self._deployment = deployment
        self.costs = to_batch_costs(deployment.cost_model, deployment.max_queued_requests)
        self._event_counts: dict[str, int] = {}
        self._reserved_tokens: dict[str, int] = {}
        self.engines = [
            Engine(loop, self, f"e-{zone}-{number}", zone)
            for zone, count in deployment.engines_by_zone.items()
            for number in range(count)
        ]
        self._by_address = {engine.address: engine for engine in self.engines}

    def find_engine(self, address: str) -> Engine:
        """Return the engine at an address.

        Raises
        ------
        KeyError
            No engine has this address.
        """
        return self._by_address[address]

    def event_count(self, request_id: str) -> int:
        """Return the number of events in the answer to a request."""
        return self._event_counts[request_id]

    def set_event_count(self, request_id: str, event_count: int) -> None:
        """Set the number of events that the answer to a request will have."""
        self._event_counts[request_id] = event_count

    def reserved_tokens(self, ticket: str) -> int:
        """Return the size of a reservation; 0 if there is none with this ticket."""
        return self._reserved_tokens.get(ticket, 0)

    def record_memory_command(self, command: typed_dialect.Reserve | typed_dialect.Release) -> None:
        """Update the size of the reservation that an engine has made or released."""
        match command:
            case typed_dialect.Reserve():
                self._reserved_tokens[command.ticket] = command.tokens
            case typed_dialect.Release():
                self._reserved_tokens.pop(command.ticket, None)

    def delay_seconds(self, source_zone: str, target_zone: str) -> float:
        """Return the one-way network delay between two availability zones."""
        return (
            IN_ZONE_DELAY_SECONDS
            if source_zone == target_zone
            else self._deployment.zone_delay_seconds
        )

    def call_engine(self, source: Engine, target: Engine, action: Callable[[], None]) -> None:
        """Run an action after the delay between two engines, if the target is up then."""

        def _run_if_up() -> None:
            if target.is_up:
                action()

        self._loop.call_later(self.delay_seconds(source.zone, target.zone), _run_if_up)

    def crash(self, engines: list[Engine], downtime_seconds: float) -> None:
        """Crash engines, which also fails the requests that they help with."""
        for engine in engines:
            engine.crash(downtime_seconds)
        for engine in self.engines:
            for crashed in engines:
                engine.handle_engine_crash(crashed)

    def sample_engines(self, ratio: float, rng: random.Random) -> list[Engine]:
        """Return a random sample of the fraction ``ratio`` of all engines, at least one."""
        return rng.sample(self.engines, self._deployment.count_engines(ratio))


class Pool:
    """Connections from an entry to engines; a stand-in for `flamingoramp.http.client.Pool`."""

    def __init__(self, loop: virtual_time.VirtualLoop, fleet: EngineFleet, zone: str):
        self._loop = loop
        self._fleet = fleet
        self._zone = zone

    def check_listening(self, address: str, on_result: Callable[[bool | None], None]) -> None:
        """Report whether the engine at an address is up, after a round trip."""
        engine = self._fleet.find_engine(address)
        delay_seconds = self._fleet.delay_seconds(self._zone, engine.zone)
        self._loop.call_later(2 * delay_seconds, lambda: on_result(engine.is_up))

    def send(
        self,
        address: str,
        request: dialect.ForwardedRequest | typed_dialect.Reserve | typed_dialect.Release,
        receiver: client.ResponseReceiver,
        *,
        new_connection: bool = False,
        max_body_bytes: int | None = None,
    ) -> Call:
        """Send a request or a memory command to the engine at an address."""
        engine = self._fleet.find_engine(address)
        delay_seconds = self._fleet.delay_seconds(self._zone, engine.zone)
        started_requests: list[_ActiveRequest] = []
        is_cancelled = False

        def _arrive() -> None:
            if is_cancelled:
                return
            if not engine.is_up:
                self._loop.call_later(delay_seconds, lambda: receiver.handle_failure(
                    client.Failure.NOT_CONNECTED, may_have_run=False))  # fmt: skip
                return
            match request:
                case dialect.ForwardedRequest():
                    started = engine.start_request(request, receiver, delay_seconds)
                    if started is not None:
                        started_requests.append(started)
                case typed_dialect.Reserve() | typed_dialect.Release():
                    self._run_memory_command(engine, request, receiver, delay_seconds)

        def _cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            for started in started_requests:
                self._loop.call_later(
                    delay_seconds, lambda cancelled=started: engine.cancel(cancelled)
                )

        self._loop.call_later(CONNECT_SECONDS + 2 * delay_seconds, _arrive)
        return Call(_cancel)

    def _run_memory_command(
        self,
        engine: Engine,
        command: typed_dialect.Reserve | typed_dialect.Release,
        receiver: client.ResponseReceiver,
        delay_seconds: float,
    ) -> None:
        is_granted = engine.run_memory_command(command)
        if is_granted:
            self._fleet.record_memory_command(command)

        def _deliver_answer() -> None:
            receiver.handle_head(COMMAND_DONE_HEAD if is_granted else MEMORY_FULL_HEAD)
            receiver.handle_complete()

        self._loop.call_later(delay_seconds, _deliver_answer)


def to_batch_costs(model: traffic.EngineCostModel, max_queued_requests: int) -> batch.Costs:
    """Convert the cost model of a declaration to the costs of the batch simulation."""
    return batch.Costs(
        memory_tokens=model.memory_tokens,
        slots=model.slots,
        max_waiting=max_queued_requests,
        prefill_rate=model.prefill_tokens_per_second,
        decode_seconds=model.step_seconds,
        sequence_seconds=model.sequence_seconds,
        context_seconds=model.context_seconds,
        hop_seconds=model.hop_seconds,
        pair_seconds=model.pair_seconds,
        chunk_tokens=model.chunk_tokens,
        steps_per_pass=model.steps_per_pass,
    )
