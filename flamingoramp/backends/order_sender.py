"""Engine orders over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable

from flamingoramp.backends import transfers
from flamingoramp.orders import reconciler
from flamingoramp.runtime import loop as loops

SILENCE_SECONDS = 5.0


class OrderSender:
    """Sends orders and reports whether engines took them.

    Parameters
    ----------
    loop : loops.Loop
    on_result : callable
        Takes the shard, the order and whether the engine accepted it.
    """

    def __init__(self, loop: loops.Loop, on_result: Callable[[str, reconciler.Order, bool], None]):
        self._transfers = transfers.TransferClient(loop)
        self._on_result = on_result

    def send(self, shard: str, order: reconciler.Order) -> None:
        """Send an order."""
        body = {
            "order_id": order.order_id,
            "fence": order.fence,
            "incarnation": order.incarnation,
            "models": list(order.models),
        }

        def _end(ending: transfers.TransferOutcome, status: int) -> None:
            accepted = ending is transfers.TransferOutcome.COMPLETE and status in (200, 202)
            self._on_result(shard, order, accepted)

        self._transfers.start(
            transfers.HttpRequest(
                url=f"{order.url}/v1/orders",
                body=json.dumps(body).encode(),
                headers=("Content-Type: application/json",),
                idle_timeout_seconds=SILENCE_SECONDS,
            ),
            on_data=lambda _data: None,
            on_end=_end,
        )
