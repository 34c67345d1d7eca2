"""Runs the plan of a soak: hosts, servers, callers and an operator on a network of their own."""

from __future__ import annotations

import contextlib
import itertools
import json
import pathlib
import threading
import time
from typing import Any

import attrs

from bench.fault_soak import callers, hosts, servers
from bench.fault_soak import history as histories
from bench.fault_soak import plan as plans
from flamingoramp.platform.tests import fake_server
from flamingoramp.platform.tests import fleet as platform_fleets
from flamingoramp.runtime import node_settings

CALLER_COUNT = 24
# Requests around a stop are prepared this long before it, in seconds.
PREPARE_SECONDS = 1.2
SAMPLE_SECONDS = 0.5
STALL_SECONDS = 0.5
# A server that has left goes on serving for this time, and until it has no more work.
LEAVING_SECONDS = 6.0
START_SECONDS = 20.0
# After the last disruption: until bounds hold again, and for the last requests.
CALM_SECONDS = 5.5
PROBE_COUNT = 3
OPERATOR_TIMEOUT_SECONDS = 1.0
OPERATOR_RETRY_SECONDS = 0.1
SERVER_PORT_OFFSET = 8


class StartError(Exception):
    """The deployment did not start."""


def make_document(version: int) -> dict[str, Any]:
    """Return the declaration of a version, with its own route and that of the version before."""
    document = platform_fleets.make_document(version)
    read_route = next(route for route in document["routes"] if route["name"] == "read")
    for number in (version - 1, version):
        name = f"mark-{number}"
        document["routes"].append({**read_route, "name": name, "path_prefix": f"/{name}/"})
    document["limits"] = {"max_header_bytes": plans.MAX_HEADER_BYTES}
    document["tenants"] = [
        {"name": name, "api_keys": [key], "priority": 1}
        for key, (name, _) in plans.WORKSPACES.items()
    ]
    return document


class Scenario:
    """A run of a plan.

    Parameters
    ----------
    plan : plans.Plan
    folder : pathlib.Path
        Folder of settings, data and logs.
    network : int
        Third number of all addresses, and part of their ports.
    """

    def __init__(self, plan: plans.Plan, folder: pathlib.Path, network: int):
        self._plan = plan
        self._network = network
        self._first_port = 25_000 + 20 * network
        self._begin = time.monotonic()
        self.history = histories.History(plan.seed)
        self._ends = threading.Event()
        self._request_numbers = itertools.count(1)
        self._server_numbers = itertools.count(1)
        self._version = 0
        self._servers: dict[str, list[servers.SoakServer]] = {}
        self._leaving: list[servers.SoakServer] = []
        self._errors: list[BaseException] = []
        self._threads: list[threading.Thread] = []
        seeds = tuple([f"{self._address(n)}:{self._port(2)}" for n in range(plans.CONTROL_COUNT)])
        self._control_addresses = list(seeds)
        self._controls = [
            self._make_host("control", n, n, folder) for n in range(plans.CONTROL_COUNT)
        ]
        self._entries = [
            self._make_host("entry", n, plans.CONTROL_COUNT + n, folder)
            for n in range(plan.entry_count)
        ]
        self.history.grace_seconds = self._entries[0].settings.bounds.stop_seconds

    def _address(self, index: int) -> str:
        return f"127.1.{self._network}.{index + 1}"

    def _port(self, offset: int) -> int:
        return self._first_port + offset

    def _make_host(self, role: str, number: int, index: int, folder: pathlib.Path) -> hosts.Host:
        address = self._address(index)
        data_folder = folder / f"{role}-{number}" / "data"
        listen = node_settings.ListenSettings(
            operators=f"{address}:{self._port(2)}",
            callers=f"{address}:{self._port(3)}",
            directory=f"{address}:{self._port(4)}",
            readiness=f"{address}:{self._port(5)}",
            metrics=f"{address}:{self._port(6)}",
        )
        settings = node_settings.NodeSettings(
            name=f"{role}-{number}",
            availability_zone="a",
            address=address,
            inner_ports=(self._port(0), self._port(1)),
            seeds=tuple(self._control_addresses),
            first_start=role == "control",
            data_folder=str(data_folder) if role == "control" else "",
            listen=listen,
            bounds=node_settings.BoundSettings(
                announce_milliseconds=fake_server.ANNOUNCE_INTERVAL_SECONDS * 1000
            ),
        )
        host = hosts.Host(
            settings.name,
            role,
            settings,
            folder / settings.name,
            history=self.history,
            begin=self._begin,
        )
        if role == "control":
            data_folder.mkdir()
        return host

    def now(self) -> float:
        """Return the time in the history."""
        return time.monotonic() - self._begin

    def run(self) -> None:
        """Run the plan to its end.

        Raises
        ------
        StartError
            The deployment serves nothing in time.
        """
        self._start()
        workers = self._start_threads()
        for worker in workers:
            worker.join()
        self.history.calm_at = self.now()
        time.sleep(CALM_SECONDS)
        self._probe()
        self._ends.set()
        for thread in self._threads:
            thread.join()
        for host in (*self._entries, *self._controls):
            host.sample()
        finishing = [
            threading.Thread(target=host.finish) for host in (*self._entries, *self._controls)
        ]
        for thread in finishing:
            thread.start()
        for thread in finishing:
            thread.join()
        self.history.ended_at = self.now()
        if self._errors:
            raise self._errors[0]

    def close(self) -> None:
        """Kill all processes and stop all servers."""
        self._ends.set()
        with contextlib.ExitStack() as stack:
            stack.callback(self._close_servers)
            for thread in self._threads:
                stack.callback(thread.join)
            for host in (*self._entries, *self._controls):
                stack.callback(host.close)

    def _close_servers(self) -> None:
        with contextlib.ExitStack() as stack:
            for server in itertools.chain(self._leaving, *self._servers.values()):
                stack.callback(server.close)

    def _spawn(self, function: Any, *arguments: Any) -> threading.Thread:
        def _run() -> None:
            try:
                function(*arguments)
            except BaseException as error:
                self._errors.append(error)
                self._ends.set()

        thread = threading.Thread(target=_run)
        self._threads.append(thread)
        thread.start()
        return thread

    def _start(self) -> None:
        for host in (*self._controls, *self._entries):
            host.start()
        for service, count in self._plan.server_counts.items():
            self._servers[service] = [self._make_server(service) for _ in range(count)]
        for host in self._controls:
            # Only the first start forms the cluster.
            host.settings = attrs.evolve(host.settings, first_start=False)
        self._declare()
        deadline = self.now() + START_SECONDS
        for entry in self._entries:
            for route in ("read", "stream"):
                while not self._is_served(entry, route):
                    if self.now() > deadline:
                        raise StartError(f"{entry.name} serves no {route} request")
                    time.sleep(0.1)
        self.history.requests.clear()
        self.history.runs.clear()

    def _is_served(self, entry: hosts.Host, route: str) -> bool:
        connection = callers.connect(entry.settings.listen.callers)
        if connection is None:
            return False
        request = self._send(connection, plans.Call(0.0, 0, route), entry)
        connection.close()
        return request.status == 200

    def _start_threads(self) -> list[threading.Thread]:
        """Start all disruptions and the traffic; return the threads that disrupt."""
        started_at = self.now()
        workers = [
            self._spawn(self._run_steps, host, steps, started_at)
            for host, steps in zip(
                (*self._controls, *self._entries),
                (*self._plan.control_steps, *self._plan.entry_steps),
                strict=True,
            )
        ]
        workers.append(self._spawn(self._run_changes, started_at))
        workers.append(self._spawn(self._run_departures, started_at))
        for number in range(CALLER_COUNT):
            self._spawn(self._run_caller, self._plan.calls[number::CALLER_COUNT], started_at)
        self._spawn(self._run_samples)
        self._spawn(self._watch_stalls)
        return workers

    # Disruptions.

    def _run_steps(
        self, host: hosts.Host, steps: tuple[plans.Step, ...], started_at: float
    ) -> None:
        is_control = host in self._controls
        first, last = plans.STABLE_CORE_SECONDS
        for step in steps:
            host.wait(step.delay, self._ends)
            at = self.now() - started_at
            if is_control and first < at < last:
                host.wait(last - at, self._ends)
                at = self.now() - started_at
            if at > plans.DISRUPTED_SECONDS or self._ends.is_set():
                break
            if isinstance(step.disruption, plans.Stop) and step.disruption.calls:
                stop_at = self.now() + PREPARE_SECONDS
                for call in step.disruption.calls:
                    self._spawn(self._run_stop_call, host, call, stop_at)
                host.wait(PREPARE_SECONDS, self._ends)
            host.disrupt(step.disruption)
        # A process that ends by itself is started again until the end.
        self._spawn(host.wait, float("inf"), self._ends)

    def _run_changes(self, started_at: float) -> None:
        for at in self._plan.changes:
            self._ends.wait(max(0.0, started_at + at - self.now()))
            if self._ends.is_set():
                return
            self._declare()
            control = self._controls[self._version % len(self._controls)]
            self._read(control)

    def _run_departures(self, started_at: float) -> None:
        for departure in self._plan.departures:
            self._ends.wait(max(0.0, started_at + departure.at - self.now()))
            if self._ends.is_set():
                return
            self._leave(departure)

    def _leave(self, departure: plans.Departure) -> None:
        """Let a server leave, and another one come."""
        active = self._servers[departure.service]
        server = active.pop(0)
        self._leaving.append(server)
        server.drain()
        server.stop_announcing()
        method, body = "DELETE", b""
        if not departure.deletes:
            method, body = "PUT", server.make_announcement()
        acknowledged_at = None
        # A server exits some seconds later also without an acknowledgement.
        deadline = self.now() + LEAVING_SECONDS
        for address in itertools.cycle(self._control_addresses):
            if self.now() > deadline or self._ends.is_set():
                break
            if self._call(address, method, f"/v1/instances/{server.name}", body).status == 200:
                acknowledged_at = self.now()
                break
            time.sleep(OPERATOR_RETRY_SECONDS)
        self.history.departures.append(histories.Departure(server.name, acknowledged_at))
        self._spawn(self._close_server, server)
        self._ends.wait(departure.replacement_delay)
        active.append(self._make_server(departure.service))

    def _close_server(self, server: servers.SoakServer) -> None:
        self._ends.wait(LEAVING_SECONDS)
        while server.is_working and not self._ends.is_set():
            self._ends.wait(hosts.POLL_SECONDS)
        if not self._ends.is_set():
            self._leaving.remove(server)
            server.close()

    def _make_server(self, service: str) -> servers.SoakServer:
        number = next(self._server_numbers)
        return servers.SoakServer(
            f"{service}-{number}",
            service,
            self._control_addresses,
            listen=f"{self._address(99 + number)}:{self._port(SERVER_PORT_OFFSET)}",
            history=self.history,
            begin=self._begin,
        )

    # The operator.

    def _call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> platform_fleets.Answer:
        """Call a control host; the status is 0 if there is no whole answer in time."""
        try:
            return platform_fleets.send_request(
                address, method, path, body=body, timeout=OPERATOR_TIMEOUT_SECONDS
            )
        except (OSError, ValueError, IndexError):
            return platform_fleets.Answer(0, {}, b"")

    def _declare(self) -> None:
        """Send the next version until a control host acknowledges it."""
        self._version += 1
        change = histories.Change(self._version, self.now())
        self.history.changes.append(change)
        body = json.dumps(make_document(change.version)).encode()
        deadline = self.now() + START_SECONDS
        for address in itertools.cycle(self._control_addresses):
            if self._call(address, "PUT", "/v1/config", body).status == 200:
                change.acknowledged_at = self.now()
                return
            if self.now() > deadline or self._ends.is_set():
                return
            time.sleep(OPERATOR_RETRY_SECONDS)

    def _read(self, control: hosts.Host) -> None:
        """Read the declaration back."""
        read = histories.Read(control.name, self.now(), None)
        answer = self._call(control.settings.listen.operators, "GET", "/v1/config")
        if answer.status == 200:
            document = json.loads(answer.body)
            read.version = document["version"]
            read.is_unchanged = document == make_document(read.version)
        self.history.reads.append(read)

    def _probe(self) -> None:
        """Send requests on the newest and the last dropped route to all entries, and read back."""
        for _ in range(PROBE_COUNT):
            for entry in self._entries:
                for age in (0, 1, 2):
                    connection = callers.connect(entry.settings.listen.callers)
                    if connection is not None:
                        self._send(connection, plans.Call(0.0, 0, "mark", age=age), entry)
                        connection.close()
            for control in self._controls:
                self._read(control)

    # Callers.

    def _send(
        self, connection: callers.Connection, call: plans.Call, entry: hosts.Host
    ) -> histories.Request:
        version = 0
        if call.route == "mark":
            version = max(1, self._version - call.age)
        request = histories.Request(
            id=f"{self._plan.seed}-{next(self._request_numbers)}",
            entry=entry.name,
            route=call.route,
            may_repeat=call.route != "hold",
            limit=call.deadline,
            version=version,
        )
        self.history.requests.append(request)
        callers.send(connection, call, request, self._begin)
        return request

    def _connect(
        self, entry: hosts.Host, call: plans.Call
    ) -> tuple[hosts.Host, callers.Connection] | None:
        """Connect to an entry or, if it refuses, to the ones after it."""
        first = self._entries.index(entry)
        for offset in range(len(self._entries)):
            other = self._entries[(first + offset) % len(self._entries)]
            address = other.settings.listen.callers
            connection = callers.connect(address, has_small_buffer=call.read_pause > 0)
            if connection is not None:
                return other, connection
        return None

    def _run_caller(self, calls: tuple[plans.Call, ...], started_at: float) -> None:
        """Send requests in turn, on kept connections where there is one."""
        kept: dict[str, callers.Connection] = {}
        for call in calls:
            self._ends.wait(max(0.0, started_at + call.at - self.now()))
            if self._ends.is_set():
                break
            entry = self._entries[call.entry]
            connection = kept.pop(entry.name, None)
            if connection is not None and (not connection.is_idle or call.read_pause):
                connection.close()
                connection = None
            if connection is None:
                found = self._connect(entry, call)
                if found is None:
                    continue
                entry, connection = found
            request = self._send(connection, call, entry)
            if request.end == "answered" and connection.sock.fileno() >= 0:
                if entry.name in kept:
                    kept[entry.name].close()
                kept[entry.name] = connection
        for connection in kept.values():
            connection.close()

    def _run_stop_call(self, entry: hosts.Host, call: plans.Call, stop_at: float) -> None:
        """Send one request around a stop of its entry."""
        connection = None
        if call.is_kept:
            connection = callers.connect(entry.settings.listen.callers)
            if connection is not None:
                first = plans.Call(0.0, call.entry, "read")
                if self._send(connection, first, entry).end != "answered":
                    connection = None
        time.sleep(max(0.0, stop_at + call.at - self.now()))
        if connection is not None and (connection.sock.fileno() < 0 or not connection.is_idle):
            connection.close()
            connection = None
        if connection is None:
            found = self._connect(entry, call)
            if found is None:
                return
            entry, connection = found
        self._send(connection, call, entry)
        connection.close()

    def _watch_stalls(self) -> None:
        """Record when this process itself doesn't run."""
        last_at = self.now()
        while not self._ends.wait(hosts.POLL_SECONDS):
            now = self.now()
            if now - last_at > STALL_SECONDS:
                self.history.stalls.append((last_at, now))
            last_at = now

    def _run_samples(self) -> None:
        while not self._ends.wait(SAMPLE_SECONDS):
            for host in (*self._entries, *self._controls):
                host.sample()
