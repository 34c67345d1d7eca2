"""The way of each request through an entry: claim, place, attempts, answer.

A state machine without I/O, clock or randomness of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import budget, claims, flights, requests, shards
from flamingoramp.protocol import messages

MAX_ATTEMPTS = 6
MAX_RESUMES = 3
RESERVE_RESEND_SECONDS = 0.5
CLAIM_RESEND_SECONDS = 0.5
ANSWER_MARGIN_SECONDS = 0.05
FROZEN_SECONDS = 1.0
LONG_WAIT_SECONDS = 10.0


_NOT_RUN_RESULTS = {
    requests.TransferResult.NOT_SENT: "crashed",
    requests.TransferResult.UNREACHED: "silent",
    requests.TransferResult.REJECTED: "rejected",
}


class Dispatcher:
    """All requests in progress at one entry.

    Parameters
    ----------
    entry, address, zone : str
        Name, inner address and availability zone of this entry.
    rng : random.Random
        Source of jitter.
    generation_of : callable
        Takes a shard, returns the generation of its owner.
    shards_of : callable
        Takes a service, returns its number of shards.
    retry_ratio : callable
        Returns the retries allowed for each request.
    """

    def __init__(
        self,
        *,
        entry: str,
        address: str,
        zone: str,
        rng: random.Random,
        generation_of: Callable[[str], int],
        shards_of: Callable[[str], int],
        retry_ratio: Callable[[], float],
    ):
        self._entry = entry
        self._address = address
        self._zone = zone
        self._rng = rng
        self._generation_of = generation_of
        self._shards_of = shards_of
        self._retry_ratio = retry_ratio
        self._flights: dict[str, flights.Flight] = {}
        self._budget = budget.RetryBudget()
        self._last_tick = float("-inf")
        self._effects: list[Any] = []

    def __len__(self) -> int:
        return len(self._flights)

    def find(self, request_id: str) -> flights.Flight | None:
        """Return a request in progress."""
        return self._flights.get(request_id)

    def handle(self, message: Any, now: float) -> list[Any]:
        """Process a message and return effects."""
        match message:
            case requests.Submit(spec):
                self._submit(spec, now)
            case requests.CallerGone(request_id):
                self._handle_caller_gone(request_id, now)
            case messages.ClaimReply():
                self._handle_claim_reply(message, now)
            case messages.Grant():
                self._handle_grant(message, now)
            case messages.Refuse():
                self._handle_refuse(message, now)
            case requests.TransferChunk():
                self._handle_chunk(message, now)
            case requests.TransferPlain():
                self._handle_plain(message, now)
            case requests.TransferEnd():
                self._handle_end(message, now)
        return self._take_effects()

    def tick(self, now: float) -> list[Any]:
        """Act on deadlines and repeat messages that may be lost."""
        for flight in list(self._flights.values()):
            self._tick_flight(flight, now)
        self._last_tick = now
        return self._take_effects()

    def fail_waiting(self, error: errors.FlamingorampError, now: float) -> list[Any]:
        """Fail all requests that were not sent to any backend server."""
        for flight in list(self._flights.values()):
            if flight.phase is not flights.Phase.RUNNING:
                self._give_up(flight, error, now)
        return self._take_effects()

    def make_hold_report(self, shard: str, *, full: bool) -> messages.HoldReport:
        """Return what this entry uses and waits for at a shard; only ids unless ``full``."""
        held = []
        renewed = []
        waiting = []
        for flight in self._flights.values():
            if flight.shard != shard:
                continue
            if flight.phase is flights.Phase.RUNNING and full:
                held.append(_describe_held(flight))
            elif flight.phase is flights.Phase.RUNNING:
                renewed.append(f"{flight.spec.request_id}/{flight.attempt}")
            elif flight.phase is flights.Phase.WAITING:
                waiting.append(flight.spec.request_id)
        return messages.HoldReport(
            self._entry, self._address, shard, tuple(held), tuple(waiting), full, tuple(renewed)
        )

    def resend_reserves(self, shard: str, now: float) -> list[Any]:
        """Ask the new owner of a shard for the places that the old one had not granted."""
        for flight in self._flights.values():
            if flight.shard == shard and flight.phase is flights.Phase.WAITING:
                self._send_reserve(flight, now)
        return self._take_effects()

    def follow_shards(self, home_of: Callable[[str, str], str]) -> None:
        """Report what runs to the shards that its servers now belong to.

        Parameters
        ----------
        home_of : callable
            Takes a service and a server, returns the shard.
        """
        for flight in self._flights.values():
            if flight.phase is flights.Phase.RUNNING:
                flight.shard = home_of(flight.spec.service, flight.grant.servers[0])
                flight.grant = attrs.evolve(flight.grant, shard=flight.shard)

    def _take_effects(self) -> list[Any]:
        taken = self._effects
        self._effects = []
        return taken

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)

    def _note(self, kind: str, flight: flights.Flight, **fields: Any) -> None:
        self._emit(requests.Note(kind, flight.spec.request_id, fields))

    # Beginning.

    def _submit(self, spec: requests.RequestSpec, now: float) -> None:
        flight = flights.Flight(
            spec=spec,
            arrived=now,
            deadline=now + spec.time_limit - min(ANSWER_MARGIN_SECONDS, spec.time_limit / 10),
            phase=flights.Phase.CLAIMING if spec.key else flights.Phase.WAITING,
            shard=self._rank_shards(spec)[0],
        )
        self._flights[spec.request_id] = flight
        self._budget.record_request(spec.service, self._retry_ratio())
        self._note("request.admitted", flight, workspace=spec.workspace, tokens=spec.prompt_tokens)
        if spec.key:
            self._send_claim(flight, now)
        else:
            self._send_reserve(flight, now)

    def _rank_shards(self, spec: requests.RequestSpec) -> list[str]:
        return shards.rank(spec, self._shards_of(spec.service))

    def _send_claim(self, flight: flights.Flight, now: float) -> None:
        flight.sent_at = now
        spec = flight.spec
        claim = messages.ClaimRequest(
            spec.request_id,
            spec.workspace,
            spec.key,
            spec.fingerprint,
            self._entry,
            flight.deadline - now,
        )
        self._emit(requests.SendToControl(claim))

    def _handle_claim_reply(self, reply: messages.ClaimReply, now: float) -> None:
        flight = self._flights.get(reply.request_id)
        if flight is None or flight.phase is not flights.Phase.CLAIMING:
            return
        status = claims.ClaimStatus(reply.status)
        if status is claims.ClaimStatus.GRANTED:
            flight.claimed = True
            flight.phase = flights.Phase.WAITING
            self._note("claim.granted", flight)
            self._send_reserve(flight, now)
            return
        self._note("claim.refused", flight, status=status.value)
        if status is claims.ClaimStatus.RECORDED and reply.http_status:
            body = reply.body.encode("latin-1")
            answer = requests.CallerPlain(flight.spec, reply.http_status, "application/json", body)
            self._finish(flight, answer)
            return
        self._finish(flight, self._error_effect(flight, _claim_error(status)))

    def _send_reserve(self, flight: flights.Flight, now: float) -> None:
        flight.sent_at = now
        spec = flight.spec
        reserve = messages.Reserve(
            request_id=spec.request_id,
            attempt=flight.attempt,
            service=spec.service,
            shard=flight.shard,
            generation=self._generation_of(flight.shard),
            workspace=spec.workspace,
            model=spec.model,
            prompt_tokens=spec.prompt_tokens,
            output_tokens=spec.output_tokens,
            prefix_hashes=spec.prefix_hashes,
            remaining=max(0.0, flight.deadline - now),
            entry=self._entry,
            entry_address=self._address,
            zone=self._zone,
            excluded=flight.excluded,
            fingerprint=spec.fingerprint,
            idempotent=spec.idempotent,
        )
        self._emit(requests.SendToOwner(flight.shard, reserve))

    # Attempts.

    def _handle_grant(self, grant: messages.Grant, now: float) -> None:
        flight = self._flights.get(grant.request_id)
        known = flight is not None and flight.attempt == grant.attempt
        if known and flight.phase is flights.Phase.RUNNING:
            return  # repeated
        frozen = now - self._last_tick > FROZEN_SECONDS
        if not known or flight.phase is not flights.Phase.WAITING or frozen:
            self._send_release(grant, "not_sent")
            if known and flight.phase is flights.Phase.WAITING:
                self._next_attempt(flight, now, excluded="")
            return
        flight.grant = grant
        flight.phase = flights.Phase.RUNNING
        flight.dispatched_at = now
        flight.resumes = 0
        flight.heard = False
        flight.crash_seen = False
        self._note("attempt.started", flight, attempt=flight.attempt, servers=list(grant.servers))
        self._begin_answer(flight)
        self._start_transfer(flight, now)

    def _begin_answer(self, flight: flights.Flight) -> None:
        if flight.spec.streams and not flight.begun:
            flight.begun = True
            self._emit(requests.CallerBegin(flight.spec))

    def _start_transfer(self, flight: flights.Flight, now: float) -> None:
        spec, grant = flight.spec, flight.grant
        remaining = flight.deadline - now
        if spec.kind is requests.RequestKind.PLAIN:
            self._emit(requests.StartPlain(spec, flight.attempt, grant.urls[0], remaining))
            return
        members = tuple(
            requests.GroupMember(url, tokens)
            for url, tokens in zip(grant.urls, grant.tokens, strict=True)
        )
        self._emit(
            requests.StartGenerate(
                spec,
                flight.attempt,
                members,
                grant.priority,
                flight.length,
                flight.text,
                remaining,
            )
        )

    def _handle_refuse(self, refusal: messages.Refuse, now: float) -> None:
        flight = self._flights.get(refusal.request_id)
        if flight is None or flight.attempt != refusal.attempt:
            return
        if flight.phase is not flights.Phase.WAITING:
            return
        error = errors.make_error(refusal.code, refusal.text, retry_after=refusal.retry_after)
        if shards.may_spill(error):
            flight.refusal = shards.milder(flight.refusal, error)
            if self._ask_next_shard(flight, now):
                return
            error = flight.refusal
        self._give_up(flight, error, now)

    def _ask_next_shard(self, flight: flights.Flight, now: float) -> bool:
        """Ask another shard for a place; False if enough were asked."""
        tried = (*flight.shards_tried, flight.shard)
        left = [one for one in self._rank_shards(flight.spec) if one not in tried]
        if not left or len(tried) >= shards.MAX_TRIED:
            return False
        flight.move_to(left[0])
        self._note("request.spilled", flight, shard=flight.shard)
        self._send_reserve(flight, now)
        return True

    def _leave_removed_shard(self, flight: flights.Flight) -> None:
        """Choose another shard if a newer declaration has fewer of them."""
        names = self._rank_shards(flight.spec)
        if flight.shard not in names:
            flight.move_to(names[0])

    def _current(self, message: Any) -> flights.Flight | None:
        """Return the flight that a transfer's message belongs to, None if it is stale."""
        flight = self._flights.get(message.request_id)
        if flight is None or flight.phase is not flights.Phase.RUNNING:
            return None
        return flight if flight.attempt == message.attempt else None

    def _handle_chunk(self, chunk: requests.TransferChunk, now: float) -> None:
        flight = self._current(chunk)
        if flight is None:
            self._emit(requests.Note("chunk.stale", chunk.request_id))
            return
        text = chunk.text
        if chunk.offset > flight.length:
            self._note("chunk.gap", flight)
            self._resume_or_retry(flight, now)
            return
        if chunk.offset < flight.length:
            text = text[flight.length - chunk.offset :]
            if not text:
                self._note("chunk.repeated", flight)
                return
        if not flight.heard:
            flight.heard = True
            self._report_prefill(flight, now)
        flight.resumes = 0
        flight.pieces.append(text)
        flight.length += len(text)
        if flight.spec.streams:
            self._emit(requests.CallerText(flight.spec, text))

    def _report_prefill(self, flight: flights.Flight, now: float) -> None:
        seconds = now - flight.dispatched_at
        done = messages.PrefillDone(flight.spec.request_id, flight.attempt, flight.shard, seconds)
        self._emit(requests.SendToOwner(flight.shard, done))
        tokens = flight.spec.prompt_tokens
        waited = round(now - flight.arrived, 4)
        self._note("request.first_token", flight, seconds=waited, tokens=tokens)

    def _handle_plain(self, answer: requests.TransferPlain, now: float) -> None:
        flight = self._current(answer)
        if flight is None:
            self._emit(requests.Note("chunk.stale", answer.request_id))
            return
        self._settle(flight, "done", answer.status, answer.body)
        self._send_release(flight.grant, "done")
        effect = requests.CallerPlain(flight.spec, answer.status, answer.content_type, answer.body)
        self._finish(flight, effect)

    def _handle_end(self, end: requests.TransferEnd, now: float) -> None:
        flight = self._current(end)
        if flight is None:
            return
        flight.failed_server = _server_at(flight.grant, end.url)
        self._note(
            "attempt.ended",
            flight,
            attempt=end.attempt,
            result=end.result.value,
            server=flight.failed_server,
        )
        match end.result:
            case requests.TransferResult.DONE if end.length != flight.length:
                self._note("chunk.gap", flight)
                self._resume_or_retry(flight, now)
            case requests.TransferResult.DONE:
                self._complete(flight)
            case (
                requests.TransferResult.NOT_SENT
                | requests.TransferResult.UNREACHED
                | requests.TransferResult.REJECTED
            ):
                self._handle_not_run(flight, end.result, now)
            case requests.TransferResult.BROKEN:
                flight.crash_seen = True
                self._resume_or_retry(flight, now)
            case requests.TransferResult.SILENT:
                flight.crash_seen = False
                self._resume_or_retry(flight, now)
            case requests.TransferResult.GONE:
                self._lose_attempt(flight, now)

    def _complete(self, flight: flights.Flight) -> None:
        text = flight.text
        body = text.encode("latin-1", "replace")
        self._settle(flight, "done", 0, body if flight.spec.key else b"")
        self._cancel_segments(flight)
        self._send_release(flight.grant, "done")
        self._finish(flight, requests.CallerEnd(flight.spec, text, len(flight.pieces)))

    def _handle_not_run(
        self, flight: flights.Flight, result: requests.TransferResult, now: float
    ) -> None:
        """Go on after an attempt that proved not to have begun, or a resume that failed."""
        server = flight.failed_server
        if result is requests.TransferResult.UNREACHED:
            flight.crash_seen = False
        if flight.resumes:
            self._lose_attempt(flight, now)
            return
        if server != flight.grant.servers[0]:
            flight.ran = True  # the group's earlier engines took their segments
        self._cancel_segments(flight)
        self._send_release(flight.grant, _NOT_RUN_RESULTS[result], server)
        self._next_attempt(flight, now, excluded=server)

    def _resume_or_retry(self, flight: flights.Flight, now: float) -> None:
        plain = flight.spec.kind is requests.RequestKind.PLAIN
        mute = not flight.heard and not flight.crash_seen
        if plain or mute or flight.resumes >= MAX_RESUMES:
            self._lose_attempt(flight, now)
            return
        flight.resumes += 1
        self._note("attempt.resumed", flight, offset=flight.length)
        url = flight.grant.urls[-1]
        remaining = flight.deadline - now
        self._emit(requests.StartResume(flight.spec, flight.attempt, url, flight.length, remaining))

    def _lose_attempt(self, flight: flights.Flight, now: float) -> None:
        """Go on after an attempt whose server failed while it ran."""
        flight.ran = True
        server = flight.failed_server or flight.grant.servers[-1]
        self._cancel_transfer(flight)
        self._send_release(flight.grant, "crashed" if flight.crash_seen else "silent", server)
        if flight.spec.idempotent:
            self._next_attempt(flight, now, excluded=server)
            return
        self._settle(flight, "outcome_unknown", 0, b"")
        error = errors.OutcomeUnknownError("the backend server failed while it ran the request")
        self._finish(flight, self._error_effect(flight, error))

    def _next_attempt(self, flight: flights.Flight, now: float, *, excluded: str) -> None:
        flight.attempt += 1
        flight.phase = flights.Phase.PAUSING
        flight.grant = None
        if excluded:
            flight.excluded = (*flight.excluded[-2:], excluded)
        allowed = flight.tries <= MAX_ATTEMPTS and self._budget.try_spend(flight.spec.service)
        if not allowed:
            outcome = errors.Outcome.FAILED if flight.ran else errors.Outcome.NOT_RUN
            error = errors.BackendFailedError(
                "backend servers failed and no retry is left", retry_after=1.0, outcome=outcome
            )
            self._give_up(flight, error, now)
            return
        flight.resume_at = now + budget.backoff_seconds(flight.attempt, self._rng)

    # Endings.

    def _tick_flight(self, flight: flights.Flight, now: float) -> None:
        if now >= flight.deadline:
            self._time_out(flight, now)
        elif flight.phase is flights.Phase.PAUSING and now >= flight.resume_at:
            flight.phase = flights.Phase.WAITING
            self._send_reserve(flight, now)
        elif (
            flight.phase is flights.Phase.WAITING and now >= flight.sent_at + RESERVE_RESEND_SECONDS
        ):
            self._leave_removed_shard(flight)
            self._send_reserve(flight, now)
            if now - flight.arrived > LONG_WAIT_SECONDS:
                self._begin_answer(flight)
        elif (
            flight.phase is flights.Phase.CLAIMING and now >= flight.sent_at + CLAIM_RESEND_SECONDS
        ):
            self._send_claim(flight, now)

    def _time_out(self, flight: flights.Flight, now: float) -> None:
        ran = flight.ran or flight.phase is flights.Phase.RUNNING
        if ran and not flight.spec.idempotent:
            error: errors.FlamingorampError = errors.OutcomeUnknownError(
                "the time limit passed while the request ran"
            )
        else:
            outcome = errors.Outcome.FAILED if ran else errors.Outcome.NOT_RUN
            error = errors.TimeLimitExceededError("the time limit passed", outcome=outcome)
        self._give_up(flight, error, now)

    def _handle_caller_gone(self, request_id: str, now: float) -> None:
        flight = self._flights.get(request_id)
        if flight is None:
            return
        self._note("caller.gone", flight)
        if flight.phase is flights.Phase.RUNNING and not flight.spec.idempotent:
            return  # it may not run again: let it finish and record the outcome
        self._give_up(flight, errors.BackendFailedError("the caller went away"), now)

    def _give_up(self, flight: flights.Flight, error: errors.FlamingorampError, now: float) -> None:
        if flight.phase is flights.Phase.RUNNING:
            self._cancel_transfer(flight)
            self._send_release(flight.grant, "cancelled")
            self._settle(flight, "outcome_unknown", 0, b"")
        else:
            self._withdraw(flight)
            self._settle(flight, "not_run", 0, b"")
        self._finish(flight, self._error_effect(flight, error))

    def _withdraw(self, flight: flights.Flight) -> None:
        release = messages.Release(
            flight.spec.request_id, flight.attempt, flight.shard, "cancelled", ""
        )
        self._emit(requests.SendToOwner(flight.shard, release))

    def _finish(self, flight: flights.Flight, answer: Any) -> None:
        del self._flights[flight.spec.request_id]
        self._emit(answer)
        self._note("request.finished", flight, answer=type(answer).__name__)

    def _error_effect(
        self, flight: flights.Flight, error: errors.FlamingorampError
    ) -> requests.CallerError:
        if flight.ran and error.outcome is errors.Outcome.NOT_RUN:
            # A refusal speaks for its own attempt only; an earlier one ran.
            error.outcome = errors.Outcome.FAILED
        return requests.CallerError(flight.spec, error, flight.begun)

    def _cancel_transfer(self, flight: flights.Flight) -> None:
        urls = tuple(flight.grant.urls)
        self._emit(requests.CancelTransfer(flight.spec.request_id, flight.attempt, urls))

    def _cancel_segments(self, flight: flights.Flight) -> None:
        """Free the segments of a group that the last engine no longer needs."""
        segments = tuple(flight.grant.urls[:-1])
        if segments:
            spec = flight.spec
            self._emit(requests.CancelTransfer(spec.request_id, flight.attempt, segments))

    def _send_release(self, grant: messages.Grant, result: str, server: str = "") -> None:
        release = messages.Release(
            grant.request_id, grant.attempt, grant.shard, result, server or grant.servers[-1]
        )
        self._emit(requests.SendToOwner(grant.shard, release))

    def _settle(self, flight: flights.Flight, outcome: str, status: int, body: bytes) -> None:
        if not flight.claimed:
            return
        flight.claimed = False
        spec = flight.spec
        settle = messages.ClaimSettle(
            spec.request_id, spec.workspace, spec.key, outcome, status, body.decode("latin-1")
        )
        self._emit(requests.SendToControl(settle))


def _server_at(grant: messages.Grant, url: str) -> str:
    """Return the server of a grant at a URL, the last one if none is."""
    found = dict(zip(grant.urls, grant.servers, strict=True))
    return found.get(url, grant.servers[-1])


def _describe_held(flight: flights.Flight) -> messages.HeldReservation:
    return messages.HeldReservation(
        flight.spec.request_id,
        flight.attempt,
        flight.grant.servers,
        flight.grant.tokens,
        flight.spec.fingerprint,
        bool(flight.pieces),
    )


def _claim_error(status: claims.ClaimStatus) -> errors.FlamingorampError:
    match status:
        case claims.ClaimStatus.IN_PROGRESS:
            return errors.OutcomeUnknownError(
                "a request with this key is running; ask again with the same key", retry_after=1.0
            )
        case claims.ClaimStatus.EXPIRED:
            return errors.KeyExpiredError("the key is older than claims are kept; use a new one")
        case claims.ClaimStatus.REUSED:
            return errors.KeyReusedError("the key was used with another content; use a new one")
        case claims.ClaimStatus.FULL:
            return errors.OverloadedError("too many claims are kept", retry_after=60.0)
        case _:
            return errors.OutcomeUnknownError("a request with this key was sent; it may have run")
