"""Tests of whole contents that crash servers at the same time, and so explain each other's ends."""

from __future__ import annotations

import collections
import random
import unittest

from flamingoramp.dispatch import crash_evidence

SERVER_COUNT = 10
ROUND_COUNT = 14
ROUND_SECONDS = 4.0
ATTEMPTS = 2
SOUND_COUNT = 8
SEED_COUNT = 60
# As the platform counts: retries so long after the third end, and how many are allowed.
CONTACT_SECONDS = 3.0
MAX_LATE_COUNT = 3
CRASH_SECONDS = 0.1


class Rounds:
    """Sends some crashing contents and new sound ones in each round, at random servers."""

    def __init__(self, seed: int, content_count: int):
        self.rng = random.Random(seed)
        self.evidence = crash_evidence.CrashEvidence(lambda _server: SERVER_COUNT)
        self.contents = [f"c{number}" for number in range(content_count)]
        self.end_times: dict[str, list[float]] = collections.defaultdict(list)
        self.refused_sound: list[str] = []

    def run(self) -> None:
        for number in range(ROUND_COUNT):
            at = 10.0 + number * ROUND_SECONDS
            sound = [f"sound-{number}-{index}" for index in range(SOUND_COUNT)]
            waiting = [*self.contents, *sound]
            servers = [f"s{number}-{index}" for index in range(SERVER_COUNT)]
            for attempt in range(ATTEMPTS):
                waiting = self.send(waiting, servers, at + attempt * CRASH_SECONDS, attempt > 0)

    def send(self, waiting: list[str], servers: list[str], at: float, is_retry: bool) -> list[str]:
        """Send contents to servers, and end those that got a crashing one; return the broken."""
        running = collections.defaultdict(list)
        for content in waiting:
            found = self.evidence.find_quarantined((content,), with_unconfirmed=is_retry)
            is_trial = found and not is_retry and self.evidence.try_again(found, at)
            if found and not is_trial:
                if content not in self.contents:
                    self.refused_sound.append(content)
                continue
            if servers:
                running[self.rng.choice(servers)].append(content)
        broken = []
        ended_at = at + CRASH_SECONDS
        for server, contents in running.items():
            if not any(content in self.contents for content in contents):
                for content in contents:
                    self.evidence.record_answer((content,), ended_at)
                continue
            servers.remove(server)
            for content in contents:
                run = (server, 1)
                self.evidence.record_break(run, (content,), sent_at=at, now=ended_at)
                if content in self.contents:
                    self.end_times[content].append(ended_at)
                broken.append(content)
            self.evidence.confirm((server, 1))
        return broken

    def count_late(self) -> int:
        """Return the most sends of one content that come too late after its third end."""
        return max(
            sum(at > times[2] + CONTACT_SECONDS for at in times) if len(times) > 2 else 0
            for times in self.end_times.values()
        )


class TestHiddenContents(unittest.TestCase):
    """Several crashing contents side by side, each of which comes again and again."""

    # Guards against crashing requests that reach server after server, since others that came with
    # them explain all their ends.
    def test_each_content_is_refused_in_time(self):
        for content_count in (1, 2, 4, 6, 8):
            for seed in range(SEED_COUNT):
                with self.subTest(content_count=content_count, seed=seed):
                    rounds = Rounds(seed, content_count)
                    rounds.run()
                    self.assertLessEqual(rounds.count_late(), MAX_LATE_COUNT)
                    self.assertEqual(rounds.refused_sound, [])

    def test_content_with_an_answer_is_not_refused_for_explained_ends(self):
        evidence = crash_evidence.CrashEvidence(lambda _server: SERVER_COUNT)
        evidence.record_answer(("sound",), 1.0)
        for number in range(2 * crash_evidence.UNANSWERED_ROUND_COUNT):
            run = (f"s{number}", 1)
            at = 10.0 + number
            for content in ("crashing", "sound"):
                evidence.record_break(run, (content,), sent_at=at - 0.1, now=at)
            evidence.confirm(run)
        end = ("s", 1)
        evidence.record_break(end, ("crashing",), sent_at=30.0, now=30.1)
        evidence.confirm(end)
        self.assertEqual(evidence.find_quarantined(("sound",)), "")
        self.assertEqual(evidence.find_quarantined(("crashing",)), "crashing")
