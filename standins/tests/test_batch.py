"""Tests of the model of an engine's continuous batching."""

from __future__ import annotations

import unittest

from standins import batch

COSTS = batch.Costs(
    memory_tokens=10_000,
    slots=2,
    max_waiting=1,
    prefill_rate=1000.0,
    decode_seconds=0.01,
    sequence_seconds=0.001,
    chunk_tokens=100,
    steps_per_pass=10,
)


def make_request(name: str, tokens: int = 100, *, output: int = 50, **options) -> batch.Sequence:
    """Return a request whose whole prompt is prefilled and stored on this engine."""
    return batch.Sequence(
        name, 1, options.pop("priority", 5), tokens, tokens, output_tokens=output, **options
    )


def make_part(name: str, tokens: int) -> batch.Sequence:
    """Return a part of another engine's prompt."""
    return batch.Sequence(
        name, 1, 5, tokens, 0, kind=batch.SequenceKind.PROMPT_PART, pairs_per_token=0.0
    )


class BatchCase(unittest.TestCase):
    """A test case with an empty batch whose passes run one after another."""

    def setUp(self):
        self.batch = batch.Batch(COSTS)
        self.now = 0.0

    def run_pass(self) -> list[tuple[str, int]]:
        """Run a pass; return the id and the number of generated tokens of each emission."""
        next_pass = self.batch.next_pass()
        self.now += next_pass.seconds
        return [
            (emission.sequence.request_id, emission.tokens)
            for emission in self.batch.finish_pass(next_pass)
        ]

    def run_until_first_token(self, name: str) -> float:
        """Run passes until a request generates a token, and return the time then."""
        for _ in range(1000):
            if name in dict(self.run_pass()):
                return self.now
        raise AssertionError(f"{name} generated no token in 1,000 passes")


class TestPasses(BatchCase):
    """Duration of passes and the tokens that they generate."""

    def test_single_prompt_takes_one_prefill_step_per_chunk(self):
        self.batch.add(make_request("a", 250))
        # Three prefill steps, each with the base time of a step.
        self.assertAlmostEqual(self.run_until_first_token("a"), 0.25 + 3 * 0.01)

    def test_decoding_pass_generates_a_token_for_each_of_its_steps(self):
        self.batch.add(make_request("a", 100, output=25))
        self.run_until_first_token("a")
        start_seconds = self.now
        self.assertEqual(self.run_pass(), [("a", 10)])
        self.assertAlmostEqual(self.now - start_seconds, 10 * 0.011)
        self.assertEqual(self.run_pass(), [("a", 10)])
        self.assertEqual(self.run_pass(), [("a", 4)])
        self.assertIsNone(self.batch.next_pass())

    def test_decoding_pass_takes_longer_by_the_prefill_in_it(self):
        self.batch.add(make_request("a"))
        self.run_until_first_token("a")
        self.batch.add(make_request("b", 1500))
        start_seconds = self.now
        self.assertEqual(self.run_pass(), [("a", 10)])
        # A pass prefills one chunk per step, so that the rest waits for the next pass.
        self.assertAlmostEqual(self.now - start_seconds, 1.0 + 10 * 0.011)
        self.assertEqual(self.run_pass(), [("b", 1), ("a", 10)][::-1])

    def test_prefill_of_later_chunk_takes_longer_for_more_attention_pairs(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, pair_seconds=1.0, chunk_tokens=10)
        self.batch = batch.Batch(costs)
        self.batch.add(make_request("a", 20))
        self.run_pass()
        self.assertAlmostEqual(self.now, 50.0, places=3)
        self.run_pass()
        self.assertAlmostEqual(self.now, 200.0, places=3)

    def test_prompt_part_takes_time_for_its_pairs_per_token(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, pair_seconds=1.0, chunk_tokens=10)
        self.batch = batch.Batch(costs)
        sequence = make_part("a", 10)
        sequence.pairs_per_token = 7.0
        self.batch.add(sequence)
        self.assertEqual(self.run_pass(), [("a", 0)])
        self.assertAlmostEqual(self.now, 70.0, places=3)

    def test_token_step_takes_longer_by_its_context_tokens(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, sequence_seconds=0.0,
                            context_seconds=0.001, steps_per_pass=2, chunk_tokens=1000)  # fmt: skip
        self.batch = batch.Batch(costs)
        self.batch.add(make_request("a", 500))
        self.run_until_first_token("a")
        start_seconds = self.now
        self.run_pass()
        self.assertAlmostEqual(self.now - start_seconds, 2 * 0.501, places=3)


class TestOrder(BatchCase):
    """Order of prefill and of admission."""

    def test_prompt_part_is_prefilled_before_requests(self):
        self.batch.add(make_request("a", 100))
        self.batch.add(make_part("p", 100))
        self.assertEqual(self.run_pass(), [("p", 0)])
        self.assertEqual(self.run_pass(), [("a", 1)])

    def test_newer_prompt_part_is_prefilled_before_older_one(self):
        self.batch.add(make_part("old", 300))
        self.run_pass()
        self.batch.add(make_part("new", 200))
        emissions = [self.run_pass() for _ in range(4)]
        self.assertEqual(emissions, [[], [("new", 0)], [], [("old", 0)]])

    def test_prompt_part_occupies_no_slot_and_no_memory(self):
        for name in ("a", "b"):
            self.batch.add(make_request(name, 5000, output=0))
        self.batch.add(make_part("p", 100))
        self.assertEqual((self.batch.running_count, self.batch.memory_used), (2, 10_000))
        self.assertEqual(self.run_pass()[0], ("p", 0))

    def test_request_decodes_only_after_its_last_remote_part(self):
        self.batch.add(make_request("a", 100, remote_parts_left=1))
        self.assertEqual(self.run_pass(), [])
        self.assertIsNone(self.batch.next_pass())
        self.batch.finish_remote_part(("a", 1))
        self.assertEqual(self.run_pass(), [("a", 10)])

    def test_most_urgent_waiting_request_is_admitted_first(self):
        for name in ("a", "b"):
            self.batch.add(make_request(name, output=1))
        self.batch.add(make_request("late", priority=7))
        self.batch.add(make_request("urgent", priority=0))
        self.assertEqual(self.batch.waiting_count, 2)
        self.batch.remove(("a", 1))
        self.assertTrue(self.batch.find(("urgent", 1)).is_running)
        self.assertFalse(self.batch.find(("late", 1)).is_running)

    def test_request_is_not_accepted_when_slots_and_queue_are_full(self):
        for name in ("a", "b", "c"):
            self.assertTrue(self.batch.accepts(make_request(name)))
            self.batch.add(make_request(name))
        self.assertFalse(self.batch.accepts(make_request("d")))


class TestMemory(BatchCase):
    """KV-cache memory of requests and reservations."""

    def test_request_waits_until_memory_is_free(self):
        self.batch.add(make_request("a", 6000))
        self.batch.add(make_request("b", 6000))
        self.assertEqual((self.batch.running_count, self.batch.waiting_count), (1, 1))
        self.batch.remove(("a", 1))
        self.assertTrue(self.batch.find(("b", 1)).is_running)

    def test_newest_request_is_preempted_when_memory_runs_out(self):
        self.batch.add(make_request("a", 4900, output=1000))
        self.batch.add(make_request("b", 4900, output=1000))
        for _ in range(200):
            if self.batch.preemption_count:
                break
            self.run_pass()
        newest = self.batch.find(("b", 1))
        self.assertFalse(newest.is_running)
        self.assertEqual(newest.prefill_tokens, 4900 + newest.generated_tokens)
        self.assertGreater(newest.generated_tokens, 0)

    def test_request_that_is_preempted_twice_repeats_each_generated_token_once(self):
        self.batch.add(make_request("a", 4900, output=1000))
        self.batch.add(make_request("b", 4900, output=1000))
        for _ in range(400):
            if self.batch.preemption_count == 2:
                break
            self.run_pass()
            if self.batch.preemption_count == 1 and self.batch.find(("a", 1)):
                self.batch.remove(("a", 1))
                self.batch.add(make_request("c", 4900, output=1000))
                self.batch.find(("c", 1)).arrival_number = -1
        self.assertEqual(self.batch.preemption_count, 2)
        newest = self.batch.find(("b", 1))
        self.assertEqual(newest.prefill_tokens, 4900 + newest.generated_tokens)

    def test_reservation_occupies_memory_until_it_is_released(self):
        self.assertTrue(self.batch.reserve("t", 8000))
        self.assertFalse(self.batch.reserve("u", 8000))
        self.assertTrue(self.batch.reserve("t", 8000))
        self.batch.add(make_request("a", 6000))
        self.assertEqual(self.batch.waiting_count, 1)
        self.batch.release("t")
        self.assertEqual((self.batch.running_count, self.batch.memory_used), (1, 6000))

    def test_request_larger_than_memory_is_not_accepted(self):
        self.assertFalse(self.batch.accepts(make_request("a", 10_001)))
