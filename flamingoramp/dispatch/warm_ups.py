"""Warm-up of the servers that an entry knows, with the rates that their services declare."""

from __future__ import annotations

from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table, warmup
from flamingoramp.runtime import event_log, node_settings
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module


class ServerWarmUps:
    """Applies the declared rates to cold servers, while they are cold.

    Parameters
    ----------
    loop : loops.Loop
    server_registry : registry.Registry
    server_loads : load_table.LoadTable
        Its statements keep the rates.
    bounds : node_settings.BoundSettings
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        server_registry: registry.Registry,
        server_loads: load_table.LoadTable,
        bounds: node_settings.BoundSettings,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
    ):
        self._loop = loop
        self._registry = server_registry
        self._loads = server_loads
        self._statements = server_loads.statements
        self._bounds = bounds
        self._log = log
        self._metrics = metrics
        self._declaration: traffic.TrafficDeclaration | None = None
        self._warm_ups = warmup.WarmUps()
        self._held_back_count = 0

    def apply_declaration(self, declaration: traffic.TrafficDeclaration) -> None:
        """Use the rates of a declaration."""
        self._declaration = declaration
        self.apply()

    def record_announcement(self, record: messages.ServerRecord) -> None:
        """Record the remaining cold time that a server announces; `apply` puts it in force."""
        self._warm_ups.record_announcement(record, self._loop.now())

    def record_health_answer(self, record: messages.ServerRecord, cold_seconds: float) -> None:
        """Record for how long a server stays cold by its answer to a health check."""
        self._warm_ups.record_health_answer(record, cold_seconds, self._loop.now())
        self.apply()

    def assume_zone_cold(self, zone: str) -> None:
        """Take the servers of an availability zone for cold, before they get requests again.

        This holds until they tell something else, and for no longer than their services declare.
        """
        now = self._loop.now()
        for record in self._registry.servers():
            service = self._find_service(record)
            if service is not None and record.zone == zone:
                self._warm_ups.assume_cold([record], service.warm_up_seconds, now)
        self.apply()

    def apply(self) -> None:
        """Limit the rates of all cold servers, and of no others."""
        now = self._loop.now()
        self._statements.set_contact(*self._loads.contact_counts(now), now)
        for record in self._registry.servers():
            service = self._find_service(record)
            cold_until = self._warm_ups.cold_until(record)
            if service is None or cold_until <= now:
                self._statements.end_warm_up(record, now)
                continue
            limit = warmup.WarmUpLimit(
                service.warm_up_rate,
                excess_ratio=self._bounds.warm_up_excess_ratio,
                excess_requests=self._bounds.warm_up_excess_requests,
            )
            self._statements.record_warm_up(record, limit, cold_until, now)

    def _find_service(self, record: messages.ServerRecord) -> traffic.Service | None:
        """Return the service of a server if it declares a rate for cold servers."""
        if self._declaration is None:
            return None
        service = self._declaration.find_service(record.service)
        return service if service is not None and service.warm_up_rate else None

    def log_changes(self) -> None:
        """Log and count what became known of cold servers with a rate since the last call."""
        for change in self._warm_ups.drain_changes():
            record = self._registry.find_server(change.server)
            if record is None or self._find_service(record) is None:
                continue
            self._metrics.count("warm_ups", source=change.source.value)
            self._log.write(
                "server.warm_up",
                server=change.server,
                born=change.born,
                seconds=round(change.seconds, 3),
                source=change.source.value,
            )

    def evict_stale(self, *, held_back_count: int) -> None:
        """Evict servers that are gone, and update the metrics.

        Parameters
        ----------
        held_back_count : int
            Choices so far in which a cold server was left out for its limit.
        """
        self._warm_ups.retain_only(self._registry.servers())
        if self._declaration is None or not any(
            service.warm_up_rate for service in self._declaration.services
        ):
            return
        self._metrics.set_gauge("cold_servers", self._statements.cold_count)
        self._metrics.count("warm_up_held_back", held_back_count - self._held_back_count)
        self._held_back_count = held_back_count
