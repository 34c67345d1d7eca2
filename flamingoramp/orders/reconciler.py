"""Orders to engines to load the models that the declaration asks for.

Orders are computed from the models that engines report, never from earlier orders. Each carries
the owner's fencing number, by which engines reject orders of earlier owners. Engines that ignore
the number get orders only once no order of an earlier owner can still arrive.
"""

from __future__ import annotations

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages

MAX_CONCURRENT_LOADS = 2
ORDER_TIMEOUT_SECONDS = 60.0


@attrs.frozen
class Order:
    """Order to one engine to load exactly these models, as ``name@version``."""

    order_id: str
    server: str
    incarnation: int
    url: str
    fence: int
    models: tuple[str, ...]


def desired_models(service: declarations.ServiceDeclaration) -> tuple[str, ...]:
    """Return the sorted models and adapters that a service declares, as ``name@version``."""
    desired = []
    for model in service.models:
        desired.append(f"{model.name}@{model.version}")
        desired += [f"{adapter}@{model.version}" for adapter in model.adapters]
    return tuple(sorted(desired))


class Reconciler:
    """Computes the orders to the engines of a shard during one ownership of it.

    Parameters
    ----------
    fence : int
        Generation of the ownership, sent as fencing number.
    owned_since : float
        When the ownership began, in seconds on the owner's clock.
    max_delivery_seconds : float
        Time after ``owned_since`` within which orders of earlier owners can still arrive; engines
        that ignore fencing get no orders during it.
    """

    def __init__(self, *, fence: int, owned_since: float, max_delivery_seconds: float):
        self._fence = fence
        self._owned_since = owned_since
        self._max_delivery_seconds = max_delivery_seconds
        self._pending_orders: dict[str, tuple[Order, float]] = {}
        self._last_order_number = 0

    def next_orders(
        self,
        service: declarations.ServiceDeclaration,
        announcements: list[shard_messages.Announcement],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now to engines whose models differ from the declaration.

        At most `MAX_CONCURRENT_LOADS` engines load at a time, so that the weight store is not
        overloaded and the other engines continue to serve.
        """
        desired = desired_models(service)
        self._remove_finished(announcements, desired, now)
        orders = []
        for announcement in sorted(announcements, key=lambda announcement: announcement.server):
            if len(self._pending_orders) >= MAX_CONCURRENT_LOADS:
                break
            if self._should_order(announcement, desired, now):
                orders.append(self._make_order(announcement, desired, now))
        return orders

    def handle_result(self, order: Order, accepted: bool, now: float) -> None:
        """Drop an order that was refused or lost; the engine's next report may lead to a new one.

        An accepted order stays pending until the engine reports its models, restarts or leaves, the
        declaration changes, or `ORDER_TIMEOUT_SECONDS` have passed.
        """
        pending = self._pending_orders.get(order.server)
        if pending is not None and pending[0] == order and not accepted:
            del self._pending_orders[order.server]

    def _should_order(
        self, announcement: shard_messages.Announcement, desired: tuple[str, ...], now: float
    ) -> bool:
        if (
            announcement.server in self._pending_orders
            or tuple(sorted(announcement.models)) == desired
        ):
            return False
        if announcement.highest_fence > self._fence:
            return False  # the engine has an order of a newer owner
        return announcement.honours_fencing or now - self._owned_since >= self._max_delivery_seconds

    def _make_order(
        self, announcement: shard_messages.Announcement, desired: tuple[str, ...], now: float
    ) -> Order:
        self._last_order_number += 1
        order = Order(
            order_id=f"{self._fence}.{self._last_order_number}",
            server=announcement.server,
            incarnation=announcement.incarnation,
            url=announcement.url,
            fence=self._fence,
            models=desired,
        )
        self._pending_orders[announcement.server] = (order, now)
        return order

    def _remove_finished(
        self, announcements: list[shard_messages.Announcement], desired: tuple[str, ...], now: float
    ) -> None:
        by_server = {announcement.server: announcement for announcement in announcements}
        for server, (order, sent_at) in list(self._pending_orders.items()):
            announcement = by_server.get(server)
            is_gone = announcement is None or announcement.incarnation != order.incarnation
            is_done = (
                announcement is not None and tuple(sorted(announcement.models)) == order.models
            )
            if (
                is_gone
                or is_done
                or order.models != desired
                or now - sent_at > ORDER_TIMEOUT_SECONDS
            ):
                del self._pending_orders[server]
