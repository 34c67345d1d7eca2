"""Tests of the experiment tool: its engines, callers, workloads and bound."""

from __future__ import annotations

import random
import unittest

import attrs

from bench.experiment import bounds, callers, figures, main, simulation, workloads
from flamingoramp.routing import placement

HANBIT = workloads.DEPLOYMENTS["hanbit"]
CALM = workloads.PATTERNS["calm"]
SECONDS = 8.0


def play(pattern: workloads.LoadPattern, *, seed: int = 1, **changes) -> simulation.RunResult:
    """Play a short run."""
    deployment = attrs.evolve(HANBIT, **changes)
    return simulation.Simulation(deployment, pattern, arrival_seconds=SECONDS, seed=seed).run()


def only(kind: workloads.RequestKind, **changes) -> tuple[workloads.RequestKind, ...]:
    """Return one kind with changes."""
    return (attrs.evolve(kind, **changes),)


class TestWorkloads(unittest.TestCase):
    """What arrives, and when."""

    def draw(self, pattern: workloads.LoadPattern, seconds: float = 400.0):
        return workloads.draw_arrivals(HANBIT, pattern, seconds=seconds, rng=random.Random(5))

    def test_rates_are_as_stated(self):
        arrivals = self.draw(CALM)
        for kind in HANBIT.request_kinds:
            found = sum(one.kind is kind for one in arrivals) / 400.0
            self.assertAlmostEqual(found / kind.requests_per_second, 1.0, delta=0.2)

    def test_lengths_have_the_stated_mean(self):
        length = workloads.LengthDistribution(5000, 0.9, 1e9)
        rng = random.Random(1)
        mean = sum(length.draw(rng) for _ in range(20_000)) / 20_000
        self.assertAlmostEqual(mean / 5000, 1.0, delta=0.05)

    def test_a_burst_multiplies_one_kind(self):
        burst = workloads.Burst(100.0, 100.0, 3.0, workloads.SHORT)
        arrivals = self.draw(attrs.evolve(CALM, disturbances=(burst,)))
        short = [one for one in arrivals if one.kind.name == workloads.SHORT]
        inside = sum(100 <= one.arrived_at < 200 for one in short)
        before = sum(one.arrived_at < 100 for one in short)
        self.assertAlmostEqual(inside / before, 3.0, delta=0.4)

    def test_a_seed_gives_the_same_arrivals(self):
        self.assertEqual(self.draw(CALM, 10.0), self.draw(CALM, 10.0))


class TestRuns(unittest.TestCase):
    """Whole runs through the real decisions."""

    def test_a_short_prompt_alone_takes_as_long_as_the_model_says(self):
        answer = workloads.LengthDistribution(5, 0.0, 5)
        prompt = workloads.LengthDistribution(5000, 0.0, 5000)
        kinds = only(
            HANBIT.request_kinds[0],
            requests_per_second=0.5,
            prompt_tokens=prompt,
            event_count=answer,
        )
        run = play(attrs.evolve(CALM, rate_amplitude_ratio=0.0), request_kinds=kinds)
        expected = HANBIT.cost_model.prefill_seconds(5000)
        network = 4 * HANBIT.caller_delay_seconds + callers.ENTRY_PROCESSING_SECONDS
        for record in run.records:
            self.assertIs(record.outcome, callers.Outcome.ON_TIME)
            self.assertAlmostEqual(record.first_token_seconds, expected + network, delta=0.01)
            self.assertAlmostEqual(
                record.longest_gap_seconds, HANBIT.cost_model.decode_pass_seconds, delta=0.01
            )

    def test_a_giant_is_read_by_several_engines(self):
        kinds = only(
            HANBIT.request_kinds[2],
            requests_per_second=0.1,
            prompt_tokens=workloads.LengthDistribution(500_000, 0.0, 500_000),
        )
        run = play(CALM, request_kinds=kinds, seed=3)
        alone = HANBIT.cost_model.prefill_seconds(500_000)
        self.assertTrue(run.records)
        for record in run.records:
            self.assertLess(record.first_token_seconds, alone / 4)
            self.assertIs(record.outcome, callers.Outcome.ON_TIME)

    def test_every_request_ends_and_calm_ones_are_on_time(self):
        run = play(CALM)
        self.assertGreater(len(run.records), 80)
        self.assertGreater(figures.credit_ratio(run.records), 0.95)

    def test_crashed_engines_cost_little(self):
        loss = workloads.EngineCrash(3.0, 3.0, 0.2)
        run = play(attrs.evolve(CALM, disturbances=(loss,)))
        failed = [one for one in run.records if one.outcome is callers.Outcome.FAILED]
        self.assertLessEqual(len(failed), 2)

    def test_leaving_engines_get_nothing_new(self):
        leave = workloads.EngineDrain(2.0, 3.0, 0.3)
        made = simulation.Simulation(
            HANBIT, attrs.evolve(CALM, disturbances=(leave,)), arrival_seconds=SECONDS, seed=1
        )
        run = made.run()
        for engine in made.fleet.engines:
            self.assertEqual(engine.waiting_count, 0)
        failed = [one for one in run.records if one.outcome is callers.Outcome.FAILED]
        self.assertLessEqual(len(failed), 1)

    def test_a_seed_repeats_a_run(self):
        first, second = play(CALM, seed=4), play(CALM, seed=4)
        times = [[one.first_token_seconds for one in run.records] for run in (first, second)]
        self.assertEqual(*times)

    def test_predictions_of_a_calm_run_are_close(self):
        summary = figures.summarize(play(CALM))
        for kind in summary["kinds"].values():
            self.assertLess(abs(kind["prediction_error"]["p50"]), 0.03)

    def test_memory_comes_back(self):
        made = simulation.Simulation(
            HANBIT, workloads.PATTERNS["long-burst"], arrival_seconds=SECONDS, seed=2
        )
        made.run()
        self.assertEqual([one.used_memory_tokens for one in made.fleet.engines], [0] * 14)


class TestBound(unittest.TestCase):
    """What no policy can exceed."""

    def bound(self, arrivals: list[workloads.Arrival], **engines: int) -> float:
        deployment = attrs.evolve(HANBIT, engines_by_zone=engines or HANBIT.engines_by_zone)
        return bounds.max_credit_ratio(deployment, CALM, arrivals, arrival_seconds=SECONDS)

    def test_little_load_can_all_be_on_time(self):
        kind = HANBIT.request_kinds[0]
        arrivals = [workloads.Arrival(1.0 * n, kind, "a", 5000, 30) for n in range(5)]
        self.assertAlmostEqual(self.bound(arrivals), 1.0)

    def test_what_one_engine_can_not_read_in_time_is_late(self):
        # Each takes 5 s of one engine, and two arrive at once: one of them is late.
        kind = attrs.evolve(
            HANBIT.request_kinds[2], latency_objective_seconds=5.0, timeout_seconds=60.0
        )
        arrivals = [workloads.Arrival(0.0, kind, "a", 208_000, 1) for _ in range(2)]
        expected = (kind.on_time_credit + kind.late_credit) / (2 * kind.on_time_credit)
        self.assertAlmostEqual(self.bound(arrivals, a=1), expected, delta=0.05)

    def test_runs_stay_below_it(self):
        for pattern in ("phases", "losses"):
            chosen = workloads.PATTERNS[pattern]
            run = play(chosen, seed=6)
            arrivals = [one.arrival for one in run.records]
            bound = bounds.max_credit_ratio(HANBIT, chosen, arrivals, arrival_seconds=SECONDS)
            self.assertLessEqual(figures.credit_ratio(run.records), bound + 1e-6)


class TestPolicies(unittest.TestCase):
    """Variants of the decisions."""

    def test_a_task_repeats(self):
        task = main.Task("hanbit", "mixed", main.Policy("present"), 1, 1.3, False)
        self.assertEqual(main.run_task(task), main.run_task(task))

    def test_a_constant_is_set_by_name(self):
        before = placement.FREE_SHARE
        self.addCleanup(setattr, placement, "FREE_SHARE", before)
        main.Policy("p", (("routing.placement.FREE_SHARE", 0.9),)).apply()
        self.assertEqual(placement.FREE_SHARE, 0.9)

    def test_a_constant_that_is_not_there_is_refused(self):
        with self.assertRaises(ValueError):
            main.Policy("p", (("routing.placement.NO_SUCH", 1.0),)).apply()
