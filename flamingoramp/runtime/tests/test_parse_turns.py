"""Tests of the turns in which connections parse, without a network."""

from __future__ import annotations

import unittest

from flamingoramp.runtime import parse_turns


class FakeLoop:
    """Runs callbacks one iteration after the other."""

    def __init__(self):
        self.callbacks = []

    def call_later(self, _delay, callback):
        self.callbacks.append(callback)

    def run_once(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class FakeParser:
    """Needs a number of events to be through."""

    def __init__(self, turns: parse_turns.ParseTurns, name: str, needed: int, taken: list[str]):
        self.turns = turns
        self.name = name
        self.needed = needed
        self.parsed = 0
        self.taken = taken
        turns.wait(self, 0)

    def take_turn(self, max_events: int) -> None:
        self.taken.append(self.name)
        self.parsed += max_events
        if self.parsed < self.needed:
            self.turns.wait(self, self.parsed)


class TestParseTurns(unittest.TestCase):
    """Order and number of turns."""

    def setUp(self):
        self.loop = FakeLoop()
        self.turns = parse_turns.ParseTurns(self.loop)
        self.taken: list[str] = []

    def add(self, name: str, turns: int) -> FakeParser:
        return FakeParser(self.turns, name, turns * parse_turns.MAX_EVENTS_PER_TURN, self.taken)

    # Pattern: a crowd of bodies in very small chunks; other callers wait for one turn at most.
    def test_an_iteration_has_one_turn_however_many_wait(self):
        for number in range(50):
            self.add(f"crowd{number}", 10)
        for count in range(1, 100):
            self.loop.run_once()
            self.assertEqual(len(self.taken), count)

    # Pattern: an ordinary body in some chunks arrives beside such a crowd.
    def test_the_parser_with_the_fewest_events_is_next(self):
        for number in range(50):
            self.add(f"crowd{number}", 10)
        for _ in range(200):
            self.loop.run_once()
        self.add("ordinary", 2)
        for _ in range(2):
            self.loop.run_once()
        self.assertEqual(self.taken[-2:], ["ordinary", "ordinary"])

    def test_no_parser_is_forgotten_and_the_loop_rests_at_the_end(self):
        for number in range(5):
            self.add(str(number), number + 1)
        for _ in range(15):
            self.loop.run_once()
        self.assertEqual(len(self.taken), 15)
        self.assertEqual(self.loop.callbacks, [])

    def test_a_parser_that_fails_doesn_t_hold_up_the_others(self):
        failing = self.add("failing", 1)

        def _fail(_max_events: int) -> None:
            raise ZeroDivisionError

        failing.take_turn = _fail
        self.add("other", 1)
        with self.assertRaises(ZeroDivisionError):
            self.loop.run_once()
        self.loop.run_once()
        self.assertEqual(self.taken, ["other"])
