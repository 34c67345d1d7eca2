"""The evacuated availability zones as an entry knows them."""

from __future__ import annotations

import attrs

from flamingoramp.runtime import suspension

# The loop of an entry iterates every 0.5 s at least.
MAX_LOOP_GAP_SECONDS = 1.0
# After a gap, an entry sends nothing to servers until a control host has told it what is in force;
# without an answer it goes on after this time by what it knows.
MAX_WAIT_SECONDS = 1.5


@attrs.frozen
class ZoneChange:
    """Zones that an entry learned to be evacuated, and those whose evacuation was withdrawn."""

    evacuated: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()


class EvacuatedZones:
    """The evacuated zones by the newest state that a control host sent.

    After a suspension of the process, these may be out of date: it then awaits the answer of a
    control host to a probe.

    Parameters
    ----------
    waits_after_suspension : bool
        Whether the process sends nothing to servers meanwhile.
    """

    def __init__(self, *, waits_after_suspension: bool = True):
        self._waits_after_suspension = waits_after_suspension
        self._number = 0
        self._zones: frozenset[str] = frozenset()
        self._suspension = suspension.SuspensionDetector(MAX_LOOP_GAP_SECONDS)
        self._last_probe = 0
        self._is_probe_open = False

    def __contains__(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self._zones

    @property
    def number(self) -> int:
        """Number of the state that is known; 0 before the first."""
        return self._number

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the evacuated zones, sorted."""
        return tuple(sorted(self._zones))

    @property
    def probe(self) -> int:
        """Number that an update has to repeat, 0 for none."""
        return self._last_probe if self._is_probe_open else 0

    def apply(self, number: int, zones: tuple[str, ...]) -> ZoneChange:
        """Replace the zones by those of a newer state, and return what has changed."""
        if number <= self._number:
            return ZoneChange()
        previous, self._number, self._zones = self._zones, number, frozenset(zones)
        return ZoneChange(
            evacuated=tuple(sorted(self._zones - previous)),
            restored=tuple(sorted(previous - self._zones)),
        )

    def observe(self, now: float, wall_time: float) -> bool:
        """Record that the process runs; return whether it has just resumed from a suspension."""
        was_suspended = self._suspension.observe(now, wall_time)
        if not was_suspended or not self._waits_after_suspension:
            return False
        self._last_probe += 1
        self._is_probe_open = True
        return True

    def handle_probe(self, probe: int) -> bool:
        """Record the probe that an update repeats; return whether it ended the wait for it."""
        if not probe or probe != self.probe:
            return False
        self._is_probe_open = False
        return True

    def awaits_update(self, now: float) -> bool:
        """Return whether the known zones may be out of date, and an update may soon arrive."""
        if self._suspension.seconds_since_gap(now) > MAX_WAIT_SECONDS:
            self._is_probe_open = False
        return self._is_probe_open
