"""State of one send of a caller's request to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoramp.backends import event_blocks
from flamingoramp.http import client

if TYPE_CHECKING:
    from flamingoramp.dispatch import forwarding


class Attempt:
    """One send of a request to a server; receives its answer until it is detached or cancelled.

    Parameters
    ----------
    forwarder : forwarding.RequestForwarder
        Processes the parts of the answer.
    target : forwarding.AttemptTarget
    number : int
        1 for the first send of the request.
    """

    def __init__(
        self, forwarder: forwarding.RequestForwarder, target: forwarding.AttemptTarget, number: int
    ):
        self._forwarder = forwarder
        self.target = target
        self.number = number
        self.is_active = True
        self.request_handle: client.RequestHandle | None = None
        self.head: client.Head | None = None
        self.is_stream = False
        self.body: list[bytes] = []
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

    def detach(self) -> None:
        """Ignore the rest of the answer without cancelling the send."""
        self.is_active = False

    def handle_head(self, head: client.Head) -> None:
        """Process the status and headers."""
        if self.is_active:
            self._forwarder.handle_head(self, head)

    def handle_data(self, data: bytes) -> None:
        """Process received bytes of the body."""
        if self.is_active:
            self._forwarder.handle_data(self, data)

    def handle_complete(self) -> None:
        """Process the end of a complete answer."""
        if self.is_active:
            self._forwarder.handle_complete(self)

    def handle_failure(self, failure: client.Failure, *, may_have_run: bool) -> None:
        """Process a send that failed before its answer was complete."""
        if self.is_active:
            self._forwarder.handle_failure(self, failure, may_have_run=may_have_run)
