"""In-memory copy of the replicated log: the last snapshot and the entries after it."""

from __future__ import annotations

import attrs

from flamingoramp import value_classes
from flamingoramp.consensus import effects
from flamingoramp.protocol import messages


@attrs.frozen(eq=False, repr=False)
class RecoveredState(value_classes.Value):
    """State that a replica reads from its storage at the start."""

    hard_state: effects.HardState = attrs.field(factory=effects.HardState)
    snapshot: effects.Snapshot = attrs.field(factory=effects.Snapshot)
    entries: tuple[messages.LogEntry, ...] = ()


class EntryLog:
    """Last snapshot and the entries after it; indexes start at 1 and continue after a snapshot."""

    def __init__(self, snapshot: effects.Snapshot, entries: tuple[messages.LogEntry, ...]):
        self._snapshot = snapshot
        self._entries = list(entries)

    @property
    def snapshot(self) -> effects.Snapshot:
        """The snapshot that precedes the entries."""
        return self._snapshot

    @property
    def entries(self) -> tuple[messages.LogEntry, ...]:
        """All entries after the snapshot, in the order of the log."""
        return tuple(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or that of the snapshot if no entry follows it."""
        return self._snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at ``last_index``."""
        return self.term_at(self.last_index)

    def entry_at(self, index: int) -> messages.LogEntry:
        """Return the entry at an index after that of the snapshot."""
        return self._entries[index - self._snapshot.last_index - 1]

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index, which may be that of the snapshot."""
        if index == self._snapshot.last_index:
            return self._snapshot.last_term
        return self.entry_at(index).term

    def contains(self, index: int, term: int) -> bool:
        """Return whether the log has an entry with this index and term."""
        if index < self._snapshot.last_index:
            return True  # committed entries are the same on all replicas
        return index <= self.last_index and self.term_at(index) == term

    def slice(self, first_index: int, max_count: int) -> tuple[messages.LogEntry, ...]:
        """Return up to ``max_count`` entries from index ``first_index`` on."""
        start = first_index - self._snapshot.last_index - 1
        return tuple(self._entries[start : start + max_count])

    def find_new_entries(
        self, entries: tuple[messages.LogEntry, ...]
    ) -> tuple[int, tuple[messages.LogEntry, ...]]:
        """Return the received entries that the log lacks.

        Returns
        -------
        conflict_index : int
            Index of the first stored entry whose term differs from that of the received entry at
            the same index, 0 if none.
        new_entries : tuple of LogEntry
            The entries to append, after the stored ones from ``conflict_index`` on are dropped.
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
        """Drop the entry at ``index``, which is after the snapshot, and all later entries."""
        del self._entries[index - self._snapshot.last_index - 1 :]

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries; the index of the first one is ``last_index`` + 1."""
        self._entries.extend(entries)

    def compact(self, snapshot: effects.Snapshot) -> None:
        """Replace the old snapshot, and all entries that the new one includes, by the new one."""
        remaining = self._entries[snapshot.last_index - self._snapshot.last_index :]
        self._snapshot = snapshot
        self._entries = remaining
