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
class Work:
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
    """

    server: str
    pause: float = 0.0
    memory_tokens: int = 0
    part_seconds: float = 0.0
    reading_until: float = 0.0
    is_helper: bool = False


@attrs.define
class ServerLoad:
    """Everything that runs on one server, as far as known.

    ``reading_seconds`` is all prompt reading ahead, ``part_seconds`` its longest piece.
    """

    strict: int = 0
    relaxed: int = 0
    patient: int = 0
    reading_seconds: float = 0.0
    part_seconds: float = 0.0
    memory_tokens: int = 0
    helping: int = 0

    @property
    def answers(self) -> int:
        """Requests that hold a slot."""
        return self.strict + self.relaxed + self.patient

    def add(self, work: Work, now: float) -> None:
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
        left = min(work.part_seconds, max(0.0, work.reading_until - now))
        self.reading_seconds += left
        if left > 0:
            self.part_seconds = max(self.part_seconds, work.part_seconds)

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


@attrs.define
class _Reported:
    incarnation: str
    sequence: int
    heard_at: float
    zone: str
    is_summary: bool
    engines: dict[str, messages.EngineLoad]


class LoadBook:
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
        self._own: dict[str, dict[int, Work]] = {}
        self._others: dict[tuple[str, int], _Reported] = {}
        self._summarized: dict[str, float] = {}
        self._changed = False

    @property
    def has_changed(self) -> bool:
        """Whether own work changed since the last report was made."""
        return self._changed

    def add(self, work: Work) -> None:
        """Count a piece of own work in."""
        self._own.setdefault(work.server, {})[id(work)] = work
        self._changed = True

    def finish_reading(self, work: Work) -> None:
        """Note that a prompt is read."""
        work.reading_until = 0.0
        self._changed = True

    def remove(self, work: Work) -> None:
        """Count a piece of own work out."""
        held = self._own.get(work.server, {})
        if held.pop(id(work), None) is not None:
            self._changed = True
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
                total.add_report(found, now - reported.heard_at)
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
        key = (f"zone/{report.zone}" if report.is_summary else report.entry, report.part)
        held = self._others.get(key)
        same_life = held is not None and held.incarnation == report.incarnation
        if same_life and report.sequence <= held.sequence:
            return
        if report.is_summary:
            self._summarized[report.zone] = now
        engines = {one.server: one for one in report.engines}
        self._others[key] = _Reported(
            report.incarnation, report.sequence, now, report.zone, report.is_summary, engines
        )

    def forget_silent(self, now: float) -> None:
        """Drop what silent entries reported."""
        for key, reported in list(self._others.items()):
            if now - reported.heard_at > REPORT_SILENCE_SECONDS:
                del self._others[key]

    def make_reports(
        self, *, entry: str, incarnation: str, sequence: int, now: float
    ) -> list[messages.LoadReport]:
        """Return the report of all own work, in parts."""
        self._changed = False
        totals: dict[str, ServerLoad] = {}
        for server, held in self._own.items():
            total = totals[server] = ServerLoad()
            for work in held.values():
                total.add(work, now)
        base = messages.LoadReport(entry, incarnation, sequence, zone=self._zone)
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
            age = now - reported.heard_at
            if age >= REPORT_SILENCE_SECONDS:
                continue
            for server, found in reported.engines.items():
                totals.setdefault(server, ServerLoad()).add_report(found, age)
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
    )
