"""Proper requests on connections that are older than the entry's configuration get a 431."""

from __future__ import annotations

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

import harness  # noqa: E402

CLIENT_COUNT = 24
MAX_HEADER_BYTES = 65536
PATH = "/archive-digest/a"
# Parts of a prompt of a million tokens; the header takes about 26,000 bytes.
PARTS = ",".join(f"{0x5C1E0000 + number:08x}:800" for number in range(2000))
# Bytes that a packet carries, and the time from one packet to the next, on a link of 10 Mbit/s.
PACKET_BYTES = 1460
PACKET_SECONDS = 0.0012


def prompt_headers(attempt_id: str, parts: str) -> dict[str, str]:
    """Return the headers of a request with a prompt."""
    return harness.client_headers(
        attempt_id, X_Model="m", X_Token_Count="1000,100", X_Prompt_Prefix=parts
    )


def send(sock, request: bytes) -> harness.Answer:
    """Send a request as a link carries it, packet by packet, and read the answer."""
    for start in range(0, len(request), PACKET_BYTES):
        sock.sendall(request[start : start + PACKET_BYTES])
        time.sleep(PACKET_SECONDS)
    return harness.Answer(sock).read()


def connect_again(deployment: harness.Deployment):
    """Connect as soon as the entry listens."""
    deadline = time.monotonic() + 15.0
    while time.monotonic() < deadline:
        try:
            return harness.connect(deployment.callers())
        except OSError:
            time.sleep(0.002)
    raise harness.CannotRunError("the entry doesn't listen")


def play(record: harness.Record) -> bool:
    """Restart the entry; its clients connect again and keep their connections."""
    deployment = harness.Deployment(record)
    try:
        deployment.start()
        route = harness.make_route("archive-digest", "streaming", "design-llm")
        deployment.configure(
            harness.make_configuration(1, [route], max_header_bytes=MAX_HEADER_BYTES)
        )
        for number in range(3):
            deployment.add_engine(f"i-{number}", "design-llm", events=3, event_seconds=0.02)
        deployment.wait_until_served(PATH, {"X-Model": "m", "X-Token-Count": "100,10"})
        time.sleep(3.0)
        if harness.trouble_is_on():
            deployment.kill("entry-0")
            deployment.start_program("entry", 0)
        socks = [connect_again(deployment) for _ in range(CLIENT_COUNT)]
        first = []
        for number, sock in enumerate(socks):
            headers = prompt_headers(f"first-{number}", "5c1e07a2:960,91bd:40")
            request = harness.encode_request("POST", PATH, headers, b"prompt")
            first.append(send(sock, request).status)
        record.write(f"first answers on the connections: {first}")
        # Much longer than `contact_ms` after the start, less than the idle timeout.
        time.sleep(8.0)
        denied = sent = 0
        for number, sock in enumerate(socks):
            headers = prompt_headers(f"long-{number}", PARTS)
            request = harness.encode_request("POST", PATH, headers, b"prompt")
            head_bytes = request.index(b"\r\n\r\n")
            if first[number] != 200:
                record.write(f"long-{number}: not sent, its connection was refused before")
                continue
            sent += 1
            answer = send(sock, request)
            denied += answer.status == 431
            record.write(f"long-{number}: head of {head_bytes} bytes, status {answer.status}")
        with harness.connect(deployment.callers()) as sock:
            headers = prompt_headers("control", PARTS)
            answer = send(sock, harness.encode_request("POST", PATH, headers, b"prompt"))
            record.write(f"the same request on a new connection: status {answer.status}")
        allowed = 5 + (len(socks) + sent + 1) / 500
        record.write(f"{denied} of {sent} proper requests denied, {allowed:.2f} are allowed")
        if answer.status != 200 or not sent:
            raise harness.CannotRunError("the deployment serves nothing")
        return denied <= allowed
    finally:
        deployment.close()


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
