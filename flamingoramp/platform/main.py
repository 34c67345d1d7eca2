"""The daemons on the platform's hosts, ``entry`` or ``control``; ``deploy/start.py`` runs them."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable
from typing import Any

from flamingoramp.runtime import event_log, listeners, process_end, process_signals

SETTINGS_PATH_VARIABLE = "FLAMINGORAMP_CONFIG"


def main(role: str) -> None:
    """Run the daemon of a role, ``entry`` or ``control``, to the end of the process.

    The environment variable `SETTINGS_PATH_VARIABLE` holds the path of its settings file.
    """
    process_signals.handle_during_start()
    log = event_log.EventLog(role)
    if role not in listeners.SERVED_KEYS_BY_ROLE:
        roles = " or ".join(listeners.SERVED_KEYS_BY_ROLE)
        process_end.end_with_message(
            log,
            cause="settings",
            status=process_end.SETTINGS_STATUS,
            text=f"role: found {role!r}, takes {roles}",
        )
    settings_path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        _start(role, settings_path, log)
    except BaseException as error:
        process_end.end_with_error(log, error, status=process_end.ERROR_STATUS)


def _start(role: str, settings_path: str, log: event_log.EventLog) -> None:
    # Connections are accepted by the kernel while the modules below are imported.
    opened = listeners.open_configured(settings_path, role, log)
    process_signals.handle_during_start(opened.refuse_pending)
    # The modules and the daemon live as long as the process: searching them for garbage while they
    # are made takes a tenth of a start.
    gc.disable()
    try:
        make_daemon = _import_daemon(role)
    except Exception as error:
        process_end.end_with_error(log, error, cause="import", status=process_end.IMPORT_STATUS)
    _run(make_daemon, settings_path, opened)


def _import_daemon(role: str) -> Callable[[str, listeners.Listeners], Any]:
    """Import a role's modules only, which shortens a restart; return what makes its daemon."""
    import attrs

    from flamingoramp.platform import platform_dialect
    from flamingoramp.runtime import node_settings

    def _load(settings_path: str, opened: listeners.Listeners) -> node_settings.NodeSettings:
        settings = node_settings.load(settings_path)
        addresses = listeners.list_addresses(attrs.asdict(settings), role)
        node_settings.check_addresses([address for _, address in addresses], settings_path)
        opened.wait_for_all(addresses)
        return settings

    if role == "control":
        from flamingoramp.daemons import coordinator

        return lambda settings_path, opened: coordinator.Coordinator(
            _load(settings_path, opened),
            platform_dialect.PlatformDialect(),
            settings_path=settings_path,
            opened=opened,
        )
    from flamingoramp.daemons import gateway

    return lambda settings_path, opened: gateway.Gateway(
        _load(settings_path, opened),
        platform_dialect.PlatformDialect(),
        settings_path=settings_path,
        opened=opened,
    )


def _run(
    make_daemon: Callable[[str, listeners.Listeners], Any],
    settings_path: str,
    opened: listeners.Listeners,
) -> None:
    from flamingoramp import errors

    try:
        daemon = make_daemon(settings_path, opened)
        gc.freeze()
        gc.enable()
        daemon.run()
    except errors.SettingsError as error:
        process_end.end_with_message(
            opened.log, cause="settings", status=process_end.SETTINGS_STATUS, text=str(error)
        )
    except listeners.AddressUnavailableError as error:
        process_end.end_with_message(
            opened.log, cause="address", status=process_end.ADDRESS_STATUS, text=str(error)
        )
    except (errors.StorageFailedError, errors.CorruptLogError) as error:
        process_end.end_with_message(
            opened.log, cause="storage", status=process_end.STORAGE_STATUS, text=str(error)
        )


if __name__ == "__main__":
    main(" ".join(sys.argv[1:]))
