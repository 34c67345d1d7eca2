"""What a control host tells its subscribers: on each connection only what is new there."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# A subscriber that is silent for longer is told nothing more.
SUBSCRIBER_TIMEOUT_SECONDS = 5.0
# The leader tells of a new version at once; the others only those who don't know it by then, which
# is after the next renewal of a subscription.
FOLLOWER_DELAY_SECONDS = 0.8
# Crash records older than this count no more; as long as a caller may come back.
CRASH_RETENTION_SECONDS = 300.0


@attrs.define
class _Subscriber:
    is_control: bool
    heard_at: float
    entry: str = ""
    change: int = 0
    version: int = 0
    controls: tuple[str, ...] = ()
    confirmed: bool = False
    crashes: int = 0
    sent_at: float = float("-inf")


class Publisher:
    """Keeps what each subscriber was sent, and makes its next update.

    Parameters
    ----------
    known : registry.Registry
    """

    def __init__(self, known: registry.Registry):
        self._registry = known
        self._subscribers: dict[Any, _Subscriber] = {}
        self._crashes: list[tuple[float, messages.CrashRecord]] = []
        self._crash_keys: set[tuple[str, str, int]] = set()
        self._version = 0
        self._version_at = float("-inf")

    @property
    def subscriber_count(self) -> int:
        """Number of subscribers."""
        return len(self._subscribers)

    def handle(self, connection: Any, message: messages.Subscribe, now: float) -> str:
        """Take a subscription or its renewal in.

        Returns
        -------
        str
            The entry that subscribes, as it said on this connection; empty for a control host.
        """
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            subscriber = _Subscriber(message.is_control, now)
            self._subscribers[connection] = subscriber
        subscriber.heard_at = now
        subscriber.version = max(subscriber.version, message.version)
        for record in message.entries:
            subscriber.entry = record.entry
            self._registry.update_entry(record, now)
        self.add_crashes(message.crashes, now)
        return subscriber.entry

    def add_crashes(self, records: tuple[messages.CrashRecord, ...], now: float) -> None:
        """Remember crashes that are not known yet."""
        for record in records:
            key = (record.fingerprint, record.server, record.born)
            if key not in self._crash_keys:
                self._crash_keys.add(key)
                self._crashes.append((now - record.age, record))

    def make_updates(
        self,
        *,
        is_leader: bool,
        version: int,
        document: bytes,
        confirmed: bool,
        controls: tuple[str, ...],
        now: float,
    ) -> list[tuple[Any, messages.ClusterUpdate]]:
        """Return the connections that need an update, each with its own.

        Parameters
        ----------
        leads, confirmed : bool
            Whether this host leads, and whether it hears a leader.
        version : int
        document : bytes
            Compressed.
        controls : tuple of str
        now : float
        """
        self._forget(now)
        if version != self._version:
            self._version, self._version_at = version, now
        if not is_leader and now - self._version_at < FOLLOWER_DELAY_SECONDS:
            version, document = 0, b""
        made = []
        for connection, subscriber in list(self._subscribers.items()):
            gone = not connection.is_open or now - subscriber.heard_at > SUBSCRIBER_TIMEOUT_SECONDS
            if gone:
                del self._subscribers[connection]
                continue
            update = self._make_update(subscriber, version, document, confirmed, controls, now)
            if update is not None:
                made.append((connection, update))
        return made

    def _make_update(
        self,
        subscriber: _Subscriber,
        version: int,
        document: bytes,
        confirmed: bool,
        controls: tuple[str, ...],
        now: float,
    ) -> messages.ClusterUpdate | None:
        servers, entries = self._registry.changed_since(subscriber.change, now)
        crashes = tuple(record for _, record in self._crashes[subscriber.crashes :])
        newer = version > subscriber.version
        moved = controls != subscriber.controls
        same = (controls, confirmed) == (subscriber.controls, subscriber.confirmed)
        quiet = now - subscriber.sent_at < heartbeat_interval_seconds(subscriber.is_control)
        if not (servers or entries or crashes or newer) and same and quiet:
            return None
        subscriber.change = self._registry.change_number
        subscriber.crashes = len(self._crashes)
        subscriber.version = max(subscriber.version, version)
        subscriber.controls, subscriber.confirmed = controls, confirmed
        subscriber.sent_at = now
        return messages.ClusterUpdate(
            version=version,
            document=document if newer else b"",
            confirmed=confirmed,
            controls=controls if moved else (),
            servers=servers,
            entries=entries,
            crashes=crashes,
        )

    def _forget(self, now: float) -> None:
        while self._crashes and now - self._crashes[0][0] > CRASH_RETENTION_SECONDS:
            _, record = self._crashes.pop(0)
            self._crash_keys.discard((record.fingerprint, record.server, record.born))
            for subscriber in self._subscribers.values():
                subscriber.crashes = max(0, subscriber.crashes - 1)


def heartbeat_interval_seconds(is_control: bool) -> float:
    """Return the longest silence towards a subscriber, in seconds."""
    return 1.0 if is_control else 0.5
