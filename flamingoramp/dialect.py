"""What the daemons need from the way in which a platform speaks.

An implementation decodes calls into the types of this module and encodes answers; it decides
nothing.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from flamingoramp import errors
from flamingoramp.http import client, messages
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as inner


@attrs.frozen
class Declare:
    """An operator sends a declaration."""

    version: int
    document: bytes


@attrs.frozen
class ReadDeclaration:
    """An operator reads the declaration in force."""


@attrs.frozen
class Announce:
    """A backend server announces itself."""

    record: inner.ServerRecord


@attrs.frozen
class Withdraw:
    """A backend server says that it ends."""

    server: str


ControlCall = Declare | ReadDeclaration | Announce | Withdraw


@attrs.frozen
class CallerRequest:
    """A caller's request, decoded.

    Parameters
    ----------
    request_id : str
        Names one attempt of the caller.
    host, path : str
    key : str
        Empty if the request carries none.
    remaining_seconds : float or None
        Seconds that the caller waits; None if it doesn't say.
    prompt_tokens, output_tokens : int
        Length of the prompt and most tokens of the answer; 0 for other requests.
    last_event_id : str
        Where a stream is to go on; empty for its beginning.
    """

    request_id: str
    host: str
    path: str
    key: str = ""
    remaining_seconds: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ""


@attrs.frozen
class HelperEngine:
    """An engine that reads part of a prompt, and the reservation that keeps its part."""

    address: str
    ticket: str = ""


@attrs.frozen
class ForwardedRequest:
    """How a request is sent to a backend server; ``remaining_seconds`` is its time limit."""

    request: messages.Request
    caller: CallerRequest
    server: inner.ServerRecord
    workspace: str = ""
    remaining_seconds: float | None = None
    priority: int | None = None
    last_event_id: str = ""
    helpers: tuple[HelperEngine, ...] = ()


class AnswerKind(enum.Enum):
    """What the head of a backend server's answer says."""

    ANSWER = "answer"
    STREAM = "stream"
    NOT_RUN = "not_run"
    FOREIGN = "foreign"


@attrs.frozen
class AnswerHead:
    """The head of an answer, decoded; ``failed_address`` is that of a helper that failed, if named."""

    kind: AnswerKind
    failed_address: str = ""


class Dialect(Protocol):
    """The calls and formats of a platform."""

    def decode_control_call(self, request: messages.Request) -> ControlCall:
        """Decode a call to a control host.

        Raises
        ------
        flamingoramp.errors.BadRequestError
            If it is none.
        """

    def decode_declaration(self, document: bytes) -> traffic.TrafficDeclaration:
        """Decode a declaration and check it.

        Raises
        ------
        flamingoramp.errors.InvalidDeclarationError
            If it can't be in force.
        """

    def encode_error(self, error: errors.FlamingorampError) -> messages.Answer:
        """Encode a refusal or failure."""

    def encode_acknowledgement(self) -> messages.Answer:
        """Encode that a call took effect."""

    def encode_document(self, document: bytes) -> messages.Answer:
        """Encode the declaration in force."""

    def is_readiness_call(self, request: messages.Request) -> bool:
        """Tell whether the platform asks if this process is ready."""

    def decode_directory_call(self, request: messages.Request) -> str:
        """Return the availability zone of a caller that asks where to connect."""

    def encode_directory(self, addresses: list[str], seconds: float) -> messages.Answer:
        """Encode where callers may connect, and how long they may keep the answer."""

    def decode_request(self, request: messages.Request) -> CallerRequest:
        """Decode a caller's request."""

    def encode_forwarded_request(self, forward: ForwardedRequest) -> messages.Request:
        """Encode the request to a backend server."""

    def decode_answer_head(self, head: client.Head, request_id: str) -> AnswerHead:
        """Decode the head of a backend server's answer."""

    def encode_reserve(
        self, server: str, ticket: str, tokens: int, seconds: float
    ) -> messages.Request:
        """Encode a reservation of an engine's memory, or its renewal."""

    def encode_release(self, server: str, ticket: str) -> messages.Request:
        """Encode the end of a reservation."""
