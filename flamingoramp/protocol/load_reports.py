"""Message about the load that entries put on backend servers, which they exchange as datagrams."""

from __future__ import annotations

import math

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import messages

# Values of one server in a `LoadReport`.
LOAD_VALUE_COUNT = 8
# Values of one server among the statements of a `LoadReport`.
STATEMENT_VALUE_COUNT = 7
# Values of one row of the contention in a `LoadReport`.
CONTENTION_VALUE_COUNT = 14


@attrs.frozen(eq=False, repr=False)
class LoadReport(value_classes.Value):
    """Load of one entry, or of all entries of an availability zone (``is_summary``), by server.

    A report on many servers is split into numbered parts; a part replaces the previous part of the
    same number. ``forwarded`` marks a summary that a relay passes on within its availability zone;
    nobody passes it on again. With ``only_changes`` the report lists only servers whose load has
    changed; that of the others is as reported before. ``loads`` has the values of the servers in
    turn, those of `routing.load_table.ServerLoad` for each: one flat list is decoded several times
    faster than a structure for each server. The sender counts as stopped if no further report
    arrives for ``valid_seconds``. ``arrivals`` is the credit per second of the requests that arrive
    for each of ``services``.

    ``statements`` has the values of each of ``stated_servers`` in turn: the start of the server
    (Unix milliseconds), the limit that it named in an answer (requests per second, negative for
    none), the age of that answer in seconds, the number of requests sent there since it was known,
    1 if the server is leaving, 1 if it refused a request and has accepted none since, and what is
    left of the time to come back that it named, in seconds. While there are any, ``request_rates``
    is the number of requests per second for each of ``services``.

    ``contention`` has the values of `routing.contention.Row` for each of ``contending_services``
    and the workspace at the same position, with times in seconds from now. They are sent while
    requests wait for room or were refused lately; a report without them says nothing of it.

    A report with a ``placement`` is a notice of one long prompt, sent to all entries at the moment
    at which its servers were chosen: ``loads`` are what it adds to their load. ``placement`` is the
    id of the choice, and ``known_placements`` are those that the sender had lately heard of. A
    build without these fields takes the notice for the sender's load on these servers, which the
    sender's next report corrects.
    """

    entry: str = ""
    incarnation: str = ""
    sequence: int = 0
    servers: tuple[str, ...] = ()
    loads: tuple[float, ...] = attrs.field(default=(), metadata={messages.SINGLE_PRECISION: True})
    zone: str = ""
    is_summary: bool = False
    part: int = 0
    only_changes: bool = False
    forwarded: bool = False
    valid_seconds: float = 0.0
    services: tuple[str, ...] = ()
    arrivals: tuple[float, ...] = attrs.field(
        default=(), metadata={messages.SINGLE_PRECISION: True}
    )
    stated_servers: tuple[str, ...] = ()
    statements: tuple[float, ...] = attrs.field(default=())
    request_rates: tuple[float, ...] = attrs.field(
        default=(), metadata={messages.SINGLE_PRECISION: True}
    )
    contending_services: tuple[str, ...] = ()
    contending_workspaces: tuple[str, ...] = ()
    contention: tuple[float, ...] = attrs.field(
        default=(), metadata={messages.SINGLE_PRECISION: True}
    )
    placement: str = ""
    known_placements: tuple[str, ...] = ()

    @arrivals.validator
    def _check_arrivals(self, _attribute: attrs.Attribute, arrivals: tuple[float, ...]) -> None:
        _check_numbers("arrivals", arrivals, len(self.services))

    @loads.validator
    def _check_loads(self, _attribute: attrs.Attribute, loads: tuple[float, ...]) -> None:
        _check_numbers("loads", loads, LOAD_VALUE_COUNT * len(self.servers))

    @statements.validator
    def _check_statements(self, _attribute: attrs.Attribute, values: tuple[float, ...]) -> None:
        _check_numbers("statements", values, STATEMENT_VALUE_COUNT * len(self.stated_servers))

    @request_rates.validator
    def _check_request_rates(self, _attribute: attrs.Attribute, rates: tuple[float, ...]) -> None:
        _check_numbers("request_rates", rates, len(self.services) if rates else 0)

    @contention.validator
    def _check_contention(self, _attribute: attrs.Attribute, values: tuple[float, ...]) -> None:
        if len(self.contending_services) != len(self.contending_workspaces):
            raise ValueError("contention: each row takes a service and a workspace")
        _check_numbers("contention", values, CONTENTION_VALUE_COUNT * len(self.contending_services))


def _check_numbers(field: str, numbers: tuple[float, ...], count: int) -> None:
    # A finite sum shows that all of them are; one of large numbers may be infinite.
    are_finite = math.isfinite(sum(numbers)) or all(map(math.isfinite, numbers))
    if len(numbers) != count or not are_finite:
        raise ValueError(f"{field}: takes {count} finite numbers, found {len(numbers)} values")
