"""Benchmark of the HTTP server's latency beside slow and misbehaving clients.

Of 600 open connections half have sent an incomplete request and half nothing; one more sends a
header of 1 MB. ``python -m bench.slow_callers`` prints the longest of ten requests, in
milliseconds.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from flamingoramp.http import exchanges, messages, server
from flamingoramp.runtime import loop as loops

CONNECTION_COUNT_PER_KIND = 300
REQUEST_COUNT = 10
HUGE_HEADER_BYTES = 1_000_000


def main() -> None:
    """Run the benchmark and print the longest latency."""
    loop = loops.Loop()
    http_server = server.Server(
        loop,
        "127.0.0.1:0",
        lambda exchange: exchange.respond(messages.Response(200, (), b"ok")),
        limits=lambda: exchanges.Limits(header_seconds=60.0, body_seconds=60.0),
    )
    host, _, port = http_server.address.rpartition(":")
    thread = threading.Thread(target=loop.run)
    thread.start()
    with contextlib.ExitStack() as stack:
        for number in range(2 * CONNECTION_COUNT_PER_KIND):
            connection = stack.enter_context(socket.create_connection((host, int(port))))
            if number < CONNECTION_COUNT_PER_KIND:
                connection.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf")
        huge_header_connection = stack.enter_context(socket.create_connection((host, int(port))))
        with contextlib.suppress(ConnectionError):
            huge_header_connection.sendall(
                b"GET / HTTP/1.1\r\nhost: h\r\nbig: " + b"x" * HUGE_HEADER_BYTES
            )
        latencies = [_time_request(host, int(port)) for _ in range(REQUEST_COUNT)]
    loop.stop()
    thread.join()
    http_server.close()
    loop.close()
    print(
        f"{2 * CONNECTION_COUNT_PER_KIND} slow connections: longest of {REQUEST_COUNT} requests: "
        f"{1000 * max(latencies):.1f} ms"
    )


def _time_request(host: str, port: int) -> float:
    start = time.monotonic()
    with socket.create_connection((host, port)) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
        while connection.recv(4096):
            pass
    return time.monotonic() - start


if __name__ == "__main__":
    main()
