"""One run: callers, entries with the real decisions, and engines, all in virtual time."""

from __future__ import annotations

import random
from typing import Any

import attrs

from bench.experiment import callers, engines, speech, workloads
from flamingoramp.dispatch import request_handler
from flamingoramp.intent import traffic
from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_exchange, load_table
from flamingoramp.runtime import metrics, node_settings, virtual_time

SERVICE = "engines"
# Engines announce themselves this often; control tells entries of a change within 10 ms.
ANNOUNCE_SECONDS = 1.2
CHANGE_SECONDS = 0.01
# Time for load reports to settle before callers come.
LEAD_SECONDS = 1.0
# Time after the last arrival for answers to end.
TAIL_SECONDS = 16.0
# Callers' time limits and the platform's bounds on retries.
BOUNDS = node_settings.BoundSettings(announce_milliseconds=1200.0, retry_slack=104.0)


@attrs.define
class Run:
    """What one run gave.

    Parameters
    ----------
    records : list of callers.Record
    usage : list of engines.Usage
        Where the time of each engine went.
    """

    records: list[callers.Record]
    usage: list[engines.Usage]


class _Log:
    """Notes what entries predicted for their requests."""

    def __init__(self, records: dict[str, callers.Record]):
        self._records = records
        self._sent: dict[str, tuple[float, float]] = {}

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Take a line of the event log."""
        record = self._records.get(request)
        if record is None:
            return
        match event:
            case "request.sent":
                self._sent[request] = (fields["waited"], fields["predicted"])
            case "request.ended" if "first_piece" in fields and fields["attempts"] == 1:
                waited, predicted = self._sent[request]
                record.predicted = predicted
                record.waited = fields["first_piece"] - waited


class _Entry:
    """One entry: what its daemon is made of, without sockets."""

    def __init__(self, simulation: Simulation, name: str, zone: str):
        loop = simulation.loop
        self.name = name
        self.zone = zone
        self.registry = registry.Registry()
        self.book = load_table.LoadTable(zone)
        self.desk = request_handler.RequestHandler(
            loop,
            engines.Pool(loop, simulation.fleet, zone),
            speech.Dialect(),
            server_registry=self.registry,
            server_loads=self.book,
            log=simulation.log,
            metrics=metrics.Metrics(),
            bounds=BOUNDS,
            zone=zone,
            receives_control_updates=lambda: True,
        )
        self.desk.apply_declaration(simulation.declaration)
        self.reports = load_exchange.LoadExchange(
            loop,
            self.book,
            member_registry=self.registry,
            directory=entry_directory.EntryDirectory(self.registry),
            name=name,
            incarnation="1",
            zone=zone,
            send=lambda addresses, report: simulation.send_report(self, addresses, report),
        )
        loop.after_each_iteration(self._share_load)

    def _share_load(self) -> None:
        self.desk.entry_count = self.reports.entry_count
        self.reports.schedule_report()


class Simulation:
    """All processes of a run.

    Parameters
    ----------
    deployment : workloads.Deployment
    pattern : workloads.Pattern
    seconds : float
        Time in which callers arrive.
    seed : int
        The same seed gives the same arrivals, whatever the decisions.
    """

    def __init__(
        self,
        deployment: workloads.Deployment,
        pattern: workloads.Pattern,
        *,
        seconds: float,
        seed: int,
    ):
        self._deployment = deployment
        self._pattern = pattern
        self._seconds = seconds
        self._rng = random.Random(f"{seed}/choices")
        self._retry_rng = random.Random(f"{seed}/retries")
        self.loop = virtual_time.VirtualLoop()
        self.fleet = engines.Fleet(self.loop, deployment)
        self.declaration = to_declaration(deployment)
        self._named: dict[str, callers.Record] = {}
        self.log = _Log(self._named)
        self._records: list[callers.Record] = []
        self._entries = [
            _Entry(self, f"entry-{zone}-{number}", zone)
            for zone, count in deployment.entries.items()
            for number in range(count)
        ]
        self._by_name = {one.name: one for one in self._entries}
        self._sequence = 0
        self._arrivals = workloads.draw_arrivals(
            deployment, pattern, seconds=seconds, rng=random.Random(f"{seed}/arrivals")
        )

    def run(self) -> Run:
        """Play the run."""
        loop = self.loop
        self._introduce_entries()
        self._announce()
        loop.call_every(ANNOUNCE_SECONDS, self._introduce_entries)
        loop.call_every(ANNOUNCE_SECONDS, self._announce)
        for arrival in self._arrivals:
            loop.call_later(LEAD_SECONDS + arrival.at, lambda one=arrival: self._arrive(one))
        for event in self._pattern.events:
            loop.call_later(LEAD_SECONDS + event.at, lambda one=event: self._play(one))
        loop.advance(LEAD_SECONDS + self._seconds + TAIL_SECONDS)
        return Run(self._records, [one.usage for one in self.fleet.engines])

    def send_report(self, source: _Entry, addresses: list[str], report: inner.LoadReport) -> None:
        """Bring a load report to other entries."""
        for address in addresses:
            target = self._by_name[address]
            delay = self.fleet.delay(source.zone, target.zone)
            self.loop.call_later(delay, lambda one=target: one.reports.handle_report(report))

    def _introduce_entries(self) -> None:
        self._sequence += 1
        for one in self._entries:
            record = inner.EntryRecord(
                entry=one.name, incarnation="1", callers=one.name, inner=one.name,
                zone=one.zone, ready=True, sequence=self._sequence, born=1.0,
            )  # fmt: skip
            for other in self._entries:
                other.registry.update_entry(record, self.loop.now())

    def _announce(self, leaving: tuple[engines.Engine, ...] = ()) -> None:
        """Have all engines that are up announce themselves."""
        self._sequence += 1
        for engine in self.fleet.engines:
            if not engine.is_up:
                continue
            engine.leaving = engine.leaving or engine in leaving
            record = inner.ServerRecord(
                server=engine.name,
                service=SERVICE,
                address=engine.address,
                zone=engine.zone,
                leaving=engine.leaving,
                sequence=self._sequence,
                born=engine.born,
            )
            for entry in self._entries:
                self.loop.call_later(
                    CHANGE_SECONDS,
                    lambda one=entry, record=record: one.registry.update_server(
                        record, self.loop.now()
                    ),
                )

    def _arrive(self, arrival: workloads.Arrival) -> None:
        record = callers.Record(arrival)
        self._records.append(record)

        def _submit(exchange: callers.Exchange) -> None:
            request_id = exchange.request.header(b"id").decode()
            self.fleet.note_events(request_id, arrival.events)
            self._named[request_id] = record
            self._rng.choice(self._entries).desk.handle_request(exchange)

        callers.Caller(
            self.loop,
            record,
            delay=self._deployment.caller_delay,
            retries=self._deployment.retries,
            submit=_submit,
            output_tokens=round(arrival.kind.events.most * self._deployment.model.steps_per_pass),
            rng=self._retry_rng,
        )

    def _play(self, event: workloads.Event) -> None:
        match event:
            case workloads.EngineLoss():
                chosen = self.fleet.choose_share(event.share, self._rng)
                self.fleet.crash(chosen, event.seconds)
                self.loop.call_later(event.seconds, self._announce)
            case workloads.EngineSlowdown():
                for engine in self.fleet.choose_share(event.share, self._rng):
                    self._slow_down(engine, event)
            case workloads.EnginesLeave():
                chosen = self.fleet.choose_share(event.share, self._rng)
                self._announce(tuple(chosen))
                self.loop.call_later(
                    event.linger, lambda: self.fleet.crash(chosen, self._seconds + TAIL_SECONDS)
                )

    def _slow_down(self, engine: engines.Engine, event: workloads.EngineSlowdown) -> None:
        engine.slowness = event.factor

        def _recover() -> None:
            engine.slowness = 1.0

        self.loop.call_later(event.seconds, _recover)


def to_declaration(deployment: workloads.Deployment) -> traffic.TrafficDeclaration:
    """Return what an operator declares for a deployment: a route for each kind."""
    routes = tuple(
        traffic.Route(
            name=kind.name,
            host=speech.HOST,
            prefix=f"/{kind.name}/",
            idempotency=traffic.Idempotency.NON_IDEMPOTENT,
            streams=True,
            resumable=True,
            shares=(traffic.TrafficShare(SERVICE),),
            attempts=2,
            timeout_seconds=kind.limit,
            latency_objective_seconds=kind.objective,
            gap_objective_seconds=kind.pause,
            priority=1,
            is_public=True,
        )
        for kind in deployment.kinds
    )
    service = traffic.Service(SERVICE, engine=deployment.model)
    return traffic.TrafficDeclaration(version=1, routes=routes, services=(service,))
