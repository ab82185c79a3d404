"""Forwards requests of callers to upstreams."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict

from oriolearch.adapters.caller_links import IncomingRequest, Reply
from oriolearch.adapters.metrics import Latencies
from oriolearch.adapters.upstream_links import (
    UNLIMITED_IDLE_S,
    HttpResponse,
    Link,
    LinkError,
    LinkPool,
    ResponseMemory,
)
from oriolearch.core.directory import (
    Incarnation,
    PoolPlan,
    Repeat,
    RoutePlan,
    UpstreamEntry,
)
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.keyranges import OwnerMap
from oriolearch.core.lapses import LapsedLeases
from oriolearch.core.notices import NO_LIMIT, Facts, Notice
from oriolearch.core.request_age import RequestAges
from oriolearch.core.retries import Budget
from oriolearch.core.upstream_state import QueuedRequest, Shortage
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.eventlog import Event, EventLog
from oriolearch.placing import (
    AttemptResult,
    EndKind,
    LocalDispatch,
    NoCapacityError,
    QueuedOwnerMovedError,
    Reservation,
    ReservationFuture,
    ReservationRouter,
)
from oriolearch.codecs import RequestCodec
from oriolearch.ports import AnswerFacts, RequestHead
from oriolearch.registry import Changes, Registry

CALLER_MARGIN_S = 0.02  # time for the answer to travel back to the caller
# Wait beyond the deadline, so that an upstream's own refusal at the deadline
# is still received.
ANSWER_GRACE_S = 0.1
# A starting host usually has its configuration by then.
RETRY_AFTER_UNREADY_S = 0.5
QUEUE_CHECK_PERIOD_S = 0.03  # period of the checks of queued requests
# Delay before a keyed request is retried, usually after an upstream that does
# not own the key.
KEYED_RETRY_DELAY_S = 0.05
# Wait for the new owner of a key that is being moved, which takes a few calls.
OWNER_WAIT_S = 0.8
# A request is refused at once if the lost owner of its key is expected to be
# replaced later than this.
MAX_EXPECTED_OWNER_WAIT_S = 0.5
OWNER_LOST_RETRY_S = 1.0  # a lost owner is replaced within some seconds
NO_BUDGET_RETRY_S = 0.2  # the retry budget usually refills by then
MAX_RETRY_BURST = 3.0  # most retries that the budget of a host accumulates
# Share of the retry slack that the budgets of all hosts together may
# accumulate. The rest covers hosts that start with a full budget.
RETRY_SLACK_SHARE = 0.6
# An upstream or the network may drop an idle connection silently. A request
# sent on it is reset, and one that is not idempotent cannot be retried.
MAX_IDLE_ONCE_S = 0.5
MIN_TIME_LEFT_S = 0.01  # requests with less time left are not sent
# A stopping host sends a request only while its answer can be expected before
# the process ends: the latency objective of the route, and at least this.
MIN_ANSWER_TIME_S = 1.0
# Other hosts serve the callers of a stopping host at once.
RETRY_AFTER_STOPPING_S = 0.1


class _RefusedError(Exception):
    """The request is answered by the router and not by an upstream.

    :param after_s: delay for the ``Retry-After`` header, in seconds.
    """

    def __init__(self, status: int, reason: str, after_s: float | None = None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.after_s = after_s


class _ForwardedRequest:
    """State of a request that is being forwarded.

    :ivar possible_runs: attempts in which an upstream may have run it.
    :ivar possible_arrivals: attempts that may have reached an upstream.
    :ivar is_expired: its deadline passed and an upstream may have run it.
    :ivar shortage: what the refusal of the last reservation was based on.
    :ivar age_s: time since the first attempt of the caller, as far as it is
        known.
    :ivar reservation: the reservation that it waits for.
    :ivar tried: upstreams of earlier attempts, avoided by a retry.
    :ivar avoided: upstreams that want no requests of this host now.
    :ivar carriers: connections of earlier attempts, not used by a retry.
    """

    def __init__(
        self,
        request: IncomingRequest,
        head: RequestHead,
        route: RoutePlan,
        pool: str,
        is_keyed: bool,
    ) -> None:
        self.request = request
        self.head = head
        self.route = route
        self.pool = pool
        limit_s = min(head.timeout_s - CALLER_MARGIN_S, route.timeout_s)
        self.deadline = request.received_at + limit_s
        self.possible_runs = 0
        self.possible_arrivals = 0
        self.last_failure = ''
        self.shortage: Shortage | None = None
        self.is_expired = False
        self.config_version = 0
        self.assigned_at = 0.0
        self.is_keyed = is_keyed
        self.key = head.key or 0
        self.owner: Incarnation | None = None
        self.age_s = 0.0
        self.reservation: ReservationFuture | None = None
        self.tried: frozenset[Incarnation] = frozenset()
        self.avoided: frozenset[Incarnation] = frozenset()
        self.carriers: set[Link] = set()

    def make_queued_request(self, zone: str) -> QueuedRequest:
        """Return the request for the queue of the dispatching host."""
        return QueuedRequest(
            zone=zone,
            priority=self.route.priority,
            objective_at=self.request.received_at
            + self.route.latency_objective_s
            - self.age_s,
            deadline=self.deadline,
            owner=self.owner,
            is_upload=self.route.is_upload,
            tried=self.tried,
            avoided=self.avoided,
        )


class Forwarder:
    """Serves the requests that arrive at one host.

    :ivar reserving: requests that wait for a reservation.
    :ivar owner_waits: requests that wait until their key has an owner.
    :ivar pool_shares: by route, how far each pool is below its share of the
        requests.
    :ivar count_key: called with the pool and key of each keyed request.
    :ivar hears_coordinator: returns whether changes of owners arrive.
    :ivar stops_at: when the process ends, if it stops; no answer is delivered
        later.
    :ivar late_from: requests received later are only taken if their deadline
        ends before the process.
    :ivar send_limits: time limits of the requests that are not sent yet.
    """

    def __init__(
        self,
        zone: str,
        address: str,
        registry: Registry,
        codec: RequestCodec,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.registry = registry
        self.codec = codec
        self.log = log
        self.rng = rng
        self.owners: dict[str, OwnerMap] = {}
        self.local_dispatch = LocalDispatch()
        self.local_dispatch.on_cold = self._record_cold
        self.local_dispatch.record_notices = self.record_notices
        self.notices = self.local_dispatch.notices
        self.reservation_router = ReservationRouter(
            address, self.local_dispatch
        )
        self.reservation_router.renew = self._renew_reservation
        self.retries: dict[str, Budget] = {}
        self.link_pools: dict[str, LinkPool] = {}
        self.response_memory = ResponseMemory()
        self.reserving: dict[ReservationFuture, _ForwardedRequest] = {}
        self.owner_waits: dict[asyncio.Future[None], _ForwardedRequest] = {}
        self.pool_shares: dict[str, dict[str, float]] = {}
        self.count_key: Callable[[str, int], None] = _ignore_key
        self.hears_coordinator: Callable[[], bool] = _is_always_in_contact
        self.lapsed_leases = LapsedLeases()
        self.request_ages = RequestAges()
        self.latencies = Latencies()
        self.stops_at: float | None = None
        self.late_from = float('inf')
        self.send_limits: dict[_ForwardedRequest, asyncio.Timeout] = {}
        self.retry_share = 0.0
        self.retry_burst = 1.0
        self.cold_burst = 1.0
        registry.listeners.append(self.refresh)

    def set_limits(
        self,
        retry_share: float,
        retry_slack: float,
        cold_burst: float,
    ) -> None:
        """Set the limits on retries and on requests to cold upstreams.

        :param retry_share: retries of this host for each request.
        :param retry_slack: retries of all hosts beyond that share.
        :param cold_burst: requests that a cold upstream may get at once.
        """
        burst = (
            retry_slack * RETRY_SLACK_SHARE / len(self.reservation_router.hosts)
        )
        self.retry_share = retry_share
        self.retry_burst = min(max(burst, 1.0), MAX_RETRY_BURST)
        self.cold_burst = cold_burst
        for budget in self.retries.values():
            budget.share = retry_share
            budget.burst = self.retry_burst
        for dispatcher in self.local_dispatch.dispatchers.values():
            dispatcher.cold_burst = cold_burst

    def owner_map(self, pool: str) -> OwnerMap:
        """Return the owners of the keys of a pool."""
        return self.owners.setdefault(pool, OwnerMap())

    def recheck_queued_requests(self, pool: str) -> None:
        """Recheck queued requests after a change of owners.

        Requests that wait for an owner continue; those queued for a former
        owner are queued anew.
        """
        owners = self.owner_map(pool)
        for owner_found, job in list(self.owner_waits.items()):
            if job.pool == pool and not owner_found.done():
                if owners.find(job.key).owner is not None:
                    owner_found.set_result(None)
        for future, job in list(self.reserving.items()):
            if job.pool == pool and not future.done():
                if owners.find(job.key).owner != job.owner:
                    future.set_exception(QueuedOwnerMovedError(pool))

    def refresh(self, changes: Changes) -> None:
        """Apply changes of the registry to the dispatchers."""
        directory = self.registry.directory
        if directory is None:
            return
        now = loop_clock()
        if changes.is_whole:
            for plan in directory.pools.values():
                self._refresh_pool(now, plan)
        else:
            for ref in changes.upstreams:
                self._refresh_upstream(now, ref)
        self.local_dispatch.assign_queued()

    def _refresh_pool(self, now: float, plan: PoolPlan) -> None:
        dispatcher = self.local_dispatch.dispatchers.get(plan.name)
        if dispatcher is None:
            dispatcher = Dispatcher(
                plan, self.rng, self.cold_burst, self.notices.rate_limits
            )
            dispatcher.rate_share = self._make_rate_share(plan)
            dispatcher.may_use_cold = self.reservation_router.knows_hosts
            self.local_dispatch.dispatchers[plan.name] = dispatcher
            self.retries[plan.name] = Budget(
                self.retry_share,
                self.retry_burst,
                self.retry_burst,
            )
        dispatcher.plan = plan
        dispatcher.set_upstreams(
            now,
            self.registry.callable_upstreams(plan.name).values(),
            self.registry.usable_upstreams(plan.name),
            self.registry.cold_until,
        )

    def _make_rate_share(
        self, plan: PoolPlan
    ) -> Callable[[Incarnation], float]:
        router = self.reservation_router
        return lambda ref: router.rate_share(
            plan.name, ref if plan.is_keyed else None
        )

    def _refresh_upstream(self, now: float, ref: Incarnation) -> None:
        entry = self.registry.find_callable(ref)
        has_left = self.notices.facts_of(ref).is_leaving and (
            ref not in self.registry.leaving_until
        )
        if entry is None or has_left:
            self.notices.forget(ref)
        for pool, dispatcher in self.local_dispatch.dispatchers.items():
            if entry is None or entry.pool != pool:
                dispatcher.remove_upstream(ref)
            else:
                dispatcher.put_upstream(
                    now,
                    entry,
                    is_usable=self.registry.is_usable(entry),
                    cold_until=self.registry.cold_until.get(ref, 0.0),
                )

    async def run(self) -> None:
        """Check queued requests periodically while there are any."""
        dispatch = self.local_dispatch
        while True:
            await dispatch.has_queued.wait()
            dispatch.has_queued.clear()
            while dispatch.decision_callbacks:
                await asyncio.sleep(QUEUE_CHECK_PERIOD_S)
                dispatch.assign_queued()
                dispatch.send_heartbeat()

    def close_idle_links(self) -> None:
        """Close upstream connections that are no longer of use."""
        now = loop_clock()
        self._close_unused_links()
        for pool in self.link_pools.values():
            pool.close_expired(now)

    def is_safe(self, request: IncomingRequest) -> bool:
        """Return whether the route of a request allows it to run repeatedly.

        Such requests of one caller may run concurrently.
        """
        directory = self.registry.directory
        head = self.codec.read_head(request)
        route = directory.match(head.host, head.path) if directory else None
        return route is not None and route.repeat is Repeat.IDEMPOTENT

    async def serve(self, request: IncomingRequest) -> Reply:
        """Forward a request and return its reply."""
        head = self.codec.read_head(request)
        job: _ForwardedRequest | None = None
        try:
            job = self._admit(request, head)
            return await self._serve(job)
        except _RefusedError as refusal:
            self._log_refusal(request, head, job, refusal)
            return _refusal_reply(refusal)

    def _log_refusal(
        self,
        request: IncomingRequest,
        head: RequestHead,
        job: _ForwardedRequest | None,
        refusal: _RefusedError,
    ) -> None:
        took_s = loop_clock() - request.received_at
        directory = self.registry.directory
        self.log.emit(
            Event.HOST_REFUSED,
            request=head.request_id.decode('latin-1'),
            status=refusal.status,
            reason=refusal.reason,
            after_s=refusal.after_s,
            waited_s=round(took_s, 4),
            version=directory.version if directory else None,
            pool=job.pool if job else None,
            key=head.key,
            upstream=job.owner.text() if job and job.owner else None,
            sends=job.possible_runs if job else 0,
            age_s=round(job.age_s, 3) if job else 0.0,
            shortage=asdict(job.shortage) if job and job.shortage else None,
        )
        self.latencies.record('', str(refusal.status), took_s)

    def prepare_stop(self, stops_at: float, late_from: float) -> None:
        """Refuse requests that may not be answered before the process ends.

        They have not run, and other hosts still serve their callers.

        :param stops_at: when the process ends, on the clock of the loop.
        :param late_from: when callers no longer connect to this host.
        """
        self.stops_at = stops_at
        self.late_from = late_from
        for job, limit in self.send_limits.items():
            limit.reschedule(self._send_by(job))

    def _send_by(self, job: _ForwardedRequest) -> float | None:
        """Return when a request is refused unless it was sent, if ever."""
        if self.stops_at is None or job.deadline <= self.stops_at:
            return None
        answer_s = max(job.route.latency_objective_s, MIN_ANSWER_TIME_S)
        return self.stops_at - answer_s

    def _is_too_late(self, job: _ForwardedRequest) -> bool:
        """Return whether a request came too late to be surely answered."""
        if self.stops_at is None or job.request.received_at < self.late_from:
            return False
        return job.deadline > self.stops_at

    def _make_stop_refusal(self, job: _ForwardedRequest) -> _RefusedError:
        after_s = RETRY_AFTER_STOPPING_S * (1 + self.rng.random())
        return self._make_refusal(job, 'stopping', after_s)

    async def _serve(self, job: _ForwardedRequest) -> Reply:
        self.retries[job.pool].earn()
        while True:
            reservation = await self._reserve_in_time(job)
            job.assigned_at = loop_clock()
            result = AttemptResult(EndKind.OTHER)
            try:
                reply, result = await self._send(job, reservation.upstream)
            finally:
                reservation.release(result)
            if reply is not None:
                self._log_delivery(job, reservation, reply)
                return reply
            if not job.possible_runs:
                self._check_pauses(job)
            self._check_retry(job)
            if job.is_keyed:
                await asyncio.sleep(KEYED_RETRY_DELAY_S)
            else:
                job.tried |= {reservation.upstream}

    def _log_delivery(
        self,
        job: _ForwardedRequest,
        reservation: Reservation,
        reply: Reply,
    ) -> None:
        took_s = loop_clock() - job.request.received_at
        self.latencies.record(job.pool, str(reply.status), took_s)
        self.log.emit(
            Event.REQUEST_DELIVERED,
            request=job.head.request_id.decode('latin-1'),
            version=job.config_version,
            route=job.route.name,
            upstream=reservation.upstream.text(),
            placed_by=reservation.dispatched_by,
            sends=job.possible_runs,
            placed_s=round(job.assigned_at - job.request.received_at, 4),
            took_s=round(took_s, 4),
            status=reply.status,
        )

    def _admit(
        self,
        request: IncomingRequest,
        head: RequestHead,
    ) -> _ForwardedRequest:
        directory = self.registry.directory
        if directory is None:
            raise _RefusedError(503, 'no-configuration', RETRY_AFTER_UNREADY_S)
        route = directory.match(head.host, head.path)
        if route is None:
            raise _RefusedError(404, f'no-route in {directory.version}')
        pool = self._choose_pool(route)
        plan = directory.pools.get(pool)
        if plan is None:
            raise _RefusedError(503, f'no-pool {pool}', RETRY_AFTER_UNREADY_S)
        if plan.is_keyed:
            if head.key is None:
                raise _RefusedError(400, 'no-key')
            self.count_key(pool, head.key)
        job = _ForwardedRequest(request, head, route, pool, plan.is_keyed)
        job.config_version = directory.version
        job.age_s = self.request_ages.find(route.name, head.timeout_s)
        if self._is_too_late(job):
            raise self._make_stop_refusal(job)
        return job

    def _choose_pool(self, route: RoutePlan) -> str:
        """Choose the destination that is furthest below its share."""
        if len(route.destinations) == 1:
            return route.destinations[0].pool
        pool_shares = self.pool_shares.setdefault(route.name, {})
        total = sum(destination.weight for destination in route.destinations)
        if set(pool_shares) != {
            destination.pool for destination in route.destinations
        }:
            pool_shares.clear()
            # A random start keeps hosts from choosing in the same order.
            shift = self.rng.random()
            for destination in route.destinations:
                pool_shares[destination.pool] = (
                    shift * destination.weight / total
                )
        for destination in route.destinations:
            pool_shares[destination.pool] += destination.weight / (total or 1)
        chosen = max(pool_shares, key=pool_shares.__getitem__)
        pool_shares[chosen] -= 1
        return chosen

    async def _reserve_in_time(self, job: _ForwardedRequest) -> Reservation:
        """Wait for a reservation, unless this host stops before an answer.

        :raises _RefusedError: when there is none in time.
        """
        send_by = self._send_by(job)
        if send_by is not None and loop_clock() >= send_by:
            raise self._make_stop_refusal(job)
        try:
            async with asyncio.timeout_at(send_by) as limit:
                self.send_limits[job] = limit
                return await self._reserve(job)
        except TimeoutError:
            raise self._make_stop_refusal(job) from None
        finally:
            self.send_limits.pop(job, None)

    async def _reserve(self, job: _ForwardedRequest) -> Reservation:
        """Wait for a reservation at an upstream.

        :raises _RefusedError: when there is none before the deadline.
        """
        while True:
            if loop_clock() + MIN_TIME_LEFT_S >= job.deadline:
                raise self._make_refusal(job, 'deadline', RETRY_AFTER_UNREADY_S)
            if job.is_keyed:
                job.owner = await self._find_owner(job)
            self._check_pauses(job)
            try:
                return await self._request_reservation(job)
            except QueuedOwnerMovedError:
                continue
            except NoCapacityError as refusal:
                job.shortage = refusal.shortage
                raise self._make_refusal(
                    job,
                    'no-room',
                    refusal.after_s,
                ) from None

    def _check_pauses(self, job: _ForwardedRequest) -> None:
        """Refuse a request if no upstream wants any from this host now.

        Retry-After varies, so that callers do not return at the same time.

        :raises _RefusedError: when there is none.
        """
        now = loop_clock()
        job.avoided = self.notices.paused(now)
        if not job.avoided:
            return
        usable = (
            {job.owner}
            if job.owner
            else set(self.registry.usable_upstreams(job.pool))
        )
        if usable and usable <= job.avoided:
            left_s = min(self.notices.pause_left_s(now, ref) for ref in usable)
            after_s = left_s * (1 + self.rng.random() / 2)
            raise self._make_refusal(job, 'paused', after_s)

    async def _request_reservation(self, job: _ForwardedRequest) -> Reservation:
        future: ReservationFuture = asyncio.get_running_loop().create_future()
        job.reservation = future
        self.reserving[future] = job
        try:
            return await self.reservation_router.reserve(
                job.pool,
                job.make_queued_request(self.zone),
                future,
            )
        finally:
            del self.reserving[job.reservation]

    def _renew_reservation(
        self, failed: ReservationFuture
    ) -> ReservationFuture:
        """Return the future of a reservation that is made anew.

        A change of the owner is reported to the future that is waited for.
        """
        future: ReservationFuture = asyncio.get_running_loop().create_future()
        job = self.reserving.pop(failed)
        job.reservation = future
        self.reserving[future] = job
        return future

    async def _find_owner(self, job: _ForwardedRequest) -> Incarnation:
        """Wait until the key has an owner.

        :raises _RefusedError: when it has none for too long or is not
            expected to have one soon.
        """
        owners = self.owner_map(job.pool)
        key_range = owners.find(job.key)
        if key_range.owner is not None:
            self._check_lapse(job)
            return key_range.owner
        expected_s = key_range.expected_at - lease_clock()
        if expected_s > MAX_EXPECTED_OWNER_WAIT_S:
            raise self._make_refusal(job, 'owner-lost', expected_s)
        owner_found = asyncio.get_running_loop().create_future()
        self.owner_waits[owner_found] = job
        wait_s = min(
            OWNER_WAIT_S,
            job.deadline - MIN_TIME_LEFT_S - loop_clock(),
        )
        try:
            async with asyncio.timeout(wait_s):
                await owner_found
        except TimeoutError:
            raise self._make_refusal(
                job,
                'no-owner',
                OWNER_LOST_RETRY_S,
            ) from None
        finally:
            del self.owner_waits[owner_found]
        return await self._find_owner(job)

    def _check_lapse(self, job: _ForwardedRequest) -> None:
        """Refuse a request if the leases of its pool have lapsed.

        Retry-After varies, so that callers do not return at the same time.

        :raises _RefusedError: when they have.
        """
        after_s = self.lapsed_leases.find_retry_after(loop_clock(), job.pool)
        if after_s is not None:
            raise self._make_refusal(
                job, 'leases-lapsed', after_s * (1 + self.rng.random())
            )

    def _make_refusal(
        self,
        job: _ForwardedRequest,
        reason: str,
        after_s: float,
    ) -> _RefusedError:
        """Return a 504 if the request may have run, and a 503 otherwise."""
        if job.possible_runs:
            return _RefusedError(504, f'{reason} after {job.last_failure}')
        return _RefusedError(503, reason, after_s)

    async def _send(
        self,
        job: _ForwardedRequest,
        upstream: Incarnation,
    ) -> tuple[Reply | None, AttemptResult]:
        """Make one attempt; without a reply, a retry may be possible."""
        entry = self._entry_of(job.pool, upstream)
        if entry is None or self.notices.pause_left_s(loop_clock(), upstream):
            job.last_failure = 'unknown or paused upstream'
            return None, AttemptResult(EndKind.OTHER)
        link_pool = self.link_pools.get(entry.address)
        if link_pool is None:
            link_pool = LinkPool(entry.address, memory=self.response_memory)
            self.link_pools[entry.address] = link_pool
        started = loop_clock()
        left_s = job.deadline - started
        request_id = job.head.request_id
        payload = self.codec.encode(job.request, entry, left_s)
        job.possible_arrivals += 1
        try:
            answer = await link_pool.exchange(
                payload,
                left_s + ANSWER_GRACE_S,
                lambda response: self.codec.is_answer_to(response, request_id),
                _max_idle_s(job.route.repeat),
                job.carriers,
            )
        except LinkError as error:
            waited_s = loop_clock() - started
            return None, self._record_failure(job, entry, error, waited_s)
        return self._process_answer(job, entry, answer, loop_clock() - started)

    def _entry_of(
        self,
        pool: str,
        upstream: Incarnation,
    ) -> UpstreamEntry | None:
        dispatcher = self.local_dispatch.dispatchers.get(pool)
        state = dispatcher.upstreams.get(upstream) if dispatcher else None
        return state.entry if state and state.is_usable else None

    def _record_failure(
        self,
        job: _ForwardedRequest,
        entry: UpstreamEntry,
        error: LinkError,
        waited_s: float,
    ) -> AttemptResult:
        job.last_failure = error.reason
        is_late = loop_clock() >= job.deadline
        self.log.emit(
            Event.SEND_FAILED,
            request=job.head.request_id.decode('latin-1'),
            upstream=entry.ref.text(),
            reason=error.reason,
            was_sent=error.was_sent,
        )
        if error.was_sent:
            job.possible_runs += 1
        else:
            job.possible_arrivals -= 1
        if is_late and job.possible_runs:
            job.is_expired = True
        return AttemptResult(
            EndKind.OTHER if is_late else EndKind.FAILED,
            latency_s=waited_s if error.was_sent else 0.0,
            is_alive=error.is_alive,
        )

    def _process_answer(
        self,
        job: _ForwardedRequest,
        entry: UpstreamEntry,
        answer: HttpResponse,
        latency_s: float,
    ) -> tuple[Reply | None, AttemptResult]:
        facts = self.codec.decode_facts(answer)
        self._record_facts(job, entry.ref, facts)
        if facts.is_not_run:
            job.last_failure = f'not run, {answer.status}'
            self.log.emit(
                Event.SEND_REJECTED,
                request=job.head.request_id.decode('latin-1'),
                upstream=entry.ref.text(),
                status=answer.status,
                load=facts.load,
            )
            if facts.is_misdirected and job.is_keyed:
                self._record_lapse(job.pool, entry.ref)
            is_shed = not facts.is_misdirected
            kind = EndKind.SHED if is_shed else EndKind.OTHER
            return None, _make_result(kind, latency_s, facts)
        job.possible_runs += 1
        self.lapsed_leases.record_run(job.pool)
        reply: Reply | None = None
        kind = EndKind.ANSWERED
        if not facts.is_intact:
            job.last_failure = 'damaged answer'
            kind = EndKind.FAILED
        elif answer.status >= 500 and self._may_retry(job):
            job.last_failure = f'status {answer.status}'
            kind = EndKind.FAILED
        else:
            reply = Reply(answer.status, answer.headers, answer.body)
            if answer.status >= 500:
                kind = EndKind.FAILED
        return reply, _make_result(kind, latency_s, facts)

    def _record_lapse(self, pool: str, owner: Incarnation) -> None:
        if self.hears_coordinator():
            return
        if self.lapsed_leases.record_refusal(loop_clock(), pool, owner):
            self.log.emit(Event.LEASES_LAPSED, pool=pool, upstream=owner.text())

    def _record_cold(self, ref: Incarnation, cold_for_s: float) -> None:
        self.registry.record_cold(loop_clock(), ref, cold_for_s)

    def _record_facts(
        self, job: _ForwardedRequest, ref: Incarnation, facts: AnswerFacts
    ) -> None:
        """Record what an answer reports on its upstream."""
        if facts.cold_for_s:
            self._record_cold(ref, facts.cold_for_s)
        request_id = job.head.request_id.decode('latin-1')
        now = loop_clock()
        rate_limit = facts.rate_limit
        if rate_limit is None:
            rate_limit = self.notices.facts_of(ref).rate_limit
        if facts.rate_limit is not None or facts.is_leaving:
            notice = Notice(Facts(rate_limit, facts.is_leaving), now)
            self.record_notices([(ref, notice)], 'answer', request_id)
        if facts.pause_s:
            self.notices.pause(now, ref, facts.pause_s)
            self.log.emit(
                Event.UPSTREAM_PAUSED,
                request=request_id,
                upstream=ref.text(),
                asked_s=facts.pause_s,
                pause_s=round(self.notices.pause_left_s(now, ref), 3),
            )

    def record_notices(
        self,
        notices: Iterable[tuple[Incarnation, Notice]],
        source: str,
        request_id: str | None = None,
    ) -> None:
        """Record what upstreams reported to this host or another one.

        :param source: address of the other host, or ``answer``.
        """
        for ref, notice in notices:
            previous = self.notices.facts_of(ref)
            if not self.notices.record(ref, notice):
                continue
            known = self.notices.facts_of(ref)
            self.log.emit(
                Event.NOTICE_CHANGED,
                upstream=ref.text(),
                rate_limit=_limit_or_none(known),
                previous=_limit_or_none(previous),
                is_leaving=known.is_leaving,
                source=source,
                age_s=round(loop_clock() - notice.observed_at, 4),
                request=request_id,
            )
            if known.is_leaving:
                self.registry.record_leaving(loop_clock(), ref)

    def _may_retry(self, job: _ForwardedRequest) -> bool:
        if job.route.repeat is Repeat.ONCE:
            return False
        if job.possible_runs >= job.route.max_attempts:
            return False
        return self.retries[job.pool].tokens >= 1

    def _check_retry(self, job: _ForwardedRequest) -> None:
        """Check whether a retry is allowed.

        :raises _RefusedError: when it is not.
        """
        if job.is_expired:
            raise _RefusedError(504, 'no answer in time')
        if job.possible_runs and job.route.repeat is Repeat.ONCE:
            raise _RefusedError(502, job.last_failure)
        if job.possible_runs >= job.route.max_attempts:
            raise _RefusedError(502, job.last_failure)
        if job.possible_arrivals and not self.retries[job.pool].spend():
            status = 502 if job.possible_runs else 503
            raise _RefusedError(
                status,
                f'retry budget, {job.last_failure}',
                NO_BUDGET_RETRY_S,
            )

    def _close_unused_links(self) -> None:
        addresses = {
            upstream.entry.address
            for dispatcher in self.local_dispatch.dispatchers.values()
            for upstream in dispatcher.upstreams.values()
        }
        for address in list(self.link_pools):
            if address not in addresses:
                self.link_pools.pop(address).close()


def _limit_or_none(facts: Facts) -> float | None:
    return None if facts.rate_limit == NO_LIMIT else facts.rate_limit


def _max_idle_s(repeat: Repeat) -> float:
    return MAX_IDLE_ONCE_S if repeat is Repeat.ONCE else UNLIMITED_IDLE_S


def _make_result(
    kind: EndKind,
    latency_s: float,
    facts: AnswerFacts,
) -> AttemptResult:
    return AttemptResult(
        kind,
        latency_s,
        facts.load,
        facts.cold_for_s,
        slowdown=facts.slowdown,
    )


def _refusal_reply(refusal: _RefusedError) -> Reply:
    headers = []
    if refusal.status == 503:
        after_s = refusal.after_s or RETRY_AFTER_UNREADY_S
        headers.append((b'retry-after', b'%.3f' % after_s))
    return Reply(refusal.status, headers)


def _ignore_key(pool: str, key: int) -> None:
    """Ignore the key."""


def _is_always_in_contact() -> bool:
    return True
