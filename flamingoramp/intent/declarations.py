"""Declarations by operators: services, workspaces and the scheduling policy."""

from __future__ import annotations

import json

import attrs

from flamingoramp import errors, json_documents, utils


@attrs.frozen
class ModelDeclaration:
    """A model, the version that engines should serve, and its adapters."""

    name: str = utils.name_field()
    version: str = "1"
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ServiceDeclaration:
    """A service, the kind of its backend servers, and its shards.

    Parameters
    ----------
    name : str
    kind : str
        ``engines`` for model engines, ``plain`` for other HTTP services.
    models : tuple of ModelDeclaration
        Models that engines should have loaded.
    shards : int
        Number of parts that the service's backend servers are partitioned into; each has one owner.
    time_limit_seconds : float
        Time limit of requests that specify none.
    """

    name: str = utils.name_field()
    kind: str = attrs.field(default="engines", validator=utils.one_of("engines", "plain"))
    models: tuple[ModelDeclaration, ...] = ()
    shards: int = attrs.field(default=1, validator=utils.between(1, 256, "shards"))
    time_limit_seconds: float = attrs.field(
        default=120.0, validator=utils.between(0.1, 86400, "seconds")
    )


@attrs.frozen
class WorkspaceDeclaration:
    """A workspace, the services it may use, and its quotas.

    Parameters
    ----------
    name : str
    weight : float
        Share of engine time relative to other workspaces.
    max_waiting : int
        Maximum number of its requests in the queue of one owner.
    services : tuple of str
        Services that it may call; all if empty.
    """

    name: str = utils.name_field()
    weight: float = attrs.field(default=1.0, validator=utils.between(0.01, 1000, "as a weight"))
    max_waiting: int = attrs.field(default=500, validator=utils.between(1, 100_000, "requests"))
    services: tuple[str, ...] = ()


@attrs.frozen
class PolicyDeclaration:
    """How requests are scheduled on engines.

    Parameters
    ----------
    selection : str
        ``deadline`` for the deadline scheduler; ``naive`` for first come, first served on the
        engine with the least reported load.
    short_weight : float
        Weight of the slowdown of short requests, relative to the time to first token of all
        requests.
    short_seconds : float
        Predicted prefill time up to which a request counts as short.
    long_seconds : float
        Predicted prefill time from which a request counts as long.
    retry_ratio : float
        Retry budget: retries allowed per admitted request.
    """

    selection: str = attrs.field(default="deadline", validator=utils.one_of("deadline", "naive"))
    short_weight: float = attrs.field(default=1.0, validator=utils.between(0.1, 100, "as a weight"))
    short_seconds: float = attrs.field(default=0.06, validator=utils.between(0, 60, "seconds"))
    long_seconds: float = attrs.field(default=2.0, validator=utils.between(0, 600, "seconds"))
    retry_ratio: float = attrs.field(default=0.2, validator=utils.between(0, 10, "as a ratio"))


@attrs.frozen
class Declaration:
    """Complete declaration of services, workspaces and policy."""

    services: tuple[ServiceDeclaration, ...] = ()
    workspaces: tuple[WorkspaceDeclaration, ...] = ()
    policy: PolicyDeclaration = attrs.field(factory=PolicyDeclaration)

    @property
    def shard_names(self) -> tuple[str, ...]:
        """Names of the shards of all services."""
        return tuple(
            shard
            for service in self.services
            for shard in service_shards(service.name, service.shards)
        )

    def find_service(self, name: str) -> ServiceDeclaration | None:
        """Return a service, None if none of that name is declared."""
        return next((service for service in self.services if service.name == name), None)

    def find_service_by_model(self, name: str) -> ServiceDeclaration | None:
        """Return the service with a model or an adapter of that name, None if there is none."""
        for service in self.services:
            for model in service.models:
                if name == model.name or name in model.adapters:
                    return service
        return None

    def find_workspace(self, name: str) -> WorkspaceDeclaration | None:
        """Return a workspace, None if none of that name is declared."""
        return next((workspace for workspace in self.workspaces if workspace.name == name), None)


def service_shards(service: str, count: int) -> list[str]:
    """Return the names of a service's shards, ``service/number``."""
    return [f"{service}/{number}" for number in range(count)]


def parse(text: str, source: str) -> Declaration:
    """Parse a declaration from JSON and validate it.

    Raises
    ------
    flamingoramp.errors.SettingsError
        States the source, the key path, the value found, and the allowed values.
    """
    try:
        data = json_documents.parse(text)
    except ValueError as error:
        raise errors.SettingsError(f"{source}: not JSON: {error}") from error
    declaration = utils.structure(data, Declaration, source)
    _validate(declaration, source)
    return declaration


def render(declaration: Declaration) -> str:
    """Return the declaration as JSON; sorted keys make equal declarations equal texts."""
    return json.dumps(attrs.asdict(declaration), sort_keys=True)


def _validate(declaration: Declaration, source: str) -> None:
    services = [service.name for service in declaration.services]
    utils.check_unique(services, "service", source)
    utils.check_unique([declared.name for declared in declaration.workspaces], "workspace", source)
    models = [model.name for service in declaration.services for model in service.models]
    utils.check_unique(models, "model", source)
    for service in declaration.services:
        if service.kind == "plain" and service.models:
            raise errors.SettingsError(
                f"{source}: services.{service.name}.models: a plain service has no models"
            )
    for workspace in declaration.workspaces:
        for name in workspace.services:
            if name not in services:
                raise errors.SettingsError(
                    f"{source}: workspaces.{workspace.name}.services: found {name!r}, "
                    f"takes one of {', '.join(services)}"
                )
    policy = declaration.policy
    if policy.long_seconds < policy.short_seconds:
        raise errors.SettingsError(
            f"{source}: policy.long_seconds: found {policy.long_seconds}, "
            "takes at least policy.short_seconds"
        )
