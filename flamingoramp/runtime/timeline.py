"""The time line: a bounded ring of events of one process, and the merge of several."""

from __future__ import annotations

import collections
import json
from typing import Any

import attrs

from flamingoramp.runtime import clock as clocks

RING_EVENTS = 20_000


@attrs.frozen
class Event:
    """Something that happened in one process.

    Parameters
    ----------
    clock : int
        Hybrid logical clock.
    process : str
    kind : str
        What happened, as a name with dots.
    request : str
        Id of the request it concerns, empty if none.
    fields : dict
        Details, of types that JSON knows.
    """

    clock: int
    process: str
    kind: str
    request: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)


class Timeline:
    """Events of one process, the newest `RING_EVENTS` of them."""

    def __init__(self, process: str, clock: clocks.HybridClock):
        self._process = process
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(maxlen=RING_EVENTS)

    def record(self, kind: str, request: str = "", **fields: Any) -> None:
        """Add an event."""
        self._events.append(Event(self._clock.tick(), self._process, kind, request, fields))

    def select(self, *, request: str = "", revision: int = 0) -> list[Event]:
        """Return the events of a request or a revision, or all."""
        return [
            event
            for event in self._events
            if (not request or event.request == request)
            and (not revision or event.fields.get("revision") == revision)
        ]


def to_json_lines(events: list[Event]) -> str:
    """Write events one to a line."""
    return "".join(json.dumps(attrs.asdict(event)) + "\n" for event in events)


def from_json_lines(text: str) -> list[Event]:
    """Read what `to_json_lines` wrote."""
    return [Event(**json.loads(line)) for line in text.splitlines() if line]


def merge(parts: list[list[Event]]) -> list[Event]:
    """Put the events of several processes in one order."""
    return sorted((event for part in parts for event in part), key=lambda event: event.clock)


def to_chrome_trace(events: list[Event]) -> str:
    """Write events in the Chrome trace format, one row for each process."""
    names = sorted({event.process for event in events})
    numbers = {name: number for number, name in enumerate(names, start=1)}
    rows: list[dict[str, Any]] = [
        {"ph": "M", "name": "process_name", "pid": number, "tid": 0, "args": {"name": name}}
        for name, number in numbers.items()
    ]
    for event in events:
        rows.append(
            {
                "ph": "i",
                "s": "p",
                "name": event.kind,
                "pid": numbers[event.process],
                "tid": 0,
                "ts": clocks.to_seconds(event.clock) * 1e6,
                "args": {"request": event.request, **event.fields},
            }
        )
    return json.dumps({"traceEvents": rows})
