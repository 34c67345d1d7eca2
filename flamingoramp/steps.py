"""Work that a generator does in short steps, so that other work can run in between."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


def run_all(steps: Generator[None, None, T]) -> T:
    """Run all steps and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
