"""Infers how long a caller has waited before its present attempt.

A caller that comes back after a refusal sends the time that it still waits,
which is less than at its first attempt. Most requests of a route are first
attempts with the same time, so that the difference is the time since then. The
latency objective counts from the first attempt.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

REMEMBERED_REQUESTS = 64  # of a route
# A route whose callers do not agree on a time tells nothing about their age.
MIN_USUAL_SHARE = 0.3
MAX_ROUTES = 10_000


@dataclass(slots=True)
class _Timeouts:
    """Timeouts of the recent requests of one route, in milliseconds."""

    recent: deque[int] = field(default_factory=deque)
    counts: Counter[int] = field(default_factory=Counter)
    usual_ms: int = 0

    def record(self, timeout_ms: int) -> None:
        self.recent.append(timeout_ms)
        self.counts[timeout_ms] += 1
        if len(self.recent) > REMEMBERED_REQUESTS:
            oldest = self.recent.popleft()
            self.counts[oldest] -= 1
            if not self.counts[oldest]:
                del self.counts[oldest]
        if self.counts[timeout_ms] >= self.counts[self.usual_ms]:
            self.usual_ms = timeout_ms

    def find_age_ms(self, timeout_ms: int) -> int:
        usual_count = self.counts[self.usual_ms]
        if usual_count < MIN_USUAL_SHARE * len(self.recent):
            return 0
        return max(self.usual_ms - timeout_ms, 0)


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
        timeout_ms = round(timeout_s * 1000)
        timeouts.record(timeout_ms)
        return timeouts.find_age_ms(timeout_ms) / 1000
