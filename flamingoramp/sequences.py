"""Comparison of sequences that are mostly equal."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any


def count_equal_ends(
    first: Sequence[Any], second: Sequence[Any], is_equal: Callable[[Any, Any], bool]
) -> tuple[int, int]:
    """Return how many items are equal at the start and, of the remaining ones, at the end."""
    start = _count_equal(map(is_equal, first, second))
    limit = min(len(first), len(second)) - start
    end = _count_equal(map(is_equal, reversed(first), reversed(second)))
    return start, min(end, limit)


def _count_equal(comparisons: map[bool]) -> int:
    results = list(comparisons)
    try:
        return results.index(False)
    except ValueError:
        return len(results)
