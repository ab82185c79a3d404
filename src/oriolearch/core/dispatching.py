"""Decides which upstream a request goes to, and which request goes next.

A :class:`Dispatcher` hands out places at the upstreams of one pool. Requests
that no upstream has room for wait here, where their order can still be
chosen, and not in an upstream's queue. One host is in charge of the places at
an upstream, for the requests of all hosts, so that their number, their order
and the rate of a cold start are exact. Not thread-safe.

Requests that can still be answered within their aim go first, by priority and
aim; the others use what is left, by priority and deadline. In an overload
the upstreams then work on answers that are of full use.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry

QUEUED_AT_UPSTREAM = 1  # beyond its slots, so that it need not wait for us
START_WORK_S = 0.12  # work of a request, assumed before the first answer
WORK_WEIGHT = 0.1  # of a new answer in the mean work of an upstream
SHED_PAUSE_S = 0.05  # an upstream that shed gets nothing new for this long
FAILURE_PAUSE_S = 0.3  # doubles with each failure in a row
LONGEST_PAUSE_S = 2.0
FAILURES_BEFORE_PAUSE = 2  # a single failure may be that of one request
ZONE_COST_S = 0.01  # a near upstream is preferred up to this longer wait
UPLOAD_ZONE_COST_S = 0.2  # bytes between zones are dear
LEAST_RETRY_S = 0.05  # shortest time to come back
LOST_RETRY_S = 1.0  # keys of a silent upstream usually move within a few s
LOAD_VALID_S = 0.3  # a load report tells about the present for this long
SILENT_WORKS = 5.0  # an answer is due within this many mean works
LEAST_SILENT_S = 0.6
EVEN_SHARE = 0.05  # of a wait, by which upstreams count as equal


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that asks for a place.

    :param zone: of the host that sends it.
    :param aim_at: an answer by then has its full value.
    :param useful_until: an answer after this is of no use to the caller.
    :param may_use_cold: the host in charge asks, which alone counts what a
        cold upstream gets.
    :param owner: the only upstream that may serve it; ``None`` for any.
    :ivar place: the upstream that it was given.
    :ivar refused_for: seconds after which a new request has a chance.
    """

    zone: str
    priority: int
    aim_at: float
    useful_until: float
    owner: Incarnation | None = None
    is_upload: bool = False
    tried: frozenset[Incarnation] = frozenset()
    may_use_cold: bool = True
    place: 'Lane | None' = None
    refused_for: float | None = None
    placed_at: float = 0.0


@dataclass(slots=True, eq=False)
class Lane:
    """What is known of one upstream.

    :ivar running: requests that have a place here.
    :ivar reported: running and waiting requests in its last report.
    :ivar paused_until: gets nothing new before, after a shed or failure.
    :ivar heard_at: when it last answered anything.
    """

    entry: UpstreamEntry
    running: dict[Waiter, None] = field(default_factory=dict)
    work_s: float = START_WORK_S
    reported: int = 0
    reported_at: float = float('-inf')
    own_at_report: int = 0
    paused_until: float = 0.0
    failures: int = 0
    heard_at: float = 0.0
    cold_until: float = 0.0
    cold_tokens: float = 0.0
    cold_at: float = 0.0
    is_usable: bool = True

    def others(self, now: float) -> int:
        """Count requests that were not placed here, by the last report."""
        if now - self.reported_at > LOAD_VALID_S:
            return 0
        return max(self.reported - self.own_at_report, 0)

    def is_silent(self, now: float) -> bool:
        """Tell whether an answer is long overdue."""
        if not self.running:
            return False
        oldest = next(iter(self.running)).placed_at
        limit_s = max(SILENT_WORKS * self.work_s, LEAST_SILENT_S)
        return now - max(oldest, self.heard_at) > limit_s

    def room(self, now: float) -> int:
        """Count the requests that may be sent now."""
        if not self.is_usable or now < self.paused_until:
            return 0
        limit = self.entry.slots + QUEUED_AT_UPSTREAM
        room = limit - len(self.running) - self.others(now)
        return 0 if room > 0 and self.is_silent(now) else room

    def wait_s(self, now: float) -> float:
        """Estimate the time until a new request would be answered."""
        ahead = len(self.running) + self.others(now)
        return self.work_s * (1 + ahead / self.entry.slots)


class Dispatcher:
    """Hands out places at the upstreams of one pool.

    :param cold_burst: requests that a cold upstream may get at once, beside
        its rate.
    """

    def __init__(
        self,
        plan: PoolPlan,
        rng: random.Random,
        cold_burst: float = 1.0,
    ) -> None:
        self.plan = plan
        self.rng = rng
        self.lanes: dict[Incarnation, Lane] = {}
        self.waiting: list[Waiter] = []
        self.cold_burst = cold_burst
        self.work_s = START_WORK_S

    def set_upstreams(
        self,
        now: float,
        entries: Iterable[UpstreamEntry],
        usable: Iterable[Incarnation],
        cold_until: Mapping[Incarnation, float],
    ) -> None:
        """Take the upstreams of the pool.

        :param usable: those that may get new requests.
        :param cold_until: end of the cold start of cold ones.
        """
        allowed = set(usable)
        lanes: dict[Incarnation, Lane] = {}
        for entry in entries:
            lane = self.lanes.get(entry.ref) or Lane(entry)
            lane.entry = entry
            lane.is_usable = entry.ref in allowed
            lane.cold_until = max(
                lane.cold_until,
                cold_until.get(entry.ref, 0.0),
            )
            lanes[entry.ref] = lane
        for ref, lane in self.lanes.items():
            if ref not in lanes and lane.running:
                lane.is_usable = False
                lanes[ref] = lane
        self.lanes = lanes

    def submit(self, now: float, waiter: Waiter) -> None:
        """Place a request, let it wait, or refuse it at once."""
        lane = self._choose(now, waiter)
        if lane is not None and not self._is_queued_ahead(now, waiter, lane):
            self._place(now, waiter, lane)
            return
        waiter.refused_for = self._hopeless(
            now,
            waiter,
            self._ahead(now, waiter),
        )
        if waiter.refused_for is None:
            self.waiting.append(waiter)

    def withdraw(self, waiter: Waiter) -> None:
        """Take out a request that waits no more."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def grant(self, now: float) -> list[Waiter]:
        """Give the waiting requests that were placed or refused."""
        settled = []
        ahead: dict[Incarnation | None, int] = {}
        for waiter in self._ordered(now):
            lane = None
            if waiter.owner not in ahead or waiter.tried:
                lane = self._choose(now, waiter)
            if lane is not None:
                self._place(now, waiter, lane)
            else:
                place = ahead.get(waiter.owner, 0)
                waiter.refused_for = self._hopeless(now, waiter, place)
                if waiter.refused_for is None:
                    ahead[waiter.owner] = place + 1
                    continue
            self.waiting.remove(waiter)
            settled.append(waiter)
        return settled

    def _ordered(self, now: float) -> list[Waiter]:
        return sorted(self.waiting, key=lambda waiter: self._order(now, waiter))

    def answered(self, now: float, lane: Lane, took_s: float) -> None:
        """Take an answer of an upstream that had worked on a request."""
        lane.failures = 0
        lane.heard_at = now
        excess = max(len(lane.running) - lane.entry.slots, 0)
        share_s = took_s / (1 + excess / lane.entry.slots)
        lane.work_s += (share_s - lane.work_s) * WORK_WEIGHT
        self.work_s += (share_s - self.work_s) * WORK_WEIGHT

    def loaded(self, now: float, lane: Lane, reported: int) -> None:
        """Take the load that an upstream reports: running and waiting.

        Its answer ends a request of ours, which the report leaves out.
        """
        lane.reported = reported
        lane.reported_at = now
        lane.own_at_report = max(len(lane.running) - 1, 0)

    def shed(self, now: float, lane: Lane, reported: int | None) -> None:
        """Take a refusal of an upstream.

        One that refuses though it reports a free slot is in trouble, not
        full. It goes on with the requests that it does take, and a pause
        would only leave its slots empty.
        """
        lane.heard_at = now
        if reported is None or reported >= lane.entry.slots:
            lane.paused_until = now + SHED_PAUSE_S

    def failed(self, now: float, lane: Lane) -> None:
        """Take a failure that may show an upstream in trouble."""
        lane.failures += 1
        excess = lane.failures - FAILURES_BEFORE_PAUSE
        if excess >= 0:
            pause_s = min(FAILURE_PAUSE_S * 2**excess, LONGEST_PAUSE_S)
            lane.paused_until = now + pause_s

    def done(self, waiter: Waiter) -> None:
        """Give back the place of a request."""
        if waiter.place is not None:
            waiter.place.running.pop(waiter, None)

    def _place(self, now: float, waiter: Waiter, lane: Lane) -> None:
        lane.running[waiter] = None
        waiter.placed_at = now
        if now < lane.cold_until:
            lane.cold_tokens -= 1
        waiter.place = lane

    def _refill_cold(self, now: float, lane: Lane) -> None:
        if not lane.cold_at:
            lane.cold_tokens = self.cold_burst
        else:
            earned = (now - lane.cold_at) * self.plan.cold_rate
            lane.cold_tokens = min(lane.cold_tokens + earned, self.cold_burst)
        lane.cold_at = now

    def _choose(self, now: float, waiter: Waiter) -> Lane | None:
        if waiter.owner is not None:
            lane = self.lanes.get(waiter.owner)
            return lane if lane and self._has_room(now, waiter, lane) else None
        cost_s = UPLOAD_ZONE_COST_S if waiter.is_upload else ZONE_COST_S
        scores = {
            lane.entry.ref: self._score(now, lane, waiter.zone, cost_s)
            for lane in self.lanes.values()
            if lane.entry.ref not in waiter.tried
            and self._has_room(now, waiter, lane)
        }
        if not scores:
            return self._choose_again(now, waiter)
        return self.lanes[min(scores, key=scores.__getitem__)]

    def _choose_again(self, now: float, waiter: Waiter) -> Lane | None:
        """Choose among upstreams that were tried, if there are no others."""
        usable = {ref for ref, lane in self.lanes.items() if lane.is_usable}
        if not waiter.tried or usable - waiter.tried:
            return None
        waiter.tried = frozenset()
        return self._choose(now, waiter)

    def _score(
        self,
        now: float,
        lane: Lane,
        zone: str,
        zone_cost_s: float,
    ) -> float:
        wait_s = lane.wait_s(now) * (1 + EVEN_SHARE * self.rng.random())
        return wait_s if lane.entry.zone == zone else wait_s + zone_cost_s

    def _has_room(self, now: float, waiter: Waiter, lane: Lane) -> bool:
        if lane.room(now) <= 0:
            return False
        if now < lane.cold_until:
            self._refill_cold(now, lane)
            return waiter.may_use_cold and lane.cold_tokens >= 1
        return True

    def _is_queued_ahead(self, now: float, waiter: Waiter, lane: Lane) -> bool:
        """Tell whether a waiting request comes first at this upstream."""
        order = self._order(now, waiter)
        return any(
            other.owner in {None, lane.entry.ref}
            and lane.entry.ref not in other.tried
            and self._order(now, other) <= order
            for other in self.waiting
        )

    def _ahead(self, now: float, waiter: Waiter) -> int:
        """Count the waiting requests that are served before another."""
        order = self._order(now, waiter)
        return sum(
            1
            for other in self.waiting
            if other.owner == waiter.owner and self._order(now, other) <= order
        )

    def _hopeless(
        self,
        now: float,
        waiter: Waiter,
        ahead: int,
    ) -> float | None:
        """Give a time to come back when waiting would be of no use.

        :param ahead: waiting requests that are served before it.
        """
        lanes = self._lanes_for(waiter)
        usable = [
            lane for lane in lanes if lane.is_usable and not lane.is_silent(now)
        ]
        if not usable:
            return LOST_RETRY_S
        rate = sum(self._rate(now, lane) for lane in usable)
        soonest_s = min(
            max(lane.wait_s(now), lane.paused_until - now + lane.work_s)
            for lane in usable
        )
        late_s = now + soonest_s + ahead / rate - waiter.useful_until
        return None if late_s <= 0 else max(late_s, LEAST_RETRY_S)

    def _rate(self, now: float, lane: Lane) -> float:
        rate = lane.entry.slots / lane.work_s
        if now < lane.cold_until and self.plan.cold_rate:
            return min(rate, self.plan.cold_rate)
        return rate

    def _order(
        self,
        now: float,
        waiter: Waiter,
    ) -> tuple[bool, int, float]:
        """Give the rank of a request; the least is served first.

        A request that cannot make its aim even with the next place leaves it
        to those that can. In plain order of aims, an overload would make all
        of them late.
        """
        is_late = now + self._answer_s(waiter) > waiter.aim_at
        urgent_at = waiter.useful_until if is_late else waiter.aim_at
        return is_late, waiter.priority, urgent_at

    def _answer_s(self, waiter: Waiter) -> float:
        """Give the time from the place to the answer."""
        lane = self.lanes.get(waiter.owner) if waiter.owner else None
        work_s = lane.work_s if lane else self.work_s
        return work_s * (1 + QUEUED_AT_UPSTREAM / 2)

    def _lanes_for(self, waiter: Waiter) -> list[Lane]:
        if waiter.owner is None:
            return list(self.lanes.values())
        lane = self.lanes.get(waiter.owner)
        return [lane] if lane else []
