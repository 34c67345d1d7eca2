"""Departures of backend servers: the replicated state and its log entries.

A server that says it is leaving, or that withdraws its announcement, counts on getting no new
requests once that is acknowledged. A quorum of control hosts therefore has it on disk before the
acknowledgement.

What a server says of its departure stays true for the run that it began at ``born``, so entries can
be applied in any order, and more than once.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages

KIND_DEPARTURES = "departures"
# Departures that are kept; the earliest are dropped. Several times the number of servers, since a
# departure only matters while a host may still have an earlier record of the server.
MAX_DEPARTURE_COUNT = 4096


@attrs.frozen(eq=False, repr=False)
class Departure(value_classes.Value):
    """Departure of one run of a server.

    Parameters
    ----------
    server : str
    born : int
        Start of the run, as in `messages.ServerRecord`. 0 if unknown: it is the last known run, or
        any run until one is known.
    gone : bool
        Whether the server has withdrawn its announcement; False if it is only leaving.
    """

    server: str
    born: int
    gone: bool

    def covers(self, other: Departure) -> bool:
        """Return whether this departure of a server implies another one of the same server."""
        if other.born and self.born != other.born:
            return self.born > other.born
        return self.gone or not other.gone


def find_departure(record: messages.ServerRecord | None) -> Departure | None:
    """Return the departure that a record tells of, None if it tells of none."""
    if record is None or not record.leaving:
        return None  # a server that another one has replaced is gone, but has not said so
    return Departure(record.server, record.born, record.gone)


def encode(departures: Iterable[Departure]) -> bytes:
    """Return the payload of a log entry."""
    return json.dumps([attrs.astuple(departure) for departure in departures]).encode()


class DepartureState:
    """The last known departure of each server that has departed."""

    def __init__(self):
        self._departures: dict[str, Departure] = {}
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """Number of changes so far."""
        return self._change_count

    def contains(self, departure: Departure) -> bool:
        """Return whether a departure, or one that implies it, has been applied."""
        known = self._departures.get(departure.server)
        return known is not None and known.covers(departure)

    def amend(self, record: messages.ServerRecord) -> messages.ServerRecord:
        """Return a record with the departure of its run, if that or a later run has departed."""
        known = self._departures.get(record.server)
        if known is None or 0 < known.born < record.born:
            return record
        is_earlier_run = 0 < record.born < known.born
        gone = record.gone or known.gone or is_earlier_run
        if record.leaving and record.gone == gone:
            return record
        return attrs.evolve(record, leaving=True, gone=gone)

    def apply_entry(self, entry: messages.LogEntry) -> tuple[Departure, ...] | None:
        """Apply a log entry and return what it holds; None if it holds no departures."""
        if entry.kind != KIND_DEPARTURES:
            return None
        departures = tuple([Departure(*item) for item in json.loads(entry.payload)])
        for departure in departures:
            self._add(departure)
        return departures

    def dump(self) -> list[list[Any]]:
        """Return the state for a snapshot, as a JSON array."""
        return [list(attrs.astuple(departure)) for departure in self._departures.values()]

    def load(self, dumped: list[list[Any]]) -> None:
        """Restore a snapshot; departures of the present state stay."""
        for item in dumped:
            self._add(Departure(*item))

    def _add(self, departure: Departure) -> None:
        if self.contains(departure):
            return
        self._change_count += 1
        known = self._departures.pop(departure.server, None)
        if known is not None and not departure.born:
            departure = attrs.evolve(departure, born=known.born)
        self._departures[departure.server] = departure
        if len(self._departures) > MAX_DEPARTURE_COUNT:
            del self._departures[next(iter(self._departures))]
