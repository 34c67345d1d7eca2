"""Daemons of one deployment in one process and in virtual time, with faults from a seed.

The daemons are the real ones; loop, transport, disk and HTTP are small fakes. Messages are delayed,
lost and repeated; processes are killed, frozen and restarted; disks are lost; clocks run apart.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.consensus import effects, entry_log
from flamingoramp.protocol import messages
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import settings as settings_module

MESSAGE_LOSS = 0.01
MESSAGE_REPEAT = 0.01
MESSAGE_LATE = 0.02
CLOCK_RATE_ERROR = 0.02
WALL_CLOCK_ERROR_SECONDS = 0.4
WALL_CLOCK_START = 1_700_000_000.0


class Violation(AssertionError):  # noqa: N818
    """Something that must always hold did not."""


@attrs.define
class Node:
    """A process: its clock, and whether it lives."""

    name: str
    clock_rate: float = 1.0
    offset: float = 0.0
    wall_error: float = 0.0
    life: int = 0
    alive: bool = True
    frozen_until: float = 0.0
    daemon: Any = None


class Simulation:
    """Virtual time, the network and all nodes.

    Parameters
    ----------
    seed : int
        The same seed gives the same run.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.addresses: dict[str, str] = {}
        self.cut: set[frozenset[str]] = set()
        self.message_faults_disabled = False
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []
        self._heap: list[tuple[float, int, str, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def add_node(self, name: str) -> Node:
        """Add a process with a clock of its own."""
        clock_rate = 1 + self.rng.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR)
        wall_error = self.rng.uniform(-WALL_CLOCK_ERROR_SECONDS, WALL_CLOCK_ERROR_SECONDS)
        node = Node(name, clock_rate, self.rng.uniform(0, 1000), wall_error)
        self.nodes[name] = node
        return node

    def at(self, delay: float, node: Node | None, action: Callable[[], None]) -> None:
        """Run an action after a delay, unless its node has ended by then."""
        name, life = (node.name, node.life) if node else ("", 0)
        heapq.heappush(self._heap, (self.now + delay, next(self._order), name, life, action))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            time, order, name, life, action = heapq.heappop(self._heap)
            self.now = max(self.now, time)
            node = self.nodes.get(name)
            if node is not None:
                if not node.alive or node.life != life:
                    continue
                if node.frozen_until > self.now:
                    heapq.heappush(self._heap, (node.frozen_until, order, name, life, action))
                    continue
            action()
        self.now = end

    def connected(self, one: str, other: str) -> bool:
        """Tell whether two processes reach each other."""
        return frozenset((one, other)) not in self.cut

    def delay(self) -> float:
        """Return how long a message takes, in seconds."""
        if not self.message_faults_disabled and self.rng.random() < MESSAGE_LATE:
            return self.rng.uniform(0.05, 1.0)
        return self.rng.uniform(0.0005, 0.004)

    def send(self, source: Node, target: str, action: Callable[[], None]) -> None:
        """Run an action at another node as if by a message, which may get lost."""
        copies = 1
        if not self.message_faults_disabled:
            draw = self.rng.random()
            copies = 0 if draw < MESSAGE_LOSS else 2 if draw > 1 - MESSAGE_REPEAT else 1
        for _ in range(copies):
            if self.connected(source.name, target):
                self._deliver(source.name, target, action)

    def _deliver(self, source: str, target: str, action: Callable[[], None]) -> None:
        node = self.nodes[target]

        def arrive() -> None:
            if self.connected(source, target):
                action()

        self.at(self.delay(), node, arrive)


class VirtualLoop:
    """The loop of a node, on its own clock."""

    def __init__(self, world: Simulation, node: Node):
        self._world = world
        self._node = node
        self._life = node.life

    def now(self) -> float:
        """Return the node's monotonic time."""
        return self._world.now * self._node.clock_rate + self._node.offset

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback once."""
        self._world.at(delay / self._node.clock_rate, self._node, callback)

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback again and again."""
        loops.repeat(self.call_later, interval, callback)

    def post(self, callback: Callable[[], None]) -> None:
        """Run a callback soon."""
        self.call_later(0, callback)

    def stop(self) -> None:
        """End the node, as a planned stop does."""
        self._node.alive = False


class _Nothing:
    """Takes metrics and events and keeps nothing."""

    def __getattr__(self, _name: str) -> Callable[..., None]:
        return lambda *_args, **_fields: None


@attrs.define
class _Connection:
    """Replies go back to the node that a message came from."""

    world: Simulation
    source: Node
    target: str

    def send(self, message: Any) -> None:
        """Send a reply."""
        target = self.world.nodes[self.target]
        life = target.life

        def _arrive() -> None:
            if target.life == life:
                target.daemon.process.transport.deliver(self.source.name, message, None)

        self.world.send(self.source, self.target, _arrive)


class VirtualTransport:
    """Messages of a node through the world's network."""

    def __init__(self, world: Simulation, node: Node, deliver: Callable[..., None], address: str):
        self._world = world
        self._node = node
        self.deliver = deliver
        self.name = node.name
        self.address = address

    def send(self, address: str, message: Any) -> bool:
        """Send a message to a process."""
        target = self._world.addresses[address]
        name = self.name
        connection = _Connection(self._world, self._world.nodes[target], self._node.name)

        def _arrive() -> None:
            daemon = self._world.nodes[target].daemon
            daemon.process.transport.deliver(name, message, connection)

        self._world.send(self._node, target, _arrive)
        return True

    def disconnect(self, _address: str) -> None:
        """Do nothing: messages need no connection here."""


@attrs.define
class _Http:
    url: str


class SimulatedProcess:
    """What a daemon is wired from, without sockets and threads."""

    def __init__(
        self,
        world: Simulation,
        node: Node,
        *,
        name: str,
        settings: settings_module.Settings,
        internal_address: str,
        http_address: str,
        deliver: Callable[..., None],
        respond: Any,
    ):
        self._world = world
        self._node = node
        self.name = name
        self.settings = settings
        self.loop = VirtualLoop(world, node)
        self.transport = VirtualTransport(world, node, deliver, internal_address)
        self.http = _Http(f"http://{http_address}")
        self.metrics = _Nothing()
        self.logger = logging.getLogger("world")
        world.addresses[internal_address] = node.name

    def wall_time(self) -> float:
        """Return Unix time, off by the node's error."""
        return WALL_CLOCK_START + self._world.now + self._node.wall_error

    def new_incarnation(self) -> str:
        """Return a name for a new life."""
        return f"{self._world.rng.getrandbits(48):012x}"

    def record_event(self, kind: str, request: str = "", **fields: Any) -> None:
        """Keep an event for the tests."""
        event = (self._world.now, self._node.name, kind, {"request": request, **fields})
        self._world.events.append(event)

    def log_change(self, event: str, **fields: Any) -> None:
        """Keep an event for the tests."""
        self.record_event(event, **fields)


class SimulatedDisk:
    """Storage that outlives a process, unless it is lost."""

    log_bytes = 0

    def __init__(self):
        self._identity = ""
        self._hard = effects.HardState()
        self._snapshot = effects.Snapshot()
        self._entries: list[messages.LogEntry] = []

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return the stored identity, a new one on an empty disk."""
        self._identity = self._identity or f"{host}#{new_incarnation}"
        return self._identity

    def recover(self) -> entry_log.RecoveredState:
        """Return what was stored."""
        return entry_log.RecoveredState(self._hard, self._snapshot, tuple(self._entries))

    def persist(self, batch: list[effects.Persist]) -> None:
        """Store a batch."""
        for item in batch:
            self._hard = item.hard_state
            if item.truncate_from:
                first = item.truncate_from
                self._entries = [one for one in self._entries if one.index < first]
            self._entries += item.entries

    def save_snapshot(
        self,
        hard_state: effects.HardState,
        snapshot: effects.Snapshot,
        entries: tuple[messages.LogEntry, ...],
    ) -> None:
        """Store a snapshot and what follows it."""
        self._hard = hard_state
        self._snapshot = snapshot
        self._entries = list(entries)

    def close(self) -> None:
        """Do nothing."""
