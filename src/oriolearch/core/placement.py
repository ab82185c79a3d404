"""Weighted assignment of shards to servers with the fewest moves."""

import heapq
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

# Shards are swapped once a server's load for its weight exceeds IMBALANCE_HIGH
# times the mean, until it is below IMBALANCE_LOW. The gap prevents flapping.
IMBALANCE_HIGH = 1.25
IMBALANCE_LOW = 1.1
# Share of a server's fair load that a swap has to shift to be worth the moves.
MIN_SWAP_GAIN = 0.02


@dataclass(frozen=True, slots=True)
class Move:
    """Move of a shard to another owner.

    :param source: the former owner; ``None`` if there was none.
    :param target: the new owner.
    """

    shard: int
    source: str | None
    target: str


@dataclass(slots=True)
class _Server:
    name: str
    weight: float
    shards: list[int] = field(default_factory=list)
    load: float = 0
    target_count: int = 0

    def relative_load(self) -> float:
        return self.load / self.weight if self.weight else 0

    def fill_level(self, count: int) -> float:
        return count / self.target_count if self.target_count else float('inf')


def _set_targets(servers: list[_Server], shard_count: int) -> None:
    total = sum(server.weight for server in servers)
    ranked = []
    for server in servers:
        exact = shard_count * server.weight / total
        server.target_count = int(exact)
        # A server that owns more than its target keeps one shard more, which
        # saves a move. Then the largest fractions come first.
        is_below = len(server.shards) <= server.target_count
        ranked.append(
            (is_below, server.target_count - exact, server.name, server)
        )
    spare = shard_count - sum(server.target_count for server in servers)
    candidates = sorted(rank for rank in ranked if rank[-1].weight)
    for candidate in candidates[:spare]:
        candidate[-1].target_count += 1


def _load_key(loads: Mapping[int, float]) -> Callable[[int], float]:
    return lambda shard: loads.get(shard, 0)


def _surplus(
    servers: list[_Server],
    loads: Mapping[int, float] | None,
    mean: float,
) -> list[tuple[int, str | None]]:
    ranked: list[tuple[float, str, int]] = []
    for server in servers:
        count = len(server.shards)
        excess = count - server.target_count
        if excess <= 0:
            continue
        offered = sorted(server.shards)
        if loads is not None:
            is_overloaded = server.relative_load() > mean
            offered.sort(key=_load_key(loads), reverse=is_overloaded)
        for moved, shard in enumerate(offered[:excess]):
            ranked.append(
                (-server.fill_level(count - moved), server.name, shard)
            )
    ranked.sort()
    return [(shard, name) for _, name, shard in ranked]


def _assign(
    unassigned: list[tuple[int, str | None]],
    servers: list[_Server],
    loads: Mapping[int, float] | None,
) -> list[Move]:
    heap = []
    for server in servers:
        missing = server.target_count - len(server.shards)
        if missing > 0:
            count = len(server.shards)
            rank = (
                server.relative_load(),
                server.fill_level(count),
                server.name,
            )
            heap.append((rank, missing, server))
    heapq.heapify(heap)
    moves = []
    for shard, source in unassigned:
        (_, _, name), missing, server = heap[0]
        moves.append(Move(shard, source, name))
        server.load += 1 if loads is None else loads.get(shard, 0)
        if missing == 1:
            heapq.heappop(heap)
            continue
        count = server.target_count - missing + 1
        rank = (server.relative_load(), server.fill_level(count), name)
        heapq.heapreplace(heap, (rank, missing - 1, server))
    return moves


def _swap(
    busiest: _Server,
    idlest: _Server,
    loads: Mapping[int, float],
    mean: float,
) -> tuple[int, int] | None:
    # Neither server crosses the mean, so that no later swap undoes this one.
    max_gain = min(
        busiest.load - mean * busiest.weight, mean * idlest.weight - idlest.load
    )
    if not busiest.shards or not idlest.shards:
        return None
    load_of = _load_key(loads)
    returned = min(sorted(idlest.shards), key=load_of)
    busiest.shards.sort()
    busiest.shards.sort(key=load_of)
    index = bisect_right(
        busiest.shards, load_of(returned) + max_gain, key=load_of
    )
    if not index:
        return None
    moved = busiest.shards[index - 1]
    gain = load_of(moved) - load_of(returned)
    if gain < MIN_SWAP_GAIN * mean * min(busiest.weight, idlest.weight):
        return None
    busiest.shards.remove(moved)
    idlest.shards.remove(returned)
    busiest.load -= gain
    idlest.load += gain
    return moved, returned


def _balance_load(
    servers: list[_Server],
    loads: Mapping[int, float],
    mean: float,
    limit: int,
) -> list[Move]:
    moves: list[Move] = []
    usable = [server for server in servers if server.weight]
    while usable and limit - len(moves) >= 2:
        usable.sort(key=_Server.relative_load)
        idlest, busiest = usable[0], usable[-1]
        bound = IMBALANCE_LOW if moves else IMBALANCE_HIGH
        if busiest.relative_load() <= bound * mean:
            break
        swapped = _swap(busiest, idlest, loads, mean)
        if swapped is None:
            # The load of a single shard is too high to move.
            usable.remove(busiest)
            continue
        moved, returned = swapped
        moves.append(Move(moved, busiest.name, idlest.name))
        moves.append(Move(returned, idlest.name, busiest.name))
    return moves


def plan(
    shards: Mapping[int, str | None],
    servers: Mapping[str, float],
    limit: int,
    loads: Mapping[int, float] | None = None,
) -> tuple[Move, ...]:
    """Return the moves that bring each server to its share of the shards.

    A server's target is its share by weight, rounded down or up so that the
    fewest shards move. If loads are given, hot shards are moved to lightly
    loaded servers, and once the numbers of shards are right, shards are
    swapped while the load of a server is more than 1.25 times the mean for
    its weight.

    :param shards: owner of every shard; shards of an owner that is not among
        the servers are moved first.
    :param servers: weight of each server; a weight of 0 drains it.
    :param limit: maximum number of moves of owned shards; unowned shards are
        always assigned.
    :param loads: requests per second of each shard.
    """
    by_name = {name: _Server(name, max(servers[name], 0)) for name in servers}
    ranked = [by_name[name] for name in sorted(by_name)]
    total_weight = sum(server.weight for server in ranked)
    if not total_weight:
        return ()
    unowned: list[tuple[int, str | None]] = []
    lost: list[tuple[int, str | None]] = []
    for shard, owner in shards.items():
        server = None if owner is None else by_name.get(owner)
        if server is not None:
            server.shards.append(shard)
            server.load += 1 if loads is None else loads.get(shard, 0)
        elif owner is None:
            unowned.append((shard, None))
        else:
            lost.append((shard, owner))
    _set_targets(ranked, len(shards))
    total: float = len(shards)
    if loads is not None:
        total = sum(loads.get(shard, 0) for shard in shards)
    mean = total / total_weight
    surplus = _surplus(ranked, loads, mean)
    limited = [*sorted(lost), *surplus]
    moves = _assign(
        [*sorted(unowned), *limited[: max(limit, 0)]], ranked, loads
    )
    if loads is not None and not moves:
        moves = _balance_load(ranked, loads, mean, limit)
    return tuple(moves)


def least_loaded(
    servers: Mapping[str, float],
    loads: Mapping[str, float],
) -> str | None:
    """Return the server with the lowest load for its weight.

    A hot key is moved there. Return ``None`` if no server has a weight.
    """
    ranked = [
        (loads.get(name, 0) / weight, name)
        for name, weight in servers.items()
        if weight > 0
    ]
    return min(ranked)[1] if ranked else None
