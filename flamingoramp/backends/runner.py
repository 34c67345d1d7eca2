"""Runs attempts at requests on backend servers over HTTP, as the dispatcher directs."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.backends import sse, transfers
from flamingoramp.dispatch import requests
from flamingoramp.http import messages
from flamingoramp.runtime import byte_account
from flamingoramp.runtime import loop as loops

JSON_HEADER = "Content-Type: application/json"
NOT_STARTED_STATUSES = (409, 429, 503)
UNKNOWN_ATTEMPT_STATUS = 404
MAX_CANCEL_TRIES = 3
CANCEL_RETRY_SECONDS = 0.3
CANCEL_IDLE_TIMEOUT_SECONDS = 2.0
MAX_CANCEL_ANSWER_BYTES = 64 * 1024
MAX_PLAIN_ANSWER_BYTES = 16 * 1024 * 1024
# What all answers that aren't complete may hold together.
MAX_HELD_BYTES = 8 * MAX_PLAIN_ANSWER_BYTES

AttemptKey = tuple[str, int]
ReportFunction = Callable[[Any], None]


@attrs.define(eq=False)
class _AttemptState:
    """State of an attempt and of its current connection.

    ``is_complete`` is set by the event that ends the segment or the answer; ``text_length`` is then
    the number of characters of the complete answer. ``body`` is that of a plain service, as far as
    it was received since ``began_at``, in loop seconds. ``on_shortage`` gives the attempt up.
    """

    began_at: float
    on_shortage: Callable[[], None]
    url: str = ""
    body: bytearray = attrs.field(factory=bytearray)
    transfer: transfers.Transfer | None = None
    reader: sse.EventReader = attrs.field(factory=sse.EventReader)
    is_complete: bool = False
    text_length: int = 0

    @property
    def held_bytes(self) -> int:
        """Memory of what was received and not yet reported."""
        return len(self.body) + self.reader.incomplete_bytes

    def reclaimable(self) -> byte_account.Reclaimable:
        """Return what this attempt holds; see `byte_account.Holder`."""
        return byte_account.Reclaimable(self.held_bytes, self.began_at)

    def give_up(self) -> None:
        """Give the attempt up."""
        self.on_shortage()


class AttemptRunner:
    """Starts, resumes and cancels attempts and reports their output and results.

    Parameters
    ----------
    loop : loops.Loop
    idle_timeout_seconds : float
        Time without a byte of an event stream after which its transfer ends as timed out.
    report : callable
        Called with each `requests.MemberStarted` but the first of an attempt,
        `requests.TransferChunk`, `requests.TransferEnd` and `requests.PlainResponse`.
    on_shortage : callable
        Called with a `byte_account.Shortage` after answers were given up for their size.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        idle_timeout_seconds: float,
        report: ReportFunction,
        on_shortage: Callable[[byte_account.Shortage], None],
    ):
        self._loop = loop
        self._idle_timeout_seconds = idle_timeout_seconds
        self._report = report
        self._http_client = transfers.TransferClient(loop)
        self._states: dict[AttemptKey, _AttemptState] = {}
        self._account = byte_account.ByteAccount(MAX_HELD_BYTES, loop.now, on_shortage)

    def __len__(self) -> int:
        return len(self._states)

    def generate(self, start: requests.StartGenerate) -> None:
        """Start an attempt on a group of engines.

        All members but the last prefill their segments of the prompt, one after another; then the
        last member generates the answer.
        """
        key = (start.spec.request_id, start.attempt)
        self._add_state(key)
        self._start_member(start, key, 0)

    def resume(self, start: requests.StartResume) -> None:
        """Request the rest of an attempt's output on a new connection."""
        key = (start.spec.request_id, start.attempt)
        self._close(key)
        self._add_state(key)
        body = {"request_id": key[0], "attempt": key[1], "offset": start.offset}
        self._start_stream(key, start.url, "/v1/resume", body, self._handle_answer_event, None)

    def call_plain(self, start: requests.StartPlain) -> None:
        """Send an attempt to a plain service and report its whole response."""
        key = (start.spec.request_id, start.attempt)
        service_call = start.spec.call
        headers = [
            f"Flamingoramp-Request: {key[0]}",
            b"Flamingoramp-Workspace: " + messages.encode_field_value(start.spec.workspace),
        ]
        if service_call.content_type:
            headers.append(f"Content-Type: {service_call.content_type}".encode("latin-1"))
        if start.spec.key:
            headers.append(f"Idempotency-Key: {start.spec.key}".encode("latin-1"))
        state = self._add_state(key, start.url)

        def _handle_data(received: bytes) -> None:
            state.body += received
            self._update_charge(key, state)

        def _handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            self._remove_state(key)
            if outcome is transfers.TransferOutcome.COMPLETE:
                content_type = state.transfer.content_type
                self._report(
                    requests.PlainResponse(key[0], key[1], status, content_type, bytes(state.body))
                )
            else:
                self._report_end(key, _to_transfer_result(outcome), start.url)

        state.transfer = self._http_client.start(
            transfers.HttpRequest(
                url=f"{start.url}/{service_call.path}",
                method=service_call.method,
                body=service_call.body,
                headers=tuple(headers),
                max_body_bytes=MAX_PLAIN_ANSWER_BYTES,
            ),
            on_data=_handle_data,
            on_end=_handle_end,
        )

    def cancel(self, cancel: requests.CancelTransfer) -> None:
        """Close an attempt's connection and cancel the attempt on its backend servers."""
        self._close((cancel.request_id, cancel.attempt))
        for url in cancel.urls:
            self.cancel_on_server(url, cancel.request_id, cancel.attempt)

    def cancel_on_server(
        self, url: str, request_id: str, attempt: int, tries: int = MAX_CANCEL_TRIES
    ) -> None:
        """Make a backend server stop an attempt and free its memory.

        A transfer that fails is repeated after ``CANCEL_RETRY_SECONDS``, with at most ``tries``
        transfers in all.
        """
        body = json.dumps({"request_id": request_id, "attempt": attempt}).encode()

        def _handle_end(outcome: transfers.TransferOutcome, _status: int) -> None:
            if outcome is not transfers.TransferOutcome.COMPLETE and tries > 1:
                self._loop.call_later(
                    CANCEL_RETRY_SECONDS,
                    lambda: self.cancel_on_server(url, request_id, attempt, tries - 1),
                )

        self._http_client.start(
            transfers.HttpRequest(
                url=f"{url}/v1/cancel",
                body=body,
                headers=(JSON_HEADER,),
                idle_timeout_seconds=CANCEL_IDLE_TIMEOUT_SECONDS,
                max_body_bytes=MAX_CANCEL_ANSWER_BYTES,
            ),
            on_data=lambda _data: None,
            on_end=_handle_end,
        )

    def _start_member(self, start: requests.StartGenerate, key: AttemptKey, position: int) -> None:
        member = start.members[position]
        previous_url = start.members[position - 1].url if position else ""
        body: dict[str, Any] = {
            "request_id": key[0],
            "attempt": key[1],
            "priority": start.priority,
            "tokens": member.tokens,
            "import_from": previous_url,
            "prefix_hashes": list(start.spec.prefix_hashes),
        }
        is_last = position == len(start.members) - 1
        if not is_last:
            body["segment"] = position
            # The engine frees the segment after this time, in case every entry that could cancel
            # it has crashed.
            body["hold_seconds"] = start.remaining_seconds

            def _start_next_member() -> None:
                self._report(requests.MemberStarted(*key, position + 1))
                self._start_member(start, key, position + 1)

            self._start_stream(
                key,
                member.url,
                "/v1/segments",
                body,
                self._handle_segment_event,
                _start_next_member,
            )
            return
        spec = start.spec
        body.update(
            prompt=spec.prompt,
            prompt_tokens=spec.prompt_tokens,
            held_elsewhere=sum(other.tokens for other in start.members[:-1]),
            max_tokens=spec.output_tokens,
            model=spec.model,
            offset=start.offset,
            continuation=start.delivered_text,
        )
        self._start_stream(key, member.url, "/v1/generate", body, self._handle_answer_event, None)

    def _start_stream(
        self,
        key: AttemptKey,
        url: str,
        path: str,
        body: dict[str, Any],
        handle_event: Callable[[AttemptKey, _AttemptState, Any], None],
        on_complete: Callable[[], None] | None,
    ) -> None:
        state = self._states.get(key)
        if state is None:
            return  # cancelled after the previous step
        state.url = url
        state.reader = sse.EventReader()
        state.is_complete = False

        def _handle_data(received: bytes) -> None:
            if state.transfer.status == 200:
                self._read_events(key, state, received, handle_event)

        def _handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            if self._states.get(key) is not state:
                return
            if state.is_complete and on_complete is not None:
                on_complete()
                return
            self._remove_state(key)
            result = _classify_end(outcome, status, state.is_complete)
            self._report_end(key, result, state.url, state.text_length)

        state.transfer = self._http_client.start(
            transfers.HttpRequest(
                url=url + path,
                body=json.dumps(body).encode(),
                headers=(JSON_HEADER,),
                idle_timeout_seconds=self._idle_timeout_seconds,
            ),
            on_data=_handle_data,
            on_end=_handle_end,
        )

    def _read_events(
        self,
        key: AttemptKey,
        state: _AttemptState,
        received: bytes,
        handle_event: Callable[[AttemptKey, _AttemptState, Any], None],
    ) -> None:
        try:
            for event in state.reader.feed(received):
                handle_event(key, state, event)
        except (errors.ProtocolError, KeyError, TypeError):
            self._end_broken(key, state)
            return
        self._update_charge(key, state)

    def _end_broken(self, key: AttemptKey, state: _AttemptState) -> None:
        """Close an attempt's connection and report that its response is invalid or too long."""
        self._close(key)
        result = requests.TransferResult.BROKEN
        self._loop.call_later(0, lambda: self._report_end(key, result, state.url))

    def _add_state(self, key: AttemptKey, url: str = "") -> _AttemptState:
        state = _AttemptState(
            self._loop.now(), on_shortage=lambda: self._end_broken(key, state), url=url
        )
        self._states[key] = state
        return state

    def _remove_state(self, key: AttemptKey) -> _AttemptState | None:
        state = self._states.pop(key, None)
        if state is not None:
            self._account.remove(state)
        return state

    def _update_charge(self, key: AttemptKey, state: _AttemptState) -> None:
        if self._states.get(key) is state:
            self._account.charge(state, state.held_bytes)

    def _handle_answer_event(self, key: AttemptKey, state: _AttemptState, event: Any) -> None:
        # The ids of the event, not of this attempt, are reported: the dispatcher drops and counts
        # chunks that belong to another attempt.
        chunk = requests.TransferChunk(
            event["request_id"], event["attempt"], event["offset"], event["text"]
        )
        if chunk.text:
            self._report(chunk)
        if event.get("done") and (chunk.request_id, chunk.attempt) == key:
            state.is_complete = True
            state.text_length = chunk.offset + len(chunk.text)

    def _handle_segment_event(self, key: AttemptKey, state: _AttemptState, event: Any) -> None:
        if event.get("ready") and (event["request_id"], event["attempt"]) == key:
            state.is_complete = True

    def _report_end(
        self, key: AttemptKey, result: requests.TransferResult, url: str, text_length: int = 0
    ) -> None:
        self._report(requests.TransferEnd(key[0], key[1], result, url, text_length))

    def _close(self, key: AttemptKey) -> None:
        state = self._remove_state(key)
        if state is not None and state.transfer is not None:
            self._http_client.cancel(state.transfer)


def _to_transfer_result(outcome: transfers.TransferOutcome) -> requests.TransferResult:
    match outcome:
        case transfers.TransferOutcome.NOT_SENT:
            return requests.TransferResult.NOT_SENT
        case transfers.TransferOutcome.CONNECT_TIMEOUT:
            return requests.TransferResult.UNREACHED
        case transfers.TransferOutcome.IDLE_TIMEOUT:
            return requests.TransferResult.SILENT
        case _:
            return requests.TransferResult.BROKEN


def _classify_end(
    outcome: transfers.TransferOutcome, status: int, is_complete: bool
) -> requests.TransferResult:
    if is_complete:
        return requests.TransferResult.DONE
    if outcome is not transfers.TransferOutcome.COMPLETE:
        return _to_transfer_result(outcome)
    if status in NOT_STARTED_STATUSES:
        return requests.TransferResult.REJECTED
    if status == UNKNOWN_ATTEMPT_STATUS:
        return requests.TransferResult.GONE
    return requests.TransferResult.BROKEN
