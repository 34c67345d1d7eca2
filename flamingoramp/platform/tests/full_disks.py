"""Real control processes whose disks are full one after another, while operators submit changes."""

from __future__ import annotations

import pathlib
import random
import threading
import time

import attrs

from flamingoramp.platform.tests import control_hosts

# The operators' bound of an acknowledgement.
ACKNOWLEDGEMENT_SECONDS = 4.0
START_SECONDS = 30.0
CALL_INTERVAL_SECONDS = 0.08
# A host tries its disk at this interval; until then it has room, and refuses calls.
STORAGE_RETRY_SECONDS = 0.5


class ViolationError(AssertionError):
    """A process has ended, or a change was refused, lost or not acknowledged in time."""


@attrs.frozen
class Call:
    """A submitted version: where, when, and the status of the answer (0 for none in time)."""

    host: control_hosts.ControlHost
    version: int
    sent_at: float
    ended_at: float
    status: int


class Scenario:
    """Control hosts, an operator at each of them, and disruptions from one seed."""

    def __init__(self, seed: int, folder: pathlib.Path, *, host_count: int, network: int):
        self._rng = random.Random(f"full-disks/{seed}")
        self.hosts = [
            control_hosts.ControlHost(number, host_count, folder, network=network)
            for number in range(host_count)
        ]
        self.calls: list[Call] = []
        self._version = 0
        self._lock = threading.Lock()
        self._is_over = False

    @property
    def acknowledged_version(self) -> int:
        """Highest version that was acknowledged."""
        return max((call.version for call in self.calls if call.status == 200), default=0)

    def run(self, *, kills: bool) -> None:
        """Fill each disk in turn, at times with a kill right after, and check after the last.

        Raises
        ------
        ViolationError
        """
        for host in self.hosts:
            host.start(first_start=True)
        for host in self.hosts:
            self.wait_until_acknowledged(host, START_SECONDS)
        operators = [threading.Thread(target=self._operate, args=(host,)) for host in self.hosts]
        for operator in operators:
            operator.start()
        try:
            for host in self._rng.sample(self.hosts, len(self.hosts)):
                self._fill(host, is_killed=kills and self._rng.random() < 0.5)
        finally:
            self._is_over = True
            for operator in operators:
                operator.join()
        for host in self.hosts:
            if host.process.poll() is not None:
                raise ViolationError(f"{host.operators} has ended: {host.process.returncode}")
            self.wait_until_acknowledged(host, ACKNOWLEDGEMENT_SECONDS)
        self._check_kept()

    def wait_until_acknowledged(self, host: control_hosts.ControlHost, seconds: float) -> None:
        """Submit versions to a host until one is acknowledged."""
        deadline = time.monotonic() + seconds
        while self._submit(host).status != 200:
            if time.monotonic() > deadline:
                raise ViolationError(f"{host.operators} acknowledged nothing for {seconds:.0f} s")
            time.sleep(CALL_INTERVAL_SECONDS)

    def close(self) -> None:
        """Kill all processes."""
        for host in self.hosts:
            if host.process is not None:
                host.kill()

    def _submit(self, host: control_hosts.ControlHost) -> Call:
        with self._lock:
            self._version += 1
            version = self._version
        sent_at = time.monotonic()
        status = host.submit(version).status
        call = Call(host, version, sent_at, time.monotonic(), status)
        self.calls.append(call)
        return call

    def _operate(self, host: control_hosts.ControlHost) -> None:
        while not self._is_over:
            self._submit(host)
            time.sleep(CALL_INTERVAL_SECONDS)

    def _fill(self, host: control_hosts.ControlHost, *, is_killed: bool) -> None:
        first = len(self.calls)
        host.set_room(self._rng.choice((0, self._rng.randrange(4000))))
        time.sleep(self._rng.uniform(1.5, 3.0))
        if is_killed:
            host.kill()
            host.start()
        else:
            host.set_room(None)
        time.sleep(STORAGE_RETRY_SECONDS + self._rng.uniform(0.3, 1.0))
        calls = self.calls[first:]
        refused = [call for call in calls if call.host is not host and call.status != 200]
        if refused:
            raise ViolationError(f"{len(refused)} of {len(calls)} refused elsewhere: {refused[0]}")

    def _check_kept(self) -> None:
        """Kill all processes, and check that no acknowledged version is lost."""
        acknowledged = self.acknowledged_version
        for host in self.hosts:
            host.process.kill()
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while (version := host.read_version()) is None:
                if time.monotonic() > deadline:
                    raise ViolationError(f"{host.operators} reads nothing")
                time.sleep(CALL_INTERVAL_SECONDS)
            if version < acknowledged:
                raise ViolationError(f"{host.operators} has {version}, not {acknowledged}")
