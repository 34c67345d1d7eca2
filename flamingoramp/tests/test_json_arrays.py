"""Tests of splitting an array of which an earlier version was split before."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from flamingoramp import json_arrays, json_documents, steps

ELEMENTS = (
    *("1", "12", "-1.5e3", "true", "null", '""', '"a,b"', '"]"', '"["', '"\\""', '"\\\\"'),
    *("{}", "[]", "[1, 2]", '{"a": [1, {"b": "},{"}], "c": 1}', '[["]"], []]', '"\u00e9"'),
)
SPACES = ("", "", " ", "\n\t", "\r ")
DAMAGES = ('"', "\\", "[", "]", "{", "}", ",", ",,", " ", "1", "],[", '","', "\x00", "\u00e9")


def split(text: bytes, previous: json_arrays.SplitArray) -> json_arrays.ArrayChange:
    """Split an array with an earlier one."""
    return steps.run_all(json_arrays.split_in_steps(text, previous))


def join(elements: list[str], rng: random.Random, spaces: tuple[str, ...]) -> str:
    """Return an array with whitespace between the tokens."""

    def _space() -> str:
        return rng.choice(spaces)

    inner = ",".join(f"{_space()}{element}{_space()}" for element in elements)
    return f"[{inner}{_space()}]"


def change(text: str, elements: list[str], rng: random.Random) -> str:
    """Return another array, or a text that may be none."""
    elements = list(elements)
    match rng.randrange(4):
        case 0:
            start = rng.randrange(len(elements) + 1)
            added = rng.choices(ELEMENTS, k=rng.randrange(3))
            elements[start : start + rng.randrange(3)] = added
            return join(elements, rng, (" ",))
        case 1:
            rng.shuffle(elements)
            return join(elements, rng, SPACES)
        case _:
            for _ in range(rng.randrange(1, 3)):
                position = rng.randrange(len(text) + 1)
                damage = rng.choice([*DAMAGES, *ELEMENTS])
                text = text[:position] + damage + text[position + rng.randrange(3) :]
            return text


class TestSplit(unittest.TestCase):
    """The result is that of splitting the array from scratch."""

    # Guards against elements that end or begin elsewhere since a change before them went unseen.
    def test_random_changes_give_the_result_of_splitting_from_scratch(self):
        shared_count = valid_count = 0
        for seed in range(30_000):
            rng = random.Random(seed)
            elements = rng.choices(ELEMENTS, k=rng.randrange(12))
            text = join(elements, rng, (" ",) if rng.random() < 0.7 else SPACES)
            array = split(text.encode(), json_arrays.SplitArray()).array
            for _ in range(3):
                changed = change(text, [element.decode() for element in array.elements], rng)
                with self.subTest(seed=seed, text=text, changed=changed):
                    found = self.assert_same(changed.encode(), array)
                if found is not None:
                    text, array = changed, found.array
                    valid_count += 1
                    shared_count += found.equal_at_start + found.equal_at_end > 0
        self.assertGreater(valid_count, 30_000)
        self.assertGreater(shared_count, valid_count / 4)

    def assert_same(
        self, text: bytes, previous: json_arrays.SplitArray
    ) -> json_arrays.ArrayChange | None:
        try:
            expected = json_documents.split_array(text)
        except ValueError as error:
            with self.assertRaises(ValueError) as raised:
                split(text, previous)
            self.assertEqual(str(raised.exception), str(error))
            return None
        found = split(text, previous)
        elements, start, end = found.array.elements, found.equal_at_start, found.equal_at_end
        self.assertEqual(elements, expected)
        self.assertEqual(elements[:start], previous.elements[:start])
        self.assertEqual(
            elements[len(elements) - end :], previous.elements[len(previous.elements) - end :]
        )
        self.assertLessEqual(start + end, min(len(elements), len(previous.elements)))
        for position, element in zip(found.array.starts, elements, strict=True):
            self.assertTrue(text.startswith(element, position))
        self.assertEqual(found.array.starts, json_arrays.SplitArray(text, expected).starts)
        return found

    # Guards against scanning a large array again for a change of one element.
    def test_only_the_changed_range_is_scanned(self):
        elements = [f'{{"name": "{number}"}}' for number in range(1000)]
        changes = {
            "replaced": [*elements[:500], "1", *elements[501:]],
            "replaced at the start": ["1", *elements[1:]],
            "replaced at the end": [*elements[:-1], "1"],
            "added": [*elements[:300], "1", "2", *elements[300:]],
            "added at the end": [*elements, "1"],
            "removed": [*elements[:300], *elements[310:]],
            "removed at the start": elements[1:],
            "removed at the end": elements[:-1],
        }
        for separator in (",", ", ", " ,\n"):
            text = f"[{separator.join(elements)}]".encode()
            for name, changed in changes.items():
                array = split(text, json_arrays.SplitArray()).array
                changed_text = f"[{separator.join(changed)}]".encode()
                decoder = mock.Mock(wraps=json_documents._ELEMENTS_DECODER)
                with (
                    self.subTest(change=name, separator=separator),
                    mock.patch.object(json_documents, "_ELEMENTS_DECODER", decoder),
                ):
                    found = split(changed_text, array).array
                    self.assertEqual(found.elements, [element.encode() for element in changed])
                    scanned_bytes = sum(len(call.args[0]) for call in decoder.decode.mock_calls)
                    self.assertLess(scanned_bytes, 100)


if __name__ == "__main__":
    unittest.main()
