"""Counts of hot keys and decisions to split them."""

from collections.abc import Callable

import pytest

from oriolearch.core import splitting
from oriolearch.core.messages import HotKey
from oriolearch.core.model import (
    Document,
    Pool,
    PoolKind,
    Upstream,
    segment_of,
    shard_of,
)
from oriolearch.core.splitting import HotKeyDetector, KeyCounter
from tests.conftest import StartedEntry
from tests.entries import call, make_view
from tests.test_coordinator import CoordinatorHarness
from tests.upstreams import FakeUpstream

SERVERS = tuple(Upstream(f's{n}', f'h:{n}', 'z1', slots=2) for n in range(10))
POOL = Pool('p', PoolKind.KEYED, SERVERS, shard_count=1024)
DOCUMENT = Document(1, {}, {'p': POOL})


def test_report_comes_once_a_window_with_the_rate_of_the_pool() -> None:
    """Fails if reports lack the pool's rate or come more than once a window."""
    counter = KeyCounter()
    assert counter.drain(0) is None
    for now in range(1, 5):
        for number in range(50):
            counter.add('p', 'hot' if number % 5 == 0 else f'k{number}')
        assert counter.drain(now) is None
    report = counter.drain(splitting.WINDOW_S)
    assert report is not None
    rates = {hot.key: hot.rate for hot in report}
    assert rates['hot'] / rates[splitting.ALL_KEYS] == pytest.approx(0.2)
    assert counter.drain(splitting.WINDOW_S + 1) is None
    assert counter.drain(100) == ()
    assert not counter.sketches


@pytest.mark.parametrize('key', ['k' * 257, '\udcff', 'a\x1bb'])
def test_unfit_key_counts_for_its_pool_only(key: str) -> None:
    """Fails if a key without a UTF-8 encoding can block the host's syncs."""
    counter = KeyCounter()
    counter.drain(0)
    counter.add('p', key)
    counter.drain(1)
    report = counter.drain(splitting.WINDOW_S)
    assert report is not None
    assert [hot.key for hot in report] == [splitting.ALL_KEYS]


def test_buffer_is_bounded_while_nothing_drains() -> None:
    """Fails if the buffer can use up the memory when the event loop stalls."""
    counter = KeyCounter()
    for number in range(splitting.BUFFER_LIMIT + 10):
        counter.add('p', f'k{number}')
    assert len(counter.buffer) == splitting.BUFFER_LIMIT


HOT, LUKEWARM, COLD, FEW = (60, 400), (15, 400), (1, 400), (9, 10)


@pytest.mark.parametrize(
    ('rates', 'seen'),
    [
        ((HOT, HOT, HOT), '.hh'),
        ((HOT, HOT, *(COLD,) * 6), '.hhhhh..'),
        ((HOT, HOT, *(LUKEWARM,) * 6), '.hhhhhhh'),
        ((FEW, FEW, FEW), '...'),
        ((HOT, HOT, *(FEW,) * 6), '.hhhhh..'),
    ],
    ids=['hot', 'cold again', 'between', 'few requests', 'idle again'],
)
def test_key_is_hot_after_two_windows(
    rates: tuple[tuple[float, float], ...],
    seen: str,
) -> None:
    """Fails if a key's state flaps, or few requests make a key hot."""
    detector = HotKeyDetector()
    decisions = ''
    for rate, total in rates:
        host = HotKey('p', '', total / 2), HotKey('p', 'k', rate / 2)
        detector.evaluate((host, host), DOCUMENT)
        decisions += (
            'h'
            if any(key_rate.is_hot for key_rate in detector.hottest(5))
            else '.'
        )
    assert decisions == seen


def test_entry_counts_keys_of_keyed_pools(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
) -> None:
    """Fails if the entry does not count the keys of requests."""
    view = make_view((upstream().address,), (upstream().address,))
    entry, address = start(view)
    for path in ('/files/a', '/orders/k1', '/orders/k1'):
        call(address, 'GET', path)
    counted = list(entry.key_counter.buffer)
    assert counted == [('keyed', 'k1'), ('keyed', 'k1')]


@pytest.mark.parametrize('lost', ['', 'other'])
def test_hottest_key_leaves_its_server_and_returns(lost: str) -> None:
    """Fails if two hot keys stay on one server, or never return to it."""
    harness = CoordinatorHarness('a')
    harness.run(5)
    pool = harness.pool

    def owner(key: str) -> str | None:
        segment = harness.rows[segment_of(shard_of(key, pool.shard_count))]
        return splitting.owner_of(pool, segment, key)

    names = [f'k{number}' for number in range(500)]
    local_keys = [
        key
        for key in names
        if segment_of(shard_of(key, pool.shard_count)) in harness.rows
    ]
    home = owner(local_keys[0])
    hot_pair = [key for key in local_keys if owner(key) == home][:2]
    harness.coordinator.hot_keys = {'p': {hot_pair[0]: 0.3, hot_pair[1]: 0.2}}
    harness.run(5)
    apart = {owner(key) for key in hot_pair}
    assert len(apart) == 2
    lost_owner = max(apart - {home}, key=str) if lost else ''
    harness.run(3, lost=str(lost_owner))
    owners = [owner(key) for key in hot_pair]
    assert lost_owner not in owners
    assert len(set(owners)) == 2
    harness.coordinator.hot_keys = {'p': {}}
    harness.run(5)
    assert [owner(key) for key in hot_pair] == [home, home]
