"""Requests whose content may crash engines: who is suspect, and where suspects run.

At most one copy of a content that never finished runs at a time, so that a content that crashes
every engine costs one engine before it is a suspect, and `suspects.CONFIRMING_CRASHES` more before
it is refused.
"""

from __future__ import annotations

import collections

import attrs

from flamingoramp.dispatch import suspects
from flamingoramp.protocol import messages

CLEARED_KEPT = 8192
SETTLE_SECONDS = 0.5


@attrs.define
class _CrashWatch:
    """A server that broke connections; ``fingerprints`` ran there."""

    since: float
    fingerprints: set[str]


class Isolation:
    """Suspects, and servers that may have crashed, of one shard."""

    def __init__(self):
        self._crashes: dict[str, int] = {}
        self._pending: dict[str, tuple[tuple[str, ...], bool]] = {}
        self._cleared: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._watches: dict[str, _CrashWatch] = {}

    def load(self, listing: tuple[messages.Suspect, ...]) -> None:
        """Take the committed suspects, then what is reported but not committed yet."""
        self._crashes = {one.fingerprint: one.crashes for one in listing}
        for fingerprints, cleared in self._pending.values():
            self._apply(fingerprints, cleared)

    def settle(self, report_id: str) -> None:
        """Note that a report is committed."""
        self._pending.pop(report_id, None)

    def pending(self) -> dict[str, tuple[tuple[str, ...], bool]]:
        """Return the reports that are not committed yet."""
        return self._pending

    def is_confirmed(self, fingerprint: str) -> bool:
        """Tell whether a content is refused."""
        return self._crashes.get(fingerprint, 0) >= suspects.CONFIRMING_CRASHES

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a content must run alone."""
        return fingerprint in self._crashes

    def is_cleared(self, fingerprint: str) -> bool:
        """Tell whether a content has finished before, so that copies may run side by side."""
        return fingerprint in self._cleared

    def clear(self, fingerprint: str, report_id: str) -> bool:
        """Note that a content finished; return whether it was a suspect."""
        self._cleared[fingerprint] = None
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > CLEARED_KEPT:
            self._cleared.popitem(last=False)
        if fingerprint not in self._crashes:
            return False
        self._report((fingerprint,), True, report_id)
        return True

    def watch(self, server: str, fingerprints: set[str], now: float) -> None:
        """Note that a server broke a connection while these contents ran there."""
        watch = self._watches.setdefault(server, _CrashWatch(now, set()))
        watch.fingerprints |= fingerprints

    def is_watched(self, server: str) -> bool:
        """Tell whether a server may have crashed, so that it gets no new work."""
        return server in self._watches

    def dismiss(self, server: str, now: float) -> bool:
        """End the watch of a server that still announces itself."""
        watch = self._watches.get(server)
        if watch is None or now - watch.since < SETTLE_SECONDS:
            return False
        del self._watches[server]
        return True

    def confirm_crash(self, server: str, fingerprints: set[str], report_id: str) -> tuple[str, ...]:
        """Make suspects of all contents that ran on a server that crashed."""
        watch = self._watches.pop(server, None)
        ran = fingerprints | (watch.fingerprints if watch else set())
        if ran:
            self._report(tuple(sorted(ran)), False, report_id)
        return tuple(sorted(ran))

    def _report(self, fingerprints: tuple[str, ...], cleared: bool, report_id: str) -> None:
        self._pending[report_id] = (fingerprints, cleared)
        self._apply(fingerprints, cleared)

    def _apply(self, fingerprints: tuple[str, ...], cleared: bool) -> None:
        for fingerprint in fingerprints:
            if cleared:
                self._crashes.pop(fingerprint, None)
                continue
            self._cleared.pop(fingerprint, None)
            lonely = len(fingerprints) == 1 and fingerprint in self._crashes
            self._crashes[fingerprint] = self._crashes.get(fingerprint, 0) + lonely
