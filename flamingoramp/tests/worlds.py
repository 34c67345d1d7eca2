"""Deterministic simulation of a deployment in one process, in virtual time, with seeded faults.

The daemons are the real ones; event loop, transport, disk and HTTP are fakes. Messages are delayed,
lost and duplicated; processes are killed, frozen and restarted; disks are lost; clocks drift.
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

MESSAGE_LOSS_RATIO = 0.01
MESSAGE_DUPLICATION_RATIO = 0.01
MESSAGE_DELAY_RATIO = 0.02
MAX_CLOCK_RATE_ERROR_RATIO = 0.02
MAX_WALL_CLOCK_ERROR_SECONDS = 0.4
WALL_CLOCK_START_UNIX_SECONDS = 1_700_000_000.0


class Violation(AssertionError):  # noqa: N818
    """An invariant of the system was violated in a simulated run."""


@attrs.define
class SimulatedNode:
    """A process of the simulation: its clock, its state, and the daemon that it runs.

    Each start increments `start_count`; actions that were scheduled for an earlier start are
    dropped.
    """

    name: str
    clock_rate: float = 1.0
    clock_offset_seconds: float = 0.0
    wall_clock_error_seconds: float = 0.0
    start_count: int = 0
    is_running: bool = True
    frozen_until: float = 0.0
    daemon: Any = None


class Simulation:
    """The virtual time, the network and all nodes of a run.

    Parameters
    ----------
    seed : int
        The same seed gives the same run.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, SimulatedNode] = {}
        self.node_names_by_address: dict[str, str] = {}
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.message_faults_disabled = False
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []
        self._action_queue: list[tuple[float, int, str, int, Callable[[], None]]] = []
        self._action_numbers = itertools.count()

    def add_node(self, name: str) -> SimulatedNode:
        """Add a process whose clock has a random rate and offset."""
        clock_rate = 1 + self.rng.uniform(-MAX_CLOCK_RATE_ERROR_RATIO, MAX_CLOCK_RATE_ERROR_RATIO)
        wall_clock_error_seconds = self.rng.uniform(
            -MAX_WALL_CLOCK_ERROR_SECONDS, MAX_WALL_CLOCK_ERROR_SECONDS
        )
        node = SimulatedNode(name, clock_rate, self.rng.uniform(0, 1000), wall_clock_error_seconds)
        self.nodes[name] = node
        return node

    def schedule(
        self, delay_seconds: float, node: SimulatedNode | None, action: Callable[[], None]
    ) -> None:
        """Run an action after a delay, unless its node has stopped or restarted by then.

        An action of a frozen node runs when the freeze ends.
        """
        name, start_count = (node.name, node.start_count) if node else ("", 0)
        heapq.heappush(
            self._action_queue,
            (self.now + delay_seconds, next(self._action_numbers), name, start_count, action),
        )

    def advance(self, seconds: float) -> None:
        """Advance the virtual time and run the actions that become due."""
        end = self.now + seconds
        while self._action_queue and self._action_queue[0][0] <= end:
            action_time, action_number, name, start_count, action = heapq.heappop(
                self._action_queue
            )
            self.now = max(self.now, action_time)
            node = self.nodes.get(name)
            if node is not None:
                if not node.is_running or node.start_count != start_count:
                    continue
                if node.frozen_until > self.now:
                    heapq.heappush(
                        self._action_queue,
                        (node.frozen_until, action_number, name, start_count, action),
                    )
                    continue
            action()
        self.now = end

    def is_connected(self, first_name: str, second_name: str) -> bool:
        """Return whether no network partition separates two processes."""
        return frozenset((first_name, second_name)) not in self.partitioned_pairs

    def draw_message_delay(self) -> float:
        """Return a random network delay for a message, in seconds."""
        if not self.message_faults_disabled and self.rng.random() < MESSAGE_DELAY_RATIO:
            return self.rng.uniform(0.05, 1.0)
        return self.rng.uniform(0.0005, 0.004)

    def send(self, source: SimulatedNode, target_name: str, action: Callable[[], None]) -> None:
        """Run an action at another node as a message would: it may be lost or duplicated."""
        copies = 1
        if not self.message_faults_disabled:
            draw = self.rng.random()
            copies = (
                0 if draw < MESSAGE_LOSS_RATIO else 2 if draw > 1 - MESSAGE_DUPLICATION_RATIO else 1
            )
        for _ in range(copies):
            if self.is_connected(source.name, target_name):
                self._deliver(source.name, target_name, action)

    def _deliver(self, source_name: str, target_name: str, action: Callable[[], None]) -> None:
        node = self.nodes[target_name]

        def _arrive() -> None:
            if self.is_connected(source_name, target_name):
                action()

        self.schedule(self.draw_message_delay(), node, _arrive)


class SimulatedLoop:
    """Event loop of a node, on the node's own clock."""

    def __init__(self, sim: Simulation, node: SimulatedNode):
        self._sim = sim
        self._node = node
        self._start_count = node.start_count

    def now(self) -> float:
        """Return the node's monotonic time, in seconds."""
        return self._sim.now * self._node.clock_rate + self._node.clock_offset_seconds

    def call_later(self, delay_seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback once, after a delay in seconds of the node's clock."""
        self._sim.schedule(delay_seconds / self._node.clock_rate, self._node, callback)

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run a callback at an interval, in seconds of the node's clock."""
        loops.repeat(self.call_later, interval, callback)

    def post(self, callback: Callable[[], None]) -> None:
        """Run a callback in the next iteration."""
        self.call_later(0, callback)

    def stop(self) -> None:
        """Stop the node, as a daemon does at the end of its planned stop."""
        self._node.is_running = False


class _NullMetrics:
    """Metrics that record nothing."""

    def __getattr__(self, _name: str) -> Callable[..., None]:
        return lambda *_args, **_fields: None


@attrs.define
class _ReplyConnection:
    """Connection on which a node replies to the sender of a message."""

    sim: Simulation
    source: SimulatedNode
    target_name: str

    def send(self, message: Any) -> None:
        """Send a reply; it is dropped if the receiver restarted meanwhile."""
        target = self.sim.nodes[self.target_name]
        start_count = target.start_count

        def _arrive() -> None:
            if target.start_count == start_count:
                target.daemon.process.transport.deliver(self.source.name, message, None)

        self.sim.send(self.source, self.target_name, _arrive)


class SimulatedTransport:
    """Transport of a node over the simulated network.

    Parameters
    ----------
    sim : Simulation
    node : SimulatedNode
    deliver : callable
        Receives the sender's name, the message and the connection for replies.
    address : str
    """

    def __init__(
        self, sim: Simulation, node: SimulatedNode, deliver: Callable[..., None], address: str
    ):
        self._sim = sim
        self._node = node
        self.deliver = deliver
        self.name = node.name
        self.address = address

    def send(self, address: str, message: Any) -> bool:
        """Send a message to the process at an address; always return True."""
        target_name = self._sim.node_names_by_address[address]
        name = self.name
        connection = _ReplyConnection(self._sim, self._sim.nodes[target_name], self._node.name)

        def _arrive() -> None:
            daemon = self._sim.nodes[target_name].daemon
            daemon.process.transport.deliver(name, message, connection)

        self._sim.send(self._node, target_name, _arrive)
        return True

    def disconnect(self, _address: str) -> None:
        """Do nothing: simulated messages need no connection."""


@attrs.define
class _SimulatedHttpServer:
    url: str


class SimulatedProcess:
    """Stands in for a daemon's process services: loop, transport, HTTP address, metrics, logs.

    Uses no sockets and no threads; the parameters after the node are those of the real class.

    Parameters
    ----------
    sim : Simulation
    node : SimulatedNode
    name : str
    settings : settings.Settings
    internal_address, http_address : str
    deliver : callable
        Receives the sender's name, the message and the connection for replies.
    respond : callable
        Not used: there is no HTTP server.
    """

    def __init__(
        self,
        sim: Simulation,
        node: SimulatedNode,
        *,
        name: str,
        settings: settings_module.Settings,
        internal_address: str,
        http_address: str,
        deliver: Callable[..., None],
        respond: Any,
    ):
        self._sim = sim
        self._node = node
        self.name = name
        self.settings = settings
        self.loop = SimulatedLoop(sim, node)
        self.transport = SimulatedTransport(sim, node, deliver, internal_address)
        self.http = _SimulatedHttpServer(f"http://{http_address}")
        self.metrics = _NullMetrics()
        self.logger = logging.getLogger("world")
        sim.node_names_by_address[internal_address] = node.name

    def wall_time(self) -> float:
        """Return the Unix time in seconds, shifted by the error of the node's wall clock."""
        return WALL_CLOCK_START_UNIX_SECONDS + self._sim.now + self._node.wall_clock_error_seconds

    def new_incarnation(self) -> str:
        """Return a random identifier for a new start of the process."""
        return f"{self._sim.rng.getrandbits(48):012x}"

    def record_event(self, kind: str, request: str = "", **fields: Any) -> None:
        """Record a time-line event for the checks."""
        event = (self._sim.now, self._node.name, kind, {"request": request, **fields})
        self._sim.events.append(event)

    def log_change(self, event: str, **fields: Any) -> None:
        """Record a logged change as an event for the checks."""
        self.record_event(event, **fields)


class SimulatedDisk:
    """Storage in memory that survives restarts of the process, unless a fault replaces it."""

    log_bytes = 0

    def __init__(self):
        self._identity = ""
        self._hard_state = effects.HardState()
        self._snapshot = effects.Snapshot()
        self._log_entries: list[messages.LogEntry] = []

    def load_identity(self, host: str, new_incarnation: str) -> str:
        """Return the stored identity; an empty disk gets a new one."""
        self._identity = self._identity or f"{host}#{new_incarnation}"
        return self._identity

    def recover(self) -> entry_log.RecoveredState:
        """Return the stored state of the replica."""
        return entry_log.RecoveredState(self._hard_state, self._snapshot, tuple(self._log_entries))

    def persist(self, batch: list[effects.Persist]) -> None:
        """Store a batch of hard states and log entries."""
        for item in batch:
            self._hard_state = item.hard_state
            if item.truncate_from:
                truncate_from = item.truncate_from
                self._log_entries = [
                    entry for entry in self._log_entries if entry.index < truncate_from
                ]
            self._log_entries += item.entries

    def save_snapshot(
        self,
        hard_state: effects.HardState,
        snapshot: effects.Snapshot,
        entries: tuple[messages.LogEntry, ...],
    ) -> None:
        """Store a snapshot and the log entries that follow it."""
        self._hard_state = hard_state
        self._snapshot = snapshot
        self._log_entries = list(entries)

    def close(self) -> None:
        """Do nothing."""
