"""Tests of the departures that a starting control host reads from its disk."""

from __future__ import annotations

import types
import unittest

from flamingoramp.daemons import departure_calls
from flamingoramp.membership import departures
from flamingoramp.protocol import messages

DEPARTURE = departures.Departure("s0", 5, True)


class TestRecovered(unittest.TestCase):
    """Departures of the snapshot and of the log, or none that are known."""

    def test_departures_of_the_log_are_included(self):
        payload = departures.encode([DEPARTURE])
        entry = messages.LogEntry(1, 1, departures.KIND_DEPARTURES, payload)
        log = types.SimpleNamespace(entries=(entry,))
        node = types.SimpleNamespace(replica=types.SimpleNamespace(log=log))
        recovered = departure_calls.read_recovered(node, departures.DepartureState())
        self.assertTrue(recovered.contains(DEPARTURE))

    # Guards against an empty state that passes for "no server has departed" on a failed disk.
    def test_departures_are_not_known_while_the_storage_fails(self):
        node = types.SimpleNamespace(replica=None)
        self.assertIsNone(departure_calls.read_recovered(node, departures.DepartureState()))
