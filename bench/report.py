"""Figures of a load run: tables and plots."""

from __future__ import annotations

import pathlib
import statistics
from typing import Any

import matplotlib

from bench import client

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

BUCKETS = (4_000, 16_000, 64_000, 250_000, 1_000_000)
LARGEST_TOKENS = 400_000
PERCENTS = (50, 95, 99)
AT_ONCE_CODES = ("overloaded", "quota_exceeded", "prompt_too_long")


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile, not a number for no values."""
    if not values:
        return float("nan")
    if len(values) == 1:
        return values[0]
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def bucket_name(tokens: int) -> str:
    """Return the name of a prompt's length bucket."""
    return next(f"<={bound}" for bound in BUCKETS if tokens <= bound)


def summarize(
    results: list[client.Result], *, planned: int, seconds: float, rate: float
) -> dict[str, Any]:
    """Return the figures of a phase; times in seconds, ``rate`` in prefill tokens a second."""
    answered = [one for one in results if one.answered]
    refused = [one for one in results if one.refused]
    codes: dict[str, int] = {}
    for one in results:
        if not one.answered:
            codes[one.error or "none"] = codes.get(one.error or "none", 0) + 1
    late = [one for one in results if one.finished_seconds > one.request.time_limit_seconds + 0.1]
    at_once = [one.finished_seconds for one in refused if one.error in AT_ONCE_CODES]
    largest = [one for one in answered if one.request.prompt_tokens > LARGEST_TOKENS]
    over_ideal = [one.first_token_seconds * rate / one.request.prompt_tokens for one in largest]
    figures: dict[str, Any] = {
        "largest_over_ideal_p95": percentile(over_ideal, 95),
        "planned": planned,
        "answered": len(answered),
        "refused": len(refused),
        "without_outcome": planned - len(answered) - len(refused),
        "codes": codes,
        "past_time_limit": len(late),
        "refusal_seconds_p95": percentile(at_once, 95),
        "useful_tokens_per_second": sum(one.request.prompt_tokens for one in answered) / seconds,
        "seconds": seconds,
        "first_token": _times(answered),
        "buckets": {},
    }
    for bound in BUCKETS:
        name = f"<={bound}"
        inside = [one for one in answered if bucket_name(one.request.prompt_tokens) == name]
        figures["buckets"][name] = _times(inside)
    return figures


def _times(results: list[client.Result]) -> dict[str, float]:
    times = [one.first_token_seconds for one in results]
    return {"count": len(times), **{f"p{p}": percentile(times, p) for p in PERCENTS}}


def describe(policy: str, phase: str, figures: dict[str, Any]) -> str:
    """Return the lines that a run prints."""
    lines = [
        f"{policy:9} {phase:12} {figures['answered']}/{figures['planned']} answered, "
        f"{figures['refused']} refused, {figures['without_outcome']} without outcome, "
        f"{figures['past_time_limit']} late, p95 {figures['first_token']['p95']:.3f} s, "
        f"useful {figures['useful_tokens_per_second']:,.0f} tokens/s, {figures['codes']}, "
        f"refusals p95 {figures['refusal_seconds_p95']:.3f} s, "
        f"largest over ideal p95 {figures['largest_over_ideal_p95']:.2f}"
    ]
    for name, times in figures["buckets"].items():
        if times["count"]:
            lines.append(
                f"{'':22} {name:>10} n={times['count']:<5} "
                + "  ".join(f"p{p} {times[f'p{p}']:.3f}" for p in PERCENTS)
            )
    return "\n".join(lines)


def write(found: dict[str, Any], folder: pathlib.Path) -> list[pathlib.Path]:
    """Write a table and a plot for each phase and return their paths."""
    name = found["deployment"]
    table = folder / f"load-{name}.md"
    table.write_text(_render_table(found))
    plot = folder / f"load-{name}.png"
    _draw(found, plot)
    return [table, plot]


def _render_table(found: dict[str, Any]) -> str:
    lines = [f"# Load run of {found['deployment']}, seed {found['seed']}", ""]
    lines.append("| phase | policy | bucket | answers | p50 s | p95 s | p99 s |")
    lines.append("|---|---|---|---|---|---|---|")
    for policy, phases in found["policies"].items():
        for phase, figures in phases.items():
            rows = {"all": figures["first_token"], **figures["buckets"]}
            for bucket, times in rows.items():
                cells = " | ".join(f"{times[f'p{p}']:.3f}" for p in PERCENTS)
                lines.append(f"| {phase} | {policy} | {bucket} | {times['count']} | {cells} |")
    return "\n".join(lines) + "\n"


def _draw(found: dict[str, Any], path: pathlib.Path) -> None:
    phases = list(next(iter(found["policies"].values())))
    figure, axes = pyplot.subplots(
        1, len(phases), figsize=(4 * len(phases), 4), sharey=True, squeeze=False
    )
    for axis, phase in zip(axes[0], phases, strict=True):
        for policy, figures in found["policies"].items():
            if phase not in figures:
                continue
            buckets = figures[phase]["buckets"]
            axis.plot(
                list(buckets),
                [times["p95"] for times in buckets.values()],
                marker="o",
                label=policy,
            )
        axis.set_title(phase)
        axis.set_yscale("log")
        axis.tick_params(axis="x", rotation=60)
    axes[0][0].set_ylabel("time to first token, p95, s")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
