"""Node: a replica with its storage, its state machine and the proposals in flight."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import errors, value_classes
from flamingoramp.consensus import driver, effects, replica, storage
from flamingoramp.protocol import messages

STORAGE_RETRY_INTERVAL_SECONDS = 0.5
SNAPSHOT_THRESHOLD_ENTRIES = 2000
# A larger log file is replaced by a snapshot. The limit is a tenth of the smallest disk in use.
SNAPSHOT_THRESHOLD_BYTES = 12 * 1024 * 1024

CONSENSUS_MESSAGES = (
    messages.FoundingProbe,
    messages.FoundingReply,
    messages.Form,
    messages.JoinRequest,
    messages.LeaveRequest,
    messages.LeaveReply,
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.InstallSnapshot,
    messages.LeadershipTransfer,
)


class StateMachine(Protocol):
    """State machine that the committed entries of the log are applied to."""

    def apply_entry(self, entry: messages.LogEntry) -> Any:
        """Apply a committed entry and return its result."""

    def load(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty data means the initial state."""

    def dump(self) -> bytes:
        """Return the serialized state for a snapshot."""


@attrs.frozen(eq=False, repr=False)
class _Proposal(value_classes.Value):
    term: int
    on_applied: Callable[[Any], None]
    on_failed: Callable[[errors.FlamingorampError], None]


@attrs.frozen(eq=False, repr=False)
class NodeConfig(value_classes.Value):
    """Settings of a node in its cluster.

    Parameters
    ----------
    host : str
        Name of this host, by which other nodes address messages to it.
    seed_hosts : tuple of str
        Hosts that create the cluster, and that an empty node contacts to join one.
    may_create_cluster : bool
        Whether the node may create the cluster at this start.
    """

    host: str
    seed_hosts: tuple[str, ...]
    may_create_cluster: bool


class Node:
    """A replica with storage that keeps running when its disk fails.

    While the disk refuses writes, the node has no replica, sends nothing and ignores messages. Once
    the disk accepts writes again, the node starts a new replica from the stored state.

    Parameters
    ----------
    config : NodeConfig
    store : storage.Storage or storage.MemoryStorage
    state_machine : StateMachine
    send : callable
        Called with the name of a host and a message for its node.
    on_leader_changed : callable
        Called with an `effects.LeaderChanged`.
    on_membership_changed : callable
        Called with an `effects.MembershipChanged`.
    on_cluster_changed : callable
        Called with an `effects.ClusterChanged`.
    on_storage_status : callable
        Called with the error when storage fails, and with None when the replica starts.
    new_incarnation : callable
        Returns an incarnation that no earlier start of the host used.
    rng : random.Random
    now : callable
        Returns the monotonic time in seconds.
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
        on_membership_changed: Callable[[effects.MembershipChanged], None],
        on_cluster_changed: Callable[[effects.ClusterChanged], None],
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
        self._further_hosts: tuple[str, ...] = ()
        self._proposals: dict[int, _Proposal] = {}
        self._retry_at = 0.0
        self._replica: replica.Replica | None = None
        self._driver = driver.Driver(
            store=store,
            send=send,
            load=lambda snapshot: state_machine.load(snapshot.data),
            apply=self._apply,
            on_leader_changed=self._handle_leader_changed,
            on_membership_changed=on_membership_changed,
            on_cluster_changed=on_cluster_changed,
        )
        self._start_replica()

    @property
    def replica(self) -> replica.Replica | None:
        """The replica, None while storage fails."""
        return self._replica

    @property
    def identity(self) -> str:
        """Identity of the replica, empty while storage fails."""
        return self._replica.identity if self._replica else ""

    @property
    def is_leader(self) -> bool:
        """Whether this node is leader of its term; a newer leader may exist."""
        return self._replica is not None and self._replica.is_leader

    @property
    def leader_host(self) -> str:
        """Host of the leader last in contact, empty if none."""
        return replica.host_of(self._replica.leader) if self._replica else ""

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts of all voters and learners, empty while storage fails."""
        if self._replica is None:
            return ()
        membership = self._replica.membership
        return tuple(
            replica.host_of(identity) for identity in membership.voters + membership.learners
        )

    @property
    def leave_status(self) -> replica.LeaveStatus:
        """What is known of the request to leave; a node without a replica stays a member."""
        return self._replica.leave_status if self._replica else replica.LeaveStatus.KEPT

    @property
    def has_leader_contact(self) -> bool:
        """Whether the state of this node was current a moment ago.

        It was in contact with a leader then, or as leader with a quorum; see
        `replica.Replica.has_leader_contact`.
        """
        return self._replica is not None and self._replica.has_leader_contact(self._now())

    def handle(self, sender: str, message: Any) -> None:
        """Process a message from the replica with identity ``sender``."""
        if self._replica is not None:
            self._execute(self._replica.handle(sender, message, self._now()))

    def tick(self) -> None:
        """Run the timers: elections, heartbeats, snapshots and the retry of failed storage."""
        now = self._now()
        if self._replica is None:
            if now >= self._retry_at:
                self._start_replica()
            return
        self._execute(self._replica.tick(now))
        if self._replica is not None and self._needs_snapshot():
            self._execute(self._replica.compact(self._state_machine.dump()))

    def propose(
        self,
        kind: str,
        payload: bytes,
        on_applied: Callable[[Any], None],
        on_failed: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Propose an entry for the log.

        Parameters
        ----------
        kind : str
            Kind of the entry, which tells the state machine how to decode it.
        payload : bytes
        on_applied : callable
            Called with the result of the state machine once the entry is committed and applied.
        on_failed : callable
            Called with the error if this node isn't the leader, or if its leadership or its
            storage ends first; the entry may be committed nevertheless.
        """
        if self._replica is None or not self._replica.is_leader:
            on_failed(errors.NotLeaderError("this replica doesn't lead", retry_after=0.2))
            return
        index, batch = self._replica.propose(kind, payload, self._now())
        self._proposals[index] = _Proposal(self._replica.term, on_applied, on_failed)
        self._execute(batch)

    def request_read(self) -> float:
        """Request a quorum's confirmation for a read; return the monotonic time of the request."""
        now = self._now()
        if self._replica is not None and self._replica.is_leader:
            self._execute(self._replica.request_read(now))
        return now

    def confirms_read(self, requested_at: float) -> bool:
        """Return whether a quorum confirmed this node as leader at ``requested_at`` or later."""
        return self._replica is not None and self._replica.confirms_read(requested_at)

    def begin_leave(self) -> None:
        """Hand over leadership, if any, and ask to be removed from the cluster."""
        if self._replica is not None:
            self._execute(self._replica.begin_leave(self._now()))

    def add_known_hosts(self, hosts: tuple[str, ...]) -> None:
        """Also ask these hosts when the node looks for its cluster, or is to join it again."""
        self._further_hosts = tuple(dict.fromkeys((*self._further_hosts, *hosts)))
        if self._replica is not None:
            self._replica.add_known_hosts(hosts)

    def close(self) -> None:
        """Close the storage."""
        self._store.close()

    def _needs_snapshot(self) -> bool:
        entries = len(self._replica.log.entries)
        return (
            entries > SNAPSHOT_THRESHOLD_ENTRIES or self._store.log_bytes > SNAPSHOT_THRESHOLD_BYTES
        )

    def _start_replica(self) -> None:
        try:
            identity = self._store.load_identity(self._config.host, self._new_incarnation())
            recovered = self._store.recover()
            self._store.check_writable()
        except errors.StorageFailedError as error:
            self._handle_storage_failure(error)
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
        self._replica.add_known_hosts(self._further_hosts)
        self._on_storage_status(None)

    def _handle_storage_failure(self, error: errors.StorageFailedError) -> None:
        failed, self._replica = self._replica, None
        self._retry_at = self._now() + STORAGE_RETRY_INTERVAL_SECONDS
        if failed is not None:
            self._driver.execute(failed.resign(self._now()))  # has no writes
        self._fail_proposals("storage failed; send it again to another host")
        self._on_storage_status(error)

    def _execute(self, batch: list[Any]) -> None:
        try:
            self._driver.execute(batch)
        except errors.StorageFailedError as error:
            # The replica in memory is ahead of the disk: nothing may be acknowledged from it.
            self._handle_storage_failure(error)

    def _apply(self, entry: messages.LogEntry) -> None:
        result = self._state_machine.apply_entry(entry)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.on_applied(result)
        else:
            proposal.on_failed(errors.NotLeaderError("leadership was lost; send it again"))

    def _handle_leader_changed(self, change: effects.LeaderChanged) -> None:
        if not change.is_leader:
            self._fail_proposals("leadership was lost; send it again")
        self._on_leader_changed(change)

    def _fail_proposals(self, reason: str) -> None:
        pending = list(self._proposals.values())
        self._proposals.clear()
        for proposal in pending:
            proposal.on_failed(
                errors.NotLeaderError(
                    reason, outcome=errors.Outcome.OUTCOME_UNKNOWN, retry_after=0.2
                )
            )
