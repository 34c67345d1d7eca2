"""Retry budgets: retries stay a bounded share of the requests of a service and a workspace."""

from __future__ import annotations

import random

INITIAL_BALANCE_TOKENS = 10.0
LARGEST_RESERVE = 200.0
BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


class RetryBudget:
    """Tokens that requests earn and retries spend."""

    def __init__(self):
        self._tokens: dict[str, float] = {}

    def record_request(self, name: str, ratio: float) -> None:
        """Credit one admitted request."""
        held = self._tokens.get(name, INITIAL_BALANCE_TOKENS)
        self._tokens[name] = min(LARGEST_RESERVE, held + ratio)

    def try_spend(self, name: str) -> bool:
        """Take one retry; False if the budget is used up."""
        held = self._tokens.get(name, INITIAL_BALANCE_TOKENS)
        if held < 1:
            return False
        self._tokens[name] = held - 1
        return True


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Return how long to wait before an attempt, with jitter."""
    longest = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2 ** max(0, attempt - 2))
    return longest * rng.uniform(0.5, 1.0)
