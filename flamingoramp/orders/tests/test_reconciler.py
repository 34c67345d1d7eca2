"""Tests of orders to engines and their fencing numbers."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import declarations
from flamingoramp.orders import reconciler
from flamingoramp.protocol import messages

SERVICE = declarations.ServiceDeclaration(
    "llm", models=(declarations.ModelDeclaration("m", "2", ("tone",)),)
)
DESIRED = ("m@2", "tone@2")


def announce(name: str, **changes) -> messages.Announcement:
    """Return the announcement of an engine that has the previous model version loaded."""
    values = {"server": name, "incarnation": 1, "models": ("m@1",), "honours_fencing": True}
    return messages.Announcement(**(values | changes))


class TestReconciler(unittest.TestCase):
    """Orders are computed from the models that engines report."""

    def setUp(self):
        self.reconciler = reconciler.Reconciler(
            fence=5, owned_since=100.0, max_delivery_seconds=4.0
        )

    def ordered_servers(self, *servers: messages.Announcement, now: float = 100.0) -> list[str]:
        return [order.server for order in self.reconciler.next_orders(SERVICE, list(servers), now)]

    def test_concurrent_loads_are_limited(self):
        servers = [announce(f"e{number}") for number in range(6)]
        self.assertEqual(self.ordered_servers(*servers), ["e0", "e1"])
        self.assertEqual(self.ordered_servers(*servers), [])
        servers[0] = announce("e0", models=DESIRED)
        self.assertEqual(self.ordered_servers(*servers), ["e2"])

    def test_engine_with_declared_models_gets_no_order(self):
        self.assertEqual(self.ordered_servers(announce("e0", models=DESIRED)), [])

    def test_engine_that_ignores_fencing_gets_order_after_delivery_time(self):
        engine = announce("e0", honours_fencing=False)
        self.assertEqual(self.ordered_servers(engine, now=103.9), [])
        self.assertEqual(self.ordered_servers(engine, now=104.0), ["e0"])

    def test_engine_with_newer_fence_gets_no_order(self):
        self.assertEqual(self.ordered_servers(announce("e0", highest_fence=6)), [])

    def test_pending_order_is_resent_only_after_refusal(self):
        engine = announce("e0")
        (order,) = self.reconciler.next_orders(SERVICE, [engine], 100.0)
        self.assertEqual(order.models, DESIRED)
        self.assertEqual(self.ordered_servers(engine, now=101.0), [])
        self.reconciler.handle_result(order, False, 101.0)
        self.assertEqual(self.ordered_servers(engine, now=101.1), ["e0"])

    def test_restarted_engine_gets_new_order(self):
        self.ordered_servers(announce("e0"))
        self.assertEqual(self.ordered_servers(announce("e0", incarnation=2), now=101.0), ["e0"])

    def test_order_carries_fencing_number(self):
        (order,) = self.reconciler.next_orders(SERVICE, [announce("e0")], 100.0)
        self.assertEqual(attrs.asdict(order)["fence"], 5)
