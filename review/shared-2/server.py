"""Stand-in for the servers of a plain service, each on an address of its own, as PROTOCOL says.

Servers run in one process. Each registers at a control host, runs requests for some milliseconds
and writes what it runs to standard output, as a line of JSON each. A request for a path with the
word "crash" ends the server that runs it; a new one is at the same address after some seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import random
import sys
import time

HEARTBEAT_SECONDS = 1.2
DOWN_SECONDS = 3.0


def _log(**fields: object) -> None:
    print(json.dumps({"time": time.monotonic(), **fields}), flush=True)


def _parse_head(data: bytes) -> tuple[str, str, dict[str, str]]:
    lines = data.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return method, path, headers


class Server:
    """One server of a service."""

    def __init__(self, service: str, address: str, zone: str, controls: list[str], options: dict):
        self._service = service
        self._address = address
        self._zone = zone
        self._controls = controls
        self._options = options
        self._id = f"i-{random.getrandbits(40):010x}"
        self._sequence = 0
        self._crashed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def run(self) -> None:
        """Serve and register until the process ends."""
        host, _, port = self._address.rpartition(":")
        while True:
            self._id = f"i-{random.getrandbits(40):010x}"
            self._sequence = 0
            self._crashed = asyncio.Event()
            self._writers = set()
            listener = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
            _log(event="up", server=self._id, address=self._address)
            while not self._crashed.is_set():
                await self._register()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._crashed.wait(), HEARTBEAT_SECONDS)
            listener.close()
            for writer in list(self._writers):
                writer.transport.abort()
            await asyncio.sleep(DOWN_SECONDS)

    async def _register(self) -> None:
        self._sequence += 1
        body = {
            "service": self._service,
            "addr": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
        }
        for control in random.sample(self._controls, len(self._controls)):
            if await asyncio.to_thread(self._put, control, json.dumps(body)):
                return

    def _put(self, control: str, body: str) -> bool:
        host, _, port = control.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("PUT", f"/v1/instances/{self._id}", body, headers)
            return connection.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                method, path, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self._answer(method, path, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, path: str, headers: dict, body: bytes) -> bytes:
        request = headers.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {request}\r\n" if request else ""
        if headers.get("x-expect-instance", self._id) != self._id:
            return f"HTTP/1.1 421 Other\r\n{echo}Content-Length: 0\r\n\r\n".encode()
        if method == "GET" and path == "/healthz":
            head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self._id}\r\nContent-Length: 0\r\n\r\n"
            return head.encode()
        if not request:
            return b"HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        _log(
            event="run", request=request, server=self._id, method=method, path=path, size=len(body)
        )
        if "crash" in path:
            self._crashed.set()
            await asyncio.sleep(1.0)
        await asyncio.sleep(self._options.get("work_s", 0.02))
        answer = f"answer to {request}".encode()
        stamp = f"X-Response-Stamp: {self._id}.{request}\r\n"
        head = f"HTTP/1.1 200 OK\r\n{echo}{stamp}Content-Length: {len(answer)}\r\n\r\n"
        return head.encode() + answer


async def _main() -> None:
    settings = json.loads(sys.argv[1])
    servers = [
        Server(
            settings["service"], address, zone, settings["controls"], settings.get("options", {})
        )
        for address, zone in settings["addresses"]
    ]
    await asyncio.gather(*[server.run() for server in servers])


if __name__ == "__main__":
    asyncio.run(_main())
