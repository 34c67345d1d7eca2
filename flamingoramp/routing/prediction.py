"""Predictions of a request's prefill time, queueing time and lateness."""

from __future__ import annotations

from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import choice, queue
from flamingoramp.routing import fleet as fleet_module

DEFAULT_SERVICE_SECONDS = 0.05
MAX_PRECEDING_LOAD_RATIO = 0.9


def predict_request(
    fleet: fleet_module.Fleet,
    reserve: shard_messages.Reserve,
    policy: declarations.PolicyDeclaration,
    now: float,
) -> queue.WaitingRequest:
    """Predict a request's prefill and service time and classify it by length.

    Returns
    -------
    queue.WaitingRequest
        ``has_prediction`` is false if no live server can serve the request.
    """
    servers = [server for server in fleet.usable_servers(now) if choice.can_serve(server, reserve)]
    prefill_seconds = min(
        (fleet.prefill_seconds(server, reserve) for server in servers), default=0.0
    )
    decode_seconds = min((server.decode_seconds for server in servers), default=0.0)
    service_seconds = (
        prefill_seconds + decode_seconds * reserve.output_tokens or DEFAULT_SERVICE_SECONDS
    )
    return queue.WaitingRequest(
        reserve,
        arrived_at=now,
        deadline=now + reserve.remaining,
        length_class=classify(prefill_seconds, policy),
        prefill_seconds=prefill_seconds,
        service_seconds=service_seconds,
        reported_at=now,
        has_prediction=bool(servers),
        engine_count=_count_engines(servers, reserve),
    )


def _count_engines(
    servers: list[shard_messages.Announcement], reserve: shard_messages.Reserve
) -> int:
    required_tokens = reserve.prompt_tokens + reserve.output_tokens
    return (
        fleet_module.group_size(required_tokens, [server.memory_tokens for server in servers]) or 1
    )


def classify(prefill_seconds: float, policy: declarations.PolicyDeclaration) -> queue.LengthClass:
    """Return the length class of a predicted prefill time, by the bounds of the policy."""
    if prefill_seconds <= policy.short_seconds:
        return queue.LengthClass.SHORT
    if prefill_seconds < policy.long_seconds:
        return queue.LengthClass.MEDIUM
    return queue.LengthClass.LONG


def predict_wait_seconds(
    fleet: fleet_module.Fleet,
    waiting_queue: queue.WaitingQueue,
    waiting: queue.WaitingRequest,
    servers: list[shard_messages.Announcement],
    now: float,
) -> float:
    """Predict how long a request waits for its prefill to begin, in seconds.

    Parameters
    ----------
    fleet : fleet.Fleet
    waiting_queue : queue.WaitingQueue
        Requests that are already waiting.
    waiting : queue.WaitingRequest
    servers : list of Announcement
        Servers that it may use.
    now : float
    """
    length_class = waiting.length_class
    running_seconds = sum(
        fleet.backlog_seconds(server.server, length_class, now) for server in servers
    )
    return (running_seconds + waiting_queue.prefill_seconds_ahead(length_class)) / len(servers)


def predict_lateness_seconds(
    waiting: queue.WaitingRequest, wait_seconds: float, preceding_load_ratio: float, now: float
) -> float:
    """Predict by how many seconds a request misses its deadline; negative if it meets it.

    Parameters
    ----------
    waiting : queue.WaitingRequest
    wait_seconds : float
        Wait for its prefill to begin if no later request overtook it.
    preceding_load_ratio : float
        Share of the servers' time that goes to requests of higher priority, while it waits and
        while its prefill runs.
    now : float
    """
    available_ratio = 1 - min(preceding_load_ratio, MAX_PRECEDING_LOAD_RATIO)
    prefill_end_seconds = (wait_seconds + waiting.prefill_seconds) / available_ratio
    return prefill_end_seconds - waiting.prefill_seconds - waiting.slack_seconds(now)
