"""Soak: real control processes are killed right after they have acknowledged something.

Servers announce themselves and depart, an operator submits versions and evacuates zones. Between
and right after the calls, processes are killed, all at once or some, suspended, and restarted, one
at times with an empty disk. What was acknowledged must be known to every host afterwards.

    python -m bench.acknowledgements --seeds=50

With ``--disruption``, each host in turn is disrupted in one way of
`flamingoramp.platform.tests.control_disruptions`, while operators call all the while:

    python -m bench.acknowledgements --seeds=24 --disruption=fill_disk
"""

from __future__ import annotations

import os
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable
from concurrent import futures
from typing import Any

import fire

from flamingoramp.platform.tests import control_disruptions, control_hosts
from flamingoramp.protocol import messages
from flamingoramp.runtime import clock, transport
from flamingoramp.runtime import loop as loops

ROUND_COUNT = 5
MAX_CALLS_PER_ROUND = 8
ZONES = ("a", "b")
# The file of servers of a control host is written within this time.
SERVER_RECORDS_SECONDS = 1.3
# Time within which hosts have recovered from the disruptions of a round. A host that has lost its
# disk is replaced within 8 s, and votes some seconds later.
RECOVERY_SECONDS = 30.0
WORKER_COUNT = 4
# Networks of hosts. Seeds that run at the same time have processes, and networks, of their own.
FIRST_NETWORK = 60
NETWORK_COUNT = 100


class ViolationError(Exception):
    """What was acknowledged is not known to a host."""


class Observer:
    """Receives what control hosts publish, as an entry does."""

    def __init__(self):
        self._loop = loops.Loop()
        self._updates: dict[str, messages.ClusterUpdate] = {}
        self._addresses: dict[Any, str] = {}
        self._transport = transport.Transport(
            self._loop,
            name="observer",
            listen="127.0.0.1:0",
            clock=clock.HybridClock(),
            deliver=self._receive,
            on_protocol_error=lambda _error: None,
        )
        self._thread = threading.Thread(target=self._loop.run)
        self._thread.start()

    def fetch(self, host: control_hosts.ControlHost) -> messages.ClusterUpdate:
        """Return the records and the evacuated zones that a host in contact with its leader has."""

        def _subscribe() -> None:
            self._transport.disconnect(host.inner)
            self._updates.pop(host.inner, None)
            self._transport.send(host.inner, messages.Subscribe("observer"))

        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline:
            self._loop.post(_subscribe)
            time.sleep(0.3)
            update = self._updates.get(host.inner)
            if update is not None and update.confirmed:
                return update
        raise ViolationError(f"{host.inner} published nothing for {RECOVERY_SECONDS:.0f} s")

    def close(self) -> None:
        """Stop observing."""
        self._loop.stop()
        self._thread.join()
        self._transport.close()
        self._loop.close()

    def _receive(self, _sender: str, message: Any, connection: transport.Connection) -> None:
        if isinstance(message, messages.ClusterUpdate):
            self._updates.setdefault(connection.address, message)


class Scenario:
    """Control hosts with calls and disruptions from one seed."""

    def __init__(self, seed: int, folder: pathlib.Path):
        self._rng = random.Random(f"acknowledgements/{seed}")
        host_count = self._rng.choice((3, 5))
        network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
        self._hosts = [
            control_hosts.ControlHost(number, host_count, folder, network=network)
            for number in range(host_count)
        ]
        self._observer = Observer()
        self._server_count = 0
        self._available: list[int] = []
        self._sequence = 1
        self._departed: set[str] = set()
        self._version = self._acknowledged_version = 0
        # The states of a zone that its acknowledged order, and those without an answer, allow.
        self._zone_states: dict[str, set[bool]] = {zone: {False} for zone in ZONES}
        self._has_lost_disk = False

    def run(self) -> None:
        """Run all rounds and check what was acknowledged after each."""
        for host in self._hosts:
            host.start(first_start=True)
        self._wait_until_declared()
        for _ in range(ROUND_COUNT):
            for _ in range(self._rng.randint(2, 4)):
                self._announce()
            time.sleep(SERVER_RECORDS_SECONDS)
            for _ in range(self._rng.randint(1, MAX_CALLS_PER_ROUND)):
                self._rng.choice((self._depart, self._depart, self._declare, self._order_zone))()
            time.sleep(self._rng.choice((0.0, 0.002, 0.02, 0.3)))
            self._disrupt()
            self._wait_until_declared()
            self._check()

    def close(self) -> None:
        """Kill all processes."""
        for host in self._hosts:
            if host.process is not None:
                host.kill()
        self._observer.close()

    # Calls.

    def _call(self, action: Callable[[control_hosts.ControlHost], bool]) -> bool:
        """Call hosts in turn until one acknowledges; False if none does."""
        return any(action(host) for host in self._rng.sample(self._hosts, len(self._hosts)))

    def _announce(self) -> None:
        number = self._server_count
        self._server_count += 1
        body = control_hosts.make_announcement("llm", number, self._sequence)
        if self._call(lambda host: host.call_as_server("PUT", f"s{number}", body)):
            self._available.append(number)

    def _depart(self) -> None:
        if not self._available:
            return
        number = self._available.pop(self._rng.randrange(len(self._available)))
        method, body = "DELETE", b""
        if self._rng.random() < 0.5:
            self._sequence += 1
            method = "PUT"
            body = control_hosts.make_announcement("llm", number, self._sequence, is_leaving=True)
        if self._call(lambda host: host.call_as_server(method, f"s{number}", body)):
            self._departed.add(f"s{number}")

    def _declare(self) -> None:
        version = self._version = self._version + self._rng.randint(1, 3)
        if self._call(lambda host: host.declare(version)):
            self._acknowledged_version = version

    def _order_zone(self) -> None:
        zone, evacuated = self._rng.choice(ZONES), self._rng.random() < 0.5
        if self._call(lambda host: host.order_zone(zone, evacuated=evacuated)):
            self._zone_states[zone] = {evacuated}
        else:
            self._zone_states[zone].add(evacuated)

    def _wait_until_declared(self) -> None:
        deadline = time.monotonic() + RECOVERY_SECONDS
        target = self._acknowledged_version
        while time.monotonic() < deadline:
            self._declare()
            if self._acknowledged_version > target:
                return
            time.sleep(0.2)
        raise ViolationError(f"no version was acknowledged for {RECOVERY_SECONDS:.0f} s")

    # Disruptions.

    def _disrupt(self) -> None:
        self._rng.choice(
            (self._kill_all, self._kill_all, self._kill_some, self._lose_disk, self._suspend)
        )()

    def _kill_all(self) -> None:
        self._kill_and_restart(self._hosts)

    def _kill_some(self) -> None:
        self._kill_and_restart(self._rng.sample(self._hosts, self._rng.randint(1, 2)))

    def _lose_disk(self) -> None:
        """Kill all hosts; the first time, one of them loses its disk and is replaced."""
        lost = None if self._has_lost_disk else self._rng.choice(self._hosts)
        self._has_lost_disk = True
        self._kill_and_restart(self._hosts, lost=lost)

    def _kill_and_restart(
        self,
        hosts: list[control_hosts.ControlHost],
        lost: control_hosts.ControlHost | None = None,
    ) -> None:
        for host in hosts:
            host.process.kill()
        for host in hosts:
            host.kill()
        if lost is not None:
            lost.lose_disk()
        for host in self._rng.sample(hosts, len(hosts)):
            time.sleep(self._rng.choice((0.0, 0.0, 0.2, 0.6)))
            host.start()

    def _suspend(self) -> None:
        """Suspend some hosts, and kill one of the others meanwhile."""
        suspended, killed = self._rng.sample(self._hosts, 2)
        suspended.stop(stopped=True)
        time.sleep(self._rng.uniform(0.2, 2.0))
        killed.kill()
        suspended.stop(stopped=False)
        killed.start()

    # Checks.

    def _check(self) -> None:
        for host in self._hosts:
            update = self._observer.fetch(host)
            states = {record.server: record for record in update.servers}
            for server in self._departed:
                record = states.get(server)
                if record is not None and not (record.leaving or record.gone):
                    raise ViolationError(f"{server} departed, but {host.inner} has {record}")
            for zone, allowed in self._zone_states.items():
                if (zone in update.evacuated_zones) not in allowed:
                    raise ViolationError(f"zone {zone} is {allowed}, not {update.evacuated_zones}")
            if update.version < self._acknowledged_version:
                raise ViolationError(f"{host.inner} has version {update.version}")
            version = host.read_version()
            if version is not None and version < self._acknowledged_version:
                raise ViolationError(f"{host.inner} reads version {version}")


def run_seed(seed: int, disruption: str = "") -> str:
    """Run a scenario with one seed; return its traceback, empty if it passed."""
    folder = pathlib.Path(tempfile.mkdtemp())
    if disruption:
        scenario = control_disruptions.Scenario(
            seed,
            folder,
            host_count=3 if seed % 2 else 5,
            network=FIRST_NETWORK + os.getpid() % NETWORK_COUNT,
        )
    else:
        scenario = Scenario(seed, folder)
    try:
        if disruption:
            scenario.run(getattr(scenario, disruption))
            if scenario.excused_count:
                print(
                    f"seed {seed}: {scenario.excused_count} failed calls beside waiting processes"
                )
        else:
            scenario.run()
    except Exception:
        return f"{traceback.format_exc(limit=-3)}logs: {folder}"
    finally:
        scenario.close()
    shutil.rmtree(folder, ignore_errors=True)
    return ""


def main(
    seeds: int = 50, first: int = 1, disruption: str = "", workers: int = WORKER_COUNT
) -> None:
    """Run a range of seeds; print each failure, and exit with 1 if there is any.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first one.
    disruption : str
        ``fill_disk``, ``fill_disk_and_kill`` or ``restart``; empty: kills after acknowledgements.
    workers : int
        Number of seeds that run at the same time.
    """
    started_at = time.monotonic()
    failed = []
    with futures.ProcessPoolExecutor(workers) as pool:
        results = {
            pool.submit(run_seed, seed, disruption): seed for seed in range(first, first + seeds)
        }
        for result in futures.as_completed(results):
            if failure := result.result():
                failed.append(results[result])
                print(f"seed {failed[-1]}\n{failure}", flush=True)
    seconds = time.monotonic() - started_at
    print(f"{seeds - len(failed)} passed, {len(failed)} failed {sorted(failed)} ({seconds:.0f} s)")
    sys.exit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
