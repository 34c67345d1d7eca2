"""Simulated backend servers, and the entry's connections to them, for the scenarios."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.backends import runner
from flamingoramp.dispatch import requests
from flamingoramp.orders import reconciler
from flamingoramp.protocol import shard_messages
from flamingoramp.tests import worlds
from standins import texts

ANNOUNCE_INTERVAL_SECONDS = 0.5
RETENTION_SECONDS = 3.0
SILENCE_TIMEOUT_SECONDS = 2.0
DECODE_SECONDS_PER_TOKEN = 0.02
PREFILL_TOKENS_PER_SECOND = 100_000.0
MODEL_LOAD_SECONDS = 0.5
CRASH_MARKER = "poison"

AttemptKey = tuple[str, int]


@attrs.define
class _Attempt:
    """An attempt of a request on one server, with the answer that the server generates for it."""

    key: AttemptKey
    memory_tokens: int
    text: str
    delivering_runner: SimulatedRunner | None
    emitted_length: int = 0
    is_running: bool = False
    disconnected_at: float | None = None
    is_prefill_segment: bool = False
    retained_until: float = float("inf")


class SimulatedServer:
    """An engine, or a server of a plain service; starts no attempt that exceeds its memory.

    Parameters
    ----------
    sim : worlds.Simulation
    name : str
    service : str
        ``llm`` for an engine; any other service is plain.
    execution_log : ExecutionLog
        Records the requests that started and the crashes.
    """

    def __init__(
        self, sim: worlds.Simulation, name: str, service: str, execution_log: ExecutionLog
    ):
        self.sim = sim
        self.node = sim.add_node(name)
        self.name = name
        self.service = service
        self.execution_log = execution_log
        self.memory_tokens = 100_000 if service == "llm" else 0
        self.honours_fencing = sim.rng.random() < 0.5
        self.start()

    def start(self) -> None:
        """Start or restart the process; attempts and loaded models of the last run are lost."""
        self.node.start_count += 1
        self.node.is_running = True
        self.incarnation = self.node.start_count
        self.sequence = 0
        self.leaving = False
        self.leave_announced_at = float("inf")
        self.attempts: dict[AttemptKey, _Attempt] = {}
        self.models: tuple[str, ...] = ("writer@1",) if self.service == "llm" else ()
        self.highest_fence = 0
        self._announce_periodically()
        self._drop_expired_attempts()

    @property
    def used_memory_tokens(self) -> int:
        """Memory that running attempts hold, in tokens."""
        return sum(
            attempt.memory_tokens for attempt in self.attempts.values() if attempt.is_running
        )

    def crash(self) -> None:
        """Stop the process at once; all connections break."""
        self.node.is_running = False
        self.execution_log.crash_counts_by_server[self.name] += 1
        for attempt in self.attempts.values():
            if attempt.delivering_runner is not None:
                attempt.delivering_runner.handle_server_crash(attempt.key, self)

    def announce_planned_stop(self) -> None:
        """Announce a planned stop to the entries."""
        self.leaving = True
        self.leave_announced_at = self.sim.now
        self._send_announcement()

    def accept_attempt(self, attempt: _Attempt, prompt: str, prefill_tokens: int) -> None:
        """Queue an attempt, or crash if its prompt contains `CRASH_MARKER`.

        Raises
        ------
        worlds.Violation
            The attempt came more than 4 s after the server announced its leave.
        """
        if self.leaving and self.sim.now - self.leave_announced_at > 3.0 + 1.0:
            raise worlds.Violation(f"{self.name} received an attempt after its leave took effect")
        if CRASH_MARKER in prompt:
            self.execution_log.crash_counts_by_prompt[prompt] += 1
            self.attempts[attempt.key] = attempt
            self.crash()
            return
        self.attempts[attempt.key] = attempt
        self._start_waiting_attempts(prefill_tokens)

    def run_plain_call(
        self, spec: requests.RequestSpec, key: AttemptKey, caller: SimulatedRunner
    ) -> None:
        """Run a call of a plain service and send the response."""
        self.execution_log.record_start(spec)

        def _answer() -> None:
            if self.node.is_running:
                caller.receive_plain_response(key, self)

        self.sim.schedule(0.01, self.node, _answer)

    def cancel(self, key: AttemptKey) -> None:
        """Cancel an attempt and start those that now fit into memory."""
        self.attempts.pop(key, None)
        self._start_waiting_attempts(0)

    def handle_order(self, order: reconciler.Order) -> bool:
        """Load the models of an order; return False if the order is outdated.

        Raises
        ------
        worlds.Violation
            The server doesn't check fencing numbers and received a lower one than before.
        """
        if order.incarnation != self.incarnation:
            return False
        if self.honours_fencing and order.fence < self.highest_fence:
            return False
        if order.fence < self.highest_fence:
            raise worlds.Violation(
                f"{self.name} followed an order with fencing number {order.fence} "
                f"after one with {self.highest_fence}"
            )
        self.highest_fence = order.fence

        def _set_models() -> None:
            self.models = order.models

        self.sim.schedule(MODEL_LOAD_SECONDS, self.node, _set_models)
        return True

    def _start_waiting_attempts(self, prefill_tokens: int) -> None:
        for attempt in self.attempts.values():
            if (
                not attempt.is_running
                and self.used_memory_tokens + attempt.memory_tokens <= self.memory_tokens
            ):
                attempt.is_running = True
                prefill_seconds = prefill_tokens / PREFILL_TOKENS_PER_SECOND
                self.sim.schedule(
                    prefill_seconds,
                    self.node,
                    lambda attempt=attempt: self._emit_next_piece(attempt),
                )

    def _emit_next_piece(self, attempt: _Attempt) -> None:
        if self.attempts.get(attempt.key) is not attempt:
            return
        if attempt.is_prefill_segment:
            if attempt.delivering_runner is not None:
                attempt.delivering_runner.receive_prefill_done(attempt.key, self)
            return
        end_offset = attempt.text.find(" ", attempt.emitted_length) + 1 or len(attempt.text)
        start_offset, attempt.emitted_length = attempt.emitted_length, end_offset
        is_last = end_offset >= len(attempt.text)
        if attempt.delivering_runner is not None:
            attempt.delivering_runner.receive_text(
                attempt.key, self, start_offset, attempt.text[start_offset:end_offset], is_last
            )
        if is_last:
            self.sim.schedule(
                RETENTION_SECONDS, self.node, lambda: self.attempts.pop(attempt.key, None)
            )
            attempt.is_running = False
            attempt.memory_tokens = 0
        else:
            self.sim.schedule(
                DECODE_SECONDS_PER_TOKEN, self.node, lambda: self._emit_next_piece(attempt)
            )

    def _announce_periodically(self) -> None:
        self.sim.schedule(ANNOUNCE_INTERVAL_SECONDS, self.node, self._announce_periodically)
        self._send_announcement()

    def _send_announcement(self) -> None:
        self.sequence += 1
        announcement = shard_messages.Announcement(
            server=self.name,
            service=self.service,
            incarnation=self.incarnation,
            sequence=self.sequence,
            leaving=self.leaving,
            url=self.name,
            zone="zone",
            memory_tokens=self.memory_tokens,
            slots=16,
            prefill_rate=PREFILL_TOKENS_PER_SECOND if self.memory_tokens else 0.0,
            decode_seconds=DECODE_SECONDS_PER_TOKEN,
            models=self.models,
            honours_fencing=self.honours_fencing,
            memory_used=self.used_memory_tokens,
            highest_fence=self.highest_fence,
        )
        entry_nodes = [
            candidate for candidate in self.sim.nodes.values() if candidate.name.startswith("entry")
        ]
        for node in self.sim.rng.sample(entry_nodes, 2):
            if node.is_running:
                daemon = node.daemon
                self.sim.send(
                    self.node,
                    node.name,
                    lambda daemon=daemon: daemon.handle_announcement(announcement),
                )

    def _drop_expired_attempts(self) -> None:
        self.sim.schedule(0.5, self.node, self._drop_expired_attempts)
        for key, attempt in list(self.attempts.items()):
            is_abandoned = (
                attempt.disconnected_at is not None
                and self.sim.now - attempt.disconnected_at > RETENTION_SECONDS
            )
            if is_abandoned or self.sim.now > attempt.retained_until:
                self.cancel(key)


@attrs.define
class ExecutionLog:
    """Request starts, counted by idempotency key, and server crashes, for a scenario's checks."""

    start_counts_by_key: collections.Counter = attrs.field(factory=collections.Counter)
    started_request_ids: set[str] = attrs.field(factory=set)
    crash_counts_by_prompt: collections.Counter = attrs.field(factory=collections.Counter)
    crash_counts_by_server: collections.Counter = attrs.field(factory=collections.Counter)

    def record_start(self, spec: requests.RequestSpec) -> None:
        """Record that a request started on a server."""
        self.started_request_ids.add(spec.request_id)
        if spec.key:
            self.start_counts_by_key[spec.key] += 1


@attrs.define
class _Stream:
    """A connection to a server, and the server's start count when it was opened."""

    server: SimulatedServer
    last_received_at: float
    start_count: int


class SimulatedRunner:
    """Runs the attempts of an entry on simulated servers; stands in for the HTTP client.

    Parameters
    ----------
    sim : worlds.Simulation
    node : worlds.SimulatedNode
        The entry's process.
    servers : dict of str to SimulatedServer
        Servers by their URL, which is their name.
    report : callable
        Receives chunks, responses and ends of transfers.
    """

    def __init__(
        self,
        sim: worlds.Simulation,
        node: worlds.SimulatedNode,
        servers: dict[str, SimulatedServer],
        report: Callable[[Any], None],
    ):
        self._sim = sim
        self._node = node
        self._start_count = node.start_count
        self._servers = servers
        self._report = report
        self._streams: dict[AttemptKey, _Stream] = {}
        self._next_member_starts: dict[AttemptKey, Callable[[], None]] = {}
        self._detect_silent_streams()

    def __len__(self) -> int:
        return len(self._streams)

    def generate(self, start: requests.StartGenerate) -> None:
        """Run an attempt on the engines of its group, one after the other."""
        self._start_member(start, 0)

    def _start_member(self, start: requests.StartGenerate, position: int) -> None:
        key = (start.spec.request_id, start.attempt)
        member = start.members[position]
        server = self._servers[member.url]
        is_last = position == len(start.members) - 1
        if not is_last:
            self._next_member_starts[key] = lambda: self._start_next_member(start, position + 1)

        def _on_connected() -> None:
            server.execution_log.record_start(start.spec)
            prefix_tokens = sum(earlier.tokens for earlier in start.members[:-1]) if is_last else 0
            tokens = start.spec.prompt_tokens + start.spec.output_tokens - prefix_tokens
            attempt = _Attempt(
                key,
                tokens if is_last else member.tokens,
                texts.expected_answer(start.spec.prompt, start.spec.output_tokens),
                self,
                emitted_length=start.offset if is_last else 0,
                is_prefill_segment=not is_last,
            )
            if not is_last:
                attempt.retained_until = self._sim.now + start.remaining_seconds
            server.accept_attempt(attempt, start.spec.prompt, member.tokens)

        self._connect(key, server, _on_connected)

    def _start_next_member(self, start: requests.StartGenerate, position: int) -> None:
        self._report(requests.MemberStarted(start.spec.request_id, start.attempt, position))
        self._start_member(start, position)

    def resume(self, start: requests.StartResume) -> None:
        """Open a new connection for the rest of an attempt's stream."""
        key = (start.spec.request_id, start.attempt)
        server = self._servers[start.url]

        def _on_connected() -> None:
            attempt = server.attempts.get(key)
            if attempt is None:
                self._report_end(key, requests.TransferResult.GONE)
                return
            attempt.delivering_runner = self
            attempt.disconnected_at = None
            missing_text = attempt.text[start.offset : attempt.emitted_length]
            if missing_text:
                is_last = attempt.emitted_length >= len(attempt.text)
                self.receive_text(key, server, start.offset, missing_text, is_last)

        self._connect(key, server, _on_connected)

    def call_plain(self, start: requests.StartPlain) -> None:
        """Send a call to a server of a plain service."""
        key = (start.spec.request_id, start.attempt)
        server = self._servers[start.url]
        self._connect(key, server, lambda: server.run_plain_call(start.spec, key, self))

    def cancel(self, cancel: requests.CancelTransfer) -> None:
        """Cancel an attempt at all its servers."""
        self._streams.pop((cancel.request_id, cancel.attempt), None)
        for url in cancel.urls:
            self.cancel_on_server(url, cancel.request_id, cancel.attempt)

    def cancel_on_server(
        self, url: str, request_id: str, attempt: int, remaining_tries: int = 3
    ) -> None:
        """Cancel an attempt at a server; retry while the server can't be reached."""
        server = self._servers[url]
        is_reachable = self._sim.is_connected(self._node.name, server.name)
        if server.node.is_running and is_reachable and server.node.frozen_until <= self._sim.now:
            self._sim.schedule(0.002, server.node, lambda: server.cancel((request_id, attempt)))
        elif remaining_tries > 1:
            self._sim.schedule(
                runner.CANCEL_RETRY_SECONDS,
                self._node,
                lambda: self.cancel_on_server(url, request_id, attempt, remaining_tries - 1),
            )

    # Messages from servers.

    def receive_text(
        self, key: AttemptKey, server: SimulatedServer, offset: int, text: str, is_last: bool
    ) -> None:
        """Receive a chunk of an answer and, if it is the last, end the transfer."""

        def _arrive() -> None:
            stream = self._streams.get(key)
            if stream is None or stream.server is not server:
                return
            stream.last_received_at = self._sim.now
            self._report(requests.TransferChunk(key[0], key[1], offset, text))
            if is_last:
                self._report_end(key, requests.TransferResult.DONE, offset + len(text))

        self._schedule_receipt(key, server, _arrive)

    def receive_prefill_done(self, key: AttemptKey, server: SimulatedServer) -> None:
        """Receive the end of a group member's prefill and start the next member."""

        def _arrive() -> None:
            if key in self._streams:
                del self._streams[key]
                self._next_member_starts.pop(key)()

        self._schedule_receipt(key, server, _arrive)

    def receive_plain_response(self, key: AttemptKey, server: SimulatedServer) -> None:
        """Receive the response of a plain service."""

        def _arrive() -> None:
            if self._streams.pop(key, None) is not None:
                self._report(requests.PlainResponse(key[0], key[1], 200, "", b"ok"))

        self._schedule_receipt(key, server, _arrive)

    def handle_server_crash(self, key: AttemptKey, server: SimulatedServer) -> None:
        """End the transfer whose connection broke with the server's process."""

        def _arrive() -> None:
            stream = self._streams.get(key)
            if stream is not None and stream.server is server:
                self._report_end(key, requests.TransferResult.BROKEN)

        self._schedule_receipt(key, server, _arrive)

    def _schedule_receipt(
        self, key: AttemptKey, server: SimulatedServer, action: Callable[[], None]
    ) -> None:
        """Schedule the arrival of a message; one sent during a network partition is lost."""
        stream = self._streams.get(key)
        if (
            stream is None
            or self._node.start_count != self._start_count
            or not self._node.is_running
        ):
            attempt = server.attempts.get(key)
            if attempt is not None and attempt.disconnected_at is None:
                attempt.disconnected_at = self._sim.now
            return
        if self._sim.is_connected(self._node.name, server.name):
            self._sim.schedule(0.002, self._node, action)

    def _connect(
        self, key: AttemptKey, server: SimulatedServer, on_connected: Callable[[], None]
    ) -> None:
        self._streams[key] = _Stream(server, self._sim.now, server.node.start_count)
        if not self._sim.is_connected(self._node.name, server.name):
            result = requests.TransferResult.UNREACHED
            self._sim.schedule(1.0, self._node, lambda: self._report_end(key, result))
        elif not server.node.is_running:
            result = requests.TransferResult.NOT_SENT
            self._sim.schedule(0.002, self._node, lambda: self._report_end(key, result))
        else:
            self._sim.schedule(0.002, server.node, on_connected)

    def _report_end(
        self, key: AttemptKey, result: requests.TransferResult, length: int = 0
    ) -> None:
        stream = self._streams.pop(key, None)
        if stream is not None:
            url = stream.server.name
            self._sim.schedule(
                0,
                self._node,
                lambda: self._report(requests.TransferEnd(key[0], key[1], result, url, length)),
            )

    def _detect_silent_streams(self) -> None:
        """End streams that received nothing for the timeout; running servers send heartbeats."""
        self._sim.schedule(0.25, self._node, self._detect_silent_streams)
        for key, stream in list(self._streams.items()):
            node = stream.server.node
            is_responsive = (
                node.is_running
                and node.start_count == stream.start_count
                and node.frozen_until <= self._sim.now
                and self._sim.is_connected(self._node.name, stream.server.name)
                and (key in stream.server.attempts or not stream.server.memory_tokens)
            )
            if is_responsive:
                stream.last_received_at = self._sim.now
            elif self._sim.now - stream.last_received_at > SILENCE_TIMEOUT_SECONDS:
                self._report_end(key, requests.TransferResult.SILENT)


class SimulatedOrderSender:
    """Sends orders to engines; orders may arrive late, and 10 % of the answers are lost.

    Parameters
    ----------
    sim : worlds.Simulation
    node : worlds.SimulatedNode
        The entry's process.
    servers : dict of str to SimulatedServer
        Servers by their URL, which is their name.
    on_result : callable
        Receives the shard, the order and whether the engine accepted it.
    """

    def __init__(
        self,
        sim: worlds.Simulation,
        node: worlds.SimulatedNode,
        servers: dict[str, SimulatedServer],
        on_result: Callable[[str, reconciler.Order, bool], None],
    ):
        self._sim = sim
        self._node = node
        self._servers = servers
        self._on_result = on_result

    def send(self, shard: str, order: reconciler.Order) -> None:
        """Send an order to the engine at its URL, unless a partition separates them."""
        server = self._servers[order.url]
        delivery_seconds = self._sim.rng.uniform(0.001, 1.9)

        def _arrive() -> None:
            accepted = server.handle_order(order)
            if self._sim.rng.random() > 0.1:
                self._sim.schedule(
                    0.002, self._node, lambda: self._on_result(shard, order, accepted)
                )

        if self._sim.is_connected(self._node.name, server.name):
            self._sim.schedule(delivery_seconds, server.node, _arrive)
