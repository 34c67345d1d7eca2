"""End-to-end tests of the declared limits of callers' requests, before and after they change."""

from __future__ import annotations

from flamingoramp.http.tests import test_changed_limits
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import test_odd_requests

LIMITS = {"max_header_bytes": 65536, "max_body_bytes": 4194304}
PART_COUNT = 2000


class TestLongHeads(fleets.FleetTestCase):
    """Requests with prompts of very many parts, whose heads exceed the default limit."""

    def setUp(self):
        super().setUp()
        self.fleet = self.make_fleet(controls=1, entries=1)

    def ask(self, connection: test_odd_requests.KeptConnection) -> int:
        """Send a long head in pieces, as a link carries it, and return the status."""
        parts = ",".join(f"{number:08x}:800" for number in range(PART_COUNT))
        head = (
            f"POST /hold/x HTTP/1.1\r\nhost: {fleets.ROUTE_HOST}\r\ncontent-length: 0\r\n"
            f"x-attempt-id: id{next(self.request_numbers)}\r\nauthorization: Token k1\r\n"
            f"x-prompt-prefix: {parts}\r\n\r\n"
        ).encode()
        test_changed_limits.send_in_pieces(connection.sock, head)
        status = int(connection.file.readline().split()[1])
        length = 0
        while (line := connection.file.readline().strip()) != b"":
            if line.lower().startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        connection.file.read(length)
        return status

    def connect(self) -> test_odd_requests.KeptConnection:
        connection = test_odd_requests.KeptConnection(self.fleet.caller_address())
        self.addCleanup(connection.close)
        return connection

    # Guards against proper requests that get 431 on all connections from before the configuration.
    def test_they_are_served_on_connections_from_before_the_declaration(self):
        unused, used = self.connect(), self.connect()
        self.assertEqual(used.send("GET", "/read/x", x_attempt_id="first")[0], 503)
        self.assertEqual(self.ask(self.connect()), 503)
        self.fleet.declare(1, limits=LIMITS)
        self.fleet.wait_in_force(1)
        self.fleet.add_server("d1", "desk")
        for connection in (unused, used, used, self.connect()):
            self.assertEqual(self.ask(connection), 200)

    def test_raised_limit_holds_on_connections_that_had_answers(self):
        self.fleet.declare(1)
        self.fleet.wait_in_force(1)
        self.fleet.add_server("d1", "desk")
        used = self.connect()
        for _ in range(3):
            answer = used.send("GET", "/read/x", x_attempt_id="first", authorization="Token k1")
            self.assertEqual(answer[0], 200)
        self.assertEqual(self.ask(self.connect()), 431)
        self.fleet.declare(2, limits=LIMITS)
        self.fleet.wait_in_force(2)
        self.assertEqual(self.ask(used), 200)
