"""State that the dispatcher keeps for each request in flight at an entry."""

from __future__ import annotations

import enum

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import requests
from flamingoramp.protocol import shard_messages


class Phase(enum.Enum):
    """Phase of a request in flight.

    ``CLAIMING``: waits for the claim of its idempotency key. ``PAUSING``: waits out the backoff
    before its next attempt. ``WAITING``: has asked a shard for a reservation. ``RUNNING``: has an
    attempt on a backend server.
    """

    CLAIMING = "claiming"
    PAUSING = "pausing"
    WAITING = "waiting"
    RUNNING = "running"


@attrs.define
class Request:
    """State of a request in flight; times in seconds on the clock of this process.

    Parameters
    ----------
    spec : requests.RequestSpec
    arrived_at, deadline : float
    phase : Phase
    shard : str
        Shard that is asked for a reservation or has granted one.
    attempt : int
        Number of the current attempt, from 1; a move to another shard also increases it.
    tried_shards : tuple of str
        Shards that the request has moved away from.
    best_refusal : errors.FlamingorampError, optional
        Refusal with the earliest retry among those of the shards asked.
    last_sent_at : float
        When the claim or the reserve request was last sent.
    retry_at : float
        When the backoff ends and the next attempt is requested.
    grant : shard_messages.Grant, optional
        Reservation of the running attempt.
    may_have_run : bool
        Whether an earlier attempt may have executed the request, at least in part.
    dispatched_at : float
        When the current attempt started.
    members_started : int
        Servers of the grant that were sent their part of the current attempt.
    resume_count : int
        Stream resumptions since the last new text.
    has_output : bool
        Whether the current attempt has delivered text.
    connection_broke : bool
        Whether the current attempt last failed with a broken connection.
    failed_server : str
        Server at which the last transfer ended.
    head_sent : bool
        Whether the caller has the head of a streamed response.
    holds_claim : bool
        Whether a claim was granted and has no outcome yet.
    excluded_servers : tuple of str
        Servers of the last failed attempts, not to be chosen again.
    chunks : list of str
        Text delivered so far.
    text_length : int
        Characters delivered so far.
    """

    spec: requests.RequestSpec
    arrived_at: float
    deadline: float
    phase: Phase
    shard: str
    attempt: int = 1
    tried_shards: tuple[str, ...] = ()
    best_refusal: errors.FlamingorampError | None = None
    last_sent_at: float = 0.0
    retry_at: float = 0.0
    grant: shard_messages.Grant | None = None
    may_have_run: bool = False
    dispatched_at: float = 0.0
    members_started: int = 0
    resume_count: int = 0
    has_output: bool = False
    connection_broke: bool = False
    failed_server: str = ""
    head_sent: bool = False
    holds_claim: bool = False
    excluded_servers: tuple[str, ...] = ()
    chunks: list[str] = attrs.field(factory=list)
    text_length: int = 0

    @property
    def attempt_count(self) -> int:
        """Number of attempts, not counting moves to another shard."""
        return self.attempt - len(self.tried_shards)

    @property
    def text(self) -> str:
        """Text delivered so far, over all attempts."""
        return "".join(self.chunks)

    def describe_reservation(self) -> shard_messages.HeldReservation:
        """Return the reservation of the running attempt, as in a full hold report."""
        return shard_messages.HeldReservation(
            self.spec.request_id,
            self.attempt,
            self.grant.servers,
            self.grant.tokens,
            self.spec.fingerprint,
            bool(self.chunks),
        )

    def move_to_shard(self, shard: str) -> None:
        """Ask another shard from now on.

        The attempt number increases, so that a late grant of the previous shard is recognized as
        stale and released.
        """
        self.tried_shards = (*self.tried_shards, self.shard)
        self.shard = shard
        self.attempt += 1
