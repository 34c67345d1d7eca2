"""Control hosts, entries and stand-ins in one process, each with a loop in a thread of its own."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import socket
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.daemons import coordinator, gateway
from flamingoramp.platform import platform_dialect
from flamingoramp.platform.tests import standin, test_declarations
from flamingoramp.runtime import node_settings

WAIT_SECONDS = 30.0
HOST = "ficu95.example"
PORT_TRIES = 50
# Ports of a host: two for other processes, then operators, callers, directory and readiness.
PORTS = 6


class HeldPorts:
    """A run of ports that are free on some addresses, and stay so until a daemon listens there.

    Connections between the daemons take ports of the same addresses, and would take these too. A
    socket that is bound and doesn't listen keeps them away, and lets a daemon bind beside it.

    Parameters
    ----------
    addresses : list of str
    count : int
        Ports that follow each other.
    """

    def __init__(self, addresses: list[str], count: int):
        self._count = count
        self._sockets: list[socket.socket] = []
        for _ in range(PORT_TRIES):
            with socket.create_server(("127.0.0.1", 0)) as probe:
                self.first = probe.getsockname()[1]
            try:
                for address in addresses:
                    self.hold(address)
            except (OSError, OverflowError):
                self.close()
                continue
            return
        raise AssertionError(f"no {count} free ports in {PORT_TRIES} tries")

    def hold(self, address: str) -> None:
        """Keep the ports of a further address."""
        for port in range(self.first, self.first + self._count):
            holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sockets.append(holder)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((address, port))

    def close(self) -> None:
        """Let the ports go."""
        for holder in self._sockets:
            holder.close()
        self._sockets.clear()


def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Wait until something holds, and return it."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"waited {WAIT_SECONDS} s for {what}")


@attrs.define
class Answer:
    """What a caller or an operator got."""

    status: int
    headers: dict[str, str]
    body: bytes


def ask(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = WAIT_SECONDS,
) -> Answer:
    """Send one request on a connection of its own and read until it ends.

    An answer that was cut off has status 0.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        sent = {"host": HOST, "content-length": str(len(body)), "connection": "close"}
        sent.update(headers or {})
        head = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
        sock.sendall(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        data = b""
        while piece := sock.recv(65536):
            data += piece
    return _parse(data)


def _parse(data: bytes) -> Answer:
    head, _, rest = data.partition(b"\r\n\r\n")
    if not rest and not head:
        return Answer(0, {}, b"")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(lines[0].split()[1])
    if headers.get("transfer-encoding") != "chunked":
        return Answer(status, headers, rest)
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return Answer(status, headers, body)
        body += rest[:length]
        rest = rest[length + 2 :]
    return Answer(0, headers, body)


class Member:
    """One daemon and its thread."""

    def __init__(self, daemon: coordinator.Coordinator | gateway.Gateway):
        self.daemon = daemon
        self.thread = threading.Thread(target=daemon.process.serve_until_stopped)
        self.thread.start()

    @property
    def is_running(self) -> bool:
        """Whether its loop still runs."""
        return self.thread.is_alive()

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a function in the daemon's loop."""
        done = threading.Event()
        result: list[Any] = []
        self.daemon.process.loop.post(lambda: (result.append(function()), done.set()))
        if not done.wait(WAIT_SECONDS):
            raise AssertionError("the daemon's loop doesn't answer")
        return result[0]

    def stop(self) -> None:
        """End at once, as a kill does."""
        self.daemon.process.loop.stop()
        self.thread.join(WAIT_SECONDS)


class Fleet:
    """A deployment on loopback; all hosts share one IP number, so that ports differ.

    Parameters
    ----------
    controls, entries : int
    """

    def __init__(self, *, controls: int = 3, entries: int = 2):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.null = os.open(os.devnull, os.O_WRONLY)
        self.controls: list[Member] = []
        self.entries: list[Member] = []
        self.backends: list[standin.Backend] = []
        self._addresses = [f"127.0.0.{number + 2}" for number in range(controls + entries)]
        self._ports = HeldPorts(self._addresses, PORTS)
        self._inner = self._ports.first
        self._operators, self._callers, self._directory, self._ready = range(
            self._inner + 2, self._inner + PORTS
        )
        self.seeds = [f"{one}:{self._operators}" for one in self._addresses[:controls]]
        for number in range(controls):
            self.controls.append(self.start_control(number, first=True))
        for number in range(entries):
            self.entries.append(self.start_entry(controls + number))

    def settings(self, number: int, *, first: bool = False) -> node_settings.NodeSettings:
        """Return the settings of a host."""
        address = self._addresses[number]
        return node_settings.NodeSettings(
            name=f"host-{number}",
            availability_zone="a",
            address=address,
            inner_ports=(self._inner, self._inner + 1),
            seeds=tuple(self.seeds),
            first_start=first,
            data_folder=str(self.folder / f"data-{number}"),
            listen=node_settings.ListenSettings(
                callers=f"{address}:{self._callers}",
                readiness=f"{address}:{self._ready}",
                directory=f"{address}:{self._directory}",
                operators=f"{address}:{self._operators}",
            ),
            bounds=node_settings.BoundSettings(
                announce_milliseconds=standin.ANNOUNCE_SECONDS * 1000,
                accept_seconds=0.4,
                stop_seconds=6.0,
            ),
        )

    def start_control(self, number: int, *, first: bool = False) -> Member:
        """Start the control daemon of a host."""
        pathlib.Path(self.folder / f"data-{number}").mkdir(exist_ok=True)
        made = coordinator.Coordinator(
            self.settings(number, first=first),
            platform_dialect.PlatformDialect(),
            log_descriptor=self.null,
        )
        return Member(made)

    def start_entry(self, number: int) -> Member:
        """Start the entry daemon of a host."""
        made = gateway.Gateway(
            self.settings(number), platform_dialect.PlatformDialect(), log_descriptor=self.null
        )
        return Member(made)

    def add_control(self) -> Member:
        """Start a control daemon on a host that nobody knows, with an empty disk."""
        self._addresses.append(f"127.0.0.{len(self._addresses) + 2}")
        self._ports.hold(self._addresses[-1])
        self.controls.append(self.start_control(len(self._addresses) - 1))
        return self.controls[-1]

    def wipe(self, number: int) -> None:
        """Lose the disk of a host."""
        shutil.rmtree(self.folder / f"data-{number}")

    def add_backend(
        self, name: str, service: str, behaviour: standin.Behaviour | None = None
    ) -> standin.Backend:
        """Start a backend server, and wait until all entries know it."""
        made = standin.Backend(name, service, self.seeds, behaviour)
        self.backends.append(made)
        for entry in self.entries:
            wait_for(
                lambda entry=entry: entry.daemon.registry.find_server(name), f"{name} at an entry"
            )
        return made

    def declare(self, version: int, *, address: str = "", **changes: Any) -> Answer:
        """Send a declaration until a control host acknowledges it."""
        document = make_document(version, **changes)
        body = json.dumps(document).encode()
        targets = [address] if address else self.seeds

        def _try() -> Answer | None:
            for target in targets:
                try:
                    answer = ask(target, "PUT", "/v1/config", body=body, timeout=3.0)
                except OSError:
                    continue
                if answer.status == 200:
                    return answer
            return None

        return wait_for(_try, f"the acknowledgement of version {version}")

    def wait_in_force(self, version: int) -> None:
        """Wait until all entries serve by a version."""
        for entry in self.entries:
            wait_for(
                lambda entry=entry: (
                    entry.daemon.declaration and entry.daemon.declaration.version >= version
                ),
                f"version {version} at an entry",
            )

    def front(self, number: int = 0) -> str:
        """Return the callers' address of an entry."""
        return self.entries[number].daemon.process.settings.listen.callers

    def close(self) -> None:
        """End everything."""
        for member in (*self.entries, *self.controls):
            member.stop()
        for backend in self.backends:
            backend.close()
        self._ports.close()
        os.close(self.null)
        shutil.rmtree(self.folder)


def make_document(version: int, **changes: Any) -> dict[str, Any]:
    """Return a declaration with one streaming, one idempotent and one other route."""
    engine = {**test_declarations.ENGINE, "kv_tokens": 100_000}
    document = {
        "version": version,
        "routes": [
            _route("stream", "streaming", "llm", 10000, resumable=True, gap_slo_ms=250),
            _route("read", "idempotent", "desk", 5000, attempts=2),
            _route("hold", "non_idempotent", "desk", 5000),
        ],
        "services": [{"name": "llm", "engine": engine}, {"name": "desk"}],
        "limits": {},
        "tenants": [{"name": "w", "api_keys": ["k1"], "priority": 1}],
    }
    document.update(changes)
    return document


def _route(name: str, kind: str, service: str, timeout: int, **changes: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind != "non_idempotent" else 1,
    }
    return {**route, **changes}
