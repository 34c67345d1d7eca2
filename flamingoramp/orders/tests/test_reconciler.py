"""Tests of engine orders and fencing."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import declarations
from flamingoramp.orders import reconciler
from flamingoramp.protocol import messages

SERVICE = declarations.ServiceDeclaration(
    "llm", models=(declarations.ModelDeclaration("m", "2", ("tone",)),)
)
WANTED = ("m@2", "tone@2")


def server(name: str, **changes) -> messages.Announcement:
    """Return an engine that still runs the old version."""
    values = {"server": name, "incarnation": 1, "models": ("m@1",), "honours_fencing": True}
    return messages.Announcement(**(values | changes))


class TestReconciler(unittest.TestCase):
    """Orders follow from what engines report."""

    def setUp(self):
        self.reconciler = reconciler.Reconciler(
            fence=5, owned_since=100.0, max_delivery_seconds=4.0
        )

    def decide(self, *servers: messages.Announcement, now: float = 100.0) -> list[str]:
        return [one.server for one in self.reconciler.next_orders(SERVICE, list(servers), now)]

    def test_few_engines_load_at_a_time(self):
        servers = [server(f"e{number}") for number in range(6)]
        self.assertEqual(self.decide(*servers), ["e0", "e1"])
        self.assertEqual(self.decide(*servers), [])
        servers[0] = server("e0", models=WANTED)
        self.assertEqual(self.decide(*servers), ["e2"])

    def test_nothing_to_do(self):
        self.assertEqual(self.decide(server("e0", models=WANTED)), [])

    def test_engine_that_ignores_fencing_waits_out_earlier_orders(self):
        one = server("e0", honours_fencing=False)
        self.assertEqual(self.decide(one, now=103.9), [])
        self.assertEqual(self.decide(one, now=104.0), ["e0"])

    def test_newer_owner_has_ordered_already(self):
        self.assertEqual(self.decide(server("e0", highest_fence=6)), [])

    def test_unknown_outcome_is_observed_not_assumed(self):
        one = server("e0")
        (order,) = self.reconciler.next_orders(SERVICE, [one], 100.0)
        self.assertEqual(order.models, WANTED)
        self.assertEqual(self.decide(one, now=101.0), [])
        self.reconciler.handle_result(order, False, 101.0)
        self.assertEqual(self.decide(one, now=101.1), ["e0"])

    def test_restarted_engine_is_ordered_again(self):
        self.decide(server("e0"))
        self.assertEqual(self.decide(server("e0", incarnation=2), now=101.0), ["e0"])

    def test_orders_carry_the_fence(self):
        (order,) = self.reconciler.next_orders(SERVICE, [server("e0")], 100.0)
        self.assertEqual(attrs.asdict(order)["fence"], 5)
