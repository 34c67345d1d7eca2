"""A stand-in for a plain service that records each run."""

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
    """One stand-in service process.

    Parameters
    ----------
    options : ServiceOptions
    """

    def __init__(self, options: ServiceOptions):
        self._options = options
        self._loop = loops.Loop()
        self._incarnation = time.time_ns()
        self._leaving = False
        self._runs: list[dict[str, str]] = []
        self._running = 0
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
            describe=self._describe,
            rng=random.Random(f"{options.seed}/{options.name}"),
        )
        self._loop.call_every(0.1, self._consider_exit)

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        serving.serve(self._loop, self._http, self._leave)

    def _describe(self) -> dict[str, Any]:
        return {
            "server": self._options.name,
            "service": self._options.service,
            "incarnation": self._incarnation,
            "leaving": self._leaving,
            "url": self._http.url,
            "zone": self._options.zone,
            "slots": self._options.slots,
            "running": self._running,
        }

    def _leave(self) -> None:
        self._leaving = True
        self._announcer.announce()

    def _consider_exit(self) -> None:
        if self._leaving and not self._running:
            self._loop.call_later(1.0, self._loop.stop)

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        if request.path == "/v1/runs":
            return http_server.json_response({"runs": self._runs})
        if request.path == "/v1/cancel":
            return http_server.json_response({"accepted": True})
        with self._lock:
            self._running += 1
            if request.method not in ("GET", "HEAD"):
                self._runs.append(
                    {
                        "key": request.headers.get("Idempotency-Key", ""),
                        "request": request.headers.get("Flamingoramp-Request", ""),
                        "path": request.path,
                    }
                )
        time.sleep(self._options.work_seconds)
        with self._lock:
            self._running -= 1
        return http_server.json_response(
            {"service": self._options.service, "server": self._options.name, "path": request.path}
        )
