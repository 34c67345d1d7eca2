"""Tests of the evacuated zones as an entry knows them."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.membership import evacuated_zones


class TestZones(unittest.TestCase):
    """The newest state by its number is in force."""

    def setUp(self):
        self.zones = evacuated_zones.EvacuatedZones()

    def test_change_names_evacuated_and_restored_zones(self):
        change = self.zones.apply(3, ("b", "c"))
        self.assertEqual(change, evacuated_zones.ZoneChange(evacuated=("b", "c")))
        self.assertIn("b", self.zones)
        change = self.zones.apply(5, ("a", "c"))
        self.assertEqual(change, evacuated_zones.ZoneChange(("a",), restored=("b",)))
        self.assertNotIn("b", self.zones)

    def test_repeated_state_is_no_change(self):
        self.zones.apply(3, ("b",))
        self.assertEqual(self.zones.apply(4, ("b",)), evacuated_zones.ZoneChange())
        self.assertEqual(self.zones.number, 4)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 9), max_size=20))
    def test_states_in_any_order_never_revert(self, numbers):
        zones = evacuated_zones.EvacuatedZones()
        for count, number in enumerate(numbers, 1):
            zones.apply(number, (f"zone-{number}",) if number else ())
            newest = max(numbers[:count])
            self.assertEqual(zones.number, newest)
            self.assertEqual(zones.zones, (f"zone-{newest}",) if newest else ())


class TestSuspension(unittest.TestCase):
    """After a suspension, an entry awaits the answer to its probe for a limited time."""

    def setUp(self):
        self.zones = evacuated_zones.EvacuatedZones()
        self.zones.observe(100.0, 5000.0)

    def test_process_that_runs_awaits_nothing(self):
        for number in range(1, 20):
            self.assertFalse(self.zones.observe(100.0 + 0.5 * number, 5000.0 + 0.5 * number))
        self.assertFalse(self.zones.awaits_update(109.5))
        self.assertEqual(self.zones.probe, 0)

    def test_deployment_without_evacuations_awaits_nothing(self):
        zones = evacuated_zones.EvacuatedZones(waits_after_suspension=False)
        zones.observe(100.0, 5000.0)
        self.assertFalse(zones.observe(110.0, 5010.0))
        self.assertFalse(zones.awaits_update(110.0))
        self.assertEqual(zones.probe, 0)

    def test_answer_to_the_probe_ends_the_wait(self):
        self.assertTrue(self.zones.observe(110.0, 5010.0))
        self.assertTrue(self.zones.awaits_update(110.0))
        self.assertFalse(self.zones.handle_probe(0))
        self.assertTrue(self.zones.handle_probe(self.zones.probe))
        self.assertFalse(self.zones.awaits_update(110.1))

    def test_answer_to_the_probe_of_an_earlier_suspension_does_not_end_it(self):
        self.zones.observe(110.0, 5010.0)
        earlier = self.zones.probe
        self.zones.observe(120.0, 5020.0)
        self.assertFalse(self.zones.handle_probe(earlier))
        self.assertTrue(self.zones.awaits_update(120.0))

    def test_suspension_that_stopped_the_monotonic_clock_is_seen_by_the_other(self):
        self.assertTrue(self.zones.observe(100.1, 5010.0))
        self.assertTrue(self.zones.awaits_update(100.1))

    def test_wait_without_an_answer_ends(self):
        self.zones.observe(110.0, 5010.0)
        end = 110.0 + evacuated_zones.MAX_WAIT_SECONDS
        self.assertTrue(self.zones.awaits_update(end - 0.01))
        self.assertFalse(self.zones.awaits_update(end + 0.01))
        self.assertEqual(self.zones.probe, 0)
