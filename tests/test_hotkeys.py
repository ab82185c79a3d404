"""Guards which keys are called hot and when they are split out."""

import math
import random
from itertools import accumulate

import pytest

from oriolearch.core import hotkeys
from oriolearch.core.hotkeys import HotKeySketch, SplitJudge, merge_hot_keys
from oriolearch.core.messages import HotKey

KEYS = 200_000
WEIGHTS = list(accumulate(1 / (rank + 1) for rank in range(KEYS)))


def test_hottest_keys_are_found_again_after_a_change() -> None:
    """Keys that were hot minutes ago would keep their split places."""
    rng = random.Random(1)
    sketch = HotKeySketch()
    sketch.decay(0)
    found = []
    for second in range(1, 31):
        shift = 0 if second <= 15 else KEYS
        for rank in rng.choices(range(KEYS), cum_weights=WEIGHTS, k=2000):
            sketch.add(f'k{rank + shift if rank < 33 else rank}')
        sketch.decay(second)
        hottest = {f'k{rank + shift}' for rank in range(33)}
        top = {hot.key for hot in sketch.top('p', 33)}
        found.append(len(top & hottest))
    assert len(sketch.counts) < 2 * hotkeys.CAPACITY
    assert found[14] >= 28
    assert found[29] >= 28
    assert sketch.rate() == pytest.approx(2000)
    share = sketch.top('p', 1)[0].rate / 2000
    assert share == pytest.approx(1 / WEIGHTS[-1], rel=0.1)


def test_key_seen_once_is_not_called_hot_for_another() -> None:
    """A key that enters with the error of the one it displaced is not hot."""
    sketch = HotKeySketch(capacity=4)
    sketch.decay(0)
    for number in range(100):
        sketch.add(f'k{number}')
    sketch.decay(1)
    floor = sketch.floor
    assert floor > 0
    rates = [hot.rate * sketch.span_s for hot in sketch.top('p')]
    assert max(rates) <= 1
    sketch.decay(1 + hotkeys.DECAY_S)
    assert sketch.floor == pytest.approx(floor / math.e)
    assert HotKeySketch().top('p') == ()


def test_reports_of_hosts_add_up() -> None:
    """A key that is warm at each host is hot in all."""
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
    """A key near the threshold would move with every window."""
    judge = SplitJudge(shard_count=1024)
    split: set[str] = set()
    made = ''
    for rate in rates:
        decision = judge.judge({'k': float(rate)}, 100, 10, split)
        split |= set(decision.split)
        split -= set(decision.merge)
        made += 's' if decision.split else ('m' if decision.merge else '.')
    assert made == decisions


def test_split_keys_of_a_segment_are_bounded() -> None:
    """A segment row would grow beyond what the store takes."""
    judge = SplitJudge(shard_count=256)
    rates = {f'k{number}': 10.0 + number for number in range(20)}
    judge.judge(rates, 100, 10, ['old'])
    decision = judge.judge(rates, 100, 10, ['old'])
    assert decision.split == tuple(f'k{number}' for number in range(19, 4, -1))
