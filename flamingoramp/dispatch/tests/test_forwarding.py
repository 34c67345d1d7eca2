"""Tests of `RequestForwarder` with fake connections, clock and backend servers."""

from __future__ import annotations

import unittest
from typing import Any

import attrs

from flamingoramp import dialect, errors
from flamingoramp.dispatch import attempts, forwarding, stop_admission
from flamingoramp.http import client
from flamingoramp.http import messages as http_messages
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_table, selection
from flamingoramp.runtime import virtual_time

STREAM = traffic.Route(
    name="stream",
    host="h",
    prefix="/",
    streams=True,
    resumable=True,
    attempts=2,
    timeout_seconds=10.0,
    latency_objective_seconds=0.3,
    gap_objective_seconds=0.25,
)
PLAIN = attrs.evolve(
    STREAM, name="plain", streams=False, resumable=False, idempotency=traffic.Idempotency.IDEMPOTENT
)
NON_IDEMPOTENT = attrs.evolve(
    PLAIN, name="once", idempotency=traffic.Idempotency.NON_IDEMPOTENT, attempts=1
)
REQUEST_ID_HEADERS = ((b"x-id", b"r1"),)


@attrs.define
class FakeCall:
    """A request to a server; the test drives its receiver."""

    address: str
    request: http_messages.Request
    receiver: Any
    new_connection: bool
    cancelled: bool = False
    paused: bool = False

    def cancel(self) -> None:
        self.cancelled = True

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False

    def discard_rest(self) -> None:
        """Do nothing."""


class FakePool:
    """Connection pool that records the requests."""

    def __init__(self):
        self.calls: list[FakeCall] = []

    def send(self, address, request, receiver, *, new_connection=False, **_options) -> FakeCall:
        self.calls.append(FakeCall(address, request, receiver, new_connection))
        return self.calls[-1]


class FakeExchange:
    """Records the answer to the caller; ``end_state`` is empty, ``finished`` or ``aborted``."""

    def __init__(self):
        self.request = http_messages.Request(b"POST", b"/", (), b"body")
        self.arrived_at = self.receiving_seconds = 0.0
        self.status = 0
        self.headers: http_messages.Headers = ()
        self.body = b""
        self.end_state = ""
        self.on_disconnect: Any = None
        self.on_drained: Any = None
        self.on_shortage: Any = None
        self.buffered_bytes = 0
        self.held_bytes = 0

    @property
    def has_started(self) -> bool:
        return self.status != 0

    def hold_answer(self, size_bytes: int) -> None:
        self.held_bytes += size_bytes

    def respond(self, answer: http_messages.Response) -> None:
        self.start(answer.status, answer.headers)
        self.send(answer.body)
        self.finish()

    def start(self, status, headers, *, length=None) -> None:
        if not self.has_started:
            self.status, self.headers = status, headers

    def send(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.end_state = self.end_state or "finished"

    def abort(self) -> None:
        self.end_state = self.end_state or "aborted"


class FakeDialect:
    """Reads an answer's kind from a header; writes time left and resume position to headers."""

    def encode_error(self, error: errors.FlamingorampError) -> http_messages.Response:
        return http_messages.Response(error.status, ((b"code", error.code.encode()),))

    def encode_forwarded_request(
        self, forwarded: dialect.ForwardedRequest
    ) -> http_messages.Request:
        headers = (
            (b"time-left", b"%d" % int(forwarded.remaining_seconds * 1000)),
            (b"resume", forwarded.last_event_id.encode()),
        )
        return http_messages.Request(b"POST", b"/", headers, forwarded.request.body)

    def encode_peer_request(self, passed_on: dialect.PeerRequest) -> http_messages.Request:
        headers = (
            (b"time-left", b"%d" % int(passed_on.remaining_seconds * 1000)),
            (b"resume", passed_on.last_event_id.encode()),
            (b"used", b"%d" % passed_on.attempts_used),
        )
        return http_messages.Request(b"POST", b"/", headers, passed_on.request.body)

    def decode_peer_answer_head(self, head: client.Head, request_id: str) -> dialect.AnswerHead:
        return self.decode_answer_head(head, request_id)

    def decode_answer_head(self, head: client.Head, request_id: str) -> dialect.AnswerHead:
        answer_kind = head.header(b"answer-kind")
        return dialect.AnswerHead(
            dialect.AnswerKind(answer_kind.decode()), has_refusal_status=head.status in (429, 503)
        )


class FakeContext:
    """Forwarding context that chooses the servers ``s1``, ``s2``, ``s3`` in this order."""

    def __init__(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = FakePool()
        self.peer_pool = FakePool()
        self.is_cut_off = False
        self.awaits_zone_update = False
        self.evacuated_servers: set[str] = set()
        self.dialect = FakeDialect()
        self.server_loads = load_table.LoadTable()
        self.servers = ["s1", "s2", "s3"]
        self.zones: dict[str, str] = {}
        self.retries_left = 100
        # Time until a placement is settled, and whether each one in turn crosses another.
        self.settle_seconds = 0.0
        self.crossings: list[bool] = []
        self.backlogged: set[str] = set()
        # Servers that accept connections though they may send nothing, and those that were checked.
        self.responsive: set[str] = set()
        self.checked: list[str] = []
        self.predicted_seconds = 0.1
        self.helpers: tuple[str, ...] = ()
        self.outcomes: list[tuple[str, dict[str, Any]]] = []
        self.failures: list[tuple[str, bool]] = []
        self.sound_count = 0
        self.stop_refusal: stop_admission.Refuse | None = None
        self.received_events: list[int] = []
        self.answer_seconds: list[float] = []

    def choose_target(self, admitted, excluded) -> attempts.AttemptTarget:
        for name in self.servers:
            if name not in excluded:
                zone = self.zones.get(name, name)
                record = protocol_messages.ServerRecord(name, address=f"{name}:1", zone=zone)
                work_item = load_table.WorkItem(name, part_seconds=0.1, prefill_end=0.1)
                if self.is_cut_off:
                    return attempts.AttemptTarget(record, is_peer=True)
                return attempts.AttemptTarget(
                    record,
                    helpers=tuple(protocol_messages.ServerRecord(name) for name in self.helpers),
                    work_items=(work_item,),
                    predicted_seconds=self.predicted_seconds,
                )
        raise errors.NoBackendError("none left", retry_after=0.4)

    def find_stop_refusal(
        self, admitted, limit_seconds, *, first_event_seconds=0.0, received_events=0
    ) -> stop_admission.Refuse | None:
        self.received_events.append(received_events)
        return self.stop_refusal

    def record_stop_refusal(self, admitted, refusal) -> None:
        """Do nothing."""

    def record_answer_seconds(self, admitted, seconds) -> None:
        self.answer_seconds.append(seconds)

    def list_servers_of_zone(self, service, zone) -> set[str]:
        return {name for name in self.servers if self.zones.get(name, name) == zone}

    def postpone(self, step) -> bool:
        if self.awaits_zone_update:
            self.loop.call_later(0.02, step)
        return self.awaits_zone_update

    def find_evacuated(self, target) -> tuple[str, ...]:
        servers = (target.server, *target.helpers)
        return tuple(item.server for item in servers if item.server in self.evacuated_servers)

    def record_target(self, target) -> None:
        for work_item in target.work_items:
            self.server_loads.add(work_item)

    def settle(self, target, on_settled, boundary) -> None:
        must_move = bool(self.crossings) and self.crossings.pop(0)
        if self.settle_seconds:
            boundary.call_later(self.settle_seconds, lambda: on_settled(must_move))
        else:
            on_settled(must_move)

    def record_first_send(self, service) -> None:
        """Do nothing."""

    def try_spend_retry(self, service) -> bool:
        self.retries_left -= 1
        return self.retries_left >= 0

    def record_failure(self, admitted, server, *, crashed, not_connected, sent_at) -> None:
        self.failures.append((server.server, crashed))

    def has_backlog(self, admitted, server) -> bool:
        return server.server in self.backlogged

    def is_unresponsive(self, server) -> bool:
        return server.server not in self.responsive

    def check_server(self, server) -> None:
        self.checked.append(server.server)

    def record_stall(self, server) -> None:
        """Do nothing."""

    def record_answer(self, server, failed) -> None:
        """Do nothing."""

    def record_sound(self, admitted) -> None:
        self.sound_count += 1

    def record_statement(self, admitted, server, statement) -> None:
        """Do nothing."""

    def record_event_gaps(self, service, server, event_gaps) -> None:
        """Do nothing."""

    def record_error(self, error) -> None:
        raise error

    def record_step(self, admitted, event, **fields) -> None:
        """Do nothing."""

    def record_end(self, admitted, outcome, **fields) -> None:
        self.outcomes.append((outcome, fields))


class ForwardingCase(unittest.TestCase):
    """Base of tests that start one request and drive its attempts."""

    def setUp(self):
        self.context = FakeContext()
        self.exchange = FakeExchange()

    def start_request(
        self,
        route: traffic.Route,
        *,
        time_limit_seconds: float = 10.0,
        attempts_used: int | None = None,
        forwarders: list[forwarding.RequestForwarder] | None = None,
    ) -> None:
        admitted = attempts.AdmittedRequest(
            exchange=self.exchange,
            caller=dialect.CallerRequest("r1", "h", "/", attempts_used=attempts_used),
            route=route,
            service="s",
            workspace="w",
            priority=1,
            fingerprints=("f",),
            time_limit_seconds=time_limit_seconds,
        )
        forwarder = forwarding.RequestForwarder(self.context, admitted, lambda _forwarder: None)
        if forwarders is not None:
            forwarders.append(forwarder)
        forwarder.start()

    @property
    def calls(self) -> list[FakeCall]:
        return self.context.pool.calls

    def receive_head(
        self,
        answer_kind: str,
        status: int = 200,
        call_index: int = -1,
        *,
        framing: http_messages.Headers = ((b"transfer-encoding", b"chunked"),),
    ) -> None:
        headers = (*REQUEST_ID_HEADERS, *framing, (b"answer-kind", answer_kind.encode()))
        self.calls[call_index].receiver.handle_head(client.Head(status, headers))

    def receive_events(self, *event_ids: int, call_index: int = -1) -> None:
        data = b"".join(b"id: %d\ndata: x\n\n" % event_id for event_id in event_ids)
        self.calls[call_index].receiver.handle_data(data)

    def complete_answer(self, call_index: int = -1) -> None:
        self.calls[call_index].receiver.handle_complete()

    def fail_call(
        self, failure=client.Failure.RESET, *, may_have_run=True, call_index: int = -1
    ) -> None:
        self.calls[call_index].receiver.handle_failure(failure, may_have_run=may_have_run)

    def assert_ended(self, status: int, end_state: str = "finished") -> None:
        self.assertEqual((self.exchange.status, self.exchange.end_state), (status, end_state))
        self.assertEqual(len(self.context.outcomes), 1)
        for server in self.context.servers:
            self.assertEqual(self.context.server_loads.load(server, 0.0), load_table.ServerLoad())


class TestPlainRequests(ForwardingCase):
    """Requests whose answers are not streams."""

    def test_relays_an_answer_only_when_it_is_complete(self):
        self.start_request(PLAIN)
        self.receive_head("answer", 404)
        self.calls[0].receiver.handle_data(b"not ")
        self.calls[0].receiver.handle_data(b"here")
        self.assertFalse(self.exchange.has_started)
        self.complete_answer()
        self.assert_ended(404)
        self.assertEqual(self.exchange.body, b"not here")

    def test_discards_a_partial_answer_before_a_retry(self):
        self.start_request(PLAIN)
        self.receive_head("answer")
        self.calls[0].receiver.handle_data(b"part")
        self.fail_call()
        self.receive_head("answer")
        self.calls[1].receiver.handle_data(b"complete")
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.exchange.body, b"complete")

    def test_fails_when_all_attempts_are_used_up(self):
        self.start_request(PLAIN)
        self.fail_call()
        self.fail_call()
        self.assertEqual(len(self.calls), 2)
        self.assert_ended(502)

    def test_does_not_retry_when_the_retry_allowance_is_used_up(self):
        self.context.retries_left = 0
        self.start_request(PLAIN)
        self.fail_call()
        self.assertEqual(len(self.calls), 1)
        self.assert_ended(502)

    def test_reduces_the_time_left_on_a_retry(self):
        self.start_request(PLAIN, time_limit_seconds=1.0)
        self.context.loop.advance(0.2)
        self.fail_call()
        times_left_ms = [int(call.request.header(b"time-left")) for call in self.calls]
        self.assertEqual(times_left_ms, [1000, 800])


class TestSettling(ForwardingCase):
    """A request is sent once its placement is settled, and placed again if that crosses another."""

    def setUp(self):
        super().setUp()
        self.context.settle_seconds = 0.01

    def test_request_is_sent_after_the_wait(self):
        self.start_request(STREAM)
        self.assertEqual(self.calls, [])
        self.assertEqual(self.context.server_loads.load("s1", 0.0).strict, 1)
        self.context.loop.advance(0.02)
        self.assertEqual(len(self.calls), 1)

    def test_crossing_request_is_placed_again_without_an_attempt(self):
        self.context.crossings = [True]
        self.start_request(STREAM)
        self.context.loop.advance(0.015)
        self.assertEqual(self.calls, [])
        self.context.loop.advance(0.01)
        self.receive_head("stream")
        self.receive_events(1)
        self.complete_answer()
        self.assertEqual(self.context.outcomes[0][1]["attempts"], 1)
        self.assert_ended(200)

    def test_request_that_keeps_crossing_is_sent(self):
        self.context.crossings = [True] * 10
        self.start_request(STREAM)
        self.context.loop.advance(0.01 * (forwarding.MAX_MOVE_COUNT + 2))
        self.assertEqual(len(self.calls), 1)

    def test_caller_that_leaves_meanwhile_frees_the_load(self):
        self.start_request(STREAM)
        self.exchange.on_disconnect()
        self.context.loop.advance(0.1)
        self.assertEqual(self.calls, [])
        self.assertEqual(self.context.server_loads.load("s1", 0.0), load_table.ServerLoad())

    def test_zone_evacuated_meanwhile_gets_nothing(self):
        self.start_request(STREAM)
        self.context.evacuated_servers = {"s1"}
        self.context.servers.remove("s1")
        self.context.loop.advance(0.05)
        self.assertEqual(self.context.server_loads.load("s2", 0.0).strict, 1)
        self.assertEqual(len(self.calls), 1)


class TestNonIdempotentRequests(ForwardingCase):
    """Requests that must not run twice: what is retried, and which outcome is reported."""

    def test_uses_a_new_connection(self):
        self.start_request(NON_IDEMPOTENT)
        self.assertTrue(self.calls[0].new_connection)

    def test_fails_with_502_and_no_retry_when_the_request_may_have_run(self):
        # 503 would report that the request did not run.
        for failure in client.Failure:
            with self.subTest(failure):
                self.setUp()
                self.start_request(NON_IDEMPOTENT)
                self.fail_call(failure, may_have_run=True)
                self.assertEqual(len(self.calls), 1)
                self.assert_ended(502)

    def test_reports_not_run_when_all_connections_failed(self):
        self.start_request(NON_IDEMPOTENT)
        for _ in self.context.servers:
            self.fail_call(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.assertEqual(len(self.calls), len(self.context.servers))
        self.assert_ended(503)

    def test_does_not_run_twice_after_a_failed_connection(self):
        self.start_request(NON_IDEMPOTENT)
        self.fail_call(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.fail_call(may_have_run=True)
        self.assertEqual(len(self.calls), 2)
        self.assert_ended(502)

    def test_reports_not_run_when_the_server_refused(self):
        self.start_request(NON_IDEMPOTENT)
        self.receive_head("not_run", 503)
        self.assert_ended(503)

    # Guards against callers that book again since a server that ran their request answered 503.
    def test_status_that_reads_as_not_run_is_replaced_if_the_request_ran(self):
        for status, expected in ((503, 502), (429, 502), (500, 500), (404, 404)):
            with self.subTest(status=status):
                self.setUp()
                self.start_request(NON_IDEMPOTENT)
                self.receive_head("answer", status)
                if expected == status:
                    self.complete_answer()
                self.assert_ended(expected)
                self.assertEqual((len(self.calls), self.context.failures), (1, []))

    def test_status_that_reads_as_not_run_is_relayed_if_the_request_may_run_again(self):
        self.context.retries_left = 0
        self.start_request(PLAIN)
        self.receive_head("answer", 503)
        self.complete_answer()
        self.assert_ended(503)

    def test_retries_a_failed_connection_when_attempts_are_left(self):
        self.start_request(attrs.evolve(NON_IDEMPOTENT, attempts=2))
        self.fail_call(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.assertEqual(len(self.calls), 2)
        self.fail_call(may_have_run=True)
        self.assert_ended(502)

    def test_does_not_retry_a_stalled_request(self):
        self.start_request(attrs.evolve(NON_IDEMPOTENT, attempts=3))
        self.context.loop.advance(9.9)
        self.assertEqual(len(self.calls), 1)
        self.context.loop.advance(0.2)
        self.assert_ended(504)

    def test_cancels_and_fails_on_an_answer_to_another_request(self):
        self.start_request(NON_IDEMPOTENT)
        self.receive_head("foreign")
        self.assertTrue(self.calls[0].cancelled)
        self.assert_ended(502)


class TestStreams(ForwardingCase):
    """Streams that are relayed to the end, resumed on another server or aborted."""

    def relayed_event_ids(self) -> list[int]:
        lines = self.exchange.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    def test_relays_events_as_they_are_completed(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.assertFalse(self.exchange.has_started)
        self.receive_events(1, 2)
        self.assertEqual(self.relayed_event_ids(), [1, 2])
        self.calls[0].receiver.handle_data(b"id: 3\nda")
        self.assertEqual(self.relayed_event_ids(), [1, 2])
        self.calls[0].receiver.handle_data(b"ta: x\n\n")
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.relayed_event_ids(), [1, 2, 3])

    def test_end_tells_the_longest_pause_between_events(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        for event_id, pause_seconds in enumerate((0.0, 0.1, 0.4, 0.2), start=1):
            self.context.loop.advance(pause_seconds)
            self.receive_events(event_id)
        self.complete_answer()
        _, fields = self.context.outcomes[-1]
        self.assertAlmostEqual(fields["longest_pause"], 0.4)

    def test_resumes_a_broken_stream_after_the_last_complete_event(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.receive_events(1, 2)
        self.calls[0].receiver.handle_data(b"id: 3\nda")
        self.fail_call()
        self.assertEqual(self.calls[1].request.header(b"resume"), b"2")
        self.receive_head("stream")
        self.receive_events(2, 3, 4)
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.relayed_event_ids(), [1, 2, 3, 4])

    def test_retries_a_stream_that_ends_inside_an_event(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.calls[0].receiver.handle_data(b"id: 2\nda")
        self.complete_answer()
        self.assertEqual(len(self.calls), 2)

    def test_aborts_a_broken_stream_that_is_not_resumable(self):
        self.start_request(attrs.evolve(STREAM, resumable=False))
        self.receive_head("stream")
        self.receive_events(1)
        self.fail_call()
        self.assert_ended(200, "aborted")

    def test_aborts_a_stream_when_the_server_refuses_to_resume_it(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.fail_call()
        self.receive_head("not_run", 503)
        self.assert_ended(200, "aborted")

    def test_replaces_a_server_that_sends_no_first_event(self):
        self.start_request(STREAM)
        self.context.loop.advance(forwarding.MIN_FIRST_EVENT_TIMEOUT_SECONDS + 0.1)
        self.assertTrue(self.calls[0].cancelled)
        self.receive_head("stream")
        self.receive_events(1)
        self.complete_answer()
        self.assert_ended(200)

    # Guards against prompts that are read twice since their server is only busy.
    def test_replaces_a_server_that_accepts_connections_later(self):
        self.context.responsive = {"s1"}
        self.start_request(STREAM)
        timeout_seconds = forwarding.MIN_FIRST_EVENT_TIMEOUT_SECONDS
        self.context.loop.advance(1.9 * timeout_seconds)
        self.assertEqual(len(self.calls), 1)
        self.assertEqual(set(self.context.checked), {"s1"})
        self.context.loop.advance(0.4 * timeout_seconds)
        self.assertEqual(len(self.calls), 2)

    def test_replaces_a_server_once_it_is_found_not_to_respond(self):
        self.context.responsive = {"s1"}
        self.start_request(STREAM)
        timeout_seconds = forwarding.MIN_FIRST_EVENT_TIMEOUT_SECONDS
        self.context.loop.advance(1.1 * timeout_seconds)
        self.assertEqual(len(self.calls), 1)
        self.context.responsive = set()
        self.context.loop.advance(0.25 * timeout_seconds)
        self.assertEqual(len(self.calls), 2)

    def test_does_not_replace_a_server_with_a_backlog(self):
        self.context.backlogged = {"s1"}
        self.start_request(STREAM)
        self.context.loop.advance(8.0)
        self.assertEqual(len(self.calls), 1)

    # Guards against a group that never starts on engines that serve others meanwhile: its caller
    # was answered with an error at the deadline.
    def test_replaces_a_group_that_does_not_start_in_time_for_a_second_one(self):
        route = attrs.evolve(STREAM, timeout_seconds=15.0, latency_objective_seconds=4.0)
        patience_seconds = min(15.0, selection.first_token_timeout(route))
        self.context.backlogged = self.context.responsive = {"s1", "s2", "s3"}
        self.context.helpers = ("h1", "h2")
        self.context.predicted_seconds = 4.0
        self.start_request(route, time_limit_seconds=15.0)
        self.context.loop.advance(0.9 * forwarding.GROUP_START_RATIO * patience_seconds)
        self.assertEqual(len(self.calls), 1)
        self.context.predicted_seconds = 2.0
        self.context.loop.advance(0.15 * forwarding.GROUP_START_RATIO * patience_seconds)
        self.assertEqual(len(self.calls), 2)
        self.assertTrue(self.calls[0].cancelled)
        self.assertEqual(self.context.server_loads.load("s1", 0.0), load_table.ServerLoad())
        self.receive_head("stream")
        self.receive_events(1)
        self.complete_answer()
        self.assert_ended(200)

    # Guards against memory that helpers set aside for longer than the platform permits: a check
    # just before the time of a second group was followed by one that was far too late.
    def test_replaces_a_group_at_that_time_whatever_was_predicted(self):
        route = attrs.evolve(STREAM, timeout_seconds=15.0, latency_objective_seconds=4.0)
        start_seconds = forwarding.GROUP_START_RATIO * min(
            15.0, selection.first_token_timeout(route)
        )
        for ratio in (0.2, 0.5, 0.8, 0.9, 0.98, 0.999, 1.0, 1.5):
            with self.subTest(ratio=ratio):
                self.setUp()
                self.context.backlogged = self.context.responsive = {"s1", "s2", "s3"}
                self.context.helpers = ("h1", "h2")
                predicted_seconds = ratio * start_seconds / forwarding.FIRST_EVENT_TIMEOUT_RATIO
                self.context.predicted_seconds = predicted_seconds
                self.start_request(route, time_limit_seconds=15.0)
                self.context.loop.advance(0.99 * start_seconds)
                self.assertEqual(len(self.calls), 1)
                self.context.predicted_seconds = 0.1
                self.context.loop.advance(0.02 * start_seconds)
                self.assertEqual(len(self.calls), 2)

    def test_does_not_replace_a_server_when_others_are_no_faster(self):
        self.start_request(STREAM)
        self.context.predicted_seconds = 5.0
        self.context.loop.advance(2.0)
        self.assertEqual(len(self.calls), 1)

    def test_ignores_a_late_answer_of_a_replaced_server(self):
        self.start_request(STREAM)
        self.context.loop.advance(forwarding.MIN_FIRST_EVENT_TIMEOUT_SECONDS + 0.1)
        self.receive_head("stream", call_index=0)
        self.receive_events(7, call_index=0)
        self.complete_answer(call_index=0)
        self.assertFalse(self.exchange.has_started)

    def test_does_not_replace_a_server_when_no_other_is_left(self):
        self.context.servers = ["s1"]
        self.start_request(STREAM)
        self.context.loop.advance(5.0)
        self.assertFalse(self.calls[0].cancelled)
        self.receive_head("stream")
        self.receive_events(1)
        self.complete_answer()
        self.assert_ended(200)

    def test_resumes_a_stalled_stream_on_another_server(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.context.loop.advance(forwarding.MIN_STALL_TIMEOUT_SECONDS + 0.1)
        self.assertEqual(self.calls[1].request.header(b"resume"), b"1")

    # Guards against the check for the first event that went on after it, with its shorter timeout.
    def test_does_not_replace_a_slow_stream_before_the_timeout_between_events(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        for event_id in range(1, 8):
            self.receive_events(event_id)
            self.context.loop.advance(forwarding.MIN_STALL_TIMEOUT_SECONDS - 0.1)
        self.assertEqual(len(self.calls), 1)

    # Guards against a stalled stream that goes on as long as it sends a byte now and then.
    def test_resumes_a_stream_that_sends_bytes_but_completes_no_event(self):
        for data in (b"d", b": still here\n\n"):
            with self.subTest(data=data):
                self.setUp()
                self.start_request(STREAM)
                self.receive_head("stream")
                self.receive_events(1)
                for _ in range(8):
                    self.calls[0].receiver.handle_data(data)
                    self.context.loop.advance(0.25)
                self.assertEqual(len(self.calls), 2)
                self.assertEqual(self.calls[1].request.header(b"resume"), b"1")

    def test_replaces_a_server_that_sends_bytes_but_no_first_event(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        for _ in range(6):
            self.calls[0].receiver.handle_data(b"d")
            self.context.loop.advance(0.25)
        self.assertEqual(len(self.calls), 2)


class TestOutcomes(ForwardingCase):
    """Requests that end by a disconnect of the caller, at the deadline or with a refusal."""

    def test_cancels_the_attempt_when_the_caller_disconnects(self):
        self.start_request(STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.exchange.on_disconnect()
        self.assertTrue(self.calls[0].cancelled)
        self.assertEqual(self.context.outcomes[0][0], "caller_gone")
        self.context.loop.advance(20.0)
        self.assertEqual(len(self.calls), 1)

    def test_fails_the_request_at_its_deadline(self):
        self.start_request(PLAIN, time_limit_seconds=0.5)
        self.context.loop.advance(0.49)
        self.assertFalse(self.exchange.has_started)
        self.context.loop.advance(0.02)
        self.assert_ended(504)

    def test_refuses_at_once_when_no_server_is_available(self):
        self.context.servers = []
        self.start_request(PLAIN)
        self.assert_ended(503)
        self.assertEqual(self.calls, [])
