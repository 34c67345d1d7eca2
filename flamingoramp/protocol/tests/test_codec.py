"""Tests of the frames' encoding."""

from __future__ import annotations

import contextlib
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
    for attribute in attrs.fields(kind):
        name = str(attribute.type)
        if "tuple[str" in name:
            values[attribute.name] = (f"a{number}", "b")
        elif "tuple[int" in name:
            values[attribute.name] = (number, 2)
        elif "tuple[" in name:
            nested = getattr(messages, name.removeprefix("tuple[").partition(",")[0])
            values[attribute.name] = (fill(nested, number), fill(nested, number + 1))
        elif name == "bool":
            values[attribute.name] = True
        elif name == "bytes":
            values[attribute.name] = b"\0x" * number
        elif name == "str":
            values[attribute.name] = f"text {number}"
        else:
            values[attribute.name] = number
    return kind(**values)


class TestCodec(unittest.TestCase):
    """Every message survives encoding."""

    def test_every_framed_kind(self):
        nested = {"LogEntry", "Suspect", "ShardOwner", "EntryAddress", "HeldReservation"}
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
