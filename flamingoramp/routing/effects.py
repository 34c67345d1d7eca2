"""Side effects that a scheduler returns for its caller to perform."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.routing import isolation


@attrs.frozen
class Reply:
    """Send a message to an entry, the process that asked for the placement."""

    address: str
    message: Any


@attrs.frozen
class CancelAtServer:
    """Ask a backend server to cancel an attempt and free its memory."""

    url: str
    request_id: str
    attempt: int


@attrs.frozen
class ReportSuspects:
    """Have new and cleared crash suspects of a service committed."""

    service: str
    report: isolation.SuspectChanges


@attrs.frozen
class RecordEvent:
    """Record an event on the time line and count it in the metrics."""

    kind: str
    request: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)
