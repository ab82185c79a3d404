"""The state of a request on its way, and of the pools that serve it."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolearch.adapters.callers import CallerLimits
from oriolearch.adapters.requests import CallerRequest
from oriolearch.adapters.telemetry import Trace
from oriolearch.adapters.upstream import Answer, Limits, RunningAttempt
from oriolearch.core.errors import OriolearchError
from oriolearch.core.model import Document, Pool, Route, shortened
from oriolearch.core.policy import Failure, PoolPolicy, Ticket
from oriolearch.core.view import Owner, View


class CallerGoneError(OriolearchError):
    """The caller closed its connection or stalled."""

    outcome = 'caller-gone'  # in the metrics


class AnswerBrokenError(OriolearchError):
    """An answer broke after its first part was passed on."""

    outcome = 'answer-broken'


class NotPermittedError(OriolearchError):
    """An order may not be sent to an owner now; it was not sent."""


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


class Gate:
    """The policy of one pool with its lock and its waiting requests."""

    def __init__(self, policy: PoolPolicy) -> None:
        self.policy = policy
        self.lock = threading.Lock()
        self.waiting: dict[Ticket, threading.Event] = {}
        self.cold: Mapping[str, str] = {}
        self.group: Mapping[str, int] = {}
        self.hints: Mapping[str, Any] = {}
        self.document: Document | None = None

    def wake(self) -> None:
        """Wake the requests that have a decision now; the lock is held."""
        if self.waiting:
            for ticket in self.policy.take_ready():
                event = self.waiting.get(ticket)
                if event is not None:
                    event.set()


class Exchange:
    """One request from its arrival until its answer is complete.

    :ivar is_limited: the deadline holds; that of an upload without one of
        its own begins when the body is sent.
    :ivar is_body_used: pieces of an upload were read and are gone.
    :ivar maybe_run: an attempt of an earlier ticket may have run.
    :ivar answer: an answer whose body is still to be passed on.
    :ivar view: the view by which the running order is sent, with its owner.
    """

    __slots__ = (
        'answer',
        'claim',
        'deadline',
        'gate',
        'headers',
        'is_body_used',
        'is_gone',
        'is_idempotent',
        'is_limited',
        'is_streaming',
        'key',
        'maybe_run',
        'owner',
        'pool',
        'request',
        'request_id',
        'route',
        'running',
        'ticket',
        'trace',
        'view',
        'wake',
    )

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        pool: Pool,
        gate: Gate,
        request_id: str,
    ) -> None:
        self.request = request
        self.route = route
        self.pool = pool
        self.gate = gate
        self.request_id = request_id
        self.is_idempotent = request.head.method in route.idempotent_methods
        self.deadline = 0.0
        self.is_limited = True
        self.key: str | None = None
        self.headers: dict[str, str] = {}
        self.claim: tuple[str, str] | None = None
        self.trace: Trace | None = None
        self.ticket: Ticket | None = None
        self.running: dict[str, RunningAttempt] = {}
        self.answer: Answer | None = None
        self.wake: threading.Event | None = None
        self.is_gone = False
        self.is_streaming = False
        self.is_body_used = False
        self.maybe_run = False
        self.view: View | None = None
        self.owner: Owner | None = None

    def break_off(self, failure: Failure) -> None:
        """End the running attempts, from any thread."""
        self.is_gone = self.is_gone or failure is Failure.CALLER_GONE
        wake = self.wake
        if wake is not None:
            wake.set()
        for attempt in tuple(self.running.values()):
            attempt.cancel(failure)
