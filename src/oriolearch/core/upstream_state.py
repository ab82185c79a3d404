"""The upstreams and requests of a dispatcher.

An upstream's state is kept by the host that dispatches it, from the requests
that it assigned and what their answers report.
"""

from collections import deque
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation, UpstreamEntry
from oriolearch.core.failing import MIN_FAILURES
from oriolearch.core.pacing import TokenBucket
from oriolearch.core.service_times import Slowdown

# Requests beyond its slots that an upstream queues itself, so that no slot is
# idle until this host sends the next request.
QUEUED_AT_UPSTREAM = 1
INITIAL_SERVICE_TIME_S = 0.12  # assumed before the first answer
SERVICE_TIME_WEIGHT = 0.1  # of a new answer in the mean service time
MIN_ANSWERS = 4  # before the mean service time of an upstream is reported
# Upstreams slow down when they are nearly full, and other hosts may use some of
# the slots that seem free: share of the service time for all slots.
OCCUPANCY_COST = 0.3
LOAD_REPORT_MAX_AGE_S = 0.3  # older load reports are ignored
# An upstream with running requests is silent when it has sent no answer for
# this many mean service times, and for at least MIN_SILENCE_S.
SILENT_SERVICE_TIMES = 5.0
MIN_SILENCE_S = 0.6


@dataclass(frozen=True, slots=True)
class Shortage:
    """What the refusal of a request was based on.

    :param usable: upstreams that could serve the request.
    :param ahead: queued requests that are served before it.
    :param soonest_s: expected seconds until the first of the upstreams answers
        a request that it gets now.
    :param running: requests of this dispatcher at the upstreams.
    :param reported_load: running and queued requests that the owner of the
        key reported last, ``None`` without an owner or a report.
    :param report_age_s: age of that report.
    """

    usable: int
    ahead: int = 0
    soonest_s: float = 0.0
    running: int = 0
    reported_load: int | None = None
    report_age_s: float | None = None


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that is to be assigned to an upstream.

    :param zone: zone of the host that forwards the request.
    :param objective_at: monotonic time by which the latency objective wants an
        answer.
    :param deadline: monotonic time after which the caller has no use for
        an answer.
    :param may_use_cold: whether a cold upstream may serve it; ``False`` at a
        host that replaces an unreachable dispatching host, as it doesn't
        know how many requests the cold upstream gets.
    :param owner: the only upstream that may serve it; ``None`` for any.
    :param avoided: upstreams that want no requests of the forwarding host.
    :ivar assigned_to: the upstream that the request is assigned to.
    :ivar retry_after_s: set when the request is refused: seconds after which
        a retry may succeed.
    :ivar shortage: set when the request is refused: the reasons.
    """

    zone: str
    priority: int
    objective_at: float
    deadline: float
    owner: Incarnation | None = None
    is_upload: bool = False
    tried: frozenset[Incarnation] = frozenset()
    avoided: frozenset[Incarnation] = frozenset()
    may_use_cold: bool = True
    assigned_to: 'UpstreamState | None' = None
    retry_after_s: float | None = None
    shortage: Shortage | None = None
    assigned_at: float = 0.0


@dataclass(slots=True, eq=False)
class UpstreamState:
    """State of one upstream in the dispatcher.

    :ivar running: requests that hold a reservation at the upstream.
    :ivar reported_load: running and queued requests in its last report.
    :ivar own_load_at_report: how many of them this dispatcher had assigned.
    :ivar paused_until: end of the pause after it shed requests or could not be
        reached.
    :ivar avoided_until: until then, other upstreams are chosen where there are
        any, because requests failed.
    :ivar last_contact_at: time of its last answer of any kind.
    :ivar cold_tokens: limits requests during its cold start.
    :ivar limit_tokens: limits requests to the rate that it has named.
    :ivar recent: times of the assignments in the last second.
    :ivar is_listed: whether the store lists it; if not, it is kept until its
        requests have ended.
    """

    entry: UpstreamEntry
    running: dict[QueuedRequest, None] = field(default_factory=dict)
    service_time_s: float = INITIAL_SERVICE_TIME_S
    answer_count: int = 0
    slowdown: Slowdown = field(default_factory=Slowdown)
    reported_load: int = 0
    reported_at: float = float('-inf')
    own_load_at_report: int = 0
    paused_until: float = 0.0
    avoided_until: float = 0.0
    failures: int = 0
    last_contact_at: float = 0.0
    cold_until: float = 0.0
    cold_tokens: TokenBucket = field(default_factory=TokenBucket)
    limit_tokens: TokenBucket = field(default_factory=TokenBucket)
    recent: deque[float] = field(default_factory=deque)
    is_usable: bool = True
    is_listed: bool = True

    @property
    def is_measured(self) -> bool:
        """Return whether its mean service time is more than a guess."""
        return self.answer_count >= MIN_ANSWERS and self.last_contact_at > 0

    @property
    def is_failing(self) -> bool:
        """Return whether it has failed all of its latest requests."""
        return self.failures >= MIN_FAILURES

    def count_recent(self, now: float) -> int:
        """Return the number of requests assigned in the last second."""
        while self.recent and now - self.recent[0] >= 1:
            self.recent.popleft()
        return len(self.recent)

    def had_recent_requests(self, now: float) -> bool:
        """Return whether it had requests in the last second."""
        return bool(self.running or self.count_recent(now))

    def update_cold(self, now: float, cold_until: float) -> None:
        """Update the end of its cold start, which may be a new one."""
        if cold_until > self.cold_until:
            if now >= self.cold_until:
                self.cold_tokens.reset()
            self.cold_until = cold_until

    def service_share_s(self, took_s: float) -> float:
        """Return the part of a request's time that it was not queued."""
        excess = max(len(self.running) - self.entry.slots, 0)
        return took_s / (1 + excess / self.entry.slots)

    def update_service_time(self, service_s: float) -> None:
        """Include the service time of one request in the mean.

        The first ones count for more, as the mean starts from a guess.
        """
        weight = max(SERVICE_TIME_WEIGHT, 1 / (self.answer_count + 1))
        self.answer_count += 1
        self.service_time_s += (service_s - self.service_time_s) * weight

    def other_load(self, now: float) -> int:
        """Return the reported load that was assigned elsewhere."""
        if now - self.reported_at > LOAD_REPORT_MAX_AGE_S:
            return 0
        return max(self.reported_load - self.own_load_at_report, 0)

    def is_silent(self, now: float) -> bool:
        """Return whether an answer is long overdue."""
        if not self.running:
            return False
        oldest = next(iter(self.running)).assigned_at
        limit_s = max(SILENT_SERVICE_TIMES * self.service_time_s, MIN_SILENCE_S)
        return now - max(oldest, self.last_contact_at) > limit_s

    def free_capacity(self, now: float) -> int:
        """Return the number of requests that it may get now."""
        if not self.is_usable or now < self.paused_until:
            return 0
        limit = self.entry.slots + QUEUED_AT_UPSTREAM
        free = limit - len(self.running) - self.other_load(now)
        return 0 if free > 0 and self.is_silent(now) else free

    def expected_wait_s(self, now: float) -> float:
        """Return the estimated seconds until it answers a new request."""
        slots = self.entry.slots
        ahead = len(self.running) + self.other_load(now)
        queued = max(ahead + 1 - slots, 0)
        occupancy = OCCUPANCY_COST * ahead
        expected_s = self.service_time_s * self.slowdown.relative(now)
        return expected_s * (1 + (queued + occupancy) / slots)
