"""What all daemons have: loop, clock, transport, logs, metrics, time line and HTTP."""

from __future__ import annotations

import logging
import secrets
import signal
import time
from collections.abc import Callable
from concurrent import futures
from typing import Any

import werkzeug

from flamingoramp import errors
from flamingoramp.runtime import (
    clock,
    http_server,
    logs,
    loop,
    metrics,
    settings,
    timeline,
    transport,
)

SUBMIT_TIMEOUT_SECONDS = 15.0


class Process:
    """The parts that a daemon is wired from.

    Parameters
    ----------
    name : str
        Name on the time line and towards other processes.
    settings : settings.Settings
    internal_address : str
        ``ip:port`` for other processes.
    http_address : str
        ``ip:port`` for HTTP.
    deliver : callable
        Takes sender, message and connection of each inner message.
    respond : callable
        Takes an HTTP request and its socket.
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
        self.loop = loop.Loop()
        self.clock = clock.HybridClock()
        self.metrics = metrics.Metrics()
        self.timeline = timeline.Timeline(name, self.clock)
        self.logger = logging.getLogger(name)
        self._respond = respond
        self.transport = transport.Transport(
            self.loop,
            name=name,
            listen=internal_address,
            clock=self.clock,
            deliver=deliver,
            on_protocol_error=self._handle_protocol_error,
        )
        self.http = http_server.HttpServer(
            http_address,
            self._answer,
            max_body_bytes=settings.limits.max_body_bytes,
            on_error=self._handle_fault,
        )
        self._executor = futures.ThreadPoolExecutor(2, thread_name_prefix=name)

    def record_event(self, kind: str, request: str = "", **fields: Any) -> None:
        """Count an event and record it on the time line."""
        self.metrics.count(kind.replace(".", "_") + "_events")
        self.timeline.record(kind, request, **fields)

    def log_change(self, event: str, **fields: Any) -> None:
        """Log a change of state, count it and record it."""
        logs.log_change(self.logger, event, **fields)
        self.record_event(event, **fields)

    def wall_time(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def new_incarnation(self) -> str:
        """Return a name that no earlier start of any process had."""
        return secrets.token_hex(8)

    def call_in_loop(self, function: Callable[[], Any]) -> Any:
        """Run a function in the loop's thread and wait for its result."""
        future: futures.Future = futures.Future()

        def _run() -> None:
            try:
                future.set_result(function())
            except Exception as error:  # handed to the waiting thread
                future.set_exception(error)

        self.loop.post(_run)
        return future.result(SUBMIT_TIMEOUT_SECONDS)

    def run(self, on_signal: Callable[[], None]) -> None:
        """Serve until the loop stops; SIGTERM and SIGINT call ``on_signal`` in the loop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda _number, _frame: self.loop.post(on_signal))
        self.serve()

    def serve(self) -> None:
        """Serve until the loop stops."""
        served = self.http.start(self._executor)
        try:
            self.loop.run()
        finally:
            self.http.stop()
            served.result()
            self.transport.close()
            self.loop.close()
            self._executor.shutdown()

    def _answer(self, request: werkzeug.Request, sock: Any) -> werkzeug.Response | None:
        match (request.method, request.path):
            case ("GET", "/metrics"):
                return werkzeug.Response(self.metrics.render(), mimetype="text/plain")
            case ("GET", "/healthz"):
                return http_server.json_response({"process": self.name, "healthy": True})
            case ("GET", "/v1/timeline"):
                return self._answer_timeline(request)
        try:
            return self._respond(request, sock)
        except errors.FlamingorampError as error:
            self.metrics.count("http_errors", code=error.code)
            raise

    def _answer_timeline(self, request: werkzeug.Request) -> werkzeug.Response:
        wanted = request.args.get("request", "")
        revision = request.args.get("revision", 0, type=int)
        events = self.call_in_loop(lambda: self.timeline.select(request=wanted, revision=revision))
        text = timeline.to_json_lines(events)
        return werkzeug.Response(text, mimetype="application/x-ndjson")

    def _handle_protocol_error(self, error: errors.ProtocolError) -> None:
        self.metrics.count("protocol_errors")
        self.timeline.record("protocol.error", text=str(error))

    def _handle_fault(self, error: BaseException) -> None:
        self.metrics.count("http_faults")
        self.logger.error("a request handler failed", exc_info=error)
