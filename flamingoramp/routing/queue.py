"""Requests that wait for a place: shares of workspaces, deadlines and aging."""

from __future__ import annotations

import enum

import attrs

from flamingoramp.protocol import messages

URGENT_SLACK_RATIO = 0.25
MAX_TRACKED_WORKSPACES = 10_000


class LengthClass(enum.IntEnum):
    """Classes by predicted prefill time; the lower goes first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


@attrs.define
class WaitingRequest:
    """A request in the queue; times in seconds on the owner's clock."""

    reserve: messages.Reserve
    arrived_at: float
    deadline: float
    length_class: LengthClass
    prefill_seconds: float
    service_seconds: float
    start_tag: float = 0.0
    last_reported: float = 0.0
    has_prediction: bool = True
    engine_count: int = 1

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return (self.reserve.request_id, self.reserve.attempt)

    @property
    def required_tokens(self) -> int:
        """Memory that it needs, of prompt and answer."""
        return self.reserve.prompt_tokens + self.reserve.output_tokens

    @property
    def total_prefill_seconds(self) -> float:
        """Prefill work of all engines that it takes."""
        return self.prefill_seconds * self.engine_count

    def update_prediction(self, latest: WaitingRequest) -> None:
        """Use the prediction of a later judgement."""
        self.length_class = latest.length_class
        self.prefill_seconds = latest.prefill_seconds
        self.service_seconds = latest.service_seconds
        self.engine_count = latest.engine_count
        self.has_prediction = latest.has_prediction

    def slack_seconds(self, now: float) -> float:
        """Return the time that it can still wait."""
        return self.deadline - now - self.service_seconds

    def is_urgent(self, now: float) -> bool:
        """Tell whether it must go soon to meet its deadline."""
        return self.slack_seconds(now) < URGENT_SLACK_RATIO * (self.deadline - self.arrived_at)


class WaitingQueue:
    """Waiting requests, ordered by start-time fair queueing over workspaces."""

    def __init__(self):
        self._waiting: dict[tuple[str, int], WaitingRequest] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._waiting

    def all(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return list(self._waiting.values())

    def find(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Return a waiting request."""
        return self._waiting.get(key)

    def count_workspace(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return sum(one.reserve.workspace == workspace for one in self._waiting.values())

    def add(self, waiting: WaitingRequest, weight: float) -> None:
        """Queue a request; its workspace is charged its work over its weight."""
        workspace = waiting.reserve.workspace
        start = max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
        waiting.start_tag = start
        self._finish_tags[workspace] = start + waiting.total_prefill_seconds / weight
        if len(self._finish_tags) > MAX_TRACKED_WORKSPACES:
            self._drop_idle_workspaces()
        self._waiting[waiting.key] = waiting

    def remove(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Take a request out, None if it doesn't wait."""
        return self._waiting.pop(key, None)

    def remove_granted(self, waiting: WaitingRequest) -> None:
        """Take out a request that got its place."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        del self._waiting[waiting.key]

    def in_order(self, now: float) -> list[WaitingRequest]:
        """Return the requests in the _order in which they should get places."""

        def _order(one: WaitingRequest) -> tuple[int, bool, float, float]:
            urgent = one.is_urgent(now)
            return (
                one.length_class,
                not urgent,
                one.deadline if urgent else one.start_tag,
                one.arrived_at,
            )

        return sorted(self._waiting.values(), key=_order)

    def prefill_seconds_ahead(self, length_class: LengthClass) -> float:
        """Return the seconds of prefill that wait in a class and the ones before it."""
        return sum(
            one.total_prefill_seconds
            for one in self._waiting.values()
            if one.length_class <= length_class
        )

    def _drop_idle_workspaces(self) -> None:
        self._finish_tags = {
            workspace: tag
            for workspace, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }
