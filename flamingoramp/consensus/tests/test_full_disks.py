"""Disks of control hosts that are full one after another, while changes come."""

from __future__ import annotations

import contextlib
import unittest

from flamingoramp.consensus.tests import full_disks

SEED_COUNT = 40
SETTLE_SECONDS = 4.0
# Bound on the time for which the disk of a leader may hold up changes.
LEADERLESS_SECONDS = 0.5


class TestFullAtTheStart(unittest.TestCase):
    """Hosts whose disk is full when their process starts."""

    # Guards against a control process that ends at its start, for the time that its disk is full.
    def test_process_waits_for_room_and_then_follows(self):
        for refuses_all in (False, True):
            for host_count in (3, 5):
                with (
                    self.subTest(refuses_all=refuses_all, host_count=host_count),
                    contextlib.ExitStack() as stack,
                ):
                    cluster = full_disks.Cluster(1, host_count, stack)
                    cluster.disk.refuses_all = refuses_all
                    cluster.run(SETTLE_SECONDS)
                    for host in cluster.hosts.values():
                        cluster.kill(host, power=False)
                        cluster.disk.full.add(host.name)
                        cluster.start(host)
                        cluster.run(2.0)
                        cluster.disk.full.clear()
                        cluster.check()

    def test_first_start_of_all_hosts_on_full_disks(self):
        with contextlib.ExitStack() as stack:
            cluster = full_disks.Cluster(1, 3, stack, full=("h0", "h1", "h2"))
            cluster.run(SETTLE_SECONDS)
            cluster.disk.full.clear()
            cluster.check()


class TestLeader(unittest.TestCase):
    """The disk of the leader is full."""

    # Guards against half a second and more without a leader, since the others had to miss the one
    # that knew that it can lead no longer.
    def test_another_host_leads_at_once(self):
        for host_count in (3, 5):
            for seed in range(10):
                with (
                    self.subTest(seed=seed, host_count=host_count),
                    contextlib.ExitStack() as stack,
                ):
                    cluster = full_disks.Cluster(seed, host_count, stack)
                    cluster.run(SETTLE_SECONDS)
                    first = cluster.leader()
                    cluster.disk.full.add(first.name)
                    while first.node.is_leader:
                        cluster.run(0.01)
                    started_at, acknowledged = cluster.now, cluster.acknowledged
                    while cluster.acknowledged == acknowledged:
                        cluster.run(0.01)
                        self.assertLess(cluster.now - started_at, LEADERLESS_SECONDS)


class TestDisksInTurn(unittest.TestCase):
    """Each disk is full for some seconds, leader or follower, from any operation on."""

    def run_seed(self, seed: int, host_count: int) -> full_disks.Cluster:
        with contextlib.ExitStack() as stack:
            cluster = full_disks.Cluster(seed, host_count, stack)
            cluster.run(SETTLE_SECONDS)
            cluster.check()
            rng = cluster.rng
            cluster.disk.refuses_all = rng.random() < 0.5
            cluster.message_loss_ratio = rng.choice((0.0, 0.0, 0.02))
            for _ in range(2 * host_count):
                leader = cluster.leader()
                others = [host for host in cluster.hosts.values() if host is not leader]
                host = leader if leader and rng.random() < 0.5 else rng.choice(others)
                cluster.disk.fill_after[host.name] = rng.randrange(30)
                cluster.run(rng.uniform(0.2, 4.0))
                is_killed = rng.random() < 0.3
                if is_killed:
                    cluster.kill(host, power=rng.random() < 0.5)
                    cluster.run(rng.choice((0.0, 0.3, 1.0)))
                cluster.disk.fill_after.clear()
                if rng.random() < 0.5 or not is_killed:
                    cluster.disk.full.clear()
                if is_killed:
                    cluster.start(host)
                    cluster.run(rng.choice((0.0, 0.3, 1.0)))
                cluster.disk.full.clear()
                cluster.run(rng.choice((0.0, 0.01, 0.1, 0.6)))
                cluster.check_kept()
            cluster.message_loss_ratio = 0.0
            cluster.check()
            for host in cluster.hosts.values():
                cluster.kill(host, power=True)
            for host in cluster.hosts.values():
                cluster.start(host)
            cluster.check()
        return cluster

    # Guards against changes that stay unanswered, hosts that do not follow, processes that end and
    # acknowledged changes that are lost after the last of the disks has room again.
    def test_changes_are_acknowledged_and_kept_after_the_last_disk_has_room(self):
        for host_count in (3, 5):
            for seed in range(SEED_COUNT):
                with self.subTest(seed=seed, host_count=host_count):
                    self.run_seed(seed, host_count)
