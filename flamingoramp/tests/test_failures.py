"""Tests of kills, freezes, silent cuts and lost disks with real processes."""

from __future__ import annotations

import json
import signal
import threading
import time
import unittest
from concurrent import futures

from bench import client
from bench import fleet as fleets
from flamingoramp import errors
from flamingoramp.runtime import http_client
from flamingoramp.tests import fleets as small_fleets
from flamingoramp.tests import relays

small: small_fleets.SmallFleet


def setUpModule():  # noqa: N802, D103
    global small
    small = small_fleets.SmallFleet(control=5, entries=4)


def tearDownModule():  # noqa: N802, D103
    small.close()


def declare(weight: float, version: str = "1") -> dict:
    """Return the declaration with another weight or model version."""
    declaration = json.loads(json.dumps(small_fleets.DECLARATION))
    declaration["workspaces"][0]["weight"] = weight
    declaration["services"][0]["models"][0]["version"] = version
    return declaration


def revisions() -> dict[str, int]:
    """Return the revision that each entry serves by, of those that admit."""
    found = {}
    for url in small.fleet.entry_urls:
        answer = http_client.fetch(url + "/readyz")
        if answer.status == 200:
            found[url] = answer.json()["revision"]
    return found


class TestControlFailures(unittest.TestCase):
    """Accepted changes survive, and are in force everywhere."""

    def assert_in_force(self, answer: dict) -> None:
        self.assertTrue(answer["in_force"], answer)
        self.assertEqual(set(revisions().values()), {answer["revision"]})

    def test_leader_killed_between_plan_and_confirm(self):
        control = small.fleet.client()
        plan = control.request("POST", "/v1/plan", declare(5.0))
        leader = small.fleet.leader()
        small.fleet.kill(f"control-{leader}")
        answer = control.request("POST", "/v1/confirm", {"plan": plan["plan"]})
        self.assert_in_force(answer)
        again = control.request("POST", "/v1/confirm", {"plan": plan["plan"]})
        self.assertEqual(again["revision"], answer["revision"])
        small.fleet.restart(f"control-{leader}")

    def test_operators_race_with_equal_numbers(self):
        control = small.fleet.client()
        plans = [control.request("POST", "/v1/plan", declare(w))["plan"] for w in (6.0, 7.0, 8.0)]

        def confirm(plan: str):
            try:
                return control.request("POST", "/v1/confirm", {"plan": plan})["revision"]
            except errors.RevisionConflictError as error:
                return error

        with futures.ThreadPoolExecutor() as pool:
            results = list(pool.map(confirm, plans))
        won = [one for one in results if isinstance(one, int)]
        self.assertEqual(len(won), 1, results)

    def test_frozen_leader_wakes_and_reverts_nothing(self):
        leader = small.fleet.leader()
        self.addCleanup(small.fleet.signal, f"control-{leader}", signal.SIGCONT)
        small.fleet.signal(f"control-{leader}", signal.SIGSTOP)
        answer = small.fleet.apply(declare(9.0))
        small.fleet.signal(f"control-{leader}", signal.SIGCONT)
        self.assert_in_force(answer)
        for _ in range(20):
            self.assertGreaterEqual(min(revisions().values()), answer["revision"])
            time.sleep(0.05)

    def test_lost_disk_and_a_second_host_right_after(self):
        leader = small.fleet.leader()
        hosts = [one.name for one in small.fleet.settings.control_hosts if one.name != leader]
        first, second = hosts[:2]
        small.fleet.kill(f"control-{first}")
        small.fleet.delete_data(first)
        small.fleet.restart(f"control-{first}")
        small.fleet.kill(f"control-{second}")
        self.assert_in_force(small.fleet.apply(declare(10.0)))
        small.fleet.restart(f"control-{second}")

        def whole() -> bool:
            status = [one for one in small.fleet.client().fetch_statuses() if one.get("leads")]
            return bool(status) and len(status[0]["voters"]) == 5 and not status[0]["learners"]

        fleets.wait_for(whole, "five voters again")
        self.assert_in_force(small.fleet.apply(declare(11.0)))

    def test_entry_back_after_changes_serves_by_the_newest(self):
        host = small.fleet.settings.entry_hosts[3]
        small.fleet.kill(f"entry-{host.name}")
        answer = small.fleet.apply(declare(12.0))
        small.fleet.restart(f"entry-{host.name}")
        small.fleet.wait_ready()
        self.assert_in_force(answer)


class TestSilentCut(unittest.TestCase):
    """An entry on the far side of a silent cut refuses, and says so truly."""

    def test_entry_cut_off_from_control(self):
        host = small.fleet.settings.entry_hosts[3]
        cut, path = relays.start_control_relays(small.fleet.settings_path)
        small.fleet.kill(f"entry-{host.name}")
        small.fleet.start_daemon("entry", host.name, path)
        small.fleet.wait_ready()
        for relay in cut:
            relay.blackhole_all()
        answer = small.fleet.apply(declare(13.0))
        self.assertTrue(answer["in_force"])
        self.assertNotIn(host.entry_url, revisions())
        body = {"model": "wrap-writer", "prompt": "x", "max_tokens": 3}
        refusal = small_fleets.post(host.entry_url + "/v1/completions", body)
        self.assertEqual(refusal.status, 503)
        self.assertEqual(refusal.json()["error"]["outcome"], "not_run")
        self.assertGreater(refusal.json()["error"]["retry_after"], 0)
        for relay in cut:
            relay.blackhole_all(False)
        small.fleet.wait_ready()
        self.assertEqual(revisions()[host.entry_url], answer["revision"])
        small.fleet.kill(f"entry-{host.name}")
        for relay in cut:
            relay.close()
        small.fleet.start_daemon("entry", host.name)
        small.fleet.wait_ready()


class TestMemoryReturns(unittest.TestCase):
    """Deaths of entry, owner and engine, one after another and together."""

    def run_and_kill(self, *names: str) -> list[client.Result]:
        plan = [
            small_fleets.planned(f"{names} {n}", tokens=3000, output=200, time_limit=25.0)
            for n in range(16)
        ]

        def kill() -> None:
            for name in names:
                small.fleet.kill(name)

        caller = client.LoadClient(small.fleet.entry_urls, 5)
        results = caller.run(plan, actions=[(0.6, kill)])
        for name in names:
            small.fleet.restart(name)
        small.fleet.wait_ready()
        small.fleet.wait_servers("design-llm", 3)
        small.wait_quiet()
        return results

    def owner(self) -> str:
        for status in small.fleet.client().fetch_statuses():
            if status.get("leads"):
                shards = {one["shard"]: one["owner"] for one in status["shards"]}
                return "entry-" + shards["design-llm/0"].partition("#")[0]
        return ""

    def test_entry(self):
        owner = self.owner()
        names = [f"entry-{host.name}" for host in small.fleet.settings.entry_hosts]
        self.run_and_kill(next(name for name in names if name != owner))

    def test_owner(self):
        owner = self.owner()
        results = self.run_and_kill(owner)
        host = owner.removeprefix("entry-")
        url = small.fleet.settings.find_host(host).entry_url
        elsewhere = [one for one in results if one.entry != url]
        small_fleets.assert_whole(self, elsewhere, len(elsewhere))

    def test_owner_and_engine_together(self):
        owner = self.owner()
        self.run_and_kill(owner, "design-llm-1")
        self.assertNotEqual(self.owner(), "")


class TestShardCount(unittest.TestCase):
    """The number of shards changes while requests run."""

    def change(self, shards: int) -> list[client.Result]:
        declaration = declare(20.0 + shards)
        declaration["services"][0]["shards"] = shards
        plan = [
            small_fleets.planned(f"to {shards} {n}", at=n / 20, tokens=2000, output=100)
            for n in range(40)
        ]
        applied = []

        def apply() -> None:
            applied.append(small.fleet.apply(declaration))

        caller = client.LoadClient(small.fleet.entry_urls, 5)
        results = caller.run(plan, actions=[(0.5, apply)])
        self.assertTrue(applied[0]["in_force"])
        small.wait_quiet()
        return results

    def test_more_then_fewer(self):
        small_fleets.assert_whole(self, self.change(2), 40)
        small.fleet.wait_servers("design-llm", 3)
        small_fleets.assert_whole(self, self.change(1), 40)
        small.fleet.wait_servers("design-llm", 3)


class TestNonIdempotentUnderFailure(unittest.TestCase):
    """A key runs at most once, whatever dies."""

    def test_same_key_at_all_entries_while_the_leader_dies(self):
        keys = [f"race-{number}" for number in range(12)]
        leader = small.fleet.leader()
        answers: list[tuple[str, int, str]] = []

        def hold(key: str, url: str) -> None:
            path = url + "/v1/services/order-desk/holds"
            answer = small_fleets.post(path, {"slot": key}, f"Idempotency-Key: {key}")
            document = answer.json()
            outcome = document["error"]["outcome"] if "error" in document else "done"
            answers.append((key, answer.status, outcome))

        with futures.ThreadPoolExecutor(8) as pool:
            jobs = [pool.submit(hold, k, url) for k in keys for url in small.fleet.entry_urls]
            death = threading.Timer(0.05, small.fleet.kill, [f"control-{leader}"])
            death.start()
            for job in jobs:
                job.result()
        death.join()
        small.fleet.restart(f"control-{leader}")
        runs: list[str] = []
        for name, url in small.fleet.server_urls.items():
            if name.startswith("order-desk"):
                found = http_client.fetch(url + "/v1/runs").json()["runs"]
                runs += [run["key"] for run in found if run["key"] in keys]
        self.assertEqual(len(runs), len(set(runs)), "a key ran twice")
        for key in keys:
            mine = [outcome for one, _, outcome in answers if one == key]
            if key in runs:
                self.assertIn("done", mine)
            else:
                self.assertNotIn("done", mine)


class TestPoison(unittest.TestCase):
    """A content that crashes each engine is refused after three of them."""

    def test_sent_again_and_again_at_all_entries(self):
        names = [name for name in small.fleet.server_urls if name.startswith("design-llm")]
        crashes = 0
        stopped = threading.Event()

        def revive_ended() -> None:
            nonlocal crashes
            for name in names:
                if small.fleet.has_ended(name):
                    crashes += 1
                    small.fleet.restart(name)

        def revive() -> None:
            while not stopped.is_set():
                revive_ended()
                time.sleep(0.1)

        supervisor = threading.Thread(target=revive)
        supervisor.start()
        body = {"model": "wrap-writer", "prompt": "CRASH-ENGINE now", "max_tokens": 3}
        with futures.ThreadPoolExecutor(6) as pool:
            urls = [small.fleet.entry_urls[number % 4] for number in range(50)]
            answers = list(
                pool.map(lambda url: small_fleets.post(url + "/v1/completions", body), urls)
            )
        stopped.set()
        supervisor.join()
        revive_ended()
        self.assertLessEqual(crashes, 3)
        codes = {answer.json()["error"]["code"] for answer in answers}
        self.assertIn("request_quarantined", codes)
        small.fleet.wait_servers("design-llm", 3)
        plan = [small_fleets.planned(f"innocent {n}", time_limit=25.0) for n in range(6)]
        results = client.LoadClient(small.fleet.entry_urls, 6).run(plan)
        small_fleets.assert_whole(self, results, 6)


class TestEngineOrders(unittest.TestCase):
    """A declared version is loaded by all engines, while they go on serving."""

    def test_new_version(self):
        answer = small.fleet.apply(declare(14.0, "2"))
        self.assertTrue(answer["accepted"])
        names = [name for name in small.fleet.server_urls if name.startswith("design-llm")]

        def loaded() -> bool:
            states = [small.fleet.server_state(name) for name in names]
            return all(one["models"] == ["wrap-writer@2"] for one in states)

        plan = [small_fleets.planned(f"load {n}", at=n / 10, time_limit=25.0) for n in range(20)]
        results = client.LoadClient(small.fleet.entry_urls, 7).run(plan)
        small_fleets.assert_whole(self, results, 20)
        fleets.wait_for(loaded, "version 2 everywhere")
        for name in names:
            fences = [one["fence"] for one in small.fleet.server_state(name)["orders"]]
            self.assertEqual(fences, sorted(fences))


if __name__ == "__main__":
    unittest.main()
