"""Tests of requests that compete for too little room, in virtual time without a network."""

from __future__ import annotations

import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.dispatch import room_queue
from flamingoramp.dispatch.tests import contended_entries
from flamingoramp.routing import contention, selection

Kind = contended_entries.Kind

# Requests per second that 6 engines of 4 slots finish, at about half a second each.
CAPACITY = 46.0
ONE_ZONE = {"a": 24}
# Within a zone reports are 8 ms late; between zones 0.4 s, of which 0.2 s until the next summary.
FAR_SECONDS = 0.2


def three_ranks(rate: float) -> list[Kind]:
    """Return kinds of three ranks with the same rate each."""
    return [Kind(name, rank, rate=rate) for rank, name in enumerate(("high", "middle", "low"))]


def pass_through(_queue, _admitted, begin, _boundary) -> None:
    """Start a request as if there were no queue."""
    begin()


class TestTwiceTheLoadOfMixedRanks(unittest.TestCase):
    """Load pattern: 66 entries get twice what the engines can serve, of three ranks alike."""

    def check_ranks(self, **options) -> contended_entries.Deployment:
        deployment = contended_entries.Deployment(three_ranks(2 * CAPACITY / 3), **options)
        since = deployment.loop.now() + 1.0
        deployment.run(5.0)
        until = deployment.loop.now()
        deployment.loop.advance(3.0)
        ratios = [
            deployment.served_ratio(name, since=since, until=until)
            for name in ("high", "middle", "low")
        ]
        self.assertGreaterEqual(ratios[0], ratios[1])
        self.assertGreaterEqual(ratios[1], ratios[2])
        self.assertGreaterEqual(ratios[0], 0.9)  # alone, they need two thirds of the room
        return deployment

    def test_ranks_are_served_in_order_with_reports_of_8_ms_and_400_ms(self):
        self.check_ranks(between_zones_seconds=FAR_SECONDS)

    def test_ranks_are_served_in_order_with_a_fifth_of_the_reports_lost(self):
        self.check_ranks(zone_sizes=ONE_ZONE, loss_ratio=0.2)

    def test_every_request_has_a_final_answer_before_its_deadline(self):
        deployment = self.check_ranks(zone_sizes=ONE_ZONE)
        for outcome in deployment.outcomes:
            self.assertEqual(len(outcome.statuses), outcome.sent_count)
            self.assertLess(outcome.finished_at, outcome.deadline)
        self.assertEqual(deployment.waiting_count(), 0)


class TestLowerRanksBesideHigherOnes(unittest.TestCase):
    """Load pattern: a rank that needs half of the room, and a lower one that would fill all."""

    def served(self, kinds: list[Kind]) -> int:
        deployment = contended_entries.Deployment(kinds, zone_sizes=ONE_ZONE)
        deployment.run(6.0)
        deployment.loop.advance(3.0)
        return sum(outcome.is_served for outcome in deployment.outcomes)

    def test_what_the_higher_rank_does_not_use_goes_to_the_lower_one(self):
        lower = Kind("low", 2, rate=2 * CAPACITY)
        rare = Kind("high", 0, rate=0.5)
        alone = self.served([rare, lower])
        beside = self.served([Kind("high", 0, rate=CAPACITY / 2), lower])
        self.assertGreaterEqual(beside, 0.9 * alone)


class TestWorkspaceThatRepeatsAtOnce(unittest.TestCase):
    """Load pattern: one workspace sends ten times its share and repeats without waiting."""

    def served_of_others(self, *more: Kind) -> int:
        others = [Kind(f"w{n}", 1, f"w{n}", rate=0.8 * CAPACITY / 24) for n in range(23)]
        urgent = Kind("urgent", 0, "w0", rate=0.5)
        deployment = contended_entries.Deployment([*others, urgent, *more], zone_sizes=ONE_ZONE)
        deployment.run(6.0)
        deployment.loop.advance(3.0)
        return deployment.served_count(*(kind.name for kind in others))

    def test_the_others_get_nine_tenths_of_what_they_get_without_it(self):
        rate = 10 * CAPACITY / 24
        heavy = Kind("heavy", 1, "heavy", rate=rate, max_returns=50, returns_at_once=True)
        self.assertGreaterEqual(self.served_of_others(heavy), 0.9 * self.served_of_others())


class TestLongPromptsBesideShortOnes(unittest.TestCase):
    """Load pattern: a burst of prompts that need several engines, or of short ones beside them."""

    def served_in_burst(self, long_rate: float, short_rate: float, burst: str) -> dict[str, float]:
        window = {"start_seconds": 2.0, "end_seconds": 6.0}
        kinds = [
            Kind("urgent", 0, rate=0.5),
            Kind(
                "long",
                1,
                rate=long_rate,
                prompt_tokens=200_000,
                objective_seconds=2.0,
                time_limit_seconds=20.0,
                **(window if burst == "long" else {}),
            ),
            Kind("short", 1, rate=short_rate, **(window if burst == "short" else {})),
        ]
        deployment = contended_entries.Deployment(kinds, zone_sizes=ONE_ZONE)
        start = deployment.loop.now()
        deployment.run(8.0)
        deployment.loop.advance(10.0)
        return {
            name: deployment.served_ratio(name, since=start + 2.0, until=start + 6.0)
            for name in ("long", "short")
        }

    def test_short_prompts_are_not_starved_by_a_burst_of_long_ones(self):
        served = self.served_in_burst(2.5, 30.0, "long")
        self.assertGreaterEqual(served["short"], 0.5)

    def test_long_prompts_are_not_starved_by_a_burst_of_short_ones(self):
        served = self.served_in_burst(1.5, 2 * CAPACITY, "short")
        self.assertGreaterEqual(served["long"], 0.5)


class TestRefusedCallersWhoComeBack(unittest.TestCase):
    """Load pattern: twice the load of one kind, whose callers come back as told."""

    def test_they_are_served_more_often_than_newcomers(self):
        kinds = [Kind("urgent", 0, rate=0.5), Kind("plain", 1, rate=2 * CAPACITY)]
        deployment = contended_entries.Deployment(kinds, between_zones_seconds=FAR_SECONDS)
        since = deployment.loop.now() + 2.0
        deployment.run(6.0)
        until = deployment.loop.now()
        deployment.loop.advance(6.0)
        counted = [
            outcome
            for outcome in deployment.outcomes
            if outcome.kind.name == "plain" and since <= outcome.arrived_at < until - 1.0
        ]
        returned = [outcome for outcome in counted if len(outcome.statuses) > 1]
        at_arrival = sum(outcome.statuses[0] == 200 for outcome in counted) / len(counted)
        at_return = sum(outcome.statuses[1] == 200 for outcome in returned) / len(returned)
        self.assertGreater(at_return, at_arrival)


class TestOneFullDeployment(unittest.TestCase):
    """All slots are taken for longer than callers wait."""

    def setUp(self):
        self.low = Kind("low", 2, rate=1.0, max_returns=0)
        self.high = Kind("high", 0, rate=1.0, max_returns=0)
        self.deployment = contended_entries.Deployment(
            [self.low, self.high], zone_sizes={"a": 4}, engine_count=2, answer_seconds=1.2
        )
        self.names = sorted(self.deployment.handlers)

    def fill(self) -> None:
        """Take all slots, one request at a time so that reports arrive in between."""
        for number in range(2 * contended_entries.MODEL.slots):
            outcome = self.deployment.arrive(self.low, self.names[number % 4])
            self.deployment.loop.advance(0.05)
            self.assertTrue(outcome.is_served)

    def test_a_request_that_no_room_is_expected_for_is_refused_at_once(self):
        self.fill()
        for _ in range(20):
            self.deployment.arrive(self.low, self.names[0])
        last = self.deployment.arrive(self.low, self.names[0])
        self.assertEqual((last.statuses, last.refused_after), ([429], [0.0]))
        self.assertIn((b"outcome", b"not_run"), last.exchange.headers)
        self.assertGreater(last.retry_after[0], 0.0)

    def test_a_waiting_request_is_refused_as_not_run_when_its_time_is_over(self):
        self.fill()
        waiting = self.deployment.arrive(self.high, self.names[0])
        self.assertEqual(waiting.statuses, [])
        with mock.patch.object(selection.ServerSelector, "choose", side_effect=self.no_room):
            self.deployment.loop.advance(3.0)
        self.assertEqual(waiting.statuses, [429])
        self.assertIn((b"outcome", b"not_run"), waiting.exchange.headers)
        self.assertLess(waiting.finished_at - waiting.arrived_at, 2.0)  # the caller's patience
        self.assertGreater(waiting.retry_after[0], 0.0)

    @staticmethod
    def no_room(*_arguments, **_options):
        error = selection.overload_error("none", 0.0)
        error.seconds_until_free = 0.0
        raise error

    def test_a_caller_who_has_gone_does_not_wait(self):
        self.fill()
        waiting = self.deployment.arrive(self.high, self.names[0])
        self.assertEqual(self.deployment.waiting_count(), 1)
        waiting.exchange.on_disconnect()
        self.assertEqual(self.deployment.waiting_count(), 0)

    def test_a_full_queue_gives_the_place_of_the_last_to_a_more_urgent_request(self):
        self.fill()
        with mock.patch.object(room_queue, "MAX_WAITING_REQUESTS", 1):
            low = self.deployment.arrive(self.low, self.names[0])
            self.assertEqual(low.statuses, [])
            other = self.deployment.arrive(self.low, self.names[0])
            self.assertEqual(other.statuses, [429])
            high = self.deployment.arrive(self.high, self.names[0])
        self.assertEqual((low.statuses, high.statuses), ([429], []))

    def test_newcomers_leave_room_for_a_more_urgent_request_that_waits_elsewhere(self):
        self.fill()
        waiting = self.deployment.arrive(self.high, self.names[0])
        self.deployment.loop.advance(0.05)
        view = self.deployment.network.entries[self.names[1]].loads.view_contention(
            contended_entries.SERVICE, self.deployment.loop.now()
        )
        request = contention.ContendingRequest(
            contended_entries.SERVICE, "", 2, 0.0, 99.0, 99.0, 99.0, contention.Need(1.0)
        )
        self.assertEqual(view.ahead_of(request).need.request_count, 1.0)
        self.deployment.loop.advance(1.2)
        self.assertTrue(waiting.is_served)


class TestEntriesThatStop(unittest.TestCase):
    """Failure: an entry with waiting requests dies, or is suspended for 3 s."""

    def setUp(self):
        self.low = Kind("low", 2, max_returns=0)
        self.high = Kind("high", 0, max_returns=0)
        self.deployment = contended_entries.Deployment(
            [self.low, self.high], zone_sizes={"a": 4}, engine_count=1, answer_seconds=2.0
        )
        self.names = sorted(self.deployment.handlers)
        for number in range(contended_entries.MODEL.slots):
            self.deployment.arrive(self.low, self.names[number])
            self.deployment.loop.advance(0.05)
        self.deployment.loop.advance(1.6)
        self.waiting = [self.deployment.arrive(self.high, self.names[0]) for _ in range(2)]
        self.deployment.loop.advance(0.05)

    def count_ahead(self) -> float:
        """Return how many requests another entry leaves room for."""
        view = self.deployment.network.entries[self.names[1]].loads.view_contention(
            contended_entries.SERVICE, self.deployment.loop.now()
        )
        request = contention.ContendingRequest(
            contended_entries.SERVICE, "", 2, 0.0, 99.0, 99.0, 99.0, contention.Need(1.0)
        )
        return view.ahead_of(request).need.request_count

    def test_others_stop_yielding_to_a_dead_entry_within_1500_ms(self):
        self.assertGreaterEqual(self.count_ahead(), 1.0)
        self.deployment.stop(self.names[0])
        self.deployment.loop.advance(1.5)
        self.assertLess(self.count_ahead(), 1.0)
        outcome = self.deployment.arrive(self.low, self.names[1])
        self.deployment.loop.advance(1.0)
        self.assertTrue(outcome.is_served)

    def test_a_suspended_entry_refuses_what_is_over_and_serves_again(self):
        self.assertTrue(all(not outcome.statuses for outcome in self.waiting))
        self.deployment.stop(self.names[0])
        self.deployment.loop.advance(3.0)
        self.assertLess(self.count_ahead(), 1.0)
        self.deployment.resume(self.names[0])
        for outcome in self.waiting:
            self.assertEqual(outcome.statuses, [429])
            self.assertIn((b"outcome", b"not_run"), outcome.exchange.headers)
        self.deployment.loop.advance(1.0)
        outcome = self.deployment.arrive(self.high, self.names[0])
        self.deployment.loop.advance(0.5)
        self.assertTrue(outcome.is_served)


class TestServiceOfOneRank(unittest.TestCase):
    """A service whose requests all have the same rank is served as without the queue."""

    def run_overload(self) -> list[tuple[str, dict]]:
        kinds = [Kind("one", 1, rate=CAPACITY), Kind("two", 1, rate=CAPACITY)]
        deployment = contended_entries.Deployment(kinds, zone_sizes={"a": 8})
        with mock.patch.object(contention.ContentionBook, "handle_report") as handled:
            deployment.run(2.0)
        rows = [call.args[1].contention for call in handled.call_args_list]
        self.assertEqual(set(rows), {()})
        numbers: dict[str, int] = {}
        return [
            (event, {**fields, "request": numbers.setdefault(fields["request"], len(numbers))})
            for event, fields in deployment.log.events
        ]

    def test_decisions_under_overload_are_those_without_the_queue(self):
        events = self.run_overload()
        with mock.patch.object(room_queue.RoomQueue, "start", pass_through):
            expected = self.run_overload()
        self.assertEqual(events, expected)
        self.assertIn("refused", [fields.get("outcome") for _, fields in events])


class TestCodesOfOtherProcesses(unittest.TestCase):
    """What an entry imports for its queue doesn't change the errors that codes stand for."""

    def test_overloaded_stands_for_the_error_of_that_code(self):
        error = errors.error_from_code("overloaded", "full", retry_after=2.0)
        self.assertIs(type(error), errors.OverloadedError)
