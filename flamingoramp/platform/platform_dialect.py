"""Dialect of the platform: decodes requests to the daemons and encodes their answers."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING
from urllib import parse

from flamingoramp import dialect, errors
from flamingoramp.http import messages
from flamingoramp.intent import traffic
from flamingoramp.platform import backends, declarations, wire_names

if TYPE_CHECKING:
    from flamingoramp.http import client

MAX_ZONE_NAME_LENGTH = 255
# Larger integers in headers are taken for this one; with it, each calculation has a result.
MAX_HEADER_INTEGER = 2**53


class PlatformDialect:
    """Implementation of `flamingoramp.dialect.Dialect` for the platform."""

    def __init__(self):
        self._declaration_decoder = declarations.Decoder()

    def decode_control_call(self, request: messages.Request) -> dialect.ControlCall:
        """Decode a call to a control host."""
        server_match = wire_names.SERVER_PATH_PATTERN.match(request.path)
        match (request.method, server_match is not None, request.path):
            case (b"PUT", True, _):
                server = parse.unquote(server_match[1])
                return dialect.AnnounceServer(backends.decode_announcement(server, request.body))
            case (b"DELETE", True, _):
                return dialect.WithdrawServer(parse.unquote(server_match[1]))
            case (b"PUT", _, wire_names.DECLARATION_PATH):
                declaration = self.decode_declaration(request.body)
                return dialect.SubmitDeclaration(declaration.version, request.body)
            case (b"GET", _, wire_names.DECLARATION_PATH):
                return dialect.ReadDeclaration()
        zone_match = wire_names.EVACUATION_PATH_PATTERN.match(request.path)
        match (request.method, zone_match is not None):
            case (b"POST", True):
                return dialect.EvacuateZone(_decode_zone(zone_match[1]))
            case (b"DELETE", True):
                return dialect.RestoreZone(_decode_zone(zone_match[1]))
        if server_match is not None:
            raise _method_error(request, b"PUT", b"DELETE")
        if request.path == wire_names.DECLARATION_PATH:
            raise _method_error(request, b"GET", b"HEAD", b"PUT")
        if zone_match is not None:
            raise _method_error(request, b"POST", b"DELETE")
        raise errors.UnknownRouteError(f"no such call: {request.path}")

    def decode_declaration(self, document: bytes) -> traffic.TrafficDeclaration:
        """Decode a declaration and check it."""
        return self._declaration_decoder.decode(document)

    def decode_declaration_in_steps(
        self, document: bytes
    ) -> Generator[None, None, traffic.TrafficDeclaration]:
        """Decode a declaration and check it, in short steps."""
        return self._declaration_decoder.decode_in_steps(document)

    def encode_error(self, error: errors.FlamingorampError) -> messages.Response:
        """Encode an error with its code, message and outcome as JSON."""
        status = error.status
        if isinstance(error, errors.RequestQuarantinedError):
            status = 400  # the platform's callers retry after every status but 4xx
        if isinstance(error, errors.OverloadedError):
            status = 503
        headers: messages.Headers = ()
        if error.retry_after:
            headers = ((wire_names.RETRY_AFTER, f"{error.retry_after:.3f}".encode()),)
        if isinstance(error, errors.MethodNotAllowedError):
            headers = ((b"allow", b", ".join(error.allowed)),)
        body = {"code": error.code, "message": str(error), "outcome": error.outcome.value}
        return messages.json_response(body, status=status, headers=headers)

    def encode_acknowledgement(self) -> messages.Response:
        """Encode the answer to a call that took effect: an empty JSON object."""
        return messages.json_response({})

    def encode_document(self, document: bytes) -> messages.Response:
        """Encode the declaration in force, as the operator sent it."""
        return messages.Response(200, ((b"content-type", b"application/json"),), document)

    def check_readiness_call(self, request: messages.Request) -> None:
        """Check that the request is the platform's readiness probe."""
        _check_read(request, wire_names.READINESS_PATH)

    def decode_directory_call(self, request: messages.Request) -> str:
        """Decode a caller's request for entry addresses; return the caller's availability zone."""
        _check_read(request, wire_names.DIRECTORY_PATH)
        return parse.parse_qs(request.query).get("zone", [""])[0]

    def encode_directory(self, addresses: list[str], seconds: float) -> messages.Response:
        """Encode the entry addresses, which the caller may cache for ``seconds``."""
        return messages.json_response({"addrs": addresses, "ttl_s": seconds})

    def decode_request(self, request: messages.Request) -> dialect.CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        flamingoramp.errors.BadRequestError
            The request id is missing, or a header is not the integer that it should be.
        """

        def _header_text(name: bytes) -> str:
            return (request.header(name) or b"").decode("latin-1")

        request_id = _header_text(wire_names.REQUEST_ID)
        if not request_id:
            raise errors.BadRequestError("the request has no id")
        host = _header_text(b"host").lower()
        key = request.header(wire_names.AUTHORIZATION) or b""
        has_scheme = key[: len(wire_names.KEY_SCHEME)].lower() == wire_names.KEY_SCHEME
        token_counts = _header_text(wire_names.TOKEN_COUNTS)
        prompt, _, output = token_counts.partition(",")
        try:
            deadline = request.header(wire_names.DEADLINE)
            attempts_used = request.header(wire_names.ATTEMPTS_USED)
            return dialect.CallerRequest(
                request_id=request_id,
                host=host.partition(":")[0],
                path=request.path,
                key=key[len(wire_names.KEY_SCHEME) :].strip().decode("latin-1")
                if has_scheme
                else "",
                remaining_seconds=_decode_integer(deadline) / 1000 if deadline else None,
                prompt_tokens=max(0, _decode_integer(prompt)) if prompt else 0,
                output_tokens=max(0, _decode_integer(output)) if output else 0,
                last_event_id=_header_text(wire_names.LAST_EVENT_ID),
                shared_parts=_decode_shared_parts(request),
                attempts_used=max(0, _decode_integer(attempts_used)) if attempts_used else None,
            )
        except ValueError as error:
            raise errors.BadRequestError("a header takes a whole number") from error

    def encode_forwarded_request(self, forwarded: dialect.ForwardedRequest) -> messages.Request:
        """Encode the request to a backend server."""
        return backends.encode_forwarded_request(forwarded)

    def decode_answer_head(self, head: client.Head, request_id: str) -> dialect.AnswerHead:
        """Decode the head of a backend server's answer to the request ``request_id``."""
        return backends.decode_answer_head(head, request_id)

    def encode_peer_request(self, passed_on: dialect.PeerRequest) -> messages.Request:
        """Encode the request that is passed on to another entry."""
        return backends.encode_peer_request(passed_on)

    def decode_peer_answer_head(self, head: client.Head, request_id: str) -> dialect.AnswerHead:
        """Decode the head of another entry's answer to the request ``request_id``."""
        return backends.decode_peer_answer_head(head, request_id)

    def encode_reserve(
        self, server: str, ticket: str, tokens: int, seconds: float
    ) -> messages.Request:
        """Encode the command that reserves memory at an engine, or renews the reservation."""
        expiry_milliseconds = int(seconds * 1000)
        body = {"op": "reserve", "id": ticket, "tokens": tokens, "hold_ms": expiry_milliseconds}
        return backends.encode_memory_command(server, body)

    def encode_release(self, server: str, ticket: str) -> messages.Request:
        """Encode the command that releases the reservation ``ticket`` at an engine."""
        return backends.encode_memory_command(server, {"op": "release", "id": ticket})


def _decode_integer(text: str | bytes) -> int:
    """Return the integer in a header, within the range of those that can be calculated with.

    Raises
    ------
    ValueError
        The text is no integer.
    """
    return max(-MAX_HEADER_INTEGER, min(int(text), MAX_HEADER_INTEGER))


def _decode_zone(quoted: str) -> str:
    """Return the name of an availability zone in a path.

    Raises
    ------
    flamingoramp.errors.BadRequestError
        The name is too long or no printable text in UTF-8.
    """
    try:
        zone = parse.unquote(quoted, errors="strict")
    except UnicodeDecodeError as error:
        raise errors.BadRequestError("the zone's name is no text in UTF-8") from error
    if len(zone) > MAX_ZONE_NAME_LENGTH or not zone.isprintable():
        raise errors.BadRequestError(
            f"the zone's name takes printable text of at most {MAX_ZONE_NAME_LENGTH} characters"
        )
    return zone


def _decode_shared_parts(request: messages.Request) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which is the request's own."""
    values = [value for name, value in request.headers if name == wire_names.PROMPT_PARTS]
    parts = b",".join(values).decode("latin-1").split(",")
    ids = [part.partition(":")[0].strip().lower() for part in parts[:-1]]
    return tuple(dict.fromkeys(part_id for part_id in ids if part_id))


def _check_read(request: messages.Request, path: str) -> None:
    """Check that a request reads the only path of its port."""
    if request.path != path:
        raise errors.UnknownRouteError(f"no such call: {request.path}")
    if request.method != b"GET":
        raise _method_error(request, b"GET", b"HEAD")


def _method_error(request: messages.Request, *allowed: bytes) -> errors.MethodNotAllowedError:
    names = b", ".join(allowed).decode()
    return errors.MethodNotAllowedError(f"{request.path} takes {names}", allowed=allowed)
