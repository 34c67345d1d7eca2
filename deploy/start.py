"""Program of the daemons on the platform's hosts: ``start.py entry`` or ``start.py control``.

Until a program has set a handler, a signal has its default action, and SIGHUP's ends the process.
The first statements hold signals back until there are handlers. They use what the interpreter has
built in, since each import from a file, and a start by ``-m``, takes some milliseconds.
"""

import _signal

try:
    _signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT))
except OSError:
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


def _run() -> None:
    import os
    import sys

    # The root of the repository takes the place of this folder.
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    from flamingoramp.platform import main

    main.main(" ".join(sys.argv[1:]))


if __name__ == "__main__":
    _run()
