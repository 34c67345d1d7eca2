"""Time until an accepted configuration is in force, with one host dead and one silently cut off.

Real daemons over loopback. For each change a control host is killed and another entry host goes
silent in the moment before the confirmation. Writes out/in-force.json.
"""

from __future__ import annotations

import json
import statistics
import time
from typing import Any

import fire

from bench import fleet as fleets
from flamingoramp.runtime import http_client
from flamingoramp.tests import relays

OUT = fleets.ROOT / "out"
CONTROL_HOSTS = 5
ENTRY_HOSTS = 8
TARGET_SECONDS = 3.0
POLL_SECONDS = 0.02


def make_settings() -> dict[str, Any]:
    """Return settings of today's size: 8 hosts in 3 availability zones."""
    hosts = []
    for number in range(ENTRY_HOSTS):
        host: dict[str, Any] = {
            "name": f"h{number}",
            "availability_zone": f"z{number % 3}",
            "entry_port": 1,
            "entry_inner_port": 1,
        }
        if number < CONTROL_HOSTS:
            host.update(control_port=1, control_inner_port=1, data_folder="d")
        hosts.append(host)
    return {"deployment": "in-force", "hosts": hosts}


def declare(weight: float) -> dict[str, Any]:
    """Return a declaration that differs by a weight."""
    return {
        "services": [{"name": "llm", "models": [{"name": "m"}]}],
        "workspaces": [{"name": "w", "weight": weight}],
    }


class Runner:
    """Confirms changes while hosts fail."""

    def __init__(self):
        self.fleet = fleets.Fleet(OUT / "fleet-in-force", make_settings())
        self._cut = self.fleet.settings.entry_hosts[-1]
        self._relays, self._cut_path = relays.start_control_relays(self.fleet.settings_path)
        self._start()

    def _start(self) -> None:
        for host in self.fleet.settings.control_hosts:
            self.fleet.start_daemon("control", host.name)
        for host in self.fleet.settings.entry_hosts:
            path = self._cut_path if host.name == self._cut.name else None
            self.fleet.start_daemon("entry", host.name, path)
        self.fleet.leader()
        self.fleet.apply(declare(1.0))
        self.fleet.wait_ready()

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()
        for relay in self._relays:
            relay.close()

    def change(self, number: int, *, dead: str, cut: bool) -> dict[str, Any]:
        """Confirm one change and return how long it took to be in force.

        Parameters
        ----------
        number : int
        dead : str
            ``leader``, ``follower`` or empty: the control replica that is killed.
        cut : bool
            Whether an entry's host goes silent.
        """
        client = self.fleet.client()
        plan = client.request("POST", "/v1/plan", declare(2.0 + number))["plan"]
        victim = self._choose_victim(dead)
        if victim:
            self.fleet.kill(f"control-{victim}")
        if cut:
            for relay in self._relays:
                relay.blackhole_all()
        begun = time.monotonic()
        answer = client.request("POST", "/v1/confirm", {"plan": plan})
        answered = time.monotonic() - begun
        served = self._served_seconds(answer["revision"], begun)
        for relay in self._relays:
            relay.blackhole_all(False)
        if victim:
            self.fleet.restart(f"control-{victim}")
        self.fleet.wait_ready()
        time.sleep(1.0)
        return {
            "dead": dead,
            "cut": cut,
            "in_force": answer["in_force"],
            "answered_seconds": answered,
            "served_seconds": served,
        }

    def _choose_victim(self, dead: str) -> str:
        leader = self.fleet.leader()
        if dead == "leader":
            return leader
        others = [one.name for one in self.fleet.settings.control_hosts if one.name != leader]
        return others[0] if dead else ""

    def _served_seconds(self, revision: int, begun: float) -> float:
        """Return when every entry that admits requests served by the revision."""
        while any(found < revision for found in self._revisions()):
            time.sleep(POLL_SECONDS)
        return time.monotonic() - begun

    def _revisions(self) -> list[int]:
        answers = [http_client.fetch(url + "/readyz") for url in self.fleet.entry_urls]
        return [one.json()["revision"] for one in answers if one.status == 200]


def main(changes: int = 20) -> None:
    """Confirm changes in each case and print the times.

    Parameters
    ----------
    changes : int
        Changes in each case.
    """
    OUT.mkdir(exist_ok=True)
    cases = [("", False), ("follower", True), ("leader", True)]
    rows = []
    runner = Runner()
    try:
        for dead, cut in cases:
            found = [runner.change(n + len(rows), dead=dead, cut=cut) for n in range(changes)]
            rows += found
            times = [one["answered_seconds"] for one in found]
            late = sum(one > TARGET_SECONDS for one in times)
            whole = all(one["in_force"] for one in found)
            print(
                f"dead: {dead or 'none':9} cut off: {cut!s:5} n={len(times)} "
                f"p50 {statistics.median(times):.2f} s, longest {max(times):.2f} s, "
                f"over {TARGET_SECONDS} s: {late}, all in force: {whole}",
                flush=True,
            )
    finally:
        runner.close()
    (OUT / "in-force.json").write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
