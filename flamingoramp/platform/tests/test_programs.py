"""Tests of the entry program as a process: settings files, signals and the log on stdout."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

import attrs

from flamingoramp.daemons import node_process
from flamingoramp.http import client
from flamingoramp.platform import main
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as fleets

LONG_STREAM_EVENT_COUNT = 30
EVENT_INTERVAL_SECONDS = 0.05


class DaemonProcess:
    """The program of one host of a fleet, run as a process.

    Parameters
    ----------
    fleet : fleets.Fleet
    host_index : int
        Index of the host whose settings it gets.
    role : str
        ``entry`` or ``control``.
    first_start : bool
        Whether it is the first start of the whole system.
    **bounds
        Fields of the settings' `bounds` that differ from those of the fleet.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        host_index: int,
        role: str = "entry",
        *,
        first_start: bool = False,
        **bounds: float,
    ):
        folder = pathlib.Path(tempfile.mkdtemp(dir=fleet.folder))
        self.settings_path = folder / "settings.json"
        self.settings = attrs.asdict(fleet.settings(host_index, first_start=first_start))
        self.settings["listen"]["metrics"] = fleet.metrics_address(host_index)
        self.settings["bounds"].update(bounds)
        self.write_settings(self.settings)
        self._log_path = folder / "log"
        self._imports_path = folder / "imports"
        # As on the platform without `site`, whose modules are none of the program's.
        command = [sys.executable, "-S", "-X", "importtime", "-m", "flamingoramp.platform.main"]
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
            main.SETTINGS_PATH_VARIABLE: str(self.settings_path),
        }
        with self._log_path.open("wb") as log, self._imports_path.open("wb") as imports:
            self.process = subprocess.Popen(
                [*command, role], env=environment, stdout=log, stderr=imports
            )

    @property
    def caller_address(self) -> str:
        """Address at which the process serves callers."""
        return self.settings["listen"]["callers"]

    @property
    def imported_modules(self) -> set[str]:
        """Names of the modules that the process has imported so far."""
        lines = self._imports_path.read_text().splitlines()
        return {line.rpartition("|")[2].strip() for line in lines if "import time:" in line}

    def write_settings(self, settings: dict) -> None:
        """Replace the settings file atomically."""
        new_file = self.settings_path.with_suffix(".new")
        new_file.write_text(json.dumps(settings))
        new_file.rename(self.settings_path)

    def logged_events(self, name: str) -> list[dict]:
        """Return the log lines of one event name."""
        lines = self._log_path.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["event"] == name]

    def wait_for_event(self, name: str, count: int = 1) -> dict:
        """Wait until an event was logged ``count`` times, and return the last."""
        return fleets.wait_for(
            lambda: len(self.logged_events(name)) >= count and self.logged_events(name)[-1],
            f"{count} {name}",
        )

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait(fleets.TIMEOUT_SECONDS)


class EntryProcessTestCase(unittest.TestCase):
    """Starts an entry process and a fake server that sends slow streams."""

    def setUp(self):
        self.fleet = fleets.Fleet(controls=1, entries=1)
        self.addCleanup(self.fleet.close)
        self.fleet.declare(1)
        self.fleet.wait_in_force(1)
        # The entry process takes the place and the address of the fleet's entry.
        self.fleet.entries.pop().stop()
        self.entry = DaemonProcess(self.fleet, 1)
        self.addCleanup(self.entry.close)
        self.entry.wait_for_event("declaration.in_force")
        behaviour = fake_server.Behaviour(
            event_count=LONG_STREAM_EVENT_COUNT, event_interval_seconds=EVENT_INTERVAL_SECONDS
        )
        self.engine = self.fleet.add_server("e1", "llm", behaviour)
        self.entry.wait_for_event("server.changed")

    def begin_stream(self) -> tuple[threading.Thread, list[fleets.Answer]]:
        """Request a stream, and return once the engine has the request."""
        answers: list[fleets.Answer] = []
        count_before = len(self.engine.requests)
        headers = {
            "x-attempt-id": f"id{count_before}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
            "x-token-count": "1000,100",
        }

        def _send() -> None:
            caller_address = self.entry.caller_address
            answers.append(
                fleets.send_request(caller_address, "POST", "/stream/x", headers=headers, body=b"b")
            )

        thread = threading.Thread(target=_send)
        thread.start()
        fleets.wait_for(
            lambda: len(self.engine.requests) > count_before, "the request at the engine"
        )
        return thread, answers

    def assert_complete(self, thread: threading.Thread, answers: list[fleets.Answer]) -> None:
        thread.join(fleets.TIMEOUT_SECONDS)
        self.assertEqual(answers[0].status, 200)
        self.assertEqual(answers[0].body.count(b"\n\n"), LONG_STREAM_EVENT_COUNT)


class TestDescriptors(EntryProcessTestCase):
    """An entry that has as many files and connections as it may have."""

    # Guards against an entry that ends, since it can't connect to servers for some time.
    def test_requests_are_refused_and_served_again_later(self):
        self.begin_stream()[0].join()
        self.engine.requests.clear()
        self.entry.wait_for_event("request.ended")
        time.sleep(client.MAX_REUSE_IDLE_SECONDS + 1.5)
        host, _, port = self.entry.caller_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=fleets.TIMEOUT_SECONDS)
        self.addCleanup(connection.close)
        connection.connect()
        time.sleep(0.2)
        pid = self.entry.process.pid
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (5, limits[1]))

        def _send(number: int) -> int:
            headers = {
                "host": fleets.ROUTE_HOST,
                "x-attempt-id": f"descriptor{number}",
                "authorization": "Token k1",
                "x-deadline-ms": "8000",
                "x-token-count": "1000,100",
            }
            connection.request("POST", "/stream/x", body=b"b", headers=headers)
            response = connection.getresponse()
            response.read()
            return response.status

        statuses = {_send(number) for number in range(node_process.MAX_ERRORS + 5)}
        self.assertEqual(statuses, {503})
        self.assertIsNone(self.entry.process.poll())
        self.assertEqual(self.entry.logged_events("process.error"), [])
        self.assertEqual(self.entry.logged_events("server.unresponsive"), [])
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.assertEqual(_send(1000), 200)


class TestReload(EntryProcessTestCase):
    """Reload of settings while requests run."""

    def change_seeds(self) -> list[str]:
        seeds = [*self.fleet.seeds, "127.0.0.9:9"]
        self.entry.write_settings({**self.entry.settings, "seeds": seeds})
        return seeds

    def test_reload_signal_keeps_running_stream(self):
        running_stream = self.begin_stream()
        seeds = self.change_seeds()
        self.entry.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.entry.wait_for_event("settings.reloaded")["seeds"], seeds)
        self.assert_complete(*running_stream)
        self.assert_complete(*self.begin_stream())
        self.assertIsNone(self.entry.process.poll())

    def test_changed_settings_file_is_reloaded_without_signal(self):
        seeds = self.change_seeds()
        self.assertEqual(self.entry.wait_for_event("settings.reloaded")["seeds"], seeds)

    def test_malformed_settings_file_is_rejected_and_entry_keeps_serving(self):
        self.entry.settings_path.write_text("{")
        self.entry.process.send_signal(signal.SIGHUP)
        self.entry.wait_for_event("settings.refused")
        self.assert_complete(*self.begin_stream())
        self.assertEqual(self.entry.logged_events("settings.reloaded"), [])


class TestStop(EntryProcessTestCase):
    """Planned stop by SIGTERM."""

    def test_running_stream_completes_before_exit(self):
        running_stream = self.begin_stream()
        self.entry.process.send_signal(signal.SIGTERM)
        self.entry.wait_for_event("process.stopping")
        self.assert_complete(*running_stream)
        self.assertEqual(self.entry.process.wait(fleets.TIMEOUT_SECONDS), 0)
        self.assertEqual(len(self.entry.logged_events("process.stopped")), 1)
        costs = self.entry.logged_events("process.costs")[-1]
        self.assertGreater(costs["processor_seconds"], 0.0)
        self.assertGreater(costs["inner_sent_bytes"], 0)
        self.assertGreater(costs["inner_received_bytes"], 0)

    def test_process_ends_in_time_beside_a_silent_caller_and_a_silent_server(self):
        document = fleets.make_document(2)
        for route in document["routes"]:
            route["timeout_ms"] = 60_000
        self.fleet.declare(2, routes=document["routes"])
        self.entry.wait_for_event("declaration.in_force", 2)
        desk = self.fleet.add_server("d1", "desk", fake_server.Behaviour(never_answers=True))
        self.entry.wait_for_event("server.changed", 2)
        host, _, port = self.entry.caller_address.rpartition(":")
        silent_caller = socket.create_connection((host, int(port)))
        self.addCleanup(silent_caller.close)
        silent_caller.sendall(b"POST /hold/x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc")
        answers: list[fleets.Answer] = []
        headers = {
            "x-attempt-id": "id1",
            "authorization": "Token k1",
            "x-deadline-ms": "60000",
        }

        def _send() -> None:
            caller_address = self.entry.caller_address
            answers.append(
                fleets.send_request(caller_address, "POST", "/hold/x", headers=headers, body=b"b")
            )

        thread = threading.Thread(target=_send)
        thread.start()
        fleets.wait_for(lambda: desk.requests, "the request at the server")
        stop_seconds = self.entry.settings["bounds"]["stop_seconds"]
        self.entry.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.entry.process.wait(stop_seconds - 0.4), 0)
        thread.join(fleets.TIMEOUT_SECONDS)
        # It may have run, so the answer says neither that it has nor that it hasn't.
        self.assertEqual(answers[0].status, 504)
        gave_up = self.entry.wait_for_event("process.gave_up")
        self.assertEqual((gave_up["requests"], gave_up["undelivered"]), (1, 0))
        [ended] = self.entry.logged_events("request.ended")
        self.assertEqual(ended["code"], "stop_timeout")
        self.assertGreater(ended["stopping"], stop_seconds / 2)

    def test_stop_during_the_start_ends_the_process_at_once(self):
        self.entry.close()
        entry = DaemonProcess(self.fleet, 1)
        self.addCleanup(entry.close)
        host, _, port = entry.caller_address.rpartition(":")

        def _is_listening() -> bool:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port))).close()
                return True
            return False

        fleets.wait_for(_is_listening, "a connection to the starting entry")
        entry.process.send_signal(signal.SIGTERM)
        self.assertEqual(entry.process.wait(1.0), 0)
        self.assertEqual(entry.logged_events("process.started"), [])

    def test_requests_that_arrive_after_stop_signal_are_served(self):
        self.entry.process.send_signal(signal.SIGTERM)
        self.entry.wait_for_event("process.stopping")
        self.assert_complete(*self.begin_stream())
        self.assertEqual(self.entry.process.wait(fleets.TIMEOUT_SECONDS), 0)


class TestImports(EntryProcessTestCase):
    """Start budget: a restarted host serves nobody while it imports.

    The sets hold what both roles once imported and don't use, and what only one of them uses.
    """

    UNUSED_MODULES = frozenset(
        {
            "asyncio", "capnp", "cattrs", "concurrent.futures", "email", "hmac", "http.client",
            "http.server", "logging", "multiprocessing", "prometheus_client", "pycurl", "secrets",
            "ssl", "subprocess", "tempfile", "traceback", "werkzeug",
            "flamingoramp.protocol.shard_messages", "flamingoramp.runtime.settings",
        }
    )  # fmt: skip

    def assert_unused_is_not_imported(self, process: DaemonProcess, others: set[str]) -> None:
        modules = process.imported_modules
        self.assertIn("flamingoramp.protocol.codec", modules)
        self.assertEqual(modules & (self.UNUSED_MODULES | others), set())

    def test_entry_that_has_answered_a_caller_has_imported_nothing_unused(self):
        self.assert_complete(*self.begin_stream())
        others = {"flamingoramp.daemons.coordinator", "flamingoramp.consensus.node", "pathlib"}
        self.assert_unused_is_not_imported(self.entry, others)

    def test_control_host_that_has_committed_has_imported_nothing_unused(self):
        self.fleet.controls.pop().stop()
        control = DaemonProcess(self.fleet, 0, "control")
        self.addCleanup(control.close)
        self.fleet.declare(2)
        control.wait_for_event("declaration.committed")
        others = {
            "flamingoramp.daemons.gateway", "flamingoramp.http.client",
            "flamingoramp.protocol.load_reports", "flamingoramp.routing.statements",
        }  # fmt: skip
        self.assert_unused_is_not_imported(control, others)
