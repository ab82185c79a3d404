"""Takes one request through its attempts to the answer for its caller."""

import random
import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import replace
from http import HTTPStatus

from oriolearch.adapters.exchange import (
    AnswerBrokenError,
    CallerGoneError,
    EntrySettings,
    Exchange,
    Gate,
    NotPermittedError,
    OwnerMovedError,
    Published,
    ServerClock,
)
from oriolearch.adapters.fields import answer_fields, answer_length
from oriolearch.adapters.framing import PIECE_BYTES, FramingError
from oriolearch.adapters.problems import RefusedError, refused_by_policy
from oriolearch.adapters.requests import CallerRequest
from oriolearch.adapters.telemetry import Telemetry
from oriolearch.eventlog import Event
from oriolearch.adapters.upstream import (
    ATTEMPT_HEADER,
    Answer,
    AnsweredEarlyError,
    AttemptError,
    Order,
    RunningAttempt,
    Upstreams,
    wait_any,
)
from oriolearch.core.model import Document, Fencing, Pool
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

NOT_OWNER_STATUS = 421
OWNER_CHECK_S = 0.1  # a request that waits for its owner looks for a new one
HEDGE_CONNECT_S = 0.05  # meanwhile the answer of the first attempt waits

Decision = Send | Wait | Refuse
Found = tuple[Answer, bytes | None]  # the body when it is small

_CANCELLED_UPSTREAM = frozenset(
    (Failure.TIMEOUT, Failure.CALLER_GONE, Failure.CANCELLED),
)


class Dispatcher:
    """Serves admitted requests, each on the thread that calls.

    :param clocks: clock readings of the servers of pools without fencing,
        by name of the server.
    """

    def __init__(
        self,
        published: Published,
        settings: EntrySettings,
        rng: random.Random,
        telemetry: Telemetry,
        clocks: Mapping[str, ServerClock],
    ) -> None:
        self.published = published
        self.settings = settings
        self.rng = rng
        self.telemetry = telemetry
        self.clocks = clocks
        self.upstreams = Upstreams(settings.upstreams)
        self.lock = threading.Lock()
        self.gates: dict[str, Gate] = {}

    def gate(self, pool: Pool) -> Gate:
        """Give the policy of a pool, by the current configuration."""
        gate = self.gates.get(pool.name)
        if gate is None:
            gate = self._make_gate(pool)
        document = self.published.view.document
        if gate.document is not document:
            self.update(gate, pool.name, document)
        return gate

    def update(self, gate: Gate, name: str, document: Document) -> None:
        """Hand the configuration and reports of other hosts to a policy.

        A pool that was removed keeps its last state for the requests that
        still run.
        """
        pool = document.pools.get(name, gate.policy.pool)
        if document.hosts_out:
            serving = tuple(
                upstream
                for upstream in pool.upstreams
                if upstream.name not in document.hosts_out
            )
            pool = replace(pool, upstreams=serving)
        with gate.lock:
            gate.document = document
            gate.policy.update(
                time.monotonic(),
                pool,
                document.zones_out,
                gate.cold,
                gate.group,
                gate.hints,
            )
            gate.wake()

    def serve(self, exchange: Exchange) -> int:
        """Get an answer and pass it on; gives its status.

        The body of a long answer is left to :meth:`stream`.

        :raises RefusedError: when the caller is to get a refusal.
        :raises CallerGoneError: when there is nobody to answer.
        :raises AnswerBrokenError: when the answer cannot be completed.
        """
        give_up = 0.0
        while True:
            try:
                answer, body = self._obtain(exchange)
            except (OwnerMovedError, NotPermittedError):
                self.close(exchange)
                longest = time.monotonic() + self.settings.moved_wait_s
                give_up = give_up or min(longest, exchange.deadline)
                self._await_owner(exchange, give_up)
            else:
                break
        self._deliver(exchange, answer, body)
        return answer.status

    def stream(self, exchange: Exchange) -> int:
        """Pass on the body of an answer; raises as :meth:`serve` does."""
        answer = exchange.answer
        if answer is None:
            raise AnswerBrokenError
        exchange.answer = None
        try:
            self._stream(exchange, answer)
            exchange.request.finish()
        except OSError as error:
            raise CallerGoneError from error
        return answer.status

    def close(self, exchange: Exchange) -> None:
        """End the ticket of a request with the attempts still running."""
        ticket = exchange.ticket
        if ticket is None:
            return
        exchange.ticket = None
        gate = exchange.gate
        with gate.lock:
            gate.policy.close(time.monotonic(), ticket)
            # Asked after the close: a decision to send that was not carried
            # out counts as running before.
            exchange.maybe_run = exchange.maybe_run or ticket.may_have_run()
            gate.waiting.pop(ticket, None)
            gate.wake()
        for attempt_id in tuple(exchange.running):
            self._end(exchange, attempt_id, Failure.CANCELLED)

    def _make_gate(self, pool: Pool) -> Gate:
        settings = self.settings
        with self.lock:
            gate = self.gates.get(pool.name)
            if gate is None:
                rng = random.Random(self.rng.getrandbits(64))
                gate = Gate(
                    PoolPolicy(pool, settings.zone, settings.host, rng),
                )
                self.gates[pool.name] = gate
        return gate

    def _await_owner(self, exchange: Exchange, give_up: float) -> None:
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

    def _find_owner(self, exchange: Exchange) -> str | None:
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

    def _obtain(self, exchange: Exchange) -> Found:
        """Give the answer to deliver."""
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
            exchange.ticket = ticket
            step: Decision | Found = gate.policy.poll(now, ticket)
        while not isinstance(step, tuple):
            step = self._step(exchange, ticket, step)
        return step

    def _step(
        self,
        exchange: Exchange,
        ticket: Ticket,
        decision: Decision,
    ) -> Decision | Found:
        if exchange.is_gone:
            raise CallerGoneError
        if isinstance(decision, Refuse):
            raise refused_by_policy(
                decision.refusal,
                exchange.maybe_run,
                is_late=time.monotonic() >= exchange.deadline,
            )
        if isinstance(decision, Send):
            return self._launch(exchange, decision.attempt)
        if exchange.running:
            return self._await_answer(exchange, ticket)
        if exchange.trace is None:
            return self._queue(exchange, ticket)
        span = exchange.trace.child('queue', pool=exchange.pool.name)
        try:
            return self._queue(exchange, ticket)
        finally:
            span.end()

    def _queue(self, exchange: Exchange, ticket: Ticket) -> Decision:
        """Wait until there is a decision."""
        gate = exchange.gate
        wake = threading.Event()
        exchange.wake = wake
        with gate.lock:
            decision = gate.policy.poll(time.monotonic(), ticket)
            if not isinstance(decision, Wait):
                return decision
            gate.waiting[ticket] = wake
        if not exchange.is_gone:
            left_s = decision.until - time.monotonic()
            if exchange.key is not None:
                left_s = min(left_s, OWNER_CHECK_S)
            wake.wait(max(left_s, 0))
        with gate.lock:
            gate.waiting.pop(ticket, None)
        if self._has_moved(exchange):
            raise OwnerMovedError
        with gate.lock:
            return gate.policy.poll(time.monotonic(), ticket)

    def _has_moved(self, exchange: Exchange) -> bool:
        """Tell whether a request that waits for its owner has another one."""
        view = self.published.view
        if exchange.key is None or view is exchange.view or exchange.running:
            return False
        current = view.owner(exchange.pool, exchange.key)
        known = exchange.owner
        exchange.view = view
        return (
            current is not None
            and known is not None
            and current.assignment != known.assignment
        )

    def _launch(self, exchange: Exchange, attempt: Attempt) -> Decision:
        """Send an attempt."""
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
            running.send(self._order(exchange, attempt, running))
        except AttemptError as error:
            return self._failed(exchange, attempt.attempt_id, error)
        except NotPermittedError:
            self.telemetry.events.emit(
                Event.PERMIT_ENDED,
                request=exchange.request_id,
                pool=exchange.pool.name,
            )
            raise
        if not exchange.is_limited:
            waited = exchange.deadline - exchange.request.arrived
            exchange.deadline = time.monotonic() + waited
            exchange.is_limited = True
            running.deadline = exchange.deadline
        return Wait(running.deadline)

    def _before_sending(self, exchange: Exchange, attempt: Attempt) -> None:
        """Check that an attempt may be sent, and record that it is."""
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
        exchange: Exchange,
        attempt: Attempt,
        running: RunningAttempt,
    ) -> Order:
        now = time.monotonic()
        headers = dict(exchange.headers)
        headers[ATTEMPT_HEADER] = attempt.attempt_id
        owner = exchange.owner
        if owner is not None:
            headers['oriolearch-shard'] = str(owner.shard)
            headers['oriolearch-epoch'] = str(owner.assignment.epoch)
            if exchange.pool.fencing is Fencing.NONE:
                clock = self.clocks.get(attempt.upstream.name)
                _limit_order(exchange, running, headers, clock)
        if exchange.is_limited or running.deadline < exchange.deadline:
            left_ms = max(int((running.deadline - now) * 1000), 1)
            headers['oriolearch-deadline-ms'] = str(left_ms)
        if exchange.trace is not None:
            running.span = exchange.trace.child(
                'attempt',
                attempt=attempt.attempt_id,
                pool=exchange.pool.name,
                upstream=attempt.upstream.name,
            )
            exchange.trace.inject(running.span, headers)
        head = exchange.request.head
        body: bytes | Iterator[bytes] | None = exchange.request.body
        if body is None:
            body = _upload(exchange, running)
        elif not body and 'content-length' not in headers:
            body = None
        return Order(head.method, head.target, headers, body)

    def _await_answer(
        self,
        exchange: Exchange,
        ticket: Ticket,
    ) -> Decision | Found:
        """Wait for the first answer; meanwhile a hedge may be due."""
        running = list(exchange.running.values())
        hedge = None
        if exchange.is_idempotent and exchange.request.body is not None:
            hedge = self._hedge(exchange, ticket)
        while isinstance(hedge, Wait):
            ready = wait_any(running, hedge.until - time.monotonic())
            if ready is not None:
                return self._take_answer(exchange, ready)
            hedge = self._hedge(exchange, ticket)
        if hedge is not None:
            return hedge
        if len(running) == 1:
            return self._take_answer(exchange, running[0])
        ready = wait_any(running, exchange.deadline - time.monotonic())
        return self._take_answer(exchange, ready or running[0])

    def _hedge(
        self,
        exchange: Exchange,
        ticket: Ticket,
    ) -> Send | Wait | None:
        if exchange.is_gone:
            return None
        with exchange.gate.lock:
            return exchange.gate.policy.hedge(time.monotonic(), ticket)

    def _take_answer(
        self,
        exchange: Exchange,
        running: RunningAttempt,
    ) -> Decision | Found:
        body = None
        try:
            answer = running.answer()
            if answer.length is not None and answer.length <= PIECE_BYTES:
                body = answer.read_all()
        except AttemptError as error:
            return self._failed(exchange, running.attempt_id, error)
        return self._answered(exchange, answer, body)

    def _answered(
        self,
        exchange: Exchange,
        answer: Answer,
        body: bytes | None,
    ) -> Decision | Found:
        gate = exchange.gate
        attempt_id = answer.attempt.attempt_id
        now = time.monotonic()
        with gate.lock:
            decision = gate.policy.answered(
                now,
                attempt_id,
                answer.status,
                answer.is_not_run,
            )
            if isinstance(decision, Deliver) and body is not None:
                gate.policy.body_done(now, attempt_id)
            ticket = exchange.ticket
            lost = gate.policy.cancelled(ticket) if ticket else ()
            gate.wake()
        for attempt in lost:
            self._cancel(exchange, attempt)
        if isinstance(decision, Deliver):
            if body is not None:
                self._end(exchange, attempt_id, None)
            return answer, body
        self._end(exchange, attempt_id, None)
        if answer.status == NOT_OWNER_STATUS and exchange.owner is not None:
            self._report_moved(exchange)
            raise OwnerMovedError
        return decision

    def _report_moved(self, exchange: Exchange) -> None:
        owner = exchange.owner
        if owner is not None:
            self.telemetry.events.emit(
                Event.OWNER_MOVED,
                request=exchange.request_id,
                pool=exchange.pool.name,
                upstream=owner.assignment.owner,
                epoch=owner.assignment.epoch,
            )

    def _cancel(self, exchange: Exchange, attempt: Attempt) -> None:
        """End an attempt whose answer nobody needs."""
        self._end(exchange, attempt.attempt_id, Failure.CANCELLED)
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
        exchange: Exchange,
        attempt_id: str,
        error: AttemptError,
    ) -> Decision:
        running = self._end(exchange, attempt_id, error.failure)
        if running is not None:
            self._report_failure(exchange, running, error)
        gate = exchange.gate
        with gate.lock:
            decision = gate.policy.failed(
                time.monotonic(),
                attempt_id,
                error.failure,
            )
            gate.wake()
        return decision

    def _end(
        self,
        exchange: Exchange,
        attempt_id: str,
        failure: Failure | None,
    ) -> RunningAttempt | None:
        """Let go of an attempt; its connection is closed if still held."""
        running = exchange.running.pop(attempt_id, None)
        if running is None:
            return None
        if failure is not None:
            running.cancel(failure)
        running.abandon()
        if failure in _CANCELLED_UPSTREAM and running.is_sent:
            self.upstreams.canceller.post(running.pool, attempt_id)
        if running.span is not None:
            running.span.set_attribute('outcome', failure or 'answered')
            running.span.end()
        return running

    def _report_failure(
        self,
        exchange: Exchange,
        running: RunningAttempt,
        error: AttemptError,
    ) -> None:
        upstream = running.pool.upstream.name
        events = self.telemetry.events
        if error.failure is Failure.WRONG_ATTEMPT:
            events.emit(
                Event.WRONG_ATTEMPT,
                attempt=running.attempt_id,
                pool=exchange.pool.name,
                upstream=upstream,
            )
        else:
            events.emit(
                Event.ATTEMPT_FAILED,
                attempt=running.attempt_id,
                pool=exchange.pool.name,
                upstream=upstream,
                failure=str(error.failure),
                sent=running.is_sent,
                detail=error.detail,
            )

    def _deliver(
        self,
        exchange: Exchange,
        answer: Answer,
        body: bytes | None,
    ) -> None:
        """Pass an answer on to the caller."""
        request = exchange.request
        exchange.is_streaming = True
        try:
            request.start(
                answer.status,
                answer_fields(answer),
                answer_length(answer, request.head.method),
            )
            if body is None:
                exchange.answer = answer
                return
            if body:
                request.send(body)
            request.finish()
        except OSError as error:
            raise CallerGoneError from error

    def _stream(self, exchange: Exchange, answer: Answer) -> None:
        running = answer.attempt
        running.stream()
        try:
            for piece in answer.pieces():
                exchange.request.send(piece)
        except AttemptError as error:
            self._failed(exchange, running.attempt_id, error)
            raise AnswerBrokenError from error
        self._end(exchange, running.attempt_id, None)
        gate = exchange.gate
        with gate.lock:
            gate.policy.body_done(time.monotonic(), running.attempt_id)
            gate.wake()


def _limit_order(
    exchange: Exchange,
    running: RunningAttempt,
    headers: dict[str, str],
    clock: ServerClock | None,
) -> None:
    """Bound an order to a server that does not check epochs (rule G4)."""
    if clock is None:
        raise NotPermittedError('no clock reading of the server')
    now = time.monotonic()
    limit = now + exchange.pool.order_limit_s
    running.deadline = min(running.deadline, limit)
    deadline = clock.deadline(now, running.deadline - now)
    headers['oriolearch-deadline-clock'] = str(deadline)


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
    exchange: Exchange,
    running: RunningAttempt,
) -> Iterator[bytes]:
    """Give the body of an upload until the upstream answers."""
    for piece in _caller_pieces(exchange.request, running):
        exchange.is_body_used = True
        yield piece
        if running.has_early_answer():
            raise AnsweredEarlyError
