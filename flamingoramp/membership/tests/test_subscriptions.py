"""Tests of the updates from control hosts to their subscribers."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.membership import registry, subscriptions
from flamingoramp.protocol import messages


@attrs.define(eq=False)
class Connection:
    """Stand-in for a connection that a test can close."""

    is_open: bool = True


class PublisherCase(unittest.TestCase):
    """Base class: a publisher with one subscriber."""

    def setUp(self):
        self.registry = registry.Registry()
        self.publisher = subscriptions.Publisher(self.registry)
        self.connection = Connection()
        self.subscribe(0.0)

    def subscribe(self, now: float, version: int = 0, **fields) -> None:
        message = messages.Subscribe(name="e", version=version, **fields)
        self.publisher.handle(self.connection, message, now)

    def update(self, now: float, *, is_leader: bool = True, version: int = 0):
        updates = self.publisher.make_updates(
            is_leader=is_leader,
            version=version,
            document=b"doc",
            confirmed=True,
            controls=("c",),
            now=now,
        )
        return updates[0][1] if updates else None


class TestUpdates(PublisherCase):
    """An update contains only what has changed since the last one on its connection."""

    def test_first_update_has_all_records_and_later_ones_only_changes(self):
        server = messages.ServerRecord(server="s", sequence=1)
        self.registry.update_server(server, 0.0)
        self.assertEqual([record.server for record in self.update(0.0).servers], ["s"])
        self.assertIsNone(self.update(0.1))
        self.registry.update_server(attrs.evolve(server, sequence=2, leaving=True), 0.2)
        self.assertTrue(self.update(0.2).servers[0].leaving)
        self.assertIsNone(self.update(0.3))

    def test_reports_without_changes_are_forwarded_at_intervals(self):
        for sequence in range(1, 60):
            self.registry.update_server(
                messages.ServerRecord(server="s", sequence=sequence), sequence / 10
            )
        updates = [self.update(step / 10) for step in range(60)]
        self.assertLessEqual(sum(bool(update and update.servers) for update in updates), 3)

    def test_update_without_changes_is_sent_after_the_heartbeat_interval(self):
        self.update(0.0)
        self.assertIsNotNone(self.update(0.6))

    def test_subscriber_with_a_closed_connection_is_removed(self):
        self.update(0.0)
        self.connection.is_open = False
        self.update(0.1)
        self.assertEqual(self.publisher.subscriber_count, 0)

    def test_unchanged_control_hosts_are_sent_once(self):
        self.assertEqual(self.update(0.0).controls, ("c",))
        self.assertEqual(self.update(0.6).controls, ())

    def test_renewal_without_a_record_returns_the_entry_of_the_connection(self):
        record = messages.EntryRecord(entry="e1", sequence=1)
        message = messages.Subscribe(name="x", entries=(record,))
        self.assertEqual(self.publisher.handle(self.connection, message, 0.0), "e1")
        renewal = messages.Subscribe(name="x")
        self.assertEqual(self.publisher.handle(self.connection, renewal, 0.5), "e1")

    def test_repeated_crash_record_is_sent_once(self):
        record = messages.CrashRecord("f", "s", 1)
        self.subscribe(0.0, crashes=(record, record))
        self.assertEqual(self.update(0.0).crashes, (record,))
        self.assertIsNone(self.update(0.1))


class TestVersions(PublisherCase):
    """Whether the leader or a follower sends a new version."""

    def test_leader_sends_a_new_version_at_once_and_only_once(self):
        self.assertEqual(self.update(0.0, version=3).document, b"doc")
        self.assertIsNone(self.update(0.1, version=3))

    def test_follower_does_not_send_a_version_that_the_subscriber_reports_within_the_delay(self):
        self.update(0.0, is_leader=False)
        self.assertIsNone(self.update(0.1, is_leader=False, version=3))
        self.subscribe(0.5, version=3)
        delayed_update = self.update(1.0, is_leader=False, version=3)
        self.assertEqual(delayed_update.document if delayed_update else b"", b"")

    def test_follower_sends_the_version_after_its_delay_if_the_subscriber_lacks_it(self):
        self.update(0.0, is_leader=False)
        self.update(0.1, is_leader=False, version=3)
        delayed_update = self.update(
            0.1 + subscriptions.FOLLOWER_DELAY_SECONDS, is_leader=False, version=3
        )
        self.assertEqual((delayed_update.version, delayed_update.document), (3, b"doc"))
