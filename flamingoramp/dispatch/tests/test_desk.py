"""Tests of what an entry does with requests before its first declaration."""

from __future__ import annotations

import unittest

from flamingoramp import dialect as dialects
from flamingoramp.dispatch import desk
from flamingoramp.dispatch.tests import test_forwarding
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_book
from flamingoramp.runtime import metrics, node_settings, virtual_time

DECLARATION = traffic.TrafficDeclaration(
    version=1,
    routes=(
        traffic.Route(
            "read",
            "h",
            "/",
            idempotency=traffic.Idempotency.IDEMPOTENT,
            shares=(traffic.TrafficShare("s"),),
            is_public=True,
        ),
    ),
    services=(traffic.Service("s"),),
)


class Dialect(test_forwarding.Dialect):
    """Takes every request for the one route."""

    time_left = 5.0

    def decode_request(self, _request) -> dialects.CallerRequest:
        return dialects.CallerRequest("r1", "h", "/", time_left=self.time_left)


class Log:
    """Keeps the events."""

    def __init__(self):
        self.events: list[str] = []

    def write(self, event, _request="", **_fields) -> None:
        self.events.append(event)


class TestBeforeTheFirstDeclaration(unittest.TestCase):
    """An entry has just started, and its callers come back at once."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = test_forwarding.Pool()
        self.dialect = Dialect()
        known = registry.Registry()
        known.update_server(inner.ServerRecord("s1", "s", address="s1:1", sequence=1), 0.0)
        self.desk = desk.RequestDesk(
            self.loop,
            self.pool,
            self.dialect,
            known=known,
            book=load_book.LoadBook(),
            log=Log(),
            metrics=metrics.Metrics(),
            bounds=node_settings.BoundSettings(),
            zone="a",
            hears_control=lambda: False,
        )

    def ask(self) -> test_forwarding.Exchange:
        exchange = test_forwarding.Exchange()
        exchange.arrived_at = self.loop.now()
        self.desk.handle_request(exchange)
        return exchange

    def test_a_request_is_served_once_the_declaration_comes(self):
        exchange = self.ask()
        self.assertEqual((exchange.status, self.desk.active), (0, 1))
        self.loop.advance(0.8)
        self.desk.adopt(DECLARATION)
        self.assertEqual(len(self.pool.calls), 1)
        left = int(self.pool.calls[0].request.header(b"time-left"))
        self.assertEqual(left, 4200)

    def test_it_is_refused_when_none_comes_in_time(self):
        exchange = self.ask()
        self.loop.advance(desk.MOST_KEPT_SECONDS - 0.01)
        self.assertEqual(exchange.status, 0)
        self.loop.advance(0.02)
        self.assertEqual(exchange.status, 503)
        self.desk.adopt(DECLARATION)
        self.assertEqual(self.pool.calls, [])

    def test_a_caller_in_a_hurry_is_told_early(self):
        self.dialect.time_left = 0.6
        exchange = self.ask()
        self.loop.advance(0.6 * desk.KEPT_SHARE + 0.01)
        self.assertEqual(exchange.status, 503)

    def test_later_ones_are_refused_at_once(self):
        self.loop.advance(desk.EXPECTED_READY_SECONDS + 0.01)
        self.assertEqual(self.ask().status, 503)

    def test_a_caller_that_leaves_is_forgotten(self):
        self.ask().on_gone()
        self.assertEqual(self.desk.active, 0)
        self.desk.adopt(DECLARATION)
        self.assertEqual(self.pool.calls, [])

    def test_no_more_are_kept_than_the_limit(self):
        kept = [self.ask() for _ in range(desk.MOST_KEPT_REQUESTS)]
        self.assertEqual(self.ask().status, 503)
        self.assertEqual({one.status for one in kept}, {0})
