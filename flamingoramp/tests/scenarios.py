"""Random runs of a whole deployment in virtual time, with checks of what must always hold."""

from __future__ import annotations

import collections
import functools
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.consensus import effects, replica
from flamingoramp.daemons import control, entry
from flamingoramp.dispatch import requests
from flamingoramp.intent import commands, declarations
from flamingoramp.protocol import messages
from flamingoramp.runtime import settings as settings_module
from flamingoramp.tests import backends, faults, simulation
from standins import texts

CONTROL_HOSTS = 5
ENTRY_HOSTS = 4
ENGINES = 5
ENGINES_IN_SHARDS = 7
PLAIN_SERVERS = 2
MOST_CRASHES = 3
MARGIN_SECONDS = 0.3
LEAVING_SECONDS = 3.0
QUIET_SECONDS = 30.0
OPERATION_RETRY_SECONDS = 1.5


def make_declaration(number: int, shards: int = 1) -> declarations.Declaration:
    """Return a declaration that differs from the others by its number."""
    return declarations.Declaration(
        services=(
            declarations.ServiceDeclaration(
                "llm",
                "engines",
                (declarations.ModelDeclaration("writer", str(1 + number % 3)),),
                shards=shards,
            ),
            declarations.ServiceDeclaration("desk", "plain"),
        ),
        workspaces=(
            declarations.WorkspaceDeclaration("buses", weight=1.0 + number),
            declarations.WorkspaceDeclaration("studio"),
        ),
    )


@attrs.define
class Asked:
    """A caller's request and what came of it; times are the world's, in seconds."""

    spec: requests.RequestSpec
    entry: str
    life: int
    sent: float
    text: str = ""
    ended: float | None = None
    answer: Any = None
    gone: bool = False


class VirtualCallers:
    """Callers of one entry, in place of sockets."""

    def __init__(self, scenario: Scenario, node: simulation.Node, on_disconnect: Any):
        self._scenario = scenario
        self._node = node
        self.on_disconnect = on_disconnect

    def __len__(self) -> int:
        return 0

    def add(self, request_id: str, sock: Any) -> None:
        """Do nothing: the scenario knows its callers."""

    def tick(self) -> None:
        """Do nothing."""

    def handle_effect(self, effect: Any) -> None:
        """Take what the entry writes to a caller."""
        asked = self._scenario.asked[effect.spec.request_id]
        match effect:
            case requests.CallerBegin():
                return
            case requests.CallerText(_, text):
                asked.text += text
                return
            case requests.CallerEnd(_, text, _):
                if effect.spec.streams and asked.text != text:
                    raise simulation.Violation("the streamed text is not the whole answer")
                asked.text = text
        if asked.ended is not None:
            raise simulation.Violation("a caller got two endings")
        asked.ended = self._scenario.world.now
        asked.answer = effect


class CheckedControl(control.Control):
    """A control daemon that tells the scenario what it applies and when it leads."""

    def __init__(self, scenario: Scenario, *args: Any, **options: Any):
        self._scenario = scenario
        super().__init__(*args, **options)

    def _apply(self, entry: messages.LogEntry) -> None:
        self._scenario.check_applied(entry)
        super()._apply(entry)

    def _handle_leader_changed(self, change: effects.LeaderChanged) -> None:
        if change.is_leader:
            self._scenario.check_leader(change)
        super()._handle_leader_changed(change)


@attrs.define
class Operation:
    """A change by an operator, sent again until it is answered."""

    operation_id: str
    plan_id: str
    document: str
    answer: Any = None
    failed: bool = False


class Scenario:
    """One run from a seed.

    Parameters
    ----------
    seed : int
    shards : tuple of int
        Shards of the engines' service, by turns with each change of the declaration.
    """

    def __init__(self, seed: int, *, shards: tuple[int, ...] = (1,)):
        self._shards = shards
        self.world = simulation.Simulation(seed)
        self.rng = self.world.rng
        self.asked: dict[str, Asked] = {}
        self.ledger = backends.Ledger()
        self._applied: dict[int, messages.LogEntry] = {}
        self._leaders: dict[int, str] = {}
        self._documents: dict[int, str] = {}
        self._revisions: dict[tuple[str, int], int] = {}
        self._operations: list[Operation] = []
        self._number = 0
        self.disks: dict[str, simulation.SimulatedDisk] = {}
        self._callers: dict[str, VirtualCallers] = {}
        self.servers: dict[str, backends.VirtualServer] = {}
        self._settings = self._make_settings()
        self._loading = True
        self._start()
        self.faults = faults.Faults(self)

    def _make_settings(self) -> settings_module.Settings:
        hosts = []
        for number in range(max(CONTROL_HOSTS, ENTRY_HOSTS)):
            hosts.append(
                settings_module.HostSettings(
                    name=f"host{number}",
                    availability_zone=f"zone{number % 3}",
                    address=f"10.0.0.{number}",
                    entry_port=1 if number < ENTRY_HOSTS else 0,
                    entry_inner_port=2 if number < ENTRY_HOSTS else 0,
                    control_port=3 if number < CONTROL_HOSTS else 0,
                    control_inner_port=4 if number < CONTROL_HOSTS else 0,
                )
            )
        return settings_module.Settings("world", tuple(hosts), seed=self.rng.randrange(1, 2**32))

    def _start(self) -> None:
        self.control = [self.world.add_node(f"control{n}") for n in range(CONTROL_HOSTS)]
        self.entries = [self.world.add_node(f"entry{n}") for n in range(ENTRY_HOSTS)]
        for node in self.control:
            self.disks[node.name] = simulation.SimulatedDisk()
            self.start_control(node)
        for node in self.entries:
            self.start_entry(node)
        for number in range(ENGINES if max(self._shards) == 1 else ENGINES_IN_SHARDS):
            self._add_server(f"engine{number}", "llm")
        for number in range(PLAIN_SERVERS):
            self._add_server(f"desk{number}", "desk")

    def _add_server(self, name: str, service: str) -> None:
        self.servers[name] = backends.VirtualServer(self.world, name, service, self.ledger)

    def start_control(self, node: simulation.Node) -> None:
        """Start a control daemon on its disk."""
        node.alive = True
        node.life += 1
        host = self._settings.hosts[int(node.name[len("control") :])]
        node.daemon = CheckedControl(
            self,
            self._settings,
            host,
            make_process=functools.partial(simulation.SimulatedProcess, self.world, node),
            store=self.disks[node.name],
        )

    def start_entry(self, node: simulation.Node) -> None:
        """Start an entry daemon."""
        node.alive = True
        node.life += 1
        host = self._settings.hosts[int(node.name[len("entry") :])]

        def _runner(_loop: Any, *, silence_seconds: float, report: Any) -> Any:
            del silence_seconds
            return backends.VirtualRunner(self.world, node, self.servers, report)

        def _callers(_loop: Any, *, heartbeat_seconds: float, on_disconnect: Any) -> Any:
            del heartbeat_seconds
            self._callers[node.name] = VirtualCallers(self, node, on_disconnect)
            return self._callers[node.name]

        def _orders(_loop: Any, on_result: Any) -> Any:
            return backends.VirtualOrders(self.world, node, self.servers, on_result)

        node.daemon = entry.Entry(
            self._settings,
            host,
            make_process=functools.partial(simulation.SimulatedProcess, self.world, node),
            make_runner=_runner,
            make_caller_connections=_callers,
            make_order_sender=_orders,
        )

    # Checks while it runs.

    def check_applied(self, applied: messages.LogEntry) -> None:
        """Check that all replicas apply the same entries."""
        known = self._applied.setdefault(applied.index, applied)
        if known != applied:
            raise simulation.Violation(f"two entries at index {applied.index}: {known}, {applied}")

    def check_leader(self, change: effects.LeaderChanged) -> None:
        """Check that a term has one leader."""
        known = self._leaders.setdefault(change.term, change.leader)
        if known != change.leader:
            raise simulation.Violation(
                f"term {change.term} has leaders {known} and {change.leader}"
            )

    def _check_revisions(self) -> None:
        for node in self.entries:
            if not node.alive:
                continue
            session = node.daemon.session
            place = (node.name, node.life)
            if session.revision < self._revisions.get(place, 0):
                raise simulation.Violation(f"{node.name} reverted its revision")
            self._revisions[place] = session.revision
            document = declarations.render(session.declaration)
            if session.revision:
                known = self._documents.setdefault(session.revision, document)
                if known != document:
                    raise simulation.Violation(f"revision {session.revision} has two documents")

    def check_in_force(self, revision: int) -> None:
        """Check that no entry that admits serves by an older revision."""
        for node in self.entries:
            session = node.daemon.session
            now = node.daemon.process.loop.now()
            frozen = node.frozen_until > self.world.now
            admits = node.alive and not frozen and session.holds_lease(now)
            if admits and session.revision < revision:
                raise simulation.Violation(
                    f"{node.name} admits by {session.revision}, {revision} is in force"
                )

    def _check_requests(self) -> None:
        for asked in self.asked.values():
            node = self.world.nodes[asked.entry]
            alive = node.alive and node.life == asked.life
            late = (
                self.world.now - asked.sent > asked.spec.time_limit_seconds * 1.03 + MARGIN_SECONDS
            )
            thawed = node.frozen_until + MARGIN_SECONDS < self.world.now
            if asked.ended is None and alive and late and thawed and not asked.gone:
                raise simulation.Violation(f"{asked.spec.request_id} has no outcome in time")

    # Load.

    def submit(
        self, *, tokens: int = 0, key: str = "", limit: float = 20.0, poison: str = ""
    ) -> Any:
        """Send a request to an entry that admits, if there is one."""
        ready = [node for node in self.entries if node.alive and self._admits(node)]
        if not ready:
            return None
        node = self.rng.choice(ready)
        self._number += 1
        request_id = f"r{self._number}"
        spec = self._make_spec(request_id, tokens, key, limit, poison)
        asked = Asked(spec, node.name, node.life, self.world.now)
        self.asked[request_id] = asked
        daemon = node.daemon
        self.world.at(0.001, node, lambda: daemon.submit(spec, None))
        return asked

    def _admits(self, node: simulation.Node) -> bool:
        daemon = node.daemon
        try:
            daemon._check_ready()
        except errors.NotReadyError:
            return False
        return node.frozen_until <= self.world.now and daemon.session.revision > 0

    def _make_spec(
        self, request_id: str, tokens: int, key: str, limit: float, poison: str
    ) -> requests.RequestSpec:
        if not tokens:
            call = requests.PlainCall("POST" if key else "GET", "x")
            return requests.RequestSpec(
                request_id,
                requests.RequestKind.PLAIN,
                "studio",
                "desk",
                time_limit_seconds=limit,
                idempotent=not key,
                key=key,
                fingerprint=f"plain {key or request_id}",
                call=call,
            )
        prompt = poison or f"prompt {request_id}"
        return requests.RequestSpec(
            request_id,
            requests.RequestKind.COMPLETION,
            self.rng.choice(["buses", "studio"]),
            "llm",
            model="writer",
            prompt=prompt,
            prompt_tokens=tokens,
            output_tokens=self.rng.randint(1, 30),
            time_limit_seconds=limit,
            fingerprint=prompt,
            streams=self.rng.random() < 0.5,
        )

    def load(self, seconds: float, rate: float) -> None:
        """Send random requests for a while."""
        at = self.rng.expovariate(rate)
        while at < seconds:
            self.world.at(at, None, self._send_random)
            at += self.rng.expovariate(rate)

    def _send_random(self) -> None:
        draw = self.rng.random()
        limit = self.rng.choice([2.0, 8.0, 20.0])
        if draw < 0.25:
            self.submit(key=f"key{self.rng.randrange(self._number // 3 + 3)}", limit=limit)
        elif draw < 0.35:
            self.submit(limit=limit)
        elif draw < 0.40:
            self.submit(tokens=self.rng.randint(100_000, 280_000), limit=20.0)
        else:
            asked = self.submit(tokens=self.rng.randint(100, 40_000), limit=limit)
            if asked is not None and self.rng.random() < 0.1:
                self.world.at(self.rng.uniform(0, 2), None, lambda: self._hang_up(asked))

    def _hang_up(self, asked: Asked) -> None:
        node = self.world.nodes[asked.entry]
        if node.alive and node.life == asked.life and asked.ended is None:
            asked.gone = True
            callers = self._callers[node.name]
            self.world.at(0, node, lambda: callers.on_disconnect(asked.spec.request_id))

    # Operators.

    def operate(self) -> None:
        """Let an operator change the declaration, by plan and confirm."""
        leading = [node for node in self.control if node.alive and self.leads(node)]
        if not leading:
            return
        state = self.rng.choice(leading).daemon.state
        number = len(self._operations) + 1
        document = declarations.render(
            make_declaration(number, self._shards[number % len(self._shards)])
        )
        operation = Operation(f"op{number}", f"plan{number}", document)
        self._operations.append(operation)
        plan = commands.StorePlan(operation.plan_id, state.revision, document, 1e12, 0.0)
        self._propose(plan, lambda _result: self._confirm(operation))

    def leads(self, node: simulation.Node) -> bool:
        """Tell whether a control node leads with a lease."""
        daemon = node.daemon
        return daemon.replica.holds_lease(daemon.process.loop.now())

    def _propose(self, command: Any, done: Any) -> None:
        alive = [node for node in self.control if node.alive]
        for node in self.rng.sample(alive, len(alive)):
            if node.frozen_until <= self.world.now and self.leads(node):
                propose = functools.partial(node.daemon.propose, command, done)
                self.world.at(0.001, node, lambda: propose(lambda _error: None))  # noqa: B023
                return

    def _confirm(self, operation: Operation) -> None:
        if operation.answer is not None or operation.failed:
            return
        command = commands.ConfirmPlan(operation.plan_id, operation.operation_id, 0.0)

        def _answered(result: Any) -> None:
            if operation.answer is not None and operation.answer != result:
                raise simulation.Violation(f"{operation.operation_id} was answered in two ways")
            operation.answer = result
            if not result.error:
                self._note_accepted(operation, result.revision)

        self._propose(command, _answered)
        # Answers get lost: operators send the change again, also after they had one.
        self.world.at(OPERATION_RETRY_SECONDS, None, lambda: self._confirm(operation))
        if self.rng.random() < 0.3:
            self._propose(command, _answered)

    def _note_accepted(self, operation: Operation, revision: int) -> None:
        known = self._documents.setdefault(revision, operation.document)
        if known != operation.document:
            raise simulation.Violation(f"revision {revision} was accepted twice")
        self._await_in_force(revision)

    def _await_in_force(self, revision: int) -> None:
        for node in self.control:
            if not node.alive or node.frozen_until > self.world.now or not self.leads(node):
                continue
            daemon = node.daemon
            if daemon.sessions.is_in_force(revision, daemon.process.loop.now()):
                self.check_in_force(revision)
                return
        self.world.at(0.1, None, lambda: self._await_in_force(revision))

    # The run.

    def run(self, steps: int) -> None:
        """Run for a number of steps of a tenth of a second, then let quiet return."""
        self.world.advance(3.0)
        self.operate()
        self.world.advance(3.0)
        self.load(steps / 10, rate=6.0)
        for _ in range(steps):
            if self.rng.random() < 0.06:
                self.faults.provoke()
            if self.rng.random() < 0.03:
                self.operate()
            self.world.advance(0.1)
            self._check_revisions()
            self._check_requests()
            self._revive_engines()
        self._heal()
        self._check_end()

    def _revive_engines(self) -> None:
        for server in self.servers.values():
            if not server.node.alive and self.rng.random() < 0.02:
                server.begin_life()

    def _heal(self) -> None:
        for _ in range(150):
            self._revive_engines()
            self.world.advance(0.1)
        self.world.message_faults_disabled = True
        self.world.cut.clear()
        for node in self.control:
            if not node.alive:
                self.start_control(node)
        for server in self.servers.values():
            if not server.node.alive or server.leaving:
                server.begin_life()
        self.world.advance(QUIET_SECONDS)
        for node in self.entries:
            if not node.alive:
                self.start_entry(node)
        self.world.advance(QUIET_SECONDS)

    def _check_end(self) -> None:
        self._check_requests()
        self._check_answers()
        self._check_memory()
        self._check_crashes()
        twice = [key for key, count in self.ledger.runs.items() if count > 1]
        if twice:
            raise simulation.Violation(f"ran more than once: {twice}")
        self._check_replicas()
        last = [self.submit(tokens=1000), self.submit(tokens=250_000), self.submit()]
        self.world.advance(25.0)
        for asked in last:
            answered = asked is not None and isinstance(
                asked.answer, requests.CallerEnd | requests.CallerPlain
            )
            if not answered:
                raise simulation.Violation(f"a request after all faults was not answered: {asked}")

    def _check_crashes(self) -> None:
        """Check the engines lost to one content.

        An ownership that is lost before it could commit a suspicion costs one engine more.
        """
        for content, count in self.ledger.poisoned.items():
            ids = {one for one, asked in self.asked.items() if asked.spec.prompt == content}
            owners = len(self._ownerships(ids))
            if count > MOST_CRASHES + owners - 1:
                raise simulation.Violation(f"{content} cost {count} engines under {owners} owners")

    def _ownerships(self, ids: set[str]) -> set[tuple[str, int]]:
        """Return the ownerships that granted some requests, by node and its count of them."""
        begun: collections.Counter[str] = collections.Counter()
        found = set()
        for _, node, kind, fields in self.world.events:
            if kind == "shard.owned" and fields["shard"].startswith("llm/"):
                begun[node] += 1
            elif kind == "request.granted" and fields["request"] in ids:
                found.add((node, begun[node]))
        return found

    def _check_answers(self) -> None:
        for asked in self.asked.values():
            answer = asked.answer
            match answer:
                case requests.CallerEnd(spec, text, _):
                    if text != texts.expected_answer(spec.prompt, spec.output_tokens):
                        raise simulation.Violation(f"{spec.request_id} got another's answer")
                case requests.CallerError(spec, error, _):
                    begun = spec.request_id in self.ledger.begun
                    if error.outcome is errors.Outcome.NOT_RUN and begun:
                        raise simulation.Violation(
                            f"{spec.request_id} ran, but {error.code}: not_run"
                        )

    def _check_memory(self) -> None:
        for server in self.servers.values():
            if server.memory_used:
                raise simulation.Violation(f"{server.name} still holds {server.memory_used} tokens")
        for node in self.entries:
            if len(node.daemon.dispatcher):
                raise simulation.Violation(f"{node.name} still has requests")
            for shard, owned in node.daemon.owned_shards.schedulers.items():
                if len(owned.fleet.ledger) or owned.waiting_count:
                    raise simulation.Violation(f"{shard}: reservations are left")

    def _await_same_index(self) -> None:
        """Let a command that is under way at the end, such as a time mark, reach all replicas."""
        for _ in range(20):
            if len({node.daemon.replica.commit_index for node in self.control}) == 1:
                return
            self.world.advance(0.1)
        raise simulation.Violation("replicas did not reach the same index after quiet")

    def _check_replicas(self) -> None:
        self._await_same_index()
        states = {node.daemon.state.dump() for node in self.control}
        if len(states) != 1:
            raise simulation.Violation("replicas differ after quiet")
        leading = [node for node in self.control if self.leads(node)]
        if len(leading) != 1:
            raise simulation.Violation(f"{len(leading)} leaders after quiet")
        voters = leading[0].daemon.replica.membership.voters
        if len(voters) != CONTROL_HOSTS:
            raise simulation.Violation(f"only {len(voters)} voters after quiet")
        hosts = {replica.host_of(voter) for voter in voters}
        if len(hosts) != CONTROL_HOSTS:
            raise simulation.Violation("two voters of one host")
