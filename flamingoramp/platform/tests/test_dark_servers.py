"""End-to-end tests of backend servers that stop accepting connections without a word."""

from __future__ import annotations

import time

from flamingoramp.platform.tests import fake_server, server_links
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.routing import observations

ENTRY_COUNT = 5
SERVER_COUNT = 8
DARK_COUNT = 3
CONNECT_TIMEOUT_SECONDS = 0.25


class DarkServerCase(fleets.FleetTestCase):
    """Base of tests in which servers are dark for some entries or for all."""

    def start_fleet(self) -> fleets.Fleet:
        fleet = self.start_serving(entries=ENTRY_COUNT)
        self.links = [server_links.ServerLinks(entry.daemon._pool) for entry in fleet.entries]
        for links in self.links:
            self.addCleanup(links.close)
        for number in range(SERVER_COUNT):
            behaviour = fake_server.Behaviour(event_interval_seconds=0.01)
            fleet.add_server(f"e{number}", "llm", behaviour)
        for entry in fleet.entries:
            fleets.wait_for(
                lambda daemon=entry.daemon: len(daemon.registry.servers()) == SERVER_COUNT,
                "all servers at all entries",
            )
        return fleet

    def make_dark(self, fleet: fleets.Fleet, links: list[server_links.ServerLinks]) -> set[str]:
        """Cut some links to the first servers; return the keys of these servers."""
        records = fleet.entries[0].daemon.registry.servers()
        names = {f"e{number}" for number in range(DARK_COUNT)}
        dark = [record for record in records if record.server in names]
        for item in links:
            item.cut(server_links.Cut.HANG, addresses=frozenset(record.address for record in dark))
        return {observations.instance_key(record) for record in dark}

    def find_unresponsive(self, fleet: fleets.Fleet, index: int, keys: set[str]) -> set[str]:
        """Return which servers an entry takes for unresponsive."""
        entry = fleet.entries[index]
        unresponsive = entry.daemon._request_handler._unresponsive
        known = {
            observations.instance_key(record): record for record in entry.daemon.registry.servers()
        }
        return entry.call(lambda: {key for key in keys if unresponsive.is_unresponsive(known[key])})

    def find_all_unresponsive(self, fleet: fleets.Fleet, keys: set[str]) -> set[str]:
        """Return which servers all entries take for unresponsive."""
        found = [self.find_unresponsive(fleet, index, keys) for index in range(ENTRY_COUNT)]
        return set.intersection(*found)

    def fail_connects(self, fleet: fleets.Fleet, index: int, keys: set[str]) -> None:
        """Let an entry find out by itself that it doesn't reach servers."""
        entry = fleet.entries[index]
        unresponsive = entry.daemon._request_handler._unresponsive
        for record in entry.daemon.registry.servers():
            if observations.instance_key(record) in keys:
                entry.call(lambda record=record: unresponsive.handle_failure(record))


class TestDarkForAllEntries(DarkServerCase):
    """Servers go dark; what one entry found, no other has to find out by a caller's request."""

    def test_no_caller_of_another_entry_waits_for_a_connect(self):
        fleet = self.start_fleet()
        keys = self.make_dark(fleet, self.links)
        self.fail_connects(fleet, 0, keys)
        fleets.wait_for(
            lambda: self.find_all_unresponsive(fleet, keys) == keys, "entries that were told"
        )
        for number in range(6 * ENTRY_COUNT):
            address = fleet.caller_address(number % ENTRY_COUNT)
            answer = self.send(fleet, "stream", address=address)
            self.assertEqual(answer.body, fleets.COMPLETE_STREAM)
        for entry in fleet.entries:
            # Counts the attempts that ended without an answer.
            self.assertNotIn(b"servers_broken", entry.daemon.process.metrics.render())

    def test_request_that_found_a_dark_server_tells_the_others(self):
        fleet = self.start_fleet()
        keys = self.make_dark(fleet, self.links)
        deadline = time.monotonic() + fleets.TIMEOUT_SECONDS
        while not self.find_all_unresponsive(fleet, keys):
            self.assertLess(time.monotonic(), deadline)
            self.assertEqual(self.send(fleet, "stream").status, 200)

    def test_servers_are_used_again_once_they_respond(self):
        fleet = self.start_fleet()
        keys = self.make_dark(fleet, self.links)
        self.fail_connects(fleet, 0, keys)
        fleets.wait_for(
            lambda: self.find_all_unresponsive(fleet, keys) == keys, "entries that were told"
        )
        for links in self.links:
            links.mend()
        for index in range(ENTRY_COUNT):
            fleets.wait_for(
                lambda index=index: not self.find_unresponsive(fleet, index, keys),
                "servers that have returned",
            )


class TestDarkForOneEntry(DarkServerCase):
    """One entry doesn't reach servers that all others reach."""

    def test_others_go_on_using_them(self):
        fleet = self.start_fleet()
        keys = self.make_dark(fleet, self.links[:1])
        self.fail_connects(fleet, 0, keys)
        time.sleep(2 * CONNECT_TIMEOUT_SECONDS)
        for index in range(1, ENTRY_COUNT):
            self.assertEqual(self.find_unresponsive(fleet, index, keys), set())
