"""Message transport over TCP between processes of the system."""

from __future__ import annotations

import collections
import selectors
import socket
from collections.abc import Callable
from typing import Any

import attrs

from flamingoramp import errors
from flamingoramp.protocol import codec, messages
from flamingoramp.runtime import byte_account, listeners, parse_turns, stream
from flamingoramp.runtime import clock as clocks
from flamingoramp.runtime import loop as loops

PING_INTERVAL_SECONDS = 0.8
RECEIVE_TIMEOUT_SECONDS = 2.0
RECONNECT_DELAY_SECONDS = 0.1
# The kernel repeats an unanswered connect only after a second; a host that is starting can answer
# much sooner.
CONNECT_TIMEOUT_SECONDS = 0.2
# Frames that are decoded as soon as bytes arrive; others of a connection wait for its turn.
MAX_FRAMES_AT_ONCE = 64
SEND_BUFFER_LIMIT_BYTES = 32 * 1024 * 1024


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into the IP address and the port number."""
    ip_address, _, port = address.rpartition(":")
    return ip_address, int(port)


@attrs.define
class Traffic:
    """Traffic counters of one process: bytes and frames exchanged with its peers, and failures.

    ``sent_bytes_by_type`` maps the type name of a message to the number of bytes sent;
    ``reconnects`` counts the connections that this process opened and that then failed.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_frames: int = 0
    received_frames: int = 0
    reconnects: int = 0
    sent_bytes_by_type: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def count_sent(self, message: Any, size_bytes: int) -> None:
        """Add a sent message to the counters."""
        self.sent_bytes += size_bytes
        self.sent_frames += 1
        self.sent_bytes_by_type[type(message).__name__] += size_bytes


class Connection:
    """Connection to another process; replies go back over the one that brought the request."""

    def __init__(self, transport: Transport, sock: socket.socket, address: str):
        self._transport = transport
        self._address = address
        self._frame_buffer = codec.FrameBuffer()
        self._last_received_at = self._last_sent_at = transport.loop.now()
        self._stream = stream.Stream(
            transport.loop,
            sock,
            on_data=self._handle_data,
            on_closed=self._handle_closed,
            buffer_limit_bytes=SEND_BUFFER_LIMIT_BYTES,
            on_sent=self._update_charge,
        )
        self._incomplete_since = 0.0
        self._frame_count = 0
        self._waits_for_turn = False

    @property
    def address(self) -> str:
        """Address that this process connected to; empty if it accepted the connection."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection can be written to."""
        return self._stream.is_open

    def send(self, message: Any) -> None:
        """Queue a message for sending; it is lost if the connection fails."""
        transport = self._transport
        self._last_sent_at = transport.loop.now()
        data = codec.encode(transport.name, message, clock=transport.clock.tick())
        transport.traffic.count_sent(message, len(data))
        self._stream.write(data)
        if self._stream.buffered_bytes:
            self._update_charge()

    def close(self) -> None:
        """Close the connection immediately, without removing it from its transport."""
        self._stream.close()
        self._transport.account.remove(self)

    def reclaimable(self) -> byte_account.Reclaimable:
        """Return what this connection could give up; see `byte_account.Holder`."""
        if not self._stream.is_open:
            return byte_account.Reclaimable()
        buffered_bytes = self._stream.buffered_bytes
        received = byte_account.Reclaimable(len(self._frame_buffer), self._incomplete_since)
        unsent = byte_account.Reclaimable(buffered_bytes, self._stream.buffered_since)
        return max(received, unsent, key=lambda reclaimable: reclaimable.bytes)

    def give_up(self) -> None:
        """Close the connection; its messages are lost, and the peers send what matters again."""
        self._frame_buffer = codec.FrameBuffer()
        self.close()
        self._handle_closed()

    def _update_charge(self) -> None:
        account = self._transport.account
        if not self._stream.is_open:
            account.remove(self)
            return
        account.charge(
            self,
            byte_account.CONNECTION_BYTES + len(self._frame_buffer) + self._stream.buffered_bytes,
        )

    def abandon_connect(self) -> None:
        """Close the connection if the peer hasn't accepted it yet; the messages are lost."""
        if self._stream.is_open and not self._stream.sent_bytes:
            self.close()
            self._handle_closed()

    def check_liveness(self, now: float) -> None:
        """Close the connection after a receive timeout; else ping the peer if opened here.

        No ping is sent while other messages show both sides that the connection works.
        """
        # Until its turn, nothing more is read.
        received_before = 0.0 if self._waits_for_turn else now - self._last_received_at
        has_recent_messages = (
            received_before <= RECEIVE_TIMEOUT_SECONDS - PING_INTERVAL_SECONDS
            and now - self._last_sent_at <= PING_INTERVAL_SECONDS
        )
        if received_before > RECEIVE_TIMEOUT_SECONDS:
            self.close()
            self._handle_closed()
        elif self._address and not has_recent_messages:
            self.send(messages.Ping())

    def _handle_data(self, data: bytes) -> None:
        transport = self._transport
        self._last_received_at = transport.loop.now()
        transport.traffic.received_bytes += len(data)
        had_incomplete_frame = len(self._frame_buffer) > 0
        if not had_incomplete_frame:
            self._incomplete_since = self._last_received_at
        self._decode_frames(data, MAX_FRAMES_AT_ONCE)
        if had_incomplete_frame or len(self._frame_buffer):
            self._update_charge()

    def take_turn(self, max_events: int) -> None:
        """Go on with what was received; see `parse_turns.Parser`."""
        self._waits_for_turn = False
        self._decode_frames(b"", max_events)
        if not self._waits_for_turn:
            self._frame_count = 0
            self._stream.resume_reading()
        self._update_charge()

    def _decode_frames(self, data: bytes, max_frames: int) -> None:
        """Add received bytes and handle complete frames; if there may be more, they wait."""
        try:
            frames = self._frame_buffer.feed(data, max_frames)
            for frame in frames:
                self._handle_envelope(codec.decode(frame))
        except errors.ProtocolError as error:
            self._transport.report_protocol_error(error)
            self.close()
            self._handle_closed()
            return
        self._frame_count += len(frames)
        if len(frames) == max_frames:
            self._waits_for_turn = True
            self._stream.pause_reading()
            self._transport.parse_turns.wait(self, self._frame_count)

    def _handle_envelope(self, envelope: codec.Envelope) -> None:
        transport = self._transport
        transport.traffic.received_frames += 1
        transport.clock.observe(envelope.clock)
        match envelope.message:
            case messages.Ping():
                self.send(messages.Pong(envelope.message.sequence))
            case messages.Pong():
                pass  # _handle_data has reset the receive timeout already
            case _:
                transport.deliver(envelope.sender, envelope.message, self)

    def _handle_closed(self) -> None:
        self._transport.account.remove(self)
        self._transport.remove_connection(self)


class Transport:
    """All message connections of one process: the accepted ones and those that it opened.

    Parameters
    ----------
    loop : loops.Loop
    name : str
        Sender name in the messages of this process.
    listen : str
        ``ip:port`` that accepts connections of other processes; port 0 selects a free port. Empty
        if other processes only answer on connections that this one opens.
    listener : socket.socket or None
        Socket that listens on this address already; None to open one.
    account : byte_account.ByteAccount or None
        What the connections charge for the bytes that they hold; None for no limit.
    clock : clocks.HybridClock
    deliver : callable
        Called with the sender's name, the message and the connection that received it.
    on_protocol_error : callable
        Called with an `errors.ProtocolError` when received data can't be decoded.
    """

    def __init__(
        self,
        loop: loops.Loop,
        *,
        name: str,
        listen: str,
        clock: clocks.HybridClock,
        deliver: Callable[[str, Any, Connection], None],
        on_protocol_error: Callable[[errors.ProtocolError], None],
        listener: socket.socket | None = None,
        account: byte_account.ByteAccount | None = None,
    ):
        self.loop = loop
        self.account = account or byte_account.ByteAccount(None, loop.now)
        self.name = name
        self.clock = clock
        self.deliver = deliver
        self.report_protocol_error = on_protocol_error
        self.traffic = Traffic()
        self.parse_turns = parse_turns.ParseTurns(loop)
        self._outgoing: dict[str, Connection] = {}
        self._accepted: set[Connection] = set()
        self._retry_at: dict[str, float] = {}
        self._listener = listener
        if listen and listener is None:
            self._listener = listeners.open_listener(listen)
        if self._listener is not None:
            loop.register(self._listener, selectors.EVENT_READ, self._accept)
        loop.call_every(PING_INTERVAL_SECONDS, self._check_connections)

    @property
    def address(self) -> str:
        """``ip:port`` that the transport listens on; empty if it accepts no connections."""
        if self._listener is None:
            return ""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def send(self, address: str, message: Any) -> bool:
        """Send a message to an address; open a connection if there is none.

        Returns
        -------
        bool
            False if no connection could be opened; True doesn't guarantee delivery.
        """
        connection = self._outgoing.get(address) or self._connect(address)
        if connection is None:
            return False
        connection.send(message)
        return True

    def is_connected(self, address: str) -> bool:
        """Return whether a connection that `send` opened to an address is open or connecting."""
        return address in self._outgoing

    def disconnect(self, address: str) -> None:
        """Close the connection to an address; the next `send` opens a new one."""
        connection = self._outgoing.pop(address, None)
        if connection is not None:
            connection.close()

    def remove_connection(self, connection: Connection) -> None:
        """Remove a closed connection; delay reconnecting if this process had opened it."""
        self._accepted.discard(connection)
        if self._outgoing.get(connection.address) is connection:
            del self._outgoing[connection.address]
            self._retry_at[connection.address] = self.loop.now() + RECONNECT_DELAY_SECONDS
            self.traffic.reconnects += 1

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self.loop.unregister(self._listener)
            self._listener.close()
        for connection in [*self._outgoing.values(), *self._accepted]:
            connection.close()

    def _connect(self, address: str) -> Connection | None:
        if self.loop.now() < self._retry_at.get(address, 0.0):
            return None
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # may lack a descriptor
            sock.setblocking(False)
            sock.connect(parse_address(address))
        except BlockingIOError:
            pass
        except OSError:
            if sock is not None:
                sock.close()
            self._retry_at[address] = self.loop.now() + RECONNECT_DELAY_SECONDS
            return None
        connection = Connection(self, sock, address)
        self._outgoing[address] = connection
        self.loop.call_later(CONNECT_TIMEOUT_SECONDS, connection.abandon_connect)
        return connection

    def _accept(self, _events: int) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._accepted.add(Connection(self, sock, ""))

    def _check_connections(self) -> None:
        now = self.loop.now()
        for connection in [*self._outgoing.values(), *self._accepted]:
            connection.check_liveness(now)
