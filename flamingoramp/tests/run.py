"""Runs all unit tests; passes over the failures that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGES = ("flamingoramp", "standins", "bench")
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the ids of tests that are known to fail, from lines ``test: ID``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def main() -> int:
    """Run the tests and return the exit code."""
    suite = unittest.TestSuite(
        unittest.TestLoader().discover(str(ROOT / package), top_level_dir=str(ROOT))
        for package in PACKAGES
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red()
    failed = {case.id(): case for case, _ in result.failures + result.errors}
    failed.update({case.id(): case for case in result.unexpectedSuccesses})
    for name in sorted(failed.keys() & known):
        print(f"known red: {name}")
    for name in sorted(known - failed.keys()):
        print(f"listed in KNOWN-RED.txt but not failed: {name}")
    new = sorted(failed.keys() - known)
    for name in new:
        print(f"failed: {name}")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed")
    return 1 if new or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
