"""Assigns requests to upstreams and orders the requests that wait.

A :class:`Dispatcher` reserves capacity at the upstreams of one pool. Requests
that no upstream has capacity for are queued here rather than at an upstream,
because their order can still be changed here. Each upstream has one
dispatching host, which makes the reservations for the requests of all hosts,
so that the limits, the order and the rate of a cold start are exact. Not
thread-safe.

Requests that can still meet their latency objective are served first, by
priority and objective; the others use the remaining capacity, by priority and
deadline. During an overload, upstreams therefore spend their time on answers
that meet the objective.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry
from oriolearch.core.fairness import FairOrder
from oriolearch.core.notices import NO_LIMIT
from oriolearch.core.returns import ReturnTimes
from oriolearch.core.service_times import Spread
from oriolearch.core.upstream_state import (
    INITIAL_SERVICE_TIME_S,
    QUEUED_AT_UPSTREAM,
    SERVICE_TIME_WEIGHT,
    QueuedRequest,
    Shortage,
    UpstreamState,
)
from oriolearch.core.zone_costs import RequestTiming

SHED_PAUSE_S = 0.05  # an upstream that shed gets no new request for this long
# After failures an upstream is avoided, or gets nothing, for this long. Doubles
# with each consecutive failure.
FAILURE_PAUSE_S = 0.3
MAX_FAILURE_PAUSE_S = 2.0
FAILURES_BEFORE_PAUSE = 2  # the request may be the cause of a single failure
# Keys of a silent upstream usually move to another one within a few seconds.
UNAVAILABLE_RETRY_AFTER_S = 1.0
# Of the mean answer time. In an overload most requests wait until they can just
# meet their objective, and with the mean alone half of them would miss it.
ANSWER_MARGIN = 1.1
# Part of an upstream's limits that its dispatching host has at least; hosts
# that replace it have far less.
MIN_DISPATCHING_SHARE = 0.4
WAIT_JITTER_SHARE = 0.05  # waits that differ by less are ordered at random


@dataclass(frozen=True, slots=True)
class _Outlook:
    """When the upstreams that could serve a request are expected to do so.

    :param usable: those that are usable and not silent.
    :param rate: answers per second of all of them.
    :param soonest_s: seconds until the first answer to a new request.
    """

    usable: tuple[UpstreamState, ...]
    rate: float = 0.0
    soonest_s: float = 0.0


class Dispatcher:
    """Assigns the requests of one pool to its upstreams.

    The assignment reserves capacity until :meth:`release`.

    :param cold_burst: requests that a cold upstream may get at once, in
        addition to its rate.
    :param rate_limits: requests per second that upstreams take from all hosts
        together; may change at any time.
    :ivar rate_share: returns the part of an upstream's rate limit, and of its
        rate in a cold start, that this dispatcher may use.
    :ivar may_use_cold: returns whether upstreams in a cold start may get
        requests at all. A host that has just started knows no other hosts. All
        of them may have started with it, so it leaves cold upstreams alone.
    """

    def __init__(
        self,
        plan: PoolPlan,
        rng: random.Random,
        cold_burst: float = 1.0,
        rate_limits: Mapping[Incarnation, float] | None = None,
    ) -> None:
        self.plan = plan
        self.rng = rng
        self.rate_limits = {} if rate_limits is None else rate_limits
        self.rate_share: Callable[[Incarnation], float] = _whole_limit
        self.may_use_cold: Callable[[], bool] = _always
        self.upstreams: dict[Incarnation, UpstreamState] = {}
        self.waiting: list[QueuedRequest] = []
        self.cold_burst = cold_burst
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.spread = Spread()
        self.fair_order = FairOrder()
        self.return_times = ReturnTimes(rng)

    def set_upstreams(
        self,
        now: float,
        entries: Iterable[UpstreamEntry],
        usable: Iterable[Incarnation],
        cold_until: Mapping[Incarnation, float],
    ) -> None:
        """Update the upstreams of the pool.

        An upstream that is no longer listed stays until its requests end.

        :param usable: upstreams that may get new requests.
        :param cold_until: end of the cold start of each cold upstream.
        """
        allowed = set(usable)
        former = set(self.upstreams)
        for entry in entries:
            former.discard(entry.ref)
            self.put_upstream(
                now,
                entry,
                is_usable=entry.ref in allowed,
                cold_until=cold_until.get(entry.ref, 0.0),
            )
        for ref in former:
            self.remove_upstream(ref)

    def put_upstream(
        self,
        now: float,
        entry: UpstreamEntry,
        *,
        is_usable: bool,
        cold_until: float,
    ) -> None:
        """Add or update one upstream of the pool."""
        upstream = self.upstreams.get(entry.ref)
        if upstream is None:
            upstream = UpstreamState(entry, service_time_s=self.service_time_s)
            self.upstreams[entry.ref] = upstream
        upstream.entry = entry
        upstream.is_listed = True
        upstream.is_usable = is_usable
        upstream.update_cold(now, cold_until)

    def remove_upstream(self, ref: Incarnation) -> None:
        """Remove an upstream, now or once its requests have ended."""
        upstream = self.upstreams.get(ref)
        if upstream is None:
            return
        upstream.is_listed = False
        upstream.is_usable = False
        if not upstream.running:
            del self.upstreams[ref]
            self.return_times.forget(ref)

    def submit(self, now: float, request: QueuedRequest) -> None:
        """Assign a request to an upstream, queue it or refuse it."""
        self.fair_order.record_asked(now, request.priority)
        self.return_times.record_arrival(now, request.owner)
        upstream = self._choose(now, request)
        if upstream is not None and not self._is_queued_ahead(
            now, request, upstream
        ):
            self._assign(now, request, upstream)
            return
        request.retry_after_s = self._find_retry_after(
            now,
            request,
            self._count_ahead(now, request),
            self._find_outlook(now, request.owner),
        )
        if request.retry_after_s is None:
            self.waiting.append(request)

    def withdraw(self, request: QueuedRequest) -> None:
        """Remove a request from the queue, if it is queued."""
        if request in self.waiting:
            self.waiting.remove(request)

    def assign_queued(self, now: float) -> list[QueuedRequest]:
        """Assign or refuse queued requests, and return those.

        A request stays queued when neither is possible yet.
        """
        decided = []
        ahead: dict[Incarnation | None, int] = {}
        outlooks: dict[Incarnation | None, _Outlook] = {}
        for request in self._ranked_queue(now):
            upstream = None
            if request.owner not in ahead or request.tried:
                upstream = self._choose(now, request)
            if upstream is not None:
                self._assign(now, request, upstream)
                outlooks.pop(request.owner, None)
            else:
                position = ahead.get(request.owner, 0)
                outlook = outlooks.get(request.owner)
                if outlook is None:
                    outlook = self._find_outlook(now, request.owner)
                    outlooks[request.owner] = outlook
                request.retry_after_s = self._find_retry_after(
                    now, request, position, outlook
                )
                if request.retry_after_s is None:
                    ahead[request.owner] = position + 1
                    continue
            self.waiting.remove(request)
            decided.append(request)
        return decided

    def assign_freed(
        self, now: float, upstream: UpstreamState
    ) -> list[QueuedRequest]:
        """Assign queued requests to an upstream that a request has left.

        Requests that can no longer be answered in time are refused by the
        next :meth:`assign_queued`, whose cost grows with the whole queue.
        """
        assigned = []
        while self.waiting and upstream.free_capacity(now) > 0:
            request = self._first_for(now, upstream)
            chosen = self._choose(now, request) if request else None
            if request is None or chosen is None:
                break
            self._assign(now, request, chosen)
            self.waiting.remove(request)
            assigned.append(request)
        return assigned

    def _first_for(
        self, now: float, upstream: UpstreamState
    ) -> QueuedRequest | None:
        """Return the queued request that is to get an upstream first.

        Those of its own zone go before others that are as urgent, so that the
        overflow of one zone does not push out the requests of another.
        """
        ref = upstream.entry.ref
        return min(
            (
                request
                for request in self.waiting
                if request.owner == ref
                or (
                    request.owner is None
                    and ref not in request.tried
                    and ref not in request.avoided
                )
            ),
            key=lambda request: self._rank_in_zone(
                now, request, upstream.entry.zone
            ),
            default=None,
        )

    def _rank_in_zone(
        self, now: float, request: QueuedRequest, zone: str
    ) -> tuple[bool, bool, int, float]:
        is_late, kind_rank, urgent_at = self._rank(now, request)
        is_foreign = request.owner is None and request.zone != zone
        return is_late, is_foreign, kind_rank, urgent_at

    def _ranked_queue(self, now: float) -> list[QueuedRequest]:
        return sorted(
            self.waiting, key=lambda request: self._rank(now, request)
        )

    def record_answer(
        self, now: float, upstream: UpstreamState, took_s: float
    ) -> None:
        """Record an answer to a request that the upstream has run."""
        upstream.failures = 0
        upstream.last_contact_at = now
        service_s = upstream.service_share_s(took_s)
        self.spread.record(service_s, upstream.service_time_s)
        upstream.update_service_time(
            service_s / upstream.slowdown.relative(now)
        )
        self.service_time_s += (
            service_s - self.service_time_s
        ) * SERVICE_TIME_WEIGHT

    def record_unserved(self, upstream: UpstreamState, waited_s: float) -> None:
        """Record a request that the upstream had for some time, in vain.

        Its service time is longer than that. Answers in time alone would show
        an upstream that has become slow as fast as before.
        """
        service_s = upstream.service_share_s(waited_s)
        if service_s > upstream.service_time_s:
            upstream.update_service_time(service_s)

    def recent_service_times(self, now: float) -> dict[str, float]:
        """Return the service times of upstreams that had recent requests.

        That of an upstream with a rate limit is the time in which its slots
        serve no more than that, so that its share of the keys follows. Another
        host may dispatch the others by now, and knows better.
        """
        return {
            ref.text(): round(self._time_per_request_s(upstream), 4)
            for ref, upstream in self.upstreams.items()
            if upstream.is_measured and upstream.had_recent_requests(now)
        }

    def failing_refs(self, now: float) -> list[Incarnation]:
        """Return the upstreams that fail all of their requests."""
        return [
            ref
            for ref, upstream in self.upstreams.items()
            if upstream.is_failing and upstream.had_recent_requests(now)
        ]

    def refs_with_recent_requests(self, now: float) -> Iterator[Incarnation]:
        """Yield the upstreams that had recent requests."""
        for ref, upstream in self.upstreams.items():
            if upstream.had_recent_requests(now):
                yield ref

    def _time_per_request_s(self, upstream: UpstreamState) -> float:
        limit = self.rate_limits.get(upstream.entry.ref)
        if limit is None:
            return upstream.service_time_s
        return max(upstream.service_time_s, upstream.entry.slots / limit)

    def record_slowdown(
        self, now: float, upstream: UpstreamState, slowdown: float
    ) -> None:
        """Record how much an upstream's machine slows down its work."""
        upstream.slowdown.record(now, slowdown)

    def record_load(
        self, now: float, upstream: UpstreamState, reported_load: int
    ) -> None:
        """Record the running and queued requests that an upstream reports.

        The report comes with the answer to a request of this dispatcher and
        doesn't count that request.
        """
        upstream.reported_load = reported_load
        upstream.reported_at = now
        upstream.own_load_at_report = max(len(upstream.running) - 1, 0)

    def record_shed(
        self, now: float, upstream: UpstreamState, reported_load: int | None
    ) -> None:
        """Record that an upstream shed a request.

        An upstream that sheds while it reports a free slot is faulty, not
        full. It still serves the requests that it accepts, so a pause would
        only leave its slots idle.
        """
        upstream.last_contact_at = now
        if reported_load is None or reported_load >= upstream.entry.slots:
            upstream.paused_until = now + SHED_PAUSE_S

    def record_failure(
        self, now: float, upstream: UpstreamState, *, is_alive: bool
    ) -> None:
        """Record a failure that the upstream may have caused.

        An upstream that fails some requests still serves others, and no other
        one can serve the keys that it owns. Only one that may be down is
        paused.

        :param is_alive: whether it answered or closed the connection.
        """
        upstream.failures += 1
        excess = upstream.failures - FAILURES_BEFORE_PAUSE
        if excess < 0:
            return
        until = now + min(FAILURE_PAUSE_S * 2**excess, MAX_FAILURE_PAUSE_S)
        if is_alive:
            upstream.avoided_until = until
        else:
            upstream.paused_until = until

    def release(self, request: QueuedRequest) -> None:
        """Release the reservation of a request that has ended."""
        upstream = request.assigned_to
        if upstream is None:
            return
        upstream.running.pop(request, None)
        if not upstream.is_listed:
            self.remove_upstream(upstream.entry.ref)

    def _assign(
        self, now: float, request: QueuedRequest, upstream: UpstreamState
    ) -> None:
        upstream.running[request] = None
        upstream.count_recent(now)
        upstream.recent.append(now)
        self.fair_order.record_served(now, request.priority)
        request.assigned_at = now
        if now < upstream.cold_until:
            upstream.cold_tokens.spend()
        if upstream.entry.ref in self.rate_limits:
            upstream.limit_tokens.spend()
        request.assigned_to = upstream

    def _refill_cold(self, now: float, upstream: UpstreamState) -> None:
        # Requests of the last second, assigned before the cold start was
        # known, count as well. A second later they no longer do.
        share = 0.0
        if self.may_use_cold():
            share = self.rate_share(upstream.entry.ref)
        upstream.cold_tokens.refill(
            now,
            self.plan.cold_rate * share,
            self.cold_burst * share,
            upstream.count_recent(now),
        )

    def _wait_for_limit_s(self, now: float, upstream: UpstreamState) -> float:
        """Return after how many seconds its rate limit allows a request."""
        limit = self.rate_limits.get(upstream.entry.ref)
        if limit is None:
            upstream.limit_tokens.reset()
            return 0.0
        share = self.rate_share(upstream.entry.ref)
        burst = min(upstream.entry.slots + QUEUED_AT_UPSTREAM, limit)
        # Many hosts with small shares do not send their first requests at the
        # same time.
        start = max(burst * share, self.rng.random())
        upstream.limit_tokens.refill(
            now, limit * share, burst * share, upstream.count_recent(now), start
        )
        return upstream.limit_tokens.wait_s(limit * share)

    def _choose(
        self, now: float, request: QueuedRequest
    ) -> UpstreamState | None:
        if request.owner is not None:
            upstream = self.upstreams.get(request.owner)
            return (
                upstream
                if upstream and self._has_capacity(now, request, upstream)
                else None
            )
        timing = self._describe_timing(now, request)
        scores = {
            upstream.entry.ref: (
                now < upstream.avoided_until,
                self._score(now, upstream, timing),
            )
            for upstream in self.upstreams.values()
            if upstream.entry.ref not in request.tried
            and upstream.entry.ref not in request.avoided
            and self._has_capacity(now, request, upstream)
        }
        if not scores:
            return self._choose_among_tried(now, request)
        return self.upstreams[min(scores, key=scores.__getitem__)]

    def _choose_among_tried(
        self, now: float, request: QueuedRequest
    ) -> UpstreamState | None:
        """Choose among the tried upstreams if there are no others."""
        usable = {
            ref
            for ref, upstream in self.upstreams.items()
            if upstream.is_usable
        }
        if not request.tried or usable - request.tried:
            return None
        request.tried = frozenset()
        return self._choose(now, request)

    def _describe_timing(
        self, now: float, request: QueuedRequest
    ) -> RequestTiming:
        left_s = request.objective_at - now
        return RequestTiming(
            request.zone,
            left_s,
            max(left_s, self.service_time_s),
            math.sqrt(self.spread.variance),
            request.is_upload,
        )

    def _score(
        self, now: float, upstream: UpstreamState, timing: RequestTiming
    ) -> float:
        wait_s = upstream.expected_wait_s(now) * (
            1 + WAIT_JITTER_SHARE * self.rng.random()
        )
        return timing.cost(upstream.entry.zone, wait_s)

    def _has_capacity(
        self, now: float, request: QueuedRequest, upstream: UpstreamState
    ) -> bool:
        if upstream.free_capacity(now) <= 0:
            return False
        if upstream.running and self._is_substitute(upstream):
            return False
        if now < upstream.cold_until:
            self._refill_cold(now, upstream)
            if not request.may_use_cold or upstream.cold_tokens.is_empty:
                return False
        return not self.rate_limits or not self._wait_for_limit_s(now, upstream)

    def _is_substitute(self, upstream: UpstreamState) -> bool:
        """Return whether this host replaces one that it cannot reach.

        Many hosts may replace it at once, each with a load report that is
        older than the others' requests. With one request of each, they don't
        fill an upstream that resets connections when it is full.
        """
        return self.rate_share(upstream.entry.ref) < MIN_DISPATCHING_SHARE

    def _is_queued_ahead(
        self, now: float, request: QueuedRequest, upstream: UpstreamState
    ) -> bool:
        """Return whether a queued request is to get the upstream first."""
        rank = self._rank(now, request)
        return any(
            other.owner in {None, upstream.entry.ref}
            and upstream.entry.ref not in other.tried
            and upstream.entry.ref not in other.avoided
            and self._rank(now, other) <= rank
            for other in self.waiting
        )

    def _count_ahead(self, now: float, request: QueuedRequest) -> int:
        """Return the number of queued requests to be served before it."""
        rank = self._rank(now, request)
        return sum(
            1
            for other in self.waiting
            if other.owner == request.owner and self._rank(now, other) <= rank
        )

    def _find_outlook(self, now: float, owner: Incarnation | None) -> _Outlook:
        """Return the outlook of requests with an owner, or without one."""
        usable = tuple(
            upstream
            for upstream in self._candidates(owner)
            if upstream.is_usable and not upstream.is_silent(now)
        )
        if not usable:
            return _Outlook(usable)
        soonest_s = min(
            max(
                upstream.expected_wait_s(now),
                upstream.paused_until - now + upstream.service_time_s,
                self._wait_for_limit_s(now, upstream) + upstream.service_time_s,
            )
            for upstream in usable
        )
        rate = sum(self._service_rate(now, upstream) for upstream in usable)
        return _Outlook(usable, rate, soonest_s)

    def _find_retry_after(
        self,
        now: float,
        request: QueuedRequest,
        ahead: int,
        outlook: _Outlook,
    ) -> float | None:
        """Return after how many seconds to retry if waiting is pointless.

        Return ``None`` if the request may still be answered by its deadline.

        :param ahead: number of queued requests that are served before it.
        """
        if not outlook.usable:
            request.shortage = Shortage(0, ahead)
            return self.return_times.spread(UNAVAILABLE_RETRY_AFTER_S)
        answer_at = now + outlook.soonest_s + ahead / outlook.rate
        late_s = answer_at - request.deadline
        if late_s <= 0:
            return None
        request.shortage = _describe_shortage(now, outlook, ahead)
        slack_s = request.objective_at - now - self._expected_answer_s(request)
        return self.return_times.find(
            now, request.owner, late_s, outlook.rate, slack_s
        )

    def _service_rate(self, now: float, upstream: UpstreamState) -> float:
        rate = upstream.entry.slots / upstream.service_time_s
        limit = self.rate_limits.get(upstream.entry.ref, NO_LIMIT)
        if now < upstream.cold_until and self.plan.cold_rate:
            limit = min(limit, self.plan.cold_rate)
        if limit == NO_LIMIT:
            return rate
        return min(rate, limit * self.rate_share(upstream.entry.ref))

    def _rank(
        self,
        now: float,
        request: QueuedRequest,
    ) -> tuple[bool, int, float]:
        """Return the rank of a request; the lowest rank is served first.

        A request that would miss its latency objective even if it were
        assigned now ranks behind those that can meet theirs. If requests
        were ordered by objective alone, all would be late in an overload. Next
        comes the order of kinds, by priority unless one gets too little.
        """
        is_late = now + self._expected_answer_s(request) > request.objective_at
        urgent_at = request.deadline if is_late else request.objective_at
        return is_late, self.fair_order.rank(now, request.priority), urgent_at

    def _expected_answer_s(self, request: QueuedRequest) -> float:
        """Return the expected seconds from assignment to answer."""
        upstream = self.upstreams.get(request.owner) if request.owner else None
        service_time_s = (
            upstream.service_time_s if upstream else self.service_time_s
        )
        mean_s = service_time_s * (1 + QUEUED_AT_UPSTREAM / 2)
        return mean_s * ANSWER_MARGIN

    def _candidates(self, owner: Incarnation | None) -> list[UpstreamState]:
        if owner is None:
            return list(self.upstreams.values())
        upstream = self.upstreams.get(owner)
        return [upstream] if upstream else []


def _always() -> bool:
    return True


def _whole_limit(ref: Incarnation) -> float:
    return 1.0


def _describe_shortage(now: float, outlook: _Outlook, ahead: int) -> Shortage:
    usable = outlook.usable
    running = sum(len(upstream.running) for upstream in usable)
    owner = usable[0] if len(usable) == 1 else None
    has_report = owner is not None and owner.reported_at > float('-inf')
    return Shortage(
        len(usable),
        ahead,
        round(outlook.soonest_s, 4),
        running,
        owner.reported_load if owner and has_report else None,
        round(now - owner.reported_at, 4) if owner and has_report else None,
    )
