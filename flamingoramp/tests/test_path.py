"""Tests of requests through a deployment of real processes, with and without failures."""

from __future__ import annotations

import json
import signal
import socket
import time
import unittest

import openai

from bench import client, fleets
from flamingoramp.runtime import http_client, transport
from flamingoramp.tests import small_fleets
from standins import texts

small_fleet: small_fleets.SmallFleet


def setUpModule():  # noqa: N802, D103
    global small_fleet
    small_fleet = small_fleets.SmallFleet()


def tearDownModule():  # noqa: N802, D103
    small_fleet.close()


class TestCallers(unittest.TestCase):
    """Requests to an entry and its answers."""

    def setUp(self):
        self.url = small_fleet.fleet.entry_urls[0]

    def test_addresses_list_all_entries(self):
        answer = http_client.fetch(self.url + "/v1/addresses").json()
        urls = sorted(address["url"] for address in answer["addresses"])
        self.assertEqual(urls, sorted(small_fleet.fleet.entry_urls))

    def test_prompts_of_all_lengths_get_complete_answers(self):
        scheduled_requests = [
            small_fleets.make_request(f"all {n}", at=n / 20, prompt_tokens=1000 * n)
            for n in range(1, 30)
        ]
        scheduled_requests.append(small_fleets.make_request("digest", prompt_tokens=1_000_000))
        results = client.LoadClient(small_fleet.fleet.entry_urls, 1).run(scheduled_requests)
        small_fleets.assert_all_complete(self, results, 30)
        small_fleet.wait_until_memory_is_free()

    def test_completion_without_streaming_returns_text(self):
        body = {"model": "wrap-writer", "prompt": "hello", "max_tokens": 5}
        answer = small_fleets.post(self.url + "/v1/completions", body)
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(text, texts.expected_answer("hello", 5))

    def test_invalid_request_returns_error_code(self):
        chat_body = {"model": "wrap-writer", "messages": [{"role": "user", "content": "hi"}]}
        cases = [
            (b"no json", (), 400, "bad_request"),
            (b"[1]", (), 400, "bad_request"),
            (b"[" * 100_000, (), 400, "bad_request"),
            ({**chat_body, "model": 7}, (), 400, "bad_request"),
            ({**chat_body, "model": "other"}, (), 404, "unknown_model"),
            ({**chat_body, "messages": []}, (), 400, "bad_request"),
            ({**chat_body, "messages": [{"role": "user", "content": 7}]}, (), 400, "bad_request"),
            ({**chat_body, "max_tokens": 0}, (), 400, "bad_request"),
            ({**chat_body, "stream": "yes"}, (), 400, "bad_request"),
            (chat_body, ("Flamingoramp-Time-Limit: never",), 400, "bad_request"),
            (chat_body, ("Flamingoramp-Time-Limit: 1e99",), 400, "bad_request"),
            (chat_body, ("Flamingoramp-Time-Limit: nan",), 400, "bad_request"),
            (chat_body, ("Flamingoramp-Workspace: nobody",), 403, "unknown_workspace"),
            (chat_body, ("Flamingoramp-Idempotent: false",), 400, "bad_request"),
            (chat_body, ("Idempotency-Key: " + "x" * 2000,), 400, "bad_request"),
        ]
        for body, headers, status, code in cases:
            with self.subTest(body=str(body)[:60], headers=str(headers)[:60]):
                other_headers = [
                    line for line in headers if not line.startswith("Flamingoramp-Workspace")
                ]
                workspace_headers = [
                    line for line in headers if line.startswith("Flamingoramp-Workspace")
                ]
                data = body if isinstance(body, bytes) else json.dumps(body).encode()
                answer = http_client.fetch(
                    self.url + "/v1/chat/completions",
                    method="POST",
                    body=data,
                    headers=(
                        *other_headers,
                        *(workspace_headers or ["Flamingoramp-Workspace: city-buses"]),
                    ),
                )
                self.assertEqual((answer.status, answer.json()["error"]["code"]), (status, code))
                self.assertEqual(answer.json()["error"]["outcome"], "not_run")
        metrics = http_client.fetch(self.url + "/metrics").body.decode()
        self.assertIn('flamingoramp_http_errors_total{code="bad_request"}', metrics)

    def test_too_large_body_is_refused(self):
        answer = small_fleets.post(self.url + "/v1/completions", b"x" * (17 * 1024 * 1024))
        self.assertEqual(answer.status, 413)

    def test_malformed_bytes_leave_entry_running(self):
        host, port = transport.parse_address(self.url.removeprefix("http://"))
        for data in (b"\0\1\2\r\n\r\n", b"GET / HTTP/1.1\r\nA: " + b"x" * 100_000, b"POST"):
            with socket.create_connection((host, port)) as sock:
                sock.sendall(data)
        internal_address = small_fleet.fleet.settings.entry_hosts[0].entry_internal_address
        with socket.create_connection(transport.parse_address(internal_address)) as sock:
            sock.sendall(b"\0\0\0\x08garbage!")
        self.assertEqual(http_client.fetch(self.url + "/healthz").status, 200)

    def test_prompt_larger_than_any_group_is_refused(self):
        body = {"model": "wrap-writer", "prompt": "x" * 6_000_000, "max_tokens": 5}
        answer = small_fleets.post(self.url + "/v1/completions", body)
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["error"]["outcome"], "not_run")


class TestOpenAiClient(unittest.TestCase):
    """The OpenAI client library works with only its base URL changed."""

    def setUp(self):
        base_url = small_fleet.fleet.entry_urls[0] + "/v1"
        self.client = openai.OpenAI(base_url=base_url, api_key="city-buses", max_retries=2)
        self.messages = [{"role": "user", "content": "hello"}]
        self.expected_text = texts.expected_answer("user: hello\n", 8)

    def tearDown(self):
        self.client.close()

    def test_streaming_returns_complete_text(self):
        stream = self.client.chat.completions.create(
            model="wrap-writer", messages=self.messages, max_tokens=8, stream=True
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        self.assertEqual("".join(parts), self.expected_text)

    def test_without_streaming_returns_text_and_usage(self):
        answer = self.client.chat.completions.create(
            model="wrap-writer", messages=self.messages, max_tokens=8
        )
        self.assertEqual(answer.choices[0].message.content, self.expected_text)
        self.assertEqual(answer.usage.completion_tokens, 8)

    def test_models_lists_declared_model(self):
        self.assertEqual([model.id for model in self.client.models.list()], ["wrap-writer"])

    def test_unknown_model_raises_not_found(self):
        with self.assertRaises(openai.NotFoundError):
            self.client.chat.completions.create(model="other", messages=self.messages)


class TestNonIdempotentCalls(unittest.TestCase):
    """A call with an idempotency key runs at most once, whichever entries receive it."""

    def send_hold(self, entry_index: int, key: str, slot: str = "slot") -> http_client.Response:
        url = small_fleet.fleet.entry_urls[entry_index] + "/v1/services/order-desk/holds"
        return small_fleets.post(url, {"slot": slot}, f"Idempotency-Key: {key}")

    def count_runs(self, key: str) -> int:
        count = 0
        for name, url in small_fleet.fleet.server_urls.items():
            if name.startswith("order-desk"):
                runs = http_client.fetch(url + "/v1/runs").json()["runs"]
                count += sum(run["key"] == key for run in runs)
        return count

    def test_key_sent_to_all_entries_returns_first_answer(self):
        answers = [self.send_hold(index, "hold-1") for index in (0, 1, 2, 0)]
        self.assertEqual([answer.status for answer in answers], [200] * 4)
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.count_runs("hold-1"), 1)

    def test_key_with_different_content_is_refused(self):
        self.send_hold(0, "hold-2")
        answer = self.send_hold(1, "hold-2", "another")
        self.assertEqual((answer.status, answer.json()["error"]["code"]), (422, "key_reused"))

    def test_expired_key_is_refused(self):
        answer = self.send_hold(0, f"{int(time.time()) - 200_000}-old")
        self.assertEqual((answer.status, answer.json()["error"]["code"]), (409, "key_expired"))
        self.assertEqual(self.count_runs("old"), 0)

    def test_call_without_key_is_refused(self):
        url = small_fleet.fleet.entry_urls[0] + "/v1/services/order-desk/holds"
        answer = small_fleets.post(url, {"slot": 1})
        self.assertEqual((answer.status, answer.json()["error"]["outcome"]), (400, "not_run"))

    def test_read_needs_no_key(self):
        answer = http_client.fetch(
            small_fleet.fleet.entry_urls[0] + "/v1/services/order-desk/proofs/7?full=1",
            headers=("Flamingoramp-Workspace: city-buses",),
        )
        self.assertEqual(answer.json()["path"], "/proofs/7")


class TestOddCalls(unittest.TestCase):
    """Texts of callers that the request to a server can't hold as they are."""

    # Guards against an entry that ends with all its callers, since one of them sends a key, path or
    # content type with characters beyond ASCII.
    def test_call_with_any_text_is_served_by_each_entry(self):
        key = f"{int(time.time())}-é".encode("latin-1")
        for index, url in enumerate(small_fleet.fleet.entry_urls):
            for path in ("holds", "holds/%C3%A9", "holds/a%20b%0D%0Ax:%20y", "holds/%00"):
                with self.subTest(entry=index, path=path):
                    answer = self.send(url, path, b"%b-%d-%b" % (key, index, path[-3:].encode()))
                    self.assertEqual(answer.split(b" ")[1], b"200")

    def send(self, url: str, path: str, key: bytes) -> bytes:
        """Send a call and return its answer."""
        host, port = transport.parse_address(url.removeprefix("http://"))
        head = (
            b"POST /v1/services/order-desk/%b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Content-Type: text/plain; name=\xe9\r\nIdempotency-Key: %b\r\n"
            b"Flamingoramp-Workspace: city-buses\r\nConnection: close\r\n\r\n{}"
        )
        with socket.create_connection((host, port), timeout=10.0) as sock:
            sock.sendall(head % (path.encode(), key))
            return b"".join(iter(lambda: sock.recv(65536), b""))


class TestCallerDisconnect(unittest.TestCase):
    """A stream is cancelled at the engine when its caller disconnects."""

    def test_memory_is_released_after_disconnect(self):
        host, port = transport.parse_address(
            small_fleet.fleet.entry_urls[0].removeprefix("http://")
        )
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
            fleets.wait_for(
                lambda: small_fleet.used_engine_memory_tokens() > 0, "the start of the stream"
            )
        small_fleet.wait_until_memory_is_free()


class TestEngineFailures(unittest.TestCase):
    """Requests complete when engines crash, freeze, stop or don't respond."""

    def run_with_action(self, action) -> list[client.Result]:
        scheduled_requests = [
            small_fleets.make_request(
                f"{self.id()} {n}", prompt_tokens=2000, output_tokens=150, time_limit_seconds=25.0
            )
            for n in range(12)
        ]
        return client.LoadClient(small_fleet.fleet.entry_urls, 2).run(
            scheduled_requests, actions=[(0.5, action)]
        )

    def test_requests_complete_when_engine_is_killed(self):
        results = self.run_with_action(lambda: small_fleet.fleet.kill("design-llm-1"))
        small_fleet.fleet.restart("design-llm-1")
        small_fleets.assert_all_complete(self, results, 12)
        small_fleet.fleet.wait_servers("design-llm", 3)
        small_fleet.wait_until_memory_is_free()

    def test_requests_complete_when_engine_is_frozen(self):
        results = self.run_with_action(
            lambda: small_fleet.fleet.signal("design-llm-2", signal.SIGSTOP)
        )
        small_fleet.fleet.signal("design-llm-2", signal.SIGCONT)
        small_fleets.assert_all_complete(self, results, 12)
        small_fleet.fleet.wait_servers("design-llm", 3)
        small_fleet.wait_until_memory_is_free()

    def test_requests_complete_when_engine_stops_as_planned(self):
        results = self.run_with_action(lambda: small_fleet.fleet.stop("design-llm-3"))
        small_fleets.assert_all_complete(self, results, 12)
        self.assertEqual(small_fleet.fleet.wait_stopped("design-llm-3"), 0)
        small_fleet.fleet.restart("design-llm-3")
        small_fleet.fleet.wait_servers("design-llm", 3)

    def test_requests_complete_when_announced_server_never_responds(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            announcement = {
                "server": "unresponsive",
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
            small_fleets.post(small_fleet.fleet.entry_urls[0] + "/v1/announce", announcement)
            scheduled_requests = [
                small_fleets.make_request(f"mute {n}", time_limit_seconds=25.0) for n in range(8)
            ]
            results = client.LoadClient(small_fleet.fleet.entry_urls, 3).run(scheduled_requests)
        small_fleets.assert_all_complete(self, results, 8)
        attempts_at_listener = [
            event
            for event in small_fleet.fetch_timeline()
            if event["kind"] == "attempt.started" and "unresponsive" in event["fields"]["servers"]
        ]
        self.assertTrue(attempts_at_listener)
        small_fleet.wait_until_memory_is_free()


class TestEntryStop(unittest.TestCase):
    """An entry completes its streams before a planned stop."""

    def test_streams_complete_before_stop(self):
        host = small_fleet.fleet.settings.entry_hosts[2]
        scheduled_requests = [
            small_fleets.make_request(f"stop {n}", at=n / 20, prompt_tokens=1500, output_tokens=200)
            for n in range(20)
        ]
        results = client.LoadClient([host.entry_url], 4).run(
            scheduled_requests,
            actions=[
                (
                    0.5,
                    lambda: small_fleet.fleet.make_control_client().request(
                        "POST", "/v1/drain", {"entry": host.name}
                    ),
                )
            ],
        )
        small_fleets.assert_all_complete(self, results, 20)
        self.assertEqual(small_fleet.fleet.wait_stopped(f"entry-{host.name}"), 0)
        small_fleet.fleet.restart(f"entry-{host.name}")
        small_fleet.fleet.wait_ready()


if __name__ == "__main__":
    unittest.main()
