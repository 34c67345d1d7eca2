"""Tests of single requests while zones are evacuated and an entry resumes from a suspension."""

from __future__ import annotations

from flamingoramp.dispatch import attempts
from flamingoramp.dispatch.tests import test_forwarding
from flamingoramp.http import client
from flamingoramp.http import messages as http_messages
from flamingoramp.protocol import messages as protocol_messages

GRANTED = client.Head(200, ())


class HelperContext(test_forwarding.FakeContext):
    """Forwarding context in which each target holds memory at one helper, ``h1`` and so on."""

    def choose_target(self, admitted, excluded) -> attempts.AttemptTarget:
        target = super().choose_target(admitted, excluded)
        name = f"h{target.server.server[1:]}"
        helper = protocol_messages.ServerRecord(server=name, address=f"{name}:1")
        return attempts.AttemptTarget(target.server, helpers=(helper,), held_tokens=(100,))


class HelperDialect(test_forwarding.FakeDialect):
    """Encodes memory commands as paths."""

    def encode_reserve(self, _server, _ticket, _tokens, _seconds) -> http_messages.Request:
        return http_messages.Request(b"POST", b"/reserve")

    def encode_release(self, _server, _ticket) -> http_messages.Request:
        return http_messages.Request(b"POST", b"/release")


class TestResume(test_forwarding.ForwardingCase):
    """Retries and resumed streams wait while the known evacuations may be out of date."""

    def test_first_attempt_waits(self):
        self.context.awaits_zone_update = True
        self.start_request(test_forwarding.PLAIN)
        self.context.loop.advance(0.5)
        self.assertEqual(self.calls, [])
        self.context.awaits_zone_update = False
        self.context.loop.advance(0.05)
        self.assertEqual([call.address for call in self.calls], ["s1:1"])

    # Guards against a stream that is resumed in a zone evacuated while the entry was suspended.
    def test_resumed_stream_waits_and_goes_to_a_server_of_another_zone(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.context.awaits_zone_update = True
        self.fail_call()
        self.context.loop.advance(0.1)
        self.assertEqual(len(self.calls), 1)
        self.context.servers.remove("s2")
        self.context.awaits_zone_update = False
        self.context.loop.advance(0.05)
        self.assertEqual([call.address for call in self.calls], ["s1:1", "s3:1"])
        self.assertEqual(self.calls[1].request.header(b"resume"), b"1")

    def test_time_limit_ends_a_request_that_waits(self):
        self.context.awaits_zone_update = True
        self.start_request(test_forwarding.PLAIN, time_limit_seconds=1.0)
        self.context.loop.advance(1.1)
        self.assertEqual(self.exchange.status, 504)
        self.context.awaits_zone_update = False
        self.context.loop.advance(0.1)
        self.assertEqual(self.calls, [])


class TestReservations(test_forwarding.ForwardingCase):
    """Memory that is reserved while a zone is evacuated."""

    def setUp(self):
        super().setUp()
        self.context = HelperContext()
        self.context.dialect = HelperDialect()

    def answer_reservation(self) -> None:
        receiver = self.calls[-1].receiver
        receiver.handle_head(GRANTED)
        receiver.handle_complete()

    def sent(self) -> list[tuple[str, bytes]]:
        return [(call.address, call.request.target) for call in self.calls]

    # Guards against a request that is sent to a zone evacuated while its memory was reserved.
    def test_servers_evacuated_since_they_were_chosen_are_left(self):
        for evacuated in ("s1", "h1"):
            with self.subTest(evacuated=evacuated):
                self.setUp()
                self.start_request(test_forwarding.STREAM)
                self.context.evacuated_servers = {evacuated}
                self.answer_reservation()
                expected = [("h1:1", b"/reserve"), ("h1:1", b"/release")]
                self.assertEqual(self.sent()[:2], expected)
                self.assertNotIn(("s1:1", b"/"), self.sent())

    def test_request_waits_after_its_reservation(self):
        self.start_request(test_forwarding.STREAM)
        self.context.awaits_zone_update = True
        self.answer_reservation()
        self.context.loop.advance(0.1)
        self.assertNotIn(("s1:1", b"/"), self.sent())
        self.context.awaits_zone_update = False
        self.context.loop.advance(0.05)
        self.assertIn(("s1:1", b"/"), self.sent())
