"""Benchmark of announcements and departures of backend servers at control hosts.

Runs real control processes on loopback. All servers announce themselves for some seconds, and then
all depart, one after the other at a steady rate. Prints the time until the calls are acknowledged,
and what the control processes use. Writes out/departures.json.
"""

from __future__ import annotations

import json
import shutil
import statistics
import time
from concurrent import futures
from typing import Any

import fire

from bench import fleets
from flamingoramp.platform.tests import control_hosts
from flamingoramp.platform.tests import fleet as platform_fleets

FOLDER = fleets.ROOT / "out" / "fleet-departures"
NETWORK = 50
MAX_CALLS_IN_PROGRESS = 32


def run_phase(
    hosts: list[control_hosts.ControlHost], calls: list[tuple[str, str, bytes]], rate: float
) -> dict[str, Any]:
    """Send calls of servers at a steady rate, to all hosts in turn; return times and usage."""

    def _call(number: int) -> tuple[bool, float]:
        sent_at = time.monotonic()
        is_acknowledged = hosts[number % len(hosts)].call_as_server(*calls[number])
        return is_acknowledged, time.monotonic() - sent_at

    before = [host.read_usage() for host in hosts]
    started_at = time.monotonic()
    with futures.ThreadPoolExecutor(MAX_CALLS_IN_PROGRESS) as pool:
        results = []
        for number in range(len(calls)):
            time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            results.append(pool.submit(_call, number))
        answers = [result.result() for result in results]
    seconds = time.monotonic() - started_at
    after = [host.read_usage() for host in hosts]
    used = [(now[0] - then[0], now[1] - then[1]) for then, now in zip(before, after, strict=True)]
    times = sorted(duration for is_acknowledged, duration in answers if is_acknowledged)
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
    running = [
        control_hosts.ControlHost(number, hosts, FOLDER, network=NETWORK) for number in range(hosts)
    ]
    try:
        for host in running:
            host.start(first_start=True)
        probe = control_hosts.make_announcement("probe", servers, 1)
        platform_fleets.wait_for(
            lambda: running[0].call_as_server("PUT", "probe", probe), "a control host"
        )
        time.sleep(3.0)
        rate = servers / control_hosts.ANNOUNCE_INTERVAL_SECONDS
        announcements = [
            ("PUT", f"s{number}", control_hosts.make_announcement("llm", number, sequence))
            for sequence in range(1, rounds + 1)
            for number in range(servers)
        ]
        departures = [("DELETE", f"s{number}", b"") for number in range(servers)]
        figures = {
            "servers": servers,
            "hosts": hosts,
            "announcements": run_phase(running, announcements, rate),
            "departures": run_phase(running, departures, departures_per_second),
        }
    finally:
        for host in running:
            host.kill()
    print(json.dumps(figures, indent=2))
    (FOLDER.parent / "departures.json").write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
