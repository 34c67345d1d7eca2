"""What ends a process by itself, its exit status and its last log line; tried as real processes."""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import tempfile
import time
import unittest
from typing import Any

import attrs

from flamingoramp.daemons import node_process
from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import programs
from flamingoramp.runtime import listeners

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

    def start(self, role: str, settings: dict | str = "", **options: Any) -> programs.Program:
        folder = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
        settings = settings or self.make_settings(role)
        program = programs.Program(role, folder, settings, **options)
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

    # Guards against a mistyped role, which was taken for an entry.
    def test_unknown_role_is_logged(self):
        for arguments in ([], ["entries"], ["entry", "control"]):
            with self.subTest(arguments):
                command = programs.run_arguments("entry")[:-1] + arguments
                ended = subprocess.run(
                    command,
                    cwd=programs.ROOT,
                    capture_output=True,
                    timeout=fleets.TIMEOUT_SECONDS,
                )
                self.assertEqual(ended.returncode, 2, ended.stderr)
                last = json.loads(ended.stdout)
                self.assertEqual((last["event"], last["cause"]), ("process.ended", "settings"))
                self.assertIn(repr(" ".join(arguments)), last["text"])

    # Guards against a wrong status and a wrong cause in the log, since standard error is on a full
    # disk, or its reader has gone.
    def test_cause_is_logged_without_standard_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        with open("/dev/full", "wb") as full:
            for role in ROLES:
                for errors in (full, writer):
                    with self.subTest(role=role, errors=errors):
                        ended = subprocess.run(
                            programs.run_arguments(role),
                            cwd=programs.ROOT,
                            env=programs.make_environment(self.folder / "missing.json"),
                            stdout=subprocess.PIPE,
                            stderr=errors,
                            timeout=fleets.TIMEOUT_SECONDS,
                        )
                        [last] = [json.loads(line) for line in ended.stdout.splitlines()]
                        self.assertEqual((ended.returncode, last["cause"]), (2, "settings"))

    # Guards against a process that ends at its start, or writes its log to a connection, since it
    # was started without standard output.
    def test_process_runs_without_standard_output(self):
        for role in ROLES:
            with self.subTest(role):
                path = self.folder / f"{role}.json"
                settings = self.make_settings(role)
                path.write_text(json.dumps(settings))
                process = subprocess.Popen(
                    ["sh", "-c", 'exec "$@" >&-', "sh", *programs.run_arguments(role)],
                    cwd=programs.ROOT,
                    env=programs.make_environment(path),
                )
                self.addCleanup(process.kill)
                address = settings["listen"][listeners.SERVED_KEYS_BY_ROLE[role][0]]

                def _answers(address=address, process=process) -> bool:
                    self.assertIsNone(process.poll())
                    with contextlib.suppress(OSError):
                        return fleets.send_request(address, "GET", "/").status > 0
                    return False

                fleets.wait_for(_answers, "an answer")
                self.assertEqual(os.readlink(f"/proc/{process.pid}/fd/1"), os.devnull)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(fleets.TIMEOUT_SECONDS), 0)

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


class TestUnexpectedErrors(ProgramTestCase):
    """Errors that nobody expects, in a callback of the loop."""

    def setUp(self):
        super().setUp()
        # A json module that raises an error for the log line of a reload.
        self.import_folder = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
        shutil.copytree(pathlib.Path(json.__file__).parent, self.import_folder / "json")
        with (self.import_folder / "json" / "__init__.py").open("a") as module:
            module.write(
                "\n_dumps = dumps\n"
                "def dumps(value, **options):\n"
                "    if value.get('event') == 'settings.reloaded':\n"
                "        raise RuntimeError('fault')\n"
                "    return _dumps(value, **options)\n"
            )

    def start_serving(self, role: str) -> programs.Program:
        program = self.start(role, import_folder=str(self.import_folder))
        program.wait_for_event("start.listening")
        return program

    def test_entry_survives_single_errors_and_ends_after_many(self):
        program = self.start_serving("entry")
        for count in range(1, node_process.MAX_ERRORS + 1):
            program.process.send_signal(signal.SIGHUP)
            fleets.wait_for(
                lambda count=count: len(program.events("process.error")) >= count, "an error"
            )
        self.assertIsNone(program.process.poll())
        program.process.send_signal(signal.SIGHUP)
        last = self.assert_ended(program, 1, "error")
        self.assertEqual((last["type"], last["text"]), ("RuntimeError", "fault"))
        self.assertIn("RuntimeError: fault", program.errors)
        self.assertEqual(program.events("process.stopped"), [])

    def test_control_host_ends_at_the_first_error(self):
        program = self.start_serving("control")
        program.process.send_signal(signal.SIGHUP)
        last = self.assert_ended(program, 1, "error")
        self.assertEqual((last["type"], last["text"]), ("RuntimeError", "fault"))
        self.assertTrue(last["place"].startswith("__init__.py:"), last)
        self.assertEqual(program.events("process.stopped"), [])


class TestDescriptors(ProgramTestCase):
    """A process that has as many files and connections as it may have."""

    # Guards against a process that ends, since it can't open a connection to another host for some
    # time.
    def test_process_without_free_descriptors_does_not_end(self):
        for role in ROLES:
            with self.subTest(role):
                settings = self.make_settings(role)
                # Nothing listens there, so that the process connects again and again.
                settings |= {"seeds": ["127.9.9.9:1"], "first_start": True}
                program = self.start(role, settings)
                program.wait_for_event("start.listening")
                limits = resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE)
                resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (5, limits[1]))
                time.sleep(3.0)
                self.assertIsNone(program.process.poll(), program.errors)
                self.assertEqual(program.events("process.error"), [])
                resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, limits)
                program.process.send_signal(signal.SIGTERM)
                self.assert_ended(program, 0, "stop")


class TestSettingsOfRunningProcess(ProgramTestCase):
    """A settings file that is replaced badly while its process runs."""

    # Guards against a settings file that ends a process which has no need of it.
    def test_unreadable_settings_end_no_running_process(self):
        for role in ROLES:
            with self.subTest(role):
                program = self.start(role)
                program.wait_for_event("start.listening")
                text = program.settings_path.read_text()
                half_written = [text[:size] for size in range(0, len(text), len(text) // 20)]
                odd = ["[" * 100_000, "\0", '"' + "9" * 5000, "9" * 5000, "NaN", "null"]
                for content in half_written + odd:
                    program.settings_path.write_text(content)
                    program.process.send_signal(signal.SIGHUP)
                    time.sleep(0.02)
                program.settings_path.write_bytes(b"\xff\xfe")
                program.process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                program.settings_path.unlink()
                program.process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                program.settings_path.mkdir()
                program.process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                self.assertIsNone(program.process.poll(), program.errors)
                self.assertEqual(program.events("process.error"), [])
                program.process.send_signal(signal.SIGTERM)
                self.assert_ended(program, 0, "stop")

    def test_settings_that_are_nested_too_deep_are_refused_at_the_start(self):
        for role in ROLES:
            with self.subTest(role):
                self.assert_ended(self.start(role, "[" * 100_000), 2, "settings")


class TestDataFolder(ProgramTestCase):
    """Data folders of a control host that can't be used."""

    def start_with_data(
        self, path: pathlib.Path, *, first_start: bool = False, **options: Any
    ) -> programs.Program:
        settings = self.make_settings("control")
        settings |= {"data_folder": str(path), "first_start": first_start}
        return self.start("control", settings, **options)

    def assert_serves(self, program: programs.Program) -> None:
        program.wait_for_event("start.listening")
        time.sleep(1.0)
        self.assertIsNone(program.process.poll(), program.errors)

    def test_missing_folder_is_created(self):
        self.assert_serves(self.start_with_data(self.folder / "missing" / "data"))

    # Guards against a data folder that can't be made at the start, as on a full disk, which ended
    # a control host that could have gone on without its replica.
    def test_folder_that_cannot_be_made_ends_no_control_host(self):
        path = self.folder / "data"
        path.write_text("no folder")
        program = self.start_with_data(path)
        failed = program.wait_for_event("storage.failed")
        self.assertIn(str(path), failed["text"])
        self.assert_serves(program)
        path.unlink()
        program.wait_for_event("storage.ready")
        program.process.send_signal(signal.SIGTERM)
        self.assert_ended(program, 0, "stop")

    # Guards against a predecessor that still holds the lock, after it has released its addresses.
    def test_folder_that_is_locked_ends_no_control_host(self):
        path = self.folder / "data"
        (path / "replica").mkdir(parents=True)
        with (path / "replica" / "lock").open("w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            program = self.start_with_data(path)
            failed = program.wait_for_event("storage.failed")
            self.assertIn("locked by another process", failed["text"])
            self.assert_serves(program)
            self.assertEqual(program.events("storage.ready"), [])
        program.wait_for_event("storage.ready")

    # Guards against a damaged log whose end looked like a fault of the program.
    def test_damaged_log_ends_a_control_host_with_a_status_of_its_own(self):
        path = self.folder / "data"
        program = self.start_with_data(path, first_start=True)
        program.wait_for_event("storage.ready")
        program.wait_for_event("leader.changed")
        program.process.send_signal(signal.SIGTERM)
        self.assert_ended(program, 0, "stop")
        (log_path,) = (path / "replica").glob("log.*")
        data = bytearray(log_path.read_bytes())
        # Within the first record, which valid ones follow.
        data[12] ^= 1
        log_path.write_bytes(data)
        program = self.start_with_data(path)
        last = self.assert_ended(program, 5, "storage")
        self.assertIn(str(path), last["text"])
        self.assertNotIn("Traceback", program.errors)

    def test_full_disk_ends_no_control_host_at_its_start(self):
        for first_start in (False, True):
            with self.subTest(first_start=first_start):
                path = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
                program = self.start_with_data(path, first_start=first_start, max_file_bytes=0)
                self.assert_serves(program)
                self.assertNotEqual(program.events("storage.failed"), [])
                program.process.send_signal(signal.SIGTERM)
                self.assert_ended(program, 0, "stop")

    def test_disk_that_fills_up_ends_no_control_host_with_data(self):
        path = self.folder / "data"
        program = self.start_with_data(path)
        self.assert_serves(program)
        program.process.send_signal(signal.SIGTERM)
        self.assert_ended(program, 0, "stop")
        program = self.start_with_data(path, max_file_bytes=0)
        self.assert_serves(program)
        program.process.send_signal(signal.SIGTERM)
        self.assert_ended(program, 0, "stop")
