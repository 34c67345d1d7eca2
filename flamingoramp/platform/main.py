"""The programs on the platform's hosts: ``main.py entry`` and ``main.py control``."""

from __future__ import annotations

import os
import sys

from flamingoramp import errors
from flamingoramp.platform import platform_dialect
from flamingoramp.runtime import node_settings

SETTINGS_VARIABLE = "FLAMINGORAMP_CONFIG"


def main(role: str) -> None:
    """Run the daemon of a role with the settings that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = node_settings.load(path)
    except errors.SettingsError as error:
        print(f"flamingoramp: {error}", file=sys.stderr)
        sys.exit(2)
    # Each role loads only its own modules, which shortens a restart.
    if role == "control":
        from flamingoramp.daemons import coordinator

        coordinator.Coordinator(settings, platform_dialect.PlatformDialect()).run()
    else:
        from flamingoramp.daemons import gateway

        gateway.Gateway(settings, platform_dialect.PlatformDialect(), path=path).run()


if __name__ == "__main__":
    main(sys.argv[1])
