"""Runs an entry in a separate process that reports its peak memory."""

import resource
import sys

from tests.entries import make_entry, make_view


def main() -> None:
    """Serve one upstream until the standard input is closed.

    Prints the peak memory in bytes for each line of the standard input.
    """
    entry = make_entry(make_view((sys.argv[1],)))
    print(entry.open()[1], flush=True)
    for _ in sys.stdin:
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print(peak * 1024, flush=True)
    entry.drain(0, 5)


if __name__ == '__main__':
    main()
