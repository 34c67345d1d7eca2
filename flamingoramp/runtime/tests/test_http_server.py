"""Tests of the HTTP server whose requests are handled in threads."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
import unittest
from concurrent import futures

import werkzeug

from flamingoramp import errors
from flamingoramp.runtime import http_server

TIMEOUT_SECONDS = 20.0
MAX_BODY_BYTES = 100_000
CROWD_SIZE = 300


class ServerCase(unittest.TestCase):
    """Runs a server whose handler echoes the body, or does what the path says."""

    def setUp(self):
        self.errors: list[BaseException] = []
        self.is_released = threading.Event()
        self.addCleanup(self.is_released.set)
        self.server = http_server.HttpServer(
            "127.0.0.1:0", self.handle, max_body_bytes=MAX_BODY_BYTES, on_error=self.errors.append
        )
        host, _, port = self.server.url.removeprefix("http://").rpartition(":")
        self.address = (host, int(port))
        executor = futures.ThreadPoolExecutor(1)
        self.addCleanup(executor.shutdown)
        self.done = self.server.start(executor)
        self.addCleanup(self.stop)

    def stop(self) -> None:
        if not self.done.done():
            self.server.stop()
        self.done.result(TIMEOUT_SECONDS)

    def handle(self, request: werkzeug.Request, sock: socket.socket) -> werkzeug.Response | None:
        match request.path:
            case "/fails":
                raise ZeroDivisionError
            case "/refuses":
                raise errors.OverloadedError("no room", retry_after=2.0)
            case "/detaches":
                with http_server.duplicate_socket(sock) as duplicate:
                    duplicate.setblocking(True)
                    duplicate.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndetached")
                return None
            case "/waits":
                self.is_released.wait(TIMEOUT_SECONDS)
        body = {
            "path": request.path,
            "query": request.args.to_dict(),
            "type": request.content_type,
            "key": request.headers.get("Idempotency-Key"),
            "bytes": len(request.get_data()),
        }
        return http_server.json_response(body)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address, timeout=TIMEOUT_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def read(self, sock: socket.socket) -> tuple[int, bytes, bytes]:
        """Read a response to the end of its connection; return status, head and body."""
        data = b""
        while part := sock.recv(65536):
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.lower(), body

    def ask(self, path: str = "/", *lines: str, body: bytes = b"") -> tuple[int, bytes, bytes]:
        sock = self.connect()
        head = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *lines]
        sock.sendall("\r\n".join([*head, "", ""]).encode() + body)
        return self.read(sock)


class TestRequests(ServerCase):
    """What handlers get, and what becomes of what they return or raise."""

    def test_handlers_get_path_query_headers_and_body(self):
        status, head, body = self.ask(
            "/caf%C3%A9?a=1&b=x%20y", "Content-Type: text/plain", "Idempotency-Key: k", body=b"four"
        )
        self.assertEqual(status, 200)
        self.assertIn(b"connection: close", head)
        self.assertEqual(
            json.loads(body),
            {
                "path": "/café",
                "query": {"a": "1", "b": "x y"},
                "type": "text/plain",
                "key": "k",
                "bytes": 4,
            },
        )

    def test_errors_are_responses_with_their_code(self):
        status, head, body = self.ask("/refuses")
        self.assertEqual((status, json.loads(body)["error"]["code"]), (429, "overloaded"))
        self.assertIn(b"retry-after: 2", head)
        self.assertEqual(self.ask("/fails")[0], 500)
        self.assertEqual([type(error) for error in self.errors], [ZeroDivisionError])
        self.assertEqual(self.ask()[0], 200)

    def test_handler_may_send_its_response_itself(self):
        self.assertEqual(self.ask("/detaches")[::2], (200, b"detached"))

    def test_too_large_and_malformed_requests_name_the_code(self):
        for request, expected in (
            (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100001\r\n\r\n", 413),
            (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: x\r\n\r\n", 400),
        ):
            sock = self.connect()
            sock.sendall(request)
            sock.shutdown(socket.SHUT_WR)
            status, _, body = self.read(sock)
            self.assertEqual(status, expected)
            code = {413: "request_too_large", 400: "bad_request"}[expected]
            self.assertEqual(json.loads(body)["error"]["code"], code)


class TestCrowds(ServerCase):
    """More callers than there are threads, who send too little or too much."""

    # Guards against threads that wait for the rest of a request, so that no other is read.
    def test_half_sent_and_silent_connections_hold_up_no_request(self):
        for number in range(2 * CROWD_SIZE):
            sock = self.connect()
            if number % 2:
                sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nhalf")
        self.assertEqual(self.ask(body=b"whole")[0], 200)

    def test_unfinished_bodies_stay_within_the_memory(self):
        head = f"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n".encode()
        for _ in range(40):
            with contextlib.suppress(OSError):
                self.connect().sendall(head + b"x" * (MAX_BODY_BYTES - 1))
        self.assertEqual(self.ask(body=b"whole")[0], 200)
        account = self.server._server.account
        self.assertLessEqual(account.held_bytes, account.limit_bytes)
        self.assertEqual(account.limit_bytes, http_server.MAX_HELD_BODIES * MAX_BODY_BYTES)


class TestStop(ServerCase):
    """A planned stop."""

    def test_requests_in_progress_are_answered(self):
        sock = self.connect()
        sock.sendall(b"GET /waits HTTP/1.1\r\nhost: h\r\n\r\n")
        time.sleep(0.2)
        stopping = threading.Thread(target=self.server.stop)
        stopping.start()
        time.sleep(0.2)
        self.is_released.set()
        self.assertEqual(self.read(sock)[0], 200)
        stopping.join(TIMEOUT_SECONDS)
        self.done.result(TIMEOUT_SECONDS)
        with self.assertRaises(OSError):
            socket.create_connection(self.address, timeout=1.0)
