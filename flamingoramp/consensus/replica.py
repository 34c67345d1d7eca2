"""A replica of the log as a state machine without I/O, clock or randomness of its own."""

from __future__ import annotations

import json
import random
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.consensus import bootstrap, effects, entry_log
from flamingoramp.protocol import messages

KIND_NOOP = "noop"
KIND_MEMBERSHIP = "membership"
MAX_ENTRIES_PER_APPEND = 256


@attrs.frozen
class Timing:
    """Time constants of a replica, in seconds; ``clock_rate_bound`` is a ratio."""

    heartbeat_seconds: float = 0.1
    election_min_seconds: float = 0.6
    election_max_seconds: float = 1.2
    clock_rate_bound: float = 0.05
    # A voter that is silent for this long gives its place to a host that waits for one.
    voter_removal_timeout_seconds: float = 8.0
    # Whether anything rests on `holds_lease`. A restarted voter then waits before it votes, for it
    # may have promised a leader its patience just before it stopped.
    uses_leases: bool = True
    # Without leases a restarted replica asks for votes this often until it hears a leader.
    restart_election_min_seconds: float = 0.08
    restart_election_max_seconds: float = 0.3
    # A replica that hears no leader for this long may have lost its membership; it asks for it.
    rejoin_timeout_seconds: float = 3.0

    @property
    def lease_seconds(self) -> float:
        """Time for which a leader that reached a quorum knows that no other leads."""
        return self.election_min_seconds * (1 - self.clock_rate_bound)


@attrs.define
class _Peer:
    next_index: int
    match_index: int = 0
    acknowledged_at: float = float("-inf")


def host_of(replica: str) -> str:
    """Return the host of a replica's identity."""
    return replica.partition("#")[0]


class Replica:
    """One replica of the log.

    Parameters
    ----------
    identity : str
        ``host#incarnation``; a replica that lost its disk gets a new one.
    seed_hosts : tuple of str
        The control hosts that found the cluster, which are asked first.
    may_form : bool
        Whether this replica may found a cluster at all.
    recovered : entry_log.Recovered
        What storage held at the start.
    rng : random.Random
        Source of election timeouts and of the cluster's name.
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
        self._hard = recovered.hard_state
        self._log = entry_log.EntryLog(recovered.snapshot, recovered.entries)
        self._memberships = self._read_memberships()
        self._bootstrap = bootstrap.Bootstrap(
            identity=identity, seed_hosts=seed_hosts, rng=rng, may_create_cluster=may_create_cluster
        )
        self._commit_index = recovered.snapshot.last_index
        self._applied_index = self._commit_index
        self._leader = ""
        self._is_leader = False
        self._peers: dict[str, _Peer] = {}
        self._votes: set[str] = set()
        self._pre_vote = False
        self._heartbeat_due = 0.0
        self._term_start_index = 0
        self._elected_at = now
        self._leader_contact = now if self._timing.uses_leases else float("-inf")
        self._started_at = now
        self._effects: list[Any] = []
        self._reset_election(now)

    @property
    def identity(self) -> str:
        """Identity of this replica."""
        return self._identity

    @property
    def term(self) -> int:
        """Current term."""
        return self._hard.term

    @property
    def cluster(self) -> str:
        """Name of the cluster, empty before it is known."""
        return self._hard.cluster

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads."""
        return self._is_leader

    @property
    def leader(self) -> str:
        """Identity of the leader last heard of, empty if none."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self._commit_index

    @property
    def membership(self) -> effects.Membership:
        """Membership in use, which may not be committed yet."""
        return self._memberships[-1][1]

    @property
    def log(self) -> entry_log.EntryLog:
        """Entries after the last snapshot."""
        return self._log

    def holds_lease(self, now: float) -> bool:
        """Tell whether no other replica can lead at this moment.

        Only then may the leader answer from its state machine. The lease runs from the sending of
        the newest round that a quorum acknowledged.
        """
        if not self._is_leader or self._commit_index < self._term_start_index:
            return False
        return now < self._quorum_contact(now) + self._timing.lease_seconds

    def request_read(self, now: float) -> list[Any]:
        """Ask a quorum to confirm that this replica still leads, for a read asked for at ``now``.

        Unlike `holds_lease`, this needs no clock to run while the process is suspended.
        """
        self._replicate_all(now)
        return self._take_effects()

    def confirms_read(self, asked_at: float) -> bool:
        """Tell whether a quorum confirmed the leadership after ``asked_at``."""
        if not self._is_leader or self._commit_index < self._term_start_index:
            return False
        return self._quorum_contact(asked_at) >= asked_at

    def has_leader_contact(self, now: float) -> bool:
        """Tell whether this replica leads with a quorum, or follows one that does."""
        if self._is_leader:
            return self.holds_lease(now)
        return bool(self.cluster) and now < self._leader_contact + self._timing.election_max_seconds

    def propose(self, kind: str, payload: bytes, now: float) -> tuple[int, list[Any]]:
        """Append a command; it counts once it is applied at the returned index and term.

        Raises
        ------
        flamingoramp.errors.NotLeaderError
            If this replica doesn't lead.
        """
        if not self._is_leader:
            raise errors.NotLeaderError(f"ask {host_of(self._leader) or 'another control host'}")
        index = self._append_own(kind, payload)
        self._replicate_all(now)
        self._advance_commit(now)
        return index, self._take_effects()

    def compact(self, data: bytes) -> list[Any]:
        """Replace applied entries by a snapshot of the state machine."""
        index = self._applied_index
        membership = self._membership_at(index)
        snapshot = effects.Snapshot(index, self._log.term_at(index), membership, data)
        self._log.compact(snapshot)
        kept = [item for item in self._memberships if item[0] > index]
        self._memberships = [(index, membership), *kept]
        self._emit(effects.SaveSnapshot(self._hard, snapshot, self._log.entries))
        return self._take_effects()

    def tick(self, now: float) -> list[Any]:
        """Act on timeouts that have passed."""
        if not self.cluster:
            self._effects += self._bootstrap.tick(now)
            self._found(self._bootstrap.try_create_cluster(), now)
        elif self._is_leader:
            self._tick_leader(now)
        elif self._identity not in self.membership.voters:
            self._effects += self._bootstrap.request_join(now)
        else:
            if now >= self._election_deadline:
                self._start_election(now, pre=True)
            heard_at = max(self._leader_contact, self._started_at)
            if now >= heard_at + self._timing.rejoin_timeout_seconds:
                self._bootstrap.add_known_hosts(self.membership.voters)
                self._effects += self._bootstrap.request_join(now)
        return self._take_effects()

    def handle(self, sender: str, message: Any, now: float) -> list[Any]:
        """Process a message of another replica.

        Parameters
        ----------
        sender : str
            Identity of the sending replica.
        """
        match message:
            case messages.FoundingProbe():
                known = self.membership.voters + self.membership.learners
                reply = messages.FoundingReply(
                    self._identity, self.cluster, message.replica, known if self.cluster else ()
                )
                self._send(sender, reply)
            case messages.FoundingReply():
                self._handle_founding_reply(message, now)
            case messages.Form():
                self._handle_form(message, now)
            case messages.JoinRequest():
                self._handle_join(message, now)
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
        self._check_invariants()
        return self._take_effects()

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)

    def _take_effects(self) -> list[Any]:
        taken = self._effects
        self._effects = []
        return taken

    def _send(self, replica: str, message: Any) -> None:
        self._emit(effects.Send(host_of(replica), message))

    def _check_invariants(self) -> None:
        if self._applied_index > self._commit_index:
            raise errors.InvariantViolationError("applied beyond the commit index")
        if self._commit_index > self._log.last_index:
            raise errors.InvariantViolationError("committed beyond the end of the log")
        if self._is_leader and self._identity not in self.membership.voters:
            raise errors.InvariantViolationError("a replica without a vote leads")

    def _persist(self, **changes: Any) -> None:
        truncate_from = changes.pop("truncate_from", 0)
        entries = changes.pop("entries", ())
        self._hard = attrs.evolve(self._hard, **changes)
        self._emit(effects.Persist(self._hard, truncate_from, entries))

    # Founding and replica changes.

    def _handle_founding_reply(self, reply: messages.FoundingReply, now: float) -> None:
        if self.cluster:
            return
        self._found(self._bootstrap.handle_reply(reply), now)

    def _found(self, formed: messages.Form | None, now: float) -> None:
        """Found the cluster, if it is complete, and tell the others."""
        if formed is None:
            return
        self._handle_form(formed, now)
        for replica in formed.replicas:
            if replica != self._identity:
                self._send(replica, formed)

    def _handle_form(self, form: messages.Form, now: float) -> None:
        if self.cluster or self._identity not in form.replicas:
            return
        self._hard = effects.HardState(term=0, vote="", cluster=form.cluster)
        membership = effects.Membership(voters=form.replicas)
        self._restore_snapshot(effects.Snapshot(0, 0, membership, b""))
        self._reset_election(now)

    def _restore_snapshot(self, snapshot: effects.Snapshot) -> None:
        self._log = entry_log.EntryLog(snapshot, ())
        self._memberships = [(snapshot.last_index, snapshot.membership)]
        self._commit_index = snapshot.last_index
        self._applied_index = snapshot.last_index
        self._emit(effects.RestoreSnapshot(self._hard, snapshot))

    def _handle_join(self, request: messages.JoinRequest, now: float) -> None:
        membership = self.membership
        known = membership.voters + membership.learners
        if not self._is_leader or request.replica in known or not self._may_change_membership():
            return
        host = host_of(request.replica)
        voters = tuple(one for one in membership.voters if host_of(one) != host)
        learners = tuple(one for one in membership.learners if host_of(one) != host)
        if self._identity not in voters:
            return
        self._change_membership(effects.Membership(voters, (*learners, request.replica)), now)

    def _may_change_membership(self) -> bool:
        settled = self._memberships[-1][0] <= self._commit_index
        return settled and self._commit_index >= self._term_start_index

    def _change_membership(self, membership: effects.Membership, now: float) -> None:
        payload = json.dumps(attrs.asdict(membership)).encode()
        self._append_own(KIND_MEMBERSHIP, payload)
        for replica in membership.voters + membership.learners:
            if replica != self._identity and replica not in self._peers:
                self._peers[replica] = _Peer(next_index=self._log.last_index, acknowledged_at=now)
        self._peers = {
            replica: peer
            for replica, peer in self._peers.items()
            if replica in membership.voters + membership.learners
        }
        self._replicate_all(now)
        self._advance_commit(now)

    def _promote_learners(self, now: float) -> None:
        if not self._may_change_membership():
            return
        membership = self.membership
        for learner in membership.learners:
            if self._peers[learner].match_index >= self._commit_index:
                voters = (*membership.voters, learner)
                rest = tuple(one for one in membership.learners if one != learner)
                self._change_membership(effects.Membership(voters, rest), now)
                return

    def _retire_silent_voter(self, now: float) -> None:
        """Remove a voter that is gone, once another host can take its place.

        An even number of voters tolerates no more losses than one voter less.
        """
        membership = self.membership
        replaceable = membership.learners or len(membership.voters) % 2 == 0
        if not replaceable or len(membership.voters) <= 3 or not self._may_change_membership():
            return
        for voter in membership.voters:
            if voter == self._identity:
                continue
            heard_at = max(self._peers[voter].acknowledged_at, self._elected_at)
            if now - heard_at > self._timing.voter_removal_timeout_seconds:
                voters = tuple(one for one in membership.voters if one != voter)
                self._change_membership(effects.Membership(voters, membership.learners), now)
                return

    def _read_memberships(self) -> list[tuple[int, effects.Membership]]:
        snapshot = self._log.snapshot
        found = [(snapshot.last_index, snapshot.membership)]
        for entry in self._log.entries:
            if entry.kind == KIND_MEMBERSHIP:
                found.append((entry.index, _parse_membership(entry.payload)))
        return found

    def _membership_at(self, index: int) -> effects.Membership:
        return [item for item in self._memberships if item[0] <= index][-1][1]

    # Elections.

    def _reset_election(self, now: float) -> None:
        timing = self._timing
        shortest, longest = timing.election_min_seconds, timing.election_max_seconds
        if not timing.uses_leases and self._leader_contact == float("-inf"):
            # Since the start no leader was heard of. Asking early and often disturbs nobody: those
            # who hear a leader refuse, and those who are not up yet are asked again.
            shortest, longest = (
                timing.restart_election_min_seconds,
                timing.restart_election_max_seconds,
            )
        self._election_deadline = now + self._rng.uniform(shortest, longest)

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_election(now)
        self._pre_vote = pre
        self._votes = {self._identity}
        if not pre:
            self._leader = ""
            self._persist(term=self._hard.term + 1, vote=self._identity)
        request = messages.VoteRequest(
            term=self._hard.term + (1 if pre else 0),
            candidate=self._identity,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            pre=pre,
            cluster=self.cluster,
        )
        for voter in self.membership.voters:
            if voter != self._identity:
                self._send(voter, request)
        self._count_votes(now)

    def _handle_vote_request(self, sender: str, request: messages.VoteRequest, now: float) -> None:
        if request.cluster != self.cluster or not self.cluster:
            return
        leader_is_active = self._is_leader or (
            now < self._leader_contact + self._timing.election_min_seconds
        )
        if leader_is_active:
            self._send(sender, messages.VoteReply(self._hard.term, False, request.pre))
            return
        if request.term > self._hard.term and not request.pre:
            self._step_down(request.term, now)
        up_to_date = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.pre:
            granted = request.term > self._hard.term and up_to_date
            reply_term = request.term if granted else self._hard.term
            self._send(sender, messages.VoteReply(reply_term, granted, True))
            return
        free = self._hard.vote in ("", request.candidate)
        granted = request.term == self._hard.term and free and up_to_date
        if granted and not self._hard.vote:
            self._persist(vote=request.candidate)
            self._reset_election(now)
        self._send(sender, messages.VoteReply(self._hard.term, granted, False))

    def _handle_vote_reply(self, sender: str, reply: messages.VoteReply, now: float) -> None:
        if not reply.granted:
            if reply.term > self._hard.term:
                self._step_down(reply.term, now)
            return
        expected = self._hard.term + (1 if self._pre_vote else 0)
        stale = reply.pre != self._pre_vote or reply.term != expected
        if stale or self._is_leader or not self._votes:
            return
        self._votes.add(sender)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        membership = self.membership
        if len(self._votes & set(membership.voters)) < membership.quorum:
            return
        if self._pre_vote:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._is_leader = True
        self._leader = self._identity
        self._votes = set()
        others = self.membership.voters + self.membership.learners
        following = self._log.last_index + 1
        # Silence is counted from the election, so that a new leader has time to hear a quorum.
        self._peers = {
            replica: _Peer(next_index=following) for replica in others if replica != self._identity
        }
        self._elected_at = now
        self._term_start_index = self._append_own(KIND_NOOP, b"")
        self._emit(effects.LeaderChanged(self._identity, True, self._hard.term))
        self._replicate_all(now)
        self._advance_commit(now)

    def _step_down(self, term: int, now: float, leader: str = "") -> None:
        led = self._is_leader
        changed = leader != self._leader
        self._is_leader = False
        self._votes = set()
        self._peers = {}
        self._leader = leader
        if term > self._hard.term:
            self._persist(term=term, vote="")
        if led or (changed and leader):
            self._emit(effects.LeaderChanged(leader, False, self._hard.term))
        if led:
            self._reset_election(now)

    # Replication.

    def _append_own(self, kind: str, payload: bytes) -> int:
        entry = messages.LogEntry(self._log.last_index + 1, self._hard.term, kind, payload)
        self._append((entry,), truncate_from=0)
        return entry.index

    def _append(self, entries: tuple[messages.LogEntry, ...], *, truncate_from: int) -> None:
        if truncate_from:
            if truncate_from <= self._commit_index:
                raise errors.InvariantViolationError("a committed entry would be dropped")
            self._log.truncate(truncate_from)
            self._memberships = [one for one in self._memberships if one[0] < truncate_from]
        self._log.append(entries)
        for entry in entries:
            if entry.kind == KIND_MEMBERSHIP:
                self._memberships.append((entry.index, _parse_membership(entry.payload)))
        self._persist(truncate_from=truncate_from, entries=entries)

    def _tick_leader(self, now: float) -> None:
        silence = now - max(self._quorum_contact(now), self._elected_at)
        if silence > self._timing.election_max_seconds:
            self._step_down(self._hard.term, now)
            return
        if now >= self._heartbeat_due:
            self._replicate_all(now)
            self._retire_silent_voter(now)
            self._promote_learners(now)

    def _quorum_contact(self, now: float) -> float:
        membership = self.membership
        times = [
            now if voter == self._identity else self._peers[voter].acknowledged_at
            for voter in membership.voters
        ]
        return sorted(times, reverse=True)[membership.quorum - 1]

    def _replicate_all(self, now: float) -> None:
        self._heartbeat_due = now + self._timing.heartbeat_seconds
        for replica, peer in self._peers.items():
            self._replicate(replica, peer, now)

    def _replicate(self, replica: str, peer: _Peer, now: float) -> None:
        snapshot = self._log.snapshot
        if peer.next_index <= snapshot.last_index or peer.next_index == 0:
            self._send_snapshot(replica, peer, now)
            return
        previous = peer.next_index - 1
        entries = self._log.slice(peer.next_index, MAX_ENTRIES_PER_APPEND)
        peer.next_index += len(entries)
        request = messages.AppendRequest(
            term=self._hard.term,
            leader=self._identity,
            prev_index=previous,
            prev_term=self._log.term_at(previous),
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
            term=self._hard.term,
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

    def _accepts_leader(self, term: int, leader: str, cluster: str, now: float) -> bool:
        if cluster != self.cluster or term < self._hard.term:
            return False
        if self._is_leader and term == self._hard.term:
            raise errors.InvariantViolationError(f"two leaders in term {term}")
        if term > self._hard.term or self._leader != leader:
            self._step_down(term, now, leader)
        self._leader_contact = now
        self._reset_election(now)
        return True

    def _handle_append(self, sender: str, request: messages.AppendRequest, now: float) -> None:
        if not self.cluster:
            # A founder that missed the forming message: ask for the snapshot that names it.
            self._send(sender, messages.AppendReply(request.term, False, 0, request.sent_at))
            return
        if not self._accepts_leader(request.term, request.leader, request.cluster, now):
            reply = messages.AppendReply(self._hard.term, False, 0, request.sent_at)
            self._send(sender, reply)
            return
        if not self._log.matches(request.prev_index, request.prev_term):
            hint = min(self._log.last_index, self._commit_index)
            reply = messages.AppendReply(self._hard.term, False, hint, request.sent_at)
            self._send(sender, reply)
            return
        conflict, fresh = self._log.split_new(request.entries)
        if fresh:
            self._append(fresh, truncate_from=conflict)
        match = request.prev_index + len(request.entries)
        self._commit_to(min(request.commit, match))
        self._send(sender, messages.AppendReply(self._hard.term, True, match, request.sent_at))

    def _handle_append_reply(self, sender: str, reply: messages.AppendReply, now: float) -> None:
        if reply.term > self._hard.term:
            self._step_down(reply.term, now)
            return
        peer = self._peers.get(sender)
        if not self._is_leader or peer is None or reply.term < self._hard.term:
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
            # The replica never voted, so that it may take the leader's word for everything.
            self._hard = effects.HardState(message.term, "", message.cluster)
            self._restore_snapshot(snapshot)
        if not self._accepts_leader(message.term, message.leader, message.cluster, now):
            reply = messages.AppendReply(self._hard.term, False, 0, message.sent_at)
            self._send(sender, reply)
            return
        if message.last_index > self._commit_index:
            self._restore_snapshot(snapshot)
        match = max(message.last_index, self._commit_index)
        self._send(sender, messages.AppendReply(self._hard.term, True, match, message.sent_at))

    def _advance_commit(self, now: float) -> None:
        membership = self.membership
        matches = [
            self._log.last_index if voter == self._identity else self._peers[voter].match_index
            for voter in membership.voters
        ]
        index = sorted(matches, reverse=True)[membership.quorum - 1]
        if index > self._commit_index and self._log.term_at(index) == self._hard.term:
            self._commit_to(index)

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
