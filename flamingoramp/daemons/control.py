"""Control daemon: replicates the log, grants sessions to entries and serves operators over HTTP."""

from __future__ import annotations

import json
import pathlib
import random
import time
import uuid
from collections.abc import Callable
from concurrent import futures
from typing import Any

import attrs
import werkzeug

from flamingoramp import errors
from flamingoramp.consensus import driver, effects, node, replica, storage
from flamingoramp.daemons import process, zone_orders
from flamingoramp.dispatch import claims
from flamingoramp.intent import changes, cluster_time, commands, declarations, state
from flamingoramp.membership import session_table
from flamingoramp.protocol import messages, shard_messages
from flamingoramp.runtime import http_server, transport
from flamingoramp.runtime import settings as settings_module

TICK_INTERVAL_SECONDS = 0.02
SHARD_ASSIGNMENT_INTERVAL_SECONDS = 0.2
PLAN_LIFETIME_SECONDS = 3600.0
TIME_ENTRY_INTERVAL_SECONDS = 60.0
COMPACTION_THRESHOLD_ENTRIES = 5000
COMMIT_TIMEOUT_SECONDS = 8.0
IN_FORCE_TIMEOUT_SECONDS = 8.0
IN_FORCE_POLL_INTERVAL_SECONDS = 0.05


@attrs.frozen
class _Proposal:
    """Term and callbacks of a proposed command that is not committed yet."""

    term: int
    on_committed: Callable[[Any], None]
    on_failed: Callable[[errors.FlamingorampError], None]


class Control:
    """Control daemon of one host: one replica of the replicated state.

    The leading replica grants leases to entries, assigns shards to them, and records claims and
    crash reports.

    Parameters
    ----------
    settings : settings_module.Settings
    host : settings_module.HostSettings
    make_process : callable
        Builds the `process.Process`; tests pass one without sockets.
    store : storage.Storage or storage.MemoryStorage, optional
        By default, files in the host's data folder, or memory if the host has none.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        host: settings_module.HostSettings,
        *,
        make_process: Callable[..., Any] = process.Process,
        store: storage.Storage | storage.MemoryStorage | None = None,
    ):
        self._settings = settings
        self._host = host
        limits = settings.limits
        self._state = state.ReplicatedState(
            claims.ClaimLimits(
                limits.max_claims,
                limits.claim_retention_seconds,
                settings.timing.clock_error_seconds,
            )
        )
        self._sessions = session_table.SessionTable(
            lease_seconds=settings.timing.session_lease_seconds,
            clock_rate_bound=settings.timing.clock_rate_bound,
        )
        self._ownership_table = session_table.ClusterTable()
        self._draining_entries: set[str] = set()
        self._proposals: dict[int, _Proposal] = {}
        self._assignment_pending = False
        self._cluster_clock = cluster_time.ClusterClock()
        self._replica_addresses = {
            control_host.name: control_host.control_internal_address
            for control_host in settings.control_hosts
        }
        self._store = store or self._open_storage()
        self._process = make_process(
            name=f"control-{host.name}",
            settings=settings,
            internal_address=host.control_internal_address,
            http_address=f"{host.address}:{host.control_port}",
            deliver=self._handle_message,
            respond=self._respond,
        )
        self._replica = self._make_replica()
        # Replicas tell incarnations of a sender apart by its identity, so messages carry that
        # instead of the process name.
        self._process.transport.name = self._replica.identity
        self._driver = driver.Driver(
            store=self._store,
            send=self._send_to_replica,
            load=lambda snapshot: self._state.load(snapshot.data),
            apply=self._apply,
            on_leader_changed=self._handle_leader_changed,
            on_membership_changed=self._record_membership_change,
            on_cluster_changed=self._record_cluster_change,
        )
        loop = self._process.loop
        loop.call_every(TICK_INTERVAL_SECONDS, self._tick)
        loop.call_every(SHARD_ASSIGNMENT_INTERVAL_SECONDS, self._assign_shards)
        loop.call_every(TIME_ENTRY_INTERVAL_SECONDS, self._propose_time_entry)

    @property
    def replica(self) -> replica.Replica:
        """Consensus replica of this host."""
        return self._replica

    @property
    def state(self) -> state.ReplicatedState:
        """Replicated state up to the last entry applied on this replica."""
        return self._state

    @property
    def sessions(self) -> session_table.SessionTable:
        """Sessions of entries; only meaningful while this replica leads."""
        return self._sessions

    @property
    def process(self) -> process.Process:
        """Loop, transport, metrics and time line of this daemon."""
        return self._process

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then close the storage."""
        self._process.run(self._process.loop.stop)
        self._store.close()

    def _open_storage(self) -> storage.Storage | storage.MemoryStorage:
        if not self._host.data_folder:
            return storage.MemoryStorage()
        return storage.Storage(pathlib.Path(self._host.data_folder))

    def _make_replica(self) -> replica.Replica:
        timing = self._settings.timing
        identity = self._store.load_identity(self._host.name, self._process.new_incarnation())
        recovered = self._store.recover()
        self._state.load(recovered.snapshot.data)
        seed = self._settings.seed
        rng = random.Random(f"{seed}/{self._host.name}") if seed else random.SystemRandom()
        return replica.Replica(
            identity=identity,
            seed_hosts=tuple(self._replica_addresses),
            recovered=recovered,
            rng=rng,
            now=self._process.loop.now(),
            timing=replica.Timing(
                heartbeat_seconds=timing.replica_heartbeat_seconds,
                election_min_seconds=timing.election_min_seconds,
                election_max_seconds=timing.election_max_seconds,
                clock_rate_bound=timing.clock_rate_bound,
            ),
        )

    # Messages from other processes.

    def _handle_message(self, sender: str, message: Any, connection: transport.Connection) -> None:
        now = self._process.loop.now()
        match message:
            case shard_messages.SessionHeartbeat():
                connection.send(self._answer_heartbeat(message, now))
            case shard_messages.ClaimRequest():
                self._handle_claim(message, connection)
            case shard_messages.ClaimSettle():
                self._handle_claim_result(message, connection)
            case shard_messages.SuspectReport():
                self._handle_suspect_report(message, connection)
            case _ if isinstance(message, node.CONSENSUS_MESSAGES):
                self._apply_effects(self._replica.handle(sender, message, now))

    def _send_to_replica(self, host: str, message: Any) -> None:
        if host in self._replica_addresses:
            self._process.transport.send(self._replica_addresses[host], message)

    def _tick(self) -> None:
        self._apply_effects(self._replica.tick(self._process.loop.now()))
        if len(self._replica.log.entries) > COMPACTION_THRESHOLD_ENTRIES:
            self._apply_effects(self._replica.compact(self._state.dump()))

    def _apply_effects(self, batch: list[Any]) -> None:
        try:
            self._driver.execute(batch)
        except errors.StorageFailedError as error:
            # Votes and acknowledgements that are not on disk must not be sent: stop at once.
            self._process.logger.error("storage failed", exc_info=error)
            self._process.loop.stop()
            raise

    def _apply(self, entry: messages.LogEntry) -> None:
        command = commands.decode(entry.kind, entry.payload)
        result = self._state.apply(command) if command is not None else None
        if isinstance(command, commands.ConfirmPlan):
            revision = self._state.revision
            self._process.log_change("intent.committed", revision=revision)
        elif isinstance(command, commands.OrderZone):
            self._process.log_change("evacuation.committed", zones=result)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.on_committed(result)
        else:
            proposal.on_failed(errors.NotLeaderError("leadership was lost; send it again"))

    def _record_membership_change(self, change: effects.MembershipChanged) -> None:
        self._process.log_change(
            "membership.changed",
            index=change.index,
            replica=change.replica,
            reason=change.reason,
            voters=change.membership.voters,
            learners=change.membership.learners,
        )

    def _record_cluster_change(self, change: effects.ClusterChanged) -> None:
        self._process.log_change(
            "cluster.changed", cluster=change.cluster, reason=change.reason, voters=change.voters
        )

    def _handle_leader_changed(self, change: effects.LeaderChanged) -> None:
        self._process.log_change("leader.changed", leader=change.leader, term=change.term)
        if change.is_leader:
            now = self._process.loop.now()
            self._sessions.start_term(now)
            self._cluster_clock.start(now)
            return
        pending = list(self._proposals.values())
        self._proposals.clear()
        for proposal in pending:
            proposal.on_failed(
                errors.NotLeaderError(
                    "leadership was lost; send it again with the same operation id",
                    outcome=errors.Outcome.OUTCOME_UNKNOWN,
                )
            )

    def propose(
        self,
        command: Any,
        on_committed: Callable[[Any], None],
        on_failed: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Propose a command to the log.

        Parameters
        ----------
        command : object
            One of the commands of `flamingoramp.intent.commands`.
        on_committed : callable
            Takes the result of applying the command, once it is committed.
        on_failed : callable
            Takes the error if this replica doesn't lead, or lost its leadership before the commit.
        """
        kind, payload = commands.encode(command)
        now = self._process.loop.now()
        try:
            if not self._replica.holds_lease(now):
                raise errors.NotLeaderError("this replica doesn't lead", retry_after=0.2)
            index, batch = self._replica.propose(kind, payload, now)
        except errors.NotLeaderError as error:
            on_failed(error)
            return
        self._proposals[index] = _Proposal(self._replica.term, on_committed, on_failed)
        self._apply_effects(batch)

    def _cluster_time(self) -> float:
        now = self._process.loop.now()
        if not self._replica.holds_lease(now):
            # Entries of earlier terms may not be applied yet, so the state's time may lag behind
            # times that earlier leaders used; the clock must not be read against it.
            return self._state.time
        wall_time = self._process.wall_time()
        return self._cluster_clock.read(wall_time, now, applied_time=self._state.time)

    def _propose_time_entry(self) -> None:
        """Propose an empty assignment, so that cluster time advances in an otherwise idle log."""
        if self._replica.holds_lease(self._process.loop.now()):
            time_entry = commands.AssignShards((), self._cluster_time())
            self.propose(time_entry, lambda _owners: None, lambda _error: None)

    # Sessions of entries.

    def _answer_heartbeat(
        self, heartbeat: shard_messages.SessionHeartbeat, now: float
    ) -> shard_messages.SessionGrant:
        if not self._replica.holds_lease(now):
            return shard_messages.SessionGrant(
                sent_at=heartbeat.sent_at, granted=False, leader=self._replica.leader
            )
        self._sessions.handle(heartbeat, now)
        has_current_revision = heartbeat.revision == self._state.revision
        suspects = self._state.suspects
        has_current_suspects = heartbeat.quarantine_version == suspects.version
        has_current_table = heartbeat.table_version == self._ownership_table.version
        return shard_messages.SessionGrant(
            sent_at=heartbeat.sent_at,
            granted=True,
            leader=self._replica.identity,
            term=self._replica.term,
            revision=self._state.revision,
            document="" if has_current_revision else self._state.document,
            lease_seconds=self._settings.timing.session_lease_seconds,
            table_version=self._ownership_table.version,
            shards=() if has_current_table else self._ownership_table.shards,
            entries=() if has_current_table else self._ownership_table.entries,
            partial_entries=self._ownership_table.is_partial,
            evacuated_zones=self._state.evacuated_zones,
            quarantine_version=suspects.version,
            suspects=() if has_current_suspects else suspects.list_suspects(),
            drain=f"{heartbeat.entry}#{heartbeat.incarnation}" in self._draining_entries,
        )

    def _refresh_ownership_table(self) -> None:
        """Rebuild the table that is sent in answers to heartbeats; many of them share one build."""
        owners = tuple(self._state.owners.values())
        now = self._process.loop.now()
        self._ownership_table = session_table.make_cluster_table(
            owners, self._sessions.addresses(now), is_partial=self._sessions.is_partial(now)
        )

    def _assign_shards(self) -> None:
        now = self._process.loop.now()
        self._refresh_ownership_table()
        if self._assignment_pending or not self._replica.holds_lease(now):
            return
        shards = self._state.declaration.shard_names
        owners = self._sessions.choose_owners(shards, self._state.owners, now)
        if not owners:
            return
        self._assignment_pending = True
        self.propose(
            commands.AssignShards(owners, self._cluster_time()),
            on_committed=lambda _owners: self._handle_assignment_end(owners),
            on_failed=lambda _error: self._handle_assignment_end(()),
        )

    def _handle_assignment_end(self, owners: tuple[tuple[str, str, str], ...]) -> None:
        self._assignment_pending = False
        for shard, owner, _ in owners:
            self._process.log_change("shard.assigned", shard=shard, owner=owner)
        self._refresh_ownership_table()

    # Claims and crash suspects.

    def _handle_claim(
        self, request: shard_messages.ClaimRequest, connection: transport.Connection
    ) -> None:
        now = self._cluster_time()

        def _send_reply(result: claims.ClaimResult) -> None:
            claim = result.claim
            has_response = claim is not None and claim.outcome == "done"
            status = result.status
            if status is claims.ClaimStatus.RECORDED and not has_response:
                status = claims.ClaimStatus.UNKNOWN
            connection.send(
                shard_messages.ClaimReply(
                    request.request_id,
                    status.value,
                    claim.http_status if has_response else 0,
                    claim.body if has_response else "",
                )
            )

        command = commands.MakeClaim(
            request_id=request.request_id,
            workspace=request.workspace,
            key=request.key,
            fingerprint=request.fingerprint,
            entry=request.entry,
            deadline=now + request.remaining,
            now=now,
        )
        self.propose(command, _send_reply, lambda _error: None)  # the entry resends its claim

    def _handle_claim_result(
        self, result: shard_messages.ClaimSettle, connection: transport.Connection
    ) -> None:
        command = commands.SettleClaim(
            request_id=result.request_id,
            workspace=result.workspace,
            key=result.key,
            outcome=result.outcome,
            http_status=result.http_status,
            body=result.body,
            now=self._cluster_time(),
        )
        acknowledgement = shard_messages.Settled(f"claim/{result.request_id}")
        self.propose(command, lambda _result: connection.send(acknowledgement), lambda _error: None)

    def _handle_suspect_report(
        self, report: shard_messages.SuspectReport, connection: transport.Connection
    ) -> None:
        command = commands.RecordCrash(
            report.report_id,
            report.service,
            report.fingerprints,
            report.lonely,
            report.cleared,
            self._cluster_time(),
        )

        def _acknowledge(version: int) -> None:
            connection.send(shard_messages.Settled(f"suspects/{report.report_id}", version))

        self.propose(command, _acknowledge, lambda _error: None)

    # Operators.

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        match (request.method, request.path):
            case ("GET", "/readyz"):
                return self._respond_ready()
            case ("GET", "/v1/status"):
                return http_server.json_response(self._process.call_in_loop(self._describe_status))
            case ("POST", "/v1/plan"):
                return self._respond_plan(request)
            case ("POST", "/v1/confirm"):
                return self._respond_confirm(request)
            case ("POST", "/v1/drain"):
                return self._respond_drain(request)
            case (_, zone_orders.PATH):
                return zone_orders.respond(request, self, self._settings)
        raise errors.UnknownModelError(f"no such path: {request.method} {request.path}")

    def _respond_ready(self) -> werkzeug.Response:
        ready = bool(self._replica.leader)
        return http_server.json_response({"ready": ready}, status=200 if ready else 503)

    def _describe_status(self) -> dict[str, Any]:
        now = self._process.loop.now()
        membership = self._replica.membership
        status = {
            "host": self._host.name,
            "replica": self._replica.identity,
            "leads": self._replica.holds_lease(now),
            "leader": self._replica.leader,
            "leader_url": self._leader_url(),
            "term": self._replica.term,
            "commit_index": self._replica.commit_index,
            "log_bytes": self._store.log_bytes,
            "voters": list(membership.voters),
            "learners": list(membership.learners),
            "revision": self._state.revision,
            "evacuated_zones": list(self._state.evacuated_zones),
            "claims": len(self._state.claims),
            "suspects": len(self._state.suspects.list_suspects()),
            "entries": [],
            "shards": [attrs.asdict(owner) for owner in self._state.owners.values()],
            "document": json.loads(self._state.document),
        }
        if status["leads"]:
            status["entries"] = [
                {
                    "name": session.heartbeat.entry,
                    "revision": session.heartbeat.revision,
                    "streams": session.heartbeat.streams,
                    "leaving": session.heartbeat.leaving,
                    "url": session.heartbeat.url,
                }
                for session in self._sessions.live_sessions(now)
            ]
            status["in_force"] = self._sessions.is_in_force(self._state.revision, now)
        return status

    def _leader_url(self) -> str:
        host = replica.host_of(self._replica.leader)
        matches = [
            control_host
            for control_host in self._settings.control_hosts
            if control_host.name == host
        ]
        return matches[0].control_url if matches else ""

    def _respond_plan(self, request: werkzeug.Request) -> werkzeug.Response:
        declaration = declarations.parse(request.get_data(as_text=True), "declaration")
        document = declarations.render(declaration)
        base_revision, current_declaration = self._process.call_in_loop(
            self._read_current_declaration
        )
        differences = changes.compare(current_declaration, declaration)
        now = self.read_cluster_time()
        plan = commands.StorePlan(
            plan_id=uuid.uuid4().hex[:12],
            base_revision=base_revision,
            document=document,
            expires=now + PLAN_LIFETIME_SECONDS,
            now=now,
        )
        self.commit_and_wait(plan)
        return http_server.json_response(
            {
                "plan": plan.plan_id,
                "base_revision": base_revision,
                "changes": [attrs.asdict(change) for change in differences],
                "expires_in_seconds": PLAN_LIFETIME_SECONDS,
            }
        )

    def _read_current_declaration(self) -> tuple[int, declarations.Declaration]:
        if not self._replica.holds_lease(self._process.loop.now()):
            raise errors.NotLeaderError(
                self._leader_url() or "no leader; ask again", retry_after=0.5
            )
        return self._state.revision, self._state.declaration

    def _respond_confirm(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        if not isinstance(body, dict) or not isinstance(body.get("plan"), str):
            raise errors.BadRequestError("plan: takes the id that a plan returned")
        operation_id = body.get("operation_id") or f"confirm/{body['plan']}"
        if not isinstance(operation_id, str):
            raise errors.BadRequestError("operation_id: takes a text")
        now = self.read_cluster_time()
        command = commands.ConfirmPlan(body["plan"], operation_id, now)
        result: state.ConfirmResult = self.commit_and_wait(command)
        if result.error:
            raise errors.error_from_code(
                result.error,
                f"the current revision is {result.revision}; make a new plan",
            )
        in_force, waiting_for = self._wait_in_force(result.revision)
        return http_server.json_response(
            {
                "revision": result.revision,
                "accepted": True,
                "in_force": in_force,
                "waiting_for": waiting_for,
            }
        )

    def _wait_in_force(self, revision: int) -> tuple[bool, list[str]]:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            in_force, waiting_for = self._process.call_in_loop(
                lambda: self._check_in_force(revision)
            )
            if in_force or time.monotonic() > deadline:
                return in_force, waiting_for
            time.sleep(IN_FORCE_POLL_INTERVAL_SECONDS)

    def _check_in_force(self, revision: int) -> tuple[bool, list[str]]:
        now = self._process.loop.now()
        if not self._replica.holds_lease(now):
            return False, []
        return self._sessions.is_in_force(revision, now), self._sessions.outdated_entries(
            revision, now
        )

    def read_evacuated_zones(self) -> tuple[str, ...]:
        """Return the evacuated zones, for an HTTP thread, if this replica leads."""
        self._process.call_in_loop(self._read_current_declaration)
        return self._state.evacuated_zones

    def read_cluster_time(self) -> float:
        """Return the cluster time in seconds, for an HTTP thread."""
        return self._process.call_in_loop(self._cluster_time)

    def _respond_drain(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        if not isinstance(body, dict) or not isinstance(body.get("entry"), str):
            raise errors.BadRequestError("entry: takes the name of an entry's host")
        return http_server.json_response(
            self._process.call_in_loop(lambda: self._begin_drain(body["entry"]))
        )

    def _begin_drain(self, entry: str) -> dict[str, Any]:
        self._read_current_declaration()
        live_sessions = self._sessions.live_sessions(self._process.loop.now())
        matches = [session for session in live_sessions if session.heartbeat.entry == entry]
        if not matches:
            live_names = ", ".join(sorted(session.heartbeat.entry for session in live_sessions))
            raise errors.BadRequestError(f"entry: found {entry!r}, takes one of {live_names}")
        self._draining_entries.add(matches[0].identity)
        self._process.log_change("entry.draining", entry=entry)
        return {"entry": entry, "draining": True, "streams": matches[0].heartbeat.streams}

    def commit_and_wait(self, command: Any) -> Any:
        """Propose a command from an HTTP thread and return its result.

        Raises
        ------
        flamingoramp.errors.NotLeaderError
            This replica doesn't lead, or no quorum committed the command in time.
        """
        future: futures.Future = futures.Future()

        def _propose() -> None:
            self.propose(command, future.set_result, future.set_exception)

        self._process.loop.post(_propose)
        try:
            return future.result(COMMIT_TIMEOUT_SECONDS)
        except futures.TimeoutError as error:
            raise errors.NotLeaderError(
                "no quorum answered in time; send it again with the same operation id",
                outcome=errors.Outcome.OUTCOME_UNKNOWN,
                retry_after=1.0,
            ) from error
