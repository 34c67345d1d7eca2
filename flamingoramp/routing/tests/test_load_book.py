"""Tests of load reports and their targets, arrival rates, observations and the retry allowance."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp.dispatch import allowance
from flamingoramp.protocol import load_reports, messages
from flamingoramp.routing import load_table, observations, rates, report_targets


class TestLoadTable(unittest.TestCase):
    """The work of this entry and that of others."""

    def setUp(self):
        self.table = load_table.LoadTable()
        self.other = load_table.LoadTable()
        self.work = load_table.WorkItem("e1", 0.25, 5000, part_seconds=0.5, prefill_end=10.5)

    def send_report(self, sequence: int, now: float, incarnation: str = "i") -> None:
        for report in self.other.make_reports(
            entry="other", incarnation=incarnation, sequence=sequence, now=now
        ):
            self.table.handle_report(report, now)

    def test_own_work_counted_until_removed(self):
        self.table.add(self.work)
        load = self.table.load("e1", 10.0)
        self.assertEqual((load.strict, load.memory_tokens), (1, 5000))
        self.assertAlmostEqual(load.reading_seconds, 0.5)
        self.table.finish_prefill(self.work)
        self.assertEqual(self.table.load("e1", 10.0).reading_seconds, 0)
        self.table.remove(self.work)
        self.table.remove(self.work)
        self.assertEqual(self.table.load("e1", 10.0), load_table.ServerLoad())

    def test_reported_work_added_and_its_prefill_decreases_with_time(self):
        self.table.add(self.work)
        self.other.add(attrs.evolve(self.work))
        self.send_report(1, 10.0)
        self.assertEqual(self.table.load("e1", 10.0).strict, 2)
        self.assertAlmostEqual(self.table.load("e1", 10.25).reading_seconds, 0.5)

    def test_report_out_of_order_ignored(self):
        self.send_report(2, 10.0)
        self.other.add(self.work)
        self.send_report(1, 10.0)
        self.assertEqual(self.table.load("e1", 10.0).strict, 0)

    def test_reports_of_earlier_incarnation_replaced_after_restart(self):
        self.other.add(self.work)
        self.send_report(50, 10.0)
        self.other.remove(self.work)
        self.send_report(1, 10.0, incarnation="j")
        self.assertEqual(self.table.load("e1", 10.0).strict, 0)

    def test_new_work_of_entries_of_the_zone_counts_as_placements(self):
        for number in range(30):
            self.other.add(attrs.evolve(self.work, server=f"e{number % 5}"))
            self.send_report(number, 10.0 + number / 10)
        self.assertAlmostEqual(self.table.reported_placement_rate(13.0), 10.0, delta=5.0)
        self.assertEqual(self.other.reported_placement_rate(13.0), 0.0)

    def test_work_of_silent_entry_expires(self):
        self.other.add(self.work)
        self.send_report(1, 10.0)
        late = 10.0 + load_table.REPORT_EXPIRY_SECONDS + 0.1
        self.assertEqual(self.table.load("e1", late).strict, 0)
        self.table.remove_expired_reports(late)
        self.assertEqual(self.table.load("e1", 10.0).strict, 0)

    def test_requests_classified_by_pause_objective(self):
        for pause in (0.25, 0.6, 1.0):
            self.table.add(load_table.WorkItem("e1", pause))
        self.table.add(load_table.WorkItem("e1", is_helper=True))
        load = self.table.load("e1", 0.0)
        counts = (load.strict, load.relaxed, load.patient, load.helping)
        self.assertEqual(counts, (1, 1, 1, 1))
        self.assertEqual(load.request_count, 3)


class TestChanges(unittest.TestCase):
    """Reports with only those servers whose work changed."""

    def setUp(self):
        self.table = load_table.LoadTable()
        self.other = load_table.LoadTable()
        self.sequence = 0
        self.work_items = {name: load_table.WorkItem(name, 0.25) for name in ("e1", "e2", "e3")}

    def make(self, *, only_changes: bool = True) -> list[load_reports.LoadReport]:
        self.sequence += 1
        return self.other.make_reports(
            entry="other",
            incarnation="i",
            sequence=self.sequence,
            now=1.0,
            only_changes=only_changes,
        )

    def receive(self, reports: list[load_reports.LoadReport], now: float = 1.0) -> None:
        for report in reports:
            self.table.handle_report(report, now)

    def strict_counts(self, now: float = 1.0) -> dict[str, int]:
        return {name: self.table.load(name, now).strict for name in self.work_items}

    def test_only_changed_servers_reported(self):
        for work in self.work_items.values():
            self.other.add(work)
        self.receive(self.make(only_changes=False))
        self.make()
        self.other.remove(self.work_items["e2"])
        (report,) = self.make()
        self.assertEqual(report.servers, ("e2",))
        self.assertEqual(report.loads, (0.0,) * load_reports.LOAD_VALUE_COUNT)
        self.receive([report])
        self.assertEqual(self.strict_counts(), {"e1": 1, "e2": 0, "e3": 1})

    def test_each_change_reported_twice(self):
        self.other.add(self.work_items["e1"])
        self.make()  # lost
        self.other.add(self.work_items["e2"])
        self.receive(self.make())
        self.assertEqual(self.strict_counts(), {"e1": 1, "e2": 1, "e3": 0})

    def test_full_report_corrects_lost_reports(self):
        self.other.add(self.work_items["e1"])
        self.receive(self.make(only_changes=False))
        self.other.remove(self.work_items["e1"])
        self.other.add(self.work_items["e2"])
        for _ in range(3):
            self.make()  # lost
        self.receive(self.make(only_changes=False))
        self.assertEqual(self.strict_counts(), {"e1": 0, "e2": 1, "e3": 0})

    def test_full_report_older_than_change_ignored(self):
        self.other.add(self.work_items["e1"])
        full = self.make(only_changes=False)
        self.other.remove(self.work_items["e1"])
        change = self.make()
        self.receive(change)
        self.receive(full)
        self.assertEqual(self.strict_counts()["e1"], 0)

    def test_empty_report_keeps_work_from_expiring(self):
        self.other.add(self.work_items["e1"])
        self.receive(self.make(only_changes=False), 1.0)
        self.make()
        self.make()
        (report,) = self.make()
        self.assertEqual((report.servers, report.loads), ((), ()))
        late = 1.0 + load_table.REPORT_EXPIRY_SECONDS
        self.receive([report], late)
        self.assertEqual(self.strict_counts(late)["e1"], 1)


class TestSummaries(unittest.TestCase):
    """Summaries of the work of all entries of an availability zone."""

    def make(self, zone: str, *servers: str) -> load_table.LoadTable:
        table = load_table.LoadTable(zone)
        for server in servers:
            table.add(load_table.WorkItem(server, 0.25))
        return table

    def send(self, reports, *receivers: load_table.LoadTable) -> None:
        for report in reports:
            for table in receivers:
                table.handle_report(report, 0.0)

    def summary(self, table: load_table.LoadTable, sequence: int = 1):
        return table.make_summary(entry="r", incarnation="i", sequence=sequence, now=0.0)

    def reports(self, table: load_table.LoadTable, entry: str, sequence: int = 1):
        return table.make_reports(entry=entry, incarnation="i", sequence=sequence, now=0.0)

    def test_summary_contains_work_of_all_entries_of_zone(self):
        relay, peer, remote = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.reports(peer, "peer"), relay)
        self.send(self.summary(relay), remote)
        self.assertEqual(remote.load("e1", 0.0).strict, 2)

    def test_summary_of_changes_lists_what_changed_and_keeps_the_rest(self):
        table = self.make("b", "e1", "e2")
        remote = self.make("a")
        self.send(self.summary(table), remote)
        self.assertFalse(table.has_unsummarized_changes)
        table.add(load_table.WorkItem("e2", 0.25))
        self.assertTrue(table.has_unsummarized_changes)
        [changes] = table.make_summary(
            entry="relay-b", incarnation="i", sequence=2, now=0.0, only_changes=True
        )
        self.assertEqual(changes.servers, ("e2",))
        self.send([changes], remote)
        counts = [remote.load(name, 0.0).strict for name in ("e1", "e2")]
        self.assertEqual(counts, [1, 2])

    def test_changes_by_a_new_relay_wait_for_its_complete_summary(self):
        table = self.make("b", "e1", "e2")
        remote = self.make("a")
        self.send(self.summary(table), remote)
        self.send(
            table.make_summary(
                entry="relay-2", incarnation="j", sequence=9, now=0.0, only_changes=True
            ),
            remote,
        )
        self.assertEqual(remote.load("e1", 0.0).strict, 1)

    def test_work_reported_by_a_peer_is_a_change_of_the_zone(self):
        peer = self.make("b", "e1")
        relay = self.make("b")
        self.assertFalse(relay.has_unsummarized_changes)
        self.send(self.reports(peer, "peer"), relay)
        self.assertTrue(relay.has_unsummarized_changes)

    def test_work_counted_once_when_in_summary_and_single_report(self):
        relay, peer, remote = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.reports(peer, "peer"), relay, remote)
        self.assertEqual(remote.load("e1", 0.0).strict, 1)
        self.send(self.summary(relay), remote, peer)
        self.assertEqual(remote.load("e1", 0.0).strict, 2)
        self.assertEqual(
            peer.load("e1", 0.0).strict,
            1,
            "within a zone, single reports count and summaries do not",
        )

    def test_single_reports_counted_after_summaries_expire(self):
        relay, peer, remote = self.make("a", "e1"), self.make("a", "e1"), self.make("b")
        self.send(self.summary(relay), remote)
        late = load_table.REPORT_EXPIRY_SECONDS + 0.1
        for report in self.reports(peer, "peer"):
            remote.handle_report(report, late)
        self.assertEqual(remote.load("e1", late).strict, 1)

    def test_long_report_split_and_removed_servers_no_longer_counted(self):
        servers = [f"e{number}" for number in range(2 * load_table.MAX_SERVERS_PER_PART + 1)]
        sender, receiver = self.make("a", *servers), self.make("a")
        reports = self.reports(sender, "sender")
        self.assertEqual(len(reports), 3)
        self.send(reports, receiver)
        self.assertTrue(all(receiver.load(server, 0.0).strict == 1 for server in servers))
        for items in list(sender._own.values()):
            for work in list(items.values()):
                sender.remove(work)
        self.send(self.reports(sender, "sender", sequence=2), receiver)
        self.assertFalse(any(receiver.load(server, 0.0).strict for server in servers))


class TestArrivals(unittest.TestCase):
    """Load pattern: many entries receive one short prompt every two seconds, one a long prompt."""

    entry_count = 190
    interval_seconds = 2.0
    run_seconds = 20.0
    short_credit = 1.0
    long_credit = 25.0

    def setUp(self):
        self.tables = [load_table.LoadTable("a") for _ in range(self.entry_count)]
        for number, table in enumerate(self.tables):
            now = self.interval_seconds * number / self.entry_count
            while now < self.run_seconds:
                table.record_arrival("llm", self.short_credit, now)
                now += self.interval_seconds
        self.now = self.run_seconds
        self.table = self.tables[0]
        for number, other in enumerate(self.tables[1:]):
            self.send(other, f"e{number}", self.table)

    def send(self, sender: load_table.LoadTable, name: str, receiver: load_table.LoadTable) -> None:
        for report in sender.make_reports(entry=name, incarnation="i", sequence=1, now=self.now):
            receiver.handle_report(report, self.now)

    def arriving_credit(self) -> float:
        return self.table.arriving_credit("llm", self.now)

    def test_rate_is_that_of_all_entries(self):
        expected = self.short_credit * self.entry_count / self.interval_seconds
        self.assertAlmostEqual(self.arriving_credit(), expected, delta=0.05 * expected)

    def test_long_prompt_at_one_entry_counts_once(self):
        before = self.arriving_credit()
        self.table.record_arrival("llm", self.long_credit, self.now)
        increase = self.arriving_credit() - before
        self.assertAlmostEqual(increase, self.long_credit / rates.TIME_CONSTANT_SECONDS)

    def test_summary_of_another_zone_is_counted_once(self):
        remote = load_table.LoadTable("b")
        remote.record_arrival("llm", self.short_credit, self.now)
        before = self.arriving_credit()
        self.send(remote, "remote", self.table)
        summaries = remote.make_summary(entry="remote", incarnation="i", sequence=2, now=self.now)
        for summary in summaries:
            self.table.handle_report(summary, self.now)
        increase = self.arriving_credit() - before
        self.assertAlmostEqual(increase, self.short_credit / rates.TIME_CONSTANT_SECONDS)

    def test_summary_holds_the_arrivals_of_all_entries_of_its_zone(self):
        remote = load_table.LoadTable("b")
        for summary in self.table.make_summary(
            entry="relay", incarnation="i", sequence=2, now=self.now
        ):
            remote.handle_report(summary, self.now)
        self.assertAlmostEqual(
            remote.arriving_credit("llm", self.now), self.arriving_credit(), places=3
        )

    def test_arrivals_of_a_silent_entry_expire(self):
        late = self.now + load_table.REPORT_EXPIRY_SECONDS
        self.assertLess(self.table.arriving_credit("llm", late), 1.0)


class TestReportTargets(unittest.TestCase):
    """Receivers of reports by the number of entries."""

    def entries(self, count: int) -> list[messages.EntryRecord]:
        return [
            messages.EntryRecord(entry=f"{zone}{n:02}", inner=f"{zone}{n:02}:1", zone=zone)
            for zone in "abc"
            for n in range(count)
        ]

    def targets(self, own_name: str, entries, silent: frozenset[str] = frozenset()):
        others = [record for record in entries if record.entry != own_name]
        alive = {record.entry for record in others} - silent
        return report_targets.choose_targets(own_name, own_name[0], others, alive)

    def forwarders(self, source_zone: str, entries, silent=frozenset()) -> list[str]:
        """Return the entries that forward the summary of a zone."""
        return [
            record.entry
            for record in entries
            if record.entry not in silent
            and source_zone in self.targets(record.entry, entries, silent).forwarded_zones
        ]

    def test_few_entries_report_to_all(self):
        targets = self.targets("a00", self.entries(3))
        self.assertEqual((len(targets.direct), targets.remote_forwarders), (8, []))

    def test_many_entries_report_within_their_zone(self):
        targets = self.targets("a05", self.entries(20))
        self.assertEqual({address[0] for address in targets.direct}, {"a"})
        self.assertEqual(targets.remote_forwarders, [])

    def test_first_entry_of_each_zone_is_relay(self):
        entries = self.entries(20)
        relays = [
            record.entry
            for record in entries
            if self.targets(record.entry, entries).remote_forwarders
        ]
        self.assertEqual(relays, ["a00", "b00", "c00"])
        targets = self.targets("a00", entries)
        self.assertEqual(
            sorted(address[0] for address in targets.remote_forwarders), ["b", "b", "c", "c"]
        )
        self.assertEqual(len(targets.zone_peers), 19)

    def test_next_entry_is_relay_when_first_is_silent(self):
        targets = self.targets("a01", self.entries(20), frozenset({"a00"}))
        self.assertTrue(targets.remote_forwarders)

    def test_one_entry_of_each_other_zone_forwards_a_summary_that_it_receives(self):
        entries = self.entries(20)
        receivers = self.targets("a00", entries).remote_forwarders
        forwarders = self.forwarders("a", entries)
        self.assertEqual(sorted(name[0] for name in forwarders), ["b", "c"])
        self.assertLessEqual({f"{name}:1" for name in forwarders}, set(receivers))

    def test_second_candidate_forwards_when_the_first_is_silent(self):
        entries = self.entries(20)
        silent = frozenset(self.forwarders("a", entries))
        forwarders = self.forwarders("a", entries, silent)
        self.assertEqual(sorted(name[0] for name in forwarders), ["b", "c"])
        receivers = self.targets("a00", entries).remote_forwarders
        self.assertLessEqual({f"{name}:1" for name in forwarders}, set(receivers))

    def test_summaries_of_many_zones_are_forwarded_by_several_entries(self):
        entries = [
            messages.EntryRecord(entry=f"{zone}{n:02}", inner=f"{zone}{n:02}:1", zone=zone)
            for zone in "abcdefgh"
            for n in range(30)
        ]
        forwarded_counts = [
            len(self.targets(record.entry, entries).forwarded_zones)
            for record in entries
            if record.zone == "a"
        ]
        self.assertEqual(sum(forwarded_counts), 7)
        self.assertLessEqual(max(forwarded_counts), 3)


class TestRates(unittest.TestCase):
    """Rates adapt to a change of the traffic within seconds."""

    def test_rate_of_steady_arrivals_decays_after_they_end(self):
        meter = rates.RateMeter()
        now = 0.0
        for _ in range(400):
            now += 0.05
            meter.add(1.0, now)
        self.assertAlmostEqual(meter.rate(now), 20.0, delta=1.0)
        self.assertLess(meter.rate(now + 2 * rates.TIME_CONSTANT_SECONDS), 3.0)


class TestObservations(unittest.TestCase):
    """Slowdown and failures of servers."""

    def test_slowdown_averaged_and_expires(self):
        observed = observations.Observations()
        for _ in range(6):
            observed.record_slowdown("a", 5.0, 1.0)
        self.assertGreater(observed.slowdown("a", 1.0), 4.0)
        self.assertEqual(
            observed.slowdown("a", 1.0 + observations.SLOWDOWN_EXPIRY_SECONDS + 1), 1.0
        )
        self.assertEqual(observed.slowdown("b", 1.0), 1.0)

    def test_failed_attempt_suspends_server_until_response(self):
        observed = observations.Observations()
        observed.record_attempt_failure("a", 1.0)
        self.assertTrue(observed.is_suspended("a", 1.5))
        observed.record_response("a", failed=False, now=1.6)
        self.assertFalse(observed.is_suspended("a", 1.7))

    def test_history_of_removed_servers_deleted(self):
        observed = observations.Observations()
        for key in ("a", "b"):
            observed.record_attempt_failure(key, 1.0)
        observed.retain_only({"b"})
        self.assertEqual(
            (observed.is_suspended("a", 1.1), observed.is_suspended("b", 1.1)), (False, True)
        )

    def test_server_with_many_failed_responses_degraded(self):
        observed = observations.Observations()
        for number in range(40):
            observed.record_response("steady", failed=number % 7 == 0, now=1.0)
            observed.record_response("failing", failed=number % 10 < 8, now=1.0)
        self.assertFalse(observed.is_degraded("steady", 1.0))
        self.assertTrue(observed.is_degraded("failing", 1.0))


class TestRetryAllowance(unittest.TestCase):
    """Retries are limited to a ratio of the requests in any window."""

    def test_retries_in_each_window_within_ratio_and_slack(self):
        ratio, slack, window, entries = 0.2, 40.0, 10.0, 4
        retry_allowance = allowance.RetryAllowance(ratio=ratio, slack=slack, window_seconds=window)
        requests, retries = [], []
        for step in range(3000):
            now = step * 0.01
            if step % 5 == 0:
                retry_allowance.record_request(now)
                requests.append(now)
            if retry_allowance.try_spend(now, entry_count=entries):
                retries.append(now)
        for start in range(0, 20):
            retry_count = sum(start <= at < start + window for at in retries)
            request_count = sum(start <= at < start + window for at in requests)
            self.assertLessEqual(retry_count, ratio * request_count + slack / entries)
        self.assertGreater(len(retries), 20)
