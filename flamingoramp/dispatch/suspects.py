"""Contents that were running when engines crashed.

After a crash each content that ran there is a suspect. Suspects run alone, one at a time; one whose
lonely runs crashed engines `CONFIRMING_CRASHES` times is refused for `QUARANTINE_SECONDS`.
"""

from __future__ import annotations

from typing import Any

import attrs
import cattrs

from flamingoramp.protocol import messages

QUARANTINE_CRASH_COUNT = 2
QUARANTINE_SECONDS = 3600.0
SUSPECTS_KEPT = 4096
REPORTS_KEPT = 256

_converter = cattrs.Converter()


@attrs.frozen
class Record:
    """A suspect; ``lonely_crashes`` counts engines that crashed while it alone ran there."""

    service: str
    lonely_crashes: int
    updated: float

    @property
    def confirmed(self) -> bool:
        """Whether the content is refused."""
        return self.lonely_crashes >= QUARANTINE_CRASH_COUNT


class SuspectTable:
    """Suspects by fingerprint."""

    def __init__(self):
        self._records: dict[str, Record] = {}
        self._reports: dict[str, bool] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number that grows with each change."""
        return self._version

    def apply_report(self, command: Any) -> int:
        """Take in a crash or a clearance; a report seen before changes nothing.

        Parameters
        ----------
        command : flamingoramp.intent.commands.RecordCrash
        """
        if command.report_id in self._reports:
            return self._version
        self._reports[command.report_id] = True
        while len(self._reports) > REPORTS_KEPT:
            del self._reports[next(iter(self._reports))]
        self._version += 1
        for fingerprint in command.cleared:
            self._records.pop(fingerprint, None)
        for fingerprint in command.fingerprints:
            known = self._records.get(fingerprint)
            crashes = known.lonely_crashes if known else 0
            crashes += fingerprint in command.lonely
            self._records[fingerprint] = Record(command.service, crashes, command.now)
        self._drop_old(command.now)
        return self._version

    def list_suspects(self) -> tuple[messages.Suspect, ...]:
        """Return all suspects."""
        return tuple(
            messages.Suspect(fingerprint, record.lonely_crashes, record.confirmed, record.service)
            for fingerprint, record in self._records.items()
        )

    def dump(self) -> dict[str, Any]:
        """Return the table as plain data."""
        return {
            "version": self._version,
            "records": _converter.unstructure(self._records),
            "reports": list(self._reports),
        }

    def load(self, stored: dict[str, Any]) -> None:
        """Replace the table by what `dump` returned."""
        self._version = stored["version"]
        self._records = _converter.structure(stored["records"], dict[str, Record])
        self._reports = dict.fromkeys(stored["reports"], True)

    def _drop_old(self, now: float) -> None:
        live = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if now - record.updated < QUARANTINE_SECONDS
        }
        self._records = dict(list(live.items())[-SUSPECTS_KEPT:])
