"""End-to-end tests of servers that send bytes without end in place of an answer."""

from __future__ import annotations

import pathlib
import resource
import socket
import threading
import time
from concurrent import futures

from flamingoramp.http import connections
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets

CALLERS_PER_SECOND = 10.0
CALLER_COUNT = 120
# For answers whose bound is that of the HTTP library.
FEWER_CALLERS = 40
DEADLINE_SECONDS = 4.0
MAX_DELAY_SECONDS = 0.3
MAX_MEMORY_GROWTH_BYTES = 40 * 1000 * 1000
PIECE_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-response-stamp: STAMP\r\n"
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
FILLER = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, FILLER)


class MemoryRecorder:
    """Records the largest memory of this process while it is entered, in bytes."""

    def __enter__(self) -> MemoryRecorder:
        self._stopped = threading.Event()
        self._before = self._largest = _read_memory_bytes()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *_error) -> None:
        self._stopped.set()
        self._thread.join()

    @property
    def growth(self) -> int:
        """Largest memory less that at the beginning."""
        return self._largest - self._before

    def _run(self) -> None:
        while not self._stopped.wait(0.05):
            self._largest = max(self._largest, _read_memory_bytes())


def _read_memory_bytes() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class TestEndlessAnswers(fleets.FleetTestCase):
    """One of two servers of each service sends bytes until its caller closes the connection."""

    def check(
        self, route: str, begin: bytes, piece: bytes, *, caller_count: int = CALLER_COUNT
    ) -> None:
        fleet = self.start_serving(entries=2)
        service = "llm" if route == "stream" else "desk"
        fleet.add_server("sound", service)
        endless = fleet.add_server("endless", service)
        endless.behaviour.endless = fake_server.EndlessAnswer(begin, piece)
        with MemoryRecorder() as memory:
            outcomes = self.send_callers(fleet, route, caller_count)
        served = sum(answer is not None and answer.status == 200 for answer, _ in outcomes)
        self.assertGreater(len(endless.requests), 0)
        self.assertGreaterEqual(served, 0.97 * caller_count)
        latest = max(seconds for _, seconds in outcomes)
        self.assertLess(latest, DEADLINE_SECONDS + MAX_DELAY_SECONDS)
        self.assertLess(memory.growth, MAX_MEMORY_GROWTH_BYTES, endless.endless_byte_count)

    def send_callers(
        self, fleet: fleets.Fleet, route: str, caller_count: int
    ) -> list[tuple[fleets.Answer | None, float]]:
        """Send the requests of all callers; return the answers and the times that they took."""

        def _send(number: int) -> tuple[fleets.Answer | None, float]:
            started_at = time.monotonic()
            try:
                answer = self.send(
                    fleet,
                    route,
                    address=fleet.caller_address(number % 2),
                    x_deadline_ms=str(int(1000 * DEADLINE_SECONDS)),
                )
            except (OSError, ValueError):
                answer = None
            return answer, time.monotonic() - started_at

        started_at = time.monotonic()
        results = []
        with futures.ThreadPoolExecutor(fleets.LOAD_THREAD_COUNT) as pool:
            for number in range(caller_count):
                due = number / CALLERS_PER_SECOND
                time.sleep(max(0.0, started_at + due - time.monotonic()))
                results.append(pool.submit(_send, number))
        return [result.result() for result in results]

    # Guards against an entry whose memory an answer without end fills.
    def test_plain_body_without_length(self):
        self.check("read", HEAD + b"\r\n", FILLER)

    def test_plain_body_in_chunks(self):
        self.check("read", HEAD + CHUNKED, CHUNK)

    # Guards against an entry that searches an event without end from its beginning again and again.
    def test_event_without_end(self):
        self.check("stream", STREAM_HEAD + CHUNKED + b"9\r\nid: 1\ndata\r\n", CHUNK)

    def test_event_without_end_and_without_chunks(self):
        self.check("stream", STREAM_HEAD + b"\r\nid: 1\ndata: ", b"x" * 1024)

    def test_comments_without_end(self):
        self.check("stream", STREAM_HEAD + b"\r\n", b":\n\n" * 100)

    def test_head_without_end(self):
        self.check(
            "read", b"HTTP/1.1 200 OK\r\n", b"x-filler: 1\r\n" * 100, caller_count=FEWER_CALLERS
        )

    def test_header_without_end(self):
        self.check("read", b"HTTP/1.1 200 OK\r\nx-filler: ", FILLER, caller_count=FEWER_CALLERS)

    def test_no_head_at_all(self):
        self.check("read", b"", FILLER, caller_count=FEWER_CALLERS)

    # Guards against interim responses that are read for ever.
    def test_interim_responses_without_end(self):
        self.check(
            "read", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100, caller_count=FEWER_CALLERS
        )


class TestSlowReaders(fleets.FleetTestCase):
    """Long answers for callers who read more slowly than servers send."""

    # Guards against an answer that is cut off, since what its caller hasn't read exceeds a buffer.
    def test_answer_over_the_output_buffer_is_whole_for_a_caller_who_reads_slowly(self):
        size = 3 * connections.MAX_WRITE_BUFFER_BYTES // 2
        piece = b"z" * 65536
        head = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\n"
            b"Content-Length: %d\r\n\r\n" % size
        )
        endless = fake_server.EndlessAnswer(head, piece)
        fleet = self.start_serving(controls=1, entries=1)
        fleet.add_server("d1", "desk", fake_server.Behaviour(endless=endless))
        host, _, port = fleet.caller_address().rpartition(":")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.settimeout(fleets.TIMEOUT_SECONDS)
            sock.connect((host, int(port)))
            sock.sendall(
                b"GET /read/x HTTP/1.1\r\nhost: %s\r\nx-attempt-id: slow\r\n"
                b"authorization: Token k1\r\n\r\n" % fleets.ROUTE_HOST.encode()
            )
            time.sleep(0.5)
            account = fleet.entries[0].daemon.process.account
            held_bytes = account.held_bytes
            received = sock.recv(65536)
            head_end = received.index(b"\r\n\r\n") + 4
            count = len(received) - head_end
            while count < size and (data := sock.recv(65536)):
                count += len(data)
        self.assertEqual(count, size)
        self.assertLess(held_bytes, connections.MAX_WRITE_BUFFER_BYTES // 2)
