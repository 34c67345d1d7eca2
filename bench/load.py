"""Load test that compares selection policies, phase by phase with the same arrivals.

Runs real daemons and stand-in engines on loopback and sends open-loop arrivals; each policy gets a
fresh fleet, the same seed and the same faults. Writes out/load-DEPLOYMENT.json, and a table and
plots beside it.
"""

from __future__ import annotations

import json
import pathlib
import random
import time
from collections.abc import Callable
from concurrent import futures
from typing import Any

import attrs
import fire

from bench import client, fleets, report, workload

TIME_SCALE = 0.5
PREFILL_TOKENS_PER_SECOND = 40_000.0
ENGINE_COUNT = 8
PHASE_SECONDS = 20.0
DRAIN_TIMEOUT_SECONDS = 60.0
WARM_UP_SECONDS = 5.0
TIME_LIMIT_SECONDS = 60.0
OVERLOAD_TIME_LIMIT_SECONDS = 8.0
SHORT_PROMPT_TOKENS = 4_000
BURST_REQUEST_COUNT = 150
POLICIES = ("deadline", "naive")
PHASES = (
    "alone",
    "mixed",
    "full",
    "overload",
    "engine-lost",
    "entry-lost",
    "zone-lost",
    "herd",
)
OUTPUT_FOLDER = fleets.ROOT / "out"


@attrs.frozen
class Phase:
    """Requests of one phase; ``actions`` are faults and their times in seconds from its start."""

    plan: list[client.ScheduledRequest]
    actions: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)


def saturation_rate(workload_mix: workload.WorkloadMix) -> float:
    """Return the arrival rate, in requests a second, at which prefill saturates the engines."""
    rng = random.Random(0)
    mean_prompt_tokens = (
        sum(workload.draw_prompt_tokens(rng, workload_mix) for _ in range(20_000)) / 20_000
    )
    return ENGINE_COUNT * PREFILL_TOKENS_PER_SECOND / TIME_SCALE / mean_prompt_tokens


class PhaseRunner:
    """Starts a fleet under one policy and runs phases on it, one after the other.

    Parameters
    ----------
    deployment : str
    policy : str
        Value of the declaration's ``policy.selection``.
    seed : int
        Seed of the arrivals and of the choice of entries.
    """

    def __init__(self, deployment: str, policy: str, seed: int):
        self._workload_mix = workload.MIXES[deployment]
        self._seed = seed
        self._executor = futures.ThreadPoolExecutor(4)
        example_folder = fleets.ROOT / "examples" / deployment
        document = json.loads((example_folder / "settings.json").read_text())
        declaration = json.loads((example_folder / "declaration.json").read_text())
        declaration["policy"]["selection"] = policy
        self._service = declaration["services"][0]["name"]
        self.fleet = fleets.Fleet(
            OUTPUT_FOLDER / f"fleet-{policy}", document, time_scale=TIME_SCALE
        )
        self.fleet.start_daemons()
        self.fleet.start_servers(
            [
                fleets.ServerGroup(
                    self._service,
                    ENGINE_COUNT,
                    options={
                        "models": f"{self._workload_mix.model}@1",
                        "prefill_rate": PREFILL_TOKENS_PER_SECOND,
                    },
                )
            ]
        )
        self.fleet.wait_leader()
        self.fleet.apply(declaration)
        self._wait_until_ready()
        self._warm_up()

    def _warm_up(self) -> None:
        """Send requests whose results are discarded, so that no cold start falls into a phase."""
        plan = workload.make_plan(self._workload_mix, seed=1, seconds=WARM_UP_SECONDS, rate=20.0)
        short_requests = [
            request for request in plan if request.prompt_tokens < SHORT_PROMPT_TOKENS
        ]
        client.LoadClient(self.fleet.entry_urls, 1).run(short_requests)

    def _wait_until_ready(self) -> None:
        self.fleet.wait_ready()
        self.fleet.wait_servers(self._service, ENGINE_COUNT)
        time.sleep(3)

    def close(self) -> None:
        """Wait for running faults and kill all processes."""
        self._executor.shutdown()
        self.fleet.close()

    def run(self, name: str) -> dict[str, Any]:
        """Run a phase, restore the fleet and return the phase's statistics.

        ``memory_left`` is the engine memory, in tokens, still in use after the phase.
        """
        phase = self._make_phase(name)
        start = time.monotonic()
        load_client = client.LoadClient(self.fleet.entry_urls, self._seed)
        results = load_client.run(
            phase.plan,
            actions=phase.actions,
            deadline_seconds=PHASE_SECONDS + DRAIN_TIMEOUT_SECONDS,
        )
        seconds = time.monotonic() - start
        stats = report.summarize(
            results,
            request_count=len(phase.plan),
            seconds=seconds,
            prefill_rate=PREFILL_TOKENS_PER_SECOND / TIME_SCALE,
        )
        self._executor.submit(lambda: None).result()
        for process_name in self.fleet.list_ended():
            self.fleet.restart(process_name)
        self._wait_until_ready()
        stats["memory_left"] = self._used_memory_tokens()
        return stats

    def _used_memory_tokens(self) -> int:
        server_names = self.fleet.server_urls
        return sum(self.fleet.server_state(name)["memory_used"] for name in server_names)

    def _make_phase(self, name: str) -> Phase:
        rate = saturation_rate(self._workload_mix)
        match name:
            case "alone":
                plan = [
                    request
                    for request in self._make_plan(0.8 * rate)
                    if request.prompt_tokens < SHORT_PROMPT_TOKENS
                ]
                return Phase(plan)
            case "mixed":
                return Phase(self._make_plan(0.8 * rate))
            case "full":
                return Phase(self._make_plan(rate, time_limit_seconds=OVERLOAD_TIME_LIMIT_SECONDS))
            case "overload":
                return Phase(
                    self._make_plan(1.5 * rate, time_limit_seconds=OVERLOAD_TIME_LIMIT_SECONDS)
                )
            case "engine-lost":
                kill_action = (5.0, lambda: self.fleet.kill(f"{self._service}-1"))
                return Phase(self._make_plan(0.6 * rate), [kill_action])
            case "entry-lost":
                host = self.fleet.settings.entry_hosts[1].name
                kill_action = (5.0, lambda: self.fleet.kill(f"entry-{host}"))
                return Phase(self._make_plan(0.6 * rate), [kill_action])
            case "zone-lost":
                return Phase(self._make_plan(0.5 * rate), [(5.0, self._kill_zone)])
            case "herd":
                return Phase(self._make_burst_plan(0.5 * rate), [(3.0, self._submit_owner_restart)])
        raise ValueError(f"unknown phase {name!r}; use one of {', '.join(PHASES)}")

    def _make_plan(
        self, rate: float, *, time_limit_seconds: float = TIME_LIMIT_SECONDS
    ) -> list[client.ScheduledRequest]:
        return workload.make_plan(
            self._workload_mix,
            seed=self._seed,
            seconds=PHASE_SECONDS,
            rate=rate,
            time_limit_seconds=time_limit_seconds,
        )

    def _make_burst_plan(self, rate: float) -> list[client.ScheduledRequest]:
        """Return arrivals with an added burst of 150 short requests within a tenth of a second."""
        plan = self._make_plan(rate)
        short_requests = [
            request for request in plan if request.prompt_tokens < SHORT_PROMPT_TOKENS
        ]
        burst = [
            attrs.evolve(
                short_requests[n % len(short_requests)],
                send_at_seconds=5.0 + n / 1500,
                prompt_seed=f"herd {n}",
            )
            for n in range(BURST_REQUEST_COUNT)
        ]
        return plan + burst

    def _kill_zone(self) -> None:
        zone = self.fleet.zones[0]
        for host in self.fleet.settings.hosts:
            if host.availability_zone == zone:
                self.fleet.kill(f"entry-{host.name}")
                if host.control_inner_port:
                    self.fleet.kill(f"control-{host.name}")
        for number in range(1, ENGINE_COUNT + 1):
            if self.fleet.zones[number % len(self.fleet.zones)] == zone:
                self.fleet.kill(f"{self._service}-{number}")

    def _submit_owner_restart(self) -> None:
        self._executor.submit(self._kill_and_restart_owner)

    def _kill_and_restart_owner(self) -> None:
        """Kill and restart the entry that owns the first shard."""
        for status in self.fleet.make_control_client().fetch_statuses():
            if status.get("leads"):
                name = "entry-" + status["shards"][0]["owner"].partition("#")[0]
                self.fleet.kill(name)
                self.fleet.restart(name)
                return


def main(
    deployment: str = "hanbit",
    phases: str | tuple[str, ...] = PHASES,
    policies: str | tuple[str, ...] = POLICIES,
    seed: int = 4711,
) -> None:
    """Run the phases under each policy and write the results to the folder out.

    Parameters
    ----------
    deployment : str
        ``hanbit`` or ``cenotvar``.
    phases, policies : str or tuple of str
        Names, separated by commas.
    seed : int
        Seed of the arrivals.
    """
    phase_names = phases.split(",") if isinstance(phases, str) else list(phases)
    policy_names = policies.split(",") if isinstance(policies, str) else list(policies)
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    run: dict[str, Any] = {"deployment": deployment, "seed": seed, "policies": {}}
    run["capacity_requests_per_second"] = saturation_rate(workload.MIXES[deployment])
    for policy in policy_names:
        runner = PhaseRunner(deployment, policy, seed)
        try:
            run["policies"][policy] = {}
            for name in phase_names:
                stats = runner.run(name)
                run["policies"][policy][name] = stats
                print(report.format_phase(policy, name, stats), flush=True)
        finally:
            runner.close()
    path = OUTPUT_FOLDER / f"load-{deployment}.json"
    path.write_text(json.dumps(run, indent=2))
    paths = report.write_report(run, pathlib.Path(OUTPUT_FOLDER))
    print(f"written: {path.name}, {', '.join(report_path.name for report_path in paths)}")


if __name__ == "__main__":
    fire.Fire(main)
