"""Requests whose content may crash engines: who is suspect, and where suspects run.

At most one copy of a content that never finished runs at a time. As soon as a server breaks
connections, all that ran there is suspect and runs alone from then on; a content whose lonely run
crashed a server waits until that crash is certain. So a content that crashes every engine costs one
engine before it is suspect, and `suspects.QUARANTINE_CRASH_COUNT` more before it is refused.
"""

from __future__ import annotations

import collections
from collections.abc import Set

import attrs

from flamingoramp.dispatch import suspects
from flamingoramp.protocol import messages

CLEARED_KEPT = 8192
# Those that a server sent before it crashed may be under way: what fits into its lease, and the
# longest delay of a message.
DISMISSING_ANNOUNCEMENTS = 8


@attrs.frozen
class Report:
    """What to commit, clearances first; see `flamingoramp.intent.commands.RecordCrash`."""

    report_id: str = ""
    fingerprints: tuple[str, ...] = ()
    lonely: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.fingerprints or self.cleared)


@attrs.define
class _CrashWatch:
    """A server that broke connections or went silent, and what ran there.

    ``introduced`` are the suspects that this watch made, ``counted`` those that it counted a crash
    against.
    """

    incarnation: int
    sequence: int
    introduced: set[str] = attrs.field(factory=set)
    fingerprints: set[str] = attrs.field(factory=set)
    lonely: set[str] = attrs.field(factory=set)
    counted: set[str] = attrs.field(factory=set)


class Isolation:
    """Suspects, and servers that may have crashed, of one shard.

    Parameters
    ----------
    name : str
        Distinguishes the reports from those of other owners.
    """

    def __init__(self, name: str):
        self._name = name
        self._reports = 0
        self._crashes: dict[str, int] = {}
        self._pending: dict[str, Report] = {}
        self._settled: dict[str, tuple[int, Report]] = {}
        self._cleared: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._watches: dict[str, _CrashWatch] = {}

    def load(self, listing: tuple[messages.Suspect, ...], version: int) -> None:
        """Take the committed suspects, then what is reported but not in this version yet."""
        self._crashes = {one.fingerprint: one.crashes for one in listing}
        self._settled = {
            report_id: settled
            for report_id, settled in self._settled.items()
            if settled[0] > version
        }
        for _, report in self._settled.values():
            self._apply(report)
        for report in self._pending.values():
            self._apply(report)

    def settle(self, report_id: str, version: int) -> None:
        """Note that a report is committed; older listings may still be under way."""
        report = self._pending.pop(report_id, None)
        if report is not None:
            self._settled[report_id] = (version, report)

    def is_confirmed(self, fingerprint: str) -> bool:
        """Tell whether a content is refused."""
        return self._crashes.get(fingerprint, 0) >= suspects.QUARANTINE_CRASH_COUNT

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a content must run alone."""
        return fingerprint in self._crashes

    def is_held(self, fingerprint: str) -> bool:
        """Tell whether a content must wait.

        It does until the end of its lonely run is understood, and until its suspicion is committed,
        so that the next owner knows what this one knew when it ran the content again.
        """
        if any(fingerprint in report.fingerprints for report in self._pending.values()):
            return True
        return any(fingerprint in watch.lonely for watch in self._watches.values())

    def is_cleared(self, fingerprint: str) -> bool:
        """Tell whether a content has finished before, so that copies may run side by side."""
        return fingerprint in self._cleared

    def clear(self, fingerprint: str) -> Report:
        """Note that a content finished."""
        self._cleared[fingerprint] = None
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > CLEARED_KEPT:
            self._cleared.popitem(last=False)
        known = fingerprint in self._crashes
        return self._report(set(), cleared={fingerprint} if known else set())

    def watch(
        self, server: str, ran: dict[str, bool], last: messages.Announcement, *, broke: bool
    ) -> Report:
        """Note that a server failed while contents ran there.

        Parameters
        ----------
        server : str
        ran : dict of str to bool
            Fingerprints, and whether each ran alone.
        last : messages.Announcement
            The last announcement known.
        broke : bool
            Whether connections broke; a server that is silent may only be frozen.

        Returns
        -------
        Report
            The new suspects.
        """
        watch = self._watches.setdefault(server, _CrashWatch(last.incarnation, last.sequence))
        watch.fingerprints |= set(ran)
        watch.lonely |= {fingerprint for fingerprint, alone in ran.items() if alone}
        if not broke:
            return Report()
        # Counted at once, so that an owner that dies now has lost little; `dismiss` takes it back.
        alone = watch.lonely & set(ran) - watch.counted
        watch.counted |= alone
        new = {one for one in ran if one not in self._crashes}
        watch.introduced |= new
        return self._report(new | alone, lonely=alone)

    def is_watched(self, server: str) -> bool:
        """Tell whether a server may have crashed, so that it gets no new work."""
        return server in self._watches

    def has_restarted(self, announcement: messages.Announcement) -> bool:
        """Tell whether an announcement shows that a watched server has died."""
        watch = self._watches.get(announcement.server)
        return watch is not None and announcement.incarnation > watch.incarnation

    def dismiss(self, announcement: messages.Announcement) -> Report:
        """End the watch of a server that goes on announcing itself.

        Returns
        -------
        Report
            Takes back what the watch had reported.
        """
        watch = self._watches.get(announcement.server)
        if watch is None or announcement.sequence < watch.sequence + DISMISSING_ANNOUNCEMENTS:
            return Report()
        del self._watches[announcement.server]
        watched = {one for other in self._watches.values() for one in other.fingerprints}
        taken_back = {
            one
            for one in watch.introduced | watch.counted
            if self._crashes.get(one, 2) == (one in watch.counted) and one not in watched
        }
        still = taken_back - watch.introduced
        return self._report(still, cleared=taken_back)

    def confirm(self, server: str, ran: dict[str, bool]) -> Report:
        """Make suspects of all contents that ran on a server that is gone."""
        watch = self._watches.pop(server, _CrashWatch(0, 0))
        lonely = watch.lonely | {fingerprint for fingerprint, alone in ran.items() if alone}
        return self._report(watch.fingerprints | set(ran), lonely=lonely - watch.counted)

    def _report(
        self,
        fingerprints: Set[str],
        *,
        lonely: Set[str] = frozenset(),
        cleared: Set[str] = frozenset(),
    ) -> Report:
        self._reports += 1
        report = Report(
            f"{self._name}:{self._reports}",
            tuple(sorted(fingerprints)),
            tuple(sorted(lonely)),
            tuple(sorted(cleared)),
        )
        if report:
            self._pending[report.report_id] = report
            self._apply(report)
        return report

    def _apply(self, report: Report) -> None:
        for fingerprint in report.cleared:
            self._crashes.pop(fingerprint, None)
        for fingerprint in report.fingerprints:
            self._cleared.pop(fingerprint, None)
            known = self._crashes.get(fingerprint, 0)
            self._crashes[fingerprint] = known + (fingerprint in report.lonely)
