"""Reload of a process's settings file, on a signal or when the file has changed."""

from __future__ import annotations

import os
from collections.abc import Callable

from flamingoramp import errors
from flamingoramp.runtime import event_log, node_settings
from flamingoramp.runtime import loop as loops

CHECK_INTERVAL_SECONDS = 2.0


class SettingsWatch:
    """Loads the settings file again at a signal, or soon after the file has changed.

    Parameters
    ----------
    loop : loops.Loop
    path : str
        Path of the settings file; without one, only `reload` looks for it, in vain.
    log : event_log.EventLog
    on_reloaded : callable
        Called with the new `node_settings.NodeSettings`; not with a file that is refused.
    """

    def __init__(
        self,
        loop: loops.Loop,
        path: str,
        log: event_log.EventLog,
        on_reloaded: Callable[[node_settings.NodeSettings], None],
    ):
        self._path = path
        self._log = log
        self._on_reloaded = on_reloaded
        self._loaded_mtime = self._read_mtime()
        if path:
            loop.call_every(CHECK_INTERVAL_SECONDS, self._reload_if_changed)

    def reload(self) -> None:
        """Load the settings file; the settings before it stay in force if it is refused."""
        self._loaded_mtime = self._read_mtime()
        try:
            settings = node_settings.load(self._path)
        except errors.SettingsError as error:
            self._log.write("settings.refused", text=str(error))
            return
        self._on_reloaded(settings)
        self._log.write("settings.reloaded", seeds=settings.seeds)

    def _reload_if_changed(self) -> None:
        if self._read_mtime() != self._loaded_mtime:
            self.reload()

    def _read_mtime(self) -> float:
        try:
            return os.stat(self._path).st_mtime if self._path else 0.0
        except OSError:
            return 0.0  # the file is being replaced; the next check reads it
