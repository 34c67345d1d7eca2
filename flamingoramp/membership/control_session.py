"""Session of an entry with the control replicas: its lease and the configuration received."""

from __future__ import annotations

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages

# Without a grant for this long, the next heartbeats are sent to another control host.
CONTROL_TIMEOUT_SECONDS = 0.6


@attrs.frozen
class GrantEffect:
    """Parts of an entry's configuration that a grant has changed."""

    declaration_changed: bool = False
    moved_shards: tuple[str, ...] = ()
    suspects_changed: bool = False
    zones_changed: bool = False


class ControlSession:
    """State machine that makes heartbeats for the leading control replica and handles its grants.

    Parameters
    ----------
    heartbeat : shard_messages.SessionHeartbeat
        Template with the constant fields: name, incarnation, addresses and zone.
    control_hosts : tuple of str
    """

    def __init__(self, heartbeat: shard_messages.SessionHeartbeat, control_hosts: tuple[str, ...]):
        self._heartbeat_template = heartbeat
        self._control_hosts = control_hosts
        self._target_index = 0
        self._grant_received_at = float("-inf")
        self._target_since = 0.0
        self._lease_until = float("-inf")
        self._granted_heartbeat_sent_at = float("-inf")
        self._declaration = declarations.Declaration()
        self._revision = 0
        self._shards: dict[str, shard_messages.ShardOwner] = {}
        self._entries: tuple[shard_messages.EntryAddress, ...] = ()
        self._suspects: tuple[shard_messages.Suspect, ...] = ()
        self._suspects_version = 0
        self._table_version = 0
        self._drain_requested = False
        self._evacuated_zones: tuple[str, ...] = ()

    @property
    def target(self) -> str:
        """Control host that heartbeats and claims are sent to."""
        return self._control_hosts[self._target_index]

    @property
    def declaration(self) -> declarations.Declaration:
        """The declaration in use here, which is in force while the lease is valid."""
        return self._declaration

    @property
    def revision(self) -> int:
        """Revision of the declaration in use here; it only grows."""
        return self._revision

    @property
    def shards(self) -> dict[str, shard_messages.ShardOwner]:
        """Owners by shard name."""
        return self._shards

    @property
    def entries(self) -> tuple[shard_messages.EntryAddress, ...]:
        """Addresses of all entries that hold a lease."""
        return self._entries

    def usable_entries(self, *, leaving: bool) -> tuple[shard_messages.EntryAddress, ...]:
        """Return the entries that callers may use: this one, unless it is leaving, and the others.

        The table may lag behind the state of this entry.
        """
        own = self._heartbeat_template
        others = (entry for entry in self._entries if entry.name != own.entry and not entry.leaving)
        if leaving:
            return tuple(others)
        return (shard_messages.EntryAddress(own.entry, own.url, own.zone), *others)

    @property
    def suspects(self) -> tuple[shard_messages.Suspect, ...]:
        """Crash suspects as committed by the control replicas."""
        return self._suspects

    def is_suspect(self, service: str, fingerprint: str) -> bool:
        """Return whether a content of a service is a committed crash suspect."""
        return any(
            (suspect.service, suspect.fingerprint) == (service, fingerprint)
            for suspect in self._suspects
        )

    @property
    def suspects_version(self) -> int:
        """Version of the committed crash suspects."""
        return self._suspects_version

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """Availability zones whose servers get nothing new, as of the last grant."""
        return self._evacuated_zones

    @property
    def drain_requested(self) -> bool:
        """Whether an operator has requested that this entry drains and stops."""
        return self._drain_requested

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is valid, and so the declaration in use here in force."""
        return now < self._lease_until

    def seconds_since_lapse(self, now: float) -> float:
        """Return the seconds since the lease expired, 0 while it is valid."""
        return max(0.0, now - self._lease_until)

    def make_heartbeat(
        self, now: float, *, leaving: bool, streams: int
    ) -> shard_messages.SessionHeartbeat:
        """Return the next heartbeat; switch to another control host if this one times out."""
        if now - max(self._grant_received_at, self._target_since) > CONTROL_TIMEOUT_SECONDS:
            self._switch_target((self._target_index + 1) % len(self._control_hosts), now)
        return attrs.evolve(
            self._heartbeat_template,
            sent_at=now,
            revision=self._revision,
            leaving=leaving,
            streams=streams,
            quarantine_version=self._suspects_version,
            table_version=self._table_version,
        )

    def handle(self, grant: shard_messages.SessionGrant, now: float) -> GrantEffect:
        """Handle the response to a heartbeat and return what it has changed."""
        if not grant.granted:
            self._follow_leader_hint(grant, now)
            return GrantEffect()
        if grant.sent_at <= self._granted_heartbeat_sent_at or grant.revision < self._revision:
            return GrantEffect()  # out of order, or of a revision older than the one in use
        if grant.revision > self._revision and not grant.document:
            return GrantEffect()
        self._granted_heartbeat_sent_at = grant.sent_at
        self._grant_received_at = now
        declaration_changed = grant.revision > self._revision
        if declaration_changed:
            self._declaration = declarations.parse(grant.document, "control")
            self._revision = grant.revision
        # The lease starts when the heartbeat was sent, so a delayed response grants less time.
        self._lease_until = max(self._lease_until, grant.sent_at + grant.lease_seconds)
        self._drain_requested = grant.drain
        zones_changed = grant.evacuated_zones != self._evacuated_zones
        self._evacuated_zones = grant.evacuated_zones
        moved_shards: tuple[str, ...] = ()
        if grant.table_version != self._table_version:
            self._table_version = grant.table_version
            self._entries = self._merge_entries(grant)
            moved_shards = self._merge_shards(grant.shards)
        suspects_changed = grant.quarantine_version != self._suspects_version
        if suspects_changed:
            self._suspects = grant.suspects
            self._suspects_version = grant.quarantine_version
        return GrantEffect(declaration_changed, moved_shards, suspects_changed, zones_changed)

    def _merge_entries(
        self, grant: shard_messages.SessionGrant
    ) -> tuple[shard_messages.EntryAddress, ...]:
        """Return the entries of a grant; a list that may lack some removes none known before.

        A new leader learns of the entries from their heartbeats, so its first lists are empty. A
        list without this entry was made before its session began, and so before those of others
        whose connections broke at the same time.
        """
        names = {entry.name for entry in grant.entries}
        if not grant.partial_entries and self._heartbeat_template.entry in names:
            return grant.entries
        by_name = {entry.name: entry for entry in (*self._entries, *grant.entries)}
        return tuple(by_name[name] for name in sorted(by_name))

    def _merge_shards(self, shards: tuple[shard_messages.ShardOwner, ...]) -> tuple[str, ...]:
        moved = []
        merged = {}
        for owner in shards:
            current = self._shards.get(owner.shard)
            is_newer = current is None or owner.generation > current.generation
            merged[owner.shard] = owner if is_newer else current
            if is_newer:
                moved.append(owner.shard)
        self._shards = merged
        return tuple(moved)

    def _follow_leader_hint(self, grant: shard_messages.SessionGrant, now: float) -> None:
        hint = grant.leader.partition("#")[0]
        if hint in self._control_hosts:
            index = self._control_hosts.index(hint)
            if index != self._target_index:
                self._switch_target(index, now)

    def _switch_target(self, index: int, now: float) -> None:
        self._target_index = index
        self._target_since = now
