"""Tests of the table of prompts that met at an engine."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import unittest

from bench import meetings
from bench.tests import test_losses

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def make_prompt(
    at: float, entry: str, servers: str, *, tokens: int = 100_000, first_seconds: float = 1.0
) -> meetings.PlacedPrompt:
    """Return a prompt that is predicted to take a second."""
    return meetings.PlacedPrompt(at, entry, frozenset(servers), tokens, 1.0, first_seconds)


class TestGaps(unittest.TestCase):
    """Long prompts are counted by the nearest placement of another entry on their engines."""

    def counts(self, *prompts: meetings.PlacedPrompt) -> tuple[int, ...]:
        return meetings.summarize(prompts).counts

    def test_both_prompts_count_by_the_time_between_them(self):
        prompts = (make_prompt(1.0, "a", "xy"), make_prompt(1.05, "b", "yz"))
        self.assertEqual(self.counts(*prompts), (0, 2, 0, 0, 0, 0))

    def test_nearest_of_several_counts(self):
        prompts = (
            make_prompt(1.0, "a", "x"),
            make_prompt(1.3, "b", "xy"),
            make_prompt(1.31, "c", "y"),
        )
        self.assertEqual(self.counts(*prompts), (2, 0, 0, 1, 0, 0))

    def test_prompts_of_one_entry_or_on_other_engines_do_not_meet(self):
        prompts = (
            make_prompt(1.0, "a", "x"),
            make_prompt(1.0, "a", "x"),
            make_prompt(1.0, "b", "y"),
        )
        self.assertEqual(self.counts(*prompts), (0, 0, 0, 0, 0, 3))

    def test_slow_prompts_are_those_beyond_the_prediction(self):
        summary = meetings.summarize(
            (make_prompt(1.0, "a", "x", first_seconds=1.5), make_prompt(1.01, "b", "x"))
        )
        self.assertEqual(summary.slow_counts, (1, 0, 0, 0, 0, 0))
        self.assertEqual(summary.slow_after_meeting_count, 1)

    def test_mispredicted_short_prompts_are_counted_apart(self):
        summary = meetings.summarize(
            (
                make_prompt(1.0, "a", "x", tokens=5000, first_seconds=3.5),
                make_prompt(1.0, "b", "x", tokens=5000),
            )
        )
        self.assertEqual((summary.mispredicted_count, summary.short_count), (1, 2))
        self.assertEqual(summary.long_count, 0)


class TestLogs(test_losses.LossTestCase):
    """Prompts are read from the logs of a day."""

    def test_prompt_without_first_token_or_sent_twice_is_left_out(self):
        sent = {"server": "x", "helpers": ["y"], "prompt_tokens": 50_000}
        path = self.write(
            "log",
            "\n".join(
                (
                    test_losses.make_sent(1.0, "a", **sent),
                    test_losses.make_end(3.0, "a", 2.0, first_piece=0.5),
                    test_losses.make_sent(1.0, "b", **sent),
                    test_losses.make_end(3.0, "b", 2.0, outcome="caller_gone"),
                    test_losses.make_sent(1.0, "c", **sent),
                    test_losses.make_sent(2.0, "c", **sent),
                    test_losses.make_end(3.0, "c", 2.0, first_piece=1.5),
                )
            ),
        )
        [prompt] = meetings.read_prompts(test_losses.losses.read_log(path))
        self.assertEqual((prompt.entry, prompt.servers), ("entry-1", {"x", "y"}))
        self.assertAlmostEqual(prompt.first_seconds, 0.499)

    def test_bad_input_ends_with_one_line_and_code_2(self):
        of_another_build = self.write(
            "old",
            "\n".join(
                (
                    test_losses.make_sent(1.0, "a"),
                    test_losses.make_end(2.0, "a", 1.0, first_piece=0.5),
                )
            ),
        )
        for arguments in ([], [str(self.folder / "none")], [str(of_another_build)]):
            with self.subTest(arguments):
                result = subprocess.run(
                    [sys.executable, "-m", "bench.meetings", *arguments],
                    cwd=ROOT, capture_output=True, text=True, check=False,
                )  # fmt: skip
                self.assertEqual(result.returncode, 2)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
