"""Texts of the elements of a JSON array, of which an earlier version may have been split before."""

from __future__ import annotations

import functools
import re
from collections.abc import Generator

import attrs

from flamingoramp import json_documents

_WHITESPACE = b" \t\r\n"
# What stands before an element; no element begins with one of these.
_BETWEEN_PATTERN = re.compile(rb"[ \t\r\n,]*")
# A changed range that is longer, as a share of the text, is not split apart from the rest.
_MAX_CHANGED_RATIO = 0.5


@attrs.frozen(slots=False, eq=False)
class SplitArray:
    """An array and the texts of its elements."""

    text: bytes = b""
    elements: list[bytes] = attrs.field(factory=list)

    @functools.cached_property
    def starts(self) -> list[int]:
        """Position of each element in the text."""
        text, match = self.text, _BETWEEN_PATTERN.match
        starts = []
        position = text.find(b"[") + 1
        for length in map(len, self.elements):
            position = match(text, position).end()
            starts.append(position)
            position += length
        return starts


@attrs.frozen(eq=False)
class ArrayChange:
    """A new version of an array, and how many elements it shares with the previous one."""

    array: SplitArray
    equal_at_start: int
    equal_at_end: int


def split_in_steps(text: bytes, previous: SplitArray) -> Generator[None, None, ArrayChange]:
    """Split an array in short steps; only the range that differs from an earlier array is scanned.

    Elements may be equal without being counted as shared.

    Raises
    ------
    ValueError
        The text is no array.
    """
    if previous.elements:
        _ = previous.starts
        yield
        change = _split_changed_range(text, previous)
        if change is not None:
            return change
        yield
    elements = yield from json_documents.split_array_in_steps(text)
    return ArrayChange(SplitArray(text, elements), 0, 0)


def _split_changed_range(text: bytes, previous: SplitArray) -> ArrayChange | None:
    """Return the result if most of the text is that of the previous array, else None.

    What stands before the changed range ends where an element begins, and so does the range, so
    that the scan of what follows begins as it did in the previous array.
    """
    starts = previous.starts
    if text[: starts[0]] != previous.text[: starts[0]]:
        return None
    first = _find_first_changed(text, previous)
    last = _find_first_equal(text, previous, first)
    shift = len(text) - len(previous.text)
    has_rest = last < len(starts)
    begin, end = starts[first], starts[last] + shift if has_rest else len(text)
    if end - begin > len(text) * _MAX_CHANGED_RATIO:
        return None
    changed = text[begin:end]
    middle = SplitArray()  # items were only removed
    if changed:
        if has_rest:
            changed = changed.rstrip(_WHITESPACE)
            if not changed.endswith(b","):
                return None
            changed = changed[:-1] + b"]"
        try:
            middle = SplitArray(b"[" + changed, json_documents.split_array(b"[" + changed))
        except ValueError:
            return None  # the scan of the whole array finds the reason
        if not middle.elements:
            return None
    array = SplitArray(
        text, [*previous.elements[:first], *middle.elements, *previous.elements[last:]]
    )
    array.__dict__["starts"] = [
        *starts[:first],
        *[start - 1 + begin for start in middle.starts],
        *[start + shift for start in starts[last:]],
    ]
    return ArrayChange(array, first, len(starts) - last)


def _find_first_changed(text: bytes, previous: SplitArray) -> int:
    """Return the last element up to whose start both texts are equal."""
    starts, previous_text = previous.starts, previous.text
    first, end = 0, len(starts)
    while end - first > 1:
        middle = (first + end) // 2
        compared = slice(starts[first], starts[middle])
        if text[compared] == previous_text[compared]:
            first = middle
        else:
            end = middle
    return first


def _find_first_equal(text: bytes, previous: SplitArray, first_changed: int) -> int:
    """Return the first element from whose start on both texts are equal; their number if none."""
    starts, previous_text = previous.starts, previous.text
    shift = len(text) - len(previous_text)
    low, found, end = first_changed, len(starts), len(previous_text)
    while low < found:
        middle = (low + found) // 2
        start = starts[middle]
        if (
            start + shift >= starts[first_changed]
            and text[start + shift : end + shift] == previous_text[start:end]
        ):
            found, end = middle, start
        else:
            low = middle + 1
    return found
