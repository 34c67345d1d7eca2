"""Hosts of a soak: the real programs, with the signals that they get."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import threading
import time

from bench.fault_soak import history as histories
from bench.fault_soak import plan as plans
from flamingoramp.platform.tests import control_hosts
from flamingoramp.runtime import node_settings

# A process that ended by itself is started again after this time.
RESTART_SECONDS = 0.2
# Time beyond the grace after which a stopping process is killed.
KILL_SLACK_SECONDS = 0.3
POLL_SECONDS = 0.02
KILL_SECONDS = 5.0
# Processor time of the interpreter from its own signal set-up to the first statement of a program.
# Before that, no program can hold a signal back.
INTERPRETER_SECONDS = 0.008
INTERPRETER_POLL_SECONDS = 0.0005
INTERPRETER_TIMEOUT_SECONDS = 2.0


class Host:
    """A host that runs a program, at times two of them while one replaces the other.

    Parameters
    ----------
    name, role : str
    settings : node_settings.NodeSettings
    folder : pathlib.Path
        Folder of its settings and logs.
    history : histories.History
        Receives the processes.
    begin : float
        Monotonic time at which the history begins.
    """

    def __init__(
        self,
        name: str,
        role: str,
        settings: node_settings.NodeSettings,
        folder: pathlib.Path,
        *,
        history: histories.History,
        begin: float,
    ):
        self.name = name
        self.settings = settings
        self._role = role
        self._folder = folder
        self._history = history
        self._begin = begin
        self._processes: list[tuple[subprocess.Popen, histories.Life]] = []
        self._waiters: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._is_closed = False
        folder.mkdir(parents=True)

    def now(self) -> float:
        """Return the time in the history."""
        return time.monotonic() - self._begin

    def start(self, hang_up_delays: tuple[float, ...] = (), *, replaces: bool = False) -> None:
        """Start a process, and send SIGHUP some seconds after its interpreter has started."""
        with self._lock:
            if self._is_closed:
                return
            started_at = self.now()
            log_path = self._folder / f"log-{len(self._processes)}"
            with log_path.open("ab") as log:
                process = control_hosts.start_program(
                    self._role, self.settings, self._folder / "settings.json", log
                )
            life = histories.Life(self.name, self._role, process.pid, started_at, replaces=replaces)
            self._history.lives.append(life)
            waiter = threading.Thread(target=self._wait, args=(process, life))
            waiter.start()
            self._waiters.append(waiter)
            self._processes.append((process, life))
        if not hang_up_delays or not _wait_for_interpreter(process):
            return
        interpreted_at = self.now()
        for delay in hang_up_delays:
            time.sleep(max(0.0, interpreted_at + delay - self.now()))
            self.signal("SIGHUP")

    def _wait(self, process: subprocess.Popen, life: histories.Life) -> None:
        status = process.wait()
        life.ended_at = self.now()
        life.status = status

    def signal(self, name: str, index: int = -1) -> None:
        """Send a signal to the last process, or to another one, if it still runs."""
        process, life = self._processes[index]
        if process.poll() is None:
            life.signals.append((self.now(), name))
            process.send_signal(getattr(signal, name))

    def is_running(self, index: int = -1) -> bool:
        """Whether the last process, or another one, still runs."""
        return self._processes[index][0].poll() is None

    def disrupt(self, disruption: plans.Stop | plans.Pause | plans.Kill | plans.Reload) -> None:
        """Disrupt the last process, and return once one runs again."""
        match disruption:
            case plans.Stop():
                self._stop(disruption)
            case plans.Pause(seconds=seconds):
                self.signal("SIGSTOP")
                time.sleep(seconds)
                self.signal("SIGCONT")
            case plans.Kill():
                self.signal("SIGKILL")
                self._wait_ended(len(self._processes) - 1, KILL_SECONDS)
                time.sleep(disruption.start_delay)
                self.start(disruption.start_signals)
            case plans.Reload(count=count):
                for _ in range(count):
                    self.signal("SIGHUP")

    def _stop(self, stop: plans.Stop) -> None:
        index = len(self._processes) - 1
        stopped_at = self.now()
        self.signal("SIGTERM", index)
        events = list(stop.signals)
        if stop.overlaps:
            events = sorted([*events, (stop.start_delay, "")])
        for delay, name in events:
            self._wait_ended(index, stopped_at + delay - self.now())
            if name:
                self.signal(name, index)
            else:
                self.start(stop.start_signals, replaces=self.is_running(index))
        grace_seconds = self.settings.bounds.stop_seconds + KILL_SLACK_SECONDS
        self._wait_ended(index, stopped_at + grace_seconds - self.now())
        if self.is_running(index):
            self.signal("SIGKILL", index)
            self._wait_ended(index, KILL_SECONDS)
        if not stop.overlaps:
            time.sleep(stop.start_delay)
            self.start(stop.start_signals)

    def _wait_ended(self, index: int, seconds: float) -> None:
        """Wait until a process has ended, or for some seconds."""
        self._waiters[index].join(max(0.0, seconds))

    def wait(self, seconds: float, ends: threading.Event) -> None:
        """Wait, and start the process again whenever it has ended by itself."""
        until = self.now() + seconds
        while self.now() < until and not ends.is_set():
            if not self.is_running():
                time.sleep(RESTART_SECONDS)
                self.start()
            time.sleep(POLL_SECONDS)

    def sample(self) -> None:
        """Record memory, descriptors and threads of the processes."""
        for process, life in self._processes:
            if life.ended_at is not None:
                continue
            folder = pathlib.Path(f"/proc/{process.pid}")
            try:
                status = dict(
                    line.split(":", 1) for line in (folder / "status").read_text().splitlines()
                )
                descriptors = len(list((folder / "fd").iterdir()))
                memory, threads = int(status["VmRSS"].split()[0]), int(status["Threads"])
            except (OSError, KeyError):  # it has just ended
                continue
            life.samples.append((self.now(), memory, descriptors, threads))

    def finish(self) -> None:
        """Stop the last process as planned."""
        index = len(self._processes) - 1
        self.signal("SIGTERM", index)
        self._wait_ended(index, self.settings.bounds.stop_seconds + KILL_SLACK_SECONDS)

    def close(self) -> None:
        """Kill what still runs; nothing starts any more."""
        with self._lock:
            self._is_closed = True
        for process, _ in self._processes:
            if process.poll() is None:
                process.kill()
        for waiter in self._waiters:
            waiter.join()


def _wait_for_interpreter(process: subprocess.Popen) -> bool:
    """Wait until the interpreter of a new process runs its program; return whether it does.

    The interpreter ignores SIGPIPE at the end of its own start. Before its program runs, nothing
    can hold a signal back.
    """
    folder = pathlib.Path(f"/proc/{process.pid}")
    deadline = time.monotonic() + INTERPRETER_TIMEOUT_SECONDS
    until = 0.0
    while time.monotonic() < deadline and process.poll() is None:
        try:
            status = (folder / "status").read_text()
            seconds = int((folder / "schedstat").read_text().split()[0]) / 1e9
        except OSError:  # it has just ended
            return False
        [mask] = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
        if not until and int(mask, 16) >> (signal.SIGPIPE - 1) & 1:
            until = seconds + INTERPRETER_SECONDS
        if until and seconds >= until:
            return True
        time.sleep(INTERPRETER_POLL_SECONDS)
    return False
