"""Operators' calls that wait for a commit: evacuations of availability zones.

An operator gives an order up after some seconds and may send the opposite. An order that waited for
longer, in a suspended host or on its way to the leader, must not take effect after that one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from flamingoramp import errors
from flamingoramp.consensus import node as nodes
from flamingoramp.http import exchanges
from flamingoramp.intent import evacuations
from flamingoramp.protocol import messages
from flamingoramp.runtime import event_log, suspension
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Operators' clients time out after 1 s; the answer must arrive before that.
ANSWER_TIMEOUT_SECONDS = 0.9
RETRY_AFTER_SECONDS = 0.3
# The loop of a control host iterates every 0.02 s.
MAX_LOOP_GAP_SECONDS = 0.5
# After a gap, calls are refused for this long: until all that had arrived in the gap has been read.
REFUSAL_AFTER_GAP_SECONDS = 0.5
# Interval at which a call is submitted again while no leader takes it.
LEADER_RETRY_SECONDS = 0.05
# Time in which the loop reads that a caller has closed its connection after it sent a call.
CALLER_CHECK_SECONDS = 0.02


@attrs.define
class PendingCall:
    """A call that waits for a commit, for a quorum or for the leader's reply."""

    deadline: float
    on_result: Callable[[Any], None]
    on_error: Callable[[errors.FlamingorampError], None]


def _suspended_error() -> errors.NotReadyError:
    return errors.NotReadyError(
        "the call may have waited while this host was suspended; send it again",
        retry_after=RETRY_AFTER_SECONDS,
    )


def no_quorum_error() -> errors.NotLeaderError:
    """Return the error of a call that no leader with a quorum answered."""
    return errors.NotLeaderError(
        "no leader with a quorum answered; send it again", retry_after=RETRY_AFTER_SECONDS
    )


def unanswered_error() -> errors.NotLeaderError:
    """Return the error of a call that a leader may have, and that may take effect later."""
    return errors.NotLeaderError(
        "the leader did not answer; send it again",
        outcome=errors.Outcome.OUTCOME_UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


class RepeatedCall:
    """A call that is submitted to the leader, and again while there is none that answers it.

    A change of leader would otherwise fail all calls of its time. The call may take effect twice:
    when its leader was lost, nobody knows whether it had been committed.

    Parameters
    ----------
    loop : loops.Loop
    submit : callable
        Submits the call once; called with a `PendingCall`. A `errors.NotLeaderError` of that is
        followed by another attempt.
    call : PendingCall
        Completed once: with the result, with another error, or at its deadline.
    """

    def __init__(self, loop: loops.Loop, submit: Callable[[PendingCall], None], call: PendingCall):
        self._loop = loop
        self._submit = submit
        self._call = call
        self._is_complete = False
        self._awaits_answer = False
        # Error of an attempt that may have taken effect.
        self._uncertain_error: errors.FlamingorampError | None = None

    def start(self) -> None:
        """Submit the call for the first time."""
        self._loop.call_later(self._call.deadline - self._loop.now(), self._end_by_deadline)
        self._attempt()

    def _attempt(self) -> None:
        if not self._is_complete:
            self._awaits_answer = True
            self._submit(PendingCall(self._call.deadline, self._succeed, self._handle_error))

    def _succeed(self, result: Any) -> None:
        if not self._is_complete:
            self._is_complete = True
            self._call.on_result(result)

    def _end_by_deadline(self) -> None:
        self._fail(unanswered_error() if self._awaits_answer else no_quorum_error())

    def _handle_error(self, error: errors.FlamingorampError) -> None:
        self._awaits_answer = False
        if error.outcome is errors.Outcome.OUTCOME_UNKNOWN:
            self._uncertain_error = error
        remaining_seconds = self._call.deadline - self._loop.now()
        if isinstance(error, errors.NotLeaderError) and remaining_seconds > LEADER_RETRY_SECONDS:
            self._loop.call_later(LEADER_RETRY_SECONDS, self._attempt)
        else:
            self._fail(error)

    def _fail(self, error: errors.FlamingorampError) -> None:
        if not self._is_complete:
            self._is_complete = True
            self._call.on_error(self._uncertain_error or error)


class Leadership(Protocol):
    """How a control host reaches the leader."""

    def forward_to_leader(self, make_request: Callable[[str], Any], call: PendingCall) -> None:
        """Send the leader a request, made with an id; its reply is the result of the call."""


class EvacuationCalls:
    """Commits orders about availability zones if this host leads, else forwards them.

    Parameters
    ----------
    loop : loops.Loop
    node : nodes.Node
    state : evacuations.EvacuationState
    leadership : Leadership
    zones : tuple of str
        Availability zones that can be evacuated; empty to take any name.
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    wall_time : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        node: nodes.Node,
        state: evacuations.EvacuationState,
        leadership: Leadership,
        zones: tuple[str, ...],
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        wall_time: Callable[[], float],
    ):
        self._loop = loop
        self._node = node
        self._state = state
        self._leadership = leadership
        self._zones = zones
        self._log = log
        self._metrics = metrics
        self._wall_time = wall_time
        self._suspension = suspension.SuspensionDetector(MAX_LOOP_GAP_SECONDS)
        loop.after_each_iteration(self._observe)

    @property
    def was_suspended(self) -> bool:
        """Whether what is read now may have arrived while this process did not run."""
        self._observe()
        return self._suspension.seconds_since_gap(self._loop.now()) < REFUSAL_AFTER_GAP_SECONDS

    def submit(
        self,
        zone: str,
        *,
        evacuated: bool,
        exchange: exchanges.Exchange,
        on_result: Callable[[], None],
        on_error: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Commit an operator's order; call one of the callbacks unless the operator has gone.

        Raises
        ------
        flamingoramp.errors.NotReadyError
            The call may have waited while this host was suspended.
        flamingoramp.errors.UnknownZoneError
            The settings name other zones only.
        """
        if self.was_suspended:
            raise _suspended_error()
        if self._zones and zone not in (*self._zones, *self._state.zones):
            raise errors.UnknownZoneError(
                f"no availability zone {zone!r}; there are {', '.join(self._zones)}"
            )

        def _handle_result(result: messages.EvacuationReply) -> None:
            if not result.is_outdated:
                self._record_acknowledgement(zone, evacuated, result.last_index)
                on_result()
            elif self._loop.now() > call.deadline or self.was_suspended:
                on_error(no_quorum_error())
            else:
                # Another order took effect meanwhile; this one's operator still waits.
                _commit(result.last_index)

        def _commit(after: int) -> None:
            order = evacuations.ZoneOrder(zone, evacuated, after)
            RepeatedCall(self._loop, lambda attempt: _submit(order, attempt), call).start()

        def _submit(order: evacuations.ZoneOrder, attempt: PendingCall) -> None:
            if exchange.is_done:
                self._metrics.count("evacuation_calls", outcome="abandoned")
                self._log.write("evacuation.abandoned", zone=zone, evacuated=evacuated)
            elif self.was_suspended:
                attempt.on_error(_suspended_error())
            else:
                self._commit_or_forward(order, attempt)

        call = PendingCall(self._loop.now() + ANSWER_TIMEOUT_SECONDS, _handle_result, on_error)
        after = self._state.last_index(zone)
        self._loop.call_later(CALLER_CHECK_SECONDS, lambda: _commit(after))

    def handle_request(
        self, request: messages.EvacuationRequest, reply: Callable[[Any], None]
    ) -> None:
        """Commit an order that another control host forwarded, and reply to it."""

        def _on_result(result: messages.EvacuationReply) -> None:
            reply(attrs.evolve(result, request_id=request.request_id))

        def _on_error(_error: errors.FlamingorampError) -> None:
            reply(messages.EvacuationReply(request.request_id))

        if not self._node.is_leader or self.was_suspended:
            _on_error(no_quorum_error())
            return
        order = evacuations.ZoneOrder(request.zone, request.evacuated, request.after)
        self._commit(order, _on_result, _on_error)

    def _commit_or_forward(self, order: evacuations.ZoneOrder, call: PendingCall) -> None:
        if self._node.is_leader:
            self._commit(order, call.on_result, call.on_error)
            return
        self._leadership.forward_to_leader(
            lambda request_id: messages.EvacuationRequest(
                request_id, order.zone, order.evacuated, order.after
            ),
            call,
        )

    def _commit(
        self,
        order: evacuations.ZoneOrder,
        on_result: Callable[[messages.EvacuationReply], None],
        on_error: Callable[[errors.FlamingorampError], None],
    ) -> None:
        def _handle_applied(result: evacuations.OrderResult) -> None:
            on_result(
                messages.EvacuationReply(
                    accepted=not result.is_outdated,
                    is_outdated=result.is_outdated,
                    last_index=result.last_index,
                )
            )

        self._node.propose(
            evacuations.KIND_ZONE_ORDER, evacuations.encode(order), _handle_applied, on_error
        )

    def _record_acknowledgement(self, zone: str, evacuated: bool, number: int) -> None:
        self._metrics.count("evacuation_calls", outcome="acknowledged")
        self._log.write("evacuation.acknowledged", zone=zone, evacuated=evacuated, number=number)

    def _observe(self) -> None:
        self._suspension.observe(self._loop.now(), self._wall_time())
