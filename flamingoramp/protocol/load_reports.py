"""Message about the load that entries put on backend servers, which they exchange as datagrams."""

from __future__ import annotations

import math

import attrs

# Values of one server in a `LoadReport`.
LOAD_VALUE_COUNT = 8


@attrs.frozen
class LoadReport:
    """Load of one entry, or of all entries of an availability zone (``is_summary``), by server.

    A report on many servers is split into numbered parts; a part replaces the previous part of the
    same number. ``forwarded`` marks a summary that a relay passes on within its availability zone;
    nobody passes it on again. With ``only_changes`` the report lists only servers whose load has
    changed; that of the others is as reported before. ``loads`` has the values of the servers in
    turn, those of `routing.load_table.ServerLoad` for each: one flat list is decoded several times
    faster than a structure for each server. The sender counts as stopped if no further report
    arrives for ``valid_seconds``. ``arrivals`` is the credit per second of the requests that arrive
    for each of ``services``.
    """

    entry: str = ""
    incarnation: str = ""
    sequence: int = 0
    servers: tuple[str, ...] = ()
    loads: tuple[float, ...] = attrs.field(default=())
    zone: str = ""
    is_summary: bool = False
    part: int = 0
    only_changes: bool = False
    forwarded: bool = False
    valid_seconds: float = 0.0
    services: tuple[str, ...] = ()
    arrivals: tuple[float, ...] = attrs.field(default=())

    @arrivals.validator
    def _check_arrivals(self, _attribute: attrs.Attribute, arrivals: tuple[float, ...]) -> None:
        if len(arrivals) != len(self.services) or not all(map(math.isfinite, arrivals)):
            raise ValueError(
                f"arrivals: takes a finite number for each of {len(self.services)} services, "
                f"found {len(arrivals)} values"
            )

    @loads.validator
    def _check_loads(self, _attribute: attrs.Attribute, loads: tuple[float, ...]) -> None:
        if len(loads) != LOAD_VALUE_COUNT * len(self.servers) or not all(map(math.isfinite, loads)):
            raise ValueError(
                f"loads: takes {LOAD_VALUE_COUNT} finite numbers for each of "
                f"{len(self.servers)} servers, found {len(loads)} values"
            )
