"""Deployment for tests: control hosts, entries and fake servers, each in a thread of its own."""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import shutil
import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from concurrent import futures
from typing import Any

import attrs

from flamingoramp.daemons import coordinator, gateway
from flamingoramp.platform import platform_dialect
from flamingoramp.platform.tests import fake_server, test_declarations
from flamingoramp.runtime import node_settings

TIMEOUT_SECONDS = 30.0
ROUTE_HOST = "ficu95.example"
MAX_PORT_ATTEMPTS = 50
# Two for connections between the daemons, then operators, callers, directory, readiness, metrics.
PORTS_PER_HOST = 7
COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 6)
)
# An operator sends an order again for this long, and waits for each answer for this long.
ORDER_SECONDS = 5.0
ORDER_TIMEOUT_SECONDS = 1.0
ORDER_RETRY_SECONDS = 0.05
# Threads that send a load; each is held for the duration of a request.
LOAD_THREAD_COUNT = 24


class ReservedPorts:
    """Consecutive ports that are kept free on some addresses until a daemon listens there.

    Outgoing connections of the daemons use ephemeral ports of the same addresses and would take
    these too. A bound socket that does not listen prevents that, and still lets a daemon bind. It
    lets another test run reserve the same port too, which a datagram socket without reuse prevents.

    Parameters
    ----------
    addresses : list of str
    count : int
        Number of ports.
    """

    def __init__(self, addresses: list[str], count: int):
        self._count = count
        self._sockets: list[socket.socket] = []
        for _ in range(MAX_PORT_ATTEMPTS):
            with socket.create_server(("127.0.0.1", 0)) as probe:
                self.first_port = probe.getsockname()[1]
            try:
                self._claim()
                for address in addresses:
                    self.reserve(address)
            except (OSError, OverflowError):
                self.close()
                continue
            return
        raise AssertionError(
            f"found no {count} consecutive free ports in {MAX_PORT_ATTEMPTS} attempts"
        )

    def _claim(self) -> None:
        """Claim the ports among all test runs on this machine."""
        for port in range(self.first_port, self.first_port + self._count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sockets.append(sock)
            sock.bind(("127.0.0.1", port))

    def reserve(self, address: str) -> None:
        """Reserve the same ports on a further address."""
        for port in range(self.first_port, self.first_port + self._count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sockets.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address, port))

    def close(self) -> None:
        """Release the ports."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def wait_for(condition: Callable[[], Any], description: str) -> Any:
    """Wait until a condition returns a true value, and return that value."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f"waited {TIMEOUT_SECONDS} s for {description}")


@attrs.define
class Answer:
    """Answer that a caller or an operator received; ``status`` is 0 if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes


def send_request(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = TIMEOUT_SECONDS,
) -> Answer:
    """Send a request on a new connection and read the answer to its end.

    An answer that was cut off has status 0: an empty one, or a chunked one without its last chunk.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        all_headers = {"host": ROUTE_HOST, "content-length": str(len(body)), "connection": "close"}
        all_headers.update(headers or {})
        head = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
        sock.sendall(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        data = b""
        while piece := sock.recv(65536):
            data += piece
    return _parse_answer(data)


def _parse_answer(data: bytes) -> Answer:
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
        hex_length, _, rest = rest.partition(b"\r\n")
        length = int(hex_length, 16)
        if length == 0:
            return Answer(status, headers, body)
        body += rest[:length]
        rest = rest[length + 2 :]
    return Answer(0, headers, body)


class DaemonThread:
    """A daemon that runs in a thread."""

    def __init__(self, daemon: coordinator.Coordinator | gateway.Gateway):
        self.daemon = daemon
        self.thread = threading.Thread(target=daemon.process.serve_until_stopped)
        self.thread.start()

    @property
    def is_running(self) -> bool:
        """Whether the daemon's loop still runs."""
        return self.thread.is_alive()

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a function in the daemon's loop and return its result."""
        done = threading.Event()
        result: list[Any] = []
        self.daemon.process.loop.post(lambda: (result.append(function()), done.set()))
        if not done.wait(TIMEOUT_SECONDS):
            raise AssertionError(f"the daemon's loop ran no function within {TIMEOUT_SECONDS} s")
        return result[0]

    def stop(self) -> None:
        """Stop without draining, as a kill does."""
        self.daemon.process.loop.stop()
        self.thread.join(TIMEOUT_SECONDS)


class Fleet:
    """A deployment on loopback: an IP address for each host, and the same ports on all of them.

    Parameters
    ----------
    controls, entries : int
        Number of control hosts and of entries.
    zones : tuple of str
        Availability zones that the settings name; empty to take any name.
    """

    def __init__(self, *, controls: int = 3, entries: int = 2, zones: tuple[str, ...] = ()):
        self._zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.null_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.controls: list[DaemonThread] = []
        self.entries: list[DaemonThread] = []
        self.servers: list[fake_server.FakeServer] = []
        self._addresses = [f"127.0.0.{index + 2}" for index in range(controls + entries)]
        self._ports = ReservedPorts(self._addresses, PORTS_PER_HOST)
        self._first_inner_port = self._ports.first_port
        (
            self._operators_port,
            self._callers_port,
            self._directory_port,
            self._readiness_port,
            self._metrics_port,
        ) = range(self._first_inner_port + 2, self._first_inner_port + PORTS_PER_HOST)
        self.seeds = [f"{address}:{self._operators_port}" for address in self._addresses[:controls]]
        for index in range(controls):
            self.controls.append(self.start_control(index, first_start=True))
        for index in range(entries):
            self.entries.append(self.start_entry(controls + index))

    def settings(self, index: int, *, first_start: bool = False) -> node_settings.NodeSettings:
        """Return the settings of a host."""
        address = self._addresses[index]
        return node_settings.NodeSettings(
            name=f"host-{index}",
            availability_zone="a",
            availability_zones=self._zones,
            address=address,
            inner_ports=(self._first_inner_port, self._first_inner_port + 1),
            seeds=tuple(self.seeds),
            first_start=first_start,
            data_folder=str(self.folder / f"data-{index}"),
            listen=node_settings.ListenSettings(
                callers=f"{address}:{self._callers_port}",
                readiness=f"{address}:{self._readiness_port}",
                directory=f"{address}:{self._directory_port}",
                operators=f"{address}:{self._operators_port}",
            ),
            bounds=node_settings.BoundSettings(
                evacuate_milliseconds=5000.0,
                announce_milliseconds=fake_server.ANNOUNCE_INTERVAL_SECONDS * 1000,
                accept_seconds=0.4,
                stop_seconds=6.0,
            ),
        )

    def metrics_address(self, index: int) -> str:
        """Return an address at which a host may serve its metrics; the fleet's daemons don't."""
        return f"{self._addresses[index]}:{self._metrics_port}"

    def start_control(self, index: int, *, first_start: bool = False) -> DaemonThread:
        """Start the control daemon of a host."""
        pathlib.Path(self.folder / f"data-{index}").mkdir(exist_ok=True)
        daemon = coordinator.Coordinator(
            self.settings(index, first_start=first_start),
            platform_dialect.PlatformDialect(),
            log_descriptor=self.null_descriptor,
        )
        return DaemonThread(daemon)

    def start_entry(self, index: int) -> DaemonThread:
        """Start the entry daemon of a host."""
        daemon = gateway.Gateway(
            self.settings(index),
            platform_dialect.PlatformDialect(),
            log_descriptor=self.null_descriptor,
        )
        return DaemonThread(daemon)

    def add_control(self) -> DaemonThread:
        """Start a control daemon on a new host that is no seed and has an empty disk."""
        self._addresses.append(f"127.0.0.{len(self._addresses) + 2}")
        self._ports.reserve(self._addresses[-1])
        self.controls.append(self.start_control(len(self._addresses) - 1))
        return self.controls[-1]

    def restart_all(self, *, lost_disk: int | None = None) -> None:
        """Stop all daemons as kills do, and start them again.

        Parameters
        ----------
        lost_disk : int or None
            Control host whose data is deleted meanwhile.
        """
        for daemon_thread in (*self.controls, *self.entries):
            daemon_thread.daemon.process.loop.stop()
        for daemon_thread in (*self.controls, *self.entries):
            daemon_thread.stop()
        if lost_disk is not None:
            self.delete_data(lost_disk)
        control_count = len(self.controls)
        self.controls = [self.start_control(index) for index in range(control_count)]
        self.entries = [
            self.start_entry(control_count + index) for index in range(len(self.entries))
        ]

    def stop_controls(self, *indexes: int) -> None:
        """Stop control daemons as kills do."""
        for index in indexes:
            self.controls[index].stop()

    def start_controls(self, *indexes: int) -> None:
        """Start control daemons that were stopped."""
        for index in indexes:
            self.controls[index] = self.start_control(index)

    def delete_data(self, index: int) -> None:
        """Delete the data of a host, as the loss of its disk does."""
        shutil.rmtree(self.folder / f"data-{index}")

    def add_server(
        self,
        name: str,
        service: str,
        behaviour: fake_server.Behaviour | None = None,
        *,
        zone: str = "a",
    ) -> fake_server.FakeServer:
        """Start a fake server and wait until all entries have its announcement."""
        server = fake_server.FakeServer(name, service, self.seeds, behaviour, zone=zone)
        self.servers.append(server)
        for entry in self.entries:
            wait_for(
                lambda entry=entry: entry.daemon.registry.find_server(name), f"{name} at an entry"
            )
        return server

    def declare(self, version: int, *, address: str = "", **changes: Any) -> Answer:
        """Submit a declaration until a control host acknowledges it."""
        document = make_document(version, **changes)
        body = json.dumps(document).encode()
        control_addresses = [address] if address else self.seeds

        def _declare_once() -> Answer | None:
            for control_address in control_addresses:
                try:
                    answer = send_request(
                        control_address, "PUT", "/v1/config", body=body, timeout=3.0
                    )
                except OSError:
                    continue
                if answer.status == 200:
                    return answer
            return None

        return wait_for(_declare_once, f"the acknowledgement of version {version}")

    def order_zone(self, method: str, zone: str, *, addresses: list[str] | None = None) -> float:
        """Send an order about a zone to control hosts in turn until one acknowledges it.

        Returns
        -------
        float
            Seconds from the first sending to the acknowledgement.
        """
        started_at = time.monotonic()
        for address in itertools.cycle(addresses or self.seeds):
            seconds = time.monotonic() - started_at
            if seconds > ORDER_SECONDS:
                break
            if self.send_order(method, zone, address) == 200:
                return time.monotonic() - started_at
            time.sleep(ORDER_RETRY_SECONDS)
        raise AssertionError(f"{method} of zone {zone} was not acknowledged in {ORDER_SECONDS} s")

    def send_order(self, method: str, zone: str, address: str) -> int:
        """Send an order about a zone once; return the status, 0 for none within a second."""
        try:
            answer = send_request(
                address, method, f"/v1/evacuation/{zone}", timeout=ORDER_TIMEOUT_SECONDS
            )
        except OSError:
            return 0
        return answer.status

    def evacuated_at_entries(self) -> list[tuple[str, ...]]:
        """Return the zones that each entry knows to be evacuated."""
        return [entry.daemon.evacuated_zones for entry in self.entries]

    def wait_in_force(self, version: int) -> None:
        """Wait until a version, or a later one, is in force at all entries."""
        for entry in self.entries:
            wait_for(
                lambda entry=entry: (
                    entry.daemon.declaration and entry.daemon.declaration.version >= version
                ),
                f"version {version} at an entry",
            )

    def caller_address(self, index: int = 0) -> str:
        """Return the address at which an entry serves callers."""
        return self.entries[index].daemon.process.settings.listen.callers

    def close(self) -> None:
        """Stop all daemons and servers and delete all data."""
        for daemon_thread in (*self.entries, *self.controls):
            daemon_thread.stop()
        for server in self.servers:
            server.close()
        self._ports.close()
        os.close(self.null_descriptor)
        # A control host that is stopped as by a kill may still rename a file of its folder.
        wait_for(self._delete_folder, "the end of writes to the data")

    def _delete_folder(self) -> bool:
        shutil.rmtree(self.folder, ignore_errors=True)
        return not self.folder.exists()


class FleetTestCase(unittest.TestCase):
    """Starts a deployment for each test and sends requests with unique ids."""

    def setUp(self):
        self.request_numbers = itertools.count()

    def make_fleet(self, **options) -> Fleet:
        fleet = Fleet(**options)
        self.addCleanup(fleet.close)
        return fleet

    def start_serving(self, **options) -> Fleet:
        fleet = self.make_fleet(**options)
        fleet.declare(1)
        fleet.wait_in_force(1)
        return fleet

    def send(
        self, fleet: Fleet, route: str, *, address: str = "", body: bytes = b"body", **headers
    ) -> Answer:
        all_headers = {
            "x-attempt-id": f"id{next(self.request_numbers)}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
        }
        if route == "stream":
            all_headers["x-token-count"] = "1000,100"
        all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        method = "GET" if route == "read" else "POST"
        body = b"" if method == "GET" else body
        return send_request(
            address or fleet.caller_address(), method, f"/{route}/x", headers=all_headers, body=body
        )

    def send_load(
        self, fleet: Fleet, routes: tuple[str, ...], *, rate: float, seconds: float
    ) -> dict[str, list[Answer]]:
        """Send requests to each route at a steady rate, to all entries in turn.

        Returns
        -------
        dict of str to list of Answer
            Answers by route, in the order of sending.
        """
        started_at = time.monotonic()
        results: dict[str, list[futures.Future]] = {route: [] for route in routes}
        with futures.ThreadPoolExecutor(LOAD_THREAD_COUNT) as pool:
            for number in range(int(rate * seconds)):
                time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
                address = fleet.caller_address(number % len(fleet.entries))
                for route in routes:
                    results[route].append(pool.submit(self.send, fleet, route, address=address))
        return {
            route: [result.result() for result in route_results]
            for route, route_results in results.items()
        }


def make_document(version: int, **changes: Any) -> dict[str, Any]:
    """Return a declaration with one streaming, one idempotent and one non-idempotent route."""
    engine = {**test_declarations.ENGINE, "kv_tokens": 100_000}
    document = {
        "version": version,
        "routes": [
            _make_route("stream", "streaming", "llm", 10000, resumable=True, gap_slo_ms=250),
            _make_route("read", "idempotent", "desk", 5000, attempts=2),
            _make_route("hold", "non_idempotent", "desk", 5000),
        ],
        "services": [{"name": "llm", "engine": engine}, {"name": "desk"}],
        "limits": {},
        "tenants": [{"name": "w", "api_keys": ["k1"], "priority": 1}],
    }
    document.update(changes)
    return document


def _make_route(name: str, kind: str, service: str, timeout: int, **changes: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind != "non_idempotent" else 1,
    }
    return {**route, **changes}
