"""Codec of backend servers' announcements, of requests to them and of heads of their answers."""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING, Any

from flamingoramp import dialect, errors, json_documents
from flamingoramp.http import messages
from flamingoramp.platform import wire_names
from flamingoramp.protocol import messages as protocol_messages

if TYPE_CHECKING:
    from flamingoramp.http import client
    from flamingoramp.routing import statements

_SERVER_STATES = ("ready", "draining")
# With these an entry promises that a request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# With these another entry refuses what is too large for it; this one has taken the request.
_TOO_LARGE_STATUSES = (413, 431)
# Characters of a server's name, which is sent in a header of each request to it.
_SERVER_NAME = re.compile(r"[\x21-\x7e]{1,200}")
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        data = json_documents.parse(body)
    except (ValueError, RecursionError) as error:
        raise errors.BadRequestError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise errors.BadRequestError("the body is no object")
    return data


def _field(data: dict[str, Any], name: str, expected_type: type, default: Any = ...) -> Any:
    value = data.get(name, default)
    if value is default and default is not ...:
        return default
    if not isinstance(value, expected_type) or (expected_type is int and isinstance(value, bool)):
        raise errors.BadRequestError(f"{name}: missing, or of the wrong type")
    return value


def _unsigned_field(data: dict[str, Any], name: str, default: Any = ...) -> int:
    value = _field(data, name, int, default)
    if not 0 <= value < 2**63:
        raise errors.BadRequestError(f"{name}: out of range")
    return value


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    are_octets = all(_is_number(octet) and int(octet) < 256 for octet in octets)
    if len(octets) != 4 or not are_octets or not _is_number(port) or not 0 < int(port) < 65536:
        raise errors.BadRequestError(f"addr: found {address!r}, takes ip:port")


def decode_announcement(server: str, body: bytes) -> protocol_messages.ServerRecord:
    """Decode the announcement of a backend server.

    Raises
    ------
    flamingoramp.errors.BadRequestError
        The body is no JSON object, or a field is missing, of the wrong type or out of range.
    """
    if not _SERVER_NAME.fullmatch(server):
        raise errors.BadRequestError(f"found the server name {server!r}, takes visible ASCII")
    data = _decode_object(body)
    state = _field(data, "state", str)
    if state not in _SERVER_STATES:
        raise errors.BadRequestError(
            f"state: found {state!r}, takes one of {', '.join(_SERVER_STATES)}"
        )
    address = _field(data, "addr", str)
    _check_address(address)
    return protocol_messages.ServerRecord(
        server=server,
        service=_field(data, "service", str),
        address=address,
        zone=_field(data, "zone", str),
        software=_field(data, "version", str, ""),
        slots=min(_unsigned_field(data, "slots"), 2**31),
        leaving=state == "draining",
        cold_seconds=_unsigned_field(data, "cold_left_ms", 0) / 1000,
        sequence=_unsigned_field(data, "seq"),
        born=_unsigned_field(data, "born", 0),
    )


def encode_forwarded_request(forwarded: dialect.ForwardedRequest) -> messages.Request:
    """Encode a request to a backend server: the caller's headers, some replaced by the entry's."""
    caller = forwarded.request
    headers = [
        (name, value)
        for name, value in messages.end_to_end_headers(caller.headers)
        if name not in wire_names.OVERRIDDEN_HEADERS
    ]
    headers.append((wire_names.EXPECTED_SERVER, forwarded.server.server.encode("latin-1")))
    if forwarded.remaining_seconds is not None:
        milliseconds = max(1, int(forwarded.remaining_seconds * 1000))
        headers.append((wire_names.DEADLINE, b"%d" % milliseconds))
    if forwarded.workspace:
        workspace = messages.encode_field_value(forwarded.workspace)
        headers.append((wire_names.WORKSPACE, workspace))
    if forwarded.priority is not None:
        headers.append((wire_names.PRIORITY, b"%d" % forwarded.priority))
    if forwarded.last_event_id:
        headers.append((wire_names.LAST_EVENT_ID, forwarded.last_event_id.encode("latin-1")))
    if forwarded.helpers:
        helper_list = ",".join(
            f"{helper.address}/{helper.ticket}" if helper.ticket else helper.address
            for helper in forwarded.helpers
        )
        headers.append((wire_names.HELPERS, helper_list.encode("latin-1")))
    return messages.Request(caller.method, caller.target, tuple(headers), caller.body)


def decode_answer_head(head: client.Head, request_id: str) -> dialect.AnswerHead:
    """Decode the head of a backend server's answer to the request ``request_id``.

    A refusal that names no request counts only on a connection without an earlier answer: on
    another one, it may be a copy of an earlier refusal while the server runs the request.
    """
    failed_address = (head.header(wire_names.FAILED_ADDRESS) or b"").decode("latin-1")
    echoed_id = head.header(wire_names.REQUEST_ID)
    is_unassigned = echoed_id is None and not head.is_first
    if is_unassigned or echoed_id not in (None, request_id.encode("latin-1")):
        return dialect.AnswerHead(dialect.AnswerKind.FOREIGN, failed_address)
    if head.status == 421:
        # Another server has this address now.
        return dialect.AnswerHead(dialect.AnswerKind.NOT_RUN, failed_address)
    statement = _decode_statement(head)
    if head.header(wire_names.NOT_RUN) is not None:
        return dialect.AnswerHead(dialect.AnswerKind.NOT_RUN, failed_address, statement)
    is_signed = head.header(wire_names.SIGNATURE) is not None
    if echoed_id is None or not is_signed or head.header(b"content-encoding") is not None:
        return dialect.AnswerHead(dialect.AnswerKind.FOREIGN, failed_address)
    content_type = (head.header(b"content-type") or b"").lower()
    if head.status == 200 and content_type.startswith(b"text/event-stream"):
        return dialect.AnswerHead(dialect.AnswerKind.STREAM, failed_address, statement)
    return dialect.AnswerHead(
        dialect.AnswerKind.ANSWER,
        failed_address,
        statement,
        has_refusal_status=head.status in _NOT_RUN_STATUSES,
    )


def encode_peer_request(passed_on: dialect.PeerRequest) -> messages.Request:
    """Encode a request to another entry: as the caller sent it, with the time that is left."""
    request = passed_on.request
    headers = [
        (name, value)
        for name, value in messages.end_to_end_headers(request.headers)
        if name not in wire_names.PEER_HEADERS
    ]
    milliseconds = max(1, int(passed_on.remaining_seconds * 1000))
    headers.append((wire_names.DEADLINE, b"%d" % milliseconds))
    headers.append((wire_names.ATTEMPTS_USED, b"%d" % passed_on.attempts_used))
    if passed_on.last_event_id:
        headers.append((wire_names.LAST_EVENT_ID, passed_on.last_event_id.encode("latin-1")))
    return messages.Request(request.method, request.target, tuple(headers), request.body)


def decode_peer_answer_head(head: client.Head, request_id: str) -> dialect.AnswerHead:
    """Decode the head of another entry's answer to the request ``request_id``."""
    if head.header(wire_names.SIGNATURE) is not None:
        # What the server states of itself is known to the other entry, and reported by it.
        answer_head = decode_answer_head(head, request_id)
        return dialect.AnswerHead(
            answer_head.kind, has_refusal_status=answer_head.has_refusal_status
        )
    if head.status in (*_NOT_RUN_STATUSES, *_TOO_LARGE_STATUSES):
        times = [value for name, value in head.headers if name == wire_names.RETRY_AFTER]
        return dialect.AnswerHead(
            dialect.AnswerKind.NOT_RUN,
            retry_after_seconds=max(_decode_decimals(times), default=0.0),
        )
    if head.status < 400:
        return dialect.AnswerHead(dialect.AnswerKind.FOREIGN)
    return dialect.AnswerHead(dialect.AnswerKind.ANSWER)


def _decode_statement(head: client.Head) -> statements.ServerStatement:
    # A control host, which reads no answers, doesn't import it.
    from flamingoramp.routing import statements

    limits = [value for name, value in head.headers if name == wire_names.SERVER_LIMIT]
    is_refusal = head.header(wire_names.NOT_RUN) is not None
    times = [value for name, value in head.headers if name == wire_names.RETRY_AFTER]
    closing_times = [
        seconds for seconds in _decode_decimals(times) if seconds <= statements.MAX_CLOSED_SECONDS
    ]
    return statements.ServerStatement(
        # The strictest of several values holds.
        limit=min(_decode_decimals(limits), default=None) if limits else math.inf,
        leaving=head.header(wire_names.SERVER_LEAVING) == b"1",
        closed_seconds=max(closing_times, default=0.0) if head.status == 503 else 0.0,
        is_refusal=is_refusal,
    )


def _decode_decimals(values: list[bytes]) -> list[float]:
    """Return those values of one header that are decimals."""
    return [float(value) for value in values if _DECIMAL.fullmatch(value)]


def encode_memory_command(server: str, body: dict[str, Any]) -> messages.Request:
    """Encode a command that reserves memory at an engine or releases a reservation."""
    headers = (
        (b"host", b"engine"),
        (b"content-type", b"application/json"),
        (wire_names.EXPECTED_SERVER, server.encode("latin-1")),
    )
    return messages.Request(
        b"POST", wire_names.MEMORY_COMMAND_PATH, headers, json.dumps(body).encode()
    )
