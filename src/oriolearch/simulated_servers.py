"""Simulated keyed servers, and the ledger that checks exclusive ownership."""

import itertools
from collections.abc import Callable, Mapping

from oriolearch.core.coordinator import Move
from oriolearch.core.errors import InvariantError
from oriolearch.core.grants import (
    Probe,
    RenewerEffect,
    SendGrant,
    ServerAnswer,
    ServerRefusal,
)
from oriolearch.core.messages import Segment
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    segment_of,
    shard_of,
)
from oriolearch.core.rows import SEGMENT_TABLE
from oriolearch.core.segments import (
    SegmentKey,
    decode_segment,
    segment_row_key,
)
from oriolearch.simulation import RATE_SPREAD, Action, Simulation, TableModel

Reply = Callable[[ServerAnswer | ServerRefusal], None]
Owners = tuple[str | None, ...]
Units = frozenset[int | str]  # shards, and the hot keys that are watched
SHARD_COUNT = 768  # of each simulated pool
HOT_KEYS = tuple(f'hot{number}' for number in range(10))


class BalancedPlanner:
    """Places shards by weight; moves owned ones only above the target."""

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Give the moves, see :class:`~oriolearch.core.coordinator.Planner`."""
        total = sum(servers.values())
        room = {
            name: len(shards) * weight / total
            for name, weight in servers.items()
        }
        for owner in shards.values():
            if owner is not None:
                room[owner] -= 1
        moves = []
        for shard, owner in shards.items():
            target = max(room, key=room.__getitem__)
            is_over = owner is not None and room[owner] <= -1
            if owner is None or (is_over and room[target] >= 1 and limit > 0):
                moves.append(Move(shard, owner, target))
                room[target] -= 1
                if owner is not None:
                    room[owner] += 1
                    limit -= 1
        return tuple(moves)


def hot_keys_in(index: int) -> list[str]:
    """Give the watched keys of a segment."""
    return [
        key
        for key in HOT_KEYS
        if segment_of(shard_of(key, SHARD_COUNT)) == index
    ]


def units_of(shards: Mapping[int, int], keys: Mapping[str, int]) -> Units:
    """Give what a server with this list runs orders for.

    A key that is listed with epoch 0 is not the server's.
    """
    own = {
        key
        for key in HOT_KEYS
        if keys.get(key, shard_of(key, SHARD_COUNT) in shards)
    }
    return frozenset(shards).union(own)


class Ledger:
    """Which server may run orders for which shard, in true time."""

    def __init__(self, world: Simulation, table: TableModel) -> None:
        self.world = world
        self.table = table
        self.grants: dict[str, dict[str, tuple[Units, float]]] = {}
        self.reach: dict[SegmentKey, dict[Owners, float]] = {}
        self.served: dict[SegmentKey, dict[Owners, float]] = {}
        self._decoded: dict[tuple[SegmentKey, int], Segment] = {}
        self._overlaps: dict[tuple[Units, Units], bool] = {}

    def granted(
        self,
        pool: str,
        server: str,
        shards: Units,
        end: float,
    ) -> None:
        """Check a grant against those of the other servers.

        :param end: true time at which it ends.
        """
        known = self.grants.setdefault(pool, {})
        known[server] = shards, end
        if end <= self.world.now:
            return
        for other, (others, other_end) in known.items():
            is_in_force = other != server and other_end > self.world.now
            if is_in_force and self._is_overlap(shards, others):
                both = sorted(shards & others, key=str)[-3:]
                detail = f'{pool} {both}: {server} and {other}'
                raise InvariantError('single-owner', detail)

    def acknowledged(
        self,
        pool: str,
        server: str,
        shards: Mapping[int, int],
        keys: Mapping[str, int],
    ) -> None:
        """Check that the table holds each assignment that was granted."""
        for key in units_of(shards, keys).intersection(HOT_KEYS):
            self._check_key(pool, server, str(key), keys)
        for shard, epoch in shards.items():
            segment = self.segment((pool, segment_of(shard)))
            one = segment and segment.shards[shard % SHARDS_PER_SEGMENT]
            if not one or one.owner != server or one.epoch != epoch:
                detail = f'{pool}/{shard}: {server} {epoch}, table has {one}'
                raise InvariantError('granted-is-stored', detail)

    def _check_key(
        self,
        pool: str,
        server: str,
        key: str,
        keys: Mapping[str, int],
    ) -> None:
        number = shard_of(key, SHARD_COUNT)
        segment = self.segment((pool, segment_of(number)))
        one: Assignment | None = None
        if segment is not None:
            around = segment.shards[number % SHARDS_PER_SEGMENT]
            one = segment.keys.get(key, around)
        is_stored = one is not None and one.owner == server
        if not one or not is_stored or keys.get(key, one.epoch) != one.epoch:
            detail = f'{pool}/{key}: {server} {keys}, table has {one}'
            raise InvariantError('granted-is-stored', detail)

    def segment(self, key: SegmentKey) -> Segment | None:
        """Read a segment from the table as it is now."""
        stored = self.table.read(SEGMENT_TABLE, segment_row_key(key))
        if stored.row is None:
            return None
        name = key, stored.version
        if name not in self._decoded:
            self._decoded[name] = decode_segment(key, *name[1:], stored.row)
        return self._decoded[name]

    def routed(self, segment: Segment, permit_end: float, limit: float) -> None:
        """Check what a router may send to servers without fencing.

        :param permit_end: true time until which it sends by the segment.
        """
        key = segment.pool, segment.index
        owners = tuple(one.owner for one in segment.shards)
        for hot in hot_keys_in(segment.index):
            number = shard_of(hot, SHARD_COUNT) % SHARDS_PER_SEGMENT
            one = segment.keys.get(hot, segment.shards[number])
            owners = (*owners, one.owner)
        self._extend(self.served, key, owners, permit_end)
        known = self._extend(self.reach, key, owners, permit_end + limit)
        for other, end in known.items():
            if end > self.world.now and other is not owners:
                self._check_owners(key, owners, other)

    def _extend(
        self,
        ends: dict[SegmentKey, dict[Owners, float]],
        key: SegmentKey,
        owners: Owners,
        end: float,
    ) -> dict[Owners, float]:
        known = ends.get(key, {})
        known = {one: old for one, old in known.items() if old > self.world.now}
        known[owners] = max(known.get(owners, 0.0), end)
        ends[key] = known
        return known

    def _check_owners(
        self, key: SegmentKey, one: Owners, other: Owners
    ) -> None:
        for number, pair in enumerate(zip(one, other, strict=True)):
            if None not in pair and pair[0] != pair[1]:
                detail = f'{key} shard {number}: {pair}'
                raise InvariantError('single-owner-by-permit', detail)

    def _is_overlap(
        self,
        one: Units,
        other: Units,
    ) -> bool:
        pair = one, other
        if pair not in self._overlaps:
            self._overlaps[pair] = not one.isdisjoint(other)
        return self._overlaps[pair]


class KeyedServer:
    """A keyed server: takes grants in order, and freezes and restarts."""

    def __init__(
        self,
        ledger: Ledger,
        pool: str,
        name: str,
        zone: str,
    ) -> None:
        self.ledger = ledger
        self.world = ledger.world
        self.pool = pool
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.is_frozen = False
        self.incarnations = itertools.count(1)
        self.rate = 1 + self.world.rng.uniform(-RATE_SPREAD, RATE_SPREAD)
        self.waiting: list[Action] = []
        self.restart()

    def restart(self) -> None:
        """Start without memory and with a clock from another origin."""
        self.is_alive = True
        self.is_frozen = False
        self.waiting.clear()
        self.incarnation = next(self.incarnations)
        self.offset = self.world.rng.uniform(0, 100) - self.world.now
        self.held = (0, 0)
        self.shards: Units = frozenset()
        self.expires = self.clock()
        self.ledger.granted(self.pool, self.name, self.shards, self.world.now)

    def kill(self) -> None:
        """End without notice."""
        self.is_alive = False
        self.ledger.granted(self.pool, self.name, frozenset(), self.world.now)

    def thaw(self) -> None:
        """Go on as if nothing had happened."""
        self.is_frozen = False
        waiting = self.waiting
        self.waiting = []
        for action in waiting:
            self.deliver(action)

    def clock(self) -> float:
        """Read the monotonic clock of the server."""
        return self.offset + self.rate * self.world.now

    def deliver(self, action: Action) -> None:
        """Handle a message, after a freeze if there is one."""
        if self.is_frozen:
            self.waiting.append(action)
        elif self.is_alive:
            action()

    def receive(
        self,
        effect: RenewerEffect,
        sent: float,
        reply: Reply,
    ) -> None:
        """Handle a message of a renewer."""
        if isinstance(effect, Probe):
            reply(ServerAnswer(sent, self.incarnation, self.clock()))
            return
        reason = self._refusal(effect)
        if reason is not None:
            reply(ServerRefusal(sent, reason))
            return
        self._accept(effect)
        version = effect.version
        reply(ServerAnswer(sent, self.incarnation, self.clock(), version))

    def _refusal(self, grant: SendGrant) -> str | None:
        if grant.incarnation != self.incarnation:
            return 'incarnation'
        if grant.term < self.held[0]:
            return 'term'
        order = grant.term, grant.version
        is_unknown = grant.shards is None and order != self.held
        return 'version' if order < self.held or is_unknown else None

    def _accept(self, grant: SendGrant) -> None:
        if grant.shards is not None:
            self.held = grant.term, grant.version
            self.shards = units_of(dict(grant.shards), dict(grant.keys))
        if grant.expires_at > self.clock():
            self.expires = max(self.expires, grant.expires_at)
        end = self.world.now + (self.expires - self.clock()) / self.rate
        self.ledger.granted(self.pool, self.name, self.shards, end)
        if end > self.world.now and grant.shards is not None:
            shards = dict(grant.shards)
            keys = dict(grant.keys)
            self.ledger.acknowledged(self.pool, self.name, shards, keys)
