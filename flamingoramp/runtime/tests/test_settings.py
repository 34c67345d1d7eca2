"""Tests of settings validation and of the exit codes of the command line."""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from flamingoramp import errors
from flamingoramp.runtime import node_settings, settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
VALID_HOST = {"name": "h", "availability_zone": "z", "control_inner_port": 1}
VALID_SETTINGS = {"deployment": "test", "hosts": [VALID_HOST]}


class SettingsTestCase(unittest.TestCase):
    """Base of tests that write a temporary settings file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def write(self, document) -> pathlib.Path:
        text = document if isinstance(document, str) else json.dumps(document)
        self.path.write_text(text)
        return self.path


class TestSettings(SettingsTestCase):
    """An invalid file gives an error with file, key path, value and allowed values."""

    def test_valid_file_is_loaded(self):
        loaded = settings.load(self.write(VALID_SETTINGS))
        self.assertEqual(loaded.control_hosts[0].name, "h")

    def test_invalid_file_raises_error_that_names_the_value(self):
        cases = [
            ("nothing", ("not JSON",)),
            ({**VALID_SETTINGS, "hots": []}, ("hots",)),
            ({"hosts": [VALID_HOST]}, ("deployment", "missing")),
            (
                {**VALID_SETTINGS, "timing": {"session_lease_seconds": -1}},
                ("timing", "-1", "takes 0.5 to 30"),
            ),
            (
                {**VALID_SETTINGS, "timing": {"session_lease_seconds": "2"}},
                ("session_lease_seconds", "'2'"),
            ),
            (
                {**VALID_SETTINGS, "hosts": [{**VALID_HOST, "entry_port": 70000}]},
                ("hosts[0]", "70000", "65535"),
            ),
            ({**VALID_SETTINGS, "hosts": [VALID_HOST, VALID_HOST]}, ("'h'", "stands twice")),
            ({**VALID_SETTINGS, "hosts": []}, ("control_inner_port",)),
            ({**VALID_SETTINGS, "hosts": "h"}, ("hosts", "'h'", "takes a list")),
            ({**VALID_SETTINGS, "hosts": ["h"]}, ("hosts[0]", "'h'", "takes an object")),
            ({**VALID_SETTINGS, "seed": True}, ("seed", "True", "takes a whole number")),
            ({**VALID_SETTINGS, "seed": 1.5, "x": 1}, ("seed", "1.5", "unknown keys x")),
            ([], ("[]", "takes an object")),
            ({**VALID_SETTINGS, "logs": {"level": "loud"}}, ("logs", "'loud'", "info")),
            (
                {**VALID_SETTINGS, "timing": {"election_max_seconds": 0.3}},
                ("election_max_seconds", "0.3"),
            ),
        ]
        for document, expected_parts in cases:
            with self.subTest(str(document)):
                with self.assertRaises(errors.SettingsError) as caught:
                    settings.load(self.write(document))
                for part in (str(self.path), *expected_parts):
                    self.assertIn(part, str(caught.exception))

    def test_example_deployments_are_loaded(self):
        for deployment in ("hanbit", "cenotvar"):
            loaded = settings.load(ROOT / "examples" / deployment / "settings.json")
            self.assertEqual(len(loaded.control_hosts), 5)


class TestNodeSettings(SettingsTestCase):
    """Settings files that the template for the platform gives."""

    TEMPLATE = (ROOT / "deploy" / "settings.json").read_text()
    ZONES = '{{#zones}}"{{@}}"{{,}}{{/zones}}'

    def render(self, zones: str, *, has_optional_values: bool = False) -> str:
        """Fill the template in, with other values that are valid for each of its fields.

        Sections of values that only some deployments have are left out by default.
        """
        self.assertIn(self.ZONES, self.TEMPLATE)
        text = self.TEMPLATE.replace(self.ZONES, zones)
        section = r"{{#(thresholds\.\w+)}}(.*?){{/\1}}"
        text = re.sub(section, r"\2" if has_optional_values else "", text, flags=re.DOTALL)
        for name, value in (
            ("node|json", '"n"'),
            ("zone|json", '"a"'),
            ("bind_ip|json", '"127.0.0.1"'),
            ("internal_ports|json", "[7500, 7501]"),
            ("seed_addrs|json", '["127.0.0.1:9"]'),
            ("bootstrap|json", "true"),
            ("heartbeat_ms", "1200"),
            ("limits.memory_mb", "300"),
        ):
            text = text.replace("{{" + name + "}}", value)
        text = re.sub(r'": {{[^}]*}}', '": 10', text)
        return re.sub("{{[^}]*}}", "x", text)

    def test_template_gives_the_zones_that_can_be_evacuated(self):
        for zones, expected in (('"a", "b"', ("a", "b")), ("", ())):
            loaded = node_settings.load(str(self.write(self.render(zones))))
            self.assertEqual(loaded.availability_zones, expected)

    def test_only_deployments_with_evacuations_have_a_time_for_them(self):
        for has_optional_values, expected in ((True, 10.0), (False, 0.0)):
            text = self.render("", has_optional_values=has_optional_values)
            bounds = node_settings.load(str(self.write(text))).bounds
            self.assertEqual(bounds.evacuate_milliseconds, expected)

    def test_settings_of_earlier_builds_name_no_zones_and_no_memory(self):
        document = json.loads(self.render(""))
        loaded = node_settings.load(str(self.write(document)))
        self.assertEqual(loaded.machine.memory_bytes, 300_000_000)
        del document["availability_zones"], document["machine"]
        loaded = node_settings.load(str(self.write(document)))
        self.assertEqual(loaded.availability_zones, ())
        self.assertEqual(loaded.machine.memory_bytes, 112_000_000)

    def test_memory_that_no_process_could_start_in_is_refused(self):
        document = json.loads(self.render(""))
        document["machine"] = {"memory_megabytes": 10}
        with self.assertRaisesRegex(errors.SettingsError, "memory_megabytes: found 10"):
            node_settings.load(str(self.write(document)))


class TestCommandLine(SettingsTestCase):
    """Exit code 0: success; 1: rejected or failed; 2: wrong usage or invalid settings."""

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "flamingoramp.cli.main", *arguments]
        return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)

    def test_check_settings_of_valid_file_exits_with_0(self):
        completed = self.run_command("check-settings", str(self.write(VALID_SETTINGS)), "--json")
        self.assertEqual(completed.returncode, 0)
        self.assertTrue(json.loads(completed.stdout)["valid"])

    def test_check_settings_of_invalid_file_exits_with_2(self):
        completed = self.run_command("check-settings", str(self.write({**VALID_SETTINGS, "x": 1})))
        self.assertEqual(completed.returncode, 2)
        self.assertIn("unknown keys x", completed.stderr)

    def test_addresses_command_without_entry_host_exits_with_2(self):
        completed = self.run_command("addresses", "--settings", str(self.write(VALID_SETTINGS)))
        self.assertEqual(completed.returncode, 2)

    def test_unknown_command_exits_with_2(self):
        self.assertEqual(self.run_command("no-such-command").returncode, 2)

    def test_help_lists_commands_and_exits_with_0(self):
        completed = self.run_command("--help")
        self.assertEqual(completed.returncode, 0)
        self.assertIn("plan", completed.stdout + completed.stderr)
