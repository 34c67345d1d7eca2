"""Turns in which connections parse what they have received, if that takes long."""

from __future__ import annotations

import heapq
import itertools
from typing import Protocol

from flamingoramp.runtime import loop as loops

# Each event takes some microseconds, whether it has one byte of a body or many.
MAX_EVENTS_PER_TURN = 512


class Parser(Protocol):
    """A connection with received bytes that are not parsed yet."""

    def take_turn(self, max_events: int) -> None:
        """Parse up to so many events; a parser that isn't through asks for another turn."""


class ParseTurns:
    """Gives one parser a turn in each iteration of the loop, so that other callers are served.

    The parser that has parsed the fewest events is next: a request in a few parts is not held up
    by bodies in very small chunks.
    """

    def __init__(self, loop: loops.Loop):
        self._loop = loop
        self._waiting: list[tuple[int, int, Parser]] = []
        self._numbers = itertools.count()
        self._is_scheduled = False

    def wait(self, parser: Parser, event_count: int) -> None:
        """Let a parser wait for its turn; ``event_count`` is what it has parsed so far."""
        heapq.heappush(self._waiting, (event_count, next(self._numbers), parser))
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(0.0, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        _, _, parser = heapq.heappop(self._waiting)
        try:
            parser.take_turn(MAX_EVENTS_PER_TURN)
        finally:
            self._schedule()
