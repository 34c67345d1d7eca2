"""Tests of configuration leases and shard owners."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import declarations
from flamingoramp.membership import control_session, session_table
from flamingoramp.protocol import messages

LEASE = 2.0
BOUND = 0.05
LONGEST = LEASE * (1 + BOUND)


def beat(entry: str, revision: int = 0, **changes) -> messages.SessionHeartbeat:
    """Return a heartbeat."""
    return messages.SessionHeartbeat(
        entry=entry, incarnation="1", revision=revision, inner=f"{entry}:1", **changes
    )


class TestInForce(unittest.TestCase):
    """A revision is in force once no entry can serve by an older one."""

    def setUp(self):
        self.table = session_table.SessionTable(lease_seconds=LEASE, clock_rate_bound=BOUND)
        self.table.start_term(0.0)

    def test_new_leader_waits_for_leases_that_it_does_not_know(self):
        self.assertFalse(self.table.is_in_force(1, LONGEST - 0.01))
        self.assertTrue(self.table.is_in_force(1, LONGEST + 0.01))

    def test_waits_for_the_slowest_entry(self):
        self.table.handle(beat("a", 2), 10.0)
        self.table.handle(beat("b", 1), 10.0)
        self.assertEqual(self.table.outdated_entries(2, 10.0), ["b"])
        self.assertFalse(self.table.is_in_force(2, 10.0))
        self.table.handle(beat("b", 2), 10.3)
        self.assertTrue(self.table.is_in_force(2, 10.3))

    def test_silent_entry_holds_it_up_only_for_its_lease(self):
        self.table.handle(beat("cut off", 1), 10.0)
        self.assertFalse(self.table.is_in_force(2, 10.0 + LONGEST - 0.01))
        self.assertTrue(self.table.is_in_force(2, 10.0 + LONGEST + 0.01))


class TestOwners(unittest.TestCase):
    """A shard has one owner at a time."""

    def setUp(self):
        self.table = session_table.SessionTable(lease_seconds=LEASE, clock_rate_bound=BOUND)
        self.table.start_term(0.0)
        self.owners = {
            "llm/0": messages.ShardOwner("llm/0", "a#1", "a:1", 1),
        }

    def choose(self, now: float) -> tuple:
        return self.table.choose_owners(("llm/0",), self.owners, now)

    def test_owner_keeps_its_shard(self):
        self.table.handle(beat("a"), 5.0)
        self.table.handle(beat("b"), 5.0)
        self.assertEqual(self.choose(5.0), ())

    def test_silent_owner_is_replaced_after_its_lease(self):
        self.table.handle(beat("a"), 5.0)
        self.table.handle(beat("b"), 5.0 + LONGEST)
        self.assertEqual(self.choose(5.0 + LONGEST), ())
        self.table.handle(beat("b"), 5.1 + LONGEST)
        self.assertEqual(self.choose(5.1 + LONGEST), (("llm/0", "b#1", "b:1"),))

    def test_new_leader_does_not_replace_an_owner_that_it_may_not_know(self):
        self.table.handle(beat("b"), 1.0)
        self.assertEqual(self.choose(1.0), ())

    def test_leaving_owner_is_replaced_at_once(self):
        self.table.handle(beat("a", leaving=True), 5.0)
        self.table.handle(beat("b"), 5.0)
        self.assertEqual(self.choose(5.0), (("llm/0", "b#1", "b:1"),))

    def test_shards_are_spread(self):
        for number in range(4):
            self.table.handle(beat(f"e{number}"), 5.0)
        shards = tuple(f"llm/{number}" for number in range(8))
        chosen = self.table.choose_owners(shards, {}, 5.0)
        owners = [owner for _, owner, _ in chosen]
        self.assertEqual({owners.count(owner) for owner in owners}, {2})

    def test_server_belongs_to_one_shard(self):
        service = declarations.ServiceDeclaration("llm", shards=4)
        found = [session_table.choose_shard(service, f"engine{n}") for n in range(400)]
        self.assertEqual(len(set(found)), 4)
        self.assertLess(max(found.count(shard) for shard in found), 150)


class TestSession(unittest.TestCase):
    """The entry's side: leases run from the sending, revisions only grow."""

    GRANT = messages.SessionGrant(
        sent_at=1.0, granted=True, leader="h0#1", revision=1, lease_seconds=LEASE, document="{}"
    )

    def setUp(self):
        self.session = control_session.ControlSession(beat("a"), ("h0", "h1", "h2"))

    def test_lease_runs_from_the_sending(self):
        self.session.handle(self.GRANT, 2.9)
        self.assertTrue(self.session.holds_lease(2.99))
        self.assertFalse(self.session.holds_lease(3.0))

    def test_late_grant_gives_nothing(self):
        self.session.handle(attrs.evolve(self.GRANT, sent_at=5.0), 5.1)
        self.session.handle(attrs.evolve(self.GRANT, sent_at=4.0, lease_seconds=99.0), 5.2)
        self.assertFalse(self.session.holds_lease(7.1))

    def test_older_revision_is_never_taken(self):
        self.session.handle(attrs.evolve(self.GRANT, revision=5), 1.1)
        old = attrs.evolve(self.GRANT, sent_at=2.0, revision=4)
        self.session.handle(old, 2.1)
        self.assertEqual(self.session.revision, 5)
        self.assertFalse(self.session.holds_lease(3.5), "an older leader renews no lease")

    def test_older_owner_is_never_taken(self):
        owner = messages.ShardOwner("llm/0", "b#1", "b:1", 7)
        self.session.handle(attrs.evolve(self.GRANT, table_version=1, shards=(owner,)), 1.1)
        old = attrs.evolve(owner, owner="c#1", generation=6)
        grant = attrs.evolve(self.GRANT, sent_at=2.0, table_version=2, shards=(old,))
        learned = self.session.handle(grant, 2.1)
        self.assertEqual(learned.moved_shards, ())
        self.assertEqual(self.session.shards["llm/0"].owner, "b#1")

    def test_silent_control_host_is_left_for_another(self):
        targets = set()
        for step in range(40):
            self.session.make_heartbeat(step * 0.25, leaving=False, streams=0)
            targets.add(self.session.target)
        self.assertEqual(targets, {"h0", "h1", "h2"})

    def test_refusal_names_the_leader(self):
        refusal = messages.SessionGrant(granted=False, leader="h2#9")
        self.session.handle(refusal, 1.0)
        self.assertEqual(self.session.target, "h2")
