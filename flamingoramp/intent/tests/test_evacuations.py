"""Tests of the replicated state of evacuated zones, alone and beside a declaration."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.intent import coordinator_state, evacuations, versioned_declaration
from flamingoramp.membership import departures
from flamingoramp.protocol import messages

ORDERS = strategies.tuples(
    strategies.sampled_from("abc"), strategies.booleans(), strategies.integers(0, 12)
)
PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)


def make_entry(
    index: int, zone: str, evacuated: bool = True, *, after: int = 0
) -> messages.LogEntry:
    """Return a log entry with an order."""
    payload = evacuations.encode(evacuations.ZoneOrder(zone, evacuated, after))
    return messages.LogEntry(index, 1, evacuations.KIND_ZONE_ORDER, payload)


def make_log(orders: list[tuple[str, bool, int]]) -> list[messages.LogEntry]:
    """Return the log entries of orders, given as zone, evacuated and after."""
    return [
        make_entry(index, zone, evacuated, after=after)
        for index, (zone, evacuated, after) in enumerate(orders, 1)
    ]


def apply_all(entries: list[messages.LogEntry]) -> coordinator_state.CoordinatorState:
    """Return the state after some log entries."""
    state = coordinator_state.CoordinatorState()
    for entry in entries:
        state.apply_entry(entry)
    return state


class TestEvacuationState(unittest.TestCase):
    """The latest order about each zone that is not outdated is in effect."""

    def setUp(self):
        self.state = evacuations.EvacuationState()

    def test_order_evacuates_and_the_opposite_restores(self):
        result = self.state.apply_entry(make_entry(3, "b"))
        self.assertEqual(result, evacuations.OrderResult(False, True, 3))
        self.state.apply_entry(make_entry(4, "a"))
        self.assertEqual((self.state.zones, self.state.number), (("a", "b"), 4))
        self.state.apply_entry(make_entry(7, "b", False, after=3))
        self.assertEqual((self.state.zones, self.state.number), (("a",), 7))

    def test_repeated_order_takes_effect_without_a_change(self):
        self.state.apply_entry(make_entry(3, "b"))
        result = self.state.apply_entry(make_entry(5, "b", after=3))
        self.assertEqual(result, evacuations.OrderResult(False, False, 5))
        self.assertEqual((self.state.zones, self.state.number), (("b",), 5))

    # Guards against an order that its operator gave up and that takes effect after the opposite.
    def test_order_that_was_read_before_the_opposite_took_effect_is_outdated(self):
        self.state.apply_entry(make_entry(3, "b", False))
        result = self.state.apply_entry(make_entry(4, "b", after=0))
        self.assertEqual(result, evacuations.OrderResult(True, False, 3))
        self.assertEqual(self.state.zones, ())
        self.assertFalse(self.state.apply_entry(make_entry(5, "b", after=3)).is_outdated)

    def test_orders_about_other_zones_do_not_outdate(self):
        self.state.apply_entry(make_entry(3, "a"))
        self.assertFalse(self.state.apply_entry(make_entry(4, "b", after=0)).is_outdated)

    def test_entries_of_other_kinds_are_ignored(self):
        self.assertIsNone(self.state.apply_entry(messages.LogEntry(1, 1, "noop", b"")))


class TestReplay(unittest.TestCase):
    """Entries that are applied again, from any snapshot, revert nothing."""

    @PROPERTY_SETTINGS
    @hypothesis.given(strategies.lists(ORDERS, max_size=12), strategies.data())
    def test_entries_after_a_snapshot_may_be_applied_again(self, orders, data):
        log = make_log(orders)
        expected = apply_all(log).evacuations.dump()
        snapshot_index = data.draw(strategies.integers(0, len(log)))
        applied_index = data.draw(strategies.integers(snapshot_index, len(log)))
        snapshot = apply_all(log[:snapshot_index]).dump()
        state = apply_all(log[:applied_index])
        state.load(snapshot)
        number = state.evacuations.number
        self.assertEqual(number, apply_all(log[:applied_index]).evacuations.number)
        for entry in log[snapshot_index:]:
            zones = state.evacuations.zones
            state.apply_entry(entry)
            if entry.index <= applied_index:
                self.assertEqual(state.evacuations.zones, zones)
            self.assertGreaterEqual(state.evacuations.number, number)
        self.assertEqual(state.evacuations.dump(), expected)

    @PROPERTY_SETTINGS
    @hypothesis.given(strategies.lists(ORDERS, max_size=12), strategies.data())
    def test_snapshot_replaces_the_entries_before_it(self, orders, data):
        log = make_log(orders)
        applied_index = data.draw(strategies.integers(0, len(log)))
        state = apply_all(log[:applied_index])
        state.load(apply_all(log).dump())
        self.assertEqual(state.evacuations.dump(), apply_all(log).evacuations.dump())

    @PROPERTY_SETTINGS
    @hypothesis.given(strategies.lists(ORDERS, max_size=12))
    def test_number_grows_with_each_order_in_effect(self, orders):
        state = evacuations.EvacuationState()
        for entry in make_log(orders):
            number, zones = state.number, state.zones
            result = state.apply_entry(entry)
            if result.is_outdated:
                self.assertEqual((state.number, state.zones), (number, zones))
            else:
                self.assertGreater(state.number, number)
                self.assertEqual(result.has_changed, state.zones != zones)


class TestCoordinatorState(unittest.TestCase):
    """Declaration, evacuations and departures share the log and the snapshot."""

    def make_declaration_entry(self, index: int, version: int) -> messages.LogEntry:
        payload = versioned_declaration.encode(version, versioned_declaration.compress(b"{}"))
        return messages.LogEntry(index, 1, versioned_declaration.KIND_DECLARE, payload)

    def test_snapshot_round_trip_keeps_both(self):
        state = apply_all([self.make_declaration_entry(1, 9), make_entry(2, "b")])
        restored = coordinator_state.CoordinatorState()
        restored.load(state.dump())
        self.assertEqual((restored.declaration.version, restored.declaration.document), (9, b"{}"))
        self.assertEqual((restored.evacuations.zones, restored.evacuations.number), (("b",), 2))

    def test_snapshot_round_trip_keeps_departures(self):
        departure = departures.Departure("s1", 5, True)
        payload = departures.encode([departure])
        entry = messages.LogEntry(3, 1, departures.KIND_DEPARTURES, payload)
        state = apply_all([self.make_declaration_entry(1, 9), make_entry(2, "b"), entry])
        restored = coordinator_state.CoordinatorState()
        restored.load(state.dump())
        self.assertTrue(restored.departures.contains(departure))
        self.assertEqual((restored.declaration.version, restored.evacuations.zones), (9, ("b",)))

    def test_older_declaration_that_arrives_late_undoes_no_evacuation(self):
        state = apply_all(
            [
                self.make_declaration_entry(1, 9),
                make_entry(2, "b"),
                self.make_declaration_entry(3, 4),
                self.make_declaration_entry(4, 10),
            ]
        )
        self.assertEqual((state.declaration.version, state.evacuations.zones), (10, ("b",)))

    def test_snapshot_of_an_earlier_build_holds_no_evacuations(self):
        earlier = versioned_declaration.VersionedDeclarationState()
        earlier.apply_entry(self.make_declaration_entry(1, 9))
        state = coordinator_state.CoordinatorState()
        state.load(earlier.dump())
        self.assertEqual((state.declaration.version, state.evacuations.zones), (9, ()))

    def test_earlier_build_reads_the_declaration_of_a_snapshot(self):
        state = apply_all([self.make_declaration_entry(1, 9), make_entry(2, "b")])
        earlier = versioned_declaration.VersionedDeclarationState()
        earlier.load(state.dump())
        self.assertEqual((earlier.version, earlier.document), (9, b"{}"))

    def test_empty_snapshot_is_the_initial_state(self):
        state = coordinator_state.CoordinatorState()
        state.load(b"")
        self.assertEqual((state.declaration.version, state.evacuations.number), (0, 0))
