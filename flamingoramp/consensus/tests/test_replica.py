"""Tests of the replica's state machine, alone and in small clusters."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings, stateful, strategies

from flamingoramp import errors
from flamingoramp.consensus import effects, replica
from flamingoramp.protocol import messages
from flamingoramp.tests import worlds

HOSTS = ("a", "b", "c", "d", "e")
STEP_SECONDS = 0.02


class Cluster:
    """Replicas whose messages a test may hold back, lose or repeat."""

    def __init__(
        self,
        hosts: tuple[str, ...] = HOSTS,
        seed: int = 1,
        *,
        seed_hosts: tuple[str, ...] = (),
        timing: replica.Timing | None = None,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.hosts = hosts
        self.seed_hosts = seed_hosts or hosts
        self.timing = timing
        self.disks = {host: worlds.VirtualDisk() for host in hosts}
        self.replicas: dict[str, replica.Replica] = {}
        self.applied: dict[str, list[messages.LogEntry]] = {}
        self.frozen: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.queue: list[tuple[str, str, object]] = []
        self.lives = 0
        for host in hosts:
            self.start(host)

    def start(self, host: str, *, first_start: bool = True) -> None:
        """Start a replica on its disk."""
        self.lives += 1
        disk = self.disks.setdefault(host, worlds.VirtualDisk())
        identity = disk.load_identity(host, f"{self.lives}")
        recovered = disk.recover()
        self.applied[host] = []
        self.replicas[host] = replica.Replica(
            identity=identity,
            seed_hosts=self.seed_hosts,
            recovered=recovered,
            rng=random.Random(f"{host}{self.lives}"),
            now=self.now,
            may_create_cluster=first_start and host in self.seed_hosts,
            timing=self.timing,
        )

    def stop(self, host: str) -> None:
        """End a replica."""
        self.replicas.pop(host, None)

    def execute(self, host: str, batch: list) -> None:
        """Store, then send and apply."""
        disk = self.disks[host]
        for effect in batch:
            match effect:
                case effects.Persist():
                    disk.persist([effect])
                case effects.SaveSnapshot(hard, snapshot, entries):
                    disk.save_snapshot(hard, snapshot, entries)
                case effects.RestoreSnapshot(hard, snapshot):
                    disk.save_snapshot(hard, snapshot, ())
                    self.applied[host] = []
        for effect in batch:
            match effect:
                case effects.Send(target, message):
                    self.queue.append((self.replicas[host].identity, target, message))
                case effects.Apply(entry):
                    self.applied[host].append(entry)

    def run(self, seconds: float) -> None:
        """Let time pass and deliver messages."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for host in list(self.replicas):
                if host not in self.frozen:
                    self.execute(host, self.replicas[host].tick(self.now))
            self.deliver()

    def deliver(self) -> None:
        """Deliver all messages but those of cut pairs."""
        held = []
        while self.queue:
            sender, target, message = self.queue.pop(0)
            if target in self.frozen:
                held.append((sender, target, message))
                continue
            if frozenset((replica.host_of(sender), target)) in self.cut:
                continue
            if target in self.replicas:
                batch = self.replicas[target].handle(sender, message, self.now)
                self.execute(target, batch)
        self.queue = held

    def leader(self) -> str:
        """Return the host that leads with a lease."""
        for host, one in self.replicas.items():
            if host not in self.frozen and one.holds_lease(self.now):
                return host
        return ""

    def propose(self, payload: bytes) -> bool:
        """Propose at the leader."""
        host = self.leader()
        if not host:
            return False
        self.execute(host, self.replicas[host].propose("test", payload, self.now)[1])
        return True

    def isolate(self, host: str) -> None:
        """Cut a host off from all others."""
        self.cut |= {frozenset((host, other)) for other in self.hosts if other != host}

    def payloads(self, host: str) -> list[bytes]:
        """Return what a host applied."""
        return [entry.payload for entry in self.applied[host] if entry.kind == "test"]


class TestElections(unittest.TestCase):
    """Who leads, and who knows it."""

    def test_a_cluster_forms_and_replicates(self):
        cluster = Cluster()
        cluster.run(3)
        self.assertTrue(cluster.propose(b"x"))
        cluster.run(1)
        for host in HOSTS:
            self.assertEqual(cluster.payloads(host), [b"x"])

    def test_a_cluster_of_one(self):
        cluster = Cluster(("a",))
        cluster.run(2)
        self.assertTrue(cluster.propose(b"x"))
        self.assertEqual(cluster.payloads("a"), [b"x"])

    def test_no_cluster_forms_while_a_host_is_silent(self):
        cluster = Cluster()
        cluster.stop("e")
        cluster.run(5)
        self.assertEqual({one.cluster for one in cluster.replicas.values()}, {""})

    def test_frozen_leader_holds_no_lease_when_it_wakes(self):
        cluster = Cluster()
        cluster.run(3)
        old = cluster.leader()
        cluster.frozen.add(old)
        cluster.run(5)
        self.assertNotIn(cluster.leader(), ("", old))
        cluster.frozen.clear()
        self.assertTrue(cluster.replicas[old].is_leader, "it still believes that it leads")
        self.assertFalse(cluster.replicas[old].holds_lease(cluster.now))
        cluster.run(1)
        self.assertFalse(cluster.replicas[old].is_leader)

    def test_leases_never_overlap(self):
        for seed in range(20):
            cluster = Cluster(seed=seed)
            cluster.run(3)
            cluster.isolate(cluster.leader())
            for _ in range(200):
                cluster.run(STEP_SECONDS)
                holders = [h for h, r in cluster.replicas.items() if r.holds_lease(cluster.now)]
                self.assertLessEqual(len(holders), 1)

    def test_cut_off_replica_does_not_disturb_the_leader(self):
        cluster = Cluster()
        cluster.run(3)
        leader = cluster.leader()
        term = cluster.replicas[leader].term
        far = next(host for host in HOSTS if host != leader)
        cluster.isolate(far)
        cluster.run(20)
        cluster.cut.clear()
        cluster.run(3)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.replicas[leader].term, term)

    def test_restarted_voter_keeps_its_vote(self):
        cluster = Cluster(("a", "b", "c"))
        cluster.run(3)
        host = next(host for host in cluster.hosts if host != cluster.leader())
        voter = cluster.replicas[host]
        request = messages.VoteRequest(voter.term + 5, "x#1", 99, 99, False, voter.cluster)
        now = cluster.now + 100
        batch = voter.handle("x#1", request, now)
        replies = [one.message for one in batch if isinstance(one, effects.Send)]
        self.assertEqual([one.granted for one in replies], [True])
        cluster.execute(host, batch)
        cluster.start(host)
        rival = messages.VoteRequest(request.term, "y#2", 99, 99, False, voter.cluster)
        batch = cluster.replicas[host].handle("y#2", rival, now + 100)
        replies = [one.message for one in batch if isinstance(one, effects.Send)]
        self.assertEqual([one.granted for one in replies], [False])

    def test_without_leases_a_restarted_cluster_has_a_leader_soon(self):
        timing = replica.Timing(uses_leases=False)
        for seed in range(10):
            cluster = Cluster(seed=seed, timing=timing)
            cluster.run(3)
            cluster.propose(b"x")
            cluster.run(1)
            for host in HOSTS:
                cluster.start(host)
            cluster.run(timing.election_min_seconds)
            self.assertNotEqual(cluster.leader(), "")
            self.assertTrue(cluster.propose(b"y"))

    def test_without_leases_one_restarted_replica_disturbs_nobody(self):
        cluster = Cluster(timing=replica.Timing(uses_leases=False))
        cluster.run(3)
        leader = cluster.leader()
        term = cluster.replicas[leader].term
        for _ in range(5):
            cluster.start(next(host for host in HOSTS if host != leader))
            cluster.run(2)
        self.assertEqual((cluster.leader(), cluster.replicas[leader].term), (leader, term))

    def test_proposal_elsewhere_names_the_leader(self):
        cluster = Cluster()
        cluster.run(3)
        other = next(host for host in HOSTS if host != cluster.leader())
        with self.assertRaisesRegex(errors.NotLeaderError, cluster.leader()):
            cluster.replicas[other].propose("test", b"", cluster.now)


class TestReplacement(unittest.TestCase):
    """Replicas that lost their disk."""

    def test_lost_disk_joins_as_a_new_replica(self):
        cluster = Cluster()
        cluster.run(3)
        cluster.propose(b"before")
        cluster.run(1)
        lost = next(host for host in HOSTS if host != cluster.leader())
        old = cluster.replicas[lost].identity
        cluster.disks[lost] = worlds.VirtualDisk()
        cluster.start(lost)
        cluster.run(5)
        new = cluster.replicas[lost].identity
        voters = cluster.replicas[cluster.leader()].membership.voters
        self.assertNotIn(old, voters)
        self.assertIn(new, voters)
        self.assertEqual(cluster.payloads(lost), [b"before"])

    def test_replica_without_memory_does_not_vote_before_it_joined(self):
        cluster = Cluster()
        cluster.run(3)
        cluster.disks["e"] = worlds.VirtualDisk()
        cluster.start("e")
        known = cluster.replicas["a"]
        request = messages.VoteRequest(99, known.identity, 99, 99, False, known.cluster)
        batch = cluster.replicas["e"].handle(known.identity, request, cluster.now + 50)
        self.assertEqual(batch, [])

    def test_second_host_lost_right_after_a_repair(self):
        for second in ("same moment", "while joining", "after joining"):
            with self.subTest(second):
                cluster = Cluster()
                cluster.run(3)
                cluster.propose(b"kept")
                cluster.run(1)
                leader = cluster.leader()
                first, other = [host for host in HOSTS if host != leader][:2]
                cluster.disks[first] = worlds.VirtualDisk()
                cluster.start(first)
                waits = {"same moment": 0, "while joining": 0.3, "after joining": 4}
                cluster.run(waits[second])
                cluster.stop(other)
                cluster.run(6)
                self.assertTrue(cluster.propose(b"new"))
                cluster.run(1)
                self.assertEqual(cluster.payloads(first), [b"kept", b"new"])

    def test_five_replicas_survive_two_lost_hosts_and_three_survive_one(self):
        for hosts, losses in ((HOSTS, 2), (HOSTS[:3], 1)):
            cluster = Cluster(hosts)
            cluster.run(3)
            for host in hosts[-losses:]:
                cluster.stop(host)
            cluster.run(5)
            self.assertTrue(cluster.propose(b"x"))
            cluster.run(1)
            cluster.stop(hosts[-losses - 1])
            cluster.run(5)
            self.assertFalse(cluster.propose(b"y"))

    def test_replica_back_after_hundreds_of_changes_gets_a_snapshot(self):
        cluster = Cluster()
        cluster.run(3)
        gone = next(host for host in HOSTS if host != cluster.leader())
        cluster.stop(gone)
        for number in range(300):
            cluster.propose(b"%d" % number)
        cluster.run(2)
        leader = cluster.leader()
        cluster.execute(leader, cluster.replicas[leader].compact(b"state of 300"))
        cluster.propose(b"last")
        cluster.start(gone)
        cluster.run(3)
        self.assertEqual(cluster.payloads(gone), [b"last"])
        self.assertEqual(cluster.replicas[gone].log.snapshot.data, b"state of 300")


class ReplicatedMap(stateful.RuleBasedStateMachine):
    """The log, against one list, while messages get lost, repeated and reordered."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(HOSTS[:3])
        self.cluster.run(3)
        self.number = 0
        self.naive: list[bytes] = []

    @stateful.rule()
    def propose(self):
        """Propose a command."""
        self.number += 1
        self.cluster.propose(b"%d" % self.number)

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.1, 0.7, 2.0]))
    def run_for(self, seconds):
        """Let time pass."""
        self.cluster.run(seconds)

    @stateful.rule(host=strategies.sampled_from(HOSTS[:3]))
    def freeze_or_thaw(self, host):
        """Freeze a host, or let it go on."""
        self.cluster.frozen ^= {host}

    @stateful.rule(host=strategies.sampled_from(HOSTS[:3]))
    def restart(self, host):
        """Restart a host on its disk."""
        self.cluster.frozen.discard(host)
        self.cluster.start(host)

    @stateful.rule(host=strategies.sampled_from(HOSTS[:3]))
    def cut_or_heal(self, host):
        """Cut a host off, or heal all."""
        if self.cluster.cut:
            self.cluster.cut.clear()
        else:
            self.cluster.isolate(host)

    @stateful.rule(seed=strategies.integers(0, 1000))
    def disturb_messages(self, seed):
        """Lose, repeat and reorder what is under way."""
        rng = random.Random(seed)
        for host in list(self.cluster.replicas):
            if host not in self.cluster.frozen:
                one = self.cluster.replicas[host]
                self.cluster.execute(host, one.tick(self.cluster.now + 0.2))
        queue = [one for one in self.cluster.queue if rng.random() > 0.3]
        self.cluster.queue = queue + rng.sample(queue, len(queue) // 2)
        rng.shuffle(self.cluster.queue)

    @stateful.invariant()
    def applied_lists_agree(self):
        """Each replica applied a prefix of one common list."""
        for host in self.cluster.replicas:
            applied = self.cluster.payloads(host)
            common = min(len(applied), len(self.naive))
            assert applied[:common] == self.naive[:common]
            if len(applied) > len(self.naive):
                self.naive = applied


TestReplicatedMap = ReplicatedMap.TestCase
TestReplicatedMap.settings = settings(
    max_examples=30, stateful_step_count=30, deadline=None, derandomize=True
)
