"""Crash suspects: request contents that were running on an engine when it crashed.

A content is identified by its fingerprint. After a crash each content that ran on the engine is a
suspect. Suspects run alone: one at a time, with no other request on the engine. A suspect that has
crashed `QUARANTINE_CRASH_COUNT` engines while it ran alone is quarantined: refused for
`QUARANTINE_SECONDS` after its last crash report. The table is part of the replicated state.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from flamingoramp.protocol import shard_messages

QUARANTINE_CRASH_COUNT = 2
QUARANTINE_SECONDS = 3600.0
MAX_SUSPECTS = 4096
MAX_REPORT_IDS = 256


@attrs.frozen
class SuspectRecord:
    """Crash count of one suspect.

    Parameters
    ----------
    service : str
    lonely_crashes : int
        Number of engines that crashed while they ran this content only.
    updated : float
        Cluster time of the last crash report that names the content, in seconds.
    """

    service: str
    lonely_crashes: int
    updated: float

    @property
    def quarantined(self) -> bool:
        """Whether the content is quarantined."""
        return self.lonely_crashes >= QUARANTINE_CRASH_COUNT


class SuspectTable:
    """Suspects by fingerprint."""

    def __init__(self):
        self._records: dict[str, SuspectRecord] = {}
        self._report_ids: dict[str, bool] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number of reports applied; increases with each change of the table."""
        return self._version

    def apply_report(self, command: Any) -> int:
        """Add or clear the suspects of a report and return the version.

        A report that was applied before changes nothing; the last `MAX_REPORT_IDS` are remembered.

        Parameters
        ----------
        command : flamingoramp.intent.commands.RecordCrash
        """
        if command.report_id in self._report_ids:
            return self._version
        self._report_ids[command.report_id] = True
        while len(self._report_ids) > MAX_REPORT_IDS:
            del self._report_ids[next(iter(self._report_ids))]
        self._version += 1
        for fingerprint in command.cleared:
            self._records.pop(fingerprint, None)
        for fingerprint in command.fingerprints:
            record = self._records.get(fingerprint)
            crashes = record.lonely_crashes if record else 0
            crashes += fingerprint in command.lonely
            self._records[fingerprint] = SuspectRecord(command.service, crashes, command.now)
        self._evict_expired(command.now)
        return self._version

    def list_suspects(self) -> tuple[shard_messages.Suspect, ...]:
        """Return all suspects as protocol messages, the quarantined ones included."""
        return tuple(
            shard_messages.Suspect(
                fingerprint, record.lonely_crashes, record.quarantined, record.service
            )
            for fingerprint, record in self._records.items()
        )

    def dump(self) -> dict[str, Any]:
        """Return the table as data that can be encoded as JSON."""
        return {
            "version": self._version,
            "records": msgspec.to_builtins(self._records),
            "reports": list(self._report_ids),
        }

    def load(self, stored: dict[str, Any]) -> None:
        """Replace the table with the result of `dump`."""
        self._version = stored["version"]
        self._records = msgspec.convert(stored["records"], dict[str, SuspectRecord])
        self._report_ids = dict.fromkeys(stored["reports"], True)

    def _evict_expired(self, now: float) -> None:
        unexpired = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if now - record.updated < QUARANTINE_SECONDS
        }
        self._records = dict(list(unexpired.items())[-MAX_SUSPECTS:])
