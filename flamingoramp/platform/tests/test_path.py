"""The whole path with real sockets: control hosts, entries, stand-ins, and faults between them."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest

from flamingoramp.daemons import gateway
from flamingoramp.dispatch import request_handler
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import standin

WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


class FleetCase(unittest.TestCase):
    """Gives each test a deployment; requests have ids of their own."""

    def setUp(self):
        self.numbers = iter(range(1000))

    def make(self, **options) -> fleets.Fleet:
        fleet = fleets.Fleet(**options)
        self.addCleanup(fleet.close)
        return fleet

    def start(self, **options) -> fleets.Fleet:
        fleet = self.make(**options)
        fleet.declare(1)
        fleet.wait_in_force(1)
        return fleet

    def ask(self, fleet: fleets.Fleet, route: str, *, front: str = "", **headers) -> fleets.Answer:
        sent = {
            "x-attempt-id": f"id{next(self.numbers)}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
        }
        if route == "stream":
            sent["x-token-count"] = "1000,100"
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        method = "GET" if route == "read" else "POST"
        body = b"" if method == "GET" else b"body"
        return fleets.ask(front or fleet.front(), method, f"/{route}/x", headers=sent, body=body)


class TestRequests(FleetCase):
    """Requests of each kind, and backend servers that fail them."""

    def test_each_kind_is_served(self):
        fleet = self.start()
        fleet.add_backend("e1", "llm")
        desk = fleet.add_backend("d1", "desk")
        stream = self.ask(fleet, "stream")
        self.assertEqual((stream.status, stream.body), (200, WHOLE))
        self.assertEqual(stream.headers["x-response-stamp"], "stamp-e1")
        self.assertEqual(self.ask(fleet, "hold", x_attempt_id="h1").body, b"answer to h1:body")
        self.assertEqual(self.ask(fleet, "read").status, 200)
        sent = dict(desk.requests[0].headers)
        self.assertEqual(sent[b"x-tenant"], b"w")
        self.assertNotIn(b"authorization", sent)

    def test_what_the_declaration_does_not_allow(self):
        fleet = self.start(entries=1)
        self.assertEqual(self.ask(fleet, "nowhere").status, 404)
        self.assertEqual(self.ask(fleet, "hold", authorization="Token k9").status, 401)
        self.assertEqual(self.ask(fleet, "hold").status, 503)

    def test_a_refused_stream_goes_to_another_engine(self):
        fleet = self.start(entries=1)
        for name in ("e1", "e2"):
            fleet.add_backend(name, "llm", standin.Behaviour(refuse=name == "e1"))
        for _ in range(4):
            self.assertEqual(self.ask(fleet, "stream").body, WHOLE)

    def test_a_stream_that_breaks_off_is_taken_up_within_the_answer(self):
        fleet = self.start(entries=1)
        breaking = fleet.add_backend("e1", "llm", standin.Behaviour(break_after=2))
        fleet.add_backend("e2", "llm")
        stamps = set()
        while not breaking.requests:
            answer = self.ask(fleet, "stream")
            self.assertEqual((answer.status, answer.body), (200, WHOLE))
            stamps.add(answer.headers["x-response-stamp"])
        self.assertIn("stamp-e1", stamps)

    def test_a_stream_that_cannot_be_taken_up_does_not_look_complete(self):
        fleet = self.start(entries=1)
        fleet.add_backend("e1", "llm", standin.Behaviour(break_after=2))
        self.assertEqual(self.ask(fleet, "stream").status, 0)

    def test_a_request_that_may_not_repeat_is_sent_once(self):
        fleet = self.start(entries=1)
        desks = [fleet.add_backend(name, "desk", standin.Behaviour(foreign=True)) for name in "ab"]
        self.assertEqual(self.ask(fleet, "hold").status, 502)
        self.assertEqual(sum(len(desk.requests) for desk in desks), 1)

    def test_a_refusal_of_what_may_not_repeat_is_passed_on_as_not_run(self):
        fleet = self.start(entries=1)
        fleet.add_backend("d1", "desk", standin.Behaviour(refuse=True))
        answer = self.ask(fleet, "hold")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_an_answer_to_another_request_reaches_nobody(self):
        fleet = self.start(entries=1)
        fleet.add_backend("d1", "desk", standin.Behaviour(foreign=True))
        fleet.add_backend("d2", "desk")
        for number in range(4):
            answer = self.ask(fleet, "read", x_attempt_id=f"r{number}")
            self.assertIn(answer.status, (200, 502))
            if answer.status == 200:
                self.assertEqual(answer.body, b"answer to r%d:" % number)

    def test_the_time_limit_ends_a_request(self):
        fleet = self.start(entries=1)
        fleet.add_backend("d1", "desk", standin.Behaviour(silent=True))
        self.assertEqual(self.ask(fleet, "hold", x_deadline_ms="400").status, 504)

    def test_a_silent_server_is_replaced_where_that_is_allowed(self):
        fleet = self.start(entries=1)
        fleet.add_backend("d1", "desk", standin.Behaviour(silent=True))
        fleet.add_backend("d2", "desk")
        for _ in range(2):
            self.assertEqual(self.ask(fleet, "read").status, 200)

    def test_a_caller_that_leaves_has_its_work_cancelled(self):
        fleet = self.start(entries=1)
        engine = fleet.add_backend("e1", "llm", standin.Behaviour(silent=True))
        with self.assertRaises(OSError):
            fleets.ask(
                fleet.front(),
                "POST",
                "/stream/x",
                headers={
                    "x-attempt-id": "left",
                    "authorization": "Token k1",
                    "x-token-count": "10,10",
                },
                timeout=0.3,
            )
        fleets.wait_for(lambda: engine.gone, "the end of the work at the engine")


class TestMemory(FleetCase):
    """Prompts that need the memory of several engines."""

    def test_memory_is_held_by_several_and_given_back(self):
        fleet = self.start(entries=1)
        engines = [fleet.add_backend(f"e{number}", "llm") for number in range(4)]
        answer = self.ask(fleet, "stream", x_token_count="250000,100")
        self.assertEqual(answer.body, WHOLE)
        self.assertTrue(any(engine.reserved for engine in engines))
        fleets.wait_for(
            lambda: not any(engine.tickets for engine in engines), "the memory's return"
        )

    def test_a_refused_reservation_is_made_elsewhere(self):
        fleet = self.start(entries=1)
        engines = [
            fleet.add_backend(f"e{number}", "llm", standin.Behaviour(refuse_memory=number == 0))
            for number in range(6)
        ]
        answer = self.ask(fleet, "stream", x_token_count="250000,100")
        self.assertIn(answer.status, (200, 503))
        fleets.wait_for(
            lambda: not any(engine.tickets for engine in engines), "the memory's return"
        )

    def test_a_prompt_that_no_set_of_engines_holds_is_refused(self):
        fleet = self.start(entries=1)
        fleet.add_backend("e1", "llm")
        answer = self.ask(fleet, "stream", x_token_count="900000,100")
        self.assertEqual(answer.status, 503)


class TestHeldPorts(unittest.TestCase):
    """Ports of a deployment stay free until its daemons listen."""

    def setUp(self):
        self.held = fleets.HeldPorts(["127.0.0.2"], 2)
        self.addCleanup(self.held.close)

    def test_a_daemon_may_listen(self):
        socket.create_server(("127.0.0.2", self.held.first + 1)).close()

    def test_nothing_else_gets_one(self):
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.2", self.held.first))


class TestPoison(FleetCase):
    """A request that breaks off every server that runs it."""

    def send_poison(self, fleet: fleets.Fleet, entry: int) -> int:
        """Send the request at an entry and return the status, 0 for a cut connection."""
        headers = {
            "x-attempt-id": f"p{next(self.numbers)}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
            "x-token-count": "1000,100",
        }
        front = fleet.front(entry)
        return fleets.ask(front, "POST", "/stream/x", headers=headers, body=b"poison").status

    def test_it_ends_after_three_servers_at_whichever_entry(self):
        fleet = self.start(entries=3)
        engines = [
            fleet.add_backend(f"e{n}", "llm", standin.Behaviour(poison=b"poison")) for n in range(6)
        ]
        for entry in range(3):
            self.send_poison(fleet, entry)
            time.sleep(gateway.SUBSCRIBE_INTERVAL_SECONDS + 0.3)
        reached = sum(len(one.requests) for one in engines)
        self.assertEqual(reached, request_handler.QUARANTINE_CRASH_COUNT)
        for entry in range(3):
            self.assertEqual(self.send_poison(fleet, entry), 400)
        self.assertEqual(sum(len(one.requests) for one in engines), reached)
        answer = self.ask(fleet, "stream")
        self.assertEqual((answer.status, answer.body), (200, WHOLE))


class TestBackendServers(FleetCase):
    """Servers that leave."""

    def test_a_leaving_server_gets_no_new_work(self):
        fleet = self.start()
        leaving = fleet.add_backend("d1", "desk")
        fleet.add_backend("d2", "desk")
        leaving.drain()
        for entry in fleet.entries:
            fleets.wait_for(
                lambda entry=entry: entry.daemon.registry.find_server("d1").leaving,
                "the news at an entry",
            )
        before = len(leaving.requests)
        for number in range(6):
            self.assertEqual(self.ask(fleet, "read", front=fleet.front(number % 2)).status, 200)
        self.assertEqual(len(leaving.requests), before)


class TestControl(FleetCase):
    """Declarations through deaths of control hosts."""

    def read(self, fleet: fleets.Fleet, address: str) -> int:
        """Return the version that a control host reads back, 0 if it can't be sure."""
        try:
            answer = fleets.ask(address, "GET", "/v1/config", timeout=3.0)
        except OSError:
            return 0
        return json.loads(answer.body)["version"] if answer.status == 200 else 0

    def test_any_control_host_acknowledges_and_reads(self):
        fleet = self.make()
        for version, address in enumerate(fleet.seeds, 1):
            fleet.declare(version, address=address)
            for other in fleet.seeds:
                read = fleets.wait_for(lambda other=other: self.read(fleet, other), "a read")
                self.assertEqual(read, version)
        fleet.wait_in_force(3)

    def test_a_lower_version_is_acknowledged_and_changes_nothing(self):
        fleet = self.start(entries=1)
        fleet.declare(9)
        fleet.declare(4, tenants=[])
        self.assertEqual(self.read(fleet, fleet.seeds[0]), 9)
        fleet.wait_in_force(9)

    def test_an_invalid_one_is_refused(self):
        fleet = self.start(entries=1)
        body = json.dumps(fleets.make_document(5, services=[])).encode()
        answer = fleets.ask(fleet.seeds[0], "PUT", "/v1/config", body=body)
        self.assertEqual(answer.status, 400)
        self.assertEqual(self.read(fleet, fleet.seeds[1]), 1)

    def test_two_hundred_changes_in_a_run(self):
        fleet = self.start(entries=1)
        for version in range(2, 202):
            fleet.declare(version)
        fleet.wait_in_force(201)

    def test_entries_serve_while_control_is_gone(self):
        fleet = self.start()
        fleet.add_backend("d1", "desk")
        for control in fleet.controls:
            control.stop()
        for number in range(2):
            self.assertEqual(self.ask(fleet, "read", front=fleet.front(number)).status, 200)

    def test_a_restart_of_all_control_hosts_loses_nothing(self):
        fleet = self.start(entries=1)
        fleet.declare(8)
        for control in fleet.controls:
            control.stop()
        fleet.controls = [fleet.start_control(number) for number in range(3)]
        read = fleets.wait_for(lambda: self.read(fleet, fleet.seeds[1]), "a read")
        self.assertEqual(read, 8)

    def test_a_lost_disk_and_a_replaced_host(self):
        fleet = self.start(entries=1)
        fleet.declare(2)
        fleet.controls[0].stop()
        fleet.wipe(0)
        fleet.controls[0] = fleet.start_control(0)
        new = fleet.add_control()
        fleets.wait_for(
            lambda: all(
                member.call(lambda member=member: len(member.daemon.node.hosts)) == 4
                for member in fleet.controls
            ),
            "four replicas",
        )
        fleet.declare(3)
        address = new.daemon.process.settings.listen.operators
        self.assertEqual(fleets.wait_for(lambda: self.read(fleet, address), "a read"), 3)
        fleets.wait_for(
            lambda: len(fleet.entries[0].daemon.control_hosts) == 4, "the entry to know all hosts"
        )

    def test_a_host_that_is_told_not_to_found_never_does(self):
        fleet = fleets.Fleet(controls=0, entries=0)
        self.addCleanup(fleet.close)
        lonely = fleet.add_control()
        lonely.call(lambda: None)
        self.assertFalse(lonely.daemon.node.is_leader)
        self.assertEqual(lonely.daemon.node.hosts, ())


class TestPlannedStop(FleetCase):
    """An entry that is told to stop finishes what callers send it."""

    def test_requests_in_hand_are_finished(self):
        fleet = self.start()
        fleet.add_backend("e1", "llm", standin.Behaviour(events=5, event_seconds=0.2))
        answers: list[fleets.Answer] = []
        asking = threading.Thread(target=lambda: answers.append(self.ask(fleet, "stream")))
        asking.start()
        fleets.wait_for(lambda: fleet.backends[0].requests, "the request at the engine")
        stopping = fleet.entries[0]
        stopping.call(stopping.daemon.begin_stop)
        late = self.ask(fleet, "stream")
        asking.join(fleets.WAIT_SECONDS)
        self.assertEqual([one.body for one in (*answers, late)], [WHOLE, WHOLE])
        fleets.wait_for(lambda: not stopping.is_running, "the end of the entry")

    def test_a_leaving_entry_is_named_to_nobody(self):
        fleet = self.start()
        fleet.add_backend("d1", "desk")
        directory = fleet.entries[1].daemon.process.settings.listen.directory

        def _named() -> list[str]:
            answer = fleets.ask(directory, "GET", "/v1/lookup?name=h&zone=a")
            return json.loads(answer.body).get("addrs", [])

        fleets.wait_for(lambda: len(_named()) == 2, "both entries in the directory")
        stopping = fleet.entries[0]
        stopping.call(stopping.daemon.begin_stop)
        fleets.wait_for(lambda: _named() == [fleet.front(1)], "the leaving entry's removal")
