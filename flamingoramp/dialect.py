"""Interface between the daemons and the HTTP API of a platform.

An implementation of `Dialect` decodes the platform's requests into the types of this module and
encodes answers; it makes no decisions about them.
"""

from __future__ import annotations

import enum
from collections.abc import Generator
from typing import TYPE_CHECKING, Protocol

import attrs

from flamingoramp import errors, value_classes
from flamingoramp.http import messages
from flamingoramp.intent import traffic
from flamingoramp.protocol import messages as protocol_messages

if TYPE_CHECKING:  # a control host sends no requests to backend servers
    from flamingoramp.http import client
    from flamingoramp.routing import statements


@attrs.frozen(eq=False, repr=False)
class SubmitDeclaration(value_classes.Value):
    """An operator's call that submits a declaration.

    Parameters
    ----------
    version : int
        Version of the declaration; it has an effect only if it exceeds the committed one.
    document : bytes
        The declaration as the operator sent it.
    """

    version: int
    document: bytes


@attrs.frozen(eq=False, repr=False)
class ReadDeclaration(value_classes.Value):
    """An operator's call that reads the declaration in force."""


@attrs.frozen(eq=False, repr=False)
class AnnounceServer(value_classes.Value):
    """A backend server's call that announces its address and state."""

    record: protocol_messages.ServerRecord


@attrs.frozen(eq=False, repr=False)
class WithdrawServer(value_classes.Value):
    """A backend server's call, made when it ends, that removes it from the registry."""

    server: str


@attrs.frozen
class EvacuateZone:
    """An operator's call after which nothing new goes to the servers of an availability zone."""

    zone: str


@attrs.frozen
class RestoreZone:
    """An operator's call that withdraws the evacuation of an availability zone."""

    zone: str


ControlCall = (
    SubmitDeclaration
    | ReadDeclaration
    | AnnounceServer
    | WithdrawServer
    | EvacuateZone
    | RestoreZone
)


@attrs.frozen(eq=False, repr=False)
class CallerRequest(value_classes.Value):
    """A caller's request, decoded.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of the caller.
    host, path : str
    key : str
        API key; empty if the request carries none.
    remaining_seconds : float or None
        Time that the caller still waits for the answer; None if the request sets no limit.
    prompt_tokens, output_tokens : int
        Length of the prompt and maximum length of the output; 0 for requests that go to no engine.
    last_event_id : str
        Id of the last stream event that the caller received; empty to start at the first.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may have too, in their order.
    attempts_used : int or None
        Number of sends that may have run before another entry passed the request on; None if it
        comes from its caller.
    """

    request_id: str
    host: str
    path: str
    key: str = ""
    remaining_seconds: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ""
    shared_parts: tuple[str, ...] = ()
    attempts_used: int | None = None

    @property
    def is_from_peer(self) -> bool:
        """Whether another entry passed the request on."""
        return self.attempts_used is not None


@attrs.frozen(eq=False, repr=False)
class HelperEngine(value_classes.Value):
    """An engine that prefills part of a prompt for another engine.

    Parameters
    ----------
    address : str
    ticket : str
        Id of the memory reservation that keeps that part; empty if there is none.
    """

    address: str
    ticket: str = ""


@attrs.frozen(eq=False, repr=False)
class ForwardedRequest(value_classes.Value):
    """A caller's request and the fields that the entry adds for the backend server.

    Parameters
    ----------
    request : messages.Request
        The request as the caller sent it.
    caller : CallerRequest
        The same request, decoded.
    server : protocol_messages.ServerRecord
        The backend server that it is sent to.
    workspace : str
        Name of the caller's workspace; empty if there is none.
    remaining_seconds : float or None
        Time until the deadline of the request.
    priority : int or None
    last_event_id : str
        Id of the last stream event that the caller has; empty to start at the first.
    helpers : tuple of HelperEngine
    """

    request: messages.Request
    caller: CallerRequest
    server: protocol_messages.ServerRecord
    workspace: str = ""
    remaining_seconds: float | None = None
    priority: int | None = None
    last_event_id: str = ""
    helpers: tuple[HelperEngine, ...] = ()


@attrs.frozen(eq=False, repr=False)
class PeerRequest(value_classes.Value):
    """A caller's request that this entry passes on to another one.

    Parameters
    ----------
    request : messages.Request
        The request as the caller sent it.
    remaining_seconds : float
        Time until the deadline of the request.
    attempts_used : int
        Number of its sends that may have run.
    last_event_id : str
        Id of the last stream event that the caller has; empty to start at the first.
    """

    request: messages.Request
    remaining_seconds: float
    attempts_used: int = 0
    last_event_id: str = ""


class AnswerKind(enum.Enum):
    """Kind of a backend server's answer, as decoded from its head.

    Attributes
    ----------
    ANSWER
        Answer of any status that is no stream.
    STREAM
        Stream of events.
    NOT_RUN
        The server refused the request without running it.
    FOREIGN
        The answer is not known to belong to this request, so it must not reach the caller.
    """

    ANSWER = "answer"
    STREAM = "stream"
    NOT_RUN = "not_run"
    FOREIGN = "foreign"


@attrs.frozen(eq=False, repr=False)
class AnswerHead(value_classes.Value):
    """The decoded head of a backend server's answer.

    Parameters
    ----------
    kind : AnswerKind
    failed_address : str
        Address of the helper engine that failed; empty if the answer names none.
    statement : statements.ServerStatement or None
        What the server states of itself; None if the answer may be that of another server.
    retry_after_seconds : float
        Time after which another entry that refused the request may be asked again; 0 if it named
        none.
    has_refusal_status : bool
        Whether the status tells a caller that its request has not run, though the server doesn't
        say so.
    """

    kind: AnswerKind
    failed_address: str = ""
    statement: statements.ServerStatement | None = None
    retry_after_seconds: float = 0.0
    has_refusal_status: bool = False


class Dialect(Protocol):
    """Decodes requests to the daemons and encodes answers in the formats of a platform."""

    def decode_control_call(self, request: messages.Request) -> ControlCall:
        """Decode a call to a control host.

        Raises
        ------
        flamingoramp.errors.MethodNotAllowedError
            The path takes other methods.
        flamingoramp.errors.UnknownRouteError
            The path is that of no call.
        flamingoramp.errors.BadRequestError
            The body of an announcement is malformed.
        flamingoramp.errors.InvalidDeclarationError
            The body is no declaration with a version.
        """

    def decode_declaration(self, document: bytes) -> traffic.TrafficDeclaration:
        """Decode a declaration and validate it.

        Raises
        ------
        flamingoramp.errors.InvalidDeclarationError
            The document is malformed or contradicts itself.
        """

    def decode_declaration_in_steps(
        self, document: bytes
    ) -> Generator[None, None, traffic.TrafficDeclaration]:
        """Do what `decode_declaration` does, in short steps."""

    def encode_error(self, error: errors.FlamingorampError) -> messages.Response:
        """Encode an error as the answer to a caller, an operator or a backend server."""

    def encode_acknowledgement(self) -> messages.Response:
        """Encode the answer to a call that took effect."""

    def encode_document(self, document: bytes) -> messages.Response:
        """Encode the answer that carries the declaration in force."""

    def check_readiness_call(self, request: messages.Request) -> None:
        """Check that the request is a readiness probe.

        Raises
        ------
        flamingoramp.errors.UnknownRouteError
            Method and path are not those of the probe.
        """

    def decode_directory_call(self, request: messages.Request) -> str:
        """Decode a caller's request for entry addresses; return the caller's availability zone.

        Raises
        ------
        flamingoramp.errors.UnknownRouteError
            Method and path are not those of the directory.
        """

    def encode_directory(self, addresses: list[str], seconds: float) -> messages.Response:
        """Encode the entry addresses, which the caller may cache for ``seconds``."""

    def decode_request(self, request: messages.Request) -> CallerRequest:
        """Decode a caller's request.

        Raises
        ------
        flamingoramp.errors.BadRequestError
            The request id is missing, or a header is not the integer that it should be.
        """

    def encode_forwarded_request(self, forwarded: ForwardedRequest) -> messages.Request:
        """Encode the request that is sent to the backend server."""

    def decode_answer_head(self, head: client.Head, request_id: str) -> AnswerHead:
        """Decode the head of a backend server's answer to the request ``request_id``."""

    def encode_peer_request(self, passed_on: PeerRequest) -> messages.Request:
        """Encode the request that is passed on to another entry."""

    def decode_peer_answer_head(self, head: client.Head, request_id: str) -> AnswerHead:
        """Decode the head of another entry's answer to the request ``request_id``."""

    def encode_reserve(
        self, server: str, ticket: str, tokens: int, seconds: float
    ) -> messages.Request:
        """Encode the command that reserves memory at an engine, or renews the reservation.

        Parameters
        ----------
        server : str
            Name of the engine.
        ticket : str
            Id of the reservation.
        tokens : int
            Size of the reservation.
        seconds : float
            Time until the reservation expires unless it is renewed.
        """

    def encode_release(self, server: str, ticket: str) -> messages.Request:
        """Encode the command that releases the reservation ``ticket`` at an engine."""
