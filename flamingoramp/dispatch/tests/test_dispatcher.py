"""Tests of attempts, streams and outcomes."""

from __future__ import annotations

import random
import unittest

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import budget, claims, dispatcher, requests
from flamingoramp.protocol import messages

SPEC = requests.RequestSpec(
    "r", requests.RequestKind.COMPLETION, "w", "llm", model="m", prompt="p", prompt_tokens=100,
    output_tokens=5, time_limit=10.0, fingerprint="f", streams=True,
)  # fmt: skip
HOLD = attrs.evolve(
    SPEC,
    kind=requests.RequestKind.PLAIN,
    idempotent=False,
    key="k",
    streams=False,
    call=requests.PlainCall("POST", "holds"),
)
GRANT = messages.Grant("r", 1, "llm/0", 1, ("s1",), ("http://s1",), (105,))


class DispatcherCase(unittest.TestCase):
    """Gives each test a dispatcher and collects its effects."""

    shards = 1

    def setUp(self):
        self.now = 100.0
        self.dispatcher = dispatcher.Dispatcher(
            entry="e",
            address="e:1",
            zone="z",
            rng=random.Random(1),
            generation_of=lambda _shard: 1,
            shards_of=lambda _service: self.shards,
            retry_ratio=lambda: 0.2,
        )
        self.effects: list = []
        self.tick()

    def send(self, *sent) -> list:
        """Hand messages in and return the effects of the last one."""
        for message in sent:
            batch = self.dispatcher.handle(message, self.now)
            self.effects += batch
        return batch

    def tick(self, seconds: float = 0.0) -> list:
        """Let time pass in steps, as the task does."""
        batch = []
        end = self.now + seconds
        while True:
            batch += self.dispatcher.tick(self.now)
            if self.now >= end:
                break
            self.now = min(end, self.now + 0.1)
        self.effects += batch
        return batch

    def of(self, kind: type, batch: list | None = None) -> list:
        """Return the effects of one kind."""
        return [one for one in (self.effects if batch is None else batch) if isinstance(one, kind)]

    def to_owner(self, kind: type) -> list:
        """Return the messages of one kind that went to an owner."""
        sent = [one.message for one in self.of(requests.SendToOwner)]
        return [one for one in sent if isinstance(one, kind)]

    def error(self) -> errors.FlamingorampError:
        """Return the error that the caller got."""
        (answer,) = self.of(requests.CallerError)
        return answer.error

    def end(self, result: requests.TransferResult, attempt: int = 1, length: int = 0) -> list:
        """End a transfer."""
        return self.send(requests.TransferEnd("r", attempt, result, "http://s1", length))

    def chunk(self, offset: int, text: str, attempt: int = 1) -> list:
        """Receive text."""
        return self.send(requests.TransferChunk("r", attempt, offset, text))


class TestStreams(DispatcherCase):
    """Each caller gets the whole of its own answer."""

    def setUp(self):
        super().setUp()
        self.send(requests.Submit(SPEC), GRANT)

    def text(self) -> str:
        return "".join(one.text for one in self.of(requests.CallerText))

    def test_whole_answer(self):
        self.chunk(0, "ab")
        self.chunk(2, "cd")
        self.end(requests.TransferResult.DONE, length=4)
        self.assertEqual(self.text(), "abcd")
        self.assertEqual(self.of(requests.CallerEnd)[0].text, "abcd")
        self.assertEqual([one.result for one in self.to_owner(messages.Release)], ["done"])

    def test_late_chunk_of_an_earlier_attempt_is_dropped(self):
        self.chunk(0, "ab")
        self.end(requests.TransferResult.GONE)
        self.tick(0.2)
        second = attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",))
        self.send(second)
        self.chunk(2, "XX", attempt=1)
        self.chunk(2, "cd", attempt=2)
        self.assertEqual(self.text(), "abcd")

    def test_repeated_and_overlapping_chunks(self):
        self.chunk(0, "ab")
        self.chunk(0, "ab")
        self.chunk(1, "bc")
        self.assertEqual(self.text(), "abc")

    def test_gap_resumes_at_the_offset(self):
        self.chunk(0, "ab")
        (resume,) = self.of(requests.StartResume, self.chunk(4, "ef"))
        self.assertEqual(resume.offset, 2)
        self.assertEqual(self.text(), "ab")

    def test_end_before_the_whole_answer_is_no_end(self):
        self.chunk(0, "ab")
        batch = self.end(requests.TransferResult.DONE, length=4)
        self.assertEqual(self.of(requests.CallerEnd), [])
        self.assertTrue(self.of(requests.StartResume, batch))

    def test_retry_continues_after_what_was_delivered(self):
        self.chunk(0, "ab")
        self.end(requests.TransferResult.GONE)
        self.tick(0.2)
        second = attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",))
        (start,) = self.of(requests.StartGenerate, self.send(second))
        self.assertEqual((start.offset, start.delivered), (2, "ab"))
        reserve = self.to_owner(messages.Reserve)[-1]
        self.assertEqual(reserve.excluded, ("s1",))

    def test_mute_server_is_not_resumed(self):
        batch = self.end(requests.TransferResult.SILENT)
        self.assertEqual(self.of(requests.StartResume, batch), [])
        self.assertEqual(self.to_owner(messages.Release)[-1].result, "silent")

    def test_vanished_caller_frees_the_engine(self):
        self.send(requests.CallerGone("r"))
        self.assertEqual(self.of(requests.CancelTransfer)[0].urls, ("http://s1",))
        self.assertEqual(self.to_owner(messages.Release)[-1].result, "cancelled")
        self.assertEqual(len(self.dispatcher), 0)


class TestOutcomes(DispatcherCase):
    """not_run, failed and outcome_unknown are true."""

    def test_refused_before_any_attempt(self):
        self.send(requests.Submit(SPEC), messages.Refuse("r", 1, "overloaded", "full", 2.5))
        self.assertEqual(self.error().outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.error().retry_after, 2.5)

    def test_refused_after_an_attempt_that_ran(self):
        self.send(requests.Submit(SPEC), GRANT)
        self.end(requests.TransferResult.GONE)
        self.tick(0.2)
        self.send(messages.Refuse("r", 2, "overloaded", "full", 2.5))
        self.assertEqual(self.error().outcome, errors.Outcome.FAILED)

    def test_group_whose_second_engine_refused_had_begun(self):
        group = attrs.evolve(
            GRANT, servers=("s0", "s1"), urls=("http://s0", "http://s1"), tokens=(50, 55)
        )
        self.send(requests.Submit(SPEC), group)
        self.end(requests.TransferResult.NOT_SENT)
        self.tick(0.2)
        self.send(messages.Refuse("r", 2, "overloaded", "full", 2.5))
        self.assertEqual(self.error().outcome, errors.Outcome.FAILED)

    def test_time_limit_while_waiting_and_while_running(self):
        for grants, outcome in (((), "not_run"), ((GRANT,), "failed")):
            with self.subTest(outcome):
                self.setUp()
                self.send(requests.Submit(SPEC), *grants)
                self.tick(SPEC.time_limit)
                self.assertEqual(self.error().code, errors.TimeLimitExceededError.code)
                self.assertEqual(self.error().outcome, outcome)

    def test_attempts_are_bounded(self):
        self.send(requests.Submit(SPEC))
        for attempt in range(1, dispatcher.MAX_ATTEMPTS + 1):
            self.send(attrs.evolve(GRANT, attempt=attempt))
            self.end(requests.TransferResult.NOT_SENT, attempt)
            self.tick(1.5)
        self.assertEqual(self.error().code, errors.BackendFailedError.code)
        self.assertEqual(self.error().outcome, errors.Outcome.NOT_RUN)

    def test_grant_that_slept_through_a_freeze_is_not_used(self):
        self.send(requests.Submit(SPEC))
        self.now += 5.0
        self.send(GRANT)
        self.assertEqual(self.of(requests.StartGenerate), [])
        self.assertEqual(self.to_owner(messages.Release)[-1].result, "not_sent")

    def test_unknown_grant_is_given_back(self):
        self.send(GRANT)
        self.assertEqual(self.to_owner(messages.Release)[-1].request_id, "r")

    def test_lost_messages_are_sent_again(self):
        self.send(requests.Submit(SPEC))
        self.tick(2.0)
        self.assertGreaterEqual(len(self.to_owner(messages.Reserve)), 3)


class TestNonIdempotent(DispatcherCase):
    """One dispatch after a committed claim, and none after it."""

    def claim(self, status: claims.ClaimStatus, **values) -> list:
        return self.send(messages.ClaimReply("r", status.value, **values))

    def settled(self) -> list[str]:
        sent = [one.message for one in self.of(requests.SendToControl)]
        return [one.outcome for one in sent if isinstance(one, messages.ClaimSettle)]

    def test_nothing_leaves_before_the_claim_is_committed(self):
        self.send(requests.Submit(HOLD))
        self.tick(3.0)
        self.assertEqual(self.to_owner(messages.Reserve), [])
        self.claim(claims.ClaimStatus.GRANTED)
        self.assertEqual(len(self.to_owner(messages.Reserve)), 1)

    def test_broken_attempt_is_never_repeated(self):
        for result in (requests.TransferResult.BROKEN, requests.TransferResult.SILENT):
            with self.subTest(result):
                self.setUp()
                self.send(requests.Submit(HOLD))
                self.claim(claims.ClaimStatus.GRANTED)
                self.send(GRANT)
                self.end(result)
                self.tick(3.0)
                self.assertEqual(len(self.of(requests.StartPlain)), 1)
                self.assertEqual(self.error().outcome, errors.Outcome.OUTCOME_UNKNOWN)
                self.assertEqual(self.settled(), ["outcome_unknown"])

    def test_attempt_that_never_left_may_go_elsewhere(self):
        self.send(requests.Submit(HOLD))
        self.claim(claims.ClaimStatus.GRANTED)
        self.send(GRANT)
        self.end(requests.TransferResult.NOT_SENT)
        self.tick(0.5)
        self.send(attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",)))
        self.assertEqual(len(self.of(requests.StartPlain)), 2)

    def test_refusal_frees_the_key(self):
        self.send(requests.Submit(HOLD))
        self.claim(claims.ClaimStatus.GRANTED)
        self.send(messages.Refuse("r", 1, "overloaded", "full", 1.0))
        self.assertEqual(self.settled(), ["not_run"])

    def test_recorded_answer_is_returned(self):
        self.send(requests.Submit(HOLD))
        self.claim(claims.ClaimStatus.RECORDED, http_status=201, body="kept")
        (answer,) = self.of(requests.CallerPlain)
        self.assertEqual((answer.status, answer.body), (201, b"kept"))

    def test_repeated_claims_are_not_sent(self):
        for status in claims.ClaimStatus:
            if status in (claims.ClaimStatus.GRANTED, claims.ClaimStatus.RECORDED):
                continue
            with self.subTest(status):
                self.setUp()
                self.send(requests.Submit(HOLD))
                self.claim(status)
                self.assertEqual(self.to_owner(messages.Reserve), [])
                self.assertEqual(len(self.of(requests.CallerError)), 1)

    def test_vanished_caller_does_not_stop_it(self):
        self.send(requests.Submit(HOLD))
        self.claim(claims.ClaimStatus.GRANTED)
        self.send(GRANT, requests.CallerGone("r"))
        self.assertEqual(self.of(requests.CancelTransfer), [])
        self.send(requests.TransferPlain("r", 1, 200, "", b"ok"))
        self.assertEqual(self.settled(), ["done"])


class TestRetryBudget(unittest.TestCase):
    """Retries stay a bounded share of requests."""

    def test_retries_against_requests(self):
        found = budget.RetryBudget()
        retries = 0
        for _ in range(1000):
            found.record_request("llm", 0.1)
            retries += found.try_spend("llm")
        self.assertLessEqual(retries, 1000 * 0.1 + budget.INITIAL_BALANCE_TOKENS)
        self.assertTrue(found.try_spend("other"))

    def test_backoff_grows_with_jitter(self):
        rng = random.Random(1)
        waits = [budget.backoff_seconds(attempt, rng) for attempt in range(2, 12)]
        self.assertLessEqual(max(waits), budget.MAX_BACKOFF_SECONDS)
        self.assertGreater(waits[4], waits[0])


class TestShards(DispatcherCase):
    """A shard that can't take a request is not the service's last word."""

    shards = 4

    def setUp(self):
        super().setUp()
        self.send(requests.Submit(SPEC))

    def refuse(self, code: str = "overloaded", retry_after: float = 2.0) -> None:
        (*_, asked) = self.to_owner(messages.Reserve)
        self.send(messages.Refuse("r", asked.attempt, code, "full", retry_after))

    def test_asks_another_shard(self):
        self.refuse()
        first, second = self.to_owner(messages.Reserve)
        self.assertNotEqual(first.shard, second.shard)
        self.assertEqual(self.of(requests.CallerError), [])

    def test_gives_up_at_once_after_a_few(self):
        self.refuse(retry_after=2.0)
        self.refuse(retry_after=1.0)
        self.refuse("prompt_too_long", retry_after=0.0)
        self.assertEqual(self.error().code, "overloaded")
        self.assertEqual(self.error().retry_after, 1.0)
        self.assertEqual(self.error().outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(len({one.shard for one in self.to_owner(messages.Reserve)}), 3)

    def test_workspace_over_its_quota_is_not_passed_on(self):
        self.refuse("quota_exceeded")
        self.assertEqual(self.error().code, "quota_exceeded")

    def test_late_grant_of_the_first_shard_is_given_back(self):
        self.refuse()
        self.send(GRANT)
        (release,) = self.to_owner(messages.Release)
        self.assertEqual((release.attempt, release.shard, release.result), (1, "llm/0", "not_sent"))
        self.assertEqual(self.of(requests.StartGenerate), [])

    def test_equal_contents_meet_in_one_shard(self):
        for number in range(20):
            self.send(requests.Submit(attrs.evolve(SPEC, request_id=f"s{number}")))
        self.assertEqual(len({one.shard for one in self.to_owner(messages.Reserve)}), 1)

    def test_removed_shard_is_left(self):
        (asked,) = self.to_owner(messages.Reserve)
        self.assertEqual(asked.shard, "llm/3")
        self.shards = 3
        self.tick(1.0)
        (*_, again) = self.to_owner(messages.Reserve)
        self.assertEqual(again.shard, "llm/0")
