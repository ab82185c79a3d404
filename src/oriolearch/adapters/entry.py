"""The entry: takes requests of callers to upstreams and answers back."""

import random
import select
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from oriolearch.adapters.callers import (
    CallerLimits,
    CallerRequest,
    CallerServer,
)
from oriolearch.adapters.fields import (
    answer_fields,
    answer_length,
    request_fields,
)
from oriolearch.adapters.framing import PIECE_BYTES, FramingError
from oriolearch.adapters.problems import (
    RefusedError,
    problem,
    refused_by_policy,
)
from oriolearch.adapters.upstream import (
    ATTEMPT_HEADER,
    Answer,
    AnsweredEarlyError,
    AttemptError,
    Limits,
    Order,
    RunningAttempt,
    Upstreams,
    wait_any,
)
from oriolearch.core.errors import (
    BadPathError,
    MissingKeyError,
    NoRouteError,
    OriolearchError,
)
from oriolearch.core.model import (
    Document,
    Fencing,
    Pool,
    PoolKind,
    Route,
    shortened,
)
from oriolearch.core.policy import (
    Attempt,
    Deliver,
    Failure,
    PoolPolicy,
    Refuse,
    RequestFacts,
    Send,
    Ticket,
    Wait,
)
from oriolearch.core.routing import Router, extract_key, plain_path
from oriolearch.core.view import Owner, View

OWN_PREFIX = '/oriolearch/'
READY_PATH = '/oriolearch/ready'
TIMEOUT_HEADER = 'oriolearch-timeout-ms'
KEEP_BODY_BYTES = 4096  # a dropped answer up to this size is read for reuse
NOT_OWNER_STATUS = 421
HEDGE_CONNECT_S = 0.05  # meanwhile the first attempt's answer waits

Decision = Send | Wait | Refuse


class CallerGoneError(OriolearchError):
    """The caller closed its connection or stalled."""


class NotPermittedError(OriolearchError):
    """An order may not be sent to its owner any more; it was not sent."""


class OwnerMovedError(OriolearchError):
    """The owner of a key proved that it did not run the request."""


@dataclass(frozen=True, slots=True)
class ServerClock:
    """A reading of the monotonic clock of a server without fencing.

    :param reading: seconds by the server's clock.
    :param answered: own monotonic time at which the reading arrived.
    """

    reading: float
    answered: float

    def deadline(self, now: float, limit_s: float) -> float:
        """Give the server's time by which an order sent now must be over.

        It is never later than the limit by the server's own clock.
        """
        elapsed = max(now - self.answered, 0)
        return self.reading + shortened(elapsed) + shortened(limit_s)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the data path of a host.

    :param moved_wait_s: longest wait for the new owner of a key.
    :param moved_step_s: time after which an unchanged owner is asked again,
        because its grant may arrive later than the view.
    :param watch_period_s: how often callers and deadlines are checked.
    """

    zone: str
    host: str
    moved_wait_s: float = 2.0
    moved_step_s: float = 0.05
    watch_period_s: float = 0.05
    callers: CallerLimits = field(default_factory=CallerLimits)
    upstreams: Limits = field(default_factory=Limits)


class Published:
    """The current view; replaced as one reference."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.changed = threading.Condition()

    def publish(self, view: View) -> None:
        """Replace the view and wake the requests that wait for it."""
        self.view = view
        with self.changed:
            self.changed.notify_all()

    def wait_for_newer(self, seen: View, timeout_s: float) -> None:
        """Wait until the view is another one, or for the time given."""
        with self.changed:
            self.changed.wait_for(lambda: self.view is not seen, timeout_s)


class _Gate:
    """The policy of one pool with its lock and its waiting requests."""

    def __init__(self, policy: PoolPolicy) -> None:
        self.policy = policy
        self.lock = threading.Lock()
        self.waiting: dict[Ticket, threading.Event] = {}
        self.cold: Mapping[str, str] = {}
        self.group: Mapping[str, int] = {}
        self.hints: Mapping[str, Any] = {}

    def wake(self) -> None:
        """Wake the requests that have a decision now; the lock is held."""
        if self.waiting:
            for ticket in self.policy.take_ready():
                event = self.waiting.get(ticket)
                if event is not None:
                    event.set()


class _Exchange:
    """One request from its arrival until its answer is complete.

    :ivar is_limited: the deadline holds; that of an upload without one of
        its own begins when the body is sent.
    :ivar is_body_used: pieces of an upload were read and are gone.
    :ivar maybe_run: an attempt of an earlier ticket may have run.
    :ivar view: the view by which the running order was sent.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        pool: Pool,
        gate: _Gate,
        deadline: float,
    ) -> None:
        self.request = request
        self.route = route
        self.pool = pool
        self.gate = gate
        self.deadline = deadline
        self.key: str | None = None
        self.headers: dict[str, str] = {}
        self.is_limited = True
        self.request_id = ''
        self.idempotency: tuple[str, str] | None = None
        self.ticket: Ticket | None = None
        self.running: dict[str, RunningAttempt] = {}
        self.wake = threading.Event()
        self.is_gone = False
        self.is_streaming = False
        self.is_body_used = False
        self.maybe_run = False
        self.view: View | None = None
        self.owner: Owner | None = None

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the request may be sent more than once."""
        return self.request.head.method in self.route.idempotent_methods

    def break_off(self, failure: Failure) -> None:
        """End the running attempts, from any thread."""
        self.is_gone = self.is_gone or failure is Failure.CALLER_GONE
        self.wake.set()
        for attempt in tuple(self.running.values()):
            attempt.cancel(failure)


def _timeout_s(request: CallerRequest, limit_s: float) -> float:
    given = request.head.headers.get(TIMEOUT_HEADER)
    if given is None:
        return limit_s
    if not (given.isascii() and given.isdecimal() and int(given)):
        raise RefusedError(
            HTTPStatus.BAD_REQUEST,
            'bad-timeout',
            f'{TIMEOUT_HEADER} must be a positive number of milliseconds',
        )
    return min(int(given) / 1000, limit_s)


class Entry:
    """Serves callers by the published view.

    :param address: where callers connect; port 0 takes a free one.
    :param clocks: clock readings of the servers of pools without fencing,
        by name of the server, kept up to date by the daemon.
    """

    def __init__(
        self,
        address: tuple[str, int],
        published: Published,
        settings: EntrySettings,
        rng: random.Random,
        clocks: Mapping[str, ServerClock] | None = None,
    ) -> None:
        self.published = published
        self.settings = settings
        self.rng = rng
        self.clocks = clocks if clocks is not None else {}
        self.upstreams = Upstreams(settings.upstreams)
        self.server = CallerServer(
            address,
            settings.callers,
            self.handle,
            self.refuse,
            self.break_all,
        )
        self.lock = threading.Lock()
        self.gates: dict[str, _Gate] = {}
        self.router = Router(Document())
        self.exchanges: dict[int, _Exchange] = {}
        self.in_flight: set[tuple[str, str]] = set()
        self.request_prefix = f'{settings.host}-{rng.getrandbits(48):012x}'
        self.request_count = 0
        self.is_stopped = threading.Event()
        self.watch = threading.Thread(
            target=self._watch,
            name='watch',
            daemon=True,
        )

    def open(self) -> tuple[str, int]:
        """Start to serve; give the address."""
        self.watch.start()
        return self.server.open()

    def drain(self, drain_s: float, limit_s: float) -> None:
        """Stop gracefully, see :meth:`CallerServer.drain`."""
        self.server.drain(drain_s, limit_s)
        self.is_stopped.set()
        self.watch.join()
        self.upstreams.close()

    def update(
        self,
        cold: Mapping[str, Mapping[str, str]],
        group: Mapping[str, Mapping[str, int]],
        hints: Mapping[str, Mapping[str, Any]],
    ) -> None:
        """Hand what other hosts report to the policies, at each sync.

        :param cold: by pool, the host in charge of each cold upstream.
        :param group: by pool, running requests of the group by upstream.
        :param hints: by pool, health reports by upstream.
        """
        document = self.published.view.document
        for pool in document.pools.values():
            gate = self._gate(pool)
            gate.cold = cold.get(pool.name, {})
            gate.group = group.get(pool.name, {})
            gate.hints = hints.get(pool.name, {})
            self._update_gate(gate, pool, document)
        self.upstreams.keep(
            upstream
            for pool in document.pools.values()
            for upstream in pool.upstreams
        )

    def outstanding(self) -> dict[str, int]:
        """Count the running requests on each ``pool/upstream``."""
        counts = {}
        for name, gate in tuple(self.gates.items()):
            with gate.lock:
                busy = gate.policy.outstanding()
            counts.update({f'{name}/{up}': busy[up] for up in busy})
        return counts

    def orders(self) -> list[tuple[View, Owner]]:
        """Give the view and owner of each running order, for rule G4."""
        return [
            (exchange.view, exchange.owner)
            for exchange in tuple(self.exchanges.values())
            if exchange.view is not None and exchange.owner is not None
        ]

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        document = self.published.view.document
        return not (
            self.server.is_draining
            or not document.version
            or self.settings.zone in document.zones_out
            or self.settings.host in document.hosts_out
        )

    def break_all(self) -> None:
        """Break all running requests; a shutdown takes too long."""
        for exchange in tuple(self.exchanges.values()):
            exchange.break_off(Failure.CALLER_GONE)
            with suppress(OSError):
                exchange.request.conn.socket.shutdown(socket.SHUT_RDWR)

    def refuse(self, request: CallerRequest, error: FramingError) -> None:
        """Answer a malformed request."""
        request.keep_alive = False
        refusal = RefusedError(error.status, 'malformed', error.reason)
        _answer_refusal(request, refusal)

    def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        if request.head.target.startswith(OWN_PREFIX):
            self._answer_own(request)
            return
        try:
            exchange = self._admit(request)
        except RefusedError as refusal:
            _answer_refusal(request, refusal)
            return
        self.exchanges[id(exchange)] = exchange
        try:
            self._serve(exchange)
        except RefusedError as refusal:
            _answer_refusal(request, refusal)
        except CallerGoneError:
            request.is_aborted = True
        finally:
            self._forget(exchange)

    def _forget(self, exchange: _Exchange) -> None:
        self.exchanges.pop(id(exchange), None)
        if exchange.idempotency is not None:
            self.in_flight.discard(exchange.idempotency)
        self._close(exchange)

    def _answer_own(self, request: CallerRequest) -> None:
        if request.head.target != READY_PATH:
            refusal = RefusedError(
                HTTPStatus.NOT_FOUND,
                'no-route',
                f'paths under {OWN_PREFIX} are reserved',
            )
        elif self.is_ready:
            request.start(HTTPStatus.OK, [('content-type', 'text/plain')], 6)
            request.send(b'ready\n')
            request.finish()
            return
        else:
            refusal = RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'not-ready',
                'this host takes no new work',
            )
        _answer_refusal(request, refusal)

    def _router(self, document: Document) -> Router:
        router = self.router
        if router.document is not document:
            router = Router(document)
            self.router = router
        return router

    def _gate(self, pool: Pool) -> _Gate:
        gate = self.gates.get(pool.name)
        if gate is None:
            with self.lock:
                gate = self.gates.get(pool.name)
                if gate is None:
                    settings = self.settings
                    rng = random.Random(self.rng.getrandbits(64))
                    gate = _Gate(
                        PoolPolicy(pool, settings.zone, settings.host, rng),
                    )
                    self.gates[pool.name] = gate
        if gate.policy.pool is not pool:
            self._update_gate(gate, pool, self.published.view.document)
        return gate

    def _update_gate(
        self,
        gate: _Gate,
        pool: Pool,
        document: Document,
    ) -> None:
        with gate.lock:
            gate.policy.update(
                time.monotonic(),
                pool,
                document.zones_out,
                gate.cold,
                gate.group,
                gate.hints,
            )
            gate.wake()

    def _admit(self, request: CallerRequest) -> _Exchange:
        """Find the route, the key and the deadline of a request."""
        head = request.head
        document = self.published.view.document
        host = head.headers.get('host', '')
        try:
            path = plain_path(head.target.partition('?')[0])
            route, pool = self._router(document).match(host, head.method, path)
            key = None
            if pool.kind is PoolKind.KEYED:
                key = extract_key(route, path, head.headers)
        except NoRouteError as error:
            raise _no_route(error) from error
        except (MissingKeyError, BadPathError) as error:
            raise RefusedError(
                HTTPStatus.BAD_REQUEST,
                'missing-key'
                if isinstance(error, MissingKeyError)
                else 'bad-path',
                str(error),
            ) from error
        limit_s = pool.timeout_s if route.timeout_s is None else route.timeout_s
        timeout_s = _timeout_s(request, limit_s)
        deadline = request.arrived + timeout_s
        exchange = _Exchange(request, route, pool, self._gate(pool), deadline)
        exchange.key = key
        exchange.is_limited = (
            not request.is_upload or TIMEOUT_HEADER in head.headers
        )
        exchange.headers = request_fields(request)
        self.request_count += 1
        exchange.request_id = f'{self.request_prefix}-{self.request_count}'
        given = head.headers.get('idempotency-key')
        if given is not None:
            self._claim(exchange, (pool.name, given))
        return exchange

    def _claim(self, exchange: _Exchange, claim: tuple[str, str]) -> None:
        with self.lock:
            if claim in self.in_flight:
                raise RefusedError(
                    HTTPStatus.CONFLICT,
                    'duplicate',
                    'a request with this Idempotency-Key is running',
                )
            self.in_flight.add(claim)
        exchange.idempotency = claim

    def _serve(self, exchange: _Exchange) -> None:
        give_up = 0.0
        while True:
            try:
                answer, body = self._obtain(exchange)
            except (OwnerMovedError, NotPermittedError):
                self._close(exchange)
                now = time.monotonic()
                give_up = give_up or min(
                    now + self.settings.moved_wait_s,
                    exchange.deadline,
                )
                self._await_owner(exchange, give_up)
            else:
                break
        self._deliver(exchange, answer, body)

    def _await_owner(self, exchange: _Exchange, give_up: float) -> None:
        """Wait for a newer view after an owner turned out to be wrong."""
        left = give_up - time.monotonic()
        if left <= 0 or exchange.is_body_used or exchange.is_gone:
            raise RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-owner',
                'the key has no owner that can be reached now',
                exchange.maybe_run,
                retry_after_s=1,
            )
        seen = exchange.view or self.published.view
        step = min(left, self.settings.moved_step_s)
        self.published.wait_for_newer(seen, step)

    def _find_owner(self, exchange: _Exchange) -> str | None:
        """Take the owner of the key from the current view."""
        if exchange.key is None:
            return None
        view = self.published.view
        owner = view.owner(exchange.pool, exchange.key)
        exchange.view = view
        exchange.owner = owner
        if owner is None or owner.assignment.owner is None:
            raise NotPermittedError(f'no owner in pool {exchange.pool.name}')
        return owner.assignment.owner

    def _obtain(self, exchange: _Exchange) -> tuple[Answer, bytes | None]:
        """Give the answer to deliver, with its body when that is small."""
        gate = exchange.gate
        facts = RequestFacts(
            exchange.request_id,
            exchange.route.request_class,
            exchange.is_idempotent,
            exchange.deadline,
            self._find_owner(exchange),
            exchange.request.body is not None,
        )
        now = time.monotonic()
        with gate.lock:
            ticket = gate.policy.submit(now, facts)
            decision = gate.policy.poll(now, ticket)
        exchange.ticket = ticket
        step: Decision | tuple[Answer, bytes | None] = decision
        while not isinstance(step, tuple):
            step = self._step(exchange, ticket, step)
        return step

    def _step(
        self,
        exchange: _Exchange,
        ticket: Ticket,
        decision: Decision,
    ) -> Decision | tuple[Answer, bytes | None]:
        if exchange.is_gone:
            raise CallerGoneError
        if isinstance(decision, Refuse):
            raise refused_by_policy(decision.refusal, exchange.maybe_run)
        if isinstance(decision, Send):
            return self._launch(exchange, decision.attempt)
        if exchange.running:
            return self._await_answer(exchange)
        return self._queue(exchange, ticket)

    def _queue(self, exchange: _Exchange, ticket: Ticket) -> Decision:
        """Wait until there is a decision."""
        gate = exchange.gate
        exchange.wake.clear()
        with gate.lock:
            decision = gate.policy.poll(time.monotonic(), ticket)
            if not isinstance(decision, Wait):
                return decision
            gate.waiting[ticket] = exchange.wake
        if not exchange.is_gone:
            exchange.wake.wait(max(decision.until - time.monotonic(), 0))
        with gate.lock:
            gate.waiting.pop(ticket, None)
            return gate.policy.poll(time.monotonic(), ticket)

    def _launch(
        self,
        exchange: _Exchange,
        attempt: Attempt,
    ) -> Decision:
        """Send an attempt."""
        now = time.monotonic()
        running = RunningAttempt(
            self.upstreams.pool(attempt.upstream),
            attempt.attempt_id,
            exchange.deadline,
            lambda: self._before_sending(exchange, attempt),
        )
        if attempt.hedge:
            running.connect_s = HEDGE_CONNECT_S
        exchange.running[attempt.attempt_id] = running
        try:
            order = self._order(exchange, attempt, running, now)
            running.send(order)
        except AttemptError as error:
            return self._failed(exchange, attempt.attempt_id, error.failure)
        except NotPermittedError:
            self._failed(exchange, attempt.attempt_id, Failure.CANCELLED)
            raise
        if not exchange.is_limited:
            waited = exchange.deadline - exchange.request.arrived
            running.deadline = time.monotonic() + waited
            exchange.deadline = running.deadline
            exchange.is_limited = True
        return Wait(running.deadline)

    def _before_sending(self, exchange: _Exchange, attempt: Attempt) -> None:
        now = time.monotonic()
        owner = exchange.owner
        if owner is not None and exchange.pool.fencing is Fencing.NONE:
            view = self.published.view
            current = view.owner(exchange.pool, exchange.key or '')
            if (
                current is None
                or current.assignment != owner.assignment
                or not view.may_send(exchange.pool, current, now)
            ):
                raise NotPermittedError('the permit of the order has ended')
        gate = exchange.gate
        with gate.lock:
            is_open = gate.policy.sent(now, attempt.attempt_id)
        if not is_open or exchange.is_gone:
            raise AttemptError(Failure.CANCELLED)

    def _order(
        self,
        exchange: _Exchange,
        attempt: Attempt,
        running: RunningAttempt,
        now: float,
    ) -> Order:
        headers = dict(exchange.headers)
        headers[ATTEMPT_HEADER] = attempt.attempt_id
        owner = exchange.owner
        if owner is not None:
            headers['oriolearch-shard'] = str(owner.shard)
            headers['oriolearch-epoch'] = str(owner.assignment.epoch)
            if exchange.pool.fencing is Fencing.NONE:
                self._limit_order(exchange, attempt, running, headers, now)
        if exchange.is_limited or running.deadline < exchange.deadline:
            left_ms = max(int((running.deadline - now) * 1000), 1)
            headers['oriolearch-deadline-ms'] = str(left_ms)
        request = exchange.request
        body: bytes | Iterator[bytes] | None = request.body
        if request.is_upload:
            body = _upload(exchange, running)
        elif not body and 'content-length' not in headers:
            body = None
        return Order(request.head.method, request.head.target, headers, body)

    def _limit_order(
        self,
        exchange: _Exchange,
        attempt: Attempt,
        running: RunningAttempt,
        headers: dict[str, str],
        now: float,
    ) -> None:
        """Bound an order to a server that does not check epochs (G4)."""
        clock = self.clocks.get(attempt.upstream.name)
        if clock is None:
            raise NotPermittedError('no clock reading of the server')
        limit_s = exchange.pool.order_limit_s
        running.deadline = min(running.deadline, now + limit_s)
        left_s = running.deadline - now
        headers['oriolearch-deadline-clock'] = str(clock.deadline(now, left_s))

    def _await_answer(
        self,
        exchange: _Exchange,
    ) -> Decision | tuple[Answer, bytes | None]:
        """Wait for the first answer, and start hedges meanwhile."""
        running = list(exchange.running.values())
        ready: RunningAttempt | None = running[0]
        hedge: Send | Wait | None = None
        if exchange.is_idempotent and exchange.request.body is not None:
            hedge = self._hedge(exchange)
        while hedge is not None:
            if isinstance(hedge, Send):
                return hedge
            ready = wait_any(running, hedge.until - time.monotonic())
            if ready is not None or exchange.is_gone:
                break
            hedge = self._hedge(exchange)
        else:
            if len(running) > 1:
                ready = wait_any(running, exchange.deadline - time.monotonic())
        return self._take_answer(exchange, ready or running[0])

    def _hedge(self, exchange: _Exchange) -> Send | Wait | None:
        gate = exchange.gate
        ticket = exchange.ticket
        if ticket is None:
            return None
        with gate.lock:
            return gate.policy.hedge(time.monotonic(), ticket)

    def _take_answer(
        self,
        exchange: _Exchange,
        running: RunningAttempt,
    ) -> Decision | tuple[Answer, bytes | None]:
        body = None
        try:
            answer = running.answer()
            if answer.length is not None and answer.length <= PIECE_BYTES:
                body = answer.read_all()
        except AttemptError as error:
            return self._failed(exchange, running.attempt_id, error.failure)
        return self._answered(exchange, running, answer, body)

    def _answered(
        self,
        exchange: _Exchange,
        running: RunningAttempt,
        answer: Answer,
        body: bytes | None,
    ) -> Decision | tuple[Answer, bytes | None]:
        gate = exchange.gate
        ticket = exchange.ticket
        now = time.monotonic()
        with gate.lock:
            decision = gate.policy.answered(
                now,
                running.attempt_id,
                answer.status,
                answer.is_not_run,
            )
            is_delivered = isinstance(decision, Deliver)
            if is_delivered and body is not None:
                gate.policy.body_done(now, running.attempt_id)
            lost = gate.policy.cancelled(ticket) if ticket else ()
            gate.wake()
        if not is_delivered:
            running.abandon()
        if not (is_delivered and body is None):
            exchange.running.pop(running.attempt_id, None)
        for attempt in lost:
            self._cancel(exchange, attempt)
        if answer.is_not_run and answer.status == NOT_OWNER_STATUS:
            if exchange.key is not None and not is_delivered:
                raise OwnerMovedError
        if isinstance(decision, Deliver):
            return answer, body
        return decision

    def _cancel(self, exchange: _Exchange, attempt: Attempt) -> None:
        """End an attempt whose answer nobody needs."""
        running = exchange.running.pop(attempt.attempt_id, None)
        if running is None:
            return
        running.cancel(Failure.CANCELLED)
        running.abandon()
        if running.is_sent:
            self.upstreams.canceller.post(running.pool, attempt.attempt_id)
        gate = exchange.gate
        with gate.lock:
            gate.policy.failed(
                time.monotonic(),
                attempt.attempt_id,
                Failure.CANCELLED,
            )
            gate.wake()

    def _failed(
        self,
        exchange: _Exchange,
        attempt_id: str,
        failure: Failure,
    ) -> Decision:
        running = exchange.running.pop(attempt_id, None)
        if running is not None:
            running.abandon()
            gives_up = failure in {
                Failure.TIMEOUT,
                Failure.CALLER_GONE,
                Failure.CANCELLED,
            }
            if gives_up and running.is_sent:
                self.upstreams.canceller.post(running.pool, attempt_id)
        gate = exchange.gate
        with gate.lock:
            decision = gate.policy.failed(
                time.monotonic(),
                attempt_id,
                failure,
            )
            gate.wake()
        return decision

    def _deliver(
        self,
        exchange: _Exchange,
        answer: Answer,
        body: bytes | None,
    ) -> None:
        """Pass an answer on to the caller."""
        request = exchange.request
        exchange.is_streaming = True
        length = answer_length(answer)
        try:
            request.start(answer.status, answer_fields(answer), length)
            if body is None:
                self._stream(exchange, answer)
            elif body:
                request.send(body)
            request.finish()
        except OSError as error:
            raise CallerGoneError from error

    def _stream(self, exchange: _Exchange, answer: Answer) -> None:
        running = answer.attempt
        running.stream()
        try:
            for piece in answer.pieces():
                exchange.request.send(piece)
        except AttemptError as error:
            self._failed(exchange, running.attempt_id, error.failure)
            raise CallerGoneError from error
        exchange.running.pop(running.attempt_id, None)
        gate = exchange.gate
        with gate.lock:
            gate.policy.body_done(time.monotonic(), running.attempt_id)
            gate.wake()

    def _close(self, exchange: _Exchange) -> None:
        """End the ticket of a request with the attempts still running."""
        ticket = exchange.ticket
        if ticket is None:
            return
        exchange.ticket = None
        gate = exchange.gate
        with gate.lock:
            exchange.maybe_run = exchange.maybe_run or ticket.may_have_run()
            gate.policy.close(time.monotonic(), ticket)
            gate.waiting.pop(ticket, None)
            gate.wake()
        for attempt_id, running in tuple(exchange.running.items()):
            running.cancel(Failure.CANCELLED)
            running.abandon()
            if running.is_sent:
                self.upstreams.canceller.post(running.pool, attempt_id)
        exchange.running.clear()

    def _watch(self) -> None:
        """End requests whose caller is gone or whose deadline has passed."""
        while not self.is_stopped.wait(self.settings.watch_period_s):
            now = time.monotonic()
            exchanges = [
                exchange
                for exchange in tuple(self.exchanges.values())
                if not exchange.is_streaming
            ]
            for gone in _gone(exchanges):
                gone.break_off(Failure.CALLER_GONE)
            for exchange in exchanges:
                if exchange.is_limited and now > exchange.deadline:
                    exchange.break_off(Failure.TIMEOUT)


def _gone(exchanges: list[_Exchange]) -> Iterator[_Exchange]:
    """Give the requests whose caller closed its side of the connection."""
    poll = select.poll()
    by_fd = {}
    for exchange in exchanges:
        fd = exchange.request.conn.socket.fileno()
        if fd >= 0:
            by_fd[fd] = exchange
            poll.register(fd, select.POLLRDHUP)
    for fd, _ in poll.poll(0) if by_fd else ():
        yield by_fd[fd]


def _caller_pieces(
    request: CallerRequest,
    running: RunningAttempt,
) -> Iterator[bytes]:
    """Give the body of an upload; errors of the caller become typed."""
    try:
        yield from request.pieces()
    except OSError as error:
        raise CallerGoneError from error
    except FramingError as error:
        raise RefusedError(
            error.status,
            'malformed',
            error.reason,
            running.is_sent,
        ) from error


def _upload(
    exchange: _Exchange,
    running: RunningAttempt,
) -> Iterator[bytes]:
    """Give the body of an upload until the upstream answers."""
    for piece in _caller_pieces(exchange.request, running):
        exchange.is_body_used = True
        yield piece
        if running.has_early_answer():
            raise AnsweredEarlyError


def _no_route(error: NoRouteError) -> RefusedError:
    if error.allowed:
        return RefusedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            'method-not-allowed',
            str(error),
            fields=[('allow', ', '.join(error.allowed))],
        )
    return RefusedError(HTTPStatus.NOT_FOUND, 'no-route', str(error))


def _answer_refusal(request: CallerRequest, refusal: RefusedError) -> None:
    if request.is_started:
        request.is_aborted = True
        return
    body, fields = problem(refusal)
    request.start(refusal.status, fields, len(body))
    request.send(b'' if request.head.method == 'HEAD' else body)
    request.finish()
