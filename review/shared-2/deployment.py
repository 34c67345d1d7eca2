"""A small deployment on loopback: starts the project's programs and calls them as outsiders do.

The programs are started with the commands of the deploy file and settings of the shape of its
template. Each machine has a loopback address of its own, and all use the same free ports.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the site hanbit-wrap.
CATCH_UP_SECONDS = 4.0
CONTACT_SECONDS = 3.0
ACK_SECONDS = 4.0
GRACE_SECONDS = 8.0


class CannotRunError(Exception):
    """The case can't run here."""


def free_ports(count: int) -> list[int]:
    """Return so many ports, one after the other, that are free on the first loopback addresses."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for address in ("127.1.0.1", "0.0.0.0"):
                        sock = socket.socket(socket.AF_INET, kind)
                        sockets.append(sock)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((address, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return list(range(first, first + count))
    raise CannotRunError("no free ports")


class Machine:
    """One machine with one process of the system, which can be started, stopped and killed."""

    def __init__(self, deployment: Deployment, name: str, role: str, zone: str, address: str):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.zone = zone
        self.address = address
        self.folder = deployment.folder / name
        self.data_folder = self.folder / "data"
        self.log_path = self.folder / "log"
        self.process: subprocess.Popen | None = None
        self.folder.mkdir()
        if role == "control":
            self.data_folder.mkdir()

    def start(self, *, seeds: list[Machine], first_start: bool) -> None:
        """Start the process, with settings as the template of the deploy file gives them."""
        path = self.write_settings(seeds=seeds, first_start=first_start)
        command = self.deployment.commands[self.role]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FLAMINGORAMP_CONFIG": str(path),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.deployment.note(f"{self.name} starts, pid {self.process.pid}")

    def write_settings(self, *, seeds: list[Machine], first_start: bool) -> pathlib.Path:
        """Write the settings file and return its path."""
        ports = self.deployment.ports
        listen = {"callers": "", "readiness": "", "directory": "", "operators": ""}
        if self.role == "control":
            listen["operators"] = f"{self.address}:{ports[0]}"
        else:
            listen["callers"] = f"{self.address}:{ports[2]}"
            listen["readiness"] = f"{self.address}:{ports[3]}"
        listen["directory"] = f"{self.address}:{ports[1]}"
        listen["metrics"] = f"{self.address}:{ports[4]}"
        settings = {
            "name": self.name,
            "availability_zone": self.zone,
            "availability_zones": self.deployment.zones,
            "address": self.address,
            "inner_ports": [ports[5], ports[5] + 10],
            "seeds": [f"{seed.address}:{ports[0]}" for seed in seeds],
            "first_start": first_start,
            "data_folder": str(self.data_folder) if self.role == "control" else "",
            "listen": listen,
            "bounds": {
                "announce_milliseconds": 1200,
                "stop_seconds": 8,
                "retry_ratio": 0.2,
                "retry_slack": 104,
                "retry_window_seconds": 10,
            },
            "machine": {"memory_megabytes": 300},
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        return path

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.deployment.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """Stop the process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
        self.deployment.note(f"{self.name} has ended")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder of a process that has ended."""
        shutil.rmtree(self.data_folder)
        self.data_folder.mkdir()
        self.deployment.note(f"{self.name} has an empty disk")

    def log_lines(self, event: str) -> list[dict]:
        """Return the lines of the process's log with an event."""
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            if b'"%s"' % event.encode() in line:
                lines.append(json.loads(line))
        return lines


class Deployment:
    """Machines, their settings, and the record of what was sent, answered and run."""

    def __init__(self, case_folder: str, *, zones: list[str]):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="flamingoramp-review-"))
        self.zones = zones
        self.ports = free_ports(20)
        self.machines: list[Machine] = []
        self._began_at = time.monotonic()
        self._record = open(pathlib.Path(case_folder) / "record.txt", "w")  # noqa: SIM115

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} s  {text}\n")
        self._record.flush()

    def add(self, name: str, role: str, zone: str) -> Machine:
        """Add a machine, whose process is not started yet."""
        machine = Machine(self, name, role, zone, f"127.1.0.{len(self.machines) + 1}")
        self.machines.append(machine)
        return machine

    def end(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines:
            if machine.is_running:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    def find_leader(self, machines: list[Machine]) -> Machine:
        """Return the running control host that leads, by the last term that one of them logged."""
        latest = (0, "")
        for machine in machines:
            for line in machine.log_lines("leader.changed"):
                if line["leader"]:
                    latest = max(latest, (line["term"], line["leader"]))
        address = re.split("[:#]", latest[1])[0]
        for machine in machines:
            if machine.address == address and machine.is_running:
                return machine
        raise CannotRunError(f"the leader {latest} is none of the running control hosts")


def call(
    address: str, method: str, path: str, body: bytes | None = None, *, seconds: float = 1.0
) -> tuple[int, bytes]:
    """Make one HTTP call; status 0 if there was no complete answer in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Operator:
    """The operator: sends configurations and reads them back, at control hosts of its list."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self.machines: list[Machine] = []
        self.newest_acknowledged = 0

    def _address(self, machine: Machine) -> str:
        return f"{machine.address}:{self._deployment.ports[0]}"

    def submit(self, configuration: dict, *, seconds: float) -> bool:
        """Send a configuration again and again until it is acknowledged or the time is over."""
        body = json.dumps(configuration).encode()
        deadline = time.monotonic() + seconds
        pause = 0.1
        while time.monotonic() < deadline:
            machine = random.choice(self.machines)
            status, _ = call(self._address(machine), "PUT", "/v1/config", body)
            self._deployment.note(
                f"operator: version {configuration['version']} to {machine.name}: {status}"
            )
            if status == 200:
                self.newest_acknowledged = max(self.newest_acknowledged, configuration["version"])
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            time.sleep(pause)
            pause = min(0.5, 1.5 * pause)
        return False

    def read(self, machine: Machine) -> int | None:
        """Read the configuration at a machine; return its version, None without an answer."""
        status, body = call(self._address(machine), "GET", "/v1/config")
        version = json.loads(body)["version"] if status == 200 else None
        self._deployment.note(f"operator: read at {machine.name}: {status}, version {version}")
        return version

    def read_until(self, seconds: float) -> int | None:
        """Read at one machine after the other until one answers or the time is over."""
        deadline = time.monotonic() + seconds
        while True:
            for machine in random.sample(self.machines, len(self.machines)):
                version = self.read(machine)
                if version is not None:
                    return version
            if time.monotonic() >= deadline:
                return None
            time.sleep(0.2)


def make_configuration(version: int, *, timeout_ms: int = 1500) -> dict:
    """Return a small configuration: one plain service with two routes, and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-book",
                "host": "desk.example",
                "path_prefix": "/book/",
                "kind": "non_idempotent",
                "timeout_ms": timeout_ms,
                "slo_ms": 125,
                "priority": 2,
                "service": "desk",
                "attempts": 2,
                "public": False,
            },
            {
                "name": "r-look",
                "host": "desk.example",
                "path_prefix": "/look/",
                "kind": "idempotent",
                "timeout_ms": timeout_ms,
                "slo_ms": 125,
                "priority": 2,
                "service": "desk",
                "attempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
    }
