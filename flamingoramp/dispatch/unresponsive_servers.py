"""Servers that an entry could not reach, which it tells all other entries at once.

Without this each entry would find out by itself, and each time a request would wait for a
connection that nobody accepts.

What one entry can't reach, others may. In each availability zone the first entries by rank try to
connect to a server that they are told of, and refute what was told for the entries of their zone.
The entry that told of a server tries it again until it responds or has started anew. The others
forget what is not repeated.

Announcements that are missing at the control hosts are no evidence: while control hosts are cut off
from each other, those of sound servers are. The first entries by rank then try to connect. Only a
server that is silent there and to a request is told of though it accepts connections.
"""

from __future__ import annotations

from collections.abc import Callable

from flamingoramp.http import client
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.routing import observations, report_targets
from flamingoramp.runtime import event_log
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Interval at which an unresponsive server is tried and told of again. After some tries it doubles
# up to the longest one, since servers that are lost for good remain known.
RECHECK_SECONDS = 0.75
MAX_RECHECK_SECONDS = 6.0
FREQUENT_RECHECK_COUNT = 5
# Time beyond the next try for which others believe it: one message may be lost, and the connect
# timeout passes first.
VALID_MARGIN_SECONDS = 1.75
# Entries of each availability zone that check what another one has told.
CHECKING_ENTRY_COUNT = 2
# Time for which a server is avoided that is silent to a request and at the control hosts.
STALLED_SECONDS = 5.0
# After others have reached a server, what the same entry tells of it is taken for a fault of that
# entry's own link.
REFUTED_SECONDS = 3.0


class UnresponsiveServers:
    """Servers that don't accept connections, as this entry and others have found.

    Times are monotonic seconds.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    server_registry : registry.Registry
    entry, zone : str
        Name and availability zone of this entry.
    send : callable
        Sends a `messages.ServerReachability` to all other entries.
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        *,
        server_registry: registry.Registry,
        entry: str,
        zone: str,
        send: Callable[[messages.ServerReachability], None],
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
    ):
        self._loop = loop
        self._pool = pool
        self._registry = server_registry
        self._entry = entry
        self._zone = zone
        self._send = send
        self._log = log
        self._metrics = metrics
        # By instance of a server.
        self._valid_until: dict[str, float] = {}
        self._stalled_until: dict[str, float] = {}
        self._tellers: dict[str, set[str]] = {}
        # By entry and instance.
        self._refuted_until: dict[tuple[str, str], float] = {}
        # Servers that this entry tells of and tries again, with the number of times that it told.
        self._own: dict[str, int] = {}

    def is_unresponsive(self, server: messages.ServerRecord) -> bool:
        """Return whether a server is known not to accept connections, or not to respond to any."""
        now = self._loop.now()
        key = observations.instance_key(server)
        if now < self._valid_until.get(key, float("-inf")):
            return True
        return server.silent and now < self._stalled_until.get(key, float("-inf"))

    def handle_failure(self, server: messages.ServerRecord) -> None:
        """Tell of a server that did not accept a connection."""
        key = observations.instance_key(server)
        if (
            key in self._own
            or self._loop.now() < self._valid_until.get(key, float("-inf"))
            or self._is_refuted(self._entry, key)
        ):
            return
        self._own[key] = 0
        self._metrics.count("unresponsive_servers")
        self._log.write("server.unresponsive", server=server.server, address=server.address)
        self._tell(server)

    def check(self, server: messages.ServerRecord) -> None:
        """Try to connect to a server, and tell of it if it doesn't accept that."""

        def _handle_result(is_listening: bool | None) -> None:
            if not is_listening:
                self.handle_failure(server)

        self._pool.check_listening(server.address, _handle_result)

    def handle_stall(self, server: messages.ServerRecord) -> None:
        """Process that a server has sent nothing for a request for too long."""
        current = self._find(observations.instance_key(server))
        if current is None:
            return
        if not current.silent:
            self.check(current)
            return
        key = observations.instance_key(current)
        self._stalled_until[key] = self._loop.now() + STALLED_SECONDS
        self._log.write("server.stalled", server=current.server)
        self._send(messages.ServerReachability(self._entry, self._zone, stalled=(key,)))

    def handle_silence(self, server: messages.ServerRecord) -> None:
        """Try a server whose announcements are missing, if that is this entry's part."""
        if self._is_checking(observations.instance_key(server), ""):
            self.check(server)

    def handle_message(self, message: messages.ServerReachability) -> None:
        """Process what another entry tells of servers."""
        for key in message.unresponsive:
            server = self._find(key)
            if server is None or self._is_refuted(message.entry, key):
                continue
            self._believe(key, message.entry, message.valid_seconds)
            if self._is_checking(key, message.entry):
                self._check_told(server, message.entry)
        for key in message.stalled:
            if self._find(key) is not None:
                self._stalled_until[key] = self._loop.now() + STALLED_SECONDS
        for key in message.recovered:
            self._forget(key)
        if message.zone == self._zone:
            for key in message.refuted:
                self._handle_refutation(key, message.entry)

    def evict_stale(self) -> None:
        """Forget what is no longer valid."""
        now = self._loop.now()
        for key in [key for key, until in self._valid_until.items() if now >= until]:
            self._forget(key)
        for key in [key for key, until in self._stalled_until.items() if now >= until]:
            del self._stalled_until[key]
        for pair in [pair for pair, until in self._refuted_until.items() if now >= until]:
            del self._refuted_until[pair]
        self._metrics.set_gauge("unresponsive_servers_known", len(self._valid_until))

    def _is_refuted(self, teller: str, key: str) -> bool:
        return self._loop.now() < self._refuted_until.get((teller, key), float("-inf"))

    def _believe(self, key: str, teller: str, valid_seconds: float) -> None:
        valid_seconds = min(valid_seconds, MAX_RECHECK_SECONDS + VALID_MARGIN_SECONDS)
        self._valid_until[key] = self._loop.now() + valid_seconds
        self._tellers.setdefault(key, set()).add(teller)

    def _forget(self, key: str) -> None:
        self._valid_until.pop(key, None)
        self._tellers.pop(key, None)

    def _find(self, key: str) -> messages.ServerRecord | None:
        """Return the record of a server if the given instance of it is still known."""
        server = self._registry.find_server(key.rpartition("/")[0])
        if server is None or server.gone or observations.instance_key(server) != key:
            return None
        return server

    def _is_checking(self, key: str, teller: str) -> bool:
        """Return whether this entry is among those of its zone that check what another told."""
        names = {
            record.entry
            for record in self._registry.entries()
            if record.zone == self._zone and not (record.leaving or record.gone)
        }
        candidates = (names | {self._entry}) - {teller}
        ranked = sorted(candidates, key=report_targets.rank_by(key))
        return self._entry in ranked[:CHECKING_ENTRY_COUNT]

    def _check_told(self, server: messages.ServerRecord, teller: str) -> None:
        key = observations.instance_key(server)

        def _handle_result(is_listening: bool | None) -> None:
            if not is_listening:
                return
            self._log.write("server.reached", server=server.server, teller=teller)
            self._handle_refutation(key, self._entry)
            self._send(messages.ServerReachability(self._entry, self._zone, refuted=(key,)))

        self._pool.check_listening(server.address, _handle_result)

    def _handle_refutation(self, key: str, source: str) -> None:
        """Use a server again that another entry of the zone has reached."""
        for teller in self._tellers.get(key, ()):
            self._refuted_until[teller, key] = self._loop.now() + REFUTED_SECONDS
        if key in self._valid_until:
            self._forget(key)
            self._metrics.count("unresponsive_servers_refuted")
        if key in self._own:
            del self._own[key]
            self._log.write("server.refuted", key=key, source=source)

    def _tell(self, server: messages.ServerRecord) -> None:
        """Tell all entries of an unresponsive server, and try it again later."""
        key = observations.instance_key(server)
        self._own[key] += 1
        doublings = max(0, self._own[key] - FREQUENT_RECHECK_COUNT)
        interval_seconds = min(MAX_RECHECK_SECONDS, RECHECK_SECONDS * 2 ** min(doublings, 10))
        valid_seconds = interval_seconds + VALID_MARGIN_SECONDS
        self._believe(key, self._entry, valid_seconds)
        self._send(
            messages.ServerReachability(
                self._entry, self._zone, unresponsive=(key,), valid_seconds=valid_seconds
            )
        )
        told_count = self._own[key]
        self._loop.call_later(interval_seconds, lambda: self._recheck(key, told_count))

    def _recheck(self, key: str, told_count: int) -> None:
        """Try a server again, unless another try has become due since it was told of."""
        if self._own.get(key) != told_count:
            return
        server = self._find(key)
        if server is None:
            del self._own[key]
            self._forget(key)
            return

        def _handle_result(is_listening: bool | None) -> None:
            if self._own.get(key) != told_count:
                return
            if not is_listening:
                self._tell(server)
                return
            del self._own[key]
            self._forget(key)
            self._log.write("server.recovered", server=server.server)
            self._send(messages.ServerReachability(self._entry, self._zone, recovered=(key,)))

        self._pool.check_listening(server.address, _handle_result)
