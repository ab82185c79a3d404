"""Division of the load of a keyed pool among upstreams of different speed."""

import math
import random

import pytest

from oriolearch import balancing
from oriolearch.core.balance import (
    KeyRates,
    OwnerCandidate,
    plan_balance,
    plan_hot_keys,
)
from oriolearch.core.directory import (
    KEY_COUNT,
    CallerLimits,
    Destination,
    Incarnation,
    Repeat,
    RoutePlan,
    make_directory,
)
from oriolearch.core.owner_shares import (
    MIN_SHARE,
    PoolSpeeds,
    divide_load,
    find_objective,
)
from oriolearch.core.ownership import KeyRange
from oriolearch.core.service_times import (
    SLOWDOWN_DECAY_S,
    Capability,
    Slowdown,
    Spread,
)
from oriolearch.eventlog import EventLog
from oriolearch.registry import Registry
from tests.pool_load import PoolLoad

FAST_S, SLOW_S = 0.2, 0.45
# A quarter of the upstreams has half the speed of the others.
SLOW_QUARTER = (*(FAST_S for _ in range(30)), *(SLOW_S for _ in range(10)))
# Each eighth has another speed.
UNEVEN = tuple(
    mean_s
    for mean_s in (0.14, 0.17, 0.25, 0.28, 0.31, 0.32, 0.34, 0.39)
    for _ in range(6)
)
EQUAL = tuple(0.25 for _ in range(40))


def divide(load: PoolLoad) -> dict[Incarnation, float]:
    capabilities = {
        ref: Capability(load.slots, mean_s)
        for ref, mean_s in zip(load.refs(), load.service_times, strict=True)
    }
    return divide_load(load.rate, capabilities, load.objective_s)


def divide_by_speed(load: PoolLoad) -> dict[Incarnation, float]:
    """Return equal utilisations, as the load was divided before."""
    return {
        ref: 1 / mean_s
        for ref, mean_s in zip(load.refs(), load.service_times, strict=True)
    }


@pytest.mark.parametrize(
    ('load', 'max_late_ratio'),
    [
        pytest.param(PoolLoad(SLOW_QUARTER, 120.0), 0.75, id='slow quarter'),
        pytest.param(PoolLoad(SLOW_QUARTER, 250.0), 0.9, id='slow, half used'),
        pytest.param(PoolLoad(UNEVEN, 120.0), 0.5, id='uneven'),
        pytest.param(PoolLoad(UNEVEN, 250.0), 0.8, id='uneven, half used'),
        pytest.param(PoolLoad(UNEVEN, 480.0), 1.05, id='uneven, nearly full'),
        pytest.param(PoolLoad(EQUAL, 200.0), 1.05, id='equal'),
        pytest.param(
            PoolLoad(SLOW_QUARTER, 120.0, stalled_share=0.0),
            1.05,
            id='slow quarter that never stalls',
        ),
    ],
)
def test_fewer_answers_are_late_than_at_equal_utilisation(
    load: PoolLoad, max_late_ratio: float
) -> None:
    """Fails if slow upstreams are kept as busy as fast ones."""
    late = load.late_share(divide(load))
    late_before = load.late_share(divide_by_speed(load))
    assert late <= max_late_ratio * late_before + 0.002


@pytest.mark.parametrize(
    ('rate', 'max_slow_share', 'min_slow_share'),
    [
        pytest.param(60.0, 0.1, MIN_SHARE, id='fast ones have capacity'),
        pytest.param(500.0, 0.6, 0.4, id='all are needed'),
    ],
)
def test_slow_upstreams_own_more_when_they_are_needed(
    rate: float, max_slow_share: float, min_slow_share: float
) -> None:
    """Fails if slow upstreams are not used where fast ones are full."""
    load = PoolLoad(SLOW_QUARTER, rate)
    slow_share = divide(load)[load.refs()[-1]]
    assert min_slow_share <= slow_share <= max_slow_share


def test_shares_follow_the_peak_of_a_wave() -> None:
    """Fails if keys move to slow upstreams and back as the load changes.

    Load pattern: a wave of half the mean load with a period of 15 s.
    """
    load = PoolLoad(UNEVEN, 200.0)
    speeds = PoolSpeeds()
    capabilities = {
        ref: Capability(load.slots, mean_s)
        for ref, mean_s in zip(load.refs(), load.service_times, strict=True)
    }
    history = []
    for tick in range(150):
        wave = 1 + 0.5 * math.sin(2 * math.pi * tick * 0.4 / 15)
        shares = speeds.update_shares(load.rate * wave, capabilities, 0.6)
        history.append(shares[load.refs()[0]])
    settled = history[40:]
    assert max(settled) < 1.25 * min(settled)


def test_upstream_that_becomes_slow_loses_its_share_at_once() -> None:
    """Fails if a smoothed share keeps keys at an upstream that turned slow."""
    refs = [Incarnation(f'u{number}') for number in range(10)]
    fast = dict.fromkeys(refs, Capability(3, FAST_S))
    speeds = PoolSpeeds()
    for _ in range(20):
        speeds.update_shares(40.0, fast, 0.6)
    slow = {**fast, refs[0]: Capability(3, 10 * FAST_S)}
    assert speeds.update_shares(40.0, slow, 0.6)[refs[0]] == MIN_SHARE


def hold_evenly(refs: list[Incarnation]) -> list[KeyRange]:
    size = KEY_COUNT // len(refs)
    return [
        KeyRange(
            number * size,
            KEY_COUNT - 1 if ref == refs[-1] else (number + 1) * size - 1,
            ref,
            0,
            is_held=True,
        )
        for number, ref in enumerate(refs)
    ]


@pytest.mark.parametrize(
    ('owner_rate', 'fastest_rate', 'hot_rate', 'is_moved'),
    [
        pytest.param(7.0, 25.0, 85.0, True, id='slow owner'),
        pytest.param(20.0, 25.0, 85.0, False, id='owner nearly as fast'),
        pytest.param(7.0, 25.0, 3.0, False, id='key that the owner can bear'),
    ],
)
def test_key_beyond_its_owner_gets_the_fastest_upstream(
    owner_rate: float, fastest_rate: float, hot_rate: float, is_moved: bool
) -> None:
    """Fails if a hot key stays where few of its requests can be served.

    Load pattern: one key with 16 % of the requests, more than any upstream
    serves.
    """
    refs = [Incarnation(f'u{number}') for number in range(20)]
    candidates = [OwnerCandidate(ref, 1.0, 15.0) for ref in refs[2:]]
    candidates.append(OwnerCandidate(refs[0], 1.0, owner_rate))
    candidates.append(OwnerCandidate(refs[1], 1.0, fastest_rate))
    rates = KeyRates(
        {5: hot_rate, **dict.fromkeys(range(9, KEY_COUNT, 650), 1)}
    )
    moves = plan_hot_keys(hold_evenly(refs), candidates, rates)
    moved = [(move.first, move.last, move.owner) for move in moves]
    assert moved == ([(5, 5, refs[1])] if is_moved else [])


def test_small_excess_of_a_slow_upstream_moves_no_keys() -> None:
    """Fails if upstreams with small shares lose keys in each plan."""
    refs = [Incarnation(f'u{number}') for number in range(10)]
    candidates = [OwnerCandidate(ref, 1.0) for ref in refs[1:]]
    candidates.append(OwnerCandidate(refs[0], MIN_SHARE))
    busy = range(0, KEY_COUNT, 400)
    rates = {key: 0.1 if key < KEY_COUNT // 10 else 1.0 for key in busy}
    assert not plan_balance(hold_evenly(refs), candidates, KeyRates(rates, 0.2))


def make_route(name: str, pool: str, objective_s: float) -> RoutePlan:
    return RoutePlan(
        name,
        'shop.example',
        f'/{name}/',
        Repeat.IDEMPOTENT,
        is_upload=False,
        destinations=(Destination(pool, 1.0), Destination('other', 0.0)),
        timeout_s=2.0,
        latency_objective_s=objective_s,
        max_attempts=2,
        priority=0,
    )


def test_objective_of_a_pool() -> None:
    """Fails if a route that sends nothing to a pool decides its objective."""
    routes = [make_route('a', 'keyed', 1.0), make_route('b', 'keyed', 0.6)]
    directory = make_directory(1, routes, [], CallerLimits())
    assert find_objective(directory, 'keyed') == pytest.approx(0.6)
    assert find_objective(directory, 'other') == math.inf
    assert find_objective(None, 'keyed') == math.inf


@pytest.mark.parametrize(
    ('age_s', 'expected'),
    [(0.0, 3.0 / 1.1), (10.5 * SLOWDOWN_DECAY_S, 1.0)],
    ids=['just reported', 'too old'],
)
def test_reported_slowdown_counts_while_it_is_recent(
    age_s: float, expected: float
) -> None:
    """Fails if an old report of a stalled machine decides."""
    slowdown = Slowdown()
    slowdown.record(0.0, 1.0)
    slowdown.record(1.0, 3.0)
    assert slowdown.relative(1.0 + age_s) == pytest.approx(expected)


@pytest.mark.parametrize(('latest', 'expected'), [(999.0, 5.0), (0.01, 0.2)])
def test_odd_slowdown_does_not_upset_the_estimate(
    latest: float, expected: float
) -> None:
    """Fails if a faulty upstream passes for a very fast or a stopped one."""
    slowdown = Slowdown()
    for number in range(20):
        slowdown.record(float(number), 1.0)
    slowdown.record(20.0, latest)
    assert slowdown.relative(20.0) == pytest.approx(expected)


def test_spread_of_service_times_is_learned() -> None:
    """Fails if the model assumes more or less variation than there is."""
    rng = random.Random(3)
    spread = Spread()
    for _ in range(2000):
        spread.record(rng.lognormvariate(-0.045, 0.3), 1.0)
    assert math.sqrt(spread.variance) == pytest.approx(0.3, abs=0.06)
    spread.record(0.0, 1.0)
    spread.record(1.0, 0.0)


class FakeClock:
    """Replaces the clock of leases."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize('seconds', [0.4, 1.0, 3.0, 10.0])
def test_rate_of_a_pool_is_known_soon(
    seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fails if a new coordinator divides the load as if it were small.

    The keys moved to the fastest upstreams, and back as the estimated rate
    rose, after each takeover.
    """
    clock = FakeClock()
    monkeypatch.setattr(balancing, 'lease_clock', clock)
    balancer = balancing.KeyBalancer('pool', Registry(), EventLog())
    assert balancer.total_rate() == 0
    for tick in range(round(seconds / 0.2)):
        clock.now += 0.2
        balancer.count_keys({key: 1 for key in range(20)})
        if tick % 2:
            balancer._decay_rates()
    assert balancer.total_rate() == pytest.approx(100, rel=0.5)


@pytest.mark.parametrize(
    ('learned_s', 'reported', 'is_learning'),
    [(0.5, 10, True), (2.0, 10, False), (2.0, 2, True), (4.0, 0, False)],
)
def test_new_coordinator_keeps_inherited_owners_at_first(
    learned_s: float,
    reported: int,
    is_learning: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails if keys move by what a coordinator does not know yet."""
    clock = FakeClock()
    monkeypatch.setattr(balancing, 'lease_clock', clock)
    balancer = balancing.KeyBalancer('pool', Registry(), EventLog())
    refs = [Incarnation(f'u{number}') for number in range(10)]
    candidates = [OwnerCandidate(ref, 1.0) for ref in refs]
    assert not balancer._is_learning(candidates)
    balancer.inherited_at = clock.now
    balancer.speeds.record({ref.text(): 0.2 for ref in refs[:reported]})
    clock.now += learned_s
    assert balancer._is_learning(candidates) is is_learning
