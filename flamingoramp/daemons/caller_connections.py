"""Connections of callers, to which the responses to their requests are written."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.admission import responses
from flamingoramp.backends import sse
from flamingoramp.dispatch import requests
from flamingoramp.runtime import loop as loop_module
from flamingoramp.runtime import stream as stream_module

MAX_BUFFER_BYTES = 64 * 1024 * 1024


@attrs.define
class _Connection:
    stream: stream_module.Stream
    last_write_at: float
    pending: list[bytes] = attrs.field(factory=list)
    streaming: bool = False


class CallerConnections:
    """Open connections of callers, by request id.

    Parameters
    ----------
    loop : loop_module.Loop
    heartbeat_seconds : float
        Time without a write after which a streamed response gets a comment line.
    on_disconnect : callable
        Takes the id of a request whose caller closed the connection.
    """

    def __init__(
        self,
        loop: loop_module.Loop,
        *,
        heartbeat_seconds: float,
        on_disconnect: Callable[[str], None],
    ):
        self._loop = loop
        self._heartbeat_seconds = heartbeat_seconds
        self._on_disconnect = on_disconnect
        self._connections: dict[str, _Connection] = {}
        self._closing_streams: set[stream_module.Stream] = set()
        self._ids_with_pending: set[str] = set()
        loop.after_each_iteration(self._flush_pending)

    def __len__(self) -> int:
        return len(self._connections) + len(self._closing_streams)

    def add(self, request_id: str, sock: socket.socket) -> None:
        """Add the connection of a request and take ownership of its socket."""

        def _handle_closed() -> None:
            self._connections.pop(request_id, None)
            self._on_disconnect(request_id)

        stream = stream_module.Stream(
            self._loop,
            sock,
            on_data=lambda _data: None,
            on_closed=_handle_closed,
            buffer_limit_bytes=MAX_BUFFER_BYTES,
        )
        self._connections[request_id] = _Connection(stream, self._loop.now())

    def handle_effect(self, effect: Any) -> None:
        """Write the response, or the part of one, that an effect of the dispatcher carries."""
        match effect:
            case requests.CallerBegin(spec):
                self._write(spec, responses.render_stream_head(spec))
                self._mark_streaming(spec)
            case requests.CallerText(spec, text):
                self._write(spec, responses.render_text_event(spec, text))
            case requests.CallerEnd(spec, text, chunk_count):
                if spec.streams:
                    self._finish(spec, responses.render_stream_end(spec, chunk_count))
                else:
                    self._finish(spec, responses.render_complete_response(spec, text, chunk_count))
            case requests.CallerPlain(spec, status, content_type, body):
                self._finish(spec, responses.render_body(status, content_type, body, spec))
            case requests.CallerError(spec, error, True):
                self._finish(spec, responses.render_stream_error(error))
            case requests.CallerError(spec, error, False):
                self._finish(spec, responses.render_error(spec, error))

    def tick(self) -> None:
        """Write a comment line to each streamed response that is idle, as a heartbeat."""
        now = self._loop.now()
        for request_id, connection in self._connections.items():
            idle = now - connection.last_write_at > self._heartbeat_seconds
            if connection.streaming and idle:
                connection.pending.append(sse.HEARTBEAT_COMMENT)
                self._ids_with_pending.add(request_id)
        self._closing_streams = {stream for stream in self._closing_streams if stream.is_open}

    def _mark_streaming(self, spec: requests.RequestSpec) -> None:
        connection = self._connections.get(spec.request_id)
        if connection is not None:
            connection.streaming = True

    def _write(self, spec: requests.RequestSpec, data: bytes) -> None:
        connection = self._connections.get(spec.request_id)
        if connection is not None:
            connection.pending.append(data)
            self._ids_with_pending.add(spec.request_id)

    def _finish(self, spec: requests.RequestSpec, data: bytes) -> None:
        self._write(spec, data)
        self._flush_pending()
        connection = self._connections.pop(spec.request_id, None)
        if connection is not None:
            connection.stream.close_after_flush()
            if connection.stream.is_open:
                self._closing_streams.add(connection.stream)

    def _flush_pending(self) -> None:
        """Write the pending data of each connection with a single write."""
        request_ids, self._ids_with_pending = self._ids_with_pending, set()
        for request_id in request_ids:
            connection = self._connections.get(request_id)
            if connection is None or not connection.pending:
                continue
            data = b"".join(connection.pending)
            connection.pending.clear()
            connection.last_write_at = self._loop.now()
            connection.stream.write(data)
