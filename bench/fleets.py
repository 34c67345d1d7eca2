"""Starts a deployment as real processes on loopback, for the demo, the tests and the benchmarks."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.cli import control_client
from flamingoramp.runtime import http_client, settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0


def hold_port() -> socket.socket:
    """Return a bound socket whose port a process may listen on, but the kernel gives to nobody."""
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held


@attrs.frozen
class ServerGroup:
    """Stand-ins of one service to start; see `standins.engine.EngineOptions`."""

    service: str
    count: int
    kind: str = "engine"
    options: dict[str, Any] = attrs.field(factory=dict)


class Fleet:
    """Processes of one deployment.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, logs and data folders; emptied first.
    document : dict
        Settings as in examples/; ports are replaced by free ones.
    time_scale : float
        Scale of the engines' costs.
    """

    def __init__(self, folder: pathlib.Path, document: dict[str, Any], *, time_scale: float = 1.0):
        shutil.rmtree(folder, ignore_errors=True)
        (folder / "logs").mkdir(parents=True)
        self._folder = folder
        self._time_scale = time_scale
        self._processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self._urls: dict[str, str] = {}
        self._held: list[socket.socket] = []
        self._settings_path = folder / "settings.json"
        self._settings_path.write_text(json.dumps(self._assign_ports(document), indent=2))
        self.settings = settings.load(self._settings_path)
        self.zones = sorted({host.availability_zone for host in self.settings.hosts})

    @property
    def settings_path(self) -> pathlib.Path:
        """The settings file that the processes read."""
        return self._settings_path

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs of all entries."""
        return [host.entry_url for host in self.settings.entry_hosts]

    @property
    def server_urls(self) -> dict[str, str]:
        """Base URLs of the stand-ins by name."""
        return dict(self._urls)

    def _assign_ports(self, document: dict[str, Any]) -> dict[str, Any]:
        document = json.loads(json.dumps(document))
        for host in document["hosts"]:
            for name in list(host):
                if name.endswith("_port"):
                    host[name] = self._take_port()
            if host.get("data_folder"):
                host["data_folder"] = str(self._folder / "data" / host["name"])
        return document

    def _take_port(self) -> int:
        self._held.append(hold_port())
        return self._held[-1].getsockname()[1]

    def start_daemons(self) -> None:
        """Start all control replicas and entries."""
        for host in self.settings.control_hosts:
            self.start_daemon("control", host.name)
        for host in self.settings.entry_hosts:
            self.start_daemon("entry", host.name)

    def start_daemon(self, kind: str, host: str, settings_path: pathlib.Path | None = None) -> None:
        """Start the control replica or the entry of a host."""
        command = ["-m", "flamingoramp.cli.main", kind]
        command += ["--settings", str(settings_path or self._settings_path), "--host", host]
        self._start(f"{kind}-{host}", command)

    def start_servers(self, groups: list[ServerGroup], *, first: int = 1) -> None:
        """Start the stand-ins of services, spread over the availability zones."""
        for group in groups:
            for number in range(first, first + group.count):
                name = f"{group.service}-{number}"
                self._start_server(group, name, self.zones[number % len(self.zones)])

    def _start_server(self, group: ServerGroup, name: str, zone: str) -> None:
        address = f"127.0.0.1:{self._take_port()}"
        self._urls[name] = f"http://{address}"
        options = dict(group.options)
        if group.kind == "engine":
            options.setdefault("time_scale", self._time_scale)
        command = ["-m", "standins.main", group.kind, name, group.service, zone, address]
        command.append(",".join(self.entry_urls[:4]))
        command += [f"--{key}={value}" for key, value in options.items()]
        self._start(name, command)

    def start_weight_store(self, *, at_once: int, seconds: float) -> str:
        """Start the stand-in for the weight store and return its URL."""
        address = f"127.0.0.1:{self._take_port()}"
        command = ["-m", "standins.main", "weight-store", address]
        self._start("weight-store", [*command, f"--at_once={at_once}", f"--seconds={seconds}"])
        return f"http://{address}"

    def _start(self, name: str, command: list[str]) -> None:
        if name in self._processes and self.is_running(name):
            raise RuntimeError(f"{name} still runs; end it before it is started again")
        self._commands[name] = command
        with open(self._folder / "logs" / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *command], cwd=ROOT, stdout=log, stderr=log
            )

    def is_running(self, name: str) -> bool:
        """Tell whether a process runs."""
        return self._processes[name].poll() is None

    def has_ended(self, name: str) -> bool:
        """Tell whether a process ended."""
        return not self.is_running(name)

    def ended(self) -> list[str]:
        """Return the names of all processes that ended."""
        return [name for name in self._processes if self.has_ended(name)]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process without warning."""
        self._processes[name].kill()
        self._processes[name].wait()

    def restart(self, name: str) -> None:
        """Start a process that ended with the same command."""
        self._start(name, self._commands[name])

    def stop(self, name: str) -> None:
        """Begin a planned stop."""
        self._processes[name].terminate()

    def wait_stopped(self, name: str, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for a process to end and return its exit code."""
        return self._processes[name].wait(timeout_seconds)

    def delete_data(self, host: str) -> None:
        """Delete a host's data folder."""
        shutil.rmtree(self.settings.find_host(host).data_folder)

    def make_control_client(self) -> control_client.ControlClient:
        """Return a client for operators' requests."""
        return control_client.ControlClient(self.settings)

    def wait_leader(self) -> str:
        """Return the name of the host whose control replica leads."""
        return wait_for(lambda: self._find_leader(), "a leader")

    def _find_leader(self) -> str:
        for status in self.make_control_client().fetch_statuses():
            if status.get("leads"):
                return status["host"]
        return ""

    def apply(self, declaration: dict[str, Any]) -> dict[str, Any]:
        """Put a declaration in force by plan and confirm."""
        client = self.make_control_client()
        plan = client.request("POST", "/v1/plan", declaration)
        return client.request("POST", "/v1/confirm", {"plan": plan["plan"]})

    def wait_ready(self) -> None:
        """Wait until every entry admits requests."""
        for url in self.entry_urls:
            wait_for(lambda url=url: _answers(url + "/readyz"), f"{url} to be ready")

    def wait_servers(self, service: str, count: int) -> None:
        """Wait until the owners of a service know a number of live servers."""
        wait_for(lambda: self._count_servers(service) >= count, f"{count} of {service}")

    def _count_servers(self, service: str) -> int:
        found = 0
        for url in self.entry_urls:
            if _answers(url + "/v1/owned"):
                owned = http_client.fetch(url + "/v1/owned").json()["shards"]
                found += sum(
                    one["servers"] for one in owned if one["shard"].startswith(service + "/")
                )
        return found

    def server_state(self, name: str) -> dict[str, Any]:
        """Return what a stand-in tells of itself, once it answers."""
        wait_for(lambda: _answers(self._urls[name] + "/v1/state"), f"{name} to answer")
        return http_client.fetch(self._urls[name] + "/v1/state").json()

    def close(self) -> None:
        """End all processes that are left."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for held in self._held:
            held.close()

    def memory_bytes(self) -> int:
        """Return the memory that the processes hold."""
        return sum(self.resident_bytes(name) for name in self._processes)

    def resident_bytes(self, name: str) -> int:
        """Return the memory that a process holds, 0 if it ended."""
        try:
            statm = pathlib.Path(f"/proc/{self._processes[name].pid}/statm").read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def processor_seconds(self, name: str) -> float:
        """Return the processor time that a process has used."""
        stat = pathlib.Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _answers(url: str) -> bool:
    try:
        return http_client.fetch(url, timeout_seconds=2).status == 200
    except errors.BackendFailedError:
        return False


def wait_for(condition: Any, what: str, *, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> Any:
    """Wait until a condition gives something true and return it.

    Raises
    ------
    TimeoutError
        Names what did not come.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_seconds} s for {what}")
        time.sleep(0.05)
