"""What the forwarder of a request uses of its entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from flamingoramp import dialect as dialects
from flamingoramp.dispatch import attempts, error_boundary, stop_admission
from flamingoramp.http import client
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import load_table, statements
from flamingoramp.runtime import loop as loops


class ForwardingContext(Protocol):
    """Parts and functions of an entry that a `RequestForwarder` uses."""

    loop: loops.Loop
    pool: client.Pool
    peer_pool: client.Pool
    dialect: dialects.Dialect
    server_loads: load_table.LoadTable

    @property
    def is_cut_off(self) -> bool:
        """Whether this entry reaches no server, so that other entries are its targets."""

    def postpone(self, step: Callable[[], None]) -> bool:
        """Repeat a step later, and return True, while the known evacuations may be out of date."""

    def find_evacuated(self, target: attempts.AttemptTarget) -> tuple[str, ...]:
        """Return the servers of a target that are in evacuated zones."""

    def choose_target(
        self, admitted: attempts.AdmittedRequest, excluded: set[str]
    ) -> attempts.AttemptTarget:
        """Choose the servers of the next attempt; ``excluded`` names those that must not serve.

        Raises
        ------
        flamingoramp.errors.NoBackendError or flamingoramp.errors.OverloadedError
            If no server is available or none has capacity.
        """

    def find_stop_refusal(
        self,
        admitted: attempts.AdmittedRequest,
        limit_seconds: float,
        *,
        first_event_seconds: float = 0.0,
        received_events: int = 0,
    ) -> stop_admission.Refuse | None:
        """Return why a planned stop of this entry keeps a request from being passed on, or None.

        Parameters
        ----------
        admitted : attempts.AdmittedRequest
        limit_seconds : float
            Time until its deadline.
        first_event_seconds : float
            Predicted wait for the first event at the chosen server; 0 if none is chosen.
        received_events : int
            Events of a stream that its caller has already.
        """

    def record_stop_refusal(
        self, admitted: attempts.AdmittedRequest, refusal: stop_admission.Refuse
    ) -> None:
        """Record that a request is not passed on since its answer would end after this entry."""

    def record_answer_seconds(self, admitted: attempts.AdmittedRequest, seconds: float) -> None:
        """Record the time from the only send of a request to the end of its answer."""

    def list_servers_of_zone(self, service: str, zone: str) -> set[str]:
        """Return the names of a service's servers in an availability zone."""

    def record_target(self, target: attempts.AttemptTarget) -> None:
        """Add the load of an attempt to its servers, and count it towards their limits."""

    def settle(
        self,
        target: attempts.AttemptTarget,
        on_settled: Callable[[bool], None],
        boundary: error_boundary.ErrorBoundary,
    ) -> None:
        """Tell other entries of a target, and call back once its placement is settled.

        ``on_settled`` takes whether the request has to be placed again.
        """

    def record_first_send(self, service: str) -> None:
        """Count the first send of a request."""

    def try_spend_retry(self, service: str) -> bool:
        """Spend a retry of the service's allowance; False if it is used up."""

    def record_failure(
        self,
        admitted: attempts.AdmittedRequest,
        server: protocol_messages.ServerRecord,
        *,
        crashed: bool,
        not_connected: bool,
        sent_at: float,
    ) -> None:
        """Record a failed attempt.

        ``crashed`` if the request, sent at ``sent_at``, may have crashed the server, and
        ``not_connected`` if no connection was established in time.
        """

    def has_backlog(
        self, admitted: attempts.AdmittedRequest, server: protocol_messages.ServerRecord
    ) -> bool:
        """Tell whether a server's known load explains why it sends no data."""

    def is_unresponsive(self, server: protocol_messages.ServerRecord) -> bool:
        """Tell whether a server is known not to respond."""

    def check_server(self, server: protocol_messages.ServerRecord) -> None:
        """Find out whether a server that sends nothing accepts connections."""

    def record_stall(self, server: protocol_messages.ServerRecord) -> None:
        """Record that a server sent no data for longer than its timeout."""

    def record_answer(self, server: protocol_messages.ServerRecord, failed: bool) -> None:
        """Record a complete answer; ``failed`` for a 5xx status."""

    def record_sound(self, admitted: attempts.AdmittedRequest) -> None:
        """Record that a server has answered a request completely."""

    def record_statement(
        self,
        admitted: attempts.AdmittedRequest,
        server: protocol_messages.ServerRecord,
        statement: statements.ServerStatement,
    ) -> None:
        """Record what a server states of itself in its answer to a request."""

    def record_event_gaps(
        self, service: str, server: protocol_messages.ServerRecord, event_gaps: list[float]
    ) -> None:
        """Record the intervals between the events of a stream, in seconds."""

    def record_end(self, admitted: attempts.AdmittedRequest, outcome: str, **fields: Any) -> None:
        """Log a request's outcome and update the metrics."""

    def record_error(self, error: Exception) -> None:
        """Record an unexpected error that has ended one request."""

    def record_step(self, admitted: attempts.AdmittedRequest, event: str, **fields: Any) -> None:
        """Log a step in the processing of a request."""
