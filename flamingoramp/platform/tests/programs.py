"""Programs of the deploy file, run as processes with the environment that the platform gives."""

from __future__ import annotations

import json
import os
import pathlib
import resource
import subprocess
import sys
import threading
import tomllib
from typing import IO, Any

import flamingoramp
from flamingoramp.platform import main
from flamingoramp.platform.tests import fleet as fleets

ROOT = pathlib.Path(flamingoramp.__file__).parent.parent
DEPLOY_PATH = ROOT / "deploy" / "system.toml"


def run_arguments(role: str) -> list[str]:
    """Return the command of a role, with the interpreter of this process."""
    deployment = tomllib.loads(DEPLOY_PATH.read_text())
    return [sys.executable, *deployment["roles"][role]["run"].split()[1:]]


def make_environment(settings_path: pathlib.Path, import_folder: str = "") -> dict[str, str]:
    """Return the environment that the platform gives a program; see `Program`."""
    libraries = [path for path in sys.path if path.endswith("-packages")]
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": os.pathsep.join(filter(None, [import_folder, *libraries])),
        main.SETTINGS_PATH_VARIABLE: str(settings_path),
    }


class Program:
    """A role's program, started by the run line of the deploy file.

    Parameters
    ----------
    role : str
        ``entry`` or ``control``.
    folder : pathlib.Path
        Folder of its settings file and its output.
    settings : dict or str
        Content of its settings file, which isn't written if empty.
    import_folder : str
        Folder that precedes the libraries on the path of imports; empty for none.
    max_file_bytes : int or None
        Size beyond which the process can't write to a file, as on a full disk; None for no limit.
    """

    def __init__(
        self,
        role: str,
        folder: pathlib.Path,
        settings: dict | str,
        import_folder: str = "",
        max_file_bytes: int | None = None,
    ):
        self.folder = folder
        self.settings_path = folder / "settings.json"
        if settings:
            text = settings if isinstance(settings, str) else json.dumps(settings)
            self.settings_path.write_text(text)
        # Pipes, since the limit holds for all files of the process.
        self._outputs = {"log": b"", "errors": b""}
        self.process = subprocess.Popen(
            run_arguments(role),
            cwd=ROOT,
            env=make_environment(self.settings_path, import_folder),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        if max_file_bytes is not None:
            limits = (max_file_bytes, max_file_bytes)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, limits)
        self._threads = [
            threading.Thread(target=self._read, args=arguments, daemon=True)
            for arguments in (("log", self.process.stdout), ("errors", self.process.stderr))
        ]
        for thread in self._threads:
            thread.start()

    def _read(self, name: str, pipe: IO[bytes]) -> None:
        while data := os.read(pipe.fileno(), 65536):
            self._outputs[name] += data

    @property
    def log(self) -> list[dict[str, Any]]:
        """Complete lines of its log so far."""
        return [json.loads(line) for line in self._outputs["log"].split(b"\n")[:-1]]

    @property
    def errors(self) -> str:
        """What it has written to standard error so far."""
        return self._outputs["errors"].decode()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of one event name."""
        return [line for line in self.log if line["event"] == name]

    def wait_for_event(self, name: str) -> dict[str, Any]:
        """Wait until an event is in the log, and return its first line."""

        def _find() -> dict[str, Any] | None:
            status = self.process.poll()
            found = self.events(name)
            if not found and status is not None:
                raise AssertionError(f"ended with {status} before {name}: {self.errors}")
            return found[0] if found else None

        return fleets.wait_for(_find, name)

    def wait(self, timeout: float = fleets.TIMEOUT_SECONDS) -> int:
        """Wait until the process ends and all of its output is read; return its exit status."""
        status = self.process.wait(timeout)
        for thread in self._threads:
            thread.join(timeout)
        return status

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.wait()
        self.process.stdout.close()
        self.process.stderr.close()
