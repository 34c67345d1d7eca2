"""Benchmark of announcements and departures of backend servers at control hosts.

Runs real control processes on loopback. All servers announce themselves for some seconds, and then
all depart, one after the other at a steady rate. Prints the time until the calls are acknowledged,
and what the control processes use. Writes out/departures.json.
"""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import time
from concurrent import futures
from typing import Any

import attrs
import fire

from bench import fleets
from flamingoramp.platform import main as platform_main
from flamingoramp.platform.tests import fleet as platform_fleets
from flamingoramp.runtime import node_settings

FOLDER = fleets.ROOT / "out" / "fleet-departures"
INNER_PORTS = (29_700, 29_701)
OPERATORS_PORT = 29_702
ANNOUNCE_INTERVAL_SECONDS = 1.2
MAX_CALLS_IN_PROGRESS = 32
CALL_TIMEOUT_SECONDS = 1.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ControlProcess:
    """The control program of one host."""

    def __init__(self, number: int, host_count: int):
        address = f"127.0.50.{number + 1}"
        self.operators = f"{address}:{OPERATORS_PORT}"
        folder = FOLDER / f"host-{number}"
        (folder / "data").mkdir(parents=True)
        settings = node_settings.NodeSettings(
            name=f"host-{number}",
            availability_zone="a",
            address=address,
            inner_ports=INNER_PORTS,
            seeds=tuple([f"127.0.50.{n + 1}:{OPERATORS_PORT}" for n in range(min(3, host_count))]),
            first_start=True,
            data_folder=str(folder / "data"),
            listen=node_settings.ListenSettings(operators=self.operators),
            bounds=node_settings.BoundSettings(
                announce_milliseconds=1000 * ANNOUNCE_INTERVAL_SECONDS
            ),
        )
        path = folder / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        with (folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "flamingoramp.platform.main", "control"],
                env={**os.environ, platform_main.SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    def read_usage(self) -> tuple[float, int]:
        """Return the processor time in seconds and the bytes written to the disk so far."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        seconds = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        counters = dict(line.split(": ") for line in (folder / "io").read_text().splitlines())
        return seconds, int(counters["write_bytes"])


def call(address: str, method: str, server: str, body: bytes) -> tuple[int, float]:
    """Send a server's call; return the status, 0 for none, and the seconds until the answer."""
    started_at = time.monotonic()
    try:
        answer = platform_fleets.send_request(
            address, method, f"/v1/instances/{server}", body=body, timeout=CALL_TIMEOUT_SECONDS
        )
    except OSError:
        return 0, time.monotonic() - started_at
    return answer.status, time.monotonic() - started_at


def make_announcement(number: int, sequence: int) -> bytes:
    """Return the body of a server's announcement."""
    body = {
        "service": "llm",
        "addr": f"10.0.{number // 250}.{number % 250 + 1}:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": sequence,
        "born": 1,
    }
    return json.dumps(body).encode()


def run_phase(
    processes: list[ControlProcess], calls: list[tuple[str, str, bytes]], rate: float
) -> dict[str, Any]:
    """Send calls of servers at a steady rate, to all hosts in turn; return times and usage."""
    before = [process.read_usage() for process in processes]
    started_at = time.monotonic()
    with futures.ThreadPoolExecutor(MAX_CALLS_IN_PROGRESS) as pool:
        results = []
        for number, (method, server, body) in enumerate(calls):
            time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            address = processes[number % len(processes)].operators
            results.append(pool.submit(call, address, method, server, body))
        answers = [result.result() for result in results]
    seconds = time.monotonic() - started_at
    after = [process.read_usage() for process in processes]
    used = [(now[0] - then[0], now[1] - then[1]) for then, now in zip(before, after, strict=True)]
    times = sorted(duration for status, duration in answers if status == 200)
    return {
        "calls": len(calls),
        "acknowledged": len(times),
        "p50_ms": round(1000 * statistics.median(times), 1),
        "p99_ms": round(1000 * times[int(0.99 * (len(times) - 1))], 1),
        "longest_ms": round(1000 * times[-1], 1),
        "cores": [round(processor_seconds / seconds, 4) for processor_seconds, _ in used],
        "written_kb_per_second": [round(count / seconds / 1024, 1) for _, count in used],
    }


def main(
    servers: int = 300, hosts: int = 5, rounds: int = 8, departures_per_second: float = 30.0
) -> None:
    """Announce servers and let them depart; print the figures and write out/departures.json.

    Parameters
    ----------
    servers, hosts : int
        Number of backend servers and of control hosts.
    rounds : int
        Number of announcements of each server.
    departures_per_second : float
    """
    shutil.rmtree(FOLDER, ignore_errors=True)
    processes = [ControlProcess(number, hosts) for number in range(hosts)]
    try:
        platform_fleets.wait_for(
            lambda: call(processes[0].operators, "PUT", "probe", make_announcement(0, 1))[0] == 200,
            "a control host",
        )
        time.sleep(3.0)
        rate = servers / ANNOUNCE_INTERVAL_SECONDS
        announcements = [
            ("PUT", f"s{number}", make_announcement(number, sequence))
            for sequence in range(1, rounds + 1)
            for number in range(servers)
        ]
        departures = [("DELETE", f"s{number}", b"") for number in range(servers)]
        figures = {
            "servers": servers,
            "hosts": hosts,
            "announcements": run_phase(processes, announcements, rate),
            "departures": run_phase(processes, departures, departures_per_second),
        }
    finally:
        for process in processes:
            process.process.kill()
            process.process.wait()
    print(json.dumps(figures, indent=2))
    (FOLDER.parent / "departures.json").write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
