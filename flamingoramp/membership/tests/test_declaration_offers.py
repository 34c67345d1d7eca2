"""Tests of the choice of a starting entry's first declaration."""

from __future__ import annotations

import unittest

from flamingoramp.membership import declaration_offers

UNCONFIRMED_AT = 1.5


class TestOffers(unittest.TestCase):
    """Control hosts that start, or that have lost the leader, send versions."""

    def setUp(self):
        self.offers = declaration_offers.DeclarationOffers(applies_unconfirmed_at=UNCONFIRMED_AT)

    def update(self, host: str, version: int, document: bytes, *, confirmed: bool, now: float):
        offer = declaration_offers.Offer(version, document)
        return self.offers.handle_update(host, offer, confirmed=confirmed, now=now)

    def test_confirmed_version_is_applied_at_once(self):
        self.assertEqual(self.update("a", 3, b"x", confirmed=True, now=0.1).version, 3)

    def test_unconfirmed_version_is_applied_when_its_sender_confirms_it(self):
        self.assertIsNone(self.update("a", 3, b"x", confirmed=False, now=0.1))
        self.assertEqual(self.update("a", 3, b"", confirmed=True, now=0.2).document, b"x")

    def test_unconfirmed_version_is_not_applied_when_its_sender_or_another_has_a_newer_one(self):
        self.update("a", 3, b"x", confirmed=False, now=0.1)
        self.assertIsNone(self.update("a", 4, b"", confirmed=True, now=0.2))
        self.assertIsNone(self.update("b", 4, b"", confirmed=True, now=0.2))

    def test_newest_unconfirmed_version_is_applied_after_the_delay(self):
        self.update("a", 3, b"x", confirmed=False, now=0.1)
        self.update("b", 4, b"y", confirmed=False, now=0.1)
        self.assertIsNone(self.offers.newest(UNCONFIRMED_AT - 0.1))
        self.assertEqual(self.offers.newest(UNCONFIRMED_AT).version, 4)
