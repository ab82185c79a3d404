"""The entry of a host: admits the requests of callers and answers them."""

import functools
import itertools
import random
import re
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from http import HTTPStatus
from typing import Any

from oriolearch.adapters.callers import CallerServer
from oriolearch.adapters.dispatch import Dispatcher
from oriolearch.adapters.exchange import (
    AnswerBrokenError,
    CallerGoneError,
    DataPathSettings,
    Exchange,
    PublishedView,
    ServerClockReading,
)
from oriolearch.adapters.fields import request_fields
from oriolearch.adapters.framing import FramingError
from oriolearch.adapters.metrics import render_gauges
from oriolearch.adapters.problems import RefusedError, render_problem
from oriolearch.adapters.requests import CallerRequest
from oriolearch.adapters.telemetry import Telemetry, make_telemetry
from oriolearch.core.errors import (
    InvariantError,
    MissingKeyError,
    NoRouteError,
    RoutingError,
)
from oriolearch.core.model import Document, Pool, PoolKind, Route
from oriolearch.core.policy import Failure
from oriolearch.core.routing import Router, decode_path, extract_key
from oriolearch.core.splitting import KeyCounter
from oriolearch.core.view import Owner, View
from oriolearch.eventlog import Event

RESERVED_PREFIX = '/oriolearch/'
READY_PATH = '/oriolearch/ready'
TIMEOUT_HEADER = 'oriolearch-timeout-ms'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

_POSITIVE_MILLISECONDS = re.compile('0*[1-9][0-9]{0,9}')
_OUTCOME_OK = 'ok'
_OUTCOME_ERROR = 'error'


class Entry:
    """Serves the requests of callers according to the published view.

    :param address: listening address; port 0 selects a free port.
    :param clocks: clock readings of the servers of pools without fencing,
        by name of the server, kept up to date by the daemon.
    :param on_fatal: called with the error when an invariant is broken; it
        must end the process.
    """

    def __init__(
        self,
        address: tuple[str, int],
        published: PublishedView,
        settings: DataPathSettings,
        rng: random.Random,
        telemetry: Telemetry | None = None,
        clocks: Mapping[str, ServerClockReading] | None = None,
        on_fatal: Callable[[InvariantError], None] | None = None,
    ) -> None:
        self.published = published
        self.settings = settings
        self.telemetry = telemetry or make_telemetry(settings.host, rng)
        self.on_fatal = on_fatal
        self.dispatcher = Dispatcher(
            published,
            settings,
            rng,
            self.telemetry,
            clocks if clocks is not None else {},
        )
        self.server = CallerServer(
            address,
            settings.callers,
            self.handle,
            self.refuse,
            self.abort_all,
        )
        self.server.on_log_message = self._report_server
        self.lock = threading.Lock()
        self.router = Router(Document())
        self.key_counter = KeyCounter()
        self.exchanges: dict[str, Exchange] = {}
        self.running_idempotency_keys: set[tuple[str, str]] = set()
        self.id_prefix = f'{settings.host}-{rng.getrandbits(48):012x}'
        self.request_numbers = itertools.count(1)
        self.is_stopped = threading.Event()
        self.watch_thread = threading.Thread(
            target=self._watch_running,
            name='watch',
            daemon=True,
        )

    def open(self) -> tuple[str, int]:
        """Start serving and return the listening address."""
        self.watch_thread.start()
        host, port = self.server.open()
        self.telemetry.events.emit(
            Event.ENTRY_STARTED,
            address=f'{host}:{port}',
        )
        return host, port

    def drain(self, drain_s: float, limit_s: float) -> None:
        """Shut down gracefully, see :meth:`CallerServer.drain`."""
        events = self.telemetry.events
        events.emit(Event.DRAIN_STARTED, drain_s=drain_s, limit_s=limit_s)
        self.server.drain(drain_s, limit_s)
        self.is_stopped.set()
        self.watch_thread.join()
        self.dispatcher.upstreams.close()
        self.telemetry.tracing.close()
        events.emit(Event.DRAIN_ENDED)

    def update(
        self,
        cold: Mapping[str, Mapping[str, str]],
        group: Mapping[str, Mapping[str, int]],
        hints: Mapping[str, Mapping[str, Any]],
    ) -> None:
        """Pass the reports of other hosts to the pool policies at each sync.

        :param cold: the dispatching host of each cold upstream, by pool.
        :param group: running requests of the whole group on each upstream,
            by pool.
        :param hints: health reports on each upstream, by pool.
        """
        document = self.published.view.document
        for pool in document.pools.values():
            pool_state = self.dispatcher.pool_state(pool)
            pool_state.cold = cold.get(pool.name, {})
            pool_state.group = group.get(pool.name, {})
            pool_state.hints = hints.get(pool.name, {})
            self.dispatcher.update(pool_state, pool.name, document)
        self.dispatcher.upstreams.retain(
            upstream
            for pool in document.pools.values()
            for upstream in pool.upstreams
        )

    def outstanding(self) -> dict[str, int]:
        """Return the number of running requests on each ``pool/upstream``."""
        counts = {}
        for name, pool_state in tuple(self.dispatcher.pool_states.items()):
            with pool_state.lock:
                counts_by_upstream = pool_state.policy.outstanding()
            counts.update(
                {
                    f'{name}/{up}': counts_by_upstream[up]
                    for up in counts_by_upstream
                }
            )
        return counts

    def cold(self) -> frozenset[str]:
        """Return each ``pool/upstream`` that this host considers cold.

        An upstream dispatched by this host is included until its slow start
        has ended.
        """
        now = time.monotonic()
        cold_names: set[str] = set()
        for name, pool_state in tuple(self.dispatcher.pool_states.items()):
            with pool_state.lock:
                cold = set(pool_state.policy.found_cold(now))
                warm = pool_state.policy.found_warm()
            own = self.settings.host
            cold.update(
                up for up, host in pool_state.cold.items() if host == own
            )
            cold_names.update(f'{name}/{up}' for up in cold.difference(warm))
        return frozenset(cold_names)

    def running_orders(self) -> list[tuple[View, Owner]]:
        """Return the view and the owner of each running order, for rule G4."""
        return [
            (exchange.view, exchange.owner)
            for exchange in tuple(self.exchanges.values())
            if exchange.view is not None and exchange.owner is not None
        ]

    def metrics(self) -> str:
        """Render the metrics in the text exposition format."""
        outstanding = [
            (dict(zip(('pool', 'upstream'), name.split('/', 1))), count)
            for name, count in sorted(self.outstanding().items())
        ]
        lines = [
            *self.telemetry.latencies.render(),
            *render_gauges(
                'oriolearch_outstanding_requests',
                'Requests running on each upstream.',
                outstanding,
            ),
            *render_gauges(
                'oriolearch_running_requests',
                'Requests being served.',
                [({}, len(self.exchanges))],
            ),
            *render_gauges(
                'oriolearch_ready',
                'Whether the balancer should send callers here.',
                [({}, int(self.is_ready))],
            ),
            *render_gauges(
                'oriolearch_view_age_seconds',
                'Time since the last answered sync was asked.',
                [({}, time.monotonic() - self.published.view.refreshed)],
            ),
        ]
        return '\n'.join((*lines, ''))

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this host."""
        document = self.published.view.document
        return not (
            self.server.is_draining
            or not document.version
            or self.settings.zone in document.zones_out
            or self.settings.host in document.hosts_out
        )

    def abort_all(self) -> None:
        """Abort all running requests, when a shutdown exceeds its limit."""
        exchanges = tuple(self.exchanges.values())
        self.telemetry.events.emit(
            Event.DRAIN_OVERRUN,
            running=len(exchanges),
        )
        for exchange in exchanges:
            exchange.abort(Failure.CALLER_GONE)
            with suppress(OSError):
                exchange.request.conn.socket.shutdown(socket.SHUT_RDWR)

    def refuse(self, request: CallerRequest, error: FramingError) -> None:
        """Refuse a request that is malformed, late or over capacity."""
        self.telemetry.events.emit(
            Event.CALLER_REFUSED,
            reason=error.reason,
            remote=request.remote_address,
        )
        request.keep_alive = False
        is_overload = error.status == HTTPStatus.SERVICE_UNAVAILABLE
        _send_refusal(
            request,
            RefusedError(
                error.status,
                'overload' if is_overload else 'malformed',
                error.reason,
                retry_after_s=1 if is_overload else None,
            ),
        )

    def handle(self, request: CallerRequest) -> None:
        """Answer a request."""
        if request.head.target.startswith(RESERVED_PREFIX):
            self._answer_reserved_path(request)
            return
        try:
            exchange = self._admit(request)
        except RefusedError as refusal:
            self._log_and_send_refusal(request, refusal, '', '')
            return
        except Exception as error:
            self._report_error(error)
            _send_refusal(request, _internal_error(may_have_run=False))
            return
        self.exchanges[exchange.request_id] = exchange
        outcome = self._run_step(exchange, self.dispatcher.serve)
        if exchange.answer is None:
            self._close_exchange(exchange, outcome)
        else:
            request.rest = functools.partial(self._send_rest, exchange)

    def _send_rest(self, exchange: Exchange) -> None:
        """Send the remaining body of a long answer."""
        outcome = self._run_step(exchange, self.dispatcher.stream)
        self._close_exchange(exchange, outcome)

    def _run_step(
        self,
        exchange: Exchange,
        step: Callable[[Exchange], int],
    ) -> str:
        """Run a step of a request and return the outcome for the metrics."""
        request = exchange.request
        pool = exchange.pool.name
        try:
            status = step(exchange)
        except RefusedError as refusal:
            self._end_attempts(exchange)
            request_id = exchange.request_id
            self._log_and_send_refusal(request, refusal, request_id, pool)
            return f'refused-{refusal.outcome}'
        except (CallerGoneError, AnswerBrokenError) as error:
            return error.outcome
        except Exception as error:
            self._report_error(error)
            _send_refusal(request, _internal_error(may_have_run=True))
            return _OUTCOME_ERROR
        is_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return _OUTCOME_ERROR if is_error else _OUTCOME_OK

    def _report_error(self, error: Exception) -> None:
        events = self.telemetry.events
        if not isinstance(error, InvariantError):
            events.emit(Event.REQUEST_FAILED, error=repr(error))
            return
        events.emit(
            Event.INVARIANT_BROKEN,
            invariant=error.invariant,
            detail=error.detail,
        )
        if self.on_fatal is not None:
            self.on_fatal(error)

    def _report_server(self, message: str) -> None:
        self.telemetry.events.emit(Event.CALLER_ERROR, text=message)

    def _end_attempts(self, exchange: Exchange) -> None:
        try:
            self.dispatcher.close(exchange)
        except InvariantError as error:
            self._report_error(error)
        exchange.release_idempotency_key()

    def _close_exchange(self, exchange: Exchange, outcome: str) -> None:
        self._end_attempts(exchange)
        # Only after its attempts have ended, since running_orders must list
        # them until then.
        self.exchanges.pop(exchange.request_id, None)
        seconds = time.monotonic() - exchange.request.arrived_at
        pool = exchange.pool.name
        self.telemetry.latencies.record(pool, outcome, seconds)
        if exchange.trace is not None:
            exchange.trace.end(outcome=outcome, pool=pool)

    def _answer_reserved_path(self, request: CallerRequest) -> None:
        if request.head.target == READY_PATH and self.is_ready:
            request.start(HTTPStatus.OK, [('content-type', 'text/plain')], 6)
            request.send(b'ready\n')
            request.finish()
            return
        if request.head.target == READY_PATH:
            refusal = RefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'not-ready',
                'this host takes no new work',
            )
        else:
            refusal = RefusedError(
                HTTPStatus.NOT_FOUND,
                'no-route',
                f'paths under {RESERVED_PREFIX} are reserved',
            )
        _send_refusal(request, refusal)

    def _log_and_send_refusal(
        self,
        request: CallerRequest,
        refusal: RefusedError,
        request_id: str,
        pool: str,
    ) -> None:
        self.telemetry.events.emit(
            Event.REQUEST_REFUSED,
            request=request_id,
            pool=pool,
            kind=refusal.kind,
            outcome=str(refusal.outcome),
        )
        _send_refusal(request, refusal)

    def _admit(self, request: CallerRequest) -> Exchange:
        """Determine the route, the key and the deadline of a request."""
        head = request.head
        try:
            route, pool, key = self._route(request)
        except RoutingError as error:
            raise _routing_refusal(error) from error
        exchange = Exchange(
            request,
            route,
            pool,
            self.dispatcher.pool_state(pool),
            f'{self.id_prefix}-{next(self.request_numbers)}',
        )
        limit_s = pool.timeout_s if route.timeout_s is None else route.timeout_s
        timeout_ms = head.headers.get(TIMEOUT_HEADER)
        exchange.deadline = request.arrived_at + _timeout_s(timeout_ms, limit_s)
        exchange.has_deadline = not request.is_upload or timeout_ms is not None
        exchange.key = key
        if key is not None:
            self.key_counter.add(pool.name, key)
        exchange.headers = request_fields(request)
        if IDEMPOTENCY_KEY_HEADER in head.headers:
            self._claim_idempotency_key(
                exchange, (pool.name, head.headers[IDEMPOTENCY_KEY_HEADER])
            )
        exchange.trace = self.telemetry.tracing.start_trace(head.headers)
        return exchange

    def _route(self, request: CallerRequest) -> tuple[Route, Pool, str | None]:
        head = request.head
        document = self.published.view.document
        router = self.router
        if router.document is not document:
            router = Router(document)
            self.router = router
        path = decode_path(head.target.partition('?')[0])
        host = head.headers.get('host', '')
        route, pool = router.match(host, head.method, path)
        if pool.kind is PoolKind.PLAIN:
            return route, pool, None
        return route, pool, extract_key(route, path, head.headers)

    def _claim_idempotency_key(
        self, exchange: Exchange, idempotency_key: tuple[str, str]
    ) -> None:
        """Register the ``Idempotency-Key`` of a request until it ends.

        :raises RefusedError: when a request with the same key is running.
        """
        with self.lock:
            if idempotency_key in self.running_idempotency_keys:
                raise RefusedError(
                    HTTPStatus.CONFLICT,
                    'duplicate',
                    'a request with this Idempotency-Key is running',
                )
            self.running_idempotency_keys.add(idempotency_key)
        exchange.claimed_keys = self.running_idempotency_keys
        exchange.idempotency_key = idempotency_key

    def _watch_running(self) -> None:
        """Abort requests whose caller disconnected or whose deadline passed."""
        while not self.is_stopped.wait(self.settings.watch_period_s):
            try:
                self._check_running_requests()
            except Exception as error:
                self._report_error(error)

    def _check_running_requests(self) -> None:
        exchanges = [
            exchange
            for exchange in tuple(self.exchanges.values())
            if not exchange.is_streaming
        ]
        for exchange in _disconnected(exchanges):
            exchange.abort(Failure.CALLER_GONE)
        now = time.monotonic()
        for exchange in exchanges:
            if exchange.has_deadline and now > exchange.deadline:
                exchange.abort(Failure.TIMEOUT)


def _disconnected(exchanges: list[Exchange]) -> Iterator[Exchange]:
    """Yield the requests whose caller closed its side of the connection."""
    poll = select.poll()
    by_fd = {}
    for exchange in exchanges:
        fd = exchange.request.conn.socket.fileno()
        if fd >= 0:
            by_fd[fd] = exchange
            poll.register(fd, select.POLLRDHUP)
    for fd, _ in poll.poll(0) if by_fd else ():
        yield by_fd[fd]


def _timeout_s(timeout_ms: str | None, limit_s: float) -> float:
    if timeout_ms is None:
        return limit_s
    if not _POSITIVE_MILLISECONDS.fullmatch(timeout_ms):
        raise RefusedError(
            HTTPStatus.BAD_REQUEST,
            'bad-timeout',
            f'{TIMEOUT_HEADER} must be a positive number of milliseconds',
        )
    return min(int(timeout_ms) / 1000, limit_s)


def _routing_refusal(error: RoutingError) -> RefusedError:
    if not isinstance(error, NoRouteError):
        is_key = isinstance(error, MissingKeyError)
        kind = 'missing-key' if is_key else 'bad-path'
        return RefusedError(HTTPStatus.BAD_REQUEST, kind, str(error))
    if error.allowed:
        return RefusedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            'method-not-allowed',
            str(error),
            fields=[('allow', ', '.join(error.allowed))],
        )
    return RefusedError(HTTPStatus.NOT_FOUND, 'no-route', str(error))


def _internal_error(may_have_run: bool) -> RefusedError:
    return RefusedError(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'internal',
        'the router met an error',
        may_have_run,
    )


def _send_refusal(request: CallerRequest, refusal: RefusedError) -> None:
    """Send a refusal, unless an answer has begun already.

    An answer that has begun is left incomplete.
    """
    if request.is_answer_started:
        return
    body, fields = render_problem(refusal)
    with suppress(OSError):
        request.start(refusal.status, fields, len(body))
        request.send(b'' if request.head.method == 'HEAD' else body)
        request.finish()
