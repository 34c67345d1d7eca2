"""Event timelines: a bounded ring buffer for each process, and merging across processes."""

from __future__ import annotations

import collections
import json
from typing import Any

import attrs

from flamingoramp.runtime import clock as clocks

MAX_EVENTS = 20_000


@attrs.frozen
class Event:
    """Event of one process, such as a state change or a step of a request.

    Parameters
    ----------
    clock : int
        Hybrid logical clock timestamp, see `clock.HybridClock`.
    process : str
        Name of the process.
    kind : str
        Type of the event, as a dotted name such as ``request.sent``.
    request : str
        Id of the request that the event belongs to, empty if none.
    fields : dict
        Details, with values that JSON can represent.
    """

    clock: int
    process: str
    kind: str
    request: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)


class Timeline:
    """The newest `MAX_EVENTS` events of one process."""

    def __init__(self, process: str, clock: clocks.HybridClock):
        self._process_name = process
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(maxlen=MAX_EVENTS)

    def record(self, kind: str, request: str = "", **fields: Any) -> None:
        """Append an event with a new timestamp; a full buffer evicts its oldest event."""
        self._events.append(Event(self._clock.tick(), self._process_name, kind, request, fields))

    def select(self, *, request: str = "", revision: int = 0) -> list[Event]:
        """Return the events of a request or of a configuration revision, or all events."""
        return [
            event
            for event in self._events
            if (not request or event.request == request)
            and (not revision or event.fields.get("revision") == revision)
        ]


def to_json_lines(events: list[Event]) -> str:
    """Return events as JSON lines."""
    return "".join(json.dumps(attrs.asdict(event)) + "\n" for event in events)


def from_json_lines(text: str) -> list[Event]:
    """Parse events from the output of `to_json_lines`."""
    return [Event(**json.loads(line)) for line in text.splitlines() if line]


def merge(timelines: list[list[Event]]) -> list[Event]:
    """Return the events of several processes in the order of their timestamps."""
    return sorted(
        (event for events in timelines for event in events), key=lambda event: event.clock
    )


def to_chrome_trace(events: list[Event]) -> str:
    """Return events in the Chrome trace format, with one trace row per process."""
    process_names = sorted({event.process for event in events})
    process_ids = {name: process_id for process_id, name in enumerate(process_names, start=1)}
    trace_events: list[dict[str, Any]] = [
        {"ph": "M", "name": "process_name", "pid": process_id, "tid": 0, "args": {"name": name}}
        for name, process_id in process_ids.items()
    ]
    for event in events:
        trace_events.append(
            {
                "ph": "i",
                "s": "p",
                "name": event.kind,
                "pid": process_ids[event.process],
                "tid": 0,
                "ts": clocks.to_unix_seconds(event.clock) * 1e6,
                "args": {"request": event.request, **event.fields},
            }
        )
    return json.dumps({"traceEvents": trace_events})
