"""Requests and answers as typed values, apart from the connections that carry them."""

from __future__ import annotations

import http
import json
from typing import Any

import attrs

# Headers that concern one connection and are never passed on (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header by its lower-case name, None if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_HEADERS | named
    return tuple((key, value) for key, value in headers if key not in dropped)


@attrs.frozen
class Request:
    """One whole request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of the target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """Query of the target."""
        return self.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        return find_header(self.headers, name)


@attrs.frozen
class Response:
    """One whole answer of this process."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def reason_of(status: int) -> bytes:
    """Return the usual phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def json_response(body: Any, *, status: int = 200, headers: Headers = ()) -> Response:
    """Return an answer that carries a JSON document."""
    kind = (b"content-type", b"application/json")
    return Response(status, (kind, *headers), json.dumps(body).encode())
