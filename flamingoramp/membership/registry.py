"""Backend servers and entries as their reports tell, merged from many sources.

Each report carries when its sender started and a number that grows. Of two reports the newer one
counts, whichever way and in whichever order they came. ``leaving`` and ``gone`` are final for one
life of a server, so that a report that comes late never brings it back.
"""

from __future__ import annotations

import attrs

from flamingoramp.protocol import messages

# How long the end of a server is remembered, longer than any report may be under way.
TOMBSTONE_SECONDS = 120.0
# A mere renewal is passed on at most this often; that a server went silent is seen by its answers.
RENEWAL_INTERVAL_SECONDS = 5.0
# An entry that is silent for longer has ended; its last report is dropped.
ENTRY_EXPIRY_SECONDS = 30.0


@attrs.define
class _Held:
    """A record, when it was heard of, and a number that grows with each change."""

    record: messages.ServerRecord | messages.EntryRecord
    heard_at: float
    change: int = 0
    told_at: float = float("-inf")


class Registry:
    """What a process knows of backend servers and entries.

    Times are monotonic seconds of the process.
    """

    def __init__(self):
        self._servers: dict[str, _Held] = {}
        self._entries: dict[str, _Held] = {}
        self._change = 0

    @property
    def change_number(self) -> int:
        """Number that grows with each change of any record."""
        return self._change

    def servers(self) -> list[messages.ServerRecord]:
        """Return all servers that have not ended."""
        return [one.record for one in self._servers.values() if not one.record.gone]

    def find_server(self, server: str) -> messages.ServerRecord | None:
        """Return a server's record."""
        held = self._servers.get(server)
        return held.record if held else None

    def entries(self, now: float, *, max_age_seconds: float) -> list[messages.EntryRecord]:
        """Return the entries that were heard of within ``silence`` seconds."""
        return [
            one.record for one in self._entries.values() if now - one.heard_at <= max_age_seconds
        ]

    def seconds_since_report(self, server: str, now: float) -> float:
        """Return for how long a server has been silent, in seconds."""
        held = self._servers.get(server)
        return now - held.heard_at if held else float("inf")

    def update_server(
        self, record: messages.ServerRecord, now: float, *, relayed: bool = False
    ) -> bool:
        """Take a report in.

        Parameters
        ----------
        relayed : bool
            Whether another control host took the report, and tells the others of mere renewals.

        Returns
        -------
        bool
            Whether it told anything new.
        """
        held = self._servers.get(record.server)
        heard_at = now - record.age
        if held is not None:
            before = held.record
            record = _merge(before, record)
            if record is before:
                return False
            renewal = _is_renewal(before, record)
            if renewal and (relayed or now - held.told_at < RENEWAL_INTERVAL_SECONDS):
                held.record, held.heard_at = attrs.evolve(record, age=0.0), heard_at
                return True
        self._change += 1
        self._servers[record.server] = _Held(
            attrs.evolve(record, age=0.0), heard_at, self._change, now
        )
        self._retire_predecessors(record)
        return True

    def update_entry(
        self, record: messages.EntryRecord, now: float, *, relayed: bool = False
    ) -> bool:
        """Take an entry's report in; return whether it told anything new.

        Parameters
        ----------
        relayed : bool
            Whether another control host took the report, and tells the others of mere renewals.
        """
        held = self._entries.get(record.entry)
        heard_at = now - record.age
        if held is not None:
            before = held.record
            if (record.born, record.sequence) <= (before.born, before.sequence):
                return False
            if relayed and _is_renewal(before, record):
                held.record, held.heard_at = attrs.evolve(record, age=0.0), heard_at
                return True
        self._change += 1
        self._entries[record.entry] = _Held(attrs.evolve(record, age=0.0), heard_at, self._change)
        return True

    def changed_since(
        self, change: int, now: float
    ) -> tuple[tuple[messages.ServerRecord, ...], tuple[messages.EntryRecord, ...]]:
        """Return the servers and entries that changed after a number, with their ages."""
        return (
            tuple(_aged(one, now) for one in self._servers.values() if one.change > change),
            tuple(_aged(one, now) for one in self._entries.values() if one.change > change),
        )

    def remove_expired(self, now: float) -> None:
        """Drop what is of no use any more."""
        for server, held in list(self._servers.items()):
            if held.record.gone and now - held.heard_at > TOMBSTONE_SECONDS:
                del self._servers[server]
        for entry, held in list(self._entries.items()):
            if now - held.heard_at > ENTRY_EXPIRY_SECONDS:
                del self._entries[entry]

    def _retire_predecessors(self, record: messages.ServerRecord) -> None:
        """End the records of servers that had this server's address before it."""
        if record.gone:
            return
        for held in self._servers.values():
            other = held.record
            same = other.address == record.address and other.server != record.server
            if not same or other.gone:
                continue
            older = other if other.born <= record.born else record
            self._change += 1
            target = self._servers[older.server]
            target.record = attrs.evolve(older, gone=True, age=0.0)
            target.change = self._change


def _merge(before: messages.ServerRecord, after: messages.ServerRecord) -> messages.ServerRecord:
    """Return the newer of two reports; ``before`` itself if the other tells nothing new."""
    if before.born and after.born and after.born != before.born:
        return after if after.born > before.born else before
    born = max(before.born, after.born)
    ended = before.gone or after.gone
    leaving = before.leaving or after.leaving
    if after.sequence > before.sequence:
        return attrs.evolve(after, gone=ended, leaving=leaving, born=born)
    if ended != before.gone or leaving != before.leaving:
        return attrs.evolve(before, gone=ended, leaving=leaving, born=born)
    return before


def _is_renewal(
    before: messages.ServerRecord | messages.EntryRecord,
    after: messages.ServerRecord | messages.EntryRecord,
) -> bool:
    return attrs.evolve(after, sequence=0, age=0.0) == attrs.evolve(before, sequence=0, age=0.0)


def _aged(held: _Held, now: float) -> messages.ServerRecord | messages.EntryRecord:
    return attrs.evolve(held.record, age=max(0.0, now - held.heard_at))
