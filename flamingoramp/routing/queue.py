"""Queue of the requests that wait for a backend server.

Requests are ordered by length class, urgency and fair shares of the workspaces.
"""

from __future__ import annotations

import enum

import attrs

from flamingoramp.protocol import shard_messages

URGENT_SLACK_RATIO = 0.25
MAX_TRACKED_WORKSPACE_COUNT = 10_000


class LengthClass(enum.IntEnum):
    """Classes of predicted prefill time, in order of priority."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


@attrs.define
class WaitingRequest:
    """A queued request and its predicted cost; times in seconds on the clock of the shard's owner.

    The prefill occupies ``engine_count`` engines for ``prefill_seconds``; ``service_seconds`` adds
    the decoding. ``start_tag`` is that of start-time fair queueing; ``reported_at`` is when
    the entry last reported the request as waiting.
    """

    reserve: shard_messages.Reserve
    arrived_at: float
    deadline: float
    length_class: LengthClass
    prefill_seconds: float
    service_seconds: float
    start_tag: float = 0.0
    reported_at: float = 0.0
    has_prediction: bool = True
    engine_count: int = 1

    @property
    def key(self) -> tuple[str, int]:
        """Request id and number of the attempt."""
        return (self.reserve.request_id, self.reserve.attempt)

    @property
    def required_tokens(self) -> int:
        """Memory for prompt and answer, in tokens."""
        return self.reserve.prompt_tokens + self.reserve.output_tokens

    @property
    def total_prefill_seconds(self) -> float:
        """Prefill time summed over all its engines."""
        return self.prefill_seconds * self.engine_count

    def update_prediction(self, latest: WaitingRequest) -> None:
        """Replace the predicted cost by that of a newer prediction of the same request."""
        self.length_class = latest.length_class
        self.prefill_seconds = latest.prefill_seconds
        self.service_seconds = latest.service_seconds
        self.engine_count = latest.engine_count
        self.has_prediction = latest.has_prediction

    def slack_seconds(self, now: float) -> float:
        """Return how long it can wait and still meet its deadline; negative if it can't meet it."""
        return self.deadline - now - self.service_seconds

    def is_urgent(self, now: float) -> bool:
        """Return whether less than `URGENT_SLACK_RATIO` of its time limit is left as slack."""
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
        """Return all waiting requests as a new list, in order of arrival."""
        return list(self._waiting.values())

    def find(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Return an attempt's waiting request; None if there is none."""
        return self._waiting.get(key)

    def count_workspace(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return sum(waiting.reserve.workspace == workspace for waiting in self._waiting.values())

    def add(self, waiting: WaitingRequest, weight: float) -> None:
        """Queue a request and charge its workspace the total prefill time divided by ``weight``."""
        workspace = waiting.reserve.workspace
        start = max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
        waiting.start_tag = start
        self._finish_tags[workspace] = start + waiting.total_prefill_seconds / weight
        if len(self._finish_tags) > MAX_TRACKED_WORKSPACE_COUNT:
            self._drop_idle_workspaces()
        self._waiting[waiting.key] = waiting

    def remove(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Remove a request and return it; None if it isn't queued."""
        return self._waiting.pop(key, None)

    def remove_granted(self, waiting: WaitingRequest) -> None:
        """Remove a request that is granted and advance the virtual time to its start tag."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        del self._waiting[waiting.key]

    def in_order(self, now: float) -> list[WaitingRequest]:
        """Return the requests in the order in which they should be placed.

        In a length class, urgent requests come first, by deadline, then the others by start tag.
        """

        def _sort_key(waiting: WaitingRequest) -> tuple[int, bool, float, float]:
            urgent = waiting.is_urgent(now)
            return (
                waiting.length_class,
                not urgent,
                waiting.deadline if urgent else waiting.start_tag,
                waiting.arrived_at,
            )

        return sorted(self._waiting.values(), key=_sort_key)

    def prefill_seconds_ahead(self, length_class: LengthClass) -> float:
        """Return the queued prefill time of a class and the classes of higher priority."""
        return sum(
            waiting.total_prefill_seconds
            for waiting in self._waiting.values()
            if waiting.length_class <= length_class
        )

    def _drop_idle_workspaces(self) -> None:
        self._finish_tags = {
            workspace: tag
            for workspace, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }
