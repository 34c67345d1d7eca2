"""Check whether a server accepts connections."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable

from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import transport


class ListenCheck:
    """A connection that is closed as soon as it is established or refused."""

    def __init__(
        self,
        loop: loops.Loop,
        address: str,
        timeout_seconds: float,
        on_result: Callable[[bool | None], None],
        sock: socket.socket,
    ):
        self._loop = loop
        self._on_result = on_result
        self._sock: socket.socket | None = sock
        self._sock.setblocking(False)
        code = self._sock.connect_ex(transport.parse_address(address))
        self._is_registered = code in (0, errno.EINPROGRESS)
        if self._is_registered:
            loop.register(self._sock, selectors.EVENT_WRITE, self._handle_writable)
            loop.call_later(timeout_seconds, lambda: self._finish(errno.ETIMEDOUT))
        else:
            loop.call_later(0.0, lambda: self._finish(code))

    def _handle_writable(self, _events: int) -> None:
        self._finish(self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _finish(self, code: int) -> None:
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        if self._is_registered:
            self._loop.unregister(sock)
        sock.close()
        self._on_result({0: True, errno.ECONNREFUSED: False}.get(code))
