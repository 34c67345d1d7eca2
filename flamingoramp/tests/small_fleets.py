"""Small deployments of real processes; the tests of a module share one."""

from __future__ import annotations

import json
import pathlib
import tempfile
from typing import Any

from bench import client, fleets
from flamingoramp.runtime import http_client

DECLARATION = {
    "services": [
        {"name": "design-llm", "models": [{"name": "wrap-writer"}], "time_limit_seconds": 30.0},
        {"name": "order-desk", "kind": "plain", "time_limit_seconds": 5.0},
    ],
    "workspaces": [{"name": "city-buses", "weight": 4.0}, {"name": "studio-floor"}],
}


def make_settings(*, control: int = 3, entries: int = 3, **timing_changes: Any) -> dict[str, Any]:
    """Return settings of hosts in three availability zones; `timing_changes` set ``timing``."""
    hosts = []
    for number in range(max(control, entries)):
        host: dict[str, Any] = {"name": f"host-{number}", "availability_zone": f"zone-{number % 3}"}
        if number < entries:
            host.update(entry_port=1, entry_inner_port=1)
        if number < control:
            host.update(control_port=1, control_inner_port=1, data_folder="data")
        hosts.append(host)
    timing = {"address_max_age_seconds": 1.0, **timing_changes}
    return {"deployment": "test", "hosts": hosts, "timing": timing}


class SmallFleet:
    """Control hosts, entries and simulated backend servers as processes, in a temporary folder.

    Parameters
    ----------
    engines, services : int
        Number of engines, and of servers of the plain service.
    time_scale : float
        Factor on the servers' processing times.
    **options
        Arguments of `make_settings`.
    """

    def __init__(self, *, engines: int = 3, services: int = 2, time_scale: float = 0.2, **options):
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = fleets.Fleet(
            pathlib.Path(self._folder.name) / "fleet",
            make_settings(**options),
            time_scale=time_scale,
        )
        self._start(engines, services)

    def _start(self, engines: int, services: int) -> None:
        fleet = self.fleet
        fleet.start_daemons()
        groups = [fleets.ServerGroup("design-llm", engines, options={"models": "wrap-writer@1"})]
        if services:
            groups.append(fleets.ServerGroup("order-desk", services, kind="service"))
        fleet.start_servers(groups)
        fleet.wait_leader()
        fleet.apply(DECLARATION)
        fleet.wait_ready()
        fleet.wait_servers("design-llm", engines)
        fleet.wait_servers("order-desk", services)

    def close(self) -> None:
        """Stop all processes and delete their files."""
        self.fleet.close()
        self._folder.cleanup()

    def used_engine_memory_tokens(self) -> int:
        """Return the memory in use at all running engines, in tokens."""
        return sum(
            self.fleet.server_state(name)["memory_used"]
            for name in self.fleet.server_urls
            if name.startswith("design-llm") and self.fleet.is_running(name)
        )

    def reserved_memory_tokens(self) -> int:
        """Return the tokens that all shard owners reserved, plus one for each waiting request."""
        total = 0
        for host in self.fleet.settings.entry_hosts:
            if self.fleet.is_running(f"entry-{host.name}"):
                shards = http_client.fetch(host.entry_url + "/v1/owned").json()["shards"]
                total += sum(shard["reserved_tokens"] + shard["waiting"] for shard in shards)
        return total

    def wait_until_memory_is_free(self) -> None:
        """Wait until no engine memory is in use, reserved or waited for."""
        fleets.wait_for(
            lambda: self.used_engine_memory_tokens() + self.reserved_memory_tokens() == 0,
            "the release of all engine memory",
        )

    def fetch_timeline(self, request: str = "") -> list[dict[str, Any]]:
        """Return the time-line events of all running entries, of all requests or of one."""
        events = []
        for host in self.fleet.settings.entry_hosts:
            if self.fleet.is_running(f"entry-{host.name}"):
                answer = http_client.fetch(f"{host.entry_url}/v1/timeline?request={request}")
                events += [json.loads(line) for line in answer.body.splitlines()]
        return events


def post(url: str, body: Any, *headers: str, timeout_seconds: float = 30.0) -> http_client.Response:
    """Send a POST request of the workspace city-buses; a `body` that isn't `bytes` is JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = ("Content-Type: application/json", "Flamingoramp-Workspace: city-buses", *headers)
    return http_client.fetch(
        url, method="POST", body=data, headers=lines, timeout_seconds=timeout_seconds
    )


def make_request(
    seed: str, *, at: float = 0.0, prompt_tokens: int = 1000, output_tokens: int = 20, **options
):
    """Return a request of the workspace city-buses for the load client."""
    return client.ScheduledRequest(
        send_at_seconds=at,
        workspace="city-buses",
        model="wrap-writer",
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prompt_seed=seed,
        **options,
    )


def assert_all_complete(case: Any, results: list[client.Result], count: int) -> None:
    """Assert that there are `count` results and each request got its complete answer."""
    incomplete = [
        (result.error, result.outcome, len(result.text))
        for result in results
        if not result.answered
    ]
    case.assertEqual(incomplete, [])
    case.assertEqual(len(results), count)
