"""Requests that a starting entry queues until it can serve them, ordered by their deadlines."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingoramp import dialect as dialects
from flamingoramp.http import exchanges


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request in the queue.

    Parameters
    ----------
    exchange : exchanges.Exchange
    caller : dialects.CallerRequest
    deadline : float
        When the caller gives up, in monotonic seconds; infinite if the request names no time.
    """

    exchange: exchanges.Exchange
    caller: dialects.CallerRequest
    deadline: float


class StartupQueue:
    """Queue of a starting entry."""

    def __init__(self):
        self._requests: dict[exchanges.Exchange, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: QueuedRequest) -> None:
        """Add a request."""
        self._requests[request.exchange] = request

    def remove(self, exchange: exchanges.Exchange) -> bool:
        """Remove a request; return whether it was in the queue."""
        return self._requests.pop(exchange, None) is not None

    def list_requests(self) -> list[QueuedRequest]:
        """Return all requests in the order of their arrival."""
        return list(self._requests.values())

    def pop_first(
        self, is_startable: Callable[[dialects.CallerRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the startable request with the earliest deadline, or return None.

        Of requests with the same deadline, the one that arrived first is returned.
        """
        startable = [item for item in self._requests.values() if is_startable(item.caller)]
        if not startable:
            return None
        first = min(startable, key=lambda item: (item.deadline, item.exchange.arrived_at))
        del self._requests[first.exchange]
        return first
