"""Durable storage of a replica: its identity, snapshot and log files in one data folder.

``identity`` holds the identity of the replica, with its incarnation. ``snapshot`` holds the last
snapshot and the number of the log file that continues it. ``log.<number>`` holds the hard state and
the entries, as records of length, checksum and payload. Replacing ``snapshot`` switches to a new
snapshot and a new log file in one step.

All data that one sync covers is a single record. A torn write therefore leaves one invalid record
at the end of the log; it was never acknowledged and is dropped. An invalid record before a valid
one means corruption and is an error.
"""

from __future__ import annotations

import contextlib
import fcntl
import io
import itertools
import json
import os
import pathlib
import re
import struct
import zlib
from collections.abc import Callable
from typing import TextIO, TypeVar

import attrs

from flamingoramp import errors
from flamingoramp.consensus import effects, entry_log
from flamingoramp.protocol import messages

_Result = TypeVar("_Result")

_RECORD_HEADER = struct.Struct(">II")
_TAG_HARD_STATE = 1
_TAG_ENTRY = 2
_TAG_TRUNCATE = 3
_TAG_BATCH = 4
_ITEM_LENGTH = struct.Struct(">I")
_ENTRY_HEADER = struct.Struct(">QQH")
_TRUNCATE_BYTES = 8
# The first byte of a length below 16 MiB, and after it and a checksum the tag of a record.
_RECORD_START = re.compile(rb"(?s)\x00(?=.{7}[\x01-\x04])")
_LONG_RECORD_START = re.compile(rb"(?s)[\x00-\xff](?=.{7}[\x01-\x04])")
_LONG_RECORD_BYTES = 2**24
# Names of log files, and of files that are written before they replace others.
_OWN_FILE = re.compile(r"log\.[0-9]+(\.tmp)?|(identity|probe|snapshot)\.tmp")


def _pack_record(tag: int, payload: bytes) -> bytes:
    body = bytes([tag]) + payload
    return _RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def _pack_batch(items: list[tuple[int, bytes]]) -> bytes:
    parts = []
    for tag, payload in items:
        parts.append(_ITEM_LENGTH.pack(len(payload) + 1) + bytes([tag]) + payload)
    return _pack_record(_TAG_BATCH, b"".join(parts))


def _unpack_batches(records: list[bytes]) -> list[bytes]:
    """Return tag and payload of each item of the batches, and of each record outside a batch."""
    items = []
    for record in records:
        if record[0] != _TAG_BATCH:
            items.append(record)
            continue
        position = 1
        while position < len(record):
            (length,) = _ITEM_LENGTH.unpack_from(record, position)
            position += _ITEM_LENGTH.size
            items.append(record[position : position + length])
            position += length
    return items


def _pack_entry(entry: messages.LogEntry) -> bytes:
    kind = entry.kind.encode()
    return _ENTRY_HEADER.pack(entry.index, entry.term, len(kind)) + kind + entry.payload


def _unpack_entry(body: bytes) -> messages.LogEntry:
    index, term, kind_length = _ENTRY_HEADER.unpack_from(body)
    start = _ENTRY_HEADER.size
    kind = body[start : start + kind_length].decode()
    return messages.LogEntry(index, term, kind, body[start + kind_length :])


def _valid_record_end(data: bytes, position: int) -> int:
    """Return the end of the valid record at a byte position, 0 if there is no valid record."""
    if len(data) - position < _RECORD_HEADER.size:
        return 0
    length, checksum = _RECORD_HEADER.unpack_from(data, position)
    start = position + _RECORD_HEADER.size
    body = data[start : start + length]
    if length == 0 or len(body) < length or zlib.crc32(body) != checksum:
        return 0
    return start + length


def _is_plausible_record(data: bytes, position: int) -> bool:
    """Tell at little cost whether a record may begin at a byte position.

    A checksum takes time in line with the length that is read from there, which is any if no record
    begins there.
    """
    (length, _) = _RECORD_HEADER.unpack_from(data, position)
    start = position + _RECORD_HEADER.size
    end = start + length
    if end > len(data):
        return False
    if data[start] == _TAG_BATCH:
        return _has_whole_items(data, start + 1, end)
    return _is_plausible_item(data[start], data, start + 1, end)


def _has_whole_items(data: bytes, position: int, end: int) -> bool:
    """Tell whether the lengths of a batch's items add up to the batch."""
    while position < end:
        if end - position <= _ITEM_LENGTH.size:
            return False
        (length,) = _ITEM_LENGTH.unpack_from(data, position)
        position += _ITEM_LENGTH.size
        if not 0 < length <= end - position:
            return False
        if not _is_plausible_item(data[position], data, position + 1, position + length):
            return False
        position += length
    return True


def _is_plausible_item(tag: int, data: bytes, start: int, end: int) -> bool:
    if tag == _TAG_HARD_STATE:
        return data[start : start + 1] == b"{"
    if tag == _TAG_TRUNCATE:
        return end - start == _TRUNCATE_BYTES
    return tag == _TAG_ENTRY and end - start >= _ENTRY_HEADER.size


def read_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split the contents of a log or snapshot file into its valid records.

    Parameters
    ----------
    data : bytes
        Contents of the file.
    name : str
        Name of the file for error messages.

    Returns
    -------
    records : list of bytes
        Tag and payload of each record.
    end : int
        Length of the valid part, in bytes.

    Raises
    ------
    flamingoramp.errors.CorruptLogError
        If an invalid record is followed by a valid one.
    """
    records = []
    position = 0
    while position < len(data):
        end = _valid_record_end(data, position)
        if not end:
            break
        records.append(data[position + _RECORD_HEADER.size : end])
        position = end
    pattern = _RECORD_START if len(data) < _LONG_RECORD_BYTES else _LONG_RECORD_START
    for candidate in pattern.finditer(data, position + 1):
        start = candidate.start()
        if _is_plausible_record(data, start) and _valid_record_end(data, start):
            raise errors.CorruptLogError(
                f"{name}: corrupt record at byte {position}, followed by valid records; "
                "remove the data folder to let this host rejoin as a new replica"
            )
    return records, position


def _replay(records: list[bytes], snapshot: effects.Snapshot) -> entry_log.RecoveredState:
    hard_state = effects.HardState()
    entries: list[messages.LogEntry] = []
    for item in _unpack_batches(records):
        tag, body = item[0], item[1:]
        if tag == _TAG_HARD_STATE:
            hard_state = effects.HardState(**json.loads(body))
        elif tag == _TAG_TRUNCATE:
            truncate_from = int.from_bytes(body, "big")
            entries = [entry for entry in entries if entry.index < truncate_from]
        elif tag == _TAG_ENTRY:
            entries.append(_unpack_entry(body))
    remaining = tuple(entry for entry in entries if entry.index > snapshot.last_index)
    return entry_log.RecoveredState(hard_state, snapshot, remaining)


def _read_if_exists(path: pathlib.Path) -> bytes | None:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


class Storage:
    """Storage of one replica in a data folder on disk.

    Parameters
    ----------
    folder : pathlib.Path
        Created if missing, and locked so that no second process can use it.
    opens_on_use : bool
        Whether the folder is created and locked by `load_identity`, which may be called again after
        a failure, instead of here.

    Raises
    ------
    flamingoramp.errors.StorageFailedError
        If the folder can't be created or another process holds its lock. Every method that uses the
        disk raises it too when the disk fails.
    """

    def __init__(self, folder: pathlib.Path, *, opens_on_use: bool = False):
        self._folder = folder
        self._log_file: io.FileIO | None = None
        self._log_number = 0
        # Bytes of each log file that a sync of this process has covered.
        self._synced_bytes: dict[int, int] = {}
        self._lock_file: TextIO | None = None
        if not opens_on_use:
            self._lock()

    @property
    def log_bytes(self) -> int:
        """Size of the synced part of the log file in bytes."""
        return self._synced_bytes.get(self._log_number, 0)

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return the stored identity, or store and return a new one if there is none."""
        self._lock()
        path = self._folder / "identity"
        stored = self._do_io(lambda: _read_if_exists(path))
        if stored is not None:
            return stored.decode()
        identity = f"{host}#{new_incarnation}"
        self._replace_atomically(path, identity.encode())
        return identity

    def recover(self) -> entry_log.RecoveredState:
        """Read the snapshot and the log, drop a torn last record and open the log for appending.

        What an earlier process wrote but did not sync is synced: the replica may acknowledge all
        that this returns. What this process failed to sync is dropped, since a later sync may
        succeed without having written it. For the same reason, the last record of an earlier
        process is written again; those before it were synced. Files that are left of an earlier
        snapshot are removed.

        Raises
        ------
        flamingoramp.errors.CorruptLogError
            If the snapshot or a record before the last valid one is damaged.
        """
        self._do_io(self._close_log)
        snapshot = self._do_io(self._read_snapshot)
        path = self._log_path()
        data = self._do_io(lambda: _read_if_exists(path)) or b""
        records, end = read_records(data[: self._synced_bytes.get(self._log_number)], str(path))
        if records and self._log_number not in self._synced_bytes:
            self._do_io(lambda: self._rewrite_last_record(path, data[:end], len(records[-1])))
        self._do_io(lambda: self._open_log(path, end))
        self._do_io(self._remove_stale_files)
        return _replay(records, snapshot)

    def check_writable(self) -> None:
        """Write and sync a small file; raise `StorageFailedError` if the disk refuses it."""
        self._replace_atomically(self._folder / "probe", b"writable")

    def persist(self, batch: list[effects.Persist]) -> None:
        """Append the writes of a batch to the log as a single record and sync it."""
        self._do_io(lambda: self._append(batch))

    def save_snapshot(
        self,
        hard_state: effects.HardState,
        snapshot: effects.Snapshot,
        entries: tuple[messages.LogEntry, ...],
    ) -> None:
        """Write a new snapshot and a new log file, and switch to both in one step."""
        previous_log_path = self._log_path()
        log_number = self._log_number + 1
        header = json.dumps(
            {
                "last_index": snapshot.last_index,
                "last_term": snapshot.last_term,
                "membership": attrs.asdict(snapshot.membership),
                "log_number": log_number,
            }
        ).encode()
        records = [_pack_record(_TAG_HARD_STATE, json.dumps(attrs.asdict(hard_state)).encode())]
        records += [_pack_record(_TAG_ENTRY, _pack_entry(entry)) for entry in entries]
        self._replace_atomically(self._folder / f"log.{log_number}", b"".join(records))
        self._replace_atomically(
            self._folder / "snapshot", _pack_record(1, header) + _pack_record(2, snapshot.data)
        )
        self._do_io(lambda: self._switch_log(previous_log_path, log_number))

    def close(self) -> None:
        """Close the log file and release the lock of the data folder."""
        # All that was acknowledged is synced, so that nothing depends on whether closing succeeds.
        with contextlib.suppress(OSError):
            self._close_log()
        with contextlib.suppress(OSError):
            if self._lock_file is not None:
                self._lock_file.close()

    def _lock(self) -> None:
        """Create and lock the folder, unless this was done before."""
        if self._lock_file is not None:
            return
        lock_file = self._do_io(self._open_lock)
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            lock_file.close()
            raise errors.StorageFailedError(
                f"{self._folder}: locked by another process; give each replica its own data folder"
            ) from error
        self._lock_file = lock_file

    def _open_lock(self) -> TextIO:
        folders = (self._folder, *self._folder.parents)
        missing = list(itertools.takewhile(lambda folder: not folder.exists(), folders))
        self._folder.mkdir(parents=True, exist_ok=True)
        for folder in reversed(missing):
            _sync_folder(folder.parent)  # else a loss of power may take the folder with its files
        return open(self._folder / "lock", "w")  # noqa: SIM115

    def _open_log(self, path: pathlib.Path, end: int) -> None:
        self._log_file = open(path, "ab", buffering=0)  # noqa: SIM115
        self._log_file.truncate(end)
        os.fsync(self._log_file.fileno())
        _sync_folder(self._folder)
        self._synced_bytes = {self._log_number: end}

    def _rewrite_last_record(self, path: pathlib.Path, data: bytes, body_bytes: int) -> None:
        start = len(data) - body_bytes - _RECORD_HEADER.size
        with open(path, "r+b", buffering=0) as log_file:
            log_file.seek(start)
            unwritten = memoryview(data)[start:]
            while unwritten:
                unwritten = unwritten[log_file.write(unwritten) :]

    def _remove_stale_files(self) -> None:
        """Remove temporary files and other logs than that of the snapshot, whose name is synced."""
        current = self._log_path().name
        with os.scandir(self._folder) as items:
            names = [item.name for item in items]
        for name in names:
            if _OWN_FILE.fullmatch(name) and name != current:
                (self._folder / name).unlink(missing_ok=True)

    def _close_log(self) -> None:
        if self._log_file is not None:
            log_file, self._log_file = self._log_file, None
            log_file.close()

    def _switch_log(self, previous_path: pathlib.Path, log_number: int) -> None:
        """Continue with the log file that the new snapshot names."""
        self._log_number = log_number
        self._close_log()
        path = self._log_path()
        self._synced_bytes = {log_number: path.stat().st_size}
        self._log_file = open(path, "ab", buffering=0)  # noqa: SIM115
        previous_path.unlink(missing_ok=True)

    def _append(self, batch: list[effects.Persist]) -> None:
        items = []
        for effect in batch:
            items.append((_TAG_HARD_STATE, json.dumps(attrs.asdict(effect.hard_state)).encode()))
            if effect.truncate_from:
                items.append((_TAG_TRUNCATE, effect.truncate_from.to_bytes(_TRUNCATE_BYTES, "big")))
            items += [(_TAG_ENTRY, _pack_entry(entry)) for entry in effect.entries]
        record = memoryview(_pack_batch(items))
        unwritten = record
        while unwritten:
            unwritten = unwritten[self._log_file.write(unwritten) :]
        os.fsync(self._log_file.fileno())
        self._synced_bytes[self._log_number] += len(record)

    def _read_snapshot(self) -> effects.Snapshot:
        path = self._folder / "snapshot"
        data = _read_if_exists(path)
        if data is None:
            return effects.Snapshot()
        records, _ = read_records(data, str(path))
        if len(records) != 2:
            raise errors.CorruptLogError(
                f"{path}: snapshot is damaged: found {len(records)} valid records instead of 2; "
                "remove the data folder to let this host rejoin as a new replica"
            )
        header = json.loads(records[0][1:])
        self._log_number = header["log_number"]
        membership = effects.Membership(
            tuple(header["membership"]["voters"]), tuple(header["membership"]["learners"])
        )
        return effects.Snapshot(
            header["last_index"], header["last_term"], membership, records[1][1:]
        )

    def _log_path(self) -> pathlib.Path:
        return self._folder / f"log.{self._log_number}"

    def _replace_atomically(self, path: pathlib.Path, data: bytes) -> None:
        self._do_io(lambda: self._replace_file(path, data))

    def _replace_file(self, path: pathlib.Path, data: bytes) -> None:
        temporary = path.with_name(path.name + ".tmp")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        _sync_folder(self._folder)

    def _do_io(self, action: Callable[[], _Result]) -> _Result:
        try:
            return action()
        except OSError as error:
            raise errors.StorageFailedError(
                f"{self._folder}: the disk failed: {error}; free disk space or replace the disk"
            ) from error


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class MemoryStorage:
    """Storage that keeps nothing, for a host without a disk: each start makes a new replica."""

    log_bytes = 0

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return a new identity, since none is stored."""
        return f"{host}#{new_incarnation}"

    def recover(self) -> entry_log.RecoveredState:
        """Return an empty state, as at a first start."""
        return entry_log.RecoveredState()

    def check_writable(self) -> None:
        """Do nothing: there is no disk that could refuse a write."""

    def persist(self, batch: list[effects.Persist]) -> None:
        """Do nothing: the replica itself holds the entries in memory."""

    def save_snapshot(self, hard_state, snapshot, entries) -> None:
        """Do nothing: the replica itself holds the snapshot in memory."""

    def close(self) -> None:
        """Do nothing: no files are open."""
