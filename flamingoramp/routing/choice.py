"""Choice of the backend servers that run a request; functions without side effects.

Requests are placed by length class. Long prompts, and normally medium ones, run only on a subset of
the servers, the long-prompt servers, so that short requests find servers without a long prefill.
"""

from __future__ import annotations

import functools
import math

import attrs

from flamingoramp.intent import declarations
from flamingoramp.membership import session_table
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import fleet as fleet_module
from flamingoramp.routing import queue

# A server that would first prefill other requests for longer isn't chosen.
MAX_BACKLOG_SECONDS = 0.1
REMOTE_ZONE_PENALTY_SECONDS = 0.003
LONG_PREFILL_PENALTY_SECONDS = 0.1
# A medium request that has waited for longer may use any server without a prefill.
MEDIUM_SPILL_WAIT_SECONDS = 0.5
# Smallest share of the servers that is kept for short prompts, at a ``short_weight`` of 1.
MIN_SHORT_SERVER_RATIO = 0.1
# Medium and long requests may use the other servers while more than this share of those has no
# prefill.
MIN_SPILL_IDLE_RATIO = 0.5
MAX_CACHED_MODEL_SET_COUNT = 1024


@attrs.frozen
class Placement:
    """Servers for one request, the tokens to reserve on each and the predicted prefill time."""

    servers: tuple[shard_messages.Announcement, ...]
    tokens: tuple[int, ...]
    prefill_seconds: float
    cached_tokens: int = 0


@attrs.frozen
class Constraints:
    """Restrictions on the servers of a request.

    Parameters
    ----------
    closed : frozenset of str
        Servers that get no new requests.
    draining : frozenset of str
        Servers whose memory is being freed for a waiting request; they still get short requests.
    long_servers : frozenset of str
        Long-prompt servers.
    """

    closed: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    long_servers: frozenset[str] = frozenset()


def long_prompt_servers(
    servers: list[shard_messages.Announcement],
    *,
    long_ratio: float,
    policy: declarations.PolicyDeclaration,
) -> frozenset[str]:
    """Return the long-prompt servers; their number follows the recent share of long prompts.

    Parameters
    ----------
    servers : list of Announcement
    long_ratio : float
        Share of prefill work that belongs on these servers, 0 to 1.
    policy : PolicyDeclaration
    """
    count = len(servers)
    if count <= 1:
        return frozenset(server.server for server in servers)
    short_count = min(
        count - 1, max(1, math.ceil(count * MIN_SHORT_SERVER_RATIO * policy.short_weight))
    )
    long_count = round(count * long_ratio * 1.2)
    size = max(1, min(count - short_count, long_count))
    ranked = sorted(
        servers,
        key=lambda server: session_table.rendezvous_score("long", server.server),
        reverse=True,
    )
    return frozenset(server.server for server in ranked[:size])


def can_serve(server: shard_messages.Announcement, reserve: shard_messages.Reserve) -> bool:
    """Return whether a server offers a request's service and model and isn't excluded by it."""
    if server.service != reserve.service or server.server in reserve.excluded:
        return False
    return not reserve.model or reserve.model in _loaded_names(server.models)


@functools.lru_cache(maxsize=MAX_CACHED_MODEL_SET_COUNT)
def _loaded_names(models: tuple[str, ...]) -> frozenset[str]:
    """Return the names of models that are listed as ``name@version``."""
    return frozenset(loaded.partition("@")[0] for loaded in models)


def needs_group(servers: list[shard_messages.Announcement], required_tokens: int) -> bool:
    """Return whether a request needs more tokens than any single server's memory holds."""
    return required_tokens > max((server.memory_tokens for server in servers), default=0) > 0


def choose_single(
    fleet: fleet_module.Fleet,
    servers: list[shard_messages.Announcement],
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    policy: declarations.PolicyDeclaration,
    now: float,
) -> Placement | None:
    """Choose the server with the lowest predicted time to first token, plus penalties.

    Returns None if the request must wait.
    """
    best: tuple[float, Placement] | None = None
    required_tokens = waiting.required_tokens
    for server in servers:
        if not _is_eligible(fleet, server, waiting, constraints, required_tokens, now):
            continue
        backlog = fleet.backlog_seconds(server.server, waiting.length_class, now)
        if backlog > MAX_BACKLOG_SECONDS:
            continue
        cached = fleet.prefixes.cached_tokens(server.server, waiting.reserve.prefix_hashes)
        prefill = fleet.prefill_seconds(server, waiting.reserve)
        cost = backlog + prefill + _penalty_seconds(fleet, server, waiting, constraints, policy)
        if best is None or cost < best[0]:
            tokens = 0 if server.memory_tokens == 0 else required_tokens
            best = (cost, Placement((server,), (tokens,), prefill, cached))
    return best[1] if best else None


def _is_eligible(
    fleet: fleet_module.Fleet,
    server: shard_messages.Announcement,
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    required_tokens: int,
    now: float,
) -> bool:
    name = server.server
    if name in constraints.closed:
        return False
    if name in constraints.draining and waiting.length_class is not queue.LengthClass.SHORT:
        return False
    if not can_serve(server, waiting.reserve) or fleet.free_slots(server) <= 0:
        return False
    if server.memory_tokens and fleet.free_tokens(server, now) < required_tokens:
        return False
    if waiting.length_class is queue.LengthClass.SHORT:
        return True
    if waiting.length_class is queue.LengthClass.LONG and fleet.is_prefilling_long(name):
        return False
    if name in constraints.long_servers or waiting.is_urgent(now):
        return True
    is_medium = waiting.length_class is queue.LengthClass.MEDIUM
    if is_medium and now - waiting.arrived_at > MEDIUM_SPILL_WAIT_SECONDS:
        return not fleet.is_prefilling(name)
    return _may_spill_to(fleet, server, constraints)


def _may_spill_to(
    fleet: fleet_module.Fleet, server: shard_messages.Announcement, constraints: Constraints
) -> bool:
    """Return whether a medium or long request may use an idle server meant for short ones."""
    short_servers = [
        member.announcement.server
        for member in fleet.directory.members()
        if not member.lapsed
        and member.announcement.zone not in fleet.evacuated_zones
        and member.announcement.server not in constraints.long_servers
    ]
    idle = [name for name in short_servers if not fleet.is_prefilling(name)]
    return server.server in idle and len(idle) > max(1, len(short_servers) * MIN_SPILL_IDLE_RATIO)


def _penalty_seconds(
    fleet: fleet_module.Fleet,
    server: shard_messages.Announcement,
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    policy: declarations.PolicyDeclaration,
) -> float:
    cost = 0.0 if server.zone == waiting.reserve.zone else REMOTE_ZONE_PENALTY_SECONDS
    # Running requests share the engine's decode steps, so prefer servers with few of them.
    cost += server.decode_seconds * 0.1 * fleet.ledger.reservation_count(server.server)
    is_short_server = server.server not in constraints.long_servers
    match waiting.length_class:
        case queue.LengthClass.SHORT:
            if fleet.is_prefilling_lower_priority(server.server, waiting.length_class):
                cost += LONG_PREFILL_PENALTY_SECONDS * policy.short_weight
        case queue.LengthClass.MEDIUM | queue.LengthClass.LONG:
            if is_short_server:
                cost += LONG_PREFILL_PENALTY_SECONDS * policy.short_weight
    return cost


def choose_group(
    fleet: fleet_module.Fleet,
    servers: list[shard_messages.Announcement],
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    now: float,
) -> Placement | None:
    """Choose the engines that together hold a prompt; None if not all of them are free.

    Servers other than the long-prompt servers are used only if those can never hold the prompt.
    """
    required_tokens = waiting.required_tokens
    capable = [
        server
        for server in servers
        if server.server not in constraints.closed and can_serve(server, waiting.reserve)
    ]
    long_capable = [server for server in capable if server.server in constraints.long_servers]
    if fleet_module.group_size(required_tokens, [server.memory_tokens for server in long_capable]):
        capable = long_capable
    usable = [
        server
        for server in capable
        if fleet.free_slots(server) > 0 and not fleet.is_prefilling_long(server.server)
    ]
    usable.sort(key=lambda server: (-fleet.free_tokens(server, now), server.server))
    size = fleet_module.group_size(required_tokens, [server.memory_tokens for server in usable])
    if not size:
        return None
    members = tuple(usable[:size])
    tokens_per_engine = fleet_module.split_tokens(
        required_tokens, [fleet.free_tokens(member, now) for member in members]
    )
    if tokens_per_engine is None:
        return None
    rate = min(server.prefill_rate for server in members)
    return Placement(members, tokens_per_engine, waiting.reserve.prompt_tokens / max(rate, 1.0))


def choose_isolated(
    fleet: fleet_module.Fleet,
    servers: list[shard_messages.Announcement],
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    now: float,
) -> Placement | None:
    """Choose an engine or a group of engines that run no other request; None if there is none."""
    required_tokens = waiting.required_tokens
    capable = [engine for engine in servers if can_serve(engine, waiting.reserve)]
    if needs_group(capable, required_tokens):
        empty = [engine for engine in capable if not fleet.ledger.reservation_count(engine.server)]
        return choose_group(fleet, empty, waiting, constraints, now)
    for server in servers:
        if server.server in constraints.closed or not can_serve(server, waiting.reserve):
            continue
        fits = not server.memory_tokens or server.memory_tokens >= required_tokens
        if fits and not fleet.ledger.reservation_count(server.server):
            tokens = required_tokens if server.memory_tokens else 0
            return Placement((server,), (tokens,), fleet.prefill_seconds(server, waiting.reserve))
    return None


def choose_to_drain(
    fleet: fleet_module.Fleet,
    servers: list[shard_messages.Announcement],
    waiting: queue.WaitingRequest,
    constraints: Constraints,
    now: float,
) -> frozenset[str]:
    """Choose the servers to drain so that their memory becomes free for a waiting request.

    Returns
    -------
    frozenset of str
        Empty if the request doesn't wait for memory.
    """
    required_tokens = waiting.required_tokens
    usable = [
        server
        for server in servers
        if server.server not in constraints.closed and can_serve(server, waiting.reserve)
    ]
    if waiting.length_class is queue.LengthClass.LONG:
        long_capable = [server for server in usable if server.server in constraints.long_servers]
        if fleet_module.group_size(
            required_tokens, [server.memory_tokens for server in long_capable]
        ):
            usable = long_capable
    usable.sort(key=lambda server: (-fleet.free_tokens(server, now), server.server))
    count = fleet_module.group_size(required_tokens, [server.memory_tokens for server in usable])
    chosen = usable[:count]
    if count == 1 and fleet.free_tokens(chosen[0], now) >= required_tokens:
        return frozenset()
    return frozenset(server.server for server in chosen)


def choose_to_empty(
    fleet: fleet_module.Fleet,
    servers: list[shard_messages.Announcement],
    waiting: queue.WaitingRequest,
    constraints: Constraints,
) -> frozenset[str]:
    """Choose the servers to empty for a request that must run alone, preferring idle ones."""
    usable = [
        server
        for server in servers
        if server.server not in constraints.closed and can_serve(server, waiting.reserve)
    ]
    usable.sort(key=lambda server: (fleet.ledger.reservation_count(server.server), server.server))
    required_tokens = waiting.required_tokens
    count = (
        fleet_module.group_size(required_tokens, [server.memory_tokens for server in usable]) or 1
    )
    return frozenset(server.server for server in usable[:count])


def choose_least_loaded(
    servers: list[shard_messages.Announcement], reserve: shard_messages.Reserve
) -> Placement | None:
    """Choose the servers that report the fewest running requests, then the least memory in use.

    This is the policy's ``naive`` selection, a baseline for benchmarks.
    """
    usable = [server for server in servers if can_serve(server, reserve)]
    if not usable:
        return None
    usable.sort(key=lambda server: (server.running, server.memory_used, server.server))
    required_tokens = reserve.prompt_tokens + reserve.output_tokens
    if not usable[0].memory_tokens:
        return Placement((usable[0],), (0,), 0.0)
    size = fleet_module.group_size(required_tokens, [usable[0].memory_tokens] * len(usable))
    if not size:
        return None
    members = tuple(usable[:size])
    tokens_per_engine = fleet_module.split_tokens(
        required_tokens, [server.memory_tokens for server in members]
    )
    return Placement(members, tokens_per_engine, 0.0) if tokens_per_engine else None
