"""Attempts on backend servers: carries out the dispatcher's effects by HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.backends import sse, transfers
from flamingoramp.dispatch import requests
from flamingoramp.runtime import loop as loops

JSON_HEADER = "Content-Type: application/json"
REJECTING_STATUSES = (409, 429, 503)
GONE_STATUS = 404
CANCEL_TRIES = 3
CANCEL_RETRY_SECONDS = 0.3
CANCEL_SILENCE_SECONDS = 2.0
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024

Key = tuple[str, int]
Report = Callable[[Any], None]


@attrs.define
class _Run:
    """The connection that currently serves an attempt."""

    url: str = ""
    transfer: transfers.Transfer | None = None
    reader: sse.EventReader = attrs.field(factory=sse.EventReader)
    finished: bool = False
    length: int = 0


class AttemptRunner:
    """Starts, resumes and cancels attempts and reports what comes back.

    Parameters
    ----------
    loop : loops.Loop
    silence_seconds : float
        Silence after which a stream is taken to be dead.
    report : callable
        Takes messages for the dispatcher.
    """

    def __init__(self, loop: loops.Loop, *, idle_timeout_seconds: float, report: Report):
        self._loop = loop
        self._silence_seconds = idle_timeout_seconds
        self._report = report
        self._transfers = transfers.TransferClient(loop)
        self._runs: dict[Key, _Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def generate(self, start: requests.StartGenerate) -> None:
        """Run an attempt: first the segments of a group, one after another, then the answer."""
        key = (start.spec.request_id, start.attempt)
        self._runs[key] = _Run()
        self._run_member(start, key, 0)

    def resume(self, start: requests.StartResume) -> None:
        """Open a new connection for the rest of an attempt's stream."""
        key = (start.spec.request_id, start.attempt)
        self._drop(key)
        self._runs[key] = _Run()
        body = {"request_id": key[0], "attempt": key[1], "offset": start.offset}
        self._stream(key, start.url, "/v1/resume", body, self._handle_answer_event, None)

    def call_plain(self, start: requests.StartPlain) -> None:
        """Call a plain service."""
        key = (start.spec.request_id, start.attempt)
        call = start.spec.call
        headers = [
            f"Flamingoramp-Request: {key[0]}",
            f"Flamingoramp-Workspace: {start.spec.workspace}",
        ]
        if call.content_type:
            headers.append(f"Content-Type: {call.content_type}")
        if start.spec.key:
            headers.append(f"Idempotency-Key: {start.spec.key}")
        body = bytearray()
        run = _Run()
        self._runs[key] = run

        def _end(ending: transfers.TransferOutcome, status: int) -> None:
            self._runs.pop(key, None)
            if ending is transfers.TransferOutcome.COMPLETE:
                content_type = run.transfer.content_type
                self._report(
                    requests.PlainResponse(key[0], key[1], status, content_type, bytes(body))
                )
            else:
                self._report_end(key, _translate(ending), start.url)

        run.transfer = self._transfers.start(
            transfers.HttpRequest(
                url=f"{start.url}/{call.path}",
                method=call.method,
                body=call.body,
                headers=tuple(headers),
            ),
            on_data=body.extend,
            on_end=_end,
        )

    def cancel(self, cancel: requests.CancelTransfer) -> None:
        """Stop an attempt here and make its servers give it up."""
        self._drop((cancel.request_id, cancel.attempt))
        for url in cancel.urls:
            self.cancel_on_server(url, cancel.request_id, cancel.attempt)

    def cancel_on_server(
        self, url: str, request_id: str, attempt: int, tries: int = CANCEL_TRIES
    ) -> None:
        """Make a backend server give up an attempt and its memory."""
        body = json.dumps({"request_id": request_id, "attempt": attempt}).encode()

        def _end(ending: transfers.TransferOutcome, _status: int) -> None:
            if ending is not transfers.TransferOutcome.COMPLETE and tries > 1:
                self._loop.call_later(
                    CANCEL_RETRY_SECONDS,
                    lambda: self.cancel_on_server(url, request_id, attempt, tries - 1),
                )

        self._transfers.start(
            transfers.HttpRequest(
                url=f"{url}/v1/cancel",
                body=body,
                headers=(JSON_HEADER,),
                idle_timeout_seconds=CANCEL_SILENCE_SECONDS,
            ),
            on_data=lambda _data: None,
            on_end=_end,
        )

    def _run_member(self, start: requests.StartGenerate, key: Key, position: int) -> None:
        member = start.members[position]
        previous = start.members[position - 1].url if position else ""
        body: dict[str, Any] = {
            "request_id": key[0],
            "attempt": key[1],
            "priority": start.priority,
            "tokens": member.tokens,
            "import_from": previous,
            "prefix_hashes": list(start.spec.prefix_hashes),
        }
        last = position == len(start.members) - 1
        if not last:
            body["segment"] = position
            # The engine frees the segment by itself, should nobody live to cancel it.
            body["hold_seconds"] = start.remaining_seconds

            def _next_member() -> None:
                self._run_member(start, key, position + 1)

            self._stream(
                key, member.url, "/v1/segments", body, self._handle_segment_event, _next_member
            )
            return
        spec = start.spec
        body.update(
            prompt=spec.prompt,
            prompt_tokens=spec.prompt_tokens,
            held_elsewhere=sum(one.tokens for one in start.members[:-1]),
            max_tokens=spec.output_tokens,
            model=spec.model,
            offset=start.offset,
            continuation=start.delivered_text,
        )
        self._stream(key, member.url, "/v1/generate", body, self._handle_answer_event, None)

    def _stream(
        self,
        key: Key,
        server: str,
        path: str,
        body: dict[str, Any],
        handle_event: Callable[[Key, _Run, Any], None],
        next_step: Callable[[], None] | None,
    ) -> None:
        run = self._runs.get(key)
        if run is None:
            return  # cancelled between two steps
        run.url = server
        run.reader = sse.EventReader()
        run.finished = False

        def _data(received: bytes) -> None:
            if run.transfer.status == 200:
                self._read_events(key, run, received, handle_event)

        def _end(ending: transfers.TransferOutcome, status: int) -> None:
            if self._runs.get(key) is not run:
                return
            if run.finished and next_step is not None:
                next_step()
                return
            del self._runs[key]
            result = _judge(ending, status, run.finished)
            self._report_end(key, result, run.url, run.length)

        run.transfer = self._transfers.start(
            transfers.HttpRequest(
                url=server + path,
                body=json.dumps(body).encode(),
                headers=(JSON_HEADER,),
                idle_timeout_seconds=self._silence_seconds,
            ),
            on_data=_data,
            on_end=_end,
        )

    def _read_events(
        self,
        key: Key,
        run: _Run,
        received: bytes,
        handle_event: Callable[[Key, _Run, Any], None],
    ) -> None:
        try:
            for event in run.reader.feed(received):
                handle_event(key, run, event)
        except (errors.ProtocolError, KeyError, TypeError):
            self._drop(key)
            broken = requests.TransferResult.BROKEN
            self._loop.call_later(0, lambda: self._report_end(key, broken, run.url))

    def _handle_answer_event(self, key: Key, run: _Run, event: Any) -> None:
        # The chunk's own ids go on, so that what is not of this attempt is dropped and counted.
        chunk = requests.TransferChunk(
            event["request_id"], event["attempt"], event["offset"], event["text"]
        )
        if chunk.text:
            self._report(chunk)
        if event.get("done") and (chunk.request_id, chunk.attempt) == key:
            run.finished = True
            run.length = chunk.offset + len(chunk.text)

    def _handle_segment_event(self, key: Key, run: _Run, event: Any) -> None:
        if event.get("ready") and (event["request_id"], event["attempt"]) == key:
            run.finished = True

    def _report_end(
        self, key: Key, result: requests.TransferResult, url: str, length: int = 0
    ) -> None:
        self._report(requests.TransferEnd(key[0], key[1], result, url, length))

    def _drop(self, key: Key) -> None:
        run = self._runs.pop(key, None)
        if run is not None and run.transfer is not None:
            self._transfers.cancel(run.transfer)


def _translate(ending: transfers.TransferOutcome) -> requests.TransferResult:
    match ending:
        case transfers.TransferOutcome.NOT_SENT:
            return requests.TransferResult.NOT_SENT
        case transfers.TransferOutcome.CONNECT_TIMEOUT:
            return requests.TransferResult.UNREACHED
        case transfers.TransferOutcome.IDLE_TIMEOUT:
            return requests.TransferResult.SILENT
        case _:
            return requests.TransferResult.BROKEN


def _judge(
    ending: transfers.TransferOutcome, status: int, finished: bool
) -> requests.TransferResult:
    if finished:
        return requests.TransferResult.DONE
    if ending is not transfers.TransferOutcome.COMPLETE:
        return _translate(ending)
    if status in REJECTING_STATUSES:
        return requests.TransferResult.REJECTED
    if status == GONE_STATUS:
        return requests.TransferResult.GONE
    return requests.TransferResult.BROKEN
