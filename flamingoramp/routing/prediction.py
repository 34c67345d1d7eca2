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
) -> queue.Waiting:
    """Predict a request's work and put it in its class.

    Returns
    -------
    queue.Waiting
        Not ``judged`` if no live server offers what it needs.
    """
    servers = [
        one for one in fleet.directory.live_announcements(now) if choice.offers(one, reserve)
    ]
    work = min((fleet.prefill_seconds(one, reserve) for one in servers), default=0.0)
    decode = min((one.decode_seconds for one in servers), default=0.0)
    service = work + decode * reserve.output_tokens or DEFAULT_SERVICE_SECONDS
    return queue.Waiting(
        reserve,
        arrived=now,
        deadline=now + reserve.remaining,
        length_class=classify(work, policy),
        work=work,
        service_seconds=service,
        listed=now,
        judged=bool(servers),
        engines=_count_engines(servers, reserve),
    )


def _count_engines(servers: list[messages.Announcement], reserve: messages.Reserve) -> int:
    """Return how many engines a request takes at once."""
    need = reserve.prompt_tokens + reserve.output_tokens
    return fleets.group_size(need, [one.memory_tokens for one in servers]) or 1


def classify(work: float, policy: declarations.PolicyDeclaration) -> queue.LengthClass:
    """Return the class of a predicted prefill in seconds."""
    if work <= policy.short_seconds:
        return queue.LengthClass.SHORT
    if work < policy.long_seconds:
        return queue.LengthClass.MEDIUM
    return queue.LengthClass.LONG


def wait_seconds(
    fleet: fleets.Fleet,
    waiting_queue: queue.WaitingQueue,
    waiting: queue.Waiting,
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
    return (running + waiting_queue.work_ahead(length_class)) / len(servers)


def late_by_seconds(waiting: queue.Waiting, ahead: float, load_before: float, now: float) -> float:
    """Predict by how much a request misses its deadline; negative if it meets it.

    Parameters
    ----------
    waiting : queue.Waiting
    ahead : float
        Wait for its prefill to begin, in seconds, if nothing passed it.
    load_before : float
        Share of the servers' time that goes to classes which pass it, while it waits and while
        its prefill runs.
    now : float
    """
    free_share = 1 - min(load_before, MOST_LOAD_BEFORE)
    prefilled = (ahead + waiting.work) / free_share
    return prefilled - waiting.work - waiting.slack(now)
