"""Tests of the codec of announcements, requests to backend servers and heads of answers."""

from __future__ import annotations

import ipaddress
import json
import math
import unittest

from hypothesis import HealthCheck, given, settings, strategies

from flamingoramp import dialect, errors
from flamingoramp.http import client, messages
from flamingoramp.platform import backends, platform_dialect
from flamingoramp.protocol import messages as protocol_messages
from flamingoramp.routing import statements

ANNOUNCEMENT = {
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


def decode_with(**changes) -> protocol_messages.ServerRecord:
    """Decode an announcement with some fields changed; None removes a field."""
    body = {key: value for key, value in {**ANNOUNCEMENT, **changes}.items() if value is not None}
    return backends.decode_announcement("i-1", json.dumps(body).encode())


class TestAnnouncements(unittest.TestCase):
    """Decoding of backend servers' announcements."""

    def test_all_fields_are_decoded(self):
        expected = protocol_messages.ServerRecord(
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
        self.assertEqual(decode_with(), expected)

    def test_draining_server_is_decoded_as_leaving(self):
        self.assertTrue(decode_with(state="draining").leaving)

    def test_missing_born_is_decoded_as_zero(self):
        self.assertEqual(decode_with(born=None).born, 0)

    def test_malformed_fields_raise_bad_request(self):
        malformed = [
            {"state": "melting"},
            {"state": None},
            {"service": 7},
            {"addr": None},
            {"addr": "nowhere"},
            {"addr": "10.0.0.300:80"},
            {"addr": "10.0.0.3:0"},
            {"addr": "10.0.0.\u00b2:80"},
            {"addr": "10.0.0.3:8\u00b2"},
            {"addr": "10.0.0.3:+80"},
            {"seq": "4"},
            {"seq": -1},
            {"seq": True},
            {"slots": 2.5},
            {"zone": ["a"]},
            {"born": "x"},
        ]
        for changes in malformed:
            with self.subTest(changes), self.assertRaises(errors.BadRequestError):
                decode_with(**changes)

    @given(strategies.binary(max_size=60))
    def test_arbitrary_bytes_raise_bad_request(self, body):
        with self.assertRaises(errors.BadRequestError):
            backends.decode_announcement("i-1", body)


class TestAnnouncementsOfOtherWriters(unittest.TestCase):
    """An announcement with missing fields, other types or unknown states names no server to use."""

    values = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(2**70), 2**70),
        strategies.floats(),
        strategies.text(max_size=20),
        strategies.sampled_from(["ready", "draining", "10.0.0.3:80", "10.0.0.\u0663:80", "::1:80"]),
        strategies.lists(strategies.integers(), max_size=2),
    )
    names = ("service", "addr", "zone", "version", "slots", "state", "cold_left_ms", "seq", "born")

    @classmethod
    def setUpClass(cls):
        # On its first use, hypothesis builds its table of characters and then reads the constants
        # of all loaded modules of the project. Both take seconds and would count as time for the
        # first inputs.
        strategies.text().validate()
        draw_inputs = given(cls.values)(lambda _value: None)
        unchecked = settings(
            max_examples=20, database=None, deadline=None, suppress_health_check=list(HealthCheck)
        )
        unchecked(draw_inputs)()

    @given(strategies.dictionaries(strategies.sampled_from(names), values))
    def test_changed_fields_are_refused_or_decoded_to_their_types(self, changes):
        try:
            record = decode_with(**changes)
        except errors.BadRequestError:
            return
        host, _, port = record.address.rpartition(":")
        self.assertEqual(str(ipaddress.IPv4Address(host)), host)
        self.assertTrue(0 < int(port) < 65536)
        self.assertIn(record.leaving, (True, False))
        for number in (record.sequence, record.born, record.slots):
            self.assertIs(type(number), int)
            self.assertGreaterEqual(number, 0)
        for text in (record.service, record.zone, record.software):
            self.assertIs(type(text), str)

    @given(strategies.sets(strategies.sampled_from(("service", "addr", "zone", "state", "seq"))))
    def test_missing_fields_are_refused(self, missing):
        if missing:
            with self.assertRaises(errors.BadRequestError):
                decode_with(**dict.fromkeys(missing))


class TestForwardedRequests(unittest.TestCase):
    """Headers of requests to backend servers, whatever the caller sent."""

    def encode(self, **changes) -> messages.Request:
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
        fields = {"workspace": "w", "remaining_seconds": 1.5, "priority": 2}
        return backends.encode_forwarded_request(
            dialect.ForwardedRequest(
                request=request,
                caller=caller,
                server=protocol_messages.ServerRecord(server="i-1"),
                **{**fields, **changes},
            )
        )

    def test_entry_headers_replace_callers_headers(self):
        sent = dict(self.encode().headers)
        self.assertEqual(sent[b"x-tenant"], b"w")
        self.assertEqual(sent[b"x-expect-instance"], b"i-1")
        self.assertEqual(sent[b"x-deadline-ms"], b"1500")
        self.assertEqual(sent[b"x-attempt-id"], b"9c41")
        self.assertEqual(sent[b"x-token-count"], b"1460,80")
        for name in (b"authorization", b"connection", b"x-private", b"transfer-encoding"):
            self.assertNotIn(name, sent)
        self.assertNotIn(b"x-helpers", sent)

    def test_each_header_occurs_once(self):
        names = [name for name, _ in self.encode().headers]
        self.assertEqual(len(names), len(set(names)))

    def test_target_and_body_are_unchanged(self):
        sent = self.encode()
        self.assertEqual((sent.target, sent.body), (b"/lohu930/2f?x=1", b"body"))

    def test_helpers_and_last_event_id_are_set(self):
        helpers = (
            dialect.HelperEngine("10.2.64.3:8080", "t81"),
            dialect.HelperEngine("10.2.64.5:8080"),
        )
        sent = dict(self.encode(helpers=helpers, last_event_id="12").headers)
        self.assertEqual(sent[b"x-helpers"], b"10.2.64.3:8080/t81,10.2.64.5:8080")
        self.assertEqual(sent[b"last-event-id"], b"12")

    def test_callers_workspace_header_is_removed(self):
        self.assertNotIn(b"x-tenant", dict(self.encode(workspace="").headers))


class TestAnswers(unittest.TestCase):
    """Kind of an answer by its head."""

    def decode(self, status: int, **headers: bytes) -> dialect.AnswerHead:
        header_list = tuple(
            (key.replace("_", "-").encode(), value) for key, value in headers.items()
        )
        return backends.decode_answer_head(client.Head(status, header_list), "id1")

    def decode_kind(self, status: int, **headers: bytes) -> dialect.AnswerKind:
        return self.decode(status, **headers).kind

    def test_signed_answer_has_kind_answer(self):
        kind = self.decode_kind(200, x_attempt_id=b"id1", x_response_stamp=b"s")
        self.assertIs(kind, dialect.AnswerKind.ANSWER)

    def test_event_stream_has_kind_stream(self):
        for value in (
            b"text/event-stream",
            b"text/event-stream; charset=utf-8",
            b"Text/Event-Stream",  # names of media types have no case
        ):
            with self.subTest(value):
                kind = self.decode_kind(
                    200, x_attempt_id=b"id1", x_response_stamp=b"s", content_type=value
                )
                self.assertIs(kind, dialect.AnswerKind.STREAM)

    def test_answer_with_wrong_request_id_has_kind_foreign(self):
        kind = self.decode_kind(200, x_attempt_id=b"id2", x_response_stamp=b"s")
        self.assertIs(kind, dialect.AnswerKind.FOREIGN)
        kind = self.decode_kind(503, x_attempt_id=b"id2", x_not_executed=b"1")
        self.assertIs(kind, dialect.AnswerKind.FOREIGN)

    def test_answer_without_signature_or_request_id_has_kind_foreign(self):
        self.assertIs(self.decode_kind(200, x_attempt_id=b"id1"), dialect.AnswerKind.FOREIGN)
        self.assertIs(self.decode_kind(200, x_response_stamp=b"s"), dialect.AnswerKind.FOREIGN)

    def test_answer_with_content_encoding_has_kind_foreign(self):
        kind = self.decode_kind(
            200, x_attempt_id=b"id1", x_response_stamp=b"s", content_encoding=b"gzip"
        )
        self.assertIs(kind, dialect.AnswerKind.FOREIGN)

    def test_refusal_has_kind_not_run(self):
        kind = self.decode_kind(503, x_attempt_id=b"id1", x_not_executed=b"1")
        self.assertIs(kind, dialect.AnswerKind.NOT_RUN)
        self.assertIs(self.decode_kind(421, x_attempt_id=b"id1"), dialect.AnswerKind.NOT_RUN)

    # Guards against a copy of an earlier refusal on a connection that is in use again.
    def test_refusal_without_request_id_counts_on_an_unused_connection_only(self):
        for status in (421, 429, 503):
            headers = ((b"x-not-executed", b"1"),)
            kinds = [
                backends.decode_answer_head(client.Head(status, headers, is_first), "id1").kind
                for is_first in (True, False)
            ]
            self.assertEqual(kinds, [dialect.AnswerKind.NOT_RUN, dialect.AnswerKind.FOREIGN])

    def test_limit_of_the_answering_server_is_decoded(self):
        signed = {"x_attempt_id": b"id1", "x_response_stamp": b"s"}
        refused = {"x_attempt_id": b"id1", "x_not_executed": b"1"}
        for status, headers in ((200, signed), (500, signed), (503, refused)):
            statement = self.decode(status, **headers, server_limit=b"1.25").statement
            self.assertEqual(statement.limit, 1.25)
            self.assertEqual(self.decode(status, **headers).statement.limit, math.inf)

    def test_limit_of_another_server_is_ignored(self):
        self.assertIsNone(self.decode(421, x_attempt_id=b"id1", server_limit=b"1").statement)
        self.assertIsNone(
            self.decode(
                200, x_attempt_id=b"id2", x_response_stamp=b"s", server_limit=b"1"
            ).statement
        )

    def test_leaving_of_the_answering_server_is_decoded(self):
        headers = {"x_attempt_id": b"id1", "x_response_stamp": b"s"}
        self.assertTrue(self.decode(200, **headers, server_leaving=b"1").statement.leaving)
        self.assertFalse(self.decode(200, **headers, server_leaving=b"0").statement.leaving)
        self.assertFalse(self.decode(200, **headers).statement.leaving)

    def test_time_to_come_back_is_decoded_from_refusals_only(self):
        refused = {"x_attempt_id": b"id1", "x_not_executed": b"1", "retry_after": b"4.5"}
        self.assertEqual(self.decode(503, **refused).statement.closed_seconds, 4.5)
        self.assertTrue(self.decode(503, **refused).statement.is_refusal)
        signed = {"x_attempt_id": b"id1", "x_response_stamp": b"s", "retry_after": b"4.5"}
        self.assertEqual(self.decode(200, **signed).statement.closed_seconds, 0.0)

    @given(
        strategies.one_of(
            strategies.binary(max_size=20),
            strategies.sampled_from(
                [b"-1", b"nan", b"31536000", b"Fri, 04 Dec 2026 08:00:00 GMT", b"1e2", b"301"]
            ),
        )
    )
    def test_any_time_to_come_back_is_bounded(self, value):
        statement = self.decode(
            503, x_attempt_id=b"id1", x_not_executed=b"1", retry_after=value
        ).statement
        self.assertTrue(0 <= statement.closed_seconds <= statements.MAX_CLOSED_SECONDS)
        if not value.replace(b".", b"").isdigit():
            self.assertEqual(statement.closed_seconds, 0.0)

    def decode_lines(self, status: int, name: bytes, *values: bytes) -> statements.ServerStatement:
        headers = (
            (b"x-attempt-id", b"id1"),
            (b"x-not-executed" if status == 503 else b"x-response-stamp", b"s"),
            *((name, value) for value in values),
        )
        return backends.decode_answer_head(client.Head(status, headers), "id1").statement

    # Guards against a limit that is not kept since a server names it in several header lines.
    def test_lowest_of_several_limits_holds(self):
        for values in ((b"2", b"1"), (b"1", b"x", b"3"), (b"-1", b"1.0")):
            self.assertEqual(self.decode_lines(200, b"server-limit", *values).limit, 1.0)
        self.assertIsNone(self.decode_lines(200, b"server-limit", b"x", b"-1").limit)

    def test_longest_of_several_times_to_come_back_holds(self):
        statement = self.decode_lines(503, b"retry-after", b"2", b"5", b"x", b"301")
        self.assertEqual(statement.closed_seconds, 5.0)

    @given(
        strategies.one_of(
            strategies.binary(max_size=20),
            strategies.sampled_from([b"-1", b"nan", b"inf", b"1e9", b"+2", b"", b"\xd9\xa3"]),
        )
    )
    def test_any_limit_is_a_decimal_or_unreadable(self, value):
        statement = self.decode(
            200, x_attempt_id=b"id1", x_response_stamp=b"s", server_limit=value
        ).statement
        if statement.limit is not None:
            self.assertRegex(value, rb"^[0-9.]+$")
            self.assertTrue(0 <= statement.limit < 1e9)

    def test_signed_error_has_kind_answer(self):
        kind = self.decode_kind(500, x_attempt_id=b"id1", x_response_stamp=b"s")
        self.assertIs(kind, dialect.AnswerKind.ANSWER)


class TestRequestsBetweenEntries(unittest.TestCase):
    """Requests that one entry passes on to another, and the answers."""

    def encode(self, *headers: tuple[bytes, bytes], **options) -> dict[bytes, bytes]:
        request = messages.Request(b"POST", b"/a/b?c", headers, b"body")
        encoded = backends.encode_peer_request(
            dialect.PeerRequest(request, remaining_seconds=1.25, **options)
        )
        self.assertEqual(
            (encoded.method, encoded.target, encoded.body), (b"POST", b"/a/b?c", b"body")
        )
        names = [name for name, _ in encoded.headers]
        self.assertEqual(len(names), len(set(names)))
        return dict(encoded.headers)

    def test_caller_headers_are_kept_and_the_remaining_time_is_set(self):
        headers = self.encode(
            (b"host", b"h"),
            (b"authorization", b"Token k1"),
            (b"x-attempt-id", b"id1"),
            (b"x-deadline-ms", b"9000"),
            (b"last-event-id", b"3"),
            (b"connection", b"keep-alive"),
            (b"flamingoramp-attempts-used", b"99"),
            attempts_used=1,
            last_event_id="7",
        )
        expected = {
            b"host": b"h",
            b"authorization": b"Token k1",
            b"x-attempt-id": b"id1",
            b"x-deadline-ms": b"1250",
            b"flamingoramp-attempts-used": b"1",
            b"last-event-id": b"7",
        }
        self.assertEqual(headers, expected)

    def test_other_entry_reads_the_attempts_and_keeps_them_from_servers(self):
        headers = self.encode((b"x-attempt-id", b"id1"), attempts_used=0)
        request = messages.Request(b"POST", b"/a", tuple(headers.items()))
        caller = platform_dialect.PlatformDialect().decode_request(request)
        self.assertEqual((caller.attempts_used, caller.is_from_peer), (0, True))
        server = protocol_messages.ServerRecord(server="s")
        forwarded = backends.encode_forwarded_request(
            dialect.ForwardedRequest(request, caller, server)
        )
        self.assertIsNone(forwarded.header(b"flamingoramp-attempts-used"))

    def decode(self, status: int, *headers: tuple[bytes, bytes]) -> dialect.AnswerHead:
        return backends.decode_peer_answer_head(client.Head(status, headers), "id1")

    def test_signed_answer_is_that_of_a_server(self):
        signed = ((b"x-attempt-id", b"id1"), (b"x-response-stamp", b"s"), (b"server-limit", b"1"))
        answer = self.decode(500, *signed)
        self.assertEqual((answer.kind, answer.statement), (dialect.AnswerKind.ANSWER, None))
        answer = self.decode(200, *signed, (b"content-type", b"text/event-stream"))
        self.assertIs(answer.kind, dialect.AnswerKind.STREAM)
        self.assertIs(
            self.decode(200, (b"x-attempt-id", b"id2"), (b"x-response-stamp", b"s")).kind,
            dialect.AnswerKind.FOREIGN,
        )

    def test_refusal_of_an_entry_has_not_run(self):
        for status in (408, 421, 429, 503):
            answer = self.decode(status, (b"retry-after", b"1.5"))
            self.assertIs(answer.kind, dialect.AnswerKind.NOT_RUN)
            self.assertEqual(answer.retry_after_seconds, 1.5)

    # Guards against a request near the limit that is denied, since this entry's headers came to it.
    def test_request_that_is_too_large_for_another_entry_has_not_run(self):
        for status in (413, 431):
            self.assertIs(self.decode(status).kind, dialect.AnswerKind.NOT_RUN)

    # Guards against a failure that is taken for a refusal, and a request that then runs twice.
    def test_failure_of_an_entry_promises_nothing(self):
        for status in (400, 401, 404, 500, 502, 504):
            self.assertIs(self.decode(status).kind, dialect.AnswerKind.ANSWER)

    def test_unsigned_success_must_not_reach_the_caller(self):
        self.assertIs(self.decode(200).kind, dialect.AnswerKind.FOREIGN)
