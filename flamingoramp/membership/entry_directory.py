"""Directory of the entries whose addresses are given to callers."""

from __future__ import annotations

import collections
import hashlib

from flamingoramp import errors
from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# An entry without a report for this long is left out, or for this share of the time for which its
# last report is valid, if that is longer. Reports arrive at least every 0.5 s, or five times within
# the time that they are valid.
REPORT_TIMEOUT_SECONDS = 1.2
REPORT_TIMEOUT_RATIO = 0.8
MAX_ADDRESS_COUNT = 64
RETRY_AFTER_SECONDS = 0.5


class EntryDirectory:
    """Ready entries, and the times by which their next reports are expected.

    Parameters
    ----------
    record_registry : registry.Registry
        Holds the records of the entries.
    """

    def __init__(self, record_registry: registry.Registry):
        self._registry = record_registry
        self._expected_by: dict[str, float] = {}

    def record_report(self, entry: str, now: float, *, valid_seconds: float = 0.0) -> None:
        """Record that a report of an entry arrived, and for how long it is valid."""
        timeout = max(REPORT_TIMEOUT_SECONDS, REPORT_TIMEOUT_RATIO * valid_seconds)
        self._expected_by[entry] = now + timeout

    def reported_recently(self, entry: str, now: float) -> bool:
        """Return whether the next report of an entry is not overdue."""
        return now < self._expected_by.get(entry, float("-inf"))

    def addresses(
        self, now: float, *, caller_zone: str = "", own: messages.EntryRecord | None = None
    ) -> list[str]:
        """Return the addresses of ready entries, at most ``MAX_ADDRESS_COUNT``.

        Of more entries, the answer holds an equal number of each availability zone, so that the
        engines of all zones get equal shares of the requests. Callers close connections to
        addresses that a new answer lacks, so it is the same for all callers of a zone, and differs
        between zones. Entries without a recent report are left out. If that leaves none, this
        process is isolated from the others, and all entries that were ready by their last reports
        are taken. Of these, entries that reach no server are left out, unless none does.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.
        caller_zone : str, optional
            Availability zone of the caller.
        own : messages.EntryRecord, optional
            Record of this process, if it is an entry.

        Raises
        ------
        flamingoramp.errors.NotReadyError
            If no entry is ready.
        """
        records = {record.entry: record for record in self._registry.entries()}
        if own is not None:
            records[own.entry] = own
            self.record_report(own.entry, now)
        ready = [record for record in records.values() if record.ready and not record.leaving]
        recent = [record for record in ready if self.reported_recently(record.entry, now)]
        if not ready:
            raise errors.NotReadyError("no entry is ready", retry_after=RETRY_AFTER_SECONDS)
        usable = recent or ready
        connected = [record for record in usable if not record.cut_off]
        chosen = _choose_entries(connected or usable, caller_zone)
        return sorted(record.callers for record in chosen)

    def find_peers(self, own_name: str, now: float) -> list[messages.EntryRecord]:
        """Return the other entries that accept requests and reach servers.

        In a large deployment most entries of other availability zones never report to this one, so
        that only those whose next report is overdue are left out.
        """
        return [
            record
            for record in self._registry.entries()
            if record.entry != own_name
            and record.ready
            and not (record.leaving or record.cut_off)
            and now < self._expected_by.get(record.entry, float("inf"))
        ]


def _choose_entries(
    records: list[messages.EntryRecord], caller_zone: str
) -> list[messages.EntryRecord]:
    """Choose at most ``MAX_ADDRESS_COUNT`` entries by rendezvous hashing, evenly by zone."""
    if len(records) <= MAX_ADDRESS_COUNT:
        return records
    ranked = sorted(records, key=lambda record: _rank(record.entry, caller_zone))
    rank_in_zone: collections.Counter[str] = collections.Counter()
    order = []
    for record in ranked:
        order.append((rank_in_zone[record.zone], len(order), record))
        rank_in_zone[record.zone] += 1
    return [record for _, _, record in sorted(order, key=lambda item: item[:2])[:MAX_ADDRESS_COUNT]]


def _rank(entry: str, caller_zone: str) -> bytes:
    return hashlib.blake2b(f"{caller_zone}/{entry}".encode(), digest_size=8).digest()
