"""Effects that a replica asks its driver to carry out.

The driver syncs every `Persist`, `SaveSnapshot` and `AdoptSnapshot` of a batch before it carries
out any other effect of that batch.
"""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.protocol import messages


@attrs.frozen
class Membership:
    """Replicas of a cluster by identity, ``host#incarnation``."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that a decision takes."""
        return len(self.voters) // 2 + 1


@attrs.frozen
class HardState:
    """What a replica must remember across restarts besides the log."""

    term: int = 0
    vote: str = ""
    cluster: str = ""


@attrs.frozen
class Snapshot:
    """State machine contents up to and including ``last_index``."""

    last_index: int = 0
    last_term: int = 0
    membership: Membership = attrs.field(factory=Membership)
    data: bytes = b""


@attrs.frozen
class Send:
    """Send a message to a control host."""

    host: str
    message: Any


@attrs.frozen
class Persist:
    """Write the hard state, drop entries from ``truncate_from`` (0: none), append entries."""

    hard_state: HardState
    truncate_from: int = 0
    entries: tuple[messages.LogEntry, ...] = ()


@attrs.frozen
class SaveSnapshot:
    """Store a snapshot made here, with the entries that follow it."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[messages.LogEntry, ...] = ()


@attrs.frozen
class RestoreSnapshot:
    """Store a snapshot that came from the leader and load the state machine from it."""

    hard_state: HardState
    snapshot: Snapshot


@attrs.frozen
class Apply:
    """Apply a committed entry to the state machine."""

    entry: messages.LogEntry


@attrs.frozen
class LeaderChanged:
    """The replica began or ceased to lead, or heard of another leader."""

    leader: str
    is_leader: bool
    term: int
