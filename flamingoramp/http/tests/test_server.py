"""Tests of the HTTP server over real sockets."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.http import connections, exchanges, messages, server
from flamingoramp.runtime import byte_account, loop, stream

TIMEOUT_SECONDS = 20.0
LIMITS = exchanges.Limits(header_bytes=8192, body_bytes=100_000)


class EchoServer:
    """HTTP server that responds with the request body; its loop runs in a thread.

    With ``keep_exchanges`` it keeps the exchanges instead, for the test to respond to.
    """

    def __init__(
        self,
        limits: exchanges.Limits = LIMITS,
        *,
        contains_errors: bool = False,
        memory_bytes: int | None = None,
        max_connections: int = server.MAX_CONNECTIONS,
    ):
        self.loop = loop.Loop()
        self.limits = limits
        self.shortages: list[byte_account.Shortage] = []
        self.account = byte_account.ByteAccount(memory_bytes, self.loop.now, self.shortages.append)
        self.requests: list[messages.Request] = []
        self.kept_exchanges: list[exchanges.Exchange] = []
        self.refused_statuses: list[int] = []
        self.errors: list[Exception] = []
        self.undelivered: list[exchanges.UndeliveredAnswer] = []
        self.keep_exchanges = False
        self.server = server.Server(
            self.loop,
            "127.0.0.1:0",
            self.handle,
            limits=lambda: self.limits,
            on_refused=self.refused_statuses.append,
            on_undelivered=self.undelivered.append,
            on_error=self.errors.append if contains_errors else None,
            account=self.account,
            max_connections=lambda: max_connections,
        )
        self.address = ("127.0.0.1", int(self.server.address.rpartition(":")[2]))
        self.thread = threading.Thread(target=self.loop.run)
        self.thread.start()

    def handle(self, exchange: exchanges.Exchange) -> None:
        self.requests.append(exchange.request)
        if self.keep_exchanges:
            self.kept_exchanges.append(exchange)
            return
        match exchange.request.path:
            case "/fails":
                raise ZeroDivisionError
            case "/fails-late":
                exchange.start(200, ())
                exchange.send(b"part")
                raise ZeroDivisionError
            case "/unencodable":
                exchange.respond(messages.Response(200, ((b"x-a", b"b\r\nc: d"),)))
                return
            case "/ends":
                raise errors.InvariantViolationError("half changed")
        exchange.respond(messages.Response(200, (), exchange.request.body or b"empty"))

    def run_in_loop(self, function) -> None:
        done = threading.Event()
        self.loop.post(lambda: (function(), done.set()))
        done.wait(TIMEOUT_SECONDS)

    def close(self) -> None:
        self.loop.stop()
        self.thread.join(TIMEOUT_SECONDS)
        self.server.close()
        self.loop.close()


def read_response(sock: socket.socket) -> tuple[int, bytes, bytes]:
    """Read a response with a Content-Length; return its status, head in lower case, and body."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return 0, data, b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return int(head.split()[1]), head.lower(), body


class ServerTestCase(unittest.TestCase):
    """Base class that starts servers and closes them after the test."""

    def start_server(self, **options) -> EchoServer:
        echo_server = EchoServer(**options)
        self.addCleanup(echo_server.close)
        return echo_server

    def connect(self, echo_server: EchoServer) -> socket.socket:
        sock = socket.create_connection(echo_server.address, timeout=TIMEOUT_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def wait_for_exchange(self, echo_server: EchoServer) -> exchanges.Exchange:
        """Wait for an exchange that the server keeps, and take it."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not echo_server.kept_exchanges and time.monotonic() < deadline:
            time.sleep(0.001)
        return echo_server.kept_exchanges.pop()


class TestPersistentConnections(ServerTestCase):
    """Several requests on one connection."""

    def test_alternating_content_length_and_chunked_bodies_are_read_correctly(self):
        sock = self.connect(self.start_server())
        for length in range(20):
            body = b"x" * length
            sock.sendall(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % length)
            sock.sendall(body)
            self.assertEqual(read_response(sock)[2], body or b"empty")
            sock.sendall(b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
            sock.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            self.assertEqual(read_response(sock)[2], b"abcde")

    def test_pipelined_requests_get_responses_in_order(self):
        sock = self.connect(self.start_server())
        request = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\n"
        sock.sendall(request + b"a" + request + b"b" + request + b"c")
        data = b""
        while data.count(b"HTTP/1.1 200") < 3 or not data.endswith(b"c"):
            data += sock.recv(65536)
        positions = [data.index(b"\r\n\r\n" + letter) for letter in (b"a", b"b", b"c")]
        self.assertEqual(positions, sorted(positions))

    def test_closing_server_sends_connection_close_and_closes(self):
        echo_server = self.start_server()
        sock = self.connect(echo_server)
        echo_server.run_in_loop(echo_server.server.begin_closing)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        status, head, _ = read_response(sock)
        self.assertEqual(status, 200)
        self.assertIn(b"connection: close", head)
        self.assertEqual(sock.recv(10), b"")

    def test_request_in_progress_gets_its_response_after_accepting_stops(self):
        echo_server = self.start_server()
        echo_server.keep_exchanges = True
        sock = self.connect(echo_server)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not echo_server.kept_exchanges:
            echo_server.run_in_loop(lambda: None)
        echo_server.run_in_loop(echo_server.server.begin_closing)
        echo_server.run_in_loop(echo_server.server.stop_accepting)
        echo_server.run_in_loop(
            lambda: echo_server.kept_exchanges[0].respond(messages.Response(200, (), b"whole"))
        )
        self.assertEqual(read_response(sock)[2], b"whole")


class TestStop(ServerTestCase):
    """What callers of a stopping server still get."""

    def stop_accepting(self, echo_server: EchoServer) -> None:
        echo_server.run_in_loop(echo_server.server.begin_closing)
        echo_server.run_in_loop(echo_server.server.stop_accepting)

    def busy_count(self, echo_server: EchoServer) -> int:
        counts: list[int] = []
        echo_server.run_in_loop(lambda: counts.append(echo_server.server.busy_count))
        return counts[0]

    def wait_for_busy_count(self, echo_server: EchoServer, count: int, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while self.busy_count(echo_server) != count:
            self.assertLess(time.monotonic(), deadline, f"busy count isn't {count}")
            time.sleep(0.01)

    def test_burst_of_connections_that_the_kernel_has_accepted_is_served(self):
        echo_server = self.start_server()
        sockets: list[socket.socket] = []
        busy_counts: list[int] = []

        def _connect_and_stop() -> None:
            sockets.extend(self.connect(echo_server) for _ in range(200))
            echo_server.server.begin_closing()
            echo_server.server.stop_accepting()
            busy_counts.append(echo_server.server.busy_count)

        echo_server.run_in_loop(_connect_and_stop)
        self.assertEqual(busy_counts, [200])
        for sock in sockets:
            sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        self.assertEqual({read_response(sock)[0] for sock in sockets}, {200})
        self.wait_for_busy_count(echo_server, 0, TIMEOUT_SECONDS)

    def test_silent_callers_do_not_keep_the_server_busy(self):
        echo_server = self.start_server()
        with_partial_request = self.connect(echo_server)
        with_partial_request.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc")
        self.wait_for_busy_count(echo_server, 1, TIMEOUT_SECONDS)
        self.connect(echo_server)
        self.stop_accepting(echo_server)
        seconds = connections.CLOSING_SILENCE_SECONDS + server.TIMEOUT_CHECK_INTERVAL_SECONDS
        self.wait_for_busy_count(echo_server, 0, seconds + 0.5)
        self.assertEqual(read_response(with_partial_request)[0], 408)

    def test_long_answer_to_a_slow_caller_is_sent_whole_before_the_server_is_idle(self):
        echo_server = self.start_server()
        echo_server.keep_exchanges = True
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.connect(echo_server.address)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not echo_server.kept_exchanges:
            echo_server.run_in_loop(lambda: None)
        self.stop_accepting(echo_server)
        body = b"x" * (7 * 1024 * 1024)
        echo_server.run_in_loop(
            lambda: echo_server.kept_exchanges[0].respond(messages.Response(200, (), body))
        )
        self.assertEqual(self.busy_count(echo_server), 1)
        received = 0
        while data := sock.recv(64 * 1024):
            received += len(data)
            # Reads for about 2 s, longer than `stream.DRAIN_TIMEOUT_SECONDS`.
            time.sleep(2.0 * len(data) / len(body))
        self.assertGreaterEqual(received, len(body))
        self.wait_for_busy_count(echo_server, 0, 1.0)


class TestUndeliveredAnswers(ServerTestCase):
    """Reports of answers whose connection closed before all of them was passed to the kernel."""

    BODY = b"x" * (7 * 1024 * 1024)

    def begin_answer(self, echo_server: EchoServer, body: bytes = BODY) -> socket.socket:
        """Let a caller that reads nothing get an answer that the kernel can't take as a whole."""
        echo_server.keep_exchanges = True
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024)
        sock.connect(echo_server.address)
        sock.sendall(b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n")
        exchange = self.wait_for_exchange(echo_server)
        echo_server.run_in_loop(lambda: exchange.respond(messages.Response(200, (), body)))
        return sock

    def assert_reported(self, echo_server: EchoServer, reason: str) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not echo_server.undelivered and time.monotonic() < deadline:
            time.sleep(0.01)
        [answer] = echo_server.undelivered
        self.assertEqual((answer.request.path, answer.reason), ("/slow", reason))
        self.assertGreater(answer.buffered_bytes, 0)

    def test_caller_that_disconnects_before_it_has_read_its_answer_is_reported_as_reset(self):
        echo_server = self.start_server()
        self.begin_answer(echo_server).close()
        self.assert_reported(echo_server, "reset")

    def test_answer_beyond_the_output_buffer_is_reported_as_overflow(self):
        echo_server = self.start_server()
        self.begin_answer(echo_server, b"x" * (20 * 1024 * 1024))
        self.assert_reported(echo_server, "overflow")

    def test_answer_that_is_not_read_before_the_process_ends_is_reported_as_exit(self):
        echo_server = self.start_server()
        echo_server.run_in_loop(echo_server.server.begin_closing)
        self.begin_answer(echo_server)
        echo_server.run_in_loop(echo_server.server.close)
        self.assert_reported(echo_server, "exit")

    def test_answer_that_was_read_is_not_reported(self):
        echo_server = self.start_server()
        sock = self.connect(echo_server)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        self.assertEqual(read_response(sock)[2], b"empty")
        echo_server.run_in_loop(echo_server.server.close)
        self.assertEqual(echo_server.undelivered, [])


class TestCallersThatSendOn(ServerTestCase):
    """A refused caller who sends the rest of its body before it reads the answer."""

    # Guards against a reset, and the loss of the 413, of a caller that needs longer for its body
    # than the time after which an answer was closed.
    def test_refusal_reaches_a_caller_that_sends_its_whole_body_first(self):
        sock = self.connect(self.start_server())
        part = b"x" * 20_000
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 500000\r\n\r\n")
        for _ in range(25):
            sock.sendall(part)
            time.sleep(2.5 * stream.DRAIN_TIMEOUT_SECONDS / 25)
        self.assertEqual(read_response(sock)[0], 413)

    def test_caller_that_never_ends_is_disconnected(self):
        sock = self.connect(self.start_server())
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 500000000\r\n\r\n")
        with mock.patch.object(stream, "MAX_DRAIN_SECONDS", 1.5 * stream.DRAIN_TIMEOUT_SECONDS):
            began_at = time.monotonic()
            with self.assertRaises(ConnectionError):
                while time.monotonic() < began_at + TIMEOUT_SECONDS:
                    sock.sendall(b"x" * 20_000)
                    time.sleep(0.02)


class TestListener(unittest.TestCase):
    """The listening socket of a server that stops."""

    # Guards against a loop that ends since the listener was closed by a request whose event came in
    # the same iteration as a new connection.
    def test_event_of_a_closed_listener_causes_no_error(self):
        event_loop = loop.Loop()
        self.addCleanup(event_loop.close)
        stopping = server.Server(event_loop, "127.0.0.1:0", lambda _exchange: None)
        host, _, port = stopping.address.rpartition(":")
        with socket.create_connection((host, int(port))):
            [(key, events)] = [
                (key, events)
                for key, events in event_loop._selector.select(1.0)
                if key.data == stopping._accept
            ]
            stopping.close()
            key.data(events)


class TestBadInput(ServerTestCase):
    """Invalid requests are refused with the matching status."""

    def refused_status(self, data: bytes, *, echo_server: EchoServer | None = None) -> int:
        sock = self.connect(echo_server or self.start_server())
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        return read_response(sock)[0]

    def test_content_length_with_chunked_encoding_is_refused_with_400(self):
        echo_server = self.start_server()
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 30\r\ntransfer-encoding: chunked"
        smuggled = b"\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nhost: h\r\n\r\n"
        self.assertEqual(self.refused_status(head + smuggled, echo_server=echo_server), 400)
        self.assertEqual(echo_server.requests, [])
        self.assertEqual(echo_server.refused_statuses, [400])

    def test_two_different_content_lengths_are_refused_with_400(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde"
        self.assertEqual(self.refused_status(head), 400)

    def test_content_length_over_the_limit_is_refused_with_413(self):
        self.assertEqual(
            self.refused_status(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100001\r\n\r\n"),
            413,
        )

    def test_chunked_body_over_the_limit_is_refused_with_413(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        self.assertEqual(self.refused_status(head + b"30d40\r\n" + b"x" * 150_000), 413)

    def test_header_over_the_limit_is_refused_with_431(self):
        head = b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 20_000 + b"\r\n\r\n"
        self.assertEqual(self.refused_status(head), 431)

    def test_bytes_that_are_not_http_are_refused_with_400(self):
        self.assertEqual(self.refused_status(b"\x16\x03\x01\x02\x00 hello\r\n\r\n"), 400)

    def test_request_without_host_header_is_refused_with_400(self):
        self.assertEqual(self.refused_status(b"GET / HTTP/1.1\r\n\r\n"), 400)


class TestSlowCallers(ServerTestCase):
    """Callers that send part of a request, or nothing, delay no others; disconnects are seen."""

    def test_requests_succeed_beside_hundreds_of_slow_connections(self):
        echo_server = self.start_server(
            limits=exchanges.Limits(header_seconds=600.0, body_seconds=600.0)
        )
        slow_connections = [self.connect(echo_server) for _ in range(300)]
        for sock in slow_connections:
            sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf")
        idle_connections = [self.connect(echo_server) for _ in range(300)]
        oversized_connection = self.connect(echo_server)
        with contextlib.suppress(ConnectionError):
            oversized_connection.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 1_000_000)
        for _ in range(10):
            sock = self.connect(echo_server)
            sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            self.assertEqual(read_response(sock)[0], 200)
        self.assertEqual(len(slow_connections) + len(idle_connections), 600)
        self.assertEqual(len(echo_server.requests), 10)

    def test_partial_header_is_refused_with_408_after_the_timeout(self):
        echo_server = self.start_server(limits=exchanges.Limits(header_seconds=0.3))
        sock = self.connect(echo_server)
        sock.sendall(b"GET / HTTP/1.1\r\nho")
        self.assertEqual(read_response(sock)[0], 408)

    def test_on_disconnect_is_called_when_the_caller_closes(self):
        echo_server = self.start_server()
        echo_server.keep_exchanges = True
        disconnected = threading.Event()
        sock = self.connect(echo_server)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not echo_server.kept_exchanges:
            echo_server.run_in_loop(lambda: None)
        echo_server.kept_exchanges[0].on_disconnect = disconnected.set
        sock.close()
        self.assertTrue(disconnected.wait(TIMEOUT_SECONDS))


class TestErrorsOfHandlers(ServerTestCase):
    """Unexpected errors while a request is handled, or its response encoded."""

    def request(self, echo_server: EchoServer, path: bytes) -> bytes:
        """Send a request and return what arrives until the connection is closed or idle."""
        sock = self.connect(echo_server)
        sock.sendall(b"GET %b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n" % path)
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := sock.recv(65536):
                data += part
        return data

    # Guards against a request that ends the process, with the requests of all other callers.
    def test_error_ends_its_own_request_only(self):
        echo_server = self.start_server(contains_errors=True)
        echo_server.keep_exchanges = True
        other = self.connect(echo_server)
        other.sendall(b"GET /other HTTP/1.1\r\nhost: h\r\n\r\n")
        exchange = self.wait_for_exchange(echo_server)
        echo_server.keep_exchanges = False
        self.assertTrue(self.request(echo_server, b"/fails").startswith(b"HTTP/1.1 500 "))
        partial = self.request(echo_server, b"/fails-late")
        self.assertIn(b"part", partial)
        self.assertNotIn(b"0\r\n\r\n", partial)
        self.assertEqual(self.request(echo_server, b"/unencodable"), b"")
        self.assertEqual(len(echo_server.errors), 3)
        echo_server.run_in_loop(lambda: exchange.respond(messages.Response(200, (), b"whole")))
        self.assertEqual(read_response(other)[::2], (200, b"whole"))

    def test_error_after_which_state_is_not_trusted_ends_the_loop(self):
        echo_server = self.start_server(contains_errors=True)
        with mock.patch.object(threading, "excepthook"):
            self.connect(echo_server).sendall(b"GET /ends HTTP/1.1\r\nhost: h\r\n\r\n")
            echo_server.thread.join(TIMEOUT_SECONDS)
        self.assertFalse(echo_server.thread.is_alive())


class TestStreams(ServerTestCase):
    """Responses sent in parts."""

    # Guards against aborted answers that look complete, as nothing but the end of the connection
    # ends them.
    def test_aborted_answer_without_chunks_ends_with_a_reset(self):
        echo_server = self.start_server()
        echo_server.keep_exchanges = True
        for version, is_reset in ((b"1.0", True), (b"1.1", False)):
            with self.subTest(version=version):
                sock = self.connect(echo_server)
                sock.sendall(b"GET / HTTP/%b\r\nhost: h\r\n\r\n" % version)
                exchange = self.wait_for_exchange(echo_server)
                echo_server.run_in_loop(lambda exchange=exchange: exchange.start(200, ()))
                echo_server.run_in_loop(lambda exchange=exchange: exchange.send(b"part"))
                data = b""
                while b"part" not in data:
                    data += sock.recv(65536)
                echo_server.run_in_loop(exchange.abort)
                if is_reset:
                    self.assertNotIn(b"chunked", data)
                    self.assertRaises(ConnectionResetError, sock.recv, 65536)
                else:
                    self.assertEqual(sock.recv(65536), b"")

    def test_parts_are_sent_as_chunks_and_abort_omits_the_last_chunk(self):
        echo_server = self.start_server()
        echo_server.keep_exchanges = True
        for is_complete in (True, False):
            sock = self.connect(echo_server)
            sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            while not echo_server.kept_exchanges:
                echo_server.run_in_loop(lambda: None)
            exchange = echo_server.kept_exchanges.pop()
            echo_server.run_in_loop(lambda exchange=exchange: exchange.start(200, ()))
            echo_server.run_in_loop(lambda exchange=exchange: exchange.send(b"one"))
            echo_server.run_in_loop(exchange.finish if is_complete else exchange.abort)
            if not is_complete:
                with contextlib.suppress(ConnectionError):
                    data = b""
                    while part := sock.recv(65536):
                        data += part
                self.assertNotIn(b"0\r\n\r\n", data)
                continue
            data = b""
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
            self.assertIn(b"3\r\none\r\n", data)
