"""End-to-end tests over sockets: control hosts, entries, fake servers, and faults of each."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest
from unittest import mock

from flamingoramp.daemons import gateway, node_process
from flamingoramp.dispatch import crash_evidence
from flamingoramp.membership import registry
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets


class TestRequests(fleets.FleetTestCase):
    """Requests of each kind, and faults of backend servers."""

    def test_requests_of_each_kind_are_answered(self):
        fleet = self.start_serving()
        fleet.add_server("e1", "llm")
        server = fleet.add_server("d1", "desk")
        stream = self.send(fleet, "stream")
        self.assertEqual((stream.status, stream.body), (200, fleets.COMPLETE_STREAM))
        self.assertEqual(stream.headers["x-response-stamp"], "stamp-e1")
        self.assertEqual(self.send(fleet, "hold", x_attempt_id="h1").body, b"answer to h1:body")
        self.assertEqual(self.send(fleet, "read").status, 200)
        received_headers = dict(server.requests[0].headers)
        self.assertEqual(received_headers[b"x-tenant"], b"w")
        self.assertNotIn(b"authorization", received_headers)

    def test_request_without_route_or_key_or_server_is_refused(self):
        fleet = self.start_serving(entries=1)
        self.assertEqual(self.send(fleet, "nowhere").status, 404)
        self.assertEqual(self.send(fleet, "hold", authorization="Token k9").status, 401)
        self.assertEqual(self.send(fleet, "hold").status, 503)

    def test_stream_refused_by_one_engine_is_sent_to_another(self):
        fleet = self.start_serving(entries=1)
        for name in ("e1", "e2"):
            fleet.add_server(name, "llm", fake_server.Behaviour(refuses=name == "e1"))
        for _ in range(4):
            self.assertEqual(self.send(fleet, "stream").body, fleets.COMPLETE_STREAM)

    def test_interrupted_stream_resumes_within_the_same_answer(self):
        fleet = self.start_serving(entries=1)
        interrupting_engine = fleet.add_server(
            "e1", "llm", fake_server.Behaviour(disconnect_after_event=2)
        )
        fleet.add_server("e2", "llm")
        signatures = set()
        while not interrupting_engine.requests:
            answer = self.send(fleet, "stream")
            self.assertEqual((answer.status, answer.body), (200, fleets.COMPLETE_STREAM))
            signatures.add(answer.headers["x-response-stamp"])
        self.assertIn("stamp-e1", signatures)

    def test_interrupted_stream_without_other_engine_ends_incomplete(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("e1", "llm", fake_server.Behaviour(disconnect_after_event=2))
        self.assertEqual(self.send(fleet, "stream").status, 0)

    def test_non_idempotent_request_is_sent_once(self):
        fleet = self.start_serving(entries=1)
        servers = [
            fleet.add_server(name, "desk", fake_server.Behaviour(echoes_wrong_id=True))
            for name in "ab"
        ]
        self.assertEqual(self.send(fleet, "hold").status, 502)
        self.assertEqual(sum(len(server.requests) for server in servers), 1)

    def test_refused_non_idempotent_request_gets_503_with_retry_after(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk", fake_server.Behaviour(refuses=True))
        answer = self.send(fleet, "hold")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_answer_with_wrong_request_id_is_not_relayed(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk", fake_server.Behaviour(echoes_wrong_id=True))
        fleet.add_server("d2", "desk")
        for number in range(4):
            answer = self.send(fleet, "read", x_attempt_id=f"r{number}")
            self.assertIn(answer.status, (200, 502))
            if answer.status == 200:
                self.assertEqual(answer.body, b"answer to r%d:" % number)

    def test_request_past_its_time_limit_gets_504(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk", fake_server.Behaviour(never_answers=True))
        self.assertEqual(self.send(fleet, "hold", x_deadline_ms="400").status, 504)

    def test_idempotent_request_is_retried_if_server_never_answers(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk", fake_server.Behaviour(never_answers=True))
        fleet.add_server("d2", "desk")
        for _ in range(2):
            self.assertEqual(self.send(fleet, "read").status, 200)

    def test_caller_disconnect_cancels_request_at_engine(self):
        fleet = self.start_serving(entries=1)
        engine = fleet.add_server("e1", "llm", fake_server.Behaviour(never_answers=True))
        with self.assertRaises(OSError):
            fleets.send_request(
                fleet.caller_address(),
                "POST",
                "/stream/x",
                headers={
                    "x-attempt-id": "left",
                    "authorization": "Token k1",
                    "x-token-count": "10,10",
                },
                timeout=0.3,
            )
        fleets.wait_for(lambda: engine.disconnect_count, "the disconnect at the engine")


class TestUnexpectedErrors(fleets.FleetTestCase):
    """Errors in the code of an entry."""

    # Guards against an entry that one unexpected error ends, with the requests of all callers.
    def test_entry_goes_on_after_an_error_and_answers_its_caller(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk")
        entry = fleet.entries[0]
        # Of the entry only: the fake server announces itself by a pool of its own.
        with mock.patch.object(entry.daemon._pool, "send", side_effect=ZeroDivisionError):
            self.assertEqual(self.send(fleet, "read").status, 500)
        self.assertEqual(self.send(fleet, "read").status, 200)
        self.assertTrue(entry.is_running)
        self.assertIn(b"unexpected_errors", entry.daemon.process.metrics.render())

    # Guards against callers whose requests meet one error again and again, and who end an entry for
    # all others.
    def test_errors_of_single_requests_do_not_end_an_entry(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk")
        pool = fleet.entries[0].daemon._pool
        with mock.patch.object(pool, "send", side_effect=ZeroDivisionError):
            for _ in range(node_process.MAX_ERRORS + 5):
                self.assertEqual(self.send(fleet, "read").status, 500)
        self.assertEqual(self.send(fleet, "read").status, 200)
        self.assertTrue(fleet.entries[0].is_running)

    # Guards against a control host that goes on with a state that an error has left half changed.
    def test_control_host_ends_at_an_error_while_it_changes_its_state(self):
        fleet = self.start_serving(controls=1, entries=1)
        with (
            mock.patch.object(threading, "excepthook"),
            mock.patch.object(registry.Registry, "update_server", side_effect=ZeroDivisionError),
        ):
            body = {"service": "desk", "addr": "127.0.0.1:9", "zone": "a", "slots": 8, "seq": 1}
            answer = fleets.send_request(
                fleet.seeds[0],
                "PUT",
                "/v1/instances/d1",
                body=json.dumps({**body, "state": "ready"}).encode(),
            )
            self.assertEqual(answer.status, 0)
            fleets.wait_for(lambda: not fleet.controls[0].is_running, "the end of the control host")

    # Guards against a malformed announcement that ends each control host that it reaches.
    def test_unencodable_announcements_are_refused_and_end_no_process(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("d1", "desk")
        body = {
            "service": "desk",
            "addr": "127.0.0.1:9",
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "seq": 1,
        }
        for name, changes in (
            ("x1", {"zone": "\ud800"}),
            ("x2", {"service": "\udfff"}),
            ("x3", {"version": "\ud83d"}),
            ("%E2%82%AC", {}),
            ("x%0d%0ax-tenant:%20w", {}),
        ):
            answer = fleets.send_request(
                fleet.seeds[0],
                "PUT",
                f"/v1/instances/{name}",
                body=json.dumps({**body, **changes}).encode(),
            )
            with self.subTest(name=name):
                self.assertEqual(answer.status, 400)
        time.sleep(0.5)
        self.assertTrue(all(daemon.is_running for daemon in (*fleet.controls, *fleet.entries)))
        for _ in range(4):
            self.assertEqual(self.send(fleet, "read").status, 200)

    def test_entry_ends_if_errors_persist(self):
        fleet = self.start_serving(entries=1)
        entry = fleet.entries[0]

        def _fail() -> None:
            raise ZeroDivisionError

        with mock.patch.object(threading, "excepthook"):
            entry.daemon.process.loop.call_every(0.01, _fail)
            fleets.wait_for(lambda: not entry.is_running, "the end of the entry")


class TestMemory(fleets.FleetTestCase):
    """Prompts that need memory reservations at several engines."""

    def test_reservations_at_several_engines_are_released(self):
        fleet = self.start_serving(entries=1)
        engines = [fleet.add_server(f"e{number}", "llm") for number in range(4)]
        answer = self.send(fleet, "stream", x_token_count="250000,100")
        self.assertEqual(answer.body, fleets.COMPLETE_STREAM)
        self.assertTrue(any(engine.reserved_tickets for engine in engines))
        fleets.wait_for(
            lambda: not any(engine.reserved_tokens for engine in engines),
            "the release of all reservations",
        )

    def test_refused_reservation_leaves_no_reservation_behind(self):
        fleet = self.start_serving(entries=1)
        engines = [
            fleet.add_server(f"e{number}", "llm", fake_server.Behaviour(refuses_memory=number == 0))
            for number in range(6)
        ]
        answer = self.send(fleet, "stream", x_token_count="250000,100")
        self.assertIn(answer.status, (200, 503))
        fleets.wait_for(
            lambda: not any(engine.reserved_tokens for engine in engines),
            "the release of all reservations",
        )

    def test_prompt_larger_than_all_memory_is_refused(self):
        fleet = self.start_serving(entries=1)
        fleet.add_server("e1", "llm")
        answer = self.send(fleet, "stream", x_token_count="900000,100")
        self.assertEqual(answer.status, 503)


class TestReservedPorts(unittest.TestCase):
    """Reserved ports stay free until a daemon listens on them."""

    def setUp(self):
        self.ports = fleets.ReservedPorts(["127.0.0.2"], 2)
        self.addCleanup(self.ports.close)

    def test_daemon_can_listen_on_reserved_port(self):
        socket.create_server(("127.0.0.2", self.ports.first_port + 1)).close()

    def test_other_socket_cannot_bind_reserved_port(self):
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.2", self.ports.first_port))


class TestCrashingRequest(fleets.FleetTestCase):
    """A request that crashes every server that runs it."""

    def send_crashing_request(self, fleet: fleets.Fleet, entry: int) -> int:
        """Send the request to an entry and return the status, 0 if the answer was cut off."""
        headers = {
            "x-attempt-id": f"p{next(self.request_numbers)}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
            "x-token-count": "1000,100",
        }
        address = fleet.caller_address(entry)
        return fleets.send_request(
            address, "POST", "/stream/x", headers=headers, body=b"crash"
        ).status

    def test_crashing_request_is_quarantined_at_all_entries_after_three_crashes(self):
        fleet = self.start_serving(entries=3)
        engines = [
            fleet.add_server(f"e{number}", "llm", fake_server.Behaviour(crash_marker=b"crash"))
            for number in range(6)
        ]
        for entry in range(3):
            self.send_crashing_request(fleet, entry)
            time.sleep(gateway.SUBSCRIBE_INTERVAL_SECONDS + 0.3)
        run_count = sum(len(engine.requests) for engine in engines)
        self.assertEqual(run_count, crash_evidence.QUARANTINE_END_COUNT)
        for entry in range(3):
            self.assertEqual(self.send_crashing_request(fleet, entry), 400)
        self.assertEqual(sum(len(engine.requests) for engine in engines), run_count)
        answer = self.send(fleet, "stream")
        self.assertEqual((answer.status, answer.body), (200, fleets.COMPLETE_STREAM))


class TestBackendServers(fleets.FleetTestCase):
    """Backend servers that drain."""

    def test_draining_server_gets_no_new_requests(self):
        fleet = self.start_serving()
        draining_server = fleet.add_server("d1", "desk")
        fleet.add_server("d2", "desk")
        draining_server.drain()
        for entry in fleet.entries:
            fleets.wait_for(
                lambda entry=entry: entry.daemon.registry.find_server("d1").leaving,
                "the server's state at an entry",
            )
        count_before = len(draining_server.requests)
        for number in range(6):
            self.assertEqual(
                self.send(fleet, "read", address=fleet.caller_address(number % 2)).status, 200
            )
        self.assertEqual(len(draining_server.requests), count_before)


class TestControl(fleets.FleetTestCase):
    """Declarations, and faults of control hosts."""

    def read_version(self, fleet: fleets.Fleet, address: str) -> int:
        """Return the version that a control host reads, 0 if it can't confirm one."""
        try:
            answer = fleets.send_request(address, "GET", "/v1/config", timeout=3.0)
        except OSError:
            return 0
        return json.loads(answer.body)["version"] if answer.status == 200 else 0

    def test_each_control_host_accepts_and_returns_declarations(self):
        fleet = self.make_fleet()
        for version, address in enumerate(fleet.seeds, 1):
            fleet.declare(version, address=address)
            for other in fleet.seeds:
                returned_version = fleets.wait_for(
                    lambda other=other: self.read_version(fleet, other), "a confirmed read"
                )
                self.assertEqual(returned_version, version)
        fleet.wait_in_force(3)

    def test_lower_version_is_acknowledged_without_effect(self):
        fleet = self.start_serving(entries=1)
        fleet.declare(9)
        fleet.declare(4, tenants=[])
        self.assertEqual(self.read_version(fleet, fleet.seeds[0]), 9)
        fleet.wait_in_force(9)

    def test_read_at_a_host_that_has_the_version_transfers_no_document(self):
        fleet = self.make_fleet()
        fleet.declare(1)
        document_bytes = len(json.dumps(fleets.make_document(1)))
        reads_per_host = 10
        for address in fleet.seeds * reads_per_host:
            fleets.wait_for(lambda address=address: self.read_version(fleet, address), "a read")
        sent_bytes = sum(
            control.daemon.process.transport.traffic.sent_bytes_by_type["ReadReply"]
            for control in fleet.controls
        )
        self.assertLess(sent_bytes, reads_per_host * document_bytes / 2)

    def test_invalid_declaration_is_refused(self):
        fleet = self.start_serving(entries=1)
        body = json.dumps(fleets.make_document(5, services=[])).encode()
        answer = fleets.send_request(fleet.seeds[0], "PUT", "/v1/config", body=body)
        self.assertEqual(answer.status, 400)
        self.assertEqual(self.read_version(fleet, fleet.seeds[1]), 1)

    def test_last_of_two_hundred_declarations_comes_into_force(self):
        fleet = self.start_serving(entries=1)
        for version in range(2, 202):
            fleet.declare(version)
        fleet.wait_in_force(201)

    def test_entries_serve_while_all_control_hosts_are_down(self):
        fleet = self.start_serving()
        fleet.add_server("d1", "desk")
        for control in fleet.controls:
            control.stop()
        for number in range(2):
            self.assertEqual(
                self.send(fleet, "read", address=fleet.caller_address(number)).status, 200
            )

    def test_declaration_survives_restart_of_all_control_hosts(self):
        fleet = self.start_serving(entries=1)
        fleet.declare(8)
        for control in fleet.controls:
            control.stop()
        fleet.controls = [fleet.start_control(number) for number in range(3)]
        returned_version = fleets.wait_for(
            lambda: self.read_version(fleet, fleet.seeds[1]), "a confirmed read"
        )
        self.assertEqual(returned_version, 8)

    def test_host_with_lost_disk_and_added_host_join_the_cluster(self):
        fleet = self.start_serving(entries=1)
        fleet.declare(2)
        fleet.controls[0].stop()
        fleet.delete_data(0)
        fleet.controls[0] = fleet.start_control(0)
        added_control = fleet.add_control()
        fleets.wait_for(
            lambda: all(
                daemon_thread.call(
                    lambda daemon_thread=daemon_thread: len(daemon_thread.daemon.node.hosts)
                )
                == 4
                for daemon_thread in fleet.controls
            ),
            "four replicas",
        )
        fleet.declare(3)
        address = added_control.daemon.process.settings.listen.operators
        self.assertEqual(
            fleets.wait_for(lambda: self.read_version(fleet, address), "a confirmed read"), 3
        )
        fleets.wait_for(
            lambda: len(fleet.entries[0].daemon.control_hosts) == 4,
            "all control hosts at the entry",
        )

    def test_host_without_first_start_does_not_form_a_cluster(self):
        fleet = fleets.Fleet(controls=0, entries=0)
        self.addCleanup(fleet.close)
        control = fleet.add_control()
        control.call(lambda: None)
        self.assertFalse(control.daemon.node.is_leader)
        self.assertEqual(control.daemon.node.hosts, ())


class TestPlannedStop(fleets.FleetTestCase):
    """A stopping entry answers running and new requests and leaves the directory."""

    def test_running_and_later_requests_are_answered_by_stopping_entry(self):
        fleet = self.start_serving()
        fleet.add_server(
            "e1", "llm", fake_server.Behaviour(event_count=5, event_interval_seconds=0.2)
        )
        answers: list[fleets.Answer] = []
        sender_thread = threading.Thread(target=lambda: answers.append(self.send(fleet, "stream")))
        sender_thread.start()
        fleets.wait_for(lambda: fleet.servers[0].requests, "the request at the engine")
        stopping_entry = fleet.entries[0]
        stopping_entry.call(stopping_entry.daemon.begin_stop)
        later_answer = self.send(fleet, "stream")
        sender_thread.join(fleets.TIMEOUT_SECONDS)
        self.assertEqual(
            [answer.body for answer in (*answers, later_answer)],
            [fleets.COMPLETE_STREAM, fleets.COMPLETE_STREAM],
        )
        fleets.wait_for(lambda: not stopping_entry.is_running, "the exit of the entry")

    def test_stopping_entry_is_removed_from_directory(self):
        fleet = self.start_serving()
        fleet.add_server("d1", "desk")
        directory = fleet.entries[1].daemon.process.settings.listen.directory

        def _listed_addresses() -> list[str]:
            answer = fleets.send_request(directory, "GET", "/v1/lookup?name=h&zone=a")
            return json.loads(answer.body).get("addrs", [])

        fleets.wait_for(lambda: len(_listed_addresses()) == 2, "both entries in the directory")
        stopping_entry = fleet.entries[0]
        stopping_entry.call(stopping_entry.daemon.begin_stop)
        fleets.wait_for(
            lambda: _listed_addresses() == [fleet.caller_address(1)],
            "the removal of the stopping entry",
        )
