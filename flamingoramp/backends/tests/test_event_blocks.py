"""Tests of splitting a stream of server-sent events into blocks."""

from __future__ import annotations

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp.backends import event_blocks


class TestEventBlockReader(unittest.TestCase):
    """Events that arrive in pieces of any size, and some without an end."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from([b"id: 1", b"data: x", b"\n", b"\r\n", b":"])),
        strategies.lists(strategies.integers(1, 9), min_size=1),
    )
    def test_pieces_give_the_same_blocks_as_the_whole(self, tokens, sizes):
        stream = b"".join(tokens)
        expected = event_blocks.EventBlockReader()
        expected_blocks = expected.feed(stream)
        reader = event_blocks.EventBlockReader()
        blocks = []
        for size in itertools.cycle(sizes):
            if not stream:
                break
            blocks += reader.feed(stream[:size])
            stream = stream[size:]
        self.assertEqual(
            b"".join(block.data for block in blocks),
            b"".join(block.data for block in expected_blocks),
        )
        self.assertEqual(
            [block.event_id for block in blocks if block.event_id],
            [block.event_id for block in expected_blocks if block.event_id],
        )
        self.assertEqual(reader.has_incomplete_event, expected.has_incomplete_event)

    def test_event_without_end_is_overlong(self):
        reader = event_blocks.EventBlockReader()
        reader.feed(b"data: " + b"x" * event_blocks.MAX_EVENT_BYTES)
        self.assertTrue(reader.is_overlong)

    def test_many_events_are_not_overlong(self):
        reader = event_blocks.EventBlockReader()
        blocks = reader.feed(b"data: xxxxxxxxxx\n\n" * event_blocks.MAX_EVENT_BYTES)
        self.assertEqual((len(blocks), reader.is_overlong), (event_blocks.MAX_EVENT_BYTES, False))

    # Guards against a search that starts at the beginning of an event with each piece of it.
    def test_bytes_are_searched_once(self):
        reader = event_blocks.EventBlockReader()
        reader.feed(b"x" * 1000)
        self.assertGreaterEqual(reader._searched, 1000 - event_blocks.MAX_BLANK_LINE_BYTES)
