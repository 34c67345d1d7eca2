"""Token-bucket retry budgets, which bound the retries of a service to a share of its requests."""

from __future__ import annotations

import random

INITIAL_BALANCE_TOKENS = 10.0
MAX_BALANCE_TOKENS = 200.0
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


class RetryBudget:
    """Token buckets of services: each request adds tokens to one, and each retry spends one."""

    def __init__(self):
        self._tokens: dict[str, float] = {}

    def record_request(self, service: str, ratio: float) -> None:
        """Add ``ratio`` tokens to the bucket of a service for one admitted request."""
        balance = self._tokens.get(service, INITIAL_BALANCE_TOKENS)
        self._tokens[service] = min(MAX_BALANCE_TOKENS, balance + ratio)

    def try_spend(self, service: str) -> bool:
        """Spend the token of one retry; False if the bucket of the service holds none."""
        balance = self._tokens.get(service, INITIAL_BALANCE_TOKENS)
        if balance < 1:
            return False
        self._tokens[service] = balance - 1
        return True


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Return the backoff before an attempt, with jitter; the first retry is attempt 2."""
    max_seconds = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** max(0, attempt - 2))
    return max_seconds * rng.uniform(0.5, 1.0)
