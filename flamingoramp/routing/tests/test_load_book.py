"""Tests of the load that entries report to each other, and of rates and observations."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import allowance
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table, observations, rates, report_targets


class TestLoadBook(unittest.TestCase):
    """Own work and that of others."""

    def setUp(self):
        self.book = load_table.LoadTable()
        self.other = load_table.LoadTable()
        self.work = load_table.WorkItem("e1", 0.25, 5000, part_seconds=0.5, prefill_end=10.5)

    def report(self, sequence: int, now: float, incarnation: str = "i") -> None:
        for made in self.other.make_reports(
            entry="other", incarnation=incarnation, sequence=sequence, now=now
        ):
            self.book.handle_report(made, now)

    def test_own_work_is_counted_until_it_ends(self):
        self.book.add(self.work)
        load = self.book.load("e1", 10.0)
        self.assertEqual((load.strict, load.memory_tokens), (1, 5000))
        self.assertAlmostEqual(load.reading_seconds, 0.5)
        self.book.finish_prefill(self.work)
        self.assertEqual(self.book.load("e1", 10.0).reading_seconds, 0)
        self.book.remove(self.work)
        self.book.remove(self.work)
        self.assertEqual(self.book.load("e1", 10.0), load_table.ServerLoad())

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
        late = 10.0 + load_table.REPORT_SILENCE_SECONDS + 0.1
        self.assertEqual(self.book.load("e1", late).strict, 0)
        self.book.remove_expired_reports(late)
        self.assertEqual(self.book.load("e1", 10.0).strict, 0)

    def test_classes_by_the_pause_that_is_tolerated(self):
        for pause in (0.25, 0.6, 1.0):
            self.book.add(load_table.WorkItem("e1", pause))
        self.book.add(load_table.WorkItem("e1", is_helper=True))
        load = self.book.load("e1", 0.0)
        counted = (load.strict, load.relaxed, load.patient, load.helping)
        self.assertEqual(counted, (1, 1, 1, 1))
        self.assertEqual(load.request_count, 3)


class TestChanges(unittest.TestCase):
    """Reports of only the servers whose work changed."""

    def setUp(self):
        self.book = load_table.LoadTable()
        self.other = load_table.LoadTable()
        self.sequence = 0
        self.works = {name: load_table.WorkItem(name, 0.25) for name in ("e1", "e2", "e3")}

    def make(self, *, only_changes: bool = True) -> list[messages.LoadReport]:
        self.sequence += 1
        return self.other.make_reports(
            entry="other",
            incarnation="i",
            sequence=self.sequence,
            now=1.0,
            only_changes=only_changes,
        )

    def take(self, reports: list[messages.LoadReport], now: float = 1.0) -> None:
        for report in reports:
            self.book.handle_report(report, now)

    def seen(self, now: float = 1.0) -> dict[str, int]:
        return {name: self.book.load(name, now).strict for name in self.works}

    def test_only_what_changed_is_told(self):
        for work in self.works.values():
            self.other.add(work)
        self.take(self.make(only_changes=False))
        self.make()
        self.other.remove(self.works["e2"])
        (report,) = self.make()
        self.assertEqual([one.server for one in report.engines], ["e2"])
        self.take([report])
        self.assertEqual(self.seen(), {"e1": 1, "e2": 0, "e3": 1})

    def test_each_change_is_told_twice(self):
        self.other.add(self.works["e1"])
        self.make()  # is lost
        self.other.add(self.works["e2"])
        self.take(self.make())
        self.assertEqual(self.seen(), {"e1": 1, "e2": 1, "e3": 0})

    def test_a_whole_report_makes_up_for_what_was_lost(self):
        self.other.add(self.works["e1"])
        self.take(self.make(only_changes=False))
        self.other.remove(self.works["e1"])
        self.other.add(self.works["e2"])
        for _ in range(3):
            self.make()  # all are lost
        self.take(self.make(only_changes=False))
        self.assertEqual(self.seen(), {"e1": 0, "e2": 1, "e3": 0})

    def test_reports_out_of_order(self):
        self.other.add(self.works["e1"])
        whole = self.make(only_changes=False)
        self.other.remove(self.works["e1"])
        change = self.make()
        self.take(change)
        self.take(whole)
        self.assertEqual(self.seen()["e1"], 0)

    def test_an_empty_report_shows_that_the_entry_lives(self):
        self.other.add(self.works["e1"])
        self.take(self.make(only_changes=False), 1.0)
        self.make()
        self.make()
        (report,) = self.make()
        self.assertEqual(report.engines, ())
        late = 1.0 + load_table.REPORT_SILENCE_SECONDS
        self.take([report], late)
        self.assertEqual(self.seen(late)["e1"], 1)


class TestSummaries(unittest.TestCase):
    """Reports of whole availability zones."""

    def make(self, zone: str, *servers: str) -> load_table.LoadTable:
        book = load_table.LoadTable(zone)
        for server in servers:
            book.add(load_table.WorkItem(server, 0.25))
        return book

    def send(self, reports, *books: load_table.LoadTable) -> None:
        for report in reports:
            for book in books:
                book.handle_report(report, 0.0)

    def summary(self, book: load_table.LoadTable, sequence: int = 1):
        return book.make_summary(entry="r", incarnation="i", sequence=sequence, now=0.0)

    def reports(self, book: load_table.LoadTable, entry: str, sequence: int = 1):
        return book.make_reports(entry=entry, incarnation="i", sequence=sequence, now=0.0)

    def test_a_summary_holds_all_work_of_the_zone(self):
        relay, near, far = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.reports(near, "near"), relay)
        self.send(self.summary(relay), far)
        self.assertEqual(far.load("e1", 0.0).strict, 2)

    def test_work_counts_once_if_it_is_reported_both_ways(self):
        relay, near, far = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.reports(near, "near"), relay, far)
        self.assertEqual(far.load("e1", 0.0).strict, 1)
        self.send(self.summary(relay), far, near)
        self.assertEqual(far.load("e1", 0.0).strict, 2)
        self.assertEqual(near.load("e1", 0.0).strict, 1, "its own zone has single reports")

    def test_single_reports_count_again_once_summaries_end(self):
        relay, near, far = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.summary(relay), far)
        late = load_table.REPORT_SILENCE_SECONDS + 0.1
        for report in self.reports(near, "near"):
            far.handle_report(report, late)
        self.assertEqual(far.load("e1", late).strict, 1)

    def test_a_long_report_comes_in_parts_and_shrinks_again(self):
        servers = [f"e{number}" for number in range(2 * load_table.SERVERS_PER_PART + 1)]
        one, other = self.make("a", *servers), self.make("a")
        reports = self.reports(one, "one")
        self.assertEqual(len(reports), 3)
        self.send(reports, other)
        self.assertTrue(all(other.load(server, 0.0).strict == 1 for server in servers))
        for held in list(one._own.values()):
            for work in list(held.values()):
                one.remove(work)
        self.send(self.reports(one, "one", sequence=2), other)
        self.assertFalse(any(other.load(server, 0.0).strict for server in servers))


class TestReportTargets(unittest.TestCase):
    """Who gets reports, by the number of entries."""

    def entries(self, count: int) -> list[messages.EntryRecord]:
        return [
            messages.EntryRecord(entry=f"{zone}{n:02}", inner=f"{zone}{n:02}:1", zone=zone)
            for zone in "abc"
            for n in range(count)
        ]

    def targets(self, own: str, known, dead: frozenset[str] = frozenset()):
        others = [one for one in known if one.entry != own]
        living = {one.entry for one in others} - dead
        return report_targets.choose_targets(own, own[0], others, living)

    def test_a_few_report_to_all(self):
        found = self.targets("a00", self.entries(3))
        self.assertEqual((len(found.direct), found.far), (8, []))

    def test_many_report_within_their_zone(self):
        found = self.targets("a05", self.entries(20))
        self.assertEqual({address[0] for address in found.direct}, {"a"})
        self.assertEqual(found.far, [])

    def test_one_of_each_zone_relays(self):
        known = self.entries(20)
        relays = [one.entry for one in known if self.targets(one.entry, known).far]
        self.assertEqual(relays, ["a00", "b00", "c00"])
        found = self.targets("a00", known)
        self.assertEqual(found.far, ["b00:1", "b01:1", "c00:1", "c01:1"])
        self.assertEqual(len(found.near), 19)

    def test_the_next_one_relays_when_the_first_is_silent(self):
        found = self.targets("a01", self.entries(20), frozenset({"a00"}))
        self.assertTrue(found.far)


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
            seen.record_slowdown("a", 5.0, 1.0)
        self.assertGreater(seen.pace("a", 1.0), 4.0)
        self.assertEqual(seen.pace("a", 1.0 + observations.PACE_SECONDS + 1), 1.0)
        self.assertEqual(seen.pace("b", 1.0), 1.0)

    def test_a_broken_server_pauses_and_an_answer_ends_it(self):
        seen = observations.Observations()
        seen.record_attempt_failure("a", 1.0)
        self.assertTrue(seen.is_suspended("a", 1.5))
        seen.record_response("a", failed=False, now=1.6)
        self.assertFalse(seen.is_suspended("a", 1.7))

    def test_servers_that_are_gone_are_forgotten(self):
        seen = observations.Observations()
        for key in ("a", "b"):
            seen.record_attempt_failure(key, 1.0)
        seen.retain_only({"b"})
        self.assertEqual((seen.is_suspended("a", 1.1), seen.is_suspended("b", 1.1)), (False, True))

    def test_failing_often_makes_doubtful(self):
        seen = observations.Observations()
        for number in range(40):
            seen.record_response("steady", failed=number % 7 == 0, now=1.0)
            seen.record_response("failing", failed=number % 10 < 8, now=1.0)
        self.assertFalse(seen.is_degraded("steady", 1.0))
        self.assertTrue(seen.is_degraded("failing", 1.0))


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
