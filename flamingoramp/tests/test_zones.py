"""Tests of evacuated zones in a deployment of real processes."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time
import unittest

from bench import client, fleets
from flamingoramp import errors
from flamingoramp.runtime import clock, http_client
from flamingoramp.tests import small_fleets

# An entry renews its session every quarter of a second; 5 s is what operators are promised.
EFFECT_SECONDS = 5.0
LOAD_SECONDS = 10.0
REQUESTS_PER_SECOND = 5.0


class TestZones(unittest.TestCase):
    """An operator evacuates a zone by the command line, and restores it."""

    def setUp(self):
        self.small_fleet = small_fleets.SmallFleet(engines=6)
        self.addCleanup(self.small_fleet.close)
        self.fleet = self.small_fleet.fleet
        self.engines = [name for name in self.fleet.server_urls if name.startswith("design-llm")]

    def run_command(self, *arguments: str) -> dict:
        command = [sys.executable, "-m", "flamingoramp.cli.main", "zone", *arguments, "--json"]
        command += ["--settings", str(self.fleet.settings_path)]
        completed = subprocess.run(
            command, capture_output=True, text=True, cwd=fleets.ROOT, timeout=60
        )
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return json.loads(completed.stdout)

    def engines_used_since(self, since: float) -> set[str]:
        """Return the servers that requests were granted since a Unix time."""
        return {
            server
            for event in self.small_fleet.fetch_timeline()
            if event["kind"] == "request.granted" and clock.to_unix_seconds(event["clock"]) > since
            for server in event["fields"]["servers"]
        }

    def zone_of(self, engine: str) -> str:
        number = int(engine.rpartition("-")[2])
        return self.fleet.zones[number % len(self.fleet.zones)]

    # Load pattern: steady requests while a zone is evacuated, and all control hosts restart.
    def test_nothing_new_reaches_an_evacuated_zone(self):
        requests = [
            small_fleets.make_request(f"r{number}", at=number / REQUESTS_PER_SECOND)
            for number in range(int(LOAD_SECONDS * REQUESTS_PER_SECOND))
        ]
        results = []
        load = threading.Thread(
            target=lambda: results.extend(client.LoadClient(self.fleet.entry_urls, 1).run(requests))
        )
        load.start()
        answer = self.run_command("evacuate", "zone-1")
        self.assertEqual(answer["evacuated_zones"], ["zone-1"])
        self.assertEqual(answer["zones"], ["zone-0", "zone-1", "zone-2"])
        acknowledged_at = time.time()
        load.join()
        small_fleets.assert_all_complete(self, results, len(requests))
        late = self.engines_used_since(acknowledged_at + EFFECT_SECONDS)
        self.assertTrue(late)
        self.assertNotIn("zone-1", {self.zone_of(engine) for engine in late})

    def test_evacuation_survives_the_restart_of_all_control_hosts(self):
        self.run_command("evacuate", "zone-1")
        names = [f"control-{host.name}" for host in self.fleet.settings.control_hosts]
        for name in names:
            self.fleet.kill(name)
        for name in names:
            self.fleet.restart(name)
        self.fleet.wait_leader()
        self.assertEqual(self.run_command("list")["evacuated_zones"], ["zone-1"])
        self.assertEqual(self.run_command("restore", "zone-1")["evacuated_zones"], [])

    def test_invalid_orders_are_refused(self):
        control = self.fleet.make_control_client()
        with self.assertRaises(errors.UnknownZoneError):
            control.request("POST", "/v1/zones", {"zone": "other", "evacuated": True})
        for body in ({"zone": 7, "evacuated": True}, {"zone": "zone-1"}, [1]):
            with self.subTest(body=body), self.assertRaises(errors.BadRequestError):
                control.request("POST", "/v1/zones", body)
        url = self.fleet.settings.control_hosts[0].control_url
        self.assertEqual(http_client.fetch(url + "/v1/zones", method="PUT").status, 400)
