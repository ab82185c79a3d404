"""Randomised test driver of the ownership state machines.

``python -m oriolearch.soak --seed 1 --steps 200`` runs one trace of random
faults and prints its hash; equal arguments give equal traces. When an
invariant is violated, it prints a trace reduced by removing steps.
"""

import argparse
import hashlib
import random
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType

from oriolearch.core.errors import InvariantError
from oriolearch.core.messages import AuthorityKey
from oriolearch.core.model import SHARDS_PER_SEGMENT, HostRef, Pool
from oriolearch.core.segments import SegmentKey
from oriolearch.deliberate import STATE_MACHINES
from oriolearch.simulated import (
    Cluster,
    HostProcess,
    StateMachines,
    make_document,
)
from oriolearch.simulated_servers import (
    HOT_KEYS,
    KeyedServer,
    Owners,
    hot_keys_of,
)
from oriolearch.simulation import Simulation

ZONES = ('a', 'b', 'c')
HOSTS_PER_ZONE = 3
WARM_UP_S = 3.0
RECOVERY_LIMIT_S = 5.0
RECOVERY_STEP_S = 0.1
MAX_SHRINK_RUNS = 150


@dataclass(frozen=True, slots=True)
class Step:
    """The start or end of a fault, and the time until the next step.

    :param level: strength of the fault, from 0 to 1.
    :param seed: of the random numbers of messages and processes in the step.
    """

    kind: str
    target: str
    level: float
    duration_s: float
    seed: int

    def __str__(self) -> str:
        """Return the line of a printed trace."""
        seconds = f'{self.duration_s:.3f}'
        return f'{self.kind} {self.target} {self.level:.2f} then {seconds} s'


FAULT_RATES = ('loss', 'late', 'double', 'answer_loss', 'write_delay')
SWITCHES = MappingProxyType(
    {
        'table_down': ('table_down', True),
        'table_up': ('table_down', False),
        'table_slow': ('table_slow_s', True),
    },
)
# A kind that is listed repeatedly is chosen more often.
SERVER_KINDS = (
    *('freeze', 'thaw', 'thaw', 'kill_server', 'start_server', 'start_server'),
    *('zone_out', 'zone_in', 'zone_in', 'server_out', 'server_in'),
    *('remove', 'add', 'add'),
)
HOT_KEY_KINDS = ('hot', 'cold')  # choose new hot keys; clear them
STEP_KINDS = (
    *SERVER_KINDS,
    *('pause', 'pause', 'resume', 'resume', 'kill', 'start', 'start', 'stop'),
    *('cut', 'isolate', 'join', 'join', 'table_cut', 'table_join'),
    *('table_down', 'table_up', 'table_up', 'table_slow'),
    *FAULT_RATES,
    *('calm', 'calm', 'heal', 'quiet', 'quiet'),
)
HOT_KEY_STEP_KINDS = (
    *STEP_KINDS,
    *HOT_KEY_KINDS,
    *HOT_KEY_KINDS,
    *HOT_KEY_KINDS,
    *HOT_KEY_KINDS,
)


def generate_steps(
    seed: int, count: int, kinds: Sequence[str] = STEP_KINDS
) -> list[Step]:
    """Return the random steps of a trace."""
    rng = random.Random(seed)
    hosts = [f'{zone}{num}' for zone in ZONES for num in range(HOSTS_PER_ZONE)]
    servers = [
        upstream.name
        for pool in make_document(ZONES).pools.values()
        for upstream in pool.upstreams
    ]
    steps = []
    for _ in range(count):
        kind = rng.choice(kinds)
        target = rng.choice(hosts)
        if kind in {'cut', 'isolate', 'join', 'table_cut', 'table_join'}:
            target = '-'.join(rng.sample(ZONES, 2))
        elif kind in SERVER_KINDS:
            target = rng.choice(servers)
        steps.append(
            Step(
                kind,
                target,
                rng.random(),
                rng.choice((0.02, 0.1, 0.3, 0.7, 1.5, 2.5))
                * rng.uniform(0.5, 1.5),
                rng.getrandbits(32),
            ),
        )
    return steps


class Soak:
    """A run of a trace that checks all invariants after each event."""

    def __init__(self, state_machines: StateMachines) -> None:
        self.simulation = Simulation()
        self.cluster = Cluster(
            self.simulation, ZONES, HOSTS_PER_ZONE, state_machines
        )
        self.host_names = sorted(self.cluster.hosts)
        self.recovered_s = 0.0
        self.digest = hashlib.blake2b(digest_size=8)
        self.terms: dict[AuthorityKey, int] = {}
        # True time at which each authority ends, by the process that holds it.
        self.lease_ends: dict[AuthorityKey, dict[HostRef, float]] = {}
        self.step_number = 0

    def run(self, steps: Sequence[Step]) -> str:
        """Run a trace and the recovery after it; return the trace's hash.

        :raises InvariantError: at the first violation.
        """
        self.advance(WARM_UP_S)
        for number, step in enumerate(steps):
            self.step_number = number
            self.simulation.rng = random.Random(step.seed)
            self.apply(step)
            self.advance(step.duration_s)
        self.step_number = len(steps)
        self.heal()
        self.recover()
        seconds = f'{self.recovered_s:.1f}'
        return f'trace {self.digest.hexdigest()}, recovered in {seconds} s'

    def advance(self, duration_s: float) -> None:
        """Advance true time, running the events that are due."""
        self.simulation.run(self.simulation.now + duration_s, self.check)
        state = [
            (name, host.ref.incarnation, host.is_alive, host.is_paused)
            for name, host in self.cluster.hosts.items()
        ]
        grants = [
            (server.is_alive, server.list_version, server.expires)
            for server in self.cluster.servers.values()
        ]
        self.digest.update(repr((self.simulation.now, state, grants)).encode())
        self.digest.update(repr(self.cluster.table.rows).encode())

    def apply(self, step: Step) -> None:
        """Start or end a fault."""
        faults = self.simulation.faults
        if step.kind in FAULT_RATES:
            setattr(faults, step.kind, 0.6 * step.level)
            return
        if step.kind in SWITCHES:
            fault_name, is_on = SWITCHES[step.kind]
            setattr(faults, fault_name, step.level if is_on else 0)
            return
        handlers: dict[str, Callable[[str], None]] = {
            'pause': self.pause,
            'resume': lambda name: self.cluster.hosts[name].resume(),
            'kill': self.cluster.kill,
            'start': self.cluster.start,
            'stop': self.stop,
            'calm': lambda _: self.calm(),
            'heal': lambda _: self.heal(),
            'cut': self.cut,
            'isolate': self.isolate,
            'join': self.join,
            'freeze': self.freeze,
            'hot': lambda _: self.set_hot_keys(),
            'cold': lambda _: self.clear_hot_keys(),
            'thaw': lambda name: self.server(name).thaw(),
            'kill_server': lambda name: self.server(name).kill(),
            'start_server': self.start_server,
            'table_cut': lambda zones: faults.table_cuts.add(zones[0]),
            'table_join': lambda zones: faults.table_cuts.discard(zones[0]),
        }
        if step.kind in handlers:
            handlers[step.kind](step.target)
        elif step.kind in SERVER_KINDS:
            self.edit(step.kind, step.target)

    def server(self, name: str) -> KeyedServer:
        """Return the server with a name."""
        return self.cluster.servers[name.split('-')[0], name]

    def set_hot_keys(self) -> None:
        """Choose random hot keys and pass them to all coordinators."""
        rng = self.simulation.rng
        self.cluster.hot_keys = {
            pool: {
                key: rng.uniform(0.05, 0.2)
                for key in rng.sample(HOT_KEYS, rng.randint(1, 5))
            }
            for pool in self.cluster.document.pools
        }

    def clear_hot_keys(self) -> None:
        """Clear the hot keys of all pools."""
        self.cluster.hot_keys = {pool: {} for pool in self.cluster.hot_keys}

    def freeze(self, name: str) -> None:
        """Freeze a server without notifying it."""
        self.server(name).is_frozen = True

    def start_server(self, name: str) -> None:
        """Restart a server unless it runs."""
        if not self.server(name).is_alive:
            self.server(name).restart()

    def edit(self, kind: str, name: str) -> None:
        """Apply a change of the configuration on a random host."""
        old = self.cluster.document
        zone = self.server(name).zone
        zones = old.zones_out - {zone}
        hosts = old.hosts_out - {name}
        pools = dict(old.pools)
        if kind == 'zone_out':
            zones |= {zone}
        elif kind == 'server_out':
            hosts |= {name}
        elif kind in {'remove', 'add'}:
            pool = pools[self.server(name).pool]
            pools[pool.name] = self.changed_pool(pool, name, kind)
        document = replace(
            old,
            pools=MappingProxyType(pools),
            zones_out=zones if kind.startswith('zone') else old.zones_out,
            hosts_out=hosts if kind.startswith('server') else old.hosts_out,
        )
        self.cluster.edit(document, self.simulation.rng.choice(self.host_names))

    def changed_pool(self, pool: Pool, name: str, kind: str) -> Pool:
        """Return a pool with a server added or removed."""
        original = make_document(ZONES).pools[pool.name]
        names = {upstream.name for upstream in pool.upstreams} - {name}
        if kind == 'add':
            names.add(name)
        upstreams = [
            upstream
            for upstream in original.upstreams
            if upstream.name in names
        ]
        return replace(pool, upstreams=tuple(upstreams))

    def cut(self, zones: str) -> None:
        """Cut two zones from each other."""
        self.simulation.faults.cuts.add(frozenset(zones.split('-')))

    def isolate(self, zones: str) -> None:
        """Cut one zone from all others."""
        self.simulation.faults.cuts.update(
            frozenset((zones[0], zone)) for zone in ZONES if zone != zones[0]
        )

    def join(self, zones: str) -> None:
        """End all cuts of one zone."""
        cuts = self.simulation.faults.cuts
        cuts.difference_update([cut for cut in cuts if zones[0] in cut])

    def pause(self, name: str) -> None:
        """Pause the process of a host without notifying it."""
        self.cluster.hosts[name].is_paused = True

    def stop(self, name: str) -> None:
        """Begin the graceful shutdown of a host."""
        self.cluster.hosts[name].is_stopping = True

    def calm(self) -> None:
        """End the faults of messages and of the table's answers."""
        for name in FAULT_RATES:
            setattr(self.simulation.faults, name, 0.0)
        self.simulation.faults.table_slow_s = 0.0

    def heal(self) -> None:
        """End all faults."""
        self.calm()
        self.simulation.faults.table_down = 0.0
        self.simulation.faults.cuts.clear()
        self.simulation.faults.table_cuts.clear()
        for name in self.host_names:
            self.cluster.hosts[name].resume()
            self.cluster.start(name)
        for server in self.cluster.servers.values():
            server.thaw()
            if not server.is_alive:
                server.restart()
        document = make_document(ZONES)
        self.cluster.edit(document, self.simulation.rng.choice(self.host_names))

    def check(self) -> None:
        """Check the invariants of the process that ran the last action."""
        host = self.simulation.current_process
        if not isinstance(host, HostProcess):
            return
        now = host.clock()
        for key, authority in host.authorities.items():
            lease_ends = self.lease_ends.setdefault(key, {})
            end = authority.end()
            if end <= now:
                lease_ends.pop(host.ref, None)
                continue
            lease_ends[host.ref] = self.simulation.now + (end - now) / host.rate
            self._check_single(key)
            term = authority.holder.term if authority.holder else 0
            if term < self.terms.get(key, 0):
                raise InvariantError('term-grows', f'{key} {host.ref}')
            self.terms[key] = term

    def _check_single(self, key: AuthorityKey) -> None:
        holders = [
            ref
            for ref, end in self.lease_ends[key].items()
            if end > self.simulation.now and self.is_running(ref)
        ]
        if len(holders) > 1:
            raise InvariantError('single-coordinator', f'{key}: {holders}')

    def is_running(self, ref: HostRef) -> bool:
        """Return whether an incarnation has not ended."""
        host = self.cluster.hosts[ref.host]
        return host.ref == ref and host.is_alive

    def recover(self) -> None:
        """Check that every shard is served within ``RECOVERY_LIMIT_S``."""
        healed_at = self.simulation.now
        missing = self.all_units()
        while missing:
            self.advance(RECOVERY_STEP_S)
            missing -= self.served_units()
            self.recovered_s = self.simulation.now - healed_at
            if missing and self.recovered_s > RECOVERY_LIMIT_S:
                examples = sorted(missing)[:3]
                detail = (
                    f'{len(missing)} shards not served, for example {examples}'
                )
                raise InvariantError('liveness', detail)

    def all_units(self) -> set[tuple[str, int | str]]:
        """Return all shards and ``HOT_KEYS`` of all pools."""
        pools = self.cluster.document.pools
        keys = {(pool, key) for pool in pools for key in HOT_KEYS}
        return keys.union(self.all_shards())

    def all_shards(self) -> set[tuple[str, int]]:
        """Return all shards of all pools."""
        return {
            (pool.name, shard)
            for pool in self.cluster.document.pools.values()
            for shard in range(pool.shard_count)
        }

    def served_shards(self) -> set[tuple[str, int]]:
        """Return the shards that some server may run orders for now."""
        return {
            (pool, unit)
            for pool, unit in self.served_units()
            if isinstance(unit, int)
        }

    def served_units(self) -> set[tuple[str, int | str]]:
        """Return the shards and keys that a server may run orders for now."""
        served: set[tuple[str, int | str]] = set()
        ledger = self.cluster.ledger
        for (pool, name), server in self.cluster.servers.items():
            _, end = ledger.grants[pool][name]
            is_working = server.is_alive and not server.is_frozen
            if end > self.simulation.now and is_working:
                served.update((pool, unit) for unit in server.units)
        for key, routed in ledger.routing_ends.items():
            for owners, end in routed.items():
                if end > self.simulation.now:
                    served.update(self._routed_units(key, owners))
        return served

    def _routed_units(
        self,
        key: SegmentKey,
        owners: Owners,
    ) -> Iterator[tuple[str, int | str]]:
        first = key[1] * SHARDS_PER_SEGMENT
        shards = range(first, first + SHARDS_PER_SEGMENT)
        units = (*shards, *hot_keys_of(key[1]))
        for unit, owner in zip(units, owners, strict=True):
            if owner is None:
                continue
            server = self.server(owner)
            if server.is_alive and not server.is_frozen:
                yield key[0], unit


@dataclass(frozen=True, slots=True)
class Failure:
    """A violated invariant, and the step of the violation."""

    error: InvariantError
    step: int


def run_trace(
    steps: Sequence[Step], state_machines: StateMachines
) -> Failure | str:
    """Run a trace; return its hash, or the failure."""
    soak = Soak(state_machines)
    try:
        return soak.run(steps)
    except InvariantError as error:
        return Failure(error, soak.step_number)


def shrink(
    steps: Sequence[Step],
    failure: Failure,
    state_machines: StateMachines,
    runs: int = MAX_SHRINK_RUNS,
) -> list[Step]:
    """Return a shorter trace that violates the same invariant.

    :param runs: limit of trial runs.
    """
    shortest = list(steps[: failure.step + 1])
    size = max(len(shortest) // 2, 1)
    while runs > 0:
        start = 0
        is_shorter = False
        while start < len(shortest) and runs > 0:
            runs -= 1
            trial = shortest[:start] + shortest[start + size :]
            outcome = run_trace(trial, state_machines)
            is_same = (
                isinstance(outcome, Failure)
                and outcome.error.invariant == failure.error.invariant
            )
            if is_same:
                shortest = trial
                is_shorter = True
            else:
                start += size
        if size == 1 and not is_shorter:
            break
        size = max(size // 2, 1)
    return shortest


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return 1 when an invariant is violated."""
    parser = argparse.ArgumentParser(prog='oriolearch.soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=200)
    parser.add_argument(
        '--fault', choices=sorted(STATE_MACHINES), default='none'
    )
    parser.add_argument('--hot-keys', action='store_true')
    options = parser.parse_args(arguments)
    state_machines = STATE_MACHINES[options.fault]
    kinds = HOT_KEY_STEP_KINDS if options.hot_keys else STEP_KINDS
    steps = generate_steps(options.seed, options.steps, kinds)
    outcome = run_trace(steps, state_machines)
    if isinstance(outcome, str):
        print(f'seed {options.seed}: {options.steps} steps, {outcome}')
        return 0
    print(f'seed {options.seed}: step {outcome.step}: {outcome.error}')
    for step in shrink(steps, outcome, state_machines):
        print(f'  {step}')
    return 1


if __name__ == '__main__':
    sys.exit(main())
