"""Orders that bring engines to what the declaration asks for.

Orders follow from what engines report, never from what was ordered before. Each carries the
fencing number of its owner. Engines that ignore the number get orders only when no earlier owner's
order can still arrive.
"""

from __future__ import annotations

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import messages

MAX_CONCURRENT_LOADS = 2
ORDER_TIMEOUT_SECONDS = 60.0


@attrs.frozen
class Order:
    """An order to one engine to have models loaded."""

    order_id: str
    server: str
    incarnation: int
    url: str
    fence: int
    models: tuple[str, ...]


def desired_models(service: declarations.ServiceDeclaration) -> tuple[str, ...]:
    """Return what engines of a service should have loaded, ``name@version`` and adapters."""
    desired = []
    for model in service.models:
        desired.append(f"{model.name}@{model.version}")
        desired += [f"{adapter}@{model.version}" for adapter in model.adapters]
    return tuple(sorted(desired))


class Reconciler:
    """Orders of one owner.

    Parameters
    ----------
    fence : int
        Generation of the ownership.
    begun : float
        When the ownership began, on the owner's clock.
    flight_seconds : float
        Time after which no order of an earlier owner can arrive any more.
    """

    def __init__(self, *, fence: int, owned_since: float, max_delivery_seconds: float):
        self._fence = fence
        self._owned_since = owned_since
        self._max_delivery_seconds = max_delivery_seconds
        self._pending: dict[str, tuple[Order, float]] = {}
        self._number = 0

    def next_orders(
        self,
        service: declarations.ServiceDeclaration,
        servers: list[messages.Announcement],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now.

        At most `LOADS_AT_ONCE` engines load at a time, so that the weight store is not overrun and
        the others go on serving.
        """
        desired = desired_models(service)
        self._remove_finished(servers, desired, now)
        orders = []
        for server in sorted(servers, key=lambda one: one.server):
            if len(self._pending) >= MAX_CONCURRENT_LOADS:
                break
            if self._should_order(server, desired, now):
                orders.append(self._make_order(server, desired, now))
        return orders

    def handle_result(self, order: Order, accepted: bool, now: float) -> None:
        """Take an answer in; a refused or lost order is decided anew from the next report."""
        pending = self._pending.get(order.server)
        if pending is not None and pending[0] == order and not accepted:
            del self._pending[order.server]

    def _should_order(
        self, server: messages.Announcement, desired: tuple[str, ...], now: float
    ) -> bool:
        if server.server in self._pending or tuple(sorted(server.models)) == desired:
            return False
        if server.highest_fence > self._fence:
            return False  # a newer owner ordered already
        return server.honours_fencing or now - self._owned_since >= self._max_delivery_seconds

    def _make_order(
        self, server: messages.Announcement, desired: tuple[str, ...], now: float
    ) -> Order:
        self._number += 1
        order = Order(
            order_id=f"{self._fence}.{self._number}",
            server=server.server,
            incarnation=server.incarnation,
            url=server.url,
            fence=self._fence,
            models=desired,
        )
        self._pending[server.server] = (order, now)
        return order

    def _remove_finished(
        self, servers: list[messages.Announcement], desired: tuple[str, ...], now: float
    ) -> None:
        reported = {server.server: server for server in servers}
        for name, (order, sent) in list(self._pending.items()):
            server = reported.get(name)
            gone = server is None or server.incarnation != order.incarnation
            done = server is not None and tuple(sorted(server.models)) == order.models
            if gone or done or order.models != desired or now - sent > ORDER_TIMEOUT_SECONDS:
                del self._pending[name]
