"""Tests of how reports of backend servers and entries are merged."""

from __future__ import annotations

import itertools
import time
import unittest

import attrs
from hypothesis import given, settings, strategies

from flamingoramp.membership import registry
from flamingoramp.protocol import messages

SILENCE_SECONDS = 6.0
EXPIRY_SECONDS = registry.ENTRY_EXPIRY_SECONDS


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

    def test_falling_cold_time_is_a_renewal_and_a_new_end_is_a_change(self):
        self.update(0.0, sequence=1, cold_seconds=8.0)
        number = self.registry.change_number
        for second in range(1, 11):  # cold until the eighth
            self.update(float(second), sequence=1 + second, cold_seconds=max(0.0, 8.0 - second))
        self.assertEqual(self.registry.change_number, number)
        self.update(11.0, sequence=20, cold_seconds=8.0)
        self.assertGreater(self.registry.change_number, number)
        number = self.registry.change_number
        self.update(12.0, sequence=21, cold_seconds=0.0)
        servers, _ = self.registry.changed_since(number, 12.0)
        self.assertEqual([record.cold_seconds for record in servers], [0.0])

    def test_slowly_moving_cold_time_becomes_a_change(self):
        self.update(0.0, sequence=1, cold_seconds=8.0)
        number = self.registry.change_number
        for second in range(1, 6):
            self.update(float(second), sequence=1 + second, cold_seconds=8.0 - 0.8 * second)
        self.assertGreater(self.registry.change_number, number)

    def mark_unreported(self, now: float, observed_since: float = 0.0) -> list[registry.Record]:
        return self.registry.mark_unreported(
            now, observed_since=observed_since, server_seconds=SILENCE_SECONDS
        )

    def test_server_is_silent_after_the_age_of_its_report_and_the_time_since(self):
        self.update(now=10.0, age=3.0)
        self.assertEqual(self.mark_unreported(10.0 + SILENCE_SECONDS - 3.0), [])
        change_number = self.registry.change_number
        (marked,) = self.mark_unreported(10.1 + SILENCE_SECONDS - 3.0)
        self.assertTrue(marked.silent and self.find().silent)
        self.assertGreater(self.registry.change_number, change_number)
        self.assertEqual(self.mark_unreported(30.0), [])

    def test_report_ends_silence_and_is_a_change(self):
        self.update(sequence=1)
        self.mark_unreported(20.0)
        change_number = self.registry.change_number
        self.registry.update_server(make_server(sequence=2), 20.0, relayed=True)
        self.assertFalse(self.find().silent)
        self.assertGreater(self.registry.change_number, change_number)

    def test_silence_that_another_host_saw_before_a_newer_report_is_ignored(self):
        self.update(sequence=2)
        self.assertFalse(self.update(sequence=1, silent=True))
        self.assertTrue(self.update(sequence=2, silent=True))
        self.assertTrue(self.find().silent)

    def test_silence_is_counted_from_when_this_host_was_able_to_observe(self):
        self.update(now=0.0)
        self.assertEqual(self.mark_unreported(20.0, observed_since=20.0 - SILENCE_SECONDS), [])
        self.assertEqual(len(self.mark_unreported(20.1, observed_since=20.0 - SILENCE_SECONDS)), 1)

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
            self.assertEqual(record_registry.entries(), [report_after_restart])

    def test_relayed_report_without_changes_is_stored_but_not_forwarded(self):
        record_registry = registry.Registry()
        first_report = messages.EntryRecord(entry="e", sequence=1, ready=True)
        record_registry.update_entry(first_report, 0.0)
        change_number = record_registry.change_number
        record_registry.update_entry(attrs.evolve(first_report, sequence=2), 20.0, relayed=True)
        self.assertEqual(record_registry.change_number, change_number)
        self.assertEqual(self.mark_unreported(record_registry, 20.0 + EXPIRY_SECONDS), [])
        record_registry.update_entry(
            attrs.evolve(first_report, sequence=3, leaving=True), 21.0, relayed=True
        )
        self.assertGreater(record_registry.change_number, change_number)

    def mark_unreported(self, record_registry: registry.Registry, now: float):
        return record_registry.mark_unreported(now, observed_since=0.0, server_seconds=1.0)

    def test_entry_without_reports_is_left_out_and_then_removed(self):
        record_registry = registry.Registry()
        record_registry.update_entry(messages.EntryRecord(entry="e", sequence=1), 0.0)
        self.assertEqual(self.mark_unreported(record_registry, EXPIRY_SECONDS), [])
        self.assertEqual(len(record_registry.entries()), 1)
        self.assertEqual(len(self.mark_unreported(record_registry, EXPIRY_SECONDS + 0.1)), 1)
        self.assertEqual(record_registry.entries(), [])
        record_registry.remove_expired(registry.TOMBSTONE_SECONDS + 1)
        self.assertEqual(record_registry.changed_since(0, 0.0), ((), ()))

    def test_message_that_repeats_the_last_report_keeps_an_entry(self):
        record_registry = registry.Registry()
        record_registry.update_entry(messages.EntryRecord(entry="e", sequence=1), 0.0)
        record_registry.renew_entry("e", 20.0)
        self.assertEqual(self.mark_unreported(record_registry, 20.0 + EXPIRY_SECONDS), [])

    def test_entry_that_reports_again_is_no_longer_gone(self):
        first_report = messages.EntryRecord(entry="e", sequence=1, born=1.0)
        for later_report in (
            attrs.evolve(first_report, sequence=2),
            attrs.evolve(first_report, born=2.0),
        ):
            with self.subTest(later_report=later_report):
                record_registry = registry.Registry()
                record_registry.update_entry(first_report, 0.0)
                self.mark_unreported(record_registry, EXPIRY_SECONDS + 0.1)
                self.assertFalse(record_registry.update_entry(first_report, 40.0))
                self.assertTrue(record_registry.update_entry(later_report, 40.0))
                self.assertEqual(len(record_registry.entries()), 1)

    def test_end_of_an_entry_is_taken_over_from_another_host(self):
        record_registry = registry.Registry()
        report = messages.EntryRecord(entry="e", sequence=1, born=1.0)
        record_registry.update_entry(report, 0.0)
        ended = attrs.evolve(report, gone=True)
        self.assertTrue(record_registry.update_entry(ended, 1.0, relayed=True))
        self.assertFalse(record_registry.update_entry(ended, 2.0, relayed=True))
        self.assertEqual(record_registry.entries(), [])


class TestChangesAtSize(unittest.TestCase):
    """Load pattern: hundreds of servers and entries renew their reports, and few change."""

    def setUp(self):
        self.registry = registry.Registry()
        for number in range(300):
            self.registry.update_server(
                make_server(f"s{number}", address=f"10.0.0.{number}:1"), 0.0
            )
            self.registry.update_entry(messages.EntryRecord(entry=f"e{number}", sequence=1), 0.0)
        self.number = self.registry.update_number

    def test_renewals_are_forwarded_to_control_hosts_only(self):
        for number in range(300):
            self.registry.update_server(
                make_server(f"s{number}", address=f"10.0.0.{number}:1", sequence=2), 1.0
            )
            self.registry.update_entry(messages.EntryRecord(entry=f"e{number}", sequence=2), 1.0)
        self.assertEqual(self.registry.changed_since(self.number, 1.0), ((), ()))
        servers, entries = self.registry.changed_since(self.number, 1.0, with_renewals=True)
        self.assertEqual((len(servers), len(entries)), (300, 300))

    def test_only_what_changed_since_a_number_is_returned(self):
        self.registry.update_server(
            make_server("s7", address="10.0.0.7:1", sequence=2, leaving=True), 1.0
        )
        self.registry.update_entry(messages.EntryRecord(entry="e9", sequence=2, leaving=True), 1.0)
        servers, entries = self.registry.changed_since(self.number, 1.0)
        self.assertEqual([record.server for record in servers], ["s7"])
        self.assertEqual([record.entry for record in entries], ["e9"])
        number = self.registry.update_number
        self.assertEqual(self.registry.changed_since(number, 1.0), ((), ()))

    @settings(deadline=None)
    @given(strategies.lists(strategies.tuples(strategies.integers(0, 5), strategies.booleans())))
    def test_subscribers_of_changes_know_the_same_records_as_the_registry(self, steps):
        source, subscriber, peer = registry.Registry(), registry.Registry(), registry.Registry()
        sent_number = peer_number = 0
        for sequence, (name, leaving) in enumerate(steps, start=1):
            source.update_server(
                make_server(
                    f"s{name}", address=f"10.0.0.{name}:1", sequence=sequence, leaving=leaving
                ),
                float(sequence),
            )
            source.mark_unreported(float(sequence), observed_since=0.0, server_seconds=3.0)
            for record in source.changed_since(sent_number, float(sequence))[0]:
                subscriber.update_server(record, float(sequence))
            sent_number = source.update_number
            updates = source.changed_since(peer_number, float(sequence), with_renewals=True)
            for record in updates[0]:
                peer.update_server(record, float(sequence), relayed=True)
            peer_number = source.update_number
        states = [
            {record.server: (record.leaving, record.silent) for record in known.servers()}
            for known in (source, subscriber, peer)
        ]
        self.assertEqual(states[0], states[1])
        self.assertEqual(states[0], states[2])


class TestManyServersStart(unittest.TestCase):
    """Load pattern: thousands of servers announce themselves to a control host that has started.

    Each first report is checked against the server that had its address before.
    """

    def processor_seconds(self, count: int) -> float:
        """Return the least processor time of some runs in which so many servers start."""
        runs = []
        for _ in range(3):
            member_registry = registry.Registry()
            records = [
                make_server(f"s{number}", address=f"10.0.{number // 250}.{number % 250}:1")
                for number in range(count)
            ]
            began_at = time.process_time()
            for record in records:
                member_registry.update_server(record, 0.0)
            runs.append(time.process_time() - began_at)
        return min(runs)

    def test_cost_of_a_server_does_not_grow_with_their_number(self):
        self.assertLess(self.processor_seconds(3200), 2 * 8 * self.processor_seconds(400))

    def test_reused_addresses_are_found_among_many(self):
        member_registry = registry.Registry()
        for born in (100, 200):
            for number in range(500):
                member_registry.update_server(
                    make_server(f"s{born}-{number}", address=f"10.0.0.{number}:1", born=born), 0.0
                )
        names = {record.server for record in member_registry.servers()}
        self.assertEqual(names, {f"s200-{number}" for number in range(500)})

    def test_server_that_moves_leaves_its_former_address(self):
        member_registry = registry.Registry()
        member_registry.update_server(make_server("s1", address="10.0.0.1:1"), 0.0)
        member_registry.update_server(make_server("s1", address="10.0.0.2:1", sequence=2), 0.0)
        member_registry.update_server(make_server("s2", address="10.0.0.1:1", born=200), 0.0)
        names = {record.server for record in member_registry.servers()}
        self.assertEqual(names, {"s1", "s2"})
