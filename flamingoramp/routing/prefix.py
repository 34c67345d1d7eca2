"""Estimate of the prompt prefixes in each backend server's cache.

It is built from the servers' cache events, which arrive late and with gaps, and from the requests
sent to them. A gap in the sequence numbers means that evictions may be missing, so the less
recently used half of a server's prefixes is discarded.
"""

from __future__ import annotations

import collections

from flamingoramp.protocol import shard_messages

MAX_CACHED_PREFIX_COUNT = 4096
FIRST_BLOCK_TOKENS = 1024


def prefix_tokens(position: int) -> int:
    """Return the length in tokens of the prefix whose hash is at this position, from 0."""
    return FIRST_BLOCK_TOKENS << position


class PrefixView:
    """Prefix hashes that each server probably caches, least recently used first."""

    def __init__(self):
        self._hashes: dict[str, collections.OrderedDict[int, None]] = {}
        self._sequences: dict[str, int] = {}

    def handle(self, announcement: shard_messages.Announcement) -> None:
        """Apply the cache events of an announcement."""
        server = announcement.server
        cached = self._hashes.setdefault(server, collections.OrderedDict())
        expected_sequence = self._sequences.get(server, announcement.cache_sequence) + 1
        changed = announcement.cached or announcement.evicted
        if changed and announcement.cache_sequence > expected_sequence:
            for _ in range(len(cached) // 2):
                cached.popitem(last=False)
        self._sequences[server] = announcement.cache_sequence
        for prefix_hash in announcement.evicted:
            cached.pop(prefix_hash, None)
        self.add(server, announcement.cached)

    def add(self, server: str, hashes: tuple[int, ...]) -> None:
        """Add prefixes that a server has in its cache or is about to compute."""
        cached = self._hashes.setdefault(server, collections.OrderedDict())
        for prefix_hash in hashes:
            cached[prefix_hash] = None
            cached.move_to_end(prefix_hash)
        while len(cached) > MAX_CACHED_PREFIX_COUNT:
            cached.popitem(last=False)

    def discard(self, server: str) -> None:
        """Discard all prefixes of a server, for one that restarted or is gone."""
        self._hashes.pop(server, None)
        self._sequences.pop(server, None)

    def cached_tokens(self, server: str, hashes: tuple[int, ...]) -> int:
        """Return the length in tokens of the longest given prefix that a server probably caches."""
        cached = self._hashes.get(server)
        if not cached:
            return 0
        for position in range(len(hashes) - 1, -1, -1):
            if hashes[position] in cached:
                return prefix_tokens(position)
        return 0
