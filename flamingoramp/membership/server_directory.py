"""Backend servers that announced themselves, as leases.

An announcement counts by incarnation, then sequence number; of two with equal numbers the leaving
one counts. A server that is silent for the lease, or leaves, gets no new work.
"""

from __future__ import annotations

import enum

import attrs

from flamingoramp.protocol import messages

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
    """A backend server's last announcement and its lease; times on the owner's clock."""

    announcement: messages.Announcement
    renewed_at: float
    lapsed: bool = False

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Order among announcements of the same server."""
        return precedence(self.announcement)


def precedence(announcement: messages.Announcement) -> tuple[int, int, bool]:
    """Return the order of an announcement among those of its server."""
    return (announcement.incarnation, announcement.sequence, announcement.leaving)


class ServerDirectory:
    """All announced backend servers.

    Parameters
    ----------
    lease_seconds : float
        Silence after which a server gets no new work.
    """

    def __init__(self, lease_seconds: float):
        self._lease_seconds = lease_seconds
        self._members: dict[str, Member] = {}

    def find(self, server: str) -> Member | None:
        """Return a server, also one whose lease has lapsed."""
        return self._members.get(server)

    def handle(self, announcement: messages.Announcement, now: float) -> AnnouncementEffect:
        """Take an announcement in."""
        known = self._members.get(announcement.server)
        if known is None:
            self._members[announcement.server] = Member(announcement, now)
            return AnnouncementEffect.LEAVING if announcement.leaving else AnnouncementEffect.JOINED
        if precedence(announcement) <= known.precedence:
            return AnnouncementEffect.STALE
        restarted = announcement.incarnation > known.announcement.incarnation
        rejoined = known.lapsed
        began_leaving = announcement.leaving and not known.announcement.leaving
        known.announcement = announcement
        known.renewed_at = now
        known.lapsed = False
        if restarted:
            return AnnouncementEffect.RESTARTED
        if began_leaving:
            return AnnouncementEffect.LEAVING
        return AnnouncementEffect.JOINED if rejoined else AnnouncementEffect.RENEWED

    def expire(self, now: float) -> list[str]:
        """Mark the servers whose lease ended and return their names, each once."""
        lapsed = []
        for server, member in list(self._members.items()):
            silence = now - member.renewed_at
            if silence > self._lease_seconds and not member.lapsed:
                member.lapsed = True
                lapsed.append(server)
            if silence > TOMBSTONE_SECONDS:
                del self._members[server]
        return lapsed

    def is_live(self, server: str, now: float) -> bool:
        """Tell whether a server may get new work."""
        member = self._members.get(server)
        if member is None or member.lapsed or member.announcement.leaving:
            return False
        return now - member.renewed_at <= self._lease_seconds

    def live_announcements(self, now: float) -> list[messages.Announcement]:
        """Return the last announcements of all servers that may get new work."""
        return [
            member.announcement
            for server, member in self._members.items()
            if self.is_live(server, now)
        ]

    def members(self) -> list[Member]:
        """Return all servers that are remembered."""
        return list(self._members.values())
