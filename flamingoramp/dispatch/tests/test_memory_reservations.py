"""Tests of memory reservations when engines refuse, answer late or don't answer."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import error_boundary, memory_reservations
from flamingoramp.http import client
from flamingoramp.runtime import virtual_time

GRANTED = client.Head(200, ())
REFUSED = client.Head(409, ())


@attrs.define
class SentRequest:
    """A request to an engine, and the receiver of its answer."""

    server: str
    op: str
    ticket: str
    receiver: client.Collector
    is_cancelled: bool = False

    def cancel(self) -> None:
        self.is_cancelled = True

    def answer(self, head: client.Head) -> None:
        self.receiver.handle_head(head)
        self.receiver.handle_complete()

    def fail(self) -> None:
        self.receiver.handle_failure(client.Failure.TIMED_OUT, may_have_run=True)


class Dialect:
    """Encodes requests as tuples of operation, server, ticket and expiry in seconds."""

    def encode_reserve(self, server, ticket, _tokens, seconds):
        return ("reserve", server, ticket, seconds)

    def encode_release(self, server, ticket):
        return ("release", server, ticket, 0.0)


class ReservationCase(unittest.TestCase):
    """Base of tests that reserve memory at the engines ``x`` and ``y``; also the fake pool."""

    def setUp(self):
        self.loop = virtual_time.VirtualLoop()
        self.requests: list[SentRequest] = []
        self.results: list[tuple[str, ...]] = []
        self.expiry_seconds: list[float] = []
        holds = tuple(
            memory_reservations.MemoryHold(name, f"{name}:1", 1000, f"t-{name}") for name in "xy"
        )
        self.reservation = memory_reservations.MemoryReservation(
            error_boundary.ErrorBoundary(self.loop),
            self,
            Dialect(),
            holds,
            self.results.append,
        )

    def send(self, address, request, receiver, *, max_body_bytes=None) -> SentRequest:
        op, server, ticket, seconds = request
        self.assertEqual(address, f"{server}:1")
        if op == "reserve":
            self.expiry_seconds.append(seconds)
        self.requests.append(SentRequest(server, op, ticket, receiver))
        return self.requests[-1]

    def take(self, op: str) -> list[SentRequest]:
        """Remove the collected requests of one operation and return them."""
        taken = [sent for sent in self.requests if sent.op == op]
        self.requests = [sent for sent in self.requests if sent.op != op]
        return taken

    def grant_all(self) -> None:
        for request in self.take("reserve"):
            request.answer(GRANTED)


class TestAllOrNothing(ReservationCase):
    """Memory is reserved at all engines or at none."""

    def test_reports_success_when_all_engines_grant(self):
        self.grant_all()
        self.assertEqual(self.results, [()])
        self.assertEqual(self.take("release"), [])

    def test_releases_all_holds_when_one_engine_refuses(self):
        first, second = self.take("reserve")
        first.answer(GRANTED)
        second.answer(REFUSED)
        self.assertEqual(self.results, [("y",)])
        self.assertEqual({sent.server for sent in self.take("release")}, {"x", "y"})

    def test_counts_an_engine_that_times_out_as_refusing(self):
        self.take("reserve")[0].answer(GRANTED)
        self.loop.advance(memory_reservations.RESERVE_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(self.results, [("y",)])
        self.assertEqual({sent.server for sent in self.take("release")}, {"x", "y"})


class TestLateRequests(ReservationCase):
    """Engines may answer or grant a request after the reservation timed out or was released."""

    def test_ignores_answers_after_the_timeout(self):
        requests = self.take("reserve")
        self.loop.advance(memory_reservations.RESERVE_TIMEOUT_SECONDS + 0.01)
        for request in requests:
            request.answer(GRANTED)
        self.assertEqual(self.results, [("x", "y")])

    # Guards against connections that stay open for as long as an engine sends no answer, or one
    # without end.
    def test_commands_without_an_answer_are_given_up(self):
        requests = self.take("reserve")
        self.loop.advance(memory_reservations.RESERVE_TIMEOUT_SECONDS + 0.01)
        requests += self.take("release")
        self.assertEqual(len(requests), 4)
        self.assertFalse(any(request.is_cancelled for request in requests))
        self.loop.advance(memory_reservations.HOLD_EXPIRY_SECONDS)
        self.assertTrue(all(request.is_cancelled for request in requests))
        self.assertEqual(self.take("release"), [], "the holds have expired")

    def test_stops_renewing_after_release(self):
        self.grant_all()
        self.loop.advance(memory_reservations.RENEWAL_INTERVAL_SECONDS + 0.01)
        self.assertEqual(len(self.take("reserve")), 2)
        self.reservation.release()
        self.loop.advance(60.0)
        self.assertEqual(self.take("reserve"), [])

    def test_bounds_the_duration_of_a_hold_granted_after_release(self):
        # An engine frees memory that isn't renewed, so the expiry bounds a late hold.
        self.grant_all()
        self.reservation.release()
        self.assertEqual(set(self.expiry_seconds), {memory_reservations.HOLD_EXPIRY_SECONDS})
        self.assertLessEqual(memory_reservations.HOLD_EXPIRY_SECONDS, 4.0)

    def test_hold_outlasts_one_lost_renewal(self):
        self.assertGreater(
            memory_reservations.HOLD_EXPIRY_SECONDS,
            2 * memory_reservations.RENEWAL_INTERVAL_SECONDS,
        )

    def test_resends_a_release_until_the_attempts_are_used_up(self):
        self.grant_all()
        self.reservation.release()
        release_count = 0
        for _ in range(10):
            for request in self.take("release"):
                release_count += request.server == "x"
                if request.server == "x":
                    request.fail()
                else:
                    request.answer(GRANTED)
            self.loop.advance(memory_reservations.RELEASE_RETRY_INTERVAL_SECONDS + 0.01)
        self.assertEqual(release_count, memory_reservations.MAX_RELEASE_ATTEMPTS)

    def test_ignores_a_second_release(self):
        self.grant_all()
        self.reservation.release()
        self.assertEqual(len(self.take("release")), 2)
        self.reservation.release()
        self.assertEqual(self.take("release"), [])
