"""Tests of the choice of the control host that an entry gets its records from."""

from __future__ import annotations

import collections
import unittest

from flamingoramp.membership import control_contacts

ZONES = {"c1": "a", "c2": "a", "c3": "b", "c4": "b", "c5": "c"}
HOSTS = list(ZONES)


class ContactsCase(unittest.TestCase):
    """Base of tests of an entry in zone ``a`` that hears five control hosts."""

    def setUp(self):
        self.contacts = self.make_contacts()

    def make_contacts(self, name: str = "e1", zone: str = "a") -> control_contacts.ControlContacts:
        contacts = control_contacts.ControlContacts(name=name, zone=zone)
        self.hear(contacts, 10.0)
        return contacts

    def hear(self, contacts, now: float, hosts=HOSTS, *, unconfirmed=()) -> None:
        for host in hosts:
            contacts.record_update(
                host, confirmed=host not in unconfirmed, zone=ZONES[host], now=now
            )

    def choose(self, now: float) -> str:
        return self.contacts.choose_primary(HOSTS, now)


class TestChoice(ContactsCase):
    """A control host of the entry's zone that hears the leader is chosen and kept."""

    def test_host_of_the_own_zone_is_chosen(self):
        self.assertEqual(ZONES[self.choose(10.0)], "a")

    def test_entries_of_a_zone_are_spread_over_its_hosts(self):
        counts = collections.Counter(
            self.make_contacts(f"e{number}").choose_primary(HOSTS, 10.0) for number in range(40)
        )
        self.assertEqual(set(counts), {"c1", "c2"})
        self.assertGreater(min(counts.values()), 10)

    def test_any_host_is_chosen_before_one_was_heard(self):
        contacts = control_contacts.ControlContacts(name="e1", zone="a")
        first = contacts.choose_primary(HOSTS, 0.0)
        self.assertIn(first, HOSTS)
        self.assertTrue(contacts.is_primary_silent(0.0))
        contacts.record_update("c3", confirmed=True, zone="b", now=0.1)
        self.assertEqual(contacts.choose_primary(HOSTS, 0.1), "c3")

    def test_primary_of_another_zone_is_left_for_one_of_the_own_zone(self):
        contacts = control_contacts.ControlContacts(name="e1", zone="a")
        self.hear(contacts, 10.0, ["c3"])
        self.assertEqual(contacts.choose_primary(HOSTS, 10.0), "c3")
        self.hear(contacts, 10.1)
        self.assertEqual(ZONES[contacts.choose_primary(HOSTS, 10.1)], "a")


class TestFailures(ContactsCase):
    """The primary is replaced when it is silent or cut off from the leader, and only then."""

    def test_silent_primary_is_replaced_within_the_timeout(self):
        primary = self.choose(10.0)
        others = [host for host in HOSTS if host != primary]
        late = 10.0 + control_contacts.PRIMARY_TIMEOUT_SECONDS + 0.1
        self.hear(self.contacts, late - 0.3, others)
        self.assertEqual(self.choose(late - 0.2), primary)
        self.assertTrue(self.contacts.is_primary_silent(late))
        self.assertNotEqual(self.choose(late), primary)

    def test_another_zone_takes_over_when_the_zone_is_silent(self):
        self.choose(10.0)
        self.hear(self.contacts, 13.0, ["c3", "c4", "c5"])
        self.assertIn(self.choose(13.0), ("c3", "c4", "c5"))

    def test_primary_is_kept_while_no_host_hears_the_leader(self):
        primary = self.choose(10.0)
        for step in range(1, 20):
            self.hear(self.contacts, 10.0 + step / 2, unconfirmed=HOSTS)
            self.assertEqual(self.choose(10.0 + step / 2), primary)

    def test_primary_that_lost_the_leader_is_replaced_by_one_that_has_not(self):
        primary = self.choose(10.0)
        for step in range(1, 8):
            now = 10.0 + step / 2
            self.hear(self.contacts, now, unconfirmed=("c1", "c2"))
            chosen = self.choose(now)
            if now - 10.0 <= control_contacts.LEADER_CONTACT_TIMEOUT_SECONDS:
                self.assertEqual(chosen, primary)
        self.assertNotIn(chosen, ("c1", "c2"))

    def test_primary_is_kept_when_all_are_silent(self):
        primary = self.choose(10.0)
        self.assertEqual(self.contacts.choose_primary([primary], 20.0), primary)
