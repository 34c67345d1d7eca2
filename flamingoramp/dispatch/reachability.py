"""Checks whether this entry reaches any backend server.

A failed connection tells of one server. After one, the entry tries to connect to some others; if
none of them accepts, it is the entry that is cut off, and not the servers that have failed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Container

from flamingoramp.http import client
from flamingoramp.membership import registry
from flamingoramp.runtime import event_log
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Servers that one check tries. If a fifth of all has failed, these are all among them once in 3,000
# checks.
SERVERS_PER_CHECK = 5
# Shortest time between two checks; also that in which the end of a cut is noticed.
CHECK_INTERVAL_SECONDS = 0.5


class ReachabilityChecks:
    """Tells whether any server can be reached, by checks that failed connections cause.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    server_registry : registry.Registry
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    on_change : callable
        Called without arguments when `is_cut_off` has changed.
    evacuations : container of str
        Evacuated availability zones, whose servers tell nothing of those that requests go to.
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        *,
        server_registry: registry.Registry,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        on_change: Callable[[], None] = lambda: None,
        evacuations: Container[str] = (),
    ):
        self._loop = loop
        self._pool = pool
        self._registry = server_registry
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._evacuations = evacuations
        self._is_cut_off = False
        self._changed_at = loop.now()
        self._checked_at = float("-inf")
        # Servers of the running check that haven't answered, and results of the others.
        self._unanswered_count = 0
        self._results: list[bool | None] = []

    @property
    def is_cut_off(self) -> bool:
        """Whether no server accepted a connection in the last check."""
        return self._is_cut_off

    def handle_failure(self) -> None:
        """Check some servers, after an attempt at one of them failed."""
        is_due = self._loop.now() - self._checked_at >= CHECK_INTERVAL_SECONDS
        if is_due and not self._unanswered_count:
            self._check()

    def _check(self) -> None:
        servers = [
            record
            for record in self._registry.servers()
            if not record.leaving and record.zone not in self._evacuations
        ]
        chosen = random.sample(servers, min(SERVERS_PER_CHECK, len(servers)))
        self._checked_at = self._loop.now()
        self._unanswered_count = len(chosen)
        self._results = []
        for record in chosen:
            self._pool.check_listening(record.address, self._handle_result)
        if not chosen:
            self._complete(is_cut_off=False)

    def _handle_result(self, is_listening: bool | None) -> None:
        self._unanswered_count -= 1
        self._results.append(is_listening)
        if is_listening and self._is_cut_off:
            self._complete(is_cut_off=False)
        elif not self._unanswered_count:
            self._complete(is_cut_off=not any(self._results))

    def _complete(self, *, is_cut_off: bool) -> None:
        if is_cut_off:
            self._loop.call_later(CHECK_INTERVAL_SECONDS, self.handle_failure)
        if is_cut_off == self._is_cut_off:
            return
        now = self._loop.now()
        self._is_cut_off = is_cut_off
        self._metrics.set_gauge("reaches_servers", 0 if is_cut_off else 1)
        self._metrics.count("server_reach_changes")
        self._log.write(
            "servers.unreachable" if is_cut_off else "servers.reachable",
            refused=self._results.count(False),
            unanswered=self._results.count(None),
            since=round(now - self._changed_at, 3),
        )
        self._changed_at = now
        self._on_change()
