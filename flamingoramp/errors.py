"""Exceptions of the system, each with a stable error code and an HTTP status."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a failed request.

    ``NOT_RUN``: it was not executed and may be sent again. ``FAILED``: its execution failed.
    ``OUTCOME_UNKNOWN``: it may have been executed.
    """

    NOT_RUN = "not_run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome_unknown"


class FlamingorampError(Exception):
    """Base class of the errors of the system.

    Parameters
    ----------
    message : str
        What failed and what the receiver can do about it.
    retry_after : float
        Time in seconds after which the same request may be sent again, 0 if unknown.
    outcome : Outcome
        What is known about the execution, if it differs from the default of the class.
    """

    code = "internal"
    status = 500
    outcome = Outcome.FAILED

    def __init__(self, message: str, *, retry_after: float = 0.0, outcome: Outcome | None = None):
        super().__init__(message)
        self.retry_after = retry_after
        if outcome is not None:
            self.outcome = outcome


class InvariantViolationError(FlamingorampError):
    """A state machine reached a state that violates its invariants."""

    code = "invariant_violation"


class SettingsError(FlamingorampError):
    """A settings file or declaration is missing, malformed or invalid."""

    code = "bad_settings"
    status = 400


class BadRequestError(FlamingorampError):
    """The request is malformed or invalid."""

    code = "bad_request"
    status = 400
    outcome = Outcome.NOT_RUN


class UnknownWorkspaceError(BadRequestError):
    """The request's workspace doesn't exist."""

    code = "unknown_workspace"
    status = 403


class UnknownModelError(BadRequestError):
    """The request's model or service doesn't exist."""

    code = "unknown_model"
    status = 404


class RequestTooLargeError(BadRequestError):
    """The request's body exceeds the size limit."""

    code = "request_too_large"
    status = 413


class InvalidDeclarationError(BadRequestError):
    """A declaration is inconsistent or can't be parsed completely."""

    code = "invalid_declaration"


class UnknownApiKeyError(BadRequestError):
    """The request's API key belongs to no workspace."""

    code = "unknown_key"
    status = 401


class UnknownRouteError(BadRequestError):
    """No route of the requested host has a prefix that matches the request's path."""

    code = "unknown_route"
    status = 404


class MethodNotAllowedError(UnknownRouteError):
    """The path exists, but takes other methods.

    Parameters
    ----------
    message : str
    allowed : tuple of bytes
        Methods that the path takes.
    """

    code = "method_not_allowed"
    status = 405

    def __init__(self, message: str, *, allowed: tuple[bytes, ...]):
        super().__init__(message)
        self.allowed = allowed


class UnknownZoneError(BadRequestError):
    """The settings name no availability zone of this name."""

    code = "unknown_zone"
    status = 404


class PromptTooLongError(BadRequestError):
    """The prompt is too long for every set of engines."""

    code = "prompt_too_long"
    status = 413


class NotReadyError(FlamingorampError):
    """The entry admits no requests, since it holds no configuration lease."""

    code = "not_ready"
    status = 503
    outcome = Outcome.NOT_RUN


class StoppingError(NotReadyError):
    """The entry admits no requests, since it is shutting down."""

    code = "stopping"


class OverloadedError(FlamingorampError):
    """The request can't meet its time limit at the current load.

    ``seconds_until_free`` is the shortest wait until an engine starts another prefill, None if it
    isn't for lack of room at the engines that the request is refused.
    """

    code = "overloaded"
    status = 429
    outcome = Outcome.NOT_RUN
    seconds_until_free: float | None = None


class QuotaExceededError(OverloadedError):
    """The workspace has reached its limit of queued requests."""

    code = "quota_exceeded"


class NoBackendError(FlamingorampError):
    """No live backend server provides the service."""

    code = "no_backend"
    status = 503
    outcome = Outcome.NOT_RUN


class TimeLimitExceededError(FlamingorampError):
    """The request's time limit expired before its response was complete."""

    code = "time_limit_exceeded"
    status = 504


class RouteTimeoutError(TimeLimitExceededError):
    """The route's timeout expired before the response was complete."""

    code = "route_timeout"


class StopTimeoutError(TimeLimitExceededError):
    """The planned stop of the entry ended before the response was complete."""

    code = "stop_timeout"


class BackendFailedError(FlamingorampError):
    """The backend server failed, and no retry was allowed."""

    code = "backend_failed"
    status = 502


class RequestQuarantinedError(FlamingorampError):
    """The request is rejected because it crashed backend servers before."""

    code = "request_quarantined"
    status = 422
    outcome = Outcome.NOT_RUN


class OutcomeUnknownError(FlamingorampError):
    """A non-idempotent request was sent, and it is unknown whether it was executed."""

    code = "outcome_unknown"
    status = 502
    outcome = Outcome.OUTCOME_UNKNOWN


class KeyExpiredError(FlamingorampError):
    """The idempotency key is older than the stored records, so its earlier use is unknown."""

    code = "key_expired"
    status = 409
    outcome = Outcome.OUTCOME_UNKNOWN


class KeyReusedError(BadRequestError):
    """The idempotency key was used before for a request with other content."""

    code = "key_reused"
    status = 422


class RevisionConflictError(FlamingorampError):
    """The plan's base revision isn't the current revision any more."""

    code = "revision_conflict"
    status = 409
    outcome = Outcome.NOT_RUN


class UnknownPlanError(FlamingorampError):
    """The plan doesn't exist or has expired."""

    code = "plan_unknown"
    status = 404
    outcome = Outcome.NOT_RUN


class NotLeaderError(FlamingorampError):
    """The control replica isn't the leader; retry at the one that the message names."""

    code = "not_leader"
    status = 503
    outcome = Outcome.NOT_RUN


class CorruptLogError(FlamingorampError):
    """A stored log record other than the last one fails its checksum."""

    code = "corrupt_log"


class StorageFailedError(FlamingorampError):
    """The data folder can't be written, so the replica stops."""

    code = "storage_failed"


class ProtocolError(FlamingorampError):
    """A frame of the internal protocol can't be decoded."""

    code = "protocol_error"


def _classes_by_code(base: type[FlamingorampError]) -> dict[str, type[FlamingorampError]]:
    classes = {base.code: base}
    for subclass in base.__subclasses__():
        classes.update(_classes_by_code(subclass))
    return classes


def error_from_code(code: str, message: str, *, retry_after: float = 0.0) -> FlamingorampError:
    """Return the error for a code that another process sent, `FlamingorampError` if unknown."""
    error_class = _classes_by_code(FlamingorampError).get(code, FlamingorampError)
    return error_class(message, retry_after=retry_after)
