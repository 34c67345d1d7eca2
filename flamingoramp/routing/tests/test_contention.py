"""Tests of the order of requests that compete for room, and of what entries report of them."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import traffic
from flamingoramp.protocol import codec, load_reports
from flamingoramp.routing import contention, load_table

SERVICE = "engines"
NEED = contention.Need(1.0, 0.5, 3000.0)
ROUTE = traffic.Route("r", "h", "/", shares=(traffic.TrafficShare(SERVICE),), priority=1)


def make_request(
    workspace: str = "w", rank: int = 1, *, arrived_at: float = 0.0, deadline: float = 10.0
) -> contention.ContendingRequest:
    """Return a request that can be on time for 1 s and placed for 4 s."""
    return contention.ContendingRequest(
        SERVICE, workspace, rank, arrived_at, deadline, arrived_at + 1.0, arrived_at + 4.0, NEED
    )


class TestOrder(unittest.TestCase):
    """Requests are ordered by rank, share of the workspace, whether they are due, and deadline."""

    def order(self, *requests: contention.ContendingRequest, used: dict[str, float], now=0.0):
        rows = [
            contention.Row(SERVICE, workspace, 1, use=contention.Need(1.0, seconds, 0.0))
            for workspace, seconds in used.items()
        ]
        view = contention.View(requests, rows, now)
        return sorted(requests, key=view.order_key)

    def test_rank_goes_before_use_and_use_before_deadline(self):
        first = make_request("heavy", 0, deadline=30.0)
        second = make_request("light", 1, deadline=20.0)
        third = make_request("heavy", 1, deadline=5.0)
        used = {"heavy": 9.0, "light": 1.0}
        self.assertEqual(self.order(third, second, first, used=used), [first, second, third])

    def test_workspaces_within_their_shares_are_ordered_by_deadline(self):
        later = make_request("a", deadline=9.0)
        earlier = make_request("b", deadline=8.0)
        self.assertEqual(self.order(later, earlier, used={"a": 1.0, "b": 1.2}), [earlier, later])

    def test_what_was_refused_counts_as_use(self):
        rows = [
            contention.Row(SERVICE, "a", 1, use=NEED, refused=contention.Need(9.0, 9.0, 0.0)),
            contention.Row(SERVICE, "b", 1, use=NEED),
        ]
        view = contention.View([], rows, 0.0)
        self.assertGreater(view.level("a"), view.level("b"))

    def test_a_request_that_is_due_goes_before_newcomers_with_nearer_deadlines(self):
        waiting = make_request(deadline=20.0)
        newcomer = make_request(arrived_at=0.6, deadline=5.0)
        self.assertEqual(self.order(newcomer, waiting, used={}, now=0.6), [waiting, newcomer])

    def test_equal_requests_are_ahead_of_those_that_wait_behind_them(self):
        requests = [make_request() for _ in range(3)]
        view = contention.View(requests[:2], [], 0.0)
        counts = [view.ahead_of(request).need.request_count for request in requests]
        self.assertEqual(counts, [0.0, 1.0, 2.0])


class TestReserve(unittest.TestCase):
    """Room is left for refused callers of higher rank, as far as that rank really uses room."""

    def reserved(self, used: contention.Need, refused: contention.Need) -> contention.Need:
        row = contention.Row(SERVICE, "a", 0, use=used, refused=refused)
        return contention.View([], [row], 0.0).ahead_of(make_request(rank=1)).need

    def test_nothing_is_left_for_a_rank_that_uses_nothing(self):
        self.assertEqual(
            self.reserved(contention.Need(), contention.Need(100.0, 100.0, 1.0)), contention.Need()
        )

    def test_no_more_is_left_than_the_rank_uses_while_callers_come_back(self):
        reserved = self.reserved(
            contention.Need(10.0, 10.0, 10.0), contention.Need(1000.0, 1000.0, 1000.0)
        )
        share = contention.RETURN_SECONDS / contention.USE_SECONDS
        self.assertLessEqual(reserved.request_count, 10.0 * share)


class TestReports(unittest.TestCase):
    """Entries learn of waiting requests from reports of entries and of zones."""

    def setUp(self):
        self.tables = {name: load_table.LoadTable("a") for name in ("e1", "e2")}
        self.remote = load_table.LoadTable("b")
        self.sequence = 0

    def report(self, name: str, now: float, *receivers: load_table.LoadTable, **options):
        self.sequence += 1
        reports = self.tables[name].make_reports(
            entry=name, incarnation="i", sequence=self.sequence, now=now, **options
        )
        for receiver in receivers:
            for report in reports:
                receiver.handle_report(report, now)
        return reports

    def ahead(self, table: load_table.LoadTable, now: float) -> float:
        view = table.view_contention(SERVICE, now)
        return view.ahead_of(make_request(rank=5)).need.request_count

    def test_nothing_is_sent_while_nothing_waits_or_was_refused(self):
        self.tables["e1"].contention.record_use(make_request(), 0.0)
        for report in self.report("e1", 0.0):
            self.assertEqual((report.contention, report.contending_services), ((), ()))

    def test_reports_on_changes_and_full_ones_tell_of_waiting_requests_until_they_leave(self):
        for only_changes in (True, False):
            with self.subTest(only_changes=only_changes):
                request = make_request()
                book = self.tables["e1"].contention
                book.add_waiting(request, 0.0)
                self.assertTrue(self.tables["e1"].has_unreported_changes)
                self.report("e1", 0.0, self.tables["e2"], only_changes=only_changes)
                self.assertEqual(self.ahead(self.tables["e2"], 0.1), 1.0)
                book.remove_waiting(request, 0.2)
                self.report("e1", 0.2, self.tables["e2"], only_changes=only_changes)
                self.assertEqual(self.ahead(self.tables["e2"], 0.2), 0.0)

    def test_a_summary_adds_up_the_entries_of_a_zone(self):
        for table in self.tables.values():
            table.contention.add_waiting(make_request(), 0.0)
        self.report("e2", 0.0, self.tables["e1"])
        summaries = self.tables["e1"].make_summary(entry="e1", incarnation="i", sequence=9, now=0.0)
        for summary in summaries:
            self.remote.handle_report(summary, 0.3)
        self.assertEqual(self.ahead(self.remote, 0.3), 2.0)

    def test_waiting_requests_of_a_silent_entry_are_forgotten_and_a_late_report_is_ignored(self):
        self.tables["e1"].contention.add_waiting(make_request(), 0.0)
        early = self.report("e1", 0.0, only_changes=True)
        self.report("e1", 0.0, self.tables["e2"], only_changes=True, valid_seconds=6.0)
        self.assertEqual(self.ahead(self.tables["e2"], 0.9), 1.0)
        self.assertEqual(self.ahead(self.tables["e2"], 1.1), 0.0)
        self.tables["e2"].handle_report(early[0], 1.2)
        self.assertEqual(self.ahead(self.tables["e2"], 1.2), 0.0)

    def test_an_entry_reports_again_what_waits(self):
        book = self.tables["e1"].contention
        book.add_waiting(make_request(), 0.0)
        self.report("e1", 0.0, only_changes=True)
        self.assertFalse(book.has_unreported_changes)
        book.refresh(contention.REFRESH_SECONDS)
        self.assertTrue(book.has_unreported_changes)

    def test_a_report_is_bounded(self):
        for number in range(200):
            self.tables["e1"].contention.add_waiting(make_request(f"w{number}"), 0.0)
        reports = self.report("e1", 0.0, self.tables["e2"], only_changes=True)
        counts = [len(report.contending_services) for report in reports]
        self.assertLessEqual(max(counts), contention.MAX_ROWS_PER_REPORT)
        self.assertEqual(sum(counts), contention.MAX_REPORTED_ROWS)
        self.assertEqual(self.ahead(self.tables["e2"], 0.0), contention.MAX_REPORTED_ROWS)
        self.report("e1", 0.1, self.tables["e2"], only_changes=True)
        self.assertEqual(self.ahead(self.tables["e2"], 0.1), contention.MAX_REPORTED_ROWS)

    def test_a_full_report_fits_a_datagram(self):
        book = self.tables["e1"].contention
        for number in range(contention.MAX_ROWS_PER_REPORT):
            request = make_request(f"workspace-{number:03}", deadline=10.1 + number)
            book.add_waiting(request, 0.0)
            book.record_use(request, 0.0)
        for report in self.report("e1", 0.3, only_changes=True):
            self.assertLessEqual(len(codec.encode("entry-a-01", report, clock=1)), 1400)

    def test_rows_without_their_values_are_invalid(self):
        with self.assertRaises(ValueError):
            load_reports.LoadReport(contending_services=("s",), contending_workspaces=("w",))


class TestWhereItTakesEffect(unittest.TestCase):
    """Only services whose requests can have different ranks are contended."""

    def ranks(self, routes, workspaces=()) -> int:
        declaration = traffic.TrafficDeclaration(
            routes=routes, services=(traffic.Service(SERVICE),), workspaces=workspaces
        )
        return len(contention.ranks_of(declaration, SERVICE))

    def test_routes_of_different_priority(self):
        other = attrs.evolve(ROUTE, name="o", prefix="/o/", priority=2)
        self.assertEqual(self.ranks((ROUTE,)), 0)
        self.assertEqual(self.ranks((ROUTE, other)), 2)

    def test_priorities_of_workspaces_hide_those_of_routes(self):
        other = attrs.evolve(ROUTE, name="o", prefix="/o/", priority=2)
        same = (traffic.Workspace("a", priority=3), traffic.Workspace("b", priority=3))
        self.assertEqual(self.ranks((ROUTE, other), same), 1)
        mixed = (traffic.Workspace("a"), same[1])
        self.assertEqual(self.ranks((ROUTE, other), mixed), 3)

    # Guards against an order in deployments whose declarations don't ask for one.
    def test_priorities_of_workspaces_alone_ask_for_no_order(self):
        alike = attrs.evolve(ROUTE, name="o", prefix="/o/")
        workspaces = (traffic.Workspace("a", priority=0), traffic.Workspace("b", priority=3))
        for routes in ((ROUTE,), (ROUTE, alike)):
            self.assertEqual(self.ranks(routes, workspaces), 0)
