"""A caller's admitted request, and the state of one send of it to a backend server."""

from __future__ import annotations

from typing import Protocol

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import value_classes
from flamingoramp.backends import event_blocks
from flamingoramp.dispatch import error_boundary
from flamingoramp.http import client, exchanges
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_table

# Wait after which a refused caller should retry: about the duration of an answer.
RETRY_AFTER_SECONDS = 0.4


@attrs.frozen(eq=False, repr=False)
class AttemptTarget(value_classes.Value):
    """Backend servers that one attempt is sent to, and the load that it adds there.

    Parameters
    ----------
    server : protocol_messages.ServerRecord
        Server that answers the request.
    helpers : tuple of protocol_messages.ServerRecord
        Engines that prefill parts of the prompt for the server.
    held_tokens : tuple of int
        Tokens of memory to reserve at each helper; empty for none.
    work_items : tuple of load_table.WorkItem
        Load that the attempt adds to each server.
    predicted_seconds : float
        Predicted wait for the first event of the answer.
    risk : float
        Credit for on-time answers that the placement puts at risk, in units of
        `flamingoramp.routing.placement`.
    is_peer : bool
        Whether ``server`` is another entry, which passes the request on to a server.
    """

    server: protocol_messages.ServerRecord
    helpers: tuple[protocol_messages.ServerRecord, ...] = ()
    held_tokens: tuple[int, ...] = ()
    work_items: tuple[load_table.WorkItem, ...] = ()
    predicted_seconds: float = 0.0
    risk: float = 0.0
    is_peer: bool = False


@attrs.frozen(eq=False, repr=False)
class AdmittedRequest(value_classes.Value):
    """A caller's request that passed admission, whose answer goes to its exchange.

    ``workspace`` is empty if the request has none. ``priority`` is the rank at the engines, 0 being
    the most urgent. ``fingerprints`` are those of the content and of the shared parts of its prompt
    (`crash_evidence`). ``time_limit_seconds`` is the time from arrival to the deadline. ``rank`` is
    the declared priority of the workspace or else of the route.
    """

    exchange: exchanges.Exchange
    caller: dialects.CallerRequest
    route: traffic.Route
    service: str
    workspace: str
    priority: int | None
    fingerprints: tuple[str, ...]
    time_limit_seconds: float
    rank: int = 0


class AnswerHandler(Protocol):
    """Processes the parts of an attempt's answer."""

    def handle_head(self, attempt: Attempt, head: client.Head) -> None:
        """Process the status and headers."""

    def handle_data(self, attempt: Attempt, data: bytes) -> None:
        """Process received bytes of the body."""

    def handle_complete(self, attempt: Attempt) -> None:
        """Process the end of a complete answer."""

    def handle_failure(
        self, attempt: Attempt, failure: client.Failure, *, may_have_run: bool
    ) -> None:
        """Process a send that failed before its answer was complete."""


class Attempt:
    """One send of a request to a server; receives its answer until it is detached or cancelled.

    Parameters
    ----------
    handler : AnswerHandler
    target : AttemptTarget
    number : int
        1 for the first send of the request.
    boundary : error_boundary.ErrorBoundary
        Contains the errors of the handler.
    """

    def __init__(
        self,
        handler: AnswerHandler,
        target: AttemptTarget,
        number: int,
        boundary: error_boundary.ErrorBoundary,
    ):
        self._handler = handler
        self._boundary = boundary
        self.target = target
        self.number = number
        self.is_active = True
        self.request_handle: client.RequestHandle | None = None
        self.head: client.Head | None = None
        self.is_stream = False
        self.body: list[bytes] = []
        self.body_bytes = 0
        # Bytes of the answer that the account of the process has been told of.
        self.held_bytes = 0
        self.comment_bytes = 0
        # Whether the body of a plain answer goes to the caller as it arrives.
        self.is_relayed = False
        self.event_reader = event_blocks.EventBlockReader()
        self.sent_at = 0.0
        # Time of the last event of a stream, or of the last data of another answer.
        self.last_progress_at = 0.0
        self.event_gaps: list[float] = []
        self.event_count = 0

    def cancel(self) -> None:
        """Cancel the send, so that the server stops working on it."""
        if self.is_active:
            self.is_active = False
            if self.request_handle is not None:
                self.request_handle.cancel()

    def pause(self) -> None:
        """Receive no more of the answer until `resume`."""
        if self.is_active and self.request_handle is not None:
            self.request_handle.pause()

    def resume(self) -> None:
        """Go on after `pause`."""
        if self.is_active and self.request_handle is not None:
            self.request_handle.resume()

    def detach(self) -> None:
        """Ignore the rest of the answer without cancelling the send."""
        self.is_active = False
        if self.request_handle is not None:
            self.request_handle.discard_rest()

    def handle_head(self, head: client.Head) -> None:
        """Process the status and headers."""
        if self.is_active:
            self._boundary.run(self._handler.handle_head, self, head)

    def handle_data(self, data: bytes) -> None:
        """Process received bytes of the body."""
        if self.is_active:
            self._boundary.run(self._handler.handle_data, self, data)

    def handle_complete(self) -> None:
        """Process the end of a complete answer."""
        if self.is_active:
            self._boundary.run(self._handler.handle_complete, self)

    def handle_failure(self, failure: client.Failure, *, may_have_run: bool) -> None:
        """Process a send that failed before its answer was complete."""
        if self.is_active:
            self._boundary.run(
                lambda: self._handler.handle_failure(self, failure, may_have_run=may_have_run)
            )
