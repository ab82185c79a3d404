"""Decides which upstream a request goes to, and which request goes next.

One :class:`Dispatcher` serves the requests of a host for one pool. Requests
that no upstream has room for wait here, where their order can still be
chosen, and not in an upstream's queue. Not thread-safe.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry
from oriolearch.core.keyranges import OwnerMap
from oriolearch.core.retries import Budget

QUEUED_AT_UPSTREAM = 1  # requests beyond its slots that an upstream may hold
START_WORK_S = 0.12  # work of a request, assumed before the first answer
WORK_WEIGHT = 0.1  # of a new answer in the mean work of an upstream
SHED_PAUSE_S = 0.05  # an upstream that shed gets nothing new for this long
FAILURE_PAUSE_S = 0.4  # doubles with each failure in a row
LONGEST_PAUSE_S = 3.0
ZONE_COST_S = 0.01  # a near upstream is preferred up to this longer wait
UPLOAD_ZONE_COST_S = 0.2  # bytes between zones are dear
OWNER_WAIT_S = 1.5  # a key without an owner usually has one by then
RETRY_BURST = 3.0  # second sends that a host may save up
LEAST_RETRY_S = 0.05  # shortest Retry-After
LOAD_VALID_S = 0.3  # a load report tells about the present for this long
COLD_BURST = 1.0  # requests to a cold upstream that a host may save up
EVEN_SHARE = 0.05  # of a wait, by which upstreams count as equal


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that asks for an upstream.

    :param key: its key in a keyed pool.
    :param useful_until: an answer after this is of no use to the caller.
    :ivar place: the upstream that it was given.
    :ivar refused_for: seconds after which a new request has a chance.
    """

    priority: int
    arrived_at: float
    useful_until: float
    aim_at: float
    key: int | None = None
    is_upload: bool = False
    tried: set[Incarnation] = field(default_factory=set)
    place: 'Lane | None' = None
    refused_for: float | None = None


@dataclass(slots=True, eq=False)
class Lane:
    """What this host knows of one upstream.

    :ivar running: requests of this host at the upstream.
    :ivar reported: running and waiting requests in its last report.
    :ivar paused_until: gets nothing new before, after a shed or failure.
    """

    entry: UpstreamEntry
    running: int = 0
    work_s: float = START_WORK_S
    reported: int = 0
    reported_at: float = 0.0
    own_at_report: int = 0
    paused_until: float = 0.0
    failures: int = 0
    cold_until: float = 0.0
    cold_tokens: float = COLD_BURST
    cold_at: float = 0.0
    is_usable: bool = True

    def others(self, now: float) -> int:
        """Count requests of other hosts by the last report."""
        if now - self.reported_at > LOAD_VALID_S:
            return 0
        return max(self.reported - self.own_at_report, 0)

    def room(self, now: float) -> int:
        """Count the requests that may be sent now."""
        if not self.is_usable or now < self.paused_until:
            return 0
        limit = self.entry.slots + QUEUED_AT_UPSTREAM
        return limit - self.running - self.others(now)

    def wait_s(self, now: float) -> float:
        """Estimate the time until a new request would be answered."""
        ahead = self.running + self.others(now)
        return self.work_s * (1 + ahead / self.entry.slots)


class Dispatcher:
    """Chooses upstreams and orders waiting requests of one pool.

    :param zone: the host's own zone.
    """

    def __init__(
        self,
        plan: PoolPlan,
        zone: str,
        owners: OwnerMap,
        rng: random.Random,
    ) -> None:
        self.plan = plan
        self.zone = zone
        self.owners = owners
        self.rng = rng
        self.lanes: dict[Incarnation, Lane] = {}
        self.waiting: list[Waiter] = []
        self.retries = Budget(0, RETRY_BURST, RETRY_BURST)
        self.cold_rate = 0.0

    def set_share(self, retry_share: float, cold_rate: float) -> None:
        """Set this host's share of what all hosts may send.

        :param retry_share: second sends for each request.
        :param cold_rate: requests per second to one cold upstream.
        """
        self.retries.share = retry_share
        self.cold_rate = cold_rate

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
        if lane is not None and not self._is_queued_ahead(waiter, lane):
            self._place(now, waiter, lane)
            return
        refused_for = self._hopeless(now, waiter)
        if refused_for is not None:
            waiter.refused_for = refused_for
            return
        self.waiting.append(waiter)
        self.waiting.sort(key=_order)

    def withdraw(self, waiter: Waiter) -> None:
        """Take out a request that waits no more."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def grant(self, now: float) -> list[Waiter]:
        """Give the waiting requests that were placed or refused."""
        settled = []
        for waiter in list(self.waiting):
            lane = self._choose(now, waiter)
            if lane is not None:
                self._place(now, waiter, lane)
            else:
                waiter.refused_for = self._expired(now, waiter)
            if lane is not None or waiter.refused_for is not None:
                self.waiting.remove(waiter)
                settled.append(waiter)
        return settled

    def answered(self, now: float, lane: Lane, took_s: float) -> None:
        """Take an answer of an upstream that had worked on a request."""
        lane.failures = 0
        share = took_s / max(1, 1 + (lane.running - 1) / lane.entry.slots)
        lane.work_s += (share - lane.work_s) * WORK_WEIGHT

    def loaded(self, now: float, lane: Lane, reported: int) -> None:
        """Take the load that an upstream reports: running and waiting."""
        lane.reported = reported
        lane.reported_at = now
        lane.own_at_report = lane.running

    def shed(self, now: float, lane: Lane) -> None:
        """Take a refusal of an upstream that has no room."""
        lane.paused_until = now + SHED_PAUSE_S * (1 + self.rng.random())

    def failed(self, now: float, lane: Lane) -> None:
        """Take a failure that may show an upstream in trouble."""
        pause_s = min(FAILURE_PAUSE_S * 2**lane.failures, LONGEST_PAUSE_S)
        lane.failures += 1
        if lane.failures > 1 or self.plan.is_keyed is False:
            lane.paused_until = now + pause_s

    def done(self, lane: Lane) -> None:
        """Give back the place of a request."""
        lane.running -= 1

    def may_retry(self) -> bool:
        """Take one send to a second upstream from the budget."""
        return self.retries.spend()

    def _place(self, now: float, waiter: Waiter, lane: Lane) -> None:
        lane.running += 1
        if now < lane.cold_until:
            self._refill_cold(now, lane)
            lane.cold_tokens -= 1
        waiter.place = lane

    def _refill_cold(self, now: float, lane: Lane) -> None:
        earned = (now - lane.cold_at) * self.cold_rate
        lane.cold_tokens = min(lane.cold_tokens + earned, COLD_BURST)
        lane.cold_at = now

    def _choose(self, now: float, waiter: Waiter) -> Lane | None:
        if waiter.key is not None:
            lane = self._owner(waiter.key)
            return lane if lane and self._has_room(now, lane) else None
        cost_s = UPLOAD_ZONE_COST_S if waiter.is_upload else ZONE_COST_S
        scores = {
            lane.entry.ref: self._score(now, lane, cost_s)
            for lane in self.lanes.values()
            if lane.entry.ref not in waiter.tried and self._has_room(now, lane)
        }
        if not scores:
            return None
        return self.lanes[min(scores, key=scores.__getitem__)]

    def _score(self, now: float, lane: Lane, zone_cost_s: float) -> float:
        wait_s = lane.wait_s(now) * (1 + EVEN_SHARE * self.rng.random())
        if lane.entry.zone == self.zone:
            return wait_s
        return wait_s + zone_cost_s

    def _owner(self, key: int) -> Lane | None:
        owner = self.owners.find(key).owner
        return self.lanes.get(owner) if owner else None

    def _has_room(self, now: float, lane: Lane) -> bool:
        if lane.room(now) <= 0:
            return False
        if now < lane.cold_until:
            self._refill_cold(now, lane)
            return lane.cold_tokens >= 1
        return True

    def _is_queued_ahead(self, waiter: Waiter, lane: Lane) -> bool:
        """Tell whether a waiting request comes first at this upstream."""
        return any(
            _order(other) <= _order(waiter)
            and (other.key is None or self._owner(other.key) is lane)
            for other in self.waiting
        )

    def _hopeless(self, now: float, waiter: Waiter) -> float | None:
        """Give a time to come back when waiting would be of no use."""
        if waiter.key is None:
            lanes = [lane for lane in self.lanes.values() if lane.is_usable]
        else:
            owner = self._owner(waiter.key)
            if owner is None:
                # Moves end soon; a lost owner takes a little longer.
                return None
            lanes = [owner]
        if not lanes:
            return OWNER_WAIT_S
        ahead = sum(
            1
            for other in self.waiting
            if _order(other) <= _order(waiter)
            and (other.key is None or self._owner(other.key) in lanes)
        )
        rate = sum(_rate(now, lane) for lane in lanes)
        if not rate:
            return OWNER_WAIT_S
        soonest_s = min(lane.wait_s(now) for lane in lanes) + ahead / rate
        if now + soonest_s <= waiter.useful_until:
            return None
        return max(soonest_s - (waiter.useful_until - now), LEAST_RETRY_S)

    def _expired(self, now: float, waiter: Waiter) -> float | None:
        """Give a time to come back when an answer would come too late."""
        lane = self._owner(waiter.key) if waiter.key is not None else None
        work_s = lane.work_s if lane else START_WORK_S
        if now + work_s > waiter.useful_until:
            return max(work_s, LEAST_RETRY_S)
        if waiter.key is not None and lane is None:
            if now - waiter.arrived_at > OWNER_WAIT_S:
                return OWNER_WAIT_S
        return None


def _order(waiter: Waiter) -> tuple[int, float]:
    return waiter.priority, waiter.useful_until


def _rate(now: float, lane: Lane) -> float:
    """Estimate the requests a second that an upstream does for this host."""
    if now < lane.paused_until - SHED_PAUSE_S * 2:
        return 0.0
    hosts = 1 + lane.others(now) / max(lane.running, 1)
    return lane.entry.slots / lane.work_s / hosts
