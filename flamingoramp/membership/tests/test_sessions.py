"""Tests of configuration leases and the assignment of shard owners."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.intent import declarations
from flamingoramp.membership import control_session, session_table
from flamingoramp.protocol import shard_messages

LEASE_SECONDS = 2.0
CLOCK_RATE_BOUND = 0.05
MAX_LEASE_SECONDS = LEASE_SECONDS * (1 + CLOCK_RATE_BOUND)


def make_heartbeat(entry: str, revision: int = 0, **changes) -> shard_messages.SessionHeartbeat:
    """Return a heartbeat."""
    return shard_messages.SessionHeartbeat(
        entry=entry, incarnation="1", revision=revision, inner=f"{entry}:1", **changes
    )


class TestInForce(unittest.TestCase):
    """A revision is in force once no entry can be using an older one."""

    def setUp(self):
        self.table = session_table.SessionTable(
            lease_seconds=LEASE_SECONDS, clock_rate_bound=CLOCK_RATE_BOUND
        )
        self.table.start_term(0.0)

    def test_new_leader_waits_until_leases_of_its_predecessor_have_expired(self):
        self.assertFalse(self.table.is_in_force(1, MAX_LEASE_SECONDS - 0.01))
        self.assertTrue(self.table.is_in_force(1, MAX_LEASE_SECONDS + 0.01))

    def test_revision_is_in_force_once_the_last_entry_reports_it(self):
        self.table.handle(make_heartbeat("a", 2), 10.0)
        self.table.handle(make_heartbeat("b", 1), 10.0)
        self.assertEqual(self.table.outdated_entries(2, 10.0), ["b"])
        self.assertFalse(self.table.is_in_force(2, 10.0))
        self.table.handle(make_heartbeat("b", 2), 10.3)
        self.assertTrue(self.table.is_in_force(2, 10.3))

    def test_entry_without_heartbeats_delays_a_revision_only_until_its_lease_expires(self):
        self.table.handle(make_heartbeat("cut off", 1), 10.0)
        self.assertFalse(self.table.is_in_force(2, 10.0 + MAX_LEASE_SECONDS - 0.01))
        self.assertTrue(self.table.is_in_force(2, 10.0 + MAX_LEASE_SECONDS + 0.01))


class TestOwners(unittest.TestCase):
    """A shard has one owner at a time."""

    def setUp(self):
        self.table = session_table.SessionTable(
            lease_seconds=LEASE_SECONDS, clock_rate_bound=CLOCK_RATE_BOUND
        )
        self.table.start_term(0.0)
        self.owners = {
            "llm/0": shard_messages.ShardOwner("llm/0", "a#1", "a:1", 1),
        }

    def choose(self, now: float) -> tuple:
        return self.table.choose_owners(("llm/0",), self.owners, now)

    def test_owner_with_a_lease_keeps_its_shard(self):
        self.table.handle(make_heartbeat("a"), 5.0)
        self.table.handle(make_heartbeat("b"), 5.0)
        self.assertEqual(self.choose(5.0), ())

    def test_owner_without_heartbeats_is_replaced_once_its_lease_has_expired(self):
        self.table.handle(make_heartbeat("a"), 5.0)
        self.table.handle(make_heartbeat("b"), 5.0 + MAX_LEASE_SECONDS)
        self.assertEqual(self.choose(5.0 + MAX_LEASE_SECONDS), ())
        self.table.handle(make_heartbeat("b"), 5.1 + MAX_LEASE_SECONDS)
        self.assertEqual(self.choose(5.1 + MAX_LEASE_SECONDS), (("llm/0", "b#1", "b:1"),))

    def test_new_leader_keeps_an_owner_whose_lease_may_be_unexpired(self):
        self.table.handle(make_heartbeat("b"), 1.0)
        self.assertEqual(self.choose(1.0), ())

    def test_leaving_owner_is_replaced_at_once(self):
        self.table.handle(make_heartbeat("a", leaving=True), 5.0)
        self.table.handle(make_heartbeat("b"), 5.0)
        self.assertEqual(self.choose(5.0), (("llm/0", "b#1", "b:1"),))

    def test_shards_are_distributed_evenly_over_entries(self):
        for number in range(4):
            self.table.handle(make_heartbeat(f"e{number}"), 5.0)
        shards = tuple(f"llm/{number}" for number in range(8))
        changes = self.table.choose_owners(shards, {}, 5.0)
        owners = [owner for _, owner, _ in changes]
        self.assertEqual({owners.count(owner) for owner in owners}, {2})

    def test_servers_are_distributed_over_all_shards(self):
        service = declarations.ServiceDeclaration("llm", shards=4)
        shards = [session_table.choose_shard(service, f"engine{n}") for n in range(400)]
        self.assertEqual(len(set(shards)), 4)
        self.assertLess(max(shards.count(shard) for shard in shards), 150)


class TestEntryAddresses(unittest.TestCase):
    """Addresses of entries that callers learn while the leader changes."""

    def setUp(self):
        self.table = session_table.SessionTable(
            lease_seconds=LEASE_SECONDS, clock_rate_bound=CLOCK_RATE_BOUND
        )
        self.table.start_term(0.0)
        self.session = control_session.ControlSession(make_heartbeat("a"), ("h0", "h1", "h2"))
        self.sent_at = 0.0

    def list_entries(self) -> list[str]:
        return [entry.name for entry in self.session.entries]

    def receive(self, *names: str, partial: bool, leaving: bool = False) -> None:
        """Handle a grant whose table names these entries."""
        self.sent_at += 1.0
        grant = shard_messages.SessionGrant(
            sent_at=self.sent_at,
            granted=True,
            table_version=int(self.sent_at),
            entries=tuple(
                shard_messages.EntryAddress(name, f"http://{name}", leaving=leaving)
                for name in names
            ),
            partial_entries=partial,
        )
        self.session.handle(grant, self.sent_at)

    def test_table_of_a_new_leader_is_partial_until_earlier_leases_have_expired(self):
        self.assertTrue(self.table.is_partial(0.0))
        self.assertTrue(self.table.is_partial(MAX_LEASE_SECONDS - 0.01))
        self.assertFalse(self.table.is_partial(MAX_LEASE_SECONDS + 0.01))

    def test_partial_table_removes_no_entry(self):
        self.receive("a", "b", partial=False)
        self.receive(partial=True)
        self.assertEqual(self.list_entries(), ["a", "b"])
        self.receive("c", partial=True)
        self.assertEqual(self.list_entries(), ["a", "b", "c"])

    def test_partial_table_updates_the_state_of_an_entry(self):
        self.receive("a", "b", partial=False)
        self.receive("b", partial=True, leaving=True)
        self.assertEqual(
            [(entry.name, entry.leaving) for entry in self.session.entries],
            [("a", False), ("b", True)],
        )

    def test_entry_lists_itself_before_any_table_does(self):
        self.assertEqual(
            [entry.name for entry in self.session.usable_entries(leaving=False)], ["a"]
        )
        self.receive("b", partial=False)
        usable = self.session.usable_entries(leaving=False)
        self.assertEqual([entry.name for entry in usable], ["a", "b"])

    def test_leaving_entries_are_not_listed(self):
        self.receive("a", "b", partial=False)
        self.assertEqual([entry.name for entry in self.session.usable_entries(leaving=True)], ["b"])
        self.receive("b", partial=False, leaving=True)
        self.assertEqual(
            [entry.name for entry in self.session.usable_entries(leaving=False)], ["a"]
        )

    def test_table_from_before_the_own_session_removes_no_entry(self):
        self.receive("a", "b", partial=False)
        self.receive(partial=False)
        self.assertEqual(self.list_entries(), ["a", "b"])

    def test_complete_table_replaces_the_entries(self):
        self.receive("a", "b", partial=False)
        self.receive("a", partial=True)
        self.receive("a", partial=False)
        self.assertEqual(self.list_entries(), ["a"])


class TestControlSession(unittest.TestCase):
    """The entry's side: leases start when heartbeats are sent, revisions only grow."""

    GRANT = shard_messages.SessionGrant(
        sent_at=1.0,
        granted=True,
        leader="h0#1",
        revision=1,
        lease_seconds=LEASE_SECONDS,
        document="{}",
    )

    def setUp(self):
        self.session = control_session.ControlSession(make_heartbeat("a"), ("h0", "h1", "h2"))

    def test_lease_starts_when_the_heartbeat_was_sent(self):
        self.session.handle(self.GRANT, 2.9)
        self.assertTrue(self.session.holds_lease(2.99))
        self.assertFalse(self.session.holds_lease(3.0))

    def test_grant_of_an_earlier_heartbeat_is_ignored(self):
        self.session.handle(attrs.evolve(self.GRANT, sent_at=5.0), 5.1)
        self.session.handle(attrs.evolve(self.GRANT, sent_at=4.0, lease_seconds=99.0), 5.2)
        self.assertFalse(self.session.holds_lease(7.1))

    def test_grant_of_an_older_revision_is_ignored(self):
        self.session.handle(attrs.evolve(self.GRANT, revision=5), 1.1)
        old = attrs.evolve(self.GRANT, sent_at=2.0, revision=4)
        self.session.handle(old, 2.1)
        self.assertEqual(self.session.revision, 5)
        self.assertFalse(
            self.session.holds_lease(3.5), "a grant of an older revision must not renew the lease"
        )

    def test_owner_of_an_older_generation_is_ignored(self):
        owner = shard_messages.ShardOwner("llm/0", "b#1", "b:1", 7)
        self.session.handle(attrs.evolve(self.GRANT, table_version=1, shards=(owner,)), 1.1)
        old = attrs.evolve(owner, owner="c#1", generation=6)
        grant = attrs.evolve(self.GRANT, sent_at=2.0, table_version=2, shards=(old,))
        effect = self.session.handle(grant, 2.1)
        self.assertEqual(effect.moved_shards, ())
        self.assertEqual(self.session.shards["llm/0"].owner, "b#1")

    def test_evacuated_zones_are_those_of_the_latest_heartbeat(self):
        grant = attrs.evolve(self.GRANT, sent_at=2.0, evacuated_zones=("b",))
        self.assertTrue(self.session.handle(grant, 2.1).zones_changed)
        self.session.handle(self.GRANT, 2.2)
        self.assertEqual(self.session.evacuated_zones, ("b",))
        grant = attrs.evolve(grant, sent_at=3.0)
        self.assertFalse(self.session.handle(grant, 3.1).zones_changed)

    def test_heartbeats_without_a_grant_try_all_control_hosts_in_turn(self):
        targets = set()
        for step in range(40):
            self.session.make_heartbeat(step * 0.25, leaving=False, streams=0)
            targets.add(self.session.target)
        self.assertEqual(targets, {"h0", "h1", "h2"})

    def test_refusal_with_a_leader_hint_switches_to_that_host(self):
        refusal = shard_messages.SessionGrant(granted=False, leader="h2#9")
        self.session.handle(refusal, 1.0)
        self.assertEqual(self.session.target, "h2")
