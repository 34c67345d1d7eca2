"""Incremental splitter of server-sent event streams that keeps each event's bytes unchanged."""

from __future__ import annotations

import re

import attrs

from flamingoramp import value_classes
from flamingoramp.http import messages

# The end of a line and a blank line; the first half of a CRLF before it is not part of the match.
_BLANK_LINE = re.compile(rb"\n(?:\r\n|[\r\n])|\r\r\n?")
_LINE_ENDS = re.compile(rb"[\r\n]+")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id(?::[ ]?([^\r\n]*))?(?=[\r\n])")
_DATA_FIELD = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n])")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
MAX_BLANK_LINE_BYTES = 4
# An event holds the text of a few dozen tokens, so that some hundred bytes are usual.
MAX_EVENT_BYTES = 256 * 1024


@attrs.frozen(eq=False, repr=False)
class EventBlock(value_classes.Value):
    """One server-sent event in its received encoding.

    Parameters
    ----------
    data : bytes
        All bytes of the event, with the blank line that ends it.
    event_id : str
        Value of its ``id`` field; empty if it has none, or one that no header can hold.
    is_comment : bool
        Whether all lines are comments, which are sent to keep a connection open, or blank.
    has_data : bool
        Whether it has a ``data`` field, without which it brings a caller nothing but its id.
    """

    data: bytes
    event_id: str
    is_comment: bool
    has_data: bool


class EventBlockReader:
    """Buffers received bytes and returns the events that are complete.

    Lines end with LF, CR or both, as the format allows, and the stream may begin with a byte order
    mark.
    """

    def __init__(self):
        self._buffer = bytearray()
        # Bytes before this position hold no end of an event.
        self._searched = 0
        self._is_at_start = True
        # Whether the last event ended with a CR, which may be the first half of its line end.
        self._ended_with_cr = False

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffer holds the beginning of an incomplete event."""
        lines = bytes(self._buffer)
        if self._is_at_start:
            lines = lines.removeprefix(BYTE_ORDER_MARK)
        return bool(lines) and not (lines.endswith((b"\r", b"\n")) and _is_comment(lines))

    @property
    def rest(self) -> bytes:
        """Bytes after the last event: blank lines and comments, unless an event is incomplete."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes of the incomplete event."""
        return len(self._buffer)

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event is longer than any that an engine sends."""
        return self.incomplete_bytes > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[EventBlock]:
        """Append received bytes and return the events that they complete.

        Together with `rest`, the blocks are the received bytes. An event whose last line ends with
        a CR is complete; an LF that follows makes a block of its own.
        """
        blocks: list[EventBlock] = []
        if not data:
            return blocks
        if self._ended_with_cr and data.startswith(b"\n"):
            blocks.append(_make_block(b"\n", b"\n"))
            data = data[1:]
        self._buffer += data
        start = 0
        for end_match in _BLANK_LINE.finditer(self._buffer, self._searched):
            block = bytes(self._buffer[start : end_match.end()])
            blocks.append(_make_block(block, self._without_mark(block)))
            start = end_match.end()
        del self._buffer[:start]
        self._ended_with_cr = bool(blocks and not self._buffer and blocks[-1].data.endswith(b"\r"))
        self._searched = max(0, len(self._buffer) - MAX_BLANK_LINE_BYTES + 1)
        return blocks

    def _without_mark(self, block: bytes) -> bytes:
        """Return the lines of an event without a byte order mark, which only the first one has."""
        is_first, self._is_at_start = self._is_at_start, False
        return block.removeprefix(BYTE_ORDER_MARK) if is_first else block


def _make_block(data: bytes, lines: bytes) -> EventBlock:
    has_data = _DATA_FIELD.search(lines) is not None
    return EventBlock(
        data,
        _find_event_id(lines),
        is_comment=not has_data and _is_comment(lines),
        has_data=has_data,
    )


def _find_event_id(lines: bytes) -> str:
    """Return the id of an event, that is, the last one; one with a NUL is ignored."""
    ids = _ID_FIELD.findall(lines)
    while ids and b"\0" in ids[-1]:
        ids.pop()
    if not ids or not messages.is_field_value(ids[-1]):
        return ""
    return ids[-1].strip(b" \t").decode("latin-1")


def _is_comment(lines: bytes) -> bool:
    return all(line.startswith(b":") for line in _LINE_ENDS.split(lines) if line.strip())
