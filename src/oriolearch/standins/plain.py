"""Stand-in for a plain upstream: cold starts, draining, delayed reports."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Generic, TypeVar

from oriolearch.ports import Clock
from oriolearch.standins.faults import FaultKind
from oriolearch.standins.server import Request, Response
from oriolearch.standins.upstream import (
    Limits,
    Order,
    Reason,
    RefusedError,
    UpstreamStandin,
)

COLD_SLOTS = 1
OVERLOAD_WINDOW_S = 1.0

_Value = TypeVar('_Value')


class State(StrEnum):
    """State that the health endpoint reports."""

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'


@dataclass(slots=True)
class ColdStart:
    """Behaviour of an upstream after a start.

    The upstream is ready once it has served ``requests`` orders and
    ``duration_s`` has passed. With both 0 it starts ready.

    :param overload_refusals: number of orders refused within a second, while
        cold, that makes the upstream freeze for ``overload_freeze_s``.
    :param service_factor: multiplies the service time while cold.
    :param is_announced: whether the health endpoint reports the cold state.
    """

    requests: int = 0
    duration_s: float = 0
    overload_refusals: int = 8
    overload_freeze_s: float = 2
    service_factor: float = 1
    is_announced: bool = True


class DelayedValue(Generic[_Value]):
    """A value that readers see with a delay.

    :ivar visible: the value as seen by the last reader.
    """

    def __init__(self, value: _Value, report_delay_s: float) -> None:
        self.report_delay_s = report_delay_s
        self.history: deque[tuple[float, _Value]] = deque()
        self.visible = value

    def record(self, value: _Value, now: float) -> None:
        """Record a change of the value."""
        if value == (self.history[-1][1] if self.history else self.visible):
            return
        self.history.append((now, value))

    def read(self, now: float) -> _Value:
        """Return the value of ``report_delay_s`` ago."""
        while self.history and self.history[0][0] <= now - self.report_delay_s:
            self.visible = self.history.popleft()[1]
        return self.visible


class PlainStandin(UpstreamStandin):
    """A plain upstream on a loopback port.

    The fault ``cold_again`` begins a cold start, which the health endpoint
    reports with the same delay as any other change.

    :param report_delay_s: delay of the health and load endpoints.
    :param drain_s: time from the start of draining after which orders are
        refused.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        limits: Limits | None = None,
        cold_start: ColdStart | None = None,
        report_delay_s: float = 0,
        drain_s: float = 5,
    ) -> None:
        super().__init__(clock, port, limits)
        self.cold_start = cold_start or ColdStart()
        self.drain_s = drain_s
        self.report_delay_s = report_delay_s
        self.reset()

    def reset(self) -> None:
        """Return to the state of a new process: cold and not draining."""
        self.draining_since: float | None = None
        self.cold_refusal_times: deque[float] = deque()
        self.begin_cold_start()
        self.health = DelayedValue(self.state(), self.report_delay_s)
        self.load = DelayedValue((0, 0), self.report_delay_s)

    def begin_cold_start(self) -> None:
        """Begin a cold start."""
        self.cold_since = self.clock.monotonic()
        self.cold_orders_served = 0

    def is_cold(self) -> bool:
        """Return whether the cold start is in progress."""
        age_s = self.clock.monotonic() - self.cold_since
        return (
            self.cold_orders_served < self.cold_start.requests
            or age_s < self.cold_start.duration_s
        )

    def state(self) -> State:
        """Return the current state, which the health endpoint reports later."""
        if self.draining_since is not None:
            return State.DRAINING
        if self.is_cold() and self.cold_start.is_announced:
            return State.COLD
        return State.READY

    def drain(self, is_draining: bool = True) -> None:
        """Begin draining, or cancel it."""
        with self.lock:
            now = self.clock.monotonic()
            self.draining_since = now if is_draining else None
            self.record_state()

    def set_fault(self, name: str, value: Any, now: float) -> None:
        """Set one fault; ``cold_again`` begins a cold start."""
        if name == 'cold_again':
            if value:
                self.begin_cold_start()
                self.record_state()
        else:
            super().set_fault(name, value, now)

    def protocol_handler(
        self, request: Request
    ) -> Callable[[], Response] | None:
        """Return the handler of a call of the plain server protocol."""
        match request.method, request.segments:
            case 'GET', ('health',):
                return self._show_health
            case 'GET', ('load',):
                return self._show_load
            case 'POST', ('drain',):
                body = request.json()
                is_draining = body is None or bool(body.get('draining', True))
                return lambda: self._answer_drain(is_draining)
        return super().protocol_handler(request)

    def slots(self) -> int:
        """Return the number of orders that may run now."""
        return COLD_SLOTS if self.is_cold() else self.limits.slots

    def check_arrival(self, order: Order) -> None:
        """Refuse an order after draining, or while cold and busy."""
        now = self.clock.monotonic()
        if self.draining_since is not None:
            self.counts['received_draining'] += 1
            if now >= self.draining_since + self.drain_s:
                raise RefusedError(Reason.DRAINING)
        if self.is_cold():
            self.counts['received_cold'] += 1
            if len(self.queue.running) >= COLD_SLOTS:
                self._refuse_cold(now)

    def record_state(self) -> None:
        """Record the state for the health endpoint."""
        self.health.record(self.state(), self.clock.monotonic())

    def record_completion(self, order: Order) -> None:
        """Count an order towards the end of the cold start."""
        if self.is_cold():
            self.cold_orders_served += 1
            self.record_state()

    def service_s(self, order: Order) -> float:
        """Return the service time of an order, which is longer while cold."""
        duration_s = super().service_s(order)
        if self.is_cold():
            duration_s *= self.cold_start.service_factor
        return duration_s

    def record_load(self) -> None:
        """Record the load for the load endpoint."""
        load = (len(self.queue.running), len(self.queue.waiting))
        self.load.record(load, self.clock.monotonic())

    def _refuse_cold(self, now: float) -> None:
        refused = self.cold_refusal_times
        refused.append(now)
        while refused[0] < now - OVERLOAD_WINDOW_S:
            refused.popleft()
        if len(refused) >= self.cold_start.overload_refusals:
            refused.clear()
            self.begin_cold_start()
            self.counts['fell_over'] += 1
            for_ms = self.cold_start.overload_freeze_s * 1000
            self.faults.set(FaultKind.FREEZE, {'for_ms': for_ms}, now)
            self._wait_while_frozen()
        raise RefusedError(Reason.COLD)

    def _show_health(self) -> Response:
        self.record_state()
        return Response.from_json(
            {
                'state': self.health.read(self.clock.monotonic()).value,
                'slots': self.limits.slots,
                'connections': self.limits.connections,
            },
        )

    def _show_load(self) -> Response:
        running, queued = self.load.read(self.clock.monotonic())
        return Response.from_json({'running': running, 'queued': queued})

    def _answer_drain(self, is_draining: bool) -> Response:
        self.drain(is_draining)
        return Response.from_json({'draining': is_draining})
