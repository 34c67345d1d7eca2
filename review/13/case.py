"""A stream whose engine crashes is resumed, and its client gets pieces a second time."""

from __future__ import annotations

import pathlib
import re
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

import harness  # noqa: E402

EVENT_COUNT = 20
STREAM_COUNT = 4
ENGINE_COUNT = 6
PATH = "/caption-draft/a"


def read_stream(deployment: harness.Deployment, attempt_id: str) -> harness.Answer:
    """Read a stream to its end."""
    headers = harness.client_headers(
        attempt_id, X_Model="m", X_Token_Count="1000,700", X_Prompt_Prefix="5c1e07a2:960,91bd:40"
    )
    with harness.connect(deployment.callers()) as sock:
        sock.sendall(harness.encode_request("POST", PATH, headers, b"prompt"))
        return harness.Answer(sock).read()


def find_running(deployment: harness.Deployment, attempt_id: str) -> harness.Engine | None:
    """Return the engine that runs a request."""
    for engine in deployment.engines.values():
        events = [item["event"] for item in engine.events() if item["id"] == attempt_id]
        if events == ["runs"] and engine.process.poll() is None:
            return engine
    return None


def check(record: harness.Record, attempt_id: str, answer: harness.Answer) -> bool:
    """Write down which pieces a client got; return whether the rule held."""
    pieces = [int(item) for item in re.findall(rb"(?m)^id: (\d+)$", answer.body)]
    record.write(f"{attempt_id}: {answer.status}, complete: {answer.is_complete}, pieces {pieces}")
    if len(set(pieces)) < len(pieces):
        record.write(f"{attempt_id}: pieces come twice")
        return False
    if answer.is_complete and pieces != list(range(1, EVENT_COUNT + 1)):
        record.write(f"{attempt_id}: pieces are missing")
        return False
    return True


def play(record: harness.Record) -> bool:
    """Send some streams, and crash the engine of one of them."""
    deployment = harness.Deployment(record)
    try:
        deployment.start()
        route = harness.make_route("caption-draft", "streaming", "design-llm")
        deployment.configure(harness.make_configuration(1, [route]))
        for number in range(ENGINE_COUNT):
            deployment.add_engine(f"i-{number}", "design-llm", events=EVENT_COUNT, comments=True)
        deployment.wait_until_served(PATH, {"X-Model": "m", "X-Token-Count": "100,10"})
        time.sleep(3.0)
        answers: dict[str, harness.Answer] = {}

        def _read(attempt_id: str) -> None:
            answers[attempt_id] = read_stream(deployment, attempt_id)

        names = [f"stream-{number}" for number in range(STREAM_COUNT)]
        threads = [threading.Thread(target=_read, args=(name,)) for name in names]
        for thread in threads:
            thread.start()
            time.sleep(0.05)
        time.sleep(0.8)
        engine = find_running(deployment, names[0])
        if engine is None:
            raise harness.CannotRunError("no engine runs the first stream")
        if harness.trouble_is_on():
            engine.kill()
        for thread in threads:
            thread.join()
        for name, other in deployment.engines.items():
            for item in other.events():
                record.write(f"engine {name}: {item}")
        results = [check(record, name, answers[name]) for name in names]
        return all(results)
    finally:
        deployment.close()


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
