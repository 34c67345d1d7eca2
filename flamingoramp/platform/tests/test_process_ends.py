"""What ends a process by itself, its exit status and its last log line; tried as real processes."""

from __future__ import annotations

import json
import pathlib
import shutil
import signal
import tempfile
import unittest

import attrs

from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import programs

ROLES = ("entry", "control")


class ProgramTestCase(unittest.TestCase):
    """Starts the programs of the deploy file on addresses of their own."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        # It reserves the ports and makes the settings; its daemons don't run.
        self.fleet = fleets.Fleet(controls=1, entries=1)
        self.fleet.controls.pop().stop()
        self.fleet.entries.pop().stop()
        self.addCleanup(self.fleet.close)
        self.programs: list[programs.Program] = []
        self.addCleanup(self.close_programs)

    def make_settings(self, role: str) -> dict:
        index = ROLES[::-1].index(role)
        return json.loads(json.dumps(attrs.asdict(self.fleet.settings(index))))

    def start(self, role: str, settings: dict | str = "", import_folder: str = ""):
        folder = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
        settings = settings or self.make_settings(role)
        program = programs.Program(role, folder, settings, import_folder)
        self.programs.append(program)
        return program

    def close_programs(self) -> None:
        """Kill the programs that still run."""
        for program in self.programs:
            program.close()
        self.programs.clear()

    def assert_ended(self, program: programs.Program, status: int, cause: str) -> dict:
        self.assertEqual(program.wait(), status, program.errors)
        last = program.log[-1]
        self.assertEqual((last["event"], last["cause"]), ("process.ended", cause), program.log)
        self.assertEqual(last["status"], status)
        self.assertEqual(len(program.events("process.ended")), 1)
        return last


class TestLastLine(ProgramTestCase):
    """The cause of each end, as the last line of the log."""

    # Guards against a planned stop and a failure whose logs end alike.
    def test_planned_stop_is_told_from_other_ends(self):
        for role in ROLES:
            with self.subTest(role):
                program = self.start(role)
                program.wait_for_event("start.listening")
                program.process.send_signal(signal.SIGTERM)
                self.assert_ended(program, 0, "stop")
                self.assertEqual(len(program.events("process.stopped")), 1)

    # Guards against settings whose errors are on standard error alone.
    def test_wrong_settings_are_logged(self):
        for role in ROLES:
            for text in ("{", "[]", '{"name": "a"}'):
                with self.subTest(role=role, text=text):
                    program = self.start(role, text)
                    last = self.assert_ended(program, 2, "settings")
                    self.assertIn(last["text"], program.errors)

    # Guards against an import that fails and leaves a traceback alone.
    def test_library_that_is_missing_or_built_for_another_machine_is_logged(self):
        for role in ROLES:
            for name, content in (
                ("attrs.py", "raise ModuleNotFoundError(\"No module named 'attr'\")"),
                ("attrs.abi3.so", "\x7fELF of another machine"),
                ("attrs.py", "def broken(:"),
            ):
                with self.subTest(role=role, content=content):
                    libraries = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
                    (libraries / name).write_text(content)
                    program = self.start(role, import_folder=str(libraries))
                    last = self.assert_ended(program, 4, "import")
                    self.assertIn(last["type"], program.errors)
                    self.assertIn("Traceback", program.errors)
