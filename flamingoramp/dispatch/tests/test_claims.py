"""Tests of the claim table: each key is granted to at most one request."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.dispatch import claims
from flamingoramp.intent import commands


def claim_command(key: str, request: str = "r1", now: float = 0.0, **changes) -> commands.MakeClaim:
    """Return a command that claims a key."""
    values = {"workspace": "w", "fingerprint": "f", "entry": "e", "deadline": now + 10.0}
    return commands.MakeClaim(request_id=request, key=key, now=now, **(values | changes))


def outcome_command(
    key: str, outcome: str, request: str = "r1", now: float = 1.0
) -> commands.SettleClaim:
    """Return a command that records an outcome for a key."""
    return commands.SettleClaim(request, "w", key, outcome, 200, "body", now)


class TestClaims(unittest.TestCase):
    """Result of claiming a key, by what the table holds for it."""

    def setUp(self):
        self.table = claims.ClaimTable(claims.ClaimLimits(max_claims=3, retention_seconds=100.0))

    def assert_status(self, command: commands.MakeClaim, status: claims.ClaimStatus) -> None:
        self.assertEqual(self.table.make_claim(command).status, status)

    def test_claimed_key_is_in_progress_until_deadline_then_unknown(self):
        self.assert_status(claim_command("k"), claims.ClaimStatus.GRANTED)
        self.assert_status(claim_command("k", "r2", 5.0), claims.ClaimStatus.IN_PROGRESS)
        self.assert_status(claim_command("k", "r2", 12.0), claims.ClaimStatus.UNKNOWN)

    def test_resent_claim_of_same_request_is_granted(self):
        self.assert_status(claim_command("k"), claims.ClaimStatus.GRANTED)
        self.assert_status(claim_command("k"), claims.ClaimStatus.GRANTED)

    def test_key_with_outcome_returns_first_recorded_outcome(self):
        self.table.make_claim(claim_command("k"))
        self.table.record_outcome(outcome_command("k", "done"))
        self.table.record_outcome(outcome_command("k", "outcome_unknown"))
        result = self.table.make_claim(claim_command("k", "r2", 5.0))
        self.assertEqual(result.status, claims.ClaimStatus.RECORDED)
        self.assertEqual((result.claim.outcome, result.claim.body), ("done", "body"))

    def test_key_issued_in_the_future_is_never_granted_twice(self):
        claimed_at = 1_700_000_000.0
        key = f"{int(claimed_at) + 60}-a"
        self.assert_status(claim_command(key, now=claimed_at), claims.ClaimStatus.GRANTED)
        for elapsed_seconds in range(0, 400, 5):
            result = self.table.make_claim(claim_command(key, "r2", claimed_at + elapsed_seconds))
            self.assertNotEqual(result.status, claims.ClaimStatus.GRANTED, elapsed_seconds)

    def test_outcome_not_run_allows_new_claim(self):
        self.table.make_claim(claim_command("k"))
        self.table.record_outcome(outcome_command("k", "not_run"))
        self.assert_status(claim_command("k", "r2"), claims.ClaimStatus.GRANTED)

    def test_outcome_of_another_request_is_ignored(self):
        self.table.make_claim(claim_command("k"))
        self.table.record_outcome(outcome_command("k", "not_run", request="r9"))
        self.assert_status(claim_command("k", "r2"), claims.ClaimStatus.IN_PROGRESS)

    def test_full_table_refuses_claims_until_old_ones_expire(self):
        for number in range(3):
            self.assert_status(
                claim_command(f"k{number}", f"r{number}"), claims.ClaimStatus.GRANTED
            )
        self.assert_status(claim_command("k4", "r4"), claims.ClaimStatus.FULL)
        self.assert_status(claim_command("k5", "r5", 200.0), claims.ClaimStatus.GRANTED)
        self.assertEqual(len(self.table), 1)

    def test_key_with_issue_time_is_expired_after_retention(self):
        key = "1000000000-x"
        now = 1_000_000_000.0
        self.assert_status(claim_command(key, now=now), claims.ClaimStatus.GRANTED)
        self.assert_status(claim_command(key, "r2", now + 500), claims.ClaimStatus.EXPIRED)

    def test_key_with_other_content_is_reused(self):
        self.table.make_claim(claim_command("k"))
        self.assert_status(claim_command("k", "r2", fingerprint="g"), claims.ClaimStatus.REUSED)

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
    def test_random_commands_grant_each_key_to_one_request_at_a_time(self, steps):
        """A key is granted to a second request only after the outcome ``not_run`` of the first."""
        table = claims.ClaimTable(claims.ClaimLimits())
        granted_requests: dict[str, str] = {}
        now = 0.0
        for action, key, number, pause_seconds in steps:
            now += pause_seconds
            request = f"r{number}"
            if action == "make":
                granted = (
                    table.make_claim(claim_command(key, request, now)).status
                    is claims.ClaimStatus.GRANTED
                )
                self.assertEqual(granted, granted_requests.get(key, request) == request and granted)
                if key not in granted_requests:
                    self.assertTrue(granted)
                if granted:
                    granted_requests[key] = request
            else:
                outcome = {"unknown": "outcome_unknown"}.get(action, action)
                recorded = table.record_outcome(outcome_command(key, outcome, request, now))
                if recorded and action == "not_run":
                    del granted_requests[key]
