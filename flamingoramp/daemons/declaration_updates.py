"""Puts the versions of the declaration that arrive at an entry in force, between other work."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

import attrs

from flamingoramp import dialect as dialects
from flamingoramp import errors
from flamingoramp.intent import traffic, version_intake
from flamingoramp.protocol import messages
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

# Decoding yields to other work after this time, at the end of a step.
SLICE_SECONDS = 0.0005
# Decoding that lasts longer goes on without yielding, so that a version is in force within 1 s.
MAX_SLICED_SECONDS = 0.45


class DeclarationUpdates:
    """Receives versions, decodes the newest one in slices and has it applied.

    Parameters
    ----------
    loop : loops.Loop
    dialect : dialects.Dialect
    log : request_handler.Log
    metrics : metrics_module.Metrics
    find_declaration : callable
        Returns the declaration in force, or None.
    apply : callable
        Puts a declaration in force.
    on_base_missing : callable
        Called without arguments when a control host has to be asked for a whole document.
    """

    def __init__(
        self,
        loop: loops.Loop,
        dialect: dialects.Dialect,
        *,
        log: Any,
        metrics: metrics_module.Metrics,
        find_declaration: Callable[[], traffic.TrafficDeclaration | None],
        apply: Callable[[traffic.TrafficDeclaration], None],
        on_base_missing: Callable[[], None],
    ):
        self._loop = loop
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._find_declaration = find_declaration
        self._apply = apply
        self._on_base_missing = on_base_missing
        self._intake = version_intake.VersionIntake()
        # Newest version of which each control host sent a difference from an unknown base.
        self._missing_version_by_host: dict[str, int] = {}
        self._is_start_scheduled = False

    @property
    def held_version(self) -> int:
        """Newest version that has arrived; 0 before the first."""
        return self._intake.held_version

    def base_version(self, host: str) -> int:
        """Return the version from which a control host may send differences; 0 for none."""
        is_missing = self._missing_version_by_host.get(host, 0) > self.held_version
        return 0 if is_missing else self.held_version

    def receive(self, update: messages.ClusterUpdate, source: str) -> None:
        """Receive the version in an update, if there is one."""
        host = source.partition("#")[0]
        now = self._loop.now()
        if update.document:
            self._intake.receive_document(update.version, update.document, source, now)
        for delta in update.deltas:
            try:
                self._intake.receive_delta(update.version, delta, source, now)
            except errors.ProtocolError as error:
                self._request_document(host, update.version, str(error))
        self._schedule_start()

    def _request_document(self, host: str, version: int, reason: str) -> None:
        is_requested = not self.base_version(host)
        self._missing_version_by_host[host] = version
        if is_requested:
            return  # each renewed subscription repeats it
        self._log.write("declaration.base_missing", version=version, source=host, text=reason)
        self._metrics.count("declaration_bases_missing")
        self._on_base_missing()

    def _schedule_start(self) -> None:
        due_at = self._intake.due_at
        if due_at is None or self._is_start_scheduled:
            return
        delay = due_at - self._loop.now()
        if delay <= 0:
            self._start()
            return
        self._is_start_scheduled = True
        self._loop.call_later(delay, self._start)

    def _start(self) -> None:
        """Begin to decode the newest version, all at once if none is in force."""
        self._is_start_scheduled = False
        received, skipped_count = self._intake.take(self._loop.now())
        if skipped_count:
            self._metrics.count("declarations_skipped", skipped_count)
        steps = self._decode_in_steps(received)
        self._decode_slice(_Decoding(received, skipped_count, steps, self._loop.now()))

    def _decode_in_steps(
        self, received: version_intake.ReceivedVersion
    ) -> Generator[None, None, traffic.TrafficDeclaration]:
        document = received.document
        yield
        return (yield from self._dialect.decode_declaration_in_steps(document))

    def _decode_slice(self, decoding: _Decoding) -> None:
        """Decode until the time of a slice is over, or to the end."""
        started_at = self._loop.now()
        is_sliced = (
            self._find_declaration() is not None
            and started_at - decoding.started_at < MAX_SLICED_SECONDS
        )
        declaration = None
        try:
            next(decoding.steps)
            while not is_sliced or self._loop.now() - started_at < SLICE_SECONDS:
                next(decoding.steps)
        except StopIteration as end:
            declaration = end.value
        except (errors.InvalidDeclarationError, errors.ProtocolError) as error:
            # Control hosts reject invalid declarations, so this would be a fault of this program.
            self._discard(decoding, error)
            return
        except Exception as error:
            self._discard(decoding, error)
            raise
        decoding.seconds += self._loop.now() - started_at
        if declaration is not None:
            self._finish(decoding, declaration)
            return
        decoding.slice_count += 1
        self._loop.call_later(0.0, lambda: self._decode_slice(decoding))

    def _finish(self, decoding: _Decoding, declaration: traffic.TrafficDeclaration) -> None:
        received = decoding.received
        reused_count = declaration.count_reused_items(self._find_declaration())
        started_at = self._loop.now()
        try:
            self._apply(declaration)
        finally:
            now = self._loop.now()
            decoding.seconds += now - started_at
            self._intake.finish(received, seconds=decoding.seconds, now=now)
            self._schedule_start()
        self._metrics.set_gauge("declaration_version", received.version)
        self._metrics.observe("declaration_work_seconds", decoding.seconds)
        self._metrics.observe("declaration_delay_seconds", now - received.received_at)
        self._metrics.count("declaration_items_reused", reused_count)
        self._log.write(
            "declaration.in_force",
            version=received.version,
            source=received.source,
            seconds=round(decoding.seconds, 4),
            delay=round(now - received.received_at, 4),
            slices=decoding.slice_count,
            items=declaration.item_count,
            reused=reused_count,
            skipped=decoding.skipped_count,
        )

    def _discard(self, decoding: _Decoding, error: Exception) -> None:
        version = decoding.received.version
        self._log.write("declaration.unreadable", version=version, text=str(error))
        self._metrics.count("unreadable_declarations")
        self._intake.discard(decoding.received)
        self._schedule_start()


@attrs.define
class _Decoding:
    """A version that is being decoded, and the time spent on it."""

    received: version_intake.ReceivedVersion
    skipped_count: int
    steps: Generator[None, None, traffic.TrafficDeclaration]
    started_at: float
    seconds: float = 0.0
    slice_count: int = 1
