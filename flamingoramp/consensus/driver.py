"""Executes the effects that a replica returns: storage writes first, then all others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flamingoramp.consensus import effects, storage


class Driver:
    """Executes batches of effects, with every storage write before messages and callbacks.

    A message may acknowledge an entry or a vote, which must be on disk before it is sent.

    Parameters
    ----------
    store : storage.Storage or storage.MemoryStorage
    send : callable
        Called with the name of a host and a message for its replica.
    load : callable
        Called with a snapshot from which the state machine is to be restored.
    apply : callable
        Called with each committed entry, in the order of the log.
    on_leader_changed : callable
        Called with an `effects.LeaderChanged`.
    on_membership_changed : callable
        Called with an `effects.MembershipChanged`.
    on_cluster_changed : callable
        Called with an `effects.ClusterChanged`.
    """

    def __init__(
        self,
        *,
        store: storage.Storage | storage.MemoryStorage,
        send: Callable[[str, Any], None],
        load: Callable[[effects.Snapshot], None],
        apply: Callable[[Any], None],
        on_leader_changed: Callable[[effects.LeaderChanged], None],
        on_membership_changed: Callable[[effects.MembershipChanged], None],
        on_cluster_changed: Callable[[effects.ClusterChanged], None],
    ):
        self._store = store
        self._send = send
        self._load = load
        self._apply = apply
        self._on_leader_changed = on_leader_changed
        self._on_membership_changed = on_membership_changed
        self._on_cluster_changed = on_cluster_changed

    def execute(self, batch: list[Any]) -> None:
        """Execute one batch of effects.

        Raises
        ------
        flamingoramp.errors.StorageFailedError
            If storage refuses a write; no message of the batch is sent then.
        """
        self._execute_storage_effects(batch)
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
                case effects.MembershipChanged():
                    self._on_membership_changed(effect)
                case effects.ClusterChanged():
                    self._on_cluster_changed(effect)

    def _execute_storage_effects(self, batch: list[Any]) -> None:
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
