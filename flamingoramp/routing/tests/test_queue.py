"""Tests of waiting requests."""

from __future__ import annotations

import unittest

from flamingoramp.protocol import messages
from flamingoramp.routing import queue

RESERVE = messages.Reserve(request_id="r", attempt=1, prompt_tokens=250_000, output_tokens=10)


def wait(engine_count: int, *, has_prediction: bool) -> queue.WaitingRequest:
    """Return a waiting request that takes some engines at once."""
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
    """A request that came before any engine was known is has_prediction as one that comes later."""

    def test_later_judgement_counts_all_engines_of_a_group(self):
        waiting = wait(1, has_prediction=False)
        waiting.update_prediction(wait(3, has_prediction=True))
        self.assertEqual(waiting, wait(3, has_prediction=True))
        self.assertEqual(waiting.total_prefill_seconds, 75.0)
