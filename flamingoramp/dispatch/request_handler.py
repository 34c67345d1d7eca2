"""Admits the requests of an entry, chooses servers for them and records how they end."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.dispatch import (
    allowance,
    answer_times,
    attempts,
    crash_evidence,
    error_boundary,
    evacuated_services,
    forwarding,
    placement_settling,
    reachability,
    room_queue,
    server_ends,
    startup_queue,
    stop_admission,
    unresponsive_servers,
    warm_ups,
)
from flamingoramp.http import client, exchanges
from flamingoramp.intent import traffic
from flamingoramp.membership import evacuated_zones, registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table, observations, selection, statements
from flamingoramp.runtime import byte_account, node_settings
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# About this long after a restart an entry has a declaration, if all control hosts restarted too.
EXPECTED_STARTUP_SECONDS = 2.0
MIN_NOT_READY_RETRY_SECONDS = 0.5
# An entry that is starting up queues requests until it has its first declaration and knows a server
# of their service, each for at most this long and at most this share of its remaining time. Many of
# these callers lost their connection in the same restart and won't retry a second time after a
# refusal.
MAX_QUEUE_SECONDS = 1.2
MAX_QUEUE_TIME_RATIO = 0.33
MAX_QUEUED_REQUESTS = 256
# Mean interval at which queued requests are started. All entries start theirs at about the same
# moment, on the few servers that are known by then; load reports have to arrive in between.
QUEUE_RELEASE_SECONDS = 0.02
# Interval at which a request checks whether it may be sent to a server, after a suspension.
ZONE_CHECK_INTERVAL_SECONDS = 0.02
# Mean interval at which all entries together start queued requests on one known server.
QUEUE_RELEASE_SECONDS_PER_SERVER = 0.005
# Engines accept priorities from 0, the most urgent, to this one.
LEAST_URGENT_PRIORITY = 9
# Fewer intervals between events than this say too little about an engine's speed.
MIN_EVENT_GAP_COUNT = 4


class Log(Protocol):
    """Event log that request events are written to."""

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Write an event; ``request`` is the id of its request, empty for none."""


class RequestHandler:
    """Handles all requests of one entry, from admission to the end of the answer.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    dialect : dialects.Dialect
    server_registry : registry.Registry
    server_loads : load_table.LoadTable
    log : Log
    metrics : metrics_module.Metrics
    bounds : node_settings.BoundSettings
    zone : str
        Availability zone of this entry.
    find_peers : callable
        Returns the other entries that accept requests and reach servers.
    tries_suspects : callable
        Takes a fingerprint and returns whether it is this entry, of all, that sends single requests
        with it after it has been refused for a time.
    on_cut_changed : callable
        Called without arguments when `is_cut_off` has changed.
    evacuations : evacuated_zones.EvacuatedZones or None
        Availability zones whose servers get nothing new; None for none.
    awaits_zone_update : callable
        Returns whether these may be out of date, so that nothing may be sent to a server yet.
    on_request_started : callable
        Called without arguments for each request that is admitted.
    name : str
        Name of this entry.
    placement_announcer : placement_settling.Announcer or None
        Tells other entries of placements of long prompts; None if there are none.
    send_to_entries : callable
        Sends a message to all other entries.
    account : byte_account.ByteAccount or None
        Account of what this process holds; None for none.
    on_error : callable
        Takes an unexpected error that has ended one request; raises it by default.
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        dialect: dialects.Dialect,
        *,
        server_registry: registry.Registry,
        server_loads: load_table.LoadTable,
        log: Log,
        metrics: metrics_module.Metrics,
        bounds: node_settings.BoundSettings,
        zone: str,
        find_peers: Callable[[], list[messages.EntryRecord]] = list,
        tries_suspects: Callable[[str], bool] = lambda _fingerprint: False,
        on_cut_changed: Callable[[], None] = lambda: None,
        evacuations: evacuated_zones.EvacuatedZones | None = None,
        awaits_zone_update: Callable[[], bool] = lambda: False,
        on_request_started: Callable[[], None] = lambda: None,
        name: str = "",
        placement_announcer: placement_settling.Announcer | None = None,
        send_to_entries: Callable[[messages.ServerReachability], None] = lambda _message: None,
        account: byte_account.ByteAccount | None = None,
        on_error: Callable[[Exception], None] = error_boundary.raise_error,
    ):
        self.loop = loop
        self.pool = pool
        self.peer_pool = client.Pool(loop, account=account)
        self.dialect = dialect
        self.server_loads = server_loads
        self.entry_count = 1
        self._registry = server_registry
        self._log = log
        self._metrics = metrics
        self._bounds = bounds
        self._tries_suspects = tries_suspects
        self._evacuations = evacuations or evacuated_zones.EvacuatedZones()
        self._awaits_zone_update = awaits_zone_update
        self._evacuated_services = evacuated_services.EvacuatedServices(
            server_registry, self._evacuations, log=log, metrics=metrics
        )
        self._on_request_started = on_request_started
        self._on_error = on_error
        self._started_at = loop.now()
        self._declaration: traffic.TrafficDeclaration | None = None
        self._observations = observations.Observations()
        self._unresponsive = unresponsive_servers.UnresponsiveServers(
            loop,
            pool,
            server_registry=server_registry,
            entry=name,
            zone=zone,
            send=send_to_entries,
            log=log,
            metrics=metrics,
        )
        self._server_selector = selection.ServerSelector(
            server_registry,
            server_loads,
            self._observations,
            zone=zone,
            is_unresponsive=self._unresponsive.is_unresponsive,
            evacuations=self._evacuations,
            started_at=self._started_at,
        )
        self._warm_ups = warm_ups.ServerWarmUps(
            loop,
            server_registry=server_registry,
            server_loads=server_loads,
            bounds=bounds,
            log=log,
            metrics=metrics,
        )
        self._room_queue = room_queue.RoomQueue(
            loop,
            self._server_selector,
            server_loads,
            metrics=metrics,
            record_step=self.record_step,
            find_declaration=lambda: self._declaration,
        )
        self._retry_allowances: dict[str, allowance.RetryAllowance] = {}
        self._crash_evidence = crash_evidence.CrashEvidence(self._count_servers_beside)
        self._server_ends = server_ends.ServerEndChecks(
            loop,
            pool,
            server_registry=server_registry,
            evidence=self._crash_evidence,
            log=log,
            metrics=metrics,
        )
        self._reachability = reachability.ReachabilityChecks(
            loop,
            pool,
            server_registry=server_registry,
            log=log,
            metrics=metrics,
            on_change=on_cut_changed,
            evacuations=self._evacuations,
        )
        self._settling = placement_settling.PlacementSettling(
            loop, placement_announcer, metrics=metrics
        )
        self._peer_selector = selection.PeerSelector(find_peers, self._observations)
        self._forwarders: set[forwarding.RequestForwarder] = set()
        self._queue = startup_queue.StartupQueue()
        self._is_releasing = False
        self._answer_times = answer_times.AnswerTimes()
        self._stop_began_at: float | None = None

    @property
    def declaration(self) -> traffic.TrafficDeclaration | None:
        """The declaration in force at this entry, None before the first."""
        return self._declaration

    @property
    def is_cut_off(self) -> bool:
        """Whether this entry reaches no server."""
        return self._reachability.is_cut_off

    @property
    def active_count(self) -> int:
        """Number of requests queued or in progress."""
        return len(self._forwarders) + len(self._queue)

    def apply_declaration(self, declaration: traffic.TrafficDeclaration) -> None:
        """Use a declaration for new requests, and start the queued ones."""
        self._declaration = declaration
        self._answer_times.retain_only({route.name for route in declaration.routes})
        self._warm_ups.apply_declaration(declaration)
        self.start_queued()

    def handle_zone_change(self) -> None:
        """Use a change of the evacuated zones for all servers that are chosen from now on."""
        self._evacuated_services.update()
        self.start_queued()

    def postpone(self, step: Callable[[], None]) -> bool:
        """Repeat a step later, and return True, while the known evacuations may be out of date."""
        if self._awaits_zone_update():
            self.loop.call_later(ZONE_CHECK_INTERVAL_SECONDS, step)
            return True
        return False

    def find_evacuated(self, target: attempts.AttemptTarget) -> tuple[str, ...]:
        """Return the servers of a target that are in evacuated zones."""
        return self._evacuated_services.find_servers(target)

    def start_queued(self) -> None:
        """Start the queued requests whose service has a known server, one after the other."""
        if not self._is_releasing:
            self._is_releasing = True
            self._release_next()

    def _release_next(self) -> None:
        request = self._queue.pop_first(lambda caller: not self._is_starting_up(caller))
        if request is None:
            self._is_releasing = False
            return
        interval = 2 * random.random() * self._mean_release_seconds(request.caller)
        self.loop.call_later(interval, self._release_next)
        self._start_request(request.exchange)

    def _mean_release_seconds(self, caller: dialects.CallerRequest) -> float:
        """Return the mean time between the start of a queued request and the next one."""
        route = self._declaration.find_route(caller.host, caller.path)
        if route is None:
            return QUEUE_RELEASE_SECONDS
        server_count = self._count_servers(route.choose_service(caller.request_id))
        seconds = QUEUE_RELEASE_SECONDS_PER_SERVER * self.entry_count / max(1, server_count)
        return max(QUEUE_RELEASE_SECONDS, seconds)

    @property
    def warm_ups(self) -> warm_ups.ServerWarmUps:
        """Warm-up of the servers that this entry knows."""
        return self._warm_ups

    @property
    def crash_evidence(self) -> crash_evidence.CrashEvidence:
        """Evidence of contents that crash servers, which entries exchange."""
        return self._crash_evidence

    def handle_announcements(self) -> None:
        """Use the announcements of servers that have arrived."""
        self._server_ends.handle_announcements()
        self._warm_ups.apply()
        self.start_queued()

    def evict_stale(self) -> None:
        """Evict observations of servers that are gone, and old evidence of crashes."""
        servers = self._registry.servers()
        self._observations.retain_only({observations.instance_key(record) for record in servers})
        self.server_loads.statements.retain_only(servers, self.loop.now())
        self._warm_ups.evict_stale(held_back_count=self._server_selector.held_back_count)
        self._metrics.set_gauge("limited_servers", self.server_loads.statements.limited_count)
        self._metrics.set_gauge("closed_servers", self.server_loads.statements.closed_count)
        self._metrics.set_gauge("leaving_servers", self.server_loads.statements.leaving_count)
        self._evacuated_services.update()
        self._crash_evidence.evict_expired(self.loop.now())
        self._unresponsive.evict_stale()
        self._metrics.set_gauge("crash_suspects", self._crash_evidence.suspect_count)

    def begin_stop(self) -> None:
        """Note that a planned stop of this entry has begun."""
        self._stop_began_at = self.loop.now()

    @property
    def stop_time(self) -> stop_admission.StopTime | None:
        """How far a planned stop has come, None without one."""
        if self._stop_began_at is None:
            return None
        return stop_admission.StopTime(
            self.loop.now() - self._stop_began_at,
            self._bounds.accept_seconds,
            self._bounds.stop_seconds,
        )

    @property
    def started_answer_count(self) -> int:
        """Number of requests of whose answers the callers have a part."""
        return sum(forwarder.has_started_answer for forwarder in self._forwarders)

    def _stop_fields(self, exchange: exchanges.Exchange) -> dict[str, float]:
        """Return log fields of a request during a planned stop; empty without one."""
        if self._stop_began_at is None:
            return {}
        return {
            "stopping": round(self.loop.now() - self._stop_began_at, 3),
            "received": round(exchange.receiving_seconds, 3),
        }

    def refuse_waiting(self) -> None:
        """Refuse the requests in queues whose answers would end after this entry."""
        for forwarder in list(self._forwarders):
            forwarder.end_if_unsent_too_late()
        for request in self._queue.list_requests():
            limit_seconds = request.deadline - self.loop.now()
            pending = stop_admission.PendingRequest(limit_seconds, False, None)
            match stop_admission.decide(self.stop_time, pending):
                case stop_admission.Refuse() as refusal:
                    self._refuse_queued(request, refusal)

    def _refuse_queued(
        self, request: startup_queue.QueuedRequest, refusal: stop_admission.Refuse | None
    ) -> None:
        """Refuse a request of the startup queue, which has not run."""
        if self._queue.remove(request.exchange):
            self._count_stop_refusal(refusal)
            error = stop_admission.make_error(refusal)
            self._refuse(request.exchange, request.caller.request_id, error)

    def end_unstarted(self) -> None:
        """End the requests whose answers have not begun, while an error can be delivered."""
        for request in self._queue.list_requests():
            self._refuse_queued(request, None)
        for forwarder in list(self._forwarders):
            if not forwarder.has_started_answer:
                forwarder.end_by_stop()

    def end_all(self) -> None:
        """Break off all answers; the process waits no longer."""
        self.end_unstarted()
        for forwarder in list(self._forwarders):
            forwarder.end_by_stop()

    def find_stop_refusal(
        self,
        admitted: attempts.AdmittedRequest,
        limit_seconds: float,
        *,
        first_event_seconds: float = 0.0,
        received_events: int = 0,
    ) -> stop_admission.Refuse | None:
        """Return why a planned stop keeps a request from being passed on, None if nothing does."""
        stop = self.stop_time
        if stop is None:
            return None
        pending = stop_admission.PendingRequest(
            limit_seconds,
            admitted.route.is_retryable,
            self._answer_times.expect(
                admitted,
                self._find_engine(admitted),
                first_event_seconds=first_event_seconds,
                received_events=received_events,
            ),
        )
        match stop_admission.decide(stop, pending):
            case stop_admission.Refuse() as refusal:
                return refusal
        return None

    def record_stop_refusal(
        self, admitted: attempts.AdmittedRequest, refusal: stop_admission.Refuse
    ) -> None:
        """Record that a request is not passed on since its answer would end after this entry."""
        self._count_stop_refusal(refusal)
        needed_seconds = refusal.needed_seconds
        self.record_step(
            admitted,
            "request.stop_refused",
            why=refusal.reason.value,
            needed=round(needed_seconds, 3) if needed_seconds is not None else None,
            left=round(refusal.remaining_seconds, 3),
        )

    def _count_stop_refusal(self, refusal: stop_admission.Refuse | None) -> None:
        reason = refusal.reason if refusal is not None else stop_admission.Reason.OVER
        self._metrics.count("stop_refusals", reason=reason.value)

    def record_answer_seconds(self, admitted: attempts.AdmittedRequest, seconds: float) -> None:
        """Record the time from the only send of a request to the end of its answer."""
        self._answer_times.record(admitted, self._find_engine(admitted), seconds)

    def _find_engine(self, admitted: attempts.AdmittedRequest) -> traffic.EngineCostModel | None:
        service = self._declaration.find_service(admitted.service)
        return service.engine if service is not None else None

    # Admission.

    def handle_request(self, exchange: exchanges.Exchange) -> None:
        """Start a request, refuse it, or queue it while this entry is starting up."""
        if not self._queue_while_starting(exchange):
            self._start_request(exchange)

    def _queue_while_starting(self, exchange: exchanges.Exchange) -> bool:
        """Queue a request that this entry can't serve yet; return whether it is queued."""
        now = self.loop.now()
        remaining_startup_seconds = self._started_at + EXPECTED_STARTUP_SECONDS - now
        if remaining_startup_seconds <= 0 or len(self._queue) >= MAX_QUEUED_REQUESTS:
            return False
        try:
            caller = self.dialect.decode_request(exchange.request)
        except errors.FlamingorampError:
            return False  # malformed; starting it gives the specific error
        if not self._is_starting_up(caller):
            return False
        remaining_seconds = caller.remaining_seconds
        if remaining_seconds is None:
            remaining_seconds = math.inf
        queue_seconds = min(
            MAX_QUEUE_SECONDS, remaining_startup_seconds, MAX_QUEUE_TIME_RATIO * remaining_seconds
        )
        if queue_seconds <= 0:
            return False
        self._enqueue(
            startup_queue.QueuedRequest(exchange, caller, exchange.arrived_at + remaining_seconds),
            queue_seconds,
        )
        return True

    def _is_starting_up(self, caller: dialects.CallerRequest) -> bool:
        """Return whether this entry can't serve a request yet for lack of what it was not sent."""
        if self._declaration is None:
            return True
        if self.loop.now() > self._started_at + EXPECTED_STARTUP_SECONDS:
            return False
        route = self._declaration.find_route(caller.host, caller.path)
        if route is None:
            return False
        return not self._count_servers(route.choose_service(caller.request_id))

    def _count_servers(self, service: str) -> int:
        return sum(
            record.service == service and record.zone not in self._evacuations
            for record in self._registry.servers()
        )

    def _count_servers_beside(self, name: str) -> int:
        """Return the number of servers of the service that a server belongs to, 0 if unknown."""
        server = self._registry.find_server(name)
        if server is None:
            return 0
        # A server that ended and its next run may both be known.
        return len(
            {
                record.address
                for record in self._registry.servers()
                if record.service == server.service
            }
        )

    def _enqueue(self, request: startup_queue.QueuedRequest, timeout_seconds: float) -> None:
        """Queue a request until this entry can serve it, or until the timeout."""
        exchange = request.exchange
        self._queue.add(request)
        self._metrics.count("requests_kept")
        exchange.on_disconnect = lambda: self._queue.remove(exchange)

        def _handle_timeout() -> None:
            if self._queue.remove(exchange):
                self._start_request(exchange)

        self.loop.call_later(timeout_seconds, _handle_timeout)

    def _start_request(self, exchange: exchanges.Exchange) -> None:
        """Start or refuse a request; an unexpected error fails it at once."""

        def _fail(error: Exception) -> None:
            text = f"an unexpected error of this entry ({type(error).__name__})"
            exchange.respond(self.dialect.encode_error(errors.FlamingorampError(text)))
            self._on_error(error)

        error_boundary.ErrorBoundary(self.loop, _fail).run(self._admit_and_forward, exchange)

    def _admit_and_forward(self, exchange: exchanges.Exchange) -> None:
        request_id = ""
        try:
            caller = self.dialect.decode_request(exchange.request)
            request_id = caller.request_id
            admitted = self._admit(exchange, caller)
        except errors.FlamingorampError as error:
            self._refuse(exchange, request_id, error)
            return
        forwarder = forwarding.RequestForwarder(self, admitted, self._forwarders.discard)
        self._forwarders.add(forwarder)
        self._on_request_started()
        if self.is_cut_off:
            forwarder.start()
        else:
            boundary = forwarder.boundary
            boundary.run(self._room_queue.start, admitted, forwarder.start, boundary)

    def _refuse(
        self, exchange: exchanges.Exchange, request_id: str, error: errors.FlamingorampError
    ) -> None:
        """Refuse a request that was not admitted."""
        self._metrics.count("requests_refused", code=error.code)
        self._log.write(
            "request.refused",
            request_id,
            path=exchange.request.path,
            code=error.code,
            version=self._declaration.version if self._declaration else 0,
            text=str(error),
            **self._stop_fields(exchange),
        )
        exchange.respond(self.dialect.encode_error(error))

    def _admit(
        self, exchange: exchanges.Exchange, caller: dialects.CallerRequest
    ) -> attempts.AdmittedRequest:
        """Check a request against the declaration.

        Raises
        ------
        flamingoramp.errors.FlamingorampError
            Says why the request is refused; it has not run.
        """
        declaration = self._declaration
        if declaration is None and self._stop_began_at is not None:
            raise stop_admission.make_error()
        if declaration is None:
            remaining_startup_seconds = (
                self._started_at + EXPECTED_STARTUP_SECONDS - self.loop.now()
            )
            jitter_factor = 1 + selection.RETRY_AFTER_JITTER_RATIO * random.random()
            raise errors.NotReadyError(
                "this entry knows no declaration yet",
                retry_after=jitter_factor
                * max(MIN_NOT_READY_RETRY_SECONDS, remaining_startup_seconds),
            )
        route = declaration.find_route(caller.host, caller.path)
        if route is None:
            raise errors.UnknownRouteError(f"no route for {caller.host}{caller.path}")
        workspace = declaration.find_workspace(caller.key) if caller.key else None
        if workspace is None and declaration.workspaces and not route.is_public:
            raise errors.UnknownApiKeyError("no workspace holds this key")
        fingerprints = _make_fingerprints(caller, exchange.request.body)
        time_limit_seconds = route.timeout_seconds
        if caller.remaining_seconds is not None:
            time_limit_seconds = min(time_limit_seconds, caller.remaining_seconds)
        declared_priority = route.priority
        if workspace is not None and workspace.priority is not None:
            declared_priority = workspace.priority
        admitted = attempts.AdmittedRequest(
            exchange=exchange,
            caller=caller,
            route=route,
            service=route.choose_service(caller.request_id),
            workspace=workspace.name if workspace is not None else "",
            priority=min(LEAST_URGENT_PRIORITY, 2 * declared_priority + _urgency_offset(route)),
            fingerprints=fingerprints,
            time_limit_seconds=time_limit_seconds,
            rank=declared_priority,
        )
        limit_seconds = exchange.arrived_at + time_limit_seconds - self.loop.now()
        if refusal := self.find_stop_refusal(admitted, limit_seconds):
            self._count_stop_refusal(refusal)
            raise stop_admission.make_error(refusal)
        self._check_quarantine(caller.request_id, fingerprints)
        return admitted

    def _check_quarantine(self, request_id: str, fingerprints: tuple[str, ...]) -> None:
        """Refuse a request that has crashed servers, but for single ones that try it again."""
        fingerprint = self._crash_evidence.find_quarantined(fingerprints)
        if not fingerprint:
            return
        if self._tries_suspects(fingerprint) and self._crash_evidence.try_again(
            fingerprint, self.loop.now()
        ):
            self._metrics.count("crash_suspect_trials")
            self._log.write("suspect.tried", request_id, fingerprint=fingerprint)
            return
        raise _quarantine_error(fingerprints, fingerprint)

    # What request forwarders ask for.

    def choose_target(
        self, admitted: attempts.AdmittedRequest, excluded: set[str]
    ) -> attempts.AttemptTarget:
        """Choose the servers of the next attempt of a request."""
        if excluded:
            # After a server broke the request off, it is safer to assume that it has ended.
            fingerprint = self._crash_evidence.find_quarantined(
                admitted.fingerprints, with_unconfirmed=True
            )
            if fingerprint:
                raise _quarantine_error(admitted.fingerprints, fingerprint)
        if self.is_cut_off:
            return self._peer_selector.choose(admitted, excluded, now=self.loop.now())
        decided = self._room_queue.take_decision(admitted)
        if decided is not None:
            return decided
        return self._server_selector.choose(
            self._declaration,
            admitted,
            excluded,
            now=self.loop.now(),
        )

    def list_servers_of_zone(self, service: str, zone: str) -> set[str]:
        """Return the names of a service's servers in an availability zone."""
        return {
            record.server
            for record in self._registry.servers()
            if record.service == service and record.zone == zone
        }

    def has_backlog(
        self, admitted: attempts.AdmittedRequest, server: messages.ServerRecord
    ) -> bool:
        """Tell whether an engine has prompts to prefill or more requests than slots."""
        service = self._declaration.find_service(admitted.service)
        if service is None or service.engine is None:
            return False
        load = self.server_loads.load(server.server, self.loop.now())
        return load.reading_seconds > 0 or load.request_count > service.engine.slots

    def record_first_send(self, service: str) -> None:
        """Count the first send of a request."""
        self._retry_allowance(service).record_request(self.loop.now())

    def try_spend_retry(self, service: str) -> bool:
        """Spend a retry of the service's allowance; False if it is used up."""
        return self._retry_allowance(service).try_spend(
            self.loop.now(), entry_count=self.entry_count
        )

    def _retry_allowance(self, service: str) -> allowance.RetryAllowance:
        retry_allowance = self._retry_allowances.get(service)
        if retry_allowance is None:
            retry_allowance = self._retry_allowances[service] = allowance.RetryAllowance(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                window_seconds=self._bounds.retry_window_seconds,
            )
        return retry_allowance

    # What request forwarders report.

    def record_target(self, target: attempts.AttemptTarget) -> None:
        """Add the load of an attempt to its servers, and count it towards their limits."""
        now = self.loop.now()
        for work_item in target.work_items:
            self.server_loads.add(work_item)
            self.server_loads.statements.record_send(work_item.server, now)

    def settle(
        self,
        target: attempts.AttemptTarget,
        on_settled: Callable[[bool], None],
        boundary: error_boundary.ErrorBoundary,
    ) -> None:
        """Tell other entries of a target, and call back once its placement is settled."""
        self._settling.begin(target, on_settled, boundary)

    def record_failure(
        self,
        admitted: attempts.AdmittedRequest,
        server: messages.ServerRecord,
        *,
        crashed: bool,
        not_connected: bool,
        sent_at: float,
    ) -> None:
        """Record a failed attempt; ``crashed`` if the request may have crashed the server."""
        self._observations.record_attempt_failure(
            observations.instance_key(server), self.loop.now()
        )
        self._metrics.count("servers_broken")
        self._reachability.handle_failure()
        if not_connected:
            self._unresponsive.handle_failure(server)
        if crashed:
            self._server_ends.handle_break(server, admitted.fingerprints, sent_at)
            self.record_step(
                admitted,
                "request.broken_off",
                server=server.server,
                born=server.born,
                parts=admitted.caller.shared_parts,
                fingerprints=admitted.fingerprints,
                ends=[self._crash_evidence.end_count(item) for item in admitted.fingerprints],
            )

    def is_unresponsive(self, server: messages.ServerRecord) -> bool:
        """Tell whether a server is known not to respond."""
        # The record may be of the time at which the request was sent.
        current = self._registry.find_server(server.server)
        if current is None or current.gone:
            return True
        if current.born and server.born and current.born != server.born:
            return True
        return self._unresponsive.is_unresponsive(current)

    def check_server(self, server: messages.ServerRecord) -> None:
        """Find out whether a server that sends nothing accepts connections."""
        self._unresponsive.check(server)

    def record_stall(self, server: messages.ServerRecord) -> None:
        """Record that a server sent no data for longer than its timeout."""
        self._observations.record_attempt_failure(
            observations.instance_key(server), self.loop.now()
        )
        self._reachability.handle_failure()
        self._unresponsive.handle_stall(server)

    def handle_silence(self, server: messages.ServerRecord) -> None:
        """Check a server whose announcements are missing at the control hosts."""
        self._unresponsive.handle_silence(server)

    def handle_reachability(self, message: messages.ServerReachability) -> None:
        """Process what another entry tells of servers that don't respond."""
        self._unresponsive.handle_message(message)

    def record_answer(self, server: messages.ServerRecord, failed: bool) -> None:
        """Record a complete answer; ``failed`` for a 5xx status."""
        self._observations.record_response(
            observations.instance_key(server), failed=failed, now=self.loop.now()
        )

    def record_sound(self, admitted: attempts.AdmittedRequest) -> None:
        """Record that a server has answered a request completely."""
        for fingerprint in self._crash_evidence.record_answer(
            admitted.fingerprints, self.loop.now()
        ):
            self._metrics.count("crash_suspects_cleared")
            self._log.write("suspect.cleared", admitted.caller.request_id, fingerprint=fingerprint)

    def record_statement(
        self,
        admitted: attempts.AdmittedRequest,
        server: messages.ServerRecord,
        statement: statements.ServerStatement,
    ) -> None:
        """Record what a server states of itself in its answer to a request.

        A server that refuses a request though it has room by its known load would look the least
        loaded of all, and attract the next ones.
        """
        if statement.is_refusal and not self._is_full(admitted, server):
            statement = attrs.evolve(statement, starts_trial=True)
        self.server_loads.statements.record_statement(
            server, statement, self.loop.now(), request=admitted.caller.request_id
        )

    def _is_full(self, admitted: attempts.AdmittedRequest, server: messages.ServerRecord) -> bool:
        """Tell whether a server's known load, with this request, takes all its slots or memory."""
        load = self.server_loads.load(server.server, self.loop.now())
        service = self._declaration.find_service(admitted.service)
        engine = service.engine if service is not None else None
        if engine is None:
            return load.request_count > server.slots > 0
        return load.request_count > engine.slots or load.memory_tokens > engine.memory_tokens

    def log_server_changes(self) -> None:
        """Log and count what became known of servers since the last call."""
        self._warm_ups.log_changes()
        for change in self.server_loads.statements.drain_changes():
            self._metrics.count("server_statements")
            self._log.write(
                "server.stated",
                change.request,
                server=change.server,
                born=change.born,
                limit=_finite_or_none(change.limit),
                previous=_finite_or_none(change.previous_limit),
                leaving=change.leaving,
                closed=round(change.closed_seconds, 3),
                trial=change.is_on_trial,
                age=round(change.age_seconds, 3),
                reporter=change.reporter,
            )

    def record_event_gaps(
        self, service: str, server: messages.ServerRecord, event_gaps: list[float]
    ) -> None:
        """Record an engine's speed from the intervals between the events of a stream."""
        service_declaration = self._declaration.find_service(service)
        if (
            service_declaration is None
            or service_declaration.engine is None
            or not service_declaration.engine.decode_pass_seconds
            or len(event_gaps) < MIN_EVENT_GAP_COUNT
        ):
            return
        lower_quartile = sorted(event_gaps)[len(event_gaps) // 4]
        slowdown = lower_quartile / service_declaration.engine.decode_pass_seconds
        self._observations.record_slowdown(
            observations.instance_key(server), slowdown, self.loop.now()
        )

    def record_end(self, admitted: attempts.AdmittedRequest, outcome: str, **fields: Any) -> None:
        """Log a request's outcome and update the metrics."""
        self._room_queue.handle_end(admitted, outcome, fields["seconds"])
        self._metrics.count("requests", outcome=outcome, route=admitted.route.name)
        self._metrics.observe("request_seconds", fields["seconds"], route=admitted.route.name)
        if "first_piece" in fields:
            self._metrics.observe(
                "time_to_first_token_seconds", fields["first_piece"], route=admitted.route.name
            )
        if "longest_pause" in fields:
            self._metrics.observe(
                "longest_pause_seconds", fields["longest_pause"], route=admitted.route.name
            )
        self._log.write(
            "request.ended",
            admitted.caller.request_id,
            outcome=outcome,
            **fields,
            **self._stop_fields(admitted.exchange),
        )

    def record_error(self, error: Exception) -> None:
        """Record an unexpected error that has ended one request."""
        self._on_error(error)

    def record_step(self, admitted: attempts.AdmittedRequest, event: str, **fields: Any) -> None:
        """Log a step in the processing of a request, and count it."""
        self._metrics.count("request_steps", event=event)
        self._log.write(
            event,
            admitted.caller.request_id,
            route=admitted.route.name,
            version=self._declaration.version,
            **fields,
            **self._stop_fields(admitted.exchange),
        )


def _make_fingerprints(caller: dialects.CallerRequest, body: bytes) -> tuple[str, ...]:
    """Return the fingerprint of a request, then those of the shared parts of its prompt."""
    content = crash_evidence.content_fingerprint(caller.key, caller.path, body)
    return content, *map(crash_evidence.part_fingerprint, caller.shared_parts)


def _quarantine_error(
    fingerprints: tuple[str, ...], fingerprint: str
) -> errors.RequestQuarantinedError:
    what = "this request" if fingerprint == fingerprints[0] else "a part of its prompt"
    return errors.RequestQuarantinedError(f"{what} broke off several servers ({fingerprint})")


def _finite_or_none(number: float) -> float | None:
    """Return a number, or None if it is infinite, which JSON can't express."""
    return number if math.isfinite(number) else None


def _urgency_offset(route: traffic.Route) -> int:
    """Return 0 for plain calls and routes of short prompts, 1 for less urgent routes."""
    if route.gap_objective_seconds <= load_table.STRICT_PAUSE_SECONDS:
        return 0
    return 1
