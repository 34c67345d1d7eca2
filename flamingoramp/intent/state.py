"""Replicated state of the control replicas: declaration, claims, shard owners, crash suspects.

It is a deterministic state machine: applying the same commands in the same order gives the same
state and the same results on each replica.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import msgspec

from flamingoramp import errors
from flamingoramp.dispatch import claims, suspects
from flamingoramp.intent import commands, declarations
from flamingoramp.protocol import shard_messages

MAX_OPERATIONS = 4096
MAX_PLANS = 256
EMPTY_DOCUMENT = declarations.render(declarations.Declaration())


@attrs.frozen
class Plan:
    """Declaration that an operator may confirm until the cluster time ``expires``."""

    plan_id: str
    base_revision: int
    document: str
    expires: float


@attrs.frozen
class ConfirmResult:
    """Result of a confirmation: the revision in force, and an error code, empty on success."""

    revision: int
    error: str = ""


class ReplicatedState:
    """State that the control replicas agree on.

    Parameters
    ----------
    claim_limits : claims.ClaimLimits
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
        self._owners: dict[str, shard_messages.ShardOwner] = {}
        self._last_generation = 0
        self._time = 0.0
        self._evacuated_zones: frozenset[str] = frozenset()
        self.claims = claims.ClaimTable(self._claim_limits)
        self.suspects = suspects.SuspectTable()

    @property
    def revision(self) -> int:
        """Revision number of the declaration in force; it only grows."""
        return self._revision

    @property
    def document(self) -> str:
        """JSON text of the declaration in force."""
        return self._document

    @property
    def declaration(self) -> declarations.Declaration:
        """The declaration in force, parsed once for each revision."""
        if self._declaration is None:
            self._declaration = declarations.parse(self._document, "log")
        return self._declaration

    @property
    def time(self) -> float:
        """Latest cluster time of an applied command, in Unix seconds; it only grows."""
        return self._time

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """Availability zones whose servers get nothing new, sorted."""
        return tuple(sorted(self._evacuated_zones))

    @property
    def owners(self) -> dict[str, shard_messages.ShardOwner]:
        """Owners by shard name."""
        return self._owners

    @property
    def operations(self) -> dict[str, ConfirmResult]:
        """Results of confirmations by operation id."""
        return self._operations

    def find_plan(self, plan_id: str) -> Plan | None:
        """Return a stored plan, None if there is none of that id."""
        return self._plans.get(plan_id)

    def apply(self, command: Any) -> Any:
        """Apply a committed command and return its result.

        A command whose time is before that of an earlier one is applied at the earlier one's time.
        """
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
                return self._assign_shards(command)
            case commands.RecordCrash():
                return self.suspects.apply_report(command)
            case commands.OrderZone(zone, evacuated):
                change = frozenset({zone})
                others = self._evacuated_zones - change
                self._evacuated_zones = others | change if evacuated else others
                return self.evacuated_zones
        raise errors.InvariantViolationError(f"command of unknown type {type(command).__name__}")

    def dump(self) -> bytes:
        """Return the state for a snapshot, as JSON."""
        state = {
            "revision": self._revision,
            "document": self._document,
            "generation": self._last_generation,
            "time": self._time,
            "plans": msgspec.to_builtins(self._plans),
            "operations": msgspec.to_builtins(self._operations),
            "owners": msgspec.to_builtins(self._owners),
            "claims": self.claims.dump(),
            "suspects": self.suspects.dump(),
            "evacuated_zones": self.evacuated_zones,
        }
        return json.dumps(state).encode()

    def load(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty data gives the empty state."""
        previous_revision = self._revision
        self._reset()
        if data:
            self._load(json.loads(data))
        if self._revision < previous_revision:
            raise errors.InvariantViolationError(
                f"snapshot would revert the revision from {previous_revision} to {self._revision}"
            )

    def _load(self, state: dict[str, Any]) -> None:
        self._revision = state["revision"]
        self._document = state["document"]
        self._last_generation = state["generation"]
        self._time = state.get("time", 0.0)
        self._evacuated_zones = frozenset(state.get("evacuated_zones", ()))
        self._plans = msgspec.convert(state["plans"], dict[str, Plan])
        self._operations = msgspec.convert(state["operations"], dict[str, ConfirmResult])
        self._owners = msgspec.convert(state["owners"], dict[str, shard_messages.ShardOwner])
        self.claims.load(state["claims"])
        self.suspects.load(state["suspects"])

    def _store_plan(self, command: commands.StorePlan) -> Plan:
        plan = Plan(command.plan_id, command.base_revision, command.document, command.expires)
        unexpired = {key: item for key, item in self._plans.items() if item.expires > command.now}
        unexpired[plan.plan_id] = plan
        self._plans = dict(list(unexpired.items())[-MAX_PLANS:])
        return plan

    def _confirm(self, command: commands.ConfirmPlan) -> ConfirmResult:
        first_result = self._operations.get(command.operation_id)
        if first_result is not None:
            return first_result
        result = self._confirm_once(command)
        self._operations[command.operation_id] = result
        while len(self._operations) > MAX_OPERATIONS:
            del self._operations[next(iter(self._operations))]
        return result

    def _confirm_once(self, command: commands.ConfirmPlan) -> ConfirmResult:
        plan = self._plans.get(command.plan_id)
        if plan is None or plan.expires <= command.now:
            return ConfirmResult(self._revision, errors.UnknownPlanError.code)
        if plan.base_revision != self._revision:
            return ConfirmResult(self._revision, errors.RevisionConflictError.code)
        if plan.document != self._document:
            self._revision += 1
            previous_declaration = self.declaration
            self._document = plan.document
            self._declaration = None
            self._advance_generations(previous_declaration, self.declaration)
        return ConfirmResult(self._revision)

    def _advance_generations(
        self, before: declarations.Declaration, after: declarations.Declaration
    ) -> None:
        """Assign new generations to the shards of services whose number of shards changes.

        Backend servers move between these shards, and must never receive orders with lower fencing
        numbers.
        """
        shards = set(after.shard_names)
        self._owners = {shard: item for shard, item in self._owners.items() if shard in shards}
        for service in after.services:
            previous = before.find_service(service.name)
            if previous is None or previous.shards == service.shards:
                continue
            for shard in declarations.service_shards(service.name, service.shards):
                if shard in self._owners:
                    self._last_generation += 1
                    owner = self._owners[shard]
                    self._owners[shard] = attrs.evolve(owner, generation=self._last_generation)

    def _assign_shards(
        self, command: commands.AssignShards
    ) -> dict[str, shard_messages.ShardOwner]:
        for shard, owner, address in command.owners:
            self._last_generation += 1
            self._owners[shard] = shard_messages.ShardOwner(
                shard, owner, address, self._last_generation
            )
        return self._owners
