"""Random faults for the scenarios: kills, freezes, partitions, lost disks and clock steps."""

from __future__ import annotations

import functools
import typing

from flamingoramp.tests import backends, worlds

if typing.TYPE_CHECKING:
    from flamingoramp.tests import scenarios


CLOCK_STEPS_SECONDS = (-4e6, -3600.0, 3600.0, 4e6)


class FaultInjector:
    """Injects faults into a scenario's processes, disks, clocks and network.

    Parameters
    ----------
    scenario : scenarios.Scenario
    """

    def __init__(self, scenario: scenarios.Scenario):
        self._scenario = scenario
        self._sim = scenario.sim

    def inject(self) -> None:
        """Inject a random fault; most end by themselves after some seconds."""
        self._sim.rng.choice(
            [
                self._kill_entry,
                self._kill_control,
                self._crash_server,
                self._freeze,
                self._partition_pair,
                self._partition_host,
                self._lose_disk,
                self._stop_server,
                self._stop_entry,
                self._submit_crashing_prompts,
                self._step_clock,
            ]
        )()

    def _kill_entry(self) -> None:
        node = self._sim.rng.choice(self._scenario.entry_nodes)
        if node.is_running:
            node.is_running = False
            self._disconnect_streams(node)
            self._sim.schedule(
                self._sim.rng.uniform(0.2, 8), None, lambda: self._scenario.start_entry(node)
            )

    def _step_clock(self) -> None:
        """Step a control host's wall clock, as a wrong time server does."""
        node = self._sim.rng.choice(self._scenario.control_nodes)
        node.wall_clock_error_seconds += self._sim.rng.choice(CLOCK_STEPS_SECONDS)

    def _disconnect_streams(self, node: worlds.SimulatedNode) -> None:
        for server in self._scenario.servers.values():
            for attempt in server.attempts.values():
                if (
                    attempt.delivering_runner is not None
                    and attempt.delivering_runner._node is node
                ):
                    attempt.delivering_runner = None
                    attempt.disconnected_at = self._sim.now

    def _kill_control(self) -> None:
        node = self._sim.rng.choice(self._scenario.control_nodes)
        if (
            node.is_running
            and sum(other.is_running for other in self._scenario.control_nodes)
            > len(self._scenario.control_nodes) // 2 + 1
        ):
            node.is_running = False
            self._sim.schedule(
                self._sim.rng.uniform(0.2, 8), None, lambda: self._scenario.start_control(node)
            )

    def _lose_disk(self) -> None:
        """Replace a control host's disk by an empty one while all hosts vote and run.

        The host joins again as a new replica.
        """
        voters = self._find_current_voters()
        all_voters_running = len(voters) == len(self._scenario.control_nodes) and all(
            other.is_running for other in self._scenario.control_nodes
        )
        if not all_voters_running:
            return
        node = self._sim.rng.choice(self._scenario.control_nodes)
        node.is_running = False
        self._scenario.disks[node.name] = worlds.SimulatedDisk()
        self._sim.schedule(
            self._sim.rng.uniform(0.2, 3), None, lambda: self._scenario.start_control(node)
        )

    def _find_current_voters(self) -> tuple[str, ...]:
        for node in self._scenario.control_nodes:
            if node.is_running and self._scenario.is_leader(node):
                daemon = node.daemon
                identities = {
                    other.daemon.replica.identity
                    for other in self._scenario.control_nodes
                    if other.is_running
                }
                membership = daemon.replica.membership
                return tuple(voter for voter in membership.voters if voter in identities)
        return ()

    def _crash_server(self) -> None:
        server = self._sim.rng.choice(list(self._scenario.servers.values()))
        if server.node.is_running and not server.leaving:
            server.crash()
            self._sim.schedule(self._sim.rng.uniform(0.2, 6), None, server.start)

    def _freeze(self) -> None:
        node = self._sim.rng.choice(list(self._sim.nodes.values()))
        frozen_until = self._sim.now + self._sim.rng.choice([0.3, 1.5, 6.0])
        # Actions that an earlier, longer freeze delayed are scheduled for its end.
        node.frozen_until = max(node.frozen_until, frozen_until)

    def _partition_pair(self) -> None:
        first_name, second_name = self._sim.rng.sample(list(self._sim.nodes), 2)
        self._partition({frozenset((first_name, second_name))}, self._sim.rng.uniform(1, 10))

    def _partition_host(self) -> None:
        """Separate the processes of one host from all others; packets are dropped silently."""
        host_number = self._sim.rng.randrange(len(self._scenario.control_nodes))
        isolated_names = {f"control{host_number}", f"entry{host_number}"}
        pairs = {
            frozenset((name, other))
            for name in isolated_names & set(self._sim.nodes)
            for other in set(self._sim.nodes) - isolated_names
        }
        self._partition(pairs, self._sim.rng.uniform(1, 15))

    def _partition(self, pairs: set[frozenset[str]], duration_seconds: float) -> None:
        self._sim.partitioned_pairs |= pairs

        def _heal() -> None:
            self._sim.partitioned_pairs -= pairs

        self._sim.schedule(duration_seconds, None, _heal)

    def _stop_server(self) -> None:
        server = self._sim.rng.choice(list(self._scenario.servers.values()))
        same_service = [
            other for other in self._scenario.servers.values() if other.service == server.service
        ]
        if (
            server.node.is_running
            and sum(other.node.is_running and not other.leaving for other in same_service) > 2
        ):
            self._sim.schedule(0, server.node, server.announce_planned_stop)
            self._sim.schedule(
                self._sim.rng.uniform(10, 15),
                None,
                functools.partial(self._restart_stopped_server, server),
            )

    def _restart_stopped_server(self, server: backends.SimulatedServer) -> None:
        if server.leaving:
            server.start()

    def _stop_entry(self) -> None:
        node = self._sim.rng.choice(self._scenario.entry_nodes)
        if node.is_running:
            daemon = node.daemon
            start_count = node.start_count
            self._sim.schedule(0, node, daemon.begin_stop)
            self._sim.schedule(40, None, lambda: self._restart_stopped_entry(node, start_count))

    def _restart_stopped_entry(self, node: worlds.SimulatedNode, start_count: int) -> None:
        if node.start_count == start_count:
            if node.is_running:
                raise worlds.Violation(f"{node.name} still runs 40 s after its planned stop began")
            self._scenario.start_entry(node)

    def _submit_crashing_prompts(self) -> None:
        prompt = f"{backends.CRASH_MARKER} {self._sim.rng.randrange(3)}"
        for _ in range(self._sim.rng.randint(1, 6)):
            self._sim.schedule(
                self._sim.rng.uniform(0, 10),
                None,
                lambda: self._scenario.submit(
                    prompt_tokens=500, crashing_prompt=prompt, time_limit_seconds=10.0
                ),
            )
