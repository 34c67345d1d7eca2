"""Tests of decoding calls and requests, and of encoding errors."""

from __future__ import annotations

import json
import unittest
from unittest import mock

from flamingoramp import dialect, errors, json_documents
from flamingoramp.http import messages
from flamingoramp.platform import platform_dialect
from flamingoramp.platform.tests import test_backends, test_declarations


class TestControlCalls(unittest.TestCase):
    """Decoding of calls to a control host."""

    def decode(self, method: bytes, target: bytes, body: bytes = b"") -> dialect.ControlCall:
        return platform_dialect.PlatformDialect().decode_control_call(
            messages.Request(method, target, (), body)
        )

    def test_put_and_get_of_declaration_are_decoded(self):
        document = json.dumps(test_declarations.make_document()).encode()
        expected = dialect.SubmitDeclaration(7, document)
        self.assertEqual(self.decode(b"PUT", b"/v1/config", document), expected)
        self.assertEqual(self.decode(b"GET", b"/v1/config"), dialect.ReadDeclaration())

    def test_declaration_of_a_put_is_split_and_decoded_once(self):
        document = json.dumps(test_declarations.make_document()).encode()
        implementation = platform_dialect.PlatformDialect()
        request = messages.Request(b"PUT", b"/v1/config", (), document)
        with mock.patch.object(
            json_documents, "split_object", wraps=json_documents.split_object
        ) as split_object:
            call = implementation.decode_control_call(request)
            declaration = implementation.decode_declaration(call.document)
        split_object.assert_called_once()
        self.assertEqual(declaration.version, 7)

    def test_put_and_delete_of_server_are_decoded(self):
        body = json.dumps(test_backends.ANNOUNCEMENT).encode()
        decoded = self.decode(b"PUT", b"/v1/instances/i-7f%2B3", body)
        self.assertEqual(decoded.record.server, "i-7f+3")
        self.assertEqual(
            self.decode(b"DELETE", b"/v1/instances/i-7"), dialect.WithdrawServer("i-7")
        )

    def test_post_and_delete_of_evacuation_are_decoded(self):
        self.assertEqual(
            self.decode(b"POST", b"/v1/evacuation/hall%2Db%C3%A9"),
            dialect.EvacuateZone("hall-b\u00e9"),
        )
        self.assertEqual(
            self.decode(b"DELETE", b"/v1/evacuation/hall-b"), dialect.RestoreZone("hall-b")
        )

    def test_zone_that_is_no_printable_text_raises_bad_request(self):
        for zone in (b"%ff", b"a%00b", b"z" * 256):
            with self.subTest(zone=zone), self.assertRaises(errors.BadRequestError) as caught:
                self.decode(b"POST", b"/v1/evacuation/" + zone)
            self.assertEqual(caught.exception.status, 400)

    def test_unknown_method_or_path_raises_unknown_route(self):
        for method, target in [
            (b"GET", b"/"),
            (b"POST", b"/v1/config"),
            (b"PUT", b"/v1/other"),
            (b"PUT", b"/v1/evacuation/b"),
            (b"POST", b"/v1/evacuation/"),
        ]:
            with self.assertRaises(errors.UnknownRouteError):
                self.decode(method, target)

    def test_methods_that_a_path_takes_are_named(self):
        for target, allowed in (
            (b"/v1/config", b"GET, HEAD, PUT"),
            (b"/v1/instances/s1", b"PUT, DELETE"),
            (b"/v1/evacuation/b", b"POST, DELETE"),
        ):
            with self.assertRaises(errors.MethodNotAllowedError) as caught:
                self.decode(b"PATCH", target)
            answer = platform_dialect.PlatformDialect().encode_error(caught.exception)
            self.assertEqual(answer.status, 405)
            self.assertIn((b"allow", allowed), answer.headers)


class TestRequests(unittest.TestCase):
    """Decoding of callers' requests."""

    def decode(self, **headers: bytes) -> dialect.CallerRequest:
        header_list = tuple(
            (key.replace("_", "-").encode(), value) for key, value in headers.items()
        )
        return platform_dialect.PlatformDialect().decode_request(
            messages.Request(b"POST", b"/a/b?c", header_list)
        )

    def test_all_headers_are_decoded(self):
        decoded = self.decode(
            host=b"FICU95.example:80",
            x_attempt_id=b"9c",
            authorization=b"token k1",
            x_deadline_ms=b"1500",
            x_token_count=b"1460,80",
            last_event_id=b"12",
            x_prompt_prefix=b"5C1e07a2:800, 91bd3f06:410,5c1e07a2:800,,e4402b7d:250",
        )
        expected = dialect.CallerRequest(
            request_id="9c",
            host="ficu95.example",
            path="/a/b",
            key="k1",
            remaining_seconds=1.5,
            prompt_tokens=1460,
            output_tokens=80,
            last_event_id="12",
            shared_parts=("5c1e07a2", "91bd3f06"),
        )
        self.assertEqual(decoded, expected)

    def test_other_authorization_scheme_gives_no_key(self):
        self.assertEqual(self.decode(x_attempt_id=b"9", authorization=b"Basic k1").key, "")

    def test_non_integer_header_or_missing_id_raises_bad_request(self):
        for headers in ({}, {"x_attempt_id": b"1", "x_deadline_ms": b"soon"}):
            with self.assertRaises(errors.BadRequestError):
                self.decode(**headers)


class TestErrors(unittest.TestCase):
    """Statuses and headers of the answers that errors are encoded as."""

    def test_overload_gets_503_with_retry_after(self):
        answer = platform_dialect.PlatformDialect().encode_error(
            errors.OverloadedError("full", retry_after=0.4)
        )
        self.assertEqual(answer.status, 503)
        self.assertIn((b"retry-after", b"0.400"), answer.headers)

    def test_failure_of_request_that_may_have_run_gets_502_or_504(self):
        for error in (errors.BackendFailedError("x"), errors.RouteTimeoutError("x")):
            self.assertIn(platform_dialect.PlatformDialect().encode_error(error).status, (502, 504))
