"""Tests of reservations at engines whose answers are late or never come."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import memory_reservations
from flamingoramp.http import client
from flamingoramp.runtime import virtual_time

GRANTED = client.Head(200, ())
REFUSED = client.Head(409, ())


@attrs.define
class Order:
    """What an engine was told."""

    server: str
    op: str
    ticket: str
    receiver: client.Collector

    def answer(self, head: client.Head) -> None:
        self.receiver.handle_head(head)
        self.receiver.handle_complete()

    def fail(self) -> None:
        self.receiver.handle_failure(client.Failure.TIMED_OUT, may_have_run=True)


class Dialect:
    """Encodes orders as tuples."""

    def encode_reserve(self, server, ticket, _tokens, seconds):
        return ("reserve", server, ticket, seconds)

    def encode_release(self, server, ticket):
        return ("release", server, ticket, 0.0)


class ReservationCase(unittest.TestCase):
    """Memory at the engines ``x`` and ``y``."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.orders: list[Order] = []
        self.results: list[tuple[str, ...]] = []
        self.leases: list[float] = []
        holds = tuple(
            memory_reservations.Hold(name, f"{name}:1", 1000, f"t-{name}") for name in "xy"
        )
        self.reservation = memory_reservations.Reservation(
            self.loop, self, Dialect(), holds, self.results.append
        )

    def send(self, address, request, receiver) -> None:
        op, server, ticket, seconds = request
        self.assertEqual(address, f"{server}:1")
        if op == "reserve":
            self.leases.append(seconds)
        self.orders.append(Order(server, op, ticket, receiver))

    def take(self, op: str) -> list[Order]:
        """Return the orders of a kind since the last call."""
        found = [one for one in self.orders if one.op == op]
        self.orders = [one for one in self.orders if one.op != op]
        return found

    def grant_all(self) -> None:
        for order in self.take("reserve"):
            order.answer(GRANTED)


class TestAllOrNothing(ReservationCase):
    """Either all engines hold memory, or none does."""

    def test_all_grant(self):
        self.grant_all()
        self.assertEqual(self.results, [()])
        self.assertEqual(self.take("release"), [])

    def test_one_refusal_releases_all(self):
        first, second = self.take("reserve")
        first.answer(GRANTED)
        second.answer(REFUSED)
        self.assertEqual(self.results, [("y",)])
        self.assertEqual({one.server for one in self.take("release")}, {"x", "y"})

    def test_a_silent_engine_counts_as_a_refusal(self):
        self.take("reserve")[0].answer(GRANTED)
        self.loop.advance(memory_reservations.ANSWER_SECONDS + 0.01)
        self.assertEqual(self.results, [("y",)])
        self.assertEqual({one.server for one in self.take("release")}, {"x", "y"})


class TestLateOrders(ReservationCase):
    """Orders that engines carry out long after they were given up."""

    def test_a_late_answer_changes_nothing(self):
        orders = self.take("reserve")
        self.loop.advance(memory_reservations.ANSWER_SECONDS + 0.01)
        for order in orders:
            order.answer(GRANTED)
        self.assertEqual(self.results, [("x", "y")])

    def test_nothing_is_renewed_after_the_release(self):
        self.grant_all()
        self.loop.advance(memory_reservations.RENEW_SECONDS + 0.01)
        self.assertEqual(len(self.take("reserve")), 2)
        self.reservation.release()
        self.loop.advance(60.0)
        self.assertEqual(self.take("reserve"), [])

    def test_what_is_carried_out_after_the_release_lapses_by_itself(self):
        # Engines free what isn't renewed; the longest lease bounds how long a late order holds.
        self.grant_all()
        self.reservation.release()
        self.assertEqual(set(self.leases), {memory_reservations.HOLD_SECONDS})
        self.assertLessEqual(memory_reservations.HOLD_SECONDS, 4.0)

    def test_a_lease_outlives_a_lost_renewal(self):
        self.assertGreater(memory_reservations.HOLD_SECONDS, 2 * memory_reservations.RENEW_SECONDS)

    def test_a_release_without_an_answer_is_sent_again(self):
        self.grant_all()
        self.reservation.release()
        sent = 0
        for _ in range(10):
            for order in self.take("release"):
                sent += order.server == "x"
                if order.server == "x":
                    order.fail()
                else:
                    order.answer(GRANTED)
            self.loop.advance(memory_reservations.RELEASE_RETRY_SECONDS + 0.01)
        self.assertEqual(sent, memory_reservations.RELEASE_TRIES)

    def test_a_second_release_does_nothing(self):
        self.grant_all()
        self.reservation.release()
        self.assertEqual(len(self.take("release")), 2)
        self.reservation.release()
        self.assertEqual(self.take("release"), [])
