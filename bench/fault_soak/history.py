"""What callers, backend servers and the operator of a soak have seen.

Times are seconds since the start of the run, on one monotonic clock.
"""

from __future__ import annotations

import json
import pathlib
import typing

import attrs


@attrs.define
class Request:
    """One attempt of a caller, under an id of its own.

    Attributes
    ----------
    entry, route, version
        Where it was sent; ``version`` is the declaration that alone has the route, 0 for routes
        that each declaration has.
    may_repeat : bool
        Whether it may run more than once.
    limit : float
        Time that it has by its deadline and its route, in seconds.
    began_at, whole_at, ended_at : float or None
        When its first and last byte were sent, and when the answer or the connection ended.
    headed_at : float or None
        When the head of the answer arrived.
    paused_until : float
        End of the last pause in which its caller read nothing, 0 for none.
    status : int
        0 if no head of an answer arrived.
    end : str
        ``answered`` (complete by its framing), ``closed`` (before any byte of an answer), ``cut``
        (inside an answer), ``reset`` (before any byte of an answer) or ``silent`` (given up).
    is_right : bool
        Whether the answer is the server's whole answer to this request.
    """

    id: str
    entry: str
    route: str
    may_repeat: bool
    limit: float
    version: int = 0
    began_at: float = 0.0
    whole_at: float | None = None
    ended_at: float | None = None
    headed_at: float | None = None
    paused_until: float = 0.0
    status: int = 0
    end: str = ""
    is_right: bool = False


@attrs.define
class Run:
    """A request at a server; ``ended_at`` is None while the server works on it."""

    request: str
    server: str
    began_at: float
    ended_at: float | None = None
    is_unchanged: bool = True


@attrs.define
class Life:
    """A process of a host from its start to its end.

    Attributes
    ----------
    signals : list of (float, str)
        Signals that were sent to it.
    samples : list of (float, int, int, int)
        Time, resident memory in KiB, descriptors and threads.
    status : int or None
        Exit status, negative for a signal.
    replaces : bool
        Whether it started while the previous process of its host still ran.
    """

    host: str
    role: str
    process_id: int
    started_at: float
    signals: list[tuple[float, str]] = attrs.field(factory=list)
    samples: list[tuple[float, int, int, int]] = attrs.field(factory=list)
    ended_at: float | None = None
    status: int | None = None
    replaces: bool = False


@attrs.define
class Change:
    """A version of the declaration: when it was first sent, and when it was acknowledged."""

    version: int
    sent_at: float
    acknowledged_at: float | None = None


@attrs.define
class Read:
    """The declaration that a control host reads; ``version`` is None if it gave none."""

    host: str
    sent_at: float
    version: int | None
    is_unchanged: bool = True


@attrs.define
class Departure:
    """A server that leaves, and when a control host acknowledged it."""

    server: str
    acknowledged_at: float | None


@attrs.define
class History:
    """All that was seen in a run.

    Attributes
    ----------
    grace_seconds : float
        Time between SIGTERM and the end of a process.
    calm_at : float
        Time from which nothing is disrupted any more.
    ended_at : float
    stalls : list of (float, float)
        Times in which the callers and servers themselves didn't run.
    """

    seed: int
    grace_seconds: float = 8.0
    calm_at: float = 0.0
    ended_at: float = 0.0
    stalls: list[tuple[float, float]] = attrs.field(factory=list)
    requests: list[Request] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    lives: list[Life] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)
    reads: list[Read] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)


def save(history: History, path: pathlib.Path) -> None:
    """Write a history as JSON."""
    path.write_text(json.dumps(attrs.asdict(history), indent=1))


def load(path: pathlib.Path) -> History:
    """Read a history that was written by `save`."""
    document = json.loads(path.read_text())
    hints = typing.get_type_hints(History)
    for name, hint in hints.items():
        [item_class] = typing.get_args(hint) or [None]
        if attrs.has(item_class):
            document[name] = [item_class(**item) for item in document[name]]
    return History(**document)
