"""Control hosts as an entry hears them, and the choice of the one that sends it the records."""

from __future__ import annotations

import hashlib

import attrs

from flamingoramp import value_classes
from flamingoramp.membership import subscriptions

# The primary sends a heartbeat every `subscriptions.PRIMARY_HEARTBEAT_SECONDS`, the other control
# hosts every `subscriptions.HEARTBEAT_SECONDS`; both are published at intervals of 0.25 s.
PRIMARY_TIMEOUT_SECONDS = 2 * subscriptions.PRIMARY_HEARTBEAT_SECONDS + 0.25
STANDBY_TIMEOUT_SECONDS = subscriptions.HEARTBEAT_SECONDS + 0.75
# A control host without contact with the leader for longer is left, if another has it. All lose it
# for about a second when the leader fails.
LEADER_CONTACT_TIMEOUT_SECONDS = 2.5


@attrs.define(eq=False, repr=False)
class _Contact(value_classes.MutableValue):
    """What was last heard from one control host; times in monotonic seconds."""

    updated_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    zone: str = ""


class ControlContacts:
    """Chooses an entry's primary: the control host that sends it records and new versions.

    A control host of the entry's availability zone is preferred, so that the records cross the
    border of a zone once for each control host rather than for each entry. The entries of a zone
    are spread over its control hosts by rendezvous hashing.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the entry.
    """

    def __init__(self, *, name: str, zone: str):
        self._name = name
        self._zone = zone
        self._contacts: dict[str, _Contact] = {}
        self._primary = ""

    @property
    def primary(self) -> str:
        """Address of the primary; empty before the first choice."""
        return self._primary

    def record_update(self, host: str, *, confirmed: bool, zone: str, now: float) -> None:
        """Record an update of a control host; an empty ``zone`` is as before."""
        contact = self._contacts.setdefault(host, _Contact())
        contact.updated_at = now
        contact.zone = zone or contact.zone
        if confirmed:
            contact.confirmed_at = now

    def is_primary_silent(self, now: float) -> bool:
        """Return whether the primary has not sent an update recently."""
        contact = self._contacts.get(self._primary)
        return contact is None or now - contact.updated_at > PRIMARY_TIMEOUT_SECONDS

    def choose_primary(self, hosts: list[str], now: float) -> str:
        """Choose the primary among the known control hosts and return it.

        The present one is kept unless it is silent, has no contact with the leader while another
        has, or is in another availability zone while one of this zone would do.
        """
        live = [host for host in hosts if self._is_live(host, now)]
        candidates = live or hosts
        best = min(candidates, key=lambda host: (*self._faults(host, now), self._rank(host)))
        keeps = self._primary in candidates and self._faults(self._primary, now) <= self._faults(
            best, now
        )
        if not keeps:
            self._primary = best
        return self._primary

    def _is_live(self, host: str, now: float) -> bool:
        contact = self._contacts.get(host)
        if contact is None:
            return False
        is_primary = host == self._primary
        timeout = PRIMARY_TIMEOUT_SECONDS if is_primary else STANDBY_TIMEOUT_SECONDS
        return now - contact.updated_at <= timeout

    def _faults(self, host: str, now: float) -> tuple[bool, bool]:
        contact = self._contacts.get(host, _Contact())
        lacks_leader = now - contact.confirmed_at > LEADER_CONTACT_TIMEOUT_SECONDS
        return lacks_leader, contact.zone != self._zone

    def _rank(self, host: str) -> bytes:
        return hashlib.blake2b(f"{self._name}/{host}".encode(), digest_size=8).digest()
