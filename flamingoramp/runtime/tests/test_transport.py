"""Tests of failed and unresponsive connections, and of the event timeline."""

from __future__ import annotations

import json
import socket
import unittest

from flamingoramp import errors
from flamingoramp.backends import transfers
from flamingoramp.protocol import codec, shard_messages
from flamingoramp.runtime import clock, loop, timeline, transport
from flamingoramp.tests import relays


class LoopTestCase(unittest.TestCase):
    """Base of tests that run an event loop."""

    def setUp(self):
        self.loop = loop.Loop()
        self.addCleanup(self.loop.close)
        self.relays: list[relays.Relay] = []

    def run_until(self, condition, timeout_seconds: float = 20.0) -> None:
        """Run the event loop and the relays until a condition holds."""
        deadline = self.loop.now() + timeout_seconds
        while not condition():
            self.assertLess(self.loop.now(), deadline, "condition not met before the timeout")
            self.loop.run_once(0.01)
            for relay in self.relays:
                relay.run_once()

    def make_transport(self, name: str, received: list) -> transport.Transport:
        new_transport = transport.Transport(
            self.loop,
            name=name,
            listen="127.0.0.1:0",
            clock=clock.HybridClock(),
            deliver=lambda sender, message, _connection: received.append((sender, message)),
            on_protocol_error=received.append,
        )
        self.addCleanup(new_transport.close)
        return new_transport

    def make_relay(self, target: str) -> relays.Relay:
        relay = relays.Relay(target)
        self.addCleanup(relay.close)
        self.relays.append(relay)
        return relay


class TestTransport(LoopTestCase):
    """Delivery of messages between two transports, and reconnects."""

    def test_messages_arrive_in_order(self):
        received: list = []
        sender, receiver = (
            self.make_transport("sender", []),
            self.make_transport("receiver", received),
        )
        for number in range(200):
            sender.send(receiver.address, shard_messages.Settled(f"{number}"))
        self.run_until(lambda: len(received) == 200)
        self.assertEqual([message.id for _, message in received], [f"{n}" for n in range(200)])

    # A host without power answers no connect, and the kernel repeats one only after a second.
    # Guards against other peers, and callers, that wait until all frames of one peer are decoded.
    def test_many_frames_of_one_peer_hold_up_no_other(self):
        received: list = []
        receiver = self.make_transport("receiver", received)
        host, port = transport.parse_address(receiver.address)
        frames = b"".join(
            codec.encode("flood", shard_messages.Release(request_id=str(number)))
            for number in range(4000)
        )
        with socket.create_connection((host, port)) as sock:
            sock.sendall(frames)
            self.run_until(lambda: received)
            other = self.make_transport("other", [])
            other.send(receiver.address, shard_messages.Release(request_id="other"))
            self.run_until(lambda: "other" in {sender for sender, _ in received})
            self.assertLess(len(received), 3500)
            self.run_until(lambda: len(received) == 4001)
        ids = [message.request_id for sender, message in received if sender == "flood"]
        self.assertEqual(ids, [str(number) for number in range(4000)])

    def test_host_that_starts_is_reached_within_half_a_second(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            waiting = socket.create_connection(address)
            self.addCleanup(waiting.close)
            sender = self.make_transport("sender", [])
            name = f"127.0.0.1:{address[1]}"
            sender.send(name, shard_messages.Settled("lost"))
            begun_at = self.loop.now()
            self.run_until(lambda: self.loop.now() > begun_at + 0.15)
            listener.listen(8)
            listener.accept()[0].close()
            listener.setblocking(False)
            started_at = self.loop.now()

            def is_reached() -> bool:
                sender.send(name, shard_messages.Settled("second"))
                try:
                    self.addCleanup(listener.accept()[0].close)
                except BlockingIOError:
                    return False
                return True

            self.run_until(is_reached)
            self.assertLess(self.loop.now() - started_at, 0.5)

    def test_unresponsive_connection_is_closed_and_reopened(self):
        received: list = []
        sender, receiver = (
            self.make_transport("sender", []),
            self.make_transport("receiver", received),
        )
        relay = self.make_relay(receiver.address)
        sender.send(relay.address, shard_messages.Settled("first"))
        self.run_until(lambda: len(received) == 1)
        relay.blackhole_open_connections()
        sender.send(relay.address, shard_messages.Settled("lost"))
        self.run_until(lambda: sender.traffic.reconnects == 1)

        def second_message_received() -> bool:
            sender.send(relay.address, shard_messages.Settled("second"))
            return any(message.id == "second" for _, message in received)

        self.run_until(second_message_received)

    def test_connection_of_a_build_with_another_format_is_closed_with_an_error(self):
        received: list = []
        receiver = self.make_transport("receiver", received)
        with socket.create_connection(transport.parse_address(receiver.address)) as sock:
            # A ping as builds that used Cap'n Proto sent it.
            ping = bytes.fromhex("1007500202011801091105421104017f656e7472792d610103")
            sock.sendall(codec.LENGTH_PREFIX.pack(len(ping)) + ping)
            self.run_until(lambda: received)
            self.assertEqual(sock.recv(1), b"")
        self.assertIsInstance(received[0], errors.ProtocolError)
        self.assertIn("another build", str(received[0]))

    def test_only_a_connection_without_other_messages_is_pinged(self):
        busy, idle, receiver = (
            self.make_transport(name, []) for name in ("busy", "idle", "receiver")
        )
        receiver.deliver = lambda _sender, message, connection: connection.send(message)
        idle.send(receiver.address, shard_messages.Settled("once"))

        def _send_until(end: float) -> None:
            if busy.loop.now() < end:
                busy.send(receiver.address, shard_messages.Settled("often"))
                busy.loop.call_later(0.3, lambda: _send_until(end))

        _send_until(busy.loop.now() + 3 * transport.PING_INTERVAL_SECONDS)
        self.run_until(lambda: idle.traffic.sent_bytes_by_type["Ping"] > 0)
        self.run_until(lambda: busy.traffic.sent_bytes_by_type["Settled"] > 0)
        self.assertEqual(busy.traffic.sent_bytes_by_type["Ping"], 0)

    def test_undecodable_data_closes_only_its_connection(self):
        received: list = []
        sender, receiver = (
            self.make_transport("sender", []),
            self.make_transport("receiver", received),
        )
        with socket.create_connection(transport.parse_address(receiver.address)) as sock:
            sock.sendall(b"\0\0\0\x08garbage!")
            self.run_until(lambda: len(received) == 1)
        sender.send(receiver.address, shard_messages.Settled("x"))
        self.run_until(lambda: len(received) == 2)

    def test_refused_connection_counts_as_reconnect(self):
        sender = self.make_transport("sender", [])
        sender.send("127.0.0.1:1", shard_messages.Settled("x"))
        self.run_until(lambda: sender.traffic.reconnects == 1)


class TestTransfers(LoopTestCase):
    """A failed HTTP transfer reports how it ended."""

    def setUp(self):
        super().setUp()
        self.transfers = transfers.TransferClient(self.loop)
        self.addCleanup(self.transfers.close)
        self.endings: list = []

    def start(self, url: str, idle_timeout_seconds: float = 0.5) -> None:
        self.transfers.start(
            transfers.HttpRequest(url=url, body=b"x", idle_timeout_seconds=idle_timeout_seconds),
            on_data=lambda _data: None,
            on_end=lambda ending, _status: self.endings.append(ending),
        )

    def wait_for_ending(self) -> transfers.TransferOutcome:
        self.run_until(lambda: bool(self.endings))
        return self.endings[0]

    def test_refused_connection_ends_as_not_sent(self):
        self.start("http://127.0.0.1:1/")
        self.assertIs(self.wait_for_ending(), transfers.TransferOutcome.NOT_SENT)

    def test_server_that_sends_nothing_ends_as_idle_timeout(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.start(f"http://127.0.0.1:{server.getsockname()[1]}/")
            self.assertIs(self.wait_for_ending(), transfers.TransferOutcome.IDLE_TIMEOUT)

    def test_closed_connection_ends_as_broken_without_retry(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            accepted = []

            def accept() -> bool:
                try:
                    accepted.append(server.accept()[0])
                except BlockingIOError:
                    pass
                else:
                    accepted[-1].close()
                return bool(self.endings)

            self.start(f"http://127.0.0.1:{server.getsockname()[1]}/")
            self.run_until(accept)
            self.assertIs(self.endings[0], transfers.TransferOutcome.BROKEN)
            self.assertEqual(len(accepted), 1)


class TestTimeline(unittest.TestCase):
    """Merging, filtering and export of events."""

    def test_merge_orders_receive_after_send(self):
        sender, receiver = clock.HybridClock(), clock.HybridClock()
        sender._last_timestamp = 2**62  # far ahead of the receiver's clock
        sent, received = timeline.Timeline("a", sender), timeline.Timeline("b", receiver)
        sent.record("sent", "r")
        receiver.observe(sender.tick())
        received.record("received", "r", size=3)
        merged = timeline.merge([received.select(), sent.select()])
        self.assertEqual([event.kind for event in merged], ["sent", "received"])
        self.assertEqual(timeline.from_json_lines(timeline.to_json_lines(merged)), merged)
        trace_events = json.loads(timeline.to_chrome_trace(merged))["traceEvents"]
        self.assertEqual([entry["ph"] for entry in trace_events], ["M", "M", "i", "i"])

    def test_full_buffer_evicts_old_events_and_select_filters(self):
        events = timeline.Timeline("one", clock.HybridClock())
        for number in range(timeline.MAX_EVENTS + 5):
            events.record("event", f"r{number % 2}", revision=number)
        self.assertEqual(len(events.select()), timeline.MAX_EVENTS)
        self.assertEqual({event.request for event in events.select(request="r1")}, {"r1"})
        self.assertEqual(len(events.select(revision=100)), 1)
