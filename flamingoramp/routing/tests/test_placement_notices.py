"""Tests of notices of long prompts, and of placements that cross."""

from __future__ import annotations

import unittest

from flamingoramp.protocol import load_reports
from flamingoramp.routing import load_table, noticed_loads, placement_notices

STAYS = placement_notices.Settlement.STAYS
MOVES = placement_notices.Settlement.MOVES
OPEN = placement_notices.Settlement.OPEN


class TestCrossings(unittest.TestCase):
    """Of two placements made without knowledge of each other, exactly one moves."""

    def setUp(self):
        self.first = placement_notices.PlacementNotices()
        self.second = placement_notices.PlacementNotices()

    def exchange(
        self, first_servers: str, second_servers: str
    ) -> tuple[placement_notices.Settlement, placement_notices.Settlement]:
        """Place two prompts, deliver both notices and return what becomes of the placements."""
        first_known = self.first.begin("1", first_servers, 0.0)
        second_known = self.second.begin("2", second_servers, 0.0)
        self.first.handle("2", second_servers, second_known, 0.001)
        self.second.handle("1", first_servers, first_known, 0.001)
        return self.first.settle("1"), self.second.settle("2")

    def test_placement_of_higher_id_moves(self):
        self.assertEqual(self.exchange("abc", "cde"), (OPEN, MOVES))

    def test_placement_stays_once_the_other_is_withdrawn(self):
        self.exchange("abc", "cde")
        self.first.handle("2", "", (), 0.002)
        self.assertEqual(self.first.settle("1"), STAYS)

    def test_placement_stays_open_while_the_other_is_not_withdrawn(self):
        self.exchange("abc", "cde")
        self.assertEqual(self.first.settle("1"), OPEN)

    def test_placements_without_common_servers_stay(self):
        self.assertEqual(self.exchange("abc", "def"), (STAYS, STAYS))

    def test_placement_that_knew_of_the_other_crosses_nothing(self):
        self.first.handle("0", "abc", (), 0.0)
        known = self.first.begin("1", "abc", 0.001)
        self.assertEqual(known, ("0",))
        self.first.handle("0", "abc", (), 0.002)
        self.assertEqual(self.first.settle("1"), STAYS)

    def test_placement_that_the_other_knew_of_stays(self):
        self.second.begin("2", "abc", 0.0)
        self.second.handle("1", "abc", ("2",), 0.001)
        self.assertEqual(self.second.settle("2"), STAYS)

    def test_notice_after_the_send_changes_nothing(self):
        self.second.begin("2", "abc", 0.0)
        self.assertEqual(self.second.settle("2"), STAYS)
        self.second.handle("1", "abc", (), 0.001)
        self.second.withdraw("2")

    def test_notices_are_forgotten_after_a_time(self):
        self.first.handle("0", "abc", (), 0.0)
        later = 2 * placement_notices.KNOWN_SECONDS
        self.assertEqual(self.first.begin("1", "abc", later), ())

    def test_entry_that_places_nothing_keeps_few_notices(self):
        for number in range(10_000):
            self.first.handle(str(number), "abc", (), 0.1 * number)
        self.assertLessEqual(len(self.first._heard_at), 10 * placement_notices.KNOWN_SECONDS + 1)


class TestNoticedLoad(unittest.TestCase):
    """What a notice adds counts once, until a report includes it or it expires."""

    def setUp(self):
        self.sender = load_table.LoadTable("b")
        self.relay = load_table.LoadTable("b")
        self.work = load_table.WorkItem("e1", 1.0, 5000, part_seconds=0.5, prefill_end=10.5)
        self.sender.add(self.work)

    def notice(self, sequence: int, *, is_withdrawn: bool = False) -> load_reports.LoadReport:
        return self.sender.make_notice(
            () if is_withdrawn else (self.work,),
            entry="sender",
            incarnation="i",
            sequence=sequence,
            now=10.0,
            placement="p1",
            known_placements=(),
        )

    def send_report(self, receiver: load_table.LoadTable, sequence: int, now: float) -> None:
        for report in self.sender.make_reports(
            entry="sender", incarnation="i", sequence=sequence, now=now
        ):
            receiver.handle_report(report, now)

    def test_notice_counts_at_once_and_its_prefill_decreases(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(1), 10.0)
        load = receiver.load("e1", 10.1)
        self.assertEqual((load.patient, load.memory_tokens), (1, 5000))
        self.assertAlmostEqual(load.reading_seconds, 0.4)

    def test_report_of_the_sender_replaces_the_notice(self):
        receiver = load_table.LoadTable("b")
        receiver.handle_notice(self.notice(1), 10.0)
        self.send_report(receiver, 2, 10.01)
        self.assertEqual(receiver.load("e1", 10.01).patient, 1)

    def test_notice_that_a_report_has_overtaken_adds_nothing(self):
        receiver = load_table.LoadTable("b")
        self.send_report(receiver, 2, 10.0)
        receiver.handle_notice(self.notice(1), 10.0)
        self.assertEqual(receiver.load("e1", 10.0).patient, 1)

    def test_summary_that_includes_the_notice_replaces_it(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(1), 10.0)
        self.send_report(self.relay, 2, 10.01)
        for summary in self.relay.make_summary(
            entry="relay", incarnation="i", sequence=1, now=10.1
        ):
            receiver.handle_report(summary, 10.1)
        self.assertEqual(receiver.load("e1", 10.1).patient, 1)

    def test_summary_that_was_made_before_the_notice_leaves_it(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(1), 10.0)
        for summary in self.relay.make_summary(
            entry="relay", incarnation="i", sequence=1, now=10.0
        ):
            receiver.handle_report(summary, 10.001)
        self.assertEqual(receiver.load("e1", 10.001).patient, 1)

    def test_withdrawn_notice_adds_nothing(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(1), 10.0)
        receiver.handle_notice(self.notice(2, is_withdrawn=True), 10.0)
        self.assertEqual(receiver.load("e1", 10.0), load_table.ServerLoad())

    def test_withdrawal_that_overtook_its_notice_holds(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(2, is_withdrawn=True), 10.0)
        receiver.handle_notice(self.notice(1), 10.001)
        self.assertEqual(receiver.load("e1", 10.001), load_table.ServerLoad())

    def test_notice_of_an_entry_that_has_stopped_expires(self):
        receiver = load_table.LoadTable("a")
        receiver.handle_notice(self.notice(1), 10.0)
        late = 10.0 + noticed_loads.EXPIRY_SECONDS
        self.assertEqual(receiver.load("e1", late), load_table.ServerLoad())
        receiver.remove_expired_reports(late)
        self.assertEqual(receiver.load("e1", 10.0), load_table.ServerLoad())
