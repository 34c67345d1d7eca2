"""Where the worth of a played day was lost: by two-second window, cause and disruption.

A day's report counts, for each window, the requests that were late, refused or failed. The logs of
the processes name the cause of those that an entry has seen. What the logs don't explain never
reached an entry that lived, or was cut between events.

    python -m bench.losses REPORT --log=FILE --objectives=25000:0.3:0.25,90000:1.5:0.6
"""

from __future__ import annotations

import collections
import json
import pathlib
import sys
from collections.abc import Iterable
from typing import Any

import attrs
import fire

WINDOW_SECONDS = 2
# A first piece counts as slow to read if it took this many times what was predicted.
SLOW_RATIO = 1.5
UNEXPLAINED = "not in a log"
CUT = "cut with its entry"


class InputError(Exception):
    """A file or an option that can't be read."""


@attrs.frozen
class Window:
    """Requests that were sent in a window, and disruptions that were active then."""

    begin: int
    sent: int
    lost: int
    disruptions: tuple[str, ...]


@attrs.frozen
class Objective:
    """Longest times to the first piece and between pieces, in seconds, of prompts up to a size."""

    max_tokens: float
    first_seconds: float
    pause_seconds: float


# Of plain requests and of prompts beyond the largest size that is given.
NO_OBJECTIVE = Objective(float("inf"), float("inf"), float("inf"))
# Refusals that the declaration asks for are no losses.
RIGHTFUL_REFUSALS = ("unknown_route", "unknown_key")


@attrs.frozen
class Loss:
    """A request that was late, refused or failed, and why."""

    request: str
    began_at: float
    prompt_tokens: int
    cause: str


@attrs.define
class Trace:
    """Log lines of one request."""

    sent: list[dict[str, Any]] = attrs.field(factory=list)
    retries: list[str] = attrs.field(factory=list)
    end: dict[str, Any] | None = None
    refused: dict[str, Any] | None = None


def read_report(path: pathlib.Path) -> list[Window]:
    """Return the windows of a day's report.

    Raises
    ------
    InputError
        The file can't be read, or isn't a report.
    """
    try:
        document = json.loads(path.read_text())
        return [_make_window(item, document["events"]) for item in document["windows"]]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise InputError(f"{path}: not a day's report: {error!r}") from error


def _make_window(item: dict[str, Any], events: list[dict[str, Any]]) -> Window:
    begin = int(item["name"])
    active = {
        event["kind"].partition(" ")[0]
        for event in events
        if event["at_s"] < begin + WINDOW_SECONDS and event["to_s"] > begin
    }
    lost = item["late"] + item["refused"] + item["failed"]
    return Window(begin, item["n"], lost, tuple(sorted(active)))


def read_log(path: pathlib.Path) -> dict[str, Trace]:
    """Return the requests in the logs of a day's processes, by request id.

    A line is the time of the day in seconds, the name of a process, and its log line.

    Raises
    ------
    InputError
        The file can't be read, or holds no such line.
    """
    traces: dict[str, Trace] = collections.defaultdict(Trace)
    try:
        lines = path.read_text().splitlines()
    except (OSError, ValueError) as error:
        raise InputError(f"{path}: {error}") from error
    for line in lines:
        time_text, _, rest = line.strip().partition(" ")
        process, brace, text = rest.partition("{")
        if not brace:
            continue
        try:
            event = json.loads(brace + text)
            event["at"] = float(time_text)
            event["process"] = process.strip()
            name, request = event["event"], event.get("request")
        except (ValueError, KeyError, TypeError):
            continue
        if request:
            _add_event(traces[request], name, event)
    if not traces:
        raise InputError(f"{path}: holds no log line of a request")
    return dict(traces)


def _add_event(trace: Trace, name: str, event: dict[str, Any]) -> None:
    match name:
        case "request.sent":
            trace.sent.append(event)
        case "request.retried":
            trace.retries.append(str(event.get("why")))
        case "request.ended":
            trace.end = event
        case "request.refused":
            trace.refused = event


def parse_objectives(text: str) -> list[Objective]:
    """Return the objectives of prompts, the shortest first.

    Raises
    ------
    InputError
        The text isn't of the form ``TOKENS:FIRST:PAUSE,...``.
    """
    try:
        items = [item.split(":") for item in text.split(",")]
        objectives = [
            Objective(int(tokens), float(first), float(pause)) for tokens, first, pause in items
        ]
    except ValueError as error:
        raise InputError(f"objectives {text!r}: not TOKENS:FIRST:PAUSE,...") from error
    return sorted(objectives, key=lambda objective: objective.max_tokens)


def find_losses(traces: dict[str, Trace], objectives: list[Objective]) -> list[Loss]:
    """Return the requests that the logs show as lost, in the order in which they began.

    Raises
    ------
    InputError
        A log line lacks a field, as those of another build may.
    """
    losses = []
    for request, trace in traces.items():
        try:
            tokens = trace.sent[0]["prompt_tokens"] if trace.sent else 0
            cause = _find_cause(trace, _choose_objective(tokens, objectives))
            began_at = _began_at(trace)
        except (KeyError, TypeError) as error:
            raise InputError(f"request {request}: log line of another build? {error!r}") from error
        if cause:
            losses.append(Loss(request, began_at, tokens, cause))
    return sorted(losses, key=lambda loss: loss.began_at)


def _choose_objective(tokens: int, objectives: list[Objective]) -> Objective:
    return next((item for item in objectives if 0 < tokens <= item.max_tokens), NO_OBJECTIVE)


def _began_at(trace: Trace) -> float:
    if trace.end is not None:
        return trace.end["at"] - trace.end["seconds"]
    first_event = trace.sent[0] if trace.sent else trace.refused
    return first_event["at"] if first_event else 0.0


def _find_cause(trace: Trace, objective: Objective) -> str:
    """Return why a request was lost, empty if it was served in time as far as the logs tell."""
    if trace.refused is not None:
        code = trace.refused.get("code")
        return "" if code in RIGHTFUL_REFUSALS else f"refused: {code}"
    if trace.end is None:
        return CUT if trace.sent else ""
    match trace.end["outcome"]:
        case "server_failed":
            return f"failed by its server: {trace.end.get('status')}"
        case "failed":
            return f"failed: {trace.end.get('code')}"
        case "caller_gone":
            return "caller left"
    first_seconds = trace.end.get("first_piece", trace.end["seconds"])
    is_paused = trace.end.get("longest_pause", 0.0) > objective.pause_seconds
    if not trace.sent or (first_seconds <= objective.first_seconds and not is_paused):
        return ""
    if trace.retries:
        return f"late, sent again: {trace.retries[0]}"
    if first_seconds <= objective.first_seconds:
        return "late, paused"
    waited_seconds = trace.sent[0].get("waited", 0.0)
    if waited_seconds > objective.first_seconds / 2:
        return "late, waited at its entry"
    if first_seconds - waited_seconds > SLOW_RATIO * trace.sent[0]["predicted"]:
        return "late, slower than predicted"
    return "late, as predicted"


def make_table(windows: Iterable[Window], losses: list[Loss]) -> str:
    """Return a Markdown table of the windows in which requests were lost."""
    causes: dict[int, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for loss in losses:
        begin = int(loss.began_at // WINDOW_SECONDS) * WINDOW_SECONDS
        causes[begin][loss.cause] += 1
    rows = [
        "| from second | sent | lost | causes in the logs | disruptions |",
        "|---|---|---|---|---|",
    ]
    for window in windows:
        if not window.lost:
            continue
        counts = causes[window.begin].copy()
        counts[UNEXPLAINED] = max(0, window.lost - counts.total())
        text = ", ".join(f"{count} {cause}" for cause, count in counts.most_common() if count)
        disruptions = ", ".join(window.disruptions)
        rows.append(f"| {window.begin} | {window.sent} | {window.lost} | {text} | {disruptions} |")
    return "\n".join(rows)


def main(report: str, log: str = "", objectives: str = "") -> None:
    """Print where requests of a played day were lost.

    Parameters
    ----------
    report : str
        Path of the day's report.
    log : str
        Path of the logs of the day's processes.
    objectives : str
        ``TOKENS:FIRST:PAUSE,...``: the longest times to the first piece and between pieces, in
        seconds, of prompts up to so many tokens.
    """
    windows = read_report(pathlib.Path(report))
    losses = []
    if log:
        parsed = parse_objectives(str(objectives)) if objectives else []
        losses = find_losses(read_log(pathlib.Path(log)), parsed)
    print(make_table(windows, losses))
    totals = collections.Counter(loss.cause for loss in losses)
    for cause, count in totals.most_common():
        example = max(
            (item for item in losses if item.cause == cause), key=lambda item: item.prompt_tokens
        )
        print(f"{count:5} {cause}; largest: {example.request} at {example.began_at:.2f} s")


if __name__ == "__main__":
    try:
        fire.Fire(main)
    except InputError as error:
        print(f"losses: {error}", file=sys.stderr)
        sys.exit(2)
