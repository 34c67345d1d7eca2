"""Sessions of entries at the leading control replica, and the choice of shard owners."""

from __future__ import annotations

import functools
import hashlib

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import messages

RENDEZVOUS_CACHE_SIZE = 65_536


@attrs.frozen
class SessionRecord:
    """What an entry last told; ``seen`` is on the leader's clock, in seconds."""

    heartbeat: messages.SessionHeartbeat
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
def rendezvous_score(place: str, item: str) -> int:
    """Return the weight of a place for an item in rendezvous hashing."""
    digest = hashlib.blake2b(f"{place}|{item}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.frozen
class ClusterTable:
    """Owners of shards and addresses of entries; the version follows from the contents."""

    version: int = 0
    shards: tuple[messages.ShardOwner, ...] = ()
    entries: tuple[messages.EntryAddress, ...] = ()


def make_cluster_table(
    shards: tuple[messages.ShardOwner, ...], entries: tuple[messages.EntryAddress, ...]
) -> ClusterTable:
    """Return a table; all leaders give the same contents the same version."""
    digest = hashlib.blake2b(repr((shards, entries)).encode(), digest_size=8).digest()
    return ClusterTable(int.from_bytes(digest, "big"), shards, entries)


class SessionTable:
    """Entries that hold a configuration lease, as one leader knows them.

    Parameters
    ----------
    lease_seconds : float
        Lease that a heartbeat's answer grants, from the time the heartbeat was sent.
    clock_rate_bound : float
        Largest difference between the rates of two clocks, as a ratio.
    """

    def __init__(self, *, lease_seconds: float, clock_rate_bound: float):
        self._lease_seconds = lease_seconds
        self._longest_lease = lease_seconds * (1 + clock_rate_bound)
        self._sessions: dict[str, SessionRecord] = {}
        self._leading_since = float("inf")

    def start_term(self, now: float) -> None:
        """Start as a new leader that knows no session."""
        self._sessions = {}
        self._leading_since = now

    def handle(self, heartbeat: messages.SessionHeartbeat, now: float) -> None:
        """Renew a session."""
        self._sessions[heartbeat.entry] = SessionRecord(heartbeat, now)

    def live_sessions(self, now: float) -> list[SessionRecord]:
        """Return the sessions whose lease may still run."""
        return [
            one for one in self._sessions.values() if now - one.received_at <= self._longest_lease
        ]

    def holds_all_leases(self, now: float) -> bool:
        """Tell whether every lease of an earlier leader has run out or been renewed here."""
        return now - self._leading_since > self._longest_lease

    def outdated_entries(self, revision: int, now: float) -> list[str]:
        """Return the entries that may still serve by an older revision."""
        return [
            one.heartbeat.entry
            for one in self.live_sessions(now)
            if one.heartbeat.revision < revision
        ]

    def is_in_force(self, revision: int, now: float) -> bool:
        """Tell whether no entry serves by an older revision any more."""
        return self.holds_all_leases(now) and not self.outdated_entries(revision, now)

    def addresses(self, now: float) -> tuple[messages.EntryAddress, ...]:
        """Return the entries that callers may be sent to."""
        return tuple(
            messages.EntryAddress(
                one.heartbeat.entry,
                one.heartbeat.url,
                one.heartbeat.zone,
                one.heartbeat.leaving,
            )
            for one in sorted(self.live_sessions(now), key=lambda one: one.heartbeat.entry)
        )

    def choose_owners(
        self,
        shards: tuple[str, ...],
        owners: dict[str, messages.ShardOwner],
        now: float,
    ) -> tuple[tuple[str, str, str], ...]:
        """Return shard, owner and address for each shard that needs a new owner.

        An owner is replaced once its lease can't run any more, or when it left.
        """
        live = {one.identity: one for one in self.live_sessions(now)}
        candidates = [one for one in live.values() if not one.heartbeat.leaving]
        if not candidates:
            return ()
        changes = []
        load = {one.identity: 0 for one in candidates}
        for shard in shards:
            owner = owners.get(shard)
            if owner is not None and owner.owner in load:
                load[owner.owner] += 1
        for shard in shards:
            owner = owners.get(shard)
            if owner is not None and owner.owner in load:
                continue
            if owner is not None and owner.owner not in live and not self.holds_all_leases(now):
                continue
            chosen = min(
                candidates,
                key=lambda one: (load[one.identity], -rendezvous_score(one.identity, shard)),
            )
            load[chosen.identity] += 1
            changes.append((shard, chosen.identity, chosen.heartbeat.inner))
        return tuple(changes)
