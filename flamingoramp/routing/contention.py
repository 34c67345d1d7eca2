"""Order of the requests that compete for too little room, and the room that each must leave.

Each entry orders its own requests among those that other entries report as waiting: by rank, by
the recent use of their workspace against its share, then by deadline. A request takes room only if
the rest suffices for all that are ahead of it. Times are monotonic seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from flamingoramp.intent import traffic
from flamingoramp.protocol import load_reports

# Time constant of the decay of what workspaces used and of what was refused to them, and the time
# after the last wait or refusal for which an entry goes on reporting.
USE_SECONDS = 10.0
# Waiting requests that are not reported again for this long are forgotten: their entry may have
# stopped. An entry reports them again well within it, so that two lost reports do no harm.
WAITING_EXPIRY_SECONDS = 1.0
REFRESH_SECONDS = 0.3
# Refused callers are expected back within this time.
RETURN_SECONDS = 0.5
# A workspace that uses up to this multiple of its share is within it.
SHARE_TOLERANCE_RATIO = 1.25
# A request that has waited for this share of the time in which it can be on time is ordered by the
# end of that time instead of its deadline, so that newcomers with nearer deadlines don't pass it
# until it is late.
DUE_RATIO = 0.5
# Rows that are reported, and those of one datagram of 1,400 bytes; a row takes about 90 bytes.
MAX_REPORTED_ROWS = 56
MAX_ROWS_PER_REPORT = 14
# Workspaces and ranks whose use an entry records.
MAX_TRACKED_KINDS = 4096


@attrs.frozen
class Need:
    """Room that requests need or that is free: slots, prefill seconds and memory of engines."""

    request_count: float = 0.0
    engine_seconds: float = 0.0
    memory_tokens: float = 0.0

    def plus(self, other: Need) -> Need:
        """Return the sum of both."""
        return Need(
            self.request_count + other.request_count,
            self.engine_seconds + other.engine_seconds,
            self.memory_tokens + other.memory_tokens,
        )

    def scaled(self, factor: float) -> Need:
        """Return this need times a factor."""
        return Need(
            self.request_count * factor,
            self.engine_seconds * factor,
            self.memory_tokens * factor,
        )

    def capped(self, other: Need) -> Need:
        """Return the smaller of both for each kind of room."""
        return Need(
            min(self.request_count, other.request_count),
            min(self.engine_seconds, other.engine_seconds),
            min(self.memory_tokens, other.memory_tokens),
        )

    def fits(self, free: Need) -> bool:
        """Return whether this much is free."""
        return (
            self.request_count <= free.request_count
            and self.engine_seconds <= free.engine_seconds
            and self.memory_tokens <= free.memory_tokens
        )


@attrs.frozen(eq=False)
class ContendingRequest:
    """A request of this entry that needs room.

    Parameters
    ----------
    service, workspace : str
    rank : int
        Declared priority; 0 is the most urgent.
    arrived_at, deadline : float
    on_time_by, place_by : float
        Latest times of its placement for a first token within the objective, and for one before
        the caller disconnects.
    need : Need
    """

    service: str
    workspace: str
    rank: int
    arrived_at: float
    deadline: float
    on_time_by: float
    place_by: float
    need: Need

    def is_due(self, now: float) -> bool:
        """Return whether it goes before requests of its kind that are not due."""
        return now >= self.arrived_at + DUE_RATIO * (self.on_time_by - self.arrived_at)

    def order_time(self, now: float) -> float:
        """Return the time by which it is ordered among equals, the earliest first."""
        return self.on_time_by if self.is_due(now) else self.deadline


@attrs.frozen
class Row:
    """What one or several entries know of one workspace and rank; times are seconds from a report.

    Parameters
    ----------
    service, workspace : str
    rank : int
    is_due : bool
        Whether the waiting requests are due; False for rows without any.
    waiting : Need
        Sum over the waiting requests.
    first_order_time, last_order_time : float
        Range of their `ContendingRequest.order_time`.
    horizon_seconds : float
        Mean time for which they can still wait.
    use, refused : Need
        What was placed and what was refused, decayed with `USE_SECONDS`.
    """

    service: str
    workspace: str
    rank: int
    is_due: bool = False
    waiting: Need = Need()
    first_order_time: float = 0.0
    last_order_time: float = 0.0
    horizon_seconds: float = 0.0
    use: Need = Need()
    refused: Need = Need()

    @property
    def key(self) -> tuple[str, str, int, bool]:
        """Service, workspace, rank and whether it is due."""
        return (self.service, self.workspace, self.rank, self.is_due)

    def to_values(self) -> tuple[float, ...]:
        """Return the values of the row, without its names, for a report."""
        return (
            float(self.rank),
            float(self.is_due),
            *attrs.astuple(self.waiting),
            self.first_order_time,
            self.last_order_time,
            self.horizon_seconds,
            *attrs.astuple(self.use),
            *attrs.astuple(self.refused),
        )

    @classmethod
    def from_values(cls, service: str, workspace: str, values: tuple[float, ...]) -> Row:
        """Return the row of a report's values."""
        return cls(
            service,
            workspace,
            int(values[0]),
            bool(values[1]),
            Need(*values[2:5]),
            *values[5:8],
            Need(*values[8:11]),
            Need(*values[11:14]),
        )

    def plus(self, other: Row) -> Row:
        """Return the sum of two rows of the same key."""
        ranges = [row for row in (self, other) if row.waiting.request_count]
        waiting = self.waiting.plus(other.waiting)
        horizon_seconds = sum(row.horizon_seconds * row.waiting.request_count for row in ranges)
        return attrs.evolve(
            self,
            waiting=waiting,
            first_order_time=min((row.first_order_time for row in ranges), default=0.0),
            last_order_time=max((row.last_order_time for row in ranges), default=0.0),
            horizon_seconds=horizon_seconds / max(1.0, waiting.request_count),
            use=self.use.plus(other.use),
            refused=self.refused.plus(other.refused),
        )

    def shifted(self, seconds: float) -> Row:
        """Return the row with all times later by ``seconds``."""
        return attrs.evolve(
            self,
            first_order_time=self.first_order_time + seconds,
            last_order_time=self.last_order_time + seconds,
        )

    def without_waiting(self) -> Row:
        """Return the row without its waiting requests."""
        return attrs.evolve(self, waiting=Need())


class DecayingNeed:
    """Sum of needs that decays with `USE_SECONDS`."""

    def __init__(self):
        self._sum = Need()
        self._updated_at = 0.0

    def add(self, need: Need, now: float) -> None:
        """Add a need."""
        self._sum = self.value(now).plus(need)
        self._updated_at = now

    def value(self, now: float) -> Need:
        """Return what is left of the sum."""
        return self._sum.scaled(math.exp(-max(0.0, now - self._updated_at) / USE_SECONDS))


@attrs.frozen
class Ahead:
    """What is ahead of a request.

    Parameters
    ----------
    need : Need
        Room that has to be left.
    horizon_seconds : float
        Mean time for which those ahead can still wait for an engine; infinite for none.
    """

    need: Need = Need()
    horizon_seconds: float = math.inf

    @property
    def is_empty(self) -> bool:
        """Whether nothing is ahead."""
        return self.need == Need()


@attrs.frozen
class Room:
    """Room at the engines of a service, and how fast it is vacated.

    Parameters
    ----------
    free : Need
        Free slots and memory, and the prefill that the engines can start within a horizon.
    running : Need
        Requests and memory at the engines; prefill seconds done per second by all of them.
    """

    free: Need
    running: Need

    def seconds_until(self, needed: Need, answer_seconds: float) -> float:
        """Return the expected time until this much is free; infinite if it never is.

        Parameters
        ----------
        needed : Need
        answer_seconds : float
            Mean time for which a request occupies its slot.
        """
        if needed.memory_tokens > self.free.memory_tokens + self.running.memory_tokens:
            return math.inf
        vacated = (
            self.running.request_count / answer_seconds,
            self.running.engine_seconds,
            self.running.memory_tokens / answer_seconds,
        )
        missing = (
            needed.request_count - self.free.request_count,
            needed.engine_seconds - self.free.engine_seconds,
            needed.memory_tokens - self.free.memory_tokens,
        )
        return max(
            0.0 if lack <= 0 else (lack / rate if rate > 0 else math.inf)
            for lack, rate in zip(missing, vacated, strict=True)
        )


class View:
    """Contention for one service, as one entry knows it at one time.

    Parameters
    ----------
    own : iterable of ContendingRequest
        Requests that wait at this entry, in the order in which they began to.
    rows : iterable of Row
        Use and refusals of this entry, and the rows of others; their times are monotonic.
    now : float
    """

    def __init__(self, own: Iterable[ContendingRequest], rows: Iterable[Row], now: float):
        self._own = list(own)
        self._rows = list(rows)
        self._now = now
        self._levels: dict[str, int] | None = None

    def order_key(self, request: ContendingRequest) -> tuple[int, int, bool, float]:
        """Return the key by which requests are placed, the smallest first."""
        return (
            request.rank,
            self.level(request.workspace),
            not request.is_due(self._now),
            request.order_time(self._now),
        )

    def level(self, workspace: str) -> int:
        """Return 0 for a workspace within its share, more for each doubling beyond it."""
        if self._levels is None:
            self._levels = self._measure_levels()
        return self._levels.get(workspace, 0)

    def ahead_of(self, request: ContendingRequest) -> Ahead:
        """Return what must be left for the requests ahead of one, here and at other entries.

        Room is left for those that were refused and are expected back, too, but for no more than
        their kind has really been using.
        """
        key = self.order_key(request)
        need = Need()
        total_seconds = waiting_count = 0.0
        is_before = True  # among equals of this entry, those that waited before are ahead
        for other in self._own:
            if other is request:
                is_before = False
                continue
            other_key = self.order_key(other)
            if other_key < key or (is_before and other_key == key):
                need = need.plus(other.need)
                total_seconds += max(0.0, other.place_by - self._now)
                waiting_count += 1
        for row in self._rows:
            kind = (row.rank, self.level(row.workspace))
            if row.waiting.request_count:
                share = _share_ahead(row, (*kind, not row.is_due), key)
                need = need.plus(row.waiting.scaled(share))
                total_seconds += share * row.waiting.request_count * row.horizon_seconds
                waiting_count += share * row.waiting.request_count
            if kind < key[:2]:
                returning = row.refused.capped(row.use).scaled(RETURN_SECONDS / USE_SECONDS)
                need = need.plus(returning)
        return Ahead(need, total_seconds / waiting_count if waiting_count else math.inf)

    def _measure_levels(self) -> dict[str, int]:
        """Return the level of each workspace; what was refused counts as used."""
        used: dict[str, float] = {request.workspace: 0.0 for request in self._own}
        for row in self._rows:
            amount = row.use.engine_seconds + row.refused.engine_seconds
            if amount or row.waiting.request_count:
                used[row.workspace] = used.get(row.workspace, 0.0) + amount
        share = sum(used.values()) / max(1, len(used))
        return {
            workspace: math.ceil(math.log2(amount / share))
            for workspace, amount in used.items()
            if amount > SHARE_TOLERANCE_RATIO * share
        }


def _share_ahead(row: Row, kind: tuple[int, int, bool], key: tuple[int, int, bool, float]) -> float:
    """Return the estimated share of a row's waiting requests that are ahead of a key."""
    if kind != key[:3]:
        return 1.0 if kind < key[:3] else 0.0
    span = row.last_order_time - row.first_order_time
    if span <= 0:
        return 1.0 if row.first_order_time < key[3] else 0.0
    return min(1.0, max(0.0, (key[3] - row.first_order_time) / span))


@attrs.frozen
class _ReportedRows:
    """Rows of one reporter with monotonic times, and when its report was received."""

    rows: dict[tuple[str, str, int, bool], Row]
    sequence: int
    received_at: float

    def at(self, now: float) -> list[Row]:
        """Return the rows, without waiting requests if these are too old."""
        if now - self.received_at < WAITING_EXPIRY_SECONDS:
            return list(self.rows.values())
        return [row.without_waiting() for row in self.rows.values()]


class ContentionBook:
    """Requests that wait at this entry, what workspaces use, and what other entries report."""

    def __init__(self):
        self._waiting: dict[int, ContendingRequest] = {}
        self._use: dict[tuple[str, str, int], DecayingNeed] = {}
        self._refused: dict[tuple[str, str, int], DecayingNeed] = {}
        self._contended_at: dict[str, float] = {}
        self._reported: dict[str, _ReportedRows] = {}
        self._has_news = False
        self._described_at = 0.0

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait at this entry."""
        return len(self._waiting)

    @property
    def has_unreported_changes(self) -> bool:
        """Whether other entries should hear of a change."""
        return self._has_news

    @property
    def is_empty(self) -> bool:
        """Whether nothing has contended so far, here or elsewhere."""
        return not (self._waiting or self._contended_at or self._reported)

    # Requests of this entry.

    def add_waiting(self, request: ContendingRequest, now: float) -> None:
        """Add a request that waits for room."""
        self._waiting[id(request)] = request
        self._contended_at[request.service] = now
        self._has_news = True

    def remove_waiting(self, request: ContendingRequest, now: float) -> None:
        """Remove a request; does nothing if it doesn't wait."""
        if self._waiting.pop(id(request), None) is not None:
            self._contended_at[request.service] = now
            self._has_news = True

    def record_use(self, request: ContendingRequest, now: float) -> None:
        """Charge a placement to the workspace of the request."""
        _meter(self._use, request, now).add(request.need, now)

    def record_refusal(self, request: ContendingRequest, now: float) -> None:
        """Charge a refusal to the workspace of the request."""
        _meter(self._refused, request, now).add(request.need, now)
        self._contended_at[request.service] = now
        self._has_news = True

    def refresh(self, now: float) -> None:
        """Have the waiting requests reported again if the last report may have been lost."""
        if self._waiting and now - self._described_at >= REFRESH_SECONDS:
            self._has_news = True

    def view(self, service: str, counted: Iterable[str], now: float) -> View:
        """Return the contention for a service.

        Parameters
        ----------
        service : str
        counted : iterable of str
            Keys of the reporters whose reports hold.
        now : float
        """
        own = [request for request in self._waiting.values() if request.service == service]
        rows = [row for row in self._own_rows(now) if row.service == service]
        for key in counted:
            if key in self._reported:
                rows.extend(row for row in self._reported[key].at(now) if row.service == service)
        return View(own, rows, now)

    # Reports.

    def handle_report(self, key: str, report: load_reports.LoadReport, now: float) -> None:
        """Replace the rows of a reporter; a report without rows says nothing of them.

        Reports of the same sequence number are parts of one.
        """
        previous = self._reported.get(key)
        if not report.contending_services or (previous and previous.sequence > report.sequence):
            return
        rows = {row.key: row.shifted(now) for row in read_rows(report)}
        if previous and previous.sequence == report.sequence:
            rows = {**previous.rows, **rows}
        self._reported[key] = _ReportedRows(rows, report.sequence, now)

    def remove_reporter(self, key: str) -> None:
        """Forget what a reporter has reported."""
        self._reported.pop(key, None)

    def describe(
        self, now: float, counted: Iterable[str], summed: Iterable[str] | None = None
    ) -> list[Row]:
        """Return the rows to report, with times from now; none where nothing contends.

        Parameters
        ----------
        now : float
        counted : iterable of str
            Keys of the reporters whose reports hold.
        summed : iterable of str
            Those of them whose rows are added to this entry's, for the summary of a zone; None for
            a report of this entry alone.
        """
        contended = self._contended_services(now, counted)
        if summed is None:
            self._has_news = False
            self._described_at = now
        if not contended:
            return []
        rows: dict[tuple[str, str, int], Row] = {}
        reported = [
            row
            for key in summed or ()
            if key in self._reported
            for row in self._reported[key].at(now)
        ]
        # A row without values tells that nothing waits any more.
        empty = [Row(service, "", 0) for service in contended]
        for row in [*self._own_waiting_rows(now), *self._own_rows(now), *reported, *empty]:
            if row.service in contended:
                rows[row.key] = rows[row.key].plus(row) if row.key in rows else row
        # Rows of waiting requests come first, then those of the largest use.
        chosen = sorted(
            rows.values(),
            key=lambda row: (
                not row.waiting.request_count,
                -row.use.engine_seconds - row.refused.engine_seconds,
            ),
        )
        return [row.shifted(-now) for row in chosen[:MAX_REPORTED_ROWS]]

    def _contended_services(self, now: float, counted: Iterable[str]) -> set[str]:
        """Return the services for which requests wait or were refused lately, here or elsewhere."""
        services = {request.service for request in self._waiting.values()}
        services |= {
            service for service, at in self._contended_at.items() if now - at < USE_SECONDS
        }
        for key in counted:
            if key in self._reported:
                services |= {
                    row.service for row in self._reported[key].at(now) if row.waiting.request_count
                }
        return services

    def _own_waiting_rows(self, now: float) -> list[Row]:
        return [
            Row(
                request.service,
                request.workspace,
                request.rank,
                is_due=request.is_due(now),
                waiting=request.need,
                first_order_time=request.order_time(now),
                last_order_time=request.order_time(now),
                horizon_seconds=max(0.0, request.place_by - now),
            )
            for request in self._waiting.values()
        ]

    def _own_rows(self, now: float) -> list[Row]:
        return [
            Row(
                *key,
                use=self._use[key].value(now) if key in self._use else Need(),
                refused=self._refused[key].value(now) if key in self._refused else Need(),
            )
            for key in self._use.keys() | self._refused.keys()
        ]


def _meter(
    meters: dict[tuple[str, str, int], DecayingNeed], request: ContendingRequest, now: float
) -> DecayingNeed:
    """Return the meter of a request's kind; the least used are dropped beyond the bound."""
    key = (request.service, request.workspace, request.rank)
    if key not in meters:
        if len(meters) >= MAX_TRACKED_KINDS:
            del meters[min(meters, key=lambda item: meters[item].value(now).engine_seconds)]
        meters[key] = DecayingNeed()
    return meters[key]


def ranks_of(declaration: traffic.TrafficDeclaration, service: str) -> frozenset[int]:
    """Return the ranks that requests for a service can have; none if its routes don't differ.

    A declaration asks for an order by routes of one service with different priorities. Priorities
    of workspaces alone are only passed on to the engines.
    """
    routes = [
        route
        for route in declaration.routes
        if any(share.service == service and share.weight for share in route.shares)
    ]
    if len({route.priority for route in routes}) < 2:
        return frozenset()
    ranks = set()
    for route in routes:
        if route.is_public or not declaration.workspaces:
            ranks.add(route.priority)
        for workspace in declaration.workspaces:
            ranks.add(route.priority if workspace.priority is None else workspace.priority)
    return frozenset(ranks)


def read_rows(report: load_reports.LoadReport) -> list[Row]:
    """Return the rows of a report."""
    count = load_reports.CONTENTION_VALUE_COUNT
    names = zip(report.contending_services, report.contending_workspaces, strict=True)
    return [
        Row.from_values(*name, report.contention[position * count : (position + 1) * count])
        for position, name in enumerate(names)
    ]
