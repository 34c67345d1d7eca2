"""End-to-end tests of cold servers, and of the settings for them."""

from __future__ import annotations

import json
import pathlib
import re
import tempfile
import time
import unittest

from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.runtime import node_settings

TEMPLATE = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "settings.json"
COLD_SECONDS = 6.0
COLD_PER_SECOND = 4.0
# Requests that a cold server may get in any second, as on the platform.
ALLOWED_IN_SECOND = 1.5 * COLD_PER_SECOND + 5
REQUESTS_PER_SECOND = 40.0
# Until all entries have the announcement of a new start.
ANNOUNCEMENT_SECONDS = 0.5


def most_in_second(times: list[float]) -> int:
    """Return the largest number of times within one second."""
    return max((sum(start <= time < start + 1.0 for time in times) for start in times), default=0)


class TestColdServers(fleets.FleetTestCase):
    """Servers that count the requests that arrive while they are cold."""

    def start(self, entries: int, *, cold_count: int, warm_count: int):
        fleet = self.make_fleet(entries=entries)
        services = [
            {"name": "llm"},
            {"name": "desk", "cold_s": COLD_SECONDS, "cold_per_s": COLD_PER_SECOND},
        ]
        fleet.declare(1, services=services)
        fleet.wait_in_force(1)
        for number in range(warm_count):
            fleet.add_server(f"warm-{number}", "desk")
        cold = [
            fleet.add_server(
                f"cold-{number}", "desk", fake_server.Behaviour(cold_seconds=COLD_SECONDS)
            )
            for number in range(cold_count)
        ]
        return fleet, cold

    def check_rates(self, servers: list[fake_server.FakeServer], begin: float) -> None:
        for server in servers:
            times = [
                arrived for arrived in server.arrival_times if begin < arrived < server.cold_until
            ]
            with self.subTest(server=server.name):
                self.assertLessEqual(most_in_second(times), ALLOWED_IN_SECOND)

    # Guards against engines that crash since they get their full share right after a start.
    def test_rate_of_cold_servers_holds_for_all_entries_together(self):
        for entries in (2, 6):
            with self.subTest(entries=entries):
                fleet, cold = self.start(entries, cold_count=2, warm_count=1)
                answers = self.send_load(fleet, ("read",), rate=REQUESTS_PER_SECOND, seconds=5.0)
                self.assertTrue(all(answer.status == 200 for answer in answers["read"]))
                self.check_rates(cold, 0.0)
                self.assertTrue(all(server.arrival_times for server in cold))

    def test_new_start_under_an_old_id_is_cold(self):
        fleet, (server,) = self.start(2, cold_count=1, warm_count=1)
        fleets.wait_for(lambda: time.monotonic() > server.cold_until + 0.5, "the warm server")
        server.restart()
        time.sleep(ANNOUNCEMENT_SECONDS)
        begin = time.monotonic()
        self.send_load(fleet, ("read",), rate=REQUESTS_PER_SECOND, seconds=3.0)
        self.check_rates([server], begin)

    def test_rest_is_refused_at_once_with_a_time_if_all_servers_are_cold(self):
        fleet, cold = self.start(2, cold_count=1, warm_count=0)
        answers = self.send_load(fleet, ("read",), rate=REQUESTS_PER_SECOND, seconds=4.0)["read"]
        self.check_rates(cold, 0.0)
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual({answer.status for answer in answers}, {200, 503})
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            self.assertLess(float(answer.headers["retry-after"]), 1.5 * COLD_SECONDS)


class TestSettings(unittest.TestCase):
    """The template of the settings, with and without the values for cold servers."""

    def load(self, values: dict[str, object]) -> node_settings.NodeSettings:
        text = TEMPLATE.read_text()
        text = re.sub(
            r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
            lambda match: match[2] if match[1] in values else "",
            text,
            flags=re.DOTALL,
        )
        document = json.loads(
            re.sub(
                r"\{\{([\w.]+)(\|json)?\}\}",
                lambda match: json.dumps(values[match[1]]) if match[2] else str(values[match[1]]),
                text,
            )
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(json.dumps(document))
            return node_settings.load(str(path))

    def test_template_is_valid_with_and_without_values(self):
        values = {
            "node": "n",
            "zone": "a",
            "bind_ip": "127.0.0.1",
            "internal_ports": [1000, 1002],
            "seed_addrs": ["127.0.0.1:1003"],
            "bootstrap": False,
            "data_dir": "/data",
            "listen.front": "127.0.0.1:1",
            "listen.ready": "127.0.0.1:2",
            "listen.directory": "127.0.0.1:3",
            "listen.control": "127.0.0.1:4",
            "heartbeat_ms": 1200,
            "thresholds.grace_s": 8,
            "thresholds.retry_ratio": 0.2,
            "thresholds.retry_slack": 20,
            "thresholds.retry_window_s": 10,
            "limits.memory_mb": 112,
        }
        bounds = self.load(values).bounds
        self.assertEqual((bounds.warm_up_excess_ratio, bounds.warm_up_excess_requests), (1.5, 5))
        bounds = self.load(
            {**values, "thresholds.cold_over": 1.2, "thresholds.cold_slack": 2}
        ).bounds
        self.assertEqual((bounds.warm_up_excess_ratio, bounds.warm_up_excess_requests), (1.2, 2))
