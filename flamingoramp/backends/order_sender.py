"""Delivery of orders to load models to engines over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable

from flamingoramp.backends import transfers
from flamingoramp.orders import reconciler
from flamingoramp.runtime import loop as loops

IDLE_TIMEOUT_SECONDS = 5.0
# Of the answer to an order, which is empty or a small JSON object.
MAX_ANSWER_BYTES = 64 * 1024


class OrderSender:
    """Sends each order once and reports whether the engine accepted it.

    Parameters
    ----------
    loop : loops.Loop
    on_result : callable
        Called with the shard, the order and whether the engine accepted it (status 200 or 202).
        Any other status and a failed transfer count as not accepted.
    """

    def __init__(self, loop: loops.Loop, on_result: Callable[[str, reconciler.Order, bool], None]):
        self._http_client = transfers.TransferClient(loop)
        self._on_result = on_result

    def send(self, shard: str, order: reconciler.Order) -> None:
        """Start sending an order of a shard; ``on_result`` is called when the transfer ends."""
        body = {
            "order_id": order.order_id,
            "fence": order.fence,
            "incarnation": order.incarnation,
            "models": list(order.models),
        }

        def _handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            accepted = outcome is transfers.TransferOutcome.COMPLETE and status in (200, 202)
            self._on_result(shard, order, accepted)

        self._http_client.start(
            transfers.HttpRequest(
                url=f"{order.url}/v1/orders",
                body=json.dumps(body).encode(),
                headers=("Content-Type: application/json",),
                idle_timeout_seconds=IDLE_TIMEOUT_SECONDS,
                max_body_bytes=MAX_ANSWER_BYTES,
            ),
            on_data=lambda _data: None,
            on_end=_handle_end,
        )
