"""Callers in virtual time, and what each of their requests came to."""

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

NOT_RUN_STATUSES = (errors.OverloadedError.status, errors.NoBackendError.status)
# A caller gives up after a pause of this long, or of several objectives or tolerated pauses.
SILENCE_SECONDS = 2.0
SILENCE_OBJECTIVES = 4.0
SILENCE_PAUSES = 8.0
# A time to return is honoured up to this share of the time that is left.
RETURN_SHARE = 1 / 3
# A caller that was given none, or an answer that failed, comes again after this.
RETURN_SECONDS = 0.1
# An entry reads, places and sends on a request within this time.
ENTRY_SECONDS = 0.002


class Outcome(enum.Enum):
    """What a request came to."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.define
class Record:
    """One request with all its attempts; times in seconds.

    Parameters
    ----------
    arrival : workloads.Arrival
    outcome : Outcome
    first_token : float
        Wait for the first event; not a number without one.
    longest_pause : float
    attempts : int
        Times that the caller came.
    predicted : float
        Wait for the first event as the entry predicted it at its last send.
    waited : float
        Wait for the first event from that send on.
    """

    arrival: workloads.Arrival
    outcome: Outcome = Outcome.FAILED
    first_token: float = float("nan")
    longest_pause: float = 0.0
    attempts: int = 0
    predicted: float = float("nan")
    waited: float = float("nan")

    @property
    def credit(self) -> float:
        """What it earned."""
        match self.outcome:
            case Outcome.ON_TIME:
                return self.arrival.kind.on_time_credit
            case Outcome.LATE:
                return self.arrival.kind.late_credit
        return 0.0


class Exchange:
    """An attempt at an entry; a stand-in for `http.server.Exchange`."""

    def __init__(
        self,
        caller: Caller,
        request: messages.Request,
        arrived_at: float,
        send_back: Callable[[Callable[[], None]], None],
    ):
        self.request = request
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[], None] | None = None
        self.has_started = False
        self._caller = caller
        self._send_back = send_back

    def respond(self, answer: messages.Response) -> None:
        """Send a whole answer."""
        self.has_started = True
        after = messages.find_header(answer.headers, b"retry-after")
        self._send_back(lambda: self._caller.handle_answer(self, answer.status, after))

    def start(self, _status: int, _headers: messages.Headers, *, length: Any = None) -> None:
        """Begin a stream."""
        del length
        self.has_started = True

    def send(self, data: bytes) -> None:
        """Send events of a stream."""
        self._send_back(lambda: self._caller.handle_events(self, data.count(b"\n\n")))

    def finish(self) -> None:
        """End a stream."""
        self._send_back(lambda: self._caller.handle_end(self, whole=True))

    def abort(self) -> None:
        """Break a stream off."""
        self._send_back(lambda: self._caller.handle_end(self, whole=False))


class Caller:
    """One request with its retries.

    Parameters
    ----------
    loop : virtual_time.VirtualLoop
    record : Record
    delay : float
        Seconds one way to the entries.
    retries : int
    submit : callable
        Takes an exchange, as some entry does.
    output_tokens : int
        Most tokens of the answer that it asks for.
    rng : random.Random
    """

    def __init__(
        self,
        loop: virtual_time.VirtualLoop,
        record: Record,
        *,
        delay: float,
        retries: int,
        submit: Callable[[Exchange], None],
        output_tokens: int,
        rng: random.Random,
    ):
        self._loop = loop
        self._record = record
        self._delay = delay
        self._retries = retries
        self._submit = submit
        self._output_tokens = output_tokens
        self._rng = rng
        self._begun_at = loop.now()
        self._heard_at = 0.0
        self._events = 0
        self._exchange: Exchange | None = None
        self._come()

    @property
    def _time_left(self) -> float:
        return self._begun_at + self._record.arrival.kind.timeout_seconds - self._loop.now()

    def _come(self) -> None:
        """Ask, for the first time or again."""
        record = self._record
        record.attempts += 1
        self._events = 0
        self._heard_at = self._loop.now()
        kind = record.arrival.kind
        headers = (
            (b"time-left", repr(self._time_left).encode()),
            (b"id", b"%016x" % self._rng.getrandbits(64)),
            (b"prompt", b"%d" % record.arrival.prompt_tokens),
            (b"output", b"%d" % self._output_tokens),
        )
        request = messages.Request(b"POST", b"/" + kind.name.encode() + b"/", headers)
        exchange = Exchange(
            self,
            request,
            self._loop.now() + 3 * self._delay,
            lambda action: self._loop.call_later(self._delay, action),
        )
        self._exchange = exchange
        # A new connection takes a round trip before the request can be sent.
        self._loop.call_later(3 * self._delay + ENTRY_SECONDS, lambda: self._submit(exchange))
        self._watch(exchange)

    def _watch(self, exchange: Exchange) -> None:
        kind = self._record.arrival.kind
        patience = max(
            SILENCE_SECONDS,
            SILENCE_OBJECTIVES * kind.latency_objective_seconds,
            SILENCE_PAUSES * kind.gap_objective_seconds,
        )

        def _check() -> None:
            if self._exchange is not exchange:
                return
            silent = self._loop.now() - self._heard_at
            if silent >= patience - 1e-6 or self._time_left <= 0:
                self._leave(exchange)
                return
            self._loop.call_later(min(patience - silent, self._time_left), _check)

        self._loop.call_later(min(patience, max(0.0, self._time_left)), _check)

    def _leave(self, exchange: Exchange) -> None:
        self._exchange = None
        self._record.outcome = Outcome.FAILED
        if exchange.on_disconnect is not None:
            self._loop.call_later(self._delay, exchange.on_disconnect)
        self._come_again(RETURN_SECONDS)

    def _come_again(self, seconds: float) -> None:
        if self._record.attempts <= self._retries and self._time_left > seconds:
            self._loop.call_later(seconds, self._come)

    def handle_answer(self, exchange: Exchange, status: int, retry_after: bytes | None) -> None:
        """Take a refusal or a failure."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        wait = RETURN_SECONDS
        if status in NOT_RUN_STATUSES:
            self._record.outcome = Outcome.REFUSED
            if retry_after is not None:
                wait = min(float(retry_after), RETURN_SHARE * self._time_left)
        else:
            self._record.outcome = Outcome.FAILED
        self._come_again(wait)

    def handle_events(self, exchange: Exchange, count: int) -> None:
        """Take events of a stream."""
        if self._exchange is not exchange:
            return
        now = self._loop.now()
        if self._events == 0:
            self._record.first_token = now - self._begun_at
        else:
            self._record.longest_pause = max(self._record.longest_pause, now - self._heard_at)
        self._events += count
        self._heard_at = now

    def handle_end(self, exchange: Exchange, *, whole: bool) -> None:
        """Take the end of a stream."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        if not whole:
            self._record.outcome = Outcome.FAILED
            self._come_again(RETURN_SECONDS)
            return
        kind = self._record.arrival.kind
        in_time = self._record.first_token <= kind.latency_objective_seconds
        smooth = self._record.longest_pause <= kind.gap_objective_seconds
        self._record.outcome = Outcome.ON_TIME if in_time and smooth else Outcome.LATE
