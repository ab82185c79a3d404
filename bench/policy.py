"""Compare the request policy with simpler rules in simulated time.

Three hosts in each of three zones send requests to twelve upstreams, each of
which has two concurrency slots and a first-in, first-out queue. Run it with
``make bench-policy``.
"""

import argparse
import heapq
import json
import math
import pathlib
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import count, product
from typing import Any

from oriolearch.core.model import Pool, PoolKind, RequestClass, Upstream
from oriolearch.core.policy import (
    Deliver,
    Failure,
    PoolPolicy,
    RequestFacts,
    Send,
    Ticket,
    Wait,
)

ZONES = ('a', 'b', 'c')
HOSTS_PER_ZONE = 3
UPSTREAM_COUNT = 12
SLOTS_PER_UPSTREAM = 2
MEAN_SERVICE_TIME_S = 0.006  # of a lognormal distribution
SERVICE_TIME_SIGMA = 0.6
SAME_ZONE_DELAY_S = 0.0001  # one way
CROSS_ZONE_DELAY_S = 0.0005  # one way
DEADLINE_S = 0.1
SLOW_FACTOR = 10  # multiplies the service time
SLOW_DURATION_RANGE_S = (0.05, 0.5)
SLOW_INTERVAL_RANGE_S = (0.5, 2.5)
IDEMPOTENT_SHARE = 0.9
SYNC_INTERVAL_S = 0.2
MAX_RETRIES = 3  # of a baseline host
RESTART_PERIOD_S = 8.0
RESTART_DOWNTIME_S = 1.0
COLD_START_DURATION_S = 3.0
COLD_START_FACTOR = 4  # multiplies the service time when a cold start begins
POLICIES = ('round-robin', 'least', 'two-choices', 'ours', 'oracle')
SEEDS = (1, 2, 3)
MAX_P99_RATIO = 1.5  # p99 with a disturbance to p99 without
MAX_HEDGE_SHARE = 0.05  # of the requests


class SimulatedClock:
    """Clock that runs scheduled actions in simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = count()

    def schedule_at(
        self, when: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Schedule an action at a time, or now if the time has passed."""
        entry = (max(when, self.now), next(self.sequence), action, args)
        heapq.heappush(self.events, entry)

    def schedule_after(
        self, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.now + delay, action, *args)

    def run(self, until: float) -> None:
        """Run the scheduled actions up to a time."""
        while self.events:
            if self.events[0][0] > until:
                break
            when, _, action, args = heapq.heappop(self.events)
            self.now = when
            action(*args)
        self.now = until


@dataclass(eq=False, slots=True)
class Job:
    """Attempt of a request at an upstream.

    :param remaining_s: remaining service time at normal speed.
    :param updated_at: when the remaining service time was last computed.
    :param schedule_version: identifies the current finish event, so that
        events scheduled earlier are ignored.
    """

    remaining_s: float
    on_reply: Callable[['Job', int, bool], None]
    attempt_id: str = ''
    updated_at: float = 0
    schedule_version: int = 0
    running: bool = False
    cancelled: bool = False


class FakeUpstream:
    """Upstream with slots, a queue, slow periods and cold starts."""

    def __init__(self, clock: SimulatedClock, model: Upstream) -> None:
        self.clock = clock
        self.model = model
        self.slowdown = 1.0
        self.down = False
        self.cold_since: float | None = None
        self.queue: deque[Job] = deque()
        self.running: set[Job] = set()
        self.cold_rejections = 0
        self.on_change: Callable[[FakeUpstream], None] | None = None

    def cold_limit(self) -> int:
        """Return how many requests it accepts at once."""
        if self.cold_since is None:
            return 10**6
        is_first_half = (
            self.clock.now - self.cold_since < COLD_START_DURATION_S / 2
        )
        return 1 if is_first_half else SLOTS_PER_UPSTREAM

    def receive(self, job: Job) -> None:
        """Queue a request, or reject it.

        Requests are rejected while the upstream is down (status 0, a refused
        connection) and above the limit of a cold start (status 503).
        """
        if self.down:
            job.on_reply(job, 0, False)
            return
        if len(self.running) + len(self.queue) >= self.cold_limit():
            self.cold_rejections += 1
            job.on_reply(job, 503, True)
            return
        self.queue.append(job)
        self._start_queued()

    def cancel(self, job: Job) -> None:
        """Remove a request that its host cancelled."""
        job.cancelled = True
        if job in self.running:
            self._update_remaining(job)
            self.running.discard(job)
            job.schedule_version += 1
            self._start_queued()
        elif job in self.queue:
            self.queue.remove(job)

    def set_slowdown(self, slowdown: float) -> None:
        """Change the slowdown, also of running requests."""
        for job in self.running:
            self._update_remaining(job)
        self.slowdown = slowdown
        for job in self.running:
            self._schedule_finish(job)
        if self.on_change is not None:
            self.on_change(self)

    def is_fast(self) -> bool:
        """Return whether it is up, warm and not slowed."""
        is_up = not self.down and self.cold_since is None
        return is_up and self.slowdown == 1

    def _update_remaining(self, job: Job) -> None:
        served_s = (self.clock.now - job.updated_at) / self.slowdown
        job.remaining_s = max(job.remaining_s - served_s, 0)
        job.updated_at = self.clock.now

    def _schedule_finish(self, job: Job) -> None:
        job.schedule_version += 1
        delay = job.remaining_s * self.slowdown
        self.clock.schedule_after(
            delay, self._finish, job, job.schedule_version
        )

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.model.slots:
            job = self.queue.popleft()
            if self.cold_since is not None:
                warm_share = (
                    self.clock.now - self.cold_since
                ) / COLD_START_DURATION_S
                job.remaining_s *= 1 + (COLD_START_FACTOR - 1) * max(
                    1 - warm_share, 0
                )
            job.updated_at = self.clock.now
            self.running.add(job)
            self._schedule_finish(job)

    def _finish(self, job: Job, schedule_version: int) -> None:
        if job.schedule_version == schedule_version:
            self._update_remaining(job)
            self.running.discard(job)
            job.on_reply(job, 200, False)
            self._start_queued()


@dataclass(eq=False)
class Call:
    """Request of a caller."""

    start: float
    service_time_s: float
    idempotent: bool
    number: int


@dataclass
class Tally:
    """Outcomes of the requests of a run; skips those of its warm-up."""

    warm_up_s: float
    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    hedges: int = 0
    attempts: int = 0
    cold_rejections: int = 0

    def add(self, other: 'Tally') -> None:
        """Add the outcomes of another run of the same cell."""
        self.latencies.extend(other.latencies)
        self.refused += other.refused
        self.hedges += other.hedges
        self.attempts += other.attempts
        self.cold_rejections += other.cold_rejections

    def record_answer(self, call: Call, now: float) -> None:
        """Record an answer."""
        if call.start >= self.warm_up_s:
            self.latencies.append(now - call.start)

    def record_attempt(self, call: Call, hedge: bool = False) -> None:
        """Record an attempt."""
        if call.start >= self.warm_up_s:
            self.attempts += 1
            self.hedges += hedge

    def record_refusal(self, call: Call) -> None:
        """Record a refusal."""
        if call.start >= self.warm_up_s:
            self.refused += 1


class Network:
    """Network between hosts and upstreams, with a delay for each direction."""

    def __init__(
        self, clock: SimulatedClock, fakes: dict[str, FakeUpstream]
    ) -> None:
        self.clock = clock
        self.fakes = fakes

    def send(self, zone: str, name: str, job: Job) -> None:
        """Deliver a request and its reply, each after the network delay."""
        fake = self.fakes[name]
        delay = (
            SAME_ZONE_DELAY_S if fake.model.zone == zone else CROSS_ZONE_DELAY_S
        )
        reply = job.on_reply

        def delayed_reply(job: Job, status: int, not_run: bool) -> None:
            self.clock.schedule_after(delay, reply, job, status, not_run)

        job.on_reply = delayed_reply
        self.clock.schedule_after(delay, fake.receive, job)

    def cancel(self, zone: str, name: str, job: Job) -> None:
        """Deliver a cancellation after the network delay."""
        fake = self.fakes[name]
        delay = (
            SAME_ZONE_DELAY_S if fake.model.zone == zone else CROSS_ZONE_DELAY_S
        )
        self.clock.schedule_after(delay, fake.cancel, job)


class BaselineHost:
    """Host that chooses upstreams by a simple rule and its own counts."""

    def __init__(
        self,
        rule: str,
        zone: str,
        pool: Pool,
        network: Network,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self.rule = rule
        self.zone = zone
        self.network = network
        self.rng = rng
        self.tally = tally
        self.names = [upstream.name for upstream in pool.upstreams]
        self.running = dict.fromkeys(self.names, 0)
        self.last_index = rng.randrange(UPSTREAM_COUNT)

    def choose(self) -> str:
        """Return the name of the upstream for the next request."""
        if self.rule == 'round-robin':
            self.last_index = (self.last_index + 1) % len(self.names)
            return self.names[self.last_index]
        if self.rule == 'least':
            least = min(self.running.values())
            ties = [name for name in self.names if self.running[name] == least]
            return self.rng.choice(ties)
        pair = self.rng.sample(self.names, 2)
        return min(pair, key=self.running.__getitem__)

    def submit(self, call: Call, retries: int = 0) -> None:
        """Send a caller's request and retry it if it fails."""
        name = self.choose()
        self.running[name] += 1
        self.tally.record_attempt(call)

        def reply(job: Job, status: int, not_run: bool) -> None:
            self.running[name] -= 1
            if status == 200:
                self.tally.record_answer(call, self.network.clock.now)
            elif retries < MAX_RETRIES:
                self.submit(call, retries + 1)
            else:
                self.tally.record_refusal(call)

        self.network.send(self.zone, name, Job(call.service_time_s, reply))


class OracleHost:
    """Host that sees the state of all upstreams without delay.

    It shows what the capacity allows: all hosts share one queue, no request
    waits behind a busy slot, and requests leave an upstream at the moment it
    becomes slow.
    """

    def __init__(self, network: Network, tally: Tally) -> None:
        self.clock = network.clock
        self.fakes = tuple(network.fakes.values())
        self.tally = tally
        self.queue: deque[Call] = deque()
        self.calls: dict[Job, Call] = {}
        for fake in self.fakes:
            fake.on_change = self.on_change

    def submit(self, call: Call) -> None:
        """Queue a caller's request."""
        self.tally.record_attempt(call)
        self.queue.append(call)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests in the free slots of fast upstreams."""
        free = [fake for fake in self.fakes if fake.is_fast()]
        for fake in free:
            while self.queue and len(fake.running) < SLOTS_PER_UPSTREAM:
                call = self.queue.popleft()
                job = Job(call.service_time_s, self.receive_answer)
                self.calls[job] = call
                fake.receive(job)

    def receive_answer(self, job: Job, status: int, not_run: bool) -> None:
        """Record an answer and start queued requests."""
        self.tally.record_answer(
            self.calls.pop(job), self.clock.now + 2 * SAME_ZONE_DELAY_S
        )
        self.clock.schedule_after(0, self.start_queued)

    def on_change(self, fake: 'FakeUpstream') -> None:
        """Queue the requests of an upstream again if it became slow."""
        if not fake.is_fast():
            for job in tuple(fake.running):
                fake.cancel(job)
                self.queue.appendleft(self.calls.pop(job))
        self.clock.schedule_after(0, self.start_queued)


class PolicyHost:
    """Host that runs the request policy as the data path does."""

    def __init__(
        self,
        name: str,
        zone: str,
        pool: Pool,
        network: Network,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self.zone = zone
        self.clock = network.clock
        self.network = network
        self.tally = tally
        self.policy = PoolPolicy(pool, zone, name, rng)
        self.calls: dict[Ticket, Call] = {}
        self.jobs: dict[str, Job] = {}

    def submit(self, call: Call) -> None:
        """Submit a caller's request to the policy."""
        facts = RequestFacts(
            str(call.number),
            RequestClass.INTERACTIVE,
            call.idempotent,
            call.start + DEADLINE_S,
            None,
            replayable=True,
        )
        ticket = self.policy.submit(self.clock.now, facts)
        self.calls[ticket] = call
        self.clock.schedule_at(facts.deadline, self.cancel_overdue, ticket)
        self.apply_decision(ticket, self.policy.poll(self.clock.now, ticket))

    def apply_decision(self, ticket: Ticket, decision: Any) -> None:
        """Carry out a decision of the policy."""
        if isinstance(decision, Send):
            self.send_attempt(ticket, decision)
        elif isinstance(decision, Wait):
            if not ticket.running:
                self.clock.schedule_at(decision.until, self.poll, ticket)
        elif isinstance(decision, Deliver):
            self.finish(ticket, is_delivered=True)
        else:
            self.finish(ticket, is_delivered=False)

    def poll(self, ticket: Ticket) -> None:
        """Poll the policy for a waiting ticket."""
        if ticket in self.calls and not ticket.running or ticket.granted:
            self.apply_decision(
                ticket, self.policy.poll(self.clock.now, ticket)
            )

    def send_attempt(self, ticket: Ticket, send: Send) -> None:
        """Send an attempt."""
        attempt = send.attempt
        call = self.calls[ticket]
        self.tally.record_attempt(call, attempt.hedge)

        def reply(job: Job, status: int, not_run: bool) -> None:
            self.receive_answer(ticket, attempt.attempt_id, status, not_run)

        job = Job(call.service_time_s, reply, attempt.attempt_id)
        self.jobs[attempt.attempt_id] = job
        # A refused connection is detected before the first byte is sent.
        if not self.network.fakes[attempt.upstream.name].down:
            self.policy.sent(self.clock.now, attempt.attempt_id)
        self.network.send(self.zone, attempt.upstream.name, job)
        if not attempt.hedge:
            self.check_hedge(ticket)

    def cancel_overdue(self, ticket: Ticket) -> None:
        """Cancel attempts that run at the deadline, as the data path does."""
        for attempt in tuple(ticket.running.values()):
            job = self.jobs.pop(attempt.attempt_id, None)
            if ticket in self.calls and job is not None:
                name = attempt.upstream.name
                self.network.cancel(self.zone, name, job)
                failure = (attempt.attempt_id, Failure.TIMEOUT)
                decision = self.policy.failed(self.clock.now, *failure)
                self.apply_decision(ticket, decision)

    def check_hedge(self, ticket: Ticket) -> None:
        """Ask the policy whether to hedge and send the hedge if so."""
        if ticket not in self.calls:
            return
        hedge = self.policy.hedge(self.clock.now, ticket)
        if isinstance(hedge, Send):
            self.send_attempt(ticket, hedge)
        elif hedge is not None:
            self.clock.schedule_at(
                max(hedge.until, self.clock.now + 1e-4),
                self.check_hedge,
                ticket,
            )

    def receive_answer(
        self,
        ticket: Ticket,
        attempt_id: str,
        status: int,
        not_run: bool,
    ) -> None:
        """Report an answer to the policy; status 0 is a refused connection."""
        self.jobs.pop(attempt_id, None)
        if ticket not in self.calls:
            return
        now = self.clock.now
        if status:
            decision = self.policy.answered(now, attempt_id, status, not_run)
        else:
            refused = Failure.CONNECTION_REFUSED
            decision = self.policy.failed(now, attempt_id, refused)
        self.apply_decision(ticket, decision)
        self.poll_ready()

    def finish(self, ticket: Ticket, *, is_delivered: bool) -> None:
        """Close a ticket and cancel its attempts that still run."""
        call = self.calls.pop(ticket)
        now = self.clock.now
        if is_delivered:
            self.tally.record_answer(call, now)
        else:
            self.tally.record_refusal(call)
        for attempt in self.policy.cancelled(ticket):
            job = self.jobs.pop(attempt.attempt_id, None)
            if job is not None:
                self.network.cancel(self.zone, attempt.upstream.name, job)
        self.policy.close(now, ticket)
        self.poll_ready()

    def poll_ready(self) -> None:
        """Poll the tickets for which capacity became available."""
        for ticket in self.policy.take_ready():
            self.poll(ticket)


class Run:
    """Simulation of one table cell: a policy, a load and a disturbance."""

    def __init__(
        self,
        policy: str,
        load: float,
        slow_count: int,
        cold_count: int,
        seconds: float,
        seed: int,
    ) -> None:
        self.clock = SimulatedClock()
        self.seconds = seconds
        self.load = load
        self.seed = seed
        self.tally = Tally(warm_up_s=1.0)
        models = tuple(
            Upstream(f'u{index}', '', ZONES[index % 3], SLOTS_PER_UPSTREAM)
            for index in range(UPSTREAM_COUNT)
        )
        self.pool = Pool('plain', PoolKind.PLAIN, models, timeout_s=DEADLINE_S)
        self.fakes = {up.name: FakeUpstream(self.clock, up) for up in models}
        self.network = Network(self.clock, self.fakes)
        self.hosts: list[Any] = [
            self._make_host(policy, index)
            for index in range(3 * HOSTS_PER_ZONE)
        ]
        if policy == 'oracle':
            oracle = OracleHost(self.network, self.tally)
            self.hosts = [oracle for _ in self.hosts]
        self.slow_rng = random.Random(f'{seed}/slow')
        # The slowed upstreams are spread over the zones.
        for index in range(slow_count):
            self._end_slow_period(
                self.fakes[f'u{index * 4 % UPSTREAM_COUNT + index // 3}']
            )
        for index in range(cold_count):
            self.clock.schedule_at(
                2, self._stop_upstream, self.fakes[f'u{3 * index}']
            )
        if policy == 'ours':
            self.clock.schedule_at(0, self._send_sync)

    def run(self) -> Tally:
        """Run the simulation and return the outcomes of its requests."""
        self.calls = self._generate_calls()
        self._schedule_next_call()
        self.clock.run(self.seconds)
        self.tally.cold_rejections = sum(
            fake.cold_rejections for fake in self.fakes.values()
        )
        return self.tally

    def _make_host(self, policy: str, index: int) -> BaselineHost | PolicyHost:
        rng = random.Random(f'{self.seed}/host/{index}')
        zone = ZONES[index % 3]
        if policy == 'ours':
            name = f'h{index}'
            return PolicyHost(
                name,
                zone,
                self.pool,
                self.network,
                rng,
                self.tally,
            )
        return BaselineHost(
            policy,
            zone,
            self.pool,
            self.network,
            rng,
            self.tally,
        )

    def _generate_calls(self) -> Iterator[Call]:
        rng = random.Random(f'{self.seed}/calls')
        rate = (
            self.load
            * UPSTREAM_COUNT
            * SLOTS_PER_UPSTREAM
            / MEAN_SERVICE_TIME_S
        )
        mu = math.log(MEAN_SERVICE_TIME_S) - SERVICE_TIME_SIGMA**2 / 2
        now = 0.0
        for number in count():
            now += rng.expovariate(rate)
            service_time_s = rng.lognormvariate(mu, SERVICE_TIME_SIGMA)
            idempotent = rng.random() < IDEMPOTENT_SHARE
            yield Call(now, service_time_s, idempotent, number)

    def _schedule_next_call(self) -> None:
        call = next(self.calls)
        self.clock.schedule_at(call.start, self._receive_call, call)

    def _receive_call(self, call: Call) -> None:
        # The load balancer spreads the callers over the hosts at random.
        host = self.hosts[hash((call.number, 7)) * 2654435761 % 2**32 % 9]
        host.submit(call)
        self._schedule_next_call()

    def _end_slow_period(self, fake: FakeUpstream) -> None:
        fake.set_slowdown(1)
        delay = self.slow_rng.uniform(*SLOW_INTERVAL_RANGE_S)
        self.clock.schedule_after(delay, self._start_slow_period, fake)

    def _start_slow_period(self, fake: FakeUpstream) -> None:
        fake.set_slowdown(SLOW_FACTOR)
        self.clock.schedule_after(
            self.slow_rng.uniform(*SLOW_DURATION_RANGE_S),
            self._end_slow_period,
            fake,
        )

    def _stop_upstream(self, fake: FakeUpstream) -> None:
        fake.down = True
        self.clock.schedule_after(
            RESTART_DOWNTIME_S, self._restart_upstream, fake
        )
        self.clock.schedule_after(RESTART_PERIOD_S, self._stop_upstream, fake)

    def _restart_upstream(self, fake: FakeUpstream) -> None:
        fake.down = False
        fake.cold_since = self.clock.now
        self.clock.schedule_after(
            COLD_START_DURATION_S, self._end_cold_start, fake
        )

    def _end_cold_start(self, fake: FakeUpstream) -> None:
        fake.cold_since = None

    def _send_sync(self) -> None:
        """Send the hosts' counts and the cold upstreams to each host.

        They arrive one to two sync intervals later.
        """
        outstanding: dict[str, int] = {}
        for host in self.hosts:
            for name, number in host.policy.outstanding().items():
                outstanding[name] = outstanding.get(name, 0) + number
        cold = {
            # The dispatching host is one of its zone: h0, h3 or h6.
            name: f'h{int(name[1:]) % 9}'
            for name, fake in self.fakes.items()
            if fake.cold_since is not None
        }
        for index, host in enumerate(self.hosts):
            delay = SYNC_INTERVAL_S * (1 + index / len(self.hosts))
            self.clock.schedule_after(
                delay, self._apply_sync, host, outstanding, cold
            )
        self.clock.schedule_after(SYNC_INTERVAL_S, self._send_sync)

    def _apply_sync(
        self,
        host: PolicyHost,
        outstanding: dict[str, int],
        cold: dict[str, str],
    ) -> None:
        now = self.clock.now
        host.policy.update(now, self.pool, frozenset(), cold, outstanding, {})
        host.poll_ready()


def summarize(tally: Tally) -> dict[str, Any]:
    """Return the figures of a table row, with latencies in milliseconds."""
    ordered = sorted(tally.latencies)
    total = len(ordered) + tally.refused
    on_time = sum(latency <= DEADLINE_S for latency in ordered)

    def quantile(fraction: float) -> float:
        return round(ordered[int(fraction * len(ordered))] * 1000, 2)

    return {
        'requests': total,
        'p50': quantile(0.5),
        'p99': quantile(0.99),
        'p99.9': quantile(0.999),
        'on_time': round(on_time / total, 5),
        'refused': tally.refused,
        'hedges': round(tally.hedges / total, 4),
        'attempts': round(tally.attempts / total, 4),
        'over_cold': tally.cold_rejections,
    }


DISTURBANCES = {
    'none': (0, 0),
    '2 slow': (2, 0),
    '4 slow': (4, 0),
    'cold': (0, 1),
    'cold zone': (0, 4),
}
LOADS = (0.5, 0.7, 0.85)


Cell = tuple[str, float, str, float, tuple[int, ...]]


def run_cell(cell: Cell) -> dict[str, Any]:
    """Run one cell with each seed and return its table row.

    Each call runs in a worker process.
    """
    policy, load, disturbance, seconds, seeds = cell
    slow_count, cold_count = DISTURBANCES[disturbance]
    row = {'policy': policy, 'load': load, 'disturbance': disturbance}
    total = Tally(warm_up_s=1)
    for seed in seeds:
        total.add(
            Run(policy, load, slow_count, cold_count, seconds, seed).run()
        )
    return row | summarize(total)


def find_misses(rows: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a message for each target that a cell of our policy misses."""
    table = {
        (row['policy'], row['load'], row['disturbance']): row for row in rows
    }
    keys = [key for key in table if key[0] == 'ours']
    for policy, load, disturbance in keys:
        row = table[policy, load, disturbance]
        cell = f'load {load} {disturbance}:'
        undisturbed = table[policy, load, 'none']
        ratio = row['p99'] / undisturbed['p99']
        if ratio > MAX_P99_RATIO:
            oracle_ratio = table['oracle', load, disturbance]['p99']
            oracle_ratio /= table['oracle', load, 'none']['p99']
            yield (
                f'{cell} p99 is {ratio:.2f} of calm, oracle {oracle_ratio:.2f}'
            )
        if row['hedges'] >= MAX_HEDGE_SHARE:
            yield f'{cell} extra load {row["hedges"]}'
        for figure in ('p50', 'p99', 'p99.9', 'on_time'):
            sign = -1 if figure == 'on_time' else 1
            best_baseline = min(
                sign * table[other, load, disturbance][figure]
                for other in POLICIES[:3]
            )
            if sign * row[figure] > best_baseline:
                yield (
                    f'{cell} {figure} {row[figure]}, '
                    f'baseline {abs(best_baseline)}'
                )


def measure_cost_us(requests: int = 30_000) -> float:
    """Return the processor time of the policy per request in µs.

    One host sends to a pool of twelve upstreams, with six requests running at
    any time. The time covers submit, poll, sent, hedge, answered, body_done
    and close.
    """
    run = Run('ours', LOADS[0], 0, 0, 0, SEEDS[0])
    policy = PoolPolicy(run.pool, ZONES[0], 'h0', random.Random(SEEDS[0]))
    facts = [
        RequestFacts(
            str(serial), RequestClass.INTERACTIVE, True, 1e9, None, True
        )
        for serial in range(requests)
    ]
    running: deque[tuple[Ticket, str]] = deque()
    start = time.process_time()
    for serial, fact in enumerate(facts):
        now = serial / 1000
        ticket = policy.submit(now, fact)
        send = policy.poll(now, ticket)
        assert isinstance(send, Send)
        policy.sent(now, send.attempt.attempt_id)
        policy.hedge(now, ticket)
        running.append((ticket, send.attempt.attempt_id))
        if len(running) > 5:
            ticket, attempt_id = running.popleft()
            policy.answered(now, attempt_id, 200, not_run=False)
            policy.body_done(now, attempt_id)
            policy.close(now, ticket)
    return (time.process_time() - start) / requests * 1e6


def main() -> None:
    """Run all cells, print the table and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--seeds', type=int, nargs='*', default=SEEDS)
    parser.add_argument('--out', default='bench/results/policy.json')
    parser.add_argument('--cost', action='store_true')
    options = parser.parse_args()
    if options.cost:
        costs = sorted(round(measure_cost_us(), 1) for _ in range(5))
        print(f'processor time per request in µs, five runs: {costs}')
        return
    cells = [
        (policy, load, disturbance, options.seconds, tuple(options.seeds))
        for load, disturbance, policy in product(LOADS, DISTURBANCES, POLICIES)
    ]
    with ProcessPoolExecutor(2) as executor:
        rows = list(executor.map(run_cell, cells))
    show(rows)
    missed = list(find_misses(rows))
    print('missed targets:', *(missed or ['none']), sep='\n  ')
    out = pathlib.Path(options.out)
    out.parent.mkdir(exist_ok=True)
    report = {'cells': rows, 'misses': missed}
    out.write_text(json.dumps(report, indent=1) + '\n')


def show(rows: list[dict[str, Any]]) -> None:
    """Print the table."""
    print(
        'load disturbance policy         p50    p99  p99.9 on time hedges attempts refused over_cold'
    )
    for row in rows:
        print(
            f'{row["load"]:4} {row["disturbance"]:11} {row["policy"]:12}'
            f'{row["p50"]:7.2f}{row["p99"]:7.1f}{row["p99.9"]:7.1f}'
            f'{row["on_time"]:8.4f}{row["hedges"]:7.4f}{row["attempts"]:9.4f}'
            f'{row["refused"]:8}{row["over_cold"]:10}',
        )


if __name__ == '__main__':
    main()
