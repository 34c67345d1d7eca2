"""All-or-nothing reservation of memory at the engines that prefill parts of one prompt.

The hold at each engine is a lease that the entry renews: it expires soon after the entry fails.
"""

from __future__ import annotations

import os
from collections.abc import Callable

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import value_classes
from flamingoramp.dispatch import attempts, error_boundary
from flamingoramp.http import client, messages

# An engine frees a hold that was not renewed for this long, so that a failed entry leaves none.
HOLD_EXPIRY_SECONDS = 3.5
RENEWAL_INTERVAL_SECONDS = 1.4
# A reservation that an engine has not answered within this time counts as refused.
RESERVE_TIMEOUT_SECONDS = 0.4
# A command without an answer is given up after this time: its hold has expired by then.
COMMAND_TIMEOUT_SECONDS = HOLD_EXPIRY_SECONDS
MAX_RELEASE_ATTEMPTS = 4
# Of the answer to a command, a small JSON object.
MAX_ANSWER_BYTES = 64 * 1024
RELEASE_RETRY_INTERVAL_SECONDS = 0.6


@attrs.frozen(eq=False, repr=False)
class MemoryHold(value_classes.Value):
    """Memory to reserve at one engine; the engine knows the hold by its ``ticket``."""

    server: str
    address: str
    tokens: int
    ticket: str


def make_holds(target: attempts.AttemptTarget) -> tuple[MemoryHold, ...]:
    """Return the holds, with new tickets, at the helpers of a target that need one."""
    return tuple(
        MemoryHold(helper.server, helper.address, tokens, os.urandom(6).hex())
        for helper, tokens in zip(target.helpers, target.held_tokens, strict=True)
        if tokens
    )


def _send_command(
    boundary: error_boundary.ErrorBoundary,
    pool: client.Pool,
    address: str,
    request: messages.Request,
    on_answer: Callable[[client.Head | None, bytes], None],
) -> None:
    receiver = client.Collector(boundary.wrap(on_answer))
    handle = pool.send(address, request, receiver, max_body_bytes=MAX_ANSWER_BYTES)
    # A connection that carries no answer would stay open as long as the engine keeps it.
    boundary.call_later(COMMAND_TIMEOUT_SECONDS, handle.cancel)


class MemoryReservation:
    """Reserves memory at several engines and renews the holds until it is released.

    Parameters
    ----------
    boundary : error_boundary.ErrorBoundary
        Runs the callbacks.
    pool : client.Pool
    dialect : dialects.Dialect
    holds : tuple of MemoryHold
    on_ready : callable
        Called once with the names of the engines that refused or didn't answer; empty if all memory
        is reserved.
    """

    def __init__(
        self,
        boundary: error_boundary.ErrorBoundary,
        pool: client.Pool,
        dialect: dialects.Dialect,
        holds: tuple[MemoryHold, ...],
        on_ready: Callable[[tuple[str, ...]], None],
    ):
        self._boundary = boundary
        self._pool = pool
        self._dialect = dialect
        self._holds = holds
        self._on_ready = on_ready
        self._unanswered = {hold.server for hold in holds}
        self._refused: set[str] = set()
        self._has_result = False
        self._released = False
        for hold in holds:
            self._send_reserve(hold, self._handle_answer)
        boundary.call_later(RESERVE_TIMEOUT_SECONDS, self._handle_timeout)

    @property
    def holds(self) -> tuple[MemoryHold, ...]:
        """The hold of each engine, whether granted yet or not."""
        return self._holds

    def release(self) -> None:
        """Release the memory at all engines; later calls do nothing."""
        if self._released:
            return
        self._released = True
        for hold in self._holds:
            _Release(self._boundary, self._pool, self._dialect, hold)

    def _send_reserve(
        self, hold: MemoryHold, on_answer: Callable[[MemoryHold, bool], None]
    ) -> None:
        request = self._dialect.encode_reserve(
            hold.server, hold.ticket, hold.tokens, HOLD_EXPIRY_SECONDS
        )
        _send_command(
            self._boundary,
            self._pool,
            hold.address,
            request,
            lambda head, _body: on_answer(hold, head is not None and head.status == 200),
        )

    def _handle_answer(self, hold: MemoryHold, granted: bool) -> None:
        self._unanswered.discard(hold.server)
        if not granted:
            self._refused.add(hold.server)
        if not self._unanswered:
            self._complete()

    def _handle_timeout(self) -> None:
        if self._unanswered:
            self._refused |= self._unanswered
            self._complete()

    def _complete(self) -> None:
        if self._has_result or self._released:
            return
        self._has_result = True
        if self._refused:
            # An engine may still grant a request that timed out, so all holds are released.
            self.release()
        else:
            self._boundary.call_later(RENEWAL_INTERVAL_SECONDS, self._renew)
        self._on_ready(tuple(sorted(self._refused)))

    def _renew(self) -> None:
        if self._released:
            return
        for hold in self._holds:
            self._send_reserve(hold, lambda _hold, _granted: None)
        self._boundary.call_later(RENEWAL_INTERVAL_SECONDS, self._renew)


class _Release:
    """Releases one hold; retries if the engine doesn't answer or returns a 5xx status."""

    def __init__(
        self,
        boundary: error_boundary.ErrorBoundary,
        pool: client.Pool,
        dialect: dialects.Dialect,
        hold: MemoryHold,
    ):
        self._boundary = boundary
        self._pool = pool
        self._dialect = dialect
        self._hold = hold
        self._attempt_count = 0
        self._send()

    def _send(self) -> None:
        self._attempt_count += 1
        request = self._dialect.encode_release(self._hold.server, self._hold.ticket)
        _send_command(self._boundary, self._pool, self._hold.address, request, self._handle_answer)

    def _handle_answer(self, head: client.Head | None, _body: bytes) -> None:
        answered = head is not None and head.status < 500
        if not answered and self._attempt_count < MAX_RELEASE_ATTEMPTS:
            self._boundary.call_later(RELEASE_RETRY_INTERVAL_SECONDS, self._send)
