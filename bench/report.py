"""Report of a load run: statistics of each phase, a Markdown table and plots.

A run is the document that `bench.load` writes as JSON.
"""

from __future__ import annotations

import pathlib
import statistics
from typing import Any

import matplotlib

from bench import client

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

BUCKET_BOUNDS_TOKENS = (4_000, 16_000, 64_000, 250_000, 1_000_000)
LARGE_PROMPT_TOKENS = 400_000
PERCENTILES = (50, 95, 99)
IMMEDIATE_ERROR_CODES = ("overloaded", "quota_exceeded", "prompt_too_long")


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile with linear interpolation, NaN if there are no values."""
    if not values:
        return float("nan")
    if len(values) == 1:
        return values[0]
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def bucket_name(tokens: int) -> str:
    """Return the name of the bucket of a prompt length, ``<=`` and its upper bound in tokens."""
    return next(
        f"<={bound_tokens}" for bound_tokens in BUCKET_BOUNDS_TOKENS if tokens <= bound_tokens
    )


def summarize(
    results: list[client.Result], *, request_count: int, seconds: float, prefill_rate: float
) -> dict[str, Any]:
    """Return the statistics of a phase; times in seconds.

    Parameters
    ----------
    results : list of bench.client.Result
    request_count : int
        Number of scheduled requests, those without a result included.
    seconds : float
        Duration of the phase.
    prefill_rate : float
        Prompt tokens that an engine processes in a second. The time to first token of prompts of
        over `LARGE_PROMPT_TOKENS` is compared with the ideal, the prompt's prefill alone.
    """
    answered = [result for result in results if result.answered]
    refused = [result for result in results if result.refused]
    code_counts: dict[str, int] = {}
    for result in results:
        if not result.answered:
            code_counts[result.error or "none"] = code_counts.get(result.error or "none", 0) + 1
    late_results = [
        result
        for result in results
        if result.finished_seconds > result.request.time_limit_seconds + 0.1
    ]
    immediate_error_seconds = [
        result.finished_seconds for result in refused if result.error in IMMEDIATE_ERROR_CODES
    ]
    large_results = [
        result for result in answered if result.request.prompt_tokens > LARGE_PROMPT_TOKENS
    ]
    slowdown_ratios = [
        result.first_token_seconds * prefill_rate / result.request.prompt_tokens
        for result in large_results
    ]
    stats: dict[str, Any] = {
        "largest_over_ideal_p95": percentile(slowdown_ratios, 95),
        "planned": request_count,
        "answered": len(answered),
        "refused": len(refused),
        "without_outcome": request_count - len(answered) - len(refused),
        "codes": code_counts,
        "past_time_limit": len(late_results),
        "refusal_seconds_p95": percentile(immediate_error_seconds, 95),
        "useful_tokens_per_second": sum(result.request.prompt_tokens for result in answered)
        / seconds,
        "seconds": seconds,
        "first_token": _summarize_times(answered),
        "buckets": {},
    }
    for bound_tokens in BUCKET_BOUNDS_TOKENS:
        name = f"<={bound_tokens}"
        in_bucket = [
            result for result in answered if bucket_name(result.request.prompt_tokens) == name
        ]
        stats["buckets"][name] = _summarize_times(in_bucket)
    return stats


def _summarize_times(results: list[client.Result]) -> dict[str, float]:
    times = [result.first_token_seconds for result in results]
    return {
        "count": len(times),
        **{f"p{percent}": percentile(times, percent) for percent in PERCENTILES},
    }


def format_phase(policy: str, phase: str, stats: dict[str, Any]) -> str:
    """Return the statistics of a phase as the lines that are printed after it."""
    lines = [
        f"{policy:9} {phase:12} {stats['answered']}/{stats['planned']} answered, "
        f"{stats['refused']} refused, {stats['without_outcome']} without outcome, "
        f"{stats['past_time_limit']} late, p95 {stats['first_token']['p95']:.3f} s, "
        f"useful {stats['useful_tokens_per_second']:,.0f} tokens/s, {stats['codes']}, "
        f"refusals p95 {stats['refusal_seconds_p95']:.3f} s, "
        f"largest over ideal p95 {stats['largest_over_ideal_p95']:.2f}"
    ]
    for name, times in stats["buckets"].items():
        if times["count"]:
            lines.append(
                f"{'':22} {name:>10} n={times['count']:<5} "
                + "  ".join(f"p{percent} {times[f'p{percent}']:.3f}" for percent in PERCENTILES)
            )
    return "\n".join(lines)


def write_report(run: dict[str, Any], folder: pathlib.Path) -> list[pathlib.Path]:
    """Write a table of all phases, a figure with one plot for each, and return both paths."""
    name = run["deployment"]
    table_path = folder / f"load-{name}.md"
    table_path.write_text(_render_table(run))
    plot_path = folder / f"load-{name}.png"
    _draw_plots(run, plot_path)
    return [table_path, plot_path]


def _render_table(run: dict[str, Any]) -> str:
    lines = [f"# Load run of {run['deployment']}, seed {run['seed']}", ""]
    lines.append("| phase | policy | bucket | answers | p50 s | p95 s | p99 s |")
    lines.append("|---|---|---|---|---|---|---|")
    for policy, phases in run["policies"].items():
        for phase, stats in phases.items():
            rows = {"all": stats["first_token"], **stats["buckets"]}
            for bucket, times in rows.items():
                cells = " | ".join(f"{times[f'p{percent}']:.3f}" for percent in PERCENTILES)
                lines.append(f"| {phase} | {policy} | {bucket} | {times['count']} | {cells} |")
    return "\n".join(lines) + "\n"


def _draw_plots(run: dict[str, Any], path: pathlib.Path) -> None:
    phases = list(next(iter(run["policies"].values())))
    figure, axes = pyplot.subplots(
        1, len(phases), figsize=(4 * len(phases), 4), sharey=True, squeeze=False
    )
    for axis, phase in zip(axes[0], phases, strict=True):
        for policy, stats_by_phase in run["policies"].items():
            if phase not in stats_by_phase:
                continue
            buckets = stats_by_phase[phase]["buckets"]
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
