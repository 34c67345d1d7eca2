"""Tests of the forms that a stream of server-sent events may have, and of resuming it."""

from __future__ import annotations

import itertools
import random
import re
from collections.abc import Iterable

import attrs

from flamingoramp.dispatch.tests import test_forwarding

ROUTE = attrs.evolve(test_forwarding.STREAM, attempts=6)
EVENT_COUNT = 8
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
SEED_COUNT = 400
LINE_ENDS = (b"\n", b"\r\n", b"\r")
# A CR is never followed by an LF that is a line end of its own.
LINE_END_MIXES = (*((end,) for end in LINE_ENDS), (b"\n", b"\r\n"), (b"\r", b"\r\n"))
# Bytes of a stream that its caller reads as nothing.
COMMENTS = (b":", b": keep-alive", b":id: 99")
MAX_PIECE_BYTES = 60


@attrs.frozen
class Event:
    """An event of an engine; ``event_id`` is None for an event without one."""

    data: bytes
    event_id: int | None


def parse(body: bytes) -> list[bytes]:
    """Return the data of the events that a caller gets, as the format's standard says."""
    lines = re.split(rb"\r\n|\r|\n", body.removeprefix(BYTE_ORDER_MARK))
    events: list[bytes] = []
    data: list[bytes] = []
    for line in lines[:-1]:
        if not line and data:
            events.append(b"\n".join(data))
            data = []
        name, _, value = line.partition(b":")
        if name == b"data":
            data.append(value.removeprefix(b" "))
    return events


class Engine:
    """Encodes the events of a stream in a form that the seed gives."""

    def __init__(self, seed: int, *, unidentified_ratio: float):
        self.rng = random.Random(seed)
        self.line_ends = self.rng.choice(LINE_END_MIXES)
        self.comment_ratio = self.rng.choice((0.0, 0.3, 1.0))
        self.has_mark = self.rng.random() < 0.3
        self.events = [
            Event(b"piece %d" % number, None if self.is_likely(unidentified_ratio) else number)
            for number in range(1, EVENT_COUNT + 1)
        ]

    def is_likely(self, probability: float) -> bool:
        return self.rng.random() < probability

    def line(self, text: bytes) -> bytes:
        return text + self.rng.choice(self.line_ends)

    def encode(self, last_event_id: bytes) -> bytes:
        """Return the stream after an event id; all of it without one."""
        first = 0
        for number, event in enumerate(self.events, 1):
            if last_event_id and event.event_id == int(last_event_id):
                first = number
        stream = BYTE_ORDER_MARK if self.has_mark else b""
        return stream + b"".join(self.encode_event(event) for event in self.events[first:])

    def encode_event(self, event: Event) -> bytes:
        fields = [b"data: " + event.data]
        if event.event_id is not None:
            fields.append(b"id:%s%d" % (self.rng.choice((b"", b" ")), event.event_id))
        if self.is_likely(0.2):
            fields.append(b"event: token")
        if self.is_likely(0.2):
            fields.append(self.rng.choice(COMMENTS))
        self.rng.shuffle(fields)
        if self.is_likely(0.2):
            fields.insert(0, b"x-note: 2")
        encoded = b"".join(map(self.line, fields)) + self.line(b"")
        while self.is_likely(self.comment_ratio / 2):
            encoded += self.line(self.rng.choice(COMMENTS)) + self.line(b"")
        if self.is_likely(0.1):
            encoded += self.line(b"retry: 1000") + self.line(b"")
        if self.is_likely(0.1):
            encoded += self.line(b"")
        return encoded


class StreamCase(test_forwarding.ForwardingCase):
    """Base of tests that send a stream in pieces and break it off."""

    def setUp(self):
        super().setUp()
        self.context.servers = [f"s{number}" for number in range(ROUTE.attempts)]

    def feed(self, stream: bytes, sizes: Iterable[int] = (MAX_PIECE_BYTES,)) -> None:
        """Receive a stream in pieces of these sizes, again and again."""
        sizes = itertools.cycle(sizes)
        while stream:
            size = next(sizes)
            self.calls[-1].receiver.handle_data(stream[:size])
            stream = stream[size:]


class TestForms(StreamCase):
    """Single forms of events, each before a break."""

    # Guards against a resumed stream that repeats pieces, since a comment came in the same read.
    def test_stream_is_resumed_after_the_last_event_that_was_relayed(self):
        for name, stream, expected in (
            ("comment behind it", b"id: 1\ndata: x\n\n: keep-alive\n\n", b"1"),
            ("comments behind and before", b":\n\nid: 1\ndata: x\n\n:\n\n:\n\n", b"1"),
            ("field without data behind it", b"id: 1\ndata: x\n\nretry: 9\n\n", b"1"),
            ("comment within it", b": a\nid: 1\n: id: 7\ndata: x\n\n", b"1"),
            ("CRLF", b"id: 1\r\ndata: x\r\n\r\n:\r\n\r\n", b"1"),
            ("CR", b"id: 1\rdata: x\r\r:\r\r", b"1"),
            ("several line ends", b"data: x\rid: 1\r\n\n:\n\r\n", b"1"),
            ("byte order mark", b"\xef\xbb\xbfid: 1\ndata: x\n\n", b"1"),
            ("several ids", b"id: 1\nid: 2\ndata: x\n\n", b"2"),
            ("no blank", b"data:x\nid:1\n\n", b"1"),
            ("blanks", b"data: x\nid: 1 \t\n\n", b"1"),
            ("id with NUL", b"id: 1\ndata: x\nid: 7\0\n\n", b"1"),
            ("id alone", b"id: 1\ndata: x\n\nid: 2\n\n", b"2"),
            ("part of a further one", b"id: 1\ndata: x\n\nid: 2\ndata: y\n", b"1"),
            ("several events", b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n:\n\n", b"2"),
            ("text as id", b"id: a-1\ndata: x\n\n:\n\n", b"a-1"),
        ):
            for sizes in ([1000], [1] * len(stream)):
                with self.subTest(name, pieces=len(sizes)):
                    self.setUp()
                    self.start_request(ROUTE)
                    self.receive_head("stream")
                    self.feed(stream, sizes)
                    self.fail_call()
                    self.assertEqual(len(self.calls), 2)
                    self.assertEqual(self.calls[1].request.header(b"resume"), expected)

    # Guards against pieces that come twice, since no id says that the caller has them.
    def test_stream_with_an_event_without_id_is_not_resumed(self):
        for name, stream in (
            ("no id", b"data: x\n\n"),
            ("no id after one with", b"id: 1\ndata: x\n\ndata: y\n\n:\n\n"),
            ("empty id", b"id: 1\ndata: x\n\nid\ndata: y\n\n"),
            ("id that no header holds", b"id: \x0b\ndata: x\n\n"),
        ):
            with self.subTest(name):
                self.setUp()
                self.start_request(ROUTE)
                self.receive_head("stream")
                self.feed(stream)
                self.fail_call()
                self.assertEqual(len(self.calls), 1)
                self.assert_ended(200, "aborted")
                self.assertIn("no id", self.context.outcomes[0][1]["text"])

    def test_later_id_makes_a_stream_resumable_again(self):
        self.start_request(ROUTE)
        self.receive_head("stream")
        self.feed(b"data: x\n\nid: 2\ndata: y\n\n")
        self.fail_call()
        self.assertEqual(self.calls[1].request.header(b"resume"), b"2")

    # Guards against answers that differ from the engine's by a line end or a comment.
    def test_complete_stream_is_relayed_byte_for_byte(self):
        for stream in (
            b"id: 1\ndata: x\n\n\n",
            b"id: 1\r\ndata: x\r\n\r\n\r\n",
            b"id: 1\rdata: x\r\r",
            b"id: 1\ndata: x\n\n: bye\n",
            b"\xef\xbb\xbfid: 1\ndata: x\r\r\n",
            b"\n\nid: 1\ndata: x\n\n",
        ):
            for sizes in ([1000], [1] * len(stream)):
                with self.subTest(stream, pieces=len(sizes)):
                    self.setUp()
                    self.start_request(ROUTE)
                    self.receive_head("stream")
                    self.feed(stream, sizes)
                    self.complete_answer()
                    self.assert_ended(200)
                    self.assertEqual(self.exchange.body, stream)

    def test_event_is_relayed_with_its_last_byte(self):
        for end in LINE_ENDS:
            with self.subTest(end=end):
                self.setUp()
                self.start_request(ROUTE)
                self.receive_head("stream")
                self.feed(b"id: 1" + end + b"data: x" + end + end)
                self.assertEqual(parse(self.exchange.body), [b"x"])


class TestGeneratedStreams(StreamCase):
    """Streams of all forms, in pieces of any size, that break off again and again."""

    def run_seed(self, seed: int, *, unidentified_ratio: float) -> None:
        self.setUp()
        engine = Engine(seed, unidentified_ratio=unidentified_ratio)
        self.start_request(ROUTE)
        while not self.exchange.end_state:
            call_count = len(self.calls)
            self.receive_head("stream")
            stream = engine.encode(self.calls[-1].request.header(b"resume"))
            breaks_off = call_count < ROUTE.attempts and engine.is_likely(0.8)
            if breaks_off:
                stream = stream[: engine.rng.randrange(len(stream) + 1)]
            self.feed(stream, [engine.rng.randrange(1, MAX_PIECE_BYTES) for _ in range(50)])
            if breaks_off:
                self.fail_call()
            else:
                self.complete_answer()
        expected = [event.data for event in engine.events]
        received = parse(self.exchange.body)
        if self.exchange.end_state == "aborted":
            self.assertGreater(unidentified_ratio, 0.0)
            expected = expected[: len(received)]
        self.assertEqual(received, expected)

    # Guards against pieces that are missing or come twice, whatever comes between them.
    def test_each_piece_comes_once(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                self.run_seed(seed, unidentified_ratio=0.0)

    def test_no_piece_comes_twice_if_some_have_no_id(self):
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                self.run_seed(seed, unidentified_ratio=0.3)
