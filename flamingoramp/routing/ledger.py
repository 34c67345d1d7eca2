"""Ledger of the memory and slots that are reserved on backend servers."""

from __future__ import annotations

import attrs

from flamingoramp import errors
from flamingoramp.protocol import shard_messages

# Request id and number of the attempt.
AttemptKey = tuple[str, int]


@attrs.define
class Reservation:
    """Memory and slots reserved for one attempt of a request, on one or more backend servers.

    ``tokens`` has an item for each server. Times are in seconds on the owner's clock; a lower
    ``priority`` number goes first.
    """

    request_id: str
    attempt: int
    servers: tuple[str, ...]
    tokens: tuple[int, ...]
    entry: str
    entry_address: str
    fingerprint: str
    granted_at: float
    renewed_at: float
    prefill_seconds: float = 0.0
    priority: int = 0
    prefill_done: bool = False
    isolated: bool = False
    is_long: bool = False

    @property
    def key(self) -> AttemptKey:
        """Request id and number of the attempt."""
        return (self.request_id, self.attempt)


@attrs.define
class _Account:
    """Tokens reserved on one server, and the keys of its reservations."""

    tokens: int = 0
    keys: set[AttemptKey] = attrs.field(factory=set)


class Ledger:
    """All reservations of a shard, and their sums by server."""

    def __init__(self):
        self._reservations: dict[AttemptKey, Reservation] = {}
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return len(self._reservations)

    def __contains__(self, key: AttemptKey) -> bool:
        return key in self._reservations

    def find(self, key: AttemptKey) -> Reservation | None:
        """Return an attempt's reservation; None if there is none."""
        return self._reservations.get(key)

    def all(self) -> list[Reservation]:
        """Return all reservations as a new list."""
        return list(self._reservations.values())

    def reserved_tokens(self, server: str) -> int:
        """Return the tokens reserved on a server; 0 for an unknown one."""
        account = self._accounts.get(server)
        return account.tokens if account else 0

    def reservation_count(self, server: str) -> int:
        """Return the number of reservations on a server; 0 for an unknown one."""
        account = self._accounts.get(server)
        return len(account.keys) if account else 0

    def reservations_on(self, server: str) -> list[Reservation]:
        """Return the reservations on a server; empty for an unknown one."""
        account = self._accounts.get(server)
        return [self._reservations[key] for key in account.keys] if account else []

    def add(self, reservation: Reservation) -> None:
        """Add a reservation on all its servers at once.

        Raises
        ------
        InvariantViolationError
            If its attempt has one already.
        """
        if reservation.key in self._reservations:
            raise errors.InvariantViolationError(
                f"{reservation.key} already has a reservation; release it before adding another"
            )
        self._reservations[reservation.key] = reservation
        for server, tokens in zip(reservation.servers, reservation.tokens, strict=True):
            account = self._accounts.setdefault(server, _Account())
            account.tokens += tokens
            account.keys.add(reservation.key)

    def release(self, key: AttemptKey) -> Reservation | None:
        """Remove an attempt's reservation and return it; None if there is none.

        Raises
        ------
        InvariantViolationError
            If a server's sum of tokens no longer matches its reservations.
        """
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return None
        for server, tokens in zip(reservation.servers, reservation.tokens, strict=True):
            account = self._accounts[server]
            account.tokens -= tokens
            account.keys.discard(key)
            if account.tokens < 0 or (not account.keys and account.tokens):
                raise errors.InvariantViolationError(
                    f"{server}: {account.tokens} tokens reserved don't match its reservations"
                )
            if not account.keys:
                del self._accounts[server]
        return reservation


def parse_key(text: str) -> AttemptKey:
    """Parse an attempt's key from ``request/attempt``, its format in hold reports."""
    request_id, _, attempt = text.rpartition("/")
    return request_id, int(attempt)


def restore(
    report: shard_messages.HoldReport, held: shard_messages.HeldReservation, now: float
) -> Reservation:
    """Return the reservation that an entry reports to a new owner, as if granted now."""
    return Reservation(
        request_id=held.request_id,
        attempt=held.attempt,
        servers=held.servers,
        tokens=held.tokens,
        entry=report.entry,
        entry_address=report.entry_address,
        fingerprint=held.fingerprint,
        granted_at=now,
        renewed_at=now,
        prefill_done=held.prefill_done,
    )
