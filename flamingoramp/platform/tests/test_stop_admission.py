"""Tests of what an entry program that is stopped takes on, with callers that send slowly."""

from __future__ import annotations

import http.client
import random
import signal
import socket
import threading
import time
import unittest
from concurrent import futures

import attrs

from flamingoramp.platform.tests import fake_server, test_declarations, test_programs
from flamingoramp.platform.tests import fleet as fleets

ACCEPT_SECONDS = 2.5
STOP_SECONDS = 8.0
ANSWER_SECONDS = 4.5
EVENT_COUNT = 30
OUTPUT_TOKENS = 100
# Time limit of the callers and routes, which ends long after the stop.
LIMIT_SECONDS = 30.0
# Routes of calls, and whether their bodies are chunked.
ROUTES = (("stream", True), ("stream", False), ("hold", True), ("hold", False))
# An answer that begins this long after SIGTERM, or earlier, is complete in time.
SURELY_IN_TIME_SECONDS = 2.4


@attrs.frozen
class Call:
    """A request whose body arrives in pieces.

    Parameters
    ----------
    route : str
    is_chunked : bool
        Whether the body is sent in chunked encoding, and not with its length.
    starts_at : float
        Seconds from SIGTERM to the head.
    piece_count : int
    piece_seconds : float
        Time before each piece but the first.
    """

    route: str
    is_chunked: bool
    starts_at: float
    piece_count: int
    piece_seconds: float


@attrs.frozen
class Result:
    """What a caller got: status 0 if the connection ended without a complete head and body.

    ``sent_at`` is the time of the last byte of the request, and ``ended_at`` that of the last one
    of the answer, in seconds from SIGTERM.
    """

    request_id: str
    call: Call
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    has_begun: bool = False


def make_calls(seed: int) -> list[Call]:
    """Return calls around a SIGTERM; the bodies are complete 0.5 s before to 5.6 s after it."""
    rng = random.Random(seed)
    calls = [
        Call("stream", number % 2 == 0, rng.uniform(-1.0, 2.3), 5, 0.8) for number in range(12)
    ]
    calls += [Call("stream", True, rng.uniform(-1.0, 2.3), 2, 0.5) for _ in range(6)]
    calls += [Call("hold", number % 2 == 0, rng.uniform(-1.0, 2.3), 5, 0.8) for number in range(6)]
    return calls


def send_call(address: str, call: Call, request_id: str, stop_at: float) -> Result:
    """Send a call, with its head at its time from ``stop_at``, and read the answer."""
    host, _, port = address.rpartition(":")
    headers = {
        "host": fleets.ROUTE_HOST,
        "authorization": "Token k1",
        "x-attempt-id": request_id,
        "x-deadline-ms": str(int(1000 * LIMIT_SECONDS)),
    }
    if call.route == "stream":
        headers["x-token-count"] = f"1000,{OUTPUT_TOKENS}"
    if call.is_chunked:
        headers["transfer-encoding"] = "chunked"
    else:
        headers["content-length"] = str(call.piece_count)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    time.sleep(max(0.0, stop_at + call.starts_at - time.monotonic()))
    with socket.create_connection((host, int(port)), timeout=fleets.TIMEOUT_SECONDS) as sock:
        answer = http.client.HTTPResponse(sock, method="POST")
        status, answer_headers = 0, {}
        try:
            sock.sendall(f"POST /{call.route}/x HTTP/1.1\r\n{lines}\r\n".encode())
            for number in range(call.piece_count):
                time.sleep(call.piece_seconds if number else 0.0)
                sock.sendall(b"1\r\nb\r\n" if call.is_chunked else b"b")
            sock.sendall(b"0\r\n\r\n" if call.is_chunked else b"")
        except (BrokenPipeError, ConnectionResetError):
            pass  # refused before it was complete; the answer may have arrived
        sent_at = time.monotonic() - stop_at
        try:
            answer.begin()
            answer_headers = {name.lower(): value for name, value in answer.getheaders()}
            answer.read()
            status = answer.status
        except (http.client.HTTPException, OSError):
            pass
        ended_at = time.monotonic() - stop_at
    return Result(request_id, call, sent_at, ended_at, status, answer_headers, bool(answer_headers))


class StoppingEntryTestCase(unittest.TestCase):
    """Starts an entry process beside engines and a service that take `ANSWER_SECONDS`."""

    def setUp(self):
        self.fleet = fleets.Fleet(controls=1, entries=1)
        self.addCleanup(self.fleet.close)
        step_milliseconds = 1000 * ANSWER_SECONDS / OUTPUT_TOKENS
        engine = {**test_declarations.ENGINE, "stride": 1, "step_ms": step_milliseconds}
        document = fleets.make_document(1)
        document["services"][0]["engine"] = engine
        for route in document["routes"]:
            route["timeout_ms"] = 1000 * LIMIT_SECONDS
        self.services = document["services"]
        self.fleet.declare(1, routes=document["routes"], services=self.services)
        self.fleet.wait_in_force(1)
        # The entry process takes the place and the address of the fleet's entry.
        self.fleet.entries.pop().stop()
        self.entry = test_programs.DaemonProcess(
            self.fleet, 1, accept_seconds=ACCEPT_SECONDS, stop_seconds=STOP_SECONDS
        )
        self.addCleanup(self.entry.close)
        self.entry.wait_for_event("declaration.in_force")
        stream = fake_server.Behaviour(
            event_count=EVENT_COUNT, event_interval_seconds=ANSWER_SECONDS / EVENT_COUNT
        )
        self.engines = [self.fleet.add_server(f"e{number}", "llm", stream) for number in range(4)]
        slow = fake_server.Behaviour(answer_seconds=ANSWER_SECONDS)
        self.desk = self.fleet.add_server("d1", "desk", slow)
        self.entry.wait_for_event("server.changed", 5)

    def run_calls(self, calls: list[Call]) -> list[Result]:
        """Send calls around a SIGTERM, and wait for the answers and for the end of the entry."""
        address = self.entry.caller_address
        stop_at = time.monotonic() + 1.2
        with futures.ThreadPoolExecutor(len(calls)) as pool:
            running = [
                pool.submit(send_call, address, call, f"id{number}", stop_at)
                for number, call in enumerate(calls)
            ]
            time.sleep(max(0.0, stop_at - time.monotonic()))
            self.entry.process.send_signal(signal.SIGTERM)
            # Callers may end after the entry.
            self.assertEqual(self.entry.process.wait(fleets.TIMEOUT_SECONDS), 0)
            self.stopped_after = time.monotonic() - stop_at
            return [item.result() for item in running]

    def serve_once(self, *routes: str) -> None:
        """Send one request on each route and wait for the answers."""
        calls = [Call(route, False, 0.0, 1, 0.0) for route in routes]
        with futures.ThreadPoolExecutor(len(calls)) as pool:
            now = time.monotonic()
            running = [
                pool.submit(send_call, self.entry.caller_address, call, f"first{number}", now)
                for number, call in enumerate(calls)
            ]
            self.assertEqual({item.result().status for item in running}, {200})

    def arrived_ids(self) -> set[str]:
        """Return the ids of the requests that reached servers."""
        return {
            request.header(b"x-attempt-id").decode()
            for server in (*self.engines, self.desk)
            for request in server.requests
        }

    def describe(self, results: list[Result]) -> str:
        """Return a line for each result, with the log lines of its end."""
        ends = {
            line["request"]: line
            for name in ("request.refused", "request.ended")
            for line in self.entry.logged_events(name)
        }
        fields = ("event", "outcome", "code", "stopping", "received", "seconds")
        return "\n".join(
            f"{result.call.route} sent {result.sent_at:.2f} ended {result.ended_at:.2f} "
            f"status {result.status} "
            + " ".join(
                f"{name}={ends[result.request_id][name]}"
                for name in fields
                if name in ends.get(result.request_id, {})
            )
            for result in results
        )


class TestLateBodies(StoppingEntryTestCase):
    """Bodies that are complete so late that the answer can't end before the process."""

    # Guards against requests that a stopping entry passed on although it could not wait for the
    # end of their answers, and cut when it gave up.
    def check_bodies_that_arrive_late(self, seed: int) -> None:
        self.serve_once("stream", "hold")
        results = self.run_calls(make_calls(seed))
        cut = [result for result in results if result.status == 0]
        self.assertEqual(len(cut), 0, f"of {len(results)} cut:\n{self.describe(cut)}")
        unknown = [result for result in results if result.status not in (200, 503)]
        self.assertEqual(len(unknown), 0, self.describe(unknown))
        refused = [result for result in results if result.status == 503]
        self.assertTrue(refused)
        self.assertEqual(self.arrived_ids() & {result.request_id for result in refused}, set())
        for result in refused:
            with self.subTest(result=result):
                self.assertLess(result.ended_at - result.sent_at, 0.5)
                self.assertLess(float(result.headers["retry-after"]), 0.5)
                self.assertGreater(result.sent_at, SURELY_IN_TIME_SECONDS)
        self.assertLess(self.stopped_after, STOP_SECONDS)

    def test_requests_that_are_complete_too_late_are_refused_and_not_cut_seed_1(self):
        self.check_bodies_that_arrive_late(1)

    def test_requests_that_are_complete_too_late_are_refused_and_not_cut_seed_2(self):
        self.check_bodies_that_arrive_late(2)


class TestUnknownDurations(StoppingEntryTestCase):
    """Calls that must not run twice, of a route that the entry has not served before."""

    # Guards against a call that runs and can't be answered, which its caller may not repeat.
    def test_late_call_of_unknown_duration_is_refused_as_not_run(self):
        calls = [Call("hold", True, start, 5, 0.8) for start in (-1.4, -0.2, 0.8)]
        early, *late = self.run_calls([Call("hold", False, 0.5, 1, 0.0), *calls])
        self.assertEqual(early.status, 200)
        for result in late:
            with self.subTest(result=result):
                is_early = result.sent_at <= ACCEPT_SECONDS
                self.assertEqual(result.status, 200 if is_early else 503)
                self.assertEqual(result.request_id in self.arrived_ids(), is_early)


class TestPartialRequests(StoppingEntryTestCase):
    """Requests of which only a part has arrived when nothing can be taken on any more."""

    # Guards against connections that are closed at the end of a stop in the middle of a request,
    # without an answer.
    def test_requests_that_are_still_arriving_get_a_complete_refusal(self):
        calls = [Call(route, is_chunked, 0.5, 40, 0.2) for route, is_chunked in ROUTES]
        results = self.run_calls(calls)
        for result in results:
            with self.subTest(result=result):
                self.assertEqual(result.status, 503)
                self.assertGreater(result.ended_at, 6.5)
        self.assertEqual(self.arrived_ids(), set())
        [line] = self.entry.logged_events("process.refused_receiving")
        self.assertEqual(line["requests"], len(results))
        self.assertLess(self.stopped_after, STOP_SECONDS - 0.4)


class TestDisturbedStops(StoppingEntryTestCase):
    """Stops beside other events."""

    def test_second_signal_and_a_change_in_the_middle_change_nothing(self):
        self.serve_once("stream", "hold")
        routes = fleets.make_document(2)["routes"]
        for route in routes:
            route["timeout_ms"] = 1000 * LIMIT_SECONDS

        def _disturb() -> None:
            for number in range(3):
                time.sleep(0.9)
                self.entry.process.send_signal(signal.SIGTERM)
                self.fleet.declare(2 + number, routes=routes, services=self.services)

        disturbance = threading.Thread(target=lambda: (time.sleep(1.2), _disturb()))
        disturbance.start()
        results = self.run_calls(make_calls(3))
        disturbance.join()
        self.assertEqual({result.status for result in results}, {200, 503})
        self.assertGreaterEqual(len(self.entry.logged_events("declaration.in_force")), 2)
        self.assertEqual(len(self.entry.logged_events("process.stopping")), 1)
        for result in results:
            if result.status == 503:
                self.assertGreater(result.sent_at, SURELY_IN_TIME_SECONDS)

    def test_requests_beside_a_stop_right_after_the_start_get_whole_answers(self):
        self.entry.close()
        self.entry = test_programs.DaemonProcess(
            self.fleet, 1, accept_seconds=ACCEPT_SECONDS, stop_seconds=STOP_SECONDS
        )
        self.addCleanup(self.entry.close)
        self.entry.wait_for_event("process.started")
        starts = (-0.9, -0.5, 0.0, 0.2, 0.4, 0.8)
        results = self.run_calls([Call("stream", False, start, 1, 0.0) for start in starts])
        self.assertEqual({result.status for result in results}, {200}, self.describe(results))


class TestSlowReaders(StoppingEntryTestCase):
    """Callers that read a long answer for most of the stop."""

    def test_process_ends_only_after_a_slow_reader_has_the_whole_answer(self):
        length = 7 * 1024 * 1024
        self.desk.behaviour = fake_server.Behaviour(
            endless=fake_server.EndlessAnswer(
                b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: STAMP\r\n"
                b"content-length: %d\r\n\r\n" % length,
                bytes(65536),
            )
        )
        host, _, port = self.entry.caller_address.rpartition(":")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.settimeout(fleets.TIMEOUT_SECONDS)
            sock.connect((host, int(port)))
            head = f"POST /hold/x HTTP/1.1\r\nhost: {fleets.ROUTE_HOST}\r\ncontent-length: 1\r\n"
            more = "authorization: Token k1\r\nx-attempt-id: slow\r\nx-deadline-ms: 20000\r\n\r\nb"
            sock.sendall((head + more).encode())
            self.entry.wait_for_event("request.sent")
            self.entry.process.send_signal(signal.SIGTERM)
            began_at = time.monotonic()
            answer = http.client.HTTPResponse(sock, method="POST")
            answer.begin()
            received = 0
            while piece := answer.read1(65536):
                received += len(piece)
                time.sleep(max(0.0, began_at + 5.0 * received / length - time.monotonic()))
            self.assertEqual(received, length)
        self.assertEqual(self.entry.process.wait(fleets.TIMEOUT_SECONDS), 0)
        self.assertLess(time.monotonic() - began_at, 6.5)
        self.assertEqual(self.entry.logged_events("answer.undelivered"), [])
