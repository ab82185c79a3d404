"""Stand-in of a plain upstream: cold starts, draining, lagging reports."""

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
FALL_OVER_WINDOW_S = 1.0

_Value = TypeVar('_Value')


class State(StrEnum):
    """What the health endpoint reports."""

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'


@dataclass(slots=True)
class ColdStart:
    """How an upstream behaves after a start.

    It is ready once it has served ``requests`` orders and ``duration_s`` has
    passed; both 0 mean that it starts ready.

    :param fall_over_at: orders refused within a second, while cold, after
        which it answers nothing for ``fall_over_s``.
    :param service_factor: how much longer an order runs while cold.
    :param is_announced: whether the health endpoint says that it is cold.
    """

    requests: int = 0
    duration_s: float = 0
    fall_over_at: int = 8
    fall_over_s: float = 2
    service_factor: float = 1
    is_announced: bool = True


class Lagging(Generic[_Value]):
    """A value that is read as it was some time ago."""

    def __init__(self, value: _Value, lag_s: float) -> None:
        self.lag_s = lag_s
        self.history: deque[tuple[float, _Value]] = deque()
        self.shown = value

    def record(self, value: _Value, now: float) -> None:
        """Take note of a value."""
        if value == (self.history[-1][1] if self.history else self.shown):
            return
        self.history.append((now, value))

    def read(self, now: float) -> _Value:
        """Give the value of ``lag_s`` ago."""
        while self.history and self.history[0][0] <= now - self.lag_s:
            self.shown = self.history.popleft()[1]
        return self.shown


class PlainStandin(UpstreamStandin):
    """A plain upstream on a loopback port.

    The fault ``cold_again`` begins a cold start; the health endpoint tells
    of it as late as of any other change.

    :param lag_s: age of what the health and load endpoints report.
    :param drain_s: while draining, it serves so long and then refuses.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        limits: Limits | None = None,
        cold_start: ColdStart | None = None,
        lag_s: float = 0,
        drain_s: float = 5,
    ) -> None:
        super().__init__(clock, port, limits)
        self.cold_start = cold_start or ColdStart()
        self.drain_s = drain_s
        self.lag_s = lag_s
        self.reset()

    def reset(self) -> None:
        """Start anew: cold, not draining, nothing running."""
        self.draining_since: float | None = None
        self.refused_cold: deque[float] = deque()
        self.set_cold()
        self.health = Lagging(self.state(), self.lag_s)
        self.load = Lagging((0, 0), self.lag_s)

    def set_cold(self) -> None:
        """Begin a cold start now."""
        self.cold_since = self.clock.monotonic()
        self.served_cold = 0

    def is_cold(self) -> bool:
        """Tell whether the cold start is still going on."""
        age_s = self.clock.monotonic() - self.cold_since
        return (
            self.served_cold < self.cold_start.requests
            or age_s < self.cold_start.duration_s
        )

    def state(self) -> State:
        """Give the state to be reported, as of now."""
        if self.draining_since is not None:
            return State.DRAINING
        if self.is_cold() and self.cold_start.is_announced:
            return State.COLD
        return State.READY

    def drain(self, is_draining: bool = True) -> None:
        """Begin to leave, or stay after all."""
        with self.lock:
            now = self.clock.monotonic()
            self.draining_since = now if is_draining else None
            self.note_state()

    def set_fault(self, name: str, given: Any, now: float) -> None:
        """Set one fault; ``cold_again`` begins a cold start."""
        if name == 'cold_again':
            if given:
                self.set_cold()
                self.note_state()
        else:
            super().set_fault(name, given, now)

    def protocol(self, request: Request) -> Callable[[], Response] | None:
        """Give the answer to calls of the plain server protocol."""
        match request.method, request.segments:
            case 'GET', ('health',):
                return self._show_health
            case 'GET', ('load',):
                return self._show_load
            case 'POST', ('drain',):
                body = request.json()
                is_draining = body is None or bool(body.get('draining', True))
                return lambda: self._answer_drain(is_draining)
        return super().protocol(request)

    def slots(self) -> int:
        """Give the number of orders that may run now."""
        return COLD_SLOTS if self.is_cold() else self.limits.slots

    def check_entry(self, order: Order) -> None:
        """Refuse an order while cold and busy, or at the end of draining."""
        now = self.clock.monotonic()
        if self.draining_since is not None:
            self.counts['received_draining'] += 1
            if now >= self.draining_since + self.drain_s:
                raise RefusedError(Reason.DRAINING)
        if self.is_cold():
            self.counts['received_cold'] += 1
            if len(self.queue.running) >= COLD_SLOTS:
                self._refuse_cold(now)

    def note_state(self) -> None:
        """Record the state for the lagging endpoint."""
        self.health.record(self.state(), self.clock.monotonic())

    def finished(self, order: Order) -> None:
        """Count an order that warms the upstream up."""
        if self.is_cold():
            self.served_cold += 1
            self.note_state()

    def service_s(self, order: Order) -> float:
        """Give the duration of a run, longer while cold."""
        duration_s = super().service_s(order)
        if self.is_cold():
            duration_s *= self.cold_start.service_factor
        return duration_s

    def note_load(self) -> None:
        """Record the load for the lagging endpoint."""
        load = (len(self.queue.running), len(self.queue.waiting))
        self.load.record(load, self.clock.monotonic())

    def _refuse_cold(self, now: float) -> None:
        refused = self.refused_cold
        refused.append(now)
        while refused[0] < now - FALL_OVER_WINDOW_S:
            refused.popleft()
        if len(refused) >= self.cold_start.fall_over_at:
            refused.clear()
            self.set_cold()
            self.counts['fell_over'] += 1
            for_ms = self.cold_start.fall_over_s * 1000
            self.faults.set(FaultKind.FREEZE, {'for_ms': for_ms}, now)
            self._await_thaw()
        raise RefusedError(Reason.COLD)

    def _show_health(self) -> Response:
        self.note_state()
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
