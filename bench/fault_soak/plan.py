"""Plan of a soak: its deployment, its traffic and its disruptions, all from one seed."""

from __future__ import annotations

import random

import attrs

CONTROL_COUNT = 3
# Disruptions begin within this time, in seconds. Control hosts are left alone in the second span,
# so that bounds which hold for a stable core are checked between the disruptions of entries too.
DISRUPTED_SECONDS = 32.0
STABLE_CORE_SECONDS = (13.0, 21.0)
TRAFFIC_SECONDS = 44.0
CALLS_PER_SECOND = 22.0
# Requests on connections that were opened before a stop, and the other requests aimed at it.
KEPT_CALL_COUNT = 30
SLOW_BODY_COUNT = 8
SLOW_READER_COUNT = 3
MAX_STREAM_SECONDS = 4.5
STREAM_DEADLINE_SECONDS = 10.0
PLAIN_DEADLINE_SECONDS = 5.0
# Workspaces by their keys, and what servers read of their names.
WORKSPACES = {"k1": ("w", b"w"), "k2": ("soak desk ", b"soak desk"), "k3": ("a\r\nb", b"a%0D%0Ab")}
# Parts of prompts. The head of the longest one exceeds the default limit, not the declared one.
PART_COUNTS = (0, 0, 0, 3, 300, 2000)
MAX_HEADER_BYTES = 65536


@attrs.frozen
class Call:
    """A request of a caller.

    Parameters
    ----------
    at : float
        When it is sent, in seconds from the start of the traffic or from a stop signal.
    entry : int
        Index of the entry that is tried first.
    route : str
        ``stream``, ``read``, ``hold`` or ``mark``, the route of one version of the declaration.
    age : int
        Age of the version whose ``mark`` is called.
    seconds : float
        Time that the server takes.
    piece_count, piece_pause : int, float
        Pieces in which the body is sent, and the seconds between two.
    is_chunked : bool
        Whether the body is sent in chunks instead of with its length.
    answer_bytes : int
        Size of a plain answer.
    read_pause : float
        Seconds for which the caller reads nothing after the beginning of the answer.
    is_kept : bool
        Whether a connection is used that has carried another request before the stop.
    version : str
        Version of HTTP.
    """

    at: float
    entry: int
    route: str
    age: int = 0
    seconds: float = 0.0
    piece_count: int = 1
    piece_pause: float = 0.0
    is_chunked: bool = False
    answer_bytes: int = 100
    read_pause: float = 0.0
    is_kept: bool = False
    version: str = "1.1"

    @property
    def deadline(self) -> float:
        """Time that the caller and the route allow, in seconds."""
        return STREAM_DEADLINE_SECONDS if self.route == "stream" else PLAIN_DEADLINE_SECONDS


@attrs.frozen
class Form:
    """What a request and its answer consist of, besides their sizes and times.

    Parameters
    ----------
    key : str
        API key of the caller.
    prompt_parts : str
        Value of the header that lists the parts of the prompt; empty for none.
    comment : bytes
        What the server sends behind each event of a stream.
    """

    key: str
    prompt_parts: str
    comment: bytes


def choose_form(request_id: str) -> Form:
    """Return the form of a request, which its id decides."""
    rng = random.Random(f"fault-soak-form/{request_id}")
    count = rng.choice(PART_COUNTS)
    parts = ",".join(f"{number:08x}:1" for number in range(count))
    return Form(
        key=rng.choice(tuple(WORKSPACES)),
        prompt_parts=f"{parts},{rng.randrange(2**32):08x}:9" if parts else "",
        comment=rng.choice((b"", b": keep-alive\n\n", b":\r\n\r\n", b"\n")),
    )


@attrs.frozen
class Stop:
    """A planned stop and a start.

    Parameters
    ----------
    signals : tuple of (float, str)
        Further signals, in seconds after SIGTERM.
    start_delay : float
        Seconds from the end of the process to the start of the next one, or from SIGTERM if
        ``overlaps``.
    start_signals : tuple of float
        When SIGHUP is sent to the new process, in seconds after its start.
    calls : tuple of Call
    """

    signals: tuple[tuple[float, str], ...]
    overlaps: bool
    start_delay: float
    start_signals: tuple[float, ...]
    calls: tuple[Call, ...] = ()


@attrs.frozen
class Pause:
    """A process is suspended for some seconds."""

    seconds: float


@attrs.frozen
class Kill:
    """A process is killed, and started again after some seconds."""

    start_delay: float
    start_signals: tuple[float, ...]


@attrs.frozen
class Reload:
    """SIGHUP is sent a number of times."""

    count: int


@attrs.frozen
class Step:
    """A disruption of a host, in seconds after the previous one has ended."""

    delay: float
    disruption: Stop | Pause | Kill | Reload


@attrs.frozen
class Departure:
    """A server leaves, and another one comes that many seconds later."""

    at: float
    service: str
    deletes: bool
    replacement_delay: float


@attrs.frozen
class Plan:
    """All that a seed decides."""

    seed: int
    entry_count: int
    server_counts: dict[str, int]
    entry_steps: tuple[tuple[Step, ...], ...]
    control_steps: tuple[tuple[Step, ...], ...]
    changes: tuple[float, ...]
    departures: tuple[Departure, ...]
    calls: tuple[Call, ...]


def make_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    rng = random.Random(f"fault-soak/{seed}")
    entry_count = rng.choice((3, 4))
    return Plan(
        seed=seed,
        entry_count=entry_count,
        server_counts={"llm": rng.choice((2, 3)), "desk": rng.choice((2, 3))},
        entry_steps=tuple([_make_entry_steps(rng, index) for index in range(entry_count)]),
        control_steps=tuple([_make_control_steps(rng) for _ in range(CONTROL_COUNT)]),
        changes=_make_times(rng, 1.0, 4.0),
        departures=tuple(
            [
                Departure(
                    at,
                    rng.choice(("llm", "desk")),
                    rng.random() < 0.5,
                    rng.choice((0.0, 1.0, rng.uniform(0.0, 4.0))),
                )
                for at in _make_times(rng, 3.0, 9.0)
            ]
        ),
        calls=_make_calls(rng, entry_count),
    )


def _make_times(rng: random.Random, shortest: float, longest: float) -> tuple[float, ...]:
    times = [rng.uniform(shortest, longest)]
    while times[-1] < DISRUPTED_SECONDS:
        times.append(times[-1] + rng.uniform(shortest, longest))
    return tuple(times[:-1])


def _make_entry_steps(rng: random.Random, entry: int) -> tuple[Step, ...]:
    steps = []
    for _ in range(8):
        disruption: Stop | Pause | Reload
        match rng.choices(("stop", "pause", "reload"), (6, 1, 2))[0]:
            case "stop":
                disruption = attrs.evolve(_make_stop(rng, 8.0), calls=_make_stop_calls(rng, entry))
            case "pause":
                disruption = Pause(rng.uniform(0.2, 2.5))
            case _:
                disruption = Reload(rng.randint(1, 4))
        steps.append(Step(rng.uniform(0.5, 6.0), disruption))
    return tuple(steps)


def _make_control_steps(rng: random.Random) -> tuple[Step, ...]:
    steps = []
    for _ in range(12):
        disruption: Stop | Pause | Kill | Reload
        match rng.choices(("stop", "pause", "kill", "reload"), (4, 1, 2, 1))[0]:
            case "stop":
                disruption = _make_stop(rng, 1.0)
            case "pause":
                disruption = Pause(rng.uniform(0.2, 2.5))
            case "kill":
                disruption = Kill(rng.uniform(0.0, 1.5), _make_start_signals(rng))
            case _:
                disruption = Reload(rng.randint(1, 4))
        steps.append(Step(rng.uniform(1.0, 6.0), disruption))
    return tuple(steps)


def _make_stop(rng: random.Random, series_seconds: float) -> Stop:
    names = rng.choices(("SIGTERM", "SIGINT", "SIGHUP"), k=rng.choice((0, 0, 1, 2, 3)))
    signals = sorted((rng.uniform(0.0, series_seconds), name) for name in names)
    overlaps = rng.random() < 0.3
    start_delay = rng.uniform(0.05, 3.0) if overlaps else rng.choice((0.0, rng.uniform(0.0, 1.0)))
    return Stop(tuple(signals), overlaps, start_delay, _make_start_signals(rng))


def _make_start_signals(rng: random.Random) -> tuple[float, ...]:
    longest = rng.choice((0.01, 0.05, 0.6))
    count = rng.choice((0, 0, 1, 2, 3))
    return tuple(sorted(rng.uniform(0.0, longest) for _ in range(count)))


def _make_calls(rng: random.Random, entry_count: int) -> tuple[Call, ...]:
    calls = []
    at = 0.0
    while at < TRAFFIC_SECONDS:
        at += rng.expovariate(CALLS_PER_SECOND)
        calls.append(_make_call(rng, at, rng.randrange(entry_count)))
    return tuple(calls)


def _make_call(rng: random.Random, at: float, entry: int) -> Call:
    route = rng.choices(("stream", "read", "hold", "mark"), (4, 3, 4, 2))[0]
    call = Call(
        at,
        entry,
        route,
        seconds=_choose_seconds(rng, route),
        answer_bytes=rng.choice((100, 3000, 100_000)),
        version="1.0" if rng.random() < 0.08 else "1.1",
    )
    if route == "mark":
        return attrs.evolve(call, age=rng.choice((0, 0, 1, 2)), seconds=0.0, answer_bytes=100)
    if rng.random() < 0.1:
        return attrs.evolve(call, read_pause=rng.uniform(1.5, 2.2), answer_bytes=1_500_000)
    if route != "read" and rng.random() < 0.2:
        return _slow_down(rng, call, 3.0)
    return call


def _choose_seconds(rng: random.Random, route: str) -> float:
    match route:
        case "stream":
            return rng.choice((rng.uniform(0.4, 1.5), rng.uniform(0.4, MAX_STREAM_SECONDS)))
        case "mark":
            return 0.0
        case _:
            return rng.choice((0.0, 0.05, rng.uniform(0.1, 1.5)))


def _slow_down(rng: random.Random, call: Call, longest: float) -> Call:
    """Return a call whose body is sent in pieces."""
    count = rng.randint(2, 5)
    seconds = rng.uniform(0.3, longest)
    return attrs.evolve(
        call,
        piece_count=count,
        piece_pause=seconds / (count - 1),
        is_chunked=call.version == "1.1" and rng.random() < 0.6,
    )


def _make_stop_calls(rng: random.Random, entry: int) -> tuple[Call, ...]:
    """Return requests around a stop of their entry, in seconds after SIGTERM."""
    calls = []
    for _ in range(SLOW_BODY_COUNT):
        route = rng.choices(("stream", "hold"), (3, 1))[0]
        call = Call(rng.uniform(-0.8, 2.4), entry, route, seconds=_choose_seconds(rng, route))
        calls.append(_slow_down(rng, call, 4.4))
    for _ in range(SLOW_READER_COUNT):
        call = Call(rng.uniform(-1.0, 1.5), entry, rng.choice(("read", "hold")), seconds=0.3)
        pause = rng.uniform(1.5, 2.5)
        calls.append(attrs.evolve(call, read_pause=pause, answer_bytes=1_500_000))
    for _ in range(KEPT_CALL_COUNT):
        # The default bound for accepting requests is 2.5 s.
        at = rng.choice((rng.uniform(0.0, 7.5), rng.gauss(2.5, 0.04), rng.gauss(2.5, 0.04)))
        route = rng.choice(("read", "hold"))
        calls.append(Call(max(0.0, at), entry, route, is_kept=rng.random() < 0.8))
    for _ in range(2):
        call = Call(rng.uniform(-0.3, 2.4), entry, "stream", seconds=rng.uniform(0.4, 2.0))
        calls.append(attrs.evolve(call, version="1.0"))
    return tuple(sorted(calls, key=lambda call: call.at))
