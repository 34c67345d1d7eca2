"""Claims of idempotency keys, so that each non-idempotent request is dispatched at most once.

The table is part of the replicated state; each change is a command of the replicated log.
"""

from __future__ import annotations

import collections
import enum
from typing import Any

import attrs
import msgspec

from flamingoramp import errors
from flamingoramp.intent import cluster_time


class ClaimStatus(enum.StrEnum):
    """Status of a claim of a key.

    ``GRANTED``: the request may be dispatched. ``RECORDED``: an earlier request with the key has an
    outcome. ``IN_PROGRESS``: it has none, and its deadline has not passed. ``UNKNOWN``: it has no
    outcome, and its deadline has passed. ``EXPIRED``: the key is older than the retention.
    ``REUSED``: an earlier request with the key had other content. ``FULL``: the table has reached
    `ClaimLimits.max_claims`.
    """

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"


@attrs.frozen
class ClaimLimits:
    """Bounds of the claim table; durations are in cluster time."""

    max_claims: int = 100_000
    retention_seconds: float = 86_400.0
    clock_error_seconds: float = 1.0


@attrs.frozen
class Claim:
    """A claimed key and its outcome, empty until it is recorded; times are cluster time."""

    request_id: str
    fingerprint: str
    entry: str
    deadline: float
    made: float
    outcome: str = ""
    http_status: int = 0
    body: str = ""


@attrs.frozen
class ClaimResult:
    """Result of a claim of a key; ``claim`` is the one that holds the key, new or earlier."""

    status: ClaimStatus
    claim: Claim | None = None


def parse_issue_time(key: str) -> float | None:
    """Return the Unix time at the start of a key like ``1764793200-a1b2``, None without one."""
    prefix, separator, _ = key.partition("-")
    if not separator or not prefix.isdigit() or not 9 <= len(prefix) <= 11:
        return None
    return float(prefix)


class ClaimTable:
    """Claims by workspace and key, oldest first.

    Claims are stored for the retention. After that, a key that starts with the Unix time of its
    issue is refused as expired; any other key can be claimed again.
    """

    def __init__(self, limits: ClaimLimits):
        self._limits = limits
        self._claims: collections.OrderedDict[tuple[str, str], Claim] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, workspace: str, key: str) -> Claim | None:
        """Return the claim of a key, None if the table has none."""
        return self._claims.get((workspace, key))

    def make_claim(self, command: Any) -> ClaimResult:
        """Claim a key, unless another request holds it.

        Parameters
        ----------
        command : flamingoramp.intent.commands.MakeClaim
        """
        self._evict_expired(command.now)
        table_key = (command.workspace, command.key)
        existing = self._claims.get(table_key)
        if existing is not None:
            return self._check_existing(existing, command)
        issued_at = parse_issue_time(command.key)
        if issued_at is not None and issued_at < command.now - self._limits.retention_seconds:
            return ClaimResult(ClaimStatus.EXPIRED)
        if len(self._claims) >= self._limits.max_claims:
            return ClaimResult(ClaimStatus.FULL)
        claim = Claim(
            command.request_id, command.fingerprint, command.entry, command.deadline, command.now
        )
        self._claims[table_key] = claim
        return ClaimResult(ClaimStatus.GRANTED, claim)

    def record_outcome(self, command: Any) -> bool:
        """Record the outcome of a request's claim, or delete the claim if that is ``not_run``.

        Returns False and changes nothing if the claim has an outcome, belongs to another request or
        is not stored.

        Parameters
        ----------
        command : flamingoramp.intent.commands.SettleClaim
        """
        table_key = (command.workspace, command.key)
        existing = self._claims.get(table_key)
        if existing is None or existing.request_id != command.request_id or existing.outcome:
            return False
        if command.outcome == "not_run":
            del self._claims[table_key]
            return True
        self._claims[table_key] = attrs.evolve(
            existing,
            outcome=command.outcome,
            http_status=command.http_status,
            body=command.body,
        )
        return True

    def dump(self) -> list[Any]:
        """Return the table as data that can be encoded as JSON."""
        return [
            [*table_key, msgspec.to_builtins(claim)] for table_key, claim in self._claims.items()
        ]

    def load(self, rows: list[Any]) -> None:
        """Replace the table with the result of `dump`."""
        self._claims.clear()
        for workspace, key, claim in rows:
            self._claims[(workspace, key)] = msgspec.convert(claim, Claim)

    def _check_existing(self, existing: Claim, command: Any) -> ClaimResult:
        if existing.fingerprint != command.fingerprint:
            return ClaimResult(ClaimStatus.REUSED, existing)
        if existing.outcome:
            return ClaimResult(ClaimStatus.RECORDED, existing)
        if existing.request_id == command.request_id and existing.entry == command.entry:
            return ClaimResult(ClaimStatus.GRANTED, existing)  # the same request resent its claim
        if command.now <= existing.deadline + self._limits.clock_error_seconds:
            return ClaimResult(ClaimStatus.IN_PROGRESS, existing)
        return ClaimResult(ClaimStatus.UNKNOWN, existing)

    def _evict_expired(self, now: float) -> None:
        retention = self._limits.retention_seconds * (1 + cluster_time.SLEW_RATIO)
        cutoff = now - retention - self._limits.clock_error_seconds
        while self._claims:
            table_key, claim = next(iter(self._claims.items()))
            if max(claim.made, claim.deadline, self._bounded_issue_time(table_key, claim)) > cutoff:
                return
            del self._claims[table_key]

    def _bounded_issue_time(self, table_key: tuple[str, str], claim: Claim) -> float:
        """Return when a key was issued, but at most one retention after its claim.

        A caller's clock may be ahead: the claim stays until the key counts as expired, so that the
        key can't be claimed as a new one after eviction.
        """
        issued_at = parse_issue_time(table_key[1]) or 0.0
        return min(issued_at, claim.made + self._limits.retention_seconds)


def error_of(status: ClaimStatus) -> errors.FlamingorampError:
    """Return the error for a caller whose claim was not granted."""
    match status:
        case ClaimStatus.IN_PROGRESS:
            return errors.OutcomeUnknownError(
                "a request with this key is running; ask again with the same key", retry_after=1.0
            )
        case ClaimStatus.EXPIRED:
            return errors.KeyExpiredError("the key is older than claims are kept; use a new one")
        case ClaimStatus.REUSED:
            return errors.KeyReusedError("the key was used with another content; use a new one")
        case ClaimStatus.FULL:
            return errors.OverloadedError("too many claims are kept", retry_after=60.0)
        case _:
            return errors.OutcomeUnknownError("a request with this key was sent; it may have run")
