"""Incremental updates of a control host for its subscribers: entries and other control hosts.

An entry receives the records of servers and entries, and new versions at once, from one control
host. It subscribes to the others as standby: they send it heartbeats, and a new version only if the
entry still reports an older one after a delay.
"""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# A subscriber that has not renewed its subscription for longer is removed.
SUBSCRIBER_TIMEOUT_SECONDS = 5.0
# Delay of a new version for standby subscribers, in which those that received it elsewhere report
# it with their renewed subscriptions.
STANDBY_DELAY_SECONDS = 0.8
# Intervals of updates without changes, which show that this host is up. An entry that receives its
# records from this host has to notice a failure sooner.
HEARTBEAT_SECONDS = 1.0
PRIMARY_HEARTBEAT_SECONDS = 0.5
# Retention of crash records: the time within which a caller may retry a request.
CRASH_RETENTION_SECONDS = 300.0


@attrs.define
class _Subscriber:
    is_control: bool
    renewed_at: float
    standby: bool = False
    entry: str = ""
    sent_number: int = 0
    version: int = 0
    controls: tuple[str, ...] = ()
    confirmed: bool = False
    sent_crash_count: int = 0
    sent_zone: bool = False
    sent_at: float = float("-inf")

    @property
    def heartbeat_seconds(self) -> float:
        """Interval of updates without changes."""
        is_primary = not (self.is_control or self.standby)
        return PRIMARY_HEARTBEAT_SECONDS if is_primary else HEARTBEAT_SECONDS


class Publisher:
    """Tracks what was sent to each subscriber and builds the next update for each.

    Parameters
    ----------
    record_registry : registry.Registry
    zone : str
        Availability zone of this host.
    """

    def __init__(self, record_registry: registry.Registry, *, zone: str = ""):
        self._registry = record_registry
        self._zone = zone
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
        if subscriber.standby and not message.standby:
            subscriber.sent_number = subscriber.sent_crash_count = 0
        subscriber.standby = message.standby
        subscriber.version = max(subscriber.version, message.version)
        for record in message.entries:
            subscriber.entry = record.entry
            self._registry.update_entry(record, now)
        self.add_crashes(message.crashes, now)
        return subscriber.entry

    def lacks_records(self, connection: Any) -> bool:
        """Return whether a subscriber has not been sent the records that it asked for."""
        subscriber = self._subscribers.get(connection)
        return subscriber is not None and not subscriber.sent_number and not subscriber.standby

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
        version: int,
        document: bytes,
        confirmed: bool,
        controls: tuple[str, ...],
        now: float,
    ) -> list[tuple[Any, messages.ClusterUpdate]]:
        """Return the connections that need an update, each with its update.

        Parameters
        ----------
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
        servers, entries, crashes = (), (), ()
        if not subscriber.standby:
            servers, entries = self._registry.changed_since(
                subscriber.sent_number, now, with_renewals=subscriber.is_control
            )
            crashes = tuple(record for _, record in self._crashes[subscriber.sent_crash_count :])
        is_delayed = subscriber.standby and now - self._version_changed_at < STANDBY_DELAY_SECONDS
        if subscriber.is_control or is_delayed:  # control hosts have the log
            version, document = 0, b""
        has_new_version = version > subscriber.version
        controls_changed = controls != subscriber.controls
        is_state_unchanged = (controls, confirmed) == (subscriber.controls, subscriber.confirmed)
        sent_recently = now - subscriber.sent_at < subscriber.heartbeat_seconds
        if (
            not (servers or entries or crashes or has_new_version)
            and is_state_unchanged
            and sent_recently
        ):
            return None
        if not subscriber.standby:
            subscriber.sent_number = self._registry.update_number
            subscriber.sent_crash_count = len(self._crashes)
        subscriber.version = max(subscriber.version, version)
        subscriber.controls, subscriber.confirmed = controls, confirmed
        subscriber.sent_at = now
        zone = "" if subscriber.sent_zone else self._zone
        subscriber.sent_zone = True
        return messages.ClusterUpdate(
            version=version,
            document=document if has_new_version else b"",
            confirmed=confirmed,
            controls=controls if controls_changed else (),
            servers=servers,
            entries=entries,
            crashes=crashes,
            zone=zone,
        )

    def _remove_expired_crashes(self, now: float) -> None:
        while self._crashes and now - self._crashes[0][0] > CRASH_RETENTION_SECONDS:
            _, record = self._crashes.pop(0)
            self._crash_keys.discard((record.fingerprint, record.server, record.born))
            for subscriber in self._subscribers.values():
                subscriber.sent_crash_count = max(0, subscriber.sent_crash_count - 1)
