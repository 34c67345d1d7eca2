"""Tests of clusters whose hosts find each other by a few seeds, and whose hosts are replaced."""

from __future__ import annotations

import random
import unittest

from flamingoramp.consensus import replica
from flamingoramp.consensus.tests import test_replica
from flamingoramp.tests import worlds

SEEDS = ("a", "b", "c")
SILENCE = replica.Timing().voter_removal_timeout_seconds


class JoiningCase(unittest.TestCase):
    """Helpers for clusters that were founded by seeds."""

    def found(self) -> test_replica.Cluster:
        cluster = test_replica.Cluster(seed_hosts=SEEDS)
        cluster.run(6)
        return cluster

    def voters(self, cluster: test_replica.Cluster) -> set[str]:
        membership = cluster.replicas[cluster.leader()].membership
        return {replica.host_of(one) for one in membership.voters}


class TestFounding(JoiningCase):
    """The seeds found the cluster, and everybody else joins it."""

    def test_all_hosts_become_voters(self):
        cluster = self.found()
        self.assertEqual(self.voters(cluster), set(test_replica.HOSTS))
        clusters = {one.cluster for one in cluster.replicas.values()}
        self.assertEqual(len(clusters), 1)

    def test_seeds_found_nothing_at_a_later_start(self):
        cluster = test_replica.Cluster(SEEDS)
        for host in SEEDS:
            cluster.stop(host)
            cluster.disks[host] = worlds.VirtualDisk()
            cluster.start(host, first_start=False)
        cluster.run(10)
        self.assertEqual(cluster.leader(), "")
        self.assertEqual({one.cluster for one in cluster.replicas.values()}, {""})

    def test_a_host_that_no_seed_names_founds_nothing(self):
        cluster = test_replica.Cluster(("d", "e"), seed_hosts=SEEDS)
        cluster.run(10)
        self.assertEqual({one.cluster for one in cluster.replicas.values()}, {""})

    def test_one_reachable_seed_is_enough_to_join(self):
        cluster = self.found()
        follower = next(host for host in SEEDS if host != cluster.leader())
        cluster.seed_hosts = (follower, "gone-1", "gone-2")
        cluster.start("f", first_start=False)
        cluster.run(4)
        self.assertEqual(cluster.replicas["f"].cluster, cluster.replicas[follower].cluster)
        self.assertIn("f", self.voters(cluster))


class TestReplacedHosts(JoiningCase):
    """Hosts that are gone for good, and empty ones at other addresses."""

    def replace(self, cluster: test_replica.Cluster, old: str, new: str) -> None:
        cluster.stop(old)
        cluster.start(new, first_start=False)

    def test_a_silent_voter_gives_its_place_to_a_new_host(self):
        cluster = self.found()
        old = next(host for host in test_replica.HOSTS if host != cluster.leader())
        self.replace(cluster, old, "f")
        cluster.run(SILENCE + 6)
        self.assertEqual(self.voters(cluster), {*test_replica.HOSTS, "f"} - {old})

    def test_all_hosts_are_replaced_one_after_the_other(self):
        cluster = self.found()
        cluster.propose(b"kept")
        for old, new in zip(test_replica.HOSTS, "fghij", strict=True):
            self.replace(cluster, old, new)
            cluster.seed_hosts = tuple(cluster.replicas)[:3]
            cluster.run(SILENCE + 8)
            self.assertTrue(cluster.propose(new.encode()))
        cluster.run(1)
        self.assertEqual(self.voters(cluster), set("fghij"))
        self.assertEqual(cluster.payloads("j"), [b"kept", *(one.encode() for one in "fghij")])

    def test_a_silent_voter_stays_while_nobody_takes_its_place(self):
        cluster = self.found()
        silent = next(host for host in test_replica.HOSTS if host != cluster.leader())
        cluster.stop(silent)
        cluster.run(2 * SILENCE)
        self.assertIn(silent, self.voters(cluster))

    def test_a_voter_that_lost_its_place_while_cut_off_gets_one_again(self):
        cluster = self.found()
        far = next(host for host in test_replica.HOSTS if host != cluster.leader())
        cluster.isolate(far)
        cluster.cut.add(frozenset((far, "f")))
        cluster.start("f", first_start=False)
        cluster.run(SILENCE + 6)
        self.assertNotIn(far, self.voters(cluster))
        cluster.cut.clear()
        cluster.run(6)
        self.assertIn(far, self.voters(cluster))

    def test_a_minority_never_decides_whatever_was_replaced(self):
        for seed in range(15):
            rng = random.Random(seed)
            cluster = test_replica.Cluster(seed_hosts=SEEDS, seed=seed)
            cluster.run(6)
            cluster.propose(b"kept")
            cluster.run(1)
            wiped, *dark = rng.sample(list(test_replica.HOSTS), 3)
            for host in (wiped, *dark):
                cluster.stop(host)
            cluster.disks[wiped] = worlds.VirtualDisk()
            cluster.start(wiped, first_start=False)
            cluster.run(20)
            self.assertEqual(cluster.leader(), "", "two voters of five")
            for host in dark:
                cluster.start(host, first_start=False)
            cluster.run(6)
            self.assertTrue(cluster.propose(b"new"))
            cluster.run(1)
            self.assertEqual(cluster.payloads(wiped), [b"kept", b"new"])


class TestConfirmedReads(JoiningCase):
    """Reads that a quorum confirms, whatever clocks do."""

    def test_a_leader_confirms(self):
        cluster = self.found()
        leader = cluster.replicas[cluster.leader()]
        asked = cluster.now
        cluster.execute(cluster.leader(), leader.request_read(asked))
        self.assertFalse(leader.confirms_read(asked))
        cluster.deliver()
        self.assertTrue(leader.confirms_read(asked))

    def test_a_leader_that_was_suspended_confirms_nothing(self):
        cluster = self.found()
        host = cluster.leader()
        old = cluster.replicas[host]
        cluster.frozen.add(host)
        before = cluster.now
        cluster.run(5)
        cluster.frozen.clear()
        # Its own clock stood still: by it, the last confirmation is a moment old.
        self.assertTrue(old.holds_lease(before))
        batch = old.request_read(before)
        cluster.queue.clear()
        self.assertFalse(old.confirms_read(before + 0.001))
        cluster.execute(host, batch)
        cluster.deliver()
        self.assertFalse(old.confirms_read(before))
