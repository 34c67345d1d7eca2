"""Planned replacement of three control hosts in turn; then one control host loses its disk."""

from __future__ import annotations

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "shared-2"))

import deployment as deployments  # noqa: E402

REPLACED_COUNT = 3
# After the lost disk; `recovery_s` of the site is 12.
WAIT_SECONDS = 25.0


def run(deployment: deployments.Deployment, *, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    zones = deployment.zones
    hosts = [
        deployment.add(f"core-{number}", "control", zones[number % len(zones)])
        for number in range(1, 6)
    ]
    for host in hosts:
        host.start(seeds=hosts[:3], first_start=True)
    operator = deployments.Operator(deployment)
    operator.machines = hosts
    if not operator.submit(deployments.make_configuration(1), seconds=15):
        raise deployments.CannotRunError("the first configuration was not acknowledged")
    time.sleep(deployments.CATCH_UP_SECONDS)
    for number in range(1, REPLACED_COUNT + 1):
        if has_trouble:
            # The new host first; the old one gets SIGTERM once the new one has had its time.
            leader = deployment.find_leader(hosts)
            new = deployment.add(f"core-{5 + number}", "control", leader.zone)
            new.start(seeds=hosts[:3], first_start=False)
            time.sleep(deployments.CATCH_UP_SECONDS + 0.3)
            leader = deployment.find_leader(hosts)
            leader.stop()
            hosts = [host for host in hosts if host is not leader] + [new]
            operator.machines = hosts
        else:
            time.sleep(deployments.CATCH_UP_SECONDS + 0.3)
        configuration = deployments.make_configuration(1 + number, timeout_ms=1500 + number)
        if not operator.submit(configuration, seconds=deployments.ACK_SECONDS):
            deployment.note("a configuration was not acknowledged in time")
    if operator.read_until(5) != operator.newest_acknowledged:
        deployment.note("the newest configuration can't be read before the disk is lost")
    if has_trouble:
        host = next(host for host in hosts if host is not deployment.find_leader(hosts))
        host.kill()
        host.lose_disk()
        time.sleep(1.0)
        host.start(seeds=[item for item in hosts if item is not host][:3], first_start=False)
    time.sleep(WAIT_SECONDS - 1.0)
    if any(not host.is_running for host in hosts):
        raise deployments.CannotRunError("a control host has ended by itself")
    version = operator.read_until(2 * deployments.CONTACT_SECONDS)
    operator.submit(
        deployments.make_configuration(9, timeout_ms=1509), seconds=deployments.ACK_SECONDS
    )
    deployment.note(f"read back: {version}, acknowledged before: {1 + REPLACED_COUNT}")
    return version is not None and version >= 1 + REPLACED_COUNT


def main() -> int:
    """Run the case and return its exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        deployment = deployments.Deployment(str(HERE), zones=["hall-a", "hall-b", "hall-c"])
    except deployments.CannotRunError as error:
        print(f"can't run: {error}")
        return 2
    try:
        held = run(deployment, has_trouble=has_trouble)
    except deployments.CannotRunError as error:
        deployment.note(f"can't run: {error}")
        print(f"can't run: {error}")
        return 2
    finally:
        deployment.end()
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
