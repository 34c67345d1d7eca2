"""Comparison of sequences that are mostly equal."""

from __future__ import annotations

import operator
from collections.abc import Callable, Sequence
from typing import Any


def count_equal_ends(
    first: Sequence[Any], second: Sequence[Any], is_equal: Callable[[Any, Any], bool]
) -> tuple[int, int]:
    """Return how many items are equal at the start and, of the remaining ones, at the end."""
    limit = min(len(first), len(second))
    start = _count_equal(map(is_equal, first, second), limit)
    end = _count_equal(map(is_equal, reversed(first), reversed(second)), limit)
    return start, min(end, limit - start)


def _count_equal(comparisons: map[bool], count: int) -> int:
    """Return how many of ``count`` comparisons come before the first that is false."""
    try:
        return operator.indexOf(comparisons, False)  # ends there, in contrast to a list of all
    except ValueError:
        return count
