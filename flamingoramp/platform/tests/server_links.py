"""Links from one entry to the backend servers, which a test can cut."""

from __future__ import annotations

import enum
import socket
from typing import Any

from flamingoramp.http import client
from flamingoramp.tests import relays

# Connections that fill the queue of a listener, so that the next ones hang.
QUEUE_FILLER_COUNT = 4


class Cut(enum.Enum):
    """How a cut link behaves.

    Attributes
    ----------
    HANG
        Open connections are silent, and new ones aren't established.
    RESET
        Open connections are closed, and new ones aren't established.
    REFUSE
        Open connections live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class ServerLinks:
    """Leads the connections of a pool to servers through relays.

    Parameters
    ----------
    pool : client.Pool
        Pool of a running entry; its calls are replaced.
    """

    def __init__(self, pool: client.Pool):
        self._relays: dict[str, relays.Relay] = {}
        self._cut: Cut | None = None
        # Addresses of the servers whose links are cut; all if it is empty.
        self._cut_addresses: frozenset[str] = frozenset()
        self._silent_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._fillers = [self._connect_filler() for _ in range(QUEUE_FILLER_COUNT)]
        with socket.create_server(("127.0.0.1", 0)) as closed_listener:
            self._refusing_address = _format_address(closed_listener)
        self._send, self._check = pool.send, pool.check_listening
        pool.send = self._send_through
        pool.check_listening = self._check_through

    def cut(self, how: Cut, *, addresses: frozenset[str] = frozenset()) -> None:
        """Cut the links to some servers; without any, to all."""
        self._cut = how
        self._cut_addresses = addresses
        for server, relay in self._relays.items():
            if not self._is_cut(server):
                continue
            match how:
                case Cut.HANG:
                    relay.blackhole_open_connections()
                case Cut.RESET:
                    relay.close_connections()

    def mend(self) -> None:
        """Let new connections through."""
        self._cut = None

    def close(self) -> None:
        """Close all sockets."""
        for relay in self._relays.values():
            relay.close()
        for sock in (self._silent_listener, *self._fillers):
            sock.close()

    def _connect_filler(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(self._silent_listener.getsockname())
        return sock

    def _is_cut(self, server: str) -> bool:
        return self._cut is not None and (not self._cut_addresses or server in self._cut_addresses)

    def _address(self, server: str) -> str:
        match self._cut if self._is_cut(server) else None:
            case Cut.HANG | Cut.RESET:
                return _format_address(self._silent_listener)
            case Cut.REFUSE:
                return self._refusing_address
        if server not in self._relays:
            self._relays[server] = relays.Relay(server)
            self._relays[server].start()
        return self._relays[server].address

    def _send_through(self, address: str, *arguments: Any, **options: Any) -> client.RequestHandle:
        if self._cut is Cut.REFUSE and self._is_cut(address) and not options.get("new_connection"):
            idle = self._relays.get(address)
            # A pool takes an idle connection first, and those live on.
            if idle is not None and self._has_idle(idle.address):
                return self._send(idle.address, *arguments, **options)
        return self._send(self._address(address), *arguments, **options)

    def _has_idle(self, address: str) -> bool:
        pool = self._send.__self__
        return any(connection.is_open for connection in pool._idle_connections.get(address, ()))

    def _check_through(self, address: str, on_result: Any) -> None:
        self._check(self._address(address), on_result)


def _format_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
