"""Tests of the encoding of messages as frames."""

from __future__ import annotations

import contextlib
import typing
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from flamingoramp import errors
from flamingoramp.protocol import codec, load_reports, messages

MESSAGE_CLASSES = [
    message_class
    for module in (messages, load_reports)
    for message_class in vars(module).values()
    if attrs.has(message_class)
]


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
        unframed_names = {"LogEntry", "Suspect", "ShardOwner", "EntryAddress", "HeldReservation"}
        unframed_names |= {"EntryRecord", "ServerRecord", "CrashRecord"}
        for message_class in MESSAGE_CLASSES:
            if message_class.__name__ in unframed_names:
                continue
            with self.subTest(message_class=message_class.__name__):
                message = make_message(message_class, 7)
                frame = codec.encode("me", message, clock=9)[codec.LENGTH_PREFIX.size :]
                self.assertEqual(codec.decode(frame), codec.Envelope("me", 9, message))

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
