"""The ledger of memory and slots reserved on backend servers."""

from __future__ import annotations

import attrs

from flamingoramp import errors

AttemptKey = tuple[str, int]


@attrs.define
class Reservation:
    """Memory of one attempt on one or more backend servers; times on the owner's clock."""

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
        """Request id and attempt."""
        return (self.request_id, self.attempt)


@attrs.define
class _Account:
    tokens: int = 0
    keys: set[AttemptKey] = attrs.field(factory=set)


class Ledger:
    """All reservations of a shard."""

    def __init__(self):
        self._reservations: dict[AttemptKey, Reservation] = {}
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return len(self._reservations)

    def __contains__(self, key: AttemptKey) -> bool:
        return key in self._reservations

    def find(self, key: AttemptKey) -> Reservation | None:
        """Return a reservation."""
        return self._reservations.get(key)

    def all(self) -> list[Reservation]:
        """Return all reservations."""
        return list(self._reservations.values())

    def reserved_tokens(self, server: str) -> int:
        """Return the tokens reserved on a server."""
        account = self._accounts.get(server)
        return account.tokens if account else 0

    def reservation_count(self, server: str) -> int:
        """Return the number of reservations on a server."""
        account = self._accounts.get(server)
        return len(account.keys) if account else 0

    def reservations_on(self, server: str) -> list[Reservation]:
        """Return the reservations on a server."""
        account = self._accounts.get(server)
        return [self._reservations[key] for key in account.keys] if account else []

    def add(self, reservation: Reservation) -> None:
        """Reserve on all servers of a reservation at once."""
        if reservation.key in self._reservations:
            raise errors.InvariantViolationError(f"{reservation.key} is reserved twice")
        self._reservations[reservation.key] = reservation
        for server, tokens in zip(reservation.servers, reservation.tokens, strict=True):
            account = self._accounts.setdefault(server, _Account())
            account.tokens += tokens
            account.keys.add(reservation.key)

    def release(self, key: AttemptKey) -> Reservation | None:
        """Give a reservation's memory back; None if there is none."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return None
        for server, tokens in zip(reservation.servers, reservation.tokens, strict=True):
            account = self._accounts[server]
            account.tokens -= tokens
            account.keys.discard(key)
            if account.tokens < 0 or (not account.keys and account.tokens):
                raise errors.InvariantViolationError(
                    f"{server} holds {account.tokens} tokens for none"
                )
            if not account.keys:
                del self._accounts[server]
        return reservation


def parse_key(text: str) -> AttemptKey:
    """Return the key that a hold report names as ``request/attempt``."""
    request_id, _, attempt = text.rpartition("/")
    return request_id, int(attempt)
