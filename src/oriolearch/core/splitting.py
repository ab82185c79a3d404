"""Hot keys end to end: counts of one host, and which keys are to be split.

Nothing here changes an owner; see 2.7 of docs/design.md.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from oriolearch.core.hotkeys import HotKeySketch, SplitJudge, merge_hot_keys
from oriolearch.core.messages import HotKey
from oriolearch.core.model import Document, Pool, PoolKind

WINDOW_S = 5.0
BUFFER_LIMIT = 16_384  # keys between two drains, which are 0.2 s apart
KEY_LIMIT = 256  # characters; longer keys would fill buffers and reports
MIN_POOL_RATE = 20.0  # requests/s; below, a window holds under 100 requests
FORGET_TOTAL = 0.01  # decayed requests of a pool that has been idle for long
ALL_KEYS = ''  # reported with the rate of the pool; no request has this key


class KeyCounter:
    """Counts the keys of the requests of one host.

    Request threads only append to a bounded buffer, which needs no lock. All
    else belongs to the thread that drains.
    """

    def __init__(self) -> None:
        self.buffer: deque[tuple[str, str]] = deque(maxlen=BUFFER_LIMIT)
        self.sketches: dict[str, HotKeySketch] = {}
        self.window_end: float | None = None

    def add(self, pool: str, key: str) -> None:
        """Count one request of a keyed pool; any thread may call it."""
        is_long = len(key) > KEY_LIMIT
        self.buffer.append((pool, ALL_KEYS if is_long else key))

    def drain(self, now: float) -> tuple[HotKey, ...] | None:
        """Take in what was counted; gives a report once a window.

        A key that is too long or not printable counts for its pool only: it
        may have no UTF-8 form, without which no sync could be sent.
        """
        left = len(self.buffer)  # what is added meanwhile waits
        while left > 0:
            left -= 1
            pool, key = self.buffer.popleft()
            sketch = self.sketches.get(pool)
            if sketch is None:
                sketch = HotKeySketch()
                sketch.decay(now)
                self.sketches[pool] = sketch
            if key != ALL_KEYS and key.isprintable():
                sketch.add(key)
            else:
                sketch.total += 1
        if self.window_end is None:
            self.window_end = now + WINDOW_S
        if now < self.window_end:
            return None
        self.window_end = now + WINDOW_S
        return tuple(self._report(now))

    def _report(self, now: float) -> Iterator[HotKey]:
        for pool, sketch in list(self.sketches.items()):
            sketch.decay(now)
            if sketch.total < FORGET_TOTAL:
                del self.sketches[pool]
            elif sketch.span_s:
                yield HotKey(pool, ALL_KEYS, sketch.rate())
                yield from sketch.top(pool)


@dataclass(frozen=True, slots=True)
class KeyRate:
    """A key among the hottest of its pool.

    :param rate: requests per second.
    :param share: of all requests of the pool.
    :param is_hot: it is to be split out of its shard.
    """

    pool: str
    key: str
    rate: float
    share: float
    is_hot: bool


class HotKeyWatch:
    """Decides once a window which keys of each keyed pool are hot.

    Hears the requests that enter at this host and at those below it, so at
    the root of a zone's tree it decides by all that enter in the zone.
    """

    def __init__(self) -> None:
        self.judges: dict[str, SplitJudge] = {}
        self.hot: dict[str, frozenset[str]] = {}
        self.rates: dict[str, dict[str, float]] = {}

    def judge(
        self,
        reports: Iterable[Iterable[HotKey]],
        document: Document,
    ) -> None:
        """Take in the reports of one window."""
        rates: dict[str, dict[str, float]] = {}
        for hot in merge_hot_keys(reports):
            rates.setdefault(hot.pool, {})[hot.key] = hot.rate
        self.rates = rates
        pools = {
            name: pool
            for name, pool in document.pools.items()
            if pool.kind is PoolKind.KEYED
        }
        self.hot = {
            name: self._hot_of(pool, rates.get(name, {}), document)
            for name, pool in pools.items()
        }
        self.judges = {name: self.judges[name] for name in pools}

    def hottest(self, limit: int) -> Iterator[KeyRate]:
        """Give the hottest keys of each pool, and all hot ones."""
        for pool, rates in sorted(self.rates.items()):
            total = rates.get(ALL_KEYS, 0)
            hot = self.hot.get(pool, frozenset())
            named = dict.fromkeys(hot, 0.0) | rates
            named.pop(ALL_KEYS, None)
            ranked = sorted((-rate, key) for key, rate in named.items())
            for rank, (negative, key) in enumerate(ranked):
                if rank < limit or key in hot:
                    share = -negative / total if total else 0
                    yield KeyRate(pool, key, -negative, share, key in hot)

    def _hot_of(
        self,
        pool: Pool,
        rates: Mapping[str, float],
        document: Document,
    ) -> frozenset[str]:
        judge = self.judges.get(pool.name)
        if judge is None or judge.shard_count != pool.shard_count:
            judge = SplitJudge(pool.shard_count)
            self.judges[pool.name] = judge
        hot = self.hot.get(pool.name, frozenset())
        total = rates.get(ALL_KEYS, 0)
        keys = {key: rate for key, rate in rates.items() if key != ALL_KEYS}
        if total < MIN_POOL_RATE:
            # Its keys cool down: a share of few requests says nothing.
            keys, total = {}, MIN_POOL_RATE
        decision = judge.judge(keys, total, _servers(pool, document), hot)
        return hot.union(decision.split).difference(decision.merge)


def _servers(pool: Pool, document: Document) -> int:
    return sum(
        upstream.zone not in document.zones_out
        and upstream.name not in document.hosts_out
        for upstream in pool.upstreams
    )
