"""Runs the attempts of a request and passes the answer to its caller."""

import math
import random
import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import replace
from http import HTTPStatus

from oriolearch.adapters.exchange import (
    AnswerBrokenError,
    CallerGoneError,
    DataPathSettings,
    Exchange,
    NotPermittedError,
    OwnerMovedError,
    PoolState,
    PublishedView,
    ServerClockReading,
)
from oriolearch.adapters.fields import answer_fields, answer_length
from oriolearch.adapters.framing import PIECE_BYTES, FramingError
from oriolearch.adapters.problems import RefusedError, policy_refusal
from oriolearch.adapters.requests import CallerRequest
from oriolearch.adapters.telemetry import Telemetry
from oriolearch.adapters.upstream import (
    ATTEMPT_HEADER,
    AnsweredEarlyError,
    AttemptError,
    ConnectionPools,
    OutgoingRequest,
    RunningAttempt,
    UpstreamResponse,
    wait_for_response,
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
from oriolearch.eventlog import Event

NOT_OWNER_STATUS = 421
# A queued request checks this often whether its key has moved.
OWNER_CHECK_INTERVAL_S = 0.1
# Short, since the answer of the first attempt is not read while a hedge
# connects.
HEDGE_CONNECT_TIMEOUT_S = 0.05

Decision = Send | Wait | Refuse
# The body is None unless it is small.
AnswerAndBody = tuple[UpstreamResponse, bytes | None]

_CANCELLED_AT_UPSTREAM = frozenset(
    (Failure.TIMEOUT, Failure.CALLER_GONE, Failure.CANCELLED),
)


class Dispatcher:
    """Serves admitted requests, each on the thread that calls ``serve``.

    :param clocks: clock readings of the servers of pools without fencing,
        by name of the server.
    """

    def __init__(
        self,
        published: PublishedView,
        settings: DataPathSettings,
        rng: random.Random,
        telemetry: Telemetry,
        clocks: Mapping[str, ServerClockReading],
    ) -> None:
        self.published = published
        self.settings = settings
        self.rng = rng
        self.telemetry = telemetry
        self.clocks = clocks
        self.upstreams = ConnectionPools(settings.upstreams)
        self.lock = threading.Lock()
        self.pool_states: dict[str, PoolState] = {}

    def pool_state(self, pool: Pool) -> PoolState:
        """Return the state of a pool, updated to the current configuration."""
        pool_state = self.pool_states.get(pool.name)
        if pool_state is None:
            pool_state = self._make_pool_state(pool)
        document = self.published.view.document
        if pool_state.document is not document:
            self.update(pool_state, pool.name, document)
        return pool_state

    def update(
        self, pool_state: PoolState, name: str, document: Document
    ) -> None:
        """Pass the configuration and reports of other hosts to a policy.

        A pool that was removed keeps its last configuration for the requests
        that are still running.
        """
        pool = document.pools.get(name, pool_state.policy.pool)
        if document.hosts_out:
            serving = tuple(
                upstream
                for upstream in pool.upstreams
                if upstream.name not in document.hosts_out
            )
            pool = replace(pool, upstreams=serving)
        with pool_state.lock:
            pool_state.document = document
            pool_state.policy.update(
                time.monotonic(),
                pool,
                document.zones_out,
                pool_state.cold,
                pool_state.group,
                pool_state.hints,
            )
            pool_state.wake()

    def serve(self, exchange: Exchange) -> int:
        """Obtain an answer, pass it to the caller and return its status.

        The body of a long answer is left to :meth:`stream`.

        :raises RefusedError: when the router refuses the request.
        :raises CallerGoneError: when the caller has disconnected.
        :raises AnswerBrokenError: when the answer cannot be completed.
        """
        give_up_at = 0.0
        while True:
            try:
                answer, body = self._obtain_answer(exchange)
            except (OwnerMovedError, NotPermittedError):
                self.close(exchange)
                latest = time.monotonic() + self.settings.owner_wait_s
                give_up_at = give_up_at or min(latest, exchange.deadline)
                self._await_owner(exchange, give_up_at)
            else:
                break
        self._deliver(exchange, answer, body)
        return answer.status

    def stream(self, exchange: Exchange) -> int:
        """Pass the body of an answer to the caller and return its status.

        Raises the same errors as :meth:`serve`.
        """
        answer = exchange.answer
        if answer is None:
            raise AnswerBrokenError
        exchange.answer = None
        try:
            self._stream_body(exchange, answer)
            exchange.release_idempotency_key()
            exchange.request.finish()
        except OSError as error:
            raise CallerGoneError from error
        return answer.status

    def close(self, exchange: Exchange) -> None:
        """Close the ticket of a request and cancel its running attempts."""
        ticket = exchange.ticket
        if ticket is None:
            return
        exchange.ticket = None
        pool_state = exchange.pool_state
        with pool_state.lock:
            pool_state.policy.close(time.monotonic(), ticket)
            # Only after the close, since until then an attempt that was
            # decided but not sent counts as running.
            exchange.may_have_run = (
                exchange.may_have_run or ticket.may_have_run()
            )
            pool_state.waiting.pop(ticket, None)
            pool_state.wake()
        for attempt_id in tuple(exchange.running):
            self._end_attempt(exchange, attempt_id, Failure.CANCELLED)

    def _make_pool_state(self, pool: Pool) -> PoolState:
        settings = self.settings
        with self.lock:
            pool_state = self.pool_states.get(pool.name)
            if pool_state is None:
                rng = random.Random(self.rng.getrandbits(64))
                pool_state = PoolState(
                    PoolPolicy(pool, settings.zone, settings.host, rng),
                )
                self.pool_states[pool.name] = pool_state
        return pool_state

    def _await_owner(self, exchange: Exchange, give_up_at: float) -> None:
        """Wait for a newer view after the owner of a key proved outdated.

        :raises RefusedError: when the time is up, the body of an upload has
            been read, or the caller has disconnected.
        """
        left = give_up_at - time.monotonic()
        if left <= 0 or exchange.is_upload_consumed or exchange.is_caller_gone:
            raise RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-owner',
                'the key has no owner that can be reached now',
                exchange.may_have_run,
                retry_after_s=1,
            )
        seen = exchange.view or self.published.view
        step = min(left, self.settings.owner_retry_s)
        self.published.wait_for_newer(seen, step)

    def _find_owner(self, exchange: Exchange) -> str | None:
        """Return the owner of the key in the current view.

        :raises NotPermittedError: when the key has no owner.
        """
        if exchange.key is None:
            return None
        view = self.published.view
        owner = view.owner(exchange.pool, exchange.key)
        exchange.view = view
        exchange.owner = owner
        if owner is None or owner.assignment.owner is None:
            raise NotPermittedError(f'no owner in pool {exchange.pool.name}')
        return owner.assignment.owner

    def _obtain_answer(self, exchange: Exchange) -> AnswerAndBody:
        """Run attempts until there is an answer to deliver."""
        pool_state = exchange.pool_state
        facts = RequestFacts(
            exchange.request_id,
            exchange.route.request_class,
            exchange.is_idempotent,
            exchange.deadline,
            self._find_owner(exchange),
            exchange.request.body is not None,
        )
        now = time.monotonic()
        with pool_state.lock:
            ticket = pool_state.policy.submit(now, facts)
            exchange.ticket = ticket
            step: Decision | AnswerAndBody = pool_state.policy.poll(now, ticket)
        while not isinstance(step, tuple):
            step = self._carry_out(exchange, ticket, step)
        return step

    def _carry_out(
        self,
        exchange: Exchange,
        ticket: Ticket,
        decision: Decision,
    ) -> Decision | AnswerAndBody:
        if exchange.is_caller_gone:
            raise CallerGoneError
        if isinstance(decision, Refuse):
            raise policy_refusal(
                decision.refusal,
                exchange.may_have_run,
                is_past_deadline=time.monotonic() >= exchange.deadline,
            )
        if isinstance(decision, Send):
            return self._send_attempt(exchange, decision.attempt)
        if exchange.running:
            return self._await_answer(exchange, ticket)
        if exchange.trace is None:
            return self._wait_in_queue(exchange, ticket)
        span = exchange.trace.start_child('queue', pool=exchange.pool.name)
        try:
            return self._wait_in_queue(exchange, ticket)
        finally:
            span.end()

    def _wait_in_queue(self, exchange: Exchange, ticket: Ticket) -> Decision:
        """Wait in the queue of the pool, for a limited time.

        :raises OwnerMovedError: when the key has another owner by then.
        """
        pool_state = exchange.pool_state
        wake = threading.Event()
        exchange.wake = wake
        with pool_state.lock:
            decision = pool_state.policy.poll(time.monotonic(), ticket)
            if not isinstance(decision, Wait):
                return decision
            pool_state.waiting[ticket] = wake
        if not exchange.is_caller_gone:
            left_s = decision.until - time.monotonic()
            if exchange.key is not None:
                left_s = min(left_s, OWNER_CHECK_INTERVAL_S)
            wake.wait(max(left_s, 0))
        with pool_state.lock:
            pool_state.waiting.pop(ticket, None)
        if self._has_owner_changed(exchange):
            raise OwnerMovedError
        with pool_state.lock:
            return pool_state.policy.poll(time.monotonic(), ticket)

    def _has_owner_changed(self, exchange: Exchange) -> bool:
        """Check whether the owner of a queued request has changed."""
        view = self.published.view
        if exchange.key is None or view is exchange.view or exchange.running:
            return False
        current = view.owner(exchange.pool, exchange.key)
        expected = exchange.owner
        exchange.view = view
        return (
            current is not None
            and expected is not None
            and current.assignment != expected.assignment
        )

    def _send_attempt(self, exchange: Exchange, attempt: Attempt) -> Decision:
        """Send an attempt to its upstream."""
        running = RunningAttempt(
            self.upstreams.pool(attempt.upstream),
            attempt.attempt_id,
            exchange.deadline,
            lambda: self._check_and_mark_sent(exchange, attempt),
        )
        if attempt.hedge:
            running.connect_s = HEDGE_CONNECT_TIMEOUT_S
        exchange.running[attempt.attempt_id] = running
        try:
            running.send(self._make_order(exchange, attempt, running))
        except AttemptError as error:
            return self._handle_failure(exchange, attempt.attempt_id, error)
        except NotPermittedError:
            self.telemetry.events.emit(
                Event.PERMIT_ENDED,
                request=exchange.request_id,
                pool=exchange.pool.name,
            )
            raise
        if not exchange.has_deadline:
            time_limit_s = exchange.deadline - exchange.request.arrived_at
            exchange.deadline = time.monotonic() + time_limit_s
            exchange.has_deadline = True
            running.deadline = exchange.deadline
        return Wait(running.deadline)

    def _check_and_mark_sent(
        self, exchange: Exchange, attempt: Attempt
    ) -> None:
        """Check that an attempt may be sent, and mark it as sent.

        :raises NotPermittedError: when the permit of the order has ended.
        :raises AttemptError: when the attempt was cancelled meanwhile.
        """
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
        pool_state = exchange.pool_state
        with pool_state.lock:
            is_open = pool_state.policy.sent(now, attempt.attempt_id)
        if not is_open or exchange.is_caller_gone:
            raise AttemptError(Failure.CANCELLED)

    def _make_order(
        self,
        exchange: Exchange,
        attempt: Attempt,
        running: RunningAttempt,
    ) -> OutgoingRequest:
        now = time.monotonic()
        headers = dict(exchange.headers)
        headers[ATTEMPT_HEADER] = attempt.attempt_id
        owner = exchange.owner
        if owner is not None:
            headers['oriolearch-shard'] = str(owner.shard)
            headers['oriolearch-epoch'] = str(owner.assignment.epoch)
            if exchange.pool.fencing is Fencing.NONE:
                clock = self.clocks.get(attempt.upstream.name)
                _set_order_deadline(exchange, running, headers, clock)
        if exchange.has_deadline or running.deadline < exchange.deadline:
            left_ms = max(int((running.deadline - now) * 1000), 1)
            headers['oriolearch-deadline-ms'] = str(left_ms)
        if exchange.trace is not None:
            running.span = exchange.trace.start_child(
                'attempt',
                attempt=attempt.attempt_id,
                pool=exchange.pool.name,
                upstream=attempt.upstream.name,
            )
            exchange.trace.inject(running.span, headers)
        head = exchange.request.head
        body: bytes | Iterator[bytes] | None = exchange.request.body
        if body is None:
            body = _read_upload_until_answer(exchange, running)
        elif not body and 'content-length' not in headers:
            body = None
        return OutgoingRequest(head.method, head.target, headers, body)

    def _await_answer(
        self,
        exchange: Exchange,
        ticket: Ticket,
    ) -> Decision | AnswerAndBody:
        """Wait for the first answer, or until a hedge is due."""
        running = list(exchange.running.values())
        hedge = None
        if exchange.is_idempotent and exchange.request.body is not None:
            hedge = self._decide_hedge(exchange, ticket)
        while isinstance(hedge, Wait):
            ready = wait_for_response(running, hedge.until - time.monotonic())
            if ready is not None:
                return self._read_answer(exchange, ready)
            hedge = self._decide_hedge(exchange, ticket)
        if hedge is not None:
            return hedge
        if len(running) == 1:
            return self._read_answer(exchange, running[0])
        ready = wait_for_response(running, exchange.deadline - time.monotonic())
        return self._read_answer(exchange, ready or running[0])

    def _decide_hedge(
        self,
        exchange: Exchange,
        ticket: Ticket,
    ) -> Send | Wait | None:
        if exchange.is_caller_gone:
            return None
        with exchange.pool_state.lock:
            return exchange.pool_state.policy.hedge(time.monotonic(), ticket)

    def _read_answer(
        self,
        exchange: Exchange,
        running: RunningAttempt,
    ) -> Decision | AnswerAndBody:
        body = None
        try:
            answer = running.read_response()
            if answer.length is not None and answer.length <= PIECE_BYTES:
                body = answer.read_all()
        except AttemptError as error:
            return self._handle_failure(exchange, running.attempt_id, error)
        return self._handle_answer(exchange, answer, body)

    def _handle_answer(
        self,
        exchange: Exchange,
        answer: UpstreamResponse,
        body: bytes | None,
    ) -> Decision | AnswerAndBody:
        pool_state = exchange.pool_state
        attempt_id = answer.attempt.attempt_id
        now = time.monotonic()
        with pool_state.lock:
            decision = pool_state.policy.answered(
                now,
                attempt_id,
                answer.status,
                answer.is_not_run,
            )
            if isinstance(decision, Deliver) and body is not None:
                pool_state.policy.body_done(now, attempt_id)
            ticket = exchange.ticket
            superseded = pool_state.policy.cancelled(ticket) if ticket else ()
            pool_state.wake()
        for attempt in superseded:
            self._cancel_attempt(exchange, attempt)
        if isinstance(decision, Deliver):
            if body is not None:
                self._end_attempt(exchange, attempt_id, None)
            return answer, body
        self._end_attempt(exchange, attempt_id, None)
        if answer.status == NOT_OWNER_STATUS and exchange.owner is not None:
            self._log_owner_moved(exchange)
            raise OwnerMovedError
        return decision

    def _log_owner_moved(self, exchange: Exchange) -> None:
        owner = exchange.owner
        if owner is not None:
            self.telemetry.events.emit(
                Event.OWNER_MOVED,
                request=exchange.request_id,
                pool=exchange.pool.name,
                upstream=owner.assignment.owner,
                epoch=owner.assignment.epoch,
            )

    def _cancel_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Cancel an attempt whose answer is not needed any more."""
        self._end_attempt(exchange, attempt.attempt_id, Failure.CANCELLED)
        pool_state = exchange.pool_state
        with pool_state.lock:
            pool_state.policy.failed(
                time.monotonic(),
                attempt.attempt_id,
                Failure.CANCELLED,
            )
            pool_state.wake()

    def _handle_failure(
        self,
        exchange: Exchange,
        attempt_id: str,
        error: AttemptError,
    ) -> Decision:
        running = self._end_attempt(exchange, attempt_id, error.failure)
        if running is not None:
            self._log_failure(exchange, running, error)
        pool_state = exchange.pool_state
        with pool_state.lock:
            decision = pool_state.policy.failed(
                time.monotonic(),
                attempt_id,
                error.failure,
            )
            pool_state.wake()
        return decision

    def _end_attempt(
        self,
        exchange: Exchange,
        attempt_id: str,
        failure: Failure | None,
    ) -> RunningAttempt | None:
        """Remove an attempt; close its connection unless it was released.

        :param failure: how the attempt failed; ``None`` after an answer.
        """
        running = exchange.running.pop(attempt_id, None)
        if running is None:
            return None
        if failure is not None:
            running.cancel(failure)
        running.abandon()
        if failure in _CANCELLED_AT_UPSTREAM and running.is_sent:
            self.upstreams.canceller.submit(running.pool, attempt_id)
        if running.span is not None:
            running.span.set_attribute('outcome', failure or 'answered')
            running.span.end()
        return running

    def _log_failure(
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
        answer: UpstreamResponse,
        body: bytes | None,
    ) -> None:
        """Pass an answer to the caller, without the body if that is long."""
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
            exchange.release_idempotency_key()
            if body:
                request.send(body)
            request.finish()
        except OSError as error:
            raise CallerGoneError from error

    def _stream_body(
        self, exchange: Exchange, answer: UpstreamResponse
    ) -> None:
        running = answer.attempt
        running.use_stall_timeout()
        request = exchange.request
        left = answer_length(answer, request.head.method) or math.inf
        try:
            for piece in answer.pieces():
                left -= len(piece)
                if left <= 0:
                    exchange.release_idempotency_key()
                request.send(piece)
        except AttemptError as error:
            self._handle_failure(exchange, running.attempt_id, error)
            raise AnswerBrokenError from error
        self._end_attempt(exchange, running.attempt_id, None)
        pool_state = exchange.pool_state
        with pool_state.lock:
            pool_state.policy.body_done(time.monotonic(), running.attempt_id)
            pool_state.wake()


def _set_order_deadline(
    exchange: Exchange,
    running: RunningAttempt,
    headers: dict[str, str],
    clock: ServerClockReading | None,
) -> None:
    """Set the deadline of an order to a server without fencing (rule G4).

    :raises NotPermittedError: when there is no clock reading of the server.
    """
    if clock is None:
        raise NotPermittedError('no clock reading of the server')
    now = time.monotonic()
    limit = now + exchange.pool.order_limit_s
    running.deadline = min(running.deadline, limit)
    deadline = clock.deadline(now, running.deadline - now)
    headers['oriolearch-deadline-clock'] = str(deadline)


def _read_upload(
    request: CallerRequest,
    running: RunningAttempt,
) -> Iterator[bytes]:
    """Yield the body of an upload.

    :raises CallerGoneError: when the caller disconnects or stalls.
    :raises RefusedError: when the body is malformed.
    """
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


def _read_upload_until_answer(
    exchange: Exchange,
    running: RunningAttempt,
) -> Iterator[bytes]:
    """Yield the body of an upload until the upstream answers.

    :raises AnsweredEarlyError: when the upstream answers before the end.
    """
    for piece in _read_upload(exchange.request, running):
        exchange.is_upload_consumed = True
        yield piece
        if running.has_early_response():
            raise AnsweredEarlyError
