"""The entry daemon: callers' HTTP, dispatch, and the shards that it owns."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import werkzeug

from flamingoramp import errors, utils
from flamingoramp.admission import callers as caller_requests
from flamingoramp.backends import orders
from flamingoramp.backends import runner as runners
from flamingoramp.daemons import callers, owner, process
from flamingoramp.dispatch import dispatcher, requests
from flamingoramp.membership import control_session, session_table
from flamingoramp.protocol import messages
from flamingoramp.runtime import http_server, metrics
from flamingoramp.runtime import settings as settings_module
from flamingoramp.runtime import transport as transports

TICK_SECONDS = 0.05
SETTLE_RESEND_SECONDS = 0.5
ANNOUNCE_SECONDS = 0.5
NOT_READY_PATIENCE_SECONDS = 3.0
NOT_READY_RETRY_SECONDS = 1.0
SERVICE_PATH = "/v1/services/"


class Entry:
    """One entry daemon.

    Parameters
    ----------
    settings : settings_module.Settings
    host : settings_module.HostSettings
    make_process, make_runner, make_callers, make_order_sender : callable
        Build the parts that touch sockets; tests give others.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        host: settings_module.HostSettings,
        *,
        make_process: Callable[..., Any] = process.Process,
        make_runner: Callable[..., Any] = runners.Runner,
        make_callers: Callable[..., Any] = callers.Callers,
        make_order_sender: Callable[..., Any] = orders.OrderSender,
    ):
        self._settings = settings
        self._host = host
        self._process = make_process(
            name=f"entry-{host.name}",
            settings=settings,
            inner=host.entry_inner,
            listen=f"{host.address}:{host.entry_port}",
            deliver=self._deliver,
            respond=self._respond,
        )
        self._incarnation = self._process.new_incarnation()
        self._control = {one.name: one.control_inner for one in settings.control_hosts}
        self._session = control_session.ControlSession(self._base_heartbeat(), tuple(self._control))
        loop = self._process.loop
        timing = settings.timing
        self._runner = make_runner(
            loop, silence_seconds=timing.stream_silence_seconds, report=self._dispatch
        )
        self._callers = make_callers(
            loop,
            heartbeat_seconds=timing.caller_heartbeat_seconds,
            on_gone=lambda request_id: self._dispatch(requests.CallerDisconnected(request_id)),
        )
        self._owner = owner.Owner(
            process=self._process,
            session=self._session,
            identity=f"{host.name}#{self._incarnation}",
            runner=self._runner,
            send=self._send_entry,
            send_control=self._send_control,
            make_order_sender=make_order_sender,
        )
        self._dispatcher = self._make_dispatcher()
        self._reported_shards: set[str] = set()
        self._settles: dict[str, messages.ClaimSettle] = {}
        self._leaving_since = 0.0
        self._lapsed = True
        loop.call_every(TICK_SECONDS, self._tick)
        loop.call_every(timing.session_heartbeat_seconds, self._send_heartbeat)
        loop.call_every(timing.hold_report_seconds, self._send_hold_reports)
        loop.call_every(SETTLE_RESEND_SECONDS, self._resend_settles)

    @property
    def session(self) -> control_session.ControlSession:
        """Session with control."""
        return self._session

    @property
    def dispatcher(self) -> dispatcher.Dispatcher:
        """Requests in progress."""
        return self._dispatcher

    @property
    def owner(self) -> owner.Owner:
        """Shards that this entry owns."""
        return self._owner

    @property
    def process(self) -> process.Process:
        """The daemon's parts."""
        return self._process

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._process.run(self.begin_stop)

    def _base_heartbeat(self) -> messages.SessionHeartbeat:
        return messages.SessionHeartbeat(
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
            owner_generation=self._generation_of,
            shard_count=self._shards_of,
            retry_ratio=lambda: self._session.declaration.policy.retry_ratio,
        )

    def _generation_of(self, shard: str) -> int:
        found = self._session.shards.get(shard)
        return found.generation if found else 0

    def _home_of(self, service: str, server: str) -> str:
        found = self._session.declaration.find_service(service)
        return session_table.choose_shard(found, server) if found else f"{service}/0"

    def _shards_of(self, service: str) -> int:
        found = self._session.declaration.find_service(service)
        return found.shards if found else 1

    # Messages of other processes.

    def _deliver(self, _sender: str, message: Any, _connection: transports.Connection) -> None:
        match message:
            case messages.SessionGrant():
                self._handle_grant(message)
            case messages.ClaimReply() | messages.Refuse() | messages.Grant():
                self._dispatch(message)
            case messages.Settled(identifier, version):
                kind, _, settled = identifier.partition("/")
                if kind == "claim":
                    self._settles.pop(settled, None)
                else:
                    self._owner.handle_settled(settled, version)
            case messages.HoldUnknown(shard, generation):
                if generation == self._generation_of(shard):
                    self._send_full_report(shard)
            case messages.Announcement():
                self.announce(message, forwarded=True)
            case (
                messages.Reserve()
                | messages.Release()
                | messages.PrefillDone()
                | messages.HoldReport()
            ):
                self._owner.handle(message.shard, message)

    def _send_entry(self, address: str, message: Any) -> None:
        if address == self._process.transport.address:
            self._process.loop.call_later(0, lambda: self._deliver("", message, None))
        else:
            self._process.transport.send(address, message)

    def _send_owner(self, shard: str, message: Any) -> None:
        found = self._session.shards.get(shard)
        if found is not None:
            self._send_entry(found.address, message)

    def _send_control(self, message: Any) -> None:
        self._process.transport.send(self._control[self._session.target], message)

    def _send_heartbeat(self) -> None:
        before = self._session.target
        heartbeat = self._session.make_heartbeat(
            self._process.loop.now(),
            leaving=bool(self._leaving_since),
            streams=len(self._dispatcher),
        )
        if self._session.target != before:
            self._process.note("control.silent", host=before)
            self._process.transport.drop(self._control[before])
        self._send_control(heartbeat)

    def _handle_grant(self, grant: messages.SessionGrant) -> None:
        now = self._process.loop.now()
        learned = self._session.handle(grant, now)
        if learned.declaration_changed:
            self._owner.configure(self._session.declaration)
            self._dispatcher.update_shards(self._home_of)
            self._process.log_change("intent.in_force", revision=self._session.revision)
        self._owner.refresh(now)
        if learned.suspects_changed:
            self._owner.load_suspects()
        for shard in learned.moved_shards:
            self._handle_moved_shard(shard, now)
        if self._session.drain_requested:
            self.begin_stop()

    def _handle_moved_shard(self, shard: str, now: float) -> None:
        self._process.note("shard.moved", shard=shard, owner=self._session.shards[shard].owner)
        self._send_full_report(shard)
        self._carry_out(self._dispatcher.resend_reserve_requests(shard, now))

    def _send_hold_reports(self) -> None:
        """Renew what this entry uses; say once that it uses nothing more."""
        for shard in self._session.shards:
            report = self._dispatcher.make_hold_report(shard, full=False)
            busy = bool(report.renewed or report.waiting)
            if busy or shard in self._reported_shards:
                self._send_owner(shard, report)
            self._reported_shards.discard(shard)
            if busy:
                self._reported_shards.add(shard)

    def _send_full_report(self, shard: str) -> None:
        self._reported_shards.add(shard)
        self._send_owner(shard, self._dispatcher.make_hold_report(shard, full=True))

    def _resend_settles(self) -> None:
        for settle in self._settles.values():
            self._send_control(settle)

    # Requests.

    def _dispatch(self, message: Any) -> None:
        self._carry_out(self._dispatcher.handle(message, self._process.loop.now()))

    def _carry_out(self, batch: list[Any]) -> None:
        for effect in batch:
            match effect:
                case requests.SendToOwner(shard, message):
                    self._send_owner(shard, message)
                case requests.SendToControl(message):
                    if isinstance(message, messages.ClaimSettle):
                        self._settles[message.request_id] = message
                    self._send_control(message)
                case requests.StartGenerate():
                    self._runner.generate(effect)
                case requests.StartResume():
                    self._runner.resume(effect)
                case requests.StartPlain():
                    self._runner.call_plain(effect)
                case requests.CancelTransfer():
                    self._runner.cancel(effect)
                case requests.RecordEvent(kind, request, fields):
                    self._note(kind, request, fields)
                case _:
                    self._callers.carry_out(effect)

    def _note(self, kind: str, request: str, fields: dict[str, Any]) -> None:
        self._process.note(kind, request, **fields)
        if kind == "request.first_token":
            self._process.metrics.observe(
                "time_to_first_token_seconds",
                fields["seconds"],
                length=metrics.length_bucket(fields["tokens"]),
            )

    def _tick(self) -> None:
        now = self._process.loop.now()
        self._watch_lease(now)
        self._owner.tick()
        self._carry_out(self._dispatcher.tick(now))
        self._callers.tick()
        if self._session.seconds_since_lapse(now) > NOT_READY_PATIENCE_SECONDS:
            error = errors.NotReadyError(
                "this entry has lost control; ask another", retry_after=NOT_READY_RETRY_SECONDS
            )
            self._carry_out(self._dispatcher.fail_undispatched(error, now))
        if self._leaving_since:
            self._consider_exit(now)

    def _watch_lease(self, now: float) -> None:
        lapsed = not self._session.holds_lease(now)
        if lapsed != self._lapsed:
            self._lapsed = lapsed
            self._process.log_change("lease.lapsed" if lapsed else "lease.held")
            self._process.metrics.set("holds_lease", 0 if lapsed else 1)

    def submit(self, spec: requests.RequestSpec, sock: Any) -> None:
        """Admit a checked request whose answer goes to a socket."""
        self._callers.add(spec.request_id, sock)
        self._dispatch(requests.Submit(spec))

    # Planned stop.

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        if self._leaving_since:
            return
        self._leaving_since = self._process.loop.now()
        self._owner.end_all()
        self._process.log_change("entry.leaving", streams=len(self._dispatcher))
        self._send_heartbeat()

    def _past_promise(self, now: float) -> bool:
        """Tell whether no caller may still use this entry's address."""
        promised = self._settings.timing.address_max_age_seconds
        return bool(self._leaving_since) and now - self._leaving_since > promised

    def _consider_exit(self, now: float) -> None:
        busy = len(self._dispatcher) or len(self._callers) or self._settles
        if self._past_promise(now) and not busy:
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
                return self._respond_owned()
            case ("GET", "/readyz"):
                return self._respond_ready()
        if request.path.startswith(SERVICE_PATH):
            return self._respond_plain(request, sock)
        raise errors.UnknownModelError(f"no such path: {request.method} {request.path}")

    def _check_ready(self) -> None:
        now = self._process.loop.now()
        if self._past_promise(now):
            raise errors.StoppingError("this entry is stopping; ask another", retry_after=0.1)
        if not self._session.holds_lease(now):
            raise errors.NotReadyError(
                "this entry holds no configuration lease; ask another",
                retry_after=NOT_READY_RETRY_SECONDS,
            )

    def _respond_generate(
        self, request: werkzeug.Request, sock: Any, kind: requests.RequestKind
    ) -> None:
        self._check_ready()
        declaration = self._session.declaration
        spec = caller_requests.parse_generate(request, kind, declaration, self._settings.limits)
        self._take_over(spec, sock)

    def _respond_plain(self, request: werkzeug.Request, sock: Any) -> None:
        self._check_ready()
        service, _, path = request.path.removeprefix(SERVICE_PATH).partition("/")
        spec = caller_requests.parse_plain(
            request, service, path, self._session.declaration, self._settings.limits
        )
        self._take_over(spec, sock)

    def _take_over(self, spec: requests.RequestSpec, sock: Any) -> None:
        copy = http_server.duplicate_socket(sock)
        try:
            self._process.loop.post(lambda: self.submit(spec, copy))
        except errors.OverloadedError:
            copy.close()
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
            for entry in self._session.entries
            if not entry.leaving
        ]
        headers = {"Cache-Control": f"max-age={int(max_age)}"}
        body = {"addresses": entries, "max_age_seconds": max_age}
        return http_server.json_response(body, headers=headers)

    def _respond_owned(self) -> werkzeug.Response:
        return http_server.json_response({"shards": self._process.call(self._owner.describe)})

    def _respond_ready(self) -> werkzeug.Response:
        self._check_ready()
        return http_server.json_response({"ready": True, "revision": self._session.revision})

    def _respond_announce(self, request: werkzeug.Request) -> werkzeug.Response:
        self._check_ready()  # without a lease it may not know the owner
        try:
            body = json.loads(request.get_data())
        except ValueError as error:
            raise errors.BadRequestError("body: not JSON") from error
        try:
            announcement = utils.structure(body, messages.Announcement, "announcement")
        except errors.SettingsError as error:
            raise errors.BadRequestError(str(error)) from error
        self._process.loop.post(lambda: self.announce(announcement))
        entries = [entry.url for entry in self._session.entries if not entry.leaving]
        return http_server.json_response({"entries": entries, "interval_seconds": ANNOUNCE_SECONDS})

    def announce(self, announcement: messages.Announcement, *, forwarded: bool = False) -> None:
        """Take a backend server's announcement in, or hand it to the owner of its shard."""
        service = self._session.declaration.find_service(announcement.service)
        if service is None:
            self._process.metrics.count("announcements_of_unknown_services")
            return
        shard = session_table.choose_shard(service, announcement.server)
        if forwarded or shard in self._owner.schedulers:
            self._owner.handle(shard, announcement)
        else:
            self._send_owner(shard, announcement)
