"""An upper bound on the credit that any policy can earn, by linear programming.

The program knows all arrivals and disturbances in advance, and treats the engines as one pool of
engine time that can be divided arbitrarily. A request needs the time to prefill its prompt, and its
part of the decode passes of an engine whose slots are all in use. The prefill lies between the
arrival and the latency objective for a request that is served on time, and between the arrival and
the timeout for one that is served late; decoding ends before the timeout in both cases. Decisions
on real engines are subject to more constraints than these, so none of them earns more.
"""

from __future__ import annotations

import numpy as np
from scipy import optimize, sparse

from bench.experiment import workloads

# Width of the time steps; a request may use every step that overlaps its window.
STEP_SECONDS = 0.25


def max_credit_ratio(
    deployment: workloads.Deployment,
    pattern: workloads.LoadPattern,
    arrivals: list[workloads.Arrival],
    *,
    arrival_seconds: float,
) -> float:
    """Return an upper bound on the earned credit, relative to that of answers all on time.

    The variables of the linear program are the fractions of each request that are served on time
    and late, and the engine time that each request gets in each time step.

    Parameters
    ----------
    deployment : workloads.Deployment
    pattern : workloads.LoadPattern
    arrivals : list of workloads.Arrival
    arrival_seconds : float
        Time over which the requests arrive.

    Returns
    -------
    float
        1 if there are no arrivals.
    """
    if not arrivals:
        return 1.0
    longest_timeout = max(request.kind.timeout_seconds for request in arrivals)
    step_count = int((arrival_seconds + longest_timeout) / STEP_SECONDS) + 2
    capacity = np.full(step_count, deployment.engine_count * STEP_SECONDS)
    for disturbance in pattern.disturbances:
        _subtract_lost_capacity(capacity, deployment, disturbance, arrival_seconds)
    program = _LinearProgram(step_count)
    for arrival in arrivals:
        kind = arrival.kind
        prefill_seconds = deployment.cost_model.prefill_seconds(arrival.prompt_tokens)
        # The sequences in all slots of an engine share the time of each decode pass.
        decode_seconds = (
            arrival.event_count
            * deployment.cost_model.decode_pass_seconds
            / deployment.cost_model.slots
        )
        on_time, late = program.add_alternatives((kind.on_time_credit, kind.late_credit))
        program.require_engine_time(
            [on_time],
            prefill_seconds,
            arrival.arrived_at,
            arrival.arrived_at + kind.latency_objective_seconds,
        )
        program.require_engine_time(
            [late], prefill_seconds, arrival.arrived_at, arrival.arrived_at + kind.timeout_seconds
        )
        program.require_engine_time(
            [on_time, late],
            decode_seconds,
            arrival.arrived_at,
            arrival.arrived_at + kind.timeout_seconds,
        )
    return program.solve(capacity) / sum(request.kind.on_time_credit for request in arrivals)


class _LinearProgram:
    """A linear program over fractions of requests and over engine time per time step.

    Constraints are kept as sparse matrix entries of row, column and value; a column is a variable.

    Parameters
    ----------
    step_count : int
        Number of time steps.
    """

    def __init__(self, step_count: int):
        self._step_count = step_count
        self._credits: list[float] = []
        self._fraction_entries: list[tuple[int, int, float]] = []
        self._demand_entries: list[tuple[int, int, float]] = []
        self._capacity_entries: list[tuple[int, int, float]] = []
        self._fraction_row_count = 0
        self._demand_row_count = 0

    def add_alternatives(self, credits: tuple[float, ...]) -> list[int]:
        """Add one variable for each credit, whose sum is at most 1; return their columns."""
        columns = []
        for credit in credits:
            columns.append(len(self._credits))
            self._fraction_entries.append((self._fraction_row_count, len(self._credits), 1.0))
            self._credits.append(credit)
        self._fraction_row_count += 1
        return columns

    def require_engine_time(
        self, columns: list[int], seconds: float, start: float, end: float
    ) -> None:
        """Require that the fractions in ``columns`` get their engine time from start to end."""
        for column in columns:
            self._demand_entries.append((self._demand_row_count, column, seconds))
        first_step = int(start / STEP_SECONDS)
        last_step = min(int(end / STEP_SECONDS), self._step_count - 1)
        for step in range(first_step, last_step + 1):
            self._demand_entries.append((self._demand_row_count, len(self._credits), -1.0))
            self._capacity_entries.append((step, len(self._credits), 1.0))
            self._credits.append(0.0)
        self._demand_row_count += 1

    def solve(self, capacity: np.ndarray) -> float:
        """Return the maximum credit, given the available engine seconds of each time step."""
        column_count = len(self._credits)
        matrix = sparse.vstack(
            [
                _to_matrix(self._fraction_entries, self._fraction_row_count, column_count),
                _to_matrix(self._demand_entries, self._demand_row_count, column_count),
                _to_matrix(self._capacity_entries, self._step_count, column_count),
            ]
        )
        limits = np.concatenate(
            [np.ones(self._fraction_row_count), np.zeros(self._demand_row_count), capacity]
        )
        solution = optimize.linprog(
            -np.array(self._credits), A_ub=matrix, b_ub=limits, bounds=(0, None), method="highs"
        )
        return -solution.fun


def _subtract_lost_capacity(
    capacity: np.ndarray,
    deployment: workloads.Deployment,
    disturbance: workloads.Disturbance,
    arrival_seconds: float,
) -> None:
    """Subtract the engine time that a disturbance removes, for the time steps within it."""
    match disturbance:
        case workloads.EngineCrash():
            lost_engines, start, duration = (
                deployment.count_engines(disturbance.engine_ratio),
                disturbance.start_seconds,
                disturbance.downtime_seconds,
            )
        case workloads.EngineSlowdown():
            slow_engines = deployment.count_engines(disturbance.engine_ratio)
            lost_engines, start, duration = (
                slow_engines * (1 - 1 / disturbance.slowdown_factor),
                disturbance.start_seconds,
                disturbance.duration_seconds,
            )
        case workloads.EngineDrain():
            lost_engines = deployment.count_engines(disturbance.engine_ratio)
            # Drained engines do not restart before the end of the run.
            start, duration = (
                disturbance.start_seconds + disturbance.drain_seconds,
                2 * arrival_seconds,
            )
        case _:
            return
    first_step, last_step = int(start / STEP_SECONDS) + 1, int((start + duration) / STEP_SECONDS)
    capacity[first_step:last_step] -= lost_engines * STEP_SECONDS


def _to_matrix(
    entries: list[tuple[int, int, float]], row_count: int, column_count: int
) -> sparse.csr_matrix:
    row_indices, column_indices, values = zip(*entries, strict=True)
    return sparse.csr_matrix(
        (values, (row_indices, column_indices)), shape=(row_count, column_count)
    )
