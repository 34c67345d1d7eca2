"""Leases of backend servers, renewed by their announcements.

Announcements of a server are ordered by incarnation, then by sequence number; of two with equal
numbers the one that says the server is leaving is the newer. A server that is leaving, or has not
sent an announcement within the lease, gets no new work.
"""

from __future__ import annotations

import enum

import attrs

from flamingoramp.protocol import shard_messages

# Retention of the last announcement of a server that sends no more; late ones are compared to it.
TOMBSTONE_SECONDS = 120.0


class AnnouncementEffect(enum.Enum):
    """What an announcement changed."""

    STALE = "stale"
    RENEWED = "renewed"
    JOINED = "joined"
    RESTARTED = "restarted"
    LEAVING = "leaving"


@attrs.define
class Member:
    """Last announcement of a backend server, and its arrival on the shard owner's clock."""

    announcement: shard_messages.Announcement
    renewed_at: float
    lapsed: bool = False

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Order among announcements of the same server."""
        return precedence(self.announcement)


def precedence(announcement: shard_messages.Announcement) -> tuple[int, int, bool]:
    """Return the order of an announcement among those of its server."""
    return (announcement.incarnation, announcement.sequence, announcement.leaving)


class ServerDirectory:
    """All announced backend servers.

    Parameters
    ----------
    lease_seconds : float
        Time without an announcement after which a server gets no new work.
    """

    def __init__(self, lease_seconds: float):
        self._lease_seconds = lease_seconds
        self._members: dict[str, Member] = {}

    def find(self, server: str) -> Member | None:
        """Return a server, also one whose lease has lapsed; None if unknown."""
        return self._members.get(server)

    def handle(self, announcement: shard_messages.Announcement, now: float) -> AnnouncementEffect:
        """Process an announcement, which renews the server's lease unless it is stale."""
        member = self._members.get(announcement.server)
        if member is None:
            self._members[announcement.server] = Member(announcement, now)
            return AnnouncementEffect.LEAVING if announcement.leaving else AnnouncementEffect.JOINED
        if precedence(announcement) <= member.precedence:
            return AnnouncementEffect.STALE
        restarted = announcement.incarnation > member.announcement.incarnation
        rejoined = member.lapsed
        began_leaving = announcement.leaving and not member.announcement.leaving
        member.announcement = announcement
        member.renewed_at = now
        member.lapsed = False
        if restarted:
            return AnnouncementEffect.RESTARTED
        if began_leaving:
            return AnnouncementEffect.LEAVING
        return AnnouncementEffect.JOINED if rejoined else AnnouncementEffect.RENEWED

    def expire(self, now: float) -> list[str]:
        """Mark servers whose lease has lapsed and return the names of the newly marked ones."""
        lapsed = []
        for server, member in list(self._members.items()):
            age = now - member.renewed_at
            if age > self._lease_seconds and not member.lapsed:
                member.lapsed = True
                lapsed.append(server)
            if age > TOMBSTONE_SECONDS:
                del self._members[server]
        return lapsed

    def is_live(self, server: str, now: float) -> bool:
        """Return whether a server may get new work."""
        member = self._members.get(server)
        if member is None or member.lapsed or member.announcement.leaving:
            return False
        return now - member.renewed_at <= self._lease_seconds

    def live_announcements(self, now: float) -> list[shard_messages.Announcement]:
        """Return the last announcements of all servers that may get new work."""
        return [
            member.announcement
            for server, member in self._members.items()
            if self.is_live(server, now)
        ]

    def members(self) -> list[Member]:
        """Return all known servers, also leaving ones and those whose lease has lapsed."""
        return list(self._members.values())
