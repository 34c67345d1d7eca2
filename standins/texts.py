"""Deterministic answers of stand-in engines, which callers can verify."""

from __future__ import annotations

import hashlib


def expected_answer(prompt: str, output_tokens: int) -> str:
    """Return the answer to a prompt; each token is a word with the space that follows it."""
    digest = hashlib.blake2b(prompt.encode("utf-8", "surrogatepass"), digest_size=4).hexdigest()
    return "".join(f"{digest}.{number} " for number in range(output_tokens))


def skip_tokens(text: str, start: int, count: int) -> int:
    """Return the offset in characters that is ``count`` tokens after ``start``."""
    for _ in range(count):
        start = text.find(" ", start) + 1 or len(text)
    return start
