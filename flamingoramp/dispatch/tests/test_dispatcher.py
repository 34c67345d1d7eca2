"""Tests of the dispatcher: streams, outcomes, claims, retries and shards."""

from __future__ import annotations

import random
import unittest

import attrs

from flamingoramp import errors
from flamingoramp.dispatch import budget, claims, dispatcher, requests
from flamingoramp.protocol import shard_messages

STREAM_SPEC = requests.RequestSpec(
    "r", requests.RequestKind.COMPLETION, "w", "llm", model="m", prompt="p", prompt_tokens=100,
    output_tokens=5, time_limit_seconds=10.0, fingerprint="f", streams=True,
)  # fmt: skip
PLAIN_SPEC = attrs.evolve(
    STREAM_SPEC,
    kind=requests.RequestKind.PLAIN,
    idempotent=False,
    key="k",
    streams=False,
    call=requests.PlainCall("POST", "holds"),
)
GRANT = shard_messages.Grant("r", 1, "llm/0", 1, ("s1",), ("http://s1",), (105,))


class DispatcherCase(unittest.TestCase):
    """Base of tests with one dispatcher, whose effects are collected in `effects`."""

    shard_count = 1

    def setUp(self):
        self.now = 100.0
        self.suspects: set[str] = set()
        self.dispatcher = dispatcher.Dispatcher(
            entry="e",
            address="e:1",
            zone="z",
            rng=random.Random(1),
            owner_generation=lambda _shard: 1,
            shard_count=lambda _service: self.shard_count,
            retry_ratio=lambda: 0.2,
            is_suspect=lambda _service, fingerprint: fingerprint in self.suspects,
        )
        self.effects: list = []
        self.tick()

    def send(self, *sent) -> list:
        """Process messages and return the effects of the last one."""
        for message in sent:
            batch = self.dispatcher.handle(message, self.now)
            self.effects += batch
        return batch

    def tick(self, seconds: float = 0.0) -> list:
        """Advance the clock in steps of 0.1 s with a tick at each, and return all effects."""
        batch = []
        end = self.now + seconds
        while True:
            batch += self.dispatcher.tick(self.now)
            if self.now >= end:
                break
            self.now = min(end, self.now + 0.1)
        self.effects += batch
        return batch

    def effects_of(self, effect_type: type, batch: list | None = None) -> list:
        """Return the effects of a type, of all effects or of a batch."""
        return [
            effect
            for effect in (self.effects if batch is None else batch)
            if isinstance(effect, effect_type)
        ]

    def sent_to_owner(self, message_type: type) -> list:
        """Return the messages of a type that were sent to owners of shards."""
        sent = [effect.message for effect in self.effects_of(requests.SendToOwner)]
        return [message for message in sent if isinstance(message, message_type)]

    def caller_error(self) -> errors.FlamingorampError:
        """Return the error sent to the caller; there must be exactly one."""
        (effect,) = self.effects_of(requests.CallerError)
        return effect.error

    def end_transfer(
        self, result: requests.TransferResult, attempt: int = 1, length: int = 0
    ) -> list:
        """Process the end of a transfer from the server s1."""
        return self.send(requests.TransferEnd("r", attempt, result, "http://s1", length))

    def receive_chunk(self, offset: int, text: str, attempt: int = 1) -> list:
        """Process generated text at an offset."""
        return self.send(requests.TransferChunk("r", attempt, offset, text))


class TestStreams(DispatcherCase):
    """Each caller gets the complete output of its own request, without gaps or repetitions."""

    def setUp(self):
        super().setUp()
        self.send(requests.Submit(STREAM_SPEC), GRANT)

    def caller_text(self) -> str:
        return "".join(effect.text for effect in self.effects_of(requests.CallerText))

    def test_consecutive_chunks_give_complete_output(self):
        self.receive_chunk(0, "ab")
        self.receive_chunk(2, "cd")
        self.end_transfer(requests.TransferResult.DONE, length=4)
        self.assertEqual(self.caller_text(), "abcd")
        self.assertEqual(self.effects_of(requests.CallerEnd)[0].text, "abcd")
        self.assertEqual(
            [release.result for release in self.sent_to_owner(shard_messages.Release)], ["done"]
        )

    def test_late_chunk_of_earlier_attempt_is_dropped(self):
        self.receive_chunk(0, "ab")
        self.end_transfer(requests.TransferResult.GONE)
        self.tick(0.2)
        second_grant = attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",))
        self.send(second_grant)
        self.receive_chunk(2, "XX", attempt=1)
        self.receive_chunk(2, "cd", attempt=2)
        self.assertEqual(self.caller_text(), "abcd")

    def test_repeated_and_overlapping_chunks_are_delivered_once(self):
        self.receive_chunk(0, "ab")
        self.receive_chunk(0, "ab")
        self.receive_chunk(1, "bc")
        self.assertEqual(self.caller_text(), "abc")

    def test_gap_resumes_stream_at_delivered_offset(self):
        self.receive_chunk(0, "ab")
        (resume,) = self.effects_of(requests.StartResume, self.receive_chunk(4, "ef"))
        self.assertEqual(resume.offset, 2)
        self.assertEqual(self.caller_text(), "ab")

    def test_done_with_missing_text_resumes_stream(self):
        self.receive_chunk(0, "ab")
        batch = self.end_transfer(requests.TransferResult.DONE, length=4)
        self.assertEqual(self.effects_of(requests.CallerEnd), [])
        self.assertTrue(self.effects_of(requests.StartResume, batch))

    def test_retry_continues_after_delivered_text(self):
        self.receive_chunk(0, "ab")
        self.end_transfer(requests.TransferResult.GONE)
        self.tick(0.2)
        second_grant = attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",))
        (start,) = self.effects_of(requests.StartGenerate, self.send(second_grant))
        self.assertEqual((start.offset, start.delivered_text), (2, "ab"))
        reserve = self.sent_to_owner(shard_messages.Reserve)[-1]
        self.assertEqual(reserve.excluded, ("s1",))

    def test_silent_server_without_output_is_not_resumed(self):
        batch = self.end_transfer(requests.TransferResult.SILENT)
        self.assertEqual(self.effects_of(requests.StartResume, batch), [])
        self.assertEqual(self.sent_to_owner(shard_messages.Release)[-1].result, "silent")

    def test_caller_disconnect_cancels_attempt_and_releases_reservation(self):
        self.send(requests.CallerDisconnected("r"))
        self.assertEqual(self.effects_of(requests.CancelTransfer)[0].urls, ("http://s1",))
        self.assertEqual(self.sent_to_owner(shard_messages.Release)[-1].result, "cancelled")
        self.assertEqual(len(self.dispatcher), 0)


class TestOutcomes(DispatcherCase):
    """An error's outcome says whether the request may have run."""

    def test_refusal_before_any_attempt_is_not_run(self):
        self.send(
            requests.Submit(STREAM_SPEC), shard_messages.Refuse("r", 1, "overloaded", "full", 2.5)
        )
        self.assertEqual(self.caller_error().outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.caller_error().retry_after, 2.5)

    def test_refusal_after_started_attempt_is_failed(self):
        self.send(requests.Submit(STREAM_SPEC), GRANT)
        self.end_transfer(requests.TransferResult.GONE)
        self.tick(0.2)
        self.send(shard_messages.Refuse("r", 2, "overloaded", "full", 2.5))
        self.assertEqual(self.caller_error().outcome, errors.Outcome.FAILED)

    def test_refusal_after_group_processed_a_segment_is_failed(self):
        group = attrs.evolve(
            GRANT, servers=("s0", "s1"), urls=("http://s0", "http://s1"), tokens=(50, 55)
        )
        self.send(requests.Submit(STREAM_SPEC), group)
        self.end_transfer(requests.TransferResult.NOT_SENT)
        self.tick(0.2)
        self.send(shard_messages.Refuse("r", 2, "overloaded", "full", 2.5))
        self.assertEqual(self.caller_error().outcome, errors.Outcome.FAILED)

    def test_time_limit_is_not_run_while_waiting_and_failed_while_running(self):
        for grants, outcome in (((), "not_run"), ((GRANT,), "failed")):
            with self.subTest(outcome):
                self.setUp()
                self.send(requests.Submit(STREAM_SPEC), *grants)
                self.tick(STREAM_SPEC.time_limit_seconds)
                self.assertEqual(self.caller_error().code, errors.TimeLimitExceededError.code)
                self.assertEqual(self.caller_error().outcome, outcome)

    def test_request_fails_after_max_attempts(self):
        self.send(requests.Submit(STREAM_SPEC))
        for attempt in range(1, dispatcher.MAX_ATTEMPTS + 1):
            self.send(attrs.evolve(GRANT, attempt=attempt))
            self.end_transfer(requests.TransferResult.NOT_SENT, attempt)
            self.tick(1.5)
        self.assertEqual(self.caller_error().code, errors.BackendFailedError.code)
        self.assertEqual(self.caller_error().outcome, errors.Outcome.NOT_RUN)

    def test_grant_received_after_suspension_is_released(self):
        self.send(requests.Submit(STREAM_SPEC))
        self.now += 5.0
        self.send(GRANT)
        self.assertEqual(self.effects_of(requests.StartGenerate), [])
        self.assertEqual(self.sent_to_owner(shard_messages.Release)[-1].result, "not_sent")

    def test_grant_for_unknown_request_is_released(self):
        self.send(GRANT)
        self.assertEqual(self.sent_to_owner(shard_messages.Release)[-1].request_id, "r")

    def test_unanswered_reserve_is_resent(self):
        self.send(requests.Submit(STREAM_SPEC))
        self.tick(2.0)
        self.assertGreaterEqual(len(self.sent_to_owner(shard_messages.Reserve)), 3)


class TestNonIdempotent(DispatcherCase):
    """A non-idempotent request starts once, after its claim is committed, and never again."""

    def reply_to_claim(self, status: claims.ClaimStatus, **values) -> list:
        return self.send(shard_messages.ClaimReply("r", status.value, **values))

    def recorded_outcomes(self) -> list[str]:
        sent = [effect.message for effect in self.effects_of(requests.SendToControl)]
        return [
            message.outcome for message in sent if isinstance(message, shard_messages.ClaimSettle)
        ]

    def test_reserve_is_sent_only_after_claim_is_granted(self):
        self.send(requests.Submit(PLAIN_SPEC))
        self.tick(3.0)
        self.assertEqual(self.sent_to_owner(shard_messages.Reserve), [])
        self.reply_to_claim(claims.ClaimStatus.GRANTED)
        self.assertEqual(len(self.sent_to_owner(shard_messages.Reserve)), 1)

    def test_failed_attempt_is_not_retried_and_outcome_is_unknown(self):
        for result in (requests.TransferResult.BROKEN, requests.TransferResult.SILENT):
            with self.subTest(result):
                self.setUp()
                self.send(requests.Submit(PLAIN_SPEC))
                self.reply_to_claim(claims.ClaimStatus.GRANTED)
                self.send(GRANT)
                self.end_transfer(result)
                self.tick(3.0)
                self.assertEqual(len(self.effects_of(requests.StartPlain)), 1)
                self.assertEqual(self.caller_error().outcome, errors.Outcome.OUTCOME_UNKNOWN)
                self.assertEqual(self.recorded_outcomes(), ["outcome_unknown"])

    def test_attempt_that_was_not_sent_is_retried_on_another_server(self):
        self.send(requests.Submit(PLAIN_SPEC))
        self.reply_to_claim(claims.ClaimStatus.GRANTED)
        self.send(GRANT)
        self.end_transfer(requests.TransferResult.NOT_SENT)
        self.tick(0.5)
        self.send(attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",)))
        self.assertEqual(len(self.effects_of(requests.StartPlain)), 2)

    def test_refusal_records_not_run_for_the_key(self):
        self.send(requests.Submit(PLAIN_SPEC))
        self.reply_to_claim(claims.ClaimStatus.GRANTED)
        self.send(shard_messages.Refuse("r", 1, "overloaded", "full", 1.0))
        self.assertEqual(self.recorded_outcomes(), ["not_run"])

    def test_recorded_response_is_returned(self):
        self.send(requests.Submit(PLAIN_SPEC))
        self.reply_to_claim(claims.ClaimStatus.RECORDED, http_status=201, body="recorded")
        (answer,) = self.effects_of(requests.CallerPlain)
        self.assertEqual((answer.status, answer.body), (201, b"recorded"))

    def test_request_with_refused_claim_fails_without_reserve(self):
        for status in claims.ClaimStatus:
            if status in (claims.ClaimStatus.GRANTED, claims.ClaimStatus.RECORDED):
                continue
            with self.subTest(status):
                self.setUp()
                self.send(requests.Submit(PLAIN_SPEC))
                self.reply_to_claim(status)
                self.assertEqual(self.sent_to_owner(shard_messages.Reserve), [])
                self.assertEqual(len(self.effects_of(requests.CallerError)), 1)

    def test_caller_disconnect_does_not_cancel_running_request(self):
        self.send(requests.Submit(PLAIN_SPEC))
        self.reply_to_claim(claims.ClaimStatus.GRANTED)
        self.send(GRANT, requests.CallerDisconnected("r"))
        self.assertEqual(self.effects_of(requests.CancelTransfer), [])
        self.send(requests.PlainResponse("r", 1, 200, "", b"ok"))
        self.assertEqual(self.recorded_outcomes(), ["done"])


class TestFailedServers(DispatcherCase):
    """The server that failed an attempt isn't blamed for the next one."""

    def test_gap_in_the_second_attempt_is_reported_for_its_own_server(self):
        self.send(requests.Submit(STREAM_SPEC), GRANT)
        self.end_transfer(requests.TransferResult.REJECTED)
        self.tick(1.0)
        self.send(attrs.evolve(GRANT, attempt=2, servers=("s2",), urls=("http://s2",)))
        for _ in range(dispatcher.MAX_RESUMES + 1):
            self.receive_chunk(10, "late", attempt=2)
        releases = self.sent_to_owner(shard_messages.Release)
        self.assertEqual([release.server for release in releases], ["s1", "s2"])


class TestLeavingGroupMember(DispatcherCase):
    """A group's member that leaves before its turn is sent no segment."""

    group = attrs.evolve(
        GRANT,
        servers=("s1", "s2", "s3"),
        urls=("http://s1", "http://s2", "http://s3"),
        tokens=(40, 40, 25),
    )

    def setUp(self):
        super().setUp()
        self.send(requests.Submit(STREAM_SPEC), self.group, requests.MemberStarted("r", 1, 1))

    def send_notice(self, server: str, attempt: int = 1) -> None:
        self.send(shard_messages.ServerLeaving("r", attempt, "llm/0", server))

    def test_member_that_has_not_started_ends_the_attempt(self):
        self.send_notice("s3")
        (cancel,) = self.effects_of(requests.CancelTransfer)
        self.assertEqual(cancel.urls, self.group.urls)
        (release,) = self.sent_to_owner(shard_messages.Release)
        self.assertEqual((release.attempt, release.result), (1, "cancelled"))
        self.tick(1.0)
        latest = self.sent_to_owner(shard_messages.Reserve)[-1]
        self.assertEqual((latest.attempt, latest.excluded), (2, ("s3",)))

    def test_members_that_have_started_go_on(self):
        for server in ("s1", "s2", "other"):
            self.send_notice(server)
        self.assertEqual(self.effects_of(requests.CancelTransfer), [])

    def test_notice_of_an_earlier_attempt_is_ignored(self):
        self.send_notice("s3", attempt=0)
        self.assertEqual(self.effects_of(requests.CancelTransfer), [])

    def test_refusal_after_a_withdrawn_attempt_does_not_say_not_run(self):
        self.send_notice("s3")
        self.tick(1.0)
        self.send(shard_messages.Refuse("r", 2, "overloaded", "full", 1.0))
        self.assertEqual(self.caller_error().outcome, errors.Outcome.FAILED)


class TestRetryBudget(unittest.TestCase):
    """Retries stay below a fixed ratio to requests, and their backoff has a maximum."""

    def test_retries_stay_below_ratio_of_requests(self):
        retry_budget = budget.RetryBudget()
        retries = 0
        for _ in range(1000):
            retry_budget.record_request("llm", 0.1)
            retries += retry_budget.try_spend("llm")
        self.assertLessEqual(retries, 1000 * 0.1 + budget.INITIAL_BALANCE_TOKENS)
        self.assertTrue(retry_budget.try_spend("other"))

    def test_backoff_grows_up_to_its_limit(self):
        rng = random.Random(1)
        waits = [budget.backoff_seconds(attempt, rng) for attempt in range(2, 12)]
        self.assertLessEqual(max(waits), budget.MAX_BACKOFF_SECONDS)
        self.assertGreater(waits[4], waits[0])


class TestShards(DispatcherCase):
    """A request that a shard refuses is sent to other shards, up to `shards.MAX_SHARDS_TRIED`."""

    shard_count = 4

    def setUp(self):
        super().setUp()
        self.send(requests.Submit(STREAM_SPEC))

    def refuse(self, code: str = "overloaded", retry_after: float = 2.0) -> None:
        (*_, reserve) = self.sent_to_owner(shard_messages.Reserve)
        self.send(shard_messages.Refuse("r", reserve.attempt, code, "full", retry_after))

    def test_refused_request_is_sent_to_another_shard(self):
        self.refuse()
        first, second = self.sent_to_owner(shard_messages.Reserve)
        self.assertNotEqual(first.shard, second.shard)
        self.assertEqual(self.effects_of(requests.CallerError), [])

    def test_third_refusal_fails_request_with_earliest_retry(self):
        self.refuse(retry_after=2.0)
        self.refuse(retry_after=1.0)
        self.refuse("prompt_too_long", retry_after=0.0)
        self.assertEqual(self.caller_error().code, "overloaded")
        self.assertEqual(self.caller_error().retry_after, 1.0)
        self.assertEqual(self.caller_error().outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(
            len({reserve.shard for reserve in self.sent_to_owner(shard_messages.Reserve)}), 3
        )

    # Guards against a content that crashes engines and is run by two shards at once.
    def test_refused_request_with_suspect_content_is_sent_to_no_other_shard(self):
        self.suspects.add(STREAM_SPEC.fingerprint)
        self.refuse("no_backend")
        self.assertEqual(len(self.sent_to_owner(shard_messages.Reserve)), 1)
        self.assertEqual(self.caller_error().code, "no_backend")

    def test_quota_refusal_fails_request_without_another_shard(self):
        self.refuse("quota_exceeded")
        self.assertEqual(self.caller_error().code, "quota_exceeded")

    def test_late_grant_of_first_shard_is_released(self):
        self.refuse()
        self.send(GRANT)
        (release,) = self.sent_to_owner(shard_messages.Release)
        self.assertEqual((release.attempt, release.shard, release.result), (1, "llm/0", "not_sent"))
        self.assertEqual(self.effects_of(requests.StartGenerate), [])

    def test_requests_with_equal_content_ask_the_same_shard(self):
        for number in range(20):
            self.send(requests.Submit(attrs.evolve(STREAM_SPEC, request_id=f"s{number}")))
        self.assertEqual(
            len({reserve.shard for reserve in self.sent_to_owner(shard_messages.Reserve)}), 1
        )

    def test_request_moves_off_removed_shard(self):
        (first,) = self.sent_to_owner(shard_messages.Reserve)
        self.assertEqual(first.shard, "llm/3")
        self.shard_count = 3
        self.tick(1.0)
        (*_, latest) = self.sent_to_owner(shard_messages.Reserve)
        self.assertEqual(latest.shard, "llm/0")
