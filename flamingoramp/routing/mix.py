"""Exponentially decaying sums of the admitted prefill work, by length class."""

from __future__ import annotations

import math

from flamingoramp.intent import declarations
from flamingoramp.routing import queue

HALF_LIFE_SECONDS = 30.0


class WorkloadMix:
    """Engine seconds of prefill that were admitted, by class, halved every `HALF_LIFE_SECONDS`."""

    def __init__(self):
        self._prefill_seconds = dict.fromkeys(queue.LengthClass, 0.0)
        self._updated_at = 0.0

    def count(self, waiting: queue.WaitingRequest, now: float) -> None:
        """Add an admitted request's prefill work to its class."""
        decay = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._prefill_seconds = {
            key: seconds * decay for key, seconds in self._prefill_seconds.items()
        }
        self._prefill_seconds[waiting.length_class] += waiting.total_prefill_seconds
        self._updated_at = now

    def long_ratio(self, policy: declarations.PolicyDeclaration) -> float:
        """Return the share of the work by which the long-prompt servers are sized, 0 to 1.

        Medium prompts normally run on these servers too. Their work counts in full up to a
        ``short_weight`` of 1, decreasingly above that, and not at all from a weight of 2.
        """
        total = sum(self._prefill_seconds.values())
        medium_ratio = min(1.0, max(0.0, 2.0 - policy.short_weight))
        long_server_seconds = self._prefill_seconds[queue.LengthClass.MEDIUM] * medium_ratio
        long_server_seconds += self._prefill_seconds[queue.LengthClass.LONG]
        return long_server_seconds / total if total else 0.0

    def preceding_load_ratio(self, length_class: queue.LengthClass, server_count: int) -> float:
        """Return the share of the servers' time that prefills of higher-priority classes take.

        Parameters
        ----------
        length_class : queue.LengthClass
        server_count : int
            Number of servers that share the work.
        """
        preceding_seconds = sum(
            seconds for key, seconds in self._prefill_seconds.items() if key < length_class
        )
        return preceding_seconds * math.log(2) / HALF_LIFE_SECONDS / server_count
