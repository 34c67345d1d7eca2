"""A caller's request and what happens to it, as typed messages and effects."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from flamingoramp import errors


class RequestKind(enum.Enum):
    """What a caller asked for."""

    CHAT = "chat"
    COMPLETION = "completion"
    PLAIN = "plain"


@attrs.frozen
class PlainCall:
    """A call of a plain service."""

    method: str
    path: str
    body: bytes = b""
    content_type: str = ""


@attrs.frozen
class RequestSpec:
    """A checked request.

    Parameters
    ----------
    request_id : str
    kind : RequestKind
    workspace, service, model : str
    prompt : str
        Text that the engine reads; empty for plain services.
    prompt_tokens, output_tokens : int
        Estimated length of the prompt, and the largest answer.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes of growing length.
    time_limit : float
        Seconds from the request's arrival to the end of its answer.
    idempotent : bool
    key : str
        Idempotency key of a non-idempotent request.
    fingerprint : str
        Hash of workspace and content.
    streams : bool
        Whether the caller wants server-sent events.
    call : PlainCall, optional
    """

    request_id: str
    kind: RequestKind
    workspace: str
    service: str
    model: str = ""
    prompt: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    time_limit_seconds: float = 60.0
    idempotent: bool = True
    key: str = ""
    fingerprint: str = ""
    streams: bool = False
    call: PlainCall | None = None


# Messages to the dispatcher.


@attrs.frozen
class Submit:
    """A caller's request was accepted for processing."""

    spec: RequestSpec


@attrs.frozen
class CallerDisconnected:
    """The caller's connection ended."""

    request_id: str


@attrs.frozen
class TransferChunk:
    """Text that a backend server generated, at an offset in the whole answer."""

    request_id: str
    attempt: int
    offset: int
    text: str


@attrs.frozen
class PlainResponse:
    """The whole answer of a plain service."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes


class TransferResult(enum.Enum):
    """How a transfer ended.

    ``NOT_SENT``: the server refused the connection. ``UNREACHED``: it did not answer to one.
    ``REJECTED``: the server proved that it did not
    begin. ``BROKEN``: the connection ended early. ``SILENT``: it went silent. ``GONE``: the server
    no longer has the attempt that should be resumed.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    UNREACHED = "unreached"
    REJECTED = "rejected"
    BROKEN = "broken"
    SILENT = "silent"
    GONE = "gone"


@attrs.frozen
class TransferEnd:
    """A transfer ended.

    Parameters
    ----------
    request_id : str
    attempt : int
    result : TransferResult
    url : str
        Server that it went to.
    length : int
        Characters of the whole answer, if it is done.
    """

    request_id: str
    attempt: int
    result: TransferResult
    url: str = ""
    length: int = 0


# Effects of the dispatcher.


@attrs.frozen
class SendToOwner:
    """Send a message to the owner of a shard."""

    shard: str
    message: Any


@attrs.frozen
class SendToControl:
    """Send a message to the leading control replica."""

    message: Any


@attrs.frozen
class GroupMember:
    """An engine that holds a segment of a prompt."""

    url: str
    tokens: int


@attrs.frozen
class StartGenerate:
    """Run an attempt on an engine, the last of a group if the prompt is split."""

    spec: RequestSpec
    attempt: int
    members: tuple[GroupMember, ...]
    priority: int
    offset: int
    delivered_text: str
    remaining_seconds: float


@attrs.frozen
class StartResume:
    """Ask an engine for the rest of a stream over a new connection."""

    spec: RequestSpec
    attempt: int
    url: str
    offset: int
    remaining_seconds: float


@attrs.frozen
class StartPlain:
    """Call a plain service."""

    spec: RequestSpec
    attempt: int
    url: str
    remaining_seconds: float


@attrs.frozen
class CancelTransfer:
    """Stop a transfer and make the servers give up the attempt."""

    request_id: str
    attempt: int
    urls: tuple[str, ...]


@attrs.frozen
class CallerBegin:
    """Send the head of a streamed answer."""

    spec: RequestSpec


@attrs.frozen
class CallerText:
    """Send text of a streamed answer."""

    spec: RequestSpec
    text: str


@attrs.frozen
class CallerEnd:
    """Complete an answer; ``text`` is the whole of it."""

    spec: RequestSpec
    text: str
    chunks: int


@attrs.frozen
class CallerPlain:
    """Answer with a plain service's response, or a recorded one."""

    spec: RequestSpec
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class CallerError:
    """Answer with an error; ``begun`` tells whether the head is already sent."""

    spec: RequestSpec
    error: errors.FlamingorampError
    begun: bool


@attrs.frozen
class RecordEvent:
    """Record an event on the time line and count it."""

    kind: str
    request: str
    fields: dict[str, Any] = attrs.field(factory=dict)
