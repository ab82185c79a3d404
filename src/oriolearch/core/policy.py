"""The request policy of one pool: what the data path asks.

Not thread-safe: the adapter holds one lock a pool. ``submit`` and ``poll``
give a first attempt or a place in the queue; the calls named after events of
an attempt give what to do next.
"""

import random
from collections.abc import Mapping
from typing import Any

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
from oriolearch.core.errors import InvariantError
from oriolearch.core.model import Pool, Upstream

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
MAX_ATTEMPTS = 4
RECHECK_S = 0.05  # bounds a wait whose wake-up was missed


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
        self.zone = zone
        self.host = host
        self.rng = rng
        self.busy: dict[str, int] = {}
        self.tickets: dict[str, Ticket] = {}
        self.cold: Mapping[str, str] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.gone: set[str] = set()
        self.attempt_count = 0
        self.turn = 0

    def submit(self, now: float, facts: RequestFacts) -> Ticket:
        """Take in a request; ask :meth:`poll` what to do with it."""
        return Ticket(facts, now)

    def poll(self, now: float, ticket: Ticket) -> Decision:
        """Give the next step of a ticket that has no attempt running.

        A settled ticket, or one that an attempt still runs for, waits.
        """
        if ticket.refused is not None:
            return ticket.refused
        if ticket.settled or ticket.running:
            return Wait(ticket.facts.deadline)
        if now >= ticket.facts.deadline:
            return ticket.refuse(RefusalReason.DEADLINE)
        upstream = self._choose(ticket)
        if upstream is None:
            return Wait(min(now + RECHECK_S, ticket.facts.deadline))
        return self._send(ticket, upstream)

    def sent(self, now: float, attempt_id: str) -> bool:
        """Record the hand-over, to be called before the first byte.

        Gives ``False`` when the attempt is over and must not be sent.
        """
        ticket = self.tickets.get(attempt_id)
        is_open = ticket is not None and not ticket.settled
        if ticket is not None and is_open:
            ticket.states[attempt_id] = AttemptState.MAYBE_RUN
        return is_open

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
        ticket = self.tickets.get(attempt_id)
        if ticket is None:
            return Wait(now)
        if ticket.settled:
            self._release(ticket, attempt_id)
            return Wait(ticket.facts.deadline)
        if not_run:
            ticket.states[attempt_id] = AttemptState.PROVEN_NOT_RUN
            self._release(ticket, attempt_id)
            return self._again(now, ticket)
        ticket.states[attempt_id] = AttemptState.ANSWERED
        ticket.settle()
        return Deliver()

    def failed(
        self,
        now: float,
        attempt_id: str,
        failure: Failure,
    ) -> Decision:
        """Take the end of an attempt without a complete answer."""
        ticket = self.tickets.get(attempt_id)
        if ticket is None:
            return Wait(now)
        self._release(ticket, attempt_id)
        if ticket.settled:
            return Wait(ticket.facts.deadline)
        if failure is Failure.CALLER_GONE:
            return ticket.refuse(RefusalReason.CALLER_GONE)
        return self._again(now, ticket)

    def body_done(self, now: float, attempt_id: str) -> None:
        """Take the end of a response body."""
        ticket = self.tickets.get(attempt_id)
        if ticket is not None:
            self._release(ticket, attempt_id)

    def hedge(self, now: float, ticket: Ticket) -> Send | Wait | None:
        """Tell whether a running ticket gets a second attempt.

        ``Wait`` says when to ask again, ``None`` that it never will.
        """
        return None if ticket.settled else Wait(ticket.facts.deadline)

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
        lost = tuple(ticket.running.values())
        for attempt in lost:
            self._release(ticket, attempt.attempt_id)
        ticket.settled = True
        ticket.closed = True
        return lost

    def redirect(self, now: float, ticket: Ticket, owner: str) -> None:
        """Set another owner, after a proof of "not owner, not run"."""
        ticket.owner = owner

    def take_ready(self) -> list[Ticket]:
        """Give waiting tickets whose next :meth:`poll` has a decision."""
        return []

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
        self.zones_out = zones_out
        self.cold = cold

    def leaving(self, now: float, upstream: str) -> None:
        """Send nothing new to an upstream that announced its departure."""
        self.gone.add(upstream)

    def outstanding(self) -> dict[str, int]:
        """Count this host's running requests on each upstream."""
        return {name: count for name, count in self.busy.items() if count}

    def _choose(self, ticket: Ticket) -> Upstream | None:
        if ticket.owner is not None:
            owner = self.pool.upstream(ticket.owner)
            return owner if owner and self._has_room(owner) else None
        self.turn += 1
        start = self.turn % max(len(self.pool.upstreams), 1)
        order = self.pool.upstreams[start:] + self.pool.upstreams[:start]
        return next(
            (
                upstream
                for upstream in order
                if self._has_room(upstream)
                and upstream.name not in ticket.tried
            ),
            None,
        )

    def _has_room(self, upstream: Upstream) -> bool:
        if upstream.zone in self.zones_out or upstream.name in self.gone:
            return False
        if self.cold.get(upstream.name, self.host) != self.host:
            return False
        return self.busy.get(upstream.name, 0) < upstream.slots

    def _send(self, ticket: Ticket, upstream: Upstream) -> Send:
        self.attempt_count += 1
        attempt = Attempt(
            f'{ticket.facts.request_id}.{self.attempt_count}',
            upstream,
            ticket.facts.deadline,
            hedge=False,
        )
        ticket.open(attempt)
        self.tickets[attempt.attempt_id] = ticket
        self.busy[upstream.name] = self.busy.get(upstream.name, 0) + 1
        return Send(attempt)

    def _release(self, ticket: Ticket, attempt_id: str) -> None:
        attempt = ticket.running.pop(attempt_id, None)
        self.tickets.pop(attempt_id, None)
        if attempt is None:
            return
        name = attempt.upstream.name
        self.busy[name] -= 1
        if self.busy[name] < 0:
            raise InvariantError('outstanding', f'{name} is below zero')

    def _again(self, now: float, ticket: Ticket) -> Decision:
        if ticket.running:
            return Wait(ticket.facts.deadline)
        if len(ticket.states) >= MAX_ATTEMPTS or not ticket.may_resend():
            return ticket.refuse(RefusalReason.ATTEMPTS_FAILED)
        return self.poll(now, ticket)
