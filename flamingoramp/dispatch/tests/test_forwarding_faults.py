"""Tests of `RequestForwarder` with servers that end, bytes without end, and peers."""

from __future__ import annotations

from unittest import mock

import attrs

from flamingoramp import errors
from flamingoramp.backends import event_blocks
from flamingoramp.dispatch import forwarding, memory_reservations, unreached_servers
from flamingoramp.dispatch.tests import test_forwarding
from flamingoramp.http import client
from flamingoramp.intent import traffic


class TestLongAnswers(test_forwarding.ForwardingCase):
    """Plain answers that are too long to be held back, and bytes without end."""

    PIECE = b"x" * 1024 * 1024

    def receive_pieces(self, count: int) -> None:
        for _ in range(count):
            self.calls[-1].receiver.handle_data(self.PIECE)

    def start_long_answer(self, route: traffic.Route = test_forwarding.PLAIN) -> None:
        self.start_request(route)
        length = b"%d" % (5 * len(self.PIECE))
        self.receive_head("answer", framing=((b"content-length", length),))

    def test_long_answer_with_a_length_is_relayed_as_it_arrives(self):
        self.start_long_answer()
        self.receive_pieces(2)
        self.assertFalse(self.exchange.has_started)
        self.receive_pieces(1)
        self.assertEqual(len(self.exchange.body), 3 * len(self.PIECE))
        self.receive_pieces(2)
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.exchange.body, 5 * self.PIECE)

    # Guards against answers that this process holds for callers who read slowly.
    def test_server_is_read_no_faster_than_the_caller_reads(self):
        self.start_long_answer()
        self.receive_pieces(3)
        self.assertFalse(self.calls[-1].paused)
        self.exchange.buffered_bytes = forwarding.MAX_RELAY_BUFFER_BYTES + 1
        self.receive_pieces(1)
        self.assertTrue(self.calls[-1].paused)
        self.exchange.buffered_bytes = 0
        self.exchange.on_drained()
        self.assertFalse(self.calls[-1].paused)
        self.receive_pieces(1)
        self.complete_answer()
        self.assert_ended(200)

    def test_answer_is_relayed_early_if_there_is_no_memory_to_hold_it(self):
        self.start_long_answer()
        self.receive_pieces(1)
        self.assertEqual(self.exchange.held_bytes, len(self.PIECE))
        self.exchange.on_shortage()
        self.receive_pieces(1)
        self.assertEqual(len(self.exchange.body), 2 * len(self.PIECE))
        self.assertEqual(self.exchange.held_bytes, 0)
        self.receive_pieces(3)
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.exchange.body, 5 * self.PIECE)

    # Guards against a server that counts as broken since this process has no memory.
    def test_answer_without_a_length_is_fetched_anew_if_it_was_given_up(self):
        self.start_request(test_forwarding.PLAIN)
        self.receive_head("answer")
        self.receive_pieces(2)
        self.exchange.on_shortage()
        self.assertEqual((len(self.calls), self.exchange.held_bytes), (2, 0))
        self.receive_head("answer")
        self.receive_pieces(1)
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.exchange.body, self.PIECE)
        self.assertEqual(self.context.failures, [])

    def test_event_that_is_given_up_is_fetched_from_another_server(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream")
        event = self.PIECE[: event_blocks.MAX_EVENT_BYTES // 2]
        self.calls[-1].receiver.handle_data(b"id: 1\ndata: " + event)
        self.assertGreater(self.exchange.held_bytes, len(event))
        self.exchange.on_shortage()
        self.assertEqual((len(self.calls), self.exchange.held_bytes), (2, 0))
        self.assertEqual(self.context.failures, [])

    def test_shortage_without_an_answer_held_back_changes_nothing(self):
        self.start_request(test_forwarding.PLAIN)
        self.exchange.on_shortage()
        self.receive_head("answer")
        self.exchange.on_shortage()
        self.receive_pieces(1)
        self.complete_answer()
        self.assert_ended(200)

    def test_what_a_failed_attempt_held_is_released(self):
        self.start_request(test_forwarding.PLAIN)
        self.receive_head("answer")
        self.receive_pieces(1)
        self.fail_call()
        self.assertEqual((len(self.calls), self.exchange.held_bytes), (2, 0))

    # Guards against a retry whose answer is appended to a part of another one.
    def test_relayed_answer_that_breaks_off_is_aborted(self):
        self.start_long_answer()
        self.receive_pieces(3)
        self.fail_call()
        self.assertEqual(len(self.calls), 1)
        self.assert_ended(200, "aborted")

    def test_bytes_without_end_are_given_up_for_another_server(self):
        self.start_request(test_forwarding.PLAIN)
        self.receive_head("answer")
        self.receive_pieces(3)
        self.assertEqual((self.calls[0].cancelled, len(self.calls)), (True, 2))
        self.assertEqual(self.context.failures, [("s1", False)])
        self.receive_head("answer")
        self.complete_answer()
        self.assert_ended(200)

    def test_bytes_without_end_fail_a_request_that_may_not_run_twice(self):
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.receive_head("answer")
        self.receive_pieces(3)
        self.assertTrue(self.calls[0].cancelled)
        self.assert_ended(502)

    def test_event_or_comments_without_end_are_resumed_at_another_server(self):
        for data in (b"data: " + self.PIECE, b":\n\n" * forwarding.MAX_COMMENT_BYTES):
            with self.subTest(data=data[:6]):
                self.setUp()
                self.start_request(test_forwarding.STREAM)
                self.receive_head("stream")
                self.receive_events(1)
                self.calls[0].receiver.handle_data(data)
                self.assertEqual((self.calls[0].cancelled, len(self.calls)), (True, 2))
                self.assertEqual(self.calls[1].request.header(b"resume"), b"1")


class TestServersThatEnd(test_forwarding.ForwardingCase):
    """What an answer tells of a content that may crash servers."""

    def test_complete_answer_is_sound(self):
        for route in (test_forwarding.PLAIN, test_forwarding.STREAM):
            with self.subTest(route=route.name):
                self.setUp()
                self.start_request(route)
                self.receive_head("stream" if route.streams else "answer")
                self.receive_events(1)
                self.complete_answer()
                self.assertEqual((self.context.sound_count, self.context.failures), (1, []))

    # Guards against a server that ends between two events and whose content is taken for sound.
    def test_answer_that_ends_with_its_connection_is_no_evidence(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream", framing=())
        self.receive_events(1)
        self.complete_answer()
        self.assertEqual((self.context.sound_count, self.context.failures), (0, []))

    # Guards against servers whose end isn't noticed since their answers have no length.
    def test_stream_that_ends_with_its_connection_inside_an_event_is_broken_off(self):
        for data in (b"", b"id: 1\ndata: x"):
            with self.subTest(data=data):
                self.setUp()
                self.start_request(test_forwarding.STREAM)
                self.receive_head("stream", framing=())
                self.calls[0].receiver.handle_data(data)
                self.complete_answer()
                self.assertEqual(self.context.failures, [("s1", True)])
                self.assertEqual(len(self.calls), 2)


class TestServersThatCannotBeConnectedTo(test_forwarding.ForwardingCase):
    """Servers of a zone that ended together, while the others are sound."""

    def setUp(self):
        super().setUp()
        self.context.servers = [*(f"dark{number}" for number in range(8)), "sound"]
        self.context.zones = {name: name.rstrip("01234567") for name in self.context.servers}

    def fail_connections(self, count: int) -> None:
        for _ in range(count):
            self.fail_call(client.Failure.NOT_CONNECTED, may_have_run=False)

    # Guards against refusals while the servers of all other zones have room.
    def test_request_reaches_another_zone_after_two_failed_connections(self):
        for route in (test_forwarding.PLAIN, test_forwarding.STREAM):
            with self.subTest(route=route.name):
                self.setUp()
                self.start_request(route)
                self.fail_connections(2)
                self.assertEqual(self.calls[-1].address, "sound:1")
                self.receive_head("stream" if route.streams else "answer")
                self.receive_events(1)
                self.complete_answer()
                self.assert_ended(200)

    def test_failed_connections_spend_no_retry_allowance(self):
        self.context.retries_left = 0
        self.start_request(test_forwarding.PLAIN)
        self.fail_connections(2)
        self.assertEqual(self.calls[-1].address, "sound:1")
        self.fail_call()
        self.assert_ended(502)

    def test_attempts_that_reach_a_server_stay_limited(self):
        self.context.servers.append("sound2")
        self.context.servers.append("sound3")
        self.start_request(test_forwarding.PLAIN)
        self.fail_connections(2)
        self.fail_call()
        self.fail_call()
        self.assertEqual([call.address for call in self.calls[2:]], ["sound:1", "sound2:1"])
        self.assert_ended(502)

    def test_avoided_zone_is_tried_if_no_other_is_left(self):
        self.context.servers.remove("sound")
        self.start_request(test_forwarding.PLAIN)
        self.fail_connections(2)
        self.receive_head("answer")
        self.complete_answer()
        self.assert_ended(200)

    def test_failed_connections_are_bounded(self):
        self.context.zones = {}
        self.start_request(test_forwarding.PLAIN)
        self.fail_connections(unreached_servers.MAX_COUNT)
        self.assertEqual(len(self.calls), unreached_servers.MAX_COUNT)
        self.assert_ended(503)


class TestEntryThatReachesNoServer(test_forwarding.ForwardingCase):
    """Requests that are passed on to other entries."""

    def setUp(self):
        super().setUp()
        self.context.is_cut_off = True

    @property
    def calls(self) -> list[test_forwarding.FakeCall]:
        return self.context.peer_pool.calls

    def used_attempts(self) -> list[bytes | None]:
        return [call.request.header(b"used") for call in self.calls]

    def test_passes_a_request_on_with_the_time_that_is_left(self):
        self.start_request(test_forwarding.PLAIN, time_limit_seconds=1.0)
        self.assertEqual((len(self.calls), len(self.context.pool.calls)), (1, 0))
        self.assertEqual(self.calls[0].request.header(b"time-left"), b"1000")
        self.receive_head("answer", 404)
        self.complete_answer()
        self.assert_ended(404)

    def test_relays_a_stream_as_it_arrives(self):
        self.start_request(test_forwarding.STREAM)
        self.receive_head("stream")
        self.receive_events(1)
        self.assertIn(b"id: 1", self.exchange.body)
        self.receive_events(2)
        self.complete_answer()
        self.assert_ended(200)

    # Guards against evidence for a content that is taken from an entry's own refusal or failure.
    def test_answer_of_another_entry_is_no_evidence_for_a_content(self):
        self.start_request(test_forwarding.PLAIN)
        self.receive_head("answer", 502)
        self.complete_answer()
        self.assert_ended(502)
        self.assertEqual((self.context.sound_count, len(self.calls)), (0, 1))

    def test_refused_request_goes_to_a_second_entry_and_is_then_refused(self):
        for route in (test_forwarding.PLAIN, test_forwarding.NON_IDEMPOTENT):
            with self.subTest(route=route.name):
                self.setUp()
                self.start_request(route)
                self.receive_head("not_run", 503)
                self.receive_head("not_run", 503)
                self.assertEqual(self.used_attempts(), [b"0", b"0"])
                self.assert_ended(errors.OverloadedError.status)

    # Guards against a request that runs twice, by a second entry that it is passed on to.
    def test_request_that_may_have_run_is_not_passed_on_again(self):
        for failure in client.Failure:
            with self.subTest(failure):
                self.setUp()
                self.start_request(test_forwarding.NON_IDEMPOTENT)
                self.assertTrue(self.calls[0].new_connection)
                self.fail_call(failure, may_have_run=True)
                self.assertEqual(len(self.calls), 1)
                self.assert_ended(502)

    def test_entry_that_was_not_reached_is_replaced_without_allowance(self):
        self.context.retries_left = 0
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.fail_call(client.Failure.NOT_CONNECTED, may_have_run=False)
        self.assertEqual(self.used_attempts(), [b"0", b"0"])

    def test_other_entries_get_the_attempts_that_are_left(self):
        self.context.is_cut_off = False
        self.start_request(test_forwarding.PLAIN)
        self.context.is_cut_off = True
        self.context.pool.calls[0].receiver.handle_failure(client.Failure.RESET, may_have_run=True)
        self.assertEqual(self.used_attempts(), [b"1"])
        self.fail_call()
        self.assertEqual(len(self.calls), 1)
        self.assert_ended(502)

    def test_attempts_that_reached_no_server_are_left_to_other_entries(self):
        self.context.is_cut_off = False
        self.start_request(test_forwarding.NON_IDEMPOTENT)
        self.context.is_cut_off = True
        self.context.pool.calls[0].receiver.handle_failure(
            client.Failure.TIMED_OUT, may_have_run=False
        )
        self.assertEqual(self.used_attempts(), [b"0"])

    def test_stream_is_resumed_through_another_entry(self):
        self.context.is_cut_off = False
        self.start_request(test_forwarding.STREAM)
        server_call = self.context.pool.calls[0]
        head = client.Head(200, (*test_forwarding.REQUEST_ID_HEADERS, (b"answer-kind", b"stream")))
        server_call.receiver.handle_head(head)
        server_call.receiver.handle_data(b"id: 1\ndata: x\n\n")
        self.context.is_cut_off = True
        server_call.receiver.handle_failure(client.Failure.RESET, may_have_run=True)
        self.assertEqual(self.calls[0].request.header(b"resume"), b"1")
        self.receive_head("stream")
        self.receive_events(2)
        self.complete_answer()
        self.assert_ended(200)
        self.assertEqual(self.exchange.body, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n")

    def test_caller_that_leaves_cancels_the_request_at_the_other_entry(self):
        self.start_request(test_forwarding.STREAM)
        self.exchange.on_disconnect()
        self.assertTrue(self.calls[0].cancelled)

    def test_time_limit_ends_a_request_that_was_passed_on(self):
        self.start_request(test_forwarding.NON_IDEMPOTENT, time_limit_seconds=1.0)
        self.context.loop.advance(1.1)
        self.assertTrue(self.calls[0].cancelled)
        self.assert_ended(504)

    # Guards against more servers than the route permits, counted over both entries.
    def test_request_from_another_entry_counts_its_attempts(self):
        self.context.is_cut_off = False
        self.start_request(test_forwarding.PLAIN, attempts_used=1)
        self.context.pool.calls[0].receiver.handle_failure(client.Failure.RESET, may_have_run=True)
        self.assertEqual(len(self.context.pool.calls), 1)
        self.assert_ended(502)


class TestUnexpectedErrors(test_forwarding.ForwardingCase):
    """Errors of this program in a callback of one request: timers, connections, the caller's."""

    def setUp(self):
        super().setUp()
        self.errors: list[Exception] = []
        self.ended: list[forwarding.RequestForwarder] = []
        self.context.record_error = self.errors.append

    def fail_in(self, owner: object, name: str) -> None:
        """Let a function raise an error from now on."""
        patch = mock.patch.object(owner, name, side_effect=ZeroDivisionError)
        patch.start()
        self.addCleanup(patch.stop)

    def assert_failed(self, status: int = 500, end_state: str = "finished") -> None:
        self.assertEqual([type(error) for error in self.errors], [ZeroDivisionError])
        self.assert_ended(status, end_state)
        self.assertEqual(self.context.outcomes[0][0], "failed")
        self.context.loop.advance(30.0)
        self.assertEqual((len(self.errors), len(self.context.outcomes)), (1, 1))

    # Guards against requests that stay without an answer, and against errors that end the process
    # with the requests of all other callers.
    def test_error_in_the_first_send_ends_the_request(self):
        for route in (test_forwarding.PLAIN, test_forwarding.STREAM):
            with self.subTest(route=route.name):
                self.setUp()
                self.fail_in(self.context.dialect, "encode_forwarded_request")
                self.start_request(route)
                self.assert_failed()

    def test_error_in_a_send_after_a_wait_ends_the_request(self):
        for attribute, value in (("awaits_zone_update", True), ("settle_seconds", 0.01)):
            with self.subTest(attribute):
                self.setUp()
                setattr(self.context, attribute, value)
                self.start_request(test_forwarding.STREAM)
                self.context.awaits_zone_update = False
                self.fail_in(self.context.pool, "send")
                self.context.loop.advance(0.05)
                self.assert_failed()

    def test_error_in_a_retry_ends_the_request(self):
        self.start_request(test_forwarding.STREAM)
        self.fail_in(self.context.pool, "send")
        self.fail_call()
        self.assert_failed()

    def test_error_in_a_check_for_stalls_ends_the_request(self):
        for name in ("is_unresponsive", "has_backlog"):
            with self.subTest(name):
                self.setUp()
                self.start_request(test_forwarding.STREAM)
                self.fail_in(self.context, name)
                self.context.loop.advance(5.0)
                self.assertTrue(self.calls[0].cancelled)
                self.assert_failed()

    def test_error_in_an_answer_ends_the_request(self):
        for name in ("decode_answer_head",):
            with self.subTest(name):
                self.setUp()
                self.start_request(test_forwarding.PLAIN)
                self.fail_in(self.context.dialect, name)
                self.receive_head("answer")
                self.assertTrue(self.calls[0].cancelled)
                self.assert_failed()

    # Guards against a caller that takes a part of an answer for the whole.
    def test_error_after_the_answer_has_started_aborts_it(self):
        for name in ("record_event_gaps", "record_sound", "record_answer"):
            with self.subTest(name):
                self.setUp()
                self.start_request(test_forwarding.STREAM)
                self.receive_head("stream")
                self.receive_events(1, 2, 3)
                self.fail_in(self.context, name)
                self.complete_answer()
                self.assert_failed(200, "aborted")

    def test_error_when_the_caller_has_gone_ends_nothing_else(self):
        self.start_request(test_forwarding.STREAM)
        self.fail_in(self.context.server_loads, "remove")
        self.exchange.on_disconnect()
        self.assertTrue(self.calls[0].cancelled)
        self.assertEqual(len(self.errors), 1)

    # Guards against memory that stays reserved at engines for a request that has failed.
    def test_error_in_the_release_of_the_load_releases_the_memory(self):
        self.context.helpers = ("h1",)
        with (
            mock.patch.object(memory_reservations, "make_holds", return_value=()),
            mock.patch.object(memory_reservations.MemoryReservation, "release") as release,
        ):
            target = self.context.choose_target(None, set())
            self.context.choose_target = lambda *_arguments: attrs.evolve(target, held_tokens=(9,))
            self.start_request(test_forwarding.STREAM)
            self.fail_in(self.context.server_loads, "remove")
            self.exchange.on_disconnect()
            release.assert_called_once()

    def test_error_in_the_report_of_the_end_is_recorded(self):
        self.start_request(test_forwarding.PLAIN)
        self.receive_head("answer")
        self.fail_in(self.context, "record_end")
        self.complete_answer()
        self.assertEqual((self.exchange.status, self.exchange.end_state), (200, "finished"))
        self.assertEqual(len(self.errors), 1)
