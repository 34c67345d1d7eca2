"""UDP messages between processes of the system, for periodic reports that tolerate loss."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.protocol import codec
from flamingoramp.runtime import listeners, transport
from flamingoramp.runtime import loop as loops

MAX_DATAGRAMS_PER_CALLBACK = 256


class DatagramSocket:
    """UDP socket for messages of the internal protocol; delivery isn't guaranteed.

    Parameters
    ----------
    loop : loops.Loop
    listen : str
        ``ip:port``; port 0 selects a free port.
    deliver : callable
        Called with each received message.
    on_protocol_error : callable
        Called with an `errors.ProtocolError` for each datagram that can't be decoded.
    traffic : transport.Traffic
        Traffic counters, which the process's connections share.
    bound : socket.socket or None
        Datagram socket that is bound to this address already; None to bind one.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        listen: str,
        deliver: Callable[[Any], None],
        on_protocol_error: Callable[[errors.ProtocolError], None],
        traffic: transport.Traffic,
        bound: socket.socket | None = None,
    ):
        self._loop = loop
        self._deliver = deliver
        self._on_protocol_error = on_protocol_error
        self._traffic = traffic
        self._socket = bound or listeners.bind_socket(socket.SOCK_DGRAM, listen)
        self.send_error_count = 0
        loop.register(self._socket, selectors.EVENT_READ, self._receive)

    @property
    def address(self) -> str:
        """``ip:port`` that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def send(self, addresses: list[str], message: Any) -> None:
        """Send a message to each address; a failed send is counted and not repeated."""
        data = codec.encode_datagram(message)
        for address in addresses:
            try:
                self._socket.sendto(data, transport.parse_address(address))
            except OSError:
                self.send_error_count += 1  # the next periodic report supersedes it
                continue
            self._traffic.count_sent(message, len(data))

    def close(self) -> None:
        """Unregister the socket from the event loop and close it."""
        self._loop.unregister(self._socket)
        self._socket.close()

    def _receive(self, _events: int) -> None:
        # The bound lets the event loop serve other sockets during a flood.
        for _ in range(MAX_DATAGRAMS_PER_CALLBACK):
            try:
                data, _ = self._socket.recvfrom(65536)
            except OSError:
                return  # no more datagrams to read
            self._traffic.received_bytes += len(data)
            self._traffic.received_frames += 1
            try:
                envelope = codec.decode_datagram(data)
            except errors.ProtocolError as error:
                self._on_protocol_error(error)
                continue
            self._deliver(envelope.message)
