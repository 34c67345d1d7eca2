"""Open-loop load client: looks up entry addresses, sends requests on schedule, checks answers."""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp.backends import sse, transfers
from flamingoramp.runtime import http_client
from flamingoramp.runtime import loop as loops
from standins import texts

JSON_HEADER = "Content-Type: application/json"
BYTES_PER_TOKEN = 4


@attrs.frozen
class ScheduledRequest:
    """A completion request, sent ``send_at_seconds`` after the start of the run."""

    send_at_seconds: float
    workspace: str
    model: str
    prompt_tokens: int
    output_tokens: int
    prompt_seed: str
    shared_prefix: str = ""
    shared_tokens: int = 0
    time_limit_seconds: float = 60.0
    label: str = ""


@attrs.define
class Result:
    """Outcome of a request; its ``_seconds`` count from the time when it was sent.

    ``correct`` tells whether the answer was complete and equal to the expected text. ``outcome``
    and ``retry_after`` come from the body of an error answer, the latter in seconds; ``error`` is
    its code, or how the transfer ended if there was no such body.
    """

    request: ScheduledRequest
    entry: str = ""
    first_token_seconds: float = 0.0
    finished_seconds: float = 0.0
    text: str = ""
    correct: bool = False
    status: int = 0
    error: str = ""
    outcome: str = ""
    retry_after: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the complete, expected answer arrived."""
        return self.correct

    @property
    def refused(self) -> bool:
        """Whether an error with a code and an outcome arrived."""
        return bool(self.error) and bool(self.outcome)


def make_prompt(request: ScheduledRequest) -> str:
    """Return a reproducible prompt, at `BYTES_PER_TOKEN` bytes for each token of the request.

    Requests with the same ``shared_prefix`` begin with the same ``shared_tokens`` tokens.
    """
    shared = _repeat_to_length(request.shared_prefix, request.shared_tokens)
    return shared + _repeat_to_length(
        request.prompt_seed, request.prompt_tokens - request.shared_tokens
    )


def _repeat_to_length(seed: str, token_count: int) -> str:
    block = hashlib.blake2b(seed.encode(), digest_size=8).hexdigest()
    return (block * (token_count * BYTES_PER_TOKEN // len(block) + 1))[
        : max(0, token_count) * BYTES_PER_TOKEN
    ]


class AddressCache:
    """Entry addresses of ``/v1/addresses``, cached for the ``max_age_seconds`` of the answer.

    Parameters
    ----------
    loop : flamingoramp.runtime.loop.Loop
    initial_urls : list of str
        Base URLs of the entries that are asked first.
    rng : random.Random
    fixed : bool
        Whether to use the initial URLs throughout, without look-ups.
    """

    def __init__(
        self, loop: loops.Loop, initial_urls: list[str], rng: random.Random, *, fixed: bool
    ):
        self._loop = loop
        self._urls = list(initial_urls)
        self._rng = rng
        self._expires_at = float("inf") if fixed else 0.0

    def choose(self) -> str:
        """Return the base URL of a random entry, after a look-up if the cache has expired."""
        if self._loop.now() > self._expires_at:
            self._refresh()
        return self._rng.choice(self._urls)

    def _refresh(self) -> None:
        for url in self._rng.sample(self._urls, len(self._urls)):
            try:
                answer = http_client.fetch(url + "/v1/addresses", timeout_seconds=1)
            except Exception:  # noqa: S112
                continue
            if answer.status == 200:
                document = answer.json()
                self._urls = [address["url"] for address in document["addresses"]]
                self._expires_at = self._loop.now() + document["max_age_seconds"]
                return


class LoadClient:
    """Sends requests at their scheduled times, whether or not earlier ones were answered.

    Parameters
    ----------
    entries : list of str
        Base URLs of the entries that are asked for addresses first.
    seed : int
        Seed of the random choice of an entry for each request.
    fixed : bool
        Whether to send to the given entries only, without look-ups.
    """

    def __init__(self, entries: list[str], seed: int, *, fixed: bool = False):
        self.loop = loops.Loop()
        self._transfers = transfers.TransferClient(self.loop)
        self._address_cache = AddressCache(self.loop, entries, random.Random(seed), fixed=fixed)
        self.results: list[Result] = []
        self._pending_count = 0

    def run(
        self,
        plan: list[ScheduledRequest],
        *,
        actions: list[tuple[float, Callable[[], None]]] = (),
        on_progress: Callable[[int, int], None] = lambda _done, _all: None,
        deadline_seconds: float = 120.0,
    ) -> list[Result]:
        """Send all requests and return the results of those sent before the deadline.

        A client runs once: its loop is closed at the end.

        Parameters
        ----------
        plan : list of ScheduledRequest
        actions : list of (float, callable)
            Times in seconds from the start, and the functions that inject faults at these times.
        on_progress : callable
            Called about once a second with the numbers of finished and of all requests.
        deadline_seconds : float
            Time from the start after which the run ends with requests still pending.
        """
        start = self.loop.now()
        for request in plan:
            self.loop.call_later(
                request.send_at_seconds, lambda request=request: self._send(request)
            )
        for seconds, action in actions:
            self.loop.call_later(seconds, action)
        last_report = start
        self._pending_count = len(plan)
        while self._pending_count and self.loop.now() - start < deadline_seconds:
            self.loop.run_once(0.2)
            if self.loop.now() - last_report > 1:
                last_report = self.loop.now()
                on_progress(len(plan) - self._pending_count, len(plan))
        self._transfers.close()
        self.loop.close()
        return self.results

    def _send(self, request: ScheduledRequest) -> None:
        result = Result(request, entry=self._address_cache.choose())
        self.results.append(result)
        prompt = make_prompt(request)
        expected = texts.expected_answer(prompt, request.output_tokens)
        body = {
            "model": request.model,
            "prompt": prompt,
            "max_tokens": request.output_tokens,
            "stream": True,
        }
        data = json.dumps(body).encode()
        start = self.loop.now()
        reader = sse.EventReader()
        error_body = bytearray()

        def handle_data(received: bytes) -> None:
            if transfer.status != 200:
                error_body.extend(received)
                return
            # The end-of-stream event isn't JSON, which the reader expects.
            for event in reader.feed(received.replace(sse.DONE_EVENT, b"")):
                self._handle_event(result, event, start)

        def handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            self._pending_count -= 1
            result.finished_seconds = self.loop.now() - start
            result.status = status
            if error_body:
                self._record_error(result, json.loads(error_body))
            result.correct = (
                outcome is transfers.TransferOutcome.COMPLETE and result.text == expected
            )
            if not result.correct and not result.error:
                result.error = outcome.value

        transfer = self._transfers.start(
            transfers.HttpRequest(
                url=result.entry + "/v1/completions",
                body=data,
                headers=(
                    JSON_HEADER,
                    f"Flamingoramp-Workspace: {request.workspace}",
                    f"Flamingoramp-Time-Limit: {request.time_limit_seconds}",
                ),
            ),
            on_data=handle_data,
            on_end=handle_end,
        )

    def _handle_event(self, result: Result, event: dict[str, Any], start: float) -> None:
        if "error" in event:
            self._record_error(result, event)
            return
        text = event["choices"][0].get("text", "")
        if text and not result.first_token_seconds:
            result.first_token_seconds = self.loop.now() - start
        result.text += text

    def _record_error(self, result: Result, document: dict[str, Any]) -> None:
        error = document["error"]
        result.error = error["code"]
        result.outcome = error["outcome"]
        result.retry_after = error["retry_after"]
