"""Tests of the comparison of sequences."""

from __future__ import annotations

import operator
import random
import unittest

from flamingoramp import sequences


def count_common_items(first: list[int], second: list[int]) -> int:
    """Return how many items are equal from the start on, one by one."""
    count = 0
    while count < min(len(first), len(second)) and first[count] == second[count]:
        count += 1
    return count


class TestEqualEnds(unittest.TestCase):
    """Equal items at the start and at the end of two sequences."""

    def test_random_sequences_give_the_result_of_a_comparison_one_by_one(self):
        for seed in range(5000):
            rng = random.Random(seed)
            first = [rng.randrange(3) for _ in range(rng.randrange(8))]
            second = list(first) if rng.random() < 0.3 else []
            second[rng.randrange(9) :] = [rng.randrange(3) for _ in range(rng.randrange(8))]
            start = count_common_items(first, second)
            end = count_common_items(first[start:][::-1], second[start:][::-1])
            with self.subTest(seed=seed):
                found = sequences.count_equal_ends(first, second, operator.eq)
                self.assertEqual(found, (start, end))

    # Guards against comparing all items of a document of which most have changed.
    def test_comparison_ends_at_the_first_difference(self):
        compared = []

        def _is_equal(first: int, second: int) -> bool:
            compared.append((first, second))
            return first == second

        first, second = list(range(100)), [*range(3), *range(200, 295), *range(98, 100)]
        self.assertEqual(sequences.count_equal_ends(first, second, _is_equal), (3, 2))
        self.assertEqual(len(compared), 4 + 3)


if __name__ == "__main__":
    unittest.main()
