"""Commands of the replicated state machine and their encoding in log entries.

Each command carries ``now``, the cluster time in seconds when it was proposed, so that replicas
that apply it later reach the same result.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import msgspec


@attrs.frozen
class StorePlan:
    """Store a plan, which can be confirmed until cluster time ``expires``."""

    plan_id: str
    base_revision: int
    document: str
    expires: float
    now: float


@attrs.frozen
class ConfirmPlan:
    """Put a plan's declaration in force if its base revision is still the current one."""

    plan_id: str
    operation_id: str
    now: float


@attrs.frozen
class MakeClaim:
    """Claim the right to dispatch a non-idempotent request; only one claim is granted."""

    request_id: str
    workspace: str
    key: str
    fingerprint: str
    entry: str
    deadline: float
    now: float


@attrs.frozen
class SettleClaim:
    """Record the outcome of a claimed request."""

    request_id: str
    workspace: str
    key: str
    outcome: str
    http_status: int
    body: str
    now: float


@attrs.frozen
class AssignShards:
    """Assign shards to owners, as (shard, owner, address); each gets a new generation."""

    owners: tuple[tuple[str, str, str], ...]
    now: float


@attrs.frozen
class RecordCrash:
    """Record request contents that were running on an engine when it crashed.

    Parameters
    ----------
    report_id : str
    service : str
    fingerprints : tuple of str
        All contents that were running there; they become crash suspects.
    lonely : tuple of str
        Contents that ran there alone; the crash is counted for each of them.
    cleared : tuple of str
        Contents that have finished, or whose engine is still up; they are no longer suspects.
    now : float
        Cluster time in seconds.
    """

    report_id: str
    service: str
    fingerprints: tuple[str, ...]
    lonely: tuple[str, ...]
    cleared: tuple[str, ...]
    now: float


@attrs.frozen
class OrderZone:
    """Evacuate an availability zone, or withdraw that."""

    zone: str
    evacuated: bool
    now: float


_COMMAND_CLASSES = {
    command_class.__name__: command_class
    for command_class in (
        StorePlan,
        ConfirmPlan,
        MakeClaim,
        SettleClaim,
        AssignShards,
        RecordCrash,
        OrderZone,
    )
}


def encode(command: Any) -> tuple[str, bytes]:
    """Return the kind and payload of a log entry."""
    return type(command).__name__, json.dumps(msgspec.to_builtins(command)).encode()


def decode(kind: str, payload: bytes) -> Any | None:
    """Return the command of a log entry, None for the consensus layer's own entries."""
    if kind not in _COMMAND_CLASSES:
        return None
    return msgspec.convert(json.loads(payload), _COMMAND_CLASSES[kind])
