"""Runtime of an entry or control daemon: event loop, transport, HTTP, logs, metrics, time line."""

from __future__ import annotations

import logging
import secrets
import socket
import time
from collections.abc import Callable
from concurrent import futures
from typing import Any

import werkzeug

from flamingoramp import errors
from flamingoramp.runtime import (
    clock,
    http_server,
    listeners,
    logs,
    loop,
    metrics,
    process_signals,
    settings,
    timeline,
    transport,
)

LOOP_CALL_TIMEOUT_SECONDS = 15.0


class Process:
    """Event loop, clock, transport, HTTP server, logger, metrics and time line of one daemon.

    Parameters
    ----------
    name : str
        Name in logs, on the time line and in messages to other processes.
    settings : settings.Settings
    internal_address : str
        ``ip:port`` that receives messages from other processes.
    http_address : str
        ``ip:port`` that serves HTTP.
    deliver : callable
        Takes sender, message and connection of each message from another process.
    respond : callable
        Takes an HTTP request and its socket. Returns the response, or None if the handler writes
        the response to the socket itself.

    Raises
    ------
    listeners.AddressUnavailableError
        If an address could not be bound for `listeners.BIND_TIMEOUT_SECONDS`.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: settings.Settings,
        internal_address: str,
        http_address: str,
        deliver: Callable[[str, Any, transport.Connection], None],
        respond: http_server.Handler,
    ):
        self.name = name
        self.settings = settings
        self.logger = logging.getLogger(name)
        internal_listener, http_listener = listeners.retry_binding(
            lambda: _open_all(internal_address, http_address), on_wait=self._log_wait
        )
        self.loop = loop.Loop()
        self.clock = clock.HybridClock()
        self.metrics = metrics.Metrics()
        self.timeline = timeline.Timeline(name, self.clock)
        self._respond = respond
        self.transport = transport.Transport(
            self.loop,
            name=name,
            listen=internal_address,
            clock=self.clock,
            deliver=deliver,
            on_protocol_error=self._handle_protocol_error,
            listener=internal_listener,
        )
        self.http = http_server.HttpServer(
            http_address,
            self._handle_request,
            max_body_bytes=settings.limits.max_body_bytes,
            on_error=self._handle_handler_error,
            listener=http_listener,
        )
        self._executor = futures.ThreadPoolExecutor(2, thread_name_prefix=name)

    def record_event(self, event: str, request: str = "", **fields: Any) -> None:
        """Count an event in the metrics and record it on the time line."""
        self.metrics.count(event.replace(".", "_") + "_events")
        self.timeline.record(event, request, **fields)

    def log_change(self, event: str, **fields: Any) -> None:
        """Log a change of state, count it in the metrics and record it on the time line."""
        logs.log_change(self.logger, event, **fields)
        self.record_event(event, **fields)

    def wall_time(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def new_incarnation(self) -> str:
        """Return a random id that no earlier start of any process had."""
        return secrets.token_hex(8)

    def call_in_loop(self, function: Callable[[], Any]) -> Any:
        """Call a function in the loop's thread and return its result.

        Raises
        ------
        TimeoutError
            The loop gave no result within `LOOP_CALL_TIMEOUT_SECONDS`.
        """
        future: futures.Future = futures.Future()

        def _call_and_resolve() -> None:
            try:
                future.set_result(function())
            except Exception as error:  # raised again in the waiting thread
                future.set_exception(error)

        self.loop.post(_call_and_resolve)
        return future.result(LOOP_CALL_TIMEOUT_SECONDS)

    def run(self, on_signal: Callable[[], None]) -> None:
        """Serve until the loop stops.

        Parameters
        ----------
        on_signal : callable
            Called in the loop's thread on SIGTERM and SIGINT.
        """
        process_signals.handle_in_loop(
            self.loop, on_stop=on_signal, on_reload=lambda: self.log_change("settings.kept")
        )
        self.serve_until_stopped()

    def serve_until_stopped(self) -> None:
        """Serve until the loop stops, then close sockets and threads."""
        server_future = self.http.start(self._executor)
        try:
            self.loop.run()
        finally:
            self.http.stop()
            server_future.result()
            self.transport.close()
            self.loop.close()
            self._executor.shutdown()

    def _log_wait(self, error: listeners.BindError, seconds: float) -> None:
        logs.log_change(
            self.logger,
            "address.unavailable",
            address=error.address,
            text=error.strerror,
            seconds=round(seconds, 1),
        )

    def _handle_request(self, request: werkzeug.Request, sock: Any) -> werkzeug.Response | None:
        match (request.method, request.path):
            case ("GET", "/metrics"):
                return werkzeug.Response(self.metrics.render(), mimetype="text/plain")
            case ("GET", "/healthz"):
                return http_server.json_response({"process": self.name, "healthy": True})
            case ("GET", "/v1/timeline"):
                return self._respond_timeline(request)
        try:
            return self._respond(request, sock)
        except errors.FlamingorampError as error:
            self.metrics.count("http_errors", code=error.code)
            raise

    def _respond_timeline(self, request: werkzeug.Request) -> werkzeug.Response:
        request_id = request.args.get("request", "")
        revision = request.args.get("revision", 0, type=int)
        events = self.call_in_loop(
            lambda: self.timeline.select(request=request_id, revision=revision)
        )
        text = timeline.to_json_lines(events)
        return werkzeug.Response(text, mimetype="application/x-ndjson")

    def _handle_protocol_error(self, error: errors.ProtocolError) -> None:
        self.metrics.count("protocol_errors")
        self.timeline.record("protocol.error", text=str(error))

    def _handle_handler_error(self, error: BaseException) -> None:
        self.metrics.count("http_faults")
        self.logger.error("a request handler failed", exc_info=error)


def _open_all(internal_address: str, http_address: str) -> tuple[socket.socket, socket.socket]:
    internal_listener = listeners.open_listener(internal_address)
    try:
        return internal_listener, listeners.open_listener(http_address)
    except listeners.BindError:
        internal_listener.close()
        raise
