"""Tests of what entries tell each other of servers that don't accept connections."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import unresponsive_servers
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.runtime import metrics, virtual_time

CONNECT_TIMEOUT_SECONDS = 0.25
NETWORK_SECONDS = 0.002
ZONES = ("a", "b", "c")


@attrs.define
class FakeLog:
    """Log that keeps the names of events."""

    events: list[str] = attrs.field(factory=list)

    def write(self, event: str, request: str = "", **_fields) -> None:
        self.events.append(event)


@attrs.define
class FakePool:
    """Tries connections as one entry would: those to servers it doesn't reach time out."""

    network: Network
    entry: str
    check_count: int = 0

    def check_listening(self, address, on_result) -> None:
        self.check_count += 1
        if self.network.reaches(self.entry, address):
            self.network.loop.call_later(NETWORK_SECONDS, lambda: on_result(True))
        else:
            self.network.loop.call_later(CONNECT_TIMEOUT_SECONDS, lambda: on_result(None))


class Network:
    """Entries of three zones, and servers that are dark or that some entries don't reach."""

    def __init__(self, entry_count: int = 12, server_count: int = 10):
        self.loop = virtual_time.VirtualLoop()
        self.dark: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.silent_entries: set[str] = set()
        self.servers = [
            messages.ServerRecord(f"s{n}", address=f"s{n}", zone=ZONES[n % 3], born=1)
            for n in range(server_count)
        ]
        records = [
            messages.EntryRecord(entry=f"e{n}", zone=ZONES[n % 3], ready=True)
            for n in range(entry_count)
        ]
        self.zones = {record.entry: record.zone for record in records}
        self.pools: dict[str, FakePool] = {}
        self.logs: dict[str, FakeLog] = {}
        self.registries: dict[str, registry.Registry] = {}
        self.entries: dict[str, unresponsive_servers.UnresponsiveServers] = {}
        for record in records:
            name = record.entry
            self.registries[name] = registry.Registry()
            for other in records:
                self.registries[name].update_entry(other, 0.0)
            for server in self.servers:
                self.registries[name].update_server(server, 0.0)
            self.pools[name] = FakePool(self, name)
            self.logs[name] = FakeLog()
            self.entries[name] = unresponsive_servers.UnresponsiveServers(
                self.loop,
                self.pools[name],
                server_registry=self.registries[name],
                entry=name,
                zone=record.zone,
                send=lambda message, source=name: self.send(source, message),
                log=self.logs[name],
                metrics=metrics.Metrics(),
            )

    def reaches(self, entry: str, server: str) -> bool:
        return server not in self.dark and (entry, server) not in self.cut

    def send(self, source: str, message: messages.ServerReachability) -> None:
        for name, entry in self.entries.items():
            if name != source and not {name, source} & self.silent_entries:
                self.loop.call_later(
                    NETWORK_SECONDS, lambda receiver=entry: receiver.handle_message(message)
                )

    def fail(self, entry: str, number: int) -> None:
        """Let a connection of an entry to a server fail."""
        self.entries[entry].handle_failure(self.servers[number])

    def believers(self, number: int) -> set[str]:
        """Return the entries that take a server for unresponsive."""
        return {
            name
            for name, entry in self.entries.items()
            if entry.is_unresponsive(self.registries[name].find_server(f"s{number}"))
        }


class TestDarkServers(unittest.TestCase):
    """Load pattern: 15 to 40% of the servers go dark under load, and return some seconds later."""

    def test_one_failure_is_known_to_all_at_once_and_as_long_as_it_lasts(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        for _ in range(20):
            network.loop.advance(0.25)
            self.assertEqual(network.believers(0), set(network.entries))

    def test_no_request_waits_for_a_connect_once_each_server_has_failed_once(self):
        for share in (0.15, 0.4):
            network = Network(entry_count=30, server_count=40)
            dark_count = round(share * 40)
            network.dark = {f"s{n}" for n in range(dark_count)}
            for number in range(dark_count):
                network.fail(f"e{number % 30}", number)
            network.loop.advance(0.01)
            for _ in range(10):
                network.loop.advance(0.5)
                for number in range(40):
                    expected = set(network.entries) if number < dark_count else set()
                    self.assertEqual(network.believers(number), expected)

    def test_server_is_used_again_soon_after_its_return(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        network.loop.advance(4.9)
        network.dark = set()
        network.loop.advance(unresponsive_servers.RECHECK_SECONDS + CONNECT_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(network.believers(0), set())

    def test_server_that_returns_fails_anew_without_delay(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        network.loop.advance(1.0)
        network.dark = set()
        network.loop.advance(2.0)
        network.dark = {"s0"}
        network.fail("e1", 0)
        network.loop.advance(0.01)
        self.assertEqual(network.believers(0), set(network.entries))

    def test_new_run_of_a_server_is_not_shunned(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        network.loop.advance(0.1)
        restarted = attrs.evolve(network.servers[0], born=2)
        for member_registry in network.registries.values():
            member_registry.update_server(restarted, network.loop.now())
        network.servers[0] = restarted
        self.assertEqual(network.believers(0), set())

    def test_belief_ends_with_the_entry_that_told(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        network.loop.advance(0.1)
        network.silent_entries = {"e0"}
        network.loop.advance(
            unresponsive_servers.RECHECK_SECONDS + unresponsive_servers.VALID_MARGIN_SECONDS
        )
        self.assertEqual(network.believers(0) - {"e0"}, set())

    def test_server_that_is_lost_for_good_is_tried_less_and_less_often(self):
        network = Network()
        network.dark = {"s0"}
        network.fail("e0", 0)
        network.loop.advance(60.0)
        before = network.pools["e0"].check_count
        for _ in range(60):
            network.loop.advance(1.0)
            self.assertEqual(network.believers(0), set(network.entries))
        tries = network.pools["e0"].check_count - before
        self.assertLessEqual(tries, 60.0 / unresponsive_servers.MAX_RECHECK_SECONDS)

    def test_tries_do_not_grow_with_the_number_of_entries(self):
        counts = []
        for entry_count in (12, 60):
            network = Network(entry_count)
            network.dark = {"s0"}
            network.fail("e0", 0)
            network.loop.advance(5.0)
            counts.append(sum(pool.check_count for pool in network.pools.values()))
        self.assertLessEqual(counts[1], 1.1 * counts[0])


class TestCutEntry(unittest.TestCase):
    """An entry that can't reach sound servers doesn't keep the others from them."""

    def test_others_use_the_server_after_one_round_trip(self):
        network = Network()
        network.cut = {("e0", "s0")}
        network.fail("e0", 0)
        network.loop.advance(3 * NETWORK_SECONDS + 0.001)
        self.assertEqual(network.believers(0), set())

    def test_cut_entry_does_not_tell_again_for_a_time(self):
        network = Network()
        network.cut = {("e0", "s0")}
        network.fail("e0", 0)
        network.loop.advance(0.5)
        for _ in range(4):
            network.fail("e0", 0)
            network.loop.advance(0.5)
        self.assertEqual(network.logs["e0"].events.count("server.unresponsive"), 1)

    def test_zone_that_is_cut_off_shuns_what_other_zones_use(self):
        network = Network()
        network.cut = {(name, "s1") for name, zone in network.zones.items() if zone == "a"}
        network.fail("e0", 1)
        for _ in range(8):
            network.loop.advance(0.25)
            in_zone = {name for name, zone in network.zones.items() if zone == "a"}
            self.assertEqual(network.believers(1), in_zone)

    def test_server_is_used_though_an_entry_that_would_check_has_stopped(self):
        for stopped in range(1, 12):
            network = Network()
            network.silent_entries = {f"e{stopped}"}
            network.cut = {("e0", "s0")}
            network.fail("e0", 0)
            network.loop.advance(0.05)
            self.assertEqual(network.believers(0) - {f"e{stopped}"}, set())


class TestMissingAnnouncements(unittest.TestCase):
    """Load pattern: control hosts are cut off from each other, and most servers seem silent.

    The announcements of sound servers reach the wrong side of the cut. If entries avoided them, all
    requests would go to the few others.
    """

    def setUp(self):
        self.network = Network(server_count=30)

    def mark_silent(self, *numbers: int) -> None:
        for number in numbers:
            silent = attrs.evolve(self.network.servers[number], silent=True)
            self.network.servers[number] = silent
            for name, member_registry in self.network.registries.items():
                member_registry.update_server(silent, self.network.loop.now())
                self.network.entries[name].handle_silence(silent)

    def test_sound_servers_are_used(self):
        self.mark_silent(*range(20))
        for _ in range(8):
            self.network.loop.advance(0.25)
            for number in range(30):
                self.assertEqual(self.network.believers(number), set())
        tries = sum(pool.check_count for pool in self.network.pools.values())
        checking_count = unresponsive_servers.CHECKING_ENTRY_COUNT * len(ZONES)
        self.assertEqual(tries, 20 * checking_count)

    def test_dark_servers_among_them_are_avoided(self):
        self.network.dark = {"s3", "s4"}
        self.mark_silent(*range(20))
        self.network.loop.advance(CONNECT_TIMEOUT_SECONDS + 2 * NETWORK_SECONDS)
        for number in range(20):
            expected = set(self.network.entries) if number in (3, 4) else set()
            self.assertEqual(self.network.believers(number), expected)

    def test_stopped_process_that_still_accepts_connections_is_avoided(self):
        self.mark_silent(5)
        self.network.loop.advance(0.5)
        self.network.entries["e1"].handle_stall(self.network.servers[5])
        self.network.loop.advance(0.1)
        self.assertEqual(self.network.believers(5), set(self.network.entries))
        self.network.loop.advance(unresponsive_servers.STALLED_SECONDS)
        self.assertEqual(self.network.believers(5), set())

    def test_server_is_used_again_with_its_next_announcement(self):
        self.mark_silent(5)
        self.network.entries["e1"].handle_stall(self.network.servers[5])
        self.network.loop.advance(0.1)
        announced = attrs.evolve(self.network.servers[5], sequence=2, silent=False)
        for member_registry in self.network.registries.values():
            member_registry.update_server(announced, self.network.loop.now())
        self.assertEqual(self.network.believers(5), set())

    def test_busy_server_that_announces_itself_is_not_avoided(self):
        self.network.entries["e1"].handle_stall(self.network.servers[5])
        self.network.loop.advance(0.5)
        self.assertEqual(self.network.believers(5), set())


class TestOddMessages(unittest.TestCase):
    """Messages about unknown servers change nothing."""

    def test_unknown_server_or_name_without_run_is_ignored(self):
        network = Network()
        for key in ("s99/1", "s0/7", "s0", ""):
            message = messages.ServerReachability(
                "e5", "a", unresponsive=(key,), refuted=(key,), recovered=(key,), stalled=(key,)
            )
            network.entries["e0"].handle_message(message)
        for number in range(10):
            self.assertEqual(network.believers(number), set())
        self.assertEqual(network.pools["e0"].check_count, 0)
