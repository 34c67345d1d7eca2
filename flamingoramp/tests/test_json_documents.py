"""Tests of the parsing of JSON documents that other systems have sent."""

from __future__ import annotations

import json
import random
import unittest
from typing import Any

from hypothesis import given, strategies

from flamingoramp import json_documents


class TestParse(unittest.TestCase):
    """Documents with texts that can and can't be encoded again."""

    def test_lone_surrogates_are_refused_wherever_they_stand(self):
        for document in (
            b'"\\ud800"',
            b'{"a": ["\\udfff"]}',
            b'{"\\ud83d": 1}',
            b'["\\udc00\\ud800"]',
        ):
            for given_document in (document, document.decode()):
                with self.subTest(document=given_document), self.assertRaises(ValueError):
                    json_documents.parse(given_document)

    def test_surrogate_pairs_and_other_escapes_are_parsed(self):
        document = b'["\\ud83d\\ude00", "\\u00e9", "\\\\ud800"]'
        self.assertEqual(json_documents.parse(document), ["\U0001f600", "\u00e9", "\\ud800"])

    @given(strategies.recursive(strategies.integers() | strategies.booleans(), strategies.lists))
    def test_documents_without_texts_are_parsed_as_by_the_json_module(self, value):
        self.assertEqual(json_documents.parse(json.dumps(value)), value)

    def test_damaged_documents_are_parsed_or_refused_as_by_the_json_module(self):
        document = b'{"a": "r\\u00e9\\ud83d\\ude00", "t": [1, 2.5e3, -7, true, null, 1E400, NaN]}'
        pieces = [b'"', b"\\", b"\xff", b"\x00", b"}", b"[", b",", b":", b"0", b"-", b"e", b"."]
        pieces += [b"\\ud800", b"\x0b", b"\xed\xa0\x80", b"9" * 30, b"1" * 5000, b"Infinity"]
        rng = random.Random(3)
        accepted_count = 0
        for _ in range(20_000):
            damaged = bytearray(document)
            if rng.random() < 0.7:
                damaged[damaged.index(b", 1E400") : damaged.index(b"]")] = b""
            for _ in range(rng.randrange(1, 3)):
                position = rng.randrange(len(damaged))
                damaged[position : position + rng.randrange(3)] = rng.choice(pieces)
            expected = _parse_strictly(bytes(damaged))
            accepted_count += expected is not None
            try:
                found = repr(json_documents.parse(bytes(damaged)))
            except ValueError:
                found = None
            self.assertEqual(found, expected, bytes(damaged))
        self.assertGreater(accepted_count, 1000)

    def test_document_that_is_nested_too_deeply_is_refused(self):
        with self.assertRaises(RecursionError):
            json_documents.parse(b"[" * 100_000 + b"]" * 100_000)


def _parse_strictly(document: bytes) -> str | None:
    """Return what the `json` module parses, None if that is invalid or can't be encoded."""
    try:
        value: Any = json.loads(document)
        json.dumps(value, ensure_ascii=False).encode()
    except ValueError:
        return None
    return repr(value)


class TestSplit(unittest.TestCase):
    """Objects and arrays are split into the texts of their values."""

    def test_values_are_the_texts_of_the_document(self):
        document = b' { "a" : [1, {"b": "}"}] ,\n"\xc3\xa9":"\\"x" } '
        self.assertEqual(
            json_documents.split_object(document),
            {"a": b'[1, {"b": "}"}]', "\u00e9": b'"\\"x"'},
        )
        self.assertEqual(json_documents.split_array(b'[ 1,"]" , {} ]'), [b"1", b'"]"', b"{}"])

    def test_names_that_stand_twice_or_are_escaped_are_refused(self):
        for document in (
            b'{"a": 1, "a": 1}',
            b'{"a": 1, "b": 2, "a": 1}',
            b'{"a": \xff, "a": 1}',
            b'{"\\u0061": 1}',
            b"{}",
            b"[]",
            b"",
        ):
            with self.subTest(document=document), self.assertRaises(ValueError):
                json_documents.split_object(document)
        with self.assertRaises(ValueError):
            json_documents.split_array(b"{}")
