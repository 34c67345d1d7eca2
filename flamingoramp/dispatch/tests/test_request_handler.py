"""Tests of requests that a `RequestHandler` receives before its first traffic declaration."""

from __future__ import annotations

import unittest
from unittest import mock

import attrs

from flamingoramp import dialect
from flamingoramp.dispatch import request_handler
from flamingoramp.dispatch.tests import test_forwarding
from flamingoramp.intent import traffic
from flamingoramp.membership import evacuated_zones, registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table
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


class FakeDialect(test_forwarding.FakeDialect):
    """Decodes every request as one for the route ``read``."""

    remaining_seconds = 5.0

    def decode_request(self, _request) -> dialect.CallerRequest:
        return dialect.CallerRequest("r1", "h", "/", remaining_seconds=self.remaining_seconds)


class FakeLog:
    """Records the names of events."""

    def __init__(self):
        self.events: list[str] = []

    def write(self, event, _request="", **_fields) -> None:
        self.events.append(event)


class HandlerCase(unittest.TestCase):
    """Base of tests with a handler and one server."""

    awaits_zone_update = False

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = test_forwarding.FakePool()
        self.dialect = FakeDialect()
        self.servers = registry.Registry()
        self.add_server()
        self.log = FakeLog()
        self.metrics = metrics.Metrics()
        self.zones = evacuated_zones.EvacuatedZones()
        self.handler = request_handler.RequestHandler(
            self.loop,
            self.pool,
            self.dialect,
            server_registry=self.servers,
            server_loads=load_table.LoadTable(),
            log=self.log,
            metrics=self.metrics,
            bounds=node_settings.BoundSettings(),
            zone="a",
            evacuations=self.zones,
            awaits_zone_update=lambda: self.awaits_zone_update,
        )

    def add_server(self, name: str = "s1", zone: str = "a") -> None:
        record = messages.ServerRecord(name, "s", address=f"{name}:1", zone=zone, sequence=1)
        self.servers.update_server(record, self.loop.now())

    def remove_server(self) -> None:
        record = attrs.evolve(self.servers.find_server("s1"), gone=True)
        self.servers.update_server(record, self.loop.now())

    def send_request(self) -> test_forwarding.FakeExchange:
        exchange = test_forwarding.FakeExchange()
        exchange.arrived_at = self.loop.now()
        self.handler.handle_request(exchange)
        return exchange


class TestBeforeTheFirstDeclaration(HandlerCase):
    """Callers reconnect to an entry that has just started and has no declaration."""

    def test_unexpected_error_fails_only_the_request_that_caused_it(self):
        self.handler.apply_declaration(DECLARATION)
        with mock.patch.object(self.pool, "send", side_effect=ZeroDivisionError):
            exchange = test_forwarding.FakeExchange()
            with self.assertRaises(ZeroDivisionError):
                self.handler.handle_request(exchange)
        self.assertEqual((exchange.status, exchange.end_state), (500, "finished"))
        self.send_request()
        self.assertEqual(len(self.pool.calls), 1)

    def test_queued_requests_are_started_after_one_that_causes_an_error(self):
        exchanges = [self.send_request() for _ in range(3)]
        with (
            mock.patch.object(self.pool, "send", side_effect=ZeroDivisionError),
            self.assertRaises(ZeroDivisionError),
        ):
            self.handler.apply_declaration(DECLARATION)
        self.loop.advance(10 * request_handler.QUEUE_RELEASE_SECONDS)
        self.assertEqual([exchange.status for exchange in exchanges].count(500), 1)
        self.assertEqual(len(self.pool.calls), 2)

    def test_starts_a_queued_request_when_the_declaration_arrives(self):
        exchange = self.send_request()
        self.assertEqual((exchange.status, self.handler.active_count), (0, 1))
        self.loop.advance(0.8)
        self.handler.apply_declaration(DECLARATION)
        self.assertEqual(len(self.pool.calls), 1)
        time_left_ms = int(self.pool.calls[0].request.header(b"time-left"))
        self.assertEqual(time_left_ms, 4200)

    def test_starts_a_queued_request_when_the_first_server_of_its_service_is_known(self):
        self.remove_server()
        queued_exchange = self.send_request()
        self.loop.advance(0.3)
        self.handler.apply_declaration(DECLARATION)
        later_exchange = self.send_request()
        self.assertEqual((queued_exchange.status, later_exchange.status), (0, 0))
        self.loop.advance(0.3)
        record = messages.ServerRecord("s2", "s", address="s2:1", sequence=1)
        self.servers.update_server(record, self.loop.now())
        self.handler.start_queued()
        self.loop.advance(3 * request_handler.QUEUE_RELEASE_SECONDS)
        self.assertEqual(len(self.pool.calls), 2)

    def test_queued_requests_are_started_one_after_the_other(self):
        """Load pattern: all entries restart, and each has a second of requests in its queue."""
        for _ in range(20):
            self.send_request()
            self.loop.advance(0.02)
        self.handler.apply_declaration(DECLARATION)
        self.assertEqual(len(self.pool.calls), 1)
        self.loop.advance(5 * request_handler.QUEUE_RELEASE_SECONDS)
        self.assertLessEqual(len(self.pool.calls), 15)
        self.loop.advance(40 * request_handler.QUEUE_RELEASE_SECONDS)
        self.assertEqual(len(self.pool.calls), 20)
        self.assertEqual(self.handler.active_count, 20)

    def test_queued_requests_are_started_in_the_order_of_their_arrival(self):
        for _ in range(20):
            self.send_request()
            self.loop.advance(0.02)
        self.handler.apply_declaration(DECLARATION)
        arrival_times: list[float] = []
        for _ in range(1000):
            for call in self.pool.calls[len(arrival_times) :]:
                waited = 5.0 - int(call.request.header(b"time-left")) / 1000
                arrival_times.append(self.loop.now() - waited)
            self.loop.advance(0.001)
        self.assertEqual(len(arrival_times), 20)
        self.assertEqual(arrival_times, sorted(arrival_times))

    def test_refuses_a_queued_request_if_no_server_is_known_after_the_maximum_queue_time(self):
        self.remove_server()
        self.handler.apply_declaration(DECLARATION)
        exchange = self.send_request()
        self.loop.advance(request_handler.MAX_QUEUE_SECONDS - 0.01)
        self.assertEqual(exchange.status, 0)
        self.loop.advance(0.02)
        self.assertEqual(exchange.status, 503)

    def test_refuses_at_once_without_a_server_after_the_expected_startup_time(self):
        self.remove_server()
        self.handler.apply_declaration(DECLARATION)
        self.loop.advance(request_handler.EXPECTED_STARTUP_SECONDS + 0.01)
        self.assertEqual(self.send_request().status, 503)

    def test_refuses_a_queued_request_after_the_maximum_queue_time(self):
        exchange = self.send_request()
        self.loop.advance(request_handler.MAX_QUEUE_SECONDS - 0.01)
        self.assertEqual(exchange.status, 0)
        self.loop.advance(0.02)
        self.assertEqual(exchange.status, 503)
        self.handler.apply_declaration(DECLARATION)
        self.assertEqual(self.pool.calls, [])

    def test_refuses_earlier_when_the_caller_has_little_time_left(self):
        self.dialect.remaining_seconds = 0.6
        exchange = self.send_request()
        self.loop.advance(0.6 * request_handler.MAX_QUEUE_TIME_RATIO + 0.01)
        self.assertEqual(exchange.status, 503)

    def test_refuses_at_once_after_the_expected_startup_time(self):
        self.loop.advance(request_handler.EXPECTED_STARTUP_SECONDS + 0.01)
        self.assertEqual(self.send_request().status, 503)

    def test_drops_a_queued_request_when_the_caller_disconnects(self):
        self.send_request().on_disconnect()
        self.assertEqual(self.handler.active_count, 0)
        self.handler.apply_declaration(DECLARATION)
        self.assertEqual(self.pool.calls, [])

    def test_refuses_at_once_when_the_queue_is_full(self):
        queued_exchanges = [self.send_request() for _ in range(request_handler.MAX_QUEUED_REQUESTS)]
        self.assertEqual(self.send_request().status, 503)
        self.assertEqual({exchange.status for exchange in queued_exchanges}, {0})

    def test_queued_requests_are_started_in_the_order_of_their_deadlines(self):
        """Load pattern: all entries restart while callers with much and with little time wait."""
        self.dialect.decode_request = lambda request: dialect.CallerRequest(
            "r1", "h", "/", remaining_seconds=float(request.body)
        )
        for remaining_seconds in (9.0, 5.0, 30.0, 4.0, 7.0):
            exchange = test_forwarding.FakeExchange()
            exchange.request = attrs.evolve(exchange.request, body=b"%f" % remaining_seconds)
            exchange.arrived_at = self.loop.now()
            self.handler.handle_request(exchange)
        self.handler.apply_declaration(DECLARATION)
        self.loop.advance(20 * request_handler.QUEUE_RELEASE_SECONDS)
        started = [float(call.request.body) for call in self.pool.calls]
        self.assertEqual(started, [4.0, 5.0, 7.0, 9.0, 30.0])

    def test_many_entries_start_queued_requests_slowly_on_the_few_servers_known(self):
        """Load pattern: 112 entries restart, 4 requests each, while one server is known."""
        random_patch = mock.patch.object(request_handler.random, "random", return_value=0.5)
        random_patch.start()
        self.addCleanup(random_patch.stop)
        self.handler.entry_count = 112
        for _ in range(4):
            self.send_request()
        self.handler.apply_declaration(DECLARATION)
        mean_seconds = 112 * request_handler.QUEUE_RELEASE_SECONDS_PER_SERVER
        self.loop.advance(mean_seconds / 10)
        self.assertEqual(len(self.pool.calls), 1)
        for number in range(2, 60):
            record = messages.ServerRecord(f"s{number}", "s", address=f"s{number}:1", sequence=1)
            self.servers.update_server(record, self.loop.now())
        self.loop.advance(3 * mean_seconds)
        self.assertEqual(len(self.pool.calls), 4)


class TestEvacuation(HandlerCase):
    """Requests while the zones of some or all servers are evacuated."""

    def setUp(self):
        super().setUp()
        self.handler.apply_declaration(DECLARATION)

    def evacuate(self, number: int, *zones: str) -> None:
        self.zones.apply(number, zones)
        self.handler.handle_zone_change()

    def skip_startup(self) -> None:
        self.loop.advance(request_handler.EXPECTED_STARTUP_SECONDS + 0.01)

    def sent_addresses(self) -> list[str]:
        return [call.address for call in self.pool.calls]

    def test_load_goes_to_the_servers_of_the_other_zones(self):
        """Load pattern: steady requests while a zone is evacuated and restored."""
        self.add_server("s2", "b")
        for _ in range(20):
            self.send_request()
        self.assertEqual(set(self.sent_addresses()), {"s1:1", "s2:1"})
        self.pool.calls.clear()
        self.evacuate(3, "a")
        for _ in range(20):
            self.send_request()
        self.assertEqual(set(self.sent_addresses()), {"s2:1"})
        self.pool.calls.clear()
        self.evacuate(5)
        for _ in range(40):
            self.send_request()
        self.assertEqual(set(self.sent_addresses()), {"s1:1", "s2:1"})

    def test_requests_of_a_service_without_another_zone_are_refused_at_once(self):
        self.skip_startup()
        self.evacuate(3, "a")
        self.assertEqual(self.send_request().status, 503)
        self.assertIn("service.evacuated", self.log.events)
        self.assertIn(b"evacuated_services 1.0", self.metrics.render())
        self.evacuate(4)
        self.assertIn("service.restored", self.log.events)
        self.assertIn(b"evacuated_services 0.0", self.metrics.render())
        self.send_request()
        self.assertEqual(self.sent_addresses(), ["s1:1"])

    def test_starting_entry_queues_until_it_knows_a_server_of_another_zone(self):
        self.evacuate(3, "a")
        self.assertEqual(self.send_request().status, 0)
        self.add_server("s2", "b")
        self.handler.handle_announcements()
        self.assertEqual(self.sent_addresses(), ["s2:1"])

    # Guards against a resumed entry that sends to a zone evacuated while it was suspended.
    def test_requests_wait_while_the_known_zones_may_be_out_of_date(self):
        self.add_server("s2", "b")
        self.skip_startup()
        self.awaits_zone_update = True
        for _ in range(5):
            self.send_request()
        self.loop.advance(0.1)
        self.assertEqual(self.pool.calls, [])
        self.evacuate(3, "a")
        self.awaits_zone_update = False
        self.loop.advance(0.1)
        self.assertEqual(self.sent_addresses(), ["s2:1"] * 5)


class TestServersThatDoNotRespond(HandlerCase):
    """What is known of a server decides how long a request waits for it."""

    # Guards against a request that waits for a server that was taken away, and which is forgotten
    # as unresponsive since its record is gone.
    def test_server_that_is_gone_does_not_respond(self):
        server = self.servers.find_server("s1")
        self.assertFalse(self.handler.is_unresponsive(server))
        self.remove_server()
        self.assertTrue(self.handler.is_unresponsive(server))

    def test_earlier_run_of_a_server_does_not_respond(self):
        first, second = (
            attrs.evolve(self.servers.find_server("s1"), born=born, sequence=born + 1)
            for born in (1, 2)
        )
        self.servers.update_server(first, self.loop.now())
        self.assertFalse(self.handler.is_unresponsive(first))
        self.servers.update_server(second, self.loop.now())
        self.assertTrue(self.handler.is_unresponsive(first))
