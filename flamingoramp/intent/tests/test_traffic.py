"""Tests of declared traffic: finding routes and keys, and what is refused."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp import errors
from flamingoramp.intent import traffic, versioned_declaration
from flamingoramp.protocol import messages


def make_route(name: str = "r", **changes) -> traffic.Route:
    """Return a route that is allowed."""
    given = {"host": "h.example", "prefix": "/a/", "shares": (traffic.TrafficShare("s"),)}
    return traffic.Route(name=name, **{**given, **changes})


def make_declaration(*routes: traffic.Route, **changes) -> traffic.TrafficDeclaration:
    """Return a declaration of one service."""
    given = {"version": 1, "routes": routes, "services": (traffic.Service("s"),)}
    return traffic.TrafficDeclaration(**{**given, **changes})


class TestFinding(unittest.TestCase):
    """Routes by host and prefix, workspaces by key."""

    def test_the_longest_prefix_wins(self):
        found = make_declaration(
            make_route("root", prefix="/"),
            make_route("a", prefix="/a/"),
            make_route("ab", prefix="/a/b/"),
            make_route("other", host="other.example", prefix="/a/b/c/"),
        )
        expected = {"/": "root", "/a": "root", "/a/": "a", "/a/x": "a", "/a/b/c/d": "ab"}
        for path, name in expected.items():
            self.assertEqual(found.find_route("h.example", path).name, name)

    def test_nothing_matches(self):
        found = make_declaration(make_route())
        self.assertIsNone(found.find_route("h.example", "/b/"))
        self.assertIsNone(found.find_route("g.example", "/a/"))
        self.assertIsNone(found.find_route("h.example", ""))

    def test_keys(self):
        one = traffic.Workspace("one", ("k1", "k2"))
        found = make_declaration(make_route(), workspaces=(one,))
        self.assertIs(found.find_workspace("k2"), one)
        self.assertIsNone(found.find_workspace("k3"))

    def test_split_follows_the_weights_and_the_id(self):
        route = make_route(shares=(traffic.TrafficShare("a", 90), traffic.TrafficShare("b", 10)))
        chosen = [route.choose_service(f"request-{number}") for number in range(2000)]
        self.assertAlmostEqual(chosen.count("b") / 2000, 0.1, delta=0.03)
        self.assertEqual(route.choose_service("x"), route.choose_service("x"))

    def test_a_share_without_weight_gets_nothing(self):
        route = make_route(shares=(traffic.TrafficShare("a", 0), traffic.TrafficShare("b", 1)))
        self.assertEqual({route.choose_service(str(n)) for n in range(100)}, {"b"})


class TestChecks(unittest.TestCase):
    """A declaration that contradicts itself is refused."""

    def refuse(self, found: traffic.TrafficDeclaration, text: str) -> None:
        with self.assertRaisesRegex(errors.InvalidDeclarationError, text):
            found.check()

    def test_an_allowed_one(self):
        make_declaration(make_route(), make_route("b", prefix="/b/")).check()

    def test_a_service_that_is_not_declared(self):
        self.refuse(
            make_declaration(make_route(shares=(traffic.TrafficShare("t"),))), "no service 't'"
        )

    def test_a_place_that_stands_twice(self):
        self.refuse(make_declaration(make_route("a"), make_route("b")), "stand twice")

    def test_weights_that_add_up_to_nothing(self):
        self.refuse(
            make_declaration(make_route(shares=(traffic.TrafficShare("s", 0),))), "add up to 0"
        )

    def test_no_timeout(self):
        self.refuse(make_declaration(make_route(timeout_seconds=0)), "timeout is 0")

    def test_a_shared_key(self):
        holders = (traffic.Workspace("one", ("k",)), traffic.Workspace("two", ("k",)))
        self.refuse(make_declaration(make_route(), workspaces=holders), "share a key")

    def test_a_prefix_without_slashes(self):
        self.refuse(make_declaration(make_route(prefix="/a")), "slash")


class TestEngineModel(unittest.TestCase):
    """Reading times by the published cost of an engine."""

    def test_reading_grows_with_the_square_of_long_prompts(self):
        model = traffic.EngineCostModel(
            step_seconds=0.00131,
            prefill_tokens_per_second=154_000,
            pair_seconds=0.162e-9,
            chunk_tokens=2048,
        )
        self.assertAlmostEqual(model.prefill_seconds(4960), 0.038, delta=0.002)
        self.assertAlmostEqual(model.prefill_seconds(182_000), 3.98, delta=0.05)


class TestDeclaredState(unittest.TestCase):
    """The highest version is in force and never reverts."""

    def entry(self, version: int, document: bytes) -> messages.LogEntry:
        payload = versioned_declaration.encode(version, document)
        return messages.LogEntry(1, 1, versioned_declaration.KIND_DECLARE, payload)

    def test_the_highest_version_wins(self):
        state = versioned_declaration.VersionedDeclarationState()
        for version, document in [(3, b"three"), (2, b"two"), (3, b"other"), (7, b"seven")]:
            state.apply_entry(self.entry(version, document))
        self.assertEqual((state.version, state.document), (7, b"seven"))

    def test_the_same_version_keeps_its_content(self):
        state = versioned_declaration.VersionedDeclarationState()
        state.apply_entry(self.entry(3, b"three"))
        result = state.apply_entry(self.entry(3, b"other"))
        self.assertEqual(result, versioned_declaration.DeclareResult(3))
        self.assertEqual(state.document, b"three")

    def test_entries_of_other_kinds_change_nothing(self):
        state = versioned_declaration.VersionedDeclarationState()
        entry = attrs.evolve(self.entry(1, b"x"), kind="noop")
        self.assertIsNone(state.apply_entry(entry))
        self.assertEqual(state.version, 0)

    def test_an_older_snapshot_changes_nothing(self):
        state, older = (
            versioned_declaration.VersionedDeclarationState(),
            versioned_declaration.VersionedDeclarationState(),
        )
        older.apply_entry(self.entry(2, b"two"))
        state.apply_entry(self.entry(5, b"five"))
        state.load(older.dump())
        self.assertEqual((state.version, state.document), (5, b"five"))

    def test_a_packed_document_is_the_same_or_refused(self):
        document = b'{"version": 1}' * 1000
        packed = versioned_declaration.compress(document)
        self.assertLess(len(packed), len(document) / 10)
        self.assertEqual(versioned_declaration.decompress(packed), document)
        for broken in (packed[:-3], b"no document", b""):
            with self.assertRaises(errors.ProtocolError):
                versioned_declaration.decompress(broken)

    def test_a_snapshot_carries_everything(self):
        state, other = (
            versioned_declaration.VersionedDeclarationState(),
            versioned_declaration.VersionedDeclarationState(),
        )
        state.apply_entry(self.entry(2**40, b"\x00\xff document"))
        other.load(state.dump())
        self.assertEqual((other.version, other.document), (2**40, b"\x00\xff document"))
