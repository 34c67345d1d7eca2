"""A replica with its storage and the commands that wait for their commit."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import errors
from flamingoramp.consensus import driver, effects, replica, storage
from flamingoramp.protocol import messages

STORAGE_RETRY_SECONDS = 0.5
SNAPSHOT_ENTRIES = 2000
# A log file above this size is replaced by a snapshot; a tenth of the smallest disk in use.
SNAPSHOT_LOG_BYTES = 12 * 1024 * 1024

CONSENSUS_MESSAGES = (
    messages.FoundingProbe,
    messages.FoundingReply,
    messages.Form,
    messages.JoinRequest,
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.InstallSnapshot,
)


class StateMachine(Protocol):
    """What the log's committed entries are applied to."""

    def apply_entry(self, entry: messages.LogEntry) -> Any:
        """Apply a committed entry and return its result."""

    def load(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""

    def dump(self) -> bytes:
        """Return the state for a snapshot."""


@attrs.frozen
class _Proposal:
    term: int
    done: Callable[[Any], None]
    failed: Callable[[errors.FlamingorampError], None]


@attrs.frozen
class NodeConfig:
    """Where a node stands in its cluster.

    Parameters
    ----------
    host : str
        Name of this host, by which ``send`` reaches it.
    seed_hosts : tuple of str
        Hosts that found the cluster, which are also asked first for the present one.
    may_form : bool
        Whether this start may found the cluster.
    """

    host: str
    seed_hosts: tuple[str, ...]
    may_create_cluster: bool


class Node:
    """A replica of the log that outlives failures of its disk.

    While the disk refuses writes, the node takes no part in the cluster. It starts again from what
    is stored once the disk takes writes.

    Parameters
    ----------
    place : Place
    store : storage.Storage or storage.MemoryStorage
    machine : StateMachine
    send : callable
        Takes a host's name and a message.
    on_leader_changed : callable
        Takes an `effects.LeaderChanged`.
    on_storage : callable
        Takes the error with which storage failed, None once it works again.
    new_incarnation : callable
        Returns a name that no earlier start had.
    rng : random.Random
    now : callable
        Returns monotonic seconds.
    timing : replica.Timing
    """

    def __init__(
        self,
        *,
        config: NodeConfig,
        store: storage.Storage | storage.MemoryStorage,
        state_machine: StateMachine,
        send: Callable[[str, Any], None],
        on_leader_changed: Callable[[effects.LeaderChanged], None],
        on_storage_status: Callable[[errors.StorageFailedError | None], None],
        new_incarnation: Callable[[], str],
        rng: random.Random,
        now: Callable[[], float],
        timing: replica.Timing,
    ):
        self._config = config
        self._store = store
        self._state_machine = state_machine
        self._send = send
        self._on_leader_changed = on_leader_changed
        self._on_storage_status = on_storage_status
        self._new_incarnation = new_incarnation
        self._rng = rng
        self._now = now
        self._timing = timing
        self._proposals: dict[int, _Proposal] = {}
        self._retry_at = 0.0
        self._replica: replica.Replica | None = None
        self._driver = driver.Driver(
            store=store,
            send=send,
            load=lambda snapshot: state_machine.load(snapshot.data),
            apply=self._apply,
            on_leader_changed=self._handle_leader_changed,
        )
        self._open()

    @property
    def replica(self) -> replica.Replica | None:
        """The replica, None while storage doesn't work."""
        return self._replica

    @property
    def identity(self) -> str:
        """Identity of the replica, empty while storage doesn't work."""
        return self._replica.identity if self._replica else ""

    @property
    def is_leader(self) -> bool:
        """Whether this node believes that it leads."""
        return self._replica is not None and self._replica.is_leader

    @property
    def leader_host(self) -> str:
        """Host of the leader last heard of, empty if none."""
        return replica.host_of(self._replica.leader) if self._replica else ""

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts of all replicas."""
        if self._replica is None:
            return ()
        membership = self._replica.membership
        return tuple(replica.host_of(one) for one in membership.voters + membership.learners)

    @property
    def has_leader_contact(self) -> bool:
        """Whether this node's state was current a moment ago."""
        return self._replica is not None and self._replica.has_leader_contact(self._now())

    def handle(self, sender: str, message: Any) -> None:
        """Process a message of another replica."""
        if self._replica is not None:
            self._execute(self._replica.handle(sender, message, self._now()))

    def tick(self) -> None:
        """Act on timeouts that have passed."""
        now = self._now()
        if self._replica is None:
            if now >= self._retry_at:
                self._open()
            return
        self._execute(self._replica.tick(now))
        if self._replica is not None and self._wants_snapshot():
            self._execute(self._replica.compact(self._state_machine.dump()))

    def propose(
        self,
        kind: str,
        payload: bytes,
        done: Callable[[Any], None],
        failed: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Propose an entry and call back with its result once it is committed."""
        if self._replica is None or not self._replica.is_leader:
            failed(errors.NotLeaderError("this replica doesn't lead", retry_after=0.2))
            return
        index, batch = self._replica.propose(kind, payload, self._now())
        self._proposals[index] = _Proposal(self._replica.term, done, failed)
        self._execute(batch)

    def request_read(self) -> float:
        """Begin to confirm a read; returns when it was asked for."""
        now = self._now()
        if self._replica is not None and self._replica.is_leader:
            self._execute(self._replica.request_read(now))
        return now

    def confirms_read(self, asked_at: float) -> bool:
        """Tell whether a quorum confirmed that this node led after ``asked_at``."""
        return self._replica is not None and self._replica.confirms_read(asked_at)

    def close(self) -> None:
        """Close the files."""
        self._store.close()

    def _wants_snapshot(self) -> bool:
        entries = len(self._replica.log.entries)
        return entries > SNAPSHOT_ENTRIES or self._store.log_bytes > SNAPSHOT_LOG_BYTES

    def _open(self) -> None:
        try:
            identity = self._store.load_identity(self._config.host, self._new_incarnation())
            recovered = self._store.recover()
            self._store.check_writable()
        except errors.StorageFailedError as error:
            self._give_up(error)
            return
        self._state_machine.load(recovered.snapshot.data)
        self._replica = replica.Replica(
            identity=identity,
            seed_hosts=self._config.seed_hosts,
            recovered=recovered,
            rng=self._rng,
            now=self._now(),
            timing=self._timing,
            may_create_cluster=self._config.may_create_cluster,
        )
        self._on_storage_status(None)

    def _give_up(self, error: errors.StorageFailedError) -> None:
        self._replica = None
        self._retry_at = self._now() + STORAGE_RETRY_SECONDS
        self._fail_proposals("storage failed; send it again to another host")
        self._on_storage_status(error)

    def _execute(self, batch: list[Any]) -> None:
        try:
            self._driver.execute(batch)
        except errors.StorageFailedError as error:
            # What the replica holds in memory is ahead of the disk: no promise may rest on it.
            self._give_up(error)

    def _apply(self, entry: messages.LogEntry) -> None:
        result = self._state_machine.apply_entry(entry)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.done(result)
        else:
            proposal.failed(errors.NotLeaderError("leadership was lost; send it again"))

    def _handle_leader_changed(self, change: effects.LeaderChanged) -> None:
        if not change.is_leader:
            self._fail_proposals("leadership was lost; send it again")
        self._on_leader_changed(change)

    def _fail_proposals(self, text: str) -> None:
        pending = list(self._proposals.values())
        self._proposals.clear()
        for proposal in pending:
            proposal.failed(
                errors.NotLeaderError(text, outcome=errors.Outcome.OUTCOME_UNKNOWN, retry_after=0.2)
            )
