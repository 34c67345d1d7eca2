"""Model of an engine's continuous batching: scheduling, KV-cache memory and the time of each pass.

The engine works in passes. A pass with decoding sequences runs ``steps_per_pass`` token steps for
each of them and prefills up to ``chunk_tokens`` prompt tokens per step; a pass that only prefills
is one step. The module uses no clock and no network, so that it runs in virtual time as well as
behind HTTP.
"""

from __future__ import annotations

import collections
import enum

import attrs

MAX_CACHED_PREFIXES = 512
FIRST_PREFIX_TOKENS = 1024


@attrs.frozen
class Costs:
    """Limits of an engine and the time that its work takes; times in seconds, already scaled.

    Parameters
    ----------
    memory_tokens : int
        Tokens that the KV cache holds.
    slots : int
        Maximum of requests and segments that run at the same time; also the maximum of prompt
        parts, which are counted apart.
    max_waiting : int
        Sequences that may wait for a slot or for memory before further ones are rejected.
    prefill_rate : float
        Prompt tokens prefilled per second.
    decode_seconds, sequence_seconds, context_seconds, hop_seconds : float
        Time of a token step: its base, and the time added for each decoding sequence, for each
        token of its context, and for each sequence whose prompt is held by several engines.
    pair_seconds : float
        Attention time in prefill for each pair of a prompt token and an earlier one.
    chunk_tokens : int
        Prompt tokens prefilled in one step.
    steps_per_pass : int
        Token steps of a pass with decoding sequences.
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
    steps_per_pass: int = 1


class SequenceKind(enum.Enum):
    """What a sequence computes.

    ``REQUEST``: prefills a prompt and generates its answer. ``SEGMENT``: prefills a segment of a
    prompt and keeps it in the KV cache. ``PROMPT_PART``: prefills a part of another engine's prompt
    and stores nothing here.
    """

    REQUEST = "request"
    SEGMENT = "segment"
    PROMPT_PART = "part"


@attrs.define
class Sequence:
    """An attempt that runs or waits on the engine, or a segment or part of an attempt's prompt.

    Parameters
    ----------
    request_id : str
    attempt : int
        Together with ``request_id``, identifies the sequence.
    priority : int
        0 is the most urgent.
    prefill_tokens : int
        Prompt tokens to prefill on this engine.
    stored_tokens : int
        Prompt tokens in this engine's KV cache; decoding adds the generated tokens.
    output_tokens : int
        Tokens to generate.
    kind : SequenceKind
    remote_parts_left : int
        Parts of its prompt that other engines have yet to prefill; decoding waits for them.
    pairs_per_token : float or None
        For a part, attention pairs per token; None for a prompt that is prefilled from its start.
    context_tokens : int
        Context tokens that each token step reads at first; 0 for ``stored_tokens``.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes of 1, 2, 4, ... times ``FIRST_PREFIX_TOKENS`` tokens.

    The other attributes are its progress, which `Batch` updates; ``prefilled_tokens`` includes
    those found in the prefix cache, ``repeated_tokens`` are the generated tokens that
    ``prefill_tokens`` includes since a preemption.
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
    arrival_number: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    repeated_tokens: int = 0
    is_running: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt number."""
        return (self.request_id, self.attempt)

    @property
    def remaining_prefill_tokens(self) -> int:
        """Prompt tokens that this engine has yet to prefill."""
        return self.prefill_tokens - self.prefilled_tokens

    @property
    def is_prefilled(self) -> bool:
        """Whether its whole prompt is prefilled, here and on other engines."""
        return not self.remaining_prefill_tokens and not self.remote_parts_left

    @property
    def memory_tokens(self) -> int:
        """Tokens of KV cache that it occupies while it runs."""
        return (
            self.stored_tokens + self.generated_tokens
            if self.kind is not SequenceKind.PROMPT_PART
            else 0
        )

    @property
    def step_context_tokens(self) -> int:
        """Context tokens that its next token step reads."""
        return (self.context_tokens or self.stored_tokens) + self.generated_tokens


@attrs.frozen
class Pass:
    """Work of one forward pass.

    ``prefill_chunks`` pairs the key of a sequence with the tokens to prefill, ``decoding`` holds
    the keys of the sequences that decode, and ``steps`` is the number of token steps.
    """

    seconds: float
    prefill_chunks: tuple[tuple[tuple[str, int], int], ...]
    decoding: tuple[tuple[str, int], ...]
    steps: int


@attrs.frozen
class Emission:
    """Tokens that a sequence generated in a pass; 0 if it is a segment or part, now prefilled."""

    sequence: Sequence
    tokens: int


class Batch:
    """Scheduler of the sequences that run or wait on one engine."""

    def __init__(self, costs: Costs):
        self._costs = costs
        self._sequences: dict[tuple[str, int], Sequence] = {}
        self._reserved_tokens: dict[str, int] = {}
        self._arrival_count = 0
        self._prefix_cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        # Changes of the prefix cache that are not yet announced.
        self.cached_prefixes: list[int] = []
        self.evicted_prefixes: list[int] = []
        self.preemption_count = 0

    @property
    def memory_used(self) -> int:
        """Tokens of KV cache that running sequences and reservations occupy."""
        sequence_tokens = sum(
            sequence.memory_tokens for sequence in self._sequences.values() if sequence.is_running
        )
        return sequence_tokens + sum(self._reserved_tokens.values())

    @property
    def running_count(self) -> int:
        """Number of running sequences that occupy a slot."""
        return sum(
            sequence.is_running and _uses_slot(sequence) for sequence in self._sequences.values()
        )

    @property
    def waiting_count(self) -> int:
        """Number of waiting sequences."""
        return sum(not sequence.is_running for sequence in self._sequences.values())

    @property
    def prompt_part_count(self) -> int:
        """Number of sequences of kind ``PROMPT_PART``, which occupy no slot."""
        return sum(
            sequence.kind is SequenceKind.PROMPT_PART for sequence in self._sequences.values()
        )

    def find(self, key: tuple[str, int]) -> Sequence | None:
        """Return the sequence with a key, None if it is not on this engine."""
        return self._sequences.get(key)

    def fits(self, sequence: Sequence) -> bool:
        """Return whether a sequence fits into an empty KV cache."""
        return sequence.stored_tokens + sequence.output_tokens <= self._costs.memory_tokens

    def accepts(self, sequence: Sequence) -> bool:
        """Return whether a sequence may be queued now.

        A prompt part may if fewer than ``slots`` parts are here, any other sequence if it fits into
        an empty KV cache and fewer than ``max_waiting`` sequences wait.
        """
        if sequence.kind is SequenceKind.PROMPT_PART:
            return self.prompt_part_count < self._costs.slots
        return self.fits(sequence) and self.waiting_count < self._costs.max_waiting

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence and start it if a slot and memory are free."""
        self._arrival_count += 1
        sequence.arrival_number = self._arrival_count
        sequence.prefilled_tokens = min(
            self._cached_tokens(sequence), max(0, sequence.prefill_tokens - 1)
        )
        self._sequences[sequence.key] = sequence
        self._admit()

    def remove(self, key: tuple[str, int]) -> Sequence | None:
        """Remove a sequence, free its memory and return it; None if it is not on this engine."""
        sequence = self._sequences.pop(key, None)
        self._admit()
        return sequence

    def finish_remote_part(self, key: tuple[str, int]) -> None:
        """Record that another engine has prefilled a part of a sequence's prompt."""
        sequence = self._sequences.get(key)
        if sequence is not None:
            sequence.remote_parts_left -= 1

    def reserve(self, ticket: str, tokens: int) -> bool:
        """Set the size of the reservation with this ticket; returns False if too few are free."""
        free_tokens = (
            self._costs.memory_tokens - self.memory_used + self._reserved_tokens.get(ticket, 0)
        )
        if tokens > free_tokens:
            return False
        self._reserved_tokens[ticket] = tokens
        return True

    def release(self, ticket: str) -> None:
        """Free the reservation with this ticket; no effect if there is none."""
        self._reserved_tokens.pop(ticket, None)
        self._admit()

    def next_pass(self) -> Pass | None:
        """Return the work of the next pass, None if no sequence can prefill or decode."""
        running = [sequence for sequence in self._sequences.values() if sequence.is_running]
        decoding = [sequence for sequence in running if _is_decoding(sequence)]
        steps = self._costs.steps_per_pass if decoding else 1
        token_budget = self._costs.chunk_tokens * steps
        prefill_chunks = []
        prefill_seconds = 0.0
        for sequence in sorted(running, key=_prefill_order):
            tokens = min(token_budget, sequence.remaining_prefill_tokens)
            if tokens:
                prefill_chunks.append((sequence.key, tokens))
                token_budget -= tokens
                prefill_seconds += self._prefill_seconds(sequence, tokens)
        if not decoding and not prefill_chunks:
            return None
        costs = self._costs
        step_seconds = costs.decode_seconds
        for sequence in decoding:
            step_seconds += (
                costs.sequence_seconds + costs.context_seconds * sequence.step_context_tokens
            )
            step_seconds += costs.hop_seconds if sequence.context_tokens else 0.0
        return Pass(
            prefill_seconds + steps * step_seconds,
            tuple(prefill_chunks),
            tuple(sequence.key for sequence in decoding),
            steps,
        )

    def finish_pass(self, finished_pass: Pass) -> list[Emission]:
        """Apply the results of a pass and return what the sequences generated."""
        emissions = []
        for key, tokens in finished_pass.prefill_chunks:
            sequence = self._sequences.get(key)
            if sequence is None:
                continue
            sequence.prefilled_tokens += tokens
            if not sequence.remaining_prefill_tokens:
                self._cache_prefixes(sequence)
                if sequence.kind is not SequenceKind.REQUEST:
                    emissions.append(Emission(sequence, 0))
        for sequence in list(self._sequences.values()):
            if (
                not sequence.is_running
                or sequence.kind is not SequenceKind.REQUEST
                or not sequence.is_prefilled
            ):
                continue
            steps = finished_pass.steps if sequence.key in finished_pass.decoding else 1
            tokens = min(steps, sequence.output_tokens - sequence.generated_tokens)
            if tokens:
                sequence.generated_tokens += tokens
                emissions.append(Emission(sequence, tokens))
        self._preempt()
        return emissions

    def _prefill_seconds(self, sequence: Sequence, tokens: int) -> float:
        pairs = (sequence.pairs_per_token or 0.0) * tokens
        if sequence.pairs_per_token is None:
            end = sequence.prefilled_tokens + tokens
            pairs = (end * end - sequence.prefilled_tokens * sequence.prefilled_tokens) / 2
        return tokens / self._costs.prefill_rate + pairs * self._costs.pair_seconds

    def _admit(self) -> None:
        free_slots = self._costs.slots - self.running_count
        free_tokens = self._costs.memory_tokens - self.memory_used
        waiting = [sequence for sequence in self._sequences.values() if not sequence.is_running]
        for sequence in sorted(
            waiting, key=lambda sequence: (sequence.priority, sequence.arrival_number)
        ):
            if sequence.kind is SequenceKind.PROMPT_PART:
                sequence.is_running = True
                continue
            if sequence.memory_tokens > free_tokens or free_slots <= 0:
                return
            sequence.is_running = True
            free_tokens -= sequence.memory_tokens
            free_slots -= 1

    def _preempt(self) -> None:
        """Preempt the newest requests until memory suffices or only one request is left.

        A preempted request prefills its prompt and its generated tokens again.
        """
        while self.memory_used > self._costs.memory_tokens:
            running = [
                sequence
                for sequence in self._sequences.values()
                if sequence.is_running and sequence.kind is SequenceKind.REQUEST
            ]
            if len(running) < 2:
                return
            newest = max(running, key=lambda sequence: sequence.arrival_number)
            newest.is_running = False
            newest.prefill_tokens += newest.generated_tokens - newest.repeated_tokens
            newest.repeated_tokens = newest.generated_tokens
            newest.prefilled_tokens = 0
            self.preemption_count += 1

    def _cached_tokens(self, sequence: Sequence) -> int:
        for position in range(len(sequence.prefix_hashes) - 1, -1, -1):
            if sequence.prefix_hashes[position] in self._prefix_cache:
                self._prefix_cache.move_to_end(sequence.prefix_hashes[position])
                return FIRST_PREFIX_TOKENS << position
        return 0

    def _cache_prefixes(self, sequence: Sequence) -> None:
        if sequence.kind is not SequenceKind.REQUEST:
            return
        for prefix in sequence.prefix_hashes:
            if prefix not in self._prefix_cache:
                self.cached_prefixes.append(prefix)
            self._prefix_cache[prefix] = None
            self._prefix_cache.move_to_end(prefix)
        while len(self._prefix_cache) > MAX_CACHED_PREFIXES:
            prefix, _ = self._prefix_cache.popitem(last=False)
            self.evicted_prefixes.append(prefix)


def _uses_slot(sequence: Sequence) -> bool:
    return sequence.kind is not SequenceKind.PROMPT_PART


def _is_decoding(sequence: Sequence) -> bool:
    return (
        sequence.kind is SequenceKind.REQUEST
        and sequence.is_prefilled
        and sequence.generated_tokens < sequence.output_tokens
    )


def _prefill_order(sequence: Sequence) -> tuple[int, int, int]:
    """Return the sort key of prefill: parts for other engines first, the newest of them before all.

    Requests and segments follow by priority, those of equal priority by arrival.
    """
    if sequence.kind is SequenceKind.PROMPT_PART:
        return (0, 0, -sequence.arrival_number)
    return (1, sequence.priority, sequence.arrival_number)
