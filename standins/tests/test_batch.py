"""Tests of the cost model of an engine."""

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
    stride=10,
)


def make(name: str, tokens: int = 100, *, output: int = 50, **options) -> batch.Sequence:
    """Return a request that stores what it reads."""
    return batch.Sequence(
        name, 1, options.pop("priority", 5), tokens, tokens, output_tokens=output, **options
    )


def part(name: str, tokens: int) -> batch.Sequence:
    """Return a part that is read for another engine."""
    return batch.Sequence(
        name, 1, 5, tokens, 0, kind=batch.SequenceKind.PROMPT_PART, pairs_per_token=0.0
    )


class BatchCase(unittest.TestCase):
    """An engine whose passes are played one after another."""

    def setUp(self):
        self.batch = batch.Batch(COSTS)
        self.now = 0.0

    def play(self) -> list[tuple[str, int]]:
        """Play one pass and return who wrote how many tokens."""
        work = self.batch.next_pass()
        self.now += work.seconds
        return [(one.sequence.request_id, one.tokens) for one in self.batch.finish_pass(work)]

    def play_until(self, name: str) -> float:
        """Play until a request writes, and return when it did."""
        for _ in range(1000):
            if name in dict(self.play()):
                return self.now
        raise AssertionError(f"{name} never wrote")


class TestPasses(BatchCase):
    """What a pass costs and what comes out of it."""

    def test_a_prompt_alone_is_read_chunk_by_chunk(self):
        self.batch.add(make("a", 250))
        # Three steps of reading, each with the base cost of a step.
        self.assertAlmostEqual(self.play_until("a"), 0.25 + 3 * 0.01)

    def test_an_answer_comes_in_strides(self):
        self.batch.add(make("a", 100, output=25))
        self.play_until("a")
        begun = self.now
        self.assertEqual(self.play(), [("a", 10)])
        self.assertAlmostEqual(self.now - begun, 10 * 0.011)
        self.assertEqual(self.play(), [("a", 10)])
        self.assertEqual(self.play(), [("a", 4)])
        self.assertIsNone(self.batch.next_pass())

    def test_writers_pause_for_what_a_pass_reads(self):
        self.batch.add(make("a"))
        self.play_until("a")
        self.batch.add(make("b", 1500))
        begun = self.now
        self.assertEqual(self.play(), [("a", 10)])
        # A pass reads a chunk a step, so that the rest waits for the next pass.
        self.assertAlmostEqual(self.now - begun, 1.0 + 10 * 0.011)
        self.assertEqual(self.play(), [("b", 1), ("a", 10)][::-1])

    def test_pairs_grow_with_the_position(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, pair_seconds=1.0, chunk_tokens=10)
        self.batch = batch.Batch(costs)
        self.batch.add(make("a", 20))
        self.play()
        self.assertAlmostEqual(self.now, 50.0, places=3)
        self.play()
        self.assertAlmostEqual(self.now, 200.0, places=3)

    def test_a_part_has_its_share_of_the_pairs(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, pair_seconds=1.0, chunk_tokens=10)
        self.batch = batch.Batch(costs)
        one = part("a", 10)
        one.pairs_per_token = 7.0
        self.batch.add(one)
        self.assertEqual(self.play(), [("a", 0)])
        self.assertAlmostEqual(self.now, 70.0, places=3)

    def test_context_slows_each_step(self):
        costs = batch.Costs(prefill_rate=1e9, decode_seconds=0.0, sequence_seconds=0.0,
                            context_seconds=0.001, stride=2, chunk_tokens=1000)  # fmt: skip
        self.batch = batch.Batch(costs)
        self.batch.add(make("a", 500))
        self.play_until("a")
        begun = self.now
        self.play()
        self.assertAlmostEqual(self.now - begun, 2 * 0.501, places=3)


class TestOrder(BatchCase):
    """Who is read and admitted first."""

    def test_parts_for_other_engines_are_read_first(self):
        self.batch.add(make("a", 100))
        self.batch.add(part("p", 100))
        self.assertEqual(self.play(), [("p", 0)])
        self.assertEqual(self.play(), [("a", 1)])

    def test_a_newer_part_is_read_before_an_older_one(self):
        self.batch.add(part("old", 300))
        self.play()
        self.batch.add(part("new", 200))
        written = [self.play() for _ in range(4)]
        self.assertEqual(written, [[], [("new", 0)], [], [("old", 0)]])

    def test_a_part_takes_no_slot_and_no_memory(self):
        for name in ("a", "b"):
            self.batch.add(make(name, 5000, output=0))
        self.batch.add(part("p", 100))
        self.assertEqual((self.batch.running, self.batch.memory_used), (2, 10_000))
        self.assertEqual(self.play()[0], ("p", 0))

    def test_the_first_token_follows_the_last_part(self):
        self.batch.add(make("a", 100, remote_parts_left=1))
        self.assertEqual(self.play(), [])
        self.assertIsNone(self.batch.next_pass())
        self.batch.finish_remote_part(("a", 1))
        self.assertEqual(self.play(), [("a", 10)])

    def test_the_most_urgent_is_admitted_first(self):
        for name in ("a", "b"):
            self.batch.add(make(name, output=1))
        self.batch.add(make("late", priority=7))
        self.batch.add(make("urgent", priority=0))
        self.assertEqual(self.batch.waiting_count, 2)
        self.batch.remove(("a", 1))
        self.assertTrue(self.batch.find(("urgent", 1)).running)
        self.assertFalse(self.batch.find(("late", 1)).running)

    def test_what_exceeds_slots_and_queue_is_not_accepted(self):
        for name in ("a", "b", "c"):
            self.assertTrue(self.batch.accepts(make(name)))
            self.batch.add(make(name))
        self.assertFalse(self.batch.accepts(make("d")))


class TestMemory(BatchCase):
    """Memory of requests and reservations."""

    def test_a_request_waits_for_memory(self):
        self.batch.add(make("a", 6000))
        self.batch.add(make("b", 6000))
        self.assertEqual((self.batch.running, self.batch.waiting_count), (1, 1))
        self.batch.remove(("a", 1))
        self.assertTrue(self.batch.find(("b", 1)).running)

    def test_the_newest_gives_way_when_memory_runs_out(self):
        self.batch.add(make("a", 4900, output=1000))
        self.batch.add(make("b", 4900, output=1000))
        for _ in range(200):
            if self.batch.preempted:
                break
            self.play()
        newest = self.batch.find(("b", 1))
        self.assertFalse(newest.running)
        self.assertEqual(newest.prefill_tokens, 4900 + newest.written)
        self.assertGreater(newest.written, 0)

    def test_a_reservation_holds_memory_until_it_is_released(self):
        self.assertTrue(self.batch.reserve("t", 8000))
        self.assertFalse(self.batch.reserve("u", 8000))
        self.assertTrue(self.batch.reserve("t", 8000))
        self.batch.add(make("a", 6000))
        self.assertEqual(self.batch.waiting_count, 1)
        self.batch.release("t")
        self.assertEqual((self.batch.running, self.batch.memory_used), (1, 6000))

    def test_a_request_larger_than_the_memory_is_not_accepted(self):
        self.assertFalse(self.batch.accepts(make("a", 10_001)))
