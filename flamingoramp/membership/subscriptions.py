"""Incremental updates of a control host for its subscribers: entries and other control hosts."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# A subscriber that has not renewed its subscription for longer is removed.
SUBSCRIBER_TIMEOUT_SECONDS = 5.0
# The leader publishes a new version at once. Followers wait this long, until subscribers have
# renewed their subscriptions, and then send it only to those that still report an older version.
FOLLOWER_DELAY_SECONDS = 0.8
# Retention of crash records: the time within which a caller may retry a request.
CRASH_RETENTION_SECONDS = 300.0


@attrs.define
class _Subscriber:
    is_control: bool
    renewed_at: float
    entry: str = ""
    sent_change_number: int = 0
    version: int = 0
    controls: tuple[str, ...] = ()
    confirmed: bool = False
    sent_crash_count: int = 0
    sent_at: float = float("-inf")


class Publisher:
    """Tracks what was sent to each subscriber and builds the next update for each.

    Parameters
    ----------
    record_registry : registry.Registry
    """

    def __init__(self, record_registry: registry.Registry):
        self._registry = record_registry
        self._subscribers: dict[Any, _Subscriber] = {}
        self._crashes: list[tuple[float, messages.CrashRecord]] = []
        self._crash_keys: set[tuple[str, str, int]] = set()
        self._version = 0
        self._version_changed_at = float("-inf")

    @property
    def subscriber_count(self) -> int:
        """Number of subscribers."""
        return len(self._subscribers)

    def handle(self, connection: Any, message: messages.Subscribe, now: float) -> str:
        """Add or renew a subscription and store the records and crashes that it reports.

        Returns
        -------
        str
            The subscribing entry, by its latest report on this connection; empty for a control
            host.
        """
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            subscriber = _Subscriber(message.is_control, now)
            self._subscribers[connection] = subscriber
        subscriber.renewed_at = now
        subscriber.version = max(subscriber.version, message.version)
        for record in message.entries:
            subscriber.entry = record.entry
            self._registry.update_entry(record, now)
        self.add_crashes(message.crashes, now)
        return subscriber.entry

    def add_crashes(self, records: tuple[messages.CrashRecord, ...], now: float) -> None:
        """Store crash records that are not stored yet."""
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
        """Return the connections that need an update, each with its update.

        Parameters
        ----------
        is_leader : bool
            Whether this host is the leader.
        version : int
            Version of the declaration.
        document : bytes
            The declaration, as zlib data.
        confirmed : bool
            Whether this host is in contact with the leader, so that its version is current.
        controls : tuple of str
            Control hosts.
        now : float
            Monotonic clock, in seconds.
        """
        self._remove_expired_crashes(now)
        if version != self._version:
            self._version, self._version_changed_at = version, now
        if not is_leader and now - self._version_changed_at < FOLLOWER_DELAY_SECONDS:
            version, document = 0, b""
        updates = []
        for connection, subscriber in list(self._subscribers.items()):
            is_gone = (
                not connection.is_open or now - subscriber.renewed_at > SUBSCRIBER_TIMEOUT_SECONDS
            )
            if is_gone:
                del self._subscribers[connection]
                continue
            update = self._make_update(subscriber, version, document, confirmed, controls, now)
            if update is not None:
                updates.append((connection, update))
        return updates

    def _make_update(
        self,
        subscriber: _Subscriber,
        version: int,
        document: bytes,
        confirmed: bool,
        controls: tuple[str, ...],
        now: float,
    ) -> messages.ClusterUpdate | None:
        servers, entries = self._registry.changed_since(subscriber.sent_change_number, now)
        crashes = tuple(record for _, record in self._crashes[subscriber.sent_crash_count :])
        has_new_version = version > subscriber.version
        controls_changed = controls != subscriber.controls
        is_state_unchanged = (controls, confirmed) == (subscriber.controls, subscriber.confirmed)
        sent_recently = now - subscriber.sent_at < heartbeat_interval_seconds(subscriber.is_control)
        if (
            not (servers or entries or crashes or has_new_version)
            and is_state_unchanged
            and sent_recently
        ):
            return None
        subscriber.sent_change_number = self._registry.change_number
        subscriber.sent_crash_count = len(self._crashes)
        subscriber.version = max(subscriber.version, version)
        subscriber.controls, subscriber.confirmed = controls, confirmed
        subscriber.sent_at = now
        return messages.ClusterUpdate(
            version=version,
            document=document if has_new_version else b"",
            confirmed=confirmed,
            controls=controls if controls_changed else (),
            servers=servers,
            entries=entries,
            crashes=crashes,
        )

    def _remove_expired_crashes(self, now: float) -> None:
        while self._crashes and now - self._crashes[0][0] > CRASH_RETENTION_SECONDS:
            _, record = self._crashes.pop(0)
            self._crash_keys.discard((record.fingerprint, record.server, record.born))
            for subscriber in self._subscribers.values():
                subscriber.sent_crash_count = max(0, subscriber.sent_crash_count - 1)


def heartbeat_interval_seconds(is_control: bool) -> float:
    """Return the interval of updates without changes, which show that this host is up."""
    return 1.0 if is_control else 0.5
