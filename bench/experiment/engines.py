"""Model engines in virtual time, with the network between entries and them."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from bench.experiment import speech, workloads
from flamingoramp import dialect as dialects
from flamingoramp.http import client
from flamingoramp.intent import traffic
from flamingoramp.runtime import virtual_time
from standins import batch

# An entry opens a connection and sends in this time, within a zone.
CONNECT_SECONDS = 0.0015
IN_ZONE_SECONDS = 0.0001
# Work that depends on an engine that is gone stalls for this long before it is cut off.
STALL_SECONDS = 1.5
NOT_RUN = client.Head(503, ((b"verdict", b"not_run"),))
STREAM = client.Head(200, ((b"verdict", b"stream"),))
RESERVED = client.Head(200, ())
FULL = client.Head(409, ())


@attrs.define
class _Running:
    """A request at its first engine."""

    receiver: client.ResponseReceiver
    sequence: batch.Sequence
    delay: float
    next_event: int
    events: int
    helpers: list[Engine]
    has_begun: bool = False


@attrs.define
class Usage:
    """Where an engine's time went, in seconds."""

    idle: float = 0.0
    reading: float = 0.0
    writing: float = 0.0
    mixed: float = 0.0


class Call:
    """A request under way, as the entry holds it."""

    def __init__(self, cancel: Callable[[], None]):
        self._cancel = cancel

    def cancel(self) -> None:
        """Close the connection."""
        self._cancel()


class Engine:
    """One engine.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    fleet : Fleet
    name, zone : str
    """

    def __init__(self, loop: virtual_time.VirtualLoop, fleet: Fleet, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.address = f"{name}:1"
        self.born = 1
        self.is_up = True
        self.leaving = False
        self.slowness = 1.0
        self.usage = Usage()
        self._loop = loop
        self._fleet = fleet
        self._batch = batch.Batch(fleet.costs)
        self._pass: batch.Pass | None = None
        self._requests: dict[tuple[str, int], _Running] = {}
        self._parts_for: dict[tuple[str, int], Engine] = {}
        self._attempts = 0
        self._last_end = 0.0

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot or for memory."""
        return self._batch.waiting

    @property
    def memory_used(self) -> int:
        """Tokens that requests and reservations hold."""
        return self._batch.memory_used

    def crash(self, seconds: float) -> None:
        """End at once, and start again empty after some seconds."""
        self.is_up = False
        for running in list(self._requests.values()):
            self._tell(running, lambda one=running: one.receiver.handle_failure(
                client.Failure.RESET, may_have_run=True))  # fmt: skip
            self._drop(running)
        self._parts_for.clear()
        self._batch = batch.Batch(self._fleet.costs)
        self._pass = None
        self._loop.call_later(seconds, self._restart)

    def _restart(self) -> None:
        self.born += 1
        self.is_up = True

    def order(self, order: speech.Reserve | speech.Release) -> bool:
        """Carry out an order; False if it is refused."""
        match order:
            case speech.Reserve():
                return self._batch.reserve(order.ticket, order.tokens)
            case speech.Release():
                self._batch.release(order.ticket)
                self._start_pass()
                return True

    def can_help(self) -> bool:
        """Tell whether another part may be read here."""
        return self.is_up and self._batch.helping < self._fleet.costs.slots

    def take(
        self, forward: dialects.ForwardedRequest, receiver: client.ResponseReceiver, delay: float
    ) -> _Running | None:
        """Begin with a request; None if it is refused."""
        helpers = [self._fleet.find(one.address) for one in forward.helpers]
        prompt = forward.caller.prompt_tokens
        held = sum(self._fleet.reserved(one.ticket) for one in forward.helpers)
        parts = 1 + len(helpers)
        first = int(forward.last_event_id or 0)
        events = self._fleet.events_of(forward.caller.request_id)
        written = 0 if first == 0 else 1 + (first - 1) * self._fleet.costs.stride
        whole = 1 + (events - 1) * self._fleet.costs.stride
        read = prompt + written
        self._attempts += 1
        sequence = batch.Sequence(
            forward.caller.request_id,
            self._attempts,
            forward.priority or 0,
            prefill_tokens=-(-read // parts),
            stored_tokens=max(0, read - held),
            output_tokens=whole - written,
            parts_elsewhere=len(helpers),
            pairs_per_token=read / 2 if helpers else None,
            context_tokens=-(-read // parts) if held else 0,
        )
        if not self._batch.accepts(sequence):
            self._answer(receiver, delay, NOT_RUN)
            return None
        for helper in helpers:
            if not helper.can_help():
                at_fault = (b"at-fault", helper.address.encode())
                head = client.Head(503, (*NOT_RUN.headers, at_fault))
                self._loop.call_later(
                    0.0 if helper.is_up else STALL_SECONDS,
                    lambda head=head: self._answer(receiver, delay, head),
                )
                return None
        running = _Running(receiver, sequence, delay, first + 1, events, helpers)
        self._requests[sequence.key] = running
        self._batch.add(sequence)
        for helper in helpers:
            self._fleet.send(self, helper, lambda one=helper: one.help(self, sequence))
        self._start_pass()
        return running

    def help(self, first: Engine, sequence: batch.Sequence) -> None:
        """Read a part for another engine."""
        part = batch.Sequence(
            sequence.request_id,
            sequence.attempt,
            sequence.priority,
            prefill_tokens=sequence.prefill_tokens,
            stored_tokens=0,
            work=batch.Work.PART,
            pairs_per_token=sequence.pairs_per_token,
        )
        self._batch.add(part)
        self._parts_for[part.key] = first
        self._start_pass()

    def handle_part(self, key: tuple[str, int]) -> None:
        """Take in that a helper has read its part."""
        self._batch.finish_part_elsewhere(key)
        self._start_pass()

    def cancel(self, running: _Running) -> None:
        """Stop work on a request."""
        if self._requests.get(running.sequence.key) is running:
            self._drop(running)
            self._start_pass()

    def stall(self, lost: Engine) -> None:
        """Cut off the requests whose prompt a lost engine was to read or to hold."""
        for running in list(self._requests.values()):
            held = running.sequence.context_tokens > 0
            if lost in running.helpers and (held or running.sequence.parts_elsewhere):
                self._loop.call_later(STALL_SECONDS, lambda one=running: self._cut_off(one, lost))

    def _cut_off(self, running: _Running, lost: Engine) -> None:
        if self._requests.get(running.sequence.key) is not running:
            return
        self._drop(running)
        if running.has_begun:
            self._tell(running, lambda: running.receiver.handle_failure(
                client.Failure.CLOSED, may_have_run=True))  # fmt: skip
        else:
            head = client.Head(503, (*NOT_RUN.headers, (b"at-fault", lost.address.encode())))
            self._answer(running.receiver, running.delay, head)
        self._start_pass()

    def _drop(self, running: _Running) -> None:
        key = running.sequence.key
        self._requests.pop(key, None)
        self._batch.remove(key)
        for helper in running.helpers:
            helper.drop_part(key)

    def drop_part(self, key: tuple[str, int]) -> None:
        """Stop reading a part."""
        if self._parts_for.pop(key, None) is not None:
            self._batch.remove(key)

    def _start_pass(self) -> None:
        if self._pass is not None or not self.is_up:
            return
        self._pass = self._batch.next_pass()
        if self._pass is None:
            return
        now = self._loop.now()
        seconds = self._pass.seconds * self.slowness
        self.usage.idle += now - self._last_end
        self._last_end = now + seconds
        match bool(self._pass.chunks), bool(self._pass.writing):
            case True, True:
                self.usage.mixed += seconds
            case True, False:
                self.usage.reading += seconds
            case _:
                self.usage.writing += seconds
        self._loop.call_later(seconds, lambda made=self._pass: self._end_pass(made))

    def _end_pass(self, ended: batch.Pass) -> None:
        if self._pass is not ended:
            return  # the engine crashed meanwhile
        self._pass = None
        for emission in self._batch.finish_pass(ended):
            key = emission.sequence.key
            if emission.sequence.work is batch.Work.PART:
                self._batch.remove(key)
                first = self._parts_for.pop(key, None)
                if first is not None:
                    self._fleet.send(self, first, lambda one=first, key=key: one.handle_part(key))
                continue
            running = self._requests[key]
            self._write(running)
        self._start_pass()

    def _write(self, running: _Running) -> None:
        receiver = running.receiver
        if not running.has_begun:
            running.has_begun = True
            self._tell(running, lambda: receiver.handle_head(STREAM))
        number = running.next_event
        running.next_event += 1
        self._tell(running, lambda: receiver.handle_data(b"id: %d\ndata: x\n\n" % number))
        if number >= running.events:
            self._drop(running)
            self._tell(running, receiver.handle_complete)

    def _tell(self, running: _Running, action: Callable[[], None]) -> None:
        self._loop.call_later(running.delay, action)

    def _answer(self, receiver: client.ResponseReceiver, delay: float, head: client.Head) -> None:
        def _play() -> None:
            receiver.handle_head(head)
            receiver.handle_complete()

        self._loop.call_later(delay, _play)


class Fleet:
    """All engines of a deployment, and what entries send to them.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    deployment : workloads.Deployment
    """

    def __init__(self, loop: virtual_time.VirtualLoop, deployment: workloads.Deployment):
        self._loop = loop
        self._deployment = deployment
        self.costs = to_costs(deployment.cost_model, deployment.max_queued_requests)
        self._events: dict[str, int] = {}
        self._tickets: dict[str, int] = {}
        self.engines = [
            Engine(loop, self, f"e-{zone}-{number}", zone)
            for zone, count in deployment.engines_by_zone.items()
            for number in range(count)
        ]
        self._by_address = {one.address: one for one in self.engines}

    def find(self, address: str) -> Engine:
        """Return an engine."""
        return self._by_address[address]

    def events_of(self, request_id: str) -> int:
        """Return how many events the answer to a request has."""
        return self._events[request_id]

    def note_events(self, request_id: str, events: int) -> None:
        """Set how many events the answer to a request has."""
        self._events[request_id] = events

    def reserved(self, ticket: str) -> int:
        """Return the memory under a ticket."""
        return self._tickets.get(ticket, 0)

    def note_order(self, order: speech.Reserve | speech.Release) -> None:
        """Remember what a ticket holds."""
        match order:
            case speech.Reserve():
                self._tickets[order.ticket] = order.tokens
            case speech.Release():
                self._tickets.pop(order.ticket, None)

    def delay(self, one: str, other: str) -> float:
        """Return the time from one zone to another."""
        return IN_ZONE_SECONDS if one == other else self._deployment.zone_delay_seconds

    def send(self, one: Engine, other: Engine, action: Callable[[], None]) -> None:
        """Carry out an action at another engine, if it is up by then."""

        def _arrive() -> None:
            if other.is_up:
                action()

        self._loop.call_later(self.delay(one.zone, other.zone), _arrive)

    def crash(self, engines: list[Engine], seconds: float) -> None:
        """Crash engines; what they were to read for others stalls."""
        for engine in engines:
            engine.crash(seconds)
        for engine in self.engines:
            for lost in engines:
                engine.stall(lost)

    def choose_share(self, share: float, rng: random.Random) -> list[Engine]:
        """Return a share of the engines, at least one."""
        return rng.sample(self.engines, self._deployment.count_engines(share))


class Pool:
    """What an entry of a zone sends to engines; a stand-in for `client.Pool`."""

    def __init__(self, loop: virtual_time.VirtualLoop, fleet: Fleet, zone: str):
        self._loop = loop
        self._fleet = fleet
        self._zone = zone

    def send(
        self,
        address: str,
        request: dialects.ForwardedRequest | speech.Reserve | speech.Release,
        receiver: client.ResponseReceiver,
        *,
        new_connection: bool = False,
    ) -> Call:
        """Send a request or an order."""
        engine = self._fleet.find(address)
        delay = self._fleet.delay(self._zone, engine.zone)
        taken: list[_Running] = []
        cancelled = False

        def _arrive() -> None:
            if cancelled:
                return
            if not engine.is_up:
                self._loop.call_later(delay, lambda: receiver.handle_failure(
                    client.Failure.NOT_CONNECTED, may_have_run=False))  # fmt: skip
                return
            match request:
                case dialects.ForwardedRequest():
                    running = engine.take(request, receiver, delay)
                    if running is not None:
                        taken.append(running)
                case speech.Reserve() | speech.Release():
                    self._order(engine, request, receiver, delay)

        def _cancel() -> None:
            nonlocal cancelled
            cancelled = True
            for running in taken:
                self._loop.call_later(delay, lambda one=running: engine.cancel(one))

        self._loop.call_later(CONNECT_SECONDS + 2 * delay, _arrive)
        return Call(_cancel)

    def _order(
        self,
        engine: Engine,
        order: speech.Reserve | speech.Release,
        receiver: client.ResponseReceiver,
        delay: float,
    ) -> None:
        granted = engine.order(order)
        if granted:
            self._fleet.note_order(order)

        def _play() -> None:
            receiver.handle_head(RESERVED if granted else FULL)
            receiver.handle_complete()

        self._loop.call_later(delay, _play)


def to_costs(model: traffic.EngineCostModel, waiting: int) -> batch.Costs:
    """Return the costs of the engines that a declaration describes."""
    return batch.Costs(
        memory_tokens=model.memory_tokens,
        slots=model.slots,
        waiting=waiting,
        prefill_rate=model.prefill_tokens_per_second,
        decode_seconds=model.step_seconds,
        sequence_seconds=model.sequence_seconds,
        context_seconds=model.context_seconds,
        hop_seconds=model.hop_seconds,
        pair_seconds=model.pair_seconds,
        chunk_tokens=model.chunk_tokens,
        stride=model.steps_per_pass,
    )
