"""Crowds of clients that keep to no limits, and what a process may use while they are there."""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator

import attrs

from flamingoramp.platform.tests import fleet as fleets

# Time for the members to send; those that are still held up then stay as they are.
SEND_SECONDS = 20.0
CONNECT_TIMEOUT_SECONDS = 5.0
# A small window, so that the kernel takes little of an answer that nobody reads.
RECEIVE_BUFFER_BYTES = 4096


@attrs.frozen
class Usage:
    """Largest memory that a process has used, in bytes, and its open descriptors."""

    peak_bytes: int
    descriptors: int


def read_usage(pid: int) -> Usage:
    """Read the usage of a running process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    peak_bytes = int(lines["VmHWM"].split()[0]) * 1024
    return Usage(peak_bytes, len(os.listdir(f"/proc/{pid}/fd")))


class Crowd:
    """Connections that each send their bytes, read nothing and stay open.

    Parameters
    ----------
    address : str
        ``ip:port``
    members : iterable of iterable of bytes
        What each connection sends, in pieces.
    """

    def __init__(self, address: str, members: Iterable[Iterable[bytes]]):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []
        self._threads = [
            threading.Thread(target=self._send, args=(pieces,), daemon=True) for pieces in members
        ]

    def _send(self, pieces: Iterable[bytes]) -> None:
        # A refusal ends the connection of a member while it sends.
        with contextlib.suppress(OSError):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sockets.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.settimeout(CONNECT_TIMEOUT_SECONDS)
            sock.connect(self._address)
            sock.settimeout(SEND_SECONDS)
            for piece in pieces:
                sock.sendall(piece)

    def __enter__(self) -> Crowd:
        """Let all members send."""
        for thread in self._threads:
            thread.start()
        deadline = time.monotonic() + SEND_SECONDS
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        return self

    def __exit__(self, *_error: object) -> None:
        """Close all connections."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        for thread in self._threads:
            thread.join(SEND_SECONDS)


_request_numbers = itertools.count()


def make_head(method: str, target: str, *lines: str) -> bytes:
    """Return the head of a request with an id of its own and some header lines."""
    all_lines = [
        f"{method} {target} HTTP/1.1",
        f"host: {fleets.ROUTE_HOST}",
        f"x-attempt-id: crowd{next(_request_numbers)}",
        "authorization: Token k1",
        "x-deadline-ms: 8000",
        *lines,
    ]
    return "\r\n".join([*all_lines, "", ""]).encode()


def send_with_length(
    make: Callable[..., bytes], size: int, *, piece_bytes: int, missing: int
) -> Iterator[bytes]:
    """Send a body with a length in pieces, all but the last ``missing`` bytes of it."""
    yield make(f"content-length: {size}")
    rest = size - missing
    while rest:
        length = min(rest, piece_bytes)
        yield b"x" * length
        rest -= length


def send_in_chunks(
    make: Callable[..., bytes], size: int, *, chunk_bytes: int, ends: bool
) -> Iterator[bytes]:
    """Send a chunked body, with or without its end."""
    yield make("transfer-encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    chunks_per_piece = max(1, 65536 // len(chunk))
    count = size // chunk_bytes
    while count:
        piece_count = min(count, chunks_per_piece)
        yield chunk * piece_count
        count -= piece_count
    if ends:
        yield b"0\r\n\r\n"
