"""Random faults of the scenarios."""

from __future__ import annotations

import functools
import typing

from flamingoramp.tests import backends, simulation

if typing.TYPE_CHECKING:
    from flamingoramp.tests import scenarios


CLOCK_STEPS_SECONDS = (-4e6, -3600.0, 3600.0, 4e6)


class Faults:
    """Provokes faults in a scenario's processes.

    Parameters
    ----------
    scenario : scenarios.Scenario
    """

    def __init__(self, scenario: scenarios.Scenario):
        self._scenario = scenario
        self._world = scenario.world

    def provoke(self) -> None:
        """Provoke a random fault; most mend after a while."""
        self._world.rng.choice(
            [
                self._kill_entry,
                self._kill_control,
                self._kill_engine,
                self._freeze,
                self._cut_pair,
                self._isolate,
                self._lose_disk,
                self._leave_server,
                self._stop_entry,
                self._poison,
                self._step_clock,
            ]
        )()

    def _kill_entry(self) -> None:
        node = self._world.rng.choice(self._scenario.entries)
        if node.alive:
            node.alive = False
            self._lose_streams(node)
            self._world.at(
                self._world.rng.uniform(0.2, 8), None, lambda: self._scenario.start_entry(node)
            )

    def _step_clock(self) -> None:
        """Set a control host's wall clock wrong, as a mistaken time server does."""
        node = self._world.rng.choice(self._scenario.control)
        node.wall_error += self._world.rng.choice(CLOCK_STEPS_SECONDS)

    def _lose_streams(self, node: simulation.Node) -> None:
        for server in self._scenario.servers.values():
            for work in server.work.values():
                if work.runner is not None and work.runner._node is node:
                    work.runner = None
                    work.lost_at = self._world.now

    def _kill_control(self) -> None:
        node = self._world.rng.choice(self._scenario.control)
        if (
            node.alive
            and sum(one.alive for one in self._scenario.control)
            > len(self._scenario.control) // 2 + 1
        ):
            node.alive = False
            self._world.at(
                self._world.rng.uniform(0.2, 8), None, lambda: self._scenario.start_control(node)
            )

    def _lose_disk(self) -> None:
        """Lose one disk while all other voters are up; the replica comes back as a new one."""
        voters = self._voters()
        whole = len(voters) == len(self._scenario.control) and all(
            one.alive for one in self._scenario.control
        )
        if not whole:
            return
        node = self._world.rng.choice(self._scenario.control)
        node.alive = False
        self._scenario.disks[node.name] = simulation.SimulatedDisk()
        self._world.at(
            self._world.rng.uniform(0.2, 3), None, lambda: self._scenario.start_control(node)
        )

    def _voters(self) -> tuple[str, ...]:
        for node in self._scenario.control:
            if node.alive and self._scenario.leads(node):
                daemon = node.daemon
                identities = {
                    one.daemon.replica.identity for one in self._scenario.control if one.alive
                }
                membership = daemon.replica.membership
                return tuple(one for one in membership.voters if one in identities)
        return ()

    def _kill_engine(self) -> None:
        server = self._world.rng.choice(list(self._scenario.servers.values()))
        if server.node.alive and not server.leaving:
            server.crash()
            self._world.at(self._world.rng.uniform(0.2, 6), None, server.begin_life)

    def _freeze(self) -> None:
        node = self._world.rng.choice(list(self._world.nodes.values()))
        until = self._world.now + self._world.rng.choice([0.3, 1.5, 6.0])
        # What was put off by an earlier, longer freeze waits for its end.
        node.frozen_until = max(node.frozen_until, until)

    def _cut_pair(self) -> None:
        one, other = self._world.rng.sample(list(self._world.nodes), 2)
        self._cut({frozenset((one, other))}, self._world.rng.uniform(1, 10))

    def _isolate(self) -> None:
        """Put the processes of one host on the far side of a silent partition."""
        number = self._world.rng.randrange(len(self._scenario.control))
        far = {f"control{number}", f"entry{number}"}
        pairs = {
            frozenset((one, other))
            for one in far & set(self._world.nodes)
            for other in set(self._world.nodes) - far
        }
        self._cut(pairs, self._world.rng.uniform(1, 15))

    def _cut(self, pairs: set[frozenset[str]], seconds: float) -> None:
        self._world.cut |= pairs

        def _heal() -> None:
            self._world.cut -= pairs

        self._world.at(seconds, None, _heal)

    def _leave_server(self) -> None:
        server = self._world.rng.choice(list(self._scenario.servers.values()))
        same = [one for one in self._scenario.servers.values() if one.service == server.service]
        if server.node.alive and sum(one.node.alive and not one.leaving for one in same) > 2:
            self._world.at(0, server.node, server.leave)
            self._world.at(
                self._world.rng.uniform(10, 15), None, functools.partial(self._return, server)
            )

    def _return(self, server: backends.VirtualServer) -> None:
        if server.leaving:
            server.begin_life()

    def _stop_entry(self) -> None:
        node = self._world.rng.choice(self._scenario.entries)
        if node.alive:
            daemon = node.daemon
            life = node.life
            self._world.at(0, node, daemon.begin_stop)
            self._world.at(40, None, lambda: self._restart_stopped(node, life))

    def _restart_stopped(self, node: simulation.Node, life: int) -> None:
        if node.life == life:
            if node.alive:
                raise simulation.Violation(f"{node.name} did not end its planned stop")
            self._scenario.start_entry(node)

    def _poison(self) -> None:
        content = f"{backends.POISON} {self._world.rng.randrange(3)}"
        for _ in range(self._world.rng.randint(1, 6)):
            self._world.at(
                self._world.rng.uniform(0, 10),
                None,
                lambda: self._scenario.submit(tokens=500, poison=content, limit=10.0),
            )
