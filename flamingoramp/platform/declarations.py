"""Decoding of the operator's configuration document into a traffic declaration."""

from __future__ import annotations

import math
from typing import Any

from flamingoramp import errors, json_documents
from flamingoramp.intent import traffic

_MILLISECONDS_PER_SECOND = 1000.0


def _field(
    data: dict[str, Any], name: str, kind: type | tuple, where: str, default: Any = ...
) -> Any:
    """Return a field of a JSON object after a type check; ``where`` names the object in errors."""
    value = data.get(name, default)
    if value is ...:
        raise errors.InvalidDeclarationError(f"{where}: {name} is missing")
    is_number = kind in (int, (int, float))
    if value is not default and (not isinstance(value, kind) or (is_number and value is True)):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    if is_number and value is not default and not math.isfinite(value):
        raise errors.InvalidDeclarationError(f"{where}: {name} takes a finite number")
    if is_number and isinstance(value, bool):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    return value


def _object_list(data: dict[str, Any], name: str, where: str) -> list[dict[str, Any]]:
    values = _field(data, name, list, where, [])
    if not all(isinstance(value, dict) for value in values):
        raise errors.InvalidDeclarationError(f"{where}: {name} takes objects")
    return values


def decode_object(document: bytes) -> dict[str, Any]:
    """Decode a document into a JSON object.

    Raises
    ------
    flamingoramp.errors.InvalidDeclarationError
        The document is no JSON object.
    """
    try:
        data = json_documents.parse(document)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidDeclarationError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise errors.InvalidDeclarationError("the document is no object")
    return data


def decode_version(data: dict[str, Any]) -> int:
    """Return the version in a decoded document.

    Raises
    ------
    flamingoramp.errors.InvalidDeclarationError
        The version is missing, no integer, or out of range.
    """
    version = _field(data, "version", int, "configuration")
    if not 0 < version < 2**63:
        raise errors.InvalidDeclarationError(f"version: found {version}, takes 1 or more")
    return version


def decode(document: bytes) -> traffic.TrafficDeclaration:
    """Decode a document and validate it.

    Raises
    ------
    flamingoramp.errors.InvalidDeclarationError
        The document is malformed or contradicts itself.
    """
    data = decode_object(document)
    _field(data, "routes", list, "configuration")
    _field(data, "services", list, "configuration")
    declaration = traffic.TrafficDeclaration(
        version=decode_version(data),
        routes=tuple(_decode_route(item) for item in _object_list(data, "routes", "configuration")),
        services=tuple(
            _decode_service(item) for item in _object_list(data, "services", "configuration")
        ),
        workspaces=tuple(
            _decode_workspace(item) for item in _object_list(data, "tenants", "configuration")
        ),
        limits=_decode_limits(_field(data, "limits", dict, "configuration", {})),
    )
    declaration.check()
    return declaration


def _seconds_field(data: dict[str, Any], name: str, where: str, default: Any = ...) -> float:
    return _field(data, name, (int, float), where, default) / _MILLISECONDS_PER_SECOND


def _decode_route(data: dict[str, Any]) -> traffic.Route:
    name = _field(data, "name", str, "route")
    where = f"route {name}"
    kind = _field(data, "kind", str, where)
    idempotency = (
        traffic.Idempotency.IDEMPOTENT
        if kind == "idempotent"
        else traffic.Idempotency.NON_IDEMPOTENT
    )
    if "split" in data:
        shares = tuple(
            traffic.TrafficShare(
                _field(item, "service", str, where), _field(item, "weight", int, where)
            )
            for item in _object_list(data, "split", where)
        )
    else:
        shares = (traffic.TrafficShare(_field(data, "service", str, where)),)
    return traffic.Route(
        name=name,
        host=_field(data, "host", str, where).lower(),
        prefix=_field(data, "path_prefix", str, where),
        idempotency=idempotency,
        streams=kind == "streaming",
        resumable=_field(data, "resumable", bool, where, False),
        shares=shares,
        attempts=_field(data, "attempts", int, where, 1),
        timeout_seconds=_seconds_field(data, "timeout_ms", where),
        latency_objective_seconds=_seconds_field(data, "slo_ms", where, 1000),
        gap_objective_seconds=_seconds_field(data, "gap_slo_ms", where, 0),
        priority=_field(data, "priority", int, where, 5),
        is_public=_field(data, "public", bool, where, False),
    )


def _decode_service(data: dict[str, Any]) -> traffic.Service:
    name = _field(data, "name", str, "service")
    where = f"service {name}"
    engine = _field(data, "engine", dict, where, None)
    return traffic.Service(
        name=name,
        max_connections=_field(data, "max_conns", int, where, 100),
        engine=None if engine is None else _decode_engine(engine, where),
        warm_up_seconds=_field(data, "cold_s", (int, float), where, None) or 0.0,
        warm_up_rate=_field(data, "cold_per_s", (int, float), where, None) or 0.0,
    )


def _decode_engine(data: dict[str, Any], where: str) -> traffic.EngineCostModel:
    def _number_field(name: str, default: float) -> float:
        return _field(data, name, (int, float), where, default)

    return traffic.EngineCostModel(
        slots=_field(data, "slots", int, where),
        memory_tokens=_field(data, "kv_tokens", int, where),
        step_seconds=_number_field("step_ms", 1.0) / _MILLISECONDS_PER_SECOND,
        sequence_seconds=_number_field("per_seq_ms", 0.0) / _MILLISECONDS_PER_SECOND,
        # The document gives milliseconds per 1,000 tokens of context.
        context_seconds=_number_field("context_per_k", 0.0) / 1000 / _MILLISECONDS_PER_SECOND,
        hop_seconds=_number_field("hop_ms", 0.0) / _MILLISECONDS_PER_SECOND,
        prefill_tokens_per_second=_number_field("read_per_s", 100_000.0),
        # The document gives milliseconds per million pairs.
        pair_seconds=_number_field("pairs_per_m", 0.0) / 1_000_000 / _MILLISECONDS_PER_SECOND,
        chunk_tokens=_field(data, "chunk", int, where, 2048),
        steps_per_pass=_field(data, "stride", int, where, 1),
    )


def _decode_workspace(data: dict[str, Any]) -> traffic.Workspace:
    name = _field(data, "name", str, "workspace")
    where = f"workspace {name}"
    keys = _field(data, "api_keys", list, where, [])
    if not all(isinstance(key, str) for key in keys):
        raise errors.InvalidDeclarationError(f"{where}: keys are texts")
    return traffic.Workspace(name, tuple(keys), _field(data, "priority", int, where, None))


def _decode_limits(data: dict[str, Any]) -> traffic.CallerLimits:
    return traffic.CallerLimits(
        header_bytes=_field(data, "max_header_bytes", int, "limits", 16384),
        body_bytes=_field(data, "max_body_bytes", int, "limits", 4194304),
        header_seconds=_seconds_field(data, "header_timeout_ms", "limits", 3000),
        idle_seconds=_seconds_field(data, "idle_timeout_ms", "limits", 15000),
    )
