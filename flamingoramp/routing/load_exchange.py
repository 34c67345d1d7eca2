"""How entries tell each other what they have running on the backend servers."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_book, report_targets
from flamingoramp.runtime import loop as loops

# Reports go out this soon after a change, so that several changes share one.
REPORT_DELAY_SECONDS = 0.008
# An entry that has nothing to tell shows that it lives this often.
REPORT_SECONDS = 0.3
# Reports between two that tell of all servers, which make up for those that were lost.
CHANGES_BETWEEN_WHOLE = 3
# Summaries of a zone go out this often; a placement in another zone is the exception.
SUMMARY_SECONDS = 0.2
TARGETS_SECONDS = 0.2


class LoadExchange:
    """Sends an entry's load reports, and takes those of the others in.

    Parameters
    ----------
    loop : loops.Loop
    book : load_book.LoadBook
    known : registry.Registry
    directory : entry_directory.EntryDirectory
    name, incarnation, zone : str
        The entry, its present life, and its availability zone.
    send : callable
        Takes addresses and the report that goes to each of them.
    """

    def __init__(
        self,
        loop: loops.Loop,
        book: load_book.LoadBook,
        *,
        known: registry.Registry,
        directory: entry_directory.EntryDirectory,
        name: str,
        incarnation: str,
        zone: str,
        send: Callable[[list[str], messages.LoadReport], None],
    ):
        self._loop = loop
        self._book = book
        self._registry = known
        self._directory = directory
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        self._send = send
        self._numbers = itertools.count(1)
        self._planned = False
        self._beats = 0
        self._reported_at = loop.now()
        self._targets = report_targets.Targets([])
        self._entries = 1
        loop.call_every(REPORT_SECONDS, self._beat)
        loop.call_every(SUMMARY_SECONDS, self._summarize)
        loop.call_every(TARGETS_SECONDS, self._choose_targets)

    @property
    def entries(self) -> int:
        """Entries that share the load, this one included."""
        return self._entries

    def plan_report(self) -> None:
        """Report soon if own work changed."""
        if self._book.has_changed and not self._planned:
            self._planned = True
            self._loop.call_later(REPORT_DELAY_SECONDS, self._report_changes)

    def handle_report(self, report: messages.LoadReport) -> None:
        """Take another entry's report in, and pass a far zone's summary on within this zone."""
        now = self._loop.now()
        self._directory.record_report(report.entry, now)
        self._book.handle_report(report, now)
        if report.is_summary and report.zone != self._zone and self._targets.near:
            self._send(self._targets.near, report)

    def _beat(self) -> None:
        self._beats += 1
        if self._beats % (CHANGES_BETWEEN_WHOLE + 1) == 0:
            self._report(only_changes=False)
        elif self._loop.now() - self._reported_at > REPORT_SECONDS / 2:
            self._report(only_changes=True)

    def _report_changes(self) -> None:
        self._planned = False
        self._report(only_changes=True)

    def _report(self, *, only_changes: bool) -> None:
        self._reported_at = self._loop.now()
        reports = self._book.make_reports(
            entry=self._name,
            incarnation=self._incarnation,
            sequence=next(self._numbers),
            now=self._reported_at,
            only_changes=only_changes,
        )
        for report in reports:
            self._send(self._targets.direct, report)

    def _summarize(self) -> None:
        """Tell the relays of other zones what this zone has running."""
        if not self._targets.far:
            return
        summaries = self._book.make_summary(
            entry=self._name,
            incarnation=self._incarnation,
            sequence=next(self._numbers),
            now=self._loop.now(),
        )
        for summary in summaries:
            self._send(self._targets.far, summary)

    def _choose_targets(self) -> None:
        now = self._loop.now()
        known = self._registry.entries(now, max_age_seconds=registry.ENTRY_EXPIRY_SECONDS)
        others = [one for one in known if one.entry != self._name]
        self._entries = 1 + len(others)
        self._targets = report_targets.choose_targets(
            self._name,
            self._zone,
            others,
            {one.entry for one in others if self._directory.reported_recently(one.entry, now)},
        )
