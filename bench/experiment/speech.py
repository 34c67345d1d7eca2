"""What callers, entries and engines of an experiment say to each other: typed values, no bytes."""

from __future__ import annotations

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.http import client, messages

HOST = "experiment.example"


@attrs.frozen
class Reserve:
    """An order to set memory aside."""

    ticket: str
    tokens: int


@attrs.frozen
class Release:
    """An order to give memory back."""

    ticket: str


class Dialect:
    """Passes typed requests on as they are; a stand-in for a platform's dialect."""

    def decode_request(self, request: messages.Request) -> dialects.CallerRequest:
        """Decode a caller's request."""
        return dialects.CallerRequest(
            request.header(b"id").decode(),
            HOST,
            request.path,
            remaining_seconds=float(request.header(b"time-left")),
            prompt_tokens=int(request.header(b"prompt")),
            output_tokens=int(request.header(b"output")),
        )

    def encode_error(self, error: errors.FlamingorampError) -> messages.Response:
        """Encode a refusal or failure."""
        headers: messages.Headers = ()
        if error.retry_after:
            headers = ((b"retry-after", repr(error.retry_after).encode()),)
        return messages.Response(error.status, headers)

    def encode_forwarded_request(
        self, forward: dialects.ForwardedRequest
    ) -> dialects.ForwardedRequest:
        """Return what an engine takes."""
        return forward

    def decode_answer_head(self, head: client.Head, _request_id: str) -> dialects.AnswerHead:
        """Decode the head of an engine's answer."""
        at_fault = head.header(b"at-fault") or b""
        verdict = dialects.AnswerKind(head.header(b"verdict").decode())
        return dialects.AnswerHead(verdict, at_fault.decode())

    def encode_reserve(self, _server: str, ticket: str, tokens: int, _seconds: float) -> Reserve:
        """Return an order to set memory aside."""
        return Reserve(ticket, tokens)

    def encode_release(self, _server: str, ticket: str) -> Release:
        """Return an order to give memory back."""
        return Release(ticket)
