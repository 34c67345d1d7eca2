"""Control programs of a platform's hosts, as real processes on loopback."""

from __future__ import annotations

import json
import os
import pathlib
import shlex
import shutil
import signal
import subprocess
import sys
import tomllib

import attrs

from flamingoramp.platform import main as platform_main
from flamingoramp.platform.tests import fleet as platform_fleets
from flamingoramp.runtime import node_settings

SEED_HOST_COUNT = 3
CALL_TIMEOUT_SECONDS = 1.0
ANNOUNCE_INTERVAL_SECONDS = 1.2
DECLARATION_PATH = "/v1/config"
ROOT = pathlib.Path(__file__).parents[3]
DEPLOYMENT_PATH = ROOT / "deploy" / "system.toml"
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def start_program(
    role: str,
    settings: node_settings.NodeSettings,
    settings_path: pathlib.Path,
    log_path: pathlib.Path,
) -> subprocess.Popen:
    """Write a settings file and start the program of a role, as the platform runs it.

    The log is appended to a file.
    """
    settings_path.write_text(json.dumps(attrs.asdict(settings)))
    command = tomllib.loads(DEPLOYMENT_PATH.read_text())["roles"][role]["run"]
    interpreter_folder = str(pathlib.Path(sys.executable).parent)
    environment = {
        **os.environ,
        "PATH": os.pathsep.join((interpreter_folder, os.environ["PATH"])),
        "PYTHONPATH": os.pathsep.join((str(ROOT), *filter(None, sys.path))),
        platform_main.SETTINGS_PATH_VARIABLE: str(settings_path),
    }
    with log_path.open("ab") as log:
        return subprocess.Popen(
            shlex.split(command), cwd=ROOT, env=environment, stdout=log, stderr=log
        )


class ControlHost:
    """A host with a data folder that runs the control program.

    Parameters
    ----------
    number : int
        Number of the host, from 0.
    host_count : int
    folder : pathlib.Path
        Folder of all hosts; created if missing.
    network : int
        Third number of the hosts' addresses, and part of their ports: another one for each group of
        hosts that run at the same time.
    """

    def __init__(self, number: int, host_count: int, folder: pathlib.Path, *, network: int):
        first_port = 20_000 + 10 * network
        port = first_port + 2
        addresses = [f"127.0.{network}.{n + 1}" for n in range(host_count)]
        self._folder = folder / f"host-{number}"
        self._data_folder = self._folder / "data"
        self._settings = node_settings.NodeSettings(
            name=f"host-{number}",
            availability_zone="a",
            address=addresses[number],
            inner_ports=(first_port, first_port + 1),
            seeds=tuple([f"{address}:{port}" for address in addresses[:SEED_HOST_COUNT]]),
            data_folder=str(self._data_folder),
            listen=node_settings.ListenSettings(operators=f"{addresses[number]}:{port}"),
            bounds=node_settings.BoundSettings(
                announce_milliseconds=1000 * ANNOUNCE_INTERVAL_SECONDS,
                evacuate_milliseconds=5000.0,
            ),
        )
        self.process: subprocess.Popen | None = None

    @property
    def operators(self) -> str:
        """Address at which operators and backend servers call."""
        return self._settings.listen.operators

    @property
    def inner(self) -> str:
        """Address for the system's own processes."""
        return self._settings.control_internal_address

    def start(self, *, first_start: bool = False) -> None:
        """Start the program."""
        self._data_folder.mkdir(parents=True, exist_ok=True)
        self.process = start_program(
            "control",
            attrs.evolve(self._settings, first_start=first_start),
            self._folder / "settings.json",
            self._folder / "log",
        )

    def kill(self) -> None:
        """Kill the process; the data stays."""
        self.process.kill()
        self.process.wait()

    def stop(self, *, stopped: bool) -> None:
        """Suspend the process, or let it go on."""
        self.process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def lose_disk(self) -> None:
        """Delete the data of a host whose process was killed."""
        shutil.rmtree(self._data_folder)

    def call(self, method: str, path: str, body: bytes = b"") -> platform_fleets.Answer:
        """Send a call; the status of the answer is 0 if there is none in time."""
        try:
            return platform_fleets.send_request(
                self.operators, method, path, body=body, timeout=CALL_TIMEOUT_SECONDS
            )
        except (OSError, ValueError, IndexError):  # none, or one that was cut off
            return platform_fleets.Answer(0, {}, b"")

    def call_as_server(self, method: str, server: str, body: bytes = b"") -> bool:
        """Send an announcement or a withdrawal of a server; return whether it is acknowledged."""
        return self.call(method, f"/v1/instances/{server}", body).status == 200

    def declare(self, version: int) -> bool:
        """Submit a version of a declaration; return whether it is acknowledged."""
        body = json.dumps(platform_fleets.make_document(version)).encode()
        return self.call("PUT", DECLARATION_PATH, body).status == 200

    def read_version(self) -> int | None:
        """Return the version of the declaration that the host reads, None if it does not answer."""
        answer = self.call("GET", DECLARATION_PATH)
        return json.loads(answer.body)["version"] if answer.status == 200 else None

    def order_zone(self, zone: str, *, evacuated: bool) -> bool:
        """Evacuate or restore a zone; return whether that is acknowledged."""
        method = "POST" if evacuated else "DELETE"
        return self.call(method, f"/v1/evacuation/{zone}").status == 200

    def read_usage(self) -> tuple[float, int]:
        """Return the processor time in seconds and the bytes written to the disk so far."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        seconds = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        counters = dict(line.split(": ") for line in (folder / "io").read_text().splitlines())
        return seconds, int(counters["write_bytes"])


def make_announcement(
    service: str, number: int, sequence: int, *, is_leaving: bool = False
) -> bytes:
    """Return the body of the announcement of a server with a number."""
    body = {
        "service": service,
        "addr": f"10.0.{number // 250}.{number % 250 + 1}:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "draining" if is_leaving else "ready",
        "cold_left_ms": 0,
        "seq": sequence,
        "born": 1,
    }
    return json.dumps(body).encode()
