"""After a prompt that crashes engines, requests that share its parts stop the entries."""

from __future__ import annotations

import pathlib
import sys
import threading
import time
import zlib

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

import harness  # noqa: E402

ENTRY_COUNT = 2
ENGINE_COUNT = 8
# Parts of a document that several requests ask about; the header stays below 16,384 bytes.
DOCUMENT_PARTS = 1000
DOCUMENT = ",".join(f"{0x5C1E0000 + number:08x}:45" for number in range(DOCUMENT_PARTS))
TOKEN_COUNT = f"{45 * (DOCUMENT_PARTS + 1)},100"
READER_COUNT = 12
PATH = "/brief-read/a"
CHECK_PATH = "/proof-check/a"
CHECK_TIMEOUT_MS = 600
CHECK_PATIENCE_SECONDS = 8.0
CHECK_INTERVAL_SECONDS = 0.1
CHECK_SECONDS = 12.0
MARKER = "crashes engines"
# An engine that has crashed is back after this time.
RESTART_SECONDS = 3.0


def ask(deployment: harness.Deployment, number: int, attempt_id: str, body: str) -> harness.Answer:
    """Ask about the document at an entry, and read the answer to its end."""
    own_part = f"{zlib.crc32(attempt_id.encode()):08x}:45"
    headers = harness.client_headers(
        attempt_id,
        X_Model="m",
        X_Token_Count=TOKEN_COUNT,
        X_Prompt_Prefix=f"{DOCUMENT},{own_part}",
        X_Deadline_Ms="10000",
    )
    with harness.connect(deployment.callers(number), timeout=40.0) as sock:
        sock.sendall(harness.encode_request("POST", PATH, headers, body.encode()))
        return harness.Answer(sock).read()


class Restarts:
    """Starts a new engine, with a new id, for each that has crashed, after some seconds."""

    def __init__(self, deployment: harness.Deployment, record: harness.Record):
        self._deployment = deployment
        self._record = record
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        crashed_at: dict[str, float] = {}
        while not self._is_over.wait(0.1):
            for name, engine in list(self._deployment.engines.items()):
                if engine.process.poll() is None:
                    continue
                if name not in crashed_at:
                    crashed_at[name] = time.monotonic()
                    self._record.write(f"engine {name} has crashed")
                elif 0 < crashed_at[name] < time.monotonic() - RESTART_SECONDS:
                    crashed_at[name] = 0.0
                    self._record.write(f"engine {name} is back as {name}-again")
                    start_engine(self._deployment, f"{name}-again")

    def close(self) -> None:
        """Start no more engines."""
        self._is_over.set()
        self._thread.join()


def start_engine(deployment: harness.Deployment, name: str) -> None:
    """Start an engine, which the first request about the document crashes."""
    marker = MARKER if harness.trouble_is_on() else ""
    deployment.add_engine(name, "design-llm", events=5, event_seconds=0.05, crash_marker=marker)


class Checks:
    """Clients that ask the order desk at a steady rate, and how long each answer took."""

    def __init__(self, deployment: harness.Deployment, record: harness.Record):
        self._deployment = deployment
        self._record = record
        self._lock = threading.Lock()
        self.seconds: list[float] = []
        self.statuses: list[int] = []

    def _check(self, number: int, attempt_id: str) -> None:
        headers = harness.client_headers(attempt_id, X_Deadline_Ms="8000")
        began_at = time.monotonic()
        status = 0
        try:
            with harness.connect(
                self._deployment.callers(number), timeout=CHECK_PATIENCE_SECONDS
            ) as sock:
                sock.sendall(harness.encode_request("GET", CHECK_PATH, headers))
                status = harness.Answer(sock).read().status
        except OSError:
            pass
        seconds = time.monotonic() - began_at
        with self._lock:
            self.seconds.append(seconds if status else float("inf"))
            self.statuses.append(status)
        self._record.write(f"{attempt_id} at entry {number}: {status} after {seconds:.3f} s")

    def run(self) -> None:
        """Send checks to all entries, whether earlier ones are answered or not."""
        threads = []
        for number in range(int(CHECK_SECONDS / CHECK_INTERVAL_SECONDS)):
            for entry in range(ENTRY_COUNT):
                name = f"check-{entry}-{number}"
                threads.append(threading.Thread(target=self._check, args=(entry, name)))
                threads[-1].start()
            time.sleep(CHECK_INTERVAL_SECONDS)
        for thread in threads:
            thread.join()


def play(record: harness.Record) -> bool:
    """Send a prompt that crashes engines, then requests about the same document."""
    deployment = harness.Deployment(record, entries=ENTRY_COUNT)
    restarts = None
    try:
        deployment.start()
        routes = [
            harness.make_route("brief-read", "streaming", "design-llm", slo_ms=1500),
            harness.make_route(
                "proof-check", "idempotent", "order-desk", timeout_ms=CHECK_TIMEOUT_MS, slo_ms=125
            ),
        ]
        deployment.configure(harness.make_configuration(1, routes))
        for number in range(ENGINE_COUNT):
            start_engine(deployment, f"i-{number}")
        for number in range(3):
            deployment.add_engine(f"desk-{number}", "order-desk")
        deployment.wait_until_served(PATH, {"X-Model": "m", "X-Token-Count": "100,10"})
        deployment.wait_until_served(CHECK_PATH, {})
        time.sleep(4.0)
        restarts = Restarts(deployment, record)
        for number in range(2):  # a client retries once
            answer = ask(deployment, 0, f"first-{number}", MARKER)
            record.write(f"first-{number}: status {answer.status}, {answer.error or 'complete'}")
            time.sleep(0.3)
        time.sleep(1.0)
        checks = Checks(deployment, record)
        checker = threading.Thread(target=checks.run)
        checker.start()
        time.sleep(2.0)

        def _read(name: str, number: int) -> None:
            began_at = time.monotonic()
            try:
                answer = ask(deployment, number, name, "a question")
                text = f"{answer.status}, {answer.error or 'complete'}"
            except OSError as error:
                text = type(error).__name__
            record.write(f"{name} at entry {number}: {text} {time.monotonic() - began_at:.3f} s")

        readers = [
            threading.Thread(target=_read, args=(f"reader-{number}", number % ENTRY_COUNT))
            for number in range(READER_COUNT)
        ]
        for reader in readers:
            reader.start()
        for thread in (*readers, checker):
            thread.join()
        timeout_seconds = CHECK_TIMEOUT_MS / 1000
        late = [seconds for seconds in checks.seconds if seconds > timeout_seconds]
        unanswered = [seconds for seconds in late if seconds > timeout_seconds + 0.5]
        record.write(
            f"{len(checks.seconds)} checks, {len(late)} longer than their route's timeout, "
            f"{len(unanswered)} of these without an answer half a second after it"
        )
        if not any(status == 200 for status in checks.statuses):
            raise harness.CannotRunError("the order desk serves nothing")
        return not (len(unanswered) >= 8 and 4 * len(unanswered) > len(late))
    finally:
        if restarts is not None:
            restarts.close()
        deployment.close()


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
