"""A stand-in for the rate-limited weight store."""

from __future__ import annotations

import signal
import threading
import time
from concurrent import futures
from typing import Any

import werkzeug

from flamingoramp.runtime import http_server


class WeightStore:
    """Hands out weights to at most ``at_once`` readers; others are refused.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    at_once : int
    seconds : float
        Time that one read takes.
    """

    def __init__(self, listen: str, *, at_once: int, seconds: float):
        self._at_once = at_once
        self._seconds = seconds
        self._reading = 0
        self._refused = 0
        self._lock = threading.Lock()
        self._http = http_server.HttpServer(
            listen,
            self._respond,
            max_body_bytes=1024,
            on_error=lambda error: print(repr(error), flush=True),
        )

    def run(self) -> None:
        """Serve until told to stop."""
        pool = futures.ThreadPoolExecutor(1)
        stopped = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda _number, _frame: stopped.set())
        served = self._http.start(pool)
        stopped.wait()
        self._http.stop()
        served.result()
        pool.shutdown()

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        if request.path == "/v1/state":
            return http_server.json_response({"refused": self._refused})
        with self._lock:
            if self._reading >= self._at_once:
                self._refused += 1
                return http_server.json_response({"error": "rate limit"}, status=429)
            self._reading += 1
        time.sleep(self._seconds)
        with self._lock:
            self._reading -= 1
        return http_server.json_response({"weights": request.path})
