"""Which entries callers are sent to."""

from __future__ import annotations

from flamingoramp import errors
from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# An entry that was not heard of for this long is not named; reports come every 0.3 to 0.5 s.
REPORT_TIMEOUT_SECONDS = 1.2
MAX_ADDRESSES = 64
RETRY_AFTER_SECONDS = 0.5


class EntryDirectory:
    """Entries that are ready, and when each was last heard of.

    Parameters
    ----------
    known : registry.Registry
    """

    def __init__(self, known: registry.Registry):
        self._registry = known
        self._reported_at: dict[str, float] = {}

    def record_report(self, entry: str, now: float) -> None:
        """Note that an entry was heard of."""
        self._reported_at[entry] = now

    def reported_recently(self, entry: str, now: float) -> bool:
        """Tell whether an entry was heard of lately."""
        return now - self._reported_at.get(entry, float("-inf")) < REPORT_TIMEOUT_SECONDS

    def addresses(self, now: float, *, own: messages.EntryRecord | None = None) -> list[str]:
        """Return the addresses that callers may use.

        If none was heard of lately, this process is cut off, and the last known ones are named.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        own : messages.EntryRecord, optional
            This process itself, if it is an entry.

        Raises
        ------
        flamingoramp.errors.NotReadyError
            If no entry is ready.
        """
        known = {
            one.entry: one
            for one in self._registry.entries(now, max_age_seconds=registry.ENTRY_EXPIRY_SECONDS)
        }
        if own is not None:
            known[own.entry] = own
            self._reported_at[own.entry] = now
        ready = [one for one in known.values() if one.ready and not one.leaving]
        heard = [one for one in ready if self.reported_recently(one.entry, now)]
        addresses = sorted(one.callers for one in heard or ready)
        if not addresses:
            raise errors.NotReadyError("no entry is ready", retry_after=RETRY_AFTER_SECONDS)
        return addresses[:MAX_ADDRESSES]
