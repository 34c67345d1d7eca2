"""The texts that stand-in engines write."""

from __future__ import annotations

import hashlib


def expected_answer(prompt: str, output_tokens: int) -> str:
    """Return the text that an engine writes for a prompt; a word and a space is a token."""
    digest = hashlib.blake2b(prompt.encode("utf-8", "surrogatepass"), digest_size=4).hexdigest()
    return "".join(f"{digest}.{number} " for number in range(output_tokens))


def skip_words(text: str, start: int, count: int) -> int:
    """Return the offset after some words."""
    for _ in range(count):
        start = text.find(" ", start) + 1 or len(text)
    return start
