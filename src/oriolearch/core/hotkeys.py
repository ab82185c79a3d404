"""Estimates the rates of keys and decides which to split or merge."""

import heapq
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from oriolearch.core.messages import HotKey
from oriolearch.core.model import segment_of, shard_of

CAPACITY = 512  # keys kept; about 16 times the 33 hot keys of a pool
DECAY_S = 5.0  # hot keys change within minutes
REPORT_LIMIT = 48  # 33 hot keys and some that may become hot
SPLIT_WINDOWS = 2
MERGE_WINDOWS = 5
SPLIT_KEYS_PER_SEGMENT = 16
SPLIT_SHARE = 0.5  # of a server's fair share of the pool's requests


class HotKeySketch:
    """Approximate rates of the most frequent keys of one pool.

    This is the Space-Saving algorithm in batches. A new key starts with the
    largest count that was evicted so far, which is also its possible error.
    When the sketch has twice its capacity, the lower half is evicted. So a
    request costs one dictionary access, and the true count is at most the
    count and at least the count minus the error. Counts decay exponentially,
    to 1/e within ``decay_s``.

    The class is not thread-safe.
    """

    def __init__(self, capacity: int = CAPACITY, decay_s: float = DECAY_S):
        self.capacity = capacity
        self.decay_s = decay_s
        self.counts: dict[str, float] = {}
        self.errors: dict[str, float] = {}
        self.max_evicted_count: float = 0
        self.total: float = 0
        self.effective_span_s: float = 0
        self.decayed_at: float | None = None

    def add(self, key: str) -> None:
        """Count one request."""
        self.total += 1
        count = self.counts.get(key)
        if count is not None:
            self.counts[key] = count + 1
            return
        self.counts[key] = self.max_evicted_count + 1
        if self.max_evicted_count:
            self.errors[key] = self.max_evicted_count
        if len(self.counts) >= 2 * self.capacity:
            self._evict()

    def decay(self, now: float) -> None:
        """Apply the decay to all counts; call this once per window."""
        if self.decayed_at is None:
            self.decayed_at = now
            return
        elapsed_s = max(now - self.decayed_at, 0)
        self.decayed_at = now
        factor = math.exp(-elapsed_s / self.decay_s)
        self.counts = {key: n * factor for key, n in self.counts.items()}
        self.errors = {key: n * factor for key, n in self.errors.items()}
        self.max_evicted_count *= factor
        self.total *= factor
        self.effective_span_s = (self.effective_span_s + elapsed_s) * factor

    def rate(self) -> float:
        """Return the recent requests per second of the pool."""
        return (
            self.total / self.effective_span_s if self.effective_span_s else 0
        )

    def top(self, pool: str, limit: int = REPORT_LIMIT) -> tuple[HotKey, ...]:
        """Return the most frequent keys with lower bounds of their rates.

        The possible error is subtracted, so that a key does not seem hot
        because of the count of an evicted one.
        """
        if not self.effective_span_s:
            return ()
        lower_bounds = {
            key: count - self.errors.get(key, 0)
            for key, count in self.counts.items()
        }
        hottest = heapq.nlargest(
            limit, lower_bounds, key=lambda key: (lower_bounds[key], key)
        )
        return tuple(
            HotKey(pool, key, lower_bounds[key] / self.effective_span_s)
            for key in hottest
        )

    def _evict(self) -> None:
        counts = self.counts
        ranked = sorted(counts, key=counts.__getitem__, reverse=True)
        self.max_evicted_count = counts[ranked[self.capacity]]
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
    """Sum the reports of several hosts; the hottest keys come first."""
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
    """Keys to split out of their shards, and keys to merge back."""

    split: tuple[str, ...] = ()
    merge: tuple[str, ...] = ()


@dataclass(slots=True)
class SplitPolicy:
    """Decides once per window which keys of a pool are split.

    A key is split when its share was above the threshold in two consecutive
    windows, and merged when its share was below half of the threshold in five.
    Between these limits its state does not change.

    :ivar windows_above: consecutive windows above the threshold, by key.
    :ivar windows_below: consecutive windows below half of it, by key.
    """

    shard_count: int
    windows_above: dict[str, int] = field(default_factory=dict)
    windows_below: dict[str, int] = field(default_factory=dict)

    def evaluate(
        self,
        rates: Mapping[str, float],
        total_rate: float,
        server_count: int,
        split: Collection[str],
    ) -> SplitDecision:
        """Evaluate one window.

        :param rates: requests per second of the hottest keys.
        :param total_rate: requests per second of the pool.
        :param split: keys that are split at present.
        """
        if total_rate <= 0 or server_count <= 0:
            return SplitDecision()
        threshold = total_rate * SPLIT_SHARE / server_count
        self.windows_above = {
            key: self.windows_above.get(key, 0) + 1
            for key, rate in rates.items()
            if rate > threshold and key not in split
        }
        self.windows_below = {
            key: self.windows_below.get(key, 0) + 1
            for key in split
            if rates.get(key, 0) < threshold / 2
        }
        merged = [
            k for k, n in self.windows_below.items() if n >= MERGE_WINDOWS
        ]
        eligible = [
            k for k, n in self.windows_above.items() if n >= SPLIT_WINDOWS
        ]
        eligible.sort(key=lambda key: (-rates[key], key))
        return SplitDecision(
            split=tuple(self._limit_per_segment(eligible, split)),
            merge=tuple(sorted(merged)),
        )

    def _limit_per_segment(
        self,
        eligible: Iterable[str],
        split: Collection[str],
    ) -> Iterable[str]:
        # A segment is stored in one row, whose size is limited.
        used = Counter(self._segment(key) for key in split)
        for key in eligible:
            segment = self._segment(key)
            if used[segment] < SPLIT_KEYS_PER_SEGMENT:
                used[segment] += 1
                yield key

    def _segment(self, key: str) -> int:
        return segment_of(shard_of(key, self.shard_count))
