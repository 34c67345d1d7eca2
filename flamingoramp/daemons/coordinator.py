"""The daemon of a control host that finds its cluster by seeds.

It holds a replica of the operators' declaration, takes announcements of backend servers, and tells
every entry what changes.
"""

from __future__ import annotations

import itertools
import pathlib
import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.consensus import effects, node, replica, storage
from flamingoramp.daemons import node_process
from flamingoramp.http import server as http_server
from flamingoramp.intent import declared
from flamingoramp.membership import entry_directory, registry, subscriptions
from flamingoramp.protocol import messages
from flamingoramp.runtime import node_settings
from flamingoramp.runtime import transport as transports

TICK_SECONDS = 0.05
PUBLISH_SECONDS = 0.02
RENEWAL_SECONDS = 0.25
PEER_SECONDS = 0.5
FORGET_SECONDS = 5.0
# An operator's client moves on after a second; the answer must come before.
ANSWER_SECONDS = 0.9
RETRY_AFTER_SECONDS = 0.3
# A stopping replica waits this long for calls in hand.
STOP_SECONDS = 0.5

REPLICA_TIMING = replica.Timing(
    heartbeat_seconds=0.12,
    election_min_seconds=0.45,
    election_max_seconds=0.9,
    uses_leases=False,
)


@attrs.define
class _Pending:
    """A call that waits for the log."""

    deadline: float
    done: Callable[[Any], None]
    failed: Callable[[errors.FlamingorampError], None]


@attrs.define
class _Read:
    """A read that waits for a quorum to confirm the leader."""

    asked_at: float
    pending: _Pending


class Coordinator:
    """One control daemon.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    dialect : dialects.Dialect
    log_descriptor : int
        Where log lines go.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        *,
        log_descriptor: int = 1,
    ):
        self._settings = settings
        self._dialect = dialect
        self._state = declared.DeclaredState()
        self._registry = registry.Registry()
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._publisher = subscriptions.Publisher(self._registry)
        self._process = node_process.NodeProcess(
            settings,
            role="control",
            inner=settings.control_inner,
            deliver=self._deliver,
            log_descriptor=log_descriptor,
        )
        self._log = self._process.log
        self._metrics = self._process.metrics
        self._loop = self._process.loop
        self._numbers = itertools.count()
        self._forwarded: dict[str, _Pending] = {}
        self._reads: list[_Read] = []
        self._urgent = False
        self._stopping = False
        self._node = self._make_node()
        self._process.at_end(self._node.close)
        self._process.transport.name = self._node.identity or settings.control_inner
        if settings.listen.operators:
            self._process.serve(settings.listen.operators, self._handle_call)
        if settings.listen.directory:
            self._process.serve(settings.listen.directory, self._handle_directory)
        self._loop.call_every(TICK_SECONDS, self._tick)
        self._loop.call_every(PUBLISH_SECONDS, self._publish_urgent)
        self._loop.call_every(RENEWAL_SECONDS, self._publish)
        self._loop.call_every(PEER_SECONDS, self._subscribe_to_peers)
        self._loop.call_every(FORGET_SECONDS, lambda: self._registry.forget_old(self._loop.now()))

    @property
    def process(self) -> node_process.NodeProcess:
        """The daemon's parts."""
        return self._process

    @property
    def node(self) -> node.Node:
        """The replica of the log."""
        return self._node

    @property
    def registry(self) -> registry.Registry:
        """Backend servers and entries as known here."""
        return self._registry

    def run(self) -> None:
        """Serve until told to stop."""
        self._log.write("process.started", role="control", host=self._settings.control_inner)
        self._process.run(on_stop=self.begin_stop, on_reload=self._reload)

    def _make_node(self) -> node.Node:
        settings = self._settings
        seeds = settings.seed_hosts
        own = settings.control_inner
        if settings.data_folder:
            store = storage.Storage(pathlib.Path(settings.data_folder) / "replica")
        else:
            store = storage.MemoryStorage()
        return node.Node(
            config=node.NodeConfig(own, seeds, settings.first_start and own in seeds),
            store=store,
            state_machine=self._state,
            send=lambda host, message: self._process.transport.send(host, message),
            on_leader_changed=self._note_leader,
            on_storage_status=self._note_storage,
            new_incarnation=self._process.new_incarnation,
            rng=random.SystemRandom(),
            now=self._loop.now,
            timing=REPLICA_TIMING,
        )

    def _note_leader(self, change: effects.LeaderChanged) -> None:
        self._log.write("leader.changed", leader=change.leader, term=change.term)
        self._metrics.count("leader_changes")
        self._urgent = True

    def _note_storage(self, error: errors.StorageFailedError | None) -> None:
        if error is None:
            self._log.write("storage.ready")
            return
        self._log.write("storage.failed", text=str(error))
        self._metrics.count("storage_failures")

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        if self._stopping:
            return
        self._stopping = True
        self._log.write("process.stopping")
        for server in self._process.servers:
            server.begin_closing()
            server.stop_accepting()
        self._loop.call_later(STOP_SECONDS, self._loop.stop)

    def _reload(self) -> None:
        self._log.write("settings.reloaded", note="seeds are read at the start only")

    # Other processes.

    def _deliver(self, sender: str, message: Any, connection: transports.Connection) -> None:
        match message:
            case _ if isinstance(message, node.CONSENSUS_MESSAGES):
                before = self._state.version
                self._node.handle(sender, message)
                self._check_reads()
                if self._state.version != before:
                    self._note_version()
            case messages.Subscribe():
                now = self._loop.now()
                entry = self._publisher.handle(connection, message, now)
                if entry:
                    self._directory.note_heard(entry, now)
                self._urgent = True
            case messages.ClusterUpdate():
                self._merge(message)
            case messages.DeclareRequest():
                self._handle_forwarded(message, connection)
            case messages.ReadRequest():
                self._answer_forwarded_read(message, connection)
            case messages.DeclareReply():
                self._finish_forwarded(message)
            case messages.ReadReply():
                self._finish_forwarded(message)

    def _merge(self, update: messages.ClusterUpdate) -> None:
        now = self._loop.now()
        before = self._registry.change
        for server in update.servers:
            self._registry.update_server(server, now, relayed=True)
        for entry in update.entries:
            self._registry.update_entry(entry, now, relayed=True)
        self._publisher.add_crashes(update.crashes, now)
        self._urgent = self._urgent or self._registry.change != before

    def _subscribe_to_peers(self) -> None:
        own = self._settings.control_inner
        message = messages.Subscribe(
            name=self._process.name, version=self._state.version, is_control=True, control=own
        )
        for host in self._node.hosts or self._settings.seed_hosts:
            if host != own:
                self._process.transport.send(host, message)

    def _publish_urgent(self) -> None:
        if self._urgent:
            self._publish()

    def _publish(self) -> None:
        self._urgent = False
        updates = self._publisher.make_updates(
            leads=self._node.is_leader,
            version=self._state.version,
            document=declared.pack(self._state.document),
            confirmed=self._node.has_leader_contact,
            controls=self._node.hosts,
            now=self._loop.now(),
        )
        for connection, update in updates:
            connection.send(update)

    def _note_version(self) -> None:
        self._log.write("declaration.committed", version=self._state.version)
        self._metrics.set("declaration_version", self._state.version)
        self._urgent = True

    def _tick(self) -> None:
        now = self._loop.now()
        before = self._state.version
        self._node.tick()
        if self._node.identity:
            self._process.transport.name = self._node.identity
        if self._state.version != before:
            self._note_version()
        self._check_reads()
        for number, pending in list(self._forwarded.items()):
            if now > pending.deadline:
                del self._forwarded[number]
                pending.failed(_no_quorum())
        for read in list(self._reads):
            if now > read.pending.deadline:
                self._reads.remove(read)
                read.pending.failed(_no_quorum())

    # Declarations.

    def _declare(self, call: dialects.Declare, pending: _Pending) -> None:
        """Have a declaration committed, here or by the leader."""
        if call.version <= self._state.version:
            # What is committed here is committed for good: the call changes nothing.
            pending.done(self._state.version)
            return
        if self._node.is_leader:
            payload = declared.encode(call.version, call.document)
            self._node.propose(
                declared.KIND_DECLARE,
                payload,
                lambda result: pending.done(result.version),
                pending.failed,
            )
            return
        request = messages.DeclareRequest(self._next_number(), call.version, call.document)
        self._forward(request, pending)

    def _read(self, pending: _Pending) -> None:
        """Have the leadership confirmed, here or by the leader, and answer with its state."""
        if self._node.is_leader:
            self._reads.append(_Read(self._node.request_read(), pending))
            self._check_reads()
            return
        self._forward(messages.ReadRequest(self._next_number()), pending)

    def _forward(
        self, request: messages.DeclareRequest | messages.ReadRequest, pending: _Pending
    ) -> None:
        leader = self._node.leader_host
        if not leader or leader == self._settings.control_inner:
            pending.failed(_no_quorum())
            return
        self._forwarded[request.request_id] = pending
        self._process.transport.send(leader, request)

    def _next_number(self) -> str:
        return f"{self._node.identity}/{next(self._numbers)}"

    def _check_reads(self) -> None:
        for read in list(self._reads):
            if self._node.confirms_read(read.asked_at):
                self._reads.remove(read)
                read.pending.done(None)

    def _handle_forwarded(
        self, request: messages.DeclareRequest, connection: transports.Connection
    ) -> None:
        def _done(version: int) -> None:
            connection.send(messages.DeclareReply(request.request_id, True, version))

        def _failed(error: errors.FlamingorampError) -> None:
            reply = messages.DeclareReply(
                request.request_id, False, self._state.version, error.code, str(error)
            )
            connection.send(reply)

        if not self._node.is_leader:
            _failed(_no_quorum())
            return
        call = dialects.Declare(request.version, request.document)
        self._declare(call, _Pending(self._deadline(), _done, _failed))

    def _answer_forwarded_read(
        self, request: messages.ReadRequest, connection: transports.Connection
    ) -> None:
        def _done(_result: None) -> None:
            state = self._state
            connection.send(
                messages.ReadReply(request.request_id, True, state.version, state.document)
            )

        def _failed(_error: errors.FlamingorampError) -> None:
            connection.send(messages.ReadReply(request.request_id, False))

        if not self._node.is_leader:
            _failed(_no_quorum())
            return
        self._read(_Pending(self._deadline(), _done, _failed))

    def _finish_forwarded(self, reply: messages.DeclareReply | messages.ReadReply) -> None:
        pending = self._forwarded.pop(reply.request_id, None)
        if pending is None:
            return
        match reply:
            case messages.DeclareReply(accepted=True):
                pending.done(reply.version)
            case messages.ReadReply(confirmed=True):
                pending.done(reply)
            case _:
                pending.failed(_no_quorum())

    def _deadline(self) -> float:
        return self._loop.now() + ANSWER_SECONDS

    # Calls from outside.

    def _handle_call(self, exchange: http_server.Exchange) -> None:
        try:
            call = self._dialect.decode_control_call(exchange.request)
            self._answer_call(call, exchange)
        except errors.FlamingorampError as error:
            self._metrics.count("calls_refused", code=error.code)
            self._log.write(
                "call.refused",
                method=exchange.request.method.decode("latin-1"),
                path=exchange.request.path,
                code=error.code,
                text=str(error),
            )
            exchange.answer(self._dialect.encode_error(error))

    def _handle_directory(self, exchange: http_server.Exchange) -> None:
        try:
            self._dialect.decode_directory_call(exchange.request)
            addresses = self._directory.addresses(self._loop.now())
        except errors.FlamingorampError as error:
            exchange.answer(self._dialect.encode_error(error))
            return
        seconds = self._settings.bounds.address_seconds
        exchange.answer(self._dialect.encode_directory(addresses, seconds))

    def _answer_call(self, call: dialects.ControlCall, exchange: http_server.Exchange) -> None:
        match call:
            case dialects.Announce(record):
                self._take_announcement(record)
                exchange.answer(self._dialect.encode_acknowledgement())
            case dialects.Withdraw(server):
                self._take_withdrawal(server)
                exchange.answer(self._dialect.encode_acknowledgement())
            case dialects.Declare(version, document):
                self._dialect.decode_declaration(document)
                self._answer_declare(call, exchange, version)
            case dialects.ReadDeclaration():
                self._answer_read(exchange)

    def _take_announcement(self, record: messages.ServerRecord) -> None:
        before = self._registry.find_server(record.server)
        changed = self._registry.update_server(record, self._loop.now())
        after = self._registry.find_server(record.server)
        self._metrics.count("announcements")
        if not changed or after is None:
            return
        is_new = before is None or (before.born, before.leaving) != (after.born, after.leaving)
        if is_new:
            self._urgent = True
            self._log.write(
                "server.announced",
                server=after.server,
                service=after.service,
                address=after.address,
                leaving=after.leaving,
                sequence=after.sequence,
            )

    def _take_withdrawal(self, server: str) -> None:
        record = self._registry.find_server(server)
        if record is None:
            record = messages.ServerRecord(server=server)
        gone = attrs.evolve(record, gone=True, leaving=True, sequence=record.sequence)
        if self._registry.update_server(gone, self._loop.now()):
            self._urgent = True
            self._log.write("server.withdrawn", server=server)

    def _answer_declare(
        self, call: dialects.Declare, exchange: http_server.Exchange, version: int
    ) -> None:
        def _done(in_force: int) -> None:
            self._log.write("declaration.acknowledged", version=version, in_force=in_force)
            self._publish()
            exchange.answer(self._dialect.encode_acknowledgement())

        self._declare(call, _Pending(self._deadline(), _done, self._failing(exchange)))

    def _answer_read(self, exchange: http_server.Exchange) -> None:
        def _done(reply: messages.ReadReply | None) -> None:
            document = reply.document if reply is not None else self._state.document
            version = reply.version if reply is not None else self._state.version
            self._log.write("declaration.read", version=version)
            if not document:
                exchange.answer(self._dialect.encode_error(_no_quorum()))
                return
            exchange.answer(self._dialect.encode_document(document))

        self._read(_Pending(self._deadline(), _done, self._failing(exchange)))

    def _failing(
        self, exchange: http_server.Exchange
    ) -> Callable[[errors.FlamingorampError], None]:
        def _failed(error: errors.FlamingorampError) -> None:
            self._log.write("call.failed", path=exchange.request.path, code=error.code)
            exchange.answer(self._dialect.encode_error(error))

        return _failed


def _no_quorum() -> errors.NotLeaderError:
    return errors.NotLeaderError(
        "no leader with a quorum answered; send it again", retry_after=RETRY_AFTER_SECONDS
    )
