"""Long randomised runs: many seeds of the scenarios in `flamingoramp.tests`, in parallel."""

from __future__ import annotations

import sys
import time
import traceback
from concurrent import futures

import fire

from flamingoramp.tests import control_scenarios, scenarios

WORKERS = 6


def run_seed(seed: int, steps: int, shards: tuple[int, ...]) -> str:
    """Run one seed and return its failure, empty if there was none.

    Without shards, the run is one of control hosts that are replaced.
    """
    try:
        if any(shards):
            scenarios.Scenario(seed, shards=shards).run(steps)
        else:
            control_scenarios.ControlScenario(seed).run(steps)
    except Exception:
        return traceback.format_exc(limit=-3)
    return ""


def main(
    seeds: int = 1000, steps: int = 400, first: int = 1, shards: int | tuple[int, ...] = 1
) -> None:
    """Run seeds and print each failure with the command that repeats it.

    Parameters
    ----------
    seeds, steps, first : int
        How many seeds, steps of each, and the first seed.
    shards : int or tuple of int
        Shards of the engines' service; with several numbers, by turns with each declaration. 0
        for control hosts that find each other by seeds and are replaced.
    """
    counts = (shards,) if isinstance(shards, int) else tuple(shards)
    named = ",".join(map(str, counts))
    begun = time.monotonic()
    failed = 0
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = {
            pool.submit(run_seed, seed, steps, counts): seed for seed in range(first, first + seeds)
        }
        for done in futures.as_completed(jobs):
            failure = done.result()
            if failure:
                failed += 1
                seed = jobs[done]
                print(failure)
                repeat = f"make soak SEEDS=1 STEPS={steps} FIRST={seed} SHARDS={named}"
                print(f"repeat: {repeat}", flush=True)
    seconds = time.monotonic() - begun
    print(f"{seeds} seeds of {steps} steps, shards {named}, in {seconds:.0f} s")
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
