"""Tests of the selection of servers by entries that know nothing of each other yet."""

from __future__ import annotations

import collections
import types
import unittest

import attrs

from flamingoramp import dialect
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table, observations, selection

ENTRY_COUNT = 60
ENGINE_COUNT = 23
SERVICE = traffic.Service("llm", engine=traffic.EngineCostModel(slots=6))
ROUTE = traffic.Route("short", "h", "/", streams=True, latency_objective_seconds=0.3)
DECLARATION = traffic.TrafficDeclaration(1, (ROUTE,), (SERVICE,))
REQUEST = types.SimpleNamespace(
    service="llm",
    route=ROUTE,
    caller=dialect.CallerRequest("r", "h", "/", prompt_tokens=3000, output_tokens=500),
    time_limit_seconds=10.0,
)


class TestAllEntriesRestart(unittest.TestCase):
    """All entries start at once and place the requests that waited for their start."""

    def setUp(self):
        self.registry = registry.Registry()
        for number in range(ENGINE_COUNT):
            record = messages.ServerRecord(
                f"s{number}", "llm", f"10.0.0.{number}:1", "a", sequence=1
            )
            self.registry.update_server(record, 0.0)

    def count_by_engine(self, now: float) -> collections.Counter:
        """Return where entries that started at 100 s place one request each."""
        counts: collections.Counter = collections.Counter()
        for _ in range(ENTRY_COUNT):
            selector = selection.ServerSelector(
                self.registry,
                load_table.LoadTable("a"),
                observations.Observations(),
                zone="a",
                started_at=100.0,
            )
            target = selector.choose(DECLARATION, REQUEST, set(), now=now)
            counts[target.server.server] += 1
        return counts

    # Guards against queued requests of all entries that go to the same few engines.
    def test_first_requests_of_all_entries_are_spread_over_the_engines(self):
        counts = self.count_by_engine(now=100.5)
        self.assertGreaterEqual(len(counts), ENGINE_COUNT / 2)
        self.assertLessEqual(max(counts.values()), 4 * ENTRY_COUNT / ENGINE_COUNT)

    def test_entry_that_knows_the_load_of_others_chooses_the_engine_of_least_cost(self):
        self.assertEqual(len(self.count_by_engine(now=110.0)), 1)

    # Guards against requests that go to a few engines while control hosts are cut off from each
    # other, and the announcements of all others are missing.
    def test_engines_whose_announcements_are_missing_are_used(self):
        for record in self.registry.servers()[3:]:
            self.registry.update_server(attrs.evolve(record, silent=True), 1.0)
        counts = self.count_by_engine(now=100.5)
        self.assertGreaterEqual(len(counts), ENGINE_COUNT / 2)


if __name__ == "__main__":
    unittest.main()
