"""Signals at any moment of a process's life, from its first statement on; real processes.

``SIGNAL_SEEDS`` and ``SIGNAL_FIRST_SEED`` in the environment make the run of random series longer.
"""

from __future__ import annotations
import __future__ as future_module

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from flamingoramp.platform.tests import fleet as fleets
from flamingoramp.platform.tests import programs, test_process_ends

SEED_COUNT = int(os.environ.get("SIGNAL_SEEDS", "4"))
FIRST_SEED = int(os.environ.get("SIGNAL_FIRST_SEED", "1"))
# A process is started, and has stopped, in less than this, beside a load.
MAX_SERIES_SECONDS = 1.2
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# Prints which modules are loaded when the program of the deploy file holds back signals.
PROBE = """
import sys
import _signal
before = set(sys.modules)
def report(*_arguments):
    print(*sorted(set(sys.modules) - before))
    sys.stdout.flush()
    import os
    os._exit(0)
_signal.pthread_sigmask = report
exec(compile(open(sys.argv[1]).read(), sys.argv[1], "exec"))
"""


class TestStart(test_process_ends.ProgramTestCase):
    """Signals while a process starts, which takes some seconds on a small share of a core."""

    def setUp(self):
        super().setUp()
        # The first import from a file, whichever module of the program makes it, takes long.
        self.import_folder = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
        self.marker = self.import_folder / "importing"
        lines = (
            "import posix, time",
            f"posix.close(posix.open({str(self.marker)!r}, posix.O_CREAT | posix.O_WRONLY))",
            "time.sleep(0.3)",
        )
        text = pathlib.Path(future_module.__file__).read_text()
        (self.import_folder / "__future__.py").write_text("\n".join((*lines, text)))

    def start_and_signal(self, role: str, *numbers: signal.Signals) -> programs.Program:
        self.marker.unlink(missing_ok=True)
        program = self.start(role, import_folder=str(self.import_folder))
        fleets.wait_for(self.marker.exists, "the first import")
        for number in numbers:
            program.process.send_signal(number)
        return program

    # Guards against SIGHUP that ends a process by its default action, before it has a handler.
    def test_reload_signals_during_the_first_import_end_no_process(self):
        for role in test_process_ends.ROLES:
            with self.subTest(role):
                program = self.start_and_signal(role, signal.SIGHUP, signal.SIGHUP)
                program.wait_for_event("settings.reloaded")
                self.assertIsNone(program.process.poll())

    # Guards against a stop that looks like a crash, by its exit status and an unfinished log.
    def test_stop_signals_during_the_first_import_end_a_process_with_status_0(self):
        for role in test_process_ends.ROLES:
            for numbers in (
                (signal.SIGTERM,),
                (signal.SIGINT,),
                (signal.SIGTERM, signal.SIGINT),
                (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM),
            ):
                with self.subTest(role=role, numbers=numbers):
                    program = self.start_and_signal(role, *numbers)
                    self.assert_ended(program, 0, "stop_during_start")
                    self.assertEqual(program.errors, "")

    # Guards against requests that the kernel has accepted, and that the end of the process resets.
    def test_requests_that_arrive_during_a_start_are_refused_when_it_is_stopped(self):
        text = f"""
import posix, time
posix.close(posix.open({str(self.marker)!r}, posix.O_CREAT | posix.O_WRONLY))
time.sleep({fleets.TIMEOUT_SECONDS})
"""
        (self.import_folder / "__future__.py").unlink()
        # The first import after the addresses are open.
        (self.import_folder / "attrs.py").write_text(text)
        for role, kind in (("entry", "callers"), ("control", "operators")):
            with self.subTest(role):
                self.marker.unlink(missing_ok=True)
                program = self.start(role, import_folder=str(self.import_folder))
                fleets.wait_for(self.marker.exists, "the first import after the start of listening")
                host, _, port = self.make_settings(role)["listen"][kind].rpartition(":")
                socks = [socket.create_connection((host, int(port))) for _ in range(50)]
                for sock in socks[:40]:
                    sock.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody")
                # One that was reset holds up no other.
                reset = socket.create_connection((host, int(port)))
                socks.append(socket.create_connection((host, int(port))))
                reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01" + bytes(7))
                reset.close()
                program.process.send_signal(signal.SIGTERM)
                for sock in socks:
                    with sock:
                        sock.settimeout(fleets.TIMEOUT_SECONDS)
                        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 503 "))
                        self.assertEqual(sock.recv(65536), b"")
                self.assert_ended(program, 0, "stop_during_start")

    # Guards against an import before the signals are held back, each of which takes milliseconds.
    def test_program_imports_nothing_before_it_holds_back_signals(self):
        path = programs.run_arguments("entry")[2]
        probe = subprocess.run(
            [sys.executable, "-S", "-c", PROBE, path],
            cwd=programs.ROOT,
            capture_output=True,
            timeout=fleets.TIMEOUT_SECONDS,
        )
        self.assertEqual((probe.stdout, probe.stderr), (b"\n", b""))


class TestSeries(test_process_ends.ProgramTestCase):
    """Random series of signals from a process's first statement on."""

    def holds_signals(self, program: programs.Program) -> bool:
        """Return whether the process has run its first statement."""
        status = pathlib.Path(f"/proc/{program.process.pid}/status").read_text()
        masks = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
        # The interpreter handles SIGINT itself, and `nohup` has SIGHUP ignored from the start.
        bit = 1 << (signal.SIGTERM - 1)
        return any(int(masks[name], 16) & bit for name in ("SigBlk", "SigCgt"))

    def run_series(self, role: str, seed: int) -> None:
        rng = random.Random(f"{role} {seed}")
        stops = rng.random() < 0.8
        count = rng.randint(1, 12)
        moments = sorted(
            (rng.uniform(0, MAX_SERIES_SECONDS) * rng.random() ** 2, rng.choice(SIGNALS))
            for _ in range(count)
        )
        if not stops:
            moments = [(moment, signal.SIGHUP) for moment, _ in moments]
        program = self.start(role)
        fleets.wait_for(lambda: self.holds_signals(program), "the first statement")
        started_at = time.monotonic()
        stop_sent = False
        for moment, number in moments:
            time.sleep(max(0.0, started_at + moment - time.monotonic()))
            if program.process.poll() is not None:
                break
            program.process.send_signal(number)
            stop_sent = stop_sent or number != signal.SIGHUP
        if not stop_sent:
            program.wait_for_event("start.listening")
            time.sleep(0.05)
            self.assertIsNone(program.process.poll(), program.errors)
            program.process.send_signal(signal.SIGTERM)
        self.assertEqual(program.wait(), 0, (moments, program.errors, program.log))
        self.assertEqual(program.errors, "")
        last = program.log[-1]
        self.assertEqual(last["event"], "process.ended", program.log)
        self.assertIn(last["cause"], ("stop", "stop_during_start"))
        self.assertEqual(len(program.events("process.ended")), 1)
        self.assertLessEqual(len(program.events("process.stopping")), 1)

    # Guards against any order of reloads and stops that ends a process, or cuts its planned stop.
    def test_series_of_signals_end_a_process_by_a_stop_only_and_with_status_0(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEED_COUNT):
            for role in test_process_ends.ROLES:
                with self.subTest(role=role, seed=seed):
                    self.run_series(role, seed)
