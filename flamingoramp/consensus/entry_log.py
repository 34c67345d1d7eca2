"""Entries of the replicated log that follow its last snapshot."""

from __future__ import annotations

import attrs

from flamingoramp.consensus import effects
from flamingoramp.protocol import messages


@attrs.frozen
class RecoveredState:
    """What storage holds when a replica starts."""

    hard_state: effects.HardState = attrs.field(factory=effects.HardState)
    snapshot: effects.Snapshot = attrs.field(factory=effects.Snapshot)
    entries: tuple[messages.LogEntry, ...] = ()


class EntryLog:
    """The entries in memory, by index."""

    def __init__(self, snapshot: effects.Snapshot, entries: tuple[messages.LogEntry, ...]):
        self._snapshot = snapshot
        self._entries = list(entries)

    @property
    def snapshot(self) -> effects.Snapshot:
        """The snapshot that the entries follow."""
        return self._snapshot

    @property
    def entries(self) -> tuple[messages.LogEntry, ...]:
        """All entries after the snapshot."""
        return tuple(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def entry_at(self, index: int) -> messages.LogEntry:
        """Return the entry of an index after the snapshot."""
        return self._entries[index - self._snapshot.last_index - 1]

    def term_at(self, index: int) -> int:
        """Return the term of an index at or after the snapshot's last."""
        if index == self._snapshot.last_index:
            return self._snapshot.last_term
        return self.entry_at(index).term

    def matches(self, index: int, term: int) -> bool:
        """Tell whether the log holds an entry of this index and term."""
        if index < self._snapshot.last_index:
            return True  # committed, hence the same everywhere
        return index <= self.last_index and self.term_at(index) == term

    def slice(self, first: int, count: int) -> tuple[messages.LogEntry, ...]:
        """Return up to ``count`` entries from an index on."""
        start = first - self._snapshot.last_index - 1
        return tuple(self._entries[start : start + count])

    def split_new(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> tuple[int, tuple[messages.LogEntry, ...]]:
        """Find which received entries are not in the log yet.

        Returns
        -------
        conflict : int
            First index whose stored entry is of another term, 0 if none.
        fresh : tuple of LogEntry
            The entries to append.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self._snapshot.last_index:
                continue
            if entry.index > self.last_index:
                return 0, entries[position:]
            if self.term_at(entry.index) != entry.term:
                return entry.index, entries[position:]
        return 0, ()

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self._entries[index - self._snapshot.last_index - 1 :]

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)

    def compact(self, snapshot: effects.Snapshot) -> None:
        """Replace the entries that a snapshot covers."""
        kept = self._entries[snapshot.last_index - self._snapshot.last_index :]
        self._snapshot = snapshot
        self._entries = kept
