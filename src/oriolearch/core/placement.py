"""Which server owns each shard: capacity-weighted, with least movement."""

import heapq
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

IMBALANCE_HIGH = 1.25  # of the mean load: swaps begin above it
IMBALANCE_LOW = 1.1  # swaps end below it; the gap prevents flapping
SWAP_GAIN = 0.02  # of a server's fair load: a smaller gain is not worth it


@dataclass(frozen=True, slots=True)
class Move:
    """A shard that gets another owner.

    :param source: the owner before; ``None`` when it had none.
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
    target: int = 0

    def ratio(self) -> float:
        return self.load / self.weight if self.weight else 0

    def fill(self, count: int) -> float:
        return count / self.target if self.target else float('inf')


def _set_targets(servers: list[_Server], shard_count: int) -> None:
    total = sum(server.weight for server in servers)
    ranked = []
    for server in servers:
        exact = shard_count * server.weight / total
        server.target = int(exact)
        # A server that holds more than its floor keeps one more, which saves
        # a move; then the largest fractions come first.
        is_below = len(server.shards) <= server.target
        ranked.append((is_below, server.target - exact, server.name, server))
    spare = shard_count - sum(server.target for server in servers)
    takers = sorted(rank for rank in ranked if rank[-1].weight)
    for taker in takers[:spare]:
        taker[-1].target += 1


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
        excess = count - server.target
        if excess <= 0:
            continue
        offered = sorted(server.shards)
        if loads is not None:
            hot = server.ratio() > mean
            offered.sort(key=_load_key(loads), reverse=hot)
        for given, shard in enumerate(offered[:excess]):
            ranked.append((-server.fill(count - given), server.name, shard))
    ranked.sort()
    return [(shard, name) for _, name, shard in ranked]


def _assign(
    waiting: list[tuple[int, str | None]],
    servers: list[_Server],
    loads: Mapping[int, float] | None,
) -> list[Move]:
    heap = []
    for server in servers:
        room = server.target - len(server.shards)
        if room > 0:
            count = len(server.shards)
            rank = (server.ratio(), server.fill(count), server.name)
            heap.append((rank, room, server))
    heapq.heapify(heap)
    moves = []
    for shard, source in waiting:
        (_, _, name), room, server = heap[0]
        moves.append(Move(shard, source, name))
        server.load += 1 if loads is None else loads.get(shard, 0)
        if room == 1:
            heapq.heappop(heap)
            continue
        count = server.target - room + 1
        rank = (server.ratio(), server.fill(count), name)
        heapq.heapreplace(heap, (rank, room - 1, server))
    return moves


def _swap(
    hot: _Server,
    cold: _Server,
    loads: Mapping[int, float],
    mean: float,
) -> tuple[int, int] | None:
    # Neither server passes the mean, so that no later swap undoes this one.
    need = min(hot.load - mean * hot.weight, mean * cold.weight - cold.load)
    if not hot.shards or not cold.shards:
        return None
    load_of = _load_key(loads)
    back = min(sorted(cold.shards), key=load_of)
    hot.shards.sort()
    hot.shards.sort(key=load_of)
    index = bisect_right(hot.shards, load_of(back) + need, key=load_of)
    if not index:
        return None
    out = hot.shards[index - 1]
    gain = load_of(out) - load_of(back)
    if gain < SWAP_GAIN * mean * min(hot.weight, cold.weight):
        return None
    hot.shards.remove(out)
    cold.shards.remove(back)
    hot.load -= gain
    cold.load += gain
    return out, back


def _correct_load(
    servers: list[_Server],
    loads: Mapping[int, float],
    mean: float,
    limit: int,
) -> list[Move]:
    moves: list[Move] = []
    usable = [server for server in servers if server.weight]
    while usable and limit - len(moves) >= 2:
        usable.sort(key=_Server.ratio)
        cold, hot = usable[0], usable[-1]
        bound = IMBALANCE_LOW if moves else IMBALANCE_HIGH
        if hot.ratio() <= bound * mean:
            break
        swapped = _swap(hot, cold, loads, mean)
        if swapped is None:
            usable.remove(hot)  # a single shard too hot to move
            continue
        out, back = swapped
        moves.append(Move(out, hot.name, cold.name))
        moves.append(Move(back, cold.name, hot.name))
    return moves


def plan(
    shards: Mapping[int, str | None],
    servers: Mapping[str, float],
    limit: int,
    loads: Mapping[int, float] | None = None,
) -> tuple[Move, ...]:
    """Choose the moves that bring each server to its share of the shards.

    Each server's target is its share by weight, rounded down or up so that
    the fewest shards move. With loads, hot shards go to lightly loaded
    servers, and once the counts are right, shards are swapped while a server
    carries more than 1.25 times the mean load for its weight.

    :param shards: owner of every shard; an owner that is not among the
        servers is moved away from first.
    :param servers: weight of each server; 0 takes everything away from it.
    :param limit: moves of shards that have an owner; the others are always
        placed.
    :param loads: requests per second of each shard.
    """
    table = {name: _Server(name, max(servers[name], 0)) for name in servers}
    ranked = [table[name] for name in sorted(table)]
    total_weight = sum(server.weight for server in ranked)
    if not total_weight:
        return ()
    homeless: list[tuple[int, str | None]] = []
    stranded: list[tuple[int, str | None]] = []
    for shard, owner in shards.items():
        server = None if owner is None else table.get(owner)
        if server is not None:
            server.shards.append(shard)
            server.load += 1 if loads is None else loads.get(shard, 0)
        elif owner is None:
            homeless.append((shard, None))
        else:
            stranded.append((shard, owner))
    _set_targets(ranked, len(shards))
    total: float = len(shards)
    if loads is not None:
        total = sum(loads.get(shard, 0) for shard in shards)
    mean = total / total_weight
    surplus = _surplus(ranked, loads, mean)
    owned = [*sorted(stranded), *surplus]
    moves = _assign([*sorted(homeless), *owned[: max(limit, 0)]], ranked, loads)
    if loads is not None and not moves:
        moves = _correct_load(ranked, loads, mean, limit)
    return tuple(moves)


def least_loaded(
    servers: Mapping[str, float],
    loads: Mapping[str, float],
) -> str | None:
    """Name the server with the least load for its weight, for a hot key."""
    ranked = [
        (loads.get(name, 0) / weight, name)
        for name, weight in servers.items()
        if weight > 0
    ]
    return min(ranked)[1] if ranked else None
