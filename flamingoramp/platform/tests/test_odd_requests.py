"""End-to-end tests of requests that are valid but unusual, and of bytes that are no request."""

from __future__ import annotations

import contextlib
import random
import socket
import string

from flamingoramp.daemons import node_process
from flamingoramp.platform.tests import fleet as fleets

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "CONNECT", "BREW")
# More than the unexpected errors after which an entry ends.
REPEAT_COUNT = node_process.MAX_ERRORS + 5
MALFORMED_COUNT = 500
SEED = 43
SOCKET_TIMEOUT_SECONDS = 5.0
QUIET_SECONDS = 0.2
CONTROL_PATHS = ("/v1/config", "/v1/instances/s1", "/v1/evacuation/a", "/other")
DIRECTORY_PATHS = ("/v1/lookup?name=x&region=r&zone=a", "/other")
READINESS_PATHS = ("/v1/readyz", "/other")
CALLER_PATHS = ("/read/x", "/hold/x", "/stream/x", "/other")


class KeptConnection:
    """Connection of a caller that sends one request after the other."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_SECONDS)
        self.file = self.sock.makefile("rb")

    def send(self, method: str, target: str, **headers: str) -> tuple[int, dict[str, str], bytes]:
        """Send a request and read its answer; the status is 0 if there is none."""
        lines = [f"{method} {target} HTTP/1.1", f"host: {fleets.ROUTE_HOST}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())
        status_line = self.file.readline()
        if not status_line:
            return 0, {}, b""
        answer_headers = {}
        while (line := self.file.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            answer_headers[name.lower()] = value.strip()
        body = b""
        if method != "HEAD" and "content-length" in answer_headers:
            body = self.file.read(int(answer_headers["content-length"]))
        return int(status_line.split()[1]), answer_headers, body

    def has_more(self) -> bool:
        """Return whether bytes follow that belong to no answer."""
        self.sock.settimeout(QUIET_SECONDS)
        with contextlib.suppress(TimeoutError):
            return bool(self.file.read1(1))
        return False

    def close(self) -> None:
        self.file.close()
        self.sock.close()


class OddRequestCase(fleets.FleetTestCase):
    """Base of tests with one entry, one control host and a server of each service."""

    def setUp(self):
        super().setUp()
        self.fleet = self.start_serving(controls=1, entries=1)
        self.fleet.add_server("d1", "desk")
        self.fleet.add_server("e1", "llm")
        entry = self.fleet.entries[0].daemon.process.settings.listen
        control = self.fleet.controls[0].daemon.process.settings.listen
        self.paths_by_port = {
            entry.callers: CALLER_PATHS,
            entry.readiness: READINESS_PATHS,
            entry.directory: DIRECTORY_PATHS,
            control.operators: CONTROL_PATHS,
            control.directory: DIRECTORY_PATHS,
        }

    def connect(self, address: str) -> KeptConnection:
        connection = KeptConnection(address)
        self.addCleanup(connection.close)
        return connection

    def check_sound_caller(self) -> None:
        self.assertEqual(self.send(self.fleet, "hold").status, 200)

    def check_no_errors(self) -> None:
        for daemon_thread in (*self.fleet.entries, *self.fleet.controls):
            self.assertTrue(daemon_thread.is_running)
            exported = daemon_thread.daemon.process.metrics.render()
            self.assertNotIn(b"unexpected_errors", exported)


class TestMethods(OddRequestCase):
    """All methods on all ports."""

    # Guards against processes that end with the requests of all callers, since answers to HEAD have
    # a body.
    def test_no_method_ends_a_process_or_breaks_its_connection(self):
        for address, paths in self.paths_by_port.items():
            for path in paths:
                for method in METHODS:
                    with self.subTest(address=address, path=path, method=method):
                        connection = self.connect(address)
                        status, headers, _ = connection.send(method, path, content_length="0")
                        self.assertGreater(status, 0)
                        if headers.get("connection") != "close":
                            self.assertGreater(connection.send("GET", path)[0], 0)
        self.check_sound_caller()
        self.check_no_errors()

    def test_head_gets_the_answer_to_get_without_its_body(self):
        for address, paths in self.paths_by_port.items():
            for path in paths:
                if path in ("/hold/x", "/stream/x"):
                    continue  # GET and HEAD are two requests, and a server's answer has no length
                with self.subTest(address=address, path=path):
                    connection = self.connect(address)
                    expected_status, expected, body = connection.send("GET", path)
                    status, headers, _ = connection.send("HEAD", path)
                    self.assertEqual(status, expected_status)
                    self.assertEqual(headers["content-length"], expected["content-length"])
                    self.assertFalse(connection.has_more())
                    self.assertEqual(len(body), int(expected["content-length"]))

    def test_other_methods_get_405_and_the_methods_that_are_allowed(self):
        listen = self.fleet.controls[0].daemon.process.settings.listen
        readiness = self.fleet.entries[0].daemon.process.settings.listen.readiness
        for address, path, allowed in (
            (listen.operators, "/v1/config", "GET, HEAD, PUT"),
            (listen.operators, "/v1/instances/s1", "PUT, DELETE"),
            (listen.directory, "/v1/lookup", "GET, HEAD"),
            (readiness, "/v1/readyz", "GET, HEAD"),
        ):
            status, headers, _ = self.connect(address).send("PATCH", path, content_length="0")
            self.assertEqual((status, headers.get("allow")), (405, allowed))

    def test_many_refused_head_requests_leave_other_callers_alone(self):
        connection = self.connect(self.fleet.caller_address())
        for number in range(REPEAT_COUNT):
            status, _, _ = connection.send("HEAD", "/read/x", x_attempt_id=f"h{number}")
            self.assertEqual(status, 401)
        self.check_sound_caller()
        self.check_no_errors()


class TestNumbers(OddRequestCase):
    """Headers with numbers of any size."""

    # Guards against proper requests that fail since a float can't hold the time that is left.
    def test_no_number_fails_a_request_by_an_error_of_the_entry(self):
        for number in ("9" * 400, "9" * 30, "-" + "9" * 400, "0", "-1"):
            for name in ("x_deadline_ms", "x_token_count"):
                for route in ("read", "stream"):
                    with self.subTest(name=name, number=number[:5], route=route):
                        value = number if name == "x_deadline_ms" else f"{number},{number}"
                        answer = self.send(self.fleet, route, **{name: value})
                        self.assertIn(answer.status, (200, 503, 504))
        self.check_sound_caller()
        self.check_no_errors()


class TestObjectives(OddRequestCase):
    """Routes that declare no objective of latency."""

    # Guards against a division by an objective of 0, and retries after no time.
    def test_routes_with_an_objective_of_zero_are_served(self):
        document = fleets.make_document(2)
        for route in document["routes"]:
            route["slo_ms"] = 0
        self.fleet.declare(2, routes=document["routes"])
        self.fleet.wait_in_force(2)
        for _ in range(REPEAT_COUNT):
            for route in ("stream", "read", "hold"):
                self.assertEqual(self.send(self.fleet, route).status, 200)
        counts = {server.name: len(server.requests) for server in self.fleet.servers}
        self.assertEqual(counts, {"d1": 2 * REPEAT_COUNT, "e1": REPEAT_COUNT})
        self.check_no_errors()


class TestMalformedRequests(OddRequestCase):
    """Bytes that are no request, or none that a port takes."""

    def make_bytes(self, rng: random.Random, paths: tuple[str, ...]) -> bytes:
        """Return a request in which a part or two are changed."""
        method = rng.choice(METHODS)
        version = rng.choice(("HTTP/1.1",) * 6 + ("HTTP/1.0", "HTTP/2.0", "HTTP/0.9", "ICY/1.1"))
        lines = [f"{method} {rng.choice(paths)} {version}".encode(), b"host: " + b"ficu95.example"]
        odd_headers = (
            b"content-length: 5",
            b"content-length: -1",
            b"content-length: " + b"9" * 30,
            b"transfer-encoding: chunked",
            b"transfer-encoding: gzip",
            b"expect: 100-continue",
            b"upgrade: h2c",
            b"connection: upgrade, close",
            b"x-deadline-ms: " + rng.choice((b"", b"x", b"-5", b"1e9", b"9" * 40)),
            b"x-token-count: " + rng.choice((b",", b"-1,-1", b"9" * 30, b"5,5,5")),
            b"x-prompt-prefix: " + rng.choice((b":", b"zz:1", b"a:" + b"9" * 30, b"a:1," * 500)),
            b"x-attempt-id: " + rng.choice((b"", b"\xff\xfe", b"i" * 3000)),
            b"authorization: " + rng.choice((b"Token", b"Token k1", b"Token \xe9", b"\xff")),
            b"last-event-id: \xfc",
            b" folded",
            b"no colon",
            b"x" * 20_000,
        )
        lines += rng.sample(odd_headers, rng.randint(0, 4))
        data = b"\r\n".join(lines) + b"\r\n\r\n"
        body = rng.choice((b"", b"", b"abc", b"5\r\nhello\r\n0\r\n\r\n", b"zz\r\n", b"{" * 3000))
        data += body
        if rng.random() < 0.3:
            position = rng.randrange(len(data))
            data = data[:position] + rng.randbytes(rng.randint(0, 4)) + data[position + 1 :]
        if rng.random() < 0.1:
            data = rng.choice(string.printable).encode() * rng.randint(1, 100)
        return data

    # Guards against a caller with odd bytes who ends a process for all others.
    def test_generated_requests_leave_sound_callers_alone(self):
        rng = random.Random(SEED)
        addresses = list(self.paths_by_port)
        sockets = []
        for number in range(MALFORMED_COUNT):
            address = addresses[number % len(addresses)]
            host, _, port = address.rpartition(":")
            sock = socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_SECONDS)
            sockets.append(sock)
            with contextlib.suppress(OSError):
                for _ in range(rng.randint(1, 3)):
                    sock.sendall(self.make_bytes(rng, self.paths_by_port[address]))
                if rng.random() < 0.5:
                    sock.shutdown(socket.SHUT_WR)
            if number % 25 == 24:
                self.check_sound_caller()
                for open_socket in sockets:
                    open_socket.close()
                sockets.clear()
        self.check_sound_caller()
        self.check_no_errors()


class TestEngineModels(OddRequestCase):
    """Valid declarations whose engines have costs or sizes that no engine has."""

    FIELDS = (
        "slots",
        "kv_tokens",
        "stride",
        "step_ms",
        "per_seq_ms",
        "context_per_k",
        "read_per_s",
        "pairs_per_m",
        "chunk",
        "hop_ms",
    )

    # Guards against streams that are broken off, and requests that fail, since an estimate divides
    # by a number of the declaration.
    def test_streams_are_served_whatever_the_engine_costs(self):
        version = 1
        engine = fleets.make_document(1)["services"][0]["engine"]
        for field in self.FIELDS:
            for value in (0, -1, 10**9):
                version += 1
                services = fleets.make_document(version)["services"]
                services[0]["engine"] = {**engine, field: value}
                self.fleet.declare(version, services=services)
                self.fleet.wait_in_force(version)
                with self.subTest(field=field, value=value):
                    answers = [self.send(self.fleet, "stream") for _ in range(2)]
                    # Refused at once where no engine seems to have room, or to be in time.
                    statuses = {answer.status for answer in answers}
                    self.assertLessEqual(statuses, {200, 503})
                    self.assertEqual(
                        {answer.body for answer in answers if answer.status == 200},
                        {fleets.COMPLETE_STREAM} if 200 in statuses else set(),
                    )
                    if value <= 0 and field not in ("slots", "kv_tokens"):
                        self.assertEqual(statuses, {200})
        self.check_sound_caller()
        self.check_no_errors()
