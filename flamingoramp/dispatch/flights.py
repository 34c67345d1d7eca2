"""Requests in progress at an entry."""

from __future__ import annotations

import enum

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import requests
from flamingoramp.protocol import messages


class Phase(enum.Enum):
    """Where a request is."""

    CLAIMING = "claiming"
    PAUSING = "pausing"
    WAITING = "waiting"
    RUNNING = "running"


@attrs.define
class Flight:
    """A request in progress; times on this process's clock, in seconds."""

    spec: requests.RequestSpec
    arrived: float
    deadline: float
    phase: Phase
    shard: str
    attempt: int = 1
    shards_tried: tuple[str, ...] = ()
    refusal: errors.FlamingorampError | None = None
    sent_at: float = 0.0
    resume_at: float = 0.0
    grant: messages.Grant | None = None
    ran: bool = False
    dispatched_at: float = 0.0
    resumes: int = 0
    heard: bool = False
    crash_seen: bool = False
    failed_server: str = ""
    begun: bool = False
    claimed: bool = False
    excluded: tuple[str, ...] = ()
    pieces: list[str] = attrs.field(factory=list)
    length: int = 0

    @property
    def tries(self) -> int:
        """Attempts, but for those that only moved to another shard."""
        return self.attempt - len(self.shards_tried)

    @property
    def text(self) -> str:
        """All text that was delivered."""
        return "".join(self.pieces)

    def move_to(self, shard: str) -> None:
        """Ask another shard from now on.

        The attempt has another number, so that a late grant of the first shard is given back.
        """
        self.shards_tried = (*self.shards_tried, self.shard)
        self.shard = shard
        self.attempt += 1
