"""The policy under load against the naive version: same run, same seed, same stand-ins.

Real daemons and stand-ins over loopback, open-loop arrivals. Writes out/load-DEPLOYMENT.json, a
report and plots beside it.
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
PREFILL_RATE = 40_000.0
ENGINES = 8
PHASE_SECONDS = 20.0
DRAIN_SECONDS = 60.0
WARM_UP_SECONDS = 5.0
TIME_LIMIT_SECONDS = 60.0
OVERLOAD_LIMIT_SECONDS = 8.0
SHORT_TOKENS = 4_000
HERD_REQUESTS = 150
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
OUT = fleets.ROOT / "out"


@attrs.frozen
class Phase:
    """Arrivals and faults of one phase."""

    plan: list[client.ScheduledRequest]
    actions: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)


def capacity_rate(mix: workload.WorkloadMix) -> float:
    """Return the requests a second whose prefill the engines can just do."""
    rng = random.Random(0)
    mean = sum(workload.draw_prompt_tokens(rng, mix) for _ in range(20_000)) / 20_000
    return ENGINES * PREFILL_RATE / TIME_SCALE / mean


class Runner:
    """Runs phases on one fleet.

    Parameters
    ----------
    deployment : str
    policy : str
    seed : int
    """

    def __init__(self, deployment: str, policy: str, seed: int):
        self._mix = workload.MIXES[deployment]
        self._seed = seed
        self._pool = futures.ThreadPoolExecutor(4)
        examples = fleets.ROOT / "examples" / deployment
        document = json.loads((examples / "settings.json").read_text())
        declaration = json.loads((examples / "declaration.json").read_text())
        declaration["policy"]["selection"] = policy
        self._service = declaration["services"][0]["name"]
        self.fleet = fleets.Fleet(OUT / f"fleet-{policy}", document, time_scale=TIME_SCALE)
        self.fleet.start_daemons()
        self.fleet.start_servers(
            [
                fleets.ServerGroup(
                    self._service,
                    ENGINES,
                    options={"models": f"{self._mix.model}@1", "prefill_rate": PREFILL_RATE},
                )
            ]
        )
        self.fleet.wait_leader()
        self.fleet.apply(declaration)
        self._wait()
        self._warm_up()

    def _warm_up(self) -> None:
        """Send requests that don't count, so that the first phase meets no cold process."""
        plan = workload.make_plan(self._mix, seed=1, seconds=WARM_UP_SECONDS, rate=20.0)
        shorts = [one for one in plan if one.prompt_tokens < SHORT_TOKENS]
        client.LoadClient(self.fleet.entry_urls, 1).run(shorts)

    def _wait(self) -> None:
        self.fleet.wait_ready()
        self.fleet.wait_servers(self._service, ENGINES)
        time.sleep(3)

    def close(self) -> None:
        """End all processes."""
        self._pool.shutdown()
        self.fleet.close()

    def run(self, name: str) -> dict[str, Any]:
        """Run a phase and return its figures."""
        phase = self._make_phase(name)
        begun = time.monotonic()
        caller = client.LoadClient(self.fleet.entry_urls, self._seed)
        results = caller.run(
            phase.plan, actions=phase.actions, deadline_seconds=PHASE_SECONDS + DRAIN_SECONDS
        )
        seconds = time.monotonic() - begun
        figures = report.summarize(
            results,
            request_count=len(phase.plan),
            seconds=seconds,
            prefill_rate=PREFILL_RATE / TIME_SCALE,
        )
        self._pool.submit(lambda: None).result()
        for process in self.fleet.list_ended():
            self.fleet.restart(process)
        self._wait()
        figures["memory_left"] = self._memory_left()
        return figures

    def _memory_left(self) -> int:
        names = self.fleet.server_urls
        return sum(self.fleet.server_state(name)["memory_used"] for name in names)

    def _make_phase(self, name: str) -> Phase:
        rate = capacity_rate(self._mix)
        match name:
            case "alone":
                plan = [one for one in self._plan(0.8 * rate) if one.prompt_tokens < SHORT_TOKENS]
                return Phase(plan)
            case "mixed":
                return Phase(self._plan(0.8 * rate))
            case "full":
                return Phase(self._plan(rate, time_limit_seconds=OVERLOAD_LIMIT_SECONDS))
            case "overload":
                return Phase(self._plan(1.5 * rate, time_limit_seconds=OVERLOAD_LIMIT_SECONDS))
            case "engine-lost":
                kill = (5.0, lambda: self.fleet.kill(f"{self._service}-1"))
                return Phase(self._plan(0.6 * rate), [kill])
            case "entry-lost":
                host = self.fleet.settings.entry_hosts[1].name
                kill = (5.0, lambda: self.fleet.kill(f"entry-{host}"))
                return Phase(self._plan(0.6 * rate), [kill])
            case "zone-lost":
                return Phase(self._plan(0.5 * rate), [(5.0, self._kill_zone)])
            case "herd":
                return Phase(self._herd(0.5 * rate), [(3.0, self._restart_owner)])
        raise ValueError(f"phase {name!r}: takes one of {', '.join(PHASES)}")

    def _plan(
        self, rate: float, *, time_limit_seconds: float = TIME_LIMIT_SECONDS
    ) -> list[client.ScheduledRequest]:
        return workload.make_plan(
            self._mix,
            seed=self._seed,
            seconds=PHASE_SECONDS,
            rate=rate,
            time_limit_seconds=time_limit_seconds,
        )

    def _herd(self, rate: float) -> list[client.ScheduledRequest]:
        """Return arrivals of which many come in the same tenth of a second."""
        plan = self._plan(rate)
        shorts = [one for one in plan if one.prompt_tokens < SHORT_TOKENS]
        herd = [
            attrs.evolve(shorts[n % len(shorts)], at=5.0 + n / 1500, prompt_seed=f"herd {n}")
            for n in range(HERD_REQUESTS)
        ]
        return plan + herd

    def _kill_zone(self) -> None:
        zone = self.fleet.zones[0]
        for host in self.fleet.settings.hosts:
            if host.availability_zone == zone:
                self.fleet.kill(f"entry-{host.name}")
                if host.control_inner_port:
                    self.fleet.kill(f"control-{host.name}")
        for number in range(1, ENGINES + 1):
            if self.fleet.zones[number % len(self.fleet.zones)] == zone:
                self.fleet.kill(f"{self._service}-{number}")

    def _restart_owner(self) -> None:
        self._pool.submit(self._restart_owner_now)

    def _restart_owner_now(self) -> None:
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
    """Run phases under each policy and write the report.

    Parameters
    ----------
    deployment : str
        ``hanbit`` or ``cenotvar``.
    phases, policies : str or tuple of str
        With commas between them.
    seed : int
        Seed of the arrivals.
    """
    names = phases.split(",") if isinstance(phases, str) else list(phases)
    chosen = policies.split(",") if isinstance(policies, str) else list(policies)
    OUT.mkdir(exist_ok=True)
    found: dict[str, Any] = {"deployment": deployment, "seed": seed, "policies": {}}
    found["capacity_requests_per_second"] = capacity_rate(workload.MIXES[deployment])
    for policy in chosen:
        runner = Runner(deployment, policy, seed)
        try:
            found["policies"][policy] = {}
            for name in names:
                figures = runner.run(name)
                found["policies"][policy][name] = figures
                print(report.format_phase(policy, name, figures), flush=True)
        finally:
            runner.close()
    path = OUT / f"load-{deployment}.json"
    path.write_text(json.dumps(found, indent=2))
    written = report.write_report(found, pathlib.Path(OUT))
    print(f"written: {path.name}, {', '.join(one.name for one in written)}")


if __name__ == "__main__":
    fire.Fire(main)
