"""Tests of how reports of backend servers and entries are merged."""

from __future__ import annotations

import itertools
import unittest

import attrs
from hypothesis import given, strategies

from flamingoramp.membership import registry
from flamingoramp.protocol import messages


def make_server(server: str = "a", **changes) -> messages.ServerRecord:
    """Return the record of a backend server."""
    defaults = {"service": "s", "address": "10.0.0.1:1", "sequence": 1, "born": 100}
    return messages.ServerRecord(server=server, **{**defaults, **changes})


class TestServers(unittest.TestCase):
    """Reports of servers that arrive late, twice or out of order."""

    def setUp(self):
        self.registry = registry.Registry()

    def update(self, now: float = 0.0, **changes) -> bool:
        return self.registry.update_server(make_server(**changes), now)

    def find(self, server: str = "a") -> messages.ServerRecord:
        return self.registry.find_server(server)

    def test_report_with_a_lower_sequence_is_ignored(self):
        self.update(sequence=5, slots=8)
        self.assertFalse(self.update(sequence=4, slots=1))
        self.assertEqual(self.find().slots, 8)

    def test_leaving_is_final_until_the_server_restarts(self):
        self.update(sequence=5, leaving=True)
        self.update(sequence=6, leaving=False)
        self.assertTrue(self.find().leaving)
        self.update(sequence=1, born=200)
        self.assertFalse(self.find().leaving)

    def test_late_leaving_report_marks_the_newer_record_as_leaving(self):
        self.update(sequence=5)
        self.assertTrue(self.update(sequence=4, leaving=True))
        self.assertTrue(self.find().leaving)
        self.assertEqual(self.find().sequence, 5)

    def test_gone_is_final_until_the_server_restarts(self):
        self.update(sequence=5)
        self.update(sequence=5, gone=True)
        self.update(sequence=9)
        self.assertEqual(self.registry.servers(), [])
        self.update(sequence=1, born=200)
        self.assertEqual(len(self.registry.servers()), 1)

    def test_gone_report_without_a_start_time_applies_to_the_next_report(self):
        """A control host without a record of the server receives the report that it is gone."""
        self.update(born=0, sequence=0, gone=True)
        self.update(sequence=3, born=100)
        self.assertEqual(self.registry.servers(), [])
        self.update(sequence=1, born=200)
        self.assertEqual(len(self.registry.servers()), 1)

    def test_report_from_before_a_restart_is_ignored(self):
        self.update(born=200, sequence=1)
        self.assertFalse(self.update(born=100, sequence=50, leaving=True))
        self.assertFalse(self.find().leaving)

    def test_server_at_a_reused_address_replaces_the_previous_server(self):
        self.update(server="old", born=100)
        self.update(server="new", born=200, service="t")
        self.assertEqual([record.server for record in self.registry.servers()], ["new"])

    def test_late_report_of_the_previous_server_at_an_address_is_ignored(self):
        self.update(server="new", born=200, service="t")
        self.update(server="old", born=100, sequence=9)
        self.assertEqual([record.server for record in self.registry.servers()], ["new"])

    def test_seconds_since_report_include_the_age_of_the_report(self):
        self.update(now=10.0, age=3.0)
        self.assertAlmostEqual(self.registry.seconds_since_report("a", 11.0), 4.0)

    def test_relayed_report_without_changes_is_stored_but_not_forwarded(self):
        self.update(sequence=1)
        change_number = self.registry.change_number
        self.registry.update_server(make_server(sequence=2), 1.0, relayed=True)
        self.assertEqual(self.registry.change_number, change_number)
        self.assertEqual(self.find().sequence, 2)
        self.registry.update_server(make_server(sequence=3, leaving=True), 1.0, relayed=True)
        self.assertGreater(self.registry.change_number, change_number)

    @given(strategies.permutations(range(5)))
    def test_reports_in_any_order_give_the_same_record(self, order):
        reports = [
            make_server(sequence=1),
            make_server(sequence=2, slots=4),
            make_server(sequence=3, leaving=True),
            make_server(sequence=4, slots=6),
            make_server(sequence=1, born=90, leaving=True),
        ]
        record_registry = registry.Registry()
        for position in order:
            record_registry.update_server(reports[position], 0.0)
        expected = make_server(sequence=4, slots=6, leaving=True)
        self.assertEqual(record_registry.find_server("a"), expected)


class TestEntries(unittest.TestCase):
    """Reports that entries send about themselves."""

    def test_report_of_the_latest_start_and_sequence_is_kept(self):
        record_registry = registry.Registry()
        first_report = messages.EntryRecord(
            entry="e", incarnation="1", sequence=1, born=5.0, ready=True
        )
        newer_report = attrs.evolve(first_report, sequence=2, leaving=True)
        report_after_restart = attrs.evolve(first_report, incarnation="2", born=6.0, sequence=0)
        for order in itertools.permutations((first_report, newer_report, report_after_restart)):
            record_registry = registry.Registry()
            for record in order:
                record_registry.update_entry(record, 0.0)
            self.assertEqual(
                record_registry.entries(0.0, max_age_seconds=1.0), [report_after_restart]
            )

    def test_relayed_report_without_changes_is_stored_but_not_forwarded(self):
        record_registry = registry.Registry()
        first_report = messages.EntryRecord(entry="e", sequence=1, ready=True)
        record_registry.update_entry(first_report, 0.0)
        change_number = record_registry.change_number
        record_registry.update_entry(attrs.evolve(first_report, sequence=2), 20.0, relayed=True)
        self.assertEqual(record_registry.change_number, change_number)
        self.assertEqual(len(record_registry.entries(21.0, max_age_seconds=2.0)), 1)
        record_registry.update_entry(
            attrs.evolve(first_report, sequence=3, leaving=True), 21.0, relayed=True
        )
        self.assertGreater(record_registry.change_number, change_number)

    def test_entry_without_reports_is_left_out_and_then_removed(self):
        record_registry = registry.Registry()
        record_registry.update_entry(messages.EntryRecord(entry="e", sequence=1), 0.0)
        self.assertEqual(len(record_registry.entries(1.0, max_age_seconds=2.0)), 1)
        self.assertEqual(record_registry.entries(3.0, max_age_seconds=2.0), [])
        record_registry.remove_expired(registry.ENTRY_EXPIRY_SECONDS + 1)
        self.assertEqual(record_registry.changed_since(0, 0.0), ((), ()))
