"""Load of each backend server: this entry's work, and that reported by other entries.

The load counts the requests on a server, their memory and the prefill that is outstanding. Field
names are those of `messages.EngineLoad`, in which ``reading`` stands for prefill.
"""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# Upper bounds of the pause objective of strict and relaxed requests; all others are patient.
STRICT_PAUSE_SECONDS = 0.4
RELAXED_PAUSE_SECONDS = 0.8
# An entry that hasn't reported for longer is assumed to have stopped, and its work with it.
REPORT_EXPIRY_SECONDS = 1.5
# Servers of one report part; a packed record takes about 25 bytes, and a datagram carries 1,400.
MAX_SERVERS_PER_PART = 45


@attrs.define
class WorkItem:
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


@attrs.define
class ServerLoad:
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

    def add_report(self, report: messages.EngineLoad, age: float) -> None:
        """Add the load that another entry reported ``age`` seconds ago."""
        self.strict += report.strict
        self.relaxed += report.relaxed
        self.patient += report.patient
        self.helping += report.helping
        self.memory_tokens += report.memory_tokens
        left = max(0.0, report.reading_seconds - age)
        self.reading_seconds += left
        if left > 0:
            self.part_seconds = max(self.part_seconds, report.part_seconds)
            self.reading_credit += report.reading_credit


@attrs.define
class _ReportedLoad:
    """Latest report on one server, and the number of the report part that contained it."""

    load: messages.EngineLoad
    sequence: int
    received_at: float
    part: int


@attrs.define
class _Reporter:
    """Load reported by one entry, or by the relay of one zone.

    ``sequences`` holds the sequence number of the last full report, by part.
    """

    incarnation: str
    zone: str
    is_summary: bool
    received_at: float = 0.0
    engines: dict[str, _ReportedLoad] = attrs.field(factory=dict)
    sequences: dict[int, int] = attrs.field(factory=dict)

    def apply(self, report: messages.LoadReport, now: float) -> None:
        """Update servers for which the report is newer; a full part removes what it omits."""
        self.received_at = now
        if not report.only_changes:
            if report.sequence <= self.sequences.get(report.part, -1):
                return
            self.sequences[report.part] = report.sequence
            reported = {load.server for load in report.engines}
            for server, previous in list(self.engines.items()):
                superseded = previous.part == report.part and previous.sequence < report.sequence
                if superseded and server not in reported:
                    del self.engines[server]
        for load in report.engines:
            previous = self.engines.get(load.server)
            if previous is None or previous.sequence < report.sequence:
                self.engines[load.server] = _ReportedLoad(load, report.sequence, now, report.part)


class LoadTable:
    """Load of all servers; times are monotonic seconds.

    Entries of one availability zone report to each other. The load of another zone comes either
    from reports of each of its entries, or from summaries of the zone. While summaries arrive, they
    replace the reports of single entries.

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
        self._summarized_at: dict[str, float] = {}
        # Servers whose work changed since the last report, and between the last two.
        self._changed: set[str] = set()
        self._changed_before: set[str] = set()

    @property
    def has_unreported_changes(self) -> bool:
        """Whether this entry's work changed since the last report was made."""
        return bool(self._changed)

    def add(self, work: WorkItem) -> None:
        """Add a work item of this entry."""
        self._own.setdefault(work.server, {})[id(work)] = work
        self._changed.add(work.server)

    def finish_prefill(self, work: WorkItem) -> None:
        """Record that the prefill of a work item has ended."""
        work.prefill_end = 0.0
        self._changed.add(work.server)

    def remove(self, work: WorkItem) -> None:
        """Remove a work item of this entry; does nothing if it was removed before."""
        items = self._own.get(work.server, {})
        if items.pop(id(work), None) is not None:
            self._changed.add(work.server)
        if not items:
            self._own.pop(work.server, None)

    def load(self, server: str, now: float) -> ServerLoad:
        """Return the total load of a server."""
        total = ServerLoad()
        for work in self._own.get(server, {}).values():
            total.add(work, now)
        for reporter in self._reporters.values():
            reported = reporter.engines.get(server)
            if reported is not None and self._is_counted(reporter, now):
                total.add_report(reported.load, now - reported.received_at)
        return total

    def _is_counted(self, reporter: _Reporter, now: float) -> bool:
        if now - reporter.received_at >= REPORT_EXPIRY_SECONDS:
            return False
        if reporter.is_summary:
            return reporter.zone != self._zone
        summarized_at = self._summarized_at.get(reporter.zone, float("-inf"))
        return reporter.zone == self._zone or now - summarized_at >= REPORT_EXPIRY_SECONDS

    def handle_report(self, report: messages.LoadReport, now: float) -> None:
        """Apply another entry's report, except for servers with a newer one."""
        key = f"zone/{report.zone}" if report.is_summary else report.entry
        reporter = self._reporters.get(key)
        if reporter is None or reporter.incarnation != report.incarnation:
            reporter = _Reporter(report.incarnation, report.zone, report.is_summary)
            self._reporters[key] = reporter
        if report.is_summary:
            self._summarized_at[report.zone] = now
        reporter.apply(report, now)

    def remove_expired_reports(self, now: float) -> None:
        """Remove the load of entries that haven't reported for `REPORT_EXPIRY_SECONDS`."""
        for key, reporter in list(self._reporters.items()):
            if now - reporter.received_at > REPORT_EXPIRY_SECONDS:
                del self._reporters[key]

    def make_reports(
        self,
        *,
        entry: str,
        incarnation: str,
        sequence: int,
        now: float,
        only_changes: bool = False,
    ) -> list[messages.LoadReport]:
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
        """
        servers = self._changed | self._changed_before if only_changes else set(self._own)
        self._changed_before, self._changed = self._changed, set()
        totals: dict[str, ServerLoad] = {}
        for server in servers:
            total = totals[server] = ServerLoad()
            for work in self._own.get(server, {}).values():
                total.add(work, now)
        base = messages.LoadReport(entry, incarnation, sequence, zone=self._zone)
        if only_changes:
            engines = tuple(_to_message(server, total) for server, total in totals.items())
            return [attrs.evolve(base, engines=engines, only_changes=True)]
        return self._split(base, totals)

    def make_summary(
        self, *, entry: str, incarnation: str, sequence: int, now: float
    ) -> list[messages.LoadReport]:
        """Return the report of the work of all entries of this availability zone, in parts."""
        totals: dict[str, ServerLoad] = {}
        for server, items in self._own.items():
            total = totals.setdefault(server, ServerLoad())
            for work in items.values():
                total.add(work, now)
        for reporter in self._reporters.values():
            if reporter.is_summary or reporter.zone != self._zone:
                continue
            if now - reporter.received_at >= REPORT_EXPIRY_SECONDS:
                continue
            for server, reported in reporter.engines.items():
                total = totals.setdefault(server, ServerLoad())
                total.add_report(reported.load, now - reported.received_at)
        base = messages.LoadReport(entry, incarnation, sequence, zone=self._zone, is_summary=True)
        return self._split(base, totals)

    def _split(
        self, base: messages.LoadReport, totals: dict[str, ServerLoad]
    ) -> list[messages.LoadReport]:
        """Split a report into parts.

        The number of parts never decreases: receivers remove the servers of an earlier part only
        when one of the same number, which may be empty, replaces it.
        """
        engines = [_to_message(server, total) for server, total in totals.items()]
        count = max(1, -(-len(engines) // MAX_SERVERS_PER_PART))
        self._part_count = max(self._part_count, count)
        return [
            attrs.evolve(
                base,
                part=part,
                engines=tuple(
                    engines[part * MAX_SERVERS_PER_PART : (part + 1) * MAX_SERVERS_PER_PART]
                ),
            )
            for part in range(self._part_count)
        ]


def _to_message(server: str, total: ServerLoad) -> messages.EngineLoad:
    return messages.EngineLoad(
        server=server,
        strict=total.strict,
        relaxed=total.relaxed,
        patient=total.patient,
        reading_seconds=total.reading_seconds,
        part_seconds=total.part_seconds,
        memory_tokens=total.memory_tokens,
        helping=total.helping,
        reading_credit=total.reading_credit,
    )
