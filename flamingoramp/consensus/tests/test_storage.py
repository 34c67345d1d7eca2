"""Tests of the data folder under torn writes, corruption and full disks."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.consensus import effects, storage
from flamingoramp.protocol import messages


class StorageCase(unittest.TestCase):
    """Gives each test an empty data folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "data"

    def open(self) -> storage.Storage:
        store = storage.Storage(self.folder)
        self.addCleanup(store.close)
        return store

    def write(self, count: int) -> None:
        store = self.open()
        store.recover()
        for index in range(1, count + 1):
            entry = messages.LogEntry(index, 1, "test", b"payload %d" % index)
            store.persist([effects.Persist(effects.HardState(1, "a", "c"), 0, (entry,))])
        store.close()

    def log(self) -> pathlib.Path:
        return self.folder / "log.0"


class TestRecovery(StorageCase):
    """What a restart finds."""

    def test_everything_that_was_synced(self):
        self.write(5)
        recovered = self.open().recover()
        self.assertEqual([one.index for one in recovered.entries], [1, 2, 3, 4, 5])
        self.assertEqual(recovered.hard_state, effects.HardState(1, "a", "c"))

    def test_torn_tail_is_dropped_wherever_it_is_torn(self):
        self.write(3)
        data = self.log().read_bytes()
        records, _ = storage.read_records(data, "log")
        last = len(records[-1]) + 8
        for cut in range(1, last):
            self.log().write_bytes(data[:-cut])
            store = self.open()
            recovered = store.recover()
            self.assertEqual([one.index for one in recovered.entries], [1, 2])
            store.close()

    def test_writing_goes_on_after_a_torn_tail(self):
        self.write(3)
        self.log().write_bytes(self.log().read_bytes()[:-3])
        store = self.open()
        store.recover()
        entry = messages.LogEntry(3, 2, "test", b"new")
        store.persist([effects.Persist(effects.HardState(2, "", "c"), 0, (entry,))])
        store.close()
        self.assertEqual(self.open().recover().entries[-1].payload, b"new")

    def test_corrupt_middle_is_refused(self):
        self.write(5)
        data = bytearray(self.log().read_bytes())
        data[len(data) // 2] ^= 0xFF
        self.log().write_bytes(bytes(data))
        with self.assertRaisesRegex(errors.CorruptLogError, "others follow"):
            self.open().recover()

    def test_truncation_is_remembered(self):
        self.write(5)
        store = self.open()
        store.recover()
        entry = messages.LogEntry(3, 2, "test", b"other")
        store.persist([effects.Persist(effects.HardState(2, "", "c"), 3, (entry,))])
        store.close()
        entries = self.open().recover().entries
        self.assertEqual([(one.index, one.term) for one in entries], [(1, 1), (2, 1), (3, 2)])

    def test_second_process_is_refused(self):
        self.write(1)
        self.open()
        with self.assertRaises(errors.StorageFailedError):
            storage.Storage(self.folder)

    def test_identity_stays_and_a_lost_disk_gets_a_new_one(self):
        store = self.open()
        self.assertEqual(store.load_identity("host", "1"), "host#1")
        self.assertEqual(store.load_identity("host", "2"), "host#1")
        store.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.assertEqual(self.open().load_identity("host", "3"), "host#3")


class TestSnapshots(StorageCase):
    """Snapshot and log are replaced together."""

    SNAPSHOT = effects.Snapshot(4, 1, effects.Membership(("a#1",), ()), b"state")

    def test_entries_after_the_snapshot_stay(self):
        self.write(5)
        store = self.open()
        entries = store.recover().entries
        store.save_snapshot(effects.HardState(1, "a", "c"), self.SNAPSHOT, entries[4:])
        store.close()
        recovered = self.open().recover()
        self.assertEqual(recovered.snapshot, self.SNAPSHOT)
        self.assertEqual([one.index for one in recovered.entries], [5])

    def test_crash_between_the_two_files_changes_nothing(self):
        self.write(5)
        store = self.open()
        store.recover()
        replace = storage.os.replace

        def fail_on_snapshot(source, target):
            if str(target).endswith("snapshot"):
                raise OSError("crash")
            replace(source, target)

        with (
            mock.patch.object(storage.os, "replace", fail_on_snapshot),
            self.assertRaises(errors.StorageFailedError),
        ):
            store.save_snapshot(effects.HardState(9, "", "c"), self.SNAPSHOT, ())
        store.close()
        recovered = self.open().recover()
        self.assertEqual(recovered.hard_state.term, 1)
        self.assertEqual(len(recovered.entries), 5)

    def test_damaged_snapshot_is_refused(self):
        self.write(5)
        store = self.open()
        store.recover()
        store.save_snapshot(effects.HardState(1, "a", "c"), self.SNAPSHOT, ())
        store.close()
        path = self.folder / "snapshot"
        path.write_bytes(path.read_bytes()[:-2])
        with self.assertRaises(errors.CorruptLogError):
            self.open().recover()


class TestFullDisk(StorageCase):
    """A write that fails is a typed error, never an acknowledgement."""

    def test_failed_sync(self):
        store = self.open()
        store.recover()
        entry = messages.LogEntry(1, 1, "test", b"x")
        with (
            mock.patch.object(storage.os, "fsync", side_effect=OSError(28, "no space")),
            self.assertRaisesRegex(errors.StorageFailedError, "no space"),
        ):
            store.persist([effects.Persist(effects.HardState(1), 0, (entry,))])
