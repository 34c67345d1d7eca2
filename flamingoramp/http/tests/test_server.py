"""Tests of callers' connections over real sockets."""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest

from flamingoramp.http import messages, server
from flamingoramp.runtime import loop as loops

WAIT_SECONDS = 20.0
LIMITS = server.Limits(header_bytes=8192, body_bytes=100_000)


class Served:
    """A server whose loop runs in a thread; it echoes what it reads."""

    def __init__(self, limits: server.Limits = LIMITS):
        self.loop = loops.Loop()
        self.seen: list[messages.Request] = []
        self.held: list[server.Exchange] = []
        self.refused: list[int] = []
        self.hold = False
        self.server = server.Server(
            self.loop,
            "127.0.0.1:0",
            self.handle,
            limits=lambda: limits,
            on_refused=self.refused.append,
        )
        self.address = ("127.0.0.1", int(self.server.address.rpartition(":")[2]))
        self.thread = threading.Thread(target=self.loop.run)
        self.thread.start()

    def handle(self, exchange: server.Exchange) -> None:
        self.seen.append(exchange.request)
        if self.hold:
            self.held.append(exchange)
            return
        exchange.respond(messages.Response(200, (), exchange.request.body or b"empty"))

    def call(self, function) -> None:
        done = threading.Event()
        self.loop.post(lambda: (function(), done.set()))
        done.wait(WAIT_SECONDS)

    def close(self) -> None:
        self.loop.stop()
        self.thread.join(WAIT_SECONDS)
        self.server.close()
        self.loop.close()


def read_answer(sock: socket.socket) -> tuple[int, bytes, bytes]:
    """Read one answer with a length; return status, head and body."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return 0, data, b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return int(head.split()[1]), head.lower(), body


class ServerCase(unittest.TestCase):
    """Gives each test a server."""

    def serve(self, **options) -> Served:
        served = Served(**options)
        self.addCleanup(served.close)
        return served

    def connect(self, served: Served) -> socket.socket:
        sock = socket.create_connection(served.address, timeout=WAIT_SECONDS)
        self.addCleanup(sock.close)
        return sock


class TestKeptConnections(ServerCase):
    """Many requests in turn on one connection."""

    def test_lengths_and_chunks_in_turn(self):
        sock = self.connect(self.serve())
        for number in range(20):
            body = b"x" * number
            sock.sendall(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % number)
            sock.sendall(body)
            self.assertEqual(read_answer(sock)[2], body or b"empty")
            sock.sendall(b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
            sock.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            self.assertEqual(read_answer(sock)[2], b"abcde")

    def test_requests_sent_ahead_are_answered_in_order(self):
        sock = self.connect(self.serve())
        one = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\n"
        sock.sendall(one + b"a" + one + b"b" + one + b"c")
        data = b""
        while data.count(b"HTTP/1.1 200") < 3 or not data.endswith(b"c"):
            data += sock.recv(65536)
        positions = [data.index(b"\r\n\r\n" + letter) for letter in (b"a", b"b", b"c")]
        self.assertEqual(positions, sorted(positions))

    def test_closing_server_says_so_and_ends_the_connection(self):
        served = self.serve()
        sock = self.connect(served)
        served.call(served.server.begin_closing)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        status, head, _ = read_answer(sock)
        self.assertEqual(status, 200)
        self.assertIn(b"connection: close", head)
        self.assertEqual(sock.recv(10), b"")

    def test_request_in_hand_is_answered_after_accepting_stops(self):
        served = self.serve()
        served.hold = True
        sock = self.connect(served)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not served.held:
            served.call(lambda: None)
        served.call(served.server.begin_closing)
        served.call(served.server.stop_accepting)
        served.call(lambda: served.held[0].respond(messages.Response(200, (), b"whole")))
        self.assertEqual(read_answer(sock)[2], b"whole")


class TestBadInput(ServerCase):
    """Bytes that are no proper request get a typed refusal, and nothing else is lost."""

    def refusal_of(self, data: bytes, *, served: Served | None = None) -> int:
        sock = self.connect(served or self.serve())
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        return read_answer(sock)[0]

    def test_two_framings_of_one_body(self):
        served = self.serve()
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 30\r\ntransfer-encoding: chunked"
        smuggled = b"\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nhost: h\r\n\r\n"
        self.assertEqual(self.refusal_of(head + smuggled, served=served), 400)
        self.assertEqual(served.seen, [])
        self.assertEqual(served.refused, [400])

    def test_lengths_that_contradict_each_other(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde"
        self.assertEqual(self.refusal_of(head), 400)

    def test_body_over_the_limit_by_its_length(self):
        self.assertEqual(
            self.refusal_of(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100001\r\n\r\n"), 413
        )

    def test_body_over_the_limit_in_chunks(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        self.assertEqual(self.refusal_of(head + b"30d40\r\n" + b"x" * 150_000), 413)

    def test_header_over_the_limit(self):
        head = b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 20_000 + b"\r\n\r\n"
        self.assertEqual(self.refusal_of(head), 431)

    def test_no_http(self):
        self.assertEqual(self.refusal_of(b"\x16\x03\x01\x02\x00 hello\r\n\r\n"), 400)

    def test_request_without_a_host(self):
        self.assertEqual(self.refusal_of(b"GET / HTTP/1.1\r\n\r\n"), 400)


class TestSlowCallers(ServerCase):
    """Callers that send half a request, or nothing, hold nobody up."""

    def test_new_requests_beside_hundreds_of_slow_connections(self):
        served = self.serve(limits=server.Limits(header_seconds=600.0, body_seconds=600.0))
        half = [self.connect(served) for _ in range(300)]
        for sock in half:
            sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf")
        silent = [self.connect(served) for _ in range(300)]
        flood = self.connect(served)
        with contextlib.suppress(ConnectionError):
            flood.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * 1_000_000)
        for _ in range(10):
            sock = self.connect(served)
            sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            self.assertEqual(read_answer(sock)[0], 200)
        self.assertEqual(len(half) + len(silent), 600)
        self.assertEqual(len(served.seen), 10)

    def test_half_a_header_ends_with_408(self):
        served = self.serve(limits=server.Limits(header_seconds=0.3))
        sock = self.connect(served)
        sock.sendall(b"GET / HTTP/1.1\r\nho")
        self.assertEqual(read_answer(sock)[0], 408)

    def test_caller_that_goes_away_is_noticed(self):
        served = self.serve()
        served.hold = True
        gone = threading.Event()
        sock = self.connect(served)
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        while not served.held:
            served.call(lambda: None)
        served.held[0].on_disconnect = gone.set
        sock.close()
        self.assertTrue(gone.wait(WAIT_SECONDS))


class TestStreams(ServerCase):
    """Answers in pieces."""

    def test_pieces_arrive_in_chunks_and_an_abort_is_no_end(self):
        served = self.serve()
        served.hold = True
        for ends_well in (True, False):
            sock = self.connect(served)
            sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            while not served.held:
                served.call(lambda: None)
            exchange = served.held.pop()
            served.call(lambda exchange=exchange: exchange.start(200, ()))
            served.call(lambda exchange=exchange: exchange.send(b"one"))
            served.call(exchange.finish if ends_well else exchange.abort)
            if not ends_well:
                with contextlib.suppress(ConnectionError):
                    data = b""
                    while piece := sock.recv(65536):
                        data += piece
                self.assertNotIn(b"0\r\n\r\n", data)
                continue
            data = b""
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
            self.assertIn(b"3\r\none\r\n", data)
