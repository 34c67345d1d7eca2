"""Directory of the entries whose addresses are given to callers."""

from __future__ import annotations

from flamingoramp import errors
from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# An entry without a report for this long is left out; reports arrive every 0.3 to 0.5 s.
REPORT_TIMEOUT_SECONDS = 1.2
MAX_ADDRESS_COUNT = 64
RETRY_AFTER_SECONDS = 0.5


class EntryDirectory:
    """Ready entries, and the times when their last reports arrived.

    Parameters
    ----------
    record_registry : registry.Registry
        Holds the records of the entries.
    """

    def __init__(self, record_registry: registry.Registry):
        self._registry = record_registry
        self._reported_at: dict[str, float] = {}

    def record_report(self, entry: str, now: float) -> None:
        """Record that a report of an entry arrived at ``now``."""
        self._reported_at[entry] = now

    def reported_recently(self, entry: str, now: float) -> bool:
        """Return whether a report of an entry arrived within ``REPORT_TIMEOUT_SECONDS``."""
        return now - self._reported_at.get(entry, float("-inf")) < REPORT_TIMEOUT_SECONDS

    def addresses(self, now: float, *, own: messages.EntryRecord | None = None) -> list[str]:
        """Return the addresses of ready entries, at most ``MAX_ADDRESS_COUNT``.

        Entries without a recent report are left out. If that leaves none, this process is isolated
        from the others, and all entries that were ready by their last reports are returned.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.
        own : messages.EntryRecord, optional
            Record of this process, if it is an entry.

        Raises
        ------
        flamingoramp.errors.NotReadyError
            If no entry is ready.
        """
        records = {
            record.entry: record
            for record in self._registry.entries(now, max_age_seconds=registry.ENTRY_EXPIRY_SECONDS)
        }
        if own is not None:
            records[own.entry] = own
            self._reported_at[own.entry] = now
        ready = [record for record in records.values() if record.ready and not record.leaving]
        recent = [record for record in ready if self.reported_recently(record.entry, now)]
        addresses = sorted(record.callers for record in recent or ready)
        if not addresses:
            raise errors.NotReadyError("no entry is ready", retry_after=RETRY_AFTER_SECONDS)
        return addresses[:MAX_ADDRESS_COUNT]
