"""Tests of the scheduler's decisions."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from flamingoramp import errors
from flamingoramp.intent import declarations
from flamingoramp.protocol import shard_messages
from flamingoramp.routing import effects, fleet, isolation, ledger, scheduler

PREFILL_TOKENS_PER_SECOND = 10_000.0
MEMORY_TOKENS = 100_000
START_SECONDS = 100.0


def make_declaration(**policy) -> declarations.Declaration:
    """Return a declaration of one service and two workspaces.

    The engines of these tests prefill slowly, so prompts count as short up to 0.3 s.
    """
    return declarations.Declaration(
        services=(declarations.ServiceDeclaration("llm"),),
        workspaces=(
            declarations.WorkspaceDeclaration("large", max_waiting=1000),
            declarations.WorkspaceDeclaration("small", max_waiting=5),
        ),
        policy=declarations.PolicyDeclaration(**({"short_seconds": 0.3} | policy)),
    )


def announce(name: str, sequence: int = 1, **changes) -> shard_messages.Announcement:
    """Return an engine's announcement, with ``changes`` of its fields."""
    values = {
        "server": name,
        "service": "llm",
        "incarnation": 1,
        "sequence": sequence,
        "url": f"http://{name}",
        "zone": "z",
        "memory_tokens": MEMORY_TOKENS,
        "slots": 64,
        "prefill_rate": PREFILL_TOKENS_PER_SECOND,
        "decode_seconds": 0.02,
        "models": ("m@1",),
    }
    return shard_messages.Announcement(**(values | changes))


def reserve(request: str, tokens: int = 1000, **changes) -> shard_messages.Reserve:
    """Return a reserve message, with ``changes`` of its fields."""
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
    return shard_messages.Reserve(request_id=request, **(values | changes))


class SchedulerHarness:
    """A scheduler with engines that announce themselves, and the effects it returned."""

    def __init__(self, engines: int, **policy):
        self.now = START_SECONDS
        self.scheduler = scheduler.Scheduler(
            shard="llm/0",
            declaration=make_declaration(**policy),
            lease_seconds=2.5,
            reservation_expiry_seconds=4.0,
            crash_tracker=isolation.CrashTracker("test"),
        )
        self.scheduler.begin_ownership(1, set(), START_SECONDS)
        self.names = [f"e{number}" for number in range(engines)]
        self.sequence = 0
        self.grants: dict[str, shard_messages.Grant] = {}
        self.refusals: dict[str, shard_messages.Refuse] = {}
        self.cancelled: list[effects.CancelAtServer] = []
        self.reports: list[effects.ReportSuspects] = []
        self.leave_notices: list[shard_messages.ServerLeaving] = []
        self.advance(3.0)

    def collect(self, batch: list) -> None:
        """Store effects by type and mark reports as committed."""
        for effect in batch:
            match effect:
                case effects.Reply(_, shard_messages.Grant() as grant):
                    self.grants[grant.request_id] = grant
                case effects.Reply(_, shard_messages.Refuse() as refusal):
                    self.refusals[refusal.request_id] = refusal
                case effects.Reply(_, shard_messages.ServerLeaving() as notice):
                    self.leave_notices.append(notice)
                case effects.CancelAtServer():
                    self.cancelled.append(effect)
                case effects.ReportSuspects():
                    self.reports.append(effect)
                    self.scheduler.crash_tracker.mark_committed(effect.report.report_id, 1)

    def send(self, *sent) -> None:
        """Pass messages to the scheduler at the current time."""
        for message in sent:
            self.collect(self.scheduler.handle(message, self.now))

    def advance(self, seconds: float, *, lapsing: tuple[str, ...] = ()) -> None:
        """Advance the clock in steps of 0.1 s.

        Engines except ``lapsing`` announce themselves, and entries except ``"stopped"`` renew their
        reservations.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self.sequence += 1
            for name in self.names:
                if name not in lapsing:
                    self.send(announce(name, self.sequence))
            self.collect(self.scheduler.tick(self.now))
            held = self.scheduler.fleet.ledger.all()
            for entry in {reservation.entry for reservation in held} - {"stopped"}:
                self.renew(entry)

    def renew(self, entry: str) -> None:
        """Renew all reservations of an entry, as its hold reports do."""
        for reservation in self.scheduler.fleet.ledger.all():
            if reservation.entry == entry:
                reservation.renewed_at = self.now

    def finish(self, request: str, result: str = "done") -> None:
        """Release a granted attempt with a result."""
        grant = self.grants[request]
        self.send(
            shard_messages.Release(request, grant.attempt, "llm/0", result, grant.servers[-1])
        )

    def finish_prefill(self, request: str) -> None:
        """Report the first token of a granted attempt."""
        self.send(shard_messages.PrefillDone(request, self.grants[request].attempt, "llm/0", 0.1))


class TestEvacuatedZones(unittest.TestCase):
    """Servers of an evacuated zone get nothing new, and keep what runs there."""

    def setUp(self):
        self.harness = SchedulerHarness(4)
        self.harness.names = ["e0", "e1"]
        self.harness.advance(3.0)
        self.advance(0.2)

    def advance(self, seconds: float) -> None:
        """Let time pass, in which two more engines announce themselves from another zone."""
        for _ in range(round(seconds / 0.1)):
            self.harness.advance(0.1)
            for name in ("o0", "o1"):
                self.harness.send(announce(name, self.harness.sequence, zone="other"))

    def granted_servers(self) -> set[str]:
        return {name for grant in self.harness.grants.values() for name in grant.servers}

    def test_load_goes_to_the_servers_of_the_other_zone(self):
        """Load pattern: short requests and a group while a zone is evacuated and restored."""
        self.harness.send(reserve("before"))
        self.harness.scheduler.evacuate(("z",))
        for number in range(8):
            self.harness.send(reserve(f"r{number}"))
        self.harness.send(reserve("group", 150_000))
        self.advance(1.0)
        for request, grant in self.harness.grants.items():
            if request != "before":
                self.assertLessEqual(set(grant.servers), {"o0", "o1"})
        self.assertEqual(len(self.harness.grants["r7"].servers), 1)
        self.assertEqual(self.harness.cancelled, [])
        self.harness.scheduler.evacuate(())
        for number in range(16):
            self.harness.send(reserve(f"s{number}"))
        self.advance(1.0)
        self.assertTrue(self.granted_servers() & {"e0", "e1"})

    def test_requests_are_refused_at_once_while_all_zones_are_evacuated(self):
        self.harness.scheduler.evacuate(("z", "other"))
        self.harness.send(reserve("r"))
        self.assertEqual(self.harness.refusals["r"].code, errors.NoBackendError.code)

    def test_queued_requests_are_refused_when_all_zones_become_evacuated(self):
        for number in range(200):
            self.harness.send(reserve(f"r{number}", 20_000))
        waiting = self.harness.scheduler.waiting_count
        self.assertGreater(waiting, 0)
        self.harness.scheduler.evacuate(("z", "other"))
        self.advance(0.2)
        self.assertEqual(self.harness.scheduler.waiting_count, 0)

    def test_least_loaded_selection_leaves_the_zone_out(self):
        self.harness = SchedulerHarness(2, selection="naive")
        self.advance(0.2)
        self.harness.scheduler.evacuate(("z",))
        self.harness.send(*(reserve(f"r{number}") for number in range(4)))
        self.assertLessEqual(self.granted_servers(), {"o0", "o1"})


class TestPlacement(unittest.TestCase):
    """Choice of the engine for a request that fits one engine."""

    def test_short_request_gets_engine_without_long_prompt(self):
        harness = SchedulerHarness(4)
        for number in range(8):
            harness.send(reserve(f"long{number}", 60_000))
        harness.send(reserve("short", 1000))
        long_engines = {
            server
            for request, grant in harness.grants.items()
            if request != "short"
            for server in grant.servers
        }
        self.assertTrue(long_engines)
        self.assertIn("short", harness.grants)
        self.assertNotIn(harness.grants["short"].servers[0], long_engines)

    def test_requests_beyond_capacity_never_exceed_engine_memory(self):
        harness = SchedulerHarness(2)
        for number in range(40):
            harness.send(reserve(f"r{number}", 30_000))
            for name in harness.names:
                self.assertLessEqual(
                    harness.scheduler.fleet.ledger.reserved_tokens(name), MEMORY_TOKENS
                )

    def test_cached_prefix_is_preferred_to_idle_engine(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("first", 9000, prefix_hashes=(1, 2, 3, 4)))
        harness.finish("first")
        for number in range(5):
            request = f"again{number}"
            harness.send(reserve(request, 9000, prefix_hashes=(1, 2, 3, 4)))
            self.assertEqual(harness.grants[request].servers, harness.grants["first"].servers)
            self.assertEqual(harness.grants[request].cached_tokens, 8192)
            harness.finish(request)

    def test_idle_engine_is_preferred_to_busy_one_with_cached_prefix(self):
        harness = SchedulerHarness(2)
        harness.send(reserve("first", 3000, prefix_hashes=(1, 2)))
        harness.finish_prefill("first")
        harness.send(reserve("busy", 9000))
        harness.send(reserve("second", 3000, prefix_hashes=(1, 2)))
        busy = harness.grants["busy"].servers
        self.assertNotEqual(harness.grants["second"].servers, busy)

    def test_leaving_and_lapsed_engines_get_no_requests(self):
        harness = SchedulerHarness(3)
        harness.send(announce("e0", harness.sequence + 1, leaving=True))
        harness.names.remove("e0")
        harness.advance(3.0, lapsing=("e1",))
        for number in range(6):
            harness.send(reserve(f"r{number}"))
        servers = {server for grant in harness.grants.values() for server in grant.servers}
        self.assertEqual(servers, {"e2"})

    def test_repeated_reserve_message_gets_same_grant(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("r"))
        first = harness.grants.pop("r")
        harness.send(reserve("r"))
        self.assertEqual(harness.grants["r"].servers, first.servers)
        self.assertEqual(len(harness.scheduler.fleet.ledger), 1)


class TestGroups(unittest.TestCase):
    """Prompts that need more memory than two engines have."""

    def test_prompt_larger_than_one_engine_reserves_all_engines_at_once(self):
        harness = SchedulerHarness(4)
        harness.send(reserve("big", 250_000))
        grant = harness.grants["big"]
        self.assertEqual(len(set(grant.servers)), 3)
        self.assertEqual(sum(grant.tokens), 250_010)

    def test_holder_of_group_is_told_of_each_announcement_that_a_member_leaves(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("large", 2 * MEMORY_TOKENS + 1000))
        harness.send(reserve("small"))
        for sequence in (1, 2):
            harness.send(announce("e1", harness.sequence + sequence, leaving=True))
        notice = shard_messages.ServerLeaving("large", 1, "llm/0", "e1")
        self.assertEqual(harness.leave_notices, [notice, notice])

    def test_holder_of_group_is_not_told_of_leave_after_first_token(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("large", 2 * MEMORY_TOKENS + 1000))
        harness.finish_prefill("large")
        harness.send(announce("e1", harness.sequence + 1, leaving=True))
        self.assertEqual(harness.leave_notices, [])

    def test_second_group_reserves_nothing_until_first_finishes(self):
        harness = SchedulerHarness(4)
        harness.send(reserve("big1", 250_000), reserve("big2", 250_000))
        self.assertNotIn("big2", harness.grants)
        held = harness.scheduler.fleet.ledger
        self.assertEqual(sum(held.reserved_tokens(name) for name in harness.names), 250_010)
        harness.finish("big1")
        self.assertIn("big2", harness.grants)

    def test_group_among_small_requests_is_eventually_granted(self):
        harness = SchedulerHarness(3)
        rng = random.Random(3)
        running = []
        for number in range(300):
            request = f"r{number}"
            harness.send(reserve(request, 20_000))
            if number == 20:
                harness.send(reserve("big", 250_000))
            running += [name for name in harness.grants if name not in running and name != "big"]
            for name in running:
                harness.finish_prefill(name)
            if len(running) > 6:
                harness.finish(running.pop(rng.randrange(3)))
            harness.advance(0.1)
            if "big" in harness.grants:
                return
        self.fail("the group was not granted within 300 steps")

    def test_prompt_larger_than_all_engines_is_refused_at_once(self):
        harness = SchedulerHarness(2)
        harness.send(reserve("huge", 500_000))
        self.assertEqual(harness.refusals["huge"].code, errors.PromptTooLongError.code)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 1000), min_size=1, max_size=8),
        strategies.integers(1, 4000),
    )
    def test_split_tokens_assigns_all_tokens_or_returns_none(self, free, need):
        parts = fleet.split_tokens(need, free)
        if sum(free) < need:
            self.assertIsNone(parts)
        else:
            self.assertEqual(sum(parts), need)
            self.assertTrue(all(part <= room for part, room in zip(parts, free, strict=True)))


class TestAdmission(unittest.TestCase):
    """Refusal of requests that can't meet their time limit or exceed their workspace's quota."""

    def test_request_with_less_time_than_its_prefill_is_refused(self):
        harness = SchedulerHarness(2)
        harness.send(reserve("late", 90_000, remaining=5.0))
        refusal = harness.refusals["late"]
        self.assertEqual(refusal.code, errors.OverloadedError.code)
        self.assertGreater(refusal.retry_after, 0)

    def test_requests_beyond_capacity_are_refused_on_arrival(self):
        harness = SchedulerHarness(1)
        for number in range(100):
            harness.send(reserve(f"r{number}", 9000, remaining=10.0))
        self.assertGreater(len(harness.refusals), 80)
        self.assertLess(harness.scheduler.waiting_count, 15)

    def test_waiting_request_that_cannot_finish_is_refused_before_deadline(self):
        harness = SchedulerHarness(1)
        harness.send(reserve("holder", 90_000, remaining=500.0))
        harness.finish_prefill("holder")
        harness.send(reserve("waiter", 20_000, remaining=6.0))
        harness.advance(4.5)
        self.assertEqual(harness.refusals["waiter"].code, errors.OverloadedError.code)

    def test_requests_beyond_max_waiting_of_workspace_are_refused(self):
        harness = SchedulerHarness(1)
        harness.send(reserve("holder", 90_000, remaining=500.0))
        for number in range(8):
            harness.send(reserve(f"s{number}", 20_000, workspace="small", remaining=500.0))
        codes = [refusal.code for refusal in harness.refusals.values()]
        self.assertEqual(codes, [errors.QuotaExceededError.code] * 3)

    def test_request_of_idle_workspace_precedes_queue_of_busy_workspace(self):
        harness = SchedulerHarness(1)
        harness.send(reserve("holder", 2000))
        for number in range(50):
            harness.send(reserve(f"large{number}", 2000, remaining=500.0))
        harness.send(reserve("small", 2000, workspace="small", remaining=500.0))
        order = []
        current = "holder"
        while harness.scheduler.waiting_count:
            harness.finish(current)
            current = next(name for name in harness.grants if name not in [*order, "holder"])
            order.append(current)
        self.assertLess(order.index("small"), 3)

    def test_new_owner_queues_requests_until_servers_announce_themselves(self):
        harness = SchedulerHarness(0)
        harness.scheduler.begin_ownership(2, set(), harness.now)
        harness.send(reserve("early"))
        self.assertEqual(harness.refusals, {})
        harness.names = ["e0"]
        harness.advance(0.5)
        self.assertIn("early", harness.grants)


class TestReservationRecovery(unittest.TestCase):
    """Release of reservations when an entry, an engine or the owner fails."""

    def test_reservation_of_stopped_entry_expires_and_is_cancelled(self):
        harness = SchedulerHarness(2)
        harness.send(reserve("r", 5000, entry="stopped"))
        harness.advance(4.5)
        self.assertEqual(len(harness.scheduler.fleet.ledger), 0)
        self.assertEqual([effect.request_id for effect in harness.cancelled], ["r"])

    def test_reservation_missing_from_hold_report_is_released(self):
        harness = SchedulerHarness(2)
        harness.send(reserve("r", 5000, entry="stopped"))
        harness.now += 2.0
        harness.send(shard_messages.HoldReport("stopped", "e:1", "llm/0"))
        self.assertEqual(len(harness.scheduler.fleet.ledger), 0)

    def test_restart_of_one_engine_releases_and_cancels_its_group(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("big", 250_000))
        restarted = harness.grants["big"].servers[0]
        harness.send(announce(restarted, 1, incarnation=2))
        self.assertEqual(len(harness.scheduler.fleet.ledger), 0)
        self.assertEqual(
            sorted(effect.url for effect in harness.cancelled),
            sorted(f"http://{name}" for name in harness.names if name != restarted),
        )

    def test_new_owner_grants_nothing_until_entries_report_reservations(self):
        harness = SchedulerHarness(1)
        harness.scheduler.begin_ownership(2, {"e"}, harness.now)
        harness.send(reserve("new", 50_000))
        self.assertNotIn(
            "new", harness.grants, "granted before the entries reported their reservations"
        )
        held = shard_messages.HeldReservation("old", 1, ("e0",), (80_000,), "f", True)
        harness.send(shard_messages.HoldReport("e", "e:1", "llm/0", (held,), ("new",), True))
        self.assertNotIn("new", harness.grants)
        harness.send(shard_messages.Release("old", 1, "llm/0", "done", "e0"))
        self.assertIn("new", harness.grants)


class TestCrashes(unittest.TestCase):
    """Requests whose content crashes engines, and others that ran beside them."""

    def crash(self, harness: SchedulerHarness, request: str) -> None:
        """Let a request crash its engine, which restarts as a new incarnation."""
        name = harness.grants[request].servers[0]
        harness.finish(request, "crashed")
        member = harness.scheduler.fleet.directory.find(name)
        incarnation = member.announcement.incarnation + 1
        harness.send(announce(name, 1, incarnation=incarnation))

    def test_crashing_content_sent_50_times_crashes_three_engines(self):
        harness = SchedulerHarness(14)
        crashes = 0
        for number in range(50):
            harness.send(reserve(f"r{number}", fingerprint="crashing"))
        while set(harness.grants) - set(harness.refusals):
            request = next(iter(harness.grants))
            crashes += 1
            self.crash(harness, request)
            del harness.grants[request]
            harness.send(reserve(request, attempt=2, fingerprint="crashing"))
        self.assertEqual(crashes, 3)
        self.assertEqual(len(harness.refusals), 50)
        codes = {refusal.code for refusal in harness.refusals.values()}
        self.assertEqual(codes, {errors.RequestQuarantinedError.code})

    def test_next_attempt_after_lost_release_makes_content_suspect(self):
        harness = SchedulerHarness(4)
        harness.send(reserve("r0", fingerprint="crashing"))
        (server,) = harness.grants.pop("r0").servers
        harness.send(reserve("r0", attempt=2, fingerprint="crashing", excluded=(server,)))
        self.assertTrue(harness.scheduler.crash_tracker.is_suspect("crashing"))
        self.assertNotIn(("r0", 1), harness.scheduler.fleet.ledger)

    def test_all_requests_on_lapsed_engine_become_suspects(self):
        harness = SchedulerHarness(1)
        harness.send(reserve("r0", fingerprint="crashing"), reserve("r1", fingerprint="other"))
        harness.names.clear()
        harness.advance(3.0)
        harness.finish("r1", "silent")
        self.assertTrue(harness.scheduler.crash_tracker.is_suspect("other"))
        self.assertTrue(harness.scheduler.crash_tracker.is_suspect("crashing"))

    def test_other_requests_on_crashed_engine_run_alone_and_are_cleared(self):
        harness = SchedulerHarness(1)
        for number in range(5):
            harness.send(reserve(f"r{number}", 1000))
            harness.finish_prefill(f"r{number}")
        harness.send(reserve("crashing", 1000))
        self.crash(harness, "crashing")
        names = [f"r{number}" for number in range(5)]
        harness.grants.clear()
        for name in names:
            harness.send(reserve(name, 1000, attempt=2))
        for _ in names:
            running = list(harness.grants)
            self.assertEqual(len(running), 1, "several suspects run at a time")
            harness.finish(running[0])
            self.assertFalse(harness.scheduler.crash_tracker.is_suspect(running[0]))
            del harness.grants[running[0]]
        self.assertEqual(harness.refusals, {})

    def test_suspect_that_needs_group_is_granted_again(self):
        harness = SchedulerHarness(4)
        harness.send(reserve("big", 250_000))
        self.crash(harness, "big")
        del harness.grants["big"]
        harness.send(reserve("big", 250_000, attempt=2))
        self.assertEqual(len(harness.grants["big"].servers), 3)

    def test_suspicion_ends_when_engine_keeps_announcing_itself(self):
        harness = SchedulerHarness(3)
        harness.send(reserve("r"))
        harness.finish("r", "crashed")
        self.assertTrue(harness.scheduler.crash_tracker.is_suspect("r"))
        harness.advance(2.0)
        self.assertFalse(harness.scheduler.crash_tracker.is_suspect("r"))


class TestSuspectLists(unittest.TestCase):
    """Suspect lists that arrive late must not remove crashes reported since."""

    def test_older_suspect_list_keeps_later_crashes(self):
        tracker = isolation.CrashTracker("test")
        last = announce("e0")
        first = tracker.watch("e0", {"f": False}, last, disconnected=True)
        tracker.mark_committed(first.report_id, 1)
        tracker.record_crash("e0", {})
        second = tracker.watch("e1", {"f": True}, last, disconnected=True)
        tracker.mark_committed(second.report_id, 3)
        tracker.load((shard_messages.Suspect("f", 0, False, "llm"),), 2)
        third = tracker.watch("e2", {"f": True}, last, disconnected=True)
        tracker.mark_committed(third.report_id, 4)
        self.assertTrue(tracker.is_confirmed("f"))
        tracker.load((shard_messages.Suspect("f", 2, True, "llm"),), 4)
        self.assertTrue(tracker.is_confirmed("f"))


class TestLedger(unittest.TestCase):
    """Sums of the ledger."""

    def test_random_reservations_match_plain_sums(self):
        rng = random.Random(7)
        tested = ledger.Ledger()
        held_by_key: dict[tuple, dict[str, int]] = {}
        for step in range(3000):
            key = (f"r{rng.randrange(40)}", 1)
            if key in held_by_key:
                tested.release(key)
                del held_by_key[key]
            else:
                held = {f"s{n}": rng.randrange(1000) for n in rng.sample(range(5), 2)}
                reservation = ledger.Reservation(
                    *key, tuple(held), tuple(held.values()), "e", "a", "f", 0.0, float(step)
                )
                tested.add(reservation)
                held_by_key[key] = held
            for server in (f"s{n}" for n in range(5)):
                expected = sum(held.get(server, 0) for held in held_by_key.values())
                self.assertEqual(tested.reserved_tokens(server), expected)

    def test_second_reservation_of_attempt_raises_invariant_violation(self):
        tested = ledger.Ledger()
        reservation = ledger.Reservation("r", 1, ("s",), (5,), "e", "a", "f", 0.0, 0.0)
        tested.add(reservation)
        with self.assertRaises(errors.InvariantViolationError):
            tested.add(reservation)
        self.assertIsNone(tested.release(("other", 1)))
