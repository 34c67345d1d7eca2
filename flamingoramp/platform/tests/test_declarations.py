"""Tests of decoding configuration documents."""

from __future__ import annotations

import json
import unittest

from flamingoramp import errors
from flamingoramp.intent import traffic
from flamingoramp.platform import declarations

ENGINE = {
    "slots": 8,
    "kv_tokens": 405000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "hop_ms": 0.1,
}


def make_document(**changes) -> dict:
    """Return a valid document with some fields replaced."""
    document = {
        "version": 7,
        "routes": [
            {
                "name": "short",
                "host": "Ficu95.example",
                "path_prefix": "/lohu930/",
                "kind": "streaming",
                "timeout_ms": 10000,
                "slo_ms": 300,
                "priority": 1,
                "split": [
                    {"service": "llm", "weight": 90},
                    {"service": "plain", "weight": 10},
                ],
                "attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_slo_ms": 250,
            },
            {
                "name": "hold",
                "host": "ficu95.example",
                "path_prefix": "/puxa403/",
                "kind": "non_idempotent",
                "timeout_ms": 600,
                "slo_ms": 125,
                "service": "plain",
            },
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 374, "engine": ENGINE},
            {"name": "plain", "health_path": "/healthz", "max_conns": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "idle_timeout_ms": 9000},
        "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1}],
    }
    document.update(changes)
    return document


def decode(document: dict) -> traffic.TrafficDeclaration:
    """Encode a document as JSON and decode it."""
    return declarations.decode(json.dumps(document).encode())


class TestDecoding(unittest.TestCase):
    """Fields of valid documents."""

    def test_streaming_route_is_decoded(self):
        route = decode(make_document()).routes[0]
        self.assertEqual(route.host, "ficu95.example")
        self.assertEqual(
            (route.timeout_seconds, route.latency_objective_seconds, route.gap_objective_seconds),
            (10, 0.3, 0.25),
        )
        self.assertTrue(route.streams and route.resumable and route.is_retryable)
        self.assertEqual(
            route.shares, (traffic.TrafficShare("llm", 90), traffic.TrafficShare("plain", 10))
        )

    def test_route_without_attempts_runs_once(self):
        route = decode(make_document()).routes[1]
        self.assertFalse(route.is_retryable)
        self.assertEqual(route.attempts, 1)

    def test_stream_that_is_not_resumable_runs_once(self):
        document = make_document()
        document["routes"][0]["resumable"] = False
        self.assertFalse(decode(document).routes[0].is_retryable)

    def test_engine_is_decoded(self):
        engine = decode(make_document()).find_service("llm").engine
        self.assertAlmostEqual(engine.step_seconds, 0.00131)
        self.assertAlmostEqual(engine.pair_seconds, 0.162e-9)
        self.assertAlmostEqual(engine.context_seconds, 0.00213e-6)
        self.assertEqual(engine.steps_per_pass, 34)

    def test_keys_and_limits_are_decoded(self):
        declaration = decode(make_document())
        self.assertEqual(declaration.find_workspace("k2").name, "w")
        self.assertEqual(declaration.limits.idle_seconds, 9.0)
        self.assertEqual(declaration.limits.header_seconds, 3.0)

    def test_warm_up_is_decoded_and_may_be_missing(self):
        document = make_document()
        document["services"][0].update(cold_s=8, cold_per_s=14.5)
        document["services"][1].update(cold_s=None, cold_per_s=0)
        declared, none = decode(document).services
        self.assertEqual((declared.warm_up_seconds, declared.warm_up_rate), (8, 14.5))
        self.assertEqual((none.warm_up_seconds, none.warm_up_rate), (0, 0))
        service = decode(make_document()).services[0]
        self.assertEqual((service.warm_up_seconds, service.warm_up_rate), (0, 0))

    def test_unknown_fields_are_ignored(self):
        decode(make_document(later={"x": 1}))


class TestRefusals(unittest.TestCase):
    """Invalid documents are refused with a reason."""

    def assert_refused(self, document: dict, reason_pattern: str) -> None:
        with self.assertRaisesRegex(errors.InvalidDeclarationError, reason_pattern):
            decode(document)

    def test_truncated_document_is_refused(self):
        complete = json.dumps(make_document()).encode()
        for end in range(0, len(complete), 37):
            with self.assertRaises(errors.InvalidDeclarationError):
                declarations.decode(complete[:end])

    def test_invalid_utf8_is_refused(self):
        with self.assertRaises(errors.InvalidDeclarationError):
            declarations.decode(b"\xff\xfe{")

    # Guards against an unknown member that is taken over unchecked, since its values aren't made.
    def test_unknown_members_that_are_no_json_are_refused_by_both_decoders(self):
        document = json.dumps(make_document()).encode()
        for member in (
            *(
                b"[1,]",
                b"[01]",
                b"[1 2]",
                b"[tru]",
                b"[.5]",
                b"{a:1}",
                b'{"a" 1}',
                b"[1]]",
                b"[1,2",
            ),
            *(b'"\xff"', b'"\xc3("', b'"\\x"', b'"\n"', b'"\\u12"', b'["\\ud800"]', b"[" * 10**5),
        ):
            damaged = document[:-1] + b',"later":' + member + b"}"
            for decode_document in (declarations.decode, declarations.Decoder().decode):
                with self.subTest(member=member[:9]):
                    self.assertRaises(errors.InvalidDeclarationError, decode_document, damaged)

    def test_texts_that_cannot_be_encoded_are_refused(self):
        document = make_document(tenants=[{"name": "\ud800", "api_keys": ["k"]}])
        with self.assertRaises(errors.InvalidDeclarationError):
            declarations.decode(json.dumps(document).encode())

    def test_unknown_service_is_refused(self):
        document = make_document()
        document["routes"][1]["service"] = "nowhere"
        self.assert_refused(document, "no service 'nowhere'")

    def test_two_routes_with_same_host_and_prefix_are_refused(self):
        document = make_document()
        document["routes"].append({**document["routes"][1], "name": "again"})
        self.assert_refused(document, "stand twice")

    def test_weights_that_sum_to_zero_are_refused(self):
        document = make_document()
        document["routes"][0]["split"] = [{"service": "llm", "weight": 0}]
        self.assert_refused(document, "add up to 0")

    def test_zero_timeout_is_refused(self):
        document = make_document()
        document["routes"][1]["timeout_ms"] = 0
        self.assert_refused(document, "timeout is 0")

    def test_numbers_that_are_not_finite_are_refused(self):
        for number in (float("nan"), float("inf"), float("-inf")):
            for field in ("timeout_ms", "slo_ms"):
                document = make_document()
                document["routes"][1][field] = number
                self.assert_refused(document, field)

    def test_integers_that_no_float_holds_are_refused(self):
        document = make_document()
        document["routes"][1]["timeout_ms"] = 10**400
        self.assert_refused(document, "timeout_ms takes a finite number")
        self.assert_refused(make_document(version=10**400), "version takes a finite number")

    def test_wrong_warm_up_is_refused(self):
        for value in (-1, "8", True, float("nan")):
            for field in ("cold_s", "cold_per_s"):
                document = make_document()
                document["services"][0][field] = value
                self.assert_refused(document, "warm-up|cold_")

    def test_key_of_two_workspaces_is_refused(self):
        document = make_document()
        document["tenants"].append({"name": "v", "api_keys": ["k1"]})
        self.assert_refused(document, "share a key")

    def test_wrong_types_are_refused(self):
        for field, value in [("version", "7"), ("version", True), ("routes", {}), ("tenants", 3)]:
            self.assert_refused(make_document(**{field: value}), field)

    def test_missing_fields_are_refused(self):
        for field in ("version", "routes", "services"):
            document = make_document()
            del document[field]
            self.assert_refused(document, f"{field} is missing")
