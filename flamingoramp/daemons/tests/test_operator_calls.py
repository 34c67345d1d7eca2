"""Tests of operators' orders at one control host, without network and log."""

from __future__ import annotations

import types
import unittest
from typing import Any

from flamingoramp import errors
from flamingoramp.daemons import operator_calls
from flamingoramp.dispatch.tests import test_request_handler
from flamingoramp.intent import evacuations
from flamingoramp.protocol import messages
from flamingoramp.runtime import metrics, virtual_time

STEP_SECONDS = 0.02


class FakeNode:
    """Node whose proposals are committed when the test says so."""

    def __init__(self, state: evacuations.EvacuationState):
        self.is_leader = True
        self.pending: list[tuple[bytes, Any, Any]] = []
        self._state = state
        self._index = 10

    def propose(self, kind, payload, on_applied, on_failed) -> None:
        assert kind == evacuations.KIND_ZONE_ORDER
        self.pending.append((payload, on_applied, on_failed))

    def commit(self) -> None:
        """Commit the oldest proposal."""
        payload, on_applied, _ = self.pending.pop(0)
        self._index += 1
        entry = messages.LogEntry(self._index, 1, evacuations.KIND_ZONE_ORDER, payload)
        on_applied(self._state.apply_entry(entry))


class CallsCase(unittest.TestCase):
    """Base of tests with the calls of a host that leads at first."""

    zones: tuple[str, ...] = ()

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.loop.call_every(STEP_SECONDS, lambda: None)
        self.state = evacuations.EvacuationState()
        self.node = FakeNode(self.state)
        self.forwarded: list[tuple[messages.EvacuationRequest, operator_calls.PendingCall]] = []
        self.results: list[str] = []
        self.replies: list[messages.EvacuationReply] = []
        self.calls = operator_calls.EvacuationCalls(
            self.loop,
            node=self.node,
            state=self.state,
            leadership=self,
            zones=self.zones,
            log=test_request_handler.FakeLog(),
            metrics=metrics.Metrics(),
            wall_time=self.loop.now,
        )
        self.loop.advance(1.0)

    def forward_to_leader(self, make_request, call) -> None:
        self.forwarded.append((make_request("r1"), call))

    def submit(self, zone: str = "a", *, evacuated: bool = True) -> types.SimpleNamespace:
        exchange = types.SimpleNamespace(is_done=False)
        self.calls.submit(
            zone,
            evacuated=evacuated,
            exchange=exchange,
            on_result=lambda: self.results.append("acknowledged"),
            on_error=lambda error: self.results.append(error.code),
        )
        return exchange

    def suspend(self, seconds: float) -> None:
        """Let time pass in which the loop does not run."""
        self.loop._now += seconds


class TestOrders(CallsCase):
    """Orders that operators send to this host."""

    def test_order_is_acknowledged_after_its_commit(self):
        self.submit()
        self.loop.advance(0.1)
        self.assertEqual(self.results, [])
        self.node.commit()
        self.assertEqual((self.results, self.state.zones), (["acknowledged"], ("a",)))

    def test_order_that_changes_nothing_waits_for_a_quorum_too(self):
        self.submit(evacuated=False)
        self.loop.advance(0.1)
        self.assertEqual(self.results, [])
        self.node.commit()
        self.assertEqual(self.results, ["acknowledged"])

    # Guards against an order that takes effect though its operator has gone.
    def test_order_whose_caller_has_gone_is_not_proposed(self):
        self.submit().is_done = True
        self.loop.advance(0.1)
        self.assertEqual(self.node.pending, [])

    def test_order_that_another_one_outdated_is_proposed_again_while_its_caller_waits(self):
        self.submit()
        self.submit(evacuated=False)
        self.loop.advance(0.1)
        self.node.commit()
        self.node.commit()
        self.assertEqual((self.results, self.state.zones), (["acknowledged"], ("a",)))
        self.node.commit()
        self.assertEqual((self.results, self.state.zones), (["acknowledged"] * 2, ()))

    def test_outdated_order_is_not_proposed_again_after_its_time_or_a_suspension(self):
        for seconds in (operator_calls.ANSWER_TIMEOUT_SECONDS, 0.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.submit()
                self.submit(evacuated=False)
                self.loop.advance(0.1)
                self.node.commit()
                self.loop.advance(seconds)
                self.suspend(0.0 if seconds else 0.6)
                self.node.commit()
                self.assertEqual(self.node.pending, [])
                self.assertEqual(self.results, ["acknowledged", "not_leader"])

    def test_order_is_forwarded_with_the_last_one_that_this_host_knew(self):
        self.submit()
        self.loop.advance(0.1)
        self.node.commit()
        self.node.is_leader = False
        self.submit(evacuated=False)
        self.loop.advance(0.1)
        request, call = self.forwarded[0]
        self.assertEqual(request, messages.EvacuationRequest("r1", "a", False, 11))
        call.on_result(messages.EvacuationReply("r1", is_outdated=True, last_index=14))
        request, call = self.forwarded[1]
        self.assertEqual(request, messages.EvacuationRequest("r1", "a", False, 14))
        call.on_result(messages.EvacuationReply("r1", accepted=True, last_index=15))
        self.assertEqual(self.results, ["acknowledged"] * 2)

    def test_calls_are_refused_for_a_time_after_a_suspension(self):
        self.suspend(0.6)
        for _ in range(2):
            with self.assertRaises(errors.NotReadyError) as caught:
                self.submit()
            self.assertEqual(caught.exception.status, 503)
            self.loop.advance(operator_calls.REFUSAL_AFTER_GAP_SECONDS / 2 - 0.05)
        self.loop.advance(0.2)
        self.submit()


class TestForwardedOrders(CallsCase):
    """Orders that other control hosts forward to this one."""

    REQUEST = messages.EvacuationRequest("r7", "a", True, 0)

    def test_reply_tells_of_the_commit(self):
        self.calls.handle_request(self.REQUEST, self.replies.append)
        self.assertEqual(self.replies, [])
        self.node.commit()
        self.assertEqual(self.replies, [messages.EvacuationReply("r7", True, False, 11)])

    # Guards against an order that waited on its way until the opposite was acknowledged.
    def test_order_that_comes_after_a_later_one_is_outdated(self):
        self.submit(evacuated=False)
        self.loop.advance(0.1)
        self.node.commit()
        self.calls.handle_request(self.REQUEST, self.replies.append)
        self.node.commit()
        self.assertEqual(self.replies, [messages.EvacuationReply("r7", False, True, 11)])
        self.assertEqual(self.state.zones, ())

    def test_order_is_refused_after_a_suspension_and_by_a_host_that_does_not_lead(self):
        self.suspend(0.6)
        self.calls.handle_request(self.REQUEST, self.replies.append)
        self.loop.advance(1.0)
        self.node.is_leader = False
        self.calls.handle_request(self.REQUEST, self.replies.append)
        self.assertEqual(self.replies, [messages.EvacuationReply("r7")] * 2)
        self.assertEqual(self.node.pending, [])


class TestZones(CallsCase):
    """Zones that the settings name."""

    zones = ("a", "b")

    def test_other_zone_is_refused_unless_it_is_evacuated(self):
        with self.assertRaises(errors.UnknownZoneError):
            self.submit("c")
        payload = evacuations.encode(evacuations.ZoneOrder("c", True))
        entry = messages.LogEntry(5, 1, evacuations.KIND_ZONE_ORDER, payload)
        self.state.apply_entry(entry)
        self.submit("c", evacuated=False)
        self.loop.advance(0.1)
        self.node.commit()
        self.assertEqual((self.results, self.state.zones), (["acknowledged"], ()))


class TestRepeatedCall(unittest.TestCase):
    """Calls that wait for a leader until their deadline."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.attempts: list[operator_calls.PendingCall] = []
        self.results: list[Any] = []
        call = operator_calls.PendingCall(
            self.loop.now() + operator_calls.ANSWER_TIMEOUT_SECONDS,
            self.results.append,
            self.results.append,
        )
        operator_calls.RepeatedCall(self.loop, self.attempts.append, call).start()

    # Guards against calls that are refused at once while another leader is elected.
    def test_call_is_submitted_again_until_a_leader_answers(self):
        for _ in range(3):
            self.attempts[-1].on_error(operator_calls.no_quorum_error())
            self.loop.advance(operator_calls.LEADER_RETRY_SECONDS)
        self.assertEqual(len(self.attempts), 4)
        self.attempts[-1].on_result("done")
        self.loop.advance(2.0)
        self.assertEqual((self.results, len(self.attempts)), (["done"], 4))

    def test_call_without_an_answer_ends_at_its_deadline(self):
        self.loop.advance(operator_calls.ANSWER_TIMEOUT_SECONDS)
        self.attempts[-1].on_result("late")
        self.assertEqual([type(error) for error in self.results], [errors.NotLeaderError])

    # Guards against "not run" for a call that waits in the log, or at a leader that is silent.
    def test_attempt_without_an_answer_may_have_taken_effect(self):
        self.loop.advance(operator_calls.ANSWER_TIMEOUT_SECONDS)
        self.assertIs(self.results[0].outcome, errors.Outcome.OUTCOME_UNKNOWN)

    def test_call_that_no_leader_took_has_not_run(self):
        while not self.results:
            self.attempts[-1].on_error(operator_calls.no_quorum_error())
            self.loop.advance(operator_calls.LEADER_RETRY_SECONDS)
        self.assertIs(self.results[0].outcome, errors.Outcome.NOT_RUN)

    def test_other_errors_end_the_call_at_once(self):
        error = errors.NotReadyError("the disk has failed")
        self.attempts[-1].on_error(error)
        self.loop.advance(2.0)
        self.assertEqual((self.results, len(self.attempts)), ([error], 1))

    # Guards against "not run" for a call whose first attempt may have been committed.
    def test_attempt_that_may_have_taken_effect_is_not_forgotten(self):
        uncertain = errors.NotLeaderError("lost", outcome=errors.Outcome.OUTCOME_UNKNOWN)
        self.attempts[-1].on_error(uncertain)
        self.loop.advance(operator_calls.LEADER_RETRY_SECONDS)
        self.attempts[-1].on_error(errors.NotReadyError("the disk has failed"))
        self.assertEqual(self.results, [uncertain])


class TestWithoutLeader(CallsCase):
    """Orders that come while no leader is known."""

    def test_order_is_forwarded_again_once_there_is_a_leader(self):
        self.node.is_leader = False
        self.submit()
        self.loop.advance(0.1)
        self.forwarded[0][1].on_error(operator_calls.no_quorum_error())
        self.loop.advance(0.1)
        self.forwarded[1][1].on_result(messages.EvacuationReply("r1", accepted=True, last_index=5))
        self.assertEqual(self.results, ["acknowledged"])

    # Guards against an order that takes effect though its operator has gone or this host was
    # suspended meanwhile.
    def test_order_is_not_forwarded_again_without_its_operator_or_after_a_suspension(self):
        for is_gone in (True, False):
            with self.subTest(is_gone=is_gone):
                self.setUp()
                self.node.is_leader = False
                exchange = self.submit()
                self.loop.advance(0.1)
                exchange.is_done = is_gone
                if not is_gone:
                    self.suspend(0.6)
                self.forwarded[0][1].on_error(operator_calls.no_quorum_error())
                self.loop.advance(0.1)
                self.assertEqual(len(self.forwarded), 1)
