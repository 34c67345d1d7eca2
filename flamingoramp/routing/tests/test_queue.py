"""Tests of the request queue."""

from __future__ import annotations

import unittest

from flamingoramp.protocol import shard_messages
from flamingoramp.routing import queue

RESERVE = shard_messages.Reserve(request_id="r", attempt=1, prompt_tokens=250_000, output_tokens=10)


def make_waiting(engine_count: int, *, has_prediction: bool) -> queue.WaitingRequest:
    """Return a waiting request, with or without a prediction of its cost."""
    return queue.WaitingRequest(
        RESERVE,
        arrived_at=0.0,
        deadline=60.0,
        length_class=queue.LengthClass.LONG if has_prediction else queue.LengthClass.SHORT,
        prefill_seconds=25.0 if has_prediction else 0.0,
        service_seconds=26.0 if has_prediction else 0.05,
        has_prediction=has_prediction,
        engine_count=engine_count,
    )


class TestWaiting(unittest.TestCase):
    """A request that arrives before any engine is known gets its full prediction later.

    Otherwise a prompt for a group of engines would count as work of a single one.
    """

    def test_update_prediction_counts_all_engines_of_group(self):
        waiting = make_waiting(1, has_prediction=False)
        waiting.update_prediction(make_waiting(3, has_prediction=True))
        self.assertEqual(waiting, make_waiting(3, has_prediction=True))
        self.assertEqual(waiting.total_prefill_seconds, 75.0)
