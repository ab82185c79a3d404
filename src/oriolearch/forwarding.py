"""Forwards requests of callers to upstreams."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from oriolearch.adapters.caller_links import IncomingRequest, Reply
from oriolearch.adapters.upstream_links import (
    Answer,
    LinkError,
    LinkPool,
    LinkRefusedError,
)
from oriolearch.core.directory import (
    Repeat,
    RoutePlan,
    UpstreamEntry,
)
from oriolearch.core.dispatching import Dispatcher, Lane, Waiter
from oriolearch.core.keyranges import OwnerMap
from oriolearch.eventlog import Event, EventLog
from oriolearch.ports import RequestHead, Verdict
from oriolearch.registry import Registry

CALLER_MARGIN_S = 0.02  # an answer needs some time to reach the caller
ANSWER_GRACE_S = 0.1  # an upstream's own refusal at the deadline is awaited
RETRY_AFTER_UNREADY_S = 0.5  # a starting host usually has its configuration
RECHECK_S = 0.03  # waiting requests are looked at this often
OWNER_RETRY_S = 0.06  # a moving key has its new owner within a few calls
FEWEST_LEFT_S = 0.01  # with less time a request is not sent


class RequestWire(Protocol):
    """Translates requests and answers of a platform."""

    def read_head(self, request: IncomingRequest) -> RequestHead:
        """Read what decides how a request is handled."""

    def encode(
        self,
        request: IncomingRequest,
        entry: UpstreamEntry,
        left_s: float,
    ) -> bytes:
        """Give the bytes of a request for an upstream."""

    def belongs(self, answer: Answer, request_id: bytes) -> bool:
        """Tell whether an answer is to a request."""

    def judge(self, answer: Answer) -> Verdict:
        """Read what an answer says of the request and the upstream."""


class _RefusedError(Exception):
    """The router answers in place of an upstream."""

    def __init__(self, status: int, reason: str, after_s: float | None = None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.after_s = after_s


class _Job:
    """A request with what was done for it.

    :ivar sends: upstreams that it was sent to and that may have run it.
    """

    def __init__(
        self,
        request: IncomingRequest,
        head: RequestHead,
        route: RoutePlan,
        pool: str,
    ) -> None:
        self.request = request
        self.head = head
        self.route = route
        self.pool = pool
        patience_s = min(head.timeout_s - CALLER_MARGIN_S, route.timeout_s)
        self.deadline = request.received_at + patience_s
        self.sends = 0
        self.arrivals = 0
        self.last_problem = ''


class Forwarder:
    """Serves the requests of one host.

    :param notify: called with each key that is asked for, and its pool.
    """

    def __init__(
        self,
        zone: str,
        registry: Registry,
        wire: RequestWire,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.registry = registry
        self.wire = wire
        self.log = log
        self.rng = rng
        self.owners: dict[str, OwnerMap] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.links: dict[str, LinkPool] = {}
        self.wakers: dict[Waiter, asyncio.Future[None]] = {}
        self.served: dict[str, dict[str, float]] = {}
        self.count_key: Callable[[str, int], None] = _ignore
        self.retry_share = 0.0
        self.cold_rate = 0.0
        registry.listeners.append(self.refresh)

    def set_shares(self, retry_share: float, cold_rate: float) -> None:
        """Set this host's share of what all hosts may send."""
        self.retry_share = retry_share
        self.cold_rate = cold_rate
        for dispatcher in self.dispatchers.values():
            dispatcher.set_share(retry_share, cold_rate)

    def owner_map(self, pool: str) -> OwnerMap:
        """Give the owners of the keys of a pool."""
        return self.owners.setdefault(pool, OwnerMap())

    def refresh(self) -> None:
        """Take changes of the registry."""
        directory = self.registry.directory
        if directory is None:
            return
        now = _now()
        for plan in directory.pools.values():
            dispatcher = self.dispatchers.get(plan.name)
            if dispatcher is None:
                dispatcher = Dispatcher(
                    plan,
                    self.zone,
                    self.owner_map(plan.name),
                    self.rng,
                )
                dispatcher.set_share(self.retry_share, self.cold_rate)
                self.dispatchers[plan.name] = dispatcher
            dispatcher.plan = plan
            dispatcher.set_upstreams(
                now,
                self.registry.known(plan.name).values(),
                self.registry.usable(plan.name),
                self.registry.cold_until,
            )
        self._forget_links()
        self.wake()

    def wake(self) -> None:
        """Look at all waiting requests."""
        for dispatcher in self.dispatchers.values():
            self._grant(dispatcher)

    async def run(self) -> None:
        """Look at waiting requests and idle connections from time to time."""
        while True:
            await asyncio.sleep(RECHECK_S)
            if self.wakers:
                self.wake()

    def sweep(self) -> None:
        """Close upstream connections that were idle for too long."""
        now = _now()
        for pool in self.links.values():
            pool.drop_idle(now)

    async def serve(self, request: IncomingRequest) -> Reply:
        """Answer a request."""
        head = self.wire.read_head(request)
        try:
            return await self._serve(request, head)
        except _RefusedError as refusal:
            self.log.emit(
                Event.HOST_REFUSED,
                request=head.request_id.decode('latin-1'),
                status=refusal.status,
                reason=refusal.reason,
                after_s=refusal.after_s,
                waited_s=round(_now() - request.received_at, 4),
            )
            return _refusal_reply(refusal)

    async def _serve(
        self, request: IncomingRequest, head: RequestHead
    ) -> Reply:
        job = self._make_job(request, head)
        route = job.route
        dispatcher = self.dispatchers[job.pool]
        dispatcher.retries.earn()
        key = head.key if dispatcher.plan.is_keyed else None
        waiter = Waiter(
            priority=route.priority,
            arrived_at=request.received_at,
            useful_until=job.deadline,
            aim_at=request.received_at + route.aim_s,
            key=key,
            is_upload=route.is_upload,
        )
        while True:
            lane = await self._acquire(dispatcher, job, waiter)
            try:
                reply = await self._send(dispatcher, job, lane)
            finally:
                dispatcher.done(lane)
                self._grant(dispatcher)
            if reply is not None:
                return reply
            self._check_resend(dispatcher, job)
            waiter.place = None
            if key is None:
                waiter.tried.add(lane.entry.ref)
            else:
                await asyncio.sleep(OWNER_RETRY_S)

    def _make_job(self, request: IncomingRequest, head: RequestHead) -> _Job:
        directory = self.registry.directory
        if directory is None:
            raise _RefusedError(503, 'no-configuration', RETRY_AFTER_UNREADY_S)
        route = directory.match(head.host, head.path)
        if route is None:
            raise _RefusedError(404, f'no-route in {directory.version}')
        pool = self._pick_pool(route)
        plan = directory.pools.get(pool)
        if plan is None:
            raise _RefusedError(503, f'no-pool {pool}', RETRY_AFTER_UNREADY_S)
        if plan.is_keyed:
            if head.key is None:
                raise _RefusedError(400, 'no-key')
            self.count_key(pool, head.key)
        return _Job(request, head, route, pool)

    def _pick_pool(self, route: RoutePlan) -> str:
        """Take the destination that is furthest below its share."""
        if len(route.destinations) == 1:
            return route.destinations[0].pool
        served = self.served.setdefault(route.name, {})
        total = sum(found.weight for found in route.destinations)
        if set(served) != {found.pool for found in route.destinations}:
            served.clear()
            # A random start keeps the hosts from choosing alike.
            shift = self.rng.random()
            for found in route.destinations:
                served[found.pool] = shift * found.weight / total
        for found in route.destinations:
            served[found.pool] += found.weight / (total or 1)
        chosen = max(served, key=served.__getitem__)
        served[chosen] -= 1
        return chosen

    async def _acquire(
        self,
        dispatcher: Dispatcher,
        job: _Job,
        waiter: Waiter,
    ) -> Lane:
        """Wait for a place at an upstream."""
        now = _now()
        if now + FEWEST_LEFT_S >= job.deadline:
            raise self._given_up(job)
        dispatcher.submit(now, waiter)
        if waiter.place is None and waiter.refused_for is None:
            await self._wait(dispatcher, waiter)
        if waiter.place is not None:
            return waiter.place
        if job.sends:
            raise self._given_up(job)
        raise _RefusedError(503, 'no-room', waiter.refused_for)

    async def _wait(self, dispatcher: Dispatcher, waiter: Waiter) -> None:
        woken = asyncio.get_running_loop().create_future()
        self.wakers[waiter] = woken
        try:
            await woken
        except asyncio.CancelledError:
            if waiter.place is not None:
                dispatcher.done(waiter.place)
            raise
        finally:
            dispatcher.withdraw(waiter)
            del self.wakers[waiter]

    def _given_up(self, job: _Job) -> _RefusedError:
        if job.sends:
            return _RefusedError(504, f'deadline after {job.last_problem}')
        return _RefusedError(503, 'deadline', RETRY_AFTER_UNREADY_S)

    async def _send(
        self,
        dispatcher: Dispatcher,
        job: _Job,
        lane: Lane,
    ) -> Reply | None:
        """Send a request; ``None`` means that another send may be tried."""
        entry = lane.entry
        links = self.links.get(entry.address)
        if links is None:
            links = LinkPool(entry.address)
            self.links[entry.address] = links
        started = _now()
        left_s = job.deadline - started
        request_id = job.head.request_id
        payload = self.wire.encode(job.request, entry, left_s)
        job.arrivals += 1
        try:
            answer = await links.exchange(
                payload,
                left_s + ANSWER_GRACE_S,
                lambda found: self.wire.belongs(found, request_id),
            )
        except LinkError as error:
            self._take_failure(dispatcher, job, lane, error)
            return None
        return self._take_answer(dispatcher, job, lane, answer, started)

    def _take_failure(
        self,
        dispatcher: Dispatcher,
        job: _Job,
        lane: Lane,
        error: LinkError,
    ) -> None:
        now = _now()
        job.last_problem = error.reason
        is_late = now >= job.deadline
        if not is_late:
            dispatcher.failed(now, lane)
        if isinstance(error, LinkRefusedError):
            lane.paused_until = max(lane.paused_until, now + 0.2)
        self.log.emit(
            Event.SEND_FAILED,
            request=job.head.request_id.decode('latin-1'),
            upstream=lane.entry.ref.text(),
            reason=error.reason,
            was_sent=error.was_sent,
        )
        if error.was_sent:
            job.sends += 1
        else:
            job.arrivals -= 1
        if is_late and job.sends:
            raise _RefusedError(504, 'no answer in time')

    def _take_answer(
        self,
        dispatcher: Dispatcher,
        job: _Job,
        lane: Lane,
        answer: Answer,
        started: float,
    ) -> Reply | None:
        now = _now()
        verdict = self.wire.judge(answer)
        if verdict.load is not None:
            dispatcher.loaded(now, lane, verdict.load)
        if verdict.cold_for_s:
            self.registry.note_cold(now, lane.entry.ref, verdict.cold_for_s)
        if verdict.is_not_run:
            job.last_problem = f'not run, {answer.status}'
            if not verdict.is_misdirected:
                dispatcher.shed(now, lane)
            self.log.emit(
                Event.SEND_REJECTED,
                request=job.head.request_id.decode('latin-1'),
                upstream=lane.entry.ref.text(),
                status=answer.status,
                load=verdict.load,
            )
            return None
        job.sends += 1
        if not verdict.is_intact:
            job.last_problem = 'damaged answer'
            dispatcher.failed(now, lane)
            return None
        if answer.status >= 500:
            dispatcher.failed(now, lane)
            job.last_problem = f'status {answer.status}'
            if self._may_resend(dispatcher, job):
                return None
        else:
            dispatcher.answered(now, lane, now - started)
        return Reply(answer.status, answer.headers, answer.body)

    def _may_resend(self, dispatcher: Dispatcher, job: _Job) -> bool:
        if job.route.repeat is Repeat.ONCE:
            return False
        if job.sends >= job.route.max_attempts:
            return False
        return dispatcher.retries.tokens >= 1

    def _check_resend(self, dispatcher: Dispatcher, job: _Job) -> None:
        """Allow another send.

        :raises _RefusedError: when there is to be none.
        """
        if job.sends and job.route.repeat is Repeat.ONCE:
            raise _RefusedError(502, job.last_problem)
        if job.sends >= job.route.max_attempts:
            raise _RefusedError(502, job.last_problem)
        if not job.arrivals:
            return
        if not dispatcher.may_retry():
            status = 502 if job.sends else 503
            raise _RefusedError(
                status, f'retry budget, {job.last_problem}', 0.2
            )

    def _grant(self, dispatcher: Dispatcher) -> None:
        if not dispatcher.waiting:
            return
        for waiter in dispatcher.grant(_now()):
            woken = self.wakers.get(waiter)
            if woken is not None and not woken.done():
                woken.set_result(None)

    def _forget_links(self) -> None:
        addresses = {
            lane.entry.address
            for dispatcher in self.dispatchers.values()
            for lane in dispatcher.lanes.values()
        }
        for address in list(self.links):
            if address not in addresses:
                self.links.pop(address).close()


def _refusal_reply(refusal: _RefusedError) -> Reply:
    headers = []
    if refusal.status == 503:
        after_s = refusal.after_s or RETRY_AFTER_UNREADY_S
        headers.append((b'retry-after', b'%.3f' % after_s))
    return Reply(refusal.status, headers)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _ignore(pool: str, key: int) -> None:
    """Count nothing."""
