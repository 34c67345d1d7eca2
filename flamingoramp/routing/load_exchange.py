"""Exchange of load reports: the work that each entry has running on the backend servers."""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import load_reports, messages
from flamingoramp.routing import load_table, placement_notices, report_targets
from flamingoramp.runtime import loop as loops

# Delay from a change to its report, so that several changes share one report.
REPORT_DELAY_SECONDS = 0.008
# Interval of the reports that an entry without changes sends as heartbeats, and the number of
# receivers above which it grows in proportion, so that an entry receives no more of them.
HEARTBEAT_SECONDS = 0.3
HEARTBEAT_RECEIVER_COUNT = 16
# Heartbeats missed in a row after which an entry counts as stopped.
MAX_MISSED_HEARTBEATS = 5
# Heartbeats with only changes between two full reports, which make up for lost reports.
CHANGE_REPORTS_PER_FULL_REPORT = 3
# Interval of complete zone summaries, and delay from a change in the zone to a summary of what has
# changed, so that several changes share one.
SUMMARY_SECONDS = 0.2
SUMMARY_CHANGE_DELAY_SECONDS = 0.02
TARGET_REFRESH_SECONDS = 0.4
# Delay from a change of the known entries to the choice of targets, which several changes share.
MEMBER_CHANGE_DELAY_SECONDS = 0.02
# Time after its start within which an entry learns of the others.
DISCOVERY_SECONDS = 2.0


class LoadExchange:
    """Sends an entry's load reports and applies those of other entries.

    Parameters
    ----------
    loop : loops.Loop
    loads : load_table.LoadTable
    member_registry : registry.Registry
    directory : entry_directory.EntryDirectory
    name, incarnation, zone : str
        Name of this entry, the id of its current run, and its availability zone.
    send : callable
        Takes a list of addresses and the message to send to each of them.
    """

    def __init__(
        self,
        loop: loops.Loop,
        loads: load_table.LoadTable,
        *,
        member_registry: registry.Registry,
        directory: entry_directory.EntryDirectory,
        name: str,
        incarnation: str,
        zone: str,
        send: Callable[[list[str], load_reports.LoadReport | messages.ServerReachability], None],
    ):
        self._loop = loop
        self._loads = loads
        self._registry = member_registry
        self._directory = directory
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        self._send = send
        self._sequence_numbers = itertools.count(1)
        self._is_report_scheduled = False
        self._is_summary_scheduled = False
        self._is_choice_scheduled = False
        self._heartbeat_count = 0
        self._reported_at = self._started_at = loop.now()
        self._targets = report_targets.ReportTargets([])
        self._entry_count = 1
        self._notices = placement_notices.PlacementNotices()
        loop.call_later(HEARTBEAT_SECONDS, self._send_heartbeat)
        loop.call_every(SUMMARY_SECONDS, self._send_summary)
        loop.call_every(TARGET_REFRESH_SECONDS, self._choose_targets)

    @property
    def entry_count(self) -> int:
        """Number of entries that share the load, including this one."""
        return self._entry_count

    def schedule_report(self) -> None:
        """Schedule a report within `REPORT_DELAY_SECONDS` if this entry's work has changed."""
        if self._loads.has_unreported_changes and not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._loop.call_later(REPORT_DELAY_SECONDS, self._report_changes)
        if not self._targets.remote_forwarders:
            # A relay that takes over begins with a complete summary.
            self._loads.discard_unsummarized_changes()
        elif self._loads.has_unsummarized_changes and not self._is_summary_scheduled:
            self._is_summary_scheduled = True
            self._loop.call_later(SUMMARY_CHANGE_DELAY_SECONDS, self._send_summary_of_changes)

    def handle_member_change(self) -> None:
        """Choose the targets again soon, since other entries became known or have ended."""
        if not self._is_choice_scheduled:
            self._is_choice_scheduled = True
            self._loop.call_later(MEMBER_CHANGE_DELAY_SECONDS, self._choose_targets)

    def announce(self, work_items: Sequence[load_table.WorkItem]) -> str:
        """Tell the entries of all zones at once of a long prompt that was just placed.

        Returns
        -------
        str
            Id of the placement, for `settle_placement`; empty if no other entry is known.
        """
        if self._entry_count == 1:
            return ""
        placement = f"{random.getrandbits(64):016x}"
        servers = [work.server for work in work_items]
        known = self._notices.begin(placement, servers, self._loop.now())
        self._send_notice(placement, work_items, known)
        return placement

    def settle_placement(self, placement: str) -> placement_notices.Settlement:
        """Return what becomes of an announced placement; one that moves is withdrawn."""
        settlement = self._notices.settle(placement)
        if settlement is placement_notices.Settlement.MOVES:
            self.withdraw_placement(placement)
        return settlement

    def withdraw_placement(self, placement: str) -> None:
        """Tell the other entries that a placement is given up."""
        self._notices.withdraw(placement)
        self._send_notice(placement, (), ())

    def _send_notice(
        self,
        placement: str,
        work_items: Sequence[load_table.WorkItem],
        known_placements: tuple[str, ...],
    ) -> None:
        notice = self._loads.make_notice(
            work_items,
            entry=self._name,
            incarnation=self._incarnation,
            sequence=next(self._sequence_numbers),
            now=self._loop.now(),
            placement=placement,
            known_placements=known_placements,
        )
        self.send_to_all(notice)

    def send_to_all(self, message: load_reports.LoadReport | messages.ServerReachability) -> None:
        """Send a message to all other entries."""
        others = [record.inner for record in self._registry.entries() if record.entry != self._name]
        self._send(others, message)

    def handle_report(self, report: load_reports.LoadReport) -> None:
        """Apply another entry's report; as forwarder, pass a summary of another zone on."""
        now = self._loop.now()
        if report.placement:
            self._notices.handle(report.placement, report.servers, report.known_placements, now)
            self._loads.handle_notice(report, now)
            return
        self._directory.record_report(report.entry, now, valid_seconds=report.valid_seconds)
        self._loads.handle_report(report, now)
        # Several entries may take themselves for the forwarder, above all while they start. If they
        # passed on to each other what each of them passes on, the messages would multiply.
        is_forwarder = report.zone in self._targets.forwarded_zones
        if report.is_summary and is_forwarder and not report.forwarded:
            self._send(self._targets.zone_peers, attrs.evolve(report, forwarded=True))

    @property
    def _heartbeat_seconds(self) -> float:
        return HEARTBEAT_SECONDS * max(1.0, len(self._targets.direct) / HEARTBEAT_RECEIVER_COUNT)

    def _send_heartbeat(self) -> None:
        self._loop.call_later(self._heartbeat_seconds, self._send_heartbeat)
        self._heartbeat_count += 1
        if self._heartbeat_count % (CHANGE_REPORTS_PER_FULL_REPORT + 1) == 0:
            self._send_report(only_changes=False)
        elif self._loop.now() - self._reported_at > self._heartbeat_seconds / 2:
            self._send_report(only_changes=True)

    def _report_changes(self) -> None:
        self._is_report_scheduled = False
        self._send_report(only_changes=True)

    def _send_report(self, *, only_changes: bool) -> None:
        self._reported_at = self._loop.now()
        reports = self._loads.make_reports(
            entry=self._name,
            incarnation=self._incarnation,
            sequence=next(self._sequence_numbers),
            now=self._reported_at,
            only_changes=only_changes,
            valid_seconds=MAX_MISSED_HEARTBEATS * self._heartbeat_seconds,
        )
        for report in reports:
            self._send(self._targets.direct, report)

    def _send_summary_of_changes(self) -> None:
        self._is_summary_scheduled = False
        if self._loads.has_unsummarized_changes:
            self._send_summary(only_changes=True)

    def _send_summary(self, *, only_changes: bool = False) -> None:
        """Send the work of all entries of this zone to the forwarders in other zones."""
        if not self._targets.remote_forwarders:
            return
        summaries = self._loads.make_summary(
            entry=self._name,
            incarnation=self._incarnation,
            sequence=next(self._sequence_numbers),
            now=self._loop.now(),
            only_changes=only_changes,
        )
        for summary in summaries:
            self._send(self._targets.remote_forwarders, summary)

    def _choose_targets(self) -> None:
        self._is_choice_scheduled = False
        now = self._loop.now()
        others = [record for record in self._registry.entries() if record.entry != self._name]
        self._entry_count = 1 + len(others)
        # A starting entry is told of the others one after the other.
        if now - self._started_at >= DISCOVERY_SECONDS:
            counts = collections.Counter(record.zone for record in others)
            counts[self._zone] += 1
            self._loads.set_entry_counts(dict(counts))
        previous = self._targets
        self._targets = report_targets.choose_targets(
            self._name,
            self._zone,
            others,
            {
                record.entry
                for record in others
                if self._directory.reported_recently(record.entry, now)
            },
        )
        # New targets missed the earlier reports of changes.
        if not set(self._targets.direct) <= set(previous.direct):
            self._send_report(only_changes=False)
