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
    """Return a document that is allowed."""
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
    """Decode a document."""
    return declarations.decode(json.dumps(document).encode())


class TestDecoding(unittest.TestCase):
    """Every field arrives where its meaning is."""

    def test_a_streaming_route(self):
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

    def test_a_plain_route_runs_once_unless_it_says_otherwise(self):
        route = decode(make_document()).routes[1]
        self.assertFalse(route.is_retryable)
        self.assertEqual(route.attempts, 1)

    def test_a_stream_that_may_not_be_resumed_runs_once(self):
        document = make_document()
        document["routes"][0]["resumable"] = False
        self.assertFalse(decode(document).routes[0].is_retryable)

    def test_an_engine(self):
        engine = decode(make_document()).find_service("llm").engine
        self.assertAlmostEqual(engine.step_seconds, 0.00131)
        self.assertAlmostEqual(engine.pair_seconds, 0.162e-9)
        self.assertAlmostEqual(engine.context_seconds, 0.00213e-6)
        self.assertEqual(engine.steps_per_pass, 34)

    def test_keys_and_limits(self):
        found = decode(make_document())
        self.assertEqual(found.find_workspace("k2").name, "w")
        self.assertEqual(found.limits.idle_seconds, 9.0)
        self.assertEqual(found.limits.header_seconds, 3.0)

    def test_unknown_fields_are_left_alone(self):
        decode(make_document(later={"x": 1}))


class TestRefusals(unittest.TestCase):
    """Each invalid kind is refused with a reason."""

    def refuse(self, document: dict, text: str) -> None:
        with self.assertRaisesRegex(errors.InvalidDeclarationError, text):
            decode(document)

    def test_cut_short(self):
        whole = json.dumps(make_document()).encode()
        for end in range(0, len(whole), 37):
            with self.assertRaises(errors.InvalidDeclarationError):
                declarations.decode(whole[:end])

    def test_bytes_that_are_no_text(self):
        with self.assertRaises(errors.InvalidDeclarationError):
            declarations.decode(b"\xff\xfe{")

    def test_unknown_service(self):
        document = make_document()
        document["routes"][1]["service"] = "nowhere"
        self.refuse(document, "no service 'nowhere'")

    def test_same_place(self):
        document = make_document()
        document["routes"].append({**document["routes"][1], "name": "again"})
        self.refuse(document, "stand twice")

    def test_weights_of_nothing(self):
        document = make_document()
        document["routes"][0]["split"] = [{"service": "llm", "weight": 0}]
        self.refuse(document, "add up to 0")

    def test_no_timeout(self):
        document = make_document()
        document["routes"][1]["timeout_ms"] = 0
        self.refuse(document, "timeout is 0")

    def test_shared_key(self):
        document = make_document()
        document["tenants"].append({"name": "v", "api_keys": ["k1"]})
        self.refuse(document, "share a key")

    def test_wrong_types(self):
        for field, value in [("version", "7"), ("version", True), ("routes", {}), ("tenants", 3)]:
            self.refuse(make_document(**{field: value}), field)

    def test_missing_parts(self):
        for field in ("version", "routes", "services"):
            document = make_document()
            del document[field]
            self.refuse(document, f"{field} is missing")
