"""Tests of announcements that arrive late, out of order and repeatedly."""

from __future__ import annotations

import itertools
import random
import unittest

from flamingoramp.membership import server_directory
from flamingoramp.protocol import shard_messages

LEASE_SECONDS = 2.5


def make_announcement(
    incarnation: int, sequence: int, *, leaving: bool = False
) -> shard_messages.Announcement:
    """Return an announcement of one server."""
    return shard_messages.Announcement(
        server="s", incarnation=incarnation, sequence=sequence, leaving=leaving
    )


class TestServerDirectory(unittest.TestCase):
    """The newest announcement decides; with equal numbers, the leaving one."""

    def test_leaving_server_is_not_live_in_any_order_of_arrival(self):
        sent = [
            make_announcement(1, 1),
            make_announcement(1, 2),
            make_announcement(1, 3, leaving=True),
            make_announcement(1, 3),
            make_announcement(1, 3, leaving=True),
        ]
        for order in itertools.permutations(sent):
            directory = server_directory.ServerDirectory(LEASE_SECONDS)
            for announcement in order:
                directory.handle(announcement, 0.0)
            self.assertFalse(directory.is_live("s", 0.1))

    def test_random_order_gives_the_same_result_as_the_maximum_of_all(self):
        rng = random.Random(5)
        for _ in range(300):
            directory = server_directory.ServerDirectory(LEASE_SECONDS)
            sent = []
            for _ in range(12):
                announcement = make_announcement(
                    rng.randint(1, 3), rng.randint(1, 4), leaving=rng.random() < 0.3
                )
                sent.append(announcement)
                directory.handle(announcement, 0.0)
            newest = max(sent, key=lambda item: (item.incarnation, item.sequence, item.leaving))
            self.assertEqual(directory.is_live("s", 0.0), not newest.leaving)

    def test_server_without_announcements_lapses_after_its_lease_and_is_reported_once(self):
        directory = server_directory.ServerDirectory(LEASE_SECONDS)
        directory.handle(make_announcement(1, 1), 0.0)
        self.assertTrue(directory.is_live("s", LEASE_SECONDS))
        self.assertFalse(directory.is_live("s", LEASE_SECONDS + 0.01))
        self.assertEqual(directory.expire(LEASE_SECONDS + 0.01), ["s"])
        self.assertEqual(directory.expire(LEASE_SECONDS + 0.02), [])

    def test_lapsed_server_rejoins_only_by_a_newer_announcement(self):
        directory = server_directory.ServerDirectory(LEASE_SECONDS)
        directory.handle(make_announcement(1, 5), 0.0)
        directory.expire(3.0)
        self.assertIs(
            directory.handle(make_announcement(1, 4), 3.1),
            server_directory.AnnouncementEffect.STALE,
        )
        self.assertFalse(directory.is_live("s", 3.1))
        self.assertIs(
            directory.handle(make_announcement(1, 6), 3.2),
            server_directory.AnnouncementEffect.JOINED,
        )
        self.assertTrue(directory.is_live("s", 3.2))

    def test_new_incarnation_after_leaving_is_live_and_older_one_is_stale(self):
        directory = server_directory.ServerDirectory(LEASE_SECONDS)
        directory.handle(make_announcement(1, 9, leaving=True), 0.0)
        self.assertIs(
            directory.handle(make_announcement(2, 1), 0.1),
            server_directory.AnnouncementEffect.RESTARTED,
        )
        self.assertTrue(directory.is_live("s", 0.1))
        self.assertIs(
            directory.handle(make_announcement(1, 10), 0.2),
            server_directory.AnnouncementEffect.STALE,
        )
