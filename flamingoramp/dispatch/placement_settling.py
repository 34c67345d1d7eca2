"""Wait between the placement of a long prompt and its send, in which other entries hear of it.

Entries that place long prompts at the same moment would otherwise choose the same engines (see
`routing.placement_notices`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from flamingoramp.dispatch import attempts
from flamingoramp.routing import load_table
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Placements are announced if the prefill takes one engine at least this long; a shorter one delays
# others little.
ANNOUNCED_PREFILL_SECONDS = 0.15
# Time in which notices of crossing placements arrive. It is short beside the objectives of prompts
# that take so long.
SETTLE_SECONDS = 0.015
# After a longer wait this process was suspended, and knows little of the load of the engines.
MAX_SETTLE_SECONDS = 0.5


class Announcer(Protocol):
    """Tells other entries of placements."""

    def announce(self, work_items: Sequence[load_table.WorkItem]) -> str:
        """Tell the other entries of a placement and return its id."""

    def end_placement(self, placement: str) -> bool:
        """Return whether a placement crossed another one that stays."""


class PlacementSettling:
    """Announces the placements of long prompts, and finds those that have to be made again.

    Parameters
    ----------
    loop : loops.Loop
    announcer : Announcer or None
        None if there are no other entries to tell.
    metrics : metrics_module.Metrics
    """

    def __init__(
        self, loop: loops.Loop, announcer: Announcer | None, *, metrics: metrics_module.Metrics
    ):
        self._loop = loop
        self._announcer = announcer
        self._metrics = metrics

    def begin(self, target: attempts.AttemptTarget, on_settled: Callable[[bool], None]) -> None:
        """Call back once a target is settled, at once for short prompts.

        ``on_settled`` takes whether the request has to be placed again.
        """
        if self._announcer is None or not is_long(target):
            on_settled(False)
            return
        placement_id = self._announcer.announce(target.work_items)
        self._metrics.count("placements_announced")
        began_at = self._loop.now()

        def _end() -> None:
            is_crossed = self._announcer.end_placement(placement_id)
            if is_crossed:
                self._metrics.count("placements_crossed")
            on_settled(is_crossed or self._loop.now() - began_at > MAX_SETTLE_SECONDS)

        self._loop.call_later(SETTLE_SECONDS, _end)


def is_long(target: attempts.AttemptTarget) -> bool:
    """Return whether the prompt of a target takes so much prefill that its placement is told."""
    total_seconds = sum(work.part_seconds for work in target.work_items)
    return total_seconds >= ANNOUNCED_PREFILL_SECONDS
