"""Harness of the scripts of this review: a small deployment on loopback, engines and clients.

The project's programs run as processes of their own, by the commands of the deploy file. Each host
has an address of its own in 127.0.0.0/8, and the same ports on all of them.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SHARED = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONE = "suwon-hall"
# Engine of the site's sheet: slots, memory and costs as the configuration gives them.
ENGINE = {
    "slots": 8,
    "kv_tokens": 405000,
    "stride": 34,
    "models": [{"name": "m"}],
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 11301, "answer": 1266},
    "hop_ms": 0.1,
}


class CannotRunError(Exception):
    """The case can't run here, which tells nothing of the rule."""


def trouble_is_on() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_at:8.3f}  {text}\n")
            self._file.flush()


class Deployment:
    """Control hosts, entries and engines, each a process of its own."""

    def __init__(
        self,
        record: Record,
        *,
        controls: int = 3,
        entries: int = 1,
        memory_mb: int = 300,
        thresholds: dict[str, Any] | None = None,
    ):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._thresholds = {"retry_ratio": 0.2, "retry_slack": 104, "retry_window_s": 10}
        self._thresholds.update(thresholds or {})
        self._memory_mb = memory_mb
        network = random.SystemRandom().randrange(100, 250)
        addresses = [f"127.{network}.7.{2 + number}" for number in range(controls + entries)]
        self.control_addresses = addresses[:controls]
        self.entry_addresses = addresses[controls:]
        self._first_port = self._find_ports(addresses, 7)
        self._processes: dict[str, subprocess.Popen] = {}
        self.engines: dict[str, Engine] = {}

    @staticmethod
    def _find_ports(addresses: list[str], count: int) -> int:
        for _ in range(50):
            first = random.SystemRandom().randrange(20000, 32000)
            sockets = []
            try:
                for address in addresses:
                    for port in range(first, first + count):
                        sock = socket.socket()
                        sockets.append(sock)
                        sock.bind((address, port))
            except OSError:
                continue
            finally:
                for sock in sockets:
                    sock.close()
            return first
        raise CannotRunError("found no free ports")

    def _address(self, host: str, offset: int) -> str:
        return f"{host}:{self._first_port + offset}"

    def operators(self, number: int) -> str:
        """Return the address at which a control host serves operators and engines."""
        return self._address(self.control_addresses[number], 2)

    def callers(self, number: int = 0) -> str:
        """Return the address at which an entry serves clients."""
        return self._address(self.entry_addresses[number], 3)

    def _settings(self, role: str, number: int, *, bootstrap: bool) -> dict[str, Any]:
        """Return the settings as the template of the deploy file gives them."""
        hosts = self.control_addresses if role == "control" else self.entry_addresses
        host = hosts[number]
        listen = {"callers": "", "readiness": "", "directory": "", "operators": ""}
        if role == "entry":
            listen["callers"] = self._address(host, 3)
            listen["readiness"] = self._address(host, 4)
        else:
            listen["operators"] = self._address(host, 2)
        listen["directory"] = self._address(host, 5)
        listen["metrics"] = self._address(host, 6)
        data_folder = self.folder / f"{role}-{number}"
        data_folder.mkdir(exist_ok=True)
        return {
            "name": f"{role}-{number}",
            "availability_zone": ZONE,
            "availability_zones": [ZONE],
            "address": host,
            "inner_ports": [self._first_port, self._first_port + 1],
            "seeds": [self._address(seed, 2) for seed in self.control_addresses[:3]],
            "first_start": bootstrap,
            "data_folder": str(data_folder) if role == "control" else "",
            "listen": listen,
            "bounds": {
                "announce_milliseconds": 1200,
                "stop_seconds": 8,
                "retry_ratio": self._thresholds["retry_ratio"],
                "retry_slack": self._thresholds["retry_slack"],
                "retry_window_seconds": self._thresholds["retry_window_s"],
            },
            "machine": {"memory_megabytes": self._memory_mb},
        }

    def start_program(self, role: str, number: int, *, bootstrap: bool = False) -> None:
        """Start a program of the deploy file, as the platform does."""
        name = f"{role}-{number}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(role, number, bootstrap=bootstrap)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        libraries = ROOT / "target" / "deps"
        if not libraries.is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        command = deploy["roles"][role]["run"].split()
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(libraries),
                    "FLAMINGORAMP_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f"started {name}")

    def start(self) -> None:
        """Start all hosts for the first time."""
        for number in range(len(self.control_addresses)):
            self.start_program("control", number, bootstrap=True)
        for number in range(len(self.entry_addresses)):
            self.start_program("entry", number, bootstrap=True)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a program."""
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a program and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a program, None while it runs."""
        return self._processes[name].poll()

    def add_engine(self, name: str, service: str, **options: Any) -> Engine:
        """Start an engine of a service."""
        operators = [self.operators(number) for number in range(len(self.control_addresses))]
        engine = Engine(name, service, operators, self.folder, self.record, options)
        self.engines[name] = engine
        return engine

    def configure(self, document: dict[str, Any], seconds: float = 20.0) -> None:
        """Send a configuration to the control hosts in turn until one acknowledges it."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + seconds
        number = 0
        while time.monotonic() < deadline:
            address = self.operators(number % len(self.control_addresses))
            number += 1
            try:
                status, _, _ = call(address, "PUT", "/v1/config", body=body, timeout=1.0)
            except OSError:
                status = 0
            if status == 200:
                self.record.write(f"configuration {document['version']} acknowledged")
                return
            time.sleep(0.1)
        raise CannotRunError(f"configuration {document['version']} was not acknowledged")

    def wait_until_served(self, path: str, headers: dict[str, str], seconds: float = 20.0) -> None:
        """Send requests to each entry until it serves them."""
        for number in range(len(self.entry_addresses)):
            deadline = time.monotonic() + seconds
            attempt = 0
            while True:
                attempt += 1
                all_headers = client_headers(f"warm-{number}-{attempt}", **headers)
                status = 0
                with contextlib.suppress(OSError):
                    status, _, _ = call(
                        self.callers(number), "GET", path, headers=all_headers, timeout=5.0
                    )
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRunError(f"entry {number} serves nothing: {status}")
                time.sleep(0.1)

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in [*self._processes.values(), *[e.process for e in self.engines.values()]]:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            self.record.write(f"kept {self.folder.name}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class Engine:
    """A stand-in engine in a process of its own; see ``engine.py``."""

    def __init__(
        self,
        name: str,
        service: str,
        operators: list[str],
        folder: pathlib.Path,
        record: Record,
        options: dict[str, Any],
    ):
        self.name = name
        self._record = record
        self._log_path = folder / f"engine-{name}.log"
        settings = {"name": name, "service": service, "operators": operators, "zone": ZONE}
        settings |= {"log": str(self._log_path), **options}
        self.process = subprocess.Popen(
            [sys.executable, str(SHARED / "engine.py"), json.dumps(settings)]
        )

    def events(self) -> list[dict[str, Any]]:
        """Return what the engine has written of the requests that it got and ran."""
        if not self._log_path.exists():
            return []
        lines = self._log_path.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines]

    def kill(self) -> None:
        """Kill the engine, as a crash does."""
        self._record.write(f"SIGKILL to engine {self.name}")
        self.process.kill()
        self.process.wait()


def client_headers(attempt_id: str, **headers: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    result = {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "10000",
        "Authorization": f"Token {KEY}",
    }
    result.update({name.replace("_", "-"): value for name, value in headers.items()})
    return result


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", *[f"{name}: {text}" for name, text in headers.items()]]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """An answer that is read from a connection, whole or in parts."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._data = b""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def _read_more(self) -> bool:
        try:
            piece = self._sock.recv(65536)
        except OSError as error:
            self.error = type(error).__name__
            return False
        self._data += piece
        if not piece:
            self.error = self.error or "connection ended"
        return bool(piece)

    def read_head(self) -> bool:
        """Read status and headers; return whether they came."""
        while b"\r\n\r\n" not in self._data:
            if not self._read_more():
                return False
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.lower()] = value.strip()
        return True

    def read(self) -> Answer:
        """Read the whole answer."""
        if not self.read_head():
            return self
        if self.headers.get("transfer-encoding", "") == "chunked":
            self._read_chunks()
            return self
        length = int(self.headers.get("content-length", "0"))
        while len(self._data) < length:
            if not self._read_more():
                self.body = self._data
                return self
        self.body, self._data = self._data[:length], self._data[length:]
        self.is_complete = True
        return self

    def _read_chunks(self) -> None:
        while True:
            while b"\r\n" not in self._data:
                if not self._read_more():
                    return
            size_text, _, rest = self._data.partition(b"\r\n")
            size = int(size_text, 16)
            while len(rest) < size + 2:
                if not self._read_more():
                    return
                _, _, rest = self._data.partition(b"\r\n")
            self.body += rest[:size]
            self._data = rest[size + 2 :]
            if not size:
                self.is_complete = True
                return


def connect(address: str, timeout: float = 10.0, receive_bytes: int = 0) -> socket.socket:
    """Open a connection."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(timeout)
    sock.connect((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, headers and body of the answer."""
    all_headers = headers or {"Host": "control"}
    with connect(address, timeout) as sock:
        sock.sendall(encode_request(method, path, {**all_headers, "Connection": "close"}, body))
        answer = Answer(sock).read()
    if not answer.status:
        raise OSError(answer.error)
    return answer.status, answer.headers, answer.body


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration, whose prefix is its name."""
    route = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10000,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    }
    if kind == "streaming":
        route |= {"sticky": True, "resumable": True, "gap_slo_ms": 250}
    return {**route, **changes}


def make_configuration(version: int, routes: list[dict], **limits: int) -> dict[str, Any]:
    """Return a configuration with an engine service and a plain one."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "design-llm", "max_conns": 274, "protocol": "h1", "engine": ENGINE},
            {"name": "order-desk", "max_conns": 110, "protocol": "h1"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def run_case(folder: str, play: Any) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``play`` takes a `Record` and returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder))
    record.write(f"disruption: {'on' if trouble_is_on() else 'off'}")
    try:
        held = play(record)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    verdict = "the rule held" if held else "THE RULE WAS BROKEN"
    record.write(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
