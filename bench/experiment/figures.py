"""Summaries of runs by request kind and engine time, their means, and plots of the means."""

from __future__ import annotations

import collections
import pathlib
import statistics
from typing import Any

import matplotlib

from bench import meetings, report
from bench.experiment import callers, simulation, workloads

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

KIND_NAMES = (workloads.SHORT_KIND_NAME, workloads.MEDIUM_KIND_NAME, workloads.LONG_KIND_NAME)
PREDICTION_ERROR_PERCENTILES = (5, 50, 95)
OUTCOME_NAMES = tuple(outcome.value for outcome in callers.Outcome)


def summarize(result: simulation.RunResult) -> dict[str, Any]:
    """Return the summary of a run, with times in seconds and ratios from 0 to 1.

    Returns
    -------
    dict
        ``worth`` is the credit ratio, ``kinds`` has a summary for each kind of request,
        ``engine_time`` has the fraction of engine time spent on each type of pass, and
        ``meetings`` those of long prompts that met another one and were slow, by gap, and that of
        mispredicted short prompts.
    """
    by_kind = collections.defaultdict(list)
    for record in result.records:
        by_kind[record.arrival.kind.name].append(record)
    seconds_by_pass = {
        name: sum(getattr(usage, name) for usage in result.usage)
        for name in ("reading", "writing", "mixed", "idle")
    }
    total = sum(seconds_by_pass.values()) or 1.0
    return {
        "worth": credit_ratio(result.records),
        "kinds": {name: _summarize_kind(records) for name, records in by_kind.items()},
        "engine_time": {name: seconds / total for name, seconds in seconds_by_pass.items()},
        "meetings": _summarize_meetings(meetings.summarize(result.placed)),
    }


def _summarize_meetings(summary: meetings.Summary) -> dict[str, float]:
    long_count = max(1, summary.long_count)
    ratios = {
        "slow_after_meeting": summary.slow_after_meeting_count / long_count,
        "mispredicted_short": summary.mispredicted_count / max(1, summary.short_count),
    }
    for position, gap in enumerate((*meetings.GAP_SECONDS, float("inf"))):
        ratios[f"met_{gap:g}"] = summary.counts[position] / long_count
        ratios[f"slow_{gap:g}"] = summary.slow_counts[position] / long_count
    return ratios


def credit_ratio(records: list[callers.RequestRecord]) -> float:
    """Return the earned credit relative to that of answers all on time; 1 without requests."""
    max_credit = sum(record.arrival.kind.on_time_credit for record in records)
    return sum(record.credit for record in records) / max_credit if max_credit else 1.0


def _summarize_kind(records: list[callers.RequestRecord]) -> dict[str, Any]:
    counts = collections.Counter(record.outcome.value for record in records)
    # NaN, the value of a time that does not apply, is not equal to itself.
    first_token_seconds = [
        record.first_token_seconds
        for record in records
        if record.first_token_seconds == record.first_token_seconds
    ]
    gap_seconds = [record.longest_gap_seconds for record in records if record.longest_gap_seconds]
    prediction_errors_seconds = [
        record.actual_wait_seconds - record.predicted_wait_seconds
        for record in records
        if record.actual_wait_seconds == record.actual_wait_seconds
    ]
    return {
        "requests": len(records),
        "worth": credit_ratio(records),
        "shares": {name: counts[name] / len(records) for name in OUTCOME_NAMES},
        "first_token_p50": report.percentile(first_token_seconds, 50),
        "first_token_p95": report.percentile(first_token_seconds, 95),
        "longest_pause_p95": report.percentile(gap_seconds, 95),
        "prediction_error": {
            f"p{percentile}": report.percentile(prediction_errors_seconds, percentile)
            for percentile in PREDICTION_ERROR_PERCENTILES
        },
        "largest_tenth_on_time": _largest_tenth_ratio(records, (callers.Outcome.ON_TIME,)),
        "largest_tenth_served": _largest_tenth_ratio(
            records, (callers.Outcome.ON_TIME, callers.Outcome.LATE)
        ),
    }


def _largest_tenth_ratio(
    records: list[callers.RequestRecord], outcomes: tuple[callers.Outcome, ...]
) -> float:
    """Return the fraction of the tenth with the longest prompts that has one of the outcomes."""
    by_length = sorted(records, key=lambda record: -record.arrival.prompt_tokens)
    tenth = by_length[: max(1, len(by_length) // 10)]
    return sum(record.outcome in outcomes for record in tenth) / len(tenth)


def average(summaries: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the mean of each value over summaries with the same keys; NaN values are ignored."""
    mean: dict[str, Any] = {}
    for key in summaries[0]:
        values = [summary[key] for summary in summaries if key in summary]
        if isinstance(values[0], dict):
            mean[key] = average(values)
        else:
            valid_values = [value for value in values if value == value]
            mean[key] = statistics.fmean(valid_values) if valid_values else float("nan")
    return mean


def plot(means: dict[str, dict[str, dict[str, Any]]], path: pathlib.Path) -> None:
    """Draw one image that compares the policies on each load pattern.

    Parameters
    ----------
    means : dict
        Mean summaries by load pattern and policy.
    path : pathlib.Path
        Image file to write.
    """
    patterns = list(means)
    policies = list(means[patterns[0]])
    figure, axes = pyplot.subplots(3, 2, figsize=(14, 13))
    _plot_bars(axes[0][0], "share of worth", patterns, policies, means, lambda mean: mean["worth"])
    for axis, kind in zip(axes.flat[1:4], KIND_NAMES, strict=True):
        _plot_bars(
            axis,
            f"{kind}: share on time",
            patterns,
            policies,
            means,
            lambda mean, kind=kind: _kind_value(mean, kind, "shares", "on_time"),
        )
    _plot_bars(
        axes[2][0],
        "short: first token p95, s",
        patterns,
        policies,
        means,
        lambda mean: _kind_value(mean, workloads.SHORT_KIND_NAME, "first_token_p95"),
    )
    _plot_engine_time(axes[2][1], means, policies[0])
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _kind_value(mean: dict[str, Any], kind: str, *keys: str) -> float:
    value: Any = mean["kinds"].get(kind, {})
    for key in keys:
        value = value.get(key, float("nan")) if isinstance(value, dict) else value
    return value if isinstance(value, float) else float("nan")


def _plot_bars(axis, title, patterns, policies, means, get_value) -> None:
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        heights = [get_value(means[pattern][policy]) for pattern in patterns]
        positions = [position + number * width for position in range(len(patterns))]
        axis.bar(positions, heights, width, label=policy)
    if "bound" in means[patterns[0]][policies[0]] and title == "share of worth":
        bounds = [means[pattern][policies[0]]["bound"] for pattern in patterns]
        axis.plot(range(len(patterns)), bounds, "k_", markersize=18, label="bound")
    axis.set_title(title)
    axis.set_xticks(range(len(patterns)), patterns, rotation=30, fontsize=8)
    axis.legend(fontsize=7)


def _plot_engine_time(axis, means, policy) -> None:
    patterns = list(means)
    bottoms = [0.0] * len(patterns)
    for pass_type in ("reading", "mixed", "writing", "idle"):
        heights = [means[pattern][policy]["engine_time"][pass_type] for pattern in patterns]
        axis.bar(patterns, heights, bottom=bottoms, label=pass_type)
        bottoms = [bottom + height for bottom, height in zip(bottoms, heights, strict=True)]
    axis.set_title(f"engine time by type of pass ({policy})")
    axis.set_xticks(range(len(patterns)), patterns, rotation=30, fontsize=8)
    axis.legend(fontsize=7)
