"""Tests of entries that stop and start again one after the other under load."""

from __future__ import annotations

import random
import socket
import threading
import time

from flamingoramp.http.tests import test_server
from flamingoramp.platform.tests import fleet as fleets

CALLER_COUNT = 6
MAX_SECONDS = 1.0
# Pause between the end of a stop and the next start, and between one entry and the next one.
PAUSE_SECONDS = 0.3
# Without a key.
REFUSED_REQUEST = (
    f"GET /read/x HTTP/1.1\r\nhost: {fleets.ROUTE_HOST}\r\nx-attempt-id: a1\r\n\r\n".encode()
)


class TestRollingStops(fleets.FleetTestCase):
    """Each entry is stopped as planned and started again, while the others serve."""

    def setUp(self):
        super().setUp()
        self.fleet = self.start_serving(controls=1, entries=4)
        for number in range(2):
            self.fleet.add_server(f"desk{number}", "desk")
            self.fleet.add_server(f"engine{number}", "llm")
        self.results: list[tuple[str, int, float]] = []
        self.ends = threading.Event()

    def call(self, rng: random.Random, route: str) -> int:
        """Send a request; after a refused connection, try another address once, as callers do."""
        addresses = [self.fleet.settings(index).listen.callers for index in range(1, 5)]
        rng.shuffle(addresses)
        for address in addresses[:2]:
            try:
                return self.send(self.fleet, route, address=address).status
            except ConnectionRefusedError:
                continue
            except ConnectionError:
                return 0
        return -1

    def run_caller(self, seed: int) -> None:
        rng = random.Random(seed)
        while not self.ends.is_set():
            route = rng.choice(("read", "hold", "stream"))
            started_at = time.monotonic()
            status = self.call(rng, route)
            self.results.append((route, status, time.monotonic() - started_at))
            time.sleep(0.05)

    def test_no_request_is_cut_refused_or_late_while_all_entries_restart_in_turn(self):
        callers = [
            threading.Thread(target=self.run_caller, args=(seed,)) for seed in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        try:
            for number, entry in enumerate(self.fleet.entries):
                entry.call(entry.daemon.begin_stop)
                entry.thread.join(entry.daemon.process.settings.bounds.stop_seconds)
                self.assertFalse(entry.is_running)
                time.sleep(PAUSE_SECONDS)
                self.fleet.entries[number] = self.fleet.start_entry(1 + number)
                time.sleep(PAUSE_SECONDS)
        finally:
            self.ends.set()
            for caller in callers:
                caller.join(fleets.TIMEOUT_SECONDS)
        self.assertGreater(len(self.results), 100)
        failed = [result for result in self.results if result[1] != 200]
        self.assertEqual(failed, [])
        self.assertLess(max(seconds for _, _, seconds in self.results), MAX_SECONDS)


class TestLateTimers(fleets.FleetTestCase):
    """A stopping entry whose loop was held up."""

    # Guards against a process that ends before it has refused connections and told its idle
    # callers, since the check for its end runs before the timer at the end of the accept period.
    def test_idle_callers_are_told_the_end_before_the_process_ends(self):
        fleet = self.start_serving(controls=1, entries=1)
        [entry] = fleet.entries
        host, _, port = fleet.settings(1).listen.callers.rpartition(":")
        sock = socket.create_connection((host, int(port)), fleets.TIMEOUT_SECONDS)
        self.addCleanup(sock.close)
        sock.sendall(REFUSED_REQUEST)
        # Head and body may arrive one after the other.
        self.assertEqual(test_server.read_response(sock)[0], 401)

        def _stop_late() -> bool:
            gateway = entry.daemon
            gateway.begin_stop()
            gateway._request_handler._stop_began_at -= gateway._settings.bounds.accept_seconds + 0.1
            gateway._stop_if_drained()
            return gateway.loop._stop_requested

        self.assertFalse(entry.call(_stop_late))
        entry.thread.join(fleets.TIMEOUT_SECONDS)
        self.assertFalse(entry.is_running)
        self.assertEqual(test_server.read_response(sock)[0], 408)
