"""Tests of a `RequestHandler` whose entry is stopped: admission, queues and the end."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import request_handler, stop_admission
from flamingoramp.dispatch.tests import contended_entries, test_forwarding, test_request_handler
from flamingoramp.http import client
from flamingoramp.runtime import node_settings

BOUNDS = node_settings.BoundSettings()
ANSWER_SECONDS = 1.0
LIMIT_SECONDS = 60.0
ANSWER_HEAD = client.Head(200, ((b"answer-kind", b"answer"), (b"content-length", b"0")))
# After the accept period; an answer of `ANSWER_SECONDS` would end in time, a longer one not.
LATE_SECONDS = 5.0


class StoppingHandlerCase(test_request_handler.HandlerCase):
    """Base of tests whose callers and route wait far longer than the stop."""

    def setUp(self):
        super().setUp()
        self.dialect.remaining_seconds = LIMIT_SECONDS

    def apply_declaration(self) -> None:
        [route] = test_request_handler.DECLARATION.routes
        route = attrs.evolve(route, timeout_seconds=LIMIT_SECONDS)
        self.handler.apply_declaration(
            attrs.evolve(test_request_handler.DECLARATION, routes=(route,))
        )

    def answer(self, seconds: float) -> None:
        """Have the server answer the request that was sent last after a time."""
        self.loop.advance(seconds)
        receiver = self.pool.calls[-1].receiver
        receiver.handle_head(ANSWER_HEAD)
        receiver.handle_complete()

    def refusals(self, reason: stop_admission.Reason) -> int:
        line = f'stop_refusals_total{{reason="{reason}"}} '
        found = [item for item in self.metrics.render().decode().splitlines() if line in item]
        return int(float(found[0].rpartition(" ")[2])) if found else 0

    def assert_refused(self, exchange: test_forwarding.FakeExchange) -> None:
        self.assertEqual((exchange.status, exchange.end_state), (503, "finished"))
        self.assertEqual(dict(exchange.headers)[b"code"], errors.StoppingError.code.encode())


class TestAdmission(StoppingHandlerCase):
    """Requests that are complete during the stop."""

    def setUp(self):
        super().setUp()
        self.apply_declaration()

    def observe(self, seconds: float) -> None:
        """Serve a request, so that the duration of its answer is known."""
        self.send_request()
        self.answer(seconds)

    def test_answers_that_were_observed_to_end_in_time_are_taken_on(self):
        self.observe(ANSWER_SECONDS)
        self.handler.begin_stop()
        self.loop.advance(LATE_SECONDS)
        exchange = self.send_request()
        self.assertEqual((exchange.status, len(self.pool.calls)), (0, 2))

    def test_answers_that_were_observed_to_take_longer_are_refused(self):
        self.observe(4.5)
        self.handler.begin_stop()
        self.loop.advance(LATE_SECONDS)
        self.assert_refused(self.send_request())
        self.assertEqual(len(self.pool.calls), 1)
        self.assertEqual(self.refusals(stop_admission.Reason.TOO_LONG), 1)
        self.assertEqual(self.log.events[-1], "request.refused")

    # Guards against calls that are cut since quick refusals of invalid ones, by the server, were
    # taken for the usual duration of answers.
    def test_client_errors_do_not_shorten_the_expected_duration(self):
        self.observe(5.5)
        for _ in range(20):
            self.send_request()
            receiver = self.pool.calls[-1].receiver
            receiver.handle_head(attrs.evolve(ANSWER_HEAD, status=400))
            receiver.handle_complete()
        self.handler.begin_stop()
        self.loop.advance(BOUNDS.accept_seconds - 0.1)
        self.assert_refused(self.send_request())
        self.assertEqual(self.refusals(stop_admission.Reason.TOO_LONG), 1)

    def test_unknown_durations_are_taken_on_in_the_accept_period_and_refused_later(self):
        self.handler.begin_stop()
        self.loop.advance(BOUNDS.accept_seconds - 0.1)
        self.assertEqual(self.send_request().status, 0)
        self.loop.advance(0.2)
        self.assert_refused(self.send_request())
        self.assertEqual(self.refusals(stop_admission.Reason.UNKNOWN), 1)

    def test_callers_that_give_up_in_time_are_served_whatever_is_known(self):
        self.observe(4.5)
        self.handler.begin_stop()
        self.loop.advance(LATE_SECONDS)
        self.dialect.remaining_seconds = 1.0
        exchange = self.send_request()
        self.assertEqual(len(self.pool.calls), 2)
        self.loop.advance(1.0)
        self.assertEqual(exchange.status, 504)

    def test_nothing_is_refused_without_a_stop(self):
        self.observe(20.0)
        self.assertEqual(self.send_request().status, 0)
        self.assertIsNone(self.handler.stop_time)

    def test_declaration_during_the_stop_keeps_what_is_known_of_its_routes(self):
        self.observe(4.5)
        self.handler.begin_stop()
        self.apply_declaration()
        self.loop.advance(LATE_SECONDS)
        self.assert_refused(self.send_request())


class TestStartupQueue(StoppingHandlerCase):
    """Requests that an entry has queued since its start, which is stopped soon after it."""

    def test_request_is_served_when_the_declaration_arrives_during_the_stop(self):
        exchange = self.send_request()
        self.handler.begin_stop()
        self.apply_declaration()
        self.answer(ANSWER_SECONDS)
        self.assertEqual(exchange.status, 200)

    # Guards against a caller that is told to come back to an entry that ends.
    def test_request_without_a_declaration_in_time_is_sent_to_another_entry(self):
        exchange = self.send_request()
        self.handler.begin_stop()
        self.loop.advance(request_handler.MAX_QUEUE_SECONDS + 0.1)
        self.assert_refused(exchange)

    # Guards against requests in the startup queue whose connections were closed at the end of the
    # stop without an answer.
    def test_request_that_still_waits_at_the_end_is_refused(self):
        exchange = self.send_request()
        self.handler.begin_stop()
        self.handler.end_unstarted()
        self.assert_refused(exchange)
        self.assertEqual(self.handler.active_count, 0)

    def test_request_is_refused_as_soon_as_it_is_too_late(self):
        self.handler = request_handler.RequestHandler(
            self.loop,
            self.pool,
            self.dialect,
            server_registry=self.servers,
            server_loads=self.handler.server_loads,
            log=self.log,
            metrics=self.metrics,
            bounds=node_settings.BoundSettings(accept_seconds=0.1, stop_seconds=2.0),
            zone="a",
        )
        exchange = self.send_request()
        self.handler.begin_stop()
        self.handler.refuse_waiting()
        self.assertEqual(exchange.status, 0)
        self.loop.advance(0.2)
        self.handler.refuse_waiting()
        self.assert_refused(exchange)
        self.assertEqual(self.handler.active_count, 0)


class TestRoomQueue(unittest.TestCase):
    """Requests that wait for room at engines, at an entry that is stopped."""

    def setUp(self):
        kinds = [
            contended_entries.Kind(
                name, priority, objective_seconds=8.0, time_limit_seconds=20.0, max_returns=0
            )
            for priority, name in enumerate(("urgent", "low"))
        ]
        self.deployment = contended_entries.Deployment(
            kinds, engine_count=1, zone_sizes={"a": 1}, answer_seconds=1.0
        )
        [self.handler] = self.deployment.handlers.values()
        self.outcomes = [self.deployment.arrive(kinds[1]) for _ in range(8)]
        self.deployment.loop.advance(0.1)
        self.assertGreater(self.deployment.waiting_count(), 0)

    def waiting(self) -> list[contended_entries.Outcome]:
        return [item for item in self.outcomes if not item.statuses]

    # Guards against requests that wait for room until the end of the stop, when their callers have
    # no time left for another entry.
    def test_waiting_requests_are_refused_once_their_answers_would_end_too_late(self):
        waiting = self.waiting()
        self.handler.begin_stop()
        self.handler.refuse_waiting()
        self.assertEqual(self.waiting(), waiting)
        self.deployment.loop.advance(0.1)
        self.handler._stop_began_at -= BOUNDS.stop_seconds - 1.0
        self.handler.refuse_waiting()
        self.assertEqual(self.waiting(), [])
        self.assertEqual({item.statuses[0] for item in waiting}, {503})
        self.assertEqual(self.deployment.waiting_count(), 0)

    def test_started_answers_go_on_when_the_others_are_ended(self):
        self.assertGreater(self.handler.started_answer_count, 0)
        started_count = self.handler.started_answer_count
        self.handler.begin_stop()
        self.handler.end_unstarted()
        self.assertEqual(self.handler.active_count, started_count)
        self.deployment.loop.advance(1.5)
        self.assertEqual(self.handler.active_count, 0)
