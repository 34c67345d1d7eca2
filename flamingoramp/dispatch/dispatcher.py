"""State machine for an entry's requests in flight, without I/O, clock or randomness of its own."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import budget, claims, inflight, requests, shards
from flamingoramp.protocol import shard_messages

MAX_ATTEMPTS = 6
MAX_RESUMES = 3  # in a row without new text
RESERVE_RESEND_INTERVAL_SECONDS = 0.5
CLAIM_RESEND_INTERVAL_SECONDS = 0.5
RESPONSE_MARGIN_SECONDS = 0.05  # time to deliver the response before the caller's time limit
MAX_TICK_GAP_SECONDS = 1.0  # a longer gap means that this process was suspended
STREAM_HEAD_DELAY_SECONDS = 10.0  # a caller gets the head of a streamed response by then

_NOT_RUN_RELEASE_RESULTS = {
    requests.TransferResult.NOT_SENT: "crashed",
    requests.TransferResult.UNREACHED: "silent",
    requests.TransferResult.REJECTED: "rejected",
}


class Dispatcher:
    """Processes each request of one entry: claim, reservation, attempts, retries and response.

    Parameters
    ----------
    entry, address, zone : str
        Name, address for other processes, and availability zone of this entry.
    rng : random.Random
        Random numbers for the backoff's jitter.
    owner_generation : callable
        Takes a shard, returns the generation of its owner.
    shard_count : callable
        Takes a service, returns its number of shards.
    retry_ratio : callable
        Returns the number of retries that each request adds to the retry budget.
    is_suspect : callable
        Takes a service and a fingerprint, returns whether requests with that content are known to
        have run on engines when they crashed.
    """

    def __init__(
        self,
        *,
        entry: str,
        address: str,
        zone: str,
        rng: random.Random,
        owner_generation: Callable[[str], int],
        shard_count: Callable[[str], int],
        retry_ratio: Callable[[], float],
        is_suspect: Callable[[str, str], bool] = lambda _service, _fingerprint: False,
    ):
        self._entry = entry
        self._address = address
        self._zone = zone
        self._rng = rng
        self._owner_generation = owner_generation
        self._shard_count = shard_count
        self._retry_ratio = retry_ratio
        self._is_suspect = is_suspect
        self._requests: dict[str, inflight.Request] = {}
        self._budget = budget.RetryBudget()
        self._last_tick_at = float("-inf")
        self._effects: list[Any] = []

    def __len__(self) -> int:
        return len(self._requests)

    def find(self, request_id: str) -> inflight.Request | None:
        """Return a request in flight, None if it is unknown or has ended."""
        return self._requests.get(request_id)

    def handle(self, message: Any, now: float) -> list[Any]:
        """Process a message of `requests` or `protocol.messages`; return the effects to execute."""
        match message:
            case requests.Submit(spec):
                self._submit(spec, now)
            case requests.CallerDisconnected(request_id):
                self._handle_caller_disconnected(request_id, now)
            case shard_messages.ClaimReply():
                self._handle_claim_reply(message, now)
            case shard_messages.Grant():
                self._handle_grant(message, now)
            case shard_messages.Refuse():
                self._handle_refuse(message, now)
            case shard_messages.ServerLeaving():
                self._handle_server_leaving(message, now)
            case requests.MemberStarted():
                self._handle_member_started(message)
            case requests.TransferChunk():
                self._handle_chunk(message, now)
            case requests.PlainResponse():
                self._handle_plain_response(message, now)
            case requests.TransferEnd():
                self._handle_transfer_end(message, now)
        return self._drain_effects()

    def tick(self, now: float) -> list[Any]:
        """Enforce deadlines, start retries whose backoff is over, resend unanswered messages."""
        for request in list(self._requests.values()):
            self._tick_request(request, now)
        self._last_tick_at = now
        return self._drain_effects()

    def fail_undispatched(self, error: errors.FlamingorampError, now: float) -> list[Any]:
        """Fail all requests that have no running attempt."""
        for request in list(self._requests.values()):
            if request.phase is not inflight.Phase.RUNNING:
                self._fail(request, error, now)
        return self._drain_effects()

    def make_hold_report(self, shard: str, *, full: bool) -> shard_messages.HoldReport:
        """Return the reservations held and requested at a shard; only ids unless ``full``."""
        held = []
        renewed = []
        waiting = []
        for request in self._requests.values():
            if request.shard != shard:
                continue
            if request.phase is inflight.Phase.RUNNING and full:
                held.append(request.describe_reservation())
            elif request.phase is inflight.Phase.RUNNING:
                renewed.append(f"{request.spec.request_id}/{request.attempt}")
            elif request.phase is inflight.Phase.WAITING:
                waiting.append(request.spec.request_id)
        return shard_messages.HoldReport(
            self._entry, self._address, shard, tuple(held), tuple(waiting), full, tuple(renewed)
        )

    def resend_reserve_requests(self, shard: str, now: float) -> list[Any]:
        """Ask a shard's new owner for the reservations that the previous one had not granted."""
        for request in self._requests.values():
            if request.shard == shard and request.phase is inflight.Phase.WAITING:
                self._send_reserve(request, now)
        return self._drain_effects()

    def update_shards(self, shard_of: Callable[[str, str], str]) -> None:
        """Move running requests to the shards that their servers now belong to.

        Parameters
        ----------
        shard_of : callable
            Takes a service and a server, returns the server's shard.
        """
        for request in self._requests.values():
            if request.phase is inflight.Phase.RUNNING:
                request.shard = shard_of(request.spec.service, request.grant.servers[0])
                request.grant = attrs.evolve(request.grant, shard=request.shard)

    def _drain_effects(self) -> list[Any]:
        effects = self._effects
        self._effects = []
        return effects

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)

    def _log(self, event: str, request: inflight.Request, **fields: Any) -> None:
        self._emit(requests.RecordEvent(event, request.spec.request_id, fields))

    def _submit(self, spec: requests.RequestSpec, now: float) -> None:
        request = inflight.Request(
            spec=spec,
            arrived_at=now,
            deadline=now
            + spec.time_limit_seconds
            - min(RESPONSE_MARGIN_SECONDS, spec.time_limit_seconds / 10),
            phase=inflight.Phase.CLAIMING if spec.key else inflight.Phase.WAITING,
            shard=self._rank_shards(spec)[0],
        )
        self._requests[spec.request_id] = request
        self._budget.record_request(spec.service, self._retry_ratio())
        self._log("request.admitted", request, workspace=spec.workspace, tokens=spec.prompt_tokens)
        if spec.key:
            self._send_claim(request, now)
        else:
            self._send_reserve(request, now)

    def _rank_shards(self, spec: requests.RequestSpec) -> list[str]:
        return shards.rank_shards(spec, self._shard_count(spec.service))

    def _send_claim(self, request: inflight.Request, now: float) -> None:
        request.last_sent_at = now
        spec = request.spec
        claim = shard_messages.ClaimRequest(
            spec.request_id,
            spec.workspace,
            spec.key,
            spec.fingerprint,
            self._entry,
            request.deadline - now,
        )
        self._emit(requests.SendToControl(claim))

    def _handle_claim_reply(self, reply: shard_messages.ClaimReply, now: float) -> None:
        request = self._requests.get(reply.request_id)
        if request is None or request.phase is not inflight.Phase.CLAIMING:
            return
        status = claims.ClaimStatus(reply.status)
        if status is claims.ClaimStatus.GRANTED:
            request.holds_claim = True
            request.phase = inflight.Phase.WAITING
            self._log("claim.granted", request)
            self._send_reserve(request, now)
            return
        self._log("claim.refused", request, status=status.value)
        if status is claims.ClaimStatus.RECORDED and reply.http_status:
            body = reply.body.encode("latin-1")
            effect = requests.CallerPlain(request.spec, reply.http_status, "application/json", body)
            self._finish(request, effect)
            return
        self._finish(request, self._build_error(request, claims.error_of(status)))

    def _send_reserve(self, request: inflight.Request, now: float) -> None:
        request.last_sent_at = now
        spec = request.spec
        reserve = shard_messages.Reserve(
            request_id=spec.request_id,
            attempt=request.attempt,
            service=spec.service,
            shard=request.shard,
            generation=self._owner_generation(request.shard),
            workspace=spec.workspace,
            model=spec.model,
            prompt_tokens=spec.prompt_tokens,
            output_tokens=spec.output_tokens,
            prefix_hashes=spec.prefix_hashes,
            remaining=max(0.0, request.deadline - now),
            entry=self._entry,
            entry_address=self._address,
            zone=self._zone,
            excluded=request.excluded_servers,
            fingerprint=spec.fingerprint,
            idempotent=spec.idempotent,
        )
        self._emit(requests.SendToOwner(request.shard, reserve))

    def _handle_grant(self, grant: shard_messages.Grant, now: float) -> None:
        request = self._requests.get(grant.request_id)
        is_current = request is not None and request.attempt == grant.attempt
        if is_current and request.phase is inflight.Phase.RUNNING:
            return  # a duplicate of the current grant
        was_suspended = now - self._last_tick_at > MAX_TICK_GAP_SECONDS  # grant may have expired
        if not is_current or request.phase is not inflight.Phase.WAITING or was_suspended:
            self._send_release(grant, "not_sent")
            if is_current and request.phase is inflight.Phase.WAITING:
                self._next_attempt(request, now, excluded="")
            return
        request.grant = grant
        request.phase = inflight.Phase.RUNNING
        request.dispatched_at = now
        request.members_started = 1
        request.resume_count = 0
        request.has_output = False
        request.connection_broke = False
        request.failed_server = ""
        self._log("attempt.started", request, attempt=request.attempt, servers=list(grant.servers))
        self._send_response_head(request)
        self._start_transfer(request, now)

    def _send_response_head(self, request: inflight.Request) -> None:
        if request.spec.streams and not request.head_sent:
            request.head_sent = True
            self._emit(requests.CallerBegin(request.spec))

    def _start_transfer(self, request: inflight.Request, now: float) -> None:
        spec, grant = request.spec, request.grant
        remaining = request.deadline - now
        if spec.kind is requests.RequestKind.PLAIN:
            self._emit(requests.StartPlain(spec, request.attempt, grant.urls[0], remaining))
            return
        members = tuple(
            requests.GroupMember(url, tokens)
            for url, tokens in zip(grant.urls, grant.tokens, strict=True)
        )
        self._emit(
            requests.StartGenerate(
                spec,
                request.attempt,
                members,
                grant.priority,
                request.text_length,
                request.text,
                remaining,
            )
        )

    def _handle_refuse(self, refusal: shard_messages.Refuse, now: float) -> None:
        request = self._requests.get(refusal.request_id)
        if request is None or request.attempt != refusal.attempt:
            return
        if request.phase is not inflight.Phase.WAITING:
            return
        error = errors.error_from_code(refusal.code, refusal.text, retry_after=refusal.retry_after)
        # Only one shard may run a content that crashes engines, or each would lose some to it.
        is_suspect = self._is_suspect(request.spec.service, request.spec.fingerprint)
        if shards.can_spill_over(error) and not is_suspect:
            request.best_refusal = shards.choose_earlier_retry(request.best_refusal, error)
            if self._spill_to_next_shard(request, now):
                return
            error = request.best_refusal
        self._fail(request, error, now)

    def _spill_to_next_shard(self, request: inflight.Request, now: float) -> bool:
        """Ask the next shard; False if none is left or `shards.MAX_SHARDS_TRIED` were asked."""
        tried = (*request.tried_shards, request.shard)
        untried = [name for name in self._rank_shards(request.spec) if name not in tried]
        if not untried or len(tried) >= shards.MAX_SHARDS_TRIED:
            return False
        request.move_to_shard(untried[0])
        self._log("request.spilled", request, shard=request.shard)
        self._send_reserve(request, now)
        return True

    def _move_off_removed_shard(self, request: inflight.Request) -> None:
        """Choose another shard if a newer declaration has removed the request's shard."""
        shard_names = self._rank_shards(request.spec)
        if request.shard not in shard_names:
            request.move_to_shard(shard_names[0])

    def _find_running(self, message: Any) -> inflight.Request | None:
        """Return the request whose running attempt sent a message, None if it is stale."""
        request = self._requests.get(message.request_id)
        if request is None or request.phase is not inflight.Phase.RUNNING:
            return None
        return request if request.attempt == message.attempt else None

    def _handle_member_started(self, started: requests.MemberStarted) -> None:
        request = self._find_running(started)
        if request is not None:
            request.members_started = started.position + 1

    def _handle_server_leaving(self, notice: shard_messages.ServerLeaving, now: float) -> None:
        """End an attempt on a group if a leaving member has not been sent its part yet."""
        request = self._find_running(notice)
        if request is None or notice.server not in request.grant.servers[request.members_started :]:
            return
        self._log(
            "attempt.withdrawn",
            request,
            attempt=request.attempt,
            server=notice.server,
            started=request.members_started,
        )
        request.may_have_run = True  # the members that were started have processed their segments
        self._cancel_transfer(request)
        self._send_release(request.grant, "cancelled", notice.server)
        self._next_attempt(request, now, excluded=notice.server)

    def _handle_chunk(self, chunk: requests.TransferChunk, now: float) -> None:
        request = self._find_running(chunk)
        if request is None:
            self._emit(requests.RecordEvent("chunk.stale", chunk.request_id))
            return
        text = chunk.text
        if chunk.offset > request.text_length:
            self._log("chunk.gap", request)
            self._resume_or_retry(request, now)
            return
        if chunk.offset < request.text_length:
            text = text[request.text_length - chunk.offset :]
            if not text:
                self._log("chunk.repeated", request)
                return
        if not request.has_output:
            request.has_output = True
            self._report_prefill(request, now)
        request.resume_count = 0
        request.chunks.append(text)
        request.text_length += len(text)
        if request.spec.streams:
            self._emit(requests.CallerText(request.spec, text))

    def _report_prefill(self, request: inflight.Request, now: float) -> None:
        prefill_seconds = now - request.dispatched_at
        message = shard_messages.PrefillDone(
            request.spec.request_id, request.attempt, request.shard, prefill_seconds
        )
        self._emit(requests.SendToOwner(request.shard, message))
        tokens = request.spec.prompt_tokens
        seconds = round(now - request.arrived_at, 4)
        self._log("request.first_token", request, seconds=seconds, tokens=tokens)

    def _handle_plain_response(self, answer: requests.PlainResponse, now: float) -> None:
        request = self._find_running(answer)
        if request is None:
            self._emit(requests.RecordEvent("chunk.stale", answer.request_id))
            return
        self._end_claim(request, "done", answer.status, answer.body)
        self._send_release(request.grant, "done")
        effect = requests.CallerPlain(request.spec, answer.status, answer.content_type, answer.body)
        self._finish(request, effect)

    def _handle_transfer_end(self, end: requests.TransferEnd, now: float) -> None:
        request = self._find_running(end)
        if request is None:
            return
        request.failed_server = _server_at(request.grant, end.url)
        self._log(
            "attempt.ended",
            request,
            attempt=end.attempt,
            result=end.result.value,
            server=request.failed_server,
        )
        match end.result:
            case requests.TransferResult.DONE if end.length != request.text_length:
                self._log("chunk.gap", request)
                self._resume_or_retry(request, now)
            case requests.TransferResult.DONE:
                self._finish_generation(request)
            case (
                requests.TransferResult.NOT_SENT
                | requests.TransferResult.UNREACHED
                | requests.TransferResult.REJECTED
            ):
                self._handle_attempt_not_run(request, end.result, now)
            case requests.TransferResult.BROKEN:
                request.connection_broke = True
                self._resume_or_retry(request, now)
            case requests.TransferResult.SILENT:
                request.connection_broke = False
                self._resume_or_retry(request, now)
            case requests.TransferResult.GONE:
                self._handle_lost_attempt(request, now)

    def _finish_generation(self, request: inflight.Request) -> None:
        text = request.text
        body = text.encode("latin-1", "replace")
        self._end_claim(request, "done", 0, body if request.spec.key else b"")
        self._cancel_segments(request)
        self._send_release(request.grant, "done")
        self._finish(request, requests.CallerEnd(request.spec, text, len(request.chunks)))

    def _handle_attempt_not_run(
        self, request: inflight.Request, result: requests.TransferResult, now: float
    ) -> None:
        """Retry an attempt that its server did not start, or whose resumption it did not accept."""
        server = request.failed_server
        if result is requests.TransferResult.UNREACHED:
            request.connection_broke = False
        if request.resume_count:
            self._handle_lost_attempt(request, now)
            return
        if server != request.grant.servers[0]:
            request.may_have_run = True  # earlier engines of the group processed their segments
        self._cancel_segments(request)
        self._send_release(request.grant, _NOT_RUN_RELEASE_RESULTS[result], server)
        self._next_attempt(request, now, excluded=server)

    def _resume_or_retry(self, request: inflight.Request, now: float) -> None:
        is_plain = request.spec.kind is requests.RequestKind.PLAIN
        unresponsive = not request.has_output and not request.connection_broke
        if is_plain or unresponsive or request.resume_count >= MAX_RESUMES:
            self._handle_lost_attempt(request, now)
            return
        request.resume_count += 1
        self._log("attempt.resumed", request, offset=request.text_length)
        url = request.grant.urls[-1]
        remaining = request.deadline - now
        self._emit(
            requests.StartResume(request.spec, request.attempt, url, request.text_length, remaining)
        )

    def _handle_lost_attempt(self, request: inflight.Request, now: float) -> None:
        """Retry a request whose server failed while running it, or fail a non-idempotent one."""
        request.may_have_run = True
        server = request.failed_server or request.grant.servers[-1]
        self._cancel_transfer(request)
        self._send_release(
            request.grant, "crashed" if request.connection_broke else "silent", server
        )
        if request.spec.idempotent:
            self._next_attempt(request, now, excluded=server)
            return
        self._end_claim(request, "outcome_unknown", 0, b"")
        error = errors.OutcomeUnknownError("the backend server failed while it ran the request")
        self._finish(request, self._build_error(request, error))

    def _next_attempt(self, request: inflight.Request, now: float, *, excluded: str) -> None:
        request.attempt += 1
        request.phase = inflight.Phase.PAUSING
        request.grant = None
        if excluded:
            request.excluded_servers = (*request.excluded_servers[-2:], excluded)
        allowed = request.attempt_count <= MAX_ATTEMPTS and self._budget.try_spend(
            request.spec.service
        )
        if not allowed:
            outcome = errors.Outcome.FAILED if request.may_have_run else errors.Outcome.NOT_RUN
            error = errors.BackendFailedError(
                "backend servers failed and no retry is left", retry_after=1.0, outcome=outcome
            )
            self._fail(request, error, now)
            return
        request.retry_at = now + budget.backoff_seconds(request.attempt, self._rng)

    def _tick_request(self, request: inflight.Request, now: float) -> None:
        if now >= request.deadline:
            self._fail_at_deadline(request, now)
        elif request.phase is inflight.Phase.PAUSING and now >= request.retry_at:
            request.phase = inflight.Phase.WAITING
            self._send_reserve(request, now)
        elif (
            request.phase is inflight.Phase.WAITING
            and now >= request.last_sent_at + RESERVE_RESEND_INTERVAL_SECONDS
        ):
            self._move_off_removed_shard(request)
            self._send_reserve(request, now)
            if now - request.arrived_at > STREAM_HEAD_DELAY_SECONDS:
                self._send_response_head(request)
        elif (
            request.phase is inflight.Phase.CLAIMING
            and now >= request.last_sent_at + CLAIM_RESEND_INTERVAL_SECONDS
        ):
            self._send_claim(request, now)

    def _fail_at_deadline(self, request: inflight.Request, now: float) -> None:
        ran = request.may_have_run or request.phase is inflight.Phase.RUNNING
        if ran and not request.spec.idempotent:
            error: errors.FlamingorampError = errors.OutcomeUnknownError(
                "the time limit passed while the request ran"
            )
        else:
            outcome = errors.Outcome.FAILED if ran else errors.Outcome.NOT_RUN
            error = errors.TimeLimitExceededError("the time limit passed", outcome=outcome)
        self._fail(request, error, now)

    def _handle_caller_disconnected(self, request_id: str, now: float) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        self._log("caller.gone", request)
        if request.phase is inflight.Phase.RUNNING and not request.spec.idempotent:
            return  # it must not run twice: let it finish and record its outcome
        self._fail(request, errors.BackendFailedError("the caller went away"), now)

    def _fail(self, request: inflight.Request, error: errors.FlamingorampError, now: float) -> None:
        if request.phase is inflight.Phase.RUNNING:
            self._cancel_transfer(request)
            self._send_release(request.grant, "cancelled")
            self._end_claim(request, "outcome_unknown", 0, b"")
        else:
            self._cancel_reservation(request)
            self._end_claim(request, "not_run", 0, b"")
        self._finish(request, self._build_error(request, error))

    def _cancel_reservation(self, request: inflight.Request) -> None:
        release = shard_messages.Release(
            request.spec.request_id, request.attempt, request.shard, "cancelled", ""
        )
        self._emit(requests.SendToOwner(request.shard, release))

    def _finish(self, request: inflight.Request, effect: Any) -> None:
        del self._requests[request.spec.request_id]
        self._emit(effect)
        self._log("request.finished", request, answer=type(effect).__name__)

    def _build_error(
        self, request: inflight.Request, error: errors.FlamingorampError
    ) -> requests.CallerError:
        if request.may_have_run and error.outcome is errors.Outcome.NOT_RUN:
            # The error covers the last attempt only; an earlier attempt may have run.
            error.outcome = errors.Outcome.FAILED
        return requests.CallerError(request.spec, error, request.head_sent)

    def _cancel_transfer(self, request: inflight.Request) -> None:
        urls = tuple(request.grant.urls)
        self._emit(requests.CancelTransfer(request.spec.request_id, request.attempt, urls))

    def _cancel_segments(self, request: inflight.Request) -> None:
        """Cancel the segments on the earlier engines of a group."""
        earlier_urls = tuple(request.grant.urls[:-1])
        if earlier_urls:
            spec = request.spec
            self._emit(requests.CancelTransfer(spec.request_id, request.attempt, earlier_urls))

    def _send_release(self, grant: shard_messages.Grant, result: str, server: str = "") -> None:
        release = shard_messages.Release(
            grant.request_id, grant.attempt, grant.shard, result, server or grant.servers[-1]
        )
        self._emit(requests.SendToOwner(grant.shard, release))

    def _end_claim(self, request: inflight.Request, outcome: str, status: int, body: bytes) -> None:
        if not request.holds_claim:
            return
        request.holds_claim = False
        spec = request.spec
        message = shard_messages.ClaimSettle(
            spec.request_id, spec.workspace, spec.key, outcome, status, body.decode("latin-1")
        )
        self._emit(requests.SendToControl(message))


def _server_at(grant: shard_messages.Grant, url: str) -> str:
    """Return the server at a URL of a grant; the grant's last server if none is there."""
    server_by_url = dict(zip(grant.urls, grant.servers, strict=True))
    return server_by_url.get(url, grant.servers[-1])
