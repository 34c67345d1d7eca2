"""Tests of the storage of a replica: torn writes, corruption, snapshots and full disks."""

from __future__ import annotations

import pathlib
import random
import struct
import tempfile
import time
import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.consensus import effects, storage
from flamingoramp.protocol import messages

TORN_BYTES = 8 * 1024 * 1024
MAX_SCAN_SECONDS = 0.1


class StorageCase(unittest.TestCase):
    """Base class that provides an empty data folder and helpers to fill it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "data"

    def open_storage(self) -> storage.Storage:
        store = storage.Storage(self.folder)
        self.addCleanup(store.close)
        return store

    def write_entries(self, count: int) -> None:
        store = self.open_storage()
        store.recover()
        for index in range(1, count + 1):
            entry = messages.LogEntry(index, 1, "test", b"payload %d" % index)
            store.persist([effects.Persist(effects.HardState(1, "a", "c"), 0, (entry,))])
        store.close()

    def log_path(self) -> pathlib.Path:
        return self.folder / "log.0"


class TestRecovery(StorageCase):
    """Recovery of hard state, entries and identity after a restart."""

    def test_recover_returns_all_synced_entries_and_hard_state(self):
        self.write_entries(5)
        recovered = self.open_storage().recover()
        self.assertEqual([entry.index for entry in recovered.entries], [1, 2, 3, 4, 5])
        self.assertEqual(recovered.hard_state, effects.HardState(1, "a", "c"))

    def test_last_record_torn_at_any_byte_is_dropped(self):
        self.write_entries(3)
        data = self.log_path().read_bytes()
        records, _ = storage.read_records(data, "log")
        last_record_bytes = len(records[-1]) + 8
        for cut_bytes in range(1, last_record_bytes):
            self.log_path().write_bytes(data[:-cut_bytes])
            store = self.open_storage()
            recovered = store.recover()
            self.assertEqual([entry.index for entry in recovered.entries], [1, 2])
            store.close()

    def test_entry_appended_after_torn_record_is_recovered(self):
        self.write_entries(3)
        self.log_path().write_bytes(self.log_path().read_bytes()[:-3])
        store = self.open_storage()
        store.recover()
        entry = messages.LogEntry(3, 2, "test", b"new")
        store.persist([effects.Persist(effects.HardState(2, "", "c"), 0, (entry,))])
        store.close()
        self.assertEqual(self.open_storage().recover().entries[-1].payload, b"new")

    def test_corrupt_record_before_valid_ones_raises(self):
        self.write_entries(5)
        data = bytearray(self.log_path().read_bytes())
        data[len(data) // 2] ^= 0xFF
        self.log_path().write_bytes(bytes(data))
        with self.assertRaisesRegex(
            errors.CorruptLogError, "corrupt record at byte .* followed by valid records"
        ):
            self.open_storage().recover()

    def test_truncated_entries_stay_dropped_after_restart(self):
        self.write_entries(5)
        store = self.open_storage()
        store.recover()
        entry = messages.LogEntry(3, 2, "test", b"other")
        store.persist([effects.Persist(effects.HardState(2, "", "c"), 3, (entry,))])
        store.close()
        entries = self.open_storage().recover().entries
        self.assertEqual([(item.index, item.term) for item in entries], [(1, 1), (2, 1), (3, 2)])

    def test_second_storage_on_locked_folder_raises(self):
        self.write_entries(1)
        self.open_storage()
        with self.assertRaises(errors.StorageFailedError):
            storage.Storage(self.folder)

    def test_identity_survives_restart_and_is_new_after_disk_loss(self):
        store = self.open_storage()
        self.assertEqual(store.load_identity("host", "1"), "host#1")
        self.assertEqual(store.load_identity("host", "2"), "host#1")
        store.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.assertEqual(self.open_storage().load_identity("host", "3"), "host#3")


class TestTornRecords(StorageCase):
    """Time to find out that no record follows a torn one."""

    # Guards against a control host that takes half a minute to start, after a loss of power in the
    # middle of a large write.
    def test_time_is_in_line_with_the_size_of_the_torn_record(self):
        rng = random.Random(5)
        for name, body in (
            ("compressed", rng.randbytes(TORN_BYTES)),
            ("text", b'{"name": "r", "value": 1}' * (TORN_BYTES // 25)),
        ):
            with self.subTest(body=name):
                torn = struct.pack(">II", 2 * TORN_BYTES, 0) + body
                started_at = time.process_time()
                self.assertEqual(storage.read_records(torn, "log"), ([], 0))
                self.assertLess(time.process_time() - started_at, MAX_SCAN_SECONDS)

    def test_valid_record_anywhere_after_an_invalid_one_is_found(self):
        self.write_entries(1)
        record = self.log_path().read_bytes()
        rng = random.Random(6)
        for length in range(9, 60):
            data = bytes([7]) + rng.randbytes(length) + record
            with self.assertRaises(errors.CorruptLogError):
                storage.read_records(data, "log")


class TestSnapshots(StorageCase):
    """Atomic replacement of the snapshot and the log file."""

    SNAPSHOT = effects.Snapshot(4, 1, effects.Membership(("a#1",), ()), b"state")

    def test_entries_after_snapshot_are_recovered(self):
        self.write_entries(5)
        store = self.open_storage()
        entries = store.recover().entries
        store.save_snapshot(effects.HardState(1, "a", "c"), self.SNAPSHOT, entries[4:])
        store.close()
        recovered = self.open_storage().recover()
        self.assertEqual(recovered.snapshot, self.SNAPSHOT)
        self.assertEqual([entry.index for entry in recovered.entries], [5])

    def test_crash_before_snapshot_is_replaced_keeps_previous_state(self):
        self.write_entries(5)
        store = self.open_storage()
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
        recovered = self.open_storage().recover()
        self.assertEqual(recovered.hard_state.term, 1)
        self.assertEqual(len(recovered.entries), 5)

    def test_damaged_snapshot_raises(self):
        self.write_entries(5)
        store = self.open_storage()
        store.recover()
        store.save_snapshot(effects.HardState(1, "a", "c"), self.SNAPSHOT, ())
        store.close()
        path = self.folder / "snapshot"
        path.write_bytes(path.read_bytes()[:-2])
        with self.assertRaises(errors.CorruptLogError):
            self.open_storage().recover()


class TestFullDisk(StorageCase):
    """A failed write raises `StorageFailedError` and is never acknowledged."""

    def test_failed_sync_raises_storage_error(self):
        store = self.open_storage()
        store.recover()
        entry = messages.LogEntry(1, 1, "test", b"x")
        with (
            mock.patch.object(storage.os, "fsync", side_effect=OSError(28, "no space")),
            self.assertRaisesRegex(errors.StorageFailedError, "no space"),
        ):
            store.persist([effects.Persist(effects.HardState(1), 0, (entry,))])
