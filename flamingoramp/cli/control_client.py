"""Client for operators' requests to the control replicas."""

from __future__ import annotations

import json
import time
from concurrent import futures
from typing import Any

from flamingoramp import errors
from flamingoramp.runtime import http_client
from flamingoramp.runtime import settings as settings_module

NO_LEADER_TIMEOUT_SECONDS = 10.0
STATUS_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.3
REQUEST_TIMEOUT_SECONDS = 20.0
TOTAL_TIMEOUT_SECONDS = 45.0


class ControlClient:
    """Finds the leading control replica and sends requests to it.

    All control hosts are queried in parallel for the leader, so that one that doesn't answer
    doesn't block the others. A change is sent again with the same operation id until an answer
    comes, which is safe because control stores the ids and applies a change once.
    """

    def __init__(self, settings: settings_module.Settings):
        self._urls = [host.control_url for host in settings.control_hosts]

    def request(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request to the leader and return its parsed JSON answer.

        Raises
        ------
        flamingoramp.errors.FlamingorampError
            The leader's error, or the last failure if no leader answers in time.
        """
        failure: errors.FlamingorampError = errors.NotLeaderError(
            "no control replica answered as the leader"
        )
        deadline = time.monotonic() + NO_LEADER_TIMEOUT_SECONDS
        latest_deadline = time.monotonic() + TOTAL_TIMEOUT_SECONDS
        while True:
            url = self._find_leader()
            if url:
                started_at = time.monotonic()
                try:
                    return _send_request(url, method, path, body)
                except (errors.NotLeaderError, errors.BackendFailedError) as error:
                    failure = error
                # A leader that didn't answer must not use up the time for finding the next one.
                deadline = min(latest_deadline, deadline + time.monotonic() - started_at)
            if time.monotonic() > deadline:
                raise failure
            time.sleep(RETRY_INTERVAL_SECONDS)

    def fetch_statuses(self) -> list[Any]:
        """Return the status of each control replica, or its URL and an error code."""
        with futures.ThreadPoolExecutor(max(1, len(self._urls))) as pool:
            return list(pool.map(_fetch_status, self._urls))

    def _find_leader(self) -> str:
        statuses = zip(self._urls, self.fetch_statuses(), strict=True)
        leaders = [(status["term"], url) for url, status in statuses if status.get("leads")]
        return max(leaders)[1] if leaders else ""


def _fetch_status(url: str) -> Any:
    try:
        return _send_request(url, "GET", "/v1/status", None, timeout_seconds=STATUS_TIMEOUT_SECONDS)
    except errors.FlamingorampError as error:
        return {"url": url, "error": error.code}


def _send_request(
    url: str,
    method: str,
    path: str,
    body: Any,
    *,
    timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
) -> Any:
    data = b"" if body is None else json.dumps(body).encode()
    answer = http_client.fetch(
        url + path,
        method=method,
        body=data,
        headers=("Content-Type: application/json",),
        timeout_seconds=timeout_seconds,
    )
    document = answer.json()
    if answer.status >= 400:
        error = document["error"]
        raise errors.error_from_code(
            error["code"], error["message"], retry_after=error["retry_after"]
        )
    return document
