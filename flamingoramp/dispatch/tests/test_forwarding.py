"""Tests of a request's life, with sockets, clock and backend servers replaced."""

from __future__ import annotations

import unittest
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.dispatch import forwarding
from flamingoramp.http import client, messages
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_book
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
ONCE = attrs.evolve(PLAIN, name="once", idempotency=traffic.Idempotency.NON_IDEMPOTENT, attempts=1)
HEAD = ((b"x-id", b"r1"),)


@attrs.define
class Call:
    """A send that a test answers."""

    address: str
    request: messages.Request
    receiver: Any
    fresh: bool
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


class Pool:
    """Keeps what was sent."""

    def __init__(self):
        self.calls: list[Call] = []

    def send(self, address, request, receiver, *, fresh=False) -> Call:
        self.calls.append(Call(address, request, receiver, fresh))
        return self.calls[-1]


class Exchange:
    """Keeps the answer that the caller gets."""

    def __init__(self):
        self.request = messages.Request(b"POST", b"/", (), b"body")
        self.arrived_at = 0.0
        self.status = 0
        self.headers: messages.Headers = ()
        self.body = b""
        self.ended = ""
        self.on_gone: Any = None

    @property
    def has_started(self) -> bool:
        return self.status != 0

    def answer(self, answer: messages.Answer) -> None:
        self.start(answer.status, answer.headers)
        self.send(answer.body)
        self.finish()

    def start(self, status, headers, *, length=None) -> None:
        if not self.has_started:
            self.status, self.headers = status, headers

    def send(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.ended = self.ended or "whole"

    def abort(self) -> None:
        self.ended = self.ended or "aborted"


class Dialect:
    """Reads a verdict from a header, and passes requests on as they are."""

    def encode_error(self, error: errors.FlamingorampError) -> messages.Answer:
        return messages.Answer(error.status, ((b"code", error.code.encode()),))

    def encode_forward(self, forward: dialects.Forward) -> messages.Request:
        headers = (
            (b"time-left", b"%d" % int(forward.time_left * 1000)),
            (b"resume", forward.last_event_id.encode()),
        )
        return messages.Request(b"POST", b"/", headers, forward.request.body)

    def read_answer(self, head: client.Head, request_id: str) -> dialects.Reading:
        verdict = head.header(b"verdict")
        return dialects.Reading(dialects.Verdict(verdict.decode()))


class Entry:
    """The surroundings of a request: servers ``s1``, ``s2``, ``s3`` in this order."""

    def __init__(self):
        self.loop = virtual_time.VirtualLoop()
        self.pool = Pool()
        self.dialect = Dialect()
        self.book = load_book.LoadBook()
        self.servers = ["s1", "s2", "s3"]
        self.retries = 100
        self.explained: set[str] = set()
        self.predicted = 0.1
        self.ends: list[tuple[str, dict[str, Any]]] = []
        self.broken: list[tuple[str, bool]] = []

    def choose(self, admitted, excluded) -> forwarding.Target:
        for name in self.servers:
            if name not in excluded:
                record = inner.ServerRecord(server=name, address=f"{name}:1")
                work = load_book.Work(name, part_seconds=0.1, reading_until=0.1)
                return forwarding.Target(record, works=(work,), predicted_seconds=self.predicted)
        raise errors.NoBackendError("none left", retry_after=0.4)

    def note_first_send(self, service) -> None:
        """Do nothing."""

    def take_retry(self, service) -> bool:
        self.retries -= 1
        return self.retries >= 0

    def note_broken(self, admitted, server, crashed) -> None:
        self.broken.append((server.server, crashed))

    def explains_silence(self, admitted, server) -> bool:
        return server.server in self.explained

    def note_silent(self, server) -> None:
        """Do nothing."""

    def note_answer(self, server, failed) -> None:
        """Do nothing."""

    def note_pace(self, service, server, gaps) -> None:
        """Do nothing."""

    def note_step(self, admitted, event, **fields) -> None:
        """Do nothing."""

    def note_end(self, admitted, outcome, **fields) -> None:
        self.ends.append((outcome, fields))


class ForwardingCase(unittest.TestCase):
    """Starts a request of a route."""

    def setUp(self):
        self.entry = Entry()
        self.exchange = Exchange()

    def start(self, route: traffic.Route, *, limit: float = 10.0) -> None:
        admitted = forwarding.Admitted(
            exchange=self.exchange,
            caller=dialects.CallerRequest("r1", "h", "/"),
            route=route,
            service="s",
            workspace="w",
            priority=1,
            fingerprint="f",
            time_limit=limit,
        )
        forwarding.Forwarding(self.entry, admitted, lambda _one: None).start()

    @property
    def calls(self) -> list[Call]:
        return self.entry.pool.calls

    def head(self, verdict: str, status: int = 200, number: int = -1) -> None:
        headers = (*HEAD, (b"verdict", verdict.encode()))
        self.calls[number].receiver.handle_head(client.Head(status, headers))

    def events(self, *numbers: int, number: int = -1) -> None:
        data = b"".join(b"id: %d\ndata: x\n\n" % one for one in numbers)
        self.calls[number].receiver.handle_data(data)

    def complete(self, number: int = -1) -> None:
        self.calls[number].receiver.handle_complete()

    def fail(self, failure=client.Failure.RESET, *, may_have_run=True, number: int = -1) -> None:
        self.calls[number].receiver.handle_failure(failure, may_have_run=may_have_run)

    def check_over(self, status: int, ended: str = "whole") -> None:
        self.assertEqual((self.exchange.status, self.exchange.ended), (status, ended))
        self.assertEqual(len(self.entry.ends), 1)
        for server in self.entry.servers:
            self.assertEqual(self.entry.book.load(server, 0.0), load_book.ServerLoad())


class TestPlain(ForwardingCase):
    """Requests with whole answers."""

    def test_an_answer_is_passed_on_whole(self):
        self.start(PLAIN)
        self.head("answer", 404)
        self.calls[0].receiver.handle_data(b"not ")
        self.calls[0].receiver.handle_data(b"here")
        self.assertFalse(self.exchange.has_started)
        self.complete()
        self.check_over(404)
        self.assertEqual(self.exchange.body, b"not here")

    def test_half_an_answer_is_never_passed_on(self):
        self.start(PLAIN)
        self.head("answer")
        self.calls[0].receiver.handle_data(b"half")
        self.fail()
        self.head("answer")
        self.calls[1].receiver.handle_data(b"whole")
        self.complete()
        self.check_over(200)
        self.assertEqual(self.exchange.body, b"whole")

    def test_attempts_are_bounded(self):
        self.start(PLAIN)
        self.fail()
        self.fail()
        self.assertEqual(len(self.calls), 2)
        self.check_over(502)

    def test_retries_stop_when_the_allowance_is_used_up(self):
        self.entry.retries = 0
        self.start(PLAIN)
        self.fail()
        self.assertEqual(len(self.calls), 1)
        self.check_over(502)

    def test_the_second_send_has_less_time(self):
        self.start(PLAIN, limit=1.0)
        self.entry.loop.advance(0.2)
        self.fail()
        left = [int(call.request.header(b"time-left")) for call in self.calls]
        self.assertEqual(left, [1000, 800])


class TestOnce(ForwardingCase):
    """Requests that may run once at most."""

    def test_a_new_connection_each_time(self):
        self.start(ONCE)
        self.assertTrue(self.calls[0].fresh)

    def test_nothing_that_may_have_run_is_said_not_to(self):
        for failure in client.Failure:
            with self.subTest(failure):
                self.setUp()
                self.start(ONCE)
                self.fail(failure, may_have_run=True)
                self.assertEqual(len(self.calls), 1)
                self.check_over(502)

    def test_what_was_never_sent_is_said_not_to_have_run(self):
        self.start(ONCE)
        self.fail(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.check_over(503)

    def test_what_was_refused_is_said_not_to_have_run(self):
        self.start(ONCE)
        self.head("not_run", 503)
        self.check_over(503)

    def test_what_was_never_sent_goes_to_another_server_where_attempts_allow(self):
        self.start(attrs.evolve(ONCE, attempts=2))
        self.fail(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.assertEqual(len(self.calls), 2)
        self.fail(may_have_run=True)
        self.check_over(502)

    def test_silence_never_leads_to_a_second_send(self):
        self.start(attrs.evolve(ONCE, attempts=3))
        self.entry.loop.advance(9.9)
        self.assertEqual(len(self.calls), 1)
        self.entry.loop.advance(0.2)
        self.check_over(504)

    def test_an_answer_to_another_request_is_a_failure(self):
        self.start(ONCE)
        self.head("foreign")
        self.assertTrue(self.calls[0].cancelled)
        self.check_over(502)


class TestStreams(ForwardingCase):
    """Streams, whole and taken up."""

    def ids(self) -> list[int]:
        lines = self.exchange.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    def test_events_are_passed_on_as_they_come(self):
        self.start(STREAM)
        self.head("stream")
        self.assertFalse(self.exchange.has_started)
        self.events(1, 2)
        self.assertEqual(self.ids(), [1, 2])
        self.calls[0].receiver.handle_data(b"id: 3\nda")
        self.assertEqual(self.ids(), [1, 2])
        self.calls[0].receiver.handle_data(b"ta: x\n\n")
        self.complete()
        self.check_over(200)
        self.assertEqual(self.ids(), [1, 2, 3])

    def test_a_cut_stream_goes_on_after_the_last_event(self):
        self.start(STREAM)
        self.head("stream")
        self.events(1, 2)
        self.calls[0].receiver.handle_data(b"id: 3\nda")
        self.fail()
        self.assertEqual(self.calls[1].request.header(b"resume"), b"2")
        self.head("stream")
        self.events(2, 3, 4)
        self.complete()
        self.check_over(200)
        self.assertEqual(self.ids(), [1, 2, 3, 4])

    def test_a_stream_that_ends_inside_an_event_is_cut(self):
        self.start(STREAM)
        self.head("stream")
        self.events(1)
        self.calls[0].receiver.handle_data(b"id: 2\nda")
        self.complete()
        self.assertEqual(len(self.calls), 2)

    def test_a_stream_that_can_not_go_on_is_aborted(self):
        self.start(attrs.evolve(STREAM, resumable=False))
        self.head("stream")
        self.events(1)
        self.fail()
        self.check_over(200, "aborted")

    def test_a_refusal_to_go_on_is_no_end(self):
        self.start(STREAM)
        self.head("stream")
        self.events(1)
        self.fail()
        self.head("not_run", 503)
        self.check_over(200, "aborted")

    def test_a_server_that_says_nothing_is_replaced(self):
        self.start(STREAM)
        self.entry.loop.advance(forwarding.PATIENCE_SECONDS + 0.1)
        self.assertTrue(self.calls[0].cancelled)
        self.head("stream")
        self.events(1)
        self.complete()
        self.check_over(200)

    def test_a_server_that_is_known_to_be_busy_is_not_replaced(self):
        self.entry.explained = {"s1"}
        self.start(STREAM)
        self.entry.loop.advance(8.0)
        self.assertEqual(len(self.calls), 1)

    def test_nothing_is_sent_twice_while_all_are_slow(self):
        self.start(STREAM)
        self.entry.predicted = 5.0
        self.entry.loop.advance(2.0)
        self.assertEqual(len(self.calls), 1)

    def test_a_late_answer_of_a_replaced_server_reaches_nobody(self):
        self.start(STREAM)
        self.entry.loop.advance(forwarding.PATIENCE_SECONDS + 0.1)
        self.head("stream", number=0)
        self.events(7, number=0)
        self.complete(number=0)
        self.assertFalse(self.exchange.has_started)

    def test_the_silent_server_stays_when_no_other_is_left(self):
        self.entry.servers = ["s1"]
        self.start(STREAM)
        self.entry.loop.advance(5.0)
        self.assertFalse(self.calls[0].cancelled)
        self.head("stream")
        self.events(1)
        self.complete()
        self.check_over(200)

    def test_a_stream_that_falls_silent_goes_on_elsewhere(self):
        self.start(STREAM)
        self.head("stream")
        self.events(1)
        self.entry.loop.advance(forwarding.SILENCE_SECONDS + 0.1)
        self.assertEqual(self.calls[1].request.header(b"resume"), b"1")


class TestEnds(ForwardingCase):
    """Callers that leave, and limits that pass."""

    def test_a_caller_that_leaves_cancels_the_work_at_once(self):
        self.start(STREAM)
        self.head("stream")
        self.events(1)
        self.exchange.on_gone()
        self.assertTrue(self.calls[0].cancelled)
        self.assertEqual(self.entry.ends[0][0], "caller_gone")
        self.entry.loop.advance(20.0)
        self.assertEqual(len(self.calls), 1)

    def test_the_time_limit_gives_the_final_answer(self):
        self.start(PLAIN, limit=0.5)
        self.entry.loop.advance(0.49)
        self.assertFalse(self.exchange.has_started)
        self.entry.loop.advance(0.02)
        self.check_over(504)

    def test_no_server_is_a_refusal_at_once(self):
        self.entry.servers = []
        self.start(PLAIN)
        self.check_over(503)
        self.assertEqual(self.calls, [])
