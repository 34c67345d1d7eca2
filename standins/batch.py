"""Continuous batching of a model engine, as a state machine with stated costs.

The engine works in passes. A pass that writes runs ``stride`` token steps for every sequence that
writes, and reads up to a chunk of prompts in each step; a pass that only reads is one step. The
module knows no clock and no network, so that it runs in virtual time as well as behind HTTP.
"""

from __future__ import annotations

import collections
import enum

import attrs

CACHED_PREFIXES = 512
FIRST_BLOCK_TOKENS = 1024


@attrs.frozen
class Costs:
    """Costs of an engine; times in seconds, already scaled.

    Parameters
    ----------
    memory_tokens, slots : int
    waiting : int
        Requests that wait for a slot or for memory before others are rejected.
    prefill_rate : float
        Prompt tokens read in a second.
    decode_seconds, sequence_seconds, context_seconds, hop_seconds : float
        Of a token step: its base, for each sequence that writes, for each token of their context,
        and for each sequence whose prompt is held by several engines.
    pair_seconds : float
        For each pair of a prompt token and an earlier one.
    chunk_tokens : int
        Prompt tokens read in one step.
    stride : int
        Steps of a pass that writes.
    """

    memory_tokens: int = 400_000
    slots: int = 64
    max_waiting: int = 10_000
    prefill_rate: float = 40_000.0
    decode_seconds: float = 0.02
    sequence_seconds: float = 0.0002
    context_seconds: float = 0.0
    hop_seconds: float = 0.0
    pair_seconds: float = 0.0
    chunk_tokens: int = 4096
    stride: int = 1


class SequenceKind(enum.Enum):
    """What a sequence is: a request, a part that is read and kept, or a part that is only read."""

    REQUEST = "request"
    SEGMENT = "segment"
    PROMPT_PART = "part"


@attrs.define
class Sequence:
    """One attempt on the engine, or part of one.

    Parameters
    ----------
    request_id, attempt
        Together they name it.
    priority : int
        0 is the most urgent.
    prefill_tokens : int
        Tokens to read here.
    stored_tokens : int
        Tokens that it stores here before it writes; it grows by what it writes.
    output_tokens : int
        Tokens to write.
    work : Work
    parts_elsewhere : int
        Parts that other engines have yet to read before it writes.
    pairs_per_token : float or None
        For a part, the pairs of each of its tokens; None for a prompt that is read from its start.
    context_tokens : int
        Context that each of its steps reads; 0 for all that it stores.
    """

    request_id: str
    attempt: int
    priority: int
    prefill_tokens: int
    stored_tokens: int
    output_tokens: int = 0
    kind: SequenceKind = SequenceKind.REQUEST
    remote_parts_left: int = 0
    pairs_per_token: float | None = None
    context_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    arrived: int = 0
    prefilled: int = 0
    written: int = 0
    running: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return (self.request_id, self.attempt)

    @property
    def prefill_left(self) -> int:
        """Tokens still to prefill."""
        return self.prefill_tokens - self.prefilled

    @property
    def is_read(self) -> bool:
        """Whether all parts of its prompt are read."""
        return not self.prefill_left and not self.remote_parts_left

    @property
    def memory_tokens(self) -> int:
        """What it holds while it runs."""
        return self.stored_tokens + self.written if self.kind is not SequenceKind.PROMPT_PART else 0

    @property
    def context(self) -> int:
        """Tokens that each of its steps reads."""
        return (self.context_tokens or self.stored_tokens) + self.written


@attrs.frozen
class Pass:
    """Work of one pass."""

    seconds: float
    prefill_chunks: tuple[tuple[tuple[str, int], int], ...]
    decoding: tuple[tuple[str, int], ...]
    steps: int


@attrs.frozen
class Emission:
    """Tokens that a sequence wrote in a pass; none tells that a part is read."""

    sequence: Sequence
    tokens: int


class Batch:
    """Sequences that run or wait on one engine."""

    def __init__(self, costs: Costs):
        self._costs = costs
        self._sequences: dict[tuple[str, int], Sequence] = {}
        self._reserved: dict[str, int] = {}
        self._arrivals = 0
        self._prefixes: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.cached: list[int] = []
        self.evicted: list[int] = []
        self.preempted = 0

    @property
    def memory_used(self) -> int:
        """Tokens that running sequences and reservations hold."""
        held = sum(one.memory_tokens for one in self._sequences.values() if one.running)
        return held + sum(self._reserved.values())

    @property
    def running(self) -> int:
        """Number of running sequences that hold a slot."""
        return sum(one.running and _takes_slot(one) for one in self._sequences.values())

    @property
    def waiting_count(self) -> int:
        """Number of waiting sequences."""
        return sum(not one.running for one in self._sequences.values())

    @property
    def prompt_part_count(self) -> int:
        """Number of parts that are read for other engines."""
        return sum(one.kind is SequenceKind.PROMPT_PART for one in self._sequences.values())

    def find(self, key: tuple[str, int]) -> Sequence | None:
        """Return a sequence."""
        return self._sequences.get(key)

    def fits(self, sequence: Sequence) -> bool:
        """Tell whether a sequence could ever run here."""
        return sequence.stored_tokens + sequence.output_tokens <= self._costs.memory_tokens

    def accepts(self, sequence: Sequence) -> bool:
        """Tell whether a sequence may queue here now."""
        if sequence.kind is SequenceKind.PROMPT_PART:
            return self.prompt_part_count < self._costs.slots
        return self.fits(sequence) and self.waiting_count < self._costs.max_waiting

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence and start it if slots and memory allow."""
        self._arrivals += 1
        sequence.arrived = self._arrivals
        sequence.prefilled = min(self._cached_tokens(sequence), max(0, sequence.prefill_tokens - 1))
        self._sequences[sequence.key] = sequence
        self._admit()

    def remove(self, key: tuple[str, int]) -> Sequence | None:
        """Take a sequence out and give its memory back."""
        sequence = self._sequences.pop(key, None)
        self._admit()
        return sequence

    def finish_remote_part(self, key: tuple[str, int]) -> None:
        """Note that another engine has read a part of a sequence's prompt."""
        sequence = self._sequences.get(key)
        if sequence is not None:
            sequence.remote_parts_left -= 1

    def reserve(self, ticket: str, tokens: int) -> bool:
        """Set memory aside; False if it isn't free."""
        free = self._costs.memory_tokens - self.memory_used + self._reserved.get(ticket, 0)
        if tokens > free:
            return False
        self._reserved[ticket] = tokens
        return True

    def release(self, ticket: str) -> None:
        """Give a reservation back."""
        self._reserved.pop(ticket, None)
        self._admit()

    def next_pass(self) -> Pass | None:
        """Return the work of the next pass, None if there is nothing to do."""
        running = [one for one in self._sequences.values() if one.running]
        writing = [one for one in running if _writes(one)]
        steps = self._costs.stride if writing else 1
        budget = self._costs.chunk_tokens * steps
        chunks = []
        seconds = 0.0
        for one in sorted(running, key=_reading_order):
            tokens = min(budget, one.prefill_left)
            if tokens:
                chunks.append((one.key, tokens))
                budget -= tokens
                seconds += self._reading_seconds(one, tokens)
        if not writing and not chunks:
            return None
        costs = self._costs
        step = costs.decode_seconds
        for one in writing:
            step += costs.sequence_seconds + costs.context_seconds * one.context
            step += costs.hop_seconds if one.context_tokens else 0.0
        return Pass(seconds + steps * step, tuple(chunks), tuple(one.key for one in writing), steps)

    def finish_pass(self, done: Pass) -> list[Emission]:
        """Carry out a pass and return what the sequences wrote."""
        emitted = []
        for key, tokens in done.prefill_chunks:
            sequence = self._sequences.get(key)
            if sequence is None:
                continue
            sequence.prefilled += tokens
            if not sequence.prefill_left:
                self._remember(sequence)
                if sequence.kind is not SequenceKind.REQUEST:
                    emitted.append(Emission(sequence, 0))
        for sequence in list(self._sequences.values()):
            if (
                not sequence.running
                or sequence.kind is not SequenceKind.REQUEST
                or not sequence.is_read
            ):
                continue
            steps = done.steps if sequence.key in done.decoding else 1
            tokens = min(steps, sequence.output_tokens - sequence.written)
            if tokens:
                sequence.written += tokens
                emitted.append(Emission(sequence, tokens))
        self._preempt()
        return emitted

    def _reading_seconds(self, one: Sequence, tokens: int) -> float:
        pairs = (one.pairs_per_token or 0.0) * tokens
        if one.pairs_per_token is None:
            end = one.prefilled + tokens
            pairs = (end * end - one.prefilled * one.prefilled) / 2
        return tokens / self._costs.prefill_rate + pairs * self._costs.pair_seconds

    def _admit(self) -> None:
        slots = self._costs.slots - self.running
        free = self._costs.memory_tokens - self.memory_used
        waiting = [one for one in self._sequences.values() if not one.running]
        for one in sorted(waiting, key=lambda one: (one.priority, one.arrived)):
            if one.kind is SequenceKind.PROMPT_PART:
                one.running = True
                continue
            if one.memory_tokens > free or slots <= 0:
                return
            one.running = True
            free -= one.memory_tokens
            slots -= 1

    def _preempt(self) -> None:
        """Make room for what was written: the newest request gives way, and is read again."""
        while self.memory_used > self._costs.memory_tokens:
            running = [
                one
                for one in self._sequences.values()
                if one.running and one.kind is SequenceKind.REQUEST
            ]
            if len(running) < 2:
                return
            newest = max(running, key=lambda one: one.arrived)
            newest.running = False
            newest.prefill_tokens += newest.written if not newest.prefill_left else 0
            newest.prefilled = 0
            self.preempted += 1

    def _cached_tokens(self, sequence: Sequence) -> int:
        for position in range(len(sequence.prefix_hashes) - 1, -1, -1):
            if sequence.prefix_hashes[position] in self._prefixes:
                self._prefixes.move_to_end(sequence.prefix_hashes[position])
                return FIRST_BLOCK_TOKENS << position
        return 0

    def _remember(self, sequence: Sequence) -> None:
        if sequence.kind is not SequenceKind.REQUEST:
            return
        for prefix in sequence.prefix_hashes:
            if prefix not in self._prefixes:
                self.cached.append(prefix)
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            prefix, _ = self._prefixes.popitem(last=False)
            self.evicted.append(prefix)


def _takes_slot(one: Sequence) -> bool:
    return one.kind is not SequenceKind.PROMPT_PART


def _writes(one: Sequence) -> bool:
    return one.kind is SequenceKind.REQUEST and one.is_read and one.written < one.output_tokens


def _reading_order(one: Sequence) -> tuple[int, int, int]:
    """Parts for other engines are read first, the newest of them before all.

    Requests follow, the most urgent first, and of those the oldest.
    """
    if one.kind is SequenceKind.PROMPT_PART:
        return (0, 0, -one.arrived)
    return (1, one.priority, one.arrived)
