"""Differences between two versions of a document, of which a receiver has the earlier one."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator

import attrs

from flamingoramp import errors
from flamingoramp.intent import versioned_declaration
from flamingoramp.protocol import messages

# Versions of which a sender can tell the difference to the newest one. An entry that gets its
# updates from another control host reports every 0.5 s which version it has.
MAX_KEPT_VERSIONS = 32
# Documents whose difference has more pieces are sent whole.
MAX_PIECES = 64
# After a change, the search for the next equal range begins behind this character.
_PART_END = b"}"
# Shorter ranges may be equal by chance, and what follows them isn't.
_MIN_RANGE_BYTES = 1024
_FIRST_SKIPPED_BYTES = 64
_FIRST_COMPARED_BYTES = 64


@attrs.frozen
class _EqualRange:
    """A range of bytes that both documents have."""

    start: int
    base_start: int
    length: int


def encode_delta(base_version: int, base: bytes, document: bytes) -> messages.DocumentDelta | None:
    """Return the difference from a base to a document, None if they differ too much."""
    pieces = []
    added = bytearray()
    position = 0
    for equal in _find_equal_ranges(base, document):
        added += document[position : equal.start]
        pieces.append(
            messages.DocumentPiece(equal.start - position, equal.base_start, equal.length)
        )
        position = equal.start + equal.length
        if len(pieces) > MAX_PIECES:
            return None
    added += document[position:]
    pieces.append(messages.DocumentPiece(len(document) - position))
    return messages.DocumentDelta(
        base_version, tuple(pieces), zlib.compress(added), _make_digest(document)
    )


def _find_equal_ranges(base: bytes, document: bytes) -> Iterator[_EqualRange]:
    """Yield ranges that a document shares with its base, in the order of the document."""
    equal: _EqualRange | None = _EqualRange(0, 0, _count_equal_bytes(base, 0, document, 0))
    while equal is not None:
        yield equal
        equal = _find_next_range(
            base, equal.base_start + equal.length, document, equal.start + equal.length
        )


def _find_next_range(
    base: bytes, base_position: int, document: bytes, position: int
) -> _EqualRange | None:
    """Return the next range that both documents have after a change, None if there is none.

    The distance of the places where it looks for one is doubled each time, so that the time for a
    wholly different document is short.
    """
    skipped = 0
    while True:
        start = document.find(_PART_END, position + skipped) + len(_PART_END)
        if start < len(_PART_END) or start == len(document):
            return None
        end = document.find(_PART_END, start) + len(_PART_END)
        part = document[start : end if end > start else len(document)]
        found = base.find(part, base_position)
        if found < 0:
            found = base.find(part, 0, base_position)
        if found >= 0:
            length = _count_equal_bytes(base, found, document, start)
            if length >= _MIN_RANGE_BYTES or start + length == len(document):
                skipped_part, base_part = document[position:start], base[:found][position - start :]
                before = _count_equal_bytes(base_part[::-1], 0, skipped_part[::-1], 0)
                return _EqualRange(start - before, found - before, length + before)
        skipped = 2 * skipped or _FIRST_SKIPPED_BYTES


def apply_delta(delta: messages.DocumentDelta, base: bytes) -> bytes:
    """Return the document that a difference leads to.

    Raises
    ------
    flamingoramp.errors.ProtocolError
        The result isn't the document of the sender, which had another base, or is too large.
    """
    length = sum(piece.added_length + piece.copied_length for piece in delta.pieces)
    if length > versioned_declaration.MAX_DOCUMENT_BYTES:
        raise errors.ProtocolError(f"the difference leads to a document of {length} bytes")
    added_bytes = versioned_declaration.decompress(delta.added)
    parts = []
    start = 0
    for piece in delta.pieces:
        parts.append(added_bytes[start : start + piece.added_length])
        parts.append(base[piece.offset : piece.offset + piece.copied_length])
        start += piece.added_length
    document = b"".join(parts)
    if _make_digest(document) != delta.digest:
        raise errors.ProtocolError("the difference does not lead to the document of its digest")
    return document


def _make_digest(document: bytes) -> bytes:
    return hashlib.sha256(document).digest()


def _count_equal_bytes(first: bytes, first_start: int, second: bytes, second_start: int) -> int:
    """Return the number of equal bytes from two positions on."""
    limit = min(len(first) - first_start, len(second) - second_start)
    equal = 0
    size = _FIRST_COMPARED_BYTES
    is_growing = True
    while equal < limit:
        size = min(size, limit - equal)
        start = first_start + equal
        if (
            first[start : start + size]
            == second[second_start + equal : second_start + equal + size]
        ):
            equal += size
            size = size * 2 if is_growing else max(1, size // 2)
        elif size == 1:
            break
        else:
            is_growing = False
            size //= 2
    return equal


@attrs.define
class DocumentHistory:
    """The latest versions of a document, as a sender keeps them, and differences between them."""

    _compressed_by_version: dict[int, bytes] = attrs.field(factory=dict, init=False)
    _version: int = attrs.field(default=0, init=False)
    _delta_by_base: dict[int, messages.DocumentDelta | None] = attrs.field(factory=dict, init=False)

    def add(self, version: int, compressed: bytes) -> None:
        """Add the newest version, as zlib data."""
        if version <= self._version:
            return
        self._version = version
        self._compressed_by_version[version] = compressed
        self._delta_by_base.clear()
        if len(self._compressed_by_version) > MAX_KEPT_VERSIONS:
            del self._compressed_by_version[next(iter(self._compressed_by_version))]

    def find_delta(self, base_version: int) -> messages.DocumentDelta | None:
        """Return the difference from a version to the newest; None if the whole is to be sent."""
        base = self._compressed_by_version.get(base_version)
        if base is None or base_version == self._version:
            return None
        if base_version not in self._delta_by_base:
            newest = self._compressed_by_version[self._version]
            delta = encode_delta(
                base_version,
                versioned_declaration.decompress(base),
                versioned_declaration.decompress(newest),
            )
            if delta is not None and len(delta.added) > len(newest) / 2:
                delta = None
            self._delta_by_base[base_version] = delta
        return self._delta_by_base[base_version]
