"""Claims: the one dispatch of each non-idempotent request."""

from __future__ import annotations

import collections
import enum
from typing import Any

import attrs
import cattrs

from flamingoramp.intent import cluster_time

_converter = cattrs.Converter()


class ClaimStatus(enum.StrEnum):
    """Answer to the claim of a key."""

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"


@attrs.frozen
class ClaimLimits:
    """Bounds of the table; times in seconds of cluster time."""

    max_claims: int = 100_000
    retention_seconds: float = 86_400.0
    clock_error_seconds: float = 1.0


@attrs.frozen
class Claim:
    """A claimed key and, once settled, its outcome; times are cluster time."""

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
    """What a claim came to; ``claim`` is the earlier one if there is any."""

    status: ClaimStatus
    claim: Claim | None = None


def key_time(key: str) -> float | None:
    """Return the Unix time in front of a key like ``1764793200-a1b2``, None if it has none."""
    head, separator, _ = key.partition("-")
    if not separator or not head.isdigit() or not 9 <= len(head) <= 11:
        return None
    return float(head)


class ClaimTable:
    """Claims by workspace and key, oldest first.

    A key that begins with its Unix time is refused as expired once it is older than the retention.
    Other keys are remembered for the retention.
    """

    def __init__(self, limits: ClaimLimits):
        self._limits = limits
        self._claims: collections.OrderedDict[tuple[str, str], Claim] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, workspace: str, key: str) -> Claim | None:
        """Return the claim of a key."""
        return self._claims.get((workspace, key))

    def make_claim(self, command: Any) -> ClaimResult:
        """Claim a key, unless it was claimed before.

        Parameters
        ----------
        command : flamingoramp.intent.commands.MakeClaim
        """
        self._drop_old(command.now)
        place = (command.workspace, command.key)
        known = self._claims.get(place)
        if known is not None:
            return self._judge_known(known, command)
        issued = key_time(command.key)
        if issued is not None and issued < command.now - self._limits.retention_seconds:
            return ClaimResult(ClaimStatus.EXPIRED)
        if len(self._claims) >= self._limits.max_claims:
            return ClaimResult(ClaimStatus.FULL)
        claim = Claim(
            command.request_id, command.fingerprint, command.entry, command.deadline, command.now
        )
        self._claims[place] = claim
        return ClaimResult(ClaimStatus.GRANTED, claim)

    def record_outcome(self, command: Any) -> bool:
        """Record an outcome; the first one stands.

        Parameters
        ----------
        command : flamingoramp.intent.commands.SettleClaim
        """
        place = (command.workspace, command.key)
        known = self._claims.get(place)
        if known is None or known.request_id != command.request_id or known.outcome:
            return False
        if command.outcome == "not_run":
            del self._claims[place]
            return True
        self._claims[place] = attrs.evolve(
            known,
            outcome=command.outcome,
            http_status=command.http_status,
            body=command.body,
        )
        return True

    def dump(self) -> list[Any]:
        """Return the table as plain data."""
        return [[*place, _converter.unstructure(claim)] for place, claim in self._claims.items()]

    def load(self, rows: list[Any]) -> None:
        """Replace the table by what `dump` returned."""
        self._claims.clear()
        for workspace, key, claim in rows:
            self._claims[(workspace, key)] = _converter.structure(claim, Claim)

    def _judge_known(self, known: Claim, command: Any) -> ClaimResult:
        if known.fingerprint != command.fingerprint:
            return ClaimResult(ClaimStatus.REUSED, known)
        if known.outcome:
            return ClaimResult(ClaimStatus.RECORDED, known)
        if known.request_id == command.request_id and known.entry == command.entry:
            return ClaimResult(ClaimStatus.GRANTED, known)  # the same request, sent again
        if command.now <= known.deadline + self._limits.clock_error_seconds:
            return ClaimResult(ClaimStatus.IN_PROGRESS, known)
        return ClaimResult(ClaimStatus.UNKNOWN, known)

    def _drop_old(self, now: float) -> None:
        kept = self._limits.retention_seconds * (1 + cluster_time.SLEW_RATIO)
        horizon = now - kept - self._limits.clock_error_seconds
        while self._claims:
            place, claim = next(iter(self._claims.items()))
            if max(claim.made, claim.deadline, self._issued(place, claim)) > horizon:
                return
            del self._claims[place]

    def _issued(self, place: tuple[str, str], claim: Claim) -> float:
        """Return when a key was issued, at most a retention after its claim.

        A caller's clock may be ahead: its key must not pass for a fresh one once it is dropped.
        """
        issued = key_time(place[1]) or 0.0
        return min(issued, claim.made + self._limits.retention_seconds)
