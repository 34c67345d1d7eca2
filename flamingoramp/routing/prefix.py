"""Which prompt prefixes a backend server probably has in its cache.

The view is fed by cache events, which come late and with gaps, and by what was sent to the server.
A gap in the events' numbers makes the evictions unknown, so that the older half is forgotten.
"""

from __future__ import annotations

import collections

from flamingoramp.protocol import messages

PREFIXES_KEPT = 4096
FIRST_BLOCK_TOKENS = 1024


def prefix_tokens(position: int) -> int:
    """Return the length in tokens of the prefix that a hash at a position covers."""
    return FIRST_BLOCK_TOKENS << position


class PrefixView:
    """Prefix hashes by server, least recently seen first."""

    def __init__(self):
        self._hashes: dict[str, collections.OrderedDict[int, None]] = {}
        self._sequences: dict[str, int] = {}

    def handle(self, announcement: messages.Announcement) -> None:
        """Take in the cache events of an announcement."""
        server = announcement.server
        known = self._hashes.setdefault(server, collections.OrderedDict())
        expected = self._sequences.get(server, announcement.cache_sequence) + 1
        changed = announcement.cached or announcement.evicted
        if changed and announcement.cache_sequence > expected:
            for _ in range(len(known) // 2):
                known.popitem(last=False)
        self._sequences[server] = announcement.cache_sequence
        for prefix in announcement.evicted:
            known.pop(prefix, None)
        self.add(server, announcement.cached)

    def add(self, server: str, hashes: tuple[int, ...]) -> None:
        """Note prefixes that a server has, or is about to have."""
        known = self._hashes.setdefault(server, collections.OrderedDict())
        for prefix in hashes:
            known[prefix] = None
            known.move_to_end(prefix)
        while len(known) > PREFIXES_KEPT:
            known.popitem(last=False)

    def forget(self, server: str) -> None:
        """Forget a server that restarted or is gone."""
        self._hashes.pop(server, None)
        self._sequences.pop(server, None)

    def cached_tokens(self, server: str, hashes: tuple[int, ...]) -> int:
        """Return the length of the longest prefix that the server probably has."""
        known = self._hashes.get(server)
        if not known:
            return 0
        for position in range(len(hashes) - 1, -1, -1):
            if hashes[position] in known:
                return prefix_tokens(position)
        return 0
