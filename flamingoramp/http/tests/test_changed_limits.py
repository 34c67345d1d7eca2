"""Tests of limits that change while a connection is open, or a request arrives."""

from __future__ import annotations

import contextlib
import random
import socket
import time

import attrs

from flamingoramp.http import exchanges
from flamingoramp.http.tests import test_server

SMALL = exchanges.Limits(header_bytes=8192, body_bytes=1000)
LARGE = exchanges.Limits(header_bytes=65536, body_bytes=100_000)
PIECE_BYTES = 1460
# Time for pieces to arrive one by one.
PIECE_SECONDS = 0.002
SHORT_REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
SEED_COUNT = 30


def make_head(size_bytes: int, *fields: bytes) -> bytes:
    """Return the head of a request with a header so long that it has this size."""
    begin = b"\r\n".join((b"POST / HTTP/1.1", b"host: h", *fields, b"x: "))
    return begin + b"x" * (size_bytes - len(begin) - 4) + b"\r\n\r\n"


def send_in_pieces(sock: socket.socket, data: bytes) -> None:
    """Send bytes as a link carries them, until the other side ends the connection."""
    with contextlib.suppress(ConnectionError):
        for start in range(0, len(data), PIECE_BYTES):
            sock.sendall(data[start : start + PIECE_BYTES])
            time.sleep(PIECE_SECONDS)


class LimitCase(test_server.ServerTestCase):
    """Base of tests with a server whose limits are small at first."""

    def setUp(self):
        self.server = self.start_server(limits=SMALL)

    def ask(self, sock: socket.socket, data: bytes) -> int:
        """Send a request in pieces and return the status of its answer, 0 for none."""
        send_in_pieces(sock, data)
        with contextlib.suppress(ConnectionError):
            return test_server.read_response(sock)[0]
        return 0


class TestHeads(LimitCase):
    """The limit of the head."""

    # Guards against proper requests that get 431, since their connection is older than the limit.
    def test_raised_limit_holds_on_open_connections(self):
        unused, used, refused = (self.connect(self.server) for _ in range(3))
        self.assertEqual(self.ask(used, SHORT_REQUEST), 200)
        self.assertEqual(self.ask(refused, make_head(26_000)), 431)
        self.server.limits = LARGE
        head = make_head(26_000, b"content-length: 0")
        for sock in (unused, used, used, self.connect(self.server)):
            self.assertEqual(self.ask(sock, head), 200)

    def test_lowered_limit_holds_on_open_connections(self):
        self.server.limits = LARGE
        used = self.connect(self.server)
        self.assertEqual(self.ask(used, make_head(26_000, b"content-length: 0")), 200)
        self.server.limits = SMALL
        self.assertEqual(self.ask(used, make_head(26_000)), 431)
        self.assertEqual(self.ask(self.connect(self.server), make_head(26_000)), 431)

    def test_limit_that_is_raised_within_a_head_holds_for_it(self):
        sock = self.connect(self.server)
        head = make_head(26_000, b"content-length: 0")
        send_in_pieces(sock, head[:7000])
        self.server.limits = LARGE
        self.assertEqual(self.ask(sock, head[7000:]), 200)

    def test_head_without_end_is_refused_at_the_limit(self):
        for limits in (SMALL, LARGE):
            with self.subTest(header_bytes=limits.header_bytes):
                self.server.limits = limits
                sock = self.connect(self.server)
                self.assertEqual(self.ask(sock, make_head(limits.header_bytes + 3000)[:-2]), 431)
                sock = self.connect(self.server)
                head = make_head(limits.header_bytes - 100, b"content-length: 0")
                self.assertEqual(self.ask(sock, head), 200)

    def test_chunk_header_without_end_is_refused(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4;"
        for limits in (SMALL, LARGE):
            with self.subTest(header_bytes=limits.header_bytes):
                self.server.limits = limits
                data = head + b"x" * (limits.header_bytes + 3000)
                self.assertEqual(self.ask(self.connect(self.server), data), 431)

    def test_generated_changes_refuse_only_what_each_limit_refuses(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                self.server.limits = rng.choice((SMALL, LARGE))
                sock = self.connect(self.server)
                for _ in range(6):
                    size = rng.choice((100, 5000, 8000, 12_000, 26_000, 60_000))
                    head = make_head(size, b"content-length: 3") + b"abc"
                    begin = self.server.limits
                    cut = rng.choice((0, rng.randrange(min(size, 7000)), len(head)))
                    send_in_pieces(sock, head[:cut])
                    if cut < len(head):
                        self.server.limits = rng.choice((SMALL, LARGE))
                    status = self.ask(sock, head[cut:])
                    allowed = {200 if size <= self.server.limits.header_bytes else 431}
                    if begin is not self.server.limits:
                        allowed |= {200 if size <= begin.header_bytes else 431}
                    if begin is not self.server.limits and cut == 0:
                        allowed = {200 if size <= self.server.limits.header_bytes else 431}
                    self.assertIn(status, allowed)
                    if status != 200:
                        sock = self.connect(self.server)


class TestBodies(LimitCase):
    """The limit of the body, with a length and in chunks."""

    def test_changed_limit_holds_on_open_connections(self):
        for head, body in (
            (b"content-length: 5000", b"x" * 5000),
            (b"transfer-encoding: chunked", b"1388\r\n" + b"x" * 5000 + b"\r\n0\r\n\r\n"),
        ):
            with self.subTest(head):
                request = b"POST / HTTP/1.1\r\nhost: h\r\n" + head + b"\r\n\r\n" + body
                self.server.limits = SMALL
                sock = self.connect(self.server)
                self.assertEqual(self.ask(sock, SHORT_REQUEST), 200)
                self.server.limits = LARGE
                self.assertEqual(self.ask(sock, request), 200)
                self.server.limits = SMALL
                self.assertEqual(self.ask(sock, request), 413)


class TestProvisionalLimits(LimitCase):
    """A server that doesn't know its limits yet."""

    # Guards against proper requests that are denied for good, while their caller could come back.
    def test_request_beyond_them_is_refused_as_not_run(self):
        chunked = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        for data in (
            make_head(26_000),
            make_head(26_000)[:-2],
            make_head(100, b"content-length: 5000"),
            chunked + b"1388\r\n" + b"x" * 5000 + b"\r\n0\r\n\r\n",
            chunked + b"3;" + b"x" * 26_000,
        ):
            with self.subTest(data=data[:20], size=len(data)):
                self.server.limits = attrs.evolve(SMALL, are_provisional=True)
                self.assertEqual(self.ask(self.connect(self.server), data), 503)


class TestTimes(LimitCase):
    """The limits of time, for connections that wait already."""

    def ends_within(self, sock: socket.socket, seconds: float) -> bool:
        sock.settimeout(seconds)
        with contextlib.suppress(TimeoutError):
            return test_server.read_response(sock)[0] == 408
        return False

    def test_changed_limit_holds_for_connections_that_wait(self):
        for name, begin in (("idle_seconds", SHORT_REQUEST), ("header_seconds", b"GET / HT")):
            with self.subTest(name):
                self.server.limits = attrs.evolve(SMALL, **{name: 0.5})
                raised, lowered = (self.connect(self.server) for _ in range(2))
                self.server.limits = attrs.evolve(SMALL, **{name: 60.0})
                for sock in (raised, lowered):
                    sock.sendall(begin)
                    if begin == SHORT_REQUEST:
                        self.assertEqual(test_server.read_response(sock)[0], 200)
                self.assertFalse(self.ends_within(raised, 2.0))
                self.server.limits = attrs.evolve(SMALL, **{name: 0.5})
                self.assertTrue(self.ends_within(lowered, 2.0))
