"""End-to-end tests of backend servers that repeat, mix up or cut off their answers."""

from __future__ import annotations

import json
import unittest

import attrs

from flamingoramp.dispatch import error_boundary, memory_reservations
from flamingoramp.http import client, connections, exchanges, messages
from flamingoramp.http.tests import test_client
from flamingoramp.platform import platform_dialect
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.runtime import loop as loops

# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time after which a server that repeated an answer sends that to the request in hand.
RUN_SECONDS = 0.2
PLAIN_ANSWER = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: STAMP\r\n"
    b"content-length: 5\r\n\r\nwhole"
)
HEAD_OF_STREAM = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: STAMP\r\n"
    b"content-type: text/event-stream\r\n"
)
TWO_EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
ERROR_TEXT = b"the engine failed"
EARLY_ANSWER = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: STAMP\r\n\r\na part of the body"
)
LONG_BODY = bytes(1_000_000)
REQUEST_ID = b"x-attempt-id: ID\r\n"
SIGNATURE = b"x-response-stamp: STAMP\r\n"
LENGTH = b"content-length: 17\r\n\r\n"


def make_chunk(data: bytes) -> bytes:
    """Return a part of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


BROKEN_STREAMS = {
    "in chunks": HEAD_OF_STREAM + b"transfer-encoding: chunked\r\n\r\n" + make_chunk(TWO_EVENTS),
    "with a length": HEAD_OF_STREAM + b"content-length: 500\r\n\r\n" + TWO_EVENTS,
    "without a length": HEAD_OF_STREAM + b"\r\n" + TWO_EVENTS + b"id: 3\ndata: pi",
}
ERRORS = {
    "failed": b"HTTP/1.1 500 Failed\r\n" + REQUEST_ID + SIGNATURE + LENGTH + ERROR_TEXT,
    "bad request": b"HTTP/1.1 400 Bad\r\n" + REQUEST_ID + SIGNATURE + LENGTH + ERROR_TEXT,
    "plain success": b"HTTP/1.1 200 OK\r\n" + REQUEST_ID + SIGNATURE + LENGTH + ERROR_TEXT,
    "refused": b"HTTP/1.1 503 Full\r\n"
    + REQUEST_ID
    + b"x-not-executed: 1\r\n"
    + LENGTH
    + ERROR_TEXT,
    "not its own": b"HTTP/1.1 421 Other\r\n" + LENGTH + ERROR_TEXT,
    "without a length": b"HTTP/1.1 500 Failed\r\n" + REQUEST_ID + SIGNATURE + b"\r\n" + ERROR_TEXT,
    "unsigned stream": b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    + LENGTH
    + ERROR_TEXT,
    "no HTTP": ERROR_TEXT + b"\r\n\r\n",
    "cut off in its head": b"HTTP/1.1 500 Failed\r\n" + REQUEST_ID,
}


@attrs.frozen
class RawAnswer:
    """Bytes of an answer, with ``ID`` and ``STAMP`` as placeholders; it closes after them."""

    data: bytes


class ScriptedServer(fake_server.FakeServer):
    """Server that sends the next of some raw answers to each request, and sound ones after them.

    Servers that share the list of answers share the order, too.
    """

    def __init__(self, name: str, service: str, seeds: list[str], answers: list[RawAnswer]):
        self._answers = answers
        super().__init__(name, service, seeds)

    def _handle(self, exchange: exchanges.Exchange) -> None:
        if not self._answers:
            super()._handle(exchange)
            return
        self.requests.append(exchange.request)
        request_id = exchange.request.header(b"x-attempt-id") or b""
        data = self._answers.pop(0).data.replace(b"ID", request_id).replace(b"STAMP", b"stamp")
        stream = exchange._connection._stream
        stream.write(data)
        stream.shut_down_gracefully()


class RepeatingServer(fake_server.FakeServer):
    """Server that refuses the first request of each connection, and repeats that before the next.

    It runs the later ones. ``headers`` are those of a refusal; ``ID`` stands for the request's id.
    """

    def __init__(
        self, name: str, service: str, seeds: list[str], status: int, headers: messages.Headers
    ):
        self._status = status
        self._headers = headers
        self._refusal_headers: dict[connections.Connection, messages.Headers] = {}
        self.run_ids: list[bytes] = []
        self.repeat_count = 0
        super().__init__(name, service, seeds)

    def _handle(self, exchange: exchanges.Exchange) -> None:
        request_id = exchange.request.header(b"x-attempt-id") or b""
        connection = exchange._connection
        if connection not in self._refusal_headers:
            headers = tuple(
                [(key, value.replace(b"ID", request_id)) for key, value in self._headers]
            )
            self._refusal_headers[connection] = headers
            exchange.respond(messages.Response(self._status, headers))
            return
        self.repeat_count += 1
        self.run_ids.append(request_id)
        lines = [b"HTTP/1.1 %d Refused" % self._status, b"content-length: 0"]
        lines += [b"%b: %b" % header for header in self._refusal_headers[connection]]
        connection._stream.write(b"\r\n".join([*lines, b"", b""]))
        self._loop.call_later(RUN_SECONDS, lambda: super(RepeatingServer, self)._handle(exchange))


def wait_announced(fleet: fleets.Fleet, name: str) -> None:
    """Wait until all entries know a server."""
    for entry in fleet.entries:
        fleets.wait_for(lambda entry=entry: entry.daemon.registry.find_server(name), name)


def start_scripted(
    fleet: fleets.Fleet, service: str, answers_by_name: dict[str, list[RawAnswer]]
) -> None:
    """Start servers that send raw answers."""
    for name, answers in answers_by_name.items():
        fleet.servers.append(ScriptedServer(name, service, fleet.seeds, answers))
    for name in answers_by_name:
        wait_announced(fleet, name)


class TestRepeatedRefusals(fleets.FleetTestCase):
    """A server writes an earlier refusal once more on a kept connection."""

    REFUSALS = {
        "with its id": (503, ((b"x-attempt-id", b"ID"), (b"x-not-executed", b"1"))),
        "without an id": (503, ((b"x-not-executed", b"1"),)),
        "too many": (429, ((b"x-not-executed", b"1"),)),
        "of another server": (421, ()),
    }

    # Guards against callers that are told to try again though a server runs their request.
    def test_no_request_that_runs_is_answered_as_not_run(self):
        for name, (status, headers) in self.REFUSALS.items():
            with self.subTest(refusal=name):
                fleet = self.start_serving(entries=1)
                repeating = RepeatingServer("d1", "desk", fleet.seeds, status, headers)
                fleet.servers.append(repeating)
                wait_announced(fleet, "d1")
                statuses = {}
                for number in range(12):
                    route = "hold" if number % 4 == 3 else "read"
                    request_id = f"r{number}"
                    answer = self.send(fleet, route, x_attempt_id=request_id)
                    statuses[request_id.encode()] = answer.status
                self.assertGreater(repeating.repeat_count, 0)
                for run_id in repeating.run_ids:
                    self.assertNotIn(statuses[run_id], NOT_RUN_STATUSES, run_id)
                self.assertEqual(len(repeating.run_ids), len(set(repeating.run_ids)))


class TestStatuses(fleets.FleetTestCase):
    """What a caller gets for each status of a server, by whether the request may run again."""

    # Guards against callers that repeat a booking which a server ran and answered with 503.
    def test_request_that_ran_is_never_answered_as_not_run(self):
        fleet = self.start_serving(entries=1)
        answers: list[RawAnswer] = []
        # Servers that fail are avoided for a while.
        start_scripted(fleet, "desk", {f"d{number}": answers for number in range(24)})
        for status in (200, 201, 400, 404, 408, 409, 421, 429, 500, 503, 504):
            for is_marked in (False, True):
                mark = b"x-not-executed: 1\r\n" if is_marked else b""
                data = (
                    b"HTTP/1.1 %d Status\r\n" % status
                    + REQUEST_ID
                    + SIGNATURE
                    + mark
                    + b"content-length: 5\r\n\r\nwhole"
                )
                has_run = not (is_marked or status == 421)
                with self.subTest(status=status, is_marked=is_marked):
                    answers[:] = [RawAnswer(data)]
                    answer = self.send(fleet, "hold")
                    self.assertEqual(answers, [])
                    if has_run and status in NOT_RUN_STATUSES:
                        self.assertEqual(answer.status, 502)
                        self.assertNotIn("x-response-stamp", answer.headers)
                    elif has_run:
                        self.assertEqual((answer.status, answer.body), (status, b"whole"))
                        self.assertEqual(answer.headers["x-response-stamp"], "stamp")
                    else:
                        self.assertEqual(answer.status, 503)
                        self.assertIn("retry-after", answer.headers)


class TestErrorsAfterBrokenStreams(fleets.FleetTestCase):
    """A stream breaks off, and the next server answers with an error."""

    def check_answer(self, stream: bytes, error: bytes) -> None:
        # Servers that fail are avoided for a while, so each case has its own.
        fleet = self.start_serving(entries=1)
        answers = [RawAnswer(stream), RawAnswer(error)]
        start_scripted(fleet, "llm", {"e1": answers, "e2": answers})
        answer = self.send(fleet, "stream")
        self.assertEqual(answers, [], "both servers got the request")
        self.assertEqual((answer.status, answer.body), (0, TWO_EVENTS))
        self.assertEqual(answer.headers["x-response-stamp"], "stamp")

    # Guards against error texts in the middle of a stream, and against streams that end as if they
    # were complete.
    def test_caller_gets_the_events_and_no_end(self):
        for name, error in ERRORS.items():
            with self.subTest(error=name):
                self.check_answer(BROKEN_STREAMS["in chunks"], error)
        for name, stream in BROKEN_STREAMS.items():
            with self.subTest(stream=name):
                self.check_answer(stream, ERRORS["failed"])


class EarlyBackend(fake_server.FakeServer):
    """Server whose requests are answered by a `test_client.EarlyServer`."""

    def __init__(self, name: str, service: str, seeds: list[str], ending: str, answer: bytes):
        # A small buffer, so that the entry is still writing.
        self.early_server = test_client.EarlyServer(
            answer, ending, body_bytes=len(LONG_BODY), buffer_bytes=4096
        )
        super().__init__(name, service, seeds)

    def make_announcement(self) -> bytes:
        body = json.loads(super().make_announcement())
        return json.dumps({**body, "addr": self.early_server.address}).encode()

    def close(self) -> None:
        self.early_server.close()
        super().close()


class TestAnswersBeforeTheRequestWasRead(fleets.FleetTestCase):
    """A server answers with 200 and no length, and ends the connection during a long upload."""

    # Guards against a part of an answer that a caller gets as a whole one.
    def test_no_part_of_an_answer_is_a_success(self):
        for ending in test_client.EarlyServer.ENDINGS_TOO_EARLY:
            with self.subTest(ending=ending):
                answer = self.send_upload("hold", "desk", ending, EARLY_ANSWER)
                self.assertEqual(answer.status, 502)
                self.assertNotIn("x-response-stamp", answer.headers)

    # Guards against a stream whose end is the end of the connection, after whole events.
    def test_no_part_of_a_stream_is_a_whole_one(self):
        stream = HEAD_OF_STREAM + b"\r\n" + TWO_EVENTS
        for ending in test_client.EarlyServer.ENDINGS_TOO_EARLY:
            with self.subTest(ending=ending):
                answer = self.send_upload("stream", "llm", ending, stream)
                self.assertNotEqual(answer.status // 100, 2, answer)

    def test_stream_that_ends_after_the_request_was_read_is_whole(self):
        stream = HEAD_OF_STREAM + b"\r\n" + TWO_EVENTS
        answer = self.send_upload("stream", "llm", "read", stream)
        self.assertEqual((answer.status, answer.body), (200, TWO_EVENTS))

    def send_upload(self, route: str, service: str, ending: str, answer: bytes) -> fleets.Answer:
        fleet = self.start_serving(entries=1)
        fleet.servers.append(EarlyBackend("early", service, fleet.seeds, ending, answer))
        wait_announced(fleet, "early")
        return self.send(fleet, route, body=LONG_BODY)


class TestStatusesThatAreNone(fleets.FleetTestCase):
    """A server answers with a status that isn't one."""

    # Guards against a status that callers take for an answer of the server.
    def test_callers_get_a_failure_of_the_entry(self):
        fleet = self.start_serving(entries=1)
        answers: list[RawAnswer] = []
        # Servers that fail are avoided for a while.
        start_scripted(fleet, "desk", {f"d{number}": answers for number in range(24)})
        for status in (b"000", b"099", b"600", b"999", b"20", b"2x0"):
            for route in ("hold", "read"):
                with self.subTest(status=status, route=route):
                    data = b"HTTP/1.1 " + status + PLAIN_ANSWER[len(b"HTTP/1.1 200") :]
                    answers[:] = [RawAnswer(data)]
                    answer = self.send(fleet, route)
                    self.assertEqual(answers, [])
                    if route == "hold":
                        self.assertEqual(answer.status, 502)
                        self.assertNotIn("x-response-stamp", answer.headers)
                    else:
                        self.assertEqual(answer.status, 200, "another server answers")


class TestHeadsThatAreCutOff(fleets.FleetTestCase):
    """A server stops in the middle of an answer's head, or of its body, and closes."""

    # Guards against empty or short answers that look complete.
    def test_no_part_of_an_answer_is_a_success(self):
        fleet = self.start_serving(entries=1)
        answers: dict[str, list[RawAnswer]] = {"desk": [], "llm": []}
        for service in answers:
            start_scripted(fleet, service, {service: answers[service]})
        stream = BROKEN_STREAMS["in chunks"]
        for route, service, whole in (
            ("read", "desk", PLAIN_ANSWER),
            ("hold", "desk", PLAIN_ANSWER),
            ("stream", "llm", stream),
        ):
            for length in range(0, len(whole), 5):
                with self.subTest(route=route, length=length):
                    answers[service][:] = [RawAnswer(whole[:length])]
                    answer = self.send(fleet, route)
                    answers[service].clear()
                    self.assertNotEqual(answer.status // 100, 2, answer)


class TestAnswersToMemoryCommands(unittest.TestCase):
    """Engines that answer a command with what is no answer, or with a part of one."""

    FAULTY_ANSWERS = {
        "status 000": b"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
        "status 099": b"HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\n{}",
        "status 600": b"HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\n{}",
        "status 2000": b"HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\n{}",
        "part of a body": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{",
        "part of a chunk": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n{",
        "part of a head": b"HTTP/1.1 200 OK\r\ncontent-le",
        "no HTTP": b"{}",
    }
    WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n{}"

    def reserve(self, address: str) -> tuple[str, ...]:
        """Reserve memory at an engine; return the names of those that refused."""
        loop = loops.Loop()
        pool = client.Pool(loop)
        results: list[tuple[str, ...]] = []
        hold = memory_reservations.MemoryHold("x", address, 1000, "t-x")

        def _handle_result(refused: tuple[str, ...]) -> None:
            results.append(refused)
            loop.stop()

        memory_reservations.MemoryReservation(
            error_boundary.ErrorBoundary(loop),
            pool,
            platform_dialect.PlatformDialect(),
            (hold,),
            _handle_result,
        )
        loop.run()
        pool.close()
        loop.close()
        (refused,) = results
        return refused

    # Guards against memory that is taken for reserved by an answer that isn't one.
    def test_faulty_answers_are_refusals(self):
        for name, answer in self.FAULTY_ANSWERS.items():
            with self.subTest(name):
                server = test_client.ScriptedServer([answer], close_after=True)
                self.addCleanup(server.close)
                self.assertEqual(self.reserve(server.address), ("x",))

    def test_answer_without_a_length_that_a_reset_ends_is_a_refusal(self):
        server = test_client.EarlyServer(self.WITHOUT_LENGTH, "reset", body_bytes=0)
        self.addCleanup(server.close)
        self.assertEqual(self.reserve(server.address), ("x",))

    def test_answer_without_a_length_after_the_whole_command_is_a_grant(self):
        server = test_client.ScriptedServer([self.WITHOUT_LENGTH], close_after=True)
        self.addCleanup(server.close)
        self.assertEqual(self.reserve(server.address), ())
