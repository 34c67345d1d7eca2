"""The replicated declaration of an operator who numbers versions: the highest one is in force."""

from __future__ import annotations

import functools
import json
import struct
import zlib

import attrs

from flamingoramp import errors
from flamingoramp.protocol import messages

KIND_DECLARE = "declare"

# A declaration that unpacks to more than this is none that a control host took.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

_VERSION = struct.Struct(">Q")


@attrs.frozen
class DeclareResult:
    """Result of a declaration: the version in force after it."""

    version: int


def encode(version: int, document: bytes) -> bytes:
    """Return the payload of a log entry."""
    return _VERSION.pack(version) + document


@functools.lru_cache(maxsize=2)
def compress(document: bytes) -> bytes:
    """Return a declaration compressed, as it goes to entries."""
    return zlib.compress(document)


def decompress(data: bytes) -> bytes:
    """Return a declaration that was compressed.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If it can't be read, or is too large.
    """
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise errors.ProtocolError("a declaration can't be unpacked") from error
    if not reader.eof:
        raise errors.ProtocolError("a declaration is cut off or too large")
    return document


class VersionedDeclarationState:
    """The newest declaration, as text, under its version."""

    def __init__(self):
        self._version = 0
        self._document = b""

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._version

    @property
    def document(self) -> bytes:
        """The declaration as it was sent."""
        return self._document

    def apply_entry(self, entry: messages.LogEntry) -> DeclareResult | None:
        """Apply a committed entry; a version that is not higher changes nothing."""
        if entry.kind != KIND_DECLARE:
            return None
        (version,) = _VERSION.unpack_from(entry.payload)
        if version > self._version:
            self._version = version
            self._document = entry.payload[_VERSION.size :]
        return DeclareResult(self._version)

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        head = json.dumps({"version": self._version}).encode()
        return struct.pack(">I", len(head)) + head + self._document

    def load(self, data: bytes) -> None:
        """Take a snapshot's state; one that is older than the committed state changes nothing."""
        if not data:
            return
        (length,) = struct.unpack_from(">I", data)
        version = json.loads(data[4 : 4 + length])["version"]
        if version > self._version:
            self._version = version
            self._document = data[4 + length :]
