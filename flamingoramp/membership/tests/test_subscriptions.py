"""Tests of what control hosts tell their subscribers."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.membership import registry, subscriptions
from flamingoramp.protocol import messages


@attrs.define(eq=False)
class Connection:
    """A connection that a test opens and closes."""

    is_open: bool = True


class PublisherCase(unittest.TestCase):
    """A publisher with one subscriber."""

    def setUp(self):
        self.registry = registry.Registry()
        self.publisher = subscriptions.Publisher(self.registry)
        self.connection = Connection()
        self.subscribe(0.0)

    def subscribe(self, now: float, version: int = 0, **fields) -> None:
        message = messages.Subscribe(name="e", version=version, **fields)
        self.publisher.handle(self.connection, message, now)

    def update(self, now: float, *, is_leader: bool = True, version: int = 0):
        made = self.publisher.make_updates(
            is_leader=is_leader,
            version=version,
            document=b"doc",
            confirmed=True,
            controls=("c",),
            now=now,
        )
        return made[0][1] if made else None


class TestUpdates(PublisherCase):
    """Only what is new goes out."""

    def test_everything_at_first_and_then_what_changed(self):
        server = messages.ServerRecord(server="s", sequence=1)
        self.registry.update_server(server, 0.0)
        self.assertEqual([one.server for one in self.update(0.0).servers], ["s"])
        self.assertIsNone(self.update(0.1))
        self.registry.update_server(attrs.evolve(server, sequence=2, leaving=True), 0.2)
        self.assertTrue(self.update(0.2).servers[0].leaving)
        self.assertIsNone(self.update(0.3))

    def test_renewals_are_told_now_and_then(self):
        for sequence in range(1, 60):
            self.registry.update_server(
                messages.ServerRecord(server="s", sequence=sequence), sequence / 10
            )
        told = [self.update(step / 10) for step in range(60)]
        self.assertLessEqual(sum(bool(one and one.servers) for one in told), 3)

    def test_a_quiet_subscriber_hears_that_its_control_host_lives(self):
        self.update(0.0)
        self.assertIsNotNone(self.update(0.6))

    def test_a_closed_or_silent_subscriber_is_forgotten(self):
        self.update(0.0)
        self.connection.is_open = False
        self.update(0.1)
        self.assertEqual(self.publisher.subscriber_count, 0)

    def test_control_hosts_are_told_once(self):
        self.assertEqual(self.update(0.0).controls, ("c",))
        self.assertEqual(self.update(0.6).controls, ())

    def test_a_renewal_needs_no_record_to_name_its_entry(self):
        record = messages.EntryRecord(entry="e1", sequence=1)
        message = messages.Subscribe(name="x", entries=(record,))
        self.assertEqual(self.publisher.handle(self.connection, message, 0.0), "e1")
        renewal = messages.Subscribe(name="x")
        self.assertEqual(self.publisher.handle(self.connection, renewal, 0.5), "e1")

    def test_crashes_are_told_once(self):
        record = messages.CrashRecord("f", "s", 1)
        self.subscribe(0.0, crashes=(record, record))
        self.assertEqual(self.update(0.0).crashes, (record,))
        self.assertIsNone(self.update(0.1))


class TestVersions(PublisherCase):
    """Who tells of a new version."""

    def test_the_leader_tells_at_once_and_once(self):
        self.assertEqual(self.update(0.0, version=3).document, b"doc")
        self.assertIsNone(self.update(0.1, version=3))

    def test_a_follower_leaves_it_to_the_leader(self):
        self.update(0.0, is_leader=False)
        self.assertIsNone(self.update(0.1, is_leader=False, version=3))
        self.subscribe(0.5, version=3)
        later = self.update(1.0, is_leader=False, version=3)
        self.assertEqual(later.document if later else b"", b"")

    def test_a_follower_tells_who_did_not_hear_of_it(self):
        self.update(0.0, is_leader=False)
        self.update(0.1, is_leader=False, version=3)
        later = self.update(0.1 + subscriptions.FOLLOWER_DELAY_SECONDS, is_leader=False, version=3)
        self.assertEqual((later.version, later.document), (3, b"doc"))
