"""Load of each backend server: this entry's work, and that reported by other entries.

The load counts the requests on a server, their memory and the prefill that is outstanding. Field
names with ``reading`` are about prefill.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import load_reports
from flamingoramp.routing import contention, noticed_loads, rates, statements

# Upper bounds of the pause objective of strict and relaxed requests; all others are patient.
STRICT_PAUSE_SECONDS = 0.4
RELAXED_PAUSE_SECONDS = 0.8
# An entry that hasn't reported for longer is assumed to have stopped, and its work with it, unless
# its reports state another time.
REPORT_EXPIRY_SECONDS = 1.5
# Share of the time for which a report is valid after which its sender counts as out of contact: two
# of its heartbeats.
CONTACT_RATIO = 0.4
# Time constant of the rate by which an entry notices a burst before others report theirs.
BURST_TIME_CONSTANT_SECONDS = 0.5
# Number of entries that is assumed while the others aren't known.
ASSUMED_ENTRY_COUNT = 200
# Servers of one report part; a packed record takes about 25 bytes, and a datagram carries 1,400.
MAX_SERVERS_PER_PART = 45


@attrs.define(eq=False, repr=False)
class WorkItem(value_classes.MutableValue):
    """The work of one request on one server, as sent by this entry.

    Parameters
    ----------
    server : str
    gap_objective_seconds : float
        Longest pause in the answer that meets the objective; 0 for a helper, which sends none.
    memory_tokens : int
        Memory that the work occupies at the server.
    part_seconds : float
        Predicted prefill time of the server's part of the prompt.
    prefill_end : float
        Predicted end of the prefill, in monotonic seconds; 0 once it has ended.
    is_helper : bool
        Whether the server prefills a part of the prompt for another server, which decodes the
        answer.
    credit : float
        Value of the request, in the units of `placement`.
    """

    server: str
    gap_objective_seconds: float = 0.0
    memory_tokens: int = 0
    part_seconds: float = 0.0
    prefill_end: float = 0.0
    is_helper: bool = False
    credit: float = 0.0


@attrs.define(eq=False, repr=False)
class ServerLoad(value_classes.MutableValue):
    """Total known load of one server.

    Parameters
    ----------
    strict, relaxed, patient : int
        Numbers of requests by the class of their pause objective.
    reading_seconds : float
        Outstanding prefill time of all requests.
    part_seconds : float
        Prefill time of the longest part among them.
    memory_tokens : int
        Memory that is occupied.
    helping : int
        Number of parts that the server prefills as a helper.
    reading_credit : float
        Credit of the requests whose prefill is outstanding.
    """

    strict: int = 0
    relaxed: int = 0
    patient: int = 0
    reading_seconds: float = 0.0
    part_seconds: float = 0.0
    memory_tokens: int = 0
    helping: int = 0
    reading_credit: float = 0.0

    @property
    def request_count(self) -> int:
        """Number of requests that occupy or wait for a slot; excludes parts for other servers."""
        return self.strict + self.relaxed + self.patient

    def add(self, work: WorkItem, now: float) -> None:
        """Add a work item of this entry."""
        if work.is_helper:
            self.helping += 1
        elif work.gap_objective_seconds <= STRICT_PAUSE_SECONDS:
            self.strict += 1
        elif work.gap_objective_seconds <= RELAXED_PAUSE_SECONDS:
            self.relaxed += 1
        else:
            self.patient += 1
        self.memory_tokens += work.memory_tokens
        left = min(work.part_seconds, max(0.0, work.prefill_end - now))
        self.reading_seconds += left
        if left > 0:
            self.part_seconds = max(self.part_seconds, work.part_seconds)
            self.reading_credit += work.credit

    def add_reported(self, load: ServerLoad, age: float) -> None:
        """Add the load that another entry reported ``age`` seconds ago."""
        self.strict += load.strict
        self.relaxed += load.relaxed
        self.patient += load.patient
        self.helping += load.helping
        self.memory_tokens += load.memory_tokens
        left = max(0.0, load.reading_seconds - age)
        self.reading_seconds += left
        if left > 0:
            self.part_seconds = max(self.part_seconds, load.part_seconds)
            self.reading_credit += load.reading_credit

    def to_values(self) -> tuple[float, ...]:
        """Return the fields in their order, as in `load_reports.LoadReport.loads`."""
        return (
            self.strict,
            self.relaxed,
            self.patient,
            self.reading_seconds,
            self.part_seconds,
            self.memory_tokens,
            self.helping,
            self.reading_credit,
        )


def _read_loads(report: load_reports.LoadReport) -> dict[str, ServerLoad]:
    """Return the load of each server of a report."""
    values = iter(report.loads)
    return {
        server: ServerLoad(
            int(strict),
            int(relaxed),
            int(patient),
            reading,
            part,
            int(memory),
            int(helping),
            credit,
        )
        for server, (strict, relaxed, patient, reading, part, memory, helping, credit) in zip(
            report.servers, zip(*[values] * load_reports.LOAD_VALUE_COUNT, strict=True), strict=True
        )
    }


@attrs.define(eq=False, repr=False)
class _Reporter(value_classes.MutableValue):
    """One entry, or the relay of one zone, and the servers on which it reported load.

    ``sequences`` holds the sequence number of the last full report, by part, ``arrivals`` the
    credit per second of the requests that arrive there, by service, ``request_rates`` the number
    of requests per second, and ``sent_counts`` the requests sent, by server with a statement.
    ``rates_at`` is the time of the last report with ``request_rates``.
    """

    incarnation: str
    zone: str
    is_summary: bool
    received_at: float = 0.0
    valid_seconds: float = REPORT_EXPIRY_SECONDS
    servers: set[str] = attrs.field(factory=set)
    sequences: dict[int, int] = attrs.field(factory=dict)
    arrivals: dict[str, float] = attrs.field(factory=dict)
    request_rates: dict[str, float] = attrs.field(factory=dict)
    sent_counts: dict[str, int] = attrs.field(factory=dict)
    rates_at: float = float("-inf")

    def is_in_contact(self, now: float) -> bool:
        """Return whether the reporter was heard from within two of its heartbeats."""
        return now - self.received_at < CONTACT_RATIO * self.valid_seconds

    def has_rates(self, now: float) -> bool:
        """Return whether the reporter has reported rates of requests that still hold."""
        return now - self.rates_at < self.valid_seconds

    def has_expired(self, now: float) -> bool:
        """Return whether the reporter has been silent for longer than its reports are valid."""
        return now - self.received_at >= self.valid_seconds


@attrs.define(eq=False, repr=False)
class _ReportedLoad(value_classes.MutableValue):
    """Latest report on one server, and the number of the report part that contained it."""

    reporter: _Reporter
    load: ServerLoad
    sequence: int
    received_at: float
    part: int


class LoadTable:
    """Load of all servers; times are monotonic seconds.

    Entries of one availability zone report to each other. The load of another zone comes either
    from reports of each of its entries, or from summaries of the zone. While summaries arrive, they
    replace the reports of single entries. Entries of all zones send notices of long prompts, which
    count until a report or a summary includes them.

    Parameters
    ----------
    zone : str
        Availability zone of this entry.
    """

    def __init__(self, zone: str = ""):
        self._zone = zone
        self._part_count = 0
        self._own: dict[str, dict[int, WorkItem]] = {}
        self._reporters: dict[str, _Reporter] = {}
        # By server, then by reporter, so that the load of a server is found among those with work
        # there and not among all entries.
        self._reported: dict[str, dict[str, _ReportedLoad]] = {}
        self._noticed = noticed_loads.NoticedLoads()
        self._arrivals: dict[str, rates.RateMeter] = {}
        self._requests: dict[str, rates.RateMeter] = {}
        self._reported_placements = rates.RateMeter()
        self._recent_requests: dict[str, rates.RateMeter] = {}
        self._statements = statements.ServerStatements()
        self._entry_counts: dict[str, int] = {}
        self._contention = contention.ContentionBook()
        # Servers whose work changed since the last report, and between the last two.
        self._changed: set[str] = set()
        self._changed_before: set[str] = set()
        # Servers on which work of this zone changed since the last summary.
        self._changed_in_zone: set[str] = set()

    @property
    def has_unreported_changes(self) -> bool:
        """Whether work, contention or what servers state changed since the last report."""
        return (
            bool(self._changed)
            or self._statements.has_unreported_changes
            or self._contention.has_unreported_changes
        )

    @property
    def has_unsummarized_changes(self) -> bool:
        """Whether work of entries of this zone changed since the last summary."""
        return bool(self._changed_in_zone)

    def discard_unsummarized_changes(self) -> None:
        """Forget what changed in this zone, of which this entry sends no summaries."""
        self._changed_in_zone.clear()

    @property
    def statements(self) -> statements.ServerStatements:
        """What servers state of themselves in answers to this entry and to others."""
        return self._statements

    @property
    def contention(self) -> contention.ContentionBook:
        """Requests that wait for room at this entry and at others, and what workspaces use."""
        return self._contention

    def view_contention(self, service: str, now: float) -> contention.View:
        """Return the contention for a service at all entries."""
        return self._contention.view(service, self._counted_keys(now), now)

    def _describe_contention(
        self, now: float, summed: list[str] | None = None
    ) -> list[contention.Row]:
        if self._contention.is_empty:
            return []
        return self._contention.describe(now, self._counted_keys(now), summed)

    def _counted_keys(self, now: float) -> list[str]:
        return [key for key, item in self._reporters.items() if self._is_counted(item, now)]

    def add(self, work: WorkItem) -> None:
        """Add a work item of this entry."""
        self._own.setdefault(work.server, {})[id(work)] = work
        self._record_change(work.server)

    def finish_prefill(self, work: WorkItem) -> None:
        """Record that the prefill of a work item has ended."""
        work.prefill_end = 0.0
        self._record_change(work.server)

    def remove(self, work: WorkItem) -> None:
        """Remove a work item of this entry; does nothing if it was removed before."""
        items = self._own.get(work.server, {})
        if items.pop(id(work), None) is not None:
            self._record_change(work.server)
        if not items:
            self._own.pop(work.server, None)

    def _record_change(self, server: str) -> None:
        self._changed.add(server)
        self._changed_in_zone.add(server)

    def record_arrival(self, service: str, credit: float, now: float) -> None:
        """Record a request for a service that arrived at this entry."""
        self._arrivals.setdefault(service, rates.RateMeter()).add(credit, now)

    def record_attempt(self, service: str, now: float) -> None:
        """Record that a server of a service is chosen for a request at this entry."""
        self._requests.setdefault(service, rates.RateMeter()).add(1.0, now)
        recent = self._recent_requests.get(service)
        if recent is None:
            recent = rates.RateMeter(BURST_TIME_CONSTANT_SECONDS)
            self._recent_requests[service] = recent
        recent.add(1.0, now)

    def request_rate(self, service: str, now: float) -> float:
        """Return the attempts per second for a service at all entries that report them."""
        own = self._requests.get(service)
        return (own.rate(now) if own is not None else 0.0) + sum(
            reporter.request_rates.get(service, 0.0)
            for reporter in self._reporters.values()
            if self._is_counted(reporter, now)
        )

    def reported_placement_rate(self, now: float) -> float:
        """Return the requests per second that other entries of this zone place, as reported."""
        return self._reported_placements.rate(now)

    def set_entry_counts(self, counts: dict[str, int]) -> None:
        """Set the number of entries by availability zone, this entry included.

        Without any, `ASSUMED_ENTRY_COUNT` entries are assumed.
        """
        self._entry_counts = counts

    def contact_counts(self, now: float) -> tuple[int, int]:
        """Return the numbers of entries that report to this one, itself included, and of all."""
        in_contact = [
            reporter for reporter in self._reporters.values() if reporter.is_in_contact(now)
        ]
        return self._count_entries(in_contact, now), self._entry_count

    def total_request_rate(self, service: str, now: float) -> float:
        """Return the attempts per second for a service at all entries.

        Those that don't report theirs are assumed to have the mean of the others. A burst at this
        entry is taken for one at all entries.
        """
        own = self._requests.get(service)
        rate = own.rate(now) if own is not None else 0.0
        reporting = [
            reporter
            for reporter in self._reporters.values()
            if reporter.has_rates(now) and self._is_counted(reporter, now)
        ]
        rate += sum(reporter.request_rates.get(service, 0.0) for reporter in reporting)
        rate *= max(1.0, self._entry_count / self._count_entries(reporting, now))
        recent = self._recent_requests.get(service)
        recent_rate = recent.certain_rate(now) if recent is not None else 0.0
        return max(rate, recent_rate * self._entry_count)

    @property
    def _entry_count(self) -> int:
        return sum(self._entry_counts.values()) or ASSUMED_ENTRY_COUNT

    def _count_entries(self, reporters: list[_Reporter], now: float) -> int:
        """Return the number of entries that some reporters stand for, this entry included."""
        return 1 + sum(
            self._entry_counts.get(reporter.zone, 0) if reporter.is_summary else 1
            for reporter in reporters
            if self._is_counted(reporter, now)
        )

    def has_summaries(self, now: float) -> bool:
        """Return whether the load of other zones arrives in summaries."""
        return any(
            reporter.is_summary and not reporter.has_expired(now)
            for reporter in self._reporters.values()
        )

    def arriving_credit(self, service: str, now: float) -> float:
        """Return the credit per second of the requests for a service that arrive at all entries.

        Entries report their own rates. One entry's rate times the number of entries would be far
        off where each receives few requests: a single long prompt would count as one at every
        entry.
        """
        return self._own_arrivals(now).get(service, 0.0) + sum(
            reporter.arrivals.get(service, 0.0)
            for reporter in self._reporters.values()
            if self._is_counted(reporter, now)
        )

    def _own_arrivals(self, now: float) -> dict[str, float]:
        return {service: meter.rate(now) for service, meter in self._arrivals.items()}

    def load(self, server: str, now: float) -> ServerLoad:
        """Return the total load of a server."""
        total = ServerLoad()
        for work in self._own.get(server, {}).values():
            total.add(work, now)
        for reported in self._reported.get(server, {}).values():
            if self._is_counted(reported.reporter, now):
                total.add_reported(reported.load, now - reported.received_at)
        for noticed in self._noticed.on_server(server, now):
            total.add_reported(noticed.load, now - noticed.received_at)
        return total

    def _is_counted(self, reporter: _Reporter, now: float) -> bool:
        if reporter.has_expired(now):
            return False
        if reporter.is_summary:
            return reporter.zone != self._zone
        summary = self._reporters.get(f"zone/{reporter.zone}")
        return reporter.zone == self._zone or summary is None or summary.has_expired(now)

    def handle_report(self, report: load_reports.LoadReport, now: float) -> None:
        """Apply another entry's report, except for servers with a newer one."""
        key = f"zone/{report.zone}" if report.is_summary else report.entry
        reporter = self._reporters.get(key)
        if reporter is None or reporter.incarnation != report.incarnation:
            if report.is_summary and report.only_changes:
                return  # of a new relay, whose first complete summary replaces that of the last one
            self._remove_reporter(key)
            reporter = _Reporter(report.incarnation, report.zone, report.is_summary)
            self._reporters[key] = reporter
        self._apply(key, reporter, report, now)

    def handle_notice(self, report: load_reports.LoadReport, now: float) -> None:
        """Add what another entry's placement adds to its servers; without any, remove it again."""
        if not report.servers:
            self._noticed.withdraw(report.placement, now)
        for server, load in _read_loads(report).items():
            reported = self._reported.get(server, {}).get(report.entry)
            if reported is None or reported.sequence < report.sequence:
                noticed = noticed_loads.NoticedLoad(
                    report.entry, report.zone, report.sequence, load, now
                )
                self._noticed.add(report.placement, server, noticed)

    def _apply(
        self, key: str, reporter: _Reporter, report: load_reports.LoadReport, now: float
    ) -> None:
        """Update servers for which the report is newer; a full part removes what it omits."""
        reporter.received_at = now
        reporter.valid_seconds = report.valid_seconds or REPORT_EXPIRY_SECONDS
        reporter.arrivals = dict(zip(report.services, report.arrivals, strict=True))
        if report.request_rates:
            reporter.request_rates = dict(zip(report.services, report.request_rates, strict=True))
        if report.request_rates or report.stated_servers:
            reporter.rates_at = now
        if report.stated_servers and self._is_counted(reporter, now):
            self._statements.handle_report(
                report,
                reporter.sent_counts,
                now,
                of_own_zone=reporter.zone == self._zone and not reporter.is_summary,
            )
        self._contention.handle_report(key, report, now)
        self._noticed.drop_reported(report, now)
        loads = _read_loads(report)
        if not report.only_changes:
            if report.sequence <= reporter.sequences.get(report.part, -1):
                return
            reporter.sequences[report.part] = report.sequence
            for server in reporter.servers - loads.keys():
                previous = self._reported[server][key]
                if previous.part == report.part and previous.sequence < report.sequence:
                    self._remove_reported(server, key)
        counts_placements = reporter.zone == self._zone and not reporter.is_summary
        for server, load in loads.items():
            reports = self._reported.setdefault(server, {})
            previous = reports.get(key)
            if previous is None or previous.sequence < report.sequence:
                previous_count = previous.load.request_count if previous is not None else 0
                if counts_placements and load.request_count > previous_count:
                    self._reported_placements.add(load.request_count - previous_count, now)
                reports[key] = _ReportedLoad(reporter, load, report.sequence, now, report.part)
                reporter.servers.add(server)
                if counts_placements:
                    self._changed_in_zone.add(server)

    def _remove_reporter(self, key: str) -> None:
        reporter = self._reporters.pop(key, None)
        self._contention.remove_reporter(key)
        if reporter is not None:
            for server in list(reporter.servers):
                self._remove_reported(server, key)

    def _remove_reported(self, server: str, key: str) -> None:
        reports = self._reported[server]
        reports.pop(key).reporter.servers.discard(server)
        if not reports:
            del self._reported[server]

    def remove_expired_reports(self, now: float) -> None:
        """Remove the load of entries whose last reports are no longer valid."""
        for key, reporter in list(self._reporters.items()):
            if reporter.has_expired(now):
                self._remove_reporter(key)
        self._noticed.remove_expired(now)

    def make_notice(
        self,
        work_items: Iterable[WorkItem],
        *,
        entry: str,
        incarnation: str,
        sequence: int,
        now: float,
        placement: str,
        known_placements: tuple[str, ...],
    ) -> load_reports.LoadReport:
        """Return the notice of a placement of this entry, with what it adds to each server."""
        totals: dict[str, ServerLoad] = {}
        for work in work_items:
            totals.setdefault(work.server, ServerLoad()).add(work, now)
        report = load_reports.LoadReport(
            entry,
            incarnation,
            sequence,
            zone=self._zone,
            placement=placement,
            known_placements=known_placements,
        )
        return _with_loads(report, list(totals.items()), only_changes=True)

    def make_reports(
        self,
        *,
        entry: str,
        incarnation: str,
        sequence: int,
        now: float,
        only_changes: bool = False,
        valid_seconds: float = REPORT_EXPIRY_SECONDS,
    ) -> list[load_reports.LoadReport]:
        """Return the report of this entry's work, in parts.

        Parameters
        ----------
        entry, incarnation : str
            Name of this entry, and the id of its current run.
        sequence : int
            Number of the report, which increases with each.
        now : float
        only_changes : bool
            Report only servers whose work changed. Each change is in two reports, since one
            may get lost.
        valid_seconds : float
            Time without a further report after which this entry counts as stopped.
        """
        servers = self._changed | self._changed_before if only_changes else set(self._own)
        self._changed_before, self._changed = self._changed, set()
        totals: dict[str, ServerLoad] = {}
        for server in servers:
            total = totals[server] = ServerLoad()
            for work in self._own.get(server, {}).values():
                total.add(work, now)
        base = self._make_base(
            load_reports.LoadReport(entry, incarnation, sequence, valid_seconds=valid_seconds),
            self._own_arrivals(now),
            {service: meter.rate(now) for service, meter in self._requests.items()},
            self._statements.describe(now, only_changes=only_changes),
        )
        contending = _split_rows(base, self._describe_contention(now))
        if only_changes:
            first = contending[0] if contending else base
            return [_with_loads(first, list(totals.items()), only_changes=True), *contending[1:]]
        return self._split(base, totals) + contending

    def make_summary(
        self, *, entry: str, incarnation: str, sequence: int, now: float, only_changes: bool = False
    ) -> list[load_reports.LoadReport]:
        """Return the report of the work of all entries of this availability zone, in parts.

        With ``only_changes`` it lists only servers whose work changed since the last one.
        """
        servers = self._changed_in_zone if only_changes else self._servers_of_zone(now)
        totals = {server: self._zone_load(server, now) for server in servers}
        self._changed_in_zone = set()
        arrivals = collections.Counter(self._own_arrivals(now))
        request_rates = collections.Counter(
            {service: meter.rate(now) for service, meter in self._requests.items()}
        )
        for reporter in self._reporters.values():
            if self._is_in_summary(reporter, now):
                arrivals.update(reporter.arrivals)
                request_rates.update(reporter.request_rates)
        base = self._make_base(
            load_reports.LoadReport(entry, incarnation, sequence, is_summary=True),
            arrivals,
            request_rates,
            self._statements.describe(now, of_zone=True) if not only_changes else ((), ()),
        )
        if only_changes:
            return [_with_loads(base, list(totals.items()), only_changes=True)]
        in_zone = [key for key, item in self._reporters.items() if self._is_in_summary(item, now)]
        rows = self._describe_contention(now, in_zone)
        return self._split(base, totals) + _split_rows(base, rows)

    def _servers_of_zone(self, now: float) -> set[str]:
        """Return the servers on which entries of this zone have reported work."""
        return self._own.keys() | {
            server
            for server, reports in self._reported.items()
            if any(self._is_in_summary(reported.reporter, now) for reported in reports.values())
        }

    def _zone_load(self, server: str, now: float) -> ServerLoad:
        """Return the load that the entries of this zone put on a server."""
        total = ServerLoad()
        for work in self._own.get(server, {}).values():
            total.add(work, now)
        for reported in self._reported.get(server, {}).values():
            if self._is_in_summary(reported.reporter, now):
                total.add_reported(reported.load, now - reported.received_at)
        return total

    def _make_base(
        self,
        report: load_reports.LoadReport,
        arrivals: dict[str, float],
        request_rates: dict[str, float],
        stated: tuple[tuple[str, ...], tuple[float, ...]],
    ) -> load_reports.LoadReport:
        """Return a report with this zone, the rates and the statements, still without loads."""
        stated_servers, statement_values = stated
        if not stated_servers and not self._statements.cold_count:
            return attrs.evolve(
                report,
                zone=self._zone,
                services=tuple(arrivals),
                arrivals=tuple(arrivals.values()),
            )
        services = tuple(dict.fromkeys((*arrivals, *request_rates)))
        return attrs.evolve(
            report,
            zone=self._zone,
            services=services,
            arrivals=tuple(arrivals.get(service, 0.0) for service in services),
            request_rates=tuple(request_rates.get(service, 0.0) for service in services),
            stated_servers=stated_servers,
            statements=statement_values,
        )

    def _is_in_summary(self, reporter: _Reporter, now: float) -> bool:
        is_peer = reporter.zone == self._zone and not reporter.is_summary
        return is_peer and not reporter.has_expired(now)

    def _split(
        self, base: load_reports.LoadReport, totals: dict[str, ServerLoad]
    ) -> list[load_reports.LoadReport]:
        """Split a report into parts.

        The number of parts never decreases: receivers remove the servers of an earlier part only
        when one of the same number, which may be empty, replaces it.
        """
        items = list(totals.items())
        count = max(1, -(-len(items) // MAX_SERVERS_PER_PART))
        self._part_count = max(self._part_count, count)
        return [
            _with_loads(
                base,
                items[part * MAX_SERVERS_PER_PART : (part + 1) * MAX_SERVERS_PER_PART],
                part=part,
            )
            for part in range(self._part_count)
        ]


def _split_rows(
    base: load_reports.LoadReport, rows: list[contention.Row]
) -> list[load_reports.LoadReport]:
    """Return reports of rows of the contention, without loads; none for no rows."""
    reports = []
    for first in range(0, len(rows), contention.MAX_ROWS_PER_REPORT):
        part = rows[first : first + contention.MAX_ROWS_PER_REPORT]
        report = attrs.evolve(
            base,
            only_changes=True,
            contending_services=tuple(row.service for row in part),
            contending_workspaces=tuple(row.workspace for row in part),
            contention=tuple(value for row in part for value in row.to_values()),
        )
        reports.append(report)
    return reports


def _with_loads(
    base: load_reports.LoadReport, items: list[tuple[str, ServerLoad]], **changes: object
) -> load_reports.LoadReport:
    """Return a copy of a report with the loads of some servers and other fields changed."""
    return attrs.evolve(
        base,
        servers=tuple(server for server, _ in items),
        loads=tuple(value for _, load in items for value in load.to_values()),
        **changes,
    )
