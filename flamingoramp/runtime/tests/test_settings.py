"""Tests of checked settings and of the command line's exit codes."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from flamingoramp import errors
from flamingoramp.runtime import settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = {"name": "h", "availability_zone": "z", "control_inner_port": 1}
GOOD = {"deployment": "test", "hosts": [HOST]}


class SettingsCase(unittest.TestCase):
    """Gives each test a file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def write(self, document) -> pathlib.Path:
        text = document if isinstance(document, str) else json.dumps(document)
        self.path.write_text(text)
        return self.path


class TestSettings(SettingsCase):
    """An error names file, key path, what was found and what it takes."""

    def test_good_settings(self):
        found = settings.load(self.write(GOOD))
        self.assertEqual(found.control_hosts[0].name, "h")

    def test_bad_settings(self):
        cases = [
            ("nothing", ("not JSON",)),
            ({**GOOD, "hots": []}, ("hots",)),
            ({"hosts": [HOST]}, ("deployment", "missing")),
            (
                {**GOOD, "timing": {"session_lease_seconds": -1}},
                ("timing", "-1", "takes 0.5 to 30"),
            ),
            ({**GOOD, "timing": {"session_lease_seconds": "2"}}, ("session_lease_seconds", "'2'")),
            ({**GOOD, "hosts": [{**HOST, "entry_port": 70000}]}, ("hosts[0]", "70000", "65535")),
            ({**GOOD, "hosts": [HOST, HOST]}, ("'h'", "stands twice")),
            ({**GOOD, "hosts": []}, ("control_inner_port",)),
            ({**GOOD, "logs": {"level": "loud"}}, ("logs", "'loud'", "info")),
            ({**GOOD, "timing": {"election_max_seconds": 0.3}}, ("election_max_seconds", "0.3")),
        ]
        for document, parts in cases:
            with self.subTest(str(document)):
                with self.assertRaises(errors.SettingsError) as caught:
                    settings.load(self.write(document))
                for part in (str(self.path), *parts):
                    self.assertIn(part, str(caught.exception))

    def test_examples_are_good(self):
        for deployment in ("hanbit", "cenotvar"):
            found = settings.load(ROOT / "examples" / deployment / "settings.json")
            self.assertEqual(len(found.control_hosts), 5)


class TestCommandLine(SettingsCase):
    """0 done, 1 refused or failed, 2 bad usage or settings."""

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "flamingoramp.cli.main", *arguments]
        return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)

    def test_good_file(self):
        done = self.run_command("check-settings", str(self.write(GOOD)), "--json")
        self.assertEqual(done.returncode, 0)
        self.assertTrue(json.loads(done.stdout)["valid"])

    def test_bad_file(self):
        done = self.run_command("check-settings", str(self.write({**GOOD, "x": 1})))
        self.assertEqual(done.returncode, 2)
        self.assertIn("unknown keys x", done.stderr)

    def test_no_control_replica_answers(self):
        done = self.run_command("addresses", "--settings", str(self.write(GOOD)))
        self.assertEqual(done.returncode, 2)

    def test_bad_usage(self):
        self.assertEqual(self.run_command("no-such-command").returncode, 2)

    def test_help(self):
        done = self.run_command("--help")
        self.assertEqual(done.returncode, 0)
        self.assertIn("plan", done.stdout + done.stderr)
