"""Tests of the table of losses of a played day."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from bench import losses

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
OBJECTIVES = losses.parse_objectives("90000:1.5:0.6,25000:0.3:0.25")


def make_line(at: float, event: str, request: str, **fields) -> str:
    """Return a line of the logs of a day's processes."""
    return f"  {at:.4f} entry-1 " + json.dumps({"event": event, "request": request, **fields})


def make_sent(at: float, request: str, **fields) -> str:
    """Return the line of a request that is sent to a server."""
    values = {"prompt_tokens": 1000, "predicted": 0.1, "waited": 0.001, **fields}
    return make_line(at, "request.sent", request, **values)


def make_end(at: float, request: str, seconds: float, outcome: str = "done", **fields) -> str:
    """Return the line of a request that has ended."""
    return make_line(at, "request.ended", request, outcome=outcome, seconds=seconds, **fields)


class LossTestCase(unittest.TestCase):
    """Base of tests that write files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text)
        return path


class TestCauses(LossTestCase):
    """Each lost request has one cause, by what its entry logged of it."""

    def find_causes(self, *lines: str) -> dict[str, str]:
        traces = losses.read_log(self.write("log", "\n".join(("built in 3 s", *lines))))
        return {loss.request: loss.cause for loss in losses.find_losses(traces, OBJECTIVES)}

    def test_request_in_time_is_no_loss(self):
        self.assertEqual(
            self.find_causes(make_sent(1.0, "a"), make_end(1.9, "a", 0.9, first_piece=0.2)), {}
        )

    def test_objective_depends_on_prompt(self):
        lines = [make_sent(1.0, "a", prompt_tokens=50_000), make_end(3, "a", 2, first_piece=1.4)]
        self.assertEqual(self.find_causes(*lines), {})

    def test_pause_in_a_stream(self):
        lines = [make_sent(1.0, "a"), make_end(3, "a", 2, first_piece=0.1, longest_pause=0.26)]
        self.assertEqual(self.find_causes(*lines), {"a": "late, paused"})

    def test_refusals_that_the_declaration_asks_for_are_no_losses(self):
        codes = ("unknown_route", "unknown_key")
        lines = [make_line(1.0, "request.refused", code, code=code) for code in codes]
        self.assertEqual(self.find_causes(*lines), {})

    def test_request_without_end_was_cut(self):
        self.assertEqual(self.find_causes(make_sent(1.0, "a")), {"a": losses.CUT})

    def test_late_requests(self):
        lines = []
        for name, waited, predicted in (("w", 0.2, 0.1), ("s", 0.0, 0.1), ("p", 0.0, 0.4)):
            lines.append(make_sent(1.0, name, waited=waited, predicted=predicted))
            lines.append(make_end(2.0, name, 1.0, first_piece=0.4))
        lines += [
            make_sent(1.0, "r"),
            make_line(2.0, "request.retried", "r", why="silent"),
            make_end(4.0, "r", 3.0, first_piece=1.5),
        ]
        self.assertEqual(
            self.find_causes(*lines),
            {
                "w": "late, waited at its entry",
                "s": "late, slower than predicted",
                "p": "late, as predicted",
                "r": "late, sent again: silent",
            },
        )

    def test_refused_and_failed_requests(self):
        lines = [
            make_line(1.0, "request.refused", "a", code="not_ready"),
            make_sent(1.0, "b"),
            make_end(2.0, "b", 1.0, "server_failed", status=500),
            make_sent(1.0, "c"),
            make_end(2.0, "c", 1.0, "failed", code="route_timeout"),
            make_sent(1.0, "d"),
            make_end(2.0, "d", 1.0, "caller_gone"),
        ]
        self.assertEqual(
            self.find_causes(*lines),
            {
                "a": "refused: not_ready",
                "b": "failed by its server: 500",
                "c": "failed: route_timeout",
                "d": "caller left",
            },
        )


class TestTable(LossTestCase):
    """Windows of the report, with what the logs explain of them."""

    def test_rest_is_named_and_disruptions_are_those_of_the_window(self):
        window = {"name": "2", "n": 9, "late": 3, "refused": 1, "failed": 1}
        events = [
            {"kind": "roll_term (busy)", "at_s": 3.0, "to_s": 9.0},
            {"kind": "burst", "at_s": 4.0, "to_s": 9.0},
        ]
        path = self.write("report", json.dumps({"windows": [window], "events": events}))
        windows = losses.read_report(path)
        table = losses.make_table(windows, [losses.Loss("a", 2.5, 10, losses.CUT)])
        self.assertEqual(
            table.splitlines()[-1],
            "| 2 | 9 | 5 | 4 not in a log, 1 cut with its entry | roll_term |",
        )


class TestBadInput(LossTestCase):
    """Input that can't be read gives one line and exit code 2."""

    def check(self, *arguments: str) -> None:
        result = subprocess.run(
            [sys.executable, "-m", "bench.losses", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)

    def test_report_that_is_cut_off(self):
        self.check(str(self.write("report", '{"windows": [{"name"')))

    def test_log_without_requests(self):
        report = self.write("report", '{"windows": [], "events": []}')
        log = self.write("log", "\x00nothing\n{}\n")
        self.check(str(report), f"--log={log}")

    def test_log_of_another_build(self):
        report = self.write("report", '{"windows": [], "events": []}')
        log = self.write("log", make_line(1.0, "request.sent", "a", tokens=1000))
        self.check(str(report), f"--log={log}")

    def test_objectives_that_are_no_pairs(self):
        report = self.write("report", '{"windows": [], "events": []}')
        log = self.write("log", make_sent(1.0, "a"))
        self.check(str(report), f"--log={log}", "--objectives=soon")
