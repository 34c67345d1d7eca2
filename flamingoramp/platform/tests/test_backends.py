"""Tests of announcements, requests to backend servers and the heads of their answers."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, strategies

from flamingoramp import dialect, errors
from flamingoramp.http import client, messages
from flamingoramp.platform import backends, platform_dialect
from flamingoramp.protocol import messages as inner

BODY = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 500,
    "seq": 4,
    "born": 1770821703363,
}


def announce(**changes) -> inner.ServerRecord:
    """Decode an announcement with some fields changed; None leaves a field out."""
    body = {key: value for key, value in {**BODY, **changes}.items() if value is not None}
    return backends.decode_announcement("i-1", json.dumps(body).encode())


class TestAnnouncements(unittest.TestCase):
    """What a server says of itself."""

    def test_whole(self):
        expected = inner.ServerRecord(
            server="i-1",
            service="huvo11a",
            address="10.128.0.9:8080",
            zone="hall-a",
            software="v1",
            slots=8,
            cold_seconds=0.5,
            sequence=4,
            born=1770821703363,
        )
        self.assertEqual(announce(), expected)

    def test_leaving(self):
        self.assertTrue(announce(state="draining").leaving)

    def test_without_a_birth(self):
        self.assertEqual(announce(born=None).born, 0)

    def test_garbled_ones_name_no_server(self):
        garbled = [
            {"state": "melting"},
            {"state": None},
            {"service": 7},
            {"addr": None},
            {"addr": "nowhere"},
            {"addr": "10.0.0.300:80"},
            {"addr": "10.0.0.3:0"},
            {"seq": "4"},
            {"seq": -1},
            {"seq": True},
            {"slots": 2.5},
            {"zone": ["a"]},
            {"born": "x"},
        ]
        for changes in garbled:
            with self.subTest(changes), self.assertRaises(errors.BadRequestError):
                announce(**changes)

    @given(strategies.binary(max_size=60))
    def test_any_bytes_get_a_typed_refusal(self, body):
        with self.assertRaises(errors.BadRequestError):
            backends.decode_announcement("i-1", body)


class TestForwards(unittest.TestCase):
    """What the system sets on the way to a server, whatever the caller sent."""

    def forward(self, **changes) -> messages.Request:
        request = messages.Request(
            b"POST",
            b"/lohu930/2f?x=1",
            (
                (b"host", b"ficu95.example"),
                (b"authorization", b"Token secret"),
                (b"x-attempt-id", b"9c41"),
                (b"x-tenant", b"forged"),
                (b"x-expect-instance", b"forged"),
                (b"x-helpers", b"10.9.9.9:1"),
                (b"x-deadline-ms", b"10000"),
                (b"x-token-count", b"1460,80"),
                (b"connection", b"keep-alive, x-private"),
                (b"x-private", b"1"),
                (b"transfer-encoding", b"chunked"),
            ),
            b"body",
        )
        caller = platform_dialect.PlatformDialect().decode_request(request)
        given_fields = {"workspace": "w", "remaining_seconds": 1.5, "priority": 2}
        return backends.encode_forwarded_request(
            dialect.ForwardedRequest(
                request=request,
                caller=caller,
                server=inner.ServerRecord(server="i-1"),
                **{**given_fields, **changes},
            )
        )

    def test_headers(self):
        sent = dict(self.forward().headers)
        self.assertEqual(sent[b"x-tenant"], b"w")
        self.assertEqual(sent[b"x-expect-instance"], b"i-1")
        self.assertEqual(sent[b"x-deadline-ms"], b"1500")
        self.assertEqual(sent[b"x-attempt-id"], b"9c41")
        self.assertEqual(sent[b"x-token-count"], b"1460,80")
        for name in (b"authorization", b"connection", b"x-private", b"transfer-encoding"):
            self.assertNotIn(name, sent)
        self.assertNotIn(b"x-helpers", sent)

    def test_nothing_is_set_twice(self):
        names = [name for name, _ in self.forward().headers]
        self.assertEqual(len(names), len(set(names)))

    def test_target_and_body_are_the_callers(self):
        sent = self.forward()
        self.assertEqual((sent.target, sent.body), (b"/lohu930/2f?x=1", b"body"))

    def test_helpers_and_resume(self):
        helpers = (
            dialect.HelperEngine("10.2.64.3:8080", "t81"),
            dialect.HelperEngine("10.2.64.5:8080"),
        )
        sent = dict(self.forward(helpers=helpers, last_event_id="12").headers)
        self.assertEqual(sent[b"x-helpers"], b"10.2.64.3:8080/t81,10.2.64.5:8080")
        self.assertEqual(sent[b"last-event-id"], b"12")

    def test_no_workspace_of_the_callers_own(self):
        self.assertNotIn(b"x-tenant", dict(self.forward(workspace="").headers))


class TestAnswers(unittest.TestCase):
    """What the head of an answer says."""

    def read(self, status: int, **headers: bytes) -> dialect.AnswerKind:
        named = tuple((key.replace("_", "-").encode(), value) for key, value in headers.items())
        return backends.decode_answer_head(client.Head(status, named), "id1").kind

    def test_a_signed_answer(self):
        verdict = self.read(200, x_attempt_id=b"id1", x_response_stamp=b"s")
        self.assertIs(verdict, dialect.AnswerKind.ANSWER)

    def test_a_stream(self):
        verdict = self.read(
            200, x_attempt_id=b"id1", x_response_stamp=b"s", content_type=b"text/event-stream"
        )
        self.assertIs(verdict, dialect.AnswerKind.STREAM)

    def test_an_answer_to_another_request(self):
        verdict = self.read(200, x_attempt_id=b"id2", x_response_stamp=b"s")
        self.assertIs(verdict, dialect.AnswerKind.FOREIGN)
        verdict = self.read(503, x_attempt_id=b"id2", x_not_executed=b"1")
        self.assertIs(verdict, dialect.AnswerKind.FOREIGN)

    def test_an_unsigned_answer(self):
        self.assertIs(self.read(200, x_attempt_id=b"id1"), dialect.AnswerKind.FOREIGN)
        self.assertIs(self.read(200, x_response_stamp=b"s"), dialect.AnswerKind.FOREIGN)

    def test_a_body_that_is_encoded(self):
        verdict = self.read(
            200, x_attempt_id=b"id1", x_response_stamp=b"s", content_encoding=b"gzip"
        )
        self.assertIs(verdict, dialect.AnswerKind.FOREIGN)

    def test_not_run(self):
        verdict = self.read(503, x_attempt_id=b"id1", x_not_executed=b"1")
        self.assertIs(verdict, dialect.AnswerKind.NOT_RUN)
        self.assertIs(self.read(421, x_attempt_id=b"id1"), dialect.AnswerKind.NOT_RUN)

    def test_a_failure_that_ran(self):
        verdict = self.read(500, x_attempt_id=b"id1", x_response_stamp=b"s")
        self.assertIs(verdict, dialect.AnswerKind.ANSWER)
