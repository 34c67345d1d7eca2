"""Departures of backend servers on a control host: committed first, acknowledged then.

The control hosts tell each other what servers announce. The leader proposes each departure that it
hears of, from a server or from another host, and a host that a server told of its departure answers
once its own replicated state has it. A departure takes effect as soon as a host hears of it.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingoramp import errors
from flamingoramp.consensus import node as nodes
from flamingoramp.daemons import operator_calls
from flamingoramp.membership import departures, registry
from flamingoramp.protocol import messages
from flamingoramp.runtime import event_log
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module


@attrs.define
class _WaitingCall:
    """A server's call that is answered once its departure is committed."""

    departure: departures.Departure
    received_at: float
    call: operator_calls.PendingCall


class DepartureCalls:
    """Commits departures if this host leads, and answers the calls that tell of them.

    Parameters
    ----------
    loop : loops.Loop
    node : nodes.Node
    state : departures.DepartureState
        Replicated state of this host.
    member_registry : registry.Registry
    log : event_log.EventLog
    metrics : metrics_module.Metrics
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        node: nodes.Node,
        state: departures.DepartureState,
        member_registry: registry.Registry,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
    ):
        self._loop = loop
        self._node = node
        self._state = state
        self._registry = member_registry
        self._log = log
        self._metrics = metrics
        self._waiting: list[_WaitingCall] = []
        # Change of the registry up to which this host has proposed departures as leader.
        self._proposed_number = 0
        self._is_proposing = False
        self._applied_count = 0

    def submit(
        self,
        record: messages.ServerRecord | None,
        *,
        on_committed: Callable[[], None],
        on_error: Callable[[errors.FlamingorampError], None],
    ) -> None:
        """Call one of the callbacks once the departure that a record tells of is committed or not.

        Parameters
        ----------
        record : ServerRecord or None
            Record of the registry for the server that made the call.
        on_committed : callable
            Called at once if there is no departure, or if it is committed already.
        on_error : callable
            Called with the error if no quorum has committed the departure in time.
        """
        departure = departures.find_departure(record)
        if departure is None or self._state.contains(departure):
            on_committed()
            return
        now = self._loop.now()
        call = operator_calls.PendingCall(
            now + operator_calls.ANSWER_TIMEOUT_SECONDS, lambda _result: on_committed(), on_error
        )
        self._waiting.append(_WaitingCall(departure, now, call))
        self.update()

    def update(self) -> bool:
        """Propose new departures, apply committed ones to the registry, and answer calls.

        Returns
        -------
        bool
            Whether the registry has changed.
        """
        self._propose()
        has_changed = self._apply()
        self._answer()
        return has_changed

    def _propose(self) -> None:
        """Propose the departures of the registry that are not committed; one entry at a time."""
        if not self._node.is_leader:
            self._proposed_number, self._is_proposing = 0, False
            return
        number = self._registry.change_number
        if self._is_proposing or number == self._proposed_number:
            return
        records, _ = self._registry.changed_since(self._proposed_number, self._loop.now())
        self._proposed_number = number
        found = [departures.find_departure(record) for record in records]
        new = [item for item in found if item is not None and not self._state.contains(item)]
        if not new:
            return
        self._is_proposing = True
        self._node.propose(
            departures.KIND_DEPARTURES,
            departures.encode(new),
            self._handle_committed,
            self._handle_failed_proposal,
        )

    def _handle_committed(self, committed: tuple[departures.Departure, ...]) -> None:
        self._is_proposing = False
        for departure in committed:
            self._metrics.count("departures_committed")
            self._log.write("departure.committed", server=departure.server, gone=departure.gone)

    def _handle_failed_proposal(self, error: errors.FlamingorampError) -> None:
        self._is_proposing = False
        self._proposed_number = 0
        self._log.write("departure.not_committed", code=error.code, text=str(error))

    def _apply(self) -> bool:
        """Mark the servers of the registry whose departure has been committed."""
        if self._applied_count == self._state.change_count:
            return False
        self._applied_count = self._state.change_count
        now = self._loop.now()
        has_changed = False
        for record in self._registry.servers():
            amended = self._state.amend(record)
            if amended is not record:
                has_changed = self._registry.update_server(amended, now) or has_changed
        return has_changed

    def _answer(self) -> None:
        now = self._loop.now()
        for waiting in list(self._waiting):
            is_committed = self._state.contains(waiting.departure)
            if not is_committed and now <= waiting.call.deadline:
                continue
            self._waiting.remove(waiting)
            outcome = "acknowledged" if is_committed else "unconfirmed"
            seconds = now - waiting.received_at
            self._metrics.count("departure_calls", outcome=outcome)
            self._metrics.observe("departure_call_seconds", seconds)
            self._log.write(
                f"departure.{outcome}",
                server=waiting.departure.server,
                gone=waiting.departure.gone,
                seconds=round(seconds, 4),
            )
            if is_committed:
                waiting.call.on_result(None)
            else:
                waiting.call.on_error(operator_calls.no_quorum_error())


def read_recovered(
    node: nodes.Node, state: departures.DepartureState
) -> departures.DepartureState | None:
    """Return the departures that a starting host has on its disk, committed or not.

    Those of the log are known to be committed only once there is a leader. They are true all the
    same, and servers that are loaded from the disk must not be used until then. None if the storage
    has failed: they are not known.
    """
    if node.replica is None:
        return None
    recovered = departures.DepartureState()
    recovered.load(state.dump())
    for entry in node.replica.log.entries:
        recovered.apply_entry(entry)
    return recovered
