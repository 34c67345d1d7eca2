"""Replicated state machine that holds the declaration with the highest version.

The operator assigns the versions. Log, snapshots and messages hold documents as zlib data, a tenth
of their size.
"""

from __future__ import annotations

import functools
import json
import struct
import zlib
from typing import Any

import attrs

from flamingoramp import errors, value_classes
from flamingoramp.protocol import messages

KIND_DECLARE = "declare_zlib"
# Entries with uncompressed documents, in logs of earlier builds.
KIND_DECLARE_PLAIN = "declare"

# Limit on decompressed data. Control hosts accept no larger declaration, so more is corrupt data.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

_VERSION = struct.Struct(">Q")
_ZLIB_FIRST_BYTE = b"\x78"  # JSON never begins with it


@attrs.frozen(eq=False, repr=False)
class DeclareResult(value_classes.Value):
    """Result of applying a declaration: the version in force afterwards."""

    version: int


def encode(version: int, compressed: bytes) -> bytes:
    """Return the payload of a log entry: the version in 8 bytes, then the compressed document."""
    return _VERSION.pack(version) + compressed


def compress(document: bytes) -> bytes:
    """Return a document as zlib data; data that is compressed already is returned as it is."""
    return document if document[:1] == _ZLIB_FIRST_BYTE else zlib.compress(document)


def expand(data: bytes) -> bytes:
    """Return a document that may be zlib data.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the data is invalid or truncated, or the document exceeds ``MAX_DOCUMENT_BYTES``.
    """
    return decompress(data) if data[:1] == _ZLIB_FIRST_BYTE else data


@functools.lru_cache(maxsize=2)
def decompress(data: bytes) -> bytes:
    """Return the document of zlib data.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        If the data is invalid or truncated, or the document exceeds ``MAX_DOCUMENT_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise errors.ProtocolError("compressed declaration is not valid zlib data") from error
    if not decompressor.eof:
        raise errors.ProtocolError("compressed declaration is truncated or exceeds 16 MiB")
    return document


def read_snapshot_header(data: bytes) -> dict[str, Any]:
    """Return the JSON header of a snapshot."""
    (length,) = struct.unpack_from(">I", data)
    return json.loads(data[4 : 4 + length])


class VersionedDeclarationState:
    """The declaration in force, as its operator sent it, and its version."""

    def __init__(self):
        self._version = 0
        self._compressed = b""

    @property
    def version(self) -> int:
        """Version in force; 0 before the first declaration."""
        return self._version

    @property
    def document(self) -> bytes:
        """Document in force, byte for byte as sent; empty before the first declaration."""
        return decompress(self._compressed) if self._compressed else b""

    @property
    def compressed(self) -> bytes:
        """Document in force as zlib data; empty before the first declaration."""
        return self._compressed

    def apply_entry(self, entry: messages.LogEntry) -> DeclareResult | None:
        """Apply a committed log entry; a version that is not above the current one is ignored."""
        if entry.kind not in (KIND_DECLARE, KIND_DECLARE_PLAIN):
            return None
        (version,) = _VERSION.unpack_from(entry.payload)
        if version > self._version:
            self._version = version
            self._compressed = compress(entry.payload[_VERSION.size :])
        return DeclareResult(self._version)

    def dump(self, header_fields: dict[str, Any] | None = None) -> bytes:
        """Return the state for a snapshot: a length, a JSON header, the compressed document.

        ``header_fields`` are further fields of the header, which `load` ignores.
        """
        header = json.dumps({"version": self._version, **(header_fields or {})}).encode()
        return struct.pack(">I", len(header)) + header + self._compressed

    def load(self, data: bytes) -> None:
        """Restore a snapshot; one whose version is not above the current one is ignored.

        Snapshots of earlier builds hold the document uncompressed.
        """
        if not data:
            return
        version = read_snapshot_header(data)["version"]
        if version > self._version:
            (length,) = struct.unpack_from(">I", data)
            self._version = version
            document = data[4 + length :]
            self._compressed = compress(document) if document else b""
