"""Tests of the directory: which entries callers are directed to."""

from __future__ import annotations

import collections
import unittest

import attrs

from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import messages

ZONE_ENTRY_COUNTS = {"zone-a": 38, "zone-b": 46, "zone-c": 35, "zone-d": 37, "zone-e": 35}
NOW = 10.0


def make_record(zone: str, number: int) -> messages.EntryRecord:
    """Return the record of a ready entry; addresses sort by availability zone."""
    zone_number = list(ZONE_ENTRY_COUNTS).index(zone) + 1
    address = f"10.{zone_number}.0.{number + 10}:8227"
    return messages.EntryRecord(
        entry=f"{zone}-{number}", callers=address, zone=zone, ready=True, born=1.0
    )


class DirectoryCase(unittest.TestCase):
    """Base of tests with a directory of 191 ready entries in five availability zones."""

    def setUp(self):
        self.registry = registry.Registry()
        self.directory = entry_directory.EntryDirectory(self.registry)
        self.records = {}
        for zone, count in ZONE_ENTRY_COUNTS.items():
            for number in range(count):
                record = make_record(zone, number)
                self.records[record.callers] = record
                self.registry.update_entry(record, NOW)
                self.directory.record_report(record.entry, NOW)

    def addresses(self, caller_zone: str = "zone-a") -> list[str]:
        return self.directory.addresses(NOW, caller_zone=caller_zone)


class TestMoreEntriesThanAnAnswerHolds(DirectoryCase):
    """Load pattern: callers of all zones ask for addresses, of which an answer holds a third."""

    def test_answer_holds_the_same_number_of_entries_of_each_zone(self):
        for zone in ZONE_ENTRY_COUNTS:
            counts = collections.Counter(
                self.records[address].zone for address in self.addresses(zone)
            )
            self.assertEqual(counts.total(), entry_directory.MAX_ADDRESS_COUNT)
            self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_callers_of_all_zones_reach_most_entries(self):
        reached = {address for zone in ZONE_ENTRY_COUNTS for address in self.addresses(zone)}
        self.assertGreater(len(reached), 0.8 * len(self.records))

    def test_answer_changes_only_by_an_entry_that_stopped(self):
        before = self.addresses()
        stopped = self.records[before[0]]
        self.registry.update_entry(
            messages.EntryRecord(stopped.entry, callers=stopped.callers, zone=stopped.zone, born=2),
            NOW,
        )
        after = self.addresses()
        self.assertEqual(len(after), entry_directory.MAX_ADDRESS_COUNT)
        self.assertEqual(set(before) - set(after), {stopped.callers})

    def test_all_directories_give_the_same_answer(self):
        other = entry_directory.EntryDirectory(self.registry)
        for record in reversed(list(self.records.values())):
            other.record_report(record.entry, NOW)
        self.assertEqual(other.addresses(NOW, caller_zone="zone-c"), self.addresses("zone-c"))


class TestFewEntries(unittest.TestCase):
    """All ready entries are returned if an answer holds them."""

    def test_answer_holds_all_entries(self):
        record_registry = registry.Registry()
        directory = entry_directory.EntryDirectory(record_registry)
        records = [make_record("zone-a", number) for number in range(9)]
        for record in records:
            record_registry.update_entry(record, NOW)
            directory.record_report(record.entry, NOW)
        expected = sorted(record.callers for record in records)
        self.assertEqual(directory.addresses(NOW, caller_zone="zone-b"), expected)


class TestEntriesThatReachNoServer(DirectoryCase):
    """Entries that are cut off from all servers, in the directory and as targets of requests."""

    def cut_off(self, *zones: str) -> None:
        for record in self.records.values():
            if record.zone in zones:
                cut = attrs.evolve(record, cut_off=True, sequence=record.sequence + 1)
                self.registry.update_entry(cut, NOW)

    def test_cut_off_entries_are_left_out(self):
        self.cut_off("zone-a", "zone-b")
        self.assertEqual(
            {self.records[address].zone for address in self.addresses()},
            {"zone-c", "zone-d", "zone-e"},
        )
        peers = {record.zone for record in self.directory.find_peers("zone-a-0", NOW)}
        self.assertEqual(peers, {"zone-c", "zone-d", "zone-e"})

    def test_callers_get_addresses_if_no_entry_reaches_a_server(self):
        self.cut_off(*ZONE_ENTRY_COUNTS)
        self.assertEqual(len(self.addresses()), entry_directory.MAX_ADDRESS_COUNT)
        self.assertEqual(self.directory.find_peers("zone-a-0", NOW), [])

    # Guards against a zone that finds no peers elsewhere, whose entries don't report to it.
    def test_entries_that_never_reported_here_are_peers(self):
        directory = entry_directory.EntryDirectory(self.registry)
        directory.record_report("zone-a-1", NOW)
        later = NOW + 2 * entry_directory.REPORT_TIMEOUT_SECONDS
        peers = {record.entry for record in directory.find_peers("zone-a-0", later)}
        self.assertEqual(len(peers), len(self.records) - 2)
        self.assertNotIn("zone-a-1", peers)
