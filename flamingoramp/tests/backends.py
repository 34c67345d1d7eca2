"""Backend servers in virtual time: the platform's side of the worlds."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.backends import runner
from flamingoramp.dispatch import requests
from flamingoramp.orders import reconciler
from flamingoramp.protocol import messages
from flamingoramp.tests import simulation
from standins import texts

ANNOUNCE_SECONDS = 0.5
GRACE_SECONDS = 3.0
SILENCE_SECONDS = 2.0
TOKEN_SECONDS = 0.02
PREFILL_RATE = 100_000.0
LOAD_SECONDS = 0.5
POISON = "poison"

Key = tuple[str, int]


@attrs.define
class _Work:
    """An attempt on a server."""

    key: Key
    tokens: int
    text: str
    runner: VirtualRunner | None
    emitted: int = 0
    running: bool = False
    lost_at: float | None = None
    segment: bool = False
    hold_until: float = float("inf")


class VirtualServer:
    """An engine or a plain service: it enforces its memory and records what it ran."""

    def __init__(self, world: simulation.Simulation, name: str, service: str, ledger: Ledger):
        self.world = world
        self.node = world.add_node(name)
        self.name = name
        self.service = service
        self.ledger = ledger
        self.memory = 100_000 if service == "llm" else 0
        self.honours_fencing = world.rng.random() < 0.5
        self.begin_life()

    def begin_life(self) -> None:
        """Start, or start again with nothing in memory."""
        self.node.life += 1
        self.node.alive = True
        self.incarnation = self.node.life
        self.sequence = 0
        self.leaving = False
        self.left_at = float("inf")
        self.work: dict[Key, _Work] = {}
        self.models: tuple[str, ...] = ("writer@1",) if self.service == "llm" else ()
        self.fence = 0
        self._announce()
        self._sweep()

    @property
    def memory_used(self) -> int:
        """Tokens that running work holds."""
        return sum(one.tokens for one in self.work.values() if one.running)

    def crash(self) -> None:
        """Die; all connections break."""
        self.node.alive = False
        self.ledger.crashes[self.name] += 1
        for one in self.work.values():
            if one.runner is not None:
                one.runner.lose(one.key, self)

    def leave(self) -> None:
        """Announce a planned stop."""
        self.leaving = True
        self.left_at = self.world.now
        self._post()

    def begin(self, work: _Work, prompt: str, prefill_tokens: int) -> None:
        """Take an attempt in."""
        if self.leaving and self.world.now - self.left_at > 3.0 + 1.0:
            raise simulation.Violation(f"{self.name} got new work after it left")
        if POISON in prompt:
            self.ledger.poisoned[prompt] += 1
            self.work[work.key] = work
            self.crash()
            return
        self.work[work.key] = work
        self._start_waiting(prefill_tokens)

    def run_plain(self, spec: requests.RequestSpec, key: Key, caller: VirtualRunner) -> None:
        """Run a call of a plain service and answer it."""
        self.ledger.ran(spec)

        def _answer() -> None:
            if self.node.alive:
                caller.take_plain(key, self)

        self.world.at(0.01, self.node, _answer)

    def cancel(self, key: Key) -> None:
        """Give an attempt up."""
        self.work.pop(key, None)
        self._start_waiting(0)

    def take_order(self, order: reconciler.Order) -> bool:
        """Take an order, or refuse one with an old fencing number."""
        if order.incarnation != self.incarnation:
            return False
        if self.honours_fencing and order.fence < self.fence:
            return False
        if order.fence < self.fence:
            raise simulation.Violation(
                f"{self.name} followed order {order.fence} after {self.fence}"
            )
        self.fence = order.fence

        def _loaded() -> None:
            self.models = order.models

        self.world.at(LOAD_SECONDS, self.node, _loaded)
        return True

    def _start_waiting(self, prefill_tokens: int) -> None:
        for one in self.work.values():
            if not one.running and self.memory_used + one.tokens <= self.memory:
                one.running = True
                wait = prefill_tokens / PREFILL_RATE
                self.world.at(wait, self.node, lambda one=one: self._emit(one))

    def _emit(self, work: _Work) -> None:
        if self.work.get(work.key) is not work:
            return
        if work.segment:
            if work.runner is not None:
                work.runner.take_ready(work.key, self)
            return
        end = work.text.find(" ", work.emitted) + 1 or len(work.text)
        start, work.emitted = work.emitted, end
        done = end >= len(work.text)
        if work.runner is not None:
            work.runner.take_text(work.key, self, start, work.text[start:end], done)
        if done:
            self.world.at(GRACE_SECONDS, self.node, lambda: self.work.pop(work.key, None))
            work.running = False
            work.tokens = 0
        else:
            self.world.at(TOKEN_SECONDS, self.node, lambda: self._emit(work))

    def _announce(self) -> None:
        self.world.at(ANNOUNCE_SECONDS, self.node, self._announce)
        self._post()

    def _post(self) -> None:
        self.sequence += 1
        announcement = messages.Announcement(
            server=self.name,
            service=self.service,
            incarnation=self.incarnation,
            sequence=self.sequence,
            leaving=self.leaving,
            url=self.name,
            zone="zone",
            memory_tokens=self.memory,
            slots=16,
            prefill_rate=PREFILL_RATE if self.memory else 0.0,
            decode_seconds=TOKEN_SECONDS,
            models=self.models,
            honours_fencing=self.honours_fencing,
            memory_used=self.memory_used,
            highest_fence=self.fence,
        )
        entries = [one for one in self.world.nodes.values() if one.name.startswith("entry")]
        for node in self.world.rng.sample(entries, 2):
            if node.alive:
                daemon = node.daemon
                self.world.send(
                    self.node,
                    node.name,
                    lambda daemon=daemon: daemon.handle_announcement(announcement),
                )

    def _sweep(self) -> None:
        self.world.at(0.5, self.node, self._sweep)
        for key, one in list(self.work.items()):
            lost = one.lost_at is not None and self.world.now - one.lost_at > GRACE_SECONDS
            if lost or self.world.now > one.hold_until:
                self.cancel(key)


@attrs.define
class Ledger:
    """What the platform saw, for the checks at the end."""

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    begun: set[str] = attrs.field(factory=set)
    poisoned: collections.Counter = attrs.field(factory=collections.Counter)
    crashes: collections.Counter = attrs.field(factory=collections.Counter)

    def ran(self, spec: requests.RequestSpec) -> None:
        """Note that a request began to run."""
        self.begun.add(spec.request_id)
        if spec.key:
            self.runs[spec.key] += 1


@attrs.define
class _Run:
    server: VirtualServer
    heard: float
    life: int


class VirtualRunner:
    """Attempts of one entry on the virtual servers, in place of HTTP."""

    def __init__(
        self,
        world: simulation.Simulation,
        node: simulation.Node,
        servers: dict[str, VirtualServer],
        report: Callable[[Any], None],
    ):
        self._world = world
        self._node = node
        self._life = node.life
        self._servers = servers
        self._report = report
        self._runs: dict[Key, _Run] = {}
        self._next: dict[Key, Callable[[], None]] = {}
        self._watch()

    def __len__(self) -> int:
        return len(self._runs)

    def generate(self, start: requests.StartGenerate) -> None:
        """Run an attempt, segment after segment."""
        self._member(start, 0)

    def _member(self, start: requests.StartGenerate, position: int) -> None:
        key = (start.spec.request_id, start.attempt)
        member = start.members[position]
        server = self._servers[member.url]
        last = position == len(start.members) - 1
        if not last:
            self._next[key] = lambda: self._member(start, position + 1)

        def _begin() -> None:
            server.ledger.ran(start.spec)
            held = sum(one.tokens for one in start.members[:-1]) if last else 0
            tokens = start.spec.prompt_tokens + start.spec.output_tokens - held
            work = _Work(
                key,
                tokens if last else member.tokens,
                texts.expected_answer(start.spec.prompt, start.spec.output_tokens),
                self,
                emitted=start.offset if last else 0,
                segment=not last,
            )
            if not last:
                work.hold_until = self._world.now + start.remaining_seconds
            server.begin(work, start.spec.prompt, member.tokens)

        self._connect(key, server, _begin)

    def resume(self, start: requests.StartResume) -> None:
        """Open a new connection for the rest of an attempt."""
        key = (start.spec.request_id, start.attempt)
        server = self._servers[start.url]

        def _begin() -> None:
            work = server.work.get(key)
            if work is None:
                self._end(key, requests.TransferResult.GONE)
                return
            work.runner = self
            work.lost_at = None
            missing = work.text[start.offset : work.emitted]
            if missing:
                done = work.emitted >= len(work.text)
                self.take_text(key, server, start.offset, missing, done)

        self._connect(key, server, _begin)

    def call_plain(self, start: requests.StartPlain) -> None:
        """Call a plain service."""
        key = (start.spec.request_id, start.attempt)
        server = self._servers[start.url]
        self._connect(key, server, lambda: server.run_plain(start.spec, key, self))

    def cancel(self, cancel: requests.CancelTransfer) -> None:
        """Stop an attempt and free its servers."""
        self._runs.pop((cancel.request_id, cancel.attempt), None)
        for url in cancel.urls:
            self.cancel_at(url, cancel.request_id, cancel.attempt)

    def cancel_at(self, url: str, request_id: str, attempt: int, tries: int = 3) -> None:
        """Make a server give up an attempt; a lost cancellation is repeated."""
        server = self._servers[url]
        reached = self._world.connected(self._node.name, server.name)
        if server.node.alive and reached and server.node.frozen_until <= self._world.now:
            self._world.at(0.002, server.node, lambda: server.cancel((request_id, attempt)))
        elif tries > 1:
            self._world.at(
                runner.CANCEL_RETRY_SECONDS,
                self._node,
                lambda: self.cancel_at(url, request_id, attempt, tries - 1),
            )

    # What servers send.

    def take_text(
        self, key: Key, server: VirtualServer, offset: int, text: str, done: bool
    ) -> None:
        """Receive a chunk."""

        def _arrive() -> None:
            run = self._runs.get(key)
            if run is None or run.server is not server:
                return
            run.heard = self._world.now
            self._report(requests.TransferChunk(key[0], key[1], offset, text))
            if done:
                self._end(key, requests.TransferResult.DONE, offset + len(text))

        self._receive(key, server, _arrive)

    def take_ready(self, key: Key, server: VirtualServer) -> None:
        """Receive the end of a segment's prefill."""

        def _arrive() -> None:
            if key in self._runs:
                del self._runs[key]
                self._next.pop(key)()

        self._receive(key, server, _arrive)

    def take_plain(self, key: Key, server: VirtualServer) -> None:
        """Receive a plain service's answer."""

        def _arrive() -> None:
            if self._runs.pop(key, None) is not None:
                self._report(requests.PlainResponse(key[0], key[1], 200, "", b"ok"))

        self._receive(key, server, _arrive)

    def lose(self, key: Key, server: VirtualServer) -> None:
        """Notice that a server died."""

        def _arrive() -> None:
            run = self._runs.get(key)
            if run is not None and run.server is server:
                self._end(key, requests.TransferResult.BROKEN)

        self._receive(key, server, _arrive)

    def _receive(self, key: Key, server: VirtualServer, action: Callable[[], None]) -> None:
        """Let something arrive over the stream; a cut leaves it silent for good."""
        run = self._runs.get(key)
        if run is None or self._node.life != self._life or not self._node.alive:
            work = server.work.get(key)
            if work is not None and work.lost_at is None:
                work.lost_at = self._world.now
            return
        if self._world.connected(self._node.name, server.name):
            self._world.at(0.002, self._node, action)

    def _connect(self, key: Key, server: VirtualServer, begin: Callable[[], None]) -> None:
        self._runs[key] = _Run(server, self._world.now, server.node.life)
        if not self._world.connected(self._node.name, server.name):
            result = requests.TransferResult.UNREACHED
            self._world.at(1.0, self._node, lambda: self._end(key, result))
        elif not server.node.alive:
            result = requests.TransferResult.NOT_SENT
            self._world.at(0.002, self._node, lambda: self._end(key, result))
        else:
            self._world.at(0.002, server.node, begin)

    def _end(self, key: Key, result: requests.TransferResult, length: int = 0) -> None:
        run = self._runs.pop(key, None)
        if run is not None:
            url = run.server.name
            self._world.at(
                0,
                self._node,
                lambda: self._report(requests.TransferEnd(key[0], key[1], result, url, length)),
            )

    def _watch(self) -> None:
        """End streams that are silent; servers that live send heartbeats."""
        self._world.at(0.25, self._node, self._watch)
        for key, run in list(self._runs.items()):
            node = run.server.node
            speaks = (
                node.alive
                and node.life == run.life
                and node.frozen_until <= self._world.now
                and self._world.connected(self._node.name, run.server.name)
                and (key in run.server.work or not run.server.memory)
            )
            if speaks:
                run.heard = self._world.now
            elif self._world.now - run.heard > SILENCE_SECONDS:
                self._end(key, requests.TransferResult.SILENT)


class VirtualOrders:
    """Engine orders in flight; some arrive late, some answers are lost."""

    def __init__(
        self,
        world: simulation.Simulation,
        node: simulation.Node,
        servers: dict[str, VirtualServer],
        on_result: Callable[[str, reconciler.Order, bool], None],
    ):
        self._world = world
        self._node = node
        self._servers = servers
        self._on_result = on_result

    def send(self, shard: str, order: reconciler.Order) -> None:
        """Send an order."""
        server = self._servers[order.url]
        flight = self._world.rng.uniform(0.001, 1.9)

        def _arrive() -> None:
            accepted = server.take_order(order)
            if self._world.rng.random() > 0.1:
                self._world.at(0.002, self._node, lambda: self._on_result(shard, order, accepted))

        if self._world.connected(self._node.name, server.name):
            self._world.at(flight, server.node, _arrive)
