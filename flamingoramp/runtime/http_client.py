"""Blocking HTTP requests through pycurl, for the command line and other tools."""

from __future__ import annotations

import io
import json
from typing import Any

import attrs
import pycurl

from flamingoramp import errors
from flamingoramp.runtime import response_heads


@attrs.frozen
class Response:
    """Response to an HTTP request."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON document of the body."""
        return json.loads(self.body)


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: tuple[str, ...] = (),
    timeout_seconds: float = 10.0,
) -> Response:
    """Send a request and wait for the complete response.

    Raises
    ------
    flamingoramp.errors.BackendFailedError
        If no complete response arrived within the timeout.
    """
    response_body = io.BytesIO()
    head = response_heads.ResponseHead()
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *headers])
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, 2000)
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_seconds * 1000))
        if body or method == "POST":
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.HEADERFUNCTION, head.handle_line)
        curl.setopt(pycurl.WRITEDATA, response_body)
        curl.perform()
        missing_bytes = len(body) - curl.getinfo(pycurl.SIZE_UPLOAD)
        if not head.is_whole(missing_request_bytes=missing_bytes):
            raise errors.BackendFailedError(f"{url}: the response was cut off or has no status")
        return Response(head.status, response_body.getvalue())
    except pycurl.error as error:
        raise errors.BackendFailedError(f"{url}: {error.args[1]}") from error
    finally:
        curl.close()
