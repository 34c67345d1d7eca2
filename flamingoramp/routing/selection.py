"""Selection of the backend servers of an attempt, from what this entry knows at the moment.

Services with an engine model are placed by `placement`; for all others, the server with the fewest
requests is selected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Container

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import attempts
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import contention, load_table, observations, placement, statements

# A server of another zone is treated like one of this zone with this many more requests.
OTHER_ZONE_COST_REQUESTS = 0.5
# Callers are assumed to close a stream that sends nothing for the longest of this time and these
# multiples of the first-token objective and of the pause objective; the platform's callers do so.
MIN_FIRST_TOKEN_TIMEOUT_SECONDS = 2.0
FIRST_TOKEN_TIMEOUT_OBJECTIVE_RATIO = 4.0
FIRST_TOKEN_TIMEOUT_PAUSE_RATIO = 8.0
# Time until an entry knows of a request that another one has sent: with reports of each entry, and
# with summaries of availability zones.
REPORT_DELAY_SECONDS = 0.05
SUMMARY_DELAY_SECONDS = 0.4
# Smallest share of the objective of the first token that is left to a request that has waited; the
# objective may not become 0.
MIN_OBJECTIVE_RATIO = 0.1
# An entry that started less than this ago doesn't know what others place, which may have started at
# the same moment, with requests that waited. It then expects so many placements by others.
LOAD_DISCOVERY_SECONDS = 2.0
UNKNOWN_PLACEMENT_COUNT = 100.0
# Largest random addition to the time after which callers retry, as a share of that time, so that
# they don't all retry at once.
RETRY_AFTER_JITTER_RATIO = 0.3


@attrs.frozen
class _Servers:
    """Servers that a request may be sent to, and those withheld for their limits.

    ``offered_shares`` is the sum of the shares of the requests that are offered one of the servers
    with a limit and room.
    """

    usable: list[messages.ServerRecord]
    withheld: list[messages.ServerRecord] = attrs.field(factory=list)
    offered_shares: float = 0.0


class ServerSelector:
    """Selects servers from the registry by their load and by their recent behavior.

    Parameters
    ----------
    member_registry : registry.Registry
    loads : load_table.LoadTable
    observed : observations.Observations
    zone : str
        Availability zone of this entry.
    is_unresponsive : callable
        Takes the record of a server, returns whether entries found that it doesn't respond.
    evacuations : container of str
        Evacuated availability zones, whose servers are not selected.
    started_at : float
        Start of this entry, in monotonic seconds.
    """

    def __init__(
        self,
        member_registry: registry.Registry,
        loads: load_table.LoadTable,
        observed: observations.Observations,
        *,
        zone: str,
        is_unresponsive: Callable[[messages.ServerRecord], bool] = lambda _server: False,
        evacuations: Container[str] = (),
        started_at: float = float("-inf"),
    ):
        self._started_at = started_at
        self._registry = member_registry
        self._loads = loads
        self._statements = loads.statements
        self._observations = observed
        self._zone = zone
        self._is_unresponsive = is_unresponsive
        self._evacuations = evacuations
        self._held_back_count = 0

    @property
    def held_back_count(self) -> int:
        """Number of choices in which a cold server was left out for its limit."""
        return self._held_back_count

    def choose(
        self,
        declaration: traffic.TrafficDeclaration,
        admitted: attempts.AdmittedRequest,
        excluded: set[str],
        *,
        now: float,
        waited_seconds: float = 0.0,
        is_arrival: bool = True,
    ) -> attempts.AttemptTarget:
        """Return where to send the next attempt of a request.

        Parameters
        ----------
        declaration : traffic.TrafficDeclaration
        admitted : attempts.AdmittedRequest
        excluded : set of str
            Servers that earlier attempts were sent to, or that refused the request.
        now : float
            Monotonic seconds.
        waited_seconds : float
            How long the request has waited for room at this entry.
        is_arrival : bool
            Whether the request counts as one that arrives; False while it waits and is tried again.

        Raises
        ------
        flamingoramp.errors.NoBackendError
            If no server of the service is known outside of evacuated zones.
        flamingoramp.errors.OverloadedError
            If no engine can serve the request in time, with ``seconds_until_free``, or the servers
            restrict their use.
        """
        service = declaration.find_service(admitted.service)
        if is_arrival:
            self._loads.record_attempt(admitted.service, now)
        servers = self._find_servers(admitted.service, excluded, now)
        usable = servers.usable
        if service is not None and servers.withheld and not usable:
            raise overload_error(
                "the servers take no more requests now", self._seconds_until_offer(servers, now)
            )
        candidates = self._make_candidates(usable, now)
        records = {record.server: record for record in usable}
        if service is None or not candidates:
            raise errors.NoBackendError(
                self._explain_no_server(admitted.service),
                retry_after=attempts.RETRY_AFTER_SECONDS,
            )
        if service.engine is None or not admitted.caller.prompt_tokens:
            return self._choose_least_loaded(candidates, records)
        request = _to_placement_request(admitted, self._zone, waited_seconds)
        planner = placement.Planner(service.engine)
        arriving_credit = self._loads.arriving_credit(service.name, now)
        chosen = planner.place(
            request,
            candidates,
            arriving_credit=arriving_credit,
            unreported_count=self._count_unreported_placements(now),
            draw=random.random(),
        )
        if is_arrival and not excluded:
            self._loads.record_arrival(service.name, request.credit, now)
        if chosen is None:
            free_in = planner.seconds_until_free(candidates)
            error = overload_error("no engine has room in time", free_in)
            error.seconds_until_free = free_in
            raise error
        return _to_target(chosen, request, records, now)

    def record_arrival(self, admitted: attempts.AdmittedRequest, now: float) -> None:
        """Record a request that is placed, waits or is refused without `choose` counting it."""
        self._loads.record_attempt(admitted.service, now)
        credit = _to_placement_request(admitted, self._zone).credit
        self._loads.record_arrival(admitted.service, credit, now)

    def measure_room(
        self,
        service: traffic.Service,
        *,
        horizon_seconds: float,
        now: float,
    ) -> contention.Room:
        """Return the known room at the engines of a service.

        Parameters
        ----------
        service : traffic.Service
            A service with an engine model.
        horizon_seconds : float
            Time within which the engines have to start a prefill for it to count as room.
        now : float
        """
        usable = self._find_servers(service.name, set(), now).usable
        loads = [item.load for item in self._make_candidates(usable, now)]
        model = service.engine
        memory_tokens = placement.USABLE_MEMORY_RATIO * model.memory_tokens
        free = contention.Need(
            sum(max(0, model.slots - load.request_count) for load in loads),
            sum(
                max(0.0, horizon_seconds - load.reading_seconds)
                for load in loads
                if load.request_count < model.slots
            ),
            sum(max(0.0, memory_tokens - load.memory_tokens) for load in loads),
        )
        running = contention.Need(
            sum(load.request_count for load in loads),
            len(loads),
            sum(load.memory_tokens for load in loads),
        )
        return contention.Room(free, running)

    def _count_unreported_placements(self, now: float) -> float:
        """Return the expected number of placements by others that aren't known here yet."""
        if now < self._started_at + LOAD_DISCOVERY_SECONDS:
            return UNKNOWN_PLACEMENT_COUNT
        return REPORT_DELAY_SECONDS * self._loads.reported_placement_rate(now)

    def _find_servers(self, service: str, excluded: set[str], now: float) -> _Servers:
        usable = []
        limited = []
        for record in self._registry.servers():
            if record.service != service or record.leaving or record.server in excluded:
                continue
            if record.zone in self._evacuations:
                continue
            if self._statements.is_leaving(record):
                continue
            if self._statements.is_restricted(record, now):
                limited.append(record)
            else:
                usable.append(record)
        if not limited:
            return _Servers(usable)
        cold = {record.server for record in limited if self._statements.cold_seconds(record, now)}
        total_request_rate = 0.0
        if cold:
            self._statements.set_contact(*self._loads.contact_counts(now), now)
            total_request_rate = self._loads.total_request_rate(service, now)
        with_room = [
            record for record in limited if not self._statements.seconds_until_room(record, now)
        ]
        delay = SUMMARY_DELAY_SECONDS if self._loads.has_summaries(now) else REPORT_DELAY_SECONDS
        request_rate = self._loads.request_rate(service, now)
        shares = [
            self._statements.offered_share(
                record,
                request_rate=request_rate,
                report_delay_seconds=delay,
                total_request_rate=total_request_rate,
            )
            for record in with_room
        ]
        offered = [with_room[position] for position in statements.sample(shares, random.random())]
        withheld = [record for record in limited if record not in offered]
        if any(record.server in cold for record in withheld):
            self._held_back_count += 1
        return _Servers(usable + offered, withheld, sum(shares))

    def _seconds_until_offer(self, servers: _Servers, now: float) -> float:
        """Return the time after which a request can expect a server, if none is offered now.

        A cold server with room is offered to a share of the requests; the request would have to
        come again as often as it takes, or when a server is warm.
        """
        wait = min(self._statements.seconds_until_room(record, now) for record in servers.withheld)
        cold_seconds = [
            seconds
            for record in servers.withheld
            if (seconds := self._statements.cold_seconds(record, now))
        ]
        if wait or not cold_seconds or servers.offered_shares >= 1:
            return wait
        return min(attempts.RETRY_AFTER_SECONDS / servers.offered_shares, *cold_seconds)

    def _explain_no_server(self, service: str) -> str:
        zones = {record.zone for record in self._registry.servers() if record.service == service}
        if zones and all(zone in self._evacuations for zone in zones):
            return f"all servers of {service} are in evacuated zones: {', '.join(sorted(zones))}"
        return f"no server of {service} is known"

    def _make_candidates(
        self, usable: list[messages.ServerRecord], now: float
    ) -> list[placement.Candidate]:
        """Return servers as candidates, without those of last resort if others are left."""
        candidates = []
        for record in usable:
            key = observations.instance_key(record)
            is_suspended = self._observations.is_suspended(key, now)
            candidates.append(
                placement.Candidate(
                    server=record.server,
                    address=record.address,
                    zone=record.zone,
                    load=self._loads.load(record.server, now),
                    slowdown=self._observations.slowdown(key, now),
                    is_last_resort=is_suspended
                    or self._is_unresponsive(record)
                    or self._observations.is_degraded(key, now),
                )
            )
        preferred = [candidate for candidate in candidates if not candidate.is_last_resort]
        return preferred or candidates

    def _choose_least_loaded(
        self,
        candidates: list[placement.Candidate],
        records: dict[str, messages.ServerRecord],
    ) -> attempts.AttemptTarget:
        """Return the server with the fewest requests, one of this zone if loads are equal."""

        def _cost(candidate: placement.Candidate) -> tuple[float, str]:
            return candidate.load.request_count + OTHER_ZONE_COST_REQUESTS * (
                candidate.zone != self._zone
            ), candidate.server

        chosen = min(candidates, key=_cost)
        work = load_table.WorkItem(server=chosen.server)
        return attempts.AttemptTarget(records[chosen.server], work_items=(work,))


class PeerSelector:
    """Selects the entry that a request is passed on to while this one reaches no server.

    Parameters
    ----------
    find_peers : callable
        Returns the other entries that accept requests and reach servers.
    observed : observations.Observations
    """

    def __init__(
        self,
        find_peers: Callable[[], list[messages.EntryRecord]],
        observed: observations.Observations,
    ):
        self._find_peers = find_peers
        self._observations = observed

    def choose(
        self, admitted: attempts.AdmittedRequest, excluded: set[str], *, now: float
    ) -> attempts.AttemptTarget:
        """Return a random peer, so that all peers get equal shares.

        Raises
        ------
        flamingoramp.errors.NoBackendError
            If there is none, or the request has been passed on before.
        """
        peers = [record for record in self._find_peers() if record.entry not in excluded]
        if admitted.caller.is_from_peer or not peers:
            raise errors.NoBackendError(
                "this entry reaches no server",
                retry_after=_add_jitter(attempts.RETRY_AFTER_SECONDS),
            )
        records = [_to_server_record(peer) for peer in peers]
        responsive = [
            record
            for record in records
            if not self._observations.is_suspended(observations.instance_key(record), now)
        ]
        return attempts.AttemptTarget(
            random.choice(responsive or records),
            predicted_seconds=admitted.route.assumed_objective_seconds,
            is_peer=True,
        )


def _to_server_record(peer: messages.EntryRecord) -> messages.ServerRecord:
    """Return an entry as the target of an attempt."""
    return messages.ServerRecord(
        server=peer.entry, address=peer.callers, zone=peer.zone, born=int(1000 * peer.born)
    )


def first_token_timeout(route: traffic.Route) -> float:
    """Return how long a caller is assumed to wait for the first event of a stream, in seconds."""
    return max(
        MIN_FIRST_TOKEN_TIMEOUT_SECONDS,
        FIRST_TOKEN_TIMEOUT_OBJECTIVE_RATIO * route.assumed_objective_seconds,
        FIRST_TOKEN_TIMEOUT_PAUSE_RATIO * route.gap_objective_seconds,
    )


def _to_placement_request(
    admitted: attempts.AdmittedRequest, zone: str, waited_seconds: float = 0.0
) -> placement.PlacementRequest:
    route = admitted.route
    objective_seconds = route.assumed_objective_seconds
    if waited_seconds:
        # Once the objective has passed, the first token is late, and the earlier the better.
        objective_seconds = max(
            MIN_OBJECTIVE_RATIO * objective_seconds, objective_seconds - waited_seconds
        )
    return placement.PlacementRequest(
        prompt_tokens=admitted.caller.prompt_tokens,
        output_tokens=admitted.caller.output_tokens,
        first_token_objective_seconds=objective_seconds,
        gap_objective_seconds=route.gap_objective_seconds,
        zone=zone,
        time_limit_seconds=admitted.time_limit_seconds - waited_seconds,
        first_token_timeout_seconds=first_token_timeout(route) - waited_seconds,
    )


def overload_error(text: str, seconds_until_free: float) -> errors.OverloadedError:
    """Return an error whose ``retry_after`` is when a server is free, with random jitter."""
    wait = max(attempts.RETRY_AFTER_SECONDS, seconds_until_free)
    return errors.OverloadedError(text, retry_after=_add_jitter(wait))


def _add_jitter(seconds: float) -> float:
    return round(seconds * (1 + RETRY_AFTER_JITTER_RATIO * random.random()), 2)


def _to_target(
    chosen: placement.Placement,
    request: placement.PlacementRequest,
    records: dict[str, messages.ServerRecord],
    now: float,
) -> attempts.AttemptTarget:
    """Return the target of a placement, with the work that it adds to each engine."""
    prefill_end = now + chosen.first_token_seconds
    held = chosen.held_tokens or (0,) * len(chosen.helpers)
    primary_work = load_table.WorkItem(
        server=chosen.primary.server,
        gap_objective_seconds=request.gap_objective_seconds,
        memory_tokens=request.prompt_tokens + request.output_tokens - sum(held),
        part_seconds=chosen.part_seconds,
        prefill_end=prefill_end,
        credit=request.credit,
    )
    helper_work = [
        load_table.WorkItem(
            server=helper.server,
            memory_tokens=tokens,
            part_seconds=chosen.part_seconds,
            prefill_end=prefill_end,
            is_helper=True,
            credit=request.credit,
        )
        for helper, tokens in zip(chosen.helpers, held, strict=True)
    ]
    return attempts.AttemptTarget(
        server=records[chosen.primary.server],
        helpers=tuple(records[engine.server] for engine in chosen.helpers),
        held_tokens=chosen.held_tokens,
        work_items=(primary_work, *helper_work),
        predicted_seconds=chosen.first_token_seconds,
        risk=chosen.risk,
    )
