"""Records of backend servers and entries, merged from reports that arrive over several paths.

Each report carries the start time of its sender and a sequence number, and the newer of two reports
is kept, regardless of the path and order of their arrival. ``leaving`` and ``gone`` are final until
the server restarts, so that a late report never makes it available again.

A report that changes nothing but its sequence number is a renewal. Control hosts forward renewals
to each other, and only changes to entries, so that an entry's share grows with what changes and not
with the number of servers and entries. A control host marks what is no longer renewed, which is a
change: servers as ``silent``, entries as ``gone``.

The remaining time of a cold server falls with each of its reports. That is no change while the end
of the time stays the same.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable, Iterator

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages

# Retention of the record of a server or entry that is gone; longer than any report may be in
# transit.
TOMBSTONE_SECONDS = 120.0
# Reports whose ends of a cold time differ by no more are renewals. Reports are delayed differently.
COLD_END_TOLERANCE_SECONDS = 0.25
# An entry without a report for longer is considered stopped.
ENTRY_EXPIRY_SECONDS = 30.0

# Fields in which a report and its renewal differ.
TIME_FIELDS = ("sequence", "age", "cold_seconds")

Record = messages.ServerRecord | messages.EntryRecord


@attrs.define(eq=False, repr=False)
class _StoredRecord(value_classes.MutableValue):
    """A record, the time when it was reported, and the number of its last change.

    ``cold_until`` is the end of the cold time of a server as of the last change.
    """

    record: Record
    reported_at: float
    change_number: int = 0
    cold_until: float = float("-inf")


class _UpdateLog:
    """Names of updated records in the order of the numbers of their last updates."""

    def __init__(self):
        self._numbers: dict[str, int] = {}

    def append(self, name: str, number: int) -> None:
        """Append an update, which has a higher number than all before; drops the name's last."""
        self._numbers.pop(name, None)
        self._numbers[name] = number

    def discard(self, name: str) -> None:
        """Remove a name."""
        self._numbers.pop(name, None)

    def since(self, number: int) -> Iterator[str]:
        """Yield the names of the updates after a number, the latest first."""
        for name in reversed(self._numbers):
            if self._numbers[name] <= number:
                return
            yield name


class _Records:
    """Stored records of one kind with the logs of their changes, and of renewals and changes."""

    def __init__(self):
        self.stored: dict[str, _StoredRecord] = {}
        self._changes = _UpdateLog()
        self._updates = _UpdateLog()

    def change(self, name: str, stored: _StoredRecord) -> None:
        """Store a changed record."""
        self.stored[name] = stored
        self._changes.append(name, stored.change_number)
        self._updates.append(name, stored.change_number)

    def renew(self, name: str, number: int) -> None:
        """Record that a record was renewed."""
        self._updates.append(name, number)

    def remove(self, name: str) -> None:
        """Remove a record."""
        del self.stored[name]
        self._changes.discard(name)
        self._updates.discard(name)

    def since(self, number: int, now: float, *, with_renewals: bool) -> tuple[Record, ...]:
        """Return the records updated after a number, with their current ages."""
        log = self._updates if with_renewals else self._changes
        return tuple([_with_age(self.stored[name], now) for name in log.since(number)])


class Registry:
    """Records of backend servers and entries that one process has received.

    Times are in seconds of the process's monotonic clock.
    """

    def __init__(self):
        self._servers = _Records()
        self._entries = _Records()
        # Names of the servers that aren't gone, by address; two only while one replaces the other.
        self._names_by_address: dict[str, set[str]] = {}
        self._update_number = 0
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Number of the last update that changed a record."""
        return self._change_number

    @property
    def update_number(self) -> int:
        """Number of the last update: a change, or a renewal that was received from its sender."""
        return self._update_number

    def servers(self) -> list[messages.ServerRecord]:
        """Return the records of all servers that are not gone."""
        return [stored.record for stored in self._servers.stored.values() if not stored.record.gone]

    def find_server(self, server: str) -> messages.ServerRecord | None:
        """Return the record of a server, None if it is unknown."""
        stored = self._servers.stored.get(server)
        return stored.record if stored else None

    def entries(self) -> list[messages.EntryRecord]:
        """Return the records of all entries that are not gone."""
        return [stored.record for stored in self._entries.stored.values() if not stored.record.gone]

    def update_server(
        self, record: messages.ServerRecord, now: float, *, relayed: bool = False
    ) -> bool:
        """Merge a report of a server.

        Parameters
        ----------
        relayed : bool
            Whether another control host received the report first. That host then forwards
            renewals, and this one does not.

        Returns
        -------
        bool
            Whether the report updated the stored record.
        """
        stored = self._servers.stored.get(record.server)
        reported_at = now - record.age
        if stored is not None:
            before = stored.record
            record = _merge(before, record)
            if record is before:
                return False
            is_cold_end_known = _is_cold_end_known(stored, record, reported_at, now)
            if is_cold_end_known and _is_renewal(before, record):
                stored.record, stored.reported_at = attrs.evolve(record, age=0.0), reported_at
                if not relayed:
                    self._servers.renew(record.server, self._next_number())
                return True
        self._change_server(attrs.evolve(record, age=0.0), reported_at)
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
            renewals, and this one does not.
        """
        stored = self._entries.stored.get(record.entry)
        reported_at = now - record.age
        if stored is not None:
            before = stored.record
            is_newer = (record.born, record.sequence) > (before.born, before.sequence)
            is_end = record.gone and (record.born, record.sequence) == (
                before.born,
                before.sequence,
            )
            if not is_newer and (not is_end or before.gone):
                return False
            if _is_renewal(before, record):
                stored.record, stored.reported_at = attrs.evolve(record, age=0.0), reported_at
                if not relayed:
                    self._entries.renew(record.entry, self._next_number())
                return True
        self._change_entry(attrs.evolve(record, age=0.0), reported_at)
        return True

    def renew_entry(self, entry: str, now: float) -> None:
        """Record that a message of an entry arrived which repeats its last report."""
        stored = self._entries.stored.get(entry)
        if stored is not None and not stored.record.gone:
            stored.reported_at = max(stored.reported_at, now)

    def changed_since(
        self, number: int, now: float, *, with_renewals: bool = False
    ) -> tuple[tuple[messages.ServerRecord, ...], tuple[messages.EntryRecord, ...]]:
        """Return the records that changed after an update number, with their current ages.

        Parameters
        ----------
        number : int
        now : float
        with_renewals : bool
            Also return records that were only renewed.
        """
        if number >= (self._update_number if with_renewals else self._change_number):
            return (), ()
        return (
            self._servers.since(number, now, with_renewals=with_renewals),
            self._entries.since(number, now, with_renewals=with_renewals),
        )

    def mark_unreported(
        self, now: float, *, observed_since: float, server_seconds: float
    ) -> list[Record]:
        """Mark servers as silent and entries as gone that have not been reported for too long.

        Parameters
        ----------
        now : float
        observed_since : float
            Time since which this process would have received all reports; silence is counted from
            then.
        server_seconds : float
            Time without a report after which a server is silent. Entries are gone after
            `ENTRY_EXPIRY_SECONDS`.

        Returns
        -------
        list of ServerRecord and EntryRecord
            The records that were marked.
        """
        marked: list[Record] = []
        for stored in list(self._servers.stored.values()):
            record = stored.record
            silent_seconds = now - max(stored.reported_at, observed_since)
            if silent_seconds > server_seconds and not (record.silent or record.gone):
                marked.append(attrs.evolve(record, silent=True))
                self._change_server(marked[-1], stored.reported_at)
        for stored in list(self._entries.stored.values()):
            silent_seconds = now - max(stored.reported_at, observed_since)
            if silent_seconds > ENTRY_EXPIRY_SECONDS and not stored.record.gone:
                marked.append(attrs.evolve(stored.record, gone=True))
                self._change_entry(marked[-1], stored.reported_at)
        return marked

    def remove_expired(self, now: float) -> None:
        """Remove the records of servers and entries that are gone, after their retention."""
        for records in (self._servers, self._entries):
            for name, stored in list(records.stored.items()):
                if stored.record.gone and now - stored.reported_at > TOMBSTONE_SECONDS:
                    records.remove(name)

    def _next_number(self) -> int:
        self._update_number += 1
        return self._update_number

    def _next_change_number(self) -> int:
        self._change_number = self._next_number()
        return self._change_number

    def _change_server(self, record: messages.ServerRecord, reported_at: float) -> None:
        cold_until = reported_at + record.cold_seconds
        stored = _StoredRecord(record, reported_at, self._next_change_number(), cold_until)
        previous = self._servers.stored.get(record.server)
        if previous is not None:
            self._discard_address(previous.record)
        if not record.gone:
            self._names_by_address.setdefault(record.address, set()).add(record.server)
        self._servers.change(record.server, stored)

    def _discard_address(self, record: messages.ServerRecord) -> None:
        names = self._names_by_address.get(record.address, set())
        names.discard(record.server)
        if not names:
            self._names_by_address.pop(record.address, None)

    def _change_entry(self, record: messages.EntryRecord, reported_at: float) -> None:
        stored = _StoredRecord(record, reported_at, self._next_change_number())
        self._entries.change(record.entry, stored)

    def _mark_previous_servers_gone(self, record: messages.ServerRecord) -> None:
        """Mark the earlier started of two servers with one address as gone, whichever reported."""
        if record.gone:
            return
        for name in sorted(self._names_by_address.get(record.address, set()) - {record.server}):
            other = self._servers.stored[name].record
            earlier_record = other if other.born <= record.born else record
            earlier = self._servers.stored[earlier_record.server]
            self._change_server(
                attrs.evolve(earlier_record, gone=True, age=0.0), earlier.reported_at
            )


def _merge(before: messages.ServerRecord, after: messages.ServerRecord) -> messages.ServerRecord:
    """Return the newer of two reports; ``before`` itself if ``after`` has nothing new."""
    if before.born and after.born and after.born != before.born:
        return after if after.born > before.born else before
    born = max(before.born, after.born)
    gone = before.gone or after.gone
    leaving = before.leaving or after.leaving
    if after.sequence > before.sequence:
        return attrs.evolve(after, gone=gone, leaving=leaving, born=born)
    silent = before.silent or (after.silent and after.sequence == before.sequence)
    if (gone, leaving, silent) != (before.gone, before.leaving, before.silent):
        return attrs.evolve(before, gone=gone, leaving=leaving, silent=silent, born=born)
    return before


def _is_renewal(before: Record, after: Record) -> bool:
    """Return whether two reports of one sender differ only in the fields of `TIME_FIELDS`."""
    read_state = _state_reader(type(before))
    return read_state(before) == read_state(after)


@functools.cache
def _state_reader(record_class: type) -> Callable[[Record], tuple]:
    names = [field.name for field in attrs.fields(record_class) if field.name not in TIME_FIELDS]
    return operator.attrgetter(*names)


def _is_cold_end_known(
    stored: _StoredRecord, record: messages.ServerRecord, reported_at: float, now: float
) -> bool:
    """Tell whether a report gives the same end of the cold time as the last change, or none."""
    cold_until = reported_at + record.cold_seconds
    is_same = abs(cold_until - stored.cold_until) <= COLD_END_TOLERANCE_SECONDS
    return is_same or max(cold_until, stored.cold_until) <= now


def _with_age(stored: _StoredRecord, now: float) -> Record:
    return attrs.evolve(stored.record, age=max(0.0, now - stored.reported_at))
