"""Benchmark of the request path: added time to first token, and token events per CPU second.

Writes out/path.json.
"""

from __future__ import annotations

import json
import statistics
import time
from typing import Any

import fire

from bench import client, fleets, report
from flamingoramp.backends import sse, transfers
from flamingoramp.runtime import loop as loops

OUTPUT_FOLDER = fleets.ROOT / "out"
LATENCY_REQUEST_COUNT = 300
PROMPT_TOKENS = 1000
STREAM_COUNTS = (50, 100, 200, 300)
STREAM_TOKENS = 300
ENGINE_COUNT = 4


def start_fleet() -> fleets.Fleet:
    """Start three entries, one control replica and four engines of 400 slots each."""
    hosts: list[dict[str, Any]] = [
        {
            "name": f"h{number}",
            "availability_zone": f"z{number}",
            "entry_port": 1,
            "entry_inner_port": 1,
        }
        for number in range(3)
    ]
    hosts[0].update(control_port=1, control_inner_port=1, data_folder="d")
    fleet = fleets.Fleet(OUTPUT_FOLDER / "fleet-path", {"deployment": "path", "hosts": hosts})
    fleet.start_daemons()
    fleet.start_servers(
        [fleets.ServerGroup("llm", ENGINE_COUNT, options={"models": "m@1", "slots": 400})]
    )
    fleet.wait_leader()
    fleet.apply(
        {
            "services": [{"name": "llm", "models": [{"name": "m"}]}],
            "workspaces": [{"name": "w", "max_waiting": 10000}],
        }
    )
    fleet.wait_ready()
    fleet.wait_servers("llm", ENGINE_COUNT)
    time.sleep(3)
    return fleet


def time_first_token(url: str, body: dict[str, Any], headers: tuple[str, ...]) -> float:
    """Send one streamed request and return its time to first token in seconds."""
    loop = loops.Loop()
    http_transfers = transfers.TransferClient(loop)
    reader = sse.EventReader()
    first_event_times: list[float] = []
    is_done: list[bool] = []

    def receive(data: bytes) -> None:
        if reader.feed(data.replace(sse.DONE_EVENT, b"")) and not first_event_times:
            first_event_times.append(loop.now())

    start = loop.now()
    http_transfers.start(
        transfers.HttpRequest(url=url, body=json.dumps(body).encode(), headers=headers),
        on_data=receive,
        on_end=lambda _ending, _status: is_done.append(True),
    )
    while not is_done:
        loop.run_once(0.1)
    http_transfers.close()
    loop.close()
    return first_event_times[0] - start


def measure_added_latency(fleet: fleets.Fleet) -> dict[str, float]:
    """Return percentiles of the time to first token, of direct engine calls and through an entry.

    The two kinds of calls alternate, so that both see the same load of the machine.
    """
    direct_seconds, through_entry_seconds = [], []
    engine = fleet.server_urls["llm-1"]
    json_header = "Content-Type: application/json"
    for number in range(LATENCY_REQUEST_COUNT):
        prompt = f"{number:08d}" * (PROMPT_TOKENS // 2)
        body = {"prompt": prompt, "max_tokens": 2, "model": "m", "stream": True}
        engine_body = {
            **body,
            "request_id": f"direct{number}",
            "attempt": 1,
            "priority": 0,
            "prompt_tokens": PROMPT_TOKENS,
            "held_elsewhere": 0,
            "prefix_hashes": [],
            "offset": 0,
            "continuation": "",
        }
        direct_seconds.append(
            time_first_token(engine + "/v1/generate", engine_body, (json_header,))
        )
        url = fleet.entry_urls[number % 3] + "/v1/completions"
        through_entry_seconds.append(
            time_first_token(url, body, (json_header, "Flamingoramp-Workspace: w"))
        )
    return {
        "direct_p50_ms": statistics.median(direct_seconds) * 1e3,
        "direct_p95_ms": report.percentile(direct_seconds, 95) * 1e3,
        "through_p50_ms": statistics.median(through_entry_seconds) * 1e3,
        "through_p95_ms": report.percentile(through_entry_seconds, 95) * 1e3,
    }


def measure_event_throughput(fleet: fleets.Fleet) -> list[dict[str, float]]:
    """Return how many token events an entry forwards in a second, and in a second of CPU time.

    The rows are for several numbers of concurrent streams; ``whole`` is the number of complete
    answers, and ``entry_share_percent`` the entry's CPU use in percent of a core.
    """
    rows = []
    host = fleet.settings.entry_hosts[1]
    name = f"entry-{host.name}"
    for stream_count in STREAM_COUNTS:
        plan = [
            client.ScheduledRequest(
                send_at_seconds=number * 0.005,
                workspace="w",
                model="m",
                prompt_tokens=64,
                output_tokens=STREAM_TOKENS,
                prompt_seed=f"{stream_count}.{number}",
            )
            for number in range(stream_count)
        ]
        load_client = client.LoadClient([host.entry_url], 1, fixed=True)
        cpu_before, start = fleet.cpu_seconds(name), time.monotonic()
        results = load_client.run(plan)
        cpu_seconds = fleet.cpu_seconds(name) - cpu_before
        seconds = time.monotonic() - start
        event_count = sum(result.answered for result in results) * STREAM_TOKENS
        rows.append(
            {
                "streams": stream_count,
                "whole": sum(result.answered for result in results),
                "events_per_second": event_count / seconds,
                "events_per_processor_second": event_count / cpu_seconds,
                "entry_share_percent": 100 * cpu_seconds / seconds,
            }
        )
    return rows


def main() -> None:
    """Run both benchmarks, print the results and write them to out/path.json."""
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    fleet = start_fleet()
    try:
        latencies = measure_added_latency(fleet)
        for name, value in latencies.items():
            print(f"{name}: {value:.2f}")
        rows = measure_event_throughput(fleet)
        for row in rows:
            print("  ".join(f"{name} {value:.0f}" for name, value in row.items()))
    finally:
        fleet.close()
    (OUTPUT_FOLDER / "path.json").write_text(
        json.dumps({"share": latencies, "events": rows}, indent=2)
    )


if __name__ == "__main__":
    fire.Fire(main)
