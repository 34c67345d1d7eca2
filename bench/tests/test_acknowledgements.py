"""Short seeded run of the soak of acknowledgements; ``bench.acknowledgements`` runs more seeds."""

from __future__ import annotations

import unittest

from bench import acknowledgements


class TestSeeds(unittest.TestCase):
    """Real control processes are killed right after they have acknowledged something."""

    def check_seed(self, seed: int) -> None:
        self.assertEqual(acknowledgements.run_seed(seed), "")

    # Guards against departures that are forgotten when all processes end: both seeds failed when
    # they were acknowledged from memory.
    def test_departures_of_seed_1_are_kept(self):
        self.check_seed(1)

    def test_departures_of_seed_2_are_kept(self):
        self.check_seed(2)
