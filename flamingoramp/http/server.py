"""HTTP server: persistent connections of callers, served by one event loop."""

from __future__ import annotations

import errno
import heapq
import math
import selectors
import socket
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.http import connections, exchanges, messages
from flamingoramp.runtime import byte_account, listeners, parse_turns
from flamingoramp.runtime import loop as loops

# Per iteration of the loop, so that many new connections at once don't delay other work.
MAX_ACCEPTS_PER_ITERATION = 64
# A server with as many connections as it may have ends those that had no request for this long.
MIN_WAIT_FOR_EVICTION_SECONDS = 0.5
# Share of its connections that a server tries to keep free for new ones, at most.
MAX_FREE_RATIO = 1 / 16
# Interval at which a process without a free descriptor tries to accept a connection again.
DESCRIPTOR_RETRY_SECONDS = 0.1
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5
CLOSING_CHECK_INTERVAL_SECONDS = 0.1
# Time for the handshakes that have begun when a stopping server refuses new connections.
HANDSHAKE_SECONDS = 0.2
# Excess connections that get a response at the same time: a share of those that a server may have,
# or some at least; further ones are closed immediately.
REFUSED_RATIO = 1 / 16
MIN_REFUSED_CONNECTIONS = 24
MAX_CONNECTIONS = 3000


class Server:
    """HTTP server on one address, which passes complete requests to a handler.

    Parameters
    ----------
    loop : loops.Loop
    listen : str
        ``ip:port``; with port 0 the system chooses a free port.
    handler : callable
        Takes an `exchanges.Exchange`.
    limits : callable
        Returns the current `exchanges.Limits`.
    on_refused : callable
        Takes the status with which an invalid request or excess connection was refused.
    on_undelivered : callable
        Takes an `exchanges.UndeliveredAnswer`.
    max_connections : callable
        Returns the maximum number of open connections, with those that end. Above it, connections
        that have had no request for some time are ended, or new ones refused with 503.
    listener : socket.socket or None
        Socket that listens on this address already; None to open one.
    on_error : callable or None
        Takes an unexpected error of the handler, or in the encoding of a response, which has ended
        that request; None to let such errors end the loop.
    on_crowded : callable
        Takes how many connections were ended or refused to keep their number within the limit, and
        whether the process lacked a descriptor.
    account : byte_account.ByteAccount or None
        What the connections charge for the bytes that they hold; None for no limit.
    make_refusal : callable
        Takes the status of a refusal and returns its response, which has no body by default.
    answers_head : bool
        Whether the handler gets HEAD requests as GET; their responses are sent without a body.
    """

    def __init__(
        self,
        loop: loops.Loop,
        listen: str,
        handler: Callable[[exchanges.Exchange], None],
        *,
        on_error: Callable[[Exception], None] | None = None,
        answers_head: bool = False,
        limits: Callable[[], exchanges.Limits] = exchanges.Limits,
        on_refused: Callable[[int], None] = lambda _status: None,
        on_undelivered: Callable[[exchanges.UndeliveredAnswer], None] = lambda _answer: None,
        on_crowded: Callable[[int, bool], None] = lambda _count, _lacks_descriptor: None,
        max_connections: Callable[[], int] = lambda: MAX_CONNECTIONS,
        listener: socket.socket | None = None,
        account: byte_account.ByteAccount | None = None,
        make_refusal: Callable[[int], messages.Response] = messages.Response,
    ):
        self.loop = loop
        self.make_refusal = make_refusal
        self.account = account or byte_account.ByteAccount(None, loop.now)
        self.parse_turns = parse_turns.ParseTurns(loop)
        self.answers_head = answers_head
        self._handler = handler
        self._limits = limits
        self._on_refused = on_refused
        self._on_undelivered = on_undelivered
        self._on_error = on_error
        self._on_crowded = on_crowded
        self._find_max_connections = max_connections
        self._max_connections = max_connections()
        self._connections: set[connections.Connection] = set()
        # Connections that are no longer read for requests, but not closed yet.
        self._ending: set[connections.Connection] = set()
        self._closing = False
        self._has_stopped_accepting = False
        self._listener: socket.socket | None = listener or listeners.open_listener(listen)
        loop.register(self._listener, selectors.EVENT_READ, self._accept)
        loop.call_every(TIMEOUT_CHECK_INTERVAL_SECONDS, self._close_timed_out)

    @property
    def address(self) -> str:
        """``ip:port`` on which the server listens."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def limits(self) -> exchanges.Limits:
        """The current limits."""
        return self._limits()

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed after the response to their current request."""
        return self._closing

    @property
    def receiving_count(self) -> int:
        """Number of connections of which part of a request, but not all of it, was received."""
        return sum(
            not connection.has_exchange and connection.is_reading
            for connection in self._connections
        )

    @property
    def undelivered_count(self) -> int:
        """Number of connections with a complete answer that is not yet passed to the kernel."""
        connections = (*self._ending, *self._connections)
        return sum(
            not connection.has_exchange and connection.is_flushing for connection in connections
        )

    @property
    def busy_count(self) -> int:
        """Number of connections that the end of the process would cut off.

        Those with a request that is expected, being received or responded to, and those whose
        caller may not have read the last response, or that the connection ends. At least 1 while
        handshakes may be in progress after `stop_accepting`.
        """
        now = self.loop.now()
        self._forget_closed()
        count = sum(connection.is_lingering(now) for connection in self._ending) + sum(
            self._has_stopped_accepting
            or connection.has_exchange
            or connection.is_reading
            or connection.is_flushing
            or connection.awaits_first_request(now)
            for connection in self._connections
        )
        awaits_handshakes = self._has_stopped_accepting and self._listener is not None
        return max(count, int(awaits_handshakes))

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Pass a complete request to the handler; an error in it fails the request, if contained.

        An answer that has begun is aborted.
        """
        if self._on_error is None:
            self._handler(exchange)
            return
        try:
            self._handler(exchange)
        except errors.InvariantViolationError:
            raise  # ends the process, whose state can't be trusted any more
        except Exception as error:
            self._on_error(error)
            if exchange.has_started:
                exchange.abort()
            else:
                exchange.respond(messages.Response(500))

    def report_error(self, error: Exception) -> None:
        """Report an error that has closed a connection.

        Raises
        ------
        Exception
            The error itself if errors are not contained.
        """
        if self._on_error is None:
            raise error
        self._on_error(error)

    def report_refusal(self, status: int) -> None:
        """Report the status of a refused request to ``on_refused``."""
        self._on_refused(status)

    def report_undelivered(self, answer: exchanges.UndeliveredAnswer) -> None:
        """Report an answer that the caller did not get as a whole to ``on_undelivered``."""
        self._on_undelivered(answer)

    def remove_connection(self, connection: connections.Connection) -> None:
        """Remove a connection that takes no more requests."""
        self._connections.discard(connection)

    def add_ending(self, connection: connections.Connection) -> None:
        """Count a finished connection as busy until its caller had time to read the end."""
        self._ending.add(connection)

    def refuse_receiving(self) -> None:
        """Refuse with 503 all requests of which a part, but not all, has arrived."""
        for connection in list(self._connections):
            if not connection.has_exchange and connection.is_reading:
                connection._refuse_request(503)

    def begin_closing(self) -> None:
        """Close each connection after the response to its current request."""
        self._closing = True

    def stop_accepting(self) -> None:
        """Stop listening, and end the connections without a request in progress.

        Connections that the kernel has accepted are served: closing the listener would reset them.
        """
        if self._listener is None or self._has_stopped_accepting:
            return
        self._has_stopped_accepting = True
        if listeners.refuse_connections(self._listener):
            self._accept_all()
            self.loop.call_later(HANDSHAKE_SECONDS, self._close_listener)
        else:
            self._close_listener()
        self._end_idle_connections()

    def close(self) -> None:
        """Stop listening and close all connections immediately."""
        if self._listener is not None:
            listeners.refuse_connections(self._listener)
        self._has_stopped_accepting = True
        self._close_listener()
        for connection in (*self._connections, *self._ending):
            connection.end_at_exit()

    def _close_listener(self) -> None:
        if self._listener is None:
            return
        self.loop.unregister(self._listener)
        self._accept_all()
        self._listener.close()
        self._listener = None

    def _accept_all(self) -> None:
        for _ in range(listeners.BACKLOG_COUNT // MAX_ACCEPTS_PER_ITERATION):
            if not self._accept_some():
                return

    def _end_idle_connections(self) -> None:
        """End idle connections now, and the others as soon as they are idle."""
        self._close_timed_out()
        for connection in list(self._connections):
            connection.close_if_idle()
        if self._connections or self._listener is not None:
            self.loop.call_later(CLOSING_CHECK_INTERVAL_SECONDS, self._end_idle_connections)

    @property
    def _open_count(self) -> int:
        return len(self._connections) + len(self._ending)

    def _forget_closed(self) -> None:
        for connection in self._ending:
            if not connection.is_open:
                self.account.remove(connection)
        self._ending = {connection for connection in self._ending if connection.is_open}

    def _accept(self, _events: Any) -> None:
        if self._listener is not None:  # closed by another callback of this iteration
            self._accept_some()

    def _accept_some(self) -> bool:
        """Accept connections; return whether more may be pending."""
        free_count = min(MAX_ACCEPTS_PER_ITERATION, self._max_connections * MAX_FREE_RATIO)
        if self._open_count + free_count > self._max_connections:
            self._forget_closed()
            self._evict_waiting(math.ceil(self._open_count + free_count - self._max_connections))
        refused_count = max(MIN_REFUSED_CONNECTIONS, self._max_connections * REFUSED_RATIO)
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._on_crowded(0, True)
                    self._pause_accepting()
                return False  # no connection is pending, or the caller closed it already
            if self._open_count < self._max_connections:
                self._connections.add(connections.Connection(self, sock))
                continue
            self._on_refused(503)
            self._on_crowded(1, False)
            if self._open_count < self._max_connections + refused_count:
                connections.Connection(self, sock).refuse(503)
            else:
                sock.close()
        return True

    def _evict_waiting(self, count: int) -> None:
        """End so many connections that have waited longest without a complete request."""
        latest = self.loop.now() - MIN_WAIT_FOR_EVICTION_SECONDS
        waiting = [
            connection
            for connection in self._connections
            if not connection.has_exchange and connection.phase_started_at < latest
        ]
        evicted = heapq.nsmallest(
            count, waiting, key=lambda connection: connection.phase_started_at
        )
        for connection in evicted:
            connection.evict()
        if evicted:
            self._on_crowded(len(evicted), False)

    def _pause_accepting(self) -> None:
        """Let new connections wait in the kernel until a descriptor may be free."""
        self.loop.modify(self._listener, 0, self._accept)
        self.loop.call_later(DESCRIPTOR_RETRY_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            self.loop.modify(self._listener, selectors.EVENT_READ, self._accept)

    def _close_timed_out(self) -> None:
        now = self.loop.now()
        self._max_connections = self._find_max_connections()
        self._forget_closed()
        for connection in list(self._connections):
            connection.close_if_timed_out(now)
