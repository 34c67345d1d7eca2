"""Synthetic workloads of the example deployments: open-loop arrivals drawn from a seed."""

from __future__ import annotations

import random

import attrs

from bench import client

LONG_PROMPT_SHARE = 0.02
MAX_PROMPT_TOKENS = 1_000_000


@attrs.frozen
class WorkloadMix:
    """Distribution of a deployment's requests over workspaces and prompt lengths.

    Parameters
    ----------
    model, service : str
        Model that the engines serve, and name of the deployment's plain service.
    workspaces : tuple of str
        The first two send half of all requests by themselves; the other half is spread evenly
        over all workspaces.
    short_prompt_share : float
        Share of prompts of under 4,000 tokens, from 0 to 1, among all but the long ones
        (`LONG_PROMPT_SHARE`).
    """

    model: str
    service: str
    workspaces: tuple[str, ...]
    short_prompt_share: float


MIXES = {
    "hanbit": WorkloadMix(
        "wrap-writer",
        "order-desk",
        ("city-buses", "north-delivery", "studio-floor", "van-fleet", "school-shuttles"),
        0.75,
    ),
    "cenotvar": WorkloadMix(
        "tp-analyst",
        "client-portal",
        ("local-files", "benchmarks", "intercompany", "comparables", "partners"),
        0.5,
    ),
}


def draw_prompt_tokens(rng: random.Random, workload_mix: WorkloadMix) -> int:
    """Return a random prompt length in tokens.

    One in fifty (`LONG_PROMPT_SHARE`) is between 100,000 and 1,000,000 tokens, drawn uniformly
    on a logarithmic scale; the others are under 4,000, or between 4,000 and 100,000 on a
    logarithmic scale.
    """
    if rng.random() < LONG_PROMPT_SHARE:
        return int(min(MAX_PROMPT_TOKENS, 100_000 * 10 ** rng.random()))
    if rng.random() < workload_mix.short_prompt_share:
        return rng.randint(1000, 3999)
    return int(4000 * 25 ** rng.random())


def make_plan(
    workload_mix: WorkloadMix,
    *,
    seed: int,
    seconds: float,
    rate: float,
    output_tokens: int = 24,
    time_limit_seconds: float = 60.0,
    shared_prefix_share: float = 0.3,
) -> list[client.ScheduledRequest]:
    """Return requests that arrive in a Poisson process, ordered by time.

    Parameters
    ----------
    workload_mix : WorkloadMix
    seed : int
    seconds : float
        Length of the schedule.
    rate : float
        Mean arrival rate in requests a second.
    output_tokens : int
    time_limit_seconds : float
        Time limit that each request carries.
    shared_prefix_share : float
        Probability that a prompt of over 2,048 tokens begins with the prefix of its workspace,
        which takes up half of the prompt, 4,096 tokens at most.
    """
    rng = random.Random(seed)
    plan = []
    arrived_at = rng.expovariate(rate)
    while arrived_at < seconds:
        workspace = _draw_workspace(rng, workload_mix)
        prompt_tokens = draw_prompt_tokens(rng, workload_mix)
        has_shared_prefix = rng.random() < shared_prefix_share and prompt_tokens > 2048
        plan.append(
            client.ScheduledRequest(
                send_at_seconds=arrived_at,
                workspace=workspace,
                model=workload_mix.model,
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
                prompt_seed=f"{seed}.{len(plan)}",
                shared_prefix=workspace if has_shared_prefix else "",
                shared_tokens=min(prompt_tokens // 2, 4096) if has_shared_prefix else 0,
                time_limit_seconds=time_limit_seconds,
            )
        )
        arrived_at += rng.expovariate(rate)
    return plan


def _draw_workspace(rng: random.Random, workload_mix: WorkloadMix) -> str:
    if rng.random() < 0.5:
        return rng.choice(workload_mix.workspaces[:2])
    return rng.choice(workload_mix.workspaces)
