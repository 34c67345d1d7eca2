"""Steps of a process's start: each is logged and exported once, with its time since the start."""

from __future__ import annotations

import enum
import time

from flamingoramp.runtime import event_log, listeners, metrics


class Step(enum.Enum):
    """A step of a start; the value is the name of its log event and of its metric."""

    LISTENING = "listening"
    LEADER_KNOWN = "leader_known"
    DECLARED = "declared"
    SERVER_KNOWN = "server_known"
    REQUEST_STARTED = "request_started"


class StartSteps:
    """Records the steps of one start.

    Parameters
    ----------
    opened : listeners.Listeners
        Tells when the program began and when its last listening socket was opened.
    log : event_log.EventLog
    process_metrics : metrics.Metrics
    """

    def __init__(
        self,
        opened: listeners.Listeners,
        log: event_log.EventLog,
        process_metrics: metrics.Metrics,
    ):
        self._opened = opened
        self._log = log
        self._metrics = process_metrics
        self._pending = set(Step)

    def record_listening(self) -> None:
        """Record when the process listened on all of its addresses."""
        self._record(Step.LISTENING, self._opened.opened_at, self._opened.processor_seconds)

    def record(self, step: Step) -> None:
        """Record that a step is done, the first time that it is reported."""
        if step in self._pending:
            self._record(step, time.monotonic(), time.process_time())

    def _record(self, step: Step, at: float, processor_seconds: float) -> None:
        self._pending.discard(step)
        seconds = round(at - self._opened.program_started_at, 4)
        self._metrics.set_gauge(f"start_{step.value}_seconds", seconds)
        self._log.write(
            f"start.{step.value}", seconds=seconds, processor_seconds=round(processor_seconds, 4)
        )
