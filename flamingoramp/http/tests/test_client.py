"""Tests of connections to backend servers, against a server whose bytes a test chooses."""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest

from flamingoramp.http import client, messages
from flamingoramp.runtime import loop as loops

WAIT_SECONDS = 20.0
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Backend:
    """Answers each request with the next of some given bytes; None closes without an answer."""

    def __init__(self, answers: list[bytes | None], *, reset: bool = False):
        self.answers = answers
        self.reset = reset
        self.connections = 0
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            while True:
                data = b""
                while b"\r\n\r\n" not in data:
                    piece = sock.recv(65536)
                    if not piece:
                        return
                    data += piece
                self.requests += 1
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    if self.reset:
                        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                sock.sendall(answer)

    def close(self) -> None:
        self.listener.close()


class Answered:
    """Keeps what a receiver is told."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.completed = False
        self.failure: client.Failure | None = None
        self.may_have_run: bool | None = None

    def handle_head(self, head: client.Head) -> None:
        self.status = head.status

    def handle_data(self, data: bytes) -> None:
        self.body += data

    def handle_complete(self) -> None:
        self.completed = True

    def handle_failure(self, failure: client.Failure, *, may_have_run: bool) -> None:
        self.failure = failure
        self.may_have_run = may_have_run

    @property
    def over(self) -> bool:
        return self.completed or self.failure is not None


class TestPool(unittest.TestCase):
    """Requests over kept and new connections."""

    def setUp(self):
        self.loop = loops.Loop()
        self.pool = client.Pool(self.loop)
        self.addCleanup(self.loop.close)
        self.addCleanup(self.pool.close)

    def serve(self, *answers: bytes | None, reset: bool = False) -> Backend:
        backend = Backend(list(answers), reset=reset)
        self.addCleanup(backend.close)
        return backend

    def ask(self, address: str, **options) -> Answered:
        answered = Answered()
        request = messages.Request(b"POST", b"/x", ((b"host", b"h"),), b"body")
        self.pool.send(address, request, answered, **options)
        while not answered.over:
            self.loop.run_once(0.5)
        return answered

    def test_a_kept_connection_is_used_again(self):
        backend = self.serve(WHOLE, WHOLE, WHOLE)
        for _ in range(3):
            self.assertEqual(self.ask(backend.address).body, b"ok")
        self.assertEqual(backend.connections, 1)

    def test_a_fresh_connection_on_demand(self):
        backend = self.serve(WHOLE, WHOLE)
        self.ask(backend.address)
        self.ask(backend.address, fresh=True)
        self.assertEqual(backend.connections, 2)

    def test_bytes_after_an_answer_reach_nobody(self):
        backend = self.serve(WHOLE + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother", WHOLE)
        self.assertEqual(self.ask(backend.address).body, b"ok")
        self.assertEqual(self.ask(backend.address).body, b"ok")
        self.assertEqual(backend.connections, 2)
        self.assertEqual(self.pool.stray_answers, 1)

    def test_connection_close_is_respected(self):
        closing = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"
        backend = self.serve(closing, WHOLE)
        self.ask(backend.address)
        self.ask(backend.address)
        self.assertEqual(backend.connections, 2)

    def test_a_body_without_a_length_ends_with_the_connection(self):
        backend = self.serve(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it", None)
        answered = Answered()
        request = messages.Request(b"GET", b"/", ((b"host", b"h"),))
        self.pool.send(backend.address, request, answered)
        while answered.body != b"all of it":
            self.loop.run_once(0.5)
        self.assertFalse(answered.completed)

    def test_an_answer_that_is_cut_off_is_a_failure(self):
        backend = self.serve(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")
        answered = Answered()
        request = messages.Request(b"GET", b"/", ((b"host", b"h"),))
        call = self.pool.send(backend.address, request, answered)
        while answered.body != b"half":
            self.loop.run_once(0.5)
        self.assertFalse(answered.over)
        call.cancel()

    def test_a_close_without_an_answer_may_have_run(self):
        answered = self.ask(self.serve(None).address)
        self.assertEqual(answered.failure, client.Failure.CLOSED)
        self.assertTrue(answered.may_have_run)

    def test_a_reset_may_have_run(self):
        answered = self.ask(self.serve(None, reset=True).address)
        self.assertTrue(answered.may_have_run)

    def test_no_listener_has_not_run(self):
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        answered = self.ask(address)
        self.assertEqual(answered.failure, client.Failure.NOT_CONNECTED)
        self.assertFalse(answered.may_have_run)

    def test_bytes_that_are_no_answer(self):
        answered = self.ask(self.serve(b"no http at all\r\n\r\n").address)
        self.assertEqual(answered.failure, client.Failure.UNREADABLE)
        self.assertTrue(answered.may_have_run)
