"""Keeps the servers that a control host knows in its data folder, and reads them at its start."""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from typing import Any

from flamingoramp import errors
from flamingoramp.membership import departures, registry, server_records_file
from flamingoramp.runtime import loop as loops
from flamingoramp.runtime import metrics as metrics_module

FILE_NAME = "servers"
CHECK_INTERVAL_SECONDS = 1.0
# The file is written without a change, too, so that its age tells when the host was last up.
MAX_SAVE_INTERVAL_SECONDS = 30.0


class ServerRecords:
    """Reads the records of the last run, and saves changed ones in a thread of its own.

    A disk that stalls delays the next write only.

    Parameters
    ----------
    loop : loops.Loop
    member_registry : registry.Registry
    folder : str
        Data folder of the host.
    departed : departures.DepartureState or None
        Departures that may be newer than the records. Without them, the records are not used.
    log : Any
        Event log.
    metrics : metrics_module.Metrics
    wall_time : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        loop: loops.Loop,
        member_registry: registry.Registry,
        folder: str,
        *,
        departed: departures.DepartureState | None,
        log: Any,
        metrics: metrics_module.Metrics,
        wall_time: Callable[[], float],
    ):
        self._loop = loop
        self._registry = member_registry
        self._path = os.path.join(folder, FILE_NAME)
        self._log = log
        self._metrics = metrics
        self._wall_time = wall_time
        self._saved_change_number = 0
        self._saved_at = loop.now()
        self._thread: threading.Thread | None = None
        self._load(departed)
        loop.call_every(CHECK_INTERVAL_SECONDS, self._save_if_due)

    def _load(self, departed: departures.DepartureState | None) -> None:
        if departed is None:
            self._log.write("servers.unreadable", text="the departures can't be read yet")
            self._metrics.count("server_records_failures")
            return
        try:
            records = server_records_file.load(self._path, self._wall_time())
        except (OSError, errors.ProtocolError) as error:
            self._log.write("servers.unreadable", text=str(error))
            self._metrics.count("server_records_failures")
            return
        now = self._loop.now()
        for record in records:
            self._registry.update_server(departed.amend(record), now, relayed=True)
        self._log.write("servers.loaded", count=len(records))

    def _save_if_due(self) -> None:
        now = self._loop.now()
        change_number = self._registry.change_number
        is_due = change_number != self._saved_change_number
        if not is_due and now - self._saved_at < MAX_SAVE_INTERVAL_SECONDS:
            return
        if self._thread is not None and self._thread.is_alive():
            return
        self._saved_change_number, self._saved_at = change_number, now
        records, _ = self._registry.changed_since(0, now)
        self._thread = threading.Thread(
            target=self._save, args=(records, self._wall_time()), daemon=True
        )
        self._thread.start()

    def _save(self, records: tuple, wall_time: float) -> None:
        try:
            server_records_file.save(self._path, records, wall_time)
        except OSError as error:
            text = str(error)
            self._loop.post(lambda: self._record_failure(text))

    def _record_failure(self, text: str) -> None:
        self._saved_change_number = -1
        self._log.write("servers.not_saved", text=text)
        self._metrics.count("server_records_failures")
