"""Effects: the storage writes, messages and callbacks that a replica returns to its driver.

The driver syncs every `Persist`, `SaveSnapshot` and `RestoreSnapshot` of a batch to disk before it
executes any other effect of that batch.
"""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages


@attrs.frozen(eq=False, repr=False)
class Membership(value_classes.Value):
    """Identities (``host#incarnation``) of the replicas of a cluster.

    Voters elect the leader and commit entries; learners only receive the log.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1


@attrs.frozen(eq=False, repr=False)
class HardState(value_classes.Value):
    """State besides the log that must survive restarts: term, vote and name of the cluster."""

    term: int = 0
    vote: str = ""
    cluster: str = ""


@attrs.frozen(eq=False, repr=False)
class Snapshot(value_classes.Value):
    """Serialized state machine after all entries up to and including ``last_index``."""

    last_index: int = 0
    last_term: int = 0
    membership: Membership = attrs.field(factory=Membership)
    data: bytes = b""


@attrs.frozen(eq=False, repr=False)
class Send(value_classes.Value):
    """Send a message to the replica on a host."""

    host: str
    message: Any


@attrs.frozen(eq=False, repr=False)
class Persist(value_classes.Value):
    """Write the hard state, drop all entries from index ``truncate_from`` on, append ``entries``.

    With ``truncate_from`` 0 no entry is dropped.
    """

    hard_state: HardState
    truncate_from: int = 0
    entries: tuple[messages.LogEntry, ...] = ()


@attrs.frozen(eq=False, repr=False)
class SaveSnapshot(value_classes.Value):
    """Store a snapshot of the local state machine, with the entries that follow it."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[messages.LogEntry, ...] = ()


@attrs.frozen(eq=False, repr=False)
class RestoreSnapshot(value_classes.Value):
    """Store a snapshot received from another replica and load the state machine from it.

    The first snapshot of a new cluster, with its membership and no data, is handled alike.
    """

    hard_state: HardState
    snapshot: Snapshot


@attrs.frozen(eq=False, repr=False)
class Apply(value_classes.Value):
    """Apply a committed entry to the state machine."""

    entry: messages.LogEntry


@attrs.frozen(eq=False, repr=False)
class LeaderChanged(value_classes.Value):
    """The replica became leader or lost leadership, or it follows another leader than before.

    ``leader`` is the identity of the new leader, empty if none is known.
    """

    leader: str
    is_leader: bool
    term: int


@attrs.frozen(eq=False, repr=False)
class MembershipChanged(value_classes.Value):
    """The leader added a change of the membership to its log, where it is not committed yet.

    ``index`` is that of its entry, ``replica`` the member that was added, promoted or removed, and
    ``reason`` tells why: ``joined``, ``promoted``, ``left`` or ``unresponsive``.
    """

    index: int
    membership: Membership
    replica: str
    reason: str


@attrs.frozen(eq=False, repr=False)
class ClusterChanged(value_classes.Value):
    """The replica became one of the first voters of a new cluster, or it left such a cluster.

    ``reason`` is ``created`` by this replica, ``formed`` by another one, or ``abandoned``, because
    too many of its ``voters`` belong to another cluster.
    """

    cluster: str
    voters: tuple[str, ...]
    reason: str
