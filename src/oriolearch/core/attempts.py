"""State of requests and attempts, and whether an attempt may have run.

Follows section 2.9 of docs/design.md: a non-idempotent request is retried only
if no attempt was sent, or if the upstream proved that it did not run.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from oriolearch.core.errors import InvariantError
from oriolearch.core.model import RequestClass, Upstream


class Outcome(StrEnum):
    """Whether a refused request may have run, as reported to the caller."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Reason for which the router refuses a request itself."""

    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no-upstream'
    ATTEMPTS_FAILED = 'attempts-failed'
    RETRY_BUDGET = 'retry-budget'
    CALLER_GONE = 'caller-gone'


class Failure(StrEnum):
    """How an attempt ended without a complete answer."""

    CONNECTION_REFUSED = 'connection-refused'
    RESET = 'reset'
    CUT_ANSWER = 'cut-answer'
    TIMEOUT = 'timeout'
    WRONG_ATTEMPT = 'wrong-attempt'
    CALLER_GONE = 'caller-gone'
    CANCELLED = 'cancelled'


class AttemptState(Enum):
    """Whether an attempt was sent and ran, see section 2.9."""

    NOT_SENT = auto()
    MAYBE_RUN = auto()
    ANSWERED = auto()
    PROVEN_NOT_RUN = auto()


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Properties of a request that the policy depends on.

    :param idempotent: whether the request may run more than once.
    :param deadline: monotonic time at which the caller gives up.
    :param owner: the upstream that owns the key; ``None`` in a plain pool.
    :param replayable: whether the body can be sent again.
    """

    request_id: str
    request_class: RequestClass
    idempotent: bool
    deadline: float
    owner: str | None
    replayable: bool


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to have a request served by one upstream.

    :param attempt_id: the upstream echoes it in its answer.
    :param hedge: whether it was started while another attempt runs.
    """

    attempt_id: str
    upstream: Upstream
    deadline: float
    hedge: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Decision to send the request as this attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to do nothing until ``until`` or until the ticket is ready."""

    until: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error answer by the router itself.

    :param retry_after_s: seconds after which a retry may succeed, if known.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to answer the caller with this refusal."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Deliver:
    """Decision to pass the upstream's answer on to the caller."""


class Ticket:
    """State of a request from its submission until it is closed.

    :ivar owner: upstream that must serve it; ``None`` in a plain pool.
    :ivar states: state of each attempt.
    :ivar running: attempts that have not ended, oldest first.
    :ivar tried: upstreams that the next attempt avoids.
    :ivar granted: attempt that was started while the request was queued.
    :ivar retry_at: earliest time of the next attempt.
    :ivar settled: whether the request was answered or refused.
    :ivar maybe_run_count: number of attempts that were sent and not proven
        not to have run. It is counted separately from ``states`` so that
        each verifies the other.
    :ivar closed: whether the caller's exchange has ended.
    """

    __slots__ = (
        'closed',
        'maybe_run_count',
        'facts',
        'granted',
        'hedges',
        'owner',
        'queued',
        'refused',
        'retry_at',
        'running',
        'settled',
        'settlements',
        'states',
        'submitted',
        'tried',
    )

    def __init__(self, facts: RequestFacts, submitted: float) -> None:
        self.facts = facts
        self.submitted = submitted
        self.owner = facts.owner
        self.states: dict[str, AttemptState] = {}
        self.running: dict[str, Attempt] = {}
        self.tried: set[str] = set()
        self.granted: Send | None = None
        self.refused: Refuse | None = None
        self.hedges = 0
        self.retry_at = 0.0
        self.queued = False
        self.settled = False
        self.settlements = 0
        self.maybe_run_count = 0
        self.closed = False

    def may_have_run(self) -> bool:
        """Return whether any attempt, hedges included, may have run."""
        if self.running:
            return True
        return any(
            state is AttemptState.MAYBE_RUN or state is AttemptState.ANSWERED
            for state in self.states.values()
        )

    def may_retry(self) -> bool:
        """Return whether another attempt keeps at-most-once execution."""
        if self.facts.idempotent:
            return self.facts.replayable or self._is_unsent()
        if self.may_have_run():
            return False
        return self.facts.replayable or self._is_unsent()

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt that is about to be sent.

        :raises InvariantError: if a non-idempotent request might run twice.
        """
        if not self.facts.idempotent and (self.maybe_run_count or self.running):
            raise InvariantError(
                'at-most-once',
                f'{self.facts.request_id} may have run: {self.states}',
            )
        self.states[attempt.attempt_id] = AttemptState.NOT_SENT
        self.running[attempt.attempt_id] = attempt
        self.tried.add(attempt.upstream.name)

    def mark_sent(self, attempt_id: str) -> None:
        """Record that bytes of an attempt are about to be sent."""
        if self.states[attempt_id] is AttemptState.NOT_SENT:
            self.states[attempt_id] = AttemptState.MAYBE_RUN
            self.maybe_run_count += 1

    def mark_not_run(self, attempt_id: str) -> None:
        """Record the upstream's proof that an attempt did not run."""
        if self.states[attempt_id] is not AttemptState.NOT_SENT:
            self.maybe_run_count -= 1
        self.states[attempt_id] = AttemptState.PROVEN_NOT_RUN

    def settle(self) -> None:
        """Record that the caller gets its answer.

        :raises InvariantError: if the caller already got an answer.
        """
        self.settled = True
        self.settlements += 1
        if self.settlements > 1:
            raise InvariantError(
                'single-delivery',
                f'{self.facts.request_id} was already settled',
            )

    def refuse(
        self,
        reason: RefusalReason,
        retry_after_s: float | None = None,
    ) -> Refuse:
        """Settle with a refusal that reports whether it may have run."""
        self.settle()
        outcome = Outcome.UNKNOWN if self.may_have_run() else Outcome.NOT_RUN
        self.refused = Refuse(Refusal(reason, outcome, retry_after_s))
        check_refusal(self, self.refused.refusal)
        return self.refused

    def _is_unsent(self) -> bool:
        return all(
            state is AttemptState.NOT_SENT for state in self.states.values()
        )


def check_refusal(ticket: Ticket, refusal: Refusal) -> None:
    """Verify that a request refused as not run was not run.

    :raises InvariantError: if an attempt may have run.
    """
    may_have_run = ticket.maybe_run_count or ticket.running
    if refusal.outcome is Outcome.NOT_RUN and may_have_run:
        raise InvariantError(
            'true-not-run',
            f'{ticket.facts.request_id} may have run: {ticket.states}',
        )
