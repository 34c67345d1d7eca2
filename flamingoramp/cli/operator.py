"""Requests of operators to the control replicas."""

from __future__ import annotations

import json
import time
from typing import Any

from flamingoramp import errors
from flamingoramp.runtime import http_client
from flamingoramp.runtime import settings as settings_module

LEADER_WAIT_SECONDS = 10.0
RETRY_SECONDS = 0.3
CONFIRM_TIMEOUT_SECONDS = 20.0


class ControlClient:
    """Finds the leading control replica and asks it.

    A change is sent again with the same operation id until an answer comes, which is safe because
    control remembers the ids.
    """

    def __init__(self, settings: settings_module.Settings):
        self._urls = [host.control_url for host in settings.control_hosts]

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request to the leader.

        Raises
        ------
        flamingoramp.errors.FlamingorampError
            The leader's refusal, or the last failure if no replica leads.
        """
        deadline = time.monotonic() + LEADER_WAIT_SECONDS
        while True:
            failure: errors.FlamingorampError = errors.NotLeaderError("no control replica leads")
            for url in self._urls:
                try:
                    return _ask_one(url, method, path, body)
                except (errors.NotLeaderError, errors.BackendFailedError) as error:
                    failure = error
            if time.monotonic() > deadline:
                raise failure
            time.sleep(RETRY_SECONDS)

    def status(self) -> list[Any]:
        """Return the status of each control replica that answers."""
        found = []
        for url in self._urls:
            try:
                found.append(_ask_one(url, "GET", "/v1/status", None))
            except errors.FlamingorampError as error:
                found.append({"url": url, "error": error.code})
        return found


def _ask_one(url: str, method: str, path: str, body: Any) -> Any:
    data = b"" if body is None else json.dumps(body).encode()
    answer = http_client.fetch(
        url + path,
        method=method,
        body=data,
        headers=("Content-Type: application/json",),
        timeout_seconds=CONFIRM_TIMEOUT_SECONDS,
    )
    document = answer.json()
    if answer.status >= 400:
        error = document["error"]
        raise errors.make_error(error["code"], error["message"], retry_after=error["retry_after"])
    return document
