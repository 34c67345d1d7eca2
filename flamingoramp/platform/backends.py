"""Announcements of backend servers, requests and orders to them, and the heads of their answers."""

from __future__ import annotations

import json
from typing import Any

from flamingoramp import dialect, errors
from flamingoramp.http import client, messages
from flamingoramp.platform import wire_names
from flamingoramp.protocol import messages as inner

_STATES = ("ready", "draining")


def _read(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.BadRequestError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise errors.BadRequestError("the body is no object")
    return data


def _field(data: dict[str, Any], name: str, kind: type, default: Any = ...) -> Any:
    value = data.get(name, default)
    if value is default and default is not ...:
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise errors.BadRequestError(f"{name}: missing, or of the wrong type")
    return value


def _whole(data: dict[str, Any], name: str, default: Any = ...) -> int:
    value = _field(data, name, int, default)
    if not 0 <= value < 2**63:
        raise errors.BadRequestError(f"{name}: out of range")
    return value


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    numbers = all(part.isdigit() and int(part) < 256 for part in parts)
    if len(parts) != 4 or not numbers or not port.isdigit() or not 0 < int(port) < 65536:
        raise errors.BadRequestError(f"addr: found {address!r}, takes ip:port")


def decode_announcement(server: str, body: bytes) -> inner.ServerRecord:
    """Decode what a server says of itself.

    Raises
    ------
    flamingoramp.errors.BadRequestError
        If it names no server that could be used.
    """
    data = _read(body)
    state = _field(data, "state", str)
    if state not in _STATES:
        raise errors.BadRequestError(f"state: found {state!r}, takes one of {', '.join(_STATES)}")
    address = _field(data, "addr", str)
    _check_address(address)
    return inner.ServerRecord(
        server=server,
        service=_field(data, "service", str),
        address=address,
        zone=_field(data, "zone", str),
        software=_field(data, "version", str, ""),
        slots=min(_whole(data, "slots"), 2**31),
        leaving=state == "draining",
        cold_seconds=_whole(data, "cold_left_ms", 0) / 1000,
        sequence=_whole(data, "seq"),
        born=_whole(data, "born", 0),
    )


def encode_forwarded_request(forward: dialect.ForwardedRequest) -> messages.Request:
    """Encode the request to a server: the caller's own headers and what the system sets."""
    caller = forward.request
    kept = [
        (name, value)
        for name, value in messages.end_to_end(caller.headers)
        if name not in wire_names.OWN_HEADERS
    ]
    kept.append((wire_names.EXPECTED_SERVER, forward.server.server.encode("latin-1")))
    if forward.remaining_seconds is not None:
        milliseconds = max(1, int(forward.remaining_seconds * 1000))
        kept.append((wire_names.DEADLINE, b"%d" % milliseconds))
    if forward.workspace:
        kept.append((wire_names.WORKSPACE, forward.workspace.encode("utf-8")))
    if forward.priority is not None:
        kept.append((wire_names.PRIORITY, b"%d" % forward.priority))
    if forward.last_event_id:
        kept.append((wire_names.LAST_EVENT_ID, forward.last_event_id.encode("latin-1")))
    if forward.helpers:
        listed = ",".join(
            f"{one.address}/{one.ticket}" if one.ticket else one.address for one in forward.helpers
        )
        kept.append((wire_names.HELPERS, listed.encode("latin-1")))
    return messages.Request(caller.method, caller.target, tuple(kept), caller.body)


def decode_answer_head(head: client.Head, request_id: str) -> dialect.AnswerHead:
    """Decode the head of a server's answer."""
    at_fault = (head.header(wire_names.AT_FAULT) or b"").decode("latin-1")
    echoed = head.header(wire_names.REQUEST_ID)
    if echoed is not None and echoed != request_id.encode("latin-1"):
        return dialect.AnswerHead(dialect.AnswerKind.FOREIGN, at_fault)
    if head.header(wire_names.NOT_RUN) is not None or head.status == 421:
        return dialect.AnswerHead(dialect.AnswerKind.NOT_RUN, at_fault)
    signed = head.header(wire_names.SIGNATURE) is not None
    if echoed is None or not signed or head.header(b"content-encoding") is not None:
        return dialect.AnswerHead(dialect.AnswerKind.FOREIGN, at_fault)
    kind = head.header(b"content-type") or b""
    if head.status == 200 and kind.startswith(b"text/event-stream"):
        return dialect.AnswerHead(dialect.AnswerKind.STREAM, at_fault)
    return dialect.AnswerHead(dialect.AnswerKind.ANSWER, at_fault)


def encode_order(server: str, body: dict[str, Any]) -> messages.Request:
    """Encode an order to an engine."""
    headers = (
        (b"host", b"engine"),
        (b"content-type", b"application/json"),
        (wire_names.EXPECTED_SERVER, server.encode("latin-1")),
    )
    return messages.Request(b"POST", wire_names.ORDER_TARGET, headers, json.dumps(body).encode())
