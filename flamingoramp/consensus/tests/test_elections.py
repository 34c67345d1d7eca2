"""Tests of elections after the loss of all replicas at once, in virtual time."""

from __future__ import annotations

import random
import unittest

import attrs

from flamingoramp.consensus import effects, entry_log, replica
from flamingoramp.daemons import coordinator
from flamingoramp.protocol import messages
from flamingoramp.tests import control_scenarios

MAX_ELECTION_SECONDS = 0.4
SEED_COUNT = 300


class TestAllReplicasLost(unittest.TestCase):
    """All control hosts lose power at once and come back one after the other."""

    def check_elections(self, host_count: int, running_count: int, spread_seconds: float) -> None:
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                scenario = control_scenarios.ControlScenario(seed, host_count=host_count)
                seconds = scenario.measure_election(running_count, spread_seconds=spread_seconds)
                self.assertLessEqual(seconds, MAX_ELECTION_SECONDS)

    def test_leader_soon_after_all_of_five_start_at_once(self):
        self.check_elections(5, 5, 0.05)

    def test_leader_soon_after_the_third_of_five_that_start_over_a_second(self):
        self.check_elections(5, 5, 1.0)

    def test_leader_soon_after_just_a_quorum_of_five_has_started(self):
        self.check_elections(5, 3, 1.0)

    def test_leader_soon_after_just_a_quorum_of_nine_has_started_at_once(self):
        self.check_elections(9, 5, 0.05)


class TestOneReplicaRestarted(unittest.TestCase):
    """Single control hosts restart beside a living leader."""

    def test_restarted_replicas_do_not_unseat_the_leader(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                scenario = control_scenarios.ControlScenario(seed)
                leader, term = scenario.find_leader()
                scenario.restart_followers()
                self.assertEqual(scenario.find_leader(), (leader, term))


class TestLeaderContact(unittest.TestCase):
    """A restarted replica is told of a leader before it has what was committed meanwhile."""

    def test_contact_with_leader_counts_only_with_the_committed_entries(self):
        snapshot = effects.Snapshot(1, 1, effects.Membership(("a#1", "b#1", "c#1")), b"")
        follower = replica.Replica(
            identity="a#1",
            seed_hosts=("a", "b", "c"),
            recovered=entry_log.RecoveredState(effects.HardState(2, "", "cluster"), snapshot, ()),
            rng=random.Random(1),
            now=0.0,
            timing=coordinator.REPLICA_TIMING,
        )
        request = messages.AppendRequest(
            term=2, leader="b#1", prev_index=3, prev_term=2, commit=3, cluster="cluster"
        )
        follower.handle("b#1", request, 0.1)
        self.assertFalse(follower.has_leader_contact(0.1))
        entries = tuple(
            messages.LogEntry(index, 2, replica.KIND_NOOP, b"") for index in range(2, 4)
        )
        request = attrs.evolve(request, prev_index=1, prev_term=1, entries=entries, commit=1)
        follower.handle("b#1", request, 0.2)
        self.assertFalse(follower.has_leader_contact(0.2))
        follower.handle("b#1", attrs.evolve(request, commit=3), 0.3)
        self.assertTrue(follower.has_leader_contact(0.3))
