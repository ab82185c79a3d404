"""Base of the keyed and plain upstream stand-ins: slots, queue, faults."""

import math
import threading
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from oriolearch.clock import RealClock, wait_on
from oriolearch.core.errors import OriolearchError
from oriolearch.ports import Clock
from oriolearch.standins.faults import FaultKind, FaultSet
from oriolearch.standins.server import (
    CHUNK_BYTES,
    Fate,
    LoopbackServer,
    Request,
    Response,
)

ATTEMPT = 'oriolearch-attempt'
REQUEST = 'oriolearch-request'
DEADLINE_MS = 'oriolearch-deadline-ms'
DEADLINE_CLOCK = 'oriolearch-deadline-clock'
NOT_RUN = 'oriolearch-not-run'
REASON = 'oriolearch-reason'
CLOCK = 'oriolearch-clock'

MAX_CANCELLED_IDS = 1024  # ids of attempts that may arrive after their cancel


class Reason(StrEnum):
    """Reason why an order was refused or aborted."""

    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'
    SHED = 'shed'
    COLD = 'cold'
    DRAINING = 'draining'
    CONNECTIONS = 'connections'
    NOT_OWNER = 'not-owner'


class RefusedError(OriolearchError):
    """Raised when an order is refused before it runs."""

    def __init__(
        self,
        reason: Reason,
        status: int = HTTPStatus.SERVICE_UNAVAILABLE,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


class _StoppingError(OriolearchError):
    """Raised in waiting requests when the stand-in stops.

    Their connections are closed without an answer.
    """


@dataclass(slots=True, eq=False)
class Order:
    """A request that waits or runs in the stand-in.

    :param deadline: deadline by the stand-in's clock.
    :param size: size of the answer in bytes, from ``?bytes=``; ``None`` to
        echo the body of the request.
    :param service_s: service time in seconds, from ``?service_ms=``;
        ``None`` for that of the limits.
    :param condition: notified when the order's state changes.
    """

    request: Request
    attempt: str
    request_id: str
    body: bytes
    deadline: float
    size: int | None
    service_s: float | None
    condition: threading.Condition
    has_slot: bool = False
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """A ledger entry: one execution of an order.

    :param executed_at: time of the execution by the stand-in's clock.
    """

    attempt: str
    request: str
    executed_at: float
    shard: int | None = None
    epoch: int | None = None


@dataclass(slots=True)
class Limits:
    """Capacity of an upstream.

    :param queue_limit: largest number of orders that wait for a slot;
        ``None`` for no limit.
    :param service_s: default service time in seconds.
    """

    slots: int = 2
    connections: int = 110
    queue_limit: int | None = None
    service_s: float = 0


@dataclass(slots=True)
class _Queue:
    """Running orders, and waiting ones in order of arrival."""

    running: set[Order] = field(default_factory=set)
    waiting: deque[Order] = field(default_factory=deque)


class UpstreamStandin:
    """An upstream server on a loopback port; base of both kinds.

    All state is guarded by ``lock``, which is held when the methods that
    subclasses override are called. Only ``protocol_handler`` is called without
    it; the handler that it returns is called with the lock held.

    :ivar changed: notified when faults change or an order leaves.
    :ivar ledger: executions by key; kept over restarts.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        limits: Limits | None = None,
    ) -> None:
        self.clock: Clock = clock or RealClock()
        self.limits = limits or Limits()
        self.server = LoopbackServer(
            self.respond,
            port,
            self.limits.connections,
        )
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.faults = FaultSet()
        self.queue = _Queue()
        self.cancelled: deque[str] = deque(maxlen=MAX_CANCELLED_IDS)
        self.ledger: dict[str, list[Run]] = {}
        self.counts: Counter[str] = Counter()
        self.is_stopping = False

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self.server.address

    def start(self) -> None:
        """Start to serve, with the ledger and counts of an earlier run."""
        with self.lock:
            self.is_stopping = False
            self.faults = FaultSet()
            self.queue = _Queue()
            self.reset()
        self.server.start()

    def stop(self) -> None:
        """Abort all requests and close the port, as a crash would."""
        with self.lock:
            self.is_stopping = True
            self._notify_all()
        self.server.stop()

    def set_faults(self, faults: Mapping[str, Any]) -> None:
        """Set faults by name; ``resume`` ends a freeze, see FaultKind."""
        now = self.clock.monotonic()
        with self.lock:
            for name, value in faults.items():
                self.set_fault(name, value, now)
            self._notify_all()

    def set_fault(self, name: str, value: Any, now: float) -> None:
        """Set one fault; subclasses add their own names."""
        if name == 'resume':
            self.faults.set(FaultKind.FREEZE, None, now)
        else:
            self.faults.set(FaultKind(name), value, now)

    def reset(self) -> None:
        """Clear the state that a restarted process loses."""

    def check_arrival(self, order: Order) -> None:
        """Raise RefusedError to refuse an order on arrival."""

    def check_start(self, order: Order) -> None:
        """Raise RefusedError to refuse an order that has been given a slot."""

    def execute(self, order: Order) -> Run:
        """Execute an order and return its ledger entry."""
        return Run(order.attempt, order.request_id, self.clock.monotonic())

    def key_of(self, request: Request) -> str:
        """Return the ledger key of a request."""
        return request.path

    def slots(self) -> int:
        """Return the number of orders that may run now."""
        return self.limits.slots

    def service_s(self, order: Order) -> float:
        """Return the service time of an order in seconds."""
        service_s = order.service_s
        return self.limits.service_s if service_s is None else service_s

    def record_load(self) -> None:
        """Record the load after the running or waiting orders changed."""

    def record_completion(self, order: Order) -> None:
        """Record that an order was completed."""

    def protocol_handler(
        self, request: Request
    ) -> Callable[[], Response] | None:
        """Return the handler of a call of the server protocol.

        Return ``None`` when the request is an order.
        """
        is_cancel = request.method == 'POST' and len(request.segments) == 2
        if is_cancel and request.segments[0] == 'cancel':
            return lambda: self.cancel(request.segments[1])
        return None

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        try:
            return self._control(request) or self._serve(request)
        except ValueError as invalid:
            response = Response.from_json(
                {'error': str(invalid)},
                HTTPStatus.BAD_REQUEST,
            )
            response.headers.update(_id_headers(request))
            return response
        except _StoppingError:
            return Response.without_answer()

    def cancel(self, attempt: str) -> Response:
        """Cancel an attempt, which may also arrive later."""
        self.cancelled.append(attempt)
        state = 'unknown'
        for order in self._orders():
            if order.attempt == attempt:
                state = 'running' if order.has_slot else 'queued'
                order.is_cancelled = True
                order.condition.notify_all()
        self.counts['cancels'] += 1
        return Response.from_json({'attempt': attempt, 'state': state})

    def _control(self, request: Request) -> Response | None:
        """Answer a control call, which no fault affects.

        Return ``None`` for any other request.
        """
        match request.method, request.segments:
            case 'POST', ('faults',):
                faults = request.json()
                if not isinstance(faults, dict):
                    raise ValueError('faults must be a JSON object')
                self.set_faults(faults)
                return Response.from_json(self.faults.to_json())
            case 'GET', ('faults',):
                return Response.from_json(self.faults.to_json())
            case 'GET', ('ledger',):
                return self._shown_ledger(request.query.get('key'))
            case 'GET', ('stats',):
                with self.lock:
                    return Response.from_json(dict(self.counts))
        return None

    def _shown_ledger(self, key: str | None) -> Response:
        with self.lock:
            shown = {
                name: [
                    {
                        'attempt': run.attempt,
                        'request': run.request,
                        'at': run.executed_at,
                        'shard': run.shard,
                        'epoch': run.epoch,
                    }
                    for run in runs
                ]
                for name, runs in self.ledger.items()
                if key is None or name == key
            }
        return Response.from_json(shown)

    def _serve(self, request: Request) -> Response:
        answer_protocol = self.protocol_handler(request)
        is_protocol = answer_protocol is not None
        with self.lock:
            self._freeze(request, is_protocol)
            if self._consume_fault(
                FaultKind.RESET_BEFORE, request, is_protocol
            ):
                return Response.without_answer()
        if answer_protocol is not None:
            return self._answer_protocol(request, answer_protocol)
        body = request.body()
        if body is None:
            return Response.without_answer()
        with self.lock:
            return self._order(request, body)

    def _freeze(self, request: Request, is_protocol: bool) -> None:
        """Block a request while a freeze affects it."""
        is_affected = self._consume_fault(
            FaultKind.FREEZE, request, is_protocol
        )
        if is_affected or self.frozen_until() is not None:
            self.counts['held'] += 1
        while is_affected and FaultKind.FREEZE in self.faults.faults:
            self.wait(self.changed)
        self._wait_while_frozen()

    def _wait_while_frozen(self) -> None:
        """Block while the whole stand-in is frozen."""
        until = self.frozen_until()
        while until is not None:
            self.wait(self.changed, until)
            until = self.frozen_until()

    def frozen_until(self) -> float | None:
        """Return the end of a freeze of the whole stand-in.

        Return ``None`` when the whole stand-in isn't frozen.
        """
        fault = self.faults.faults.get(FaultKind.FREEZE)
        if fault is None or fault.remaining is not None or fault.body.path:
            return None
        if fault.ends_at is None:
            return math.inf
        is_over = self.clock.monotonic() >= fault.ends_at
        return None if is_over else fault.ends_at

    def wait(
        self,
        condition: threading.Condition,
        until: float = math.inf,
    ) -> None:
        """Wait for a notification, at most until a time of the clock.

        :raises _StoppingError: when the stand-in stops.
        """
        if self.is_stopping:
            raise _StoppingError
        wait_on(self.clock, condition, until)
        if self.is_stopping:
            raise _StoppingError

    def _consume_fault(
        self,
        kind: FaultKind,
        request: Request,
        is_protocol: bool = False,
    ) -> bool:
        now = self.clock.monotonic()
        fault = self.faults.consume(kind, request.path, is_protocol, now)
        return fault is not None

    def _answer_protocol(
        self,
        request: Request,
        answer: Callable[[], Response],
    ) -> Response:
        with self.lock:
            response = answer()
            self._wait_while_frozen()
            if self._consume_fault(FaultKind.RESET_AFTER_RUN, request, True):
                return Response.without_answer()
            if self._consume_fault(FaultKind.CUT_ANSWER, request, True):
                response.fate = Fate.CUT
        return response

    def _order(self, request: Request, body: bytes) -> Response:
        self._wait_while_frozen()
        self.counts['received'] += 1
        order = self._new_order(request, body)
        try:
            self._enqueue(order)
            self._await_slot(order)
        except RefusedError as refused:
            return self._refusal(refused, order)
        try:
            return self._run(order)
        except RefusedError as refused:
            return self._refusal(refused, order)
        finally:
            self._release(order)

    def _new_order(self, request: Request, body: bytes) -> Order:
        """Return an order from a request; relative deadlines start here.

        A frozen process reads ``oriolearch-deadline-ms`` only after the
        freeze. Only a deadline in its own clock, which is in
        ``oriolearch-deadline-clock``, rejects orders from before.
        """
        remaining_ms = _float_header(request, DEADLINE_MS)
        deadline = min(
            self.clock.monotonic() + remaining_ms / 1000,
            _float_header(request, DEADLINE_CLOCK),
        )
        size = request.query.get('bytes')
        service_ms = request.query.get('service_ms')
        return Order(
            request,
            request.headers.get(ATTEMPT, ''),
            request.headers.get(REQUEST, ''),
            body,
            deadline,
            None if size is None else int(size),
            None if service_ms is None else float(service_ms) / 1000,
            threading.Condition(self.lock),
        )

    def _enqueue(self, order: Order) -> None:
        if order.request.connections > self.limits.connections:
            raise RefusedError(Reason.CONNECTIONS)
        if order.attempt in self.cancelled:
            raise RefusedError(Reason.CANCELLED)
        self.check_arrival(order)
        limit = self.limits.queue_limit
        is_full = limit is not None and len(self.queue.waiting) >= limit
        if is_full and len(self.queue.running) >= self.slots():
            raise RefusedError(Reason.SHED)
        self.queue.waiting.append(order)
        self._fill_slots()

    def _fill_slots(self) -> None:
        queue = self.queue
        while queue.waiting and len(queue.running) < self.slots():
            order = queue.waiting.popleft()
            order.has_slot = True
            queue.running.add(order)
            order.condition.notify_all()
        running = len(queue.running)
        self.counts['peak_running'] = max(
            self.counts['peak_running'],
            running,
        )
        self.record_load()

    def _await_slot(self, order: Order) -> None:
        try:
            while not order.has_slot:
                self._wait_while_frozen()
                self._check_alive(order)
                self.wait(order.condition, order.deadline)
        except (RefusedError, _StoppingError):
            self._release(order)
            raise

    def _check_alive(self, order: Order) -> None:
        if order.is_cancelled:
            raise RefusedError(Reason.CANCELLED)
        if self.clock.monotonic() >= order.deadline:
            raise RefusedError(Reason.DEADLINE)

    def _run(self, order: Order) -> Response:
        self._wait_while_frozen()
        self._check_alive(order)
        self.check_start(order)
        self.counts['runs'] += 1
        entry = self.execute(order)
        self.ledger.setdefault(self.key_of(order.request), []).append(entry)
        try:
            self._wait_service_time(order)
        except RefusedError as aborted:
            self.counts[f'broken_off/{aborted.reason}'] += 1
            return self._aborted(aborted.reason, order)
        self.counts['finished'] += 1
        self.record_completion(order)
        return self._answer(order)

    def _wait_service_time(self, order: Order) -> None:
        """Wait for the service time of an order."""
        request = order.request
        now = self.clock.monotonic()
        slow_s = self.faults.slow_s(request.path, False, now)
        until = now + self.service_s(order) + slow_s
        while self.frozen_until() is not None or self.clock.monotonic() < until:
            self._wait_while_frozen()
            self._check_alive(order)
            self.wait(order.condition, min(until, order.deadline))

    def _release(self, order: Order) -> None:
        queue = self.queue
        queue.running.discard(order)
        if order in queue.waiting:
            queue.waiting.remove(order)
        self._fill_slots()
        self.changed.notify_all()

    def _refusal(self, refused: RefusedError, order: Order) -> Response:
        self.counts[f'refused/{refused.reason}'] += 1
        response = Response.from_json(
            {'error': refused.reason.value},
            refused.status,
        )
        response.headers.update(_id_headers(order.request))
        response.headers[NOT_RUN] = '1'
        response.headers[REASON] = refused.reason.value
        return response

    def _aborted(self, reason: Reason, order: Order) -> Response:
        response = Response.from_json(
            {'error': reason.value},
            HTTPStatus.GATEWAY_TIMEOUT,
        )
        response.headers[REASON] = reason.value
        response.headers.update(_id_headers(order.request))
        return response

    def _answer(self, order: Order) -> Response:
        request = order.request
        if self._consume_fault(FaultKind.RESET_AFTER_RUN, request):
            return Response.without_answer()
        headers = {
            **_id_headers(order.request),
            CLOCK: repr(self.clock.monotonic()),
            'content-type': request.headers.get(
                'content-type',
                'application/octet-stream',
            ),
        }
        if order.size is None:
            response = Response.from_bytes(order.body)
        else:
            chunks = answer_body(order.request_id, order.size)
            response = Response(chunks=chunks, length=order.size)
        response.headers = headers
        if self._consume_fault(FaultKind.WRONG_ATTEMPT, request):
            headers[ATTEMPT] = f'{order.attempt}-other'
        if self._consume_fault(FaultKind.CUT_ANSWER, request):
            response.fate = Fate.CUT
        return response

    def _orders(self) -> list[Order]:
        return [*self.queue.running, *self.queue.waiting]

    def _notify_all(self) -> None:
        self.changed.notify_all()
        for order in self._orders():
            order.condition.notify_all()


def _float_header(request: Request, header: str) -> float:
    """Return a header as a number; infinite when absent.

    :raises ValueError: when the header is not a number.
    """
    number = float(request.headers.get(header, math.inf))
    if math.isnan(number):
        raise ValueError(f'{header} is not a number')
    return number


def _id_headers(request: Request) -> dict[str, str]:
    """Return the id headers that a request has."""
    return {
        name: request.headers[name]
        for name in (ATTEMPT, REQUEST)
        if name in request.headers
    }


def answer_body(request_id: str, size: int) -> Iterator[bytes]:
    """Return the body for ``?bytes=N``: lines of the caller's request id."""
    line = f'{request_id}\n'.encode()
    block = line * (CHUNK_BYTES // len(line) + 1)
    while size > 0:
        yield block[:size]
        size -= len(block)
