"""The entry: admits requests of callers and answers them."""

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
    EntrySettings,
    Exchange,
    Published,
    ServerClock,
)
from oriolearch.adapters.fields import request_fields
from oriolearch.adapters.framing import FramingError
from oriolearch.adapters.metrics import render_gauges
from oriolearch.adapters.problems import RefusedError, problem
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
from oriolearch.core.routing import Router, extract_key, plain_path
from oriolearch.core.splitting import KeyCounter
from oriolearch.eventlog import Event
from oriolearch.core.view import Owner, View

OWN_PREFIX = '/oriolearch/'
READY_PATH = '/oriolearch/ready'
TIMEOUT_HEADER = 'oriolearch-timeout-ms'
KEY_HEADER = 'idempotency-key'

_MILLIS = re.compile('0*[1-9][0-9]{0,9}')
_ANSWERED_OK = 'ok'
_ANSWERED_ERROR = 'error'


class Entry:
    """Serves callers by the published view.

    :param address: where callers connect; port 0 takes a free one.
    :param clocks: clock readings of the servers of pools without fencing,
        by name of the server, kept up to date by the daemon.
    :param on_fatal: told of a broken invariant; the process must end.
    """

    def __init__(
        self,
        address: tuple[str, int],
        published: Published,
        settings: EntrySettings,
        rng: random.Random,
        telemetry: Telemetry | None = None,
        clocks: Mapping[str, ServerClock] | None = None,
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
            self.break_all,
        )
        self.server.report = self._report_server
        self.lock = threading.Lock()
        self.router = Router(Document())
        self.key_counter = KeyCounter()
        self.exchanges: dict[str, Exchange] = {}
        self.claims: set[tuple[str, str]] = set()
        self.id_prefix = f'{settings.host}-{rng.getrandbits(48):012x}'
        self.numbers = itertools.count(1)
        self.is_stopped = threading.Event()
        self.watch = threading.Thread(
            target=self._watch,
            name='watch',
            daemon=True,
        )

    def open(self) -> tuple[str, int]:
        """Start to serve; give the address."""
        self.watch.start()
        host, port = self.server.open()
        self.telemetry.events.emit(
            Event.ENTRY_STARTED,
            address=f'{host}:{port}',
        )
        return host, port

    def drain(self, drain_s: float, limit_s: float) -> None:
        """Stop gracefully, see :meth:`CallerServer.drain`."""
        events = self.telemetry.events
        events.emit(Event.DRAIN_STARTED, drain_s=drain_s, limit_s=limit_s)
        self.server.drain(drain_s, limit_s)
        self.is_stopped.set()
        self.watch.join()
        self.dispatcher.upstreams.close()
        self.telemetry.tracing.close()
        events.emit(Event.DRAIN_ENDED)

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
            gate = self.dispatcher.gate(pool)
            gate.cold = cold.get(pool.name, {})
            gate.group = group.get(pool.name, {})
            gate.hints = hints.get(pool.name, {})
            self.dispatcher.update(gate, pool.name, document)
        self.dispatcher.upstreams.keep(
            upstream
            for pool in document.pools.values()
            for upstream in pool.upstreams
        )

    def outstanding(self) -> dict[str, int]:
        """Count the running requests on each ``pool/upstream``."""
        counts = {}
        for name, gate in tuple(self.dispatcher.gates.items()):
            with gate.lock:
                busy = gate.policy.outstanding()
            counts.update({f'{name}/{up}': busy[up] for up in busy})
        return counts

    def cold(self) -> frozenset[str]:
        """Name each ``pool/upstream`` that this host finds to be cold.

        One in this host's charge stays so until its ramp has ended.
        """
        now = time.monotonic()
        found: set[str] = set()
        for name, gate in tuple(self.dispatcher.gates.items()):
            with gate.lock:
                cold = set(gate.policy.found_cold(now))
                warm = gate.policy.found_warm()
            own = self.settings.host
            cold.update(up for up, host in gate.cold.items() if host == own)
            found.update(f'{name}/{up}' for up in cold.difference(warm))
        return frozenset(found)

    def orders(self) -> list[tuple[View, Owner]]:
        """Give the view and owner of each running order, for rule G4."""
        return [
            (exchange.view, exchange.owner)
            for exchange in tuple(self.exchanges.values())
            if exchange.view is not None and exchange.owner is not None
        ]

    def metrics(self) -> str:
        """Render the metrics in the text format for scraping."""
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
        exchanges = tuple(self.exchanges.values())
        self.telemetry.events.emit(
            Event.DRAIN_OVERRUN,
            running=len(exchanges),
        )
        for exchange in exchanges:
            exchange.break_off(Failure.CALLER_GONE)
            with suppress(OSError):
                exchange.request.conn.socket.shutdown(socket.SHUT_RDWR)

    def refuse(self, request: CallerRequest, error: FramingError) -> None:
        """Answer a request that is malformed or has no place."""
        self.telemetry.events.emit(
            Event.CALLER_REFUSED,
            reason=error.reason,
            remote=request.remote_address,
        )
        request.keep_alive = False
        is_overload = error.status == HTTPStatus.SERVICE_UNAVAILABLE
        _answer_refusal(
            request,
            RefusedError(
                error.status,
                'overload' if is_overload else 'malformed',
                error.reason,
                retry_after_s=1 if is_overload else None,
            ),
        )

    def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        if request.head.target.startswith(OWN_PREFIX):
            self._answer_own(request)
            return
        try:
            exchange = self._admit(request)
        except RefusedError as refusal:
            self._answer_refused(request, refusal, '', '')
            return
        except Exception as error:
            self._report_error(error)
            _answer_refusal(request, _unexpected(maybe_run=False))
            return
        self.exchanges[exchange.request_id] = exchange
        outcome = self._run(exchange, self.dispatcher.serve)
        if exchange.answer is None:
            self._forget(exchange, outcome)
        else:
            request.rest = functools.partial(self._finish, exchange)

    def _finish(self, exchange: Exchange) -> None:
        """Send the rest of a long answer."""
        outcome = self._run(exchange, self.dispatcher.stream)
        self._forget(exchange, outcome)

    def _run(
        self,
        exchange: Exchange,
        step: Callable[[Exchange], int],
    ) -> str:
        """Do a step of a request; gives its outcome for the metrics."""
        request = exchange.request
        pool = exchange.pool.name
        try:
            status = step(exchange)
        except RefusedError as refusal:
            request_id = exchange.request_id
            self._answer_refused(request, refusal, request_id, pool)
            return f'refused-{refusal.outcome}'
        except (CallerGoneError, AnswerBrokenError) as error:
            return error.outcome
        except Exception as error:
            self._report_error(error)
            _answer_refusal(request, _unexpected(maybe_run=True))
            return _ANSWERED_ERROR
        is_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return _ANSWERED_ERROR if is_error else _ANSWERED_OK

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

    def _forget(self, exchange: Exchange, outcome: str) -> None:
        try:
            self.dispatcher.close(exchange)
        except InvariantError as error:
            self._report_error(error)
        # Not before its attempts have ended: :meth:`orders` must show them.
        self.exchanges.pop(exchange.request_id, None)
        if exchange.claim is not None:
            self.claims.discard(exchange.claim)
        seconds = time.monotonic() - exchange.request.arrived
        pool = exchange.pool.name
        self.telemetry.latencies.record(pool, outcome, seconds)
        if exchange.trace is not None:
            exchange.trace.end(outcome=outcome, pool=pool)

    def _answer_own(self, request: CallerRequest) -> None:
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
                f'paths under {OWN_PREFIX} are reserved',
            )
        _answer_refusal(request, refusal)

    def _answer_refused(
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
        _answer_refusal(request, refusal)

    def _admit(self, request: CallerRequest) -> Exchange:
        """Find the route, the key and the deadline of a request."""
        head = request.head
        try:
            route, pool, key = self._route(request)
        except RoutingError as error:
            raise _refused_routing(error) from error
        exchange = Exchange(
            request,
            route,
            pool,
            self.dispatcher.gate(pool),
            f'{self.id_prefix}-{next(self.numbers)}',
        )
        limit_s = pool.timeout_s if route.timeout_s is None else route.timeout_s
        given = head.headers.get(TIMEOUT_HEADER)
        exchange.deadline = request.arrived + _timeout_s(given, limit_s)
        exchange.is_limited = not request.is_upload or given is not None
        exchange.key = key
        if key is not None:
            self.key_counter.add(pool.name, key)
        exchange.headers = request_fields(request)
        if KEY_HEADER in head.headers:
            self._claim(exchange, (pool.name, head.headers[KEY_HEADER]))
        exchange.trace = self.telemetry.tracing.begin(head.headers)
        return exchange

    def _route(self, request: CallerRequest) -> tuple[Route, Pool, str | None]:
        head = request.head
        document = self.published.view.document
        router = self.router
        if router.document is not document:
            router = Router(document)
            self.router = router
        path = plain_path(head.target.partition('?')[0])
        host = head.headers.get('host', '')
        route, pool = router.match(host, head.method, path)
        if pool.kind is PoolKind.PLAIN:
            return route, pool, None
        return route, pool, extract_key(route, path, head.headers)

    def _claim(self, exchange: Exchange, claim: tuple[str, str]) -> None:
        """Refuse a request whose ``Idempotency-Key`` is in flight."""
        with self.lock:
            if claim in self.claims:
                raise RefusedError(
                    HTTPStatus.CONFLICT,
                    'duplicate',
                    'a request with this Idempotency-Key is running',
                )
            self.claims.add(claim)
        exchange.claim = claim

    def _watch(self) -> None:
        """End requests whose caller is gone or whose deadline has passed."""
        while not self.is_stopped.wait(self.settings.watch_period_s):
            try:
                self._check_running()
            except Exception as error:
                self._report_error(error)

    def _check_running(self) -> None:
        exchanges = [
            exchange
            for exchange in tuple(self.exchanges.values())
            if not exchange.is_streaming
        ]
        for gone in _gone(exchanges):
            gone.break_off(Failure.CALLER_GONE)
        now = time.monotonic()
        for exchange in exchanges:
            if exchange.is_limited and now > exchange.deadline:
                exchange.break_off(Failure.TIMEOUT)


def _gone(exchanges: list[Exchange]) -> Iterator[Exchange]:
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


def _timeout_s(given: str | None, limit_s: float) -> float:
    if given is None:
        return limit_s
    if not _MILLIS.fullmatch(given):
        raise RefusedError(
            HTTPStatus.BAD_REQUEST,
            'bad-timeout',
            f'{TIMEOUT_HEADER} must be a positive number of milliseconds',
        )
    return min(int(given) / 1000, limit_s)


def _refused_routing(error: RoutingError) -> RefusedError:
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


def _unexpected(maybe_run: bool) -> RefusedError:
    return RefusedError(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'internal',
        'the router met an error',
        maybe_run,
    )


def _answer_refusal(request: CallerRequest, refusal: RefusedError) -> None:
    """Answer with a refusal; an answer that has begun is broken off."""
    if request.is_started:
        return
    body, fields = problem(refusal)
    with suppress(OSError):
        request.start(refusal.status, fields, len(body))
        request.send(b'' if request.head.method == 'HEAD' else body)
        request.finish()
