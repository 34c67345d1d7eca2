"""Random runs of control hosts that find each other by seeds, with replaced hosts and lost disks.

Operators declare versions at any host while hosts are killed, frozen, cut off, replaced by empty
ones at other addresses, and started again with other seeds. What was acknowledged must never be
lost, a confirmed read is never older than it, and after the faults the cluster works again.
"""

from __future__ import annotations

import random
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.consensus import effects, node, replica
from flamingoramp.daemons import coordinator
from flamingoramp.intent import versioned_declaration
from flamingoramp.tests import simulation

SEED_COUNT = 3
TICK_SECONDS = 0.03
# A cluster is whole again this long after the last fault: a silent voter's place is taken after
# 8 s, and a newcomer becomes a voter some seconds later.
RECOVERY_SECONDS = 40.0


class FailingDisk(simulation.SimulatedDisk):
    """Storage that may refuse writes for a while."""

    def __init__(self):
        super().__init__()
        self.is_full = False

    def check_writable(self) -> None:
        """Refuse while the disk is full."""
        if self.is_full:
            raise errors.StorageFailedError("the disk is full")

    def persist(self, batch: list[effects.Persist]) -> None:
        """Store a batch, unless the disk is full."""
        self.check_writable()
        super().persist(batch)

    def save_snapshot(self, hard_state: Any, snapshot: Any, entries: Any) -> None:
        """Store a snapshot, unless the disk is full."""
        self.check_writable()
        super().save_snapshot(hard_state, snapshot, entries)


@attrs.define
class _Read:
    """A read that waits for its confirmation, and the version that it must at least return."""

    host: Host
    life: int
    asked_at: float
    newest_acknowledged: int


class Host:
    """One control host: a real node and its state, on a virtual disk."""

    def __init__(self, scenario: ControlScenario, name: str):
        self.name = name
        self.disk = FailingDisk()
        self._scenario = scenario
        self.process = scenario.world.add_node(name)
        self.process.alive = False
        self.state = versioned_declaration.VersionedDeclarationState()
        self.node: node.Node | None = None

    @property
    def is_alive(self) -> bool:
        """Whether its process runs, be it frozen."""
        return self.process.alive

    def start(self, *, may_create_cluster: bool) -> None:
        """Start a process on the host's disk."""
        world = self._scenario.world
        self.process.life += 1
        self.process.alive = True
        self.process.frozen_until = 0.0
        self.state = versioned_declaration.VersionedDeclarationState()
        loop = simulation.VirtualLoop(world, self.process)
        self.node = node.Node(
            config=node.NodeConfig(self.name, tuple(self._scenario.seeds), may_create_cluster),
            store=self.disk,
            state_machine=self.state,
            send=self._send,
            on_leader_changed=lambda _change: None,
            on_storage_status=lambda _error: None,
            new_incarnation=lambda: f"{world.rng.getrandbits(48):012x}",
            rng=random.Random(world.rng.getrandbits(48)),
            now=loop.now,
            timing=coordinator.REPLICA_TIMING,
        )
        loop.call_every(TICK_SECONDS, self.node.tick)

    def kill(self) -> None:
        """End the process at once."""
        self.process.alive = False
        self.node = None

    def _send(self, target: str, message: Any) -> None:
        sender = self.node.identity
        receiver = self._scenario.find(target)
        if receiver is None:
            return
        life = receiver.process.life

        def _arrive() -> None:
            if receiver.process.life == life and receiver.node is not None:
                receiver.node.handle(sender, message)

        self._scenario.world.send(self.process, target, _arrive)


class ControlScenario:
    """A cluster, its operators, and the faults of one seed.

    Parameters
    ----------
    seed : int
    hosts : int
    """

    def __init__(self, seed: int, *, hosts: int = 5):
        self.world = simulation.Simulation(seed)
        self.world.message_faults_disabled = True
        self._rng = random.Random(f"control/{seed}")
        self._hosts: dict[str, Host] = {}
        self._numbers = iter(range(10**6))
        self.seeds: list[str] = []
        self._sent: dict[int, bytes] = {}
        self._newest = 0
        self._acknowledged = 0
        self._reads: list[_Read] = []
        self._calm_until = 0.0
        for _ in range(hosts):
            self._add()
        self.seeds = list(self._hosts)[:SEED_COUNT]
        for host in self._hosts.values():
            host.start(may_create_cluster=host.name in self.seeds)
        self._wait_until_whole()

    def find(self, name: str) -> Host | None:
        """Return a host that was not replaced."""
        return self._hosts.get(name)

    def run(self, steps: int) -> None:
        """Play random steps, end all faults, and check what must hold."""
        self.world.message_faults_disabled = False
        actions = (
            (self._declare, 10),
            (self._read, 6),
            (self._kill, 3),
            (self._kill_many, 1),
            (self._freeze, 2),
            (self._cut, 2),
            (self._depose, 2),
            (self._heal, 3),
            (self._fill_disk, 1),
            (self._lose_disk, 1),
            (self._replace, 1),
            (self._turn_seeds_over, 1),
        )
        choices, weights = zip(*actions, strict=True)
        for _ in range(steps):
            self._rng.choices(choices, weights)[0]()
            self.world.advance(self._rng.choice((0.05, 0.3, 1.5)))
            self._check_reads()
            self._check_states()
        self._end_faults()
        self._wait_until_whole()
        self._check_end()

    # Operators.

    def _declare(self) -> None:
        """Send a version to the host that believes it leads, sometimes an older one."""
        leaders = [one for one in self._alive() if one.node.is_leader]
        if not leaders:
            return
        if self._sent and self._rng.random() < 0.2:
            version = self._rng.choice(list(self._sent))
        else:
            version = self._newest = self._newest + self._rng.randint(1, 5)
        document = self._sent.setdefault(version, b"document %d" % version)

        def _acknowledge(result: versioned_declaration.DeclareResult) -> None:
            if result.version < version:
                raise simulation.Violation(f"version {version} was acknowledged with an older one")
            self._acknowledged = max(self._acknowledged, version)

        host = self._rng.choice(leaders)
        payload = versioned_declaration.encode(version, document)
        host.node.propose(
            versioned_declaration.KIND_DECLARE, payload, _acknowledge, lambda _error: None
        )

    def _read(self) -> None:
        for host in self._alive():
            if host.node.is_leader:
                asked = host.node.request_read()
                read = _Read(host, host.process.life, asked, self._acknowledged)
                self._reads.append(read)

    def _check_reads(self) -> None:
        waiting = []
        for read in self._reads:
            if not read.host.is_alive or read.host.process.life != read.life:
                continue
            if not read.host.node.confirms_read(read.asked_at):
                waiting.append(read)
            elif read.host.state.version < read.newest_acknowledged:
                raise simulation.Violation(
                    f"{read.host.name} confirmed version {read.host.state.version}, "
                    f"though {read.newest_acknowledged} was acknowledged"
                )
        self._reads = waiting

    # Faults.

    def _kill(self) -> None:
        self._kill_for_a_while(self._pick())

    def _kill_many(self) -> None:
        for host in self._alive():
            if self._rng.random() < 0.7:
                self._kill_for_a_while(host)

    def _kill_for_a_while(self, host: Host | None) -> None:
        if host is None:
            return
        host.kill()
        self.world.at(self._rng.uniform(0.2, 4.0), None, lambda: self._start_again(host))

    def _start_again(self, host: Host) -> None:
        if self._hosts.get(host.name) is host and not host.is_alive:
            host.start(may_create_cluster=False)

    def _freeze(self) -> None:
        host = self._pick()
        if host is not None:
            host.process.frozen_until = self.world.now + self._rng.uniform(0.3, 5.0)

    def _cut(self) -> None:
        names = list(self._hosts)
        side = set(self._rng.sample(names, self._rng.randint(1, len(names) - 1)))
        self.world.cut = {
            frozenset((one, other)) for one in side for other in names if other not in side
        }

    def _depose(self) -> None:
        """Cut the leader off or freeze it, and go on with its successor beside it."""
        leader = next((one for one in self._alive() if one.node.is_leader), None)
        if leader is None:
            return
        if self._rng.random() < 0.5:
            others = set(self._hosts) - {leader.name}
            self.world.cut = {frozenset((leader.name, other)) for other in others}
        else:
            leader.process.frozen_until = self.world.now + self._rng.uniform(0.5, 3.0)
        for _ in range(self._rng.randint(4, 30)):
            self.world.advance(0.1)
            self._declare()
            self.world.advance(0.05)
            self._read()
            self._check_reads()

    def _heal(self) -> None:
        self.world.cut = set()

    def _fill_disk(self) -> None:
        host = self._pick()
        if host is None:
            return
        host.disk.is_full = True
        seconds = self._rng.uniform(0.5, 5.0)
        self.world.at(seconds, None, lambda: setattr(host.disk, "is_full", False))

    def _lose_disk(self) -> None:
        """Lose one disk; the next loss comes only once the cluster is whole again."""
        host = self._pick()
        if host is None or not self._is_whole():
            return
        host.kill()
        host.disk = FailingDisk()
        self.world.at(self._rng.uniform(0.2, 2.0), None, lambda: self._start_again(host))

    def _replace(self) -> None:
        """Put an empty host at another address in the place of one."""
        host = self._pick()
        if host is None or not self._is_whole():
            return
        host.kill()
        del self._hosts[host.name]
        added = self._add()
        if host.name in self.seeds:
            self.seeds[self.seeds.index(host.name)] = added.name
        self.world.at(self._rng.uniform(0.2, 3.0), None, lambda: self._start_again(added))

    def _turn_seeds_over(self) -> None:
        if self._is_whole():
            self.seeds = self._rng.sample(list(self._hosts), SEED_COUNT)

    def _end_faults(self) -> None:
        self._heal()
        self.world.message_faults_disabled = True
        for host in self._hosts.values():
            host.disk.is_full = False
            host.process.frozen_until = 0.0
            self._start_again(host)

    # State of the cluster.

    def _add(self) -> Host:
        host = Host(self, f"host-{next(self._numbers)}")
        self._hosts[host.name] = host
        return host

    def _alive(self) -> list[Host]:
        now = self.world.now
        return [
            one for one in self._hosts.values() if one.is_alive and one.process.frozen_until <= now
        ]

    def _pick(self) -> Host | None:
        alive = self._alive()
        return self._rng.choice(alive) if alive else None

    def _is_whole(self) -> bool:
        """Tell whether all hosts vote and hold what the leader holds."""
        hosts = list(self._hosts.values())
        if any(not one.is_alive or one.node.replica is None for one in hosts):
            return False
        leaders = [one for one in hosts if one.node.is_leader]
        if len(leaders) != 1:
            return False
        membership = leaders[0].node.replica.membership
        voters = {replica.host_of(one) for one in membership.voters}
        same = all(one.state.version == leaders[0].state.version for one in hosts)
        clusters = {one.node.replica.cluster for one in hosts}
        return voters == set(self._hosts) and same and len(clusters) == 1

    def _wait_until_whole(self) -> None:
        for _ in range(round(RECOVERY_SECONDS)):
            self.world.advance(1.0)
            self._check_reads()
            if self._is_whole():
                return
        states = {
            name: (one.is_alive, one.node and one.node.identity, one.state.version)
            for name, one in self._hosts.items()
        }
        raise simulation.Violation(f"not whole {RECOVERY_SECONDS:.0f} s after the faults: {states}")

    # Checks.

    def _check_states(self) -> None:
        """Check that what hosts hold is what was sent under its version."""
        for host in self._alive():
            version, document = host.state.version, host.state.document
            if version and document != self._sent[version]:
                raise simulation.Violation(f"{host.name} holds other content under {version}")

    def _check_end(self) -> None:
        self._check_states()
        for host in self._hosts.values():
            if host.state.version < self._acknowledged:
                raise simulation.Violation(
                    f"version {self._acknowledged} was acknowledged; {host.name} holds "
                    f"{host.state.version}"
                )
        before = self._newest
        self._declare()
        self.world.advance(3.0)
        if self._newest > before and self._acknowledged < self._newest:
            raise simulation.Violation("a declaration at a whole cluster was not acknowledged")
