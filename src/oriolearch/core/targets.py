"""What a host knows of each upstream of a pool, and which may be used."""

import math
from collections.abc import Mapping
from typing import Any

from oriolearch.core.coldstart import Ramp
from oriolearch.core.limits import ConcurrencyLimit
from oriolearch.core.model import Pool, Upstream
from oriolearch.core.outliers import Evidence, may_eject

FORGET_S = 0.1  # a latency estimate loses 63 % of its weight in this time
RISE_SHARE = 0.5  # weight of a latency above the estimate
FALL_SHARE = 0.3  # weight of a latency below it
LEAVING_GRACE_S = 2.0  # keys of a leaving server move within this time
LEAVING_FORGET_S = 30.0  # a server back after this time needs no notice
# Counts of the group are 200 to 400 ms old, many times a service time. With
# a weight of 0.3 and no smoothing all hosts ran to the same upstreams: p99
# at load 0.85 was 108 ms, with 0.1 and smoothing it is 29 ms.
GROUP_WEIGHT = 0.1
GROUP_SHARE = 0.2  # weight of a new report in the mean
# Latencies up to this many medians are usual in a pool. 5 gave a p99 of
# 44 ms where 2 gave 40 ms (4 of 12 slowed, load 0.85); less than 2 sends
# requests away from upstreams that are not slow.
DEADBAND = 2.5
SUSPECT_FACTOR = 4  # a request older than the pool's p95 predicts more wait


class Target:
    """What this host knows of one upstream.

    :ivar capacity: requests of this host that it takes at the moment.
    :ivar own: requests of this host that run there, bodies included.
    :ivar others: requests of other hosts there, as last reported.
    :ivar pending: decision time of each request without a response head.
    :ivar latency: recent latency, pulled to the pool's median with time.
    """

    __slots__ = (
        'capacity',
        'evidence',
        'latency',
        'latency_at',
        'leaving_at',
        'limit',
        'others',
        'own',
        'pending',
        'ramp',
        'reported',
        'saw_draining',
        'upstream',
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.own = 0
        self.others = 0
        self.reported = 0.0
        self.pending: dict[str, float] = {}
        self.latency = 0.0
        self.latency_at = -math.inf
        self.limit = ConcurrencyLimit(upstream.slots, upstream.connections)
        self.evidence = Evidence()
        self.ramp = Ramp()
        self.capacity = self.limit.level
        self.leaving_at: float | None = None
        self.saw_draining = False

    def observe(self, now: float, latency: float, median: float) -> None:
        """Take a latency, or the age of a request that was given up."""
        weight = math.exp((self.latency_at - now) / FORGET_S)
        current = median + (self.latency - median) * weight
        share = RISE_SHARE if latency > current else FALL_SHARE
        self.latency = current + (latency - current) * share
        self.latency_at = now

    def oldest_age(self, now: float) -> float:
        """Give the age of the oldest request without a response head."""
        for since in self.pending.values():
            return now - since
        return 0.0

    def score(self, now: float, median: float, tail: float) -> float:
        """Estimate the seconds until a new request would be answered."""
        weight = math.exp((self.latency_at - now) / FORGET_S)
        expected = median + (self.latency - median) * weight
        # Latencies that are usual in the pool say nothing of the upstream.
        expected = expected if expected > DEADBAND * median else median
        load = self.own + GROUP_WEIGHT * self.reported
        expected *= 1 + load / self.upstream.slots
        if self.pending:
            age = self.oldest_age(now)
            if age > tail:
                return expected + SUSPECT_FACTOR * age
        return expected

    def hint(self, now: float, report: Mapping[str, Any] | None) -> None:
        """Take a health report, which lags and may mislead."""
        state = report.get('state') if report else None
        if state == 'draining':
            self.saw_draining = True
            if self.leaving_at is None:
                self.leaving_at = now
        elif state is not None and self.leaving_at is not None:
            forgotten = now - self.leaving_at > LEAVING_FORGET_S
            if self.saw_draining or forgotten:
                self.leaving_at = None
                self.saw_draining = False


class Fleet:
    """The upstreams of a pool as one host may use them.

    :ivar near: usable upstreams of the own zone.
    :ivar far: usable upstreams of other zones.
    :ivar review_at: time at which an ejection or a hold ends.
    """

    def __init__(self, pool: Pool, zone: str, host: str) -> None:
        self.zone = zone
        self.host = host
        self.zones_out: frozenset[str] = frozenset()
        self.targets: dict[str, Target] = {}
        self.present: list[Target] = []
        self.near: list[Target] = []
        self.far: list[Target] = []
        self.review_at = math.inf
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
        """Take what the coordinator, the group and health reports say."""
        returned = self.zones_out - zones_out
        self.zones_out = zones_out
        # An upstream taken out of the pool counts until its requests end.
        known = self.targets
        self.targets = {name: tgt for name, tgt in known.items() if tgt.own}
        self.present = []
        for upstream in pool.upstreams:
            name = upstream.name
            target = known.get(name) or Target(upstream)
            target.upstream = upstream
            self.targets[name] = target
            self.present.append(target)
            charged = cold.get(name)
            if upstream.zone in returned or target.ramp.charged != charged:
                target.limit.restart()
            target.ramp.announce(charged)
            others = group_outstanding.get(name, 0) - target.own
            target.others = max(others, 0)
            target.reported += GROUP_SHARE * (target.others - target.reported)
            target.hint(now, hints.get(name))
        self.review(now)

    def review(self, now: float) -> None:
        """Decide anew which upstreams may be used."""
        self.near = []
        self.far = []
        self.review_at = math.inf
        self.ejected = 0
        self.available = 0
        for target in self.present:
            if target.upstream.zone in self.zones_out:
                continue
            if target.leaving_at is not None:
                continue
            self.available += 1
            if self._is_usable(now, target):
                is_near = target.upstream.zone == self.zone
                (self.near if is_near else self.far).append(target)

    def recount(self, target: Target) -> None:
        """Set the capacity of an upstream after its limits changed."""
        ramp = target.ramp
        if ramp.charged is None:
            target.capacity = target.limit.level
        else:
            target.capacity = ramp.room(self.host, target.others)

    def owner(self, now: float, name: str) -> Target | None:
        """Give the owner of a keyed request if it may be sent to.

        No other upstream can serve the key, so ejection does not apply, and
        a cold or shedding owner takes one request of each host at a time.
        """
        target = self.targets.get(name)
        if target is None or target not in self.present:
            return None
        leaving_at = target.leaving_at
        if leaving_at is not None and now - leaving_at > LEAVING_GRACE_S:
            return None
        is_cold = target.ramp.is_cold(now)
        target.capacity = 1 if is_cold else target.limit.level
        return target

    def eject(self, now: float, target: Target) -> None:
        """Take an upstream out, unless too few would stay."""
        is_out = now < target.evidence.ejected_until
        if not is_out and may_eject(self.ejected, self.available):
            target.evidence.eject(now)
            target.limit.restart()
            self.review(now)

    def leaving(self, now: float, name: str) -> None:
        """Take the notice of an upstream that it departs."""
        target = self.targets.get(name)
        if target is not None and target.leaving_at is None:
            target.leaving_at = now
            target.saw_draining = False
            self.review(now)

    def _is_usable(self, now: float, target: Target) -> bool:
        ends = target.evidence.ejected_until
        if now < ends:
            self.ejected += 1
            self.review_at = min(self.review_at, ends)
        hold_ends = target.ramp.held_until
        if now < hold_ends:
            self.review_at = min(self.review_at, hold_ends)
        self.recount(target)
        if target.ramp.charged is not None:
            return target.ramp.charged == self.host and now >= ends
        return now >= ends and now >= hold_ends
