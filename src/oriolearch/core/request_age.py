"""Infers how long a caller has waited before its present attempt.

A caller that comes back after a refusal sends the time that it still waits,
which is clearly less than at its first attempt. Where most requests of a route
name about the same time, these are first attempts, and the difference is the
time since then. The latency objective counts from the first attempt.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass, field

REMEMBERED_REQUESTS = 64  # of a route
MIN_REQUESTS = 16  # before the usual time is known
# Returning callers lower the median, so that a higher quantile is compared.
USUAL_QUANTILE = 0.75
# Part of the usual time below which a caller has come back.
MIN_FIRST_SHARE = 0.8
# A route whose callers do not agree on a time tells nothing about their age.
MIN_USUAL_SHARE = 0.4
MAX_ROUTES = 10_000


@dataclass(slots=True)
class _Timeouts:
    """Timeouts of the recent requests of one route, in seconds."""

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)

    def record(self, timeout_s: float) -> None:
        self.recent.append(timeout_s)
        insort(self.ordered, timeout_s)
        if len(self.recent) > REMEMBERED_REQUESTS:
            oldest = self.recent.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]

    def find_age(self, timeout_s: float) -> float:
        count = len(self.ordered)
        if count < MIN_REQUESTS:
            return 0.0
        usual_s = self.ordered[int(USUAL_QUANTILE * count)]
        if timeout_s >= MIN_FIRST_SHARE * usual_s:
            return 0.0
        lowest = bisect_left(self.ordered, MIN_FIRST_SHARE * usual_s)
        highest = bisect_right(self.ordered, usual_s / MIN_FIRST_SHARE)
        if highest - lowest < MIN_USUAL_SHARE * count:
            return 0.0
        return usual_s - timeout_s


class RequestAges:
    """The usual timeouts of all routes at one host."""

    def __init__(self) -> None:
        self.routes: dict[str, _Timeouts] = {}

    def find(self, route: str, timeout_s: float) -> float:
        """Return the seconds since the caller's first attempt, 0 if unknown.

        :param timeout_s: time that the caller still waits.
        """
        timeouts = self.routes.get(route)
        if timeouts is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.clear()
            timeouts = self.routes.setdefault(route, _Timeouts())
        timeouts.record(timeout_s)
        return timeouts.find_age(timeout_s)
