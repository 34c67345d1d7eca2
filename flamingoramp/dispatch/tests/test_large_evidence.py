"""Tests of crash evidence on prompts of very many parts: what it says, and how long that takes."""

from __future__ import annotations

import gc
import random
import time
import unittest

from flamingoramp.dispatch import crash_evidence
from flamingoramp.membership import registry, subscriptions
from flamingoramp.protocol import messages

PART_COUNT = 1000
# Longest step on the event loop of an entry for one request: a tenth of the shortest objective.
MAX_STEP_SECONDS = 0.0125
# Processor time of eight times the parts against that of the parts; 64 in a quadratic step.
MAX_GROWTH = 24.0
REPEAT_COUNT = 5
SEED_COUNT = 150
STEPS_PER_SEED = 40
FINGERPRINTS = ("a", "b", "c", "part-p", "part-q", "part-r", "part-s")
SERVER_COUNT = 6


def find_by_definition(
    evidence: crash_evidence.CrashEvidence,
    fingerprints: tuple[str, ...],
    server_count: int,
    *,
    with_unconfirmed: bool,
) -> str:
    """Return what `find_quarantined` has to, pair by pair as its module describes it."""
    for fingerprint in fingerprints:
        ends = {
            run: end
            for run, end in evidence._ends.get(fingerprint, {}).items()
            if with_unconfirmed or end.is_confirmed
        }
        limit = crash_evidence.QUARANTINE_END_COUNT
        if fingerprint in evidence._answered_at:
            limit = crash_evidence.QUARANTINE_END_COUNT_AFTER_ANSWERS
        if len(ends) < limit:
            continue
        is_content = fingerprint == fingerprints[0]
        if is_content and fingerprint not in evidence._answered_at:
            repeated = {
                run
                for other, other_ends in evidence._ends.items()
                if _has_rounds(other_ends, crash_evidence.QUARANTINE_END_COUNT)
                and not other.startswith(crash_evidence.PART_PREFIX)
                for run in other_ends
            }
            count = _count(evidence, fingerprint, ends, server_count, True, left_out=repeated)
            limit_of_rounds = crash_evidence.UNANSWERED_ROUND_COUNT
            if _has_rounds(ends, limit_of_rounds) and count >= limit_of_rounds:
                return fingerprint
        for run in list(ends):
            if any(
                other not in fingerprints
                and run in other_ends
                and _explains(other, other_ends, fingerprint, len_of=ends, is_content=is_content)
                for other, other_ends in evidence._ends.items()
            ):
                ends[run] = None
        ends = {run: end for run, end in ends.items() if end is not None}
        if ends and _count(evidence, fingerprint, ends, server_count, is_content) >= limit:
            return fingerprint
    return ""


def _explains(other, other_ends, fingerprint, *, len_of, is_content) -> bool:
    if len(other_ends) != len(len_of):
        return len(other_ends) > len(len_of)
    other_is_content = not other.startswith(crash_evidence.PART_PREFIX)
    return not (is_content and other_is_content and fingerprint < other)


def _has_rounds(ends, count) -> bool:
    return len(crash_evidence.split_rounds(ends.values())) >= count


def _count(evidence, fingerprint, ends, server_count, is_content, *, left_out=frozenset()) -> int:
    others = [
        at
        for run, at in evidence._ended_at.items()
        if run not in evidence._ends[fingerprint] and run not in left_out
    ]
    margin = crash_evidence.COMMON_CAUSE_SECONDS
    count = moment_count = 0
    moment_began_at = float("-inf")
    for ends_of_round in crash_evidence.split_rounds(ends.values()):
        first, last = ends_of_round[0].ended_at, ends_of_round[-1].ended_at
        other_count = sum(first - margin <= at <= last + margin for at in others)
        share = (other_count + len(ends_of_round)) / server_count
        is_common = other_count > max(crash_evidence.MIN_COMMON_CAUSE_ENDS, len(ends_of_round))
        if is_common and share >= crash_evidence.COMMON_CAUSE_RATIO:
            continue
        if is_content and not other_count:
            count += len(ends_of_round)
            continue
        if first > moment_began_at + crash_evidence.MOMENT_SECONDS:
            moment_began_at, moment_count = first, 0
        moment_count += 1
        count += moment_count <= crash_evidence.MAX_ROUNDS_PER_MOMENT
    return count


class TestFindings(unittest.TestCase):
    """Generated ends, answers and reports at an entry."""

    def make_change(
        self, rng: random.Random, evidence: crash_evidence.CrashEvidence, now: float
    ) -> None:
        run = (f"s{rng.randrange(SERVER_COUNT)}", rng.randrange(3))
        content = rng.choice(FINGERPRINTS[:3])
        parts = rng.sample(FINGERPRINTS[3:], rng.randrange(4))
        fingerprints = (content, *parts)
        match rng.randrange(10):
            case 0 | 1 | 2 | 3:
                evidence.record_break(run, fingerprints, sent_at=now - rng.random(), now=now)
                if rng.random() < 0.7:
                    evidence.confirm(run)
            case 4:
                evidence.withdraw(run)
            case 5:
                evidence.record_answer(rng.choice((fingerprints, (content,))), now)
            case 6:
                evidence.evict_expired(now)
            case _:
                evidence.apply_records(
                    [
                        messages.CrashRecord(
                            name,
                            *run,
                            age=rng.random(),
                            seconds=rng.random(),
                            is_clearance=rng.random() < 0.05,
                        )
                        for name in fingerprints
                    ],
                    now,
                )

    def test_findings_are_those_of_the_definition(self):
        found: set[str] = set()
        for seed in range(SEED_COUNT):
            rng = random.Random(seed)
            evidence = crash_evidence.CrashEvidence(lambda _server: SERVER_COUNT)
            now = 0.0
            for step in range(STEPS_PER_SEED):
                now += rng.choice((0.01, 0.2, 1.0, 3.0))
                self.make_change(rng, evidence, now)
                request = (
                    rng.choice(FINGERPRINTS[:3]),
                    *rng.sample(FINGERPRINTS[3:], rng.randrange(5)),
                )
                for with_unconfirmed in (False, True):
                    with self.subTest(seed=seed, step=step, request=request):
                        expected = find_by_definition(
                            evidence, request, SERVER_COUNT, with_unconfirmed=with_unconfirmed
                        )
                        result = evidence.find_quarantined(
                            request, with_unconfirmed=with_unconfirmed
                        )
                        self.assertEqual(result, expected)
                        found.add(result)
        self.assertGreater(len(found), 4)


class TestBound(unittest.TestCase):
    """More fingerprints than are kept."""

    # Guards against crashing requests that reach servers again, since their many parts have pushed
    # each other's contents out.
    def test_contents_with_very_many_parts_stay_refused(self):
        evidence = crash_evidence.CrashEvidence(lambda _server: 8)
        requests = [
            (f"c{content}", *(f"part-{content}-{number}" for number in range(PART_COUNT)))
            for content in range(6)
        ]
        at = 0.0
        for request in requests:
            for number in range(crash_evidence.QUARANTINE_END_COUNT):
                at += 1.0
                run = (f"s-{request[0]}-{number}", 1)
                evidence.record_break(run, request, sent_at=at - 0.1, now=at)
                evidence.confirm(run)
            evidence.evict_expired(at)
        self.assertEqual(evidence.suspect_count, crash_evidence.MAX_FINGERPRINTS)
        for request in requests:
            self.assertEqual(evidence.find_quarantined(request), request[0])


class TestTime(unittest.TestCase):
    """Processor time of single steps with requests that share very many parts."""

    def setUp(self):
        # A collection takes time in line with all objects of the process.
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def measure(self, part_count: int) -> dict[str, float]:
        """Return the seconds of each kind of step, the shortest of some runs."""
        seconds: dict[str, float] = {}
        for _ in range(REPEAT_COUNT):
            for name, step_seconds in self.run_once(part_count).items():
                seconds[name] = min(step_seconds, seconds.get(name, step_seconds))
        return seconds

    def run_once(self, part_count: int) -> dict[str, float]:
        seconds: dict[str, float] = {}

        def _run(name, function, *arguments, **options):
            began_at = time.process_time()
            result = function(*arguments, **options)
            seconds[name] = max(time.process_time() - began_at, seconds.get(name, 0.0))
            return result

        first, second = (crash_evidence.CrashEvidence(lambda _server: 8) for _ in range(2))
        publisher = subscriptions.Publisher(registry.Registry())
        document = tuple(f"part-{number}" for number in range(part_count))
        for number in range(crash_evidence.QUARANTINE_END_COUNT):
            run = (f"s{number}", 1)
            sent_at = float(number)
            _run(
                "break",
                first.record_break,
                run,
                ("c", *document),
                sent_at=sent_at,
                now=sent_at + 0.5,
            )
            _run("confirm", first.confirm, run)
        records = _run("drain", first.drain_records, 4.0)
        _run("publish", publisher.add_crashes, records, 4.0)
        _run("apply", second.apply_records, records, 4.0)
        for evidence in (first, second):
            _run("find", evidence.find_quarantined, ("d", *document))
            _run("find", evidence.find_quarantined, ("d", *document[part_count // 10 :]))
            _run("find", evidence.find_quarantined, ("d", *document), with_unconfirmed=True)
        _run("list", first.list_records, 4.0)
        _run("answer", first.record_answer, ("d", *document), 5.0)
        _run("clearance", second.apply_records, first.drain_records(5.0), 5.0)
        return seconds

    # Guards against an entry that answers nobody for seconds, since a request has many parts of a
    # prompt that crashed engines.
    def test_step_of_a_request_is_short(self):
        self.assertLess(self.measure(PART_COUNT)["find"], MAX_STEP_SECONDS)

    def test_time_grows_with_the_parts(self):
        few, many = self.measure(PART_COUNT // 4), self.measure(2 * PART_COUNT)
        for name, seconds in many.items():
            with self.subTest(name):
                self.assertLess(seconds, MAX_GROWTH * few[name])
