"""Requests, their attempts, and what is known of whether they ran.

Rules of section 2.9 of docs/design.md: a non-idempotent request is sent again
only from ``NOT_SENT`` or on the upstream's proof that it did not run.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from oriolearch.core.errors import InvariantError
from oriolearch.core.model import RequestClass, Upstream


class Outcome(StrEnum):
    """What a refused caller may conclude about its request."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(StrEnum):
    """Why the router answers in place of an upstream."""

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
    """What is known of an attempt, see section 2.9."""

    NOT_SENT = auto()
    MAYBE_RUN = auto()
    ANSWERED = auto()
    PROVEN_NOT_RUN = auto()


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the policy must know of a request.

    :param idempotent: it may be sent more than once.
    :param deadline: monotonic time at which the caller gives up.
    :param owner: the fixed upstream of a keyed request.
    :param replayable: the body can be sent again.
    """

    request_id: str
    request_class: RequestClass
    idempotent: bool
    deadline: float
    owner: str | None
    replayable: bool


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a request to one upstream.

    :param attempt_id: the upstream echoes it with its answer.
    """

    attempt_id: str
    upstream: Upstream
    deadline: float
    hedge: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request as this attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do before ``until`` unless the ticket is woken."""

    until: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer by the router itself.

    :param retry_after_s: when a new request has a chance, if known.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with this refusal."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass the upstream's answer on to the caller."""


class Ticket:
    """A request from its submission until it is closed.

    :ivar owner: upstream that must serve it; ``None`` in a plain pool.
    :ivar states: what is known of each attempt so far.
    :ivar running: attempts not over yet, in order of sending.
    :ivar settled: it was delivered or refused.
    :ivar exposed: attempts that were sent and not proven not to have run. It
        is counted apart from ``states`` so that each verifies the other.
    :ivar closed: nothing of it counts any more.
    """

    __slots__ = (
        'closed',
        'exposed',
        'facts',
        'granted',
        'hedges',
        'owner',
        'queued',
        'refused',
        'resend_at',
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
        self.resend_at = 0.0
        self.queued = False
        self.settled = False
        self.settlements = 0
        self.exposed = 0
        self.closed = False

    def may_have_run(self) -> bool:
        """Tell whether any attempt, hedges included, may have run."""
        if self.running:
            return True
        return any(
            state is AttemptState.MAYBE_RUN or state is AttemptState.ANSWERED
            for state in self.states.values()
        )

    def may_resend(self) -> bool:
        """Tell whether another attempt keeps at-most-once execution."""
        if self.facts.idempotent:
            return self.facts.replayable or self._is_unsent()
        if self.may_have_run():
            return False
        return self.facts.replayable or self._is_unsent()

    def open(self, attempt: Attempt) -> None:
        """Record an attempt that is about to be sent.

        :raises InvariantError: when the request might run twice.
        """
        if not self.facts.idempotent and (self.exposed or self.running):
            raise InvariantError(
                'at-most-once',
                f'{self.facts.request_id} may have run: {self.states}',
            )
        self.states[attempt.attempt_id] = AttemptState.NOT_SENT
        self.running[attempt.attempt_id] = attempt
        self.tried.add(attempt.upstream.name)

    def mark_sent(self, attempt_id: str) -> None:
        """Record that bytes of an attempt go to the connection."""
        if self.states[attempt_id] is AttemptState.NOT_SENT:
            self.states[attempt_id] = AttemptState.MAYBE_RUN
            self.exposed += 1

    def mark_proven(self, attempt_id: str) -> None:
        """Record the upstream's proof that an attempt did not run."""
        if self.states[attempt_id] is not AttemptState.NOT_SENT:
            self.exposed -= 1
        self.states[attempt_id] = AttemptState.PROVEN_NOT_RUN

    def settle(self) -> None:
        """Record that the caller gets its answer.

        :raises InvariantError: when the caller got one before.
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
        """Settle with a refusal that states what is known."""
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
    """Verify that a refusal that says not-run is true.

    :raises InvariantError: when an attempt may have run.
    """
    is_exposed = ticket.exposed or ticket.running
    if refusal.outcome is Outcome.NOT_RUN and is_exposed:
        raise InvariantError(
            'true-not-run',
            f'{ticket.facts.request_id} may have run: {ticket.states}',
        )
