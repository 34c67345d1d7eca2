"""Tests of the decision what an entry in a planned stop takes on, by its table."""

from __future__ import annotations

import math
import unittest

import attrs

from flamingoramp import dialect, errors
from flamingoramp.dispatch import answer_times, attempts, stop_admission
from flamingoramp.dispatch.tests import test_forwarding
from flamingoramp.intent import traffic

Reason = stop_admission.Reason
ACCEPT_SECONDS = 2.5
STOP_SECONDS = 8.0
ENGINE = traffic.EngineCostModel(step_seconds=0.045, steps_per_pass=1)
# Time of 100 output tokens on that engine, about.
STREAM_SECONDS = 4.5


def stop_at(elapsed_seconds: float) -> stop_admission.StopTime:
    """Return the time of a stop with the default bounds."""
    return stop_admission.StopTime(elapsed_seconds, ACCEPT_SECONDS, STOP_SECONDS)


def expected(typical: float | None, slow: float) -> stop_admission.ExpectedAnswer:
    """Return the expected duration of an answer."""
    return stop_admission.ExpectedAnswer(typical, slow)


class TestDecision(unittest.TestCase):
    """What is passed on, by the time of the stop and what is known of the request."""

    def decide(
        self,
        elapsed_seconds: float,
        answer: stop_admission.ExpectedAnswer | None,
        *,
        limit_seconds: float = math.inf,
        is_repeatable: bool = True,
    ) -> Reason:
        pending = stop_admission.PendingRequest(limit_seconds, is_repeatable, answer)
        decision = stop_admission.decide(stop_at(elapsed_seconds), pending)
        self.is_taken_on = isinstance(decision, stop_admission.TakeOn)
        return decision.reason

    def assert_taken_on(self, *args, reason: Reason, **options) -> None:
        self.assertEqual(self.decide(*args, **options), reason)
        self.assertTrue(self.is_taken_on)

    def assert_refused(self, *args, reason: Reason, **options) -> None:
        self.assertEqual(self.decide(*args, **options), reason)
        self.assertFalse(self.is_taken_on)

    def test_limit_that_ends_in_time_is_taken_on_at_any_time(self):
        for elapsed_seconds in (0.0, 2.0, 5.0, 7.15):
            limit_seconds = stop_at(elapsed_seconds).remaining_seconds
            for answer in (None, expected(None, 60.0), expected(60.0, 60.0)):
                with self.subTest(elapsed_seconds=elapsed_seconds, answer=answer):
                    self.assert_taken_on(
                        elapsed_seconds, answer, limit_seconds=limit_seconds, reason=Reason.LIMIT
                    )

    def test_unknown_answer_is_taken_on_in_the_accept_period_only(self):
        self.assert_taken_on(2.4, None, reason=Reason.UNKNOWN)
        self.assert_refused(2.6, None, reason=Reason.UNKNOWN)

    def test_prediction_without_observed_answers_refuses_none_in_the_accept_period(self):
        self.assert_taken_on(2.4, expected(None, 60.0), reason=Reason.UNKNOWN)
        self.assert_refused(2.6, expected(None, 60.0), reason=Reason.TOO_LONG)

    def test_slow_answers_of_the_route_refuse_none_in_the_accept_period(self):
        self.assert_taken_on(2.4, expected(4.7, 60.0), reason=Reason.IN_TIME)
        self.assert_refused(2.4, expected(4.9, 60.0), reason=Reason.TOO_LONG)

    def test_after_the_accept_period_a_slow_answer_has_to_end_in_time_with_a_margin(self):
        left_seconds = stop_at(4.0).remaining_seconds
        for is_repeatable, margin_ratio in (
            (True, stop_admission.REPEATABLE_MARGIN_RATIO),
            (False, stop_admission.UNREPEATABLE_MARGIN_RATIO),
        ):
            longest_seconds = left_seconds / margin_ratio
            with self.subTest(is_repeatable=is_repeatable):
                self.assert_taken_on(
                    4.0,
                    expected(0.1, longest_seconds - 0.01),
                    is_repeatable=is_repeatable,
                    reason=Reason.IN_TIME,
                )
                self.assert_refused(
                    4.0,
                    expected(0.1, longest_seconds + 0.01),
                    is_repeatable=is_repeatable,
                    reason=Reason.TOO_LONG,
                )

    def test_nothing_is_taken_on_once_not_even_the_smallest_answer_could_end(self):
        self.assert_refused(7.15, expected(0.0, 0.0), reason=Reason.OVER)
        self.assert_refused(9.0, expected(0.0, 0.0), limit_seconds=0.5, reason=Reason.OVER)
        self.assertFalse(stop_at(7.15).takes_any)
        self.assertTrue(stop_at(7.0).takes_any)

    def test_started_answers_go_on_until_the_process_has_to_end(self):
        for elapsed_seconds in (0.0, 7.0, 8.0):
            stop = stop_at(elapsed_seconds)
            self.assertAlmostEqual(
                stop.seconds_until_exit - stop.remaining_seconds, stop_admission.DELIVERY_SECONDS
            )
            self.assertAlmostEqual(
                STOP_SECONDS - elapsed_seconds - stop.seconds_until_exit,
                stop_admission.EXIT_SECONDS,
            )

    def test_short_stop_keeps_half_of_its_time_for_requests(self):
        stop = stop_admission.StopTime(0.0, 0.1, 0.5)
        self.assertAlmostEqual(stop.remaining_seconds, 0.25)
        self.assertGreater(stop.seconds_until_exit, stop.remaining_seconds)
        self.assertLess(stop.seconds_until_exit, 0.5)


class TestError(unittest.TestCase):
    """What the caller of a refused request is told."""

    def test_refused_request_has_not_run_and_may_be_sent_elsewhere_at_once(self):
        refusal = stop_admission.Refuse(Reason.TOO_LONG, 5.0, 3.0)
        for error in (stop_admission.make_error(refusal), stop_admission.make_error()):
            self.assertIsInstance(error, errors.StoppingError)
            self.assertEqual((error.status, error.outcome), (503, errors.Outcome.NOT_RUN))
            self.assertEqual(error.retry_after, stop_admission.RETRY_AFTER_SECONDS)
        self.assertIn("5.00 s are needed, 3.00 s are left", stop_admission.explain(refusal))


class TestAnswerTimes(unittest.TestCase):
    """Expected duration of answers."""

    def setUp(self):
        self.times = answer_times.AnswerTimes()

    def admit(
        self, route: traffic.Route, prompt_tokens: int = 0, output_tokens: int = 0
    ) -> attempts.AdmittedRequest:
        caller = dialect.CallerRequest(
            "r1", "h", "/", prompt_tokens=prompt_tokens, output_tokens=output_tokens
        )
        return attempts.AdmittedRequest(
            exchange=test_forwarding.FakeExchange(),
            caller=caller,
            route=route,
            service="s",
            workspace="",
            priority=None,
            fingerprints=(),
            time_limit_seconds=30.0,
        )

    def test_nothing_is_known_of_a_service_without_engines_before_its_first_answer(self):
        call = self.admit(test_forwarding.PLAIN)
        self.assertIsNone(self.times.expect(call, None))
        self.times.record(call, None, 4.5)
        self.assertEqual(self.times.expect(call, None), expected(4.5, 4.5))
        other = self.admit(attrs.evolve(test_forwarding.PLAIN, name="other"))
        self.assertIsNone(self.times.expect(other, None))

    def test_slow_answers_are_remembered_beside_many_quick_ones(self):
        call = self.admit(test_forwarding.PLAIN)
        self.times.record(call, None, 4.0)
        for _ in range(20):
            self.times.record(call, None, 0.1)
        answer = self.times.expect(call, None)
        self.assertLess(answer.typical_seconds, 1.0)
        self.assertGreater(answer.slow_seconds, 2.0)
        for _ in range(400):
            self.times.record(call, None, 0.1)
        self.assertLess(self.times.expect(call, None).slow_seconds, 0.2)

    def test_stream_takes_as_long_as_its_engine_needs_for_all_tokens(self):
        stream = self.admit(test_forwarding.STREAM, 1000, 100)
        answer = self.times.expect(stream, ENGINE)
        self.assertIsNone(answer.typical_seconds)
        self.assertAlmostEqual(answer.slow_seconds, STREAM_SECONDS, delta=0.2)

    def test_prediction_is_scaled_by_the_answers_of_the_route(self):
        self.times.record(self.admit(test_forwarding.STREAM, 1000, 100), ENGINE, 9.2)
        answer = self.times.expect(self.admit(test_forwarding.STREAM, 1000, 50), ENGINE)
        self.assertAlmostEqual(answer.typical_seconds, 4.7, delta=0.2)

    def test_wait_at_the_chosen_engine_counts(self):
        stream = self.admit(test_forwarding.STREAM, 1000, 100)
        idle = self.times.expect(stream, ENGINE)
        busy = self.times.expect(stream, ENGINE, first_event_seconds=2.0)
        self.assertAlmostEqual(busy.slow_seconds - idle.slow_seconds, 2.0, delta=0.1)

    def test_resumed_stream_needs_time_for_the_rest_only(self):
        stream = self.admit(test_forwarding.STREAM, 1000, 100)
        answer = self.times.expect(stream, ENGINE, received_events=90)
        self.assertLess(answer.slow_seconds, 0.15 * STREAM_SECONDS)

    def test_routes_that_are_gone_are_forgotten(self):
        call = self.admit(test_forwarding.PLAIN)
        self.times.record(call, None, 4.5)
        self.times.retain_only({"other"})
        self.assertIsNone(self.times.expect(call, None))
