"""Requests that wait for a place: shares of workspaces, deadlines and aging."""

from __future__ import annotations

import enum

import attrs

from flamingoramp.protocol import messages

URGENT_SLACK_RATIO = 0.25
IDLE_WORKSPACES_KEPT = 10_000


class LengthClass(enum.IntEnum):
    """Classes by predicted prefill time; the lower goes first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


@attrs.define
class Waiting:
    """A request in the queue; times in seconds on the owner's clock."""

    reserve: messages.Reserve
    arrived: float
    deadline: float
    length_class: LengthClass
    work: float
    service_seconds: float
    share_tag: float = 0.0
    listed: float = 0.0
    judged: bool = True
    engines: int = 1

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return (self.reserve.request_id, self.reserve.attempt)

    @property
    def tokens(self) -> int:
        """Memory that it needs, of prompt and answer."""
        return self.reserve.prompt_tokens + self.reserve.output_tokens

    @property
    def engine_seconds(self) -> float:
        """Prefill work of all engines that it takes."""
        return self.work * self.engines

    def take_prediction(self, judged: Waiting) -> None:
        """Use the prediction of a later judgement."""
        self.length_class = judged.length_class
        self.work = judged.work
        self.service_seconds = judged.service_seconds
        self.engines = judged.engines
        self.judged = judged.judged

    def slack(self, now: float) -> float:
        """Return the time that it can still wait."""
        return self.deadline - now - self.service_seconds

    def is_urgent(self, now: float) -> bool:
        """Tell whether it must go soon to meet its deadline."""
        return self.slack(now) < URGENT_SLACK_RATIO * (self.deadline - self.arrived)


class WaitingQueue:
    """Waiting requests, ordered by start-time fair queueing over workspaces."""

    def __init__(self):
        self._waiting: dict[tuple[str, int], Waiting] = {}
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._waiting

    def all(self) -> list[Waiting]:
        """Return all waiting requests."""
        return list(self._waiting.values())

    def find(self, key: tuple[str, int]) -> Waiting | None:
        """Return a waiting request."""
        return self._waiting.get(key)

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return sum(one.reserve.workspace == workspace for one in self._waiting.values())

    def add(self, waiting: Waiting, weight: float) -> None:
        """Queue a request; its workspace is charged its work over its weight."""
        workspace = waiting.reserve.workspace
        start = max(self._virtual_time, self._tags.get(workspace, 0.0))
        waiting.share_tag = start
        self._tags[workspace] = start + waiting.engine_seconds / weight
        if len(self._tags) > IDLE_WORKSPACES_KEPT:
            self._drop_idle()
        self._waiting[waiting.key] = waiting

    def remove(self, key: tuple[str, int]) -> Waiting | None:
        """Take a request out, None if it doesn't wait."""
        return self._waiting.pop(key, None)

    def start(self, waiting: Waiting) -> None:
        """Take out a request that got its place."""
        self._virtual_time = max(self._virtual_time, waiting.share_tag)
        del self._waiting[waiting.key]

    def in_order(self, now: float) -> list[Waiting]:
        """Return the requests in the _order in which they should get places."""

        def _order(one: Waiting) -> tuple[int, bool, float, float]:
            urgent = one.is_urgent(now)
            return (
                one.length_class,
                not urgent,
                one.deadline if urgent else one.share_tag,
                one.arrived,
            )

        return sorted(self._waiting.values(), key=_order)

    def work_ahead(self, length_class: LengthClass) -> float:
        """Return the seconds of prefill that wait in a class and the ones before it."""
        return sum(
            one.engine_seconds for one in self._waiting.values() if one.length_class <= length_class
        )

    def _drop_idle(self) -> None:
        self._tags = {
            workspace: tag for workspace, tag in self._tags.items() if tag > self._virtual_time
        }
