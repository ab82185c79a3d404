"""State of a pool's upstreams on one host, and which are usable."""

import math
from collections.abc import Mapping
from typing import Any

from oriolearch.core.coldstart import ColdStart
from oriolearch.core.limits import ConcurrencyLimit
from oriolearch.core.model import Pool, Upstream
from oriolearch.core.outliers import OutlierDetector, may_eject

LATENCY_DECAY_S = 0.1  # a latency loses 63 % of its weight in this time
RISE_WEIGHT = 0.5  # weight of a latency above the estimate
FALL_WEIGHT = 0.3  # weight of a latency below the estimate
LEAVING_GRACE_S = 2.0  # keys of a draining server move within this time
# A server that is reported in another state after this time has returned, even
# if health reports never showed it as draining.
LEAVING_EXPIRY_S = 30.0
# Running requests that other hosts report are 200 to 400 ms old, many times a
# service time. If the score counted all of them, all hosts would choose the
# same upstreams, so it counts only those above GROUP_EXCESS_FACTOR times the
# mean.
GROUP_WEIGHT = 0.5
GROUP_EXCESS_FACTOR = 2.0
GROUP_MEAN_WEIGHT = 0.2  # of a new report in the mean
# Latencies up to this many medians are treated as the median. With 4 of 12
# upstreams slowed at load 0.85, p99 is 44 ms with 5 medians and 40 ms with 2;
# less than 2 diverts requests from upstreams that are not slow.
DEADBAND_MEDIANS = 2.5
# Weight of the age of the oldest unanswered request in the score. A request
# older than the pool's p95 predicts a longer wait.
SUSPECT_AGE_WEIGHT = 4


class Target:
    """State of one upstream on this host.

    :ivar capacity: current limit of requests of this host.
    :ivar is_present: whether the pool lists it.
    :ivar has_announced_leaving: whether it announced its departure itself.
    :ivar is_open: whether it may get requests that have no owner.
    :ivar own_running: running requests of this host, including those whose
        body is still transferred.
    :ivar others_running: running requests of other hosts, as last reported.
    :ivar mean_others: mean of these reports.
    :ivar excess: requests that these reports add to the score.
    :ivar pending: start of each attempt without a response head.
    :ivar latency: recent latency, which decays to the pool's median.
    :ivar leaving_at: when it was first reported to leave, if it leaves.
    """

    __slots__ = (
        'capacity',
        'outliers',
        'excess',
        'is_leaving',
        'has_announced_leaving',
        'is_open',
        'is_present',
        'latency',
        'latency_at',
        'leaving_at',
        'limit',
        'others_running',
        'own_running',
        'pending',
        'cold_start',
        'mean_others',
        'saw_draining',
        'upstream',
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.own_running = 0
        self.others_running = 0
        self.mean_others = 0.0
        self.excess = 0.0
        self.pending: dict[str, float] = {}
        self.latency = 0.0
        self.latency_at = -math.inf
        self.limit = ConcurrencyLimit(upstream.slots, upstream.connections)
        self.outliers = OutlierDetector()
        self.cold_start = ColdStart()
        self.capacity = self.limit.level
        self.is_open = False
        self.is_present = False
        self.has_announced_leaving = False
        self.is_leaving = False
        self.leaving_at: float | None = None
        self.saw_draining = False

    def observe(self, now: float, latency: float, median: float) -> None:
        """Record a latency, or the age of an abandoned attempt."""
        weight = math.exp((self.latency_at - now) / LATENCY_DECAY_S)
        current = median + (self.latency - median) * weight
        share = RISE_WEIGHT if latency > current else FALL_WEIGHT
        self.latency = current + (latency - current) * share
        self.latency_at = now

    def oldest_age(self, now: float) -> float:
        """Return the age of the oldest attempt without a response head."""
        for since in self.pending.values():
            return now - since
        return 0.0

    def score(
        self,
        now: float,
        median: float,
        normal: float,
        suspect_age: float,
    ) -> float:
        """Return the estimated seconds until a new request is answered.

        :param normal: latencies below this one are treated as the median.
        :param suspect_age: an older unanswered request shows that the
            upstream is slow.
        """
        weight = math.exp((self.latency_at - now) / LATENCY_DECAY_S)
        expected = median + (self.latency - median) * weight
        if expected < normal:
            expected = median
        load = self.own_running + self.excess
        expected *= 1 + load / self.upstream.slots
        if self.pending:
            age = self.oldest_age(now)
            if age > suspect_age:
                return expected + SUSPECT_AGE_WEIGHT * age
        return expected

    def set_dispatching_host(self, dispatching_host: str | None) -> None:
        """Set the dispatching host; ``None`` if the upstream is not cold."""
        if self.cold_start.dispatching_host != dispatching_host:
            self.limit.restart()
        self.cold_start.set_dispatching_host(dispatching_host)

    def record_group_running(self, group: int) -> None:
        """Record the running requests of all hosts, this one included."""
        self.others_running = max(group - self.own_running, 0)
        self.mean_others += GROUP_MEAN_WEIGHT * (
            self.others_running - self.mean_others
        )

    def is_reported_leaving(self) -> bool:
        """Return whether only a health report shows that it leaves."""
        return self.leaving_at is not None and not self.has_announced_leaving

    def apply_health_report(
        self, now: float, report: Mapping[str, Any] | None
    ) -> None:
        """Apply a health report, which may be late or wrong."""
        state = report.get('state') if report else None
        if state == 'draining':
            self.saw_draining = True
            if self.leaving_at is None:
                self.leaving_at = now
        elif state is not None and self.leaving_at is not None:
            forgotten = now - self.leaving_at > LEAVING_EXPIRY_S
            if self.saw_draining or forgotten:
                self.leaving_at = None
                self.saw_draining = False
                self.has_announced_leaving = False


class Fleet:
    """The upstreams of a pool and their state on one host.

    :ivar present: upstreams that the pool lists.
    :ivar near: usable upstreams of the own zone.
    :ivar far: usable upstreams of other zones.
    :ivar refresh_at: end of the first ejection or avoidance as cold.
    """

    def __init__(self, pool: Pool, zone: str, host: str) -> None:
        self.zone = zone
        self.host = host
        self.zones_out: frozenset[str] = frozenset()
        self.targets: dict[str, Target] = {}
        self.present: list[Target] = []
        self.near: list[Target] = []
        self.far: list[Target] = []
        self.refresh_at = math.inf
        self.ejected = 0
        self.available = 0
        self.update(0, pool, frozenset(), {}, {}, {})

    def update(
        self,
        now: float,
        pool: Pool,
        zones_out: frozenset[str],
        cold: Mapping[str, str],
        group_outstanding: Mapping[str, int],
        hints: Mapping[str, Any],
    ) -> None:
        """Apply reports of the coordinator, other hosts and health checks."""
        returned = self.zones_out - zones_out
        self.zones_out = zones_out
        # An upstream removed from the pool stays until its requests end.
        former = self.targets
        self.targets = {
            name: target
            for name, target in former.items()
            if target.own_running
        }
        for target in former.values():
            target.is_present = False
        self.present = []
        for upstream in pool.upstreams:
            name = upstream.name
            target = former.get(name) or Target(upstream)
            target.upstream = upstream
            target.is_present = True
            self.targets[name] = target
            self.present.append(target)
            if upstream.zone in returned:
                target.limit.restart()
            target.set_dispatching_host(cold.get(name))
            target.record_group_running(group_outstanding.get(name, 0))
            target.apply_health_report(now, hints.get(name))
        self._update_excess()
        self.refresh(now)

    def _update_excess(self) -> None:
        total = sum(target.mean_others for target in self.present)
        threshold = GROUP_EXCESS_FACTOR * total / max(len(self.present), 1)
        for target in self.present:
            excess = max(target.mean_others - threshold, 0)
            target.excess = excess * GROUP_WEIGHT

    def refresh(self, now: float) -> None:
        """Determine the usable upstreams."""
        self.near = []
        self.far = []
        self.refresh_at = math.inf
        self.ejected = 0
        self.available = 0
        for target in self.targets.values():
            target.is_open = False
        for target in self._find_available():
            self.available += 1
            target.is_open = self._is_usable(now, target)
            if target.is_open:
                is_near = target.upstream.zone == self.zone
                (self.near if is_near else self.far).append(target)

    def update_capacity(self, target: Target) -> None:
        """Update the capacity of an upstream after its limits changed."""
        cold_start = target.cold_start
        if cold_start.dispatching_host is None:
            target.capacity = target.limit.level
        else:
            target.capacity = cold_start.free_capacity(
                self.host, target.others_running
            )

    def owner(self, now: float, name: str) -> Target | None:
        """Return the owner of a key if it may get requests.

        No other upstream can serve the key, so an ejection does not apply,
        and a cold or shedding owner gets one request of each host at a time.
        """
        target = self.targets.get(name)
        if target is None or not target.is_present:
            return None
        if target.is_leaving and target.leaving_at is not None:
            if now - target.leaving_at > LEAVING_GRACE_S:
                return None
        is_cold = target.cold_start.is_cold(now)
        target.capacity = 1 if is_cold else target.limit.level
        return target

    def eject(self, now: float, target: Target) -> None:
        """Eject an upstream unless too few would remain."""
        is_out = now < target.outliers.ejected_until
        if not is_out and may_eject(self.ejected, self.available):
            target.outliers.eject(now)
            target.limit.restart()
            self.refresh(now)

    def mark_leaving(self, now: float, name: str) -> None:
        """Record that an upstream announced its departure."""
        target = self.targets.get(name)
        if target is not None and not target.has_announced_leaving:
            target.has_announced_leaving = True
            target.leaving_at = now
            target.saw_draining = False
            self.refresh(now)

    def _find_available(self) -> list[Target]:
        """Return the upstreams that are in service and not leaving."""
        in_service = [
            target
            for target in self.present
            if target.upstream.zone not in self.zones_out
        ]
        reported_leaving = sum(
            target.is_reported_leaving() for target in in_service
        )
        # Health reports are ignored if they say that most of a pool drains.
        is_credible = reported_leaving * 2 <= len(in_service)
        for target in in_service:
            is_reported = is_credible and target.is_reported_leaving()
            target.is_leaving = target.has_announced_leaving or is_reported
        return [target for target in in_service if not target.is_leaving]

    def _is_usable(self, now: float, target: Target) -> bool:
        ejected_until = target.outliers.ejected_until
        if now < ejected_until:
            self.ejected += 1
            self.refresh_at = min(self.refresh_at, ejected_until)
        avoided_until = target.cold_start.avoided_until
        if now < avoided_until:
            self.refresh_at = min(self.refresh_at, avoided_until)
        self.update_capacity(target)
        if target.cold_start.dispatching_host is not None:
            return (
                target.cold_start.dispatching_host == self.host
                and now >= ejected_until
            )
        return now >= ejected_until and now >= avoided_until
