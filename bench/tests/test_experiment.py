"""Tests of the experiments: workloads, simulated runs, the credit bound and policies."""

from __future__ import annotations

import random
import unittest

import attrs

from bench.experiment import bounds, callers, figures, main, simulation, workloads
from flamingoramp.routing import placement

HANBIT_DEPLOYMENT = workloads.DEPLOYMENTS["hanbit"]
CALM_PATTERN = workloads.PATTERNS["calm"]
ARRIVAL_SECONDS = 8.0


def run_simulation(
    pattern: workloads.LoadPattern, *, seed: int = 1, **changes
) -> simulation.RunResult:
    """Run a short simulation of the deployment hanbit with changed fields."""
    deployment = attrs.evolve(HANBIT_DEPLOYMENT, **changes)
    return simulation.Simulation(
        deployment, pattern, arrival_seconds=ARRIVAL_SECONDS, seed=seed
    ).run()


def make_single_kind(kind: workloads.Kind, **changes) -> tuple[workloads.Kind, ...]:
    """Return a tuple that holds one kind of request, with changed fields."""
    return (attrs.evolve(kind, **changes),)


class TestWorkloads(unittest.TestCase):
    """Arrivals that are drawn from a deployment and a load pattern."""

    def draw(self, pattern: workloads.LoadPattern, seconds: float = 400.0):
        return workloads.draw_arrivals(
            HANBIT_DEPLOYMENT, pattern, seconds=seconds, rng=random.Random(5)
        )

    def test_arrival_rate_of_each_kind_is_that_of_the_deployment(self):
        arrivals = self.draw(CALM_PATTERN)
        for kind in HANBIT_DEPLOYMENT.request_kinds:
            rate = sum(arrival.kind is kind for arrival in arrivals) / 400.0
            self.assertAlmostEqual(rate / kind.requests_per_second, 1.0, delta=0.2)

    def test_drawn_lengths_have_the_mean_of_the_distribution(self):
        distribution = workloads.LengthDistribution(5000, 0.9, 1e9)
        rng = random.Random(1)
        mean = sum(distribution.draw(rng) for _ in range(20_000)) / 20_000
        self.assertAlmostEqual(mean / 5000, 1.0, delta=0.05)

    def test_burst_multiplies_the_rate_of_its_kind(self):
        burst = workloads.Burst(100.0, 100.0, 3.0, workloads.SHORT_KIND_NAME)
        arrivals = self.draw(attrs.evolve(CALM_PATTERN, disturbances=(burst,)))
        short_arrivals = [
            arrival for arrival in arrivals if arrival.kind.name == workloads.SHORT_KIND_NAME
        ]
        count_during = sum(100 <= arrival.arrived_at < 200 for arrival in short_arrivals)
        count_before = sum(arrival.arrived_at < 100 for arrival in short_arrivals)
        self.assertAlmostEqual(count_during / count_before, 3.0, delta=0.4)

    def test_same_seed_gives_the_same_arrivals(self):
        self.assertEqual(self.draw(CALM_PATTERN, 10.0), self.draw(CALM_PATTERN, 10.0))


class TestRuns(unittest.TestCase):
    """Simulated runs with production routing."""

    def test_latency_of_lone_short_requests_is_that_of_the_cost_model(self):
        event_count = workloads.LengthDistribution(5, 0.0, 5)
        prompt_tokens = workloads.LengthDistribution(5000, 0.0, 5000)
        kinds = make_single_kind(
            HANBIT_DEPLOYMENT.request_kinds[0],
            requests_per_second=0.5,
            prompt_tokens=prompt_tokens,
            event_count=event_count,
        )
        result = run_simulation(
            attrs.evolve(CALM_PATTERN, rate_amplitude_ratio=0.0), request_kinds=kinds
        )
        prefill_seconds = HANBIT_DEPLOYMENT.cost_model.prefill_seconds(5000)
        overhead_seconds = (
            4 * HANBIT_DEPLOYMENT.caller_delay_seconds + callers.ENTRY_PROCESSING_SECONDS
        )
        for record in result.records:
            self.assertIs(record.outcome, callers.Outcome.ON_TIME)
            self.assertAlmostEqual(
                record.first_token_seconds, prefill_seconds + overhead_seconds, delta=0.01
            )
            self.assertAlmostEqual(
                record.longest_gap_seconds,
                HANBIT_DEPLOYMENT.cost_model.decode_pass_seconds,
                delta=0.01,
            )

    def test_very_long_prompt_is_prefilled_by_several_engines(self):
        kinds = make_single_kind(
            HANBIT_DEPLOYMENT.request_kinds[2],
            requests_per_second=0.1,
            prompt_tokens=workloads.LengthDistribution(500_000, 0.0, 500_000),
        )
        result = run_simulation(CALM_PATTERN, request_kinds=kinds, seed=3)
        one_engine_seconds = HANBIT_DEPLOYMENT.cost_model.prefill_seconds(500_000)
        self.assertTrue(result.records)
        for record in result.records:
            self.assertLess(record.first_token_seconds, one_engine_seconds / 4)
            self.assertIs(record.outcome, callers.Outcome.ON_TIME)

    def test_calm_run_earns_almost_all_credit(self):
        result = run_simulation(CALM_PATTERN)
        self.assertGreater(len(result.records), 80)
        self.assertGreater(figures.credit_ratio(result.records), 0.95)

    def test_engine_crashes_fail_at_most_two_requests(self):
        crash = workloads.EngineCrash(3.0, 3.0, 0.2)
        result = run_simulation(attrs.evolve(CALM_PATTERN, disturbances=(crash,)))
        failed = [record for record in result.records if record.outcome is callers.Outcome.FAILED]
        self.assertLessEqual(len(failed), 2)

    def test_drained_engines_fail_at_most_one_request_and_leave_none_waiting(self):
        drain = workloads.EngineDrain(2.0, 3.0, 0.3)
        simulated = simulation.Simulation(
            HANBIT_DEPLOYMENT,
            attrs.evolve(CALM_PATTERN, disturbances=(drain,)),
            arrival_seconds=ARRIVAL_SECONDS,
            seed=1,
        )
        result = simulated.run()
        for engine in simulated.fleet.engines:
            self.assertEqual(engine.waiting_count, 0)
        failed = [record for record in result.records if record.outcome is callers.Outcome.FAILED]
        self.assertLessEqual(len(failed), 1)

    def test_same_seed_gives_the_same_first_token_times(self):
        first, second = run_simulation(CALM_PATTERN, seed=4), run_simulation(CALM_PATTERN, seed=4)
        times = [
            [record.first_token_seconds for record in result.records] for result in (first, second)
        ]
        self.assertEqual(*times)

    def test_median_prediction_error_of_a_calm_run_is_below_30_ms(self):
        summary = figures.summarize(run_simulation(CALM_PATTERN))
        for kind in summary["kinds"].values():
            self.assertLess(abs(kind["prediction_error"]["p50"]), 0.03)

    def test_engines_hold_no_memory_after_the_run(self):
        simulated = simulation.Simulation(
            HANBIT_DEPLOYMENT,
            workloads.PATTERNS["long-burst"],
            arrival_seconds=ARRIVAL_SECONDS,
            seed=2,
        )
        simulated.run()
        self.assertEqual(
            [engine.used_memory_tokens for engine in simulated.fleet.engines], [0] * 14
        )


class TestBound(unittest.TestCase):
    """Upper bound on the credit that any policy can earn."""

    def credit_bound(self, arrivals: list[workloads.Arrival], **engines_by_zone: int) -> float:
        deployment = attrs.evolve(
            HANBIT_DEPLOYMENT, engines_by_zone=engines_by_zone or HANBIT_DEPLOYMENT.engines_by_zone
        )
        return bounds.max_credit_ratio(
            deployment, CALM_PATTERN, arrivals, arrival_seconds=ARRIVAL_SECONDS
        )

    def test_bound_is_1_at_low_load(self):
        kind = HANBIT_DEPLOYMENT.request_kinds[0]
        arrivals = [workloads.Arrival(1.0 * number, kind, "a", 5000, 30) for number in range(5)]
        self.assertAlmostEqual(self.credit_bound(arrivals), 1.0)

    def test_bound_counts_late_credit_if_one_engine_cannot_prefill_all_in_time(self):
        # Each prefill takes 5 s of one engine, and two arrive together: one of them is late.
        kind = attrs.evolve(
            HANBIT_DEPLOYMENT.request_kinds[2], latency_objective_seconds=5.0, timeout_seconds=60.0
        )
        arrivals = [workloads.Arrival(0.0, kind, "a", 208_000, 1) for _ in range(2)]
        expected = (kind.on_time_credit + kind.late_credit) / (2 * kind.on_time_credit)
        self.assertAlmostEqual(self.credit_bound(arrivals, a=1), expected, delta=0.05)

    def test_simulated_runs_do_not_exceed_the_bound(self):
        for name in ("phases", "losses"):
            pattern = workloads.PATTERNS[name]
            result = run_simulation(pattern, seed=6)
            arrivals = [record.arrival for record in result.records]
            bound = bounds.max_credit_ratio(
                HANBIT_DEPLOYMENT, pattern, arrivals, arrival_seconds=ARRIVAL_SECONDS
            )
            self.assertLessEqual(figures.credit_ratio(result.records), bound + 1e-6)


class TestPolicies(unittest.TestCase):
    """Policies, which set module constants, and the tasks that use them."""

    def test_same_task_gives_the_same_summary(self):
        task = main.Task("hanbit", "mixed", main.Policy("present"), 1, 1.3, False)
        self.assertEqual(main.run_task(task), main.run_task(task))

    def test_apply_sets_a_constant_by_its_path(self):
        original_ratio = placement.FREE_SHARE
        self.addCleanup(setattr, placement, "FREE_SHARE", original_ratio)
        main.Policy("p", (("routing.placement.FREE_SHARE", 0.9),)).apply()
        self.assertEqual(placement.FREE_SHARE, 0.9)

    def test_apply_raises_value_error_for_an_unknown_constant(self):
        with self.assertRaises(ValueError):
            main.Policy("p", (("routing.placement.NO_SUCH", 1.0),)).apply()
