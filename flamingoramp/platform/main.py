"""Entry point of the daemons on the platform's hosts: ``main.py entry`` or ``main.py control``."""

from __future__ import annotations

import os
import sys

from flamingoramp.runtime import early_stop, listeners

SETTINGS_PATH_VARIABLE = "FLAMINGORAMP_CONFIG"


def main(role: str) -> None:
    """Run the daemon of a role, ``entry`` or ``control``.

    The environment variable `SETTINGS_PATH_VARIABLE` holds the path of its settings file.
    """
    settings_path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    early_stop.exit_on_stop_signals()
    # Connections are accepted by the kernel while the modules below are imported.
    opened = listeners.open_configured(settings_path, role)
    from flamingoramp import errors
    from flamingoramp.platform import platform_dialect
    from flamingoramp.runtime import node_settings

    try:
        settings = node_settings.load(settings_path)
    except errors.SettingsError as error:
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(2)
    # Each role imports only its own modules, which shortens a restart.
    if role == "control":
        from flamingoramp.daemons import coordinator

        coordinator.Coordinator(settings, platform_dialect.PlatformDialect(), opened=opened).run()
    else:
        from flamingoramp.daemons import gateway

        gateway.Gateway(
            settings,
            platform_dialect.PlatformDialect(),
            settings_path=settings_path,
            opened=opened,
        ).run()


if __name__ == "__main__":
    main(sys.argv[1])
