"""Tests of the storage of a replica: torn writes, corruption, snapshots and full disks."""

from __future__ import annotations

import contextlib
import functools
import os
import pathlib
import random
import shutil
import struct
import tempfile
import time
import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.consensus import effects, entry_log, storage
from flamingoramp.protocol import messages

TORN_BYTES = 8 * 1024 * 1024
MAX_SCAN_SECONDS = 0.1
ENTRY_COUNT = 6
SNAPSHOT_AT = 3
MIN_OPERATION_COUNT = 40
# A second fault comes at most so many operations after the first.
SECOND_FAULT_SPAN = 12


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


class TestUnsyncedWrites(StorageCase):
    """Records that were written, and not synced when the process was killed or the sync failed."""

    # Guards against entries that are acknowledged after a restart, and lost with the next loss of
    # power.
    def test_records_of_an_earlier_process_are_synced_before_they_are_used(self):
        self.write_entries(3)
        store = self.open_storage()
        synced = []

        def _sync(descriptor: int) -> None:
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))

        with mock.patch.object(storage.os, "fsync", _sync):
            self.assertEqual(len(store.recover().entries), 3)
        self.assertIn(str(self.log_path().resolve()), synced)

    # Guards against a data folder that is lost with a loss of power, and all that was acknowledged.
    def test_folders_are_synced_into_those_above_them(self):
        folder = self.folder / "replica" / "data"
        synced = []

        def _sync(descriptor: int) -> None:
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))

        with mock.patch.object(storage.os, "fsync", _sync):
            store = storage.Storage(folder)
            self.addCleanup(store.close)
            store.recover()
        above = [str(parent.resolve()) for parent in (self.folder.parent, *folder.parents[1::-1])]
        self.assertEqual(synced[:3], above)

    # Guards against the same when the process ends after a sync that has failed: the kernel forgets
    # that it did not write the record, and the next sync succeeds without it.
    def test_last_record_of_an_earlier_process_is_written_again(self):
        self.write_entries(3)
        data = self.log_path().read_bytes()
        records, _ = storage.read_records(data, "log")
        written = []

        class RecordingFile(FaultyFile):
            def write(self, data) -> int:
                written.append(bytes(data))
                return super().write(data)

        def _open(path, mode="r", buffering=-1):
            return RecordingFile(FaultyDisk(()), open(path, mode, buffering))  # noqa: SIM115

        store = self.open_storage()
        with mock.patch.object(storage, "open", _open, create=True):
            store.recover()
            self.assertEqual(written, [data[-len(records[-1]) - 8 :]])
            store.recover()
        self.assertEqual(len(written), 1)
        self.assertEqual(self.log_path().read_bytes(), data)

    # Guards against a sync that succeeds after one that has failed, without the failed writes.
    def test_record_whose_sync_failed_is_dropped(self):
        self.write_entries(2)
        store = self.open_storage()
        store.recover()
        entry = messages.LogEntry(3, 1, "test", b"x")
        batch = [effects.Persist(effects.HardState(1, "a", "c"), 0, (entry,))]
        with (
            mock.patch.object(storage.os, "fsync", side_effect=OSError(5, "failed")),
            self.assertRaises(errors.StorageFailedError),
        ):
            store.persist(batch)
        self.assertEqual(len(store.recover().entries), 2)
        store.persist(batch)
        store.close()
        self.assertEqual(len(self.open_storage().recover().entries), 3)


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


class FaultyDisk:
    """Fails the operations of a storage whose numbers are given, as a full disk does.

    A write that fails has written half of its data.
    """

    def __init__(self, failing: tuple[int, ...]):
        self.count = 0
        self._failing = failing

    def step(self) -> None:
        """Count an operation, and fail it if it is one of the given."""
        self.count += 1
        if self.count in self._failing:
            raise OSError(28, "no space left on device")

    def wrap(self, function):
        def _call(*arguments, **options):
            self.step()
            return function(*arguments, **options)

        return _call

    def open(self, path, mode="r", buffering=-1):
        self.step()
        return FaultyFile(self, open(path, mode, buffering))  # noqa: SIM115

    def patch(self, stack: contextlib.ExitStack) -> None:
        """Take the place of the disk for the module of the storage."""
        for owner, name in (
            (storage.os, "fsync"),
            (storage.os, "replace"),
            (storage.os, "open"),
            (pathlib.Path, "read_bytes"),
            (pathlib.Path, "unlink"),
            (pathlib.Path, "stat"),
            (pathlib.Path, "mkdir"),
        ):
            wrapped = self.wrap(getattr(owner, name))
            if owner is pathlib.Path:
                wrapped = functools.partialmethod(
                    lambda path, f=wrapped, **options: f(path, **options)
                )
            stack.enter_context(mock.patch.object(owner, name, wrapped))
        stack.enter_context(mock.patch.object(storage, "open", self.open, create=True))


class FaultyFile:
    """A file of a `FaultyDisk`."""

    def __init__(self, disk: FaultyDisk, file):
        self._disk = disk
        self._file = file

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        self._file.close()

    def __getattr__(self, name: str):
        return getattr(self._file, name)

    def write(self, data) -> int:
        try:
            self._disk.step()
        except OSError:
            self._file.write(bytes(data[: len(data) // 2]))
            raise
        return self._file.write(data)

    def truncate(self, size: int) -> int:
        self._disk.step()
        return self._file.truncate(size)

    def close(self) -> None:
        self._file.close()
        self._disk.step()


class TestFaultsOfEveryOperation(StorageCase):
    """A fault at each operation of a workload, alone and with a second one soon after."""

    def run_workload(self, disk: FaultyDisk) -> None:
        """Store entries and a snapshot as a node does, and check what a new start finds."""
        acknowledged = 0
        with contextlib.ExitStack() as stack:
            disk.patch(stack)
            store = self.retry(lambda: storage.Storage(self.folder))
            self.start(store)
            while acknowledged < ENTRY_COUNT:
                entry = messages.LogEntry(acknowledged + 1, 1, "test", b"x")
                batch = [effects.Persist(effects.HardState(1, "a", "c"), 0, (entry,))]
                try:
                    store.persist(batch)
                    acknowledged += 1
                    if acknowledged == SNAPSHOT_AT:
                        snapshot = effects.Snapshot(acknowledged - 1, 1, data=b"state")
                        store.save_snapshot(effects.HardState(1, "a", "c"), snapshot, (entry,))
                except errors.StorageFailedError:
                    recovered = self.start(store)
                    self.check(recovered, acknowledged)
                    acknowledged = max(acknowledged, self.last_index(recovered))
            store.close()
        store = storage.Storage(self.folder)
        self.assertEqual(store.load_identity("host", "9"), "host#1")
        self.check(store.recover(), acknowledged)
        store.close()

    def start(self, store: storage.Storage) -> entry_log.RecoveredState:
        """Do what a node does at its start until it succeeds."""

        def _start() -> entry_log.RecoveredState:
            store.load_identity("host", "1")
            recovered = store.recover()
            store.check_writable()
            return recovered

        return self.retry(_start)

    def retry(self, action):
        for _ in range(5):
            with contextlib.suppress(errors.StorageFailedError):
                return action()
        raise AssertionError("the storage does not recover")

    def last_index(self, recovered: entry_log.RecoveredState) -> int:
        return recovered.snapshot.last_index + len(recovered.entries)

    def check(self, recovered: entry_log.RecoveredState, acknowledged: int) -> None:
        self.assertGreaterEqual(self.last_index(recovered), acknowledged)
        first_index = recovered.snapshot.last_index + 1
        for index, entry in enumerate(recovered.entries, first_index):
            self.assertEqual(entry.index, index)

    # Guards against errors outside of the typed one, which end a control host, and against entries
    # that are lost after they were acknowledged.
    def test_no_fault_ends_the_process_or_loses_an_acknowledged_entry(self):
        calm = FaultyDisk(())
        self.run_workload(calm)
        self.assertGreater(calm.count, MIN_OPERATION_COUNT)
        for first in range(1, calm.count + 1):
            for second in (0, *range(first + 1, first + 1 + SECOND_FAULT_SPAN)):
                with self.subTest(first=first, second=second):
                    shutil.rmtree(self.folder)
                    self.run_workload(FaultyDisk((first, second)))


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

    # Guards against a disk that fills with the files of snapshots at which the process was killed.
    def test_files_of_earlier_snapshots_are_removed(self):
        self.write_entries(5)
        for name in ("snapshot.tmp", "log.7", "log.1.tmp"):
            (self.folder / name).write_bytes(b"x" * 1000)
        store = self.open_storage()
        store.recover()
        with (
            mock.patch.object(pathlib.Path, "unlink", side_effect=OSError("killed")),
            self.assertRaises(errors.StorageFailedError),
        ):
            store.save_snapshot(effects.HardState(1, "a", "c"), self.SNAPSHOT, ())
        store.close()
        recovered = self.open_storage().recover()
        self.assertEqual(recovered.snapshot, self.SNAPSHOT)
        names = sorted(path.name for path in self.folder.iterdir())
        self.assertEqual(names, ["lock", "log.1", "snapshot"])

    # Guards against files of operators that are deleted, and a folder that makes each start fail,
    # since their names resemble those of this module.
    def test_files_of_others_are_kept(self):
        store = self.open_storage()
        for name in ("log.txt", "notes.tmp", "log.1.bak"):
            (self.folder / name).write_bytes(b"x")
        for name in ("log.d", "cache.tmp"):
            (self.folder / name).mkdir()
        names = {path.name for path in self.folder.iterdir()}
        store.recover()
        self.assertEqual(names - {path.name for path in self.folder.iterdir()}, set())

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
