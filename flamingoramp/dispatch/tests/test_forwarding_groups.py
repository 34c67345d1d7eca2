"""Tests of `RequestForwarder` with groups of engines whose first engine stops responding."""

from __future__ import annotations

import attrs

from flamingoramp.dispatch import forwarding, memory_reservations
from flamingoramp.dispatch.tests import test_forwarding, test_forwarding_zones

# The platform's bound on memory that stays reserved after its request has ended.
FREE_SECONDS = 4.0
ROUTE = attrs.evolve(
    test_forwarding.STREAM, timeout_seconds=15.0, latency_objective_seconds=4.0, attempts=2
)


class TestLostEngines(test_forwarding.ForwardingCase):
    """A prompt whose helpers have reserved memory, and whose engine sends nothing."""

    def setUp(self):
        super().setUp()
        self.context = test_forwarding_zones.HelperContext()
        self.context.dialect = test_forwarding_zones.HelperDialect()
        self.context.responsive = {"s1", "s2", "s3"}
        self.context.backlogged = {"s1", "s2", "s3"}
        self.start_request(ROUTE, time_limit_seconds=15.0)
        self.grant()

    def grant(self) -> None:
        """Grant the reservation that was sent last; the request is sent then."""
        receiver = self.calls[-1].receiver
        receiver.handle_head(test_forwarding_zones.GRANTED)
        receiver.handle_complete()

    def paths(self, address: str) -> list[bytes]:
        return [call.request.target for call in self.calls if call.address == address]

    # Guards against memory that stays reserved at sound engines for a prompt that nobody reads: a
    # group that waits was checked after several seconds only, and not while it had a backlog.
    def test_memory_is_released_and_the_group_formed_again_within_the_bound(self):
        self.context.responsive = {"s2", "s3"}
        self.context.loop.advance(FREE_SECONDS - memory_reservations.RELEASE_RETRY_INTERVAL_SECONDS)
        self.assertIn(b"/release", self.paths("h1:1"))
        self.assertIn(b"/reserve", self.paths("h2:1"))

    def test_group_of_an_engine_that_responds_waits(self):
        self.context.loop.advance(3.0)
        self.assertIn("s1", self.context.checked)
        self.assertNotIn(b"/release", self.paths("h1:1"))

    def test_engine_that_responds_again_keeps_its_group(self):
        self.context.responsive = {"s2", "s3"}
        self.context.loop.advance(1.2 * forwarding.GROUP_CHECK_INTERVAL_SECONDS)
        self.context.responsive.add("s1")
        self.context.loop.advance(2.0)
        self.assertNotIn(b"/release", self.paths("h1:1"))

    def test_request_without_another_attempt_fails_at_once(self):
        self.context.retries_left = 0
        self.context.responsive = {"s2", "s3"}
        self.context.loop.advance(2.5 * forwarding.GROUP_CHECK_INTERVAL_SECONDS)
        self.assertIn(b"/release", self.paths("h1:1"))
        self.assert_ended(502)

    def test_entry_that_reaches_no_server_leaves_the_group_alone(self):
        self.context.is_cut_off = True
        self.context.responsive = set()
        self.context.loop.advance(3.0)
        self.assertNotIn(b"/release", self.paths("h1:1"))
