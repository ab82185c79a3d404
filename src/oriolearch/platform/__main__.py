"""Runs one host: ``python -m oriolearch.platform``.

The path of the settings file is in ``ORIOLEARCH_CONFIG``.
"""

import sys
from typing import Any

_MODULES: Any = sys.modules


def run() -> int:
    """Load and run the daemon; give its exit status."""
    # asyncio does without ssl if it cannot be imported. No connection here
    # uses it, and OpenSSL takes 4.5 MB on every host.
    _MODULES.setdefault('ssl', None)
    from oriolearch.platform.daemon import main

    return main()


if __name__ == '__main__':
    sys.exit(run())
