"""Runtime of a gateway or coordinator daemon: event loop, transport, HTTP, log and metrics.

The settings describe this host only; the daemon finds the other hosts by seed addresses.
"""

from __future__ import annotations

import collections
import os
import socket
import time
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.daemons import start_steps
from flamingoramp.http import exchanges
from flamingoramp.http import messages as http_messages
from flamingoramp.http import server as http_server
from flamingoramp.runtime import (
    byte_account,
    clock,
    event_log,
    listeners,
    loop,
    metrics,
    node_settings,
    process_end,
    process_signals,
    transport,
)

METRICS_PATH = "/metrics"
# One log line every ten seconds adds no noticeable load.
RESOURCE_USAGE_INTERVAL_SECONDS = 10.0
# Calls that have no body: checks, lookups and metrics.
BODILESS_LIMITS = exchanges.Limits(body_bytes=16 * 1024)
# Share of the connections that callers may have which each of these addresses may have.
BODILESS_CONNECTIONS_RATIO = 0.1
# A process that survives unexpected errors ends after more than so many in this time.
MAX_ERRORS = 20
ERROR_WINDOW_SECONDS = 10.0


class NodeProcess:
    """Event loop, transport, HTTP servers, log and metrics of one daemon.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    role : str
        Prefix of the name in the log and in messages to other processes.
    internal_address : str
        ``ip:port`` that accepts connections of other processes; empty for none.
    deliver : callable
        Takes sender, message and connection of each message from another process.
    log_descriptor : int
        File descriptor that log lines are written to without ``opened``.
    opened : listeners.Listeners or None
        Listening sockets that the program has opened already, and its log; those not served are
        closed.
    survives_errors : bool
        Whether the process goes on after an unexpected error of one callback: the requests of all
        other callers do. A control host must not acknowledge anything in a state that is only
        partly updated, so it ends.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        *,
        role: str,
        internal_address: str,
        deliver: Callable[[str, Any, transport.Connection], None],
        log_descriptor: int = 1,
        opened: listeners.Listeners | None = None,
        survives_errors: bool = False,
    ):
        self.name = f"{role}-{settings.name}"
        self.settings = settings
        self._listeners = opened or listeners.Listeners(
            event_log.EventLog(self.name, descriptor=log_descriptor)
        )
        self.loop = loop.Loop(on_error=self.record_error if survives_errors else None)
        self._error_times: collections.deque[float] = collections.deque()
        self.metrics = metrics.Metrics()
        self.log = self._listeners.log
        self.account = byte_account.ByteAccount(
            byte_account.limit_for(settings.machine.memory_bytes),
            self.loop.now,
            on_shortage=self._record_shortage,
            on_refusal=self._record_refusal,
        )
        self.metrics.set_gauge("held_bytes_limit", self.account.limit_bytes)
        self.start_steps = start_steps.StartSteps(self._listeners, self.log, self.metrics)
        self.transport = transport.Transport(
            self.loop,
            name=self.name,
            listen=internal_address,
            clock=clock.HybridClock(),
            deliver=deliver,
            on_protocol_error=self.record_protocol_error,
            listener=self._listeners.take(internal_address) if internal_address else None,
            account=self.account,
        )
        self._started_at = self.loop.now()
        self.servers: list[http_server.Server] = []
        self._cleanups: list[Callable[[], None]] = []
        if settings.listen.metrics:
            self.serve_bodiless(settings.listen.metrics, self._handle_metrics_request)
        self.loop.call_every(RESOURCE_USAGE_INTERVAL_SECONDS, self._record_resource_usage)

    def serve(
        self, listen: str, handler: Callable[[exchanges.Exchange], None], **options: Any
    ) -> http_server.Server:
        """Serve HTTP on an ``ip:port``; ``options`` are those of `http_server.Server`.

        Unexpected errors in the handler fail their request only. A handler that changes state which
        such an error may leave half changed stops the loop itself.
        """

        def _count_refused(status: int) -> None:
            self.metrics.count("refused_bytes", status=str(status))

        def _record_crowd(count: int, lacks_descriptor: bool) -> None:
            self.metrics.count("crowded_connections", count)
            self.log.write(
                "connections.crowded",
                listen=listen,
                connections=count,
                lacks_descriptor=lacks_descriptor,
            )

        server = http_server.Server(
            self.loop,
            listen,
            handler,
            on_refused=_count_refused,
            on_error=self.record_contained_error,
            listener=self._listeners.take(listen),
            account=self.account,
            on_crowded=_record_crowd,
            **{"max_connections": listeners.count_caller_descriptors, **options},
        )
        self.servers.append(server)
        return server

    def serve_bodiless(
        self, listen: str, handler: Callable[[exchanges.Exchange], None]
    ) -> http_server.Server:
        """Serve calls that have no body, on a smaller share of the connections."""

        def _count_connections() -> int:
            return max(1, int(listeners.count_caller_descriptors() * BODILESS_CONNECTIONS_RATIO))

        return self.serve(
            listen,
            handler,
            answers_head=True,
            limits=lambda: BODILESS_LIMITS,
            max_connections=_count_connections,
        )

    def take_datagram_socket(self, address: str) -> socket.socket:
        """Return a datagram socket that is bound to an ``ip:port``."""
        return self._listeners.take_datagram_socket(address)

    def add_cleanup(self, cleanup: Callable[[], None]) -> None:
        """Add a function that is called after the loop has stopped."""
        self._cleanups.append(cleanup)

    def wall_time(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def new_incarnation(self) -> str:
        """Return a random id that no earlier start of any process had."""
        return os.urandom(6).hex()

    def record_protocol_error(self, error: errors.ProtocolError) -> None:
        """Count and log bytes from another process that could not be decoded."""
        self.metrics.count("protocol_errors")
        self.log.write("protocol.error", text=str(error))

    def record_error(self, error: Exception) -> None:
        """Count and log an unexpected error of one callback.

        Raises
        ------
        Exception
            The error itself after more than `MAX_ERRORS` within `ERROR_WINDOW_SECONDS`: the cause
            persists, and a new start may remove it.
        """
        now = self.loop.now()
        while self._error_times and now - self._error_times[0] > ERROR_WINDOW_SECONDS:
            self._error_times.popleft()
        self._error_times.append(now)
        self._log_error(error, contained=False)
        if len(self._error_times) > MAX_ERRORS:
            raise error

    def record_contained_error(self, error: Exception) -> None:
        """Count and log an unexpected error that ended one request, and nothing else.

        However many there are, a new start would end the requests of others, too.
        """
        self._log_error(error, contained=True)

    def _log_error(self, error: Exception, *, contained: bool) -> None:
        self.metrics.count("unexpected_errors", type=type(error).__name__)
        # Imported on first use, since the import would delay the start of the process.
        import traceback

        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{os.path.basename(frame.filename)}:{frame.lineno}"
        self.log.write(
            "process.error",
            type=type(error).__name__,
            text=str(error),
            place=place,
            contained=contained,
        )

    def run(self, *, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        """Serve until the loop stops.

        Parameters
        ----------
        on_stop : callable
            Called in the loop's thread on SIGTERM and SIGINT.
        on_reload : callable
            Called in the loop's thread on SIGHUP.
        """
        process_signals.handle_in_loop(self.loop, on_stop=on_stop, on_reload=on_reload)
        self.serve_until_stopped()
        self.log.write("process.stopped")
        process_end.log_stop(self.log)
        # The interpreter's shutdown would take a tenth of a second of processor time.
        os._exit(process_end.STOPPED_STATUS)

    def serve_until_stopped(self) -> None:
        """Serve until the loop stops, then close servers, transport, cleanups and loop."""
        self._listeners.close()
        self.start_steps.record_listening()
        # After all other hooks, so that no line waits for the next iteration.
        self.loop.after_each_iteration(self.log.flush)
        try:
            self.loop.run()
        finally:
            self._record_resource_usage()
            self.log.flush()
            for server in self.servers:
                server.close()
            self.transport.close()
            for cleanup in self._cleanups:
                cleanup()
            self.loop.close()

    def _record_refusal(self, refusal: byte_account.Refusal) -> None:
        """Count and log a request that there was no memory for."""
        self.metrics.count("held_bytes_refusals")
        self.log.write(
            "memory.refused",
            bytes=refusal.size_bytes,
            in_use=refusal.in_use_bytes,
            limit=self.account.limit_bytes,
        )

    def _record_shortage(self, shortage: byte_account.Shortage) -> None:
        """Count and log that more was held for others than the memory allows."""
        self.metrics.count("held_bytes_shortages")
        self.metrics.count("held_bytes_given_up", shortage.freed_bytes)
        self.log.write(
            "memory.given_up",
            held=shortage.held_bytes,
            limit=self.account.limit_bytes,
            freed=shortage.freed_bytes,
            connections=shortage.holders,
            largest=shortage.largest_bytes,
            longest=round(shortage.longest_seconds, 2),
        )

    def _record_resource_usage(self) -> None:
        """Log and export processor time, memory and traffic since the start of the process."""
        traffic = self.transport.traffic
        usage = {
            "held_bytes": self.account.held_bytes,
            "processor_seconds": round(time.process_time(), 3),
            "inner_sent_bytes": traffic.sent_bytes,
            "inner_received_bytes": traffic.received_bytes,
        }
        for name, value in usage.items():
            self.metrics.set_gauge(name, value)
        seconds = round(self.loop.now() - self._started_at, 1)
        sent = dict(traffic.sent_bytes_by_type)
        self.log.write("process.costs", seconds=seconds, **usage, sent_by_type=sent)

    def _handle_metrics_request(self, exchange: exchanges.Exchange) -> None:
        if exchange.request.path != METRICS_PATH:
            exchange.respond(http_messages.Response(404))
            return
        if exchange.request.method != b"GET":
            exchange.respond(http_messages.Response(405, ((b"allow", b"GET, HEAD"),)))
            return
        content_type = (b"content-type", b"text/plain; version=0.0.4")
        exchange.respond(http_messages.Response(200, (content_type,), self.metrics.render()))
