"""Raft replica without I/O: messages and the time come in as arguments, effects go out."""

from __future__ import annotations

import enum
import json
import math
import random
from typing import Any

import attrs

from flamingoramp import errors, value_classes
from flamingoramp.consensus import effects, entry_log, founding
from flamingoramp.protocol import messages

KIND_NOOP = "noop"
KIND_MEMBERSHIP = "membership"
MAX_ENTRIES_PER_APPEND = 256
LEAVE_REQUEST_INTERVAL_SECONDS = 0.1
# No voter is removed from a cluster of this size: with fewer, a single failure ends the quorum.
MIN_VOTER_COUNT = 3


class LeaveStatus(enum.Enum):
    """What is known of this replica's request to leave its cluster."""

    NOT_REQUESTED = "not_requested"
    PENDING = "pending"
    # The removal is committed.
    REMOVED = "removed"
    # The replica stays a voter, since the cluster would tolerate fewer failures without it.
    KEPT = "kept"


@attrs.frozen(eq=False, repr=False)
class Timing(value_classes.Value):
    """Timeouts and intervals of a replica, and the drift of clocks that its leases allow for."""

    heartbeat_seconds: float = 0.1
    election_min_seconds: float = 0.6
    election_max_seconds: float = 1.2
    # Largest difference between the rates of two clocks, as a ratio.
    clock_rate_bound: float = 0.05
    # A voter without acknowledgements for this long may be removed (`_remove_unresponsive`). With
    # an election before, this is less than the time after which another host may fail.
    voter_removal_timeout_seconds: float = 2.0
    # The same for a learner, which may need the time to store a snapshot.
    learner_removal_timeout_seconds: float = 8.0
    # Whether callers rely on `holds_lease`. If so, a restarted voter refuses votes for
    # `election_min_seconds`: it may have renewed a leader's lease just before it stopped.
    uses_leases: bool = True
    # Whether the leader tells the others of each commit at once and not with its next request. It
    # is worth the messages where commits are rare and all replicas publish what they apply.
    announces_commits: bool = False
    # Election timeout after a restart, if leases aren't used, until a leader contacts the replica.
    restart_election_min_seconds: float = 0.08
    restart_election_max_seconds: float = 0.2
    # Time after which a cluster is created without some seed hosts. Only finite where
    # `may_create_cluster` is set at the first start of the whole system alone.
    missing_seeds_wait_seconds: float = math.inf
    # A voter without contact to a leader for this long may have been removed; it asks to rejoin.
    rejoin_timeout_seconds: float = 1.0

    @property
    def lease_seconds(self) -> float:
        """Time without another leader, from the sending of a round that a quorum acknowledged."""
        return self.election_min_seconds * (1 - self.clock_rate_bound)


@attrs.define(eq=False, repr=False)
class _Peer(value_classes.MutableValue):
    next_index: int
    match_index: int = 0
    # When the newest request that the peer acknowledged was sent.
    acknowledged_at: float = float("-inf")
    # When the peer gave a sign of life before it acknowledged anything to this leader.
    seen_at: float = float("-inf")
    # When this leader added the peer, or was elected.
    added_at: float = float("-inf")
    # When this leader first knew that the peer has all committed entries.
    level_since: float | None = None


def host_of(replica: str) -> str:
    """Return the host part of an identity ``host#incarnation``."""
    return replica.partition("#")[0]


class Replica:
    """Raft state of one replica; its public methods return the effects to execute.

    Parameters
    ----------
    identity : str
        ``host#incarnation``, with a new incarnation after the loss of the disk.
    seed_hosts : tuple of str
        Control hosts that create the cluster, and that an empty replica contacts to join one.
    may_create_cluster : bool
        Whether this replica may create a cluster.
    recovered : entry_log.RecoveredState
        State read from storage at the start.
    rng : random.Random
        Source of election timeouts and of the name of a new cluster.
    now : float
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        identity: str,
        seed_hosts: tuple[str, ...],
        recovered: entry_log.RecoveredState,
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
        may_create_cluster: bool = True,
    ):
        self._identity = identity
        self._rng = rng
        self._timing = timing or Timing()
        self._hard_state = recovered.hard_state
        self._log = entry_log.EntryLog(recovered.snapshot, recovered.entries)
        self._memberships = self._read_memberships()
        self._bootstrap = founding.Bootstrap(
            identity=identity,
            seed_hosts=seed_hosts,
            rng=rng,
            may_create_cluster=may_create_cluster,
            now=now,
            missing_seeds_wait_seconds=self._timing.missing_seeds_wait_seconds,
        )
        # Voters of a cluster without any entry that told that they belong to another one.
        self._voters_elsewhere: set[str] = set()
        self._commit_index = recovered.snapshot.last_index
        self._applied_index = self._commit_index
        self._leader = ""
        self._is_leader = False
        self._peers: dict[str, _Peer] = {}
        self._votes: set[str] = set()
        self._pre_vote = False
        self._has_yielded = False
        self._next_heartbeat_at = 0.0
        # Not at the time of heartbeats, which reads send, too.
        self._next_member_check_at = 0.0
        self._term_start_index = 0
        self._elected_at = now
        # Leader last in contact, other than this replica itself.
        self._last_other_leader = ""
        self._leader_seen_at = now if self._timing.uses_leases else float("-inf")
        # Whether the leader last in contact told that it leads no longer.
        self._leader_has_resigned = False
        # When this replica, as a follower, last had all that its leader knew to be committed.
        self._level_at = float("-inf")
        self._started_at = now
        self._leave_status = LeaveStatus.NOT_REQUESTED
        self._next_leave_request_at = now
        self._effects: list[Any] = []
        self._reset_election_timeout(now)

    @property
    def identity(self) -> str:
        """Identity of this replica, ``host#incarnation``."""
        return self._identity

    @property
    def term(self) -> int:
        """Highest term that this replica has seen."""
        return self._hard_state.term

    @property
    def cluster(self) -> str:
        """Name of the cluster, empty before the replica joins or creates one."""
        return self._hard_state.cluster

    @property
    def is_leader(self) -> bool:
        """Whether this replica is leader of its term; a newer leader may exist."""
        return self._is_leader

    @property
    def leader(self) -> str:
        """Identity of the leader last in contact, empty if none."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._commit_index

    @property
    def membership(self) -> effects.Membership:
        """Latest membership in the log, in force before it is committed."""
        return self._memberships[-1][1]

    @property
    def log(self) -> entry_log.EntryLog:
        """Last snapshot and the entries after it."""
        return self._log

    @property
    def leave_status(self) -> LeaveStatus:
        """What is known of the request to leave that `begin_leave` started."""
        return self._leave_status

    def holds_lease(self, now: float) -> bool:
        """Return whether this replica leads and no other replica can lead at ``now``.

        Only with a lease may the leader answer from its state machine. The lease starts when the
        newest round of requests, one to each peer, that a quorum acknowledged was sent.
        """
        if not self._is_leader or self._commit_index < self._term_start_index:
            return False
        return now < self._quorum_acknowledged_at(now) + self._timing.lease_seconds

    def request_read(self, now: float) -> list[Any]:
        """Send a round of requests, by which a quorum confirms leadership for a read at ``now``.

        Unlike `holds_lease`, this is safe with a clock that stops while the process is suspended.
        """
        self._replicate_all(now)
        return self._drain_effects()

    def confirms_read(self, requested_at: float) -> bool:
        """Return whether a quorum acknowledged a round sent at ``requested_at`` or later."""
        if not self._is_leader or self._commit_index < self._term_start_index:
            return False
        return self._quorum_acknowledged_at(requested_at) >= requested_at

    def has_leader_contact(self, now: float) -> bool:
        """Return whether this replica holds a lease or recently was level with a leader's commits.

        A replica that has just started or was cut off hears the leader before it has caught up.
        """
        if self._is_leader:
            return self.holds_lease(now)
        return bool(self.cluster) and now < self._level_at + self._timing.election_max_seconds

    def propose(self, kind: str, payload: bytes, now: float) -> tuple[int, list[Any]]:
        """Append an entry to the log and return its index.

        The entry is committed once an `effects.Apply` has this index and the present term. An
        entry of another term at this index means that the proposal was lost.

        Raises
        ------
        flamingoramp.errors.NotLeaderError
            If this replica isn't the leader.
        """
        if not self._is_leader:
            raise errors.NotLeaderError(f"ask {host_of(self._leader) or 'another control host'}")
        index = self._append_as_leader(kind, payload)
        self._replicate_all(now)
        self._advance_commit(now)
        return index, self._drain_effects()

    def resign(self, now: float) -> list[Any]:
        """End the own leadership and let the voter with the longest log elect itself.

        A replica that does not lead, or is the only voter, has no leadership to hand over.
        The others need not wait until they miss this leader: its term has none from now on.
        """
        self._hand_over_leadership(now)
        return self._drain_effects()

    def _hand_over_leadership(self, now: float) -> None:
        voters = [voter for voter in self.membership.voters if voter != self._identity]
        if not self._is_leader or not voters:
            return
        successor = max(
            voters,
            key=lambda voter: (self._peers[voter].match_index, self._peers[voter].acknowledged_at),
        )
        message = messages.LeadershipTransfer(self._hard_state.term, successor, self.cluster)
        for replica in self._peers:
            self._send(replica, message)
        self._step_down(self._hard_state.term, now)

    def add_known_hosts(self, hosts: tuple[str, ...]) -> None:
        """Also ask these hosts about a cluster, or to be added to it; they don't create one."""
        self._bootstrap.add_known_hosts(hosts)

    def begin_leave(self, now: float) -> list[Any]:
        """Hand over leadership and ask the leader, until it decides, to remove this replica.

        A replica that is about to stop calls it. A voter that may never return would raise the
        quorum for all later changes; one that returns joins again.
        """
        if self._leave_status is not LeaveStatus.NOT_REQUESTED:
            return []
        self._leave_status = LeaveStatus.PENDING if self.cluster else LeaveStatus.KEPT
        self._next_leave_request_at = now
        return self.resign(now)

    def compact(self, data: bytes) -> list[Any]:
        """Replace the applied entries by a snapshot; ``data`` is the serialized state machine."""
        index = self._applied_index
        membership = self._membership_at(index)
        snapshot = effects.Snapshot(index, self._log.term_at(index), membership, data)
        self._log.compact(snapshot)
        later_memberships = [item for item in self._memberships if item[0] > index]
        self._memberships = [(index, membership), *later_memberships]
        self._emit(effects.SaveSnapshot(self._hard_state, snapshot, self._log.entries))
        return self._drain_effects()

    def tick(self, now: float) -> list[Any]:
        """Run the timers that are due: probes, join requests, elections and heartbeats."""
        if self._leave_status is LeaveStatus.REMOVED:
            return []
        if self._leave_status is LeaveStatus.PENDING:
            self._request_leave(now)
        may_join = self._leave_status is LeaveStatus.NOT_REQUESTED
        if not self.cluster:
            self._effects += self._bootstrap.tick(now)
            self._create_cluster(self._bootstrap.try_create_cluster(now), now)
        elif self._is_leader:
            self._tick_leader(now)
        elif self._identity not in self.membership.voters:
            if may_join:
                self._effects += self._bootstrap.request_join(now)
        else:
            if now >= self._election_timeout_at:
                self._start_election(now, pre_vote=True)
            last_seen_at = max(self._leader_seen_at, self._started_at)
            if may_join and now >= last_seen_at + self._timing.rejoin_timeout_seconds:
                self._bootstrap.add_known_hosts(self.membership.voters)
                self._effects += self._bootstrap.request_join(now)
        return self._drain_effects()

    def handle(self, sender: str, message: Any, now: float) -> list[Any]:
        """Process a message from the replica with identity ``sender``."""
        match message:
            case messages.FoundingProbe():
                self._send_founding_reply(sender, message.replica)
                self._repeat_form(sender)
            case messages.FoundingReply():
                self._handle_founding_reply(message, now)
            case messages.Form():
                self._handle_form(message, now)
            case messages.JoinRequest() | messages.LeaveRequest() if not self._is_leader:
                self._forward_to_leader(sender, message)
            case messages.JoinRequest():
                self._handle_join(message, now)
            case messages.LeaveRequest():
                self._handle_leave(message, now)
            case messages.LeaveReply():
                self._handle_leave_reply(message)
            case messages.VoteRequest():
                self._handle_vote_request(sender, message, now)
            case messages.VoteReply():
                self._handle_vote_reply(sender, message, now)
            case messages.AppendRequest():
                self._handle_append(sender, message, now)
            case messages.AppendReply():
                self._handle_append_reply(sender, message, now)
            case messages.InstallSnapshot():
                self._handle_snapshot(sender, message, now)
            case messages.LeadershipTransfer():
                self._handle_transfer(message, now)
        self._check_invariants()
        return self._drain_effects()

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)

    def _drain_effects(self) -> list[Any]:
        drained = self._effects
        self._effects = []
        return drained

    def _send(self, replica: str, message: Any) -> None:
        self._emit(effects.Send(host_of(replica), message))

    def _check_invariants(self) -> None:
        if self._applied_index > self._commit_index:
            raise errors.InvariantViolationError("entry applied beyond the commit index")
        if self._commit_index > self._log.last_index:
            raise errors.InvariantViolationError("commit index beyond the end of the log")
        if self._is_leader and self._identity not in self.membership.voters:
            raise errors.InvariantViolationError("leader is not a voter of its cluster")

    def _persist(self, **changes: Any) -> None:
        truncate_from = changes.pop("truncate_from", 0)
        entries = changes.pop("entries", ())
        self._hard_state = attrs.evolve(self._hard_state, **changes)
        self._emit(effects.Persist(self._hard_state, truncate_from, entries))

    # Cluster creation and membership changes.

    def _send_founding_reply(self, receiver: str, probe: str) -> None:
        members = self.membership.voters + self.membership.learners if self.cluster else ()
        may_create = self._bootstrap.may_create_cluster
        reply = messages.FoundingReply(self._identity, self.cluster, probe, members, may_create)
        self._send(receiver, reply)

    def _handle_founding_reply(self, reply: messages.FoundingReply, now: float) -> None:
        if not self.cluster:
            self._create_cluster(self._bootstrap.handle_reply(reply, now), now)
        elif reply.cluster and reply.cluster != self.cluster:
            self._abandon_cluster_without_quorum(reply)

    def _abandon_cluster_without_quorum(self, reply: messages.FoundingReply) -> None:
        """Leave a cluster that never had an entry and can't elect a leader any more.

        Too many of its voters belong to another one that was created at the same time.
        """
        membership = self.membership
        if self._log.last_index > 0 or reply.replica not in membership.voters:
            return
        self._voters_elsewhere.add(reply.replica)
        if len(membership.voters) - len(self._voters_elsewhere) >= membership.quorum:
            return
        self._emit(effects.ClusterChanged(self.cluster, membership.voters, "abandoned"))
        self._hard_state = effects.HardState()
        self._votes = set()
        self._restore_snapshot(effects.Snapshot())
        self._bootstrap.record_cluster(reply.members)

    def _create_cluster(self, form: messages.Form | None, now: float) -> None:
        if form is None:
            return
        self._enter_cluster(form, "created", now)
        for replica in form.replicas:
            if replica != self._identity:
                self._send(replica, form)

    def _handle_form(self, form: messages.Form, now: float) -> None:
        if not self.cluster and self._identity in form.replicas:
            self._enter_cluster(form, "formed", now)

    def _enter_cluster(self, form: messages.Form, reason: str, now: float) -> None:
        self._emit(effects.ClusterChanged(form.cluster, form.replicas, reason))
        self._hard_state = effects.HardState(term=0, vote="", cluster=form.cluster)
        membership = effects.Membership(voters=form.replicas)
        self._restore_snapshot(effects.Snapshot(0, 0, membership, b""))
        self._reset_election_timeout(now)

    def _repeat_form(self, receiver: str) -> None:
        """Send the first membership to one of its voters that may have missed it.

        A leader would add it anew. Without one, its vote may be needed to elect any.
        """
        index, membership = self._memberships[0]
        if self.cluster and index == 0 and not self._leader and receiver in membership.voters:
            self._send(receiver, messages.Form(self.cluster, membership.voters))

    def _restore_snapshot(self, snapshot: effects.Snapshot) -> None:
        self._log = entry_log.EntryLog(snapshot, ())
        self._memberships = [(snapshot.last_index, snapshot.membership)]
        self._commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self._emit(effects.RestoreSnapshot(self._hard_state, snapshot))

    def _forward_to_leader(
        self, sender: str, request: messages.JoinRequest | messages.LeaveRequest
    ) -> None:
        """Forward a request that came from the replica itself, which may not know the leader."""
        self._repeat_form(sender)
        if self._leader and request.replica == sender:
            self._send(self._leader, request)

    def _handle_join(self, request: messages.JoinRequest, now: float) -> None:
        membership = self.membership
        members = membership.voters + membership.learners
        if request.replica in members or not self._may_change_membership():
            return
        host = host_of(request.replica)
        voters = tuple(voter for voter in membership.voters if host_of(voter) != host)
        learners = tuple(item for item in membership.learners if host_of(item) != host)
        if self._identity not in voters:
            return
        membership = effects.Membership(voters, (*learners, request.replica))
        self._change_membership(membership, request.replica, "joined", now)

    def _request_leave(self, now: float) -> None:
        if now < self._next_leave_request_at:
            return
        self._next_leave_request_at = now + LEAVE_REQUEST_INTERVAL_SECONDS
        if not self._is_leader:
            for voter in self.membership.voters:
                if voter != self._identity:
                    self._send(voter, messages.LeaveRequest(self._identity))
        elif self._may_change_membership():
            # The others elected this replica again.
            if self._may_remove_voter(now):
                self._hand_over_leadership(now)
            else:
                self._leave_status = LeaveStatus.KEPT

    def _handle_leave(self, request: messages.LeaveRequest, now: float) -> None:
        # A request of this replica itself is left over from its last start.
        if request.replica == self._identity or not self._may_change_membership():
            return
        membership = self.membership
        if request.replica in membership.voters and not self._may_remove_voter(now):
            self._send(request.replica, messages.LeaveReply(request.replica, False))
        elif request.replica in membership.voters + membership.learners:
            self._remove_member(request.replica, "left", now)
        else:
            self._send(request.replica, messages.LeaveReply(request.replica, True))

    def _handle_leave_reply(self, reply: messages.LeaveReply) -> None:
        if reply.replica == self._identity and self._leave_status is LeaveStatus.PENDING:
            self._leave_status = LeaveStatus.REMOVED if reply.removed else LeaveStatus.KEPT

    def _may_change_membership(self) -> bool:
        last_is_committed = self._memberships[-1][0] <= self._commit_index
        return last_is_committed and self._commit_index >= self._term_start_index

    def _may_remove_voter(self, now: float) -> bool:
        """Return whether the cluster tolerates as many failures without one of its voters.

        A learner can replace the voter. Without a learner, the odd number of voters below an even
        one tolerates as many failures.
        """
        membership = self.membership
        if len(membership.voters) <= MIN_VOTER_COUNT:
            return False
        is_even = len(membership.voters) % 2 == 0
        return is_even or any(self._is_level(learner, now) for learner in membership.learners)

    def _is_level(self, replica: str, now: float) -> bool:
        """Return whether a peer has all committed entries and answered a moment ago."""
        peer = self._peers[replica]
        is_responsive = now - peer.acknowledged_at <= self._timing.election_min_seconds
        return is_responsive and peer.match_index >= self._commit_index

    def _remove_member(self, replica: str, reason: str, now: float) -> None:
        voters = tuple(item for item in self.membership.voters if item != replica)
        learners = tuple(item for item in self.membership.learners if item != replica)
        self._change_membership(effects.Membership(voters, learners), replica, reason, now)

    def _change_membership(
        self, membership: effects.Membership, replica: str, reason: str, now: float
    ) -> None:
        payload = json.dumps(attrs.asdict(membership)).encode()
        index = self._append_as_leader(KIND_MEMBERSHIP, payload)
        self._emit(effects.MembershipChanged(index, membership, replica, reason))
        for member in membership.voters + membership.learners:
            if member != self._identity and member not in self._peers:
                self._peers[member] = _Peer(
                    next_index=self._log.last_index, acknowledged_at=now, added_at=now
                )
        self._peers = {
            member: peer
            for member, peer in self._peers.items()
            if member in membership.voters + membership.learners
        }
        self._replicate_all(now)
        self._advance_commit(now)

    def _promote_learners(self, now: float) -> None:
        """Make a learner with all committed entries a voter, after the removal of a lost voter.

        While a voter doesn't respond, learners wait until it is removed, so that they take its
        place. Promoted before, they would make the number of voters odd with the lost one in it.
        A voter that was lost just before a learner joined is missing, too.
        """
        if not self._may_change_membership():
            return
        membership = self.membership
        oldest_acknowledgement = min(
            (
                self._peers[voter].acknowledged_at
                for voter in membership.voters
                if voter != self._identity
            ),
            default=now,
        )
        for learner in membership.learners:
            if not self._is_level(learner, now):
                continue
            peer = self._peers[learner]
            if peer.level_since is None:
                peer.level_since = now
            has_missing_voter = oldest_acknowledgement < max(
                peer.added_at, now - self._timing.election_min_seconds
            )
            waits = has_missing_voter and len(membership.voters) > MIN_VOTER_COUNT
            if waits and now <= peer.level_since + self._timing.voter_removal_timeout_seconds:
                continue
            voters = (*membership.voters, learner)
            learners = tuple(item for item in membership.learners if item != learner)
            changed = effects.Membership(voters, learners)
            self._change_membership(changed, learner, "promoted", now)
            return

    def _remove_unresponsive(self, now: float) -> None:
        if not self._may_change_membership():
            return
        timing = self._timing
        for learner in self.membership.learners:
            if self._has_been_silent(learner, timing.learner_removal_timeout_seconds, now):
                self._remove_member(learner, "unresponsive", now)
                return
        if not self._may_remove_voter(now):
            return
        for voter in self.membership.voters:
            if voter != self._identity and self._has_been_silent(
                voter, timing.voter_removal_timeout_seconds, now
            ):
                self._remove_member(voter, "unresponsive", now)
                return

    def _has_been_silent(self, replica: str, seconds: float, now: float) -> bool:
        peer = self._peers[replica]
        had_time = now - self._elected_at > self._timing.election_min_seconds
        return had_time and now - max(peer.acknowledged_at, peer.seen_at) > seconds

    def _read_memberships(self) -> list[tuple[int, effects.Membership]]:
        snapshot = self._log.snapshot
        memberships = [(snapshot.last_index, snapshot.membership)]
        for entry in self._log.entries:
            if entry.kind == KIND_MEMBERSHIP:
                memberships.append((entry.index, _parse_membership(entry.payload)))
        return memberships

    def _membership_at(self, index: int) -> effects.Membership:
        return [item for item in self._memberships if item[0] <= index][-1][1]

    # Elections.

    def _reset_election_timeout(self, now: float) -> None:
        timing = self._timing
        lower, upper = timing.election_min_seconds, timing.election_max_seconds
        if self._may_elect_early:
            # Early, frequent elections are harmless: voters in contact with a leader refuse, and
            # those not yet started get a later request.
            lower, upper = timing.restart_election_min_seconds, timing.restart_election_max_seconds
        self._election_timeout_at = now + self._rng.uniform(lower, upper)

    @property
    def _may_elect_early(self) -> bool:
        """Whether no leader can be missed: it has resigned, or there was none since the start.

        After a start, leases forbid early elections.
        """
        is_restarting = not self._timing.uses_leases and self._leader_seen_at == float("-inf")
        return is_restarting or self._leader_has_resigned

    def _start_election(self, now: float, *, pre_vote: bool) -> None:
        self._reset_election_timeout(now)
        self._has_yielded = False
        self._pre_vote = pre_vote
        self._votes = {self._identity}
        if not pre_vote:
            self._leader = ""
            self._persist(term=self._hard_state.term + 1, vote=self._identity)
        request = messages.VoteRequest(
            term=self._hard_state.term + (1 if pre_vote else 0),
            candidate=self._identity,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            pre=pre_vote,
            cluster=self.cluster,
        )
        for voter in self.membership.voters:
            if voter != self._identity:
                self._send(voter, request)
        self._count_votes(now)

    def _handle_vote_request(self, sender: str, request: messages.VoteRequest, now: float) -> None:
        if request.cluster != self.cluster or not self.cluster:
            if self.cluster:
                self._send_founding_reply(sender, request.candidate)
            return
        leader_is_active = self._is_leader or (
            not self._leader_has_resigned
            and now < self._leader_seen_at + self._timing.election_min_seconds
        )
        if leader_is_active:
            self._send(sender, messages.VoteReply(self._hard_state.term, False, request.pre))
            return
        if request.term > self._hard_state.term and not request.pre:
            self._step_down(request.term, now)
        up_to_date = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.pre:
            granted = request.term > self._hard_state.term and up_to_date
            reply_term = request.term if granted else self._hard_state.term
            self._send(sender, messages.VoteReply(reply_term, granted, True))
            if granted:
                self._yield_to_candidate(sender, now)
            return
        has_vote = self._hard_state.vote in ("", request.candidate)
        granted = request.term == self._hard_state.term and has_vote and up_to_date
        if granted and not self._hard_state.vote:
            self._persist(vote=request.candidate)
            self._reset_election_timeout(now)
        self._send(sender, messages.VoteReply(self._hard_state.term, granted, False))

    def _yield_to_candidate(self, candidate: str, now: float) -> None:
        """Delay an early election of this replica, once, for a candidate that got a pre-vote.

        After a loss of all replicas just a quorum may be up, which elects nobody if two of them
        stand for the same term. Of two candidates, the one with the lower identity gives way.
        """
        if not self._may_elect_early or self._has_yielded:
            return
        if self._votes and (not self._pre_vote or candidate < self._identity):
            return
        self._has_yielded = True
        self._votes = set()
        self._reset_election_timeout(now)

    def _handle_transfer(self, message: messages.LeadershipTransfer, now: float) -> None:
        if message.cluster != self.cluster or message.term != self._hard_state.term:
            return
        self._leader_has_resigned = True
        if self._leader:
            self._leader = ""
            self._emit(effects.LeaderChanged("", False, self._hard_state.term))
        if message.successor == self._identity and self._identity in self.membership.voters:
            self._start_election(now, pre_vote=True)
        else:
            self._reset_election_timeout(now)

    def _handle_vote_reply(self, sender: str, reply: messages.VoteReply, now: float) -> None:
        if not reply.granted:
            if reply.term > self._hard_state.term:
                self._step_down(reply.term, now)
            return
        expected_term = self._hard_state.term + (1 if self._pre_vote else 0)
        stale = reply.pre != self._pre_vote or reply.term != expected_term
        if stale or self._is_leader or not self._votes:
            return
        self._votes.add(sender)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        membership = self.membership
        if len(self._votes & set(membership.voters)) < membership.quorum:
            return
        if self._pre_vote:
            self._start_election(now, pre_vote=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._is_leader = True
        self._leader_has_resigned = False
        self._leader = self._identity
        self._votes = set()
        members = self.membership.voters + self.membership.learners
        new_index = self._log.last_index + 1
        # Timeouts count from the election, which gives a new leader time to reach a quorum. The
        # former leader has been silent for longer.
        self._peers = {
            replica: _Peer(
                next_index=new_index,
                added_at=now,
                seen_at=self._leader_seen_at if replica == self._last_other_leader else now,
            )
            for replica in members
            if replica != self._identity
        }
        self._elected_at = now
        self._term_start_index = self._append_as_leader(KIND_NOOP, b"")
        self._emit(effects.LeaderChanged(self._identity, True, self._hard_state.term))
        self._replicate_all(now)
        self._advance_commit(now)

    def _step_down(self, term: int, now: float, leader: str = "") -> None:
        was_leader = self._is_leader
        other_leader = leader != self._leader
        self._is_leader = False
        self._votes = set()
        self._peers = {}
        self._leader = leader
        if term > self._hard_state.term:
            self._persist(term=term, vote="")
        if was_leader or (other_leader and leader):
            self._emit(effects.LeaderChanged(leader, False, self._hard_state.term))
        if was_leader:
            self._reset_election_timeout(now)

    # Replication.

    def _append_as_leader(self, kind: str, payload: bytes) -> int:
        entry = messages.LogEntry(self._log.last_index + 1, self._hard_state.term, kind, payload)
        self._append((entry,), truncate_from=0)
        return entry.index

    def _append(self, entries: tuple[messages.LogEntry, ...], *, truncate_from: int) -> None:
        if truncate_from:
            if truncate_from <= self._commit_index:
                raise errors.InvariantViolationError("truncation would drop a committed entry")
            self._log.truncate(truncate_from)
            self._memberships = [item for item in self._memberships if item[0] < truncate_from]
        self._log.append(entries)
        for entry in entries:
            if entry.kind == KIND_MEMBERSHIP:
                self._memberships.append((entry.index, _parse_membership(entry.payload)))
        self._persist(truncate_from=truncate_from, entries=entries)

    def _tick_leader(self, now: float) -> None:
        elapsed_seconds = now - max(self._quorum_acknowledged_at(now), self._elected_at)
        if elapsed_seconds > self._timing.election_max_seconds:
            self._step_down(self._hard_state.term, now)
            return
        if now >= self._next_heartbeat_at:
            self._replicate_all(now)
        if now >= self._next_member_check_at:
            self._next_member_check_at = now + self._timing.heartbeat_seconds
            self._remove_unresponsive(now)
            self._promote_learners(now)

    def _quorum_acknowledged_at(self, now: float) -> float:
        membership = self.membership
        acknowledged_at = [
            now if voter == self._identity else self._peers[voter].acknowledged_at
            for voter in membership.voters
        ]
        return sorted(acknowledged_at, reverse=True)[membership.quorum - 1]

    def _replicate_all(self, now: float) -> None:
        self._next_heartbeat_at = now + self._timing.heartbeat_seconds
        for replica, peer in self._peers.items():
            self._replicate(replica, peer, now)

    def _replicate(self, replica: str, peer: _Peer, now: float) -> None:
        snapshot = self._log.snapshot
        if peer.next_index <= snapshot.last_index or peer.next_index == 0:
            self._send_snapshot(replica, peer, now)
            return
        prev_index = peer.next_index - 1
        entries = self._log.slice(peer.next_index, MAX_ENTRIES_PER_APPEND)
        peer.next_index += len(entries)
        request = messages.AppendRequest(
            term=self._hard_state.term,
            leader=self._identity,
            prev_index=prev_index,
            prev_term=self._log.term_at(prev_index),
            entries=entries,
            commit=self._commit_index,
            sent_at=now,
            cluster=self.cluster,
        )
        self._send(replica, request)

    def _send_snapshot(self, replica: str, peer: _Peer, now: float) -> None:
        snapshot = self._log.snapshot
        peer.next_index = snapshot.last_index + 1
        message = messages.InstallSnapshot(
            term=self._hard_state.term,
            leader=self._identity,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            replicas=snapshot.membership.voters,
            learners=snapshot.membership.learners,
            data=snapshot.data,
            sent_at=now,
            cluster=self.cluster,
        )
        self._send(replica, message)

    def _accept_leader(self, term: int, leader: str, cluster: str, now: float) -> bool:
        if cluster != self.cluster or term < self._hard_state.term:
            return False
        if self._is_leader and term == self._hard_state.term:
            raise errors.InvariantViolationError(f"two leaders in term {term}")
        if term > self._hard_state.term or self._leader != leader:
            self._step_down(term, now, leader)
        # Votes asked for before this contact must not elect this replica within the lease.
        self._votes = set()
        self._leader_has_resigned = False
        self._last_other_leader = leader
        self._leader_seen_at = now
        self._reset_election_timeout(now)
        return True

    def _handle_append(self, sender: str, request: messages.AppendRequest, now: float) -> None:
        if not self.cluster:
            # A seed host that missed the `Form` message: request the snapshot, with the cluster.
            self._send(sender, messages.AppendReply(request.term, False, 0, request.sent_at))
            return
        if not self._accept_leader(request.term, request.leader, request.cluster, now):
            reply = messages.AppendReply(self._hard_state.term, False, 0, request.sent_at)
            self._send(sender, reply)
            return
        if not self._log.contains(request.prev_index, request.prev_term):
            index = min(self._log.last_index, self._commit_index)
            reply = messages.AppendReply(self._hard_state.term, False, index, request.sent_at)
            self._send(sender, reply)
            return
        conflict_index, new_entries = self._log.find_new_entries(request.entries)
        if new_entries:
            self._append(new_entries, truncate_from=conflict_index)
        match_index = request.prev_index + len(request.entries)
        self._commit_to(min(request.commit, match_index))
        # A leader doesn't know all commits of earlier terms before its first own one.
        is_of_this_term = self._log.term_at(self._commit_index) == self._hard_state.term
        if is_of_this_term and self._commit_index >= request.commit:
            self._level_at = now
        self._send(
            sender, messages.AppendReply(self._hard_state.term, True, match_index, request.sent_at)
        )

    def _handle_append_reply(self, sender: str, reply: messages.AppendReply, now: float) -> None:
        if reply.term > self._hard_state.term:
            self._step_down(reply.term, now)
            return
        peer = self._peers.get(sender)
        if not self._is_leader or peer is None or reply.term < self._hard_state.term:
            return
        peer.acknowledged_at = max(peer.acknowledged_at, reply.sent_at)
        if not reply.ok:
            peer.next_index = min(peer.next_index, reply.match_index + 1)
            if reply.match_index == 0 and self._log.snapshot.last_index == 0:
                self._send_snapshot(sender, peer, now)
            self._replicate(sender, peer, now)
            return
        peer.match_index = max(peer.match_index, reply.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit(now)
        if peer.next_index <= self._log.last_index:
            self._replicate(sender, peer, now)

    def _handle_snapshot(self, sender: str, message: messages.InstallSnapshot, now: float) -> None:
        membership = effects.Membership(message.replicas, message.learners)
        snapshot = effects.Snapshot(message.last_index, message.last_term, membership, message.data)
        if not self.cluster:
            # A replica without a cluster never voted: it may adopt the leader's term and state.
            self._hard_state = effects.HardState(message.term, "", message.cluster)
            self._restore_snapshot(snapshot)
        if not self._accept_leader(message.term, message.leader, message.cluster, now):
            reply = messages.AppendReply(self._hard_state.term, False, 0, message.sent_at)
            self._send(sender, reply)
            return
        if message.last_index > self._commit_index:
            if self._log.contains(message.last_index, message.last_term):
                # Entries after it may be acknowledged, and the leader counts on them.
                self._commit_to(message.last_index)
            else:
                self._restore_snapshot(snapshot)
        match_index = max(message.last_index, self._commit_index)
        self._send(
            sender, messages.AppendReply(self._hard_state.term, True, match_index, message.sent_at)
        )

    def _advance_commit(self, now: float) -> None:
        membership = self.membership
        match_indexes = [
            self._log.last_index if voter == self._identity else self._peers[voter].match_index
            for voter in membership.voters
        ]
        index = sorted(match_indexes, reverse=True)[membership.quorum - 1]
        if index > self._commit_index and self._log.term_at(index) == self._hard_state.term:
            self._commit_to(index)
            if self._timing.announces_commits:
                self._replicate_all(now)

    def _commit_to(self, index: int) -> None:
        if index <= self._commit_index:
            return
        self._commit_index = index
        while self._applied_index < index:
            self._applied_index += 1
            self._emit(effects.Apply(self._log.entry_at(self._applied_index)))


def _parse_membership(payload: bytes) -> effects.Membership:
    stored = json.loads(payload)
    return effects.Membership(tuple(stored["voters"]), tuple(stored["learners"]))
