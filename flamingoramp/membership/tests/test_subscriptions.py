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

    def update(self, now: float, *, version: int = 0, confirmed: bool = True, **evacuations):
        updates = self.publisher.make_updates(
            version=version,
            document=b"doc",
            confirmed=confirmed,
            controls=("c",),
            now=now,
            **evacuations,
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

    def renew_servers(self, **fields) -> list[messages.ClusterUpdate | None]:
        updates = []
        for sequence in range(1, 60):
            self.subscribe(sequence / 10, **fields)
            record = messages.ServerRecord(server="s", sequence=sequence)
            self.registry.update_server(record, sequence / 10)
            updates.append(self.update(sequence / 10))
        return updates

    def test_renewals_are_not_forwarded_to_entries(self):
        self.assertEqual(sum(bool(update and update.servers) for update in self.renew_servers()), 1)

    def test_each_renewal_is_forwarded_to_control_hosts(self):
        self.publisher = subscriptions.Publisher(self.registry)
        updates = self.renew_servers(is_control=True)
        self.assertEqual(sum(bool(update and update.servers) for update in updates), 59)

    def test_update_without_changes_is_sent_after_the_heartbeat_interval(self):
        self.update(0.0)
        self.assertIsNone(self.update(subscriptions.PRIMARY_HEARTBEAT_SECONDS - 0.1))
        self.assertIsNotNone(self.update(subscriptions.PRIMARY_HEARTBEAT_SECONDS))

    def test_standby_gets_heartbeats_at_their_interval(self):
        self.subscribe(0.0, standby=True)
        self.update(0.0)
        self.assertIsNone(self.update(subscriptions.HEARTBEAT_SECONDS - 0.1))
        self.assertIsNotNone(self.update(subscriptions.HEARTBEAT_SECONDS))

    def test_subscriber_with_a_closed_connection_is_removed(self):
        self.update(0.0)
        self.connection.is_open = False
        self.update(0.1)
        self.assertEqual(self.publisher.subscriber_count, 0)

    def test_unchanged_control_hosts_are_sent_once(self):
        self.assertEqual(self.update(0.0).controls, ("c",))
        self.assertEqual(self.update(0.6).controls, ())

    def test_availability_zone_is_sent_once(self):
        self.publisher = subscriptions.Publisher(self.registry, zone="a")
        self.subscribe(0.0)
        self.assertEqual((self.update(0.0).zone, self.update(0.6).zone), ("a", ""))

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

    def test_crash_record_is_sent_with_its_current_age(self):
        self.publisher.add_crashes((messages.CrashRecord("f", "s", 1, age=2.0),), 10.0)
        self.subscribe(15.0)
        self.assertAlmostEqual(self.update(15.0).crashes[0].age, 7.0)

    def test_clearance_replaces_earlier_crash_records_and_reaches_those_who_have_them(self):
        record = messages.CrashRecord("f", "s", 1)
        later = messages.CrashRecord("f", "t", 1)
        other = messages.CrashRecord("g", "s", 1)
        clearance = messages.CrashRecord("f", is_clearance=True)
        self.subscribe(0.0, crashes=(record, other))
        self.update(0.0)
        self.publisher.add_crashes((clearance,), 1.0)
        self.publisher.add_crashes((later,), 2.0)
        sent = self.update(2.0).crashes
        self.assertEqual([attrs.evolve(item, age=0.0) for item in sent], [clearance, later])
        self.connection.is_open = False
        self.connection = Connection()
        self.subscribe(3.0)
        sent = self.update(3.0).crashes
        self.assertEqual([attrs.evolve(item, age=0.0) for item in sent], [other, clearance, later])

    def test_clearance_that_clears_nothing_is_not_sent(self):
        self.subscribe(0.0, crashes=(messages.CrashRecord("f", is_clearance=True),))
        self.assertEqual(self.update(0.0).crashes, ())

    def test_number_of_crash_records_is_bounded(self):
        count = subscriptions.MAX_CRASH_RECORDS + 5
        records = tuple(messages.CrashRecord(f"f{number}", "s", 1) for number in range(count))
        self.subscribe(0.0, crashes=records)
        sent = self.update(0.0).crashes
        self.assertEqual(sent, records[-subscriptions.MAX_CRASH_RECORDS :])


class TestStandby(PublisherCase):
    """A standby subscriber gets no records until it asks for them."""

    def setUp(self):
        super().setUp()
        self.subscribe(0.0, standby=True)
        self.registry.update_server(messages.ServerRecord(server="s", sequence=1), 0.0)
        self.publisher.add_crashes((messages.CrashRecord("f", "s", 1),), 0.0)

    def test_standby_gets_no_records(self):
        update = self.update(0.0)
        self.assertEqual((update.servers, update.entries, update.crashes), ((), (), ()))
        self.assertFalse(self.publisher.lacks_records(self.connection))

    def test_all_records_are_sent_when_a_standby_becomes_primary(self):
        self.update(0.0)
        for _ in range(2):
            self.subscribe(0.2)
            self.assertTrue(self.publisher.lacks_records(self.connection))
            update = self.update(0.2)
            self.assertEqual([record.server for record in update.servers], ["s"])
            self.assertEqual(len(update.crashes), 1)
            self.assertIsNone(self.update(0.3))
            self.subscribe(0.3, standby=True)
            self.update(0.3)


class TestVersions(PublisherCase):
    """When a new version is sent to primary and standby subscribers."""

    def test_primary_sends_a_new_version_at_once_and_only_once(self):
        self.assertEqual(self.update(0.0, version=3).document, b"doc")
        self.assertIsNone(self.update(0.1, version=3))

    def test_standby_that_reports_the_version_within_the_delay_is_not_sent_it(self):
        self.subscribe(0.0, standby=True)
        self.update(0.0)
        self.assertIsNone(self.update(0.1, version=3))
        self.subscribe(0.5, version=3, standby=True)
        delayed_update = self.update(1.0, version=3)
        self.assertEqual(delayed_update.document if delayed_update else b"", b"")

    def test_standby_that_lacks_the_version_is_sent_it_after_the_delay(self):
        self.subscribe(0.0, standby=True)
        self.update(0.0)
        self.update(0.1, version=3)
        delayed_update = self.update(0.1 + subscriptions.STANDBY_DELAY_SECONDS, version=3)
        self.assertEqual((delayed_update.version, delayed_update.document), (3, b"doc"))

    def test_control_host_is_sent_no_version(self):
        self.publisher = subscriptions.Publisher(self.registry)
        self.subscribe(0.0, is_control=True)
        self.assertEqual(self.update(5.0, version=3).document, b"")

    def test_version_that_is_not_reported_within_a_delay_is_sent_again(self):
        self.assertEqual(self.update(0.0, version=3).document, b"doc")
        self.subscribe(0.9)
        self.assertEqual(self.update(0.9, version=3).document, b"")
        self.subscribe(1.1)
        self.assertEqual(self.update(1.1, version=3).document, b"doc")
        self.subscribe(2.2, version=3)
        self.assertEqual(self.update(2.2, version=3).document, b"")

    def test_whole_document_for_a_subscriber_without_base_is_due_at_once(self):
        self.subscribe(0.0, version=2, base_version=2)
        self.update(0.0, version=3)
        self.assertFalse(self.publisher.lacks_version(self.connection))
        self.subscribe(0.1, version=2)
        self.assertTrue(self.publisher.lacks_version(self.connection))
        self.assertEqual(self.update(0.1, version=3).document, b"doc")
        self.assertFalse(self.publisher.lacks_version(self.connection))


class TestEvacuations(PublisherCase):
    """When the evacuated zones are sent to primary and standby subscribers."""

    EVACUATIONS = {"evacuation_number": 7, "evacuated_zones": ("b",)}

    def check_sent(self, update: messages.ClusterUpdate | None, expected: bool = True) -> None:
        sent = (update.evacuation_number, update.evacuated_zones) if update else (0, ())
        self.assertEqual(sent, (7, ("b",)) if expected else (0, ()))

    def test_primary_sends_a_change_at_once_and_only_once(self):
        self.update(0.0)
        self.check_sent(self.update(0.1, **self.EVACUATIONS))
        self.assertIsNone(self.update(0.2, **self.EVACUATIONS))
        self.check_sent(self.update(0.7, **self.EVACUATIONS), False)

    def test_subscriber_that_has_the_number_is_not_sent_the_zones(self):
        self.subscribe(0.0, evacuation_number=7)
        self.check_sent(self.update(0.0, **self.EVACUATIONS), False)

    def test_last_withdrawal_is_sent_as_no_zones(self):
        self.update(0.0, **self.EVACUATIONS)
        update = self.update(0.1, evacuation_number=9, evacuated_zones=())
        self.assertEqual((update.evacuation_number, update.evacuated_zones), (9, ()))

    def test_standby_is_sent_a_change_only_if_it_lacks_it_after_the_delay(self):
        self.subscribe(0.0, standby=True)
        self.update(0.0)
        self.assertIsNone(self.update(0.1, **self.EVACUATIONS))
        late = 0.1 + subscriptions.STANDBY_DELAY_SECONDS
        self.check_sent(self.update(late, **self.EVACUATIONS))
        self.publisher = subscriptions.Publisher(self.registry)
        self.subscribe(0.0, standby=True)
        self.update(0.1, **self.EVACUATIONS)
        self.subscribe(0.5, standby=True, evacuation_number=7)
        self.check_sent(self.update(late, **self.EVACUATIONS), False)

    # Guards against an entry that starts and serves before it knows of an evacuation.
    def test_first_declaration_of_a_standby_comes_with_the_evacuations(self):
        self.update(0.0, version=3)
        self.connection = Connection()
        self.subscribe(5.0, standby=True)
        update = self.update(5.0, version=3, **self.EVACUATIONS)
        self.assertEqual(update.version, 3)
        self.check_sent(update)

    def test_control_host_is_sent_no_evacuations(self):
        self.publisher = subscriptions.Publisher(self.registry)
        self.subscribe(0.0, is_control=True)
        self.check_sent(self.update(5.0, **self.EVACUATIONS), False)


class TestProbes(PublisherCase):
    """A probe is answered at once, with what is newer, by a host that knows what is in force."""

    def setUp(self):
        super().setUp()
        self.subscribe(0.0, standby=True)
        self.update(0.0)
        self.subscribe(0.1, standby=True, probe=4)

    def test_standby_gets_the_answer_at_once_and_only_once(self):
        self.assertTrue(self.publisher.awaits_update(self.connection))
        update = self.update(0.1, evacuation_number=7, evacuated_zones=("b",))
        self.assertEqual((update.probe, update.evacuated_zones), (4, ("b",)))
        self.assertFalse(self.publisher.awaits_update(self.connection))
        self.subscribe(0.2, standby=True, probe=4)
        self.assertIsNone(self.update(0.2, evacuation_number=7, evacuated_zones=("b",)))

    def test_host_without_contact_with_the_leader_does_not_answer(self):
        update = self.update(0.1, confirmed=False)
        self.assertEqual(update.probe, 0)
        self.assertEqual(self.update(0.2).probe, 4)

    def test_no_probe_is_not_answered(self):
        self.update(0.1)
        self.subscribe(0.2, standby=True)
        self.assertFalse(self.publisher.awaits_update(self.connection))
        self.assertIsNone(self.update(0.2))
