"""An entry's session with control: its configuration lease and what it learned by it."""

from __future__ import annotations

import attrs

from flamingoramp.intent import declarations
from flamingoramp.protocol import messages

CONTROL_TIMEOUT_SECONDS = 0.6


@attrs.frozen
class GrantEffect:
    """What a grant changed."""

    declaration_changed: bool = False
    moved_shards: tuple[str, ...] = ()
    suspects_changed: bool = False


class ControlSession:
    """Heartbeats to the leading control replica, as a state machine.

    Parameters
    ----------
    heartbeat : messages.SessionHeartbeat
        The constant parts: name, incarnation, addresses and zone.
    control_hosts : tuple of str
    """

    def __init__(self, heartbeat: messages.SessionHeartbeat, control_hosts: tuple[str, ...]):
        self._base = heartbeat
        self._control_hosts = control_hosts
        self._target = 0
        self._answered_at = float("-inf")
        self._target_since = 0.0
        self._lease_until = float("-inf")
        self._contact_sent_at = float("-inf")
        self._declaration = declarations.Declaration()
        self._revision = 0
        self._shards: dict[str, messages.ShardOwner] = {}
        self._entries: tuple[messages.EntryAddress, ...] = ()
        self._suspects: tuple[messages.Suspect, ...] = ()
        self._quarantine_version = 0
        self._table_version = 0
        self._drain_ordered = False

    @property
    def target(self) -> str:
        """Control host that heartbeats and claims go to."""
        return self._control_hosts[self._target]

    @property
    def declaration(self) -> declarations.Declaration:
        """The declaration in force."""
        return self._declaration

    @property
    def revision(self) -> int:
        """Revision of the declaration; it only grows."""
        return self._revision

    @property
    def shards(self) -> dict[str, messages.ShardOwner]:
        """Owner of each shard."""
        return self._shards

    @property
    def entries(self) -> tuple[messages.EntryAddress, ...]:
        """All entries that hold a lease."""
        return self._entries

    @property
    def suspects(self) -> tuple[messages.Suspect, ...]:
        """Committed crash suspects."""
        return self._suspects

    @property
    def suspects_version(self) -> int:
        """Version of the committed suspects."""
        return self._quarantine_version

    @property
    def drain_requested(self) -> bool:
        """Whether an operator asked this entry to stop."""
        return self._drain_ordered

    def holds_lease(self, now: float) -> bool:
        """Tell whether the declaration is known to be in force."""
        return now < self._lease_until

    def seconds_since_lapse(self, now: float) -> float:
        """Return the seconds since the lease ran out, 0 while it runs."""
        return max(0.0, now - self._lease_until)

    def make_heartbeat(
        self, now: float, *, leaving: bool, streams: int
    ) -> messages.SessionHeartbeat:
        """Return the next heartbeat; turn to another control host if this one is silent."""
        if now - max(self._answered_at, self._target_since) > CONTROL_TIMEOUT_SECONDS:
            self._turn_to((self._target + 1) % len(self._control_hosts), now)
        return attrs.evolve(
            self._base,
            sent_at=now,
            revision=self._revision,
            leaving=leaving,
            streams=streams,
            quarantine_version=self._quarantine_version,
            table_version=self._table_version,
        )

    def handle(self, grant: messages.SessionGrant, now: float) -> GrantEffect:
        """Take an answer in."""
        if not grant.granted:
            self._follow_hint(grant, now)
            return GrantEffect()
        if grant.sent_at <= self._contact_sent_at or grant.revision < self._revision:
            return GrantEffect()  # late, or from before what this process already serves by
        if grant.revision > self._revision and not grant.document:
            return GrantEffect()
        self._contact_sent_at = grant.sent_at
        self._answered_at = now
        changed = grant.revision > self._revision
        if changed:
            self._declaration = declarations.parse(grant.document, "control")
            self._revision = grant.revision
        # The lease runs from the sending of the heartbeat, so that a late answer grants less.
        self._lease_until = max(self._lease_until, grant.sent_at + grant.lease_seconds)
        self._drain_ordered = grant.drain
        moved: tuple[str, ...] = ()
        if grant.table_version != self._table_version:
            self._table_version = grant.table_version
            self._entries = grant.entries
            moved = self._learn_shards(grant.shards)
        suspects = grant.quarantine_version != self._quarantine_version
        if suspects:
            self._suspects = grant.suspects
            self._quarantine_version = grant.quarantine_version
        return GrantEffect(changed, moved, suspects)

    def _learn_shards(self, shards: tuple[messages.ShardOwner, ...]) -> tuple[str, ...]:
        moved = []
        learned = {}
        for owner in shards:
            known = self._shards.get(owner.shard)
            newer = known is None or owner.generation > known.generation
            learned[owner.shard] = owner if newer else known
            if newer:
                moved.append(owner.shard)
        self._shards = learned
        return tuple(moved)

    def _follow_hint(self, grant: messages.SessionGrant, now: float) -> None:
        hint = grant.leader.partition("#")[0]
        if hint in self._control_hosts:
            place = self._control_hosts.index(hint)
            if place != self._target:
                self._turn_to(place, now)

    def _turn_to(self, place: int, now: float) -> None:
        self._target = place
        self._target_since = now
