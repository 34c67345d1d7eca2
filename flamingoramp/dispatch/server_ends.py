"""Finds out whether a server that broke off a request has ended.

Connections also break where a link fails, or a server resets a few of them. A server has ended if
nothing listens at its address any more, or if it announces a new start soon after.
"""

from __future__ import annotations

from flamingoramp.dispatch import crash_evidence
from flamingoramp.http import client
from flamingoramp.membership import registry
from flamingoramp.protocol import messages
from flamingoramp.runtime import event_log
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Time within which a server that ended is expected to announce a new start.
CONFIRMATION_SECONDS = 5.0


class ServerEndChecks:
    """Records broken connections in the crash evidence, and confirms or withdraws them.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    server_registry : registry.Registry
    evidence : crash_evidence.CrashEvidence
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        *,
        server_registry: registry.Registry,
        evidence: crash_evidence.CrashEvidence,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
    ):
        self._loop = loop
        self._pool = pool
        self._registry = server_registry
        self._evidence = evidence
        self._log = log
        self._metrics = metrics
        self._unconfirmed: set[crash_evidence.ServerRun] = set()

    def handle_break(
        self, server: messages.ServerRecord, fingerprints: tuple[str, ...], sent_at: float
    ) -> None:
        """Record that a server broke off a request, unless it was leaving, and check it."""
        if self._is_leaving(server):
            return
        run = (server.server, server.born)
        self._evidence.record_break(run, fingerprints, sent_at=sent_at, now=self._loop.now())
        if run in self._unconfirmed:
            return
        self._unconfirmed.add(run)
        self._pool.check_listening(
            server.address, lambda is_listening: self._handle_check(run, is_listening)
        )
        self._loop.call_later(CONFIRMATION_SECONDS, lambda: self._withdraw(run))

    def handle_announcements(self) -> None:
        """Confirm the ends of servers that have announced a new start."""
        for run in list(self._unconfirmed):
            server, born = run
            record = self._registry.find_server(server)
            if record is None or record.gone or record.born != born:
                self._confirm(run, "announcement")

    def _is_leaving(self, server: messages.ServerRecord) -> bool:
        record = self._registry.find_server(server.server)
        return record is not None and record.born == server.born and (record.leaving or record.gone)

    def _handle_check(self, run: crash_evidence.ServerRun, is_listening: bool | None) -> None:
        if is_listening is False:
            self._confirm(run, "refused")

    def _confirm(self, run: crash_evidence.ServerRun, reason: str) -> None:
        if run not in self._unconfirmed:
            return
        self._unconfirmed.discard(run)
        self._evidence.confirm(run)
        self._metrics.count("server_ends", reason=reason)
        self._log.write("server.ended", server=run[0], born=run[1], reason=reason)

    def _withdraw(self, run: crash_evidence.ServerRun) -> None:
        if run in self._unconfirmed:
            self._unconfirmed.discard(run)
            self._evidence.withdraw(run)
