"""Tests of the checks whether an entry reaches any server."""

from __future__ import annotations

import unittest

from flamingoramp.dispatch import reachability
from flamingoramp.dispatch.tests import test_request_handler
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.runtime import metrics, virtual_time

CHECK_SECONDS = 0.25


class FakePool:
    """Connection pool in which a check of a server ends as ``outcomes`` says, by address."""

    def __init__(self, loop: virtual_time.VirtualLoop):
        self._loop = loop
        self.outcomes: dict[str, bool | None] = {}
        self.check_count = 0

    def check_listening(self, address, on_result) -> None:
        self.check_count += 1
        outcome = self.outcomes.get(address, True)
        seconds = CHECK_SECONDS if outcome is None else 0.001
        self._loop.call_later(seconds, lambda: on_result(outcome))


class TestReachability(unittest.TestCase):
    """Entries that are cut off from all servers, and servers that fail."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = FakePool(self.loop)
        self.servers = registry.Registry()
        self.changes: list[bool] = []
        self.checks = reachability.ReachabilityChecks(
            self.loop,
            self.pool,
            server_registry=self.servers,
            log=test_request_handler.FakeLog(),
            metrics=metrics.Metrics(),
            on_change=lambda: self.changes.append(self.checks.is_cut_off),
            evacuations=("evacuated",),
        )
        self.add_servers(range(8))

    def add_servers(self, numbers: range, **fields) -> None:
        for number in numbers:
            record = messages.ServerRecord(
                f"s{number}", "llm", address=f"s{number}:1", sequence=1, **fields
            )
            self.servers.update_server(record, 0.0)

    def fail_servers(self, outcome: bool | None, count: int) -> None:
        self.pool.outcomes = {f"s{number}:1": outcome for number in range(count)}
        self.checks.handle_failure()
        self.loop.advance(CHECK_SECONDS + 0.01)

    def test_entry_that_reaches_no_server_is_cut_off(self):
        for outcome in (False, None):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.fail_servers(outcome, 8)
                self.assertEqual(self.changes, [True])

    def test_servers_of_evacuated_zones_tell_nothing_of_a_cut(self):
        self.add_servers(range(8, 100), zone="evacuated")
        self.fail_servers(None, 8)
        self.assertEqual(self.changes, [True])

    # Guards against an entry that takes a few failed servers for a cut of its own links.
    def test_entry_that_reaches_some_servers_is_not_cut_off(self):
        self.fail_servers(None, reachability.SERVERS_PER_CHECK - 1)
        self.assertFalse(self.checks.is_cut_off)

    def test_end_of_a_cut_is_noticed_without_requests(self):
        self.fail_servers(None, 8)
        self.pool.outcomes = {}
        self.loop.advance(reachability.CHECK_INTERVAL_SECONDS + CHECK_SECONDS + 0.01)
        self.assertEqual(self.changes, [True, False])
        count = self.pool.check_count
        self.loop.advance(10.0)
        self.assertEqual(self.pool.check_count, count)

    def test_checks_are_bounded_however_many_attempts_fail(self):
        self.pool.outcomes = {"s0:1": None}
        for _ in range(1000):
            self.checks.handle_failure()
            self.loop.advance(0.01)
        checks = 10.0 / reachability.CHECK_INTERVAL_SECONDS + 1
        self.assertLessEqual(self.pool.check_count, reachability.SERVERS_PER_CHECK * checks)

    def test_entry_without_known_servers_checks_none(self):
        self.servers = registry.Registry()
        self.checks._registry = self.servers
        self.checks.handle_failure()
        self.assertFalse(self.checks.is_cut_off)
