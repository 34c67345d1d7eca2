"""Listening sockets of a process that are opened before its other modules are imported.

Imports take most of the processor time of a start. A caller whose connection is refused meanwhile
gives up; one whose connection the kernel accepts is served as soon as the process can.

This module imports the standard library only.
"""

from __future__ import annotations

import json
import socket
import time
from typing import Any

from flamingoramp.runtime import event_log

BACKLOG_COUNT = 1024
# Keys of `node_settings.ListenSettings` that each role serves.
SERVED_KEYS_BY_ROLE = {
    "entry": ("callers", "readiness", "directory", "metrics"),
    "control": ("operators", "directory", "metrics"),
}
# Offset of a role's port in the range for traffic between processes.
INTERNAL_PORT_OFFSETS = {"control": 0, "entry": 1}


def open_listener(address: str) -> socket.socket:
    """Listen on an ``ip:port``; port 0 selects a free port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    ip_address, _, port = address.rpartition(":")
    listener = socket.create_server((ip_address, int(port)), backlog=BACKLOG_COUNT)
    listener.setblocking(False)
    return listener


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
        self._sockets: dict[str, socket.socket] = {}
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
        """Monotonic time at which the last socket was opened, in seconds."""
        return self._opened_at

    @property
    def processor_seconds(self) -> float:
        """Processor time of the process at `opened_at`, in seconds."""
        return self._processor_seconds

    def open_early(self, addresses: list[str]) -> None:
        """Open the addresses that can be bound; `take` reports the errors of the others."""
        for address in addresses:
            if address in self._sockets:
                continue
            try:
                self._sockets[address] = open_listener(address)
            except (OSError, ValueError, OverflowError):
                continue
        self._record_opening()

    def take(self, address: str) -> socket.socket:
        """Hand over the socket that listens on an address, or open one.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        listener = self._sockets.pop(address, None)
        if listener is None:
            listener = open_listener(address)
            self._record_opening()
        return listener

    def close(self) -> None:
        """Close the sockets that no server took."""
        for listener in self._sockets.values():
            listener.close()
        self._sockets.clear()

    def _record_opening(self) -> None:
        self._opened_at = time.monotonic()
        self._processor_seconds = time.process_time()


def open_configured(settings_path: str, role: str, log: event_log.EventLog) -> Listeners:
    """Listen on the addresses of a settings file that a role serves.

    Nothing is opened for a file that can't be read or a value that isn't an address;
    `node_settings.load` reports these.
    """
    listeners = Listeners(log, time.monotonic())
    try:
        with open(settings_path, encoding="utf-8") as file:
            settings = json.load(file)
    except (OSError, ValueError):
        return listeners
    listeners.open_early(list_addresses(settings, role))
    return listeners


def list_addresses(settings: Any, role: str) -> list[str]:
    """Return the addresses that a role serves, the most urgent first."""
    if not isinstance(settings, dict):
        return []
    listen = settings.get("listen")
    addresses: list[Any] = []
    if isinstance(listen, dict):
        addresses += [listen.get(key) for key in SERVED_KEYS_BY_ROLE.get(role, ())]
    ports = settings.get("inner_ports")
    if isinstance(ports, list) and ports and isinstance(ports[0], int):
        ip_address = settings.get("address", "127.0.0.1")
        addresses.append(f"{ip_address}:{ports[0] + INTERNAL_PORT_OFFSETS.get(role, 1)}")
    return [address for address in addresses if isinstance(address, str) and address]
