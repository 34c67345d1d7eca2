"""Tests of how reports of backend servers and entries are merged."""

from __future__ import annotations

import itertools
import unittest

import attrs
from hypothesis import given, strategies

from flamingoramp.membership import registry
from flamingoramp.protocol import messages


def make_server(server: str = "a", **changes) -> messages.ServerRecord:
    """Return a report of a server."""
    given_fields = {"service": "s", "address": "10.0.0.1:1", "sequence": 1, "born": 100}
    return messages.ServerRecord(server=server, **{**given_fields, **changes})


class TestServers(unittest.TestCase):
    """Reports that come late, twice or crossed."""

    def setUp(self):
        self.registry = registry.Registry()

    def update(self, now: float = 0.0, **changes) -> bool:
        return self.registry.update_server(make_server(**changes), now)

    def found(self, server: str = "a") -> messages.ServerRecord:
        return self.registry.find_server(server)

    def test_a_late_report_changes_nothing(self):
        self.update(sequence=5, slots=8)
        self.assertFalse(self.update(sequence=4, slots=1))
        self.assertEqual(self.found().slots, 8)

    def test_leaving_is_final_for_one_life(self):
        self.update(sequence=5, leaving=True)
        self.update(sequence=6, leaving=False)
        self.assertTrue(self.found().leaving)
        self.update(sequence=1, born=200)
        self.assertFalse(self.found().leaving)

    def test_leaving_counts_also_if_it_comes_late(self):
        self.update(sequence=5)
        self.assertTrue(self.update(sequence=4, leaving=True))
        self.assertTrue(self.found().leaving)
        self.assertEqual(self.found().sequence, 5)

    def test_the_end_is_final_for_one_life(self):
        self.update(sequence=5)
        self.update(sequence=5, gone=True)
        self.update(sequence=9)
        self.assertEqual(self.registry.servers(), [])
        self.update(sequence=1, born=200)
        self.assertEqual(len(self.registry.servers()), 1)

    def test_an_end_that_is_told_without_a_birth(self):
        """A control host that never heard of a server takes its withdrawal."""
        self.update(born=0, sequence=0, gone=True)
        self.update(sequence=3, born=100)
        self.assertEqual(self.registry.servers(), [])
        self.update(sequence=1, born=200)
        self.assertEqual(len(self.registry.servers()), 1)

    def test_a_report_of_an_earlier_life_changes_nothing(self):
        self.update(born=200, sequence=1)
        self.assertFalse(self.update(born=100, sequence=50, leaving=True))
        self.assertFalse(self.found().leaving)

    def test_an_address_that_is_used_again_ends_its_former_holder(self):
        self.update(server="old", born=100)
        self.update(server="new", born=200, service="t")
        self.assertEqual([one.server for one in self.registry.servers()], ["new"])

    def test_a_late_report_of_a_former_holder_takes_no_address_back(self):
        self.update(server="new", born=200, service="t")
        self.update(server="old", born=100, sequence=9)
        self.assertEqual([one.server for one in self.registry.servers()], ["new"])

    def test_silence_counts_from_the_report_itself(self):
        self.update(now=10.0, age=3.0)
        self.assertAlmostEqual(self.registry.seconds_since_report("a", 11.0), 4.0)

    def test_relayed_renewals_are_not_passed_on(self):
        self.update(sequence=1)
        change = self.registry.change_number
        self.registry.update_server(make_server(sequence=2), 1.0, relayed=True)
        self.assertEqual(self.registry.change_number, change)
        self.assertEqual(self.found().sequence, 2)
        self.registry.update_server(make_server(sequence=3, leaving=True), 1.0, relayed=True)
        self.assertGreater(self.registry.change_number, change)

    @given(strategies.permutations(range(5)))
    def test_any_order_of_reports_leads_to_the_same(self, order):
        reports = [
            make_server(sequence=1),
            make_server(sequence=2, slots=4),
            make_server(sequence=3, leaving=True),
            make_server(sequence=4, slots=6),
            make_server(sequence=1, born=90, leaving=True),
        ]
        merged = registry.Registry()
        for position in order:
            merged.update_server(reports[position], 0.0)
        expected = make_server(sequence=4, slots=6, leaving=True)
        self.assertEqual(merged.find_server("a"), expected)


class TestEntries(unittest.TestCase):
    """Entries as they report themselves."""

    def test_the_newest_life_and_sequence_count(self):
        merged = registry.Registry()
        base = messages.EntryRecord(entry="e", incarnation="1", sequence=1, born=5.0, ready=True)
        newer = attrs.evolve(base, sequence=2, leaving=True)
        reborn = attrs.evolve(base, incarnation="2", born=6.0, sequence=0)
        for order in itertools.permutations((base, newer, reborn)):
            merged = registry.Registry()
            for record in order:
                merged.update_entry(record, 0.0)
            self.assertEqual(merged.entries(0.0, max_age_seconds=1.0), [reborn])

    def test_relayed_renewals_are_not_passed_on(self):
        merged = registry.Registry()
        base = messages.EntryRecord(entry="e", sequence=1, ready=True)
        merged.update_entry(base, 0.0)
        change = merged.change_number
        merged.update_entry(attrs.evolve(base, sequence=2), 20.0, relayed=True)
        self.assertEqual(merged.change_number, change)
        self.assertEqual(len(merged.entries(21.0, max_age_seconds=2.0)), 1)
        merged.update_entry(attrs.evolve(base, sequence=3, leaving=True), 21.0, relayed=True)
        self.assertGreater(merged.change_number, change)

    def test_a_silent_entry_is_left_out_and_forgotten(self):
        merged = registry.Registry()
        merged.update_entry(messages.EntryRecord(entry="e", sequence=1), 0.0)
        self.assertEqual(len(merged.entries(1.0, max_age_seconds=2.0)), 1)
        self.assertEqual(merged.entries(3.0, max_age_seconds=2.0), [])
        merged.remove_expired(registry.ENTRY_EXPIRY_SECONDS + 1)
        self.assertEqual(merged.changed_since(0, 0.0), ((), ()))
