"""The replicated state: intent, claims, shard owners and crash suspects.

A deterministic state machine: the same commands in the same order give the same state and results
on each replica.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs

from flamingoramp import errors
from flamingoramp.dispatch import claims, suspects
from flamingoramp.intent import commands, declarations
from flamingoramp.protocol import messages

OPERATIONS_KEPT = 4096
PLANS_KEPT = 256
EMPTY_DOCUMENT = declarations.render(declarations.Declaration())

_converter = cattrs.Converter()


@attrs.frozen
class Plan:
    """A stored plan."""

    plan_id: str
    base_revision: int
    document: str
    expires: float


@attrs.frozen
class ConfirmResult:
    """Answer to a confirmation; ``error`` is a code, empty if accepted."""

    revision: int
    error: str = ""


class ReplicatedState:
    """All that control replicas agree on.

    Parameters
    ----------
    claim_limits : claims.Limits
    """

    def __init__(self, claim_limits: claims.ClaimLimits):
        self._claim_limits = claim_limits
        self._reset()

    def _reset(self) -> None:
        self._revision = 0
        self._document = EMPTY_DOCUMENT
        self._declaration: declarations.Declaration | None = None
        self._plans: dict[str, Plan] = {}
        self._operations: dict[str, ConfirmResult] = {}
        self._owners: dict[str, messages.ShardOwner] = {}
        self._generation = 0
        self._time = 0.0
        self.claims = claims.ClaimTable(self._claim_limits)
        self.suspects = suspects.SuspectTable()

    @property
    def revision(self) -> int:
        """Number of the intent in force; it only grows."""
        return self._revision

    @property
    def document(self) -> str:
        """The declaration in force, as JSON."""
        return self._document

    @property
    def declaration(self) -> declarations.Declaration:
        """The declaration in force; it is parsed once for each revision."""
        if self._declaration is None:
            self._declaration = declarations.parse(self._document, "log")
        return self._declaration

    @property
    def time(self) -> float:
        """Cluster time that the commands have reached, Unix seconds; it only grows."""
        return self._time

    @property
    def owners(self) -> dict[str, messages.ShardOwner]:
        """Owner of each shard."""
        return self._owners

    @property
    def operations(self) -> dict[str, ConfirmResult]:
        """Results of confirmations by operation id."""
        return self._operations

    def find_plan(self, plan_id: str) -> Plan | None:
        """Return a stored plan."""
        return self._plans.get(plan_id)

    def apply(self, command: Any) -> Any:
        """Apply a committed command and return its result."""
        self._time = max(self._time, command.now)
        command = attrs.evolve(command, now=self._time)
        match command:
            case commands.StorePlan():
                return self._store_plan(command)
            case commands.ConfirmPlan():
                return self._confirm(command)
            case commands.MakeClaim():
                return self.claims.make_claim(command)
            case commands.SettleClaim():
                return self.claims.record_outcome(command)
            case commands.AssignShards():
                return self._assign(command)
            case commands.RecordCrash():
                return self.suspects.apply_report(command)
        raise errors.InvariantViolationError(f"no way to apply {type(command).__name__}")

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        state = {
            "revision": self._revision,
            "document": self._document,
            "generation": self._generation,
            "time": self._time,
            "plans": _converter.unstructure(self._plans),
            "operations": _converter.unstructure(self._operations),
            "owners": _converter.unstructure(self._owners),
            "claims": self.claims.dump(),
            "suspects": self.suspects.dump(),
        }
        return json.dumps(state).encode()

    def load(self, data: bytes) -> None:
        """Replace the state by a snapshot's; empty data is the empty state."""
        known = self._revision
        self._reset()
        if data:
            self._load(json.loads(data))
        if self._revision < known:
            raise errors.InvariantViolationError(
                f"a snapshot would revert revision {known} to {self._revision}"
            )

    def _load(self, state: dict[str, Any]) -> None:
        self._revision = state["revision"]
        self._document = state["document"]
        self._generation = state["generation"]
        self._time = state.get("time", 0.0)
        self._plans = _converter.structure(state["plans"], dict[str, Plan])
        self._operations = _converter.structure(state["operations"], dict[str, ConfirmResult])
        self._owners = _converter.structure(state["owners"], dict[str, messages.ShardOwner])
        self.claims.load(state["claims"])
        self.suspects.load(state["suspects"])

    def _store_plan(self, command: commands.StorePlan) -> Plan:
        plan = Plan(command.plan_id, command.base_revision, command.document, command.expires)
        live = {key: one for key, one in self._plans.items() if one.expires > command.now}
        live[plan.plan_id] = plan
        self._plans = dict(list(live.items())[-PLANS_KEPT:])
        return plan

    def _confirm(self, command: commands.ConfirmPlan) -> ConfirmResult:
        known = self._operations.get(command.operation_id)
        if known is not None:
            return known
        result = self._decide(command)
        self._operations[command.operation_id] = result
        while len(self._operations) > OPERATIONS_KEPT:
            del self._operations[next(iter(self._operations))]
        return result

    def _decide(self, command: commands.ConfirmPlan) -> ConfirmResult:
        plan = self._plans.get(command.plan_id)
        if plan is None or plan.expires <= command.now:
            return ConfirmResult(self._revision, errors.UnknownPlanError.code)
        if plan.base_revision != self._revision:
            return ConfirmResult(self._revision, errors.RevisionConflictError.code)
        if plan.document != self._document:
            self._revision += 1
            before = self.declaration
            self._document = plan.document
            self._declaration = None
            self._renumber_shards(before, self.declaration)
        return ConfirmResult(self._revision)

    def _renumber_shards(
        self, before: declarations.Declaration, after: declarations.Declaration
    ) -> None:
        """Give the shards of services whose number of shards changes new generations.

        Backend servers move between them, and must never get orders with lower fencing numbers.
        """
        names = set(after.shard_names)
        self._owners = {shard: one for shard, one in self._owners.items() if shard in names}
        for service in after.services:
            known = before.find_service(service.name)
            if known is None or known.shards == service.shards:
                continue
            for shard in declarations.service_shards(service.name, service.shards):
                if shard in self._owners:
                    self._generation += 1
                    owner = self._owners[shard]
                    self._owners[shard] = attrs.evolve(owner, generation=self._generation)

    def _assign(self, command: commands.AssignShards) -> dict[str, messages.ShardOwner]:
        for shard, owner, address in command.owners:
            self._generation += 1
            self._owners[shard] = messages.ShardOwner(shard, owner, address, self._generation)
        return self._owners
