"""The operator's configuration document, decoded into a traffic declaration."""

from __future__ import annotations

import json
from typing import Any

from flamingoramp import errors
from flamingoramp.intent import traffic

_MILLISECONDS = 1000.0


def _take(
    data: dict[str, Any], name: str, kind: type | tuple, where: str, default: Any = ...
) -> Any:
    """Return a field of a JSON object, checked for its type."""
    value = data.get(name, default)
    if value is ...:
        raise errors.InvalidDeclarationError(f"{where}: {name} is missing")
    is_number = kind in (int, (int, float))
    if value is not default and (not isinstance(value, kind) or (is_number and value is True)):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    if is_number and isinstance(value, bool):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    return value


def _objects(data: dict[str, Any], name: str, where: str) -> list[dict[str, Any]]:
    found = _take(data, name, list, where, [])
    if not all(isinstance(one, dict) for one in found):
        raise errors.InvalidDeclarationError(f"{where}: {name} takes objects")
    return found


def load(document: bytes) -> dict[str, Any]:
    """Read a document as a JSON object.

    Raises
    ------
    flamingoramp.errors.InvalidDeclarationError
        If it can't be read in full.
    """
    try:
        data = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidDeclarationError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise errors.InvalidDeclarationError("the document is no object")
    return data


def read_version(data: dict[str, Any]) -> int:
    """Return the version of a document."""
    version = _take(data, "version", int, "configuration")
    if not 0 < version < 2**63:
        raise errors.InvalidDeclarationError(f"version: found {version}, takes 1 or more")
    return version


def decode(document: bytes) -> traffic.TrafficDeclaration:
    """Decode a document and check it.

    Raises
    ------
    flamingoramp.errors.InvalidDeclarationError
        If it can't be in force.
    """
    data = load(document)
    _take(data, "routes", list, "configuration")
    _take(data, "services", list, "configuration")
    declaration = traffic.TrafficDeclaration(
        version=read_version(data),
        routes=tuple(_route(one) for one in _objects(data, "routes", "configuration")),
        services=tuple(_service(one) for one in _objects(data, "services", "configuration")),
        workspaces=tuple(_workspace(one) for one in _objects(data, "tenants", "configuration")),
        limits=_limits(_take(data, "limits", dict, "configuration", {})),
    )
    declaration.check()
    return declaration


def _seconds(data: dict[str, Any], name: str, where: str, default: Any = ...) -> float:
    return _take(data, name, (int, float), where, default) / _MILLISECONDS


def _route(data: dict[str, Any]) -> traffic.Route:
    name = _take(data, "name", str, "route")
    where = f"route {name}"
    kind = _take(data, "kind", str, where)
    idempotency = (
        traffic.Idempotency.IDEMPOTENT
        if kind == "idempotent"
        else traffic.Idempotency.NON_IDEMPOTENT
    )
    if "split" in data:
        shares = tuple(
            traffic.TrafficShare(
                _take(one, "service", str, where), _take(one, "weight", int, where)
            )
            for one in _objects(data, "split", where)
        )
    else:
        shares = (traffic.TrafficShare(_take(data, "service", str, where)),)
    return traffic.Route(
        name=name,
        host=_take(data, "host", str, where).lower(),
        prefix=_take(data, "path_prefix", str, where),
        idempotency=idempotency,
        streams=kind == "streaming",
        resumable=_take(data, "resumable", bool, where, False),
        shares=shares,
        attempts=_take(data, "attempts", int, where, 1),
        timeout_seconds=_seconds(data, "timeout_ms", where),
        latency_objective_seconds=_seconds(data, "slo_ms", where, 1000),
        gap_objective_seconds=_seconds(data, "gap_slo_ms", where, 0),
        priority=_take(data, "priority", int, where, 5),
        is_public=_take(data, "public", bool, where, False),
    )


def _service(data: dict[str, Any]) -> traffic.Service:
    name = _take(data, "name", str, "service")
    where = f"service {name}"
    engine = _take(data, "engine", dict, where, None)
    return traffic.Service(
        name=name,
        max_connections=_take(data, "max_conns", int, where, 100),
        engine=None if engine is None else _engine(engine, where),
    )


def _engine(data: dict[str, Any], where: str) -> traffic.EngineCostModel:
    def _number(name: str, default: float) -> float:
        return _take(data, name, (int, float), where, default)

    return traffic.EngineCostModel(
        slots=_take(data, "slots", int, where),
        memory_tokens=_take(data, "kv_tokens", int, where),
        step_seconds=_number("step_ms", 1.0) / _MILLISECONDS,
        sequence_seconds=_number("per_seq_ms", 0.0) / _MILLISECONDS,
        # The figure on the wire is for each 1,000 tokens of context.
        context_seconds=_number("context_per_k", 0.0) / 1000 / _MILLISECONDS,
        hop_seconds=_number("hop_ms", 0.0) / _MILLISECONDS,
        prefill_tokens_per_second=_number("read_per_s", 100_000.0),
        # The figure on the wire is for each million pairs.
        pair_seconds=_number("pairs_per_m", 0.0) / 1_000_000 / _MILLISECONDS,
        chunk_tokens=_take(data, "chunk", int, where, 2048),
        steps_per_pass=_take(data, "stride", int, where, 1),
    )


def _workspace(data: dict[str, Any]) -> traffic.Workspace:
    name = _take(data, "name", str, "workspace")
    where = f"workspace {name}"
    keys = _take(data, "api_keys", list, where, [])
    if not all(isinstance(key, str) for key in keys):
        raise errors.InvalidDeclarationError(f"{where}: keys are texts")
    return traffic.Workspace(name, tuple(keys), _take(data, "priority", int, where, None))


def _limits(data: dict[str, Any]) -> traffic.CallerLimits:
    return traffic.CallerLimits(
        header_bytes=_take(data, "max_header_bytes", int, "limits", 16384),
        body_bytes=_take(data, "max_body_bytes", int, "limits", 4194304),
        header_seconds=_seconds(data, "header_timeout_ms", "limits", 3000),
        idle_seconds=_seconds(data, "idle_timeout_ms", "limits", 15000),
    )
