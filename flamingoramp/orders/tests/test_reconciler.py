"""Tests of `Reconciler`: orders to engines to load models, and their fencing numbers."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import declarations
from flamingoramp.orders import reconciler
from flamingoramp.protocol import shard_messages

SERVICE = declarations.ServiceDeclaration(
    "llm", models=(declarations.ModelDeclaration("m", "2", ("tone",)),)
)
DESIRED_MODELS = ("m@2", "tone@2")


def make_announcement(name: str, **changes) -> shard_messages.Announcement:
    """Return the announcement of an engine that has the previous model version loaded."""
    fields = {"server": name, "incarnation": 1, "models": ("m@1",), "honours_fencing": True}
    return shard_messages.Announcement(**(fields | changes))


class TestReconciler(unittest.TestCase):
    """Orders are computed from the models that engines report."""

    def setUp(self):
        self.reconciler = reconciler.Reconciler(
            fence=5, owned_since=100.0, max_delivery_seconds=4.0
        )

    def ordered_servers(
        self, *announcements: shard_messages.Announcement, now: float = 100.0
    ) -> list[str]:
        return [
            order.server for order in self.reconciler.next_orders(SERVICE, list(announcements), now)
        ]

    def test_concurrent_loads_are_limited(self):
        announcements = [make_announcement(f"e{number}") for number in range(6)]
        self.assertEqual(self.ordered_servers(*announcements), ["e0", "e1"])
        self.assertEqual(self.ordered_servers(*announcements), [])
        announcements[0] = make_announcement("e0", models=DESIRED_MODELS)
        self.assertEqual(self.ordered_servers(*announcements), ["e2"])

    def test_engine_with_declared_models_gets_no_order(self):
        self.assertEqual(self.ordered_servers(make_announcement("e0", models=DESIRED_MODELS)), [])

    def test_engine_that_ignores_fencing_gets_order_only_after_max_delivery_time(self):
        # Orders of earlier owners can still arrive within the maximum delivery time.
        announcement = make_announcement("e0", honours_fencing=False)
        self.assertEqual(self.ordered_servers(announcement, now=103.9), [])
        self.assertEqual(self.ordered_servers(announcement, now=104.0), ["e0"])

    def test_engine_with_newer_fence_gets_no_order(self):
        self.assertEqual(self.ordered_servers(make_announcement("e0", highest_fence=6)), [])

    def test_pending_order_is_resent_only_after_refusal(self):
        announcement = make_announcement("e0")
        (order,) = self.reconciler.next_orders(SERVICE, [announcement], 100.0)
        self.assertEqual(order.models, DESIRED_MODELS)
        self.assertEqual(self.ordered_servers(announcement, now=101.0), [])
        self.reconciler.handle_result(order, False, 101.0)
        self.assertEqual(self.ordered_servers(announcement, now=101.1), ["e0"])

    def test_restarted_engine_gets_new_order(self):
        self.ordered_servers(make_announcement("e0"))
        self.assertEqual(
            self.ordered_servers(make_announcement("e0", incarnation=2), now=101.0), ["e0"]
        )

    def test_order_carries_fencing_number(self):
        (order,) = self.reconciler.next_orders(SERVICE, [make_announcement("e0")], 100.0)
        self.assertEqual(attrs.asdict(order)["fence"], 5)
