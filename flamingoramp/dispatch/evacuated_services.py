"""Services all of whose servers are in evacuated availability zones."""

from __future__ import annotations

from typing import Any, Protocol

from flamingoramp.dispatch import attempts
from flamingoramp.membership import evacuated_zones, registry
from flamingoramp.runtime import metrics as metrics_module


class Log(Protocol):
    """Event log that changes are written to."""

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Write an event."""


class EvacuatedServices:
    """Logs and counts the services that requests are refused for, and checks single servers.

    Parameters
    ----------
    server_registry : registry.Registry
    evacuations : evacuated_zones.EvacuatedZones
    log : Log
    metrics : metrics_module.Metrics
    """

    def __init__(
        self,
        server_registry: registry.Registry,
        evacuations: evacuated_zones.EvacuatedZones,
        *,
        log: Log,
        metrics: metrics_module.Metrics,
    ):
        self._registry = server_registry
        self._evacuations = evacuations
        self._log = log
        self._metrics = metrics
        self._services: frozenset[str] = frozenset()

    def update(self) -> None:
        """Log the services that have changed since the last call, and set the gauge."""
        records = self._registry.servers()
        services = frozenset(
            record.service for record in records if record.zone in self._evacuations
        ) - {record.service for record in records if record.zone not in self._evacuations}
        changes = (
            ("service.evacuated", services - self._services),
            ("service.restored", self._services - services),
        )
        for event, changed_services in changes:
            for service in sorted(changed_services):
                self._log.write(event, service=service, zones=self._evacuations.zones)
        self._services = services
        self._metrics.set_gauge("evacuated_services", len(services))

    def find_servers(self, target: attempts.AttemptTarget) -> tuple[str, ...]:
        """Return the servers of a target that are in evacuated zones."""
        if target.is_peer:
            return ()
        return tuple(
            record.server
            for record in (target.server, *target.helpers)
            if record.zone in self._evacuations
        )
