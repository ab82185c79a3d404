"""Forwards requests of callers to upstreams."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from oriolearch.adapters.caller_links import IncomingRequest, Reply
from oriolearch.adapters.metrics import Latencies
from oriolearch.adapters.upstream_links import (
    ANY_IDLE_S,
    Answer,
    LinkError,
    LinkPool,
)
from oriolearch.core.directory import (
    Incarnation,
    Repeat,
    RoutePlan,
    UpstreamEntry,
)
from oriolearch.core.dispatching import Dispatcher, Waiter
from oriolearch.core.keyranges import OwnerMap
from oriolearch.core.retries import Budget
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.eventlog import Event, EventLog
from oriolearch.placing import (
    Desk,
    EndKind,
    Ending,
    Outcome,
    Place,
    PlaceMovedError,
    PlaceRefusedError,
    Places,
)
from oriolearch.ports import RequestHead, Verdict
from oriolearch.registry import Registry

CALLER_MARGIN_S = 0.02  # an answer needs some time to reach the caller
ANSWER_GRACE_S = 0.1  # an upstream's own refusal at the deadline is awaited
RETRY_AFTER_UNREADY_S = 0.5  # a starting host usually has its configuration
RECHECK_S = 0.03  # waiting requests are looked at this often
OWNER_RETRY_S = 0.05  # after an upstream that does not hold the key
OWNER_WAIT_S = 0.8  # a moving key has its new owner within a few calls
LONGEST_OWNER_WAIT_S = 0.5  # until a lost owner is replaced
OWNER_LOST_RETRY_S = 1.0  # a lost owner is replaced within some seconds
NO_BUDGET_RETRY_S = 0.2  # second sends are earned by then
RETRY_BURST = 3.0  # second sends that a host may save up
# Share of the second sends allowed beside those earned that all hosts
# together may save up. The rest covers hosts that start with a full budget.
RETRY_SLACK_SHARE = 0.6
# An upstream may forget an idle connection without a sign. What is sent on it
# is reset, and a request that may run only once cannot be sent again.
LONGEST_IDLE_ONCE_S = 0.5
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
    :ivar arrivals: upstreams that it may have arrived at.
    :ivar is_over: its time is over.
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
        patience_s = min(head.timeout_s - CALLER_MARGIN_S, route.timeout_s)
        self.deadline = request.received_at + patience_s
        self.sends = 0
        self.arrivals = 0
        self.last_problem = ''
        self.is_over = False
        self.version = 0
        self.placed_at = 0.0
        self.is_keyed = is_keyed
        self.key = head.key or 0
        self.owner: Incarnation | None = None
        self.tried: frozenset[Incarnation] = frozenset()

    def waiter(self, zone: str) -> Waiter:
        """Give what asks for a place."""
        return Waiter(
            zone=zone,
            priority=self.route.priority,
            aim_at=self.request.received_at + self.route.aim_s,
            useful_until=self.deadline,
            owner=self.owner,
            is_upload=self.route.is_upload,
            tried=self.tried,
        )


class Forwarder:
    """Serves the requests of one host.

    :ivar count_key: called with each key that is asked for, and its pool.
    """

    def __init__(
        self,
        zone: str,
        address: str,
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
        self.desk = Desk()
        self.desk.note_cold = self._note_cold
        self.places = Places(address, self.desk)
        self.retries: dict[str, Budget] = {}
        self.links: dict[str, LinkPool] = {}
        self.asking: dict[Outcome, _Job] = {}
        self.owner_waits: dict[asyncio.Future[None], _Job] = {}
        self.served: dict[str, dict[str, float]] = {}
        self.count_key: Callable[[str, int], None] = _ignore
        self.latencies = Latencies()
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
        """Set limits that the platform's bounds give.

        :param retry_share: second sends of this host for each request.
        :param retry_slack: second sends of all hosts beside these.
        :param cold_burst: requests that a cold upstream may get at once.
        """
        saved = retry_slack * RETRY_SLACK_SHARE / len(self.places.hosts)
        self.retry_share = retry_share
        self.retry_burst = min(max(saved, 1.0), RETRY_BURST)
        self.cold_burst = cold_burst
        for budget in self.retries.values():
            budget.share = retry_share
            budget.burst = self.retry_burst
        for dispatcher in self.desk.dispatchers.values():
            dispatcher.cold_burst = cold_burst

    def owner_map(self, pool: str) -> OwnerMap:
        """Give the owners of the keys of a pool."""
        return self.owners.setdefault(pool, OwnerMap())

    def works(self) -> dict[str, dict[str, float]]:
        """Give the seconds that requests take at upstreams in our charge."""
        return {
            pool: {
                lane.entry.ref.text(): round(lane.work_s, 4)
                for lane in dispatcher.lanes.values()
                if lane.heard_at
            }
            for pool, dispatcher in self.desk.dispatchers.items()
            if dispatcher.plan.is_keyed
        }

    def owners_changed(self, pool: str) -> None:
        """Look again at the requests that wait for or at an owner."""
        owners = self.owner_map(pool)
        for woken, job in list(self.owner_waits.items()):
            if job.pool == pool and not woken.done():
                if owners.find(job.key).owner is not None:
                    woken.set_result(None)
        for outcome, job in list(self.asking.items()):
            if job.pool == pool and not outcome.done():
                if owners.find(job.key).owner != job.owner:
                    outcome.set_exception(PlaceMovedError(pool))

    def refresh(self) -> None:
        """Take changes of the registry."""
        directory = self.registry.directory
        if directory is None:
            return
        now = loop_clock()
        for plan in directory.pools.values():
            dispatcher = self.desk.dispatchers.get(plan.name)
            if dispatcher is None:
                dispatcher = Dispatcher(plan, self.rng, self.cold_burst)
                self.desk.dispatchers[plan.name] = dispatcher
                self.retries[plan.name] = Budget(
                    self.retry_share,
                    self.retry_burst,
                    self.retry_burst,
                )
            dispatcher.plan = plan
            dispatcher.set_upstreams(
                now,
                self.registry.known(plan.name).values(),
                self.registry.usable(plan.name),
                self.registry.cold_until,
            )
        self._forget_links()
        self.desk.wake()

    async def run(self) -> None:
        """Look at waiting requests from time to time."""
        while True:
            await asyncio.sleep(RECHECK_S)
            self.desk.wake()
            self.desk.beat()
            self.places.check()

    def sweep(self) -> None:
        """Close upstream connections that were idle for too long."""
        now = loop_clock()
        for pool in self.links.values():
            pool.drop_idle(now)

    async def serve(self, request: IncomingRequest) -> Reply:
        """Answer a request."""
        head = self.wire.read_head(request)
        job: _Job | None = None
        try:
            job = self._make_job(request, head)
            return await self._serve(job)
        except _RefusedError as refusal:
            self._log_refusal(request, head, job, refusal)
            return _refusal_reply(refusal)

    def _log_refusal(
        self,
        request: IncomingRequest,
        head: RequestHead,
        job: _Job | None,
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
            sends=job.sends if job else 0,
        )
        self.latencies.record('', str(refusal.status), took_s)

    async def _serve(self, job: _Job) -> Reply:
        self.retries[job.pool].earn()
        while True:
            place = await self._acquire(job)
            job.placed_at = loop_clock()
            ending = Ending(EndKind.OTHER)
            try:
                reply, ending = await self._send(job, place.upstream)
            finally:
                place.end(ending)
            if reply is not None:
                self._log_delivery(job, place, reply)
                return reply
            self._check_resend(job)
            if job.is_keyed:
                await asyncio.sleep(OWNER_RETRY_S)
            else:
                job.tried |= {place.upstream}

    def _log_delivery(self, job: _Job, place: Place, reply: Reply) -> None:
        took_s = loop_clock() - job.request.received_at
        self.latencies.record(job.pool, str(reply.status), took_s)
        self.log.emit(
            Event.REQUEST_DELIVERED,
            request=job.head.request_id.decode('latin-1'),
            version=job.version,
            route=job.route.name,
            upstream=place.upstream.text(),
            placed_by=place.placed_by,
            sends=job.sends,
            placed_s=round(job.placed_at - job.request.received_at, 4),
            took_s=round(took_s, 4),
            status=reply.status,
        )

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
        job = _Job(request, head, route, pool, plan.is_keyed)
        job.version = directory.version
        return job

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

    async def _acquire(self, job: _Job) -> Place:
        """Wait for a place at an upstream.

        :raises _RefusedError: when there is none in time.
        """
        while True:
            if loop_clock() + FEWEST_LEFT_S >= job.deadline:
                raise self._given_up(job, 'deadline', RETRY_AFTER_UNREADY_S)
            if job.is_keyed:
                job.owner = await self._find_owner(job)
            try:
                return await self._ask(job)
            except PlaceMovedError:
                continue
            except PlaceRefusedError as refusal:
                raise self._given_up(job, 'no-room', refusal.after_s) from None

    async def _ask(self, job: _Job) -> Place:
        outcome: Outcome = asyncio.get_running_loop().create_future()
        self.asking[outcome] = job
        try:
            return await self.places.acquire(
                job.pool,
                job.waiter(self.zone),
                outcome,
            )
        finally:
            del self.asking[outcome]

    async def _find_owner(self, job: _Job) -> Incarnation:
        """Wait until the key has an owner.

        :raises _RefusedError: when it has none for too long.
        """
        owners = self.owner_map(job.pool)
        found = owners.find(job.key)
        if found.owner is not None:
            return found.owner
        expected_s = found.expected_at - lease_clock()
        if expected_s > LONGEST_OWNER_WAIT_S:
            raise self._given_up(job, 'owner-lost', expected_s)
        woken = asyncio.get_running_loop().create_future()
        self.owner_waits[woken] = job
        wait_s = min(OWNER_WAIT_S, job.deadline - FEWEST_LEFT_S - loop_clock())
        try:
            async with asyncio.timeout(wait_s):
                await woken
        except TimeoutError:
            raise self._given_up(
                job,
                'no-owner',
                OWNER_LOST_RETRY_S,
            ) from None
        finally:
            del self.owner_waits[woken]
        return await self._find_owner(job)

    def _given_up(
        self,
        job: _Job,
        reason: str,
        after_s: float,
    ) -> _RefusedError:
        """Give the refusal that says what is known of the request."""
        if job.sends:
            return _RefusedError(504, f'{reason} after {job.last_problem}')
        return _RefusedError(503, reason, after_s)

    async def _send(
        self,
        job: _Job,
        upstream: Incarnation,
    ) -> tuple[Reply | None, Ending]:
        """Send a request; no reply means that another send may be tried."""
        entry = self._entry_of(job.pool, upstream)
        if entry is None:
            job.last_problem = 'unknown upstream'
            return None, Ending(EndKind.OTHER)
        links = self.links.get(entry.address)
        if links is None:
            links = LinkPool(entry.address)
            self.links[entry.address] = links
        started = loop_clock()
        left_s = job.deadline - started
        request_id = job.head.request_id
        payload = self.wire.encode(job.request, entry, left_s)
        job.arrivals += 1
        try:
            answer = await links.exchange(
                payload,
                left_s + ANSWER_GRACE_S,
                lambda found: self.wire.belongs(found, request_id),
                _longest_idle_s(job.route.repeat),
            )
        except LinkError as error:
            return None, self._take_failure(job, entry, error)
        return self._take_answer(job, entry, answer, loop_clock() - started)

    def _entry_of(
        self,
        pool: str,
        upstream: Incarnation,
    ) -> UpstreamEntry | None:
        dispatcher = self.desk.dispatchers.get(pool)
        lane = dispatcher.lanes.get(upstream) if dispatcher else None
        return lane.entry if lane and lane.is_usable else None

    def _take_failure(
        self,
        job: _Job,
        entry: UpstreamEntry,
        error: LinkError,
    ) -> Ending:
        job.last_problem = error.reason
        is_late = loop_clock() >= job.deadline
        self.log.emit(
            Event.SEND_FAILED,
            request=job.head.request_id.decode('latin-1'),
            upstream=entry.ref.text(),
            reason=error.reason,
            was_sent=error.was_sent,
        )
        if error.was_sent:
            job.sends += 1
        else:
            job.arrivals -= 1
        if is_late and job.sends:
            job.is_over = True
        return Ending(EndKind.OTHER if is_late else EndKind.FAILED)

    def _take_answer(
        self,
        job: _Job,
        entry: UpstreamEntry,
        answer: Answer,
        took_s: float,
    ) -> tuple[Reply | None, Ending]:
        verdict = self.wire.judge(answer)
        if verdict.cold_for_s:
            self._note_cold(entry.ref, verdict.cold_for_s)
        if verdict.is_not_run:
            job.last_problem = f'not run, {answer.status}'
            self.log.emit(
                Event.SEND_REJECTED,
                request=job.head.request_id.decode('latin-1'),
                upstream=entry.ref.text(),
                status=answer.status,
                load=verdict.load,
            )
            is_shed = not verdict.is_misdirected
            kind = EndKind.SHED if is_shed else EndKind.OTHER
            return None, _ending(kind, took_s, verdict)
        job.sends += 1
        reply: Reply | None = None
        kind = EndKind.ANSWERED
        if not verdict.is_intact:
            job.last_problem = 'damaged answer'
            kind = EndKind.FAILED
        elif answer.status >= 500 and self._may_resend(job):
            job.last_problem = f'status {answer.status}'
            kind = EndKind.FAILED
        else:
            reply = Reply(answer.status, answer.headers, answer.body)
            if answer.status >= 500:
                kind = EndKind.FAILED
        return reply, _ending(kind, took_s, verdict)

    def _note_cold(self, ref: Incarnation, for_s: float) -> None:
        self.registry.note_cold(loop_clock(), ref, for_s)

    def _may_resend(self, job: _Job) -> bool:
        if job.route.repeat is Repeat.ONCE:
            return False
        if job.sends >= job.route.max_attempts:
            return False
        return self.retries[job.pool].tokens >= 1

    def _check_resend(self, job: _Job) -> None:
        """Allow another send.

        :raises _RefusedError: when there is to be none.
        """
        if job.is_over:
            raise _RefusedError(504, 'no answer in time')
        if job.sends and job.route.repeat is Repeat.ONCE:
            raise _RefusedError(502, job.last_problem)
        if job.sends >= job.route.max_attempts:
            raise _RefusedError(502, job.last_problem)
        if job.arrivals and not self.retries[job.pool].spend():
            status = 502 if job.sends else 503
            raise _RefusedError(
                status,
                f'retry budget, {job.last_problem}',
                NO_BUDGET_RETRY_S,
            )

    def _forget_links(self) -> None:
        addresses = {
            lane.entry.address
            for dispatcher in self.desk.dispatchers.values()
            for lane in dispatcher.lanes.values()
        }
        for address in list(self.links):
            if address not in addresses:
                self.links.pop(address).close()


def _longest_idle_s(repeat: Repeat) -> float:
    return LONGEST_IDLE_ONCE_S if repeat is Repeat.ONCE else ANY_IDLE_S


def _ending(kind: EndKind, took_s: float, verdict: Verdict) -> Ending:
    return Ending(kind, took_s, verdict.load, verdict.cold_for_s)


def _refusal_reply(refusal: _RefusedError) -> Reply:
    headers = []
    if refusal.status == 503:
        after_s = refusal.after_s or RETRY_AFTER_UNREADY_S
        headers.append((b'retry-after', b'%.3f' % after_s))
    return Reply(refusal.status, headers)


def _ignore(pool: str, key: int) -> None:
    """Count nothing."""
