"""Tests of the soak's checker: histories made wrong by hand, each of which it must refuse."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from bench.fault_soak import checker
from bench.fault_soak import history as histories

ENTRY, CONTROL, SERVER = "entry-0", "control-0", "desk-0"


def make_request(number: int = 1, **changes) -> histories.Request:
    """Return a request that was served at once."""
    fields = {
        "id": f"r{number}",
        "entry": ENTRY,
        "route": "hold",
        "may_repeat": False,
        "limit": 5.0,
        "began_at": 20.0,
        "whole_at": 20.1,
        "ended_at": 20.2,
        "status": 200,
        "end": "answered",
        "is_right": True,
    }
    return histories.Request(**{**fields, **changes})


def make_run(number: int = 1, began_at: float = 20.1, **changes) -> histories.Run:
    """Return the run of a request."""
    fields = {"server": SERVER, "ended_at": began_at + 0.1, **changes}
    return histories.Run(f"r{number}", began_at=began_at, **fields)


class CheckerTestCase(unittest.TestCase):
    """Base of tests with an entry and a control host that run undisturbed from the start."""

    def setUp(self):
        self.entry = histories.Life(ENTRY, "entry", 1, 0.0)
        self.control = histories.Life(CONTROL, "control", 2, 0.0)
        self.history = histories.History(1, lives=[self.entry, self.control])

    def stop(self, at: float = 20.0, seconds: float = 8.0) -> None:
        """Record a planned stop of the entry."""
        self.entry.signals.append((at, "SIGTERM"))
        self.entry.ended_at, self.entry.status = at + seconds, 0

    def add(self, *, run: histories.Run | None = None, **changes) -> None:
        """Record a request and its run, if any."""
        number = len(self.history.requests) + 1
        self.history.requests.append(make_request(number, **changes))
        if run is not None:
            self.history.runs.append(run)

    def find_promises(self) -> list[str]:
        return [violation.promise for violation in checker.check(self.history)]

    def assert_kept(self) -> None:
        self.assertEqual(checker.check(self.history), [])

    def assert_broken(self, promise: str) -> None:
        self.assertEqual(self.find_promises(), [promise], checker.check(self.history))


class TestRequests(CheckerTestCase):
    """Promises 1, 3, 4 and 5."""

    def test_served_request_is_accepted(self):
        self.add(run=make_run())
        self.assert_kept()

    def test_answer_after_time_limit_is_refused(self):
        self.add(run=make_run(), ended_at=26.2)
        self.assert_broken("1 time limit")

    def test_pause_of_the_caller_does_not_count_as_late(self):
        self.add(run=make_run(), headed_at=25.0, paused_until=27.0, ended_at=28.0)
        self.assert_kept()

    def test_late_head_of_an_answer_is_refused_though_the_caller_pauses(self):
        self.add(run=make_run(), headed_at=26.2, paused_until=28.0, ended_at=28.2)
        self.assert_broken("1 time limit")

    def test_silence_is_refused(self):
        self.add(run=make_run(), status=0, end="silent", ended_at=23.0)
        self.assert_broken("1 time limit")

    def test_late_answer_of_a_process_that_has_just_started_is_accepted(self):
        self.add(run=make_run(), ended_at=26.2)
        self.entry.started_at = 16.9
        self.assert_broken("1 time limit")
        self.entry.started_at = 17.1
        self.assert_kept()

    def test_late_answer_of_a_suspended_entry_is_accepted(self):
        self.entry.signals += [(19.0, "SIGSTOP"), (26.0, "SIGCONT")]
        self.add(run=make_run(), ended_at=26.2)
        self.assert_kept()

    def test_short_answer_that_looks_complete_is_refused(self):
        self.add(run=make_run(), is_right=False)
        self.assert_broken("3 whole answer")

    def test_run_that_nobody_asked_for_is_refused(self):
        self.history.runs.append(make_run(7))
        self.assert_broken("3 whole answer")

    def test_changed_request_is_refused(self):
        self.add(run=make_run(is_unchanged=False))
        self.assert_broken("3 whole answer")

    def test_run_of_a_refused_request_is_refused_also_if_it_is_later(self):
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                self.history.requests.clear()
                self.history.runs.clear()
                self.add(run=make_run(began_at=24.0), status=status, is_right=False)
                self.assert_broken("4 not run")

    def test_second_run_is_refused_if_the_request_may_not_be_repeated(self):
        self.add(run=make_run())
        self.history.runs.append(make_run(server="desk-1"))
        self.assert_broken("5 at most once")
        self.history.requests[0].may_repeat = True
        self.assert_kept()


class TestDepartures(CheckerTestCase):
    """Promise 6."""

    def setUp(self):
        super().setUp()
        self.history.departures.append(histories.Departure(SERVER, 17.0))

    def test_work_for_a_server_that_has_left_is_refused(self):
        self.add(run=make_run())
        self.assert_broken("6 departure")

    def test_work_within_the_bound_is_accepted(self):
        self.add(run=make_run(began_at=18.9))
        self.assert_kept()

    def test_entry_out_of_touch_may_send(self):
        self.control.signals.append((18.0, "SIGSTOP"))
        self.add(run=make_run())
        self.assert_kept()

    def test_disturbance_before_the_contact_time_is_no_excuse(self):
        self.control.signals.append((16.9, "SIGSTOP"))
        self.add(run=make_run())
        self.assert_broken("6 departure")

    def test_departure_without_acknowledgement_promises_nothing(self):
        self.history.departures[0].acknowledged_at = None
        self.add(run=make_run())
        self.assert_kept()


class TestPlannedStop(CheckerTestCase):
    """Promise 7."""

    def add_cut(self, whole_at: float, ended_at: float = 27.25, **changes) -> None:
        run = make_run(began_at=whole_at + 0.01, ended_at=ended_at)
        fields = {"whole_at": whole_at, "ended_at": ended_at, "end": "cut", "is_right": False}
        self.add(run=run, limit=10.0, **{**fields, **changes})

    def test_cut_of_a_request_that_was_whole_late_in_the_stop_is_refused(self):
        self.stop()
        self.add_cut(23.5)
        self.assert_broken("7 planned stop")

    def test_cut_is_accepted_if_server_works_in_the_last_sixth_on_an_early_request(self):
        self.stop()
        self.add_cut(22.9)
        self.assert_kept()

    def test_cut_in_the_middle_of_the_grace_is_refused(self):
        self.stop()
        self.add_cut(20.5, ended_at=24.0)
        self.assert_broken("7 planned stop")

    def test_cut_of_an_answer_that_is_complete_at_its_server_is_refused(self):
        self.stop()
        self.add_cut(20.5)
        self.history.runs[0].ended_at = 22.0
        self.assert_broken("7 planned stop")

    def test_cut_beside_a_disturbance_is_accepted(self):
        self.stop()
        self.entry.signals += [(18.5, "SIGSTOP"), (18.6, "SIGCONT")]
        self.add_cut(20.5, ended_at=24.0)
        self.assert_kept()

    def test_cut_while_callers_and_servers_stood_still_is_accepted(self):
        self.stop()
        self.add_cut(23.5)
        self.history.stalls.append((24.0, 26.0))
        self.history.ended_at = 60.0
        self.assert_kept()

    def test_history_with_long_stalls_is_refused(self):
        self.history.stalls.append((24.0, 31.0))
        self.history.ended_at = 60.0
        self.assert_broken("soak")

    def test_cut_after_the_time_limit_is_accepted(self):
        self.stop()
        self.add_cut(20.5, ended_at=26.0)
        self.history.requests[0].limit = 5.4
        self.assert_kept()

    def test_cut_without_a_stop_is_refused(self):
        self.add_cut(20.5, ended_at=24.0)
        self.assert_broken("7 planned stop")

    def test_cut_before_a_stop_is_refused(self):
        self.stop(26.0)
        self.add_cut(20.5, ended_at=25.0)
        self.history.runs[0].ended_at = None
        self.assert_broken("7 planned stop")

    def test_failure_that_is_answered_is_no_cut(self):
        self.stop()
        self.add_cut(20.5, end="answered", status=504)
        self.assert_kept()

    def test_reset_is_refused(self):
        self.stop()
        self.add(status=0, end="reset", is_right=False, began_at=22.4, whole_at=22.4, ended_at=22.5)
        self.assert_broken("7 no reset")

    def test_close_that_crosses_a_request_is_accepted(self):
        self.stop()
        times = {"began_at": 22.4, "whole_at": 22.4, "ended_at": 22.5}
        self.add(status=0, end="closed", is_right=False, **times)
        self.assert_kept()

    def test_close_without_an_answer_later_is_refused(self):
        self.stop()
        self.add(status=0, end="closed", is_right=False, ended_at=21.0)
        self.assert_broken("7 planned stop")

    def test_close_while_a_body_arrives_is_refused(self):
        self.stop()
        self.add(status=0, end="closed", is_right=False, whole_at=None, ended_at=27.2)
        self.assert_broken("7 planned stop")


class TestDeclarations(CheckerTestCase):
    """Promise 8."""

    def setUp(self):
        super().setUp()
        self.history.changes = [
            histories.Change(version, at, at + 0.1)
            for version, at in ((1, 1.0), (2, 6.0), (3, 11.0))
        ]

    def add_probe(self, version: int, at: float = 20.0, *, served: bool = True, **changes) -> None:
        number = len(self.history.requests) + 1
        times = {"began_at": at, "whole_at": at, "ended_at": at + 0.1}
        run = make_run(number, began_at=at + 0.05) if served else None
        status = 200 if served else 404
        self.add(run=run, version=version, status=status, is_right=served, **times, **changes)

    def test_routes_in_force_are_accepted(self):
        self.add_probe(3)
        self.add_probe(2)
        self.add_probe(1, served=False)
        self.assert_kept()

    def test_new_route_that_is_denied_after_the_bound_is_refused(self):
        self.add_probe(3, at=13.2, served=False)
        self.assert_broken("8 declaration")

    def test_new_route_that_is_denied_within_the_bound_is_accepted(self):
        self.add_probe(3, at=13.0, served=False)
        self.assert_kept()

    def test_entry_out_of_touch_may_be_late(self):
        self.control.signals.append((12.0, "SIGSTOP"))
        self.add_probe(3, at=13.2, served=False)
        self.assert_kept()

    def test_dropped_route_that_is_served_is_refused(self):
        self.add_probe(1)
        self.assert_broken("8 declaration")

    def test_older_version_after_a_newer_one_in_a_process_is_refused(self):
        self.control.signals.append((10.0, "SIGSTOP"))
        self.add_probe(3, at=11.2)
        self.add_probe(1, at=12.0)
        self.assert_broken("8 declaration")

    def test_denial_of_what_each_declaration_allows_is_refused(self):
        self.add(status=404, is_right=False)
        self.assert_broken("8 declaration")

    def test_older_version_that_is_read_back_is_refused(self):
        self.history.reads.append(histories.Read(CONTROL, 14.0, 2))
        self.assert_broken("8 declaration")

    def test_other_content_that_is_read_back_is_refused(self):
        self.history.reads.append(histories.Read(CONTROL, 14.0, 3, is_unchanged=False))
        self.assert_broken("8 declaration")

    def test_missing_read_at_the_end_is_refused(self):
        self.history.calm_at = 30.0
        self.history.reads.append(histories.Read(CONTROL, 31.0, None))
        self.assert_broken("8 declaration")

    def test_change_that_is_never_acknowledged_is_refused(self):
        self.history.changes.append(histories.Change(4, 12.0))
        self.assert_broken("8 declaration")


class TestProcesses(CheckerTestCase):
    """Ends, memory, descriptors and threads of processes; recovery."""

    def end(self, status: int, *signals: str) -> None:
        self.entry.signals = [(20.0, name) for name in signals]
        self.entry.ended_at, self.entry.status = 21.0, status

    def test_error_of_an_entry_is_refused(self):
        self.add(status=500)
        self.assert_broken("process")

    def test_planned_end_is_accepted(self):
        self.end(0, "SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM")
        self.assert_kept()

    def test_end_by_itself_is_refused(self):
        for status, signals in ((1, ()), (0, ()), (-1, ("SIGHUP",)), (1, ("SIGTERM",))):
            with self.subTest(status=status, signals=signals):
                self.end(status, *signals)
                self.assert_broken("process")

    def test_killed_control_host_is_accepted(self):
        self.control.signals = [(20.0, "SIGKILL")]
        self.control.ended_at, self.control.status = 20.0, -9
        self.assert_kept()

    def test_process_that_outlives_its_grace_is_refused(self):
        self.end(-9, "SIGTERM", "SIGKILL")
        self.assert_broken("process")

    def test_growth_is_refused(self):
        for number in (1, 2, 3):
            with self.subTest(number=number):
                samples = [[float(at), 60_000, 50, 3] for at in range(48)]
                for sample in samples[30:]:
                    sample[number] *= 2
                self.entry.samples = [tuple(sample) for sample in samples]
                self.assert_broken("resources")

    def test_level_use_is_accepted(self):
        self.entry.samples = [(float(at), 60_000 + at, 50 + at, 3) for at in range(48)]
        self.assert_kept()

    def test_missing_service_at_the_end_is_refused(self):
        self.history.calm_at = 16.0
        self.add(status=503, is_right=False)
        self.add(run=make_run(2))
        self.assert_broken("recovery")


class TestFiles(unittest.TestCase):
    """Histories as files."""

    def test_history_is_the_same_after_it_was_written_and_read(self):
        life = histories.Life(ENTRY, "entry", 1, 0.0, signals=[[1.0, "SIGHUP"]])
        history = histories.History(
            7,
            stalls=[[1.0, 2.0]], requests=[make_request()], runs=[make_run()], lives=[life],
            changes=[histories.Change(1, 2.0)], reads=[histories.Read(CONTROL, 1.0, None)],
            departures=[histories.Departure(SERVER, None)],
        )  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "history.json")
            histories.save(history, path)
            self.assertEqual(histories.load(path), history)
