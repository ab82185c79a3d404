"""Usage report of the child processes of a benchmark."""

import json
import resource
import sys
import threading
from collections.abc import Callable


def report_usage(port: int, serve: Callable[[], None] | None = None) -> None:
    """Print the port, then the used processor time for each line of input.

    :param serve: run in a thread; ``None`` if the server runs already.
    """
    if serve is not None:
        threading.Thread(target=serve, daemon=True).start()
    sys.stdout.write(f'{port}\n')
    sys.stdout.flush()
    for _ in sys.stdin:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        seconds = usage.ru_utime + usage.ru_stime
        sys.stdout.write(json.dumps({'seconds': seconds}) + '\n')
        sys.stdout.flush()
