"""Tests of clusters with seed hosts: creation, joining, replacement of hosts, confirmed reads."""

from __future__ import annotations

import random
import unittest

from flamingoramp.consensus import replica
from flamingoramp.consensus.tests import test_replica
from flamingoramp.tests import worlds

SEED_HOSTS = ("a", "b", "c")
REMOVAL_TIMEOUT_SECONDS = replica.Timing().voter_removal_timeout_seconds


class JoiningCase(unittest.TestCase):
    """Base class that provides a cluster with seed hosts."""

    def create_cluster(self) -> test_replica.Cluster:
        cluster = test_replica.Cluster(seed_hosts=SEED_HOSTS)
        cluster.run(6)
        return cluster

    def voters(self, cluster: test_replica.Cluster) -> set[str]:
        membership = cluster.replicas[cluster.leader()].membership
        return {replica.host_of(voter) for voter in membership.voters}


class TestClusterCreation(JoiningCase):
    """Seed hosts create the cluster at their first start; other hosts join it."""

    def test_all_hosts_join_one_cluster_as_voters(self):
        cluster = self.create_cluster()
        self.assertEqual(self.voters(cluster), set(test_replica.HOSTS))
        cluster_ids = {member.cluster for member in cluster.replicas.values()}
        self.assertEqual(len(cluster_ids), 1)

    def test_seed_hosts_with_empty_disks_create_no_cluster_at_later_start(self):
        cluster = test_replica.Cluster(SEED_HOSTS)
        for host in SEED_HOSTS:
            cluster.stop(host)
            cluster.disks[host] = worlds.SimulatedDisk()
            cluster.start(host, first_start=False)
        cluster.run(10)
        self.assertEqual(cluster.leader(), "")
        self.assertEqual({member.cluster for member in cluster.replicas.values()}, {""})

    def test_hosts_outside_seed_list_create_no_cluster(self):
        cluster = test_replica.Cluster(("d", "e"), seed_hosts=SEED_HOSTS)
        cluster.run(10)
        self.assertEqual({member.cluster for member in cluster.replicas.values()}, {""})

    def test_host_joins_with_only_one_reachable_seed_host(self):
        cluster = self.create_cluster()
        follower = next(host for host in SEED_HOSTS if host != cluster.leader())
        cluster.seed_hosts = (follower, "gone-1", "gone-2")
        cluster.start("f", first_start=False)
        cluster.run(4)
        self.assertEqual(cluster.replicas["f"].cluster, cluster.replicas[follower].cluster)
        self.assertIn("f", self.voters(cluster))


class TestReplacedHosts(JoiningCase):
    """Replacement of stopped or isolated hosts by empty hosts under other names."""

    def replace(self, cluster: test_replica.Cluster, old_host: str, new_host: str) -> None:
        cluster.stop(old_host)
        cluster.start(new_host, first_start=False)

    def test_stopped_voter_is_removed_once_new_host_joins(self):
        cluster = self.create_cluster()
        old_host = next(host for host in test_replica.HOSTS if host != cluster.leader())
        self.replace(cluster, old_host, "f")
        cluster.run(REMOVAL_TIMEOUT_SECONDS + 6)
        self.assertEqual(self.voters(cluster), {*test_replica.HOSTS, "f"} - {old_host})

    def test_entries_survive_replacement_of_all_hosts_one_by_one(self):
        cluster = self.create_cluster()
        cluster.propose(b"kept")
        for old_host, new_host in zip(test_replica.HOSTS, "fghij", strict=True):
            self.replace(cluster, old_host, new_host)
            cluster.seed_hosts = tuple(cluster.replicas)[:3]
            cluster.run(REMOVAL_TIMEOUT_SECONDS + 8)
            self.assertTrue(cluster.propose(new_host.encode()))
        cluster.run(1)
        self.assertEqual(self.voters(cluster), set("fghij"))
        self.assertEqual(cluster.payloads("j"), [b"kept", *(host.encode() for host in "fghij")])

    def test_stopped_voter_remains_without_replacement(self):
        cluster = self.create_cluster()
        stopped_host = next(host for host in test_replica.HOSTS if host != cluster.leader())
        cluster.stop(stopped_host)
        cluster.run(2 * REMOVAL_TIMEOUT_SECONDS)
        self.assertIn(stopped_host, self.voters(cluster))

    def test_voter_removed_during_isolation_rejoins_after_reconnection(self):
        cluster = self.create_cluster()
        isolated = next(host for host in test_replica.HOSTS if host != cluster.leader())
        cluster.isolate(isolated)
        cluster.cut_links.add(frozenset((isolated, "f")))
        cluster.start("f", first_start=False)
        cluster.run(REMOVAL_TIMEOUT_SECONDS + 6)
        self.assertNotIn(isolated, self.voters(cluster))
        cluster.cut_links.clear()
        cluster.run(6)
        self.assertIn(isolated, self.voters(cluster))

    def test_two_of_five_voters_and_empty_host_elect_no_leader(self):
        for seed in range(15):
            rng = random.Random(seed)
            cluster = test_replica.Cluster(seed_hosts=SEED_HOSTS, seed=seed)
            cluster.run(6)
            cluster.propose(b"kept")
            cluster.run(1)
            replaced_host, *stopped_hosts = rng.sample(list(test_replica.HOSTS), 3)
            for host in (replaced_host, *stopped_hosts):
                cluster.stop(host)
            cluster.disks[replaced_host] = worlds.SimulatedDisk()
            cluster.start(replaced_host, first_start=False)
            cluster.run(20)
            self.assertEqual(cluster.leader(), "", "only two of five voters run")
            for host in stopped_hosts:
                cluster.start(host, first_start=False)
            cluster.run(6)
            self.assertTrue(cluster.propose(b"new"))
            cluster.run(1)
            self.assertEqual(cluster.payloads(replaced_host), [b"kept", b"new"])


class TestConfirmedReads(JoiningCase):
    """Confirmation of reads by a quorum, independent of clocks."""

    def test_leader_confirms_read_after_quorum_acknowledges(self):
        cluster = self.create_cluster()
        leader = cluster.replicas[cluster.leader()]
        requested_at = cluster.now
        cluster.execute(cluster.leader(), leader.request_read(requested_at))
        self.assertFalse(leader.confirms_read(requested_at))
        cluster.deliver()
        self.assertTrue(leader.confirms_read(requested_at))

    def test_suspended_leader_confirms_no_read_after_successor_is_elected(self):
        cluster = self.create_cluster()
        host = cluster.leader()
        old_leader = cluster.replicas[host]
        cluster.suspended.add(host)
        suspended_at = cluster.now
        cluster.run(5)
        cluster.suspended.clear()
        # The clock of the suspended host stood still, so that its lease still looks valid there.
        self.assertTrue(old_leader.holds_lease(suspended_at))
        batch = old_leader.request_read(suspended_at)
        cluster.in_flight.clear()
        self.assertFalse(old_leader.confirms_read(suspended_at + 0.001))
        cluster.execute(host, batch)
        cluster.deliver()
        self.assertFalse(old_leader.confirms_read(suspended_at))
