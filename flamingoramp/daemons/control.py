"""The control daemon: a replica of the log, sessions of entries, operators' HTTP."""

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
from flamingoramp.daemons import process
from flamingoramp.dispatch import claims
from flamingoramp.intent import changes, cluster_time, commands, declarations, state
from flamingoramp.membership import session_table
from flamingoramp.protocol import messages
from flamingoramp.runtime import http_server
from flamingoramp.runtime import settings as settings_module
from flamingoramp.runtime import transport as transports

TICK_SECONDS = 0.02
OWNER_CHECK_SECONDS = 0.2
PLAN_LIFETIME_SECONDS = 3600.0
TIME_MARK_SECONDS = 60.0
SNAPSHOT_ENTRIES = 5000
COMMIT_TIMEOUT_SECONDS = 8.0
IN_FORCE_TIMEOUT_SECONDS = 8.0
POLL_SECONDS = 0.05


@attrs.frozen
class _Proposal:
    """A command that waits for its commit."""

    term: int
    done: Callable[[Any], None]
    failed: Callable[[errors.FlamingorampError], None]


class Control:
    """One control daemon.

    Parameters
    ----------
    settings : settings_module.Settings
    host : settings_module.HostSettings
    make_process : callable
        Builds what `process.Process` does; tests give another.
    store : storage.Storage or storage.MemoryStorage, optional
        Taken from the host's data folder by default.
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
        self._table = session_table.ClusterTable()
        self._draining: set[str] = set()
        self._proposals: dict[int, _Proposal] = {}
        self._assigning = False
        self._clock = cluster_time.ClusterClock()
        self._inner = {one.name: one.control_inner for one in settings.control_hosts}
        self._store = store or self._open_storage()
        self._process = make_process(
            name=f"control-{host.name}",
            settings=settings,
            inner=host.control_inner,
            listen=f"{host.address}:{host.control_port}",
            deliver=self._deliver,
            respond=self._respond,
        )
        self._replica = self._make_replica()
        # Messages of a replica carry its identity, which names its incarnation.
        self._process.transport.name = self._replica.identity
        self._driver = driver.Driver(
            store=self._store,
            send=self._send,
            load=lambda snapshot: self._state.load(snapshot.data),
            apply=self._apply,
            leader_changed=self._handle_leader_changed,
        )
        loop = self._process.loop
        loop.call_every(TICK_SECONDS, self._tick)
        loop.call_every(OWNER_CHECK_SECONDS, self._assign_shards)
        loop.call_every(TIME_MARK_SECONDS, self._mark_time)

    @property
    def replica(self) -> replica.Replica:
        """The replica of the log."""
        return self._replica

    @property
    def state(self) -> state.ReplicatedState:
        """The replicated state as applied here."""
        return self._state

    @property
    def sessions(self) -> session_table.SessionTable:
        """Sessions of entries, if this replica leads."""
        return self._sessions

    @property
    def process(self) -> process.Process:
        """The daemon's parts."""
        return self._process

    def run(self) -> None:
        """Serve until told to stop."""
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
            hosts=tuple(self._inner),
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

    # Messages of other processes.

    def _deliver(self, sender: str, message: Any, connection: transports.Connection) -> None:
        now = self._process.loop.now()
        match message:
            case messages.SessionHeartbeat():
                connection.send(self._answer_heartbeat(message, now))
            case messages.ClaimRequest():
                self._handle_claim(message, connection)
            case messages.ClaimSettle():
                self._handle_settle(message, connection)
            case messages.SuspectReport():
                self._handle_suspects(message, connection)
            case _ if isinstance(message, node.CONSENSUS_MESSAGES):
                self._carry_out(self._replica.handle(sender, message, now))

    def _send(self, host: str, message: Any) -> None:
        if host in self._inner:
            self._process.transport.send(self._inner[host], message)

    def _tick(self) -> None:
        self._carry_out(self._replica.tick(self._process.loop.now()))
        if len(self._replica.log.entries) > SNAPSHOT_ENTRIES:
            self._carry_out(self._replica.compact(self._state.dump()))

    def _carry_out(self, batch: list[Any]) -> None:
        try:
            self._driver.carry_out(batch)
        except errors.StorageFailedError as error:
            # Promises that can't be kept must not be made: stop at once.
            self._process.logger.error("storage failed", exc_info=error)
            self._process.loop.stop()
            raise

    def _apply(self, entry: messages.LogEntry) -> None:
        command = commands.decode(entry.kind, entry.payload)
        result = self._state.apply(command) if command is not None else None
        if isinstance(command, commands.ConfirmPlan):
            revision = self._state.revision
            self._process.log_change("intent.committed", revision=revision)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.done(result)
        else:
            proposal.failed(errors.NotLeaderError("leadership was lost; send it again"))

    def _handle_leader_changed(self, change: effects.LeaderChanged) -> None:
        self._process.log_change("leader.changed", leader=change.leader, term=change.term)
        if change.leads:
            now = self._process.loop.now()
            self._sessions.start_term(now)
            self._clock.start(now)
            return
        pending = list(self._proposals.values())
        self._proposals.clear()
        for proposal in pending:
            proposal.failed(
                errors.NotLeaderError(
                    "leadership was lost; send it again with the same operation id",
                    outcome=errors.Outcome.OUTCOME_UNKNOWN,
                )
            )

    def propose(
        self,
        command: Any,
        done: Callable[[Any], None],
        failed: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Propose a command and call back with its result once it is committed."""
        kind, payload = commands.encode(command)
        now = self._process.loop.now()
        try:
            if not self._replica.holds_lease(now):
                raise errors.NotLeaderError("this replica doesn't lead", retry_after=0.2)
            index, batch = self._replica.propose(kind, payload, now)
        except errors.NotLeaderError as error:
            failed(error)
            return
        self._proposals[index] = _Proposal(self._replica.term, done, failed)
        self._carry_out(batch)

    def _cluster_time(self) -> float:
        now = self._process.loop.now()
        if not self._replica.holds_lease(now):
            # Entries of earlier terms may not be applied yet: the state doesn't tell the time.
            return self._state.time
        wall_time = self._process.wall_time()
        return self._clock.read(wall_time, now, applied_time=self._state.time)

    def _mark_time(self) -> None:
        """Let the log carry the time on while nothing else is proposed."""
        if self._replica.holds_lease(self._process.loop.now()):
            mark = commands.AssignShards((), self._cluster_time())
            self.propose(mark, lambda _owners: None, lambda _error: None)

    # Sessions of entries.

    def _answer_heartbeat(
        self, heartbeat: messages.SessionHeartbeat, now: float
    ) -> messages.SessionGrant:
        if not self._replica.holds_lease(now):
            return messages.SessionGrant(
                sent_at=heartbeat.sent_at, granted=False, leader=self._replica.leader
            )
        self._sessions.handle(heartbeat, now)
        known = heartbeat.revision == self._state.revision
        suspects = self._state.suspects
        same_suspects = heartbeat.quarantine_version == suspects.version
        same_table = heartbeat.table_version == self._table.version
        return messages.SessionGrant(
            sent_at=heartbeat.sent_at,
            granted=True,
            leader=self._replica.identity,
            term=self._replica.term,
            revision=self._state.revision,
            document="" if known else self._state.document,
            lease_seconds=self._settings.timing.session_lease_seconds,
            table_version=self._table.version,
            shards=() if same_table else self._table.shards,
            entries=() if same_table else self._table.entries,
            quarantine_version=suspects.version,
            suspects=() if same_suspects else suspects.list_suspects(),
            drain=f"{heartbeat.entry}#{heartbeat.incarnation}" in self._draining,
        )

    def _refresh_table(self) -> None:
        """Make the table anew, at most once for many heartbeats."""
        owners = tuple(self._state.owners.values())
        entries = self._sessions.addresses(self._process.loop.now())
        self._table = session_table.make_cluster_table(owners, entries)

    def _assign_shards(self) -> None:
        now = self._process.loop.now()
        self._refresh_table()
        if self._assigning or not self._replica.holds_lease(now):
            return
        shards = self._state.declaration.shard_names
        owners = self._sessions.choose_owners(shards, self._state.owners, now)
        if not owners:
            return
        self._assigning = True
        self.propose(
            commands.AssignShards(owners, self._cluster_time()),
            done=lambda _owners: self._handle_assigned(owners),
            failed=lambda _error: self._handle_assigned(()),
        )

    def _handle_assigned(self, owners: tuple[tuple[str, str, str], ...]) -> None:
        self._assigning = False
        for shard, owner, _ in owners:
            self._process.log_change("shard.assigned", shard=shard, owner=owner)
        self._refresh_table()

    # Claims and suspects.

    def _handle_claim(
        self, request: messages.ClaimRequest, connection: transports.Connection
    ) -> None:
        now = self._cluster_time()

        def _done(result: claims.ClaimResult) -> None:
            claim = result.claim
            recorded = claim is not None and claim.outcome == "done"
            status = result.status
            if status is claims.ClaimStatus.RECORDED and not recorded:
                status = claims.ClaimStatus.UNKNOWN
            connection.send(
                messages.ClaimReply(
                    request.request_id,
                    status.value,
                    claim.http_status if recorded else 0,
                    claim.body if recorded else "",
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
        self.propose(command, _done, lambda _error: None)  # the entry asks again

    def _handle_settle(
        self, settle: messages.ClaimSettle, connection: transports.Connection
    ) -> None:
        command = commands.SettleClaim(
            request_id=settle.request_id,
            workspace=settle.workspace,
            key=settle.key,
            outcome=settle.outcome,
            http_status=settle.http_status,
            body=settle.body,
            now=self._cluster_time(),
        )
        acknowledgement = messages.Settled(f"claim/{settle.request_id}")
        self.propose(command, lambda _done: connection.send(acknowledgement), lambda _error: None)

    def _handle_suspects(
        self, report: messages.SuspectReport, connection: transports.Connection
    ) -> None:
        command = commands.RecordCrash(
            report.report_id,
            report.service,
            report.fingerprints,
            report.lonely,
            report.cleared,
            self._cluster_time(),
        )

        def _done(version: int) -> None:
            connection.send(messages.Settled(f"suspects/{report.report_id}", version))

        self.propose(command, _done, lambda _error: None)

    # Operators.

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        match (request.method, request.path):
            case ("GET", "/readyz"):
                return self._respond_ready()
            case ("GET", "/v1/status"):
                return http_server.json_response(self._process.call(self._describe))
            case ("POST", "/v1/plan"):
                return self._respond_plan(request)
            case ("POST", "/v1/confirm"):
                return self._respond_confirm(request)
            case ("POST", "/v1/drain"):
                return self._respond_drain(request)
        raise errors.UnknownModelError(f"no such path: {request.method} {request.path}")

    def _respond_ready(self) -> werkzeug.Response:
        ready = bool(self._replica.leader)
        return http_server.json_response({"ready": ready}, status=200 if ready else 503)

    def _describe(self) -> dict[str, Any]:
        now = self._process.loop.now()
        membership = self._replica.membership
        described = {
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
            "claims": len(self._state.claims),
            "suspects": len(self._state.suspects.list_suspects()),
            "entries": [],
            "shards": [attrs.asdict(owner) for owner in self._state.owners.values()],
            "document": json.loads(self._state.document),
        }
        if described["leads"]:
            described["entries"] = [
                {
                    "name": one.heartbeat.entry,
                    "revision": one.heartbeat.revision,
                    "streams": one.heartbeat.streams,
                    "leaving": one.heartbeat.leaving,
                    "url": one.heartbeat.url,
                }
                for one in self._sessions.live_sessions(now)
            ]
            described["in_force"] = self._sessions.is_in_force(self._state.revision, now)
        return described

    def _leader_url(self) -> str:
        host = replica.host_of(self._replica.leader)
        known = [one for one in self._settings.control_hosts if one.name == host]
        return known[0].control_url if known else ""

    def _respond_plan(self, request: werkzeug.Request) -> werkzeug.Response:
        declaration = declarations.parse(request.get_data(as_text=True), "declaration")
        document = declarations.render(declaration)
        base_revision, current = self._process.call(self._read_confirmed)
        found = changes.compare(current, declaration)
        now = self._process.call(self._cluster_time)
        plan = commands.StorePlan(
            plan_id=uuid.uuid4().hex[:12],
            base_revision=base_revision,
            document=document,
            expires=now + PLAN_LIFETIME_SECONDS,
            now=now,
        )
        self._commit(plan)
        return http_server.json_response(
            {
                "plan": plan.plan_id,
                "base_revision": base_revision,
                "changes": [attrs.asdict(change) for change in found],
                "expires_in_seconds": PLAN_LIFETIME_SECONDS,
            }
        )

    def _read_confirmed(self) -> tuple[int, declarations.Declaration]:
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
        now = self._process.call(self._cluster_time)
        command = commands.ConfirmPlan(body["plan"], operation_id, now)
        result: state.ConfirmResult = self._commit(command)
        if result.error:
            raise errors.make_error(
                result.error,
                f"the current revision is {result.revision}; make a new plan",
            )
        in_force, missing = self._wait_in_force(result.revision)
        return http_server.json_response(
            {
                "revision": result.revision,
                "accepted": True,
                "in_force": in_force,
                "waiting_for": missing,
            }
        )

    def _wait_in_force(self, revision: int) -> tuple[bool, list[str]]:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            in_force, missing = self._process.call(lambda: self._check_in_force(revision))
            if in_force or time.monotonic() > deadline:
                return in_force, missing
            time.sleep(POLL_SECONDS)

    def _check_in_force(self, revision: int) -> tuple[bool, list[str]]:
        now = self._process.loop.now()
        if not self._replica.holds_lease(now):
            return False, []
        return self._sessions.is_in_force(revision, now), self._sessions.outdated_entries(
            revision, now
        )

    def _respond_drain(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        if not isinstance(body, dict) or not isinstance(body.get("entry"), str):
            raise errors.BadRequestError("entry: takes the name of an entry's host")
        return http_server.json_response(self._process.call(lambda: self._drain(body["entry"])))

    def _drain(self, entry: str) -> dict[str, Any]:
        self._read_confirmed()
        live = self._sessions.live_sessions(self._process.loop.now())
        found = [one for one in live if one.heartbeat.entry == entry]
        if not found:
            known = ", ".join(sorted(one.heartbeat.entry for one in live))
            raise errors.BadRequestError(f"entry: found {entry!r}, takes one of {known}")
        self._draining.add(found[0].identity)
        self._process.log_change("entry.draining", entry=entry)
        return {"entry": entry, "draining": True, "streams": found[0].heartbeat.streams}

    def _commit(self, command: Any) -> Any:
        """Propose a command from an HTTP thread and wait for its result."""
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
