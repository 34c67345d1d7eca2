"""A relay that can stop passing bytes while its connections stay open."""

from __future__ import annotations

import contextlib
import json
import pathlib
import selectors
import socket
import threading

from flamingoramp.runtime import transport

READ_BYTES = 65536


class Relay:
    """Passes bytes between two ends, until it is silenced.

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
        self._silent: set[socket.socket] = set()
        self._sockets: list[socket.socket] = [self._listener]
        self._all_silent = False
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Port to connect to."""
        return self._listener.getsockname()[1]

    @property
    def address(self) -> str:
        """Address to connect to."""
        return f"127.0.0.1:{self.port}"

    def blackhole_open_connections(self) -> None:
        """Pass nothing more over the connections that are open now."""
        self._silent = set(self._sockets)

    def blackhole_all(self, silent: bool = True) -> None:
        """Pass nothing over any connection, or pass over new ones again."""
        self._all_silent = silent
        self.blackhole_open_connections()

    def start(self) -> None:
        """Pass bytes in a thread until closed."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def run_once(self, timeout: float = 0.0) -> None:
        """Pass what has arrived."""
        for key, _ in self._selector.select(timeout):
            if key.fileobj is self._listener:
                self._accept()
            else:
                self._pass(key.fileobj, key.data)

    def close(self) -> None:
        """Close everything."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        for one in self._sockets:
            one.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self.run_once(0.1)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        self._sockets += [near, far]
        self._selector.register(near, selectors.EVENT_READ, far)
        self._selector.register(far, selectors.EVENT_READ, near)

    def _pass(self, source: socket.socket, target: socket.socket) -> None:
        try:
            data = source.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(source)
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)
        elif not self._all_silent and source not in self._silent:
            with contextlib.suppress(OSError):
                target.sendall(data)


def start_control_relays(settings_path: pathlib.Path) -> tuple[list[Relay], pathlib.Path]:
    """Start a relay before each control replica.

    Returns
    -------
    list of Relay
        They run until closed.
    pathlib.Path
        Settings by which a process reaches control through them.
    """
    document = json.loads(settings_path.read_text())
    started = []
    for host in document["hosts"]:
        if host.get("control_inner_port"):
            relay = Relay(f"127.0.0.1:{host['control_inner_port']}")
            relay.start()
            started.append(relay)
            host["control_inner_port"] = relay.port
    path = settings_path.with_name("cut.json")
    path.write_text(json.dumps(document))
    return started, path
