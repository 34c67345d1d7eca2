"""File of the backend servers that a control host knows, for its next start.

Servers announce themselves about once a second to one control host each. After the loss of all
control hosts, the first servers that are known would get all the requests that wait for one.
"""

from __future__ import annotations

import os
import struct

import attrs

from flamingoramp import errors
from flamingoramp.protocol import codec, messages

# Records that were saved longer ago say too little of the servers that are up.
MAX_AGE_SECONDS = 120.0
_SAVED_AT = struct.Struct(">d")


def save(
    path: str | os.PathLike, records: tuple[messages.ServerRecord, ...], wall_time: float
) -> None:
    """Replace the file and sync it to the disk, which may block for long.

    Parameters
    ----------
    path : str or os.PathLike
    records : tuple of ServerRecord
        Records with their ages at ``wall_time``.
    wall_time : float
        Unix time in seconds.

    Raises
    ------
    OSError
        If the disk refuses the writes; the previous file is left in place.
    """
    temporary_path = f"{path}.tmp"
    data = _SAVED_AT.pack(wall_time) + codec.encode_datagram(
        messages.ClusterUpdate(servers=records)
    )
    with open(temporary_path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    folder = os.open(os.path.dirname(path), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: str | os.PathLike, wall_time: float) -> tuple[messages.ServerRecord, ...]:
    """Return the records with their present ages; none if the file is missing or too old.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the file is corrupt, or of another build.
    OSError
        If the file can't be read.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except FileNotFoundError:
        return ()
    if len(data) < _SAVED_AT.size:
        raise errors.ProtocolError(f"{path}: truncated: {len(data)} bytes")
    (saved_at,) = _SAVED_AT.unpack_from(data)
    if not abs(wall_time - saved_at) <= MAX_AGE_SECONDS:
        return ()
    update = codec.decode(data[_SAVED_AT.size :]).message
    if not isinstance(update, messages.ClusterUpdate):
        raise errors.ProtocolError(f"{path}: found a {type(update).__name__}")
    passed_seconds = max(0.0, wall_time - saved_at)
    return tuple(
        [attrs.evolve(record, age=record.age + passed_seconds) for record in update.servers]
    )
