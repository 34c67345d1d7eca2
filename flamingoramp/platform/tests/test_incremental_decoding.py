"""Tests of decoding one version after the other, compared with decoding from scratch."""

from __future__ import annotations

import copy
import gc
import json
import random
import time
import unittest
from collections.abc import Callable
from typing import Any

from flamingoramp import errors, json_documents
from flamingoramp.intent import traffic
from flamingoramp.platform import declarations
from flamingoramp.platform.tests import test_declarations

ROUTE_COUNT = 2000
# 10 ms at a tenth of a core, beyond parsing.
MAX_INCREMENTAL_SECONDS = 0.001

ROUTE_FIELDS = (
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_ms",
    "slo_ms",
    "gap_slo_ms",
    "priority",
    "split",
    "service",
    "attempts",
    "public",
    "resumable",
)


def make_large_document(route_count: int = ROUTE_COUNT) -> dict[str, Any]:
    """Return a valid document with many routes, services and workspaces."""
    document = test_declarations.make_document()
    template = document["routes"][0]
    document["routes"] = [
        {
            **template,
            "name": f"route {number}",
            "path_prefix": f"/p{number * 7919}/",
            "split": [
                {"service": f"s{number % 40}", "weight": 90},
                {"service": f"s{(number + 1) % 40}", "weight": 10},
            ],
        }
        for number in range(route_count)
    ]
    document["services"] = [{"name": f"s{number}", "max_conns": number + 1} for number in range(40)]
    document["tenants"] = [
        {"name": f"w{number}", "api_keys": [f"k{number}", f"l{number}"]} for number in range(200)
    ]
    return document


def encode(document: dict[str, Any]) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


def change_timeout(document: dict[str, Any], rng: random.Random) -> None:
    """Change the timeout of one route."""
    rng.choice(document["routes"])["timeout_ms"] = rng.randrange(1, 100_000)


def change_key(document: dict[str, Any], rng: random.Random) -> None:
    """Change a key of one workspace."""
    rng.choice(document["tenants"])["api_keys"][0] = f"new{rng.getrandbits(60)}"


def add_routes(document: dict[str, Any], rng: random.Random) -> None:
    """Add 10 routes in the middle."""
    for _ in range(10):
        prefix = f"/added{rng.getrandbits(60)}/"
        document["routes"].insert(
            len(document["routes"]) // 2, {**document["routes"][0], "path_prefix": prefix}
        )


def change_service(document: dict[str, Any], rng: random.Random) -> None:
    """Change the capacity of one service."""
    rng.choice(document["services"])["max_conns"] = rng.randrange(1, 1000)


def remove_routes(document: dict[str, Any], rng: random.Random) -> None:
    """Remove some routes."""
    del document["routes"][1 : rng.randrange(1, 5)]


def reorder(document: dict[str, Any], rng: random.Random) -> None:
    """Change the order of routes and workspaces."""
    rng.shuffle(document["routes"])
    rng.shuffle(document["tenants"])


def repeat_workspace(document: dict[str, Any], rng: random.Random) -> None:
    """Declare a workspace twice, which is valid."""
    repeated = copy.deepcopy(rng.choice(document["tenants"]))
    repeated["priority"] = rng.randrange(10)
    document["tenants"].append(repeated)


def remove_workspace(document: dict[str, Any], rng: random.Random) -> None:
    """Remove a workspace."""
    document["tenants"].pop(rng.randrange(len(document["tenants"])))


def replace_document(document: dict[str, Any], rng: random.Random) -> None:
    """Replace all routes."""
    for number, route in enumerate(document["routes"]):
        route["path_prefix"] = f"/{rng.getrandbits(60)}/{number}/"


def remove_service(document: dict[str, Any], rng: random.Random) -> None:
    """Remove a service, which routes may still name."""
    document["services"].pop(rng.randrange(len(document["services"])))


def repeat_route(document: dict[str, Any], rng: random.Random) -> None:
    """Declare a route twice, which is invalid."""
    document["routes"].append(rng.choice(document["routes"]))


def share_key(document: dict[str, Any], rng: random.Random) -> None:
    """Let two workspaces share a key, which is invalid unless they have one name."""
    document["tenants"][0]["api_keys"].append(rng.choice(document["tenants"])["api_keys"][-1])


def break_route(document: dict[str, Any], rng: random.Random) -> None:
    """Set a field of a route to an invalid value."""
    field, value = rng.choice(
        [
            ("timeout_ms", 0),
            ("timeout_ms", "1"),
            ("timeout_ms", float("nan")),
            ("timeout_ms", 10**400),
            ("name", "\ud800"),
            ("sticky", "\ud800"),
            ("sticky", float("inf")),
            ("path_prefix", "x"),
            ("attempts", True),
        ]
    )
    rng.choice(document["routes"])[field] = value


SMALL_CHANGES = (change_timeout, change_key, add_routes, change_service)
CHANGES = (
    *SMALL_CHANGES,
    remove_routes,
    reorder,
    repeat_workspace,
    remove_workspace,
    replace_document,
    remove_service,
    repeat_route,
    share_key,
    break_route,
)


def decode_result(decode: Callable[[bytes], traffic.TrafficDeclaration], document: bytes) -> Any:
    """Return a declaration with its indexes, or the reason of its refusal."""
    try:
        declaration = decode(document)
    except errors.InvalidDeclarationError as error:
        return str(error)
    return (
        declaration,
        declaration._route_by_prefix,
        declaration._service_by_name,
        declaration._workspace_by_key,
    )


class TestIncrementalDecoding(unittest.TestCase):
    """The result of a `Decoder` equals that of decoding each document from scratch."""

    def test_random_changes_give_the_result_of_decoding_from_scratch(self):
        for seed in range(60):
            rng = random.Random(seed)
            decoder = declarations.Decoder()
            document = make_large_document(20)
            for version in range(1, 25):
                changed = copy.deepcopy(document)
                changed["version"] = version
                for _ in range(rng.randrange(1, 4)):
                    rng.choice(CHANGES)(changed, rng)
                data = encode(changed)
                expected = decode_result(declarations.decode, data)
                with self.subTest(seed=seed, version=version):
                    self.assertEqual(decode_result(decoder.decode, data), expected)
                if not isinstance(expected, str):
                    document = changed

    def test_damaged_texts_give_the_result_of_decoding_from_scratch(self):
        valid = encode(test_declarations.make_document())
        for seed in range(3000):
            rng = random.Random(seed)
            decoder = declarations.Decoder()
            decoder.decode(valid)
            damaged = bytearray(valid)
            for _ in range(rng.randrange(1, 3)):
                position = rng.randrange(len(damaged))
                piece = rng.choice(
                    [b'"', b"\\", b"\xff", b"\x00", b"}", b"{", b"1e999", b"\\ud800"]
                )
                damaged[position : position + rng.randrange(2)] = piece
            data = bytes(damaged)
            expected = decode_result(declarations.decode, data)
            with self.subTest(seed=seed):
                self.assertEqual(decode_result(decoder.decode, data), expected)

    def test_documents_that_cannot_be_split_give_the_result_of_decoding_from_scratch(self):
        valid = encode(test_declarations.make_document())
        for data in (
            b'{"routes": [\xff], ' + valid[1:],
            b'{"routes": [1], ' + valid[1:],
            b'{"extra": "\\ud800", ' + valid[1:],
            b'{"extra": NaN, ' + valid[1:],
            b'{"\\u0065xtra": 1, ' + valid[1:],
            b'{"version": 9, "version": 9, ' + valid[1:],
            b"\xef\xbb\xbf" + valid,
            valid.decode().encode("utf-16"),
            valid + b"x",
            b" \n" + valid + b" \n",
            b"{}",
            b"[]",
            b"",
            b"[" * 100_000,
        ):
            decoder = declarations.Decoder()
            decoder.decode(valid)
            expected = decode_result(declarations.decode, data)
            with self.subTest(data=data[:40]):
                self.assertEqual(decode_result(decoder.decode, data), expected)

    def test_unchanged_items_are_the_same_objects(self):
        decoder = declarations.Decoder()
        document = make_large_document(50)
        first = decoder.decode(encode(document))
        change_timeout(document, random.Random(1))
        document["version"] += 1
        second = decoder.decode(encode(document))
        self.assertEqual(second.count_reused_items(first), second.item_count - 1)

    def test_document_that_was_decoded_last_is_not_decoded_again(self):
        decoder = declarations.Decoder()
        data = encode(make_large_document(5))
        self.assertIs(decoder.decode(data), decoder.decode(bytes(bytearray(data))))

    def test_items_of_earlier_documents_are_discarded(self):
        decoder = declarations.Decoder()
        document = make_large_document(5)
        for version in range(1, declarations.MAX_EARLIER_ITEMS):
            document["version"] = version
            replace_document(document, random.Random(version))
            decoder.decode(encode(document))
        kept_count = len(decoder._items_by_text["routes"])
        self.assertLessEqual(kept_count, 2 * 5 + declarations.MAX_EARLIER_ITEMS)


class TestRoutes(unittest.TestCase):
    """Routes are decoded at once; the result is that of decoding them field by field."""

    # Guards against a field that is accepted, refused or rounded in one of the two ways only.
    def test_random_routes_give_the_result_of_decoding_field_by_field(self):
        accepted_count = 0
        for seed in range(20_000):
            rng = random.Random(seed)
            route = copy.deepcopy(rng.choice(test_declarations.make_document()["routes"]))
            for _ in range(rng.randrange(4)):
                shares = route.get("split")
                shares = shares if isinstance(shares, list) else []
                objects = [share for share in shares if isinstance(share, dict)]
                self.change_field(rng.choice([route, route, *objects]), rng)
            expected = self.decode_result(declarations._decode_unusual_route, route)
            found = self.decode_result(declarations._decode_route, route)
            with self.subTest(seed=seed, route=route):
                self.assertEqual(found, expected)
            accepted_count += "Route(" in expected
        self.assertGreater(accepted_count, 4000)

    def decode_result(self, decode: Callable[[dict], traffic.Route], route: dict[str, Any]) -> str:
        try:
            return repr(decode(route))  # in which integers and floats differ
        except errors.InvalidDeclarationError as error:
            return str(error)

    def change_field(self, data: dict[str, Any], rng: random.Random) -> None:
        name = rng.choice([*data, *ROUTE_FIELDS, "weight"])
        number = rng.choice(
            [0, 1, 7, 0.5, 2.0, -3, 2**53, rng.getrandbits(60), 10**18, 1e17, 1e300, 10**400]
        )
        data[name] = rng.choice(
            [number, number, number + rng.choice([-1, 1]), "Text", "idempotent", True, False, None]
            + [float("nan"), float("inf"), {}, [], [{}], [1], [{"service": "a", "weight": number}]]
        )
        if rng.random() < 0.2:
            del data[name]


class TestLoad(unittest.TestCase):
    """Processor time of versions of 2,000 routes."""

    def test_small_changes_of_two_thousand_routes_cost_at_most_a_millisecond_beyond_parsing(self):
        document = make_large_document()
        decoder = declarations.Decoder()
        decoder.decode(encode(document))
        rng = random.Random(1)
        for change in SMALL_CHANGES:
            parsing_seconds, decoding_seconds = [], []
            for _ in range(7):
                document["version"] += 1
                change(document, rng)
                data = encode(document)
                started_at = time.process_time()
                for text in json_documents.split_object(data).values():
                    if text.startswith(b"["):
                        json_documents.split_array(text)
                parsed_at = time.process_time()
                decoder.decode(data)
                decoding_seconds.append(time.process_time() - parsed_at)
                parsing_seconds.append(parsed_at - started_at)
            # The least of each: one slow run of parsing must not make up for slow decoding.
            beyond_seconds = min(decoding_seconds) - min(parsing_seconds)
            with self.subTest(change=change.__name__):
                self.assertLess(beyond_seconds, MAX_INCREMENTAL_SECONDS)

    def test_steps_of_a_new_document_of_two_thousand_routes_are_short(self):
        data = encode(make_large_document())
        longest_seconds = [
            self.measure_longest_step(declarations.Decoder(), data) for _ in range(5)
        ]
        self.assertLess(min(longest_seconds), 2 * MAX_INCREMENTAL_SECONDS)

    # Guards against discarding the items of earlier documents in one step with other work.
    def test_steps_of_documents_of_which_each_route_is_new_are_short(self):
        document = make_large_document()
        versions = [encode(document)]
        for version in range(1, 5):
            document["version"] += 1
            replace_document(document, random.Random(version))
            versions.append(encode(document))
        # The time of a garbage collection depends on the objects of the other tests.
        self.addCleanup(gc.enable)
        gc.disable()
        runs = []
        for _ in range(5):
            decoder = declarations.Decoder()
            runs.append([self.measure_longest_step(decoder, data) for data in versions])
        for number, longest_seconds in enumerate(zip(*runs, strict=True)):
            with self.subTest(number=number):
                self.assertLess(min(longest_seconds), 2 * MAX_INCREMENTAL_SECONDS)

    def measure_longest_step(self, decoder: declarations.Decoder, data: bytes) -> float:
        durations = []
        steps = decoder.decode_in_steps(data)
        while True:
            started_at = time.process_time()
            is_done = next(steps, ...) is ...
            durations.append(time.process_time() - started_at)
            if is_done:
                return max(durations)


if __name__ == "__main__":
    unittest.main()
