"""Load that notices of long prompts add to servers, until a report or a summary includes it."""

from __future__ import annotations

import typing
from collections.abc import Callable, Iterator

import attrs

from flamingoramp import value_classes
from flamingoramp.protocol import load_reports

if typing.TYPE_CHECKING:
    from flamingoramp.routing import load_table

# A summary of a zone that arrives this long after a notice from there includes what it told of.
OVERLAP_SECONDS = 0.03
# An entry tells of its work in reports soon after a notice. What no report has included for so long
# is of an entry that has stopped.
EXPIRY_SECONDS = 1.5


@attrs.frozen(eq=False, repr=False)
class NoticedLoad(value_classes.Value):
    """What one placement adds to one server.

    Parameters
    ----------
    entry, zone : str
        Entry that told of it, and its availability zone.
    sequence : int
        Number of the notice among the reports of that entry.
    load : load_table.ServerLoad
    received_at : float
    """

    entry: str
    zone: str
    sequence: int
    load: load_table.ServerLoad
    received_at: float


class NoticedLoads:
    """What placements of other entries add to servers; times are monotonic seconds."""

    def __init__(self):
        # By server, then by placement.
        self._loads: dict[str, dict[str, NoticedLoad]] = {}
        # Placements that were withdrawn, whose notices may still arrive.
        self._withdrawn_at: dict[str, float] = {}

    def on_server(self, server: str, now: float) -> Iterator[NoticedLoad]:
        """Yield what notices add to a server."""
        for noticed in self._loads.get(server, {}).values():
            if now - noticed.received_at < EXPIRY_SECONDS:
                yield noticed

    def add(self, placement: str, server: str, noticed: NoticedLoad) -> None:
        """Add what a placement adds to a server, unless it was withdrawn."""
        if placement not in self._withdrawn_at:
            self._loads.setdefault(server, {})[placement] = noticed

    def withdraw(self, placement: str, now: float) -> None:
        """Remove what a placement adds to its servers."""
        self._withdrawn_at[placement] = now
        for server in [server for server, items in self._loads.items() if placement in items]:
            self._remove(server, placement)

    def drop_reported(self, report: load_reports.LoadReport, now: float) -> None:
        """Drop what a report of an entry, or a summary of a zone, includes."""
        if not self._loads:
            return
        if report.is_summary:
            servers = report.servers if report.only_changes else list(self._loads)

            def _is_included(noticed: NoticedLoad) -> bool:
                age = now - noticed.received_at
                return noticed.zone == report.zone and age >= OVERLAP_SECONDS

        else:
            servers = report.servers

            def _is_included(noticed: NoticedLoad) -> bool:
                return noticed.entry == report.entry and noticed.sequence < report.sequence

        for server in servers:
            self._drop(server, _is_included)

    def remove_expired(self, now: float) -> None:
        """Remove what no report has included for long."""
        for server in list(self._loads):
            self._drop(server, lambda noticed: now - noticed.received_at >= EXPIRY_SECONDS)
        self._withdrawn_at = {
            placement: withdrawn_at
            for placement, withdrawn_at in self._withdrawn_at.items()
            if now - withdrawn_at < EXPIRY_SECONDS
        }

    def _drop(self, server: str, is_dropped: Callable[[NoticedLoad], bool]) -> None:
        for placement, noticed in list(self._loads.get(server, {}).items()):
            if is_dropped(noticed):
                self._remove(server, placement)

    def _remove(self, server: str, placement: str) -> None:
        items = self._loads[server]
        del items[placement]
        if not items:
            del self._loads[server]
