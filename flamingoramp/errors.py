"""Errors of the system, each with a stable code."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request that was not answered."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    OUTCOME_UNKNOWN = "outcome_unknown"


class FlamingorampError(Exception):
    """Base of all errors of the system.

    Parameters
    ----------
    message : str
        What happened and what to do about it.
    retry_after : float
        Seconds after which the same request may be sent again, 0 if unknown.
    outcome : Outcome
        What is known about the execution, if it differs from the kind's.
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
    """A state machine reached a state that its invariants exclude."""

    code = "invariant_violation"


class SettingsError(FlamingorampError):
    """A settings file or declaration can't be used."""

    code = "bad_settings"
    status = 400


class BadRequestError(FlamingorampError):
    """The caller's request is malformed."""

    code = "bad_request"
    status = 400
    outcome = Outcome.NOT_RUN


class UnknownWorkspaceError(BadRequestError):
    """The request names no workspace that exists."""

    code = "unknown_workspace"
    status = 403


class UnknownModelError(BadRequestError):
    """The request names no model or service that exists."""

    code = "unknown_model"
    status = 404


class RequestTooLargeError(BadRequestError):
    """The request's body is over the limit."""

    code = "request_too_large"
    status = 413


class InvalidDeclarationError(BadRequestError):
    """A declaration contradicts itself or can't be read in full."""

    code = "invalid_declaration"


class UnknownKeyError(BadRequestError):
    """No workspace holds the request's key."""

    code = "unknown_key"
    status = 401


class UnknownRouteError(BadRequestError):
    """No route of the host begins the request's path."""

    code = "unknown_route"
    status = 404


class PromptTooLongError(BadRequestError):
    """No set of engines holds a prompt of this length."""

    code = "prompt_too_long"
    status = 413


class NotReadyError(FlamingorampError):
    """The entry holds no configuration lease and admits nothing."""

    code = "not_ready"
    status = 503
    outcome = Outcome.NOT_RUN


class StoppingError(NotReadyError):
    """The entry is in a planned stop and admits nothing."""

    code = "stopping"


class OverloadedError(FlamingorampError):
    """The request can't meet its time limit at the present load."""

    code = "overloaded"
    status = 429
    outcome = Outcome.NOT_RUN


class QuotaExceededError(OverloadedError):
    """The workspace has used up its share of waiting requests."""

    code = "quota_exceeded"


class NoBackendError(FlamingorampError):
    """No live backend server offers the service."""

    code = "no_backend"
    status = 503
    outcome = Outcome.NOT_RUN


class TimeLimitExceededError(FlamingorampError):
    """The time limit passed before the answer was whole."""

    code = "time_limit_exceeded"
    status = 504


class RouteTimeoutError(TimeLimitExceededError):
    """The route's timeout passed before the answer was whole."""

    code = "route_timeout"


class BackendFailedError(FlamingorampError):
    """The backend server failed and no further attempt was allowed."""

    code = "backend_failed"
    status = 502


class RequestQuarantinedError(FlamingorampError):
    """The request crashed backend servers and is refused."""

    code = "request_quarantined"
    status = 422
    outcome = Outcome.NOT_RUN


class OutcomeUnknownError(FlamingorampError):
    """A non-idempotent request was sent and its outcome is not known."""

    code = "outcome_unknown"
    status = 502
    outcome = Outcome.OUTCOME_UNKNOWN


class KeyExpiredError(FlamingorampError):
    """The idempotency key is too old to tell whether it was used."""

    code = "key_expired"
    status = 409
    outcome = Outcome.OUTCOME_UNKNOWN


class KeyReusedError(BadRequestError):
    """The idempotency key was used before with another content."""

    code = "key_reused"
    status = 422


class RevisionConflictError(FlamingorampError):
    """The plan's base revision is no longer the current one."""

    code = "revision_conflict"
    status = 409
    outcome = Outcome.NOT_RUN


class UnknownPlanError(FlamingorampError):
    """The plan doesn't exist or has expired."""

    code = "plan_unknown"
    status = 404
    outcome = Outcome.NOT_RUN


class NotLeaderError(FlamingorampError):
    """The control replica doesn't lead; ask the one that it names."""

    code = "not_leader"
    status = 503
    outcome = Outcome.NOT_RUN


class CorruptLogError(FlamingorampError):
    """A stored record that others follow fails its checksum."""

    code = "corrupt_log"


class StorageFailedError(FlamingorampError):
    """The data folder can't be written; the replica stops."""

    code = "storage_failed"


class ProtocolError(FlamingorampError):
    """A frame of the inner protocol can't be read."""

    code = "protocol_error"


def _collect(base: type[FlamingorampError]) -> dict[str, type[FlamingorampError]]:
    found = {base.code: base}
    for child in base.__subclasses__():
        found.update(_collect(child))
    return found


def error_from_code(code: str, message: str, *, retry_after: float = 0.0) -> FlamingorampError:
    """Build the error of a code that came over the inner protocol."""
    kind = _collect(FlamingorampError).get(code, FlamingorampError)
    return kind(message, retry_after=retry_after)
