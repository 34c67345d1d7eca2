"""Demo: runs an example deployment on loopback under load and faults, and reports the results.

Exits with 1 if a check fails: a request without an outcome or with an incomplete answer, a hold
that ran twice, engine memory still in use at the end, a planned stop with a non-zero exit code, or
over 4 GiB of memory.
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
REQUESTS_PER_SECOND = 8.0
SEED = 1908
BUCKET_BOUNDS_TOKENS = (4_000, 16_000, 64_000, 250_000, 1_000_000)
HOLD_KEY_COUNT = 6
LONG_PROMPT_TOKENS = 100_000
ENGINE_COUNTS = {"hanbit": 14, "cenotvar": 23}
MEMORY_LIMIT_BYTES = 4 * 1024**3


@attrs.define
class RunSummary:
    """Lines of the final report; ``failures`` holds those of failed checks."""

    lines: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    def add(self, line: str, *, ok: bool = True) -> None:
        """Add a line, and record it as a failure unless ``ok``."""
        self.lines.append(line)
        if not ok:
            self.failures.append(line)


def print_line(text: str) -> None:
    """Print a line and flush it, so that progress shows at once also through a pipe."""
    print(text, flush=True)


def start_fleet(deployment: str, folder: pathlib.Path) -> fleets.Fleet:
    """Start all processes, apply the example's declaration and wait until they are ready."""
    example_folder = fleets.ROOT / "examples" / deployment
    workload_mix = workload.MIXES[deployment]
    engine_service = next(iter(_engine_service_names(example_folder)))
    settings_document = json.loads((example_folder / "settings.json").read_text())
    fleet = fleets.Fleet(folder, settings_document, time_scale=TIME_SCALE)
    try:
        print_line(
            f"starting {len(fleet.settings.entry_hosts)} entries, "
            f"{len(fleet.settings.control_hosts)} control replicas, "
            f"{ENGINE_COUNTS[deployment]} engines, 3 of {workload_mix.service}"
        )
        fleet.start_daemons()
        store = fleet.start_weight_store(parallel_loads=2, load_seconds=0.2)
        fleet.start_servers(
            [
                fleets.ServerGroup(
                    engine_service,
                    ENGINE_COUNTS[deployment],
                    options={"models": f"{workload_mix.model}@1", "weight_store": store},
                ),
                fleets.ServerGroup(workload_mix.service, 3, kind="service"),
            ]
        )
        print_line(f"leading control replica: {fleet.wait_leader()}")
        answer = fleet.apply(json.loads((example_folder / "declaration.json").read_text()))
        print_line(f"revision {answer['revision']} in force: {answer['in_force']}")
        fleet.wait_ready()
        fleet.wait_servers(engine_service, ENGINE_COUNTS[deployment])
        fleet.wait_servers(workload_mix.service, 3)
    except BaseException:
        fleet.close()
        raise
    return fleet


def _engine_service_names(example_folder: pathlib.Path) -> list[str]:
    declaration = json.loads((example_folder / "declaration.json").read_text())
    return [service["name"] for service in declaration["services"] if service["kind"] == "engines"]


def make_plan(deployment: str) -> list[client.ScheduledRequest]:
    """Return a random workload and four more prompts of 150,000 to 1,000,000 tokens."""
    workload_mix = workload.MIXES[deployment]
    plan = workload.make_plan(
        workload_mix, seed=SEED, seconds=LOAD_SECONDS, rate=REQUESTS_PER_SECOND
    )
    for number, tokens in enumerate((150_000, 420_000, 900_000, 1_000_000)):
        plan.append(
            client.ScheduledRequest(
                send_at_seconds=1.0 + 6 * number,
                workspace=workload_mix.workspaces[0],
                model=workload_mix.model,
                prompt_tokens=tokens,
                output_tokens=64,
                prompt_seed=f"digest {number}",
                time_limit_seconds=80.0,
            )
        )
    return plan


def place_hold(url: str, service: str, workspace: str, key: str) -> tuple[int, str]:
    """Send a hold, a call to the plain service that must not run twice; return status and body."""
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


def send_holds(
    fleet: fleets.Fleet, workload_mix: workload.WorkloadMix, summary: RunSummary
) -> None:
    """Send each hold to three entries in turn with the same idempotency key, during the faults."""
    sent_count = answered_count = 0
    for number in range(HOLD_KEY_COUNT):
        key = f"{int(time.time())}-hold{number}"
        for url in fleet.entry_urls[1:4]:
            sent_count += 1
            try:
                status, _ = place_hold(url, workload_mix.service, workload_mix.workspaces[0], key)
            except Exception:  # noqa: S112
                continue
            answered_count += status == 200
        time.sleep(LOAD_SECONDS / HOLD_KEY_COUNT / 2)
    summary.add(
        f"print-slot holds: {HOLD_KEY_COUNT} keys sent {sent_count} times, "
        f"{answered_count} answered 200"
    )


def check_holds(
    fleet: fleets.Fleet, workload_mix: workload.WorkloadMix, summary: RunSummary
) -> None:
    """Check at the backend servers that no hold ran twice."""
    executed_keys = []
    for name, url in fleet.server_urls.items():
        if name.startswith(workload_mix.service):
            runs = http_client.fetch(url + "/v1/runs").json()["runs"]
            executed_keys += [run["key"] for run in runs]
    duplicate_count = len(executed_keys) - len(set(executed_keys))
    summary.add(
        f"executed holds: {len(executed_keys)}, executed twice: {duplicate_count}",
        ok=duplicate_count == 0,
    )


def check_memory(fleet: fleets.Fleet, service: str, summary: RunSummary) -> None:
    """Check that the engines release all memory within 10 s after the last request."""

    def used_memory_tokens() -> int:
        return sum(
            fleet.server_state(name)["memory_used"]
            for name in fleet.server_urls
            if name.startswith(service) and fleet.is_running(name)
        )

    deadline = time.monotonic() + 10
    while used_memory_tokens() and time.monotonic() < deadline:
        time.sleep(0.2)
    remaining_tokens = used_memory_tokens()
    summary.add(
        f"engine memory still in use after the last request: {remaining_tokens} tokens",
        ok=remaining_tokens == 0,
    )


class FaultInjector:
    """Injects the demo's faults and adds their effects to the report.

    Parameters
    ----------
    fleet : bench.fleets.Fleet
    service : str
        Service of the engines that are stopped or killed.
    summary : RunSummary
    """

    def __init__(self, fleet: fleets.Fleet, service: str, summary: RunSummary):
        self._fleet = fleet
        self._service = service
        self._summary = summary
        self._executor = futures.ThreadPoolExecutor(4)
        self._planned_stops: list[tuple[str, float]] = []

    def actions(self) -> list[tuple[float, Callable[[], None]]]:
        """Return the faults with their times in seconds from the start of the load."""
        return [
            (5.0, self._stop_entry),
            (9.0, self._stop_engine),
            (13.0, self._kill_engine),
            (17.0, self._kill_leader),
        ]

    def _stop_entry(self) -> None:
        host = self._fleet.settings.entry_hosts[-1].name
        print_line(f"  planned stop of entry {host}")
        self._fleet.make_control_client().request("POST", "/v1/drain", {"entry": host})
        self._planned_stops.append((f"entry-{host}", time.monotonic()))

    def _stop_engine(self) -> None:
        name = f"{self._service}-2"
        print_line(f"  planned stop of engine {name}")
        self._fleet.stop(name)
        self._planned_stops.append((name, time.monotonic()))

    def _kill_engine(self) -> None:
        self._executor.submit(self._kill_busy_engine)

    def _kill_busy_engine(self) -> None:
        """Kill an engine while it runs a long prompt, and restart it 3 s later."""
        name = fleets.wait_for(
            self._find_engine_with_long_prompt, "an engine that runs a long prompt"
        )
        running_count = self._fleet.server_state(name)["running"]
        print_line(f"  kill -9 of engine {name} with {running_count} requests running")
        self._fleet.kill(name)
        self._summary.add(f"kill -9 of engine {name}: {running_count} requests were running")
        time.sleep(3)
        self._fleet.restart(name)

    def _find_engine_with_long_prompt(self) -> str:
        name = self._find_busiest_engine()
        return name if self._fleet.server_state(name)["memory_used"] > LONG_PROMPT_TOKENS else ""

    def _find_busiest_engine(self) -> str:
        names = [
            name
            for name in self._fleet.server_urls
            if name.startswith(self._service) and self._fleet.is_running(name)
        ]
        return max(names, key=lambda name: self._fleet.server_state(name)["memory_used"])

    def _kill_leader(self) -> None:
        host = self._fleet.wait_leader()
        print_line(f"  kill -9 of the leading control replica on {host}")
        self._fleet.kill(f"control-{host}")
        self._executor.submit(self._measure_election, host)

    def _measure_election(self, host: str) -> None:
        start = time.monotonic()
        leader = self._fleet.wait_leader()
        seconds = time.monotonic() - start
        self._summary.add(f"kill -9 of control {host}: {leader} led {seconds:.1f} s later")

    def finish(self) -> None:
        """Wait for all faults and planned stops, and report the exit codes of the latter."""
        self._executor.shutdown()
        for name, requested_at in self._planned_stops:
            exit_code = self._fleet.wait_stopped(name)
            seconds = time.monotonic() - requested_at
            line = f"planned stop of {name}: exit code {exit_code} after {seconds:.0f} s at most"
            self._summary.add(line, ok=exit_code == 0)


def bucket_rows(results: list[client.Result]) -> list[list[str]]:
    """Return counts and times to first token, one row for each range of prompt lengths."""
    rows = []
    lower_bound = 0
    for upper_bound in BUCKET_BOUNDS_TOKENS:
        in_bucket = [
            result
            for result in results
            if lower_bound < result.request.prompt_tokens <= upper_bound
        ]
        first_token_seconds = [
            result.first_token_seconds for result in in_bucket if result.answered
        ]
        rows.append(
            [
                f"{lower_bound + 1:>9,} - {upper_bound:,}",
                str(len(in_bucket)),
                str(sum(result.answered for result in in_bucket)),
                str(sum(result.refused for result in in_bucket)),
                f"{report.percentile(first_token_seconds, 50):.3f}",
                f"{report.percentile(first_token_seconds, 95):.3f}",
            ]
        )
        lower_bound = upper_bound
    return rows


def print_report(results: list[client.Result], summary: RunSummary) -> None:
    """Print the table of results and the lines of the summary."""
    header = ["prompt tokens", "requests", "answers", "refusals", "TTFT p50 s", "TTFT p95 s"]
    print_line("")
    for row in [header, *bucket_rows(results)]:
        print_line(
            "  ".join(
                f"{cell:>22}" if not column else f"{cell:>10}" for column, cell in enumerate(row)
            )
        )
    print_line("")
    for line in summary.lines:
        print_line(line)


def check_results(results: list[client.Result], request_count: int, summary: RunSummary) -> None:
    """Check that each request got its complete answer or a typed error."""
    missing_count = request_count - sum(result.answered or result.refused for result in results)
    summary.add(
        f"requests without an outcome or with an incomplete answer: {missing_count}",
        ok=missing_count == 0,
    )
    for result in results:
        if not result.answered and not result.refused:
            summary.add(
                f"  {result.request.prompt_tokens} tokens at {result.entry}: {result.error} "
                f"after {result.finished_seconds:.2f} s, {len(result.text)} characters",
                ok=False,
            )
    refusals: dict[str, int] = {}
    for result in results:
        if result.refused:
            refusals[result.error] = refusals.get(result.error, 0) + 1
    summary.add(f"typed errors by code: {refusals or 'none'}")


def main(deployment: str = "hanbit") -> None:
    """Run the demo of a deployment.

    Parameters
    ----------
    deployment : str
        ``hanbit`` or ``cenotvar``.
    """
    start = time.monotonic()
    workload_mix = workload.MIXES[deployment]
    service = _engine_service_names(fleets.ROOT / "examples" / deployment)[0]
    summary = RunSummary()
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(deployment, pathlib.Path(folder) / "fleet")
        try:
            fault_injector = FaultInjector(fleet, service, summary)
            plan = make_plan(deployment)
            print_line(f"sending {len(plan)} requests over {LOAD_SECONDS:.0f} s")
            hold_thread = threading.Thread(target=send_holds, args=(fleet, workload_mix, summary))
            hold_thread.start()
            load_client = client.LoadClient(fleet.entry_urls, SEED)
            results = load_client.run(
                plan,
                actions=fault_injector.actions(),
                on_progress=lambda done, total: print_line(f"  {done} of {total} finished"),
                deadline_seconds=90.0,
            )
            hold_thread.join()
            fault_injector.finish()
            check_results(results, len(plan), summary)
            check_holds(fleet, workload_mix, summary)
            check_memory(fleet, service, summary)
            memory = fleet.total_resident_bytes()
            summary.add(
                f"memory of all processes: {memory / 2**30:.2f} GiB",
                ok=memory < MEMORY_LIMIT_BYTES,
            )
        finally:
            fleet.close()
    print_report(results, summary)
    print_line(f"took {time.monotonic() - start:.0f} s")
    if summary.failures:
        print_line(f"FAILED: {len(summary.failures)} findings")
        sys.exit(1)
    print_line("all checks passed")


if __name__ == "__main__":
    fire.Fire(main)
