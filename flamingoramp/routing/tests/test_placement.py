"""Tests of the choice of engines for a request; each class is named after its situation."""

from __future__ import annotations

import collections
import random
import unittest

import attrs

from flamingoramp.intent import traffic
from flamingoramp.routing import load_table, placement

MODEL = traffic.EngineCostModel(
    slots=8,
    memory_tokens=405_000,
    step_seconds=0.00131,
    prefill_tokens_per_second=154_000,
    pair_seconds=0.162e-9,
    chunk_tokens=2048,
    steps_per_pass=34,
)
SHORT = placement.PlacementRequest(4960, 1300, 0.3, 0.25, "a", time_limit_seconds=10)
MEDIUM = placement.PlacementRequest(45_000, 800, 1.5, 0.6, "a", time_limit_seconds=10)
LONG = placement.PlacementRequest(182_000, 650, 4.0, 1.0, "a", time_limit_seconds=15)
HUGE = placement.PlacementRequest(800_000, 650, 4.0, 1.0, "a", time_limit_seconds=15)


def make_engines(count: int, **loads: load_table.ServerLoad) -> list[placement.Candidate]:
    """Return engines ``e0``, ``e1``, ...: idle, except for the loads given by name."""
    return [
        placement.Candidate(
            f"e{number}",
            f"10.0.0.{number}:1",
            "a",
            loads.get(f"e{number}", load_table.ServerLoad()),
        )
        for number in range(count)
    ]


def place(request, engines, **options) -> placement.Placement | None:
    """Return the placement of a request by a new planner."""
    return placement.Planner(MODEL).place(request, engines, **options)


def server_names(result: placement.Placement) -> set[str]:
    """Return the names of the servers of a placement."""
    return {result.primary.server, *(engine.server for engine in result.helpers)}


class TestShortPromptBesideLongPrefill(unittest.TestCase):
    """A short prompt arrives while some engines prefill long ones."""

    def test_idle_engine_chosen_over_prefilling_engines(self):
        prefilling = load_table.ServerLoad(patient=1, reading_seconds=1.0, part_seconds=1.0)
        engines = make_engines(4, e0=prefilling, e1=prefilling, e2=prefilling)
        self.assertEqual(server_names(place(SHORT, engines)), {"e3"})

    def test_shortest_prefill_chosen_when_all_engines_prefill(self):
        loads = {
            f"e{n}": load_table.ServerLoad(reading_seconds=2.0 - n / 10, part_seconds=2.0)
            for n in range(4)
        }
        self.assertEqual(place(SHORT, make_engines(4, **loads)).primary.server, "e3")


class TestPackingOfShortAnswers(unittest.TestCase):
    """Short answers share engines, so that others stay free for long prompts."""

    def test_engine_with_short_answers_preferred_to_idle(self):
        engines = make_engines(6, e4=load_table.ServerLoad(strict=3))
        self.assertEqual(place(SHORT, engines).primary.server, "e4")

    def test_spare_slots_left_for_concurrent_placements_of_other_entries(self):
        engines = make_engines(6, e4=load_table.ServerLoad(strict=7))
        self.assertNotEqual(place(SHORT, engines).primary.server, "e4")

    def test_full_engine_skipped_while_another_has_free_slot(self):
        full = {f"e{n}": load_table.ServerLoad(strict=8) for n in range(5)}
        self.assertEqual(place(SHORT, make_engines(6, **full)).primary.server, "e5")

    def test_no_placement_when_all_queues_full(self):
        full = {f"e{n}": load_table.ServerLoad(strict=10) for n in range(3)}
        self.assertIsNone(place(SHORT, make_engines(3, **full)))
        self.assertIsNone(place(LONG, make_engines(3, **full)))


class TestBurstAtManyEntries(unittest.TestCase):
    """Several entries place short prompts before they learn of each other's placements."""

    def count_by_engine(self, unreported_count: float) -> collections.Counter:
        half_full = load_table.ServerLoad(strict=2)
        engines = make_engines(8, e0=half_full, e1=half_full)
        rng = random.Random(1)
        return collections.Counter(
            place(
                SHORT, engines, unreported_count=unreported_count, draw=rng.random()
            ).primary.server
            for _ in range(120)
        )

    # Guards against one engine that gets the short prompts of all entries within milliseconds.
    def test_placements_are_spread_over_as_many_engines_as_entries_place_at_once(self):
        counts = self.count_by_engine(3.0)
        self.assertEqual(len(counts), 4)
        self.assertLess(max(counts.values()), 120 / 2)

    def test_engine_of_least_cost_is_chosen_while_placements_are_reported_in_time(self):
        self.assertEqual(len(self.count_by_engine(0.4)), 1)

    def test_engines_of_higher_cost_are_not_drawn(self):
        busy = load_table.ServerLoad(patient=1, reading_seconds=1.0, part_seconds=1.0)
        engines = make_engines(4, e1=busy, e2=busy, e3=busy)
        for draw in (0.0, 0.5, 0.99):
            placed = place(SHORT, engines, unreported_count=5.0, draw=draw)
            self.assertEqual(placed.primary.server, "e0")


class TestBurstBeyondAllSlots(unittest.TestCase):
    """More short prompts arrive than all engines have slots for."""

    def test_short_prompt_refused_when_it_would_wait_for_slot(self):
        full = {f"e{n}": load_table.ServerLoad(strict=8) for n in range(3)}
        self.assertIsNone(place(SHORT, make_engines(3, **full)))

    def test_longer_prompt_queued_when_all_slots_taken(self):
        full = {f"e{n}": load_table.ServerLoad(strict=8) for n in range(4)}
        self.assertIsNotNone(place(MEDIUM, make_engines(4, **full)))

    def test_long_prompt_refused_when_others_would_lose_more_credit(self):
        decoding = {f"e{n}": load_table.ServerLoad(strict=7) for n in range(3)}
        request = attrs.evolve(LONG, prompt_tokens=300_000)
        self.assertIsNone(place(request, make_engines(3, **decoding)))
        self.assertIsNotNone(place(request, make_engines(3)))


class TestAllEnginesPrefilling(unittest.TestCase):
    """Short prompts arrive while all engines prefill long ones for seconds."""

    def setUp(self):
        prefilling = load_table.ServerLoad(patient=1, reading_seconds=4.0, part_seconds=4.0)
        self.engines = make_engines(4, **{f"e{n}": prefilling for n in range(4)})

    def test_request_refused_when_caller_would_time_out_first(self):
        self.assertIsNone(place(attrs.evolve(SHORT, first_token_timeout_seconds=2.0), self.engines))
        self.assertIsNotNone(
            place(attrs.evolve(SHORT, first_token_timeout_seconds=6.0), self.engines)
        )

    def test_idle_group_used_even_if_caller_is_assumed_to_time_out_first(self):
        request = attrs.evolve(
            LONG, first_token_objective_seconds=0.3, first_token_timeout_seconds=2.0
        )
        self.assertIsNotNone(place(request, make_engines(2)))

    def test_seconds_until_free_equals_outstanding_prefill(self):
        planner = placement.Planner(MODEL)
        self.assertAlmostEqual(planner.seconds_until_free(self.engines), 4.0, delta=0.1)


class TestLongPromptBesideShortAnswers(unittest.TestCase):
    """A long prompt arrives while short answers are being decoded."""

    def test_engines_with_short_answers_avoided(self):
        decoding = load_table.ServerLoad(strict=5)
        engines = make_engines(8, e0=decoding, e1=decoding, e2=decoding)
        self.assertFalse({"e0", "e1", "e2"} & server_names(place(LONG, engines)))

    def test_first_token_predicted_within_objective(self):
        result = place(LONG, make_engines(8))
        self.assertLess(result.first_token_seconds, LONG.first_token_objective_seconds)

    def test_engines_with_queued_prompt_avoided(self):
        waiting = load_table.ServerLoad(patient=1, reading_seconds=2.0, part_seconds=2.0)
        engines = make_engines(6, e0=waiting, e1=waiting)
        self.assertFalse({"e0", "e1"} & server_names(place(LONG, engines)))

    def test_pause_shorter_than_callers_of_short_answers_tolerate(self):
        decoding = {f"e{n}": load_table.ServerLoad(strict=4) for n in range(9)}
        request = attrs.evolve(LONG, prompt_tokens=285_000)
        result = place(request, make_engines(9, **decoding))
        tokens = -(-request.prompt_tokens // len(server_names(result)))
        pause = placement.prefill_pause(result.part_seconds, tokens, MODEL)
        self.assertLess(pause, placement.ABANDON_SECONDS)

    def test_medium_prompt_split_into_parts_that_do_not_make_others_late(self):
        decoding = {f"e{n}": load_table.ServerLoad(strict=4) for n in range(6)}
        result = place(MEDIUM, make_engines(6, **decoding))
        pause = placement.prefill_pause(result.part_seconds, 45_000 // 3, MODEL)
        self.assertLess(pause, SHORT.gap_objective_seconds * placement.PAUSE_LATE_RATIO)


class TestPartsAheadOfOtherPrefills(unittest.TestCase):
    """Engines prefill a new part ahead of their other prefills."""

    def test_engines_about_to_finish_prefill_avoided_for_parts(self):
        nearly_done = load_table.ServerLoad(helping=1, reading_seconds=0.1, reading_credit=30.0)
        engines = make_engines(12, **{f"e{n}": nearly_done for n in range(4)})
        result = place(attrs.evolve(LONG, prompt_tokens=400_000), engines)
        self.assertFalse({engine.server for engine in result.helpers} & {f"e{n}" for n in range(4)})

    def test_part_not_predicted_to_wait_for_prefill_in_progress(self):
        prefilling = load_table.ServerLoad(helping=1, reading_seconds=3.0, reading_credit=0.1)
        engines = make_engines(4, **{f"e{n}": prefilling for n in range(1, 4)})
        result = place(attrs.evolve(LONG, prompt_tokens=300_000), engines)
        self.assertEqual(len(result.helpers), 3)
        self.assertLess(result.first_token_seconds, result.part_seconds + 0.1)


class TestHugePromptInBurst(unittest.TestCase):
    """A prompt that could occupy all engines for seconds arrives together with many others."""

    def test_engines_left_free_for_arriving_requests(self):
        result = place(HUGE, make_engines(14), arriving_credit=28.0)
        self.assertLessEqual(len(server_names(result)), 8)

    def test_more_engines_used_without_arrivals(self):
        without_arrivals = place(HUGE, make_engines(14), arriving_credit=0.0)
        with_arrivals = place(HUGE, make_engines(14), arriving_credit=28.0)
        self.assertGreater(len(server_names(without_arrivals)), len(server_names(with_arrivals)))

    def test_few_engines_used_when_all_prefill_and_many_arrive(self):
        prefilling = load_table.ServerLoad(patient=1, reading_seconds=6.0, part_seconds=6.0)
        engines = make_engines(14, **{f"e{n}": prefilling for n in range(14)})
        result = place(HUGE, engines, arriving_credit=60.0)
        self.assertTrue(result is None or len(server_names(result)) <= 4)

    def test_request_refused_when_time_limit_cannot_be_met(self):
        urgent = attrs.evolve(HUGE, time_limit_seconds=1.0)
        self.assertIsNone(place(urgent, make_engines(4)))


class TestMemory(unittest.TestCase):
    """Requests limited by the memory of the engines."""

    def test_huge_prompt_split_within_memory_of_each_engine(self):
        result = place(HUGE, make_engines(8))
        primary_tokens = HUGE.prompt_tokens + HUGE.output_tokens - sum(result.held_tokens)
        self.assertLessEqual(primary_tokens, MODEL.memory_tokens)
        self.assertTrue(all(tokens <= MODEL.memory_tokens for tokens in result.held_tokens))

    def test_nearly_full_engines_hold_at_most_their_free_memory(self):
        nearly_full = load_table.ServerLoad(memory_tokens=380_000)
        result = place(HUGE, make_engines(8, e0=nearly_full, e1=nearly_full))
        held_tokens_by_server = {
            engine.server: tokens
            for engine, tokens in zip(result.helpers, result.held_tokens, strict=True)
        }
        self.assertNotIn(result.primary.server, ("e0", "e1"))
        for server in ("e0", "e1"):
            self.assertLessEqual(held_tokens_by_server.get(server, 0), 25_000)

    def test_engine_with_free_memory_chosen_for_short_prompt(self):
        nearly_full = load_table.ServerLoad(strict=2, memory_tokens=400_000)
        result = place(SHORT, make_engines(3, e0=nearly_full, e1=nearly_full))
        self.assertEqual(result.primary.server, "e2")

    def test_no_placement_when_prompt_exceeds_memory_of_all_engines(self):
        oversized = attrs.evolve(HUGE, prompt_tokens=2_000_000, time_limit_seconds=600.0)
        self.assertIsNone(place(oversized, make_engines(3)))


class TestSlowAndLastResort(unittest.TestCase):
    """Engines that are slow, or that may have failed."""

    def test_slow_engines_avoided(self):
        engines = make_engines(3)
        engines = [attrs.evolve(engine, slowdown=5.0) for engine in engines[:2]] + engines[2:]
        self.assertEqual(place(SHORT, engines).primary.server, "e2")

    def test_last_resort_engine_used_when_no_other_left(self):
        engines = [attrs.evolve(engine, is_last_resort=True) for engine in make_engines(2)]
        self.assertIsNotNone(place(SHORT, engines))

    def test_choice_independent_of_candidate_order(self):
        # Entries may list engines in different orders, but all should prefer the same one.
        engines = make_engines(6)
        chosen = {place(SHORT, engines[n:] + engines[:n]).primary.server for n in range(6)}
        self.assertEqual(len(chosen), 1)
