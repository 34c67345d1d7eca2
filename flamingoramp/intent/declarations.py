"""Declarations: what operators want to run and how work is shared."""

from __future__ import annotations

import json

import attrs

from flamingoramp import errors, utils


@attrs.frozen
class ModelDeclaration:
    """A model and the version that engines should serve."""

    name: str = utils.name_field()
    version: str = "1"
    adapters: tuple[str, ...] = ()


@attrs.frozen
class ServiceDeclaration:
    """A service and its backend servers' kind.

    Parameters
    ----------
    name : str
    kind : str
        ``engines`` for model engines, ``plain`` for other HTTP services.
    models : tuple of ModelDeclaration
        What engines should have loaded.
    shards : int
        Parts that the service's backend servers are split into, each with one owner.
    time_limit_seconds : float
        Time limit of requests that name none.
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
    """A workspace, the services it may use and its share.

    Parameters
    ----------
    name : str
    weight : float
        Share of the engines' time relative to other workspaces.
    max_waiting : int
        Requests that may wait at one owner.
    services : tuple of str
        Services that it may call; empty for all.
    """

    name: str = utils.name_field()
    weight: float = attrs.field(default=1.0, validator=utils.between(0.01, 1000, "as a weight"))
    max_waiting: int = attrs.field(default=500, validator=utils.between(1, 100_000, "requests"))
    services: tuple[str, ...] = ()


@attrs.frozen
class PolicyDeclaration:
    """How requests are put to engines.

    Parameters
    ----------
    selection : str
        ``deadline`` for the scheduler, ``naive`` for least reported load, first come first served.
    short_weight : float
        Weight of the slowdown of short requests against time to first token over all lengths.
    short_seconds : float
        Predicted prefill time up to which a request counts as short.
    long_seconds : float
        Predicted prefill time from which a request counts as long.
    retry_ratio : float
        Retries allowed for each request that was admitted.
    """

    selection: str = attrs.field(default="deadline", validator=utils.one_of("deadline", "naive"))
    short_weight: float = attrs.field(default=1.0, validator=utils.between(0.1, 100, "as a weight"))
    short_seconds: float = attrs.field(default=0.06, validator=utils.between(0, 60, "seconds"))
    long_seconds: float = attrs.field(default=2.0, validator=utils.between(0, 600, "seconds"))
    retry_ratio: float = attrs.field(default=0.2, validator=utils.between(0, 10, "as a ratio"))


@attrs.frozen
class Declaration:
    """All that operators declare."""

    services: tuple[ServiceDeclaration, ...] = ()
    workspaces: tuple[WorkspaceDeclaration, ...] = ()
    policy: PolicyDeclaration = attrs.field(factory=PolicyDeclaration)

    @property
    def shard_names(self) -> tuple[str, ...]:
        """Names of all shards."""
        return tuple(
            shard
            for service in self.services
            for shard in service_shards(service.name, service.shards)
        )

    def find_service(self, name: str) -> ServiceDeclaration | None:
        """Return a service, None if there is none of that name."""
        return next((one for one in self.services if one.name == name), None)

    def find_service_by_model(self, name: str) -> ServiceDeclaration | None:
        """Return the service that serves a model or one of its adapters."""
        for service in self.services:
            for model in service.models:
                if name == model.name or name in model.adapters:
                    return service
        return None

    def find_workspace(self, name: str) -> WorkspaceDeclaration | None:
        """Return a workspace, None if there is none of that name."""
        return next((one for one in self.workspaces if one.name == name), None)


def service_shards(service: str, count: int) -> list[str]:
    """Return the names of a service's shards, ``service/number``."""
    return [f"{service}/{number}" for number in range(count)]


def parse(text: str, source: str) -> Declaration:
    """Read a declaration from JSON and check it.

    Raises
    ------
    flamingoramp.errors.SettingsError
        Names source, key path, what was found and what it takes.
    """
    try:
        data = json.loads(text)
    except ValueError as error:
        raise errors.SettingsError(f"{source}: not JSON: {error}") from error
    declaration = utils.structure(data, Declaration, source)
    _check(declaration, source)
    return declaration


def render(declaration: Declaration) -> str:
    """Write a declaration as JSON with sorted keys, so that equal ones are equal texts."""
    return json.dumps(utils.converter.unstructure(declaration), sort_keys=True)


def _check(declaration: Declaration, source: str) -> None:
    services = [service.name for service in declaration.services]
    utils.check_unique(services, "service", source)
    utils.check_unique([one.name for one in declaration.workspaces], "workspace", source)
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
