"""Shards that an entry owns: runs their schedulers and has engines load the declared models."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from flamingoramp.backends import order_sender
from flamingoramp.backends import runner as runner_module
from flamingoramp.daemons import process as process_module
from flamingoramp.intent import declarations
from flamingoramp.membership import control_session
from flamingoramp.orders import reconciler
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import effects, isolation, scheduler

REPORT_RESEND_INTERVAL_SECONDS = 1.0
EARLY_MESSAGE_RETENTION_SECONDS = 1.0
MAX_EARLY_MESSAGES = 4096


class OwnedShards:
    """Schedulers and reconcilers of the shards that this entry currently owns.

    Parameters
    ----------
    process : process_module.Process
    session : control_session.ControlSession
    identity : str
        Name and incarnation of this entry.
    runner : runner_module.AttemptRunner
    send_to_entry : callable
        Takes an entry's internal address and a message.
    send_to_control : callable
        Takes a message for the leading control replica.
    make_order_sender : callable
        Builds the sender of orders to engines; tests pass a replacement without sockets.
    """

    def __init__(
        self,
        *,
        process: process_module.Process,
        session: control_session.ControlSession,
        identity: str,
        runner: runner_module.AttemptRunner,
        send_to_entry: Callable[[str, Any], None],
        send_to_control: Callable[[Any], None],
        make_order_sender: Callable[..., Any] = order_sender.OrderSender,
    ):
        self._process = process
        self._session = session
        self._identity = identity
        self._runner = runner
        self._send_to_entry = send_to_entry
        self._send_to_control = send_to_control
        self._schedulers: dict[str, scheduler.Scheduler] = {}
        # Kept when an ownership ends, so that crash suspects survive a lease that lapses and is
        # renewed.
        self._crash_trackers: dict[str, isolation.CrashTracker] = {}
        self._reconcilers: dict[str, reconciler.Reconciler] = {}
        self._order_sender = make_order_sender(process.loop, self._handle_order_result)
        self._unacknowledged_reports: dict[str, shard_messages.SuspectReport] = {}
        self._released_all = False
        # Messages for shards that other processes already know to be owned by this entry, before
        # this entry itself knows.
        self._early_messages: collections.deque[tuple[float, str, Any]] = collections.deque(
            maxlen=MAX_EARLY_MESSAGES
        )
        process.loop.call_every(REPORT_RESEND_INTERVAL_SECONDS, self._resend_reports)

    @property
    def schedulers(self) -> dict[str, scheduler.Scheduler]:
        """Scheduler of each owned shard, by the shard's name."""
        return self._schedulers

    def describe(self) -> list[dict[str, Any]]:
        """Return generation and load of each owned shard as JSON-compatible data."""
        now = self._process.loop.now()
        return [
            {
                "shard": shard,
                "generation": shard_scheduler.generation,
                "servers": len(shard_scheduler.fleet.directory.live_announcements(now)),
                "reservations": len(shard_scheduler.fleet.ledger),
                "reserved_tokens": sum(
                    sum(reservation.tokens) for reservation in shard_scheduler.fleet.ledger.all()
                ),
                "waiting": shard_scheduler.waiting_count,
            }
            for shard, shard_scheduler in self._schedulers.items()
        ]

    def update_ownership(self, now: float) -> None:
        """Begin and end ownership of shards according to the session's ownership table and lease.

        While the lease is lapsed, an owned shard grants nothing but keeps its state: if the
        generation is unchanged once the lease is renewed, no other entry owned the shard meanwhile.
        """
        owners = {
            shard: owner
            for shard, owner in self._session.shards.items()
            if owner.owner == self._identity and not self._released_all
        }
        for shard, shard_scheduler in list(self._schedulers.items()):
            if shard not in owners or owners[shard].generation != shard_scheduler.generation:
                self._end_ownership(shard)
        holds_lease = self._session.holds_lease(now)
        for shard, owner in owners.items():
            if shard not in self._schedulers and holds_lease:
                self._begin_ownership(owner, now)

    def release_all(self) -> None:
        """Release all shards for a planned stop; none is owned again afterwards."""
        self._released_all = True
        for shard in list(self._schedulers):
            self._end_ownership(shard)

    def configure(self, declaration: declarations.Declaration) -> None:
        """Pass a newer declaration to all schedulers."""
        for shard_scheduler in self._schedulers.values():
            shard_scheduler.configure(declaration)

    def evacuate(self, zones: tuple[str, ...]) -> None:
        """Pass the evacuated zones to all schedulers."""
        for shard_scheduler in self._schedulers.values():
            shard_scheduler.evacuate(zones)

    def load_suspects(self) -> None:
        """Load the session's committed crash suspects into all shards."""
        for crash_tracker in self._crash_trackers.values():
            crash_tracker.load(self._session.suspects, self._session.suspects_version)

    def handle(self, shard: str, message: Any) -> None:
        """Handle a message for a shard.

        A message for a shard that is not owned is kept for `EARLY_MESSAGE_RETENTION_SECONDS`, in
        case the ownership begins.
        """
        shard_scheduler = self._schedulers.get(shard)
        now = self._process.loop.now()
        if shard_scheduler is None:
            self._process.metrics.count("messages_for_other_owners")
            self._early_messages.append((now, shard, message))
            return
        self._apply_effects(shard, shard_scheduler.handle(message, now))
        if isinstance(message, shard_messages.Announcement):
            self._reconcile(shard, now)

    def handle_report_committed(self, report_id: str, version: int) -> None:
        """Stop resending a crash report that control has committed at a version of the suspects."""
        self._unacknowledged_reports.pop(report_id, None)
        for crash_tracker in self._crash_trackers.values():
            crash_tracker.mark_committed(report_id, version)

    def tick(self) -> None:
        """Apply changes of ownership, then let the schedulers expire leases and deadlines."""
        now = self._process.loop.now()
        self.update_ownership(now)
        for shard, shard_scheduler in list(self._schedulers.items()):
            self._apply_effects(shard, shard_scheduler.tick(now))

    def _begin_ownership(self, owner: shard_messages.ShardOwner, now: float) -> None:
        timing = self._process.settings.timing
        shard_scheduler = scheduler.Scheduler(
            shard=owner.shard,
            declaration=self._session.declaration,
            lease_seconds=timing.announcement_lease_seconds,
            reservation_expiry_seconds=timing.reservation_expiry_seconds,
            crash_tracker=self._crash_tracker_of(owner.shard),
            holds_lease=self._session.holds_lease,
        )
        shard_scheduler.evacuate(self._session.evacuated_zones)
        entry_names = {entry.name for entry in self._session.entries}
        shard_scheduler.begin_ownership(owner.generation, entry_names, now)
        self._crash_trackers[owner.shard].load(
            self._session.suspects, self._session.suspects_version
        )
        self._schedulers[owner.shard] = shard_scheduler
        # Engines that ignore fencing may still act on an earlier owner's order.
        max_lease_seconds = timing.session_lease_seconds * (1 + timing.clock_rate_bound)
        self._reconcilers[owner.shard] = reconciler.Reconciler(
            fence=owner.generation,
            owned_since=now,
            max_delivery_seconds=max_lease_seconds + timing.order_flight_seconds,
        )
        self._process.log_change("shard.owned", shard=owner.shard, generation=owner.generation)
        self._handle_early_messages(owner.shard, now)

    def _handle_early_messages(self, shard: str, now: float) -> None:
        """Handle recent messages that arrived before this ownership began, in order of arrival."""
        early_messages = list(self._early_messages)
        self._early_messages.clear()
        for received_at, target, message in early_messages:
            if target == shard and now - received_at <= EARLY_MESSAGE_RETENTION_SECONDS:
                self.handle(shard, message)
            elif target != shard:
                self._early_messages.append((received_at, target, message))

    def _crash_tracker_of(self, shard: str) -> isolation.CrashTracker:
        if shard not in self._crash_trackers:
            self._crash_trackers[shard] = isolation.CrashTracker(f"{self._identity}:{shard}")
        return self._crash_trackers[shard]

    def _end_ownership(self, shard: str) -> None:
        del self._schedulers[shard]
        del self._reconcilers[shard]
        self._process.log_change("shard.released", shard=shard)

    def _apply_effects(self, shard: str, batch: list[Any]) -> None:
        for effect in batch:
            match effect:
                case effects.Reply(address, message):
                    self._send_to_entry(address, message)
                case effects.CancelAtServer(url, request_id, attempt):
                    self._runner.cancel_on_server(url, request_id, attempt)
                case effects.ReportSuspects():
                    self._report_crash(effect)
                case effects.RecordEvent(event, request_id, fields):
                    self._process.record_event(event, request_id, shard=shard, **fields)

    def _report_crash(self, effect: effects.ReportSuspects) -> None:
        crash_report = effect.report
        report = shard_messages.SuspectReport(
            crash_report.report_id,
            effect.service,
            crash_report.fingerprints,
            crash_report.ran_alone,
            crash_report.cleared,
        )
        self._unacknowledged_reports[crash_report.report_id] = report
        self._send_to_control(report)

    def _resend_reports(self) -> None:
        for report in self._unacknowledged_reports.values():
            self._send_to_control(report)

    # Orders to engines to load models.

    def _reconcile(self, shard: str, now: float) -> None:
        service = self._session.declaration.find_service(shard.partition("/")[0])
        if service is None or not service.models or not self._session.holds_lease(now):
            return
        live_servers = self._schedulers[shard].fleet.directory.live_announcements(now)
        for order in self._reconcilers[shard].next_orders(service, live_servers, now):
            self._process.record_event("order.sent", server=order.server, order=order.order_id)
            self._order_sender.send(shard, order)

    def _handle_order_result(self, shard: str, order: reconciler.Order, accepted: bool) -> None:
        shard_reconciler = self._reconcilers.get(shard)
        if shard_reconciler is not None:
            shard_reconciler.handle_result(order, accepted, self._process.loop.now())
        self._process.record_event("order.answered", server=order.server, accepted=accepted)
