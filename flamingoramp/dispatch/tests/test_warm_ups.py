"""Tests of cold servers at one entry, with the rates of its declaration."""

from __future__ import annotations

import unittest
from typing import Any

from flamingoramp.dispatch import warm_ups
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table
from flamingoramp.runtime import metrics, node_settings, virtual_time

DECLARATION = traffic.TrafficDeclaration(
    version=1,
    services=(
        traffic.Service("desk", warm_up_seconds=6.0, warm_up_rate=4.0),
        traffic.Service("other", warm_up_seconds=6.0),
    ),
)


class _Log:
    """Keeps the events that are written."""

    def __init__(self):
        self.events: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, _request: str = "", **fields: Any) -> None:
        self.events.append((event, fields))


class TestServerWarmUps(unittest.TestCase):
    """Which servers have the limit of cold ones, and what is written of them."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.registry = registry.Registry()
        self.loads = load_table.LoadTable("a")
        self.log = _Log()
        self.metrics = metrics.Metrics()
        self.warm_ups = warm_ups.ServerWarmUps(
            self.loop,
            server_registry=self.registry,
            server_loads=self.loads,
            bounds=node_settings.BoundSettings(),
            log=self.log,
            metrics=self.metrics,
        )
        self.loop.advance(10.0)

    def announce(self, server: str, **changes: Any) -> messages.ServerRecord:
        fields = {"service": "desk", "zone": "a", "born": 1, "sequence": 1, **changes}
        record = messages.ServerRecord(server=server, address=f"{server}:1", **fields)
        self.registry.update_server(record, self.loop.now())
        self.warm_ups.record_announcement(record)
        self.warm_ups.apply()
        return record

    def is_limited(self, record: messages.ServerRecord) -> bool:
        return self.loads.statements.is_restricted(record, self.loop.now())

    def test_cold_server_is_limited_from_the_declaration_to_its_end(self):
        cold = self.announce("s", cold_seconds=5.0)
        self.assertFalse(self.is_limited(cold))
        self.warm_ups.apply_declaration(DECLARATION)
        self.assertTrue(self.is_limited(cold))
        self.loop.advance(6.0)
        self.assertFalse(self.is_limited(cold))

    def test_service_without_a_rate_is_served_as_before(self):
        self.warm_ups.apply_declaration(DECLARATION)
        cold = self.announce("s", service="other", cold_seconds=5.0)
        self.warm_ups.assume_zone_cold("a")
        self.warm_ups.log_changes()
        self.assertFalse(self.is_limited(cold))
        self.assertEqual(self.log.events, [])

    def test_limit_ends_with_an_announcement_and_with_the_declared_rate(self):
        self.warm_ups.apply_declaration(DECLARATION)
        first = self.announce("s", cold_seconds=5.0)
        self.announce("s", cold_seconds=0.0, sequence=2)
        self.assertFalse(self.is_limited(first))
        second = self.announce("t", cold_seconds=5.0)
        self.warm_ups.apply_declaration(
            traffic.TrafficDeclaration(version=2, services=(traffic.Service("desk"),))
        )
        self.assertFalse(self.is_limited(second))

    def test_restored_zone_is_cold_for_the_declared_time_at_most(self):
        self.warm_ups.apply_declaration(DECLARATION)
        here, there = self.announce("s"), self.announce("t", zone="b")
        self.warm_ups.assume_zone_cold("a")
        self.assertEqual((self.is_limited(here), self.is_limited(there)), (True, False))
        self.loop.advance(6.5)
        self.assertFalse(self.is_limited(here))

    def test_health_answer_makes_a_server_cold_again(self):
        self.warm_ups.apply_declaration(DECLARATION)
        record = self.announce("s")
        self.warm_ups.record_health_answer(record, 3.0)
        self.assertTrue(self.is_limited(record))

    def test_changes_are_logged_and_counted(self):
        self.warm_ups.apply_declaration(DECLARATION)
        self.announce("s", cold_seconds=5.0)
        self.warm_ups.log_changes()
        self.warm_ups.evict_stale(held_back_count=3)
        self.assertEqual(
            [(event, fields["server"], fields["source"]) for event, fields in self.log.events],
            [("server.warm_up", "s", "announcement")],
        )
        rendered = self.metrics.render().decode()
        for expected in ("cold_servers 1.0", "warm_up_held_back_total 3.0", "warm_ups_total{"):
            self.assertIn(expected, rendered)


if __name__ == "__main__":
    unittest.main()
