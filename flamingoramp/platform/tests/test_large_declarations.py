"""Tests of declarations of 2,000 routes in a deployment on loopback."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any

from flamingoramp.platform import declarations
from flamingoramp.platform.tests import fleet as fleets

ROUTE_COUNT = 2000
# Time in which all entries report the version that they have.
REPORT_SECONDS = 1.5
MAX_SPREAD_SECONDS = 2.0


def make_routes(timeout_ms: int = 5000) -> list[dict[str, Any]]:
    """Return the routes of a fleet and many others, of which one has the given timeout."""
    routes = fleets.make_document(1)["routes"]
    for number in range(ROUTE_COUNT):
        prefix = f"/route{number}/"
        routes.append({**routes[1], "name": f"route {number}", "path_prefix": prefix})
    routes[ROUTE_COUNT // 2]["timeout_ms"] = timeout_ms
    return routes


class TestLargeDeclarations(fleets.FleetTestCase):
    """Versions reach the entries as differences, or whole if a difference isn't possible."""

    def start_large(self, **options: Any) -> fleets.Fleet:
        fleet = self.make_fleet(**options)
        fleet.declare(1, routes=make_routes())
        fleet.wait_in_force(1)
        time.sleep(REPORT_SECONDS)
        return fleet

    def count_sent(self, fleet: fleets.Fleet, name: str) -> float:
        """Return a counter, added up over the control hosts."""
        return sum(
            sum(control.daemon.process.metrics._counters.get(name, {}).values())
            for control in fleet.controls
        )

    def assert_spread(self, fleet: fleets.Fleet, version: int) -> None:
        """Declare a version and wait until it is in force everywhere, in time and complete."""
        timeout_ms = 1000 + version
        fleet.declare(version, routes=make_routes(timeout_ms))
        acknowledged_at = time.monotonic()
        fleet.wait_in_force(version)
        self.assertLess(time.monotonic() - acknowledged_at, MAX_SPREAD_SECONDS)
        document = fleets.make_document(version, routes=make_routes(timeout_ms))
        expected = declarations.decode(json.dumps(document).encode())
        for entry in fleet.entries:
            self.assertEqual(entry.daemon.declaration, expected)

    def test_small_changes_are_sent_as_differences(self):
        fleet = self.start_large()
        documents_before = self.count_sent(fleet, "declaration_documents_sent")
        for version in range(2, 8):
            self.assert_spread(fleet, version)
        self.assertEqual(self.count_sent(fleet, "declaration_documents_sent"), documents_before)
        delta_count = self.count_sent(fleet, "declaration_deltas_sent")
        self.assertGreaterEqual(delta_count, 6 * len(fleet.entries))

    def test_requests_beside_a_storm_of_versions_are_answered(self):
        fleet = self.start_large(controls=1, entries=1)
        fleet.add_server("d1", "desk")
        answers: list[fleets.Answer] = []
        seen_versions: list[int] = []
        for version in range(2, 30):
            fleet.declare(version, routes=make_routes(1000 + version))
            answers.append(self.send(fleet, "read"))
            seen_versions.append(fleet.entries[0].daemon.declaration.version)
        acknowledged_at = time.monotonic()
        fleet.wait_in_force(version)
        self.assertLess(time.monotonic() - acknowledged_at, MAX_SPREAD_SECONDS)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(seen_versions, sorted(seen_versions))

    def test_versions_are_in_force_after_restarts_of_control_hosts_and_entries(self):
        fleet = self.start_large(entries=2)
        self.assert_spread(fleet, 2)
        for index in range(3):
            fleet.controls[index].stop()
            fleet.controls[index] = fleet.start_control(index)
            self.assert_spread(fleet, 3 + index)
        fleet.entries[0].stop()
        fleet.entries[0] = fleet.start_entry(3)
        fleet.wait_in_force(5)
        self.assert_spread(fleet, 6)

    def test_other_content_under_the_version_held_changes_nothing(self):
        fleet = self.start_large(entries=1)
        declaration = fleet.entries[0].daemon.declaration
        fleet.declare(1, routes=make_routes(77))
        time.sleep(REPORT_SECONDS)
        self.assertIs(fleet.entries[0].daemon.declaration, declaration)


if __name__ == "__main__":
    unittest.main()
