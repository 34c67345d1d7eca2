"""Forwards one caller's request to backend servers until it has an answer.

A request that may run again is retried on another server if the first one refuses it, breaks the
connection or stalls. A broken stream is resumed by another server within the same answer.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.backends import event_blocks
from flamingoramp.dispatch import (
    attempts,
    error_boundary,
    forwarding_context,
    memory_reservations,
    stop_admission,
    unreached_servers,
)
from flamingoramp.http import client
from flamingoramp.http import messages as http_messages
from flamingoramp.routing import selection

# A stream is retried on another server if its first event takes this many times the predicted time,
# and at least this long. An earlier retry costs the engines more than the caller gains.
FIRST_EVENT_TIMEOUT_RATIO = 3.0
MIN_FIRST_EVENT_TIMEOUT_SECONDS = 0.8
# A started stream is resumed on another server if it pauses for this many times the route's pause
# objective, and at least this long; callers disconnect after 2 s without an event.
STALL_TIMEOUT_RATIO = 3.0
MIN_STALL_TIMEOUT_SECONDS = 1.4
# An attempt that makes no progress is replaced after its timeout if the server is known not to
# respond, and else after this many times the timeout: a busy server is slow, too.
UNCONFIRMED_STALL_RATIO = 2.0
# A stalled attempt is replaced only if the other server's predicted wait for the first event is at
# most this share of the time since the attempt last received data.
MAX_REPLACEMENT_WAIT_RATIO = 0.5
# A group of engines without a first event after this share of the time for which its caller waits
# is replaced even if the engines have other work, so that a second group can still be in time.
GROUP_START_RATIO = 0.5
# Interval at which the engine of a group is checked while nothing arrives: the helpers' memory is
# set aside for as long as the group waits.
GROUP_CHECK_INTERVAL_SECONDS = 0.8
# A request without a stream is retried after this many times the route's latency objective.
NON_STREAM_TIMEOUT_RATIO = 1.5
# Entries that one request is passed on to, one after the other.
MAX_PEER_SENDS = 2
# The timeouts of an attempt at another entry are this many times those at a server, since the other
# entry notices a stalled server itself.
PEER_TIMEOUT_RATIO = 2.0
# A plain answer is held back up to this size, so that it can be replaced by another server's. A
# longer one goes to the caller as it arrives if it names its length; without one it is taken for
# bytes without end.
MAX_HELD_ANSWER_BYTES = 2 * 1024 * 1024
# An incomplete event of at least this size counts as memory held.
MIN_HELD_EVENT_BYTES = 4096
# A server whose long answer is relayed is not read while more than this waits for its caller.
MAX_RELAY_BUFFER_BYTES = 512 * 1024
# Comments between two events; an engine sends few, to keep the connection open.
MAX_COMMENT_BYTES = 64 * 1024
# No retry starts with less than this left until the deadline.
MIN_RETRY_TIME_SECONDS = 0.05
# Placements that a request tries if engines refuse to reserve memory for it.
MAX_RESERVATION_ATTEMPTS = 3
# Times that a request is placed again since its placement crossed another entry's.
MAX_MOVE_COUNT = 2


class RequestForwarder:
    """Forwards one admitted request, retrying and resuming as its route allows.

    Parameters
    ----------
    context : forwarding_context.ForwardingContext
    admitted : attempts.AdmittedRequest
    on_end : callable
        Called with this object once, when the request is finished.
    """

    def __init__(
        self,
        context: forwarding_context.ForwardingContext,
        admitted: attempts.AdmittedRequest,
        on_end: Callable[[RequestForwarder], None],
    ):
        self._context = context
        self._admitted = admitted
        self._on_end = on_end
        self._exchange = admitted.exchange
        self._arrived_at = admitted.exchange.arrived_at
        self._deadline = self._arrived_at + admitted.time_limit_seconds
        # Sends to servers, sends to other entries, and those of both that may have run.
        self._attempt_count = admitted.caller.attempts_used or 0
        self._peer_send_count = 0
        self._run_count = self._attempt_count
        self._reservation_count = 0
        self._move_count = 0
        self._excluded: set[str] = set()
        self._unreached = unreached_servers.UnreachedServers(context.list_servers_of_zone)
        self._attempt: attempts.Attempt | None = None
        self._target: attempts.AttemptTarget | None = None
        self._reservation: memory_reservations.MemoryReservation | None = None
        self._last_event_id = admitted.caller.last_event_id
        # Whether the caller has events that came after that one and have no id themselves: a server
        # that resumes the stream would send them again.
        self._has_unidentified_events = False
        self._relayed_attempt: attempts.Attempt | None = None
        self._may_have_run = False
        self._first_event_at = 0.0
        self._relayed_event_count = 0
        self._is_done = False
        self._boundary = error_boundary.ErrorBoundary(context.loop, self._end_by_error)
        self._exchange.on_disconnect = self._boundary.wrap(lambda: self._finish("caller_gone"))
        self._exchange.on_shortage = self._boundary.wrap(self._handle_shortage)

    @property
    def boundary(self) -> error_boundary.ErrorBoundary:
        """Runs the callbacks of this request; an error in one ends it."""
        return self._boundary

    def start(self) -> None:
        """Start the first attempt; the answer goes to the request's exchange."""
        remaining_seconds = max(0.0, self._deadline - self._context.loop.now())
        self._boundary.call_later(remaining_seconds, self.end_by_deadline)
        self._boundary.run(self._start_attempt)

    def _postpone(self, step: Callable[[], None]) -> bool:
        """Repeat a step later, and return True, while the known evacuations may be out of date."""
        return self._context.postpone(self._boundary.wrap(step))

    # Attempts.

    def _start_attempt(self) -> None:
        """Choose servers; the request is sent once the placement is settled."""
        if self._is_done:
            return
        if self._postpone(self._start_attempt):
            return
        try:
            target = self._choose_target()
        except errors.FlamingorampError as error:
            self._end_refused(error)
            return
        if self._end_if_too_late(target.predicted_seconds):
            return
        self._target = target
        self._context.record_target(target)
        self._context.settle(
            target, lambda must_move: self._handle_settled(target, must_move), self._boundary
        )

    def _handle_settled(self, target: attempts.AttemptTarget, must_move: bool) -> None:
        """Reserve memory if needed and send the request, or place it again."""
        if self._is_done or self._target is not target:
            return
        if self._postpone(lambda: self._handle_settled(target, must_move)):
            return
        # A zone may have been evacuated since the servers were chosen.
        evacuated_servers = self._context.find_evacuated(target)
        if (must_move or evacuated_servers) and self._move_count < MAX_MOVE_COUNT:
            self._move(target, evacuated_servers)
            return
        if evacuated_servers:
            self._end_refused(
                errors.NoBackendError(
                    "the chosen servers' zone was evacuated",
                    retry_after=attempts.RETRY_AFTER_SECONDS,
                )
            )
            return
        if not any(target.held_tokens):
            self._send()
            return
        self._reservation_count += 1
        self._reservation = memory_reservations.MemoryReservation(
            self._boundary,
            self._context.pool,
            self._context.dialect,
            memory_reservations.make_holds(target),
            self._handle_reserved,
        )

    def _move(self, target: attempts.AttemptTarget, evacuated_servers: tuple[str, ...]) -> None:
        """Place the request again, which has not been sent."""
        self._move_count += 1
        self._context.record_step(
            self._admitted,
            "request.moved",
            server=target.server.server,
            helpers=tuple(helper.server for helper in target.helpers),
            evacuated=evacuated_servers,
        )
        self._cancel_attempt()
        self._excluded |= set(evacuated_servers)
        self._start_attempt()

    def _choose_target(self) -> attempts.AttemptTarget:
        """Choose the servers of the next attempt, those of avoided zones only if none are left."""
        if avoided := self._unreached.avoided:
            with contextlib.suppress(errors.FlamingorampError):
                return self._context.choose_target(self._admitted, self._excluded | avoided)
        return self._context.choose_target(self._admitted, self._excluded)

    def _handle_reserved(self, refused_servers: tuple[str, ...]) -> None:
        if self._is_done:
            return
        if self._postpone(lambda: self._handle_reserved(refused_servers)):
            return
        # A zone may have been evacuated since the servers were chosen.
        refused_servers = refused_servers or self._context.find_evacuated(self._target)
        if not refused_servers:
            self._send()
            return
        self._context.record_step(self._admitted, "request.memory_refused", servers=refused_servers)
        self._cancel_attempt()
        self._excluded |= set(refused_servers)
        if self._reservation_count >= MAX_RESERVATION_ATTEMPTS:
            self._end_refused(
                errors.OverloadedError(
                    "the engines' memory is taken; come back",
                    retry_after=attempts.RETRY_AFTER_SECONDS,
                )
            )
            return
        self._start_attempt()

    def _find_stop_refusal(self, first_event_seconds: float) -> stop_admission.Refuse | None:
        return self._context.find_stop_refusal(
            self._admitted,
            self._deadline - self._context.loop.now(),
            first_event_seconds=first_event_seconds,
            received_events=self._relayed_event_count,
        )

    def _end_if_too_late(self, first_event_seconds: float = 0.0) -> bool:
        """End a request that would outlast this entry's planned stop; return whether it ended."""
        refusal = self._find_stop_refusal(first_event_seconds)
        if refusal is None:
            return False
        self._context.record_stop_refusal(self._admitted, refusal)
        if self._exchange.has_started or self._may_have_run:
            self._end_failed(errors.StopTimeoutError(stop_admission.explain(refusal)))
        else:
            self._end_refused(stop_admission.make_error(refusal))
        return True

    def _send(self) -> None:
        target = self._target
        admitted = self._admitted
        if self._end_if_too_late(target.predicted_seconds):
            return
        now = self._context.loop.now()
        self._excluded.add(target.server.server)
        if target.is_peer:
            self._send_to_peer()
            return
        self._attempt_count += 1
        self._run_count += 1
        if self._attempt_count == 1:
            self._context.record_first_send(admitted.service)
        attempt = attempts.Attempt(self, target, self._attempt_count, self._boundary)
        attempt.sent_at = attempt.last_progress_at = now
        self._attempt = attempt
        tickets = {
            hold.server: hold.ticket
            for hold in (self._reservation.holds if self._reservation else ())
        }
        forwarded = dialects.ForwardedRequest(
            request=self._exchange.request,
            caller=admitted.caller,
            server=target.server,
            workspace=admitted.workspace,
            remaining_seconds=max(0.001, self._deadline - now),
            priority=admitted.priority,
            last_event_id=self._last_event_id,
            helpers=tuple(
                dialects.HelperEngine(helper.address, tickets.get(helper.server, ""))
                for helper in target.helpers
            ),
        )
        self._context.record_step(
            admitted,
            "request.sent",
            attempt=self._attempt_count,
            server=target.server.server,
            prompt_tokens=admitted.caller.prompt_tokens,
            output_tokens=admitted.caller.output_tokens,
            helpers=tuple(helper.server for helper in target.helpers),
            held_tokens=target.held_tokens,
            risk=round(target.risk, 2),
            predicted=round(target.predicted_seconds, 3),
            waited=round(now - self._arrived_at, 4),
        )
        request = self._context.dialect.encode_forwarded_request(forwarded)
        attempt.request_handle = self._context.pool.send(
            target.server.address,
            request,
            attempt,
            # If the server closes an idle connection during a send, it is unknown whether the
            # request ran, so one that must not run twice gets a new connection.
            new_connection=not admitted.route.is_retryable,
        )
        if admitted.route.is_retryable:
            self._schedule_stall_check(attempt, self._first_event_timeout(target))
        if self._reservation is not None:
            self._schedule_group_check(attempt, was_unresponsive=False)

    def _send_to_peer(self) -> None:
        """Pass the request on to another entry, which sends it to a server."""
        context = self._context
        now = context.loop.now()
        peer = self._target.server
        self._peer_send_count += 1
        attempts_used = self._run_count
        self._run_count += 1
        attempt = attempts.Attempt(self, self._target, self._peer_send_count, self._boundary)
        attempt.sent_at = attempt.last_progress_at = now
        self._attempt = attempt
        context.record_step(
            self._admitted,
            "request.passed_on",
            entry=peer.server,
            attempts_used=attempts_used,
            waited=round(now - self._arrived_at, 4),
        )
        request = context.dialect.encode_peer_request(
            dialects.PeerRequest(
                self._exchange.request,
                remaining_seconds=max(0.001, self._deadline - now),
                attempts_used=attempts_used,
                last_event_id=self._last_event_id,
            )
        )
        is_retryable = self._admitted.route.is_retryable
        attempt.request_handle = context.peer_pool.send(
            peer.address, request, attempt, new_connection=not is_retryable
        )
        if is_retryable:
            self._schedule_stall_check(attempt, self._first_event_timeout(self._target))

    def _first_event_timeout(self, target: attempts.AttemptTarget) -> float:
        route = self._admitted.route
        if not route.streams:
            timeout = NON_STREAM_TIMEOUT_RATIO * route.assumed_objective_seconds
        else:
            timeout = max(
                FIRST_EVENT_TIMEOUT_RATIO * target.predicted_seconds,
                MIN_FIRST_EVENT_TIMEOUT_SECONDS,
            )
            if target.helpers:
                timeout = min(timeout, self._group_start_seconds)
        return PEER_TIMEOUT_RATIO * timeout if target.is_peer else timeout

    def _schedule_stall_check(self, attempt: attempts.Attempt, timeout_seconds: float) -> None:
        """Replace an attempt that makes no progress for the timeout, or check it again later.

        A check for the first event ends with it; another one, with its own timeout, follows.
        """
        loop = self._context.loop
        waits_for_first_event = attempt.event_count == 0

        def _check_for_stall() -> None:
            if self._attempt is not attempt or not attempt.is_active:
                return
            if waits_for_first_event and attempt.event_count:
                return
            idle_seconds = loop.now() - attempt.last_progress_at
            if idle_seconds < timeout_seconds - 0.001 or not self._replace_stalled(
                attempt, idle_seconds, timeout_seconds
            ):
                self._schedule_stall_check(attempt, timeout_seconds)

        now = loop.now()
        check_at = max(attempt.last_progress_at + timeout_seconds, now + 0.25 * timeout_seconds)
        if attempt.target.helpers and waits_for_first_event:
            # A later check would leave memory at the helpers reserved for longer.
            group_start_at = attempt.last_progress_at + self._group_start_seconds
            if now < group_start_at - 0.001:
                check_at = min(check_at, group_start_at)
        self._boundary.call_later(check_at - now, _check_for_stall)

    def _schedule_group_check(self, attempt: attempts.Attempt, *, was_unresponsive: bool) -> None:
        """End a group whose engine is found not to respond twice in a row.

        The memory at its helpers would stay reserved for a prompt that nobody reads.
        """
        loop = self._context.loop
        server = attempt.target.server

        def _check() -> None:
            if self._attempt is not attempt or not attempt.is_active:
                return
            idle_seconds = loop.now() - attempt.last_progress_at
            is_idle = idle_seconds >= GROUP_CHECK_INTERVAL_SECONDS
            # An entry that reaches no server knows nothing of a single one.
            is_unresponsive = (
                is_idle and not self._context.is_cut_off and self._context.is_unresponsive(server)
            )
            if is_unresponsive and was_unresponsive:
                self._end_group(attempt, idle_seconds)
                return
            if is_idle and not is_unresponsive:
                self._context.check_server(server)
            self._schedule_group_check(attempt, was_unresponsive=is_unresponsive)

        self._boundary.call_later(GROUP_CHECK_INTERVAL_SECONDS, _check)

    def _end_group(self, attempt: attempts.Attempt, idle_seconds: float) -> None:
        """Retry a prompt whose group has lost its engine, or fail it; its memory is released."""
        self._context.record_step(
            self._admitted,
            "request.group_lost",
            server=attempt.target.server.server,
            silent=round(idle_seconds, 3),
        )
        self._may_have_run = True
        self._record_failure(attempt, crashed=False)
        self._handle_broken_attempt("group_lost")

    def _replace_stalled(
        self, attempt: attempts.Attempt, idle_seconds: float, timeout_seconds: float
    ) -> bool:
        """Retry a stalled attempt on another server; False if it should continue.

        A request that waits because all servers are busy must not be sent a second time, since
        that would add to their load.
        """
        server = attempt.target.server
        if not self._can_retry():
            return False
        if not self._has_group_failed_to_start(attempt, idle_seconds):
            is_confirmed = attempt.target.is_peer or self._context.is_unresponsive(server)
            if not is_confirmed and idle_seconds < UNCONFIRMED_STALL_RATIO * timeout_seconds:
                self._context.check_server(server)
                return False
            if self._context.has_backlog(self._admitted, server):
                return False
        try:
            replacement = self._choose_target()
        except errors.FlamingorampError:
            return False
        if replacement.predicted_seconds > MAX_REPLACEMENT_WAIT_RATIO * idle_seconds:
            return False
        if self._find_stop_refusal(replacement.predicted_seconds) is not None:
            return False
        self._context.record_step(
            self._admitted, "request.silent", server=server.server, silent=round(idle_seconds, 3)
        )
        self._context.record_stall(server)
        self._may_have_run = True
        return self._retry("silent")

    def _has_group_failed_to_start(self, attempt: attempts.Attempt, idle_seconds: float) -> bool:
        if not attempt.target.helpers or attempt.event_count:
            return False
        return idle_seconds >= self._group_start_seconds - 0.001

    @property
    def _group_start_seconds(self) -> float:
        patience_seconds = min(
            self._admitted.time_limit_seconds,
            selection.first_token_timeout(self._admitted.route),
        )
        return GROUP_START_RATIO * patience_seconds

    def _can_retry(self) -> bool:
        """Tell whether the route, the deadline and earlier attempts permit another send."""
        route = self._admitted.route
        remaining_seconds = self._deadline - self._context.loop.now()
        if remaining_seconds < MIN_RETRY_TIME_SECONDS or self._is_done:
            return False
        if self._run_count >= route.attempts or (self._attempt and self._attempt.is_relayed):
            return False
        if self._has_unidentified_events:
            return False
        if self._context.is_cut_off:
            has_sends_left = self._peer_send_count < MAX_PEER_SENDS
        else:
            reached_count = self._attempt_count - len(self._unreached)
            has_sends_left = reached_count < route.attempts and self._unreached.may_try_more
        return has_sends_left and (not self._may_have_run or route.is_retryable)

    def _retry(self, reason: str, *, was_reached: bool = True) -> bool:
        """Send the request to another server; False if the retry allowance is used up.

        A send that replaces one that reached no server needs no allowance, nor does a request that
        is passed on and has not reached any: no server gets it a second time.
        """
        is_first_arrival = self._context.is_cut_off and not self._run_count
        needs_allowance = was_reached and not is_first_arrival
        if needs_allowance and not self._context.try_spend_retry(self._admitted.service):
            self._context.record_step(self._admitted, "request.retry_denied", why=reason)
            return False
        self._context.record_step(self._admitted, "request.retried", why=reason)
        self._cancel_attempt()
        self._start_attempt()
        return True

    def _cancel_attempt(self) -> None:
        """Cancel the current attempt; remove its load and release its memory reservation."""
        attempt, self._attempt = self._attempt, None
        target, self._target = self._target, None
        reservation, self._reservation = self._reservation, None
        # An unexpected error in one step must not keep what the others release.
        with contextlib.ExitStack() as steps:
            if reservation is not None:
                steps.callback(reservation.release)
            for work_item in target.work_items if target is not None else ():
                steps.callback(self._context.server_loads.remove, work_item)
            if attempt is not None:
                steps.callback(self._hold_answer, attempt, 0)
                steps.callback(attempt.cancel)

    # Answers of servers.

    def handle_head(self, attempt: attempts.Attempt, head: client.Head) -> None:
        """Process the head of an attempt's answer."""
        dialect = self._context.dialect
        is_peer = attempt.target.is_peer
        decode = dialect.decode_peer_answer_head if is_peer else dialect.decode_answer_head
        answer_head = decode(head, self._admitted.caller.request_id)
        attempt.head = head
        server_address = attempt.target.server.address
        is_helpers_fault = answer_head.failed_address not in ("", server_address)
        if answer_head.statement is not None and not is_helpers_fault:
            self._context.record_statement(
                self._admitted, attempt.target.server, answer_head.statement
            )
        match answer_head.kind:
            case dialects.AnswerKind.NOT_RUN:
                attempt.detach()
                self._run_count -= 1
                self._handle_refusal(attempt, head, answer_head)
            case dialects.AnswerKind.FOREIGN:
                self._may_have_run = True
                self._record_failure(attempt, crashed=False)
                self._handle_broken_attempt("foreign_answer")
            case dialects.AnswerKind.STREAM:
                self._may_have_run = True
                attempt.is_stream = True
            case dialects.AnswerKind.ANSWER:
                self._may_have_run = True
                if answer_head.has_refusal_status and not self._admitted.route.is_retryable:
                    self._replace_refusal_status(attempt)

    def handle_data(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Collect received bytes, or relay the events of a stream that they complete."""
        if not attempt.is_stream:
            self._collect_or_relay(attempt, data)
            return
        blocks = attempt.event_reader.feed(data)
        if blocks:
            self._relay_events(attempt, blocks)
        held_bytes = attempt.event_reader.incomplete_bytes
        self._hold_answer(attempt, held_bytes if held_bytes >= MIN_HELD_EVENT_BYTES else 0)
        if not attempt.is_active:
            return
        if attempt.event_reader.is_overlong or attempt.comment_bytes > MAX_COMMENT_BYTES:
            self._relay_or_end(attempt, "endless")

    def _collect_or_relay(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Hold back the body of a plain answer, or relay it once it is long."""
        attempt.last_progress_at = self._context.loop.now()
        attempt.body_bytes += len(data)
        if attempt.is_relayed:
            self._relay(attempt, data)
            return
        attempt.body.append(data)
        self._hold_answer(attempt, attempt.body_bytes)
        is_held = attempt.is_active and not attempt.is_relayed
        if is_held and attempt.body_bytes > MAX_HELD_ANSWER_BYTES:
            self._relay_or_end(attempt, "endless")

    def _hold_answer(self, attempt: attempts.Attempt, size_bytes: int) -> None:
        """Account for what is held back of an answer; it may have been given up on return."""
        if size_bytes != attempt.held_bytes:
            change = size_bytes - attempt.held_bytes
            attempt.held_bytes = size_bytes
            self._exchange.hold_answer(change)

    def _handle_shortage(self) -> None:
        """Relay or give up what is held back of an answer, since the process holds too much."""
        attempt = self._attempt
        if attempt is not None and attempt.is_active and attempt.held_bytes:
            self._relay_or_end(attempt, "no_memory", is_servers_fault=False)

    def _relay_or_end(
        self, attempt: attempts.Attempt, reason: str, *, is_servers_fault: bool = True
    ) -> None:
        """Relay a plain answer if it names its length, else end the attempt."""
        is_plain = not attempt.is_stream and attempt.head is not None
        can_relay = is_plain and attempt.head.declared_length is not None
        if can_relay and not self._exchange.has_started:
            self._start_relay(attempt)
            return
        attempt.body.clear()
        if is_servers_fault:
            self._record_failure(attempt, crashed=False)
        self._handle_broken_attempt(reason)

    def _start_relay(self, attempt: attempts.Attempt) -> None:
        head = attempt.head
        attempt.is_relayed = True
        self._exchange.start(
            head.status,
            http_messages.end_to_end_headers(head.headers),
            length=head.declared_length,
        )
        data = b"".join(attempt.body)
        attempt.body.clear()
        self._hold_answer(attempt, 0)
        self._exchange.on_drained = self._boundary.wrap(attempt.resume)
        self._relay(attempt, data)

    def _relay(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Pass a part of a long answer on; read the server no faster than its caller reads."""
        self._exchange.send(data)
        if self._exchange.buffered_bytes > MAX_RELAY_BUFFER_BYTES:
            attempt.pause()

    def handle_complete(self, attempt: attempts.Attempt) -> None:
        """Finish the request with a complete answer; retry a cut-off stream or a 5xx status."""
        attempt.detach()
        if attempt.is_stream:
            if attempt.event_reader.has_incomplete_event or not self._exchange.has_started:
                self._record_failure(attempt, crashed=True)
                self._handle_broken_attempt("cut_off")
                return
            self._context.record_answer(attempt.target.server, failed=False)
            self._record_sound(attempt)
            self._record_answer_seconds(attempt)
            if not attempt.target.is_peer:
                self._context.record_event_gaps(
                    self._admitted.service, attempt.target.server, attempt.event_gaps
                )
            self._send_events(attempt, attempt.event_reader.rest)
            self._exchange.finish()
            self._finish("done", pieces=attempt.event_count)
            return
        head = attempt.head
        failed = head.status >= 500
        self._context.record_answer(attempt.target.server, failed=failed)
        self._record_sound(attempt)
        if head.status < 400:
            self._record_answer_seconds(attempt)
        # Another entry has used the attempts that were left.
        is_retryable = failed and not attempt.target.is_peer and self._can_retry()
        is_too_late = is_retryable and self._find_stop_refusal(0.0) is not None
        if is_retryable and not is_too_late and self._retry(f"status_{head.status}"):
            return
        if attempt.is_relayed:
            self._exchange.finish()
            self._finish("done" if head.status < 500 else "server_failed", status=head.status)
            return
        if not self._exchange.has_started:
            answer = http_messages.Response(
                head.status, http_messages.end_to_end_headers(head.headers), b"".join(attempt.body)
            )
            self._exchange.respond(answer)
            self._finish("done" if head.status < 500 else "server_failed", status=head.status)
            return
        self._end_failed(errors.BackendFailedError("the stream could not be taken up again"))

    def handle_failure(
        self, attempt: attempts.Attempt, failure: client.Failure, *, may_have_run: bool
    ) -> None:
        """Retry or fail the request after an attempt that broke off."""
        attempt.detach()
        crashed = may_have_run and failure in (client.Failure.RESET, client.Failure.CLOSED)
        self._may_have_run = self._may_have_run or may_have_run
        self._run_count -= not may_have_run
        not_connected = failure in (client.Failure.NOT_CONNECTED, client.Failure.TIMED_OUT)
        if failure not in (client.Failure.NO_DESCRIPTOR, client.Failure.NO_MEMORY):
            self._record_failure(attempt, crashed=crashed, not_connected=not_connected)
        was_reached = may_have_run or attempt.target.is_peer
        if not was_reached:
            self._unreached.record(attempt.target.server)
        self._handle_broken_attempt(failure.value, was_reached=was_reached)

    def _record_sound(self, attempt: attempts.Attempt) -> None:
        """Record a complete answer of a server, if one that was cut off would have shown."""
        if attempt.head.has_framed_body and not attempt.target.is_peer:
            self._context.record_sound(self._admitted)

    def _record_answer_seconds(self, attempt: attempts.Attempt) -> None:
        """Record how long a whole answer took, if it came by a single send."""
        is_resumed = bool(self._admitted.caller.last_event_id)
        if self._run_count == 1 and not is_resumed:
            seconds = self._context.loop.now() - attempt.sent_at
            self._context.record_answer_seconds(self._admitted, seconds)

    def _record_failure(
        self, attempt: attempts.Attempt, *, crashed: bool, not_connected: bool = False
    ) -> None:
        target = attempt.target
        self._context.record_failure(
            self._admitted,
            target.server,
            crashed=crashed and not target.is_peer,
            not_connected=not_connected and not target.is_peer,
            sent_at=attempt.sent_at,
        )

    def _relay_events(
        self, attempt: attempts.Attempt, blocks: list[event_blocks.EventBlock]
    ) -> None:
        now = self._context.loop.now()
        event_count = sum(not block.is_comment for block in blocks)
        if event_count:
            self._record_progress(attempt, event_count, now)
            attempt.comment_bytes = 0
        else:
            attempt.comment_bytes += sum(len(block.data) for block in blocks)
        new_blocks = [block for block in blocks if self._take_new(block)]
        if not new_blocks:
            return
        if not self._exchange.has_started:
            self._first_event_at = now
            headers = http_messages.end_to_end_headers(attempt.head.headers)
            self._exchange.start(attempt.head.status, headers)
        self._send_events(attempt, b"".join(block.data for block in new_blocks))
        self._relayed_event_count += sum(not block.is_comment for block in new_blocks)

    def _record_progress(self, attempt: attempts.Attempt, event_count: int, now: float) -> None:
        """Record that events have arrived together; the first ones end the prefill."""
        is_first = attempt.event_count == 0
        attempt.event_count += event_count
        if not is_first:
            attempt.event_gaps.append(now - attempt.last_progress_at)
        attempt.last_progress_at = now
        if is_first:
            for work_item in attempt.target.work_items:
                self._context.server_loads.finish_prefill(work_item)
            self._schedule_stall_check(attempt, self._stall_timeout())

    def _stall_timeout(self) -> float:
        return max(
            MIN_STALL_TIMEOUT_SECONDS,
            STALL_TIMEOUT_RATIO * self._admitted.route.gap_objective_seconds,
        )

    def _send_events(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Send events to the caller; only the first server's stream may begin with a mark."""
        if self._relayed_attempt not in (None, attempt):
            data = data.removeprefix(event_blocks.BYTE_ORDER_MARK)
        self._relayed_attempt = attempt
        if data:
            self._exchange.send(data)

    def _take_new(self, block: event_blocks.EventBlock) -> bool:
        """Note where the stream is to be resumed; False for an event that the caller has already.

        A resumed stream may repeat such events. Ids that aren't integers have no known order.
        """
        if block.event_id:
            with contextlib.suppress(ValueError):
                if int(block.event_id) <= int(self._last_event_id):
                    return False
            self._last_event_id = block.event_id
            self._has_unidentified_events = False
        elif block.has_data:
            self._has_unidentified_events = True
        return True

    def _handle_refusal(
        self, attempt: attempts.Attempt, head: client.Head, answer_head: dialects.AnswerHead
    ) -> None:
        self._context.record_step(
            self._admitted,
            "request.not_run",
            server=attempt.target.server.server,
            status=head.status,
            at_fault=answer_head.failed_address,
        )
        for helper in attempt.target.helpers:
            if helper.address == answer_head.failed_address:
                self._excluded.add(helper.server)
        if self._can_retry() and self._retry("not_run"):
            return
        if self._exchange.has_started or self._may_have_run:
            self._end_failed(errors.BackendFailedError("the server that was to go on refused"))
            return
        if attempt.target.is_peer:
            wait = answer_head.retry_after_seconds or attempts.RETRY_AFTER_SECONDS
            error = errors.OverloadedError("other entries refused it", retry_after=wait)
            self._end_refused(error)
            return
        self._end_refused(self._refusal_error())

    def _refusal_error(self) -> errors.FlamingorampError:
        """Return the error of a request that servers refused, with the time to come back."""
        try:
            self._context.choose_target(self._admitted, set())
        except errors.FlamingorampError as error:
            return error  # no server takes requests now; it says when one does
        return errors.NoBackendError(
            "the servers refused it", retry_after=attempts.RETRY_AFTER_SECONDS
        )

    def _replace_refusal_status(self, attempt: attempts.Attempt) -> None:
        """Fail a request that has run, in place of a status by which its caller would repeat it."""
        attempt.detach()
        self._context.record_answer(attempt.target.server, failed=True)
        self._record_sound(attempt)
        self._end_failed(
            errors.BackendFailedError(
                f"the server ran the request and answered {attempt.head.status}"
            )
        )

    def _handle_broken_attempt(self, reason: str, *, was_reached: bool = True) -> None:
        """Retry, refuse or fail the request after an attempt without a complete answer."""
        if self._can_retry() and self._retry(reason, was_reached=was_reached):
            return
        if not self._may_have_run:
            self._end_refused(
                errors.NoBackendError(
                    "no server could be reached", retry_after=attempts.RETRY_AFTER_SECONDS
                )
            )
            return
        text = f"the server failed: {reason}"
        if self._has_unidentified_events:
            text += "; its last events have no id after which it could be resumed"
        self._end_failed(errors.BackendFailedError(text))

    # Outcomes.

    def end_by_deadline(self) -> None:
        """Fail the request, unless it has ended, as its caller waits no longer."""
        if not self._is_done:
            self._end_failed(errors.RouteTimeoutError("the time limit passed"))

    @property
    def has_started_answer(self) -> bool:
        """Whether the caller has a part of the answer."""
        return self._exchange.has_started

    def end_if_unsent_too_late(self) -> None:
        """Refuse a request that waits to be sent if it would outlast this entry's stop."""
        if not self._is_done and self._attempt is None:
            predicted_seconds = self._target.predicted_seconds if self._target else 0.0
            self._boundary.run(self._end_if_too_late, predicted_seconds)

    def end_by_stop(self) -> None:
        """End the request, unless it has ended, as this process has to end."""
        if not self._is_done:
            self._boundary.run(self._end_by_stop)

    def _end_by_stop(self) -> None:
        if self._attempt is None and not self._may_have_run and not self.has_started_answer:
            self._end_refused(stop_admission.make_error())
            return
        self._end_failed(errors.StopTimeoutError("this entry's planned stop is over"))

    def _end_by_error(self, error: Exception) -> None:
        """Fail the request, if it has not ended, after an unexpected error."""
        text = f"an unexpected error of this entry ({type(error).__name__})"
        try:
            if not self._is_done:
                self._end_failed(errors.FlamingorampError(text))
        except Exception as further_error:
            self._exchange.abort()
            if not self._is_done:
                self._is_done = True
                self._on_end(self)
            self._context.record_error(further_error)
        finally:
            self._context.record_error(error)

    def _end_refused(self, error: errors.FlamingorampError) -> None:
        """Refuse a request that has not run; fail it if it may have run."""
        if self._exchange.has_started or self._may_have_run:
            self._end_failed(errors.BackendFailedError(str(error)))
            return
        self._cancel_attempt()
        self._exchange.respond(self._context.dialect.encode_error(error))
        self._finish("refused", code=error.code, text=str(error))

    def _end_failed(self, error: errors.FlamingorampError) -> None:
        """Fail a request that may have run; a started answer is aborted."""
        self._cancel_attempt()
        if self._exchange.has_started:
            self._exchange.abort()
        else:
            self._exchange.respond(self._context.dialect.encode_error(error))
        self._finish("failed", code=error.code, text=str(error))

    def _finish(self, outcome: str, **fields: Any) -> None:
        if self._is_done:
            return
        self._is_done = True
        now = self._context.loop.now()
        if self._first_event_at:
            fields["first_piece"] = round(self._first_event_at - self._arrived_at, 4)
        if self._attempt is not None and self._attempt.event_gaps:
            fields["longest_pause"] = round(max(self._attempt.event_gaps), 4)
        try:
            self._cancel_attempt()
            self._context.record_end(
                self._admitted,
                outcome,
                seconds=round(now - self._arrived_at, 4),
                attempts=self._attempt_count,
                **fields,
            )
        finally:
            self._on_end(self)
