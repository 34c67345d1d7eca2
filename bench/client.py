"""A caller: address look-up, open-loop requests, checks of whole answers."""

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
    """A request to send; ``at`` is in seconds from the start."""

    at: float
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
    """What came of a request; times in seconds from its sending."""

    request: ScheduledRequest
    entry: str = ""
    first_token: float = 0.0
    finished: float = 0.0
    text: str = ""
    correct: bool = False
    status: int = 0
    error: str = ""
    outcome: str = ""
    retry_after: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the whole, right answer came."""
        return self.correct

    @property
    def refused(self) -> bool:
        """Whether a typed error came."""
        return bool(self.error) and bool(self.outcome)


def make_prompt(request: ScheduledRequest) -> str:
    """Return the text of a prompt of about the planned length."""
    shared = _fill(request.shared_prefix, request.shared_tokens)
    return shared + _fill(request.prompt_seed, request.prompt_tokens - request.shared_tokens)


def _fill(seed: str, tokens: int) -> str:
    unit = hashlib.blake2b(seed.encode(), digest_size=8).hexdigest()
    return (unit * (tokens * BYTES_PER_TOKEN // len(unit) + 1))[: max(0, tokens) * BYTES_PER_TOKEN]


class AddressBook:
    """The addresses that callers use, kept for the time that the system allows."""

    def __init__(self, loop: loops.Loop, first: list[str], rng: random.Random, *, fixed: bool):
        self._loop = loop
        self._known = list(first)
        self._rng = rng
        self._fresh_until = float("inf") if fixed else 0.0

    def choose(self) -> str:
        """Return the base URL of an entry."""
        if self._loop.now() > self._fresh_until:
            self._refresh()
        return self._rng.choice(self._known)

    def _refresh(self) -> None:
        for url in self._rng.sample(self._known, len(self._known)):
            try:
                answer = http_client.fetch(url + "/v1/addresses", timeout_seconds=1)
            except Exception:  # noqa: S112
                continue
            if answer.status == 200:
                document = answer.json()
                self._known = [one["url"] for one in document["addresses"]]
                self._fresh_until = self._loop.now() + document["max_age_seconds"]
                return


class LoadClient:
    """Sends planned requests at their times, whether or not earlier ones were answered.

    Parameters
    ----------
    entries : list of str
        Base URLs to ask for addresses first.
    seed : int
    fixed : bool
        Whether to use the given addresses alone.
    """

    def __init__(self, entries: list[str], seed: int, *, fixed: bool = False):
        self.loop = loops.Loop()
        self._transfers = transfers.Transfers(self.loop)
        self._book = AddressBook(self.loop, entries, random.Random(seed), fixed=fixed)
        self.results: list[Result] = []
        self._open = 0

    def run(
        self,
        plan: list[ScheduledRequest],
        *,
        actions: list[tuple[float, Callable[[], None]]] = (),
        on_progress: Callable[[int, int], None] = lambda _done, _all: None,
        deadline_seconds: float = 120.0,
    ) -> list[Result]:
        """Send all requests and wait for their outcomes.

        Parameters
        ----------
        plan : list of Planned
        actions : list of (float, callable)
            Faults to provoke, with their times in seconds.
        on_progress : callable
            Takes finished and planned counts, once a second.
        deadline_seconds : float
            Time after which waiting ends.
        """
        start = self.loop.now()
        for one in plan:
            self.loop.call_later(one.at, lambda one=one: self._send(one))
        for at, action in actions:
            self.loop.call_later(at, action)
        reported = start
        self._open = len(plan)
        while self._open and self.loop.now() - start < deadline_seconds:
            self.loop.run_once(0.2)
            if self.loop.now() - reported > 1:
                reported = self.loop.now()
                on_progress(len(plan) - self._open, len(plan))
        self._transfers.close()
        self.loop.close()
        return self.results

    def _send(self, request: ScheduledRequest) -> None:
        result = Result(request, entry=self._book.choose())
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
        raw = bytearray()

        def receive(received: bytes) -> None:
            if transfer.status != 200:
                raw.extend(received)
                return
            # The closing mark is no JSON document.
            for event in reader.feed(received.replace(sse.DONE, b"")):
                self._take_event(result, event, start)

        def end(ending: transfers.Ending, status: int) -> None:
            self._open -= 1
            result.finished = self.loop.now() - start
            result.status = status
            if raw:
                self._take_error(result, json.loads(raw))
            result.correct = ending is transfers.Ending.COMPLETE and result.text == expected
            if not result.correct and not result.error:
                result.error = ending.value

        transfer = self._transfers.start(
            transfers.Call(
                url=result.entry + "/v1/completions",
                body=data,
                headers=(
                    JSON_HEADER,
                    f"Flamingoramp-Workspace: {request.workspace}",
                    f"Flamingoramp-Time-Limit: {request.time_limit_seconds}",
                ),
            ),
            on_data=receive,
            on_end=end,
        )

    def _take_event(self, result: Result, event: dict[str, Any], start: float) -> None:
        if "error" in event:
            self._take_error(result, event)
            return
        text = event["choices"][0].get("text", "")
        if text and not result.first_token:
            result.first_token = self.loop.now() - start
        result.text += text

    def _take_error(self, result: Result, document: dict[str, Any]) -> None:
        error = document["error"]
        result.error = error["code"]
        result.outcome = error["outcome"]
        result.retry_after = error["retry_after"]
