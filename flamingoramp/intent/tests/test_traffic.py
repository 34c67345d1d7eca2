"""Tests of the traffic configuration: look-ups, checks, and versions."""

from __future__ import annotations

import json
import time
import unittest

import attrs

from flamingoramp import errors
from flamingoramp.intent import traffic, versioned_declaration
from flamingoramp.protocol import messages


def make_route(name: str = "r", **changes) -> traffic.Route:
    """Return a valid route."""
    defaults = {"host": "h.example", "prefix": "/a/", "shares": (traffic.TrafficShare("s"),)}
    return traffic.Route(name=name, **{**defaults, **changes})


def make_declaration(*routes: traffic.Route, **changes) -> traffic.TrafficDeclaration:
    """Return a declaration with one service."""
    defaults = {"version": 1, "routes": routes, "services": (traffic.Service("s"),)}
    return traffic.TrafficDeclaration(**{**defaults, **changes})


class TestLookUp(unittest.TestCase):
    """Routes are found by host and path prefix, workspaces by API key."""

    def test_path_with_several_matches_gets_the_route_of_the_longest_prefix(self):
        declaration = make_declaration(
            make_route("root", prefix="/"),
            make_route("a", prefix="/a/"),
            make_route("ab", prefix="/a/b/"),
            make_route("other", host="other.example", prefix="/a/b/c/"),
        )
        expected = {"/": "root", "/a": "root", "/a/": "a", "/a/x": "a", "/a/b/c/d": "ab"}
        for path, name in expected.items():
            self.assertEqual(declaration.find_route("h.example", path).name, name)

    def test_path_or_host_without_a_match_gets_none(self):
        declaration = make_declaration(make_route())
        self.assertIsNone(declaration.find_route("h.example", "/b/"))
        self.assertIsNone(declaration.find_route("g.example", "/a/"))
        self.assertIsNone(declaration.find_route("h.example", ""))

    def test_key_finds_its_workspace_and_unknown_key_finds_none(self):
        workspace = traffic.Workspace("one", ("k1", "k2"))
        declaration = make_declaration(make_route(), workspaces=(workspace,))
        self.assertIs(declaration.find_workspace("k2"), workspace)
        self.assertIsNone(declaration.find_workspace("k3"))

    def test_split_follows_the_weights_and_is_the_same_for_equal_ids(self):
        route = make_route(shares=(traffic.TrafficShare("a", 90), traffic.TrafficShare("b", 10)))
        services = [route.choose_service(f"request-{number}") for number in range(2000)]
        self.assertAlmostEqual(services.count("b") / 2000, 0.1, delta=0.03)
        self.assertEqual(route.choose_service("x"), route.choose_service("x"))

    def test_share_of_weight_0_gets_no_requests(self):
        route = make_route(shares=(traffic.TrafficShare("a", 0), traffic.TrafficShare("b", 1)))
        self.assertEqual({route.choose_service(str(n)) for n in range(100)}, {"b"})


class TestLongPaths(unittest.TestCase):
    """Paths of callers that are much longer than all prefixes."""

    PATH_LENGTH = 64 * 1024
    # A tenth of the shortest objective.
    MAX_SECONDS = 0.0125

    def find(self, path: str) -> str | None:
        routes = tuple(
            traffic.Route(prefix, "h", prefix, shares=(traffic.TrafficShare("s"),))
            for prefix in ("/", "/a/", "/a/b/", "//")
        )
        route = traffic.TrafficDeclaration(version=1, routes=routes).find_route("h", path)
        return route.name if route is not None else None

    def test_longest_prefix_is_found_whatever_follows(self):
        for path, expected in (
            ("/a/b/" + "c/" * 100, "/a/b/"),
            ("/a/b", "/a/"),
            ("/a/bc/d", "/a/"),
            ("/" * 100, "//"),
            ("/", "/"),
            ("", None),
            ("x" * 100, None),
        ):
            with self.subTest(path=path[:9]):
                self.assertEqual(self.find(path), expected)

    # Guards against an entry that answers nobody while it looks for the route of one long path.
    def test_time_is_short_for_a_path_of_slashes(self):
        began_at = time.process_time()
        self.find("/" * self.PATH_LENGTH)
        self.assertLess(time.process_time() - began_at, self.MAX_SECONDS)


class TestChecks(unittest.TestCase):
    """An invalid declaration is refused with a message that says why."""

    def assert_refused(self, declaration: traffic.TrafficDeclaration, text: str) -> None:
        with self.assertRaisesRegex(errors.InvalidDeclarationError, text):
            declaration.check()

    def test_valid_declaration_is_accepted(self):
        make_declaration(make_route(), make_route("b", prefix="/b/")).check()

    def test_share_of_an_undeclared_service_is_refused(self):
        self.assert_refused(
            make_declaration(make_route(shares=(traffic.TrafficShare("t"),))), "no service 't'"
        )

    def test_two_routes_of_the_same_host_and_prefix_are_refused(self):
        self.assert_refused(make_declaration(make_route("a"), make_route("b")), "stand twice")

    def test_weights_that_add_up_to_0_are_refused(self):
        self.assert_refused(
            make_declaration(make_route(shares=(traffic.TrafficShare("s", 0),))), "add up to 0"
        )

    def test_timeout_of_0_is_refused(self):
        self.assert_refused(make_declaration(make_route(timeout_seconds=0)), "timeout is 0")

    def test_key_of_two_workspaces_is_refused(self):
        workspaces = (traffic.Workspace("one", ("k",)), traffic.Workspace("two", ("k",)))
        self.assert_refused(make_declaration(make_route(), workspaces=workspaces), "share a key")

    def test_prefix_without_a_final_slash_is_refused(self):
        self.assert_refused(make_declaration(make_route(prefix="/a")), "slash")


class TestEngineCostModel(unittest.TestCase):
    """Prefill times by the published cost model of an engine."""

    def test_prefill_time_grows_quadratically_for_long_prompts(self):
        model = traffic.EngineCostModel(
            step_seconds=0.00131,
            prefill_tokens_per_second=154_000,
            pair_seconds=0.162e-9,
            chunk_tokens=2048,
        )
        self.assertAlmostEqual(model.prefill_seconds(4960), 0.038, delta=0.002)
        self.assertAlmostEqual(model.prefill_seconds(182_000), 3.98, delta=0.05)


class TestVersionedDeclarationState(unittest.TestCase):
    """The highest version is in force; a lower or equal one never replaces it."""

    def make_entry(self, version: int, document: bytes) -> messages.LogEntry:
        payload = versioned_declaration.encode(version, versioned_declaration.compress(document))
        return messages.LogEntry(1, 1, versioned_declaration.KIND_DECLARE, payload)

    def test_entries_in_any_order_leave_the_highest_version_in_force(self):
        state = versioned_declaration.VersionedDeclarationState()
        for version, document in [(3, b"three"), (2, b"two"), (3, b"other"), (7, b"seven")]:
            state.apply_entry(self.make_entry(version, document))
        self.assertEqual((state.version, state.document), (7, b"seven"))

    def test_second_document_of_the_same_version_is_ignored(self):
        state = versioned_declaration.VersionedDeclarationState()
        state.apply_entry(self.make_entry(3, b"three"))
        result = state.apply_entry(self.make_entry(3, b"other"))
        self.assertEqual(result, versioned_declaration.DeclareResult(3))
        self.assertEqual(state.document, b"three")

    def test_entries_of_other_kinds_are_ignored(self):
        state = versioned_declaration.VersionedDeclarationState()
        entry = attrs.evolve(self.make_entry(1, b"x"), kind="noop")
        self.assertIsNone(state.apply_entry(entry))
        self.assertEqual(state.version, 0)

    def test_snapshot_of_an_older_version_is_ignored(self):
        state, older = (
            versioned_declaration.VersionedDeclarationState(),
            versioned_declaration.VersionedDeclarationState(),
        )
        older.apply_entry(self.make_entry(2, b"two"))
        state.apply_entry(self.make_entry(5, b"five"))
        state.load(older.dump())
        self.assertEqual((state.version, state.document), (5, b"five"))

    def test_compressed_document_round_trips_and_corrupt_data_is_refused(self):
        document = b'{"version": 1}' * 1000
        compressed = versioned_declaration.compress(document)
        self.assertLess(len(compressed), len(document) / 10)
        self.assertEqual(versioned_declaration.decompress(compressed), document)
        for corrupt in (compressed[:-3], b"no document", b""):
            with self.assertRaises(errors.ProtocolError):
                versioned_declaration.decompress(corrupt)

    def test_log_entries_and_snapshots_of_earlier_builds_are_read(self):
        state, restored = (
            versioned_declaration.VersionedDeclarationState(),
            versioned_declaration.VersionedDeclarationState(),
        )
        entry = messages.LogEntry(1, 1, "declare", (3).to_bytes(8, "big") + b'{"a": 1}')
        self.assertEqual(state.apply_entry(entry), versioned_declaration.DeclareResult(3))
        header = b'{"version": 4}'
        restored.load(len(header).to_bytes(4, "big") + header + b'{"b": 2}')
        self.assertEqual((state.version, state.document), (3, b'{"a": 1}'))
        self.assertEqual((restored.version, restored.document), (4, b'{"b": 2}'))

    def test_log_and_snapshot_hold_less_than_a_fifth_of_a_large_document(self):
        document = json.dumps([{"name": f"r-{n}", "timeout": 100 + n} for n in range(1400)])
        entry = self.make_entry(1, document.encode())
        state = versioned_declaration.VersionedDeclarationState()
        state.apply_entry(entry)
        for stored in (entry.payload, state.dump()):
            self.assertLess(len(stored), len(document) / 5)

    def test_snapshot_round_trip_keeps_version_and_document(self):
        state, restored = (
            versioned_declaration.VersionedDeclarationState(),
            versioned_declaration.VersionedDeclarationState(),
        )
        state.apply_entry(self.make_entry(2**40, b"\x00\xff document"))
        restored.load(state.dump())
        self.assertEqual((restored.version, restored.document), (2**40, b"\x00\xff document"))
