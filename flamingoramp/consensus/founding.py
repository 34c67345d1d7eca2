"""Bootstrap of replicas with an empty data folder: they create a cluster or join an existing one.

An empty data folder may mean a new deployment or a lost disk. A replica therefore creates a cluster
only if ``may_create_cluster`` is set, and if the replicas of all seed hosts reply to probes of its
present incarnation that they are empty too. The settings name the seed hosts; other control hosts
join later.
"""

from __future__ import annotations

import random

from flamingoramp.consensus import effects
from flamingoramp.protocol import messages

# Interval of probes, and of join requests.
PROBE_INTERVAL_SECONDS = 0.3


class Bootstrap:
    """Probes the seed hosts of a replica that has no cluster, and decides whether to create one.

    Of the seed hosts, only the one whose name sorts first creates the cluster.
    """

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
        self._empty_replica_by_host = {self._host: identity}
        self._cluster_exists = False
        self._next_send_at = 0.0

    def tick(self, now: float) -> list[effects.Send]:
        """Return the probes that are due, or join requests once a cluster is known to exist."""
        if self._cluster_exists:
            return self.request_join(now)
        return self._send_to_known_hosts(messages.FoundingProbe(self._identity), now)

    def request_join(self, now: float) -> list[effects.Send]:
        """Return the join requests that are due, to all known hosts; the leader handles them."""
        return self._send_to_known_hosts(messages.JoinRequest(self._identity), now)

    def handle_reply(self, reply: messages.FoundingReply) -> messages.Form | None:
        """Process the reply to a probe, then return the result of `try_create_cluster`."""
        if reply.probe != self._identity:
            return None
        host = reply.replica.partition("#")[0]
        if reply.cluster:
            self._cluster_exists = True
            self.add_known_hosts(reply.members)
            return None
        self._empty_replica_by_host[host] = reply.replica
        return self.try_create_cluster()

    def add_known_hosts(self, replicas: tuple[str, ...]) -> None:
        """Add the hosts of these replicas to those that receive probes and join requests."""
        self._known_hosts |= {replica.partition("#")[0] for replica in replicas}

    def try_create_cluster(self) -> messages.Form | None:
        """Return name and voters of a new cluster, None if this replica may not create it yet."""
        all_seeds_empty = set(self._empty_replica_by_host) == set(self._seed_hosts)
        if not self._may_create_cluster or self._cluster_exists or not all_seeds_empty:
            return None
        if self._host != min(self._seed_hosts):
            return None
        cluster = f"{self._rng.getrandbits(64):016x}"
        return messages.Form(cluster, tuple(sorted(self._empty_replica_by_host.values())))

    def _send_to_known_hosts(self, message: object, now: float) -> list[effects.Send]:
        if now < self._next_send_at:
            return []
        self._next_send_at = now + PROBE_INTERVAL_SECONDS
        return [
            effects.Send(host, message) for host in sorted(self._known_hosts) if host != self._host
        ]
