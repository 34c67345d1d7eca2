"""Datagrams between the system's own processes, for reports that the next one replaces."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.protocol import codec
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import transport as transports

RECEIVES_PER_TURN = 256


class DatagramSocket:
    """Sends and receives messages that may get lost.

    Parameters
    ----------
    loop : loops.Loop
    listen : str
        ``ip:port``; port 0 takes a free one.
    deliver : callable
        Takes a message.
    on_protocol_error : callable
        Takes an `errors.ProtocolError`.
    traffic : transports.Traffic
        Counts the bytes, with those of the process's connections.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        listen: str,
        deliver: Callable[[Any], None],
        on_protocol_error: Callable[[errors.ProtocolError], None],
        traffic: transports.Traffic,
    ):
        self._loop = loop
        self._deliver = deliver
        self._on_protocol_error = on_protocol_error
        self._traffic = traffic
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(transports.parse_address(listen))
        self.lost = 0
        loop.register(self._socket, selectors.EVENT_READ, self._receive)

    @property
    def address(self) -> str:
        """``ip:port`` that others send to."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def send(self, addresses: list[str], message: Any) -> None:
        """Send one message to several addresses."""
        data = codec.encode_datagram(message)
        for address in addresses:
            try:
                self._socket.sendto(data, transports.parse_address(address))
            except OSError:
                self.lost += 1  # the next report replaces it
                continue
            self._traffic.note_sent(message, len(data))

    def close(self) -> None:
        """Close the socket."""
        self._loop.unregister(self._socket)
        self._socket.close()

    def _receive(self, _events: int) -> None:
        for _ in range(RECEIVES_PER_TURN):
            try:
                data, _ = self._socket.recvfrom(65536)
            except OSError:
                return  # nothing waits
            self._traffic.received_bytes += len(data)
            self._traffic.received_frames += 1
            try:
                envelope = codec.decode_datagram(data)
            except errors.ProtocolError as error:
                self._on_protocol_error(error)
                continue
            self._deliver(envelope.message)
