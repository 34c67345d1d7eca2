"""Real control processes on disks that are full one after another."""

from __future__ import annotations

import os
import pathlib
import tempfile
import unittest

from flamingoramp.platform.tests import full_disks

FIRST_NETWORK = 170
NETWORK_COUNT = 80
SEEDS = (1, 2)


class TestDisksInTurn(unittest.TestCase):
    """Each disk is full for some seconds, and changes come to every host all the while."""

    # Guards against changes that are refused at hosts with room since the leader's disk is full,
    # and against hosts that refuse them for good.
    def test_hosts_with_room_refuse_no_change(self):
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
                scenario = full_disks.Scenario(
                    seed, pathlib.Path(folder), host_count=3, network=network
                )
                self.addCleanup(scenario.close)
                scenario.run(kills=seed % 2 == 0)
                scenario.close()
