"""Periodic announcements of a stand-in backend server to the entries."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from flamingoramp.backends import transfers
from flamingoramp.runtime import loop as loops

ANNOUNCE_INTERVAL_SECONDS = 0.5
IDLE_TIMEOUT_SECONDS = 1.0
MAX_TRIES = 3


class Announcer:
    """Posts the state of a backend server to one entry, and to the next if that entry fails.

    Parameters
    ----------
    loop : loops.Loop
    entries : list of str
        Base URLs of the first entries to try; each response lists the current entries.
    describe : callable
        Returns the fields of the announcement, without its sequence number.
    rng : random.Random
        Source of the order of the entries and of the first delay.
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
        self._http_client = transfers.TransferClient(loop)
        self._sequence_number = 0
        self.is_paused = False
        loop.call_later(rng.uniform(0, ANNOUNCE_INTERVAL_SECONDS), self._announce_periodically)

    def announce(self) -> None:
        """Send an announcement now, unless ``is_paused`` is set."""
        if self.is_paused:
            return
        self._sequence_number += 1
        body = json.dumps({**self._describe(), "sequence": self._sequence_number}).encode()
        self._post(self._entries[0], body, tries_left=MAX_TRIES)

    def _announce_periodically(self) -> None:
        self._loop.call_later(ANNOUNCE_INTERVAL_SECONDS, self._announce_periodically)
        self.announce()

    def _post(self, url: str, body: bytes, tries_left: int) -> None:
        received = bytearray()

        def _handle_end(outcome: transfers.TransferOutcome, status: int) -> None:
            if outcome is transfers.TransferOutcome.COMPLETE and status == 200:
                self._update_entries(json.loads(received))
                return
            if url == self._entries[0]:
                self._entries.append(self._entries.pop(0))
            if tries_left > 1:
                self._post(self._entries[0], body, tries_left - 1)

        request = transfers.HttpRequest(
            url=f"{url}/v1/announce",
            body=body,
            headers=("Content-Type: application/json",),
            idle_timeout_seconds=IDLE_TIMEOUT_SECONDS,
        )
        self._http_client.start(request, on_data=received.extend, on_end=_handle_end)

    def _update_entries(self, response: dict[str, Any]) -> None:
        if response["entries"]:
            self._entries = response["entries"]
