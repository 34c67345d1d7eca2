"""Tests of waiting requests."""

from __future__ import annotations

import unittest

from flamingoramp.protocol import messages
from flamingoramp.routing import queue

RESERVE = messages.Reserve(request_id="r", attempt=1, prompt_tokens=250_000, output_tokens=10)


def wait(engines: int, *, judged: bool) -> queue.Waiting:
    """Return a waiting request that takes some engines at once."""
    return queue.Waiting(
        RESERVE,
        arrived=0.0,
        deadline=60.0,
        length_class=queue.LengthClass.LONG if judged else queue.LengthClass.SHORT,
        work=25.0 if judged else 0.0,
        service_seconds=26.0 if judged else 0.05,
        judged=judged,
        engines=engines,
    )


class TestWaiting(unittest.TestCase):
    """A request that came before any engine was known is judged as one that comes later."""

    def test_later_judgement_counts_all_engines_of_a_group(self):
        waiting = wait(1, judged=False)
        waiting.take_prediction(wait(3, judged=True))
        self.assertEqual(waiting, wait(3, judged=True))
        self.assertEqual(waiting.engine_seconds, 75.0)
