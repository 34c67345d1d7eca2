"""Tests of `RequestForwarder` while its entry is stopped: what is sent, and sent again."""

from __future__ import annotations

from flamingoramp import errors
from flamingoramp.dispatch import forwarding, stop_admission
from flamingoramp.dispatch.tests import test_forwarding, test_forwarding_zones
from flamingoramp.http import client

TOO_LATE = stop_admission.Refuse(stop_admission.Reason.TOO_LONG, 4.5, 3.0)


class StoppingCase(test_forwarding.ForwardingCase):
    """Base of tests in which it becomes too late for another send."""

    def make_too_late(self) -> None:
        self.context.stop_refusal = TOO_LATE

    def assert_code(self, outcome: str, code: str) -> None:
        [(found_outcome, fields)] = self.context.outcomes
        self.assertEqual((found_outcome, fields["code"]), (outcome, code))

    def assert_not_run(self) -> None:
        self.assert_ended(503)
        self.assert_code("refused", errors.StoppingError.code)


class TestFirstSends(StoppingCase):
    """Requests that are about to be sent for the first time are refused as not run."""

    def test_complete_request_is_refused(self):
        self.make_too_late()
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.assertEqual(self.calls, [])
        self.assert_not_run()

    def test_request_whose_placement_is_settled_too_late_is_refused(self):
        self.context.settle_seconds = 0.1
        self.start_request(test_forwarding.STREAM)
        self.make_too_late()
        self.context.loop.advance(0.2)
        self.assertEqual(self.calls, [])
        self.assert_not_run()

    def test_request_for_another_entry_is_refused(self):
        self.context.is_cut_off = True
        self.make_too_late()
        self.start_request(test_forwarding.PLAIN)
        self.assertEqual(self.context.peer_pool.calls, [])
        self.assert_not_run()

    def test_request_is_not_passed_on_to_a_second_entry(self):
        self.context.is_cut_off = True
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.make_too_late()
        [call] = self.context.peer_pool.calls
        call.receiver.handle_failure(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.assertEqual(len(self.context.peer_pool.calls), 1)
        self.assert_not_run()


class TestGroups(StoppingCase):
    """Groups of servers for which memory is reserved."""

    def setUp(self):
        super().setUp()
        self.context = test_forwarding_zones.HelperContext()
        self.context.dialect = test_forwarding_zones.HelperDialect()

    # Guards against memory that stays reserved for a request that is not sent any more.
    def test_group_whose_memory_is_reserved_too_late_is_refused_and_its_memory_released(self):
        self.start_request(test_forwarding.STREAM)
        self.make_too_late()
        self.calls[-1].receiver.handle_head(test_forwarding_zones.GRANTED)
        self.calls[-1].receiver.handle_complete()
        paths = [call.request.target for call in self.calls]
        self.assertEqual(paths, [b"/reserve", b"/release"])
        self.assert_not_run()

    def test_request_that_waits_for_memory_is_refused_once_it_is_too_late(self):
        forwarders = []
        self.start_request(test_forwarding.STREAM, forwarders=forwarders)
        self.make_too_late()
        forwarders[0].end_if_unsent_too_late()
        self.assertIn(b"/release", [call.request.target for call in self.calls])
        self.assert_not_run()


class TestSecondSends(StoppingCase):
    """Requests that would be sent a second time."""

    def test_request_that_may_have_run_fails_with_the_code_of_the_stop(self):
        self.start_request(test_forwarding.PLAIN)
        self.make_too_late()
        self.fail_call()
        self.assertEqual(len(self.calls), 1)
        self.assert_ended(504)
        self.assert_code("failed", errors.StopTimeoutError.code)

    def test_request_that_has_not_run_is_refused(self):
        self.start_request(test_forwarding.PLAIN)
        self.make_too_late()
        self.receive_head("not_run", 503)
        self.assert_not_run()

    def test_stream_that_would_have_to_be_resumed_is_broken_off_at_once(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.make_too_late()
        self.fail_call()
        self.assertEqual(len(self.calls), 1)
        self.assert_ended(200, "aborted")
        self.assert_code("failed", errors.StopTimeoutError.code)

    def test_stream_is_resumed_while_its_rest_can_end_in_time(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream")
        self.receive_events(1, 2, 3)
        self.fail_call()
        self.assertEqual(len(self.calls), 2)
        self.assertEqual(self.context.received_events, [0, 0, 3, 3])

    # Guards against a whole answer of a server that is replaced by the entry's own error.
    def test_failure_that_a_server_answered_is_passed_on_if_it_is_too_late_for_another(self):
        self.start_request(test_forwarding.PLAIN)
        self.make_too_late()
        self.receive_head("answer", 500)
        self.calls[0].receiver.handle_data(b"broken")
        self.complete_answer()
        self.assert_ended(500)
        self.assertEqual(self.exchange.body, b"broken")

    # Guards against a first attempt that is cancelled in favour of one that may not be sent.
    def test_silent_server_keeps_a_request_that_could_not_end_elsewhere(self):
        self.start_request(test_forwarding.PLAIN)
        self.make_too_late()
        self.context.loop.advance(4.0)
        self.assertFalse(self.calls[0].cancelled)
        self.receive_head("answer")
        self.complete_answer()
        self.assert_ended(200)


class TestEnd(StoppingCase):
    """Requests that are still there when the process has to end."""

    def end_by_stop(self, route, prepare=lambda: None) -> None:
        forwarders: list[forwarding.RequestForwarder] = []
        self.start_request(route, forwarders=forwarders)
        prepare()
        forwarders[0].end_by_stop()

    def test_sent_request_fails_as_its_outcome_is_unknown(self):
        self.end_by_stop(test_forwarding.NON_IDEMPOTENT)
        self.assert_ended(504)
        self.assert_code("failed", errors.StopTimeoutError.code)

    # Guards against a request that fails though it was never sent, which its caller may not repeat.
    def test_request_that_was_never_sent_is_refused(self):
        self.context.settle_seconds = 1.0
        self.end_by_stop(test_forwarding.NON_IDEMPOTENT)
        self.assert_not_run()

    def test_started_stream_is_broken_off(self):
        def _begin_answer() -> None:
            self.receive_head("stream")
            self.receive_events(1)

        self.end_by_stop(test_forwarding.STREAM, _begin_answer)
        self.assert_ended(200, "aborted")

    def test_sent_request_is_not_refused_while_it_waits_for_its_answer(self):
        forwarders: list[forwarding.RequestForwarder] = []
        self.start_request(test_forwarding.PLAIN, forwarders=forwarders)
        self.make_too_late()
        forwarders[0].end_if_unsent_too_late()
        self.assertEqual(self.context.outcomes, [])


class TestObservedAnswers(StoppingCase):
    """Durations that predictions learn from."""

    def test_answer_by_a_single_send_is_observed(self):
        self.start_request(test_forwarding.PLAIN)
        self.context.loop.advance(0.2)
        self.receive_head("answer")
        self.complete_answer()
        self.assertEqual(self.context.answer_seconds, [0.2])

    def test_answers_by_two_sends_and_failed_ones_are_not(self):
        self.start_request(test_forwarding.PLAIN)
        self.fail_call()
        self.receive_head("answer")
        self.complete_answer()
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.receive_head("answer", 500)
        self.complete_answer()
        self.assertEqual(self.context.answer_seconds, [])
