"""Entry daemon: serves callers over HTTP, dispatches their requests and schedules owned shards."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import werkzeug

from flamingoramp import errors, json_documents, utils
from flamingoramp.admission import request_parser
from flamingoramp.backends import order_sender, runner
from flamingoramp.daemons import caller_connections, owned_shards, process
from flamingoramp.dispatch import dispatcher, requests
from flamingoramp.membership import control_session, session_table
from flamingoramp.protocol import shard_messages
from flamingoramp.runtime import byte_account, http_server, metrics, transport
from flamingoramp.runtime import settings as settings_module

TICK_INTERVAL_SECONDS = 0.05
CLAIM_RESULT_RESEND_INTERVAL_SECONDS = 0.5
ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
LAPSED_LEASE_GRACE_SECONDS = 3.0
NOT_READY_RETRY_AFTER_SECONDS = 1.0
SERVICE_PATH_PREFIX = "/v1/services/"


class Entry:
    """Entry daemon of one host.

    Dispatches callers' requests to backend servers, and schedules the shards that the control
    replicas assigned to it.

    Parameters
    ----------
    settings : settings_module.Settings
    host : settings_module.HostSettings
    make_process, make_runner, make_caller_connections, make_order_sender : callable
        Build the parts that use sockets; tests pass replacements without sockets.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        host: settings_module.HostSettings,
        *,
        make_process: Callable[..., Any] = process.Process,
        make_runner: Callable[..., Any] = runner.AttemptRunner,
        make_caller_connections: Callable[..., Any] = caller_connections.CallerConnections,
        make_order_sender: Callable[..., Any] = order_sender.OrderSender,
    ):
        self._settings = settings
        self._host = host
        self._process = make_process(
            name=f"entry-{host.name}",
            settings=settings,
            internal_address=host.entry_internal_address,
            http_address=f"{host.address}:{host.entry_port}",
            deliver=self._handle_message,
            respond=self._respond,
        )
        self._incarnation = self._process.new_incarnation()
        self._control_addresses = {
            control_host.name: control_host.control_internal_address
            for control_host in settings.control_hosts
        }
        self._session = control_session.ControlSession(
            self._base_heartbeat(), tuple(self._control_addresses)
        )
        loop = self._process.loop
        timing = settings.timing
        self._runner = make_runner(
            loop,
            idle_timeout_seconds=timing.stream_silence_seconds,
            report=self._dispatch,
            on_shortage=self._record_shortage,
        )
        self._caller_connections = make_caller_connections(
            loop,
            heartbeat_seconds=timing.caller_heartbeat_seconds,
            on_disconnect=lambda request_id: self._dispatch(
                requests.CallerDisconnected(request_id)
            ),
        )
        self._owned_shards = owned_shards.OwnedShards(
            process=self._process,
            session=self._session,
            identity=f"{host.name}#{self._incarnation}",
            runner=self._runner,
            send_to_entry=self._send_to_entry,
            send_to_control=self._send_to_control,
            make_order_sender=make_order_sender,
        )
        self._dispatcher = self._make_dispatcher()
        self._shards_with_holds: set[str] = set()
        self._unacknowledged_claim_results: dict[str, shard_messages.ClaimSettle] = {}
        self._stop_began_at = 0.0
        self._lease_lapsed = True
        loop.call_every(TICK_INTERVAL_SECONDS, self._tick)
        loop.call_every(timing.session_heartbeat_seconds, self._send_heartbeat)
        loop.call_every(timing.hold_report_seconds, self._send_hold_reports)
        loop.call_every(CLAIM_RESULT_RESEND_INTERVAL_SECONDS, self._resend_claim_results)

    @property
    def session(self) -> control_session.ControlSession:
        """Session of this entry with the control replicas."""
        return self._session

    @property
    def dispatcher(self) -> dispatcher.Dispatcher:
        """Dispatcher of the requests in progress."""
        return self._dispatcher

    @property
    def owned_shards(self) -> owned_shards.OwnedShards:
        """Shards that this entry owns, with their schedulers."""
        return self._owned_shards

    @property
    def process(self) -> process.Process:
        """Loop, transport, metrics and time line of this daemon."""
        return self._process

    def run(self) -> None:
        """Serve until the planned stop that SIGTERM or SIGINT begins is complete."""
        self._process.run(self.begin_stop)

    def _record_shortage(self, shortage: byte_account.Shortage) -> None:
        self._process.log_change(
            "memory.given_up",
            held=shortage.held_bytes,
            limit=runner.MAX_HELD_BYTES,
            freed=shortage.freed_bytes,
            connections=shortage.holders,
            largest=shortage.largest_bytes,
            longest=round(shortage.longest_seconds, 2),
        )

    def _base_heartbeat(self) -> shard_messages.SessionHeartbeat:
        return shard_messages.SessionHeartbeat(
            entry=self._host.name,
            incarnation=self._incarnation,
            url=self._process.http.url,
            inner=self._process.transport.address,
            zone=self._host.availability_zone,
        )

    def _make_dispatcher(self) -> dispatcher.Dispatcher:
        seed = self._settings.seed
        rng = random.Random(f"{seed}/{self._host.name}") if seed else random.SystemRandom()
        return dispatcher.Dispatcher(
            entry=self._host.name,
            address=self._process.transport.address,
            zone=self._host.availability_zone,
            rng=rng,
            owner_generation=self._shard_generation,
            shard_count=self._count_shards,
            retry_ratio=lambda: self._session.declaration.policy.retry_ratio,
            is_suspect=self._session.is_suspect,
        )

    def _shard_generation(self, shard: str) -> int:
        owner = self._session.shards.get(shard)
        return owner.generation if owner else 0

    def _choose_shard(self, service: str, server: str) -> str:
        service_declaration = self._session.declaration.find_service(service)
        return (
            session_table.choose_shard(service_declaration, server)
            if service_declaration
            else f"{service}/0"
        )

    def _count_shards(self, service: str) -> int:
        service_declaration = self._session.declaration.find_service(service)
        return service_declaration.shards if service_declaration else 1

    # Messages from other processes.

    def _handle_message(
        self, _sender: str, message: Any, _connection: transport.Connection
    ) -> None:
        match message:
            case shard_messages.SessionGrant():
                self._handle_session_grant(message)
            case (
                shard_messages.ClaimReply()
                | shard_messages.Refuse()
                | shard_messages.Grant()
                | shard_messages.ServerLeaving()
            ):
                self._dispatch(message)
            case shard_messages.Settled(qualified_id, version):
                item_kind, _, item_id = qualified_id.partition("/")
                if item_kind == "claim":
                    self._unacknowledged_claim_results.pop(item_id, None)
                else:
                    self._owned_shards.handle_report_committed(item_id, version)
            case shard_messages.HoldUnknown(shard, generation):
                if generation == self._shard_generation(shard):
                    self._send_full_report(shard)
            case shard_messages.Announcement():
                self.handle_announcement(message, forwarded=True)
            case (
                shard_messages.Reserve()
                | shard_messages.Release()
                | shard_messages.PrefillDone()
                | shard_messages.HoldReport()
            ):
                self._owned_shards.handle(message.shard, message)

    def _send_to_entry(self, address: str, message: Any) -> None:
        if address == self._process.transport.address:
            self._process.loop.call_later(0, lambda: self._handle_message("", message, None))
        else:
            self._process.transport.send(address, message)

    def _send_to_owner(self, shard: str, message: Any) -> None:
        owner = self._session.shards.get(shard)
        if owner is not None:
            self._send_to_entry(owner.address, message)

    def _send_to_control(self, message: Any) -> None:
        self._process.transport.send(self._control_addresses[self._session.target], message)

    def _send_heartbeat(self) -> None:
        previous_target = self._session.target
        heartbeat = self._session.make_heartbeat(
            self._process.loop.now(),
            leaving=bool(self._stop_began_at),
            streams=len(self._dispatcher),
        )
        if self._session.target != previous_target:
            self._process.record_event("control.silent", host=previous_target)
            self._process.transport.disconnect(self._control_addresses[previous_target])
        self._send_to_control(heartbeat)

    def _handle_session_grant(self, grant: shard_messages.SessionGrant) -> None:
        now = self._process.loop.now()
        changes = self._session.handle(grant, now)
        if changes.declaration_changed:
            self._owned_shards.configure(self._session.declaration)
            self._dispatcher.update_shards(self._choose_shard)
            self._process.log_change("intent.in_force", revision=self._session.revision)
        if changes.zones_changed:
            self._owned_shards.evacuate(self._session.evacuated_zones)
            self._process.log_change("evacuation.in_force", zones=self._session.evacuated_zones)
        self._owned_shards.update_ownership(now)
        if changes.suspects_changed:
            self._owned_shards.load_suspects()
        for shard in changes.moved_shards:
            self._handle_shard_moved(shard, now)
        if self._session.drain_requested:
            self.begin_stop()

    def _handle_shard_moved(self, shard: str, now: float) -> None:
        self._process.record_event(
            "shard.moved", shard=shard, owner=self._session.shards[shard].owner
        )
        self._send_full_report(shard)
        self._apply_effects(self._dispatcher.resend_reserve_requests(shard, now))

    def _send_hold_reports(self) -> None:
        """Renew the reservations in use; once none is left at a shard, send it one empty report."""
        for shard in self._session.shards:
            report = self._dispatcher.make_hold_report(shard, full=False)
            has_holds = bool(report.renewed or report.waiting)
            if has_holds or shard in self._shards_with_holds:
                self._send_to_owner(shard, report)
            self._shards_with_holds.discard(shard)
            if has_holds:
                self._shards_with_holds.add(shard)

    def _send_full_report(self, shard: str) -> None:
        self._shards_with_holds.add(shard)
        self._send_to_owner(shard, self._dispatcher.make_hold_report(shard, full=True))

    def _resend_claim_results(self) -> None:
        for result in self._unacknowledged_claim_results.values():
            self._send_to_control(result)

    # Requests.

    def _dispatch(self, message: Any) -> None:
        self._apply_effects(self._dispatcher.handle(message, self._process.loop.now()))

    def _apply_effects(self, batch: list[Any]) -> None:
        for effect in batch:
            match effect:
                case requests.SendToOwner(shard, message):
                    self._send_to_owner(shard, message)
                case requests.SendToControl(message):
                    if isinstance(message, shard_messages.ClaimSettle):
                        self._unacknowledged_claim_results[message.request_id] = message
                    self._send_to_control(message)
                case requests.StartGenerate():
                    self._runner.generate(effect)
                case requests.StartResume():
                    self._runner.resume(effect)
                case requests.StartPlain():
                    self._runner.call_plain(effect)
                case requests.CancelTransfer():
                    self._runner.cancel(effect)
                case requests.RecordEvent(event, request_id, fields):
                    self._record_event(event, request_id, fields)
                case _:
                    self._caller_connections.handle_effect(effect)

    def _record_event(self, event: str, request_id: str, fields: dict[str, Any]) -> None:
        self._process.record_event(event, request_id, **fields)
        if event == "request.first_token":
            self._process.metrics.observe(
                "time_to_first_token_seconds",
                fields["seconds"],
                length=metrics.prompt_length_bucket(fields["tokens"]),
            )

    def _tick(self) -> None:
        now = self._process.loop.now()
        self._update_lease_state(now)
        self._owned_shards.tick()
        self._apply_effects(self._dispatcher.tick(now))
        self._caller_connections.tick()
        if self._session.seconds_since_lapse(now) > LAPSED_LEASE_GRACE_SECONDS:
            error = errors.NotReadyError(
                "this entry has lost control; ask another",
                retry_after=NOT_READY_RETRY_AFTER_SECONDS,
            )
            self._apply_effects(self._dispatcher.fail_undispatched(error, now))
        if self._stop_began_at:
            self._stop_when_idle(now)

    def _update_lease_state(self, now: float) -> None:
        lapsed = not self._session.holds_lease(now)
        if lapsed != self._lease_lapsed:
            self._lease_lapsed = lapsed
            self._process.log_change("lease.lapsed" if lapsed else "lease.held")
            self._process.metrics.set_gauge("holds_lease", 0 if lapsed else 1)

    def submit(self, spec: requests.RequestSpec, sock: Any) -> None:
        """Dispatch a validated request and write its response to a socket."""
        self._caller_connections.add(spec.request_id, sock)
        self._dispatch(requests.Submit(spec))

    # Planned stop.

    def begin_stop(self) -> None:
        """Begin a planned stop: release the shards and finish the requests in progress.

        Further calls have no effect. The process ends once callers no longer use its address,
        no request is left and control has acknowledged all results of claims.
        """
        if self._stop_began_at:
            return
        self._stop_began_at = self._process.loop.now()
        self._owned_shards.release_all()
        self._process.log_change("entry.leaving", streams=len(self._dispatcher))
        self._send_heartbeat()

    def _issued_addresses_expired(self, now: float) -> bool:
        """Return whether a stop began so long ago that no caller uses this entry's address."""
        max_age_seconds = self._settings.timing.address_max_age_seconds
        return bool(self._stop_began_at) and now - self._stop_began_at > max_age_seconds

    def _stop_when_idle(self, now: float) -> None:
        busy = (
            len(self._dispatcher)
            or len(self._caller_connections)
            or self._unacknowledged_claim_results
        )
        if self._issued_addresses_expired(now) and not busy:
            self._process.log_change("entry.stopped")
            self._process.loop.stop()

    # HTTP.

    def _respond(self, request: werkzeug.Request, sock: Any) -> werkzeug.Response | None:
        match (request.method, request.path):
            case ("POST", "/v1/chat/completions"):
                return self._respond_generate(request, sock, requests.RequestKind.CHAT)
            case ("POST", "/v1/completions"):
                return self._respond_generate(request, sock, requests.RequestKind.COMPLETION)
            case ("GET", "/v1/models"):
                return self._respond_models()
            case ("GET", "/v1/addresses"):
                return self._respond_addresses()
            case ("POST", "/v1/announce"):
                return self._respond_announce(request)
            case ("GET", "/v1/owned"):
                return self._respond_owned_shards()
            case ("GET", "/readyz"):
                return self._respond_ready()
        if request.path.startswith(SERVICE_PATH_PREFIX):
            return self._respond_plain(request, sock)
        raise errors.UnknownModelError(f"no such path: {request.method} {request.path}")

    def _check_ready(self) -> None:
        now = self._process.loop.now()
        if self._issued_addresses_expired(now):
            raise errors.StoppingError("this entry is stopping; ask another", retry_after=0.1)
        if not self._session.holds_lease(now):
            raise errors.NotReadyError(
                "this entry holds no configuration lease; ask another",
                retry_after=NOT_READY_RETRY_AFTER_SECONDS,
            )

    def _respond_generate(
        self, request: werkzeug.Request, sock: Any, kind: requests.RequestKind
    ) -> None:
        self._check_ready()
        declaration = self._session.declaration
        spec = request_parser.parse_generate(request, kind, declaration, self._settings.limits)
        self._submit_with_socket(spec, sock)

    def _respond_plain(self, request: werkzeug.Request, sock: Any) -> None:
        self._check_ready()
        service, _, path = request.path.removeprefix(SERVICE_PATH_PREFIX).partition("/")
        spec = request_parser.parse_plain(
            request, service, path, self._session.declaration, self._settings.limits
        )
        self._submit_with_socket(spec, sock)

    def _submit_with_socket(self, spec: requests.RequestSpec, sock: Any) -> None:
        duplicate = http_server.duplicate_socket(sock)
        try:
            self._process.loop.post(lambda: self.submit(spec, duplicate))
        except errors.OverloadedError:
            duplicate.close()
            raise

    def _respond_models(self) -> werkzeug.Response:
        models = [
            {"id": model.name, "object": "model", "owned_by": service.name, "created": 0}
            for service in self._session.declaration.services
            for model in service.models
        ]
        return http_server.json_response({"object": "list", "data": models})

    def _respond_addresses(self) -> werkzeug.Response:
        self._check_ready()
        max_age = self._settings.timing.address_max_age_seconds
        entries = [
            {"url": entry.url, "availability_zone": entry.zone, "weight": 1}
            for entry in self._session.usable_entries(leaving=bool(self._stop_began_at))
        ]
        headers = {"Cache-Control": f"max-age={int(max_age)}"}
        body = {"addresses": entries, "max_age_seconds": max_age}
        return http_server.json_response(body, headers=headers)

    def _respond_owned_shards(self) -> werkzeug.Response:
        return http_server.json_response(
            {"shards": self._process.call_in_loop(self._owned_shards.describe)}
        )

    def _respond_ready(self) -> werkzeug.Response:
        self._check_ready()
        return http_server.json_response({"ready": True, "revision": self._session.revision})

    def _respond_announce(self, request: werkzeug.Request) -> werkzeug.Response:
        self._check_ready()  # without a lease, this entry's table of shard owners may be outdated
        try:
            body = json_documents.parse(request.get_data())
        except ValueError as error:
            raise errors.BadRequestError("body: not JSON") from error
        try:
            announcement = utils.structure(body, shard_messages.Announcement, "announcement")
        except errors.SettingsError as error:
            raise errors.BadRequestError(str(error)) from error
        self._process.loop.post(lambda: self.handle_announcement(announcement))
        entries = [
            entry.url for entry in self._session.usable_entries(leaving=bool(self._stop_began_at))
        ]
        return http_server.json_response(
            {"entries": entries, "interval_seconds": ANNOUNCEMENT_INTERVAL_SECONDS}
        )

    def handle_announcement(
        self, announcement: shard_messages.Announcement, *, forwarded: bool = False
    ) -> None:
        """Apply a backend server's announcement, or forward it to the owner of its shard.

        A forwarded announcement is never forwarded again.
        """
        service = self._session.declaration.find_service(announcement.service)
        if service is None:
            self._process.metrics.count("announcements_of_unknown_services")
            return
        shard = session_table.choose_shard(service, announcement.server)
        if forwarded or shard in self._owned_shards.schedulers:
            self._owned_shards.handle(shard, announcement)
        else:
            self._send_to_owner(shard, announcement)
