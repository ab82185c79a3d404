"""The request policy of one pool: what the data path asks.

Not thread-safe: the adapter holds one lock a pool. ``submit`` and ``poll``
give a first attempt or a place in the queue; the calls named after events of
an attempt give what to do next.
"""

import random
from collections.abc import Mapping
from typing import Any

from oriolearch.core.admission import DeadlineQueue
from oriolearch.core.attempts import (
    Attempt,
    AttemptState,
    Deliver,
    Failure,
    Outcome,
    Refusal,
    RefusalReason,
    Refuse,
    RequestFacts,
    Send,
    Ticket,
    Wait,
)
from oriolearch.core.choice import choose_zone
from oriolearch.core.coldstart import check_cold
from oriolearch.core.errors import InvariantError
from oriolearch.core.hedging import HedgeTimes, Norm
from oriolearch.core.model import Pool, RequestClass
from oriolearch.core.retries import Budget
from oriolearch.core.targets import Fleet, Target

__all__ = (
    'Attempt',
    'AttemptState',
    'Deliver',
    'Failure',
    'Outcome',
    'PoolPolicy',
    'Refusal',
    'RefusalReason',
    'Refuse',
    'RequestFacts',
    'Send',
    'Ticket',
    'Wait',
)

Decision = Send | Wait | Refuse
MAX_ATTEMPTS = 5
REDUCTION = 0.7  # of a concurrency limit, when the upstream sheds
RECHECK_S = 0.05  # bounds a wait whose wake-up was missed
RESEND_DELAY_S = 0.02  # a moved key has its new owner after a view change
RETRY_BURST = 20.0  # lets a pool with few requests retry at all
HEDGE_BURST = 16.0  # saved up for a moment in which an upstream is slow
PROOF_STATUSES = frozenset((409, 421, 503))
UNHEALTHY_STATUSES = frozenset((502, 503, 504))


class Flight:
    """An attempt that is not over, with its ticket."""

    __slots__ = ('at', 'attempt', 'target', 'ticket')

    def __init__(
        self,
        ticket: Ticket,
        attempt: Attempt,
        target: Target,
        at: float,
    ) -> None:
        self.ticket = ticket
        self.attempt = attempt
        self.target = target
        self.at = at


class PoolPolicy:
    """Decides for the requests of one pool on one host.

    :param zone: the host's own zone.
    :param host: name of the host, for cold upstreams in its charge.
    """

    def __init__(
        self,
        pool: Pool,
        zone: str,
        host: str,
        rng: random.Random,
    ) -> None:
        self.pool = pool
        self.host = host
        self.rng = rng
        self.norm = Norm()
        self.retries = Budget(pool.retry_share, RETRY_BURST, RETRY_BURST)
        self.hedges = HedgeTimes(Budget(pool.hedge_share, HEDGE_BURST))
        self.fleet = Fleet(pool, zone, host)
        self.flights: dict[str, Flight] = {}
        self.queues: dict[str | None, DeadlineQueue] = {None: DeadlineQueue()}
        self.waiting = 0
        self.ready: dict[Ticket, None] = {}
        self.attempt_count = 0

    def submit(self, now: float, facts: RequestFacts) -> Ticket:
        """Take in a request; ask :meth:`poll` what to do with it."""
        self.retries.earn()
        self.hedges.budget.earn()
        return Ticket(facts, now)

    def poll(self, now: float, ticket: Ticket) -> Decision:
        """Give the next step of a ticket that has no attempt running.

        A settled ticket, or one that an attempt still runs for, waits.
        """
        if now >= self.fleet.review_at:
            self.fleet.review(now)
        if ticket.granted is not None:
            granted = ticket.granted
            ticket.granted = None
            self.ready.pop(ticket, None)
            return granted
        if ticket.refused is not None:
            self.ready.pop(ticket, None)
            return ticket.refused
        deadline = ticket.facts.deadline
        if ticket.settled or ticket.running:
            return Wait(deadline)
        if now >= deadline:
            self._unqueue(ticket)
            return ticket.refuse(RefusalReason.DEADLINE)
        if now < ticket.resend_at:
            return Wait(min(ticket.resend_at, deadline))
        if self.waiting:
            return self._poll_queued(now, ticket)
        target = self._choose(now, ticket)[0]
        if target is None:
            return self._enqueue(now, ticket)
        return self._send(now, ticket, target)

    def sent(self, now: float, attempt_id: str) -> bool:
        """Record the hand-over, to be called before the first byte.

        Gives ``False`` when the attempt is over and must not be sent.
        """
        flight = self.flights.get(attempt_id)
        if flight is None or flight.ticket.settled:
            return False
        flight.ticket.mark_sent(attempt_id)
        return True

    def answered(
        self,
        now: float,
        attempt_id: str,
        status: int,
        not_run: bool,
    ) -> Deliver | Decision:
        """Take a response head.

        :param not_run: it carries ``oriolearch-not-run: 1``.

        ``Wait`` means that the answer is to be dropped: another attempt
        serves the ticket, or :meth:`poll` is to be asked at ``until``.
        """
        flight = self.flights.get(attempt_id)
        if flight is None:
            return Wait(now)
        ticket = flight.ticket
        if not_run and status in PROOF_STATUSES:
            ticket.mark_proven(attempt_id)
            self._shed(now, flight, status)
            self._release(now, flight)
            return self._again(now, ticket, is_charged=status == 503)
        self._observe_answer(now, flight, status)
        ticket.states[attempt_id] = AttemptState.ANSWERED
        if ticket.settled:
            self._release(now, flight)
            return Wait(ticket.facts.deadline)
        ticket.settle()
        return Deliver()

    def failed(
        self,
        now: float,
        attempt_id: str,
        failure: Failure,
    ) -> Decision:
        """Take the end of an attempt without a complete answer."""
        flight = self.flights.get(attempt_id)
        if flight is None:
            return Wait(now)
        ticket = flight.ticket
        unsent = ticket.states[attempt_id] is AttemptState.NOT_SENT
        self._observe_failure(now, flight, failure)
        self._release(now, flight)
        if failure is Failure.CALLER_GONE and not ticket.settled:
            self._unqueue(ticket)
            return ticket.refuse(RefusalReason.CALLER_GONE)
        return self._again(now, ticket, is_charged=not unsent)

    def body_done(self, now: float, attempt_id: str) -> None:
        """Take the end of a response body."""
        flight = self.flights.get(attempt_id)
        if flight is not None:
            self._release(now, flight)

    def hedge(self, now: float, ticket: Ticket) -> Send | Wait | None:
        """Tell whether a running ticket gets a second attempt.

        ``Wait`` says when to ask again, ``None`` that it never will.
        """
        facts = ticket.facts
        if ticket.settled or not (facts.idempotent and facts.replayable):
            return None
        if ticket.owner is not None or facts.request_class is _UPLOAD:
            return None
        if not ticket.running:
            return Wait(facts.deadline)
        if len(ticket.running) > 1 or ticket.hedges:
            return None
        flight = self.flights[next(iter(ticket.running))]
        due = self.hedges.due(now, flight.at, flight.target, self.norm)
        if now + self.norm.median.level >= facts.deadline:
            return None
        if now < due:
            return Wait(due)
        return self._hedge(now, ticket, flight)

    def cancelled(self, ticket: Ticket) -> tuple[Attempt, ...]:
        """Give the running attempts that lost: cancel, close, then `failed`.

        They count as outstanding until ``failed`` or ``close``.
        """
        if not ticket.settled:
            return ()
        return tuple(
            attempt
            for attempt in ticket.running.values()
            if ticket.states[attempt.attempt_id] is not AttemptState.ANSWERED
        )

    def close(self, now: float, ticket: Ticket) -> tuple[Attempt, ...]:
        """End a ticket; give its attempts that are still to be cancelled."""
        lost: tuple[Attempt, ...] = ()
        if ticket.running:
            lost = tuple(ticket.running.values())
            for attempt in lost:
                flight = self.flights[attempt.attempt_id]
                self._observe_failure(now, flight, Failure.CANCELLED)
                self._release(now, flight)
        if ticket.queued:
            self._unqueue(ticket)
        self.ready.pop(ticket, None)
        ticket.settled = True
        ticket.closed = True
        return lost

    def redirect(self, now: float, ticket: Ticket, owner: str) -> None:
        """Set another owner, after a proof of "not owner, not run"."""
        if owner != ticket.owner:
            self._unqueue(ticket)
            ticket.owner = owner
            ticket.resend_at = now

    def take_ready(self) -> list[Ticket]:
        """Give waiting tickets whose next :meth:`poll` has a decision."""
        ready = list(self.ready)
        self.ready.clear()
        return ready

    def update(
        self,
        now: float,
        pool: Pool,
        zones_out: frozenset[str],
        cold: Mapping[str, str],
        group_outstanding: Mapping[str, int],
        hints: Mapping[str, Any],
    ) -> None:
        """Take the pool and what other hosts report; call it at each sync.

        :param cold: name of the host in charge of each cold upstream.
        :param group_outstanding: running requests of the whole group, this
            host included, on each upstream.
        :param hints: health reports, ``{upstream: {"state", "running"}}``.
        """
        self.pool = pool
        self.fleet.update(
            now,
            pool,
            zones_out,
            cold,
            group_outstanding,
            hints,
        )
        self._grant(now)

    def leaving(self, now: float, upstream: str) -> None:
        """Send nothing new to an upstream that announced its departure."""
        self.fleet.leaving(now, upstream)

    def outstanding(self) -> dict[str, int]:
        """Count this host's running requests on each upstream."""
        return {
            name: tgt.own for name, tgt in self.fleet.targets.items() if tgt.own
        }

    def found_cold(self, now: float) -> tuple[str, ...]:
        """Name upstreams that answers show to be cold, for the coordinator."""
        return tuple(
            name
            for name, target in self.fleet.targets.items()
            if target.ramp.charged is None and target.ramp.is_cold(now)
        )

    def found_warm(self) -> tuple[str, ...]:
        """Name cold upstreams in this host's charge that are warm by now."""
        return tuple(
            name
            for name, target in self.fleet.targets.items()
            if target.ramp.charged == self.host
            and target.ramp.is_warm(target.upstream.slots)
        )

    def _choose(
        self,
        now: float,
        ticket: Ticket,
    ) -> tuple[Target | None, float]:
        fleet = self.fleet
        if ticket.owner is None:
            return choose_zone(
                fleet.near,
                fleet.far,
                ticket.tried,
                now,
                self.norm,
                self.rng,
            )
        owner = fleet.owner(now, ticket.owner)
        if owner is None or owner.own >= owner.capacity:
            return None, 0
        return owner, 0

    def _send(
        self,
        now: float,
        ticket: Ticket,
        target: Target,
        hedge: bool = False,
    ) -> Send:
        upstream = target.upstream
        if target.ramp.charged is not None and ticket.owner is None:
            total = target.own + target.others
            check_cold(target.ramp, upstream.name, self.host, total)
        self.attempt_count += 1
        attempt_id = f'{ticket.facts.request_id}.{self.attempt_count}'
        attempt = Attempt(attempt_id, upstream, ticket.facts.deadline, hedge)
        ticket.open(attempt)
        self.flights[attempt_id] = Flight(ticket, attempt, target, now)
        target.own += 1
        if ticket.facts.request_class is not _UPLOAD:
            target.pending[attempt_id] = now
        return Send(attempt)

    def _hedge(
        self,
        now: float,
        ticket: Ticket,
        flight: Flight,
    ) -> Send | Wait:
        norm = self.norm
        age = now - flight.at
        target, score = self._choose(now, ticket)
        retry = Wait(min(now + norm.median.level, ticket.facts.deadline))
        if target is None or score > max(age, norm.tail.level):
            return retry
        if not self.hedges.allow(age, norm):
            return retry
        ticket.hedges += 1
        return self._send(now, ticket, target, hedge=True)

    def _observe_answer(self, now: float, flight: Flight, status: int) -> None:
        target = flight.target
        if target.pending.pop(flight.attempt.attempt_id, None) is None:
            return
        latency = now - flight.at
        norm = self.norm
        norm.observe(latency)
        median = norm.median.level
        target.observe(now, latency, median)
        target.limit.answered(now, latency, target.own, norm.base)
        norm.observe_mean(target.limit.mean)
        target.ramp.answered(latency, median, target.upstream.slots)
        if status in UNHEALTHY_STATUSES:
            is_outlier = target.evidence.failed()
        else:
            is_outlier = target.evidence.answered(now, latency, median)
        if is_outlier:
            self.fleet.eject(now, target)
        self.fleet.recount(target)

    def _observe_failure(
        self,
        now: float,
        flight: Flight,
        failure: Failure,
    ) -> None:
        target = flight.target
        since = target.pending.pop(flight.attempt.attempt_id, None)
        if since is not None:
            # A request that was given up shows at least its age.
            median = self.norm.median.level
            if now - since > median:
                target.observe(now, now - since, median)
        if failure is Failure.CANCELLED or failure is Failure.CALLER_GONE:
            return
        if failure is Failure.TIMEOUT:
            target.limit.reduce(now, REDUCTION)
            self.fleet.recount(target)
        if target.evidence.failed():
            self.fleet.eject(now, target)

    def _shed(self, now: float, flight: Flight, status: int) -> None:
        target = flight.target
        target.pending.pop(flight.attempt.attempt_id, None)
        if status != 503:
            return
        target.limit.reduce(now, REDUCTION)
        if target.ramp.shed(now, target.own):
            self.fleet.review(now)
        self.fleet.recount(target)

    def _release(self, now: float, flight: Flight) -> None:
        attempt_id = flight.attempt.attempt_id
        target = flight.target
        del self.flights[attempt_id]
        del flight.ticket.running[attempt_id]
        target.pending.pop(attempt_id, None)
        target.own -= 1
        if target.own < 0:
            name = flight.attempt.upstream.name
            raise InvariantError('outstanding', f'{name} is below zero')
        if self.waiting:
            self._grant(now)

    def _again(
        self,
        now: float,
        ticket: Ticket,
        is_charged: bool,
    ) -> Decision:
        if ticket.settled or ticket.running:
            return Wait(ticket.facts.deadline)
        if now >= ticket.facts.deadline:
            return ticket.refuse(RefusalReason.DEADLINE)
        if len(ticket.states) >= MAX_ATTEMPTS or not ticket.may_resend():
            return ticket.refuse(RefusalReason.ATTEMPTS_FAILED)
        # What never reached an upstream adds no load to any.
        if is_charged and not self.retries.spend():
            return ticket.refuse(RefusalReason.RETRY_BUDGET, RECHECK_S)
        if ticket.owner is not None:
            delay = RESEND_DELAY_S * 2 ** (len(ticket.states) - 1)
            ticket.resend_at = now + delay
        elif len(ticket.tried) >= len(self.fleet.present):
            ticket.tried.clear()
        return self.poll(now, ticket)

    def _poll_queued(self, now: float, ticket: Ticket) -> Decision:
        if not ticket.queued:
            self._enqueue(now, ticket)
        self._grant(now)
        if ticket.granted is not None or ticket.refused is not None:
            return self.poll(now, ticket)
        return Wait(min(now + RECHECK_S, ticket.facts.deadline))

    def _enqueue(self, now: float, ticket: Ticket) -> Decision:
        queue = self.queues.get(ticket.owner)
        if queue is None:
            queue = DeadlineQueue()
            self.queues[ticket.owner] = queue
        wait_s = self._expected_wait(ticket, queue)
        if wait_s and now + wait_s > ticket.facts.deadline:
            return ticket.refuse(RefusalReason.DEADLINE, wait_s)
        if self.waiting >= self.pool.queue_limit:
            evicted = queue.evict_below(ticket.facts.request_class)
            if evicted is None:
                return ticket.refuse(RefusalReason.QUEUE_FULL, wait_s)
            self.waiting -= 1
            evicted.refuse(RefusalReason.QUEUE_FULL, wait_s)
            self.ready[evicted] = None
        queue.push(ticket)
        self.waiting += 1
        return Wait(min(now + RECHECK_S, ticket.facts.deadline))

    def _expected_wait(self, ticket: Ticket, queue: DeadlineQueue) -> float:
        ahead = queue.ahead(ticket)
        if ticket.owner is None:
            targets = self.fleet.near + self.fleet.far
        else:
            owner = self.fleet.targets.get(ticket.owner)
            targets = [owner] if owner else []
        room = sum(target.capacity for target in targets)
        return ahead * self.norm.median.level / max(room, 1)

    def _unqueue(self, ticket: Ticket) -> None:
        if ticket.queued:
            self.queues[ticket.owner].remove(ticket)
            self.waiting -= 1

    def _grant(self, now: float) -> None:
        for owner, queue in list(self.queues.items()):
            while self._grant_next(now, queue):
                self.waiting -= 1
            if owner is not None and not queue.size:
                del self.queues[owner]

    def _grant_next(self, now: float, queue: DeadlineQueue) -> bool:
        ticket = queue.peek()
        if ticket is None:
            return False
        if now >= ticket.facts.deadline:
            queue.remove(ticket)
            ticket.refuse(RefusalReason.DEADLINE)
        else:
            target = self._choose(now, ticket)[0]
            if target is None and ticket.tried:
                ticket.tried.clear()
                target = self._choose(now, ticket)[0]
            if target is None:
                return False
            queue.remove(ticket)
            queue.grants += 1
            ticket.granted = self._send(now, ticket, target)
        self.ready[ticket] = None
        return True


_UPLOAD = RequestClass.UPLOAD
