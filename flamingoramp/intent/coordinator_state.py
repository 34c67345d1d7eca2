"""Replicated state of the control hosts: declaration, evacuated zones and departed servers.

All share the log and the snapshot. Those of earlier builds lack the evacuations or the departures.
"""

from __future__ import annotations

from flamingoramp.intent import evacuations, versioned_declaration
from flamingoramp.membership import departures
from flamingoramp.protocol import messages

EVACUATIONS_FIELD = "evacuations"
DEPARTURES_FIELD = "departures"

EntryResult = (
    versioned_declaration.DeclareResult
    | evacuations.OrderResult
    | tuple[departures.Departure, ...]
    | None
)


class CoordinatorState:
    """State machine of a control host, made of those of its parts."""

    def __init__(self):
        self._declaration = versioned_declaration.VersionedDeclarationState()
        self._evacuations = evacuations.EvacuationState()
        self._departures = departures.DepartureState()

    @property
    def declaration(self) -> versioned_declaration.VersionedDeclarationState:
        """The declaration in force."""
        return self._declaration

    @property
    def evacuations(self) -> evacuations.EvacuationState:
        """The evacuated availability zones."""
        return self._evacuations

    @property
    def departures(self) -> departures.DepartureState:
        """The backend servers that have departed."""
        return self._departures

    def apply_entry(self, entry: messages.LogEntry) -> EntryResult:
        """Apply a committed log entry and return its result; None for entries of other kinds."""
        match entry.kind:
            case evacuations.KIND_ZONE_ORDER:
                return self._evacuations.apply_entry(entry)
            case departures.KIND_DEPARTURES:
                return self._departures.apply_entry(entry)
        return self._declaration.apply_entry(entry)

    def dump(self) -> bytes:
        """Return the state for a snapshot: that of the declaration, the others in its header."""
        return self._declaration.dump(
            {
                EVACUATIONS_FIELD: self._evacuations.dump(),
                DEPARTURES_FIELD: self._departures.dump(),
            }
        )

    def load(self, data: bytes) -> None:
        """Restore a snapshot; what is newer in the present state stays."""
        self._declaration.load(data)
        if data:
            header = versioned_declaration.read_snapshot_header(data)
            self._evacuations.load(header.get(EVACUATIONS_FIELD, {}))
            self._departures.load(header.get(DEPARTURES_FIELD, []))
