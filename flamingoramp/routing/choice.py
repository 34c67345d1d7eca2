"""Choice of the backend servers for a request: pure functions over the fleet."""

from __future__ import annotations

import functools
import math

import attrs

from flamingoramp.intent import declarations
from flamingoramp.membership import session_table
from flamingoramp.protocol import messages
from flamingoramp.routing import fleet as fleets
from flamingoramp.routing import queue

BACKLOG_ALLOWANCE_SECONDS = 0.1
ZONE_PENALTY_SECONDS = 0.003
LONG_CHUNK_SECONDS = 0.1
MEDIUM_PATIENCE_SECONDS = 0.5
SHORT_SHARE = 0.1
IDLE_SPILL_SHARE = 0.5
MODEL_SETS_KEPT = 1024


@attrs.frozen
class Placement:
    """Servers and memory for one request; ``prefill_seconds`` is predicted."""

    servers: tuple[messages.Announcement, ...]
    tokens: tuple[int, ...]
    prefill_seconds: float
    cached_tokens: int = 0


@attrs.frozen
class Constraints:
    """What a choice must respect.

    Parameters
    ----------
    closed : frozenset of str
        Servers that take no new work.
    drained : frozenset of str
        Servers that are kept for a request which waits for their memory; short ones may pass.
    long_servers : frozenset of str
        Servers that long prompts may use.
    """

    closed: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    long_servers: frozenset[str] = frozenset()


def long_set(
    servers: list[messages.Announcement],
    *,
    long_share: float,
    policy: declarations.PolicyDeclaration,
) -> frozenset[str]:
    """Return the servers that long prompts may use, sized from the arriving mix.

    Parameters
    ----------
    servers : list of Announcement
    long_share : float
        Share of prefill work that is long, 0 to 1.
    policy : PolicyDeclaration
    """
    count = len(servers)
    if count <= 1:
        return frozenset(server.server for server in servers)
    kept_short = min(count - 1, max(1, math.ceil(count * SHORT_SHARE * policy.short_weight)))
    wanted = round(count * long_share * 1.2)
    size = max(1, min(count - kept_short, wanted))
    ranked = sorted(
        servers,
        key=lambda server: session_table.rendezvous_score("long", server.server),
        reverse=True,
    )
    return frozenset(server.server for server in ranked[:size])


def offers(server: messages.Announcement, reserve: messages.Reserve) -> bool:
    """Tell whether a server can run a request at all."""
    if server.service != reserve.service or server.server in reserve.excluded:
        return False
    return not reserve.model or reserve.model in _loaded_names(server.models)


@functools.lru_cache(maxsize=MODEL_SETS_KEPT)
def _loaded_names(models: tuple[str, ...]) -> frozenset[str]:
    """Return the names of models that are listed as ``name@version``."""
    return frozenset(loaded.partition("@")[0] for loaded in models)


def needs_group(offering: list[messages.Announcement], need: int) -> bool:
    """Tell whether a request is larger than any single server's memory, in tokens."""
    return need > max((one.memory_tokens for one in offering), default=0) > 0


def choose_single(
    fleet: fleets.Fleet,
    servers: list[messages.Announcement],
    waiting: queue.Waiting,
    constraints: Constraints,
    policy: declarations.PolicyDeclaration,
    now: float,
) -> Placement | None:
    """Choose the server on which a request gets its first token first; None if it must wait."""
    best: tuple[float, Placement] | None = None
    need = waiting.tokens
    for server in servers:
        if not _may_use(fleet, server, waiting, constraints, need, now):
            continue
        backlog = fleet.backlog_seconds(server.server, waiting.length_class, now)
        if backlog > BACKLOG_ALLOWANCE_SECONDS:
            continue
        cached = fleet.prefixes.cached_tokens(server.server, waiting.reserve.prefix_hashes)
        prefill = fleet.prefill_seconds(server, waiting.reserve)
        cost = backlog + prefill + _side_costs(fleet, server, waiting, constraints, policy)
        if best is None or cost < best[0]:
            tokens = 0 if server.memory_tokens == 0 else need
            best = (cost, Placement((server,), (tokens,), prefill, cached))
    return best[1] if best else None


def _may_use(
    fleet: fleets.Fleet,
    server: messages.Announcement,
    waiting: queue.Waiting,
    constraints: Constraints,
    need: int,
    now: float,
) -> bool:
    name = server.server
    if name in constraints.closed:
        return False
    if name in constraints.drained and waiting.length_class is not queue.LengthClass.SHORT:
        return False
    if not offers(server, waiting.reserve) or fleet.free_slots(server) <= 0:
        return False
    if server.memory_tokens and fleet.free_tokens(server, now) < need:
        return False
    if waiting.length_class is queue.LengthClass.SHORT:
        return True
    if waiting.length_class is queue.LengthClass.LONG and fleet.runs_long(name):
        return False
    if name in constraints.long_servers or waiting.is_urgent(now):
        return True
    medium = waiting.length_class is queue.LengthClass.MEDIUM
    if medium and now - waiting.arrived > MEDIUM_PATIENCE_SECONDS:
        return not fleet.is_prefilling(name)
    return _short_side_idle(fleet, server, constraints)


def _short_side_idle(
    fleet: fleets.Fleet, server: messages.Announcement, constraints: Constraints
) -> bool:
    """Tell whether longer work may use a server of the short side, for lack of short work."""
    short_side = [
        one.announcement.server
        for one in fleet.directory.members()
        if not one.lapsed and one.announcement.server not in constraints.long_servers
    ]
    idle = [name for name in short_side if not fleet.is_prefilling(name)]
    return server.server in idle and len(idle) > max(1, len(short_side) * IDLE_SPILL_SHARE)


def _side_costs(
    fleet: fleets.Fleet,
    server: messages.Announcement,
    waiting: queue.Waiting,
    constraints: Constraints,
    policy: declarations.PolicyDeclaration,
) -> float:
    cost = 0.0 if server.zone == waiting.reserve.zone else ZONE_PENALTY_SECONDS
    # Decoding streams share the engine's steps; spread them.
    cost += server.decode_seconds * 0.1 * fleet.ledger.count_on(server.server)
    short_side = server.server not in constraints.long_servers
    match waiting.length_class:
        case queue.LengthClass.SHORT:
            if fleet.prefills_beyond(server.server, waiting.length_class):
                cost += LONG_CHUNK_SECONDS * policy.short_weight
        case queue.LengthClass.MEDIUM | queue.LengthClass.LONG:
            if short_side:
                cost += LONG_CHUNK_SECONDS * policy.short_weight
    return cost


def choose_group(
    fleet: fleets.Fleet,
    servers: list[messages.Announcement],
    waiting: queue.Waiting,
    constraints: Constraints,
    now: float,
) -> Placement | None:
    """Choose the engines that together hold a prompt; None if they aren't all free.

    The long side is left only if it could never hold the prompt.
    """
    need = waiting.tokens
    offering = [
        server
        for server in servers
        if server.server not in constraints.closed and offers(server, waiting.reserve)
    ]
    long_side = [server for server in offering if server.server in constraints.long_servers]
    if fleets.group_size(need, [server.memory_tokens for server in long_side]):
        offering = long_side
    usable = [
        server
        for server in offering
        if fleet.free_slots(server) > 0 and not fleet.runs_long(server.server)
    ]
    usable.sort(key=lambda server: (-fleet.free_tokens(server, now), server.server))
    size = fleets.group_size(need, [server.memory_tokens for server in usable])
    if not size:
        return None
    members = tuple(usable[:size])
    parts = fleets.split_tokens(need, [fleet.free_tokens(one, now) for one in members])
    if parts is None:
        return None
    rate = min(server.prefill_rate for server in members)
    return Placement(members, parts, waiting.reserve.prompt_tokens / max(rate, 1.0))


def choose_isolated(
    fleet: fleets.Fleet,
    servers: list[messages.Announcement],
    waiting: queue.Waiting,
    constraints: Constraints,
    now: float,
) -> Placement | None:
    """Choose an engine, or a group of them, on which nothing else runs."""
    need = waiting.tokens
    offering = [one for one in servers if offers(one, waiting.reserve)]
    if needs_group(offering, need):
        empty = [one for one in offering if not fleet.ledger.count_on(one.server)]
        return choose_group(fleet, empty, waiting, constraints, now)
    for server in servers:
        if server.server in constraints.closed or not offers(server, waiting.reserve):
            continue
        fits = not server.memory_tokens or server.memory_tokens >= need
        if fits and not fleet.ledger.count_on(server.server):
            tokens = need if server.memory_tokens else 0
            return Placement((server,), (tokens,), fleet.prefill_seconds(server, waiting.reserve))
    return None


def choose_to_drain(
    fleet: fleets.Fleet,
    servers: list[messages.Announcement],
    waiting: queue.Waiting,
    constraints: Constraints,
    now: float,
) -> frozenset[str]:
    """Choose the servers whose memory is kept for a request that has waited for it.

    Returns
    -------
    frozenset of str
        Empty if it waits for something else than memory.
    """
    need = waiting.tokens
    usable = [
        server
        for server in servers
        if server.server not in constraints.closed and offers(server, waiting.reserve)
    ]
    if waiting.length_class is queue.LengthClass.LONG:
        long_side = [server for server in usable if server.server in constraints.long_servers]
        if fleets.group_size(need, [server.memory_tokens for server in long_side]):
            usable = long_side
    usable.sort(key=lambda server: (-fleet.free_tokens(server, now), server.server))
    count = fleets.group_size(need, [server.memory_tokens for server in usable])
    chosen = usable[:count]
    if count == 1 and fleet.free_tokens(chosen[0], now) >= need:
        return frozenset()
    return frozenset(server.server for server in chosen)


def choose_to_empty(
    fleet: fleets.Fleet,
    servers: list[messages.Announcement],
    waiting: queue.Waiting,
    constraints: Constraints,
) -> frozenset[str]:
    """Choose the servers that are emptied for a request which must run alone."""
    usable = [
        server
        for server in servers
        if server.server not in constraints.closed and offers(server, waiting.reserve)
    ]
    usable.sort(key=lambda server: (fleet.ledger.count_on(server.server), server.server))
    need = waiting.tokens
    count = fleets.group_size(need, [server.memory_tokens for server in usable]) or 1
    return frozenset(server.server for server in usable[:count])


def choose_naive(
    servers: list[messages.Announcement], reserve: messages.Reserve
) -> Placement | None:
    """Choose by least reported load alone, as the baseline of measurements."""
    usable = [server for server in servers if offers(server, reserve)]
    if not usable:
        return None
    usable.sort(key=lambda server: (server.running, server.memory_used, server.server))
    need = reserve.prompt_tokens + reserve.output_tokens
    if not usable[0].memory_tokens:
        return Placement((usable[0],), (0,), 0.0)
    size = fleets.group_size(need, [usable[0].memory_tokens] * len(usable))
    if not size:
        return None
    members = tuple(usable[:size])
    parts = fleets.split_tokens(need, [server.memory_tokens for server in members])
    return Placement(members, parts, 0.0) if parts else None
