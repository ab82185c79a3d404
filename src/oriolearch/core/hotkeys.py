"""Hot keys: counting at each host, merging, and when to split or merge."""

import heapq
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from oriolearch.core.messages import HotKey
from oriolearch.core.model import segment_of, shard_of

CAPACITY = 512  # keys kept; 16 times the 33 hottest
DECAY_S = 5.0  # hot keys change within minutes
REPORT_LIMIT = 48  # 33 hot keys and some that are about to be
SPLIT_WINDOWS = 2
MERGE_WINDOWS = 5
SPLIT_KEYS_PER_SEGMENT = 16
SPLIT_SHARE = 0.5  # of one server's fair share of a pool's requests


class HotKeySketch:
    """Approximate rates of the most frequent keys of one pool.

    Works as Space-Saving does, in batches: new keys enter with the largest
    count dropped so far as their possible error, and once twice the capacity
    is reached, the lower half is dropped. So a request costs one dictionary
    access, and a true count lies between the count less the error and the
    count. Counts decay exponentially, to 1/e within ``decay_s``.

    The caller keeps threads apart.
    """

    def __init__(self, capacity: int = CAPACITY, decay_s: float = DECAY_S):
        self.capacity = capacity
        self.decay_s = decay_s
        self.counts: dict[str, float] = {}
        self.errors: dict[str, float] = {}
        self.floor: float = 0
        self.total: float = 0
        self.span_s: float = 0
        self.decayed: float | None = None

    def add(self, key: str) -> None:
        """Count one request."""
        self.total += 1
        count = self.counts.get(key)
        if count is not None:
            self.counts[key] = count + 1
            return
        self.counts[key] = self.floor + 1
        if self.floor:
            self.errors[key] = self.floor
        if len(self.counts) >= 2 * self.capacity:
            self._drop()

    def decay(self, now: float) -> None:
        """Age all counts; called once a window."""
        if self.decayed is None:
            self.decayed = now
            return
        passed = max(now - self.decayed, 0)
        self.decayed = now
        factor = math.exp(-passed / self.decay_s)
        self.counts = {key: n * factor for key, n in self.counts.items()}
        self.errors = {key: n * factor for key, n in self.errors.items()}
        self.floor *= factor
        self.total *= factor
        self.span_s = (self.span_s + passed) * factor

    def rate(self) -> float:
        """Give requests per second of the pool, over the recent past."""
        return self.total / self.span_s if self.span_s else 0

    def top(self, pool: str, limit: int = REPORT_LIMIT) -> tuple[HotKey, ...]:
        """List the hottest keys with rates that are not too high.

        The possible error is taken off, so that a key is not called hot for
        the count of another one.
        """
        if not self.span_s:
            return ()
        sure = {
            key: count - self.errors.get(key, 0)
            for key, count in self.counts.items()
        }
        best = heapq.nlargest(limit, sure, key=lambda key: (sure[key], key))
        return tuple(HotKey(pool, key, sure[key] / self.span_s) for key in best)

    def _drop(self) -> None:
        counts = self.counts
        ranked = sorted(counts, key=counts.__getitem__, reverse=True)
        self.floor = counts[ranked[self.capacity]]
        self.counts = {key: counts[key] for key in ranked[: self.capacity]}
        self.errors = {
            key: error
            for key, error in self.errors.items()
            if key in self.counts
        }


def merge_hot_keys(
    reports: Iterable[Iterable[HotKey]],
    limit: int = REPORT_LIMIT,
) -> tuple[HotKey, ...]:
    """Add up reports of several hosts; the hottest of each pool come first."""
    rates: dict[str, Counter[str]] = {}
    for report in reports:
        for hot in report:
            pool_rates = rates.setdefault(hot.pool, Counter())
            pool_rates[hot.key] += hot.rate  # type: ignore[assignment]
    merged = []
    for pool, pool_rates in sorted(rates.items()):
        ranked = [(-rate, key) for key, rate in pool_rates.items()]
        for rate, key in heapq.nsmallest(limit, ranked):
            merged.append(HotKey(pool, key, -rate))
    return tuple(merged)


@dataclass(frozen=True, slots=True)
class SplitDecision:
    """Keys to give an assignment of their own, and keys to take it from."""

    split: tuple[str, ...] = ()
    merge: tuple[str, ...] = ()


@dataclass(slots=True)
class SplitJudge:
    """Decides for one pool, once a window, which keys are split out.

    A key is split when its share was over the threshold in two windows in a
    row, and merged when it was under half of the threshold in five: between
    the two it stays as it is.
    """

    shard_count: int
    over: dict[str, int] = field(default_factory=dict)
    under: dict[str, int] = field(default_factory=dict)

    def judge(
        self,
        rates: Mapping[str, float],
        total_rate: float,
        server_count: int,
        split: Collection[str],
    ) -> SplitDecision:
        """Take in one window.

        :param rates: requests per second of the hottest keys.
        :param total_rate: requests per second of the pool.
        :param split: keys that are split out now.
        """
        if total_rate <= 0 or server_count <= 0:
            return SplitDecision()
        threshold = total_rate * SPLIT_SHARE / server_count
        self.over = {
            key: self.over.get(key, 0) + 1
            for key, rate in rates.items()
            if rate > threshold and key not in split
        }
        self.under = {
            key: self.under.get(key, 0) + 1
            for key in split
            if rates.get(key, 0) < threshold / 2
        }
        merged = [k for k, n in self.under.items() if n >= MERGE_WINDOWS]
        ripe = [k for k, n in self.over.items() if n >= SPLIT_WINDOWS]
        ripe.sort(key=lambda key: (-rates[key], key))
        return SplitDecision(
            split=tuple(self._fitting(ripe, split)),
            merge=tuple(sorted(merged)),
        )

    def _fitting(
        self,
        ripe: Iterable[str],
        split: Collection[str],
    ) -> Iterable[str]:
        # A segment is one row, whose size is bounded.
        used = Counter(self._segment(key) for key in split)
        for key in ripe:
            segment = self._segment(key)
            if used[segment] < SPLIT_KEYS_PER_SEGMENT:
                used[segment] += 1
                yield key

    def _segment(self, key: str) -> int:
        return segment_of(shard_of(key, self.shard_count))
