"""Tests of the wait between the placement of a long prompt and its send."""

from __future__ import annotations

import random
import unittest

import attrs

from flamingoramp.dispatch import attempts, error_boundary, placement_settling
from flamingoramp.protocol import messages
from flamingoramp.routing import load_table, placement_notices
from flamingoramp.routing.tests import test_load_exchange
from flamingoramp.runtime import metrics, virtual_time

ENGINES = tuple(f"engine-{number}" for number in range(12))


def make_target(
    servers: tuple[str, ...], *, part_seconds: float, first_seconds: float = 1.0
) -> attempts.AttemptTarget:
    """Return a target whose servers prefill a part each."""
    return attempts.AttemptTarget(
        messages.ServerRecord(servers[0]),
        helpers=tuple(messages.ServerRecord(server) for server in servers[1:]),
        work_items=tuple(
            load_table.WorkItem(
                server,
                1.0,
                part_seconds=part_seconds,
                prefill_end=first_seconds,
                is_helper=server != servers[0],
            )
            for server in servers
        ),
    )


@attrs.define
class FakeAnnouncer:
    """Announcer whose placements are settled as given, the last one from then on."""

    settlements: list[placement_notices.Settlement] = attrs.field(
        factory=lambda: [placement_notices.Settlement.STAYS]
    )
    withdrawn: list[str] = attrs.field(factory=list)
    is_alone: bool = False
    announced: list[tuple[str, ...]] = attrs.field(factory=list)

    def announce(self, work_items) -> str:
        if self.is_alone:
            return ""
        self.announced.append(tuple(work.server for work in work_items))
        return str(len(self.announced))

    def settle_placement(self, placement_id: str) -> placement_notices.Settlement:
        return self.settlements.pop(0) if len(self.settlements) > 1 else self.settlements[0]

    def withdraw_placement(self, placement_id: str) -> None:
        self.withdrawn.append(placement_id)


class LateLoop(virtual_time.VirtualLoop):
    """Loop of a process that is suspended, so that its timers run late."""

    late_seconds = 0.0

    def call_later(self, delay, callback):
        return super().call_later(delay + self.late_seconds, callback)


class TestPlacementSettling(unittest.TestCase):
    """Which placements are announced, and when they are settled."""

    def setUp(self):
        self.loop = LateLoop()
        self.announcer = FakeAnnouncer()
        self.settled: list[bool] = []
        self.settling = placement_settling.PlacementSettling(
            self.loop, self.announcer, metrics=metrics.Metrics()
        )

    def begin(self, part_seconds: float, *servers: str) -> None:
        target = make_target(servers, part_seconds=part_seconds)
        boundary = error_boundary.ErrorBoundary(self.loop)
        self.settling.begin(target, self.settled.append, boundary)

    def test_short_prompt_is_settled_at_once(self):
        self.begin(0.5 * placement_settling.ANNOUNCED_PREFILL_SECONDS, "e1")
        self.assertEqual((self.settled, self.announcer.announced), ([False], []))

    def test_only_entry_sends_at_once(self):
        self.announcer.is_alone = True
        self.begin(1.0, "e1")
        self.assertEqual(self.settled, [False])

    def test_prompt_in_short_parts_is_announced_by_their_sum(self):
        self.begin(0.5 * placement_settling.ANNOUNCED_PREFILL_SECONDS, "e1", "e2")
        self.assertEqual(self.announcer.announced, [("e1", "e2")])
        self.assertEqual(self.settled, [])
        self.loop.advance(placement_settling.SETTLE_SECONDS)
        self.assertEqual(self.settled, [False])

    def test_crossing_prompt_has_to_move(self):
        self.announcer.settlements = [placement_notices.Settlement.MOVES]
        self.begin(1.0, "e1")
        self.loop.advance(placement_settling.SETTLE_SECONDS)
        self.assertEqual(self.settled, [True])

    def test_prompt_waits_once_more_for_another_that_has_to_move(self):
        settlement = placement_notices.Settlement
        for last, must_move in ((settlement.STAYS, False), (settlement.MOVES, True)):
            with self.subTest(last):
                self.setUp()
                self.announcer.settlements = [settlement.OPEN, last]
                self.begin(1.0, "e1")
                self.loop.advance(1.5 * placement_settling.SETTLE_SECONDS)
                self.assertEqual(self.settled, [])
                self.loop.advance(placement_settling.SETTLE_SECONDS)
                self.assertEqual(self.settled, [must_move])

    def test_prompt_moves_if_the_other_does_not(self):
        self.announcer.settlements = [placement_notices.Settlement.OPEN]
        self.begin(1.0, "e1")
        self.loop.advance(3 * placement_settling.SETTLE_SECONDS)
        self.assertEqual((self.settled, self.announcer.withdrawn), ([True], ["1"]))

    def test_prompt_is_placed_again_after_the_process_was_suspended(self):
        self.loop.late_seconds = 2 * placement_settling.MAX_SETTLE_SECONDS
        self.begin(1.0, "e1")
        self.loop.advance(2.0 * self.loop.late_seconds)
        self.assertEqual(self.settled, [True])


class TestLongPromptsAtTheSameMoment(unittest.TestCase):
    """Load pattern: long prompts reach entries of several zones within milliseconds.

    Each entry ranks the engines alike and knows nothing of the others' choices yet, so that all
    prompts would be prefilled by the same engines.
    """

    def place_at_once(
        self, entry_count: int, size: int, seed: int, *, late_seconds: float = 0.0
    ) -> list[set[str]]:
        """Place a prompt at some entries within 10 ms; return the engines of each that is sent."""
        rng = random.Random(seed)
        random.seed(seed)  # the ids of placements are drawn from the global generator
        network = test_load_exchange.Network(
            {"a": 8, "b": 8, "c": 8}, delay_seconds=0.002, between_zones_seconds=0.004
        )
        network.loop.advance(2.0)
        network.late_by_entry = {"a00": late_seconds}
        sent: list[set[str]] = []
        names = rng.sample(sorted(network.entries), entry_count)
        if late_seconds:
            names = ["a00", "b00"]
        for name in names:
            prompt = _Prompt(network, network.entries[name], size, sent)
            network.loop.call_later(rng.uniform(0.0, 0.01), prompt.place)
        network.loop.advance(0.2)
        return sent

    def test_late_notices_are_made_up_for(self):
        # The entry with the higher id hears of the other only after it has sent its prompt.
        settle_seconds = placement_settling.SETTLE_SECONDS
        for seed in range(20):
            with self.subTest(seed):
                first, second = self.place_at_once(2, 4, seed, late_seconds=1.3 * settle_seconds)
                self.assertEqual(first & second, set())

    def test_two_prompts_share_no_engine(self):
        for seed in range(20):
            with self.subTest(seed):
                first, second = self.place_at_once(2, 4, seed)
                self.assertEqual(first & second, set())

    def test_three_prompts_share_no_engine(self):
        for seed in range(20):
            with self.subTest(seed):
                groups = self.place_at_once(3, 3, seed)
                self.assertEqual(len(set().union(*groups)), 9)


class _Prompt:
    """A long prompt at one entry, which places it on the engines with the least prefill."""

    def __init__(
        self,
        network: test_load_exchange.Network,
        entry: test_load_exchange.Entry,
        size: int,
        sent: list[set[str]],
    ):
        self._loop = network.loop
        self._entry = entry
        self._size = size
        self._sent = sent
        self._settling = placement_settling.PlacementSettling(
            network.loop, entry.exchange, metrics=metrics.Metrics()
        )
        self._move_count = 0

    def place(self) -> None:
        now = self._loop.now()
        loads = self._entry.loads
        ranked = sorted(ENGINES, key=lambda name: (loads.load(name, now).reading_seconds, name))
        target = make_target(tuple(ranked[: self._size]), part_seconds=1.0, first_seconds=now + 1.0)
        for work in target.work_items:
            loads.add(work)
        self._entry.exchange.schedule_report()
        self._settling.begin(
            target,
            lambda must_move: self._handle_settled(target, must_move),
            error_boundary.ErrorBoundary(self._loop),
        )

    def _handle_settled(self, target: attempts.AttemptTarget, must_move: bool) -> None:
        if not must_move:
            self._sent.append({work.server for work in target.work_items})
            return
        for work in target.work_items:
            self._entry.loads.remove(work)
        self.place()
