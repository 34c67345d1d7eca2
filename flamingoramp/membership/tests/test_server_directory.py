"""Tests of announcements that come late, crossed and repeated."""

from __future__ import annotations

import itertools
import random
import unittest

from flamingoramp.membership import server_directory
from flamingoramp.protocol import messages

LEASE = 2.5


def announce(incarnation: int, sequence: int, *, leaving: bool = False) -> messages.Announcement:
    """Return an announcement of one server."""
    return messages.Announcement(
        server="s", incarnation=incarnation, sequence=sequence, leaving=leaving
    )


class TestDirectory(unittest.TestCase):
    """The newest announcement counts; leaving outranks what is older."""

    def test_every_order_ends_the_same(self):
        sent = [
            announce(1, 1),
            announce(1, 2),
            announce(1, 3, leaving=True),
            announce(1, 3),
            announce(1, 3, leaving=True),
        ]
        for order in itertools.permutations(sent):
            found = server_directory.ServerDirectory(LEASE)
            for announcement in order:
                found.handle(announcement, 0.0)
            self.assertFalse(found.is_live("s", 0.1))

    def test_against_the_naive_maximum(self):
        rng = random.Random(5)
        for _ in range(300):
            found = server_directory.ServerDirectory(LEASE)
            sent = []
            for _ in range(12):
                one = announce(rng.randint(1, 3), rng.randint(1, 4), leaving=rng.random() < 0.3)
                sent.append(one)
                found.handle(one, 0.0)
            newest = max(sent, key=lambda one: (one.incarnation, one.sequence, one.leaving))
            self.assertEqual(found.is_live("s", 0.0), not newest.leaving)

    def test_silence_ends_new_work(self):
        found = server_directory.ServerDirectory(LEASE)
        found.handle(announce(1, 1), 0.0)
        self.assertTrue(found.is_live("s", LEASE))
        self.assertFalse(found.is_live("s", LEASE + 0.01))
        self.assertEqual(found.expire(LEASE + 0.01), ["s"])
        self.assertEqual(found.expire(LEASE + 0.02), [])

    def test_late_announcement_does_not_revive_a_lapsed_server(self):
        found = server_directory.ServerDirectory(LEASE)
        found.handle(announce(1, 5), 0.0)
        found.expire(3.0)
        self.assertIs(found.handle(announce(1, 4), 3.1), server_directory.AnnouncementEffect.STALE)
        self.assertFalse(found.is_live("s", 3.1))
        self.assertIs(found.handle(announce(1, 6), 3.2), server_directory.AnnouncementEffect.JOINED)
        self.assertTrue(found.is_live("s", 3.2))

    def test_new_incarnation_after_leaving(self):
        found = server_directory.ServerDirectory(LEASE)
        found.handle(announce(1, 9, leaving=True), 0.0)
        self.assertIs(
            found.handle(announce(2, 1), 0.1), server_directory.AnnouncementEffect.RESTARTED
        )
        self.assertTrue(found.is_live("s", 0.1))
        self.assertIs(found.handle(announce(1, 10), 0.2), server_directory.AnnouncementEffect.STALE)
