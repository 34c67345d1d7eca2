"""Reservations of memory at several engines for one prompt: all of them, or none.

A reservation is held by renewals and lapses soon after its holder dies.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingoramp import dialect as dialects
from flamingoramp.http import client
from flamingoramp.runtime import loop as loops

# An engine frees what is not renewed for this long; a dead entry leaves no memory behind.
HOLD_SECONDS = 3.5
RENEW_SECONDS = 1.4
# An engine that doesn't answer an order within this time is taken to have refused it.
ANSWER_SECONDS = 0.4
RELEASE_TRIES = 4
RELEASE_RETRY_SECONDS = 0.6


@attrs.frozen
class Hold:
    """Memory to hold at one engine under a ticket."""

    server: str
    address: str
    tokens: int
    ticket: str


class Reservation:
    """Holds memory at a set of engines until it is released.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    dialect : dialects.Dialect
    holds : tuple of Hold
    on_ready : callable
        Takes the servers that refused or didn't answer; none means that all memory is held.
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        dialect: dialects.Dialect,
        holds: tuple[Hold, ...],
        on_ready: Callable[[tuple[str, ...]], None],
    ):
        self._loop = loop
        self._pool = pool
        self._dialect = dialect
        self._holds = holds
        self._on_ready = on_ready
        self._waiting = {hold.server for hold in holds}
        self._refused: set[str] = set()
        self._decided = False
        self._released = False
        for hold in holds:
            self._order(hold, self._handle_answer)
        loop.call_later(ANSWER_SECONDS, self._give_up)

    @property
    def holds(self) -> tuple[Hold, ...]:
        """What is held."""
        return self._holds

    def release(self) -> None:
        """Give all memory back."""
        if self._released:
            return
        self._released = True
        for hold in self._holds:
            _Release(self._loop, self._pool, self._dialect, hold)

    def _order(self, hold: Hold, done: Callable[[Hold, bool], None]) -> None:
        request = self._dialect.encode_reserve(hold.server, hold.ticket, hold.tokens, HOLD_SECONDS)
        receiver = client.Collector(
            lambda head, _body: done(hold, head is not None and head.status == 200)
        )
        self._pool.send(hold.address, request, receiver)

    def _handle_answer(self, hold: Hold, granted: bool) -> None:
        self._waiting.discard(hold.server)
        if not granted:
            self._refused.add(hold.server)
        if not self._waiting:
            self._decide()

    def _give_up(self) -> None:
        if self._waiting:
            self._refused |= self._waiting
            self._decide()

    def _decide(self) -> None:
        if self._decided or self._released:
            return
        self._decided = True
        if self._refused:
            # An order without an answer may still be carried out, so that all are released.
            self.release()
        else:
            self._loop.call_later(RENEW_SECONDS, self._renew)
        self._on_ready(tuple(sorted(self._refused)))

    def _renew(self) -> None:
        if self._released:
            return
        for hold in self._holds:
            self._order(hold, lambda _hold, _granted: None)
        self._loop.call_later(RENEW_SECONDS, self._renew)


class _Release:
    """Releases one hold, again while no answer comes."""

    def __init__(self, loop: loops.Loop, pool: client.Pool, dialect: dialects.Dialect, hold: Hold):
        self._loop = loop
        self._pool = pool
        self._dialect = dialect
        self._hold = hold
        self._tries = 0
        self._try()

    def _try(self) -> None:
        self._tries += 1
        request = self._dialect.encode_release(self._hold.server, self._hold.ticket)
        self._pool.send(self._hold.address, request, client.Collector(self._handle_answer))

    def _handle_answer(self, head: client.Head | None, _body: bytes) -> None:
        answered = head is not None and head.status < 500
        if not answered and self._tries < RELEASE_TRIES:
            self._loop.call_later(RELEASE_RETRY_SECONDS, self._try)
