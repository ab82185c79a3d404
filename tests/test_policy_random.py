"""Tests the guarantees of the request policy under random faults.

Three hosts send requests to six upstreams in simulated time. The requests that
the upstreams ran are recorded independently of the policy and compared with
the outcomes that were reported to callers.
"""

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any

import pytest

from oriolearch.core import model, policy
from oriolearch.core.model import RequestClass
from oriolearch.core.policy import Failure, Send, Wait

HOSTS = ('h0', 'h1', 'h2')
ZONES = ('a', 'b', 'c')
SECONDS = 12
CLASSES = (*[RequestClass.INTERACTIVE for _ in range(4)], *RequestClass)
FAILURES_AFTER_SEND = (
    Failure.RESET,
    Failure.CUT_ANSWER,
    Failure.WRONG_ATTEMPT,
    Failure.CALLER_GONE,
)


class Simulation:
    """Simulates hosts, upstreams and callers with random faults.

    :ivar factor: slowdown of each upstream.
    :ivar broken: share of each upstream's requests that fail.
    :ivar closed: pairs of host and upstream that must not be used.
    :ivar ran: how often the upstreams ran each request.
    :ivar not_run: requests that were refused as not run.
    :ivar open: host of each ticket that is not closed.
    """

    def __init__(self, seed: int, kind: model.PoolKind) -> None:
        self.rng = random.Random(seed)
        self.is_keyed = kind is model.PoolKind.KEYED
        self.pool = model.Pool(
            'pool',
            kind,
            tuple(
                model.Upstream(f'u{index}', '', ZONES[index % 3], 2, 4)
                for index in range(6)
            ),
            queue_limit=20,
        )
        self.hosts = {
            name: policy.PoolPolicy(self.pool, zone, name, random.Random(seed))
            for name, zone in zip(HOSTS, ZONES, strict=True)
        }
        self.names = [upstream.name for upstream in self.pool.upstreams]
        self.factor = dict.fromkeys(self.names, 1.0)
        self.broken = dict.fromkeys(self.names, 0.02)
        self.closed: set[tuple[str, str]] = set()
        self.events: list[tuple[float, int, Any, Any]] = []
        self.serial = count()
        self.now = 0.0
        self.ran: Counter[str] = Counter()
        self.not_run: set[str] = set()
        self.open: dict[policy.Ticket, str] = {}
        self.counts: Counter[str] = Counter()

    def schedule(self, delay: float, action: Any, *args: Any) -> None:
        entry = (self.now + max(delay, 0), next(self.serial), action, args)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        self.schedule(0, self.arrive)
        self.schedule(0, self.change_conditions)
        while self.events:
            when, _, action, args = heapq.heappop(self.events)
            self.now = when
            action(*args)

    def is_drawn(self, share: float) -> bool:
        return self.rng.random() < share

    def arrive(self) -> None:
        if self.now > SECONDS:
            return
        burst = 3 if self.now % 4 > 3 else 1
        self.schedule(self.rng.expovariate(700 * burst), self.arrive)
        host = self.rng.choice(HOSTS)
        owner = self.rng.choice(self.names) if self.is_keyed else None
        facts = policy.RequestFacts(
            f'r{next(self.serial)}',
            self.rng.choice(CLASSES),
            self.is_drawn(0.6),
            self.now + self.rng.choice((0.02, 0.2, 1)),
            owner,
            self.is_drawn(0.8),
        )
        self.counts['requests'] += 1
        pool_policy = self.hosts[host]
        ticket = pool_policy.submit(self.now, facts)
        self.open[ticket] = host
        self.step(ticket, pool_policy.poll(self.now, ticket))

    def change_conditions(self) -> None:
        """Choose at random which upstreams are slow, faulty, cold, leaving."""
        if self.now > SECONDS:
            return
        self.schedule(0.2, self.change_conditions)
        for name in self.names:
            self.factor[name] = self.rng.choice((1, 1, 1, 1, 10))
            self.broken[name] = self.rng.choice((0.02, 0.02, 0.02, 0.6))
        cold, zones = {}, set()
        if self.is_drawn(0.5):
            cold[self.rng.choice(self.names)] = self.rng.choice(HOSTS)
        if self.is_drawn(0.2):
            zones.add(self.rng.choice(ZONES))
        group: Counter[str] = Counter()
        for pool_policy in self.hosts.values():
            group.update(pool_policy.outstanding())
        self.closed.clear()
        for host, pool_policy in self.hosts.items():
            hints = {name: {'state': 'ready'} for name in self.names}
            report = (self.pool, frozenset(zones), cold, group, hints)
            pool_policy.update(self.now, *report)
            for upstream in self.pool.upstreams:
                dispatching_host = cold.get(upstream.name, host)
                if dispatching_host != host or upstream.zone in zones:
                    self.closed.add((host, upstream.name))
            self.wake(host)
        if self.is_drawn(0.1):
            host, name = self.rng.choice(HOSTS), self.rng.choice(self.names)
            self.hosts[host].leaving(self.now, name)
            self.closed.add((host, name))

    def step(self, ticket: policy.Ticket, decision: Any) -> None:
        if isinstance(decision, Send):
            self.send(ticket, decision.attempt)
        elif isinstance(decision, Wait):
            if not ticket.running:
                self.schedule(decision.until - self.now, self.poll, ticket)
        else:
            self.end(ticket, decision)

    def poll(self, ticket: policy.Ticket) -> None:
        if ticket in self.open:
            pool_policy = self.hosts[self.open[ticket]]
            decision = pool_policy.poll(self.now, ticket)
            assert pool_policy.waiting <= self.pool.queue_limit
            self.step(ticket, decision)

    def send(self, ticket: policy.Ticket, attempt: policy.Attempt) -> None:
        name = attempt.upstream.name
        if self.is_keyed:
            assert name == ticket.owner
        else:
            used = (self.open[ticket], name)
            assert used not in self.closed or ticket.closed
        running = [item.upstream.name for item in ticket.running.values()]
        assert running.count(name) == 1
        self.counts['hedges'] += attempt.hedge
        self.schedule(0.0005, self.connect, ticket, attempt)
        if not attempt.hedge:
            self.check_hedge(ticket)

    def check_hedge(self, ticket: policy.Ticket) -> None:
        if ticket not in self.open:
            return
        hedge = self.hosts[self.open[ticket]].hedge(self.now, ticket)
        if isinstance(hedge, Send):
            self.send(ticket, hedge.attempt)
        elif hedge is not None and hedge.until > self.now:
            self.schedule(hedge.until - self.now, self.check_hedge, ticket)

    def connect(self, ticket: policy.Ticket, attempt: policy.Attempt) -> None:
        """Connect, send the request and choose its outcome."""
        name = attempt.upstream.name
        identifier = attempt.attempt_id
        outcome = 'served'
        if self.is_drawn(self.broken[name]):
            outcome = self.rng.choice(('refused', 'shed', 'broken', 'not read'))
        if outcome == 'refused':
            refused = Failure.CONNECTION_REFUSED
            self.react(ticket, 'failed', identifier, refused)
            return
        if ticket not in self.open:
            return
        pool_policy = self.hosts[self.open[ticket]]
        if not pool_policy.sent(self.now, identifier):
            return
        request = ticket.facts.request_id
        assert request not in self.not_run, 'sent after a refusal as not run'
        if outcome == 'shed':
            status = self.rng.choice((409, 421, 503))
            answer = ('answered', identifier, status, True)
            self.schedule(0.001, self.react, ticket, *answer)
            return
        if outcome != 'not read':
            self.ran[request] += 1
            if not ticket.facts.idempotent:
                assert self.ran[request] == 1, 'ran twice'
        took_s = self.rng.expovariate(200) * self.factor[name]
        if outcome != 'served':
            ending = self.rng.choice(FAILURES_AFTER_SEND)
            self.schedule(
                took_s, self.react, ticket, 'failed', identifier, ending
            )
        elif self.now + took_s > attempt.deadline:
            left = attempt.deadline - self.now
            failure = ('failed', identifier, Failure.TIMEOUT)
            self.schedule(left, self.react, ticket, *failure)
        else:
            status = self.rng.choice((200, 200, 200, 500, 503))
            answer = ('answered', identifier, status, False)
            self.schedule(took_s, self.react, ticket, *answer)

    def react(self, ticket: policy.Ticket, event: str, *args: Any) -> None:
        if ticket in self.open:
            host = self.open[ticket]
            act = getattr(self.hosts[host], event)
            self.step(ticket, act(self.now, *args))
            self.wake(host)

    def end(self, ticket: policy.Ticket, decision: Any) -> None:
        host = self.open.pop(ticket)
        self.counts[type(decision).__name__] += 1
        if isinstance(decision, policy.Refuse):
            request = ticket.facts.request_id
            if decision.refusal.outcome is policy.Outcome.NOT_RUN:
                self.not_run.add(request)
                assert not self.ran[request], 'refused as not run, but ran'
        pool_policy = self.hosts[host]
        for lost in pool_policy.cancelled(ticket):
            pool_policy.failed(self.now, lost.attempt_id, Failure.CANCELLED)
        pool_policy.close(self.now, ticket)

    def wake(self, host: str) -> None:
        for ticket in self.hosts[host].take_ready():
            self.poll(ticket)


@pytest.mark.parametrize('kind', list(model.PoolKind))
@pytest.mark.parametrize('seed', range(4))
def test_guarantees_hold_under_random_faults(
    seed: int,
    kind: model.PoolKind,
) -> None:
    """Fails if a request runs twice, is lost or is falsely called not run."""
    simulation = Simulation(seed, kind)
    simulation.run()
    requests = simulation.counts['requests']
    assert not simulation.open
    assert (
        requests == simulation.counts['Deliver'] + simulation.counts['Refuse']
    )
    assert simulation.counts['Deliver'] > requests / 4
    assert simulation.counts['hedges'] <= requests * simulation.pool.hedge_share
    for pool_policy in simulation.hosts.values():
        assert pool_policy.outstanding() == {}
        assert (
            pool_policy.waiting,
            len(pool_policy.attempts),
            len(pool_policy.ready),
        ) == (0, 0, 0)
