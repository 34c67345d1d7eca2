"""Deployments, kinds of requests, and the load patterns that press on them."""

from __future__ import annotations

import math
import random

import attrs

from flamingoramp.intent import traffic


@attrs.frozen
class Length:
    """A log-normal length: its mean, the spread of its logarithm, and its most."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> int:
        """Return a length of at least 1."""
        location = math.log(self.mean) - self.spread**2 / 2
        return max(1, round(min(self.most, rng.lognormvariate(location, self.spread))))


@attrs.frozen
class Kind:
    """One kind of streaming request.

    Parameters
    ----------
    name : str
    rate : float
        Requests a second, over all zones.
    prompt, events : Length
        Prompt in tokens, answer in events.
    objective, pause, limit : float
        Seconds: wait for the first event and longest pause of an answer on time, and the caller's
        time limit.
    worth, late_worth : float
        Credit of an answer on time and of a late one.
    """

    name: str
    rate: float
    prompt: Length
    events: Length
    objective: float
    pause: float
    limit: float
    worth: float
    late_worth: float


@attrs.frozen
class Deployment:
    """Entries, engines and the usual load of one deployment.

    Parameters
    ----------
    name : str
    engines, entries : dict of str to int
        Numbers by availability zone.
    kinds : tuple of Kind
    model : traffic.EngineModel
    waiting : int
        Requests that an engine queues beyond its slots.
    zone_delay, caller_delay : float
        Seconds one way between zones, and between callers and entries.
    retries : int
        Times that a caller comes again after a refusal or a failure.
    """

    name: str
    engines: dict[str, int]
    entries: dict[str, int]
    kinds: tuple[Kind, ...]
    model: traffic.EngineCostModel
    waiting: int
    zone_delay: float
    caller_delay: float
    retries: int = 1

    @property
    def engine_count(self) -> int:
        """Engines in all availability zones."""
        return sum(self.engines.values())

    def count_share(self, share: float) -> int:
        """Return how many engines a share is, at least one."""
        return max(1, round(share * self.engine_count))


@attrs.frozen
class Burst:
    """Arrivals of one kind (empty: of all) at a multiple of their rate."""

    at: float
    seconds: float
    factor: float
    kind: str = ""


@attrs.frozen
class EngineLoss:
    """A share of the engines crashes and comes back empty."""

    at: float
    seconds: float
    share: float


@attrs.frozen
class EngineSlowdown:
    """A share of the engines runs slower by a factor."""

    at: float
    seconds: float
    share: float
    factor: float


@attrs.frozen
class EnginesLeave:
    """A share of the engines announces its leave, serves on for a while, and ends."""

    at: float
    linger: float
    share: float


Event = Burst | EngineLoss | EngineSlowdown | EnginesLeave


@attrs.frozen
class Pattern:
    """A load pattern: what happens beside the usual arrivals.

    Parameters
    ----------
    name : str
    events : tuple of Event
    swing, period : float
        Arrivals swing by this share of their rate, in waves of this many seconds.
    kinds : tuple of str
        The only kinds that arrive; empty for all.
    """

    name: str
    events: tuple[Event, ...] = ()
    swing: float = 0.08
    period: float = 11.0
    kinds: tuple[str, ...] = ()


@attrs.frozen
class Arrival:
    """A caller's request; ``at`` is in seconds from the start."""

    at: float
    kind: Kind
    zone: str
    prompt_tokens: int
    events: int


SHORT, MEDIUM, LONG = "short", "medium", "long"

_ENGINE = traffic.EngineCostModel(
    slots=8,
    memory_tokens=405_000,
    step_seconds=0.00131,
    sequence_seconds=1.834e-6,
    context_seconds=2.13e-9,
    hop_seconds=0.0001,
    prefill_tokens_per_second=154_000.0,
    pair_seconds=1.62e-10,
    chunk_tokens=2048,
    steps_per_pass=34,
)


def _kinds(short: float, medium: float, long: float, long_objective: float) -> tuple[Kind, ...]:
    """Return the three kinds with their requests a second."""
    return (
        Kind(
            SHORT, short, Length(4960, 0.9, 23_800), Length(38.5, 0.7, 96.2),
            objective=0.3, pause=0.25, limit=10.0, worth=1.3, late_worth=0.33,
        ),
        Kind(
            MEDIUM, medium, Length(45_000, 0.5, 110_000), Length(23.1, 0.6, 57.7),
            objective=1.5, pause=0.6, limit=10.0, worth=3.9, late_worth=0.97,
        ),
        Kind(
            LONG, long, Length(182_000, 0.55, 900_000), Length(19.2, 0.5, 48.1),
            objective=long_objective, pause=1.0, limit=15.0, worth=24.0, late_worth=6.1,
        ),
    )  # fmt: skip


# The two deployments of the platform, with the load, engines and delays that their owners state.
DEPLOYMENTS = {
    "hanbit": Deployment(
        "hanbit",
        engines={"a": 5, "b": 5, "c": 4},
        entries={"a": 3, "b": 3, "c": 2},
        kinds=_kinds(14.0, 0.785, 0.364, long_objective=4.0),
        model=_ENGINE,
        waiting=16,
        zone_delay=0.0009,
        caller_delay=0.003,
    ),
    "cenotvar": Deployment(
        "cenotvar",
        engines={"a": 8, "b": 8, "c": 7},
        entries={"a": 3, "b": 3, "c": 3},
        kinds=_kinds(23.0, 1.28, 0.595, long_objective=3.0),
        model=_ENGINE,
        waiting=16,
        zone_delay=0.0014,
        caller_delay=0.001,
    ),
}


def _phases() -> tuple[Burst, ...]:
    """Return a mix that changes every ten seconds: long prompts, short ones, long ones."""
    mostly_long = {SHORT: 0.37, MEDIUM: 1.3, LONG: 2.7}
    mostly_short = {SHORT: 2.4, MEDIUM: 0.5, LONG: 0.05}
    phases = ((1.7, mostly_long), (12.0, mostly_short), (23.0, mostly_long))
    return tuple(Burst(at, 9.5, factor, kind) for at, mix in phases for kind, factor in mix.items())


PATTERNS = {
    one.name: one
    for one in (
        Pattern("calm"),
        Pattern("short-alone", kinds=(SHORT,)),
        Pattern("phases", events=_phases()),
        Pattern("burst", events=(Burst(8.0, 5.0, 1.7), Burst(20.0, 5.0, 2.5))),
        Pattern("short-burst", events=(Burst(8.0, 5.0, 2.0, SHORT), Burst(20.0, 5.0, 3.0, SHORT))),
        Pattern("long-burst", events=(Burst(8.0, 4.0, 4.0, LONG), Burst(20.0, 4.0, 6.0, LONG))),
        Pattern("losses", events=(EngineLoss(8.0, 4.5, 0.17), EngineLoss(20.0, 4.5, 0.3))),
        Pattern("slow", events=(EngineSlowdown(8.0, 6.5, 0.16, 5.0),)),
        Pattern("leaving", events=(EnginesLeave(8.0, 3.0, 0.2), EnginesLeave(20.0, 3.0, 0.2))),
        Pattern(
            "mixed",
            events=(
                Burst(6.0, 4.0, 1.7),
                EngineLoss(8.0, 4.5, 0.17),
                Burst(16.0, 5.0, 2.0, SHORT),
                EngineSlowdown(18.0, 6.5, 0.16, 5.0),
                Burst(24.0, 4.0, 4.0, LONG),
            ),
        ),
    )
}


def scale_load(deployment: Deployment, factor: float) -> Deployment:
    """Return a deployment with a multiple of its arrivals."""
    kinds = tuple(attrs.evolve(kind, rate=factor * kind.rate) for kind in deployment.kinds)
    return attrs.evolve(deployment, kinds=kinds)


def draw_arrivals(
    deployment: Deployment, pattern: Pattern, *, seconds: float, rng: random.Random
) -> list[Arrival]:
    """Return the arrivals of a run in order of time.

    They are drawn from a Poisson process at its highest rate and thinned to the rate of the moment.
    """
    arrivals = []
    zones = list(deployment.entries)
    weights = list(deployment.entries.values())
    for kind in deployment.kinds:
        if pattern.kinds and kind.name not in pattern.kinds:
            continue
        bursts = [
            one for one in pattern.events if isinstance(one, Burst) and one.kind in ("", kind.name)
        ]
        highest = kind.rate * (1 + pattern.swing) * max((one.factor for one in bursts), default=1.0)
        now = 0.0
        while (now := now + rng.expovariate(highest)) < seconds:
            rate = kind.rate * (1 + pattern.swing * math.sin(2 * math.pi * now / pattern.period))
            active = [one.factor for one in bursts if one.at <= now < one.at + one.seconds]
            rate *= max(active, default=1.0)
            if rng.random() * highest < rate:
                zone = rng.choices(zones, weights)[0]
                arrival = Arrival(now, kind, zone, kind.prompt.draw(rng), kind.events.draw(rng))
                arrivals.append(arrival)
    return sorted(arrivals, key=lambda one: one.at)
