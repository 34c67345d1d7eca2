"""Tests of the choice of the version that an entry puts in force next."""

from __future__ import annotations

import unittest
import zlib

from flamingoramp import errors
from flamingoramp.intent import document_deltas, version_intake

MAX_DELAY_SECONDS = 1.0


class TestIntake(unittest.TestCase):
    """The newest version is put in force, one at a time."""

    def setUp(self):
        self.intake = version_intake.VersionIntake()

    def receive(self, version: int, now: float = 0.0) -> None:
        self.intake.receive_document(version, zlib.compress(b"%d" % version), "c", now)

    def take(self, now: float = 0.0) -> tuple[int, int]:
        received, skipped_count = self.intake.take(now)
        self.taken = received
        return received.version, skipped_count

    def test_versions_before_the_newest_are_skipped(self):
        for version in (3, 5, 4, 5, 7):
            self.receive(version)
        self.assertEqual(self.take(), (7, 2))
        self.assertEqual(self.taken.document, b"7")

    def test_older_version_is_ignored(self):
        self.receive(7)
        self.take()
        self.intake.finish(self.taken, seconds=0.0, now=0.0)
        self.receive(6)
        self.assertIsNone(self.intake.due_at)

    def test_version_that_arrives_during_another_waits_for_its_end_and_a_pause(self):
        self.receive(1)
        self.take(4.99)
        self.receive(2)
        self.assertIsNone(self.intake.due_at)
        with self.assertRaises(errors.InvariantViolationError):
            self.intake.take(0.0)
        self.intake.finish(self.taken, seconds=0.01, now=5.0)
        self.assertAlmostEqual(self.intake.due_at, 5.09)
        self.assertEqual(self.take(), (2, 0))

    def test_pause_ends_before_a_waiting_version_is_late(self):
        for work_seconds in (0.2, 0.8):
            self.receive(self.intake.held_version + 1)
            self.take(10.0)
            self.intake.finish(self.taken, seconds=work_seconds, now=10.0 + work_seconds)
            self.receive(self.intake.held_version + 1)
            self.assertAlmostEqual(self.intake.due_at, 10.0 + version_intake.MAX_CYCLE_SECONDS)
            self.take(11.0)
            self.intake.finish(self.taken, seconds=0.0, now=11.0)

    def test_discarded_version_is_no_longer_held(self):
        self.receive(1)
        self.take()
        self.intake.finish(self.taken, seconds=0.0, now=0.0)
        self.receive(2)
        self.take()
        self.intake.discard(self.taken)
        self.assertEqual(self.intake.held_version, 1)
        self.receive(2)
        self.assertEqual(self.take(), (2, 0))

    def test_difference_from_another_base_is_refused(self):
        delta = document_deltas.encode_delta(2, b"2", b"3")
        with self.assertRaises(errors.ProtocolError):
            self.intake.receive_delta(3, delta, "c", 0.0)
        self.receive(1)
        with self.assertRaises(errors.ProtocolError):
            self.intake.receive_delta(3, delta, "c", 0.0)
        self.receive(2)
        self.intake.receive_delta(3, delta, "c", 0.0)
        self.take()
        self.assertEqual(self.taken.document, b"3")

    def test_outdated_difference_is_ignored(self):
        self.receive(5)
        self.intake.receive_delta(5, document_deltas.encode_delta(4, b"4", b"5"), "c", 0.0)
        self.assertEqual(self.intake.held_version, 5)


class TestLoad(unittest.TestCase):
    """Versions that come faster than an entry has time for."""

    def test_storm_of_versions_takes_a_bounded_share_of_the_time_and_none_waits_long(self):
        for work_seconds in (0.002, 0.02, 0.2):
            for interval_seconds in (0.001, 0.08, 0.3):
                with self.subTest(work=work_seconds, interval=interval_seconds):
                    self.run_storm(work_seconds, interval_seconds)

    def run_storm(self, work_seconds: float, interval_seconds: float) -> None:
        intake = version_intake.VersionIntake()
        arrived_at: dict[int, float] = {}
        now = work_total = 0.0
        version = in_force = 0
        while now < 20.0:
            while (version + 1) * interval_seconds <= now:
                version += 1
                arrived_at[version] = version * interval_seconds
                intake.receive_document(version, b"x", "c", now)
            if intake.due_at is None or intake.due_at > now:
                now += 0.0005
                continue
            received, _ = intake.take(now)
            now += work_seconds
            work_total += work_seconds
            intake.finish(received, seconds=work_seconds, now=now)
            for number in range(in_force + 1, received.version + 1):
                self.assertLess(now - arrived_at[number], MAX_DELAY_SECONDS)
            in_force = received.version
        max_ratio = max(version_intake.TIME_RATIO, work_seconds / version_intake.MAX_CYCLE_SECONDS)
        self.assertLess(work_total / now, 1.1 * max_ratio)


if __name__ == "__main__":
    unittest.main()
