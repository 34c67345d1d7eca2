"""HTTP requests and responses as values, independent of connections."""

from __future__ import annotations

import http
import json
import re
from typing import Any

import attrs

from flamingoramp import value_classes

# Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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

# Bytes that no field value holds (RFC 9110, section 5.5); a blank may stand inside a value only.
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header by its lower-case name, None if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def encode_field_value(text: str) -> bytes:
    """Encode any text in UTF-8 as the value of a header.

    Blanks at its ends are left out, as each receiver ignores them there. Control characters, which
    would end the header or make it invalid, are percent-encoded.
    """
    value = text.encode().strip(b" \t")
    return _CONTROL_BYTE.sub(lambda found: b"%%%02X" % found[0][0], value)


def is_field_value(value: bytes) -> bool:
    """Return whether a header with this value can be sent; blanks at its ends are ignored."""
    return _CONTROL_BYTE.search(value) is None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward: all but the hop-by-hop ones and those listed in Connection."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    removed = HOP_BY_HOP_HEADERS | connection_options
    return tuple((key, value) for key, value in headers if key not in removed)


@attrs.frozen(eq=False, repr=False)
class Request(value_classes.Value):
    """A complete HTTP request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """Query of the target without the question mark, empty if there is none."""
        return self.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name, None if it is missing."""
        return find_header(self.headers, name)


@attrs.frozen(eq=False, repr=False)
class Response(value_classes.Value):
    """A complete HTTP response that this process sends."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status, empty if the status is not a standard one."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def json_response(body: Any, *, status: int = 200, headers: Headers = ()) -> Response:
    """Return a response with a JSON document as body and the matching content type."""
    content_type = (b"content-type", b"application/json")
    return Response(status, (content_type, *headers), json.dumps(body).encode())
