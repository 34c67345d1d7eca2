"""Simulates load patterns with production routing, and compares policies on the same arrivals."""

from __future__ import annotations

import importlib
import json
import pathlib
import sys
import time
from concurrent import futures
from typing import Any

import attrs
import fire

from bench.experiment import bounds, figures, simulation, workloads

WORKER_COUNT = 8
# Time over which the requests of a run arrive.
ARRIVAL_SECONDS = 34.0


@attrs.frozen
class Policy:
    """A variant of the routing decisions, given by other values of module constants.

    Parameters
    ----------
    name : str
    constants : tuple of (str, float)
        Path ``module.CONSTANT`` relative to the package `flamingoramp`, and the value.
    """

    name: str
    constants: tuple[tuple[str, float], ...] = ()

    def apply(self) -> None:
        """Set the constants in this process.

        Raises
        ------
        ValueError
            A module has no constant of this name.
        """
        for path, value in self.constants:
            module_name, _, constant = path.rpartition(".")
            module = importlib.import_module(f"flamingoramp.{module_name}")
            if not hasattr(module, constant):
                raise ValueError(f"{path}: module {module.__name__} has no constant {constant!r}")
            setattr(module, constant, value)


@attrs.frozen
class Task:
    """Parameters of one run; the attributes are keys of the results.

    Parameters
    ----------
    deployment, pattern : str
        Names of a deployment and of a load pattern in `workloads`.
    policy : Policy
    seed : int
    load : float
        Factor of the deployment's arrival rates.
    with_bound : bool
        Whether the upper bound on the credit is computed too.
    """

    deployment: str
    pattern: str
    policy: Policy
    seed: int
    load: float
    with_bound: bool


def run_task(task: Task) -> dict[str, Any]:
    """Simulate one run and return its summary; the policy's constants stay set in this process."""
    task.policy.apply()
    deployment = workloads.scale_load(workloads.DEPLOYMENTS[task.deployment], task.load)
    pattern = workloads.PATTERNS[task.pattern]
    result = simulation.Simulation(
        deployment, pattern, arrival_seconds=ARRIVAL_SECONDS, seed=task.seed
    ).run()
    summary = figures.summarize(result)
    if task.with_bound:
        arrivals = [record.arrival for record in result.records]
        summary["bound"] = bounds.max_credit_ratio(
            deployment, pattern, arrivals, arrival_seconds=ARRIVAL_SECONDS
        )
    return summary


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
    """Simulate load patterns, write a JSON file and an image of plots, and print a table.

    Parameters
    ----------
    deployment : str
        Name of a deployment: hanbit or cenotvar.
    patterns : str or tuple of str
        Names of load patterns; all by default.
    seeds : int
        Number of runs of each pattern and policy, each with its own seed.
    first : int
        First seed; the others are the integers that follow.
    load : float
        Factor of the deployment's arrival rates.
    bound : bool
        Whether to compute an upper bound on the credit that any policy can earn.
    output : str
        Folder for the JSON file and the image.
    policies : str
        Policies to compare with the present constants, one flag each:
        ``--NAME=routing.placement.FREE_SHARE=0.6,...``.
    """
    compared_policies = [Policy("present"), *(_parse_policy(*item) for item in policies.items())]
    pattern_names = (patterns,) if isinstance(patterns, str) else tuple(patterns)
    tasks = [
        Task(deployment, pattern, policy, seed, load, bound and policy.name == "present")
        for pattern in pattern_names
        for policy in compared_policies
        for seed in range(first, first + seeds)
    ]
    results = _run_tasks(tasks)
    means = {
        pattern: {
            policy.name: figures.average(
                [results[run] for run in tasks if (run.pattern, run.policy) == (pattern, policy)]
            )
            for policy in compared_policies
        }
        for pattern in pattern_names
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


def _run_tasks(tasks: list[Task]) -> dict[Task, dict[str, Any]]:
    """Run tasks in parallel and print the progress to standard error."""
    started_at = time.monotonic()
    results = {}
    # Each task runs in a new process, because policies change the constants of modules.
    with futures.ProcessPoolExecutor(WORKER_COUNT, max_tasks_per_child=1) as pool:
        tasks_by_future = {pool.submit(run_task, task): task for task in tasks}
        for count, future in enumerate(futures.as_completed(tasks_by_future), 1):
            results[tasks_by_future[future]] = future.result()
            seconds = time.monotonic() - started_at
            print(f"\r{count} of {len(tasks)} runs, {seconds:.0f} s", end="", file=sys.stderr)
    print(file=sys.stderr)
    return results


def _print_table(means: dict[str, dict[str, dict[str, Any]]]) -> None:
    print(
        f"{'pattern':12} {'policy':12} worth bound  on time by kind      short p95  refused"
        "  slow met  mispred."
    )
    for pattern, by_policy in means.items():
        for policy, mean in by_policy.items():
            kinds = mean["kinds"]
            on_time = " ".join(
                f"{kinds[kind]['shares']['on_time']:.3f}" if kind in kinds else "  -  "
                for kind in figures.KIND_NAMES
            )
            short = kinds[workloads.SHORT_KIND_NAME]
            bound = f"{mean['bound']:.3f}" if "bound" in mean else "  -  "
            print(
                f"{pattern:12} {policy:12} {mean['worth']:.3f} {bound}  {on_time}"
                f"  {short['first_token_p95']:9.3f}  {short['shares']['refused']:.3f}"
                f"  {mean['meetings']['slow_after_meeting']:8.3f}"
                f"  {mean['meetings']['mispredicted_short']:8.4f}"
            )


if __name__ == "__main__":
    fire.Fire(main)
