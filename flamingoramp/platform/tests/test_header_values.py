"""End-to-end tests of texts from outside that entries put into headers of requests to servers."""

from __future__ import annotations

import json
import urllib.parse

from flamingoramp.daemons import node_process
from flamingoramp.platform.tests import fleet as fleets

# Names that a declaration may contain, and what a server reads of each.
WORKSPACE_NAMES = {
    "daejeon-coop ": b"daejeon-coop",
    "\tboth sides ": b"both sides",
    "two\r\nx-tenant: w": b"two%0D%0Ax-tenant: w",
    "nul\0, tab\t, vertical\v": b"nul%00, tab\t, vertical%0B",
    "대전 협동조합": "대전 협동조합".encode(),
    " ": b"",
    "100%": b"100%",
}
# More than the unexpected errors after which an entry ends.
REPEAT_COUNT = node_process.MAX_ERRORS + 5


class HeaderValueCase(fleets.FleetTestCase):
    """Base of tests with one entry, one control host and a server of each service."""

    def setUp(self):
        super().setUp()
        self.fleet = self.start_serving(controls=1, entries=1)
        self.desk = self.fleet.add_server("d1", "desk")
        self.engine = self.fleet.add_server("e1", "llm")

    def check_no_errors(self) -> None:
        for daemon_thread in (*self.fleet.entries, *self.fleet.controls):
            self.assertTrue(daemon_thread.is_running)
            exported = daemon_thread.daemon.process.metrics.render()
            self.assertNotIn(b"unexpected_errors", exported)


class TestWorkspaceNames(HeaderValueCase):
    """Names of workspaces that a header can't hold as they are."""

    # Guards against entries that end with the requests of all workspaces, since the name of one
    # ends with a blank.
    def test_each_workspace_of_a_declaration_is_served(self):
        workspaces = [
            {"name": name, "api_keys": [f"key{number}"], "priority": 1}
            for number, name in enumerate(WORKSPACE_NAMES)
        ]
        self.fleet.declare(2, tenants=workspaces)
        self.fleet.wait_in_force(2)
        for number, (name, expected) in enumerate(WORKSPACE_NAMES.items()):
            for route, server in (("hold", self.desk), ("stream", self.engine)):
                with self.subTest(name=name, route=route):
                    key = f"Token key{number}"
                    answers = [
                        self.send(self.fleet, route, authorization=key) for _ in range(REPEAT_COUNT)
                    ]
                    self.assertEqual({answer.status for answer in answers}, {200})
                    self.assertEqual(server.requests[-1].header(b"x-tenant"), expected)
                    self.assertEqual(
                        [
                            value
                            for name, value in server.requests[-1].headers
                            if name == b"x-expect-instance"
                        ],
                        [server.name.encode()],
                    )
        self.check_no_errors()


class TestHopByHopHeaders(HeaderValueCase):
    """Headers that a caller names in Connection, and that are left out."""

    # Guards against requests without a host, which can't be sent and which end the entry.
    def test_request_whose_host_is_left_out_is_served(self):
        for route in ("hold", "stream"):
            with self.subTest(route=route):
                answers = [
                    self.send(self.fleet, route, connection="close, host")
                    for _ in range(REPEAT_COUNT)
                ]
                self.assertEqual({answer.status for answer in answers}, {200})
        self.check_no_errors()


class TestNames(HeaderValueCase):
    """Names of routes, zones and servers with characters that mean something elsewhere."""

    def call(self, address: str, method: str, path: str, body: bytes) -> fleets.Answer | None:
        """Call a control host; None if it can't answer now."""
        answer = fleets.send_request(address, method, path, body=body)
        return None if answer.status == 503 else answer

    # Guards against metrics or logs that can't be written for one name.
    def test_metrics_and_logs_take_any_route_name(self):
        render = self.fleet.entries[0].daemon.process.metrics.render
        for number, name in enumerate(('a"b', "line\nend", "back\\slash", "대전", "\x00", ""), 1):
            with self.subTest(name=name):
                document = fleets.make_document(number + 1)
                document["routes"][0]["name"] = name
                self.fleet.declare(number + 1, routes=document["routes"])
                self.fleet.wait_in_force(number + 1)
                self.assertEqual(self.send(self.fleet, "stream").status, 200)
                fleets.wait_for(
                    lambda number=number: render().count(b"request_seconds_count{") == number,
                    "the metrics of the route",
                )
        self.check_no_errors()

    def test_server_or_zone_with_any_name_is_taken_or_refused(self):
        operators = self.fleet.controls[0].daemon.process.settings.listen.operators
        for name in ("a ", "a\r\nb: c", "\x00", "대전", "%", "../../x"):
            quoted = urllib.parse.quote(name, safe="")
            announcement = {**json.loads(self.desk.make_announcement()), "service": "other"}
            body = json.dumps({**announcement, "addr": "127.0.0.1:9"}).encode()
            for method, path in (
                ("PUT", f"/v1/instances/{quoted}"),
                ("DELETE", f"/v1/instances/{quoted}"),
                ("POST", f"/v1/evacuation/{quoted}"),
                ("DELETE", f"/v1/evacuation/{quoted}"),
            ):
                with self.subTest(method=method, path=path):
                    # A control host whose syncs take long refuses for a time.
                    answer = fleets.wait_for(
                        lambda method=method, path=path, body=body: self.call(
                            operators, method, path, body
                        ),
                        "an answer of the control host",
                    )
                    self.assertIn(answer.status, (200, 400, 404))
        self.assertEqual(self.send(self.fleet, "hold").status, 200)
        self.check_no_errors()
