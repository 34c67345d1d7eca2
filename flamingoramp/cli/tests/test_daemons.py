"""Starts, reloads and stops of the daemons of the product's own interface, as real processes."""

from __future__ import annotations

import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import programs
from flamingoramp.runtime import listeners

ROLES = ("entry", "control")
IP_ADDRESS = "127.0.0.1"


class TestDaemons(unittest.TestCase):
    """One host that runs an entry or a control daemon."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.sockets = [socket.socket() for _ in range(4)]
        for sock in self.sockets:
            self.addCleanup(sock.close)
            # Bound without listening: other programs get other ports, the daemon can bind it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((IP_ADDRESS, 0))
        names = ("entry_port", "entry_inner_port", "control_port", "control_inner_port")
        ports = {
            name: sock.getsockname()[1] for name, sock in zip(names, self.sockets, strict=True)
        }
        host = {"name": "a", "availability_zone": "z", "data_folder": str(self.folder), **ports}
        document = {"deployment": "test", "hosts": [host], "logs": {"format": "json"}}
        self.settings_path = self.folder / "settings.json"
        self.settings_path.write_text(json.dumps(document))

    def start(self, role: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "flamingoramp.cli.main", role]
        command += ["--settings", str(self.settings_path), "--host", "a"]
        self.log_path = self.folder / f"{role}.log"
        with self.log_path.open("wb") as log:
            process = subprocess.Popen(command, cwd=programs.ROOT, stdout=log, stderr=log)

        def _close() -> None:
            process.kill()
            process.wait()

        self.addCleanup(_close)
        return process

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = self.log_path.read_bytes().split(b"\n")[:-1]
        events = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [event for event in events if event["event"] == name]

    def wait_for_event(self, name: str) -> None:
        fleets.wait_for(lambda: self.events(name), name)

    def wait_until_serving(self, role: str) -> None:
        sock = self.sockets[2 * ROLES.index(role)]

        def _answers() -> bool:
            try:
                answer = fleets.send_request(
                    f"{IP_ADDRESS}:{sock.getsockname()[1]}", "GET", "/healthz", timeout=1.0
                )
            except OSError:
                return False
            return answer.status == 200

        fleets.wait_for(_answers, "an answer")

    # Guards against a reload signal that ends a daemon by its default action.
    def test_reload_signal_ends_no_daemon(self):
        for role in ROLES:
            with self.subTest(role):
                process = self.start(role)
                self.wait_until_serving(role)
                process.send_signal(signal.SIGHUP)
                self.wait_for_event("settings.kept")
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(fleets.TIMEOUT_SECONDS), 0)
                [ended] = self.events("process.ended")
                self.assertEqual((ended["cause"], ended["status"]), ("stop", 0))

    # Guards against a daemon that ends since another process still holds one of its addresses.
    def test_daemon_waits_for_each_of_its_addresses(self):
        for role, first in zip(ROLES, (0, 2), strict=True):
            for sock in self.sockets[first : first + 2]:
                with self.subTest(role=role, address=sock.getsockname()):
                    with socket.create_server(sock.getsockname()):
                        process = self.start(role)
                        self.wait_for_event("address.unavailable")
                        time.sleep(0.2)
                        self.assertIsNone(process.poll(), self.log_path.read_text())
                    self.wait_until_serving(role)
                    process.send_signal(signal.SIGTERM)
                    self.assertEqual(process.wait(fleets.TIMEOUT_SECONDS), 0)

    def test_address_that_stays_held_ends_a_daemon_with_a_status_of_its_own(self):
        with socket.create_server(self.sockets[0].getsockname()):
            process = self.start("entry")
            seconds = listeners.BIND_TIMEOUT_SECONDS + fleets.TIMEOUT_SECONDS
            self.assertEqual(process.wait(seconds), 3)
        [ended] = self.events("process.ended")
        self.assertEqual((ended["cause"], ended["status"]), ("address", 3))
