"""Deployments, kinds of requests and load patterns of experiments, and arrivals drawn from them."""

from __future__ import annotations

import math
import random

import attrs

from flamingoramp.intent import traffic


@attrs.frozen
class LengthDistribution:
    """A log-normal distribution of lengths, cut off at a maximum.

    Parameters
    ----------
    mean : float
        Mean of the distribution before the cut-off.
    log_deviation : float
        Standard deviation of the logarithm of the length.
    maximum : float
    """

    mean: float
    log_deviation: float
    maximum: float

    def draw(self, rng: random.Random) -> int:
        """Return a random length between 1 and the maximum."""
        location = math.log(self.mean) - self.log_deviation**2 / 2
        return max(1, round(min(self.maximum, rng.lognormvariate(location, self.log_deviation))))


@attrs.frozen
class Kind:
    """One kind of streaming request.

    Parameters
    ----------
    name : str
    requests_per_second : float
        Mean arrival rate over all availability zones.
    prompt_tokens : LengthDistribution
        Length of the prompt.
    event_count : LengthDistribution
        Number of stream events in the answer.
    latency_objective_seconds : float
        Longest wait for the first event that still counts as on time.
    gap_objective_seconds : float
        Longest gap between two events that still counts as on time.
    timeout_seconds : float
        Time limit that the caller sets for the whole request.
    on_time_credit, late_credit : float
        Credit that a deployment earns for an answer on time and for a late one.
    """

    name: str
    requests_per_second: float
    prompt_tokens: LengthDistribution
    event_count: LengthDistribution
    latency_objective_seconds: float
    gap_objective_seconds: float
    timeout_seconds: float
    on_time_credit: float
    late_credit: float


@attrs.frozen
class Deployment:
    """Entries, engines and the usual load of one deployment.

    Parameters
    ----------
    name : str
    engines_by_zone, entries_by_zone : dict of str to int
        Number of engines and of entries in each availability zone.
    request_kinds : tuple of Kind
    cost_model : traffic.EngineCostModel
    max_queued_requests : int
        Number of requests that an engine queues beyond its slots before it refuses others.
    zone_delay_seconds : float
        One-way network delay between two availability zones.
    caller_delay_seconds : float
        One-way network delay between callers and entries.
    max_retries : int
        Number of times that a caller retries after a refusal or a failure.
    mean_wake_seconds : float
        Mean time until an entry on its share of a core reads a message; exponentially distributed.
    """

    name: str
    engines_by_zone: dict[str, int]
    entries_by_zone: dict[str, int]
    request_kinds: tuple[Kind, ...]
    cost_model: traffic.EngineCostModel
    max_queued_requests: int
    zone_delay_seconds: float
    caller_delay_seconds: float
    max_retries: int = 1
    mean_wake_seconds: float = 0.0

    @property
    def engine_count(self) -> int:
        """Number of engines in all availability zones."""
        return sum(self.engines_by_zone.values())

    def count_engines(self, ratio: float) -> int:
        """Return ``ratio`` times the number of engines, rounded, but at least 1."""
        return max(1, round(ratio * self.engine_count))


@attrs.frozen
class Burst:
    """Requests arrive at a multiple of their usual rate.

    Parameters
    ----------
    start_seconds : float
        Time since the start of the arrivals, as for all disturbances.
    duration_seconds : float
    rate_factor : float
    kind_name : str
        The kind of request that is affected; empty for all kinds.
    """

    start_seconds: float
    duration_seconds: float
    rate_factor: float
    kind_name: str = ""


@attrs.frozen
class EngineCrash:
    """A fraction of the engines crashes; they restart after the downtime, without requests."""

    start_seconds: float
    downtime_seconds: float
    engine_ratio: float


@attrs.frozen
class EngineSlowdown:
    """A fraction of the engines takes ``slowdown_factor`` times as long for each pass."""

    start_seconds: float
    duration_seconds: float
    engine_ratio: float
    slowdown_factor: float


@attrs.frozen
class EngineDrain:
    """A fraction of the engines announces that it leaves, and stops after ``drain_seconds``."""

    start_seconds: float
    drain_seconds: float
    engine_ratio: float


Disturbance = Burst | EngineCrash | EngineSlowdown | EngineDrain


@attrs.frozen
class LoadPattern:
    """Variation of the arrival rates during a run, and disturbances at fixed times.

    Parameters
    ----------
    name : str
    disturbances : tuple of Disturbance
    rate_amplitude_ratio : float
        Amplitude of the sine wave that the arrival rates follow, relative to their mean.
    rate_period_seconds : float
        Period of that wave.
    kind_names : tuple of str
        The only kinds of requests that arrive; empty for all.
    """

    name: str
    disturbances: tuple[Disturbance, ...] = ()
    rate_amplitude_ratio: float = 0.08
    rate_period_seconds: float = 11.0
    kind_names: tuple[str, ...] = ()


@attrs.frozen
class Arrival:
    """The arrival of a caller's request.

    Parameters
    ----------
    arrived_at : float
        Seconds since the start of the arrivals.
    kind : Kind
    zone : str
        The caller's availability zone.
    prompt_tokens : int
    event_count : int
        Number of stream events in the answer.
    """

    arrived_at: float
    kind: Kind
    zone: str
    prompt_tokens: int
    event_count: int


SHORT_KIND_NAME, MEDIUM_KIND_NAME, LONG_KIND_NAME = "short", "medium", "long"

_ENGINE_COST_MODEL = traffic.EngineCostModel(
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


def _make_request_kinds(
    short_rate: float, medium_rate: float, long_rate: float, long_objective_seconds: float
) -> tuple[Kind, ...]:
    """Return the three kinds of requests; rates are in requests per second."""
    return (
        Kind(
            SHORT_KIND_NAME, short_rate,
            LengthDistribution(4960, 0.9, 23_800), LengthDistribution(38.5, 0.7, 96.2),
            latency_objective_seconds=0.3, gap_objective_seconds=0.25, timeout_seconds=10.0,
            on_time_credit=1.3, late_credit=0.33,
        ),
        Kind(
            MEDIUM_KIND_NAME, medium_rate,
            LengthDistribution(45_000, 0.5, 110_000), LengthDistribution(23.1, 0.6, 57.7),
            latency_objective_seconds=1.5, gap_objective_seconds=0.6, timeout_seconds=10.0,
            on_time_credit=3.9, late_credit=0.97,
        ),
        Kind(
            LONG_KIND_NAME, long_rate,
            LengthDistribution(182_000, 0.55, 900_000), LengthDistribution(19.2, 0.5, 48.1),
            latency_objective_seconds=long_objective_seconds, gap_objective_seconds=1.0,
            timeout_seconds=15.0, on_time_credit=24.0, late_credit=6.1,
        ),
    )  # fmt: skip


# The two deployments of the platform, with the load, engines and delays that their owners specify.
DEPLOYMENTS = {
    "hanbit": Deployment(
        "hanbit",
        engines_by_zone={"a": 5, "b": 5, "c": 4},
        entries_by_zone={"a": 3, "b": 3, "c": 2},
        request_kinds=_make_request_kinds(14.0, 0.785, 0.364, long_objective_seconds=4.0),
        cost_model=_ENGINE_COST_MODEL,
        max_queued_requests=16,
        zone_delay_seconds=0.0009,
        caller_delay_seconds=0.003,
    ),
    "cenotvar": Deployment(
        "cenotvar",
        engines_by_zone={"a": 8, "b": 8, "c": 7},
        entries_by_zone={"a": 3, "b": 3, "c": 3},
        request_kinds=_make_request_kinds(23.0, 1.28, 0.595, long_objective_seconds=3.0),
        cost_model=_ENGINE_COST_MODEL,
        max_queued_requests=16,
        zone_delay_seconds=0.0014,
        caller_delay_seconds=0.001,
    ),
    "many-entries": Deployment(
        "many-entries",
        engines_by_zone={"a": 23, "b": 23, "c": 23},
        entries_by_zone={"a": 35, "b": 34, "c": 43},
        request_kinds=_make_request_kinds(50.6, 3.44, 2.12, long_objective_seconds=3.0),
        cost_model=attrs.evolve(
            _ENGINE_COST_MODEL,
            slots=6,
            memory_tokens=197_200,
            step_seconds=0.00102,
            prefill_tokens_per_second=206_000.0,
            pair_seconds=0.138e-9,
            steps_per_pass=48,
        ),
        max_queued_requests=12,
        zone_delay_seconds=0.0005,
        caller_delay_seconds=0.003,
    ),
    # The first deployment once its work has shifted to longer prompts.
    "shifted": Deployment(
        "shifted",
        engines_by_zone={"a": 15, "b": 15, "c": 15},
        entries_by_zone={"a": 22, "b": 18, "c": 22},
        request_kinds=(
            Kind(
                SHORT_KIND_NAME,
                26.8,
                LengthDistribution(4960, 0.9, 23_800),
                LengthDistribution(35.7, 0.7, 89.2),
                latency_objective_seconds=0.3,
                gap_objective_seconds=0.25,
                timeout_seconds=10.0,
                on_time_credit=1.3,
                late_credit=0.34,
            ),
            Kind(
                MEDIUM_KIND_NAME,
                3.26,
                LengthDistribution(45_000, 0.5, 110_000),
                LengthDistribution(21.4, 0.6, 53.5),
                latency_objective_seconds=1.5,
                gap_objective_seconds=0.6,
                timeout_seconds=10.0,
                on_time_credit=3.3,
                late_credit=0.82,
            ),
            Kind(
                LONG_KIND_NAME,
                0.61,
                LengthDistribution(260_000, 0.55, 900_000),
                LengthDistribution(17.8, 0.5, 44.6),
                latency_objective_seconds=4.0,
                gap_objective_seconds=1.0,
                timeout_seconds=15.0,
                on_time_credit=34.0,
                late_credit=8.6,
            ),
        ),
        cost_model=attrs.evolve(
            _ENGINE_COST_MODEL,
            slots=6,
            memory_tokens=344_250,
            sequence_seconds=0.917e-6,
            steps_per_pass=38,
        ),
        max_queued_requests=12,
        zone_delay_seconds=0.0005,
        caller_delay_seconds=0.001,
        mean_wake_seconds=0.006,
    ),
}


def _make_phases() -> tuple[Burst, ...]:
    """Return bursts for phases of mostly long, short and again long prompts, 9.5 s each."""
    mostly_long = {SHORT_KIND_NAME: 0.37, MEDIUM_KIND_NAME: 1.3, LONG_KIND_NAME: 2.7}
    mostly_short = {SHORT_KIND_NAME: 2.4, MEDIUM_KIND_NAME: 0.5, LONG_KIND_NAME: 0.05}
    phases = ((1.7, mostly_long), (12.0, mostly_short), (23.0, mostly_long))
    return tuple(
        Burst(start, 9.5, factor, kind_name)
        for start, mix in phases
        for kind_name, factor in mix.items()
    )


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        LoadPattern("calm"),
        LoadPattern("short-alone", kind_names=(SHORT_KIND_NAME,)),
        LoadPattern("phases", disturbances=_make_phases()),
        LoadPattern("burst", disturbances=(Burst(8.0, 5.0, 1.7), Burst(20.0, 5.0, 2.5))),
        LoadPattern(
            "short-burst",
            disturbances=(
                Burst(8.0, 5.0, 2.0, SHORT_KIND_NAME),
                Burst(20.0, 5.0, 3.0, SHORT_KIND_NAME),
            ),
        ),
        LoadPattern(
            "long-burst",
            disturbances=(
                Burst(8.0, 4.0, 4.0, LONG_KIND_NAME),
                Burst(20.0, 4.0, 6.0, LONG_KIND_NAME),
            ),
        ),
        LoadPattern(
            "losses", disturbances=(EngineCrash(8.0, 4.5, 0.17), EngineCrash(20.0, 4.5, 0.3))
        ),
        LoadPattern("slow", disturbances=(EngineSlowdown(8.0, 6.5, 0.16, 5.0),)),
        LoadPattern(
            "leaving", disturbances=(EngineDrain(8.0, 3.0, 0.2), EngineDrain(20.0, 3.0, 0.2))
        ),
        LoadPattern(
            "mixed",
            disturbances=(
                Burst(6.0, 4.0, 1.7),
                EngineCrash(8.0, 4.5, 0.17),
                Burst(16.0, 5.0, 2.0, SHORT_KIND_NAME),
                EngineSlowdown(18.0, 6.5, 0.16, 5.0),
                Burst(24.0, 4.0, 4.0, LONG_KIND_NAME),
            ),
        ),
    )
}


def scale_load(deployment: Deployment, factor: float) -> Deployment:
    """Return the deployment with all arrival rates multiplied by ``factor``."""
    kinds = tuple(
        attrs.evolve(kind, requests_per_second=factor * kind.requests_per_second)
        for kind in deployment.request_kinds
    )
    return attrs.evolve(deployment, request_kinds=kinds)


def draw_arrivals(
    deployment: Deployment, pattern: LoadPattern, *, seconds: float, rng: random.Random
) -> list[Arrival]:
    """Return random arrivals over ``seconds``, in order of time.

    Each kind of request arrives as a Poisson process whose rate varies with time. The process is
    sampled by thinning: arrivals are drawn at the highest rate that occurs, and each is kept with
    the ratio of the current rate to the highest one as its probability.
    """
    arrivals = []
    zones = list(deployment.entries_by_zone)
    weights = list(deployment.entries_by_zone.values())
    for kind in deployment.request_kinds:
        if pattern.kind_names and kind.name not in pattern.kind_names:
            continue
        bursts = [
            disturbance
            for disturbance in pattern.disturbances
            if isinstance(disturbance, Burst) and disturbance.kind_name in ("", kind.name)
        ]
        highest_rate = (
            kind.requests_per_second
            * (1 + pattern.rate_amplitude_ratio)
            * max((burst.rate_factor for burst in bursts), default=1.0)
        )
        now = 0.0
        while (now := now + rng.expovariate(highest_rate)) < seconds:
            rate = kind.requests_per_second * (
                1
                + pattern.rate_amplitude_ratio
                * math.sin(2 * math.pi * now / pattern.rate_period_seconds)
            )
            active_factors = [
                burst.rate_factor
                for burst in bursts
                if burst.start_seconds <= now < burst.start_seconds + burst.duration_seconds
            ]
            rate *= max(active_factors, default=1.0)
            if rng.random() * highest_rate < rate:
                zone = rng.choices(zones, weights)[0]
                arrival = Arrival(
                    now, kind, zone, kind.prompt_tokens.draw(rng), kind.event_count.draw(rng)
                )
                arrivals.append(arrival)
    return sorted(arrivals, key=lambda drawn: drawn.arrived_at)
