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
from oriolearch.simulation import (
    CLOCK_RATE_SPREAD,
    Action,
    Simulation,
    TableModel,
)

Reply = Callable[[ServerAnswer | ServerRefusal], None]
Owners = tuple[str | None, ...]
Units = frozenset[int | str]  # shard numbers and names of HOT_KEYS
SHARD_COUNT = 768  # of each simulated pool
HOT_KEYS = tuple(f'hot{number}' for number in range(10))


class BalancedPlanner:
    """Assigns shards in proportion to weight.

    Moves an owned shard only when its owner is above its share.
    """

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Return moves, see :class:`~oriolearch.core.coordinator.Planner`."""
        total = sum(servers.values())
        spare_shards = {
            name: len(shards) * weight / total
            for name, weight in servers.items()
        }
        for owner in shards.values():
            if owner is not None:
                spare_shards[owner] -= 1
        moves = []
        for shard, owner in shards.items():
            target = max(spare_shards, key=spare_shards.__getitem__)
            is_surplus = owner is not None and spare_shards[owner] <= -1
            if owner is None or (
                is_surplus and spare_shards[target] >= 1 and limit > 0
            ):
                moves.append(Move(shard, owner, target))
                spare_shards[target] -= 1
                if owner is not None:
                    spare_shards[owner] += 1
                    limit -= 1
        return tuple(moves)


def hot_keys_of(index: int) -> list[str]:
    """Return those of ``HOT_KEYS`` that are in a segment."""
    return [
        key
        for key in HOT_KEYS
        if segment_of(shard_of(key, SHARD_COUNT)) == index
    ]


def owned_units(shards: Mapping[int, int], keys: Mapping[str, int]) -> Units:
    """Return the shards and hot keys that a grant list makes a server own.

    A key that is listed with epoch 0 belongs to another server.
    """
    own = {
        key
        for key in HOT_KEYS
        if keys.get(key, shard_of(key, SHARD_COUNT) in shards)
    }
    return frozenset(shards).union(own)


class OwnershipLedger:
    """Record of the server that may run orders for each shard, in true time.

    Raises InvariantError when two servers own a shard or key at a time.

    :ivar grants: owned units and true end of the grant, by pool and server.
    :ivar execution_ends: true time until which orders that were routed by
        each list of owners may run, by segment.
    :ivar routing_ends: true time until which routers may route by each list of
        owners, by segment.
    """

    def __init__(self, simulation: Simulation, table: TableModel) -> None:
        self.simulation = simulation
        self.table = table
        self.grants: dict[str, dict[str, tuple[Units, float]]] = {}
        self.execution_ends: dict[SegmentKey, dict[Owners, float]] = {}
        self.routing_ends: dict[SegmentKey, dict[Owners, float]] = {}
        self._decoded: dict[tuple[SegmentKey, int], Segment] = {}
        self._overlaps: dict[tuple[Units, Units], bool] = {}

    def record_grant(
        self,
        pool: str,
        server: str,
        units: Units,
        end: float,
    ) -> None:
        """Record a grant and check that no other server owns its units.

        :param end: true time at which the grant ends.
        """
        grants = self.grants.setdefault(pool, {})
        grants[server] = units, end
        if end <= self.simulation.now:
            return
        for other, (other_units, other_end) in grants.items():
            is_in_force = other != server and other_end > self.simulation.now
            if is_in_force and self._do_overlap(units, other_units):
                both = sorted(units & other_units, key=str)[-3:]
                detail = f'{pool} {both}: {server} and {other}'
                raise InvariantError('single-owner', detail)

    def check_stored(
        self,
        pool: str,
        server: str,
        shards: Mapping[int, int],
        keys: Mapping[str, int],
    ) -> None:
        """Check that each granted assignment is stored in the table."""
        for key in owned_units(shards, keys).intersection(HOT_KEYS):
            self._check_key(pool, server, str(key), keys)
        for shard, epoch in shards.items():
            segment = self.segment((pool, segment_of(shard)))
            stored = segment and segment.shards[shard % SHARDS_PER_SEGMENT]
            if not stored or stored.owner != server or stored.epoch != epoch:
                detail = f'{pool}/{shard}: {server} {epoch}, table has {stored}'
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
        stored: Assignment | None = None
        if segment is not None:
            shard_assignment = segment.shards[number % SHARDS_PER_SEGMENT]
            stored = segment.keys.get(key, shard_assignment)
        is_owner = stored is not None and stored.owner == server
        if (
            not stored
            or not is_owner
            or keys.get(key, stored.epoch) != stored.epoch
        ):
            detail = f'{pool}/{key}: {server} {keys}, table has {stored}'
            raise InvariantError('granted-is-stored', detail)

    def segment(self, key: SegmentKey) -> Segment | None:
        """Return the current segment in the table; ``None`` when absent."""
        stored = self.table.read(SEGMENT_TABLE, segment_row_key(key))
        if stored.row is None:
            return None
        name = key, stored.version
        if name not in self._decoded:
            self._decoded[name] = decode_segment(key, *name[1:], stored.row)
        return self._decoded[name]

    def record_permit(
        self, segment: Segment, permit_end: float, limit: float
    ) -> None:
        """Record a router's permit and check it against other owners.

        Servers without fencing run what routers send, so that a shard must
        not be routable to two of them.

        :param permit_end: true time until which the router may route by the
            segment.
        :param limit: largest service time of an order, in seconds.
        """
        key = segment.pool, segment.index
        owners = tuple(assignment.owner for assignment in segment.shards)
        for hot in hot_keys_of(segment.index):
            number = shard_of(hot, SHARD_COUNT) % SHARDS_PER_SEGMENT
            assignment = segment.keys.get(hot, segment.shards[number])
            owners = (*owners, assignment.owner)
        self._record_end(self.routing_ends, key, owners, permit_end)
        execution_ends = self._record_end(
            self.execution_ends, key, owners, permit_end + limit
        )
        for other, end in execution_ends.items():
            if end > self.simulation.now and other is not owners:
                self._check_owners(key, owners, other)

    def _record_end(
        self,
        ends: dict[SegmentKey, dict[Owners, float]],
        key: SegmentKey,
        owners: Owners,
        end: float,
    ) -> dict[Owners, float]:
        current = ends.get(key, {})
        current = {
            other: old
            for other, old in current.items()
            if old > self.simulation.now
        }
        current[owners] = max(current.get(owners, 0.0), end)
        ends[key] = current
        return current

    def _check_owners(
        self, key: SegmentKey, owners: Owners, other: Owners
    ) -> None:
        for number, pair in enumerate(zip(owners, other, strict=True)):
            if None not in pair and pair[0] != pair[1]:
                detail = f'{key} shard {number}: {pair}'
                raise InvariantError('single-owner-by-permit', detail)

    def _do_overlap(
        self,
        units: Units,
        other: Units,
    ) -> bool:
        pair = units, other
        if pair not in self._overlaps:
            self._overlaps[pair] = not units.isdisjoint(other)
        return self._overlaps[pair]


class KeyedServer:
    """A keyed server that accepts grants in order and may freeze or restart."""

    def __init__(
        self,
        ledger: OwnershipLedger,
        pool: str,
        name: str,
        zone: str,
    ) -> None:
        self.ledger = ledger
        self.simulation = ledger.simulation
        self.pool = pool
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.is_frozen = False
        self.incarnations = itertools.count(1)
        self.rate = 1 + self.simulation.rng.uniform(
            -CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD
        )
        self.waiting: list[Action] = []
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation without grants.

        Its clock has another origin.
        """
        self.is_alive = True
        self.is_frozen = False
        self.waiting.clear()
        self.incarnation = next(self.incarnations)
        self.offset = self.simulation.rng.uniform(0, 100) - self.simulation.now
        self.list_version = (0, 0)
        self.units: Units = frozenset()
        self.expires = self.clock()
        self.ledger.record_grant(
            self.pool, self.name, self.units, self.simulation.now
        )

    def kill(self) -> None:
        """Stop without a graceful shutdown."""
        self.is_alive = False
        self.ledger.record_grant(
            self.pool, self.name, frozenset(), self.simulation.now
        )

    def thaw(self) -> None:
        """End a freeze and handle the messages that arrived during it."""
        self.is_frozen = False
        waiting = self.waiting
        self.waiting = []
        for action in waiting:
            self.deliver(action)

    def clock(self) -> float:
        """Read the monotonic clock of the server."""
        return self.offset + self.rate * self.simulation.now

    def deliver(self, action: Action) -> None:
        """Handle a message, after the freeze if there is one."""
        if self.is_frozen:
            self.waiting.append(action)
        elif self.is_alive:
            action()

    def receive(
        self,
        effect: RenewerEffect,
        sent_at: float,
        reply: Reply,
    ) -> None:
        """Handle a message of a renewer."""
        if isinstance(effect, Probe):
            reply(ServerAnswer(sent_at, self.incarnation, self.clock()))
            return
        reason = self._refusal(effect)
        if reason is not None:
            reply(ServerRefusal(sent_at, reason))
            return
        self._accept(effect)
        version = effect.version
        reply(ServerAnswer(sent_at, self.incarnation, self.clock(), version))

    def _refusal(self, grant: SendGrant) -> str | None:
        if grant.incarnation != self.incarnation:
            return 'incarnation'
        if grant.term < self.list_version[0]:
            return 'term'
        order = grant.term, grant.version
        is_unknown = grant.shards is None and order != self.list_version
        return 'version' if order < self.list_version or is_unknown else None

    def _accept(self, grant: SendGrant) -> None:
        if grant.shards is not None:
            self.list_version = grant.term, grant.version
            self.units = owned_units(dict(grant.shards), dict(grant.keys))
        if grant.expires_at > self.clock():
            self.expires = max(self.expires, grant.expires_at)
        end = self.simulation.now + (self.expires - self.clock()) / self.rate
        self.ledger.record_grant(self.pool, self.name, self.units, end)
        if end > self.simulation.now and grant.shards is not None:
            shards = dict(grant.shards)
            keys = dict(grant.keys)
            self.ledger.check_stored(self.pool, self.name, shards, keys)
