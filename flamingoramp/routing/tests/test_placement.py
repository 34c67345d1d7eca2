"""Tests of where prompts go, each named by the load that it stands for."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import traffic
from flamingoramp.routing import load_book, placement

MODEL = traffic.EngineCostModel(
    slots=8,
    memory_tokens=405_000,
    step_seconds=0.00131,
    prefill_tokens_per_second=154_000,
    pair_seconds=0.162e-9,
    chunk_tokens=2048,
    steps_per_pass=34,
)
SHORT = placement.Job(4960, 1300, 0.3, 0.25, "a", limit=10)
MEDIUM = placement.Job(45_000, 800, 1.5, 0.6, "a", limit=10)
LONG = placement.Job(182_000, 650, 4.0, 1.0, "a", limit=15)
GIANT = placement.Job(800_000, 650, 4.0, 1.0, "a", limit=15)


def make_engines(count: int, **loads: load_book.ServerLoad) -> list[placement.Candidate]:
    """Return engines ``e0``, ``e1``, ...; those that are named have a load."""
    return [
        placement.Candidate(
            f"e{number}",
            f"10.0.0.{number}:1",
            "a",
            loads.get(f"e{number}", load_book.ServerLoad()),
        )
        for number in range(count)
    ]


def place(job, engines, **options) -> placement.Placement | None:
    """Place a job."""
    return placement.Planner(MODEL).place(job, engines, **options)


def servers(found: placement.Placement) -> set[str]:
    """Return the servers of a placement."""
    return {found.first.server, *(one.server for one in found.helpers)}


class TestShortBesideLong(unittest.TestCase):
    """A short prompt arrives while some engines read long ones."""

    def test_it_goes_where_nothing_long_is_read(self):
        reading = load_book.ServerLoad(patient=1, reading_seconds=1.0, part_seconds=1.0)
        engines = make_engines(4, e0=reading, e1=reading, e2=reading)
        self.assertEqual(servers(place(SHORT, engines)), {"e3"})

    def test_it_takes_the_shortest_reading_when_all_read(self):
        loads = {
            f"e{n}": load_book.ServerLoad(reading_seconds=2.0 - n / 10, part_seconds=2.0)
            for n in range(4)
        }
        self.assertEqual(place(SHORT, make_engines(4, **loads)).first.server, "e3")


class TestPackedShorts(unittest.TestCase):
    """Short answers share engines, so that others stay free for long prompts."""

    def test_they_gather(self):
        engines = make_engines(6, e4=load_book.ServerLoad(strict=3))
        self.assertEqual(place(SHORT, engines).first.server, "e4")

    def test_they_leave_slots_for_what_others_place_at_the_same_moment(self):
        engines = make_engines(6, e4=load_book.ServerLoad(strict=7))
        self.assertNotEqual(place(SHORT, engines).first.server, "e4")

    def test_a_full_engine_gets_none_while_another_has_a_slot(self):
        full = {f"e{n}": load_book.ServerLoad(strict=8) for n in range(5)}
        self.assertEqual(place(SHORT, make_engines(6, **full)).first.server, "e5")

    def test_nothing_is_placed_when_all_queues_are_full(self):
        full = {f"e{n}": load_book.ServerLoad(strict=10) for n in range(3)}
        self.assertIsNone(place(SHORT, make_engines(3, **full)))
        self.assertIsNone(place(LONG, make_engines(3, **full)))


class TestBurstBeyondAllSlots(unittest.TestCase):
    """More short prompts come than all engines have slots for."""

    def test_what_would_wait_for_a_slot_is_refused(self):
        full = {f"e{n}": load_book.ServerLoad(strict=8) for n in range(3)}
        self.assertIsNone(place(SHORT, make_engines(3, **full)))

    def test_a_longer_prompt_may_wait(self):
        full = {f"e{n}": load_book.ServerLoad(strict=8) for n in range(4)}
        self.assertIsNotNone(place(MEDIUM, make_engines(4, **full)))

    def test_what_would_harm_more_than_it_gains_is_refused(self):
        writing = {f"e{n}": load_book.ServerLoad(strict=7) for n in range(3)}
        job = attrs.evolve(LONG, prompt_tokens=300_000)
        self.assertIsNone(place(job, make_engines(3, **writing)))
        self.assertIsNotNone(place(job, make_engines(3)))


class TestAllBusy(unittest.TestCase):
    """Short prompts arrive while all engines read long ones for seconds."""

    def setUp(self):
        reading = load_book.ServerLoad(patient=1, reading_seconds=4.0, part_seconds=4.0)
        self.engines = make_engines(4, **{f"e{n}": reading for n in range(4)})

    def test_one_whose_caller_would_leave_first_is_refused(self):
        self.assertIsNone(place(attrs.evolve(SHORT, patience=2.0), self.engines))
        self.assertIsNotNone(place(attrs.evolve(SHORT, patience=6.0), self.engines))

    def test_an_idle_group_is_tried_whatever_callers_are_supposed_to_wait(self):
        slow = attrs.evolve(LONG, objective=0.3, patience=2.0)
        self.assertIsNotNone(place(slow, make_engines(2)))

    def test_the_time_to_return_is_when_an_engine_is_free(self):
        planner = placement.Planner(MODEL)
        self.assertAlmostEqual(planner.seconds_until_free(self.engines), 4.0, delta=0.1)


class TestLongBesideShort(unittest.TestCase):
    """A long prompt arrives while short answers are being written."""

    def test_it_reads_where_no_short_answer_would_pause(self):
        writing = load_book.ServerLoad(strict=5)
        engines = make_engines(8, e0=writing, e1=writing, e2=writing)
        self.assertFalse({"e0", "e1", "e2"} & servers(place(LONG, engines)))

    def test_it_is_on_time_by_prediction(self):
        found = place(LONG, make_engines(8))
        self.assertLess(found.first_token_seconds, LONG.objective)

    def test_it_does_not_delay_a_prompt_that_waits(self):
        waiting = load_book.ServerLoad(patient=1, reading_seconds=2.0, part_seconds=2.0)
        engines = make_engines(6, e0=waiting, e1=waiting)
        self.assertFalse({"e0", "e1"} & servers(place(LONG, engines)))

    def test_callers_of_short_answers_are_not_driven_away(self):
        writing = {f"e{n}": load_book.ServerLoad(strict=4) for n in range(9)}
        job = attrs.evolve(LONG, prompt_tokens=285_000)
        found = place(job, make_engines(9, **writing))
        tokens = -(-job.prompt_tokens // len(servers(found)))
        pause = placement.reading_pause(found.part_seconds, tokens, MODEL)
        self.assertLess(pause, placement.ABANDON_SECONDS)

    def test_a_medium_prompt_reads_in_parts_too_short_to_pause_others(self):
        writing = {f"e{n}": load_book.ServerLoad(strict=4) for n in range(6)}
        found = place(MEDIUM, make_engines(6, **writing))
        pause = placement.reading_pause(found.part_seconds, 45_000 // 3, MODEL)
        self.assertLess(pause, SHORT.pause * placement.LATE_PAUSE_SHARE)


class TestPartsBesideParts(unittest.TestCase):
    """Engines read a new part ahead of what they were reading."""

    def test_a_part_is_kept_from_engines_that_have_almost_read_another(self):
        almost = load_book.ServerLoad(helping=1, reading_seconds=0.1, reading_credit=30.0)
        engines = make_engines(12, **{f"e{n}": almost for n in range(4)})
        found = place(attrs.evolve(LONG, prompt_tokens=400_000), engines)
        self.assertFalse({one.server for one in found.helpers} & {f"e{n}" for n in range(4)})

    def test_a_part_does_not_wait_for_what_is_read_there(self):
        reading = load_book.ServerLoad(helping=1, reading_seconds=3.0, reading_credit=0.1)
        engines = make_engines(4, **{f"e{n}": reading for n in range(1, 4)})
        found = place(attrs.evolve(LONG, prompt_tokens=300_000), engines)
        self.assertEqual(len(found.helpers), 3)
        self.assertLess(found.first_token_seconds, found.part_seconds + 0.1)


class TestGiantInABurst(unittest.TestCase):
    """A prompt arrives that would take all engines for seconds, and many others come too."""

    def test_it_leaves_engines_for_those_who_come(self):
        found = place(GIANT, make_engines(14), arriving=28.0)
        self.assertLessEqual(len(servers(found)), 8)

    def test_it_uses_more_engines_when_nobody_comes(self):
        quiet = place(GIANT, make_engines(14), arriving=0.0)
        busy = place(GIANT, make_engines(14), arriving=28.0)
        self.assertGreater(len(servers(quiet)), len(servers(busy)))

    def test_it_takes_few_engines_while_all_are_busy_and_many_come(self):
        reading = load_book.ServerLoad(patient=1, reading_seconds=6.0, part_seconds=6.0)
        engines = make_engines(14, **{f"e{n}": reading for n in range(14)})
        found = place(GIANT, engines, arriving=60.0)
        self.assertTrue(found is None or len(servers(found)) <= 4)

    def test_work_in_vain_is_not_begun(self):
        hurried = attrs.evolve(GIANT, limit=1.0)
        self.assertIsNone(place(hurried, make_engines(4)))


class TestMemory(unittest.TestCase):
    """Prompts that are larger than what an engine holds."""

    def test_a_giant_is_held_by_several(self):
        found = place(GIANT, make_engines(8))
        own = GIANT.prompt_tokens + GIANT.output_tokens - sum(found.held_tokens)
        self.assertLessEqual(own, MODEL.memory_tokens)
        self.assertTrue(all(tokens <= MODEL.memory_tokens for tokens in found.held_tokens))

    def test_engines_without_room_hold_nothing(self):
        crowded = load_book.ServerLoad(memory_tokens=380_000)
        found = place(GIANT, make_engines(8, e0=crowded, e1=crowded))
        held = {
            one.server: tokens for one, tokens in zip(found.helpers, found.held_tokens, strict=True)
        }
        self.assertNotIn(found.first.server, ("e0", "e1"))
        for server in ("e0", "e1"):
            self.assertLessEqual(held.get(server, 0), 25_000)

    def test_a_short_prompt_goes_where_there_is_room(self):
        crowded = load_book.ServerLoad(strict=2, memory_tokens=400_000)
        found = place(SHORT, make_engines(3, e0=crowded, e1=crowded))
        self.assertEqual(found.first.server, "e2")

    def test_more_than_all_engines_hold(self):
        huge = attrs.evolve(GIANT, prompt_tokens=2_000_000, limit=600.0)
        self.assertIsNone(place(huge, make_engines(3)))


class TestSlowAndDoubtful(unittest.TestCase):
    """Engines that are slow, or that may be gone."""

    def test_a_slow_engine_is_passed_over(self):
        engines = make_engines(3)
        engines = [attrs.evolve(one, pace=5.0) for one in engines[:2]] + engines[2:]
        self.assertEqual(place(SHORT, engines).first.server, "e2")

    def test_a_doubtful_engine_is_better_than_none(self):
        engines = [attrs.evolve(one, is_doubtful=True) for one in make_engines(2)]
        self.assertIsNotNone(place(SHORT, engines))

    def test_all_entries_prefer_the_same_engine(self):
        engines = make_engines(6)
        chosen = {place(SHORT, engines[n:] + engines[:n]).first.server for n in range(6)}
        self.assertEqual(len(chosen), 1)
