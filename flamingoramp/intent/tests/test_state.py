"""Tests of the replicated state: races of operators, resends, snapshots."""

from __future__ import annotations

import unittest

from flamingoramp import errors
from flamingoramp.dispatch import claims
from flamingoramp.intent import changes, commands, declarations, state


def document(weight: float) -> str:
    """Return a declaration that differs by a weight."""
    workspaces = (declarations.WorkspaceDeclaration("buses", weight=weight),)
    return declarations.render(declarations.Declaration(workspaces=workspaces))


def plan(name: str, base: int, weight: float = 2.0) -> commands.StorePlan:
    """Return a plan."""
    return commands.StorePlan(name, base, document(weight), 1000.0, 0.0)


class StateCase(unittest.TestCase):
    """Gives each test an empty state."""

    def setUp(self):
        self.state = state.ReplicatedState(claims.ClaimLimits())

    def confirm(self, name: str, operation: str, now: float = 1.0) -> state.ConfirmResult:
        return self.state.apply(commands.ConfirmPlan(name, operation, now))


class TestConfirm(StateCase):
    """Exactly one of two changes with equal numbers wins."""

    def test_race_of_two_operators(self):
        self.state.apply(plan("p1", 0, 2.0))
        self.state.apply(plan("p2", 0, 3.0))
        self.assertEqual(self.confirm("p2", "op2"), state.ConfirmResult(1))
        lost = self.confirm("p1", "op1")
        self.assertEqual(lost, state.ConfirmResult(1, errors.RevisionConflictError.code))
        self.assertEqual(self.state.document, document(3.0))

    def test_resent_change_returns_its_first_answer(self):
        self.state.apply(plan("p1", 0, 2.0))
        first = self.confirm("p1", "op1")
        self.state.apply(plan("p2", 1, 3.0))
        self.confirm("p2", "op2")
        self.assertEqual(self.confirm("p1", "op1"), first)
        self.assertEqual((self.state.revision, self.state.document), (2, document(3.0)))

    def test_same_plan_by_two_operations_takes_effect_once(self):
        self.state.apply(plan("p1", 0))
        self.confirm("p1", "op1")
        again = self.confirm("p1", "op2")
        self.assertEqual(again.error, errors.RevisionConflictError.code)

    def test_expired_and_unknown_plans(self):
        self.state.apply(plan("p1", 0))
        self.assertEqual(self.confirm("p1", "op1", 2000.0).error, errors.UnknownPlanError.code)
        self.assertEqual(self.confirm("none", "op2").error, errors.UnknownPlanError.code)

    def test_unchanged_declaration_is_no_new_revision(self):
        self.state.apply(plan("p1", 0))
        self.confirm("p1", "op1")
        self.state.apply(plan("p2", 1))
        self.assertEqual(self.confirm("p2", "op2"), state.ConfirmResult(1))

    def test_operations_are_bounded(self):
        for number in range(state.OPERATIONS_KEPT + 10):
            self.confirm("none", f"op{number}")
        self.assertEqual(len(self.state.operations), state.OPERATIONS_KEPT)


class TestShardCount(StateCase):
    """Generations only grow for a server that moves between shards."""

    def declare(self, shards: int) -> None:
        service = declarations.ServiceDeclaration("llm", shards=shards)
        text = declarations.render(declarations.Declaration(services=(service,)))
        name = f"to {shards} after {self.state.revision}"
        self.state.apply(commands.StorePlan(name, self.state.revision, text, 1000.0, 0.0))
        self.assertEqual(self.confirm(name, name).error, "")

    def own(self, *shards: str) -> None:
        owners = tuple((shard, f"e{shard}#1", "a:1") for shard in shards)
        self.state.apply(commands.AssignShards(owners, 1.0))

    def test_more_shards(self):
        self.declare(1)
        self.own("llm/0")
        before = self.state.owners["llm/0"]
        self.declare(2)
        after = self.state.owners["llm/0"]
        self.assertEqual(after.owner, before.owner)
        self.assertGreater(after.generation, before.generation)

    def test_fewer_shards(self):
        self.declare(2)
        self.own("llm/0", "llm/1")
        highest = self.state.owners["llm/1"].generation
        self.declare(1)
        self.assertEqual(set(self.state.owners), {"llm/0"})
        self.assertGreater(self.state.owners["llm/0"].generation, highest)


class TestSnapshot(StateCase):
    """A loaded snapshot behaves as the state that it was taken from."""

    def test_round_trip(self):
        self.state.apply(plan("p1", 0))
        self.confirm("p1", "op1")
        self.state.apply(commands.AssignShards((("llm/0", "e#1", "a:1"),), 1.0))
        self.state.apply(commands.MakeClaim("r1", "buses", "k", "f", "e", 60.0, 1.0))
        self.state.apply(commands.RecordCrash("c1", "llm", ("f1", "f2"), ("f1",), (), 1.0))
        other = state.ReplicatedState(claims.ClaimLimits())
        other.load(self.state.dump())
        self.assertEqual(other.dump(), self.state.dump())
        repeated = other.apply(commands.ConfirmPlan("p1", "op1", 5.0))
        self.assertEqual(repeated, state.ConfirmResult(1))
        claim = other.apply(commands.MakeClaim("r2", "buses", "k", "f", "e2", 60.0, 2.0))
        self.assertEqual(claim.status, claims.ClaimStatus.IN_PROGRESS)

    def test_snapshot_never_reverts_the_revision(self):
        old = self.state.dump()
        self.state.apply(plan("p1", 0))
        self.confirm("p1", "op1")
        with self.assertRaises(errors.InvariantViolationError):
            self.state.load(old)


class TestChanges(unittest.TestCase):
    """A plan lists its effects."""

    def test_unchanged_declaration_is_an_empty_plan(self):
        same = declarations.parse(document(2.0), "x")
        self.assertEqual(changes.compare(same, declarations.parse(document(2.0), "y")), ())

    def test_added_changed_removed(self):
        old = declarations.parse('{"services": [{"name": "a"}, {"name": "b"}]}', "x")
        new = declarations.parse(
            '{"services": [{"name": "b", "shards": 2}, {"name": "c"}],'
            ' "policy": {"short_weight": 3.0}}',
            "y",
        )
        found = [(one.action, one.subject) for one in changes.compare(old, new)]
        self.assertEqual(
            sorted(found),
            [
                ("add", "service c"),
                ("change", "policy"),
                ("change", "service b"),
                ("remove", "service a"),
            ],
        )


class TestDeclarations(unittest.TestCase):
    """Errors name the place, what was found and what it takes."""

    def assert_refused(self, text: str, *parts: str) -> None:
        with self.assertRaises(errors.SettingsError) as caught:
            declarations.parse(text, "file.json")
        for part in ("file.json", *parts):
            self.assertIn(part, str(caught.exception))

    def test_bad_declarations(self):
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
