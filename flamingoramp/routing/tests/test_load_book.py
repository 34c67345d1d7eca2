"""Tests of the load that entries report to each other, and of rates and observations."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import allowance
from flamingoramp.routing import load_book, observations, rates


class TestLoadBook(unittest.TestCase):
    """Own work and that of others."""

    def setUp(self):
        self.book = load_book.LoadBook()
        self.other = load_book.LoadBook()
        self.work = load_book.Work("e1", 0.25, 5000, part_seconds=0.5, reading_until=10.5)

    def report(self, sequence: int, now: float, incarnation: str = "i") -> None:
        made = self.other.make_report(
            entry="other", incarnation=incarnation, sequence=sequence, now=now
        )
        self.book.handle_report(made, now)

    def test_own_work_is_counted_until_it_ends(self):
        self.book.add(self.work)
        load = self.book.load("e1", 10.0)
        self.assertEqual((load.strict, load.memory_tokens), (1, 5000))
        self.assertAlmostEqual(load.reading_seconds, 0.5)
        self.book.finish_reading(self.work)
        self.assertEqual(self.book.load("e1", 10.0).reading_seconds, 0)
        self.book.remove(self.work)
        self.book.remove(self.work)
        self.assertEqual(self.book.load("e1", 10.0), load_book.ServerLoad())

    def test_others_work_is_added_and_its_reading_runs_out(self):
        self.book.add(self.work)
        self.other.add(attrs.evolve(self.work))
        self.report(1, 10.0)
        self.assertEqual(self.book.load("e1", 10.0).strict, 2)
        self.assertAlmostEqual(self.book.load("e1", 10.25).reading_seconds, 0.5)

    def test_an_older_report_changes_nothing(self):
        self.report(2, 10.0)
        self.other.add(self.work)
        self.report(1, 10.0)
        self.assertEqual(self.book.load("e1", 10.0).strict, 0)

    def test_a_restarted_entry_begins_anew(self):
        self.other.add(self.work)
        self.report(50, 10.0)
        self.other.remove(self.work)
        self.report(1, 10.0, incarnation="j")
        self.assertEqual(self.book.load("e1", 10.0).strict, 0)

    def test_the_work_of_a_silent_entry_is_dropped(self):
        self.other.add(self.work)
        self.report(1, 10.0)
        late = 10.0 + load_book.REPORT_SILENCE_SECONDS + 0.1
        self.assertEqual(self.book.load("e1", late).strict, 0)
        self.book.forget_silent(late)
        self.assertEqual(self.book.load("e1", 10.0).strict, 0)

    def test_classes_by_the_pause_that_is_tolerated(self):
        for pause in (0.25, 0.6, 1.0):
            self.book.add(load_book.Work("e1", pause))
        self.book.add(load_book.Work("e1", is_helper=True))
        load = self.book.load("e1", 0.0)
        counted = (load.strict, load.relaxed, load.patient, load.helping)
        self.assertEqual(counted, (1, 1, 1, 1))
        self.assertEqual(load.answers, 3)


class TestRates(unittest.TestCase):
    """Rates follow a change of the mix within seconds."""

    def test_steady_and_then_quiet(self):
        meter = rates.RateMeter()
        now = 0.0
        for _ in range(400):
            now += 0.05
            meter.add(1.0, now)
        self.assertAlmostEqual(meter.rate(now), 20.0, delta=1.0)
        self.assertLess(meter.rate(now + 2 * rates.AVERAGE_SECONDS), 3.0)


class TestObservations(unittest.TestCase):
    """Pace and failures, as answers show them."""

    def test_pace_follows_and_is_forgotten(self):
        seen = observations.Observations()
        for _ in range(6):
            seen.note_pace("a", 5.0, 1.0)
        self.assertGreater(seen.pace("a", 1.0), 4.0)
        self.assertEqual(seen.pace("a", 1.0 + observations.PACE_SECONDS + 1), 1.0)
        self.assertEqual(seen.pace("b", 1.0), 1.0)

    def test_a_broken_server_pauses_and_an_answer_ends_it(self):
        seen = observations.Observations()
        seen.note_broken("a", 1.0)
        self.assertTrue(seen.is_paused("a", 1.5))
        seen.note_answer("a", failed=False, now=1.6)
        self.assertFalse(seen.is_paused("a", 1.7))

    def test_failing_often_makes_doubtful(self):
        seen = observations.Observations()
        for number in range(40):
            seen.note_answer("steady", failed=number % 7 == 0, now=1.0)
            seen.note_answer("failing", failed=number % 10 < 8, now=1.0)
        self.assertFalse(seen.is_doubtful("steady", 1.0))
        self.assertTrue(seen.is_doubtful("failing", 1.0))


class TestRetryAllowance(unittest.TestCase):
    """Repeats stay within a share in any window."""

    def test_no_window_has_more(self):
        ratio, slack, window, entries = 0.2, 40.0, 10.0, 4
        one = allowance.RetryAllowance(ratio=ratio, slack=slack, window=window)
        requests, taken = [], []
        for step in range(3000):
            now = step * 0.01
            if step % 5 == 0:
                one.note_request(now)
                requests.append(now)
            if one.take(now, entries=entries):
                taken.append(now)
        for start in range(0, 20):
            inside = sum(start <= at < start + window for at in taken)
            asked = sum(start <= at < start + window for at in requests)
            self.assertLessEqual(inside, ratio * asked + slack / entries)
        self.assertGreater(len(taken), 20)
