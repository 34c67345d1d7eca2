"""Continuous batching of a model engine, as a state machine with stated costs.

A step runs one token of each decoding sequence and one chunk of prefill, in the order of
priorities. Its duration is the sum of both costs.
"""

from __future__ import annotations

import collections
import hashlib

import attrs

CACHED_PREFIXES = 512
FIRST_BLOCK_TOKENS = 1024


@attrs.frozen
class Costs:
    """Costs of an engine; times in seconds, already scaled."""

    memory_tokens: int = 400_000
    slots: int = 64
    prefill_rate: float = 40_000.0
    decode_seconds: float = 0.02
    sequence_seconds: float = 0.0002
    chunk_tokens: int = 4096


@attrs.define
class Sequence:
    """One attempt on the engine."""

    request_id: str
    attempt: int
    priority: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    text: str = ""
    offset: int = 0
    arrived: int = 0
    emitted: int = 0
    prefilled: int = 0
    running: bool = False
    segment: bool = False
    prefix_hashes: tuple[int, ...] = ()

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return (self.request_id, self.attempt)

    @property
    def prefill_left(self) -> int:
        """Tokens still to prefill."""
        return self.prefill_tokens - self.prefilled


@attrs.frozen
class Step:
    """Work of one step."""

    seconds: float
    chunks: tuple[tuple[tuple[str, int], int], ...]
    decoding: tuple[tuple[str, int], ...]


def expected_answer(prompt: str, output_tokens: int) -> str:
    """Return the text that the engine generates for a prompt."""
    digest = hashlib.blake2b(prompt.encode("utf-8", "surrogatepass"), digest_size=4).hexdigest()
    return "".join(f"{digest}.{number} " for number in range(output_tokens))


class Batch:
    """Sequences that run or wait on one engine."""

    def __init__(self, costs: Costs):
        self._costs = costs
        self._sequences: dict[tuple[str, int], Sequence] = {}
        self._arrivals = 0
        self._prefixes: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.cached: list[int] = []
        self.evicted: list[int] = []

    @property
    def memory_used(self) -> int:
        """Tokens that running sequences hold."""
        return sum(one.memory_tokens for one in self._sequences.values() if one.running)

    @property
    def running(self) -> int:
        """Number of running sequences."""
        return sum(one.running for one in self._sequences.values())

    @property
    def waiting(self) -> int:
        """Number of waiting sequences."""
        return len(self._sequences) - self.running

    def find(self, key: tuple[str, int]) -> Sequence | None:
        """Return a sequence."""
        return self._sequences.get(key)

    def fits(self, sequence: Sequence) -> bool:
        """Tell whether a sequence could ever run here."""
        return sequence.memory_tokens <= self._costs.memory_tokens

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence and start it if memory allows."""
        self._arrivals += 1
        sequence.arrived = self._arrivals
        sequence.prefilled = min(self._cached_tokens(sequence), sequence.prefill_tokens - 1)
        self._sequences[sequence.key] = sequence
        self._admit()

    def remove(self, key: tuple[str, int]) -> Sequence | None:
        """Take a sequence out and give its memory back."""
        sequence = self._sequences.pop(key, None)
        self._admit()
        return sequence

    def next_step(self) -> Step | None:
        """Return the work of the next step, None if there is nothing to do."""
        running = [one for one in self._sequences.values() if one.running]
        decoding = [one for one in running if not one.prefill_left and not one.segment]
        budget = self._costs.chunk_tokens
        chunks = []
        for one in sorted(running, key=lambda one: (one.priority, one.arrived)):
            tokens = min(budget, one.prefill_left)
            if tokens:
                chunks.append((one.key, tokens))
                budget -= tokens
        if not decoding and not chunks:
            return None
        seconds = sum(tokens for _, tokens in chunks) / self._costs.prefill_rate
        if decoding:
            seconds += self._costs.decode_seconds
        seconds += self._costs.sequence_seconds * len(running)
        return Step(seconds, tuple(chunks), tuple(one.key for one in decoding))

    def finish_step(self, step: Step) -> list[tuple[Sequence, int, str]]:
        """Carry out a step.

        Returns
        -------
        list of (Sequence, int, str)
            Sequences with the offset and the text that they emitted; an empty text tells that a
            segment's prefill is done.
        """
        emitted = []
        for key, tokens in step.chunks:
            sequence = self._sequences.get(key)
            if sequence is None:
                continue
            sequence.prefilled += tokens
            if not sequence.prefill_left:
                self._remember(sequence)
                emitted.append(self._emit(sequence))
        for key in step.decoding:
            sequence = self._sequences.get(key)
            if sequence is not None and sequence.emitted < len(sequence.text):
                emitted.append(self._emit(sequence))
        return emitted

    def _emit(self, sequence: Sequence) -> tuple[Sequence, int, str]:
        if sequence.segment:
            return sequence, 0, ""
        start = sequence.emitted
        end = sequence.text.find(" ", start) + 1 or len(sequence.text)
        sequence.emitted = end
        return sequence, start, sequence.text[start:end]

    def _admit(self) -> None:
        free = self._costs.memory_tokens - self.memory_used
        slots = self._costs.slots - self.running
        waiting = [one for one in self._sequences.values() if not one.running]
        for one in sorted(waiting, key=lambda one: (one.priority, one.arrived)):
            if one.memory_tokens > free or slots <= 0:
                return
            one.running = True
            free -= one.memory_tokens
            slots -= 1

    def _cached_tokens(self, sequence: Sequence) -> int:
        for position in range(len(sequence.prefix_hashes) - 1, -1, -1):
            if sequence.prefix_hashes[position] in self._prefixes:
                self._prefixes.move_to_end(sequence.prefix_hashes[position])
                return FIRST_BLOCK_TOKENS << position
        return 0

    def _remember(self, sequence: Sequence) -> None:
        if sequence.segment:
            return
        for prefix in sequence.prefix_hashes:
            if prefix not in self._prefixes:
                self.cached.append(prefix)
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            prefix, _ = self._prefixes.popitem(last=False)
            self.evicted.append(prefix)
