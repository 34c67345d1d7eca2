"""Sessions of entries at the leading control replica, and the choice of shard owners."""

from __future__ import annotations

import functools
import hashlib

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages

RENDEZVOUS_CACHE_SIZE = 65_536


@attrs.frozen
class SessionRecord:
    """Last heartbeat of an entry, and its arrival on the leader's clock, in seconds."""

    heartbeat: shard_messages.SessionHeartbeat
    received_at: float

    @property
    def identity(self) -> str:
        """Entry and incarnation."""
        return f"{self.heartbeat.entry}#{self.heartbeat.incarnation}"


def choose_shard(service: declarations.ServiceDeclaration, server: str) -> str:
    """Return the shard that a backend server belongs to."""
    shards = declarations.service_shards(service.name, service.shards)
    return max(shards, key=lambda shard: rendezvous_score(shard, server))


@functools.lru_cache(maxsize=RENDEZVOUS_CACHE_SIZE)
def rendezvous_score(node: str, item: str) -> int:
    """Return the score of a node for an item in rendezvous hashing; the highest is chosen."""
    digest = hashlib.blake2b(f"{node}|{item}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.frozen
class ClusterTable:
    """Owners of shards and addresses of entries; the version is a hash of the other fields.

    With ``is_partial`` there may be entries that aren't listed, as they have sent no heartbeat to
    this leader yet.
    """

    version: int = 0
    shards: tuple[shard_messages.ShardOwner, ...] = ()
    entries: tuple[shard_messages.EntryAddress, ...] = ()
    is_partial: bool = False


def make_cluster_table(
    shards: tuple[shard_messages.ShardOwner, ...],
    entries: tuple[shard_messages.EntryAddress, ...],
    *,
    is_partial: bool,
) -> ClusterTable:
    """Return a table; all leaders give the same contents the same version."""
    contents = repr((shards, entries, is_partial)).encode()
    digest = hashlib.blake2b(contents, digest_size=8).digest()
    return ClusterTable(int.from_bytes(digest, "big"), shards, entries, is_partial)


class SessionTable:
    """Configuration leases that a leader has granted to entries.

    Parameters
    ----------
    lease_seconds : float
        Lease that the response to a heartbeat grants, counted from sending the heartbeat.
    clock_rate_bound : float
        Largest difference between the rates of two clocks, as a ratio.
    """

    def __init__(self, *, lease_seconds: float, clock_rate_bound: float):
        self._lease_seconds = lease_seconds
        self._max_lease_seconds = lease_seconds * (1 + clock_rate_bound)
        self._sessions: dict[str, SessionRecord] = {}
        self._term_started_at = float("inf")

    def start_term(self, now: float) -> None:
        """Start without sessions, when this replica becomes leader."""
        self._sessions = {}
        self._term_started_at = now

    def handle(self, heartbeat: shard_messages.SessionHeartbeat, now: float) -> None:
        """Start or renew the session of an entry."""
        self._sessions[heartbeat.entry] = SessionRecord(heartbeat, now)

    def live_sessions(self, now: float) -> list[SessionRecord]:
        """Return the sessions whose lease may not have expired yet on the entry's clock."""
        return [
            session
            for session in self._sessions.values()
            if now - session.received_at <= self._max_lease_seconds
        ]

    def holds_all_leases(self, now: float) -> bool:
        """Return whether all leases of earlier leaders have expired or been renewed here."""
        return now - self._term_started_at > self._max_lease_seconds

    def is_partial(self, now: float) -> bool:
        """Return whether entries may hold a lease that have sent no heartbeat to this leader."""
        return not self.holds_all_leases(now)

    def outdated_entries(self, revision: int, now: float) -> list[str]:
        """Return the entries that may still use a revision before the given one."""
        return [
            session.heartbeat.entry
            for session in self.live_sessions(now)
            if session.heartbeat.revision < revision
        ]

    def is_in_force(self, revision: int, now: float) -> bool:
        """Return whether no entry can be using an older revision any more."""
        return self.holds_all_leases(now) and not self.outdated_entries(revision, now)

    def addresses(self, now: float) -> tuple[shard_messages.EntryAddress, ...]:
        """Return the addresses of the entries whose lease may not have expired yet."""
        return tuple(
            shard_messages.EntryAddress(
                session.heartbeat.entry,
                session.heartbeat.url,
                session.heartbeat.zone,
                session.heartbeat.leaving,
            )
            for session in sorted(
                self.live_sessions(now), key=lambda session: session.heartbeat.entry
            )
        )

    def choose_owners(
        self,
        shards: tuple[str, ...],
        owners: dict[str, shard_messages.ShardOwner],
        now: float,
    ) -> tuple[tuple[str, str, str], ...]:
        """Return (shard, owner, address) for each shard that needs a new owner.

        An owner is replaced as soon as it is leaving, or once its lease has certainly expired.
        """
        live_by_identity = {session.identity: session for session in self.live_sessions(now)}
        candidates = [
            session for session in live_by_identity.values() if not session.heartbeat.leaving
        ]
        if not candidates:
            return ()
        changes = []
        load = {session.identity: 0 for session in candidates}
        for shard in shards:
            owner = owners.get(shard)
            if owner is not None and owner.owner in load:
                load[owner.owner] += 1
        for shard in shards:
            owner = owners.get(shard)
            if owner is not None and owner.owner in load:
                continue
            if (
                owner is not None
                and owner.owner not in live_by_identity
                and not self.holds_all_leases(now)
            ):
                continue
            chosen = min(
                candidates,
                key=lambda session: (
                    load[session.identity],
                    -rendezvous_score(session.identity, shard),
                ),
            )
            load[chosen.identity] += 1
            changes.append((shard, chosen.identity, chosen.heartbeat.inner))
        return tuple(changes)
