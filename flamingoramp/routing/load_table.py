"""What runs on each backend server: own work exactly, other entries' work as they report it."""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# Longest pause between pieces, in seconds, that puts an answer into each class.
STRICT_PAUSE_SECONDS = 0.4
RELAXED_PAUSE_SECONDS = 0.8
# An entry that is silent for longer has ended, and its work with it.
REPORT_SILENCE_SECONDS = 1.5
# Servers of one report; a packed record takes about 25 bytes, and a datagram carries 1,400.
SERVERS_PER_PART = 45


@attrs.define
class WorkItem:
    """One piece of this entry's work on one server.

    Parameters
    ----------
    server : str
    pause : float
        Longest pause that its answer tolerates, seconds; 0 for a helper, which answers nothing.
    memory_tokens : int
        Memory that it takes there.
    part_seconds : float
        Predicted time of its prompt reading.
    reading_until : float
        When that should be over, monotonic seconds; 0 once it is.
    credit : float
        What the request is worth, in units of `placement`.
    """

    server: str
    pause: float = 0.0
    memory_tokens: int = 0
    part_seconds: float = 0.0
    prefill_end: float = 0.0
    is_helper: bool = False
    credit: float = 0.0


@attrs.define
class ServerLoad:
    """Everything that runs on one server, as far as known.

    ``reading_seconds`` is all prompt reading ahead, ``part_seconds`` its longest piece, and
    ``reading_credit`` what the requests are worth that wait for it.
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
        """Requests that hold a slot."""
        return self.strict + self.relaxed + self.patient

    def add(self, work: WorkItem, now: float) -> None:
        """Count a piece of work in."""
        if work.is_helper:
            self.helping += 1
        elif work.pause <= STRICT_PAUSE_SECONDS:
            self.strict += 1
        elif work.pause <= RELAXED_PAUSE_SECONDS:
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
        """Count in what another entry reported some seconds ago."""
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
class _Known:
    """The newest word on one server, and the part of a whole report that it came in."""

    load: messages.EngineLoad
    sequence: int
    heard_at: float
    part: int


@attrs.define
class _Reported:
    """What one entry, or one zone, has running."""

    incarnation: str
    zone: str
    is_summary: bool
    heard_at: float = 0.0
    engines: dict[str, _Known] = attrs.field(factory=dict)
    sequences: dict[int, int] = attrs.field(factory=dict)

    def take(self, report: messages.LoadReport, now: float) -> None:
        """Take a report in, as far as it is newer than what is known."""
        self.heard_at = now
        if not report.only_changes:
            if report.sequence <= self.sequences.get(report.part, -1):
                return
            self.sequences[report.part] = report.sequence
            told = {one.server for one in report.engines}
            for server, known in list(self.engines.items()):
                superseded = known.part == report.part and known.sequence < report.sequence
                if superseded and server not in told:
                    del self.engines[server]
        for one in report.engines:
            known = self.engines.get(one.server)
            if known is None or known.sequence < report.sequence:
                self.engines[one.server] = _Known(one, report.sequence, now, report.part)


class LoadTable:
    """The work on all servers; times are monotonic seconds.

    Entries of one availability zone report to each other. Of the other zones either each entry
    reports, or one summary for all of a zone comes; a summary counts before single reports.

    Parameters
    ----------
    zone : str
        Availability zone of this entry.
    """

    def __init__(self, zone: str = ""):
        self._zone = zone
        self._parts = 0
        self._own: dict[str, dict[int, WorkItem]] = {}
        self._others: dict[str, _Reported] = {}
        self._summarized: dict[str, float] = {}
        # Servers whose work changed since the last report, and before it.
        self._changed: set[str] = set()
        self._changed_before: set[str] = set()

    @property
    def has_changed(self) -> bool:
        """Whether own work changed since the last report was made."""
        return bool(self._changed)

    def add(self, work: WorkItem) -> None:
        """Count a piece of own work in."""
        self._own.setdefault(work.server, {})[id(work)] = work
        self._changed.add(work.server)

    def finish_prefill(self, work: WorkItem) -> None:
        """Note that a prompt is read."""
        work.prefill_end = 0.0
        self._changed.add(work.server)

    def remove(self, work: WorkItem) -> None:
        """Count a piece of own work out."""
        held = self._own.get(work.server, {})
        if held.pop(id(work), None) is not None:
            self._changed.add(work.server)
        if not held:
            self._own.pop(work.server, None)

    def load(self, server: str, now: float) -> ServerLoad:
        """Return everything that runs on a server."""
        total = ServerLoad()
        for work in self._own.get(server, {}).values():
            total.add(work, now)
        for reported in self._others.values():
            found = reported.engines.get(server)
            if found is not None and self._counts(reported, now):
                total.add_report(found.load, now - found.heard_at)
        return total

    def _counts(self, reported: _Reported, now: float) -> bool:
        if now - reported.heard_at >= REPORT_SILENCE_SECONDS:
            return False
        if reported.is_summary:
            return reported.zone != self._zone
        summarized = self._summarized.get(reported.zone, float("-inf"))
        return reported.zone == self._zone or now - summarized >= REPORT_SILENCE_SECONDS

    def handle_report(self, report: messages.LoadReport, now: float) -> None:
        """Take another entry's report in, unless a newer one came before."""
        key = f"zone/{report.zone}" if report.is_summary else report.entry
        held = self._others.get(key)
        if held is None or held.incarnation != report.incarnation:
            held = _Reported(report.incarnation, report.zone, report.is_summary)
            self._others[key] = held
        if report.is_summary:
            self._summarized[report.zone] = now
        held.take(report, now)

    def remove_expired_reports(self, now: float) -> None:
        """Drop what silent entries reported."""
        for key, reported in list(self._others.items()):
            if now - reported.heard_at > REPORT_SILENCE_SECONDS:
                del self._others[key]

    def make_reports(
        self,
        *,
        entry: str,
        incarnation: str,
        sequence: int,
        now: float,
        only_changes: bool = False,
    ) -> list[messages.LoadReport]:
        """Return the report of own work, in parts.

        Parameters
        ----------
        only_changes : bool
            Tell only of servers whose work changed. Each change is told in two reports, since one
            may get lost.
        """
        told = self._changed | self._changed_before if only_changes else set(self._own)
        self._changed_before, self._changed = self._changed, set()
        totals: dict[str, ServerLoad] = {}
        for server in told:
            total = totals[server] = ServerLoad()
            for work in self._own.get(server, {}).values():
                total.add(work, now)
        base = messages.LoadReport(entry, incarnation, sequence, zone=self._zone)
        if only_changes:
            engines = tuple(_to_message(server, total) for server, total in totals.items())
            return [attrs.evolve(base, engines=engines, only_changes=True)]
        return self._cut(base, totals)

    def make_summary(
        self, *, entry: str, incarnation: str, sequence: int, now: float
    ) -> list[messages.LoadReport]:
        """Return the report of all work of this entry's availability zone, in parts."""
        totals: dict[str, ServerLoad] = {}
        for server, held in self._own.items():
            total = totals.setdefault(server, ServerLoad())
            for work in held.values():
                total.add(work, now)
        for reported in self._others.values():
            if reported.is_summary or reported.zone != self._zone:
                continue
            if now - reported.heard_at >= REPORT_SILENCE_SECONDS:
                continue
            for server, found in reported.engines.items():
                total = totals.setdefault(server, ServerLoad())
                total.add_report(found.load, now - found.heard_at)
        base = messages.LoadReport(entry, incarnation, sequence, zone=self._zone, is_summary=True)
        return self._cut(base, totals)

    def _cut(
        self, base: messages.LoadReport, totals: dict[str, ServerLoad]
    ) -> list[messages.LoadReport]:
        """Cut a report into parts; parts that were sent before are sent again, also if empty."""
        engines = [_to_message(server, total) for server, total in totals.items()]
        count = max(1, -(-len(engines) // SERVERS_PER_PART))
        self._parts = max(self._parts, count)
        return [
            attrs.evolve(
                base,
                part=part,
                engines=tuple(engines[part * SERVERS_PER_PART : (part + 1) * SERVERS_PER_PART]),
            )
            for part in range(self._parts)
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
