"""Operators' requests about availability zones at a control host: list, evacuate, restore."""

from __future__ import annotations

from typing import Any, Protocol

import werkzeug

from flamingoramp import errors
from flamingoramp.intent import commands
from flamingoramp.runtime import http_server
from flamingoramp.runtime import settings as settings_module

PATH = "/v1/zones"


class ControlHost(Protocol):
    """What a control daemon offers to the threads of its HTTP server."""

    def commit_and_wait(self, command: Any) -> Any:
        """Propose a command and return its result."""

    def read_evacuated_zones(self) -> tuple[str, ...]:
        """Return the evacuated zones if this replica leads."""

    def read_cluster_time(self) -> float:
        """Return the cluster time in seconds."""


def respond(
    request: werkzeug.Request, host: ControlHost, settings: settings_module.Settings
) -> werkzeug.Response:
    """Answer a request with all zones and those that are evacuated, after a change if it asks so.

    Raises
    ------
    flamingoramp.errors.BadRequestError
        The body is not that of a change, or the method is another one.
    flamingoramp.errors.UnknownZoneError
        No host of the settings is in the zone.
    flamingoramp.errors.NotLeaderError
        This replica doesn't lead, or no quorum committed the change in time.
    """
    zones = sorted({item.availability_zone for item in settings.hosts})
    match request.method:
        case "GET":
            evacuated_zones = host.read_evacuated_zones()
        case "POST":
            zone, evacuated = _decode_order(request)
            if zone not in zones:
                raise errors.UnknownZoneError(f"zone: found {zone!r}, takes {', '.join(zones)}")
            command = commands.OrderZone(zone, evacuated, host.read_cluster_time())
            evacuated_zones = host.commit_and_wait(command)
        case _:
            raise errors.BadRequestError(f"{PATH} takes GET and POST")
    return http_server.json_response({"zones": zones, "evacuated_zones": list(evacuated_zones)})


def _decode_order(request: werkzeug.Request) -> tuple[str, bool]:
    body = request.get_json(force=True, silent=True)
    if not isinstance(body, dict) or not isinstance(body.get("zone"), str):
        raise errors.BadRequestError("zone: takes the name of an availability zone")
    if not isinstance(body.get("evacuated"), bool):
        raise errors.BadRequestError("evacuated: takes true or false")
    return body["zone"], body["evacuated"]
