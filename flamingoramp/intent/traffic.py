"""Traffic configuration: routes, services, workspaces with API keys, and limits on callers."""

from __future__ import annotations

import enum
import functools
import operator
import zlib
from collections.abc import Callable, Generator, Iterable, Sequence
from typing import Any

import attrs

from flamingoramp import errors, sequences, steps, value_classes

# Number of items that one step of a check covers.
ITEMS_PER_STEP = 200
# Latency objective that decisions assume for a route without one; the default of a declaration.
ASSUMED_OBJECTIVE_SECONDS = 1.0


class Idempotency(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@attrs.frozen(eq=False, repr=False)
class TrafficShare(value_classes.Value):
    """Weight of one service in the traffic split of a route."""

    service: str
    weight: int = 1


@attrs.frozen(eq=False, repr=False)
class Route(value_classes.Value):
    """Routing rule for a host and path prefix: target services, time limits and retry policy.

    Parameters
    ----------
    name, host, prefix : str
        The path prefix must begin and end with a slash.
    idempotency : Idempotency
    streams : bool
        Whether responses are event streams.
    resumable : bool
        Whether another backend server may resume an interrupted stream.
    shares : tuple of TrafficShare
    attempts : int
        Maximum number of backend servers that one request is sent to.
    timeout_seconds : float
        Time limit of the complete response.
    latency_objective_seconds : float
        Service level objective of the time to the first output; 0 for none.
    gap_objective_seconds : float
        Service level objective of the longest gap between two events of a stream; 0 for none.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests are accepted without an API key.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    streams: bool = False
    resumable: bool = False
    shares: tuple[TrafficShare, ...] = ()
    attempts: int = 1
    timeout_seconds: float = 30.0
    latency_objective_seconds: float = 1.0
    gap_objective_seconds: float = 0.0
    priority: int = 5
    is_public: bool = False

    @property
    def assumed_objective_seconds(self) -> float:
        """Latency objective that decisions assume: the declared one, if there is one."""
        return self.latency_objective_seconds or ASSUMED_OBJECTIVE_SECONDS

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be sent to a second backend server after the first failed."""
        return self.resumable if self.streams else self.idempotency is Idempotency.IDEMPOTENT

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request by weighted hashing; equal ids give the same service."""
        total = sum(share.weight for share in self.shares)
        position = zlib.crc32(request_id.encode()) % total
        for share in self.shares:
            position -= share.weight
            if position < 0:
                return share.service
        raise errors.InvariantViolationError("the weights of a route add up to nothing")


@attrs.frozen(eq=False, repr=False)
class EngineCostModel(value_classes.Value):
    """Cost model of a model engine, which works in passes of several token steps.

    Parameters
    ----------
    slots : int
        Maximum number of requests in one batch.
    memory_tokens : int
        Capacity of the KV cache.
    step_seconds : float
        Fixed cost of a token step.
    sequence_seconds : float
        Cost of a token step for each sequence in the batch.
    context_seconds : float
        Cost of a token step for each token of context in the batch.
    hop_seconds : float
        Cost of a token step for each sequence whose prompt is held by several engines.
    prefill_tokens_per_second : float
    pair_seconds : float
        Attention cost of prefill for each pair of a prompt token and an earlier one.
    chunk_tokens : int
        Prompt tokens that are prefilled in one step.
    steps_per_pass : int
        Token steps of a pass; events are emitted at its end.
    """

    slots: int = 8
    memory_tokens: int = 400_000
    step_seconds: float = 0.0013
    sequence_seconds: float = 0.0
    context_seconds: float = 0.0
    hop_seconds: float = 0.0
    prefill_tokens_per_second: float = 150_000.0
    pair_seconds: float = 0.0
    chunk_tokens: int = 2048
    steps_per_pass: int = 1

    def prefill_seconds(self, tokens: int) -> float:
        """Return the time that an otherwise idle engine needs to prefill a prompt."""
        steps = -(-tokens // self.chunk_tokens)
        pairs = tokens * tokens / 2
        return (
            tokens / self.prefill_tokens_per_second
            + pairs * self.pair_seconds
            + steps * self.step_seconds
        )

    @property
    def decode_pass_seconds(self) -> float:
        """Duration of a pass without prefill."""
        return self.steps_per_pass * self.step_seconds


@attrs.frozen(eq=False, repr=False)
class Service(value_classes.Value):
    """A service and, if its backend servers are model engines, their cost model.

    Parameters
    ----------
    name : str
    max_connections : int
    engine : EngineCostModel or None
    warm_up_seconds : float
        Time for which a server is cold after a start during traffic; 0 if not declared.
    warm_up_rate : float
        Requests per second that a cold server tolerates from all entries together; 0 for no limit.
    """

    name: str
    max_connections: int = 100
    engine: EngineCostModel | None = None
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0


@attrs.frozen(eq=False, repr=False)
class Workspace(value_classes.Value):
    """A workspace, its API keys, and its priority (None: the priority of the route)."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@attrs.frozen(eq=False, repr=False)
class CallerLimits(value_classes.Value):
    """Limits on the size of requests, and timeouts of caller connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen(slots=False, eq=False, repr=False)
class TrafficDeclaration(value_classes.Value):
    """Complete traffic configuration under the version that its operator gave it."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)

    @property
    def item_count(self) -> int:
        """Number of routes, services and workspaces."""
        return len(self.routes) + len(self.services) + len(self.workspaces)

    @functools.cached_property
    def _route_by_prefix(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.prefix): route for route in self.routes}

    @functools.cached_property
    def _longest_prefix_length(self) -> int:
        return max((len(route.prefix) for route in self.routes), default=0)

    @functools.cached_property
    def _workspace_by_key(self) -> dict[str, Workspace]:
        return {key: workspace for workspace in self.workspaces for key in workspace.keys}

    @functools.cached_property
    def _service_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that the path starts with, or None."""
        end = min(len(path), self._longest_prefix_length)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, None if the key is unknown."""
        return self._workspace_by_key.get(key)

    def find_service(self, name: str) -> Service | None:
        """Return a service, None if none of that name is declared."""
        return self._service_by_name.get(name)

    def count_reused_items(self, previous: TrafficDeclaration | None) -> int:
        """Return the number of routes, services and workspaces taken over from another one."""
        if previous is None:
            return 0
        changes = (
            _compare_items(previous.routes, self.routes),
            _compare_items(previous.services, self.services),
            _compare_items(previous.workspaces, self.workspaces),
        )
        return self.item_count - sum(len(change.added) for change in changes)

    def check(self, previous: TrafficDeclaration | None = None) -> None:
        """Check the declaration for duplicates, undeclared services and invalid values.

        Parameters
        ----------
        previous : TrafficDeclaration or None
            A declaration that was checked. Items that are the same objects are not checked again.

        Raises
        ------
        flamingoramp.errors.InvalidDeclarationError
            Names the invalid route or service, or the workspaces that share a key.
        """
        steps.run_all(self.check_in_steps(previous))

    def check_in_steps(
        self, previous: TrafficDeclaration | None = None
    ) -> Generator[None, None, None]:
        """Do what `check` does, in short steps."""
        unchecked: Sequence[Route] = self.routes
        if previous is not None:
            changes = _compare_items(previous.routes, self.routes)
            yield
            yield from self._update_indexes(previous, changes)
            if previous._service_by_name.keys() <= self._service_by_name.keys():
                unchecked = changes.added
        if len(self._service_by_name) != len(self.services):
            raise errors.InvalidDeclarationError("services: a name stands twice")
        if len(self._route_by_prefix) != len(self.routes):
            raise errors.InvalidDeclarationError("routes: a host and prefix stand twice")
        yield
        for service in self.services:
            if service.warm_up_seconds < 0 or service.warm_up_rate < 0:
                raise errors.InvalidDeclarationError(
                    f"service {service.name}: the time and rate of the warm-up take 0 or more"
                )
        yield
        for number, route in enumerate(unchecked, start=1):
            self._check_route(route)
            if number % ITEMS_PER_STEP == 0:
                yield
        if len(self._workspace_by_key) != sum(len(item.keys) for item in self.workspaces):
            self._check_keys()

    def _update_indexes(
        self, previous: TrafficDeclaration, routes: _ItemChanges
    ) -> Generator[None, None, None]:
        """Build the indexes from those of a declaration that shares most items."""
        self.__dict__["_route_by_prefix"] = yield from _update_index(
            previous._route_by_prefix, routes, lambda route: ((route.host, route.prefix),)
        )
        self.__dict__["_service_by_name"] = yield from _update_index(
            previous._service_by_name,
            _compare_items(previous.services, self.services),
            lambda service: (service.name,),
        )
        workspace_by_key = yield from _update_index(
            previous._workspace_by_key,
            _compare_items(previous.workspaces, self.workspaces),
            lambda workspace: workspace.keys,
        )
        # If a key stands twice, the order of the workspaces decides, which was not kept.
        if len(workspace_by_key) == sum(len(item.keys) for item in self.workspaces):
            self.__dict__["_workspace_by_key"] = workspace_by_key

    def _check_keys(self) -> None:
        workspace_by_key: dict[str, str] = {}
        for workspace in self.workspaces:
            for key in workspace.keys:
                if workspace_by_key.setdefault(key, workspace.name) != workspace.name:
                    raise errors.InvalidDeclarationError(
                        f"workspaces {workspace_by_key[key]} and {workspace.name} share a key"
                    )

    def _check_route(self, route: Route) -> None:
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            raise errors.InvalidDeclarationError(
                f"route {route.name}: the prefix {route.prefix!r} must begin and end with a slash"
            )
        total = 0
        services = self._service_by_name
        for share in route.shares:
            if share.service not in services:
                raise errors.InvalidDeclarationError(
                    f"route {route.name}: no service {share.service!r} is declared"
                )
            if share.weight < 0:
                raise errors.InvalidDeclarationError(f"route {route.name}: a negative weight")
            total += share.weight
        if total <= 0:
            raise errors.InvalidDeclarationError(f"route {route.name}: the weights add up to 0")
        if route.timeout_seconds <= 0:
            raise errors.InvalidDeclarationError(f"route {route.name}: the timeout is 0")
        if route.attempts < 1:
            raise errors.InvalidDeclarationError(f"route {route.name}: no attempt is allowed")


@attrs.frozen
class _ItemChanges:
    """Items that only the previous declaration has, and those that only the new one has."""

    removed: Sequence[Any]
    added: Sequence[Any]


def _compare_items(previous_items: tuple[Any, ...], items: tuple[Any, ...]) -> _ItemChanges:
    start, end = sequences.count_equal_ends(previous_items, items, operator.is_)
    removed = previous_items[start : len(previous_items) - end]
    added = items[start : len(items) - end]
    removed_ids, added_ids = set(map(id, removed)), set(map(id, added))
    return _ItemChanges(
        [item for item in removed if id(item) not in added_ids],
        [item for item in added if id(item) not in removed_ids],
    )


def _update_index(
    index: dict[Any, Any], changes: _ItemChanges, keys_of: Callable[[Any], Iterable[Any]]
) -> Generator[None, None, dict[Any, Any]]:
    """Return an index with changed items, built in short steps.

    It is complete if it has as many keys as all items together; else a key stands twice.
    """
    updated = index.copy()
    for number, item in enumerate(changes.removed, start=1):
        for key in keys_of(item):
            updated.pop(key, None)
        if number % ITEMS_PER_STEP == 0:
            yield
    for number, item in enumerate(changes.added, start=1):
        for key in keys_of(item):
            updated[key] = item
        if number % ITEMS_PER_STEP == 0:
            yield
    return updated
