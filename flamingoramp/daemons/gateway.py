"""Daemon of an entry host that finds the control hosts by seed addresses.

It serves callers, exchanges load reports with other entries, and keeps serving by its last
declaration while no control host can be reached.
"""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.daemons import declaration_updates, node_process, start_steps
from flamingoramp.dispatch import request_handler
from flamingoramp.http import client, exchanges, messages
from flamingoramp.intent import traffic
from flamingoramp.membership import (
    control_contacts,
    declaration_offers,
    entry_directory,
    evacuated_zones,
    registry,
)
from flamingoramp.protocol import load_reports
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_exchange, load_table, report_targets
from flamingoramp.runtime import datagrams, listeners, node_settings, settings_watch
from flamingoramp.runtime import transport as transports

SUBSCRIBE_INTERVAL_SECONDS = 0.5
# Number of subscription renewals after which one control host gets a renewed entry record.
SUBSCRIPTIONS_PER_RECORD_RENEWAL = 16
RECORD_SEQUENCE_STEP = 2**40
# Until the first declaration, hosts without an open connection are tried at this interval; control
# hosts may start together with the entry.
INITIAL_SUBSCRIBE_INTERVAL_SECONDS = 0.05
EVICTION_INTERVAL_SECONDS = 1.0
# The other entries go on sending a content that crashes servers until they are told.
CRASH_REPORT_DELAY_SECONDS = 0.01
STOP_CHECK_INTERVAL_SECONDS = 0.05
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
    opened : listeners.Listeners or None
        Listening sockets that the program has opened already.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        *,
        settings_path: str = "",
        log_descriptor: int = 1,
        opened: listeners.Listeners | None = None,
    ):
        self._settings = settings
        self._dialect = dialect
        self._process = node_process.NodeProcess(
            settings,
            role="entry",
            # Control hosts answer on the connections that an entry opens.
            internal_address="",
            deliver=self._handle_message,
            log_descriptor=log_descriptor,
            opened=opened,
            survives_errors=True,
        )
        self.loop = self._process.loop
        self._log = self._process.log
        self._settings_watch = settings_watch.SettingsWatch(
            self.loop, settings_path, self._log, self._use_reloaded
        )
        self._metrics = self._process.metrics
        self._incarnation = self._process.new_incarnation()
        self._start_wall_time = self._process.wall_time()
        self._started_at = self.loop.now()
        self._registry = registry.Registry()
        self._evacuations = evacuated_zones.EvacuatedZones(
            waits_after_suspension=settings.bounds.evacuate_milliseconds > 0
        )
        self._control_hosts: tuple[str, ...] = ()
        self._contacts = control_contacts.ControlContacts(
            name=settings.name, zone=settings.availability_zone
        )
        self._directory = entry_directory.EntryDirectory(self._registry)
        self._server_loads = load_table.LoadTable(settings.availability_zone)
        self._pool = client.Pool(self.loop, account=self._process.account)
        self._datagrams = self._make_datagram_socket()
        self._load_exchange = self._make_load_exchange()
        self._request_handler = self._make_request_handler()
        self._declaration_updates = declaration_updates.DeclarationUpdates(
            self.loop,
            dialect,
            log=self._log,
            metrics=self._metrics,
            find_declaration=lambda: self.declaration,
            apply=self._apply_declaration,
            on_base_missing=self._subscribe,
        )
        self._subscribe_count = 0
        self._is_crash_report_scheduled = False
        self._sent_record: protocol_messages.EntryRecord | None = None
        self._hosts_with_record: set[str] = set()
        # Whether the last subscription that a host was sent is one as standby.
        self._sent_standby: dict[str, bool] = {}
        self._offers = declaration_offers.DeclarationOffers(
            applies_unconfirmed_at=self._started_at + UNCONFIRMED_DECLARATION_DELAY_SECONDS
        )
        self._recorded_state: tuple[bool, ...] = ()
        self._state_change_count = 0
        self._stop_began_at = 0.0
        self._has_given_up = False
        self._process.add_cleanup(self._datagrams.close)
        self._process.add_cleanup(self._pool.close)
        self._process.add_cleanup(self._request_handler.peer_pool.close)
        self._caller_server = self._process.serve(
            settings.listen.callers,
            self._request_handler.handle_request,
            limits=self._http_limits,
            on_undelivered=self._record_undelivered,
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
            find_peers=self._find_peers,
            tries_suspects=self._tries_suspects,
            on_cut_changed=self._subscribe,
            evacuations=self._evacuations,
            awaits_zone_update=self._awaits_zone_update,
            on_request_started=self._record_request_start,
            name=self._settings.name,
            placement_announcer=self._load_exchange,
            send_to_entries=self._load_exchange.send_to_all,
            account=self._process.account,
            on_error=self._process.record_contained_error,
        )

    def _record_request_start(self) -> None:
        self._process.start_steps.record(start_steps.Step.REQUEST_STARTED)

    def _make_datagram_socket(self) -> datagrams.DatagramSocket:
        address = self._settings.entry_internal_address
        return datagrams.DatagramSocket(
            self.loop,
            listen=address,
            deliver=self._handle_datagram,
            on_protocol_error=self._process.record_protocol_error,
            traffic=self._process.transport.traffic,
            bound=self._process.take_datagram_socket(address),
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
            self._process.serve_bodiless(listen.readiness, self._handle_readiness)
        if listen.directory:
            self._process.serve_bodiless(listen.directory, self._handle_directory)

    def _start_timers(self) -> None:
        loop = self.loop
        loop.call_later(0.0, self._subscribe)
        loop.call_every(SUBSCRIBE_INTERVAL_SECONDS, self._subscribe)
        loop.call_later(INITIAL_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_until_declared)
        loop.call_later(UNCONFIRMED_DECLARATION_DELAY_SECONDS, self._apply_unconfirmed)
        loop.call_every(EVICTION_INTERVAL_SECONDS, self._evict_expired)
        loop.after_each_iteration(self._observe_suspension)
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
    def evacuated_zones(self) -> tuple[str, ...]:
        """Evacuated availability zones as this entry knows them, sorted."""
        return self._evacuations.zones

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """Control hosts as the leader last confirmed them."""
        return self._control_hosts

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._log.write("process.started", role="entry", callers=self._settings.listen.callers)
        self._process.run(on_stop=self.begin_stop, on_reload=self._settings_watch.reload)

    # Updates from control hosts.

    def _apply_unconfirmed(self) -> None:
        """Apply a declaration that no control host could confirm in time."""
        offer = self._offers.newest(self.loop.now())
        if self.declaration is None and offer is not None:
            self._receive_offer(offer, "unconfirmed")

    def _subscribe(self, *, renews: bool = True) -> None:
        """Subscribe to all control hosts, or renew the subscriptions.

        The primary sends its records and new versions; to the others, this entry subscribes as
        standby. A host gets the entry's record and the evidence against refused contents if it has
        none yet or has reconnected. Every
        `SUBSCRIPTIONS_PER_RECORD_RENEWAL` renewals, one host gets a record with a higher sequence
        number. Without ``renews``, hosts that have the same subscription on an open connection get
        nothing: those that are starting would have to read all repetitions first.
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
            is_standby = host != primary
            if not renews and not new_crashes and self._is_subscribed(host, is_standby):
                continue
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
                version=self._declaration_updates.held_version,
                base_version=self._declaration_updates.base_version(host),
                entries=entries,
                crashes=crashes,
                standby=is_standby,
                evacuation_number=self._evacuations.number,
                probe=self._evacuations.probe,
            )
            if self._process.transport.send(host, message):
                self._hosts_with_record.add(host)
                self._sent_standby[host] = is_standby
            else:
                self._hosts_with_record.discard(host)
                self._sent_standby.pop(host, None)

    def _is_subscribed(self, host: str, is_standby: bool) -> bool:
        """Return whether a host has been sent this subscription and this entry's record."""
        return (
            self._process.transport.is_connected(host)
            and host in self._hosts_with_record
            and self._sent_standby.get(host) == is_standby
        )

    def _choose_primary(self, hosts: list[str]) -> str:
        previous = self._contacts.primary
        primary = self._contacts.choose_primary(hosts, self.loop.now())
        if primary != previous:
            self._log.write("control.primary", host=primary, previous=previous)
            self._metrics.count("control_primary_changes")
        return primary

    def _subscribe_until_declared(self) -> None:
        if self.declaration is None:
            self._subscribe(renews=False)
            self.loop.call_later(INITIAL_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_until_declared)

    def _observe_suspension(self) -> None:
        """Ask the control hosts what is in force after this process did not run for a time."""
        if self._evacuations.observe(self.loop.now(), self._process.wall_time()):
            self._metrics.count("entry_resumes")
            self._log.write("entry.resumed", number=self._evacuations.number)
            self._subscribe_until_current()

    def _subscribe_until_current(self) -> None:
        if self._evacuations.awaits_update(self.loop.now()):
            self._subscribe()
            self.loop.call_later(INITIAL_SUBSCRIBE_INTERVAL_SECONDS, self._subscribe_until_current)

    def _awaits_zone_update(self) -> bool:
        """Return whether what is to be sent to servers has to wait for an update."""
        self._observe_suspension()
        return self._evacuations.awaits_update(self.loop.now())

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
        if update.entries:
            self._load_exchange.handle_member_change()
        self._request_handler.crash_evidence.apply_records(update.crashes, now)
        if update.controls and update.confirmed and update.controls != self._control_hosts:
            self._control_hosts = update.controls
            self._log.write("control.hosts", hosts=update.controls)
        self._apply_evacuations(update, sender)
        self._receive_version(update, host, sender)
        if update.servers:
            self._request_handler.handle_announcements()
        if self.declaration is None and update.confirmed and host != self._contacts.primary:
            self._subscribe(renews=False)

    def _receive_version(
        self, update: protocol_messages.ClusterUpdate, host: str, source: str
    ) -> None:
        """Receive the version in an update; the first one only once it may be applied."""
        if self.declaration is not None:
            self._declaration_updates.receive(update, source)
            return
        offer = declaration_offers.Offer(update.version, update.document)
        offer = self._offers.handle_update(
            host, offer, confirmed=update.confirmed, now=self.loop.now()
        )
        if offer is not None:
            self._receive_offer(offer, source)

    def _receive_offer(self, offer: declaration_offers.Offer, source: str) -> None:
        update = protocol_messages.ClusterUpdate(version=offer.version, document=offer.document)
        self._declaration_updates.receive(update, source)

    def _handle_server_record(self, record: protocol_messages.ServerRecord, now: float) -> None:
        previous = self._registry.find_server(record.server)
        if not self._registry.update_server(record, now):
            return
        if not record.gone:
            self._process.start_steps.record(start_steps.Step.SERVER_KNOWN)
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
        if current.silent and not (previous is not None and previous.silent):
            self._request_handler.handle_silence(current)

    def _apply_evacuations(self, update: protocol_messages.ClusterUpdate, source: str) -> None:
        """Put a newer state of the evacuated zones in force."""
        number = update.evacuation_number
        change = self._evacuations.apply(number, update.evacuated_zones)
        if change.evacuated or change.restored:
            self._metrics.set_gauge("evacuated_zones", len(self._evacuations.zones))
            self._log.write(
                "evacuation.in_force",
                zones=self._evacuations.zones,
                evacuated=change.evacuated,
                restored=change.restored,
                number=number,
                source=source,
            )
            for zone in change.restored:
                # Its servers may have become cold shortly before.
                self._request_handler.warm_ups.assume_zone_cold(zone)
            self._request_handler.handle_zone_change()
        if self._evacuations.handle_probe(update.probe):
            self._log.write("entry.current", number=self._evacuations.number, source=source)

    def _apply_declaration(self, declaration: traffic.TrafficDeclaration) -> None:
        was_ready = self.is_ready
        # Before the queued requests are started.
        self._process.start_steps.record(start_steps.Step.DECLARED)
        self._offers.clear()
        self._request_handler.apply_declaration(declaration)
        if not was_ready:
            self._subscribe()

    # Settings and planned stop.

    def _use_reloaded(self, settings: node_settings.NodeSettings) -> None:
        self._settings = attrs.evolve(self._settings, seeds=settings.seeds)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this entry."""
        return self.declaration is not None and not self._stop_began_at

    def begin_stop(self) -> None:
        """Begin a planned stop: serve requests that are in progress or still arrive, then exit."""
        if self._stop_began_at:
            return
        self._stop_began_at = self.loop.now()
        self._request_handler.begin_stop()
        self._log.write("process.stopping", requests=self._request_handler.active_count)
        self._caller_server.begin_closing()
        self._subscribe()
        self.loop.call_every(STOP_CHECK_INTERVAL_SECONDS, self._stop_if_drained)

    def _stop_if_drained(self) -> None:
        """End once nothing is in progress, and what would outlast the stop before that.

        Answers that have begun, and those that are being delivered, go on until the process has
        to end.
        """
        stop = self._request_handler.stop_time
        if not stop.is_accepting:
            self._caller_server.stop_accepting()
        self._request_handler.refuse_waiting()
        if not stop.takes_any:
            self._refuse_receiving()
        if stop.remaining_seconds <= 0 and not self._has_given_up:
            self._give_up()
        idle = not self._request_handler.active_count and not self._caller_server.busy_count
        if not stop.is_accepting and idle:
            self.loop.stop()
        elif stop.seconds_until_exit <= 0:
            self._metrics.count("requests_given_up", self._request_handler.active_count)
            self._request_handler.end_all()
            self.loop.stop()

    def _refuse_receiving(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        count = self._caller_server.receiving_count
        if count:
            self._log.write("process.refused_receiving", requests=count)
            self._metrics.count("stop_refusals", count, reason="receiving")
            self._caller_server.refuse_receiving()

    def _give_up(self) -> None:
        """Answer the requests without an answer by an error."""
        self._has_given_up = True
        started_count = self._request_handler.started_answer_count
        unstarted_count = self._request_handler.active_count - started_count
        undelivered_count = self._caller_server.undelivered_count
        if unstarted_count or started_count or undelivered_count:
            self._log.write(
                "process.gave_up",
                requests=unstarted_count,
                started=started_count,
                undelivered=undelivered_count,
            )
        self._metrics.count("requests_given_up", unstarted_count)
        self._request_handler.end_unstarted()

    def _record_undelivered(self, answer: exchanges.UndeliveredAnswer) -> None:
        """Count and log an answer that its caller did not get as a whole."""
        self._metrics.count("answers_undelivered", reason=answer.reason)
        try:
            request_id = self._dialect.decode_request(answer.request).request_id
        except errors.FlamingorampError:
            request_id = ""
        stopping_seconds = self.loop.now() - self._stop_began_at if self._stop_began_at else 0.0
        self._log.write(
            "answer.undelivered",
            request_id,
            reason=answer.reason,
            bytes=answer.buffered_bytes,
            stopping=round(stopping_seconds, 3),
        )

    # Load reports.

    def _handle_datagram(self, message: Any) -> None:
        match message:
            case load_reports.LoadReport():
                self._load_exchange.handle_report(message)
            case protocol_messages.ServerReachability():
                self._request_handler.handle_reachability(message)

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

    def _handle_readiness(self, exchange: exchanges.Exchange) -> None:
        try:
            self._dialect.check_readiness_call(exchange.request)
        except errors.FlamingorampError as error:
            exchange.respond(self._dialect.encode_error(error))
            return
        exchange.respond(messages.json_response({}, status=200 if self.is_ready else 503))

    def _handle_directory(self, exchange: exchanges.Exchange) -> None:
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

    def _http_limits(self) -> exchanges.Limits:
        if self.declaration is None:
            return exchanges.Limits(are_provisional=True)
        return _to_server_limits(self.declaration.limits)


def _to_server_limits(limits: traffic.CallerLimits) -> exchanges.Limits:
    return exchanges.Limits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_seconds=limits.header_seconds,
        idle_seconds=limits.idle_seconds,
    )
