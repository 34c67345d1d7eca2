"""The time that the system adds to the first token, and token events for a processor second."""

from __future__ import annotations

import json
import statistics
import time
from typing import Any

import fire

from bench import client, fleets, report
from flamingoramp.backends import sse, transfers
from flamingoramp.runtime import loop as loops

OUT = fleets.ROOT / "out"
DIRECT_REQUESTS = 300
PROMPT_TOKENS = 1000
STREAM_SIZES = (50, 100, 200, 300)
STREAM_TOKENS = 300
ENGINES = 4


def make_fleet() -> fleets.Fleet:
    """Start three entries, one control replica and a few fast engines."""
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
    fleet = fleets.Fleet(OUT / "fleet-path", {"deployment": "path", "hosts": hosts})
    fleet.start_daemons()
    fleet.start_servers(
        [fleets.ServerGroup("llm", ENGINES, options={"models": "m@1", "slots": 400})]
    )
    fleet.wait_leader()
    fleet.apply(
        {
            "services": [{"name": "llm", "models": [{"name": "m"}]}],
            "workspaces": [{"name": "w", "max_waiting": 10000}],
        }
    )
    fleet.wait_ready()
    fleet.wait_servers("llm", ENGINES)
    time.sleep(3)
    return fleet


def time_first_token(url: str, body: dict[str, Any], headers: tuple[str, ...]) -> float:
    """Send one streamed request and return its time to first token in seconds."""
    loop = loops.Loop()
    sender = transfers.Transfers(loop)
    reader = sse.EventReader()
    first: list[float] = []
    ended: list[bool] = []

    def receive(data: bytes) -> None:
        if reader.feed(data.replace(sse.DONE, b"")) and not first:
            first.append(loop.now())

    begun = loop.now()
    sender.start(
        transfers.Call(url=url, body=json.dumps(body).encode(), headers=headers),
        on_data=receive,
        on_end=lambda _ending, _status: ended.append(True),
    )
    while not ended:
        loop.run_once(0.1)
    sender.close()
    loop.close()
    return first[0] - begun


def measure_share(fleet: fleets.Fleet) -> dict[str, float]:
    """Compare calls of an engine with calls through an entry, in turns."""
    direct, through = [], []
    engine = fleet.server_urls["llm-1"]
    json_header = "Content-Type: application/json"
    for number in range(DIRECT_REQUESTS):
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
        direct.append(time_first_token(engine + "/v1/generate", engine_body, (json_header,)))
        url = fleet.entry_urls[number % 3] + "/v1/completions"
        through.append(time_first_token(url, body, (json_header, "Flamingoramp-Workspace: w")))
    return {
        "direct_p50_ms": statistics.median(direct) * 1e3,
        "direct_p95_ms": report.percentile(direct, 95) * 1e3,
        "through_p50_ms": statistics.median(through) * 1e3,
        "through_p95_ms": report.percentile(through, 95) * 1e3,
    }


def measure_events(fleet: fleets.Fleet) -> list[dict[str, float]]:
    """Count the token events that one entry passes on for each processor second."""
    rows = []
    host = fleet.settings.entry_hosts[1]
    name = f"entry-{host.name}"
    for streams in STREAM_SIZES:
        plan = [
            client.ScheduledRequest(
                at=number * 0.005,
                workspace="w",
                model="m",
                prompt_tokens=64,
                output_tokens=STREAM_TOKENS,
                prompt_seed=f"{streams}.{number}",
            )
            for number in range(streams)
        ]
        caller = client.LoadClient([host.entry_url], 1, fixed=True)
        before, begun = fleet.cpu_seconds(name), time.monotonic()
        results = caller.run(plan)
        used = fleet.cpu_seconds(name) - before
        seconds = time.monotonic() - begun
        events = sum(one.answered for one in results) * STREAM_TOKENS
        rows.append(
            {
                "streams": streams,
                "whole": sum(one.answered for one in results),
                "events_per_second": events / seconds,
                "events_per_processor_second": events / used,
                "entry_share_percent": 100 * used / seconds,
            }
        )
    return rows


def main() -> None:
    """Measure both and print them."""
    OUT.mkdir(exist_ok=True)
    fleet = make_fleet()
    try:
        share = measure_share(fleet)
        for name, value in share.items():
            print(f"{name}: {value:.2f}")
        rows = measure_events(fleet)
        for row in rows:
            print("  ".join(f"{name} {value:.0f}" for name, value in row.items()))
    finally:
        fleet.close()
    (OUT / "path.json").write_text(json.dumps({"share": share, "events": rows}, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
