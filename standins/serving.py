"""Running a stand-in until its planned stop is complete."""

from __future__ import annotations

import signal
from collections.abc import Callable
from concurrent import futures

from flamingoramp.runtime import http_server
from flamingoramp.runtime import loop as loops


def serve(loop: loops.Loop, http: http_server.HttpServer, on_signal: Callable[[], None]) -> None:
    """Serve until the loop stops; SIGTERM and SIGINT call ``on_signal`` in the loop."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: loop.post(on_signal))
    pool = futures.ThreadPoolExecutor(1)
    served = http.start(pool)
    loop.run()
    http.stop()
    served.result()
    pool.shutdown()
    loop.close()
