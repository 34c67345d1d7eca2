"""Files of a replica under one data folder.

``identity`` names the incarnation; ``snapshot`` holds the last snapshot and the number of the log
that follows it; ``log.<number>`` holds the hard state and the entries, as records of length,
checksum and payload. Replacing ``snapshot`` switches both at once. All that is synced together
is one record, so that a write that was torn anywhere is one bad record at the very end of the log;
it was never acknowledged and is dropped. A bad record that others follow is an error.
"""

from __future__ import annotations

import fcntl
import json
import os
import pathlib
import struct
import zlib

import attrs

from flamingoramp import errors
from flamingoramp.consensus import effects, entry_log
from flamingoramp.protocol import messages

_RECORD = struct.Struct(">II")
_HARD = 1
_ENTRY = 2
_TRUNCATE = 3
_BATCH = 4
_ITEM_LENGTH = struct.Struct(">I")
_ENTRY_HEAD = struct.Struct(">QQH")


def _record(tag: int, payload: bytes) -> bytes:
    body = bytes([tag]) + payload
    return _RECORD.pack(len(body), zlib.crc32(body)) + body


def _pack_batch(items: list[tuple[int, bytes]]) -> bytes:
    parts = []
    for tag, payload in items:
        parts.append(_ITEM_LENGTH.pack(len(payload) + 1) + bytes([tag]) + payload)
    return _record(_BATCH, b"".join(parts))


def _unpack_batches(records: list[bytes]) -> list[bytes]:
    """Return the tag and payload of each item, also of records that stand alone."""
    items = []
    for record in records:
        if record[0] != _BATCH:
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
    return _ENTRY_HEAD.pack(entry.index, entry.term, len(kind)) + kind + entry.payload


def _unpack_entry(body: bytes) -> messages.LogEntry:
    index, term, kind_length = _ENTRY_HEAD.unpack_from(body)
    start = _ENTRY_HEAD.size
    kind = body[start : start + kind_length].decode()
    return messages.LogEntry(index, term, kind, body[start + kind_length :])


def _valid_at(data: bytes, position: int) -> int:
    """Return the end of the valid record at a position, 0 if there is none."""
    if len(data) - position < _RECORD.size:
        return 0
    length, checksum = _RECORD.unpack_from(data, position)
    start = position + _RECORD.size
    body = data[start : start + length]
    if length == 0 or len(body) < length or zlib.crc32(body) != checksum:
        return 0
    return start + length


def read_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Cut a log file into its records.

    Returns
    -------
    records : list of bytes
        Tag and payload of each.
    end : int
        Where the valid part ends, in bytes.

    Raises
    ------
    flamingoramp.errors.CorruptLogError
        If a record fails its checksum and a valid one follows.
    """
    records = []
    position = 0
    while position < len(data):
        end = _valid_at(data, position)
        if not end:
            break
        records.append(data[position + _RECORD.size : end])
        position = end
    for later in range(position + 1, len(data) - _RECORD.size):
        if _valid_at(data, later):
            raise errors.CorruptLogError(
                f"{name}: the record at byte {position} is corrupt and others follow; "
                "remove the data folder to rejoin as a new replica"
            )
    return records, position


def _replay(records: list[bytes], snapshot: effects.Snapshot) -> entry_log.RecoveredState:
    hard = effects.HardState()
    entries: list[messages.LogEntry] = []
    for record in _unpack_batches(records):
        tag, body = record[0], record[1:]
        if tag == _HARD:
            hard = effects.HardState(**json.loads(body))
        elif tag == _TRUNCATE:
            first = int.from_bytes(body, "big")
            entries = [entry for entry in entries if entry.index < first]
        elif tag == _ENTRY:
            entries.append(_unpack_entry(body))
    kept = tuple(entry for entry in entries if entry.index > snapshot.last_index)
    return entry_log.RecoveredState(hard, snapshot, kept)


class Storage:
    """The data folder of one replica.

    Parameters
    ----------
    folder : pathlib.Path
        Created if missing; locked against a second process.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._write(lambda: folder.mkdir(parents=True, exist_ok=True))
        self._lock = open(folder / "lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise errors.StorageFailedError(f"{folder}: in use by another process") from error
        self._file = None
        self._log_number = 0

    @property
    def log_bytes(self) -> int:
        """Size of the log file."""
        return self._file.tell()

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return the replica's identity, a new one if the folder holds none."""
        path = self._folder / "identity"
        if path.exists():
            return path.read_text()
        identity = f"{host}#{new_incarnation}"
        self._replace(path, identity.encode())
        return identity

    def recover(self) -> entry_log.RecoveredState:
        """Read snapshot and log, and open the log for appending."""
        if self._file is not None:
            self._file.close()
        snapshot = self._read_snapshot()
        path = self._log_path()
        data = path.read_bytes() if path.exists() else b""
        records, end = read_records(data, str(path))
        self._write(lambda: self._open_log(path, end))
        return _replay(records, snapshot)

    def check_writable(self) -> None:
        """Write and sync a small file, to learn whether the disk takes anything."""
        self._replace(self._folder / "probe", b"writable")

    def persist(self, batch: list[effects.Persist]) -> None:
        """Append the records of a batch and sync them once."""
        self._write(lambda: self._append(batch))

    def save_snapshot(
        self,
        hard_state: effects.HardState,
        snapshot: effects.Snapshot,
        entries: tuple[messages.LogEntry, ...],
    ) -> None:
        """Replace snapshot and log together."""
        previous = self._log_path()
        number = self._log_number + 1
        head = json.dumps(
            {
                "last_index": snapshot.last_index,
                "last_term": snapshot.last_term,
                "membership": attrs.asdict(snapshot.membership),
                "log_number": number,
            }
        ).encode()
        records = [_record(_HARD, json.dumps(attrs.asdict(hard_state)).encode())]
        records += [_record(_ENTRY, _pack_entry(entry)) for entry in entries]
        self._replace(self._folder / f"log.{number}", b"".join(records))
        self._replace(self._folder / "snapshot", _record(1, head) + _record(2, snapshot.data))
        self._log_number = number
        if self._file is not None:
            self._file.close()
        self._file = open(self._log_path(), "ab")  # noqa: SIM115
        previous.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the files and release the folder."""
        if self._file is not None:
            self._file.close()
        self._lock.close()

    def _open_log(self, path: pathlib.Path, end: int) -> None:
        self._file = open(path, "ab")  # noqa: SIM115
        self._file.truncate(end)
        self._sync_folder()

    def _append(self, batch: list[effects.Persist]) -> None:
        items = []
        for item in batch:
            items.append((_HARD, json.dumps(attrs.asdict(item.hard_state)).encode()))
            if item.truncate_from:
                items.append((_TRUNCATE, item.truncate_from.to_bytes(8, "big")))
            items += [(_ENTRY, _pack_entry(entry)) for entry in item.entries]
        self._file.write(_pack_batch(items))
        self._file.flush()
        os.fsync(self._file.fileno())

    def _read_snapshot(self) -> effects.Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return effects.Snapshot()
        records, _ = read_records(path.read_bytes(), str(path))
        if len(records) != 2:
            raise errors.CorruptLogError(
                f"{path}: the snapshot is damaged; remove the data folder to rejoin"
            )
        head = json.loads(records[0][1:])
        self._log_number = head["log_number"]
        membership = effects.Membership(
            tuple(head["membership"]["voters"]), tuple(head["membership"]["learners"])
        )
        return effects.Snapshot(head["last_index"], head["last_term"], membership, records[1][1:])

    def _log_path(self) -> pathlib.Path:
        return self._folder / f"log.{self._log_number}"

    def _replace(self, path: pathlib.Path, data: bytes) -> None:
        self._write(lambda: self._replace_file(path, data))

    def _replace_file(self, path: pathlib.Path, data: bytes) -> None:
        temporary = path.with_name(path.name + ".tmp")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        os.fsync(descriptor)
        os.close(descriptor)

    def _write(self, action) -> None:
        try:
            action()
        except OSError as error:
            raise errors.StorageFailedError(
                f"{self._folder}: {error}; free or replace the disk"
            ) from error


class MemoryStorage:
    """Storage of a host without a disk: each start is a new replica."""

    log_bytes = 0

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return a new identity."""
        return f"{host}#{new_incarnation}"

    def recover(self) -> entry_log.RecoveredState:
        """Return the empty state."""
        return entry_log.RecoveredState()

    def check_writable(self) -> None:
        """Do nothing."""

    def persist(self, batch: list[effects.Persist]) -> None:
        """Do nothing: the replica's own memory is all there is."""

    def save_snapshot(self, hard_state, snapshot, entries) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
