"""Tests of the HTTP server with more callers, bytes and chunks than it has memory or time for."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from flamingoramp.http import connections, exchanges, messages, server
from flamingoramp.http.tests import test_server
from flamingoramp.runtime import byte_account

MEMORY_BYTES = 600_000
BODY_BYTES = 90_000
LIMITS = exchanges.Limits(header_bytes=8192, body_bytes=1_000_000)


def make_request(length: int, path: str = "/") -> bytes:
    """Return the head of a request whose body has a length."""
    return f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n".encode()


class CrowdTestCase(test_server.ServerTestCase):
    """Base of tests with a server that has little memory."""

    def send_unfinished(self, echo_server: test_server.EchoServer) -> socket.socket:
        """Send a request without the last byte of its body."""
        sock = self.connect(echo_server)
        sock.sendall(make_request(BODY_BYTES) + b"x" * (BODY_BYTES - 1))
        return sock

    def wait_for_held_bytes(self, echo_server: test_server.EchoServer, at_least: int) -> None:
        deadline = time.monotonic() + test_server.TIMEOUT_SECONDS
        while echo_server.account.held_bytes < at_least and time.monotonic() < deadline:
            time.sleep(0.001)

    def wait_for_shortage(self, echo_server: test_server.EchoServer) -> None:
        deadline = time.monotonic() + test_server.TIMEOUT_SECONDS
        while not echo_server.shortages and time.monotonic() < deadline:
            time.sleep(0.001)

    def ask(self, echo_server: test_server.EchoServer) -> int:
        """Return the status of an ordinary request."""
        sock = self.connect(echo_server)
        sock.sendall(make_request(4) + b"body")
        return test_server.read_response(sock)[0]


class TestMemory(CrowdTestCase):
    """What a server gives up that holds more than its memory allows."""

    def test_the_oldest_unfinished_request_is_refused_as_not_run(self):
        echo_server = self.start_server(memory_bytes=MEMORY_BYTES)
        socks = [self.send_unfinished(echo_server)]
        self.wait_for_held_bytes(echo_server, BODY_BYTES)
        time.sleep(0.1)
        socks += [self.send_unfinished(echo_server) for _ in range(7)]
        status, head, _ = test_server.read_response(socks[0])
        self.assertEqual(status, 503)
        self.assertIn(b"\r\nretry-after: ", head)
        self.assertIn(b"\r\nconnection: close", head)
        self.assertEqual(self.ask(echo_server), 200)
        self.assertLessEqual(echo_server.account.held_bytes, MEMORY_BYTES)

    def test_a_request_that_never_fits_is_refused_at_once_and_for_good(self):
        echo_server = self.start_server(limits=LIMITS, memory_bytes=MEMORY_BYTES)
        sock = self.connect(echo_server)
        sock.sendall(make_request(MEMORY_BYTES))
        self.assertEqual(test_server.read_response(sock)[0], 413)
        sock = self.connect(echo_server)
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        with contextlib.suppress(OSError):
            sock.sendall(chunk * 8)
        self.assertEqual(test_server.read_response(sock)[0], 413)
        self.assertEqual(self.ask(echo_server), 200)

    def test_requests_in_progress_are_kept_and_others_refused(self):
        echo_server = self.start_server(memory_bytes=MEMORY_BYTES)
        echo_server.keep_exchanges = True
        busy = [self.connect(echo_server) for _ in range(4)]
        for sock in busy:
            sock.sendall(make_request(BODY_BYTES) + b"x" * BODY_BYTES)
        exchanges = [self.wait_for_exchange(echo_server) for _ in busy]
        sock = self.connect(echo_server)
        sock.sendall(make_request(BODY_BYTES))
        self.assertEqual(test_server.read_response(sock)[0], 503)
        for exchange in exchanges:
            self.assertEqual(exchange.request.body, b"x" * BODY_BYTES)
            echo_server.run_in_loop(
                lambda exchange=exchange: exchange.respond(messages.Response(200))
            )
        for sock in busy:
            self.assertEqual(test_server.read_response(sock)[0], 200)

    # Guards against bodies that timers of their requests keep until the deadline.
    def test_an_exchange_that_has_ended_keeps_no_body(self):
        echo_server = self.start_server(memory_bytes=MEMORY_BYTES)
        echo_server.keep_exchanges = True
        sock = self.connect(echo_server)
        for _ in range(20):
            sock.sendall(make_request(BODY_BYTES) + b"x" * BODY_BYTES)
            exchange = self.wait_for_exchange(echo_server)
            echo_server.run_in_loop(
                lambda exchange=exchange: exchange.respond(messages.Response(200))
            )
            self.assertEqual(test_server.read_response(sock)[0], 200)
            self.assertEqual(exchange.request.body, b"")
            self.assertEqual(exchange.request.target, b"/")
            self.assertEqual(echo_server.account.held_bytes, byte_account.CONNECTION_BYTES)

    def test_requests_sent_ahead_are_discarded_before_anything_else(self):
        echo_server = self.start_server(memory_bytes=MEMORY_BYTES)
        echo_server.keep_exchanges = True
        socks = [self.connect(echo_server) for _ in range(6)]
        for sock in socks:
            sock.sendall(make_request(0) + make_request(BODY_BYTES) + b"x" * BODY_BYTES)
        exchanges = [self.wait_for_exchange(echo_server) for _ in socks]
        self.wait_for_held_bytes(echo_server, MEMORY_BYTES // 2)
        unfinished = self.send_unfinished(echo_server)
        self.wait_for_shortage(echo_server)
        for exchange in exchanges:
            echo_server.run_in_loop(
                lambda exchange=exchange: exchange.respond(messages.Response(200))
            )
        heads = [test_server.read_response(sock)[:2] for sock in socks]
        self.assertEqual([status for status, _ in heads], [200] * 6)
        self.assertTrue(any(b"connection: close" in head for _, head in heads))
        unfinished.sendall(b"x")
        last = self.wait_for_exchange(echo_server)
        self.assertEqual(len(last.request.body), BODY_BYTES)

    def test_an_answer_that_nobody_reads_is_cut_off_and_reported(self):
        echo_server = self.start_server(memory_bytes=MEMORY_BYTES)
        echo_server.keep_exchanges = True
        sock = self.connect(echo_server)
        sock.sendall(make_request(0, "/unread"))
        exchange = self.wait_for_exchange(echo_server)
        answer = messages.Response(200, (), b"y" * connections.MAX_WRITE_BUFFER_BYTES)
        echo_server.run_in_loop(lambda: exchange.respond(answer))
        echo_server.keep_exchanges = False
        self.assertEqual(self.ask(echo_server), 200)
        [undelivered] = echo_server.undelivered
        self.assertEqual((undelivered.request.path, undelivered.reason), ("/unread", "memory"))


class TestConnections(CrowdTestCase):
    """More connections than a server may have."""

    def test_connections_without_a_request_make_place_for_others(self):
        echo_server = self.start_server(max_connections=20)
        waiting = [self.connect(echo_server) for _ in range(20)]
        time.sleep(server.MIN_WAIT_FOR_EVICTION_SECONDS + 0.2)
        self.assertEqual(self.ask(echo_server), 200)
        self.assertEqual(test_server.read_response(waiting[0])[0], 503)

    def test_connections_with_a_request_in_progress_are_kept(self):
        echo_server = self.start_server(max_connections=20)
        echo_server.keep_exchanges = True
        busy = [self.connect(echo_server) for _ in range(20)]
        for sock in busy:
            sock.sendall(make_request(0))
        exchanges = [self.wait_for_exchange(echo_server) for _ in busy]
        time.sleep(server.MIN_WAIT_FOR_EVICTION_SECONDS + 0.2)
        self.assertEqual(test_server.read_response(self.connect(echo_server))[0], 503)
        for exchange in exchanges:
            echo_server.run_in_loop(
                lambda exchange=exchange: exchange.respond(messages.Response(200))
            )
        for sock in busy:
            self.assertEqual(test_server.read_response(sock)[0], 200)


class TestSmallChunks(CrowdTestCase):
    """Bodies whose parts are many and small."""

    # Guards against callers that wait until all chunks of others are parsed.
    def test_an_ordinary_request_is_served_while_chunks_wait(self):
        echo_server = self.start_server(limits=LIMITS)
        socks = [self.connect(echo_server) for _ in range(4)]
        for sock in socks:
            sock.sendall(b"POST /small HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
            sock.sendall(b"1\r\nx\r\n" * 50_000)
        self.assertEqual(self.ask(echo_server), 200)
        for sock in socks:
            sock.sendall(b"0\r\n\r\n")
            self.assertEqual(test_server.read_response(sock)[2], b"x" * 50_000)
        self.assertNotEqual(echo_server.requests[0].path, "/small")

    # Guards against callers that wait until heads of very many lines are parsed.
    def test_an_ordinary_request_is_served_while_long_heads_wait(self):
        echo_server = self.start_server(limits=LIMITS)
        lines = b"".join(b"a%d: b\r\n" % number for number in range(700))
        head = b"GET /long HTTP/1.1\r\nhost: h\r\n" + lines + b"\r\n"
        socks = [self.connect(echo_server) for _ in range(40)]
        ordinary = self.connect(echo_server)
        is_sent = threading.Event()
        # All have arrived before the loop reads any.
        echo_server.loop.post(lambda: is_sent.wait(test_server.TIMEOUT_SECONDS))
        for sock in socks:
            sock.sendall(head)
        ordinary.sendall(make_request(0))
        is_sent.set()
        for sock in (*socks, ordinary):
            self.assertEqual(test_server.read_response(sock)[0], 200)
        paths = [request.path for request in echo_server.requests]
        self.assertLess(paths.index("/"), len(socks) // 2)

    def test_chunks_are_held_at_their_size(self):
        echo_server = self.start_server(limits=LIMITS)
        sock = self.connect(echo_server)
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        sock.sendall(b"2\r\nxy\r\n" * 20_000)
        self.wait_for_held_bytes(echo_server, 40_000)
        time.sleep(0.5)
        self.assertLess(echo_server.account.held_bytes, 60_000)

    # Guards against a body that never exceeds the limit, however long its chunks' heads are.
    def test_a_body_of_framing_only_is_refused(self):
        limits = exchanges.Limits(header_bytes=8192, body_bytes=1000)
        echo_server = self.start_server(limits=limits)
        sock = self.connect(echo_server)
        sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
        with contextlib.suppress(OSError):
            for _ in range(100):
                sock.sendall(b"1;" + b"e" * 1000 + b"\r\nx\r\n")
        self.assertEqual(test_server.read_response(sock)[0], 413)
