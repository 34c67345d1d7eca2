"""Wait between the placement of a long prompt and its send, in which other entries hear of it.

Entries that place long prompts at the same moment would otherwise choose the same engines (see
`routing.placement_notices`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from flamingoramp.dispatch import attempts, error_boundary
from flamingoramp.routing import load_table, placement_notices
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
        """Tell the other entries of a placement and return its id, empty if there are none."""

    def settle_placement(self, placement: str) -> placement_notices.Settlement:
        """Return what becomes of a placement; one that moves is withdrawn."""

    def withdraw_placement(self, placement: str) -> None:
        """Tell the other entries that a placement is given up."""


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

    def begin(
        self,
        target: attempts.AttemptTarget,
        on_settled: Callable[[bool], None],
        boundary: error_boundary.ErrorBoundary,
    ) -> None:
        """Call back once a target is settled, at once for short prompts.

        Parameters
        ----------
        target : attempts.AttemptTarget
        on_settled : callable
            Takes whether the request has to be placed again.
        boundary : error_boundary.ErrorBoundary
            Runs the timers of the request.
        """
        if self._announcer is None or not is_long(target):
            on_settled(False)
            return
        placement_id = self._announcer.announce(target.work_items)
        if not placement_id:
            on_settled(False)
            return
        self._metrics.count("placements_announced")
        self._wait(placement_id, on_settled, boundary, is_last=False)

    def _wait(
        self,
        placement_id: str,
        on_settled: Callable[[bool], None],
        boundary: error_boundary.ErrorBoundary,
        *,
        is_last: bool,
    ) -> None:
        """Settle a placement after a while; wait once more for others that have to move."""
        began_at = self._loop.now()

        def _settle() -> None:
            settlement = self._announcer.settle_placement(placement_id)
            was_suspended = self._loop.now() - began_at > MAX_SETTLE_SECONDS
            match settlement:
                case placement_notices.Settlement.OPEN if not (is_last or was_suspended):
                    self._wait(placement_id, on_settled, boundary, is_last=True)
                    return
                case placement_notices.Settlement.OPEN:
                    self._announcer.withdraw_placement(placement_id)
                    must_move = True
                case placement_notices.Settlement.MOVES:
                    must_move = True
                case placement_notices.Settlement.STAYS:
                    must_move = was_suspended
            if must_move:
                self._metrics.count("placements_moved")
            on_settled(must_move)

        boundary.call_later(SETTLE_SECONDS, _settle)


def is_long(target: attempts.AttemptTarget) -> bool:
    """Return whether the prompt of a target takes so much prefill that its placement is told."""
    total_seconds = sum(work.part_seconds for work in target.work_items)
    return total_seconds >= ANNOUNCED_PREFILL_SECONDS
