"""Tests of the registry and of the dispatchers that follow its changes."""

import asyncio
import random

import pytest

from oriolearch.core.directory import (
    Directory,
    Incarnation,
    PoolPlan,
    UpstreamEntry,
)
from oriolearch.core.dispatching import Dispatcher
from oriolearch.eventlog import EventLog
from oriolearch.forwarding import Forwarder
from oriolearch.platform.wire import PlatformCodec
from oriolearch.registry import Changes, Registry

POOLS = ('orders', 'files')
WHOLE = Changes(frozenset(), is_whole=True)


def make_directory(version: int) -> Directory:
    plans = {
        name: PoolPlan(name, name == 'orders', 100, 3.0, 2.0, 3.0, '/health')
        for name in POOLS
    }
    return Directory(version, {}, plans)


def make_entry(
    name: str,
    started: int = 1,
    *,
    pool: str = 'orders',
    is_draining: bool = False,
    cold_for_s: float = 0.0,
) -> UpstreamEntry:
    ref = Incarnation(name, started)
    zone = f'z{len(name) % 2}'
    address = f'{name}:80'
    return UpstreamEntry(ref, pool, address, zone, 2, is_draining, cold_for_s)


def make_forwarder(registry: Registry) -> Forwarder:
    return Forwarder(
        'z1',
        'h1',
        registry,
        PlatformCodec(),
        EventLog(),
        random.Random(1),
    )


def states(forwarder: Forwarder) -> dict[str, dict[Incarnation, object]]:
    return {
        pool: {
            ref: (upstream.entry, upstream.is_usable)
            for ref, upstream in dispatcher.upstreams.items()
        }
        for pool, dispatcher in forwarder.local_dispatch.dispatchers.items()
    }


def change_at_random(
    registry: Registry, rng: random.Random, now: float
) -> None:
    name = 'i' * rng.randint(1, 9)
    choice = rng.randrange(6)
    if choice < 3:
        entry = make_entry(
            name,
            rng.randint(1, 4),
            pool=rng.choice(POOLS),
            is_draining=not rng.randrange(5),
            cold_for_s=rng.choice((0.0, 2.0)),
        )
        registry.put(now, entry)
    elif choice == 3:
        registry.remove(now, name)
    elif choice == 4:
        registry.set_zones_out(now, frozenset(rng.sample(('z0', 'z1'), 1)))
    else:
        registry.apply_due_removals(now)


@pytest.mark.parametrize('seed', range(20))
def test_changes_one_by_one_equal_a_whole_refresh(seed: int) -> None:
    """Guard against a dispatcher that keeps or misses an upstream.

    It would send to an upstream that has left, or never to a new one.
    """
    asyncio.run(compare_with_whole_refreshes(random.Random(seed)))


async def compare_with_whole_refreshes(rng: random.Random) -> None:
    registry = Registry()
    forwarder = make_forwarder(registry)
    now = 0.0
    registry.put(now, make_entry('iiii'))
    registry.set_directory(make_directory(1))
    for _ in range(200):
        now += rng.choice((0.0, 0.1, 9.0))
        with registry.batch_changes():
            for _ in range(rng.randint(1, 3)):
                change_at_random(registry, rng, now)
        whole = make_forwarder(registry)
        whole.refresh(WHOLE)
        assert states(forwarder) == states(whole)


def test_release_of_a_third_of_the_servers_costs_what_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against work that grows with changes times upstreams.

    During a release of 360 servers, each of 195 hosts updated all upstreams
    for each change, which was 45 % of the processor time of a small host.
    """
    updates: list[Incarnation] = []
    put_upstream = Dispatcher.put_upstream

    def count_update(
        self: Dispatcher,
        now: float,
        entry: UpstreamEntry,
        *,
        is_usable: bool,
        cold_until: float,
    ) -> None:
        updates.append(entry.ref)
        put_upstream(
            self, now, entry, is_usable=is_usable, cold_until=cold_until
        )

    monkeypatch.setattr(Dispatcher, 'put_upstream', count_update)
    asyncio.run(release_a_third(updates))
    # Three changes of each server; the last also updates the one it replaces.
    assert len(updates) <= 4 * 120


async def release_a_third(updates: list[Incarnation]) -> None:
    registry = Registry()
    make_forwarder(registry)
    registry.set_directory(make_directory(1))
    for number in range(360):
        registry.put(0.0, make_entry(f'i-{number}', pool=POOLS[number % 2]))
    updates.clear()
    for number in range(120):
        name = f'i-{number}'
        pool = POOLS[number % 2]
        registry.put(1.0, make_entry(name, pool=pool, is_draining=True))
        registry.remove(2.0, name)
        registry.put(3.0, make_entry(name, 2, pool=pool, cold_for_s=3.0))
