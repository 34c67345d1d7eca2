"""Decoding of the operator's configuration document into a traffic declaration."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Generator
from typing import Annotated, Any

import attrs
import msgspec

from flamingoramp import errors, json_arrays, json_documents, steps
from flamingoramp.intent import traffic

# Number of routes, services or workspaces that one step of decoding covers.
ITEMS_PER_STEP = 25
# Decoded items of earlier documents are discarded above twice the current number and this one.
MAX_EARLIER_ITEMS = 1000

_MILLISECONDS_PER_SECOND = 1000.0
_NUMBER = (int, float)
_MAX_USUAL_NUMBER = 1e300
# Fields of routes beyond it are checked one by one; some are infinite, or integers that no float
# can hold.
_MAX_USUAL_FIELD = 2**53
_UsualInteger = Annotated[int, msgspec.Meta(ge=-_MAX_USUAL_FIELD, le=_MAX_USUAL_FIELD)]
_UsualNumber = Annotated[float, msgspec.Meta(ge=-_MAX_USUAL_FIELD, le=_MAX_USUAL_FIELD)]
_IDEMPOTENT = traffic.Idempotency.IDEMPOTENT
_NON_IDEMPOTENT = traffic.Idempotency.NON_IDEMPOTENT


def _field(
    data: dict[str, Any], name: str, kind: type | tuple, where: str, default: Any = ...
) -> Any:
    """Return a field of a JSON object after a type check; ``where`` names the object in errors."""
    value = data.get(name, default)
    value_type = type(value)
    is_usual = value_type is kind or (kind is _NUMBER and value_type in _NUMBER)
    if is_usual and (value_type not in _NUMBER or -_MAX_USUAL_NUMBER < value < _MAX_USUAL_NUMBER):
        return value  # without the checks below, which take longer
    if value is ...:
        raise errors.InvalidDeclarationError(f"{where}: {name} is missing")
    is_number = kind in (int, _NUMBER)
    if value is not default and (not isinstance(value, kind) or (is_number and value is True)):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    if is_number and value is not default and not _is_finite(value):
        raise errors.InvalidDeclarationError(f"{where}: {name} takes a finite number")
    if is_number and isinstance(value, bool):
        raise errors.InvalidDeclarationError(f"{where}: {name} has the wrong type")
    return value


def _is_finite(value: float) -> bool:
    try:
        return math.isfinite(value)
    except OverflowError:  # an integer that no float can hold
        return False


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
    version = decode_version(data)
    _field(data, "routes", list, "configuration")
    _field(data, "services", list, "configuration")
    declaration = traffic.TrafficDeclaration(
        version=version,
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


@attrs.frozen
class _DecodedList:
    """An array of a document, and the items that its elements decode to."""

    array: json_arrays.SplitArray = attrs.field(factory=json_arrays.SplitArray)
    items: tuple[Any, ...] = ()


class Decoder:
    """Decodes one document after the other; items whose text is unchanged are taken over.

    The result equals that of `decode`, and so does the reason of a refusal.
    """

    def __init__(self):
        self._document = b""
        self._declaration: traffic.TrafficDeclaration | None = None
        self._members: dict[str, bytes] = {}
        self._lists = dict.fromkeys(_ITEM_DECODERS, _DecodedList())
        self._items_by_text: dict[str, dict[bytes, Any]] = {name: {} for name in _ITEM_DECODERS}

    def decode(self, document: bytes) -> traffic.TrafficDeclaration:
        """Decode a document and validate it.

        Raises
        ------
        flamingoramp.errors.InvalidDeclarationError
            The document is malformed or contradicts itself.
        """
        return steps.run_all(self.decode_in_steps(document))

    def decode_in_steps(self, document: bytes) -> Generator[None, None, traffic.TrafficDeclaration]:
        """Do what `decode` does, in short steps."""
        if self._declaration is not None and document == self._document:
            return self._declaration
        try:
            members = json_documents.split_object(document)
            yield
            declaration = yield from self._decode_members(members)
            yield
            yield from declaration.check_in_steps(self._declaration)
        except (ValueError, RecursionError, errors.InvalidDeclarationError):
            # It is invalid or can't be split; this finds the reason, or decodes it.
            members, declaration = {}, decode(document)
        self._document, self._declaration, self._members = document, declaration, members
        return declaration

    def _decode_members(
        self, members: dict[str, bytes]
    ) -> Generator[None, None, traffic.TrafficDeclaration]:
        values = {
            name: json_documents.parse(text)
            for name, text in members.items()
            if name in _PLAIN_MEMBERS
        }
        for name, text in members.items():
            is_unknown = name not in _PLAIN_MEMBERS and name not in _ITEM_DECODERS
            if is_unknown and text != self._members.get(name):
                # Its values, which nothing needs, could take many times the memory of the text.
                json_documents.check_member(text)
        version = decode_version(values)
        limits = _decode_limits(_field(values, "limits", dict, "configuration", {}))
        for name in ("routes", "services"):
            _field(members, name, bytes, "configuration")
        items = {}
        for name in _ITEM_DECODERS:
            items[name] = yield from self._decode_items(name, members.get(name, b"[]"))
        return traffic.TrafficDeclaration(
            version=version,
            routes=items["routes"],
            services=items["services"],
            workspaces=items["tenants"],
            limits=limits,
        )

    def _decode_items(self, name: str, text: bytes) -> Generator[None, None, tuple[Any, ...]]:
        """Decode the elements of an array, except those that were decoded before."""
        previous = self._lists[name]
        if text == previous.array.text:
            return previous.items
        change = yield from json_arrays.split_in_steps(text, previous.array)
        yield
        texts = change.array.elements
        start, end = change.equal_at_start, change.equal_at_end
        items_by_text = self._items_by_text[name]
        items = list(map(items_by_text.get, texts[start : len(texts) - end]))
        missing = [position for position, item in enumerate(items) if item is None]
        for number, position in enumerate(missing, start=1):
            item_text = texts[start + position]
            data = json_documents.parse(item_text)
            if not isinstance(data, dict):
                raise errors.InvalidDeclarationError(f"configuration: {name} takes objects")
            items[position] = items_by_text[item_text] = _ITEM_DECODERS[name](data)
            if number % ITEMS_PER_STEP == 0:
                yield
        first, last = previous.items[:start], previous.items[len(previous.items) - end :]
        decoded = _DecodedList(change.array, (*first, *items, *last))
        self._lists[name] = decoded
        if len(items_by_text) > 2 * len(texts) + MAX_EARLIER_ITEMS:
            yield
            self._items_by_text[name] = dict(zip(texts, decoded.items, strict=True))
        return decoded.items


def _seconds_field(data: dict[str, Any], name: str, where: str, default: Any = ...) -> float:
    return _field(data, name, _NUMBER, where, default) / _MILLISECONDS_PER_SECOND


class _UsualShare(msgspec.Struct, frozen=True, gc=False):
    """A share whose fields have the usual types and magnitudes."""

    service: str
    weight: _UsualInteger


class _UsualRoute(msgspec.Struct, frozen=True, gc=False):
    """Fields of a route that all have the usual types and magnitudes."""

    name: str
    kind: str
    host: str
    path_prefix: str
    timeout_ms: _UsualNumber
    split: tuple[_UsualShare, ...] | msgspec.UnsetType = msgspec.UNSET
    service: str = ""
    resumable: bool = False
    attempts: _UsualInteger = 1
    slo_ms: _UsualNumber = 1000.0
    gap_slo_ms: _UsualNumber = 0.0
    priority: _UsualInteger = 5
    public: bool = False


def _decode_route(data: dict[str, Any]) -> traffic.Route:
    """Decode a route: all fields at once if they are usual, else one by one."""
    try:
        usual = msgspec.convert(data, _UsualRoute)
    except msgspec.ValidationError:
        return _decode_unusual_route(data)
    if usual.split is not msgspec.UNSET:
        shares = tuple([_make_share(share.service, share.weight) for share in usual.split])
    elif "service" in data:
        shares = (_make_share(usual.service, 1),)
    else:
        return _decode_unusual_route(data)
    # By position, since names take a fifth more time.
    return traffic.Route(
        usual.name,
        usual.host.lower(),
        usual.path_prefix,
        _IDEMPOTENT if usual.kind == "idempotent" else _NON_IDEMPOTENT,
        usual.kind == "streaming",
        usual.resumable,
        shares,
        usual.attempts,
        usual.timeout_ms / _MILLISECONDS_PER_SECOND,
        usual.slo_ms / _MILLISECONDS_PER_SECOND,
        usual.gap_slo_ms / _MILLISECONDS_PER_SECOND,
        usual.priority,
        usual.public,
    )


@functools.lru_cache(maxsize=1024)
def _make_share(service: str, weight: int) -> traffic.TrafficShare:
    return traffic.TrafficShare(service, weight)


def _decode_unusual_route(data: dict[str, Any]) -> traffic.Route:
    """Decode a route field by field, which finds the reason of a refusal."""
    name = _field(data, "name", str, "route")
    where = f"route {name}"
    kind = _field(data, "kind", str, where)
    idempotency = _IDEMPOTENT if kind == "idempotent" else _NON_IDEMPOTENT
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
    def _cost_field(name: str, default: float) -> float:
        return max(0.0, _field(data, name, _NUMBER, where, default))

    def _rate_field(name: str, kind: type | tuple, default: float) -> float:
        value = _field(data, name, kind, where, default)
        return value if value > 0 else default  # times are divided by it

    return traffic.EngineCostModel(
        slots=_field(data, "slots", int, where),
        memory_tokens=_field(data, "kv_tokens", int, where),
        step_seconds=_cost_field("step_ms", 1.0) / _MILLISECONDS_PER_SECOND,
        sequence_seconds=_cost_field("per_seq_ms", 0.0) / _MILLISECONDS_PER_SECOND,
        # The document gives milliseconds per 1,000 tokens of context.
        context_seconds=_cost_field("context_per_k", 0.0) / 1000 / _MILLISECONDS_PER_SECOND,
        hop_seconds=_cost_field("hop_ms", 0.0) / _MILLISECONDS_PER_SECOND,
        prefill_tokens_per_second=_rate_field("read_per_s", _NUMBER, 100_000.0),
        # The document gives milliseconds per million pairs.
        pair_seconds=_cost_field("pairs_per_m", 0.0) / 1_000_000 / _MILLISECONDS_PER_SECOND,
        chunk_tokens=_rate_field("chunk", int, 2048),
        steps_per_pass=_rate_field("stride", int, 1),
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


_ITEM_DECODERS: dict[str, Callable[[dict[str, Any]], Any]] = {
    "routes": _decode_route,
    "services": _decode_service,
    "tenants": _decode_workspace,
}
_PLAIN_MEMBERS = ("version", "limits")
