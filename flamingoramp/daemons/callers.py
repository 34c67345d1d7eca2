"""Connections of callers whose answers an entry's task writes."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.admission import responses
from flamingoramp.backends import sse
from flamingoramp.dispatch import requests
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import stream as streams

BUFFER_LIMIT_BYTES = 64 * 1024 * 1024


@attrs.define
class _Connection:
    stream: streams.Stream
    written_at: float
    pending: list[bytes] = attrs.field(factory=list)
    begun: bool = False


class Callers:
    """All callers' connections that wait for an answer or receive one.

    Parameters
    ----------
    loop : loops.Loop
    heartbeat_seconds : float
        Pause after which a streamed answer gets a comment line.
    on_gone : callable
        Takes the id of a request whose caller went away.
    """

    def __init__(
        self, loop: loops.Loop, *, heartbeat_seconds: float, on_gone: Callable[[str], None]
    ):
        self._loop = loop
        self._heartbeat_seconds = heartbeat_seconds
        self._on_gone = on_gone
        self._connections: dict[str, _Connection] = {}
        self._finishing: set[streams.Stream] = set()
        self._touched: set[str] = set()
        loop.after_each_batch(self._flush)

    def __len__(self) -> int:
        return len(self._connections) + len(self._finishing)

    def add(self, request_id: str, sock: socket.socket) -> None:
        """Take over the connection of a request."""

        def _gone() -> None:
            self._connections.pop(request_id, None)
            self._on_gone(request_id)

        stream = streams.Stream(
            self._loop,
            sock,
            on_data=lambda _data: None,
            on_closed=_gone,
            buffer_limit=BUFFER_LIMIT_BYTES,
        )
        self._connections[request_id] = _Connection(stream, self._loop.now())

    def carry_out(self, effect: Any) -> None:
        """Write what an effect of the dispatcher asks for."""
        match effect:
            case requests.CallerBegin(spec):
                self._write(spec, responses.render_stream_head(spec))
                self._mark_begun(spec)
            case requests.CallerText(spec, text):
                self._write(spec, responses.render_text_event(spec, text))
            case requests.CallerEnd(spec, text, chunks):
                if spec.streams:
                    self._finish(spec, responses.render_stream_end(spec, chunks))
                else:
                    self._finish(spec, responses.render_complete_response(spec, text, chunks))
            case requests.CallerPlain(spec, status, content_type, body):
                self._finish(spec, responses.render_body(status, content_type, body, spec))
            case requests.CallerError(spec, error, True):
                self._finish(spec, responses.render_stream_error(error))
            case requests.CallerError(spec, error, False):
                self._finish(spec, responses.render_error(spec, error))

    def tick(self) -> None:
        """Write comment lines to streams that have been quiet."""
        now = self._loop.now()
        for request_id, connection in self._connections.items():
            quiet = now - connection.written_at > self._heartbeat_seconds
            if connection.begun and quiet:
                connection.pending.append(sse.HEARTBEAT)
                self._touched.add(request_id)
        self._finishing = {stream for stream in self._finishing if stream.is_open}

    def _mark_begun(self, spec: requests.RequestSpec) -> None:
        connection = self._connections.get(spec.request_id)
        if connection is not None:
            connection.begun = True

    def _write(self, spec: requests.RequestSpec, data: bytes) -> None:
        connection = self._connections.get(spec.request_id)
        if connection is not None:
            connection.pending.append(data)
            self._touched.add(spec.request_id)

    def _finish(self, spec: requests.RequestSpec, data: bytes) -> None:
        self._write(spec, data)
        self._flush()
        connection = self._connections.pop(spec.request_id, None)
        if connection is not None:
            connection.stream.finish()
            if connection.stream.is_open:
                self._finishing.add(connection.stream)

    def _flush(self) -> None:
        """Write all that came in one turn of the loop at once."""
        touched, self._touched = self._touched, set()
        for request_id in touched:
            connection = self._connections.get(request_id)
            if connection is None or not connection.pending:
                continue
            data = b"".join(connection.pending)
            connection.pending.clear()
            connection.written_at = self._loop.now()
            connection.stream.write(data)
