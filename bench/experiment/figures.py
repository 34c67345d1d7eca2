"""Figures and plots of experiments."""

from __future__ import annotations

import collections
import pathlib
import statistics
from typing import Any

import matplotlib

from bench import report
from bench.experiment import callers, simulation, workloads

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

KINDS = (workloads.SHORT, workloads.MEDIUM, workloads.LONG)
ERROR_PERCENTS = (5, 50, 95)
OUTCOMES = tuple(one.value for one in callers.Outcome)


def summarize(run: simulation.RunResult) -> dict[str, Any]:
    """Return the figures of a run; times in seconds, shares from 0 to 1."""
    by_kind = collections.defaultdict(list)
    for record in run.records:
        by_kind[record.arrival.kind.name].append(record)
    usage = {
        name: sum(getattr(one, name) for one in run.usage)
        for name in ("reading", "writing", "mixed", "idle")
    }
    total = sum(usage.values()) or 1.0
    return {
        "worth": share_of_worth(run.records),
        "kinds": {name: _summarize_kind(records) for name, records in by_kind.items()},
        "engine_time": {name: seconds / total for name, seconds in usage.items()},
    }


def share_of_worth(records: list[callers.RequestRecord]) -> float:
    """Return what requests earned of what they could."""
    owed = sum(one.arrival.kind.on_time_credit for one in records)
    return sum(one.credit for one in records) / owed if owed else 1.0


def _summarize_kind(records: list[callers.RequestRecord]) -> dict[str, Any]:
    counts = collections.Counter(one.outcome.value for one in records)
    first = [
        one.first_token_seconds
        for one in records
        if one.first_token_seconds == one.first_token_seconds
    ]
    pauses = [one.longest_gap_seconds for one in records if one.longest_gap_seconds]
    errors = [
        one.actual_wait_seconds - one.predicted_wait_seconds
        for one in records
        if one.actual_wait_seconds == one.actual_wait_seconds
    ]
    return {
        "requests": len(records),
        "worth": share_of_worth(records),
        "shares": {name: counts[name] / len(records) for name in OUTCOMES},
        "first_token_p50": report.percentile(first, 50),
        "first_token_p95": report.percentile(first, 95),
        "longest_pause_p95": report.percentile(pauses, 95),
        "prediction_error": {
            f"p{percent}": report.percentile(errors, percent) for percent in ERROR_PERCENTS
        },
        "largest_tenth_on_time": _share_of_largest(records, (callers.Outcome.ON_TIME,)),
        "largest_tenth_served": _share_of_largest(
            records, (callers.Outcome.ON_TIME, callers.Outcome.LATE)
        ),
    }


def _share_of_largest(
    records: list[callers.RequestRecord], outcomes: tuple[callers.Outcome, ...]
) -> float:
    """Return how many of the longest tenth of the prompts came to some outcomes."""
    largest = sorted(records, key=lambda one: -one.arrival.prompt_tokens)
    tenth = largest[: max(1, len(largest) // 10)]
    return sum(one.outcome in outcomes for one in tenth) / len(tenth)


def average(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the mean of each figure over runs of the same shape."""
    mean: dict[str, Any] = {}
    for key in results[0]:
        values = [one[key] for one in results if key in one]
        if isinstance(values[0], dict):
            mean[key] = average(values)
        else:
            known = [value for value in values if value == value]
            mean[key] = statistics.fmean(known) if known else float("nan")
    return mean


def plot(results: dict[str, dict[str, dict[str, Any]]], path: pathlib.Path) -> None:
    """Draw a page: for each pattern, what each policy gave.

    Parameters
    ----------
    results : dict
        Mean figures by pattern and policy.
    path : pathlib.Path
        Image file to write.
    """
    patterns = list(results)
    policies = list(results[patterns[0]])
    figure, axes = pyplot.subplots(3, 2, figsize=(14, 13))
    _plot_bars(axes[0][0], "share of worth", patterns, policies, results, lambda one: one["worth"])
    for axis, kind in zip(axes.flat[1:4], KINDS, strict=True):
        _plot_bars(
            axis,
            f"{kind}: share on time",
            patterns,
            policies,
            results,
            lambda one, kind=kind: _of_kind(one, kind, "shares", "on_time"),
        )
    _plot_bars(
        axes[2][0],
        "short: first token p95, s",
        patterns,
        policies,
        results,
        lambda one: _of_kind(one, workloads.SHORT, "first_token_p95"),
    )
    _plot_time(axes[2][1], results, policies[0])
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _of_kind(result: dict[str, Any], kind: str, *keys: str) -> float:
    value: Any = result["kinds"].get(kind, {})
    for key in keys:
        value = value.get(key, float("nan")) if isinstance(value, dict) else value
    return value if isinstance(value, float) else float("nan")


def _plot_bars(axis, title, patterns, policies, results, pick) -> None:
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        heights = [pick(results[pattern][policy]) for pattern in patterns]
        places = [place + number * width for place in range(len(patterns))]
        axis.bar(places, heights, width, label=policy)
    if "bound" in results[patterns[0]][policies[0]] and title == "share of worth":
        bounds = [results[pattern][policies[0]]["bound"] for pattern in patterns]
        axis.plot(range(len(patterns)), bounds, "k_", markersize=18, label="bound")
    axis.set_title(title)
    axis.set_xticks(range(len(patterns)), patterns, rotation=30, fontsize=8)
    axis.legend(fontsize=7)


def _plot_time(axis, results, policy) -> None:
    patterns = list(results)
    bottom = [0.0] * len(patterns)
    for part in ("reading", "mixed", "writing", "idle"):
        heights = [results[pattern][policy]["engine_time"][part] for pattern in patterns]
        axis.bar(patterns, heights, bottom=bottom, label=part)
        bottom = [low + height for low, height in zip(bottom, heights, strict=True)]
    axis.set_title(f"where the engines' time went ({policy})")
    axis.set_xticks(range(len(patterns)), patterns, rotation=30, fontsize=8)
    axis.legend(fontsize=7)
