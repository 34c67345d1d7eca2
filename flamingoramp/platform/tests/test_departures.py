"""End-to-end tests of departures of backend servers that were acknowledged to them."""

from __future__ import annotations

import pathlib
import time

from flamingoramp.daemons import server_records
from flamingoramp.membership import departures, server_records_file
from flamingoramp.platform.tests import fleet as fleets

# Time for which callers send requests after a restart.
OBSERVED_SECONDS = 3.0
REQUESTS_PER_SECOND = 20.0
METHODS = ("DELETE", "PUT")


class DepartureCase(fleets.FleetTestCase):
    """Base of tests with two servers of a service, of which one departs and goes on serving."""

    def start_fleet(self, **options) -> fleets.Fleet:
        fleet = self.start_serving(**options)
        self.departing = fleet.add_server("departing", "desk")
        self.staying = fleet.add_server("staying", "desk")
        for index in range(len(fleet.controls)):
            fleets.wait_for(
                lambda index=index: self.is_recorded(fleet, index), "the servers on the disk"
            )
        return fleet

    def is_recorded(self, fleet: fleets.Fleet, index: int) -> bool:
        path = pathlib.Path(fleet.folder, f"data-{index}", server_records.FILE_NAME)
        records = server_records_file.load(path, time.time())
        return {record.server for record in records} == {"departing", "staying"}

    def depart(self, fleet: fleets.Fleet, method: str, index: int = 0) -> fleets.Answer:
        """Tell a control host once that a server departs; return the answer."""
        self.departing.drain()
        self.departing.stop_announcing()
        body = b"" if method == "DELETE" else self.departing.make_announcement()
        return fleets.send_request(
            fleet.seeds[index], method, "/v1/instances/departing", body=body, timeout=2.0
        )

    def check_departed(self, fleet: fleets.Fleet) -> None:
        """Check that callers are served, by the other server only."""
        for entry in fleet.entries:
            fleets.wait_for(lambda entry=entry: entry.daemon.declaration, "the declaration")
        since = time.monotonic()
        answers = self.send_load(
            fleet, ("read",), rate=REQUESTS_PER_SECOND, seconds=OBSERVED_SECONDS
        )
        self.assertEqual({answer.status for answer in answers["read"]}, {200})
        arrivals = [at for at in list(self.departing.arrival_times) if at > since]
        self.assertEqual(arrivals, [], "requests reached the server that had departed")


class TestLossOfAllProcesses(DepartureCase):
    """All processes are killed right after a departure was acknowledged, and start again."""

    # Guards against departures that are acknowledged from memory, while the disk has the server as
    # available.
    def test_acknowledged_departures_are_kept(self):
        for method in METHODS:
            with self.subTest(method=method):
                fleet = self.start_fleet()
                self.assertEqual(self.depart(fleet, method).status, 200)
                fleet.restart_all()
                self.check_departed(fleet)

    # Guards against departures that only the host which acknowledged them has on its disk.
    def test_departure_is_kept_if_the_disk_of_the_host_that_acknowledged_it_is_lost(self):
        for index in range(3):
            with self.subTest(index=index):
                fleet = self.start_fleet()
                self.assertEqual(self.depart(fleet, "DELETE", index).status, 200)
                fleet.restart_all(lost_disk=index)
                self.check_departed(fleet)

    def test_server_that_starts_anew_is_used_again(self):
        fleet = self.start_fleet()
        self.assertEqual(self.depart(fleet, "DELETE").status, 200)
        fleet.restart_all()
        self.departing.start_anew()
        for entry in fleet.entries:
            fleets.wait_for(
                lambda entry=entry: [
                    record
                    for record in entry.daemon.registry.servers()
                    if (record.server, record.born) == ("departing", 2)
                ],
                "the new start at an entry",
            )
        for _ in range(40):
            self.send(fleet, "read")
        self.assertTrue(self.departing.arrival_times)


class TestWithoutQuorum(DepartureCase):
    """Too few control hosts are up to keep what they would acknowledge."""

    # Guards against acknowledgements of one host alone, which the others might never hear of.
    def test_departure_takes_effect_but_is_not_acknowledged(self):
        fleet = self.start_fleet()
        fleet.stop_controls(1, 2)
        for method in METHODS:
            self.assertEqual(self.depart(fleet, method).status, 503)
        self.check_departed(fleet)
        fleet.start_controls(1, 2)
        # The hosts tell each other, so that no further call of the server is needed.
        for control in fleet.controls:
            fleets.wait_for(
                lambda control=control: control.daemon.replicated_state.departures.contains(
                    departures.Departure("departing", 1, True)
                ),
                "the committed departure",
            )
        self.assertEqual(self.depart(fleet, "DELETE").status, 200)
