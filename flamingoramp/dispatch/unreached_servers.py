"""Servers that one request could not be sent to, since no connection could be established."""

from __future__ import annotations

from collections.abc import Callable

from flamingoramp.protocol import messages

# Failed connections of one request after which it is given up.
MAX_COUNT = 6
# After this many in one availability zone, the request prefers the other zones.
MAX_COUNT_PER_ZONE = 2


class UnreachedServers:
    """Failed connections of one request, which don't count as attempts.

    Parameters
    ----------
    list_servers_of_zone : callable
        Takes a service and an availability zone, returns the names of the servers.
    """

    def __init__(self, list_servers_of_zone: Callable[[str, str], set[str]]):
        self._list_servers_of_zone = list_servers_of_zone
        self._records: list[messages.ServerRecord] = []
        self._avoided: set[str] = set()

    @property
    def avoided(self) -> set[str]:
        """Servers of zones with several failed connections, to be used if no others are left."""
        return self._avoided

    @property
    def may_try_more(self) -> bool:
        """Whether fewer than `MAX_COUNT` connections have failed."""
        return len(self._records) < MAX_COUNT

    def __len__(self) -> int:
        return len(self._records)

    def record(self, server: messages.ServerRecord) -> None:
        """Count a failed connection; avoid the server's zone after several."""
        self._records.append(server)
        if sum(record.zone == server.zone for record in self._records) >= MAX_COUNT_PER_ZONE:
            self._avoided |= self._list_servers_of_zone(server.service, server.zone)
