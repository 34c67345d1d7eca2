"""Orders that bring engines to what the declaration asks for.

Orders follow from what engines report, never from what was ordered before. Each carries the
fencing number of its owner. Engines that ignore the number get orders only when no earlier owner's
order can still arrive.
"""

from __future__ import annotations

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import messages

LOADS_AT_ONCE = 2
ANSWER_SECONDS = 60.0


@attrs.frozen
class Order:
    """An order to one engine to have models loaded."""

    order_id: str
    server: str
    incarnation: int
    url: str
    fence: int
    models: tuple[str, ...]


def wanted_models(service: declarations.ServiceDeclaration) -> tuple[str, ...]:
    """Return what engines of a service should have loaded, ``name@version`` and adapters."""
    wanted = []
    for model in service.models:
        wanted.append(f"{model.name}@{model.version}")
        wanted += [f"{adapter}@{model.version}" for adapter in model.adapters]
    return tuple(sorted(wanted))


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

    def __init__(self, *, fence: int, begun: float, flight_seconds: float):
        self._fence = fence
        self._begun = begun
        self._flight_seconds = flight_seconds
        self._pending: dict[str, tuple[Order, float]] = {}
        self._number = 0

    def decide(
        self,
        service: declarations.ServiceDeclaration,
        servers: list[messages.Announcement],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now.

        At most `LOADS_AT_ONCE` engines load at a time, so that the weight store is not overrun and
        the others go on serving.
        """
        wanted = wanted_models(service)
        self._settle(servers, wanted, now)
        orders = []
        for server in sorted(servers, key=lambda one: one.server):
            if len(self._pending) >= LOADS_AT_ONCE:
                break
            if self._may_order(server, wanted, now):
                orders.append(self._make_order(server, wanted, now))
        return orders

    def handle_result(self, order: Order, accepted: bool, now: float) -> None:
        """Take an answer in; a refused or lost order is decided anew from the next report."""
        pending = self._pending.get(order.server)
        if pending is not None and pending[0] == order and not accepted:
            del self._pending[order.server]

    def _may_order(
        self, server: messages.Announcement, wanted: tuple[str, ...], now: float
    ) -> bool:
        if server.server in self._pending or tuple(sorted(server.models)) == wanted:
            return False
        if server.highest_fence > self._fence:
            return False  # a newer owner ordered already
        return server.honours_fencing or now - self._begun >= self._flight_seconds

    def _make_order(
        self, server: messages.Announcement, wanted: tuple[str, ...], now: float
    ) -> Order:
        self._number += 1
        order = Order(
            order_id=f"{self._fence}.{self._number}",
            server=server.server,
            incarnation=server.incarnation,
            url=server.url,
            fence=self._fence,
            models=wanted,
        )
        self._pending[server.server] = (order, now)
        return order

    def _settle(
        self, servers: list[messages.Announcement], wanted: tuple[str, ...], now: float
    ) -> None:
        reported = {server.server: server for server in servers}
        for name, (order, sent) in list(self._pending.items()):
            server = reported.get(name)
            gone = server is None or server.incarnation != order.incarnation
            done = server is not None and tuple(sorted(server.models)) == order.models
            if gone or done or order.models != wanted or now - sent > ANSWER_SECONDS:
                del self._pending[name]
