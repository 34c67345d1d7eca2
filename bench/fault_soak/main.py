"""Soak of real processes, judged by what callers, servers and the operator saw.

    python -m bench.fault_soak.main --seeds=50 --first=1

Each run writes a folder with the seed's plan, the logs of all processes, the history and what was
found. The folder of a run that passed is kept if a folder is named.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from typing import Any

import attrs
import fire

from bench.fault_soak import checker, scenario
from bench.fault_soak import history as histories
from bench.fault_soak import plan as plans

WORKER_COUNT = 2
# Seeds that run at the same time have processes, and networks, of their own.
NETWORK_COUNT = 250
CLAIM_PORT = 25_000
MAX_SHOWN = 8
PLAY_AGAIN = "python -m bench.fault_soak.main --seeds=1 --first={seed}"


@attrs.frozen
class Result:
    """What a seed has shown."""

    seed: int
    folder: pathlib.Path
    violations: list[checker.Violation]
    error: str
    request_count: int
    seconds: float
    stalled_seconds: float

    @property
    def has_passed(self) -> bool:
        """Whether all promises were kept."""
        return not self.violations and not self.error


def run_seed(seed: int, folder: pathlib.Path | None = None) -> Result:
    """Run a seed and check its history; all that it did is written to a folder."""
    folder = (folder or pathlib.Path(tempfile.mkdtemp(prefix=f"fault-soak-{seed}-"))).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    plan = plans.make_plan(seed)
    (folder / "plan.json").write_text(json.dumps(attrs.asdict(plan), indent=1))
    network, claim = _claim_network()
    started_at = time.monotonic()
    error = ""
    with claim:
        run = scenario.Scenario(plan, folder, network)
        try:
            run.run()
        except Exception:
            error = traceback.format_exc(limit=-4)
        finally:
            run.close()
    histories.save(run.history, folder / "history.json")
    violations = [] if error else checker.check(run.history)
    seconds = time.monotonic() - started_at
    stalled_seconds = sum(end - begin for begin, end in run.history.stalls)
    request_count = len(run.history.requests)
    result = Result(seed, folder, violations, error, request_count, seconds, stalled_seconds)
    (folder / "result.txt").write_text(describe(result))
    return result


def _claim_network() -> tuple[int, socket.socket]:
    """Return a network that no other run on this machine uses, and the socket that claims it.

    Raises
    ------
    OSError
        All networks are in use.
    """
    for offset in range(NETWORK_COUNT):
        network = (os.getpid() + offset) % NETWORK_COUNT
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.1.{network}.254", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
    raise OSError("all networks are in use")


def describe(result: Result) -> str:
    """Return what a seed has shown, in lines."""
    lines = [
        f"seed {result.seed}: {'passed' if result.has_passed else 'FAILED'}, "
        f"{result.request_count} requests, {result.seconds:.0f} s, "
        f"of these stalled: {result.stalled_seconds:.1f} s"
    ]
    if not result.has_passed:
        lines += [f"  again: {PLAY_AGAIN.format(seed=result.seed)}", f"  folder: {result.folder}"]
        lines += [f"  {item.promise}: {item.subject}: {item.text}" for item in result.violations]
        lines += [f"  {line}" for line in result.error.splitlines()]
    return "\n".join(lines) + "\n"


def _show(result: Result) -> None:
    lines = describe(result).splitlines()
    hidden = len(lines) - MAX_SHOWN - 3
    shown = lines if hidden <= 0 else [*lines[: MAX_SHOWN + 3], f"  and {hidden} more"]
    print("\n".join(shown), flush=True)


def _interrupt(_signal: int, _frame: Any) -> None:
    raise KeyboardInterrupt


def handle_stop() -> None:
    """Let SIGTERM end this process as SIGINT does, after the processes that it has started."""
    signal.signal(signal.SIGTERM, _interrupt)


def _run(arguments: tuple[int, pathlib.Path | None]) -> Result:
    return run_seed(*arguments)


def main(seeds: int = 50, first: int = 1, workers: int = WORKER_COUNT, folder: str = "") -> None:
    """Run a range of seeds; print each result, and exit with 1 if there is any failure.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first one.
    workers : int
        Number of seeds that run at the same time.
    folder : str
        Folder of the runs' folders; empty for temporary ones, which are deleted if they passed.
    """
    started_at = time.monotonic()
    failed = []
    handle_stop()
    runs = [
        (seed, pathlib.Path(folder, str(seed)) if folder else None)
        for seed in range(first, first + seeds)
    ]
    # The end of the block ends workers that still run.
    with multiprocessing.Pool(workers, initializer=handle_stop) as pool:
        try:
            for count, result in enumerate(pool.imap_unordered(_run, runs), 1):
                _show(result)
                if not result.has_passed:
                    failed.append(result.seed)
                elif not folder:
                    shutil.rmtree(result.folder, ignore_errors=True)
                print(f"{count} of {seeds} seeds, {len(failed)} failed", flush=True)
            pool.close()
            pool.join()
        except KeyboardInterrupt:
            pool.terminate()
            pool.join()
            sys.exit(f"interrupted; {len(failed)} failed {sorted(failed)}")
    seconds = time.monotonic() - started_at
    print(f"{seeds - len(failed)} passed, {len(failed)} failed {sorted(failed)} ({seconds:.0f} s)")
    sys.exit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
