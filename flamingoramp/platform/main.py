"""Entry point of the daemons on the platform's hosts: ``main.py entry`` or ``main.py control``."""

from __future__ import annotations

import gc
import os
import sys
from typing import Any

from flamingoramp.runtime import early_stop, listeners

SETTINGS_PATH_VARIABLE = "FLAMINGORAMP_CONFIG"


def main(role: str) -> None:
    """Run the daemon of a role, ``entry`` or ``control``.

    The environment variable `SETTINGS_PATH_VARIABLE` holds the path of its settings file.
    """
    early_stop.handle_signals()
    settings_path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    # Connections are accepted by the kernel while the modules below are imported.
    opened = listeners.open_configured(settings_path, role)
    # The modules and the daemon live as long as the process: searching them for garbage while they
    # are made takes a tenth of a start.
    gc.disable()
    daemon = _make_daemon(role, settings_path, opened)
    gc.freeze()
    gc.enable()
    daemon.run()


def _make_daemon(role: str, settings_path: str, opened: listeners.Listeners) -> Any:
    """Import a role's modules only, which shortens a restart, and return its daemon."""
    from flamingoramp import errors
    from flamingoramp.platform import platform_dialect
    from flamingoramp.runtime import node_settings

    try:
        settings = node_settings.load(settings_path)
    except errors.SettingsError as error:
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(2)
    if role == "control":
        from flamingoramp.daemons import coordinator

        return coordinator.Coordinator(settings, platform_dialect.PlatformDialect(), opened=opened)
    from flamingoramp.daemons import gateway

    return gateway.Gateway(
        settings, platform_dialect.PlatformDialect(), settings_path=settings_path, opened=opened
    )


if __name__ == "__main__":
    main(sys.argv[1])
