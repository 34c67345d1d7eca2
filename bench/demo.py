"""The main job, start to end: a deployment on loopback, requests of all lengths, faults, a report.

Exits with 1 if a request is left without an outcome, an answer is not whole, or a hold ran twice.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent import futures

import attrs
import fire

from bench import client, fleets, report, workload
from flamingoramp.runtime import http_client

TIME_SCALE = 0.25
LOAD_SECONDS = 30.0
RATE = 8.0
SEED = 1908
BUCKETS = (4_000, 16_000, 64_000, 250_000, 1_000_000)
HOLD_KEYS = 6
LONG_TOKENS = 100_000
ENGINES = {"hanbit": 14, "cenotvar": 23}
MEMORY_LIMIT_BYTES = 4 * 1024**3


@attrs.define
class Findings:
    """What the run showed besides the requests' results."""

    lines: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    def add(self, line: str, *, ok: bool = True) -> None:
        """Note a finding."""
        self.lines.append(line)
        if not ok:
            self.failures.append(line)


def say(text: str) -> None:
    """Print progress."""
    print(text, flush=True)


def start_fleet(deployment: str, folder: pathlib.Path) -> fleets.Fleet:
    """Start the processes and put the declaration in force."""
    examples = fleets.ROOT / "examples" / deployment
    mix = workload.MIXES[deployment]
    engines = next(iter(_engine_services(examples)))
    document = json.loads((examples / "settings.json").read_text())
    fleet = fleets.Fleet(folder, document, time_scale=TIME_SCALE)
    try:
        say(
            f"starting {len(fleet.settings.entry_hosts)} entries, "
            f"{len(fleet.settings.control_hosts)} control replicas, "
            f"{ENGINES[deployment]} engines, 3 of {mix.service}"
        )
        fleet.start_daemons()
        store = fleet.start_weight_store(parallel_loads=2, load_seconds=0.2)
        fleet.start_servers(
            [
                fleets.ServerGroup(
                    engines,
                    ENGINES[deployment],
                    options={"models": f"{mix.model}@1", "weight_store": store},
                ),
                fleets.ServerGroup(mix.service, 3, kind="service"),
            ]
        )
        say(f"control leads from {fleet.wait_leader()}")
        answer = fleet.apply(json.loads((examples / "declaration.json").read_text()))
        say(f"revision {answer['revision']} in force: {answer['in_force']}")
        fleet.wait_ready()
        fleet.wait_servers(engines, ENGINES[deployment])
        fleet.wait_servers(mix.service, 3)
    except BaseException:
        fleet.close()
        raise
    return fleet


def _engine_services(examples: pathlib.Path) -> list[str]:
    declaration = json.loads((examples / "declaration.json").read_text())
    return [one["name"] for one in declaration["services"] if one["kind"] == "engines"]


def make_plan(deployment: str) -> list[client.ScheduledRequest]:
    """Return the demo's requests, the largest prompts among them."""
    mix = workload.MIXES[deployment]
    plan = workload.make_plan(mix, seed=SEED, seconds=LOAD_SECONDS, rate=RATE)
    for number, tokens in enumerate((150_000, 420_000, 900_000, 1_000_000)):
        plan.append(
            client.ScheduledRequest(
                at=1.0 + 6 * number,
                workspace=mix.workspaces[0],
                model=mix.model,
                prompt_tokens=tokens,
                output_tokens=64,
                prompt_seed=f"digest {number}",
                time_limit_seconds=80.0,
            )
        )
    return plan


def place_hold(url: str, service: str, workspace: str, key: str) -> tuple[int, str]:
    """Send a non-idempotent call and return status and body."""
    answer = http_client.fetch(
        f"{url}/v1/services/{service}/holds",
        method="POST",
        body=json.dumps({"slot": key}).encode(),
        headers=(
            "Content-Type: application/json",
            f"Flamingoramp-Workspace: {workspace}",
            f"Idempotency-Key: {key}",
        ),
    )
    return answer.status, answer.body.decode()


def send_holds(fleet: fleets.Fleet, mix: workload.WorkloadMix, findings: Findings) -> None:
    """Place each hold three times, at different entries, while faults happen."""
    sent = answered = 0
    for number in range(HOLD_KEYS):
        key = f"{int(time.time())}-hold{number}"
        for url in fleet.entry_urls[1:4]:
            sent += 1
            try:
                status, _ = place_hold(url, mix.service, mix.workspaces[0], key)
            except Exception:  # noqa: S112
                continue
            answered += status == 200
        time.sleep(LOAD_SECONDS / HOLD_KEYS / 2)
    findings.add(f"print-slot holds: {HOLD_KEYS} keys sent {sent} times, {answered} answered 200")


def check_holds(fleet: fleets.Fleet, mix: workload.WorkloadMix, findings: Findings) -> None:
    """Check that no key ran twice."""
    keys = []
    for name, url in fleet.server_urls.items():
        if name.startswith(mix.service):
            runs = http_client.fetch(url + "/v1/runs").json()["runs"]
            keys += [run["key"] for run in runs]
    twice = len(keys) - len(set(keys))
    findings.add(f"holds that ran: {len(keys)}, twice: {twice}", ok=twice == 0)


def check_memory(fleet: fleets.Fleet, service: str, findings: Findings) -> None:
    """Check that all engine memory came back."""

    def held() -> int:
        return sum(
            fleet.server_state(name)["memory_used"]
            for name in fleet.server_urls
            if name.startswith(service) and fleet.is_running(name)
        )

    deadline = time.monotonic() + 10
    while held() and time.monotonic() < deadline:
        time.sleep(0.2)
    left = held()
    findings.add(f"engine memory still taken after quiet: {left} tokens", ok=left == 0)


class Faults:
    """The faults of the demo, each with a line on what it did."""

    def __init__(self, fleet: fleets.Fleet, service: str, findings: Findings):
        self._fleet = fleet
        self._service = service
        self._findings = findings
        self._pool = futures.ThreadPoolExecutor(4)
        self._stopping: list[tuple[str, float]] = []

    def actions(self) -> list[tuple[float, Callable[[], None]]]:
        """Return times in seconds and faults."""
        return [
            (5.0, self._stop_entry),
            (9.0, self._stop_engine),
            (13.0, self._kill_engine),
            (17.0, self._kill_leader),
        ]

    def _stop_entry(self) -> None:
        host = self._fleet.settings.entry_hosts[-1].name
        say(f"  planned stop of entry {host}")
        self._fleet.make_control_client().request("POST", "/v1/drain", {"entry": host})
        self._stopping.append((f"entry-{host}", time.monotonic()))

    def _stop_engine(self) -> None:
        name = f"{self._service}-2"
        say(f"  planned stop of engine {name}")
        self._fleet.stop(name)
        self._stopping.append((name, time.monotonic()))

    def _kill_engine(self) -> None:
        self._pool.submit(self._kill_busy_engine)

    def _kill_busy_engine(self) -> None:
        """Kill an engine in the middle of a long stream."""
        name = fleets.wait_for(self._find_digest, "an engine that runs a long prompt")
        running = self._fleet.server_state(name)["running"]
        say(f"  kill -9 of engine {name} with {running} requests running")
        self._fleet.kill(name)
        self._findings.add(f"kill -9 of engine {name}: {running} requests ran there")
        time.sleep(3)
        self._fleet.restart(name)

    def _find_digest(self) -> str:
        name = self._busiest()
        return name if self._fleet.server_state(name)["memory_used"] > LONG_TOKENS else ""

    def _busiest(self) -> str:
        names = [
            name
            for name in self._fleet.server_urls
            if name.startswith(self._service) and self._fleet.is_running(name)
        ]
        return max(names, key=lambda name: self._fleet.server_state(name)["memory_used"])

    def _kill_leader(self) -> None:
        host = self._fleet.wait_leader()
        say(f"  kill -9 of the leading control replica on {host}")
        self._fleet.kill(f"control-{host}")
        self._pool.submit(self._time_election, host)

    def _time_election(self, host: str) -> None:
        start = time.monotonic()
        leader = self._fleet.wait_leader()
        seconds = time.monotonic() - start
        self._findings.add(f"kill -9 of control {host}: {leader} led {seconds:.1f} s later")

    def finish(self) -> None:
        """Wait for planned stops and note them."""
        self._pool.shutdown()
        for name, since in self._stopping:
            code = self._fleet.wait_stopped(name)
            seconds = time.monotonic() - since
            line = f"planned stop of {name}: ended with code {code} within {seconds:.0f} s"
            self._findings.add(line, ok=code == 0)


def bucket_rows(results: list[client.Result]) -> list[list[str]]:
    """Return a table: one row for each bucket of prompt lengths."""
    rows = []
    low = 0
    for bound in BUCKETS:
        inside = [one for one in results if low < one.request.prompt_tokens <= bound]
        times = [one.first_token_seconds for one in inside if one.answered]
        rows.append(
            [
                f"{low + 1:>9,} - {bound:,}",
                str(len(inside)),
                str(sum(one.answered for one in inside)),
                str(sum(one.refused for one in inside)),
                f"{report.percentile(times, 50):.3f}",
                f"{report.percentile(times, 95):.3f}",
            ]
        )
        low = bound
    return rows


def print_report(results: list[client.Result], findings: Findings) -> None:
    """Print the table and the findings."""
    head = ["prompt tokens", "requests", "answers", "refusals", "TTFT p50 s", "TTFT p95 s"]
    say("")
    for row in [head, *bucket_rows(results)]:
        say(
            "  ".join(
                f"{cell:>22}" if not place else f"{cell:>10}" for place, cell in enumerate(row)
            )
        )
    say("")
    for line in findings.lines:
        say(line)


def judge(results: list[client.Result], planned: int, findings: Findings) -> None:
    """Check that each request has an outcome and each answer is whole."""
    lost = planned - sum(one.answered or one.refused for one in results)
    findings.add(f"requests without an outcome or with an answer cut short: {lost}", ok=lost == 0)
    for one in results:
        if not one.answered and not one.refused:
            findings.add(
                f"  {one.request.prompt_tokens} tokens at {one.entry}: {one.error} "
                f"after {one.finished_seconds:.2f} s, {len(one.text)} characters",
                ok=False,
            )
    refusals: dict[str, int] = {}
    for one in results:
        if one.refused:
            refusals[one.error] = refusals.get(one.error, 0) + 1
    findings.add(f"typed refusals: {refusals or 'none'}")


def main(deployment: str = "hanbit") -> None:
    """Run the demo of a deployment.

    Parameters
    ----------
    deployment : str
        ``hanbit`` or ``cenotvar``.
    """
    begun = time.monotonic()
    mix = workload.MIXES[deployment]
    service = _engine_services(fleets.ROOT / "examples" / deployment)[0]
    findings = Findings()
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(deployment, pathlib.Path(folder) / "fleet")
        try:
            faults = Faults(fleet, service, findings)
            plan = make_plan(deployment)
            say(f"sending {len(plan)} requests over {LOAD_SECONDS:.0f} s")
            holds = threading.Thread(target=send_holds, args=(fleet, mix, findings))
            holds.start()
            caller = client.LoadClient(fleet.entry_urls, SEED)
            results = caller.run(
                plan,
                actions=faults.actions(),
                on_progress=lambda done, total: say(f"  {done} of {total} finished"),
                deadline_seconds=90.0,
            )
            holds.join()
            faults.finish()
            judge(results, len(plan), findings)
            check_holds(fleet, mix, findings)
            check_memory(fleet, service, findings)
            memory = fleet.total_resident_bytes()
            findings.add(
                f"memory of all processes: {memory / 2**30:.2f} GiB",
                ok=memory < MEMORY_LIMIT_BYTES,
            )
        finally:
            fleet.close()
    print_report(results, findings)
    say(f"took {time.monotonic() - begun:.0f} s")
    if findings.failures:
        say(f"FAILED: {len(findings.failures)} findings")
        sys.exit(1)
    say("all held")


if __name__ == "__main__":
    fire.Fire(main)
