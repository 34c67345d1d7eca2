"""Effects that a scheduler asks its task to carry out."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.routing import isolation


@attrs.frozen
class Reply:
    """Send a message to an entry."""

    address: str
    message: Any


@attrs.frozen
class CancelAtServer:
    """Make a backend server give up an attempt and its memory."""

    url: str
    request_id: str
    attempt: int


@attrs.frozen
class ReportSuspects:
    """Commit crash suspects, and those that are none any more."""

    service: str
    report: isolation.SuspectChanges


@attrs.frozen
class RecordEvent:
    """Record an event on the time line and count it."""

    kind: str
    request: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)
