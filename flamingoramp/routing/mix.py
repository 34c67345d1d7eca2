"""The mix of arriving work by class, newer work counting more."""

from __future__ import annotations

import math

from flamingoramp.intent import declarations
from flamingoramp.routing import queue

HALF_LIFE_SECONDS = 30.0


class Mix:
    """Engine seconds of prefill that arrived, by class, decaying."""

    def __init__(self):
        self._work = dict.fromkeys(queue.LengthClass, 0.0)
        self._counted_at = 0.0

    def count(self, waiting: queue.WaitingRequest, now: float) -> None:
        """Count a request that was admitted."""
        decay = 0.5 ** ((now - self._counted_at) / HALF_LIFE_SECONDS)
        self._work = {one: work * decay for one, work in self._work.items()}
        self._work[waiting.length_class] += waiting.total_prefill_seconds
        self._counted_at = now

    def long_share(self, policy: declarations.PolicyDeclaration) -> float:
        """Return the share of the work that the long side is made for, 0 to 1.

        Medium prompts are confined to it too, but get no room there of their own if short ones
        weigh double.
        """
        total = sum(self._work.values())
        medium_room = min(1.0, max(0.0, 2.0 - policy.short_weight))
        confined = self._work[queue.LengthClass.MEDIUM] * medium_room
        confined += self._work[queue.LengthClass.LONG]
        return confined / total if total else 0.0

    def load_before(self, length_class: queue.LengthClass, servers: int) -> float:
        """Return the share of some servers' time that goes to classes which pass this one."""
        passing = sum(work for one, work in self._work.items() if one < length_class)
        return passing * math.log(2) / HALF_LIFE_SECONDS / servers
