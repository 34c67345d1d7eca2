"""TCP relays that can drop all bytes while their connections stay open."""

from __future__ import annotations

import contextlib
import json
import pathlib
import selectors
import socket
import threading

from flamingoramp.runtime import transport

READ_SIZE_BYTES = 65536


class Relay:
    """A TCP relay whose connections can be blackholed: they stay open, but bytes are dropped.

    Parameters
    ----------
    target : str
        ``ip:port`` to connect to.
    """

    def __init__(self, target: str):
        self._target = transport.parse_address(target)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._blackholed_sockets: set[socket.socket] = set()
        self._sockets: list[socket.socket] = [self._listener]
        self._all_blackholed = False
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Port on which the relay listens."""
        return self._listener.getsockname()[1]

    @property
    def address(self) -> str:
        """Address on which the relay listens, as ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    def blackhole_open_connections(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._blackholed_sockets = set(self._sockets)

    def blackhole_all(self, is_blackholed: bool = True) -> None:
        """Drop all bytes of all connections, or forward those of new connections again."""
        self._all_blackholed = is_blackholed
        self.blackhole_open_connections()

    def close_connections(self) -> None:
        """Close the connections that are open now, towards both sides."""
        for sock in self._sockets[1:]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def start(self) -> None:
        """Run the relay in a thread until it is closed."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def run_once(self, timeout_seconds: float = 0.0) -> None:
        """Accept connections and forward received bytes, waiting at most `timeout_seconds`."""
        for key, _ in self._selector.select(timeout_seconds):
            if key.fileobj is self._listener:
                self._accept()
            else:
                self._forward(key.fileobj, key.data)

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        for sock in self._sockets:
            sock.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self.run_once(0.1)

    def _accept(self) -> None:
        client_socket, _ = self._listener.accept()
        try:
            target_socket = socket.create_connection(self._target)
        except OSError:
            client_socket.close()
            return
        self._sockets += [client_socket, target_socket]
        self._selector.register(client_socket, selectors.EVENT_READ, target_socket)
        self._selector.register(target_socket, selectors.EVENT_READ, client_socket)

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        try:
            data = source.recv(READ_SIZE_BYTES)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(source)
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)
        elif not self._all_blackholed and source not in self._blackholed_sockets:
            with contextlib.suppress(OSError):
                target.sendall(data)


def start_control_relays(settings_path: pathlib.Path) -> tuple[list[Relay], pathlib.Path]:
    """Start a relay in front of each control replica.

    Returns
    -------
    list of Relay
        The relays, which run until they are closed.
    pathlib.Path
        File of settings with which a process reaches control through the relays.
    """
    document = json.loads(settings_path.read_text())
    started_relays = []
    for host in document["hosts"]:
        if host.get("control_inner_port"):
            relay = Relay(f"127.0.0.1:{host['control_inner_port']}")
            relay.start()
            started_relays.append(relay)
            host["control_inner_port"] = relay.port
    path = settings_path.with_name("cut.json")
    path.write_text(json.dumps(document))
    return started_relays, path
