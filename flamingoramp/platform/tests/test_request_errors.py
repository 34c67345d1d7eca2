"""End-to-end tests of unexpected errors of an entry in the handling of single requests."""

from __future__ import annotations

import time
from unittest import mock

from flamingoramp.daemons import node_process
from flamingoramp.dispatch import forwarding
from flamingoramp.http import client
from flamingoramp.platform import platform_dialect
from flamingoramp.platform.tests import fake_server, test_header_values

# More than the unexpected errors after which an entry ends.
REPEAT_COUNT = node_process.MAX_ERRORS + 5
MAX_ANSWER_SECONDS = 1.0
FAULTY_BODY = b"faulty"


def _find_body(argument: object) -> bytes:
    """Return the body of a request, or of the one that a forwarder or its dialect handles."""
    request = getattr(getattr(argument, "_exchange", argument), "request", argument)
    return getattr(request, "body", b"")


class TestErrorsOfOneRequest(test_header_values.HeaderValueCase):
    """Requests that fail by an error of the entry, beside those of other callers."""

    def fail_in(self, owner: object, name: str) -> None:
        """Let a method raise an error for each forwarder whose request has the faulty body."""
        original = getattr(owner, name)

        def _raise_if_faulty(*arguments, **options):
            if any(_find_body(argument) == FAULTY_BODY for argument in arguments):
                raise ZeroDivisionError
            return original(*arguments, **options)

        patch = mock.patch.object(owner, name, _raise_if_faulty)
        patch.start()
        self.addCleanup(patch.stop)

    def check_others_are_served(self, status: int, route: str = "stream") -> None:
        """Send faulty requests, each of which ends with a status, and sound ones between them."""
        for _ in range(REPEAT_COUNT):
            began_at = time.monotonic()
            answer = self.send(self.fleet, route, body=FAULTY_BODY)
            self.assertLess(time.monotonic() - began_at, MAX_ANSWER_SECONDS)
            self.assertEqual(answer.status, status)
            self.assertEqual(self.send(self.fleet, route).status, 200)
        self.assertTrue(self.fleet.entries[0].is_running)

    # Guards against an entry that ends, with the requests of all callers, since some requests of
    # one of them fail by its errors.
    def test_error_in_the_encoding_of_a_request(self):
        self.fail_in(platform_dialect.PlatformDialect, "encode_forwarded_request")
        self.check_others_are_served(500)

    def test_error_while_an_answer_arrives(self):
        for name in ("handle_head", "handle_complete"):
            with self.subTest(name):
                self.fail_in(forwarding.RequestForwarder, name)
                self.check_others_are_served(500, "hold")

    def test_error_after_the_answer_has_started(self):
        self.fail_in(forwarding.RequestForwarder, "_record_sound")
        self.check_others_are_served(0)

    def test_error_in_a_timer(self):
        self.engine.behaviour = fake_server.Behaviour(event_count=3, event_interval_seconds=0.2)
        self.fail_in(forwarding.RequestForwarder, "_replace_stalled")
        with (
            mock.patch.object(forwarding, "MIN_STALL_TIMEOUT_SECONDS", 0.05),
            mock.patch.object(forwarding, "STALL_TIMEOUT_RATIO", 0.05),
        ):
            self.check_others_are_served(0)

    def test_error_of_the_connection_to_a_server(self):
        self.fail_in(client.Pool, "send")
        self.check_others_are_served(500)
