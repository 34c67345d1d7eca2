"""Tests of the whole path with real processes, and of the failures that it meets."""

from __future__ import annotations

import json
import signal
import socket
import time
import unittest

import openai

from bench import client, fleets
from flamingoramp.runtime import http_client, transport
from flamingoramp.tests import fleets as small_fleets
from standins import texts

small: small_fleets.SmallFleet


def setUpModule():  # noqa: N802, D103
    global small
    small = small_fleets.SmallFleet()


def tearDownModule():  # noqa: N802, D103
    small.close()


class TestCallers(unittest.TestCase):
    """What callers ask and get."""

    def setUp(self):
        self.url = small.fleet.entry_urls[0]

    def test_addresses(self):
        answer = http_client.fetch(self.url + "/v1/addresses").json()
        urls = sorted(one["url"] for one in answer["addresses"])
        self.assertEqual(urls, sorted(small.fleet.entry_urls))

    def test_whole_answers_of_all_lengths(self):
        plan = [small_fleets.planned(f"all {n}", at=n / 20, tokens=1000 * n) for n in range(1, 30)]
        plan.append(small_fleets.planned("digest", tokens=1_000_000))
        results = client.LoadClient(small.fleet.entry_urls, 1).run(plan)
        small_fleets.assert_whole(self, results, 30)
        small.wait_quiet()

    def test_completion_without_stream(self):
        body = {"model": "wrap-writer", "prompt": "hello", "max_tokens": 5}
        answer = small_fleets.post(self.url + "/v1/completions", body)
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(text, texts.expected_answer("hello", 5))

    def test_bad_input_is_refused_with_a_code(self):
        chat = {"model": "wrap-writer", "messages": [{"role": "user", "content": "hi"}]}
        cases = [
            (b"no json", (), 400, "bad_request"),
            (b"[1]", (), 400, "bad_request"),
            (b"[" * 100_000, (), 400, "bad_request"),
            ({**chat, "model": 7}, (), 400, "bad_request"),
            ({**chat, "model": "other"}, (), 404, "unknown_model"),
            ({**chat, "messages": []}, (), 400, "bad_request"),
            ({**chat, "messages": [{"role": "user", "content": 7}]}, (), 400, "bad_request"),
            ({**chat, "max_tokens": 0}, (), 400, "bad_request"),
            ({**chat, "stream": "yes"}, (), 400, "bad_request"),
            (chat, ("Flamingoramp-Time-Limit: never",), 400, "bad_request"),
            (chat, ("Flamingoramp-Time-Limit: 1e99",), 400, "bad_request"),
            (chat, ("Flamingoramp-Time-Limit: nan",), 400, "bad_request"),
            (chat, ("Flamingoramp-Workspace: nobody",), 403, "unknown_workspace"),
            (chat, ("Flamingoramp-Idempotent: false",), 400, "bad_request"),
            (chat, ("Idempotency-Key: " + "x" * 2000,), 400, "bad_request"),
        ]
        for body, headers, status, code in cases:
            with self.subTest(body=str(body)[:60], headers=str(headers)[:60]):
                lines = [h for h in headers if not h.startswith("Flamingoramp-Workspace")]
                workspace = [h for h in headers if h.startswith("Flamingoramp-Workspace")]
                data = body if isinstance(body, bytes) else json.dumps(body).encode()
                answer = http_client.fetch(
                    self.url + "/v1/chat/completions",
                    method="POST",
                    body=data,
                    headers=(*lines, *(workspace or ["Flamingoramp-Workspace: city-buses"])),
                )
                self.assertEqual((answer.status, answer.json()["error"]["code"]), (status, code))
                self.assertEqual(answer.json()["error"]["outcome"], "not_run")
        metrics = http_client.fetch(self.url + "/metrics").body.decode()
        self.assertIn('flamingoramp_http_errors_total{code="bad_request"}', metrics)

    def test_too_large_a_body_is_refused(self):
        answer = small_fleets.post(self.url + "/v1/completions", b"x" * (17 * 1024 * 1024))
        self.assertEqual(answer.status, 413)

    def test_broken_http_leaves_the_process_running(self):
        host, port = transport.parse_address(self.url.removeprefix("http://"))
        for data in (b"\0\1\2\r\n\r\n", b"GET / HTTP/1.1\r\nA: " + b"x" * 100_000, b"POST"):
            with socket.create_connection((host, port)) as sock:
                sock.sendall(data)
        inner = small.fleet.settings.entry_hosts[0].entry_internal_address
        with socket.create_connection(transport.parse_address(inner)) as sock:
            sock.sendall(b"\0\0\0\x08garbage!")
        self.assertEqual(http_client.fetch(self.url + "/healthz").status, 200)

    def test_prompt_that_no_group_holds_is_refused_at_once(self):
        body = {"model": "wrap-writer", "prompt": "x" * 6_000_000, "max_tokens": 5}
        answer = small_fleets.post(self.url + "/v1/completions", body)
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["error"]["outcome"], "not_run")


class TestOpenAiClient(unittest.TestCase):
    """The well-known client library works by its base URL alone."""

    def setUp(self):
        base = small.fleet.entry_urls[0] + "/v1"
        self.client = openai.OpenAI(base_url=base, api_key="city-buses", max_retries=2)
        self.messages = [{"role": "user", "content": "hello"}]
        self.expected = texts.expected_answer("user: hello\n", 8)

    def tearDown(self):
        self.client.close()

    def test_streaming(self):
        stream = self.client.chat.completions.create(
            model="wrap-writer", messages=self.messages, max_tokens=8, stream=True
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        self.assertEqual("".join(parts), self.expected)

    def test_not_streaming(self):
        answer = self.client.chat.completions.create(
            model="wrap-writer", messages=self.messages, max_tokens=8
        )
        self.assertEqual(answer.choices[0].message.content, self.expected)
        self.assertEqual(answer.usage.completion_tokens, 8)

    def test_models(self):
        self.assertEqual([one.id for one in self.client.models.list()], ["wrap-writer"])

    def test_refusal_has_its_status(self):
        with self.assertRaises(openai.NotFoundError):
            self.client.chat.completions.create(model="other", messages=self.messages)


class TestNonIdempotentCalls(unittest.TestCase):
    """A claimed key runs at most once, whichever entry it comes by."""

    def hold(self, entry: int, key: str, body: str = "slot") -> http_client.Response:
        url = small.fleet.entry_urls[entry] + "/v1/services/order-desk/holds"
        return small_fleets.post(url, {"slot": body}, f"Idempotency-Key: {key}")

    def runs(self, key: str) -> int:
        count = 0
        for name, url in small.fleet.server_urls.items():
            if name.startswith("order-desk"):
                runs = http_client.fetch(url + "/v1/runs").json()["runs"]
                count += sum(run["key"] == key for run in runs)
        return count

    def test_same_key_at_every_entry_returns_the_first_answer(self):
        answers = [self.hold(entry, "hold-1") for entry in (0, 1, 2, 0)]
        self.assertEqual([one.status for one in answers], [200] * 4)
        self.assertEqual(len({one.body for one in answers}), 1)
        self.assertEqual(self.runs("hold-1"), 1)

    def test_same_key_with_another_content_is_refused(self):
        self.hold(0, "hold-2")
        answer = self.hold(1, "hold-2", "another")
        self.assertEqual((answer.status, answer.json()["error"]["code"]), (422, "key_reused"))

    def test_expired_key_is_refused(self):
        answer = self.hold(0, f"{int(time.time()) - 200_000}-old")
        self.assertEqual((answer.status, answer.json()["error"]["code"]), (409, "key_expired"))
        self.assertEqual(self.runs("old"), 0)

    def test_call_without_a_key_is_refused(self):
        url = small.fleet.entry_urls[0] + "/v1/services/order-desk/holds"
        answer = small_fleets.post(url, {"slot": 1})
        self.assertEqual((answer.status, answer.json()["error"]["outcome"]), (400, "not_run"))

    def test_read_needs_no_key(self):
        answer = http_client.fetch(
            small.fleet.entry_urls[0] + "/v1/services/order-desk/proofs/7?full=1",
            headers=("Flamingoramp-Workspace: city-buses",),
        )
        self.assertEqual(answer.json()["path"], "/proofs/7")


class TestVanishedCaller(unittest.TestCase):
    """A stream whose caller vanished is cancelled at the engine and its memory comes back."""

    def test_memory_comes_back(self):
        host, port = transport.parse_address(small.fleet.entry_urls[0].removeprefix("http://"))
        body = json.dumps(
            {"model": "wrap-writer", "prompt": "gone " * 99, "max_tokens": 8000, "stream": True}
        )
        with socket.create_connection((host, port)) as sock:
            head = (
                f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                "Flamingoramp-Workspace: city-buses\r\nFlamingoramp-Time-Limit: 90\r\n\r\n"
            )
            sock.sendall((head + body).encode())
            self.assertIn(b"200", sock.recv(100))
            fleets.wait_for(lambda: small.engine_memory() > 0, "the stream to run")
        small.wait_quiet()


class TestEngineFailures(unittest.TestCase):
    """Engines that die, go silent or lie about being there."""

    def kill_while_running(self, act) -> list[client.Result]:
        plan = [
            small_fleets.planned(
                f"{self.id()} {n}", tokens=2000, output=150, time_limit_seconds=25.0
            )
            for n in range(12)
        ]
        return client.LoadClient(small.fleet.entry_urls, 2).run(plan, actions=[(0.5, act)])

    def test_engine_killed_in_mid_stream(self):
        results = self.kill_while_running(lambda: small.fleet.kill("design-llm-1"))
        small.fleet.restart("design-llm-1")
        small_fleets.assert_whole(self, results, 12)
        small.fleet.wait_servers("design-llm", 3)
        small.wait_quiet()

    def test_engine_frozen_in_mid_stream(self):
        results = self.kill_while_running(
            lambda: small.fleet.signal("design-llm-2", signal.SIGSTOP)
        )
        small.fleet.signal("design-llm-2", signal.SIGCONT)
        small_fleets.assert_whole(self, results, 12)
        small.fleet.wait_servers("design-llm", 3)
        small.wait_quiet()

    def test_planned_stop_cuts_nothing_short(self):
        results = self.kill_while_running(lambda: small.fleet.stop("design-llm-3"))
        small_fleets.assert_whole(self, results, 12)
        self.assertEqual(small.fleet.wait_stopped("design-llm-3"), 0)
        small.fleet.restart("design-llm-3")
        small.fleet.wait_servers("design-llm", 3)

    def test_server_that_announces_and_then_says_nothing(self):
        with socket.create_server(("127.0.0.1", 0)) as mute:
            port = mute.getsockname()[1]
            announcement = {
                "server": "mute",
                "service": "design-llm",
                "incarnation": 1,
                "sequence": 1,
                "url": f"http://127.0.0.1:{port}",
                "zone": "zone-0",
                "memory_tokens": 400_000,
                "slots": 64,
                "prefill_rate": 1e9,
                "decode_seconds": 0.0,
                "models": ["wrap-writer@1"],
            }
            small_fleets.post(small.fleet.entry_urls[0] + "/v1/announce", announcement)
            plan = [small_fleets.planned(f"mute {n}", time_limit_seconds=25.0) for n in range(8)]
            results = client.LoadClient(small.fleet.entry_urls, 3).run(plan)
        small_fleets.assert_whole(self, results, 8)
        chosen = [
            event
            for event in small.timeline()
            if event["kind"] == "attempt.started" and "mute" in event["fields"]["servers"]
        ]
        self.assertTrue(chosen)
        small.wait_quiet()


class TestEntryStop(unittest.TestCase):
    """A planned stop of an entry cuts no stream short."""

    def test_streams_end_whole(self):
        host = small.fleet.settings.entry_hosts[2]
        plan = [
            small_fleets.planned(f"stop {n}", at=n / 20, tokens=1500, output=200) for n in range(20)
        ]
        results = client.LoadClient([host.entry_url], 4).run(
            plan,
            actions=[
                (
                    0.5,
                    lambda: small.fleet.make_control_client().request(
                        "POST", "/v1/drain", {"entry": host.name}
                    ),
                )
            ],
        )
        small_fleets.assert_whole(self, results, 20)
        self.assertEqual(small.fleet.wait_stopped(f"entry-{host.name}"), 0)
        small.fleet.restart(f"entry-{host.name}")
        small.fleet.wait_ready()


if __name__ == "__main__":
    unittest.main()
