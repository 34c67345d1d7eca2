"""Tracking of possible engine crashes and of the requests that may have caused them.

Requests are compared by the fingerprint of their content. Of requests with the same content, only
one runs at a time until one has finished. When a server's connections break, every request that
ran there becomes a suspect and from then on runs alone on a server. If a server fails during such
a run, requests with that content wait until it is clear whether the server crashed. So a request
that crashes every engine costs one engine before it is a suspect, and
`suspects.QUARANTINE_CRASH_COUNT` more before it is refused.
"""

from __future__ import annotations

import collections
from collections.abc import Set

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import suspects
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import ledger

MAX_FINISHED_FINGERPRINT_COUNT = 8192
# Announcements from before a crash may still arrive: as many as a server sends within its lease and
# the longest delay of a message. Only one after these shows that the server didn't crash.
END_WATCH_ANNOUNCEMENT_COUNT = 8


@attrs.frozen
class SuspectChanges:
    """A report of changes to the suspects; ``cleared`` applies before ``fingerprints``.

    The fields are those of `flamingoramp.intent.commands.RecordCrash`; ``ran_alone`` is its
    ``lonely``.
    """

    report_id: str = ""
    fingerprints: tuple[str, ...] = ()
    ran_alone: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.fingerprints or self.cleared)


@attrs.define
class _CrashWatch:
    """A server whose connections broke or that stopped answering, and the requests that ran there.

    ``incarnation`` and ``sequence`` are those of the server's last announcement. The sets hold
    fingerprints: ``new_suspects`` became suspects by this watch, and against ``crashes_counted`` a
    crash of this server has already been counted.
    """

    incarnation: int
    sequence: int
    new_suspects: set[str] = attrs.field(factory=set)
    fingerprints: set[str] = attrs.field(factory=set)
    ran_alone: set[str] = attrs.field(factory=set)
    crashes_counted: set[str] = attrs.field(factory=set)


class CrashTracker:
    """Suspects and possibly crashed servers of one shard.

    Parameters
    ----------
    report_prefix : str
        Start of the report ids, distinct from those of other owners.
    """

    def __init__(self, report_prefix: str):
        self._report_prefix = report_prefix
        self._report_count = 0
        self._crash_counts: dict[str, int] = {}
        self._pending_reports: dict[str, SuspectChanges] = {}
        self._committed_reports: dict[str, tuple[int, SuspectChanges]] = {}
        self._finished: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._watches: dict[str, _CrashWatch] = {}

    def load(self, suspect_list: tuple[shard_messages.Suspect, ...], version: int) -> None:
        """Replace the suspects by the committed ones, then reapply the changes they don't contain.

        Parameters
        ----------
        suspect_list : tuple of shard_messages.Suspect
        version : int
            Version of the list; changes committed in later versions are reapplied.
        """
        self._crash_counts = {suspect.fingerprint: suspect.crashes for suspect in suspect_list}
        self._committed_reports = {
            report_id: committed
            for report_id, committed in self._committed_reports.items()
            if committed[0] > version
        }
        for _, report in self._committed_reports.values():
            self._apply(report)
        for report in self._pending_reports.values():
            self._apply(report)

    def mark_committed(self, report_id: str, version: int) -> None:
        """Record the version in which a report was committed.

        The report is kept, because suspect lists of earlier versions may still arrive.
        """
        report = self._pending_reports.pop(report_id, None)
        if report is not None:
            self._committed_reports[report_id] = (version, report)

    def is_confirmed(self, fingerprint: str) -> bool:
        """Return whether requests with this content are refused."""
        return self._crash_counts.get(fingerprint, 0) >= suspects.QUARANTINE_CRASH_COUNT

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether requests with this content must run alone."""
        return fingerprint in self._crash_counts

    def must_wait(self, fingerprint: str) -> bool:
        """Return whether requests with this content must not run yet.

        They wait until it is clear whether the server of their last isolated run crashed, and until
        the suspicion is committed, so that a next owner of the shard knows of it before they run
        again.
        """
        if any(fingerprint in report.fingerprints for report in self._pending_reports.values()):
            return True
        return any(fingerprint in watch.ran_alone for watch in self._watches.values())

    def may_run_concurrently(self, fingerprint: str) -> bool:
        """Return whether a request with this content has finished; then several may run at once."""
        return fingerprint in self._finished

    def record_success(self, fingerprint: str) -> SuspectChanges:
        """Record that a request with this content finished; it is no suspect any more."""
        self._finished[fingerprint] = None
        self._finished.move_to_end(fingerprint)
        while len(self._finished) > MAX_FINISHED_FINGERPRINT_COUNT:
            self._finished.popitem(last=False)
        was_suspect = fingerprint in self._crash_counts
        return self._add_report(set(), cleared={fingerprint} if was_suspect else set())

    def watch(
        self,
        server: str,
        ran: dict[str, bool],
        last: shard_messages.Announcement,
        *,
        disconnected: bool,
    ) -> SuspectChanges:
        """Watch a server that failed, until it has certainly crashed or keeps announcing itself.

        Parameters
        ----------
        server : str
        ran : dict of str to bool
            Fingerprints of the requests that ran there, and whether each ran alone.
        last : shard_messages.Announcement
            Its last known announcement.
        disconnected : bool
            Whether its connections broke; one that merely doesn't answer may only be frozen.

        Returns
        -------
        SuspectChanges
            The new suspects.
        """
        watch = self._watches.setdefault(server, _CrashWatch(last.incarnation, last.sequence))
        watch.fingerprints |= set(ran)
        watch.ran_alone |= {fingerprint for fingerprint, alone in ran.items() if alone}
        if not disconnected:
            return SuspectChanges()
        # Counted at once, so that the count survives a crash of this owner; `end_watch` reverts it.
        newly_counted = watch.ran_alone & set(ran) - watch.crashes_counted
        watch.crashes_counted |= newly_counted
        new_suspects = {suspect for suspect in ran if suspect not in self._crash_counts}
        watch.new_suspects |= new_suspects
        return self._add_report(new_suspects | newly_counted, ran_alone=newly_counted)

    def is_watched(self, server: str) -> bool:
        """Return whether a server may have crashed; until this is clear it gets no new requests."""
        return server in self._watches

    def shows_restart(self, announcement: shard_messages.Announcement) -> bool:
        """Return whether an announcement shows that a watched server has restarted."""
        watch = self._watches.get(announcement.server)
        return watch is not None and announcement.incarnation > watch.incarnation

    def end_watch(self, announcement: shard_messages.Announcement) -> SuspectChanges:
        """End the watch of a server once it has kept announcing itself for long enough.

        Returns
        -------
        SuspectChanges
            Reverts what the watch had reported; empty if the watch doesn't end yet.
        """
        watch = self._watches.get(announcement.server)
        if watch is None or announcement.sequence < watch.sequence + END_WATCH_ANNOUNCEMENT_COUNT:
            return SuspectChanges()
        del self._watches[announcement.server]
        watched_elsewhere = {
            fingerprint for other in self._watches.values() for fingerprint in other.fingerprints
        }
        # Kept are suspects that another watch covers or another crash was counted against. The
        # default of 2 equals neither bool, so that those cleared meanwhile aren't withdrawn.
        withdrawn = {
            suspect
            for suspect in watch.new_suspects | watch.crashes_counted
            if self._crash_counts.get(suspect, 2) == (suspect in watch.crashes_counted)
            and suspect not in watched_elsewhere
        }
        # Clearing removes them altogether, so those that were suspects before are added again.
        earlier_suspects = withdrawn - watch.new_suspects
        return self._add_report(earlier_suspects, cleared=withdrawn)

    def record_crash(self, server: str, ran: dict[str, bool]) -> SuspectChanges:
        """Make all requests that ran on a crashed server suspects and end its watch.

        Parameters
        ----------
        server : str
        ran : dict of str to bool
            Fingerprints of the requests that ran there, and whether each ran alone.
        """
        watch = self._watches.pop(server, _CrashWatch(0, 0))
        ran_alone = watch.ran_alone | {fingerprint for fingerprint, alone in ran.items() if alone}
        return self._add_report(
            watch.fingerprints | set(ran), ran_alone=ran_alone - watch.crashes_counted
        )

    def _add_report(
        self,
        fingerprints: Set[str],
        *,
        ran_alone: Set[str] = frozenset(),
        cleared: Set[str] = frozenset(),
    ) -> SuspectChanges:
        self._report_count += 1
        report = SuspectChanges(
            f"{self._report_prefix}:{self._report_count}",
            tuple(sorted(fingerprints)),
            tuple(sorted(ran_alone)),
            tuple(sorted(cleared)),
        )
        if report:
            self._pending_reports[report.report_id] = report
            self._apply(report)
        return report

    def _apply(self, report: SuspectChanges) -> None:
        for fingerprint in report.cleared:
            self._crash_counts.pop(fingerprint, None)
        for fingerprint in report.fingerprints:
            self._finished.pop(fingerprint, None)
            crashes = self._crash_counts.get(fingerprint, 0)
            self._crash_counts[fingerprint] = crashes + (fingerprint in report.ran_alone)


def ran_alone(running: list[ledger.Reservation]) -> dict[str, bool]:
    """Return for the content of each running attempt whether it had its server for itself."""
    return {reservation.fingerprint: reservation.isolated for reservation in running}


def quarantine_error() -> errors.FlamingorampError:
    """Return the refusal of a content that is confirmed to crash servers."""
    return errors.RequestQuarantinedError(
        "this content crashed several backend servers; it is refused for an hour"
    )
