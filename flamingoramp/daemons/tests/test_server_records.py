"""Tests of the file that keeps the servers that a control host knows."""

from __future__ import annotations

import pathlib
import tempfile
import threading
import unittest
from unittest import mock

from flamingoramp import errors
from flamingoramp.daemons import server_records
from flamingoramp.membership import departures, registry, server_records_file
from flamingoramp.protocol import messages
from flamingoramp.runtime import metrics, virtual_time

WALL_TIME = 1_800_000_000.0
RECORDS = tuple(
    messages.ServerRecord(f"s{number}", "llm", f"10.0.0.{number}:1", "a", sequence=7, born=5)
    for number in range(70)
)


class EventLog:
    """Records the names of the events."""

    def __init__(self):
        self.events: list[str] = []

    def write(self, event: str, request: str = "", **fields) -> None:
        del request, fields
        self.events.append(event)


class RecordsCase(unittest.TestCase):
    """Base of tests with a data folder; `start` begins a run of a control host."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = pathlib.Path(self.folder, server_records.FILE_NAME)
        self.wall_time = WALL_TIME
        self.departed = departures.DepartureState()

    def start(self) -> registry.Registry:
        self.loop = virtual_time.VirtualLoop()
        self.loop.post = lambda callback: callback()
        self.log = EventLog()
        self.registry = registry.Registry()
        self.records = server_records.ServerRecords(
            self.loop,
            self.registry,
            self.folder,
            departed=self.departed,
            log=self.log,
            metrics=metrics.Metrics(),
            wall_time=lambda: self.wall_time,
        )
        return self.registry

    def run_for(self, seconds: float) -> None:
        """Let time pass and the writes complete."""
        for _ in range(round(seconds)):
            self.loop.advance(1.0)
            self.wall_time += 1.0
            self.records._thread and self.records._thread.join(5.0)


class TestRestart(RecordsCase):
    """All control hosts start anew, and servers announce themselves a second later."""

    # Guards against queued requests that all go to the first server that announces itself again.
    def test_all_servers_are_known_at_once(self):
        self.start()
        for record in RECORDS:
            self.registry.update_server(record, self.loop.now())
        self.run_for(2.0)
        self.assertEqual(len(self.start().servers()), len(RECORDS))
        self.assertEqual(self.log.events, ["servers.loaded"])

    def test_leave_and_end_are_not_lost_to_an_older_record(self):
        self.start()
        for record in RECORDS[:2]:
            self.registry.update_server(record, self.loop.now())
        self.run_for(2.0)
        self.registry.update_server(
            messages.ServerRecord("s0", sequence=8, born=5, leaving=True), 3
        )
        self.registry.update_server(messages.ServerRecord("s1", sequence=8, born=5, gone=True), 3)
        self.run_for(2.0)
        known = self.start()
        known.update_server(RECORDS[0], 0.0)
        known.update_server(RECORDS[1], 0.0)
        self.assertTrue(known.find_server("s0").leaving)
        self.assertEqual([record.server for record in known.servers()], ["s0"])

    # Guards against servers that are used after a restart since their departure came after the last
    # write of the file.
    def test_departure_of_the_log_is_newer_than_the_record(self):
        self.start()
        for record in RECORDS[:3]:
            self.registry.update_server(record, self.loop.now())
        self.run_for(2.0)
        payload = departures.encode(
            [departures.Departure("s0", 5, False), departures.Departure("s1", 5, True)]
        )
        entry = messages.LogEntry(1, 1, departures.KIND_DEPARTURES, payload)
        self.departed.apply_entry(entry)
        known = {record.server: record for record in self.start().servers()}
        self.assertEqual(sorted(known), ["s0", "s2"])
        self.assertTrue(known["s0"].leaving)
        self.assertFalse(known["s2"].leaving)

    # Guards against departed servers that are used after a start on a full disk, while the log with
    # their departures is not read.
    def test_records_are_not_used_while_the_departures_are_not_known(self):
        self.start().update_server(RECORDS[0], self.loop.now())
        self.run_for(2.0)
        self.departed = None
        self.assertEqual(self.start().servers(), [])
        self.assertEqual(self.log.events, ["servers.unreadable"])

    def test_later_start_of_a_server_replaces_the_kept_record(self):
        self.start().update_server(RECORDS[0], 0.0)
        self.run_for(2.0)
        known = self.start()
        known.update_server(messages.ServerRecord("s0", "llm", born=6, sequence=1), 0.0)
        self.assertEqual(known.find_server("s0").born, 6)

    def test_file_of_a_long_outage_is_not_used(self):
        self.start().update_server(RECORDS[0], 0.0)
        self.run_for(2.0)
        self.wall_time += server_records_file.MAX_AGE_SECONDS + 2.0
        self.assertEqual(self.start().servers(), [])

    def test_ages_include_the_time_since_the_file_was_written(self):
        server_records_file.save(self.path, RECORDS[:1], WALL_TIME)
        (record,) = server_records_file.load(self.path, WALL_TIME + 3.0)
        self.assertEqual(record.age, 3.0)


class TestFaultyDisk(RecordsCase):
    """A disk that stalls, is full or has torn a file doesn't stop a control host."""

    def test_loop_goes_on_while_the_disk_stalls(self):
        release = threading.Event()
        self.addCleanup(release.set)
        saved = mock.Mock(side_effect=lambda *_arguments: release.wait(5.0))
        with mock.patch.object(server_records_file, "save", saved):
            self.start().update_server(RECORDS[0], 0.0)
            for _ in range(10):
                self.loop.advance(1.0)
            self.assertEqual(saved.call_count, 1)

    def test_write_is_repeated_after_an_error(self):
        self.start().update_server(RECORDS[0], 0.0)
        with mock.patch.object(server_records_file, "save", side_effect=OSError("disk full")):
            self.run_for(2.0)
        self.assertIn("servers.not_saved", self.log.events)
        self.run_for(2.0)
        self.assertEqual(len(server_records_file.load(self.path, self.wall_time)), 1)

    def test_torn_file_is_ignored(self):
        server_records_file.save(self.path, RECORDS, WALL_TIME)
        data = self.path.read_bytes()
        for length in (0, 5, 8, 9, 40, len(data) - 1):
            self.path.write_bytes(data[:length])
            with self.assertRaises(errors.ProtocolError):
                server_records_file.load(self.path, WALL_TIME)
            self.assertEqual(self.start().servers(), [])
            self.assertEqual(self.log.events, ["servers.unreadable"])


if __name__ == "__main__":
    unittest.main()
