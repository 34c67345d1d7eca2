"""One request of a caller and the response to it, and the limits that requests have."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from flamingoramp import value_classes
from flamingoramp.http import messages

if TYPE_CHECKING:
    from flamingoramp.http import connections

# A response of which no more than this is left to send can go on; see `Exchange.on_drained`.
DRAINED_BYTES = 64 * 1024


@attrs.frozen(eq=False, repr=False)
class Limits(value_classes.Value):
    """Limits on the size and duration of requests.

    ``header_bytes`` and ``body_bytes`` limit the sizes. ``header_seconds`` limits the time until
    the header is complete, and until a new connection sends data; ``body_seconds`` that from the
    first byte of a request until its body is complete; ``idle_seconds`` that between requests.
    ``are_provisional`` tells that the declared limits aren't known yet: a request that exceeds the
    sizes may be a proper one, so it is refused with 503.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    body_seconds: float = 20.0
    idle_seconds: float = 15.0
    are_provisional: bool = False


@attrs.frozen(eq=False, repr=False)
class UndeliveredAnswer(value_classes.Value):
    """An answer whose connection was closed before all of it was passed to the kernel.

    ``request`` is the last request of the connection. ``reason`` is ``"overflow"`` if the output
    buffer was full, ``"reset"`` if the caller closed the connection, ``"stalled"`` if the caller
    took no bytes for too long, ``"memory"`` if the process held too much for its callers, and
    ``"exit"`` if this program ended.
    """

    request: messages.Request
    reason: str
    buffered_bytes: int


class Exchange:
    """One request and the response to it, which can be sent as a whole or in parts.

    ``on_disconnect`` is called if the connection is lost before the response is complete.
    ``on_drained`` is called whenever the caller has taken the response up to `DRAINED_BYTES`.
    ``on_shortage`` is called if the process holds too much: what is held back of the answer is to
    be sent or given up.
    """

    def __init__(
        self,
        connection: connections.Connection,
        request: messages.Request,
        arrived_at: float,
        receiving_seconds: float = 0.0,
    ):
        self._connection = connection
        self._request = request
        self._arrived_at = arrived_at
        self._receiving_seconds = receiving_seconds
        self._is_done = False
        self._has_started = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_shortage: Callable[[], None] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the response that are not yet passed to the kernel."""
        return self._connection.buffered_bytes

    @property
    def request(self) -> messages.Request:
        """The request."""
        return self._request

    @property
    def arrived_at(self) -> float:
        """When the complete request was parsed, in seconds of the loop's clock."""
        return self._arrived_at

    @property
    def receiving_seconds(self) -> float:
        """Time from the first byte of the request to the last one."""
        return self._receiving_seconds

    @property
    def is_done(self) -> bool:
        """Whether the response is complete or aborted, or the caller has disconnected."""
        return self._is_done

    @property
    def has_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._has_started

    def respond(self, response: messages.Response) -> None:
        """Send a complete response."""
        self.start(response.status, response.headers, length=len(response.body))
        if response.body:
            self.send(response.body)
        self.finish()

    def start(self, status: int, headers: messages.Headers, *, length: int | None = None) -> None:
        """Send the head of the response; without a length the body is sent in chunked encoding."""
        if self._is_done or self._has_started:
            return
        self._has_started = True
        self._connection.send_head(status, headers, length)

    def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        if not self._is_done:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Complete the response."""
        if not self._is_done:
            self._end()
            self._connection.finish_response()

    def hold_answer(self, size_bytes: int) -> None:
        """Account for so many more bytes of the answer that are held back, or fewer if negative.

        ``on_shortage``, of this or another exchange, may have been called on return.
        """
        if not self._is_done:
            self._connection.hold_answer(size_bytes)

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection, for a duplicate that sends the response; see `detach`."""
        return self._connection.socket

    def detach(self) -> None:
        """Leave the response to a duplicate of the socket: nothing more is read or sent here."""
        if not self._is_done:
            self._end()
            self._connection.detach()

    def abort(self) -> None:
        """Close the connection, so that the caller can't take the response for a complete one."""
        if not self._is_done:
            self._end()
            self._connection.abort()

    def mark_disconnected(self) -> None:
        """Mark the exchange as done and call ``on_disconnect``, unless it is done already."""
        if not self._is_done:
            self._end()
            if self.on_disconnect is not None:
                self.on_disconnect()

    def _end(self) -> None:
        self._is_done = True
        # Timers keep the exchange until the deadline of the request.
        self._request = without_body(self._request)


def without_body(request: messages.Request) -> messages.Request:
    """Return a request with an empty body in place of its own."""
    return attrs.evolve(request, body=b"") if request.body else request
