"""Daemon of a control host that finds its cluster by seed addresses.

It replicates the operators' declaration, their evacuations of availability zones and the departures
of backend servers, receives announcements of servers, and publishes changes of all to the entries.
"""

from __future__ import annotations

import itertools
import pathlib
import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors, value_classes
from flamingoramp.consensus import effects, node, replica, storage
from flamingoramp.daemons import (
    departure_calls,
    node_process,
    operator_calls,
    server_records,
    start_steps,
)
from flamingoramp.http import exchanges
from flamingoramp.intent import coordinator_state, versioned_declaration
from flamingoramp.membership import entry_directory, registry, subscriptions
from flamingoramp.protocol import messages
from flamingoramp.runtime import listeners, node_settings, settings_watch, suspension
from flamingoramp.runtime import transport as transports

TICK_INTERVAL_SECONDS = 0.05
CHANGE_PUBLISH_INTERVAL_SECONDS = 0.02
# Updates are also published without a change: as heartbeats, and if the publisher delayed them.
PERIODIC_PUBLISH_INTERVAL_SECONDS = 0.25
PEER_SUBSCRIBE_INTERVAL_SECONDS = 0.5
EVICTION_INTERVAL_SECONDS = 5.0
SILENCE_CHECK_INTERVAL_SECONDS = 0.5
# A check that is later than this shows that the process was suspended and missed reports.
MAX_SILENCE_CHECK_GAP_SECONDS = 1.5
# A host that starts has the state of its last snapshot, which is not published before this time
# unless the leader confirms it. Hosts that start together elect a leader sooner.
UNCONFIRMED_STATE_DELAY_SECONDS = 4.0
# Announcements missed in a row after which a server counts as silent. Control hosts forward
# announcements to each other, so any of them may have received the last one.
MAX_MISSED_ANNOUNCEMENTS = 5
# A stopping daemon lives at least this long, in which the others take over from it, and then until
# the calls in progress are answered.
STOP_GRACE_SECONDS = 0.5
STOP_CHECK_INTERVAL_SECONDS = 0.05
# Time that a stopping daemon gives the others to remove it from the voters.
LEAVE_TIMEOUT_SECONDS = 2.0

REPLICA_TIMING = replica.Timing(
    heartbeat_seconds=0.12,
    election_min_seconds=0.45,
    election_max_seconds=0.9,
    uses_leases=False,
    announces_commits=True,
    missing_seeds_wait_seconds=3.0,
)


@attrs.define(eq=False, repr=False)
class _PendingRead(value_classes.MutableValue):
    """A read that waits until a quorum confirms this host as leader."""

    requested_at: float
    pending_call: operator_calls.PendingCall


@attrs.define(eq=False, repr=False)
class _ForwardedCall(value_classes.MutableValue):
    """A call that waits for the reply of the leader it was sent to."""

    leader: str
    pending_call: operator_calls.PendingCall


class Coordinator:
    """Control daemon of one host.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    dialect : dialects.Dialect
    settings_path : str
        File that the settings come from, which may change; empty for none.
    log_descriptor : int
        File descriptor that log lines are written to.
    opened : listeners.Listeners or None
        Listening sockets that the program has opened already.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        *,
        settings_path: str = "",
        log_descriptor: int = 1,
        opened: listeners.Listeners | None = None,
    ):
        self._settings = settings
        self._dialect = dialect
        self._replicated_state = coordinator_state.CoordinatorState()
        self._state = self._replicated_state.declaration
        self._recorded_version = 0
        self._recorded_evacuations = (0, ())
        self._registry = registry.Registry()
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._publisher = subscriptions.Publisher(self._registry, zone=settings.availability_zone)
        self._process = node_process.NodeProcess(
            settings,
            role="control",
            internal_address=settings.control_internal_address,
            deliver=self._handle_message,
            log_descriptor=log_descriptor,
            opened=opened,
        )
        self._log = self._process.log
        self._metrics = self._process.metrics
        self._loop = self._process.loop
        self._settings_watch = settings_watch.SettingsWatch(
            self._loop, settings_path, self._log, self._use_reloaded
        )
        self._request_numbers = itertools.count()
        self._forwarded_calls: dict[str, _ForwardedCall] = {}
        self._pending_reads: list[_PendingRead] = []
        self._silence_checks = suspension.SuspensionDetector(MAX_SILENCE_CHECK_GAP_SECONDS)
        self._publish_is_due = False
        self._publishes_state = False
        self._stopping_since: float | None = None
        self._node = self._make_node()
        if settings.data_folder:
            self._server_records = server_records.ServerRecords(
                self._loop,
                self._registry,
                settings.data_folder,
                departed=departure_calls.read_recovered(
                    self._node, self._replicated_state.departures
                ),
                log=self._log,
                metrics=self._metrics,
                wall_time=self._process.wall_time,
            )
        self._evacuation_calls = self._make_evacuation_calls()
        self._departure_calls = self._make_departure_calls()
        self._process.add_cleanup(self._node.close)
        self._process.transport.name = self._node.identity or settings.control_internal_address
        if settings.listen.operators:
            self._process.serve(
                settings.listen.operators, self._handle_control_call, answers_head=True
            )
        if settings.listen.directory:
            self._process.serve_bodiless(settings.listen.directory, self._handle_directory)
        self._loop.call_every(TICK_INTERVAL_SECONDS, self._tick)
        self._loop.call_every(CHANGE_PUBLISH_INTERVAL_SECONDS, self._publish_if_due)
        self._loop.call_every(PERIODIC_PUBLISH_INTERVAL_SECONDS, self._publish)
        self._loop.call_later(0.0, self._subscribe_to_peers)
        self._loop.call_every(PEER_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_to_peers)
        self._started_at = self._observed_since = self._loop.now()
        self._loop.call_every(SILENCE_CHECK_INTERVAL_SECONDS, self._mark_unreported)
        self._loop.call_every(
            EVICTION_INTERVAL_SECONDS, lambda: self._registry.remove_expired(self._loop.now())
        )

    @property
    def process(self) -> node_process.NodeProcess:
        """Event loop, transport, HTTP servers, log and metrics."""
        return self._process

    @property
    def node(self) -> node.Node:
        """Replica of the declaration log on this host."""
        return self._node

    @property
    def replicated_state(self) -> coordinator_state.CoordinatorState:
        """What the log of the control hosts has committed, as known to this host."""
        return self._replicated_state

    @property
    def registry(self) -> registry.Registry:
        """Backend servers and entries that were announced to any control host."""
        return self._registry

    def run(self) -> None:
        """Serve until a signal stops the process."""
        self._log.write(
            "process.started", role="control", host=self._settings.control_internal_address
        )
        self._process.run(on_stop=self.begin_stop, on_reload=self._settings_watch.reload)

    def _make_node(self) -> node.Node:
        settings = self._settings
        seeds = settings.seed_internal_addresses
        own_host = settings.control_internal_address
        if settings.data_folder:
            # The node opens it again after a failure, at the start, too.
            folder = pathlib.Path(settings.data_folder) / "replica"
            store = storage.Storage(folder, opens_on_use=True)
        else:
            store = storage.MemoryStorage()
        return node.Node(
            config=node.NodeConfig(own_host, seeds, settings.first_start and own_host in seeds),
            store=store,
            state_machine=self._replicated_state,
            send=lambda host, message: self._process.transport.send(host, message),
            on_leader_changed=self._record_leader_change,
            on_membership_changed=self._record_membership_change,
            on_cluster_changed=self._record_cluster_change,
            on_storage_status=self._record_storage_status,
            new_incarnation=self._process.new_incarnation,
            rng=random.SystemRandom(),
            now=self._loop.now,
            timing=REPLICA_TIMING,
        )

    def _make_evacuation_calls(self) -> operator_calls.EvacuationCalls:
        return operator_calls.EvacuationCalls(
            self._loop,
            node=self._node,
            state=self._replicated_state.evacuations,
            leadership=self,
            zones=self._settings.availability_zones,
            log=self._log,
            metrics=self._metrics,
            wall_time=self._process.wall_time,
        )

    def _make_departure_calls(self) -> departure_calls.DepartureCalls:
        return departure_calls.DepartureCalls(
            self._loop,
            node=self._node,
            state=self._replicated_state.departures,
            member_registry=self._registry,
            log=self._log,
            metrics=self._metrics,
        )

    def _record_leader_change(self, change: effects.LeaderChanged) -> None:
        self._log.write("leader.changed", leader=change.leader, term=change.term)
        if change.leader:
            self._process.start_steps.record(start_steps.Step.LEADER_KNOWN)
        self._metrics.count("leader_changes")
        self._publish_is_due = True
        # One that has lost its leadership may never reply.
        for request_id, forwarded in list(self._forwarded_calls.items()):
            if forwarded.leader != replica.host_of(change.leader):
                del self._forwarded_calls[request_id]
                forwarded.pending_call.on_error(operator_calls.unanswered_error())

    def _record_membership_change(self, change: effects.MembershipChanged) -> None:
        self._log.write(
            "membership.changed",
            index=change.index,
            replica=change.replica,
            reason=change.reason,
            voters=change.membership.voters,
            learners=change.membership.learners,
        )
        self._metrics.count("membership_changes", reason=change.reason)

    def _record_cluster_change(self, change: effects.ClusterChanged) -> None:
        voter_hosts = {replica.host_of(voter) for voter in change.voters}
        seeds = self._settings.seed_internal_addresses
        self._log.write(
            "cluster.changed",
            cluster=change.cluster,
            reason=change.reason,
            voters=change.voters,
            missing_seeds=[seed for seed in seeds if seed not in voter_hosts],
        )
        self._metrics.count("cluster_changes", reason=change.reason)

    def _record_storage_status(self, error: errors.StorageFailedError | None) -> None:
        if error is None:
            self._log.write("storage.ready")
            return
        self._log.write("storage.failed", text=str(error))
        self._metrics.count("storage_failures")

    def begin_stop(self) -> None:
        """Begin a planned stop: leave the cluster, accept no more calls, answer those read."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self._loop.now()
        self._log.write("process.stopping")
        self._node.begin_leave()
        for server in self._process.servers:
            server.begin_closing()
            server.stop_accepting()
        # Half of the time, since the platform kills a process that is still there at its end.
        deadline = self._stopping_since + self._settings.bounds.stop_seconds / 2
        leave_deadline = min(deadline, self._stopping_since + LEAVE_TIMEOUT_SECONDS)
        self._loop.call_later(
            STOP_GRACE_SECONDS, lambda: self._stop_once_done(deadline, leave_deadline)
        )

    def _stop_once_done(self, deadline: float, leave_deadline: float) -> None:
        """Stop the loop once all calls in progress are answered and the leader removed this host.

        At the deadlines, stop all the same. Calls wait for a leader for less than that.
        """
        now = self._loop.now()
        calls = sum(server.busy_count for server in self._process.servers)
        is_leaving = self._node.leave_status is replica.LeaveStatus.PENDING
        if (calls and now < deadline) or (is_leaving and now < leave_deadline):
            self._loop.call_later(
                STOP_CHECK_INTERVAL_SECONDS, lambda: self._stop_once_done(deadline, leave_deadline)
            )
            return
        status = self._node.leave_status.value
        self._metrics.count("leaves", status=status)
        self._log.write("process.left", status=status, seconds=round(now - self._stopping_since, 3))
        if calls:
            self._metrics.count("requests_given_up", calls)
            self._log.write("process.gave_up", requests=calls)
        self._loop.stop()

    def _use_reloaded(self, settings: node_settings.NodeSettings) -> None:
        self._settings = attrs.evolve(self._settings, seeds=settings.seeds)
        self._node.add_known_hosts(self._settings.seed_internal_addresses)

    # Messages from other processes.

    def _handle_message(self, sender: str, message: Any, connection: transports.Connection) -> None:
        match message:
            case _ if isinstance(message, node.CONSENSUS_MESSAGES):
                self._node.handle(sender, message)
                self._record_changes()
                self._complete_confirmed_reads()
            case messages.Subscribe():
                self._handle_subscription(connection, message)
            case messages.ClusterUpdate():
                self._merge_update(message)
            case messages.DeclareRequest():
                self._handle_forwarded_declaration(message, connection)
            case messages.ReadRequest():
                self._handle_forwarded_read(message, connection)
            case messages.EvacuationRequest():
                self._evacuation_calls.handle_request(message, connection.send)
            case messages.DeclareReply() | messages.ReadReply() | messages.EvacuationReply():
                self._complete_forwarded_call(message)

    def _handle_subscription(
        self, connection: transports.Connection, message: messages.Subscribe
    ) -> None:
        now = self._loop.now()
        change_number = self._registry.change_number
        if message.control and not self._process.transport.is_connected(message.control):
            # The peer has started, perhaps with servers that announced themselves there only.
            self._subscribe_to_peer(message.control)
        entry = self._publisher.handle(connection, message, now)
        if entry:
            self._directory.record_report(entry, now)
            self._registry.renew_entry(entry, now)
        has_news = message.crashes or self._registry.change_number != change_number
        if (
            has_news
            or self._publisher.awaits_update(connection)
            or self._publisher.lacks_version(connection)
        ):
            self._publish_is_due = True

    def _mark_unreported(self) -> None:
        """Mark servers and entries that are no longer reported to any control host."""
        now = self._loop.now()
        if self._silence_checks.observe(now) or not self._node.has_leader_contact:
            self._observed_since = now
            return
        marked = self._registry.mark_unreported(
            now,
            observed_since=self._observed_since,
            server_seconds=MAX_MISSED_ANNOUNCEMENTS
            * self._settings.bounds.announce_interval_seconds,
        )
        for record in marked:
            match record:
                case messages.ServerRecord():
                    self._log.write("server.silent", server=record.server, sequence=record.sequence)
                case messages.EntryRecord():
                    self._log.write("entry.gone", entry=record.entry, address=record.inner)
        self._publish_is_due = self._publish_is_due or bool(marked)

    def _merge_update(self, update: messages.ClusterUpdate) -> None:
        now = self._loop.now()
        previous_change_number = self._registry.change_number
        for server in update.servers:
            self._update_server(server, relayed=True)
        for entry in update.entries:
            self._registry.update_entry(entry, now, relayed=True)
        self._publisher.add_crashes(update.crashes, now)
        self._departure_calls.update()
        self._publish_is_due = (
            self._publish_is_due or self._registry.change_number != previous_change_number
        )

    def _update_server(self, record: messages.ServerRecord, *, relayed: bool = False) -> bool:
        """Merge a report of a server, which may be older than its departure."""
        amended = self._replicated_state.departures.amend(record)
        return self._registry.update_server(amended, self._loop.now(), relayed=relayed)

    def _subscribe_to_peers(self) -> None:
        for host in self._node.hosts or self._settings.seed_internal_addresses:
            if host != self._settings.control_internal_address:
                self._subscribe_to_peer(host)

    def _subscribe_to_peer(self, host: str) -> None:
        message = messages.Subscribe(
            name=self._process.name,
            version=self._state.version,
            is_control=True,
            control=self._settings.control_internal_address,
        )
        self._process.transport.send(host, message)

    def _publish_if_due(self) -> None:
        if self._publish_is_due:
            self._publish()

    def _publish(self) -> None:
        self._publish_is_due = False
        now = self._loop.now()
        # After a suspension, the last contact with the leader may have been long ago.
        confirmed = self._node.has_leader_contact and not self._evacuation_calls.was_suspended
        if confirmed or now - self._started_at > UNCONFIRMED_STATE_DELAY_SECONDS:
            self._publishes_state = True
        state = (
            self._replicated_state
            if self._publishes_state
            else coordinator_state.CoordinatorState()
        )
        updates = self._publisher.make_updates(
            version=state.declaration.version,
            document=state.declaration.compressed,
            confirmed=confirmed,
            evacuation_number=state.evacuations.number,
            evacuated_zones=state.evacuations.zones,
            controls=self._node.hosts,
            now=now,
        )
        for connection, update in updates:
            connection.send(update)
        self._record_sent_versions([update for _, update in updates])

    def _record_sent_versions(self, updates: list[messages.ClusterUpdate]) -> None:
        """Record how a version was sent: as whole documents or as differences."""
        documents = [update.document for update in updates if update.document]
        deltas = [delta for update in updates for delta in update.deltas]
        if not documents and not deltas:
            return
        delta_bytes = sum(len(delta.added) for delta in deltas)
        self._metrics.count("declaration_documents_sent", len(documents))
        self._metrics.count("declaration_deltas_sent", len(deltas))
        self._metrics.count("declaration_delta_bytes", delta_bytes)
        self._log.write(
            "declaration.sent",
            version=self._state.version,
            documents=len(documents),
            document_bytes=sum(map(len, documents)),
            deltas=len(deltas),
            delta_bytes=delta_bytes,
        )

    def _record_changes(self) -> None:
        """Log and publish what has changed in the replicated state."""
        self._publish_is_due = self._departure_calls.update() or self._publish_is_due
        evacuations = self._replicated_state.evacuations
        if self._state.version != self._recorded_version:
            self._recorded_version = self._state.version
            self._log.write("declaration.committed", version=self._state.version)
            self._metrics.set_gauge("declaration_version", self._state.version)
            self._publish_is_due = True
        number, zones = evacuations.number, evacuations.zones
        previous_number, previous_zones = self._recorded_evacuations
        self._recorded_evacuations = number, zones
        self._publish_is_due = self._publish_is_due or number != previous_number
        if zones != previous_zones:
            self._log.write(
                "evacuation.committed", zones=zones, previous=previous_zones, number=number
            )
            self._metrics.set_gauge("evacuated_zones", len(zones))

    def _tick(self) -> None:
        now = self._loop.now()
        self._node.tick()
        self._record_changes()
        if self._node.identity:
            self._process.transport.name = self._node.identity
        self._complete_confirmed_reads()
        for request_id, forwarded in list(self._forwarded_calls.items()):
            if now > forwarded.pending_call.deadline:
                del self._forwarded_calls[request_id]
                forwarded.pending_call.on_error(operator_calls.unanswered_error())
        for pending_read in list(self._pending_reads):
            if not self._node.is_leader or now > pending_read.pending_call.deadline:
                self._pending_reads.remove(pending_read)
                pending_read.pending_call.on_error(operator_calls.no_quorum_error())

    # Declarations.

    def _commit_declaration(
        self, call: dialects.SubmitDeclaration, pending_call: operator_calls.PendingCall
    ) -> None:
        """Commit a declaration if this host leads, else forward it to the leader.

        The document of the call may be compressed.
        """
        if call.version <= self._state.version:
            # Commits are final: a version that is not newer than the committed one changes nothing.
            pending_call.on_result(self._state.version)
            return
        compressed = versioned_declaration.compress(call.document)
        if self._node.is_leader:
            payload = versioned_declaration.encode(call.version, compressed)
            self._node.propose(
                versioned_declaration.KIND_DECLARE,
                payload,
                lambda result: pending_call.on_result(result.version),
                pending_call.on_error,
            )
            return
        self.forward_to_leader(
            lambda request_id: messages.DeclareRequest(request_id, call.version, compressed),
            pending_call,
        )

    def _read_declaration(self, pending_call: operator_calls.PendingCall) -> None:
        """Read the declaration: by a quorum if this host leads, else from the leader."""
        if self._node.is_leader:
            self._pending_reads.append(_PendingRead(self._node.request_read(), pending_call))
            self._complete_confirmed_reads()
            return
        self.forward_to_leader(
            lambda request_id: messages.ReadRequest(request_id, self._state.version), pending_call
        )

    def forward_to_leader(
        self, make_request: Callable[[str], Any], pending_call: operator_calls.PendingCall
    ) -> None:
        """Send the leader a request, made with an id; its reply is the result of the call."""
        if self._node.replica is None:
            pending_call.on_error(
                errors.NotReadyError(
                    "the disk of this host has failed; send it to another control host",
                    retry_after=operator_calls.RETRY_AFTER_SECONDS,
                )
            )
            return
        leader = self._node.leader_host
        if not leader or leader == self._settings.control_internal_address:
            pending_call.on_error(operator_calls.no_quorum_error())
            return
        request_id = f"{self._node.identity}/{next(self._request_numbers)}"
        self._forwarded_calls[request_id] = _ForwardedCall(leader, pending_call)
        self._process.transport.send(leader, make_request(request_id))

    def _complete_confirmed_reads(self) -> None:
        for pending_read in list(self._pending_reads):
            if self._node.confirms_read(pending_read.requested_at):
                self._pending_reads.remove(pending_read)
                pending_read.pending_call.on_result(None)

    def _handle_forwarded_declaration(
        self, request: messages.DeclareRequest, connection: transports.Connection
    ) -> None:
        def _on_result(version: int) -> None:
            connection.send(messages.DeclareReply(request.request_id, True, version))

        def _on_error(error: errors.FlamingorampError) -> None:
            reply = messages.DeclareReply(
                request.request_id, False, self._state.version, error.code, str(error)
            )
            connection.send(reply)

        if not self._node.is_leader:
            _on_error(operator_calls.no_quorum_error())
            return
        call = dialects.SubmitDeclaration(request.version, request.document)
        self._commit_declaration(
            call, operator_calls.PendingCall(self._answer_deadline(), _on_result, _on_error)
        )

    def _handle_forwarded_read(
        self, request: messages.ReadRequest, connection: transports.Connection
    ) -> None:
        def _on_result(_result: None) -> None:
            state = self._state
            document = state.compressed if state.version > request.known_version else b""
            connection.send(messages.ReadReply(request.request_id, True, state.version, document))

        def _on_error(_error: errors.FlamingorampError) -> None:
            connection.send(messages.ReadReply(request.request_id, False))

        if not self._node.is_leader:
            _on_error(operator_calls.no_quorum_error())
            return
        self._read_declaration(
            operator_calls.PendingCall(self._answer_deadline(), _on_result, _on_error)
        )

    def _complete_forwarded_call(
        self, reply: messages.DeclareReply | messages.ReadReply | messages.EvacuationReply
    ) -> None:
        forwarded = self._forwarded_calls.pop(reply.request_id, None)
        if forwarded is None:
            return
        pending_call = forwarded.pending_call
        match reply:
            case messages.DeclareReply(accepted=True):
                pending_call.on_result(reply.version)
            case messages.ReadReply(confirmed=True):
                pending_call.on_result(reply)
            case messages.EvacuationReply() if reply.accepted or reply.is_outdated:
                pending_call.on_result(reply)
            case messages.ReadReply():
                pending_call.on_error(operator_calls.no_quorum_error())
            case _:
                # It may have been lost with the leadership, or be in the log nevertheless.
                pending_call.on_error(operator_calls.unanswered_error())

    def _answer_deadline(self) -> float:
        return self._loop.now() + operator_calls.ANSWER_TIMEOUT_SECONDS

    # HTTP calls of operators, backend servers and callers.

    def _handle_control_call(self, exchange: exchanges.Exchange) -> None:
        try:
            call = self._dialect.decode_control_call(exchange.request)
            self._execute_or_end(call, exchange)
        except errors.InvariantViolationError:
            raise
        except errors.FlamingorampError as error:
            self._metrics.count("calls_refused", code=error.code)
            self._log.write(
                "call.refused",
                method=exchange.request.method.decode("latin-1"),
                path=exchange.request.path,
                code=error.code,
                text=str(error),
            )
            exchange.respond(self._dialect.encode_error(error))

    def _execute_or_end(self, call: dialects.ControlCall, exchange: exchanges.Exchange) -> None:
        """Execute a call; end the process at an unexpected error.

        The replicated state or the registry may be half changed then. A new start reads them from
        the disk.
        """
        try:
            self._execute_call(call, exchange)
        except errors.FlamingorampError:
            raise
        except Exception as error:
            raise errors.InvariantViolationError(f"unexpected error: {error!r}") from error

    def _handle_directory(self, exchange: exchanges.Exchange) -> None:
        try:
            caller_zone = self._dialect.decode_directory_call(exchange.request)
            addresses = self._directory.addresses(self._loop.now(), caller_zone=caller_zone)
        except errors.FlamingorampError as error:
            exchange.respond(self._dialect.encode_error(error))
            return
        seconds = self._settings.bounds.address_seconds
        exchange.respond(self._dialect.encode_directory(addresses, seconds))

    def _execute_call(self, call: dialects.ControlCall, exchange: exchanges.Exchange) -> None:
        match call:
            case dialects.AnnounceServer(record):
                self._handle_announcement(record)
                self._acknowledge(record.server, record.leaving, exchange)
            case dialects.WithdrawServer(server):
                self._handle_withdrawal(server)
                self._acknowledge(server, True, exchange)
            case dialects.SubmitDeclaration(version, document):
                self._dialect.decode_declaration(document)
                self._handle_declaration(call, exchange, version)
            case dialects.ReadDeclaration():
                self._handle_read(exchange)
            case dialects.EvacuateZone(zone):
                self._handle_zone_order(zone, True, exchange)
            case dialects.RestoreZone(zone):
                self._handle_zone_order(zone, False, exchange)

    def _handle_announcement(self, record: messages.ServerRecord) -> None:
        previous = self._registry.find_server(record.server)
        changed = self._update_server(record)
        current = self._registry.find_server(record.server)
        self._metrics.count("announcements")
        if not changed or current is None:
            return
        state_changed = previous is None or (previous.born, previous.leaving) != (
            current.born,
            current.leaving,
        )
        if state_changed:
            self._publish_is_due = True
            self._process.start_steps.record(start_steps.Step.SERVER_KNOWN)
            self._log.write(
                "server.announced",
                server=current.server,
                service=current.service,
                address=current.address,
                leaving=current.leaving,
                sequence=current.sequence,
            )

    def _handle_withdrawal(self, server: str) -> None:
        record = self._registry.find_server(server)
        if record is None:
            record = messages.ServerRecord(server=server)
        withdrawn = attrs.evolve(record, gone=True, leaving=True, sequence=record.sequence)
        if self._registry.update_server(withdrawn, self._loop.now()):
            self._publish_is_due = True
            self._log.write("server.withdrawn", server=server)

    def _acknowledge(self, server: str, is_departing: bool, exchange: exchanges.Exchange) -> None:
        """Acknowledge a server's call; one that tells of its departure once that is committed."""

        def _on_committed() -> None:
            exchange.respond(self._dialect.encode_acknowledgement())

        record = self._registry.find_server(server) if is_departing else None
        self._departure_calls.submit(
            record, on_committed=_on_committed, on_error=self._make_error_handler(exchange)
        )

    def _handle_declaration(
        self, call: dialects.SubmitDeclaration, exchange: exchanges.Exchange, version: int
    ) -> None:
        def _on_result(committed_version: int) -> None:
            self._log.write("declaration.acknowledged", version=version, in_force=committed_version)
            self._publish()
            exchange.respond(self._dialect.encode_acknowledgement())

        compressed = attrs.evolve(call, document=versioned_declaration.compress(call.document))
        self._repeat_call(
            exchange, lambda attempt: self._commit_declaration(compressed, attempt), _on_result
        )

    def _handle_read(self, exchange: exchanges.Exchange) -> None:
        def _on_result(reply: messages.ReadReply | None) -> None:
            # The leader omits a document that this host has; meanwhile it may have a newer one.
            has_reply_document = reply is not None and reply.document
            document = (
                versioned_declaration.expand(reply.document)
                if has_reply_document
                else self._state.document
            )
            version = reply.version if has_reply_document else self._state.version
            self._log.write("declaration.read", version=version)
            if not document:
                exchange.respond(self._dialect.encode_error(operator_calls.no_quorum_error()))
                return
            exchange.respond(self._dialect.encode_document(document))

        self._repeat_call(exchange, self._read_declaration, _on_result)

    def _repeat_call(
        self,
        exchange: exchanges.Exchange,
        submit: Callable[[operator_calls.PendingCall], None],
        on_result: Callable[[Any], None],
    ) -> None:
        """Submit an operator's call to the leader until one answers or the operator has gone."""

        def _submit_if_awaited(attempt: operator_calls.PendingCall) -> None:
            if not exchange.is_done:
                submit(attempt)

        call = operator_calls.PendingCall(
            self._answer_deadline(), on_result, self._make_error_handler(exchange)
        )
        operator_calls.RepeatedCall(self._loop, _submit_if_awaited, call).start()

    def _handle_zone_order(self, zone: str, evacuated: bool, exchange: exchanges.Exchange) -> None:
        def _on_result() -> None:
            self._publish()
            exchange.respond(self._dialect.encode_acknowledgement())

        self._evacuation_calls.submit(
            zone,
            evacuated=evacuated,
            exchange=exchange,
            on_result=_on_result,
            on_error=self._make_error_handler(exchange),
        )

    def _make_error_handler(
        self, exchange: exchanges.Exchange
    ) -> Callable[[errors.FlamingorampError], None]:
        def _on_error(error: errors.FlamingorampError) -> None:
            self._log.write("call.failed", path=exchange.request.path, code=error.code)
            exchange.respond(self._dialect.encode_error(error))

        return _on_error
