"""Estimated rates of hot keys and when these keys are split."""

import math
import random
from itertools import accumulate

import pytest

from oriolearch.core import hotkeys
from oriolearch.core.hotkeys import HotKeySketch, SplitPolicy, merge_hot_keys
from oriolearch.core.messages import HotKey

KEYS = 200_000
WEIGHTS = list(accumulate(1 / (rank + 1) for rank in range(KEYS)))


def test_hottest_keys_are_found_again_after_a_change() -> None:
    """Fails if keys that were hot earlier still count as hot."""
    rng = random.Random(1)
    sketch = HotKeySketch()
    sketch.decay(0)
    hits = []
    for second in range(1, 31):
        shift = 0 if second <= 15 else KEYS
        for rank in rng.choices(range(KEYS), cum_weights=WEIGHTS, k=2000):
            sketch.add(f'k{rank + shift if rank < 33 else rank}')
        sketch.decay(second)
        hottest = {f'k{rank + shift}' for rank in range(33)}
        top = {hot.key for hot in sketch.top('p', 33)}
        hits.append(len(top & hottest))
    assert len(sketch.counts) < 2 * hotkeys.CAPACITY
    assert hits[14] >= 28
    assert hits[29] >= 28
    assert sketch.rate() == pytest.approx(2000)
    share = sketch.top('p', 1)[0].rate / 2000
    assert share == pytest.approx(1 / WEIGHTS[-1], rel=0.1)


def test_new_key_is_not_hot_because_of_an_evicted_one() -> None:
    """Fails if a key counts as hot because of the key that it replaced."""
    sketch = HotKeySketch(capacity=4)
    sketch.decay(0)
    for number in range(100):
        sketch.add(f'k{number}')
    sketch.decay(1)
    max_evicted_count = sketch.max_evicted_count
    assert max_evicted_count > 0
    rates = [hot.rate * sketch.effective_span_s for hot in sketch.top('p')]
    assert max(rates) <= 1
    sketch.decay(1 + hotkeys.DECAY_S)
    assert sketch.max_evicted_count == pytest.approx(max_evicted_count / math.e)
    assert HotKeySketch().top('p') == ()


def test_reports_of_hosts_add_up() -> None:
    """Fails if a key is missed that is hot only over all hosts."""
    reports = [
        [HotKey('p', 'a', 3), HotKey('p', 'b', 4), HotKey('q', 'a', 1)],
        [HotKey('p', 'a', 2), HotKey('p', 'c', 1)],
    ]
    merged = merge_hot_keys(reports, limit=2)
    expected = (HotKey('p', 'a', 5), HotKey('p', 'b', 4), HotKey('q', 'a', 1))
    assert merged == expected


@pytest.mark.parametrize(
    ('rates', 'decisions'),
    [
        ('66', '.s'),
        ('6466', '...s'),
        ('6622322222', '.s.......m'),
        ('663636363636', '.s..........'),
    ],
    ids=['two windows', 'interrupted', 'five windows', 'no flapping'],
)
def test_split_and_merge_wait_for_windows(rates: str, decisions: str) -> None:
    """Fails if a key near the threshold moves in every window."""
    policy = SplitPolicy(shard_count=1024)
    split: set[str] = set()
    decisions_made = ''
    for rate in rates:
        decision = policy.evaluate({'k': float(rate)}, 100, 10, split)
        split |= set(decision.split)
        split -= set(decision.merge)
        decisions_made += (
            's' if decision.split else ('m' if decision.merge else '.')
        )
    assert decisions_made == decisions


def test_split_keys_of_a_segment_are_bounded() -> None:
    """Fails if a segment's row can exceed the size limit of the store."""
    policy = SplitPolicy(shard_count=256)
    rates = {f'k{number}': 10.0 + number for number in range(20)}
    policy.evaluate(rates, 100, 10, ['old'])
    decision = policy.evaluate(rates, 100, 10, ['old'])
    assert decision.split == tuple(f'k{number}' for number in range(19, 4, -1))
