"""Tests of the decoder of server-sent events that carry JSON documents."""

from __future__ import annotations

import time
import unittest

from flamingoramp import errors
from flamingoramp.backends import sse


class TestEventReader(unittest.TestCase):
    """Documents that arrive in pieces of any size."""

    PIECE_BYTES = 1460
    # Of a line at the limit; copies of all that was received with each piece took seconds.
    MAX_SECONDS = 0.5

    def read(self, stream: bytes, piece_bytes: int) -> list:
        reader = sse.EventReader()
        return [
            document
            for start in range(0, len(stream), piece_bytes)
            for document in reader.feed(stream[start : start + piece_bytes])
        ]

    def test_pieces_give_the_same_documents_as_the_whole(self):
        stream = b'data: {"a": 1}\n\n: comment\r\ndata:2\r\n\r\ndata: "x"\n\ndata: 3'
        for piece_bytes in range(1, len(stream) + 1):
            with self.subTest(piece_bytes):
                self.assertEqual(self.read(stream, piece_bytes), [{"a": 1}, 2, "x"])

    def test_line_without_end_is_an_error(self):
        with self.assertRaises(errors.ProtocolError):
            self.read(b"data: " + b"x" * sse.LINE_LIMIT_BYTES, self.PIECE_BYTES)

    # Guards against an entry that spends seconds on one long line of an engine.
    def test_time_is_in_line_with_the_size_of_a_line(self):
        line = b'data: "' + b"x" * (sse.LINE_LIMIT_BYTES - 100) + b'"\n'
        began_at = time.process_time()
        self.assertEqual(len(self.read(line, self.PIECE_BYTES)), 1)
        self.assertLess(time.process_time() - began_at, self.MAX_SECONDS)
