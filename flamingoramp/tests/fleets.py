"""A small deployment of real processes, shared by the tests of one module."""

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


def make_settings(*, control: int = 3, entries: int = 3, **changes: Any) -> dict[str, Any]:
    """Return settings of hosts in three availability zones."""
    hosts = []
    for number in range(max(control, entries)):
        host: dict[str, Any] = {"name": f"host-{number}", "availability_zone": f"zone-{number % 3}"}
        if number < entries:
            host.update(entry_port=1, entry_inner_port=1)
        if number < control:
            host.update(control_port=1, control_inner_port=1, data_folder="data")
        hosts.append(host)
    timing = {"address_max_age_seconds": 1.0, **changes}
    return {"deployment": "test", "hosts": hosts, "timing": timing}


class SmallFleet:
    """Daemons and stand-ins in a temporary folder."""

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
        """End all processes and delete their files."""
        self.fleet.close()
        self._folder.cleanup()

    def engine_memory(self) -> int:
        """Return the memory that all engines hold, in tokens."""
        return sum(
            self.fleet.server_state(name)["memory_used"]
            for name in self.fleet.server_urls
            if name.startswith("design-llm") and self.fleet.is_running(name)
        )

    def reserved(self) -> int:
        """Return the memory that all owners hold reserved, in tokens."""
        total = 0
        for host in self.fleet.settings.entry_hosts:
            if self.fleet.is_running(f"entry-{host.name}"):
                owned = http_client.fetch(host.entry_url + "/v1/owned").json()["shards"]
                total += sum(one["reserved_tokens"] + one["waiting"] for one in owned)
        return total

    def wait_quiet(self) -> None:
        """Wait until no memory is taken anywhere."""
        fleets.wait_for(lambda: self.engine_memory() + self.reserved() == 0, "all memory back")

    def timeline(self, request: str = "") -> list[dict[str, Any]]:
        """Return the events of all entries that run."""
        events = []
        for host in self.fleet.settings.entry_hosts:
            if self.fleet.is_running(f"entry-{host.name}"):
                answer = http_client.fetch(f"{host.entry_url}/v1/timeline?request={request}")
                events += [json.loads(line) for line in answer.body.splitlines()]
        return events


def post(url: str, body: Any, *headers: str, timeout: float = 30.0) -> http_client.Response:
    """Post JSON as a caller of the workspace city-buses."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = ("Content-Type: application/json", "Flamingoramp-Workspace: city-buses", *headers)
    return http_client.fetch(url, method="POST", body=data, headers=lines, timeout_seconds=timeout)


def planned(seed: str, *, at: float = 0.0, tokens: int = 1000, output: int = 20, **options):
    """Return a request of the workspace city-buses."""
    return client.ScheduledRequest(
        at=at,
        workspace="city-buses",
        model="wrap-writer",
        prompt_tokens=tokens,
        output_tokens=output,
        prompt_seed=seed,
        **options,
    )


def assert_whole(case: Any, results: list[client.Result], count: int) -> None:
    """Assert that each request got its whole answer."""
    wrong = [(one.error, one.outcome, len(one.text)) for one in results if not one.answered]
    case.assertEqual(wrong, [])
    case.assertEqual(len(results), count)
