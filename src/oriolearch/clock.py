"""Implementations of :class:`oriolearch.ports.Clock`."""

import asyncio
import math
import threading
import time

from oriolearch.ports import Clock

POLL_S = 0.005  # clocks other than RealClock do not notify of an advance


class RealClock:
    """The system clock, optionally with another rate and offset.

    :param rate: seconds that pass on this clock for each real second.
    :param offset_s: added to the reading of the monotonic clock.
    """

    def __init__(self, rate: float = 1, offset_s: float = 0) -> None:
        self.rate = rate
        self.offset_s = offset_s

    def monotonic(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic() * self.rate + self.offset_s

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


def lease_clock() -> float:
    """Return seconds of a clock that includes time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_clock() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


class ManualClock:
    """A clock that moves only by :meth:`advance`."""

    def __init__(self, start_s: float = 1000, wall_s: float = 0) -> None:
        self.now_s = start_s
        self.wall_offset_s = wall_s - start_s
        self.lock = threading.Lock()

    def monotonic(self) -> float:
        """Return the seconds reached by the advances so far."""
        with self.lock:
            return self.now_s

    def wall(self) -> float:
        """Return seconds since the Unix epoch, derived from the same time."""
        return self.monotonic() + self.wall_offset_s

    def advance(self, duration_s: float) -> None:
        """Advance the clock."""
        with self.lock:
            self.now_s += duration_s


def wait_on(
    clock: Clock,
    condition: threading.Condition,
    until: float = math.inf,
) -> None:
    """Wait for a notification, at most until a time of the clock.

    The wait may return early. The caller holds the lock of ``condition`` and
    checks in a loop what it waits for.
    """
    if until == math.inf:
        condition.wait()
        return
    remaining_s = until - clock.monotonic()
    if remaining_s <= 0:
        return
    if isinstance(clock, RealClock):
        condition.wait(remaining_s / clock.rate)
    else:
        condition.wait(POLL_S)
