"""One caller's request from its arrival to its answer.

A request is sent to a backend server; where it may run again it is sent to another one if the first
refuses, breaks off or keeps silent. A stream that was cut off is taken up by another server within
the same answer.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.backends import event_blocks
from flamingoramp.dispatch import tickets
from flamingoramp.http import client, messages
from flamingoramp.http import server as http_server
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_book
from flamingoramp.runtime import loop as loops

# A first piece that is this many times later than predicted, and later than this many seconds, has
# another server try. An earlier try costs an engine more than it gains the caller.
PATIENCE_FACTOR = 3.0
PATIENCE_SECONDS = 0.8
# A stream that pauses for this many tolerated pauses, and for this long, is taken up elsewhere;
# callers give up after 2 s.
SILENCE_FACTOR = 3.0
SILENCE_SECONDS = 1.4
# Another server is worth the work if it is predicted to answer within this share of the silence.
WORTHWHILE_SHARE = 0.5
# A plain call that takes this many times its objective has another server try.
PLAIN_PATIENCE_SHARE = 1.5
# A retry needs this much time to be of use.
SMALLEST_TIME_LEFT = 0.05
# Placements tried for a prompt whose memory was refused.
RESERVATION_TRIES = 3
# A caller that was refused comes back after about the time that an answer takes.
RETRY_AFTER_SECONDS = 0.4


@attrs.frozen
class Target:
    """Where an attempt goes.

    Parameters
    ----------
    server : inner.ServerRecord
    helpers : tuple of inner.ServerRecord
    held_tokens : tuple of int
        Memory to reserve at each helper; empty for none.
    works : tuple of load_book.Work
        What the attempt adds to the load of each server.
    predicted_seconds : float
        Wait for the first piece.
    risk : float
        Credit that the placement puts at risk, in units of `placement`.
    """

    server: inner.ServerRecord
    helpers: tuple[inner.ServerRecord, ...] = ()
    held_tokens: tuple[int, ...] = ()
    works: tuple[load_book.Work, ...] = ()
    predicted_seconds: float = 0.0
    risk: float = 0.0


@attrs.frozen
class Admitted:
    """A request that a declaration allows."""

    exchange: http_server.Exchange
    caller: dialects.CallerRequest
    route: traffic.Route
    service: str
    workspace: str
    priority: int | None
    fingerprint: str
    time_limit: float


class Surroundings(Protocol):
    """What a request needs of its entry."""

    loop: loops.Loop
    pool: client.Pool
    dialect: dialects.Dialect
    book: load_book.LoadBook

    def choose(self, admitted: Admitted, excluded: set[str]) -> Target:
        """Choose where the next attempt goes.

        Raises
        ------
        flamingoramp.errors.NoBackendError or flamingoramp.errors.OverloadedError
            If no server can take it.
        """

    def note_first_send(self, service: str) -> None:
        """Count the first send of a request."""

    def take_retry(self, service: str) -> bool:
        """Take a repeated send out of the allowance."""

    def note_broken(self, admitted: Admitted, server: inner.ServerRecord, crashed: bool) -> None:
        """Note that a server broke off or couldn't be reached."""

    def explains_silence(self, admitted: Admitted, server: inner.ServerRecord) -> bool:
        """Tell whether a server is silent because of what it is known to have to do."""

    def note_silent(self, server: inner.ServerRecord) -> None:
        """Note that a server kept silent for longer than predicted."""

    def note_answer(self, server: inner.ServerRecord, failed: bool) -> None:
        """Note a whole answer."""

    def note_pace(self, service: str, server: inner.ServerRecord, gaps: list[float]) -> None:
        """Note the pauses between the events of a stream, in seconds."""

    def note_end(self, admitted: Admitted, outcome: str, **fields: Any) -> None:
        """Log and count how a request ended."""

    def note_step(self, admitted: Admitted, event: str, **fields: Any) -> None:
        """Log a decision on a request."""


class _Attempt:
    """One send; takes the server's answer in for its request."""

    def __init__(self, forwarding: Forwarding, target: Target, number: int):
        self._forwarding = forwarding
        self.target = target
        self.number = number
        self.is_current = True
        self.call: client.Call | None = None
        self.head: client.Head | None = None
        self.is_stream = False
        self.body: list[bytes] = []
        self.blocks = event_blocks.BlockReader()
        self.started_at = 0.0
        self.heard_at = 0.0
        self.gaps: list[float] = []
        self.pieces = 0

    def cancel(self) -> None:
        """Stop the server's work on it."""
        if self.is_current:
            self.is_current = False
            if self.call is not None:
                self.call.cancel()

    def detach(self) -> None:
        """Let the rest of the answer pass unread."""
        self.is_current = False

    def handle_head(self, head: client.Head) -> None:
        """Take the status and headers."""
        if self.is_current:
            self._forwarding.handle_head(self, head)

    def handle_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.is_current:
            self._forwarding.handle_data(self, data)

    def handle_complete(self) -> None:
        """Take the end of a whole answer."""
        if self.is_current:
            self._forwarding.handle_complete(self)

    def handle_failure(self, failure: client.Failure, *, may_have_run: bool) -> None:
        """Take the end of a request without a whole answer."""
        if self.is_current:
            self._forwarding.handle_failure(self, failure, may_have_run=may_have_run)


class Forwarding:
    """The life of one admitted request.

    Parameters
    ----------
    surroundings : Surroundings
    admitted : Admitted
    on_end : callable
        Takes this object when the request is over.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        admitted: Admitted,
        on_end: Callable[[Forwarding], None],
    ):
        self._around = surroundings
        self._admitted = admitted
        self._on_end = on_end
        self._exchange = admitted.exchange
        self._begun_at = admitted.exchange.arrived_at
        self._deadline = self._begun_at + admitted.time_limit
        self._attempts = 0
        self._reservations = 0
        self._tried: set[str] = set()
        self._current: _Attempt | None = None
        self._target: Target | None = None
        self._reservation: tickets.Reservation | None = None
        self._last_event_id = admitted.caller.last_event_id
        self._may_have_run = False
        self._first_piece_at = 0.0
        self._ended = False
        self._exchange.on_gone = self._handle_gone

    def start(self) -> None:
        """Begin; the answer goes to the request's exchange."""
        loop = self._around.loop
        loop.call_later(max(0.0, self._deadline - loop.now()), self._handle_deadline)
        self._place()

    # Sending.

    def _place(self) -> None:
        """Choose servers for the next attempt, and reserve their memory where that is needed."""
        if self._ended:
            return
        try:
            target = self._around.choose(self._admitted, self._tried)
        except errors.FlamingorampError as error:
            self._refuse(error)
            return
        self._target = target
        for work in target.works:
            self._around.book.add(work)
        if not any(target.held_tokens):
            self._send()
            return
        self._reservations += 1
        holds = tuple(
            tickets.Hold(helper.server, helper.address, tokens, secrets.token_hex(6))
            for helper, tokens in zip(target.helpers, target.held_tokens, strict=True)
            if tokens
        )
        self._reservation = tickets.Reservation(
            self._around.loop,
            self._around.pool,
            self._around.dialect,
            holds,
            self._handle_reserved,
        )

    def _handle_reserved(self, refused: tuple[str, ...]) -> None:
        if self._ended:
            return
        if not refused:
            self._send()
            return
        self._around.note_step(self._admitted, "request.memory_refused", servers=refused)
        self._withdraw()
        self._tried |= set(refused)
        if self._reservations >= RESERVATION_TRIES:
            self._refuse(
                errors.OverloadedError(
                    "the engines' memory is taken; come back", retry_after=RETRY_AFTER_SECONDS
                )
            )
            return
        self._place()

    def _send(self) -> None:
        target = self._target
        admitted = self._admitted
        now = self._around.loop.now()
        self._attempts += 1
        if self._attempts == 1:
            self._around.note_first_send(admitted.service)
        self._tried.add(target.server.server)
        attempt = _Attempt(self, target, self._attempts)
        attempt.started_at = attempt.heard_at = now
        self._current = attempt
        held = {
            hold.server: hold.ticket
            for hold in (self._reservation.holds if self._reservation else ())
        }
        forward = dialects.Forward(
            request=self._exchange.request,
            caller=admitted.caller,
            server=target.server,
            workspace=admitted.workspace,
            time_left=max(0.001, self._deadline - now),
            priority=admitted.priority,
            last_event_id=self._last_event_id,
            helpers=tuple(
                dialects.Helper(one.address, held.get(one.server, "")) for one in target.helpers
            ),
        )
        self._around.note_step(
            admitted,
            "request.sent",
            attempt=self._attempts,
            server=target.server.server,
            prompt_tokens=admitted.caller.prompt_tokens,
            output_tokens=admitted.caller.output_tokens,
            helpers=tuple(one.server for one in target.helpers),
            held_tokens=target.held_tokens,
            risk=round(target.risk, 2),
            predicted=round(target.predicted_seconds, 3),
            waited=round(now - self._begun_at, 4),
        )
        request = self._around.dialect.encode_forward(forward)
        attempt.call = self._around.pool.send(
            target.server.address,
            request,
            attempt,
            # A kept connection may be closing, which would leave it open whether it ran.
            fresh=not admitted.route.is_retryable,
        )
        if admitted.route.is_retryable:
            self._watch(attempt, self._patience(target))

    def _patience(self, target: Target) -> float:
        route = self._admitted.route
        if not route.streams:
            return PLAIN_PATIENCE_SHARE * route.latency_objective_seconds
        return max(PATIENCE_FACTOR * target.predicted_seconds, PATIENCE_SECONDS)

    def _watch(self, attempt: _Attempt, patience: float) -> None:
        """Look after an attempt once it should have been heard of."""
        loop = self._around.loop

        def _check() -> None:
            if self._current is not attempt or not attempt.is_current:
                return
            silent = loop.now() - attempt.heard_at
            if silent < patience - 0.001 or not self._replace_silent(attempt, silent):
                self._watch(attempt, patience)

        due = max(attempt.heard_at + patience, loop.now() + 0.25 * patience)
        loop.call_later(due - loop.now(), _check)

    def _replace_silent(self, attempt: _Attempt, silent: float) -> bool:
        """Have another server take over; False if the silent one is the best there is.

        Work that waits because all are busy must not be sent a second time: that would keep them
        busy.
        """
        server = attempt.target.server
        if not self._can_retry() or self._around.explains_silence(self._admitted, server):
            return False
        try:
            other = self._around.choose(self._admitted, self._tried)
        except errors.FlamingorampError:
            return False
        if other.predicted_seconds > WORTHWHILE_SHARE * silent:
            return False
        self._around.note_step(
            self._admitted, "request.silent", server=server.server, silent=round(silent, 3)
        )
        self._around.note_silent(server)
        self._may_have_run = True
        return self._retry("silent")

    def _can_retry(self) -> bool:
        """Tell whether a further send is allowed and of use."""
        route = self._admitted.route
        left = self._deadline - self._around.loop.now()
        if self._attempts >= route.attempts or left < SMALLEST_TIME_LEFT or self._ended:
            return False
        return not self._may_have_run or route.is_retryable

    def _retry(self, why: str) -> bool:
        """Send the request to another server; False if the allowance is used up."""
        if not self._around.take_retry(self._admitted.service):
            self._around.note_step(self._admitted, "request.retry_denied", why=why)
            return False
        self._around.note_step(self._admitted, "request.retried", why=why)
        self._withdraw()
        self._place()
        return True

    def _withdraw(self) -> None:
        """End the current attempt and give back what it holds."""
        if self._current is not None:
            self._current.cancel()
            self._current = None
        if self._target is not None:
            for work in self._target.works:
                self._around.book.remove(work)
            self._target = None
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    # Answers of the server.

    def handle_head(self, attempt: _Attempt, head: client.Head) -> None:
        """Take the head of an attempt's answer."""
        reading = self._around.dialect.read_answer(head, self._admitted.caller.request_id)
        attempt.head = head
        match reading.verdict:
            case dialects.Verdict.NOT_RUN:
                attempt.detach()
                self._handle_not_run(attempt, head, reading.at_fault)
            case dialects.Verdict.FOREIGN:
                self._may_have_run = True
                self._around.note_broken(self._admitted, attempt.target.server, crashed=False)
                self._handle_broken("foreign_answer")
            case dialects.Verdict.STREAM:
                self._may_have_run = True
                attempt.is_stream = True
            case dialects.Verdict.ANSWER:
                self._may_have_run = True

    def handle_data(self, attempt: _Attempt, data: bytes) -> None:
        """Take a piece of an attempt's answer."""
        attempt.heard_at = self._around.loop.now()
        if not attempt.is_stream:
            attempt.body.append(data)
            return
        blocks = attempt.blocks.feed(data)
        if blocks:
            self._relay(attempt, blocks)

    def handle_complete(self, attempt: _Attempt) -> None:
        """Take the end of an attempt's whole answer."""
        attempt.detach()
        if attempt.is_stream:
            if attempt.blocks.has_partial or not self._exchange.has_started:
                self._handle_broken("cut_off")
                return
            self._around.note_answer(attempt.target.server, failed=False)
            self._around.note_pace(self._admitted.service, attempt.target.server, attempt.gaps)
            self._exchange.finish()
            self._end("done", pieces=attempt.pieces)
            return
        head = attempt.head
        failed = head.status >= 500
        self._around.note_answer(attempt.target.server, failed=failed)
        if failed and self._can_retry() and self._retry(f"status_{head.status}"):
            return
        if not self._exchange.has_started:
            answer = messages.Answer(
                head.status, messages.end_to_end(head.headers), b"".join(attempt.body)
            )
            self._exchange.answer(answer)
            self._end("done" if head.status < 500 else "server_failed", status=head.status)
            return
        self._fail(errors.BackendFailedError("the stream could not be taken up again"))

    def handle_failure(
        self, attempt: _Attempt, failure: client.Failure, *, may_have_run: bool
    ) -> None:
        """Take the end of an attempt without a whole answer."""
        attempt.detach()
        crashed = may_have_run and failure in (client.Failure.RESET, client.Failure.CLOSED)
        self._may_have_run = self._may_have_run or may_have_run
        self._around.note_broken(self._admitted, attempt.target.server, crashed=crashed)
        self._handle_broken(failure.value)

    def _relay(self, attempt: _Attempt, blocks: list[event_blocks.Block]) -> None:
        now = attempt.heard_at
        if attempt.pieces == 0:
            for work in attempt.target.works:
                self._around.book.finish_reading(work)
            self._watch(attempt, self._silence_limit())
        else:
            attempt.gaps.append(now - attempt.started_at)
        attempt.started_at = now
        fresh = [block for block in blocks if not self._was_sent(block)]
        attempt.pieces += len(blocks)
        if not fresh:
            return
        if not self._exchange.has_started:
            self._first_piece_at = now
            headers = messages.end_to_end(attempt.head.headers)
            self._exchange.start(attempt.head.status, headers)
        self._exchange.send(b"".join(block.data for block in fresh))
        self._last_event_id = fresh[-1].event_id or self._last_event_id

    def _silence_limit(self) -> float:
        return max(SILENCE_SECONDS, SILENCE_FACTOR * self._admitted.route.gap_objective_seconds)

    def _was_sent(self, block: event_blocks.Block) -> bool:
        """Tell whether a server that took the stream up repeats an event."""
        try:
            return int(block.event_id) <= int(self._last_event_id)
        except ValueError:
            return False  # ids that aren't numbers can't be compared

    def _handle_not_run(self, attempt: _Attempt, head: client.Head, at_fault: str) -> None:
        self._around.note_step(
            self._admitted,
            "request.not_run",
            server=attempt.target.server.server,
            status=head.status,
            at_fault=at_fault,
        )
        for helper in attempt.target.helpers:
            if helper.address == at_fault:
                self._tried.add(helper.server)
        if self._can_retry() and self._retry("not_run"):
            return
        if self._exchange.has_started or self._may_have_run:
            self._fail(errors.BackendFailedError("the server that was to go on refused"))
            return
        self._refuse(
            errors.NoBackendError("the servers refused it", retry_after=RETRY_AFTER_SECONDS)
        )

    def _handle_broken(self, why: str) -> None:
        """Go on after an attempt that ended without a whole answer."""
        if self._can_retry() and self._retry(why):
            return
        if not self._may_have_run:
            self._refuse(
                errors.NoBackendError("no server could be reached", retry_after=RETRY_AFTER_SECONDS)
            )
            return
        self._fail(errors.BackendFailedError(f"the server failed: {why}"))

    # Ends.

    def _handle_gone(self) -> None:
        self._end("caller_gone")

    def _handle_deadline(self) -> None:
        if not self._ended:
            self._fail(errors.RouteTimeoutError("the time limit passed"))

    def _refuse(self, error: errors.FlamingorampError) -> None:
        """End a request that has not run."""
        if self._exchange.has_started or self._may_have_run:
            self._fail(errors.BackendFailedError(str(error)))
            return
        self._withdraw()
        self._exchange.answer(self._around.dialect.encode_error(error))
        self._end("refused", code=error.code, text=str(error))

    def _fail(self, error: errors.FlamingorampError) -> None:
        """End a request that may have run."""
        self._withdraw()
        if self._exchange.has_started:
            self._exchange.abort()
        else:
            self._exchange.answer(self._around.dialect.encode_error(error))
        self._end("failed", code=error.code, text=str(error))

    def _end(self, outcome: str, **fields: Any) -> None:
        if self._ended:
            return
        self._ended = True
        now = self._around.loop.now()
        if self._first_piece_at:
            fields["first_piece"] = round(self._first_piece_at - self._begun_at, 4)
        self._withdraw()
        self._around.note_end(
            self._admitted,
            outcome,
            seconds=round(now - self._begun_at, 4),
            attempts=self._attempts,
            **fields,
        )
        self._on_end(self)
