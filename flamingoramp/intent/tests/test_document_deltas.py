"""Tests of differences between versions of a document."""

from __future__ import annotations

import copy
import json
import random
import unittest
import zlib

from flamingoramp import errors
from flamingoramp.intent import document_deltas
from flamingoramp.protocol import codec, messages

MAX_SMALL_CHANGE_BYTES = 2000


def make_document(route_count: int) -> dict:
    """Return a document with as many routes."""
    rng = random.Random(5)
    return {
        "version": 9,
        "routes": [
            {
                "name": f"route {number}",
                "host": "h.example",
                "path_prefix": f"/p{rng.getrandbits(32)}/",
                "timeout_ms": 1000,
                "split": [{"service": f"s{number % 40}", "weight": 1}, {"service": "s1"}],
                "note": "the same in each route " * 4,
            }
            for number in range(route_count)
        ],
        "tenants": [{"name": f"w{number}", "api_keys": [f"k{number}"]} for number in range(200)],
    }


def encode(document: dict) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


def change(document: dict, rng: random.Random) -> None:
    """Change a document at random."""
    routes = document["routes"]
    document["version"] += rng.choice([1, 90])
    match rng.randrange(6):
        case 0:
            rng.choice(routes)["timeout_ms"] = rng.getrandbits(16)
        case 1:
            new_routes = [
                {**rng.choice(routes), "name": f"new {rng.getrandbits(32)}"} for _ in range(10)
            ]
            position = rng.randrange(len(routes))
            routes[position:position] = new_routes
        case 2:
            start = rng.randrange(len(routes) - 1)
            del routes[start : start + 3]
        case 3:
            rng.choice(document["tenants"])["api_keys"].append(str(rng.getrandbits(64)))
        case 4:
            rng.shuffle(routes)
        case 5:
            document["routes"] = make_document(rng.randrange(3, 60))["routes"]


class TestDeltas(unittest.TestCase):
    """A difference rebuilds the exact bytes, or is refused."""

    def test_random_changes_are_rebuilt_exactly(self):
        delta_count = 0
        for seed in range(300):
            rng = random.Random(seed)
            document = make_document(rng.randrange(3, 60))
            base = encode(document)
            for _ in range(rng.randrange(1, 4)):
                change(document, rng)
            target = encode(document)
            delta = document_deltas.encode_delta(1, base, target)
            if delta is not None:
                delta_count += 1
                self.assertEqual(document_deltas.apply_delta(delta, base), target)
        self.assertGreater(delta_count, 200)

    def test_random_bytes_are_rebuilt_exactly(self):
        for seed in range(500):
            rng = random.Random(seed)
            base = bytes(rng.choices(b"ab}", k=rng.randrange(3000)))
            target = base[rng.randrange(3000) :] + bytes(rng.choices(b"ab}", k=rng.randrange(9)))
            target += base[: rng.randrange(3000)]
            delta = document_deltas.encode_delta(1, base, target)
            if delta is not None:
                self.assertEqual(document_deltas.apply_delta(delta, base), target)

    def test_other_base_is_refused(self):
        document = make_document(40)
        base = encode(document)
        document["routes"][5]["timeout_ms"] = 77
        delta = document_deltas.encode_delta(1, base, encode(document))
        for other in (b"", base[:-1], base.replace(b"route 7", b"route 8")):
            with self.assertRaises(errors.ProtocolError):
                document_deltas.apply_delta(delta, other)

    def test_result_above_the_limit_is_refused(self):
        piece = messages.DocumentPiece(0, 0, 10**9)
        delta = messages.DocumentDelta(1, (piece,) * 100, zlib.compress(b""), b"")
        with self.assertRaises(errors.ProtocolError):
            document_deltas.apply_delta(delta, b"x" * 1000)


class TestHistory(unittest.TestCase):
    """Which differences a sender can tell."""

    def setUp(self):
        self.history = document_deltas.DocumentHistory()
        self.document = make_document(50)
        for version in range(1, document_deltas.MAX_KEPT_VERSIONS + 3):
            self.document["version"] = self.version = version
            self.history.add(version, zlib.compress(encode(self.document)))

    def test_versions_that_are_too_old_or_unknown_have_no_difference(self):
        for version in (0, 1, 2, self.version, self.version + 1):
            self.assertIsNone(self.history.find_delta(version))
        self.assertIsNotNone(self.history.find_delta(3))

    def test_document_that_shares_little_has_no_difference(self):
        self.history.add(999, zlib.compress(encode({"routes": list(range(5000))})))
        self.assertIsNone(self.history.find_delta(self.version))


class TestLoad(unittest.TestCase):
    """Size of differences between documents of 2,000 routes."""

    def test_small_change_of_two_thousand_routes_takes_less_than_two_kilobytes(self):
        original = make_document(2000)
        base = encode(original)
        changes = {name: copy.deepcopy(original) for name in ("timeout", "key", "routes", "remove")}
        changes["timeout"]["routes"][1500]["timeout_ms"] = 12345
        changes["key"]["tenants"][100]["api_keys"] = ["another"]
        changes["routes"]["routes"][700:700] = [
            {**original["routes"][3], "name": f"new {number}", "path_prefix": f"/{number}/"}
            for number in range(10)
        ]
        del changes["remove"]["routes"][300:310]
        for name, document in changes.items():
            document["version"] += 1
            target = encode(document)
            delta = document_deltas.encode_delta(9, base, target)
            update = messages.ClusterUpdate(version=10, deltas=(delta,), confirmed=True)
            with self.subTest(name=name):
                self.assertEqual(document_deltas.apply_delta(delta, base), target)
                self.assertLess(len(codec.encode("control", update)), MAX_SMALL_CHANGE_BYTES)


if __name__ == "__main__":
    unittest.main()
