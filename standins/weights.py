"""Stand-in for the weight store, which limits concurrent reads."""

from __future__ import annotations

import signal
import threading
import time
from concurrent import futures
from typing import Any

import werkzeug

from flamingoramp.runtime import http_server


class WeightStore:
    """Serves reads of model weights; reads over the limit get status 429.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    max_concurrent_reads : int
    read_seconds : float
        Time that one read takes.
    """

    def __init__(self, listen: str, *, max_concurrent_reads: int, read_seconds: float):
        self._max_concurrent_reads = max_concurrent_reads
        self._read_seconds = read_seconds
        self._active_reads = 0
        self._refused_count = 0
        self._lock = threading.Lock()
        self._http = http_server.HttpServer(
            listen,
            self._respond,
            max_body_bytes=1024,
            on_error=lambda error: print(repr(error), flush=True),
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        executor = futures.ThreadPoolExecutor(1)
        stopped = threading.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda _signal, _frame: stopped.set())
        server_future = self._http.start(executor)
        stopped.wait()
        self._http.stop()
        server_future.result()
        executor.shutdown()

    def _respond(self, request: werkzeug.Request, _sock: Any) -> werkzeug.Response:
        if request.path == "/v1/state":
            return http_server.json_response({"refused": self._refused_count})
        with self._lock:
            if self._active_reads >= self._max_concurrent_reads:
                self._refused_count += 1
                return http_server.json_response({"error": "rate limit"}, status=429)
            self._active_reads += 1
        time.sleep(self._read_seconds)
        with self._lock:
            self._active_reads -= 1
        return http_server.json_response({"weights": request.path})
