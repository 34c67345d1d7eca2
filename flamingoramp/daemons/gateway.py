"""Daemon of an entry host that finds the control hosts by seed addresses.

It serves callers, exchanges load reports with other entries, and keeps serving by its last
declaration while no control host can be reached.
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
from flamingoramp.membership import (
    control_contacts,
    entry_directory,
    registry,
    subscriptions,
)
from flamingoramp.protocol import load_reports
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_exchange, load_table, report_targets
from flamingoramp.runtime import datagrams, node_settings
from flamingoramp.runtime import transport as transports

SUBSCRIBE_INTERVAL_SECONDS = 0.5
# Number of subscription renewals after which one control host gets a renewed entry record.
SUBSCRIPTIONS_PER_RECORD_RENEWAL = 16
RECORD_SEQUENCE_STEP = 2**40
# Used until the first declaration; shorter, as control hosts may start together with the entry.
INITIAL_SUBSCRIBE_INTERVAL_SECONDS = 0.1
EVICTION_INTERVAL_SECONDS = 1.0
SETTINGS_CHECK_INTERVAL_SECONDS = 2.0
# The other entries go on sending a content that crashes servers until they are told.
CRASH_REPORT_DELAY_SECONDS = 0.01
STOP_CHECK_INTERVAL_SECONDS = 0.05
# A stopping entry exits this long before `stop_seconds` have passed, when the platform kills it.
STOP_RESERVE_SECONDS = 0.3
# An entry without a declaration applies one from a control host that has no contact with the leader
# only after this time since its start.
UNCONFIRMED_DECLARATION_DELAY_SECONDS = 1.5


class Gateway:
    """Entry daemon of one host.

    Parameters
    ----------
    settings : node_settings.NodeSettings
    dialect : dialects.Dialect
    settings_path : str
        Settings file, which is reloaded when it changes; empty to never reload.
    log_descriptor : int
        File descriptor that log lines are written to.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        *,
        settings_path: str = "",
        log_descriptor: int = 1,
    ):
        self._settings = settings
        self._settings_path = settings_path
        self._loaded_mtime = _read_mtime(settings_path)
        self._dialect = dialect
        self._process = node_process.NodeProcess(
            settings,
            role="entry",
            internal_address=settings.entry_internal_address,
            deliver=self._handle_message,
            log_descriptor=log_descriptor,
            survives_errors=True,
        )
        self.loop = self._process.loop
        self._log = self._process.log
        self._metrics = self._process.metrics
        self._incarnation = self._process.new_incarnation()
        self._start_wall_time = self._process.wall_time()
        self._started_at = self.loop.now()
        self._registry = registry.Registry()
        self._control_hosts: tuple[str, ...] = ()
        self._contacts = control_contacts.ControlContacts(
            name=settings.name, zone=settings.availability_zone
        )
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._server_loads = load_table.LoadTable(settings.availability_zone)
        self._pool = client.Pool(self.loop)
        self._request_handler = self._make_request_handler()
        self._subscribe_count = 0
        self._is_crash_report_scheduled = False
        self._sent_record: protocol_messages.EntryRecord | None = None
        self._hosts_with_record: set[str] = set()
        self._recorded_state: tuple[bool, ...] = ()
        self._state_change_count = 0
        self._stop_began_at = 0.0
        self._datagrams = self._make_datagram_socket()
        self._load_exchange = self._make_load_exchange()
        self._process.add_cleanup(self._datagrams.close)
        self._process.add_cleanup(self._pool.close)
        self._process.add_cleanup(self._request_handler.peer_pool.close)
        self._caller_server = self._process.serve(
            settings.listen.callers, self._request_handler.handle_request, limits=self._http_limits
        )
        self._serve_other_endpoints(settings.listen)
        self._start_timers()

    def _make_request_handler(self) -> request_handler.RequestHandler:
        return request_handler.RequestHandler(
            self.loop,
            self._pool,
            self._dialect,
            server_registry=self._registry,
            server_loads=self._server_loads,
            log=self._log,
            metrics=self._metrics,
            bounds=self._settings.bounds,
            zone=self._settings.availability_zone,
            receives_control_updates=self._receives_control_updates,
            find_peers=self._find_peers,
            tries_suspects=self._tries_suspects,
            on_cut_changed=self._subscribe,
        )

    def _make_datagram_socket(self) -> datagrams.DatagramSocket:
        return datagrams.DatagramSocket(
            self.loop,
            listen=self._settings.entry_internal_address,
            deliver=self._handle_datagram,
            on_protocol_error=self._process.record_protocol_error,
            traffic=self._process.transport.traffic,
        )

    def _make_load_exchange(self) -> load_exchange.LoadExchange:
        return load_exchange.LoadExchange(
            self.loop,
            self._server_loads,
            member_registry=self._registry,
            directory=self._directory,
            name=self._settings.name,
            incarnation=self._incarnation,
            zone=self._settings.availability_zone,
            send=self._datagrams.send,
        )

    def _serve_other_endpoints(self, listen: node_settings.ListenSettings) -> None:
        """Serve readiness and directory if the settings give addresses to listen on for them."""
        if listen.readiness:
            self._process.serve(listen.readiness, self._handle_readiness)
        if listen.directory:
            self._process.serve(listen.directory, self._handle_directory)

    def _start_timers(self) -> None:
        loop = self.loop
        loop.call_later(0.0, self._subscribe)
        loop.call_every(SUBSCRIBE_INTERVAL_SECONDS, self._subscribe)
        loop.call_later(INITIAL_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_until_declared)
        loop.call_every(EVICTION_INTERVAL_SECONDS, self._evict_expired)
        loop.call_every(SETTINGS_CHECK_INTERVAL_SECONDS, self._check_settings)
        loop.after_each_iteration(self._schedule_load_report)
        loop.after_each_iteration(self._report_crashes)

    @property
    def process(self) -> node_process.NodeProcess:
        """Event loop, transport, HTTP servers, log and metrics."""
        return self._process

    @property
    def declaration(self) -> traffic.TrafficDeclaration | None:
        """Declaration in force at this entry; None before the first."""
        return self._request_handler.declaration

    @property
    def registry(self) -> registry.Registry:
        """Backend servers and entries that control hosts announced to this entry."""
        return self._registry

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """Control hosts as the leader last confirmed them."""
        return self._control_hosts

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._log.write("process.started", role="entry", callers=self._settings.listen.callers)
        self._process.run(on_stop=self.begin_stop, on_reload=self._reload)

    # Updates from control hosts.

    def _subscribe(self) -> None:
        """Subscribe to all control hosts, or renew the subscriptions.

        The primary sends its records and new versions; to the others, this entry subscribes as
        standby. A host gets the entry's record and the evidence against refused contents if it has
        none yet or has reconnected. Every
        `SUBSCRIPTIONS_PER_RECORD_RENEWAL` renewals, one host gets a record with a higher sequence
        number.
        """
        record = self._make_entry_record()
        if record != self._sent_record:
            self._sent_record = record
            self._hosts_with_record.clear()
        self._subscribe_count += 1
        now = self.loop.now()
        new_crashes = self._request_handler.crash_evidence.drain_records(now)
        hosts = list(dict.fromkeys((*self._control_hosts, *self._settings.seed_internal_addresses)))
        primary = self._choose_primary(hosts)
        renewal_host = hosts[
            (self._subscribe_count // SUBSCRIPTIONS_PER_RECORD_RENEWAL) % len(hosts)
        ]
        for host in hosts:
            entries: tuple[protocol_messages.EntryRecord, ...] = ()
            crashes = new_crashes
            if host not in self._hosts_with_record or not self._process.transport.is_connected(
                host
            ):
                entries = (record,)
                crashes += self._request_handler.crash_evidence.list_records(now)
            elif (
                host == renewal_host
                and self._subscribe_count % SUBSCRIPTIONS_PER_RECORD_RENEWAL == 0
            ):
                entries = (attrs.evolve(record, sequence=record.sequence + self._subscribe_count),)
            message = protocol_messages.Subscribe(
                name=self._process.name,
                version=self.declaration.version if self.declaration else 0,
                entries=entries,
                crashes=crashes,
                standby=host != primary,
            )
            if self._process.transport.send(host, message):
                self._hosts_with_record.add(host)
            else:
                self._hosts_with_record.discard(host)

    def _choose_primary(self, hosts: list[str]) -> str:
        previous = self._contacts.primary
        primary = self._contacts.choose_primary(hosts, self.loop.now())
        if primary != previous:
            self._log.write("control.primary", host=primary, previous=previous)
            self._metrics.count("control_primary_changes")
        return primary

    def _subscribe_until_declared(self) -> None:
        if self.declaration is None:
            self._subscribe()
            self.loop.call_later(INITIAL_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_until_declared)

    def _make_entry_record(self) -> protocol_messages.EntryRecord:
        state = (self.is_ready, bool(self._stop_began_at), self._request_handler.is_cut_off)
        if state != self._recorded_state:
            self._recorded_state = state
            self._state_change_count += 1
        return protocol_messages.EntryRecord(
            entry=self._settings.name,
            incarnation=self._incarnation,
            callers=self._settings.listen.callers,
            inner=self._settings.entry_internal_address,
            zone=self._settings.availability_zone,
            ready=self.is_ready,
            leaving=bool(self._stop_began_at),
            cut_off=self._request_handler.is_cut_off,
            # Increases with each change of state, by more than renewals ever add.
            sequence=RECORD_SEQUENCE_STEP * self._state_change_count,
            born=self._start_wall_time,
        )

    def _handle_message(
        self, sender: str, message: Any, _connection: transports.Connection
    ) -> None:
        match message:
            case protocol_messages.ClusterUpdate():
                self._handle_update(sender, message)

    def _handle_update(self, sender: str, update: protocol_messages.ClusterUpdate) -> None:
        now = self.loop.now()
        host = sender.partition("#")[0]
        # A standby that answers while the primary is silent takes over without waiting for the
        # next renewal of the subscriptions.
        replaces_primary = self._contacts.is_primary_silent(now) and host != self._contacts.primary
        self._contacts.record_update(host, confirmed=update.confirmed, zone=update.zone, now=now)
        if replaces_primary:
            self._subscribe()
        for record in update.servers:
            self._handle_server_record(record, now)
        for record in update.entries:
            self._registry.update_entry(record, now)
        self._request_handler.crash_evidence.apply_records(update.crashes, now)
        if update.controls and update.confirmed and update.controls != self._control_hosts:
            self._control_hosts = update.controls
            self._log.write("control.hosts", hosts=update.controls)
        delay_is_over = now - self._started_at > UNCONFIRMED_DECLARATION_DELAY_SECONDS
        if update.document and (update.confirmed or self.declaration or delay_is_over):
            self._apply_declaration(update.version, update.document, sender)
        if update.servers:
            self._request_handler.handle_announcements()

    def _handle_server_record(self, record: protocol_messages.ServerRecord, now: float) -> None:
        previous = self._registry.find_server(record.server)
        if not self._registry.update_server(record, now):
            return
        current = self._registry.find_server(record.server)
        if (record.born, record.sequence) == (current.born, current.sequence):
            self._request_handler.warm_ups.record_announcement(
                attrs.evolve(current, age=record.age)
            )
        if previous is None or (previous.leaving, previous.gone, previous.born) != (
            current.leaving,
            current.gone,
            current.born,
        ):
            self._log.write(
                "server.changed",
                server=current.server,
                service=current.service,
                address=current.address,
                leaving=current.leaving,
                gone=current.gone,
                age=round(record.age, 2),
            )
            if current.leaving or current.gone:
                self._pool.close_idle_connections(current.address)

    def _apply_declaration(self, version: int, document: bytes, source: str) -> None:
        """Put a declaration in force if it is newer than the one in force."""
        if self.declaration is not None and version <= self.declaration.version:
            return
        try:
            declaration = self._dialect.decode_declaration(
                versioned_declaration.decompress(document)
            )
        except (errors.InvalidDeclarationError, errors.ProtocolError) as error:
            # Control hosts reject invalid declarations, so this would be a fault of this program.
            self._log.write("declaration.unreadable", version=version, text=str(error))
            self._metrics.count("unreadable_declarations")
            return
        was_ready = self.is_ready
        self._request_handler.apply_declaration(declaration)
        self._metrics.set_gauge("declaration_version", version)
        self._log.write("declaration.in_force", version=version, source=source)
        if not was_ready:
            self._subscribe()

    # Settings and planned stop.

    def _reload(self) -> None:
        self._loaded_mtime = _read_mtime(self._settings_path)
        try:
            loaded = node_settings.load(self._settings_path)
        except errors.SettingsError as error:
            self._log.write("settings.refused", text=str(error))
            return
        self._settings = attrs.evolve(self._settings, seeds=loaded.seeds)
        self._log.write("settings.reloaded", seeds=loaded.seeds)

    def _check_settings(self) -> None:
        if self._settings_path and _read_mtime(self._settings_path) != self._loaded_mtime:
            self._reload()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this entry."""
        return self.declaration is not None and not self._stop_began_at

    def begin_stop(self) -> None:
        """Begin a planned stop: serve requests that are in progress or still arrive, then exit."""
        if self._stop_began_at:
            return
        self._stop_began_at = self.loop.now()
        self._log.write("process.stopping", requests=self._request_handler.active_count)
        self._caller_server.begin_closing()
        self._subscribe()
        bounds = self._settings.bounds
        self.loop.call_later(bounds.accept_seconds, self._caller_server.stop_accepting)
        self.loop.call_every(STOP_CHECK_INTERVAL_SECONDS, self._stop_if_drained)

    def _stop_if_drained(self) -> None:
        bounds = self._settings.bounds
        stopping_seconds = self.loop.now() - self._stop_began_at
        accept_period_over = stopping_seconds > bounds.accept_seconds
        idle = not self._request_handler.active_count and not self._caller_server.busy_count
        if (
            accept_period_over and idle
        ) or stopping_seconds > bounds.stop_seconds - STOP_RESERVE_SECONDS:
            self.loop.stop()

    # Load reports.

    def _handle_datagram(self, message: Any) -> None:
        match message:
            case load_reports.LoadReport():
                self._load_exchange.handle_report(message)

    def _report_crashes(self) -> None:
        """Report new evidence of crashes at once, for all that is found within a short time."""
        if self._request_handler.crash_evidence.has_news and not self._is_crash_report_scheduled:
            self._is_crash_report_scheduled = True
            self.loop.call_later(CRASH_REPORT_DELAY_SECONDS, self._send_crash_report)

    def _send_crash_report(self) -> None:
        self._is_crash_report_scheduled = False
        self._subscribe()

    def _find_peers(self) -> list[protocol_messages.EntryRecord]:
        return self._directory.find_peers(self._settings.name, self.loop.now())

    def _tries_suspects(self, fingerprint: str) -> bool:
        """Return whether this entry is the first of all by rank for a fingerprint."""
        names = {record.entry for record in self._registry.entries() if not record.leaving}
        rank = report_targets.rank_by(fingerprint)
        return min(names | {self._settings.name}, key=rank) == self._settings.name

    def _schedule_load_report(self) -> None:
        self._request_handler.entry_count = self._load_exchange.entry_count
        self._request_handler.log_server_changes()
        self._load_exchange.schedule_report()

    def _evict_expired(self) -> None:
        now = self.loop.now()
        self._server_loads.remove_expired_reports(now)
        self._registry.remove_expired(now)
        self._request_handler.evict_stale()

    # Readiness, directory and caller limits.

    def _handle_readiness(self, exchange: http_server.Exchange) -> None:
        if not self._dialect.is_readiness_call(exchange.request):
            exchange.respond(messages.Response(404))
            return
        exchange.respond(messages.json_response({}, status=200 if self.is_ready else 503))

    def _handle_directory(self, exchange: http_server.Exchange) -> None:
        try:
            caller_zone = self._dialect.decode_directory_call(exchange.request)
            addresses = self._directory.addresses(
                self.loop.now(), caller_zone=caller_zone, own=self._make_entry_record()
            )
        except errors.FlamingorampError as error:
            exchange.respond(self._dialect.encode_error(error))
            return
        seconds = self._settings.bounds.address_seconds
        exchange.respond(self._dialect.encode_directory(addresses, seconds))

    def _http_limits(self) -> http_server.Limits:
        if self.declaration is None:
            return http_server.Limits()
        return _to_server_limits(self.declaration.limits)

    def _receives_control_updates(self) -> bool:
        """Return whether more than half of the control hosts sent an update recently.

        If not, announcements of backend servers may not reach this entry.
        """
        now = self.loop.now()
        recent_count = self._contacts.heard_count(
            now, within_seconds=2 * subscriptions.HEARTBEAT_SECONDS
        )
        return 2 * recent_count > len(self._control_hosts)


def _read_mtime(settings_path: str) -> float:
    try:
        return os.stat(settings_path).st_mtime if settings_path else 0.0
    except OSError:
        return 0.0  # the file is being replaced; the next check reads it


def _to_server_limits(limits: traffic.CallerLimits) -> http_server.Limits:
    return http_server.Limits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_seconds=limits.header_seconds,
        idle_seconds=limits.idle_seconds,
    )
