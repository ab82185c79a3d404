"""Measures the request policy against simpler choices, in simulated time.

Three hosts in each of three zones send to twelve upstreams of two slots with
a first-in first-out queue. Run it by ``make bench-policy``.
"""

import argparse
import heapq
import json
import math
import pathlib
import random
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
UPSTREAMS = 12
SLOTS = 2
MEAN_S = 0.006  # service time, lognormal
SIGMA = 0.6
NEAR_S = 0.0001  # one way
CROSSING_S = 0.0005  # one way
DEADLINE_S = 0.1
SLOW_FACTOR = 10
SLOW_S = (0.05, 0.5)
BETWEEN_SLOW_S = (0.5, 2.5)
IDEMPOTENT_SHARE = 0.9
SYNC_S = 0.2
RETRIES = 3
COLD_PERIOD_S = 8.0
COLD_DOWN_S = 1.0
COLD_S = 3.0
COLD_FACTOR = 4  # service time at the start of a cold start
POLICIES = ('round-robin', 'least', 'two-choices', 'ours')


class Clock:
    """Events in simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.serial = count()

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Call an action at a time."""
        entry = (max(when, self.now), next(self.serial), action, args)
        heapq.heappush(self.events, entry)

    def after(
        self, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Call an action after a while."""
        self.at(self.now + delay, action, *args)

    def run(self, until: float) -> None:
        """Run the events up to a time."""
        while self.events:
            if self.events[0][0] > until:
                break
            when, _, action, args = heapq.heappop(self.events)
            self.now = when
            action(*args)
        self.now = until


@dataclass(eq=False, slots=True)
class Job:
    """A request at an upstream; ``work`` is what remains of it."""

    work: float
    reply: Callable[['Job', int, bool], None]
    attempt_id: str = ''
    since: float = 0
    version: int = 0
    running: bool = False
    cancelled: bool = False


class FakeUpstream:
    """An upstream with slots, a queue, slow moments and cold starts."""

    def __init__(self, clock: Clock, model: Upstream) -> None:
        self.clock = clock
        self.model = model
        self.factor = 1.0
        self.down = False
        self.cold_since: float | None = None
        self.queue: deque[Job] = deque()
        self.running: set[Job] = set()
        self.over_cold = 0
        self.wasted = 0.0
        self.served = 0.0

    def cold_limit(self) -> int:
        """Give the requests that it bears while it is cold."""
        if self.cold_since is None:
            return 10**6
        is_fresh = self.clock.now - self.cold_since < COLD_S / 2
        return 1 if is_fresh else SLOTS

    def arrive(self, job: Job) -> None:
        """Take a request."""
        if self.down:
            job.reply(job, 0, False)
            return
        if len(self.running) + len(self.queue) >= self.cold_limit():
            self.over_cold += 1
            job.reply(job, 503, True)
            return
        self.queue.append(job)
        self._start()

    def cancel(self, job: Job) -> None:
        """Drop a request that the host gave up."""
        job.cancelled = True
        if job in self.running:
            self._account(job)
            self.running.discard(job)
            job.version += 1
            self._start()
        elif job in self.queue:
            self.queue.remove(job)

    def set_factor(self, factor: float) -> None:
        """Change the speed, also of what is running."""
        for job in self.running:
            self._account(job)
        self.factor = factor
        for job in self.running:
            self._schedule(job)

    def _account(self, job: Job) -> None:
        done = (self.clock.now - job.since) / self.factor
        job.work = max(job.work - done, 0)
        job.since = self.clock.now
        self.served += done

    def _schedule(self, job: Job) -> None:
        job.version += 1
        delay = job.work * self.factor
        self.clock.after(delay, self._finish, job, job.version)

    def _start(self) -> None:
        while self.queue and len(self.running) < self.model.slots:
            job = self.queue.popleft()
            if self.cold_since is not None:
                warmth = (self.clock.now - self.cold_since) / COLD_S
                job.work *= 1 + (COLD_FACTOR - 1) * max(1 - warmth, 0)
            job.since = self.clock.now
            self.running.add(job)
            self._schedule(job)

    def _finish(self, job: Job, version: int) -> None:
        if job.version == version:
            self._account(job)
            self.running.discard(job)
            job.reply(job, 200, False)
            self._start()


@dataclass(eq=False)
class Call:
    """A caller's request."""

    start: float
    work: float
    idempotent: bool
    serial: int


@dataclass
class Tally:
    """What came of the requests of a run."""

    warm_up: float
    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    hedges: int = 0
    attempts: int = 0

    def done(self, call: Call, now: float) -> None:
        """Record an answer."""
        if call.start >= self.warm_up:
            self.latencies.append(now - call.start)

    def sent(self, call: Call, hedge: bool = False) -> None:
        """Record an attempt."""
        if call.start >= self.warm_up:
            self.attempts += 1
            self.hedges += hedge

    def lost(self, call: Call) -> None:
        """Record a refusal."""
        if call.start >= self.warm_up:
            self.refused += 1


class Network:
    """Carries requests between hosts and upstreams."""

    def __init__(self, clock: Clock, fakes: dict[str, FakeUpstream]) -> None:
        self.clock = clock
        self.fakes = fakes

    def send(self, zone: str, name: str, job: Job) -> None:
        """Carry a request."""
        fake = self.fakes[name]
        delay = NEAR_S if fake.model.zone == zone else CROSSING_S
        reply = job.reply

        def back(job: Job, status: int, not_run: bool) -> None:
            self.clock.after(delay, reply, job, status, not_run)

        job.reply = back
        self.clock.after(delay, fake.arrive, job)

    def cancel(self, zone: str, name: str, job: Job) -> None:
        """Carry a cancellation."""
        fake = self.fakes[name]
        delay = NEAR_S if fake.model.zone == zone else CROSSING_S
        self.clock.after(delay, fake.cancel, job)


class BaselineHost:
    """Sends by a simple rule that uses only its own counts."""

    def __init__(
        self,
        kind: str,
        zone: str,
        pool: Pool,
        network: Network,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self.kind = kind
        self.zone = zone
        self.network = network
        self.rng = rng
        self.tally = tally
        self.names = [upstream.name for upstream in pool.upstreams]
        self.busy = dict.fromkeys(self.names, 0)
        self.turn = rng.randrange(UPSTREAMS)

    def choose(self) -> str:
        """Choose an upstream."""
        if self.kind == 'round-robin':
            self.turn = (self.turn + 1) % len(self.names)
            return self.names[self.turn]
        if self.kind == 'least':
            least = min(self.busy.values())
            ties = [name for name in self.names if self.busy[name] == least]
            return self.rng.choice(ties)
        pair = self.rng.sample(self.names, 2)
        return min(pair, key=self.busy.__getitem__)

    def take(self, call: Call, tries: int = 0) -> None:
        """Send a caller's request."""
        name = self.choose()
        self.busy[name] += 1
        self.tally.sent(call)

        def reply(job: Job, status: int, not_run: bool) -> None:
            self.busy[name] -= 1
            if status == 200:
                self.tally.done(call, self.network.clock.now)
            elif tries < RETRIES:
                self.take(call, tries + 1)
            else:
                self.tally.lost(call)

        self.network.send(self.zone, name, Job(call.work, reply))


class PolicyHost:
    """Drives the real policy as the data path does."""

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

    def take(self, call: Call) -> None:
        """Take a caller's request."""
        facts = RequestFacts(
            str(call.serial),
            RequestClass.INTERACTIVE,
            call.idempotent,
            call.start + DEADLINE_S,
            None,
            replayable=True,
        )
        ticket = self.policy.submit(self.clock.now, facts)
        self.calls[ticket] = call
        self.step(ticket, self.policy.poll(self.clock.now, ticket))

    def step(self, ticket: Ticket, decision: Any) -> None:
        """Carry out a decision."""
        if isinstance(decision, Send):
            self.start(ticket, decision)
        elif isinstance(decision, Wait):
            if not ticket.running:
                self.clock.at(decision.until, self.poll, ticket)
        elif isinstance(decision, Deliver):
            self.end(ticket, is_delivered=True)
        else:
            self.end(ticket, is_delivered=False)

    def poll(self, ticket: Ticket) -> None:
        """Ask again for a waiting ticket."""
        if ticket in self.calls and not ticket.running or ticket.granted:
            self.step(ticket, self.policy.poll(self.clock.now, ticket))

    def start(self, ticket: Ticket, send: Send) -> None:
        """Send an attempt."""
        attempt = send.attempt
        call = self.calls[ticket]
        self.tally.sent(call, attempt.hedge)

        def reply(job: Job, status: int, not_run: bool) -> None:
            self.answer(ticket, attempt.attempt_id, status, not_run)

        job = Job(call.work, reply, attempt.attempt_id)
        self.jobs[attempt.attempt_id] = job
        # A refused connection is noticed before the first byte is sent.
        if not self.network.fakes[attempt.upstream.name].down:
            self.policy.sent(self.clock.now, attempt.attempt_id)
        self.network.send(self.zone, attempt.upstream.name, job)
        if not attempt.hedge:
            self.look(ticket)

    def look(self, ticket: Ticket) -> None:
        """Ask whether to hedge."""
        if ticket not in self.calls:
            return
        hedge = self.policy.hedge(self.clock.now, ticket)
        if isinstance(hedge, Send):
            self.start(ticket, hedge)
        elif hedge is not None:
            self.clock.at(
                max(hedge.until, self.clock.now + 1e-4), self.look, ticket
            )

    def answer(
        self,
        ticket: Ticket,
        attempt_id: str,
        status: int,
        not_run: bool,
    ) -> None:
        """Take an answer from the network."""
        self.jobs.pop(attempt_id, None)
        if ticket not in self.calls:
            return
        now = self.clock.now
        if status:
            decision = self.policy.answered(now, attempt_id, status, not_run)
        else:
            refused = Failure.CONNECTION_REFUSED
            decision = self.policy.failed(now, attempt_id, refused)
        self.step(ticket, decision)
        self.wake()

    def end(self, ticket: Ticket, *, is_delivered: bool) -> None:
        """Finish a ticket and cancel what still runs of it."""
        call = self.calls.pop(ticket)
        now = self.clock.now
        if is_delivered:
            self.tally.done(call, now)
        else:
            self.tally.lost(call)
        for attempt in self.policy.cancelled(ticket):
            job = self.jobs.pop(attempt.attempt_id, None)
            if job is not None:
                self.network.cancel(self.zone, attempt.upstream.name, job)
        self.policy.close(now, ticket)
        self.wake()

    def wake(self) -> None:
        """Ask again for tickets that capacity was found for."""
        for ticket in self.policy.take_ready():
            self.poll(ticket)


class Run:
    """One cell of the table: a policy, a load and a disturbance."""

    def __init__(
        self,
        policy: str,
        load: float,
        slowed: int,
        cold: bool,
        seconds: float,
        seed: int,
    ) -> None:
        self.clock = Clock()
        self.seconds = seconds
        self.load = load
        self.seed = seed
        self.tally = Tally(warm_up=1.0)
        models = tuple(
            Upstream(f'u{index}', '', ZONES[index % 3], SLOTS)
            for index in range(UPSTREAMS)
        )
        self.pool = Pool('plain', PoolKind.PLAIN, models, timeout_s=DEADLINE_S)
        self.fakes = {up.name: FakeUpstream(self.clock, up) for up in models}
        self.network = Network(self.clock, self.fakes)
        self.hosts = [
            self._host(policy, index) for index in range(3 * HOSTS_PER_ZONE)
        ]
        self.slow_rng = random.Random(f'{seed}/slow')
        # The slowed upstreams are spread over the zones.
        for index in range(slowed):
            self._calm(self.fakes[f'u{index * 4 % UPSTREAMS + index // 3}'])
        if cold:
            self.clock.at(2, self._stop, self.fakes['u0'])
        if policy == 'ours':
            self.clock.at(0, self._sync)

    def run(self) -> dict[str, Any]:
        """Run the cell and give its figures."""
        self.calls = self._calls()
        self._next_call()
        self.clock.run(self.seconds)
        return figures(self.tally, self.fakes.values())

    def _host(self, policy: str, index: int) -> BaselineHost | PolicyHost:
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

    def _calls(self) -> Iterator[Call]:
        rng = random.Random(f'{self.seed}/calls')
        rate = self.load * UPSTREAMS * SLOTS / MEAN_S
        mu = math.log(MEAN_S) - SIGMA**2 / 2
        now = 0.0
        for serial in count():
            now += rng.expovariate(rate)
            work = rng.lognormvariate(mu, SIGMA)
            idempotent = rng.random() < IDEMPOTENT_SHARE
            yield Call(now, work, idempotent, serial)

    def _next_call(self) -> None:
        call = next(self.calls)
        self.clock.at(call.start, self._arrive, call)

    def _arrive(self, call: Call) -> None:
        # Callers reach the hosts at random, through the load balancer.
        host = self.hosts[hash((call.serial, 7)) * 2654435761 % 2**32 % 9]
        host.take(call)
        self._next_call()

    def _calm(self, fake: FakeUpstream) -> None:
        fake.set_factor(1)
        delay = self.slow_rng.uniform(*BETWEEN_SLOW_S)
        self.clock.after(delay, self._slow, fake)

    def _slow(self, fake: FakeUpstream) -> None:
        fake.set_factor(SLOW_FACTOR)
        self.clock.after(self.slow_rng.uniform(*SLOW_S), self._calm, fake)

    def _stop(self, fake: FakeUpstream) -> None:
        fake.down = True
        self.clock.after(COLD_DOWN_S, self._return, fake)
        self.clock.after(COLD_PERIOD_S, self._stop, fake)

    def _return(self, fake: FakeUpstream) -> None:
        fake.down = False
        fake.cold_since = self.clock.now
        self.clock.after(COLD_S, self._warm, fake)

    def _warm(self, fake: FakeUpstream) -> None:
        fake.cold_since = None

    def _sync(self) -> None:
        """Send group counts and cold upstreams, which arrive a sync later."""
        group: dict[str, int] = {}
        for host in self.hosts:
            assert isinstance(host, PolicyHost)
            for name, number in host.policy.outstanding().items():
                group[name] = group.get(name, 0) + number
        cold = {
            name: 'h0'
            for name, fake in self.fakes.items()
            if fake.cold_since is not None
        }
        for index, host in enumerate(self.hosts):
            delay = SYNC_S * (1 + index / len(self.hosts))
            self.clock.after(delay, self._digest, host, group, cold)
        self.clock.after(SYNC_S, self._sync)

    def _digest(
        self,
        host: PolicyHost,
        group: dict[str, int],
        cold: dict[str, str],
    ) -> None:
        now = self.clock.now
        host.policy.update(now, self.pool, frozenset(), cold, group, {})
        host.wake()


def figures(tally: Tally, fakes: Any) -> dict[str, Any]:
    """Give the figures of a run; latencies in milliseconds."""
    ordered = sorted(tally.latencies)
    total = len(ordered) + tally.refused
    on_time = sum(latency <= DEADLINE_S for latency in ordered)

    def quantile(share: float) -> float:
        return round(ordered[int(share * len(ordered))] * 1000, 2)

    return {
        'requests': total,
        'p50': quantile(0.5),
        'p99': quantile(0.99),
        'p99.9': quantile(0.999),
        'on_time': round(on_time / total, 5),
        'refused': tally.refused,
        'hedges': round(tally.hedges / total, 4),
        'attempts': round(tally.attempts / total, 4),
        'over_cold': sum(fake.over_cold for fake in fakes),
    }


DISTURBANCES = {
    'none': (0, False),
    '2 slow': (2, False),
    '4 slow': (4, False),
    'cold': (0, True),
}
LOADS = (0.5, 0.7, 0.85)


def run_cell(cell: tuple[str, float, str, float, int]) -> dict[str, Any]:
    """Run one cell in a process of its own."""
    policy, load, disturbance, seconds, seed = cell
    slowed, cold = DISTURBANCES[disturbance]
    row = {'policy': policy, 'load': load, 'disturbance': disturbance}
    run = Run(policy, load, slowed, cold, seconds, seed)
    return row | run.run()


def main() -> None:
    """Run all cells, print the table and write the JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policies', nargs='*', default=POLICIES)
    parser.add_argument('--out', default='bench/results/policy.json')
    options = parser.parse_args()
    cells = [
        (policy, load, disturbance, options.seconds, options.seed)
        for load, disturbance, policy in product(
            LOADS,
            DISTURBANCES,
            options.policies,
        )
    ]
    with ProcessPoolExecutor(2) as executor:
        rows = list(executor.map(run_cell, cells))
    show(rows)
    out = pathlib.Path(options.out)
    out.parent.mkdir(exist_ok=True)
    out.write_text(json.dumps(rows, indent=1) + '\n')


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
