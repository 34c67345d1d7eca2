"""How empty replicas form a cluster, or ask to join the one that exists.

A replica with an empty data folder can't tell a new deployment from a lost disk. It forms a
cluster only if it is allowed to, and every founder answers, in this incarnation, that it is empty
too. The founders are named by the settings; other control hosts join later.
"""

from __future__ import annotations

import random

from flamingoramp.consensus import effects
from flamingoramp.protocol import messages

PROBE_INTERVAL_SECONDS = 0.3


class Bootstrap:
    """The search of an empty replica for its cluster."""

    def __init__(
        self,
        *,
        identity: str,
        seed_hosts: tuple[str, ...],
        rng: random.Random,
        may_create_cluster: bool = True,
    ):
        self._identity = identity
        self._host = identity.partition("#")[0]
        self._seed_hosts = seed_hosts
        self._known_hosts = set(seed_hosts)
        self._rng = rng
        self._may_create_cluster = may_create_cluster
        self._empty_replicas = {self._host: identity}
        self._cluster_exists = False
        self._next_send_at = 0.0

    def tick(self, now: float) -> list[effects.Send]:
        """Probe the other hosts, or ask to join once a cluster is known."""
        if self._cluster_exists:
            return self.request_join(now)
        return self._send_to_known_hosts(messages.FoundingProbe(self._identity), now)

    def request_join(self, now: float) -> list[effects.Send]:
        """Ask all hosts, of which the leader will answer, to be added."""
        return self._send_to_known_hosts(messages.JoinRequest(self._identity), now)

    def handle_reply(self, reply: messages.FoundingReply) -> messages.Form | None:
        """Take an answer in; return the first membership if this replica forms the cluster."""
        if reply.probe != self._identity:
            return None
        host = reply.replica.partition("#")[0]
        if reply.cluster:
            self._cluster_exists = True
            self.add_known_hosts(reply.members)
            return None
        self._empty_replicas[host] = reply.replica
        return self.try_create_cluster()

    def add_known_hosts(self, replicas: tuple[str, ...]) -> None:
        """Remember the hosts of a cluster's replicas, to ask them too."""
        self._known_hosts |= {replica.partition("#")[0] for replica in replicas}

    def try_create_cluster(self) -> messages.Form | None:
        """Return the first membership if this replica is the one that forms the cluster."""
        complete = set(self._empty_replicas) == set(self._seed_hosts)
        if not self._may_create_cluster or self._cluster_exists or not complete:
            return None
        if self._host != min(self._seed_hosts):
            return None
        cluster = f"{self._rng.getrandbits(64):016x}"
        return messages.Form(cluster, tuple(sorted(self._empty_replicas.values())))

    def _send_to_known_hosts(self, message: object, now: float) -> list[effects.Send]:
        if now < self._next_send_at:
            return []
        self._next_send_at = now + PROBE_INTERVAL_SECONDS
        return [
            effects.Send(host, message) for host in sorted(self._known_hosts) if host != self._host
        ]
