"""Stand-in for a plain service, which records each request that changes state."""

from __future__ import annotations

import random
import threading
import time
from typing import Any

import attrs
import werkzeug

from flamingoramp.runtime import http_server
from flamingoramp.runtime import loop as loops
from standins import announcer, serving


@attrs.frozen
class ServiceOptions:
    """Options of a stand-in service; times in seconds."""

    name: str
    service: str
    zone: str
    listen: str
    entries: tuple[str, ...]
    slots: int = 16
    work_seconds: float = 0.01
    seed: int = 0


class Service:
    """Process that acts as one backend server of a plain service.

    Parameters
    ----------
    options : ServiceOptions
    """

    def __init__(self, options: ServiceOptions):
        self._options = options
        self._loop = loops.Loop()
        self._incarnation = time.time_ns()
        self._is_draining = False
        self._recorded_requests: list[dict[str, str]] = []
        self._running_count = 0
        self._lock = threading.Lock()
        self._http = http_server.HttpServer(
            options.listen,
            self._respond,
            max_body_bytes=1024 * 1024,
            on_error=lambda error: print(repr(error), flush=True),
        )
        self._announcer = announcer.Announcer(
            self._loop,
            entries=list(options.entries),
            describe=self._build_announcement,
            rng=random.Random(f"{options.seed}/{options.name}"),
        )
        self._loop.call_every(0.1, self._stop_when_drained)

    def run(self) -> None:
        """Serve until a requested shutdown is complete."""
        serving.serve(self._loop, self._http, self._start_draining)

    def _build_announcement(self) -> dict[str, Any]:
        return {
            "server": self._options.name,
            "service": self._options.service,
            "incarnation": self._incarnation,
            "leaving": self._is_draining,
            "url": self._http.url,
            "zone": self._options.zone,
            "slots": self._options.slots,
            "running": self._running_count,
        }

    def _start_draining(self) -> None:
        self._is_draining = True
        self._announcer.announce()

    def _stop_when_drained(self) -> None:
        if self._is_draining and not self._running_count:
            self._loop.call_later(1.0, self._loop.stop)

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        if request.path == "/v1/runs":
            return http_server.json_response({"runs": self._recorded_requests})
        if request.path == "/v1/cancel":
            return http_server.json_response({"accepted": True})
        with self._lock:
            self._running_count += 1
            if request.method not in ("GET", "HEAD"):
                self._recorded_requests.append(
                    {
                        "key": request.headers.get("Idempotency-Key", ""),
                        "request": request.headers.get("Flamingoramp-Request", ""),
                        "path": request.path,
                    }
                )
        time.sleep(self._options.work_seconds)
        with self._lock:
            self._running_count -= 1
        return http_server.json_response(
            {"service": self._options.service, "server": self._options.name, "path": request.path}
        )
