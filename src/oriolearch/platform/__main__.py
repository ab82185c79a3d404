"""Runs one host: ``python -m oriolearch.platform``.

``ORIOLEARCH_CONFIG`` holds the path of the settings file.
"""

import signal
import sys
from typing import Any

_MODULES: Any = sys.modules


def run() -> int:
    """Import and run the daemon; return its exit status."""
    # A change of the settings while the modules load must not end the process.
    # The daemon reads the settings once more when it handles the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # asyncio works without ssl if the import fails. No connection here uses
    # TLS, and OpenSSL would cost 4.5 MB of memory on every host.
    _MODULES.setdefault('ssl', None)
    from oriolearch.platform.daemon import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
