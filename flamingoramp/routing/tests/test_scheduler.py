"""Tests of the owner's decisions."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp import errors
from flamingoramp.intent import declarations
from flamingoramp.protocol import messages
from flamingoramp.routing import effects, fleet, isolation, ledger, scheduler

RATE = 10_000.0
MEMORY = 100_000
BEGIN = 100.0


def make_declaration(**policy) -> declarations.Declaration:
    """Return a declaration of one service and two workspaces.

    The engines of these tests are slow, so that more seconds count as short.
    """
    return declarations.Declaration(
        services=(declarations.ServiceDeclaration("llm"),),
        workspaces=(
            declarations.WorkspaceDeclaration("large", max_waiting=1000),
            declarations.WorkspaceDeclaration("small", max_waiting=5),
        ),
        policy=declarations.PolicyDeclaration(**({"short_seconds": 0.3} | policy)),
    )


def announce(name: str, sequence: int = 1, **changes) -> messages.Announcement:
    """Return an engine's announcement."""
    values = {
        "server": name,
        "service": "llm",
        "incarnation": 1,
        "sequence": sequence,
        "url": f"http://{name}",
        "zone": "z",
        "memory_tokens": MEMORY,
        "slots": 64,
        "prefill_rate": RATE,
        "decode_seconds": 0.02,
        "models": ("m@1",),
    }
    return messages.Announcement(**(values | changes))


def reserve(request: str, tokens: int = 1000, **changes) -> messages.Reserve:
    """Return a request for a place."""
    values = {
        "attempt": 1,
        "service": "llm",
        "workspace": "large",
        "model": "m",
        "prompt_tokens": tokens,
        "output_tokens": 10,
        "remaining": 60.0,
        "entry": "e",
        "entry_address": "e:1",
        "zone": "z",
        "fingerprint": request,
    }
    return messages.Reserve(request_id=request, **(values | changes))


class Owned:
    """A scheduler with engines, and what it answered."""

    def __init__(self, engines: int, **policy):
        self.now = BEGIN
        self.scheduler = scheduler.Scheduler(
            shard="llm/0",
            declaration=make_declaration(**policy),
            lease_seconds=2.5,
            reservation_expiry_seconds=4.0,
            crash_tracker=isolation.CrashTracker("test"),
        )
        self.scheduler.begin_ownership(1, set(), BEGIN)
        self.names = [f"e{number}" for number in range(engines)]
        self.sequence = 0
        self.grants: dict[str, messages.Grant] = {}
        self.refusals: dict[str, messages.Refuse] = {}
        self.cancelled: list[effects.CancelAtServer] = []
        self.reports: list[effects.ReportSuspects] = []
        self.advance(3.0)

    def take(self, batch: list) -> None:
        """Sort effects."""
        for effect in batch:
            match effect:
                case effects.Reply(_, messages.Grant() as grant):
                    self.grants[grant.request_id] = grant
                case effects.Reply(_, messages.Refuse() as refusal):
                    self.refusals[refusal.request_id] = refusal
                case effects.CancelAtServer():
                    self.cancelled.append(effect)
                case effects.ReportSuspects():
                    self.reports.append(effect)
                    self.scheduler.crash_tracker.mark_committed(effect.report.report_id, 1)

    def send(self, *sent) -> None:
        """Hand messages to the scheduler."""
        for message in sent:
            self.take(self.scheduler.handle(message, self.now))

    def advance(self, seconds: float, *, silent: tuple[str, ...] = ()) -> None:
        """Let time pass while engines announce themselves."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self.sequence += 1
            for name in self.names:
                if name not in silent:
                    self.send(announce(name, self.sequence))
            self.take(self.scheduler.tick(self.now))
            held = self.scheduler.fleet.ledger.all()
            for entry in {one.entry for one in held} - {"dead"}:
                self.report(entry)

    def report(self, entry: str) -> None:
        """Let an entry report all that it holds."""
        for reservation in self.scheduler.fleet.ledger.all():
            if reservation.entry == entry:
                reservation.renewed_at = self.now

    def finish(self, request: str, result: str = "done") -> None:
        """End an attempt."""
        grant = self.grants[request]
        self.send(messages.Release(request, grant.attempt, "llm/0", result, grant.servers[-1]))

    def prefilled(self, request: str) -> None:
        """Report the first token."""
        self.send(messages.PrefillDone(request, self.grants[request].attempt, "llm/0", 0.1))


class TestPlacement(unittest.TestCase):
    """Which engine a request gets."""

    def test_short_requests_keep_engines_free_of_long_prompts(self):
        owned = Owned(4)
        for number in range(8):
            owned.send(reserve(f"long{number}", 60_000))
        owned.send(reserve("short", 1000))
        long_engines = {s for r, g in owned.grants.items() if r != "short" for s in g.servers}
        self.assertTrue(long_engines)
        self.assertIn("short", owned.grants)
        self.assertNotIn(owned.grants["short"].servers[0], long_engines)

    def test_memory_is_never_reserved_twice(self):
        owned = Owned(2)
        for number in range(40):
            owned.send(reserve(f"r{number}", 30_000))
            for name in owned.names:
                self.assertLessEqual(owned.scheduler.fleet.ledger.reserved_tokens(name), MEMORY)

    def test_cached_prefix_outweighs_an_idle_engine(self):
        owned = Owned(3)
        owned.send(reserve("first", 9000, prefix_hashes=(1, 2, 3, 4)))
        owned.finish("first")
        for number in range(5):
            request = f"again{number}"
            owned.send(reserve(request, 9000, prefix_hashes=(1, 2, 3, 4)))
            self.assertEqual(owned.grants[request].servers, owned.grants["first"].servers)
            self.assertEqual(owned.grants[request].cached_tokens, 8192)
            owned.finish(request)

    def test_queueing_outweighs_a_cached_prefix(self):
        owned = Owned(2)
        owned.send(reserve("first", 3000, prefix_hashes=(1, 2)))
        owned.prefilled("first")
        owned.send(reserve("busy", 9000))
        owned.send(reserve("second", 3000, prefix_hashes=(1, 2)))
        busy = owned.grants["busy"].servers
        self.assertNotEqual(owned.grants["second"].servers, busy)

    def test_leaving_and_silent_engines_get_nothing(self):
        owned = Owned(3)
        owned.send(announce("e0", owned.sequence + 1, leaving=True))
        owned.names.remove("e0")
        owned.advance(3.0, silent=("e1",))
        for number in range(6):
            owned.send(reserve(f"r{number}"))
        servers = {server for grant in owned.grants.values() for server in grant.servers}
        self.assertEqual(servers, {"e2"})

    def test_repeated_request_gets_the_same_grant(self):
        owned = Owned(3)
        owned.send(reserve("r"))
        first = owned.grants.pop("r")
        owned.send(reserve("r"))
        self.assertEqual(owned.grants["r"].servers, first.servers)
        self.assertEqual(len(owned.scheduler.fleet.ledger), 1)


class TestGroups(unittest.TestCase):
    """Prompts that need more than twice one engine's memory."""

    def test_group_is_taken_whole(self):
        owned = Owned(4)
        owned.send(reserve("big", 250_000))
        grant = owned.grants["big"]
        self.assertEqual(len(set(grant.servers)), 3)
        self.assertEqual(sum(grant.tokens), 250_010)

    def test_two_groups_do_not_block_each_other(self):
        owned = Owned(4)
        owned.send(reserve("big1", 250_000), reserve("big2", 250_000))
        self.assertNotIn("big2", owned.grants)
        held = owned.scheduler.fleet.ledger
        self.assertEqual(sum(held.reserved_tokens(name) for name in owned.names), 250_010)
        owned.finish("big1")
        self.assertIn("big2", owned.grants)

    def test_waiting_group_is_not_starved(self):
        owned = Owned(3)
        rng = random.Random(3)
        running = []
        for number in range(300):
            request = f"r{number}"
            owned.send(reserve(request, 20_000))
            if number == 20:
                owned.send(reserve("big", 250_000))
            running += [one for one in owned.grants if one not in running and one != "big"]
            for one in running:
                owned.prefilled(one)
            if len(running) > 6:
                owned.finish(running.pop(rng.randrange(3)))
            owned.advance(0.1)
            if "big" in owned.grants:
                return
        self.fail("the group never got its engines")

    def test_prompt_that_fits_nowhere_is_refused_at_once(self):
        owned = Owned(2)
        owned.send(reserve("huge", 500_000))
        self.assertEqual(owned.refusals["huge"].code, errors.PromptTooLongError.code)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 1000), min_size=1, max_size=8),
        strategies.integers(1, 4000),
    )
    def test_split(self, free, need):
        parts = fleet.split_tokens(need, free)
        if sum(free) < need:
            self.assertIsNone(parts)
        else:
            self.assertEqual(sum(parts), need)
            self.assertTrue(all(part <= room for part, room in zip(parts, free, strict=True)))


class TestAdmission(unittest.TestCase):
    """What can't meet its limit is refused at once."""

    def test_no_time_left_for_the_prefill(self):
        owned = Owned(2)
        owned.send(reserve("late", 90_000, remaining=5.0))
        refusal = owned.refusals["late"]
        self.assertEqual(refusal.code, errors.OverloadedError.code)
        self.assertGreater(refusal.retry_after, 0)

    def test_overload_is_refused_before_it_queues(self):
        owned = Owned(1)
        for number in range(100):
            owned.send(reserve(f"r{number}", 9000, remaining=10.0))
        self.assertGreater(len(owned.refusals), 80)
        self.assertLess(owned.scheduler.waiting_count, 15)

    def test_waiting_request_without_a_chance_is_answered_before_its_deadline(self):
        owned = Owned(1)
        owned.send(reserve("holder", 90_000, remaining=500.0))
        owned.prefilled("holder")
        owned.send(reserve("waiter", 20_000, remaining=6.0))
        owned.advance(4.5)
        self.assertEqual(owned.refusals["waiter"].code, errors.OverloadedError.code)

    def test_workspace_has_a_limit(self):
        owned = Owned(1)
        owned.send(reserve("holder", 90_000, remaining=500.0))
        for number in range(8):
            owned.send(reserve(f"s{number}", 20_000, workspace="small", remaining=500.0))
        codes = [one.code for one in owned.refusals.values()]
        self.assertEqual(codes, [errors.QuotaExceededError.code] * 3)

    def test_workspaces_share_by_weight(self):
        owned = Owned(1)
        owned.send(reserve("holder", 2000))
        for number in range(50):
            owned.send(reserve(f"large{number}", 2000, remaining=500.0))
        owned.send(reserve("small", 2000, workspace="small", remaining=500.0))
        order = []
        current = "holder"
        while owned.scheduler.waiting_count:
            owned.finish(current)
            current = next(one for one in owned.grants if one not in [*order, "holder"])
            order.append(current)
        self.assertLess(order.index("small"), 3)

    def test_new_owner_does_not_refuse_before_servers_announced_themselves(self):
        owned = Owned(0)
        owned.scheduler.begin_ownership(2, set(), owned.now)
        owned.send(reserve("early"))
        self.assertEqual(owned.refusals, {})
        owned.names = ["e0"]
        owned.advance(0.5)
        self.assertIn("early", owned.grants)


class TestMemoryReturns(unittest.TestCase):
    """Deaths of entry, owner and engine."""

    def test_entry_that_died(self):
        owned = Owned(2)
        owned.send(reserve("r", 5000, entry="dead"))
        owned.advance(4.5)
        self.assertEqual(len(owned.scheduler.fleet.ledger), 0)
        self.assertEqual([one.request_id for one in owned.cancelled], ["r"])

    def test_release_that_was_lost(self):
        owned = Owned(2)
        owned.send(reserve("r", 5000, entry="dead"))
        owned.now += 2.0
        owned.send(messages.HoldReport("dead", "e:1", "llm/0"))
        self.assertEqual(len(owned.scheduler.fleet.ledger), 0)

    def test_engine_that_restarted(self):
        owned = Owned(3)
        owned.send(reserve("big", 250_000))
        dead = owned.grants["big"].servers[0]
        owned.send(announce(dead, 1, incarnation=2))
        self.assertEqual(len(owned.scheduler.fleet.ledger), 0)
        self.assertEqual(
            sorted(one.url for one in owned.cancelled),
            sorted(f"http://{name}" for name in owned.names if name != dead),
        )

    def test_new_owner_learns_what_is_held(self):
        owned = Owned(1)
        owned.scheduler.begin_ownership(2, {"e"}, owned.now)
        owned.send(reserve("new", 50_000))
        self.assertNotIn("new", owned.grants, "nothing is granted before entries told")
        held = messages.HeldReservation("old", 1, ("e0",), (80_000,), "f", True)
        owned.send(messages.HoldReport("e", "e:1", "llm/0", (held,), ("new",), True))
        self.assertNotIn("new", owned.grants)
        owned.send(messages.Release("old", 1, "llm/0", "done", "e0"))
        self.assertIn("new", owned.grants)


class TestCrashes(unittest.TestCase):
    """Contents that crash engines."""

    def crash(self, owned: Owned, request: str) -> None:
        """Let a request crash its engine, which comes back as a new incarnation."""
        name = owned.grants[request].servers[0]
        owned.finish(request, "crashed")
        member = owned.scheduler.fleet.directory.find(name)
        incarnation = member.announcement.incarnation + 1
        owned.send(announce(name, 1, incarnation=incarnation))

    def test_one_content_sent_50_times_costs_three_engines(self):
        owned = Owned(14)
        crashes = 0
        for number in range(50):
            owned.send(reserve(f"r{number}", fingerprint="poison"))
        while set(owned.grants) - set(owned.refusals):
            request = next(iter(owned.grants))
            crashes += 1
            self.crash(owned, request)
            del owned.grants[request]
            owned.send(reserve(request, attempt=2, fingerprint="poison"))
        self.assertEqual(crashes, 3)
        self.assertEqual(len(owned.refusals), 50)
        codes = {one.code for one in owned.refusals.values()}
        self.assertEqual(codes, {errors.RequestQuarantinedError.code})

    def test_lost_report_of_a_crash_is_learned_from_the_next_attempt(self):
        owned = Owned(4)
        owned.send(reserve("r0", fingerprint="poison"))
        (server,) = owned.grants.pop("r0").servers
        owned.send(reserve("r0", attempt=2, fingerprint="poison", excluded=(server,)))
        self.assertTrue(owned.scheduler.crash_tracker.is_suspect("poison"))
        self.assertNotIn(("r0", 1), owned.scheduler.fleet.ledger)

    def test_engine_gone_for_good_makes_suspects_of_all_that_ran_there(self):
        owned = Owned(1)
        owned.send(reserve("r0", fingerprint="poison"), reserve("r1", fingerprint="other"))
        owned.names.clear()
        owned.advance(3.0)
        owned.finish("r1", "silent")
        self.assertTrue(owned.scheduler.crash_tracker.is_suspect("other"))
        self.assertTrue(owned.scheduler.crash_tracker.is_suspect("poison"))

    def test_innocent_neighbours_are_cleared_and_run_again(self):
        owned = Owned(1)
        for number in range(5):
            owned.send(reserve(f"r{number}", 1000))
            owned.prefilled(f"r{number}")
        owned.send(reserve("poison", 1000))
        self.crash(owned, "poison")
        names = [f"r{number}" for number in range(5)]
        owned.grants.clear()
        for name in names:
            owned.send(reserve(name, 1000, attempt=2))
        for _ in names:
            running = list(owned.grants)
            self.assertEqual(len(running), 1, "suspects run one at a time")
            owned.finish(running[0])
            self.assertFalse(owned.scheduler.crash_tracker.is_suspect(running[0]))
            del owned.grants[running[0]]
        self.assertEqual(owned.refusals, {})

    def test_suspect_that_needs_a_group_runs_again(self):
        owned = Owned(4)
        owned.send(reserve("big", 250_000))
        self.crash(owned, "big")
        del owned.grants["big"]
        owned.send(reserve("big", 250_000, attempt=2))
        self.assertEqual(len(owned.grants["big"].servers), 3)

    def test_broken_connection_of_a_living_engine_is_forgiven(self):
        owned = Owned(3)
        owned.send(reserve("r"))
        owned.finish("r", "crashed")
        self.assertTrue(owned.scheduler.crash_tracker.is_suspect("r"))
        owned.advance(2.0)
        self.assertFalse(owned.scheduler.crash_tracker.is_suspect("r"))


class TestIsolation(unittest.TestCase):
    """Suspicions survive lists of suspects that are older than they."""

    def test_late_list_does_not_take_a_crash_back(self):
        found = isolation.CrashTracker("test")
        last = announce("e0")
        first = found.watch("e0", {"f": False}, last, disconnected=True)
        found.mark_committed(first.report_id, 1)
        found.record_crash("e0", {})
        second = found.watch("e1", {"f": True}, last, disconnected=True)
        found.mark_committed(second.report_id, 3)
        found.load((messages.Suspect("f", 0, False, "llm"),), 2)
        third = found.watch("e2", {"f": True}, last, disconnected=True)
        found.mark_committed(third.report_id, 4)
        self.assertTrue(found.is_confirmed("f"))
        found.load((messages.Suspect("f", 2, True, "llm"),), 4)
        self.assertTrue(found.is_confirmed("f"))


class TestLedger(unittest.TestCase):
    """The ledger against a plain sum."""

    def test_random_reservations(self):
        rng = random.Random(7)
        book = ledger.Ledger()
        naive: dict[tuple, dict[str, int]] = {}
        for step in range(3000):
            key = (f"r{rng.randrange(40)}", 1)
            if key in naive:
                book.release(key)
                del naive[key]
            else:
                held = {f"s{n}": rng.randrange(1000) for n in rng.sample(range(5), 2)}
                reservation = ledger.Reservation(
                    *key, tuple(held), tuple(held.values()), "e", "a", "f", 0.0, float(step)
                )
                book.add(reservation)
                naive[key] = held
            for server in (f"s{n}" for n in range(5)):
                expected = sum(held.get(server, 0) for held in naive.values())
                self.assertEqual(book.reserved_tokens(server), expected)

    def test_double_reservation_is_a_violation(self):
        book = ledger.Ledger()
        one = ledger.Reservation("r", 1, ("s",), (5,), "e", "a", "f", 0.0, 0.0)
        book.add(one)
        with self.assertRaises(errors.InvariantViolationError):
            book.add(one)
        self.assertIsNone(book.release(("other", 1)))
