"""Tests of the encoding of messages as frames."""

from __future__ import annotations

import contextlib
import json
import pathlib
import typing
import unittest

import attrs
import hypothesis
import msgspec
from hypothesis import strategies

from flamingoramp import errors
from flamingoramp.protocol import codec, load_reports, messages, shard_messages

MESSAGE_CLASSES = [
    message_class
    for module in (messages, shard_messages, load_reports)
    for message_class in vars(module).values()
    if attrs.has(message_class)
]

# Classes of records, which are sent only within messages.
RECORD_NAMES = {
    "LogEntry", "Suspect", "ShardOwner", "EntryAddress", "HeldReservation", "EntryRecord",
    "ServerRecord", "CrashRecord", "DocumentPiece", "DocumentDelta",
}  # fmt: skip
FRAMED_CLASSES = [
    message_class for message_class in MESSAGE_CLASSES if message_class.__name__ not in RECORD_NAMES
]
# Frames of the former format, Cap'n Proto: a ping of "entry-a" and a load report.
FORMER_PING = bytes.fromhex("1007500202011801091105421104017f656e7472792d610103")
FORMER_LOAD_REPORT = bytes.fromhex(
    "10165002020120000011050a5104030b00020c2040112912000111211200060161017a"
)
# A frame of each message as build 45d631f sends it, without its length, and its values by position.
EARLIER_FRAMES = json.loads(pathlib.Path(__file__).with_name("earlier_frames.json").read_text())
PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, max_examples=25, deadline=None)


def list_frames_of_another_kind(frame: bytes) -> dict[str, bytes]:
    """Return changed copies of a frame that no process sends, by what is wrong with each."""
    sender, clock, fields = msgspec.msgpack.decode(frame[2:])
    frames = {
        "no bytes": b"",
        "another format": b"\x00" + frame[1:],
        "unknown tag": frame[:1] + b"\xff" + frame[2:],
        "further bytes": frame + b"\0",
        "not an array": frame[:2] + msgspec.msgpack.encode({"sender": sender}),
        "fields missing": frame[:2] + msgspec.msgpack.encode([sender, clock]),
        "clock of a wrong type": frame[:2] + msgspec.msgpack.encode([sender, "9", fields]),
        "nested deeply": frame[:2] + b"\x91" * 100_000,
        "more items than bytes": frame[:2] + b"\xdd\xff\xff\xff\xff",
    }
    for position, value in enumerate(fields):
        wrong_value = 1.5 if isinstance(value, str) else "1"
        wrong_fields = [*fields[:position], wrong_value, *fields[position + 1 :]]
        content = msgspec.msgpack.encode([sender, clock, wrong_fields])
        frames[f"field {position} of a wrong type"] = frame[:2] + content
    for length in range(2, len(frame)):
        frames[f"truncated to {length} bytes"] = frame[:length]
    return frames


def draw_messages(message_class: type) -> strategies.SearchStrategy:
    """Return a strategy of messages of a class with any values that can be sent."""
    hints = typing.get_type_hints(message_class)
    if message_class is load_reports.LoadReport:
        return draw_load_reports()
    return strategies.builds(
        message_class, **{name: draw_values(hint) for name, hint in hints.items()}
    )


def draw_values(hint: typing.Any) -> strategies.SearchStrategy:
    """Return a strategy of values of a field's type."""
    arguments = typing.get_args(hint)
    if arguments:
        return strategies.lists(draw_values(arguments[0]), max_size=4).map(tuple)
    if attrs.has(hint):
        return draw_messages(hint)
    return {
        bool: strategies.booleans(),
        bytes: strategies.binary(),
        float: strategies.floats(allow_nan=False),
        int: strategies.integers(0, 2**64 - 1),
        str: strategies.text(strategies.characters(exclude_categories=["Cs"])),
    }[hint]


@strategies.composite
def draw_load_reports(draw: typing.Any) -> load_reports.LoadReport:
    """Return a strategy of load reports, which have as many values for each server."""
    single = strategies.floats(width=32, allow_nan=False, allow_infinity=False)
    double = strategies.floats(allow_nan=False, allow_infinity=False)
    texts = draw_values(tuple[str, ...])
    values = {
        name: draw(draw_values(hint))
        for name, hint in typing.get_type_hints(load_reports.LoadReport).items()
        if not typing.get_args(hint)
    }
    servers, services, stated_servers = draw(texts), draw(texts), draw(texts)

    def draw_numbers(numbers: strategies.SearchStrategy, count: int) -> tuple[float, ...]:
        return tuple(draw(strategies.lists(numbers, min_size=count, max_size=count)))

    return load_reports.LoadReport(
        **values,
        servers=servers,
        loads=draw_numbers(single, load_reports.LOAD_VALUE_COUNT * len(servers)),
        services=services,
        arrivals=draw_numbers(single, len(services)),
        stated_servers=stated_servers,
        statements=draw_numbers(double, load_reports.STATEMENT_VALUE_COUNT * len(stated_servers)),
        request_rates=draw_numbers(single, len(services)),
    )


def make_message(message_class: type, number: int):
    """Return a message without default values, so that encoding can omit no field."""
    values = {}
    for name, hint in typing.get_type_hints(message_class).items():
        values[name] = make_value(hint, number)
    if message_class is load_reports.LoadReport:
        # As many values for each server.
        values["loads"] *= load_reports.LOAD_VALUE_COUNT
        values["statements"] *= load_reports.STATEMENT_VALUE_COUNT
        values["contention"] *= load_reports.CONTENTION_VALUE_COUNT
    return message_class(**values)


def make_value(hint: typing.Any, number: int):
    """Return a value of a field's type that is not its default."""
    arguments = typing.get_args(hint)
    if arguments:
        return (make_value(arguments[0], number), make_value(arguments[0], number + 1))
    if attrs.has(hint):
        return make_message(hint, number)
    return {bool: True, bytes: b"\0x" * number, str: f"text {number}"}.get(hint, number)


class TestEncoding(unittest.TestCase):
    """Encoding and decoding return the same message."""

    def test_each_framed_message_decodes_to_itself(self):
        for message_class in FRAMED_CLASSES:
            with self.subTest(message_class=message_class.__name__):
                message = make_message(message_class, 7)
                frame = codec.encode("me", message, clock=9)[codec.LENGTH_PREFIX.size :]
                self.assertEqual(codec.decode(frame), codec.Envelope("me", 9, message))

    def test_no_field_of_any_message_is_lost(self):
        for message_class in FRAMED_CLASSES:

            @PROPERTY_SETTINGS
            @hypothesis.given(draw_messages(message_class), draw_values(str), draw_values(int))
            def check(message, sender, clock):
                frame = codec.encode(sender, message, clock=clock)[codec.LENGTH_PREFIX.size :]
                self.assertEqual(codec.decode(frame), codec.Envelope(sender, clock, message))

            with self.subTest(message_class=message_class.__name__):
                check()

    def test_fields_that_a_later_build_adds_are_ignored_and_missing_ones_take_the_default(self):
        for message_class in FRAMED_CLASSES:
            message = make_message(message_class, 7)
            frame = codec.encode_datagram(message)
            sender, clock, fields = msgspec.msgpack.decode(frame[2:])
            with self.subTest(message_class=message_class.__name__):
                later = msgspec.msgpack.encode([sender, clock, [*fields, ["new"], None], "new"])
                self.assertEqual(codec.decode(frame[:2] + later).message, message)
                earlier = msgspec.msgpack.encode([sender, clock, fields[:1]])
                first_name = attrs.fields(message_class)[0].name
                self.assertEqual(
                    codec.decode(frame[:2] + earlier).message,
                    message_class(**{first_name: getattr(message, first_name)}),
                )

    def test_fields_of_records_that_a_later_build_adds_are_ignored(self):
        update = messages.ClusterUpdate(3, servers=(messages.ServerRecord("a", sequence=4),))
        frame = codec.encode_datagram(update)
        sender, clock, fields = msgspec.msgpack.decode(frame[2:])
        for changed_record, expected_record in (
            ([*fields[4][0], "new"], update.servers[0]),
            (["a"], messages.ServerRecord("a")),
        ):
            changed_fields = [*fields[:4], [changed_record], *fields[5:]]
            changed = frame[:2] + msgspec.msgpack.encode([sender, clock, changed_fields])
            self.assertEqual(
                codec.decode(changed).message, attrs.evolve(update, servers=(expected_record,))
            )

    def test_numbers_beyond_single_precision_are_kept(self):
        report = load_reports.LoadReport(services=("a",), arrivals=(1e300,))
        self.assertEqual(codec.decode_datagram(codec.encode_datagram(report)).message, report)

    def test_frames_that_no_process_sends_are_protocol_errors(self):
        for message_class in FRAMED_CLASSES:
            frame = codec.encode_datagram(make_message(message_class, 7))
            for problem, changed_frame in list_frames_of_another_kind(frame).items():
                with (
                    self.subTest(message_class=message_class.__name__, problem=problem),
                    self.assertRaises(errors.ProtocolError),
                ):
                    codec.decode(changed_frame)

    def test_negative_numbers_for_counts_are_protocol_errors(self):
        for message in (messages.Ping(-1), shard_messages.Reserve(prefix_hashes=(1, -1))):
            with self.assertRaises(errors.ProtocolError):
                codec.decode_datagram(codec.encode_datagram(message))

    def test_deep_nesting_in_a_field_of_a_later_build_is_a_protocol_error(self):
        frame = codec.encode_datagram(messages.Ping(7))
        fields_end = frame[:2] + b"\x93\xa0\x00\x92\x07"
        with self.assertRaises(errors.ProtocolError):
            codec.decode(fields_end + b"\x91" * 1_000_000)

    def test_frames_over_the_limits_are_protocol_errors(self):
        message = messages.DeclareRequest(document=b"x" * codec.MAX_FRAME_BYTES)
        with self.assertRaises(errors.ProtocolError):
            codec.decode(codec.encode("me", message)[codec.LENGTH_PREFIX.size :])
        message = messages.DeclareRequest(document=b"x" * codec.MAX_DATAGRAM_BYTES)
        with self.assertRaises(errors.ProtocolError):
            codec.decode_datagram(codec.encode_datagram(message))

    def test_more_records_than_the_limit_are_a_protocol_error(self):
        header = codec.encode_datagram(messages.ClusterUpdate())[:2]
        records = b"\xdd" + (codec.MAX_ITEMS + 1).to_bytes(4, "big") + b"\x90" * codec.MAX_ITEMS
        fields = b"\x95\x00\xc4\x00\xc2\x90" + records + b"\x90"
        with self.assertRaisesRegex(errors.ProtocolError, "length <= 65536"):
            codec.decode(header + b"\x93\xa0\x00" + fields)

    def test_a_frame_of_the_former_format_is_named_as_such(self):
        with self.assertRaisesRegex(errors.ProtocolError, "format 16, .*run the same build"):
            codec.decode(FORMER_PING)
        with self.assertRaisesRegex(errors.ProtocolError, "format 16, .*run the same build"):
            codec.decode_datagram(FORMER_LOAD_REPORT)

    def test_load_report_with_missing_or_infinite_values_is_a_protocol_error(self):
        report = load_reports.LoadReport(
            servers=("a",), loads=(1.0,) * load_reports.LOAD_VALUE_COUNT
        )
        for loads in (report.loads[1:], (*report.loads[1:], float("nan"))):
            invalid_report = attrs.evolve(report)
            object.__setattr__(invalid_report, "loads", loads)
            with self.subTest(loads=loads), self.assertRaises(errors.ProtocolError):
                codec.decode_datagram(codec.encode_datagram(invalid_report))

    def test_load_report_with_missing_or_infinite_statements_is_a_protocol_error(self):
        report = load_reports.LoadReport(
            stated_servers=("a",), statements=(1.0,) * load_reports.STATEMENT_VALUE_COUNT
        )
        for values in (report.statements[1:], (*report.statements[1:], float("inf"))):
            invalid_report = attrs.evolve(report)
            object.__setattr__(invalid_report, "statements", values)
            with self.subTest(values=values), self.assertRaises(errors.ProtocolError):
                codec.decode_datagram(codec.encode_datagram(invalid_report))

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_invalid_bytes_raise_only_protocol_error(self, data):
        with contextlib.suppress(errors.ProtocolError):
            codec.decode(data)

    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    @hypothesis.given(strategies.sampled_from(FRAMED_CLASSES), strategies.data())
    def test_changed_bytes_of_a_frame_raise_only_protocol_error(self, message_class, data):
        frame = bytearray(codec.encode_datagram(make_message(message_class, 7)))
        for _ in range(data.draw(strategies.integers(1, 4))):
            position = data.draw(strategies.integers(0, len(frame) - 1))
            frame[position] = data.draw(strategies.integers(0, 255))
        with contextlib.suppress(errors.ProtocolError):
            codec.decode(bytes(frame))


def list_values(value: typing.Any) -> typing.Any:
    """Return a message as nested lists of its values, bytes in hexadecimal."""
    if attrs.has(type(value)):
        return [list_values(getattr(value, field.name)) for field in attrs.fields(type(value))]
    if isinstance(value, tuple):
        return [list_values(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def has_values(value: typing.Any, earlier: typing.Any) -> bool:
    """Return whether nested lists hold the earlier values; records may have further fields."""
    if isinstance(earlier, list):
        return (
            isinstance(value, list)
            and len(value) >= len(earlier)
            and all(has_values(*pair) for pair in zip(value, earlier, strict=False))
        )
    return value == earlier


class TestFramesOfAnEarlierBuild(unittest.TestCase):
    """Hosts of two builds run side by side while they are replaced one after the other."""

    def test_each_frame_is_decoded_with_its_values(self):
        for name, item in EARLIER_FRAMES.items():
            with self.subTest(message=name):
                envelope = codec.decode(bytes.fromhex(item["frame"]))
                self.assertEqual(type(envelope.message).__name__, name)
                self.assertEqual((envelope.sender, envelope.clock), ("entry-a", 7))
                self.assertTrue(has_values(list_values(envelope.message), item["values"]))

    def test_earlier_build_finds_its_fields_in_what_is_sent_now(self):
        for name, item in EARLIER_FRAMES.items():
            with self.subTest(message=name):
                message = codec.decode(bytes.fromhex(item["frame"])).message
                frame = codec.encode("entry-a", message, clock=7)[codec.LENGTH_PREFIX.size :]
                earlier = bytes.fromhex(item["frame"])
                self.assertEqual(frame[:2], earlier[:2])
                sent, recorded = (msgspec.msgpack.decode(data[2:]) for data in (frame, earlier))
                self.assertTrue(has_values(sent, recorded))


class TestFrameBuffer(unittest.TestCase):
    """The buffer returns the frames that were sent, however the byte stream is split."""

    @hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, 50), min_size=1, max_size=30))
    def test_frames_split_at_any_byte_are_returned_complete(self, sizes):
        sent = [codec.encode("me", messages.Ping(number)) for number in range(10)]
        data = b"".join(sent)
        buffer = codec.FrameBuffer()
        received = []
        position = 0
        for size in sizes:
            received += buffer.feed(data[position : position + size])
            position += size
        received += buffer.feed(data[position:])
        self.assertEqual(
            [codec.decode(frame).message.sequence for frame in received], list(range(10))
        )

    def test_frame_over_the_limit_raises_protocol_error(self):
        header = codec.LENGTH_PREFIX.pack(codec.MAX_FRAME_BYTES + 1)
        with self.assertRaises(errors.ProtocolError):
            codec.FrameBuffer().feed(header)
