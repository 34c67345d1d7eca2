"""Which engines read a prompt and write its answer.

An engine works in passes: while it writes for some requests and reads a long prompt for another,
each pass takes as long as the piece that is read in it, and every answer pauses for that long. So a
placement is weighed by the credit that it puts at risk: the request's own first token, and the
pauses of the answers that the engines are writing. A long prompt is split over as many engines as
bring its first token within the objective at the least risk.
"""

from __future__ import annotations

import zlib

import attrs

from flamingoramp.intent import traffic
from flamingoramp.routing import load_book

# Counts of engines that share the reading of one prompt; a power of two and a half step between.
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# A first token within this share of the objective is safely on time, one beyond the other is late.
SAFE_SHARE = 0.4
LATE_SHARE = 0.92
# Likewise for pauses, of which the prediction is sharper.
SAFE_PAUSE_SHARE = 0.72
LATE_PAUSE_SHARE = 1.05
# Prompt length whose credit is the unit of risk.
UNIT_TOKENS = 5000
# Credit grows more slowly than length.
CREDIT_EXPONENT = 0.8
# Preferences that decide between placements of about equal risk, in units of risk.
PACKING_BONUS = 0.015
OTHER_ZONE_COST = 0.01
ENGINE_COST = 0.04
SILENT_COST = 5.0
# Requests beyond its slots that an engine may be given; it queues a few.
QUEUE_PLACES = 2
QUEUE_COST = 1.0
# Share of an engine's memory that placements may fill; the rest covers growing answers.
MEMORY_SHARE = 0.94
# Pause after which a long answer's own reading piece no longer fits (see `reading_pause`).
LARGEST_GROUP = 16


@attrs.frozen
class Candidate:
    """An engine that may be given work.

    ``pace`` is how many times slower than its model it has been; ``is_doubtful`` marks one that
    should be used only if no other is left.
    """

    server: str
    address: str
    zone: str
    load: load_book.ServerLoad
    pace: float = 1.0
    is_doubtful: bool = False


@attrs.frozen
class Job:
    """What is to be placed; times in seconds."""

    prompt_tokens: int
    output_tokens: int
    objective: float
    pause: float
    zone: str

    @property
    def credit(self) -> float:
        """What the request's credit is worth, in units of risk."""
        return max(0.2, (self.prompt_tokens / UNIT_TOKENS) ** CREDIT_EXPONENT)


@attrs.frozen
class Placement:
    """The engines of a request.

    Parameters
    ----------
    first : Candidate
        Reads the first part and writes the answer.
    helpers : tuple of Candidate
        Read the other parts.
    part_seconds : float
        Reading time of each part.
    first_token_seconds : float
        Predicted wait for the first token.
    held_tokens : tuple of int
        Memory to reserve at each helper; empty if the first engine holds the whole prompt.
    risk : float
    """

    first: Candidate
    helpers: tuple[Candidate, ...] = ()
    part_seconds: float = 0.0
    first_token_seconds: float = 0.0
    held_tokens: tuple[int, ...] = ()
    risk: float = 0.0


def ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to ``low``, 1 from ``high``, and what lies between in proportion."""
    if value <= low:
        return 0.0
    if value >= high:
        return 1.0
    return (value - low) / (high - low)


def pause_risk(pause: float, tolerated: float) -> float:
    """Return how likely a pause makes an answer late that tolerates some seconds."""
    return ramp(pause, SAFE_PAUSE_SHARE * tolerated, LATE_PAUSE_SHARE * tolerated)


def reading_pause(part_seconds: float, tokens: int, model: traffic.EngineModel) -> float:
    """Return the longest pass of an engine that writes and reads a part of some tokens.

    A pass reads one chunk a step, so that a long part is spread over several passes.
    """
    chunks = max(1, -(-tokens // model.chunk_tokens))
    in_one_pass = min(1.0, model.stride / chunks)
    return part_seconds * in_one_pass + model.pass_seconds


# Credit of an answer of each class of pauses, in units of risk: short, medium, long prompts.
STRICT_CREDIT = 1.0
RELAXED_CREDIT = 5.0
PATIENT_CREDIT = 16.0
# Pauses that the classes tolerate, seconds; those that deployments declare for such prompts.
STRICT_TOLERANCE = 0.25
RELAXED_TOLERANCE = 0.6
PATIENT_TOLERANCE = 1.0


def harm(load: load_book.ServerLoad, pause: float) -> float:
    """Return the risk that a pause puts on the answers of a server."""
    return (
        load.strict * STRICT_CREDIT * pause_risk(pause, STRICT_TOLERANCE)
        + load.relaxed * RELAXED_CREDIT * pause_risk(pause, RELAXED_TOLERANCE)
        + load.patient * PATIENT_CREDIT * pause_risk(pause, PATIENT_TOLERANCE)
    )


def _preference(server: str) -> int:
    """Return an order of servers that all entries agree on."""
    return zlib.crc32(server.encode())


class Planner:
    """Places requests on the engines of one service.

    Parameters
    ----------
    model : traffic.EngineModel
    """

    def __init__(self, model: traffic.EngineModel):
        self._model = model

    def place(self, job: Job, candidates: list[Candidate]) -> Placement | None:
        """Return the placement of least risk, None if no engine has room."""
        usable = [one for one in candidates if self._has_seat(one)]
        if not usable:
            return None
        whole = self._model.reading_seconds(job.prompt_tokens)
        best: Placement | None = None
        for size in GROUP_SIZES:
            if size > len(candidates):
                break
            found = self._place_group(job, usable, candidates, whole, size)
            if found is not None and (best is None or found.risk < best.risk):
                best = found
            if whole / size < self._model.pass_seconds:
                break  # smaller parts than a pass gain nothing
        return best

    def _has_seat(self, candidate: Candidate) -> bool:
        return candidate.load.answers < self._model.slots + QUEUE_PLACES

    def _place_group(
        self,
        job: Job,
        usable: list[Candidate],
        candidates: list[Candidate],
        whole: float,
        size: int,
    ) -> Placement | None:
        part = whole / size
        tokens = -(-job.prompt_tokens // size)
        pause = reading_pause(part, tokens, self._model)
        ranked = sorted(
            (self._cost_of_part(one, job, part, pause), _preference(one.server), position)
            for position, one in enumerate(candidates)
            if one.load.helping < self._model.slots
        )
        first = min(
            usable,
            key=lambda one: (
                self._cost_of_part(one, job, part, pause) + self._cost_of_answer(one, job),
                _preference(one.server),
            ),
        )
        helpers = []
        for _, _, position in ranked:
            if len(helpers) == size - 1:
                break
            if candidates[position] is not first:
                helpers.append(candidates[position])
        if len(helpers) < size - 1:
            return None
        held = self._divide_memory(job, first, helpers)
        if held is None:
            return None
        return self._weigh(job, first, tuple(helpers), part, pause, held)

    def _cost_of_part(self, one: Candidate, job: Job, part: float, pause: float) -> float:
        """Return the risk of reading a part on an engine."""
        paced = pause * one.pace
        wait = self._wait(one) + part * one.pace
        late = job.credit * ramp(wait, SAFE_SHARE * job.objective, LATE_SHARE * job.objective)
        zone = OTHER_ZONE_COST if one.zone != job.zone else 0.0
        doubt = SILENT_COST if one.is_doubtful else 0.0
        return late + harm(one.load, paced) + zone + doubt + 0.2 * one.load.reading_seconds

    def _cost_of_answer(self, one: Candidate, job: Job) -> float:
        """Return the risk of writing the answer on an engine."""
        load = one.load
        # A piece that is being read there makes the answer's first pauses as long.
        pass_with_reading = load.part_seconds * one.pace + self._model.pass_seconds * one.pace
        pauses = (
            job.credit
            * 0.5
            * pause_risk(
                pass_with_reading
                if load.reading_seconds > 0
                else self._model.pass_seconds * one.pace,
                job.pause or 1.0,
            )
        )
        full = QUEUE_COST if load.answers >= self._model.slots else 0.0
        packing = PACKING_BONUS * min(load.strict, self._model.slots - 2)
        if job.pause > load_book.STRICT_PAUSE_SECONDS:
            packing = -PACKING_BONUS * load.answers  # long answers stay apart
        return pauses + full - packing

    def _wait(self, one: Candidate) -> float:
        """Return the predicted wait until an engine begins to read another prompt."""
        load = one.load
        in_pass = 0.5 * self._model.pass_seconds if load.answers else 0.0
        return one.pace * (in_pass + load.reading_seconds)

    def _weigh(
        self,
        job: Job,
        first: Candidate,
        helpers: tuple[Candidate, ...],
        part: float,
        pause: float,
        held: tuple[int, ...],
    ) -> Placement:
        group = (first, *helpers)
        tail = max(self._model.pass_seconds if one.load.answers else 0.0 for one in group)
        first_token = max(self._wait(one) + part * one.pace for one in group) + tail
        late = job.credit * ramp(
            first_token, SAFE_SHARE * job.objective, LATE_SHARE * job.objective
        )
        harmed = sum(harm(one.load, pause * one.pace) for one in group)
        zones = sum(OTHER_ZONE_COST for one in group if one.zone != job.zone)
        doubts = sum(SILENT_COST for one in group if one.is_doubtful)
        risk = late + harmed + zones + doubts + ENGINE_COST * len(helpers)
        risk += self._cost_of_answer(first, job)
        if held:
            risk += 0.1  # reservations take a round trip and may be refused
        return Placement(first, helpers, part, first_token, held, risk)

    def _divide_memory(
        self, job: Job, first: Candidate, helpers: list[Candidate]
    ) -> tuple[int, ...] | None:
        """Return what each helper must hold; None if the memory isn't there."""
        needed = job.prompt_tokens + job.output_tokens
        room = self._room(first)
        if needed <= room:
            return ()
        rest = needed - room
        held = []
        for index, helper in enumerate(helpers):
            share = -(-rest // (len(helpers) - index)) if rest > 0 else 0
            share = min(share, max(0, self._room(helper)))
            held.append(share)
            rest -= share
        # What the last ones had no room for goes to those before them.
        for index, helper in enumerate(helpers):
            if rest <= 0:
                break
            more = min(rest, max(0, self._room(helper) - held[index]))
            held[index] += more
            rest -= more
        return tuple(held) if rest <= 0 else None

    def _room(self, one: Candidate) -> int:
        return int(self._model.memory_tokens * MEMORY_SHARE) - one.load.memory_tokens
