"""Long randomised runs: many seeds of `flamingoramp.tests.scenarios`, in parallel."""

from __future__ import annotations

import sys
import time
import traceback
from concurrent import futures

import fire

from flamingoramp.tests import scenarios

WORKERS = 6


def run_seed(seed: int, steps: int) -> str:
    """Run one seed and return its failure, empty if there was none."""
    try:
        scenarios.Scenario(seed).run(steps)
    except Exception:
        return traceback.format_exc(limit=-3)
    return ""


def main(seeds: int = 1000, steps: int = 400, first: int = 1) -> None:
    """Run seeds and print each failure with the command that repeats it."""
    begun = time.monotonic()
    failed = 0
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = {pool.submit(run_seed, seed, steps): seed for seed in range(first, first + seeds)}
        for done in futures.as_completed(jobs):
            failure = done.result()
            if failure:
                failed += 1
                seed = jobs[done]
                print(failure)
                print(f"repeat: make soak SEEDS=1 STEPS={steps} FIRST={seed}", flush=True)
    seconds = time.monotonic() - begun
    print(f"{seeds} seeds of {steps} steps in {seconds:.0f} s")
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
