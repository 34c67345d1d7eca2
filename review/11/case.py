"""A tenant whose name ends with a space ends the entries, and cuts the others' requests."""

from __future__ import annotations

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

import harness  # noqa: E402

ENTRY_COUNT = 2
ENGINE_COUNT = 6
STREAM_CLIENTS = 4
EVENT_COUNT = 20
DRAFT_PATH = "/caption-draft/a"
NEW_KEY = "p4kq0zt1v8w2hd6mxr3b"
NEW_TENANT = "daejeon-coop"
# Requests of the new tenant: so many, to all entries in turn, at this interval.
NEW_REQUEST_COUNT = 40
NEW_INTERVAL_SECONDS = 0.6
SECONDS = 30.0
# The platform starts a process again that has ended.
RESTART_SECONDS = 0.5


class StreamClient:
    """A client of the first tenant that sends one stream after the other on a kept connection."""

    def __init__(self, deployment: harness.Deployment, record: harness.Record, number: int):
        self._deployment = deployment
        self._record = record
        self._number = number
        self.complete_count = 0
        # Ids of requests whose connection ended without a complete answer.
        self.cut: list[str] = []

    def run(self, ends_at: float) -> None:
        """Send streams until a time; connect again after a connection has ended."""
        sock = None
        count = 0
        while time.monotonic() < ends_at:
            count += 1
            attempt_id = f"draft-{self._number}-{count}"
            headers = harness.client_headers(
                attempt_id,
                X_Model="m",
                X_Token_Count="1000,700",
                X_Prompt_Prefix=f"5c1e07a2:40,{self._number:08x}:960",
            )
            is_kept = sock is not None
            try:
                if sock is None:
                    entry = self._number % ENTRY_COUNT
                    sock = harness.connect(self._deployment.callers(entry), timeout=15.0)
                sock.sendall(harness.encode_request("POST", DRAFT_PATH, headers, b"prompt"))
                answer = harness.Answer(sock).read()
            except OSError:
                sock = None
                time.sleep(0.2)
                continue
            if answer.is_complete:
                self.complete_count += answer.status == 200
                if answer.headers.get("connection") == "close":
                    sock.close()
                    sock = None
                continue
            if is_kept:
                self.cut.append(attempt_id)
            self._record.write(
                f"{attempt_id}: status {answer.status}, {len(answer.body)} bytes, {answer.error}, "
                f"on a {'kept' if is_kept else 'new'} connection"
            )
            sock.close()
            sock = None
            time.sleep(0.2)


class Platform:
    """Starts entries again that have ended, and counts how often each has."""

    def __init__(self, deployment: harness.Deployment, record: harness.Record):
        self._deployment = deployment
        self._record = record
        self.end_counts = [0] * ENTRY_COUNT
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._is_over.wait(0.05):
            for number in range(ENTRY_COUNT):
                status = self._deployment.exit_status(f"entry-{number}")
                if status is None:
                    continue
                self.end_counts[number] += 1
                self._record.write(f"entry-{number} has ended by itself with status {status}")
                time.sleep(RESTART_SECONDS)
                self._deployment.start_program("entry", number)

    def close(self) -> None:
        """Start nothing more."""
        self._is_over.set()
        self._thread.join()


def ask(deployment: harness.Deployment, record: harness.Record, number: int) -> None:
    """Send a request of the new tenant."""
    attempt_id = f"new-{number}"
    headers = harness.client_headers(
        attempt_id,
        X_Model="m",
        X_Token_Count="5000,700",
        X_Prompt_Prefix=f"5c1e07a2:40,{number:08x}:4960",
        Authorization=f"Token {NEW_KEY}",
    )
    try:
        with harness.connect(deployment.callers(number % ENTRY_COUNT), timeout=12.0) as sock:
            sock.sendall(harness.encode_request("POST", DRAFT_PATH, headers, b"prompt"))
            answer = harness.Answer(sock).read()
        record.write(f"{attempt_id}: status {answer.status} {answer.error}")
    except OSError as error:
        record.write(f"{attempt_id}: {type(error).__name__}")


def play(record: harness.Record) -> bool:
    """Add a tenant while another one works."""
    deployment = harness.Deployment(record, entries=ENTRY_COUNT)
    platform = None
    try:
        deployment.start()
        routes = [harness.make_route("caption-draft", "streaming", "design-llm")]
        deployment.configure(harness.make_configuration(1, routes))
        for number in range(ENGINE_COUNT):
            deployment.add_engine(f"i-{number}", "design-llm", events=EVENT_COUNT)
        deployment.wait_until_served(DRAFT_PATH, {"X-Model": "m", "X-Token-Count": "100,10"})
        time.sleep(3.0)
        platform = Platform(deployment, record)
        ends_at = time.monotonic() + SECONDS
        clients = [
            StreamClient(deployment, record, number)
            for number in range(STREAM_CLIENTS * ENTRY_COUNT)
        ]
        threads = [threading.Thread(target=client.run, args=(ends_at,)) for client in clients]
        for thread in threads:
            thread.start()
        document = harness.make_configuration(2, routes)
        name = NEW_TENANT + (" " if harness.trouble_is_on() else "")
        document["tenants"].append({"name": name, "api_keys": [NEW_KEY], "priority": 1})
        deployment.configure(document)
        time.sleep(5.0)
        for number in range(NEW_REQUEST_COUNT):
            threads.append(threading.Thread(target=ask, args=(deployment, record, number)))
            threads[-1].start()
            time.sleep(NEW_INTERVAL_SECONDS)
        for thread in threads:
            thread.join()
        platform.close()
        ran = {
            item["id"]
            for engine in deployment.engines.values()
            for item in engine.events()
            if item["event"] == "runs"
        }
        complete_count = sum(client.complete_count for client in clients)
        cut = [attempt_id for client in clients for attempt_id in client.cut if attempt_id in ran]
        record.write(f"the first tenant got {complete_count} complete streams")
        record.write(f"ends of the entries by themselves: {platform.end_counts}")
        record.write(f"{len(cut)} requests of kept connections passed on and not answered: {cut}")
        if not complete_count:
            raise harness.CannotRunError("nothing was served")
        return len(cut) <= 3
    finally:
        if platform is not None:
            platform.close()
        deployment.close()


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
