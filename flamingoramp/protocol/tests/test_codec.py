"""Tests of the frames' encoding."""

from __future__ import annotations

import contextlib
import typing
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from flamingoramp import errors
from flamingoramp.protocol import codec, messages

ALL_KINDS = [kind for kind in vars(messages).values() if attrs.has(kind)]


def fill(kind: type, number: int):
    """Return a message with something in each field."""
    values = {}
    for name, hint in typing.get_type_hints(kind).items():
        values[name] = fill_field(hint, number)
    return kind(**values)


def fill_field(hint: typing.Any, number: int):
    """Return something of a field's type."""
    arguments = typing.get_args(hint)
    if arguments:
        return (fill_field(arguments[0], number), fill_field(arguments[0], number + 1))
    if attrs.has(hint):
        return fill(hint, number)
    return {bool: True, bytes: b"\0x" * number, str: f"text {number}"}.get(hint, number)


class TestCodec(unittest.TestCase):
    """Every message survives encoding."""

    def test_every_framed_kind(self):
        nested = {"LogEntry", "Suspect", "ShardOwner", "EntryAddress", "HeldReservation"}
        nested |= {"EntryRecord", "ServerRecord", "CrashRecord", "EngineLoad"}
        for kind in ALL_KINDS:
            if kind.__name__ in nested:
                continue
            with self.subTest(kind=kind.__name__):
                message = fill(kind, 7)
                frame = codec.encode("me", message, clock=9)[codec.HEADER.size :]
                self.assertEqual(codec.decode(frame), codec.Envelope("me", 9, message))

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_garbage_is_a_typed_error(self, data):
        with contextlib.suppress(errors.ProtocolError):
            codec.decode(data)


class TestFrameBuffer(unittest.TestCase):
    """Frames are cut as they were sent, however the bytes arrive."""

    @hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, 50), min_size=1, max_size=30))
    def test_pieces(self, sizes):
        sent = [codec.encode("me", messages.Ping(number)) for number in range(10)]
        data = b"".join(sent)
        buffer = codec.FrameBuffer()
        received = []
        position = 0
        for size in sizes:
            received += buffer.feed(data[position : position + size])
            position += size
        received += buffer.feed(data[position:])
        self.assertEqual([codec.decode(one).message.sequence for one in received], list(range(10)))

    def test_oversized_frame(self):
        header = codec.HEADER.pack(codec.MAX_FRAME_BYTES + 1)
        with self.assertRaises(errors.ProtocolError):
            codec.FrameBuffer().feed(header)
