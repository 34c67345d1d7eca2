"""Decides which of the versions that arrive at an entry is put in force next, and when."""

from __future__ import annotations

import attrs

from flamingoramp import errors
from flamingoramp.intent import document_deltas, versioned_declaration
from flamingoramp.protocol import messages

# Share of the time of an entry that putting versions in force takes.
TIME_RATIO = 0.1
# Time from the start of one version to that of the next, if the work of the first takes no longer;
# bounds the delay of versions.
MAX_CYCLE_SECONDS = 0.5


@attrs.frozen
class ReceivedVersion:
    """A version that has arrived; the document may be compressed."""

    version: int
    data: bytes
    source: str
    received_at: float

    @property
    def document(self) -> bytes:
        """The document.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            The compressed document is corrupt.
        """
        return versioned_declaration.expand(self.data)


class VersionIntake:
    """Keeps the newest version that has arrived, until it is time to put it in force.

    Older versions are ignored; a version that a newer one follows before its time is skipped. One
    version is put in force at a time. Times are in seconds of a monotonic clock.
    """

    def __init__(self):
        self._held: ReceivedVersion | None = None
        self._previous: ReceivedVersion | None = None
        self._is_pending = False
        self._is_busy = False
        self._skipped_count = 0
        self._started_at = 0.0
        self._next_start_at = float("-inf")

    @property
    def held_version(self) -> int:
        """Newest version that has arrived; 0 before the first."""
        return self._held.version if self._held else 0

    @property
    def due_at(self) -> float | None:
        """Time at which to call `take`; None if no version waits or one is being put in force."""
        return self._next_start_at if self._is_pending and not self._is_busy else None

    def receive_document(self, version: int, compressed: bytes, source: str, now: float) -> None:
        """Keep a version unless it is outdated."""
        if version > self.held_version:
            self._hold(ReceivedVersion(version, compressed, source, now))

    def receive_delta(
        self, version: int, delta: messages.DocumentDelta, source: str, now: float
    ) -> None:
        """Keep a version that arrives as a difference, unless it is outdated.

        Raises
        ------
        flamingoramp.errors.ProtocolError
            The difference is not one from the version held; the whole document is needed.
        """
        if version <= self.held_version:
            return
        if self._held is None or delta.base_version != self._held.version:
            raise errors.ProtocolError(
                f"difference from version {delta.base_version}, held is {self.held_version}"
            )
        document = document_deltas.apply_delta(delta, self._held.document)
        self._hold(ReceivedVersion(version, document, source, now))

    def _hold(self, received: ReceivedVersion) -> None:
        self._skipped_count += self._is_pending
        self._held = received
        self._is_pending = True

    def take(self, now: float) -> tuple[ReceivedVersion, int]:
        """Begin to put the newest version in force.

        Returns
        -------
        ReceivedVersion
        int
            Number of versions skipped since the previous one.

        Raises
        ------
        flamingoramp.errors.InvariantViolationError
            No version waits, or one is being put in force.
        """
        if self._held is None or self.due_at is None:
            raise errors.InvariantViolationError("no version can be put in force now")
        self._is_pending, self._is_busy = False, True
        self._started_at = now
        skipped_count, self._skipped_count = self._skipped_count, 0
        return self._held, skipped_count

    def finish(self, received: ReceivedVersion, *, seconds: float, now: float) -> None:
        """Record that a version was put in force, with ``seconds`` of work."""
        self._is_busy = False
        self._previous = received
        pause_seconds = seconds * (1 / TIME_RATIO - 1)
        self._next_start_at = min(now + pause_seconds, self._started_at + MAX_CYCLE_SECONDS)

    def discard(self, received: ReceivedVersion) -> None:
        """Discard a version that can't be put in force."""
        self._is_busy = False
        if self._held is received:
            self._held = self._previous
