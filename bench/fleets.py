"""Runs a deployment as local processes on loopback, for the demo, the tests and the benchmarks."""

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


def reserve_port() -> socket.socket:
    """Return a socket bound to a free loopback port.

    While it is open, the kernel assigns the port to no other socket; with ``SO_REUSEADDR`` a
    process can still listen on it.
    """
    reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved_socket.bind(("127.0.0.1", 0))
    return reserved_socket


@attrs.frozen
class ServerGroup:
    """A number of stand-in backend servers of one service.

    Parameters
    ----------
    service : str
    count : int
    kind : str
        ``engine`` or ``service``, the command of `standins.main`.
    options : dict
        Options of the command; for engines, see `standins.engine.EngineOptions`.
    """

    service: str
    count: int
    kind: str = "engine"
    options: dict[str, Any] = attrs.field(factory=dict)


class Fleet:
    """Processes of one deployment, addressed by name.

    ``control-HOST`` is a host's control replica, ``entry-HOST`` its entry (the daemon that accepts
    requests), ``SERVICE-NUMBER`` a stand-in of a backend server.

    Parameters
    ----------
    folder : pathlib.Path
        Holds the settings file, logs and data folders; deleted first if it exists.
    settings_document : dict
        Settings in the form of examples/; each port is replaced by a free one, each data folder
        by one below ``folder``.
    time_scale : float
        Factor of the stand-in engines' processing times.
    """

    def __init__(
        self, folder: pathlib.Path, settings_document: dict[str, Any], *, time_scale: float = 1.0
    ):
        shutil.rmtree(folder, ignore_errors=True)
        (folder / "logs").mkdir(parents=True)
        self._folder = folder
        self._time_scale = time_scale
        self._processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        self._server_urls: dict[str, str] = {}
        self._reserved_sockets: list[socket.socket] = []
        self._settings_path = folder / "settings.json"
        self._settings_path.write_text(json.dumps(self._assign_ports(settings_document), indent=2))
        self.settings = settings.load(self._settings_path)
        self.zones = sorted({host.availability_zone for host in self.settings.hosts})

    @property
    def settings_path(self) -> pathlib.Path:
        """Path of the settings file that all daemons read by default."""
        return self._settings_path

    @property
    def entry_urls(self) -> list[str]:
        """Base URLs of the entries, in the order of the settings."""
        return [host.entry_url for host in self.settings.entry_hosts]

    @property
    def server_urls(self) -> dict[str, str]:
        """Base URLs of the stand-in servers by process name."""
        return dict(self._server_urls)

    def _assign_ports(self, settings_document: dict[str, Any]) -> dict[str, Any]:
        settings_document = json.loads(json.dumps(settings_document))
        for host in settings_document["hosts"]:
            for name in list(host):
                if name.endswith("_port"):
                    host[name] = self._reserve_port()
            if host.get("data_folder"):
                host["data_folder"] = str(self._folder / "data" / host["name"])
        return settings_document

    def _reserve_port(self) -> int:
        self._reserved_sockets.append(reserve_port())
        return self._reserved_sockets[-1].getsockname()[1]

    def start_daemons(self) -> None:
        """Start all control replicas, then all entries, without waiting for them."""
        for host in self.settings.control_hosts:
            self.start_daemon("control", host.name)
        for host in self.settings.entry_hosts:
            self.start_daemon("entry", host.name)

    def start_daemon(self, kind: str, host: str, settings_path: pathlib.Path | None = None) -> None:
        """Start the ``control`` replica or the ``entry`` of a host, as ``kind`` says."""
        command = ["-m", "flamingoramp.cli.main", kind]
        command += ["--settings", str(settings_path or self._settings_path), "--host", host]
        self._start(f"{kind}-{host}", command)

    def start_servers(self, groups: list[ServerGroup], *, first: int = 1) -> None:
        """Start stand-ins of services over the availability zones, numbered from ``first``."""
        for group in groups:
            for number in range(first, first + group.count):
                name = f"{group.service}-{number}"
                self._start_server(group, name, self.zones[number % len(self.zones)])

    def _start_server(self, group: ServerGroup, name: str, zone: str) -> None:
        address = f"127.0.0.1:{self._reserve_port()}"
        self._server_urls[name] = f"http://{address}"
        options = dict(group.options)
        if group.kind == "engine":
            options.setdefault("time_scale", self._time_scale)
        command = ["-m", "standins.main", group.kind, name, group.service, zone, address]
        command.append(",".join(self.entry_urls[:4]))
        command += [f"--{key}={value}" for key, value in options.items()]
        self._start(name, command)

    def start_weight_store(self, *, parallel_loads: int, load_seconds: float) -> str:
        """Start the stand-in of the rate-limited weight store and return its URL.

        It serves ``parallel_loads`` at once, each in ``load_seconds``, and refuses others.
        """
        address = f"127.0.0.1:{self._reserve_port()}"
        command = ["-m", "standins.main", "weight-store", address]
        self._start(
            "weight-store", [*command, f"--at_once={parallel_loads}", f"--seconds={load_seconds}"]
        )
        return f"http://{address}"

    def _start(self, name: str, command: list[str]) -> None:
        if name in self._processes and self.is_running(name):
            raise RuntimeError(
                f"process {name} is still running; kill or stop it before starting it again"
            )
        self._commands[name] = command
        with open(self._folder / "logs" / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *command], cwd=ROOT, stdout=log, stderr=log
            )

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        return self._processes[name].poll() is None

    def has_ended(self, name: str) -> bool:
        """Return whether a process has exited."""
        return not self.is_running(name)

    def list_ended(self) -> list[str]:
        """Return the names of all processes that have exited."""
        return [name for name in self._processes if self.has_ended(name)]

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its exit."""
        self._processes[name].kill()
        self._processes[name].wait()

    def restart(self, name: str) -> None:
        """Start an exited process again with the same arguments."""
        self._start(name, self._commands[name])

    def stop(self, name: str) -> None:
        """Request a graceful stop by SIGTERM, without waiting for the exit."""
        self._processes[name].terminate()

    def wait_stopped(self, name: str, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the exit of a process and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If it is still running after the timeout.
        """
        return self._processes[name].wait(timeout_seconds)

    def delete_data(self, host: str) -> None:
        """Delete the data folder of a host's control replica, as after the loss of its disk."""
        shutil.rmtree(self.settings.find_host(host).data_folder)

    def make_control_client(self) -> control_client.ControlClient:
        """Return a new client of the control replicas' operator API."""
        return control_client.ControlClient(self.settings)

    def wait_leader(self) -> str:
        """Wait until a control replica reports that it leads and return its host's name."""
        return wait_for(lambda: self._find_leader(), "a control replica that leads")

    def _find_leader(self) -> str:
        for status in self.make_control_client().fetch_statuses():
            if status.get("leads"):
                return status["host"]
        return ""

    def apply(self, declaration: dict[str, Any]) -> dict[str, Any]:
        """Plan and confirm a declaration and return the answer to the confirmation."""
        client = self.make_control_client()
        plan = client.request("POST", "/v1/plan", declaration)
        return client.request("POST", "/v1/confirm", {"plan": plan["plan"]})

    def wait_ready(self) -> None:
        """Wait until every entry answers its readiness check with 200."""
        for url in self.entry_urls:
            wait_for(lambda url=url: _answers_ok(url + "/readyz"), f"{url} to be ready")

    def wait_servers(self, service: str, count: int) -> None:
        """Wait until the owners of a service's shards report at least ``count`` live servers."""
        wait_for(lambda: self._count_servers(service) >= count, f"{count} servers of {service}")

    def _count_servers(self, service: str) -> int:
        count = 0
        for url in self.entry_urls:
            if _answers_ok(url + "/v1/owned"):
                owned_shards = http_client.fetch(url + "/v1/owned").json()["shards"]
                count += sum(
                    shard["servers"]
                    for shard in owned_shards
                    if shard["shard"].startswith(service + "/")
                )
        return count

    def server_state(self, name: str) -> dict[str, Any]:
        """Wait until a stand-in server answers ``/v1/state`` and return its answer."""
        wait_for(lambda: _answers_ok(self._server_urls[name] + "/v1/state"), f"{name} to answer")
        return http_client.fetch(self._server_urls[name] + "/v1/state").json()

    def close(self) -> None:
        """Kill all running processes, suspended ones included, and release the reserved ports."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()

    def total_resident_bytes(self) -> int:
        """Return the resident memory of all running processes in bytes."""
        return sum(self.resident_bytes(name) for name in self._processes)

    def resident_bytes(self, name: str) -> int:
        """Return the resident memory of a process in bytes, 0 if it has exited."""
        try:
            statm = pathlib.Path(f"/proc/{self._processes[name].pid}/statm").read_text()
        except OSError:
            return 0
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_seconds(self, name: str) -> float:
        """Return the CPU seconds, user and system, that a running process has used."""
        stat = pathlib.Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _answers_ok(url: str) -> bool:
    try:
        return http_client.fetch(url, timeout_seconds=2).status == 200
    except errors.BackendFailedError:
        return False


def wait_for(
    condition: Any, awaited: str, *, timeout_seconds: float = READY_TIMEOUT_SECONDS
) -> Any:
    """Poll a condition until it returns a true value and return that value.

    ``awaited`` completes the sentence "waited for ..." of the error message.

    Raises
    ------
    TimeoutError
        If the condition is still false after the timeout.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_seconds} s: waited for {awaited}")
        time.sleep(0.05)
