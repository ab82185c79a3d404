"""What keyed and plain upstream stand-ins share: slots, queue, faults."""

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

CANCELLED_KEPT = 1024  # ids of cancelled attempts that may still arrive


class Reason(StrEnum):
    """Why an order was refused or broken off."""

    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'
    SHED = 'shed'
    COLD = 'cold'
    DRAINING = 'draining'
    CONNECTIONS = 'connections'
    NOT_OWNER = 'not-owner'


class RefusedError(OriolearchError):
    """An order is refused before it runs."""

    def __init__(
        self,
        reason: Reason,
        status: int = HTTPStatus.SERVICE_UNAVAILABLE,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


class _StoppingError(OriolearchError):
    """The stand-in stops; the connection is closed without an answer."""


@dataclass(slots=True, eq=False)
class Order:
    """A request on its way through the stand-in.

    :param deadline: time of the stand-in's clock.
    :param size: bytes of the answer, from ``?bytes=``; ``None`` to echo.
    :param service_s: duration of the run, from ``?service_ms=``, in seconds.
    :param condition: notified when the order's state changes.
    """

    request: Request
    attempt: str
    caller_request: str
    body: bytes
    deadline: float
    size: int | None
    service_s: float | None
    condition: threading.Condition
    has_slot: bool = False
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One execution, as the ledger shows it.

    :param at: time of the stand-in's clock at which it took effect.
    """

    attempt: str
    request: str
    at: float
    shard: int | None = None
    epoch: int | None = None


@dataclass(slots=True)
class Limits:
    """Capacity of an upstream.

    :param service_s: duration of a run in seconds.
    :param queue_limit: orders that wait for a slot; ``None`` for any number.
    """

    slots: int = 2
    connections: int = 110
    queue_limit: int | None = None
    service_s: float = 0


@dataclass(slots=True)
class _Queue:
    """Orders that run or wait, in order of arrival."""

    running: set[Order] = field(default_factory=set)
    waiting: deque[Order] = field(default_factory=deque)


class UpstreamStandin:
    """An upstream server on a loopback port; base of both kinds.

    All state is guarded by ``lock``; the hooks are called with it held.
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
        self.cancelled: deque[str] = deque(maxlen=CANCELLED_KEPT)
        self.ledger: dict[str, list[Run]] = {}
        self.counts: Counter[str] = Counter()
        self.is_stopping = False

    @property
    def address(self) -> str:
        """Give ``host:port``."""
        return self.server.address

    def start(self) -> None:
        """Serve; the ledger and the counts of an earlier run are kept."""
        with self.lock:
            self.is_stopping = False
            self.faults = FaultSet()
            self.queue = _Queue()
            self.reset()
        self.server.start()

    def stop(self) -> None:
        """Break off everything and close the port, as a loss would."""
        with self.lock:
            self.is_stopping = True
            self._wake()
        self.server.stop()

    def set_faults(self, faults: Mapping[str, Any]) -> None:
        """Set faults by name; ``resume`` ends a freeze, see FaultKind."""
        now = self.clock.monotonic()
        with self.lock:
            for name, given in faults.items():
                self.set_fault(name, given, now)
            self._wake()

    def set_fault(self, name: str, given: Any, now: float) -> None:
        """Set one fault; subclasses add their own names."""
        if name == 'resume':
            self.faults.set(FaultKind.FREEZE, None, now)
        else:
            self.faults.set(FaultKind(name), given, now)

    def reset(self) -> None:
        """Forget what a new process would not know."""

    def check_entry(self, order: Order) -> None:
        """Refuse an order on arrival by raising RefusedError."""

    def check_run(self, order: Order) -> None:
        """Refuse an order when its slot is free by raising RefusedError."""

    def run(self, order: Order) -> Run:
        """Carry out an order; gives its entry in the ledger."""
        return Run(order.attempt, order.caller_request, self.clock.monotonic())

    def key_of(self, request: Request) -> str:
        """Give the key under which a run enters the ledger."""
        return request.path

    def slots(self) -> int:
        """Give the number of orders that may run now."""
        return self.limits.slots

    def service_s(self, order: Order) -> float:
        """Give the duration of a run in seconds."""
        given_s = order.service_s
        return self.limits.service_s if given_s is None else given_s

    def note_load(self) -> None:
        """Take note that an order began or ended to run or to wait."""

    def finished(self, order: Order) -> None:
        """Take note that an order has run to its end."""

    def protocol(self, request: Request) -> Callable[[], Response] | None:
        """Give the answer to calls of the server protocol."""
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
            response.headers.update(_echoed(request))
            return response
        except _StoppingError:
            return Response.lost()

    def cancel(self, attempt: str) -> Response:
        """Cancel an attempt, also one that arrives later."""
        self.cancelled.append(attempt)
        found = 'unknown'
        for order in self._orders():
            if order.attempt == attempt:
                found = 'running' if order.has_slot else 'queued'
                order.is_cancelled = True
                order.condition.notify_all()
        self.counts['cancels'] += 1
        return Response.from_json({'attempt': attempt, 'state': found})

    def _control(self, request: Request) -> Response | None:
        """Answer calls that only the stand-in has; no fault applies."""
        match request.method, request.segments:
            case 'POST', ('faults',):
                faults = request.json()
                if not isinstance(faults, dict):
                    raise ValueError('faults must be a JSON object')
                self.set_faults(faults)
                return Response.from_json(self.faults.shown())
            case 'GET', ('faults',):
                return Response.from_json(self.faults.shown())
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
                        'at': run.at,
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
        answer_protocol = self.protocol(request)
        is_protocol = answer_protocol is not None
        with self.lock:
            self._freeze(request, is_protocol)
            if self._take(FaultKind.RESET_BEFORE, request, is_protocol):
                return Response.lost()
        if answer_protocol is not None:
            return self._answer_protocol(request, answer_protocol)
        body = request.body()
        if body is None:
            return Response.lost()
        with self.lock:
            return self._order(request, body)

    def _freeze(self, request: Request, is_protocol: bool) -> None:
        """Hold a request while the stand-in is frozen."""
        is_held = self._take(FaultKind.FREEZE, request, is_protocol)
        if is_held or self.frozen_until() is not None:
            self.counts['held'] += 1
        while is_held and FaultKind.FREEZE in self.faults.faults:
            self.wait(self.changed)
        self._await_thaw()

    def _await_thaw(self) -> None:
        """Wait while the whole stand-in is frozen."""
        until = self.frozen_until()
        while until is not None:
            self.wait(self.changed, until)
            until = self.frozen_until()

    def frozen_until(self) -> float | None:
        """Give the end of a freeze of the whole stand-in, if frozen."""
        fault = self.faults.faults.get(FaultKind.FREEZE)
        if fault is None or fault.left is not None or fault.body.path:
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
        """Wait for a change, at most until a time of the clock."""
        if self.is_stopping:
            raise _StoppingError
        wait_on(self.clock, condition, until)
        if self.is_stopping:
            raise _StoppingError

    def _take(
        self,
        kind: FaultKind,
        request: Request,
        is_protocol: bool = False,
    ) -> bool:
        now = self.clock.monotonic()
        fault = self.faults.take(kind, request.path, is_protocol, now)
        return fault is not None

    def _answer_protocol(
        self,
        request: Request,
        answer: Callable[[], Response],
    ) -> Response:
        with self.lock:
            response = answer()
            self._await_thaw()
            if self._take(FaultKind.RESET_AFTER_RUN, request, True):
                return Response.lost()
            if self._take(FaultKind.CUT_ANSWER, request, True):
                response.fate = Fate.CUT
        return response

    def _order(self, request: Request, body: bytes) -> Response:
        self._await_thaw()
        self.counts['received'] += 1
        order = self._new_order(request, body)
        try:
            self._enter(order)
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
        """Read the headers; deadlines count from here, after a freeze.

        A process that was frozen reads ``oriolearch-deadline-ms`` only when
        it goes on, so that only a deadline in its own clock drops old orders.
        """
        remaining_ms = _number(request, DEADLINE_MS)
        deadline = min(
            self.clock.monotonic() + remaining_ms / 1000,
            _number(request, DEADLINE_CLOCK),
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

    def _enter(self, order: Order) -> None:
        if order.request.connections > self.limits.connections:
            raise RefusedError(Reason.CONNECTIONS)
        if order.attempt in self.cancelled:
            raise RefusedError(Reason.CANCELLED)
        self.check_entry(order)
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
        self.note_load()

    def _await_slot(self, order: Order) -> None:
        try:
            while not order.has_slot:
                self._await_thaw()
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
        self._await_thaw()
        self._check_alive(order)
        self.check_run(order)
        self.counts['runs'] += 1
        entry = self.run(order)
        self.ledger.setdefault(self.key_of(order.request), []).append(entry)
        try:
            self._spend(order)
        except RefusedError as broken_off:
            self.counts[f'broken_off/{broken_off.reason}'] += 1
            return self._broken_off(broken_off.reason, order)
        self.counts['finished'] += 1
        self.finished(order)
        return self._answer(order)

    def _spend(self, order: Order) -> None:
        """Let the duration of a run pass."""
        request = order.request
        now = self.clock.monotonic()
        slow_s = self.faults.slow_s(request.path, False, now)
        until = now + self.service_s(order) + slow_s
        while self.frozen_until() is not None or self.clock.monotonic() < until:
            self._await_thaw()
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
        response.headers.update(_echoed(order.request))
        response.headers[NOT_RUN] = '1'
        response.headers[REASON] = refused.reason.value
        return response

    def _broken_off(self, reason: Reason, order: Order) -> Response:
        response = Response.from_json(
            {'error': reason.value},
            HTTPStatus.GATEWAY_TIMEOUT,
        )
        response.headers[REASON] = reason.value
        response.headers.update(_echoed(order.request))
        return response

    def _answer(self, order: Order) -> Response:
        request = order.request
        if self._take(FaultKind.RESET_AFTER_RUN, request):
            return Response.lost()
        headers = {
            **_echoed(order.request),
            CLOCK: repr(self.clock.monotonic()),
            'content-type': request.headers.get(
                'content-type',
                'application/octet-stream',
            ),
        }
        if order.size is None:
            response = Response.from_bytes(order.body)
        else:
            chunks = pattern(order.caller_request, order.size)
            response = Response(chunks=chunks, length=order.size)
        response.headers = headers
        if self._take(FaultKind.WRONG_ATTEMPT, request):
            headers[ATTEMPT] = f'{order.attempt}-other'
        if self._take(FaultKind.CUT_ANSWER, request):
            response.fate = Fate.CUT
        return response

    def _orders(self) -> list[Order]:
        return [*self.queue.running, *self.queue.waiting]

    def _wake(self) -> None:
        self.changed.notify_all()
        for order in self._orders():
            order.condition.notify_all()


def _number(request: Request, header: str) -> float:
    """Read a header; infinite when absent.

    :raises ValueError: when it is not a number.
    """
    number = float(request.headers.get(header, math.inf))
    if math.isnan(number):
        raise ValueError(f'{header} is not a number')
    return number


def _echoed(request: Request) -> dict[str, str]:
    """Give the ids of a request as far as it carries them."""
    return {
        name: request.headers[name]
        for name in (ATTEMPT, REQUEST)
        if name in request.headers
    }


def pattern(caller_request: str, size: int) -> Iterator[bytes]:
    """Give the body of ``?bytes=N``: lines with the caller's request id."""
    line = f'{caller_request}\n'.encode()
    block = line * (CHUNK_BYTES // len(line) + 1)
    while size > 0:
        yield block[:size]
        size -= len(block)
