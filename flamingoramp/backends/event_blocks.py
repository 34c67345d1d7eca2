"""Cutting an event stream into whole events without reading what they carry."""

from __future__ import annotations

import re

import attrs

_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")


@attrs.frozen
class EventBlock:
    """One event as it came, and its id (empty if it has none)."""

    data: bytes
    event_id: str


class EventBlockReader:
    """Collects bytes and returns the events that are whole."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial(self) -> bool:
        """Whether part of an event has come in."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[EventBlock]:
        """Add received bytes."""
        self._buffer += data
        blocks = []
        start = 0
        for match in _END.finditer(self._buffer):
            text = self._buffer[start : match.end()]
            found = _ID.search(text)
            blocks.append(EventBlock(text, found[1].decode("latin-1") if found else ""))
            start = match.end()
        self._buffer = self._buffer[start:]
        return blocks
