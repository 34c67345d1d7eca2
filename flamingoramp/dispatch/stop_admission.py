"""Decides what an entry in a planned stop still takes on.

A request is taken on only if its answer ends before the process has to, as far as the entry can
tell. It is decided when the request is complete and again before anything is passed on; one that is
refused has not run, and its caller asks another entry while it has time left.
"""

from __future__ import annotations

import enum

import attrs

from flamingoramp import errors, value_classes

# Time from an answer of the entry's own to its delivery: a late timer and the caller's round trip.
DELIVERY_SECONDS = 0.2
# Time from the end of the event loop to that of the process, on a share of a core.
EXIT_SECONDS = 0.6
RESERVE_SECONDS = DELIVERY_SECONDS + EXIT_SECONDS
# Largest share of the time between the stop signal and the kill that is reserved.
MAX_RESERVE_RATIO = 0.5
# Time that the smallest request takes, with its way to a server and back.
SMALLEST_ANSWER_SECONDS = 0.1
# Another entry is worth a try at once.
RETRY_AFTER_SECONDS = 0.05
# After the accept period, a request is expected to take this many times as long as slow ones of its
# route did. A caller may send one that can run twice to another entry after it was cut.
REPEATABLE_MARGIN_RATIO = 1.25
UNREPEATABLE_MARGIN_RATIO = 1.5


class Reason(enum.StrEnum):
    """Why a request is taken on or refused.

    ``LIMIT``: its time limit ends in time. ``IN_TIME``: its answer is expected to. ``UNKNOWN``:
    nothing is known of the duration of its answer. ``TOO_LONG``: its answer is expected to end too
    late. ``OVER``: not even the smallest answer would end in time.
    """

    LIMIT = "limit"
    IN_TIME = "in_time"
    UNKNOWN = "unknown"
    TOO_LONG = "too_long"
    OVER = "over"


@attrs.frozen(eq=False, repr=False)
class StopTime(value_classes.Value):
    """How far a planned stop has come.

    Parameters
    ----------
    elapsed_seconds : float
        Time since the stop began.
    accept_seconds : float
        Time for which the entry accepts connections.
    stop_seconds : float
        Time from the beginning until the process is killed.
    """

    elapsed_seconds: float
    accept_seconds: float
    stop_seconds: float

    @property
    def is_accepting(self) -> bool:
        """Whether callers may not have heard of the stop yet."""
        return self.elapsed_seconds <= self.accept_seconds

    @property
    def remaining_seconds(self) -> float:
        """Time until the entry answers by itself whatever has no answer."""
        reserve_seconds = min(RESERVE_SECONDS, MAX_RESERVE_RATIO * self.stop_seconds)
        return self.stop_seconds - reserve_seconds - self.elapsed_seconds

    @property
    def seconds_until_exit(self) -> float:
        """Time until the event loop has to end; started answers go on until then."""
        exit_seconds = min(
            EXIT_SECONDS,
            MAX_RESERVE_RATIO * self.stop_seconds * EXIT_SECONDS / RESERVE_SECONDS,
        )
        return self.stop_seconds - exit_seconds - self.elapsed_seconds

    @property
    def takes_any(self) -> bool:
        """Whether the answer to some request could still end in time."""
        return self.remaining_seconds > SMALLEST_ANSWER_SECONDS


@attrs.frozen(eq=False, repr=False)
class ExpectedAnswer(value_classes.Value):
    """Time that a whole answer takes, in seconds.

    ``typical_seconds`` is that of the mean answer, and None if none was observed; ``slow_seconds``
    is that of slow answers.
    """

    typical_seconds: float | None
    slow_seconds: float


@attrs.frozen(eq=False, repr=False)
class PendingRequest(value_classes.Value):
    """What is known of a request that is about to be passed on.

    Parameters
    ----------
    limit_seconds : float
        Time until the caller or the route gives up; infinite for no limit.
    is_repeatable : bool
        Whether it may run twice.
    expected : ExpectedAnswer or None
        None if nothing is known.
    """

    limit_seconds: float
    is_repeatable: bool
    expected: ExpectedAnswer | None


@attrs.frozen(eq=False, repr=False)
class TakeOn(value_classes.Value):
    """The request is passed on."""

    reason: Reason


@attrs.frozen(eq=False, repr=False)
class Refuse(value_classes.Value):
    """The request is refused, or not passed on again.

    ``needed_seconds`` is the time that it is expected to take, None if that is unknown, and
    ``remaining_seconds`` the time that is left.
    """

    reason: Reason
    needed_seconds: float | None
    remaining_seconds: float


def decide(stop: StopTime, request: PendingRequest) -> TakeOn | Refuse:
    """Decide whether a stopping entry passes a request on.

    While callers may not know of the stop, a request is refused only if an answer of typical length
    would end too late. Later, a slow one has to end in time, too, with a margin.
    """
    remaining_seconds = stop.remaining_seconds
    if request.limit_seconds <= remaining_seconds:
        return TakeOn(Reason.LIMIT)
    if not stop.takes_any:
        return Refuse(Reason.OVER, None, remaining_seconds)
    match request.expected:
        case ExpectedAnswer(typical_seconds=float(needed_seconds)) if stop.is_accepting:
            pass
        case _ if stop.is_accepting:
            return TakeOn(Reason.UNKNOWN)
        case None:
            return Refuse(Reason.UNKNOWN, None, remaining_seconds)
        case ExpectedAnswer(slow_seconds=slow_seconds):
            margin_ratio = (
                REPEATABLE_MARGIN_RATIO if request.is_repeatable else UNREPEATABLE_MARGIN_RATIO
            )
            needed_seconds = margin_ratio * slow_seconds
    if needed_seconds > remaining_seconds:
        return Refuse(Reason.TOO_LONG, needed_seconds, remaining_seconds)
    return TakeOn(Reason.IN_TIME)


def explain(refusal: Refuse) -> str:
    """Return why a request is refused, for its caller and the log."""
    left = f"{max(0.0, refusal.remaining_seconds):.2f} s are left"
    if refusal.needed_seconds is None:
        return f"this entry is stopping; ask another ({refusal.reason}, {left})"
    return (
        f"this entry is stopping; ask another ({refusal.reason}, "
        f"{refusal.needed_seconds:.2f} s are needed, {left})"
    )


def make_error(refusal: Refuse | None = None) -> errors.StoppingError:
    """Return the error of a request that is refused without having run."""
    text = "this entry is stopping; ask another" if refusal is None else explain(refusal)
    return errors.StoppingError(text, retry_after=RETRY_AFTER_SECONDS)
