"""The owner of a shard: decides which backend servers run which requests, and when.

A state machine without I/O, clock or randomness of its own. One owner sees all requests and all
memory of its shard, so that no two entries choose the same memory and a group of engines is taken
in one decision.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.intent import declarations
from flamingoramp.membership import server_directory
from flamingoramp.protocol import messages
from flamingoramp.routing import choice, effects, isolation, ledger, mix, prediction, queue
from flamingoramp.routing import fleet as fleets

REBUILD_SECONDS = 1.5
UNLISTED_SECONDS = 1.5
STARVING_SECONDS = 1.0
PUMP_LIMIT = 64


class Scheduler:
    """Queue, ledger and server view of one shard.

    Parameters
    ----------
    shard : str
    declaration : declarations.Declaration
    lease_seconds : float
        Lease of an announcement.
    reservation_expiry_seconds : float
        Silence of an entry after which its reservations are cancelled.
    suspects : isolation.Isolation
        Crash suspects as this entry knows them.
    holds_lease : callable
        Takes the time, tells whether nobody else may own the shard; without the lease nothing is
        granted, also by a process that was frozen and handles messages before its next tick.
    """

    def __init__(
        self,
        *,
        shard: str,
        declaration: declarations.Declaration,
        lease_seconds: float,
        reservation_expiry_seconds: float,
        suspects: isolation.Isolation,
        holds_lease: Callable[[float], bool] = lambda _now: True,
    ):
        self._shard = shard
        self._service = shard.partition("/")[0]
        self._declaration = declaration
        self._expiry = reservation_expiry_seconds
        self._generation = 0
        self._holds_lease = holds_lease
        self._lease_seconds = lease_seconds
        self._fleet = fleets.Fleet(lease_seconds)
        self._queue = queue.WaitingQueue()
        self._isolation = suspects
        self._drained: frozenset[str] = frozenset()
        self._emptied: frozenset[str] = frozenset()
        self._drained_for: ledger.Key | None = None
        self._rebuilding_until = 0.0
        self._settled_at = 0.0
        self._settled = True
        self._awaited_entries: set[str] = set()
        self._mix = mix.Mix()
        self._effects: list[Any] = []

    @property
    def generation(self) -> int:
        """Number of this ownership."""
        return self._generation

    @property
    def fleet(self) -> fleets.Fleet:
        """Servers, ledger and prefix view."""
        return self._fleet

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def isolation(self) -> isolation.Isolation:
        """Crash suspects."""
        return self._isolation

    def begin(self, generation: int, entries: set[str], now: float) -> None:
        """Become the owner: wait for what ``entries`` still use before granting anything."""
        self._generation = generation
        self._awaited_entries = set(entries)
        self._rebuilding_until = now + (REBUILD_SECONDS if entries else 0.0)
        self._settled_at = now + self._lease_seconds
        self._settled = False
        self._fleet.trust_reports_until = now + 2 * REBUILD_SECONDS

    def configure(self, declaration: declarations.Declaration) -> None:
        """Use a newer declaration."""
        self._declaration = declaration

    def handle(self, message: Any, now: float) -> list[Any]:
        """Process a message and return effects."""
        match message:
            case messages.Announcement():
                self._handle_announcement(message, now)
            case messages.Reserve():
                self._handle_reserve(message, now)
            case messages.Release():
                self._handle_release(message, now)
            case messages.PrefillDone():
                key = (message.request_id, message.attempt)
                self._fleet.finish_prefill(key, now)
            case messages.HoldReport():
                self._handle_hold_report(message, now)
        self._pump(now)
        return self._take_effects()

    def tick(self, now: float) -> list[Any]:
        """Act on leases and deadlines that have passed."""
        for server in self._fleet.directory.expire(now):
            self._handle_lapse(server)
        if not self._settled and now >= self._settled_at:
            self._settle(now)
        self._expire_reservations(now)
        self._give_up_late(now)
        self._pump(now)
        return self._take_effects()

    def _take_effects(self) -> list[Any]:
        taken = self._effects
        self._effects = []
        return taken

    def _note(self, kind: str, request: str = "", **fields: Any) -> None:
        self._effects.append(effects.Note(kind, request, fields))

    # Backend servers.

    def _handle_announcement(self, announcement: messages.Announcement, now: float) -> None:
        change = self._fleet.directory.handle(announcement, now)
        server = announcement.server
        if change is server_directory.AnnouncementEffect.STALE:
            return
        restarted = self._isolation.has_restarted(announcement)
        if change is server_directory.AnnouncementEffect.RESTARTED or restarted:
            self._handle_crash(server, now)
            self._fleet.breaker.succeed(server)
            self._fleet.prefixes.forget(server)
        else:
            self._commit_suspects(self._isolation.dismiss(announcement))
        self._fleet.prefixes.handle(announcement)
        if change is not server_directory.AnnouncementEffect.RENEWED:
            self._note(f"server.{change.value}", server=server)

    def _handle_lapse(self, server: str) -> None:
        self._note("server.lapsed", server=server)
        if self._isolation.is_watched(server):
            self._report_crash(server, [])

    def _handle_crash(self, server: str, now: float) -> None:
        """Give back what ran on a server's earlier incarnation."""
        running = self._fleet.ledger.on(server)
        self._report_crash(server, running)
        for reservation in running:
            self._fleet.release(reservation.key, now)
            self._cancel(reservation, besides=server)

    def _report_crash(self, server: str, running: list[ledger.Reservation]) -> None:
        report = self._isolation.confirm(server, _describe_running(running))
        if report:
            self._note("server.crashed", server=server, suspects=len(report.fingerprints))
        self._commit_suspects(report)

    def _commit_suspects(self, report: isolation.Report) -> None:
        if report:
            self._effects.append(effects.ReportCrash(self._service, report))

    # Requests.

    def _handle_reserve(self, reserve: messages.Reserve, now: float) -> None:
        key = (reserve.request_id, reserve.attempt)
        granted = self._fleet.ledger.find(key)
        if granted is not None:
            self._send_grant(granted, now)
            return
        waiting = self._queue.find(key)
        if waiting is not None:
            waiting.listed = now
            return
        self._end_earlier_attempt(reserve, now)
        workspace = self._declaration.find_workspace(reserve.workspace)
        if workspace is None:
            self._refuse(reserve, errors.UnknownWorkspaceError("the workspace was removed"))
            return
        waiting = self._judge(reserve, now)
        refusal = self._find_refusal(waiting, workspace, now)
        if refusal is not None:
            self._refuse(reserve, refusal)
            return
        self._mix.count(waiting, now)
        self._queue.add(waiting, workspace.weight)

    def _end_earlier_attempt(self, reserve: messages.Reserve, now: float) -> None:
        """Take a new attempt for the end of the earlier one, whose release may be lost.

        How it ended is unknown, so its server counts as crashed until it goes on announcing itself.
        """
        earlier = self._fleet.ledger.find((reserve.request_id, reserve.attempt - 1))
        failed = [one for one in earlier.servers if one in reserve.excluded] if earlier else []
        if failed:
            lost = messages.Release(*earlier.key, self._shard, "crashed", failed[0])
            self._handle_release(lost, now)

    def _judge(self, reserve: messages.Reserve, now: float) -> queue.Waiting:
        return prediction.judge(self._fleet, reserve, self._declaration.policy, now)

    def _settle(self, now: float) -> None:
        """Judge again what came before all servers had announced themselves."""
        self._settled = True
        for waiting in self._queue.all():
            workspace = self._declaration.find_workspace(waiting.reserve.workspace)
            refusal = workspace and self._find_refusal(waiting, workspace, now)
            if refusal:
                self._queue.remove(waiting.key)
                self._refuse(waiting.reserve, refusal)

    def _judge_again(self, now: float) -> None:
        """Predict the work of requests that came when no server was known."""
        for waiting in self._queue.all():
            if not waiting.judged:
                waiting.take_prediction(self._judge(waiting.reserve, now))

    def _find_refusal(
        self,
        waiting: queue.Waiting,
        workspace: declarations.WorkspaceDeclaration,
        now: float,
    ) -> errors.FlamingorampError | None:
        reserve = waiting.reserve
        if self._isolation.is_confirmed(reserve.fingerprint):
            return _quarantined()
        if not self._holds_lease(now) or now < self._settled_at:
            return None  # not all servers have announced themselves to this owner yet
        if self._declaration.policy.selection == "naive":
            return None
        servers = [
            one
            for one in self._fleet.directory.live_announcements(now)
            if choice.offers(one, reserve)
        ]
        if not servers:
            if reserve.attempt > 1:
                return None  # servers may come back within the time limit
            return errors.NoBackendError("no live backend server for this request", retry_after=1.0)
        need = waiting.tokens
        memories = [one.memory_tokens for one in servers]
        if any(memories) and not fleets.group_size(need, memories):
            total = sum(memories)
            return errors.PromptTooLongError(f"the request needs {need} tokens, {total} exist")
        if self._queue.count(reserve.workspace) >= workspace.max_waiting:
            return errors.QuotaExceededError(
                f"workspace {workspace.name} has {workspace.max_waiting} requests waiting",
                retry_after=1.0,
            )
        usable = servers
        if waiting.length_class is queue.LengthClass.LONG:
            long_servers = self._long_servers(self._fleet.directory.live_announcements(now))
            usable = [one for one in servers if one.server in long_servers] or servers
        ahead = prediction.wait_seconds(self._fleet, self._queue, waiting, usable, now)
        load_before = self._mix.load_before(waiting.length_class, len(servers))
        late_by = prediction.late_by_seconds(waiting, ahead, load_before, now)
        if late_by > 0:
            return errors.OverloadedError(
                "the request can't finish within its time limit", retry_after=max(0.1, late_by)
            )
        return None

    def _handle_release(self, message: messages.Release, now: float) -> None:
        key = (message.request_id, message.attempt)
        self._queue.remove(key)
        reservation = self._fleet.release(key, now)
        if reservation is None:
            return
        match message.result:
            case "done":
                self._fleet.breaker.succeed(message.server)
                self._commit_suspects(self._isolation.clear(reservation.fingerprint))
            case "rejected":
                self._fleet.breaker.fail(message.server, now)
            case "silent" | "crashed":
                self._fleet.breaker.fail(message.server, now)
                broke = message.result == "crashed"
                others = self._fleet.ledger.on(message.server) if broke else []
                self._watch(message.server, [reservation, *others], broke=broke)

    def _watch(self, server: str, ran: list[ledger.Reservation], *, broke: bool) -> None:
        member = self._fleet.directory.find(server)
        last = member.announcement if member else messages.Announcement(server=server)
        report = self._isolation.watch(server, _describe_running(ran), last, broke=broke)
        self._commit_suspects(report)
        if self._is_gone(server):
            # Whatever else ran there may be the cause; its entry may be cut off from here.
            self._report_crash(server, self._fleet.ledger.on(server))

    def _is_gone(self, server: str) -> bool:
        member = self._fleet.directory.find(server)
        return member is None or member.lapsed

    def _handle_hold_report(self, report: messages.HoldReport, now: float) -> None:
        listed = self._renew(report, now)
        for reservation in self._fleet.ledger.all():
            mine = reservation.entry == report.entry
            if mine and reservation.key not in listed:
                self._drop_unlisted(reservation, now)
        self._list_waiting(report, now)
        if report.full:
            self._awaited_entries.discard(report.entry)
        if not self._awaited_entries:
            self._rebuilding_until = min(self._rebuilding_until, now)

    def _renew(self, report: messages.HoldReport, now: float) -> set[ledger.Key]:
        """Renew what a report lists and return its keys."""
        held = {(one.request_id, one.attempt): one for one in report.held}
        listed = set(held) | {ledger.parse_key(text) for text in report.renewed}
        unknown = [key for key in listed if key not in self._fleet.ledger]
        for key in listed:
            known = self._fleet.ledger.find(key)
            if known is not None:
                known.renewed = now
        for key in unknown:
            if key in held:
                self._adopt(report, held[key], now)
        if unknown and not report.full:
            ask = messages.HoldUnknown(self._shard, self._generation)
            self._effects.append(effects.Reply(report.entry_address, ask))
        return listed

    def _adopt(
        self, report: messages.HoldReport, held: messages.HeldReservation, now: float
    ) -> None:
        reservation = ledger.Reservation(
            request_id=held.request_id,
            attempt=held.attempt,
            servers=held.servers,
            tokens=held.tokens,
            entry=report.entry,
            entry_address=report.entry_address,
            fingerprint=held.fingerprint,
            granted=now,
            renewed=now,
            prefill_done=held.prefill_done,
        )
        self._fleet.reserve(reservation, ())
        self._note("reservation.adopted", held.request_id)

    def _drop_unlisted(self, reservation: ledger.Reservation, now: float) -> None:
        if now - reservation.renewed > UNLISTED_SECONDS:
            self._drop(reservation, now)
            self._note("reservation.unlisted", reservation.request_id)

    def _drop(self, reservation: ledger.Reservation, now: float) -> None:
        """Take memory back whose attempt ended in a way that this owner never learned."""
        self._fleet.release(reservation.key, now)
        self._cancel(reservation)
        server = reservation.servers[-1]
        if reservation.isolated or self._is_gone(server):
            self._watch(server, [reservation], broke=False)

    def _list_waiting(self, report: messages.HoldReport, now: float) -> None:
        still = set(report.waiting)
        for waiting in self._queue.all():
            if waiting.reserve.entry != report.entry:
                continue
            if waiting.reserve.request_id in still:
                waiting.listed = now
            elif now - waiting.listed > UNLISTED_SECONDS:
                self._queue.remove(waiting.key)

    def _expire_reservations(self, now: float) -> None:
        for reservation in self._fleet.ledger.all():
            if now - reservation.renewed > self._expiry:
                self._drop(reservation, now)
                self._note("reservation.expired", reservation.request_id)

    def _cancel(self, reservation: ledger.Reservation, *, besides: str = "") -> None:
        for server in reservation.servers:
            url = self._fleet.url(server)
            if server != besides and url:
                self._effects.append(
                    effects.CancelAtServer(url, reservation.request_id, reservation.attempt)
                )

    def _give_up_late(self, now: float) -> None:
        for waiting in self._queue.all():
            if waiting.slack(now) >= 0 and now - waiting.listed <= self._expiry:
                continue
            self._queue.remove(waiting.key)
            behind = self._queue.work_ahead(waiting.length_class)
            live = max(1, len(self._fleet.directory.live_announcements(now)))
            error = errors.OverloadedError(
                "no backend server became free in time", retry_after=max(0.5, behind / live)
            )
            self._refuse(waiting.reserve, error)

    def _refuse(self, reserve: messages.Reserve, error: errors.FlamingorampError) -> None:
        refusal = messages.Refuse(
            reserve.request_id, reserve.attempt, error.code, str(error), error.retry_after
        )
        self._effects.append(effects.Reply(reserve.entry_address, refusal))
        self._note("request.refused", reserve.request_id, code=error.code)

    # Placement.

    def _constraints(self, now: float) -> choice.Constraints:
        servers = self._fleet.directory.live_announcements(now)
        isolated = {
            server
            for reservation in self._fleet.ledger.all()
            if reservation.isolated
            for server in reservation.servers
        }
        failing = {
            one.server
            for one in servers
            if self._isolation.is_watched(one.server)
            or self._fleet.breaker.is_open(one.server, now)
        }
        return choice.Constraints(
            closed=frozenset(isolated | failing | self._emptied),
            drained=self._drained,
            long_servers=self._long_servers(servers),
        )

    def _long_servers(self, servers: list[messages.Announcement]) -> frozenset[str]:
        policy = self._declaration.policy
        return choice.long_set(servers, long_share=self._mix.long_share(policy), policy=policy)

    def _pump(self, now: float) -> None:
        """Give places to waiting requests, in their order, as far as there are any."""
        idle = not len(self._queue) or not self._generation
        if idle or not self._holds_lease(now) or now < self._rebuilding_until:
            return
        servers = self._fleet.directory.live_announcements(now)
        self._judge_again(now)
        live = {server.server for server in servers}
        if self._drained_for not in self._queue or not self._drained <= live:
            self._stop_draining()
        constraints = self._constraints(now)
        running = self._running_fingerprints()
        failed = dict.fromkeys(queue.LengthClass, 0)
        for waiting in self._queue.in_order(now):
            if self._isolation.is_confirmed(waiting.reserve.fingerprint):
                self._queue.remove(waiting.key)
                self._refuse(waiting.reserve, _quarantined())
                continue
            if failed[waiting.length_class] >= PUMP_LIMIT:
                continue
            placement, isolated = self._place(waiting, servers, constraints, running, now)
            if placement is None:
                failed[waiting.length_class] += 1
                self._consider_drain(waiting, servers, constraints, now)
                constraints = attrs.evolve(
                    constraints,
                    closed=constraints.closed | self._emptied,
                    drained=self._drained,
                )
                continue
            self._grant(waiting, placement, isolated, now)
            running.add(waiting.reserve.fingerprint)
            if isolated:
                constraints = self._constraints(now)

    def _stop_draining(self) -> None:
        self._drained = frozenset()
        self._emptied = frozenset()
        self._drained_for = None

    def _running_fingerprints(self) -> set[str]:
        return {one.fingerprint for one in self._fleet.ledger.all()}

    def _place(
        self,
        waiting: queue.Waiting,
        servers: list[messages.Announcement],
        constraints: choice.Constraints,
        running: set[str],
        now: float,
    ) -> tuple[choice.Placement | None, bool]:
        reserve = waiting.reserve
        if self._declaration.policy.selection == "naive":
            return choice.choose_naive(servers, reserve), False
        fingerprint = reserve.fingerprint
        if fingerprint in running and not self._isolation.is_cleared(fingerprint):
            return None, False
        if self._drained_for == waiting.key:
            closed = constraints.closed - self._emptied
            constraints = attrs.evolve(constraints, closed=closed, drained=frozenset())
        if self._isolation.is_held(fingerprint):
            return None, True
        if self._isolation.is_suspect(fingerprint):
            isolated = sum(one.isolated for one in self._fleet.ledger.all())
            if isolated >= max(1, len(servers) // 4):
                return None, True
            return choice.choose_isolated(self._fleet, servers, waiting, constraints, now), True
        offering = [one for one in servers if choice.offers(one, reserve)]
        if choice.needs_group(offering, waiting.tokens):
            return choice.choose_group(self._fleet, servers, waiting, constraints, now), False
        policy = self._declaration.policy
        placement = choice.choose_single(self._fleet, servers, waiting, constraints, policy, now)
        return placement, False

    def _consider_drain(
        self,
        waiting: queue.Waiting,
        servers: list[messages.Announcement],
        constraints: choice.Constraints,
        now: float,
    ) -> None:
        """Keep servers free for the longest waiting request that needs much memory at once."""
        if self._drained_for is not None or now - waiting.arrived < STARVING_SECONDS:
            return
        reserve = waiting.reserve
        if reserve.fingerprint in self._running_fingerprints():
            return
        if self._isolation.is_held(reserve.fingerprint):
            return
        alone = self._isolation.is_suspect(reserve.fingerprint)
        if alone:
            chosen = choice.choose_to_empty(self._fleet, servers, waiting, constraints)
        else:
            chosen = choice.choose_to_drain(self._fleet, servers, waiting, constraints, now)
        if not chosen:
            return
        self._drained = chosen
        self._emptied = chosen if alone else frozenset()
        self._drained_for = waiting.key
        self._note("servers.drained", reserve.request_id, servers=sorted(self._drained))

    def _grant(
        self, waiting: queue.Waiting, placement: choice.Placement, isolated: bool, now: float
    ) -> None:
        reserve = waiting.reserve
        reservation = ledger.Reservation(
            request_id=reserve.request_id,
            attempt=reserve.attempt,
            servers=tuple(one.server for one in placement.servers),
            tokens=placement.tokens,
            entry=reserve.entry,
            entry_address=reserve.entry_address,
            fingerprint=reserve.fingerprint,
            granted=now,
            renewed=now,
            prefill_seconds=placement.prefill_seconds,
            priority=int(waiting.length_class),
            isolated=isolated,
            long=waiting.length_class is queue.LengthClass.LONG,
        )
        self._queue.start(waiting)
        self._fleet.reserve(reservation, reserve.prefix_hashes)
        if self._drained_for == waiting.key:
            self._stop_draining()
        self._send_grant(reservation, now, placement.cached_tokens)
        self._note(
            "request.granted",
            reserve.request_id,
            attempt=reserve.attempt,
            servers=list(reservation.servers),
            waited=round(now - waiting.arrived, 4),
        )

    def _send_grant(
        self, reservation: ledger.Reservation, now: float, cached_tokens: int = 0
    ) -> None:
        grant = messages.Grant(
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


def _describe_running(running: list[ledger.Reservation]) -> dict[str, bool]:
    return {one.fingerprint: one.isolated for one in running}


def _quarantined() -> errors.FlamingorampError:
    return errors.RequestQuarantinedError(
        "this content crashed several backend servers; it is refused for an hour"
    )
