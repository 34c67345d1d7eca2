"""Benchmark of the time from confirming a configuration until it is in force, while hosts fail.

Runs real daemons on loopback. Just before each confirmation, except those of the case without
faults, a control replica is killed and an entry on another host is isolated: its connections to
the control replicas stay open but pass nothing. Writes out/in-force.json.
"""

from __future__ import annotations

import json
import statistics
import time
from typing import Any

import fire

from bench import fleets
from flamingoramp.runtime import http_client
from flamingoramp.tests import relays

OUTPUT_FOLDER = fleets.ROOT / "out"
CONTROL_HOST_COUNT = 5
ENTRY_HOST_COUNT = 8
ANSWER_TARGET_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.02


def make_settings() -> dict[str, Any]:
    """Return settings of 8 hosts in 3 availability zones, the size of the current deployment."""
    hosts = []
    for number in range(ENTRY_HOST_COUNT):
        host: dict[str, Any] = {
            "name": f"h{number}",
            "availability_zone": f"z{number % 3}",
            "entry_port": 1,
            "entry_inner_port": 1,
        }
        if number < CONTROL_HOST_COUNT:
            host.update(control_port=1, control_inner_port=1, data_folder="d")
        hosts.append(host)
    return {"deployment": "in-force", "hosts": hosts}


def make_declaration(weight: float) -> dict[str, Any]:
    """Return a declaration whose only variable part is the workspace's weight."""
    return {
        "services": [{"name": "llm", "models": [{"name": "m"}]}],
        "workspaces": [{"name": "w", "weight": weight}],
    }


class ChangeRunner:
    """Starts a fleet and confirms configuration changes on it while hosts fail."""

    def __init__(self):
        self.fleet = fleets.Fleet(OUTPUT_FOLDER / "fleet-in-force", make_settings())
        self._isolated_host = self.fleet.settings.entry_hosts[-1]
        self._relays, self._relayed_settings_path = relays.start_control_relays(
            self.fleet.settings_path
        )
        self._start()

    def _start(self) -> None:
        for host in self.fleet.settings.control_hosts:
            self.fleet.start_daemon("control", host.name)
        for host in self.fleet.settings.entry_hosts:
            path = self._relayed_settings_path if host.name == self._isolated_host.name else None
            self.fleet.start_daemon("entry", host.name, path)
        self.fleet.wait_leader()
        self.fleet.apply(make_declaration(1.0))
        self.fleet.wait_ready()

    def close(self) -> None:
        """Kill all processes and close the relays."""
        self.fleet.close()
        for relay in self._relays:
            relay.close()

    def confirm_change(self, number: int, *, killed_role: str, isolate: bool) -> dict[str, Any]:
        """Confirm one change under faults, restore the fleet and return the times in seconds.

        ``answered_seconds`` is the time until the confirmation was answered, ``served_seconds``
        that until every entry that admits requests used the new revision.

        Parameters
        ----------
        number : int
            Number of the change; each number gives a different declaration.
        killed_role : str
            Role of the control replica that is killed, ``leader`` or ``follower``; empty for
            none.
        isolate : bool
            Whether the last entry host is isolated from the control replicas.
        """
        control_client = self.fleet.make_control_client()
        plan = control_client.request("POST", "/v1/plan", make_declaration(2.0 + number))["plan"]
        killed_host = self._choose_replica(killed_role)
        if killed_host:
            self.fleet.kill(f"control-{killed_host}")
        if isolate:
            for relay in self._relays:
                relay.blackhole_all()
        start = time.monotonic()
        answer = control_client.request("POST", "/v1/confirm", {"plan": plan})
        answered_seconds = time.monotonic() - start
        served_seconds = self._wait_until_served(answer["revision"], start)
        for relay in self._relays:
            relay.blackhole_all(False)
        if killed_host:
            self.fleet.restart(f"control-{killed_host}")
        self.fleet.wait_ready()
        time.sleep(1.0)
        return {
            "dead": killed_role,
            "cut": isolate,
            "in_force": answer["in_force"],
            "answered_seconds": answered_seconds,
            "served_seconds": served_seconds,
        }

    def _choose_replica(self, killed_role: str) -> str:
        leader = self.fleet.wait_leader()
        if killed_role == "leader":
            return leader
        followers = [host.name for host in self.fleet.settings.control_hosts if host.name != leader]
        return followers[0] if killed_role else ""

    def _wait_until_served(self, revision: int, start: float) -> float:
        """Wait until every entry that admits requests uses the revision; return the seconds."""
        while any(served < revision for served in self._fetch_revisions()):
            time.sleep(POLL_INTERVAL_SECONDS)
        return time.monotonic() - start

    def _fetch_revisions(self) -> list[int]:
        answers = [http_client.fetch(url + "/readyz") for url in self.fleet.entry_urls]
        return [answer.json()["revision"] for answer in answers if answer.status == 200]


def main(changes: int = 20) -> None:
    """Confirm changes in each fault case, print the times and write them to out/in-force.json.

    Parameters
    ----------
    changes : int
        Number of changes in each case.
    """
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    cases = [("", False), ("follower", True), ("leader", True)]
    rows = []
    runner = ChangeRunner()
    try:
        for killed_role, isolate in cases:
            results = [
                runner.confirm_change(number + len(rows), killed_role=killed_role, isolate=isolate)
                for number in range(changes)
            ]
            rows += results
            times = [result["answered_seconds"] for result in results]
            late_count = sum(seconds > ANSWER_TARGET_SECONDS for seconds in times)
            all_in_force = all(result["in_force"] for result in results)
            print(
                f"killed replica: {killed_role or 'none':9} entry isolated: {isolate!s:5} "
                f"n={len(times)} "
                f"p50 {statistics.median(times):.2f} s, longest {max(times):.2f} s, "
                f"over {ANSWER_TARGET_SECONDS} s: {late_count}, all in force: {all_in_force}",
                flush=True,
            )
    finally:
        runner.close()
    (OUTPUT_FOLDER / "in-force.json").write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
