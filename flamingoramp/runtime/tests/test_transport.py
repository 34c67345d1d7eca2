"""Tests of connections that break or go silent, and of the time line."""

from __future__ import annotations

import json
import socket
import unittest

from flamingoramp.backends import transfers
from flamingoramp.protocol import messages
from flamingoramp.runtime import clock, loop, timeline, transport
from flamingoramp.tests import relays


class LoopCase(unittest.TestCase):
    """Gives each test a loop."""

    def setUp(self):
        self.loop = loop.Loop()
        self.addCleanup(self.loop.close)
        self.relays: list[relays.Relay] = []

    def run_until(self, condition, seconds: float = 20.0) -> None:
        """Turn the loop and the relays until a condition holds."""
        end = self.loop.now() + seconds
        while not condition():
            self.assertLess(self.loop.now(), end, "waited too long")
            self.loop.turn(0.01)
            for relay in self.relays:
                relay.turn()

    def make_transport(self, name: str, received: list) -> transport.Transport:
        made = transport.Transport(
            self.loop,
            name=name,
            listen="127.0.0.1:0",
            clock=clock.HybridClock(),
            deliver=lambda sender, message, _connection: received.append((sender, message)),
            on_protocol_error=received.append,
        )
        self.addCleanup(made.close)
        return made

    def make_relay(self, target: str) -> relays.Relay:
        relay = relays.Relay(target)
        self.addCleanup(relay.close)
        self.relays.append(relay)
        return relay


class TestTransport(LoopCase):
    """Messages between processes."""

    def test_messages_arrive_in_order(self):
        received: list = []
        one, other = self.make_transport("one", []), self.make_transport("other", received)
        for number in range(200):
            one.send(other.address, messages.Settled(f"{number}"))
        self.run_until(lambda: len(received) == 200)
        self.assertEqual([message.id for _, message in received], [f"{n}" for n in range(200)])

    def test_connection_that_went_silent_is_replaced(self):
        received: list = []
        one, other = self.make_transport("one", []), self.make_transport("other", received)
        relay = self.make_relay(other.address)
        one.send(relay.address, messages.Settled("first"))
        self.run_until(lambda: len(received) == 1)
        relay.silence()
        one.send(relay.address, messages.Settled("lost"))
        self.run_until(lambda: one.traffic.reconnects == 1)

        def resent() -> bool:
            one.send(relay.address, messages.Settled("second"))
            return any(message.id == "second" for _, message in received)

        self.run_until(resent)

    def test_garbage_closes_the_connection_only(self):
        received: list = []
        one, other = self.make_transport("one", []), self.make_transport("other", received)
        with socket.create_connection(transport.parse_address(other.address)) as sock:
            sock.sendall(b"\0\0\0\x08garbage!")
            self.run_until(lambda: len(received) == 1)
        one.send(other.address, messages.Settled("x"))
        self.run_until(lambda: len(received) == 2)

    def test_nobody_listens(self):
        one = self.make_transport("one", [])
        one.send("127.0.0.1:1", messages.Settled("x"))
        self.run_until(lambda: one.traffic.reconnects == 1)


class TestTransfers(LoopCase):
    """HTTP transfers end in a typed way."""

    def setUp(self):
        super().setUp()
        self.transfers = transfers.TransferClient(self.loop)
        self.addCleanup(self.transfers.close)
        self.endings: list = []

    def start(self, url: str, silence: float = 0.5) -> None:
        self.transfers.start(
            transfers.HttpRequest(url=url, body=b"x", idle_timeout_seconds=silence),
            on_data=lambda _data: None,
            on_end=lambda ending, _status: self.endings.append(ending),
        )

    def finish(self) -> transfers.TransferOutcome:
        self.run_until(lambda: bool(self.endings))
        return self.endings[0]

    def test_refused_connection_was_not_sent(self):
        self.start("http://127.0.0.1:1/")
        self.assertIs(self.finish(), transfers.TransferOutcome.NOT_SENT)

    def test_silent_server(self):
        with socket.create_server(("127.0.0.1", 0)) as mute:
            self.start(f"http://127.0.0.1:{mute.getsockname()[1]}/")
            self.assertIs(self.finish(), transfers.TransferOutcome.IDLE_TIMEOUT)

    def test_connection_that_breaks_is_not_sent_again(self):
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
    """Events of all processes in one order."""

    def test_message_comes_after_its_sending(self):
        sender, receiver = clock.HybridClock(), clock.HybridClock()
        sender._last = 2**62  # far ahead
        one, other = timeline.Timeline("one", sender), timeline.Timeline("other", receiver)
        one.record("sent", "r")
        receiver.observe(sender.tick())
        other.record("received", "r", size=3)
        merged = timeline.merge([other.select(), one.select()])
        self.assertEqual([event.kind for event in merged], ["sent", "received"])
        self.assertEqual(timeline.from_json_lines(timeline.to_json_lines(merged)), merged)
        rows = json.loads(timeline.to_chrome_trace(merged))["traceEvents"]
        self.assertEqual([row["ph"] for row in rows], ["M", "M", "i", "i"])

    def test_ring_is_bounded_and_filtered(self):
        found = timeline.Timeline("one", clock.HybridClock())
        for number in range(timeline.RING_EVENTS + 5):
            found.record("event", f"r{number % 2}", revision=number)
        self.assertEqual(len(found.select()), timeline.RING_EVENTS)
        self.assertEqual({one.request for one in found.select(request="r1")}, {"r1"})
        self.assertEqual(len(found.select(revision=100)), 1)
