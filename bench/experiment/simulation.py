"""Simulation of one run in virtual time: callers, entries with production routing, and engines."""

from __future__ import annotations

import random
from typing import Any

import attrs

from bench import meetings
from bench.experiment import callers, engines, typed_dialect, workloads
from flamingoramp.dispatch import request_handler
from flamingoramp.intent import traffic
from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import load_reports
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_exchange, load_table
from flamingoramp.runtime import metrics, node_settings, virtual_time

SERVICE_NAME = "engines"
# Interval of the announcements of engines and entries.
ANNOUNCEMENT_INTERVAL_SECONDS = 1.2
# The control replicas send a change of the registry to all entries within 10 ms.
REGISTRY_UPDATE_DELAY_SECONDS = 0.01
# Time before the first arrival in which the entries exchange load reports.
WARM_UP_SECONDS = 1.0
# Time after the last arrival in which answers complete.
COMPLETION_SECONDS = 16.0
# The platform's limits on callers' timeouts and on retries, and its announcement interval, which
# is the same as `ANNOUNCEMENT_INTERVAL_SECONDS`.
BOUND_SETTINGS = node_settings.BoundSettings(announce_milliseconds=1200.0, retry_slack=104.0)


@attrs.define
class RunResult:
    """Result of one run.

    Parameters
    ----------
    records : list of callers.RequestRecord
        All requests, in order of arrival.
    usage : list of engines.Usage
        Time that each engine spent on each type of pass.
    placed : list of meetings.PlacedPrompt
        Prompts that were sent once and had a first token.
    """

    records: list[callers.RequestRecord]
    usage: list[engines.Usage]
    placed: list[meetings.PlacedPrompt]


class _PredictionLog:
    """Event log of the entries; it copies predicted and actual waits to the requests' records."""

    def __init__(self, loop: virtual_time.VirtualLoop, records: dict[str, callers.RequestRecord]):
        self._loop = loop
        self._records = records
        self._last_sends: dict[str, meetings.PlacedPrompt] = {}
        self.placed: list[meetings.PlacedPrompt] = []

    def write(self, entry: str, event: str, request: str, fields: dict[str, Any]) -> None:
        """Copy the waits in a log line to the record of its request."""
        record = self._records.get(request)
        if record is None:
            return
        match event:
            case "request.sent":
                self._last_sends[request] = meetings.PlacedPrompt(
                    self._loop.now(),
                    entry,
                    frozenset((fields["server"], *fields["helpers"])),
                    fields["prompt_tokens"],
                    fields["predicted"],
                    fields["waited"],
                )
            case "request.ended" if "first_piece" in fields and fields["attempts"] == 1:
                sent = self._last_sends[request]
                actual = fields["first_piece"] - sent.first_seconds
                record.predicted_wait_seconds = sent.predicted_seconds
                record.actual_wait_seconds = actual
                self.placed.append(attrs.evolve(sent, first_seconds=actual))


@attrs.frozen
class _EntryLog:
    """Event log of one entry."""

    prediction_log: _PredictionLog
    entry: str

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Write a log line."""
        self.prediction_log.write(self.entry, event, request, fields)


class _Entry:
    """The components of one entry daemon, without sockets."""

    def __init__(self, simulation: Simulation, name: str, zone: str):
        loop = simulation.loop
        self.name = name
        self.zone = zone
        self.server_registry = registry.Registry()
        self.load_table = load_table.LoadTable(zone)
        self.load_exchange = load_exchange.LoadExchange(
            loop,
            self.load_table,
            member_registry=self.server_registry,
            directory=entry_directory.EntryDirectory(self.server_registry),
            name=name,
            incarnation="1",
            zone=zone,
            send=lambda addresses, report: simulation.send_report(self, addresses, report),
        )
        self.request_handler = request_handler.RequestHandler(
            loop,
            engines.Pool(loop, simulation.fleet, zone),
            typed_dialect.Dialect(),
            server_registry=self.server_registry,
            server_loads=self.load_table,
            log=_EntryLog(simulation.prediction_log, name),
            metrics=metrics.Metrics(),
            bounds=BOUND_SETTINGS,
            zone=zone,
            placement_announcer=self.load_exchange,
        )
        self.request_handler.apply_declaration(simulation.declaration)
        loop.after_each_iteration(self._publish_load)

    def _publish_load(self) -> None:
        self.request_handler.entry_count = self.load_exchange.entry_count
        self.load_exchange.schedule_report()


class Simulation:
    """All simulated processes of one run.

    Parameters
    ----------
    deployment : workloads.Deployment
    pattern : workloads.LoadPattern
    arrival_seconds : float
        Time over which requests arrive.
    seed : int
        The same seed gives the same arrivals, whatever the routing decisions.
    """

    def __init__(
        self,
        deployment: workloads.Deployment,
        pattern: workloads.LoadPattern,
        *,
        arrival_seconds: float,
        seed: int,
    ):
        self._deployment = deployment
        self._pattern = pattern
        self._arrival_seconds = arrival_seconds
        self._seed = seed
        self._choice_rng = random.Random(f"{seed}/choices")
        self._wake_rng = random.Random(f"{seed}/wakes")
        self._request_id_rng = random.Random(f"{seed}/retries")
        self.loop = virtual_time.VirtualLoop()
        self.fleet = engines.EngineFleet(self.loop, deployment)
        self.declaration = to_declaration(deployment)
        self._records_by_request_id: dict[str, callers.RequestRecord] = {}
        self.prediction_log = _PredictionLog(self.loop, self._records_by_request_id)
        self._records: list[callers.RequestRecord] = []
        self._entries = [
            _Entry(self, f"entry-{zone}-{number}", zone)
            for zone, count in deployment.entries_by_zone.items()
            for number in range(count)
        ]
        self._entries_by_name = {entry.name: entry for entry in self._entries}
        self._announcement_sequence = 0
        self._arrivals = workloads.draw_arrivals(
            deployment, pattern, seconds=arrival_seconds, rng=random.Random(f"{seed}/arrivals")
        )

    def run(self) -> RunResult:
        """Run the simulation until `COMPLETION_SECONDS` after the last arrival."""
        # Entries draw from the global random generator.
        random.seed(self._seed)
        loop = self.loop
        self._announce_entries()
        self._announce_engines()
        loop.call_every(ANNOUNCEMENT_INTERVAL_SECONDS, self._announce_entries)
        loop.call_every(ANNOUNCEMENT_INTERVAL_SECONDS, self._announce_engines)
        for arrival in self._arrivals:
            loop.call_later(
                WARM_UP_SECONDS + arrival.arrived_at,
                lambda due_arrival=arrival: self._start_caller(due_arrival),
            )
        for disturbance in self._pattern.disturbances:
            loop.call_later(
                WARM_UP_SECONDS + disturbance.start_seconds,
                lambda due_disturbance=disturbance: self._apply_disturbance(due_disturbance),
            )
        loop.advance(WARM_UP_SECONDS + self._arrival_seconds + COMPLETION_SECONDS)
        usage = [engine.usage for engine in self.fleet.engines]
        return RunResult(self._records, usage, self.prediction_log.placed)

    def send_report(
        self, source: _Entry, addresses: list[str], report: load_reports.LoadReport
    ) -> None:
        """Deliver a load report to other entries after the network delay.

        Parameters
        ----------
        source : _Entry
        addresses : list of str
            Names of the entries that get the report.
        report : load_reports.LoadReport
        """
        for address in addresses:
            target = self._entries_by_name[address]
            delay = self.fleet.delay_seconds(source.zone, target.zone)
            if self._deployment.mean_wake_seconds:
                delay += self._wake_rng.expovariate(1 / self._deployment.mean_wake_seconds)
            self.loop.call_later(
                delay, lambda receiver=target: receiver.load_exchange.handle_report(report)
            )

    def _announce_entries(self) -> None:
        self._announcement_sequence += 1
        for entry in self._entries:
            record = protocol_messages.EntryRecord(
                entry=entry.name, incarnation="1", callers=entry.name, inner=entry.name,
                zone=entry.zone, ready=True, sequence=self._announcement_sequence, born=1.0,
            )  # fmt: skip
            for receiving_entry in self._entries:
                receiving_entry.server_registry.update_entry(record, self.loop.now())

    def _announce_engines(self, leaving: tuple[engines.Engine, ...] = ()) -> None:
        """Announce all engines that are up, and mark those in ``leaving`` as leaving."""
        self._announcement_sequence += 1
        for engine in self.fleet.engines:
            if not engine.is_up:
                continue
            engine.is_leaving = engine.is_leaving or engine in leaving
            record = protocol_messages.ServerRecord(
                server=engine.name,
                service=SERVICE_NAME,
                address=engine.address,
                zone=engine.zone,
                leaving=engine.is_leaving,
                sequence=self._announcement_sequence,
                born=engine.incarnation,
            )
            for entry in self._entries:
                self.loop.call_later(
                    REGISTRY_UPDATE_DELAY_SECONDS,
                    lambda receiver=entry, record=record: receiver.server_registry.update_server(
                        record, self.loop.now()
                    ),
                )

    def _start_caller(self, arrival: workloads.Arrival) -> None:
        record = callers.RequestRecord(arrival)
        self._records.append(record)

        def _submit(exchange: callers.Exchange) -> None:
            request_id = exchange.request.header(b"id").decode()
            self.fleet.set_event_count(request_id, arrival.event_count)
            self._records_by_request_id[request_id] = record
            self._choice_rng.choice(self._entries).request_handler.handle_request(exchange)

        callers.Caller(
            self.loop,
            record,
            delay_seconds=self._deployment.caller_delay_seconds,
            max_retries=self._deployment.max_retries,
            submit=_submit,
            max_output_tokens=round(
                arrival.kind.event_count.maximum * self._deployment.cost_model.steps_per_pass
            ),
            rng=self._request_id_rng,
        )

    def _apply_disturbance(self, disturbance: workloads.Disturbance) -> None:
        match disturbance:
            case workloads.EngineCrash():
                affected_engines = self.fleet.sample_engines(
                    disturbance.engine_ratio, self._choice_rng
                )
                self.fleet.crash(affected_engines, disturbance.downtime_seconds)
                self.loop.call_later(disturbance.downtime_seconds, self._announce_engines)
            case workloads.EngineSlowdown():
                for engine in self.fleet.sample_engines(disturbance.engine_ratio, self._choice_rng):
                    self._slow_down(engine, disturbance)
            case workloads.EngineDrain():
                affected_engines = self.fleet.sample_engines(
                    disturbance.engine_ratio, self._choice_rng
                )
                self._announce_engines(tuple(affected_engines))
                self.loop.call_later(
                    disturbance.drain_seconds,
                    lambda: self.fleet.crash(
                        affected_engines, self._arrival_seconds + COMPLETION_SECONDS
                    ),
                )

    def _slow_down(self, engine: engines.Engine, disturbance: workloads.EngineSlowdown) -> None:
        engine.slowdown_factor = disturbance.slowdown_factor

        def _recover() -> None:
            engine.slowdown_factor = 1.0

        self.loop.call_later(disturbance.duration_seconds, _recover)


def to_declaration(deployment: workloads.Deployment) -> traffic.TrafficDeclaration:
    """Return the declaration of a deployment, with one route for each kind of request."""
    routes = tuple(
        traffic.Route(
            name=kind.name,
            host=typed_dialect.HOST,
            prefix=f"/{kind.name}/",
            idempotency=traffic.Idempotency.NON_IDEMPOTENT,
            streams=True,
            resumable=True,
            shares=(traffic.TrafficShare(SERVICE_NAME),),
            attempts=2,
            timeout_seconds=kind.timeout_seconds,
            latency_objective_seconds=kind.latency_objective_seconds,
            gap_objective_seconds=kind.gap_objective_seconds,
            priority=1,
            is_public=True,
        )
        for kind in deployment.request_kinds
    )
    service = traffic.Service(SERVICE_NAME, engine=deployment.cost_model)
    return traffic.TrafficDeclaration(version=1, routes=routes, services=(service,))
