"""Sockets of a process with addresses of their own, opened before its other modules are imported.

Imports take most of the processor time of a start. A caller whose connection is refused meanwhile
gives up; one whose connection the kernel accepts is served as soon as the process can.

A process has all of its addresses or none: while one can't be bound, its callers are refused and
go elsewhere, and it takes part in nothing.

This module imports the standard library only.
"""

from __future__ import annotations

import contextlib
import json
import os
import resource
import socket
import time
from collections.abc import Callable
from typing import Any, TypeVar

from flamingoramp.runtime import event_log

BACKLOG_COUNT = 1024
# Keys of `node_settings.ListenSettings` that each role serves.
SERVED_KEYS_BY_ROLE = {
    "entry": ("callers", "readiness", "directory", "metrics"),
    "control": ("operators", "directory", "metrics"),
}
# Linux's SO_BINDTOIFINDEX (since 5.1), which the socket module doesn't name, and an index that no
# network interface has.
_SO_BINDTOIFINDEX = 62
_NO_INTERFACE_INDEX = 2**31 - 1
# Kind and offset of a role's port in the range for traffic between processes.
INTERNAL_PORTS = {"control": (socket.SOCK_STREAM, 0), "entry": (socket.SOCK_DGRAM, 1)}
# A predecessor may take its grace period to release an address.
BIND_TIMEOUT_SECONDS = 10.0
BIND_RETRY_SECONDS = 0.05
BIND_LOG_INTERVAL_SECONDS = 1.0

# A process that ends during its start reads on for this long after it has refused connections.
REFUSAL_LINGER_SECONDS = 0.3
REFUSAL_CHECK_SECONDS = 0.005
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
# Descriptors that a process needs for files, and the share of the others that callers may use; the
# rest is for connections to backend servers and other processes.
MAX_CALLER_CONNECTIONS = 3000
MAX_FILE_DESCRIPTORS = 200
CALLERS_RATIO = 2 / 3

T = TypeVar("T")
# Kind of socket and ``ip:port``.
Address = tuple[socket.SocketKind, str]


class BindError(OSError):
    """An address can't be bound.

    Parameters
    ----------
    address : str
        ``ip:port``, with ``/udp`` for datagrams.
    cause : OSError
    """

    def __init__(self, address: str, cause: OSError):
        super().__init__(cause.errno, os.strerror(cause.errno) if cause.errno else str(cause))
        self.address = address

    def __str__(self) -> str:
        return f"{self.address}: {self.strerror}"


class AddressUnavailableError(Exception):
    """An address could not be bound for `BIND_TIMEOUT_SECONDS`."""


def open_listener(address: str) -> socket.socket:
    """Listen on an ``ip:port``; port 0 selects a free port.

    Raises
    ------
    BindError
        If the address can't be bound.
    """
    listener = bind_socket(socket.SOCK_STREAM, address)
    _listen(listener, address)
    return listener


def bind_socket(kind: socket.SocketKind, address: str) -> socket.socket:
    """Bind a socket to an ``ip:port``, which does not listen yet; port 0 selects a free port.

    Raises
    ------
    BindError
        If the address can't be bound.
    """
    ip_address, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, kind)
        try:
            sock.setblocking(False)
            if kind is socket.SOCK_STREAM:
                # Connections of a predecessor may still be in TIME_WAIT.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((ip_address, int(port)))
        except BaseException:
            sock.close()
            raise
    except OSError as error:
        suffix = "/udp" if kind is socket.SOCK_DGRAM else ""
        raise BindError(f"{address}{suffix}", error) from error
    return sock


def _listen(sock: socket.socket, address: str) -> None:
    try:
        sock.listen(BACKLOG_COUNT)
    except OSError as error:  # another process has bound the address, too, and listens
        sock.close()
        raise BindError(address, error) from error


def refuse_connections(listener: socket.socket) -> bool:
    """Let the kernel refuse new connections to a listening socket.

    Those whose handshake has begun complete it and can be accepted; closing the socket at once
    would reset them. The socket is bound to an interface that doesn't exist, so that it matches no
    new connection.

    Returns
    -------
    bool
        False if the kernel doesn't offer this.
    """
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_BINDTOIFINDEX, _NO_INTERFACE_INDEX)
    except OSError:
        return False
    return True


def count_caller_descriptors() -> int:
    """Return how many descriptors of this process connections of callers may use."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return MAX_CALLER_CONNECTIONS
    file_count = min(MAX_FILE_DESCRIPTORS, limit // 4)
    return min(MAX_CALLER_CONNECTIONS, int((limit - file_count) * CALLERS_RATIO))


def retry_binding(open_all: Callable[[], T], *, on_wait: Callable[[BindError, float], None]) -> T:
    """Call a function again while an address that it binds is unavailable; return its result.

    Parameters
    ----------
    open_all : callable
        Raises `BindError` and leaves no socket open if an address can't be bound.
    on_wait : callable
        Takes the error and the seconds waited so far; called every `BIND_LOG_INTERVAL_SECONDS`.

    Raises
    ------
    AddressUnavailableError
        After `BIND_TIMEOUT_SECONDS`.
    """
    began_at = time.monotonic()
    reported_at = None
    while True:
        try:
            return open_all()
        except BindError as error:
            now = time.monotonic()
            if now - began_at > BIND_TIMEOUT_SECONDS:
                raise AddressUnavailableError(f"{error} for {now - began_at:.0f} s") from error
            if reported_at is None or now - reported_at >= BIND_LOG_INTERVAL_SECONDS:
                reported_at = now
                on_wait(error, now - began_at)
        time.sleep(BIND_RETRY_SECONDS)


class Listeners:
    """Listening sockets by address, which the servers of the process take over.

    Parameters
    ----------
    log : event_log.EventLog
        Log of the process.
    program_started_at : float or None
        Monotonic time at which the program began, in seconds; None for now.
    """

    def __init__(self, log: event_log.EventLog, program_started_at: float | None = None):
        now = time.monotonic()
        self._log = log
        self._sockets: dict[Address, socket.socket] = {}
        self._listening: list[socket.socket] = []
        self._program_started_at = now if program_started_at is None else program_started_at
        self._opened_at = now
        self._processor_seconds = time.process_time()

    @property
    def log(self) -> event_log.EventLog:
        """Log of the process."""
        return self._log

    @property
    def program_started_at(self) -> float:
        """Monotonic time at which the program began, in seconds."""
        return self._program_started_at

    @property
    def opened_at(self) -> float:
        """Monotonic time at which the last listening socket was opened, in seconds."""
        return self._opened_at

    @property
    def processor_seconds(self) -> float:
        """Processor time of the process at `opened_at`, in seconds."""
        return self._processor_seconds

    def open_early(self, addresses: list[Address]) -> None:
        """Listen on addresses if all of them can be bound; `wait_for_all` reports errors.

        Datagrams aren't received before the process can read them, since they would be outdated.
        """
        try:
            self._open([address for address in addresses if address[0] is socket.SOCK_STREAM])
        except (BindError, ValueError, OverflowError):
            self.close()

    def wait_for_all(self, addresses: list[Address]) -> None:
        """Open the addresses that aren't open yet, all or none, until it succeeds.

        What holds it up is logged.

        Raises
        ------
        AddressUnavailableError
            After `BIND_TIMEOUT_SECONDS`.
        """

        def _open_all() -> None:
            try:
                self._open(addresses)
            except BindError:
                self.close()
                raise

        def _log(error: BindError, seconds: float) -> None:
            self._log.write(
                "address.unavailable",
                address=error.address,
                text=error.strerror,
                seconds=round(seconds, 1),
            )
            self._log.flush()

        retry_binding(_open_all, on_wait=_log)

    def take(self, address: str) -> socket.socket:
        """Hand over the socket that listens on an address, or open one.

        Raises
        ------
        BindError
            If the address can't be bound.
        """
        return self._take((socket.SOCK_STREAM, address))

    def take_datagram_socket(self, address: str) -> socket.socket:
        """Hand over the datagram socket that is bound to an address, or bind one.

        Raises
        ------
        BindError
            If the address can't be bound.
        """
        return self._take((socket.SOCK_DGRAM, address))

    def _take(self, address: Address) -> socket.socket:
        if address not in self._sockets:
            self._open([address])
        return self._sockets.pop(address)

    def _open(self, addresses: list[Address]) -> None:
        missing = [address for address in addresses if address not in self._sockets]
        for kind, address in missing:
            self._sockets[kind, address] = bind_socket(kind, address)
        # Nothing listens before all are bound: closing a listener resets its connections.
        listening = [address for kind, address in missing if kind is socket.SOCK_STREAM]
        for address in listening:
            listener = self._sockets[socket.SOCK_STREAM, address]
            _listen(listener, address)
            self._listening.append(listener)
        if listening:
            self._opened_at = time.monotonic()
            self._processor_seconds = time.process_time()

    def refuse_pending(self) -> None:
        """Answer the connections that the kernel has accepted with 503, since the process ends.

        The end of the process would reset them, and no caller could know that its request has not
        run.
        """
        for listener in self._listening:
            refuse_connections(listener)
        deadline = time.monotonic() + REFUSAL_LINGER_SECONDS
        refused = self._refuse_accepted()
        while refused and time.monotonic() < deadline:
            time.sleep(REFUSAL_CHECK_SECONDS)
            refused += self._refuse_accepted()  # whose handshake had begun
            refused = [sock for sock in refused if not _has_ended(sock)]

    def _refuse_accepted(self) -> list[socket.socket]:
        refused = []
        for listener in self._listening:
            while (sock := _accept(listener)) is not None:
                with contextlib.suppress(OSError):  # the caller may have closed it
                    sock.setblocking(False)
                    sock.send(REFUSAL)
                    sock.shutdown(socket.SHUT_WR)
                refused.append(sock)
        return refused

    def close(self) -> None:
        """Close the sockets that no server took."""
        for listener in self._sockets.values():
            listener.close()
        self._sockets.clear()


def _accept(listener: socket.socket) -> socket.socket | None:
    """Accept a connection; return None if there is none."""
    try:
        return listener.accept()[0]
    except OSError:
        return None


def _has_ended(sock: socket.socket) -> bool:
    """Discard what has arrived; return whether the peer has closed the connection."""
    try:
        while sock.recv(65536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def open_configured(settings_path: str, role: str, log: event_log.EventLog) -> Listeners:
    """Listen on the addresses of a settings file that a role serves.

    Nothing is opened for a file that can't be read or a value that isn't an address;
    `node_settings.load` reports these.
    """
    listeners = Listeners(log, time.monotonic())
    try:
        with open(settings_path, encoding="utf-8") as file:
            settings = json.load(file)
    except (OSError, ValueError, RecursionError):
        return listeners
    listeners.open_early(list_addresses(settings, role))
    return listeners


def list_addresses(settings: Any, role: str) -> list[Address]:
    """Return the addresses that a role binds, the most urgent first."""
    if not isinstance(settings, dict):
        return []
    listen = settings.get("listen")
    addresses: list[Address] = []
    if isinstance(listen, dict):
        served = [listen.get(key) for key in SERVED_KEYS_BY_ROLE.get(role, ())]
        addresses += [
            (socket.SOCK_STREAM, address)
            for address in served
            if isinstance(address, str) and address
        ]
    ports = settings.get("inner_ports")
    if isinstance(ports, list | tuple) and ports and isinstance(ports[0], int):
        kind, offset = INTERNAL_PORTS[role]
        ip_address = settings.get("address", "127.0.0.1")
        addresses.append((kind, f"{ip_address}:{ports[0] + offset}"))
    return addresses
