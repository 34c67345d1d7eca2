"""Announcements of a stand-in to the entries."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from flamingoramp.backends import transfers
from flamingoramp.runtime import loop as loops

INTERVAL_SECONDS = 0.5
SILENCE_SECONDS = 1.0
TRIES = 3


class Announcer:
    """Posts what a backend server tells of itself to one entry, to the next if that one fails.

    Parameters
    ----------
    loop : loops.Loop
    entries : list of str
        Base URLs of entries to begin with; answers name the others.
    describe : callable
        Returns the announcement without its sequence number.
    rng : random.Random
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        entries: list[str],
        describe: Callable[[], dict[str, Any]],
        rng: random.Random,
    ):
        self._loop = loop
        self._entries = rng.sample(list(entries), len(entries))
        self._describe = describe
        self._rng = rng
        self._transfers = transfers.TransferClient(loop)
        self._sequence = 0
        self.silent = False
        loop.call_later(rng.uniform(0, INTERVAL_SECONDS), self._repeat)

    def announce(self) -> None:
        """Announce now."""
        if self.silent:
            return
        self._sequence += 1
        body = json.dumps({**self._describe(), "sequence": self._sequence}).encode()
        self._post(self._entries[0], body, tries=TRIES)

    def _repeat(self) -> None:
        self._loop.call_later(INTERVAL_SECONDS, self._repeat)
        self.announce()

    def _post(self, url: str, body: bytes, tries: int) -> None:
        received = bytearray()

        def end(ending: transfers.TransferOutcome, status: int) -> None:
            if ending is transfers.TransferOutcome.COMPLETE and status == 200:
                self._learn(json.loads(received))
                return
            if url == self._entries[0]:
                self._entries.append(self._entries.pop(0))
            if tries > 1:
                self._post(self._entries[0], body, tries - 1)

        call = transfers.HttpRequest(
            url=f"{url}/v1/announce",
            body=body,
            headers=("Content-Type: application/json",),
            idle_timeout_seconds=SILENCE_SECONDS,
        )
        self._transfers.start(call, on_data=received.extend, on_end=end)

    def _learn(self, answer: dict[str, Any]) -> None:
        if answer["entries"]:
            self._entries = answer["entries"]
