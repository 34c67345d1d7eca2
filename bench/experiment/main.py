"""Plays load patterns through the real decisions, several policies on the same arrivals."""

from __future__ import annotations

import importlib
import json
import pathlib
import random
import sys
import time
from concurrent import futures
from typing import Any

import attrs
import fire

from bench.experiment import bounds, figures, simulation, workloads

WORKERS = 8
SECONDS = 34.0


@attrs.frozen
class Policy:
    """A variant of the decisions: named constants of modules with other values.

    Parameters
    ----------
    name : str
    constants : tuple of (str, float)
        ``module.CONSTANT`` below `flamingoramp`, and its value.
    """

    name: str
    constants: tuple[tuple[str, float], ...] = ()

    def apply(self) -> None:
        """Set the constants in this process."""
        for path, value in self.constants:
            module_name, _, constant = path.rpartition(".")
            module = importlib.import_module(f"flamingoramp.{module_name}")
            if not hasattr(module, constant):
                raise ValueError(f"{path}: the module has no such constant")
            setattr(module, constant, value)


@attrs.frozen
class Task:
    """One run to play."""

    deployment: str
    pattern: str
    policy: Policy
    seed: int
    load: float
    with_bound: bool


def play(task: Task) -> dict[str, Any]:
    """Play one run in a process of its own and return its figures."""
    task.policy.apply()
    # Entries spread their times to return by the common generator.
    random.seed(task.seed)
    deployment = workloads.scale_load(workloads.DEPLOYMENTS[task.deployment], task.load)
    pattern = workloads.PATTERNS[task.pattern]
    run = simulation.Simulation(deployment, pattern, arrival_seconds=SECONDS, seed=task.seed).run()
    result = figures.summarize(run)
    if task.with_bound:
        arrivals = [one.arrival for one in run.records]
        result["bound"] = bounds.max_credit_ratio(
            deployment, pattern, arrivals, arrival_seconds=SECONDS
        )
    return result


def main(
    deployment: str = "hanbit",
    patterns: str | tuple[str, ...] = tuple(workloads.PATTERNS),
    seeds: int = 5,
    first: int = 1,
    load: float = 1.0,
    bound: bool = True,
    output: str = "build/experiment",
    **policies: str,
) -> None:
    """Play patterns and write a JSON result and a page of plots.

    Parameters
    ----------
    deployment : str
    patterns : str or tuple of str
    seeds, first : int
        How many seeds, and the first.
    load : float
        Arrivals as a multiple of the deployment's.
    bound : bool
        Whether to work out what any policy could earn at most.
    output : str
        Folder for the results.
    policies : str
        Beside the present decisions: ``--NAME=routing.placement.FREE_SHARE=0.6,...``.
    """
    chosen = [Policy("present"), *(_parse_policy(*item) for item in policies.items())]
    names = (patterns,) if isinstance(patterns, str) else tuple(patterns)
    tasks = [
        Task(deployment, pattern, policy, seed, load, bound and policy.name == "present")
        for pattern in names
        for policy in chosen
        for seed in range(first, first + seeds)
    ]
    results = _play_all(tasks)
    means = {
        pattern: {
            policy.name: figures.average(
                [results[one] for one in tasks if (one.pattern, one.policy) == (pattern, policy)]
            )
            for policy in chosen
        }
        for pattern in names
    }
    folder = pathlib.Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    runs = [{**attrs.asdict(task), "figures": results[task]} for task in tasks]
    document = {"deployment": deployment, "means": means, "runs": runs}
    (folder / f"{deployment}.json").write_text(json.dumps(document, indent=1))
    figures.plot(means, folder / f"{deployment}.png")
    _print_table(means)


def _parse_policy(name: str, text: str) -> Policy:
    if not isinstance(text, str):
        text = ",".join(map(str, text))  # the command line splits values at commas
    pairs = (item.strip("() '").partition("=") for item in text.split(","))
    return Policy(name, tuple((path, float(value)) for path, _, value in pairs))


def _play_all(tasks: list[Task]) -> dict[Task, dict[str, Any]]:
    """Play tasks in parallel, with a line that tells how far they are."""
    begun = time.monotonic()
    results = {}
    # A fresh process for each task: policies change constants of modules.
    with futures.ProcessPoolExecutor(WORKERS, max_tasks_per_child=1) as pool:
        jobs = {pool.submit(play, task): task for task in tasks}
        for count, done in enumerate(futures.as_completed(jobs), 1):
            results[jobs[done]] = done.result()
            seconds = time.monotonic() - begun
            print(f"\r{count} of {len(tasks)} runs, {seconds:.0f} s", end="", file=sys.stderr)
    print(file=sys.stderr)
    return results


def _print_table(means: dict[str, dict[str, dict[str, Any]]]) -> None:
    print(f"{'pattern':12} {'policy':12} worth bound  on time by kind      short p95  refused")
    for pattern, by_policy in means.items():
        for policy, mean in by_policy.items():
            kinds = mean["kinds"]
            on_time = " ".join(
                f"{kinds[kind]['shares']['on_time']:.3f}" if kind in kinds else "  -  "
                for kind in figures.KINDS
            )
            short = kinds[workloads.SHORT]
            bound = f"{mean['bound']:.3f}" if "bound" in mean else "  -  "
            print(
                f"{pattern:12} {policy:12} {mean['worth']:.3f} {bound}  {on_time}"
                f"  {short['first_token_p95']:9.3f}  {short['shares']['refused']:.3f}"
            )


if __name__ == "__main__":
    fire.Fire(main)
