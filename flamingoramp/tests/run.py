"""Runs all unit tests in several processes; failures that KNOWN-RED.txt lists don't fail the run.

A unit is a test, or the class or module whose tests share a fixture. Modules in
`EXCLUSIVE_MODULES` run one after the other once all others have ended.
"""

from __future__ import annotations

import importlib
import io
import os
import pathlib
import sys
import time
import traceback
import unittest
from collections.abc import Iterator
from concurrent import futures

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGES = ("flamingoramp", "standins", "bench")
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
SLOWEST_COUNT = 20
# Tests here measure processor time or the memory of processes under a crowd of clients.
EXCLUSIVE_MODULES = (
    "flamingoramp.daemons.tests.test_declaration_updates",
    "flamingoramp.platform.tests.test_client_crowds",
    "flamingoramp.platform.tests.test_incremental_decoding",
    "flamingoramp.platform.tests.test_large_declarations",
)


@attrs.frozen
class Failure:
    """A test that failed, and its traceback."""

    test_id: str
    text: str


@attrs.define
class Outcome:
    """Result of the tests of a unit.

    Attributes
    ----------
    name : str
        Name of the module, class or test.
    test_count : int
    failures : list of Failure
    seconds_by_test : dict of str to float
        Duration of each test.
    """

    name: str
    test_count: int = 0
    failures: list[Failure] = attrs.field(factory=list)
    seconds_by_test: dict[str, float] = attrs.field(factory=dict)


class _TimedResult(unittest.TextTestResult):
    """Result that records the duration of each test."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.seconds_by_test: dict[str, float] = {}
        self._started = 0.0

    def startTest(self, test):  # noqa: N802, D102
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802, D102
        super().stopTest(test)
        self.seconds_by_test[test.id()] = time.monotonic() - self._started


def read_known_failures() -> set[str]:
    """Return the ids of tests that are expected to fail, from lines ``test: ID``."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def find_modules() -> list[str]:
    """Return the names of all test modules."""
    paths = (path for package in PACKAGES for path in (ROOT / package).rglob("test*.py"))
    return sorted(".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths)


def split_module(name: str) -> list[str]:
    """Return the units of a module: its tests, or what shares a fixture: a class or the module."""
    try:
        module = importlib.import_module(name)
    except Exception:  # The unit reports the error as a failed test.
        return [name]
    if hasattr(module, "setUpModule") or hasattr(module, "load_tests"):
        return [name]
    units = []
    for attribute, value in vars(module).items():
        if not (isinstance(value, type) and issubclass(value, unittest.TestCase)):
            continue
        tests = unittest.defaultTestLoader.loadTestsFromTestCase(value)
        if "setUpClass" in vars(value) and tests.countTestCases():
            units.append(f"{name}.{attribute}")
        else:
            units += [f"{name}.{attribute}.{test.id().rpartition('.')[2]}" for test in tests]
    return units


def _test_id(case: unittest.TestCase) -> str:
    """Return the id of a test; of a subtest, that of the test that it belongs to."""
    return getattr(case, "test_case", case).id()


def run_unit(name: str) -> Outcome:
    """Run the tests of a unit."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    runner = unittest.TextTestRunner(io.StringIO(), resultclass=_TimedResult)
    result = runner.run(suite)
    failures = [Failure(_test_id(case), text) for case, text in result.failures + result.errors]
    failures += [Failure(case.id(), "unexpected success") for case in result.unexpectedSuccesses]
    return Outcome(name, result.testsRun, failures, result.seconds_by_test)


def _run_units(units: list[str], worker_count: int) -> Iterator[Outcome]:
    """Run units in several processes and yield their outcomes as they end."""
    with futures.ProcessPoolExecutor(worker_count) as executor:
        name_by_future = {executor.submit(run_unit, unit): unit for unit in units}
        for future in futures.as_completed(name_by_future):
            unit = name_by_future[future]
            try:
                outcome = future.result()
            except Exception:
                outcome = Outcome(unit, failures=[Failure(unit, traceback.format_exc())])
            _print_outcome(outcome)
            yield outcome


def _print_outcome(outcome: Outcome) -> None:
    print("." * (outcome.test_count - len(outcome.failures)), end="", flush=True)
    for failure in outcome.failures:
        print(f"\n{failure.test_id}\n{failure.text}", flush=True)


def _print_slowest(outcomes: list[Outcome]) -> None:
    durations = [
        (seconds, test_id)
        for outcome in outcomes
        for test_id, seconds in outcome.seconds_by_test.items()
    ]
    print(f"\nslowest {SLOWEST_COUNT} tests:")
    for seconds, test_id in sorted(durations, reverse=True)[:SLOWEST_COUNT]:
        print(f"{seconds:7.1f} s  {test_id}")


def main() -> int:
    """Run the tests; return 1 if no test ran or one failed that isn't listed, else 0."""
    modules = find_modules()
    unknown = sorted(set(EXCLUSIVE_MODULES) - set(modules))
    if unknown:
        print(f"EXCLUSIVE_MODULES names modules that don't exist: {', '.join(unknown)}")
        return 1
    shared = [
        unit for name in modules if name not in EXCLUSIVE_MODULES for unit in split_module(name)
    ]
    # Modules, and tests of real processes, take longest.
    shared.sort(key=lambda unit: (unit.count("."), ".platform." not in unit))
    # Tests of real processes mostly wait, so that two thirds of the cores are used in part only.
    outcomes = list(_run_units(shared, max(1, 2 * (os.cpu_count() or 1) // 3)))
    outcomes += _run_units(list(EXCLUSIVE_MODULES), 1)
    _print_slowest(outcomes)
    known_failures = read_known_failures()
    failed_tests = {failure.test_id for outcome in outcomes for failure in outcome.failures}
    for test_id in sorted(failed_tests & known_failures):
        print(f"known red: {test_id}")
    for test_id in sorted(known_failures - failed_tests):
        print(f"listed in KNOWN-RED.txt but not failed: {test_id}")
    unexpected = sorted(failed_tests - known_failures)
    for test_id in unexpected:
        print(f"failed: {test_id}")
    test_count = sum(outcome.test_count for outcome in outcomes)
    print(f"{test_count - len(failed_tests)} passed, {len(failed_tests)} failed")
    return 1 if unexpected or not test_count else 0


if __name__ == "__main__":
    sys.exit(main())
