"""Tests of the exchange of load reports among many entries, in virtual time."""

from __future__ import annotations

import collections
import random
import unittest

import attrs

from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import load_reports, messages
from flamingoramp.routing import load_exchange, load_table, report_targets
from flamingoramp.runtime import virtual_time

NETWORK_DELAY_SECONDS = 0.001
START_SECONDS = 0.3  # within which all entries start


@attrs.define(eq=False)
class Entry:
    """One entry of the simulated deployment."""

    name: str
    zone: str
    loads: load_table.LoadTable
    exchange: load_exchange.LoadExchange
    registry: registry.Registry


class Network:
    """Entries of several zones that know of each other and exchange reports without loss.

    Parameters
    ----------
    zone_sizes : dict of str to int
        Number of entries of each availability zone.
    delay_seconds, between_zones_seconds : float
        Time until a message is handled, and until one of another zone is, if that differs.
    loss_ratio : float
        Share of the messages that are lost.
    late_starts : dict of str to float
        Times at which some entries start, which the others know of from the beginning.
    knows_others : bool
        Whether each entry knows of the others when it starts.
    """

    def __init__(
        self,
        zone_sizes: dict[str, int],
        *,
        delay_seconds: float = NETWORK_DELAY_SECONDS,
        between_zones_seconds: float | None = None,
        loss_ratio: float = 0.0,
        late_starts: dict[str, float] | None = None,
        knows_others: bool = True,
    ):
        self._delay_seconds = delay_seconds
        self._between_zones_seconds = between_zones_seconds
        self._loss_ratio = loss_ratio
        self._loss_rng = random.Random(1)
        self.loop = virtual_time.VirtualLoop()
        self.entries: dict[str, Entry] = {}
        self.sent_count = 0
        self.sent_by_entry: collections.Counter[str] = collections.Counter()
        self.between_zones_count = 0
        self._silent: set[str] = set()
        # Additional time until entries handle messages.
        self.late_by_entry: dict[str, float] = {}
        records = [
            messages.EntryRecord(entry=f"{zone}{n:02}", inner=f"{zone}{n:02}", zone=zone)
            for zone, size in zone_sizes.items()
            for n in range(size)
        ]
        self.records = records
        rng = random.Random(1)
        for record in records:
            self.loop.call_later(
                (late_starts or {}).get(record.entry, rng.uniform(0.0, START_SECONDS)),
                lambda starting=record: self._start(starting, records if knows_others else []),
            )

    def _start(self, record: messages.EntryRecord, records: list[messages.EntryRecord]) -> None:
        member_registry = registry.Registry()
        for other in records:
            member_registry.update_entry(other, self.loop.now())
        loads = load_table.LoadTable(record.zone)
        exchange = load_exchange.LoadExchange(
            self.loop,
            loads,
            member_registry=member_registry,
            directory=entry_directory.EntryDirectory(member_registry),
            name=record.entry,
            incarnation="i",
            zone=record.zone,
            send=lambda addresses, report: self._send(record, addresses, report),
        )
        self.entries[record.entry] = Entry(
            record.entry, record.zone, loads, exchange, member_registry
        )

    def _send(
        self, source: messages.EntryRecord, addresses: list[str], report: load_reports.LoadReport
    ) -> None:
        if source.entry in self._silent:
            return
        for address in addresses:
            self.sent_count += 1
            self.sent_by_entry[source.entry] += 1
            target = self.entries.get(address)
            if target is None:
                continue  # not started yet
            self.between_zones_count += target.zone != source.zone
            if self._loss_ratio and self._loss_rng.random() < self._loss_ratio:
                continue
            delay_seconds = self._delay_seconds
            if target.zone != source.zone and self._between_zones_seconds is not None:
                delay_seconds = self._between_zones_seconds
            delay_seconds += self.late_by_entry.get(target.name, 0.0)
            if target.name not in self._silent:
                self.loop.call_later(
                    delay_seconds,
                    lambda receiver=target: receiver.exchange.handle_report(report),
                )

    def find_forwarder(self, source_zone: str, zone: str) -> str:
        """Return the running entry of a zone that forwards the summary of another zone."""
        names = [name for name, entry in self.entries.items() if entry.zone == zone]
        rank = report_targets.rank_by(source_zone)
        return min((name for name in names if name not in self._silent), key=rank)

    def silence(self, name: str) -> None:
        """Stop all messages to and from an entry."""
        self._silent.add(name)

    def unsilence(self, name: str) -> None:
        """Let messages to and from an entry pass again."""
        self._silent.discard(name)

    def count_sent(self, seconds: float) -> int:
        """Return the number of messages that are sent within the next seconds."""
        before = self.sent_count
        self.loop.advance(seconds)
        return self.sent_count - before

    def strict_counts(self, server: str) -> set[int]:
        """Return the numbers of strict requests that running entries count on a server."""
        now = self.loop.now()
        return {
            entry.loads.load(server, now).strict
            for entry in self.entries.values()
            if entry.name not in self._silent
        }


class TestAllEntriesStartAtOnce(unittest.TestCase):
    """Load pattern: all entries start together, and none has heard another yet.

    Each takes itself for the relay of its zone. If relays forwarded what another relay of their
    zone has forwarded, the messages would multiply with each step.
    """

    def test_start_takes_no_more_messages_than_the_same_time_later(self):
        network = Network({"a": 12, "b": 12, "c": 12})
        at_start = network.count_sent(2.0)
        network.loop.advance(3.0)
        later = network.count_sent(2.0)
        self.assertLessEqual(at_start, 2 * later)

    def test_messages_of_an_idle_entry_do_not_grow_with_its_zone(self):
        counts = []
        # Heartbeats to as many receivers as have the shortest interval, and summaries to pass on.
        limit = (
            load_exchange.HEARTBEAT_RECEIVER_COUNT / load_exchange.HEARTBEAT_SECONDS
            + 2 / load_exchange.SUMMARY_SECONDS
        )
        for size in (10, 20, 40, 80):
            network = Network({"a": size, "b": size, "c": size})
            network.loop.advance(4.0)
            counts.append(network.count_sent(3.0) / (3 * size))
        self.assertLessEqual(max(counts) / 3.0, 1.1 * limit)
        self.assertLessEqual(counts[2], 1.1 * counts[1])
        self.assertLessEqual(counts[3], 1.1 * counts[2])


class TestWorkBeforeOthersAreKnown(unittest.TestCase):
    """Load pattern: queued requests that start as soon as servers are known, after an outage.

    The entries learn of each other a moment later. Each places its requests by what the others
    report, so reports that nobody received are made up for at once.
    """

    def check(self, size: int) -> None:
        network = Network({"a": size}, knows_others=False)
        network.loop.advance(START_SECONDS + 0.1)
        sender = network.entries["a00"]
        sender.loads.add(load_table.WorkItem("engine", 0.25))
        sender.exchange.schedule_report()
        network.loop.advance(0.05)
        for entry in network.entries.values():
            for record in network.records:
                entry.registry.update_entry(record, network.loop.now())
            entry.exchange.handle_member_change()
        network.loop.advance(0.05)
        self.assertEqual(network.strict_counts("engine"), {1})

    def test_few_entries_know_the_work_at_once(self):
        self.check(7)

    def test_all_entries_of_a_zone_know_the_work_at_once(self):
        self.check(22)


class TestWorkOfOtherZones(unittest.TestCase):
    """Summaries tell all entries of the work in other zones, also after a relay stopped."""

    def setUp(self):
        self.network = Network({"a": 8, "b": 8, "c": 8})
        self.network.loop.advance(2.0)

    def add_work(self, entry: str) -> None:
        sender = self.network.entries[entry]
        sender.loads.add(load_table.WorkItem("engine", 0.25))
        sender.exchange.schedule_report()

    def test_all_entries_know_the_work_within_two_summary_intervals(self):
        self.add_work("b05")
        self.network.loop.advance(2 * load_exchange.SUMMARY_SECONDS + 0.05)
        self.assertEqual(self.network.strict_counts("engine"), {1})

    def test_work_is_known_after_the_relays_of_two_zones_stopped(self):
        self.check_work_is_known_without("a00", "b00")

    def test_work_is_known_after_a_forwarder_stopped(self):
        self.check_work_is_known_without(self.network.find_forwarder("b", "a"))

    def check_work_is_known_without(self, *names: str) -> None:
        for name in names:
            self.network.silence(name)
        self.network.loop.advance(3.0)
        self.add_work("b05")
        self.network.loop.advance(2 * load_exchange.SUMMARY_SECONDS + 0.05)
        self.assertEqual(self.network.strict_counts("engine"), {1})

    def test_messages_between_zones_do_not_grow_with_their_entries(self):
        before = self.network.between_zones_count
        self.network.loop.advance(10 * load_exchange.SUMMARY_SECONDS)
        sent = self.network.between_zones_count - before
        zone_pair_count = 3 * 2
        candidate_count = report_targets.FORWARDER_CANDIDATE_COUNT
        self.assertLessEqual(sent, 11 * zone_pair_count * candidate_count)

    def test_no_entry_sends_much_more_than_the_others(self):
        network = Network(dict.fromkeys("abcde", 30))
        network.loop.advance(3.0)
        network.sent_by_entry.clear()
        network.loop.advance(6.0)
        counts = sorted(network.sent_by_entry.values())
        self.assertLessEqual(counts[-1], 8 * counts[len(counts) // 2])
