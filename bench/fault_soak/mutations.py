"""Faults that are put into a copy of the product, to show that the soak finds them.

python -m bench.fault_soak.mutations --names=late_admission,unheld_signals --seeds=10
"""

from __future__ import annotations

import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import attrs
import fire

from bench.fault_soak import main as soak

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPIED = ("bench", "deploy", "flamingoramp")


class MutationError(Exception):
    """The source doesn't hold the text that a mutation replaces exactly once."""


@attrs.frozen
class Replacement:
    """A text in a file of the product and what takes its place."""

    path: str
    before: str
    after: str


@attrs.frozen
class Mutation:
    """A fault, and the promises of which at least one must be found broken."""

    name: str
    promises: tuple[str, ...]
    replacements: tuple[Replacement, ...]


SERVER = "flamingoramp/http/server.py"
CONNECTIONS = "flamingoramp/http/connections.py"
MUTATIONS = (
    Mutation(
        "late_admission",
        ("7 planned stop",),
        (
            Replacement(
                "flamingoramp/dispatch/stop_admission.py",
                "    if request.limit_seconds <= remaining_seconds:\n",
                "    if True:\n",
            ),
        ),
    ),
    Mutation(
        "connections_closed_at_once",
        ("7 no reset",),
        (
            Replacement(CONNECTIONS, "not self._stream.read_pending() and ", ""),
            Replacement(
                CONNECTIONS,
                "            self._send_refusal(408)\n            self._finish_connection()\n",
                "            self.close()\n",
            ),
            Replacement(
                SERVER, "if listeners.refuse_connections(self._listener):", "if not self._listener:"
            ),
        ),
    ),
    Mutation(
        "unheld_signals",
        ("process",),
        (
            Replacement(
                "deploy/start.py", "(_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT)", "()"
            ),
        ),
    ),
    Mutation(
        "no_wait_for_addresses",
        ("process",),
        (
            Replacement(
                "flamingoramp/runtime/listeners.py",
                "BIND_TIMEOUT_SECONDS = 10.0",
                "BIND_TIMEOUT_SECONDS = 0.0",
            ),
        ),
    ),
    Mutation(
        "impatience_with_readers",
        ("7 planned stop",),
        (
            Replacement(
                "flamingoramp/runtime/stream.py",
                "STALL_TIMEOUT_SECONDS if self._output else DRAIN_TIMEOUT_SECONDS",
                "DRAIN_TIMEOUT_SECONDS",
            ),
        ),
    ),
    Mutation(
        "second_stop_signal_ends",
        ("7 planned stop", "7 no reset"),
        (
            Replacement(
                "flamingoramp/daemons/gateway.py",
                "        if self._stop_began_at:\n            return\n",
                "        if self._stop_began_at:\n            self.loop.stop()\n"
                "            return\n",
            ),
        ),
    ),
    Mutation(
        "departed_servers_used",
        ("6 departure",),
        (
            Replacement(
                "flamingoramp/routing/selection.py",
                "record.service != service or record.leaving or",
                "record.service != service or",
            ),
        ),
    ),
    Mutation(
        "versions_left_out",
        ("8 declaration",),
        (
            Replacement(
                "flamingoramp/daemons/gateway.py",
                "        self._request_handler.apply_declaration(declaration)\n",
                "        if declaration.version % 3 or self.declaration is None:\n"
                "            self._request_handler.apply_declaration(declaration)\n",
            ),
        ),
    ),
    Mutation(
        "names_as_they_are",
        ("process",),
        (
            Replacement(
                "flamingoramp/platform/backends.py",
                "messages.encode_field_value(forwarded.workspace)",
                "forwarded.workspace.encode()",
            ),
        ),
    ),
    Mutation(
        "limits_of_old_connections",
        ("8 declaration",),
        (
            Replacement(
                CONNECTIONS,
                "max_incomplete_event_size=sys.maxsize",
                "max_incomplete_event_size=16384",
            ),
        ),
    ),
    Mutation(
        "descriptors_kept",
        ("resources",),
        (
            Replacement(
                "flamingoramp/dispatch/request_handler.py",
                "        if not self._queue_while_starting(exchange):\n",
                '        vars(self).setdefault("kept", []).append(open("/dev/null"))\n'
                "        if not self._queue_while_starting(exchange):\n",
            ),
        ),
    ),
)


def apply(mutation: Mutation, folder: pathlib.Path) -> None:
    """Put a fault into a copy of the product.

    Raises
    ------
    MutationError
        The source is not what the mutation expects.
    """
    for replacement in mutation.replacements:
        path = folder / replacement.path
        source = path.read_text() if path.exists() else ""
        if source.count(replacement.before) != 1:
            raise MutationError(f"{mutation.name}: {replacement.path}: text not found once")
        path.write_text(source.replace(replacement.before, replacement.after))


def find(mutation: Mutation, seeds: range) -> tuple[int, str]:
    """Return the first seed that finds a fault and what it printed; -1 for none."""
    with tempfile.TemporaryDirectory(prefix=f"mutation-{mutation.name}-") as name:
        folder = pathlib.Path(name)
        for part in COPIED:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / part, folder / part, ignore=ignored)
        apply(mutation, folder)
        promises = "|".join(mutation.promises)
        for seed in seeds:
            runs = folder / "runs"
            options = ["--seeds=1", f"--first={seed}", f"--folder={runs}"]
            command = [sys.executable, "-m", "bench.fault_soak.main", *options]
            with subprocess.Popen(command, cwd=folder, stdout=subprocess.DEVNULL) as process:
                try:
                    process.wait()
                except BaseException:
                    process.terminate()  # it ends its own processes first
                    raise
            text = (runs / str(seed) / "result.txt").read_text()
            if re.search(rf"^  ({promises}): ", text, re.MULTILINE):
                return seed, text
    return -1, ""


def main(names: str = "", seeds: int = 10, first: int = 1) -> None:
    """Look for each fault; exit with 1 if one isn't found.

    Parameters
    ----------
    names : str or tuple of str
        Names of mutations; empty for all.
    seeds, first : int
        Most seeds that are tried, and the first one.
    """
    soak.handle_stop()
    chosen = names.split(",") if isinstance(names, str) else list(names)
    missed = []
    for mutation in MUTATIONS:
        if names and mutation.name not in chosen:
            continue
        seed, text = find(mutation, range(first, first + seeds))
        if seed < 0:
            missed.append(mutation.name)
            print(f"{mutation.name}: not found in {seeds} seeds", flush=True)
            continue
        lines = [line for line in text.splitlines() if line.strip().startswith(mutation.promises)]
        print(f"{mutation.name}: seed {seed}, {len(lines)} findings, {lines[0]}", flush=True)
    sys.exit(bool(missed))


if __name__ == "__main__":
    fire.Fire(main)
