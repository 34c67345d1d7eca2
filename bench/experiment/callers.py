"""Simulated callers in virtual time, which retry requests and record their outcomes."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Any

import attrs

from bench.experiment import workloads
from flamingoramp import errors
from flamingoramp.http import messages
from flamingoramp.runtime import virtual_time

# Statuses of answers to requests that were refused before they ran.
REFUSAL_STATUSES = (errors.OverloadedError.status, errors.NoBackendError.status)
# The idle timeout of an attempt is the longest of this time and of these multiples of the latency
# objective and of the gap objective.
MIN_IDLE_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_LATENCY_OBJECTIVE_RATIO = 4.0
IDLE_TIMEOUT_GAP_OBJECTIVE_RATIO = 8.0
# A Retry-After header is honoured up to this fraction of the remaining time.
MAX_RETRY_AFTER_RATIO = 1 / 3
# Delay of a retry after a failure, or after a refusal without a Retry-After header.
DEFAULT_RETRY_SECONDS = 0.1
# Time in which an entry parses, places and forwards a request.
ENTRY_PROCESSING_SECONDS = 0.002


class Outcome(enum.Enum):
    """Outcome of a request after all its attempts.

    Attributes
    ----------
    ON_TIME
        Complete, within the latency objective and the gap objective.
    LATE
        Complete, but outside one of these objectives.
    REFUSED
        The last attempt was refused before it ran.
    FAILED
        The last attempt failed or timed out.
    """

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define
class RequestRecord:
    """Outcome and timing of one request over all its attempts.

    Parameters
    ----------
    arrival : workloads.Arrival
    outcome : Outcome
    first_token_seconds : float
        Time from the first attempt to the first event of the last answer; NaN if there was none.
    longest_gap_seconds : float
        Longest gap between two events of an answer, over all attempts.
    attempt_count : int
    predicted_wait_seconds : float
        Time from the entry's send to an engine to the first event, as the entry predicted it; NaN
        unless an attempt got a first event and the entry sent it exactly once.
    actual_wait_seconds : float
        Actual length of that time; NaN in the same cases.
    """

    arrival: workloads.Arrival
    outcome: Outcome = Outcome.FAILED
    first_token_seconds: float = float("nan")
    longest_gap_seconds: float = 0.0
    attempt_count: int = 0
    predicted_wait_seconds: float = float("nan")
    actual_wait_seconds: float = float("nan")

    @property
    def credit(self) -> float:
        """Credit that the outcome earns."""
        match self.outcome:
            case Outcome.ON_TIME:
                return self.arrival.kind.on_time_credit
            case Outcome.LATE:
                return self.arrival.kind.late_credit
        return 0.0


class Exchange:
    """One attempt of a caller at an entry; a stand-in for `flamingoramp.http.exchanges.Exchange`.

    ``schedule_at_caller`` runs an action at the caller after the network delay.
    """

    def __init__(
        self,
        caller: Caller,
        request: messages.Request,
        arrived_at: float,
        schedule_at_caller: Callable[[Callable[[], None]], None],
    ):
        self.request = request
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.has_started = False
        # Simulated callers take everything at once.
        self.buffered_bytes = 0
        self._caller = caller
        self._schedule_at_caller = schedule_at_caller

    def hold_answer(self, _size_bytes: int) -> bool:
        """Return whether an answer can be held back: simulated entries don't lack memory."""
        return True

    def respond(self, response: messages.Response) -> None:
        """Send a complete response."""
        self.has_started = True
        retry_after = messages.find_header(response.headers, b"retry-after")
        self._schedule_at_caller(
            lambda: self._caller.handle_error(self, response.status, retry_after)
        )

    def start(self, _status: int, _headers: messages.Headers, *, length: Any = None) -> None:
        """Send the head of a stream, which takes no simulated time."""
        del length
        self.has_started = True

    def send(self, data: bytes) -> None:
        """Send stream events; the caller uses only their number and time of arrival."""
        self._schedule_at_caller(lambda: self._caller.handle_events(self, data.count(b"\n\n")))

    def finish(self) -> None:
        """Complete the stream."""
        self._schedule_at_caller(lambda: self._caller.handle_end(self, is_complete=True))

    def abort(self) -> None:
        """Close the connection before the stream is complete."""
        self._schedule_at_caller(lambda: self._caller.handle_end(self, is_complete=False))


class Caller:
    """Sends one request, retries it, and records its outcome.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    record : RequestRecord
        Updated with each attempt.
    delay_seconds : float
        One-way network delay to the entries.
    max_retries : int
    submit : callable
        Passes an `Exchange` to an entry.
    max_output_tokens : int
        Maximum length of the answer that the request specifies.
    rng : random.Random
        Source of the request ids.
    """

    def __init__(
        self,
        loop: virtual_time.VirtualLoop,
        record: RequestRecord,
        *,
        delay_seconds: float,
        max_retries: int,
        submit: Callable[[Exchange], None],
        max_output_tokens: int,
        rng: random.Random,
    ):
        self._loop = loop
        self._record = record
        self._delay_seconds = delay_seconds
        self._max_retries = max_retries
        self._submit = submit
        self._max_output_tokens = max_output_tokens
        self._rng = rng
        self._started_at = loop.now()
        self._last_received_at = 0.0
        self._event_count = 0
        self._exchange: Exchange | None = None
        self._send_attempt()

    @property
    def _remaining_seconds(self) -> float:
        return self._started_at + self._record.arrival.kind.timeout_seconds - self._loop.now()

    def _send_attempt(self) -> None:
        record = self._record
        record.attempt_count += 1
        self._event_count = 0
        self._last_received_at = self._loop.now()
        kind = record.arrival.kind
        headers = (
            (b"time-left", repr(self._remaining_seconds).encode()),
            (b"id", b"%016x" % self._rng.getrandbits(64)),
            (b"prompt", b"%d" % record.arrival.prompt_tokens),
            (b"output", b"%d" % self._max_output_tokens),
        )
        request = messages.Request(b"POST", b"/" + kind.name.encode() + b"/", headers)
        exchange = Exchange(
            self,
            request,
            self._loop.now() + 3 * self._delay_seconds,
            lambda action: self._loop.call_later(self._delay_seconds, action),
        )
        self._exchange = exchange
        # A new connection takes a round trip before the request can be sent.
        self._loop.call_later(
            3 * self._delay_seconds + ENTRY_PROCESSING_SECONDS, lambda: self._submit(exchange)
        )
        self._start_idle_timer(exchange)

    def _start_idle_timer(self, exchange: Exchange) -> None:
        kind = self._record.arrival.kind
        idle_timeout = max(
            MIN_IDLE_TIMEOUT_SECONDS,
            IDLE_TIMEOUT_LATENCY_OBJECTIVE_RATIO * kind.latency_objective_seconds,
            IDLE_TIMEOUT_GAP_OBJECTIVE_RATIO * kind.gap_objective_seconds,
        )

        def _check_idle() -> None:
            if self._exchange is not exchange:
                return
            idle_seconds = self._loop.now() - self._last_received_at
            if idle_seconds >= idle_timeout - 1e-6 or self._remaining_seconds <= 0:
                self._disconnect(exchange)
                return
            self._loop.call_later(
                min(idle_timeout - idle_seconds, self._remaining_seconds), _check_idle
            )

        self._loop.call_later(min(idle_timeout, max(0.0, self._remaining_seconds)), _check_idle)

    def _disconnect(self, exchange: Exchange) -> None:
        self._exchange = None
        self._record.outcome = Outcome.FAILED
        if exchange.on_disconnect is not None:
            self._loop.call_later(self._delay_seconds, exchange.on_disconnect)
        self._schedule_retry(DEFAULT_RETRY_SECONDS)

    def _schedule_retry(self, seconds: float) -> None:
        if self._record.attempt_count <= self._max_retries and self._remaining_seconds > seconds:
            self._loop.call_later(seconds, self._send_attempt)

    def handle_error(self, exchange: Exchange, status: int, retry_after: bytes | None) -> None:
        """Record a refusal or a failure and schedule a retry."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        retry_delay = DEFAULT_RETRY_SECONDS
        if status in REFUSAL_STATUSES:
            self._record.outcome = Outcome.REFUSED
            if retry_after is not None:
                retry_delay = min(
                    float(retry_after), MAX_RETRY_AFTER_RATIO * self._remaining_seconds
                )
        else:
            self._record.outcome = Outcome.FAILED
        self._schedule_retry(retry_delay)

    def handle_events(self, exchange: Exchange, count: int) -> None:
        """Update the timing of the record with events that have just arrived."""
        if self._exchange is not exchange:
            return
        now = self._loop.now()
        if self._event_count == 0:
            self._record.first_token_seconds = now - self._started_at
        else:
            self._record.longest_gap_seconds = max(
                self._record.longest_gap_seconds, now - self._last_received_at
            )
        self._event_count += count
        self._last_received_at = now

    def handle_end(self, exchange: Exchange, *, is_complete: bool) -> None:
        """Record the outcome of a stream that is complete or was aborted."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        if not is_complete:
            self._record.outcome = Outcome.FAILED
            self._schedule_retry(DEFAULT_RETRY_SECONDS)
            return
        kind = self._record.arrival.kind
        meets_latency_objective = self._record.first_token_seconds <= kind.latency_objective_seconds
        meets_gap_objective = self._record.longest_gap_seconds <= kind.gap_objective_seconds
        self._record.outcome = (
            Outcome.ON_TIME if meets_latency_objective and meets_gap_objective else Outcome.LATE
        )
