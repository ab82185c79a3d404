"""Counts the requests of keys, splits hot keys and chooses their owners.

A key is split out of its shard in two steps (section 2.7 of docs/design.md).
First the segment's row lists it with the assignment of its shard, which
changes no owner. Then it moves to another owner as a shard does.
"""

from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from oriolearch.core.hotkeys import (
    SPLIT_KEYS_PER_SEGMENT,
    HotKeySketch,
    SplitPolicy,
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
BUFFER_LIMIT = 16_384  # keys between two drains, which run every 0.2 s
MAX_KEY_LENGTH = 256  # characters; longer keys would fill buffers and reports
MIN_POOL_RATE = 20.0  # requests/s; 100 requests per window
MIN_SKETCH_TOTAL = 0.01  # requests after decay; below, the pool is idle
MIN_GAIN = 0.25  # of the key's share; a move is not worth a smaller gain
# Stands for a split key that another server owns; real epochs are above 0.
NOT_OWNED_EPOCH = 0
ALL_KEYS = ''  # reports the total rate of a pool; no request has this key


class KeyCounter:
    """Counts the keys of the requests of one host.

    Request threads only append to a bounded buffer, which needs no lock. Only
    the thread that calls :meth:`drain` uses the other attributes.
    """

    def __init__(self) -> None:
        self.buffer: deque[tuple[str, str]] = deque(maxlen=BUFFER_LIMIT)
        self.sketches: dict[str, HotKeySketch] = {}
        self.window_end: float | None = None

    def add(self, pool: str, key: str) -> None:
        """Count one request of a keyed pool; any thread may call it."""
        is_long = len(key) > MAX_KEY_LENGTH
        self.buffer.append((pool, ALL_KEYS if is_long else key))

    def drain(self, now: float) -> tuple[HotKey, ...] | None:
        """Process the buffered keys; return a report once per window.

        A key that is too long or not printable counts only towards the rate
        of its pool. It might have no UTF-8 encoding, and the host could then
        send no sync message.
        """
        remaining = len(self.buffer)  # keys added from now on wait
        while remaining > 0:
            remaining -= 1
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
            if sketch.total < MIN_SKETCH_TOTAL:
                del self.sketches[pool]
            elif sketch.effective_span_s:
                yield HotKey(pool, ALL_KEYS, sketch.rate())
                yield from sketch.top(pool)


@dataclass(frozen=True, slots=True)
class KeyRate:
    """A key among the hottest of its pool.

    :param rate: requests per second.
    :param share: share of the pool's requests.
    :param is_hot: whether the key should be split out of its shard.
    """

    pool: str
    key: str
    rate: float
    share: float
    is_hot: bool


class HotKeyDetector:
    """Decides once per window which keys of each keyed pool are hot.

    It evaluates the reports of this host and of the hosts below it in the
    tree. At the root of a zone's tree these are all requests of the zone.
    """

    def __init__(self) -> None:
        self.policies: dict[str, SplitPolicy] = {}
        self.hot: dict[str, frozenset[str]] = {}
        self.rates: dict[str, dict[str, float]] = {}

    def evaluate(
        self,
        reports: Iterable[Iterable[HotKey]],
        document: Document,
        segments: Iterable[Segment] = (),
    ) -> None:
        """Evaluate the reports of one window.

        :param segments: a key that is split in one of these counts as hot
            until it has been cold at this host, because the host may have
            become the root of its tree only now.
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
            name: self._find_hot_keys(
                pool,
                rates.get(name, {}),
                document,
                self.hot.get(name, frozenset()).union(split.get(name, ())),
            )
            for name, pool in pools.items()
        }
        self.policies = {name: self.policies[name] for name in pools}

    def shares(self) -> dict[str, dict[str, float]]:
        """Return the share of each hot key by pool."""
        shares = {}
        for pool, hot in self.hot.items():
            rates = self.rates.get(pool, {})
            total = rates.get(ALL_KEYS, 0)
            shares[pool] = {
                key: rates.get(key, 0) / total if total else 0 for key in hot
            }
        return shares

    def hottest(self, limit: int) -> Iterator[KeyRate]:
        """Yield the most frequent keys of each pool, and all hot keys."""
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

    def _find_hot_keys(
        self,
        pool: Pool,
        rates: Mapping[str, float],
        document: Document,
        hot: frozenset[str],
    ) -> frozenset[str]:
        policy = self.policies.get(pool.name)
        if policy is None or policy.shard_count != pool.shard_count:
            policy = SplitPolicy(pool.shard_count)
            self.policies[pool.name] = policy
        total = rates.get(ALL_KEYS, 0)
        keys = {key: rate for key, rate in rates.items() if key != ALL_KEYS}
        if total < MIN_POOL_RATE:
            # The share of a key is not significant with so few requests,
            # so all keys of the pool count as cold.
            keys, total = {}, MIN_POOL_RATE
        decision = policy.evaluate(
            keys, total, _count_servers(pool, document), hot
        )
        return hot.union(decision.split).difference(decision.merge)


def _count_servers(pool: Pool, document: Document) -> int:
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

    :param hot: share of each hot key; the rest is spread evenly over shards.
    """
    shard_share = max(1 - sum(hot.values()), 0) / pool.shard_count
    loads: Counter[str | None] = Counter()
    for segment in segments:
        for assignment in segment.shards:
            loads[assignment.owner] += shard_share  # type: ignore[assignment]
        for key, share in hot.items():
            if segment_of(shard_of(key, pool.shard_count)) == segment.index:
                owner = owner_of(pool, segment, key)
                loads[owner] += share  # type: ignore[assignment]
    return loads


def owner_of(pool: Pool, segment: Segment, key: str) -> str | None:
    """Return the owner of a key, split or not, from its segment."""
    return segment.keys.get(key, _shard_assignment(pool, segment, key)).owner


def key_lists(
    pool: Pool,
    segments: Iterable[Segment],
    moving_shards: Collection[int],
    released_keys: Collection[str],
) -> dict[str | None, dict[str, int]]:
    """Return the list of split keys for each server, with their epochs.

    The list for the owner of a shard also has the split keys of that shard
    that it doesn't own.

    :param moving_shards: shards that were revoked from their owners.
    :param released_keys: keys that were revoked from their owners.
    """
    lists: dict[str | None, dict[str, int]] = {}
    for segment in segments:
        for key, assignment in segment.keys.items():
            if shard_of(key, pool.shard_count) not in moving_shards:
                shard_owner = _shard_assignment(pool, segment, key).owner
                lists.setdefault(shard_owner, {})[key] = NOT_OWNED_EPOCH
            if key not in released_keys:
                lists.setdefault(assignment.owner, {})[key] = assignment.epoch
    return lists


@dataclass(frozen=True, slots=True)
class SplitPlanner:
    """Plans changes of the split keys of one pool for one moment.

    :param hot: share of each key that should be split. While it is unknown
        (``None``), keys change only when their owner is lost.
    :param usable: weight of each server that can own keys.
    :param loads: estimated share of requests by server.
    :param moving_shards: shards that were revoked from their owners.
    :param released_keys: keys that were revoked from their owners.
    """

    pool: Pool
    hot: Mapping[str, float] | None
    usable: Mapping[str, float]
    loads: Mapping[str | None, float]
    moving_shards: Collection[int]
    released_keys: Collection[str]

    def keys_to_release(
        self,
        segment: Segment,
        unusable: Collection[str | None],
        is_leaving: bool,
    ) -> Iterator[str]:
        """Yield the keys whose owners should release them.

        :param unusable: owners that cannot or should not keep keys.
        :param is_leaving: whether the segment moves to another zone.
        """
        for key, assignment in segment.keys.items():
            if key in self.released_keys:
                continue
            shard_owner = _shard_assignment(self.pool, segment, key).owner
            if assignment.owner in unusable or self._should_follow_shard(
                key,
                is_apart=assignment.owner != shard_owner,
                is_leaving=is_leaving,
            ):
                yield key
            elif self._should_move(key, assignment.owner, shard_owner):
                yield key
                return  # the loads are outdated for further keys

    def with_updated_keys(self, segment: Segment) -> Segment | None:
        """Return the row with an updated list of keys and the same owners."""
        if self.hot is None:
            return None
        keys = dict(self._kept_keys(segment, self.hot))
        for key in sorted(self.hot):
            is_here = segment_of(self._shard(key)) == segment.index
            has_room = len(keys) < SPLIT_KEYS_PER_SEGMENT
            if is_here and has_room and self._should_list(segment, key):
                keys[key] = _shard_assignment(self.pool, segment, key)
        return None if keys == segment.keys else replace(segment, keys=keys)

    def with_new_owners(
        self, segment: Segment, free_keys: Collection[str]
    ) -> Segment | None:
        """Return the row with new owners for keys that are free."""
        keys = dict(segment.keys)
        epoch = segment.version + 1
        loads = Counter(self.loads)
        for key in sorted(free_keys):
            shard_owner = _shard_assignment(self.pool, segment, key).owner
            target = self._choose_owner(key, shard_owner, loads)
            if target is not None:
                share = (self.hot or {}).get(key, 0)
                loads[keys[key].owner] -= share  # type: ignore[assignment]
                loads[target] += share  # type: ignore[assignment]
                keys[key] = Assignment(target, epoch)
        return None if keys == segment.keys else replace(segment, keys=keys)

    def _should_follow_shard(
        self,
        key: str,
        *,
        is_apart: bool,
        is_leaving: bool,
    ) -> bool:
        """Check whether a key should move to the owner of its shard."""
        is_cold = self.hot is not None and key not in self.hot
        if self._shard(key) in self.moving_shards:
            return is_leaving or is_cold
        return is_cold and is_apart

    def _kept_keys(
        self,
        segment: Segment,
        hot: Mapping[str, float],
    ) -> Iterator[tuple[str, Assignment]]:
        for key, assignment in segment.keys.items():
            # While the shard moves, its owner may still own the key through
            # its list of keys, which the release of the shard does not cover.
            is_moving = self._shard(key) in self.moving_shards
            is_moved = assignment != _shard_assignment(self.pool, segment, key)
            if key in hot or key in self.released_keys or is_moving or is_moved:
                yield key, assignment

    def _should_list(self, segment: Segment, key: str) -> bool:
        owner = _shard_assignment(self.pool, segment, key).owner
        is_listed = (
            key in segment.keys or self._shard(key) in self.moving_shards
        )
        return not is_listed and self._should_move(key, owner, owner)

    def _choose_owner(
        self,
        key: str,
        shard_owner: str | None,
        loads: Mapping[str | None, float],
    ) -> str | None:
        is_cold = self.hot is not None and key not in self.hot
        is_settled = self._shard(key) not in self.moving_shards
        if is_cold and is_settled and shard_owner in self.usable:
            return shard_owner
        return least_loaded(self.usable, _without_unowned(loads))

    def _should_move(
        self,
        key: str,
        owner: str | None,
        shard_owner: str | None,
    ) -> bool:
        share = (self.hot or {}).get(key, 0)
        if not share or owner != shard_owner or self.released_keys:
            return False
        if owner not in self.usable:
            return False
        loads = Counter(self.loads)
        loads[owner] -= share  # type: ignore[assignment]
        best = least_loaded(self.usable, _without_unowned(loads))
        return loads[owner] - loads[best] > MIN_GAIN * share

    def _shard(self, key: str) -> int:
        return shard_of(key, self.pool.shard_count)


def without_free_keys(
    pool: Pool,
    segment: Segment,
    shards: Collection[int],
    free_keys: Collection[str],
) -> Segment:
    """Return the row without the free keys of shards that get a new epoch.

    A key may return to its shard only with a new epoch of the shard, because
    epochs never decrease.

    :param shards: shards that get a new epoch.
    :param free_keys: keys that no server owns.
    """
    keys = {
        key: assignment
        for key, assignment in segment.keys.items()
        if key not in free_keys or shard_of(key, pool.shard_count) not in shards
    }
    return replace(segment, keys=keys)


def _shard_assignment(pool: Pool, segment: Segment, key: str) -> Assignment:
    number = shard_of(key, pool.shard_count) % SHARDS_PER_SEGMENT
    return segment.shards[number]


def _without_unowned(loads: Mapping[str | None, float]) -> dict[str, float]:
    return {name: load for name, load in loads.items() if name is not None}
