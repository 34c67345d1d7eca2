"""How long new requests wait beside callers that send half a request, nothing, or a huge header.

``python -m bench.slow_callers`` prints the longest of ten requests, in milliseconds.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from flamingoramp.http import messages, server
from flamingoramp.runtime import loop as loops

SLOW_CALLERS = 300
REQUESTS = 10
HUGE_HEADER_BYTES = 1_000_000


def main() -> None:
    """Measure and print."""
    loop = loops.Loop()
    served = server.Server(
        loop,
        "127.0.0.1:0",
        lambda exchange: exchange.respond(messages.Response(200, (), b"ok")),
        limits=lambda: server.Limits(header_seconds=60.0, body_seconds=60.0),
    )
    host, _, port = served.address.rpartition(":")
    thread = threading.Thread(target=loop.run)
    thread.start()
    with contextlib.ExitStack() as stack:
        for number in range(2 * SLOW_CALLERS):
            sock = stack.enter_context(socket.create_connection((host, int(port))))
            if number < SLOW_CALLERS:
                sock.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf")
        flood = stack.enter_context(socket.create_connection((host, int(port))))
        with contextlib.suppress(ConnectionError):
            flood.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * HUGE_HEADER_BYTES)
        waits = [_ask(host, int(port)) for _ in range(REQUESTS)]
    loop.stop()
    thread.join()
    served.close()
    loop.close()
    print(f"{2 * SLOW_CALLERS} slow callers: longest of {REQUESTS}: {1000 * max(waits):.1f} ms")


def _ask(host: str, port: int) -> float:
    begun = time.monotonic()
    with socket.create_connection((host, port)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        while sock.recv(4096):
            pass
    return time.monotonic() - begun


if __name__ == "__main__":
    main()
