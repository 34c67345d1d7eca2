"""The programs as processes: settings files, signals, and the log on standard output."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import unittest

import cattrs

from flamingoramp.platform import main
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import standin

LONG_STREAM_EVENTS = 30
EVENT_SECONDS = 0.05


class EntryProgram:
    """The entry program of a host of a fleet, as a process of its own.

    Parameters
    ----------
    fleet : fleets.Fleet
    number : int
        Which host's settings it gets.
    """

    def __init__(self, fleet: fleets.Fleet, number: int):
        folder = pathlib.Path(tempfile.mkdtemp(dir=fleet.folder))
        self.path = folder / "settings.json"
        self.settings = cattrs.unstructure(fleet.settings(number))
        self.write(self.settings)
        self._log = folder / "log"
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "flamingoramp.platform.main", "entry"],
                env={**os.environ, main.SETTINGS_VARIABLE: str(self.path)},
                stdout=log,
            )

    @property
    def front(self) -> str:
        """The callers' address."""
        return self.settings["listen"]["callers"]

    def write(self, settings: dict) -> None:
        """Put a settings file in place of the last one."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(settings))
        fresh.rename(self.path)

    def events(self, name: str) -> list[dict]:
        """Return the logged events of a name."""
        lines = self._log.read_bytes().split(b"\n")[:-1]
        return [one for one in map(json.loads, lines) if one["event"] == name]

    def wait_for_event(self, name: str, count: int = 1) -> dict:
        """Wait until an event was logged some times, and return the last."""
        return fleets.wait_for(
            lambda: len(self.events(name)) >= count and self.events(name)[-1], f"{count} {name}"
        )

    def close(self) -> None:
        """End at once."""
        self.process.kill()
        self.process.wait(fleets.WAIT_SECONDS)


class ProgramCase(unittest.TestCase):
    """An entry program that serves a slow stream."""

    def setUp(self):
        self.fleet = fleets.Fleet(controls=1, entries=1)
        self.addCleanup(self.fleet.close)
        self.fleet.declare(1)
        self.fleet.wait_in_force(1)
        # The host's entry of the fleet makes way for the program.
        self.fleet.entries.pop().stop()
        self.program = EntryProgram(self.fleet, 1)
        self.addCleanup(self.program.close)
        self.program.wait_for_event("declaration.in_force")
        behaviour = standin.Behaviour(events=LONG_STREAM_EVENTS, event_seconds=EVENT_SECONDS)
        self.engine = self.fleet.add_backend("e1", "llm", behaviour)
        self.program.wait_for_event("server.changed")

    def begin_stream(self) -> tuple[threading.Thread, list[fleets.Answer]]:
        """Ask for a stream, and return once the engine has the request."""
        answers: list[fleets.Answer] = []
        before = len(self.engine.requests)
        headers = {
            "x-attempt-id": f"id{before}",
            "authorization": "Token k1",
            "x-deadline-ms": "8000",
            "x-token-count": "1000,100",
        }

        def _ask() -> None:
            front = self.program.front
            answers.append(fleets.ask(front, "POST", "/stream/x", headers=headers, body=b"b"))

        thread = threading.Thread(target=_ask)
        thread.start()
        fleets.wait_for(lambda: len(self.engine.requests) > before, "the request at the engine")
        return thread, answers

    def check_whole(self, thread: threading.Thread, answers: list[fleets.Answer]) -> None:
        thread.join(fleets.WAIT_SECONDS)
        self.assertEqual(answers[0].status, 200)
        self.assertEqual(answers[0].body.count(b"\n\n"), LONG_STREAM_EVENTS)


class TestReload(ProgramCase):
    """Settings that change while requests run."""

    def change_seeds(self) -> list[str]:
        seeds = [*self.fleet.seeds, "127.0.0.9:9"]
        self.program.write({**self.program.settings, "seeds": seeds})
        return seeds

    def test_a_signal_reloads_and_cuts_nothing_short(self):
        under_way = self.begin_stream()
        seeds = self.change_seeds()
        self.program.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.program.wait_for_event("settings.reloaded")["seeds"], seeds)
        self.check_whole(*under_way)
        self.check_whole(*self.begin_stream())
        self.assertIsNone(self.program.process.poll())

    def test_a_changed_file_is_read_without_a_signal(self):
        seeds = self.change_seeds()
        self.assertEqual(self.program.wait_for_event("settings.reloaded")["seeds"], seeds)

    def test_a_file_that_can_not_be_read_changes_nothing(self):
        self.program.path.write_text("{")
        self.program.process.send_signal(signal.SIGHUP)
        self.program.wait_for_event("settings.refused")
        self.check_whole(*self.begin_stream())
        self.assertEqual(self.program.events("settings.reloaded"), [])


class TestStop(ProgramCase):
    """A planned stop."""

    def test_a_stream_under_way_is_finished_before_the_end(self):
        under_way = self.begin_stream()
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for_event("process.stopping")
        self.check_whole(*under_way)
        self.assertEqual(self.program.process.wait(fleets.WAIT_SECONDS), 0)
        self.assertEqual(len(self.program.events("process.stopped")), 1)
        costs = self.program.events("process.costs")[-1]
        self.assertGreater(costs["processor_seconds"], 0.0)
        self.assertGreater(costs["inner_sent_bytes"], 0)
        self.assertGreater(costs["inner_received_bytes"], 0)

    def test_callers_that_still_come_are_served_for_a_while(self):
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for_event("process.stopping")
        self.check_whole(*self.begin_stream())
        self.assertEqual(self.program.process.wait(fleets.WAIT_SECONDS), 0)
