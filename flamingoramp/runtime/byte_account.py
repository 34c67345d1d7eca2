"""Account of the bytes that a process holds for others, bounded by the memory of its machine.

Each connection charges what it holds: what it has received and not yet passed on, the request that
is being served, and output that the peer hasn't taken. Once the sum exceeds the limit, holders give
up what they hold, those first that have the most for the longest time. What a request in progress
needs is never given up, since a server may be at work on it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from flamingoramp import value_classes

# The rest is for the program, its state, and copies that are made while bytes are handled.
MEMORY_RATIO = 0.25
# After a shortage, bytes are given up until this share of the limit is in use, so that the holders
# aren't searched again for each byte that arrives.
TARGET_RATIO = 7 / 8
# Requests that are larger leave this share of the limit to the others.
LARGE_REQUEST_BYTES = 64 * 1024
RESERVED_RATIO = 0.25
# Memory of a connection without data: its objects and its place in the event loop.
CONNECTION_BYTES = 8 * 1024
# What has just arrived counts as held for this long, so that the largest is given up first.
MIN_HELD_SECONDS = 0.01


class Holder(Protocol):
    """A connection that holds bytes for its peer."""

    def reclaimable(self) -> Reclaimable:
        """Return what it could give up now."""

    def give_up(self) -> None:
        """Give up what is reclaimable, and charge what is left."""


@attrs.frozen(eq=False, repr=False)
class Reclaimable(value_classes.Value):
    """Bytes that a holder can give up, and since when it has held them, by the loop's clock."""

    bytes: int = 0
    since: float = 0.0


@attrs.frozen(eq=False, repr=False)
class Refusal(value_classes.Value):
    """A request that the process had no room for, beside what others in progress needed."""

    size_bytes: int
    in_use_bytes: int


@attrs.frozen(eq=False, repr=False)
class Shortage(value_classes.Value):
    """A time at which the limit was exceeded, and what was given up for it.

    ``freed_bytes`` were held by ``holders`` connections, of which the largest held
    ``largest_bytes`` for ``longest_seconds`` at most.
    """

    held_bytes: int
    freed_bytes: int
    holders: int
    largest_bytes: int
    longest_seconds: float


class ByteAccount:
    """Sum of the bytes that the holders of a process have charged.

    Parameters
    ----------
    limit_bytes : int or None
        Sum above which bytes are given up; None for no limit.
    now : callable
        Returns the time of the loop's clock, in seconds.
    on_shortage : callable
        Takes a `Shortage` after bytes were given up.
    on_refusal : callable
        Takes a `Refusal`.
    """

    def __init__(
        self,
        limit_bytes: int | None,
        now: Callable[[], float],
        on_shortage: Callable[[Shortage], None] = lambda _shortage: None,
        on_refusal: Callable[[Refusal], None] = lambda _refusal: None,
    ):
        self._limit_bytes = limit_bytes
        self._now = now
        self._on_shortage = on_shortage
        self._on_refusal = on_refusal
        self._charges: dict[Holder, int] = {}
        # The part of the charges that belongs to requests in progress.
        self._in_use: dict[Holder, int] = {}
        self._held_bytes = 0
        self._in_use_bytes = 0
        self._is_reclaiming = False

    @property
    def limit_bytes(self) -> int | None:
        """Sum above which bytes are given up; None for no limit."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Sum of all charges."""
        return self._held_bytes

    def charge(self, holder: Holder, held_bytes: int, *, in_use_bytes: int = 0) -> None:
        """Set what a holder holds, and how much of it requests in progress need.

        The holder may have given up bytes on return.
        """
        self._held_bytes += held_bytes - self._charges.get(holder, 0)
        self._charges[holder] = held_bytes
        if in_use_bytes or holder in self._in_use:
            self._in_use_bytes += in_use_bytes - self._in_use.pop(holder, 0)
            if in_use_bytes:
                self._in_use[holder] = in_use_bytes
        if self._limit_bytes is not None and self._held_bytes > self._limit_bytes:
            self._reclaim()

    def remove(self, holder: Holder) -> None:
        """Forget a holder, which holds nothing any more."""
        self._held_bytes -= self._charges.pop(holder, 0)
        self._in_use_bytes -= self._in_use.pop(holder, 0)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a request in progress could need so many more bytes.

        What can be given up counts as free.
        """
        return self._fits(self._in_use_bytes, size_bytes)

    def report_refusal(self, size_bytes: int) -> None:
        """Report that a request of so many bytes was refused, since there was no room."""
        self._on_refusal(Refusal(size_bytes, self._in_use_bytes))

    def can_ever_have_room(self, size_bytes: int) -> bool:
        """Return whether a request could need so many bytes if there were no others."""
        return self._fits(0, size_bytes)

    def _fits(self, in_use_bytes: int, size_bytes: int) -> bool:
        if self._limit_bytes is None:
            return True
        is_large = size_bytes > LARGE_REQUEST_BYTES
        limit_bytes = self._limit_bytes * (1 - RESERVED_RATIO if is_large else 1)
        return in_use_bytes + size_bytes <= limit_bytes

    def _reclaim(self) -> None:
        """Let holders give up bytes until `TARGET_RATIO` of the limit is held."""
        if self._is_reclaiming:
            return  # a holder charges what it has left
        self._is_reclaiming = True
        now = self._now()
        held_bytes = self._held_bytes
        given_up: list[Reclaimable] = []
        try:
            candidates = [(holder.reclaimable(), holder) for holder in self._charges]
            candidates = [candidate for candidate in candidates if candidate[0].bytes]
            candidates.sort(key=lambda candidate: _weigh(candidate[0], now), reverse=True)
            for reclaimable, holder in candidates:
                if self._held_bytes <= self._limit_bytes * TARGET_RATIO:
                    break
                if holder in self._charges:  # another one's end may have removed it
                    given_up.append(reclaimable)
                    holder.give_up()
        finally:
            self._is_reclaiming = False
        if given_up:
            self._on_shortage(
                Shortage(
                    held_bytes,
                    freed_bytes=held_bytes - self._held_bytes,
                    holders=len(given_up),
                    largest_bytes=max(item.bytes for item in given_up),
                    longest_seconds=now - min(item.since for item in given_up),
                )
            )


def limit_for(memory_bytes: int) -> int:
    """Return the limit of an account on a machine with so much memory."""
    return int(memory_bytes * MEMORY_RATIO)


def _weigh(reclaimable: Reclaimable, now: float) -> float:
    """Return bytes times seconds, by which a stalled peer comes before a fast one."""
    return reclaimable.bytes * max(now - reclaimable.since, MIN_HELD_SECONDS)
