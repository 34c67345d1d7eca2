"""Server-sent events: cutting a byte stream into events, and writing them."""

from __future__ import annotations

import json
from typing import Any

from flamingoramp import errors

LINE_LIMIT_BYTES = 4 * 1024 * 1024
HEARTBEAT_COMMENT = b": keep-alive\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class EventReader:
    """Collects bytes and returns the JSON documents of whole ``data`` lines."""

    def __init__(self):
        self._buffer = b""

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            If a line is too long or no JSON.
        """
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > LINE_LIMIT_BYTES:
            raise errors.ProtocolError(f"an event is over {LINE_LIMIT_BYTES} bytes")
        return [_parse(line[5:]) for line in lines if line.startswith(b"data:")]


def _parse(text: bytes) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise errors.ProtocolError("an event is no JSON") from error


def encode_event(document: Any) -> bytes:
    """Return one event."""
    return b"data: " + json.dumps(document).encode() + b"\n\n"
