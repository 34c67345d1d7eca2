"""Stand-in of an engine: registers itself, answers requests and writes down what it runs.

Its argument is a JSON object: ``name``, ``service``, ``operators``, ``zone``, ``log``, and how it
answers. A request with ``X-Token-Count`` gets a stream of ``events`` events, one each
``event_seconds``, and others a plain answer of ``answer_bytes`` bytes after ``work_seconds``.
With ``comments``, a stream has comments, too, as text/event-stream allows. With ``crash_marker``, a
request with this text in its body ends the engine as soon as it runs.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from typing import Any

SETTINGS: dict[str, Any] = {
    "events": 20,
    "event_seconds": 0.1,
    "work_seconds": 0.02,
    "answer_bytes": 800,
    "comments": False,
    "crash_marker": "",
    "listen": "127.0.0.1",
}


def write_log(event: str, attempt_id: str, **fields: Any) -> None:
    """Write down what happens to a request, at once."""
    line = {"at": round(time.time(), 3), "event": event, "id": attempt_id, **fields}
    with open(SETTINGS["log"], "a", encoding="utf-8") as log:
        log.write(json.dumps(line) + "\n")


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Read a request with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers, body


def encode_head(status: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of an answer's head."""
    lines = [f"HTTP/1.1 {status}", *[f"{name}: {value}" for name, value in headers.items()]]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def send_stream(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Send the events after the one that the request names."""
    attempt_id = headers["x-attempt-id"]
    first = int(headers.get("last-event-id") or 0) + 1
    write_log("runs", attempt_id, first_event=first)
    answer = {
        "Content-Type": "text/event-stream",
        "X-Attempt-Id": attempt_id,
        "X-Response-Stamp": f"stamp.{SETTINGS['name']}",
        "Transfer-Encoding": "chunked",
    }
    writer.write(encode_head("200 OK", answer))
    for number in range(first, SETTINGS["events"] + 1):
        await asyncio.sleep(SETTINGS["event_seconds"])
        data = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, attempt_id.encode())
        if SETTINGS["comments"]:
            data += b": keep-alive\n\n"
        writer.write(encode_chunk(data))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    write_log("ran", attempt_id)


async def send_plain(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Send a plain answer."""
    attempt_id = headers["x-attempt-id"]
    write_log("runs", attempt_id)
    await asyncio.sleep(SETTINGS["work_seconds"])
    body = (attempt_id.encode() + b".") * (SETTINGS["answer_bytes"] // (len(attempt_id) + 1))
    answer = {
        "Content-Type": "application/octet-stream",
        "X-Attempt-Id": attempt_id,
        "X-Response-Stamp": f"stamp.{SETTINGS['name']}",
        "Content-Length": str(len(body)),
    }
    writer.write(encode_head("200 OK", answer) + body)
    await writer.drain()
    write_log("ran", attempt_id, bytes=len(body))


async def send_report(writer: asyncio.StreamWriter, status: str, body: dict[str, Any]) -> None:
    """Send the answer to a call that isn't a request."""
    data = json.dumps(body).encode()
    head = {"Content-Type": "application/json", "Content-Length": str(len(data))}
    writer.write(encode_head(status, head) + data)
    await writer.drain()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection."""
    try:
        while True:
            _, path, headers, body = await read_request(reader)
            if path == "/v1/order":
                await send_report(writer, "200 OK", {"idle": 0})
            elif headers.get("x-expect-instance", SETTINGS["name"]) != SETTINGS["name"]:
                refusal = {"X-Attempt-Id": headers.get("x-attempt-id", ""), "Content-Length": "0"}
                writer.write(encode_head("421 Misdirected Request", refusal))
            elif SETTINGS["crash_marker"] and SETTINGS["crash_marker"].encode() in body:
                write_log("crashes", headers["x-attempt-id"])
                os._exit(1)
            elif "x-token-count" in headers:
                await send_stream(headers, writer)
            else:
                await send_plain(headers, writer)
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def announce(address: str) -> None:
    """Send a heartbeat to a control host, again and again."""
    sequence = 0
    while True:
        sequence += 1
        body = {
            "service": SETTINGS["service"],
            "addr": address,
            "zone": SETTINGS["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": sequence,
        }
        data = json.dumps(body).encode()
        operators = SETTINGS["operators"]
        for number in range(len(operators)):
            host, _, port = operators[(sequence + number) % len(operators)].rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                path = f"/v1/instances/{SETTINGS['name']}"
                head = (
                    f"PUT {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
            except (TimeoutError, OSError):
                continue
            if b" 200 " in line:
                break
        await asyncio.sleep(1.2)


async def main() -> None:
    """Serve and announce until the process is ended."""
    server = await asyncio.start_server(serve, SETTINGS["listen"], 0, limit=2**20)
    host, port = server.sockets[0].getsockname()[:2]
    await asyncio.gather(server.serve_forever(), announce(f"{host}:{port}"))


if __name__ == "__main__":
    SETTINGS.update(json.loads(sys.argv[1]))
    asyncio.run(main())
