"""Incremental updates of a control host for its subscribers: entries and other control hosts.

An entry receives the records of servers and entries, and new versions at once, from one control
host. It subscribes to the others as standby: they send it heartbeats, and a new version only if the
entry still reports an older one after a delay. A version goes to an entry as the difference from
the one that it has, or as the whole document if that one is unknown.
"""

from __future__ import annotations

import itertools
from typing import Any

import attrs

from flamingoramp import value_classes
from flamingoramp.intent import document_deltas
from flamingoramp.membership import registry
from flamingoramp.protocol import messages

# A subscriber that has not renewed its subscription for longer is removed.
SUBSCRIBER_TIMEOUT_SECONDS = 5.0
# Delay of a new version for standby subscribers, in which those that received it elsewhere report
# it with their renewed subscriptions.
STANDBY_DELAY_SECONDS = 0.8
# A subscriber that still reports an older version this long after a version was sent to it did not
# use it, and is sent one again.
RESEND_DELAY_SECONDS = 1.0
# Intervals of updates without changes, which show that this host is up. An entry that receives its
# records from this host has to notice a failure sooner.
HEARTBEAT_SECONDS = 1.0
PRIMARY_HEARTBEAT_SECONDS = 0.5
# Retention of crash records; entries keep their evidence for as long.
CRASH_RETENTION_SECONDS = 3600.0
MAX_CRASH_RECORDS = 16_384
# A report of a stored crash replaces it if it tells of a time that is earlier by this much.
MIN_CRASH_TIME_GAIN_SECONDS = 0.0005


@attrs.define(eq=False, repr=False)
class _Subscriber(value_classes.MutableValue):
    is_control: bool
    renewed_at: float
    standby: bool = False
    entry: str = ""
    sent_number: int = 0
    version: int = 0
    version_sent_at: float = float("-inf")
    takes_deltas: bool = False
    evacuation_number: int = 0
    probe: int = 0
    answered_probe: int = 0
    controls: tuple[str, ...] = ()
    confirmed: bool = False
    sent_crash_number: int = 0
    sent_zone: bool = False
    sent_at: float = float("-inf")

    @property
    def heartbeat_seconds(self) -> float:
        """Interval of updates without changes."""
        is_primary = not (self.is_control or self.standby)
        return PRIMARY_HEARTBEAT_SECONDS if is_primary else HEARTBEAT_SECONDS

    @property
    def has_open_probe(self) -> bool:
        """Whether the subscriber waits for an update that answers its probe."""
        return self.probe not in (0, self.answered_probe)


@attrs.frozen(eq=False, repr=False)
class _StoredCrash(value_classes.Value):
    """A crash record, the number of its addition, and the time that it tells of."""

    record: messages.CrashRecord
    number: int
    at: float


class _CrashRecords:
    """Crash records in the order of their addition; a clearance replaces those before it."""

    def __init__(self):
        self._stored: dict[tuple[str, str, int], _StoredCrash] = {}
        self._keys_by_fingerprint: dict[str, set[tuple[str, str, int]]] = {}
        self.last_number = 0

    def add(self, record: messages.CrashRecord, now: float) -> None:
        """Add a record unless it is stored, or a clearance that clears nothing.

        A stored one is replaced by a report of the same end that arrived with less delay.
        """
        key = (record.fingerprint, record.server, record.born)
        at = now - record.age
        if record.is_clearance:
            cleared = [
                other
                for other in self._keys_by_fingerprint.get(record.fingerprint, ())
                if other != key and self._stored[other].at <= at
            ]
            if not cleared:
                return
            for other in cleared:
                self._remove(other)
            if key in self._stored:
                self._remove(key)
        elif key in self._stored:
            if at > self._stored[key].at - MIN_CRASH_TIME_GAIN_SECONDS:
                return
            self._remove(key)
        self.last_number += 1
        self._stored[key] = _StoredCrash(record, self.last_number, at)
        self._keys_by_fingerprint.setdefault(record.fingerprint, set()).add(key)

    def since(self, number: int, now: float) -> tuple[messages.CrashRecord, ...]:
        """Return the records added after a number, with their current ages."""
        if number >= self.last_number:
            return ()
        # They are in the order of their numbers.
        added = itertools.takewhile(
            lambda stored: stored.number > number, reversed(self._stored.values())
        )
        return tuple(attrs.evolve(stored.record, age=now - stored.at) for stored in added)[::-1]

    def remove_expired(self, now: float) -> None:
        """Remove old records, and the earliest ones if there are too many."""
        while self._stored:
            key, first = next(iter(self._stored.items()))
            is_expired = now - first.at > CRASH_RETENTION_SECONDS
            if not is_expired and len(self._stored) <= MAX_CRASH_RECORDS:
                return
            self._remove(key)

    def _remove(self, key: tuple[str, str, int]) -> None:
        stored = self._stored.pop(key)
        keys = self._keys_by_fingerprint[stored.record.fingerprint]
        keys.discard(key)
        if not keys:
            del self._keys_by_fingerprint[stored.record.fingerprint]


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
        self._crashes = _CrashRecords()
        self._history = document_deltas.DocumentHistory()
        self._version = 0
        self._version_changed_at = float("-inf")
        self._evacuation_number = 0
        self._evacuated_zones: tuple[str, ...] = ()
        self._evacuations_changed_at = float("-inf")

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
            subscriber.sent_number = subscriber.sent_crash_number = 0
        subscriber.standby = message.standby
        subscriber.takes_deltas = message.base_version > 0
        lacks_base = message.version and not subscriber.takes_deltas
        if lacks_base or now - subscriber.version_sent_at > RESEND_DELAY_SECONDS:
            subscriber.version = message.version  # it could not use what was sent to it since
        subscriber.version = max(subscriber.version, message.version)
        subscriber.evacuation_number = max(subscriber.evacuation_number, message.evacuation_number)
        subscriber.probe = message.probe
        for record in message.entries:
            subscriber.entry = record.entry
            self._registry.update_entry(record, now)
        self.add_crashes(message.crashes, now)
        return subscriber.entry

    def lacks_records(self, connection: Any) -> bool:
        """Return whether a subscriber was sent nothing yet, or not the records it asked for."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return False
        was_sent_nothing = subscriber.sent_at == float("-inf")
        return was_sent_nothing or (not subscriber.sent_number and not subscriber.standby)

    def lacks_version(self, connection: Any) -> bool:
        """Return whether a subscriber asked for a whole document that is newer than its own."""
        subscriber = self._subscribers.get(connection)
        return (
            subscriber is not None
            and not subscriber.takes_deltas
            and 0 < subscriber.version < self._version
        )

    def awaits_update(self, connection: Any) -> bool:
        """Return whether a subscriber lacks records or the answer to its probe."""
        subscriber = self._subscribers.get(connection)
        return self.lacks_records(connection) or (
            subscriber is not None and subscriber.has_open_probe
        )

    def add_crashes(self, records: tuple[messages.CrashRecord, ...], now: float) -> None:
        """Store crash records that are not stored yet."""
        for record in records:
            self._crashes.add(record, now)

    def make_updates(
        self,
        *,
        version: int,
        document: bytes,
        confirmed: bool,
        controls: tuple[str, ...],
        now: float,
        evacuation_number: int = 0,
        evacuated_zones: tuple[str, ...] = (),
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
        evacuation_number : int
            Number of the evacuated zones, which grows with their changes.
        evacuated_zones : tuple of str
        """
        self._crashes.remove_expired(now)
        if version != self._version:
            self._version, self._version_changed_at = version, now
            self._history.add(version, document)
        if evacuation_number != self._evacuation_number:
            self._evacuation_number, self._evacuations_changed_at = evacuation_number, now
            self._evacuated_zones = evacuated_zones
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
            crashes = self._crashes.since(subscriber.sent_crash_number, now)
        answers_probe = subscriber.has_open_probe and confirmed
        is_delayed = _is_delayed(subscriber, self._version_changed_at, now) and not answers_probe
        if subscriber.is_control or is_delayed:  # control hosts have the log
            version, document = 0, b""
        has_new_version = version > subscriber.version
        # A subscriber that gets its first declaration must know of evacuations at the same time.
        has_evacuations = self._evacuation_number > subscriber.evacuation_number and (
            has_new_version
            or answers_probe
            or not _is_delayed(subscriber, self._evacuations_changed_at, now)
        )
        if subscriber.is_control:
            has_evacuations = False
        controls_changed = controls != subscriber.controls
        is_state_unchanged = (controls, confirmed) == (subscriber.controls, subscriber.confirmed)
        sent_recently = now - subscriber.sent_at < subscriber.heartbeat_seconds
        if (
            not (servers or entries or crashes or has_new_version)
            and not (has_evacuations or answers_probe)
            and is_state_unchanged
            and sent_recently
        ):
            return None
        if not subscriber.standby:
            subscriber.sent_number = self._registry.update_number
            subscriber.sent_crash_number = self._crashes.last_number
        delta = None
        if has_new_version:
            if subscriber.takes_deltas:
                delta = self._history.find_delta(subscriber.version)
            subscriber.version_sent_at = now
        subscriber.version = max(subscriber.version, version)
        subscriber.controls, subscriber.confirmed = controls, confirmed
        subscriber.sent_at = now
        if has_evacuations:
            subscriber.evacuation_number = self._evacuation_number
        if answers_probe:
            subscriber.answered_probe = subscriber.probe
        zone = "" if subscriber.sent_zone else self._zone
        subscriber.sent_zone = True
        return messages.ClusterUpdate(
            version=version,
            document=document if has_new_version and delta is None else b"",
            confirmed=confirmed,
            controls=controls if controls_changed else (),
            servers=servers,
            entries=entries,
            crashes=crashes,
            zone=zone,
            deltas=() if delta is None else (delta,),
            evacuation_number=self._evacuation_number if has_evacuations else 0,
            evacuated_zones=self._evacuated_zones if has_evacuations else (),
            probe=subscriber.probe if answers_probe else 0,
        )


def _is_delayed(subscriber: _Subscriber, changed_at: float, now: float) -> bool:
    """Return whether a standby subscriber may still receive a change from its primary."""
    return subscriber.standby and now - changed_at < STANDBY_DELAY_SECONDS
