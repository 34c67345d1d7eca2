"""Tests of what one entry knows of cold servers, and of their limits."""

from __future__ import annotations

import math
import unittest

from hypothesis import given, strategies

from flamingoramp.protocol import codec, messages
from flamingoramp.routing import load_table, observations, statements, warmup

RECORD = messages.ServerRecord(server="s", service="desk", zone="a", born=7)
RESTARTED = messages.ServerRecord(server="s", service="desk", zone="a", born=8)
MARGIN_SECONDS = warmup.COLD_MARGIN_SECONDS


def announce(cold_seconds: float, *, born: int = 7, age: float = 0.0) -> messages.ServerRecord:
    """Return a record with a remaining cold time."""
    return messages.ServerRecord(
        server="s", service="desk", zone="a", born=born, cold_seconds=cold_seconds, age=age
    )


class TestWarmUps(unittest.TestCase):
    """Until when a server is cold."""

    def setUp(self):
        self.warm_ups = warmup.WarmUps()

    def assert_cold_until(self, time: float, record: messages.ServerRecord = RECORD) -> None:
        self.assertAlmostEqual(self.warm_ups.cold_until(record), time + MARGIN_SECONDS)

    def test_announced_time_runs_from_the_age_of_the_report(self):
        self.warm_ups.record_announcement(announce(5.0, age=2.0), 10.0)
        self.assert_cold_until(13.0)
        self.assertTrue(self.warm_ups.is_cold(RECORD, 13.0))
        self.assertFalse(self.warm_ups.is_cold(RECORD, 13.5))

    def test_later_announcement_replaces_an_earlier_one(self):
        self.warm_ups.record_announcement(announce(5.0), 10.0)
        self.warm_ups.record_announcement(announce(8.0), 12.0)
        self.assert_cold_until(20.0)
        self.warm_ups.record_announcement(announce(0.0), 13.0)
        self.assertFalse(self.warm_ups.is_cold(RECORD, 13.0))

    def test_announcement_that_arrives_late_does_not_replace_a_later_one(self):
        self.warm_ups.record_announcement(announce(5.0), 12.0)
        self.warm_ups.record_announcement(announce(0.0, age=3.0), 12.5)
        self.assert_cold_until(17.0)

    def test_health_answer_holds_though_an_announcement_from_before_arrives(self):
        self.warm_ups.record_health_answer(RECORD, 6.0, 10.0)
        self.warm_ups.record_announcement(announce(0.0), 10.5)
        self.assert_cold_until(16.0)
        self.warm_ups.record_health_answer(RECORD, 0.0, 11.0)
        self.assertFalse(self.warm_ups.is_cold(RECORD, 11.0))

    def test_server_may_become_cold_again(self):
        self.warm_ups.record_announcement(announce(0.0), 10.0)
        self.assertFalse(self.warm_ups.is_cold(RECORD, 10.0))
        self.warm_ups.record_announcement(announce(4.0), 11.0)
        self.assert_cold_until(15.0)

    def test_new_start_begins_anew_and_earlier_runs_are_ignored(self):
        self.warm_ups.record_announcement(announce(5.0), 10.0)
        self.assertFalse(self.warm_ups.is_cold(RESTARTED, 10.0))
        self.warm_ups.record_announcement(announce(8.0, born=8), 11.0)
        self.warm_ups.record_announcement(announce(0.0), 12.0)
        self.assert_cold_until(19.0, RESTARTED)

    def test_assumption_ends_with_a_report_from_after_it(self):
        for report in (self.warm_ups.record_announcement, self.record_health):
            with self.subTest(report=report.__name__):
                self.warm_ups = warmup.WarmUps()
                self.warm_ups.assume_cold([RECORD], 9.0, 10.0)
                self.assert_cold_until(19.0)
                self.warm_ups.record_announcement(announce(0.0, age=2.0), 11.0)
                self.assert_cold_until(19.0)
                self.warm_ups.record_announcement(announce(0.0, age=0.2), 11.0)
                self.assertFalse(self.warm_ups.is_cold(RECORD, 11.0))

    def record_health(self, record: messages.ServerRecord, now: float) -> None:
        self.warm_ups.record_health_answer(record, record.cold_seconds, now)

    def test_assumption_holds_for_no_longer_than_declared(self):
        self.warm_ups.assume_cold([RECORD], 9.0, 10.0)
        self.assertFalse(self.warm_ups.is_cold(RECORD, 19.5))
        self.warm_ups.assume_cold([RESTARTED], 0.0, 30.0)
        self.assertFalse(self.warm_ups.is_cold(RESTARTED, 30.0))

    def test_change_is_told_once(self):
        self.warm_ups.record_announcement(announce(5.0), 10.0)
        self.warm_ups.record_announcement(announce(4.0), 11.0)
        self.warm_ups.record_announcement(announce(0.0), 12.0)
        changes = self.warm_ups.drain_changes()
        self.assertEqual([bool(change.seconds) for change in changes], [True, False])
        self.assertEqual(self.warm_ups.drain_changes(), [])

    def test_server_that_is_gone_is_removed(self):
        self.warm_ups.record_announcement(announce(5.0), 10.0)
        self.warm_ups.retain_only([RESTARTED])
        self.assertEqual(self.warm_ups.cold_until(RECORD), -math.inf)


class TestLimit(unittest.TestCase):
    """Sizes of the limit of a cold server."""

    @given(
        strategies.floats(0.01, 10_000), strategies.floats(0.1, 100), strategies.floats(0, 10_000)
    )
    def test_sizes_are_within_what_is_allowed(self, rate, ratio, requests):
        limit = warmup.WarmUpLimit(rate, excess_ratio=ratio, excess_requests=requests)
        self.assertLessEqual(limit.drain_rate, limit.allowed_requests)
        self.assertLessEqual(limit.offered_rate, limit.allowed_requests)
        self.assertGreater(limit.offered_rate, 0)
        most = limit.drain_rate + limit.burst
        self.assertLessEqual(most, max(limit.allowed_requests, limit.drain_rate + 1) * 1.000001)

    def test_offered_rate_is_a_fair_part_of_the_rate(self):
        for rate in range(1, 101):
            self.assertGreaterEqual(warmup.WarmUpLimit(rate).offered_rate, 0.5 * rate)


class TestLimitOfColdServer(unittest.TestCase):
    """The limit of a cold server beside what servers state."""

    def setUp(self):
        self.statements = statements.ServerStatements()

    def count_sends(self, begin: float, seconds: float) -> int:
        """Return the number of requests that are sent if one is tried every 5 ms."""
        count = 0
        for step in range(int(seconds / 0.005)):
            now = begin + 0.005 * step
            if not self.statements.seconds_until_room(RECORD, now):
                self.statements.record_send("s", now)
                count += 1
        return count

    def cool(self, rate: float, now: float, *, seconds: float = 10.0) -> warmup.WarmUpLimit:
        limit = warmup.WarmUpLimit(rate)
        self.statements.record_warm_up(RECORD, limit, now + seconds, now)
        return limit

    def test_rate_is_kept_in_each_second_and_ends_with_the_warm_up(self):
        limit = self.cool(14.0, 10.0)
        self.assertTrue(self.statements.is_restricted(RECORD, 10.0))
        for second in range(10):
            self.assertLessEqual(self.count_sends(10.0 + second, 1.0), limit.allowed_requests)
        self.assertFalse(self.statements.is_restricted(RECORD, 20.0))
        self.assertEqual(self.statements.seconds_until_room(RECORD, 20.0), 0.0)

    def test_time_until_room_ends_with_the_warm_up(self):
        self.statements.set_contact(1, 100, 10.0)
        self.cool(1.0, 10.0, seconds=3.0)
        self.assertLessEqual(self.statements.seconds_until_room(RECORD, 10.0), 3.0)

    def test_strictest_of_the_limits_holds(self):
        self.cool(14.0, 10.0)
        self.statements.record_statement(RECORD, statements.ServerStatement(limit=2.0), 10.0)
        self.assertLessEqual(self.count_sends(11.0, 4.0), 1.5 * 2.0 * 4.0 + 5)
        self.statements.record_statement(RECORD, statements.ServerStatement(limit=50.0), 15.0)
        self.assertLessEqual(self.count_sends(16.0, 1.0), 1.5 * 14.0 + 5)
        self.statements.end_warm_up(RECORD, 17.5)
        self.assertGreater(self.count_sends(18.0, 1.0), 1.5 * 14.0 + 5)

    def test_new_start_has_its_own_limit(self):
        self.cool(14.0, 10.0)
        self.assertFalse(self.statements.is_restricted(RESTARTED, 10.5))
        self.statements.record_warm_up(RESTARTED, warmup.WarmUpLimit(2.0), 20.0, 11.0)
        self.cool(14.0, 11.5)
        self.assertLess(self.statements.seconds_until_room(RESTARTED, 19.0), 0.1)
        self.assertTrue(self.statements.is_restricted(RESTARTED, 19.0))

    def test_requests_in_reports_of_others_are_counted(self):
        tables = [load_table.LoadTable("a") for _ in range(2)]
        for table in tables:
            table.set_entry_counts({"a": 2})
            table.statements.set_contact(2, 2, 10.0)
            table.statements.record_warm_up(RECORD, warmup.WarmUpLimit(1.0), 30.0, 10.0)
        own, other = tables
        self.report(other, own, 1, 14.0)
        for _ in range(2):
            other.statements.record_send("s", 14.0)
        self.assertEqual(own.statements.seconds_until_room(RECORD, 14.0), 0.0)
        self.report(other, own, 2, 14.0)
        self.assertGreater(own.statements.seconds_until_room(RECORD, 14.0), 0.0)

    def report(self, source, target, sequence: int, now: float) -> None:
        for report in source.make_reports(entry="o", incarnation="i", sequence=sequence, now=now):
            received = codec.decode_datagram(codec.encode_datagram(report))
            target.handle_report(received.message, now)

    def test_report_of_a_cold_server_ends_no_limit_that_it_names(self):
        own, other = load_table.LoadTable("a"), load_table.LoadTable("a")
        own.statements.record_statement(RECORD, statements.ServerStatement(limit=2.0), 9.0)
        other.statements.record_warm_up(RECORD, warmup.WarmUpLimit(1.0), 30.0, 10.0)
        self.report(other, own, 1, 10.0)
        self.assertEqual(own.statements.limit(RECORD), 2.0)

    def test_cold_server_that_is_gone_is_removed(self):
        self.cool(14.0, 10.0)
        self.statements.retain_only([RECORD], 12.0)
        self.assertEqual(self.statements.cold_count, 1)
        self.statements.retain_only([RECORD], 25.0)
        self.assertFalse(self.statements)


class TestSlownessOfNewStart(unittest.TestCase):
    """What an entry observed of a server before it started again."""

    def test_slowdown_is_forgotten_at_a_new_start(self):
        observed = observations.Observations()
        observed.record_slowdown(observations.instance_key(RECORD), 4.0, 10.0)
        self.assertGreater(observed.slowdown(observations.instance_key(RECORD), 10.1), 2.0)
        self.assertEqual(observed.slowdown(observations.instance_key(RESTARTED), 10.1), 1.0)


if __name__ == "__main__":
    unittest.main()
