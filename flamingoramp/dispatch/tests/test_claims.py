"""Tests of claims: at most one dispatch of each key."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.dispatch import claims
from flamingoramp.intent import commands


def make(key: str, request: str = "r1", now: float = 0.0, **changes) -> commands.MakeClaim:
    """Return a claim."""
    values = {"workspace": "w", "fingerprint": "f", "entry": "e", "deadline": now + 10.0}
    return commands.MakeClaim(request_id=request, key=key, now=now, **(values | changes))


def settle(key: str, outcome: str, request: str = "r1", now: float = 1.0) -> commands.SettleClaim:
    """Return an outcome."""
    return commands.SettleClaim(request, "w", key, outcome, 200, "body", now)


class TestClaims(unittest.TestCase):
    """What a repeated key gets."""

    def setUp(self):
        self.table = claims.ClaimTable(claims.ClaimLimits(max_claims=3, retention_seconds=100.0))

    def assert_status(self, command: commands.MakeClaim, status: claims.ClaimStatus) -> None:
        self.assertEqual(self.table.make_claim(command).status, status)

    def test_key_in_progress_then_unknown_after_its_deadline(self):
        self.assert_status(make("k"), claims.ClaimStatus.GRANTED)
        self.assert_status(make("k", "r2", 5.0), claims.ClaimStatus.IN_PROGRESS)
        self.assert_status(make("k", "r2", 12.0), claims.ClaimStatus.UNKNOWN)

    def test_resent_claim_of_the_same_request_is_granted_again(self):
        self.assert_status(make("k"), claims.ClaimStatus.GRANTED)
        self.assert_status(make("k"), claims.ClaimStatus.GRANTED)

    def test_recorded_outcome(self):
        self.table.make_claim(make("k"))
        self.table.record_outcome(settle("k", "done"))
        self.table.record_outcome(settle("k", "outcome_unknown"))
        result = self.table.make_claim(make("k", "r2", 5.0))
        self.assertEqual(result.status, claims.ClaimStatus.RECORDED)
        self.assertEqual((result.claim.outcome, result.claim.body), ("done", "body"))

    def test_key_from_a_clock_ahead_is_never_granted_twice(self):
        made = 1_700_000_000.0
        key = f"{int(made) + 60}-a"
        self.assert_status(make(key, now=made), claims.ClaimStatus.GRANTED)
        for later in range(0, 400, 5):
            result = self.table.make_claim(make(key, "r2", made + later))
            self.assertNotEqual(result.status, claims.ClaimStatus.GRANTED, later)

    def test_not_run_frees_the_key(self):
        self.table.make_claim(make("k"))
        self.table.record_outcome(settle("k", "not_run"))
        self.assert_status(make("k", "r2"), claims.ClaimStatus.GRANTED)

    def test_late_settle_of_another_request_changes_nothing(self):
        self.table.make_claim(make("k"))
        self.table.record_outcome(settle("k", "not_run", request="r9"))
        self.assert_status(make("k", "r2"), claims.ClaimStatus.IN_PROGRESS)

    def test_table_is_bounded(self):
        for number in range(3):
            self.assert_status(make(f"k{number}", f"r{number}"), claims.ClaimStatus.GRANTED)
        self.assert_status(make("k4", "r4"), claims.ClaimStatus.FULL)
        self.assert_status(make("k5", "r5", 200.0), claims.ClaimStatus.GRANTED)
        self.assertEqual(len(self.table), 1)

    def test_dated_key_is_refused_once_forgotten(self):
        key = "1000000000-x"
        now = 1_000_000_000.0
        self.assert_status(make(key, now=now), claims.ClaimStatus.GRANTED)
        self.assert_status(make(key, "r2", now + 500), claims.ClaimStatus.EXPIRED)

    def test_other_content_is_refused(self):
        self.table.make_claim(make("k"))
        self.assert_status(make("k", "r2", fingerprint="g"), claims.ClaimStatus.REUSED)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["make", "done", "unknown", "not_run"]),
                strategies.sampled_from(["k1", "k2"]),
                strategies.integers(0, 4),
                strategies.floats(0, 20),
            ),
            max_size=40,
        )
    )
    def test_against_a_set(self, steps):
        """A key is dispatched again only after it is known not to have run."""
        table = claims.ClaimTable(claims.ClaimLimits())
        dispatched: dict[str, str] = {}
        now = 0.0
        for action, key, number, pause in steps:
            now += pause
            request = f"r{number}"
            if action == "make":
                granted = (
                    table.make_claim(make(key, request, now)).status is claims.ClaimStatus.GRANTED
                )
                self.assertEqual(granted, dispatched.get(key, request) == request and granted)
                if key not in dispatched:
                    self.assertTrue(granted)
                if granted:
                    dispatched[key] = request
            else:
                outcome = {"unknown": "outcome_unknown"}.get(action, action)
                counts = table.record_outcome(settle(key, outcome, request, now))
                if counts and action == "not_run":
                    del dispatched[key]
