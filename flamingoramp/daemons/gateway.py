"""The daemon of an entry host that finds control by seeds and shares its load by reports.

It keeps serving by the declaration that it has while control can't be reached.
"""

from __future__ import annotations

import hashlib
import itertools
import os
import random
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.daemons import node_process
from flamingoramp.dispatch import allowance, forwarding
from flamingoramp.http import client, messages
from flamingoramp.http import server as http_server
from flamingoramp.intent import declared, traffic
from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_book, observations, report_targets, selection
from flamingoramp.runtime import datagrams, node_settings
from flamingoramp.runtime import transport as transports

SUBSCRIBE_SECONDS = 0.5
# Renewals of a subscription after which one control host gets a renewed record of the entry.
RECORD_RENEWAL = 16
RECORD_STEP = 2**40
# An entry that knows no declaration asks this often, as control hosts may start beside it.
HURRIED_SUBSCRIBE_SECONDS = 0.1
# Load reports go out this soon after a change, so that several changes share one.
REPORT_DELAY_SECONDS = 0.008
REPORT_SECONDS = 0.3
# Summaries of a zone go out this often; a placement in another zone is the exception.
SUMMARY_SECONDS = 0.2
TARGETS_SECONDS = 0.2
FORGET_SECONDS = 1.0
SETTINGS_CHECK_SECONDS = 2.0
STOP_CHECK_SECONDS = 0.05
# A stopping entry ends this long before the platform would kill it.
STOP_RESERVE_SECONDS = 0.3
# A version from a control host that doesn't hear the leader counts only after this wait.
UNCONFIRMED_SECONDS = 1.5
# A request that broke off this many servers is refused.
QUARANTINE_CRASHES = 3
# Contents whose crashes are remembered; the oldest is forgotten first.
MOST_CRASHED_CONTENTS = 4096
# A restarted entry knows a declaration after about this long if all of control restarted with it.
EXPECTED_READY_SECONDS = 2.0
NOT_READY_RETRY_SECONDS = 0.5
# Part of a time to return by which callers are spread, so that they don't all return at once.
RETURN_SPREAD = 0.3
# Most urgent and least urgent rank that engines know.
LEAST_URGENT = 9


class Gateway:
    """One entry daemon.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    dialect : dialects.Dialect
    path : str
        The settings file, which is read again when it changes; empty for none.
    log_descriptor : int
        Where log lines go.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        *,
        path: str = "",
        log_descriptor: int = 1,
    ):
        self._settings = settings
        self._path = path
        self._path_read = _stamp(path)
        self.dialect = dialect
        self._process = node_process.NodeProcess(
            settings,
            role="entry",
            inner=settings.entry_inner,
            deliver=self._deliver,
            log_descriptor=log_descriptor,
        )
        self.loop = self._process.loop
        self._log = self._process.log
        self._metrics = self._process.metrics
        self._incarnation = self._process.new_incarnation()
        self._born = self._process.wall_time()
        self._started_at = self.loop.now()
        self._declaration: traffic.TrafficDeclaration | None = None
        self._registry = registry.Registry()
        self._controls: tuple[str, ...] = ()
        self._control_heard: dict[str, float] = {}
        self._crashes: dict[str, set[tuple[str, int]]] = {}
        self._new_crashes: list[inner.CrashRecord] = []
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._allowances: dict[str, allowance.RetryAllowance] = {}
        self._active: set[forwarding.Forwarding] = set()
        self.book = load_book.LoadBook(settings.availability_zone)
        self.pool = client.Pool(self.loop)
        self._observations = observations.Observations()
        self._selection = selection.Selection(
            self._registry,
            self.book,
            self._observations,
            zone=settings.availability_zone,
            announce_seconds=settings.bounds.announce_seconds,
        )
        self._report_numbers = itertools.count(1)
        self._subscriptions = 0
        self._told_record: inner.EntryRecord | None = None
        self._told_hosts: set[str] = set()
        self._report_planned = False
        self._targets = report_targets.Targets([])
        self._entries = 1
        self._stopping_since = 0.0
        self._datagrams = datagrams.Datagrams(
            self.loop,
            name=self._process.name,
            listen=settings.entry_inner,
            deliver=self._handle_datagram,
            on_protocol_error=self._process.note_protocol_error,
        )
        self._process.at_end(self._datagrams.close)
        self._process.at_end(self.pool.close)
        listen = settings.listen
        self._front = self._process.serve(
            listen.callers, self._handle_request, limits=self._caller_limits
        )
        if listen.readiness:
            self._process.serve(listen.readiness, self._handle_readiness)
        if listen.directory:
            self._process.serve(listen.directory, self._handle_directory)
        loop = self.loop
        loop.call_later(0.0, self._subscribe)
        loop.call_every(SUBSCRIBE_SECONDS, self._subscribe)
        loop.call_every(HURRIED_SUBSCRIBE_SECONDS, self._subscribe_hurriedly)
        loop.call_every(REPORT_SECONDS, self._send_report)
        loop.call_every(SUMMARY_SECONDS, self._send_summary)
        loop.call_every(TARGETS_SECONDS, self._choose_targets)
        loop.call_every(FORGET_SECONDS, self._forget_old)
        loop.call_every(SETTINGS_CHECK_SECONDS, self._check_settings)
        loop.after_each_batch(self._plan_report)

    @property
    def process(self) -> node_process.NodeProcess:
        """The daemon's parts."""
        return self._process

    @property
    def declaration(self) -> traffic.TrafficDeclaration | None:
        """The declaration in force here, None before the first."""
        return self._declaration

    @property
    def registry(self) -> registry.Registry:
        """Backend servers and entries as known here."""
        return self._registry

    @property
    def controls(self) -> tuple[str, ...]:
        """Control hosts as last confirmed."""
        return self._controls

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._log.write("process.started", role="entry", callers=self._settings.listen.callers)
        self._process.run(on_stop=self.begin_stop, on_reload=self._reload)

    # Control.

    def _subscribe(self) -> None:
        """Subscribe to all control hosts, or renew that; one of them also gets a renewed record."""
        record = self._own_record()
        if record != self._told_record:
            self._told_record = record
            self._told_hosts.clear()
        self._subscriptions += 1
        hosts = list(dict.fromkeys((*self._controls, *self._settings.seed_hosts)))
        renewed = hosts[(self._subscriptions // RECORD_RENEWAL) % len(hosts)]
        for host in hosts:
            entries: tuple[inner.EntryRecord, ...] = ()
            if host not in self._told_hosts or not self._process.transport.is_connected(host):
                entries = (record,)
            elif host == renewed and self._subscriptions % RECORD_RENEWAL == 0:
                entries = (attrs.evolve(record, sequence=record.sequence + self._subscriptions),)
            message = inner.Subscribe(
                name=self._process.name,
                version=self._declaration.version if self._declaration else 0,
                entries=entries,
                crashes=tuple(self._new_crashes),
            )
            if self._process.transport.send(host, message):
                self._told_hosts.add(host)
            else:
                self._told_hosts.discard(host)
        self._new_crashes.clear()

    def _subscribe_hurriedly(self) -> None:
        if self._declaration is None:
            self._subscribe()

    def _own_record(self) -> inner.EntryRecord:
        return inner.EntryRecord(
            entry=self._settings.name,
            incarnation=self._incarnation,
            callers=self._settings.listen.callers,
            inner=self._settings.entry_inner,
            zone=self._settings.availability_zone,
            ready=self.is_ready,
            leaving=bool(self._stopping_since),
            # Grows with what it says, by more than renewals ever add.
            sequence=RECORD_STEP * (2 * bool(self._stopping_since) + self.is_ready),
            born=self._born,
        )

    def _deliver(self, sender: str, message: Any, _connection: transports.Connection) -> None:
        match message:
            case inner.ClusterUpdate():
                self._handle_update(sender, message)

    def _handle_update(self, sender: str, update: inner.ClusterUpdate) -> None:
        now = self.loop.now()
        self._control_heard[sender] = now
        for record in update.servers:
            self._handle_server(record, now)
        for record in update.entries:
            self._registry.update_entry(record, now)
        for record in update.crashes:
            self._crashes.setdefault(record.fingerprint, set()).add((record.server, record.born))
        if update.controls and update.confirmed and update.controls != self._controls:
            self._controls = update.controls
            self._log.write("control.hosts", hosts=update.controls)
        waited = now - self._started_at > UNCONFIRMED_SECONDS
        if update.document and (update.confirmed or self._declaration or waited):
            self._adopt(update.version, update.document, sender)

    def _handle_server(self, record: inner.ServerRecord, now: float) -> None:
        before = self._registry.find_server(record.server)
        if not self._registry.update_server(record, now):
            return
        after = self._registry.find_server(record.server)
        if before is None or (before.leaving, before.gone, before.born) != (
            after.leaving,
            after.gone,
            after.born,
        ):
            self._log.write(
                "server.changed",
                server=after.server,
                service=after.service,
                address=after.address,
                leaving=after.leaving,
                gone=after.gone,
                age=round(record.age, 2),
            )
            if after.leaving or after.gone:
                self.pool.drop_server(after.address)

    def _adopt(self, version: int, document: bytes, source: str) -> None:
        """Put a newer declaration in force, whole; an older one changes nothing."""
        if self._declaration is not None and version <= self._declaration.version:
            return
        try:
            declaration = self.dialect.decode_declaration(declared.unpack(document))
        except (errors.InvalidDeclarationError, errors.ProtocolError) as error:
            # Control accepts none that is invalid: this would be a fault of ours.
            self._log.write("declaration.unreadable", version=version, text=str(error))
            self._metrics.count("unreadable_declarations")
            return
        was_ready = self.is_ready
        self._declaration = declaration
        self._metrics.set("declaration_version", version)
        self._log.write("declaration.in_force", version=version, source=source)
        if not was_ready:
            self._subscribe()

    # Settings and stopping.

    def _reload(self) -> None:
        self._path_read = _stamp(self._path)
        try:
            loaded = node_settings.load(self._path)
        except errors.SettingsError as error:
            self._log.write("settings.refused", text=str(error))
            return
        self._settings = attrs.evolve(self._settings, seeds=loaded.seeds)
        self._log.write("settings.reloaded", seeds=loaded.seeds)

    def _check_settings(self) -> None:
        if self._path and _stamp(self._path) != self._path_read:
            self._reload()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._declaration is not None and not self._stopping_since

    def begin_stop(self) -> None:
        """Begin a planned stop: finish what callers still send here, then end."""
        if self._stopping_since:
            return
        self._stopping_since = self.loop.now()
        self._log.write("process.stopping", requests=len(self._active))
        self._front.begin_closing()
        self._subscribe()
        bounds = self._settings.bounds
        self.loop.call_later(bounds.accept_seconds, self._front.stop_accepting)
        self.loop.call_every(STOP_CHECK_SECONDS, self._consider_exit)

    def _consider_exit(self) -> None:
        bounds = self._settings.bounds
        stopping = self.loop.now() - self._stopping_since
        promised = stopping > bounds.accept_seconds
        idle = not self._active and not self._front.busy
        if (promised and idle) or stopping > bounds.stop_seconds - STOP_RESERVE_SECONDS:
            self.loop.stop()

    # Load reports.

    def _plan_report(self) -> None:
        if self.book.has_changed and not self._report_planned:
            self._report_planned = True
            self.loop.call_later(REPORT_DELAY_SECONDS, self._send_report)

    def _send_report(self) -> None:
        self._report_planned = False
        reports = self.book.make_reports(
            entry=self._settings.name,
            incarnation=self._incarnation,
            sequence=next(self._report_numbers),
            now=self.loop.now(),
        )
        for report in reports:
            self._datagrams.send(self._targets.direct, report)

    def _send_summary(self) -> None:
        """Tell the relays of other zones what this zone has running."""
        if not self._targets.far:
            return
        summaries = self.book.make_summary(
            entry=self._settings.name,
            incarnation=self._incarnation,
            sequence=next(self._report_numbers),
            now=self.loop.now(),
        )
        for summary in summaries:
            self._datagrams.send(self._targets.far, summary)

    def _choose_targets(self) -> None:
        now = self.loop.now()
        known = self._registry.entries(now, silence=registry.ENTRY_SILENCE_SECONDS)
        others = [one for one in known if one.entry != self._settings.name]
        self._entries = 1 + len(others)
        self._targets = report_targets.choose_targets(
            self._settings.name,
            self._settings.availability_zone,
            others,
            {one.entry for one in others if self._directory.hears(one.entry, now)},
        )

    def _handle_datagram(self, _sender: str, message: Any) -> None:
        match message:
            case inner.LoadReport():
                now = self.loop.now()
                self._directory.note_heard(message.entry, now)
                self.book.handle_report(message, now)
                far = message.zone != self._settings.availability_zone
                if message.is_summary and far and self._targets.near:
                    self._datagrams.send(self._targets.near, message)

    def _forget_old(self) -> None:
        now = self.loop.now()
        self.book.forget_silent(now)
        self._registry.forget_old(now)
        self._observations.keep_only(
            {observations.name_life(record) for record in self._registry.servers()}
        )
        while len(self._crashes) > MOST_CRASHED_CONTENTS:
            del self._crashes[next(iter(self._crashes))]

    # Calls beside requests.

    def _handle_readiness(self, exchange: http_server.Exchange) -> None:
        if not self.dialect.is_readiness_call(exchange.request):
            exchange.answer(messages.Answer(404))
            return
        exchange.answer(messages.json_answer({}, status=200 if self.is_ready else 503))

    def _handle_directory(self, exchange: http_server.Exchange) -> None:
        try:
            self.dialect.decode_directory_call(exchange.request)
            own = self._own_record()
            addresses = self._directory.addresses(self.loop.now(), own=own)
        except errors.FlamingorampError as error:
            exchange.answer(self.dialect.encode_error(error))
            return
        seconds = self._settings.bounds.address_seconds
        exchange.answer(self.dialect.encode_directory(addresses, seconds))

    # Requests.

    def _caller_limits(self) -> http_server.Limits:
        if self._declaration is None:
            return http_server.Limits()
        return _to_server_limits(self._declaration.limits)

    def _handle_request(self, exchange: http_server.Exchange) -> None:
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
            spread = 1 + RETURN_SPREAD * random.random()
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
        if len(self._crashes.get(fingerprint, ())) >= QUARANTINE_CRASHES:
            raise errors.RequestQuarantinedError("this request broke off several servers")
        limit = route.timeout
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

    def choose(self, admitted: forwarding.Admitted, excluded: set[str]) -> forwarding.Target:
        """Choose where the next attempt of a request goes."""
        now = self.loop.now()
        return self._selection.choose(
            self._declaration,
            admitted,
            excluded,
            now=now,
            hears_control=self._hears_control(now),
            entries=self._entries,
        )

    def _hears_control(self, now: float) -> bool:
        """Tell whether announcements would reach this entry."""
        heard = sum(now - at < 2 * SUBSCRIBE_SECONDS + 1 for at in self._control_heard.values())
        return 2 * heard > len(self._controls)

    # What requests report.

    def note_first_send(self, service: str) -> None:
        """Count the first send of a request."""
        self._allowance(service).note_request(self.loop.now())

    def take_retry(self, service: str) -> bool:
        """Take a repeated send out of the allowance."""
        return self._allowance(service).take(self.loop.now(), entries=self._entries)

    def _allowance(self, service: str) -> allowance.RetryAllowance:
        found = self._allowances.get(service)
        if found is None:
            bounds = self._settings.bounds
            found = allowance.RetryAllowance(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window=bounds.retry_window_seconds,
            )
            self._allowances[service] = found
        return found

    def note_broken(
        self, admitted: forwarding.Admitted, server: inner.ServerRecord, crashed: bool
    ) -> None:
        """Note that a server broke off or couldn't be reached."""
        self._observations.note_broken(observations.name_life(server), self.loop.now())
        self._metrics.count("servers_broken")
        if crashed:
            record = inner.CrashRecord(admitted.fingerprint, server.server, server.born)
            self._crashes.setdefault(record.fingerprint, set()).add((server.server, server.born))
            self._new_crashes.append(record)

    def explains_silence(self, admitted: forwarding.Admitted, server: inner.ServerRecord) -> bool:
        """Tell whether an engine reads long prompts, or has more requests than slots."""
        service = self._declaration.find_service(admitted.service)
        if service is None or service.engine is None:
            return False
        load = self.book.load(server.server, self.loop.now())
        return load.reading_seconds > 0 or load.answers > service.engine.slots

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
        if declared is None or declared.engine is None or len(gaps) < 4:
            return
        usual = sorted(gaps)[len(gaps) // 4]
        pace = usual / declared.engine.pass_seconds
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


def _stamp(path: str) -> float:
    try:
        return os.stat(path).st_mtime if path else 0.0
    except OSError:
        return 0.0  # it is being replaced; the next look finds it


def _fingerprint(caller: dialects.CallerRequest, body: bytes) -> str:
    """Return what names the content of a request, whoever sends it again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(caller.key.encode())
    digest.update(caller.path.encode())
    return digest.hexdigest()


def _urgency(route: traffic.Route) -> int:
    """Return how much less urgent than plain calls and short prompts a route's requests are."""
    if route.pause_objective <= load_book.STRICT_PAUSE_SECONDS:
        return 0
    return 1


def _to_server_limits(limits: traffic.CallerLimits) -> http_server.Limits:
    return http_server.Limits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_seconds=limits.header_seconds,
        idle_seconds=limits.idle_seconds,
    )
