"""Long prompts that met at an engine, and prompts slower than predicted, from a day's logs.

Two prompts meet if different entries place them on a common engine within a short time, before the
one has heard of the other's.

    python -m bench.meetings LOG
"""

from __future__ import annotations

import bisect
import collections
import pathlib
import sys
from collections.abc import Iterable

import attrs
import fire

from bench import losses

# Prompts from this length on are long; they take an engine more than
# `placement.BLOCKED_PREFILL_SECONDS`.
LONG_TOKENS = 24_000
# Upper bounds of the rows of the table, in seconds between two placements.
GAP_SECONDS = (0.02, 0.08, 0.2, 0.4, 0.8)
# Within this time entries can't know of each other's placements yet.
MEETING_SECONDS = 0.4
# A first token that took this many times what was predicted is slow.
SLOW_RATIO = 1.4
# A short prompt that took this many times what was predicted, and this long, was mispredicted.
MISPREDICTED_RATIO = 3.0
MISPREDICTED_SECONDS = 0.3


@attrs.frozen
class PlacedPrompt:
    """A prompt that an entry placed, and when its first token came.

    Parameters
    ----------
    at : float
        Time of the placement, in seconds.
    entry : str
    servers : frozenset of str
        The engines that prefill it.
    prompt_tokens : int
    predicted_seconds, first_seconds : float
        Predicted and actual wait for the first token.
    """

    at: float
    entry: str
    servers: frozenset[str]
    prompt_tokens: int
    predicted_seconds: float
    first_seconds: float

    @property
    def is_long(self) -> bool:
        """Whether the prompt takes an engine so long that others would have to wait."""
        return self.prompt_tokens >= LONG_TOKENS

    @property
    def is_slow(self) -> bool:
        """Whether the first token took much longer than predicted."""
        return self.first_seconds > SLOW_RATIO * self.predicted_seconds

    @property
    def is_mispredicted(self) -> bool:
        """Whether the engine must have been busy without the entry's knowledge."""
        return (
            self.first_seconds > MISPREDICTED_RATIO * self.predicted_seconds
            and self.first_seconds > MISPREDICTED_SECONDS
        )


@attrs.frozen
class Summary:
    """Numbers of long prompts by gap, of slow ones among them, and of mispredicted short ones.

    ``counts`` and ``slow_counts`` have one item for each of `GAP_SECONDS` and one for prompts that
    met none within the last of them.
    """

    counts: tuple[int, ...]
    slow_counts: tuple[int, ...]
    short_count: int
    mispredicted_count: int

    @property
    def long_count(self) -> int:
        """Number of long prompts with a first token."""
        return sum(self.counts)

    @property
    def slow_after_meeting_count(self) -> int:
        """Number of slow prompts that met another within `MEETING_SECONDS`."""
        return sum(
            slow
            for gap, slow in zip(GAP_SECONDS, self.slow_counts, strict=False)
            if gap <= MEETING_SECONDS
        )

    def plus(self, other: Summary) -> Summary:
        """Return the sums of both."""
        return Summary(
            tuple(map(sum, zip(self.counts, other.counts, strict=True))),
            tuple(map(sum, zip(self.slow_counts, other.slow_counts, strict=True))),
            self.short_count + other.short_count,
            self.mispredicted_count + other.mispredicted_count,
        )


EMPTY = Summary((0,) * (len(GAP_SECONDS) + 1), (0,) * (len(GAP_SECONDS) + 1), 0, 0)


def summarize(prompts: Iterable[PlacedPrompt]) -> Summary:
    """Count the prompts of one day."""
    prompts = sorted(prompts, key=lambda prompt: prompt.at)
    long = [prompt for prompt in prompts if prompt.is_long]
    short = [prompt for prompt in prompts if not prompt.is_long]
    counts = list(EMPTY.counts)
    slow_counts = list(EMPTY.slow_counts)
    for prompt, gap in zip(long, _find_gaps(long), strict=True):
        row = bisect.bisect_left(GAP_SECONDS, gap)
        counts[row] += 1
        slow_counts[row] += prompt.is_slow
    mispredicted_count = sum(prompt.is_mispredicted for prompt in short)
    return Summary(tuple(counts), tuple(slow_counts), len(short), mispredicted_count)


def _find_gaps(prompts: list[PlacedPrompt]) -> list[float]:
    """Return the time between each placement and the nearest of another entry on its engines."""
    gaps = [float("inf")] * len(prompts)
    by_server: dict[str, list[int]] = collections.defaultdict(list)
    for position, prompt in enumerate(prompts):
        for server in prompt.servers:
            for other in reversed(by_server[server]):
                gap = prompt.at - prompts[other].at
                if gap > GAP_SECONDS[-1]:
                    break
                if prompts[other].entry != prompt.entry:
                    gaps[position] = min(gaps[position], gap)
                    gaps[other] = min(gaps[other], gap)
            by_server[server].append(position)
    return gaps


def read_prompts(traces: dict[str, losses.Trace]) -> list[PlacedPrompt]:
    """Return the prompts of a day's logs that were sent once and gave a first token.

    Raises
    ------
    losses.InputError
        A log line lacks a field, as those of another build may.
    """
    prompts = []
    for request, trace in traces.items():
        if len(trace.sent) != 1 or trace.end is None or "first_piece" not in trace.end:
            continue
        try:
            [sent] = trace.sent
            if not sent["prompt_tokens"]:
                continue
            prompt = PlacedPrompt(
                at=sent["at"],
                entry=sent["process"],
                servers=frozenset((sent["server"], *sent["helpers"])),
                prompt_tokens=sent["prompt_tokens"],
                predicted_seconds=sent["predicted"],
                first_seconds=trace.end["first_piece"] - sent["waited"],
            )
        except (KeyError, TypeError) as error:
            raise losses.InputError(
                f"request {request}: log line of another build? {error!r}"
            ) from error
        prompts.append(prompt)
    return prompts


def make_table(summary: Summary) -> str:
    """Return a Markdown table of long prompts by gap, and a line on short ones."""
    labels = [f"up to {gap:g} s" for gap in GAP_SECONDS] + ["more or never"]
    long_count = max(1, summary.long_count)
    lines = ["| another's within | long prompts | slow |", "|---|---|---|"]
    lines += [
        f"| {label} | {count} | {slow} |"
        for label, count, slow in zip(labels, summary.counts, summary.slow_counts, strict=True)
    ]
    lines.append(
        f"slow within {MEETING_SECONDS:g} s: {summary.slow_after_meeting_count} of"
        f" {summary.long_count} ({summary.slow_after_meeting_count / long_count:.1%});"
        f" short prompts mispredicted: {summary.mispredicted_count} of {summary.short_count}"
        f" ({summary.mispredicted_count / max(1, summary.short_count):.2%})"
    )
    return "\n".join(lines)


def main(*logs: str) -> None:
    """Print the table of all days whose logs are given."""
    if not logs:
        raise losses.InputError("takes the path of a log at least")
    summaries = [
        summarize(read_prompts(losses.read_log(pathlib.Path(path)))) for path in map(str, logs)
    ]
    total = EMPTY
    for summary in summaries:
        total = total.plus(summary)
    print(make_table(total))


if __name__ == "__main__":
    try:
        fire.Fire(main)
    except losses.InputError as error:
        print(f"meetings: {error}", file=sys.stderr)
        sys.exit(2)
