"""Stand-in for the encoding of the platform's messages: passes typed values instead of bytes."""

from __future__ import annotations

import attrs

from flamingoramp import dialect, errors
from flamingoramp.http import client, messages

HOST = "experiment.example"


@attrs.frozen
class Reserve:
    """Command to an engine that reserves memory for the tokens of a prompt part."""

    ticket: str
    tokens: int


@attrs.frozen
class Release:
    """Command to an engine that releases the reservation with this ticket."""

    ticket: str


class Dialect:
    """Passes requests on without encoding them; a stand-in for `flamingoramp.dialect.Dialect`."""

    def decode_request(self, request: messages.Request) -> dialect.CallerRequest:
        """Decode a caller's request."""
        return dialect.CallerRequest(
            request.header(b"id").decode(),
            HOST,
            request.path,
            remaining_seconds=float(request.header(b"time-left")),
            prompt_tokens=int(request.header(b"prompt")),
            output_tokens=int(request.header(b"output")),
        )

    def encode_error(self, error: errors.FlamingorampError) -> messages.Response:
        """Encode an error as a status and an optional Retry-After header."""
        headers: messages.Headers = ()
        if error.retry_after:
            headers = ((b"retry-after", repr(error.retry_after).encode()),)
        return messages.Response(error.status, headers)

    def encode_forwarded_request(
        self, forwarded: dialect.ForwardedRequest
    ) -> dialect.ForwardedRequest:
        """Return the request unchanged, as the simulated engines take it."""
        return forwarded

    def decode_answer_head(self, head: client.Head, _request_id: str) -> dialect.AnswerHead:
        """Decode the head of an engine's answer."""
        failed_address = head.header(b"at-fault") or b""
        kind = dialect.AnswerKind(head.header(b"verdict").decode())
        return dialect.AnswerHead(kind, failed_address.decode())

    def encode_reserve(self, _server: str, ticket: str, tokens: int, _seconds: float) -> Reserve:
        """Return the command; the simulation ignores the server and the time of expiry."""
        return Reserve(ticket, tokens)

    def encode_release(self, _server: str, ticket: str) -> Release:
        """Return the command; the simulation ignores the server."""
        return Release(ticket)
