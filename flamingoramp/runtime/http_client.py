"""Single HTTP requests by pycurl, for the command line and other tools."""

from __future__ import annotations

import io
import json
from typing import Any

import attrs
import pycurl

from flamingoramp import errors


@attrs.frozen
class Response:
    """Answer to a request."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: tuple[str, ...] = (),
    timeout_seconds: float = 10.0,
) -> Response:
    """Send a request and wait for the whole answer.

    Raises
    ------
    flamingoramp.errors.BackendFailedError
        If no whole answer came.
    """
    received = io.BytesIO()
    handle = pycurl.Curl()
    try:
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.HTTPHEADER, ["Expect:", *headers])
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, 2000)
        handle.setopt(pycurl.TIMEOUT_MS, int(timeout_seconds * 1000))
        if body or method == "POST":
            handle.setopt(pycurl.POSTFIELDS, body)
        handle.setopt(pycurl.WRITEDATA, received)
        handle.perform()
        return Response(handle.getinfo(pycurl.RESPONSE_CODE), received.getvalue())
    except pycurl.error as error:
        raise errors.BackendFailedError(f"{url}: {error.args[1]}") from error
    finally:
        handle.close()
