"""Expected duration of whole answers, from the model of the engines and from earlier answers."""

from __future__ import annotations

import attrs

from flamingoramp import value_classes
from flamingoramp.dispatch import attempts, stop_admission
from flamingoramp.intent import traffic

# Time for a request's way to a server and that of the answer back.
TRANSFER_SECONDS = 0.05
# Weight of the latest answer in the mean, and of the mean in the decaying maximum.
MEAN_WEIGHT = 0.1
MAXIMUM_DECAY_WEIGHT = 0.02


@attrs.define(eq=False, repr=False)
class _Ratios(value_classes.MutableValue):
    """Durations of a route's answers, divided by those of its model."""

    mean: float
    maximum: float


class AnswerTimes:
    """Learns by route how long answers take, compared with the model of their service.

    The model of an answer of an engine is its prefill and the largest number of output tokens on an
    otherwise idle engine. Other answers have no model and are compared with a constant.
    """

    def __init__(self):
        self._ratios: dict[str, _Ratios] = {}

    def record(
        self,
        admitted: attempts.AdmittedRequest,
        engine: traffic.EngineCostModel | None,
        seconds: float,
    ) -> None:
        """Record the time from the send of a request to the end of its answer."""
        ratio = seconds / _model_seconds(admitted, engine)
        ratios = self._ratios.get(admitted.route.name)
        if ratios is None:
            self._ratios[admitted.route.name] = _Ratios(ratio, ratio)
            return
        ratios.mean += MEAN_WEIGHT * (ratio - ratios.mean)
        ratios.maximum -= MAXIMUM_DECAY_WEIGHT * (ratios.maximum - ratios.mean)
        ratios.maximum = max(ratios.maximum, ratio)

    def expect(
        self,
        admitted: attempts.AdmittedRequest,
        engine: traffic.EngineCostModel | None,
        *,
        first_event_seconds: float = 0.0,
        received_events: int = 0,
    ) -> stop_admission.ExpectedAnswer | None:
        """Return the expected duration of an answer, None if nothing is known of it.

        Parameters
        ----------
        admitted : attempts.AdmittedRequest
        engine : traffic.EngineCostModel or None
            None for services without engines.
        first_event_seconds : float
            Predicted wait for the first event at the chosen engine; 0 if none is chosen.
        received_events : int
            Events of a stream that its caller has already.
        """
        ratios = self._ratios.get(admitted.route.name)
        has_model = engine is not None and admitted.caller.prompt_tokens > 0
        if ratios is None and not has_model:
            return None
        seconds = _model_seconds(
            admitted,
            engine,
            first_event_seconds=first_event_seconds,
            received_events=received_events,
        )
        if ratios is None:
            return stop_admission.ExpectedAnswer(None, seconds)
        return stop_admission.ExpectedAnswer(seconds * ratios.mean, seconds * ratios.maximum)

    def retain_only(self, routes: set[str]) -> None:
        """Forget the answers of all but some routes."""
        self._ratios = {name: item for name, item in self._ratios.items() if name in routes}


def _model_seconds(
    admitted: attempts.AdmittedRequest,
    engine: traffic.EngineCostModel | None,
    *,
    first_event_seconds: float = 0.0,
    received_events: int = 0,
) -> float:
    caller = admitted.caller
    if engine is None or not caller.prompt_tokens:
        return 1.0
    output_tokens = max(0, caller.output_tokens - received_events * engine.steps_per_pass)
    pass_count = -(-output_tokens // engine.steps_per_pass)
    context_tokens = caller.prompt_tokens + caller.output_tokens
    step_seconds = (
        engine.step_seconds + engine.sequence_seconds + engine.context_seconds * context_tokens
    )
    prefill_seconds = max(first_event_seconds, engine.prefill_seconds(caller.prompt_tokens))
    return TRANSFER_SECONDS + prefill_seconds + pass_count * engine.steps_per_pass * step_seconds
