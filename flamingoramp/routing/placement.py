"""Choice of the engines that prefill a prompt and decode its answer.

An engine works in passes. While it decodes some requests and prefills a long prompt for another,
each pass takes as long as the chunk of the prompt that is prefilled in it, and every answer on that
engine pauses for that long. Each request has a credit, the value of answering it on time, which
grows with the length of its prompt (see `PlacementRequest.credit`). Placements are compared by the
credit that they put at risk: that of the request itself, whose first token may be late, and that of
the answers that the engines are decoding, whose pauses may be too long. A long prompt is split over
as many engines as bring its first token within the objective at the least risk.
"""

from __future__ import annotations

import functools
import zlib

import attrs

from flamingoramp import value_classes
from flamingoramp.intent import traffic
from flamingoramp.routing import load_table

# Numbers of engines that may share the prefill of one prompt: powers of two up to 8 and the values
# halfway between them, then steps of 3.
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# A first token counts as certainly on time if it is predicted within the safe ratio of the
# objective, less the margin, and as certainly late from the late ratio on. The safe ratio covers
# what the engine model leaves out, the margin what happens between two load reports.
FIRST_TOKEN_SAFE_RATIO = 0.75
FIRST_TOKEN_SAFE_MARGIN_SECONDS = 0.08
FIRST_TOKEN_LATE_RATIO = 0.95
# The same for pauses, which are predicted more accurately.
PAUSE_SAFE_RATIO = 0.72
PAUSE_LATE_RATIO = 1.05
# Prompt length whose credit is 1, which is the unit of risk.
CREDIT_UNIT_TOKENS = 5000
# Below 1: credit grows more slowly than the prompt's length.
CREDIT_EXPONENT = 0.8
# Costs and bonuses that decide between placements of about equal risk, in units of risk.
PACKING_BONUS = 0.03
OTHER_ZONE_COST = 0.1
HELPER_COST = 0.04
LAST_RESORT_COST = 5.0
# Requests that an engine may be given beyond its slots, if their credit is at least
# MIN_QUEUED_CREDIT. Shorter prompts are refused instead: one that waits for a slot is late, and so
# is each one behind it; once it is refused, the others are on time.
MAX_QUEUED_REQUEST_COUNT = 2
MIN_QUEUED_CREDIT = 2.0
QUEUE_COST = 1.0
# A request is refused if its placement puts more at risk than this multiple of its own credit.
MAX_RISK_RATIO = 1.15
# Slots that packing leaves free for requests that other entries place at the same moment, and the
# cost of using each of them.
SPARE_SLOT_COUNT = 3
SPARE_SLOT_COST = 0.09
# Engines whose costs exceed the least one by up to this much are as good. Entries that place
# requests at the same moment then choose different ones.
SPREAD_COST = 0.1
# Share of an engine's memory that placements may fill; the rest is for answers that grow.
USABLE_MEMORY_RATIO = 0.94
# An engine with more prefill outstanding than this counts as blocked for short prompts.
BLOCKED_PREFILL_SECONDS = 0.15
# Arriving requests are served on time while at least this share of the engines isn't blocked.
FREE_SHARE = 0.45
# Longest time ahead for which arrivals are predicted.
PREDICTION_HORIZON_SECONDS = 12.0
# Share of its credit that a request loses if its answer is late; the rest is lost only if there is
# no answer at all.
LATE_LOSS_RATIO = 0.75
# A first token predicted before the lower of these shares of the caller's timeout is certain to be
# served; one predicted after the upper share is certain not to be.
TIMEOUT_SAFE_RATIO = 0.7
TIMEOUT_MISSED_RATIO = 0.92
# Helpers prefill their parts of other engines' prompts before all else, the newest part first, so
# that the prompt that they were prefilling waits. A part of up to the safe time delays that prompt
# without harm; one of at least the late time makes it late for certain.
PREEMPTION_SAFE_SECONDS = 0.15
PREEMPTION_LATE_SECONDS = 1.0
# A prompt beyond this share of an engine's memory is held by several, to leave room for others.
SINGLE_ENGINE_MEMORY_RATIO = 0.55


@attrs.frozen(eq=False, repr=False)
class Candidate(value_classes.Value):
    """An engine that may be given work.

    Parameters
    ----------
    server, address, zone : str
    load : load_table.ServerLoad
    slowdown : float
        Observed pass time divided by that of the engine model.
    is_last_resort : bool
        Whether the engine should be used only if no other is left, because its reports are
        overdue, it is suspended, or many of its answers failed.
    """

    server: str
    address: str
    zone: str
    load: load_table.ServerLoad
    slowdown: float = 1.0
    is_last_resort: bool = False


@attrs.frozen(slots=False, eq=False, repr=False)
class PlacementRequest(value_classes.Value):
    """A request to be placed; times in seconds.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
    first_token_objective_seconds : float
        Wait within which the first token is on time.
    gap_objective_seconds : float
        Longest pause in the answer that meets the objective; 0 if the route declares none.
    zone : str
        Availability zone of the entry.
    time_limit_seconds : float
        How long the caller waits for the complete answer.
    first_token_timeout_seconds : float
        How long the caller is assumed to wait for the first token.
    """

    prompt_tokens: int
    output_tokens: int
    first_token_objective_seconds: float
    gap_objective_seconds: float
    zone: str
    time_limit_seconds: float = 30.0
    first_token_timeout_seconds: float = 30.0

    @property
    def max_wait_seconds(self) -> float:
        """Wait for the first token after which the caller is assumed to have disconnected."""
        return min(self.time_limit_seconds, self.first_token_timeout_seconds)

    @functools.cached_property
    def credit(self) -> float:
        """Value of serving the request on time, in units of risk."""
        return max(0.2, (self.prompt_tokens / CREDIT_UNIT_TOKENS) ** CREDIT_EXPONENT)


@attrs.frozen(eq=False, repr=False)
class Placement(value_classes.Value):
    """The engines of a request.

    Parameters
    ----------
    primary : Candidate
        Prefills the first part of the prompt and decodes the answer.
    helpers : tuple of Candidate
        Prefill the other parts.
    part_seconds : float
        Prefill time of each part.
    first_token_seconds : float
        Predicted wait for the first token.
    held_tokens : tuple of int
        Memory to reserve at each helper; empty if the primary engine holds the complete prompt.
    risk : float
        Credit that the placement puts at risk.
    """

    primary: Candidate
    helpers: tuple[Candidate, ...] = ()
    part_seconds: float = 0.0
    first_token_seconds: float = 0.0
    held_tokens: tuple[int, ...] = ()
    risk: float = 0.0


def linear_ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to ``low``, 1 from ``high``, and a linear interpolation in between."""
    if value <= low:
        return 0.0
    if value >= high:
        return 1.0
    return (value - low) / (high - low)


def late_first_token_risk(first_token: float, objective: float) -> float:
    """Return the estimated probability that a first token is late.

    Beyond the objective the result still grows a little, so that the earliest of several late
    placements has the least risk.

    Parameters
    ----------
    first_token, objective : float
        Predicted wait and the wait within which it is on time, in seconds.
    """
    safe = FIRST_TOKEN_SAFE_RATIO * objective - FIRST_TOKEN_SAFE_MARGIN_SECONDS
    risk = linear_ramp(first_token, min(safe, 0.9 * objective), FIRST_TOKEN_LATE_RATIO * objective)
    return risk + 0.05 * max(0.0, first_token / objective - 1.0)


def late_pause_risk(pause: float, tolerated: float) -> float:
    """Return the estimated probability that a pause exceeds the tolerated one, both in seconds."""
    return linear_ramp(pause, PAUSE_SAFE_RATIO * tolerated, PAUSE_LATE_RATIO * tolerated)


def prefill_pause(part_seconds: float, part_tokens: int, model: traffic.EngineCostModel) -> float:
    """Return the longest pass, in seconds, of an engine that decodes and prefills a part.

    A step prefills one chunk, and a pass has a fixed number of steps, so that the prefill of a long
    part is spread over several passes.
    """
    chunk_count = max(1, -(-part_tokens // model.chunk_tokens))
    pass_ratio = min(1.0, model.steps_per_pass / chunk_count)
    return part_seconds * pass_ratio + model.decode_pass_seconds


# Credit of an answer of each pause class, in units of risk. The classes correspond to short, medium
# and long prompts.
STRICT_CREDIT = 1.0
RELAXED_CREDIT = 5.0
PATIENT_CREDIT = 16.0
# Pauses that the classes tolerate: those that deployments declare for such prompts.
STRICT_TOLERANCE_SECONDS = 0.25
RELAXED_TOLERANCE_SECONDS = 0.6
PATIENT_TOLERANCE_SECONDS = 1.0
# Callers of short prompts abandon an answer that pauses for about this long and send the request
# again; the tokens decoded for them are lost. Other callers wait for longer than the prefill of a
# part takes.
ABANDON_SAFE_SECONDS = 1.5
ABANDON_SECONDS = 2.0
# Credit that an abandoned and repeated request costs, beyond that of a late answer.
ABANDONED_CREDIT = 1.0


def interference_risk(load: load_table.ServerLoad, pause: float, preempting_part: float) -> float:
    """Return the credit that the prefill of a part puts at risk in the other work of a server.

    Answers that are being decoded pause. A part that is prefilled ahead of all else also delays the
    prompts that were being prefilled.

    Parameters
    ----------
    load : load_table.ServerLoad
    pause : float
        Longest pause that the prefill causes, in seconds.
    preempting_part : float
        Prefill time of the part, in seconds; 0 if it is queued behind other prefills.
    """
    abandoned = ABANDONED_CREDIT * linear_ramp(pause, ABANDON_SAFE_SECONDS, ABANDON_SECONDS)
    return (
        load.strict * (STRICT_CREDIT * late_pause_risk(pause, STRICT_TOLERANCE_SECONDS) + abandoned)
        + load.relaxed * RELAXED_CREDIT * late_pause_risk(pause, RELAXED_TOLERANCE_SECONDS)
        + load.patient * PATIENT_CREDIT * late_pause_risk(pause, PATIENT_TOLERANCE_SECONDS)
        + load.reading_credit
        * LATE_LOSS_RATIO
        * linear_ramp(preempting_part, PREEMPTION_SAFE_SECONDS, PREEMPTION_LATE_SECONDS)
    )


def late_arrival_ratio(free_ratio: float) -> float:
    """Return the share of arriving requests that are late if ``free_ratio`` of engines are free."""
    return linear_ramp(FREE_SHARE - free_ratio, 0.0, FREE_SHARE) ** 2


def _tie_break_order(server: str) -> int:
    """Return a sort key that is the same at all entries, unlike the order of their candidates."""
    return zlib.crc32(server.encode())


def _blocked_seconds(candidate: Candidate) -> float:
    """Return for how long an engine is blocked for short prompts."""
    if candidate.is_last_resort:
        return PREDICTION_HORIZON_SECONDS
    seconds = candidate.load.reading_seconds * candidate.slowdown
    return min(PREDICTION_HORIZON_SECONDS, seconds) if seconds > BLOCKED_PREFILL_SECONDS else 0.0


def late_arrival_seconds(blocked_seconds: list[float]) -> float:
    """Return the integral over time of `late_arrival_ratio`, in seconds.

    Parameters
    ----------
    blocked_seconds : list of float
        Time for which each engine is blocked.
    """
    total = 0.0
    previous_seconds = 0.0
    for free_count, seconds in enumerate(sorted(blocked_seconds)):
        total += (seconds - previous_seconds) * late_arrival_ratio(
            free_count / len(blocked_seconds)
        )
        previous_seconds = seconds
    return total


class Planner:
    """Chooses placements on the engines of one service.

    Parameters
    ----------
    model : traffic.EngineCostModel
    """

    def __init__(self, model: traffic.EngineCostModel):
        self._model = model
        self._chunk_seconds = model.chunk_tokens / model.prefill_tokens_per_second
        self._arriving_credit = 0.0
        self._spread_count = 1
        self._draw = 0.0
        self._candidates: list[Candidate] = []
        self._decode_costs: dict[str, float] = {}
        self._blocked_seconds: list[float] = []
        self._late_arrival_seconds = 0.0

    def place(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        *,
        arriving_credit: float = 0.0,
        unreported_count: float = 0.0,
        draw: float = 0.0,
    ) -> Placement | None:
        """Return the placement of least risk.

        Parameters
        ----------
        request : PlacementRequest
        candidates : list of Candidate
        arriving_credit : float
            Credit per second of the requests that arrive at all entries.
        unreported_count : float
            Expected number of requests that other entries place before this entry learns of it.
            The more there are, the more engines of about equal cost are drawn from.
        draw : float
            Random number from 0 up to 1 that decides between these engines.

        Returns
        -------
        Placement or None
            None if no engine has room, if the first token would come after the caller has
            disconnected, or if other requests would lose more than this one gains.
        """
        self._arriving_credit = arriving_credit
        self._spread_count = 1 + round(unreported_count)
        self._draw = draw
        self._candidates = candidates
        usable = [candidate for candidate in candidates if self._has_slot(candidate, request)]
        if not usable:
            return None
        self._decode_costs = {
            candidate.server: self._decode_cost(candidate, request) for candidate in usable
        }
        prefill_seconds = self._model.prefill_seconds(request.prompt_tokens)
        if prefill_seconds > BLOCKED_PREFILL_SECONDS:
            self._blocked_seconds = [_blocked_seconds(candidate) for candidate in candidates]
            self._late_arrival_seconds = late_arrival_seconds(self._blocked_seconds)
        best: Placement | None = None
        for size in GROUP_SIZES:
            if size > len(candidates):
                break
            placement = self._place_group(request, usable, candidates, prefill_seconds, size)
            if placement is not None and (best is None or placement.risk < best.risk):
                best = placement
            if prefill_seconds / size < self._model.decode_pass_seconds:
                break  # parts shorter than a pass gain nothing
        if (
            best is None
            or request.credit < MIN_QUEUED_CREDIT
            or best.risk <= request.credit * MAX_RISK_RATIO
        ):
            return best
        return None  # others would lose more than this request gains

    def seconds_until_free(self, candidates: list[Candidate]) -> float:
        """Return the shortest wait until an engine starts another prefill; 0 without engines."""
        return min((self._prefill_wait_seconds(candidate) for candidate in candidates), default=0.0)

    def _has_slot(self, candidate: Candidate, request: PlacementRequest) -> bool:
        max_queued_count = MAX_QUEUED_REQUEST_COUNT if request.credit >= MIN_QUEUED_CREDIT else 0
        return candidate.load.request_count < self._model.slots + max_queued_count

    def _place_group(
        self,
        request: PlacementRequest,
        usable: list[Candidate],
        candidates: list[Candidate],
        prefill_seconds: float,
        size: int,
    ) -> Placement | None:
        part_seconds = prefill_seconds / size
        part_tokens = -(-request.prompt_tokens // size)
        pause = prefill_pause(part_seconds, part_tokens, self._model)
        ranked_helpers = []
        if size > 1:
            ranked_helpers = sorted(
                (
                    self._helper_cost(candidate, request, part_seconds, pause),
                    _tie_break_order(candidate.server),
                    position,
                )
                for position, candidate in enumerate(candidates)
                if candidate.load.helping < self._model.slots
            )
        required_tokens = request.prompt_tokens + request.output_tokens
        with_memory = [
            candidate
            for candidate in usable
            if self._free_memory_tokens(candidate) >= required_tokens // size
        ]
        if not with_memory:
            return None
        primary = self._choose_primary(with_memory, request, part_seconds, pause)
        helpers = []
        for _, _, position in ranked_helpers:
            if len(helpers) == size - 1:
                break
            if candidates[position] is not primary:
                helpers.append(candidates[position])
        if len(helpers) < size - 1:
            return None
        held_tokens = self._split_memory(request, primary, helpers)
        if held_tokens is None:
            return None
        return self._evaluate(request, primary, tuple(helpers), part_seconds, pause, held_tokens)

    def _choose_primary(
        self,
        candidates: list[Candidate],
        request: PlacementRequest,
        part_seconds: float,
        pause: float,
    ) -> Candidate:
        """Return the engine of least cost, or one of several with about the same."""
        ranked = sorted(
            (
                self._primary_cost(candidate, request, part_seconds, pause)
                + self._decode_costs[candidate.server],
                _tie_break_order(candidate.server),
                position,
            )
            for position, candidate in enumerate(candidates)
        )
        max_cost = ranked[0][0] + SPREAD_COST
        near = [position for cost, _, position in ranked[: self._spread_count] if cost < max_cost]
        return candidates[near[int(self._draw * len(near))]]

    def _helper_cost(
        self, candidate: Candidate, request: PlacementRequest, part_seconds: float, pause: float
    ) -> float:
        """Return the risk of prefilling a part ahead of the engine's other prefills."""
        wait = self._preempting_wait_seconds(candidate)
        return self._part_cost(
            candidate, request, wait + part_seconds * candidate.slowdown
        ) + interference_risk(candidate.load, pause * candidate.slowdown, part_seconds)

    def _primary_cost(
        self, candidate: Candidate, request: PlacementRequest, part_seconds: float, pause: float
    ) -> float:
        """Return the risk of prefilling the first part, which is queued behind other prefills."""
        wait = self._prefill_wait_seconds(candidate)
        return self._part_cost(
            candidate, request, wait + part_seconds * candidate.slowdown
        ) + interference_risk(candidate.load, pause * candidate.slowdown, 0.0)

    def _part_cost(
        self, candidate: Candidate, request: PlacementRequest, first_token_seconds: float
    ) -> float:
        late_risk = (
            request.credit
            * LATE_LOSS_RATIO
            * late_first_token_risk(first_token_seconds, request.first_token_objective_seconds)
        )
        zone_cost = OTHER_ZONE_COST if candidate.zone != request.zone else 0.0
        last_resort_cost = LAST_RESORT_COST if candidate.is_last_resort else 0.0
        return late_risk + zone_cost + last_resort_cost + 0.2 * candidate.load.reading_seconds

    def _decode_cost(self, candidate: Candidate, request: PlacementRequest) -> float:
        """Return the risk of decoding the answer on an engine."""
        load = candidate.load
        # While the engine prefills a part, passes, and so the pauses at the start of the answer,
        # take that much longer.
        pass_with_prefill_seconds = (
            load.part_seconds * candidate.slowdown
            + self._model.decode_pass_seconds * candidate.slowdown
        )
        pause_risk = (
            request.credit
            * 0.5
            * late_pause_risk(
                pass_with_prefill_seconds
                if load.reading_seconds > 0
                else self._model.decode_pass_seconds * candidate.slowdown,
                request.gap_objective_seconds or 1.0,
            )
        )
        queue_cost = QUEUE_COST if load.request_count >= self._model.slots else 0.0
        packed_slots = self._model.slots - SPARE_SLOT_COUNT
        packing_bonus = PACKING_BONUS * min(load.strict, packed_slots)
        packing_bonus -= SPARE_SLOT_COST * max(0, load.request_count - packed_slots)
        if request.gap_objective_seconds > load_table.STRICT_PAUSE_SECONDS:
            # Answers to longer prompts, which allow longer pauses, are spread rather than packed.
            packing_bonus = -PACKING_BONUS * load.request_count
        return pause_risk + queue_cost - packing_bonus

    def _prefill_wait_seconds(self, candidate: Candidate) -> float:
        """Return the predicted wait until an engine starts another prefill."""
        load = candidate.load
        pass_remainder_seconds = (
            0.5 * self._model.decode_pass_seconds if load.request_count else 0.0
        )
        return candidate.slowdown * (pass_remainder_seconds + load.reading_seconds)

    def _preempting_wait_seconds(self, candidate: Candidate) -> float:
        """Return the predicted wait until an engine starts a part ahead of its other prefills."""
        load = candidate.load
        if not load.request_count:
            return 0.0
        # A pass with prefill takes as long as the prefill in it; on average half of it is over.
        prefill_seconds = min(load.part_seconds, self._model.steps_per_pass * self._chunk_seconds)
        return 0.5 * candidate.slowdown * (self._model.decode_pass_seconds + prefill_seconds)

    def _evaluate(
        self,
        request: PlacementRequest,
        primary: Candidate,
        helpers: tuple[Candidate, ...],
        part_seconds: float,
        pause: float,
        held_tokens: tuple[int, ...],
    ) -> Placement | None:
        group = (primary, *helpers)
        last_pass_seconds = max(
            self._model.decode_pass_seconds if engine.load.request_count else 0.0
            for engine in group
        )
        waits = [
            self._prefill_wait_seconds(primary),
            *(self._preempting_wait_seconds(engine) for engine in helpers),
        ]
        first_token = last_pass_seconds + max(
            wait + part_seconds * engine.slowdown for wait, engine in zip(waits, group, strict=True)
        )
        # The caller's timeout for the first token is only assumed, so a group of idle engines is
        # tried even if the prediction exceeds it.
        timeout = request.max_wait_seconds if max(waits) > 0 else request.time_limit_seconds
        if first_token > TIMEOUT_MISSED_RATIO * timeout:
            return None  # the result would be discarded, and other requests would wait for it
        late_risk = LATE_LOSS_RATIO * late_first_token_risk(
            first_token, request.first_token_objective_seconds
        )
        late_risk += (1 - LATE_LOSS_RATIO) * linear_ramp(
            first_token, TIMEOUT_SAFE_RATIO * timeout, TIMEOUT_MISSED_RATIO * timeout
        )
        interference = interference_risk(primary.load, pause * primary.slowdown, 0.0)
        interference += sum(
            interference_risk(engine.load, pause * engine.slowdown, part_seconds)
            for engine in helpers
        )
        zone_cost = sum(OTHER_ZONE_COST for engine in group if engine.zone != request.zone)
        last_resort_cost = sum(LAST_RESORT_COST for engine in group if engine.is_last_resort)
        risk = (
            request.credit * late_risk
            + interference
            + zone_cost
            + last_resort_cost
            + HELPER_COST * len(helpers)
        )
        risk += self._blocking_risk(group, part_seconds)
        risk += self._decode_costs[primary.server]
        if held_tokens:
            risk += 0.1  # reservations take a round trip and may be refused
        return Placement(primary, helpers, part_seconds, first_token, held_tokens, risk)

    def _blocking_risk(self, group: tuple[Candidate, ...], part_seconds: float) -> float:
        """Return the risk for requests that arrive while the group prefills."""
        if part_seconds <= BLOCKED_PREFILL_SECONDS:
            return 0.0
        members = {engine.server for engine in group}
        blocked_after_seconds = [
            min(PREDICTION_HORIZON_SECONDS, seconds + part_seconds * candidate.slowdown)
            if candidate.server in members
            else seconds
            for candidate, seconds in zip(self._candidates, self._blocked_seconds, strict=True)
        ]
        return (
            self._arriving_credit
            * LATE_LOSS_RATIO
            * (late_arrival_seconds(blocked_after_seconds) - self._late_arrival_seconds)
        )

    def _split_memory(
        self, request: PlacementRequest, primary: Candidate, helpers: list[Candidate]
    ) -> tuple[int, ...] | None:
        """Return the tokens that each helper must hold; None if the group lacks the memory."""
        required_tokens = request.prompt_tokens + request.output_tokens
        if required_tokens <= min(
            self._free_memory_tokens(primary),
            SINGLE_ENGINE_MEMORY_RATIO * self._model.memory_tokens,
        ):
            return ()
        if not helpers:
            return () if required_tokens <= self._free_memory_tokens(primary) else None
        min_holder_count = min(
            len(helpers),
            int(required_tokens / (SINGLE_ENGINE_MEMORY_RATIO * self._model.memory_tokens)) or 1,
        )
        by_free_memory = sorted(
            range(len(helpers)), key=lambda index: -self._free_memory_tokens(helpers[index])
        )
        for count in range(min_holder_count, len(helpers) + 1):
            share = -(-required_tokens // (count + 1))
            held = [0] * len(helpers)
            for index in by_free_memory[:count]:
                held[index] = min(share, max(0, self._free_memory_tokens(helpers[index])))
            if required_tokens - sum(held) <= min(self._free_memory_tokens(primary), 1.5 * share):
                return tuple(held)
        return None

    def _free_memory_tokens(self, candidate: Candidate) -> int:
        return int(self._model.memory_tokens * USABLE_MEMORY_RATIO) - candidate.load.memory_tokens
