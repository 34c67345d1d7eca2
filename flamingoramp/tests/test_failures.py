"""Tests of deployments of real processes whose hosts and servers fail.

Processes are killed or frozen, hosts are partitioned, and disks are lost.
"""

from __future__ import annotations

import json
import signal
import threading
import time
import unittest
from concurrent import futures

from bench import client, fleets
from flamingoramp import errors
from flamingoramp.runtime import http_client
from flamingoramp.tests import relays, small_fleets

small_fleet: small_fleets.SmallFleet


def setUpModule():  # noqa: N802, D103
    global small_fleet
    small_fleet = small_fleets.SmallFleet(control=5, entries=4)


def tearDownModule():  # noqa: N802, D103
    small_fleet.close()


def make_declaration(weight: float, version: str = "1") -> dict:
    """Return the declaration with another workspace weight and model version."""
    declaration = json.loads(json.dumps(small_fleets.DECLARATION))
    declaration["workspaces"][0]["weight"] = weight
    declaration["services"][0]["models"][0]["version"] = version
    return declaration


def fetch_revisions() -> dict[str, int]:
    """Return the revision of each entry that admits requests, by its URL."""
    revisions_by_url = {}
    for url in small_fleet.fleet.entry_urls:
        answer = http_client.fetch(url + "/readyz")
        if answer.status == 200:
            revisions_by_url[url] = answer.json()["revision"]
    return revisions_by_url


class TestControlFailures(unittest.TestCase):
    """Accepted declarations survive failures of control hosts and take effect at all entries."""

    def assert_in_force(self, answer: dict) -> None:
        self.assertTrue(answer["in_force"], answer)
        self.assertEqual(set(fetch_revisions().values()), {answer["revision"]})

    def test_confirm_succeeds_after_leader_is_killed(self):
        control = small_fleet.fleet.make_control_client()
        plan = control.request("POST", "/v1/plan", make_declaration(5.0))
        leader = small_fleet.fleet.wait_leader()
        small_fleet.fleet.kill(f"control-{leader}")
        answer = control.request("POST", "/v1/confirm", {"plan": plan["plan"]})
        self.assert_in_force(answer)
        repeated_answer = control.request("POST", "/v1/confirm", {"plan": plan["plan"]})
        self.assertEqual(repeated_answer["revision"], answer["revision"])
        small_fleet.fleet.restart(f"control-{leader}")

    def test_only_one_of_concurrent_confirms_is_accepted(self):
        control = small_fleet.fleet.make_control_client()
        plans = [
            control.request("POST", "/v1/plan", make_declaration(weight))["plan"]
            for weight in (6.0, 7.0, 8.0)
        ]

        def confirm(plan: str):
            try:
                return control.request("POST", "/v1/confirm", {"plan": plan})["revision"]
            except errors.RevisionConflictError as error:
                return error

        with futures.ThreadPoolExecutor() as pool:
            results = list(pool.map(confirm, plans))
        accepted = [result for result in results if isinstance(result, int)]
        self.assertEqual(len(accepted), 1, results)

    def test_resumed_leader_does_not_revert_declaration(self):
        leader = small_fleet.fleet.wait_leader()
        self.addCleanup(small_fleet.fleet.signal, f"control-{leader}", signal.SIGCONT)
        small_fleet.fleet.signal(f"control-{leader}", signal.SIGSTOP)
        answer = small_fleet.fleet.apply(make_declaration(9.0))
        small_fleet.fleet.signal(f"control-{leader}", signal.SIGCONT)
        self.assert_in_force(answer)
        for _ in range(20):
            self.assertGreaterEqual(min(fetch_revisions().values()), answer["revision"])
            time.sleep(0.05)

    def test_declaration_takes_effect_after_lost_disk_and_second_failure(self):
        leader = small_fleet.fleet.wait_leader()
        hosts = [
            host.name for host in small_fleet.fleet.settings.control_hosts if host.name != leader
        ]
        host_losing_disk, killed_host = hosts[:2]
        small_fleet.fleet.kill(f"control-{host_losing_disk}")
        small_fleet.fleet.delete_data(host_losing_disk)
        small_fleet.fleet.restart(f"control-{host_losing_disk}")
        small_fleet.fleet.kill(f"control-{killed_host}")
        self.assert_in_force(small_fleet.fleet.apply(make_declaration(10.0)))
        small_fleet.fleet.restart(f"control-{killed_host}")

        def has_five_voters() -> bool:
            leaders = [
                status
                for status in small_fleet.fleet.make_control_client().fetch_statuses()
                if status.get("leads")
            ]
            return bool(leaders) and len(leaders[0]["voters"]) == 5 and not leaders[0]["learners"]

        fleets.wait_for(has_five_voters, "five voters")
        self.assert_in_force(small_fleet.fleet.apply(make_declaration(11.0)))

    def test_restarted_entry_serves_newest_revision(self):
        host = small_fleet.fleet.settings.entry_hosts[3]
        small_fleet.fleet.kill(f"entry-{host.name}")
        answer = small_fleet.fleet.apply(make_declaration(12.0))
        small_fleet.fleet.restart(f"entry-{host.name}")
        small_fleet.fleet.wait_ready()
        self.assert_in_force(answer)


class TestSilentPartition(unittest.TestCase):
    """An entry that a silent partition separates from control refuses requests as not run."""

    def test_entry_without_control_refuses_until_reconnected(self):
        host = small_fleet.fleet.settings.entry_hosts[3]
        control_relays, settings_path = relays.start_control_relays(small_fleet.fleet.settings_path)
        small_fleet.fleet.kill(f"entry-{host.name}")
        small_fleet.fleet.start_daemon("entry", host.name, settings_path)
        small_fleet.fleet.wait_ready()
        for relay in control_relays:
            relay.blackhole_all()
        answer = small_fleet.fleet.apply(make_declaration(13.0))
        self.assertTrue(answer["in_force"])
        self.assertNotIn(host.entry_url, fetch_revisions())
        body = {"model": "wrap-writer", "prompt": "x", "max_tokens": 3}
        refusal = small_fleets.post(host.entry_url + "/v1/completions", body)
        self.assertEqual(refusal.status, 503)
        self.assertEqual(refusal.json()["error"]["outcome"], "not_run")
        self.assertGreater(refusal.json()["error"]["retry_after"], 0)
        for relay in control_relays:
            relay.blackhole_all(False)
        small_fleet.fleet.wait_ready()
        self.assertEqual(fetch_revisions()[host.entry_url], answer["revision"])
        small_fleet.fleet.kill(f"entry-{host.name}")
        for relay in control_relays:
            relay.close()
        small_fleet.fleet.start_daemon("entry", host.name)
        small_fleet.fleet.wait_ready()


class TestMemoryRelease(unittest.TestCase):
    """All engine memory is released after an entry, an owner, or owner and engine are killed."""

    def run_and_kill(self, *names: str) -> list[client.Result]:
        scheduled_requests = [
            small_fleets.make_request(
                f"{names} {n}", prompt_tokens=3000, output_tokens=200, time_limit_seconds=25.0
            )
            for n in range(16)
        ]

        def kill() -> None:
            for name in names:
                small_fleet.fleet.kill(name)

        load_client = client.LoadClient(small_fleet.fleet.entry_urls, 5)
        results = load_client.run(scheduled_requests, actions=[(0.6, kill)])
        for name in names:
            small_fleet.fleet.restart(name)
        small_fleet.fleet.wait_ready()
        small_fleet.fleet.wait_servers("design-llm", 3)
        small_fleet.wait_until_memory_is_free()
        return results

    def find_owner_process(self) -> str:
        for status in small_fleet.fleet.make_control_client().fetch_statuses():
            if status.get("leads"):
                shards = {shard["shard"]: shard["owner"] for shard in status["shards"]}
                return "entry-" + shards["design-llm/0"].partition("#")[0]
        return ""

    def test_memory_is_released_after_entry_is_killed(self):
        owner_process = self.find_owner_process()
        names = [f"entry-{host.name}" for host in small_fleet.fleet.settings.entry_hosts]
        self.run_and_kill(next(name for name in names if name != owner_process))

    def test_requests_at_other_entries_complete_after_owner_is_killed(self):
        owner_process = self.find_owner_process()
        results = self.run_and_kill(owner_process)
        host = owner_process.removeprefix("entry-")
        url = small_fleet.fleet.settings.find_host(host).entry_url
        other_results = [result for result in results if result.entry != url]
        small_fleets.assert_all_complete(self, other_results, len(other_results))

    def test_shard_has_new_owner_after_owner_and_engine_are_killed(self):
        owner_process = self.find_owner_process()
        self.run_and_kill(owner_process, "design-llm-1")
        self.assertNotEqual(self.find_owner_process(), "")


class TestShardCountChange(unittest.TestCase):
    """Requests complete while the shard count of their service changes."""

    def change_shard_count(self, shard_count: int) -> list[client.Result]:
        declaration = make_declaration(20.0 + shard_count)
        declaration["services"][0]["shards"] = shard_count
        scheduled_requests = [
            small_fleets.make_request(
                f"to {shard_count} {n}", at=n / 20, prompt_tokens=2000, output_tokens=100
            )
            for n in range(40)
        ]
        answers = []

        def apply() -> None:
            answers.append(small_fleet.fleet.apply(declaration))

        load_client = client.LoadClient(small_fleet.fleet.entry_urls, 5)
        results = load_client.run(scheduled_requests, actions=[(0.5, apply)])
        self.assertTrue(answers[0]["in_force"])
        small_fleet.wait_until_memory_is_free()
        return results

    def test_requests_complete_while_shard_count_rises_and_falls(self):
        small_fleets.assert_all_complete(self, self.change_shard_count(2), 40)
        small_fleet.fleet.wait_servers("design-llm", 3)
        small_fleets.assert_all_complete(self, self.change_shard_count(1), 40)
        small_fleet.fleet.wait_servers("design-llm", 3)


class TestNonIdempotentUnderFailure(unittest.TestCase):
    """A call with an idempotency key runs at most once while the control leader fails."""

    def test_key_sent_to_all_entries_while_leader_is_killed_runs_at_most_once(self):
        keys = [f"race-{number}" for number in range(12)]
        leader = small_fleet.fleet.wait_leader()
        answers: list[tuple[str, int, str]] = []

        def send_hold(key: str, url: str) -> None:
            path = url + "/v1/services/order-desk/holds"
            answer = small_fleets.post(path, {"slot": key}, f"Idempotency-Key: {key}")
            document = answer.json()
            outcome = document["error"]["outcome"] if "error" in document else "done"
            answers.append((key, answer.status, outcome))

        with futures.ThreadPoolExecutor(8) as pool:
            jobs = [
                pool.submit(send_hold, sent_key, url)
                for sent_key in keys
                for url in small_fleet.fleet.entry_urls
            ]
            kill_timer = threading.Timer(0.05, small_fleet.fleet.kill, [f"control-{leader}"])
            kill_timer.start()
            for job in jobs:
                job.result()
        kill_timer.join()
        small_fleet.fleet.restart(f"control-{leader}")
        runs: list[str] = []
        for name, url in small_fleet.fleet.server_urls.items():
            if name.startswith("order-desk"):
                server_runs = http_client.fetch(url + "/v1/runs").json()["runs"]
                runs += [run["key"] for run in server_runs if run["key"] in keys]
        self.assertEqual(len(runs), len(set(runs)), "an idempotency key ran more than once")
        for key in keys:
            outcomes = [outcome for answer_key, _, outcome in answers if answer_key == key]
            if key in runs:
                self.assertIn("done", outcomes)
            else:
                self.assertNotIn("done", outcomes)


class TestCrashingPrompt(unittest.TestCase):
    """A prompt that crashes engines is refused after three crashes."""

    def test_crashing_prompt_is_quarantined_at_all_entries(self):
        names = [name for name in small_fleet.fleet.server_urls if name.startswith("design-llm")]
        crashes = 0
        stopped = threading.Event()

        def restart_crashed_engines() -> None:
            nonlocal crashes
            for name in names:
                if small_fleet.fleet.has_ended(name):
                    crashes += 1
                    small_fleet.fleet.restart(name)

        def supervise_engines() -> None:
            while not stopped.is_set():
                restart_crashed_engines()
                time.sleep(0.1)

        supervisor = threading.Thread(target=supervise_engines)
        supervisor.start()
        body = {"model": "wrap-writer", "prompt": "CRASH-ENGINE now", "max_tokens": 3}
        with futures.ThreadPoolExecutor(6) as pool:
            urls = [small_fleet.fleet.entry_urls[number % 4] for number in range(50)]
            answers = list(
                pool.map(lambda url: small_fleets.post(url + "/v1/completions", body), urls)
            )
        stopped.set()
        supervisor.join()
        restart_crashed_engines()
        self.assertLessEqual(crashes, 3)
        codes = {answer.json()["error"]["code"] for answer in answers}
        self.assertIn("request_quarantined", codes)
        small_fleet.fleet.wait_servers("design-llm", 3)
        scheduled_requests = [
            small_fleets.make_request(f"innocent {n}", time_limit_seconds=25.0) for n in range(6)
        ]
        results = client.LoadClient(small_fleet.fleet.entry_urls, 6).run(scheduled_requests)
        small_fleets.assert_all_complete(self, results, 6)


class TestEngineOrders(unittest.TestCase):
    """All engines load a newly declared model version while they serve requests."""

    def test_engines_load_new_version_in_fence_order(self):
        answer = small_fleet.fleet.apply(make_declaration(14.0, "2"))
        self.assertTrue(answer["accepted"])
        names = [name for name in small_fleet.fleet.server_urls if name.startswith("design-llm")]

        def all_have_version_2() -> bool:
            states = [small_fleet.fleet.server_state(name) for name in names]
            return all(state["models"] == ["wrap-writer@2"] for state in states)

        scheduled_requests = [
            small_fleets.make_request(f"load {n}", at=n / 10, time_limit_seconds=25.0)
            for n in range(20)
        ]
        results = client.LoadClient(small_fleet.fleet.entry_urls, 7).run(scheduled_requests)
        small_fleets.assert_all_complete(self, results, 20)
        fleets.wait_for(all_have_version_2, "version 2 at all engines")
        for name in names:
            fences = [order["fence"] for order in small_fleet.fleet.server_state(name)["orders"]]
            self.assertEqual(fences, sorted(fences))


if __name__ == "__main__":
    unittest.main()
