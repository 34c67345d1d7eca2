"""Carries out a replica's effects: storage first, then messages and committed entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flamingoramp.consensus import effects, storage


class Driver:
    """Applies batches of effects in the order that safety needs.

    Parameters
    ----------
    store : storage.Storage or storage.MemoryStorage
    send : callable
        Takes a host's name and a message.
    load : callable
        Takes the snapshot whose data replaces the state machine's.
    apply : callable
        Takes a committed entry.
    leader_changed : callable
        Takes an `effects.LeaderChanged`.
    """

    def __init__(
        self,
        *,
        store: storage.Storage | storage.MemoryStorage,
        send: Callable[[str, Any], None],
        load: Callable[[effects.Snapshot], None],
        apply: Callable[[Any], None],
        on_leader_changed: Callable[[effects.LeaderChanged], None],
    ):
        self._store = store
        self._send = send
        self._load = load
        self._apply = apply
        self._on_leader_changed = on_leader_changed

    def execute(self, batch: list[Any]) -> None:
        """Carry out one batch of effects."""
        self._write(batch)
        for effect in batch:
            match effect:
                case effects.Send(host, message):
                    self._send(host, message)
                case effects.Apply(entry):
                    self._apply(entry)
                case effects.RestoreSnapshot(_, snapshot):
                    self._load(snapshot)
                case effects.LeaderChanged():
                    self._on_leader_changed(effect)

    def _write(self, batch: list[Any]) -> None:
        pending: list[effects.Persist] = []
        for effect in batch:
            match effect:
                case effects.Persist():
                    pending.append(effect)
                case effects.SaveSnapshot(hard_state, snapshot, entries):
                    self._flush(pending)
                    self._store.save_snapshot(hard_state, snapshot, entries)
                case effects.RestoreSnapshot(hard_state, snapshot):
                    self._flush(pending)
                    self._store.save_snapshot(hard_state, snapshot, ())
        self._flush(pending)

    def _flush(self, pending: list[effects.Persist]) -> None:
        if pending:
            self._store.persist(pending)
            pending.clear()
