"""Tests of how the HTTP server ends its connections and its listener, over real sockets."""

from __future__ import annotations

import socket
import time

from flamingoramp.http import messages
from flamingoramp.http.tests import test_server
from flamingoramp.runtime import stream

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
LONG_BODY = b"x" * (7 * 1024 * 1024)


class ClosingTestCase(test_server.ServerTestCase):
    """Base class for callers of servers that stop."""

    def stop_accepting(self, echo_server: test_server.EchoServer) -> None:
        echo_server.run_in_loop(echo_server.server.begin_closing)
        echo_server.run_in_loop(echo_server.server.stop_accepting)

    def busy_count(self, echo_server: test_server.EchoServer) -> int:
        counts: list[int] = []
        echo_server.run_in_loop(lambda: counts.append(echo_server.server.busy_count))
        return counts[0]

    def connect_slow_reader(self, echo_server: test_server.EchoServer) -> socket.socket:
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.settimeout(test_server.TIMEOUT_SECONDS)
        sock.connect(echo_server.address)
        return sock

    def connect_kept(self, echo_server: test_server.EchoServer) -> socket.socket:
        """Connect, and return the connection after a first response."""
        sock = self.connect(echo_server)
        sock.sendall(REQUEST)
        self.assertEqual(test_server.read_response(sock)[0], 200)
        return sock

    def read_to_end(self, sock: socket.socket) -> bytes:
        """Return all bytes up to the orderly end; a reset is an error."""
        data = bytearray()
        while part := sock.recv(256 * 1024):
            data += part
        return bytes(data)

    def request_long_answer(self, echo_server: test_server.EchoServer) -> socket.socket:
        """Let a caller that doesn't read yet get an answer that the kernel takes a part of."""
        echo_server.keep_exchanges = True
        sock = self.connect_slow_reader(echo_server)
        sock.sendall(REQUEST)
        exchange = self.wait_for_exchange(echo_server)
        echo_server.run_in_loop(lambda: exchange.respond(messages.Response(200, (), LONG_BODY)))
        return sock

    def assert_whole(self, data: bytes) -> None:
        head, _, rest = data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
        self.assertEqual(rest[: len(LONG_BODY)], LONG_BODY)
        self.assertIn(rest[len(LONG_BODY) :][:12], (b"", b"HTTP/1.1 408"))


class TestSlowReaders(ClosingTestCase):
    """Complete answers to callers that read slowly."""

    # Guards against a complete answer that is thrown away since its reader paused for a second.
    def test_reader_that_pauses_gets_its_whole_answer_from_a_stopping_server(self):
        echo_server = self.start_server()
        echo_server.run_in_loop(echo_server.server.begin_closing)
        sock = self.request_long_answer(echo_server)
        echo_server.run_in_loop(echo_server.server.stop_accepting)
        time.sleep(2.5 * stream.DRAIN_TIMEOUT_SECONDS)
        self.assertGreaterEqual(self.busy_count(echo_server), 1)
        self.assert_whole(self.read_to_end(sock))
        self.assertEqual(echo_server.undelivered, [])

    # Guards against answers that are cut as their caller has nothing more to send.
    def test_caller_that_shuts_down_its_side_gets_the_rest_of_its_answer(self):
        echo_server = self.start_server()
        echo_server.run_in_loop(echo_server.server.begin_closing)
        sock = self.request_long_answer(echo_server)
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.1)
        self.assert_whole(self.read_to_end(sock))

    def test_reader_that_takes_nothing_is_given_up(self):
        echo_server = self.start_server()
        echo_server.run_in_loop(echo_server.server.begin_closing)
        self.request_long_answer(echo_server)
        deadline = time.monotonic() + stream.STALL_TIMEOUT_SECONDS + 5.0
        while not echo_server.undelivered and time.monotonic() < deadline:
            time.sleep(0.05)
        [answer] = echo_server.undelivered
        # The kernel has the same bound.
        self.assertIn(answer.reason, ("stalled", "reset"))
