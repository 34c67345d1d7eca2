"""Scheduler of a shard: decides which backend servers run which requests, and when.

It is a state machine without I/O, clock or randomness. One process, the owner, schedules a shard.
It sees all requests and reservations, so that no two entries (the processes that accept requests)
reserve the same memory and a group of engines is reserved in one decision.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.intent import declarations
from flamingoramp.membership import server_directory
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import choice, effects, isolation, ledger, mix, prediction, queue
from flamingoramp.routing import fleet as fleet_module

REBUILD_TIMEOUT_SECONDS = 1.5
UNLISTED_EXPIRY_SECONDS = 1.5
DRAIN_AFTER_SECONDS = 1.0
MAX_FAILED_PLACEMENT_COUNT = 64


class Scheduler:
    """Scheduler of one shard; its inputs are messages and times, its outputs are effects.

    Parameters
    ----------
    shard : str
    declaration : declarations.Declaration
    lease_seconds : float
        Time after its last announcement for which a server counts as live.
    reservation_expiry_seconds : float
        Time without a report from its entry after which a reservation is cancelled.
    crash_tracker : isolation.CrashTracker
        Crash suspects of the shard; it may outlive this scheduler.
    holds_lease : callable
        Takes the time and returns whether no other process may own the shard. While one may,
        nothing is granted, even if this process was frozen and gets messages before a tick.
    """

    def __init__(
        self,
        *,
        shard: str,
        declaration: declarations.Declaration,
        lease_seconds: float,
        reservation_expiry_seconds: float,
        crash_tracker: isolation.CrashTracker,
        holds_lease: Callable[[float], bool] = lambda _now: True,
    ):
        self._shard = shard
        self._service = shard.partition("/")[0]
        self._declaration = declaration
        self._expiry_seconds = reservation_expiry_seconds
        self._generation = 0
        self._holds_lease = holds_lease
        self._lease_seconds = lease_seconds
        self._fleet = fleet_module.Fleet(lease_seconds)
        self._queue = queue.WaitingQueue()
        self._crash_tracker = crash_tracker
        self._draining: frozenset[str] = frozenset()
        self._emptying: frozenset[str] = frozenset()
        self._draining_for: ledger.AttemptKey | None = None
        self._rebuilding_until = 0.0
        self._servers_known_at = 0.0
        self._admissions_rechecked = True
        self._awaited_entries: set[str] = set()
        self._workload_mix = mix.WorkloadMix()
        self._effects: list[Any] = []

    @property
    def generation(self) -> int:
        """Generation of this ownership; 0 before it begins."""
        return self._generation

    @property
    def fleet(self) -> fleet_module.Fleet:
        """Servers of the shard with their reservations and cached prefixes."""
        return self._fleet

    @property
    def waiting_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def crash_tracker(self) -> isolation.CrashTracker:
        """Crash suspects and possibly crashed servers."""
        return self._crash_tracker

    def begin_ownership(self, generation: int, entries: set[str], now: float) -> None:
        """Become the owner; nothing is granted until ``entries`` have reported, or a time-out."""
        self._generation = generation
        self._awaited_entries = set(entries)
        self._rebuilding_until = now + (REBUILD_TIMEOUT_SECONDS if entries else 0.0)
        self._servers_known_at = now + self._lease_seconds
        self._admissions_rechecked = False
        self._fleet.reported_memory_until = now + 2 * REBUILD_TIMEOUT_SECONDS

    def configure(self, declaration: declarations.Declaration) -> None:
        """Use a newer declaration."""
        self._declaration = declaration

    def evacuate(self, zones: tuple[str, ...]) -> None:
        """Grant nothing more on servers of these zones; refuse what no other server can run."""
        self._fleet.evacuated_zones = frozenset(zones)
        self._admissions_rechecked = False

    def handle(self, message: Any, now: float) -> list[Any]:
        """Process a message, place waiting requests and return the effects to perform."""
        match message:
            case shard_messages.Announcement():
                self._handle_announcement(message, now)
            case shard_messages.Reserve():
                self._handle_reserve(message, now)
            case shard_messages.Release():
                self._handle_release(message, now)
            case shard_messages.PrefillDone():
                key = (message.request_id, message.attempt)
                self._fleet.finish_prefill(key, now)
            case shard_messages.HoldReport():
                self._handle_hold_report(message, now)
        self._place_waiting(now)
        return self._flush_effects()

    def tick(self, now: float) -> list[Any]:
        """Apply expired leases and deadlines, place waiting requests and return the effects."""
        for server in self._fleet.directory.expire(now):
            self._handle_lapse(server)
        if not self._admissions_rechecked and now >= self._servers_known_at:
            self._recheck_admissions(now)
        self._expire_reservations(now)
        self._refuse_late(now)
        self._place_waiting(now)
        return self._flush_effects()

    def _flush_effects(self) -> list[Any]:
        flushed = self._effects
        self._effects = []
        return flushed

    def _record_event(self, kind: str, request: str = "", **fields: Any) -> None:
        self._effects.append(effects.RecordEvent(kind, request, fields))

    def _handle_announcement(self, announcement: shard_messages.Announcement, now: float) -> None:
        change = self._fleet.directory.handle(announcement, now)
        server = announcement.server
        if change is server_directory.AnnouncementEffect.STALE:
            return
        restarted = self._crash_tracker.shows_restart(announcement)
        if change is server_directory.AnnouncementEffect.RESTARTED or restarted:
            self._handle_restart(server, now)
            self._fleet.breaker.record_success(server)
            self._fleet.prefixes.discard(server)
        else:
            self._commit_suspects(self._crash_tracker.end_watch(announcement))
        self._fleet.prefixes.handle(announcement)
        if change is not server_directory.AnnouncementEffect.RENEWED:
            self._record_event(f"server.{change.value}", server=server)
        if announcement.leaving:
            self._notify_group_holders(server)

    def _notify_group_holders(self, server: str) -> None:
        """Tell the entries that hold groups with a leaving server.

        The engines of a group prefill in turn, so the server's turn may come long after its leave.
        Each further announcement repeats the notice, as messages may be lost.
        """
        for reservation in self._fleet.ledger.reservations_on(server):
            if len(reservation.servers) > 1 and not reservation.prefill_done:
                notice = shard_messages.ServerLeaving(
                    reservation.request_id, reservation.attempt, self._shard, server
                )
                self._effects.append(effects.Reply(reservation.entry_address, notice))

    def _handle_lapse(self, server: str) -> None:
        self._record_event("server.lapsed", server=server)
        if self._crash_tracker.is_watched(server):
            self._report_crash(server, [])

    def _handle_restart(self, server: str, now: float) -> None:
        """Release and cancel the attempts that ran on a server's earlier incarnation."""
        running = self._fleet.ledger.reservations_on(server)
        self._report_crash(server, running)
        for reservation in running:
            self._fleet.release(reservation.key, now)
            self._cancel(reservation, except_server=server)

    def _report_crash(self, server: str, running: list[ledger.Reservation]) -> None:
        report = self._crash_tracker.record_crash(server, isolation.ran_alone(running))
        if report:
            self._record_event("server.crashed", server=server, suspects=len(report.fingerprints))
        self._commit_suspects(report)

    def _commit_suspects(self, report: isolation.SuspectChanges) -> None:
        if report:
            self._effects.append(effects.ReportSuspects(self._service, report))

    def _handle_reserve(self, reserve: shard_messages.Reserve, now: float) -> None:
        key = (reserve.request_id, reserve.attempt)
        granted = self._fleet.ledger.find(key)
        if granted is not None:
            self._send_grant(granted, now)
            return
        waiting = self._queue.find(key)
        if waiting is not None:
            waiting.reported_at = now
            return
        self._end_previous_attempt(reserve, now)
        workspace = self._declaration.find_workspace(reserve.workspace)
        if workspace is None:
            self._refuse(reserve, errors.UnknownWorkspaceError("the workspace was removed"))
            return
        waiting = self._predict(reserve, now)
        refusal = self._find_refusal(waiting, workspace, now)
        if refusal is not None:
            self._refuse(reserve, refusal)
            return
        self._workload_mix.count(waiting, now)
        self._queue.add(waiting, workspace.weight)

    def _end_previous_attempt(self, reserve: shard_messages.Reserve, now: float) -> None:
        # A new attempt shows that the previous one ended, but its release message may be lost. As
        # its result is unknown, its server is watched as crashed until it keeps announcing itself.
        previous = self._fleet.ledger.find((reserve.request_id, reserve.attempt - 1))
        failed = [name for name in previous.servers if name in reserve.excluded] if previous else []
        if failed:
            release = shard_messages.Release(*previous.key, self._shard, "crashed", failed[0])
            self._handle_release(release, now)

    def _predict(self, reserve: shard_messages.Reserve, now: float) -> queue.WaitingRequest:
        return prediction.predict_request(self._fleet, reserve, self._declaration.policy, now)

    def _recheck_admissions(self, now: float) -> None:
        """Check queued requests again that arrived before all servers had announced themselves."""
        self._admissions_rechecked = True
        for waiting in self._queue.all():
            workspace = self._declaration.find_workspace(waiting.reserve.workspace)
            refusal = workspace and self._find_refusal(waiting, workspace, now)
            if refusal:
                self._queue.remove(waiting.key)
                self._refuse(waiting.reserve, refusal)

    def _update_predictions(self, now: float) -> None:
        """Predict the cost of requests that arrived when no server could serve them."""
        for waiting in self._queue.all():
            if not waiting.has_prediction:
                waiting.update_prediction(self._predict(waiting.reserve, now))

    def _find_refusal(
        self,
        waiting: queue.WaitingRequest,
        workspace: declarations.WorkspaceDeclaration,
        now: float,
    ) -> errors.FlamingorampError | None:
        reserve = waiting.reserve
        if self._crash_tracker.is_confirmed(reserve.fingerprint):
            return isolation.quarantine_error()
        if not self._holds_lease(now) or now < self._servers_known_at:
            return None  # not all servers have announced themselves to this owner yet
        if self._declaration.policy.selection == "naive":
            return None
        live = self._fleet.usable_servers(now)
        servers = [server for server in live if choice.can_serve(server, reserve)]
        if not servers:
            if reserve.attempt > 1:
                return None  # servers may come back within the time limit
            return errors.NoBackendError("no live backend server for this request", retry_after=1.0)
        required = waiting.required_tokens
        memory_tokens = [server.memory_tokens for server in servers]
        if any(memory_tokens) and not fleet_module.group_size(required, memory_tokens):
            total = sum(memory_tokens)
            return errors.PromptTooLongError(f"the request needs {required} tokens, {total} exist")
        if self._queue.count_workspace(reserve.workspace) >= workspace.max_waiting:
            return errors.QuotaExceededError(
                f"workspace {workspace.name} has {workspace.max_waiting} requests waiting",
                retry_after=1.0,
            )
        usable = servers
        if waiting.length_class is queue.LengthClass.LONG:
            long_servers = self._long_prompt_servers(live)
            usable = [server for server in servers if server.server in long_servers] or servers
        wait = prediction.predict_wait_seconds(self._fleet, self._queue, waiting, usable, now)
        load_ratio = self._workload_mix.preceding_load_ratio(waiting.length_class, len(servers))
        lateness = prediction.predict_lateness_seconds(waiting, wait, load_ratio, now)
        if lateness > 0:
            return errors.OverloadedError(
                "the request can't finish within its time limit", retry_after=max(0.1, lateness)
            )
        return None

    def _handle_release(self, message: shard_messages.Release, now: float) -> None:
        key = (message.request_id, message.attempt)
        self._queue.remove(key)
        reservation = self._fleet.release(key, now)
        if reservation is None:
            return
        match message.result:
            case "done":
                self._fleet.breaker.record_success(message.server)
                self._commit_suspects(self._crash_tracker.record_success(reservation.fingerprint))
            case "rejected":
                self._fleet.breaker.record_failure(message.server, now)
            case "silent" | "crashed":
                self._fleet.breaker.record_failure(message.server, now)
                disconnected = message.result == "crashed"
                others = self._fleet.ledger.reservations_on(message.server) if disconnected else []
                self._watch(message.server, [reservation, *others], disconnected=disconnected)

    def _watch(self, server: str, ran: list[ledger.Reservation], *, disconnected: bool) -> None:
        member = self._fleet.directory.find(server)
        last = member.announcement if member else shard_messages.Announcement(server=server)
        report = self._crash_tracker.watch(
            server, isolation.ran_alone(ran), last, disconnected=disconnected
        )
        self._commit_suspects(report)
        if self._has_lapsed(server):
            # Other requests there may be the cause; their entries may be unreachable from here.
            self._report_crash(server, self._fleet.ledger.reservations_on(server))

    def _has_lapsed(self, server: str) -> bool:
        member = self._fleet.directory.find(server)
        return member is None or member.lapsed

    def _handle_hold_report(self, report: shard_messages.HoldReport, now: float) -> None:
        listed = self._renew_reported(report, now)
        for reservation in self._fleet.ledger.all():
            same_entry = reservation.entry == report.entry
            if same_entry and reservation.key not in listed:
                self._release_unlisted(reservation, now)
        self._update_reported_waiting(report, now)
        if report.full:
            self._awaited_entries.discard(report.entry)
        if not self._awaited_entries:
            self._rebuilding_until = min(self._rebuilding_until, now)

    def _renew_reported(
        self, report: shard_messages.HoldReport, now: float
    ) -> set[ledger.AttemptKey]:
        held = {(item.request_id, item.attempt): item for item in report.held}
        listed = set(held) | {ledger.parse_key(text) for text in report.renewed}
        unknown = [key for key in listed if key not in self._fleet.ledger]
        for key in listed:
            reservation = self._fleet.ledger.find(key)
            if reservation is not None:
                reservation.renewed_at = now
        for key in unknown:
            if key in held:
                self._restore_reservation(report, held[key], now)
        if unknown and not report.full:
            request = shard_messages.HoldUnknown(self._shard, self._generation)
            self._effects.append(effects.Reply(report.entry_address, request))
        return listed

    def _restore_reservation(
        self, report: shard_messages.HoldReport, held: shard_messages.HeldReservation, now: float
    ) -> None:
        reservation = ledger.restore(report, held, now)
        self._fleet.reserve(reservation, ())
        self._record_event("reservation.adopted", held.request_id)

    def _release_unlisted(self, reservation: ledger.Reservation, now: float) -> None:
        if now - reservation.renewed_at > UNLISTED_EXPIRY_SECONDS:
            self._release_and_cancel(reservation, now)
            self._record_event("reservation.unlisted", reservation.request_id)

    def _release_and_cancel(self, reservation: ledger.Reservation, now: float) -> None:
        """Release and cancel an attempt whose end was not reported to this owner."""
        self._fleet.release(reservation.key, now)
        self._cancel(reservation)
        server = reservation.servers[-1]
        if reservation.isolated or self._has_lapsed(server):
            self._watch(server, [reservation], disconnected=False)

    def _update_reported_waiting(self, report: shard_messages.HoldReport, now: float) -> None:
        reported = set(report.waiting)
        for waiting in self._queue.all():
            if waiting.reserve.entry != report.entry:
                continue
            if waiting.reserve.request_id in reported:
                waiting.reported_at = now
            elif now - waiting.reported_at > UNLISTED_EXPIRY_SECONDS:
                self._queue.remove(waiting.key)

    def _expire_reservations(self, now: float) -> None:
        for reservation in self._fleet.ledger.all():
            if now - reservation.renewed_at > self._expiry_seconds:
                self._release_and_cancel(reservation, now)
                self._record_event("reservation.expired", reservation.request_id)

    def _cancel(self, reservation: ledger.Reservation, *, except_server: str = "") -> None:
        for server in reservation.servers:
            url = self._fleet.url(server)
            if server != except_server and url:
                self._effects.append(
                    effects.CancelAtServer(url, reservation.request_id, reservation.attempt)
                )

    def _refuse_late(self, now: float) -> None:
        for waiting in self._queue.all():
            if (
                waiting.slack_seconds(now) >= 0
                and now - waiting.reported_at <= self._expiry_seconds
            ):
                continue
            self._queue.remove(waiting.key)
            queued_seconds = self._queue.prefill_seconds_ahead(waiting.length_class)
            live = max(1, len(self._fleet.usable_servers(now)))
            error = errors.OverloadedError(
                "no backend server became free in time", retry_after=max(0.5, queued_seconds / live)
            )
            self._refuse(waiting.reserve, error)

    def _refuse(self, reserve: shard_messages.Reserve, error: errors.FlamingorampError) -> None:
        refusal = shard_messages.Refuse(
            reserve.request_id, reserve.attempt, error.code, str(error), error.retry_after
        )
        self._effects.append(effects.Reply(reserve.entry_address, refusal))
        self._record_event("request.refused", reserve.request_id, code=error.code)

    def _make_constraints(self, now: float) -> choice.Constraints:
        servers = self._fleet.usable_servers(now)
        isolated = {
            name
            for reservation in self._fleet.ledger.all()
            if reservation.isolated
            for name in reservation.servers
        }
        failing = {
            server.server
            for server in servers
            if self._crash_tracker.is_watched(server.server)
            or self._fleet.breaker.is_open(server.server, now)
        }
        return choice.Constraints(
            closed=frozenset(isolated | failing | self._emptying),
            draining=self._draining,
            long_servers=self._long_prompt_servers(servers),
        )

    def _long_prompt_servers(self, servers: list[shard_messages.Announcement]) -> frozenset[str]:
        policy = self._declaration.policy
        return choice.long_prompt_servers(
            servers, long_ratio=self._workload_mix.long_ratio(policy), policy=policy
        )

    def _place_waiting(self, now: float) -> None:
        """Grant servers to waiting requests in queue order, as far as servers are free."""
        nothing_to_place = not len(self._queue) or not self._generation
        if nothing_to_place or not self._holds_lease(now) or now < self._rebuilding_until:
            return
        servers = self._fleet.usable_servers(now)
        self._update_predictions(now)
        live = {server.server for server in servers}
        if self._draining_for not in self._queue or not self._draining <= live:
            self._stop_draining()
        constraints = self._make_constraints(now)
        running = self._running_fingerprints()
        failures = dict.fromkeys(queue.LengthClass, 0)
        for waiting in self._queue.in_order(now):
            if self._crash_tracker.is_confirmed(waiting.reserve.fingerprint):
                self._queue.remove(waiting.key)
                self._refuse(waiting.reserve, isolation.quarantine_error())
                continue
            if failures[waiting.length_class] >= MAX_FAILED_PLACEMENT_COUNT:
                continue
            placement, isolated = self._choose_servers(waiting, servers, constraints, running, now)
            if placement is None:
                failures[waiting.length_class] += 1
                self._maybe_start_draining(waiting, servers, constraints, now)
                constraints = attrs.evolve(
                    constraints,
                    closed=constraints.closed | self._emptying,
                    draining=self._draining,
                )
                continue
            self._grant(waiting, placement, isolated, now)
            running.add(waiting.reserve.fingerprint)
            if isolated:
                constraints = self._make_constraints(now)

    def _stop_draining(self) -> None:
        self._draining = frozenset()
        self._emptying = frozenset()
        self._draining_for = None

    def _running_fingerprints(self) -> set[str]:
        return {reservation.fingerprint for reservation in self._fleet.ledger.all()}

    def _choose_servers(
        self,
        waiting: queue.WaitingRequest,
        servers: list[shard_messages.Announcement],
        constraints: choice.Constraints,
        running: set[str],
        now: float,
    ) -> tuple[choice.Placement | None, bool]:
        reserve = waiting.reserve
        if self._declaration.policy.selection == "naive":
            return choice.choose_least_loaded(servers, reserve), False
        fingerprint = reserve.fingerprint
        if fingerprint in running and not self._crash_tracker.may_run_concurrently(fingerprint):
            return None, False
        if self._draining_for == waiting.key:
            closed = constraints.closed - self._emptying
            constraints = attrs.evolve(constraints, closed=closed, draining=frozenset())
        if self._crash_tracker.must_wait(fingerprint):
            return None, True
        if self._crash_tracker.is_suspect(fingerprint):
            isolated = sum(reservation.isolated for reservation in self._fleet.ledger.all())
            if isolated >= max(1, len(servers) // 4):
                return None, True
            return choice.choose_isolated(self._fleet, servers, waiting, constraints, now), True
        capable = [server for server in servers if choice.can_serve(server, reserve)]
        if choice.needs_group(capable, waiting.required_tokens):
            return choice.choose_group(self._fleet, servers, waiting, constraints, now), False
        policy = self._declaration.policy
        placement = choice.choose_single(self._fleet, servers, waiting, constraints, policy, now)
        return placement, False

    def _maybe_start_draining(
        self,
        waiting: queue.WaitingRequest,
        servers: list[shard_messages.Announcement],
        constraints: choice.Constraints,
        now: float,
    ) -> None:
        """Start draining servers for a request that waits too long; one request at a time."""
        if self._draining_for is not None or now - waiting.arrived_at < DRAIN_AFTER_SECONDS:
            return
        reserve = waiting.reserve
        if reserve.fingerprint in self._running_fingerprints():
            return
        if self._crash_tracker.must_wait(reserve.fingerprint):
            return
        must_isolate = self._crash_tracker.is_suspect(reserve.fingerprint)
        if must_isolate:
            chosen = choice.choose_to_empty(self._fleet, servers, waiting, constraints)
        else:
            chosen = choice.choose_to_drain(self._fleet, servers, waiting, constraints, now)
        if not chosen:
            return
        self._draining = chosen
        self._emptying = chosen if must_isolate else frozenset()
        self._draining_for = waiting.key
        self._record_event("servers.drained", reserve.request_id, servers=sorted(self._draining))

    def _grant(
        self, waiting: queue.WaitingRequest, placement: choice.Placement, isolated: bool, now: float
    ) -> None:
        reserve = waiting.reserve
        reservation = ledger.Reservation(
            request_id=reserve.request_id,
            attempt=reserve.attempt,
            servers=tuple(server.server for server in placement.servers),
            tokens=placement.tokens,
            entry=reserve.entry,
            entry_address=reserve.entry_address,
            fingerprint=reserve.fingerprint,
            granted_at=now,
            renewed_at=now,
            prefill_seconds=placement.prefill_seconds,
            priority=int(waiting.length_class),
            isolated=isolated,
            is_long=waiting.length_class is queue.LengthClass.LONG,
        )
        self._queue.remove_granted(waiting)
        self._fleet.reserve(reservation, reserve.prefix_hashes)
        if self._draining_for == waiting.key:
            self._stop_draining()
        self._send_grant(reservation, now, placement.cached_tokens)
        self._record_event(
            "request.granted",
            reserve.request_id,
            attempt=reserve.attempt,
            servers=list(reservation.servers),
            waited=round(now - waiting.arrived_at, 4),
        )

    def _send_grant(
        self, reservation: ledger.Reservation, now: float, cached_tokens: int = 0
    ) -> None:
        grant = shard_messages.Grant(
            request_id=reservation.request_id,
            attempt=reservation.attempt,
            shard=self._shard,
            generation=self._generation,
            servers=reservation.servers,
            urls=tuple(self._fleet.url(server) for server in reservation.servers),
            tokens=reservation.tokens,
            priority=reservation.priority,
            predicted_prefill=reservation.prefill_seconds,
            cached_tokens=cached_tokens,
        )
        self._effects.append(effects.Reply(reservation.entry_address, grant))
