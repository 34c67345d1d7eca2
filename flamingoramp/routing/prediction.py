"""Predictions of how long a request will wait and run."""

from __future__ import annotations

from flamingoramp.intent import declarations
from flamingoramp.protocol import messages
from flamingoramp.routing import choice, queue
from flamingoramp.routing import fleet as fleets

DEFAULT_SERVICE_SECONDS = 0.05
MOST_LOAD_BEFORE = 0.9


def judge(
    fleet: fleets.Fleet,
    reserve: messages.Reserve,
    policy: declarations.PolicyDeclaration,
    now: float,
) -> queue.WaitingRequest:
    """Predict a request's work and put it in its class.

    Returns
    -------
    queue.WaitingRequest
        Not ``has_prediction`` if no live server offers what it needs.
    """
    servers = [one for one in fleet.directory.live(now) if choice.offers(one, reserve)]
    prefill_seconds = min((fleet.prefill_seconds(one, reserve) for one in servers), default=0.0)
    decode = min((one.decode_seconds for one in servers), default=0.0)
    service = prefill_seconds + decode * reserve.output_tokens or DEFAULT_SERVICE_SECONDS
    return queue.WaitingRequest(
        reserve,
        arrived_at=now,
        deadline=now + reserve.remaining,
        length_class=classify(prefill_seconds, policy),
        prefill_seconds=prefill_seconds,
        service_seconds=service,
        last_reported=now,
        has_prediction=bool(servers),
        engine_count=_count_engines(servers, reserve),
    )


def _count_engines(servers: list[messages.Announcement], reserve: messages.Reserve) -> int:
    """Return how many engines a request takes at once."""
    need = reserve.prompt_tokens + reserve.output_tokens
    return fleets.group_size(need, [one.memory_tokens for one in servers]) or 1


def classify(prefill_seconds: float, policy: declarations.PolicyDeclaration) -> queue.LengthClass:
    """Return the class of a predicted prefill in seconds."""
    if prefill_seconds <= policy.short_seconds:
        return queue.LengthClass.SHORT
    if prefill_seconds < policy.long_seconds:
        return queue.LengthClass.MEDIUM
    return queue.LengthClass.LONG


def wait_seconds(
    fleet: fleets.Fleet,
    waiting_queue: queue.WaitingQueue,
    waiting: queue.WaitingRequest,
    servers: list[messages.Announcement],
    now: float,
) -> float:
    """Predict how long a request waits for its prefill to begin.

    Parameters
    ----------
    servers : list of Announcement
        Those that it may use.
    """
    length_class = waiting.length_class
    running = sum(fleet.backlog_seconds(one.server, length_class, now) for one in servers)
    return (running + waiting_queue.prefill_seconds_ahead(length_class)) / len(servers)


def late_by_seconds(
    waiting: queue.WaitingRequest, ahead: float, load_before: float, now: float
) -> float:
    """Predict by how much a request misses its deadline; negative if it meets it.

    Parameters
    ----------
    waiting : queue.WaitingRequest
    ahead : float
        Wait for its prefill to begin, in seconds, if nothing passed it.
    load_before : float
        Share of the servers' time that goes to classes which pass it, while it waits and while
        its prefill runs.
    now : float
    """
    free_share = 1 - min(load_before, MOST_LOAD_BEFORE)
    prefilled = (ahead + waiting.prefill_seconds) / free_share
    return prefilled - waiting.prefill_seconds - waiting.slack_seconds(now)
