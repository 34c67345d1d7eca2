"""A bound on what any policy could earn: one that knows all arrivals and all that happens.

The engines are taken as one store of engine time that can be cut at will. A request needs the
time that its prompt takes to read, and its part of the passes that write its answer beside as many
others as an engine has slots. To be on time it is read between its arrival and its objective, to
be served late before its time limit. No decision on real engines earns more than the best choice.
"""

from __future__ import annotations

import numpy as np
from scipy import optimize, sparse

from bench.experiment import workloads

# Width of the time steps; a request may use every step that its window touches.
STEP_SECONDS = 0.25


def best_worth(
    deployment: workloads.Deployment,
    pattern: workloads.Pattern,
    arrivals: list[workloads.Arrival],
    *,
    seconds: float,
) -> float:
    """Return the highest share of the worth that could be earned, as a bound from above.

    Solves a linear program over the share of each request that is served on time and late, and over
    the engine time that each of them gets in each step.
    """
    if not arrivals:
        return 1.0
    longest = max(one.kind.limit for one in arrivals)
    steps = int((seconds + longest) / STEP_SECONDS) + 2
    capacity = np.full(steps, deployment.engine_count * STEP_SECONDS)
    for event in pattern.events:
        _reduce(capacity, deployment, event, seconds)
    program = _Program(steps)
    for arrival in arrivals:
        kind = arrival.kind
        reading = deployment.model.prefill_seconds(arrival.prompt_tokens)
        # An engine that writes for as many requests as it has slots shares its passes among them.
        writing = arrival.events * deployment.model.decode_pass_seconds / deployment.model.slots
        on_time, late = program.add_choice((kind.worth, kind.late_worth))
        program.require([on_time], reading, arrival.at, arrival.at + kind.objective)
        program.require([late], reading, arrival.at, arrival.at + kind.limit)
        program.require([on_time, late], writing, arrival.at, arrival.at + kind.limit)
    return program.solve(capacity) / sum(one.kind.worth for one in arrivals)


class _Program:
    """A linear program over shares of requests, and over engine time in steps.

    Parameters
    ----------
    steps : int
        Steps of time.
    """

    def __init__(self, steps: int):
        self._steps = steps
        self._gains: list[float] = []
        self._choices: list[tuple[int, int, float]] = []
        self._needs: list[tuple[int, int, float]] = []
        self._uses: list[tuple[int, int, float]] = []
        self._choice_count = 0
        self._need_count = 0

    def add_choice(self, worths: tuple[float, ...]) -> list[int]:
        """Add shares that add up to 1 at most, each with what it earns; return their numbers."""
        numbers = []
        for worth in worths:
            numbers.append(len(self._gains))
            self._choices.append((self._choice_count, len(self._gains), 1.0))
            self._gains.append(worth)
        self._choice_count += 1
        return numbers

    def require(self, shares: list[int], seconds: float, start: float, end: float) -> None:
        """Have shares of a request take engine time between two moments."""
        for share in shares:
            self._needs.append((self._need_count, share, seconds))
        first = int(start / STEP_SECONDS)
        last = min(int(end / STEP_SECONDS), self._steps - 1)
        for step in range(first, last + 1):
            self._needs.append((self._need_count, len(self._gains), -1.0))
            self._uses.append((step, len(self._gains), 1.0))
            self._gains.append(0.0)
        self._need_count += 1

    def solve(self, capacity: np.ndarray) -> float:
        """Return the most that can be earned with some engine time in each step."""
        columns = len(self._gains)
        matrix = sparse.vstack(
            [
                _to_matrix(self._choices, self._choice_count, columns),
                _to_matrix(self._needs, self._need_count, columns),
                _to_matrix(self._uses, self._steps, columns),
            ]
        )
        limits = np.concatenate([np.ones(self._choice_count), np.zeros(self._need_count), capacity])
        solved = optimize.linprog(
            -np.array(self._gains), A_ub=matrix, b_ub=limits, bounds=(0, None), method="highs"
        )
        return -solved.fun


def _reduce(
    capacity: np.ndarray, deployment: workloads.Deployment, event: workloads.Event, seconds: float
) -> None:
    """Take off what an event takes from the engines."""
    match event:
        case workloads.EngineLoss():
            lost, start, end = deployment.count_share(event.share), event.at, event.seconds
        case workloads.EngineSlowdown():
            slow = deployment.count_share(event.share)
            lost, start, end = slow * (1 - 1 / event.factor), event.at, event.seconds
        case workloads.EnginesLeave():
            lost = deployment.count_share(event.share)
            start, end = event.at + event.linger, 2 * seconds
        case _:
            return
    first, last = int(start / STEP_SECONDS) + 1, int((start + end) / STEP_SECONDS)
    capacity[first:last] -= lost * STEP_SECONDS


def _to_matrix(entries: list[tuple[int, int, float]], rows: int, columns: int) -> sparse.csr_matrix:
    row, column, value = zip(*entries, strict=True)
    return sparse.csr_matrix((value, (row, column)), shape=(rows, columns))
