"""Mixes of requests of the two deployments, from a seed."""

from __future__ import annotations

import random

import attrs

from bench import client

LONG_SHARE = 0.02
LARGEST_TOKENS = 1_000_000


@attrs.frozen
class Mix:
    """How a deployment's requests are distributed.

    Parameters
    ----------
    model, service : str
        The engines' model and the plain service.
    workspaces : tuple of str
        Large ones first; they send half of all requests.
    short_share : float
        Share of prompts under 4,000 tokens.
    """

    model: str
    service: str
    workspaces: tuple[str, ...]
    short_share: float


MIXES = {
    "hanbit": Mix(
        "wrap-writer",
        "order-desk",
        ("city-buses", "north-delivery", "studio-floor", "van-fleet", "school-shuttles"),
        0.75,
    ),
    "cenotvar": Mix(
        "tp-analyst",
        "client-portal",
        ("local-files", "benchmarks", "intercompany", "comparables", "partners"),
        0.5,
    ),
}


def draw_length(rng: random.Random, mix: Mix) -> int:
    """Return a prompt's length in tokens; one in fifty is over 100,000."""
    if rng.random() < LONG_SHARE:
        return int(min(LARGEST_TOKENS, 100_000 * 10 ** rng.random()))
    if rng.random() < mix.short_share:
        return rng.randint(1000, 3999)
    return int(4000 * 25 ** rng.random())


def make_plan(
    mix: Mix,
    *,
    seed: int,
    seconds: float,
    rate: float,
    output_tokens: int = 24,
    time_limit_seconds: float = 60.0,
    shared_share: float = 0.3,
) -> list[client.ScheduledRequest]:
    """Return open-loop arrivals with exponential pauses.

    Parameters
    ----------
    mix : Mix
    seed : int
    seconds : float
    rate : float
        Requests a second.
    output_tokens : int
    time_limit : float
        In seconds.
    shared_share : float
        Share of prompts that begin with a prefix common to their workspace.
    """
    rng = random.Random(seed)
    plan = []
    at = rng.expovariate(rate)
    while at < seconds:
        workspace = _draw_workspace(rng, mix)
        length = draw_length(rng, mix)
        shared = rng.random() < shared_share and length > 2048
        plan.append(
            client.ScheduledRequest(
                at=at,
                workspace=workspace,
                model=mix.model,
                prompt_tokens=length,
                output_tokens=output_tokens,
                prompt_seed=f"{seed}.{len(plan)}",
                shared_prefix=workspace if shared else "",
                shared_tokens=min(length // 2, 4096) if shared else 0,
                time_limit_seconds=time_limit_seconds,
            )
        )
        at += rng.expovariate(rate)
    return plan


def _draw_workspace(rng: random.Random, mix: Mix) -> str:
    if rng.random() < 0.5:
        return rng.choice(mix.workspaces[:2])
    return rng.choice(mix.workspaces)
