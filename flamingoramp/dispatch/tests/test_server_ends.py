"""Tests of the checks whether a server that broke off a request has ended."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import crash_evidence, server_ends
from flamingoramp.dispatch.tests import test_request_handler
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.runtime import metrics, virtual_time


class FakePool:
    """Connection pool whose checks of servers the test answers."""

    def __init__(self):
        self.checks: list = []

    def check_listening(self, address, on_result) -> None:
        self.checks.append(on_result)


class TestServerEndChecks(unittest.TestCase):
    """Broken connections of servers that ended, and of others."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = FakePool()
        self.servers = registry.Registry()
        self.record = messages.ServerRecord("s", "llm", address="s:1", sequence=1, born=1)
        self.servers.update_server(self.record, 0.0)
        self.evidence = crash_evidence.CrashEvidence()
        self.checks = server_ends.ServerEndChecks(
            self.loop,
            self.pool,
            server_registry=self.servers,
            evidence=self.evidence,
            log=test_request_handler.FakeLog(),
            metrics=metrics.Metrics(),
        )

    def update(self, **changes) -> None:
        self.servers.update_server(attrs.evolve(self.record, sequence=2, **changes), 0.0)

    def break_off(self) -> None:
        self.checks.handle_break(self.record, ("c",), self.loop.now())

    def confirmed_count(self) -> int:
        return len(self.evidence.drain_records(self.loop.now()))

    def test_server_without_a_listener_has_ended(self):
        self.break_off()
        self.pool.checks[0](False)
        self.assertEqual(self.confirmed_count(), 1)

    # Guards against contents that are refused since connections to sound servers broke.
    def test_server_that_listens_and_goes_on_has_not_ended(self):
        for is_listening in (True, None):
            self.break_off()
            self.pool.checks[-1](is_listening)
            self.loop.advance(server_ends.CONFIRMATION_SECONDS + 0.1)
            self.checks.handle_announcements()
            self.assertEqual((self.confirmed_count(), self.evidence.suspect_count), (0, 0))

    def test_server_that_announces_a_new_start_has_ended(self):
        self.break_off()
        self.pool.checks[0](True)
        self.checks.handle_announcements()
        self.assertEqual(self.confirmed_count(), 0)
        self.update(born=2)
        self.checks.handle_announcements()
        self.assertEqual(self.confirmed_count(), 1)

    def test_other_server_at_its_address_shows_that_it_has_ended(self):
        self.break_off()
        other = messages.ServerRecord("t", "llm", address="s:1", sequence=1, born=2)
        self.servers.update_server(other, 1.0)
        self.checks.handle_announcements()
        self.assertEqual(self.confirmed_count(), 1)

    def test_end_of_a_leaving_server_is_no_crash(self):
        for changes in ({"leaving": True}, {"gone": True}):
            self.update(**changes)
            self.break_off()
            self.assertEqual((self.pool.checks, self.evidence.suspect_count), ([], 0))

    def test_several_broken_requests_are_checked_once(self):
        self.break_off()
        self.break_off()
        self.assertEqual(len(self.pool.checks), 1)
