"""Main loop of a stand-in process, with an HTTP server and signal handlers."""

from __future__ import annotations

import signal
from collections.abc import Callable
from concurrent import futures

from flamingoramp.runtime import http_server
from flamingoramp.runtime import loop as loops


def serve(loop: loops.Loop, http: http_server.HttpServer, on_signal: Callable[[], None]) -> None:
    """Run the HTTP server and the loop until the loop stops.

    SIGTERM and SIGINT call ``on_signal`` in the loop.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda _signal, _frame: loop.post(on_signal))
    executor = futures.ThreadPoolExecutor(1)
    server_future = http.start(executor)
    loop.run()
    http.stop()
    server_future.result()
    executor.shutdown()
    loop.close()
