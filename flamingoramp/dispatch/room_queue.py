"""Queue of the requests of one entry that wait until engines have room for them.

Only services with an engine model whose routes have different priorities use it; all others are
forwarded as they arrive. `routing.contention` decides about the order.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import attempts, error_boundary
from flamingoramp.intent import traffic
from flamingoramp.routing import contention, load_table, placement, selection
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Interval at which waiting requests are tried again: a little more than that of load reports.
RETRY_INTERVAL_SECONDS = 0.02
# After a longer interval this process was suspended; load reports that arrived meanwhile are read
# before requests are placed.
SUSPENDED_SECONDS = 0.5
# Placements that are computed in one interval; each takes about a millisecond.
MAX_TRIES_PER_INTERVAL = 4
MAX_WAITING_REQUESTS = 64
MAX_WAITING_BYTES = 32 * 1024 * 1024
# Weight of the latest answer in the mean time that an answer takes.
ANSWER_SECONDS_WEIGHT = 0.05


class RecordStep(Protocol):
    """Logs a step of a request and counts it."""

    def __call__(self, admitted: attempts.AdmittedRequest, event: str, **fields: Any) -> None:
        """Log an event with its fields."""


@attrs.define(eq=False)
class _WaitingItem:
    """A request, and what starts it once its target or its refusal is known.

    ``boundary`` contains the errors of what is done for this request alone.
    """

    admitted: attempts.AdmittedRequest
    request: contention.ContendingRequest
    begin: Callable[[], None]
    boundary: error_boundary.ErrorBoundary
    is_queued: bool = False

    @property
    def body_bytes(self) -> int:
        """Size of the body, which is held in memory."""
        return len(self.admitted.exchange.request.body)


@attrs.frozen
class _NoRoom:
    """Why a request finds no room, and when it is expected to."""

    reason: str
    expected_seconds: float


class RoomQueue:
    """Places the requests of contended services in order, and holds those that wait.

    Parameters
    ----------
    loop : loops.Loop
    selector : selection.ServerSelector
    loads : load_table.LoadTable
    metrics : metrics_module.Metrics
    record_step : RecordStep
    find_declaration : callable
        Returns the declaration in force.
    """

    def __init__(
        self,
        loop: loops.Loop,
        selector: selection.ServerSelector,
        loads: load_table.LoadTable,
        *,
        metrics: metrics_module.Metrics,
        record_step: RecordStep,
        find_declaration: Callable[[], traffic.TrafficDeclaration],
    ):
        self._loop = loop
        self._selector = selector
        self._loads = loads
        self._book = loads.contention
        self._metrics = metrics
        self._record_step = record_step
        self._find_declaration = find_declaration
        self._items: dict[int, _WaitingItem] = {}
        self._decisions: dict[int, attempts.AttemptTarget | errors.FlamingorampError] = {}
        self._ranks: dict[str, frozenset[int]] = {}
        self._ranked_declaration: traffic.TrafficDeclaration | None = None
        self._answer_seconds = attempts.RETRY_AFTER_SECONDS
        self._is_timer_set = False
        self._tried_at = 0.0

    def start(
        self,
        admitted: attempts.AdmittedRequest,
        begin: Callable[[], None],
        boundary: error_boundary.ErrorBoundary,
    ) -> None:
        """Start a request at once, or once there is room or none can be expected in time.

        Parameters
        ----------
        admitted : attempts.AdmittedRequest
        begin : callable
            Starts the request, which then asks for `take_decision`.
        boundary : error_boundary.ErrorBoundary
            Ends the request after an unexpected error while it waits.
        """
        if not self._contends(admitted):
            begin()
            return
        now = self._loop.now()
        item = _WaitingItem(admitted, self._to_contending(admitted), begin, boundary)
        outcome = self._try_to_place(item, now)
        self._selector.record_arrival(admitted, now)
        if outcome is None:
            return
        if now + outcome.expected_seconds > item.request.on_time_by:
            self._refuse(item, outcome.reason, outcome.expected_seconds)
        elif self._make_place(item, now):
            self._enqueue(item, outcome, now)
        else:
            self._refuse(item, "queue_full", outcome.expected_seconds)

    def take_decision(self, admitted: attempts.AdmittedRequest) -> attempts.AttemptTarget | None:
        """Return the target that a starting request was given, None if it wasn't queued here.

        Raises
        ------
        flamingoramp.errors.FlamingorampError
            If the request is refused.
        """
        decision = self._decisions.pop(id(admitted), None)
        if isinstance(decision, errors.FlamingorampError):
            raise decision
        return decision

    def handle_end(self, admitted: attempts.AdmittedRequest, outcome: str, seconds: float) -> None:
        """Remove a request that has ended, and learn from complete answers how long they take."""
        item = self._items.get(id(admitted))
        if item is not None:
            self._leave(item, "caller_gone" if outcome == "caller_gone" else "ended")
        if outcome == "done" and self._contends(admitted):
            self._answer_seconds += ANSWER_SECONDS_WEIGHT * (seconds - self._answer_seconds)

    def _contends(self, admitted: attempts.AdmittedRequest) -> bool:
        declaration = self._find_declaration()
        if declaration is not self._ranked_declaration:
            self._ranked_declaration = declaration
            self._ranks.clear()
        ranks = self._ranks.get(admitted.service)
        if ranks is None:
            ranks = contention.ranks_of(declaration, admitted.service)
            self._ranks[admitted.service] = ranks
        if len(ranks) < 2 or not admitted.caller.prompt_tokens:
            return False
        service = declaration.find_service(admitted.service)
        return service is not None and service.engine is not None

    def _to_contending(self, admitted: attempts.AdmittedRequest) -> contention.ContendingRequest:
        """Return what a request needs, and by when."""
        route = admitted.route
        caller = admitted.caller
        arrived_at = admitted.exchange.arrived_at
        model = self._find_declaration().find_service(admitted.service).engine
        prefill_seconds = model.prefill_seconds(caller.prompt_tokens)
        shortest_seconds = prefill_seconds / placement.GROUP_SIZES[-1]
        patience_seconds = min(admitted.time_limit_seconds, selection.first_token_timeout(route))
        place_by = arrived_at + max(
            0.0, placement.TIMEOUT_MISSED_RATIO * patience_seconds - shortest_seconds
        )
        on_time_by = place_by
        if route.latency_objective_seconds:
            on_time_seconds = route.latency_objective_seconds - shortest_seconds
            on_time_by = min(place_by, arrived_at + max(0.0, on_time_seconds))
        return contention.ContendingRequest(
            service=admitted.service,
            workspace=admitted.workspace,
            rank=admitted.rank,
            arrived_at=arrived_at,
            deadline=arrived_at + admitted.time_limit_seconds,
            on_time_by=on_time_by,
            place_by=place_by,
            need=contention.Need(
                1.0, prefill_seconds, float(caller.prompt_tokens + caller.output_tokens)
            ),
        )

    # Placement.

    def _try_to_place(self, item: _WaitingItem, now: float) -> _NoRoom | None:
        """Start a request if there is room beside those ahead of it, or if no server is known."""
        request = item.request
        ahead = self._loads.view_contention(request.service, now).ahead_of(request)
        horizon_seconds = max(0.0, min(ahead.horizon_seconds, request.place_by - now))
        needed = ahead.need.plus(request.need)
        if not ahead.is_empty:
            room = self._measure_room(request.service, horizon_seconds, now)
            if room is None or not needed.fits(room.free):
                return self._expect_room("behind_others", room, needed)
        try:
            target = self._selector.choose(
                self._find_declaration(),
                item.admitted,
                set(),
                now=now,
                waited_seconds=now - request.arrived_at,
                is_arrival=False,
            )
        except errors.OverloadedError as error:
            if error.seconds_until_free is None:
                self._decide(item, error, "no_server")
                return None
            room = self._measure_room(request.service, horizon_seconds, now)
            no_room = self._expect_room("no_room", room, needed)
            return attrs.evolve(
                no_room, expected_seconds=max(no_room.expected_seconds, error.seconds_until_free)
            )
        except errors.FlamingorampError as error:
            self._decide(item, error, "no_server")
            return None
        self._book.record_use(request, now)
        self._decide(item, target, "placed")
        return None

    def _expected_seconds(self, item: _WaitingItem, now: float) -> float:
        """Return the time until there is room for a request by the known load."""
        request = item.request
        ahead = self._loads.view_contention(request.service, now).ahead_of(request)
        room = self._measure_room(request.service, request.place_by - request.arrived_at, now)
        return self._expect_room("", room, ahead.need.plus(request.need)).expected_seconds

    def _measure_room(
        self, service_name: str, horizon_seconds: float, now: float
    ) -> contention.Room | None:
        service = self._find_declaration().find_service(service_name)
        if service is None or service.engine is None:
            return None
        return self._selector.measure_room(
            service,
            horizon_seconds=horizon_seconds,
            now=now,
        )

    def _expect_room(
        self, reason: str, room: contention.Room | None, needed: contention.Need
    ) -> _NoRoom:
        if room is None:
            return _NoRoom("no_server", 0.0)
        return _NoRoom(reason, room.seconds_until(needed, self._answer_seconds))

    def _decide(
        self,
        item: _WaitingItem,
        decision: attempts.AttemptTarget | errors.FlamingorampError,
        reason: str,
    ) -> None:
        """Start a request with the target or the refusal that it is given."""
        self._leave(item, reason)
        self._decisions[id(item.admitted)] = decision
        try:
            item.begin()
        finally:
            self._decisions.pop(id(item.admitted), None)

    def _refuse(self, item: _WaitingItem, reason: str, expected_seconds: float) -> None:
        """Refuse a request, with the time at which room is expected."""
        self._book.record_refusal(item.request, self._loop.now())
        self._metrics.count("contention_refusals", reason=reason, rank=str(item.request.rank))
        patience_seconds = max(0.0, item.request.place_by - item.request.arrived_at)
        error = selection.overload_error(
            f"no engine has room in time ({reason})", min(expected_seconds, patience_seconds)
        )
        self._decide(item, error, reason)

    def _refuse_late(self, item: _WaitingItem, now: float) -> None:
        self._refuse(item, "time_over", self._expected_seconds(item, now))

    def _displace(self, item: _WaitingItem, now: float) -> None:
        self._refuse(item, "displaced", self._expected_seconds(item, now))

    # Waiting.

    def _make_place(self, item: _WaitingItem, now: float) -> bool:
        """Make place in a full queue for a request that is ahead of the last one there."""
        while self._is_full(item):
            service = item.request.service
            view = self._loads.view_contention(service, now)
            others = [other for other in self._items.values() if other.request.service == service]
            last = max(others, key=lambda other: view.order_key(other.request), default=None)
            if last is None or view.order_key(last.request) <= view.order_key(item.request):
                return False
            last.boundary.run(self._displace, last, now)
            if last.is_queued:
                return False
        return True

    def _is_full(self, item: _WaitingItem) -> bool:
        held_bytes = sum(other.body_bytes for other in self._items.values())
        return (
            len(self._items) >= MAX_WAITING_REQUESTS
            or held_bytes + item.body_bytes > MAX_WAITING_BYTES
        )

    def _enqueue(self, item: _WaitingItem, outcome: _NoRoom, now: float) -> None:
        item.is_queued = True
        self._items[id(item.admitted)] = item
        self._book.add_waiting(item.request, now)
        self._metrics.set_gauge("waiting_requests", len(self._items))
        self._record_step(
            item.admitted,
            "request.queued",
            rank=item.request.rank,
            workspace=item.request.workspace,
            level=self._loads.view_contention(item.request.service, now).level(
                item.request.workspace
            ),
            why=outcome.reason,
            expected=round(outcome.expected_seconds, 3),
        )
        self._set_timer()

    def _leave(self, item: _WaitingItem, reason: str) -> None:
        """Remove a request from the queue; does nothing if it doesn't wait."""
        if not item.is_queued:
            return
        now = self._loop.now()
        item.is_queued = False
        del self._items[id(item.admitted)]
        self._book.remove_waiting(item.request, now)
        self._metrics.set_gauge("waiting_requests", len(self._items))
        self._metrics.count("queue_ends", reason=reason, rank=str(item.request.rank))
        waited_seconds = now - item.request.arrived_at
        self._metrics.observe("queue_seconds", waited_seconds, rank=str(item.request.rank))
        self._record_step(
            item.admitted,
            "request.left_queue",
            why=reason,
            rank=item.request.rank,
            workspace=item.request.workspace,
            waited=round(waited_seconds, 4),
        )

    def _set_timer(self) -> None:
        if self._items and not self._is_timer_set:
            self._is_timer_set = True
            self._tried_at = self._loop.now()
            self._loop.call_later(RETRY_INTERVAL_SECONDS, self._try_waiting)

    def _try_waiting(self) -> None:
        """Refuse the requests whose time is over, and place others in their order."""
        now = self._loop.now()
        was_suspended = now - self._tried_at > SUSPENDED_SECONDS
        self._is_timer_set = False
        self._set_timer()
        self._book.refresh(now)
        for item in list(self._items.values()):
            if item.is_queued and now >= item.request.place_by:
                item.boundary.run(self._refuse_late, item, now)
        if not was_suspended:
            for service in {item.request.service for item in self._items.values()}:
                self._place_waiting(service, now)

    def _place_waiting(self, service: str, now: float) -> None:
        view = self._loads.view_contention(service, now)
        items = [item for item in self._items.values() if item.request.service == service]
        items.sort(key=lambda item: view.order_key(item.request))
        without_room: list[contention.Need] = []
        tries = itertools.count(1)
        for item in items:
            if not item.is_queued or any(need.fits(item.request.need) for need in without_room):
                continue  # gone, or needs at least as much as one that found no room
            outcome = item.boundary.run(self._try_to_place, item, now)
            if outcome is not None:
                without_room.append(item.request.need)
                if now + outcome.expected_seconds > item.request.place_by:
                    item.boundary.run(self._refuse, item, outcome.reason, outcome.expected_seconds)
            if next(tries) >= MAX_TRIES_PER_INTERVAL:
                return
