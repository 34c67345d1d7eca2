"""Stand-ins of engines, clients, the operator and the platform for the scripts of the review.

They follow the users' pages. Everything runs on loopback addresses in one asyncio process, except
the project's own daemons, which are started as the deploy file says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_SECONDS = 1.2
# Time that an engine works on each request of a `KeptClient` but the first.
KEPT_WORK_SECONDS = 2.0
# Bounds of the small deployments on the users' pages.
THRESHOLDS = {
    "contact_ms": 3000,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_slack": 104,
    "retry_window_s": 10,
}


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the settings template as the deployment page says, as far as it is used."""

    def _value(name: str, scope: Any) -> Any:
        value: Any = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def _section(match: re.Match[str]) -> str:
        value = _value(match[1], fields)
        if value is None or value is False:
            return ""
        if not isinstance(value, (dict, list)):
            return match[2]
        keys = list(value)
        parts = []
        for number, key in enumerate(keys):
            text = match[2].replace("{{@}}", str(key))
            parts.append(text.replace("{{,}}", "," if number + 1 < len(keys) else ""))
        return "".join(parts)

    def _placeholder(match: re.Match[str]) -> str:
        value = _value(match[1], fields)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", _section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", _placeholder, text)


def free_port(ip_address: str, count: int = 1) -> int:
    """Return the first of ``count`` adjacent ports that nobody listens on."""
    while True:
        port = random.randint(20000, 50000)
        sockets = []
        try:
            for offset in range(count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((ip_address, port + offset))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return port


class Record:
    """Lines of what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


class Machine:
    """One machine with one of the project's programs.

    Parameters
    ----------
    role : str
        ``control`` or ``entry``.
    """

    def __init__(self, fleet: Fleet, role: str, ip_address: str, zone: str):
        self.fleet = fleet
        self.role = role
        self.ip_address = ip_address
        self.zone = zone
        self.name = f"{role}-{zone}-{ip_address.rpartition('.')[2]}"
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip_address}:{self.fleet.front_port}"

    @property
    def control(self) -> str:
        """Address for engines and operators."""
        return f"{self.ip_address}:{self.fleet.control_port}"

    @property
    def directory(self) -> str:
        """Address for lookups."""
        return f"{self.ip_address}:{self.fleet.directory_port}"

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings and start the program with the command of the deploy file."""
        is_control = self.role == "control"
        listen = {"directory": self.directory}
        if is_control:
            listen["control"] = self.control
        else:
            listen["front"] = self.front
            listen["ready"] = f"{self.ip_address}:{self.fleet.ready_port}"
        data_folder = self.folder / "data"
        if is_control:
            data_folder.mkdir(exist_ok=True)
        fields = {
            "node": self.name,
            "zone": self.zone,
            "zones": dict.fromkeys(ZONES, "region"),
            "bind_ip": self.ip_address,
            "internal_ports": [self.fleet.internal_port, self.fleet.internal_port + 15],
            "seed_addrs": [machine.control for machine in self.fleet.controls[:3]],
            "bootstrap": bootstrap,
            "data_dir": str(data_folder) if is_control else "",
            "listen": listen,
            "heartbeat_ms": int(1000 * HEARTBEAT_SECONDS),
            "thresholds": THRESHOLDS,
        }
        template = (ROOT / "deploy/settings.json").read_text(encoding="utf-8")
        settings_path = self.folder / "settings.json"
        settings_path.write_text(render(template, fields), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FLAMINGORAMP_CONFIG": str(settings_path),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "flamingoramp.platform.main", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_at = self.fleet.record.now()
        self.fleet.record.write(f"platform: started {self.name}")

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send the process a signal; wait for its end if that is SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()
            self.fleet.record.write(f"platform: {signal.Signals(number).name} to {self.name}")


class Fleet:
    """The machines of a small deployment, and its operator."""

    def __init__(self, record: Record, *, control_count: int = 3, entry_count: int = 3):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        first = f"{network}.1"
        self.front_port = free_port(first)
        self.ready_port = free_port(first)
        self.control_port = free_port(first)
        self.directory_port = free_port(first)
        self.internal_port = free_port(first, 16)
        self.network = network
        # Names of machines whose process ended by itself.
        self.ended: list[str] = []
        self.controls: list[Machine] = []
        self.entries: list[Machine] = []
        for number in range(control_count):
            zone = ZONES[number % len(ZONES)]
            self.controls.append(Machine(self, "control", f"{network}.{1 + number}", zone))
        for number in range(entry_count):
            zone = ZONES[number % len(ZONES)]
            self.entries.append(Machine(self, "entry", f"{network}.{101 + number}", zone))

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.controls, *self.entries]

    def close(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for machine in self.machines:
            machine.kill()
        self._temporary.cleanup()

    async def supervise(self) -> None:
        """Restart processes that end by themselves, after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            for machine in self.machines:
                if machine.process is None or machine.process.poll() is None:
                    continue
                code = machine.process.returncode
                self.ended.append(machine.name)
                self.record.write(f"platform: {machine.name} ended by itself with code {code}")
                await asyncio.sleep(0.3)
                machine.start()

    async def configure(self, configuration: dict[str, Any]) -> bool:
        """Send a configuration until it is acknowledged; give up after 20 s."""
        body = json.dumps(configuration).encode()
        for attempt in range(100):
            machine = self.controls[attempt % len(self.controls)]
            answer = await call(machine.control, "PUT", "/v1/config", body=body)
            if answer.status == 200:
                self.record.write(f"operator: version {configuration['version']} acknowledged")
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_until_ready(self, machines: list[Machine]) -> bool:
        """Wait until all of these entries are ready; give up after 20 s."""
        for _ in range(200):
            answers = [
                await call(f"{machine.ip_address}:{self.ready_port}", "GET", "/v1/readyz")
                for machine in machines
            ]
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False


class Answer:
    """What a caller got; status 0 if the connection ended without an answer."""

    def __init__(self, status: int = 0, headers: dict[str, str] | None = None, body: bytes = b""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        # Of the request, if it has one.
        self.request = ""


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 1.0,
) -> Answer:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            all_headers = {"Host": host, **(headers or {}), "Content-Length": str(len(body))}
            lines += [f"{name}: {value}" for name, value in all_headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            return await read_answer(reader, has_body=method != "HEAD")
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers; names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_answer(reader: asyncio.StreamReader, *, has_body: bool = True) -> Answer:
    """Read an answer with a length or chunks; that to a HEAD request has no body."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body = b""
    if not has_body:
        return Answer(status, headers)
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(status, headers, body)


class Engine:
    """A server of a plain service, which announces itself to the control machines.

    Parameters
    ----------
    crashes_on : callable
        Takes the body of a request that begins to run; returns whether it crashes the engine.
    answer_status : callable
        Returns the status of the answer to a request that has run.
    on_arrival : callable
        Takes this engine, the headers and the body of a request that begins to run.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        service: str,
        number: int,
        zone: str,
        slots: int = 6,
        work_seconds: float = 0.02,
        crashes_on: Callable[[bytes], bool] = lambda _body: False,
        crash_delay_seconds: float = 0.01,
        answer_status: Callable[[], int] = lambda: 200,
        on_arrival: Callable[[Engine, dict[str, str], bytes], None] = lambda *_: None,
    ):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.crashes_on = crashes_on
        self.crash_delay_seconds = crash_delay_seconds
        self.answer_status = answer_status
        self.on_arrival = on_arrival
        self.ip_address = f"{fleet.network}.{201 + number}"
        self.port = free_port(self.ip_address)
        self.name = ""
        self.sequence = 0
        self.is_up = False
        self.beats = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Address for requests."""
        return f"{self.ip_address}:{self.port}"

    async def start(self) -> None:
        """Start a new incarnation with a new id."""
        self.name = f"i-{random.getrandbits(40):010x}"
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, self.ip_address, self.port)
        self.is_up = self.beats = True
        self.fleet.record.write(f"engine {self.name}: started at {self.address} in {self.zone}")
        self._spawn(self._beat(self.name))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self, back_after: float) -> None:
        """Reset all connections and close the port; start again later."""
        if not self.is_up:
            return
        self.stop()
        self.fleet.record.write(f"engine {self.name}: crashed")

        async def _return() -> None:
            await asyncio.sleep(back_after)
            await self.start()

        self._spawn(_return())

    def stop(self) -> None:
        """End the incarnation: close the port and reset all connections."""
        self.is_up = self.beats = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _beat(self, name: str) -> None:
        number = random.randrange(len(self.fleet.controls))
        while self.beats and self.name == name:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "addr": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "seq": self.sequence,
                }
            ).encode()
            for _ in range(len(self.fleet.controls)):
                machine = self.fleet.controls[number % len(self.fleet.controls)]
                answer = await call(machine.control, "PUT", f"/v1/instances/{name}", body=body)
                if answer.status == 200 or not self.beats or self.name != name:
                    break
                number += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def deregister(self) -> tuple[Machine, float] | None:
        """Send DELETE before draining; return who acknowledged it and when."""
        self.beats = False
        for machine in self.fleet.controls:
            answer = await call(machine.control, "DELETE", f"/v1/instances/{self.name}")
            if answer.status == 200:
                at = self.fleet.record.now()
                self.fleet.record.write(
                    f"engine {self.name}: DELETE acknowledged by {machine.name}; serves on"
                )
                return machine, at
        return None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        name = self.name
        try:
            while self.is_up and self.name == name:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(writer, first, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, first: str, headers: dict[str, str], body: bytes
    ) -> None:
        request = headers.get("x-attempt-id", "")
        if first.startswith("GET /healthz"):
            self._send(writer, 200, {"X-Instance-Id": self.name}, b"")
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            self.fleet.record.write(f"engine {self.name}: {request} answered 421")
            extra = {"X-Attempt-Id": request, "X-Not-Executed": "1", "At-Server": self.address}
            self._send(writer, 421, extra, b"")
            return
        self.fleet.record.write(f"engine {self.name}: runs {request} ({first})")
        self.on_arrival(self, headers, body)
        if self.crashes_on(body):
            await asyncio.sleep(self.crash_delay_seconds)
            self.crash(back_after=2.0)
            return
        work_seconds = self.work_seconds
        if body.startswith(b"work "):
            work_seconds = float(body.split()[1])
        await asyncio.sleep(work_seconds)
        if not self.is_up:
            return
        status = self.answer_status()
        self.fleet.record.write(f"engine {self.name}: answers {request} with {status}")
        stamp = f"{random.getrandbits(32):08x}"
        extra = {"X-Attempt-Id": request, "X-Response-Stamp": stamp}
        answer = b"x" * 800
        if "x-token-count" in headers:
            extra["Content-Type"] = "text/event-stream"
            answer = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 4))
        self._send(writer, status, extra, answer, has_body=not first.startswith("HEAD "))

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        has_body: bool = True,
    ) -> None:
        lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + (body if has_body else b""))


def route(prefix: str, service: str, kind: str, *, timeout_ms: int = 1500) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r-{service}",
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 125,
        "priority": 2,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with these routes and plain services for them."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for service in dict.fromkeys(item["service"] for item in routes)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": ["key1key1key1"], "priority": 1}],
    }


def client_headers(request: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": "desk.example",
        "X-Attempt-Id": request,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Token key1key1key1",
    }


async def send_request(
    fleet: Fleet,
    machine: Machine,
    path: str,
    body: bytes = b"",
    *,
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a client's request to an entry on a new connection; return the answer."""
    request = f"{random.getrandbits(64):016x}"
    fleet.record.write(f"client: sends {request} to {machine.name}: {method} {path}")
    answer = await call(
        machine.front,
        method,
        path,
        headers={**client_headers(request, 1500), **(headers or {})},
        body=body,
        seconds=2.0,
    )
    fleet.record.write(f"client: {request} got {answer.status or 'a closed connection'}")
    answer.request = request
    return answer


class KeptClient:
    """A client that sends one long request after the other on a kept connection."""

    def __init__(self, fleet: Fleet, entry: Machine):
        self._fleet = fleet
        self._entry = entry
        # Requests that the connection ended for without an answer, after it had carried another.
        self.unanswered: list[str] = []

    async def send_all(self, until: float) -> None:
        """Send requests until a time."""
        record = self._fleet.record
        host, _, port = self._entry.front.rpartition(":")
        while record.now() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            answer_count = 0
            try:
                while record.now() < until:
                    request = f"{random.getrandbits(64):016x}"
                    body = b"work %.1f" % (KEPT_WORK_SECONDS if answer_count else 0.02)
                    headers = client_headers(request, 7000)
                    headers["Content-Length"] = str(len(body))
                    lines = [f"{name}: {value}" for name, value in headers.items()]
                    head = "\r\n".join(["POST /hold/7 HTTP/1.1", *lines, "", ""])
                    record.write(f"client: sends {request} to {self._entry.name}: POST /hold/7")
                    writer.write(head.encode() + body)
                    answer = await read_answer(reader)
                    record.write(f"client: {request} got {answer.status}")
                    answer_count += 1
            except (OSError, asyncio.IncompleteReadError):
                record.write(f"client: {request} got a closed connection")
                if answer_count:
                    self.unanswered.append(request)
            finally:
                writer.close()


def run(case: Callable[[Record, bool], Any], record_path: pathlib.Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``case`` takes the record and whether there is a disruption, and returns True if the rule held,
    False if it was broken, and None if the case couldn't run.
    """
    # Ends with the processes' clean-up also when the time limit of run.sh is reached.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(case(record, has_trouble))
    except Exception as error:
        record.write(f"script: {type(error).__name__}: {error}")
        result = None
    text = {True: "the rule held", False: "THE RULE WAS BROKEN", None: "the case couldn't run"}
    record.write(f"script: {text[result]}")
    print(text[result])
    sys.exit({True: 0, False: 1, None: 2}[result])
