"""Where an entry admits requests, chooses servers for them, and learns from how they end."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.dispatch import allowance, forwarding
from flamingoramp.http import client
from flamingoramp.http import server as http_server
from flamingoramp.intent import traffic
from flamingoramp.membership import registry
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_book, observations, selection
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module
from flamingoramp.runtime import node_settings

# A request that broke off this many servers is refused.
QUARANTINE_CRASHES = 3
# Contents whose crashes are remembered; the oldest is forgotten first.
MOST_CRASHED_CONTENTS = 4096
# A restarted entry knows a declaration after about this long if all of control restarted with it.
EXPECTED_READY_SECONDS = 2.0
NOT_READY_RETRY_SECONDS = 0.5
# Until then an entry that has just started keeps requests for its first declaration, each for this
# long at most, and for this share of its time left: many of their callers were cut off by the same
# restart and won't come a third time.
MOST_KEPT_SECONDS = 1.2
KEPT_SHARE = 0.33
MOST_KEPT_REQUESTS = 256
# Most urgent and least urgent rank that engines know.
LEAST_URGENT = 9
# Pauses of a stream that are enough to judge an engine's pace by.
FEWEST_GAPS = 4


class Log(Protocol):
    """Takes lines of the event log."""

    def write(self, event: str, request: str = "", **fields: Any) -> None:
        """Write a line."""


class RequestDesk:
    """All requests of one entry.

    Parameters
    ----------
    loop : loops.Loop
    pool : client.Pool
    dialect : dialects.Dialect
    known : registry.Registry
    book : load_book.LoadBook
    log : Log
    metrics : metrics_module.Metrics
    bounds : node_settings.BoundSettings
    zone : str
        Availability zone of this entry.
    hears_control : callable
        Tells whether announcements of servers would reach this entry.
    """

    def __init__(
        self,
        loop: loops.Loop,
        pool: client.Pool,
        dialect: dialects.Dialect,
        *,
        known: registry.Registry,
        book: load_book.LoadBook,
        log: Log,
        metrics: metrics_module.Metrics,
        bounds: node_settings.BoundSettings,
        zone: str,
        hears_control: Callable[[], bool],
    ):
        self.loop = loop
        self.pool = pool
        self.dialect = dialect
        self.book = book
        self.entries = 1
        self._registry = known
        self._log = log
        self._metrics = metrics
        self._bounds = bounds
        self._hears_control = hears_control
        self._started_at = loop.now()
        self._declaration: traffic.TrafficDeclaration | None = None
        self._observations = observations.Observations()
        self._selection = selection.Selection(
            known,
            book,
            self._observations,
            zone=zone,
            announce_seconds=bounds.announce_seconds,
        )
        self._allowances: dict[str, allowance.RetryAllowance] = {}
        self._crashes: dict[str, set[tuple[str, int]]] = {}
        self._new_crashes: list[inner.CrashRecord] = []
        self._active: set[forwarding.Forwarding] = set()
        self._kept: set[http_server.Exchange] = set()

    @property
    def declaration(self) -> traffic.TrafficDeclaration | None:
        """The declaration in force here, None before the first."""
        return self._declaration

    @property
    def active(self) -> int:
        """Requests under way."""
        return len(self._active) + len(self._kept)

    def adopt(self, declaration: traffic.TrafficDeclaration) -> None:
        """Put a declaration in force for requests from now on, and for those that were kept."""
        self._declaration = declaration
        kept, self._kept = self._kept, set()
        for exchange in sorted(kept, key=lambda one: one.arrived_at):
            self._begin(exchange)

    def learn_crashes(self, records: Iterable[inner.CrashRecord]) -> None:
        """Take in which contents broke off which servers at other entries."""
        for record in records:
            self._crashes.setdefault(record.fingerprint, set()).add((record.server, record.born))

    def take_crashes(self) -> tuple[inner.CrashRecord, ...]:
        """Return the crashes seen here since the last call, for the other entries."""
        taken = tuple(self._new_crashes)
        self._new_crashes.clear()
        return taken

    def forget_old(self) -> None:
        """Drop what is known of servers that are gone, and of the oldest contents."""
        self._observations.keep_only(
            {observations.name_life(record) for record in self._registry.servers()}
        )
        while len(self._crashes) > MOST_CRASHED_CONTENTS:
            del self._crashes[next(iter(self._crashes))]

    # Admission.

    def handle_request(self, exchange: http_server.Exchange) -> None:
        """Admit a request and begin with it, or refuse it."""
        seconds = self._seconds_to_keep(exchange) if self._declaration is None else 0.0
        if seconds > 0 and len(self._kept) < MOST_KEPT_REQUESTS:
            self._keep(exchange, seconds)
        else:
            self._begin(exchange)

    def _seconds_to_keep(self, exchange: http_server.Exchange) -> float:
        """Return how long a request waits for the first declaration; 0 if it may not."""
        expected = self._started_at + EXPECTED_READY_SECONDS - self.loop.now()
        try:
            time_left = self.dialect.decode_request(exchange.request).time_left
        except errors.FlamingorampError:
            return 0.0  # it is refused for what it is
        if time_left is None:
            return min(MOST_KEPT_SECONDS, expected)
        return min(MOST_KEPT_SECONDS, expected, KEPT_SHARE * time_left)

    def _keep(self, exchange: http_server.Exchange, seconds: float) -> None:
        """Wait some seconds for the first declaration."""
        self._kept.add(exchange)
        self._metrics.count("requests_kept")
        exchange.on_gone = lambda: self._kept.discard(exchange)

        def _give_up() -> None:
            if exchange in self._kept:
                self._kept.remove(exchange)
                self._begin(exchange)

        self.loop.call_later(seconds, _give_up)

    def _begin(self, exchange: http_server.Exchange) -> None:
        request_id = ""
        try:
            caller = self.dialect.decode_request(exchange.request)
            request_id = caller.request_id
            admitted = self._admit(exchange, caller)
        except errors.FlamingorampError as error:
            self._metrics.count("requests_refused", code=error.code)
            self._log.write(
                "request.refused",
                request_id,
                path=exchange.request.path,
                code=error.code,
                version=self._declaration.version if self._declaration else 0,
                text=str(error),
            )
            exchange.answer(self.dialect.encode_error(error))
            return
        started = forwarding.Forwarding(self, admitted, self._active.discard)
        self._active.add(started)
        started.start()

    def _admit(
        self, exchange: http_server.Exchange, caller: dialects.CallerRequest
    ) -> forwarding.Admitted:
        """Check a request against the declaration.

        Raises
        ------
        flamingoramp.errors.FlamingorampError
            Says why the request is refused; it has not run.
        """
        declaration = self._declaration
        if declaration is None:
            expected = self._started_at + EXPECTED_READY_SECONDS - self.loop.now()
            spread = 1 + selection.RETURN_SPREAD * random.random()
            raise errors.NotReadyError(
                "this entry knows no declaration yet",
                retry_after=spread * max(NOT_READY_RETRY_SECONDS, expected),
            )
        route = declaration.find_route(caller.host, caller.path)
        if route is None:
            raise errors.UnknownRouteError(f"no route for {caller.host}{caller.path}")
        workspace = declaration.find_workspace(caller.key) if caller.key else None
        if workspace is None and declaration.workspaces and not route.is_public:
            raise errors.UnknownKeyError("no workspace holds this key")
        fingerprint = _fingerprint(caller, exchange.request.body)
        self._check_quarantine(fingerprint)
        limit = route.timeout_seconds
        if caller.time_left is not None:
            limit = min(limit, caller.time_left)
        rank = route.priority
        if workspace is not None and workspace.priority is not None:
            rank = workspace.priority
        return forwarding.Admitted(
            exchange=exchange,
            caller=caller,
            route=route,
            service=route.choose_service(caller.request_id),
            workspace=workspace.name if workspace is not None else "",
            priority=min(LEAST_URGENT, 2 * rank + _urgency(route)),
            fingerprint=fingerprint,
            time_limit=limit,
        )

    def _check_quarantine(self, fingerprint: str) -> None:
        if len(self._crashes.get(fingerprint, ())) >= QUARANTINE_CRASHES:
            raise errors.RequestQuarantinedError("this request broke off several servers")

    # What requests ask for.

    def choose(self, admitted: forwarding.Admitted, excluded: set[str]) -> forwarding.Target:
        """Choose where the next attempt of a request goes."""
        self._check_quarantine(admitted.fingerprint)
        return self._selection.choose(
            self._declaration,
            admitted,
            excluded,
            now=self.loop.now(),
            hears_control=self._hears_control(),
            entries=self.entries,
        )

    def explains_silence(self, admitted: forwarding.Admitted, server: inner.ServerRecord) -> bool:
        """Tell whether an engine reads long prompts, or has more requests than slots."""
        service = self._declaration.find_service(admitted.service)
        if service is None or service.engine is None:
            return False
        load = self.book.load(server.server, self.loop.now())
        return load.reading_seconds > 0 or load.answers > service.engine.slots

    def note_first_send(self, service: str) -> None:
        """Count the first send of a request."""
        self._allowance(service).note_request(self.loop.now())

    def take_retry(self, service: str) -> bool:
        """Take a repeated send out of the allowance."""
        return self._allowance(service).take(self.loop.now(), entries=self.entries)

    def _allowance(self, service: str) -> allowance.RetryAllowance:
        found = self._allowances.get(service)
        if found is None:
            found = self._allowances[service] = allowance.RetryAllowance(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                window=self._bounds.retry_window_seconds,
            )
        return found

    # What requests report.

    def note_broken(
        self, admitted: forwarding.Admitted, server: inner.ServerRecord, crashed: bool
    ) -> None:
        """Note that a server broke off or couldn't be reached."""
        self._observations.note_broken(observations.name_life(server), self.loop.now())
        self._metrics.count("servers_broken")
        if crashed:
            record = inner.CrashRecord(admitted.fingerprint, server.server, server.born)
            self.learn_crashes((record,))
            self._new_crashes.append(record)

    def note_silent(self, server: inner.ServerRecord) -> None:
        """Note that a server kept silent for longer than predicted."""
        self._observations.note_broken(observations.name_life(server), self.loop.now())

    def note_answer(self, server: inner.ServerRecord, failed: bool) -> None:
        """Note a whole answer."""
        self._observations.note_answer(
            observations.name_life(server), failed=failed, now=self.loop.now()
        )

    def note_pace(self, service: str, server: inner.ServerRecord, gaps: list[float]) -> None:
        """Note the pauses between the events of a stream."""
        declared = self._declaration.find_service(service)
        if declared is None or declared.engine is None or len(gaps) < FEWEST_GAPS:
            return
        usual = sorted(gaps)[len(gaps) // 4]
        pace = usual / declared.engine.decode_pass_seconds
        self._observations.note_pace(observations.name_life(server), pace, self.loop.now())

    def note_end(self, admitted: forwarding.Admitted, outcome: str, **fields: Any) -> None:
        """Log and count how a request ended."""
        self._metrics.count("requests", outcome=outcome, route=admitted.route.name)
        self._metrics.observe("request_seconds", fields["seconds"], route=admitted.route.name)
        if "first_piece" in fields:
            self._metrics.observe(
                "time_to_first_token_seconds", fields["first_piece"], route=admitted.route.name
            )
        self._log.write("request.ended", admitted.caller.request_id, outcome=outcome, **fields)

    def note_step(self, admitted: forwarding.Admitted, event: str, **fields: Any) -> None:
        """Log a decision on a request."""
        self._metrics.count("request_steps", event=event)
        self._log.write(
            event,
            admitted.caller.request_id,
            route=admitted.route.name,
            version=self._declaration.version,
            **fields,
        )


def _fingerprint(caller: dialects.CallerRequest, body: bytes) -> str:
    """Return what names the content of a request, whoever sends it again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(caller.key.encode())
    digest.update(caller.path.encode())
    return digest.hexdigest()


def _urgency(route: traffic.Route) -> int:
    """Return how much less urgent than plain calls and short prompts a route's requests are."""
    if route.gap_objective_seconds <= load_book.STRICT_PAUSE_SECONDS:
        return 0
    return 1
