"""Records of backend servers and entries, merged from reports that arrive over several paths.

Each report carries the start time of its sender and a sequence number, and the newer of two reports
is kept, regardless of the path and order of their arrival. ``leaving`` and ``gone`` are final until
the server restarts, so that a late report never makes it available again.
"""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# Retention of the record of a server that is gone; longer than any report may be in transit.
TOMBSTONE_SECONDS = 120.0
# Interval at which reports without changes are forwarded to subscribers. It may be long, because
# a failed server is detected by its missing responses to requests.
RENEWAL_INTERVAL_SECONDS = 5.0
# An entry without a report for longer is considered stopped, and its record is removed.
ENTRY_EXPIRY_SECONDS = 30.0


@attrs.define
class _StoredRecord:
    """A record, the times when it was reported and published, and its change number."""

    record: messages.ServerRecord | messages.EntryRecord
    reported_at: float
    change_number: int = 0
    published_at: float = float("-inf")


class Registry:
    """Records of backend servers and entries that one process has received.

    Times are in seconds of the process's monotonic clock.
    """

    def __init__(self):
        self._servers: dict[str, _StoredRecord] = {}
        self._entries: dict[str, _StoredRecord] = {}
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Counter, incremented with each change of a record that subscribers are to receive."""
        return self._change_number

    def servers(self) -> list[messages.ServerRecord]:
        """Return the records of all servers that are not gone."""
        return [stored.record for stored in self._servers.values() if not stored.record.gone]

    def find_server(self, server: str) -> messages.ServerRecord | None:
        """Return the record of a server, None if it is unknown."""
        stored = self._servers.get(server)
        return stored.record if stored else None

    def entries(self, now: float, *, max_age_seconds: float) -> list[messages.EntryRecord]:
        """Return the entries whose last report is at most ``max_age_seconds`` old."""
        return [
            stored.record
            for stored in self._entries.values()
            if now - stored.reported_at <= max_age_seconds
        ]

    def seconds_since_report(self, server: str, now: float) -> float:
        """Return the seconds since the last report of a server, infinity if it is unknown."""
        stored = self._servers.get(server)
        return now - stored.reported_at if stored else float("inf")

    def update_server(
        self, record: messages.ServerRecord, now: float, *, relayed: bool = False
    ) -> bool:
        """Merge a report of a server.

        Parameters
        ----------
        relayed : bool
            Whether another control host received the report first. That host then forwards
            reports without changes, and this one does not.

        Returns
        -------
        bool
            Whether the report updated the stored record.
        """
        stored = self._servers.get(record.server)
        reported_at = now - record.age
        if stored is not None:
            before = stored.record
            record = _merge(before, record)
            if record is before:
                return False
            renewal = _is_renewal(before, record)
            if renewal and (relayed or now - stored.published_at < RENEWAL_INTERVAL_SECONDS):
                stored.record, stored.reported_at = attrs.evolve(record, age=0.0), reported_at
                return True
        self._change_number += 1
        self._servers[record.server] = _StoredRecord(
            attrs.evolve(record, age=0.0), reported_at, self._change_number, now
        )
        self._mark_previous_servers_gone(record)
        return True

    def update_entry(
        self, record: messages.EntryRecord, now: float, *, relayed: bool = False
    ) -> bool:
        """Merge a report of an entry; return whether it updated the stored record.

        Parameters
        ----------
        relayed : bool
            Whether another control host received the report first. That host then forwards
            reports without changes, and this one does not.
        """
        stored = self._entries.get(record.entry)
        reported_at = now - record.age
        if stored is not None:
            before = stored.record
            if (record.born, record.sequence) <= (before.born, before.sequence):
                return False
            if relayed and _is_renewal(before, record):
                stored.record, stored.reported_at = attrs.evolve(record, age=0.0), reported_at
                return True
        self._change_number += 1
        self._entries[record.entry] = _StoredRecord(
            attrs.evolve(record, age=0.0), reported_at, self._change_number
        )
        return True

    def changed_since(
        self, change_number: int, now: float
    ) -> tuple[tuple[messages.ServerRecord, ...], tuple[messages.EntryRecord, ...]]:
        """Return the records that changed after a change number, with their current ages."""
        return (
            tuple(
                _with_age(stored, now)
                for stored in self._servers.values()
                if stored.change_number > change_number
            ),
            tuple(
                _with_age(stored, now)
                for stored in self._entries.values()
                if stored.change_number > change_number
            ),
        )

    def remove_expired(self, now: float) -> None:
        """Remove records of gone servers and of entries without reports, after their retention."""
        for server, stored in list(self._servers.items()):
            if stored.record.gone and now - stored.reported_at > TOMBSTONE_SECONDS:
                del self._servers[server]
        for entry, stored in list(self._entries.items()):
            if now - stored.reported_at > ENTRY_EXPIRY_SECONDS:
                del self._entries[entry]

    def _mark_previous_servers_gone(self, record: messages.ServerRecord) -> None:
        """Mark the earlier started of two servers with one address as gone, whichever reported."""
        if record.gone:
            return
        for stored in self._servers.values():
            other = stored.record
            same_address = other.address == record.address and other.server != record.server
            if not same_address or other.gone:
                continue
            earlier_record = other if other.born <= record.born else record
            self._change_number += 1
            earlier = self._servers[earlier_record.server]
            earlier.record = attrs.evolve(earlier_record, gone=True, age=0.0)
            earlier.change_number = self._change_number


def _merge(before: messages.ServerRecord, after: messages.ServerRecord) -> messages.ServerRecord:
    """Return the newer of two reports; ``before`` itself if ``after`` has nothing new."""
    if before.born and after.born and after.born != before.born:
        return after if after.born > before.born else before
    born = max(before.born, after.born)
    gone = before.gone or after.gone
    leaving = before.leaving or after.leaving
    if after.sequence > before.sequence:
        return attrs.evolve(after, gone=gone, leaving=leaving, born=born)
    if gone != before.gone or leaving != before.leaving:
        return attrs.evolve(before, gone=gone, leaving=leaving, born=born)
    return before


def _is_renewal(
    before: messages.ServerRecord | messages.EntryRecord,
    after: messages.ServerRecord | messages.EntryRecord,
) -> bool:
    return attrs.evolve(after, sequence=0, age=0.0) == attrs.evolve(before, sequence=0, age=0.0)


def _with_age(stored: _StoredRecord, now: float) -> messages.ServerRecord | messages.EntryRecord:
    return attrs.evolve(stored.record, age=max(0.0, now - stored.reported_at))
