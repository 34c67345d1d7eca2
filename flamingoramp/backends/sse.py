"""Encoder and incremental decoder of server-sent events that carry JSON documents."""

from __future__ import annotations

import json
from typing import Any

from flamingoramp import errors

LINE_LIMIT_BYTES = 4 * 1024 * 1024
HEARTBEAT_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class EventReader:
    """Buffers received bytes and returns the JSON document of each complete ``data`` line."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes of the incomplete line."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Any]:
        """Append received bytes and return the documents that they complete.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            If an incomplete line exceeds ``LINE_LIMIT_BYTES`` or a ``data`` line is not valid JSON.
        """
        complete, separator, rest = data.rpartition(b"\n")
        lines = []
        if separator:
            lines = bytes(self._buffer + complete).split(b"\n")
            self._buffer.clear()
        self._buffer += rest
        if len(self._buffer) > LINE_LIMIT_BYTES:
            raise errors.ProtocolError(
                f"event stream has a line of more than {LINE_LIMIT_BYTES} bytes"
            )
        return [_parse(line[5:]) for line in lines if line.startswith(b"data:")]


def _parse(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise errors.ProtocolError("event stream has a data line that is not valid JSON") from error


def encode_event(document: Any) -> bytes:
    """Return a server-sent event whose ``data`` field is the document as JSON."""
    return b"data: " + json.dumps(document).encode() + b"\n\n"
