"""What operators declare about traffic: routes, services, workspaces with keys, and limits."""

from __future__ import annotations

import enum
import functools
import zlib

import attrs

from flamingoramp import errors


class Idempotency(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@attrs.frozen
class TrafficShare:
    """Part of a route's requests that goes to a service."""

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """Where requests of a host and path prefix go, and what they may cost.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    repeat : Repeat
    streams : bool
        Whether answers are event streams.
    resumable : bool
        Whether a stream may be taken up again by another backend server.
    shares : tuple of Share
    attempts : int
        Backend servers that one request may be sent to.
    timeout, objective, pause_objective : float
        Seconds: the longest wait for the whole answer, the wait for the first piece that still
        counts as on time, and the longest pause between pieces; 0 for none.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests need no key.
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
    def is_retryable(self) -> bool:
        """Whether a request may run on a second backend server."""
        return self.resumable if self.streams else self.idempotency is Idempotency.IDEMPOTENT

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request, the same for the same id."""
        total = sum(share.weight for share in self.shares)
        point = zlib.crc32(request_id.encode()) % total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        raise errors.InvariantViolationError("the weights of a route add up to nothing")


@attrs.frozen
class EngineCostModel:
    """What a pass of a model engine costs.

    Parameters
    ----------
    slots : int
        Requests that it works on at once.
    memory_tokens : int
    step_seconds, sequence_seconds, context_seconds, hop_seconds : float
        Cost of a token step, of each sequence in it, of each token of context, and of each step
        of a prompt that several engines hold.
    read_rate : float
        Prompt tokens a second.
    pair_seconds : float
        Cost of a pair of a prompt token and an earlier one.
    chunk_tokens : int
        Prompt tokens read in one step.
    stride : int
        Steps of a pass, after which events go out.
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
        """Return how long an engine that does nothing else reads a prompt."""
        steps = -(-tokens // self.chunk_tokens)
        pairs = tokens * tokens / 2
        return (
            tokens / self.prefill_tokens_per_second
            + pairs * self.pair_seconds
            + steps * self.step_seconds
        )

    @property
    def decode_pass_seconds(self) -> float:
        """Duration of a pass that reads nothing."""
        return self.steps_per_pass * self.step_seconds


@attrs.frozen
class Service:
    """A service and, if its backend servers are model engines, what they cost."""

    name: str
    max_connections: int = 100
    engine: EngineCostModel | None = None


@attrs.frozen
class Workspace:
    """A workspace, the keys of its callers, and its rank (None: that of the route)."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bounds on what callers may send, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen(slots=False)
class TrafficDeclaration:
    """All that operators declare about traffic, under one version."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)

    @functools.cached_property
    def _by_place(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.prefix): route for route in self.routes}

    @functools.cached_property
    def _by_key(self) -> dict[str, Workspace]:
        return {key: one for one in self.workspaces for key in one.keys}

    @functools.cached_property
    def _by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that begins the path."""
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._by_place.get((host, path[: end + 1]))
            if route is not None:
                return route

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> Service | None:
        """Return a service."""
        return self._by_name.get(name)

    def check(self) -> None:
        """Refuse a declaration that contradicts itself.

        Raises
        ------
        flamingoramp.errors.InvalidDeclarationError
            Says which route, service or key is at fault.
        """
        if len(self._by_name) != len(self.services):
            raise errors.InvalidDeclarationError("services: a name stands twice")
        if len(self._by_place) != len(self.routes):
            raise errors.InvalidDeclarationError("routes: a host and prefix stand twice")
        for route in self.routes:
            self._check_route(route)
        holders: dict[str, str] = {}
        for one in self.workspaces:
            for key in one.keys:
                if holders.setdefault(key, one.name) != one.name:
                    raise errors.InvalidDeclarationError(
                        f"workspaces {holders[key]} and {one.name} share a key"
                    )

    def _check_route(self, route: Route) -> None:
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            raise errors.InvalidDeclarationError(
                f"route {route.name}: the prefix {route.prefix!r} must begin and end with a slash"
            )
        for share in route.shares:
            if share.service not in self._by_name:
                raise errors.InvalidDeclarationError(
                    f"route {route.name}: no service {share.service!r} is declared"
                )
            if share.weight < 0:
                raise errors.InvalidDeclarationError(f"route {route.name}: a negative weight")
        if sum(share.weight for share in route.shares) <= 0:
            raise errors.InvalidDeclarationError(f"route {route.name}: the weights add up to 0")
        if route.timeout_seconds <= 0:
            raise errors.InvalidDeclarationError(f"route {route.name}: the timeout is 0")
        if route.attempts < 1:
            raise errors.InvalidDeclarationError(f"route {route.name}: no attempt is allowed")
