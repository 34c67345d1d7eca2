"""Bootstrap of replicas with an empty data folder: they create a cluster or join an existing one.

An empty data folder may mean a new deployment or a lost disk. A replica therefore creates a cluster
only if ``may_create_cluster`` is set, and if the replicas of all seed hosts reply to probes of its
present incarnation that they are empty too. The settings name the seed hosts; other control hosts
join later.

Where ``may_create_cluster`` is only set at the first start of the whole system, a cluster may also
be created without some seed hosts, after a wait. Only replies of replicas that may create one, too,
count then: no host has two of these. Each cluster has more than half of them as voters, so that of
two that are created at the same time only one can ever elect a leader.
"""

from __future__ import annotations

import math
import random

import attrs

from flamingoramp import value_classes
from flamingoramp.consensus import effects
from flamingoramp.protocol import messages

# Interval of probes, and of join requests.
PROBE_INTERVAL_SECONDS = 0.3
# A host whose last reply is older than this doesn't count as reachable.
REPLY_VALIDITY_SECONDS = 3 * PROBE_INTERVAL_SECONDS
# A host whose name doesn't sort first waits for those before it this many times as long as for
# other seeds, since they were last heard.
SUCCESSOR_WAIT_FACTOR = 2.0


@attrs.frozen(eq=False, repr=False)
class _EmptyReplica(value_classes.Value):
    """A replica without a cluster, as its last reply told."""

    identity: str
    may_create: bool
    replied_at: float


class Bootstrap:
    """Probes the seed hosts of a replica that has no cluster, and decides whether to create one.

    Of the seed hosts that may, only the one whose name sorts first creates the cluster.

    Parameters
    ----------
    identity : str
    seed_hosts : tuple of str
    rng : random.Random
    may_create_cluster : bool
    now : float
        Monotonic time in seconds.
    missing_seeds_wait_seconds : float
        Time after which the cluster is created without some of the seed hosts.
    """

    def __init__(
        self,
        *,
        identity: str,
        seed_hosts: tuple[str, ...],
        rng: random.Random,
        may_create_cluster: bool = True,
        now: float = 0.0,
        missing_seeds_wait_seconds: float = math.inf,
    ):
        self._identity = identity
        self._host = identity.partition("#")[0]
        self._seed_hosts = seed_hosts
        self._known_hosts = set(seed_hosts)
        self._rng = rng
        self._may_create_cluster = may_create_cluster
        self._missing_seeds_wait_seconds = missing_seeds_wait_seconds
        self._started_at = now
        self._replica_by_host: dict[str, _EmptyReplica] = {}
        self._cluster_exists = False
        self._next_send_at = 0.0

    @property
    def may_create_cluster(self) -> bool:
        """Whether this replica may create a cluster."""
        return self._may_create_cluster

    def tick(self, now: float) -> list[effects.Send]:
        """Return the probes that are due, or join requests once a cluster is known to exist."""
        if self._cluster_exists:
            return self.request_join(now)
        return self._send_to_known_hosts(messages.FoundingProbe(self._identity), now)

    def request_join(self, now: float) -> list[effects.Send]:
        """Return the join requests that are due, to all known hosts; the leader handles them."""
        return self._send_to_known_hosts(messages.JoinRequest(self._identity), now)

    def handle_reply(self, reply: messages.FoundingReply, now: float) -> messages.Form | None:
        """Process the reply to a probe, then return the result of `try_create_cluster`."""
        if reply.probe != self._identity:
            return None
        if reply.cluster:
            self.record_cluster(reply.members)
            return None
        host = reply.replica.partition("#")[0]
        self._replica_by_host[host] = _EmptyReplica(reply.replica, reply.may_create, now)
        return self.try_create_cluster(now)

    def record_cluster(self, members: tuple[str, ...]) -> None:
        """Record that a cluster with these members exists, which this replica is to join."""
        self._cluster_exists = True
        self.add_known_hosts(members)

    def add_known_hosts(self, replicas: tuple[str, ...]) -> None:
        """Add the hosts of these replicas to those that receive probes and join requests."""
        self._known_hosts |= {replica.partition("#")[0] for replica in replicas}

    def try_create_cluster(self, now: float) -> messages.Form | None:
        """Return name and voters of a new cluster, None if this replica may not create it yet."""
        if not self._may_create_cluster or self._cluster_exists:
            return None
        other_seeds = [host for host in self._seed_hosts if host != self._host]
        if not math.isinf(self._missing_seeds_wait_seconds):
            return self._try_create_with_founders(other_seeds, now)
        have_all_replied = all(host in self._replica_by_host for host in other_seeds)
        if not have_all_replied or self._host != min(self._seed_hosts):
            return None
        return self._make_form([self._replica_by_host[host] for host in other_seeds])

    def _try_create_with_founders(self, other_seeds: list[str], now: float) -> messages.Form | None:
        """Create the cluster with the seed hosts that may create one, too, if they are enough."""
        replicas = {
            host: self._replica_by_host[host] for host in other_seeds if self._is_heard(host, now)
        }
        founders = [replica for replica in replicas.values() if replica.may_create]
        if 2 * (1 + len(founders)) <= len(self._seed_hosts):
            return None
        wait_seconds = self._missing_seeds_wait_seconds
        if len(replicas) < len(other_seeds) and now < self._started_at + wait_seconds:
            return None
        for host in other_seeds:
            if host > self._host or (host in replicas and not replicas[host].may_create):
                continue
            heard = self._replica_by_host.get(host)
            heard_at = heard.replied_at if heard else self._started_at
            if now < heard_at + SUCCESSOR_WAIT_FACTOR * wait_seconds:
                return None
        return self._make_form(founders)

    def _is_heard(self, host: str, now: float) -> bool:
        replica = self._replica_by_host.get(host)
        return replica is not None and now - replica.replied_at <= REPLY_VALIDITY_SECONDS

    def _make_form(self, others: list[_EmptyReplica]) -> messages.Form:
        cluster = f"{self._rng.getrandbits(64):016x}"
        identities = [self._identity, *[replica.identity for replica in others]]
        return messages.Form(cluster, tuple(sorted(identities)))

    def _send_to_known_hosts(self, message: object, now: float) -> list[effects.Send]:
        if now < self._next_send_at:
            return []
        self._next_send_at = now + PROBE_INTERVAL_SECONDS
        return [
            effects.Send(host, message) for host in sorted(self._known_hosts) if host != self._host
        ]
