"""Announcements of a stand-in to the entries."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from flamingoramp.backends import transfers
from flamingoramp.runtime import loop as loops

INTERVAL_SECONDS = 0.5
ENTRIES_AT_ONCE = 2
SILENCE_SECONDS = 1.0


class Announcer:
    """Posts what a backend server tells of itself to two entries at a time.

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
        self._entries = list(entries)
        self._describe = describe
        self._rng = rng
        self._transfers = transfers.Transfers(loop)
        self._chosen: list[str] = []
        self._sequence = 0
        self.silent = False
        loop.call_later(rng.uniform(0, INTERVAL_SECONDS), self._repeat)

    def announce(self) -> None:
        """Announce now."""
        if self.silent:
            return
        self._sequence += 1
        body = json.dumps({**self._describe(), "sequence": self._sequence}).encode()
        while len(self._chosen) < min(ENTRIES_AT_ONCE, len(self._entries)):
            left = [url for url in self._entries if url not in self._chosen]
            self._chosen.append(self._rng.choice(left))
        for url in list(self._chosen):
            self._post(url, body)

    def _repeat(self) -> None:
        self._loop.call_later(INTERVAL_SECONDS, self._repeat)
        self.announce()

    def _post(self, url: str, body: bytes) -> None:
        received = bytearray()

        def end(ending: transfers.Ending, status: int) -> None:
            if ending is transfers.Ending.COMPLETE and status == 200:
                self._learn(json.loads(received))
            elif url in self._chosen:
                self._chosen.remove(url)

        call = transfers.Call(
            url=f"{url}/v1/announce",
            body=body,
            headers=("Content-Type: application/json",),
            silence_seconds=SILENCE_SECONDS,
        )
        self._transfers.start(call, on_data=received.extend, on_end=end)

    def _learn(self, answer: dict[str, Any]) -> None:
        if len(answer["entries"]) >= ENTRIES_AT_ONCE:
            self._entries = answer["entries"]
            self._chosen = [url for url in self._chosen if url in self._entries]
