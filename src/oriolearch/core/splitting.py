"""Hot keys end to end: counts, which keys are split, and where they live.

A key is split in two steps, see 2.7 of docs/design.md: first the row lists it
with the assignment of its shard, which changes no owner; then it moves as a
shard does.
"""

from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from oriolearch.core.hotkeys import (
    SPLIT_KEYS_PER_SEGMENT,
    HotKeySketch,
    SplitJudge,
    merge_hot_keys,
)
from oriolearch.core.messages import HotKey, Segment
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    Document,
    Pool,
    PoolKind,
    segment_of,
    shard_of,
)
from oriolearch.core.placement import least_loaded

WINDOW_S = 5.0
BUFFER_LIMIT = 16_384  # keys between two drains, which are 0.2 s apart
KEY_LIMIT = 256  # characters; longer keys would fill buffers and reports
MIN_POOL_RATE = 20.0  # requests/s; below, a window holds under 100 requests
FORGET_TOTAL = 0.01  # decayed requests of a pool that has been idle for long
MIN_GAIN = 0.25  # of a key's share; a smaller gain is not worth a move
NOT_OWNED = 0  # epoch in a list of a key that is not the server's; none is 0
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
        segments: Iterable[Segment] = (),
    ) -> None:
        """Take in the reports of one window.

        :param segments: a key that they split counts as hot until it has
            been cold here: the host may have become the root just now.
        """
        split: dict[str, set[str]] = {}
        for segment in segments:
            split.setdefault(segment.pool, set()).update(segment.keys)
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
            name: self._hot_of(
                pool,
                rates.get(name, {}),
                document,
                self.hot.get(name, frozenset()).union(split.get(name, ())),
            )
            for name, pool in pools.items()
        }
        self.judges = {name: self.judges[name] for name in pools}

    def shares(self) -> dict[str, dict[str, float]]:
        """Give, by pool, the share of each hot key."""
        found = {}
        for pool, hot in self.hot.items():
            rates = self.rates.get(pool, {})
            total = rates.get(ALL_KEYS, 0)
            found[pool] = {
                key: rates.get(key, 0) / total if total else 0 for key in hot
            }
        return found

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
        hot: frozenset[str],
    ) -> frozenset[str]:
        judge = self.judges.get(pool.name)
        if judge is None or judge.shard_count != pool.shard_count:
            judge = SplitJudge(pool.shard_count)
            self.judges[pool.name] = judge
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


def server_loads(
    pool: Pool,
    segments: Iterable[Segment],
    hot: Mapping[str, float],
) -> Counter[str | None]:
    """Estimate the share of a pool's requests on each server.

    :param hot: share of each hot key; the rest is spread over the shards.
    """
    each = max(1 - sum(hot.values()), 0) / pool.shard_count
    loads: Counter[str | None] = Counter()
    for segment in segments:
        for one in segment.shards:
            loads[one.owner] += each  # type: ignore[assignment]
        for key, share in hot.items():
            if segment_of(shard_of(key, pool.shard_count)) == segment.index:
                owner = owner_of(pool, segment, key)
                loads[owner] += share  # type: ignore[assignment]
    return loads


def owner_of(pool: Pool, segment: Segment, key: str) -> str | None:
    """Name the owner of a key, split or not, by its segment."""
    return segment.keys.get(key, _shard_of_key(pool, segment, key)).owner


def key_lists(
    pool: Pool,
    segments: Iterable[Segment],
    moving: Collection[int],
    released: Collection[str],
) -> dict[str | None, dict[str, int]]:
    """Give the split keys in each server's list, with their epochs.

    The owner of a key's shard is told which keys are not its own.

    :param moving: shards that were taken from their owners.
    :param released: keys that were taken from their owners.
    """
    lists: dict[str | None, dict[str, int]] = {}
    for segment in segments:
        for key, one in segment.keys.items():
            if shard_of(key, pool.shard_count) not in moving:
                around = _shard_of_key(pool, segment, key).owner
                lists.setdefault(around, {})[key] = NOT_OWNED
            if key not in released:
                lists.setdefault(one.owner, {})[key] = one.epoch
    return lists


@dataclass(frozen=True, slots=True)
class SplitScene:
    """Decides on the split keys of one pool, at one time.

    :param hot: share of each key that is to be split; ``None`` while unknown,
        when keys change only with the loss of their owners.
    :param usable: weight of each server that can take keys.
    :param moving: shards that were taken from their owners.
    :param released: keys that were taken from their owners.
    """

    pool: Pool
    hot: Mapping[str, float] | None
    usable: Mapping[str, float]
    loads: Mapping[str | None, float]
    moving: Collection[int]
    released: Collection[str]

    def to_release(
        self,
        segment: Segment,
        gone: Collection[str | None],
        is_leaving: bool,
    ) -> Iterator[str]:
        """Give the keys that should be taken from their owners.

        :param gone: owners that cannot or should not keep keys.
        :param is_leaving: the segment is to be handed to another zone.
        """
        for key, one in segment.keys.items():
            if key in self.released:
                continue
            around = _shard_of_key(self.pool, segment, key).owner
            if one.owner in gone or self._is_to_follow(
                key,
                is_apart=one.owner != around,
                is_leaving=is_leaving,
            ):
                yield key
            elif self._is_better_elsewhere(key, one.owner, around):
                yield key
                return  # the loads have changed for the next one

    def listed(self, segment: Segment) -> Segment | None:
        """Give the row that lists other keys without changing an owner."""
        if self.hot is None:
            return None
        keys = dict(self._kept(segment, self.hot))
        for key in sorted(self.hot):
            is_here = segment_of(self._shard(key)) == segment.index
            is_room = len(keys) < SPLIT_KEYS_PER_SEGMENT
            if is_here and is_room and self._is_to_list(segment, key):
                keys[key] = _shard_of_key(self.pool, segment, key)
        return None if keys == segment.keys else replace(segment, keys=keys)

    def placed(self, segment: Segment, free: Collection[str]) -> Segment | None:
        """Give the row with new owners of keys that are free."""
        keys = dict(segment.keys)
        epoch = segment.version + 1
        loads = Counter(self.loads)
        for key in sorted(free):
            around = _shard_of_key(self.pool, segment, key).owner
            target = self._target(key, around, loads)
            if target is not None:
                share = (self.hot or {}).get(key, 0)
                loads[keys[key].owner] -= share  # type: ignore[assignment]
                loads[target] += share  # type: ignore[assignment]
                keys[key] = Assignment(target, epoch)
        return None if keys == segment.keys else replace(segment, keys=keys)

    def _is_to_follow(
        self,
        key: str,
        *,
        is_apart: bool,
        is_leaving: bool,
    ) -> bool:
        """Tell whether a key should go where its shard is or goes."""
        is_cold = self.hot is not None and key not in self.hot
        if self._shard(key) in self.moving:
            return is_leaving or is_cold
        return is_cold and is_apart

    def _kept(
        self,
        segment: Segment,
        hot: Mapping[str, float],
    ) -> Iterator[tuple[str, Assignment]]:
        for key, one in segment.keys.items():
            # While the shard moves, its owner may hold the key by a list
            # that the shard's release does not wait for.
            is_moving = self._shard(key) in self.moving
            is_moved = one != _shard_of_key(self.pool, segment, key)
            if key in hot or key in self.released or is_moving or is_moved:
                yield key, one

    def _is_to_list(self, segment: Segment, key: str) -> bool:
        owner = _shard_of_key(self.pool, segment, key).owner
        is_listed = key in segment.keys or self._shard(key) in self.moving
        return not is_listed and self._is_better_elsewhere(key, owner, owner)

    def _target(
        self,
        key: str,
        around: str | None,
        loads: Mapping[str | None, float],
    ) -> str | None:
        is_cold = self.hot is not None and key not in self.hot
        is_settled = self._shard(key) not in self.moving
        if is_cold and is_settled and around in self.usable:
            return around
        return least_loaded(self.usable, _named(loads))

    def _is_better_elsewhere(
        self,
        key: str,
        owner: str | None,
        around: str | None,
    ) -> bool:
        share = (self.hot or {}).get(key, 0)
        if not share or owner != around or self.released:
            return False
        if owner not in self.usable:
            return False
        loads = Counter(self.loads)
        loads[owner] -= share  # type: ignore[assignment]
        best = least_loaded(self.usable, _named(loads))
        return loads[owner] - loads[best] > MIN_GAIN * share

    def _shard(self, key: str) -> int:
        return shard_of(key, self.pool.shard_count)


def without_followers(
    pool: Pool,
    segment: Segment,
    shards: Collection[int],
    free: Collection[str],
) -> Segment:
    """Drop the free keys of shards that get a new epoch.

    Only then may a key go back into its shard: epochs never decrease.
    """
    keys = {
        key: one
        for key, one in segment.keys.items()
        if key not in free or shard_of(key, pool.shard_count) not in shards
    }
    return replace(segment, keys=keys)


def _shard_of_key(pool: Pool, segment: Segment, key: str) -> Assignment:
    number = shard_of(key, pool.shard_count) % SHARDS_PER_SEGMENT
    return segment.shards[number]


def _named(loads: Mapping[str | None, float]) -> dict[str, float]:
    return {name: load for name, load in loads.items() if name is not None}
