"""Which engines read a prompt and write its answer.

An engine works in passes: while it writes for some requests and reads a long prompt for another,
each pass takes as long as the piece that is read in it, and every answer pauses for that long. So a
placement is weighed by the credit that it puts at risk: the request's own first token, and the
pauses of the answers that the engines are writing. A long prompt is split over as many engines as
bring its first token within the objective at the least risk.
"""

from __future__ import annotations

import functools
import zlib

import attrs

from flamingoramp.intent import traffic
from flamingoramp.routing import load_book

# Counts of engines that share the reading of one prompt; a power of two and a half step between.
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# A first token is safely on time if it is predicted this much before the objective: a share of it
# for what the model leaves out, and seconds for what happens between two load reports.
SAFE_SHARE = 0.75
SAFE_SECONDS = 0.08
LATE_SHARE = 0.95
# Likewise for pauses, of which the prediction is sharper.
SAFE_PAUSE_SHARE = 0.72
LATE_PAUSE_SHARE = 1.05
# Prompt length whose credit is the unit of risk.
UNIT_TOKENS = 5000
# Credit grows more slowly than length.
CREDIT_EXPONENT = 0.8
# Preferences that decide between placements of about equal risk, in units of risk.
PACKING_BONUS = 0.03
OTHER_ZONE_COST = 0.1
ENGINE_COST = 0.04
SILENT_COST = 5.0
# Requests beyond its slots that an engine may be given, for prompts whose credit is at least this.
# A short prompt that waits for a slot is late, and so is each one behind it: it is refused, and the
# others are on time.
QUEUE_PLACES = 2
QUEUE_CREDIT = 2.0
QUEUE_COST = 1.0
# A request is refused if its placement puts more at risk than this multiple of its own credit.
MOST_RISK = 1.15
# Slots that packing leaves free for requests that other entries place at the same moment, and the
# cost of using each of them.
SPARE_SLOTS = 3
SPARE_SLOT_COST = 0.09
# Share of an engine's memory that placements may fill; the rest covers growing answers.
MEMORY_SHARE = 0.94
# An engine with more prompt reading ahead than this is no good place for a short prompt.
BLOCKED_SECONDS = 0.15
# Arriving requests are served on time while at least this share of the engines isn't blocked.
FREE_SHARE = 0.45
# Longest time for which arrivals are predicted.
HORIZON_SECONDS = 12.0
# Credit that a late answer loses; the rest is lost only if it doesn't come at all.
LATE_LOSS = 0.75
# A first token within these shares of the time that the caller waits is surely, and never, served.
SERVED_SHARE = 0.7
UNSERVED_SHARE = 0.92
# Engines read parts for others before all else, the newest first: what they were reading waits.
# A part that is read ahead delays it by this much without harm, and with full harm.
DELAY_SAFE_SECONDS = 0.15
DELAY_LATE_SECONDS = 1.0
# A prompt beyond this share of an engine's memory is held by several, to leave room for others.
WHOLE_SHARE = 0.55


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


@attrs.frozen(slots=False)
class Job:
    """What is to be placed; times in seconds.

    ``limit`` is how long the caller waits for the whole answer, ``patience`` for its first token.
    """

    prompt_tokens: int
    output_tokens: int
    objective: float
    pause: float
    zone: str
    limit: float = 30.0
    patience: float = 30.0

    @property
    def longest_wait(self) -> float:
        """Wait for the first token after which the caller is gone, as far as known."""
        return min(self.limit, self.patience)

    @functools.cached_property
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


def lateness_risk(first_token: float, objective: float) -> float:
    """Return how likely a predicted first token is late.

    Beyond the objective it still grows a little, so that of late placements the earliest is taken.
    """
    safe = SAFE_SHARE * objective - SAFE_SECONDS
    risk = ramp(first_token, min(safe, 0.9 * objective), LATE_SHARE * objective)
    return risk + 0.05 * max(0.0, first_token / objective - 1.0)


def pause_risk(pause: float, tolerated: float) -> float:
    """Return how likely a pause makes an answer late that tolerates some seconds."""
    return ramp(pause, SAFE_PAUSE_SHARE * tolerated, LATE_PAUSE_SHARE * tolerated)


def reading_pause(part_seconds: float, tokens: int, model: traffic.EngineCostModel) -> float:
    """Return the longest pass of an engine that writes and reads a part of some tokens.

    A pass reads one chunk a step, so that a long part is spread over several passes.
    """
    chunks = max(1, -(-tokens // model.chunk_tokens))
    in_one_pass = min(1.0, model.steps_per_pass / chunks)
    return part_seconds * in_one_pass + model.decode_pass_seconds


# Credit of an answer of each class of pauses, in units of risk: short, medium, long prompts.
STRICT_CREDIT = 1.0
RELAXED_CREDIT = 5.0
PATIENT_CREDIT = 16.0
# Pauses that the classes tolerate, seconds; those that deployments declare for such prompts.
STRICT_TOLERANCE = 0.25
RELAXED_TOLERANCE = 0.6
PATIENT_TOLERANCE = 1.0
# Callers of short prompts leave an answer that pauses for about this long, and ask again; what was
# written for them is lost. Other callers wait for longer than a part takes to read.
ABANDON_SAFE_SECONDS = 1.5
ABANDON_SECONDS = 2.0
# Credit that such a caller's return costs, beyond that of a late answer.
ABANDONED_CREDIT = 1.0


def harm(load: load_book.ServerLoad, pause: float, part: float) -> float:
    """Return the risk that a part, with the pause it makes, puts on a server's work.

    Answers that are being written pause. A part that is read ahead of all else also delays the
    prompts that were being read; ``part`` is 0 for one that waits its turn.
    """
    left = ABANDONED_CREDIT * ramp(pause, ABANDON_SAFE_SECONDS, ABANDON_SECONDS)
    return (
        load.strict * (STRICT_CREDIT * pause_risk(pause, STRICT_TOLERANCE) + left)
        + load.relaxed * RELAXED_CREDIT * pause_risk(pause, RELAXED_TOLERANCE)
        + load.patient * PATIENT_CREDIT * pause_risk(pause, PATIENT_TOLERANCE)
        + load.reading_credit * LATE_LOSS * ramp(part, DELAY_SAFE_SECONDS, DELAY_LATE_SECONDS)
    )


def shortage(free: float) -> float:
    """Return the share of arriving requests that are late while a share of engines is free."""
    return ramp(FREE_SHARE - free, 0.0, FREE_SHARE) ** 2


def _preference(server: str) -> int:
    """Return an order of servers that all entries agree on."""
    return zlib.crc32(server.encode())


def _blocked_seconds(one: Candidate) -> float:
    """Return for how long an engine is no good place for a short prompt."""
    if one.is_doubtful:
        return HORIZON_SECONDS
    seconds = one.load.reading_seconds * one.pace
    return min(HORIZON_SECONDS, seconds) if seconds > BLOCKED_SECONDS else 0.0


def total_shortage(blocked: list[float]) -> float:
    """Return the time integral of the shortage while engines are blocked for some seconds each."""
    total = 0.0
    before = 0.0
    for free, seconds in enumerate(sorted(blocked)):
        total += (seconds - before) * shortage(free / len(blocked))
        before = seconds
    return total


class Planner:
    """Places requests on the engines of one service.

    Parameters
    ----------
    model : traffic.EngineModel
    """

    def __init__(self, model: traffic.EngineCostModel):
        self._model = model
        self._chunk_seconds = model.chunk_tokens / model.prefill_tokens_per_second
        self._arriving = 0.0
        self._candidates: list[Candidate] = []
        self._answer_costs: dict[str, float] = {}
        self._blocked: list[float] = []
        self._shortage = 0.0

    def place(
        self, job: Job, candidates: list[Candidate], *, arriving: float = 0.0
    ) -> Placement | None:
        """Return the placement of least risk, None if no engine has room.

        Parameters
        ----------
        job : Job
        candidates : list of Candidate
        arriving : float
            Credit of the requests that arrive in a second, over all entries.
        """
        self._arriving = arriving
        self._candidates = candidates
        usable = [one for one in candidates if self._has_seat(one, job)]
        if not usable:
            return None
        self._answer_costs = {one.server: self._cost_of_answer(one, job) for one in usable}
        whole = self._model.prefill_seconds(job.prompt_tokens)
        if whole > BLOCKED_SECONDS:
            self._blocked = [_blocked_seconds(one) for one in candidates]
            self._shortage = total_shortage(self._blocked)
        best: Placement | None = None
        for size in GROUP_SIZES:
            if size > len(candidates):
                break
            found = self._place_group(job, usable, candidates, whole, size)
            if found is not None and (best is None or found.risk < best.risk):
                best = found
            if whole / size < self._model.decode_pass_seconds:
                break  # smaller parts than a pass gain nothing
        if best is None or job.credit < QUEUE_CREDIT or best.risk <= job.credit * MOST_RISK:
            return best
        return None  # others would lose more than this request gains

    def seconds_until_free(self, candidates: list[Candidate]) -> float:
        """Return when the first engine begins to read another prompt."""
        return min((self._wait(one) for one in candidates), default=0.0)

    def _has_seat(self, candidate: Candidate, job: Job) -> bool:
        places = QUEUE_PLACES if job.credit >= QUEUE_CREDIT else 0
        return candidate.load.answers < self._model.slots + places

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
        ranked = []
        if size > 1:
            ranked = sorted(
                (self._cost_of_help(one, job, part, pause), _preference(one.server), position)
                for position, one in enumerate(candidates)
                if one.load.helping < self._model.slots
            )
        needed = job.prompt_tokens + job.output_tokens
        roomy = [one for one in usable if self._room(one) >= needed // size]
        if not roomy:
            return None
        first = min(
            roomy,
            key=lambda one: (
                self._cost_of_reading(one, job, part, pause) + self._answer_costs[one.server],
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

    def _cost_of_help(self, one: Candidate, job: Job, part: float, pause: float) -> float:
        """Return the risk of reading a part on an engine ahead of what it reads."""
        wait = self._wait_ahead(one)
        return self._cost_of_part(one, job, wait + part * one.pace) + harm(
            one.load, pause * one.pace, part
        )

    def _cost_of_reading(self, one: Candidate, job: Job, part: float, pause: float) -> float:
        """Return the risk of reading the first part on an engine, after what it reads."""
        wait = self._wait(one)
        return self._cost_of_part(one, job, wait + part * one.pace) + harm(
            one.load, pause * one.pace, 0.0
        )

    def _cost_of_part(self, one: Candidate, job: Job, first_token: float) -> float:
        late = job.credit * LATE_LOSS * lateness_risk(first_token, job.objective)
        zone = OTHER_ZONE_COST if one.zone != job.zone else 0.0
        doubt = SILENT_COST if one.is_doubtful else 0.0
        return late + zone + doubt + 0.2 * one.load.reading_seconds

    def _cost_of_answer(self, one: Candidate, job: Job) -> float:
        """Return the risk of writing the answer on an engine."""
        load = one.load
        # A piece that is being read there makes the answer's first pauses as long.
        pass_with_reading = (
            load.part_seconds * one.pace + self._model.decode_pass_seconds * one.pace
        )
        pauses = (
            job.credit
            * 0.5
            * pause_risk(
                pass_with_reading
                if load.reading_seconds > 0
                else self._model.decode_pass_seconds * one.pace,
                job.pause or 1.0,
            )
        )
        full = QUEUE_COST if load.answers >= self._model.slots else 0.0
        packed = self._model.slots - SPARE_SLOTS
        packing = PACKING_BONUS * min(load.strict, packed)
        packing -= SPARE_SLOT_COST * max(0, load.answers - packed)
        if job.pause > load_book.STRICT_PAUSE_SECONDS:
            packing = -PACKING_BONUS * load.answers  # long answers stay apart
        return pauses + full - packing

    def _wait(self, one: Candidate) -> float:
        """Return the predicted wait until an engine begins to read another prompt."""
        load = one.load
        in_pass = 0.5 * self._model.decode_pass_seconds if load.answers else 0.0
        return one.pace * (in_pass + load.reading_seconds)

    def _wait_ahead(self, one: Candidate) -> float:
        """Return the predicted wait until an engine begins to read a part ahead of all else."""
        load = one.load
        if not load.answers:
            return 0.0
        # A pass that also reads is as long as what it reads, of which half is over on average.
        reading = min(load.part_seconds, self._model.steps_per_pass * self._chunk_seconds)
        return 0.5 * one.pace * (self._model.decode_pass_seconds + reading)

    def _weigh(
        self,
        job: Job,
        first: Candidate,
        helpers: tuple[Candidate, ...],
        part: float,
        pause: float,
        held: tuple[int, ...],
    ) -> Placement | None:
        group = (first, *helpers)
        tail = max(self._model.decode_pass_seconds if one.load.answers else 0.0 for one in group)
        waits = [self._wait(first), *(self._wait_ahead(one) for one in helpers)]
        first_token = tail + max(
            wait + part * one.pace for wait, one in zip(waits, group, strict=True)
        )
        # How long callers wait is only supposed, so that an idle group is worth a try.
        longest = job.longest_wait if max(waits) > 0 else job.limit
        if first_token > UNSERVED_SHARE * longest:
            return None  # work in vain, which others would wait for
        late = LATE_LOSS * lateness_risk(first_token, job.objective)
        late += (1 - LATE_LOSS) * ramp(
            first_token, SERVED_SHARE * longest, UNSERVED_SHARE * longest
        )
        harmed = harm(first.load, pause * first.pace, 0.0)
        harmed += sum(harm(one.load, pause * one.pace, part) for one in helpers)
        zones = sum(OTHER_ZONE_COST for one in group if one.zone != job.zone)
        doubts = sum(SILENT_COST for one in group if one.is_doubtful)
        risk = job.credit * late + harmed + zones + doubts + ENGINE_COST * len(helpers)
        risk += self._blocking(group, part)
        risk += self._answer_costs[first.server]
        if held:
            risk += 0.1  # reservations take a round trip and may be refused
        return Placement(first, helpers, part, first_token, held, risk)

    def _blocking(self, group: tuple[Candidate, ...], part: float) -> float:
        """Return the risk for requests that arrive while the group reads."""
        if part <= BLOCKED_SECONDS:
            return 0.0
        taken = {one.server for one in group}
        after = [
            min(HORIZON_SECONDS, seconds + part * one.pace) if one.server in taken else seconds
            for one, seconds in zip(self._candidates, self._blocked, strict=True)
        ]
        return self._arriving * LATE_LOSS * (total_shortage(after) - self._shortage)

    def _divide_memory(
        self, job: Job, first: Candidate, helpers: list[Candidate]
    ) -> tuple[int, ...] | None:
        """Return what each helper must hold; None if the memory isn't there."""
        needed = job.prompt_tokens + job.output_tokens
        if needed <= min(self._room(first), WHOLE_SHARE * self._model.memory_tokens):
            return ()
        if not helpers:
            return () if needed <= self._room(first) else None
        holders = min(len(helpers), int(needed / (WHOLE_SHARE * self._model.memory_tokens)) or 1)
        roomiest = sorted(range(len(helpers)), key=lambda index: -self._room(helpers[index]))
        for count in range(holders, len(helpers) + 1):
            share = -(-needed // (count + 1))
            held = [0] * len(helpers)
            for index in roomiest[:count]:
                held[index] = min(share, max(0, self._room(helpers[index])))
            if needed - sum(held) <= min(self._room(first), 1.5 * share):
                return tuple(held)
        return None

    def _room(self, one: Candidate) -> int:
        return int(self._model.memory_tokens * MEMORY_SHARE) - one.load.memory_tokens
