"""The shards that an entry owns: schedulers, engine orders and their effects."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from flamingoramp.backends import orders as order_sender
from flamingoramp.backends import runner as runners
from flamingoramp.daemons import process as processes
from flamingoramp.intent import declarations
from flamingoramp.membership import control_session
from flamingoramp.orders import reconciler
from flamingoramp.protocol import messages
from flamingoramp.routing import effects, isolation, scheduler

RESEND_SECONDS = 1.0
EARLY_SECONDS = 1.0
EARLY_KEPT = 4096


class Owner:
    """Schedulers of the shards that this entry owns now.

    Parameters
    ----------
    process : processes.Process
    session : session_module.Session
    identity : str
        Name and incarnation of this entry.
    runner : runners.Runner
    send : callable
        Takes an entry's inner address and a message.
    send_control : callable
        Takes a message for the leading control replica.
    make_order_sender : callable
        Builds what sends engine orders; tests give another.
    """

    def __init__(
        self,
        *,
        process: processes.Process,
        session: control_session.ControlSession,
        identity: str,
        runner: runners.Runner,
        send: Callable[[str, Any], None],
        send_control: Callable[[Any], None],
        make_order_sender: Callable[..., Any] = order_sender.OrderSender,
    ):
        self._process = process
        self._session = session
        self._identity = identity
        self._runner = runner
        self._send = send
        self._send_control = send_control
        self._schedulers: dict[str, scheduler.Scheduler] = {}
        # Suspicions outlive an ownership that lapses and is renewed.
        self._isolations: dict[str, isolation.Isolation] = {}
        self._reconcilers: dict[str, reconciler.Reconciler] = {}
        self._orders = make_order_sender(process.loop, self._handle_order_result)
        self._reports: dict[str, messages.SuspectReport] = {}
        self._ended = False
        # What came for shards that others know to be owned here before this entry does.
        self._early: collections.deque[tuple[float, str, Any]] = collections.deque(
            maxlen=EARLY_KEPT
        )
        process.loop.call_every(RESEND_SECONDS, self._resend_reports)

    @property
    def schedulers(self) -> dict[str, scheduler.Scheduler]:
        """Scheduler of each owned shard."""
        return self._schedulers

    def describe(self) -> list[dict[str, Any]]:
        """Return the owned shards as plain data."""
        now = self._process.loop.now()
        return [
            {
                "shard": shard,
                "generation": one.generation,
                "servers": len(one.fleet.directory.live_announcements(now)),
                "reservations": len(one.fleet.ledger),
                "reserved_tokens": sum(sum(held.tokens) for held in one.fleet.ledger.all()),
                "waiting": one.waiting,
            }
            for shard, one in self._schedulers.items()
        ]

    def refresh(self, now: float) -> None:
        """Begin and end ownership as the session's table and lease tell.

        An ownership whose lease lapsed grants nothing, but keeps its state: if the generation is
        still the same once the lease is back, nobody else owned the shard meanwhile.
        """
        owned = {
            shard: owner
            for shard, owner in self._session.shards.items()
            if owner.owner == self._identity and not self._ended
        }
        for shard, known in list(self._schedulers.items()):
            if shard not in owned or owned[shard].generation != known.generation:
                self._end(shard)
        holds_lease = self._session.holds_lease(now)
        for shard, owner in owned.items():
            if shard not in self._schedulers and holds_lease:
                self._begin(owner, now)

    def end_all(self) -> None:
        """Give up all shards before a planned stop."""
        self._ended = True
        for shard in list(self._schedulers):
            self._end(shard)

    def configure(self, declaration: declarations.Declaration) -> None:
        """Use a newer declaration."""
        for one in self._schedulers.values():
            one.configure(declaration)

    def load_suspects(self) -> None:
        """Use newer committed suspects."""
        for one in self._isolations.values():
            one.load(self._session.suspects, self._session.suspects_version)

    def handle(self, shard: str, message: Any) -> None:
        """Process a message for a shard; one for a shard that isn't owned is kept for a moment."""
        owned = self._schedulers.get(shard)
        now = self._process.loop.now()
        if owned is None:
            self._process.metrics.count("messages_for_other_owners")
            self._early.append((now, shard, message))
            return
        self._carry_out(shard, owned.handle(message, now))
        if isinstance(message, messages.Announcement):
            self._reconcile(shard, now)

    def handle_settled(self, report_id: str, version: int) -> None:
        """Note that a suspect report is committed."""
        self._reports.pop(report_id, None)
        for one in self._isolations.values():
            one.settle(report_id, version)

    def tick(self) -> None:
        """Let leases and deadlines pass."""
        now = self._process.loop.now()
        self.refresh(now)
        for shard, owned in list(self._schedulers.items()):
            self._carry_out(shard, owned.tick(now))

    def _begin(self, owner: messages.ShardOwner, now: float) -> None:
        timing = self._process.settings.timing
        begun = scheduler.Scheduler(
            shard=owner.shard,
            declaration=self._session.declaration,
            lease_seconds=timing.announcement_lease_seconds,
            reservation_expiry_seconds=timing.reservation_expiry_seconds,
            suspects=self._isolation_of(owner.shard),
            holds_lease=self._session.holds_lease,
        )
        entries = {entry.name for entry in self._session.entries}
        begun.begin(owner.generation, entries, now)
        self._isolations[owner.shard].load(self._session.suspects, self._session.suspects_version)
        self._schedulers[owner.shard] = begun
        # Engines that ignore fencing may still act on an earlier owner's order.
        wait = timing.session_lease_seconds * (1 + timing.clock_rate_bound)
        self._reconcilers[owner.shard] = reconciler.Reconciler(
            fence=owner.generation, begun=now, flight_seconds=wait + timing.order_flight_seconds
        )
        self._process.log_change("shard.owned", shard=owner.shard, generation=owner.generation)
        self._take_early(owner.shard, now)

    def _take_early(self, shard: str, now: float) -> None:
        """Process what came just before this ownership began, in its order."""
        early = list(self._early)
        self._early.clear()
        for came, target, message in early:
            if target == shard and now - came <= EARLY_SECONDS:
                self.handle(shard, message)
            elif target != shard:
                self._early.append((came, target, message))

    def _isolation_of(self, shard: str) -> isolation.Isolation:
        if shard not in self._isolations:
            self._isolations[shard] = isolation.Isolation(f"{self._identity}:{shard}")
        return self._isolations[shard]

    def _end(self, shard: str) -> None:
        del self._schedulers[shard]
        del self._reconcilers[shard]
        self._process.log_change("shard.released", shard=shard)

    def _carry_out(self, shard: str, batch: list[Any]) -> None:
        for effect in batch:
            match effect:
                case effects.Reply(address, message):
                    self._send(address, message)
                case effects.CancelAtServer(url, request_id, attempt):
                    self._runner.cancel_at(url, request_id, attempt)
                case effects.ReportCrash():
                    self._report_crash(effect)
                case effects.Note(kind, request, fields):
                    self._process.note(kind, request, shard=shard, **fields)

    def _report_crash(self, effect: effects.ReportCrash) -> None:
        found = effect.report
        report = messages.SuspectReport(
            found.report_id, effect.service, found.fingerprints, found.lonely, found.cleared
        )
        self._reports[found.report_id] = report
        self._send_control(report)

    def _resend_reports(self) -> None:
        for report in self._reports.values():
            self._send_control(report)

    # Engine orders.

    def _reconcile(self, shard: str, now: float) -> None:
        service = self._session.declaration.find_service(shard.partition("/")[0])
        if service is None or not service.models or not self._session.holds_lease(now):
            return
        live = self._schedulers[shard].fleet.directory.live_announcements(now)
        for order in self._reconcilers[shard].decide(service, live, now):
            self._process.note("order.sent", server=order.server, order=order.order_id)
            self._orders.send(shard, order)

    def _handle_order_result(self, shard: str, order: reconciler.Order, accepted: bool) -> None:
        known = self._reconcilers.get(shard)
        if known is not None:
            known.handle_result(order, accepted, self._process.loop.now())
        self._process.note("order.answered", server=order.server, accepted=accepted)
