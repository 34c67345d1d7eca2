"""What a daemon that is told only of itself is wired from: loop, transport, logs, metrics."""

from __future__ import annotations

import secrets
import signal
import time
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.http import messages as http_messages
from flamingoramp.http import server as http_server
from flamingoramp.runtime import clock, event_log, loop, metrics, node_settings, transport

METRICS_PATH = "/metrics"
# How often a process tells what it has used; a line in ten seconds is no load for a log.
COSTS_SECONDS = 10.0


class NodeProcess:
    """The parts of one daemon.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    role : str
        What the process is on the time line and in the logs.
    inner : str
        ``ip:port`` for other processes.
    deliver : callable
        Takes sender, message and connection of each inner message.
    log_descriptor : int
        Where log lines go.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        *,
        role: str,
        inner: str,
        deliver: Callable[[str, Any, transport.Connection], None],
        log_descriptor: int = 1,
    ):
        self.name = f"{role}-{settings.name}"
        self.settings = settings
        self.loop = loop.Loop()
        self.metrics = metrics.Metrics()
        self.log = event_log.EventLog(self.name, descriptor=log_descriptor)
        self.transport = transport.Transport(
            self.loop,
            name=self.name,
            listen=inner,
            clock=clock.HybridClock(),
            deliver=deliver,
            on_protocol_error=self.note_protocol_error,
        )
        self._started_at = self.loop.now()
        self.servers: list[http_server.Server] = []
        self._closers: list[Callable[[], None]] = []
        if settings.listen.metrics:
            self.serve(settings.listen.metrics, self._answer_metrics)
        self.loop.after_each_iteration(self.log.flush)
        self.loop.call_every(COSTS_SECONDS, self._note_costs)

    def serve(
        self, listen: str, handler: Callable[[http_server.Exchange], None], **options: Any
    ) -> http_server.Server:
        """Listen for HTTP on an address."""

        def _count(status: int) -> None:
            self.metrics.count("refused_bytes", status=str(status))

        made = http_server.Server(self.loop, listen, handler, on_refused=_count, **options)
        self.servers.append(made)
        return made

    def at_end(self, close: Callable[[], None]) -> None:
        """Have something closed after the loop has stopped."""
        self._closers.append(close)

    def wall_time(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def new_incarnation(self) -> str:
        """Return a name that no earlier start of any process had."""
        return secrets.token_hex(6)

    def note_protocol_error(self, error: errors.ProtocolError) -> None:
        """Count and log bytes of another process that can't be read."""
        self.metrics.count("protocol_errors")
        self.log.write("protocol.error", text=str(error))

    def run(self, *, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        """Serve until the loop stops; signals to stop or reload call back in the loop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda _number, _frame: self.loop.post(on_stop))
        signal.signal(signal.SIGHUP, lambda _number, _frame: self.loop.post(on_reload))
        self.serve_until_stopped()

    def serve_until_stopped(self) -> None:
        """Serve until the loop stops, then close everything."""
        try:
            self.loop.run()
        finally:
            self._note_costs()
            self.log.write("process.stopped")
            self.log.flush()
            for server in self.servers:
                server.close()
            self.transport.close()
            for close in self._closers:
                close()
            self.loop.close()

    def _note_costs(self) -> None:
        """Log and publish what the process has used since its start."""
        traffic = self.transport.traffic
        costs = {
            "processor_seconds": round(time.process_time(), 3),
            "inner_sent_bytes": traffic.sent_bytes,
            "inner_received_bytes": traffic.received_bytes,
        }
        for name, value in costs.items():
            self.metrics.set_gauge(name, value)
        seconds = round(self.loop.now() - self._started_at, 1)
        sent = dict(traffic.sent_by_type)
        self.log.write("process.costs", seconds=seconds, **costs, sent_by_type=sent)

    def _answer_metrics(self, exchange: http_server.Exchange) -> None:
        if exchange.request.path != METRICS_PATH:
            exchange.respond(http_messages.Response(404))
            return
        kind = (b"content-type", b"text/plain; version=0.0.4")
        exchange.respond(http_messages.Response(200, (kind,), self.metrics.render()))
