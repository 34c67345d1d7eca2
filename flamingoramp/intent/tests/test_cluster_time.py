"""Tests of the clock that retention times are measured in."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.intent import cluster_time

START = 1_700_000_000.0


class TestClusterClock(unittest.TestCase):
    """Cluster time neither jumps nor goes back, for any reading of the wall clock."""

    def test_first_read_returns_the_wall_clock_of_the_first_leader(self):
        clock = cluster_time.ClusterClock()
        clock.start(5.0)
        self.assertEqual(clock.read(START, 6.0, applied_time=0.0), START)

    def test_new_leader_continues_from_the_applied_time(self):
        clock = cluster_time.ClusterClock()
        clock.start(0.0)
        self.assertEqual(clock.read(START + 1e8, 100.0, applied_time=START), START + 110.0)

    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(strategies.floats(0, 1000), strategies.floats(-1e9, 1e9)), max_size=50
        )
    )
    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    def test_rate_stays_within_the_slew_ratio_for_any_wall_clock(self, steps):
        clock = cluster_time.ClusterClock()
        clock.start(0.0)
        now = 0.0
        last = START
        for elapsed, error in steps:
            now += elapsed
            time = clock.read(START + now + error, now, applied_time=START)
            advanced = time - last
            self.assertGreaterEqual(advanced, elapsed * (1 - cluster_time.SLEW_RATIO) - 1e-5)
            self.assertLessEqual(advanced, elapsed * (1 + cluster_time.SLEW_RATIO) + 1e-5)
            last = time

    def test_slow_cluster_time_catches_up_with_the_wall_clock(self):
        clock = cluster_time.ClusterClock()
        clock.start(0.0)
        applied_time = START - 60.0
        times = [
            clock.read(START + now, float(now), applied_time=applied_time) for now in range(1, 1000)
        ]
        self.assertEqual(times[-1], START + 999)
