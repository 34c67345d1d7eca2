"""Tests of the replicated state: concurrent confirmations, resent operations, snapshots."""

from __future__ import annotations

import json
import unittest

from flamingoramp import errors
from flamingoramp.dispatch import claims
from flamingoramp.intent import changes, commands, declarations, state


def make_document(weight: float) -> str:
    """Return a declaration as JSON that differs by the weight of a workspace."""
    workspaces = (declarations.WorkspaceDeclaration("buses", weight=weight),)
    return declarations.render(declarations.Declaration(workspaces=workspaces))


def make_plan(plan_id: str, base_revision: int, weight: float = 2.0) -> commands.StorePlan:
    """Return the command that stores a plan."""
    return commands.StorePlan(plan_id, base_revision, make_document(weight), 1000.0, 0.0)


class StateCase(unittest.TestCase):
    """Base class with an empty state for each test."""

    def setUp(self):
        self.state = state.ReplicatedState(claims.ClaimLimits())

    def confirm(self, plan_id: str, operation_id: str, now: float = 1.0) -> state.ConfirmResult:
        return self.state.apply(commands.ConfirmPlan(plan_id, operation_id, now))


class TestConfirm(StateCase):
    """Exactly one of two plans with the same base revision takes effect."""

    def test_second_of_two_plans_with_the_same_base_gets_a_conflict(self):
        self.state.apply(make_plan("p1", 0, 2.0))
        self.state.apply(make_plan("p2", 0, 3.0))
        self.assertEqual(self.confirm("p2", "op2"), state.ConfirmResult(1))
        rejected = self.confirm("p1", "op1")
        self.assertEqual(rejected, state.ConfirmResult(1, errors.RevisionConflictError.code))
        self.assertEqual(self.state.document, make_document(3.0))

    def test_resent_confirmation_returns_its_first_result(self):
        self.state.apply(make_plan("p1", 0, 2.0))
        first = self.confirm("p1", "op1")
        self.state.apply(make_plan("p2", 1, 3.0))
        self.confirm("p2", "op2")
        self.assertEqual(self.confirm("p1", "op1"), first)
        self.assertEqual((self.state.revision, self.state.document), (2, make_document(3.0)))

    def test_plan_confirmed_by_two_operations_takes_effect_once(self):
        self.state.apply(make_plan("p1", 0))
        self.confirm("p1", "op1")
        second = self.confirm("p1", "op2")
        self.assertEqual(second.error, errors.RevisionConflictError.code)

    def test_expired_or_unknown_plan_is_refused_as_unknown(self):
        self.state.apply(make_plan("p1", 0))
        self.assertEqual(self.confirm("p1", "op1", 2000.0).error, errors.UnknownPlanError.code)
        self.assertEqual(self.confirm("none", "op2").error, errors.UnknownPlanError.code)

    def test_unchanged_declaration_keeps_the_revision(self):
        self.state.apply(make_plan("p1", 0))
        self.confirm("p1", "op1")
        self.state.apply(make_plan("p2", 1))
        self.assertEqual(self.confirm("p2", "op2"), state.ConfirmResult(1))

    def test_number_of_stored_operation_results_is_bounded(self):
        for number in range(state.MAX_OPERATIONS + 10):
            self.confirm("none", f"op{number}")
        self.assertEqual(len(self.state.operations), state.MAX_OPERATIONS)


class TestShardCount(StateCase):
    """A backend server that moves to another shard never sees a lower generation."""

    def declare(self, shards: int) -> None:
        service = declarations.ServiceDeclaration("llm", shards=shards)
        document = declarations.render(declarations.Declaration(services=(service,)))
        plan_id = f"to {shards} after {self.state.revision}"
        self.state.apply(commands.StorePlan(plan_id, self.state.revision, document, 1000.0, 0.0))
        self.assertEqual(self.confirm(plan_id, plan_id).error, "")

    def assign(self, *shards: str) -> None:
        owners = tuple((shard, f"e{shard}#1", "a:1") for shard in shards)
        self.state.apply(commands.AssignShards(owners, 1.0))

    def test_more_shards_keep_the_owner_and_raise_its_generation(self):
        self.declare(1)
        self.assign("llm/0")
        before = self.state.owners["llm/0"]
        self.declare(2)
        after = self.state.owners["llm/0"]
        self.assertEqual(after.owner, before.owner)
        self.assertGreater(after.generation, before.generation)

    def test_fewer_shards_raise_the_generation_above_that_of_removed_shards(self):
        self.declare(2)
        self.assign("llm/0", "llm/1")
        highest = self.state.owners["llm/1"].generation
        self.declare(1)
        self.assertEqual(set(self.state.owners), {"llm/0"})
        self.assertGreater(self.state.owners["llm/0"].generation, highest)


class TestSnapshot(StateCase):
    """A state restored from a snapshot gives the same results as the original."""

    def test_restored_state_has_the_same_snapshot_and_results(self):
        self.state.apply(make_plan("p1", 0))
        self.confirm("p1", "op1")
        self.state.apply(commands.AssignShards((("llm/0", "e#1", "a:1"),), 1.0))
        self.state.apply(commands.MakeClaim("r1", "buses", "k", "f", "e", 60.0, 1.0))
        self.state.apply(commands.RecordCrash("c1", "llm", ("f1", "f2"), ("f1",), (), 1.0))
        restored = state.ReplicatedState(claims.ClaimLimits())
        restored.load(self.state.dump())
        self.assertEqual(restored.dump(), self.state.dump())
        repeated = restored.apply(commands.ConfirmPlan("p1", "op1", 5.0))
        self.assertEqual(repeated, state.ConfirmResult(1))
        claim = restored.apply(commands.MakeClaim("r2", "buses", "k", "f", "e2", 60.0, 2.0))
        self.assertEqual(claim.status, claims.ClaimStatus.IN_PROGRESS)

    def test_snapshot_of_an_older_revision_is_refused(self):
        old = self.state.dump()
        self.state.apply(make_plan("p1", 0))
        self.confirm("p1", "op1")
        with self.assertRaises(errors.InvariantViolationError):
            self.state.load(old)


class TestChanges(unittest.TestCase):
    """The difference between two declarations."""

    def test_equal_declarations_have_no_changes(self):
        declaration = declarations.parse(make_document(2.0), "x")
        self.assertEqual(
            changes.compare(declaration, declarations.parse(make_document(2.0), "y")), ()
        )

    def test_added_changed_and_removed_parts_are_listed(self):
        old = declarations.parse('{"services": [{"name": "a"}, {"name": "b"}]}', "x")
        new = declarations.parse(
            '{"services": [{"name": "b", "shards": 2}, {"name": "c"}],'
            ' "policy": {"short_weight": 3.0}}',
            "y",
        )
        differences = [(change.action, change.subject) for change in changes.compare(old, new)]
        self.assertEqual(
            sorted(differences),
            [
                ("add", "service c"),
                ("change", "policy"),
                ("change", "service b"),
                ("remove", "service a"),
            ],
        )


class TestZones(StateCase):
    """Orders about availability zones."""

    def order(self, zone: str, evacuated: bool) -> tuple[str, ...]:
        return self.state.apply(commands.OrderZone(zone, evacuated, 1.0))

    def test_orders_evacuate_and_restore_single_zones(self):
        self.assertEqual(self.order("b", True), ("b",))
        self.assertEqual(self.order("a", True), ("a", "b"))
        self.assertEqual(self.order("a", True), ("a", "b"))
        self.assertEqual(self.order("b", False), ("a",))
        self.assertEqual(self.order("b", False), ("a",))

    def test_command_and_snapshot_round_trip(self):
        command = commands.OrderZone("b", True, 1.0)
        self.assertEqual(commands.decode(*commands.encode(command)), command)
        self.state.apply(command)
        restored = state.ReplicatedState(claims.ClaimLimits())
        restored.load(self.state.dump())
        self.assertEqual(restored.evacuated_zones, ("b",))

    def test_snapshot_of_an_earlier_build_holds_no_evacuations(self):
        dumped = json.loads(self.state.dump())
        del dumped["evacuated_zones"]
        self.state.load(json.dumps(dumped).encode())
        self.assertEqual(self.state.evacuated_zones, ())


class TestDeclarations(unittest.TestCase):
    """Errors state the key path, the value found and the allowed values."""

    def assert_refused(self, text: str, *parts: str) -> None:
        with self.assertRaises(errors.SettingsError) as caught:
            declarations.parse(text, "file.json")
        for part in ("file.json", *parts):
            self.assertIn(part, str(caught.exception))

    def test_invalid_declaration_is_refused_with_path_value_and_allowed_values(self):
        cases = [
            ("{", ("not JSON",)),
            ('{"services": [{"nam": "a"}]}', ("services[0]", "nam")),
            ('{"services": [{"name": "a", "shards": 0}]}', ("shards", "found 0", "takes 1 to")),
            ('{"services": [{"name": "a", "shards": "2"}]}', ("shards", "'2'", "whole number")),
            ('{"services": [{"name": "a b"}]}', ("name", "'a b'", "takes")),
            ('{"services": [{"name": "a", "kind": "x"}]}', ("kind", "'x'", "engines")),
            ('{"services": [{"name": "a"}, {"name": "a"}]}', ("'a'", "stands twice")),
            ('{"services": [7]}', ("services[0]", "found 7", "an object")),
            ('{"workspaces": [{"name": "w", "services": ["x"]}]}', ("'x'", "takes one of")),
            ('{"policy": {"selection": "best"}}', ("policy", "'best'", "naive")),
        ]
        for text, parts in cases:
            with self.subTest(text):
                self.assert_refused(text, *parts)
