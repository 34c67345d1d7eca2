"""The daemon of an entry host that finds control by seeds and shares its load by reports.

It keeps serving by the declaration that it has while control can't be reached.
"""

from __future__ import annotations

import os
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.daemons import node_process
from flamingoramp.dispatch import request_handler
from flamingoramp.http import client, messages
from flamingoramp.http import server as http_server
from flamingoramp.intent import traffic, versioned_declaration
from flamingoramp.membership import entry_directory, registry
from flamingoramp.protocol import messages as inner
from flamingoramp.routing import load_exchange, load_table
from flamingoramp.runtime import datagrams, node_settings
from flamingoramp.runtime import transport as transports

SUBSCRIBE_SECONDS = 0.5
# Renewals of a subscription after which one control host gets a renewed record of the entry.
RECORD_RENEWAL = 16
RECORD_STEP = 2**40
# An entry that knows no declaration asks this often, as control hosts may start beside it.
HURRIED_SUBSCRIBE_SECONDS = 0.1
FORGET_SECONDS = 1.0
SETTINGS_CHECK_SECONDS = 2.0
STOP_CHECK_SECONDS = 0.05
# A stopping entry ends this long before the platform would kill it.
STOP_RESERVE_SECONDS = 0.3
# A version from a control host that doesn't hear the leader counts only after this wait.
UNCONFIRMED_SECONDS = 1.5


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
        self._dialect = dialect
        self._process = node_process.NodeProcess(
            settings,
            role="entry",
            inner=settings.entry_internal_address,
            deliver=self._deliver,
            log_descriptor=log_descriptor,
        )
        self.loop = self._process.loop
        self._log = self._process.log
        self._metrics = self._process.metrics
        self._incarnation = self._process.new_incarnation()
        self._born = self._process.wall_time()
        self._started_at = self.loop.now()
        self._registry = registry.Registry()
        self._controls: tuple[str, ...] = ()
        self._control_heard: dict[str, float] = {}
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._book = load_table.LoadTable(settings.availability_zone)
        self._pool = client.Pool(self.loop)
        self._desk = request_handler.RequestHandler(
            self.loop,
            self._pool,
            self._dialect,
            server_registry=self._registry,
            book=self._book,
            log=self._log,
            metrics=self._metrics,
            bounds=settings.bounds,
            zone=settings.availability_zone,
            receives_control_updates=self._hears_control,
        )
        self._subscriptions = 0
        self._told_record: inner.EntryRecord | None = None
        self._told_hosts: set[str] = set()
        self._stopping_since = 0.0
        self._datagrams = datagrams.DatagramSocket(
            self.loop,
            listen=settings.entry_internal_address,
            deliver=self._handle_datagram,
            on_protocol_error=self._process.note_protocol_error,
            traffic=self._process.transport.traffic,
        )
        self._load_exchange = load_exchange.LoadExchange(
            self.loop,
            self._book,
            member_registry=self._registry,
            directory=self._directory,
            name=settings.name,
            incarnation=self._incarnation,
            zone=settings.availability_zone,
            send=self._datagrams.send,
        )
        self._process.at_end(self._datagrams.close)
        self._process.at_end(self._pool.close)
        self._front = self._process.serve(
            settings.listen.callers, self._desk.handle_request, limits=self._caller_limits
        )
        self._serve_calls(settings.listen)
        self._start_timers()

    def _serve_calls(self, listen: node_settings.ListenSettings) -> None:
        """Serve what is asked beside requests, where the settings name an address for it."""
        if listen.readiness:
            self._process.serve(listen.readiness, self._handle_readiness)
        if listen.directory:
            self._process.serve(listen.directory, self._handle_directory)

    def _start_timers(self) -> None:
        loop = self.loop
        loop.call_later(0.0, self._subscribe)
        loop.call_every(SUBSCRIBE_SECONDS, self._subscribe)
        loop.call_every(HURRIED_SUBSCRIBE_SECONDS, self._subscribe_hurriedly)
        loop.call_every(FORGET_SECONDS, self._forget_old)
        loop.call_every(SETTINGS_CHECK_SECONDS, self._check_settings)
        loop.after_each_iteration(self._share_load)

    @property
    def process(self) -> node_process.NodeProcess:
        """The daemon's parts."""
        return self._process

    @property
    def declaration(self) -> traffic.TrafficDeclaration | None:
        """The declaration in force here, None before the first."""
        return self._desk.declaration

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
        crashes = self._desk.drain_crash_records()
        hosts = list(dict.fromkeys((*self._controls, *self._settings.seed_internal_addresses)))
        renewed = hosts[(self._subscriptions // RECORD_RENEWAL) % len(hosts)]
        for host in hosts:
            entries: tuple[inner.EntryRecord, ...] = ()
            if host not in self._told_hosts or not self._process.transport.is_connected(host):
                entries = (record,)
            elif host == renewed and self._subscriptions % RECORD_RENEWAL == 0:
                entries = (attrs.evolve(record, sequence=record.sequence + self._subscriptions),)
            message = inner.Subscribe(
                name=self._process.name,
                version=self.declaration.version if self.declaration else 0,
                entries=entries,
                crashes=crashes,
            )
            if self._process.transport.send(host, message):
                self._told_hosts.add(host)
            else:
                self._told_hosts.discard(host)

    def _subscribe_hurriedly(self) -> None:
        if self.declaration is None:
            self._subscribe()

    def _own_record(self) -> inner.EntryRecord:
        return inner.EntryRecord(
            entry=self._settings.name,
            incarnation=self._incarnation,
            callers=self._settings.listen.callers,
            inner=self._settings.entry_internal_address,
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
        self._desk.add_crash_records(update.crashes)
        if update.controls and update.confirmed and update.controls != self._controls:
            self._controls = update.controls
            self._log.write("control.hosts", hosts=update.controls)
        waited = now - self._started_at > UNCONFIRMED_SECONDS
        if update.document and (update.confirmed or self.declaration or waited):
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
                self._pool.close_idle_connections(after.address)

    def _adopt(self, version: int, document: bytes, source: str) -> None:
        """Put a newer declaration in force, whole; an older one changes nothing."""
        if self.declaration is not None and version <= self.declaration.version:
            return
        try:
            declaration = self._dialect.decode_declaration(
                versioned_declaration.decompress(document)
            )
        except (errors.InvalidDeclarationError, errors.ProtocolError) as error:
            # Control accepts none that is invalid: this would be a fault of ours.
            self._log.write("declaration.unreadable", version=version, text=str(error))
            self._metrics.count("unreadable_declarations")
            return
        was_ready = self.is_ready
        self._desk.apply_declaration(declaration)
        self._metrics.set_gauge("declaration_version", version)
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
        return self.declaration is not None and not self._stopping_since

    def begin_stop(self) -> None:
        """Begin a planned stop: finish what callers still send here, then end."""
        if self._stopping_since:
            return
        self._stopping_since = self.loop.now()
        self._log.write("process.stopping", requests=self._desk.active_count)
        self._front.begin_closing()
        self._subscribe()
        bounds = self._settings.bounds
        self.loop.call_later(bounds.accept_seconds, self._front.stop_accepting)
        self.loop.call_every(STOP_CHECK_SECONDS, self._consider_exit)

    def _consider_exit(self) -> None:
        bounds = self._settings.bounds
        stopping = self.loop.now() - self._stopping_since
        promised = stopping > bounds.accept_seconds
        idle = not self._desk.active_count and not self._front.busy_count
        if (promised and idle) or stopping > bounds.stop_seconds - STOP_RESERVE_SECONDS:
            self.loop.stop()

    # Load.

    def _handle_datagram(self, message: Any) -> None:
        match message:
            case inner.LoadReport():
                self._load_exchange.handle_report(message)

    def _share_load(self) -> None:
        self._desk.entry_count = self._load_exchange.entry_count
        self._load_exchange.schedule_report()

    def _forget_old(self) -> None:
        now = self.loop.now()
        self._book.remove_expired_reports(now)
        self._registry.remove_expired(now)
        self._desk.evict_stale()

    # Calls beside requests.

    def _handle_readiness(self, exchange: http_server.Exchange) -> None:
        if not self._dialect.is_readiness_call(exchange.request):
            exchange.respond(messages.Response(404))
            return
        exchange.respond(messages.json_response({}, status=200 if self.is_ready else 503))

    def _handle_directory(self, exchange: http_server.Exchange) -> None:
        try:
            self._dialect.decode_directory_call(exchange.request)
            own = self._own_record()
            addresses = self._directory.addresses(self.loop.now(), own=own)
        except errors.FlamingorampError as error:
            exchange.respond(self._dialect.encode_error(error))
            return
        seconds = self._settings.bounds.address_seconds
        exchange.respond(self._dialect.encode_directory(addresses, seconds))

    def _caller_limits(self) -> http_server.Limits:
        if self.declaration is None:
            return http_server.Limits()
        return _to_server_limits(self.declaration.limits)

    def _hears_control(self) -> bool:
        """Tell whether announcements would reach this entry."""
        now = self.loop.now()
        heard = sum(now - at < 2 * SUBSCRIBE_SECONDS + 1 for at in self._control_heard.values())
        return 2 * heard > len(self._controls)


def _stamp(path: str) -> float:
    try:
        return os.stat(path).st_mtime if path else 0.0
    except OSError:
        return 0.0  # it is being replaced; the next look finds it


def _to_server_limits(limits: traffic.CallerLimits) -> http_server.Limits:
    return http_server.Limits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_seconds=limits.header_seconds,
        idle_seconds=limits.idle_seconds,
    )
