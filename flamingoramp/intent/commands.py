"""Commands of the replicated state machine and their encoding in log entries.

Each command carries ``now``, the cluster time in seconds at the proposal, so that replicas
that apply it later come to the same result.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs


@attrs.frozen
class StorePlan:
    """Remember a plan until it is confirmed or expires."""

    plan_id: str
    base_revision: int
    document: str
    expires: float
    now: float


@attrs.frozen
class ConfirmPlan:
    """Put a plan in force if its base revision is still current."""

    plan_id: str
    operation_id: str
    now: float


@attrs.frozen
class MakeClaim:
    """Claim the only dispatch of a non-idempotent request."""

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
    """Name the owners of shards; each change has a new generation."""

    owners: tuple[tuple[str, str, str], ...]
    now: float


@attrs.frozen
class RecordCrash:
    """Contents that ran on an engine that crashed.

    Parameters
    ----------
    report_id : str
    service : str
    fingerprints : tuple of str
        All that ran there; they become suspects.
    lonely : tuple of str
        Those that ran there alone; each crash counts against them.
    cleared : tuple of str
        Those that finished or whose engine lives; they are suspects no more.
    now : float
        Cluster time in seconds.
    """

    report_id: str
    service: str
    fingerprints: tuple[str, ...]
    lonely: tuple[str, ...]
    cleared: tuple[str, ...]
    now: float


_converter = cattrs.Converter()
_KINDS = {
    kind.__name__: kind
    for kind in (StorePlan, ConfirmPlan, MakeClaim, SettleClaim, AssignShards, RecordCrash)
}


def encode(command: Any) -> tuple[str, bytes]:
    """Return the kind and payload of a log entry."""
    return type(command).__name__, json.dumps(_converter.unstructure(command)).encode()


def decode(kind: str, payload: bytes) -> Any | None:
    """Return the command of a log entry, None for entries of the log itself."""
    if kind not in _KINDS:
        return None
    return _converter.structure(json.loads(payload), _KINDS[kind])
