"""Tests of the account of held bytes."""

from __future__ import annotations

import unittest

from flamingoramp.runtime import byte_account

LIMIT_BYTES = 1_000_000


class FakeHolder:
    """Holds bytes since a given time; gives all of them up, or those of requests in progress."""

    def __init__(self, account: byte_account.ByteAccount, size: int, since: float, in_use: int = 0):
        self.account = account
        self.size = size
        self.since = since
        self.in_use = in_use
        self.gave_up = False
        self.charge()

    def charge(self) -> None:
        self.account.charge(self, self.size + self.in_use, in_use_bytes=self.in_use)

    def reclaimable(self) -> byte_account.Reclaimable:
        return byte_account.Reclaimable(self.size, self.since)

    def give_up(self) -> None:
        self.gave_up = True
        self.size = 0
        self.charge()


class TestByteAccount(unittest.TestCase):
    """What is given up when the limit is exceeded, and what is admitted."""

    def setUp(self):
        self.now = 100.0
        self.shortages: list[byte_account.Shortage] = []
        self.account = byte_account.ByteAccount(
            LIMIT_BYTES, lambda: self.now, self.shortages.append
        )

    def add(self, size: int, seconds: float, in_use: int = 0) -> FakeHolder:
        return FakeHolder(self.account, size, self.now - seconds, in_use)

    def test_nothing_is_given_up_within_the_limit(self):
        holders = [self.add(LIMIT_BYTES // 10, 60.0) for _ in range(10)]
        self.assertEqual(self.account.held_bytes, LIMIT_BYTES)
        self.assertFalse(any(holder.gave_up for holder in holders))
        self.assertEqual(self.shortages, [])

    # Pattern: many bodies that stop short of their end, beside one that goes on arriving.
    def test_bodies_that_stopped_are_given_up_before_one_that_arrives(self):
        stopped = [self.add(100_000, 5.0 + number) for number in range(9)]
        arriving = self.add(150_000, 0.1)
        self.assertFalse(arriving.gave_up)
        self.assertEqual([holder.gave_up for holder in stopped], [False] * 7 + [True] * 2)

    # Pattern: a flood, in which nothing is old.
    def test_of_bytes_that_arrived_together_the_largest_are_given_up(self):
        small = [self.add(10_000, 0.0) for _ in range(20)]
        large = [self.add(300_000, 0.0) for _ in range(3)]
        self.assertTrue(any(holder.gave_up for holder in large))
        self.assertFalse(any(holder.gave_up for holder in small))

    # Pattern: a body of which a byte arrives now and then.
    def test_a_slow_body_is_not_spared_for_its_last_byte(self):
        slow = self.add(400_000, 20.0)
        fresh = [self.add(100_000, 0.5) for _ in range(7)]
        self.assertTrue(slow.gave_up)
        self.assertFalse(any(holder.gave_up for holder in fresh))

    def test_what_requests_in_progress_need_is_kept(self):
        busy = [self.add(0, 60.0, in_use=300_000) for _ in range(3)]
        waiting = self.add(200_000, 0.0)
        self.assertTrue(waiting.gave_up)
        self.assertFalse(any(holder.gave_up for holder in busy))
        self.assertEqual(self.account.held_bytes, 900_000)

    def test_holders_are_searched_again_only_after_new_bytes_filled_the_account(self):
        for number in range(20):
            self.add(LIMIT_BYTES // 10, 20.0 - number)
        self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)
        self.assertEqual(len(self.shortages), 4)
        shortage = self.shortages[0]
        self.assertEqual((shortage.holders, shortage.freed_bytes), (3, 300_000))
        self.assertEqual(shortage.longest_seconds, 20.0)

    def test_a_removed_holder_holds_nothing(self):
        holder = self.add(100_000, 1.0, in_use=300_000)
        self.account.remove(holder)
        self.account.remove(holder)
        self.assertEqual(self.account.held_bytes, 0)
        self.assertTrue(self.account.has_room(LIMIT_BYTES * 3 // 4))

    def test_a_holder_that_another_one_removes_is_not_asked(self):
        other = self.add(500_000, 1.0)
        first = self.add(400_000, 30.0)
        first.give_up = lambda: (self.account.remove(first), self.account.remove(other))
        self.add(200_000, 0.0)
        self.assertFalse(other.gave_up)

    # Pattern: large requests that run for long, beside small ones.
    def test_large_requests_leave_room_for_small_ones(self):
        size = 4 * byte_account.LARGE_REQUEST_BYTES
        while self.account.has_room(size):
            self.add(0, 0.0, in_use=size)
        self.assertTrue(self.account.has_room(byte_account.LARGE_REQUEST_BYTES))
        self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES * 0.75)
        self.assertTrue(self.account.can_ever_have_room(size))
        self.assertFalse(self.account.can_ever_have_room(LIMIT_BYTES))

    def test_what_can_be_given_up_leaves_room(self):
        self.add(LIMIT_BYTES, 0.0)
        self.assertTrue(self.account.has_room(LIMIT_BYTES // 2))

    def test_an_account_without_limit_gives_up_nothing(self):
        account = byte_account.ByteAccount(None, lambda: self.now)
        holder = FakeHolder(account, 10**12, 0.0)
        self.assertFalse(holder.gave_up)
        self.assertTrue(account.has_room(10**12))

    def test_largest_body_of_the_defaults_fits_on_the_smallest_machine(self):
        limit_bytes = byte_account.limit_for(112_000_000)
        account = byte_account.ByteAccount(limit_bytes, lambda: self.now)
        self.assertTrue(account.has_room(4 * 1024 * 1024 + 16 * 1024))
