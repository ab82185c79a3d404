"""The state of a request being served, and of the pools that serve it."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolearch.adapters.callers import CallerLimits
from oriolearch.adapters.requests import CallerRequest
from oriolearch.adapters.telemetry import Trace
from oriolearch.adapters.upstream import (
    RunningAttempt,
    UpstreamResponse,
    UpstreamTimeouts,
)
from oriolearch.core.errors import OriolearchError
from oriolearch.core.model import Document, Pool, Route, subtract_clock_margin
from oriolearch.core.policy import Failure, PoolPolicy, Ticket
from oriolearch.core.view import Owner, View


class CallerGoneError(OriolearchError):
    """The caller closed its connection or stalled."""

    outcome = 'caller-gone'  # label in the metrics


class AnswerBrokenError(OriolearchError):
    """An answer broke off after its first part was passed to the caller."""

    outcome = 'answer-broken'


class NotPermittedError(OriolearchError):
    """An order was not sent: no owner, permit or clock reading."""


class OwnerMovedError(OriolearchError):
    """The owner has changed or proved that it did not run the request."""


@dataclass(frozen=True, slots=True)
class ServerClockReading:
    """A reading of the monotonic clock of a server without fencing.

    :param reading: seconds on the server's clock.
    :param read_at: local monotonic time at which the reading arrived.
    """

    reading: float
    read_at: float

    def deadline(self, now: float, limit_s: float) -> float:
        """Return the deadline of an order sent now, on the server's clock.

        The elapsed time and the limit are shortened for clock drift, so the
        deadline is never later than the limit on the server's clock.
        """
        elapsed_s = max(now - self.read_at, 0)
        return (
            self.reading
            + subtract_clock_margin(elapsed_s)
            + subtract_clock_margin(limit_s)
        )


@dataclass(frozen=True, slots=True)
class DataPathSettings:
    """Settings of the data path of a host.

    :param owner_wait_s: longest wait for the new owner of a key.
    :param owner_retry_s: time after which an unchanged owner is tried again,
        because its grant may arrive later than the view.
    :param watch_period_s: interval between checks of the deadlines and of
        the connections of callers.
    """

    zone: str
    host: str
    owner_wait_s: float = 2.0
    owner_retry_s: float = 0.05
    watch_period_s: float = 0.05
    callers: CallerLimits = field(default_factory=CallerLimits)
    upstreams: UpstreamTimeouts = field(default_factory=UpstreamTimeouts)


class PublishedView:
    """Holds the current view, which is replaced atomically."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.changed = threading.Condition()

    def publish(self, view: View) -> None:
        """Replace the view and wake the threads that wait for a newer one."""
        self.view = view
        with self.changed:
            self.changed.notify_all()

    def wait_for_newer(self, seen: View, timeout_s: float) -> None:
        """Wait until the view differs from ``seen``, or for the timeout."""
        with self.changed:
            self.changed.wait_for(lambda: self.view is not seen, timeout_s)


class PoolState:
    """The policy of a pool, its lock and its queued requests.

    :ivar waiting: an event for each queued ticket, set when the policy has
        a decision for it.
    :ivar cold: the dispatching host of each cold upstream.
    :ivar group: running requests of the whole group on each upstream.
    :ivar hints: health reports of other hosts on each upstream.
    :ivar document: the configuration that the policy was last updated with.
    """

    def __init__(self, policy: PoolPolicy) -> None:
        self.policy = policy
        self.lock = threading.Lock()
        self.waiting: dict[Ticket, threading.Event] = {}
        self.cold: Mapping[str, str] = {}
        self.group: Mapping[str, int] = {}
        self.hints: Mapping[str, Any] = {}
        self.document: Document | None = None

    def wake(self) -> None:
        """Wake the requests that have a decision; ``lock`` must be held."""
        if self.waiting:
            for ticket in self.policy.take_ready():
                event = self.waiting.get(ticket)
                if event is not None:
                    event.set()


class Exchange:
    """A request from its arrival until its answer is complete.

    :ivar has_deadline: the deadline is in force. The time of an upload for
        which the caller set none begins once its body is sent.
    :ivar is_upload_consumed: pieces of an upload were read, so that it
        cannot be sent again.
    :ivar may_have_run: an attempt of an earlier ticket may have run.
    :ivar answer: an answer whose body is still to be passed to the caller.
    :ivar view: the view in which the owner of the key was looked up.
    :ivar owner: the owner that the order is sent to.
    :ivar idempotency_key: pool and ``Idempotency-Key`` that it has claimed.
    :ivar claimed_keys: the claims of all running requests of the host.
    """

    __slots__ = (
        'answer',
        'claimed_keys',
        'idempotency_key',
        'deadline',
        'pool_state',
        'headers',
        'is_upload_consumed',
        'is_caller_gone',
        'is_idempotent',
        'has_deadline',
        'is_streaming',
        'key',
        'may_have_run',
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
        pool_state: PoolState,
        request_id: str,
    ) -> None:
        self.request = request
        self.route = route
        self.pool = pool
        self.pool_state = pool_state
        self.request_id = request_id
        self.is_idempotent = request.head.method in route.idempotent_methods
        self.deadline = 0.0
        self.has_deadline = True
        self.key: str | None = None
        self.headers: dict[str, str] = {}
        self.idempotency_key: tuple[str, str] | None = None
        self.claimed_keys: set[tuple[str, str]] = set()
        self.trace: Trace | None = None
        self.ticket: Ticket | None = None
        self.running: dict[str, RunningAttempt] = {}
        self.answer: UpstreamResponse | None = None
        self.wake: threading.Event | None = None
        self.is_caller_gone = False
        self.is_streaming = False
        self.is_upload_consumed = False
        self.may_have_run = False
        self.view: View | None = None
        self.owner: Owner | None = None

    def abort(self, failure: Failure) -> None:
        """Cancel the running attempts; may be called from any thread."""
        self.is_caller_gone = (
            self.is_caller_gone or failure is Failure.CALLER_GONE
        )
        wake = self.wake
        if wake is not None:
            wake.set()
        for attempt in tuple(self.running.values()):
            attempt.cancel(failure)

    def release_idempotency_key(self) -> None:
        """Allow another request with the same ``Idempotency-Key``.

        Called before the end of the answer is sent, because the caller's next
        request may arrive at once. Later calls do nothing: the key may have
        been claimed again since.
        """
        claimed = self.idempotency_key
        self.idempotency_key = None
        if claimed is not None:
            self.claimed_keys.discard(claimed)
