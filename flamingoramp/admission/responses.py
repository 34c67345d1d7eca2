"""Rendering of HTTP responses to callers in the format of the OpenAI API."""

from __future__ import annotations

import json
import time
from typing import Any

from flamingoramp import errors
from flamingoramp.backends import sse
from flamingoramp.dispatch import requests
from flamingoramp.runtime import http_server

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def render_head(status: int, headers: dict[str, str], length: int | None = None) -> bytes:
    """Return the status line and headers of a response.

    Parameters
    ----------
    status : int
    headers : dict
    length : int, optional
        Length of the body in bytes. If omitted, the end of the connection ends the body.
    """
    lines = [f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Status')}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def render_stream_head(spec: requests.RequestSpec) -> bytes:
    """Return the status line and headers of an event stream."""
    headers = {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "Flamingoramp-Request": spec.request_id,
    }
    return render_head(200, headers)


def render_text_event(spec: requests.RequestSpec, text: str) -> bytes:
    """Return the server-sent event for one chunk of generated text."""
    return sse.encode_event(_chunk(spec, text, None))


def render_stream_end(spec: requests.RequestSpec, chunk_count: int) -> bytes:
    """Return the last events of a stream: the finish reason with the usage, and the end mark."""
    last = _chunk(spec, "", "stop")
    last["usage"] = _usage(spec, chunk_count)
    return sse.encode_event(last) + sse.DONE_EVENT


def render_complete_response(spec: requests.RequestSpec, text: str, chunk_count: int) -> bytes:
    """Return the response to a request that isn't streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if spec.kind is requests.RequestKind.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document = {
        "id": spec.request_id,
        "object": _object_name(spec, ""),
        "created": int(time.time()),
        "model": spec.model,
        "choices": [choice],
        "usage": _usage(spec, chunk_count),
    }
    body = json.dumps(document).encode()
    return render_body(200, "application/json", body, spec)


def render_body(status: int, content_type: str, body: bytes, spec: requests.RequestSpec) -> bytes:
    """Return a response with the given body; the content type defaults to binary data."""
    headers = {
        "Content-Type": content_type or "application/octet-stream",
        "Flamingoramp-Request": spec.request_id,
    }
    return render_head(status, headers, len(body)) + body


def render_error(spec: requests.RequestSpec, error: errors.FlamingorampError) -> bytes:
    """Return the response with the status, headers and JSON body of an error."""
    body = json.dumps(http_server.error_body(error)).encode()
    headers = {
        "Content-Type": "application/json",
        "Flamingoramp-Request": spec.request_id,
        **http_server.error_headers(error),
    }
    return render_head(error.status, headers, len(body)) + body


def render_stream_error(error: errors.FlamingorampError) -> bytes:
    """Return the event that ends a stream after an error."""
    return sse.encode_event(http_server.error_body(error))


def _object_name(spec: requests.RequestSpec, suffix: str) -> str:
    if spec.kind is requests.RequestKind.CHAT:
        return "chat.completion" + suffix
    return "text_completion"


def _chunk(spec: requests.RequestSpec, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if spec.kind is requests.RequestKind.CHAT:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    return {
        "id": spec.request_id,
        "object": _object_name(spec, ".chunk"),
        "created": 0,
        "model": spec.model,
        "choices": [choice],
    }


def _usage(spec: requests.RequestSpec, chunk_count: int) -> dict[str, int]:
    return {
        "prompt_tokens": spec.prompt_tokens,
        "completion_tokens": chunk_count,
        "total_tokens": spec.prompt_tokens + chunk_count,
    }
